"""One controller: its two listeners, its duties, and who answers what."""

import asyncio
import gc
import logging
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from errno import EADDRINUSE
from secrets import token_hex
from typing import Any

import msgspec
import orjson

from roseweir.clock import NEVER, monotonic_now, seconds, sleep
from roseweir.cloud.client import CloudClient
from roseweir.cloud.errors import NoCapacity
from roseweir.connections import ConnectionAdmission, ConnectionClass
from roseweir.controller.leader import LeaderTerm
from roseweir.delivery_deadlines import handlers as promises
from roseweir.drain import api as drains
from roseweir.http import (
    Connect,
    Listener,
    Request,
    Response,
    ServerConnection,
    Transport,
    Unreachable,
    connect,
    json_response,
    serve,
)
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import put
from roseweir.leader_election.election import LeaderElection, LeaderLease
from roseweir.leader_election.messages import FEATURE_LEVEL
from roseweir.membership.messages import AcknowledgedCancellations, AcknowledgedCancellationsQuery
from roseweir.membership.monitor import PEER_TIMEOUT, MembershipMonitor, OverdueWorkers
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.job_explanation import explain_job
from roseweir.service_levels import messages as served
from roseweir.service_levels.controller import gather_rejected_requests
from roseweir.settings import Settings
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.submissions.jobs import MachineType
from roseweir.workers import messages as wire
from roseweir.workflows import handlers as chains

log = logging.getLogger(__name__)

CATALOG_KEY = "catalog/types"
RETRY_INTERVAL = seconds(0.2)
COMMAND_TIMEOUT = seconds(4)
ADDRESS_IN_USE_TIMEOUT, ADDRESS_IN_USE_RETRY_INTERVAL = seconds(5), seconds(0.02)
MAX_PEER_CONNECTIONS = 32
# Jobs asked about in one request to the leader: it has to fit 64 KiB.
MAX_JOBS_PER_PROGRESS_REQUEST = 2000
# Jobs that `status` names of those that may not start.
MAX_HELD_JOBS_LISTED = 20


class ControllerProcess:
    def __init__(self, settings: Settings, operator_config: OperatorConfig, connect: Connect = connect) -> None:
        self.settings = settings
        self.operator_config = operator_config
        if operator_config.predictive_scaling is not None:
            # Now, and not as this node takes over: it takes a tenth of a second.
            import roseweir.forecast.predictive_scaler  # noqa: F401
        self._connect = connect
        self.kv_store = KeyValueStoreClient(settings.endpoints.kv_store, settings.params.kv_store, connect)
        self.cloud_client = CloudClient(settings.endpoints.cloud, settings.params.cloud, connect)
        self.submission_handlers = SubmissionHandlers(settings, self.kv_store, self._fetch_progress)
        self.membership = MembershipMonitor(settings, self.kv_store, connect)
        self.leader_election = LeaderElection(
            settings,
            self.kv_store,
            self._run_leader_term,
            self.membership.fetch_latest_leader,
            self.membership.probe_workers,
        )
        self.leader_election.on_leadership_uncertain, self.leader_election.on_leadership_confirmed = (
            self._on_leadership_uncertain,
            self._on_leadership_confirmed,
        )
        self.leader_election.on_term_observed = self.membership.observe_term
        # Tells this process from an earlier one of the same node.
        self._process_id = token_hex(4)
        self._started_at = NEVER
        self.leader_term: LeaderTerm | None = None
        self.machine_types: list[MachineType] = []
        # Some sockets stay free for the state service, the cloud, workers' direct commands and peers.
        max_sockets = settings.params.process_limits.max_sockets
        self.admission: ConnectionAdmission[ServerConnection] = ConnectionAdmission(
            max(16, max_sockets - MAX_PEER_CONNECTIONS - max(24, max_sockets // 10))
        )

    async def run(self) -> None:
        host, port = split_address(self.settings.public_address)
        peer_host, peer_port = split_address(self.settings.peer_address)
        public_listener = await _listen_when_free(
            lambda: serve(host, port, self.serve_public, self.admission, classify_request)
        )
        peer_listener = await _listen_when_free(
            lambda: serve(peer_host, peer_port, self.serve_peer, ConnectionAdmission(MAX_PEER_CONNECTIONS))
        )
        log.info(
            "%s serves %s, peers at %s", self.settings.name, self.settings.public_address, self.settings.peer_address
        )
        async with public_listener, peer_listener:
            await self.run_background_tasks()

    async def run_background_tasks(self) -> None:
        self._started_at = monotonic_now()
        self.submission_handlers.start(self._started_at)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.submission_handlers.group_commit.run())
            group.create_task(self.submission_handlers.live_job_cache.run())
            group.create_task(self._load_catalog())
            group.create_task(self.membership.monitor_store())
            group.create_task(
                self.membership.monitor_workers(
                    self._overdue_workers, self._on_process_pause, self.leader_election.resign_if_better_connected_node
                )
            )
            group.create_task(self.leader_election.run())

    # -- catalog ------------------------------------------------------------------------------

    async def _load_catalog(self) -> None:
        """Machine types come from the state service if a node has left them there, else from the cloud."""
        while not self.machine_types:
            try:
                entry = await self.kv_store.get(CATALOG_KEY)
                if entry is not None:
                    self._set_catalog(msgspec.convert(entry.value, list[MachineType]))
                    break
                machine_types = await self.cloud_client.read_catalog()
                if machine_types:
                    self._set_catalog(machine_types)
                    await self.kv_store.compare_and_swap(
                        [(CATALOG_KEY, 0)], [put(CATALOG_KEY, msgspec.to_builtins(machine_types))]
                    )
            except (StoreError, Unreachable, NoCapacity, CompareFailed, msgspec.ValidationError) as e:
                log.debug("catalog: %s", e)
                await sleep(RETRY_INTERVAL)
        log.info("machine types: %s", ", ".join(machine_type.name for machine_type in self.machine_types))
        # What is allocated by now lives as long as the process; later collections need not look at it.
        gc.collect()
        gc.freeze()

    def _set_catalog(self, machine_types: list[MachineType]) -> None:
        self.machine_types = machine_types
        self.submission_handlers.set_catalog(machine_types)

    # -- the workers --------------------------------------------------------------------------

    def _overdue_workers(self) -> OverdueWorkers:
        """Addresses and newest tallies of the workers that this leader misses, if they are most of all."""
        leader_term = self.leader_term
        if leader_term is None or not leader_term.is_ready:
            return {}
        return {
            machine.name: (machine.address, (machine.incarnation, machine.sequence))
            for machine in leader_term.cluster_state.overdue_machines(monotonic_now())
        }

    def _on_leadership_uncertain(self, now: datetime) -> None:
        """A leader that can ask nobody whether it still leads lets some workers look for another."""
        if self.leader_term is not None and self.leader_term.is_ready:
            leader_search = self.leader_term.worker_handlers.worker_reachability
            leader_search.start(len(self.settings.peers) + 1, self.settings.params.workers.heartbeat_interval, now)
            if leader_search.has_found_leader(now):
                self.leader_term.leader_lease.end("workers sent to look for another leader have found one")

    def _on_leadership_confirmed(self) -> None:
        if self.leader_term is not None:
            self.leader_term.worker_handlers.worker_reachability.stop()

    def _on_process_pause(self) -> None:
        self.leader_election.forget_leader()
        if self.leader_term is not None:
            self.leader_term.cloud_controller.pause_for_heartbeats()

    # -- leading ------------------------------------------------------------------------------

    async def _run_leader_term(self, leader_lease: LeaderLease) -> None:
        while not self.machine_types:
            await sleep(seconds(0.05))
        leader_term = LeaderTerm(
            self.settings,
            self.operator_config,
            self.kv_store,
            self.cloud_client,
            self.machine_types,
            leader_lease,
            self._connect,
            self.admission.may_hold_response,
            self._gather_rejections,
            self._fetch_acknowledged_cancellations,
        )
        self.leader_term = leader_term
        try:
            await leader_term.run()
        finally:
            self.leader_term = None

    # -- answers ------------------------------------------------------------------------------

    async def serve_public(self, request: Request) -> Response:
        if request.path == "/hello":
            return await self._serve_heartbeat(request)
        if request.path == "/healthz":
            return self._healthz()
        if request.path.startswith("/submissions"):
            return await self.submission_handlers.handle(request)
        return json_response(404, {"error": "no such path"})

    def _healthz(self) -> Response:
        if self.membership.store_unreachable:
            return json_response(503, {"status": "no state service here"})
        if self.machine_types or self.kv_store.is_failing:
            # A controller that starts while the state service is away says so too: otherwise the balancer took it
            # back only seconds after the state service.
            return json_response(200, {"status": "ok"})
        return json_response(503, {"status": "starting"})

    async def _serve_heartbeat(self, request: Request) -> Response:
        if request.method != "POST" or request.is_too_large:
            return json_response(400, {"error": "a report is a POST of at most 64 KiB"})
        self.leader_election.end_standby()
        leader_term = self.leader_term
        if leader_term is not None and leader_term.is_ready:
            return await leader_term.worker_handlers.handle_heartbeat(request)
        self.membership.record_redirected_worker(request.body)
        leader = self.leader_election.leader
        if leader is None or leader.name == self.settings.name:
            return json_response(503, {"error": "no leader known"})
        return json_response(421, wire.not_leader_response(leader.name))

    async def serve_peer(self, request: Request) -> Response:
        path = request.path
        if path == "/limits":
            return json_response(200, self.describe_limits())
        if path == "/reach":
            return json_response(200 if await self.membership.can_reach_store() else 503, {})
        if path == "/status":
            return json_response(200, self.describe_status())
        if path == "/served":
            return self._serve_service_levels()
        if path == "/turned-away":
            return json_response(200, self._describe_rejections())
        if path == "/told":
            return self._serve_acknowledged_cancellations(request)
        if path == "/drains":
            return await self._serve_or_forward_to_leader(
                request, "/drains", lambda reign: reign.drain_controller, drains.handle_request
            )
        if path == "/chains":
            return await self._serve_or_forward_to_leader(
                request, "/chains", lambda reign: reign.workflows, chains.handle_request
            )
        if path == "/promises":
            return await self._serve_or_forward_to_leader(
                request, "/promises", lambda reign: reign.delivery_deadlines, promises.handle_request
            )
        if path == "/forecast":
            return json_response(200, self.describe_forecast())
        if path.startswith("/job/"):
            return self._serve_job(path.removeprefix("/job/"))
        if path == "/progress":
            try:
                jobs = msgspec.json.decode(request.body, type=list[str])
            except msgspec.DecodeError as e:
                return json_response(400, {"error": str(e)})
            return json_response(200, {job_id: self._count_tasks(job_id) for job_id in jobs})
        return json_response(404, {"error": "no such path"})

    def _serve_acknowledged_cancellations(self, request: Request) -> Response:
        """A leader without the state service asks what users were told here meanwhile."""
        try:
            query = msgspec.json.decode(request.body, type=AcknowledgedCancellationsQuery)
            job_ids = self.submission_handlers.acknowledged_cancellations_since(seconds(query.since_s))
        except (msgspec.DecodeError, OverflowError) as e:
            return json_response(400, {"error": str(e)})
        return json_response(
            200, msgspec.to_builtins(AcknowledgedCancellations(self.membership.latest_known_term, job_ids))
        )

    async def _fetch_acknowledged_cancellations(self, window: timedelta) -> AcknowledgedCancellations | None:
        peer_acknowledged = await self.membership.fetch_acknowledged_cancellations(window)
        own_job_ids = self.submission_handlers.acknowledged_cancellations_since(window)
        return (
            None
            if peer_acknowledged is None or own_job_ids is None
            else AcknowledgedCancellations(peer_acknowledged.term, (peer_acknowledged.job_ids or []) + own_job_ids)
        )

    async def _serve_or_forward_to_leader(
        self,
        request: Request,
        path: str,
        select_controller: Callable[[LeaderTerm], Any],
        handle_command: Callable[[Any, str, bytes], Awaitable[tuple[int, dict[str, Any]]]],
    ) -> Response:
        """Operators' orders, or how things stand (GET). A node that does not lead passes them on, once."""
        leader_term = self.leader_term
        if leader_term is not None and leader_term.is_ready:
            status, answer = await handle_command(select_controller(leader_term), request.method, request.body)
            retry_after = seconds(answer["come_back_s"]) if "come_back_s" in answer else RETRY_INTERVAL
            return json_response(status, self._describe_node() | answer, retry_after if status in (429, 503) else None)
        leader = self.leader_election.leader
        leader_transport = None if leader is None else self.membership.peer_transport(leader.name)
        try:
            command = orjson.loads(request.body) if request.method == "POST" and request.body else {}
        except orjson.JSONDecodeError as e:
            return json_response(400, {"error": f"not JSON: {e}"})
        if leader_transport is not None and isinstance(command, dict) and not command.get("passed_on"):
            try:
                reply = await leader_transport("POST", path, command | {"passed_on": True}, timeout=COMMAND_TIMEOUT)
                return Response(reply.status, reply.body)
            except (Unreachable, ValueError) as e:
                log.info("%s: the leader did not answer: %s", path, e)
        return json_response(
            503, self._describe_node() | {"error": "no leader answers; ask again, by the same name"}, RETRY_INTERVAL
        )

    def _serve_service_levels(self) -> Response:
        leader_term = self.leader_term
        if leader_term is None or not leader_term.is_ready:
            return json_response(404, self._describe_node() | {"error": "this controller does not lead"})
        return json_response(
            200,
            self._describe_node()
            | leader_term.service_levels.describe()
            | {"as_of_s": self._knowledge_age_s(leader_term)},
        )

    def _describe_rejections(self) -> dict[str, Any]:
        uptime_s = (monotonic_now() - self._started_at).total_seconds()
        return served.encode_rejected_requests(self._process_id, uptime_s, self.submission_handlers.rejections.counts)

    async def _gather_rejections(self) -> dict[str, served.RejectedRequests]:
        async def fetch_own() -> Any:
            return self._describe_rejections()

        def fetch_from(peer: Transport) -> Callable[[], Awaitable[Any]]:
            async def ask() -> Any:
                return (await peer("GET", "/turned-away", timeout=PEER_TIMEOUT)).json()

            return ask

        fetchers: dict[str, Callable[[], Awaitable[Any]]] = {self.settings.name: fetch_own}
        for each in self.settings.peers:
            peer = self.membership.peer_transport(each.name)
            if peer is not None:
                fetchers[each.name] = fetch_from(peer)
        return await gather_rejected_requests(fetchers)

    def _serve_job(self, job_id: str) -> Response:
        leader_term = self.leader_term
        node_info = self._describe_node()
        explanation = (
            None
            if leader_term is None or not leader_term.is_ready
            else explain_job(leader_term.cluster_state, job_id, monotonic_now())
        )
        if leader_term is None or explanation is None:
            return json_response(404, node_info | {"error": f"this controller has no unfinished job {job_id}"})
        return json_response(
            200,
            node_info
            | explanation
            | leader_term.dependency_reconciler.describe_job(job_id)
            | {"as_of_s": self._knowledge_age_s(leader_term)},
        )

    def _knowledge_age_s(self, leader_term: LeaderTerm) -> float:
        """How old the leader's knowledge of submissions and cancels is."""
        return round((monotonic_now() - leader_term.worker_handlers.authority.cancellations_read_at).total_seconds(), 1)

    def _describe_node(self) -> dict[str, Any]:
        """Who answers, and who leads as far as it knows."""
        leader = self.leader_election.leader
        return {"node": self.settings.name, "leader": None if leader is None else leader.name}

    def describe_limits(self) -> dict[str, Any]:
        leader_term = self.leader_term
        return self._describe_node() | {
            "limits": [] if leader_term is None else leader_term.cluster_state.limits.describe(monotonic_now())
        }

    def describe_forecast(self) -> dict[str, Any]:
        leader_term = self.leader_term
        answer = self._describe_node() | {"switched_on": self.operator_config.predictive_scaling is not None}
        if leader_term is not None and leader_term.predictive_scaler is not None:
            answer |= leader_term.predictive_scaler.describe()
        return answer

    def describe_status(self) -> dict[str, Any]:
        leader_term = self.leader_term
        leader = self.leader_election.leader
        answer = self._describe_node() | {"term": None if leader is None else leader.term, "level": FEATURE_LEVEL}
        answer["connections"] = self.admission.describe()
        if leader_term is not None:
            cluster_state = leader_term.cluster_state
            answer |= {
                "jobs": len(cluster_state.jobs),
                "tasks_waiting": sum(run.pending_count for run in cluster_state.jobs.values()),
                "tasks_placed": sum(len(run.placements) for run in cluster_state.jobs.values()),
                "jobs_held": [
                    f"{run.spec.id}: {run.hold_reason}" for run in cluster_state.jobs.values() if run.hold_reason
                ][:MAX_HELD_JOBS_LISTED],
                "machines": len(cluster_state.machines),
                "machines_booting": sum(m.is_booting for m in cluster_state.machines.values()),
                "machines_overdue": len(cluster_state.overdue_machines(monotonic_now())),
                "machines_in_doubt": sorted(
                    m.name for m in cluster_state.machines.values() if m.is_suspected and not m.is_unreachable
                ),
                "machines_deaf": sorted(m.name for m in cluster_state.machines.values() if m.is_unreachable),
                "as_of_s": self._knowledge_age_s(leader_term) if leader_term.is_ready else None,
            }
            if leader_term.predictive_scaler is not None:
                answer |= leader_term.predictive_scaler.summary()
            answer |= leader_term.drain_controller.summary()
            answer |= leader_term.service_levels.summary()
            answer |= leader_term.workflows.summary()
            answer |= leader_term.dependency_reconciler.summary()
            if leader_term.delivery_deadlines is not None:
                answer |= leader_term.delivery_deadlines.summary()
            if leader_term.rebalancer is not None and leader_term.drain_controller.is_active:
                answer |= leader_term.rebalancer.summary()
        return answer

    def _count_tasks(self, job_id: str) -> tuple[int, int]:
        """Tasks done and running, for display. Only recorded completions are told."""
        leader_term = self.leader_term
        run = None if leader_term is None else leader_term.cluster_state.jobs.get(job_id)
        if run is None:
            return 0, 0
        running = sum(1 for p in run.placements.values() if p.state in (wire.RUNNING, wire.SAVING_CHECKPOINT))
        return run.completed_count - len(run.uncommitted_completions), running

    async def _fetch_progress(self, job_ids: list[str]) -> dict[str, tuple[int, int]]:
        if self.leader_term is not None:
            return {job_id: self._count_tasks(job_id) for job_id in job_ids}
        leader = self.leader_election.leader
        leader_transport = None if leader is None else self.membership.peer_transport(leader.name)
        if leader_transport is None:
            return {}
        try:
            reply = await leader_transport(
                "POST", "/progress", job_ids[:MAX_JOBS_PER_PROGRESS_REQUEST], timeout=PEER_TIMEOUT
            )
            return msgspec.json.decode(reply.body, type=dict[str, tuple[int, int]])
        except (Unreachable, msgspec.DecodeError):
            return {}


async def _listen_when_free(start_listener: Callable[[], Awaitable[Listener]]) -> Listener:
    """A process that is started again at once may find its addresses still held by its former self, for a moment."""
    deadline = monotonic_now() + ADDRESS_IN_USE_TIMEOUT
    while True:
        try:
            return await start_listener()
        except OSError as e:
            if e.errno != EADDRINUSE or monotonic_now() >= deadline:
                raise
        await sleep(ADDRESS_IN_USE_RETRY_INTERVAL)


def classify_request(request: Request) -> ConnectionClass:
    if request.path == "/hello":
        return ConnectionClass.WORKER
    return ConnectionClass.HEALTH if request.path == "/healthz" else ConnectionClass.USER


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
