"""Jobs that have waited long and not begun: room is kept for the oldest of them. Pure.

A stream of small jobs can pass a large one for ever: each takes what comes free before the pieces add up. By guarantee,
priority and arrival alone a gang of eight whose team was above its guarantee came after every gang within one, and
waited 281 to 346 s (days of all controllers lost at 1.5 times, simulated machines). The operators ask that the largest
jobs of a class begin within four minutes. So:

| a job that has waited | comes | because |
| --- | --- | --- |
| AFTER, and is one of the largest of its class | with those within a guarantee, by rank and arrival | tasks end |
| LAST | the same, however large it is | nobody waits for ever |
| LAST, and is one of the largest | before all others | what is left of four minutes is one such length |

The smallest exception that works: it changes the order alone. Whoever is first has room kept as everybody who is first
(`plan._make_room`: the machines that will soonest have it, in one zone if it must be; its part of the team's limit), no
task is stopped that could not be stopped before, no limit is passed by. What has begun so is not stopped for others'
guarantees within SPARED: two gangs of eight that had waited 160 s were, 37 s after their start, and began for good
after 327 s and 342 s. Startup limits go on as they are, but while one holds such a job back, others leave that zone's
tokens to it: at most a draw cap's worth, once. Only so many are old at once that their room is PART of the pool, and
one at least, so the others' order holds for the rest.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun
from roseweir.submissions.jobs import JobSpec

LARGE_JOB_STARVATION_THRESHOLD, STARVATION_THRESHOLD = timedelta(seconds=60), timedelta(seconds=120)
# The uppermost part of a class's jobs, by what their tasks take altogether; sizes that are told apart.
LARGEST_JOBS_FRACTION, MAX_SIZES_PER_CLASS = 0.1, 64
# What began so late is stopped for nobody for so long: a start that is stopped at once is none.
PREEMPTION_PROTECTION_DURATION = timedelta(seconds=90)
MAX_STARVING_POOL_FRACTION = 0.25
# What a job is by its wait: as the others, with those within a guarantee, before all.
NOT_STARVING, STARVING, CRITICALLY_STARVING = 0, 1, 2


class JobSizeHistogram:
    """How large the jobs of each class have been, as far as this leader has seen."""

    def __init__(self) -> None:
        self._count_by_size: dict[str, dict[float, int]] = {}

    def record(self, spec: JobSpec) -> None:
        count_by_size = self._count_by_size.setdefault(spec.job_class, {})
        count_by_size[spec.total_resource_units] = count_by_size.get(spec.total_resource_units, 0) + 1
        if len(count_by_size) > MAX_SIZES_PER_CLASS:
            # The two smallest together: only the uppermost are asked about.
            smallest, second_smallest = sorted(count_by_size)[:2]
            count_by_size[second_smallest] += count_by_size.pop(smallest)

    def is_among_largest(self, spec: JobSpec) -> bool:
        count_by_size = self._count_by_size.get(spec.job_class, {})
        larger_jobs = sum(count for size, count in count_by_size.items() if size > spec.total_resource_units)
        return larger_jobs < max(1.0, sum(count_by_size.values()) * LARGEST_JOBS_FRACTION)


def waiting_time(run: JobRun, epoch: datetime | None, now: datetime) -> timedelta:
    """Since it may start, if it has never begun; else since it waits again. `epoch`: when the time of day was 0."""
    waiting_since = run.first_waited_at
    if epoch is not None and not run.has_started and run.eligible_from_ms:
        waiting_since = min(
            waiting_since if waiting_since != NEVER else now, epoch + timedelta(milliseconds=run.eligible_from_ms)
        )
    return now - waiting_since if waiting_since != NEVER else timedelta(0)


def mark_starving_jobs(
    waiting_runs: Iterable[JobRun],
    pool_capacity: dict[bool, float],
    size_histogram: JobSizeHistogram,
    epoch: datetime | None,
    now: datetime,
) -> None:
    """Say of each waiting job how old it is. `pools`: CPUs of the fleet (False) and its GPUs (True)."""
    starving: list[tuple[timedelta, str, bool, JobRun]] = []
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
                    starving.append((-waited, run.spec.id, is_largest, run))
    starving.sort(key=lambda entry: entry[:2])
    remaining_capacity = {pool: units * MAX_STARVING_POOL_FRACTION for pool, units in pool_capacity.items()}
    pool_has_starving_job = {True: False, False: False}
    for waited, _, is_largest, run in starving:
        needs_gpus = run.spec.gpus > 0
        demand = (run.spec.gpus if needs_gpus else run.spec.cpus) * (
            run.spec.task_count if run.spec.is_admitted_as_unit else 1
        )
        if pool_has_starving_job[needs_gpus] and demand > remaining_capacity[needs_gpus]:
            continue
        pool_has_starving_job[needs_gpus] = True
        remaining_capacity[needs_gpus] -= demand
        run.starvation_level = CRITICALLY_STARVING if is_largest and -waited >= STARVATION_THRESHOLD else STARVING
