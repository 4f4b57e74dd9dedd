"""What speaks against a machine: slow runs, failures of several jobs, leases lost; and how long spot machines lived.

Kept by the leader from reports; a take-over begins it anew, which only makes the service slower to judge.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.placement.model import JobRun, Machine

# Runs after which a machine's speed says something, and how much each counts.
RUNS_LEAST, RUN_WEIGHT = 8, 0.2
# Failures and lost leases are held against a machine for so long.
HELD = timedelta(hours=1)
# Lives of spot machines of a kind that are remembered, and that are needed to tell what is usual.
LIVES_KEPT, LIVES_LEAST = 40, 5


@dataclass(slots=True)
class Record:
    """One machine's."""

    speed: float = 1.0  # times as long as its kind's tasks usually take, faded
    runs: int = 0
    failed: dict[str, datetime] = field(default_factory=dict)  # jobs, and when last
    lapsed: list[datetime] = field(default_factory=list)


class Evidence:
    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.lives: dict[str, deque[timedelta]] = {}

    def _of(self, machine: Machine) -> Record:
        return self.records.setdefault(machine.name, Record())

    def took(self, machine: Machine, times: float) -> None:
        """A task took so many times as long as its class usually does."""
        record = self._of(machine)
        record.runs += 1
        weight = max(RUN_WEIGHT, 1 / record.runs)
        record.speed += weight * (min(times, 10.0) - record.speed)

    def failed(self, machine: Machine, run: JobRun, now: datetime) -> None:
        self._of(machine).failed[run.spec.id] = now

    def lapsed(self, machine: Machine, now: datetime) -> None:
        self._of(machine).lapsed.append(now)

    def recalled(self, machine: Machine, now: datetime) -> None:
        if machine.spot and machine.rented_at > NEVER:
            self.lives.setdefault(machine.type.name, deque(maxlen=LIVES_KEPT)).append(now - machine.rented_at)

    def forget(self, there: dict[str, Machine]) -> None:
        for name in [name for name in self.records if name not in there]:
            del self.records[name]

    # -- what it says -------------------------------------------------------------------------

    def speed(self, machine: Machine) -> float | None:
        record = self.records.get(machine.name)
        return record.speed if record is not None and record.runs >= RUNS_LEAST else None

    def failures(self, machine: Machine, now: datetime) -> int:
        """Of how many jobs tasks failed here lately."""
        record = self.records.get(machine.name)
        return 0 if record is None else sum(now - at < HELD for at in record.failed.values())

    def lapses(self, machine: Machine, now: datetime) -> int:
        record = self.records.get(machine.name)
        return 0 if record is None else sum(now - at < HELD for at in record.lapsed)

    def usual_life(self, type_name: str) -> timedelta | None:
        """How long spot machines of a type lived until the cloud took them."""
        lives = self.lives.get(type_name, ())
        return sorted(lives)[len(lives) // 2] if len(lives) >= LIVES_LEAST else None
