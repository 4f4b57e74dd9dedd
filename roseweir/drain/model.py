"""A drain as it is asked for and kept: which machines, why, until when, and what happens then."""

import re
from datetime import datetime, timedelta
from typing import Any

import msgspec

from roseweir.clock import NEVER, seconds
from roseweir.scheduler.model import Machine

# Drains of one fleet at once, and ended ones that are still told of.
MAX_ACTIVE_DRAINS, MAX_ENDED_DRAINS = 32, 16
# Machines that one drain may name, so that it fits a value of 8 KiB.
MAX_NAMED_MACHINES = 400
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,39}")
# What the command line takes for something else than a drain's name.
RESERVED_NAMES = ("start", "status", "stop")


class DrainRequest(msgspec.Struct, omit_defaults=True, rename={"min_age_s": "older_s"}):
    """What an operator asks for. Without machines, types, zones, kind or age it is all there are now."""

    name: str
    reason: str = ""
    machines: list[str] = []
    types: list[str] = []
    zones: list[str] = []
    spot: bool | None = None
    min_age_s: float | None = None
    grace_s: float | None = None
    deadline_s: float | None = None
    force: bool = False
    replace: bool = True


class Drain(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "request": "ask",
        "requested_at_ms": "asked_ms",
        "last_machine": "upto",
        "selected_count": "total",
        "remaining_count": "left",
        "ended_at_ms": "ended_ms",
    },
):
    """An intention that was answered: kept until it has ended, and for a while after."""

    request: DrainRequest
    requested_at_ms: int  # by the wall clock
    deadline_ms: int
    grace_s: float
    # Names are given in the order of creation: machines up to this one were there. What replaces them comes later.
    last_machine: str
    selected_count: int = 0  # machines chosen when it was asked for
    outcome: str = ""  # how it ended; "": it goes on
    remaining_count: int = 0  # machines that it did not empty
    ended_at_ms: int = 0

    @property
    def name(self) -> str:
        return self.request.name

    @property
    def grace(self) -> timedelta:
        return seconds(self.grace_s)

    def selects(self, machine: Machine, now: datetime, wall_ms: int) -> bool:
        request = self.request
        if request.machines:
            return machine.name in request.machines
        if machine.name > self.last_machine:
            return False
        if request.types and machine.machine_type.name not in request.types:
            return False
        if request.zones and machine.zone not in request.zones:
            return False
        if request.spot is not None and machine.is_spot != request.spot:
            return False
        if request.min_age_s is not None:
            # As old as that when it was asked for: otherwise machines would go on joining it.
            age = machine_age(machine, now)
            return age is not None and age >= seconds(request.min_age_s + (wall_ms - self.requested_at_ms) / 1000)
        return True

    def is_past_deadline(self, wall_ms: int) -> bool:
        return wall_ms >= self.deadline_ms


def machine_age(machine: Machine, now: datetime) -> timedelta | None:
    """Since its rental, as far as the list or its own rental has told."""
    return None if machine.scaled_out_at == NEVER else now - machine.scaled_out_at


class DrainRejected(Exception):
    """The drain is not taken, with the reason."""


class DrainUnavailable(Exception):
    """The leader can't decide or record it now: ask again, by the same name."""


def validate_request(request: DrainRequest, known_types: Any, known_zones: Any) -> None:
    """Refuse what makes no sense whatever the fleet does."""
    if (
        not _NAME_PATTERN.fullmatch(request.name)
        or request.name in RESERVED_NAMES
        or request.name.startswith("replace-")
    ):
        raise DrainRejected(
            f"name `{request.name}`: 1 to 40 of a-z, 0-9, `-`, `.`; "
            f"not {', '.join(RESERVED_NAMES)}, nor beginning with replace-"
        )
    if len(request.machines) > MAX_NAMED_MACHINES:
        raise DrainRejected(
            f"{len(request.machines)} machines named, at most {MAX_NAMED_MACHINES}: "
            "name a zone or a type, or several drains"
        )
    if request.machines and (
        request.types or request.zones or request.spot is not None or request.min_age_s is not None
    ):
        raise DrainRejected("machines are named, so type, zone, kind and age say nothing")
    for field_name, requested, known_names in (
        ("type", request.types, known_types),
        ("zone", request.zones, known_zones),
    ):
        for name in requested:
            if name not in known_names:
                raise DrainRejected(f"unknown {field_name} `{name}`, expected one of {', '.join(sorted(known_names))}")
    for field_name, value in (
        ("older", request.min_age_s),
        ("grace", request.grace_s),
        ("deadline", request.deadline_s),
    ):
        if value is not None and not 0 <= value < 1e8:
            raise DrainRejected(f"{field_name}: {value} is no span of seconds")
    if request.deadline_s == 0:
        raise DrainRejected("a deadline of 0 leaves no time")
    if len(request.reason) > 200:
        raise DrainRejected("a reason has 200 characters at most")
