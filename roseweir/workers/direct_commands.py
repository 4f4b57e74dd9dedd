"""Sends the stop commands that cannot wait for a machine's next heartbeat."""

import asyncio
import logging
from datetime import timedelta

import msgspec

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Connect, Unreachable
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import Machine
from roseweir.workers import messages as wire
from roseweir.workers.answer_authority import AnswerAuthority

log = logging.getLogger(__name__)

DIRECT_COMMAND_TIMEOUT = timedelta(seconds=1)
URGENT_STOP_INTERVAL = seconds(0.05)
# Maximum number of concurrent direct commands: one for this many of the process's sockets, but at least the minimum.
SOCKETS_PER_DIRECT_COMMAND = 25
MIN_CONCURRENT_DIRECT_COMMANDS = 8


class DirectCommandSender:
    """Sends /do requests to workers, for one term of a leader."""

    def __init__(self, cluster_state: ClusterState, authority: AnswerAuthority, connect: Connect) -> None:
        """Send through `connect`, as far as `authority` allows."""
        self.cluster_state = cluster_state
        self._authority = authority
        self._connect = connect
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)

    async def run(self) -> None:
        """Send urgent stop commands, such as those to all tasks of a gang, as soon as they are due; never returns.

        They are sent only to machines with current heartbeats, and only a bounded number at a time. Otherwise, when a
        zone is cut off, stop commands to hundreds of unreachable machines would each hold a socket until they time out.
        A machine without current heartbeats receives its commands with the response to its next heartbeat.
        """
        cluster_state = self.cluster_state
        max_concurrent = max(
            MIN_CONCURRENT_DIRECT_COMMANDS,
            cluster_state.settings.params.process_limits.max_sockets // SOCKETS_PER_DIRECT_COMMAND,
        )
        semaphore = asyncio.Semaphore(max_concurrent)
        async with asyncio.TaskGroup() as group:
            while True:
                await sleep(URGENT_STOP_INTERVAL)
                now = monotonic_now()
                if not cluster_state.urgent_stop_machines or not self._authority.may_answer(now):
                    continue
                for name in sorted(cluster_state.urgent_stop_machines):
                    machine = cluster_state.machines.get(name)
                    if machine is not None and machine.address and cluster_state.is_heartbeat_current(machine, now):
                        group.create_task(self._send_stop_command(machine, semaphore))
                cluster_state.urgent_stop_machines.clear()

    async def _send_stop_command(self, machine: Machine, semaphore: asyncio.Semaphore) -> None:
        async with semaphore:
            # Collected only now: a heartbeat may have reported meanwhile that the tasks are gone.
            commands = self.cluster_state.collect_stop_commands(machine)
            if not commands or not self._authority.may_answer(monotonic_now()):
                return
            send = self._connect(machine.address, 0)
            try:
                body = wire.direct_command(self.cluster_state.term, machine.incarnation, commands)
                reply = await send("POST", "/do", body, timeout=DIRECT_COMMAND_TIMEOUT)
                heartbeat = msgspec.convert(reply.json(), wire.Heartbeat)
            except (Unreachable, msgspec.ValidationError) as error:
                log.debug("direct stop command failed: machine=%s error=%s", machine.name, error)
                return
        if heartbeat.fencing_token > self.cluster_state.term:
            self._authority.leader_lease.end(f"{machine.name} reported term {heartbeat.fencing_token}")
        elif reply.status == 200:
            self._heartbeat_reconciler.apply_command_response(heartbeat, monotonic_now())
