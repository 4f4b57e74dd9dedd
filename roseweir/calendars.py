"""The operators' form `(calendar ...)`: local time, days without demand, known events."""

from datetime import UTC, date, datetime, tzinfo
from typing import Any

import msgspec

from roseweir.forms import SettingsError, read_form, read_number, read_text


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
