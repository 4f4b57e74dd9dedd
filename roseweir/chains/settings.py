"""The operators' form `(chain ...)`: the usual order of steps, and what happens where a chain cannot go on."""

from datetime import timedelta
from typing import Any

import msgspec

from roseweir.forms import SettingsError, read_form, read_number, read_text


class ChainSettings(msgspec.Struct):
    """docs/chains.md gives the reason for each default."""

    # Classes in the order in which their steps follow one another; those of one group run side by side.
    order: list[list[str]] = msgspec.field(default_factory=list)
    delivery: str = ""  # the class whose end puts the lots into the viewer; "": the last steps are the delivery
    attempts: int = 5  # failures of a step, after which its chain stands still
    on_cancel: str = "stop"  # what follows a step that its sender cancelled: `stop` or `skip` it
    superseded: str = "finish"  # what runs of a chain that a newer amendment overtook: `finish` or `stop` it
    intake: float = 60.0  # amendments that may be taken at once, and
    window: timedelta = timedelta(seconds=60)  # within how long as many more may be
    keep: timedelta = timedelta(days=30)  # ended chains are told of for so long, if there is room

    def group_of(self, job_class: str) -> int | None:
        return next((n for n, group in enumerate(self.order) if job_class in group), None)


_CHOICES = {"on-cancel": ("on_cancel", ("stop", "skip")), "superseded": ("superseded", ("finish", "stop"))}


def parse_chain(entries: list[Any]) -> ChainSettings:
    """Read `(chain (order "a" ("b" "c") "d") (delivery "d") (attempts 5) (intake 60 60) (keep-days 30) ...)`."""
    found = ChainSettings()
    for entry in entries:
        name, args = read_form(entry)
        if name == "order":
            found.order = _order(args)
        elif name == "delivery":
            found.delivery = read_text(name, args)
        elif name in _CHOICES:
            field, choices = _CHOICES[name]
            text = read_text(name, args)
            if text not in choices:
                raise SettingsError(f"`{name}` in `chain` is one of {', '.join(choices)}")
            setattr(found, field, text)
        elif name == "attempts":
            value = read_number(name, args, above_zero=True)
            if value != int(value):
                raise SettingsError("`attempts` must be a whole number")
            found.attempts = int(value)
        elif name == "intake":
            if len(args) != 2:
                raise SettingsError("`intake` takes a number of amendments and a window in seconds")
            found.intake = read_number(name, args[:1], above_zero=True)
            found.window = timedelta(seconds=read_number(name, args[1:], above_zero=True))
        elif name == "keep-days":
            found.keep = timedelta(days=read_number(name, args, above_zero=True))
        else:
            raise SettingsError(f"unknown name `{name}` in `chain`")
    if found.delivery and found.order and found.group_of(found.delivery) is None:
        raise SettingsError(f"`delivery`: class `{found.delivery}` is not in `order`")
    return found


def _order(args: list[Any]) -> list[list[str]]:
    groups = [arg if isinstance(arg, list) else [arg] for arg in args]
    names = [name for group in groups for name in group]
    if not names or not all(isinstance(name, str) and name for name in names):
        raise SettingsError("`order` takes classes as strings, and lists of those that run side by side")
    if len(set(names)) < len(names):
        raise SettingsError("`order` names a class twice")
    return groups
