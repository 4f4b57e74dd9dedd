"""Team quotas: which jobs are within their team's guarantee, and how many tasks its limit allows."""

from roseweir.scheduler.capacity_snapshot import CAPACITY_TOLERANCE
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.queue_order import arrival_order
from roseweir.submissions.jobs import JobSpec

# Usage and guarantees are sums of floats: differences below this are rounding errors.
QUOTA_TOLERANCE = 1e-9
# The number of tasks that is returned if there is no limit.
UNLIMITED_TASKS = 1 << 30


def mark_within_quota(cluster_state: ClusterState) -> None:
    """Mark each job that fits its team's guarantee together with the team's earlier unfinished jobs.

    Sets `JobRun.is_within_quota`. Does nothing unless jobs were added, held, released or ended since the
    last call (`needs_quota_update`).
    """
    if not cluster_state.needs_quota_update:
        return
    cluster_state.needs_quota_update = False
    usage_by_team: dict[str, TeamUsage] = {}
    for run in sorted(cluster_state.jobs.values(), key=arrival_order):
        spec = run.spec
        team = cluster_state.teams.get(spec.team)
        if run.final_state or team is None or run.hold_reason:
            run.is_within_quota = False
            continue
        counted_tasks = spec.task_count
        if not spec.is_admitted_as_unit:
            # Of an array, only as many tasks count as the team's limit allows at the same time.
            counted_tasks = min(counted_tasks, max_concurrent_tasks(cluster_state, spec))
        team_usage = usage_by_team.setdefault(spec.team, TeamUsage())
        if spec.gpus > 0 or team.guaranteed_cpus > 0:
            team_usage.cpus += spec.cpus * counted_tasks
            team_usage.gpus += spec.gpus * counted_tasks
        # A guarantee of 0 means that there is none for this resource.
        run.is_within_quota = (
            team.has_guarantee
            and (team.guaranteed_gpus <= 0 or team_usage.gpus <= team.guaranteed_gpus + QUOTA_TOLERANCE)
            and (team.guaranteed_cpus <= 0 or team_usage.cpus <= team.guaranteed_cpus + QUOTA_TOLERANCE)
            and (spec.gpus > 0 or team.guaranteed_cpus > 0)
        )


def max_concurrent_tasks(cluster_state: ClusterState, spec: JobSpec) -> int:
    """How many of a job's tasks its team's limit allows at the same time; 0 for an unknown team."""
    team = cluster_state.teams.get(spec.team)
    if team is None:
        return 0
    return min(_max_tasks_within_limit(team.max_cpus, spec.cpus), _max_tasks_within_limit(team.max_gpus, spec.gpus))


def _max_tasks_within_limit(limit: float, demand: float) -> int:
    return int((limit + CAPACITY_TOLERANCE) / demand) if limit > 0 and demand > 0 else UNLIMITED_TASKS


def tasks_within_team_limit(cluster_state: ClusterState, spec: JobSpec, gang_claim: TeamUsage) -> int:
    """How many more tasks the team's limit allows, counting every task that may still run; 0 for an unknown team.

    `gang_claim`: CPUs and GPUs that are set aside for earlier gangs of the team.
    """
    team = cluster_state.teams.get(spec.team)
    if team is None:
        return 0
    usage = cluster_state.usage_by_team.get(spec.team) or TeamUsage()
    max_tasks = UNLIMITED_TASKS
    for limit, used, demand in (
        (team.max_cpus, usage.cpus + gang_claim.cpus, spec.cpus),
        (team.max_gpus, usage.gpus + gang_claim.gpus, spec.gpus),
    ):
        if limit > 0 and demand > 0:
            max_tasks = min(max_tasks, max(0, int((limit - used + CAPACITY_TOLERANCE) / demand)))
    return max_tasks


def startup_limit_source(spec: JobSpec) -> str:
    """The source that startup limits ban: a team's jobs with the same image."""
    return f"{spec.team}:{spec.image}"
