"""Probes silent machines: whether they still accept connections, and what they answer."""

import asyncio
import logging

import msgspec

from roseweir.clock import monotonic_now
from roseweir.cloud.liveness import PROBE_TIMEOUT, machines_to_probe, record_probe_result
from roseweir.http import Connect, Unreachable
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import Machine
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# The limit on concurrent probes is the node's socket limit divided by this, but at least MIN_CONCURRENT_PROBES.
SOCKETS_PER_PROBE = 25
MIN_CONCURRENT_PROBES = 8


class MachineProber:
    """Requests the status of silent machines, with a bounded number of concurrent probes."""

    def __init__(self, cluster_state: ClusterState, connect: Connect) -> None:
        self.cluster_state = cluster_state
        self._connect = connect
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)
        self._active_probe_count = 0
        max_sockets = cluster_state.settings.params.process_limits.max_sockets
        self._max_active_probes = max(MIN_CONCURRENT_PROBES, max_sockets // SOCKETS_PER_PROBE)

    def start_probes(self, group: asyncio.TaskGroup) -> None:
        """Start due probes as tasks of the group, up to the limit on concurrent probes."""
        available_probes = self._max_active_probes - self._active_probe_count
        for machine in machines_to_probe(self.cluster_state, monotonic_now())[:available_probes]:
            group.create_task(self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        probed_at = machine.last_probe_at = monotonic_now()
        heartbeat_before_probe = (machine.incarnation, machine.sequence)
        self._active_probe_count += 1
        is_connected = True
        try:
            reply = await self._connect(machine.address, 0)("GET", "/status", timeout=PROBE_TIMEOUT)
            self._heartbeat_reconciler.apply_probe_response(
                msgspec.convert(reply.json(), wire.Heartbeat), heartbeat_before_probe, monotonic_now()
            )
        except Unreachable as e:
            is_connected = e.connected
        except msgspec.ValidationError as e:
            log.debug("probe response is not a heartbeat: machine=%s error=%s", machine.name, e)
        finally:
            self._active_probe_count -= 1
        record_probe_result(self.cluster_state, machine, probed_at, is_connected, monotonic_now())
