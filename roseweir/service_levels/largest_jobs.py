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
LARGEST_JOBS_FRACTION, SIZE_BUCKET_LOG2_WIDTH = 0.1, 0.5
# The operators ask that the largest begin within this, in seconds.
MAX_START_DELAY_S = 240.0


@dataclass(slots=True)
class SizeCounts:
    """Jobs of about one size."""

    accepted: int = 0
    begun: int = 0
    in_time: int = 0  # begun within BEGIN_S
    late: int = 0  # begun later, or waiting for longer
    done: int = 0
    cancelled: int = 0
    longest_s: int = 0  # that any of them waited for its beginning

    def add(self, other: "SizeCounts") -> None:
        for each in fields(self):
            mine, theirs = getattr(self, each.name), getattr(other, each.name)
            setattr(self, each.name, max(mine, theirs) if each.name == "longest_s" else mine + theirs)

    @property
    def on_time_fraction(self) -> float:
        """The lesser share of those not cancelled: begun in time of all whose time is over."""
        settled = self.in_time + self.late
        return self.in_time / settled if settled else 1.0


def size_bucket(size: float) -> int:
    """Which row a job of this size belongs to."""
    return floor(log2(max(size, 0.01)) / SIZE_BUCKET_LOG2_WIDTH)


# Class and row.
ClassAndBucket = tuple[str, int]


def sum_largest(rows: Mapping[ClassAndBucket, SizeCounts]) -> dict[str, SizeCounts]:
    """Of each class, those of its largest jobs, summed up."""
    counts_by_class: dict[str, list[tuple[int, SizeCounts]]] = {}
    for (name, step), size in rows.items():
        counts_by_class.setdefault(name, []).append((step, size))
    largest_by_class: dict[str, SizeCounts] = {}
    for name, sizes in sorted(counts_by_class.items()):
        min_jobs = max(1.0, sum(size.accepted for _, size in sizes) * LARGEST_JOBS_FRACTION)
        total = SizeCounts()
        for _, size in sorted(sizes, key=lambda each: -each[0]):
            total.add(size)
            if total.accepted >= min_jobs:
                break
        largest_by_class[name] = total
    return largest_by_class


def encode_counts(rows: Mapping[ClassAndBucket, SizeCounts], max_bytes: int = 1 << 30) -> list[list[Any]]:
    """At most so many bytes, if that can be: of the class with the most rows, its smallest jobs go together."""
    remaining = dict(rows)
    while True:
        value = [[name, step, *asdict(size).values()] for (name, step), size in sorted(remaining.items())]
        buckets_by_class: dict[str, list[int]] = {}
        for name, step in remaining:
            buckets_by_class.setdefault(name, []).append(step)
        largest_class = max(sorted(buckets_by_class), key=lambda name: len(buckets_by_class[name]), default="")
        if not buckets_by_class or len(buckets_by_class[largest_class]) < 2 or len(orjson.dumps(value)) <= max_bytes:
            return value
        smallest_bucket, next_bucket = sorted(buckets_by_class[largest_class])[:2]
        merged = SizeCounts()
        merged.add(remaining.pop((largest_class, smallest_bucket)))
        merged.add(remaining[largest_class, next_bucket])
        remaining[largest_class, next_bucket] = merged


def decode_counts(value: Iterable[Any]) -> dict[ClassAndBucket, SizeCounts]:
    """KeyError, TypeError or ValueError if it is no such record."""
    return {(str(name), int(step)): SizeCounts(*map(int, counts)) for name, step, *counts in value}


def format_largest(name: str, size: SizeCounts) -> str:
    """For the log and for `status`."""
    text = f"{name}, largest: {size.accepted} jobs, {size.begun} begun, {size.in_time} within {MAX_START_DELAY_S:.0f} s"
    text += f", {size.done} done, longest wait {size.longest_s} s"
    return text + (", UNDER HALF" if size.on_time_fraction < 0.5 else "")
