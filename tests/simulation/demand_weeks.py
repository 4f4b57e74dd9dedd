"""Weeks of simulated demand, recorded in a demand history as a leader records them."""

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
    accepted_at: float,
    units: float = 40.0,
    duration_s: float = 1800.0,
    team: str = "t0",
    job_class: str = "c",
    number: int = 0,
) -> Demand:
    key = SeriesKey(CPU_POOL, job_class, team)
    job_id = f"j-{round(accepted_at * 1000) * 1000 + number}"
    return Demand(
        job_id, key, TaskShape(2.0, 0.0, 4.0, 1.0), accepted_at, duration_s, units, units * duration_s, int(units / 2)
    )


class DemandWeeks:
    """A planner whose demand history is filled day by day, in local time.

    Unless `hour` differs, each day has `burst_units(day)` units of demand from 16:30 to 18:00.
    """

    def __init__(self, calendar: Calendar | None = None, zone: str = TORONTO, **settings: object) -> None:
        calendar = calendar or Calendar()
        calendar.time_zone = zone
        self.settings = PredictiveScalingSettings(calendar=calendar, **settings)  # type: ignore[arg-type]
        self.cluster_state = make_cluster_state()
        self.planner = ScalingPlanner(self.settings, self.cluster_state)
        self.history, self.forecaster = self.planner.history, self.planner.forecaster
        self.zone = ZoneInfo(zone)
        self.now_s = 0.0  # seconds since 1970; the history has been advanced to this instant

    def timestamp(self, text: str) -> float:
        return datetime.fromisoformat(text).replace(tzinfo=self.zone).timestamp()

    def advance_to(self, until_s: float, is_watched: bool = True) -> None:
        """Advance the history by at most an hour at a time: only open blocks can be marked as watched."""
        while self.now_s < until_s:
            begin_s, self.now_s = self.now_s, min(until_s, self.now_s + 3600)
            self.history.advance_to(self.now_s)
            if is_watched:
                self.history.mark_watched(begin_s, self.now_s)

    def simulate_days(
        self,
        first: str,
        days: int,
        burst_units: Callable[[datetime], float] = lambda day: 40.0,
        is_watched: Callable[[datetime], bool] = lambda day: True,
        hour: str = "16:30",
    ) -> None:
        day = datetime.fromisoformat(first)
        self.now_s = self.now_s or self.timestamp(first)
        for _ in range(days):
            burst_begins_at = self.timestamp(f"{day.date()}T{hour}")
            self.advance_to(burst_begins_at, is_watched(day))
            for half_hour in range(3):
                units = burst_units(day)
                if units > 0 and is_watched(day):
                    self.history.record_accepted_job(make_demand(burst_begins_at + half_hour * 1800, units))
                self.advance_to(burst_begins_at + (half_hour + 1) * 1800, is_watched(day))
            day += timedelta(days=1)
            self.advance_to(self.timestamp(f"{day.date()}T00:00"), is_watched(day - timedelta(days=1)))

    def needed_units(self, text: str, lead_s: float = 120.0) -> float:
        """Units that should be available at this local time, with all demand watched until then.

        `lead_s` is the time from the request of a machine until it can run tasks.
        """
        now = self.timestamp(text)
        self.advance_to(now)
        return sum(need.units for need in self.forecaster.needs(now, {CPU_POOL: lead_s}))
