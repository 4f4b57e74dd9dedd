"""Explains to operators why a job waits, from its leader's state. No I/O; it makes no scheduling decisions."""

from datetime import datetime
from typing import Any

from roseweir.clock import NEVER
from roseweir.limits import StartupLimit
from roseweir.scheduler.capacity_snapshot import CAPACITY_TOLERANCE, allows_machine
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.model import JobRun, PlacementPhase
from roseweir.scheduler.quota import startup_limit_source, tasks_within_team_limit


def explain_job(cluster_state: ClusterState, job_id: str, now: datetime) -> dict[str, Any] | None:
    """Return the job's progress and what it waits for, as the answer's JSON object; None for an unknown job."""
    run = cluster_state.jobs.get(job_id)
    if run is None:
        return None
    phases = [placement.phase for placement in run.placements.values()]
    return {
        "job": job_id,
        "tasks": run.spec.task_count,
        "tasks_done": run.completed_count,
        "tasks_waiting": run.pending_count,
        "tasks_being_recorded": sum(phase == PlacementPhase.PLANNED for phase in phases),
        "tasks_on_machines": sum(phase > PlacementPhase.COMMITTED for phase in phases),
        "failures": run.failure_count,
        "waits_for": _pending_reason(cluster_state, run, now),
        "waits_for_s": None if run.first_waited_at == NEVER else round((now - run.first_waited_at).total_seconds(), 1),
    }


def _pending_reason(cluster_state: ClusterState, run: JobRun, now: datetime) -> str | None:
    """Return a description of what the job waits for; None if none of its tasks is pending."""
    spec = run.spec
    if run.hold_reason:
        return run.hold_reason
    if run.final_state:
        return f"nothing, it is {run.final_state}; its tasks leave"
    if run.is_gang_stopping:
        return "the rest of its last attempt to end"
    if not run.pending_count:
        return None
    if spec.team not in cluster_state.teams:
        return f"its team, {spec.team}, to be in the settings again"
    if tasks_within_team_limit(cluster_state, spec, TeamUsage()) < (
        run.pending_count if spec.is_admitted_as_unit else 1
    ):
        return "its team's limit"
    startable_tasks, avoided_limits = cluster_state.limits.adjust_request(
        spec, startup_limit_source(spec), run.pending_count, now
    )
    if startable_tasks < (run.pending_count if spec.is_admitted_as_unit else 1):
        return "a startup limit on its starts"
    if run.is_crash_looping:
        return f"room that nobody else wants: it failed on {len(run.failed_machines)} machines and succeeded nowhere"
    return _missing_room(cluster_state, run, avoided_limits)


def _missing_room(cluster_state: ClusterState, run: JobRun, avoided_limits: list[StartupLimit]) -> str:
    """Return a description of the free capacity that a job needs which quotas and limits allow to start."""
    spec = run.spec
    fitting_machines = [
        m for m in cluster_state.machines.values() if allows_machine(spec, m) and spec.fits_machine_type(m.machine_type)
    ]
    if not any(m.has_acknowledged_term for m in fitting_machines):
        return f"a machine that fits; {sum(m.is_booting for m in fitting_machines)} are booting"
    if avoided_limits:
        return "room outside of " + ", ".join(limit.tag for limit in avoided_limits)
    machines_with_free_gpus = [
        m for m in fitting_machines if m.has_acknowledged_term and m.free_gpus > CAPACITY_TOLERANCE
    ]
    gpus_needed = spec.gpus * (run.pending_count if spec.is_admitted_as_unit else 1)
    if spec.gpus > 0 and sum(m.free_gpus for m in machines_with_free_gpus) >= gpus_needed - CAPACITY_TOLERANCE:
        machines_with_enough_gpus = [
            m for m in machines_with_free_gpus if m.free_gpus >= spec.gpus - CAPACITY_TOLERANCE
        ]
        if not machines_with_enough_gpus:
            free_gpus = sum(m.free_gpus for m in machines_with_free_gpus)
            return f"room: in pieces, {free_gpus:g} GPUs free on {len(machines_with_free_gpus)} machines"
        free_gpus = sum(m.free_gpus for m in machines_with_enough_gpus)
        return f"CPUs or memory beside {free_gpus:g} free GPUs on {len(machines_with_enough_gpus)} machines"
    return "room on the machines that fit"
