"""Selects machines for automatic replacement, within daily limits and circuit breakers. Performs no I/O.

Each replacement is charged to the day's machines and money before its machine is cordoned, and the counts are stored
together with the cordon. So no day (the wall clock's UTC date) exceeds `machines-a-day` replacements, nor
`money-a-day` of their estimated cost: both machines are paid for from the rental until the new one should have booted
at the latest, at least for a minute. A replacement is itself replaced only if its own health record gives a reason, or
once it reaches the age limit, so there is no loop without a new cause. If replacements are as unhealthy as the
machines they replaced, a circuit breaker ends the loop.

A circuit breaker (`brake` in the settings) covers one reason and one machine type. It opens if more than
`brake-share` of the type is unhealthy, or at least half of the machines rented since the first replacement, and at
least two of them. It closes by itself after a time that doubles with each trip, up to `brake-most`; once it has been
closed for `brake-most`, the next trip starts at `brake` again. Age needs no circuit breaker: all machines reach it
alike, and the surge pool bounds how many are replaced at once.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

from roseweir.clock import seconds
from roseweir.drain.machine_health import MachineHealth
from roseweir.drain.model import machine_age
from roseweir.drain.settings import AutoReplacementSettings
from roseweir.scheduler.model import Machine

log = logging.getLogger(__name__)

REPLACE_OLD, REPLACE_SLOW, REPLACE_FAILING, REPLACE_LEASE_EXPIRY, REPLACE_SPOT_AGE = (
    "replace-older",
    "replace-slow",
    "replace-failing",
    "replace-lapsing",
    "replace-spot",
)
REPLACEMENT_REASONS = (REPLACE_FAILING, REPLACE_LEASE_EXPIRY, REPLACE_SLOW, REPLACE_SPOT_AGE, REPLACE_OLD)
# With fewer machines of a type, the share that is unhealthy is not significant.
MIN_MACHINES_FOR_SHARE = 4
MIN_REPEATED_UNHEALTHY = 2
MIN_BILLED_DURATION = timedelta(minutes=1)
BOOT_DURATION_FACTOR = 1.5
# The pause after further trips is doubled this many times at most; `brake_most` bounds it long before.
MAX_BRAKE_DOUBLINGS = 64


@dataclass(slots=True)
class CircuitBreaker:
    open_until_ms: int = 0
    trip_count: int = 0
    reason: str = ""


class AutoReplacement:
    """Selects machines for automatic replacement; keeps the day's counts and the circuit breakers."""

    def __init__(self, settings: AutoReplacementSettings, machine_health: MachineHealth) -> None:
        self.settings = settings
        self.machine_health = machine_health
        self.day = 0
        self.replaced_today = 0
        self.spent_today = 0.0
        self.circuit_breakers: dict[tuple[str, str], CircuitBreaker] = {}
        self._first_replaced_at: dict[tuple[str, str], datetime] = {}  # by reason and type, since its last trip
        self.reason_by_machine: dict[str, str] = {}  # by machine name, including machines whose breaker is open

    # -- selection ----------------------------------------------------------------------------

    def select_machines(self, machines: Iterable[Machine], now: datetime, wall_ms: int) -> dict[str, str]:
        """Reasons by name of the machines to replace, except where the circuit breaker is open."""
        eligible = [
            m for m in machines if m.has_acknowledged_term and not m.is_marked_for_release and m.spot_reclaim_at is None
        ]
        reasons = {m.name: reason for m in eligible if (reason := self._reason_to_replace(m, now))}
        self.reason_by_machine = reasons
        self._trip_circuit_breakers(eligible, now, wall_ms)
        return {
            m.name: reasons[m.name]
            for m in eligible
            if m.name in reasons and not self._is_tripped(reasons[m.name], m, wall_ms)
        }

    def _reason_to_replace(self, machine: Machine, now: datetime) -> str:
        settings, machine_health = self.settings, self.machine_health
        if settings.failing is not None and machine_health.recent_failing_jobs(machine, now) >= settings.failing:
            return REPLACE_FAILING
        if settings.lapsing is not None and machine_health.recent_lease_expiries(machine, now) >= settings.lapsing:
            return REPLACE_LEASE_EXPIRY
        if settings.slow is not None and (machine_health.slowdown_of(machine) or 0.0) >= settings.slow:
            return REPLACE_SLOW
        age = machine_age(machine, now)
        if age is None:
            return ""
        if settings.spot_life is not None and machine.is_spot:
            typical_lifetime = machine_health.typical_spot_lifetime(machine.machine_type.name)
            if typical_lifetime is not None and age >= typical_lifetime * settings.spot_life:
                return REPLACE_SPOT_AGE
        if settings.older is not None and age >= settings.older:
            return REPLACE_OLD
        return ""

    def _trip_circuit_breakers(self, eligible: list[Machine], now: datetime, wall_ms: int) -> None:
        machines_by_type: dict[str, list[Machine]] = {}
        for machine in eligible:
            machines_by_type.setdefault(machine.machine_type.name, []).append(machine)
        for machine_type, machines in machines_by_type.items():
            for reason in (REPLACE_FAILING, REPLACE_LEASE_EXPIRY, REPLACE_SLOW, REPLACE_SPOT_AGE):
                unhealthy = [m for m in machines if self.reason_by_machine.get(m.name) == reason]
                if not unhealthy or self._is_tripped(reason, machines[0], wall_ms):
                    continue
                first_replaced_at = self._first_replaced_at.get((reason, machine_type))
                unhealthy_since = [
                    m for m in unhealthy if first_replaced_at is not None and m.scaled_out_at > first_replaced_at
                ]
                rented_since = [
                    m for m in machines if first_replaced_at is not None and m.scaled_out_at > first_replaced_at
                ]
                if len(machines) >= MIN_MACHINES_FOR_SHARE and len(unhealthy) > self.settings.brake_share * len(
                    machines
                ):
                    self._trip(
                        reason,
                        machine_type,
                        wall_ms,
                        f"{len(unhealthy)} of {len(machines)} {machine_type} are called bad",
                    )
                elif len(unhealthy_since) >= MIN_REPEATED_UNHEALTHY and len(unhealthy_since) * 2 >= len(rented_since):
                    self._trip(
                        reason,
                        machine_type,
                        wall_ms,
                        f"{len(unhealthy_since)} of {len(rented_since)} {machine_type} that came since are no better",
                    )

    def _trip(self, reason: str, machine_type: str, wall_ms: int, cause: str) -> None:
        breaker = self.circuit_breakers.setdefault((reason, machine_type), CircuitBreaker())
        if breaker.trip_count and wall_ms - breaker.open_until_ms > self.settings.brake_most.total_seconds() * 1000:
            breaker.trip_count = 0
        doublings = min(breaker.trip_count, MAX_BRAKE_DOUBLINGS)
        open_duration = min(seconds(self.settings.brake.total_seconds() * 2**doublings), self.settings.brake_most)
        breaker.open_until_ms = wall_ms + round(open_duration.total_seconds() * 1000)
        breaker.trip_count += 1
        breaker.reason = cause
        self._first_replaced_at.pop((reason, machine_type), None)
        log.warning(
            "%s: automatic replacement of %s paused for %.0f s: %s",
            reason,
            machine_type,
            open_duration.total_seconds(),
            cause,
        )

    def _is_tripped(self, reason: str, machine: Machine, wall_ms: int) -> bool:
        breaker = self.circuit_breakers.get((reason, machine.machine_type.name))
        return breaker is not None and wall_ms < breaker.open_until_ms

    # -- daily limits -------------------------------------------------------------------------

    def refusal_reason(self, machine: Machine, wall_ms: int) -> str:
        """Why the machine may not be replaced today; "" if it may."""
        self._start_new_day(wall_ms)
        if self.replaced_today + 1 > self.settings.machines_a_day:
            return f"{self.replaced_today} machines were replaced today, the most that may be"
        if self.spent_today + replacement_cost(machine) > self.settings.money_a_day:
            return f"{self.spent_today:.2f} were spent on replacing machines today, the most that may be"
        return ""

    def charge(self, machine: Machine, reason: str, now: datetime, wall_ms: int) -> None:
        self._start_new_day(wall_ms)
        self.replaced_today += 1
        self.spent_today += replacement_cost(machine)
        self._first_replaced_at.setdefault((reason, machine.machine_type.name), now)

    def _start_new_day(self, wall_ms: int) -> None:
        day = datetime.fromtimestamp(wall_ms / 1000, UTC).toordinal()
        # Clocks of controllers differ: after a failover the date may be a day behind, which must not reset the counts.
        if day > self.day:
            self.day, self.replaced_today, self.spent_today = day, 0, 0.0

    # -- storage and status -------------------------------------------------------------------

    def encode(self) -> dict[str, Any]:
        return {
            "day": self.day,
            "machines": self.replaced_today,
            "money": round(self.spent_today, 4),
            "brakes": {
                f"{reason}/{machine_type}": [b.open_until_ms, b.trip_count, b.reason]
                for (reason, machine_type), b in self.circuit_breakers.items()
            },
        }

    def restore(self, stored: dict[str, Any]) -> None:
        self.day, self.replaced_today, self.spent_today = stored["day"], stored["machines"], stored["money"]
        for key, (open_until_ms, trip_count, cause) in stored["brakes"].items():
            reason, _, machine_type = key.partition("/")
            self.circuit_breakers[reason, machine_type] = CircuitBreaker(open_until_ms, trip_count, cause)

    def describe(self, wall_ms: int) -> dict[str, Any]:
        counts: dict[str, int] = {}
        for reason in self.reason_by_machine.values():
            counts[reason] = counts.get(reason, 0) + 1
        return {
            "machines_with_a_reason": counts,
            "replaced_today": self.replaced_today,
            "machines_a_day": self.settings.machines_a_day,
            "spent_today": round(self.spent_today, 2),
            "money_a_day": self.settings.money_a_day,
            "brakes": [
                {
                    "reason": reason,
                    "type": machine_type,
                    "lifts_in_s": round((b.open_until_ms - wall_ms) / 1000),
                    "why": b.reason,
                }
                for (reason, machine_type), b in sorted(self.circuit_breakers.items())
                if b.open_until_ms > wall_ms
            ],
        }


def replacement_cost(machine: Machine) -> float:
    """Estimated cost of running both machines while the new one boots, at least for a minute."""
    machine_type = machine.machine_type
    price = machine_type.spot_price if machine.is_spot else machine_type.price
    billed_duration = max(MIN_BILLED_DURATION, seconds(machine_type.boot_s * BOOT_DURATION_FACTOR))
    return price * (billed_duration / timedelta(hours=1))
