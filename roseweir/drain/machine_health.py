"""Health records of machines (slow runs, task failures, expired leases), and lifetimes of spot machines.

Kept in the leader's memory from heartbeats. A failover starts with empty records, which only delays replacements.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun, Machine

# Runs after which a machine's slowdown is significant, and the minimum weight of a new run in the moving average.
MIN_RUNS_FOR_SLOWDOWN, MIN_RUN_WEIGHT = 8, 0.2
# Failures and expired leases count against a machine for this long.
INCIDENT_RETENTION = timedelta(hours=1)
# Lifetimes of spot machines kept per type, and how many are needed to determine the typical one.
MAX_SPOT_LIFETIMES, MIN_SPOT_LIFETIMES = 40, 5


@dataclass(slots=True)
class HealthRecord:
    """Health of one machine."""

    slowdown: float = 1.0  # moving average of run time relative to the usual one
    run_count: int = 0
    last_failure_by_job: dict[str, datetime] = field(default_factory=dict)
    lease_expiries: list[datetime] = field(default_factory=list)


class MachineHealth:
    def __init__(self) -> None:
        self.records: dict[str, HealthRecord] = {}
        self.spot_lifetimes: dict[str, deque[timedelta]] = {}

    def _record_of(self, machine: Machine) -> HealthRecord:
        return self.records.setdefault(machine.name, HealthRecord())

    def record_run(self, machine: Machine, duration_ratio: float) -> None:
        """Record a run that took this many times as long as the task's class usually does."""
        record = self._record_of(machine)
        record.run_count += 1
        weight = max(MIN_RUN_WEIGHT, 1 / record.run_count)
        record.slowdown += weight * (min(duration_ratio, 10.0) - record.slowdown)

    def record_failure(self, machine: Machine, run: JobRun, now: datetime) -> None:
        self._record_of(machine).last_failure_by_job[run.spec.id] = now

    def record_lease_expiry(self, machine: Machine, now: datetime) -> None:
        self._record_of(machine).lease_expiries.append(now)

    def record_spot_reclaim(self, machine: Machine, now: datetime) -> None:
        if machine.is_spot and machine.scaled_out_at > NEVER:
            self.spot_lifetimes.setdefault(machine.machine_type.name, deque(maxlen=MAX_SPOT_LIFETIMES)).append(
                now - machine.scaled_out_at
            )

    def remove_missing(self, machines: dict[str, Machine]) -> None:
        for name in [name for name in self.records if name not in machines]:
            del self.records[name]

    # -- queries ------------------------------------------------------------------------------

    def slowdown_of(self, machine: Machine) -> float | None:
        record = self.records.get(machine.name)
        return record.slowdown if record is not None and record.run_count >= MIN_RUNS_FOR_SLOWDOWN else None

    def recent_failing_jobs(self, machine: Machine, now: datetime) -> int:
        """Number of jobs whose tasks failed on the machine within `INCIDENT_RETENTION`."""
        record = self.records.get(machine.name)
        return 0 if record is None else sum(now - at < INCIDENT_RETENTION for at in record.last_failure_by_job.values())

    def recent_lease_expiries(self, machine: Machine, now: datetime) -> int:
        record = self.records.get(machine.name)
        return 0 if record is None else sum(now - at < INCIDENT_RETENTION for at in record.lease_expiries)

    def typical_spot_lifetime(self, type_name: str) -> timedelta | None:
        """Median lifetime of a type's spot machines until the cloud reclaimed them; None if too few are known."""
        lifetimes = self.spot_lifetimes.get(type_name, ())
        return sorted(lifetimes)[len(lifetimes) // 2] if len(lifetimes) >= MIN_SPOT_LIFETIMES else None
