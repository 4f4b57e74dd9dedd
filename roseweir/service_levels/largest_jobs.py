"""Counts of the largest jobs of each class: accepted, started, started in time, ended, longest wait. Pure.

A class as a whole can be served while its largest jobs never start. The size of a job is the sum over its tasks, in
GPUs for jobs that need them and in CPUs for the rest. Jobs of about the same size (within a factor of
2 ** `SIZE_BUCKET_LOG2_WIDTH`) share a bucket, so that a record of a few hundred bytes holds every size. The largest
jobs of a class are those of the uppermost buckets that together hold `LARGEST_JOBS_FRACTION` of all its jobs, and one
job at least. Counts of buckets only grow and are additive, so they survive a failover like the rest of the account.
"""

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, fields
from math import floor, log2
from typing import Any

import orjson

from roseweir.service_levels.service_level import MIN_SERVED_FRACTION

# The fraction of a class's jobs, largest first, that counts as its largest.
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
        """Add the counts of another bucket; the longer of the two longest waits is kept."""
        for counter in fields(self):
            current, added = getattr(self, counter.name), getattr(other, counter.name)
            setattr(self, counter.name, max(current, added) if counter.name == "longest_s" else current + added)

    @property
    def on_time_fraction(self) -> float:
        """Return the fraction (0 to 1) that started in time, of the jobs that started or are overdue."""
        started_or_overdue = self.in_time + self.late
        return self.in_time / started_or_overdue if started_or_overdue else 1.0


def size_bucket(size: float) -> int:
    """Return the bucket of a job of this size (GPUs or CPUs)."""
    return floor(log2(max(size, 0.01)) / SIZE_BUCKET_LOG2_WIDTH)


# Class and size bucket.
ClassAndBucket = tuple[str, int]


def sum_largest(rows: Mapping[ClassAndBucket, SizeCounts]) -> dict[str, SizeCounts]:
    """Return for each class the sum of the buckets of its largest jobs."""
    counts_by_class: dict[str, list[tuple[int, SizeCounts]]] = {}
    for (job_class, bucket), counts in rows.items():
        counts_by_class.setdefault(job_class, []).append((bucket, counts))
    largest_by_class: dict[str, SizeCounts] = {}
    for job_class, buckets in sorted(counts_by_class.items()):
        min_jobs = max(1.0, sum(counts.accepted for _, counts in buckets) * LARGEST_JOBS_FRACTION)
        total = SizeCounts()
        for _, counts in sorted(buckets, key=lambda bucket_counts: -bucket_counts[0]):
            total.add(counts)
            if total.accepted >= min_jobs:
                break
        largest_by_class[job_class] = total
    return largest_by_class


def encode_counts(rows: Mapping[ClassAndBucket, SizeCounts], max_bytes: int = 1 << 30) -> list[list[Any]]:
    """Return the buckets as JSON rows, of at most `max_bytes` if possible.

    Until they fit, the two smallest buckets of the class that has the most buckets are merged.
    """
    remaining = dict(rows)
    while True:
        value = [
            [job_class, bucket, *asdict(counts).values()] for (job_class, bucket), counts in sorted(remaining.items())
        ]
        buckets_by_class: dict[str, list[int]] = {}
        for job_class, bucket in remaining:
            buckets_by_class.setdefault(job_class, []).append(bucket)
        class_to_merge = max(sorted(buckets_by_class), key=lambda name: len(buckets_by_class[name]), default="")
        if not buckets_by_class or len(buckets_by_class[class_to_merge]) < 2 or len(orjson.dumps(value)) <= max_bytes:
            return value
        smallest_bucket, next_bucket = sorted(buckets_by_class[class_to_merge])[:2]
        merged = SizeCounts()
        merged.add(remaining.pop((class_to_merge, smallest_bucket)))
        merged.add(remaining[class_to_merge, next_bucket])
        remaining[class_to_merge, next_bucket] = merged


def decode_counts(value: Iterable[Any]) -> dict[ClassAndBucket, SizeCounts]:
    """Read what `encode_counts` wrote.

    Raises:
        TypeError, ValueError: the value does not have that form.
    """
    return {(str(job_class), int(bucket)): SizeCounts(*map(int, counts)) for job_class, bucket, *counts in value}


def format_largest(job_class: str, counts: SizeCounts) -> str:
    """Return one line about the largest jobs of a class, for the log and for `status`."""
    text = (
        f"{job_class}, largest: {counts.accepted} jobs, {counts.begun} begun, "
        f"{counts.in_time} within {MAX_START_DELAY_S:.0f} s"
    )
    text += f", {counts.done} done, longest wait {counts.longest_s} s"
    return text + (", UNDER HALF" if counts.on_time_fraction < MIN_SERVED_FRACTION else "")
