"""Cancellations that a leader learns of from the other controllers while it cannot reach the store."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from roseweir.clock import NEVER, monotonic_now
from roseweir.leader_election.election import LeaderLease
from roseweir.membership.messages import AcknowledgedCancellations
from roseweir.scheduler.cluster_state import CLOCK_DRIFT_FACTOR, ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.submissions.jobs import completed_job
from roseweir.workers.handlers import HeartbeatHandler

log = logging.getLogger(__name__)

# The leader asks the other controllers once its knowledge of cancellations is this old.
STORE_UNREACHABLE_TIMEOUT = timedelta(seconds=3)
CANCELLATION_QUERY_INTERVAL = timedelta(seconds=1)
# Answers count if they come within this time, and the query reaches back for that much longer.
CANCELLATION_QUERY_TIMEOUT = timedelta(seconds=1)

FetchAcknowledgedCancellations = Callable[[timedelta], Awaitable[AcknowledgedCancellations | None]]


class PeerCancellations:
    """Keeps the leader's knowledge of cancellations current by the other controllers' answers."""

    def __init__(
        self,
        cluster_state: ClusterState,
        log_writer: LogWriter,
        *,
        leader_lease: LeaderLease,
        worker_handlers: HeartbeatHandler,
        fetch_acknowledged: FetchAcknowledgedCancellations,
    ) -> None:
        self._cluster_state = cluster_state
        self._log_writer = log_writer
        self._leader_lease = leader_lease
        self._worker_handlers = worker_handlers
        self._fetch_acknowledged = fetch_acknowledged
        self._queried_at = NEVER

    async def apply(self) -> None:
        """Ask the other controllers if the store has not answered for long, and stop the jobs that they name.

        Without the store the other controllers know as much as it does: all cancellations that users were
        acknowledged. A cancellation counts from when its user hears of it, and users hear by a controller. So if all
        others name the jobs whose cancellation they have acknowledged since the last answer of the store, these are
        all, and none of them led as it answered. The leader stops those jobs, and goes on as if its watch had been
        answered. Bound and proof: docs/design.md.
        """
        sent_at = monotonic_now()
        knowledge_age = sent_at - self._worker_handlers.authority.cancellations_known_at
        if knowledge_age < STORE_UNREACHABLE_TIMEOUT or sent_at - self._queried_at < CANCELLATION_QUERY_INTERVAL:
            return
        self._queried_at = sent_at
        # Back to when nobody else led, too: one that led since and ended does not know of it any more.
        acknowledged = await self._fetch_acknowledged(
            knowledge_age * CLOCK_DRIFT_FACTOR + CANCELLATION_QUERY_TIMEOUT * 2
        )
        if (
            acknowledged is None
            or monotonic_now() - sent_at > CANCELLATION_QUERY_TIMEOUT
            or acknowledged.term > self._leader_lease.term
        ):
            return
        for job_id in acknowledged.job_ids or ():
            self._cancel_job(job_id)
        self._worker_handlers.authority.record_cancellations_read(sent_at)
        self._leader_lease.confirm_leadership(sent_at)

    def _cancel_job(self, job_id: str) -> None:
        run = self._cluster_state.jobs.get(job_id)
        if run is not None and not run.final_state:
            log.info("job cancelled: job=%s source=peer_controller", job_id)
            self._log_writer.record_job_end(job_id, completed_job(run.spec, "cancelled"))
