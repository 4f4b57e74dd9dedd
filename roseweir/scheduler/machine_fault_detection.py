"""Tells faulty and slow machines from faulty jobs, by how tasks fail and how long they run."""

import logging
from datetime import datetime, timedelta

from roseweir.clock import NEVER, ZERO
from roseweir.limits.rules import renew_restart_limit
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Placement

log = logging.getLogger(__name__)

# A machine that failed tasks of this many different jobs since its last success is taken for faulty.
UNHEALTHY_MIN_FAILED_JOBS = 2
# After a first failure nothing starts on the machine for this long: the next failures tell whose fault it is.
FAILURE_QUARANTINE = timedelta(seconds=15)
# A replica that failed within this time of its start counts against its machine.
MAX_START_FAILURE_RUNTIME = timedelta(seconds=5)
# A machine is released when its tasks took this multiple of the average time (healthy machines of a type differ by a
# tenth) ...
SLOW_MACHINE_FACTOR = 2.0
# ... in this many job arrays in a row, ...
SLOW_MACHINE_MIN_ARRAYS = 2
# ... each judged by at least this many of the machine's tasks ...
SLOW_MACHINE_MIN_TASKS = 3
# ... and at least this many machines.
SLOW_MACHINE_MIN_PEERS = 4


def apply_failure(cluster_state: ClusterState, placement: Placement, now: datetime) -> None:
    """Decide whether a failed task speaks against its machine or its job, and record it.

    A faulty machine fails tasks of several jobs; a crash-looping job fails on several machines. A machine at fault is
    quarantined for `FAILURE_QUARANTINE` and in the end marked for release.
    """
    run, machine = placement.run, placement.machine
    # A service never completes, so its failures would add up over its life: after the third faulty machine it would
    # count as crash-looping and be scheduled last, and after the sixth failure its replicas would wait for the restart
    # limit, as if the job were at fault. Replicas that run show otherwise.
    is_stable_elsewhere = run.has_stable_replica(placement, now)
    if is_stable_elsewhere:
        run.has_run_stably = True
    else:
        run.failure_count += 1
    run.failed_machines.add(machine.name)
    if run.is_crash_looping:
        # The job speaks against itself, not against the machines that it failed on.
        for other_machine in cluster_state.machines.values():
            if other_machine.failed_job_ids == {run.spec.id} and not other_machine.is_marked_for_release:
                other_machine.failed_job_ids.clear()
                other_machine.unhealthy_until = NEVER
    else:
        machine.failed_job_ids.add(run.spec.id)
        if cluster_state.lifecycle_listener is not None:
            cluster_state.lifecycle_listener.task_failed(machine, run, now)
        machine.unhealthy_until = max(machine.unhealthy_until, now + FAILURE_QUARANTINE)
        is_machine_at_fault = (run.completed_count > 0 and run.failure_count >= 2) or (
            is_stable_elsewhere and _failed_at_start(placement, now)
        )
        if (
            len(machine.failed_job_ids) >= UNHEALTHY_MIN_FAILED_JOBS or is_machine_at_fault
        ) and not machine.is_marked_for_release:
            log.info("machine %s fails tasks of %d jobs and goes back", machine.name, len(machine.failed_job_ids))
            machine.is_marked_for_release = True
    if run.failure_count >= cluster_state.operator_config.failure_count:
        renew_restart_limit(cluster_state.limits, run.spec.id, cluster_state.operator_config, now)
    cluster_state.on_task_failed(run)


def detect_slow_machines(cluster_state: ClusterState, placement: Placement, runtime: timedelta, now: datetime) -> None:
    """Record a task's runtime and, at the end of its job array, mark slow machines for release.

    Only whole arrays are judged: before the end, machines that happened to run long tasks look slow.
    """
    run = placement.run
    total, count = run.runtimes_by_machine.get(placement.machine.name, (ZERO, 0))
    run.runtimes_by_machine[placement.machine.name] = (total + runtime, count + 1)
    if run.completed_count + 1 < run.spec.task_count or len(run.runtimes_by_machine) < SLOW_MACHINE_MIN_PEERS:
        return
    mean_runtime = sum((t for t, _ in run.runtimes_by_machine.values()), ZERO) / sum(
        n for _, n in run.runtimes_by_machine.values()
    )
    for name, (total, count) in run.runtimes_by_machine.items():
        machine = cluster_state.machines.get(name)
        if machine is None or count < SLOW_MACHINE_MIN_TASKS:
            continue
        machine.slow_array_count = (
            machine.slow_array_count + 1 if total / count > mean_runtime * SLOW_MACHINE_FACTOR else 0
        )
        if machine.slow_array_count >= SLOW_MACHINE_MIN_ARRAYS and not machine.is_marked_for_release:
            log.info("machine %s took %.1f times as long as others and goes back", name, total / count / mean_runtime)
            machine.is_marked_for_release = True


def _failed_at_start(placement: Placement, now: datetime) -> bool:
    return placement.running_since is None or now - placement.running_since < MAX_START_FAILURE_RUNTIME
