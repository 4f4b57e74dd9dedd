"""What the cluster state shows of a step's job. Pure."""

from roseweir.scheduler.model import JobRun


def failure_count(run: JobRun) -> int:
    """Return how often the job has failed, or on how many machines, whichever is more."""
    return max(run.failure_count, len(run.failed_machines))


def has_started(run: JobRun) -> bool:
    """Return whether any task of the job has started, now or earlier.

    Not the rule of `service_levels.accounting.has_started`, which asks for all tasks of a gang at once.
    """
    return run.has_started or run.completed_count > 0 or any(p.phase > 0 for p in run.placements.values())
