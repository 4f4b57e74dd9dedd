"""Settings of workflows, from the operators' form `(chain ...)`: default step order, limits and failure handling."""

from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import seconds
from roseweir.sexp import SettingsError, read_form, read_number, read_string

SECONDS_PER_DAY = 24 * 3600


class WorkflowSettings(
    msgspec.Struct,
    rename={
        "step_order": "order",
        "delivery_class": "delivery",
        "max_attempts": "attempts",
        "max_amendments_per_window": "intake",
        "intake_window": "window",
        "retention": "keep",
    },
):
    """Settings of workflows; docs/chains.md gives the reason for each default."""

    # Classes in the order of their dependencies; those of one group run in parallel.
    step_order: list[list[str]] = msgspec.field(default_factory=list)
    delivery_class: str = ""  # class of the steps that deliver lots to the viewer; "": the last steps do
    max_attempts: int = 5  # failures of a step after which its workflow is blocked
    on_cancel: str = "stop"  # when a step is cancelled: `stop` (cancel) its dependents or `skip` the step
    superseded: str = "finish"  # running steps whose lots are superseded: `finish` or `stop` them
    max_amendments_per_window: float = 60.0  # size of the token bucket that limits accepted amendments
    intake_window: timedelta = timedelta(seconds=60)  # time in which the empty bucket refills
    retention: timedelta = timedelta(days=30)  # how long ended workflows are kept if there is room

    def group_index(self, job_class: str) -> int | None:
        """Return the position of a class in `step_order`, or None."""
        return next((n for n, group in enumerate(self.step_order) if job_class in group), None)


_CHOICE_FIELDS = {"on-cancel": ("on_cancel", ("stop", "skip")), "superseded": ("superseded", ("finish", "stop"))}


def parse_workflow_settings(entries: list[Any]) -> WorkflowSettings:
    """Parse `(chain (order "a" ("b" "c") "d") (delivery "d") (attempts 5) (intake 60 60) (keep-days 30) ...)`.

    Raises:
        SettingsError: the form is malformed.
    """
    settings = WorkflowSettings()
    for entry in entries:
        name, args = read_form(entry)
        if name == "order":
            settings.step_order = _parse_step_order(args)
        elif name == "delivery":
            settings.delivery_class = read_string(name, args)
        elif name in _CHOICE_FIELDS:
            field, choices = _CHOICE_FIELDS[name]
            text = read_string(name, args)
            if text not in choices:
                raise SettingsError(f"`{name}` in `chain` is one of {', '.join(choices)}")
            setattr(settings, field, text)
        elif name == "attempts":
            value = read_number(name, args, must_be_positive=True)
            if value != int(value):
                raise SettingsError("`attempts` must be a whole number")
            settings.max_attempts = int(value)
        elif name == "intake":
            if len(args) != 2:
                raise SettingsError("`intake` takes a number of amendments and a window in seconds")
            settings.max_amendments_per_window = read_number(name, args[:1], must_be_positive=True)
            settings.intake_window = seconds(read_number(name, args[1:], must_be_positive=True))
        elif name == "keep-days":
            settings.retention = seconds(read_number(name, args, must_be_positive=True) * SECONDS_PER_DAY)
        else:
            raise SettingsError(f"unknown name `{name}` in `chain`")
    if settings.delivery_class and settings.step_order and settings.group_index(settings.delivery_class) is None:
        raise SettingsError(f"`delivery`: class `{settings.delivery_class}` is not in `order`")
    return settings


def _parse_step_order(args: list[Any]) -> list[list[str]]:
    groups = [arg if isinstance(arg, list) else [arg] for arg in args]
    names = [name for group in groups for name in group]
    if not names or not all(isinstance(name, str) and name for name in names):
        raise SettingsError("`order` takes classes as strings, and lists of those that run side by side")
    if len(set(names)) < len(names):
        raise SettingsError("`order` names a class twice")
    return groups
