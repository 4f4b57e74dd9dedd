"""Writes the board's changes to the state service, and tells the board what has been recorded."""

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from roseweir.clock import NEVER, monotonic_now, seconds, sleep, wait_at_most
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, Entry, KeyValueStoreClient, StoreError, ValueTooLarge
from roseweir.kv_store.client import delete, put
from roseweir.kv_store.write_confirmation import LeaderTransactions
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.notifier import Notifier
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_delta import INITIAL_DELTA_COUNT, Delta, max_delta_count
from roseweir.scheduler.log_keys import (
    LOG_PREFIX,
    delta_key,
    is_delta_key,
    parse_delta_key,
    parse_segment_key,
    segment_key,
)
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.model import JobRun, Placement, PlacementPhase
from roseweir.scheduler.recovery import LogRecovery, read_stored_log
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    COMPLETED_TASKS_PREFIX,
    LIVE_JOB_PREFIX,
    TASKS_PER_CHUNK,
    CompletedJob,
    completed_job,
    decode_completed_job,
    to_stored,
)
from roseweir.submissions.task_bitmap import (
    chunk_key,
    encode_bitmap,
    split_chunk_keys_for_completion,
)

log = logging.getLogger(__name__)

RETRY_INTERVAL = timedelta(milliseconds=250)
# Records of tasks that are gone can wait: they only make a new leader more careful.
CLEANUP_INTERVAL = timedelta(seconds=1)
MAX_BATCH_BYTES = 56 * 1024
# Batches are so far apart that each may have this many changes within the state service's limit.
CHANGES_PER_BATCH = 2.0
# Or this many while the notes fill up: the fewer of them are written, the more is left for pages and ends of jobs.
CHANGES_PER_BATCH_UNDER_PRESSURE = 4.0
# But no closer together than this: each batch costs its notes' encoding and a request, whatever it holds.
# At 180 changes a second they were 16 ms apart, and starts waited no less for that than for the next pass.
MIN_BATCH_INTERVAL = timedelta(milliseconds=50)
# Shares of a second's changes: what the recorder leaves to submissions, and what it keeps of the
# rest for notes and ends of jobs before pages and chunks get any.
SUBMISSION_WRITE_SHARE, COMPACTION_RESERVE_SHARE = 0.25, 0.25
# Of a transaction's changes, the part that ends of jobs leave to notes.
DELTA_OPERATION_DIVISOR = 4
# When the notes are this full, pages and chunks are written without waiting for TIDY; when they are
# twice as full, with all that the recorder may spend.
PRESSURE_FULLNESS = 0.25
# Bringing pages up to date costs each machine that changed, so it is done for several batches together.
MIN_COMPACTION_INTERVAL = timedelta(milliseconds=150)
# Looking what all notes may leave out costs each of their entries; one that is written is looked at in any case.
PRUNE_INTERVAL = timedelta(milliseconds=500)
# A batch's first note is written if it is no fuller than this, further ones likewise.
MAX_FIRST_DELTA_FULLNESS, MAX_FURTHER_DELTA_FULLNESS = 0.9, 0.5
# Bytes that a start and a completion take of a note.
START_ENTRY_BYTES, COMPLETION_ENTRY_BYTES = 25, 5
# What the state service refuses by itself is tried again after this long.
REFUSAL_RETRY_INTERVAL = timedelta(seconds=10)


class LeadershipLost(Exception):
    """Another leads: the guard on the leader's key failed."""


@dataclass
class LogBatch:
    compare_versions: dict[str, int] = field(default_factory=dict)
    operations: list[dict[str, Any]] = field(default_factory=list)
    delta_writes: list[tuple[Delta, list[Placement], list[tuple[JobRun, int]]]] = field(default_factory=list)
    segment_numbers: list[int] = field(default_factory=list)
    segment_placements: list[Placement] = field(default_factory=list)
    chunk_writes: list[tuple[JobRun, int, set[int]]] = field(default_factory=list)
    finished_jobs: list[JobRun] = field(default_factory=list)
    deleted_chunk_keys: list[str] = field(default_factory=list)
    size_bytes: int = 0
    # Keys of its parts (notes, pages, chunks, ends), and the one of them that a refused batch had as well.
    part_keys: list[str] = field(default_factory=list)
    suspect_key: str | None = None


class LogWriter:
    def __init__(
        self, kv_store: KeyValueStoreClient, cluster_state: ClusterState, leader_version: int, commit_notifier: Notifier
    ) -> None:
        self.kv_store = kv_store
        self.cluster_state = cluster_state
        self.leader_version = leader_version
        self._leader_writes = LeaderTransactions(
            kv_store, leader_version, write_once_prefixes=(COMPLETED_JOB_PREFIX,), may_resend=True
        )
        self.max_value_bytes = kv_store.transaction_limits.max_value_bytes
        self.segment_table = SegmentTable(self.max_value_bytes)
        # An earlier leader may have had more.
        self.deltas = [Delta() for _ in range(INITIAL_DELTA_COUNT)]
        # Parts of a batch that was refused though nothing could be learnt from it: one of them goes in each batch,
        # until it is known which. That one holds up itself alone, until the given instant.
        self._suspect_part_keys: set[str] = set()
        self._refused_until: dict[str, datetime] = {}
        self.work_available = asyncio.Event()
        self.urgent_work_available = (
            asyncio.Event()
        )  # a start that must not wait is planned: the next batch goes out sooner
        # Chunks of jobs that are over, which had no room in the transaction of their end.
        self.orphaned_chunk_keys: set[str] = set()
        # Who wants to know of jobs' ends as they are recorded, and how they ended.
        self.on_job_ended: Callable[[str, str], None] = lambda job_id, kv_store: None
        self._is_failing = False
        self._cleaned_up_at = self._compacted_at = self._pruned_at = NEVER
        self.commit_notifier = commit_notifier  # rung for machines that orders may go to: held answers look again

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
        """Notes at once, as often as the state service's limits allow; pages and chunks with what is left."""
        cluster_state = self.cluster_state
        while True:
            await wait_at_most(CLEANUP_INTERVAL, self.work_available.wait())
            self.work_available.clear()
            available_writes = await self.kv_store.wait_for_write_capacity(SUBMISSION_WRITE_SHARE)
            batch = self._build_batch(available_writes)
            if not batch.operations:
                continue
            await self._commit_batch(batch)
            changes_per_batch = (
                CHANGES_PER_BATCH if self._delta_fullness() <= PRESSURE_FULLNESS else CHANGES_PER_BATCH_UNDER_PRESSURE
            )
            batch_interval = max(MIN_BATCH_INTERVAL, seconds(changes_per_batch / self.kv_store.writes_per_s))
            await sleep(MIN_BATCH_INTERVAL)
            await wait_at_most(batch_interval - MIN_BATCH_INTERVAL, self.urgent_work_available.wait())
            self.urgent_work_available.clear()
            if cluster_state.dirty_jobs or cluster_state.planned_placements:
                self.work_available.set()

    @property
    def delta_capacity_bytes(self) -> int:
        return self.segment_table.fill_bytes

    def _apply_value_limit(self) -> None:
        """Obey a limit that a refusal has told of."""
        if self.kv_store.transaction_limits.max_value_bytes == self.max_value_bytes:
            return
        self.max_value_bytes = self.kv_store.transaction_limits.max_value_bytes
        self.segment_table.set_max_value_bytes(self.max_value_bytes)
        self.segment_table.split_oversized()

    def _try_add_part(self, batch: LogBatch, part_key: str) -> bool:
        """Whether this part may go with the batch; it is taken for added then."""
        refused_until = self._refused_until.get(part_key)
        if refused_until is not None and monotonic_now() < refused_until:
            return False
        if part_key in self._suspect_part_keys:
            if batch.suspect_key is not None:
                return False
            batch.suspect_key = part_key
        batch.part_keys.append(part_key)
        return True

    def _build_batch(self, available_writes: float) -> LogBatch:
        cluster_state = self.cluster_state
        self._apply_value_limit()
        max_operations = self.kv_store.transaction_limits.max_txn_ops
        batch = LogBatch(compare_versions={LEADER_KEY: self.leader_version})
        planned_placements = [
            p
            for p in cluster_state.planned_placements
            if p.phase == PlacementPhase.PLANNED and p.run.placements.get(p.index) is p
        ]
        completions: list[tuple[JobRun, int]] = []
        completed_jobs: list[JobRun] = []
        for job_id in sorted(cluster_state.dirty_jobs):
            run = cluster_state.jobs.get(job_id)
            if run is None or run.final_state or not run.uncommitted_completions:
                cluster_state.dirty_jobs.discard(job_id)
            elif not run.is_complete:
                completions += [(run, index) for index in run.uncommitted_completions]
            else:
                completed_jobs.append(run)
        completed_jobs.sort(key=lambda run: (not run.is_within_quota, run.priority, run.eligible_from_ms))
        for run in completed_jobs:
            # Each end takes two changes and more. A swarm of small jobs ended in their hundreds before
            # any start was recorded: 4,800 tasks of others waited for a note (own day, swarm).
            if batch.size_bytes >= MAX_BATCH_BYTES // 4 or (
                batch.finished_jobs and (planned_placements or completions)
            ):
                break
            self._add_job_end(
                batch, run, max_operations - min(len(self.deltas), max_operations // DELTA_OPERATION_DIVISOR)
            )
        cluster_state.planned_placements = self._add_new_entries(batch, planned_placements, completions, max_operations)
        self._compact(batch, max_operations, available_writes)
        return batch

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
        if (batch.operations and len(batch.operations) + len(operations) > max_operations) or not self._try_add_part(
            batch, COMPLETED_JOB_PREFIX + job_id
        ):
            return
        batch.finished_jobs.append(run)
        batch.operations += operations
        batch.size_bytes += 512 + 64 * len(operations)
        batch.compare_versions[LIVE_JOB_PREFIX + job_id] = run.version

    def _add_new_entries(
        self,
        batch: LogBatch,
        planned_placements: list[Placement],
        completions: list[tuple[JobRun, int]],
        max_operations: int,
    ) -> list[Placement]:
        """Put what is new where there is room, the emptiest note first; what is left over waits."""
        if not planned_placements and not completions:
            return []
        self._prune_deltas()
        for delta in self._deltas_by_free_space():
            if (
                not (planned_placements or completions)
                or len(batch.operations) >= max_operations
                or batch.size_bytes + self.delta_capacity_bytes > MAX_BATCH_BYTES
            ):
                break
            delta.prune()
            # Writing a nearly full note buys little; the change is better spent on emptying it.
            if delta.size_bytes > self.delta_capacity_bytes * (
                MAX_FURTHER_DELTA_FULLNESS if batch.delta_writes else MAX_FIRST_DELTA_FULLNESS
            ):
                break
            key = delta_key(self.deltas.index(delta))
            if not self._try_add_part(batch, key):
                continue
            delta_completions: list[tuple[JobRun, int]] = []
            starts: list[Placement] = []
            while completions and delta.size_bytes < self.delta_capacity_bytes:
                delta_completions.append(completions.pop())
                delta.add_completion(*delta_completions[-1])
            while planned_placements and delta.size_bytes < self.delta_capacity_bytes:
                starts.append(planned_placements.pop(0))
                delta.add_start(starts[-1])
            if not starts and not delta_completions:
                break
            self._add_delta(batch, delta, starts, delta_completions)
        return planned_placements

    def _delta_fullness(self) -> float:
        """Of all notes that there may be, the share that is taken."""
        max_deltas = max(len(self.deltas), max_delta_count(self.max_value_bytes))
        return sum(delta.size_bytes for delta in self.deltas) / (self.delta_capacity_bytes * max_deltas)

    def _deltas_by_free_space(self) -> Iterator[Delta]:
        """The notes, and new ones in place of those that are over half full, as long as there may be more."""
        max_deltas = max_delta_count(self.max_value_bytes)
        for delta in sorted(self.deltas, key=lambda delta: (delta.size_bytes, -delta.stale_entry_count)):
            while (
                delta.size_bytes > self.delta_capacity_bytes * MAX_FURTHER_DELTA_FULLNESS
                and len(self.deltas) < max_deltas
            ):
                self.deltas.append(Delta())
                yield self.deltas[-1]
            yield delta

    def _compact(self, batch: LogBatch, max_operations: int, available_writes: float) -> None:
        """Pages and chunks that take the most out of the notes, then pages that only lose entries."""
        cluster_state, now = self.cluster_state, monotonic_now()
        is_cleanup_due = now - self._cleaned_up_at >= CLEANUP_INTERVAL
        fullness = self._delta_fullness()
        reserved_writes = (
            0.0 if fullness > 2 * PRESSURE_FULLNESS else COMPACTION_RESERVE_SHARE * self.kv_store.writes_per_s
        )
        max_operations = min(max_operations, int(available_writes - reserved_writes))
        if len(batch.operations) >= max_operations or not (is_cleanup_due or fullness > PRESSURE_FULLNESS):
            return
        if fullness <= 2 * PRESSURE_FULLNESS and now - self._compacted_at < MIN_COMPACTION_INTERVAL:
            return
        self._compacted_at = now
        for machine_name in sorted(cluster_state.dirty_machines):
            self.segment_table.update_machine(cluster_state, machine_name)
        cluster_state.dirty_machines.clear()
        bytes_gained_by_segment: dict[int, int] = (
            dict.fromkeys(self.segment_table.dirty_segments, 0) if is_cleanup_due else {}
        )
        bytes_gained_by_job: dict[JobRun, int] = {}
        for placement in cluster_state.planned_placements:
            # No note has room for it.
            number = self.segment_table.segment_by_machine.get(placement.machine.name)
            if number in self.segment_table.dirty_segments:
                bytes_gained_by_segment[number] = bytes_gained_by_segment.get(number, 0) + START_ENTRY_BYTES
        for delta in self.deltas:
            for placement in delta.starts:
                number = self.segment_table.segment_by_machine.get(placement.machine.name)
                if number in self.segment_table.dirty_segments and not placement.is_in_segment:
                    bytes_gained_by_segment[number] = bytes_gained_by_segment.get(number, 0) + START_ENTRY_BYTES
            for run, index in delta.completions:
                if index in run.delta_completions and not run.final_state and not run.is_complete:
                    bytes_gained_by_job[run] = bytes_gained_by_job.get(run, 0) + COMPLETION_ENTRY_BYTES
        if is_cleanup_due:
            self._cleaned_up_at = now
        gains: list[tuple[int, JobRun | int]] = [(gain, run) for run, gain in bytes_gained_by_job.items()]
        gains += [(gain, number) for number, gain in bytes_gained_by_segment.items()]
        if is_cleanup_due:
            self._rewrite_stale_deltas(batch, len(batch.operations) + (max_operations - len(batch.operations) + 1) // 2)
        for _, target in sorted(gains, key=lambda pair: -pair[0]):
            if len(batch.operations) >= max_operations:
                break
            if isinstance(target, int):
                self._add_segment(batch, target, max_operations)
            else:
                self._add_completion_chunks(batch, target, max_operations)
        if is_cleanup_due:
            batch.deleted_chunk_keys = sorted(self.orphaned_chunk_keys)[
                : max(0, max_operations - len(batch.operations))
            ]
            batch.operations += [delete(key) for key in batch.deleted_chunk_keys]

    def _prune_deltas(self) -> None:
        now = monotonic_now()
        if now - self._pruned_at >= PRUNE_INTERVAL:
            self._pruned_at = now
            for delta in self.deltas:
                delta.prune()

    def _rewrite_stale_deltas(self, batch: LogBatch, max_operations: int) -> None:
        """Write notes anew of which much is stale: one that nothing new goes into would keep that for ever."""
        self._prune_deltas()
        for delta in sorted(self.deltas, key=lambda delta: -delta.stale_entry_count):
            size = delta.size_bytes
            if (
                len(batch.operations) >= max_operations
                or batch.size_bytes + size > MAX_BATCH_BYTES
                or not delta.stale_entry_count
            ):
                return
            key = delta_key(self.deltas.index(delta))
            if (
                key not in batch.compare_versions
                and size <= self.segment_table.max_segment_bytes
                and self._try_add_part(batch, key)
            ):
                self._add_delta(batch, delta, [], [])

    def _add_delta(
        self, batch: LogBatch, delta: Delta, starts: list[Placement], completions: list[tuple[JobRun, int]]
    ) -> None:
        key = delta_key(self.deltas.index(delta))
        batch.compare_versions[key] = delta.version
        batch.operations.append(put(key, delta.encode()))
        batch.size_bytes += delta.size_bytes
        batch.delta_writes.append((delta, starts, completions))

    def _add_segment(self, batch: LogBatch, segment_number: int, max_operations: int) -> None:
        size = self.segment_table.segment_bytes[segment_number] + 64
        if (
            len(batch.operations) >= max_operations
            or batch.size_bytes + size > MAX_BATCH_BYTES
            or not self.segment_table.is_writable(segment_number)
        ):
            return
        if not self._try_add_part(batch, segment_key(segment_number)):
            return
        batch.compare_versions[segment_key(segment_number)] = self.segment_table.segment_versions[segment_number]
        batch.operations.append(put(segment_key(segment_number), self.segment_table.encode_segment(segment_number)))
        batch.segment_numbers.append(segment_number)
        for machine_name in self.segment_table.current_machines(segment_number):
            machine = self.cluster_state.machines.get(machine_name)
            if machine is not None:
                batch.segment_placements += self.segment_table.recorded_placements(machine)
        batch.size_bytes += size

    def _add_completion_chunks(self, batch: LogBatch, run: JobRun, max_operations: int) -> None:
        for chunk_number in sorted({index // TASKS_PER_CHUNK for index in run.delta_completions}):
            value = encode_bitmap(run.completion_chunk(chunk_number))
            if len(batch.operations) >= max_operations or batch.size_bytes + len(value) > MAX_BATCH_BYTES:
                return
            key = chunk_key(run.spec.id, chunk_number)
            if not self._try_add_part(batch, key):
                continue
            run.attempted_chunks.add(chunk_number)
            batch.compare_versions[key] = run.chunk_versions.get(chunk_number, 0)
            batch.compare_versions[LIVE_JOB_PREFIX + run.spec.id] = run.version
            batch.operations.append(put(key, value))
            batch.size_bytes += len(value) + 64
            first_index = chunk_number * TASKS_PER_CHUNK
            batch.chunk_writes.append(
                (
                    run,
                    chunk_number,
                    {i for i in run.delta_completions if first_index <= i < first_index + TASKS_PER_CHUNK},
                )
            )

    async def _commit_batch(self, batch: LogBatch) -> None:
        try:
            revision = await self._leader_writes.commit(list(batch.compare_versions.items()), batch.operations)
        except CompareFailed as error:
            self._requeue_batch(batch)
            if LEADER_KEY in error.failed_keys:
                raise LeadershipLost("the leader's key has changed") from error
            log.info("record out of date: %s", ", ".join(error.failed_keys))
            await self._refresh_versions(error.failed_keys)
            return
        except ValueTooLarge as error:
            self._requeue_batch(batch)
            self._handle_refused_batch(batch, error)
            return
        except (StoreError, Unreachable) as error:
            # It may have run or may run yet. All guards stay, so at most one of the tries counts.
            self._requeue_batch(batch)
            log.log(logging.DEBUG if self._is_failing else logging.INFO, "recording failed: %s", error)
            self._is_failing = True
            await sleep(RETRY_INTERVAL)
            return
        self._is_failing = False
        self._suspect_part_keys.difference_update(batch.part_keys)
        ready_machines = {p.machine.name for p in batch.segment_placements} | {
            p.machine.name for _, starts, _ in batch.delta_writes for p in starts
        }
        for number in batch.segment_numbers:
            self.segment_table.mark_written(number, revision)
        for placement in batch.segment_placements:
            placement.is_in_segment = True
            self._mark_committed(placement)
        for run, number, saved_indices in batch.chunk_writes:
            run.chunk_versions[number] = revision
            run.delta_completions -= saved_indices
        for delta, starts, completions in batch.delta_writes:
            delta.mark_written(revision)
            for placement in starts:
                self._mark_committed(placement)
            for run, index in completions:
                run.uncommitted_completions.discard(index)
                run.delta_completions.add(index)
        self.orphaned_chunk_keys.difference_update(batch.deleted_chunk_keys)
        for run in batch.finished_jobs:
            self.record_job_end(run.spec.id, completed_job(run.spec, "done"))
        self.commit_notifier.notify(sorted(ready_machines))

    def _handle_refused_batch(self, batch: LogBatch, error: ValueTooLarge) -> None:
        """The next batches obey what the limits have learnt. Where that was nothing, find the part that is refused."""
        if error.is_limit_lowered:
            return
        refused_part_key = batch.suspect_key or (batch.part_keys[0] if len(batch.part_keys) == 1 else None)
        if refused_part_key is None:
            self._suspect_part_keys.update(batch.part_keys)
            return
        self._suspect_part_keys.discard(refused_part_key)
        self._refused_until[refused_part_key] = monotonic_now() + REFUSAL_RETRY_INTERVAL
        log.warning("%s is not recorded for now: %s", refused_part_key, error)

    def _mark_committed(self, placement: Placement) -> None:
        if placement.phase == PlacementPhase.PLANNED and placement.run.placements.get(placement.index) is placement:
            placement.phase = PlacementPhase.COMMITTED

    def _requeue_batch(self, batch: LogBatch) -> None:
        """What a note could not be written with is planned still."""
        for delta, starts, completions in batch.delta_writes:
            delta.remove_unwritten(starts, completions)
            self.cluster_state.planned_placements += starts

    async def _refresh_versions(self, keys: list[str]) -> None:
        """Learn the versions that an earlier, unanswered try or a user's cancel has left behind."""
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
        """The job's live key changed or went: is it over?"""
        ended_entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        if ended_entry is not None:
            self.record_job_end(job_id, decode_completed_job(ended_entry.value))

    def record_job_end(self, job_id: str, ended_job: CompletedJob) -> None:
        """The state service holds the job's end. Chunks that did not go with it are tidied up when there is time."""
        run = self.cluster_state.jobs.get(job_id)
        if run is None or run.final_state:
            return
        _, remaining_chunk_keys = split_chunk_keys_for_completion(
            job_id, run.attempted_chunks, self.kv_store.transaction_limits.max_txn_ops
        )
        self.orphaned_chunk_keys.update(remaining_chunk_keys)
        self.on_job_ended(job_id, ended_job.state)
        self.cluster_state.end_job(job_id, ended_job, monotonic_now())
