"""Queries to the other controllers: acknowledged cancellations, rejected requests and progress."""

from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from secrets import token_hex
from typing import Any

import msgspec

from roseweir.clock import NEVER, monotonic_now
from roseweir.controller.leadership import Leadership
from roseweir.http import Transport, Unreachable
from roseweir.membership.messages import AcknowledgedCancellations
from roseweir.membership.monitor import PEER_TIMEOUT, MembershipMonitor
from roseweir.service_levels.controller import gather_rejected_requests
from roseweir.service_levels.messages import RejectedRequests, encode_rejected_requests
from roseweir.settings import Settings
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.workers.messages import RUNNING, SAVING_CHECKPOINT

REJECTIONS_PATH = "/turned-away"
PROGRESS_PATH = "/progress"
# Limited so that a request to the leader stays within 64 KiB.
MAX_JOBS_PER_PROGRESS_REQUEST = 2000


class PeerQueries:
    """Combines this node's own answers with those of the other controllers."""

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        *,
        membership: MembershipMonitor,
        submission_handlers: SubmissionHandlers,
    ) -> None:
        self._settings = settings
        self._leadership = leadership
        self._membership = membership
        self._submission_handlers = submission_handlers
        # Distinguishes this process from an earlier one of the same node.
        self._process_id = token_hex(4)
        self._started_at = NEVER

    def start(self, now: datetime) -> None:
        """Count the uptime from `now`, an instant of the monotonic clock."""
        self._started_at = now

    async def fetch_acknowledged_cancellations(self, window: timedelta) -> AcknowledgedCancellations | None:
        """Fetch the cancellations that any controller, this one included, has acknowledged to a user within `window`.

        Returns:
            The cancelled jobs, or None if a controller did not answer or its records do not reach back that far.
        """
        peer_acknowledged = await self._membership.fetch_acknowledged_cancellations(window)
        own_job_ids = self._submission_handlers.acknowledged_cancellations_since(window)
        if peer_acknowledged is None or own_job_ids is None:
            return None
        return AcknowledgedCancellations(peer_acknowledged.term, (peer_acknowledged.job_ids or []) + own_job_ids)

    def describe_rejections(self) -> dict[str, Any]:
        """Counts of the requests that this process has rejected since its start, ready for JSON."""
        uptime_s = (monotonic_now() - self._started_at).total_seconds()
        return encode_rejected_requests(self._process_id, uptime_s, self._submission_handlers.rejections.counts)

    async def gather_rejections(self) -> dict[str, RejectedRequests]:
        """Counts of rejected requests by controller name, for this controller and all others that answer."""
        fetchers: dict[str, Callable[[], Awaitable[Any]]] = {self._settings.name: self._fetch_own_rejections}
        for peer in self._settings.peers:
            transport = self._membership.peer_transport(peer.name)
            if transport is not None:
                fetchers[peer.name] = _rejections_fetcher(transport)
        return await gather_rejected_requests(fetchers)

    async def _fetch_own_rejections(self) -> Any:
        return self.describe_rejections()

    def count_tasks(self, job_id: str) -> tuple[int, int]:
        """Tasks completed and running, for display; zeros unless this node leads. Only durable completions count."""
        leader_term = self._leadership.leader_term
        run = None if leader_term is None else leader_term.cluster_state.jobs.get(job_id)
        if run is None:
            return 0, 0
        running = sum(1 for placement in run.placements.values() if placement.state in (RUNNING, SAVING_CHECKPOINT))
        return run.completed_count - len(run.uncommitted_completions), running

    async def fetch_progress(self, job_ids: list[str]) -> dict[str, tuple[int, int]]:
        """Tasks completed and running of each job, as counted by the leader; empty if it does not answer."""
        if self._leadership.leader_term is not None:
            return {job_id: self.count_tasks(job_id) for job_id in job_ids}
        leader_transport = self._leadership.leader_transport()
        if leader_transport is None:
            return {}
        try:
            reply = await leader_transport(
                "POST", PROGRESS_PATH, job_ids[:MAX_JOBS_PER_PROGRESS_REQUEST], timeout=PEER_TIMEOUT
            )
            return msgspec.json.decode(reply.body, type=dict[str, tuple[int, int]])
        except (Unreachable, msgspec.DecodeError):
            return {}


def _rejections_fetcher(peer_transport: Transport) -> Callable[[], Awaitable[Any]]:
    async def fetch() -> Any:
        return (await peer_transport("GET", REJECTIONS_PATH, timeout=PEER_TIMEOUT)).json()

    return fetch
