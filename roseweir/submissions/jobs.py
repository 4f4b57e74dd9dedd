"""The job model: what was asked for, whether it can ever run, and what is kept of it."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, Literal

import msgspec

from roseweir.clock import seconds
from roseweir.settings import Team

JobType = Literal["array", "gang", "service"]
ARRAY: JobType = "array"
GANG: JobType = "gang"
SERVICE: JobType = "service"

LIVE_JOB_PREFIX = "live/"
COMPLETED_JOB_PREFIX = "over/"
COMPLETED_TASKS_PREFIX = "done/"

# Bits of finished tasks are kept in chunks, so that 100,000 tasks fit values of any allowed size.
TASKS_PER_CHUNK = 8192


class MachineType(msgspec.Struct, frozen=True):
    """What the catalog offers under one name."""

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

    @property
    def boot_duration(self) -> timedelta:
        return seconds(self.boot_s)


class StoredDependencies(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"job_ids": "jobs", "part_count": "parts"}
):
    """The jobs that have to be done before any task of a job starts, as the job's record names them.

    So many that the record has no room for them are kept apart: `parts` keys of the state service, whose names hold
    `digest` (the jobs' own), in the order in which their numbers follow one another; `jobs` is then empty.

    It stands where the record of a step of a chain has a list. A version that knows only that list can't read such a
    record: it keeps the job known and starts nothing of it (`Board.add_record` of that version), which is what
    a job that waits asks for. So the two versions of an upgrade need not agree on a level before this is written.
    """

    job_ids: list[str] = []
    part_count: int = 0
    digest: str = ""

    def __bool__(self) -> bool:
        return bool(self.job_ids) or self.part_count > 0


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
    """A job as its user described it, under the names used throughout the service."""

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
    # A step of a chain: which one, and the jobs whose durable end it waits for. Of other jobs, those that they await.
    workflow_id: str = ""
    depends_on: list[str] | StoredDependencies = []

    @property
    def dependencies(self) -> StoredDependencies:
        """The jobs that the submission named; false if there are none. A step of a chain names none here."""
        return self.depends_on if isinstance(self.depends_on, StoredDependencies) else StoredDependencies()

    @property
    def estimated_duration(self) -> timedelta:
        return seconds(self.estimated_duration_s)

    @property
    def total_resource_units(self) -> float:
        """What its tasks take altogether: GPUs for jobs that need them, CPUs for the rest."""
        return (self.gpus if self.gpus > 0 else self.cpus) * self.task_count

    @property
    def is_admitted_as_unit(self) -> bool:
        """Whether all tasks count against the team's limit together."""
        return self.job_type != ARRAY

    def allows_machine_type(self, machine_type: MachineType) -> bool:
        return self.machine_types is None or machine_type.name in self.machine_types

    def image_fits_cache(self, machine_type: MachineType) -> bool:
        """Whether the type's cache can hold the image, which may be weights of tens of GB. 0: the catalog is silent."""
        return machine_type.cache_gb <= 0 or self.image_gb <= machine_type.cache_gb

    def fits_machine_type(self, machine_type: MachineType) -> bool:
        return (
            self.allows_machine_type(machine_type)
            and self.cpus <= machine_type.cpus
            and self.gpus <= machine_type.gpus
            and self.memory_gb <= machine_type.memory_gb
            and self.image_fits_cache(machine_type)
            and (self.zone is None or self.zone in machine_type.zones)
        )


class CompletedJob(msgspec.Struct, omit_defaults=True, rename={"task_count": "tasks", "total_resource_units": "size"}):
    """What is kept of a job that is over.

    A cancelled job's tasks may still be on machines after a take-over, so what they take of a
    machine and of their team's limit is kept with it.
    """

    state: Literal["done", "cancelled"]
    task_count: int
    team: str = ""
    job_class: str = ""
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    total_resource_units: float = (
        0.0  # CPUs, or GPUs if it needed any, of all its tasks together; 0: ended by an earlier version
    )

    def to_spec(self, job_id: str) -> JobSpec:
        return JobSpec(
            id=job_id,
            job_class="",
            team=self.team,
            job_type=ARRAY,
            priority=3,
            task_count=self.task_count,
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
        )


def completed_job(spec: JobSpec, state: Literal["done", "cancelled"]) -> CompletedJob:
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


def to_stored(value: msgspec.Struct) -> Any:
    return msgspec.to_builtins(value)


def decode_job_spec(value: Any) -> JobSpec:
    return msgspec.convert(value, JobSpec)


def decode_partial_job_spec(job_id: str, value: Any) -> JobSpec:
    """Of a record that is none: what its tasks take and whose they are, as far as it tells, so that they count."""
    spec = JobSpec(job_id, "", "", ARRAY, 3, 1, 0.0, 0.0, 0.0)
    for field_name, field_value in value.items() if isinstance(value, dict) else ():
        if field_name != "id" and field_name in JobSpec.__struct_encode_fields__:
            try:
                spec = msgspec.convert(msgspec.to_builtins(spec) | {field_name: field_value}, JobSpec)
            except msgspec.ValidationError:
                continue
    return spec


def decode_completed_job(value: Any) -> CompletedJob:
    return msgspec.convert(value, CompletedJob)


def rejection_reason(spec: JobSpec, teams: dict[str, Team], catalog: Sequence[MachineType]) -> str | None:
    """Why the job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(spec.fits_machine_type(machine_type) for machine_type in catalog):
        allowed_types = [machine_type for machine_type in catalog if spec.allows_machine_type(machine_type)]
        if allowed_types and not any(spec.image_fits_cache(machine_type) for machine_type in allowed_types):
            return f"no allowed machine type has a cache for an image of {spec.image_gb:g} GB"
        return "no allowed machine type fits a task"
    counted_tasks = spec.task_count if spec.is_admitted_as_unit else 1
    for resource, limit in (("cpus", team.max_cpus), ("gpus", team.max_gpus)):
        # A limit of 0 means that there is none.
        if limit > 0 and getattr(spec, resource) * counted_tasks > limit + 1e-9:
            return f"needs more {resource} than the team's limit"
    return None
