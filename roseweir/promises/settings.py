"""The operators' form `(promise ...)`: until when amended lots are to be in the viewer, by team."""

from datetime import time, timedelta
from typing import Any

import msgspec

from roseweir.calendars import Calendar
from roseweir.forms import SettingsError, read_form, read_number, read_text

DAYS = ("monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday")


class Promise(msgspec.Struct):
    """What one team, or every team without a form of its own, is promised; defaults: docs/promises.md."""

    team: str | None = None
    by: time = time(8)  # local time of a business day
    cut_off: time | None = None  # what lands after it is for the morning after; None: until the very hour
    closed: list[int] = msgspec.field(default_factory=lambda: [5, 6])  # days without a business morning, Monday is 0
    margin: timedelta = timedelta(minutes=20)  # with less slack than that it is at risk
    quantile: float = 0.8  # of a class's measured times, for the forecast


class PromiseSettings(msgspec.Struct):
    promises: list[Promise] = msgspec.field(default_factory=list)
    calendar: Calendar = msgspec.field(default_factory=Calendar)
    nights: int = 30  # that are told of

    def of(self, team: str) -> Promise | None:
        own = next((p for p in self.promises if p.team == team), None)
        return own or next((p for p in self.promises if p.team is None), None)


def parse_promise(found: PromiseSettings, entries: list[Any]) -> None:
    """Read one `(promise (team "t") (by "08:00") (cut-off "05:30") (closed "saturday") (margin 1200))`."""
    promise = Promise()
    for entry in entries:
        name, args = read_form(entry)
        if name == "team":
            promise.team = read_text(name, args)
        elif name == "by":
            promise.by = _time(name, args)
        elif name == "cut-off":
            promise.cut_off = _time(name, args)
        elif name == "closed":
            promise.closed = [_day(arg) for arg in args]
            if len(set(promise.closed)) == len(DAYS):
                raise SettingsError("`closed` leaves no business day")
        elif name == "margin":
            promise.margin = timedelta(seconds=read_number(name, args))
        elif name == "quantile":
            promise.quantile = read_number(name, args, above_zero=True)
            if promise.quantile >= 1:
                raise SettingsError("`quantile` must be below 1")
        else:
            raise SettingsError(f"unknown name `{name}` in `promise`")
    if any(other.team == promise.team for other in found.promises):
        raise SettingsError(f"two `promise` forms for {'team ' + promise.team if promise.team else 'every team'}")
    found.promises.append(promise)


def _time(name: str, args: list[Any]) -> time:
    text = read_text(name, args)
    try:
        at = time.fromisoformat(text)
    except ValueError:
        raise SettingsError(f"`{name}` in `promise`: `{text}` is not a time like 08:00") from None
    if at.tzinfo is not None:
        raise SettingsError(f"`{name}` in `promise` is local time and takes no offset")
    return at


def _day(arg: Any) -> int:
    if arg not in DAYS:
        raise SettingsError(f"`closed` takes days: {', '.join(DAYS)}")
    return DAYS.index(arg)
