"""Operators' own settings (S-expressions): each package parses its forms, this module combines them."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import sexpdata

from roseweir.limits.settings import LimitSettings, parse_limits
from roseweir.rebalancing.settings import RebalancingSettings, parse_rebalancing
from roseweir.sexp import SettingsError, read_form

if TYPE_CHECKING:
    from roseweir.calendars import Calendar
    from roseweir.delivery_deadlines.settings import DeadlineSettings
    from roseweir.drain.settings import DrainSettings
    from roseweir.forecast.settings import PredictiveScalingSettings
    from roseweir.workflows.settings import WorkflowSettings


class OperatorConfig(
    LimitSettings,
    rename={
        "predictive_scaling": "ahead",
        "rebalancing": "packing",
        "workflow": "chain",
        "delivery_deadline": "promise",
    },
):
    """All settings of the operators; a setting that is left out has its default."""

    # Predictive scaling; None: off, and its modules are not imported.
    predictive_scaling: "PredictiveScalingSettings | None" = None
    # Placement of tasks with GPUs, and whether replicas are moved to make room for large tasks.
    rebalancing: RebalancingSettings = msgspec.field(default_factory=RebalancingSettings)
    # Workflows; None: amendments are accepted with the defaults.
    workflow: "WorkflowSettings | None" = None
    # Delivery deadlines; None: off.
    delivery_deadline: "DeadlineSettings | None" = None
    # Disruption budgets and automatic replacement of machines; None: only operators' drains, with the defaults.
    drain: "DrainSettings | None" = None


@dataclass
class _ConfigBuilder:
    """The configuration and calendar set by the forms that have been read so far."""

    config: OperatorConfig
    calendar: "Calendar | None" = None


# A parser imports its package only when the file has its form: controllers have little memory.


def _parse_startup_limits(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    parse_limits(builder.config, form_args)


def _parse_predictive_scaling(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    from roseweir.forecast.settings import parse_predictive_scaling

    builder.config.predictive_scaling = parse_predictive_scaling(form_args)


def _parse_calendar(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    from roseweir.calendars import parse_calendar

    builder.calendar = parse_calendar(form_args)


def _parse_disruption(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    from roseweir.drain.settings import DrainSettings, parse_disruption

    builder.config.drain = builder.config.drain or DrainSettings()
    parse_disruption(builder.config.drain, form_args)


def _parse_replacement(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    from roseweir.drain.settings import DrainSettings, parse_replacement

    builder.config.drain = builder.config.drain or DrainSettings()
    builder.config.drain.auto_replacement = parse_replacement(form_args)


def _parse_rebalancing(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    builder.config.rebalancing = parse_rebalancing(form_args)


def _parse_workflow(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    from roseweir.workflows.settings import parse_workflow_settings

    builder.config.workflow = parse_workflow_settings(form_args)


def _parse_delivery_deadline(builder: _ConfigBuilder, form_args: list[Any]) -> None:
    from roseweir.delivery_deadlines.settings import DeadlineSettings, parse_deadline_policy

    builder.config.delivery_deadline = builder.config.delivery_deadline or DeadlineSettings()
    parse_deadline_policy(builder.config.delivery_deadline, form_args)


# Parsers by form name, in the order in which the error for an unknown form lists the names.
FORM_PARSERS: dict[str, Callable[[_ConfigBuilder, list[Any]], None]] = {
    "startup-limits": _parse_startup_limits,
    "renting-ahead": _parse_predictive_scaling,
    "calendar": _parse_calendar,
    "disruption": _parse_disruption,
    "replacement": _parse_replacement,
    "packing": _parse_rebalancing,
    "chain": _parse_workflow,
    "promise": _parse_delivery_deadline,
}


def load_operator_config(path: Path | None) -> OperatorConfig:
    """Read the operators' settings from a file; the defaults if there is none.

    Raises:
        SettingsError: The file cannot be read or is not valid; the message names the file.
    """
    if path is None:
        return OperatorConfig()
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        forms = sexpdata.parse(text)
    except Exception as error:  # sexpdata raises several types of its own
        raise SettingsError(f"{path}: not S-expressions: {error}") from error
    try:
        return parse_operator_config(forms)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error


def parse_operator_config(forms: list[Any]) -> OperatorConfig:
    """Read `(startup-limits ...)` and the forms of the optional features.

    Raises:
        SettingsError: A form is unknown or not valid.
    """
    builder = _ConfigBuilder(OperatorConfig(class_limits=[]))
    for form in forms:
        form_name, form_args = read_form(form)
        parse_form = FORM_PARSERS.get(form_name)
        if parse_form is None:
            expected_names = ", ".join(f"`{name}`" for name in FORM_PARSERS)
            raise SettingsError(f"unknown name `{form_name}`, expected one of {expected_names}")
        parse_form(builder, form_args)
    if builder.calendar is not None:
        _apply_calendar(builder.config, builder.calendar)
    return builder.config


def _apply_calendar(config: OperatorConfig, calendar: "Calendar") -> None:
    """Set the calendar of all features that use one, independent of the order of the forms in the file."""
    if config.predictive_scaling is None and config.drain is None and config.delivery_deadline is None:
        raise SettingsError("`calendar` says nothing without `renting-ahead`, `disruption` or `promise`")
    for section in (config.predictive_scaling, config.drain, config.delivery_deadline):
        if section is not None:
            section.calendar = calendar
