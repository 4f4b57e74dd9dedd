"""The process of one controller: its components, listeners and background tasks."""

import asyncio
import logging
from datetime import datetime

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.cloud.client import CloudClient
from roseweir.connections import ConnectionAdmission
from roseweir.controller.catalog import MachineCatalog
from roseweir.controller.leader import LeaderDependencies, LeaderTerm
from roseweir.controller.leadership import Leadership
from roseweir.controller.listeners import listen_when_free, split_address
from roseweir.controller.peer_api import PeerApi
from roseweir.controller.peer_queries import PeerQueries
from roseweir.controller.public_api import PublicApi, classify_request
from roseweir.controller.status import StatusReporter
from roseweir.http import Connect, Request, Response, ServerConnection, connect, serve
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election.election import LeaderElection, LeaderLease
from roseweir.membership.monitor import MembershipMonitor, OverdueWorkers
from roseweir.operator_config import OperatorConfig
from roseweir.service_levels.messages import RejectedRequests
from roseweir.settings import Settings
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.submissions.jobs import MachineType

log = logging.getLogger(__name__)

MAX_PEER_CONNECTIONS = 32
# Sockets reserved for outgoing connections to the store, the cloud and workers: at least this many, or a tenth of all
# sockets if that is more.
MIN_OUTGOING_SOCKETS = 24
OUTGOING_SOCKETS_DIVISOR = 10
MIN_PUBLIC_CONNECTIONS = 16
CATALOG_POLL_INTERVAL = seconds(0.05)


class ControllerProcess:
    """One controller: its components, its background tasks, and its term while it leads."""

    def __init__(self, settings: Settings, operator_config: OperatorConfig, connect: Connect = connect) -> None:
        """`connect` opens transports to the store, the cloud, workers and peers; tests replace it."""
        self.settings = settings
        self.operator_config = operator_config
        if operator_config.predictive_scaling is not None:
            # Imported at startup rather than at the start of a term as leader, since the import takes 0.1 s.
            import roseweir.forecast.predictive_scaler  # noqa: F401
        self._connect = connect
        self.kv_store = KeyValueStoreClient(settings.endpoints.kv_store, settings.params.kv_store, connect)
        self.cloud_client = CloudClient(settings.endpoints.cloud, settings.params.cloud, connect)
        self.submission_handlers = SubmissionHandlers(settings, self.kv_store, self._fetch_progress)
        self.membership = MembershipMonitor(settings, self.kv_store, connect)
        self.leader_election = self._make_leader_election()
        self.leadership = Leadership(settings.name, self.leader_election, self.membership)
        self.admission: ConnectionAdmission[ServerConnection] = ConnectionAdmission(
            max_public_connections(settings.params.process_limits.max_sockets)
        )
        self.catalog = MachineCatalog(self.kv_store, self.cloud_client, on_loaded=self._on_catalog_loaded)
        self.peer_queries = PeerQueries(
            settings, self.leadership, membership=self.membership, submission_handlers=self.submission_handlers
        )
        self.status_reporter = StatusReporter(
            self.leadership,
            self.admission,
            is_predictive_scaling_enabled=operator_config.predictive_scaling is not None,
        )
        self.public_api = PublicApi(
            self.leadership,
            self.membership,
            kv_store=self.kv_store,
            submission_handlers=self.submission_handlers,
            catalog=self.catalog,
        )
        self.peer_api = PeerApi(
            self.leadership,
            self.membership,
            submission_handlers=self.submission_handlers,
            peer_queries=self.peer_queries,
            status_reporter=self.status_reporter,
        )

    def _make_leader_election(self) -> LeaderElection:
        leader_election = LeaderElection(
            self.settings,
            self.kv_store,
            self._run_leader_term,
            self.membership.fetch_latest_leader,
            self.membership.probe_workers,
        )
        leader_election.on_leadership_uncertain = self._on_leadership_uncertain
        leader_election.on_leadership_confirmed = self._on_leadership_confirmed
        leader_election.on_term_observed = self.membership.observe_term
        return leader_election

    @property
    def leader_term(self) -> LeaderTerm | None:
        """This node's term as leader; None while it does not lead."""
        return self.leadership.leader_term

    async def run(self) -> None:
        """Listen on both addresses and run until cancelled.

        Raises:
            OSError: A listening address cannot be bound.
        """
        host, port = split_address(self.settings.public_address)
        peer_host, peer_port = split_address(self.settings.peer_address)
        public_listener = await listen_when_free(
            lambda: serve(host, port, self.serve_public, self.admission, classify_request)
        )
        peer_listener = await listen_when_free(
            lambda: serve(peer_host, peer_port, self.serve_peer, ConnectionAdmission(MAX_PEER_CONNECTIONS))
        )
        log.info(
            "listening: node=%s public_address=%s peer_address=%s",
            self.settings.name,
            self.settings.public_address,
            self.settings.peer_address,
        )
        async with public_listener, peer_listener:
            await self.run_background_tasks()

    async def run_background_tasks(self) -> None:
        """Run all background tasks, which is all work other than answering requests, until cancelled."""
        started_at = monotonic_now()
        self.peer_queries.start(started_at)
        self.submission_handlers.start(started_at)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.submission_handlers.group_commit.run())
            group.create_task(self.submission_handlers.live_job_cache.run())
            group.create_task(self.catalog.load())
            group.create_task(self.membership.monitor_store())
            group.create_task(
                self.membership.monitor_workers(
                    self._overdue_workers, self._on_process_pause, self.leader_election.resign_if_better_connected_node
                )
            )
            group.create_task(self.leader_election.run())

    async def serve_public(self, request: Request) -> Response:
        """Answer a request on the public address."""
        return await self.public_api.handle(request)

    async def serve_peer(self, request: Request) -> Response:
        """Answer a request on the peer address."""
        return await self.peer_api.handle(request)

    def _on_catalog_loaded(self, machine_types: list[MachineType]) -> None:
        self.submission_handlers.set_catalog(machine_types)

    # -- workers ------------------------------------------------------------------------------

    def _overdue_workers(self) -> OverdueWorkers:
        """Addresses and latest heartbeats of overdue workers; empty unless this node leads and most are overdue."""
        leader_term = self.leadership.ready_term
        if leader_term is None:
            return {}
        return {
            machine.name: (machine.address, (machine.incarnation, machine.sequence))
            for machine in leader_term.cluster_state.overdue_machines(monotonic_now())
        }

    def _on_leadership_uncertain(self, now: datetime) -> None:
        """Redirect some workers to search for another leader, while neither store nor peers can confirm this one."""
        leader_term = self.leadership.ready_term
        if leader_term is None:
            return
        leader_search = leader_term.heartbeat_handler.leader_search
        leader_search.start(len(self.settings.peers) + 1, self.settings.params.workers.heartbeat_interval, now)
        if leader_search.has_found_leader(now):
            leader_term.leader_lease.end("workers sent to look for another leader have found one")

    def _on_leadership_confirmed(self) -> None:
        if self.leader_term is not None:
            self.leader_term.heartbeat_handler.leader_search.stop()

    def _on_process_pause(self) -> None:
        """Discard state that may have changed while the process was paused."""
        self.leader_election.discard_leader()
        if self.leader_term is not None:
            self.leader_term.cloud_controller.pause_for_heartbeats()

    # -- leadership ---------------------------------------------------------------------------

    async def _run_leader_term(self, leader_lease: LeaderLease) -> None:
        while not self.catalog.is_loaded:
            await sleep(CATALOG_POLL_INTERVAL)
        dependencies = LeaderDependencies(
            settings=self.settings,
            operator_config=self.operator_config,
            kv_store=self.kv_store,
            cloud_client=self.cloud_client,
            connect=self._connect,
            may_hold_connection=self.admission.may_hold_response,
            gather_rejections=self._gather_rejections,
            fetch_acknowledged_cancellations=self.peer_queries.fetch_acknowledged_cancellations,
        )
        leader_term = LeaderTerm(dependencies, self.catalog.machine_types, leader_lease)
        self.leadership.leader_term = leader_term
        try:
            await leader_term.run()
        finally:
            self.leadership.leader_term = None

    async def _gather_rejections(self) -> dict[str, RejectedRequests]:
        return await self.peer_queries.gather_rejections()

    async def _fetch_progress(self, job_ids: list[str]) -> dict[str, tuple[int, int]]:
        return await self.peer_queries.fetch_progress(job_ids)


def max_public_connections(max_sockets: int) -> int:
    """The maximum number of connections of the public listener, given the sockets that the process may open."""
    outgoing_sockets = max(MIN_OUTGOING_SOCKETS, max_sockets // OUTGOING_SOCKETS_DIVISOR)
    return max(MIN_PUBLIC_CONNECTIONS, max_sockets - MAX_PEER_CONNECTIONS - outgoing_sockets)
