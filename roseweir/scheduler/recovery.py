"""Recovery from the write-ahead log: a new leader rebuilds the cluster state from what its predecessors stored."""

from dataclasses import dataclass
from typing import Any, NamedTuple

from roseweir.clock import monotonic_now
from roseweir.kv_store import Entry, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import gather_all
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_delta import Delta
from roseweir.scheduler.log_keys import (
    LOG_PREFIX,
    decode_start_id,
    is_delta_key,
    parse_delta_key,
    parse_segment_key,
)
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.model import Machine
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    COMPLETED_TASKS_PREFIX,
    LIVE_JOB_PREFIX,
    TASKS_PER_CHUNK,
    CompletedJob,
    MachineType,
    decode_completed_job,
)
from roseweir.submissions.task_bitmap import decode_task_numbers


class InconsistentLog(StoreError):
    """The log refers to a machine type or job that this controller cannot find; a later attempt may succeed."""


class UnknownMachineTypes(InconsistentLog):
    """The log holds machines of types that the catalog lacks.

    Attributes:
        machine_types: Names of these types.
    """

    def __init__(self, machine_types: set[str]) -> None:
        super().__init__(f"a logged machine has an unknown type: {machine_types}")
        self.machine_types = machine_types


class UnknownJob(InconsistentLog):
    """The log holds starts of a job that is stored neither as live nor as ended.

    Attributes:
        job_id: The job's id.
    """

    def __init__(self, job_id: str) -> None:
        super().__init__(f"job {job_id} is in the write-ahead log, but is stored neither as live nor as ended")
        self.job_id = job_id


@dataclass(frozen=True, slots=True)
class StoredLog:
    """The stored data from which a new leader rebuilds its state.

    Attributes:
        live_entries: Live jobs.
        chunk_entries: Bitmaps of completed tasks, by job and chunk.
        log_entries: Segments and deltas.
        ended_jobs: Ended jobs that the log refers to, by id.
        revision: Store revision from which changes of live jobs have to be watched.
    """

    live_entries: list[Entry]
    chunk_entries: list[Entry]
    log_entries: list[Entry]
    ended_jobs: dict[str, CompletedJob]
    revision: int


class LoggedStart(NamedTuple):
    """A logged start of a task.

    Attributes:
        start_order: Attempt and replacement number; newer starts compare greater.
        machine: Where the task was to start.
        delta: The delta that holds the start; None if a segment does.
    """

    start_order: tuple[int, int]
    machine: Machine
    delta: Delta | None


class RecoveredStarts:
    """The newest logged start of each task, and the machines that older ones were logged for.

    Attributes:
        newest_starts: Newest start by (job id, task index).
        stale_machines: Names of machines with a start that a newer one has replaced.
    """

    def __init__(self) -> None:
        self.newest_starts: dict[tuple[str, int], LoggedStart] = {}
        self.stale_machines: set[str] = set()

    def add(
        self, job_id: str, indices_by_start_id: dict[str, list[int]], machine: Machine, delta: Delta | None
    ) -> None:
        """Add logged starts of a job on a machine, `{start id: [task indices]}`; `delta` is None for a segment's."""
        for start_id, indices in indices_by_start_id.items():
            start_order = decode_start_id(start_id)
            for index in indices:
                newest_start = self.newest_starts.get((job_id, index))
                if newest_start is None or start_order > newest_start.start_order:
                    if newest_start is not None:
                        self.stale_machines.add(newest_start.machine.name)
                    self.newest_starts[job_id, index] = LoggedStart(start_order, machine, delta)
                elif newest_start.machine is not machine:
                    self.stale_machines.add(machine.name)


def referenced_types_and_jobs(value: dict[str, Any]) -> tuple[set[str], set[str]]:
    """Return the names of the machine types and the ids of the jobs that a stored segment or delta refers to."""
    if "starts" in value:
        return {instance_pool[0] for instance_pool in value["kinds"]}, set(value["starts"])
    entries = value["machines"].values()
    return {entry["type"] for entry in entries}, {job_id for entry in entries for job_id in entry["tasks"]}


async def read_stored_log(kv_store: KeyValueStoreClient, catalog: dict[str, MachineType]) -> StoredLog:
    """Read the jobs and the log after a failover. Transactions of earlier leaders fail from here on.

    Everything is read before any of it is applied, so that a failed attempt leaves the cluster state unchanged. A job
    that is cancelled between two attempts would otherwise stay there, since no watch event reports its end.

    Raises:
        InconsistentLog: The log refers to an unknown machine type or job.
        StoreError: The store refused a request.
        Unreachable: The store did not answer.
    """
    # The order does not matter: only the leader changes placements and completions, and the watch of live jobs starts
    # at the revision of their first page, so it reports later changes.
    scans = await gather_all(
        *(kv_store.scan(prefix) for prefix in (LIVE_JOB_PREFIX, COMPLETED_TASKS_PREFIX, LOG_PREFIX))
    )
    (live_entries, revision), (chunk_entries, _), (log_entries, _) = scans
    live_job_ids = {entry.key.removeprefix(LIVE_JOB_PREFIX) for entry in live_entries}
    finished_job_ids: set[str] = set()
    for entry in log_entries:
        machine_types, job_ids = referenced_types_and_jobs(entry.value)
        if not machine_types <= catalog.keys():
            # Resources used on such machines are unknown, so this controller must not lead yet.
            raise UnknownMachineTypes(machine_types - catalog.keys())
        finished_job_ids |= job_ids - live_job_ids
    ended_jobs = await _read_ended_jobs(kv_store, finished_job_ids)
    return StoredLog(live_entries, chunk_entries, log_entries, ended_jobs, revision)


async def _read_ended_jobs(kv_store: KeyValueStoreClient, job_ids: set[str]) -> dict[str, CompletedJob]:
    """Return the stored ends of these jobs; raise UnknownJob if one is not stored."""
    ended_jobs: dict[str, CompletedJob] = {}
    ended_entries = await kv_store.get_many(COMPLETED_JOB_PREFIX + job_id for job_id in sorted(job_ids))
    for key, ended_entry in ended_entries.items():
        job_id = key.removeprefix(COMPLETED_JOB_PREFIX)
        if ended_entry is None:
            raise UnknownJob(job_id)
        ended_jobs[job_id] = decode_completed_job(ended_entry.value)
    return ended_jobs


class LogRecovery:
    """Rebuilds the cluster state, the segments and the deltas of a new leader from what is stored."""

    def __init__(
        self,
        cluster_state: ClusterState,
        segment_table: SegmentTable,
        deltas: list[Delta],
        orphaned_chunk_keys: set[str],
    ) -> None:
        """Create a recovery that changes its arguments in place.

        Args:
            cluster_state: Receives jobs, machines and placements.
            segment_table: Receives the stored segments.
            deltas: Receive the stored deltas; more are appended if an earlier leader had more.
            orphaned_chunk_keys: Receives the keys of completion bitmaps whose jobs have ended.
        """
        self.cluster_state = cluster_state
        self.segment_table = segment_table
        self.deltas = deltas
        self.orphaned_chunk_keys = orphaned_chunk_keys

    def restore(
        self,
        live_entries: list[Entry],
        chunk_entries: list[Entry],
        log_entries: list[Entry],
        ended_jobs: dict[str, CompletedJob],
    ) -> None:
        """Rebuild from entries as in `StoredLog`."""
        self._restore_jobs(live_entries, ended_jobs)
        for entry in chunk_entries:
            self._restore_chunk(entry)
        for entry in log_entries:
            if not is_delta_key(entry.key):
                self.segment_table.load_segment(parse_segment_key(entry.key), entry.value, entry.version)
        starts = RecoveredStarts()
        self._restore_machines(starts)
        for entry in log_entries:
            if is_delta_key(entry.key):
                self._restore_delta(parse_delta_key(entry.key), entry, starts)
        self._restore_placements(starts)
        self.segment_table.split_oversized()

    def _restore_jobs(self, live_entries: list[Entry], ended_jobs: dict[str, CompletedJob]) -> None:
        for entry in live_entries:
            self.cluster_state.add_stored_job(entry.key.removeprefix(LIVE_JOB_PREFIX), entry.value, entry.version)
        for job_id, ended_job in ended_jobs.items():
            self.cluster_state.add_job(ended_job.to_spec(job_id), 0).final_state = ended_job.state

    def _restore_chunk(self, entry: Entry) -> None:
        """Mark the tasks of a completion bitmap as completed."""
        job_id, _, chunk_number = entry.key.removeprefix(COMPLETED_TASKS_PREFIX).rpartition("/")
        run = self.cluster_state.jobs.get(job_id)
        if run is None or run.final_state:
            # Only leaders write bitmaps, and no other leader can now, so this one was written before the job's end.
            self.orphaned_chunk_keys.add(entry.key)
            return
        run.chunk_versions[int(chunk_number)] = entry.version
        run.attempted_chunks.add(int(chunk_number))
        for index in decode_task_numbers(entry.value, int(chunk_number) * TASKS_PER_CHUNK):
            if index < run.spec.task_count:
                run.mark_completed(index)

    def _restore_machines(self, starts: RecoveredStarts) -> None:
        """Restore the machines of all segments, and collect the starts that are logged there."""
        for segment_entries in self.segment_table.entries_by_segment.values():
            for name, machine_entry in segment_entries.items():
                machine = self._restore_machine(
                    name, machine_entry["type"], machine_entry["zone"], machine_entry["spot"]
                )
                if machine_entry.get("rented"):
                    machine.is_autoscaled = True
                    self.cluster_state.obtained_instance_pools.add(
                        (machine.machine_type.name, machine.zone, machine.is_spot)
                    )
                for image, size in machine_entry.get("images", {}).items():
                    machine.record_image_use(image, size)
                for job_id, indices_by_start_id in machine_entry["tasks"].items():
                    starts.add(job_id, indices_by_start_id, machine, None)

    def _restore_delta(self, number: int, entry: Entry, starts: RecoveredStarts) -> None:
        """Restore a stored delta; its starts count as stale until they prove to be the newest of their tasks."""
        while number >= len(self.deltas):
            self.deltas.append(Delta())
        delta, value = self.deltas[number], entry.value
        delta.version = entry.version
        machines: dict[str, Machine] = {}
        for name, instance_pool in value["machines"].items():
            machines[name] = self._restore_machine(name, *value["kinds"][instance_pool])
        for job_id, job_starts in value["starts"].items():
            for start_id, indices_by_machine in job_starts.items():
                for name, indices in indices_by_machine.items():
                    delta.stale_entry_count += len(indices)
                    starts.add(job_id, {start_id: indices}, machines[name], delta)
        for job_id, indices in value["done"].items():
            run = self.cluster_state.jobs.get(job_id)
            if run is None or run.final_state:
                continue
            for index in indices:
                if run.mark_completed(index):
                    run.delta_completions.add(index)
                    delta.add_completion(run, index)

    def _restore_machine(self, machine_name: str, type_name: str, zone: str, is_spot: bool) -> Machine:
        return self.cluster_state.restore_machine(
            machine_name, self.cluster_state.catalog[type_name], zone, is_spot, monotonic_now()
        )

    def _restore_placements(self, starts: RecoveredStarts) -> None:
        """Restore one placement for each task: of several logged starts only the newest counts.

        The newest start was planned after the earlier ones were proven gone; their log entries are removed later. If
        an earlier one is restored instead, a heartbeat of its machine frees the task to be placed again before the
        machine of the newest start has sent a heartbeat, and the task runs twice.
        """
        cluster_state, now = self.cluster_state, monotonic_now()
        for (job_id, index), (start_order, machine, delta) in starts.newest_starts.items():
            attempt, replacement_number = start_order
            placement = cluster_state.restore_placement(
                cluster_state.jobs[job_id], index, machine, attempt, now, replacement_number
            )
            placement.is_in_segment = delta is None
            if delta is not None:
                delta.add_start(placement)
                delta.stale_entry_count -= 1
                cluster_state.dirty_machines.add(machine.name)
        # Older starts, and entries of machines in two segments, are removed by compaction.
        cluster_state.dirty_machines |= starts.stale_machines | self.segment_table.superseded_segments.keys()
