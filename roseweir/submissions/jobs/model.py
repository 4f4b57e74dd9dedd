"""The job model: machine types, jobs as their users described them, and records of completed jobs."""

from datetime import timedelta
from typing import Literal

import msgspec

from roseweir.bounds import bound_fields, bounded_amount, bounded_duration_s, bounded_unix_ms
from roseweir.clock import ZERO, seconds

JobType = Literal["array", "gang", "service"]
ARRAY: JobType = "array"
GANG: JobType = "gang"
SERVICE: JobType = "service"


# Assumed for slower image fetches, and for a catalog that gives no rate: GB are divided by it.
MIN_FETCH_GB_PER_S = 0.01

_MACHINE_AMOUNT_FIELDS = ("cpus", "gpus", "memory_gb", "cache_gb", "fetch_gb_per_s", "price", "spot_price")


class MachineType(msgspec.Struct, frozen=True):
    """A machine type of the cloud provider's catalog, with numbers within the bounds of `roseweir.bounds`.

    Prices are per hour, as in the catalog; `fetch_gb_per_s` is at least `MIN_FETCH_GB_PER_S`.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def __post_init__(self) -> None:
        bound_fields(self, _MACHINE_AMOUNT_FIELDS, bounded_amount)
        bound_fields(self, ("fetch_gb_per_s",), lambda rate: max(rate, MIN_FETCH_GB_PER_S))
        bound_fields(self, ("boot_s",), bounded_duration_s)

    @property
    def boot_duration(self) -> timedelta:
        """How long a machine of this type takes to boot, as the catalog gives it."""
        return seconds(self.boot_s)


class StoredDependencies(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"job_ids": "jobs", "part_count": "parts"}
):
    """The jobs that have to be done before any task of a job starts, as the job's record names them.

    If the record has no room for the ids, they are stored under `part_count` separate keys of the key-value store,
    which contain `digest` (of the ids) and are numbered in order; `job_ids` is then empty.

    The object is stored in the field in which the record of a workflow step has a list. A version that supports only
    the list can't decode such a record: it keeps the job but starts none of its tasks (`ClusterState.add_record` of
    that version), which is correct for a job that waits. So this may be written before both versions of a rolling
    upgrade have the same feature level (`FEATURE_LEVEL` in leader_election/messages.py).
    """

    job_ids: list[str] = []
    part_count: int = 0
    digest: str = ""

    def __bool__(self) -> bool:
        return bool(self.job_ids) or self.part_count > 0


MAX_TASKS_PER_JOB = 100_000  # as the users' API allows
# Tasks that take longer than this to save a checkpoint are stopped without it: their machine is needed for other work,
# and what they lose is the time since their last periodic checkpoint.
MAX_CHECKPOINT_DURATION_S = 600.0
# Time that a task is given to stop beyond the time that it needs to save a checkpoint.
CHECKPOINT_GRACE_MARGIN_S = 1.0

_AMOUNT_FIELDS = ("cpus", "gpus", "memory_gb", "image_gb")
_DURATION_FIELDS = ("estimated_duration_s", "checkpoint_interval_s", "checkpoint_duration_s", "deadline_s")


class JobSpec(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "job_type": "kind",
        "task_count": "tasks",
        "machine_types": "types",
        "requires_single_zone": "one_zone",
        "spread_across_zones": "spread",
        "allows_spot": "spot",
        "estimated_duration_s": "estimate_s",
        "checkpoint_interval_s": "checkpoint_s",
        "checkpoint_duration_s": "save_s",
        "workflow_id": "chain",
        "depends_on": "after",
    },
):
    """A job as its user described it, under the names used throughout the service.

    Resources are per task: CPUs, GPUs, GB. Fields ending in `_s` are seconds, `accepted_ms` is Unix time in ms.

    Users may send any number, and so may records of earlier versions: an estimate in nanoseconds, say. Amounts,
    durations and times are brought within the bounds of `roseweir.bounds`.
    """

    id: str
    job_class: str
    team: str
    job_type: JobType
    priority: int
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str = ""
    image_gb: float = 0.0
    machine_types: list[str] | None = None
    zone: str | None = None
    requires_single_zone: bool = False
    spread_across_zones: bool = False
    allows_spot: bool = False
    estimated_duration_s: float = 0.0
    checkpoint_interval_s: float = 0.0
    checkpoint_duration_s: float = 0.0
    deadline_s: float | None = None
    accepted_ms: int = 0
    # The workflow that the job is a step of; empty for other jobs.
    workflow_id: str = ""
    # Of a workflow step, the jobs whose durable completion it waits for; of other jobs, those that the user named.
    depends_on: list[str] | StoredDependencies = []

    def __post_init__(self) -> None:
        if not 1 <= self.task_count <= MAX_TASKS_PER_JOB:
            raise ValueError(f"a job has 1 to {MAX_TASKS_PER_JOB} tasks, not {self.task_count}")
        bound_fields(self, _AMOUNT_FIELDS, bounded_amount)
        bound_fields(self, _DURATION_FIELDS, bounded_duration_s)
        bound_fields(self, ("accepted_ms",), bounded_unix_ms)

    @property
    def dependencies(self) -> StoredDependencies:
        """The dependencies that the submission named; falsy if there are none, as for a workflow step."""
        return self.depends_on if isinstance(self.depends_on, StoredDependencies) else StoredDependencies()

    @property
    def estimated_duration(self) -> timedelta:
        """How long a task takes, as the user estimates it."""
        return seconds(self.estimated_duration_s)

    @property
    def saves_when_stopped(self) -> bool:
        """Whether a task saves a checkpoint when it is stopped with `checkpoint_grace`."""
        return self.checkpoint_interval_s > 0 and self.checkpoint_duration_s <= MAX_CHECKPOINT_DURATION_S

    @property
    def checkpoint_grace(self) -> timedelta:
        """How long a stopped task may take to save a checkpoint; zero if it saves none then."""
        return seconds(self.checkpoint_duration_s + CHECKPOINT_GRACE_MARGIN_S) if self.saves_when_stopped else ZERO

    @property
    def total_resource_units(self) -> float:
        """What all tasks use together: GPUs for jobs that need them, CPUs for the rest."""
        return (self.gpus if self.gpus > 0 else self.cpus) * self.task_count

    @property
    def is_admitted_as_unit(self) -> bool:
        """Whether all tasks count against the team's limit together."""
        return self.job_type != ARRAY

    def allows_machine_type(self, machine_type: MachineType) -> bool:
        """Whether the user allows machines of this type."""
        return self.machine_types is None or machine_type.name in self.machine_types

    def image_fits_cache(self, machine_type: MachineType) -> bool:
        """Whether the type's cache, if its size is given, can hold the image, which may have tens of GB of weights."""
        return machine_type.cache_gb <= 0 or self.image_gb <= machine_type.cache_gb

    def fits_machine_type(self, machine_type: MachineType) -> bool:
        """Whether an empty machine of this type can run a task of the job."""
        return (
            self.allows_machine_type(machine_type)
            and self.cpus <= machine_type.cpus
            and self.gpus <= machine_type.gpus
            and self.memory_gb <= machine_type.memory_gb
            and self.image_fits_cache(machine_type)
            and (self.zone is None or self.zone in machine_type.zones)
        )


class CompletedJob(msgspec.Struct, omit_defaults=True, rename={"task_count": "tasks", "total_resource_units": "size"}):
    """The record of a job that is done or cancelled.

    Tasks of a cancelled job may still run on machines after a failover, so the record contains the resources that they
    use of a machine and of their team's limit.
    """

    state: Literal["done", "cancelled"]
    task_count: int
    team: str = ""
    job_class: str = ""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    # CPUs, or GPUs if it needed any, of all its tasks together; 0: recorded by an earlier version.
    total_resource_units: float = 0.0

    def to_spec(self, job_id: str) -> JobSpec:
        """Return a job that uses what this one used, for its tasks that are still on machines."""
        return JobSpec(
            id=job_id,
            job_class="",
            team=self.team,
            job_type=ARRAY,
            priority=3,
            task_count=min(max(self.task_count, 1), MAX_TASKS_PER_JOB),
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
        )


def completed_job(spec: JobSpec, state: Literal["done", "cancelled"]) -> CompletedJob:
    """Return the record of a job that has reached this terminal state."""
    if state == "done":
        return CompletedJob(
            state, spec.task_count, spec.team, spec.job_class, total_resource_units=spec.total_resource_units
        )
    return CompletedJob(
        state,
        spec.task_count,
        spec.team,
        spec.job_class,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.total_resource_units,
    )
