"""Slack of a pipeline's jobs before its deadline, which users set on the last job alone. No I/O.

Each earlier job has to end in time for its dependents, by the estimated durations that the leader corrects by job
class. Among one team's jobs of equal rank, jobs at risk of missing the deadline go first, least slack first
(`scheduler/queue_order.py`). This exception to the order of arrival is kept as small as possible: other teams' jobs and
jobs with ample slack keep their positions, and a job late by more than its whole path loses its precedence, in favour
of jobs that can still end in time.
"""

from collections.abc import Iterable
from math import ceil

from roseweir.dependencies.graph import DependencyGraph, LatestStart, Stage, latest_starts
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.quota import max_concurrent_tasks

# A job with less slack than this fraction of its remaining path is at risk: estimates may be wrong by half.
AT_RISK_SLACK_FRACTION = 0.5
# A job that is late by more than this fraction of its remaining path cannot end in time.
MAX_LATENESS_FRACTION = 1.0


def estimated_duration_ms(cluster_state: ClusterState, run: JobRun) -> int:
    """Milliseconds from the job's start to its end: a task's duration times the waves that the team's limit causes."""
    spec = run.spec
    task_ms = spec.estimated_duration_s * cluster_state.runtime_ratios.get(spec.job_class, 1.0) * 1000
    remaining_tasks = spec.task_count - run.completed_count
    if spec.is_admitted_as_unit or remaining_tasks <= 1:
        return round(task_ms)
    return round(task_ms * ceil(remaining_tasks / max(1, max_concurrent_tasks(cluster_state, spec))))


def stage_of(cluster_state: ClusterState, job_id: str) -> Stage:
    """The job's estimated duration and its own deadline; zero and None if it has ended or is unknown."""
    run = cluster_state.jobs.get(job_id)
    if run is None or run.final_state:
        return Stage(0, None)
    deadline_s = run.spec.deadline_s
    return Stage(
        estimated_duration_ms(cluster_state, run),
        None if deadline_s is None else run.deadline_base_ms + round(deadline_s * 1000),
    )


def latest_start_times(
    cluster_state: ClusterState, graph: DependencyGraph, job_ids: Iterable[str]
) -> dict[str, LatestStart]:
    """The latest starts of these jobs and their transitive dependents, for those with a deadline on their path."""
    return latest_starts(job_ids, graph.dependents, lambda job_id: stage_of(cluster_state, job_id))


def slack_of_jobs_at_risk(latest_starts_by_job: dict[str, LatestStart], now_ms: int) -> dict[str, int]:
    """Slack in milliseconds of the jobs that are at risk of missing a deadline. `now_ms`: Unix time."""
    slack_ms_by_job: dict[str, int] = {}
    for job_id, latest_start in latest_starts_by_job.items():
        path_ms = latest_start.deadline_ms - latest_start.start_ms
        slack_ms = latest_start.start_ms - now_ms
        if -MAX_LATENESS_FRACTION * path_ms <= slack_ms < AT_RISK_SLACK_FRACTION * path_ms:
            slack_ms_by_job[job_id] = slack_ms
    return slack_ms_by_job
