"""Settings of delivery deadlines, from the operators' form `(promise ...)`: one policy for each team."""

from datetime import time, timedelta
from typing import Any

import msgspec

from roseweir.calendars import Calendar
from roseweir.clock import seconds
from roseweir.sexp import SettingsError, read_form, read_number, read_string

DEFAULT_FORECAST_QUANTILE = 0.8
WEEKDAYS = ("monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday")


class DeadlinePolicy(
    msgspec.Struct,
    rename={
        "due_time": "by",
        "cutoff_time": "cut_off",
        "closed_weekdays": "closed",
        "risk_margin": "margin",
        "forecast_quantile": "quantile",
    },
):
    """The deadline policy of one team, or of all teams without a policy; defaults: docs/promises.md."""

    team: str | None = None  # None: all teams without a policy
    due_time: time = time(8)  # local time of a business day
    cutoff_time: time | None = None  # lots that land later are due a business day later; None: the due time
    # Weekdays that are not business days; Monday is 0.
    closed_weekdays: list[int] = msgspec.field(default_factory=lambda: [5, 6])
    risk_margin: timedelta = timedelta(minutes=20)  # with less slack than this a deadline is at risk
    forecast_quantile: float = DEFAULT_FORECAST_QUANTILE  # quantile of a class's measured durations


class DeadlineSettings(msgspec.Struct, rename={"policies": "promises", "max_night_reports": "nights"}):
    """All policies, the calendar of holidays, and the number of reports of past nights to keep."""

    policies: list[DeadlinePolicy] = msgspec.field(default_factory=list)
    calendar: Calendar = msgspec.field(default_factory=Calendar)
    max_night_reports: int = 30  # reports of past nights that are kept

    def policy_for(self, team: str) -> DeadlinePolicy | None:
        """Return the policy of a team, else the one for all teams; None: the team has no deadlines."""
        team_policy = next((p for p in self.policies if p.team == team), None)
        return team_policy or next((p for p in self.policies if p.team is None), None)


def parse_deadline_policy(settings: DeadlineSettings, entries: list[Any]) -> None:
    """Add the policy of one `(promise (team "t") (by "08:00") (cut-off "05:30") (closed "saturday") (margin 1200))`.

    Raises:
        SettingsError: the form is malformed, or its team has a policy already.
    """
    policy = DeadlinePolicy()
    for entry in entries:
        name, args = read_form(entry)
        if name == "team":
            policy.team = read_string(name, args)
        elif name == "by":
            policy.due_time = _parse_time(name, args)
        elif name == "cut-off":
            policy.cutoff_time = _parse_time(name, args)
        elif name == "closed":
            policy.closed_weekdays = [_parse_weekday(arg) for arg in args]
            if len(set(policy.closed_weekdays)) == len(WEEKDAYS):
                raise SettingsError("`closed` leaves no business day")
        elif name == "margin":
            policy.risk_margin = seconds(read_number(name, args))
        elif name == "quantile":
            policy.forecast_quantile = read_number(name, args, must_be_positive=True)
            if policy.forecast_quantile >= 1:
                raise SettingsError("`quantile` must be below 1")
        else:
            raise SettingsError(f"unknown name `{name}` in `promise`")
    if any(other.team == policy.team for other in settings.policies):
        raise SettingsError(f"two `promise` forms for {'team ' + policy.team if policy.team else 'every team'}")
    settings.policies.append(policy)


def _parse_time(name: str, args: list[Any]) -> time:
    text = read_string(name, args)
    try:
        local_time = time.fromisoformat(text)
    except ValueError:
        raise SettingsError(f"`{name}` in `promise`: `{text}` is not a time like 08:00") from None
    if local_time.tzinfo is not None:
        raise SettingsError(f"`{name}` in `promise` is local time and takes no offset")
    return local_time


def _parse_weekday(arg: Any) -> int:
    if arg not in WEEKDAYS:
        raise SettingsError(f"`closed` takes days: {', '.join(WEEKDAYS)}")
    return WEEKDAYS.index(arg)
