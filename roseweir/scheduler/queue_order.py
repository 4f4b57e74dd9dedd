"""The order in which a scheduling pass considers waiting jobs: by guarantee, priority and arrival.

Exceptions: starving jobs (`starvation.py`), and jobs with little slack before a deadline (`dependencies/slack.py`).
"""

from datetime import datetime

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.starvation import CRITICALLY_STARVING, NOT_STARVING, PoolCapacity, mark_starving_jobs


def build_queue(cluster_state: ClusterState, now: datetime) -> list[JobRun]:
    """Jobs with pending tasks in the order in which a pass considers them; sets their starvation levels."""
    waiting_runs = [run for run in cluster_state.jobs.values() if run.pending_count > 0]
    machines = [m for m in cluster_state.machines.values() if m.has_acknowledged_term and not m.is_marked_for_release]
    pool_capacity = PoolCapacity(
        cpus=sum(m.machine_type.cpus for m in machines), gpus=sum(m.machine_type.gpus for m in machines)
    )
    mark_starving_jobs(waiting_runs, pool_capacity, cluster_state.job_sizes, cluster_state.wall_clock_epoch, now)
    waiting_runs.sort(key=_queue_rank)
    return _order_by_deadline_slack(cluster_state, waiting_runs) if cluster_state.slack_ms_by_job else waiting_runs


def _order_by_deadline_slack(cluster_state: ClusterState, waiting_runs: list[JobRun]) -> list[JobRun]:
    """Among one team's jobs of equal rank, those that may miss a deadline go first, least slack first.

    Only positions of the same team's jobs are exchanged, so the positions of other teams' jobs do not change.
    """
    positions_by_group: dict[tuple[object, ...], list[int]] = {}
    for position, run in enumerate(waiting_runs):
        positions_by_group.setdefault((*_queue_rank(run)[:4], run.spec.team), []).append(position)
    ordered = list(waiting_runs)
    for positions in positions_by_group.values():
        runs = [waiting_runs[position] for position in positions]
        if any(run.spec.id in cluster_state.slack_ms_by_job for run in runs):
            runs.sort(
                key=lambda run: (
                    run.spec.id not in cluster_state.slack_ms_by_job,
                    cluster_state.slack_ms_by_job.get(run.spec.id, 0),
                )
            )
            for position, run in zip(positions, runs, strict=True):
                ordered[position] = run
    return ordered


def _queue_rank(run: JobRun) -> tuple[object, ...]:
    """The sort key of a job: lower comes first.

    A crash-looping job comes last: it probably fails on every machine, so it gets only room that no other job needs.
    """
    is_prioritized = run.is_within_quota or run.starvation_level > NOT_STARVING
    return (
        run.is_crash_looping,
        run.starvation_level < CRITICALLY_STARVING,
        not is_prioritized,
        run.priority,
        *arrival_order(run),
    )


def arrival_order(run: JobRun) -> tuple[int, str]:
    """The sort key by arrival: when the job became eligible (Unix time in ms), then its id."""
    return (run.eligible_from_ms, run.spec.id)
