"""Requests to the other controllers."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from roseweir.clock import seconds
from roseweir.http import Connect, Transport, Unreachable
from roseweir.leader_election.messages import PeerLeader
from roseweir.membership.messages import AcknowledgedCancellations, AcknowledgedCancellationsQuery
from roseweir.membership.probes import PROBE_TIMEOUT, request_status
from roseweir.settings import Peer

PEER_TIMEOUT = seconds(0.3)
# A peer sends a request to the store before it answers.
STORE_REACHABILITY_TIMEOUT = PROBE_TIMEOUT * 2
# Connections kept to each peer.
CONNECTIONS_PER_PEER = 2


class PeerClients:
    """Connections to all other controllers, and queries that are sent to all of them."""

    def __init__(self, peers: Iterable[Peer], connect: Connect) -> None:
        """Prepare connections to these peers, which `connect` creates."""
        self._transports = {peer.name: connect(peer.address, CONNECTIONS_PER_PEER) for peer in peers}

    def transport(self, name: str) -> Transport | None:
        """The connections to the peer of this name; None if there is no such peer."""
        return self._transports.get(name)

    async def fetch_latest_leader(self) -> PeerLeader | None:
        """Return the leader of the latest term that any peer knows; None if no peer answers with a leader."""
        return latest_leader(await asyncio.gather(*(_fetch_leader(peer) for peer in self._transports.values())))

    async def fetch_acknowledged_cancellations(self, window: timedelta) -> AcknowledgedCancellations | None:
        """Return the cancellations that any peer has acknowledged to users within the last `window`.

        None if a peer does not answer, or its list may be incomplete.
        """
        body = msgspec.to_builtins(AcknowledgedCancellationsQuery(window.total_seconds()))
        answers = await asyncio.gather(
            *(_fetch_acknowledged_cancellations(peer, body) for peer in self._transports.values())
        )
        complete_answers = [answer for answer in answers if answer is not None and answer.job_ids is not None]
        if len(complete_answers) < len(answers):
            return None
        job_ids = [job_id for answer in complete_answers for job_id in answer.job_ids or ()]
        return AcknowledgedCancellations(max((answer.term for answer in complete_answers), default=0), job_ids)

    async def fetch_store_reachability(self) -> list[int]:
        """Query each peer whether it can reach the store: 200 if so, another status if not, 0 without an answer."""
        return await asyncio.gather(
            *(request_status(peer, "/reach", STORE_REACHABILITY_TIMEOUT) for peer in self._transports.values())
        )


def latest_leader(peer_leaders: Iterable[PeerLeader]) -> PeerLeader | None:
    """Return the leader with the highest term; None if all have term 0 (unknown)."""
    leader = max(peer_leaders, key=lambda peer_leader: peer_leader.term, default=PeerLeader("", 0))
    return leader if leader.term else None


async def _fetch_leader(peer: Transport) -> PeerLeader:
    """Return the leader that a peer knows, with term 0 if it knows none or does not answer."""
    try:
        status = (await peer("GET", "/status", timeout=PEER_TIMEOUT)).json()
        return PeerLeader(str(status["leader"]), int(status["term"] or 0))
    except (Unreachable, KeyError, TypeError, ValueError):
        return PeerLeader("", 0)


async def _fetch_acknowledged_cancellations(peer: Transport, body: object) -> AcknowledgedCancellations | None:
    """Return one peer's answer; None if there is no answer or it can't be decoded."""
    try:
        reply = await peer("POST", "/told", body, timeout=PEER_TIMEOUT)
        return msgspec.json.decode(reply.body, type=AcknowledgedCancellations) if reply.status == 200 else None
    except (Unreachable, msgspec.DecodeError):
        return None
