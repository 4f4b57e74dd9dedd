"""Recorded load in simulated time, against a stand-in provider, with the service's own planning code.

The board, the planning passes, rental, give-back and renting ahead are those that a leader runs. What is left
out: reports, records and failures, so orders reach machines at once. Weeks before the measured one are only
counted, as a leader would have counted them. Boot times and run times are drawn by machine and by task, so
every policy meets the same ones.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from heapq import heappop, heappush
from typing import Any

import numpy as np

from roseweir.clock import START, seconds
from roseweir.cloud.desk import SPILL
from roseweir.cloud.plan import REFUSED, Offer, Want, surplus, wanted
from roseweir.forecast.history import Pool
from roseweir.forecast.planner import Planner
from roseweir.forecast.settings import AheadSettings
from roseweir.forecast.tools.load import Arrival
from roseweir.forecast.tools.site import Site
from roseweir.limits.rules import renew_class_limits, renew_fetch_limits
from roseweir.placement.board import Board
from roseweir.placement.learning import BOOTS_KEPT
from roseweir.placement.model import JobRun, Machine, Phase, Placement
from roseweir.placement.plan import Pass, plan
from roseweir.submissions.jobs import GANG, SERVICE, ended
from roseweir.tuning import Tuning
from roseweir.workers import messages as wire

# Rental decides every second while something is under way, else this often.
BUSY_S, QUIET_S = 1.0, 10.0
LIMITS_S = 1.0
# Boots, as multiples of the catalog's figure: mostly within these, a few several times as long.
BOOT_RANGE, BOOT_SLOW, BOOT_SLOW_SHARE = (0.6, 1.5), 3.0, 0.03
# Images come a third faster or slower than the catalog's rate.
FETCH_RANGE = (0.75, 1.5)
RUN_SPREAD = 0.25
LEAST_CHARGED_S = 60.0


@dataclass
class Start:
    """A task's first start."""

    job_class: str
    submitted: float
    wait: float


@dataclass
class Outcome:
    starts: list[Start] = field(default_factory=list)
    idle_machine_h: float = 0.0
    machine_h: float = 0.0
    ahead_machine_h: float = 0.0  # of them, kept or rented ahead while idle
    cost: float = 0.0
    unfinished: int = 0
    refusals: int = 0
    # (seconds since 1970, units offered, units standing, units held ahead), a row a slot
    course: list[tuple[float, float, float, float]] = field(default_factory=list)
    # machine-hours held ahead by local day
    ahead_by_day: dict[str, float] = field(default_factory=dict)
    longest_wait: float = 0.0


class Replay:
    def __init__(
        self,
        site: Site,
        tuning: Tuning,
        ahead: AheadSettings,
        load: list[Arrival],
        measure_from: float,
        seed: int,
        switched_on: bool,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        self.site = site
        self.settings = ahead
        self.load = load
        self.begin = measure_from
        self.end = load[-1].at
        self.seed = seed
        self.switched_on = switched_on
        self.progress = progress
        self.tuning = tuning
        self.board = Board(site.settings, tuning, 1, self._steady(self.begin))
        self.board.catalog = dict(site.catalog)
        self.planner = Planner(ahead, self.board)
        self.outcome = Outcome()
        self.refused: dict[Offer, datetime] = {}
        self.last_pass = Pass()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = 0
        self._rented: dict[str, float] = {}
        self._up: dict[str, float] = {}
        self._idle: dict[str, float] = {}
        self._images: dict[tuple[str, str], float] = {}
        self._first: dict[str, set[int]] = {}
        self._runs: OrderedDict[str, Any] = OrderedDict()
        self._left: dict[tuple[str, int], float] = {}
        self._halting: set[tuple[str, int, int]] = set()
        self._numbers_of: dict[str, int] = {}
        self._machines = 0
        self._limits_at = -math.inf
        self._slot = -1
        self._ahead_at = -math.inf

    def _steady(self, at: float) -> datetime:
        # The board's clock must begin well after its NEVER.
        return START + seconds(at - self.begin)

    def _later(self, at: float, act: Callable[[float], None]) -> None:
        self._numbers += 1
        heappush(self._events, (at, self._numbers, act))

    # -- the course of time -------------------------------------------------------------------

    def run(self) -> Outcome:
        history = self.planner.history
        index = 0
        while index < len(self.load) and self.load[index].at < self.begin:
            arrival = self.load[index]
            run = JobRun(arrival.spec, 0, bytearray())
            history.count(self.planner.demand_of(run, arrival.at))
            index += 1
        history.roll(self.begin)
        first = self.load[0].at
        for slot in range(history.slot_of(first), history.slot_of(self.begin)):
            if history.holds(slot):
                history.covered[slot % history.size] = history.slot_s
        at = decide = self.begin
        watched = self.begin
        # A while longer than the load, so that what was asked for last can end.
        close = self.end + 6 * 3600
        while True:
            next_at = min(self._events[0][0] if self._events else math.inf, decide)
            if index < len(self.load):
                next_at = min(next_at, self.load[index].at)
            elif not self.board.jobs and at > self.end:
                break
            if next_at > close:
                break
            at = next_at
            history.roll(at)
            history.cover(watched, at)
            watched = at
            while self._events and self._events[0][0] <= at:
                heappop(self._events)[2](at)
            while index < len(self.load) and self.load[index].at <= at:
                self._arrive(index, at)
                index += 1
            if self.board.changed or at >= decide:
                self._pass(at)
            if at >= decide:
                self._decide(at)
                busy = self.last_pass.left or any(m.booting for m in self.board.machines.values())
                decide = at + (BUSY_S if busy else QUIET_S)
            self._draw_course(at)
        self._close(at)
        return self.outcome

    def _arrive(self, index: int, at: float) -> None:
        spec = self.load[index].spec
        run = self.board.add_job(spec, index)
        self._numbers_of[spec.id] = index
        self.planner.history.count(self.planner.demand_of(run, at))

    def _pass(self, at: float) -> None:
        now, board = self._steady(at), self.board
        for machine in board.machines.values():
            if not machine.booting:
                machine.heard = now
        if at - self._limits_at >= LIMITS_S:
            self._limits_at = at
            up = [(m.zone, m.type) for m in board.machines.values() if m.shown and not m.leaving]
            renew_fetch_limits(board.limits, up, board.tuning, now)
            renew_class_limits(board.limits, board.tuning, now)
            board.limits.expire(now)
        board.changed = False
        waiting = any(run.pending > 0 for run in board.jobs.values())
        self.last_pass = plan(board, now) if waiting else Pass()
        for placement in board.planned:
            if placement.run.placed.get(placement.index) is placement and placement.phase == Phase.PLANNED:
                placement.phase = Phase.SEEN
                self._start(placement, at)
        board.planned.clear()
        board.urgent.clear()
        board.dirty_machines.clear()
        board.dirty_jobs.clear()
        for run in list(board.jobs.values()):
            for placement in list(run.placed.values()):
                if placement.halt_at is not None:
                    self._halt(placement, at)

    # -- machines -----------------------------------------------------------------------------

    def _decide(self, at: float) -> None:
        now, board = self._steady(at), self.board
        wants, exhausted = wanted(board, self.last_pass, self.refused, round(at * 1000), now)
        if exhausted:
            board.spill_until = now + SPILL
        kept: dict[str, str] = {}
        if self.switched_on:
            ahead = self.planner.plan(wants, self.refused, at, now)
            wants += ahead.wants
            kept = ahead.kept
            self._count_ahead(kept, at)
        for want in wants:
            self._rent(want, at)
        for machine, _ in surplus(board, self.last_pass, now, kept):
            machine.leaving = True
            if not machine.placements:
                self._give_back(machine, at)

    def _count_ahead(self, kept: dict[str, str], at: float) -> None:
        if self._ahead_at > -math.inf:
            hours = (at - self._ahead_at) / 3600 * len(kept)
            self.outcome.ahead_machine_h += hours
            day = self.planner.forecast.local(self.planner.history.slot_of(at)).date().isoformat()
            self.outcome.ahead_by_day[day] = self.outcome.ahead_by_day.get(day, 0.0) + hours
        self._ahead_at = at

    def _rent(self, want: Want, at: float) -> None:
        offer = (want.type_name, want.zone, want.spot)
        board, now = self.board, self._steady(at)
        kind = board.catalog[want.type_name]
        taken = sum((m.type.name, m.zone, m.spot) == offer for m in board.machines.values())
        count = min(want.count, self.site.capacity - taken)
        if count < want.count:
            self.refused[offer] = now + REFUSED
            self.outcome.refusals += 1
        if count > 0:
            board.obtained.add(offer)
        for _ in range(count):
            self._machines += 1
            name = f"i-{self._machines:06d}"
            machine = Machine(name, kind, want.zone, want.spot, known_since=now, rented_at=now, rented=True)
            machine.booting = True
            board.machines[name] = machine
            self._rented[name] = at
            draws = np.random.default_rng([self.seed, 1, self._machines])
            factor = draws.uniform(*BOOT_RANGE) * (BOOT_SLOW if draws.random() < BOOT_SLOW_SHARE else 1.0)
            self._later(at + kind.boot_s * float(factor), lambda then, m=machine: self._come_up(m, then))  # type: ignore[misc]

    def _come_up(self, machine: Machine, at: float) -> None:
        if machine.name not in self.board.machines:
            return
        report = wire.Report(
            machine.name, "10.0.0.1:1", machine.type.name, machine.zone, machine.spot, 1, 1, self.board.term, []
        )
        self.board.take_report(report, self._steady(at))
        self._up[machine.name] = self._idle[machine.name] = at
        self.board.changed = True

    def _give_back(self, machine: Machine, at: float) -> None:
        name = machine.name
        self.board.forget_machine(name, self._steady(at), "released")
        del self.board.gone[name]
        self._pay(machine, self._rented.pop(name), at)
        self._up.pop(name, None)
        if name in self._idle:
            self._count_idle(name, at)

    def _pay(self, machine: Machine, rented: float, at: float) -> None:
        hours = max(LEAST_CHARGED_S, at - rented) / 3600
        self.outcome.machine_h += hours
        self.outcome.cost += hours * (machine.type.spot_price if machine.spot else machine.type.price)

    def _count_idle(self, name: str, at: float) -> None:
        self.outcome.idle_machine_h += (at - self._idle.pop(name)) / 3600

    def _close(self, at: float) -> None:
        for machine in list(self.board.machines.values()):
            self._give_back(machine, at)
        self.outcome.unfinished = sum(run.spec.kind != SERVICE for run in self.board.jobs.values())

    # -- tasks --------------------------------------------------------------------------------

    def _start(self, placement: Placement, at: float) -> None:
        machine, spec = placement.machine, placement.run.spec
        if machine.name in self._idle:
            self._count_idle(machine.name, at)
        key = (machine.name, spec.image)
        if spec.image and not (spec.image in machine.images and key in self._images):
            draws = np.random.default_rng([self.seed, 3, int(machine.name[2:]), len(machine.images)])
            factor = float(draws.uniform(*FETCH_RANGE))
            fetch = spec.image_gb / max(machine.type.fetch_gb_per_s, 0.01) * factor
            times = self.board.fetches.setdefault(machine.type.name, deque(maxlen=BOOTS_KEPT))
            times.append((self._steady(at + fetch), factor))
            self._images[key] = max(self._images.get(key, 0.0), at + fetch)
            machine.keep_image(spec.image, spec.image_gb)
        begins = max(at, self._images.get(key, at))
        if spec.kind == GANG:
            mates = placement.run.placed.values()
            begins = max(begins, *(self._images.get((m.machine.name, spec.image), at) for m in mates))
        placement.state = wire.RUNNING
        placement.running_since = self._steady(begins)
        first = self._first.setdefault(spec.id, set())
        if placement.index not in first:
            first.add(placement.index)
            submitted = spec.accepted_ms / 1000
            self.outcome.starts.append(Start(spec.job_class, submitted, begins - submitted))
        left = self._left.get((spec.id, placement.index))
        ends = begins + (self._run_time(placement) if left is None else left)
        if spec.kind != SERVICE:
            self._later(ends, lambda then: self._finish(placement, then))

    def _run_time(self, placement: Placement) -> float:
        spec = placement.run.spec
        drawn = self._runs.get(spec.id)
        if drawn is None:
            draws = np.random.default_rng([self.seed, 2, self._numbers_of[spec.id]])
            # A gang runs as fast as its slowest.
            size = 1 if spec.kind == GANG else spec.tasks
            drawn = self._runs[spec.id] = draws.lognormal(0.0, RUN_SPREAD, size)
            if len(self._runs) > 2000:
                self._runs.popitem(last=False)
        return max(1.0, spec.estimate_s * float(drawn[0 if spec.kind == GANG else placement.index]))

    def _finish(self, placement: Placement, at: float) -> None:
        run, machine = placement.run, placement.machine
        if run.placed.get(placement.index) is not placement or placement.halt_at is not None:
            return
        now = self._steady(at)
        self.board.learning.remove_done(placement, now)
        run.failures = 0
        self._left_machine(machine, at)
        run.unsaved.clear()
        if run.spec.kind == GANG:
            for mate in list(run.placed.values()):
                self.board.remove(mate, now)
                self._left_machine(mate.machine, at)
        if run.complete and not run.over:
            self.board.end_job(run.spec.id, ended(run.spec, "done"), now)
            self._first.pop(run.spec.id, None)
            self.planner.history.end(run.spec.id, at)

    def _left_machine(self, machine: Machine, at: float) -> None:
        if not machine.placements and machine.name in self._up and machine.name not in self._idle:
            self._idle[machine.name] = at

    def _halt(self, placement: Placement, at: float) -> None:
        """A task that makes way saves, if it can, and goes."""
        spec = placement.run.spec
        key = (spec.id, placement.index, placement.attempt)
        if key in self._halting:
            return
        self._halting.add(key)
        if spec.checkpoint_s > 0 and placement.running_since is not None:
            ran = (self._steady(at) - placement.running_since).total_seconds()
            before = self._left.get((spec.id, placement.index)) or self._run_time(placement)
            self._left[spec.id, placement.index] = max(1.0, before - max(0.0, ran))
        self._later(at + (spec.save_s if spec.checkpoint_s > 0 else 0.0), lambda then: self._gone(placement, then))

    def _gone(self, placement: Placement, at: float) -> None:
        self._halting.discard((placement.run.spec.id, placement.index, placement.attempt))
        if placement.run.placed.get(placement.index) is placement:
            self.board.remove(placement, self._steady(at))
            self._left_machine(placement.machine, at)

    # -- what is drawn ------------------------------------------------------------------------

    def _draw_course(self, at: float) -> None:
        slot = self.planner.history.slot_of(at)
        if slot == self._slot:
            return
        self._slot = slot
        history = self.planner.history
        offered = sum(peak for key, _, peak, _ in history.loads(slot - 1) if not key.pool.gpus)
        there = sum(m.type.cpus for m in self.board.machines.values() if m.type.gpus <= 0)
        held = sum(need.units for need in self.planner.needs if not need.pool.gpus) if self.switched_on else 0.0
        self.outcome.course.append(((slot - 1) * float(history.slot_s), offered, there, held))
        if self.end > self.begin:
            self.progress(min(1.0, (at - self.begin) / (self.end - self.begin)))


def true_peaks(replay: Replay) -> dict[int, dict[Pool, float]]:
    """What each pool will have been asked for in each slot of the measured time: a forecast that knows the future."""
    planner = Planner(replay.settings, replay.board)
    found: dict[int, dict[Pool, float]] = {}
    for arrival in replay.load:
        run = JobRun(arrival.spec, 0, bytearray())
        planner.history.count(planner.demand_of(run, arrival.at))
    planner.history.roll(replay.end)
    for slot in range(planner.history.slot_of(replay.begin), planner.history.slot_of(replay.end) + 1):
        if planner.history.holds(slot):
            found[slot] = planner.forecast.demand(slot)
    return found
