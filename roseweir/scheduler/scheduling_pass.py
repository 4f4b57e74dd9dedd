"""One planning pass: which waiting tasks go where now, and what is left over.

By guarantee, priority and arrival. Pure; the pass changes the board and nothing else.
"""

import logging
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from math import inf

from roseweir.clock import FOREVER, NEVER
from roseweir.limits import StartupLimit, TaskStart
from roseweir.scheduler.capacity_snapshot import CapacitySnapshot, FreeCapacity, allows_machine
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase
from roseweir.scheduler.starvation import (
    CRITICALLY_STARVING,
    NOT_STARVING,
    PREEMPTION_PROTECTION_DURATION,
    mark_starving_jobs,
)
from roseweir.submissions.jobs import ARRAY, GANG, JobSpec

log = logging.getLogger(__name__)

# How long a job waits for room to come free by itself before it takes it from others.
PREEMPTION_DELAY = timedelta(seconds=1)
# The same for work that must start at once, where the room kept for it was not enough.
URGENT_PREEMPTION_DELAY = timedelta(milliseconds=300)
# How long a machine is kept for the job that others were stopped for on it.
MACHINE_RESERVATION_DURATION = timedelta(seconds=15)
# After a look for others to stop, that long until the next.
PREEMPTION_RETRY_INTERVAL = timedelta(milliseconds=500)


@dataclass(slots=True)
class SchedulingPassResult:
    """What a pass found out, for the cloud's planning: tasks that found no room."""

    placed_count: int = 0
    unplaced: list[tuple[JobRun, int]] = field(default_factory=list)


def limit_source(spec: JobSpec) -> str:
    """Whom the limits' ban windows hold to account: a team's jobs that want the same image."""
    return f"{spec.team}:{spec.image}"


def schedulable_machines(cluster_state: ClusterState, now: datetime) -> list[Machine]:
    """Machines that tasks may be started on."""
    return [
        m
        for m in cluster_state.machines.values()
        if m.has_acknowledged_term
        and not m.is_marked_for_release
        and not m.is_suspected
        and m.spot_reclaim_at is None
        and m.unhealthy_until <= now
        and m.name not in cluster_state.drain_by_machine
        and cluster_state.is_heartbeat_current(m, now)
    ]


def mark_within_quota(cluster_state: ClusterState) -> None:
    """A job is covered if it fits its team's guarantee together with the team's earlier unfinished jobs."""
    if not cluster_state.needs_quota_update:
        return
    cluster_state.needs_quota_update = False
    usage_by_team: dict[str, TeamUsage] = {}
    for run in sorted(cluster_state.jobs.values(), key=_arrival_order):
        spec = run.spec
        team = cluster_state.teams.get(spec.team)
        if run.final_state or team is None or run.hold_reason:
            run.is_within_quota = False
            continue
        counted_tasks = spec.task_count
        if not spec.is_admitted_as_unit:
            # Of an array, only as many tasks count as the team's limit allows at once.
            counted_tasks = min(counted_tasks, max_concurrent_tasks(cluster_state, spec))
        team_usage = usage_by_team.setdefault(spec.team, TeamUsage())
        if spec.gpus > 0 or team.guaranteed_cpus > 0:
            team_usage.cpus += spec.cpus * counted_tasks
            team_usage.gpus += spec.gpus * counted_tasks
        # A guarantee of 0 means that there is none for this resource.
        run.is_within_quota = (
            team.has_guarantee
            and (team.guaranteed_gpus <= 0 or team_usage.gpus <= team.guaranteed_gpus + 1e-9)
            and (team.guaranteed_cpus <= 0 or team_usage.cpus <= team.guaranteed_cpus + 1e-9)
            and (spec.gpus > 0 or team.guaranteed_cpus > 0)
        )


def _max_tasks_within_limit(limit: float, demand: float) -> int:
    return int((limit + 1e-6) / demand) if limit > 0 and demand > 0 else 1 << 30


def max_concurrent_tasks(cluster_state: ClusterState, spec: JobSpec) -> int:
    """How many of a job's tasks its team's limit allows at the same time."""
    team = cluster_state.teams.get(spec.team)
    if team is None:
        return 0
    return min(_max_tasks_within_limit(team.max_cpus, spec.cpus), _max_tasks_within_limit(team.max_gpus, spec.gpus))


def _arrival_order(run: JobRun) -> tuple[int, str]:
    return (run.eligible_from_ms, run.spec.id)


def build_queue(cluster_state: ClusterState, now: datetime) -> list[JobRun]:
    waiting_runs = [run for run in cluster_state.jobs.values() if run.pending_count > 0]
    machines = [m for m in cluster_state.machines.values() if m.has_acknowledged_term and not m.is_marked_for_release]
    pool_capacity = {
        True: sum(m.machine_type.gpus for m in machines),
        False: sum(m.machine_type.cpus for m in machines),
    }
    mark_starving_jobs(waiting_runs, pool_capacity, cluster_state.job_sizes, cluster_state.wall_clock_epoch, now)
    # A mistaken job fails wherever it is put: it may try again where nobody else waits for the room.
    waiting_runs.sort(key=_queue_rank)
    return _order_by_deadline_slack(cluster_state, waiting_runs) if cluster_state.slack_ms_by_job else waiting_runs


def _order_by_deadline_slack(cluster_state: ClusterState, waiting_runs: list[JobRun]) -> list[JobRun]:
    """Among one team's jobs of the same standing, those that would come late for a promise go first, least slack first.

    They change places among themselves and with their team's others alone: nobody else's place in the queue moves.
    """
    positions_by_group: dict[tuple[object, ...], list[int]] = {}
    for position, run in enumerate(waiting_runs):
        positions_by_group.setdefault((*_queue_rank(run)[:4], run.spec.team), []).append(position)
    ordered = list(waiting_runs)
    for positions in positions_by_group.values():
        runs = [waiting_runs[position] for position in positions]
        if any(run.spec.id in cluster_state.slack_ms_by_job for run in runs):
            runs.sort(
                key=lambda run: (
                    run.spec.id not in cluster_state.slack_ms_by_job,
                    cluster_state.slack_ms_by_job.get(run.spec.id, 0),
                )
            )
            for position, run in zip(positions, runs, strict=True):
                ordered[position] = run
    return ordered


def _queue_rank(run: JobRun) -> tuple[object, ...]:
    is_prioritized = run.is_within_quota or run.starvation_level > NOT_STARVING
    return (
        run.is_crash_looping,
        run.starvation_level < CRITICALLY_STARVING,
        not is_prioritized,
        run.priority,
        *_arrival_order(run),
    )


def run_scheduling_pass(cluster_state: ClusterState, now: datetime) -> SchedulingPassResult:
    result = SchedulingPassResult()
    mark_within_quota(cluster_state)
    cluster_state.refresh_service_stability(now)
    schedulable = schedulable_machines(cluster_state, now)
    snapshot = CapacitySnapshot(cluster_state, schedulable, now)
    if cluster_state.active_chooser is not None:
        cluster_state.active_chooser.begin_pass(cluster_state.jobs.values(), schedulable, now)
    reservations = CapacityReservations(_reserved_cpus_per_gpu(cluster_state, schedulable, now))
    queued_runs = build_queue(cluster_state, now)
    cluster_state.fetch_reserved_zones.clear()
    cluster_state.min_waiting_cpus = min((run.spec.cpus for run in queued_runs if run.spec.gpus <= 0), default=inf)
    cluster_state.min_waiting_gpus = min((run.spec.gpus for run in queued_runs if run.spec.gpus > 0), default=inf)
    machines_with_room = _machines_with_minimum_room(cluster_state, schedulable)
    cluster_state.failed_preemptions = {
        key: known
        for key, known in cluster_state.failed_preemptions.items()
        if now - known[1] < PREEMPTION_RETRY_INTERVAL
    }
    reserved_from: dict[str, datetime] = {}
    gang_claims: dict[str, TeamUsage] = {}
    full_shapes: set[tuple[object, ...]] = set()
    for run in queued_runs:
        spec = run.spec
        pending_tasks = run.pending_count
        if run.first_waited_at == NEVER:
            run.first_waited_at = now
        gang_claim = gang_claims.setdefault(spec.team, TeamUsage())
        tasks_in_quota = min(pending_tasks, tasks_within_quota(cluster_state, spec, gang_claim))
        claims_quota = spec.job_type == GANG and not run.placements and not run.is_crash_looping
        if claims_quota:
            # A gang takes its part of the team's limit whole. Later jobs of the team leave it that part:
            # arrays took what came free one task at a time, and a gang within the guarantee never began.
            gang_claim.cpus += spec.cpus * pending_tasks
            gang_claim.gpus += spec.gpus * pending_tasks
        if spec.job_type == GANG and tasks_in_quota < pending_tasks:
            continue
        startable_tasks, avoided_limits = cluster_state.limits.adjust_request(
            spec, limit_source(spec), tasks_in_quota, now
        )
        if startable_tasks <= 0 or (spec.job_type == GANG and startable_tasks < pending_tasks and not run.placements):
            continue
        must_leave_headroom = cluster_state.headroom.must_leave_headroom(run)
        if must_leave_headroom and reservations.headroom_by_machine is None:
            # Those that come before have what they could have; what is free now is kept.
            reservations.headroom_by_machine = cluster_state.headroom.reserve(
                schedulable, cluster_state.low_latency_images
            )
        reservations.must_leave_headroom = must_leave_headroom
        reservations.waives_gpu_reserve = cluster_state.headroom.may_waive_gpu_reserve(
            run, cluster_state.highest_gpu_priority, now
        )
        demand_shape = (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.zone,
            spec.allows_spot,
            tuple(spec.machine_types or ("*",)),
            reservations.access_level,
        )
        if demand_shape in full_shapes and not run.failed_machines:
            result.unplaced.append((run, tasks_in_quota))
            continue
        candidates: list[Machine] = []
        if not snapshot.is_full(spec, reservations.access_level):
            candidates = _candidate_machines(
                snapshot, run, machines_with_room[spec.gpus > 0], reserved_from, avoided_limits, reservations
            )
        if spec.job_type == GANG:
            placed_count = _place_gang(cluster_state, run, pending_tasks, candidates, reservations, now)
        else:
            placed_count = _place_tasks(cluster_state, run, startable_tasks, candidates, reservations, now)
        result.placed_count += placed_count
        if placed_count:
            run.first_waited_at = NEVER
            if run.starvation_level > NOT_STARVING:
                run.preemption_exempt_until = now + PREEMPTION_PROTECTION_DURATION
            if claims_quota:
                # What it claimed, it uses now. Replacements claim nothing: giving back for them let an
                # array go over the team's limit.
                gang_claim.cpus -= spec.cpus * placed_count
                gang_claim.gpus -= spec.gpus * placed_count
        if placed_count < tasks_in_quota and not run.is_crash_looping:
            # For a mistaken job no room is made or kept, and nothing is rented.
            result.unplaced.append((run, tasks_in_quota - placed_count))
            if not candidates and not avoided_limits:
                full_shapes.add(demand_shape)
            if placed_count < startable_tasks:
                if spec.gpus > 0:
                    _reserve_or_preempt(snapshot, run, startable_tasks - placed_count, reserved_from)
                elif cluster_state.headroom.is_urgent(spec):
                    _preempt_for_urgent_job(snapshot, run, startable_tasks - placed_count, reservations)
    if reservations.headroom_by_machine is None:
        cluster_state.headroom.reserve(schedulable, cluster_state.low_latency_images)
    return result


def _machines_with_minimum_room(
    cluster_state: ClusterState, machines: list[Machine]
) -> tuple[list[Machine], list[Machine]]:
    """Machines with room for the least that any waiting task takes: for CPU-only tasks, and for those with GPUs.

    Most of a busy fleet is full, and hundreds of small jobs would each look at all of it again.
    """
    cpus, gpus = cluster_state.min_waiting_cpus - 1e-6, cluster_state.min_waiting_gpus - 1e-6
    return [m for m in machines if m.free_cpus >= cpus], [m for m in machines if m.free_gpus >= gpus]


@dataclass(slots=True)
class CapacityReservations:
    """What a job has to leave free on machines: CPUs for each GPU, and the headroom."""

    cpus_per_gpu: dict[str, float]
    headroom_by_machine: dict[str, tuple[float, float]] | None = None  # None: not looked for yet
    must_leave_headroom: bool = False  # the job at hand leaves the headroom alone
    waives_gpu_reserve: bool = False  # it has waited, and comes before all work with GPUs

    @property
    def access_level(self) -> int:
        """What is full for one job may have room for another."""
        return 2 if self.waives_gpu_reserve else int(self.must_leave_headroom)

    def task_capacity(self, machine: Machine, spec: JobSpec) -> int:
        reserve = 0.0 if self.waives_gpu_reserve else self.cpus_per_gpu.get(machine.name, 0.0)
        headroom = (
            self.headroom_by_machine.get(machine.name)
            if self.must_leave_headroom and self.headroom_by_machine is not None
            else None
        )
        return (
            machine.count_fitting_tasks(spec, reserve)
            if headroom is None
            else machine.count_fitting_tasks(spec, reserve, headroom)
        )


def _reserved_cpus_per_gpu(cluster_state: ClusterState, machines: list[Machine], now: datetime) -> dict[str, float]:
    """CPUs for each GPU that CPU-only work has to leave free, by machine.

    While it may spill, only so many free GPUs are kept clear that the next GPU jobs start at once; on
    the other machines, jobs within a guarantee take the room back when they come. GPU jobs that wait keep the CPUs of
    as many GPUs clear as they wait for, free or not: what CPU-only work takes of a GPU's CPUs leaves the GPU idle, and
    its next task waits for it as well as for the GPU. At most 48 of 160 GPUs were in use while GPU jobs waited for
    processors that replicas without GPUs held (a place of model services, `--crowded`).
    """
    gpu_machines = [m for m in machines if m.machine_type.gpus > 0]
    if now >= cluster_state.overflow_until:
        return {m.name: cluster_state.max_cpus_per_gpu for m in gpu_machines}
    cpus_per_gpu: dict[str, float] = {}
    starts_to_keep_clear = cluster_state.reserved_start_count * cluster_state.max_gang_tasks
    gpu_machines.sort(key=lambda m: (m.is_spot, m.cpu_only_cpus, -m.free_gpus))
    for machine in gpu_machines:
        possible_starts = (
            int((machine.free_gpus + 1e-6) / cluster_state.max_task_gpus) if cluster_state.max_task_gpus > 0 else 0
        )
        if starts_to_keep_clear > 0 and possible_starts > 0:
            cpus_per_gpu[machine.name] = cluster_state.max_cpus_per_gpu
            starts_to_keep_clear -= possible_starts
    pending_gpus = _pending_gpus(cluster_state) if cluster_state.active_chooser is not None else 0.0
    for machine in gpu_machines:
        if pending_gpus <= 0:
            break
        cpus_per_gpu[machine.name] = cluster_state.max_cpus_per_gpu
        pending_gpus -= machine.machine_type.gpus
    return cpus_per_gpu


def _pending_gpus(cluster_state: ClusterState) -> float:
    """GPUs of tasks that wait for a place, and not for their team's limit."""
    pending_gpus = 0.0
    for run in cluster_state.jobs.values():
        spec = run.spec
        if spec.gpus > 0 and not run.final_state and not run.is_crash_looping and run.pending_count > 0:
            pending_gpus += spec.gpus * min(run.pending_count, tasks_within_quota(cluster_state, spec, TeamUsage()))
    return pending_gpus


def tasks_within_quota(cluster_state: ClusterState, spec: JobSpec, gang_claim: TeamUsage) -> int:
    """How many more tasks the team's limit allows; whatever may still be somewhere counts.

    `claim` is what earlier gangs of the team wait for.
    """
    team = cluster_state.teams.get(spec.team)
    if team is None:
        return 0
    usage = cluster_state.usage_by_team.get(spec.team) or TeamUsage()
    max_tasks = 1 << 30
    for limit, used, demand in (
        (team.max_cpus, usage.cpus + gang_claim.cpus, spec.cpus),
        (team.max_gpus, usage.gpus + gang_claim.gpus, spec.gpus),
    ):
        if limit > 0 and demand > 0:
            max_tasks = min(max_tasks, max(0, int((limit - used + 1e-6) / demand)))
    return max_tasks


def _candidate_machines(
    snapshot: CapacitySnapshot,
    run: JobRun,
    machines: list[Machine],
    reserved_from: dict[str, datetime],
    avoided_limits: list[StartupLimit],
    reservations: "CapacityReservations",
) -> list[Machine]:
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec
    cpus, gpus, memory_gb = spec.cpus - 1e-6, spec.gpus - 1e-6, spec.memory_gb - 1e-6
    scored_machines: list[tuple[float, float, float, float, float, int, Machine]] = []
    # Work that should be over by the time that a machine is wanted for an earlier job may use it.
    expected_end = (
        now + cluster_state.estimate_runtime(spec)
        if spec.job_type == ARRAY and spec.estimated_duration_s > 0
        else FOREVER
    )
    no_machine_has_room = True
    for machine in machines:
        if machine.free_cpus < cpus or machine.free_gpus < gpus or machine.free_memory < memory_gb:
            continue
        if not allows_machine(spec, machine) or reservations.task_capacity(machine, spec) <= 0:
            continue
        no_machine_has_room = False
        if expected_end > reserved_from.get(machine.name, FOREVER) or _is_reserved_for_other_job(
            cluster_state, machine, spec, now
        ):
            continue
        if machine.name in run.failed_machines or any(limit.matches(spec, machine) for limit in avoided_limits):
            continue
        scored_machines.append((*_placement_score(snapshot, spec, machine), snapshot.rank(machine), machine))
    if no_machine_has_room:
        snapshot.record_full(spec, reservations.access_level)
    scored_machines.sort()
    return [scored[-1] for scored in scored_machines]


def _is_reserved_for_other_job(cluster_state: ClusterState, machine: Machine, spec: JobSpec, now: datetime) -> bool:
    """Room that is being made for one job must not go to another as its parts come free.

    It did: a gang's two victims left one after the other, the first one's place was filled again, and
    the new task became the next victim.
    """
    reserved_job_ids = cluster_state.reserved_machines.get(machine.name)
    if reserved_job_ids is not None and spec.id not in reserved_job_ids:
        return True
    return _reserved_for_job(cluster_state, machine, now) not in ("", spec.id)


def _reserved_for_job(cluster_state: ClusterState, machine: Machine, now: datetime) -> str:
    """The job that room is being made for on the machine, if it still waits and its time is not over."""
    run = cluster_state.jobs.get(machine.reserved_for_job)
    if run is None or run.pending_count <= 0 or now >= machine.reserved_until:
        machine.reserved_for_job = ""
    return machine.reserved_for_job


def _placement_score(
    snapshot: CapacitySnapshot, spec: JobSpec, machine: Machine
) -> tuple[float, float, float, float, float]:
    """Lower is better: no GPUs wasted, nor room that others need more; the image at hand; the tightest fit."""
    if spec.image in machine.image_cache or not spec.image:
        image_cost = 0.0
    elif machine.has_image(spec.image):
        image_cost = 0.5
    else:
        image_cost = 1.0
    wastes_gpus = float(spec.gpus <= 0 < machine.machine_type.gpus)
    # Work that may run on spot GPUs leaves the others to work that may not, and costs less there.
    uses_non_spot = float(spec.gpus > 0 and spec.allows_spot and not machine.is_spot)
    # A class that must start soon has no time to fetch: machines that hold its images are taken last.
    urgent_image_penalty = (
        0.0 if spec.image in snapshot.cluster_state.low_latency_images else snapshot.urgent_image_penalty(machine)
    )
    capacity_left = machine.free_gpus if spec.gpus > 0 else machine.free_cpus / machine.machine_type.cpus
    policy = snapshot.cluster_state.active_chooser
    if policy is not None and spec.gpus > 0:
        # A broken place is gone for longer than a fetch takes. Among equals, long tasks go beside long ones.
        fragmentation_cost = policy.fragmentation_cost(machine, spec)
        return (
            uses_non_spot,
            fragmentation_cost,
            urgent_image_penalty,
            image_cost,
            capacity_left + policy.lifetime_mismatch(machine, spec) * 0.5,
        )
    if snapshot.cluster_state.headroom.is_urgent(spec):
        # A fetch takes longer than it may.
        return (image_cost, wastes_gpus, uses_non_spot, urgent_image_penalty, capacity_left)
    return (wastes_gpus, uses_non_spot, urgent_image_penalty, image_cost, capacity_left)


def _max_tasks_in_zone(run: JobRun, zone: str) -> int:
    """What `requires_single_zone` and `spread` leave for a zone, against every task that may be somewhere."""
    spec = run.spec
    max_tasks = 1 << 30
    if spec.requires_single_zone and any(p.machine.zone != zone for p in run.placements.values()):
        return 0
    if spec.spread_across_zones:
        max_tasks = (spec.task_count + 1) // 2 - run.count_placed_in_zone(zone)
    return max(0, max_tasks)


def _place_tasks(
    cluster_state: ClusterState,
    run: JobRun,
    count: int,
    candidates: list[Machine],
    reservations: "CapacityReservations",
    now: datetime,
) -> int:
    spec = run.spec
    attempt = 0
    placed_count = 0
    blocked_zones: set[str] = set()
    for machine in candidates:
        is_image_cached = machine.has_image(spec.image)
        if not is_image_cached and (machine.zone in blocked_zones or _is_fetch_reserved(cluster_state, run, machine)):
            continue
        tasks_here = min(
            count - placed_count, reservations.task_capacity(machine, spec), _max_tasks_in_zone(run, machine.zone)
        )
        if tasks_here <= 0:
            continue
        # A blocked start is skipped, not held: another machine, or the next pass, may do.
        if not cluster_state.limits.try_start([TaskStart(spec, machine, tasks_here)], limit_source(spec), now):
            if tasks_here == 1 or not cluster_state.limits.try_start(
                [TaskStart(spec, machine, 1)], limit_source(spec), now
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


def _place_gang(
    cluster_state: ClusterState,
    run: JobRun,
    pending_tasks: int,
    candidates: list[Machine],
    reservations: "CapacityReservations",
    now: datetime,
) -> int:
    """All tasks that miss a place, or none: whole gangs, and replacements of a gathering one."""
    spec = run.spec
    zones: list[str | None] = [None]
    if spec.requires_single_zone:
        occupied_zones = {p.machine.zone for p in run.placements.values()}
        zones = list(occupied_zones) if occupied_zones else list(dict.fromkeys(m.zone for m in candidates))
        if len(occupied_zones) > 1:
            return 0
    best_assignment: list[tuple[Machine, int]] | None = None
    for zone in zones:
        assignment = _assign_gang_to_machines(
            run, pending_tasks, [m for m in candidates if zone in (None, m.zone)], reservations
        )
        if assignment is not None and (
            best_assignment is None
            or _count_image_fetches(spec, assignment) < _count_image_fetches(spec, best_assignment)
        ):
            best_assignment = assignment
    if best_assignment is None:
        return 0
    starts = [TaskStart(spec, machine, tasks) for machine, tasks in best_assignment]
    fetching = [machine for machine, _ in best_assignment if not machine.has_image(spec.image)]
    if any(_is_fetch_reserved(cluster_state, run, machine) for machine in fetching):
        return 0
    if not cluster_state.limits.try_start(starts, limit_source(spec), now):
        if run.starvation_level > NOT_STARVING:
            cluster_state.fetch_reserved_zones.update(machine.zone for machine in fetching)
        return 0
    if not run.placements:
        run.gang_attempt = cluster_state.allocate_attempt()
    else:
        # The record may still name the places of those that are replaced, with the same attempt.
        run.replacement_count += 1
    placed_count = 0
    for machine, tasks in best_assignment:
        for _ in range(tasks):
            index = run.pop_next_index()
            assert index is not None
            cluster_state.add_placement(run, index, machine, run.gang_attempt, now)
            placed_count += 1
    return placed_count


def _is_fetch_reserved(cluster_state: ClusterState, run: JobRun, machine: Machine) -> bool:
    """Whether a fetch there would take tokens that are left to a job that has waited long."""
    return run.starvation_level == NOT_STARVING and machine.zone in cluster_state.fetch_reserved_zones


def _count_image_fetches(spec: JobSpec, assignment: list[tuple[Machine, int]]) -> int:
    return sum(1 for machine, _ in assignment if spec.image not in machine.image_cache)


def _assign_gang_to_machines(
    run: JobRun, pending_tasks: int, candidates: list[Machine], reservations: "CapacityReservations"
) -> list[tuple[Machine, int]] | None:
    spec = run.spec
    assignment: list[tuple[Machine, int]] = []
    tasks_by_zone: dict[str, int] = {}
    missing = pending_tasks
    for machine in candidates:
        tasks_here = min(missing, reservations.task_capacity(machine, spec))
        if spec.spread_across_zones:
            tasks_in_zone = tasks_by_zone.get(machine.zone, run.count_placed_in_zone(machine.zone))
            tasks_here = min(tasks_here, (spec.task_count + 1) // 2 - tasks_in_zone)
            tasks_by_zone[machine.zone] = tasks_in_zone + max(0, tasks_here)
        if tasks_here <= 0:
            continue
        assignment.append((machine, tasks_here))
        missing -= tasks_here
        if missing == 0:
            return assignment
    return None


def _reserve_or_preempt(
    snapshot: CapacitySnapshot, run: JobRun, missing_tasks: int, reserved_from: dict[str, datetime]
) -> None:
    """Keep later jobs off the machines that will soonest have room, and stop others' work if allowed.

    A gang needs room for all its tasks at once, in one zone if it says so: made one machine at a time,
    the first was lost again before the last was there.
    """
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec
    tasks_together = run.pending_count if spec.job_type == GANG else 1
    zones = _eligible_zones(snapshot, run)

    def is_reserved(machine: Machine) -> bool:
        return machine.name in reserved_from or _is_reserved_for_other_job(cluster_state, machine, spec, now)

    best: tuple[datetime, list[tuple[datetime, Machine]]] | None = None
    for zone in zones:
        earliest = snapshot.earliest_machines_with_room(spec, zone, missing_tasks, is_reserved)
        if len(earliest) < missing_tasks and spec.job_type == GANG:
            continue  # it never fits there
        if earliest and (best is None or earliest[-1][0] < best[0]):
            best = (earliest[-1][0], earliest)
    if best is not None:
        for free_at, machine in best[1]:
            # In order of time: of several places on a machine, the last one decides.
            reserved_from[machine.name] = best[0] if spec.job_type == GANG else free_at
    if now - run.first_waited_at < PREEMPTION_DELAY and now >= cluster_state.overflow_until:
        return
    # Where one job found nobody to stop, another like it does not look again for a moment, nor does a job for
    # which room is being made: on a busy fleet that was half of what a pass cost.
    demand_shape = (
        spec.team,
        run.is_within_quota,
        run.priority,
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.zone,
        spec.requires_single_zone,
    )
    key = (*demand_shape, spec.allows_spot, tuple(spec.machine_types or ("*",)))
    min_failed_tasks, last_attempt_at = cluster_state.failed_preemptions.get(key, (0, NEVER))
    if (
        tasks_together >= min_failed_tasks and now - last_attempt_at < PREEMPTION_RETRY_INTERVAL
    ) or now - run.last_preemption_search_at < PREEMPTION_RETRY_INTERVAL:
        return
    machine_groups = (
        [snapshot.fitting_gpu_machines(spec)]
        if zones == [None]
        else [snapshot.fitting_gpu_machines_by_zone(spec)[zone] for zone in zones if zone]
    )
    if _preempt_least_work(snapshot, run, machine_groups, tasks_together):
        run.last_preemption_search_at = now
    elif not run.failed_machines and not run.placements:
        cluster_state.failed_preemptions[key] = (tasks_together, now)


def _preempt_for_urgent_job(
    snapshot: CapacitySnapshot, run: JobRun, missing_tasks: int, reservations: CapacityReservations
) -> None:
    """Stop lower work where the headroom was not enough for tasks that must start at once, the least work lost first.

    What comes free so is the first's in the queue, which is this job or one before it, so nothing is promised.
    """
    cluster_state, now, spec = snapshot.cluster_state, snapshot.now, run.spec
    if (
        now - run.first_waited_at < URGENT_PREEMPTION_DELAY
        or now - run.last_preemption_search_at < PREEMPTION_RETRY_INTERVAL
    ):
        return
    run.last_preemption_search_at = now
    zone_limits = {zone: _max_tasks_in_zone(run, zone) for zone in {m.zone for m in snapshot.machines}}
    candidate_slots: list[tuple[bool, float, str, Machine, list[Placement]]] = []
    for machine in snapshot.machines:
        tasks_wanted = min(missing_tasks, zone_limits[machine.zone])
        if tasks_wanted <= 0 or machine.name in reservations.cpus_per_gpu or machine.name in run.failed_machines:
            continue
        if (
            not allows_machine(spec, machine)
            or not spec.fits_machine_type(machine.machine_type)
            or _is_reserved_for_other_job(cluster_state, machine, spec, now)
        ):
            continue
        # A gang that saves loses little by being stopped, and was stopped for a replica of 2 CPUs (rough, 71 times).
        slots = _find_slots(cluster_state, run, machine, tasks_wanted, now, cpu_only=True)
        candidate_slots += [
            (machine.machine_type.gpus > 0, lost_work_s, name, machine, victims)
            for lost_work_s, name, _, victims in slots
        ]
    # With the image at hand first, as far as a fetch is worth.
    candidate_slots.sort(key=lambda slot: (slot[1], slot[0], slot[2]))
    for _, _, _, machine, victims in candidate_slots:
        if missing_tasks <= 0:
            break
        if zone_limits[machine.zone] <= 0:
            continue
        zone_limits[machine.zone] -= 1
        missing_tasks -= 1
        for victim in victims:
            log.info("stopping %s on %s for %s", victim.task_name, machine.name, spec.id)
            cluster_state.request_graceful_stop(victim, now, is_urgent=True)
        if victims:
            cluster_state.needs_scheduling = True
            snapshot.invalidate_after_preemption()


def _eligible_zones(snapshot: CapacitySnapshot, run: JobRun) -> list[str | None]:
    """Where all of the job's tasks may go together; None: anywhere."""
    if not run.spec.requires_single_zone:
        return [None]
    occupied_zones = {p.machine.zone for p in run.placements.values()}
    return [
        zone for zone in snapshot.fitting_gpu_machines_by_zone(run.spec) if not occupied_zones or zone in occupied_zones
    ]


def may_preempt(cluster_state: ClusterState, run: JobRun, victim: JobRun) -> bool:
    """The protocol's two reasons: higher priority, or a team's guarantee against borrowed room."""
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
    is_over_gpu_quota = victim.spec.gpus > 0 and usage.gpus - victim.spec.gpus >= team.guaranteed_gpus - 1e-9
    # CPU-only work of a team without guaranteed CPUs runs beyond its guarantee.
    is_over_cpu_quota = (
        team.guaranteed_cpus > 0 or victim.spec.gpus <= 0
    ) and usage.cpus - victim.spec.cpus >= team.guaranteed_cpus - 1e-9
    return is_over_gpu_quota or is_over_cpu_quota


def _preempt_least_work(
    snapshot: CapacitySnapshot, run: JobRun, machine_groups: list[list[Machine]], tasks_together: int
) -> bool:
    """Make room for one task at a time, for a gang's together, where the least work is lost.

    False if there are not enough places that can be made free.
    """
    cluster_state, now = snapshot.cluster_state, snapshot.now
    best: tuple[float, list[Machine], list[Placement]] | None = None
    for group in machine_groups:
        slots: list[tuple[float, str, Machine, list[Placement]]] = []
        for machine in group:
            if machine.name in run.failed_machines or _is_reserved_for_other_job(cluster_state, machine, run.spec, now):
                continue
            if _reserved_for_job(cluster_state, machine, now) == run.spec.id and run.spec.job_type != GANG:
                return True  # room is already being made
            slots += _find_slots(cluster_state, run, machine, tasks_together, now)
        if len(slots) < tasks_together:
            continue
        slots.sort(key=lambda slot: slot[:2])
        if run.spec.job_type != GANG and not slots[0][3]:
            return True  # there is room, or it is already being made
        slots = slots[:tasks_together]
        lost_work_s = sum(slot[0] for slot in slots)
        if best is None or lost_work_s < best[0]:
            best = (lost_work_s, [slot[2] for slot in slots], [victim for slot in slots for victim in slot[3]])
    if best is None:
        return False
    for machine in best[1]:
        machine.reserved_for_job, machine.reserved_until = run.spec.id, now + MACHINE_RESERVATION_DURATION
    for victim in best[2]:
        log.info("preempting %s on %s for %s", victim.task_name, victim.machine.name, run.spec.id)
        cluster_state.request_graceful_stop(victim, now, is_urgent=True)
    if best[2]:
        cluster_state.needs_scheduling = True
        snapshot.invalidate_after_preemption()
    return True


def _find_slots(
    cluster_state: ClusterState, run: JobRun, machine: Machine, tasks_wanted: int, now: datetime, cpu_only: bool = False
) -> list[tuple[float, str, Machine, list[Placement]]]:
    """Places for the job's tasks that are or can be made free here: work lost, machine, whom to stop.

    `cpu_only_cpus`: work with GPUs is left alone.
    """
    spec = run.spec
    free_capacity = FreeCapacity(machine)
    for p in machine.placements.values():
        if p.stop_requested_at is not None:
            free_capacity.release(p)
    count = min(tasks_wanted, free_capacity.task_capacity(spec))
    slots: list[tuple[float, str, Machine, list[Placement]]] = [(0.0, machine.name, machine, []) for _ in range(count)]
    if len(slots) >= tasks_wanted:
        return slots
    victims = [
        p
        for p in machine.placements.values()
        if p.stop_requested_at is None
        and not (cpu_only and p.run.spec.gpus > 0)
        and (p.phase == PlacementPhase.CONFIRMED or (p.phase == PlacementPhase.SENT and p.run.spec.job_type != GANG))
        and p.run.preemption_exempt_until <= now
        and may_preempt(cluster_state, run, p.run)
    ]
    # Where the image is at hand the job starts sooner by the time of a fetch, which is often the longest wait.
    fetch_s = 0.0 if machine.has_image(spec.image) else spec.image_gb / max(machine.machine_type.fetch_gb_per_s, 0.01)
    victims.sort(
        key=lambda p: (p.run.spec.job_type == GANG, p.run.is_within_quota, -p.run.priority, _lost_work_s(p, now))
    )
    slot_victims: list[Placement] = []
    for victim in victims:
        slot_victims.append(victim)
        free_capacity.release(victim)
        if free_capacity.task_capacity(spec) > len(slots):
            # Only as many slots as tasks that fit: each names those that must go for it.
            slots.append(
                (fetch_s + sum(_lost_work_s(p, now) for p in slot_victims), machine.name, machine, slot_victims)
            )
            slot_victims = []
            if len(slots) >= tasks_wanted:
                break
    return slots


def _lost_work_s(placement: Placement, now: datetime) -> float:
    """Seconds of work that stopping the task throws away, the time to save included."""
    spec = placement.run.spec
    if placement.running_since is None:
        return 0.0
    if spec.checkpoint_interval_s > 0:
        return spec.checkpoint_duration_s
    return (now - placement.running_since).total_seconds()
