"""Days on which two or three troubles meet, drawn from a seed; a day that breaks a rule shrinks to what it takes.

Many seeds at once, by hand: `python -m tests.meetings 0 2000` plays these days, several at a time, and prints of each
that breaks a rule the fewest events that still do.
"""

import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from random import Random

from tests.world import LATER, LEFT_OUT, MEETING, World, now

KINDS = sorted({*LATER, *LEFT_OUT, *MEETING, "deaf"})
ROUNDS, APART = 4, 16.0
LENGTH = 95.0


@dataclass(frozen=True)
class Day:
    seed: int
    events: tuple[tuple[float, str], ...]  # when each trouble begins
    controllers: int = 3
    jobs: int = 25

    @staticmethod
    def drawn(seed: int) -> "Day":
        draw = Random(seed)
        kinds = draw.sample(KINDS, draw.choice([2, 2, 3]))
        begin = [12.0 + APART * n for n in range(ROUNDS)]
        events = [(at + draw.uniform(0, 4.0), kind) for at in begin for kind in kinds]
        return Day(seed, tuple(sorted(events)), draw.choice([2, 3, 3, 3, 5]))

    def play(self) -> "Met":
        return Met(self).play_day()


class Met(World):
    """A day of these troubles and no others, and how they overlapped."""

    def __init__(self, day: Day) -> None:
        super().__init__(day.seed, calm=True, controllers=day.controllers, back_after=(0.1, 2.5), skew=0.5)
        self.planned = day
        self.spans: list[tuple[float, float, str]] = []
        self.spawn_later(lambda _: self._troubles())

    async def _troubles(self) -> None:
        for at, kind in self.planned.events:
            await asyncio.sleep(max(0.0, at - now()))
            self.spawn(self._one(kind))

    async def _one(self, kind: str) -> None:
        begun = now()
        try:
            await self.one_trouble(kind)
        finally:
            self.spans.append((begun, now(), kind))

    def play_day(self) -> "Met":
        self.play(LENGTH, self.planned.jobs)
        return self

    @property
    def meetings(self) -> set[frozenset[str]]:
        """Kinds that went on at the same time, or within a second of one another: what is under way lasts so long."""
        return {
            frozenset((one, other))
            for n, (begun, ended, one) in enumerate(self.spans)
            for begins, ends, other in self.spans[n + 1 :]
            if begins <= ended + 1.0 and begun <= ends + 1.0 and one != other
        }

    @property
    def fault(self) -> str:
        faults = [str(e) for e in self.broken] + [repr(e) for e in self.errors]
        return faults[0] if faults else ""


def shrunk(day: Day) -> Day:
    """The same day with the fewest events that still break a rule: one after the other is left out."""
    kept = list(day.events)
    for event in day.events:
        fewer = replace(day, events=tuple(e for e in kept if e != event))
        if fewer.events and fewer.play().fault:
            kept.remove(event)
    return replace(day, events=tuple(kept))


def _look(seed: int) -> str:
    found = Day.drawn(seed).play().fault
    if not found:
        return ""
    day = shrunk(Day.drawn(seed))
    return f"{found}\n  {day}: {day.play().fault}"


def main() -> None:
    first, last = int(sys.argv[1]), int(sys.argv[2])
    at_once = int(sys.argv[3]) if len(sys.argv) > 3 else 2
    bad = 0
    with ProcessPoolExecutor(at_once) as pool:
        for found in pool.map(_look, range(first, last), chunksize=4):
            if found:
                bad += 1
                print(found, flush=True)
    print(f"{last - first} days, {bad} broke a rule")


if __name__ == "__main__":
    main()
