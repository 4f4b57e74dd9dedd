"""Counts of the largest jobs of each class: accepted, started, started in time, ended, longest wait. Pure.

A class as a whole can be served while its largest jobs never are. The size of a job is the sum over its tasks, in GPUs
for jobs that need them and in CPUs for the rest. Jobs of about the same size (within a factor of
2 ** `SIZE_BUCKET_LOG2_WIDTH`) share a bucket, so that a record of a few hundred bytes holds every size. The largest
jobs of a class are those of the uppermost buckets that together hold `LARGEST_JOBS_FRACTION` of all its jobs, and one
job at least. Buckets only grow and add up, so they survive a failover as the rest of the account does.
"""

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, fields
from math import floor, log2
from typing import Any

import orjson

from roseweir.service_levels.service_level import MIN_SERVED_FRACTION

# The part of a class's jobs, from the top, that counts as its largest.
LARGEST_JOBS_FRACTION = 0.1
# Width of a size bucket, as an exponent of two.
SIZE_BUCKET_LOG2_WIDTH = 0.5
# The operators' service-level objective: the largest jobs start within this, in seconds.
MAX_START_DELAY_S = 240.0


@dataclass(slots=True)
class SizeCounts:
    """Counts of the jobs of one size bucket."""

    accepted: int = 0
    begun: int = 0
    in_time: int = 0  # started within MAX_START_DELAY_S
    late: int = 0  # started later, or waiting for longer
    done: int = 0
    cancelled: int = 0
    longest_s: int = 0  # longest wait of any of them for its start, seconds

    def add(self, other: "SizeCounts") -> None:
        """Add the counts of another bucket; of the longest waits the greater one is kept."""
        for each in fields(self):
            mine, theirs = getattr(self, each.name), getattr(other, each.name)
            setattr(self, each.name, max(mine, theirs) if each.name == "longest_s" else mine + theirs)

    @property
    def on_time_fraction(self) -> float:
        """Return the fraction (0 to 1) that started in time, of the jobs that started or are overdue."""
        settled = self.in_time + self.late
        return self.in_time / settled if settled else 1.0


def size_bucket(size: float) -> int:
    """Return the bucket of a job of this size (GPUs or CPUs)."""
    return floor(log2(max(size, 0.01)) / SIZE_BUCKET_LOG2_WIDTH)


# Class and size bucket.
ClassAndBucket = tuple[str, int]


def sum_largest(rows: Mapping[ClassAndBucket, SizeCounts]) -> dict[str, SizeCounts]:
    """Return for each class the sum of the buckets of its largest jobs."""
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
    """Return the buckets as JSON rows, of at most `max_bytes` if possible.

    Until they fit, the two smallest buckets of the class that has the most are merged.
    """
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
    """Read what `encode_counts` wrote.

    Raises:
        TypeError, ValueError: the value has not that form.
    """
    return {(str(name), int(step)): SizeCounts(*map(int, counts)) for name, step, *counts in value}


def format_largest(name: str, size: SizeCounts) -> str:
    """Return one line about the largest jobs of a class, for the log and for `status`."""
    text = f"{name}, largest: {size.accepted} jobs, {size.begun} begun, {size.in_time} within {MAX_START_DELAY_S:.0f} s"
    text += f", {size.done} done, longest wait {size.longest_s} s"
    return text + (", UNDER HALF" if size.on_time_fraction < MIN_SERVED_FRACTION else "")
