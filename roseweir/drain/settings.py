"""Settings from the operators' forms `(disruption ...)` and `(replacement ...)`."""

from datetime import date, datetime, time, timedelta
from typing import Any

import msgspec

from roseweir.calendars import Calendar
from roseweir.clock import seconds
from roseweir.sexp import SettingsError, read_form, read_number, read_string


class DisruptionBudget(msgspec.Struct, frozen=True):
    """How many of a team's tasks, or of one of its job classes, may be down at once, and how often.

    A budget that names no team applies to each team separately.
    """

    team: str | None = None
    job_class: str | None = None
    share: float | None = None  # of the tasks that are running or down
    tasks: int | None = None
    gangs: int | None = None
    per_minute: int | None = None
    per_hour: int | None = None
    replicas_least: int | None = None  # replicas of each service that must stay up

    @property
    def forbids_all(self) -> bool:
        """Whether the budget never allows a task to be stopped."""
        return 0 in (self.share, self.tasks, self.per_minute, self.per_hour)

    @property
    def description(self) -> str:
        return " ".join(filter(None, (self.team and f"team {self.team}", self.job_class and f"class {self.job_class}")))


DEFAULT_BUDGET = DisruptionBudget(share=0.1)


class QuietHours(msgspec.Struct, frozen=True):
    """Daily hours, in local time, in which no task is stopped; they may span midnight."""

    starts_at: time
    ends_at: time

    def covers(self, at: time) -> bool:
        if self.starts_at <= self.ends_at:
            return self.starts_at <= at < self.ends_at
        return at >= self.starts_at or at < self.ends_at


class AutoReplacementSettings(msgspec.Struct):
    """Reasons for automatic replacement, each off if None, and its limits and circuit breakers."""

    older: timedelta | None = None
    slow: float | None = None  # times as slow as usual for the same task classes
    failing: int | None = None  # jobs with failed tasks in an hour
    lapsing: int | None = None  # expired leases in an hour
    spot_life: float | None = None  # share of the typical lifetime of spot machines of the type
    machines_a_day: int = 200
    money_a_day: float = 200.0
    brake_share: float = 0.25  # of a type that is unhealthy: beyond that the type or a job is at fault
    brake: timedelta = timedelta(hours=1)
    brake_most: timedelta = timedelta(hours=24)


class DrainSettings(msgspec.Struct):
    """Settings of drains; docs/draining.md gives the reason for each default."""

    hole: float = 0.1  # share of a type's machines that may be missing, or be replaced ahead, at once
    hole_gpus: float | None = None  # the same for GPU types, whose work can run on few machines
    soon: timedelta = timedelta(seconds=60)  # tasks expected to end within this time are waited for
    grace: timedelta = timedelta(minutes=5)  # longest wait for tasks that cannot move or save a checkpoint
    deadline: timedelta = timedelta(hours=1)  # of drains that request none
    budgets: list[DisruptionBudget] = msgspec.field(default_factory=list)
    quiet_hours: list[QuietHours] = msgspec.field(default_factory=list)
    auto_replacement: AutoReplacementSettings | None = None
    calendar: Calendar = msgspec.field(default_factory=Calendar)

    def budget_index(self, team: str, job_class: str) -> int:
        """Index of the most specific budget for a team's job class; -1 for the default budget."""
        best_rank, best_index = -1, -1
        for index, budget in enumerate(self.budgets):
            if budget.team in (None, team) and budget.job_class in (None, job_class):
                rank = (budget.team is not None) * 2 + (budget.job_class is not None)
                if rank > best_rank:
                    best_rank, best_index = rank, index
        return best_index

    def budget_at(self, index: int) -> DisruptionBudget:
        return self.budgets[index] if index >= 0 else DEFAULT_BUDGET

    def is_quiet(self, wall_time: datetime) -> bool:
        """Whether no task may be stopped now: in high-demand events, else in quiet hours except on holidays."""
        local_time = wall_time.astimezone(self.calendar.zone)
        event = self.calendar.event_at(local_time)
        if event is not None:
            return event.demand_factor > 1
        if self.calendar.is_holiday(date(local_time.year, local_time.month, local_time.day)):
            return False
        return any(quiet.covers(local_time.time()) for quiet in self.quiet_hours)


_DURATION_NAMES = {"soon", "grace", "deadline"}
_BUDGET_COUNT_NAMES = {"tasks", "gangs", "per-minute", "per-hour", "replicas-least"}
_BUDGET_TEXT_FIELDS = {"team": "team", "class": "job_class"}
_REPLACEMENT_DURATION_FIELDS = {"replace-older": "older", "brake": "brake", "brake-most": "brake_most"}
_REPLACEMENT_COUNT_FIELDS = {
    "replace-failing": "failing",
    "replace-lapsing": "lapsing",
    "machines-a-day": "machines_a_day",
}
_REPLACEMENT_NUMBER_FIELDS = {"replace-slow": "slow", "money-a-day": "money_a_day"}
_REPLACEMENT_SHARE_FIELDS = {"replace-spot": "spot_life", "brake-share": "brake_share"}


def parse_disruption(settings: DrainSettings, entries: list[Any]) -> None:
    """Parse the entries of `(disruption (hole 0.1) (soon 60) ... (budget ...) (quiet ...))`."""
    for entry in entries:
        name, args = read_form(entry)
        if name in ("hole", "hole-gpus"):
            share = _read_share(name, args)
            if share == 0:
                raise SettingsError(f"`{name}` must be above 0")
            setattr(settings, name.replace("-", "_"), share)
        elif name in _DURATION_NAMES:
            setattr(settings, name, seconds(read_number(name, args, must_be_positive=name == "deadline")))
        elif name == "budget":
            settings.budgets.append(_parse_budget(args))
        elif name == "quiet":
            settings.quiet_hours.append(_parse_quiet_hours(args))
        else:
            raise SettingsError(f"unknown name `{name}` in `disruption`")
    for index, budget in enumerate(settings.budgets):
        if any((b.team, b.job_class) == (budget.team, budget.job_class) for b in settings.budgets[:index]):
            raise SettingsError(f"two `budget` forms for the same {budget.description or 'default'}")


def parse_replacement(entries: list[Any]) -> AutoReplacementSettings:
    """Parse the entries of `(replacement (replace-older 86400) ...)`."""
    settings = AutoReplacementSettings()
    for entry in entries:
        name, args = read_form(entry)
        value: object
        if name in _REPLACEMENT_DURATION_FIELDS:
            field, value = (
                _REPLACEMENT_DURATION_FIELDS[name],
                seconds(read_number(name, args, must_be_positive=True)),
            )
        elif name in _REPLACEMENT_COUNT_FIELDS:
            field, value = _REPLACEMENT_COUNT_FIELDS[name], _read_count(name, args, above_zero=name != "machines-a-day")
        elif name in _REPLACEMENT_NUMBER_FIELDS:
            field, value = (
                _REPLACEMENT_NUMBER_FIELDS[name],
                read_number(name, args, must_be_positive=name == "replace-slow"),
            )
            if name == "replace-slow" and value <= 1:
                raise SettingsError("`replace-slow` must be above 1: times as slow as its kind")
        elif name in _REPLACEMENT_SHARE_FIELDS:
            field, value = _REPLACEMENT_SHARE_FIELDS[name], _read_share(name, args)
        else:
            raise SettingsError(f"unknown name `{name}` in `replacement`")
        setattr(settings, field, value)
    return settings


def _read_share(name: str, args: list[Any]) -> float:
    value = read_number(name, args)
    if value > 1:
        raise SettingsError(f"`{name}` must be at most 1")
    return value


def _read_count(name: str, args: list[Any], above_zero: bool = False) -> int:
    value = read_number(name, args, above_zero)
    if value != int(value):
        raise SettingsError(f"`{name}` must be a whole number")
    return int(value)


def _parse_budget(entries: list[Any]) -> DisruptionBudget:
    fields: dict[str, Any] = {}
    for entry in entries:
        name, args = read_form(entry)
        if name in _BUDGET_TEXT_FIELDS:
            fields[_BUDGET_TEXT_FIELDS[name]] = read_string(name, args)
        elif name == "share":
            fields["share"] = _read_share(name, args)
        elif name in _BUDGET_COUNT_NAMES:
            fields[name.replace("-", "_")] = _read_count(name, args)
        else:
            raise SettingsError(f"unknown name `{name}` in `budget`")
    if fields.keys() <= {"team", "job_class"}:
        raise SettingsError("a `budget` needs `share`, `tasks` or another bound")
    if "share" not in fields and "tasks" not in fields:
        # A budget bounded only by gangs, replicas or rates also gets the default share.
        fields["share"] = DEFAULT_BUDGET.share
    return DisruptionBudget(**fields)


def _parse_quiet_hours(entries: list[Any]) -> QuietHours:
    times: dict[str, time] = {}
    for entry in entries:
        name, args = read_form(entry)
        if name not in ("from", "to"):
            raise SettingsError(f"unknown name `{name}` in `quiet`")
        text = read_string(name, args)
        try:
            times[name] = time.fromisoformat(text)
        except ValueError:
            raise SettingsError(f"`{name}` in `quiet`: `{text}` is not a time like 18:00") from None
        if times[name].tzinfo is not None:
            raise SettingsError(f"`{name}` in `quiet` is local time and takes no offset")
    if len(times) < 2 or times["from"] == times["to"]:
        raise SettingsError("a `quiet` needs `from` and `to`, which differ")
    return QuietHours(times["from"], times["to"])
