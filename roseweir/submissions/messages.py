"""Messages of the users' API with their names on the wire, and their translation into the job model."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from roseweir.bounds import MAX_AMOUNT
from roseweir.submissions.jobs import MAX_TASKS_PER_JOB, JobSpec, JobType, StoredDependencies

# `\Z` matches only at the end; `$` would allow a trailing line break, which a key of the store can't contain.
JOB_ID = r"^j-[0-9]{1,18}\Z"
# Amounts of resources and durations; the job model brings small ones within bounds.
NonNegativeNumber = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]

_JOB_TYPES: dict[str, JobType] = {"sweep": "array", "gang": "gang", "daemon": "service"}
_PRIORITIES = {"critical": 0, "urgent": 1, "normal": 2, "low": 3}


class Submission(
    msgspec.Struct,
    rename={
        "depends_on": "awaits",
        "id": "name_id",
        "job_class": "docket",
        "team": "crew",
        "job_type": "shape",
        "priority": "rank",
        "task_count": "parcels",
        "cpus": "cores",
        "gpus": "accelerators",
        "image": "kit",
        "image_gb": "size_gb",
        "machine_types": "builds",
        "zone": "yard",
        "requires_single_zone": "together",
        "spread_across_zones": "scatter",
        "allows_spot": "loaners",
        "estimated_duration_s": "guess_s",
        "checkpoint_interval_s": "mark_every_s",
        "checkpoint_duration_s": "mark_s",
        "deadline_s": "due_s",
    },
):
    """A submission as its user sends it: resources per task, sizes in GB, durations in seconds."""

    id: Annotated[str, Meta(pattern=JOB_ID)]
    job_class: Annotated[str, Meta(min_length=1, max_length=200)]
    team: Annotated[str, Meta(max_length=200)]
    job_type: Literal["sweep", "gang", "daemon"]
    priority: Literal["critical", "urgent", "normal", "low"]
    task_count: Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_JOB)]
    cpus: NonNegativeNumber
    gpus: NonNegativeNumber
    memory_gb: NonNegativeNumber
    image: Annotated[str, Meta(min_length=1, max_length=200)]
    image_gb: NonNegativeNumber
    requires_single_zone: bool
    spread_across_zones: bool
    allows_spot: bool
    estimated_duration_s: NonNegativeNumber
    checkpoint_interval_s: NonNegativeNumber
    checkpoint_duration_s: NonNegativeNumber
    machine_types: list[Annotated[str, Meta(max_length=200)]] | None = None
    zone: Annotated[str, Meta(max_length=200)] | None = None
    deadline_s: NonNegativeNumber | None = None
    # Jobs that have to be done before any task of this one starts.
    depends_on: list[Annotated[str, Meta(pattern=JOB_ID)]] | None = None

    def to_spec(self, accepted_ms: int) -> JobSpec:
        """Return the submitted job; `accepted_ms` is Unix time in ms."""
        return JobSpec(
            id=self.id,
            job_class=self.job_class,
            team=self.team,
            job_type=_JOB_TYPES[self.job_type],
            priority=_PRIORITIES[self.priority],
            task_count=self.task_count,
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
            image=self.image,
            image_gb=self.image_gb,
            machine_types=self.machine_types,
            zone=self.zone,
            requires_single_zone=self.requires_single_zone,
            spread_across_zones=self.spread_across_zones,
            allows_spot=self.allows_spot,
            estimated_duration_s=self.estimated_duration_s,
            checkpoint_interval_s=self.checkpoint_interval_s,
            checkpoint_duration_s=self.checkpoint_duration_s,
            deadline_s=self.deadline_s,
            accepted_ms=accepted_ms,
            depends_on=StoredDependencies(list(dict.fromkeys(self.depends_on))) if self.depends_on else [],
        )


class SubmissionId(msgspec.Struct, rename={"id": "name_id"}):
    """The field of a submission that identifies its job, so that a retry is recognized."""

    id: Annotated[str, Meta(pattern=JOB_ID)]


_WIRE_STATES = {"queued": "queued", "running": "running", "done": "done", "cancelled": "aborted"}


def status_response(
    job_id: str, state: str, done_count: int | None = None, running_count: int | None = None
) -> dict[str, Any]:
    """Return the body of an answer with a job's state and, for polls, its task counts."""
    answer: dict[str, Any] = {"name_id": job_id, "standing": _WIRE_STATES[state]}
    if done_count is not None:
        answer |= {"done": done_count, "running": running_count or 0}
    return answer
