"""Which machines to rent. Pure.

There are two pools: machines' GPUs for jobs that need them, and CPUs for the rest. Going through the
queue in order, the work up to each job divided by the time that its service-level objectives leave gives
the capacity that the pool should have. What it lacks is rented where a task costs least.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import ZERO, seconds
from roseweir.cloud.capacity import available_machines, pool_capacity, tasks_per_machine, units_per_task
from roseweir.cloud.offers import MIN_UNITS, UNIT_TOLERANCE, MachineOffer, MachineRequest, choose_offers
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.scheduler.quota import max_concurrent_tasks
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.settings import ServiceLevelObjective
from roseweir.submissions.jobs import GANG, SERVICE, JobSpec

# The fraction of the remaining time that is planned for: runtime estimates are often wrong by half.
TIME_BUDGET_FRACTION = 0.6
WORK_DONE_WHILE_BOOTING_FRACTION = 0.5
DEFAULT_TIME_BUDGET = timedelta(seconds=60)


def time_budget(cluster_state: ClusterState, run: JobRun, age: timedelta) -> timedelta:
    """How long the job's work may take by its delivery deadline, or by the SLOs of its class.

    `age` is the time since the job became eligible.
    """
    spec = run.spec
    objectives = cluster_state.settings.params.objectives
    slack_ms = cluster_state.slack_ms_by_job.get(spec.id)
    if slack_ms is not None:
        # Its delivery deadline is at risk: what is left is its slack, and the time that it takes.
        return max(ZERO, timedelta(milliseconds=slack_ms)) * TIME_BUDGET_FRACTION
    budget = DEFAULT_TIME_BUDGET
    for objective in objectives:
        if _objective_applies(objective, run):
            budget = min(budget, _time_budget_by_objective(objective, age))
    if spec.deadline_s is not None and not _has_wait_or_finish_slo(objectives, spec):
        waited = timedelta(milliseconds=run.eligible_from_ms - run.deadline_base_ms)
        budget = (seconds(spec.deadline_s) - age - waited) * TIME_BUDGET_FRACTION
    return budget


def _has_wait_or_finish_slo(objectives: Iterable[ServiceLevelObjective], spec: JobSpec) -> bool:
    return any(o.objective_type in ("wait", "finished") and o.job_class == spec.job_class for o in objectives)


def _objective_applies(objective: ServiceLevelObjective, run: JobRun) -> bool:
    if objective.objective_type == "guarantee":
        return run.is_within_quota
    return objective.job_class == run.spec.job_class


def _time_budget_by_objective(objective: ServiceLevelObjective, age: timedelta) -> timedelta:
    if objective.objective_type in ("wait", "guarantee"):
        return ZERO
    if objective.objective_type == "finished":
        return ((objective.threshold or ZERO) - age) * TIME_BUDGET_FRACTION
    return DEFAULT_TIME_BUDGET


class ScaleOutPlan(NamedTuple):
    """What to rent, and whether CPU-only work lacks machines that cannot be had."""

    machine_requests: list[MachineRequest]
    is_cpu_exhausted: bool


def plan_scale_out(
    cluster_state: ClusterState,
    scheduling_pass: SchedulingPassResult,
    refused_until: dict[MachineOffer, datetime],
    wall_ms: int,
    now: datetime,
) -> ScaleOutPlan:
    """What to rent now for the jobs that the last scheduling pass could not place."""
    is_cpu_exhausted = False
    machine_requests: list[MachineRequest] = []
    # Listed once: with hundreds of jobs waiting, each of them used to scan the whole fleet again.
    machines = list(available_machines(cluster_state, now))
    for gpu_pool in (True, False):
        waiting = [
            (run, count)
            for run, count in scheduling_pass.unplaced
            if (run.spec.gpus > 0) == gpu_pool and not run.final_state
        ]
        if not waiting:
            continue
        missing_units = _capacity_shortage(cluster_state, machines, gpu_pool, wall_ms, now)
        for run, count in waiting:
            spec = run.spec
            missing_units = max(missing_units, _unplaceable_units(cluster_state, run, count, machines))
            requested_units = max(
                min(missing_units, count * max(units_per_task(spec), MIN_UNITS)),
                _starvation_units(run, count, machines),
            )
            if requested_units <= UNIT_TOLERANCE:
                continue
            obtained_units = choose_offers(cluster_state, spec, requested_units, refused_until, machine_requests, now)
            missing_units -= obtained_units
            is_cpu_exhausted = is_cpu_exhausted or (not gpu_pool and obtained_units < requested_units - UNIT_TOLERANCE)
    return ScaleOutPlan(machine_requests, is_cpu_exhausted)


def _unplaceable_units(cluster_state: ClusterState, run: JobRun, count: int, machines: list[Machine]) -> float:
    """Units to rent for tasks that would find no place if the machines that suit them were empty: sums over all zones
    and types may come out even without these.

    Of jobs other than gangs it is one task, and only if none has a place. Where a gang's tasks have to be in the same
    zone, or in several, is left out: it counts as if any zone that it may use would do.
    """
    spec = run.spec
    # A GPU machine whose CPUs are kept for its GPUs is no place for work without GPUs, though it suits.
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
    return min(missing_tasks, count) * units_per_task(spec)


def _starvation_units(run: JobRun, count: int, machines: list[Machine]) -> float:
    """Units to rent for a job that has waited long, whatever the sums say: there may be enough in pieces.

    What boots already counts for it, so that it is asked for once.
    """
    spec = run.spec
    if run.starvation_level == NOT_STARVING or not spec.is_admitted_as_unit:
        return 0.0
    booting_tasks = sum(m.count_fitting_tasks(spec, 0.0) for m in machines if m.is_booting and allows_machine(spec, m))
    return max(0, count - booting_tasks) * units_per_task(spec)


def _capacity_shortage(
    cluster_state: ClusterState, machines: list[Machine], is_gpu_pool: bool, wall_ms: int, now: datetime
) -> float:
    """Units that should be rented now: known work over the time that its SLOs leave, less available capacity.

    Work that gets done while a machine boots is subtracted. Tasks that wait for their team's quota need no machine.
    """
    available_units = sum(pool_capacity(m.machine_type, is_gpu_pool, cluster_state.max_cpus_per_gpu) for m in machines)
    # Replicas of a service do not end: what they hold, and what those that wait need, is there for nothing else.
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
        pending = min(run.pending_count, max_concurrent_tasks(cluster_state, spec) - len(run.placements))
        if pending <= 0 and not run.placements:
            continue
        if spec.job_type == SERVICE:
            service_units += task_units * (max(0, pending) + len(run.placements))
            if pending > 0:
                needed_units = max(needed_units, service_units)
            continue
        work_unit_seconds += max(0, pending) * task_units * estimate.total_seconds()
        for placement in run.placements.values():
            work_unit_seconds += task_units * max(0.0, (placement.expected_end(now, estimate) - now).total_seconds())
        if pending > 0:
            age = timedelta(milliseconds=max(0, wall_ms - run.eligible_from_ms))
            budget = max(time_budget(cluster_state, run, age + min_boot_duration), estimate)
            done_meanwhile = _work_done_while_booting(available_units - service_units, min_boot_duration)
            needed_units = max(
                needed_units, service_units + (work_unit_seconds - done_meanwhile) / budget.total_seconds()
            )
    return needed_units - available_units


def _work_done_while_booting(free_units: float, boot_duration: timedelta) -> float:
    """Unit seconds that count as done while a machine boots: half of them, since work arrives meanwhile too.

    With all of them subtracted, bursts were rented for too late; with none, one GPU machine in five was never used.
    """
    return max(0.0, free_units) * boot_duration.total_seconds() * WORK_DONE_WHILE_BOOTING_FRACTION
