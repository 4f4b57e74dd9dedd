"""Records task and machine lifecycle events in the disruption account and the machines' health records."""

from datetime import datetime, timedelta

from roseweir.drain.disruption_budget import DisruptionAccount, lost_work_s
from roseweir.drain.machine_health import MachineHealth
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.scheduler.model import JobRun, Machine, Placement
from roseweir.submissions.jobs import GANG
from roseweir.workers import messages as wire


class DrainLifecycleListener:
    def __init__(
        self, cluster_state: ClusterState, disruptions: DisruptionAccount, machine_health: MachineHealth
    ) -> None:
        self.cluster_state = cluster_state
        self.disruptions = disruptions
        self.machine_health = machine_health

    def on_task_stopped(self, placement: Placement, cause: DowntimeCause, now: datetime) -> None:
        run = placement.run
        if not run.final_state:
            lost_s = 0.0 if run.spec.saves_when_stopped else lost_work_s(placement, now)
            self.disruptions.mark_down(run, [placement.index], cause, now, lost_s)

    def on_task_lost(self, placement: Placement, cause: DowntimeCause, now: datetime) -> None:
        run = placement.run
        if not run.final_state and not run.is_completed(placement.index):
            self.disruptions.mark_down(run, [placement.index], cause, now, lost_work_s(placement, now))

    def on_task_running(self, placement: Placement) -> None:
        run = placement.run
        if run.spec.job_type == GANG and not self._is_gang_running(run):
            return
        self.disruptions.mark_up(run, [placement.index])

    def _is_gang_running(self, run: JobRun) -> bool:
        """Whether every task runs; after a failover some may be gone, or not listed in a heartbeat yet."""
        return len(run.placements) == run.spec.task_count and all(
            p.state == wire.RUNNING and p.stop_requested_at is None for p in run.placements.values()
        )

    def on_task_completed(self, run: JobRun, index: int) -> None:
        self.disruptions.mark_up(run, [index])

    def on_job_ended(self, run: JobRun) -> None:
        self.disruptions.mark_up(run)

    def on_runtime_measured(self, placement: Placement, runtime: timedelta) -> None:
        typical_duration = self.cluster_state.estimate_runtime(placement.run.spec)
        if typical_duration > timedelta(0):
            self.machine_health.record_run(placement.machine, runtime / typical_duration)

    def on_task_failed(self, machine: Machine, run: JobRun, now: datetime) -> None:
        self.machine_health.record_failure(machine, run, now)

    def on_lease_expired(self, machine: Machine, now: datetime) -> None:
        self.machine_health.record_lease_expiry(machine, now)

    def on_spot_reclaimed(self, machine: Machine, now: datetime) -> None:
        self.machine_health.record_spot_reclaim(machine, now)
