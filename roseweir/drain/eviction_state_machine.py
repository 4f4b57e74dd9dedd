"""State machine that cordons, evicts and releases drained machines.

Performs no I/O. `decide` cordons no machine and stops no task; `apply` does so once the decision is stored.

A selected machine passes through these states:
- *waiting*: until the surge pool allows it to be cordoned.
- *cordoned*: no new tasks start; tasks that are expected to end soon are waited for.
- *moving*: tasks that can save a checkpoint, or that still run after the grace period, are requested to stop: gangs as
  a whole, service replicas one at a time and only if there is room elsewhere.
- *leaving*: the machine is empty and is released. The surge pool plans its replacement.

A stop is reserved in the disruption account when it is decided, then stored, and only then carried out. Failures only
delay a drain: a machine without a current heartbeat gets no stop requests, machines in an unresponsive zone are not
cordoned, and no task is stopped while the key-value store is down, because the decision cannot be stored. Past its
deadline a drain either stops the remaining tasks by force or gives up, as its request says.
"""

from collections.abc import Container, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum
from heapq import nsmallest

import msgspec

from roseweir.clock import ZERO, seconds
from roseweir.cloud.liveness import silence_timeout
from roseweir.cloud.offers import MachineOffer
from roseweir.drain.auto_replacement import REPLACEMENT_REASONS, AutoReplacement
from roseweir.drain.disruption_budget import DisruptionAccount
from roseweir.drain.model import Drain
from roseweir.drain.settings import DrainSettings
from roseweir.drain.surge_pool import Cordon, SurgePool
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.machine_eligibility import schedulable_machines
from roseweir.scheduler.model import JobRun, Machine, Placement, PlacementPhase
from roseweir.submissions.jobs import GANG, SERVICE, JobSpec
from roseweir.workers import messages as wire

# A task is stopped within this share of its checkpoint interval after a checkpoint, or within the minimum limit if that
# is longer: if saving at the stop fails, little work is lost.
MAX_CHECKPOINT_AGE_SHARE, MIN_CHECKPOINT_AGE_LIMIT = 0.25, timedelta(seconds=1)
# Tasks per step that are checked for eviction: each check may search the whole fleet for room.
MAX_EVICTION_CHECKS = 40
# Heartbeat intervals from the end of a task's grace period until it is requested to stop at once.
FORCE_STOP_HEARTBEATS = 2


class EvictionState(StrEnum):
    WAITING = "waiting"
    CORDONED = "cordoned"
    EVICTING = "moving"
    RELEASING = "leaving"


@dataclass(slots=True)
class Eviction:
    """A task, or a whole gang, that is to be stopped."""

    run: JobRun
    placements: list[Placement]
    cause: DowntimeCause
    is_urgent: bool = False  # the stop request does not wait for the machine's next heartbeat


@dataclass(slots=True)
class Decision:
    cordons: dict[str, Cordon] = field(default_factory=dict)
    uncordoned: list[str] = field(default_factory=list)
    evictions: list[Eviction] = field(default_factory=list)
    ended_drains: list[Drain] = field(default_factory=list)


class EvictionStateMachine:
    def __init__(
        self,
        settings: DrainSettings,
        cluster_state: ClusterState,
        disruptions: DisruptionAccount,
        surge_pool: SurgePool,
        auto_replacement: AutoReplacement | None,
        started_at: datetime,
    ) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        self.disruptions = disruptions
        self.surge_pool = surge_pool
        self.auto_replacement = auto_replacement
        self.started_at = started_at
        self.drains: dict[str, Drain] = {}  # active drains by name
        self.cordons: dict[str, Cordon] = {}
        self.due_machines: dict[str, list[Machine]] = {}  # by type: selected with replacement, not yet cordoned
        self.owners: dict[str, str] = {}  # machine name to drain name or automatic replacement reason
        self.wait_reasons: dict[str, str] = {}  # by machine name, or "" for all: what it waits for in its state
        self.drain_durations: list[timedelta] = []  # from cordon to departure, for the latest machines
        self.last_progress: dict[str, datetime] = {}  # by owner: when one of its machines was last cordoned or left
        self.replaced_count = 0  # cordoned machines that left during this leader's term
        self.max_cordons = 1 << 30  # cordons that fit into the stored record
        self.has_machine_list = False  # the cloud's machine list was read since the failover

    # -- deciding -----------------------------------------------------------------------------

    def decide(self, now: datetime, wall_time: datetime) -> Decision:
        """Decide one step and reserve its stops in the account; `apply` carries it out once it is stored."""
        wall_ms = round(wall_time.timestamp() * 1000)
        decision = Decision()
        previous_waits, self.wait_reasons = self.wait_reasons, {}
        self._remove_departed(now, wall_ms)
        self.select_machines(now, wall_ms)
        for name, cordon in self.cordons.items():
            machine = self.cluster_state.machines.get(name)
            if machine is None or machine.is_marked_for_release:
                continue  # without a heartbeat in this term, or being released: the cordon stays
            owner = self.owners.get(name)
            if owner is None:
                decision.uncordoned.append(name)
            else:
                cordon.owner = owner
        self._end_drains(decision, previous_waits, now, wall_ms)
        if not self.is_settled(now):
            self.wait_reasons[""] = "machines to be heard and listed after a take-over"
            return decision
        self.disruptions.count_running(self.cluster_state.jobs.values())
        self._cordon_forced(decision, wall_ms)
        is_quiet = self.settings.is_quiet(wall_time)
        if is_quiet:
            self.wait_reasons[""] = "quiet hours to end"
        else:
            self._cordon_machines(decision, now, wall_ms)
        self._evict_tasks(decision, is_quiet, now, wall_ms)
        return decision

    def is_settled(self, now: datetime) -> bool:
        """Whether machines have had time to send this leader a heartbeat, and the machine list was read."""
        return self.has_machine_list and now - self.started_at > silence_timeout(self.cluster_state)

    def _remove_departed(self, now: datetime, wall_ms: int) -> None:
        """Remove cordons of machines that are gone; the surge pool counts a gap for each that has no replacement."""
        is_settled = self.is_settled(now)
        for name in [
            n
            for n in self.cordons
            if n not in self.cluster_state.machines and (is_settled or n in self.cluster_state.released_machines)
        ]:
            cordon = self.cordons.pop(name)
            self.cluster_state.drain_by_machine.pop(name, None)
            self.surge_pool.record_departure(cordon, now)
            self.replaced_count += 1
            self.last_progress[cordon.owner] = now
            self.drain_durations.append(timedelta(milliseconds=max(0, wall_ms - cordon.cordoned_at_ms)))
            del self.drain_durations[:-50]

    def select_machines(self, now: datetime, wall_ms: int) -> None:
        """Set the owner of each machine to drain: the earliest drain that selects it, else a replacement reason."""
        drains = sorted(self.drains.values(), key=lambda d: (d.requested_at_ms, d.name))
        replacement_reasons = (
            {}
            if self.auto_replacement is None
            else self.auto_replacement.select_machines(self.cluster_state.machines.values(), now, wall_ms)
        )
        self.owners = {}
        self.due_machines = {}
        for machine in self.cluster_state.machines.values():
            drain = next((d for d in drains if d.selects(machine, now, wall_ms)), None)
            owner = drain.name if drain is not None else replacement_reasons.get(machine.name)
            if owner is None:
                cordon = self.cordons.get(machine.name)
                if cordon is None or cordon.owner not in REPLACEMENT_REASONS:
                    continue
                # An automatic replacement that has begun is completed even if its circuit breaker has opened since.
                owner = cordon.owner
            self.owners[machine.name] = owner
            if (
                machine.name not in self.cordons
                and not machine.is_marked_for_release
                and (drain is None or drain.request.replace)
            ):
                self.due_machines.setdefault(machine.machine_type.name, []).append(machine)

    def _end_drains(self, decision: Decision, previous_waits: dict[str, str], now: datetime, wall_ms: int) -> None:
        """Add drains that are done or past their deadline; `previous_waits` are the wait reasons of the last step."""
        remaining = dict.fromkeys(self.drains, 0)
        for owner in self.owners.values():
            if owner in remaining:
                remaining[owner] += 1
        for drain in list(self.drains.values()):
            remaining_count = remaining[drain.name]
            if remaining_count == 0 and self.is_settled(now):
                outcome = "done"
            elif drain.is_past_deadline(wall_ms) and not drain.request.force:
                wait_reason = self._main_wait_reason(drain, previous_waits)
                outcome = f"gave up: {remaining_count} machines left, waited for {wait_reason}"
            else:
                continue
            # A copy: the drain's status must not show the end before it is stored.
            decision.ended_drains.append(
                msgspec.structs.replace(drain, outcome=outcome, remaining_count=remaining_count, ended_at_ms=wall_ms)
            )

    def _main_wait_reason(self, drain: Drain, previous_waits: dict[str, str]) -> str:
        reasons = [
            previous_waits[name]
            for name, owner in self.owners.items()
            if owner == drain.name and name in previous_waits
        ]
        return (
            max(sorted(set(reasons)), key=reasons.count) if reasons else previous_waits.get("", "them to become free")
        )

    # -- cordoning ----------------------------------------------------------------------------

    def _cordon_machines(self, decision: Decision, now: datetime, wall_ms: int) -> None:
        """Cordon as many machines as the surge pool allows: those expected to be empty first, then the oldest."""
        candidates: dict[tuple[str, bool, bool], list[Machine]] = {}
        for name, owner in self.owners.items():
            if name in self.cordons or name in decision.cordons:
                continue
            machine = self.cluster_state.machines[name]
            if machine.spot_reclaim_at is not None or (machine.is_marked_for_release and not machine.placements):
                continue  # it leaves in any case
            drain = self.drains.get(owner)
            # A machine to be released once its tasks end may wait for them for ever, so it is drained like the others.
            needs_replacement = (drain is None or drain.request.replace) and not machine.is_marked_for_release
            candidates.setdefault((machine.machine_type.name, machine.is_spot, needs_replacement), []).append(machine)
        # All cordons have to fit into the stored record: otherwise no decision could be stored, nor any task stopped.
        max_new_cordons = min(
            self.surge_pool.max_cordons_per_step(), self.max_cordons - len(self.cordons) - len(decision.cordons)
        )
        for (machine_type, is_spot, needs_replacement), machines in sorted(
            candidates.items(), key=lambda item: item[0]
        ):
            all_cordons = [*self.cordons.values(), *decision.cordons.values()]
            capacity = min(
                self.surge_pool.cordon_capacity(machine_type, is_spot, needs_replacement, all_cordons, now),
                max_new_cordons,
            )
            if capacity <= 0:
                for machine in machines:
                    self.wait_reasons[machine.name] = (
                        "its replacement" if needs_replacement else "the machines before it"
                    )
                continue
            ready = [m for m in machines if not self._cordon_wait_reason(m, now)]
            for machine in nsmallest(capacity, ready, key=lambda m: (self._time_until_empty(m, now), m.name)):
                owner = self.owners[machine.name]
                if owner in REPLACEMENT_REASONS and self.auto_replacement is not None:
                    refusal = self.auto_replacement.refusal_reason(machine, wall_ms)
                    if refusal:
                        self.wait_reasons[machine.name] = refusal
                        continue
                    self.auto_replacement.charge(machine, owner, now, wall_ms)
                decision.cordons[machine.name] = self._new_cordon(machine, owner, needs_replacement, wall_ms)
                max_new_cordons -= 1

    def _cordon_forced(self, decision: Decision, wall_ms: int) -> None:
        """Cordon all machines of forced drains that are past their deadline, whatever the surge pool allows."""
        overdue_drains = {d.name for d in self.drains.values() if d.request.force and d.is_past_deadline(wall_ms)}
        for name, owner in self.owners.items():
            if len(self.cordons) + len(decision.cordons) >= self.max_cordons:
                return  # more cordons would not fit into the stored record; the others follow as these leave
            machine = self.cluster_state.machines[name]
            if (
                owner in overdue_drains
                and name not in self.cordons
                and (machine.placements or not machine.is_marked_for_release)
            ):
                needs_replacement = self.drains[owner].request.replace and not machine.is_marked_for_release
                decision.cordons[name] = self._new_cordon(machine, owner, needs_replacement, wall_ms)

    def _new_cordon(self, machine: Machine, owner: str, needs_replacement: bool, wall_ms: int) -> Cordon:
        machine_type = machine.machine_type.name
        has_replacement = needs_replacement and self.surge_pool.reserve_replacement(machine_type)
        return Cordon(
            owner,
            machine_type,
            MachineOffer(machine_type, machine.zone, machine.is_spot),
            wall_ms,
            needs_replacement,
            has_replacement,
        )

    def _cordon_wait_reason(self, machine: Machine, now: datetime) -> str:
        """Why the machine should not be cordoned now, also noted in `wait_reasons`; "" if it may be."""
        reason = ""
        if machine.is_booting:
            pass
        elif not machine.has_acknowledged_term or not self.cluster_state.is_heartbeat_current(machine, now):
            reason = "to hear of the machine"
        elif machine.zone not in self.cluster_state.zone_responsive_since:
            reason = f"zone {machine.zone} to be heard"
        else:
            exhausted_run = next(
                (p.run for p in machine.placements.values() if self.disruptions.is_exhausted_by_losses(p.run)), None
            )
            if exhausted_run is not None:
                reason = f"team {exhausted_run.spec.team} to recover: its budget is used up by losses"
        if reason:
            self.wait_reasons[machine.name] = reason
        return reason

    def _time_until_empty(self, machine: Machine, now: datetime) -> timedelta:
        return max((self._remaining_time(p, now) for p in machine.placements.values()), default=ZERO)

    def _remaining_time(self, placement: Placement, now: datetime) -> timedelta:
        spec = placement.run.spec
        if spec.job_type == SERVICE:
            return timedelta(days=1)
        return placement.expected_end(now, self.cluster_state.estimate_runtime(spec)) - now

    # -- evicting -----------------------------------------------------------------------------

    def _evict_tasks(self, decision: Decision, is_quiet: bool, now: datetime, wall_ms: int) -> None:
        """Evict tasks from cordoned machines, those with the fewest tasks first: they can leave soonest."""
        cluster_state = self.cluster_state
        present = [name for name in self.cordons if name in cluster_state.machines]
        eviction_order = sorted(present, key=lambda name: (len(cluster_state.machines[name].placements), name))
        open_machines = schedulable_machines(cluster_state, now)
        checked_count = 0
        checked_gangs: set[str] = set()
        for name in eviction_order:
            machine = cluster_state.machines[name]
            cordon = self.cordons[name]
            if not machine.placements or machine.spot_reclaim_at is not None or not machine.has_acknowledged_term:
                continue  # nothing to stop, no heartbeat in this term, or the spot notice stops its tasks anyway
            if not cluster_state.is_heartbeat_current(machine, now):
                self.wait_reasons[name] = "to hear of the machine"
                continue
            drain = self.drains.get(cordon.owner)
            is_forced = drain is not None and drain.request.force and drain.is_past_deadline(wall_ms)
            grace = self.settings.grace if drain is None else drain.grace
            is_within_grace = wall_ms - cordon.cordoned_at_ms < grace.total_seconds() * 1000
            for placement in list(machine.placements.values()):
                run = placement.run
                if (
                    placement.stop_requested_at is not None
                    or run.final_state
                    or placement.phase != PlacementPhase.CONFIRMED
                ):
                    continue
                if run.spec.job_type == GANG:
                    if run.spec.id in checked_gangs or run.is_gang_stopping:
                        continue
                    checked_gangs.add(run.spec.id)
                if is_forced:
                    self.add_eviction(decision, placement, DowntimeCause.FORCED_DRAIN, now)
                    continue
                reason = (
                    "quiet hours to end" if is_quiet else self._eviction_wait_reason(placement, is_within_grace, now)
                )
                if not reason and checked_count < MAX_EVICTION_CHECKS:
                    checked_count += 1
                    needs_room = is_within_grace or run.spec.job_type == SERVICE
                    if needs_room and not has_room_elsewhere(
                        run, placement, open_machines, cluster_state.drain_by_machine
                    ):
                        reason = f"room elsewhere for {placement.task_name}"
                    else:
                        reason = self.add_eviction(decision, placement, DowntimeCause.DRAIN, now)
                if reason:
                    self.wait_reasons.setdefault(name, reason)

    def _eviction_wait_reason(self, placement: Placement, is_within_grace: bool, now: datetime) -> str:
        """What to wait for before this task is stopped; "" if nothing."""
        run, spec = placement.run, placement.run.spec
        if not is_within_grace:
            return ""
        if spec.job_type == SERVICE:
            return "" if placement.state == wire.RUNNING else f"{placement.task_name} to be up"
        remaining = self._remaining_time(placement, now)
        cannot_checkpoint = spec.checkpoint_interval_s <= 0 and placement.running_since is not None
        save_duration = seconds(spec.checkpoint_duration_s) if spec.saves_when_stopped else ZERO
        if cannot_checkpoint or remaining <= max(self.settings.soon, save_duration * 2):
            return f"{placement.task_name} to end in about {max(0, round(remaining.total_seconds()))} s"
        if spec.job_type == GANG:
            if len(run.placements) < spec.task_count or any(p.state != wire.RUNNING for p in run.placements.values()):
                return f"gang {spec.id} to run as a whole"
            if not all(self.cluster_state.is_heartbeat_current(p.machine, now) for p in run.placements.values()):
                return f"to hear of all of gang {spec.id}"
        max_checkpoint_age_s = max(
            MAX_CHECKPOINT_AGE_SHARE * spec.checkpoint_interval_s, MIN_CHECKPOINT_AGE_LIMIT.total_seconds()
        )
        if spec.checkpoint_interval_s > 0 and placement.work_since_checkpoint_s(now) > max_checkpoint_age_s:
            return f"the next checkpoint of {placement.task_name}"
        return ""

    def add_eviction(
        self, decision: Decision, placement: Placement, cause: DowntimeCause, now: datetime, is_urgent: bool = False
    ) -> str:
        """Reserve and add the eviction of a task, or of its whole gang; return why it was refused, or ""."""
        run = placement.run
        placements = list(run.placements.values()) if run.spec.job_type == GANG else [placement]
        indices = [p.index for p in placements]
        if cause == DowntimeCause.FORCED_DRAIN:
            self.disruptions.mark_down(run, indices, cause, now)
        else:
            refusal = self.disruptions.reserve_disruption(run, indices, now)
            if refusal:
                return refusal
        decision.evictions.append(Eviction(run, placements, cause, is_urgent))
        return ""

    # -- applying -----------------------------------------------------------------------------

    def apply(self, decision: Decision, now: datetime) -> None:
        """Carry out a stored decision, except for evictions that no longer match the cluster state or the budget."""
        cluster_state = self.cluster_state
        for name, cordon in decision.cordons.items():
            machine = cluster_state.machines.get(name)
            self.cordons[name] = cordon
            self.last_progress[cordon.owner] = now
            cluster_state.drain_by_machine[name] = cordon.owner
            if machine is not None:
                for placement in list(machine.placements.values()):
                    if placement.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED):
                        # The start command was never sent: the task is placed again on another machine.
                        cluster_state.request_stop(placement, ZERO, now)
        for name in decision.uncordoned:
            self.cordons.pop(name, None)
            cluster_state.drain_by_machine.pop(name, None)
            cluster_state.needs_scheduling = True
        for drain in decision.ended_drains:
            self.drains.pop(drain.name, None)
        for eviction in decision.evictions:
            running = [
                p
                for p in eviction.placements
                if eviction.run.placements.get(p.index) is p and p.stop_requested_at is None
            ]
            is_gang_complete = eviction.run.spec.job_type != GANG or len(running) == len(eviction.placements)
            if (
                not running
                or eviction.run.final_state
                or not is_gang_complete
                or (
                    eviction.cause == DowntimeCause.DRAIN
                    and self.disruptions.exceeds_budget(eviction.run, len(eviction.placements))
                )
            ):
                self._release_eviction(eviction)
                continue
            if eviction.run.spec.checkpoint_interval_s > 0 or eviction.run.spec.job_type == GANG:
                cluster_state.request_graceful_stop(running[0], now, cause=eviction.cause)
            else:
                cluster_state.request_stop(running[0], ZERO, now, is_urgent=eviction.is_urgent, cause=eviction.cause)

    def roll_back(self, decision: Decision) -> None:
        """Release the reservations of a decision that is not carried out."""
        for eviction in decision.evictions:
            self._release_eviction(eviction)
        for cordon in decision.cordons.values():
            if cordon.has_replacement:
                self.surge_pool.release_replacement(cordon.machine_type)

    def _release_eviction(self, eviction: Eviction) -> None:
        """Count tasks of an eviction that was not carried out as up again, if they still run."""
        for placement in eviction.placements:
            is_still_placed = (
                eviction.run.placements.get(placement.index) is placement and placement.stop_requested_at is None
            )
            if is_still_placed and placement.state == wire.RUNNING:
                self.disruptions.mark_up(eviction.run, [placement.index])

    def release_empty_machines(self, now: datetime) -> list[Machine]:
        """Mark empty cordoned machines for release and return them; stop tasks that outlast their grace at once."""
        cluster_state = self.cluster_state
        released: list[Machine] = []
        force_stop_delay = cluster_state.settings.params.workers.heartbeat_interval * FORCE_STOP_HEARTBEATS
        for name in self.cordons:
            machine = cluster_state.machines.get(name)
            if machine is None or machine.is_marked_for_release:
                continue
            for placement in list(machine.placements.values()):
                if (
                    placement.stop_requested_at is not None
                    and placement.stop_grace > ZERO
                    and now > placement.stop_requested_at + placement.stop_grace + force_stop_delay
                ):
                    cluster_state.request_stop(placement, ZERO, now, is_urgent=True)
            # Task exits that the machine reported have to be stored and acknowledged to it before it leaves.
            if (
                not machine.placements
                and not machine.exits_to_clear
                and (machine.is_booting or cluster_state.is_heartbeat_current(machine, now))
            ):
                machine.is_marked_for_release = True
                released.append(machine)
        return released

    # -- status -------------------------------------------------------------------------------

    def state_of(self, machine: Machine) -> EvictionState:
        if machine.is_marked_for_release and not machine.placements:
            return EvictionState.RELEASING
        if machine.name not in self.cordons:
            return EvictionState.WAITING
        is_evicting = any(p.stop_requested_at is not None for p in machine.placements.values())
        return EvictionState.EVICTING if is_evicting else EvictionState.CORDONED

    def machines_of(self, drain: str) -> Iterator[Machine]:
        for name, owner in self.owners.items():
            if owner == drain and name in self.cluster_state.machines:
                yield self.cluster_state.machines[name]

    def expected_remaining_s(self, drain: str) -> float:
        """Expected seconds until a drain's machines have left, from measured durations or settings and catalog."""
        count_by_type: dict[str, int] = {}
        for machine in self.machines_of(drain):
            count_by_type[machine.machine_type.name] = count_by_type.get(machine.machine_type.name, 0) + 1
        typical_duration = (
            sorted(self.drain_durations)[len(self.drain_durations) // 2] if self.drain_durations else self.settings.soon
        )
        wave_durations_s = (
            -(-count // self.surge_pool.max_missing(machine_type))
            * (typical_duration + self.surge_pool.provisioning_time(machine_type)).total_seconds()
            for machine_type, count in count_by_type.items()
        )
        return round(max(wave_durations_s, default=0.0), 1)


def has_room_elsewhere(
    run: JobRun, placement: Placement, machines: list[Machine], drained_machines: Container[str]
) -> bool:
    """Whether the stopped task, or its whole gang, would fit on other machines at once."""
    spec = run.spec
    if spec.job_type != GANG:
        max_per_zone = (spec.task_count + 1) // 2
        for machine in machines:
            if (
                not allows_machine(spec, machine)
                or machine is placement.machine
                or machine.count_fitting_tasks(spec, 0.0) < 1
            ):
                continue
            others = [p for p in run.placements.values() if p is not placement]
            if spec.requires_single_zone and any(p.machine.zone != machine.zone for p in others):
                continue
            if spec.spread_across_zones and sum(p.machine.zone == machine.zone for p in others) >= max_per_zone:
                continue
            return True
        return False
    capacity_by_zone: dict[str, int] = {}
    staying_by_zone: dict[str, int] = {}
    for gang_placement in run.placements.values():
        if gang_placement.machine.name not in drained_machines and not gang_placement.machine.is_marked_for_release:
            staying_by_zone[gang_placement.machine.zone] = staying_by_zone.get(gang_placement.machine.zone, 0) + 1
    for machine in machines:
        if allows_machine(spec, machine):
            capacity_by_zone[machine.zone] = capacity_by_zone.get(machine.zone, 0) + machine.count_fitting_tasks(
                spec, 0.0
            )
    return _gang_fits(
        spec,
        {
            zone: capacity_by_zone.get(zone, 0) + staying_by_zone.get(zone, 0)
            for zone in capacity_by_zone.keys() | staying_by_zone.keys()
        },
    )


def _gang_fits(spec: JobSpec, capacity_by_zone: dict[str, int]) -> bool:
    if spec.requires_single_zone:
        return any(count >= spec.task_count for count in capacity_by_zone.values())
    if spec.spread_across_zones:
        return sum(min(count, (spec.task_count + 1) // 2) for count in capacity_by_zone.values()) >= spec.task_count
    return sum(capacity_by_zone.values()) >= spec.task_count
