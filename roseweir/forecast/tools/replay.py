"""Replays recorded load in simulated time with the service's scheduling and scaling code and a simulated provider.

The cluster state, scheduling passes, scale-out, scale-in and predictive scaling are those that a leader runs.
Heartbeats, stored records and failures are left out, so placements reach machines at once. Arrivals before the measured
time are only counted in the demand history, as a leader would have done. Boot times and run times are drawn for each
machine and task from the seed, so that they are the same under every policy.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from functools import partial
from heapq import heappop, heappush
from typing import Any

import numpy as np

from roseweir.clock import MONOTONIC_ORIGIN, seconds
from roseweir.cloud.controller import OVERFLOW_DURATION
from roseweir.cloud.offers import OFFER_RETRY_INTERVAL, MachineOffer, MachineRequest
from roseweir.cloud.scale_in import plan_scale_in
from roseweir.cloud.scale_out import plan_scale_out
from roseweir.forecast.demand_history import Pool
from roseweir.forecast.scaling_planner import ScalingPlanner
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.forecast.tools.recorded_load import Arrival
from roseweir.forecast.tools.simulated_provider import SimulatedProvider
from roseweir.limits.rules import renew_class_limits, renew_fetch_limits
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import MAX_RATIO_SAMPLES, HeartbeatReconciler
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass
from roseweir.scheduler.task_exits import complete_placement
from roseweir.submissions.jobs import GANG, SERVICE, completed_job
from roseweir.workers import messages as wire

# Scale-out and scale-in are decided at the first interval while tasks wait or machines boot, else at the second.
BUSY_DECISION_INTERVAL_S, IDLE_DECISION_INTERVAL_S = 1.0, 10.0
LIMIT_RENEWAL_INTERVAL_S = 1.0
# Boot times as multiples of the catalog's figure: within the range, and a few of them longer by the slow factor.
BOOT_FACTOR_RANGE, SLOW_BOOT_FACTOR, SLOW_BOOT_PROBABILITY = (0.6, 1.5), 3.0, 0.03
# Image fetch times as multiples of those at the catalog's rate: rates up to a third higher or lower.
FETCH_FACTOR_RANGE = (0.75, 1.5)
RUN_TIME_SPREAD = 0.25
MIN_CHARGED_S = 60.0


@dataclass
class TaskStart:
    """A task's first start."""

    job_class: str
    submitted_at: float
    wait_s: float


@dataclass
class ReplayOutcome:
    starts: list[TaskStart] = field(default_factory=list)
    idle_machine_hours: float = 0.0
    machine_hours: float = 0.0
    prewarmed_machine_hours: float = 0.0  # part of machine_hours: kept idle for expected demand
    cost: float = 0.0
    unfinished_jobs: int = 0
    refusals: int = 0
    # a row for each slot: (seconds since 1970, units offered, units available, units needed by the forecast)
    timeline: list[tuple[float, float, float, float]] = field(default_factory=list)
    # machine-hours kept idle for expected demand, by local day
    prewarmed_hours_by_day: dict[str, float] = field(default_factory=dict)
    longest_wait: float = 0.0


class Replay:
    def __init__(
        self,
        provider: SimulatedProvider,
        operator_config: OperatorConfig,
        scaling_settings: PredictiveScalingSettings,
        arrivals: list[Arrival],
        measured_from: float,
        seed: int,
        is_predictive: bool,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        self.provider = provider
        self.settings = scaling_settings
        self.arrivals = arrivals
        self.measured_from = measured_from
        self.ends_at = arrivals[-1].arrived_at
        self.seed = seed
        self.is_predictive = is_predictive
        self.progress = progress
        self.operator_config = operator_config
        self.cluster_state = ClusterState(provider.settings, operator_config, 1, self._monotonic_at(self.measured_from))
        self.cluster_state.catalog = dict(provider.catalog)
        self.planner = ScalingPlanner(scaling_settings, self.cluster_state)
        self.outcome = ReplayOutcome()
        self.refused_until: dict[MachineOffer, datetime] = {}
        self.last_pass = SchedulingPassResult()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_count = 0
        self._rented_at: dict[str, float] = {}
        self._up_since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        self._image_ready_at: dict[tuple[str, str], float] = {}
        self._started_indices: dict[str, set[int]] = {}
        self._run_time_factors: OrderedDict[str, Any] = OrderedDict()
        self._remaining_s: dict[tuple[str, int], float] = {}
        self._stopping: set[tuple[str, int, int]] = set()
        self._arrival_index: dict[str, int] = {}
        self._machine_count = 0
        self._limits_renewed_at = -math.inf
        self._recorded_slot = -1
        self._prewarmed_counted_at = -math.inf

    def _monotonic_at(self, at: float) -> datetime:
        # Instants of the cluster state's clock must lie well after its NEVER.
        return MONOTONIC_ORIGIN + seconds(at - self.measured_from)

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        self._event_count += 1
        heappush(self._events, (at, self._event_count, action))

    # -- main loop ----------------------------------------------------------------------------

    def run(self) -> ReplayOutcome:
        history = self.planner.history
        index = 0
        while index < len(self.arrivals) and self.arrivals[index].arrived_at < self.measured_from:
            arrival = self.arrivals[index]
            run = JobRun(arrival.spec, 0, bytearray())
            history.record_accepted_job(self.planner.demand_of(run, arrival.arrived_at))
            index += 1
        history.advance_to(self.measured_from)
        first_arrival_at = self.arrivals[0].arrived_at
        for slot in range(history.slot_of(first_arrival_at), history.slot_of(self.measured_from)):
            if history.has_slot(slot):
                history.watched_s[slot % history.slot_count] = history.slot_s
        at = next_decision_at = self.measured_from
        watched_until = self.measured_from
        # Continues after the last arrival, so that the last jobs can end.
        latest_end = self.ends_at + 6 * 3600
        while True:
            next_at = min(self._events[0][0] if self._events else math.inf, next_decision_at)
            if index < len(self.arrivals):
                next_at = min(next_at, self.arrivals[index].arrived_at)
            elif not self.cluster_state.jobs and at > self.ends_at:
                break
            if next_at > latest_end:
                break
            at = next_at
            history.advance_to(at)
            history.mark_watched(watched_until, at)
            watched_until = at
            while self._events and self._events[0][0] <= at:
                heappop(self._events)[2](at)
            while index < len(self.arrivals) and self.arrivals[index].arrived_at <= at:
                self._accept_arrival(index, at)
                index += 1
            if self.cluster_state.needs_scheduling or at >= next_decision_at:
                self._run_scheduling_pass(at)
            if at >= next_decision_at:
                self._scale(at)
                is_busy = self.last_pass.unplaced or any(m.is_booting for m in self.cluster_state.machines.values())
                next_decision_at = at + (BUSY_DECISION_INTERVAL_S if is_busy else IDLE_DECISION_INTERVAL_S)
            self._record_timeline(at)
        self._finish_replay(at)
        return self.outcome

    def _accept_arrival(self, index: int, at: float) -> None:
        spec = self.arrivals[index].spec
        run = self.cluster_state.add_job(spec, index)
        self._arrival_index[spec.id] = index
        self.planner.history.record_accepted_job(self.planner.demand_of(run, at))

    def _run_scheduling_pass(self, at: float) -> None:
        now, cluster_state = self._monotonic_at(at), self.cluster_state
        for machine in cluster_state.machines.values():
            if not machine.is_booting:
                machine.last_heartbeat_at = now
        if at - self._limits_renewed_at >= LIMIT_RENEWAL_INTERVAL_S:
            self._limits_renewed_at = at
            running_machines = [
                (m.zone, m.machine_type)
                for m in cluster_state.machines.values()
                if m.has_acknowledged_term and not m.is_marked_for_release
            ]
            renew_fetch_limits(cluster_state.limits, running_machines, cluster_state.operator_config, now)
            renew_class_limits(cluster_state.limits, cluster_state.operator_config, now)
            cluster_state.limits.remove_expired(now)
        cluster_state.needs_scheduling = False
        has_pending_tasks = any(run.pending_count > 0 for run in cluster_state.jobs.values())
        self.last_pass = run_scheduling_pass(cluster_state, now) if has_pending_tasks else SchedulingPassResult()
        for placement in cluster_state.planned_placements:
            if placement.run.placements.get(placement.index) is placement and placement.phase == PlacementPhase.PLANNED:
                placement.phase = PlacementPhase.CONFIRMED
                self._start_task(placement, at)
        cluster_state.planned_placements.clear()
        cluster_state.urgent_stop_machines.clear()
        cluster_state.dirty_machines.clear()
        cluster_state.dirty_jobs.clear()
        for run in list(cluster_state.jobs.values()):
            for placement in list(run.placements.values()):
                if placement.stop_requested_at is not None:
                    self._stop_task(placement, at)

    # -- machines -----------------------------------------------------------------------------

    def _scale(self, at: float) -> None:
        now, cluster_state = self._monotonic_at(at), self.cluster_state
        machine_requests, exhausted = plan_scale_out(
            cluster_state, self.last_pass, self.refused_until, round(at * 1000), now
        )
        if exhausted:
            cluster_state.overflow_until = now + OVERFLOW_DURATION
        kept_machines: dict[str, str] = {}
        if self.is_predictive:
            capacity_plan = self.planner.plan(machine_requests, self.refused_until, at, now)
            machine_requests += capacity_plan.machine_requests
            kept_machines = capacity_plan.kept_machines
            self._count_prewarmed(kept_machines, at)
        for machine_request in machine_requests:
            self._scale_out(machine_request, at)
        for machine, _ in plan_scale_in(cluster_state, self.last_pass, now, kept_machines):
            machine.is_marked_for_release = True
            if not machine.placements:
                self._release_machine(machine, at)

    def _count_prewarmed(self, kept_machines: dict[str, str], at: float) -> None:
        if self._prewarmed_counted_at > -math.inf:
            hours = (at - self._prewarmed_counted_at) / 3600 * len(kept_machines)
            self.outcome.prewarmed_machine_hours += hours
            day = self.planner.forecaster.local_time(self.planner.history.slot_of(at)).date().isoformat()
            self.outcome.prewarmed_hours_by_day[day] = self.outcome.prewarmed_hours_by_day.get(day, 0.0) + hours
        self._prewarmed_counted_at = at

    def _scale_out(self, machine_request: MachineRequest, at: float) -> None:
        offer = machine_request.offer
        cluster_state, now = self.cluster_state, self._monotonic_at(at)
        machine_type = cluster_state.catalog[machine_request.type_name]
        rented_count = sum((m.machine_type.name, m.zone, m.is_spot) == offer for m in cluster_state.machines.values())
        count = min(machine_request.count, self.provider.machines_per_offer - rented_count)
        if count < machine_request.count:
            self.refused_until[offer] = now + OFFER_RETRY_INTERVAL
            self.outcome.refusals += 1
        if count > 0:
            cluster_state.obtained_instance_pools.add(offer)
        for _ in range(count):
            self._machine_count += 1
            name = f"i-{self._machine_count:06d}"
            machine = Machine(
                name,
                machine_type,
                machine_request.zone,
                machine_request.is_spot,
                added_at=now,
                scaled_out_at=now,
                is_autoscaled=True,
            )
            machine.is_booting = True
            cluster_state.machines[name] = machine
            self._rented_at[name] = at
            rng = np.random.default_rng([self.seed, 1, self._machine_count])
            factor = rng.uniform(*BOOT_FACTOR_RANGE) * (
                SLOW_BOOT_FACTOR if rng.random() < SLOW_BOOT_PROBABILITY else 1.0
            )
            self._schedule(at + machine_type.boot_s * float(factor), partial(self._boot_completed, machine))

    def _boot_completed(self, machine: Machine, at: float) -> None:
        if machine.name not in self.cluster_state.machines:
            return
        heartbeat = wire.Heartbeat(
            machine.name,
            "10.0.0.1:1",
            machine.machine_type.name,
            machine.zone,
            machine.is_spot,
            1,
            1,
            self.cluster_state.term,
            [],
        )
        HeartbeatReconciler(self.cluster_state).apply_heartbeat(heartbeat, self._monotonic_at(at))
        self._up_since[machine.name] = self._idle_since[machine.name] = at
        self.cluster_state.needs_scheduling = True

    def _release_machine(self, machine: Machine, at: float) -> None:
        name = machine.name
        self.cluster_state.remove_machine(name, self._monotonic_at(at), "released")
        del self.cluster_state.released_machines[name]
        self._charge(machine, self._rented_at.pop(name), at)
        self._up_since.pop(name, None)
        if name in self._idle_since:
            self._count_idle(name, at)

    def _charge(self, machine: Machine, rented_at: float, at: float) -> None:
        hours = max(MIN_CHARGED_S, at - rented_at) / 3600
        self.outcome.machine_hours += hours
        self.outcome.cost += hours * (
            machine.machine_type.spot_price if machine.is_spot else machine.machine_type.price
        )

    def _count_idle(self, name: str, at: float) -> None:
        self.outcome.idle_machine_hours += (at - self._idle_since.pop(name)) / 3600

    def _finish_replay(self, at: float) -> None:
        for machine in list(self.cluster_state.machines.values()):
            self._release_machine(machine, at)
        self.outcome.unfinished_jobs = sum(run.spec.job_type != SERVICE for run in self.cluster_state.jobs.values())

    # -- tasks --------------------------------------------------------------------------------

    def _start_task(self, placement: Placement, at: float) -> None:
        machine, spec = placement.machine, placement.run.spec
        if machine.name in self._idle_since:
            self._count_idle(machine.name, at)
        key = (machine.name, spec.image)
        if spec.image and not (spec.image in machine.image_cache and key in self._image_ready_at):
            rng = np.random.default_rng([self.seed, 3, int(machine.name[2:]), len(machine.image_cache)])
            factor = float(rng.uniform(*FETCH_FACTOR_RANGE))
            fetch_s = spec.image_gb / machine.machine_type.fetch_gb_per_s * factor
            fetch_ratios = self.cluster_state.image_fetch_ratios.setdefault(
                machine.machine_type.name, deque(maxlen=MAX_RATIO_SAMPLES)
            )
            fetch_ratios.append((self._monotonic_at(at + fetch_s), factor))
            self._image_ready_at[key] = max(self._image_ready_at.get(key, 0.0), at + fetch_s)
            machine.record_image_use(spec.image, spec.image_gb)
        starts_at = max(at, self._image_ready_at.get(key, at))
        if spec.job_type == GANG:
            members = placement.run.placements.values()
            starts_at = max(starts_at, *(self._image_ready_at.get((m.machine.name, spec.image), at) for m in members))
        placement.state = wire.RUNNING
        placement.running_since = self._monotonic_at(starts_at)
        started_indices = self._started_indices.setdefault(spec.id, set())
        if placement.index not in started_indices:
            started_indices.add(placement.index)
            submitted_at = spec.accepted_ms / 1000
            self.outcome.starts.append(TaskStart(spec.job_class, submitted_at, starts_at - submitted_at))
        remaining_s = self._remaining_s.get((spec.id, placement.index))
        ends_at = starts_at + (self._run_time(placement) if remaining_s is None else remaining_s)
        if spec.job_type != SERVICE:
            self._schedule(ends_at, lambda ended_at: self._complete_task(placement, ended_at))

    def _run_time(self, placement: Placement) -> float:
        spec = placement.run.spec
        factors = self._run_time_factors.get(spec.id)
        if factors is None:
            rng = np.random.default_rng([self.seed, 2, self._arrival_index[spec.id]])
            # One run time is drawn for a gang, that of its slowest task.
            size = 1 if spec.job_type == GANG else spec.task_count
            factors = self._run_time_factors[spec.id] = rng.lognormal(0.0, RUN_TIME_SPREAD, size)
            if len(self._run_time_factors) > 2000:
                self._run_time_factors.popitem(last=False)
        return max(1.0, spec.estimated_duration_s * float(factors[0 if spec.job_type == GANG else placement.index]))

    def _complete_task(self, placement: Placement, at: float) -> None:
        run, machine = placement.run, placement.machine
        if run.placements.get(placement.index) is not placement or placement.stop_requested_at is not None:
            return
        now = self._monotonic_at(at)
        complete_placement(self.cluster_state, placement, now)
        run.failure_count = 0
        self._mark_idle_if_empty(machine, at)
        run.uncommitted_completions.clear()
        if run.spec.job_type == GANG:
            for member in list(run.placements.values()):
                self.cluster_state.remove_placement(member, now)
                self._mark_idle_if_empty(member.machine, at)
        if run.is_complete and not run.final_state:
            self.cluster_state.end_job(run.spec.id, completed_job(run.spec, "done"), now)
            self._started_indices.pop(run.spec.id, None)
            self.planner.history.record_ended_job(run.spec.id, at)

    def _mark_idle_if_empty(self, machine: Machine, at: float) -> None:
        if not machine.placements and machine.name in self._up_since and machine.name not in self._idle_since:
            self._idle_since[machine.name] = at

    def _stop_task(self, placement: Placement, at: float) -> None:
        """Stop a preempted task after its checkpoint, if it has checkpoints."""
        spec = placement.run.spec
        key = (spec.id, placement.index, placement.attempt)
        if key in self._stopping:
            return
        self._stopping.add(key)
        if spec.checkpoint_interval_s > 0 and placement.running_since is not None:
            ran_s = (self._monotonic_at(at) - placement.running_since).total_seconds()
            remaining_before_s = self._remaining_s.get((spec.id, placement.index)) or self._run_time(placement)
            self._remaining_s[spec.id, placement.index] = max(1.0, remaining_before_s - max(0.0, ran_s))
        self._schedule(
            at + (spec.checkpoint_duration_s if spec.checkpoint_interval_s > 0 else 0.0),
            lambda ended_at: self._remove_stopped_task(placement, ended_at),
        )

    def _remove_stopped_task(self, placement: Placement, at: float) -> None:
        self._stopping.discard((placement.run.spec.id, placement.index, placement.attempt))
        if placement.run.placements.get(placement.index) is placement:
            self.cluster_state.remove_placement(placement, self._monotonic_at(at))
            self._mark_idle_if_empty(placement.machine, at)

    # -- timeline -----------------------------------------------------------------------------

    def _record_timeline(self, at: float) -> None:
        slot = self.planner.history.slot_of(at)
        if slot == self._recorded_slot:
            return
        self._recorded_slot = slot
        history = self.planner.history
        offered_units = sum(peak for key, _, peak, _ in history.loads(slot - 1) if not key.pool.gpus)
        available_units = sum(
            m.machine_type.cpus for m in self.cluster_state.machines.values() if m.machine_type.gpus <= 0
        )
        needed_units = (
            sum(need.units for need in self.planner.needs if not need.pool.gpus) if self.is_predictive else 0.0
        )
        self.outcome.timeline.append(((slot - 1) * float(history.slot_s), offered_units, available_units, needed_units))
        if self.ends_at > self.measured_from:
            self.progress(min(1.0, (at - self.measured_from) / (self.ends_at - self.measured_from)))


def actual_peaks(replay: Replay) -> dict[int, dict[Pool, float]]:
    """The actual demand of each pool in each measured slot, as a perfect forecast would give it."""
    planner = ScalingPlanner(replay.settings, replay.cluster_state)
    demand_by_slot: dict[int, dict[Pool, float]] = {}
    for arrival in replay.arrivals:
        run = JobRun(arrival.spec, 0, bytearray())
        planner.history.record_accepted_job(planner.demand_of(run, arrival.arrived_at))
    planner.history.advance_to(replay.ends_at)
    for slot in range(planner.history.slot_of(replay.measured_from), planner.history.slot_of(replay.ends_at) + 1):
        if planner.history.has_slot(slot):
            demand_by_slot[slot] = planner.forecaster.past_demand(slot)
    return demand_by_slot
