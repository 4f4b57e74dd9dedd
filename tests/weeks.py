"""Weeks of demand, counted as a leader would have counted them."""

from collections.abc import Callable
from datetime import datetime, timedelta
from zoneinfo import ZoneInfo

from roseweir.calendars import Calendar
from roseweir.forecast.history import Demand, Key, Pool, Shape
from roseweir.forecast.planner import Planner
from roseweir.forecast.settings import AheadSettings
from tests.test_placement import new_board

CPUS = Pool(False, None, None, True)
TORONTO = "America/Toronto"


def demand(
    at: float, units: float = 40.0, span: float = 1800.0, team: str = "t0", job_class: str = "c", number: int = 0
) -> Demand:
    key = Key(CPUS, job_class, team)
    name = f"j-{round(at * 1000) * 1000 + number}"
    return Demand(name, key, Shape(2.0, 0.0, 4.0, 1.0), at, span, units, units * span, int(units / 2))


class Weeks:
    """Planner and local time. Each day from `first` has its demand from 16:30 to 18:00, if `burst` says so."""

    def __init__(self, calendar: Calendar | None = None, zone: str = TORONTO, **settings: object) -> None:
        calendar = calendar or Calendar()
        calendar.time_zone = zone
        self.settings = AheadSettings(calendar=calendar, **settings)  # type: ignore[arg-type]
        self.board = new_board()
        self.planner = Planner(self.settings, self.board)
        self.history, self.forecast = self.planner.history, self.planner.forecast
        self.zone = ZoneInfo(zone)
        self.watched = 0.0

    def at(self, text: str) -> float:
        return datetime.fromisoformat(text).replace(tzinfo=self.zone).timestamp()

    def watch(self, until: float, known: bool = True) -> None:
        """Time passes, an hour at a time: only the hour that is open can still be counted."""
        while self.watched < until:
            begin, self.watched = self.watched, min(until, self.watched + 3600)
            self.history.roll(self.watched)
            if known:
                self.history.cover(begin, self.watched)

    def pass_days(
        self,
        first: str,
        days: int,
        burst: Callable[[datetime], float] = lambda day: 40.0,
        known: Callable[[datetime], bool] = lambda day: True,
        hour: str = "16:30",
    ) -> None:
        day = datetime.fromisoformat(first)
        self.watched = self.watched or self.at(first)
        for _ in range(days):
            begins = self.at(f"{day.date()}T{hour}")
            self.watch(begins, known(day))
            for part in range(3):
                units = burst(day)
                if units > 0 and known(day):
                    self.history.count(demand(begins + part * 1800, units))
                self.watch(begins + (part + 1) * 1800, known(day))
            day += timedelta(days=1)
            self.watch(self.at(f"{day.date()}T00:00"), known(day - timedelta(days=1)))

    def needed(self, text: str, lead: float = 120.0) -> float:
        """Units that should stand ready at this local time; it has been watched until then."""
        now = self.at(text)
        self.watch(now)
        return sum(need.units for need in self.forecast.needs(now, {CPUS: lead}))
