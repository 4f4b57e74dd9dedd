"""Whether a submitted job can ever run."""

from collections.abc import Sequence

from roseweir.settings import Team
from roseweir.submissions.jobs.model import JobSpec, MachineType

# Tolerance for rounding errors in sums of floating-point resources.
RESOURCE_TOLERANCE = 1e-9


def rejection_reason(spec: JobSpec, teams: dict[str, Team], catalog: Sequence[MachineType]) -> str | None:
    """Return why the job can never run, in the terms of the users' API, or None if it can."""
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
        if limit > 0 and getattr(spec, resource) * counted_tasks > limit + RESOURCE_TOLERANCE:
            return f"needs more {resource} than the team's limit"
    return None
