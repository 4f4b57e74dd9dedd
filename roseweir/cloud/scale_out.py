"""Decides which machines to rent. Pure: no I/O, and the current instant is always an argument.

Capacity is planned for two pools: GPUs, for the jobs that need them, and CPUs, for all other jobs. For each job in
queue order, the work of all jobs up to and including it is divided by the job's time budget, which follows from its
service-level objectives (SLOs). The largest quotient is the capacity that the pool needs. The shortage is rented from
the offers with the lowest price per task.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import ZERO, milliseconds, seconds
from roseweir.cloud.capacity import available_machines, pool_capacity, tasks_per_machine, units_per_task
from roseweir.cloud.offers import (
    UNIT_TOLERANCE,
    MachineOffer,
    MachineRequest,
    choose_offers,
    rented_units_per_task,
)
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.scheduler.quota import max_concurrent_tasks
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.settings import ServiceLevelObjective
from roseweir.submissions.jobs import GANG, SERVICE, JobSpec

# Fraction of the remaining time that work is planned to take: runtime estimates are often wrong by half.
TIME_BUDGET_FRACTION = 0.6
WORK_DONE_WHILE_BOOTING_FRACTION = 0.5
DEFAULT_TIME_BUDGET = timedelta(seconds=60)


def time_budget(cluster_state: ClusterState, run: JobRun, time_since_eligible: timedelta) -> timedelta:
    """Time that the work may take to meet the job's delivery deadline, or the SLOs of its class.

    `time_since_eligible`: how long ago the job became eligible to run.
    """
    spec = run.spec
    objectives = cluster_state.settings.params.objectives
    slack_ms = cluster_state.slack_ms_by_job.get(spec.id)
    if slack_ms is not None:
        # The delivery deadline is at risk: the budget is a fraction of the slack, which leaves out the job's runtime.
        # Callers raise the budget to the estimated runtime at least.
        return max(ZERO, milliseconds(slack_ms)) * TIME_BUDGET_FRACTION
    budget = DEFAULT_TIME_BUDGET
    for objective in objectives:
        if _objective_applies(objective, run):
            budget = min(budget, _time_budget_by_objective(objective, time_since_eligible))
    if spec.deadline_s is not None and not _has_wait_or_finish_slo(objectives, spec):
        time_before_eligible = milliseconds(run.eligible_from_ms - run.deadline_base_ms)
        budget = (seconds(spec.deadline_s) - time_since_eligible - time_before_eligible) * TIME_BUDGET_FRACTION
    return budget


def _has_wait_or_finish_slo(objectives: Iterable[ServiceLevelObjective], spec: JobSpec) -> bool:
    return any(o.objective_type in ("wait", "finished") and o.job_class == spec.job_class for o in objectives)


def _objective_applies(objective: ServiceLevelObjective, run: JobRun) -> bool:
    if objective.objective_type == "guarantee":
        return run.is_within_quota
    return objective.job_class == run.spec.job_class


def _time_budget_by_objective(objective: ServiceLevelObjective, time_since_eligible: timedelta) -> timedelta:
    if objective.objective_type in ("wait", "guarantee"):
        return ZERO
    if objective.objective_type == "finished":
        return ((objective.threshold or ZERO) - time_since_eligible) * TIME_BUDGET_FRACTION
    return DEFAULT_TIME_BUDGET


class ScaleOutPlan(NamedTuple):
    """What to rent, and whether CPU-only work needs more machines than the offers provide."""

    machine_requests: list[MachineRequest]
    are_cpu_offers_exhausted: bool


def plan_scale_out(
    cluster_state: ClusterState,
    last_pass: SchedulingPassResult,
    refused_until: dict[MachineOffer, datetime],
    wall_ms: int,
    now: datetime,
) -> ScaleOutPlan:
    """Plan the rentals for the jobs that the last scheduling pass could not place."""
    are_cpu_offers_exhausted = False
    machine_requests: list[MachineRequest] = []
    # Listed once per call: a scan of the whole fleet for each of hundreds of waiting jobs would take too long.
    machines = list(available_machines(cluster_state, now))
    for is_gpu_pool in (True, False):
        waiting_runs = [
            (run, unplaced_count)
            for run, unplaced_count in last_pass.unplaced
            if (run.spec.gpus > 0) == is_gpu_pool and not run.final_state
        ]
        if not waiting_runs:
            continue
        missing_units = _capacity_shortage(cluster_state, machines, is_gpu_pool, wall_ms, now)
        for run, unplaced_count in waiting_runs:
            spec = run.spec
            missing_units = max(missing_units, _unplaceable_units(cluster_state, run, unplaced_count, machines))
            requested_units = max(
                min(missing_units, unplaced_count * rented_units_per_task(spec)),
                _starvation_units(run, unplaced_count, machines),
            )
            if requested_units <= UNIT_TOLERANCE:
                continue
            obtained_units = choose_offers(cluster_state, spec, requested_units, refused_until, machine_requests, now)
            missing_units -= obtained_units
            are_cpu_offers_exhausted = are_cpu_offers_exhausted or (
                not is_gpu_pool and obtained_units < requested_units - UNIT_TOLERANCE
            )
    return ScaleOutPlan(machine_requests, are_cpu_offers_exhausted)


def _unplaceable_units(cluster_state: ClusterState, run: JobRun, unplaced_count: int, machines: list[Machine]) -> float:
    """Units to rent for tasks that would not fit even if all machines that the job may use were empty.

    The capacity shortage may miss these tasks, since it sums over all zones and machine types. For a gang, all its
    tasks have to fit; for any other job, one task. Rules that a gang's tasks share a zone, or spread over several, are
    ignored: the machines in all zones that the job may use are counted together.
    """
    spec = run.spec
    # Counted per machine type: a GPU machine that the job may use has no room for CPU-only tasks if all its CPUs are
    # reserved for its GPUs.
    tasks_by_type = {
        machine_type.name: tasks_per_machine(cluster_state, spec, machine_type)
        for machine_type in cluster_state.catalog.values()
    }
    missing_tasks = spec.task_count if spec.job_type == GANG else 1
    for machine in machines:
        if allows_machine(spec, machine):
            missing_tasks -= tasks_by_type.get(machine.machine_type.name, 0)
        if missing_tasks <= 0:
            return 0.0
    return min(missing_tasks, unplaced_count) * rented_units_per_task(spec)


def _starvation_units(run: JobRun, unplaced_count: int, machines: list[Machine]) -> float:
    """Units to rent for a starving job whose tasks are admitted together, even if total capacity suffices.

    The free capacity may be fragmented over machines. Booting machines that the job may use are subtracted, so that
    machines are not rented twice for it.
    """
    spec = run.spec
    if run.starvation_level == NOT_STARVING or not spec.is_admitted_as_unit:
        return 0.0
    booting_tasks = sum(m.count_fitting_tasks(spec, 0.0) for m in machines if m.is_booting and allows_machine(spec, m))
    return max(0, unplaced_count - booting_tasks) * rented_units_per_task(spec)


def _capacity_shortage(
    cluster_state: ClusterState, machines: list[Machine], is_gpu_pool: bool, wall_ms: int, now: datetime
) -> float:
    """Units to rent now: unfinished work divided by its time budget, less the available capacity.

    Work that will be done while a machine boots is subtracted. Tasks that wait for their team's quota are left out.
    """
    available_units = sum(pool_capacity(m.machine_type, is_gpu_pool, cluster_state.max_cpus_per_gpu) for m in machines)
    # Replicas of a service do not end, so the units of running and waiting replicas are not available to other work.
    service_units = 0.0
    boot_durations = [t.boot_duration for t in cluster_state.catalog.values() if (t.gpus > 0) == is_gpu_pool]
    min_boot_duration = min(boot_durations, default=ZERO)
    work_unit_seconds = needed_units = 0.0
    runs = [r for r in cluster_state.jobs.values() if not r.final_state and (r.spec.gpus > 0) == is_gpu_pool]
    runs.sort(key=lambda r: (not r.is_within_quota, r.priority, r.eligible_from_ms))
    for run in runs:
        spec = run.spec
        estimate = max(cluster_state.estimate_runtime(spec), seconds(1))
        task_units = units_per_task(spec)
        pending_count = min(run.pending_count, max_concurrent_tasks(cluster_state, spec) - len(run.placements))
        if pending_count <= 0 and not run.placements:
            continue
        if spec.job_type == SERVICE:
            service_units += task_units * (max(0, pending_count) + len(run.placements))
            if pending_count > 0:
                needed_units = max(needed_units, service_units)
            continue
        work_unit_seconds += max(0, pending_count) * task_units * estimate.total_seconds()
        for placement in run.placements.values():
            work_unit_seconds += task_units * max(0.0, (placement.expected_end(now, estimate) - now).total_seconds())
        if pending_count > 0:
            time_since_eligible = milliseconds(max(0, wall_ms - run.eligible_from_ms))
            budget = max(time_budget(cluster_state, run, time_since_eligible + min_boot_duration), estimate)
            work_done = _work_done_while_booting(available_units - service_units, min_boot_duration)
            needed_units = max(needed_units, service_units + (work_unit_seconds - work_done) / budget.total_seconds())
    return needed_units - available_units


def _work_done_while_booting(free_units: float, boot_duration: timedelta) -> float:
    """Unit seconds of work that count as done while a machine boots: half of them, since new work arrives meanwhile.

    If all of them are counted, machines for bursts are rented too late; if none are, one GPU machine in five is never
    used.
    """
    return max(0.0, free_units) * boot_duration.total_seconds() * WORK_DONE_WHILE_BOOTING_FRACTION
