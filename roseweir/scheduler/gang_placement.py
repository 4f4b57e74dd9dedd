"""Gang scheduling: all pending tasks of a gang are placed together, or none."""

from datetime import datetime
from typing import NamedTuple

from roseweir.limits import TaskStart
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.scheduler.quota import startup_limit_source
from roseweir.scheduler.reservations import CapacityReservations
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.scheduler.task_placement import is_fetch_reserved
from roseweir.submissions.jobs import JobSpec


class Assignment(NamedTuple):
    """Tasks of a gang on one machine."""

    machine: Machine
    task_count: int


def place_gang(
    cluster_state: ClusterState,
    run: JobRun,
    pending_tasks: int,
    candidates: list[Machine],
    reservations: CapacityReservations,
    now: datetime,
) -> int:
    """Plan all pending tasks of a gang, or none: the whole gang, or replacements in one that has started.

    Returns:
        How many tasks were placed: `pending_tasks` or 0.
    """
    assignments = _best_assignments(run, pending_tasks, candidates, reservations)
    if assignments is None or not _try_start(cluster_state, run, assignments, now):
        return 0
    if not run.placements:
        run.gang_attempt = cluster_state.allocate_attempt()
    else:
        # The write-ahead log may still list the replaced tasks with the same attempt: this number distinguishes them.
        run.replacement_count += 1
    placed_count = 0
    for machine, task_count in assignments:
        for _ in range(task_count):
            index = run.pop_next_index()
            assert index is not None
            cluster_state.add_placement(run, index, machine, run.gang_attempt, now)
            placed_count += 1
    return placed_count


def _best_assignments(
    run: JobRun, pending_tasks: int, candidates: list[Machine], reservations: CapacityReservations
) -> list[Assignment] | None:
    """Assignments of all the tasks with the fewest image fetches; None if they do not fit together."""
    zones: list[str | None] = [None]
    if run.spec.requires_single_zone:
        occupied_zones = {p.machine.zone for p in run.placements.values()}
        zones = list(occupied_zones) if occupied_zones else list(dict.fromkeys(m.zone for m in candidates))
        if len(occupied_zones) > 1:
            return None
    best: list[Assignment] | None = None
    for zone in zones:
        assignments = _assign_gang_to_machines(
            run, pending_tasks, [m for m in candidates if zone in (None, m.zone)], reservations
        )
        if assignments is not None and (
            best is None or _count_image_fetches(run.spec, assignments) < _count_image_fetches(run.spec, best)
        ):
            best = assignments
    return best


def _try_start(cluster_state: ClusterState, run: JobRun, assignments: list[Assignment], now: datetime) -> bool:
    """Whether the startup limits allow the starts; if so, the limits are debited."""
    spec = run.spec
    starts = [TaskStart(spec, machine, task_count) for machine, task_count in assignments]
    fetching_machines = [machine for machine, _ in assignments if not machine.has_image(spec.image)]
    if any(is_fetch_reserved(cluster_state, run, machine) for machine in fetching_machines):
        return False
    if not cluster_state.limits.try_start(starts, startup_limit_source(spec), now):
        if run.starvation_level > NOT_STARVING:
            cluster_state.fetch_reserved_zones.update(machine.zone for machine in fetching_machines)
        return False
    return True


def _assign_gang_to_machines(
    run: JobRun, pending_tasks: int, candidates: list[Machine], reservations: CapacityReservations
) -> list[Assignment] | None:
    """Fill the candidates in their order; None if not all the tasks fit."""
    spec = run.spec
    assignments: list[Assignment] = []
    tasks_by_zone: dict[str, int] = {}
    missing_tasks = pending_tasks
    for machine in candidates:
        tasks_here = min(missing_tasks, reservations.task_capacity(machine, spec))
        if spec.spread_across_zones:
            tasks_in_zone = tasks_by_zone.get(machine.zone, run.count_placed_in_zone(machine.zone))
            tasks_here = min(tasks_here, (spec.task_count + 1) // 2 - tasks_in_zone)
            tasks_by_zone[machine.zone] = tasks_in_zone + max(0, tasks_here)
        if tasks_here <= 0:
            continue
        assignments.append(Assignment(machine, tasks_here))
        missing_tasks -= tasks_here
        if missing_tasks == 0:
            return assignments
    return None


def _count_image_fetches(spec: JobSpec, assignments: list[Assignment]) -> int:
    return sum(1 for machine, _ in assignments if spec.image not in machine.image_cache)
