"""What the scheduler asks of a scorer of GPU placements (`rebalancing/fragmentation_scoring.py`)."""

from collections.abc import Iterable
from datetime import datetime
from typing import Protocol

from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import JobSpec


class PlacementPolicy(Protocol):
    def begin_pass(self, runs: Iterable[JobRun], machines: list[Machine], now: datetime) -> None:
        """A pass begins, with these machines to start tasks on."""

    def fragmentation_cost(self, machine: Machine, spec: JobSpec) -> float:
        """How much a task of the job would break on the machine that others need whole."""

    def lifetime_mismatch(self, machine: Machine, spec: JobSpec) -> float:
        """Whether it would sit among tasks that last longer or shorter."""
