"""Builds batches of the write-ahead log from new starts, completions and ends of jobs."""

from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.client import delete, put
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.delta_table import MAX_FIRST_DELTA_FULLNESS, MAX_FURTHER_DELTA_FULLNESS, DeltaTable
from roseweir.scheduler.log_batch import MAX_BATCH_BYTES, DeltaWrite, LogBatch
from roseweir.scheduler.log_delta import CompletedTask, Delta
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.model import JobRun, Placement, PlacementPhase
from roseweir.scheduler.refused_parts import RefusedParts
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, completed_job, to_stored
from roseweir.submissions.task_bitmap import split_chunk_keys_for_completion

# Ends of jobs leave up to one in this many of a transaction's operations to deltas.
DELTA_OPERATION_DIVISOR = 4
# Ends of jobs are added until a batch has reached MAX_BATCH_BYTES divided by this.
JOB_END_BYTES_DIVISOR = 4
# Estimated bytes of the end of a job, and of each of its operations.
JOB_END_BYTES = 512
JOB_END_OPERATION_BYTES = 64


class LogBatchBuilder:
    """Collects new starts, completions and ends of jobs into batches."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        cluster_state: ClusterState,
        leader_key_version: int,
        segment_table: SegmentTable,
        delta_table: DeltaTable,
        refused_parts: RefusedParts,
    ) -> None:
        """Create a builder for one log.

        Args:
            kv_store: Provides the transaction limits.
            cluster_state: Source of new starts, completions and ends of jobs.
            leader_key_version: Version of the leader's key, which guards every batch.
            segment_table: Segments of the log.
            delta_table: Deltas of the log.
            refused_parts: Decides whether a part may be added to a batch.
        """
        self.kv_store = kv_store
        self.cluster_state = cluster_state
        self.leader_key_version = leader_key_version
        self.segment_table = segment_table
        self.delta_table = delta_table
        self.refused_parts = refused_parts

    def build(self) -> LogBatch:
        """Return a batch of the new entries that fit; placements that do not fit stay planned."""
        self._apply_value_limit()
        max_operations = self.kv_store.transaction_limits.max_txn_ops
        batch = LogBatch(compare_versions={LEADER_KEY: self.leader_key_version})
        planned_placements = [
            p
            for p in self.cluster_state.planned_placements
            if p.phase == PlacementPhase.PLANNED and p.run.placements.get(p.index) is p
        ]
        completions, completed_runs = self._collect_completions()
        has_new_entries = bool(planned_placements or completions)
        self._add_job_ends(batch, completed_runs, max_operations, has_new_entries=has_new_entries)
        self.cluster_state.planned_placements = self._add_new_entries(
            batch, planned_placements, completions, max_operations
        )
        return batch

    def _apply_value_limit(self) -> None:
        """Apply the current value size limit, which is lowered after the store refuses a larger value."""
        max_value_bytes = self.kv_store.transaction_limits.max_value_bytes
        if max_value_bytes == self.delta_table.max_value_bytes:
            return
        self.delta_table.max_value_bytes = max_value_bytes
        self.segment_table.set_max_value_bytes(max_value_bytes)
        self.segment_table.split_oversized()

    def _collect_completions(self) -> tuple[list[CompletedTask], list[JobRun]]:
        """Return the uncommitted completions of jobs that are not complete, and the jobs that are."""
        cluster_state = self.cluster_state
        completions: list[CompletedTask] = []
        completed_runs: list[JobRun] = []
        for job_id in sorted(cluster_state.dirty_jobs):
            run = cluster_state.jobs.get(job_id)
            if run is None or run.final_state or not run.uncommitted_completions:
                cluster_state.dirty_jobs.discard(job_id)
            elif not run.is_complete:
                completions += [CompletedTask(run, index) for index in run.uncommitted_completions]
            else:
                completed_runs.append(run)
        return completions, completed_runs

    def _add_job_ends(
        self, batch: LogBatch, completed_runs: list[JobRun], max_operations: int, *, has_new_entries: bool
    ) -> None:
        """Add ends of jobs, those within quota first, then by priority; only one if there are entries for deltas."""
        max_job_end_operations = max_operations - min(
            len(self.delta_table.deltas), max_operations // DELTA_OPERATION_DIVISOR
        )
        completed_runs.sort(key=lambda run: (not run.is_within_quota, run.priority, run.eligible_from_ms))
        for run in completed_runs:
            # The end of a job takes at least two operations. Without this limit, the ends of hundreds of small jobs
            # were logged before any start, and 4,800 tasks of other jobs waited to be logged.
            if batch.size_bytes >= MAX_BATCH_BYTES // JOB_END_BYTES_DIVISOR or (
                batch.finished_jobs and has_new_entries
            ):
                return
            self._add_job_end(batch, run, max_job_end_operations)

    def _add_job_end(self, batch: LogBatch, run: JobRun, max_operations: int) -> None:
        job_id = run.spec.id
        chunk_keys, _ = split_chunk_keys_for_completion(
            job_id, run.attempted_chunks, self.kv_store.transaction_limits.max_txn_ops
        )
        operations = [
            put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(run.spec, "done"))),
            delete(LIVE_JOB_PREFIX + job_id),
        ]
        operations += [delete(key) for key in chunk_keys]
        if batch.operations and len(batch.operations) + len(operations) > max_operations:
            return
        if not self.refused_parts.try_add(batch, COMPLETED_JOB_PREFIX + job_id):
            return
        batch.finished_jobs.append(run)
        batch.operations += operations
        batch.size_bytes += JOB_END_BYTES + JOB_END_OPERATION_BYTES * len(operations)
        batch.compare_versions[LIVE_JOB_PREFIX + job_id] = run.version

    def _add_new_entries(
        self,
        batch: LogBatch,
        planned_placements: list[Placement],
        completions: list[CompletedTask],
        max_operations: int,
    ) -> list[Placement]:
        """Add new entries to deltas with room, the emptiest first; return the placements that do not fit."""
        if not planned_placements and not completions:
            return []
        self.delta_table.prune()
        capacity_bytes = self.delta_table.capacity_bytes
        for delta in self.delta_table.by_free_space():
            if not (planned_placements or completions) or not batch.has_room(capacity_bytes, max_operations):
                break
            delta.prune()
            # Writing a nearly full delta gains little; the write is better spent on emptying it.
            max_fullness = MAX_FURTHER_DELTA_FULLNESS if batch.delta_writes else MAX_FIRST_DELTA_FULLNESS
            if delta.size_bytes > capacity_bytes * max_fullness:
                break
            key = self.delta_table.key_of(delta)
            if not self.refused_parts.try_add(batch, key):
                continue
            write = self._fill_delta(delta, planned_placements, completions)
            if not write.new_starts and not write.new_completions:
                break
            batch.add_delta(key, write)
        return planned_placements

    def _fill_delta(
        self, delta: Delta, planned_placements: list[Placement], completions: list[CompletedTask]
    ) -> DeltaWrite:
        """Move completions, then starts, from these lists into a delta until it is full."""
        write = DeltaWrite(delta, [], [])
        while completions and delta.size_bytes < self.delta_table.capacity_bytes:
            write.new_completions.append(completions.pop())
            delta.add_completion(*write.new_completions[-1])
        while planned_placements and delta.size_bytes < self.delta_table.capacity_bytes:
            write.new_starts.append(planned_placements.pop(0))
            delta.add_start(write.new_starts[-1])
        return write
