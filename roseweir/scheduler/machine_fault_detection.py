"""Distinguishes faulty and slow machines from faulty jobs, by task failures and runtimes."""

import logging
from datetime import datetime, timedelta

from roseweir.clock import NEVER, ZERO
from roseweir.limits.rules import renew_restart_limit
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Placement

log = logging.getLogger(__name__)

# A machine that failed tasks of this many different jobs since its last success is considered faulty.
UNHEALTHY_MIN_FAILED_JOBS = 2
# No task starts on a machine for this long after a failure: further failures show whether machine or job is at fault.
FAILURE_QUARANTINE = timedelta(seconds=15)
# A replica that failed within this time of its start counts against its machine.
MAX_START_FAILURE_RUNTIME = timedelta(seconds=5)
# A machine is slow in a job array if its tasks took more than this multiple of the mean time; healthy machines of a
# type differ by a tenth.
SLOW_MACHINE_FACTOR = 2.0
# A machine is released when it was slow in this many consecutive arrays.
SLOW_MACHINE_MIN_ARRAYS = 2
# Arrays of which the machine ran fewer tasks than this are ignored for it.
SLOW_MACHINE_MIN_TASKS = 3
# Arrays that ran on fewer machines than this are ignored.
SLOW_MACHINE_MIN_PEERS = 4


def apply_failure(cluster_state: ClusterState, placement: Placement, now: datetime) -> None:
    """Attribute a failed task to its machine or its job, and record the failure.

    A faulty machine fails tasks of several jobs; a crash-looping job fails on several machines. A machine that may be
    at fault is quarantined for `FAILURE_QUARANTINE`, and marked for release once further evidence confirms the fault.
    """
    run, machine = placement.run, placement.machine
    # A service never completes, so its failures would add up over its life: after the third faulty machine it would
    # count as crash-looping and be scheduled last, and after the sixth failure its replicas would wait for the restart
    # limit, as if the job were at fault. A replica that runs stably shows that the job is not at fault.
    is_stable_elsewhere = run.has_stable_replica(placement, now)
    if is_stable_elsewhere:
        run.has_run_stably = True
    else:
        run.failure_count += 1
    run.failed_machines.add(machine.name)
    if run.is_crash_looping:
        # The job is at fault: clear the machines on which no other job failed.
        for other_machine in cluster_state.machines.values():
            if other_machine.failed_job_ids == {run.spec.id} and not other_machine.is_marked_for_release:
                other_machine.failed_job_ids.clear()
                other_machine.unhealthy_until = NEVER
    else:
        machine.failed_job_ids.add(run.spec.id)
        if cluster_state.lifecycle_listener is not None:
            cluster_state.lifecycle_listener.on_task_failed(machine, run, now)
        machine.unhealthy_until = max(machine.unhealthy_until, now + FAILURE_QUARANTINE)
        is_machine_at_fault = (run.completed_count > 0 and run.failure_count >= 2) or (
            is_stable_elsewhere and _failed_at_start(placement, now)
        )
        if (
            len(machine.failed_job_ids) >= UNHEALTHY_MIN_FAILED_JOBS or is_machine_at_fault
        ) and not machine.is_marked_for_release:
            log.info(
                "faulty machine marked for release: machine=%s failed_jobs=%d",
                machine.name,
                len(machine.failed_job_ids),
            )
            machine.is_marked_for_release = True
    if run.failure_count >= cluster_state.operator_config.failure_count:
        renew_restart_limit(cluster_state.limits, run.spec.id, cluster_state.operator_config, now)
    cluster_state.on_task_failed(run)


def detect_slow_machines(cluster_state: ClusterState, placement: Placement, runtime: timedelta, now: datetime) -> None:
    """Record a task's runtime and, at the end of its job array, mark slow machines for release.

    Only completed arrays are evaluated: before the end, machines that happened to run long tasks look slow.
    """
    run = placement.run
    total_runtime, task_count = run.runtimes_by_machine.get(placement.machine.name, (ZERO, 0))
    run.runtimes_by_machine[placement.machine.name] = (total_runtime + runtime, task_count + 1)
    if run.completed_count + 1 < run.spec.task_count or len(run.runtimes_by_machine) < SLOW_MACHINE_MIN_PEERS:
        return
    mean_runtime = sum((t for t, _ in run.runtimes_by_machine.values()), ZERO) / sum(
        n for _, n in run.runtimes_by_machine.values()
    )
    for name, (total_runtime, task_count) in run.runtimes_by_machine.items():
        machine = cluster_state.machines.get(name)
        if machine is None or task_count < SLOW_MACHINE_MIN_TASKS:
            continue
        machine.slow_array_count = (
            machine.slow_array_count + 1 if total_runtime / task_count > mean_runtime * SLOW_MACHINE_FACTOR else 0
        )
        if machine.slow_array_count >= SLOW_MACHINE_MIN_ARRAYS and not machine.is_marked_for_release:
            log.info(
                "slow machine marked for release: machine=%s runtime_ratio=%.1f",
                name,
                total_runtime / task_count / mean_runtime,
            )
            machine.is_marked_for_release = True


def _failed_at_start(placement: Placement, now: datetime) -> bool:
    return placement.running_since is None or now - placement.running_since < MAX_START_FAILURE_RUNTIME
