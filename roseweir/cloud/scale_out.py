"""What to rent and what to give back. Pure.

There are two pools: machines' GPUs for jobs that need them, and CPUs for the rest. Going through the
queue in order, the work up to each job divided by the time that its aims leave gives the capacity that
the pool should have. What it lacks is rented where a task costs least.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import ceil

from roseweir.clock import NEVER, ZERO, seconds
from roseweir.cloud.liveness import counts_as_capacity, is_lost, silence_timeout
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.scheduler.quota import max_concurrent_tasks
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.settings import ServiceLevelObjective
from roseweir.submissions.jobs import GANG, SERVICE, JobSpec, MachineType

# The part of the time that is left which planning uses up: estimates are often wrong by half.
TIME_BUDGET_FRACTION = 0.6
WORK_DONE_WHILE_BOOTING_FRACTION = 0.5
DEFAULT_TIME_BUDGET = timedelta(seconds=60)
# After a refusal the same type, zone and kind is asked for again this much later.
OFFER_RETRY_INTERVAL = timedelta(seconds=12)
# Machines usually come up within 1.5 times the catalog's figure; some take several times as long.
LATE_BOOT_FACTOR = 2.0
FAILED_BOOT_FACTOR = 4.0
# Boots of a type are slow when so many machines or more are late and outnumber those on time; they are taken to
# be so many times slower then, until some have come up.
MIN_SLOW_BOOTS, SLOW_BOOT_FACTOR = 3, 2.0
# A deleted machine costs a minute at least.
MIN_CHARGED_DURATION = timedelta(seconds=60)
MAX_MACHINES_PER_REQUEST = 10
# Machines of a kind that no leader on record has been able to rent are kept this much longer.
UNCERTAIN_OFFER_FACTOR = 3

MachineOffer = tuple[str, str, bool]


@dataclass(slots=True, frozen=True)
class MachineRequest:
    type_name: str
    zone: str
    is_spot: bool
    count: int
    is_forecast: bool = False  # of demand that is only expected
    is_surge: bool = False  # to take the place of one that is drained


def units_per_task(spec: JobSpec) -> float:
    return spec.gpus if spec.gpus > 0 else spec.cpus


def pool_capacity(machine_type: MachineType, is_gpu_pool: bool, gpu_cpus: float) -> float:
    if is_gpu_pool:
        return machine_type.gpus
    return max(0.0, machine_type.cpus - machine_type.gpus * gpu_cpus)


def time_budget(cluster_state: ClusterState, run: JobRun, age: timedelta) -> timedelta:
    """How long the job's work may take by its class's aims."""
    spec = run.spec
    objectives = cluster_state.settings.params.objectives
    slack_ms = cluster_state.slack_ms_by_job.get(spec.id)
    if slack_ms is not None:
        # Promised, and at risk: what is left is its slack, and the time that it takes.
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


def plan_scale_out(
    cluster_state: ClusterState,
    scheduling_pass: SchedulingPassResult,
    refused_until: dict[MachineOffer, datetime],
    wall_ms: int,
    now: datetime,
) -> tuple[list[MachineRequest], bool]:
    """What to rent, and whether CPU-only work lacks machines that cannot be had."""
    is_cpu_exhausted = False
    machine_requests: list[MachineRequest] = []
    # Once for all: with hundreds of jobs waiting, each looked at the whole fleet again.
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
                min(missing_units, count * max(units_per_task(spec), 1e-3)), _starvation_units(run, count, machines)
            )
            if requested_units <= 1e-6:
                continue
            obtained_units = choose_offers(cluster_state, spec, requested_units, refused_until, machine_requests, now)
            missing_units -= obtained_units
            is_cpu_exhausted = is_cpu_exhausted or (not gpu_pool and obtained_units < requested_units - 1e-6)
    return machine_requests, is_cpu_exhausted


def tasks_per_machine(cluster_state: ClusterState, spec: JobSpec, machine_type: MachineType) -> int:
    """How many of the job's tasks an empty machine of the type takes, beside the CPUs that are kept for its GPUs."""
    return (
        Machine("", machine_type, "", False).count_fitting_tasks(spec, cluster_state.max_cpus_per_gpu)
        if spec.fits_machine_type(machine_type)
        else 0
    )


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


def _boot_slowdown(cluster_state: ClusterState, now: datetime) -> dict[str, float]:
    """By how much boots of each type are slower than the catalog says; 1.0 if they are as usual.

    The machines that are late always make up most of those still booting, so they are held against
    those that came up on time of late. When they outnumber these, others would be as late: ordering all
    of them again would buy everything twice.
    """
    late_boots: dict[str, int] = {}
    for machine in cluster_state.machines.values():
        if (
            machine.is_booting
            and machine.is_autoscaled
            and now - machine.scaled_out_at > machine.machine_type.boot_duration * LATE_BOOT_FACTOR
        ):
            late_boots[machine.machine_type.name] = late_boots.get(machine.machine_type.name, 0) + 1
    slowdown: dict[str, float] = {}
    for name, machine_type in cluster_state.catalog.items():
        recent = sorted(cluster_state.recent_boot_ratios(machine_type, now))
        typical_slowdown = max(1.0, recent[len(recent) // 2]) if len(recent) >= MIN_SLOW_BOOTS else 1.0
        is_outnumbered = late_boots.get(name, 0) > sum(boot_ratio <= LATE_BOOT_FACTOR for boot_ratio in recent)
        slowdown[name] = max(
            typical_slowdown, SLOW_BOOT_FACTOR if is_outnumbered and late_boots[name] >= MIN_SLOW_BOOTS else 1.0
        )
    return slowdown


def available_machines(cluster_state: ClusterState, now: datetime) -> Iterable[Machine]:
    """Machines that run, or should be up in time."""
    slowdown = _boot_slowdown(cluster_state, now)
    for machine in cluster_state.machines.values():
        if (
            machine.is_marked_for_release
            or machine.spot_reclaim_at is not None
            or machine.unhealthy_until > now
            or machine.is_unreachable
            or machine.name in cluster_state.drain_by_machine
        ):
            continue
        if (
            machine.is_booting
            and now - machine.scaled_out_at
            > machine.machine_type.boot_duration * LATE_BOOT_FACTOR * slowdown[machine.machine_type.name]
        ):
            continue
        if not machine.is_booting and not counts_as_capacity(cluster_state, machine, now):
            continue
        yield machine


def _capacity_shortage(
    cluster_state: ClusterState, machines: list[Machine], is_gpu_pool: bool, wall_ms: int, now: datetime
) -> float:
    """Units that should be rented now: work in sight by the time that its aims leave, less what stands.

    Of what gets done while a machine boots, half is taken off, since work arrives meanwhile too: with all
    of it off, bursts were rented for too late, with none, one GPU machine in five was never used. Tasks
    that wait for their team's limit need no machine.
    """
    available_units = sum(pool_capacity(m.machine_type, is_gpu_pool, cluster_state.max_cpus_per_gpu) for m in machines)
    # Replicas do not end: what they hold, and what those that wait want, is there for nothing else.
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
            done_meanwhile = (
                max(0.0, available_units - service_units)
                * min_boot_duration.total_seconds()
                * WORK_DONE_WHILE_BOOTING_FRACTION
            )
            needed_units = max(
                needed_units, service_units + (work_unit_seconds - done_meanwhile) / budget.total_seconds()
            )
    return needed_units - available_units


def choose_offers(
    cluster_state: ClusterState,
    spec: JobSpec,
    requested_units: float,
    refused_until: dict[MachineOffer, datetime],
    machine_requests: list[MachineRequest],
    now: datetime,
) -> float:
    """Add rentals for a job's missing units, the cheapest offer for a task first."""
    offers: list[tuple[float, int, str, MachineOffer, int]] = []
    requested_offers = {(w.type_name, w.zone, w.is_spot) for w in machine_requests}
    for machine_type in cluster_state.catalog.values():
        if not spec.fits_machine_type(machine_type):
            continue
        tasks_per_offer = tasks_per_machine(cluster_state, spec, machine_type)
        if tasks_per_offer <= 0:
            continue
        for zone in machine_type.zones:
            if spec.zone is not None and zone != spec.zone:
                continue
            spot_choices = [
                spot
                for spot in ((True, False) if spec.allows_spot else (False,))
                if refused_until.get((machine_type.name, zone, spot), NEVER) <= now
                and (machine_type.name, zone, spot) not in requested_offers
            ]
            if not spot_choices:
                continue
            machine_count = sum(
                1 for m in cluster_state.machines.values() if m.zone == zone and m.machine_type is machine_type
            )
            for spot in spot_choices:
                price = machine_type.spot_price if spot else machine_type.price
                offers.append(
                    (price / tasks_per_offer, machine_count, zone, (machine_type.name, zone, spot), tasks_per_offer)
                )
    offers.sort(key=lambda o: o[:3])
    obtained_units = 0.0
    for _, _, _, offer, tasks_per_offer in offers:
        if obtained_units >= requested_units - 1e-6:
            break
        units_per_machine = max(units_per_task(spec) * tasks_per_offer, 1e-3)
        count = min(MAX_MACHINES_PER_REQUEST, ceil((requested_units - obtained_units) / units_per_machine - 1e-6))
        machine_requests.append(MachineRequest(*offer, count))
        obtained_units += count * units_per_machine
    return obtained_units


def idle_timeout(machine_type: MachineType) -> timedelta:
    """Keeping an idle machine as long as it takes to boot another costs at most twice the best choice."""
    return max(machine_type.boot_duration * 1.5, seconds(20))


def _update_zone_contact(cluster_state: ClusterState, silent_by_zone: dict[str, list[bool]], now: datetime) -> None:
    """Since when most machines of a zone, and of all, have been heard.

    While most of a zone is silent it may only be cut off from us, and its tasks go on. Once it is heard
    again, or a new leader is, the last workers to turn up are not at fault either: 276 machines
    were given back so within seconds of a cut's end and a take-over (apart, log p2).
    """
    all_silent = [silent for zones in silent_by_zone.values() for silent in zones]
    for zone, silent in silent_by_zone.items():
        if sum(silent) * 2 <= max(len(silent), 2) and sum(all_silent) * 3 <= max(len(all_silent), 3):
            cluster_state.zone_responsive_since.setdefault(zone, now)
        else:
            cluster_state.zone_responsive_since.pop(zone, None)


def _has_idle_gpus(
    cluster_state: ClusterState, machine: Machine, waiting_specs: list[JobSpec], idle_limit: timedelta, now: datetime
) -> bool:
    """CPU-only work on a GPU machine must not keep it: the machine is paid for its GPUs."""
    return (
        machine.machine_type.gpus > 0
        and machine.gpu_task_count == 0
        and machine.spot_reclaim_at is None
        and machine.gpus_idle_since != NEVER
        and now - machine.gpus_idle_since > idle_limit
        and now - machine.scaled_out_at > MIN_CHARGED_DURATION
        and now >= cluster_state.overflow_until
        and not any(
            allows_machine(spec, machine) and spec.gpus > 0 and spec.fits_machine_type(machine.machine_type)
            for spec in waiting_specs
        )
    )


def plan_scale_in(
    cluster_state: ClusterState,
    scheduling_pass: SchedulingPassResult,
    now: datetime,
    retained: Container[str] = frozenset(),
) -> list[tuple[Machine, str]]:
    """Machines to give back, and why. Those `kept` ready for expected work do not go for being idle."""
    releases: list[tuple[Machine, str]] = []
    workers = cluster_state.settings.params.workers
    silence_limit = silence_timeout(cluster_state)
    silent_by_zone: dict[str, list[bool]] = {}
    for machine in cluster_state.machines.values():
        if not machine.is_booting:
            # One that takes connections hangs, and tells that the way to it is open.
            silent_by_zone.setdefault(machine.zone, []).append(
                not machine.is_hung
                and cluster_state.time_since_heartbeat(machine, now) > cluster_state.max_heartbeat_age
            )
    _update_zone_contact(cluster_state, silent_by_zone, now)
    slowdown = _boot_slowdown(cluster_state, now)
    waiting_specs = [run.spec for run, _ in scheduling_pass.unplaced]
    idle_limits = {machine_type.name: idle_timeout(machine_type) for machine_type in cluster_state.catalog.values()}
    for machine in cluster_state.machines.values():
        idle_limit = idle_limits[machine.machine_type.name]
        if (machine.machine_type.name, machine.zone, machine.is_spot) not in cluster_state.obtained_instance_pools:
            # Nobody knows whether another like it can be had.
            idle_limit *= UNCERTAIN_OFFER_FACTOR
        if machine.is_marked_for_release:
            releases.append((machine, "leaving"))
        elif machine.is_booting:
            # One that this leader found in the list may be up for long, and not have reported to it yet.
            boot_deadline = machine.machine_type.boot_duration * FAILED_BOOT_FACTOR * slowdown[
                machine.machine_type.name
            ] + seconds(10)
            if now > max(machine.scaled_out_at + boot_deadline, machine.known_since + silence_limit):
                releases.append((machine, "never came up"))
        elif machine.spot_reclaim_at is not None and cluster_state.time_since_heartbeat(
            machine, now
        ) > workers.heartbeat_interval * 2 + seconds(1):
            # The cloud said that it would take it, and it has fallen silent.
            releases.append((machine, "silent"))
        elif machine.is_unreachable and is_lost(cluster_state, machine, now):
            releases.append((machine, "deaf"))
        elif now - cluster_state.zone_responsive_since.get(machine.zone, now) > silence_limit and is_lost(
            cluster_state, machine, now
        ):
            # Once the release is answered, everything on the machine is proven gone. That is sooner
            # than its lease, and much sooner than the leases that an earlier leader may have renewed.
            releases.append((machine, "silent"))
        elif machine.name in retained:
            continue
        elif _has_idle_gpus(cluster_state, machine, waiting_specs, idle_limit, now):
            releases.append((machine, "GPUs idle"))
        elif machine.placements or machine.idle_since == NEVER or machine.spot_reclaim_at is not None:
            continue
        elif (
            now - machine.idle_since > idle_limit
            and now - machine.scaled_out_at > MIN_CHARGED_DURATION
            and not any(
                allows_machine(spec, machine) and machine.count_fitting_tasks(spec, cluster_state.max_cpus_per_gpu) > 0
                for spec in waiting_specs
            )
        ):
            releases.append((machine, "idle"))
    return releases
