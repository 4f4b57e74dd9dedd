"""Applies task exits to completions, retries, gangs, runtime estimates and the health of machines."""

import logging
from collections.abc import Iterable
from datetime import datetime

from roseweir.clock import NEVER, ZERO
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.machine_fault_detection import apply_failure, detect_slow_machines
from roseweir.scheduler.model import JobRun, Placement
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# Weight of one measured runtime in its job class's moving average; low, since one task is weak evidence.
RUNTIME_RATIO_WEIGHT = 0.2


def apply_exit(cluster_state: ClusterState, placement: Placement, task_report: wire.TaskStatus, now: datetime) -> None:
    """Apply a worker's exit status to a placement whose attempt it names; the placement is removed."""
    run, machine = placement.run, placement.machine
    spec = run.spec
    log.debug(
        "task exited: task=%s machine=%s class=%s reason=%s",
        task_report.task_id,
        machine.name,
        spec.job_class,
        task_report.exit_reason,
    )
    if task_report.exit_reason == wire.DONE:
        if spec.image:
            machine.record_image_use(spec.image, spec.image_gb)
        _update_runtime_ratio(cluster_state, placement, now)
        run.failure_count = 0
        machine.failed_job_ids.clear()
        machine.unhealthy_until = NEVER
        complete_placement(cluster_state, placement, now)
        return
    if task_report.exit_reason == wire.ERROR:
        apply_failure(cluster_state, placement, now)
    elif task_report.exit_reason in (wire.INSUFFICIENT_RESOURCES, wire.ATTEMPT_CONFLICT, wire.UNKNOWN_TASK):
        log.info(
            "task refused by machine: machine=%s task=%s reason=%s",
            machine.name,
            task_report.task_id,
            task_report.exit_reason,
        )
    cluster_state.remove_placement(placement, now, DowntimeCause.FAILED)
    if (
        spec.job_type == GANG
        and run.placements
        and task_report.exit_reason in (wire.ERROR, wire.GANG_PEER_LOST, wire.STOPPED, wire.GANG_WAIT_TIMED_OUT)
    ):
        # The gang's attempt has failed: its remaining tasks must be gone before the next attempt starts.
        run.is_gang_stopping = True
        for gang_placement in list(run.placements.values()):
            if gang_placement.stop_requested_at is None and task_report.exit_reason != wire.STOPPED:
                cluster_state.request_stop(gang_placement, ZERO, now)


def apply_completion(cluster_state: ClusterState, key: tuple[str, int], now: datetime) -> None:
    """Record that the task `key` (job id, index) completed, if its job is live, and stop its placement if any."""
    run = cluster_state.jobs.get(key[0])
    if run is None or run.final_state or run.spec.job_type == SERVICE or key[1] >= run.spec.task_count:
        return
    # A gang completes together: if one task is done, all are.
    indices: Iterable[int] = range(run.spec.task_count) if run.spec.job_type == GANG else (key[1],)
    for index in indices:
        _mark_completed(cluster_state, run, index)
    running_placement = run.placements.get(key[1])
    if running_placement is not None:
        cluster_state.request_stop(running_placement, ZERO, now)


def complete_placement(cluster_state: ClusterState, placement: Placement, now: datetime) -> None:
    """Record that the placed task completed, and remove the placement."""
    run = placement.run
    if run.spec.job_type != SERVICE:
        _mark_completed(cluster_state, run, placement.index)
    cluster_state.remove_placement(placement, now)
    if run.spec.job_type == GANG:
        apply_completion(cluster_state, (run.spec.id, placement.index), now)


def _mark_completed(cluster_state: ClusterState, run: JobRun, index: int) -> None:
    if not run.final_state and run.mark_completed(index):
        if cluster_state.lifecycle_listener is not None:
            cluster_state.lifecycle_listener.on_task_completed(run, index)
        run.uncommitted_completions.add(index)
        cluster_state.dirty_jobs.add(run.spec.id)


def _update_runtime_ratio(cluster_state: ClusterState, placement: Placement, now: datetime) -> None:
    spec = placement.run.spec
    if spec.job_type != ARRAY or spec.estimated_duration_s <= 0 or placement.running_since is None:
        return
    detect_slow_machines(cluster_state, placement, now - placement.running_since, now)
    if cluster_state.lifecycle_listener is not None:
        cluster_state.lifecycle_listener.on_runtime_measured(placement, now - placement.running_since)
    runtime_ratio = (now - placement.running_since) / spec.estimated_duration
    if 0.05 < runtime_ratio < 20:
        previous_ratio = cluster_state.runtime_ratios.get(spec.job_class, 1.0)
        cluster_state.runtime_ratios[spec.job_class] = previous_ratio + RUNTIME_RATIO_WEIGHT * (
            min(runtime_ratio, 4.0) - previous_ratio
        ) / max(1.0, spec.task_count**0.5)
