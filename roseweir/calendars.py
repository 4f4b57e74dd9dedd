"""The operators' form `(calendar ...)`: local time, days without demand, known events."""

from datetime import UTC, date, datetime, tzinfo
from typing import Any

import msgspec

from roseweir.sexp import SettingsError, read_form, read_number, read_string


class CalendarEvent(
    msgspec.Struct, frozen=True, rename={"starts_at": "begins", "ends_at": "ends", "demand_factor": "factor"}
):
    """A known event, in local time, with a multiple of the typical demand.

    The demand during an event is left out when typical weeks are computed.

    Attributes:
        name: Shown to operators.
        starts_at: Naive local time, inclusive.
        ends_at: Naive local time, exclusive.
        demand_factor: Multiple of the typical demand.
    """

    name: str
    starts_at: datetime
    ends_at: datetime
    demand_factor: float


class Calendar(msgspec.Struct):
    """Local time, days without demand, and known events."""

    time_zone: str = "UTC"
    # (year or None for every year, month, day)
    holidays: set[tuple[int | None, int, int]] = msgspec.field(default_factory=set)
    events: list[CalendarEvent] = msgspec.field(default_factory=list)

    @property
    def zone(self) -> tzinfo:
        """The time zone.

        Raises:
            KeyError, ValueError, OSError: The machine's time zone database has no zone of this name.
        """
        # UTC needs no time zone database, which a machine may lack.
        if self.time_zone == "UTC":
            return UTC
        # Imported only when needed: controllers have little memory.
        from zoneinfo import ZoneInfo

        return ZoneInfo(self.time_zone)

    def is_holiday(self, day: date) -> bool:
        """Whether a local date is a day without demand."""
        return (day.year, day.month, day.day) in self.holidays or (None, day.month, day.day) in self.holidays

    def event_at(self, local: datetime) -> CalendarEvent | None:
        """The first event that covers a local time; None if none does."""
        naive = local.replace(tzinfo=None)
        return next((event for event in self.events if event.starts_at <= naive < event.ends_at), None)


def parse_calendar(entries: list[Any]) -> Calendar:
    """Read the entries of `(calendar (time-zone "...") (holiday "...") (event ...) ...)`.

    Raises:
        SettingsError: An entry is unknown or not valid.
    """
    calendar = Calendar()
    for entry in entries:
        name, args = read_form(entry)
        if name == "time-zone":
            calendar.time_zone = read_string(name, args)
            try:
                _ = calendar.zone
            except (KeyError, ValueError, OSError):  # ZoneInfo raises KeyError for an unknown name
                raise SettingsError(f"unknown time zone `{calendar.time_zone}` in `calendar`") from None
        elif name == "holiday":
            calendar.holidays |= {_parse_holiday(read_string(name, [arg])) for arg in args}
        elif name == "event":
            calendar.events.append(_parse_event(args))
        else:
            raise SettingsError(f"unknown name `{name}` in `calendar`")
    return calendar


def _parse_holiday(text: str) -> tuple[int | None, int, int]:
    try:
        if len(text) == 5:
            # A leap year, so that 02-29 is valid.
            day = date.fromisoformat(f"2000-{text}")
            return None, day.month, day.day
        day = date.fromisoformat(text)
    except ValueError:
        raise SettingsError(f"`holiday`: `{text}` is neither YYYY-MM-DD nor MM-DD") from None
    return day.year, day.month, day.day


def _parse_event(entries: list[Any]) -> CalendarEvent:
    texts: dict[str, str] = {}
    factor: float | None = None
    for entry in entries:
        name, args = read_form(entry)
        if name in ("name", "from", "to"):
            texts[name] = read_string(name, args)
        elif name == "factor":
            factor = read_number(name, args)
        else:
            raise SettingsError(f"unknown name `{name}` in `event`")
    for required_name in ("name", "from", "to"):
        if required_name not in texts:
            raise SettingsError(f"an `event` needs `{required_name}`")
    if factor is None:
        raise SettingsError("an `event` needs `factor`")
    starts_at, ends_at = (_parse_local_time(name, texts[name]) for name in ("from", "to"))
    if starts_at >= ends_at:
        raise SettingsError("an `event` must end after it begins")
    return CalendarEvent(texts["name"], starts_at, ends_at, factor)


def _parse_local_time(name: str, text: str) -> datetime:
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        raise SettingsError(f"`{name}` in `event`: `{text}` is not a local time like 2026-12-20T18:00") from None
    if instant.tzinfo is not None:
        raise SettingsError(f"`{name}` in `event` is local time and takes no offset")
    return instant
