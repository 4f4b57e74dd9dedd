"""Starvation: jobs that have waited long without starting move up in the queue, the longest wait first. No I/O.

A stream of small jobs can delay a large one indefinitely: each takes freed capacity before enough of it adds up. By
guarantee, priority and arrival alone, a gang of eight whose team was above its guarantee came after every gang within
one, and waited 281 to 346 s (in the simulated cluster, with all controllers lost, at 1.5 times the load). The
service-level objective is that the largest jobs of a class start within four minutes. So:

| a job that has waited for | is queued | because |
| --- | --- | --- |
| LARGE_JOB_STARVATION_THRESHOLD, one of the largest of its class | with jobs within a guarantee | running tasks end |
| STARVATION_THRESHOLD, of any size | with jobs within a guarantee | no job may wait indefinitely |
| STARVATION_THRESHOLD, one of the largest | before all others | one such threshold is left of the four minutes |

Only the queue order changes. A starving job at the head of the queue gets the same reservations as any other there
(`preemption.py`: the machines that will have room earliest, in one zone if required; its share of the team's limit). No
task is preempted that could not be preempted before, and no limit is exceeded. After its start the job is not preempted
for PREEMPTION_PROTECTION_DURATION: two gangs of eight that had waited 160 s were preempted for others' guarantees 37 s
after their start, and started for good only after 327 s and 342 s. Startup limits still apply, but while one blocks a
starving job, other jobs leave that zone's image fetch tokens to it: at most one bucket of tokens, once. Together,
starving jobs need at most MAX_STARVING_POOL_FRACTION of the pool (one job may need more), so the usual order holds for
the rest.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun
from roseweir.submissions.jobs import JobSpec

# How long one of the largest jobs of its class waits before it is starving.
LARGE_JOB_STARVATION_THRESHOLD = timedelta(seconds=60)
# How long any job waits before it is starving.
STARVATION_THRESHOLD = timedelta(seconds=120)
# The fraction of a class's jobs that count as its largest, by the demand of all their tasks.
LARGEST_JOBS_FRACTION = 0.1
# How many distinct sizes are counted in one class.
MAX_SIZES_PER_CLASS = 64
# How long a job that was starving is not preempted after its start, so that it keeps the room it waited for.
PREEMPTION_PROTECTION_DURATION = timedelta(seconds=90)
# The fraction of the pool's CPUs or GPUs that starving jobs may need together.
MAX_STARVING_POOL_FRACTION = 0.25
# Starvation levels, ascending: in the usual order; with jobs within a guarantee; before all others.
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
    """Counts the jobs of this leader's term by class and by size in `total_resource_units`."""

    def __init__(self) -> None:
        self._count_by_size: dict[str, dict[float, int]] = {}

    def record(self, spec: JobSpec) -> None:
        """Count a job."""
        count_by_size = self._count_by_size.setdefault(spec.job_class, {})
        count_by_size[spec.total_resource_units] = count_by_size.get(spec.total_resource_units, 0) + 1
        if len(count_by_size) > MAX_SIZES_PER_CLASS:
            # The two smallest sizes are merged: only the largest matter.
            smallest, second_smallest = sorted(count_by_size)[:2]
            count_by_size[second_smallest] += count_by_size.pop(smallest)

    def is_among_largest(self, spec: JobSpec) -> bool:
        """Whether the job is in the largest tenth of its class; the largest always is."""
        count_by_size = self._count_by_size.get(spec.job_class, {})
        larger_jobs = sum(count for size, count in count_by_size.items() if size > spec.total_resource_units)
        return larger_jobs < max(1.0, sum(count_by_size.values()) * LARGEST_JOBS_FRACTION)


def waiting_time(run: JobRun, wall_clock_epoch: datetime | None, now: datetime) -> timedelta:
    """How long a job has waited: since it was eligible, if it has never started; else since it last began to wait.

    Args:
        run: the job.
        wall_clock_epoch: the instant of the monotonic clock at Unix time 0; None if not known yet.
        now: the current instant of the monotonic clock.
    """
    waiting_since = run.first_waited_at
    if wall_clock_epoch is not None and not run.has_started and run.eligible_from_ms:
        waiting_since = min(
            waiting_since if waiting_since != NEVER else now,
            wall_clock_epoch + timedelta(milliseconds=run.eligible_from_ms),
        )
    return now - waiting_since if waiting_since != NEVER else timedelta(0)


def mark_starving_jobs(
    waiting_runs: Iterable[JobRun],
    pool_capacity: PoolCapacity,
    size_histogram: JobSizeHistogram,
    wall_clock_epoch: datetime | None,
    now: datetime,
) -> None:
    """Set the starvation level of each waiting job.

    Args:
        waiting_runs: jobs with pending tasks.
        pool_capacity: bounds how many jobs are starving at once.
        size_histogram: determines which jobs are among the largest of their class.
        wall_clock_epoch: the instant of the monotonic clock at Unix time 0; None if not known yet.
        now: the current instant of the monotonic clock.
    """
    starving_jobs: list[_StarvingJob] = []
    for run in waiting_runs:
        run.starvation_level = NOT_STARVING
        if (
            not run.is_crash_looping
            and (run.spec.is_admitted_as_unit or not run.placements)
            and not run.completed_count
        ):
            waited = waiting_time(run, wall_clock_epoch, now)
            if waited >= LARGE_JOB_STARVATION_THRESHOLD:
                is_among_largest = size_histogram.is_among_largest(run.spec)
                if is_among_largest or waited >= STARVATION_THRESHOLD:
                    starving_jobs.append(_StarvingJob(waited, is_among_largest, run))
    starving_jobs.sort(key=lambda job: (-job.waited, job.run.spec.id))
    # Indexed by whether the job needs GPUs.
    remaining_capacity = {
        True: pool_capacity.gpus * MAX_STARVING_POOL_FRACTION,
        False: pool_capacity.cpus * MAX_STARVING_POOL_FRACTION,
    }
    pool_has_starving_job = {True: False, False: False}
    for waited, is_among_largest, run in starving_jobs:
        needs_gpus = run.spec.gpus > 0
        demand = (run.spec.gpus if needs_gpus else run.spec.cpus) * (
            run.spec.task_count if run.spec.is_admitted_as_unit else 1
        )
        if pool_has_starving_job[needs_gpus] and demand > remaining_capacity[needs_gpus]:
            continue
        pool_has_starving_job[needs_gpus] = True
        remaining_capacity[needs_gpus] -= demand
        run.starvation_level = CRITICALLY_STARVING if is_among_largest and waited >= STARVATION_THRESHOLD else STARVING
