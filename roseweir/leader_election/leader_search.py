"""Redirection of a few workers to search for another leader, while this leader can't find out whether there is one.

Pure: the current instant is always an argument.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.clock import NEVER, seconds

MAX_SEARCHING_WORKERS = 4
MAX_SEARCHING_WORKERS_WITH_TASKS = 2
# The time in which a worker tries all nodes is SEARCH_BASE_TIMEOUT plus SEARCH_TIMEOUT_PER_NODE for each node.
SEARCH_BASE_TIMEOUT = seconds(1)
SEARCH_TIMEOUT_PER_NODE = seconds(1)
# Minimum time between the starts of two searches.
MIN_SEARCH_INTERVAL = seconds(6)
# Only idle workers are redirected for this many heartbeat intervals, in which every worker sends a heartbeat.
IDLE_ONLY_HEARTBEAT_INTERVALS = 1.25


@dataclass(slots=True)
class LeaderSearch:
    """Workers that this leader redirects to search for another one, while neither store nor peers confirm it.

    The leader goes on renewing its workers' leases for the stale cancellation window
    (`cluster_state.stale_cancellation_window`), since in an outage of the whole store no other node renews them. It
    can't distinguish such an outage from its own isolation, so it stops answering a few workers. In an outage these
    find no leader and return after trying every node; if another node leads, they stay with it, and this leader can
    step down long before the window ends. A redirected worker loses nothing in an outage: its lease was renewed shortly
    before it leaves, and is renewed when it returns.

    Attributes:
        started_at: When the search began; NEVER if there is none.
        search_timeout: The time in which a redirected worker tries every node.
        idle_only_until: The instant until which only workers without tasks are redirected.
        redirected_at_by_worker: When each worker was redirected, by worker name.
        has_worker_returned: Whether a redirected worker has returned, which shows that there is no other leader.
    """

    started_at: datetime = NEVER
    search_timeout: timedelta = timedelta(0)
    idle_only_until: datetime = NEVER
    redirected_at_by_worker: dict[str, datetime] = field(default_factory=dict)
    has_worker_returned: bool = False

    def start(self, node_count: int, heartbeat_interval: timedelta, now: datetime) -> None:
        """Start a search, unless one is running or has just shown that there is no other leader.

        Args:
            node_count: Number of controllers.
            heartbeat_interval: How often workers send heartbeats.
            now: The current instant.
        """
        if self.started_at == NEVER or (self.has_worker_returned and now - self.started_at >= MIN_SEARCH_INTERVAL):
            self.started_at, self.search_timeout = now, SEARCH_BASE_TIMEOUT + SEARCH_TIMEOUT_PER_NODE * node_count
            self.idle_only_until = now + heartbeat_interval * IDLE_ONLY_HEARTBEAT_INTERVALS
            self.redirected_at_by_worker, self.has_worker_returned = {}, False

    def stop(self) -> None:
        """End the search because this node's leadership is confirmed again."""
        self.started_at = NEVER

    def should_redirect(self, worker: str, has_tasks: bool, now: datetime) -> bool:
        """Whether to leave this worker's heartbeat unanswered, so that it tries other nodes. Idle workers go first."""
        if self.started_at == NEVER or self.has_worker_returned:
            return False
        if worker in self.redirected_at_by_worker:
            self.has_worker_returned = True
            return False
        if has_tasks and (
            now < self.idle_only_until or len(self.redirected_at_by_worker) >= MAX_SEARCHING_WORKERS_WITH_TASKS
        ):
            return False
        if len(self.redirected_at_by_worker) >= MAX_SEARCHING_WORKERS or (
            self.redirected_at_by_worker and now > self.idle_only_until + SEARCH_BASE_TIMEOUT
        ):
            return False
        self.redirected_at_by_worker[worker] = now
        return True

    def has_found_leader(self, now: datetime) -> bool:
        """Whether another node leads: workers were redirected, and none has returned within the search timeout."""
        return (
            bool(self.redirected_at_by_worker)
            and not self.has_worker_returned
            and now - max(self.redirected_at_by_worker.values()) > self.search_timeout
        )
