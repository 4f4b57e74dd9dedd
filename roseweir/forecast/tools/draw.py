"""Load drawn from a seed: weeks whose bursts come at known hours, and what upsets such weeks."""

from collections.abc import Callable, Iterator
from datetime import UTC, date, datetime, time, timedelta
from typing import Any, NamedTuple
from zoneinfo import ZoneInfo

import numpy as np

DAY = timedelta(days=1)


class Burst(NamedTuple):
    begins: datetime  # local
    length: timedelta
    scale: float
    team: str


class Kind(NamedTuple):
    text: str
    time_zone: str
    bursts: Callable[[date, bool], list[Burst]]  # of a local day; whether it is in the last week


def _at(day: date, hour: int, minute: int = 0) -> datetime:
    return datetime.combine(day, time(hour, minute))


def _evening(day: date, last: bool = False) -> list[Burst]:
    """Registry amendments on weekdays, late in the afternoon."""
    return [Burst(_at(day, 16, 30), timedelta(hours=2.5), 1.0, "cadastre")] if day.weekday() < 5 else []


def _matches(day: date, last: bool = False) -> list[Burst]:
    """Ingestion when matches end, on Sundays."""
    if day.weekday() != 6:
        return []
    return [Burst(_at(day, hour, 30), timedelta(minutes=50), 1.4, "league-ops") for hour in (15, 18, 21)]


def _holiday(day: date, last: bool) -> list[Burst]:
    return [] if last and day.weekday() == 2 else _evening(day)


def _surge(day: date, last: bool) -> list[Burst]:
    surge = [Burst(_at(day, 11), timedelta(hours=1.5), 1.5, "cadastre")] if last and day.weekday() in (1, 5) else []
    return surge + _evening(day)


def _moved(day: date, last: bool) -> list[Burst]:
    return [burst._replace(begins=burst.begins + timedelta(hours=1)) if last else burst for burst in _evening(day)]


def _guests(day: date, last: bool) -> list[Burst]:
    return [*_evening(day), Burst(_at(day, 3), timedelta(hours=1), 3.0, "guests")]


KINDS = {
    "weekday-evenings": Kind("bursts from 16:30 to 19:00 on weekdays", "America/Toronto", _evening),
    "sundays": Kind("three bursts on Sundays, as matches end", "Asia/Taipei", _matches),
    "holiday": Kind("weekday-evenings; in the last week no burst on Wednesday", "America/Toronto", _holiday),
    "surge": Kind("weekday-evenings; in the last week bursts at 11:00 on two days", "America/Toronto", _surge),
    "moved": Kind("weekday-evenings; in the last week an hour later", "America/Toronto", _moved),
    "guests": Kind(
        "weekday-evenings, and a flood of a team without a guarantee each night", "America/Toronto", _guests
    ),
}

# Jobs a minute in a burst of scale 1, and all day long; their tasks, and how long these run.
BURST_RATE, QUIET_RATE = 6.0, 0.1
TASKS, TASK_S, SPREAD = 8.0, 100.0, 0.35
# Days differ from one another by so much.
DAYS_SPREAD = 0.15


def draw(kind: Kind, weeks: int, seed: int, start: date) -> Iterator[dict[str, Any]]:
    """Submissions in order of time, from `start` (local time) on."""
    draws = np.random.default_rng(seed)
    zone = ZoneInfo(kind.time_zone)
    number = 0
    for day_number in range(weeks * 7):
        day = start + DAY * day_number
        scale = draws.lognormal(0.0, DAYS_SPREAD)
        last = day_number >= (weeks - 1) * 7
        found = [(at, "survey", "cadastre") for at in _times(draws, _at(day, 0), DAY, QUIET_RATE)]
        for burst in kind.bursts(day, last):
            rate = BURST_RATE * burst.scale * scale
            found += [
                (at, "flood" if burst.team == "guests" else "amendments", burst.team)
                for at in _times(draws, burst.begins, burst.length, rate)
            ]
        for at, job_class, team in sorted(found):
            number += 1
            local = at.replace(tzinfo=zone).astimezone(UTC).astimezone(zone)
            yield _submission(draws, number, local, job_class, team)


def _times(draws: np.random.Generator, begins: datetime, length: timedelta, rate: float) -> list[datetime]:
    count = int(draws.poisson(rate * length.total_seconds() / 60))
    return [begins + length * float(share) for share in np.sort(draws.random(count))]


def _submission(draws: np.random.Generator, number: int, at: datetime, job_class: str, team: str) -> dict[str, Any]:
    return {
        "at": at.isoformat(timespec="milliseconds"),
        "name_id": f"j-{number:06d}",
        "docket": job_class,
        "crew": team,
        "shape": "sweep",
        "rank": "low" if team == "guests" else "normal",
        "parcels": int(draws.geometric(1 / TASKS)),
        "cores": 2.0,
        "accelerators": 0.0,
        "memory_gb": 4.0,
        "kit": f"img-{job_class}",
        "size_gb": 3.0,
        "builds": None,
        "yard": None,
        "together": False,
        "scatter": False,
        "loaners": False,
        "guess_s": round(float(TASK_S * draws.lognormal(0.0, SPREAD)), 1),
        "mark_every_s": 0.0,
        "mark_s": 0.0,
        "due_s": None,
    }
