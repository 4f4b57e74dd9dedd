"""Settings of predictive scaling: the operators' form `(renting-ahead ...)`."""

from datetime import timedelta
from typing import Any

import msgspec

from roseweir.calendars import Calendar
from roseweir.clock import seconds
from roseweir.sexp import SettingsError, read_form, read_number

DAY = timedelta(days=1)
HOUR = timedelta(hours=1)


class PredictiveScalingSettings(msgspec.Struct):
    """Settings of predictive scaling. docs/forecast.md gives the reason for each default."""

    slot: timedelta = timedelta(minutes=5)
    weeks: int = 8  # of history to keep
    least_weeks: int = 3  # of history below which there is no forecast
    fade: float = 0.8  # weight of a week relative to the following one
    wait_cost: float = 4.0  # of a missing unit
    idle_cost: float = 1.0  # of an idle unit; only the ratio of the two costs matters
    peak_most: float = 1.5  # times a slot's mean: a higher peak is too brief to hold machines for
    known_share: float = 0.75  # of a slot that must have been watched for the slot to be used
    level_window: timedelta = timedelta(minutes=20)
    level_most: float = 1.5
    absent_after: timedelta = timedelta(minutes=10)
    machines_most: float = 50
    money_most: float = 100.0  # price per hour
    guest_share: float = 0.1
    series_most: int = 48
    calendar: Calendar = msgspec.field(default_factory=Calendar)

    @property
    def slot_s(self) -> int:
        return round(self.slot.total_seconds())

    @property
    def quantile(self) -> float:
        """The critical ratio of the newsvendor model.

        At this quantile, one more unit costs as much in idle time as it saves in waiting.
        """
        return self.wait_cost / (self.wait_cost + self.idle_cost)


_DURATION_FIELDS = {"level-window", "absent-after"}
_POSITIVE_FIELDS = {"wait-cost", "idle-cost", "level-most", "peak-most"}
_NON_NEGATIVE_FIELDS = {"machines-most", "money-most"}
_SHARE_FIELDS = {"fade", "known-share", "guest-share"}
_COUNT_FIELD_BOUNDS = {"weeks": (1, 26), "least-weeks": (1, 26), "series-most": (8, 200)}


def parse_predictive_scaling(entries: list[Any]) -> PredictiveScalingSettings:
    """Read the entries of `(renting-ahead (slot 300) (weeks 8) ...)`."""
    settings = PredictiveScalingSettings()
    for entry in entries:
        name, args = read_form(entry)
        value: object
        if name == "slot":
            value = seconds(_read_slot_s(read_number(name, args, must_be_positive=True)))
        elif name in _DURATION_FIELDS:
            value = seconds(read_number(name, args, must_be_positive=True))
        elif name in _POSITIVE_FIELDS or name in _NON_NEGATIVE_FIELDS:
            value = read_number(name, args, must_be_positive=name in _POSITIVE_FIELDS)
        elif name in _SHARE_FIELDS:
            value = read_number(name, args)
            if value > 1:
                raise SettingsError(f"`{name}` must be at most 1")
        elif name in _COUNT_FIELD_BOUNDS:
            value = _read_count(name, read_number(name, args, must_be_positive=True))
        else:
            raise SettingsError(f"unknown name `{name}` in `renting-ahead`")
        setattr(settings, name.replace("-", "_"), value)
    if settings.least_weeks > settings.weeks:
        raise SettingsError("`least-weeks` must be at most `weeks`")
    if settings.absent_after < settings.slot:
        raise SettingsError("`absent-after` must be at least a `slot`")
    return settings


def _read_slot_s(value: float) -> int:
    if value != int(value) or value < 60 or 3600 % int(value):
        raise SettingsError("`slot` must be a whole number of seconds from 60 that divides an hour")
    return int(value)


def _read_count(name: str, value: float) -> int:
    minimum, maximum = _COUNT_FIELD_BOUNDS[name]
    if value != int(value) or not minimum <= value <= maximum:
        raise SettingsError(f"`{name}` must be a whole number from {minimum} to {maximum}")
    return int(value)
