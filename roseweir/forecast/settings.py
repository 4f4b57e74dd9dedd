"""The operators' form `(renting-ahead ...)`."""

from datetime import timedelta
from typing import Any

import msgspec

from roseweir.calendars import Calendar
from roseweir.forms import SettingsError, read_form, read_number

DAY = timedelta(days=1)
HOUR = timedelta(hours=1)


class AheadSettings(msgspec.Struct):
    """Renting ahead. docs/forecast.md gives the reason for each default."""

    slot: timedelta = timedelta(minutes=5)
    weeks: int = 8  # how many are kept
    least_weeks: int = 3  # with fewer there is no forecast
    fade: float = 0.8  # what a week counts, against the one after it
    wait_cost: float = 4.0  # of a unit that is missing, against
    idle_cost: float = 1.0  # that of one too many
    peak_most: float = 1.5  # times a slot's mean: what goes beyond is in use too briefly to hold a machine for
    known_share: float = 0.75  # of a slot that has to be watched, for its count to mean anything
    level_window: timedelta = timedelta(minutes=20)
    level_most: float = 1.5
    absent_after: timedelta = timedelta(minutes=10)
    machines_most: float = 50
    money_most: float = 100.0  # an hour
    guest_share: float = 0.1
    series_most: int = 48
    calendar: Calendar = msgspec.field(default_factory=Calendar)

    @property
    def slot_s(self) -> int:
        return round(self.slot.total_seconds())

    @property
    def quantile(self) -> float:
        """The newsvendor's critical ratio: where one unit more costs as much idle as it saves in waiting."""
        return self.wait_cost / (self.wait_cost + self.idle_cost)


_SPANS = {"level-window", "absent-after"}
_ABOVE_ZERO = {"wait-cost", "idle-cost", "level-most", "peak-most"}
_FROM_ZERO = {"machines-most", "money-most"}
_SHARES = {"fade", "known-share", "guest-share"}
_COUNTS = {"weeks": (1, 26), "least-weeks": (1, 26), "series-most": (8, 200)}


def parse_ahead(entries: list[Any]) -> AheadSettings:
    """Read the entries of `(renting-ahead (slot 300) (weeks 8) ...)`."""
    found = AheadSettings()
    for entry in entries:
        name, args = read_form(entry)
        value: object
        if name == "slot":
            value = timedelta(seconds=_slot(read_number(name, args, above_zero=True)))
        elif name in _SPANS:
            value = timedelta(seconds=read_number(name, args, above_zero=True))
        elif name in _ABOVE_ZERO or name in _FROM_ZERO:
            value = read_number(name, args, above_zero=name in _ABOVE_ZERO)
        elif name in _SHARES:
            value = read_number(name, args)
            if value > 1:
                raise SettingsError(f"`{name}` must be at most 1")
        elif name in _COUNTS:
            value = _count(name, read_number(name, args, above_zero=True))
        else:
            raise SettingsError(f"unknown name `{name}` in `renting-ahead`")
        setattr(found, name.replace("-", "_"), value)
    if found.least_weeks > found.weeks:
        raise SettingsError("`least-weeks` must be at most `weeks`")
    if found.absent_after < found.slot:
        raise SettingsError("`absent-after` must be at least a `slot`")
    return found


def _slot(value: float) -> int:
    if value != int(value) or value < 60 or 3600 % int(value):
        raise SettingsError("`slot` must be a whole number of seconds from 60 that divides an hour")
    return int(value)


def _count(name: str, value: float) -> int:
    least, most = _COUNTS[name]
    if value != int(value) or not least <= value <= most:
        raise SettingsError(f"`{name}` must be a whole number from {least} to {most}")
    return int(value)
