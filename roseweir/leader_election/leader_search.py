"""Redirection of a few workers that search for another leader, while this leader can't tell whether there is one.

Pure: the current instant is always an argument.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roseweir.clock import NEVER, seconds

MAX_SEARCHING_WORKERS = 4
MAX_SEARCHING_WORKERS_WITH_TASKS = 2
# How long a worker takes to try all nodes: this, and as much for each node.
SEARCH_BASE_TIMEOUT = seconds(1)
SEARCH_TIMEOUT_PER_NODE = seconds(1)
# Between the starts of two searches.
MIN_SEARCH_INTERVAL = seconds(6)
# Only idle workers are redirected for this many heartbeat intervals, so that each has sent a heartbeat.
IDLE_ONLY_HEARTBEAT_INTERVALS = 1.25


@dataclass(slots=True)
class LeaderSearch:
    """Workers that a leader, which neither the store nor a peer can confirm, redirects to look for another leader.

    It keeps its workers' leases alive for the hold-over, since in an outage of the whole store nobody else does.
    Whether this is such an outage it can't see. So it stops answering a few workers: in an outage they find nobody and
    return once they have tried every node; if another node leads, they stay with that one. Then this leader may step
    down long before the hold-over ends. In an outage a redirected worker loses nothing: its lease is nearly full when
    it leaves, and is renewed as it returns.

    Attributes:
        started_at: When the search began; NEVER if none is under way.
        search_timeout: How long a redirected worker takes to try every node.
        idle_only_until: Until when only workers without tasks are redirected.
        sent_at_by_worker: When each worker was redirected.
        has_worker_returned: Whether one has come back: no other leader was found.
    """

    started_at: datetime = NEVER
    search_timeout: timedelta = timedelta(0)
    idle_only_until: datetime = NEVER
    sent_at_by_worker: dict[str, datetime] = field(default_factory=dict)
    has_worker_returned: bool = False

    def start(self, node_count: int, heartbeat_interval: timedelta, now: datetime) -> None:
        """Start a search, unless one goes on or has just shown that there is no other leader.

        Args:
            node_count: Number of controllers.
            heartbeat_interval: How often workers send heartbeats.
            now: The current instant.
        """
        if self.started_at == NEVER or (self.has_worker_returned and now - self.started_at >= MIN_SEARCH_INTERVAL):
            self.started_at, self.search_timeout = now, SEARCH_BASE_TIMEOUT + SEARCH_TIMEOUT_PER_NODE * node_count
            self.idle_only_until = now + heartbeat_interval * IDLE_ONLY_HEARTBEAT_INTERVALS
            self.sent_at_by_worker, self.has_worker_returned = {}, False

    def stop(self) -> None:
        """End the search: the leader is confirmed again."""
        self.started_at = NEVER

    def should_redirect(self, worker: str, has_tasks: bool, now: datetime) -> bool:
        """Whether this worker's heartbeat is left unanswered, so that it looks elsewhere. Idle workers go first."""
        if self.started_at == NEVER or self.has_worker_returned:
            return False
        if worker in self.sent_at_by_worker:
            self.has_worker_returned = True
            return False
        if has_tasks and (
            now < self.idle_only_until or len(self.sent_at_by_worker) >= MAX_SEARCHING_WORKERS_WITH_TASKS
        ):
            return False
        if len(self.sent_at_by_worker) >= MAX_SEARCHING_WORKERS or (
            self.sent_at_by_worker and now > self.idle_only_until + SEARCH_BASE_TIMEOUT
        ):
            return False
        self.sent_at_by_worker[worker] = now
        return True

    def has_found_leader(self, now: datetime) -> bool:
        """Whether another node leads: workers were redirected, and none has come back in time."""
        return (
            bool(self.sent_at_by_worker)
            and not self.has_worker_returned
            and now - max(self.sent_at_by_worker.values()) > self.search_timeout
        )
