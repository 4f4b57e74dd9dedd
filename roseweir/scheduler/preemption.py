"""Preemption: selects the tasks to stop for a job that finds no room, so that the least work is lost."""

import logging
from datetime import datetime, timedelta
from math import inf
from typing import NamedTuple

from roseweir.clock import NEVER
from roseweir.scheduler.capacity_snapshot import CapacitySnapshot, FreeCapacity, MachineWithRoom, allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase
from roseweir.scheduler.quota import QUOTA_TOLERANCE
from roseweir.scheduler.reservations import CapacityReservations, is_reserved_for_other_job, reserving_job_id
from roseweir.scheduler.task_placement import max_tasks_in_zone
from roseweir.submissions.jobs import GANG

log = logging.getLogger(__name__)

# How long a job waits for room to become free before other tasks are preempted for it.
PREEMPTION_DELAY = timedelta(seconds=1)
# The same for jobs of immediate-start classes, whose headroom (`headroom.py`) was not enough.
IMMEDIATE_START_PREEMPTION_DELAY = timedelta(milliseconds=300)
# How long a machine stays reserved for the job that tasks on it were preempted for.
MACHINE_RESERVATION_DURATION = timedelta(seconds=15)
# The interval between two searches for tasks to preempt.
PREEMPTION_RETRY_INTERVAL = timedelta(milliseconds=500)


class Slot(NamedTuple):
    """Room for one task of a job that is free, or becomes free once the victims have stopped."""

    lost_work_s: float
    machine: Machine
    victims: list[Placement]


def may_preempt(cluster_state: ClusterState, run: JobRun, victim: JobRun) -> bool:
    """Whether the job may preempt the victim, by the protocol's rules for stopping other work.

    It may if its priority is higher, unless only the victim is within its team's guarantee, or if it is within its
    team's guarantee and the victim runs on capacity that another team uses beyond its own guarantee.
    """
    if victim.spec.id == run.spec.id or victim.final_state:
        return False
    if run.priority < victim.priority and (run.is_within_quota or not victim.is_within_quota):
        return True
    if not run.is_within_quota or victim.is_within_quota or victim.spec.team == run.spec.team:
        return False
    team = cluster_state.teams.get(victim.spec.team)
    usage = cluster_state.usage_by_team.get(victim.spec.team)
    if team is None or usage is None:
        return False
    is_over_gpu_quota = victim.spec.gpus > 0 and usage.gpus - victim.spec.gpus >= team.guaranteed_gpus - QUOTA_TOLERANCE
    # CPU-only work of a team without guaranteed CPUs runs beyond its guarantee.
    is_over_cpu_quota = (
        team.guaranteed_cpus > 0 or victim.spec.gpus <= 0
    ) and usage.cpus - victim.spec.cpus >= team.guaranteed_cpus - QUOTA_TOLERANCE
    return is_over_gpu_quota or is_over_cpu_quota


def expire_failed_preemptions(cluster_state: ClusterState, now: datetime) -> None:
    """Drop records of searches without victims that are old enough to be repeated."""
    cluster_state.failed_preemptions = {
        key: failed_search
        for key, failed_search in cluster_state.failed_preemptions.items()
        if now - failed_search[1] < PREEMPTION_RETRY_INTERVAL
    }


def reserve_or_preempt(
    snapshot: CapacitySnapshot, run: JobRun, missing_tasks: int, reserved_from: dict[str, datetime]
) -> None:
    """Reserve the machines that will have room earliest, and preempt other tasks if allowed.

    A gang needs room for all its tasks at once, in one zone if it requires that. If room were made one machine at a
    time, other tasks would take the first machine before the last one is free.
    """
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec
    zones = _eligible_zones(snapshot, run)
    _reserve_earliest_room(snapshot, run, zones, missing_tasks, reserved_from)
    if now - run.first_waited_at < PREEMPTION_DELAY and now >= cluster_state.overflow_until:
        return
    # After a search without victims, jobs with the same key do not search again within the interval, nor does a job
    # that tasks are being stopped for: on a busy fleet, these repeated searches took half of a pass's time.
    required_slots = run.pending_count if spec.job_type == GANG else 1
    preemption_key = _preemption_key(run)
    min_failed_slots, last_attempt_at = cluster_state.failed_preemptions.get(preemption_key, (0, NEVER))
    if (
        required_slots >= min_failed_slots and now - last_attempt_at < PREEMPTION_RETRY_INTERVAL
    ) or now - run.last_preemption_search_at < PREEMPTION_RETRY_INTERVAL:
        return
    machine_groups = (
        [snapshot.fitting_gpu_machines(spec)]
        if zones == [None]
        else [snapshot.fitting_gpu_machines_by_zone(spec)[zone] for zone in zones if zone]
    )
    if _preempt_with_least_lost_work(snapshot, run, machine_groups, required_slots):
        run.last_preemption_search_at = now
    elif not run.failed_machines and not run.placements:
        cluster_state.failed_preemptions[preemption_key] = (required_slots, now)


def _reserve_earliest_room(
    snapshot: CapacitySnapshot,
    run: JobRun,
    zones: list[str | None],
    missing_tasks: int,
    reserved_from: dict[str, datetime],
) -> None:
    """Add to `reserved_from` the machines that will have room for the missing tasks earliest."""
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec

    def is_reserved(machine: Machine) -> bool:
        return machine.name in reserved_from or is_reserved_for_other_job(cluster_state, machine, spec, now)

    best: list[MachineWithRoom] = []
    for zone in zones:
        earliest = snapshot.earliest_machines_with_room(spec, zone, missing_tasks, is_reserved)
        if len(earliest) < missing_tasks and spec.job_type == GANG:
            continue  # the zone never has room for the whole gang
        if earliest and (not best or earliest[-1].free_at < best[-1].free_at):
            best = earliest
    for free_at, machine in best:
        # Ascending by time, so that the last entry for a machine decides.
        reserved_from[machine.name] = best[-1].free_at if spec.job_type == GANG else free_at


def _preemption_key(run: JobRun) -> tuple[object, ...]:
    """What decides which tasks a job may preempt: if one job finds no victims, no other with the same key does."""
    spec = run.spec
    return (
        spec.team,
        run.is_within_quota,
        run.priority,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.zone,
        spec.requires_single_zone,
        spec.allows_spot,
        tuple(spec.machine_types or ("*",)),
    )


def preempt_for_immediate_start(
    snapshot: CapacitySnapshot, run: JobRun, missing_tasks: int, reservations: CapacityReservations
) -> None:
    """Preempt lower-priority tasks if the headroom was not enough for a job that must start at once.

    The tasks with the least lost work come first. Nothing is reserved: the freed room goes to the first job in the
    queue, which is this one or one ahead of it.
    """
    cluster_state, now = snapshot.cluster_state, snapshot.now
    if (
        now - run.first_waited_at < IMMEDIATE_START_PREEMPTION_DELAY
        or now - run.last_preemption_search_at < PREEMPTION_RETRY_INTERVAL
    ):
        return
    run.last_preemption_search_at = now
    zone_limits = {zone: max_tasks_in_zone(run, zone) for zone in {m.zone for m in snapshot.machines}}
    for slot in _find_slots_for_immediate_start(snapshot, run, missing_tasks, zone_limits, reservations):
        if missing_tasks <= 0:
            break
        if zone_limits[slot.machine.zone] <= 0:
            continue
        zone_limits[slot.machine.zone] -= 1
        missing_tasks -= 1
        for victim in slot.victims:
            log.info(
                "preempting task for job that must start at once: task=%s machine=%s job=%s",
                victim.task_name,
                slot.machine.name,
                run.spec.id,
            )
            cluster_state.request_graceful_stop(victim, now, is_urgent=True)
        if slot.victims:
            cluster_state.needs_scheduling = True
            snapshot.invalidate_after_preemption()


def _find_slots_for_immediate_start(
    snapshot: CapacitySnapshot,
    run: JobRun,
    missing_tasks: int,
    zone_limits: dict[str, int],
    reservations: CapacityReservations,
) -> list[Slot]:
    """Slots for the job's tasks on machines without CPUs reserved for GPU jobs, the least lost work first."""
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec
    slots: list[Slot] = []
    for machine in snapshot.machines:
        tasks_wanted = min(missing_tasks, zone_limits[machine.zone])
        if tasks_wanted <= 0 or machine.name in reservations.cpus_per_gpu or machine.name in run.failed_machines:
            continue
        if (
            not allows_machine(spec, machine)
            or not spec.fits_machine_type(machine.machine_type)
            or is_reserved_for_other_job(cluster_state, machine, spec, now)
        ):
            continue
        # CPU-only victims: a gang with checkpoints counts as little lost work, and would be stopped for a replica of
        # 2 CPUs (71 times on one simulated day).
        slots += _find_slots(cluster_state, run, machine, tasks_wanted, now, cpu_only=True)
    # The lost work of a slot with victims includes the image fetch, which favours machines that hold the image.
    slots.sort(key=lambda slot: (slot.lost_work_s, slot.machine.machine_type.gpus > 0, slot.machine.name))
    return slots


def _eligible_zones(snapshot: CapacitySnapshot, run: JobRun) -> list[str | None]:
    """Zones that may each hold all of the job's tasks; None stands for any mix of zones."""
    if not run.spec.requires_single_zone:
        return [None]
    occupied_zones = {p.machine.zone for p in run.placements.values()}
    return [
        zone for zone in snapshot.fitting_gpu_machines_by_zone(run.spec) if not occupied_zones or zone in occupied_zones
    ]


def _preempt_with_least_lost_work(
    snapshot: CapacitySnapshot, run: JobRun, machine_groups: list[list[Machine]], required_slots: int
) -> bool:
    """Preempt tasks, with the least lost work, to make room for one task or for all pending tasks of a gang.

    Args:
        snapshot: free capacity in this pass; invalidated after a preemption.
        run: the job that needs room.
        machine_groups: groups of machines; the tasks run within one group.
        required_slots: how many tasks need room at the same time.

    Returns:
        False if not enough slots are free or can be freed.
    """
    cluster_state, now = snapshot.cluster_state, snapshot.now
    best: list[Slot] | None = None
    min_lost_work_s = inf
    for group in machine_groups:
        slots: list[Slot] = []
        for machine in group:
            if machine.name in run.failed_machines or is_reserved_for_other_job(cluster_state, machine, run.spec, now):
                continue
            if reserving_job_id(cluster_state, machine, now) == run.spec.id and run.spec.job_type != GANG:
                return True  # room is already being made
            slots += _find_slots(cluster_state, run, machine, required_slots, now)
        if len(slots) < required_slots:
            continue
        slots.sort(key=lambda slot: (slot.lost_work_s, slot.machine.name))
        if run.spec.job_type != GANG and not slots[0].victims:
            return True  # there is room, or it is already being made
        slots = slots[:required_slots]
        lost_work_s = sum(slot.lost_work_s for slot in slots)
        if best is None or lost_work_s < min_lost_work_s:
            best, min_lost_work_s = slots, lost_work_s
    if best is None:
        return False
    for slot in best:
        slot.machine.reserved_for_job = run.spec.id
        slot.machine.reserved_until = now + MACHINE_RESERVATION_DURATION
    victims = [victim for slot in best for victim in slot.victims]
    for victim in victims:
        log.info("preempting task: task=%s machine=%s job=%s", victim.task_name, victim.machine.name, run.spec.id)
        cluster_state.request_graceful_stop(victim, now, is_urgent=True)
    if victims:
        cluster_state.needs_scheduling = True
        snapshot.invalidate_after_preemption()
    return True


def _find_slots(
    cluster_state: ClusterState, run: JobRun, machine: Machine, tasks_wanted: int, now: datetime, cpu_only: bool = False
) -> list[Slot]:
    """Slots for the job's tasks that are free or can be freed on the machine, at most `tasks_wanted`.

    `cpu_only`: tasks with GPUs are not preempted.
    """
    spec = run.spec
    free_capacity = FreeCapacity(machine)
    for placement in machine.placements.values():
        if placement.stop_requested_at is not None:
            free_capacity.release(placement)
    count = min(tasks_wanted, free_capacity.task_capacity(spec))
    slots = [Slot(0.0, machine, []) for _ in range(count)]
    if len(slots) >= tasks_wanted:
        return slots
    victims = _preemptible_placements(cluster_state, run, machine, now, cpu_only)
    # On a machine without the image the job starts later by the fetch time, which is often the longest wait.
    fetch_s = 0.0 if machine.has_image(spec.image) else spec.image_gb / machine.machine_type.fetch_gb_per_s
    victims.sort(
        key=lambda p: (p.run.spec.job_type == GANG, p.run.is_within_quota, -p.run.priority, _lost_work_s(p, now))
    )
    slot_victims: list[Placement] = []
    for victim in victims:
        slot_victims.append(victim)
        free_capacity.release(victim)
        if free_capacity.task_capacity(spec) > len(slots):
            # One more task fits: its slot lists the victims that must stop for it.
            slots.append(Slot(fetch_s + sum(_lost_work_s(p, now) for p in slot_victims), machine, slot_victims))
            slot_victims = []
            if len(slots) >= tasks_wanted:
                break
    return slots


def _preemptible_placements(
    cluster_state: ClusterState, run: JobRun, machine: Machine, now: datetime, cpu_only: bool
) -> list[Placement]:
    """Tasks on the machine that the job may preempt now."""
    return [
        p
        for p in machine.placements.values()
        if p.stop_requested_at is None
        and not (cpu_only and p.run.spec.gpus > 0)
        and (p.phase == PlacementPhase.CONFIRMED or (p.phase == PlacementPhase.SENT and p.run.spec.job_type != GANG))
        and p.run.preemption_exempt_until <= now
        and may_preempt(cluster_state, run, p.run)
    ]


def _lost_work_s(placement: Placement, now: datetime) -> float:
    """Seconds of work that are lost by stopping the task; if it saves a checkpoint then, the time to save it."""
    spec = placement.run.spec
    if placement.running_since is not None and spec.saves_when_stopped:
        return spec.checkpoint_duration_s
    return placement.work_since_checkpoint_s(now)
