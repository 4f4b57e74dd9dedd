"""What speaks against a machine: slow runs, failures of several jobs, leases lost; and how long spot machines lived.

Kept by the leader from reports; a take-over begins it anew, which only makes the service slower to judge.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import JobRun, Machine

# Runs after which a machine's speed says something, and how much each counts.
MIN_RUNS_FOR_SLOWDOWN, MIN_RUN_WEIGHT = 8, 0.2
# Failures and lost leases are held against a machine for so long.
INCIDENT_RETENTION = timedelta(hours=1)
# Lives of spot machines of a kind that are remembered, and that are needed to tell what is usual.
MAX_SPOT_LIFETIMES, MIN_SPOT_LIFETIMES = 40, 5


@dataclass(slots=True)
class HealthRecord:
    """One machine's."""

    slowdown: float = 1.0  # times as long as its kind's tasks usually take, faded
    run_count: int = 0
    last_failure_by_job: dict[str, datetime] = field(default_factory=dict)  # jobs, and when last
    lease_expiries: list[datetime] = field(default_factory=list)


class MachineHealth:
    def __init__(self) -> None:
        self.records: dict[str, HealthRecord] = {}
        self.spot_lifetimes: dict[str, deque[timedelta]] = {}

    def _record_of(self, machine: Machine) -> HealthRecord:
        return self.records.setdefault(machine.name, HealthRecord())

    def record_run(self, machine: Machine, duration_ratio: float) -> None:
        """A task took so many times as long as its class usually does."""
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

    # -- what it says -------------------------------------------------------------------------

    def slowdown_of(self, machine: Machine) -> float | None:
        record = self.records.get(machine.name)
        return record.slowdown if record is not None and record.run_count >= MIN_RUNS_FOR_SLOWDOWN else None

    def recent_failing_jobs(self, machine: Machine, now: datetime) -> int:
        """Of how many jobs tasks failed here lately."""
        record = self.records.get(machine.name)
        return 0 if record is None else sum(now - at < INCIDENT_RETENTION for at in record.last_failure_by_job.values())

    def recent_lease_expiries(self, machine: Machine, now: datetime) -> int:
        record = self.records.get(machine.name)
        return 0 if record is None else sum(now - at < INCIDENT_RETENTION for at in record.lease_expiries)

    def typical_spot_lifetime(self, type_name: str) -> timedelta | None:
        """How long spot machines of a type lived until the cloud took them."""
        lifetimes = self.spot_lifetimes.get(type_name, ())
        return sorted(lifetimes)[len(lifetimes) // 2] if len(lifetimes) >= MIN_SPOT_LIFETIMES else None
