"""Placement of single tasks: ranks the machines with room for a job, and plans starts on them."""

from datetime import datetime

from roseweir.clock import FOREVER
from roseweir.limits import StartupLimit, TaskStart
from roseweir.scheduler.capacity_snapshot import CAPACITY_TOLERANCE, CapacitySnapshot, allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.scheduler.quota import UNLIMITED_TASKS, startup_limit_source
from roseweir.scheduler.reservations import CapacityReservations, is_reserved_for_other_job
from roseweir.scheduler.starvation import NOT_STARVING
from roseweir.submissions.jobs import ARRAY, JobSpec


def candidate_machines(
    snapshot: CapacitySnapshot,
    run: JobRun,
    machines: list[Machine],
    reserved_from: dict[str, datetime],
    avoided_limits: list[StartupLimit],
    reservations: CapacityReservations,
) -> list[Machine]:
    """Machines with room for a task of the job, the best first.

    Args:
        snapshot: free capacity in this pass; records it if no machine has room.
        run: the job.
        machines: the machines to consider.
        reserved_from: from when on a machine is reserved for an earlier job, by machine name.
        avoided_limits: exhausted startup limits; machines that they match are left out.
        reservations: what the job must leave free.
    """
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec
    min_cpus = spec.cpus - CAPACITY_TOLERANCE
    min_gpus = spec.gpus - CAPACITY_TOLERANCE
    min_memory_gb = spec.memory_gb - CAPACITY_TOLERANCE
    scored_machines: list[tuple[float, float, float, float, float, int, Machine]] = []
    # A task that is expected to end before an earlier job needs the machine may run on it until then.
    expected_end = (
        now + cluster_state.estimate_runtime(spec)
        if spec.job_type == ARRAY and spec.estimated_duration_s > 0
        else FOREVER
    )
    no_machine_has_room = True
    for machine in machines:
        if machine.free_cpus < min_cpus or machine.free_gpus < min_gpus or machine.free_memory_gb < min_memory_gb:
            continue
        if not allows_machine(spec, machine):
            continue
        if reservations.task_capacity(machine, spec) <= 0:
            if machine.lacks_task_slots(spec):
                snapshot.slot_limited_job_ids.add(spec.id)
            continue
        no_machine_has_room = False
        if expected_end > reserved_from.get(machine.name, FOREVER) or is_reserved_for_other_job(
            cluster_state, machine, spec, now
        ):
            continue
        if machine.name in run.failed_machines or any(limit.matches(spec, machine) for limit in avoided_limits):
            continue
        scored_machines.append((*_placement_score(snapshot, spec, machine), snapshot.rank(machine), machine))
    if no_machine_has_room and spec.id not in snapshot.slot_limited_job_ids:
        snapshot.record_full(spec, reservations.access_level)
    scored_machines.sort()
    return [scored[-1] for scored in scored_machines]


def _placement_score(
    snapshot: CapacitySnapshot, spec: JobSpec, machine: Machine
) -> tuple[float, float, float, float, float]:
    """The sort key of a machine; lower is better.

    Prefers machines whose GPUs are not wasted, that hold nothing other jobs depend on, that have the image, and that
    have the least room left.
    """
    if spec.image in machine.image_cache or not spec.image:
        image_cost = 0.0
    elif machine.has_image(spec.image):
        image_cost = 0.5
    else:
        image_cost = 1.0
    wastes_gpus = float(spec.gpus <= 0 < machine.machine_type.gpus)
    # Jobs that allow spot GPUs use them first: they cost less, and the others stay free for jobs that need them.
    uses_non_spot = float(spec.gpus > 0 and spec.allows_spot and not machine.is_spot)
    # Low-latency classes have no time for an image fetch: other jobs use the machines that hold their images last.
    low_latency_image_penalty = (
        0.0 if spec.image in snapshot.cluster_state.low_latency_images else snapshot.low_latency_image_penalty(machine)
    )
    capacity_left = machine.free_gpus if spec.gpus > 0 else machine.free_cpu_fraction
    policy = snapshot.cluster_state.active_placement_policy
    if policy is not None and spec.gpus > 0:
        # Fragmentation ranks before the image: GPUs stay fragmented for longer than a fetch takes. Among machines that
        # are equal otherwise, long tasks are placed beside long ones.
        fragmentation_cost = policy.fragmentation_cost(machine, spec)
        return (
            uses_non_spot,
            fragmentation_cost,
            low_latency_image_penalty,
            image_cost,
            capacity_left + policy.lifetime_mismatch(machine, spec) * 0.5,
        )
    if snapshot.cluster_state.headroom.must_start_at_once(spec):
        # The image ranks first: a fetch takes longer than the job may wait to start.
        return (image_cost, wastes_gpus, uses_non_spot, low_latency_image_penalty, capacity_left)
    return (wastes_gpus, uses_non_spot, low_latency_image_penalty, image_cost, capacity_left)


def max_tasks_in_zone(run: JobRun, zone: str) -> int:
    """How many more tasks the job's zone rules allow in the zone, counting every task that may still exist."""
    spec = run.spec
    max_tasks = UNLIMITED_TASKS
    if spec.requires_single_zone and any(p.machine.zone != zone for p in run.placements.values()):
        return 0
    if spec.spread_across_zones:
        max_tasks = (spec.task_count + 1) // 2 - run.count_placed_in_zone(zone)
    return max(0, max_tasks)


def place_tasks(
    cluster_state: ClusterState,
    run: JobRun,
    count: int,
    candidates: list[Machine],
    reservations: CapacityReservations,
    now: datetime,
) -> int:
    """Plan up to `count` tasks on the candidates in their order; returns how many were placed."""
    spec = run.spec
    attempt = 0
    placed_count = 0
    blocked_zones: set[str] = set()
    for machine in candidates:
        is_image_cached = machine.has_image(spec.image)
        if not is_image_cached and (machine.zone in blocked_zones or is_fetch_reserved(cluster_state, run, machine)):
            continue
        tasks_here = min(
            count - placed_count, reservations.task_capacity(machine, spec), max_tasks_in_zone(run, machine.zone)
        )
        if tasks_here <= 0:
            continue
        # A blocked start is skipped: another machine, or the next pass, may allow it.
        if not cluster_state.limits.try_start([TaskStart(spec, machine, tasks_here)], startup_limit_source(spec), now):
            if tasks_here == 1 or not cluster_state.limits.try_start(
                [TaskStart(spec, machine, 1)], startup_limit_source(spec), now
            ):
                if not is_image_cached:
                    blocked_zones.add(machine.zone)
                    if run.starvation_level > NOT_STARVING:
                        cluster_state.fetch_reserved_zones.add(machine.zone)
                continue
            tasks_here = 1
        for _ in range(tasks_here):
            index = run.pop_next_index()
            if index is None:
                return placed_count
            attempt = attempt or cluster_state.allocate_attempt()
            cluster_state.add_placement(run, index, machine, attempt, now)
            placed_count += 1
        if placed_count >= count:
            break
    return placed_count


def is_fetch_reserved(cluster_state: ClusterState, run: JobRun, machine: Machine) -> bool:
    """Whether an image fetch of the job in the machine's zone would use tokens reserved for a starving job."""
    return run.starvation_level == NOT_STARVING and machine.zone in cluster_state.fetch_reserved_zones
