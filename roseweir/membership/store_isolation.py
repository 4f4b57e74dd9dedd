"""Detects that only this controller can't reach the key-value store. Pure: the current instant is an argument."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import NEVER, seconds

# How long requests to the store must fail before a node counts as isolated: if at least half of the controllers do not
# answer, and if fewer do not.
MAJORITY_UNREACHABLE_TIMEOUT = seconds(2)
MINORITY_UNREACHABLE_TIMEOUT = seconds(6)
# Maximum number of times that a node removes itself from the load balancer because of missing answers, within the time
# for which the balancer counts removals.
MAX_REMOVALS = 2
REMOVAL_WINDOW = timedelta(minutes=2)


class PeerReachability(NamedTuple):
    """Numbers of peers that were queried and that answered, and whether any of them can reach the store."""

    queried_count: int
    answered_count: int
    is_store_reachable: bool


@dataclass(slots=True)
class StoreIsolationDetector:
    """Decides whether only this node can't reach the store, so that its users are better served by its peers.

    One peer's answer that it can reach the store is enough. In an outage of the whole store no peer answers so, and the
    node stays in the load balancer: leaving it would cost seconds after the outage, and no other node could serve the
    users either. A node that can't reach its peers gets no answers. If that counted as an outage of the whole store, an
    isolated node would answer 503 to all users, and the load balancer would prefer it because it has few connections.
    So missing answers are evidence too:

    | evidence | takes effect after | reason |
    | --- | --- | --- |
    | a worker reports a later term than any known here | 0 s | another leader has been elected meanwhile |
    | at least half do not answer | MAJORITY_UNREACHABLE_TIMEOUT | in an outage they would answer and report it |
    | fewer controllers do not answer | MINORITY_UNREACHABLE_TIMEOUT | a crashed controller has restarted by then |

    Drawback: in an outage of the whole store with unreachable peers, the node is removed from the load balancer, which
    adds it again two health checks after the outage, and no sooner than 3 s after the removal. The balancer doubles
    these 3 s with each removal within REMOVAL_WINDOW, so missing answers remove a node at most MAX_REMOVALS times in
    that window.

    Attributes:
        is_isolated_from_store: Whether only this node can't reach the store, as of the last evaluation.
        failing_since: When requests to the store began to fail; NEVER if they succeed, or if all peers answer that they
            can't reach the store either.
        removals: When this node was found to be isolated because of missing answers.
    """

    is_isolated_from_store: bool = False
    failing_since: datetime = NEVER
    removals: list[datetime] = field(default_factory=list)

    def record_not_isolated(self) -> None:
        """Record that this node can reach the store, or that its peers can't either."""
        self.is_isolated_from_store, self.failing_since = False, NEVER

    def evaluate_isolation(self, peers: PeerReachability, *, is_later_term_reported: bool, now: datetime) -> bool:
        """Return whether only this node can't reach the store, while its requests to the store fail.

        Args:
            peers: The peers' answers.
            is_later_term_reported: Whether a worker has reported a later term than any known here.
            now: The current instant.
        """
        if peers.answered_count == peers.queried_count and not peers.is_store_reachable and not is_later_term_reported:
            # An outage of the whole store: all peers answer that they can't reach it either.
            self.record_not_isolated()
            return False
        if self.failing_since == NEVER:
            self.failing_since = now
        if self.is_isolated_from_store or peers.is_store_reachable or is_later_term_reported:
            self.is_isolated_from_store = True
            return True
        is_minority = (1 + peers.answered_count) * 2 <= 1 + peers.queried_count
        timeout = MAJORITY_UNREACHABLE_TIMEOUT if is_minority else MINORITY_UNREACHABLE_TIMEOUT
        self.removals = [removed_at for removed_at in self.removals if now - removed_at < REMOVAL_WINDOW]
        if now - self.failing_since >= timeout and len(self.removals) < MAX_REMOVALS:
            self.is_isolated_from_store = True
            self.removals.append(now)
        return self.is_isolated_from_store
