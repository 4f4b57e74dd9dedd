"""Periodic check whether this node is the only one that can't reach the key-value store."""

import logging

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.leader_election.messages import TERM_KEY
from roseweir.membership.peers import PeerClients
from roseweir.membership.probes import PROBE_TIMEOUT
from roseweir.membership.store_isolation import PeerReachability, StoreIsolationDetector

log = logging.getLogger(__name__)

STORE_CHECK_INTERVAL = seconds(0.5)


class StoreReachability:
    """Determines whether only this node can't reach the store.

    The evidence is the outcome of this node's requests, its peers' answers, and the terms that its workers report.

    Attributes:
        latest_known_term: The latest term that this process has read from the store or written to it.
    """

    def __init__(self, kv_store: KeyValueStoreClient, peers: PeerClients) -> None:
        """Begin with the assumption that the store can be reached."""
        self.latest_known_term = 0
        self._kv_store = kv_store
        self._peers = peers
        self._isolation = StoreIsolationDetector()
        # The latest term that a worker has reported since the store was last reached.
        self._max_worker_term = 0

    @property
    def is_isolated_from_store(self) -> bool:
        """Whether only this node can't reach the store, as of the last check."""
        return self._isolation.is_isolated_from_store

    def observe_term(self, term: int) -> None:
        """Record a term that the store contains."""
        self.latest_known_term = max(self.latest_known_term, term)

    def observe_worker_term(self, term: int) -> None:
        """Record the term in a worker's heartbeat."""
        self._max_worker_term = max(self._max_worker_term, term)

    async def monitor(self) -> None:
        """Check every STORE_CHECK_INTERVAL until cancelled."""
        while True:
            await sleep(STORE_CHECK_INTERVAL)
            was_isolated = self.is_isolated_from_store
            if not self._kv_store.is_failing or await self.can_reach_store():
                self._record_store_reachable()
            else:
                await self._evaluate_isolation()
            if self.is_isolated_from_store != was_isolated:
                log.info("store isolation changed: isolated_from_store=%s", self.is_isolated_from_store)

    async def can_reach_store(self) -> bool:
        """Read one key, and return whether the store answers in time."""
        try:
            await self._kv_store.get(TERM_KEY, timeout=PROBE_TIMEOUT)
        except (StoreError, Unreachable):
            return False
        return True

    def _record_store_reachable(self) -> None:
        self._isolation.record_not_isolated()
        self._max_worker_term = 0

    async def _evaluate_isolation(self) -> None:
        statuses = await self._peers.fetch_store_reachability()
        peers = PeerReachability(
            queried_count=len(statuses),
            answered_count=sum(1 for status in statuses if status),
            is_store_reachable=200 in statuses,
        )
        is_later_term_reported = self._max_worker_term > self.latest_known_term > 0
        self._isolation.evaluate_isolation(peers, is_later_term_reported=is_later_term_reported, now=monotonic_now())
