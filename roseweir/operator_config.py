"""Operators' own settings (S-expressions), gathered from the slices that declare their forms."""

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

FORM_NAMES = ("startup-limits", "renting-ahead", "calendar", "disruption", "replacement", "packing", "chain", "promise")


class OperatorConfig(
    LimitSettings,
    rename={
        "predictive_scaling": "ahead",
        "rebalancing": "packing",
        "workflow": "chain",
        "delivery_deadline": "promise",
    },
):
    """All that operators set; what they leave out has its default."""

    # Renting ahead of demand; None: off, and nothing of it is loaded.
    predictive_scaling: "PredictiveScalingSettings | None" = None
    # Where tasks with GPUs go, and whether replicas are moved for large ones.
    rebalancing: RebalancingSettings = msgspec.field(default_factory=RebalancingSettings)
    # Chains of jobs; None: amendments are taken with the defaults.
    workflow: "WorkflowSettings | None" = None
    # Promises of mornings; None: nobody is promised anything.
    delivery_deadline: "DeadlineSettings | None" = None
    # Budgets of disruption and own reasons to replace machines; None: operators' drains alone, with the defaults.
    drain: "DrainSettings | None" = None


def load_operator_config(path: Path | None) -> OperatorConfig:
    if path is None:
        return OperatorConfig()
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as e:
        raise SettingsError(f"{path}: {e}") from e
    try:
        forms = sexpdata.parse(text)
    except Exception as e:  # sexpdata raises several kinds of its own
        raise SettingsError(f"{path}: not S-expressions: {e}") from e
    try:
        return parse_operator_config(forms)
    except SettingsError as e:
        raise SettingsError(f"{path}: {e}") from e


def parse_operator_config(forms: list[Any]) -> OperatorConfig:
    """Read `(startup-limits ...)` and the forms of what is switched on."""
    config = OperatorConfig(class_limits=[])
    calendar: Calendar | None = None
    for form in forms:
        form_name, form_args = read_form(form)
        if form_name == "startup-limits":
            parse_limits(config, form_args)
        elif form_name == "calendar":
            from roseweir.calendars import parse_calendar

            calendar = parse_calendar(form_args)
        elif form_name == "renting-ahead":
            # Loaded only where it is used: controllers have little memory.
            from roseweir.forecast.settings import parse_predictive_scaling

            config.predictive_scaling = parse_predictive_scaling(form_args)
        elif form_name == "chain":
            from roseweir.workflows.settings import parse_workflow_settings

            config.workflow = parse_workflow_settings(form_args)
        elif form_name == "promise":
            from roseweir.delivery_deadlines.settings import DeadlineSettings, parse_deadline_policy

            config.delivery_deadline = config.delivery_deadline or DeadlineSettings()
            parse_deadline_policy(config.delivery_deadline, form_args)
        elif form_name == "packing":
            config.rebalancing = parse_rebalancing(form_args)
        elif form_name in ("disruption", "replacement"):
            from roseweir.drain.settings import DrainSettings, parse_disruption, parse_replacement

            config.drain = config.drain or DrainSettings()
            if form_name == "disruption":
                parse_disruption(config.drain, form_args)
            else:
                config.drain.auto_replacement = parse_replacement(form_args)
        else:
            names = ", ".join(f"`{name}`" for name in FORM_NAMES)
            raise SettingsError(f"unknown name `{form_name}`, expected one of {names}")
    if calendar is not None:
        if config.predictive_scaling is None and config.drain is None and config.delivery_deadline is None:
            raise SettingsError("`calendar` says nothing without `renting-ahead`, `disruption` or `promise`")
        for section in (config.predictive_scaling, config.drain, config.delivery_deadline):
            if section is not None:
                section.calendar = calendar
    return config
