"""Cancellations that a leader fetches from the other controllers while it cannot reach the store."""

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

# The leader queries the other controllers once its data on cancellations is this old.
STORE_UNREACHABLE_TIMEOUT = timedelta(seconds=3)
CANCELLATION_QUERY_INTERVAL = timedelta(seconds=1)
# Answers count only if all arrive within this time. The window that a query asks about is longer by twice this time.
CANCELLATION_QUERY_TIMEOUT = timedelta(seconds=1)

FetchAcknowledgedCancellations = Callable[[timedelta], Awaitable[AcknowledgedCancellations | None]]


class PeerCancellations:
    """Keeps the leader's data on cancellations current with the other controllers' answers."""

    def __init__(
        self,
        cluster_state: ClusterState,
        log_writer: LogWriter,
        *,
        leader_lease: LeaderLease,
        heartbeat_handler: HeartbeatHandler,
        fetch_acknowledged: FetchAcknowledgedCancellations,
    ) -> None:
        self._cluster_state = cluster_state
        self._log_writer = log_writer
        self._leader_lease = leader_lease
        self._heartbeat_handler = heartbeat_handler
        self._fetch_acknowledged = fetch_acknowledged
        self._queried_at = NEVER

    async def apply(self) -> None:
        """Query the other controllers if the store has not answered for long, and stop the jobs that they name.

        A cancellation takes effect once a controller has acknowledged it to the user. So if every other controller
        lists the cancellations that it has acknowledged since the store's last answer, the lists are complete, and
        none of these controllers led when it answered. The leader stops those jobs, and continues as if the store had
        answered its watch. Bound and proof: docs/design.md.
        """
        sent_at = monotonic_now()
        cancellation_data_age = sent_at - self._heartbeat_handler.authority.cancellations_complete_until
        if (
            cancellation_data_age < STORE_UNREACHABLE_TIMEOUT
            or sent_at - self._queried_at < CANCELLATION_QUERY_INTERVAL
        ):
            return
        self._queried_at = sent_at
        # The window also reaches back to when this node was last confirmed as the only leader: another node whose term
        # began and ended since then no longer knows of that term.
        acknowledged = await self._fetch_acknowledged(
            cancellation_data_age * CLOCK_DRIFT_FACTOR + CANCELLATION_QUERY_TIMEOUT * 2
        )
        if (
            acknowledged is None
            or monotonic_now() - sent_at > CANCELLATION_QUERY_TIMEOUT
            or acknowledged.term > self._leader_lease.term
        ):
            return
        for job_id in acknowledged.job_ids or ():
            self._cancel_job(job_id)
        self._heartbeat_handler.authority.record_cancellations_read(sent_at)
        self._leader_lease.confirm_leadership(sent_at)

    def _cancel_job(self, job_id: str) -> None:
        run = self._cluster_state.jobs.get(job_id)
        if run is not None and not run.final_state:
            log.info("job cancelled: job=%s source=peer_controller", job_id)
            self._log_writer.record_job_end(job_id, completed_job(run.spec, "cancelled"))
