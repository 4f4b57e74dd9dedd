"""Plans moves of replicas that make room for a large task that fits the free capacity only in total. Pure.

| moved | condition | cost |
| --- | --- | --- |
| replicas of services | a job of no lower priority has waited `after` and fits nowhere | downtime, with image fetch |
| replicas without GPUs, off GPU machines | a job with GPUs waits | the same |
| a whole gang | it fits elsewhere, no replicas can move, the job is starving (`scheduler/starvation.py`) | checkpoint |
| tasks of arrays | never: they end by themselves | |

A task must not run twice, so its replacement cannot start before it has stopped. To keep the downtime short, the target
machine is reserved before the replica is stopped, one that has the image cached is preferred, and the replica is
stopped immediately. The room that a plan makes is reserved for the plan's job. Of the possible plans the cheapest is
chosen, by downtime times GPUs; a plan is rejected if it costs more than it gains, or if renting a machine costs less
and the machine is ready in time.

Moves cannot cycle: a moved replica is not moved again for `again`, and no replica that needs as many GPUs as the task,
or more, is moved for it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Any

from roseweir.rebalancing.fragmentation import total_free_gpus
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase, max_fitting_tasks
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE, JobSpec, MachineType
from roseweir.workers import messages as wire

# Downtime of a move where the image is cached, in heartbeat intervals: at most two from the stop to the next start.
DOWNTIME_HEARTBEATS = 2.0
# Upper bound of what a job gains from moves, in seconds: the time that it would have waited otherwise.
MAX_GAIN_S = 240.0
# A rental is charged for a minute at least.
MIN_BILLED_S = 60.0
# Weight of a replica without GPUs in the cost of moves, as a fraction of one GPU.
CPU_ONLY_WEIGHT = 0.05
# A plan is discarded after this time.
PLAN_LIFETIME = timedelta(seconds=90)
MAX_MOVES_PER_PLAN = 8
# Machines that are evaluated for one job: those that lack the fewest GPUs.
MAX_CANDIDATE_MACHINES = 16


@dataclass(slots=True)
class Move:
    """A replica, or (index -1) a whole gang, that moves to the target machine ("": wherever it fits)."""

    job_id: str
    index: int
    target_machine: str

    @property
    def name(self) -> str:
        return f"{self.job_id}/{self.index}"


@dataclass(slots=True)
class MovePlan:
    """Moves off one machine that make room for a job; stored before any replica is stopped for them."""

    for_job_id: str  # the job that room is made for; "": none, CPUs are freed for GPUs of the machine
    machine: str
    expires_at_ms: int  # by the wall clock
    moves: list[Move] = field(default_factory=list)
    cost: float = 0.0

    def encode(self) -> list[Any]:
        return [
            self.for_job_id,
            self.machine,
            self.expires_at_ms,
            [[m.job_id, m.index, m.target_machine] for m in self.moves],
        ]

    @classmethod
    def decode(cls, value: Any) -> "MovePlan":
        for_job_id, machine, expires_at_ms, moves = value
        return cls(
            str(for_job_id), str(machine), int(expires_at_ms), [Move(str(j), int(i), str(t)) for j, i, t in moves]
        )


@dataclass(slots=True)
class PlanningContext:
    """The cluster state and reservations on which plans are based."""

    cluster_state: ClusterState
    machines: list[Machine]  # on which tasks may be started
    now: datetime
    is_pinned: Callable[[str, int], bool]  # moved recently, or part of a plan
    reservations: dict[str, set[str]]  # machine name -> jobs that it is reserved for
    fragmentation_cost: Callable[[Machine, JobSpec], float]
    planned_tasks: dict[str, list[JobSpec]] = field(default_factory=dict)  # machine name -> tasks of planned moves

    def is_reserved_for_others(self, machine: Machine, spec: JobSpec) -> bool:
        reserved_for = self.reservations.get(machine.name)
        return reserved_for is not None and spec.id not in reserved_for

    def free_slots(self, machine: Machine, spec: JobSpec) -> int:
        cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        for other in self.planned_tasks.get(machine.name, ()):
            cpus, gpus, memory = cpus - other.cpus, gpus - other.gpus, memory - other.memory_gb
        if spec.gpus <= 0 < machine.machine_type.gpus:
            return 0
        return max_fitting_tasks(spec, cpus, gpus, memory)


def move_downtime_s(cluster_state: ClusterState, spec: JobSpec, target_machine: Machine) -> float:
    """Downtime of a replica that moves to the target machine, in seconds."""
    fetch_s = (
        0.0 if target_machine.has_image(spec.image) else spec.image_gb / target_machine.machine_type.fetch_gb_per_s
    )
    return cluster_state.settings.params.workers.heartbeat_interval_s * DOWNTIME_HEARTBEATS + fetch_s


def gpu_weight(spec: JobSpec) -> float:
    return spec.gpus if spec.gpus > 0 else CPU_ONLY_WEIGHT


def _is_movable(context: PlanningContext, placement: Placement, priority: int | None) -> bool:
    """Whether a replica may be moved. `priority`: that of the job that room is made for; None: for no job."""
    run = placement.run
    return (
        run.spec.job_type == SERVICE
        and not run.final_state
        and placement.stop_requested_at is None
        and placement.phase == PlacementPhase.CONFIRMED
        and placement.state == wire.RUNNING
        and (priority is None or run.priority >= priority)
        and len(run.placements) == run.spec.task_count
        and all(p.stop_requested_at is None and p.state == wire.RUNNING for p in run.placements.values())
        and not context.is_pinned(run.spec.id, placement.index)
    )


def _zone_allows(run: JobRun, placement: Placement, zone: str) -> bool:
    """Whether the job's zone constraints allow the replica in this zone while its other replicas stay."""
    spec = run.spec
    others = [p.machine.zone for p in run.placements.values() if p is not placement]
    if spec.requires_single_zone and any(other_zone != zone for other_zone in others):
        return False
    return not spec.spread_across_zones or others.count(zone) < (spec.task_count + 1) // 2


def choose_target(context: PlanningContext, placement: Placement) -> tuple[float, Machine] | None:
    """Downtime in seconds and target machine: least fragmentation first, then shortest downtime, then tightest fit."""
    spec, cluster_state = placement.run.spec, context.cluster_state
    best: tuple[tuple[float, float, float, str], float, Machine] | None = None
    for machine in context.machines:
        if machine is placement.machine or not allows_machine(spec, machine):
            continue
        if (
            context.is_reserved_for_others(machine, spec)
            or machine.reserved_for_job
            or machine.name in placement.run.failed_machines
        ):
            continue
        if context.free_slots(machine, spec) < 1 or not _zone_allows(placement.run, placement, machine.zone):
            continue
        downtime_s = move_downtime_s(cluster_state, spec, machine)
        key = (
            context.fragmentation_cost(machine, spec) if spec.gpus > 0 else 0.0,
            downtime_s,
            machine.free_gpus or machine.free_cpus,
            machine.name,
        )
        if best is None or key < best[0]:
            best = (key, downtime_s, machine)
    return None if best is None else (best[1], best[2])


def plan_replica_moves(context: PlanningContext, run: JobRun, expires_at_ms: int) -> MovePlan | None:
    """The cheapest moves after which one task of the job fits on a machine; None if there are none worth their cost."""
    spec = run.spec
    best: MovePlan | None = None
    candidates = [
        m
        for m in context.machines
        if m.machine_type.gpus > 0 and allows_machine(spec, m) and spec.fits_machine_type(m.machine_type)
    ]
    candidates.sort(key=lambda m: (spec.gpus - m.free_gpus, m.name))
    for machine in candidates[:MAX_CANDIDATE_MACHINES]:
        if machine.reserved_for_job not in ("", spec.id) or context.is_reserved_for_others(machine, spec):
            continue
        if machine.name in run.failed_machines or not _zone_allows_task(run, machine):
            continue
        plan = _plan_on_machine(context, run, machine, expires_at_ms)
        if plan is not None and (best is None or (plan.cost, plan.machine) < (best.cost, best.machine)):
            best = plan
    if best is not None and best.cost > spec.gpus * MAX_GAIN_S:
        return None
    return best


def _zone_allows_task(run: JobRun, machine: Machine) -> bool:
    spec = run.spec
    in_zone = sum(p.machine.zone == machine.zone for p in run.placements.values())
    if spec.requires_single_zone and in_zone < len(run.placements):
        return False
    return not spec.spread_across_zones or in_zone < (spec.task_count + 1) // 2


def _plan_on_machine(context: PlanningContext, run: JobRun, machine: Machine, expires_at_ms: int) -> MovePlan | None:
    spec = run.spec
    cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
    candidates: list[tuple[float, str, Placement]] = []
    moved_job_ids: set[str] = set()
    # A replica with as many GPUs would need a slot of the same size itself.
    movable = [
        p
        for p in machine.placements.values()
        if p.run is not run and p.run.spec.gpus < spec.gpus and _is_movable(context, p, run.priority)
    ]
    freeable = [
        free + sum(getattr(p.run.spec, resource) for p in movable)
        for free, resource in ((cpus, "cpus"), (gpus, "gpus"), (memory, "memory_gb"))
    ]
    if max_fitting_tasks(spec, *freeable) < 1:
        return None
    for placement in movable:
        target = choose_target(context, placement)
        if target is not None:
            candidates.append((target[0] * gpu_weight(placement.run.spec), placement.task_name, placement))
    candidates.sort(key=lambda candidate: candidate[:2])
    chosen: list[tuple[float, Placement, Machine]] = []
    planned_tasks: dict[str, list[JobSpec]] = {}
    for _, _, placement in candidates:
        shortages = (spec.cpus - cpus > 1e-6, spec.gpus - gpus > 1e-6, spec.memory_gb - memory > 1e-6)
        if not any(shortages):
            break
        moved_spec = placement.run.spec
        if (
            not (shortages[1] and moved_spec.gpus > 0)
            and not (shortages[0] and moved_spec.cpus > 0)
            and not (shortages[2] and moved_spec.memory_gb > 0)
        ):
            continue
        if moved_spec.id in moved_job_ids or len(chosen) >= MAX_MOVES_PER_PLAN:
            continue  # one replica of a service at a time
        # The target is chosen again, with the moves chosen so far taken into account.
        combined_tasks = {
            name: [*context.planned_tasks.get(name, ()), *planned_tasks.get(name, ())]
            for name in context.planned_tasks.keys() | planned_tasks.keys()
        }
        updated_context = replace(context, planned_tasks=combined_tasks)
        target = choose_target(updated_context, placement)
        if target is None:
            continue
        moved_job_ids.add(moved_spec.id)
        chosen.append((target[0] * gpu_weight(moved_spec), placement, target[1]))
        planned_tasks.setdefault(target[1].name, []).append(moved_spec)
        cpus, gpus, memory = cpus + moved_spec.cpus, gpus + moved_spec.gpus, memory + moved_spec.memory_gb
    if max_fitting_tasks(spec, cpus, gpus, memory) < 1 or not chosen:
        return None
    # Drops moves that are not needed after all, the most expensive first.
    for chosen_move in sorted(chosen, key=lambda entry: -entry[0]):
        moved_spec = chosen_move[1].run.spec
        if max_fitting_tasks(spec, cpus - moved_spec.cpus, gpus - moved_spec.gpus, memory - moved_spec.memory_gb) >= 1:
            chosen.remove(chosen_move)
            cpus, gpus, memory = cpus - moved_spec.cpus, gpus - moved_spec.gpus, memory - moved_spec.memory_gb
    moves = [Move(p.run.spec.id, p.index, target_machine.name) for _, p, target_machine in chosen]
    return MovePlan(spec.id, machine.name, expires_at_ms, moves, sum(cost for cost, _, _ in chosen))


def plan_gang_move(
    context: PlanningContext, run: JobRun, expires_at_ms: int, fits_elsewhere: Callable[[Placement], bool]
) -> MovePlan | None:
    """Last resort: a gang that can save a checkpoint and fits elsewhere as a whole makes room for a starving job."""
    spec = run.spec
    if run.starvation_level == NOT_STARVING:
        return None
    candidates: list[tuple[float, str, JobRun]] = []
    for machine in context.machines:
        if (
            machine.machine_type.gpus <= 0
            or not allows_machine(spec, machine)
            or not spec.fits_machine_type(machine.machine_type)
            or machine.reserved_for_job
        ):
            continue
        gangs = {p.run.spec.id: p.run for p in machine.placements.values() if p.run.spec.job_type == GANG}
        for gang in gangs.values():
            tasks_on_machine = [p for p in gang.placements.values() if p.machine is machine]
            first_task = tasks_on_machine[0]
            if (
                gang.final_state
                or gang.is_gang_stopping
                or not gang.spec.saves_when_stopped
                or gang.priority < run.priority
                or gang.spec.gpus >= spec.gpus
                or any(p.state != wire.RUNNING or p.stop_requested_at is not None for p in gang.placements.values())
                or len(gang.placements) < gang.spec.task_count
                or context.is_pinned(gang.spec.id, -1)
            ):
                continue
            freed_resources = (
                gang.spec.cpus * len(tasks_on_machine),
                gang.spec.gpus * len(tasks_on_machine),
                gang.spec.memory_gb * len(tasks_on_machine),
            )
            slots_after_move = max_fitting_tasks(
                spec,
                machine.free_cpus + freed_resources[0],
                machine.free_gpus + freed_resources[1],
                machine.free_memory_gb + freed_resources[2],
            )
            if slots_after_move < 1 or not fits_elsewhere(first_task):
                continue
            since_checkpoint_s = first_task.work_since_checkpoint_s(context.now)
            candidates.append(
                (
                    (since_checkpoint_s + gang.spec.checkpoint_duration_s) * gang.spec.gpus * gang.spec.task_count,
                    machine.name,
                    gang,
                )
            )
    if not candidates:
        return None
    cost, machine_name, gang = min(candidates, key=lambda candidate: candidate[:2])
    return MovePlan(spec.id, machine_name, expires_at_ms, [Move(gang.spec.id, -1, "")], cost)


def plan_cpu_only_moves(context: PlanningContext, expires_at_ms: int, max_moves: int) -> MovePlan | None:
    """Moves of replicas without GPUs that use the CPUs needed for a machine's free GPUs, and that fit elsewhere.

    Covers one machine at a time: of those where moves are possible, the one with the most free GPUs.
    """
    cluster_state = context.cluster_state
    best: tuple[tuple[float, str], MovePlan] | None = None
    for machine in context.machines:
        if machine.machine_type.gpus <= 0 or machine.free_gpus <= 1e-6 or machine.cpu_only_cpus <= 1e-6:
            continue
        if context.reservations.get(machine.name):
            continue
        missing_cpus = machine.free_gpus * cluster_state.max_cpus_per_gpu - machine.free_cpus
        if missing_cpus <= 1e-6:
            continue
        moves: list[Move] = []
        moved_job_ids: set[str] = set()
        planned_tasks = {name: list(specs) for name, specs in context.planned_tasks.items()}
        updated_context = replace(context, planned_tasks=planned_tasks)
        for placement in machine.placements.values():
            spec = placement.run.spec
            if len(moves) >= max_moves or missing_cpus <= 1e-6:
                break
            if spec.gpus > 0 or spec.id in moved_job_ids or not _is_movable(context, placement, None):
                continue
            target = choose_target(updated_context, placement)
            target_machine = choose_target_freeing_soonest(updated_context, placement) if target is None else target[1]
            if target_machine is None:
                continue
            moved_job_ids.add(spec.id)
            planned_tasks.setdefault(target_machine.name, []).append(spec)
            missing_cpus -= spec.cpus
            moves.append(Move(spec.id, placement.index, target_machine.name))
        if moves:
            key = (-machine.free_gpus, machine.name)
            if best is None or key < best[0]:
                best = (key, MovePlan("", machine.name, expires_at_ms, moves))
    return None if best is None else best[1]


def choose_target_freeing_soonest(context: PlanningContext, placement: Placement) -> Machine | None:
    """The machine without GPUs on which array tasks of lower priority will free room for the replica the soonest.

    Array tasks use all room as it becomes free, and a replica that runs elsewhere is not in the queue for it, so the
    machine has to be reserved for the replica before the room is free.
    """
    spec, cluster_state, now = placement.run.spec, context.cluster_state, context.now
    best: tuple[datetime, str, Machine] | None = None
    for machine in context.machines:
        if (
            machine.machine_type.gpus > 0
            or not allows_machine(spec, machine)
            or not spec.fits_machine_type(machine.machine_type)
            or machine.reserved_for_job
        ):
            continue
        if machine.name in context.reservations and machine.name not in context.planned_tasks:
            continue  # reserved for another purpose
        if machine.name in placement.run.failed_machines or not _zone_allows(placement.run, placement, machine.zone):
            continue
        lower_priority = [p for p in machine.placements.values() if _is_lower_priority_array(p.run, placement.run)]
        expected_ends = [
            (p.expected_end(now, cluster_state.estimate_runtime(p.run.spec)), n, p.run.spec)
            for n, p in enumerate(lower_priority)
        ]
        expected_ends.sort(key=lambda expected_end: expected_end[:2])
        planned_specs = context.planned_tasks.get(machine.name, ())
        cpus = machine.free_cpus - sum(planned.cpus for planned in planned_specs)
        memory = machine.free_memory_gb - sum(planned.memory_gb for planned in planned_specs)
        for end, _, ending_spec in expected_ends:
            cpus, memory = cpus + ending_spec.cpus, memory + ending_spec.memory_gb
            if cpus >= spec.cpus - 1e-6 and memory >= spec.memory_gb - 1e-6:
                if best is None or (end, machine.name) < best[:2]:
                    best = (end, machine.name, machine)
                break
    return None if best is None else best[2]


def _is_lower_priority_array(run: JobRun, other: JobRun) -> bool:
    return run.spec.job_type == ARRAY and run.priority > other.priority


def is_blocked_by_fragmentation(run: JobRun, machines: list[Machine]) -> bool:
    """Whether a task of the job would fit into the free GPUs of all machines together."""
    spec = run.spec
    if spec.gpus <= 0 or run.final_state or run.is_crash_looping or (spec.job_type == GANG and run.placements):
        return False
    free_gpus, _ = total_free_gpus(spec, machines)
    return free_gpus >= spec.gpus - 1e-6


def cheaper_to_rent(
    cost: float, machine_type: MachineType, can_be_rented: bool, waiting_time_so_far: timedelta
) -> bool:
    """Whether renting a machine costs less than the moves, compared in GPU-seconds.

    A rented machine is ready after its boot, and costs its boot and at least a minute; moves take only seconds.
    """
    if not can_be_rented:
        return False
    if waiting_time_so_far.total_seconds() + machine_type.boot_s > MAX_GAIN_S / 2:
        return False  # the machine would be ready too late
    return cost > machine_type.gpus * (machine_type.boot_s + MIN_BILLED_S)
