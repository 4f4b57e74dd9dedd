"""Facade of this package: a controller's observation of its peers, the key-value store and its workers."""

import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import monotonic_now, sleep
from roseweir.http import Connect, Transport
from roseweir.kv_store import KeyValueStoreClient
from roseweir.leader_election.messages import HeartbeatId, PeerLeader
from roseweir.leader_election.worker_reachability import ListMissedWorkers, ProbeResult, sample_workers
from roseweir.membership.failure_detector import HEARTBEAT_CHECK_INTERVAL, HeartbeatCheckResult, HeartbeatMonitor
from roseweir.membership.messages import AcknowledgedCancellations
from roseweir.membership.peers import PEER_TIMEOUT, PeerClients
from roseweir.membership.store_reachability import StoreReachability
from roseweir.membership.worker_probes import WorkerProber
from roseweir.settings import Settings
from roseweir.workers.messages import HeartbeatHeader

__all__ = ["PEER_TIMEOUT", "MembershipMonitor", "OverdueWorkers"]

log = logging.getLogger(__name__)

# Addresses of workers, by name.
WorkerAddresses = dict[str, str]
# Address and newest heartbeat id of each worker whose heartbeats are missed, by name.
OverdueWorkers = dict[str, tuple[str, HeartbeatId]]
# Makes the leader resign if another node can reach these workers.
ResignIfBetterConnectedNode = Callable[[WorkerAddresses, ListMissedWorkers], Coroutine[Any, Any, None]]


class MembershipMonitor:
    """Queries a controller's peers, and monitors its connections to the store and to its workers."""

    def __init__(self, settings: Settings, kv_store: KeyValueStoreClient, connect: Connect) -> None:
        """Prepare connections to the peers in the settings; nothing runs before the `monitor_` methods do."""
        self._peers = PeerClients(settings.peers, connect)
        self._store_reachability = StoreReachability(kv_store, self._peers)
        self._worker_prober = WorkerProber(connect)

    # -- peers --------------------------------------------------------------------------------

    def peer_transport(self, name: str) -> Transport | None:
        """The connections to the peer of this name; None if there is no such peer."""
        return self._peers.transport(name)

    async def fetch_latest_leader(self) -> PeerLeader | None:
        """As `PeerClients.fetch_latest_leader`."""
        return await self._peers.fetch_latest_leader()

    async def fetch_acknowledged_cancellations(self, window: timedelta) -> AcknowledgedCancellations | None:
        """As `PeerClients.fetch_acknowledged_cancellations`."""
        return await self._peers.fetch_acknowledged_cancellations(window)

    # -- the key-value store ------------------------------------------------------------------

    @property
    def is_isolated_from_store(self) -> bool:
        """Whether this node is the only one that can't reach the store."""
        return self._store_reachability.is_isolated_from_store

    @property
    def latest_known_term(self) -> int:
        """The latest term that this process has read from the store or written to it."""
        return self._store_reachability.latest_known_term

    def observe_term(self, term: int) -> None:
        """Record a term that the store contains."""
        self._store_reachability.observe_term(term)

    async def monitor_store(self) -> None:
        """Check periodically whether this node is the only one that can't reach the store, until cancelled."""
        await self._store_reachability.monitor()

    async def can_reach_store(self) -> bool:
        """Read one key, and return whether the store answers in time."""
        return await self._store_reachability.can_reach_store()

    # -- workers ------------------------------------------------------------------------------

    async def monitor_workers(
        self,
        list_overdue_workers: Callable[[], OverdueWorkers],
        on_process_pause: Callable[[], None],
        resign_if_better_connected_node: ResignIfBetterConnectedNode,
    ) -> None:
        """Check the heartbeats every HEARTBEAT_CHECK_INTERVAL, until cancelled.

        A leader that misses the heartbeats of most workers queries whether another node can reach them and should lead.
        After a pause of the process, the heartbeats in its buffers are handled first, and the leader's record is read
        again before workers are redirected.

        Args:
            list_overdue_workers: Returns the workers whose heartbeats the leader misses, if it misses those of most
                workers; else nothing.
            on_process_pause: Called after a pause of this process.
            resign_if_better_connected_node: Called with a sample of the overdue workers when heartbeats are missed.
        """
        heartbeat_monitor = HeartbeatMonitor()
        while True:
            wait_started_at = monotonic_now()
            await sleep(HEARTBEAT_CHECK_INTERVAL)
            overdue_addresses = {name: address for name, (address, _) in list_overdue_workers().items()}
            check_result = heartbeat_monitor.evaluate(wait_started_at, monotonic_now(), overdue_addresses)
            if check_result is HeartbeatCheckResult.PROCESS_PAUSED:
                log.warning("process paused: pause_s=%.1f", heartbeat_monitor.pause_duration.total_seconds())
                on_process_pause()
            elif check_result is HeartbeatCheckResult.HEARTBEATS_MISSED:
                await resign_if_better_connected_node(
                    sample_workers(overdue_addresses),
                    lambda: {name: heartbeat_id for name, (_, heartbeat_id) in list_overdue_workers().items()},
                )

    async def probe_workers(self, worker_addresses: WorkerAddresses) -> ProbeResult:
        """As `WorkerProber.probe_workers`."""
        return await self._worker_prober.probe_workers(worker_addresses)

    def record_redirected_worker(self, heartbeat_body: bytes) -> None:
        """Record a heartbeat from a worker that searches for the leader, sent to this node while it does not lead.

        A body that can't be decoded is ignored.
        """
        try:
            heartbeat = msgspec.json.decode(heartbeat_body, type=HeartbeatHeader)
        except msgspec.DecodeError:
            return
        self._worker_prober.record_redirected(heartbeat)
        self._store_reachability.observe_worker_term(heartbeat.fencing_token)
