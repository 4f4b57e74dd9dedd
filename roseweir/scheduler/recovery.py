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
    """The log refers to something that this controller does not know; a later try may succeed."""


class UnknownMachineTypes(InconsistentLog):
    """The log holds machines of types that the catalog lacks.

    Attributes:
        machine_types: Names of these types.
    """

    def __init__(self, machine_types: set[str]) -> None:
        super().__init__(f"a logged machine has an unknown type: {machine_types}")
        self.machine_types = machine_types


class UnknownJob(InconsistentLog):
    """The log holds starts of a job that is neither live nor over.

    Attributes:
        job_id: The job's id.
    """

    def __init__(self, job_id: str) -> None:
        super().__init__(f"job {job_id} is known from the write-ahead log only")
        self.job_id = job_id


@dataclass(frozen=True, slots=True)
class StoredLog:
    """What a new leader reads before it rebuilds its state.

    Attributes:
        live_entries: Live jobs.
        chunk_entries: Bitmaps of completed tasks, by job and chunk.
        log_entries: Segments and deltas.
        ended_jobs: Jobs that the log refers to and that are over, by id.
        revision: Store revision from which changes of live jobs have to be watched.
    """

    live_entries: list[Entry]
    chunk_entries: list[Entry]
    log_entries: list[Entry]
    ended_jobs: dict[str, CompletedJob]
    revision: int


class LoggedStart(NamedTuple):
    """A start as the log tells of it.

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

    def add(self, job_id: str, attempts: dict[str, list[int]], machine: Machine, delta: Delta | None) -> None:
        """Add logged starts of a job on a machine, `{start id: [task indices]}`; `delta` is None for a segment's."""
        for start_id, indices in attempts.items():
            start_order = decode_start_id(start_id)
            for index in indices:
                known_start = self.newest_starts.get((job_id, index))
                if known_start is None or start_order > known_start.start_order:
                    if known_start is not None:
                        self.stale_machines.add(known_start.machine.name)
                    self.newest_starts[job_id, index] = LoggedStart(start_order, machine, delta)
                elif known_start.machine is not machine:
                    self.stale_machines.add(machine.name)


def referenced_types_and_jobs(value: dict[str, Any]) -> tuple[set[str], set[str]]:
    """Return the names of the machine types and the ids of the jobs that a stored segment or delta refers to."""
    if "starts" in value:
        return {instance_pool[0] for instance_pool in value["kinds"]}, set(value["starts"])
    entries = value["machines"].values()
    return {entry["type"] for entry in entries}, {job_id for entry in entries for job_id in entry["tasks"]}


async def read_stored_log(kv_store: KeyValueStoreClient, catalog: dict[str, MachineType]) -> StoredLog:
    """Read everything after a failover. Transactions of earlier leaders fail from here on.

    All is read before any of it is used. A try that fails half-way must leave nothing behind: a job cancelled between
    two tries would otherwise stay in the cluster state, and no watch event would tell of its end.

    Raises:
        InconsistentLog: The log refers to an unknown machine type or job.
        StoreError: The store refused a request.
        Unreachable: The store did not answer.
    """
    # In any order: placements and completions only change by the leader, and changes of live jobs after the first page
    # of theirs was read come by the watch that goes on from there.
    scans = await gather_all(
        *(kv_store.scan(prefix) for prefix in (LIVE_JOB_PREFIX, COMPLETED_TASKS_PREFIX, LOG_PREFIX))
    )
    (live_entries, revision), (chunk_entries, _), (log_entries, _) = scans
    live_job_ids = {entry.key.removeprefix(LIVE_JOB_PREFIX) for entry in live_entries}
    finished_job_ids: set[str] = set()
    for entry in log_entries:
        machine_types, job_ids = referenced_types_and_jobs(entry.value)
        if not machine_types <= catalog.keys():
            # Tasks on such machines could not be counted, so this controller must not lead yet.
            raise UnknownMachineTypes(machine_types - catalog.keys())
        finished_job_ids |= job_ids - live_job_ids
    ended_jobs = await _read_ended_jobs(kv_store, finished_job_ids)
    return StoredLog(live_entries, chunk_entries, log_entries, ended_jobs, revision)


async def _read_ended_jobs(kv_store: KeyValueStoreClient, job_ids: set[str]) -> dict[str, CompletedJob]:
    """Read how these jobs ended; UnknownJob if the store does not hold the end of one."""
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
        """Prepare to fill these; all of them are changed in place.

        Args:
            cluster_state: Gets jobs, machines and placements.
            segment_table: Gets the stored segments.
            deltas: Get the stored deltas; more are appended if an earlier leader had more.
            orphaned_chunk_keys: Gets the keys of completion bitmaps whose jobs are over.
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
            # Only a leader writes bitmaps, and none but this one can now: it is left from before the job's end.
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
                for job_id, attempts in machine_entry["tasks"].items():
                    starts.add(job_id, attempts, machine, None)

    def _restore_delta(self, number: int, entry: Entry, starts: RecoveredStarts) -> None:
        """Take over a stored delta; its starts count as stale until they turn out to be the newest of their tasks."""
        while number >= len(self.deltas):
            self.deltas.append(Delta())
        delta, value = self.deltas[number], entry.value
        delta.version = entry.version
        machines: dict[str, Machine] = {}
        for name, instance_pool in value["machines"].items():
            machines[name] = self._restore_machine(name, *value["kinds"][instance_pool])
        for job_id, attempts in value["starts"].items():
            for start_id, indices_by_machine in attempts.items():
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

        It was planned once the earlier ones were proven to be over; their log entries are removed later. Restoring an
        earlier one ran the task twice: a heartbeat of that machine freed it, while the machine of the later start had
        not sent one yet (d7edf7f1, rough).
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
