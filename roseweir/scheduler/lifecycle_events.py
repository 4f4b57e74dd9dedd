"""Task lifecycle events, and the listener that receives them from the cluster state."""

from datetime import datetime, timedelta
from enum import StrEnum
from typing import Protocol

from roseweir.scheduler.model import JobRun, Machine, Placement


class DowntimeCause(StrEnum):
    """Why a task is down."""

    DRAIN = "drained"
    FORCED_DRAIN = "forced"  # past a drain's deadline, on its operator's command
    SPOT_NOTICE = "spot notice"
    PREEMPTED = "preempted"
    FAILED = "failed"
    LOST = "lost"
    UNKNOWN = "unknown"  # it went down before a failover


class TaskLifecycleListener(Protocol):
    """Receives task lifecycle events as the cluster state changes."""

    def on_task_stopped(self, placement: Placement, cause: DowntimeCause, now: datetime) -> None:
        """The task was requested to stop."""

    def on_task_lost(self, placement: Placement, cause: DowntimeCause, now: datetime) -> None:
        """The task is proven gone, and neither completed nor was requested to stop."""

    def on_task_running(self, placement: Placement) -> None:
        """A heartbeat lists the task as running."""

    def on_task_completed(self, run: JobRun, index: int) -> None:
        """The task completed for the first time."""

    def on_job_ended(self, run: JobRun) -> None:
        """The job's end is in the key-value store; `run.final_state` is its final state."""

    def on_runtime_measured(self, placement: Placement, runtime: timedelta) -> None:
        """A task of a job array completed after running for `runtime`."""

    def on_task_failed(self, machine: Machine, run: JobRun, now: datetime) -> None:
        """A task failed on the machine, and its job is not crash-looping."""

    def on_lease_expired(self, machine: Machine, now: datetime) -> None:
        """The machine's lease expired while it stayed up: its worker began another incarnation."""

    def on_spot_reclaimed(self, machine: Machine, now: datetime) -> None:
        """The cloud gave notice that it reclaims the spot instance."""
