"""Operators' own settings (S-expressions), gathered from the slices that declare their forms."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import sexpdata

from roseweir.forms import SettingsError, read_form
from roseweir.limits.settings import LimitSettings, parse_limits
from roseweir.packing.settings import PackingSettings, parse_packing

if TYPE_CHECKING:
    from roseweir.calendars import Calendar
    from roseweir.chains.settings import ChainSettings
    from roseweir.drain.settings import DrainSettings
    from roseweir.forecast.settings import AheadSettings
    from roseweir.promises.settings import PromiseSettings

FORMS = ("startup-limits", "renting-ahead", "calendar", "disruption", "replacement", "packing", "chain", "promise")


class Tuning(LimitSettings):
    """All that operators set; what they leave out has its default."""

    # Renting ahead of demand; None: off, and nothing of it is loaded.
    ahead: "AheadSettings | None" = None
    # Where tasks with GPUs go, and whether replicas are moved for large ones.
    packing: PackingSettings = msgspec.field(default_factory=PackingSettings)
    # Chains of jobs; None: amendments are taken with the defaults.
    chain: "ChainSettings | None" = None
    # Promises of mornings; None: nobody is promised anything.
    promise: "PromiseSettings | None" = None
    # Budgets of disruption and own reasons to replace machines; None: operators' drains alone, with the defaults.
    drain: "DrainSettings | None" = None


def load_tuning(path: Path | None) -> Tuning:
    if path is None:
        return Tuning()
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as e:
        raise SettingsError(f"{path}: {e}") from e
    try:
        forms = sexpdata.parse(text)
    except Exception as e:  # sexpdata raises several kinds of its own
        raise SettingsError(f"{path}: not S-expressions: {e}") from e
    try:
        return parse_tuning(forms)
    except SettingsError as e:
        raise SettingsError(f"{path}: {e}") from e


def parse_tuning(forms: list[Any]) -> Tuning:
    """Read `(startup-limits ...)` and the forms of what is switched on."""
    tuning = Tuning(class_limits=[])
    calendar: Calendar | None = None
    for form in forms:
        head, rest = read_form(form)
        if head == "startup-limits":
            parse_limits(tuning, rest)
        elif head == "calendar":
            from roseweir.calendars import parse_calendar

            calendar = parse_calendar(rest)
        elif head == "renting-ahead":
            # Loaded only where it is used: controllers have little memory.
            from roseweir.forecast.settings import parse_ahead

            tuning.ahead = parse_ahead(rest)
        elif head == "chain":
            from roseweir.chains.settings import parse_chain

            tuning.chain = parse_chain(rest)
        elif head == "promise":
            from roseweir.promises.settings import PromiseSettings, parse_promise

            tuning.promise = tuning.promise or PromiseSettings()
            parse_promise(tuning.promise, rest)
        elif head == "packing":
            tuning.packing = parse_packing(rest)
        elif head in ("disruption", "replacement"):
            from roseweir.drain.settings import DrainSettings, parse_disruption, parse_replacement

            tuning.drain = tuning.drain or DrainSettings()
            if head == "disruption":
                parse_disruption(tuning.drain, rest)
            else:
                tuning.drain.own = parse_replacement(rest)
        else:
            names = ", ".join(f"`{name}`" for name in FORMS)
            raise SettingsError(f"unknown name `{head}`, expected one of {names}")
    if calendar is not None:
        if tuning.ahead is None and tuning.drain is None and tuning.promise is None:
            raise SettingsError("`calendar` says nothing without `renting-ahead`, `disruption` or `promise`")
        for switched_on in (tuning.ahead, tuning.drain, tuning.promise):
            if switched_on is not None:
                switched_on.calendar = calendar
    return tuning
