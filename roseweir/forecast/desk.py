"""The leader's dealings with demand: count it as it is accepted, keep it, and say what to have ready."""

import logging
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, TypeVar

from roseweir import clock
from roseweir.clock import NEVER, pause, steady
from roseweir.cloud.plan import Offer, Want
from roseweir.forecast.ahead import Ahead, Hold
from roseweir.forecast.planner import Planner
from roseweir.forecast.settings import AheadSettings
from roseweir.forecast.store import Deposed, Store
from roseweir.placement.board import Board
from roseweir.placement.model import JobRun
from roseweir.state import StateClient

log = logging.getLogger(__name__)

TICK = timedelta(seconds=1)
# The open hour's block is written this often, and twice when the hour is over: 57 changes an hour at most. What a
# take-over loses of a slot leaves enough of it watched for its count to be used.
SAVE = timedelta(seconds=65)
REPORT = timedelta(seconds=60)
# News that comes further apart than this leaves the time between unknown.
GAP = timedelta(seconds=5)
# How far `describe` looks ahead.
SHOWN = timedelta(hours=2)


T = TypeVar("T")


class AheadDesk:
    def __init__(
        self,
        settings: AheadSettings,
        board: Board,
        state: StateClient,
        leader_version: int,
        depose: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.board = board
        self.planner = Planner(settings, board)
        self.history = self.planner.history
        self.store = Store(state, self.history, leader_version)
        self._depose = depose
        self.loaded = False
        self.broken = ""  # the fault that stopped it
        # Jobs and ends that came before the history was read, in their order.
        self._early: list[tuple[JobRun, int] | str] = []
        self._known: set[str] = set()
        self._revision = 0
        self._news = NEVER
        # Time that was watched before the history was read: (from, to) of the wall clock.
        self._watched: list[tuple[float, float]] = []

    # -- what the leader learns ---------------------------------------------------------------

    def _safely(self, act: Callable[[], T], otherwise: T) -> T:
        """A fault in here must not end the term: renting ahead stops, and everything else goes on."""
        if self.broken:
            return otherwise
        try:
            return act()
        except Exception as e:
            self._fail(e)
            return otherwise

    def _fail(self, error: Exception) -> None:
        self.broken = f"{type(error).__name__}: {error}"
        log.exception("renting ahead has stopped for this term")

    def learn(self, run: JobRun, version: int) -> None:
        """A job that is accepted, and the revision that its acceptance made."""
        self._safely(lambda: self._learn(run, version), None)

    def ended(self, job_id: str) -> None:
        self._safely(lambda: self._end(job_id), None)

    def news(self, revision: int, sent: datetime, whole: bool = True) -> None:
        """Every job accepted up to this revision has been learned. `whole`: those that ended since, too."""
        self._safely(lambda: self._hear(revision, sent, whole), None)

    def plan(
        self, wants: list[Want], refused: dict[Offer, datetime], now: datetime
    ) -> tuple[list[Want], dict[str, str]]:
        """For the cloud's desk: what else to rent, and the machines to keep ready."""
        nothing: tuple[list[Want], dict[str, str]] = ([], {})
        return self._safely(lambda: self._plan(wants, refused, now), nothing)

    def _learn(self, run: JobRun, version: int) -> None:
        if run.over or run.spec.id in self._known:
            return
        self._known.add(run.spec.id)
        if self.loaded:
            self._count(run, version)
        else:
            self._early.append((run, version))

    def _end(self, job_id: str) -> None:
        if job_id not in self._known:
            return
        self._known.discard(job_id)
        if self.loaded:
            self.history.end(job_id, _wall())
        else:
            self._early.append(job_id)

    def _hear(self, revision: int, sent: datetime, whole: bool) -> None:
        now, wall = steady(), _wall()
        if whole and self._news != NEVER and sent - self._news <= GAP:
            span = (wall - (now - self._news).total_seconds(), wall - (now - sent).total_seconds())
            if self.loaded:
                self.history.roll(wall)
                self.history.cover(*span)
            elif span[1] > span[0]:
                self._watched.append(span)
        self._news = max(self._news, sent)
        self._revision = max(self._revision, revision)

    def _count(self, run: JobRun, version: int) -> None:
        self.history.count(self.planner.demand_of(run, _wall()), again=version <= self.history.mark)

    # -- routine ------------------------------------------------------------------------------

    async def run(self) -> None:
        try:
            await self._run()
        except Exception as e:
            self._fail(e)

    async def _run(self) -> None:
        await self.store.load(_wall())
        self._begin()
        saved = reported = steady()
        while not self.broken:
            await pause(TICK)
            self.history.roll(_wall())
            now = steady()
            if now - saved >= SAVE:
                saved = now
                self.history.mark = max(self.history.mark, self._revision)
                try:
                    await self.store.save()
                except Deposed as e:
                    self._depose(str(e))
                    return
            if now - reported >= REPORT:
                reported = now
                self._report()

    def _begin(self) -> None:
        wall = _wall()
        self.history.roll(wall)
        early, self._early = self._early, []
        for entry in early:
            if isinstance(entry, str):
                self.history.end(entry, wall)
            else:
                self._count(*entry)
        for span in self._watched:
            self.history.cover(*span)
        self._watched.clear()
        self.loaded = True
        days = self.planner.forecast.days(wall)
        log.info("demand history: %d days known, %d series", days, len(self.history.series))

    def _plan(
        self, wants: list[Want], refused: dict[Offer, datetime], now: datetime
    ) -> tuple[list[Want], dict[str, str]]:
        if not self.loaded:
            return [], {}
        ahead = self.planner.plan(wants, refused, _wall(), now)
        return ahead.wants, ahead.kept

    # -- for operators ------------------------------------------------------------------------

    def _report(self) -> None:
        ahead = self.planner.ahead
        if not ahead.holds:
            log.info("nothing is held ahead: %s", self.planner.forecast.history_says() or "no demand is expected")
        for hold in ahead.holds:
            log.info("ahead: %s", _words(hold))

    def summary(self) -> dict[str, Any]:
        """For `status`: how many machines are held ahead, and why."""
        ahead = Ahead() if self.broken else self.planner.ahead
        return {
            "machines_ahead": len(ahead.kept),
            "ahead": [f"stopped: {self.broken}"] if self.broken else [_words(hold) for hold in ahead.holds],
        }

    def describe(self) -> dict[str, Any]:
        """For `forecast show`: what is expected, why, what is held, and what is known."""
        return self._safely(self._describe, {"loaded": False, "broken": self.broken})

    def _describe(self) -> dict[str, Any]:
        wall = _wall()
        forecast, ahead, history = self.planner.forecast, self.planner.ahead, self.history
        now_slot = history.slot_of(wall)
        expected = []
        for slot in range(now_slot, now_slot + round(SHOWN / self.settings.slot)) if self.loaded else ():
            for pool, found in forecast.expect(slot).items():
                if found.units <= 0:
                    continue
                factor, why = forecast.level(pool, found.units, now_slot)
                expected.append(
                    {
                        "at": forecast.local(slot).isoformat(timespec="minutes"),
                        "pool": str(pool),
                        "low": round(found.low, 1),
                        "middle": round(found.middle, 1),
                        "high": round(found.units, 1),
                        "level": round(factor, 2),
                        "why": found.why + (f", {why}" if why else ""),
                    }
                )
        return {
            "loaded": self.loaded,
            "why_none": forecast.history_says() if self.loaded else "the history is being read",
            "days_known": forecast.days(wall) if self.loaded else 0,
            "series": len(history.series),
            "keys_most": self.store.keys_most,
            "writes": self.store.writes,
            "unreadable_keys": self.store.nonsense,
            "quantile": round(self.settings.quantile, 3),
            "expected": expected,
            "held": [
                {
                    "pool": str(hold.need.pool),
                    "units": round(hold.need.units, 1),
                    "by": forecast.local(history.slot_of(hold.need.by)).isoformat(timespec="minutes"),
                    "standing": round(hold.standing, 1),
                    "idle_machines": hold.idle,
                    "renting": hold.renting,
                    "short": round(hold.short, 1),
                    "why": hold.need.why,
                }
                for hold in ahead.holds
            ],
            "price_an_hour": round(ahead.price, 2),
        }


def _words(hold: Hold) -> str:
    need = hold.need
    text = f"{need.units:.3g} units of {need.pool}, {hold.standing:.3g} there, {hold.idle} machines idle for it"
    if hold.renting:
        text += f", renting {hold.renting}"
    if hold.short > 1e-6:
        text += f", {hold.short:.3g} short (ceiling or no capacity)"
    return f"{text}: {need.why}"


def _wall() -> float:
    return clock.wall().timestamp()
