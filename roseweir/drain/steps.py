"""What happens next to which machine. Pure: decides on the board, changes nothing there until `carry_out`.

A machine that is chosen goes through these steps: *waiting* until the pool and the budgets allow; *cordoned*: nothing
new starts, what should end soon is waited for; *moving*: what can save or has run for long is told to stop, a gang as
a whole, services' replicas one at a time and only with room elsewhere; *leaving*: it is empty, and goes back. What
replaces it is the pool's.

Stops are reserved in the account when they are decided, recorded, and only then carried out. In every step a failure
only makes this wait: a machine that is not heard is told nothing, a zone that is not heard is not begun with, without
the state service nothing is recorded and so nothing stopped, and past its deadline a drain ends in one of the two
ways that were asked for.
"""

from collections.abc import Container, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum
from heapq import nsmallest

import msgspec

from roseweir.clock import ZERO, seconds
from roseweir.cloud.silence import patience
from roseweir.drain.budget import Account
from roseweir.drain.model import Drain
from roseweir.drain.pool import Cordon, Pool
from roseweir.drain.reasons import NAMES, Own
from roseweir.drain.settings import DrainSettings
from roseweir.placement.board import Board
from roseweir.placement.look import suits
from roseweir.placement.model import JobRun, Machine, Phase, Placement
from roseweir.placement.plan import usable
from roseweir.placement.watch import Cause
from roseweir.submissions.jobs import GANG, SERVICE, JobSpec
from roseweir.workers import messages as wire

# Of a checkpoint's interval, and the least: so shortly after it a stop loses least if it fails.
AFTER_SAVE, AFTER_SAVE_LEAST = 0.25, timedelta(seconds=1)
# Stops that are looked for in one step: each may look for room on the whole fleet.
LOOKED_AT = 40
# Reports after the end of a task's grace, until it is told to stop at once.
STUBBORN = 2


class Step(StrEnum):
    WAITING = "waiting"
    CORDONED = "cordoned"
    MOVING = "moving"
    LEAVING = "leaving"


@dataclass(slots=True)
class Stop:
    """A task, or a whole gang, that is to stop."""

    run: JobRun
    placements: list[Placement]
    cause: Cause
    urgent: bool = False  # its halt does not wait for the machine's next report


@dataclass(slots=True)
class Decision:
    cordons: dict[str, Cordon] = field(default_factory=dict)
    lifted: list[str] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    ended: list[Drain] = field(default_factory=list)


class Steps:
    def __init__(
        self,
        settings: DrainSettings,
        board: Board,
        account: Account,
        pool: Pool,
        own: Own | None,
        began: datetime,
    ) -> None:
        self.settings = settings
        self.board = board
        self.account = account
        self.pool = pool
        self.own = own
        self.began = began
        self.drains: dict[str, Drain] = {}  # those that go on
        self.cordons: dict[str, Cordon] = {}
        self.due: dict[str, list[Machine]] = {}  # by type: chosen, not begun with, with a replacement wanted
        self.owners: dict[str, str] = {}  # machine: drain or own reason
        self.waits: dict[str, str] = {}  # machine, or "" for all: what keeps it in its step
        self.took: list[timedelta] = []  # from cordon to gone, the last ones
        self.progress: dict[str, datetime] = {}  # when a drain last began with a machine, or one of its left
        self.replaced = 0  # machines that left by a drain or an own reason, under this leader
        self.cordons_most = 1 << 30  # that the record has room for
        self.heard_all = False  # the list was read since the take-over

    # -- once in a while ----------------------------------------------------------------------

    def decide(self, now: datetime, wall: datetime) -> Decision:
        """What to do now, in one go; reserved in the account, and not done before it is recorded."""
        wall_ms = round(wall.timestamp() * 1000)
        decision = Decision()
        held, self.waits = self.waits, {}
        self._leave(now, wall_ms)
        self.choose(now, wall_ms)
        for name, cordon in self.cordons.items():
            machine = self.board.machines.get(name)
            if machine is None or machine.leaving:
                continue  # not heard of yet, or it goes: there is nothing to lift
            owner = self.owners.get(name)
            if owner is None:
                decision.lifted.append(name)
            else:
                cordon.drain = owner
        self._end(decision, held, now, wall_ms)
        if not self.settled(now):
            self.waits[""] = "machines to be heard and listed after a take-over"
            return decision
        self.account.count_running(self.board.jobs.values())
        self._begin_forced(decision, wall_ms)
        quiet = self.settings.is_quiet(wall)
        if quiet:
            self.waits[""] = "quiet hours to end"
        else:
            self._begin(decision, now, wall_ms)
        self._stop(decision, quiet, now, wall_ms)
        return decision

    def settled(self, now: datetime) -> bool:
        """Machines have had time to report to this leader, and the list was read."""
        return self.heard_all and now - self.began > patience(self.board)

    def _leave(self, now: datetime, wall_ms: int) -> None:
        """Cordoned machines that are gone make a gap or have been replaced already."""
        settled = self.settled(now)
        for name in [n for n in self.cordons if n not in self.board.machines and (settled or n in self.board.gone)]:
            cordon = self.cordons.pop(name)
            self.board.drained.pop(name, None)
            self.pool.gone(cordon, now)
            self.replaced += 1
            self.progress[cordon.drain] = now
            self.took.append(timedelta(milliseconds=max(0, wall_ms - cordon.since_ms)))
            del self.took[:-50]

    def choose(self, now: datetime, wall_ms: int) -> None:
        """Which machines should go, and by whose word: operators' drains in their order, then own reasons."""
        drains = sorted(self.drains.values(), key=lambda d: (d.asked_ms, d.name))
        own = {} if self.own is None else self.own.look(self.board.machines.values(), now, wall_ms)
        self.owners = {}
        self.due = {}
        for machine in self.board.machines.values():
            drain = next((d for d in drains if d.selects(machine, now, wall_ms)), None)
            owner = drain.name if drain is not None else own.get(machine.name)
            if owner is None:
                cordon = self.cordons.get(machine.name)
                if cordon is None or cordon.drain not in NAMES:
                    continue
                # What was begun for a reason of our own is brought to its end, brake or not.
                owner = cordon.drain
            self.owners[machine.name] = owner
            if machine.name not in self.cordons and not machine.leaving and (drain is None or drain.ask.replace):
                self.due.setdefault(machine.type.name, []).append(machine)

    def _end(self, decision: Decision, held: dict[str, str], now: datetime, wall_ms: int) -> None:
        """`held`: what kept each machine in its step when it was last looked at."""
        left = dict.fromkeys(self.drains, 0)
        for owner in self.owners.values():
            if owner in left:
                left[owner] += 1
        for drain in list(self.drains.values()):
            here = left[drain.name]
            if here == 0 and self.settled(now):
                outcome = "done"
            elif drain.is_late(wall_ms) and not drain.ask.force:
                outcome = f"gave up: {here} machines left, waited for {self._held(drain, held)}"
            else:
                continue
            # A copy: until it is recorded, nobody is told that it has ended.
            decision.ended.append(msgspec.structs.replace(drain, outcome=outcome, left=here, ended_ms=wall_ms))

    def _held(self, drain: Drain, held: dict[str, str]) -> str:
        whys = [held[name] for name, owner in self.owners.items() if owner == drain.name and name in held]
        return max(sorted(set(whys)), key=whys.count) if whys else held.get("", "them to become free")

    # -- beginning ----------------------------------------------------------------------------

    def _begin(self, decision: Decision, now: datetime, wall_ms: int) -> None:
        """Cordon as many as the pool lets go: those first that are empty the soonest, then the oldest."""
        chosen: dict[tuple[str, bool, bool], list[Machine]] = {}
        for name, owner in self.owners.items():
            if name in self.cordons or name in decision.cordons:
                continue
            machine = self.board.machines[name]
            if machine.recall_at is not None or (machine.leaving and not machine.placements):
                continue  # it goes already
            drain = self.drains.get(owner)
            # One that is to go back once its tasks are over may wait for ever: it has to be emptied like the others.
            replace = (drain is None or drain.ask.replace) and not machine.leaving
            chosen.setdefault((machine.type.name, machine.spot, replace), []).append(machine)
        # What is begun with has to fit its keys, or no stop could be recorded either.
        pace = min(self.pool.pace(), self.cordons_most - len(self.cordons) - len(decision.cordons))
        for (kind, spot, replace), machines in sorted(chosen.items(), key=lambda item: item[0]):
            both = [*self.cordons.values(), *decision.cordons.values()]
            room = min(self.pool.room(kind, spot, replace, both, now), pace)
            if room <= 0:
                for machine in machines:
                    self.waits[machine.name] = "its replacement" if replace else "the machines before it"
                continue
            able = [m for m in machines if not self._holds_back(m, now)]
            for machine in nsmallest(room, able, key=lambda m: (self._empty_in(m, now), m.name)):
                owner = self.owners[machine.name]
                if owner in NAMES and self.own is not None:
                    why = self.own.holds(machine, wall_ms)
                    if why:
                        self.waits[machine.name] = why
                        continue
                    self.own.spend(machine, owner, now, wall_ms)
                decision.cordons[machine.name] = self._cordon(machine, owner, replace, wall_ms)
                pace -= 1

    def _begin_forced(self, decision: Decision, wall_ms: int) -> None:
        """Past the deadline of a drain that is forced, nothing is waited for any more."""
        late = {d.name for d in self.drains.values() if d.ask.force and d.is_late(wall_ms)}
        for name, owner in self.owners.items():
            if len(self.cordons) + len(decision.cordons) >= self.cordons_most:
                return  # with more than fits its keys nothing could be recorded; the others follow as these leave
            machine = self.board.machines[name]
            if owner in late and name not in self.cordons and (machine.placements or not machine.leaving):
                replace = self.drains[owner].ask.replace and not machine.leaving
                decision.cordons[name] = self._cordon(machine, owner, replace, wall_ms)

    def _cordon(self, machine: Machine, owner: str, replace: bool, wall_ms: int) -> Cordon:
        kind = machine.type.name
        matched = replace and self.pool.match(kind)
        return Cordon(owner, kind, (kind, machine.zone, machine.spot), wall_ms, replace, matched)

    def _holds_back(self, machine: Machine, now: datetime) -> str:
        """Why it should not be begun with now."""
        why = ""
        if machine.booting:
            pass
        elif not machine.shown or not self.board.is_heard(machine, now):
            why = "to hear of the machine"
        elif machine.zone not in self.board.talking_since:
            why = f"zone {machine.zone} to be heard"
        else:
            hurt = next((p.run for p in machine.placements.values() if self.account.is_hurt(p.run)), None)
            if hurt is not None:
                why = f"team {hurt.spec.team} to recover: its budget is used up by losses"
        if why:
            self.waits[machine.name] = why
        return why

    def _empty_in(self, machine: Machine, now: datetime) -> timedelta:
        return max((self._remaining(p, now) for p in machine.placements.values()), default=ZERO)

    def _remaining(self, placement: Placement, now: datetime) -> timedelta:
        spec = placement.run.spec
        if spec.kind == SERVICE:
            return timedelta(days=1)
        return placement.expected_end(now, self.board.estimate(spec)) - now

    # -- stopping -----------------------------------------------------------------------------

    def _stop(self, decision: Decision, quiet: bool, now: datetime, wall_ms: int) -> None:
        """Of the machines that are nearly empty first: they leave the soonest."""
        board = self.board
        here = [name for name in self.cordons if name in board.machines]
        order = sorted(here, key=lambda name: (len(board.machines[name].placements), name))
        open_machines = usable(board, now)
        looked = 0
        seen: set[str] = set()
        for name in order:
            machine = board.machines[name]
            cordon = self.cordons[name]
            if not machine.placements or machine.recall_at is not None or not machine.shown:
                continue  # nothing to tell it, or its spot notice does
            if not board.is_heard(machine, now):
                self.waits[name] = "to hear of the machine"
                continue
            drain = self.drains.get(cordon.drain)
            forced = drain is not None and drain.ask.force and drain.is_late(wall_ms)
            grace = self.settings.grace if drain is None else drain.grace
            patient = wall_ms - cordon.since_ms < grace.total_seconds() * 1000
            for placement in list(machine.placements.values()):
                run = placement.run
                if placement.halt_at is not None or run.over or placement.phase != Phase.SEEN:
                    continue
                if run.spec.kind == GANG:
                    if run.spec.id in seen or run.stopping:
                        continue
                    seen.add(run.spec.id)
                if forced:
                    self.take(decision, placement, Cause.FORCED, now)
                    continue
                why = "quiet hours to end" if quiet else self._wait(placement, patient, now)
                if not why and looked < LOOKED_AT:
                    looked += 1
                    needs_room = patient or run.spec.kind == SERVICE
                    if needs_room and not room_elsewhere(run, placement, open_machines, board.drained):
                        why = f"room elsewhere for {placement.name}"
                    else:
                        why = self.take(decision, placement, Cause.DRAIN, now)
                if why:
                    self.waits.setdefault(name, why)

    def _wait(self, placement: Placement, patient: bool, now: datetime) -> str:
        """What is to be waited for before this task is stopped; "": nothing."""
        run, spec = placement.run, placement.run.spec
        if not patient:
            return ""
        if spec.kind == SERVICE:
            return "" if placement.state == wire.RUNNING else f"{placement.name} to be up"
        remaining = self._remaining(placement, now)
        rigid = spec.checkpoint_s <= 0 and placement.running_since is not None
        if rigid or remaining <= max(self.settings.soon, seconds(spec.save_s * 2)):
            return f"{placement.name} to end in about {max(0, round(remaining.total_seconds()))} s"
        if spec.kind == GANG:
            if len(run.placed) < spec.tasks or any(p.state != wire.RUNNING for p in run.placed.values()):
                return f"gang {spec.id} to run as a whole"
            if not all(self.board.is_heard(p.machine, now) for p in run.placed.values()):
                return f"to hear of all of gang {spec.id}"
        if placement.running_since is not None and spec.checkpoint_s > 0:
            ran = (now - placement.running_since).total_seconds() % spec.checkpoint_s
            if ran > max(AFTER_SAVE * spec.checkpoint_s, AFTER_SAVE_LEAST.total_seconds()):
                return f"the next checkpoint of {placement.name}"
        return ""

    def take(self, decision: Decision, placement: Placement, cause: Cause, now: datetime, urgent: bool = False) -> str:
        """Put a task, or its whole gang, among those that are to stop, with a place in the account; why not, or ""."""
        run = placement.run
        placements = list(run.placed.values()) if run.spec.kind == GANG else [placement]
        indices = [p.index for p in placements]
        if cause == Cause.FORCED:
            self.account.take_down(run, indices, cause, now)
        else:
            why = self.account.reserve(run, indices, now)
            if why:
                return why
        decision.stops.append(Stop(run, placements, cause, urgent))
        return ""

    # -- carrying out -------------------------------------------------------------------------

    def carry_out(self, decision: Decision, now: datetime) -> None:
        """It is recorded: do it, as far as it still holds."""
        board = self.board
        for name, cordon in decision.cordons.items():
            machine = board.machines.get(name)
            self.cordons[name] = cordon
            self.progress[cordon.drain] = now
            board.drained[name] = cordon.drain
            if machine is not None:
                for placement in list(machine.placements.values()):
                    if placement.phase in (Phase.PLANNED, Phase.READY):
                        # Its order never went out: it is planned anew, elsewhere.
                        board.stop(placement, ZERO, now)
        for name in decision.lifted:
            self.cordons.pop(name, None)
            board.drained.pop(name, None)
            board.changed = True
        for drain in decision.ended:
            self.drains.pop(drain.name, None)
        for stop in decision.stops:
            still = [p for p in stop.placements if stop.run.placed.get(p.index) is p and p.halt_at is None]
            whole = stop.run.spec.kind != GANG or len(still) == len(stop.placements)
            if (
                not still
                or stop.run.over
                or not whole
                or (stop.cause == Cause.DRAIN and self.account.exceeds(stop.run, len(stop.placements)))
            ):
                self._give_back(stop)
                continue
            if stop.run.spec.checkpoint_s > 0 or stop.run.spec.kind == GANG:
                board.stop_gently(still[0], now, cause=stop.cause)
            else:
                board.stop(still[0], ZERO, now, urgent=stop.urgent, cause=stop.cause)

    def put_back(self, decision: Decision) -> None:
        """It could not be recorded."""
        for stop in decision.stops:
            self._give_back(stop)
        for cordon in decision.cordons.values():
            if cordon.matched:
                self.pool.unmatch(cordon.kind)

    def _give_back(self, stop: Stop) -> None:
        """Not stopped after all: what runs still counts as up."""
        for placement in stop.placements:
            here = stop.run.placed.get(placement.index) is placement and placement.halt_at is None
            if here and placement.state == wire.RUNNING:
                self.account.bring_up(stop.run, [placement.index])

    def finish(self, now: datetime) -> list[Machine]:
        """Empty machines leave; tasks that ignore their halt are told to stop at once. Which machines left."""
        board = self.board
        left: list[Machine] = []
        late = board.settings.params.workers.report * STUBBORN
        for name in self.cordons:
            machine = board.machines.get(name)
            if machine is None or machine.leaving:
                continue
            for placement in list(machine.placements.values()):
                if (
                    placement.halt_at is not None
                    and placement.halt_grace > ZERO
                    and now > placement.halt_at + placement.halt_grace + late
                ):
                    board.stop(placement, ZERO, now, urgent=True)
            # What it told of ends has to be recorded, and taken by it, before it goes.
            if not machine.placements and not machine.exits and (machine.booting or board.is_heard(machine, now)):
                machine.leaving = True
                left.append(machine)
        return left

    # -- told ---------------------------------------------------------------------------------

    def step_of(self, machine: Machine) -> Step:
        if machine.leaving and not machine.placements:
            return Step.LEAVING
        if machine.name not in self.cordons:
            return Step.WAITING
        halted = any(p.halt_at is not None for p in machine.placements.values())
        return Step.MOVING if halted else Step.CORDONED

    def machines_of(self, drain: str) -> Iterator[Machine]:
        for name, owner in self.owners.items():
            if owner == drain and name in self.board.machines:
                yield self.board.machines[name]

    def expected_s(self, drain: str) -> float:
        """Seconds until all of a drain's machines have gone, as measured so far, or by settings and catalog."""
        kinds: dict[str, int] = {}
        for machine in self.machines_of(drain):
            kinds[machine.type.name] = kinds.get(machine.type.name, 0) + 1
        usual = sorted(self.took)[len(self.took) // 2] if self.took else self.settings.soon
        waves = (
            -(-count // self.pool.most(kind)) * (usual + self.pool.boot(kind)).total_seconds()
            for kind, count in kinds.items()
        )
        return round(max(waves, default=0.0), 1)


def room_elsewhere(run: JobRun, placement: Placement, machines: list[Machine], drained: Container[str]) -> bool:
    """Whether what is stopped here would find room at once: a task by itself, a gang as a whole."""
    spec = run.spec
    if spec.kind != GANG:
        most = (spec.tasks + 1) // 2
        for machine in machines:
            if not suits(spec, machine) or machine is placement.machine or machine.room(spec, 0.0) < 1:
                continue
            others = [p for p in run.placed.values() if p is not placement]
            if spec.one_zone and any(p.machine.zone != machine.zone for p in others):
                continue
            if spec.spread and sum(p.machine.zone == machine.zone for p in others) >= most:
                continue
            return True
        return False
    zones: dict[str, int] = {}
    staying: dict[str, int] = {}
    for mate in run.placed.values():
        if mate.machine.name not in drained and not mate.machine.leaving:
            staying[mate.machine.zone] = staying.get(mate.machine.zone, 0) + 1
    for machine in machines:
        if suits(spec, machine):
            zones[machine.zone] = zones.get(machine.zone, 0) + machine.room(spec, 0.0)
    return _gang_fits(spec, {zone: zones.get(zone, 0) + staying.get(zone, 0) for zone in zones.keys() | staying.keys()})


def _gang_fits(spec: JobSpec, zones: dict[str, int]) -> bool:
    if spec.one_zone:
        return any(count >= spec.tasks for count in zones.values())
    if spec.spread:
        return sum(min(count, (spec.tasks + 1) // 2) for count in zones.values()) >= spec.tasks
    return sum(zones.values()) >= spec.tasks
