"""What the planner asks about where tasks with GPUs should go, of whoever knows about sizes (`packing/choice.py`)."""

from collections.abc import Iterable
from datetime import datetime
from typing import Protocol

from roseweir.placement.model import JobRun, Machine
from roseweir.submissions.jobs import JobSpec


class Chooser(Protocol):
    def look(self, runs: Iterable[JobRun], machines: list[Machine], now: datetime) -> None:
        """A pass begins, with these machines to start tasks on."""

    def breaks(self, machine: Machine, spec: JobSpec) -> float:
        """How much a task of the job would break on the machine that others need whole."""

    def mixes(self, machine: Machine, spec: JobSpec) -> float:
        """Whether it would sit among tasks that last longer or shorter."""
