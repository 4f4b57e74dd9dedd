"""When a leader schedules: at most so often, at least so often, and at once for urgent work."""

import asyncio
from datetime import datetime, timedelta

from roseweir.clock import NEVER, PROCESS_PAUSE_THRESHOLD, monotonic_now, sleep, wait_at_most
from roseweir.cloud.controller import CloudController
from roseweir.leader_election.election import LeaderLease
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass

# Passes are at least this far apart, so that scheduling takes a bounded part of the processor. The write-ahead log
# takes a batch every 50 to 100 ms: passes much closer together only plan what waits for it.
MIN_SCHEDULING_INTERVAL = timedelta(milliseconds=200)
# But work that must start at once waits no longer than this.
MIN_URGENT_SCHEDULING_INTERVAL = timedelta(milliseconds=20)
# After a pass that took longer, scheduling rests for so many times as long: it may take half of the time at most.
SCHEDULING_REST_FACTOR = 1
# Without new work the cluster state is still evaluated this often: leases expire, limits refill.
MAX_SCHEDULING_INTERVAL = timedelta(milliseconds=500)


class SchedulingSignals:
    """Wakes the scheduling loop."""

    def __init__(self) -> None:
        self.has_work = asyncio.Event()
        # Work that must start at once has come.
        self.has_urgent_work = asyncio.Event()


class SchedulingLoop:
    """Runs scheduling passes for one term, while its lease is valid."""

    def __init__(
        self,
        cluster_state: ClusterState,
        leader_lease: LeaderLease,
        *,
        log_writer: LogWriter,
        cloud_controller: CloudController,
        signals: SchedulingSignals,
    ) -> None:
        self._cluster_state = cluster_state
        self._leader_lease = leader_lease
        self._log_writer = log_writer
        self._cloud_controller = cloud_controller
        self._signals = signals
        self._last_pass_at = NEVER

    async def run(self) -> None:
        """Schedule until cancelled."""
        last_checked_at = monotonic_now()
        while True:
            await wait_at_most(MAX_SCHEDULING_INTERVAL, self._signals.has_work.wait())
            self._signals.has_work.clear()
            now = monotonic_now()
            was_paused = now - last_checked_at > MAX_SCHEDULING_INTERVAL + PROCESS_PAUSE_THRESHOLD
            last_checked_at = now
            if was_paused:
                # This process was paused: heartbeats wait in its buffers, and another may lead.
                await sleep(MAX_SCHEDULING_INTERVAL)
                continue
            self._evaluate(now)
            rest_duration = (monotonic_now() - now) * SCHEDULING_REST_FACTOR
            self._signal_urgent_placements()
            await self._rest(rest_duration)

    def _evaluate(self, now: datetime) -> None:
        """Apply timeouts, run a scheduling pass if one is due, and have the log written if anything has changed."""
        cluster_state = self._cluster_state
        cluster_state.apply_timeouts(now)
        is_pass_due = cluster_state.needs_scheduling or now - self._last_pass_at >= MAX_SCHEDULING_INTERVAL
        if is_pass_due and self._leader_lease.is_valid():
            cluster_state.needs_scheduling = False
            self._cloud_controller.record_scheduling_pass(run_scheduling_pass(cluster_state, now))
            self._last_pass_at = now
        elif not self._leader_lease.is_valid():
            self._cloud_controller.record_scheduling_pass(SchedulingPassResult())
        if cluster_state.dirty_machines or cluster_state.dirty_jobs:
            self._log_writer.work_available.set()

    def _signal_urgent_placements(self) -> None:
        """Have placements of work that must start at once written to the log without waiting for a full batch."""
        cluster_state = self._cluster_state
        if any(cluster_state.headroom.is_urgent(placement.run.spec) for placement in cluster_state.planned_placements):
            self._log_writer.urgent_work_available.set()

    async def _rest(self, duration: timedelta) -> None:
        """Wait until the next pass may run: `duration` at least, less than the usual interval for urgent work."""
        urgent_interval = max(MIN_URGENT_SCHEDULING_INTERVAL, duration)
        await sleep(urgent_interval)
        await wait_at_most(
            max(MIN_SCHEDULING_INTERVAL, duration) - urgent_interval, self._signals.has_urgent_work.wait()
        )
        self._signals.has_urgent_work.clear()


def signal_job(signals: SchedulingSignals, cluster_state: ClusterState, run: JobRun) -> None:
    """Wake the scheduling loop for a job, at once if its tasks must start at once."""
    if cluster_state.headroom.is_urgent(run.spec):
        signals.has_urgent_work.set()
    signals.has_work.set()
