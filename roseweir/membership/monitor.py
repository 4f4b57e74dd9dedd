"""A controller's dealings with its peers, and its looks at who reaches the state service and the workers."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Connect, Transport, Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.leader_election.messages import TERM_KEY
from roseweir.membership.failure_detector import (
    HEARTBEAT_CHECK_INTERVAL,
    HeartbeatId,
    HeartbeatMonitor,
    HeartbeatVerdict,
    RedirectedWorkers,
    StoreIsolationDetector,
    latest_leader,
    sample_workers,
)
from roseweir.membership.messages import AcknowledgedCancellations, AcknowledgedCancellationsQuery
from roseweir.settings import Settings
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

PEER_TIMEOUT = seconds(0.3)
PROBE_TIMEOUT = seconds(0.4)
STORE_CHECK_INTERVAL = seconds(0.5)
# Connections kept to each peer.
CONNECTIONS_PER_PEER = 2

# Names and addresses of workers.
WorkerAddresses = dict[str, str]
# Workers that are missed: address and newest tally of each.
OverdueWorkers = dict[str, tuple[str, HeartbeatId]]


class MembershipMonitor:
    def __init__(self, settings: Settings, kv_store: KeyValueStoreClient, connect: Connect) -> None:
        self.kv_store = kv_store
        self._connect = connect
        self._peers = {peer.name: connect(peer.address, CONNECTIONS_PER_PEER) for peer in settings.peers}
        self._redirected_workers = RedirectedWorkers()
        # The state service refuses this node, but not its peers.
        self.store_isolation = StoreIsolationDetector()
        # The latest term that a worker has shown since the state service was last reached, and the one known then.
        self._max_worker_term = self._max_known_term = 0

    def peer_transport(self, name: str) -> Transport | None:
        return self._peers.get(name)

    # -- who leads ----------------------------------------------------------------------------

    async def fetch_latest_leader(self) -> tuple[str, int] | None:
        """The latest leader that any other controller knows: its name and term."""

        async def fetch_leader(peer: Transport) -> tuple[str, int]:
            try:
                found = (await peer("GET", "/status", timeout=PEER_TIMEOUT)).json()
                return str(found["leader"]), int(found["term"] or 0)
            except (Unreachable, KeyError, TypeError, ValueError):
                return "", 0

        return latest_leader(await asyncio.gather(*(fetch_leader(peer) for peer in self._peers.values())))

    async def fetch_acknowledged_cancellations(self, window: timedelta) -> AcknowledgedCancellations | None:
        """What all other controllers together have told users of cancels in this time; None if one does not say."""
        body = msgspec.to_builtins(AcknowledgedCancellationsQuery(window.total_seconds()))

        async def fetch(peer: Transport) -> AcknowledgedCancellations | None:
            try:
                reply = await peer("POST", "/told", body, timeout=PEER_TIMEOUT)
                return msgspec.json.decode(reply.body, type=AcknowledgedCancellations) if reply.status == 200 else None
            except (Unreachable, msgspec.DecodeError):
                return None

        answers = await asyncio.gather(*(fetch(peer) for peer in self._peers.values()))
        complete_answers = [answer for answer in answers if answer is not None and answer.job_ids is not None]
        if len(complete_answers) < len(answers):
            return None
        job_ids = [job_id for answer in complete_answers for job_id in answer.job_ids or ()]
        return AcknowledgedCancellations(max((answer.term for answer in complete_answers), default=0), job_ids)

    # -- the state service --------------------------------------------------------------------

    @property
    def store_unreachable(self) -> bool:
        return self.store_isolation.store_unreachable

    def observe_term(self, term: int) -> None:
        """The state service told of it."""
        self._max_known_term = max(self._max_known_term, term)

    @property
    def latest_known_term(self) -> int:
        """The latest of all that this process has learnt of, its own among them."""
        return self._max_known_term

    async def monitor_store(self) -> None:
        while True:
            await sleep(STORE_CHECK_INTERVAL)
            was_unreachable = self.store_isolation.store_unreachable
            if not self.kv_store.is_failing or await self.can_reach_store():
                self.store_isolation.evaluate(False, 0, 0, False, False, monotonic_now())
                self._max_worker_term = 0
            else:
                peer_statuses = await asyncio.gather(
                    *(request_status(p, "/reach", PROBE_TIMEOUT * 2) for p in self._peers.values())
                )
                answered_count = sum(1 for peer_status in peer_statuses if peer_status)
                is_later_term_seen = self._max_worker_term > self._max_known_term > 0
                self.store_isolation.evaluate(
                    True, len(peer_statuses), answered_count, 200 in peer_statuses, is_later_term_seen, monotonic_now()
                )
            if self.store_isolation.store_unreachable != was_unreachable:
                log.info(
                    "the state service is %s",
                    "reached or out for all" if was_unreachable else "refused to this node alone",
                )

    async def can_reach_store(self) -> bool:
        try:
            await self.kv_store.get(TERM_KEY, timeout=PROBE_TIMEOUT)
        except (StoreError, Unreachable):
            return False
        return True

    # -- the workers --------------------------------------------------------------------------

    async def monitor_workers(
        self,
        list_overdue_workers: Callable[[], OverdueWorkers],
        on_process_pause: Callable[[], None],
        resign_if_better_connected_node: Callable[
            [WorkerAddresses, Callable[[], dict[str, HeartbeatId]]], Coroutine[Any, Any, None]
        ],
    ) -> None:
        """A leader that most workers no longer reach asks whether another node should lead.

        After a node stood still, reports wait in its buffers: it first takes those, and learns who leads
        before it sends workers anywhere.
        """
        heartbeat_monitor = HeartbeatMonitor()
        while True:
            wait_started_at = monotonic_now()
            await sleep(HEARTBEAT_CHECK_INTERVAL)
            overdue_addresses = {name: address for name, (address, _) in list_overdue_workers().items()}
            verdict = heartbeat_monitor.evaluate(wait_started_at, monotonic_now(), overdue_addresses)
            if verdict is HeartbeatVerdict.PROCESS_PAUSED:
                log.warning("stood still for %.1f s", heartbeat_monitor.pause_duration.total_seconds())
                on_process_pause()
            elif verdict is HeartbeatVerdict.HEARTBEATS_MISSED:
                await resign_if_better_connected_node(
                    sample_workers(overdue_addresses),
                    lambda: {name: heartbeat_id for name, (_, heartbeat_id) in list_overdue_workers().items()},
                )

    async def probe_workers(self, worker_addresses: WorkerAddresses) -> tuple[list[str], dict[str, HeartbeatId]]:
        """Which of these workers answer this node, and which came to it some moments ago."""
        known_addresses = {name: address for name, address in worker_addresses.items() if address}
        probes = (
            is_responsive(self._connect(address, 0), "/status", PROBE_TIMEOUT) for address in known_addresses.values()
        )
        probe_results = await asyncio.gather(*probes)
        redirected = self._redirected_workers.find_redirected(worker_addresses, monotonic_now())
        return [
            name for name, is_reachable in zip(known_addresses, probe_results, strict=True) if is_reachable
        ], redirected

    def record_redirected_worker(self, heartbeat_body: bytes) -> None:
        """A worker that reports to a node that does not lead is in search of one that does."""
        try:
            caller = msgspec.json.decode(heartbeat_body, type=wire.HeartbeatHeader)
        except msgspec.DecodeError:
            return
        self._redirected_workers.record_heartbeat(
            caller.machine_name, (caller.incarnation, caller.sequence), monotonic_now()
        )
        self._max_worker_term = max(self._max_worker_term, caller.fencing_token)


async def request_status(transport: Transport, path: str, timeout: timedelta) -> int:
    """0: no answer."""
    try:
        return (await transport("GET", path, timeout=timeout)).status
    except Unreachable:
        return 0


async def is_responsive(transport: Transport, path: str, timeout: timedelta) -> bool:
    return await request_status(transport, path, timeout) == 200
