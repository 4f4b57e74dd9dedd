"""The leader's moves of replicas: planned and evicted together with drains, within the same disruption budget.

Plans are stored (`drain/moves`) in the same transaction as the disruption account's entries for the replicas to evict,
before any of these is stopped. A new leader restores the plans with the drains, reserves the machines that they name,
and continues those that still apply or discards them: a move is over once its replica has left its machine, whatever
stopped it. So no replica is moved twice, and no machine is reserved for longer than `PLAN_LIFETIME`.
"""

import logging
from datetime import datetime, timedelta
from typing import Any

from roseweir.clock import NEVER
from roseweir.cloud.offers import MachineOffer
from roseweir.drain.eviction_state_machine import Decision, EvictionStateMachine, has_room_elsewhere
from roseweir.rebalancing.fragmentation import FragmentationReport, format_report, measure_fragmentation
from roseweir.rebalancing.fragmentation_scoring import FragmentationScorer
from roseweir.rebalancing.move_planning import (
    PLAN_LIFETIME,
    Move,
    MovePlan,
    PlanningContext,
    cheaper_to_rent,
    is_blocked_by_fragmentation,
    plan_cpu_only_moves,
    plan_gang_move,
    plan_replica_moves,
)
from roseweir.rebalancing.settings import RebalancingSettings
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.machine_eligibility import schedulable_machines
from roseweir.scheduler.model import JobRun, Machine, Placement
from roseweir.scheduler.quota import tasks_within_team_limit
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.scheduler.starvation import waiting_time
from roseweir.submissions.jobs import JobSpec

log = logging.getLogger(__name__)

# Maximum number of concurrent plans, and of moved replicas that are remembered.
MAX_PLANS, MAX_MOVED_REPLICAS = 2, 40
# Jobs that are evaluated in one step: each evaluation searches all machines.
MAX_EVALUATED_JOBS = 3
LOG_INTERVAL = timedelta(seconds=60)


class RebalancingController:
    def __init__(self, settings: RebalancingSettings, cluster_state: ClusterState, scorer: FragmentationScorer) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        self.scorer = scorer
        self.plans: list[MovePlan] = []
        self.moved_at_ms: dict[str, int] = {}  # time of the last move by replica, wall clock
        self.move_count = 0  # in this leader's term
        self.wait_reason = ""
        self.fragmentation_reports: list[FragmentationReport] = []
        self._logged_at = NEVER

    # -- stored state -------------------------------------------------------------------------

    def restore(self, stored: Any) -> None:
        """Restore the plans of earlier leaders. Raises KeyError, TypeError or ValueError if they cannot be decoded."""
        self.plans = [MovePlan.decode(plan) for plan in stored.get("plans", ())]
        self.moved_at_ms = {str(name): int(at) for name, at in stored.get("moved", {}).items()}
        self._update_reservations()

    def is_needed(self) -> bool:
        return self.settings.move == "on" or self.cluster_state.has_gpu_services or bool(self.plans)

    def encode(self) -> dict[str, Any]:
        return {"plans": [plan.encode() for plan in self.plans], "moved": self.moved_at_ms}

    # -- a step -------------------------------------------------------------------------------

    def propose_evictions(
        self,
        decision: Decision,
        state_machine: EvictionStateMachine,
        last_pass: SchedulingPassResult,
        refused_until: dict[MachineOffer, datetime],
        now: datetime,
        wall_ms: int,
    ) -> dict[str, Any]:
        """Add evictions to the decision, within the disruption budget; return the state to store with the decision."""
        cluster_state = self.cluster_state
        machines = schedulable_machines(cluster_state, now)
        if cluster_state.active_placement_policy is None:
            self.scorer.begin_pass(cluster_state.jobs.values(), machines, now)
        self._measure_fragmentation(machines, last_pass, now)
        self._discard_finished_plans(now, wall_ms)
        cooldown_ms = round(self.settings.again.total_seconds() * 1000)
        self.moved_at_ms = {name: at for name, at in self.moved_at_ms.items() if wall_ms - at < cooldown_ms}
        if state_machine.is_settled(now):
            self._add_plans(state_machine, machines, last_pass, refused_until, now, wall_ms)
            self._evict_replicas(decision, state_machine, machines, now, wall_ms)
        self._update_reservations()
        while len(self.moved_at_ms) > MAX_MOVED_REPLICAS:
            del self.moved_at_ms[min(self.moved_at_ms, key=lambda name: self.moved_at_ms[name])]
        return self.encode()

    def _measure_fragmentation(self, machines: list[Machine], last_pass: SchedulingPassResult, now: datetime) -> None:
        waiting_jobs = [(run.spec, tasks) for run, tasks in last_pass.unplaced]
        self.fragmentation_reports = measure_fragmentation(
            machines, waiting_jobs, self.scorer.requested_sizes.demand_by_size
        )
        if now - self._logged_at >= LOG_INTERVAL and any(report.waiting_tasks for report in self.fragmentation_reports):
            self._logged_at = now
            for report in self.fragmentation_reports:
                log.info("fragmentation: %s", format_report(report))

    def _discard_finished_plans(self, now: datetime, wall_ms: int) -> None:
        cluster_state = self.cluster_state
        for plan in list(self.plans):
            run = cluster_state.jobs.get(plan.for_job_id)
            machine = cluster_state.machines.get(plan.machine)
            outcome = ""
            if wall_ms >= plan.expires_at_ms:
                outcome = "expired"
            elif plan.for_job_id and (run is None or run.final_state or not run.pending_count):
                outcome = "done" if run is not None and run.placements else "job no longer waiting"
            elif (
                machine is None
                or machine.is_marked_for_release
                or machine.spot_reclaim_at is not None
                or machine.is_suspected
            ):
                outcome = "machine leaving"
            elif not plan.for_job_id and not any(self._placement_to_move(plan, move) for move in plan.moves):
                outcome = "done"
            if outcome:
                log.info(
                    "move plan ended: job=%s machine=%s outcome=%s", plan.for_job_id or "none", plan.machine, outcome
                )
                self.plans.remove(plan)

    def _placement_to_move(self, plan: MovePlan, move: Move) -> Placement | None:
        """The placement that the move evicts; None if it is not on the plan's machine any more."""
        run = self.cluster_state.jobs.get(move.job_id)
        if run is None or run.final_state:
            return None
        if move.index < 0:
            return next((p for p in run.placements.values() if p.machine.name == plan.machine), None)
        placement = run.placements.get(move.index)
        return placement if placement is not None and placement.machine.name == plan.machine else None

    def _add_plans(
        self,
        state_machine: EvictionStateMachine,
        machines: list[Machine],
        last_pass: SchedulingPassResult,
        refused_until: dict[MachineOffer, datetime],
        now: datetime,
        wall_ms: int,
    ) -> None:
        cluster_state = self.cluster_state
        if len(self.plans) >= MAX_PLANS:
            return
        waiting = [
            run for run, _ in last_pass.unplaced if run.spec.gpus > 0 and run.pending_count > 0 and not run.final_state
        ]
        waiting = [
            run
            for run in waiting
            if tasks_within_team_limit(cluster_state, run.spec, TeamUsage())
            >= (run.pending_count if run.spec.is_admitted_as_unit else 1)
        ]
        waiting.sort(
            key=lambda run: (run.priority, -waiting_time(run, cluster_state.wall_clock_epoch, now), run.spec.id)
        )
        context = self._planning_context(machines, now)
        expires_at_ms = wall_ms + round(PLAN_LIFETIME.total_seconds() * 1000)
        planned_job_ids = {plan.for_job_id for plan in self.plans}
        evaluated_count = 0
        for run in waiting:
            if evaluated_count >= MAX_EVALUATED_JOBS or len(self.plans) >= MAX_PLANS:
                break
            waiting_time_so_far = waiting_time(run, cluster_state.wall_clock_epoch, now)
            if (
                run.spec.id in planned_job_ids
                or waiting_time_so_far < self.settings.after
                or not is_blocked_by_fragmentation(run, machines)
            ):
                continue
            evaluated_count += 1
            plan = plan_replica_moves(context, run, expires_at_ms)
            if plan is None:
                plan = plan_gang_move(
                    context,
                    run,
                    expires_at_ms,
                    lambda p: has_room_elsewhere(p.run, p, machines, cluster_state.drain_by_machine),
                )
            if plan is None:
                continue
            machine_type = cluster_state.machines[plan.machine].machine_type
            if cheaper_to_rent(
                plan.cost,
                machine_type,
                not self._is_sold_out(run, machine_type.name, refused_until, now),
                waiting_time_so_far,
            ):
                self.wait_reason = f"{run.spec.id}: a machine is cheaper rented than made clear"
                continue
            self._accept_plan(plan, context)
        if waiting and len(self.plans) < MAX_PLANS and not any(not plan.for_job_id for plan in self.plans):
            plan = plan_cpu_only_moves(
                self._planning_context(machines, now), expires_at_ms, self.settings.max_concurrent_moves * 2
            )
            if plan is not None:
                self._accept_plan(plan, context)

    def _accept_plan(self, plan: MovePlan, context: PlanningContext) -> None:
        self.plans.append(plan)
        moves = ", ".join(f"{move.name} to {move.target_machine or 'elsewhere'}" for move in plan.moves)
        log.info("move plan accepted: job=%s machine=%s moves=%s", plan.for_job_id or "none", plan.machine, moves)
        for move in plan.moves:
            run = self.cluster_state.jobs.get(move.job_id)
            if run is not None and move.target_machine:
                context.planned_tasks.setdefault(move.target_machine, []).append(run.spec)
                context.reservations.setdefault(move.target_machine, set()).add(move.job_id)
        if plan.for_job_id:
            context.reservations[plan.machine] = {plan.for_job_id}

    def _is_sold_out(
        self, run: JobRun, machine_type: str, refused_until: dict[MachineOffer, datetime], now: datetime
    ) -> bool:
        catalog_entry = self.cluster_state.catalog.get(machine_type)
        if catalog_entry is None:
            return True
        offers = [
            MachineOffer(machine_type, zone, spot)
            for zone in catalog_entry.zones
            for spot in ((True, False) if run.spec.allows_spot else (False,))
        ]
        return all(refused_until.get(offer, now) > now for offer in offers)

    def _planning_context(self, machines: list[Machine], now: datetime) -> PlanningContext:
        planned_tasks: dict[str, list[JobSpec]] = {}
        for plan in self.plans:
            for move in plan.moves:
                run = self.cluster_state.jobs.get(move.job_id)
                if run is not None and move.target_machine and self._placement_to_move(plan, move) is not None:
                    planned_tasks.setdefault(move.target_machine, []).append(run.spec)
        moving_names = {move.name for plan in self.plans for move in plan.moves}
        moving_job_ids = {move.job_id for plan in self.plans for move in plan.moves}

        def is_pinned(job_id: str, index: int) -> bool:
            name = f"{job_id}/{index}"
            return name in self.moved_at_ms or name in moving_names or job_id in moving_job_ids

        reservations = {name: set(jobs) for name, jobs in self.cluster_state.reserved_machines.items()}
        return PlanningContext(
            self.cluster_state, machines, now, is_pinned, reservations, self.scorer.fragmentation_cost, planned_tasks
        )

    def _evict_replicas(
        self,
        decision: Decision,
        state_machine: EvictionStateMachine,
        machines: list[Machine],
        now: datetime,
        wall_ms: int,
    ) -> None:
        """Evict the replicas whose target machine has room now, as far as the disruption budget allows."""
        in_flight = sum(
            placement.stop_requested_at is not None
            for plan in self.plans
            for move in plan.moves
            if (placement := self._placement_to_move(plan, move)) is not None
        )
        self.wait_reason = self.wait_reason if not self.plans else ""
        machine_by_name = {m.name: m for m in machines}
        for plan in self.plans:
            for move in plan.moves:
                placement = self._placement_to_move(plan, move)
                if (
                    placement is None
                    or placement.stop_requested_at is not None
                    or in_flight >= self.settings.max_concurrent_moves
                ):
                    continue
                target = machine_by_name.get(move.target_machine)
                if move.index >= 0 and (target is None or target.count_fitting_tasks(placement.run.spec, 0.0) < 1):
                    self.wait_reason = f"{move.name}: room on {move.target_machine}"
                    continue
                if not self.cluster_state.is_heartbeat_current(placement.machine, now):
                    continue
                refusal = state_machine.add_eviction(decision, placement, DowntimeCause.DRAIN, now, is_urgent=True)
                if refusal:
                    self.wait_reason = refusal
                    continue
                in_flight += 1
                self.move_count += 1
                self.moved_at_ms[move.name] = wall_ms

    def _update_reservations(self) -> None:
        reservations: dict[str, set[str]] = {}
        for plan in self.plans:
            if plan.for_job_id:
                reservations[plan.machine] = {plan.for_job_id}
            for move in plan.moves:
                run = self.cluster_state.jobs.get(move.job_id)
                is_incomplete = run is not None and not run.final_state and len(run.placements) < run.spec.task_count
                if move.target_machine and (is_incomplete or self._placement_to_move(plan, move) is not None):
                    reservations.setdefault(move.target_machine, set()).add(move.job_id)
        if reservations != self.cluster_state.reserved_machines:
            self.cluster_state.reserved_machines = reservations
            self.cluster_state.needs_scheduling = True

    # -- status -------------------------------------------------------------------------------

    def summary(self) -> dict[str, Any]:
        """Return this part of `status`: fragmentation, planned moves, and what they wait for."""
        return {
            "pieces": [format_report(each) for each in self.fragmentation_reports],
            "moves": self.move_count,
            "moves_planned": [
                f"for {plan.for_job_id or 'processors of GPUs'} on {plan.machine}: "
                + ", ".join(f"{move.name} to {move.target_machine or 'elsewhere'}" for move in plan.moves)
                for plan in self.plans
            ],
            "moves_wait_for": self.wait_reason or None,
        }
