"""The API on a controller's peer address: queries of other controllers, and operators' queries and commands."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
import orjson

from roseweir.clock import seconds
from roseweir.controller.leader import LeaderTerm
from roseweir.controller.leadership import Leadership
from roseweir.controller.peer_queries import PROGRESS_PATH, REJECTIONS_PATH, PeerQueries
from roseweir.controller.status import StatusReporter
from roseweir.delivery_deadlines import handlers as delivery_deadline_handlers
from roseweir.drain import api as drain_api
from roseweir.http import Request, Response, Unreachable, json_response
from roseweir.membership.messages import AcknowledgedCancellations, AcknowledgedCancellationsQuery
from roseweir.membership.monitor import MembershipMonitor
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.workflows import handlers as workflow_handlers

log = logging.getLogger(__name__)

JOB_PATH_PREFIX = "/job/"
COMMAND_RETRY_AFTER = seconds(0.2)
# The timeout of a command that a node that does not lead forwards to the leader.
COMMAND_TIMEOUT = seconds(4)


class LeaderRoute(NamedTuple):
    """A path that only the leader answers: the controller that serves it, and the handler of its requests."""

    select_controller: Callable[[LeaderTerm], Any]
    handle_request: Callable[[Any, str, bytes], Awaitable[tuple[int, dict[str, Any]]]]


LEADER_ROUTES = {
    "/drains": LeaderRoute(lambda leader_term: leader_term.drain_controller, drain_api.handle_request),
    "/chains": LeaderRoute(lambda leader_term: leader_term.workflow_controller, workflow_handlers.handle_request),
    "/promises": LeaderRoute(
        lambda leader_term: leader_term.deadline_controller, delivery_deadline_handlers.handle_request
    ),
}


class PeerApi:
    """Routes the requests of other controllers and of operators."""

    def __init__(
        self,
        leadership: Leadership,
        membership: MembershipMonitor,
        *,
        submission_handlers: SubmissionHandlers,
        peer_queries: PeerQueries,
        status_reporter: StatusReporter,
    ) -> None:
        self._leadership = leadership
        self._membership = membership
        self._submission_handlers = submission_handlers
        self._peer_queries = peer_queries
        self._status_reporter = status_reporter
        self._routes: dict[str, Callable[[Request], Response]] = {
            "/limits": lambda request: json_response(200, status_reporter.describe_limits()),
            "/status": lambda request: json_response(200, status_reporter.describe_status()),
            "/forecast": lambda request: json_response(200, status_reporter.describe_forecast()),
            "/served": self._handle_service_levels,
            "/told": self._handle_acknowledged_cancellations,
            REJECTIONS_PATH: lambda request: json_response(200, peer_queries.describe_rejections()),
            PROGRESS_PATH: self._handle_progress,
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request; 404 for an unknown path."""
        if request.path in self._routes:
            return self._routes[request.path](request)
        if request.path in LEADER_ROUTES:
            return await self._handle_or_forward_to_leader(request, LEADER_ROUTES[request.path])
        if request.path == "/reach":
            return json_response(200 if await self._membership.can_reach_store() else 503, {})
        if request.path.startswith(JOB_PATH_PREFIX):
            return self._handle_job(request.path.removeprefix(JOB_PATH_PREFIX))
        return json_response(404, {"error": "no such path"})

    def _handle_acknowledged_cancellations(self, request: Request) -> Response:
        """List the cancellations that this node acknowledged to users, for a leader that cannot reach the store."""
        try:
            query = msgspec.json.decode(request.body, type=AcknowledgedCancellationsQuery)
            job_ids = self._submission_handlers.acknowledged_cancellations_since(seconds(query.since_s))
        except (msgspec.DecodeError, OverflowError) as error:
            return json_response(400, {"error": str(error)})
        return json_response(
            200, msgspec.to_builtins(AcknowledgedCancellations(self._membership.latest_known_term, job_ids))
        )

    def _handle_service_levels(self, request: Request) -> Response:
        answer = self._status_reporter.describe_service_levels()
        if answer is None:
            return json_response(404, self._leadership.describe_node() | {"error": "this controller does not lead"})
        return json_response(200, answer)

    def _handle_job(self, job_id: str) -> Response:
        answer = self._status_reporter.describe_job(job_id)
        if answer is None:
            return json_response(
                404,
                self._leadership.describe_node() | {"error": f"this controller has no unfinished job {job_id}"},
            )
        return json_response(200, answer)

    def _handle_progress(self, request: Request) -> Response:
        try:
            job_ids = msgspec.json.decode(request.body, type=list[str])
        except msgspec.DecodeError as error:
            return json_response(400, {"error": str(error)})
        return json_response(200, {job_id: self._peer_queries.count_tasks(job_id) for job_id in job_ids})

    async def _handle_or_forward_to_leader(self, request: Request, route: LeaderRoute) -> Response:
        """Handle an operator's command or query (GET) as leader, or forward it to the leader, at most once."""
        leader_term = self._leadership.ready_term
        if leader_term is None:
            return await self._forward_to_leader(request)
        status, answer = await route.handle_request(route.select_controller(leader_term), request.method, request.body)
        retry_after = seconds(answer["come_back_s"]) if "come_back_s" in answer else COMMAND_RETRY_AFTER
        return json_response(
            status, self._leadership.describe_node() | answer, retry_after if status in (429, 503) else None
        )

    async def _forward_to_leader(self, request: Request) -> Response:
        leader_transport = self._leadership.leader_transport()
        try:
            command = orjson.loads(request.body) if request.method == "POST" and request.body else {}
        except orjson.JSONDecodeError as error:
            return json_response(400, {"error": f"not JSON: {error}"})
        if leader_transport is not None and isinstance(command, dict) and not command.get("passed_on"):
            try:
                reply = await leader_transport(
                    "POST", request.path, command | {"passed_on": True}, timeout=COMMAND_TIMEOUT
                )
                return Response(reply.status, reply.body)
            except (Unreachable, ValueError) as error:
                log.info("forwarding to leader failed: path=%s error=%s", request.path, error)
        return json_response(
            503,
            self._leadership.describe_node() | {"error": "no leader answers; ask again, by the same name"},
            COMMAND_RETRY_AFTER,
        )
