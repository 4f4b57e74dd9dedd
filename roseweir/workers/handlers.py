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
        authority: Decides whether the leader may answer heartbeats and start tasks.
        direct_commands: Sends the commands that cannot wait for a heartbeat.
        leader_search: Redirects some workers to search for another leader.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        leader_lease: LeaderLease,
        commit_notifier: Notifier,
        work_available: asyncio.Event,
        connect: Connect,
        may_hold_response: Callable[[], bool],
    ) -> None:
        """Answer from `cluster_state`.

        Args:
            cluster_state: The leader's state of machines, jobs and tasks.
            leader_lease: The lease of this term; it is ended when a worker reports a later term.
            commit_notifier: Notified by machine name when start commands for the machine are committed.
            work_available: Set when a heartbeat may have freed resources, to request a scheduling pass.
            connect: Opens connections to workers.
            may_hold_response: Returns whether one more connection may be kept waiting.
        """
        self.cluster_state = cluster_state
        self._heartbeat_reconciler = HeartbeatReconciler(cluster_state)
        self.leader_lease = leader_lease
        self.commit_notifier = commit_notifier
        self.work_available = work_available
        self.authority = AnswerAuthority(cluster_state, leader_lease)
        self.direct_commands = DirectCommandSender(cluster_state, self.authority, connect)
        self.leader_search = LeaderSearch()
        self._may_hold_response = may_hold_response

    async def handle_heartbeat(self, request: Request) -> Response:
        """Apply a heartbeat and answer with the machine's commands, delayed for a short time if more may follow.

        Returns 400 for a heartbeat that can't be read, 421 if its worker reports a later term, and 503 if this leader
        may not answer any worker, refuses this one, or redirects it to search for another leader.
        """
        try:
            heartbeat = msgspec.convert(orjson.loads(request.body), wire.Heartbeat)
        except (orjson.JSONDecodeError, msgspec.ValidationError, ValueError) as error:
            return json_response(400, {"error": str(error)})
        if heartbeat.fencing_token > self.cluster_state.term:
            self.leader_lease.end(f"{heartbeat.machine_name} reported term {heartbeat.fencing_token}")
            return json_response(421, wire.not_leader_response(None))
        now = monotonic_now()
        if not self.authority.may_answer(now):
            return _stale_response()
        try:
            machine = self._heartbeat_reconciler.apply_heartbeat(heartbeat, now)
        except ValueError as error:
            return json_response(400, {"error": str(error)})
        if machine is None:
            return self._answer_unapplied_heartbeat(heartbeat, now)
        if self.leader_search.should_redirect(machine.name, bool(machine.placements), now):
            return json_response(503, {"error": "look for another leader"})
        self.work_available.set()
        await self._hold_response(machine, heartbeat.sequence, now)
        return self._answer_applied_heartbeat(machine, heartbeat)

    def _answer_unapplied_heartbeat(self, heartbeat: wire.Heartbeat, now: datetime) -> Response:
        """Answer a heartbeat that was not applied to the cluster state."""
        if heartbeat.machine_name in self.cluster_state.released_machines:
            return json_response(503, {"error": "released"})
        renewal = decide_lease_renewal(self.cluster_state, heartbeat, now)
        if renewal is LeaseRenewal.REFUSED:
            return json_response(503, {"error": "not known to hear this node"})
        if renewal is LeaseRenewal.NOT_RENEWED:
            return json_response(200, wire.heartbeat_response(None, []))
        return self._commands_response(stop_commands_for(self.cluster_state, heartbeat))

    def _answer_applied_heartbeat(self, machine: Machine, heartbeat: wire.Heartbeat) -> Response:
        """Answer a machine's heartbeat after the delay, with the machine's current commands."""
        now = monotonic_now()
        if not self.authority.may_answer(now):
            return _stale_response()
        if (machine.incarnation, machine.sequence) != (heartbeat.incarnation, heartbeat.sequence):
            # A later heartbeat came during the hold. This response still renews the machine's lease, and every
            # response that does so has to contain the stop commands.
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
        """Wait while new commands may become ready for this response: the heartbeat may have freed resources."""
        while machine.sequence == sequence:
            is_ready, is_commit_pending = self.cluster_state.pending_command_status(machine)
            if is_ready:
                return
            now = monotonic_now()
            hold_until = response_hold_deadline(
                self.cluster_state,
                machine,
                held_since,
                is_commit_pending=is_commit_pending,
                may_hold_response=self._may_hold_response,
            )
            if hold_until is None or now >= hold_until or not self.leader_lease.is_valid():
                return
            await self.commit_notifier.wait(machine.name, hold_until - now)


def _stale_response() -> Response:
    return json_response(503, {"error": "no news from the state service"})
