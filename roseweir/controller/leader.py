"""What a leader does for one term: rebuild, then plan, record, watch, and deal with the cloud."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from roseweir import clock
from roseweir.clock import NEVER, PROCESS_PAUSE_THRESHOLD, ZERO, monotonic_now, seconds, sleep, wait_at_most
from roseweir.cloud.client import CloudClient
from roseweir.cloud.controller import CloudController
from roseweir.dependencies.reconciler import DependencyReconciler
from roseweir.drain.controller import DrainController
from roseweir.http import Connect, Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import gather_pair
from roseweir.kv_store.fenced_writes import LeadershipLost
from roseweir.leader_election.election import LeaderLease
from roseweir.limits.rules import renew_class_limits, renew_fetch_limits
from roseweir.membership.messages import AcknowledgedCancellations
from roseweir.notifier import Notifier
from roseweir.operator_config import OperatorConfig
from roseweir.rebalancing.fragmentation_scoring import FragmentationScorer
from roseweir.scheduler.cluster_state import CLOCK_DRIFT_FACTOR, ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass
from roseweir.service_levels.controller import GatherRejectedRequests, ServiceLevelController
from roseweir.settings import Settings
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, MachineType, completed_job
from roseweir.workers.handlers import HeartbeatHandler
from roseweir.workflows.controller import WorkflowController
from roseweir.workflows.settings import WorkflowSettings

if TYPE_CHECKING:
    from roseweir.delivery_deadlines.controller import DeadlineController
    from roseweir.forecast.predictive_scaler import PredictiveScaler
    from roseweir.rebalancing.controller import RebalancingController

log = logging.getLogger(__name__)

# Passes are this far apart at least, so that planning takes a bounded part of the processor. The record takes
# a batch every 50 to 100 ms: passes much closer together only plan what waits for it.
MIN_SCHEDULING_INTERVAL = timedelta(milliseconds=200)
# But work that must start at once waits no longer than this.
MIN_URGENT_SCHEDULING_INTERVAL = timedelta(milliseconds=20)
# After a pass that took longer, planning rests for so many times as long: it may take half of the time at most.
SCHEDULING_REST_FACTOR = 1
# Without news the board is still looked at this often: leases run out, limits refill.
MAX_SCHEDULING_INTERVAL = timedelta(milliseconds=500)
STATUS_LOG_INTERVAL = timedelta(seconds=15)
WATCH_TIMEOUT = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(milliseconds=250)
# Without the state service for so long, a leader asks the other controllers what they have told users, so often. Their
# answers count if they come within ASK_PATIENCE, and the question goes back for that much longer.
STORE_UNREACHABLE_TIMEOUT, CANCELLATION_QUERY_INTERVAL, CANCELLATION_QUERY_TIMEOUT = (
    timedelta(seconds=3),
    timedelta(seconds=1),
    timedelta(seconds=1),
)


class LeaderTerm:
    def __init__(
        self,
        settings: Settings,
        operator_config: OperatorConfig,
        kv_store: KeyValueStoreClient,
        cloud_client: CloudClient,
        machine_types: list[MachineType],
        leader_lease: LeaderLease,
        connect: Connect,
        may_hold_connection: Callable[[], bool],
        gather_rejections: GatherRejectedRequests,
        fetch_acknowledged_cancellations: Callable[[timedelta], Awaitable[AcknowledgedCancellations | None]],
    ) -> None:
        self._fetch_acknowledged_cancellations = fetch_acknowledged_cancellations
        self._cancellations_queried_at = NEVER
        self.leader_lease = leader_lease
        self.kv_store = kv_store
        self.cluster_state = ClusterState(settings, operator_config, leader_lease.term, monotonic_now())
        self.cluster_state.catalog = {machine_type.name: machine_type for machine_type in machine_types}
        self.cluster_state.wall_clock_epoch = monotonic_now() - timedelta(seconds=clock.utc_now().timestamp())
        placement_policy = FragmentationScorer()
        if operator_config.rebalancing.choose != "off":
            self.cluster_state.placement_chooser = placement_policy
            self.cluster_state.is_chooser_always_enabled = operator_config.rebalancing.choose == "on"
        log_notifier = Notifier()
        self.log_writer = LogWriter(
            kv_store, self.cluster_state, leader_lease.leader_key_version, log_notifier, self._on_job_ended
        )
        self.has_work = asyncio.Event()
        self.worker_handlers = HeartbeatHandler(
            self.cluster_state, leader_lease, log_notifier, self.has_work, connect, may_hold_connection
        )
        self.predictive_scaler: PredictiveScaler | None = None
        if operator_config.predictive_scaling is not None:
            # Loaded only where it is used: controllers have little memory.
            from roseweir.forecast import predictive_scaler

            self.predictive_scaler = predictive_scaler.PredictiveScaler(
                operator_config.predictive_scaling,
                self.cluster_state,
                kv_store,
                leader_lease.leader_key_version,
                leader_lease.end,
            )
        self.service_levels = ServiceLevelController(
            self.cluster_state, kv_store, leader_lease.leader_key_version, leader_lease.end, gather_rejections
        )
        self.workflows = WorkflowController(
            operator_config.workflow or WorkflowSettings(),
            self.cluster_state,
            kv_store,
            leader_lease.leader_key_version,
            leader_lease.is_valid,
            leader_lease.end,
        )
        self.workflows.watched_revision = lambda: self.service_levels.watched_revision
        self.delivery_deadlines: DeadlineController | None = None
        if operator_config.delivery_deadline is not None:
            from roseweir.delivery_deadlines import controller as promise_desk

            self.delivery_deadlines = promise_desk.DeadlineController(
                operator_config.delivery_deadline,
                self.workflows,
                self.cluster_state,
                kv_store,
                leader_lease.leader_key_version,
                leader_lease.is_valid,
                leader_lease.end,
            )
        self.drain_controller = DrainController(
            operator_config.drain,
            self.cluster_state,
            kv_store,
            leader_lease.leader_key_version,
            leader_lease.is_valid,
            leader_lease.end,
        )
        scaling_planners = (
            [self.drain_controller.plan_replacements]
            if self.predictive_scaler is None
            else [self.predictive_scaler.plan, self.drain_controller.plan_replacements]
        )
        self.cloud_controller = CloudController(
            cloud_client, self.cluster_state, leader_lease.is_valid, connect, scaling_planners
        )
        self.drain_controller.cloud = self.cloud_controller
        self.rebalancer: RebalancingController | None = None
        if operator_config.rebalancing.move != "off":
            from roseweir.rebalancing import controller as packing_desk

            self.rebalancer = self.drain_controller.rebalancer = packing_desk.RebalancingController(
                operator_config.rebalancing, self.cluster_state, placement_policy
            )
        self.dependency_reconciler = DependencyReconciler(
            self.cluster_state,
            kv_store,
            self.log_writer,
            leader_lease.is_valid,
            leader_lease.end,
            self._on_dependencies_met,
        )
        self.has_urgent_work = asyncio.Event()  # work that must start at once has come
        self.is_ready = False  # rebuilt: reports are taken
        # Complete jobs whose live key went before our record of their end was confirmed: it was that, or a cancel.
        self._unconfirmed_completions: set[str] = set()

    def _on_job_ended(self, job_id: str, state: str) -> None:
        """The state service holds the job's end."""
        self.service_levels.account.record_outcome(job_id, state)
        self.workflows.record_job_end(job_id, state)
        self.dependency_reconciler.record_end(job_id, state)

    def _on_dependencies_met(self, run: JobRun) -> None:
        """What a job awaited is done."""
        if self.cluster_state.headroom.is_urgent(run.spec):
            self.has_urgent_work.set()
        self.has_work.set()

    async def run(self) -> None:
        revision = await self._recover()
        self.is_ready = True
        log.info(
            "rebuilt: %d jobs, %d machines on record", len(self.cluster_state.jobs), len(self.cluster_state.machines)
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch_live_jobs(revision))
            group.create_task(self._write_log())
            group.create_task(self._schedule())
            group.create_task(self._renew_limits())
            group.create_task(self.worker_handlers.direct_commands.run())
            group.create_task(self.cloud_controller.run())
            group.create_task(self.drain_controller.run())
            group.create_task(self.service_levels.run())
            group.create_task(self.workflows.run())
            group.create_task(self.dependency_reconciler.run())
            if self.delivery_deadlines is not None:
                group.create_task(self.delivery_deadlines.run())
            if self.predictive_scaler is not None:
                group.create_task(self.predictive_scaler.run())

    async def _recover(self) -> int:
        """From records first, then from reports. Nothing is answered before the records are read."""
        while True:
            sent_at = monotonic_now()
            try:
                # First: what is rebuilt can't be rebuilt again.
                drain_records, workflow_records = await gather_pair(
                    self.drain_controller.read_records(), self.workflows.read_entries()
                )
                revision = await self.log_writer.recover()
            except (StoreError, Unreachable) as e:
                log.info("rebuilding: %s", e)
                await sleep(RETRY_INTERVAL)
                continue
            self.worker_handlers.authority.begin(sent_at)
            self.drain_controller.restore(drain_records)
            self.workflows.restore(workflow_records)
            self.dependency_reconciler.rebuild(revision)
            self.service_levels.begin(revision)
            if self.predictive_scaler is not None:
                for run in self.cluster_state.jobs.values():
                    # What the scan found beyond its revision comes again with the first watch.
                    if run.version <= revision:
                        self.predictive_scaler.record_accepted_job(run, run.version)
                self.predictive_scaler.record_watch_progress(revision, sent_at)
            return revision

    async def _write_log(self) -> None:
        try:
            await self.log_writer.run()
        except LeadershipLost as e:
            self.leader_lease.end(str(e))

    async def _watch_live_jobs(self, revision: int) -> None:
        """Jobs come and go by their live keys. Each answer proves that all news up to its sending is known."""
        while True:
            sent_at = monotonic_now()
            unconfirmed = sorted(self._unconfirmed_completions)
            try:
                watch_result = await self.kv_store.watch(LIVE_JOB_PREFIX, revision, WATCH_TIMEOUT)
                if watch_result is None:
                    revision = await self._rescan_live_jobs()
                else:
                    events, revision = watch_result
                    for event in events:
                        self._apply_live_job(
                            event.key.removeprefix(LIVE_JOB_PREFIX), event.value, event.version, event.version
                        )
                for job_id in unconfirmed:
                    # Mostly the recorder has had its answer by now, and nothing needs to be read.
                    if job_id in self.cluster_state.jobs and not self.cluster_state.jobs[job_id].final_state:
                        await self.log_writer.refresh_job_end(job_id)
                    self._unconfirmed_completions.discard(job_id)
                self.service_levels.watched_revision = revision
                if self.predictive_scaler is not None:
                    self.predictive_scaler.record_watch_progress(
                        revision, sent_at, includes_ends=watch_result is not None
                    )
            except (StoreError, Unreachable) as e:
                log.info("watching jobs: %s", e)
                await self._apply_acknowledged_cancellations()
                await sleep(RETRY_INTERVAL)
                continue
            self.worker_handlers.authority.record_cancellations_read(sent_at)
            # Reads may go through while renewals are answered too late to count.
            await self._apply_acknowledged_cancellations()

    async def _apply_acknowledged_cancellations(self) -> None:
        """Without the state service the other controllers know as much as it does: all that users were told.

        A cancel counts from when its user hears of it, and users hear by a controller. So if all others name the jobs
        of which they have told since the last news, these are all, and none of them led as it answered. The leader
        stops those jobs, and goes on as if its watch had been answered. Bound and proof: docs/design.md.
        """
        sent_at = monotonic_now()
        if (
            sent_at - self.worker_handlers.authority.cancellations_known_at < STORE_UNREACHABLE_TIMEOUT
            or sent_at - self._cancellations_queried_at < CANCELLATION_QUERY_INTERVAL
        ):
            return
        self._cancellations_queried_at = sent_at
        # Back to when nobody else led, too: one that led since and ended does not know of it any more.
        acknowledged = await self._fetch_acknowledged_cancellations(
            (sent_at - self.worker_handlers.authority.cancellations_known_at) * CLOCK_DRIFT_FACTOR
            + CANCELLATION_QUERY_TIMEOUT * 2
        )
        if (
            acknowledged is None
            or monotonic_now() - sent_at > CANCELLATION_QUERY_TIMEOUT
            or acknowledged.term > self.leader_lease.term
        ):
            return
        for job_id in acknowledged.job_ids or ():
            run = self.cluster_state.jobs.get(job_id)
            if run is not None and not run.final_state:
                log.info("job %s is cancelled, by the word of a controller", job_id)
                self.log_writer.record_job_end(job_id, completed_job(run.spec, "cancelled"))
        self.worker_handlers.authority.record_cancellations_read(sent_at)
        self.leader_lease.confirm_leadership(sent_at)

    async def _rescan_live_jobs(self) -> int:
        entries, revision = await self.kv_store.scan(LIVE_JOB_PREFIX)
        present_job_ids = {entry.key.removeprefix(LIVE_JOB_PREFIX) for entry in entries}
        for entry in entries:
            self._apply_live_job(entry.key.removeprefix(LIVE_JOB_PREFIX), entry.value, entry.version, revision)
        for job_id, run in list(self.cluster_state.jobs.items()):
            if job_id not in present_job_ids and not run.final_state:
                if self.predictive_scaler is not None:
                    self.predictive_scaler.record_ended_job(job_id)
                await self.log_writer.refresh_job_end(job_id)
        for job_id in self.service_levels.account.live_jobs.keys() - present_job_ids:
            self.service_levels.account.confirm_end(job_id)
        self.service_levels.account.gap_count += 1  # what came and went meanwhile
        return revision

    def _apply_live_job(self, job_id: str, value: object, version: int, revision: int) -> None:
        """`revision`: what is newer than this comes again, and is counted then."""
        if value is not None:
            job_run = self.cluster_state.add_stored_job(job_id, value, version)
            self.dependency_reconciler.add_job(job_run)
            if self.cluster_state.headroom.is_urgent(job_run.spec):
                self.has_urgent_work.set()
            self.service_levels.account.add_job(job_run.spec)
            if self.predictive_scaler is not None and version <= revision:
                self.predictive_scaler.record_accepted_job(job_run, version)
        else:
            if self.predictive_scaler is not None:
                self.predictive_scaler.record_ended_job(job_id)
            run = self.cluster_state.jobs.get(job_id)
            if run is not None and run.is_complete and not run.final_state:
                # Our own record of its end, or a user's cancel that came before: the state service knows. Taken for
                # done, a chain's step that was cancelled as it completed let go what follows it.
                self._unconfirmed_completions.add(job_id)
                for placement in list(run.placements.values()):
                    self.cluster_state.request_stop(placement, ZERO, monotonic_now())
            elif run is not None:
                # Only our own record of its end, or a user's cancel, takes a live key away.
                self.log_writer.record_job_end(job_id, completed_job(run.spec, "cancelled"))
            self.service_levels.account.confirm_end(job_id)
        self.has_work.set()

    async def _schedule(self) -> None:
        cluster_state = self.cluster_state
        last_pass_at, last_checked_at = NEVER, monotonic_now()
        while True:
            await wait_at_most(MAX_SCHEDULING_INTERVAL, self.has_work.wait())
            self.has_work.clear()
            now = monotonic_now()
            if now - last_checked_at > MAX_SCHEDULING_INTERVAL + PROCESS_PAUSE_THRESHOLD:
                # This node stood still: reports wait in its buffers, and another may lead.
                last_checked_at = now
                await sleep(MAX_SCHEDULING_INTERVAL)
                continue
            last_checked_at = now
            cluster_state.apply_timeouts(now)
            if (
                cluster_state.needs_scheduling or now - last_pass_at >= MAX_SCHEDULING_INTERVAL
            ) and self.leader_lease.is_valid():
                cluster_state.needs_scheduling = False
                self.cloud_controller.record_scheduling_pass(run_scheduling_pass(cluster_state, now))
                last_pass_at = now
            elif not self.leader_lease.is_valid():
                self.cloud_controller.record_scheduling_pass(SchedulingPassResult())
            if cluster_state.dirty_machines or cluster_state.dirty_jobs:
                self.log_writer.work_available.set()
            rest_duration = (monotonic_now() - now) * SCHEDULING_REST_FACTOR
            if any(
                cluster_state.headroom.is_urgent(placement.run.spec) for placement in cluster_state.planned_placements
            ):
                self.log_writer.urgent_work_available.set()
            # What must start at once is planned for as it comes, with the same rest after a pass.
            await sleep(max(MIN_URGENT_SCHEDULING_INTERVAL, rest_duration))
            await wait_at_most(
                max(MIN_SCHEDULING_INTERVAL, rest_duration) - max(MIN_URGENT_SCHEDULING_INTERVAL, rest_duration),
                self.has_urgent_work.wait(),
            )
            self.has_urgent_work.clear()

    async def _renew_limits(self) -> None:
        """Renew leases while the cause holds: a zone with machines may see fetches."""
        cluster_state = self.cluster_state
        last_logged_at = monotonic_now()
        while True:
            now = monotonic_now()
            machine_groups = [
                (machine.zone, machine.machine_type)
                for machine in cluster_state.machines.values()
                if machine.has_acknowledged_term and not machine.is_marked_for_release
            ]
            renew_fetch_limits(cluster_state.limits, machine_groups, cluster_state.operator_config, now)
            renew_class_limits(cluster_state.limits, cluster_state.operator_config, now)
            if now - last_logged_at >= STATUS_LOG_INTERVAL:
                cluster_state.limits.log_blocked(now)
                cluster_state.log_status()
                last_logged_at = now
            await sleep(seconds(1))
