"""Predictive scaling on the leader: counts accepted demand, stores its history and plans capacity ahead of it."""

import logging
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, TypeVar

from roseweir import clock
from roseweir.clock import NEVER, monotonic_now, sleep
from roseweir.cloud.offers import MachineOffer, MachineRequest
from roseweir.forecast.capacity_plan import CapacityHold, CapacityPlan
from roseweir.forecast.history_store import DemandHistoryStore
from roseweir.forecast.scaling_planner import ScalingPlanner
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.errors import LeadershipLost
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun

log = logging.getLogger(__name__)

HISTORY_ADVANCE_INTERVAL = timedelta(seconds=1)
# The current hour's block is written this often, and twice after the hour has ended: at most 57 writes an hour. When
# the leader changes, what is lost of a slot's watched time leaves enough for the slot to be used.
SAVE_INTERVAL = timedelta(seconds=65)
LOG_INTERVAL = timedelta(seconds=60)
# If two watch updates are further apart than this, the time between them does not count as watched.
MAX_WATCH_GAP = timedelta(seconds=5)
# How far ahead `describe` lists expected demand.
DESCRIBED_HORIZON = timedelta(hours=2)


Result = TypeVar("Result")


class PredictiveScaler:
    def __init__(
        self,
        settings: PredictiveScalingSettings,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        step_down: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        self.planner = ScalingPlanner(settings, cluster_state)
        self.history = self.planner.history
        self.store = DemandHistoryStore(kv_store, self.history, leader_key_version)
        self._step_down = step_down
        self.is_loaded = False
        self.failure = ""  # the error that stopped predictive scaling for this term
        # Accepted jobs with their revisions, and ids of ended jobs, received before the history was loaded, in order.
        self._pending_changes: list[tuple[JobRun, int] | str] = []
        self._active_job_ids: set[str] = set()
        self._watched_revision = 0
        self._watched_until = NEVER
        # Watched time from before the history was loaded: (begin, end) in seconds of the wall clock.
        self._pending_watch_spans: list[tuple[float, float]] = []

    # -- changes of jobs ----------------------------------------------------------------------

    def _run_guarded(self, action: Callable[[], Result], default: Result) -> Result:
        """Run an action; an error in it stops predictive scaling for this term, but does not end the leader's term."""
        if self.failure:
            return default
        try:
            return action()
        except Exception as e:
            self._fail(e)
            return default

    def _fail(self, error: Exception) -> None:
        self.failure = f"{type(error).__name__}: {error}"
        log.exception("predictive scaling stopped for this term after an error")

    def record_accepted_job(self, run: JobRun, revision: int) -> None:
        """Count an accepted job. `revision`: the key-value store's revision of the write that accepted the job."""
        self._run_guarded(lambda: self._record_accepted_job(run, revision), None)

    def record_ended_job(self, job_id: str) -> None:
        self._run_guarded(lambda: self._record_ended_job(job_id), None)

    def record_watch_progress(self, revision: int, sent_at: datetime, includes_ends: bool = True) -> None:
        """Record that every job accepted up to this revision is known.

        `includes_ends`: so is every job that has ended since the last call.
        """
        self._run_guarded(lambda: self._record_watch_progress(revision, sent_at, includes_ends), None)

    def plan(
        self, machine_requests: list[MachineRequest], refused_until: dict[MachineOffer, datetime], now: datetime
    ) -> tuple[list[MachineRequest], dict[str, str]]:
        """For the cloud controller: machines to rent in addition, and idle machines to keep with their reasons."""
        empty_plan: tuple[list[MachineRequest], dict[str, str]] = ([], {})
        return self._run_guarded(lambda: self._plan(machine_requests, refused_until, now), empty_plan)

    def _record_accepted_job(self, run: JobRun, revision: int) -> None:
        if run.final_state or run.spec.id in self._active_job_ids:
            return
        self._active_job_ids.add(run.spec.id)
        if self.is_loaded:
            self._count(run, revision)
        else:
            self._pending_changes.append((run, revision))

    def _record_ended_job(self, job_id: str) -> None:
        if job_id not in self._active_job_ids:
            return
        self._active_job_ids.discard(job_id)
        if self.is_loaded:
            self.history.record_ended_job(job_id, _wall_s())
        else:
            self._pending_changes.append(job_id)

    def _record_watch_progress(self, revision: int, sent_at: datetime, includes_ends: bool) -> None:
        now, wall_s = monotonic_now(), _wall_s()
        if includes_ends and self._watched_until != NEVER and sent_at - self._watched_until <= MAX_WATCH_GAP:
            span = (wall_s - (now - self._watched_until).total_seconds(), wall_s - (now - sent_at).total_seconds())
            if self.is_loaded:
                self.history.advance_to(wall_s)
                self.history.mark_watched(*span)
            elif span[1] > span[0]:
                self._pending_watch_spans.append(span)
        self._watched_until = max(self._watched_until, sent_at)
        self._watched_revision = max(self._watched_revision, revision)

    def _count(self, run: JobRun, revision: int) -> None:
        self.history.record_accepted_job(
            self.planner.demand_of(run, _wall_s()), is_recount=revision <= self.history.counted_revision
        )

    # -- background task ----------------------------------------------------------------------

    async def run(self) -> None:
        try:
            await self._run()
        except Exception as e:
            self._fail(e)

    async def _run(self) -> None:
        await self.store.load(_wall_s())
        self._apply_pending_changes()
        saved_at = logged_at = monotonic_now()
        while not self.failure:
            await sleep(HISTORY_ADVANCE_INTERVAL)
            self.history.advance_to(_wall_s())
            now = monotonic_now()
            if now - saved_at >= SAVE_INTERVAL:
                saved_at = now
                self.history.counted_revision = max(self.history.counted_revision, self._watched_revision)
                try:
                    await self.store.save()
                except LeadershipLost as e:
                    self._step_down(str(e))
                    return
            if now - logged_at >= LOG_INTERVAL:
                logged_at = now
                self._log_holds()

    def _apply_pending_changes(self) -> None:
        wall_s = _wall_s()
        self.history.advance_to(wall_s)
        pending_changes, self._pending_changes = self._pending_changes, []
        for change in pending_changes:
            if isinstance(change, str):
                self.history.record_ended_job(change, wall_s)
            else:
                self._count(*change)
        for span in self._pending_watch_spans:
            self.history.mark_watched(*span)
        self._pending_watch_spans.clear()
        self.is_loaded = True
        days = self.planner.forecaster.watched_days(wall_s)
        log.info("demand history loaded: watched_days=%d series=%d", days, len(self.history.series))

    def _plan(
        self, machine_requests: list[MachineRequest], refused_until: dict[MachineOffer, datetime], now: datetime
    ) -> tuple[list[MachineRequest], dict[str, str]]:
        if not self.is_loaded:
            return [], {}
        capacity_plan = self.planner.plan(machine_requests, refused_until, _wall_s(), now)
        return capacity_plan.machine_requests, capacity_plan.kept_machines

    # -- for operators ------------------------------------------------------------------------

    def _log_holds(self) -> None:
        capacity_plan = self.planner.capacity_plan
        if not capacity_plan.holds:
            log.info(
                "no capacity held ahead of demand: %s",
                self.planner.forecaster.no_forecast_reason() or "no demand is expected",
            )
        for hold in capacity_plan.holds:
            log.info("capacity held ahead of demand: %s", _format_hold(hold))

    def summary(self) -> dict[str, Any]:
        """For `status`: how many idle machines are kept for expected demand, and why."""
        capacity_plan = CapacityPlan() if self.failure else self.planner.capacity_plan
        return {
            "machines_ahead": len(capacity_plan.kept_machines),
            "ahead": [f"stopped: {self.failure}"]
            if self.failure
            else [_format_hold(hold) for hold in capacity_plan.holds],
        }

    def describe(self) -> dict[str, Any]:
        """For `forecast show`: expected demand with its reasons, the capacity held for it, the history's size."""
        return self._run_guarded(self._describe, {"loaded": False, "broken": self.failure})

    def _describe(self) -> dict[str, Any]:
        wall_s = _wall_s()
        forecaster, capacity_plan, history = self.planner.forecaster, self.planner.capacity_plan, self.history
        current_slot = history.slot_of(wall_s)
        expected = []
        for slot in (
            range(current_slot, current_slot + round(DESCRIBED_HORIZON / self.settings.slot)) if self.is_loaded else ()
        ):
            for pool, expected_demand in forecaster.expected_demand(slot).items():
                if expected_demand.high_units <= 0:
                    continue
                level, level_reason = forecaster.present_level(pool, expected_demand.high_units, current_slot)
                expected.append(
                    {
                        "at": forecaster.local_time(slot).isoformat(timespec="minutes"),
                        "pool": str(pool),
                        "low": round(expected_demand.low_units, 1),
                        "middle": round(expected_demand.median_units, 1),
                        "high": round(expected_demand.high_units, 1),
                        "level": round(level, 2),
                        "why": expected_demand.reason + (f", {level_reason}" if level_reason else ""),
                    }
                )
        return {
            "loaded": self.is_loaded,
            "why_none": forecaster.no_forecast_reason() if self.is_loaded else "the history is being read",
            "days_known": forecaster.watched_days(wall_s) if self.is_loaded else 0,
            "series": len(history.series),
            "keys_most": self.store.max_keys,
            "writes": self.store.write_count,
            "unreadable_keys": self.store.invalid_block_count,
            "quantile": round(self.settings.quantile, 3),
            "expected": expected,
            "held": [
                {
                    "pool": str(hold.need.pool),
                    "units": round(hold.need.units, 1),
                    "by": forecaster.local_time(history.slot_of(hold.need.needed_at)).isoformat(timespec="minutes"),
                    "standing": round(hold.available_units, 1),
                    "idle_machines": hold.idle_machines,
                    "renting": hold.ordered_machines,
                    "short": round(hold.missing_units, 1),
                    "why": hold.need.reason,
                }
                for hold in capacity_plan.holds
            ],
            "price_an_hour": round(capacity_plan.price_per_hour, 2),
        }


def _format_hold(hold: CapacityHold) -> str:
    need = hold.need
    text = f"{need.units:.3g} units of {need.pool}, {hold.available_units:.3g} there"
    text += f", {hold.idle_machines} machines idle for it"
    if hold.ordered_machines:
        text += f", renting {hold.ordered_machines}"
    if hold.missing_units > 1e-6:
        text += f", {hold.missing_units:.3g} short (ceiling or no capacity)"
    return f"{text}: {need.reason}"


def _wall_s() -> float:
    return clock.utc_now().timestamp()
