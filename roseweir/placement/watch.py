"""What the board tells of tasks' ups and downs to whoever keeps account of them."""

from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol

from roseweir.placement.model import JobRun, Machine, Placement


class Cause(StrEnum):
    """Why a task is down."""

    DRAIN = "drained"
    FORCED = "forced"  # past a drain's deadline, by its operator's word
    NOTICE = "spot notice"
    PREEMPTED = "preempted"
    FAILED = "failed"
    LOST = "lost"
    UNKNOWN = "unknown"  # since before a take-over


class Watcher(Protocol):
    def halted(self, placement: Placement, cause: Cause, now: datetime) -> None:
        """The task is told to stop."""

    def gone(self, placement: Placement, cause: Cause, now: datetime) -> None:
        """The task is proven gone, and neither done nor told to stop."""

    def runs(self, placement: Placement) -> None:
        """A report says that it runs."""

    def done(self, run: JobRun, index: int) -> None: ...

    def over(self, run: JobRun) -> None: ...

    def took(self, placement: Placement, taken: timedelta) -> None:
        """A task of an array ended well after so long a run."""

    def failed(self, machine: Machine, run: JobRun, now: datetime) -> None: ...

    def lapsed(self, machine: Machine, now: datetime) -> None:
        """A machine that went on lost its lease: its worker began another session."""

    def recalled(self, machine: Machine, now: datetime) -> None:
        """The cloud said that it takes the machine back."""
