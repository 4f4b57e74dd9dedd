"""Which machines the service replaces by itself, how many a day, and what stops it. Pure.

Bounds. Each replacement is counted against the day's machines and money before its machine is cordoned, and the
counts are kept with the record of that, so no day (by the wall clock's UTC date) has more than `machines-a-day` of
them, nor more than `money-a-day` of what they are taken to cost: from a rental to the latest usual boot both machines
are paid, and a machine costs a minute at least. A machine that replaces another is itself replaced only with evidence
of its own, or by its age after the bound on it, so there is no loop without new cause; and if what came is as bad as
what went, a brake ends it.

A brake is for one reason and one type of machine: more than `brake-share` of the type is called bad, or at least half
of the machines rented since are (two at least). It lifts by itself, each time after twice as long, up to
`brake-most`; after a quiet time of `brake-most` it begins small again. Age needs no brake: it comes to all machines
alike, and a wave is bounded by the pool.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

from roseweir.clock import seconds
from roseweir.drain.evidence import Evidence
from roseweir.drain.model import age_of
from roseweir.drain.settings import OwnReasons
from roseweir.placement.model import Machine

log = logging.getLogger(__name__)

OLDER, SLOW, FAILING, LAPSING, SPOT = (
    "replace-older",
    "replace-slow",
    "replace-failing",
    "replace-lapsing",
    "replace-spot",
)
NAMES = (FAILING, LAPSING, SLOW, SPOT, OLDER)
# With fewer machines of a type a share of them says nothing.
SHARE_OF_LEAST = 4
AGAIN_LEAST = 2
LEAST_CHARGED = timedelta(minutes=1)
BOOT_USUAL = 1.5


@dataclass(slots=True)
class Brake:
    until_ms: int = 0
    times: int = 0
    why: str = ""


class Own:
    """The service's own reasons with their day's counts and brakes."""

    def __init__(self, settings: OwnReasons, evidence: Evidence) -> None:
        self.settings = settings
        self.evidence = evidence
        self.day = 0
        self.machines = 0
        self.money = 0.0
        self.brakes: dict[tuple[str, str], Brake] = {}
        self._first: dict[tuple[str, str], datetime] = {}  # when a reason first replaced one of a type
        self.bad: dict[str, str] = {}  # machine: reason

    # -- which --------------------------------------------------------------------------------

    def look(self, machines: Iterable[Machine], now: datetime, wall_ms: int) -> dict[str, str]:
        """Machines that have a reason to go, and that no brake keeps: names and reasons."""
        there = [m for m in machines if m.shown and not m.leaving and m.recall_at is None]
        found = {m.name: why for m in there if (why := self._reason(m, now))}
        self.bad = found
        self._brake(there, now, wall_ms)
        return {
            m.name: found[m.name] for m in there if m.name in found and not self._is_braked(found[m.name], m, wall_ms)
        }

    def _reason(self, machine: Machine, now: datetime) -> str:
        s, evidence = self.settings, self.evidence
        if s.failing is not None and evidence.failures(machine, now) >= s.failing:
            return FAILING
        if s.lapsing is not None and evidence.lapses(machine, now) >= s.lapsing:
            return LAPSING
        if s.slow is not None and (evidence.speed(machine) or 0.0) >= s.slow:
            return SLOW
        age = age_of(machine, now)
        if age is None:
            return ""
        if s.spot_life is not None and machine.spot:
            life = evidence.usual_life(machine.type.name)
            if life is not None and age >= life * s.spot_life:
                return SPOT
        if s.older is not None and age >= s.older:
            return OLDER
        return ""

    def _brake(self, there: list[Machine], now: datetime, wall_ms: int) -> None:
        kinds: dict[str, list[Machine]] = {}
        for machine in there:
            kinds.setdefault(machine.type.name, []).append(machine)
        for kind, machines in kinds.items():
            for reason in (FAILING, LAPSING, SLOW, SPOT):
                bad = [m for m in machines if self.bad.get(m.name) == reason]
                if not bad or self._is_braked(reason, machines[0], wall_ms):
                    continue
                first = self._first.get((reason, kind))
                again = [m for m in bad if first is not None and m.rented_at > first]
                since = [m for m in machines if first is not None and m.rented_at > first]
                if len(machines) >= SHARE_OF_LEAST and len(bad) > self.settings.brake_share * len(machines):
                    self._set(reason, kind, wall_ms, f"{len(bad)} of {len(machines)} {kind} are called bad")
                elif len(again) >= AGAIN_LEAST and len(again) * 2 >= len(since):
                    self._set(
                        reason, kind, wall_ms, f"{len(again)} of {len(since)} {kind} that came since are no better"
                    )

    def _set(self, reason: str, kind: str, wall_ms: int, why: str) -> None:
        brake = self.brakes.setdefault((reason, kind), Brake())
        if brake.times and wall_ms - brake.until_ms > self.settings.brake_most.total_seconds() * 1000:
            brake.times = 0
        span = min(self.settings.brake * 2**brake.times, self.settings.brake_most)
        brake.until_ms = wall_ms + round(span.total_seconds() * 1000)
        brake.times += 1
        brake.why = why
        self._first.pop((reason, kind), None)
        log.warning("%s stops for %s for %.0f s: %s", reason, kind, span.total_seconds(), why)

    def _is_braked(self, reason: str, machine: Machine, wall_ms: int) -> bool:
        brake = self.brakes.get((reason, machine.type.name))
        return brake is not None and wall_ms < brake.until_ms

    # -- how many -----------------------------------------------------------------------------

    def holds(self, machine: Machine, wall_ms: int) -> str:
        """Why it may not be replaced today; "": it may."""
        self._turn_day(wall_ms)
        if self.machines + 1 > self.settings.machines_a_day:
            return f"{self.machines} machines were replaced today, the most that may be"
        if self.money + cost_of(machine) > self.settings.money_a_day:
            return f"{self.money:.2f} were spent on replacing machines today, the most that may be"
        return ""

    def spend(self, machine: Machine, reason: str, now: datetime, wall_ms: int) -> None:
        self._turn_day(wall_ms)
        self.machines += 1
        self.money += cost_of(machine)
        self._first.setdefault((reason, machine.type.name), now)

    def _turn_day(self, wall_ms: int) -> None:
        day = datetime.fromtimestamp(wall_ms / 1000, UTC).toordinal()
        # Clocks of controllers differ: a day that has begun is not begun again.
        if day > self.day:
            self.day, self.machines, self.money = day, 0, 0.0

    # -- kept ---------------------------------------------------------------------------------

    def encode(self) -> dict[str, Any]:
        return {
            "day": self.day,
            "machines": self.machines,
            "money": round(self.money, 4),
            "brakes": {f"{reason}/{kind}": [b.until_ms, b.times, b.why] for (reason, kind), b in self.brakes.items()},
        }

    def take(self, kept: dict[str, Any]) -> None:
        self.day, self.machines, self.money = kept["day"], kept["machines"], kept["money"]
        for name, (until, times, why) in kept["brakes"].items():
            reason, _, kind = name.partition("/")
            self.brakes[reason, kind] = Brake(until, times, why)

    def describe(self, wall_ms: int) -> dict[str, Any]:
        counts: dict[str, int] = {}
        for why in self.bad.values():
            counts[why] = counts.get(why, 0) + 1
        return {
            "machines_with_a_reason": counts,
            "replaced_today": self.machines,
            "machines_a_day": self.settings.machines_a_day,
            "spent_today": round(self.money, 2),
            "money_a_day": self.settings.money_a_day,
            "brakes": [
                {"reason": reason, "type": kind, "lifts_in_s": round((b.until_ms - wall_ms) / 1000), "why": b.why}
                for (reason, kind), b in sorted(self.brakes.items())
                if b.until_ms > wall_ms
            ],
        }


def cost_of(machine: Machine) -> float:
    """What a replacement costs beside the machine itself: both are paid while the new one boots, a minute at least."""
    kind = machine.type
    price = kind.spot_price if machine.spot else kind.price
    span = max(LEAST_CHARGED, seconds(kind.boot_s * BOOT_USUAL))
    return price * (span / timedelta(hours=1))
