"""Starvation: jobs that have waited long and not begun get room, the longest waiting first. No I/O.

A stream of small jobs can pass a large one for ever: each takes what comes free before the pieces add up. By guarantee,
priority and arrival alone a gang of eight whose team was above its guarantee came after every gang within one, and
waited 281 to 346 s (simulated cluster, all controllers lost, at 1.5 times the load). The service-level objective is
that the largest jobs of a class begin within four minutes. So:

| a job that has waited | comes | because |
| --- | --- | --- |
| LARGE_JOB_STARVATION_THRESHOLD, one of the largest of its class | with those within a guarantee | tasks end |
| STARVATION_THRESHOLD | the same, however large it is | no job waits for ever |
| STARVATION_THRESHOLD, one of the largest | before all others | what is left of four minutes is one such length |

Only the order of the queue changes. Whoever is first has room reserved as every job that is first (`preemption.py`: the
machines that will soonest have it, in one zone if it must be; its part of the team's limit), no task is preempted that
could not be preempted before, no limit is exceeded. A job that has begun so is not preempted for others' guarantees
within PREEMPTION_PROTECTION_DURATION: two gangs of eight that had waited 160 s were, 37 s after their start, and began
for good after 327 s and 342 s. Startup limits apply as ever, but while one holds such a job back, other jobs leave that
zone's tokens to it: at most one bucket of tokens, once. As many jobs count as starving at once as need
MAX_STARVING_POOL_FRACTION of the pool, and one at least, so the others' order holds for the rest.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun
from roseweir.submissions.jobs import JobSpec

# After this wait one of the largest jobs of its class is starving.
LARGE_JOB_STARVATION_THRESHOLD = timedelta(seconds=60)
# After this wait any job is.
STARVATION_THRESHOLD = timedelta(seconds=120)
# The uppermost part of a class's jobs, by what their tasks take altogether.
LARGEST_JOBS_FRACTION = 0.1
# Sizes that are told apart in one class.
MAX_SIZES_PER_CLASS = 64
# For how long a job that began so late is not preempted: a start that is stopped at once is none.
PREEMPTION_PROTECTION_DURATION = timedelta(seconds=90)
# The part of the pool that starving jobs may ask for at once.
MAX_STARVING_POOL_FRACTION = 0.25
# Levels of starvation, in rising order: as the others; with those within a guarantee; before all.
NOT_STARVING = 0
STARVING = 1
CRITICALLY_STARVING = 2


class PoolCapacity(NamedTuple):
    """CPUs and GPUs of the fleet."""

    cpus: float
    gpus: float


class _StarvingJob(NamedTuple):
    waited: timedelta
    is_among_largest: bool
    run: JobRun


class JobSizeHistogram:
    """How large the jobs of each class have been, in `total_resource_units`, as far as this leader has seen."""

    def __init__(self) -> None:
        self._count_by_size: dict[str, dict[float, int]] = {}

    def record(self, spec: JobSpec) -> None:
        """Count a job."""
        count_by_size = self._count_by_size.setdefault(spec.job_class, {})
        count_by_size[spec.total_resource_units] = count_by_size.get(spec.total_resource_units, 0) + 1
        if len(count_by_size) > MAX_SIZES_PER_CLASS:
            # The two smallest are merged: only the uppermost matter.
            smallest, second_smallest = sorted(count_by_size)[:2]
            count_by_size[second_smallest] += count_by_size.pop(smallest)

    def is_among_largest(self, spec: JobSpec) -> bool:
        """Whether the job is in the largest tenth of its class; the largest always is."""
        count_by_size = self._count_by_size.get(spec.job_class, {})
        larger_jobs = sum(count for size, count in count_by_size.items() if size > spec.total_resource_units)
        return larger_jobs < max(1.0, sum(count_by_size.values()) * LARGEST_JOBS_FRACTION)


def waiting_time(run: JobRun, epoch: datetime | None, now: datetime) -> timedelta:
    """How long a job has waited: since it was eligible, if it has never begun; else since it waits again.

    Args:
        run: the job.
        epoch: the instant of the monotonic clock at which the time of day was 0; None if not known yet.
        now: the current instant of the monotonic clock.
    """
    waiting_since = run.first_waited_at
    if epoch is not None and not run.has_started and run.eligible_from_ms:
        waiting_since = min(
            waiting_since if waiting_since != NEVER else now, epoch + timedelta(milliseconds=run.eligible_from_ms)
        )
    return now - waiting_since if waiting_since != NEVER else timedelta(0)


def mark_starving_jobs(
    waiting_runs: Iterable[JobRun],
    pool_capacity: PoolCapacity,
    size_histogram: JobSizeHistogram,
    epoch: datetime | None,
    now: datetime,
) -> None:
    """Set the starvation level of each waiting job.

    Args:
        waiting_runs: jobs with pending tasks.
        pool_capacity: bounds how many jobs are starving at once.
        size_histogram: tells which jobs are among the largest of their class.
        epoch: the instant of the monotonic clock at which the time of day was 0; None if not known yet.
        now: the current instant of the monotonic clock.
    """
    starving: list[_StarvingJob] = []
    for run in waiting_runs:
        run.starvation_level = NOT_STARVING
        if (
            not run.is_crash_looping
            and (run.spec.is_admitted_as_unit or not run.placements)
            and not run.completed_count
        ):
            waited = waiting_time(run, epoch, now)
            if waited >= LARGE_JOB_STARVATION_THRESHOLD:
                is_largest = size_histogram.is_among_largest(run.spec)
                if is_largest or waited >= STARVATION_THRESHOLD:
                    starving.append(_StarvingJob(waited, is_largest, run))
    starving.sort(key=lambda job: (-job.waited, job.run.spec.id))
    # By whether the job needs GPUs.
    remaining_capacity = {
        True: pool_capacity.gpus * MAX_STARVING_POOL_FRACTION,
        False: pool_capacity.cpus * MAX_STARVING_POOL_FRACTION,
    }
    pool_has_starving_job = {True: False, False: False}
    for waited, is_largest, run in starving:
        needs_gpus = run.spec.gpus > 0
        demand = (run.spec.gpus if needs_gpus else run.spec.cpus) * (
            run.spec.task_count if run.spec.is_admitted_as_unit else 1
        )
        if pool_has_starving_job[needs_gpus] and demand > remaining_capacity[needs_gpus]:
            continue
        pool_has_starving_job[needs_gpus] = True
        remaining_capacity[needs_gpus] -= demand
        run.starvation_level = CRITICALLY_STARVING if is_largest and waited >= STARVATION_THRESHOLD else STARVING
