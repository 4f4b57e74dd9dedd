"""The operators' forms `(renting-ahead ...)` and `(calendar ...)`."""

from datetime import UTC, date, datetime, timedelta, tzinfo
from typing import Any

import msgspec

from roseweir.forms import SettingsError, read_form, read_number, read_text

DAY = timedelta(days=1)
HOUR = timedelta(hours=1)


class Event(msgspec.Struct, frozen=True):
    """Known beforehand: so many times the usual demand, in local time. It teaches the usual weeks nothing."""

    name: str
    begins: datetime
    ends: datetime
    factor: float


class Calendar(msgspec.Struct):
    """Local time, days without demand, and known events."""

    time_zone: str = "UTC"
    # (year or None for every year, month, day)
    holidays: set[tuple[int | None, int, int]] = msgspec.field(default_factory=set)
    events: list[Event] = msgspec.field(default_factory=list)

    @property
    def zone(self) -> tzinfo:
        # A machine without a list of time zones still knows this one.
        if self.time_zone == "UTC":
            return UTC
        # Loaded only where it is used: controllers have little memory.
        from zoneinfo import ZoneInfo

        return ZoneInfo(self.time_zone)

    def is_holiday(self, day: date) -> bool:
        return (day.year, day.month, day.day) in self.holidays or (None, day.month, day.day) in self.holidays

    def event_at(self, local: datetime) -> Event | None:
        naive = local.replace(tzinfo=None)
        return next((e for e in self.events if e.begins <= naive < e.ends), None)


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


def parse_calendar(entries: list[Any]) -> Calendar:
    """Read the entries of `(calendar (time-zone "...") (holiday "...") (event ...) ...)`."""
    found = Calendar()
    for entry in entries:
        name, args = read_form(entry)
        if name == "time-zone":
            found.time_zone = read_text(name, args)
            try:
                _ = found.zone
            except (KeyError, ValueError, OSError):  # a name that is not found is a KeyError
                raise SettingsError(f"unknown time zone `{found.time_zone}` in `calendar`") from None
        elif name == "holiday":
            found.holidays |= {_holiday(read_text(name, [arg])) for arg in args}
        elif name == "event":
            found.events.append(_event(args))
        else:
            raise SettingsError(f"unknown name `{name}` in `calendar`")
    return found


def _holiday(text: str) -> tuple[int | None, int, int]:
    try:
        if len(text) == 5:
            # A leap year, so that 02-29 passes.
            day = date.fromisoformat(f"2000-{text}")
            return None, day.month, day.day
        day = date.fromisoformat(text)
    except ValueError:
        raise SettingsError(f"`holiday`: `{text}` is neither YYYY-MM-DD nor MM-DD") from None
    return day.year, day.month, day.day


def _event(entries: list[Any]) -> Event:
    texts: dict[str, str] = {}
    factor: float | None = None
    for entry in entries:
        name, args = read_form(entry)
        if name in ("name", "from", "to"):
            texts[name] = read_text(name, args)
        elif name == "factor":
            factor = read_number(name, args)
        else:
            raise SettingsError(f"unknown name `{name}` in `event`")
    for needed in ("name", "from", "to"):
        if needed not in texts:
            raise SettingsError(f"an `event` needs `{needed}`")
    if factor is None:
        raise SettingsError("an `event` needs `factor`")
    times: list[datetime] = []
    for name in ("from", "to"):
        try:
            at = datetime.fromisoformat(texts[name])
        except ValueError:
            raise SettingsError(
                f"`{name}` in `event`: `{texts[name]}` is not a local time like 2026-12-20T18:00"
            ) from None
        if at.tzinfo is not None:
            raise SettingsError(f"`{name}` in `event` is local time and takes no offset")
        times.append(at)
    if times[0] >= times[1]:
        raise SettingsError("an `event` must end after it begins")
    return Event(texts["name"], times[0], times[1], factor)
