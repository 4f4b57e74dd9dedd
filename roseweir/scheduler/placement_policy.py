"""The interface of a scorer of GPU placements, such as `rebalancing/fragmentation_scoring.py`."""

from collections.abc import Iterable
from datetime import datetime
from typing import Protocol

from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import JobSpec


class PlacementPolicy(Protocol):
    """Scores machines for tasks with GPUs; lower is better. Called by the scheduling pass."""

    def begin_pass(self, runs: Iterable[JobRun], machines: list[Machine], now: datetime) -> None:
        """Prepare for a pass over these jobs, with these machines to start tasks on."""

    def fragmentation_cost(self, machine: Machine, spec: JobSpec) -> float:
        """The capacity, needed in one piece by other jobs, that a task of the job would fragment on the machine."""

    def lifetime_mismatch(self, machine: Machine, spec: JobSpec) -> float:
        """1.0 if a task that ends by itself would run beside tasks that do not, or vice versa; else 0.0."""
