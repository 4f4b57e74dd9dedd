"""One scheduling pass: which waiting tasks start on which machines now, and which found no room.

Jobs are considered in the order of `queue_order.py`. Each job goes through its team's limit (`quota.py`), the startup
limits, the capacity that it must leave to others (`reservations.py`), placement (`task_placement.py`,
`gang_placement.py`) and, if room is missing, reservations and preemption (`preemption.py`). No I/O; a pass changes the
cluster state and nothing else.
"""

from dataclasses import dataclass, field
from datetime import datetime
from math import inf

from roseweir.clock import NEVER
from roseweir.limits import StartupLimit
from roseweir.scheduler.capacity_snapshot import CAPACITY_TOLERANCE, CapacitySnapshot
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.gang_placement import place_gang
from roseweir.scheduler.machine_eligibility import schedulable_machines
from roseweir.scheduler.model import JobRun, Machine
from roseweir.scheduler.preemption import expire_failed_preemptions, preempt_for_immediate_start, reserve_or_preempt
from roseweir.scheduler.queue_order import build_queue
from roseweir.scheduler.quota import (
    mark_within_quota,
    max_concurrent_tasks,
    startup_limit_source,
    tasks_within_team_limit,
)
from roseweir.scheduler.reservations import CapacityReservations, reserved_cpus_per_gpu
from roseweir.scheduler.starvation import NOT_STARVING, PREEMPTION_PROTECTION_DURATION
from roseweir.scheduler.task_placement import candidate_machines, place_tasks
from roseweir.submissions.jobs import GANG, JobSpec

# A job, and how many of its tasks are within their team's limit and found no room. A bare tuple, since one is made for
# each waiting job of each pass.
UnplacedTasks = tuple[JobRun, int]


@dataclass(slots=True)
class SchedulingPassResult:
    """How many tasks a pass placed, and which found no room and are left to scale-out, in queue order."""

    placed_count: int = 0
    unplaced: list[UnplacedTasks] = field(default_factory=list)


# What decides whether a task finds room: CPUs, GPUs, GB of memory, zone, spot, machine types and access level. If no
# machine has room for one job, none has for another of the same shape. A bare tuple, since one is made for each job of
# each pass.
_DemandShape = tuple[float, float, float, str | None, bool, tuple[str, ...], int]


@dataclass(slots=True)
class _SchedulingPass:
    """The state of one pass, and the steps that it takes for each job in turn."""

    cluster_state: ClusterState
    now: datetime
    schedulable: list[Machine]
    snapshot: CapacitySnapshot
    reservations: CapacityReservations
    # Machines with room for the smallest waiting task, indexed by whether the task needs GPUs.
    machines_with_room: tuple[list[Machine], list[Machine]]
    # From when on a machine is reserved for a waiting job, by machine name.
    reserved_from: dict[str, datetime] = field(default_factory=dict)
    # CPUs and GPUs of the team's limit that are set aside for gangs that have not started, by team.
    gang_claims: dict[str, TeamUsage] = field(default_factory=dict)
    shapes_without_room: set[_DemandShape] = field(default_factory=set)
    result: SchedulingPassResult = field(default_factory=SchedulingPassResult)

    def schedule_job(self, run: JobRun) -> None:
        """Place as many of the job's pending tasks as possible, and reserve or preempt for the rest."""
        cluster_state, now, spec = self.cluster_state, self.now, run.spec
        is_gang = spec.job_type == GANG
        pending_tasks = run.pending_count
        if run.first_waited_at == NEVER:
            run.first_waited_at = now
        claims_team_limit = (
            is_gang
            and not run.placements
            and not run.is_crash_looping
            # A gang beyond the whole limit never starts: the settings have changed since it was accepted.
            and pending_tasks <= max_concurrent_tasks(cluster_state, spec)
        )
        tasks_within_limit = self._claim_team_limit(spec, pending_tasks, claims_team_limit)
        if is_gang and tasks_within_limit < pending_tasks:
            return
        startable_tasks, avoided_limits = cluster_state.limits.adjust_request(
            spec, startup_limit_source(spec), tasks_within_limit, now
        )
        if startable_tasks <= 0 or (is_gang and startable_tasks < pending_tasks and not run.placements):
            return
        self._prepare_reservations(run)
        demand_shape = self._demand_shape(spec)
        if demand_shape in self.shapes_without_room and not run.failed_machines:
            self.result.unplaced.append((run, tasks_within_limit))
            return
        candidates = self._candidates(run, avoided_limits)
        if is_gang:
            placed_count = place_gang(cluster_state, run, pending_tasks, candidates, self.reservations, now)
        else:
            placed_count = place_tasks(cluster_state, run, startable_tasks, candidates, self.reservations, now)
        self.result.placed_count += placed_count
        if placed_count:
            self._record_placed(run, placed_count, claims_team_limit)
        # A crash-looping job gets no reservation, no preemption and no new machine.
        if placed_count < tasks_within_limit and not run.is_crash_looping:
            self.result.unplaced.append((run, tasks_within_limit - placed_count))
            if not candidates and not avoided_limits and spec.id not in self.snapshot.slot_limited_job_ids:
                self.shapes_without_room.add(demand_shape)
            if placed_count < startable_tasks:
                self._make_room(run, startable_tasks - placed_count)

    def finish(self) -> None:
        """Reserve the headroom if that was not done for a job: the answers to heartbeats depend on it."""
        if self.reservations.headroom_by_machine is None:
            self.cluster_state.headroom.reserve(self.schedulable, self.cluster_state.low_latency_images)

    def _claim_team_limit(self, spec: JobSpec, pending_tasks: int, claims_team_limit: bool) -> int:
        """Return how many pending tasks the team's limit allows. `claims_team_limit`: set all their demand aside."""
        gang_claim = self.gang_claims.setdefault(spec.team, TeamUsage())
        tasks_within_limit = min(pending_tasks, tasks_within_team_limit(self.cluster_state, spec, gang_claim))
        if claims_team_limit:
            # A gang needs its share of the team's limit at once, so later jobs of the team must not use it. Otherwise
            # arrays take freed capacity one task at a time, and a gang within the guarantee never starts.
            gang_claim.cpus += spec.cpus * pending_tasks
            gang_claim.gpus += spec.gpus * pending_tasks
        return tasks_within_limit

    def _prepare_reservations(self, run: JobRun) -> None:
        """Set which reserved capacity the job must leave free."""
        cluster_state, reservations = self.cluster_state, self.reservations
        must_leave_headroom = cluster_state.headroom.must_leave_headroom(run)
        if must_leave_headroom and reservations.headroom_by_machine is None:
            # Earlier jobs in the queue have been placed; the headroom is taken from what is still free.
            reservations.headroom_by_machine = cluster_state.headroom.reserve(
                self.schedulable, cluster_state.low_latency_images
            )
        reservations.must_leave_headroom = must_leave_headroom
        reservations.waives_gpu_reserve = run.requires_gpu_machine or cluster_state.headroom.may_waive_gpu_reserve(
            run, cluster_state.highest_gpu_priority, self.now
        )

    def _demand_shape(self, spec: JobSpec) -> _DemandShape:
        return (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.zone,
            spec.allows_spot,
            tuple(spec.machine_types or ("*",)),
            self.reservations.access_level,
        )

    def _candidates(self, run: JobRun, avoided_limits: list[StartupLimit]) -> list[Machine]:
        if self.snapshot.is_full(run.spec, self.reservations.access_level):
            return []
        machines = self.machines_with_room[run.spec.gpus > 0]
        return candidate_machines(self.snapshot, run, machines, self.reserved_from, avoided_limits, self.reservations)

    def _record_placed(self, run: JobRun, placed_count: int, claims_team_limit: bool) -> None:
        """Reset the job's wait, release its claim on the team's limit, and protect a starving job from preemption."""
        run.first_waited_at = NEVER
        if run.starvation_level > NOT_STARVING:
            run.preemption_exempt_until = self.now + PREEMPTION_PROTECTION_DURATION
        if claims_team_limit:
            # Replacements in a gang claim nothing: releasing a claim for them would let arrays exceed the team's limit.
            gang_claim = self.gang_claims[run.spec.team]
            gang_claim.cpus -= run.spec.cpus * placed_count
            gang_claim.gpus -= run.spec.gpus * placed_count

    def _make_room(self, run: JobRun, missing_tasks: int) -> None:
        if run.spec.gpus > 0:
            reserve_or_preempt(self.snapshot, run, missing_tasks, self.reserved_from)
        elif self.cluster_state.headroom.must_start_at_once(run.spec):
            preempt_for_immediate_start(self.snapshot, run, missing_tasks, self.reservations)


def run_scheduling_pass(cluster_state: ClusterState, now: datetime) -> SchedulingPassResult:
    """Plan starts of waiting tasks in `cluster_state`, and stops of other tasks if room is missing.

    Args:
        cluster_state: the leader's state of machines, jobs and tasks; changed in place.
        now: the current instant of the leader's monotonic clock.

    Returns:
        How many tasks were placed, and which found no room.
    """
    mark_within_quota(cluster_state)
    cluster_state.refresh_service_stability(now)
    schedulable = schedulable_machines(cluster_state, now)
    snapshot = CapacitySnapshot(cluster_state, schedulable, now)
    if cluster_state.active_placement_policy is not None:
        cluster_state.active_placement_policy.begin_pass(cluster_state.jobs.values(), schedulable, now)
    reservations = CapacityReservations(reserved_cpus_per_gpu(cluster_state, schedulable, now))
    queued_runs = build_queue(cluster_state, now)
    cluster_state.fetch_reserved_zones.clear()
    cluster_state.min_waiting_cpus = min((run.spec.cpus for run in queued_runs if run.spec.gpus <= 0), default=inf)
    cluster_state.min_waiting_gpus = min((run.spec.gpus for run in queued_runs if run.spec.gpus > 0), default=inf)
    machines_with_room = _machines_with_minimum_room(cluster_state, schedulable)
    expire_failed_preemptions(cluster_state, now)
    scheduling_pass = _SchedulingPass(cluster_state, now, schedulable, snapshot, reservations, machines_with_room)
    for run in queued_runs:
        scheduling_pass.schedule_job(run)
    scheduling_pass.finish()
    return scheduling_pass.result


def _machines_with_minimum_room(
    cluster_state: ClusterState, machines: list[Machine]
) -> tuple[list[Machine], list[Machine]]:
    """Return the machines with room for the smallest waiting CPU-only task, and for the smallest with GPUs.

    Most machines of a busy fleet are full; without this filter each of hundreds of small jobs would scan all of them.
    """
    min_cpus = cluster_state.min_waiting_cpus - CAPACITY_TOLERANCE
    min_gpus = cluster_state.min_waiting_gpus - CAPACITY_TOLERANCE
    return [m for m in machines if m.free_cpus >= min_cpus], [m for m in machines if m.free_gpus >= min_gpus]
