"""One transaction of the write-ahead log: what it compares and writes, and which entries a commit stores."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roseweir.kv_store.client import put
from roseweir.scheduler.log_delta import CompletedTask, Delta
from roseweir.scheduler.model import JobRun, Placement

MAX_BATCH_BYTES = 56 * 1024


class DeltaWrite(NamedTuple):
    """A delta in a batch, with the entries that are new in it."""

    delta: Delta
    new_starts: list[Placement]
    new_completions: list[CompletedTask]


class ChunkWrite(NamedTuple):
    """A completion bitmap in a batch, with the completed tasks that no delta has to hold once it is written."""

    run: JobRun
    chunk_number: int
    saved_indices: set[int]


@dataclass
class LogBatch:
    """A transaction that is being built.

    Attributes:
        compare_versions: Versions that the transaction compares, by key.
        operations: Writes and deletions.
        delta_writes: Deltas among the writes.
        segment_numbers: Segments among the writes.
        segment_placements: Placements that these segments hold.
        chunk_writes: Completion bitmaps among the writes.
        finished_jobs: Jobs whose end is among the writes.
        deleted_chunk_keys: Completion bitmaps of ended jobs among the deletions.
        size_bytes: Estimated size of the transaction.
        part_keys: Keys of its parts (deltas, segments, bitmaps, ends of jobs).
        suspect_key: The one of these parts that may have caused the refusal of an earlier batch, if any.
    """

    compare_versions: dict[str, int] = field(default_factory=dict)
    operations: list[dict[str, Any]] = field(default_factory=list)
    delta_writes: list[DeltaWrite] = field(default_factory=list)
    segment_numbers: list[int] = field(default_factory=list)
    segment_placements: list[Placement] = field(default_factory=list)
    chunk_writes: list[ChunkWrite] = field(default_factory=list)
    finished_jobs: list[JobRun] = field(default_factory=list)
    deleted_chunk_keys: list[str] = field(default_factory=list)
    size_bytes: int = 0
    part_keys: list[str] = field(default_factory=list)
    suspect_key: str | None = None

    def has_room(self, size_bytes: int, max_operations: int) -> bool:
        """Return whether one more operation of this size fits."""
        return len(self.operations) < max_operations and self.size_bytes + size_bytes <= MAX_BATCH_BYTES

    def add_delta(self, key: str, write: DeltaWrite) -> None:
        """Add the write of a delta as it is now."""
        self.compare_versions[key] = write.delta.version
        self.operations.append(put(key, write.delta.encode()))
        self.size_bytes += write.delta.size_bytes
        self.delta_writes.append(write)
