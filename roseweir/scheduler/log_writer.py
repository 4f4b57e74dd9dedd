"""Writes the cluster state's changes to the write-ahead log, and marks in the cluster state what is committed."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from roseweir.clock import monotonic_now, seconds, sleep, wait_at_most
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, Entry, KeyValueStoreClient, StoreError, ValueTooLarge
from roseweir.kv_store.fenced_writes import LeadershipLost
from roseweir.kv_store.write_confirmation import LeaderTransactions
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.notifier import Notifier
from roseweir.scheduler.batch_builder import LogBatchBuilder
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.compaction import CLEANUP_INTERVAL, PRESSURE_FULLNESS, LogCompactor
from roseweir.scheduler.delta_table import DeltaTable
from roseweir.scheduler.log_batch import LogBatch
from roseweir.scheduler.log_keys import LOG_PREFIX, is_delta_key, parse_delta_key, parse_segment_key
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.model import Placement, PlacementPhase
from roseweir.scheduler.recovery import LogRecovery, read_stored_log
from roseweir.scheduler.refused_parts import RefusedParts
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    COMPLETED_TASKS_PREFIX,
    LIVE_JOB_PREFIX,
    CompletedJob,
    completed_job,
    decode_completed_job,
)
from roseweir.submissions.task_bitmap import split_chunk_keys_for_completion

log = logging.getLogger(__name__)

RETRY_INTERVAL = timedelta(milliseconds=250)
# The interval between batches leaves room in the store's rate limit for this many writes per batch.
WRITES_PER_BATCH = 2.0
# The same while the deltas fill up: with fewer delta writes, more writes are left for segments and ends of jobs.
WRITES_PER_BATCH_UNDER_PRESSURE = 4.0
# Minimum interval between batches: each costs the encoding of its deltas and a request, however little it contains.
# With batches 16 ms apart, at 180 writes per second, starts waited at least as long for them as for the next pass.
MIN_BATCH_INTERVAL = timedelta(milliseconds=50)
# Share of a second's writes that the log leaves to submissions.
SUBMISSION_WRITE_SHARE = 0.25

JobEndedCallback = Callable[[str, str], None]


def ignore_job_end(job_id: str, state: str) -> None:
    """Do nothing about the end of a job."""


class LogWriter:
    """Writes the cluster state's changes to the write-ahead log, and marks in the cluster state what is committed.

    Attributes:
        leader_key_version: Version of the leader's key, which guards every transaction.
        segment_table: Segments of the log.
        deltas: Deltas of the log, by number.
        work_available: Set when there may be something to write.
        urgent_work_available: Set when a start that must not wait is planned; ends the wait for the next batch early.
        orphaned_chunk_keys: Keys of completion bitmaps that did not fit into the transaction that ended their job.
        on_job_ended: Called with a job's id and final state when its end is stored.
        commit_notifier: Notified of machines with newly committed starts, so that held responses can be sent.
    """

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        cluster_state: ClusterState,
        leader_key_version: int,
        commit_notifier: Notifier,
        on_job_ended: JobEndedCallback = ignore_job_end,
    ) -> None:
        """Create the writer of one leader's term.

        Args:
            kv_store: Client of the store.
            cluster_state: Source of what is written.
            leader_key_version: Version of the leader's key, which guards every transaction.
            commit_notifier: Notified of machines with newly committed starts.
            on_job_ended: Called with a job's id and final state when its end is stored.
        """
        self.kv_store = kv_store
        self.cluster_state = cluster_state
        self.leader_key_version = leader_key_version
        self._leader_writes = LeaderTransactions(
            kv_store, leader_key_version, write_once_prefixes=(COMPLETED_JOB_PREFIX,), may_resend=True
        )
        max_value_bytes = kv_store.transaction_limits.max_value_bytes
        self.segment_table = SegmentTable(max_value_bytes)
        self._delta_table = DeltaTable(self.segment_table, max_value_bytes)
        self.deltas = self._delta_table.deltas
        self._refused_parts = RefusedParts()
        self.work_available = asyncio.Event()
        self.urgent_work_available = asyncio.Event()
        self.orphaned_chunk_keys: set[str] = set()
        self._batch_builder = LogBatchBuilder(
            kv_store, cluster_state, leader_key_version, self.segment_table, self._delta_table, self._refused_parts
        )
        self._compactor = LogCompactor(
            kv_store,
            cluster_state,
            self.segment_table,
            self._delta_table,
            self._refused_parts,
            self.orphaned_chunk_keys,
        )
        self.on_job_ended = on_job_ended
        self._is_failing = False
        self.commit_notifier = commit_notifier

    async def recover(self) -> int:
        """Rebuild the cluster state from the store after a failover.

        Returns:
            The store revision from which changes of live jobs have to be watched.

        Raises:
            InconsistentLog: The log refers to an unknown machine type or job.
            StoreError: The store refused a request.
            Unreachable: The store did not answer.
        """
        stored_log = await read_stored_log(self.kv_store, self.cluster_state.catalog)
        self._restore_state(
            stored_log.live_entries, stored_log.chunk_entries, stored_log.log_entries, stored_log.ended_jobs
        )
        return stored_log.revision

    def _restore_state(
        self,
        live_entries: list[Entry],
        chunk_entries: list[Entry],
        log_entries: list[Entry],
        ended_jobs: dict[str, CompletedJob],
    ) -> None:
        recovery = LogRecovery(self.cluster_state, self.segment_table, self.deltas, self.orphaned_chunk_keys)
        recovery.restore(live_entries, chunk_entries, log_entries, ended_jobs)

    async def run(self) -> None:
        """Write until cancelled: deltas as often as the rate limit allows, segments and bitmaps with what remains.

        Raises:
            LeadershipLost: Another controller has become leader.
        """
        cluster_state = self.cluster_state
        while True:
            await wait_at_most(CLEANUP_INTERVAL, self.work_available.wait())
            self.work_available.clear()
            available_writes = await self.kv_store.wait_for_write_capacity(SUBMISSION_WRITE_SHARE)
            batch = self._build_batch(available_writes)
            if not batch.operations:
                continue
            await self._commit_batch(batch)
            batch_interval = self._batch_interval()
            await sleep(MIN_BATCH_INTERVAL)
            await wait_at_most(batch_interval - MIN_BATCH_INTERVAL, self.urgent_work_available.wait())
            self.urgent_work_available.clear()
            if cluster_state.dirty_jobs or cluster_state.planned_placements:
                self.work_available.set()

    def _batch_interval(self) -> timedelta:
        """Return the interval between batches at the current write rate and fullness of the deltas."""
        is_under_pressure = self._delta_table.fullness() > PRESSURE_FULLNESS
        writes_per_batch = WRITES_PER_BATCH_UNDER_PRESSURE if is_under_pressure else WRITES_PER_BATCH
        return max(MIN_BATCH_INTERVAL, seconds(writes_per_batch / self.kv_store.writes_per_s))

    def _build_batch(self, available_writes: float) -> LogBatch:
        batch = self._batch_builder.build()
        self._compactor.compact(batch, self.kv_store.transaction_limits.max_txn_ops, available_writes)
        return batch

    async def _commit_batch(self, batch: LogBatch) -> None:
        try:
            revision = await self._leader_writes.commit(list(batch.compare_versions.items()), batch.operations)
        except CompareFailed as error:
            self._requeue_batch(batch)
            if LEADER_KEY in error.failed_keys:
                raise LeadershipLost("the leader's key has changed") from error
            log.info("log write compare failed: keys=%s", ",".join(error.failed_keys))
            await self._refresh_versions(error.failed_keys)
            return
        except ValueTooLarge as error:
            self._requeue_batch(batch)
            self._handle_refused_batch(batch, error)
            return
        except (StoreError, Unreachable) as error:
            # The transaction may have been applied, or may still be. A retry compares the same versions, so at most one
            # of the two takes effect.
            self._requeue_batch(batch)
            log.log(logging.DEBUG if self._is_failing else logging.INFO, "log write failed: error=%s", error)
            self._is_failing = True
            await sleep(RETRY_INTERVAL)
            return
        self._is_failing = False
        self._apply_committed(batch, revision)

    def _apply_committed(self, batch: LogBatch, revision: int) -> None:
        """Mark the contents of a committed batch as stored, and allow start commands for its starts."""
        self._refused_parts.record_committed(batch)
        committed_machines = {p.machine.name for p in batch.segment_placements} | {
            p.machine.name for write in batch.delta_writes for p in write.new_starts
        }
        for number in batch.segment_numbers:
            self.segment_table.mark_written(number, revision)
        for placement in batch.segment_placements:
            placement.is_in_segment = True
            self._mark_committed(placement)
        for chunk_write in batch.chunk_writes:
            chunk_write.run.chunk_versions[chunk_write.chunk_number] = revision
            chunk_write.run.delta_completions -= chunk_write.saved_indices
        for delta_write in batch.delta_writes:
            delta_write.delta.mark_written(revision)
            for placement in delta_write.new_starts:
                self._mark_committed(placement)
            for run, index in delta_write.new_completions:
                run.uncommitted_completions.discard(index)
                run.delta_completions.add(index)
        self.orphaned_chunk_keys.difference_update(batch.deleted_chunk_keys)
        for run in batch.finished_jobs:
            self.record_job_end(run.spec.id, completed_job(run.spec, "done"))
        self.commit_notifier.notify(sorted(committed_machines))

    def _handle_refused_batch(self, batch: LogBatch, error: ValueTooLarge) -> None:
        self._refused_parts.record_refusal(batch, error)

    def _mark_committed(self, placement: Placement) -> None:
        if placement.phase == PlacementPhase.PLANNED and placement.run.placements.get(placement.index) is placement:
            placement.phase = PlacementPhase.COMMITTED

    def _requeue_batch(self, batch: LogBatch) -> None:
        """Remove the new entries of a batch that was not written from its deltas, and plan the starts again."""
        for write in batch.delta_writes:
            write.delta.remove_unwritten(write.new_starts, write.new_completions)
            self.cluster_state.planned_placements += write.new_starts

    async def _refresh_versions(self, keys: list[str]) -> None:
        """Read the versions of keys that an earlier, unanswered transaction or a user's cancellation has changed."""
        for key in keys:
            try:
                if key.startswith(LIVE_JOB_PREFIX):
                    await self.refresh_job_end(key.removeprefix(LIVE_JOB_PREFIX))
                    continue
                entry = await self.kv_store.get(key)
            except (StoreError, Unreachable):
                await sleep(RETRY_INTERVAL)
                continue
            version = 0 if entry is None else entry.version
            if is_delta_key(key):
                self.deltas[parse_delta_key(key)].version = version
            elif key.startswith(LOG_PREFIX):
                number = parse_segment_key(key)
                self.segment_table.segment_versions[number] = version
                self.segment_table.dirty_segments.add(number)
            elif key.startswith(COMPLETED_TASKS_PREFIX):
                job_id, _, chunk_number = key.removeprefix(COMPLETED_TASKS_PREFIX).rpartition("/")
                run = self.cluster_state.jobs.get(job_id)
                if run is not None:
                    run.chunk_versions[int(chunk_number)] = version

    async def refresh_job_end(self, job_id: str) -> None:
        """Check whether a job whose live key was changed or deleted has ended, and record its end if so.

        Raises:
            StoreError: The store refused the request.
            Unreachable: The store did not answer.
        """
        ended_entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        if ended_entry is not None:
            self.record_job_end(job_id, decode_completed_job(ended_entry.value))

    def record_job_end(self, job_id: str, ended_job: CompletedJob) -> None:
        """Apply the stored end of a job. Compaction deletes the bitmaps that were not deleted with it."""
        run = self.cluster_state.jobs.get(job_id)
        if run is None or run.final_state:
            return
        _, remaining_chunk_keys = split_chunk_keys_for_completion(
            job_id, run.attempted_chunks, self.kv_store.transaction_limits.max_txn_ops
        )
        self.orphaned_chunk_keys.update(remaining_chunk_keys)
        self.on_job_ended(job_id, ended_job.state)
        self.cluster_state.end_job(job_id, ended_job, monotonic_now())
