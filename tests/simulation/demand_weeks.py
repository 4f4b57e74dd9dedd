"""Weeks of demand, recorded as by a leader that accepts the jobs."""

from collections.abc import Callable
from datetime import datetime, timedelta
from zoneinfo import ZoneInfo

from roseweir.calendars import Calendar
from roseweir.forecast.demand_history import Demand, Pool, SeriesKey, TaskShape
from roseweir.forecast.scaling_planner import ScalingPlanner
from roseweir.forecast.settings import PredictiveScalingSettings
from tests.test_scheduler import make_cluster_state

CPU_POOL = Pool(False, None, None, True)
TORONTO = "America/Toronto"


def make_demand(
    at: float, units: float = 40.0, span: float = 1800.0, team: str = "t0", job_class: str = "c", number: int = 0
) -> Demand:
    key = SeriesKey(CPU_POOL, job_class, team)
    name = f"j-{round(at * 1000) * 1000 + number}"
    return Demand(name, key, TaskShape(2.0, 0.0, 4.0, 1.0), at, span, units, units * span, int(units / 2))


class DemandWeeks:
    """A planner with a demand history in local time.

    `pass_days` records demand from 16:30 to 18:00 on each day for which `burst` returns units.
    """

    def __init__(self, calendar: Calendar | None = None, zone: str = TORONTO, **settings: object) -> None:
        calendar = calendar or Calendar()
        calendar.time_zone = zone
        self.settings = PredictiveScalingSettings(calendar=calendar, **settings)  # type: ignore[arg-type]
        self.cluster_state = make_cluster_state()
        self.planner = ScalingPlanner(self.settings, self.cluster_state)
        self.history, self.forecaster = self.planner.history, self.planner.forecaster
        self.zone = ZoneInfo(zone)
        self.watched_until = 0.0

    def timestamp(self, text: str) -> float:
        return datetime.fromisoformat(text).replace(tzinfo=self.zone).timestamp()

    def watch_until(self, until: float, known: bool = True) -> None:
        """Advances time hour by hour, as only the open hour can be counted; `known`: the time counts as watched."""
        while self.watched_until < until:
            interval_start, self.watched_until = self.watched_until, min(until, self.watched_until + 3600)
            self.history.advance_to(self.watched_until)
            if known:
                self.history.mark_watched(interval_start, self.watched_until)

    def pass_days(
        self,
        first: str,
        days: int,
        burst: Callable[[datetime], float] = lambda day: 40.0,
        known: Callable[[datetime], bool] = lambda day: True,
        hour: str = "16:30",
    ) -> None:
        day = datetime.fromisoformat(first)
        self.watched_until = self.watched_until or self.timestamp(first)
        for _ in range(days):
            burst_start = self.timestamp(f"{day.date()}T{hour}")
            self.watch_until(burst_start, known(day))
            for half_hour in range(3):
                units = burst(day)
                if units > 0 and known(day):
                    self.history.record_accepted_job(make_demand(burst_start + half_hour * 1800, units))
                self.watch_until(burst_start + (half_hour + 1) * 1800, known(day))
            day += timedelta(days=1)
            self.watch_until(self.timestamp(f"{day.date()}T00:00"), known(day - timedelta(days=1)))

    def needed_units(self, text: str, lead: float = 120.0) -> float:
        """Units that the forecast needs at this local time; all time until then is watched."""
        now = self.timestamp(text)
        self.watch_until(now)
        return sum(need.units for need in self.forecaster.needs(now, {CPU_POOL: lead}))
