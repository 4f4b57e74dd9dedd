"""History, forecast and plan together, as a leader and a replay use them. Pure."""

import math
from collections.abc import Callable
from datetime import datetime

from roseweir.clock import ZERO
from roseweir.cloud.plan import Offer, Want, time_left, units
from roseweir.forecast.ahead import Ahead, lead_s, plan_ahead, sample_job
from roseweir.forecast.history import Demand, History, Key, Pool, Shape
from roseweir.forecast.predict import Forecast, Need, guest_teams
from roseweir.forecast.settings import AheadSettings
from roseweir.placement.board import Board
from roseweir.placement.model import JobRun
from roseweir.placement.plan import most_at_once
from roseweir.submissions.jobs import SERVICE, JobSpec

# Needs change with the slots; looking at them more often than this only costs.
LOOK_S = 10.0
# Each refusal of the last minutes moves orders this much further ahead, up to so much.
REFUSED_S, REFUSED_FOR_S, REFUSED_MOST_S = 12.0, 600.0, 120.0

Needs = Callable[[float, dict[Pool, float]], list[Need]]


class Planner:
    def __init__(self, settings: AheadSettings, board: Board) -> None:
        self.settings = settings
        self.board = board
        guests = guest_teams(board.teams.values())
        self.history = History(settings.slot_s, settings.weeks, settings.series_most, guests)
        self.forecast = Forecast(settings, board.teams, self.history, guests)
        # Where needs come from: the forecast, or what a replay compares it with.
        self.source: Needs = self.forecast.needs
        self.needs: list[Need] = []
        self.ahead = Ahead()
        self._looked = -math.inf
        self._refusals: list[float] = []

    def demand_of(self, run: JobRun, now: float) -> Demand:
        """What a job asks for at once: all that its team's limit allows, or what meets a loose deadline."""
        spec, board = run.spec, self.board
        most = spec.tasks if spec.whole else min(spec.tasks, max(1, most_at_once(board, spec)))
        estimate = max(1.0, board.estimate(spec).total_seconds())
        work = spec.tasks * units(spec) * estimate
        at_once = most * units(spec)
        if spec.deadline_s is not None and not spec.whole:
            left = max(estimate, time_left(board, run, ZERO).total_seconds())
            at_once = min(at_once, max(units(spec), work / left))
        span = math.inf if spec.kind == SERVICE else work / at_once if at_once > 0 else estimate
        key = Key(self._pool(spec), spec.job_class, spec.team)
        shape = Shape(spec.cpus, spec.gpus, spec.memory_gb, spec.image_gb)
        # Clocks differ by a bounded skew: nothing was accepted later than now.
        at = min(spec.accepted_ms / 1000, now)
        return Demand(spec.id, key, shape, at, span, at_once, work, spec.tasks)

    def _pool(self, spec: JobSpec) -> Pool:
        fitting = [kind.name for kind in self.board.catalog.values() if spec.fits(kind)]
        possible = [kind.name for kind in self.board.catalog.values() if (kind.gpus > 0) == (spec.gpus > 0)]
        types = None if set(fitting) >= set(possible) else tuple(sorted(fitting))
        return Pool(spec.gpus > 0, types, spec.zone, spec.spot)

    def leads(self, now: float) -> dict[Pool, float]:
        """How long before it is needed a machine has to be ordered, by pool."""
        self._refusals = [at for at in self._refusals if now - at < REFUSED_FOR_S]
        extra = min(REFUSED_MOST_S, REFUSED_S * len(self._refusals))
        found: dict[Pool, float] = {}
        for pool, shape in self.forecast.shapes().items():
            spec = sample_job(Need(pool, shape, 0.0, now, ""))
            found[pool] = (
                lead_s(spec, shape.image_gb, self.board.catalog, self.history.boots, self.history.fetches) + extra
            )
        return found

    def plan(self, wants: list[Want], refused: dict[Offer, datetime], wall: float, now: datetime) -> Ahead:
        """What joins the second's rentals. `wall`: seconds since 1970; `now`: the steady clock."""
        self.history.roll(wall)
        self.history.note_times(self.board.boots, self.board.fetches)
        if wall - self._looked >= LOOK_S or wall < self._looked:
            self._looked = wall
            self.needs = self.source(wall, self.leads(wall))
        self.ahead = plan_ahead(self.board, self.needs, wants, refused, self.settings, now)
        lacking = any(hold.short > 0 for hold in self.ahead.holds) and any(until > now for until in refused.values())
        if lacking and (not self._refusals or wall - self._refusals[-1] >= REFUSED_S):
            self._refusals.append(wall)
        return self.ahead
