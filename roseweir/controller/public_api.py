"""The API on the public address: workers' heartbeats, users' submissions and the load balancer's health check."""

from roseweir.connections import ConnectionClass
from roseweir.controller.catalog import MachineCatalog
from roseweir.controller.leadership import Leadership
from roseweir.http import Request, Response, json_response
from roseweir.kv_store import KeyValueStoreClient
from roseweir.membership.monitor import MembershipMonitor
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.workers import messages as worker_messages

HEARTBEAT_PATH = "/hello"
HEALTH_CHECK_PATH = "/healthz"
SUBMISSIONS_PATH = "/submissions"


class PublicApi:
    """Routes the requests of workers, users and the load balancer."""

    def __init__(
        self,
        leadership: Leadership,
        membership: MembershipMonitor,
        *,
        kv_store: KeyValueStoreClient,
        submission_handlers: SubmissionHandlers,
        catalog: MachineCatalog,
    ) -> None:
        self._leadership = leadership
        self._membership = membership
        self._kv_store = kv_store
        self._submission_handlers = submission_handlers
        self._catalog = catalog

    async def handle(self, request: Request) -> Response:
        """Answer one request; 404 for an unknown path."""
        if request.path == HEARTBEAT_PATH:
            return await self._handle_heartbeat(request)
        if request.path == HEALTH_CHECK_PATH:
            return self._check_health()
        if request.path.startswith(SUBMISSIONS_PATH):
            return await self._submission_handlers.handle(request)
        return json_response(404, {"error": "no such path"})

    def _check_health(self) -> Response:
        if self._membership.is_isolated_from_store:
            return json_response(503, {"status": "no state service here"})
        if self._catalog.is_loaded or self._kv_store.is_failing:
            # A controller that starts while the store is unreachable reports healthy too: otherwise the load balancer
            # would send it requests again only seconds after the store has recovered.
            return json_response(200, {"status": "ok"})
        return json_response(503, {"status": "starting"})

    async def _handle_heartbeat(self, request: Request) -> Response:
        """Answer a worker's heartbeat; a node that does not lead redirects the worker to the leader."""
        if request.method != "POST" or request.is_too_large:
            return json_response(400, {"error": "a report is a POST of at most 64 KiB"})
        leader_election = self._leadership.leader_election
        leader_election.end_candidacy_delay()
        leader_term = self._leadership.ready_term
        if leader_term is not None:
            return await leader_term.heartbeat_handler.handle_heartbeat(request)
        self._membership.record_redirected_worker(request.body)
        leader = leader_election.leader
        if leader is None or leader.name == self._leadership.node_name:
            return json_response(503, {"error": "no leader known"})
        return json_response(421, worker_messages.not_leader_response(leader.name))


def classify_request(request: Request) -> ConnectionClass:
    """The class of a connection by the path of its request, for connection admission."""
    if request.path == HEARTBEAT_PATH:
        return ConnectionClass.WORKER
    return ConnectionClass.HEALTH if request.path == HEALTH_CHECK_PATH else ConnectionClass.USER
