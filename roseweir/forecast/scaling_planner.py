"""Demand history, forecast and capacity plan combined, for a leader and for a replay. No I/O."""

import math
from collections.abc import Callable
from datetime import datetime

from roseweir.clock import ZERO
from roseweir.cloud.capacity import units_per_task
from roseweir.cloud.offers import MachineOffer, MachineRequest
from roseweir.cloud.scale_out import time_budget
from roseweir.forecast.capacity_plan import CapacityPlan, lead_time_s, plan_capacity, representative_job
from roseweir.forecast.demand_history import Demand, DemandHistory, Pool, SeriesKey, TaskShape
from roseweir.forecast.forecaster import CapacityNeed, DemandForecaster, find_best_effort_teams
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.quota import max_concurrent_tasks
from roseweir.submissions.jobs import SERVICE, JobSpec

# Needs change with the slots, which are much longer than this; computing them more often only costs CPU time.
FORECAST_INTERVAL_S = 10.0
# Each recent refusal by the cloud lengthens the lead time of requests by this much, up to the maximum.
EXTRA_LEAD_PER_REFUSAL_S, REFUSAL_MEMORY_S, MAX_EXTRA_LEAD_S = 12.0, 600.0, 120.0

NeedSource = Callable[[float, dict[Pool, float]], list[CapacityNeed]]


class ScalingPlanner:
    def __init__(self, settings: PredictiveScalingSettings, cluster_state: ClusterState) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        best_effort_teams = find_best_effort_teams(cluster_state.teams.values())
        self.history = DemandHistory(settings.slot_s, settings.weeks, settings.series_most, best_effort_teams)
        self.forecaster = DemandForecaster(settings, cluster_state.teams, self.history, best_effort_teams)
        # What computes the needs: the forecaster, or another policy that a replay compares with it.
        self.need_source: NeedSource = self.forecaster.needs
        self.needs: list[CapacityNeed] = []
        self.capacity_plan = CapacityPlan()
        self._forecast_at = -math.inf
        self._refusal_times: list[float] = []

    def demand_of(self, run: JobRun, now: float) -> Demand:
        """The units that a job uses concurrently, and for how long.

        These are all units that its team's limit allows, or fewer if fewer are enough to meet the job's deadline.
        """
        spec, cluster_state = run.spec, self.cluster_state
        max_tasks = (
            spec.task_count
            if spec.is_admitted_as_unit
            else min(spec.task_count, max(1, max_concurrent_tasks(cluster_state, spec)))
        )
        estimate_s = max(1.0, cluster_state.estimate_runtime(spec).total_seconds())
        unit_seconds = spec.task_count * units_per_task(spec) * estimate_s
        concurrent_units = max_tasks * units_per_task(spec)
        if spec.deadline_s is not None and not spec.is_admitted_as_unit:
            remaining_s = max(estimate_s, time_budget(cluster_state, run, ZERO).total_seconds())
            concurrent_units = min(concurrent_units, max(units_per_task(spec), unit_seconds / remaining_s))
        duration_s = (
            math.inf
            if spec.job_type == SERVICE
            else unit_seconds / concurrent_units
            if concurrent_units > 0
            else estimate_s
        )
        key = SeriesKey(self._pool(spec), spec.job_class, spec.team)
        shape = TaskShape(spec.cpus, spec.gpus, spec.memory_gb, spec.image_gb)
        # The clock of the node that accepted the job may be ahead of this one; the instant must not lie in the future.
        accepted_at = min(spec.accepted_ms / 1000, now)
        return Demand(spec.id, key, shape, accepted_at, duration_s, concurrent_units, unit_seconds, spec.task_count)

    def _pool(self, spec: JobSpec) -> Pool:
        fitting_types = [
            machine_type.name
            for machine_type in self.cluster_state.catalog.values()
            if spec.fits_machine_type(machine_type)
        ]
        candidate_types = [
            machine_type.name
            for machine_type in self.cluster_state.catalog.values()
            if (machine_type.gpus > 0) == (spec.gpus > 0)
        ]
        allowed_types = None if set(fitting_types) >= set(candidate_types) else tuple(sorted(fitting_types))
        return Pool(spec.gpus > 0, allowed_types, spec.zone, spec.allows_spot)

    def lead_times_s(self, now: float) -> dict[Pool, float]:
        """By pool, how many seconds in advance a machine has to be requested."""
        self._refusal_times = [refused_at for refused_at in self._refusal_times if now - refused_at < REFUSAL_MEMORY_S]
        refusal_lead_s = min(MAX_EXTRA_LEAD_S, EXTRA_LEAD_PER_REFUSAL_S * len(self._refusal_times))
        lead_times_s: dict[Pool, float] = {}
        for pool, shape in self.forecaster.task_shapes().items():
            spec = representative_job(CapacityNeed(pool, shape, 0.0, now, ""))
            lead_times_s[pool] = (
                lead_time_s(
                    spec,
                    shape.image_gb,
                    self.cluster_state.catalog,
                    self.history.boot_ratios,
                    self.history.fetch_ratios,
                )
                + refusal_lead_s
            )
        return lead_times_s

    def plan(
        self,
        machine_requests: list[MachineRequest],
        refused_until: dict[MachineOffer, datetime],
        wall_s: float,
        now: datetime,
    ) -> CapacityPlan:
        """Plan capacity in addition to the reactive requests. `wall_s`: seconds since 1970; `now`: monotonic clock."""
        self.history.advance_to(wall_s)
        self.history.record_startup_ratios(self.cluster_state.boot_ratios, self.cluster_state.image_fetch_ratios)
        if wall_s - self._forecast_at >= FORECAST_INTERVAL_S or wall_s < self._forecast_at:
            self._forecast_at = wall_s
            self.needs = self.need_source(wall_s, self.lead_times_s(wall_s))
        self.capacity_plan = plan_capacity(
            self.cluster_state, self.needs, machine_requests, refused_until, self.settings, now
        )
        is_short = any(hold.missing_units > 0 for hold in self.capacity_plan.holds) and any(
            until > now for until in refused_until.values()
        )
        if is_short and (not self._refusal_times or wall_s - self._refusal_times[-1] >= EXTRA_LEAD_PER_REFUSAL_S):
            self._refusal_times.append(wall_s)
        return self.capacity_plan
