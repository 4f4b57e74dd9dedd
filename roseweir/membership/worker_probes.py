"""Determines which workers answer this node's probes, and which send it heartbeats."""

import asyncio

from roseweir.clock import monotonic_now
from roseweir.http import Connect
from roseweir.leader_election.worker_reachability import ProbeResult
from roseweir.membership.probes import PROBE_TIMEOUT, is_responsive
from roseweir.membership.redirected_workers import RedirectedWorkers
from roseweir.workers.messages import HeartbeatHeader


class WorkerProber:
    """Probes workers, and records the heartbeats of workers that this node redirects."""

    def __init__(self, connect: Connect) -> None:
        """Begin without redirected workers; `connect` opens the connections for probes."""
        self._connect = connect
        self._redirected_workers = RedirectedWorkers()

    async def probe_workers(self, worker_addresses: dict[str, str]) -> ProbeResult:
        """Probe workers, given by name and address; workers with an empty address are not probed."""
        probed_addresses = {name: address for name, address in worker_addresses.items() if address}
        probes = (
            is_responsive(self._connect(address, 0), "/status", PROBE_TIMEOUT) for address in probed_addresses.values()
        )
        probe_results = await asyncio.gather(*probes)
        redirected = self._redirected_workers.find_redirected(worker_addresses, monotonic_now())
        reachable = [name for name, is_reachable in zip(probed_addresses, probe_results, strict=True) if is_reachable]
        return ProbeResult(reachable, redirected)

    def record_redirected(self, heartbeat: HeartbeatHeader) -> None:
        """Record a heartbeat that this node received while it did not lead."""
        self._redirected_workers.record_heartbeat(
            heartbeat.machine_name, (heartbeat.incarnation, heartbeat.sequence), monotonic_now()
        )
