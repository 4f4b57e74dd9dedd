"""One term as leader: recover the cluster state, then run the control loops that schedule, log, watch and scale."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from roseweir import clock
from roseweir.clock import monotonic_now, sleep
from roseweir.cloud.client import CloudClient
from roseweir.cloud.controller import CapacityPlanner, CloudController
from roseweir.controller.cancellations import FetchAcknowledgedCancellations, PeerCancellations
from roseweir.controller.limit_renewal import renew_limits
from roseweir.controller.live_jobs import LiveJobWatcher
from roseweir.controller.scheduling_loop import SchedulingLoop, SchedulingSignals, signal_job
from roseweir.dependencies.reconciler import DependencyReconciler
from roseweir.drain.controller import DrainController
from roseweir.http import Connect, Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import gather_pair
from roseweir.kv_store.fenced_writes import LeadershipLost
from roseweir.leader_election.election import LeaderLease
from roseweir.notifier import Notifier
from roseweir.operator_config import OperatorConfig
from roseweir.rebalancing.fragmentation_scoring import FragmentationScorer
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.service_levels.controller import GatherRejectedRequests, ServiceLevelController
from roseweir.settings import Settings
from roseweir.submissions.jobs import MachineType
from roseweir.workers.handlers import HeartbeatHandler
from roseweir.workflows.controller import WorkflowController
from roseweir.workflows.settings import WorkflowSettings

if TYPE_CHECKING:
    from roseweir.delivery_deadlines.controller import DeadlineController
    from roseweir.forecast.predictive_scaler import PredictiveScaler
    from roseweir.rebalancing.controller import RebalancingController

log = logging.getLogger(__name__)

RECOVERY_RETRY_INTERVAL = timedelta(milliseconds=250)


@dataclass(frozen=True)
class LeaderDependencies:
    """Objects of the controller process that each of its terms as leader uses.

    Attributes:
        settings: The platform's settings.
        operator_config: The settings that operators change.
        kv_store: Client of the key-value store.
        cloud_client: Client of the cloud's API.
        connect: Opens a transport to a worker.
        may_hold_connection: Returns whether one more connection may be kept waiting for its response.
        gather_rejections: Fetches the counts of rejected requests, by controller.
        fetch_acknowledged_cancellations: Fetches the cancellations that any controller has acknowledged to a user.
    """

    settings: Settings
    operator_config: OperatorConfig
    kv_store: KeyValueStoreClient
    cloud_client: CloudClient
    connect: Connect
    may_hold_connection: Callable[[], bool]
    gather_rejections: GatherRejectedRequests
    fetch_acknowledged_cancellations: FetchAcknowledgedCancellations


class LeaderTerm:
    """One term as leader: the cluster state and the control loops that read and change it."""

    def __init__(
        self, dependencies: LeaderDependencies, machine_types: list[MachineType], leader_lease: LeaderLease
    ) -> None:
        """Create the control loops of a term.

        Args:
            dependencies: Objects of the controller process.
            machine_types: The catalog of machine types.
            leader_lease: The lease that the term is bound to.
        """
        operator_config = dependencies.operator_config
        self._dependencies = dependencies
        self.leader_lease = leader_lease
        self.kv_store = dependencies.kv_store
        self.is_ready = False  # whether the cluster state is recovered; heartbeats are handled from then on
        self._signals = SchedulingSignals()
        placement_policy = FragmentationScorer()
        self.cluster_state = self._make_cluster_state(machine_types, placement_policy)
        commit_notifier = Notifier()
        self.log_writer = LogWriter(
            self.kv_store, self.cluster_state, leader_lease.leader_key_version, commit_notifier, self._on_job_ended
        )
        self.heartbeat_handler = HeartbeatHandler(
            self.cluster_state,
            leader_lease,
            commit_notifier,
            self._signals.has_work,
            dependencies.connect,
            dependencies.may_hold_connection,
        )
        self.predictive_scaler = self._make_predictive_scaler()
        self.service_level_controller = ServiceLevelController(
            self.cluster_state,
            self.kv_store,
            leader_lease.leader_key_version,
            leader_lease.end,
            dependencies.gather_rejections,
        )
        self.workflow_controller = WorkflowController(
            operator_config.workflow or WorkflowSettings(),
            self.cluster_state,
            self.kv_store,
            leader_lease.leader_key_version,
            leader_lease.is_valid,
            leader_lease.end,
        )
        self.workflow_controller.watched_revision = lambda: self.service_level_controller.watched_revision
        self.deadline_controller = self._make_deadline_controller()
        self.drain_controller = DrainController(
            operator_config.drain,
            self.cluster_state,
            self.kv_store,
            leader_lease.leader_key_version,
            leader_lease.is_valid,
            leader_lease.end,
        )
        self.cloud_controller = self._make_cloud_controller()
        self.drain_controller.cloud_controller = self.cloud_controller
        self.rebalancer = self._make_rebalancer(placement_policy)
        self.drain_controller.rebalancer = self.rebalancer
        self.dependency_reconciler = DependencyReconciler(
            self.cluster_state,
            self.kv_store,
            self.log_writer,
            leader_lease.is_valid,
            leader_lease.end,
            self._on_dependencies_met,
        )
        self.live_job_watcher = self._make_live_job_watcher()
        self._scheduling_loop = SchedulingLoop(
            self.cluster_state,
            leader_lease,
            log_writer=self.log_writer,
            cloud_controller=self.cloud_controller,
            signals=self._signals,
        )

    # -- construction -------------------------------------------------------------------------

    def _make_cluster_state(
        self, machine_types: list[MachineType], placement_policy: FragmentationScorer
    ) -> ClusterState:
        operator_config = self._dependencies.operator_config
        cluster_state = ClusterState(
            self._dependencies.settings, operator_config, self.leader_lease.term, monotonic_now()
        )
        cluster_state.catalog = {machine_type.name: machine_type for machine_type in machine_types}
        cluster_state.wall_clock_epoch = monotonic_now() - timedelta(seconds=clock.utc_now().timestamp())
        if operator_config.rebalancing.choose != "off":
            cluster_state.placement_policy = placement_policy
            cluster_state.is_placement_policy_always_enabled = operator_config.rebalancing.choose == "on"
        return cluster_state

    def _make_predictive_scaler(self) -> "PredictiveScaler | None":
        settings = self._dependencies.operator_config.predictive_scaling
        if settings is None:
            return None
        # Imported only if predictive scaling is enabled, since controllers have little memory.
        from roseweir.forecast import predictive_scaler

        return predictive_scaler.PredictiveScaler(
            settings,
            self.cluster_state,
            self.kv_store,
            self.leader_lease.leader_key_version,
            self.leader_lease.end,
        )

    def _make_deadline_controller(self) -> "DeadlineController | None":
        settings = self._dependencies.operator_config.delivery_deadline
        if settings is None:
            return None
        from roseweir.delivery_deadlines import controller as delivery_deadline_controller

        return delivery_deadline_controller.DeadlineController(
            settings,
            self.workflow_controller,
            self.cluster_state,
            self.kv_store,
            self.leader_lease.leader_key_version,
            self.leader_lease.is_valid,
            self.leader_lease.end,
        )

    def _make_cloud_controller(self) -> CloudController:
        capacity_planners: list[CapacityPlanner] = []
        if self.predictive_scaler is not None:
            capacity_planners.append(self.predictive_scaler.plan)
        capacity_planners.append(self.drain_controller.plan_replacements)
        return CloudController(
            self._dependencies.cloud_client,
            self.cluster_state,
            self.leader_lease.is_valid,
            self._dependencies.connect,
            capacity_planners,
        )

    def _make_rebalancer(self, placement_policy: FragmentationScorer) -> "RebalancingController | None":
        settings = self._dependencies.operator_config.rebalancing
        if settings.move == "off":
            return None
        from roseweir.rebalancing import controller as rebalancing_controller

        return rebalancing_controller.RebalancingController(settings, self.cluster_state, placement_policy)

    def _make_live_job_watcher(self) -> LiveJobWatcher:
        peer_cancellations = PeerCancellations(
            self.cluster_state,
            self.log_writer,
            leader_lease=self.leader_lease,
            heartbeat_handler=self.heartbeat_handler,
            fetch_acknowledged=self._dependencies.fetch_acknowledged_cancellations,
        )
        return LiveJobWatcher(
            self.kv_store,
            self.cluster_state,
            log_writer=self.log_writer,
            dependency_reconciler=self.dependency_reconciler,
            service_level_controller=self.service_level_controller,
            predictive_scaler=self.predictive_scaler,
            heartbeat_handler=self.heartbeat_handler,
            peer_cancellations=peer_cancellations,
            signals=self._signals,
        )

    # -- events passed from one control loop to others ----------------------------------------

    def _on_job_ended(self, job_id: str, state: str) -> None:
        """Handle a job's end, which the store has recorded."""
        self.service_level_controller.account.record_outcome(job_id, state)
        self.workflow_controller.record_job_end(job_id, state)
        self.dependency_reconciler.record_end(job_id, state)

    def _on_dependencies_met(self, run: JobRun) -> None:
        """Wake the scheduling loop for a job whose dependencies are all done."""
        signal_job(self._signals, self.cluster_state, run)

    # -- the term -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Recover the cluster state, then run all control loops until cancelled."""
        revision = await self._recover()
        self.is_ready = True
        log.info(
            "cluster state recovered: jobs=%d machines=%d",
            len(self.cluster_state.jobs),
            len(self.cluster_state.machines),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self.live_job_watcher.watch(revision))
            group.create_task(self._write_log())
            group.create_task(self._scheduling_loop.run())
            group.create_task(renew_limits(self.cluster_state))
            group.create_task(self.heartbeat_handler.direct_commands.run())
            group.create_task(self.cloud_controller.run())
            group.create_task(self.drain_controller.run())
            group.create_task(self.service_level_controller.run())
            group.create_task(self.workflow_controller.run())
            group.create_task(self.dependency_reconciler.run())
            if self.deadline_controller is not None:
                group.create_task(self.deadline_controller.run())
            if self.predictive_scaler is not None:
                group.create_task(self.predictive_scaler.run())

    async def _recover(self) -> int:
        """Read the cluster state from the store, retrying until it succeeds; heartbeats are handled only afterwards.

        Returns:
            The store's revision that was read; the watch of live jobs continues from it.
        """
        while True:
            sent_at = monotonic_now()
            try:
                # These reads come first: the log writer's recovery can't be repeated if one of them fails after it.
                drain_records, workflow_records = await gather_pair(
                    self.drain_controller.read_records(), self.workflow_controller.read_entries()
                )
                revision = await self.log_writer.recover()
            except (StoreError, Unreachable) as error:
                log.info("recovery failed: error=%s", error)
                await sleep(RECOVERY_RETRY_INTERVAL)
                continue
            self.heartbeat_handler.authority.record_recovery_read(sent_at)
            self.drain_controller.restore(drain_records)
            self.workflow_controller.restore(workflow_records)
            self.dependency_reconciler.rebuild(revision)
            self.service_level_controller.count_inherited_jobs(revision)
            if self.predictive_scaler is not None:
                for run in self.cluster_state.jobs.values():
                    # Jobs that the scan returned with a later revision are delivered again by the first watch.
                    if run.version <= revision:
                        self.predictive_scaler.record_accepted_job(run, run.version)
                self.predictive_scaler.record_watch_progress(revision, sent_at)
            return revision

    async def _write_log(self) -> None:
        try:
            await self.log_writer.run()
        except LeadershipLost as error:
            self.leader_lease.end(str(error))
