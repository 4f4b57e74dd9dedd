"""Answers the heartbeats of workers on behalf of a leader."""

import asyncio
from collections.abc import Callable
from datetime import datetime
from typing import Any

import msgspec
import orjson

from roseweir.clock import monotonic_now
from roseweir.connections import ConnectionClass
from roseweir.http import Connect, Request, Response, json_response
from roseweir.leader_election.election import LeaderLease
from roseweir.membership.failure_detector import LeaderSearch
from roseweir.notifier import Notifier
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.lease_renewal import LeaseRenewal, decide_lease_renewal, stop_commands_for
from roseweir.scheduler.model import Machine
from roseweir.scheduler.one_way_partition import record_answer
from roseweir.workers import messages as wire
from roseweir.workers.answer_authority import AnswerAuthority
from roseweir.workers.direct_commands import DirectCommandSender
from roseweir.workers.response_hold import response_hold_deadline


class HeartbeatHandler:
    """The leader's side of /hello, for one term.

    Attributes:
        authority: What the leader may tell workers now.
        direct_commands: Sends the commands that cannot wait for a heartbeat.
        worker_reachability: Workers that are sent to look for another leader.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        leader_lease: LeaderLease,
        recorded_notifier: Notifier,
        work_available: asyncio.Event,
        connect: Connect,
        may_hold_response: Callable[[], bool],
    ) -> None:
        """Answer from `cluster_state`.

        Args:
            cluster_state: What the leader knows of machines, jobs and tasks.
            leader_lease: The lease of this term; it ends when a worker has seen a higher one.
            recorded_notifier: Notified by machine name when commands for the machine are durable.
            work_available: Set when a heartbeat may have made room for a scheduling pass.
            connect: Opens connections to workers.
            may_hold_response: Whether there is room for a connection that waits.
        """
        self.cluster_state = cluster_state
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)
        self.leader_lease = leader_lease
        self.recorded_notifier = recorded_notifier
        self.work_available = work_available
        self.authority = AnswerAuthority(cluster_state, leader_lease)
        self.direct_commands = DirectCommandSender(cluster_state, self.authority, connect)
        self.worker_reachability = LeaderSearch()
        self._may_hold_response = may_hold_response

    async def handle_heartbeat(self, request: Request) -> Response:
        """Apply a heartbeat and answer with the machine's commands, held back for a short time if more may come.

        Returns 400 for a heartbeat that can't be read, 421 if its worker has seen a later term, 503 if this leader
        may not answer, or not this worker.
        """
        try:
            heartbeat = msgspec.convert(orjson.loads(request.body), wire.Heartbeat)
        except (orjson.JSONDecodeError, msgspec.ValidationError, ValueError) as e:
            return json_response(400, {"error": str(e)})
        if heartbeat.fencing_token > self.cluster_state.term:
            self.leader_lease.end(f"{heartbeat.machine_name} has seen term {heartbeat.fencing_token}")
            return json_response(421, wire.not_leader_response(None))
        now = monotonic_now()
        if not self.authority.may_answer(now):
            return _stale_response()
        try:
            machine = self._heartbeat_reconciler.apply_heartbeat(heartbeat, now)
        except ValueError as e:
            return json_response(400, {"error": str(e)})
        if machine is None:
            return self._answer_unproven(heartbeat, now)
        if self.worker_reachability.should_redirect(machine.name, bool(machine.placements), now):
            return json_response(503, {"error": "look for another leader"})
        self.work_available.set()
        await self._hold_response(machine, heartbeat.sequence, now)
        return self._answer_machine(machine, heartbeat)

    def _answer_unproven(self, heartbeat: wire.Heartbeat, now: datetime) -> Response:
        """Answer a heartbeat that proves nothing about a machine of the cluster."""
        if heartbeat.machine_name in self.cluster_state.released_machines:
            return json_response(503, {"error": "released"})
        renewal = decide_lease_renewal(self.cluster_state, heartbeat, now)
        if renewal is LeaseRenewal.REFUSED:
            return json_response(503, {"error": "not known to hear this node"})
        if renewal is LeaseRenewal.NOT_RENEWED:
            return json_response(200, wire.heartbeat_response(None, []))
        return self._commands_response(stop_commands_for(self.cluster_state, heartbeat))

    def _answer_machine(self, machine: Machine, heartbeat: wire.Heartbeat) -> Response:
        """Answer a machine's heartbeat after its hold, with what the machine is to do now."""
        now = monotonic_now()
        if not self.authority.may_answer(now):
            return _stale_response()
        if (machine.incarnation, machine.sequence) != (heartbeat.incarnation, heartbeat.sequence):
            # A later heartbeat came during the hold. This response renews the machine's lease all the same, and no
            # response may do that without the stop commands.
            return self._commands_response(self.cluster_state.collect_stop_commands(machine))
        response = self._commands_response(
            self.cluster_state.collect_commands(machine, now, self.authority.may_start_tasks(now))
        )
        record_answer(machine, heartbeat.sequence, now)
        response.connection_class = ConnectionClass.WORKER if machine.placements else ConnectionClass.IDLE_WORKER
        return response

    def _commands_response(self, commands: list[dict[str, Any]]) -> Response:
        return json_response(200, wire.heartbeat_response(self.cluster_state.term, commands))

    async def _hold_response(self, machine: Machine, sequence: int, held_since: datetime) -> None:
        """Wait while commands may come that can go out with this response: the heartbeat may have freed resources."""
        while machine.sequence == sequence:
            is_ready, is_recording = self.cluster_state.pending_command_status(machine)
            if is_ready:
                return
            now = monotonic_now()
            hold_until = response_hold_deadline(
                self.cluster_state,
                machine,
                held_since,
                is_recording=is_recording,
                may_hold_response=self._may_hold_response,
            )
            if hold_until is None or now >= hold_until or not self.leader_lease.is_valid():
                return
            await self.recorded_notifier.wait(machine.name, hold_until - now)


def _stale_response() -> Response:
    return json_response(503, {"error": "no news from the state service"})
