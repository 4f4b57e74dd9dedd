"""Whether a controller alone is cut off from the key-value store. Pure: the instant is always an argument."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roseweir.clock import NEVER, seconds

# For how long most, or some, controllers have to be out of reach of a node that can't reach the store.
MAJORITY_UNREACHABLE_TIMEOUT = seconds(2)
MINORITY_UNREACHABLE_TIMEOUT = seconds(6)
# How often a node removes itself from the load balancer without a peer's answer, within the time that the balancer
# remembers removals.
MAX_REMOVALS = 2
REMOVAL_WINDOW = timedelta(minutes=2)


class PeerReachability(NamedTuple):
    """How many peers were asked whether they reach the store, how many answered, and whether one of them reaches it."""

    asked: int
    answered: int
    is_store_reached: bool


@dataclass(slots=True)
class StoreIsolationDetector:
    """Whether this node's users are better served by its peers, since it alone can't reach the store.

    One peer's answer that it reaches the store is enough. In an outage of the whole store no peer says so, and the node
    stays in the load balancer: leaving it costs seconds after the outage, and nobody else could serve the users either.
    A node that has lost its peers as well gets no answers. That was taken for an outage of the whole store once: such a
    node answered 503 to everybody, and was preferred because its connections were few. So missing answers count too:

    | evidence | after | because |
    | --- | --- | --- |
    | a worker has seen a later term than any known here | at once | another leader has been elected meanwhile |
    | most controllers do not answer | MAJORITY_UNREACHABLE_TIMEOUT | in an outage they would, and report it |
    | some of them does not | MINORITY_UNREACHABLE_TIMEOUT | it may have crashed, and is back by then |

    Price: an outage of the whole store with peers out of reach removes the node from the balancer, which takes it back
    two health checks after the outage, no sooner than 3 s after it was removed. That is doubled with each removal
    within REMOVAL_WINDOW, so this evidence removes a node at most MAX_REMOVALS times in that time.

    Attributes:
        store_unreachable: Whether this node alone can't reach the store, as last concluded.
        failing_since: Since when it can't, without proof that another node can; NEVER if it can.
        removals: When it concluded so from missing answers.
    """

    store_unreachable: bool = False
    failing_since: datetime = NEVER
    removals: list[datetime] = field(default_factory=list)

    def record_not_isolated(self) -> None:
        """Conclude that this node is not cut off alone."""
        self.store_unreachable, self.failing_since = False, NEVER

    def evaluate_failing(self, peers: PeerReachability, *, is_later_term_seen: bool, now: datetime) -> bool:
        """Return whether this node alone can't reach the store, while its requests to the store fail.

        Args:
            peers: What the peers have answered.
            is_later_term_seen: Whether a worker has shown a later term than any known here.
            now: The current instant.
        """
        if peers.answered == peers.asked and not peers.is_store_reached and not is_later_term_seen:
            # An outage of the whole store: the peers say that they don't reach it either.
            self.record_not_isolated()
            return False
        if self.failing_since == NEVER:
            self.failing_since = now
        if self.store_unreachable or peers.is_store_reached or is_later_term_seen:
            self.store_unreachable = True
            return True
        is_minority = (1 + peers.answered) * 2 <= 1 + peers.asked
        timeout = MAJORITY_UNREACHABLE_TIMEOUT if is_minority else MINORITY_UNREACHABLE_TIMEOUT
        self.removals = [removed_at for removed_at in self.removals if now - removed_at < REMOVAL_WINDOW]
        if now - self.failing_since >= timeout and len(self.removals) < MAX_REMOVALS:
            self.store_unreachable = True
            self.removals.append(now)
        return self.store_unreachable
