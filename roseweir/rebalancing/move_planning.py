"""Which replicas move where, so that a large task fits that fits only in total. Pure.

| who moves | when | what it costs |
| --- | --- | --- |
| replicas of services | a job of no lower priority has waited `after` and fits nowhere | the gap, weights not at hand |
| replicas without GPUs, off GPU machines | a job with GPUs waits | the same |
| a gang, whole | the job is starving (`scheduler/starvation.py`), no replicas do, and it fits elsewhere | saving |
| tasks of arrays | never: they end | |

A task can't run twice, so its replacement can't be up first; the gap is kept short instead: the place that it goes to
is held for it before it is stopped, with its weights where any place has them, and it is stopped at once. What makes
the room is held for whom it is made. Among the ways to make it the one that costs the least is taken, by service time
lost times GPUs; none that costs more than it brings, and none where renting costs less and comes in time.

Nothing goes round in circles: who was moved stays for `again`, and a place is not made by taking one of its own kind.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Any

from roseweir.clock import NEVER
from roseweir.rebalancing.fragmentation import total_free_gpus
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase, max_fitting_tasks
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE, JobSpec, MachineType
from roseweir.workers import messages as wire

# Seconds from the halt to the next start where the weights are at hand: two reports at the most.
DOWNTIME_HEARTBEATS = 2.0
# What a job gains for which room is made, at the most: so long it would have waited.
MAX_GAIN_S = 240.0
# A rental is charged for a minute at least.
MIN_BILLED_S = 60.0
# A replica without GPUs weighs like this part of a GPU.
CPU_ONLY_WEIGHT = 0.05
# A plan is let go after so long.
PLAN_LIFETIME = timedelta(seconds=90)
MAX_MOVES_PER_PLAN = 8
# Machines that are looked at for one job: those that lack the least.
MAX_CANDIDATE_MACHINES = 16


@dataclass(slots=True)
class Move:
    """A replica, or (index -1) a whole gang, that leaves the machine for the other ("": wherever it fits)."""

    job_id: str
    index: int
    target_machine: str

    @property
    def name(self) -> str:
        return f"{self.job_id}/{self.index}"


@dataclass(slots=True)
class MovePlan:
    """An intention: it is durable before anybody is stopped for it."""

    for_job_id: str  # the job that room is made for; "": GPUs' processors, for whoever needs them
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
    """What a plan is made on: a moment of the board."""

    cluster_state: ClusterState
    machines: list[Machine]  # that tasks may be started on
    now: datetime
    is_pinned: Callable[[str, int], bool]  # moved a while ago, or about to be
    reservations: dict[str, set[str]]  # machines that are kept, and for which jobs
    fragmentation_cost: Callable[[Machine, JobSpec], float]
    planned_tasks: dict[str, list[JobSpec]] = field(default_factory=dict)  # what earlier moves will take

    def is_reserved_for_others(self, machine: Machine, spec: JobSpec) -> bool:
        reserved_for = self.reservations.get(machine.name)
        return reserved_for is not None and spec.id not in reserved_for

    def free_slots(self, machine: Machine, spec: JobSpec) -> int:
        cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory
        for other in self.planned_tasks.get(machine.name, ()):
            cpus, gpus, memory = cpus - other.cpus, gpus - other.gpus, memory - other.memory_gb
        if spec.gpus <= 0 < machine.machine_type.gpus:
            return 0
        return max_fitting_tasks(spec, cpus, gpus, memory)


def move_downtime_s(cluster_state: ClusterState, spec: JobSpec, target_machine: Machine) -> float:
    """Seconds of service that a replica's move costs."""
    fetch_s = (
        0.0
        if target_machine.has_image(spec.image)
        else spec.image_gb / max(target_machine.machine_type.fetch_gb_per_s, 0.01)
    )
    return cluster_state.settings.params.workers.heartbeat_interval_s * DOWNTIME_HEARTBEATS + fetch_s


def gpu_weight(spec: JobSpec) -> float:
    return spec.gpus if spec.gpus > 0 else CPU_ONLY_WEIGHT


def _is_movable(context: PlanningContext, placement: Placement, priority: int | None) -> bool:
    """`priority`: of the job that room is made for; None: it moves for its own machine's sake."""
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
    """Whether the replica may be in this zone beside the others, which stay."""
    spec = run.spec
    others = [p.machine.zone for p in run.placements.values() if p is not placement]
    if spec.requires_single_zone and any(each != zone for each in others):
        return False
    return not spec.spread_across_zones or others.count(zone) < (spec.task_count + 1) // 2


def choose_target(context: PlanningContext, placement: Placement) -> tuple[float, Machine] | None:
    """Where a replica would go, and seconds of service lost: no large place broken, weights at hand, tightest fit."""
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
    """The cheapest moves after which one task of the job fits on some machine; None: there are none worth it."""
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
    cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory
    candidates: list[tuple[float, str, Placement]] = []
    moved_services: set[str] = set()
    # One that takes as much would want a place of the same kind.
    movable = [
        p
        for p in machine.placements.values()
        if p.run is not run and p.run.spec.gpus < spec.gpus and _is_movable(context, p, run.priority)
    ]
    potential = [
        free + sum(getattr(p.run.spec, what) for p in movable)
        for free, what in ((cpus, "cpus"), (gpus, "gpus"), (memory, "memory_gb"))
    ]
    if max_fitting_tasks(spec, *potential) < 1:
        return None
    for placement in movable:
        found = choose_target(context, placement)
        if found is not None:
            candidates.append((found[0] * gpu_weight(placement.run.spec), placement.task_name, placement))
    candidates.sort(key=lambda each: each[:2])
    chosen: list[tuple[float, Placement, Machine]] = []
    planned_tasks: dict[str, list[JobSpec]] = {}
    for _, _, placement in candidates:
        shortages = (spec.cpus - cpus > 1e-6, spec.gpus - gpus > 1e-6, spec.memory_gb - memory > 1e-6)
        if not any(shortages):
            break
        moved = placement.run.spec
        if (
            not (shortages[1] and moved.gpus > 0)
            and not (shortages[0] and moved.cpus > 0)
            and not (shortages[2] and moved.memory_gb > 0)
        ):
            continue
        if moved.id in moved_services or len(chosen) >= MAX_MOVES_PER_PLAN:
            continue  # one replica of a service at a time
        # Again, beside those chosen before.
        combined_tasks = {
            n: [*context.planned_tasks.get(n, ()), *planned_tasks.get(n, ())]
            for n in context.planned_tasks.keys() | planned_tasks.keys()
        }
        inner_context = replace(context, planned_tasks=combined_tasks)
        found = choose_target(inner_context, placement)
        if found is None:
            continue
        moved_services.add(moved.id)
        chosen.append((found[0] * gpu_weight(moved), placement, found[1]))
        planned_tasks.setdefault(found[1].name, []).append(moved)
        cpus, gpus, memory = cpus + moved.cpus, gpus + moved.gpus, memory + moved.memory_gb
    if max_fitting_tasks(spec, cpus, gpus, memory) < 1 or not chosen:
        return None
    # The dearest first: who turned out not to be needed stays.
    for each in sorted(chosen, key=lambda entry: -entry[0]):
        moved = each[1].run.spec
        if max_fitting_tasks(spec, cpus - moved.cpus, gpus - moved.gpus, memory - moved.memory_gb) >= 1:
            chosen.remove(each)
            cpus, gpus, memory = cpus - moved.cpus, gpus - moved.gpus, memory - moved.memory_gb
    moves = [Move(p.run.spec.id, p.index, target.name) for _, p, target in chosen]
    return MovePlan(spec.id, machine.name, expires_at_ms, moves, sum(cost for cost, _, _ in chosen))


def plan_gang_move(
    context: PlanningContext, run: JobRun, expires_at_ms: int, fits_elsewhere: Callable[[Placement], bool]
) -> MovePlan | None:
    """Last of all: a gang that can save leaves a machine to a job that has waited long, and fits elsewhere whole."""
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
            on_machine = [p for p in gang.placements.values() if p.machine is machine]
            first = on_machine[0]
            if (
                gang.final_state
                or gang.is_gang_stopping
                or gang.spec.checkpoint_interval_s <= 0
                or gang.priority < run.priority
                or gang.spec.gpus >= spec.gpus
                or any(p.state != wire.RUNNING or p.stop_requested_at is not None for p in gang.placements.values())
                or len(gang.placements) < gang.spec.task_count
                or context.is_pinned(gang.spec.id, -1)
            ):
                continue
            freed = (
                gang.spec.cpus * len(on_machine),
                gang.spec.gpus * len(on_machine),
                gang.spec.memory_gb * len(on_machine),
            )
            slots_after_move = max_fitting_tasks(
                spec, machine.free_cpus + freed[0], machine.free_gpus + freed[1], machine.free_memory + freed[2]
            )
            if slots_after_move < 1 or not fits_elsewhere(first):
                continue
            since_checkpoint_s = (
                context.now - (first.running_since or NEVER)
            ).total_seconds() % gang.spec.checkpoint_interval_s
            candidates.append(
                (
                    (since_checkpoint_s + gang.spec.checkpoint_duration_s) * gang.spec.gpus * gang.spec.task_count,
                    machine.name,
                    gang,
                )
            )
    if not candidates:
        return None
    cost, name, gang = min(candidates, key=lambda each: each[:2])
    return MovePlan(spec.id, name, expires_at_ms, [Move(gang.spec.id, -1, "")], cost)


def plan_cpu_only_moves(context: PlanningContext, expires_at_ms: int, max_moves: int) -> MovePlan | None:
    """Replicas without GPUs that hold the processors of GPUs somebody waits for, and have a place elsewhere.

    One machine at a time, the one that would then have the most GPUs with their processors.
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
        moved_services: set[str] = set()
        planned_tasks = {name: list(specs) for name, specs in context.planned_tasks.items()}
        inner_context = replace(context, planned_tasks=planned_tasks)
        for placement in machine.placements.values():
            spec = placement.run.spec
            if len(moves) >= max_moves or missing_cpus <= 1e-6:
                break
            if spec.gpus > 0 or spec.id in moved_services or not _is_movable(context, placement, None):
                continue
            found = choose_target(inner_context, placement)
            target = choose_target_freeing_soonest(inner_context, placement) if found is None else found[1]
            if target is None:
                continue
            moved_services.add(spec.id)
            planned_tasks.setdefault(target.name, []).append(spec)
            missing_cpus -= spec.cpus
            moves.append(Move(spec.id, placement.index, target.name))
        if moves:
            key = (-machine.free_gpus, machine.name)
            if best is None or key < best[0]:
                best = (key, MovePlan("", machine.name, expires_at_ms, moves))
    return None if best is None else best[1]


def choose_target_freeing_soonest(context: PlanningContext, placement: Placement) -> Machine | None:
    """An ordinary machine where tasks of arrays of lower rank will leave room for the replica the soonest.

    Such work fills every room as it comes free, and a replica that runs elsewhere waits for none: the machine has to be
    held for it before the room is there.
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
            continue  # for something else
        if machine.name in placement.run.failed_machines or not _zone_allows(placement.run, placement, machine.zone):
            continue
        lower_priority = [p for p in machine.placements.values() if _is_lower_array(p.run, placement.run)]
        ends = [
            (p.expected_end(now, cluster_state.estimate_runtime(p.run.spec)), n, p.run.spec)
            for n, p in enumerate(lower_priority)
        ]
        ends.sort(key=lambda each: each[:2])
        incoming = context.planned_tasks.get(machine.name, ())
        cpus = machine.free_cpus - sum(each.cpus for each in incoming)
        memory = machine.free_memory - sum(each.memory_gb for each in incoming)
        for end, _, leaving in ends:
            cpus, memory = cpus + leaving.cpus, memory + leaving.memory_gb
            if cpus >= spec.cpus - 1e-6 and memory >= spec.memory_gb - 1e-6:
                if best is None or (end, machine.name) < best[:2]:
                    best = (end, machine.name, machine)
                break
    return None if best is None else best[2]


def _is_lower_array(run: JobRun, other: JobRun) -> bool:
    return run.spec.job_type == ARRAY and run.priority > other.priority


def is_blocked_by_fragmentation(run: JobRun, machines: list[Machine]) -> bool:
    """The job's task would fit on what is free on all machines together."""
    spec = run.spec
    if spec.gpus <= 0 or run.final_state or run.is_crash_looping or (spec.job_type == GANG and run.placements):
        return False
    free_gpus, _ = total_free_gpus(spec, machines)
    return free_gpus >= spec.gpus - 1e-6


def cheaper_to_rent(
    cost: float, machine_type: MachineType, can_be_rented: bool, waiting_time_so_far: timedelta
) -> bool:
    """Whether a machine is better bought than made clear: by the GPU-seconds that either costs.

    What is bought comes after its boot, and costs its boot and a minute at least; what is moved comes within seconds.
    """
    if not can_be_rented:
        return False
    if waiting_time_so_far.total_seconds() + machine_type.boot_s > MAX_GAIN_S / 2:
        return False  # it would come late
    return cost > machine_type.gpus * (machine_type.boot_s + MIN_BILLED_S)
