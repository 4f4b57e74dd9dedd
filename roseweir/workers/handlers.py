"""Answers workers' reports, and sends the direct commands that cannot wait for one."""

import asyncio
import logging
from collections.abc import Callable
from datetime import datetime, timedelta

import msgspec
import orjson

from roseweir.clock import NEVER, monotonic_now, seconds, sleep
from roseweir.connections import ConnectionClass
from roseweir.http import Connect, Request, Response, Unreachable, json_response
from roseweir.leader_election.election import LeaderLease
from roseweir.membership.failure_detector import LeaderSearch
from roseweir.notifier import Notifier
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.lease_renewal import LeaseRenewal, decide_lease_renewal, stop_orders_for
from roseweir.scheduler.model import Machine
from roseweir.scheduler.one_way_partition import record_answer
from roseweir.workers import messages as wire

log = logging.getLogger(__name__)

# An idle machine's answer waits a little for work; it has nothing to report meanwhile.
MAX_IDLE_RESPONSE_HOLD = timedelta(milliseconds=1500)
# A report may have freed room: its answer waits for the next pass, and with orders being recorded for the machine,
# for the record.
MAX_SETTLE_HOLD, MAX_RECORD_HOLD = timedelta(milliseconds=220), timedelta(milliseconds=400)
DIRECT_COMMAND_TIMEOUT = timedelta(seconds=1)
# Nothing starts while the last news of cancels is older: the watch is answered each second.
MAX_CANCELLATION_STALENESS = timedelta(seconds=5)
# Direct commands at once: one in so many of this node's sockets, and so many at least.
SOCKETS_PER_DIRECT_COMMAND, MIN_CONCURRENT_DIRECT_COMMANDS = 25, 8


class HeartbeatHandler:
    """The leader's side of /hello and /do, for one term."""

    def __init__(
        self,
        cluster_state: ClusterState,
        leader_lease: LeaderLease,
        recorded_notifier: Notifier,
        work_available: asyncio.Event,
        connect: Connect,
        may_hold_response: Callable[[], bool],
    ) -> None:
        self._connect = connect
        self._may_hold_response = may_hold_response  # there is room for a connection that waits
        self.cluster_state = cluster_state
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)
        self.leader_lease = leader_lease
        self.recorded_notifier = recorded_notifier
        self.work_available = work_available
        self.worker_reachability = LeaderSearch()  # workers sent to look for another leader
        self.cancellations_read_at = NEVER  # every cancel accepted up to then is known

    def may_answer(self, now: datetime) -> bool:
        """Past the hold-over another leader may have accepted cancels that we do not know of.

        It counts from the renewal of our lease as well. A leader whose renewals failed while its watch went on kept
        leases alive for longer than its successor counts on (`Board.unproven_until`), and tasks ran twice.
        """
        return (
            now - self.cancellations_known_at < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        )

    @property
    def cancellations_known_at(self) -> datetime:
        """Up to when every cancel is known, and nobody else led."""
        return min(self.cancellations_read_at, self.leader_lease.confirmed_at)

    def may_start_tasks(self, now: datetime) -> bool:
        """Not only the lease is sure: a lease that an outage left to us is renewed before the first news comes, and
        tasks of jobs that others had cancelled meanwhile were started."""
        return self.leader_lease.is_valid() and now - self.cancellations_read_at < MAX_CANCELLATION_STALENESS

    async def handle_heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = msgspec.convert(orjson.loads(request.body), wire.Heartbeat)
        except (orjson.JSONDecodeError, msgspec.ValidationError, ValueError) as e:
            return json_response(400, {"error": str(e)})
        if heartbeat.fencing_token > self.cluster_state.term:
            self.leader_lease.end(f"{heartbeat.machine_name} has seen term {heartbeat.fencing_token}")
            return json_response(421, wire.not_leader_response(None))
        now = monotonic_now()
        if not self.may_answer(now):
            return json_response(503, {"error": "no news from the state service"})
        try:
            machine = self._heartbeat_reconciler.apply_heartbeat(heartbeat, now)
        except ValueError as e:
            return json_response(400, {"error": str(e)})
        if machine is None:
            if heartbeat.machine_name in self.cluster_state.released_machines:
                return json_response(503, {"error": "released"})
            renewal = decide_lease_renewal(self.cluster_state, heartbeat, now)
            if renewal is LeaseRenewal.REFUSED:
                return json_response(503, {"error": "not known to hear this node"})
            if renewal is LeaseRenewal.NOT_RENEWED:
                return json_response(200, wire.heartbeat_response(None, []))
            return json_response(
                200,
                wire.heartbeat_response(self.cluster_state.term, stop_orders_for(self.cluster_state, heartbeat)),
            )
        if self.worker_reachability.should_redirect(machine.name, bool(machine.placements), now):
            return json_response(503, {"error": "look for another leader"})
        self.work_available.set()
        await self._hold_response(machine, heartbeat.sequence, now)
        now = monotonic_now()
        if not self.may_answer(now):
            return json_response(503, {"error": "no news from the state service"})
        if (machine.incarnation, machine.sequence) != (heartbeat.incarnation, heartbeat.sequence):
            # Overtaken while it was held. It renews the lease all the same, and no answer does that without the halts.
            return json_response(
                200, wire.heartbeat_response(self.cluster_state.term, self.cluster_state.collect_stop_orders(machine))
            )
        response = json_response(
            200,
            wire.heartbeat_response(
                self.cluster_state.term, self.cluster_state.collect_orders(machine, now, self.may_start_tasks(now))
            ),
        )
        record_answer(machine, heartbeat.sequence, now)
        response.connection_class = ConnectionClass.WORKER if machine.placements else ConnectionClass.IDLE_WORKER
        return response

    async def _hold_response(self, machine: Machine, sequence: int, held_since: datetime) -> None:
        # Give the planner its turn: what this report freed may be filled at once.
        idle_hold = min(MAX_IDLE_RESPONSE_HOLD, self.cluster_state.settings.params.workers.heartbeat_interval)
        settle_until = held_since + MAX_SETTLE_HOLD
        while machine.sequence == sequence:
            is_ready, is_recording = self.cluster_state.pending_order_status(machine)
            if is_ready:
                return
            now = monotonic_now()
            if machine.name in self.cluster_state.drain_by_machine:
                return
            if (
                machine.has_acknowledged_term
                and not machine.placements
                and not machine.exits_to_clear
                and machine.spot_reclaim_at is None
            ):
                if not self._may_hold_response():
                    return
                hold_until = held_since + idle_hold
            elif is_recording:
                hold_until = held_since + MAX_RECORD_HOLD
                if machine.name in self.cluster_state.headroom.reserved_by_machine:
                    hold_until = max(hold_until, held_since + idle_hold + MAX_RECORD_HOLD)
            elif (
                machine.name in self.cluster_state.headroom.reserved_by_machine
                and machine.has_acknowledged_term
                and not machine.exits_to_clear
                and self._may_hold_response()
            ):
                # What is kept there is for work that must start at once, without waiting for the next report.
                hold_until = held_since + idle_hold
            elif (
                self.cluster_state.needs_scheduling
                and machine.has_acknowledged_term
                and self.cluster_state.has_room_for_waiting_task(machine)
            ):
                hold_until = settle_until
            else:
                return
            if now >= hold_until or not self.leader_lease.is_valid():
                return
            await self.recorded_notifier.wait(machine.name, hold_until - now)

    async def run_direct_commands(self) -> None:
        """Halts that mates of a gang must hear together go out at once.

        Only to machines that are heard, and to so many at a time: after a zone was cut, halts for hundreds of
        machines that cannot answer each held a socket until its patience ended, and a silent machine hears of
        them first with its next report anyway.
        """
        cluster_state = self.cluster_state
        max_concurrent = max(
            MIN_CONCURRENT_DIRECT_COMMANDS,
            cluster_state.settings.params.process_limits.max_sockets // SOCKETS_PER_DIRECT_COMMAND,
        )
        semaphore = asyncio.Semaphore(max_concurrent)
        async with asyncio.TaskGroup() as group:
            while True:
                await sleep(seconds(0.05))
                now = monotonic_now()
                if not cluster_state.urgent_stop_machines or not self.may_answer(now):
                    continue
                for name in sorted(cluster_state.urgent_stop_machines):
                    machine = cluster_state.machines.get(name)
                    if machine is not None and machine.address and cluster_state.is_heartbeat_current(machine, now):
                        group.create_task(self._send_stop_command(machine, semaphore))
                cluster_state.urgent_stop_machines.clear()

    async def _send_stop_command(self, machine: Machine, semaphore: asyncio.Semaphore) -> None:
        async with semaphore:
            # What it is to be told now: it may have told meanwhile that all is gone.
            orders = self.cluster_state.collect_stop_orders(machine)
            if not orders or not self.may_answer(monotonic_now()):
                return
            send = self._connect(machine.address, 0)
            try:
                body = wire.direct_command(self.cluster_state.term, machine.incarnation, orders)
                reply = await send("POST", "/do", body, timeout=DIRECT_COMMAND_TIMEOUT)
                heartbeat = msgspec.convert(reply.json(), wire.Heartbeat)
            except (Unreachable, msgspec.ValidationError) as e:
                log.debug("direct halt of %s: %s", machine.name, e)
                return
        if heartbeat.fencing_token > self.cluster_state.term:
            self.leader_lease.end(f"{machine.name} has seen term {heartbeat.fencing_token}")
        elif reply.status == 200:
            self._heartbeat_reconciler.apply_command_response(heartbeat, monotonic_now())
