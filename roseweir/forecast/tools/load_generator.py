"""Generates load from a seed: weeks with bursts at regular hours, and weeks in which the last one differs."""

from collections.abc import Callable, Iterator
from datetime import UTC, date, datetime, time, timedelta
from typing import Any, NamedTuple
from zoneinfo import ZoneInfo

import numpy as np

DAY = timedelta(days=1)


class Burst(NamedTuple):
    begins_at: datetime  # local
    duration: timedelta
    scale: float
    team: str


class LoadScenario(NamedTuple):
    description: str
    time_zone: str
    bursts_of_day: Callable[[date, bool], list[Burst]]  # arguments: local day, whether it is in the last week


def _local_time(day: date, hour: int, minute: int = 0) -> datetime:
    return datetime.combine(day, time(hour, minute))


def _weekday_evening(day: date, is_last_week: bool = False) -> list[Burst]:
    """Registry amendments on weekdays, late in the afternoon."""
    return [Burst(_local_time(day, 16, 30), timedelta(hours=2.5), 1.0, "cadastre")] if day.weekday() < 5 else []


def _sunday_matches(day: date, is_last_week: bool = False) -> list[Burst]:
    """Ingestion when matches end, on Sundays."""
    if day.weekday() != 6:
        return []
    return [Burst(_local_time(day, hour, 30), timedelta(minutes=50), 1.4, "league-ops") for hour in (15, 18, 21)]


def _holiday_in_last_week(day: date, is_last_week: bool) -> list[Burst]:
    return [] if is_last_week and day.weekday() == 2 else _weekday_evening(day)


def _surge_in_last_week(day: date, is_last_week: bool) -> list[Burst]:
    surge = (
        [Burst(_local_time(day, 11), timedelta(hours=1.5), 1.5, "cadastre")]
        if is_last_week and day.weekday() in (1, 5)
        else []
    )
    return surge + _weekday_evening(day)


def _moved_in_last_week(day: date, is_last_week: bool) -> list[Burst]:
    return [
        burst._replace(begins_at=burst.begins_at + timedelta(hours=1)) if is_last_week else burst
        for burst in _weekday_evening(day)
    ]


def _nightly_best_effort_flood(day: date, is_last_week: bool) -> list[Burst]:
    return [*_weekday_evening(day), Burst(_local_time(day, 3), timedelta(hours=1), 3.0, "guests")]


LOAD_SCENARIOS = {
    "weekday-evenings": LoadScenario("bursts from 16:30 to 19:00 on weekdays", "America/Toronto", _weekday_evening),
    "sundays": LoadScenario("three bursts on Sundays, as matches end", "Asia/Taipei", _sunday_matches),
    "holiday": LoadScenario(
        "weekday-evenings; in the last week no burst on Wednesday", "America/Toronto", _holiday_in_last_week
    ),
    "surge": LoadScenario(
        "weekday-evenings; in the last week bursts at 11:00 on two days", "America/Toronto", _surge_in_last_week
    ),
    "moved": LoadScenario("weekday-evenings; in the last week an hour later", "America/Toronto", _moved_in_last_week),
    "guests": LoadScenario(
        "weekday-evenings, and a flood of a team without a guarantee each night",
        "America/Toronto",
        _nightly_best_effort_flood,
    ),
}

# Jobs per minute in a burst of scale 1, and of the background load; tasks of a job, and their run times.
BURST_JOBS_PER_MINUTE, QUIET_JOBS_PER_MINUTE = 6.0, 0.1
MEAN_TASKS, MEDIAN_TASK_S, TASK_DURATION_SPREAD = 8.0, 100.0, 0.35
# Standard deviation of the logarithm of a day's scale.
DAY_SCALE_SPREAD = 0.15


def generate_load(scenario: LoadScenario, weeks: int, seed: int, start: date) -> Iterator[dict[str, Any]]:
    """Submissions in order of time, beginning on the local day `start`."""
    rng = np.random.default_rng(seed)
    zone = ZoneInfo(scenario.time_zone)
    number = 0
    for day_number in range(weeks * 7):
        day = start + DAY * day_number
        scale = rng.lognormal(0.0, DAY_SCALE_SPREAD)
        is_last_week = day_number >= (weeks - 1) * 7
        arrivals = [
            (at, "survey", "cadastre") for at in _draw_times(rng, _local_time(day, 0), DAY, QUIET_JOBS_PER_MINUTE)
        ]
        for burst in scenario.bursts_of_day(day, is_last_week):
            jobs_per_minute = BURST_JOBS_PER_MINUTE * burst.scale * scale
            arrivals += [
                (at, "flood" if burst.team == "guests" else "amendments", burst.team)
                for at in _draw_times(rng, burst.begins_at, burst.duration, jobs_per_minute)
            ]
        for at, job_class, team in sorted(arrivals):
            number += 1
            local_at = at.replace(tzinfo=zone).astimezone(UTC).astimezone(zone)
            yield _draw_submission(rng, number, local_at, job_class, team)


def _draw_times(
    rng: np.random.Generator, begins_at: datetime, duration: timedelta, jobs_per_minute: float
) -> list[datetime]:
    count = int(rng.poisson(jobs_per_minute * duration.total_seconds() / 60))
    return [begins_at + duration * float(share) for share in np.sort(rng.random(count))]


def _draw_submission(rng: np.random.Generator, number: int, at: datetime, job_class: str, team: str) -> dict[str, Any]:
    return {
        "at": at.isoformat(timespec="milliseconds"),
        "name_id": f"j-{number:06d}",
        "docket": job_class,
        "crew": team,
        "shape": "sweep",
        "rank": "low" if team == "guests" else "normal",
        "parcels": int(rng.geometric(1 / MEAN_TASKS)),
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
        "guess_s": round(float(MEDIAN_TASK_S * rng.lognormal(0.0, TASK_DURATION_SPREAD)), 1),
        "mark_every_s": 0.0,
        "mark_s": 0.0,
        "due_s": None,
    }
