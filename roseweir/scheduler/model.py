"""Jobs, machines and placements (tasks that may be on a machine), as the leader knows them."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import IntEnum
from functools import lru_cache
from heapq import heappop, heappush

from roseweir.clock import NEVER
from roseweir.submissions.jobs import GANG, SERVICE, TASKS_PER_CHUNK, JobSpec, MachineType
from roseweir.workers import messages as wire

# A job that failed on this many machines and succeeded nowhere counts as crash-looping.
CRASH_LOOP_MIN_MACHINES = 3
# A replica that has run for this long shows that its service is not at fault.
MIN_STABLE_RUNTIME = timedelta(seconds=10)

# A heartbeat, and the line of its answer, hold 64 KiB. Of a task a heartbeat lists up to 140 bytes, with the longest
# names and numbers that the protocol allows, and a command is shorter. Without a bound, a machine of 64 cores took
# 1,600 tasks of 0.04 cores, which its worker could not report: its lease expired again and again.
MAX_TASKS_PER_MACHINE = 400


class PlacementPhase(IntEnum):
    """Progress of a task's start, as far as the leader knows."""

    PLANNED = 0  # a machine is chosen, the placement is not yet in the key-value store
    COMMITTED = 1  # in the key-value store; the start command may be sent
    SENT = 2  # the start command was sent in the answer to a heartbeat
    CONFIRMED = 3  # a heartbeat listed the task
    RECOVERED = 4  # only in an earlier leader's write-ahead log so far


@dataclass(slots=True, eq=False)
class Placement:
    """A task that may be on a machine. It counts as placed there until it is proven gone."""

    run: "JobRun"
    index: int
    machine: "Machine"
    attempt: int
    phase: PlacementPhase
    created_at: datetime
    state: str = ""
    sent_sequence: int = 0
    running_since: datetime | None = None
    fetching_since: datetime | None = None
    stop_requested_at: datetime | None = None
    stop_grace: timedelta = timedelta(0)
    replacement_number: int = 0  # distinguishes a gang's replacement from the task replaced: same attempt
    is_in_segment: bool = False  # in its machine's segment in the key-value store, not only in a delta

    @property
    def task_name(self) -> str:
        """The task's name on the wire: job id, slash, index."""
        return f"{self.run.spec.id}/{self.index}"

    def expected_end(self, now: datetime, estimate: timedelta) -> datetime:
        """Return when the task is expected to have ended, no earlier than `now` unless it was requested to stop."""
        if self.stop_requested_at is not None:
            return self.stop_requested_at + self.stop_grace
        started_at = self.running_since or now
        return max(now, started_at + estimate)

    def work_since_checkpoint_s(self, now: datetime) -> float:
        """Return the seconds of work since the task's start or its last periodic checkpoint; 0.0 before its start."""
        if self.running_since is None:
            return 0.0
        run_time_s = (now - self.running_since).total_seconds()
        checkpoint_interval_s = self.run.spec.checkpoint_interval_s
        return run_time_s % checkpoint_interval_s if checkpoint_interval_s > 0 else run_time_s


@dataclass(slots=True, eq=False)
class JobRun:
    """A live job and the state of its tasks."""

    spec: JobSpec
    version: int
    completion_bitmap: bytearray
    # Effective priority: its own, or that of a more important job that depends on it (`dependencies/`).
    priority: int = field(init=False)
    # Unix time in milliseconds from which it may start: its acceptance, or the end of what it was held for.
    eligible_from_ms: int = field(init=False)
    completed_count: int = 0
    next_unplaced_index: int = 0
    placed_index_bound: int = 0  # no task from this index on was ever placed: indices are assigned in ascending order
    requeued_indices: list[int] = field(default_factory=list)
    placements: dict[int, Placement] = field(default_factory=dict)
    # Indices whose completion is not yet in the key-value store: it is not reported, and no `clear` is sent.
    uncommitted_completions: set[int] = field(default_factory=set)
    # Indices whose completion is in a delta, but not yet in the job's own chunks.
    delta_completions: set[int] = field(default_factory=set)
    chunk_versions: dict[int, int] = field(default_factory=dict)
    attempted_chunks: set[int] = field(default_factory=set)  # written, or with a write of unknown outcome
    replacement_count: int = 0  # number of the gang's newest replacement
    final_state: str = ""  # "", "done" or "cancelled"; set only once it is in the key-value store
    failure_count: int = 0
    failed_machines: set[str] = field(default_factory=set)
    has_run_stably: bool = False  # a service whose replicas have run stably: it is not at fault for failures
    gang_attempt: int = 0  # attempt number of a placed gang
    is_gang_stopping: bool = False  # a gang that is being stopped: every member must be gone before it restarts
    hold_reason: str = ""  # why none of its tasks may start, regardless of free capacity; empty if it is not held
    is_within_quota: bool = False
    requires_gpu_machine: bool = False  # as `ClusterState.requires_gpu_machine` found when the job was added
    has_started: bool = False  # one of its tasks has run, as far as this leader knows
    preemption_exempt_until: datetime = NEVER  # it is not preempted before this instant
    starvation_level: int = 0  # from its waiting time and size (`scheduler/starvation.py`)
    first_waited_at: datetime = NEVER
    last_preemption_search_at: datetime = NEVER  # last search for tasks to preempt for it
    # Total runtime and number of an array's completed tasks by machine: reveals slow machines at the array's end.
    runtimes_by_machine: dict[str, tuple[timedelta, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.priority = self.spec.priority
        self.eligible_from_ms = self.spec.accepted_ms

    @property
    def deadline_base_ms(self) -> int:
        """Unix time in milliseconds from which its deadline counts.

        For a workflow step that is when it was released; for any other job its submission, however long it waits for
        its dependencies.
        """
        return self.eligible_from_ms if self.spec.workflow_id else self.spec.accepted_ms

    def is_completed(self, index: int) -> bool:
        """Whether the task completed, durably or not yet."""
        return bool(self.completion_bitmap[index >> 3] & (1 << (index & 7)))

    def is_durably_completed(self, index: int) -> bool:
        """Whether the task completed, and the key-value store holds its completion."""
        return self.is_completed(index) and index not in self.uncommitted_completions

    def mark_completed(self, index: int) -> bool:
        """Mark the task as completed; return whether this is a change."""
        if self.is_completed(index):
            return False
        self.completion_bitmap[index >> 3] |= 1 << (index & 7)
        self.completed_count += 1
        self.placed_index_bound = max(self.placed_index_bound, index + 1)
        return True

    @property
    def is_crash_looping(self) -> bool:
        """Whether the job failed on several machines and succeeded nowhere, so that it is most likely at fault."""
        return (
            len(self.failed_machines) >= CRASH_LOOP_MIN_MACHINES
            and self.completed_count == 0
            and not self.has_run_stably
        )

    def has_stable_replica(self, excluded: Placement | None, now: datetime) -> bool:
        """Whether a replica of a service, other than `excluded`, has been running for `MIN_STABLE_RUNTIME`."""
        return self.spec.job_type == SERVICE and any(
            p is not excluded
            and p.state == wire.RUNNING
            and p.running_since is not None
            and now - p.running_since >= MIN_STABLE_RUNTIME
            for p in self.placements.values()
        )

    @property
    def is_complete(self) -> bool:
        """Whether every task completed; a service never completes."""
        return self.spec.job_type != SERVICE and self.completed_count >= self.spec.task_count

    @property
    def pending_count(self) -> int:
        """Number of tasks that wait to be placed."""
        if self.final_state or self.hold_reason:
            return 0
        unplaced_count = self.spec.task_count - self.completed_count - len(self.placements)
        if self.spec.job_type == GANG and self.placements:
            # Members of a gang start together; only a gang that is still gathering takes replacements.
            is_gathering = not self.is_gang_stopping and all(
                p.phase != PlacementPhase.RECOVERED and p.state in ("", "pulling", "gathering")
                for p in self.placements.values()
            )
            return unplaced_count if is_gathering else 0
        return unplaced_count

    def pop_next_index(self) -> int | None:
        """Return the index of the next task to place and take it off the queue; None if there is none."""
        while self.requeued_indices:
            index = heappop(self.requeued_indices)
            if not self.is_completed(index) and index not in self.placements:
                return index
        while self.next_unplaced_index < self.spec.task_count:
            index = self.next_unplaced_index
            self.next_unplaced_index += 1
            if not self.is_completed(index) and index not in self.placements:
                return index
        return None

    def requeue(self, index: int) -> None:
        """Queue a task again that lost its placement; the lowest index is placed first."""
        heappush(self.requeued_indices, index)

    def completion_chunk(self, chunk_number: int) -> bytes:
        """Return the completion bits of one chunk of `TASKS_PER_CHUNK` tasks, as they are stored."""
        chunk_bytes = TASKS_PER_CHUNK // 8
        return bytes(self.completion_bitmap[chunk_number * chunk_bytes : (chunk_number + 1) * chunk_bytes])

    def count_placed_in_zone(self, zone: str) -> int:
        """Return how many of the job's placements are in the zone."""
        return sum(1 for p in self.placements.values() if p.machine.zone == zone)


@lru_cache(maxsize=16384)
def parse_task_name(task_name: str) -> tuple[str, int]:
    """Return the job id and index in a task's name, the inverse of `Placement.task_name`.

    Cached, since most heartbeats repeat their tasks.

    Raises:
        ValueError: The name does not end in a number.
    """
    job_id, _, index_text = task_name.rpartition("/")
    return job_id, int(index_text)


def new_job_run(spec: JobSpec, version: int) -> JobRun:
    """Return the run of a job of which no task has started; `version` is that of the job's record."""
    return JobRun(spec, version, bytearray((spec.task_count + 7) // 8))


@dataclass(slots=True, eq=False)
class Machine:
    """A machine as its heartbeats and the cloud's machine list show it."""

    name: str
    machine_type: MachineType
    zone: str
    is_spot: bool
    address: str = ""
    incarnation: int = 0
    sequence: int = 0  # of its newest message: a heartbeat, or the response to a direct command or a probe
    heartbeat_sequence: int = 0  # of its newest heartbeat in this incarnation: only answers to heartbeats renew leases
    expired_incarnation: int = 0  # leases of incarnations up to this one have expired
    has_acknowledged_term: bool = False  # a heartbeat has shown our own term
    last_heartbeat_at: datetime = NEVER  # when the newest heartbeat in our term arrived
    lease_renewed_at: datetime = NEVER  # when the newest heartbeat arrived whose answer may have renewed its lease
    unconfirmed_since: datetime = NEVER  # when we first answered a heartbeat that does not show our term
    last_answered_heartbeat: tuple[int, int] = (0, 0)  # (incarnation, sequence) of the newest heartbeat answered 200
    last_answered_at: datetime = NEVER
    suspected_since: datetime = NEVER  # since when our answers seem not to reach it, without proof that they do
    unreachable_since: datetime = NEVER  # since when our probes do not reach it either
    dropped_command_count: int = 0  # consecutive start commands that it did not receive
    added_at: datetime = NEVER  # when it was added to this leader's cluster state
    scaled_out_at: datetime = NEVER
    is_booting: bool = False
    is_autoscaled: bool = False  # created by a leader of this service, rather than found already running
    is_surge: bool = False  # scaled out to replace a machine that is drained
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    cpu_only_cpus: float = 0.0  # CPUs taken by tasks that need no GPU
    placements: dict[tuple[str, int], Placement] = field(default_factory=dict)
    exits_to_clear: list[tuple[str, int, str]] = field(default_factory=list)  # to clear: task, attempt, cause
    unknown_tasks: list[tuple[str, int]] = field(default_factory=list)  # to stop: task, attempt
    image_cache: OrderedDict[str, float] = field(default_factory=OrderedDict)
    spot_reclaim_at: datetime | None = None
    # While it sends no heartbeats: when it was last probed, whether it accepted the connection, how often it did not.
    last_probe_at: datetime = NEVER
    is_hung: bool = False
    missed_probe_count: int = 0
    is_marked_for_release: bool = False  # its release has been decided; nothing starts here any more
    failed_job_ids: set[str] = field(default_factory=set)  # jobs that failed here since the last success
    unhealthy_until: datetime = NEVER
    slow_array_count: int = 0  # consecutive arrays whose tasks took far longer here than elsewhere
    idle_since: datetime = NEVER
    gpu_task_count: int = 0
    gpus_idle_since: datetime = NEVER
    change_count: int = 0  # number of changes to its placements or their stop requests
    reserved_for_job: str = ""  # job for which other tasks were preempted here
    reserved_until: datetime = NEVER
    _expected_images: frozenset[str] = frozenset()  # images that its tasks need, as of the change count below
    _expected_images_change_count: int = -1

    def __post_init__(self) -> None:
        self.free_cpus = self.machine_type.cpus
        self.free_gpus = self.machine_type.gpus
        self.free_memory_gb = self.machine_type.memory_gb

    @property
    def is_suspected(self) -> bool:
        """Whether our answers seem not to reach the machine (`one_way_partition.py`)."""
        return self.suspected_since != NEVER

    @property
    def is_unreachable(self) -> bool:
        """Whether our probes do not reach the suspected machine either."""
        return self.unreachable_since != NEVER

    @property
    def machine_type_name(self) -> str:
        """Name of the machine's type in the catalog."""
        return self.machine_type.name

    @property
    def free_task_slots(self) -> int:
        """How many tasks its heartbeats have room for beside those that they list, exited ones included."""
        return max(0, MAX_TASKS_PER_MACHINE - len(self.placements) - len(self.exits_to_clear))

    @property
    def free_cpu_fraction(self) -> float:
        """The fraction of its CPUs that is free; 0.0 for a machine type without CPUs, which the catalog may have."""
        return self.free_cpus / self.machine_type.cpus if self.machine_type.cpus > 0 else 0.0

    def has_image(self, image: str) -> bool:
        """Whether the image is cached here, or being fetched for another task."""
        if image in self.image_cache:
            return True
        if self._expected_images_change_count != self.change_count:
            self._expected_images_change_count = self.change_count
            self._expected_images = frozenset(
                p.run.spec.image for p in self.placements.values() if p.stop_requested_at is None
            )
        return image in self._expected_images

    def record_image_use(self, image: str, size_gb: float) -> None:
        """Mirror the worker's image cache, which keeps the most recently used images up to `cache_gb`."""
        if image in self.image_cache:
            self.image_cache.move_to_end(image)
            return
        self.image_cache[image] = size_gb
        total_gb = sum(self.image_cache.values())
        while total_gb > self.machine_type.cache_gb and len(self.image_cache) > 1:
            total_gb -= self.image_cache.popitem(last=False)[1]

    def count_fitting_tasks(
        self, spec: JobSpec, cpus_reserved_per_gpu: float, headroom: tuple[float, float] = (0.0, 0.0)
    ) -> int:
        """Return how many tasks of the job fit now.

        CPU-only work leaves `cpus_reserved_per_gpu` CPUs free for each GPU of the machine, which GPU jobs need.
        `headroom`: CPUs and GB of memory that are left free.
        """
        free_cpus = self.free_cpus - headroom[0]
        if spec.gpus <= 0 and self.machine_type.gpus > 0 and cpus_reserved_per_gpu > 0:
            free_cpus = min(
                free_cpus, self.machine_type.cpus - self.machine_type.gpus * cpus_reserved_per_gpu - self.cpu_only_cpus
            )
        fitting_tasks = max_fitting_tasks(spec, free_cpus, self.free_gpus, self.free_memory_gb - headroom[1])
        if 2 * (fitting_tasks + len(self.placements)) + len(self.exits_to_clear) <= MAX_TASKS_PER_MACHINE:
            return fitting_tasks  # within half of the slots left, even if all placements are the job's own
        return self._limit_to_task_slots(spec, fitting_tasks)

    def lacks_task_slots(self, spec: JobSpec) -> bool:
        """Whether no task of the job may start here, whatever resources are free; another job's may."""
        return self._limit_to_task_slots(spec, 1) < 1

    def _limit_to_task_slots(self, spec: JobSpec, fitting_tasks: int) -> int:
        """Return how many of the tasks that fit the job may start: half of the slots that other jobs leave are for it.

        The other half is left for jobs that come later. An array of very small tasks would take all slots of a machine
        that has room otherwise, and each of its tasks that ends makes way for its next one.
        """
        own_tasks = sum(job_id == spec.id for job_id, _ in self.placements)
        return max(0, min(fitting_tasks, (self.free_task_slots - own_tasks) // 2))


def max_fitting_tasks(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many tasks of the job fit into these free resources."""
    max_tasks = 1 << 30
    for free, required in ((cpus, spec.cpus), (gpus, spec.gpus), (memory_gb, spec.memory_gb)):
        if required > 0:
            max_tasks = min(max_tasks, int((free + 1e-6) / required) if free > 0 else 0)
    return max_tasks
