"""The progress of a step's job, derived from the cluster state. Pure."""

from roseweir.scheduler.model import JobRun


def failure_count(run: JobRun) -> int:
    """Return how often the job has failed, or on how many machines, whichever is more."""
    return max(run.failure_count, len(run.failed_machines))


def has_started(run: JobRun) -> bool:
    """Return whether any task of the job has started, now or earlier.

    This differs from `service_levels.accounting.has_started`, which requires all tasks of a gang to have started.
    """
    return (
        run.has_started or run.completed_count > 0 or any(placement.phase > 0 for placement in run.placements.values())
    )
