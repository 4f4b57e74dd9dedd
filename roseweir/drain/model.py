"""A drain as it is asked for and kept: which machines, why, until when, and what happens then."""

import re
from datetime import datetime, timedelta
from typing import Any

import msgspec

from roseweir.clock import NEVER, seconds
from roseweir.placement.model import Machine

# Drains of one fleet at once, and ended ones that are still told of.
ACTIVE_MOST, ENDED_KEPT = 32, 16
# Machines that one drain may name, so that it fits a value of 8 KiB.
NAMED_MOST = 400
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,39}")
# What the command line takes for something else than a drain's name.
RESERVED = ("start", "status", "stop")


class Ask(msgspec.Struct, omit_defaults=True):
    """What an operator asks for. Without machines, types, zones, kind or age it is all there are now."""

    name: str
    reason: str = ""
    machines: list[str] = []
    types: list[str] = []
    zones: list[str] = []
    spot: bool | None = None
    older_s: float | None = None
    grace_s: float | None = None
    deadline_s: float | None = None
    force: bool = False
    replace: bool = True


class Drain(msgspec.Struct, omit_defaults=True):
    """An intention that was answered: kept until it has ended, and for a while after."""

    ask: Ask
    asked_ms: int  # by the wall clock
    deadline_ms: int
    grace_s: float
    # Names are given in the order of creation: machines up to this one were there. What replaces them comes later.
    upto: str
    total: int = 0  # machines chosen when it was asked for
    outcome: str = ""  # how it ended; "": it goes on
    left: int = 0  # machines that it did not empty
    ended_ms: int = 0

    @property
    def name(self) -> str:
        return self.ask.name

    @property
    def grace(self) -> timedelta:
        return seconds(self.grace_s)

    def selects(self, machine: Machine, now: datetime, wall_ms: int) -> bool:
        ask = self.ask
        if ask.machines:
            return machine.name in ask.machines
        if machine.name > self.upto:
            return False
        if ask.types and machine.type.name not in ask.types:
            return False
        if ask.zones and machine.zone not in ask.zones:
            return False
        if ask.spot is not None and machine.spot != ask.spot:
            return False
        if ask.older_s is not None:
            # As old as that when it was asked for: otherwise machines would go on joining it.
            age = age_of(machine, now)
            return age is not None and age >= seconds(ask.older_s + (wall_ms - self.asked_ms) / 1000)
        return True

    def is_late(self, wall_ms: int) -> bool:
        return wall_ms >= self.deadline_ms


def age_of(machine: Machine, now: datetime) -> timedelta | None:
    """Since its rental, as far as the list or its own rental has told."""
    return None if machine.rented_at == NEVER else now - machine.rented_at


class Refused(Exception):
    """The drain is not taken, with the reason."""


class NotNow(Exception):
    """The leader can't decide or record it now: ask again, by the same name."""


def check(ask: Ask, known_types: Any, known_zones: Any) -> None:
    """Refuse what makes no sense whatever the fleet does."""
    if not _NAME.fullmatch(ask.name) or ask.name in RESERVED or ask.name.startswith("replace-"):
        raise Refused(
            f"name `{ask.name}`: 1 to 40 of a-z, 0-9, `-`, `.`; not {', '.join(RESERVED)}, nor beginning with replace-"
        )
    if len(ask.machines) > NAMED_MOST:
        raise Refused(
            f"{len(ask.machines)} machines named, at most {NAMED_MOST}: name a zone or a type, or several drains"
        )
    if ask.machines and (ask.types or ask.zones or ask.spot is not None or ask.older_s is not None):
        raise Refused("machines are named, so type, zone, kind and age say nothing")
    for what, names, known in (("type", ask.types, known_types), ("zone", ask.zones, known_zones)):
        for name in names:
            if name not in known:
                raise Refused(f"unknown {what} `{name}`, expected one of {', '.join(sorted(known))}")
    for what, value in (("older", ask.older_s), ("grace", ask.grace_s), ("deadline", ask.deadline_s)):
        if value is not None and not 0 <= value < 1e8:
            raise Refused(f"{what}: {value} is no span of seconds")
    if ask.deadline_s == 0:
        raise Refused("a deadline of 0 leaves no time")
    if len(ask.reason) > 200:
        raise Refused("a reason has 200 characters at most")
