"""A drain as requested and stored: which machines, why, its deadline, and what happens after the deadline."""

import re
from datetime import datetime, timedelta
from typing import Any

import msgspec

from roseweir.clock import NEVER, seconds
from roseweir.scheduler.model import Machine

# Active drains at once, and ended ones that are kept for status.
MAX_ACTIVE_DRAINS, MAX_ENDED_DRAINS = 32, 16
# Machines that one drain may name, so that it fits a value of 8 KiB.
MAX_NAMED_MACHINES = 400
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,39}")
# Subcommands of `roseweir drain`, which the command line could not distinguish from a drain's name.
RESERVED_NAMES = ("start", "status", "stop")


class DrainRequest(msgspec.Struct, omit_defaults=True, rename={"min_age_s": "older_s"}):
    """An operator's request. Without machines, types, zones, spot or age it selects all present machines."""

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
    """An accepted drain: stored until it has ended, and then kept among the last `MAX_ENDED_DRAINS`."""

    request: DrainRequest
    requested_at_ms: int  # wall clock
    deadline_ms: int
    grace_s: float
    # Names ascend in the order of creation: machines up to this name existed at the request, replacements come later.
    last_machine: str
    selected_count: int = 0  # machines selected at the request
    outcome: str = ""  # how it ended; "" while active
    remaining_count: int = 0  # machines left when it ended
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
            # The age counts at the time of the request: otherwise machines would keep joining the drain.
            age = machine_age(machine, now)
            return age is not None and age >= seconds(request.min_age_s + (wall_ms - self.requested_at_ms) / 1000)
        return True

    def is_past_deadline(self, wall_ms: int) -> bool:
        return wall_ms >= self.deadline_ms


def machine_age(machine: Machine, now: datetime) -> timedelta | None:
    """Time since the machine's rental; None if this leader neither rented it nor has its time from the machine list."""
    return None if machine.scaled_out_at == NEVER else now - machine.scaled_out_at


class DrainRejected(Exception):
    """The drain is rejected; the message is the reason given to the operator."""


class DrainUnavailable(Exception):
    """The leader can't decide on the drain or store it now; the client may retry with the same name."""


def validate_request(request: DrainRequest, valid_types: Any, valid_zones: Any) -> None:
    """Reject requests that are invalid whatever machines there are."""
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
    for field_name, requested, valid_names in (
        ("type", request.types, valid_types),
        ("zone", request.zones, valid_zones),
    ):
        for name in requested:
            if name not in valid_names:
                raise DrainRejected(f"unknown {field_name} `{name}`, expected one of {', '.join(sorted(valid_names))}")
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
