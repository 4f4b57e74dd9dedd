"""Compaction of the write-ahead log: entries of deltas move into segments and completion bitmaps."""

from datetime import timedelta
from typing import NamedTuple

from roseweir.clock import NEVER, monotonic_now
from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.client import delete, put
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.delta_table import DeltaTable
from roseweir.scheduler.log_batch import ChunkWrite, DeltaWrite, LogBatch
from roseweir.scheduler.log_keys import segment_key
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.refused_parts import RefusedParts
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, TASKS_PER_CHUNK
from roseweir.submissions.task_bitmap import chunk_key, encode_bitmap

# Interval between removals of the log entries of ended tasks, which a new leader takes for tasks that may be running.
CLEANUP_INTERVAL = timedelta(seconds=1)
# Updating segments costs time for each machine that changed, so one update serves several batches.
MIN_COMPACTION_INTERVAL = timedelta(milliseconds=150)
# Fullness of the deltas above which segments and bitmaps are written without waiting for CLEANUP_INTERVAL. Above twice
# this, compaction may use all writes that are available to the log.
PRESSURE_FULLNESS = 0.25
# Share of a second's writes that compaction leaves to deltas and ends of jobs.
COMPACTION_RESERVE_SHARE = 0.25
# Estimated bytes of a start, and of a completion, in a delta.
START_ENTRY_BYTES = 25
COMPLETION_ENTRY_BYTES = 5
# Added to the size of a segment or bitmap for its key and the punctuation around it.
OPERATION_OVERHEAD_BYTES = 64


class CompactionTarget(NamedTuple):
    """A segment, by its number, or the bitmaps of a job, with the bytes that writing them frees in deltas."""

    freed_bytes: int
    target: JobRun | int


class LogCompactor:
    """Adds segments and completion bitmaps to batches, which frees space in the deltas."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        cluster_state: ClusterState,
        segment_table: SegmentTable,
        delta_table: DeltaTable,
        refused_parts: RefusedParts,
        orphaned_chunk_keys: set[str],
    ) -> None:
        """Create a compactor of one log.

        Args:
            kv_store: Provides the current write rate.
            cluster_state: Source of the segments' entries.
            segment_table: Segments of the log.
            delta_table: Deltas of the log.
            refused_parts: Decides whether a part may be added to a batch.
            orphaned_chunk_keys: Keys of ended jobs' bitmaps, deleted in batches that have room.
        """
        self.kv_store = kv_store
        self.cluster_state = cluster_state
        self.segment_table = segment_table
        self.delta_table = delta_table
        self.refused_parts = refused_parts
        self.orphaned_chunk_keys = orphaned_chunk_keys
        self._cleaned_up_at = NEVER
        self._compacted_at = NEVER

    def compact(self, batch: LogBatch, max_operations: int, available_writes: float) -> None:
        """Add the segments and bitmaps that free the most space in the deltas, then segments that only lose entries.

        Args:
            batch: The batch to extend; new starts and completions are already in it.
            max_operations: Limit of the store on the operations of a transaction.
            available_writes: Writes that the rate limit allows now.
        """
        now = monotonic_now()
        is_cleanup_due = now - self._cleaned_up_at >= CLEANUP_INTERVAL
        fullness = self.delta_table.fullness()
        max_operations = min(max_operations, int(available_writes - self._reserved_writes(fullness)))
        if len(batch.operations) >= max_operations or not (is_cleanup_due or fullness > PRESSURE_FULLNESS):
            return
        if fullness <= 2 * PRESSURE_FULLNESS and now - self._compacted_at < MIN_COMPACTION_INTERVAL:
            return
        self._compacted_at = now
        self._update_segments()
        targets = self._score_jobs() + self._score_segments(is_cleanup_due)
        if is_cleanup_due:
            self._cleaned_up_at = now
            self._rewrite_stale_deltas(batch, len(batch.operations) + (max_operations - len(batch.operations) + 1) // 2)
        self._add_targets(batch, targets, max_operations)
        if is_cleanup_due:
            self._delete_orphaned_chunks(batch, max_operations)

    def _reserved_writes(self, fullness: float) -> float:
        if fullness > 2 * PRESSURE_FULLNESS:
            return 0.0
        return COMPACTION_RESERVE_SHARE * self.kv_store.writes_per_s

    def _update_segments(self) -> None:
        """Bring the segments up to date with the machines that changed."""
        for machine_name in sorted(self.cluster_state.dirty_machines):
            self.segment_table.update_machine(self.cluster_state, machine_name)
        self.cluster_state.dirty_machines.clear()

    def _score_segments(self, includes_all_dirty: bool) -> list[CompactionTarget]:
        """Return the dirty segments that free space in deltas; with `includes_all_dirty`, also those that free none."""
        dirty_segments = self.segment_table.dirty_segments
        freed_bytes: dict[int, int] = dict.fromkeys(dirty_segments, 0) if includes_all_dirty else {}
        for placement in self.cluster_state.planned_placements:
            # Still planned because no delta has room for it.
            number = self.segment_table.segment_by_machine.get(placement.machine.name)
            if number in dirty_segments:
                freed_bytes[number] = freed_bytes.get(number, 0) + START_ENTRY_BYTES
        for delta in self.delta_table.deltas:
            for placement in delta.starts:
                number = self.segment_table.segment_by_machine.get(placement.machine.name)
                if number in dirty_segments and not placement.is_in_segment:
                    freed_bytes[number] = freed_bytes.get(number, 0) + START_ENTRY_BYTES
        return [CompactionTarget(size, number) for number, size in freed_bytes.items()]

    def _score_jobs(self) -> list[CompactionTarget]:
        """Return the jobs with completions that bitmaps could hold in place of deltas."""
        freed_bytes: dict[JobRun, int] = {}
        for delta in self.delta_table.deltas:
            for run, index in delta.completions:
                if index in run.delta_completions and not run.final_state and not run.is_complete:
                    freed_bytes[run] = freed_bytes.get(run, 0) + COMPLETION_ENTRY_BYTES
        return [CompactionTarget(size, run) for run, size in freed_bytes.items()]

    def _add_targets(self, batch: LogBatch, targets: list[CompactionTarget], max_operations: int) -> None:
        """Add the targets that free the most space, as far as they fit into the batch."""
        for _, target in sorted(targets, key=lambda candidate: -candidate.freed_bytes):
            if len(batch.operations) >= max_operations:
                return
            if isinstance(target, int):
                self._add_segment(batch, target, max_operations)
            else:
                self._add_completion_chunks(batch, target, max_operations)

    def _rewrite_stale_deltas(self, batch: LogBatch, max_operations: int) -> None:
        """Rewrite the deltas with the most stale entries: one without new entries would keep them for ever."""
        self.delta_table.prune()
        for delta in sorted(self.delta_table.deltas, key=lambda delta: -delta.stale_entry_count):
            if not batch.has_room(delta.size_bytes, max_operations) or not delta.stale_entry_count:
                return
            key = self.delta_table.key_of(delta)
            if (
                key not in batch.compare_versions
                and delta.size_bytes <= self.segment_table.max_segment_bytes
                and self.refused_parts.try_add(batch, key)
            ):
                batch.add_delta(key, DeltaWrite(delta, [], []))

    def _add_segment(self, batch: LogBatch, segment_number: int, max_operations: int) -> None:
        size = self.segment_table.segment_bytes[segment_number] + OPERATION_OVERHEAD_BYTES
        if not batch.has_room(size, max_operations) or not self.segment_table.is_writable(segment_number):
            return
        key = segment_key(segment_number)
        if not self.refused_parts.try_add(batch, key):
            return
        batch.compare_versions[key] = self.segment_table.segment_versions[segment_number]
        batch.operations.append(put(key, self.segment_table.encode_segment(segment_number)))
        batch.segment_numbers.append(segment_number)
        for machine_name in self.segment_table.current_machines(segment_number):
            machine = self.cluster_state.machines.get(machine_name)
            if machine is not None:
                batch.segment_placements += self.segment_table.placements_in_entry(machine)
        batch.size_bytes += size

    def _add_completion_chunks(self, batch: LogBatch, run: JobRun, max_operations: int) -> None:
        for chunk_number in sorted({index // TASKS_PER_CHUNK for index in run.delta_completions}):
            value = encode_bitmap(run.completion_chunk(chunk_number))
            if not batch.has_room(len(value), max_operations):
                return
            key = chunk_key(run.spec.id, chunk_number)
            if not self.refused_parts.try_add(batch, key):
                continue
            run.attempted_chunks.add(chunk_number)
            batch.compare_versions[key] = run.chunk_versions.get(chunk_number, 0)
            batch.compare_versions[LIVE_JOB_PREFIX + run.spec.id] = run.version
            batch.operations.append(put(key, value))
            batch.size_bytes += len(value) + OPERATION_OVERHEAD_BYTES
            first_index = chunk_number * TASKS_PER_CHUNK
            saved_indices = {i for i in run.delta_completions if first_index <= i < first_index + TASKS_PER_CHUNK}
            batch.chunk_writes.append(ChunkWrite(run, chunk_number, saved_indices))

    def _delete_orphaned_chunks(self, batch: LogBatch, max_operations: int) -> None:
        batch.deleted_chunk_keys = sorted(self.orphaned_chunk_keys)[: max(0, max_operations - len(batch.operations))]
        batch.operations += [delete(key) for key in batch.deleted_chunk_keys]
