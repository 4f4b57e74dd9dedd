"""What the board tells of tasks' ups and downs to whoever keeps account of them."""

from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol

from roseweir.scheduler.model import JobRun, Machine, Placement


class DowntimeCause(StrEnum):
    """Why a task is down."""

    DRAIN = "drained"
    FORCED_DRAIN = "forced"  # past a drain's deadline, by its operator's word
    SPOT_NOTICE = "spot notice"
    PREEMPTED = "preempted"
    FAILED = "failed"
    LOST = "lost"
    UNKNOWN = "unknown"  # since before a take-over


class TaskLifecycleListener(Protocol):
    def stopped(self, placement: Placement, cause: DowntimeCause, now: datetime) -> None:
        """The task is told to stop."""

    def lost(self, placement: Placement, cause: DowntimeCause, now: datetime) -> None:
        """The task is proven gone, and neither done nor told to stop."""

    def running(self, placement: Placement) -> None:
        """A report says that it runs."""

    def completed(self, run: JobRun, index: int) -> None: ...

    def job_ended(self, run: JobRun) -> None: ...

    def runtime_measured(self, placement: Placement, runtime: timedelta) -> None:
        """A task of an array ended well after so long a run."""

    def task_failed(self, machine: Machine, run: JobRun, now: datetime) -> None: ...

    def lease_expired(self, machine: Machine, now: datetime) -> None:
        """A machine that went on lost its lease: its worker began another session."""

    def spot_reclaimed(self, machine: Machine, now: datetime) -> None:
        """The cloud said that it takes the machine back."""
