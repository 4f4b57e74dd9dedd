"""The leader's lease: how long this node may act as leader, and its renewal.

The store counts a lease's time to live from the receipt of the renewal, this node from the earlier *sending* of it.
Clocks drift apart by up to 0.05%, so the time to live less 0.1%, counted from the sending, ends before the lease does.
The safety margin covers the time between reading the clock and a response leaving this node.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta

from roseweir.clock import NEVER, monotonic_now, sleep
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.errors import LeaseExpired
from roseweir.leader_election.messages import LeaderRecord, PeerLeader

log = logging.getLogger(__name__)

LEASE_TTL = timedelta(milliseconds=2500)
# After this share of the time to live by this node's clock, the lease is still valid by the store's clock.
CLOCK_DRIFT_FACTOR = 0.999
LEASE_SAFETY_MARGIN = timedelta(milliseconds=100)
# From the sending of one renewal to the sending of the next.
RENEWAL_INTERVAL = timedelta(milliseconds=600)
# Delay after a renewal that failed.
RENEWAL_RETRY_INTERVAL = timedelta(milliseconds=300)
RENEWAL_TIMEOUT = LEASE_TTL / 2

# Queries the other controllers for the latest leader that they know; None if none of them knows a leader.
FetchPeerLeader = Callable[[], Coroutine[None, None, PeerLeader | None]]


class LeadershipEnded(Exception):
    """This node does not lead any more."""


class LeaderLease:
    """One term of leadership: this node may act as leader while the lease is certain to be valid.

    Attributes:
        term: The term's number, which each election increments; the fencing token in the leader's messages.
        lease_id: The id of the lease in the store.
        leader_key_version: Version of the leader's key, which guards the leader's writes.
        ended: Set once this node does not lead any more; `end_reason` says why.
        valid_until: The earliest instant at which the lease can expire at the store.
        confirmed_at: The latest instant at which no other node is known to have led: when the last successful renewal
            was sent, or a query that all other controllers answered. Only the lease permits starting tasks.
    """

    def __init__(self, term: int, lease_id: int, leader_key_version: int, sent_at: datetime) -> None:
        """Begin a term; `sent_at` is when the request for the lease was sent."""
        self.term = term
        self.lease_id = lease_id
        self.leader_key_version = leader_key_version
        self.ended = asyncio.Event()
        self.end_reason = ""
        self.valid_until = NEVER
        self.confirmed_at = NEVER
        self.apply_renewal(sent_at)

    def confirm_leadership(self, sent_at: datetime) -> None:
        """Record that no other node led at the instant when the proving request was sent."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def apply_renewal(self, sent_at: datetime) -> None:
        """Apply a successful renewal; `sent_at` is when it was sent."""
        self.confirm_leadership(sent_at)
        self.valid_until = max(self.valid_until, sent_at + LEASE_TTL * CLOCK_DRIFT_FACTOR - LEASE_SAFETY_MARGIN)

    def is_valid(self) -> bool:
        """Whether this node is certain to hold the lease now."""
        return not self.ended.is_set() and monotonic_now() < self.valid_until

    def end(self, reason: str) -> None:
        """End the term for this node; only the first reason is kept."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()


class LeaseRenewer:
    """Renews one lease until it expires or a peer reports the leader of a later term.

    Attributes:
        successor: The leader of a later term that a peer reported, without address and lease; None if none did.
    """

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        leader_lease: LeaderLease,
        *,
        fetch_peer_leader: FetchPeerLeader,
        on_uncertain: Callable[[datetime], None],
        on_confirmed: Callable[[], None],
    ) -> None:
        """Prepare to renew a lease.

        Args:
            kv_store: The store's client.
            leader_lease: The lease to renew.
            fetch_peer_leader: Queries the peers while the lease may have expired and the store can't be reached.
            on_uncertain: Called, with the current instant, whenever no peer answers such a query with a leader.
            on_confirmed: Called when renewals succeed again.
        """
        self.successor: LeaderRecord | None = None
        self._kv_store = kv_store
        self._leader_lease = leader_lease
        self._fetch_peer_leader = fetch_peer_leader
        self._on_uncertain = on_uncertain
        self._on_confirmed = on_confirmed
        self._is_failing = False

    async def run(self) -> None:
        """Renew the lease until it has expired, then end the term."""
        while True:
            sent_at = monotonic_now()
            try:
                await self._kv_store.renew_lease(self._leader_lease.lease_id, timeout=RENEWAL_TIMEOUT)
                self._apply_renewal(sent_at)
                interval = RENEWAL_INTERVAL - (monotonic_now() - sent_at)
            except LeaseExpired:
                self._leader_lease.end("the lease expired")
                return
            except (StoreError, Unreachable) as error:
                # After an outage the store restarts all leases at their full time to live, so this one may still exist.
                log.log(logging.DEBUG if self._is_failing else logging.INFO, "lease renewal failed: error=%s", error)
                self._is_failing = True
                interval = RENEWAL_RETRY_INTERVAL
                if not self._leader_lease.is_valid():
                    await self._check_peer_leader()
            await sleep(interval)

    def _apply_renewal(self, sent_at: datetime) -> None:
        self._leader_lease.apply_renewal(sent_at)
        if self._is_failing:
            log.info("lease renewal recovered: term=%d", self._leader_lease.term)
            self._on_confirmed()
        self._is_failing = False

    async def _check_peer_leader(self) -> None:
        """Step down as soon as a peer reports a later term.

        Without this check, a leader that is isolated from the store answers heartbeats for the whole stale cancellation
        window, and its workers stay with it: no task starts for 18 s, while the new leader gets no heartbeats from
        these workers and releases their machines.
        """
        peer_leader = await self._fetch_peer_leader()
        if peer_leader is None:
            # No peer answers, or none knows a leader: redirected workers may find one that this node can't.
            self._on_uncertain(monotonic_now())
        elif peer_leader.term > self._leader_lease.term:
            self.successor = LeaderRecord(name=peer_leader.name, peer_address="", term=peer_leader.term, lease_id=0)
            self._leader_lease.end(f"{peer_leader.name} leads with term {peer_leader.term}")
