"""The leader's scheduling loop: bounds how often scheduling passes run, and runs them earlier for urgent work."""

import asyncio
from datetime import datetime, timedelta

from roseweir.clock import NEVER, PROCESS_PAUSE_THRESHOLD, monotonic_now, sleep, wait_at_most
from roseweir.cloud.controller import CloudController
from roseweir.leader_election.election import LeaderLease
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass

# The minimum interval between passes, which bounds the share of CPU time spent on scheduling. The write-ahead log
# accepts a batch every 50 to 100 ms: passes at much shorter intervals only plan placements that wait for it.
MIN_SCHEDULING_INTERVAL = timedelta(milliseconds=200)
# The minimum interval between passes if work that must start at once is waiting.
MIN_URGENT_SCHEDULING_INTERVAL = timedelta(milliseconds=20)
# The minimum pause after a pass, as a multiple of the pass's duration: at 1, scheduling takes at most half of the time.
SCHEDULING_PAUSE_FACTOR = 1
# Without new work the cluster state is still evaluated at this interval, since leases expire and limits refill.
MAX_SCHEDULING_INTERVAL = timedelta(milliseconds=500)


class SchedulingSignals:
    """Events that wake the scheduling loop."""

    def __init__(self) -> None:
        self.has_work = asyncio.Event()
        # Set when work that must start at once arrives.
        self.has_urgent_work = asyncio.Event()


class SchedulingLoop:
    """Runs scheduling passes for one term as leader, while the leader lease is valid."""

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
                # This process was paused: unread heartbeats are in its socket buffers, and another node may lead.
                await sleep(MAX_SCHEDULING_INTERVAL)
                continue
            self._evaluate_cluster_state(now)
            min_pause = (monotonic_now() - now) * SCHEDULING_PAUSE_FACTOR
            self._signal_urgent_placements()
            await self._wait_for_next_pass(min_pause)

    def _evaluate_cluster_state(self, now: datetime) -> None:
        """Apply timeouts, run a scheduling pass if one is due, and wake the log writer if anything has changed."""
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
        """Wake the log writer at once, without waiting for a full batch, if a planned placement must start at once."""
        cluster_state = self._cluster_state
        if any(
            cluster_state.headroom.must_start_at_once(placement.run.spec)
            for placement in cluster_state.planned_placements
        ):
            self._log_writer.urgent_work_available.set()

    async def _wait_for_next_pass(self, min_pause: timedelta) -> None:
        """Wait for `min_pause`, and for the rest of the minimum interval between passes unless urgent work arrives."""
        urgent_interval = max(MIN_URGENT_SCHEDULING_INTERVAL, min_pause)
        await sleep(urgent_interval)
        await wait_at_most(
            max(MIN_SCHEDULING_INTERVAL, min_pause) - urgent_interval, self._signals.has_urgent_work.wait()
        )
        self._signals.has_urgent_work.clear()


def signal_job(signals: SchedulingSignals, cluster_state: ClusterState, run: JobRun) -> None:
    """Wake the scheduling loop for a job; a pass runs earlier if the job's tasks must start at once."""
    if cluster_state.headroom.must_start_at_once(run.spec):
        signals.has_urgent_work.set()
    signals.has_work.set()
