"""Probes of silent machines: whether they still accept connections, and what they answer."""

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

# Machines probed at once: one for this many of the node's sockets, but never fewer than the minimum.
SOCKETS_PER_PROBE = 25
MIN_CONCURRENT_PROBES = 8


class MachineProber:
    """Asks silent machines for their status, a bounded number at a time."""

    def __init__(self, cluster_state: ClusterState, connect: Connect) -> None:
        self.cluster_state = cluster_state
        self._connect = connect
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)
        self._active_count = 0
        max_sockets = cluster_state.settings.params.process_limits.max_sockets
        self._max_probes = max(MIN_CONCURRENT_PROBES, max_sockets // SOCKETS_PER_PROBE)

    def start_probes(self, group: asyncio.TaskGroup) -> None:
        """Start, as tasks of the group, the probes that are due and for which there is room."""
        free_probes = self._max_probes - self._active_count
        for machine in machines_to_probe(self.cluster_state, monotonic_now())[:free_probes]:
            group.create_task(self._probe(machine))

    async def _probe(self, machine: Machine) -> None:
        probed_at = machine.last_probe_at = monotonic_now()
        known_heartbeat = (machine.incarnation, machine.sequence)
        self._active_count += 1
        is_connected = True
        try:
            reply = await self._connect(machine.address, 0)("GET", "/status", timeout=PROBE_TIMEOUT)
            self._heartbeat_reconciler.apply_probe_response(
                msgspec.convert(reply.json(), wire.Heartbeat), known_heartbeat, monotonic_now()
            )
        except Unreachable as e:
            is_connected = e.connected
        except msgspec.ValidationError as e:
            log.debug("probe answered with no heartbeat: machine=%s error=%s", machine.name, e)
        finally:
            self._active_count -= 1
        record_probe_result(self.cluster_state, machine, probed_at, is_connected, monotonic_now())
