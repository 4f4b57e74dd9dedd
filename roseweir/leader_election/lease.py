"""The leader's lease: how long this node may act as leader, and its renewal.

The lease ends at the store no earlier than its time to live after the store got the renewal, which is after the renewal
was sent. Clocks drift apart by up to 0.05%, so counted from the *sending* the time to live less 0.1% is safe. The
safety margin covers the time between reading the clock and an answer leaving this node.
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
# The share of the time to live that surely passes at the store no later than here.
CLOCK_DRIFT_FACTOR = 0.999
LEASE_SAFETY_MARGIN = timedelta(milliseconds=100)
# Between the sendings of two renewals.
RENEWAL_INTERVAL = timedelta(milliseconds=600)
# After a renewal that failed.
RENEWAL_RETRY_INTERVAL = timedelta(milliseconds=300)
RENEWAL_TIMEOUT = LEASE_TTL / 2

# Asks the other controllers for the latest leader that they know; None if none of them knows any.
FetchPeerLeader = Callable[[], Coroutine[None, None, PeerLeader | None]]


class LeadershipEnded(Exception):
    """This node does not lead any more."""


class LeaderLease:
    """One term of leadership: the right to act as leader for as long as the lease surely lasts.

    Attributes:
        term: The term's number, which rises with each election; the fencing token of what the leader sends.
        lease_id: The lease in the store.
        leader_key_version: Version of the leader's key, which guards the leader's writes.
        ended: Set once this node does not lead any more, for `end_reason`.
        valid_until: When the lease may end at the store, at the earliest.
        confirmed_at: As of when nobody else led: the sending of the last renewal that was answered, or of a query that
            all other controllers answered. The right to start tasks rests on the lease alone.
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
        """Apply the proof that nobody else led as of an instant."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def apply_renewal(self, sent_at: datetime) -> None:
        """Apply an answered renewal, by the instant at which it was sent."""
        self.confirm_leadership(sent_at)
        self.valid_until = max(self.valid_until, sent_at + LEASE_TTL * CLOCK_DRIFT_FACTOR - LEASE_SAFETY_MARGIN)

    def is_valid(self) -> bool:
        """Whether this node surely holds the lease now."""
        return not self.ended.is_set() and monotonic_now() < self.valid_until

    def end(self, reason: str) -> None:
        """End the term for this node; only the first reason is kept."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()


class LeaseRenewer:
    """Renews one lease until it expires or another controller is known to lead.

    Attributes:
        successor: The leader of a later term that a peer knows, without address and lease; None if none is known.
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
            leader_lease: The lease.
            fetch_peer_leader: Asked while the lease may have ended and the store can't be reached.
            on_uncertain: Called, with the current instant, each time no peer knows a leader then.
            on_confirmed: Called as renewals succeed again.
        """
        self.successor: LeaderRecord | None = None
        self._kv_store = kv_store
        self._leader_lease = leader_lease
        self._fetch_peer_leader = fetch_peer_leader
        self._on_uncertain = on_uncertain
        self._on_confirmed = on_confirmed
        self._is_failing = False

    async def run(self) -> None:
        """Renew the lease until it has expired, and end the term then."""
        while True:
            sent_at = monotonic_now()
            try:
                await self._kv_store.renew_lease(self._leader_lease.lease_id, timeout=RENEWAL_TIMEOUT)
                self._apply_renewal(sent_at)
                interval = RENEWAL_INTERVAL - (monotonic_now() - sent_at)
            except LeaseExpired:
                self._leader_lease.end("the lease expired")
                return
            except (StoreError, Unreachable) as e:
                # An outage ends with all leases at their full time, so the key may still be ours.
                log.log(logging.DEBUG if self._is_failing else logging.INFO, "lease renewal failed: error=%s", e)
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
        """Step down as soon as a peer knows a later term.

        A leader that alone lost the store may answer heartbeats for the whole hold-over, and workers stay with it as
        long as it does: for 18 s nothing started, while a new leader without heartbeats gave their machines back.
        """
        peer_leader = await self._fetch_peer_leader()
        if peer_leader is None:
            # No peer answers, or none knows any leader: workers may find one that this node does not.
            self._on_uncertain(monotonic_now())
        elif peer_leader.term > self._leader_lease.term:
            self.successor = LeaderRecord(name=peer_leader.name, peer_address="", term=peer_leader.term, lease_id=0)
            self._leader_lease.end(f"{peer_leader.name} leads with term {peer_leader.term}")
