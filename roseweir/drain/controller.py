"""Leader side of drains: accepts requests, stores each step before carrying it out, and reports status."""

import logging
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Protocol

import msgspec

from roseweir import clock
from roseweir.clock import monotonic_now, seconds, sleep, utc_now_ms
from roseweir.cloud.controller import CloudController
from roseweir.cloud.offers import MachineOffer, MachineRequest
from roseweir.drain import status_report
from roseweir.drain.auto_replacement import AutoReplacement
from roseweir.drain.disruption_budget import DisruptionAccount
from roseweir.drain.eviction_state_machine import Decision, EvictionStateMachine
from roseweir.drain.lifecycle_listener import DrainLifecycleListener
from roseweir.drain.machine_health import MachineHealth
from roseweir.drain.model import (
    MAX_ACTIVE_DRAINS,
    MAX_ENDED_DRAINS,
    Drain,
    DrainRejected,
    DrainRequest,
    DrainUnavailable,
    validate_request,
)
from roseweir.drain.settings import DrainSettings
from roseweir.drain.store import (
    REBALANCING_KEY,
    REQUEST_KEY_PREFIX,
    SURGE_POOL_KEY,
    DrainRecordFull,
    DrainStore,
    StoredDrainState,
    encode_drain,
)
from roseweir.drain.surge_pool import SurgePool
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.fenced_writes import LeadershipLost
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.submissions.jobs import SERVICE

log = logging.getLogger(__name__)

TICK_INTERVAL = timedelta(seconds=1)
# Interval at which losses are stored when no eviction stores them earlier.
DISRUPTION_SAVE_INTERVAL = timedelta(seconds=1)
LOG_INTERVAL = timedelta(seconds=15)


class Rebalancer(Protocol):
    """Proposes moves of replicas; implemented in `rebalancing/controller.py`."""

    def restore(self, stored: Any) -> None:
        """Restore the plans that earlier leaders stored."""

    def is_needed(self) -> bool:
        """Whether any work could benefit from a move, or the settings enable moves."""

    def propose_evictions(
        self,
        decision: Decision,
        state_machine: EvictionStateMachine,
        last_pass: SchedulingPassResult,
        refused_until: dict[MachineOffer, datetime],
        now: datetime,
        wall_ms: int,
    ) -> dict[str, Any]:
        """Add evictions to the decision; return the value to store with it."""


class DrainController:
    """Runs drains; inactive, with no disruption account kept, until the first drain or a setting needs it."""

    def __init__(
        self,
        settings: DrainSettings | None,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        is_lease_valid: Callable[[], bool],
        step_down: Callable[[str], None],
    ) -> None:
        self.settings = settings or DrainSettings()
        self.is_configured = settings is not None
        self.cluster_state = cluster_state
        self.store = DrainStore(kv_store, leader_key_version)
        self.disruptions = DisruptionAccount(self.settings)
        self.machine_health = MachineHealth()
        now = monotonic_now()
        self.surge_pool = SurgePool(cluster_state, self.settings.hole, now, self.settings.hole_gpus)
        self.auto_replacement = (
            None
            if self.settings.auto_replacement is None
            else AutoReplacement(self.settings.auto_replacement, self.machine_health)
        )
        self.state_machine = EvictionStateMachine(
            self.settings, cluster_state, self.disruptions, self.surge_pool, self.auto_replacement, now
        )
        self.state_machine.max_cordons = self.store.max_cordons
        self.ended_drains: dict[str, Drain] = {}
        self.is_active = False
        self.failure = ""  # the exception that stopped `run`
        self.cloud_controller: CloudController | None = None
        # Moves replicas within the same disruption budgets; None without a rebalancer.
        self.rebalancer: Rebalancer | None = None
        self._is_lease_valid = is_lease_valid
        self._step_down = step_down
        self._disruptions_saved_at = self._logged_at = now
        self._last_logged: dict[str, str] = {}
        self._is_saving = False  # a transaction of this controller is in progress

    # -- failover -----------------------------------------------------------------------------

    async def read_records(self) -> StoredDrainState:
        """Read all stored records; raises StoreError or Unreachable if any can't be read."""
        return self.store.load_records(await self.store.read_entries())

    def restore(self, stored: StoredDrainState) -> None:
        """Restore stored state before any heartbeat is answered, so that no task starts on a drained machine."""
        for drain in stored.drains:
            (self.ended_drains if drain.outcome else self.state_machine.drains)[drain.name] = drain
        self.state_machine.cordons = stored.cordons
        self.cluster_state.drain_by_machine = {name: cordon.owner for name, cordon in stored.cordons.items()}
        now = monotonic_now()
        for machine_type, gap_count in stored.gaps.items():
            self.surge_pool.gaps[machine_type] = deque([now] * gap_count)
        if self.auto_replacement is not None and stored.auto_replacement:
            self.auto_replacement.restore(stored.auto_replacement)
        if self.rebalancer is not None and stored.rebalancing:
            self.rebalancer.restore(stored.rebalancing)
        if not stored.is_empty or self.is_configured or (self.rebalancer is not None and self.rebalancer.is_needed()):
            self._activate(stored)

    def _activate(self, stored: StoredDrainState) -> None:
        if not self.is_active:
            self.is_active = True
            now = monotonic_now()
            self.disruptions.assume_down_after_failover(
                self.cluster_state.jobs.values(), stored.placement_progress, now
            )
            self.disruptions.restore_rate_windows(stored.rate_windows, now, utc_now_ms())
            self.cluster_state.lifecycle_listener = DrainLifecycleListener(
                self.cluster_state, self.disruptions, self.machine_health
            )

    # -- periodic steps -----------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            await sleep(TICK_INTERVAL)
            if not self.is_active and self.rebalancer is not None and self.rebalancer.is_needed():
                self._activate(StoredDrainState())
            if self.is_active and self._is_lease_valid() and not self._is_saving:
                self._is_saving = True
                try:
                    await self._tick()
                except LeadershipLost as e:
                    self._step_down(str(e))
                except Exception as e:
                    # Tasks and heartbeats go on without drains; the next leader resumes from the stored state.
                    log.exception("drains have stopped for this term")
                    self.failure = repr(e)
                    return
                finally:
                    self._is_saving = False

    async def _tick(self) -> None:
        now = monotonic_now()
        cloud_controller = self.cloud_controller
        if cloud_controller is not None:
            self.state_machine.has_machine_list = cloud_controller.list_read_at > self.state_machine.started_at
            waiting_needs_gpus = [run.spec.gpus > 0 for run, _ in cloud_controller.last_scheduling_pass.unplaced]
            self.surge_pool.update(waiting_needs_gpus, cloud_controller.refused_until, now)
        self.machine_health.remove_missing(self.cluster_state.machines)
        decision = self.state_machine.decide(now, clock.utc_now())
        rebalancing_values: dict[str, Any] = {}
        if self.rebalancer is not None and cloud_controller is not None and self.rebalancer.is_needed():
            rebalancing_values = self.rebalancer.propose_evictions(
                decision,
                self.state_machine,
                cloud_controller.last_scheduling_pass,
                cloud_controller.refused_until,
                now,
                utc_now_ms(),
            )
            rebalancing_values = {REBALANCING_KEY: self.store.fit_rebalancing(rebalancing_values)}
        try:
            await self._save_decision(decision, now, rebalancing_values)
        except DrainRecordFull as e:
            self.state_machine.wait_reasons[""] = str(e)
            self.state_machine.roll_back(decision)
        except (StoreError, Unreachable) as e:
            log.info("drains: decision not stored: %s", e)
            self.state_machine.roll_back(decision)
        except LeadershipLost:
            self.state_machine.roll_back(decision)
            raise
        else:
            if not self._is_lease_valid():
                # Stored, but the leader lease has expired: the next leader resumes from the stored state.
                self.state_machine.roll_back(decision)
                return
            self.state_machine.apply(decision, monotonic_now())
            self._log_decision(decision)
        released = self.state_machine.release_empty_machines(monotonic_now())
        if released and cloud_controller is not None:
            for machine in released:
                # The cloud can offer the released machine again, so an earlier refusal no longer holds.
                cloud_controller.allow_offer(MachineOffer(machine.machine_type.name, machine.zone, machine.is_spot))
            log.info("drains: empty machines released: %s", format_machine_names(released))
        self._log_progress(now)

    async def _save_decision(self, decision: Decision, now: datetime, extra_values: dict[str, Any]) -> None:
        evicted_job_ids = {eviction.run.spec.id for eviction in decision.evictions}
        is_save_due = bool(evicted_job_ids) or now - self._disruptions_saved_at >= DISRUPTION_SAVE_INTERVAL
        values: dict[str, Any] = {}
        if self.disruptions.has_unsaved_changes and is_save_due:
            # Stops are stored before they are carried out, other losses soon after they happen.
            self.disruptions.has_unsaved_changes = False
            self._disruptions_saved_at = now
            placement_progress = self.disruptions.placement_progress(self.cluster_state.jobs)
            values |= self.store.encode_disruptions(
                placement_progress, self.disruptions.encode_rate_windows(now, utc_now_ms()), evicted_job_ids
            )
        cordons = {
            n: c for n, c in self.state_machine.cordons.items() if n not in decision.uncordoned
        } | decision.cordons
        values |= self.store.encode_cordons(cordons)
        values |= {
            REQUEST_KEY_PREFIX + drain.name: self.store.encode_ended_drain(drain) for drain in decision.ended_drains
        }
        values[SURGE_POOL_KEY] = {
            "gaps": {machine_type: len(gaps) for machine_type, gaps in self.surge_pool.gaps.items() if gaps},
            "own": None if self.auto_replacement is None else self.auto_replacement.encode(),
        }
        changes = self.store.changed_values(values | extra_values)
        try:
            if changes:
                await self.store.save(changes)
        except BaseException:
            self.disruptions.has_unsaved_changes = True
            raise
        for drain in decision.ended_drains:
            self.ended_drains[drain.name] = drain

    def _log_decision(self, decision: Decision) -> None:
        cordoned_by_owner: dict[str, list[str]] = {}
        for name, cordon in decision.cordons.items():
            cordoned_by_owner.setdefault(cordon.owner, []).append(name)
        for owner, names in cordoned_by_owner.items():
            log.info("drain %s: %d machines cordoned: %s", owner, len(names), ", ".join(names[:20]))
        evicted_by_cause: dict[str, int] = {}
        for eviction in decision.evictions:
            evicted_by_cause[eviction.cause] = evicted_by_cause.get(eviction.cause, 0) + len(eviction.placements)
        for cause, task_count in evicted_by_cause.items():
            log.info("drains: %d tasks requested to stop (%s)", task_count, cause)
        if decision.uncordoned:
            log.info("drains: machines uncordoned: %s", ", ".join(decision.uncordoned[:20]))
        for drain in decision.ended_drains:
            log.info("drain %s: %s", drain.name, drain.outcome)

    def _log_progress(self, now: datetime) -> None:
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        for row in self.describe_all()["drains"]:
            state_counts = ", ".join(f"{count} {state}" for state, count in row["machines"].items())
            line = f"drain {row['name']}: {state_counts or 'no machines left'}; {row['waits_for'] or 'in progress'}"
            if self._last_logged.get(row["name"]) != line:
                self._last_logged[row["name"]] = line
                log.info("%s", line)

    # -- used by the cloud controller ---------------------------------------------------------

    def plan_replacements(
        self, other_requests: list[MachineRequest], refused_until: dict[MachineOffer, datetime], now: datetime
    ) -> tuple[list[MachineRequest], dict[str, str]]:
        """Return replacements to rent, and ready ones (with the reason) that must not be released as idle."""
        if not self.is_active or not self.state_machine.is_settled(now):
            return [], {}
        reserved = {
            name: "to replace one that is drained"
            for names in self.surge_pool.ready_replacements.values()
            for name in names
        }
        return self.surge_pool.plan_rentals(
            self.state_machine.due_machines, refused_until, other_requests, now
        ), reserved

    # -- operators ----------------------------------------------------------------------------

    async def accept_request(self, request: DrainRequest) -> tuple[bool, dict[str, Any]]:
        """Accept a drain, stored durably on return; return whether it is new, and its status.

        Raises DrainRejected, or DrainUnavailable if the client should retry.
        """
        existing = self.state_machine.drains.get(request.name) or self.ended_drains.get(request.name)
        if existing is not None:
            return False, self._describe_existing(existing, request)
        validate_request(request, self.cluster_state.catalog.keys(), self.cluster_state.settings.params.zones)
        if len(self.state_machine.drains) >= MAX_ACTIVE_DRAINS:
            raise DrainRejected(f"{MAX_ACTIVE_DRAINS} drains go on already, the most that may")
        if self.cloud_controller is None or self.cloud_controller.list_read_at <= self.state_machine.started_at:
            raise DrainUnavailable("the list of machines has not been read since the take-over")
        drain = self._new_drain(request)
        now, now_wall_ms = monotonic_now(), utc_now_ms()
        selected = [m for m in self.cluster_state.machines.values() if drain.selects(m, now, now_wall_ms)]
        missing = set(request.machines) - {m.name for m in selected}
        if missing:
            raise DrainRejected(
                f"unknown machine {min(missing)}"
                + (f" and {len(missing) - 1} more" if missing - {min(missing)} else "")
            )
        if not selected:
            raise DrainRejected("no machine is like that")
        self._reject_if_never_ending(drain, selected)
        drain.selected_count = len(selected)
        await self._save_drain(drain)
        self._activate(StoredDrainState())
        self.state_machine.drains[drain.name] = drain
        self.state_machine.select_machines(monotonic_now(), utc_now_ms())
        log.info(
            "drain %s accepted: %d machines, %s", drain.name, drain.selected_count, request.reason or "no reason given"
        )
        return True, self.describe_one(drain)

    def _describe_existing(self, existing: Drain, request: DrainRequest) -> dict[str, Any]:
        if existing.request != request:
            raise DrainRejected(f"drain {request.name} is there already and asks for something else")
        return self.describe_one(existing)

    def _new_drain(self, request: DrainRequest) -> Drain:
        now_wall_ms = utc_now_ms()
        deadline_s = self.settings.deadline.total_seconds() if request.deadline_s is None else request.deadline_s
        grace_s = self.settings.grace.total_seconds() if request.grace_s is None else request.grace_s
        last_machine = max(self.cluster_state.machines, default="")
        return Drain(request, now_wall_ms, now_wall_ms + round(deadline_s * 1000), grace_s, last_machine)

    def _reject_if_never_ending(self, drain: Drain, selected: list[Machine]) -> None:
        """Reject a drain that could never end because a service can't move; tasks of other jobs end by themselves."""
        if drain.request.force:
            return
        selected_names = {m.name for m in selected}
        for machine in selected:
            for placement in machine.placements.values():
                run, spec = placement.run, placement.run.spec
                if spec.job_type != SERVICE or run.final_state:
                    continue
                budget = self.disruptions.usage_of(run).budget
                if budget.forbids_all:
                    raise DrainRejected(
                        f"service {spec.id} runs on {machine.name}, and the budget of team {spec.team} is 0"
                    )
                if budget.replicas_least is not None and budget.replicas_least >= spec.task_count:
                    raise DrainRejected(
                        f"service {spec.id} on {machine.name} may never have fewer than all its replicas up"
                    )
                has_alternative = any(
                    spec.allows_machine_type(m.machine_type)
                    and spec.zone in (None, m.zone)
                    and m.name not in selected_names
                    for m in self.cluster_state.machines.values()
                )
                if not drain.request.replace and not has_alternative:
                    raise DrainRejected(
                        f"service {spec.id} on {machine.name} may run nowhere else, and nothing replaces it"
                    )

    async def _save_drain(self, drain: Drain) -> None:
        if not drain.outcome and not self.store.fits_value(drain):
            raise DrainRejected(
                "more machines are named than a value of the state service holds: name a zone or a type"
            )
        values: dict[str, Any] = {REQUEST_KEY_PREFIX + drain.name: encode_drain(drain)}
        for expired in sorted(self.ended_drains.values(), key=lambda d: d.ended_at_ms)[
            : max(0, len(self.ended_drains) - MAX_ENDED_DRAINS + 1)
        ]:
            values[REQUEST_KEY_PREFIX + expired.name] = None
        while self._is_saving:
            await sleep(seconds(0.02))
        self._is_saving = True
        try:
            if not self._is_lease_valid():
                raise DrainUnavailable("this node may not lead any more")
            await self.store.save(values)
        except LeadershipLost as e:
            self._step_down(str(e))
            raise DrainUnavailable(str(e)) from e
        except (StoreError, Unreachable) as e:
            raise DrainUnavailable(f"not recorded: {e}") from e
        finally:
            self._is_saving = False
        for key, value in values.items():
            if value is None:
                self.ended_drains.pop(key.removeprefix(REQUEST_KEY_PREFIX), None)

    async def stop_drain(self, name: str) -> dict[str, Any]:
        """End a drain without releasing further machines; the next step uncordons those that are left."""
        drain = self.state_machine.drains.get(name)
        if drain is None:
            if name in self.ended_drains:
                return self.describe_one(self.ended_drains[name])
            raise DrainRejected(f"no drain is called {name}")
        now_wall_ms = utc_now_ms()
        remaining = sum(1 for _ in self.state_machine.machines_of(name))
        outcome = f"stopped by an operator: {remaining} machines left"
        stopped = msgspec.structs.replace(drain, outcome=outcome, remaining_count=remaining, ended_at_ms=now_wall_ms)
        await self._save_drain(stopped)
        self.state_machine.drains.pop(name, None)
        self.ended_drains[name] = stopped
        log.info("drain %s: %s", name, stopped.outcome)
        return self.describe_one(stopped)

    def describe_one(self, drain: Drain) -> dict[str, Any]:
        return status_report.describe_drain(self.state_machine, drain, monotonic_now(), utc_now_ms())

    def summary(self) -> dict[str, Any]:
        """Summary for the `status` answer; empty while inactive."""
        return status_report.summarize(self.state_machine) if self.is_active else {}

    def describe_all(self) -> dict[str, Any]:
        return {"broken": self.failure or None} | status_report.describe_all(
            self.state_machine, list(self.ended_drains.values()), self.is_active, monotonic_now(), utc_now_ms()
        )


def format_machine_names(machines: list[Machine]) -> str:
    suffix = f" and {len(machines) - 20} more" if len(machines) > 20 else ""
    return ", ".join(m.name for m in machines[:20]) + suffix
