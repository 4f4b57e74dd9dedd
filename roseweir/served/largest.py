"""The largest jobs of each class: how many there were, began, began in time, ended, and how long they waited. Pure.

A class as a whole can be served while its largest jobs never are. How large a job is: what its tasks take altogether,
GPUs for jobs that need them and CPUs for the rest. Jobs of about the same size (within a factor of 2 ** STEP) are one
row, so that a record of a few hundred bytes holds every size; the largest of a class are those of the uppermost rows
that hold PART of all its jobs, and one at least. Rows only ever grow and add up, so they go through a take-over as the
rest of the account does.
"""

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, fields
from math import floor, log2
from typing import Any

import orjson

# The uppermost part of a class's jobs, and by what power of two sizes are told apart.
PART, STEP = 0.1, 0.5
# The operators ask that the largest begin within this, in seconds.
BEGIN_S = 240.0


@dataclass(slots=True)
class Size:
    """Jobs of about one size."""

    accepted: int = 0
    begun: int = 0
    in_time: int = 0  # begun within BEGIN_S
    late: int = 0  # begun later, or waiting for longer
    done: int = 0
    cancelled: int = 0
    longest_s: int = 0  # that any of them waited for its beginning

    def add(self, other: "Size") -> None:
        for each in fields(self):
            mine, theirs = getattr(self, each.name), getattr(other, each.name)
            setattr(self, each.name, max(mine, theirs) if each.name == "longest_s" else mine + theirs)

    @property
    def served(self) -> float:
        """The lesser share of those not cancelled: begun in time of all whose time is over."""
        settled = self.in_time + self.late
        return self.in_time / settled if settled else 1.0


def step_of(size: float) -> int:
    """Which row a job of this size belongs to."""
    return floor(log2(max(size, 0.01)) / STEP)


# Class and row.
Key = tuple[str, int]


def largest(rows: Mapping[Key, Size]) -> dict[str, Size]:
    """Of each class, those of its largest jobs, summed up."""
    classes: dict[str, list[tuple[int, Size]]] = {}
    for (name, step), size in rows.items():
        classes.setdefault(name, []).append((step, size))
    found: dict[str, Size] = {}
    for name, sizes in sorted(classes.items()):
        enough = max(1.0, sum(size.accepted for _, size in sizes) * PART)
        total = Size()
        for _, size in sorted(sizes, key=lambda each: -each[0]):
            total.add(size)
            if total.accepted >= enough:
                break
        found[name] = total
    return found


def encode(rows: Mapping[Key, Size], room: int = 1 << 30) -> list[list[Any]]:
    """At most so many bytes, if that can be: of the class with the most rows, its smallest jobs go together."""
    kept = dict(rows)
    while True:
        value = [[name, step, *asdict(size).values()] for (name, step), size in sorted(kept.items())]
        steps: dict[str, list[int]] = {}
        for name, step in kept:
            steps.setdefault(name, []).append(step)
        most = max(sorted(steps), key=lambda name: len(steps[name]), default="")
        if not steps or len(steps[most]) < 2 or len(orjson.dumps(value)) <= room:
            return value
        least, next_one = sorted(steps[most])[:2]
        together = Size()
        together.add(kept.pop((most, least)))
        together.add(kept[most, next_one])
        kept[most, next_one] = together


def decode(value: Iterable[Any]) -> dict[Key, Size]:
    """KeyError, TypeError or ValueError if it is no such record."""
    return {(str(name), int(step)): Size(*map(int, counts)) for name, step, *counts in value}


def described(name: str, size: Size) -> str:
    """For the log and for `status`."""
    text = f"{name}, largest: {size.accepted} jobs, {size.begun} begun, {size.in_time} within {BEGIN_S:.0f} s"
    text += f", {size.done} done, longest wait {size.longest_s} s"
    return text + (", UNDER HALF" if size.served < 0.5 else "")
