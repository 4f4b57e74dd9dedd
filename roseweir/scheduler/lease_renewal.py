"""Decides whether the answer to a heartbeat that was not applied may renew a lease, and which tasks it stops.

Every answer that carries our fencing token may renew a lease, so each heartbeat that is not applied is classified
before it is answered. A heartbeat that was overtaken by the response to a direct command or probe, which has a higher
sequence number, is still a first arrival: its worker waits for the answer, and the renewal is recorded in
`Machine.lease_renewed_at`. A duplicate gets an answer without a fencing token, which renews nothing.

The lease that the answer to an unacknowledged heartbeat may renew is recorded too. Such heartbeats are therefore
answered for at most one lease, unless a heartbeat in our own term follows or the worker responds to our probe.
Otherwise late duplicates could delay the removal of a lost machine's tasks without end.
"""

from datetime import datetime
from enum import Enum
from typing import Any

from roseweir.clock import NEVER, ZERO
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import parse_task_name
from roseweir.workers import messages as wire


class LeaseRenewal(Enum):
    """What the answer to a heartbeat that changes nothing here may do to its worker's lease."""

    RENEWED = 0  # it may renew the lease, and the renewal is recorded
    NOT_RENEWED = 1  # it must not renew the lease: the heartbeat is a duplicate
    REFUSED = 2  # the heartbeat is refused: nothing proves that answers reach the machine


def decide_lease_renewal(cluster_state: ClusterState, heartbeat: wire.Heartbeat, now: datetime) -> LeaseRenewal:
    """Classify a heartbeat that was not applied, and record the lease that its answer may renew.

    Args:
        cluster_state: the state; the machine's `lease_renewed_at`, `heartbeat_sequence` and `unconfirmed_since` change.
        heartbeat: one for which `HeartbeatReconciler.apply_heartbeat` returned None.
        now: when it arrived, on the leader's monotonic clock.
    """
    machine = cluster_state.machines.get(heartbeat.machine_name)
    if machine is None:
        return LeaseRenewal.RENEWED  # no placement is recorded there; tasks that it has are stopped
    if heartbeat.fencing_token == cluster_state.term or machine.has_acknowledged_term:
        # The heartbeat is older than the machine's newest message. Responses to commands and probes have higher
        # sequence numbers and renew nothing, so the answer to a heartbeat that one of them overtook does renew the
        # lease. Unless that is recorded, tasks are started elsewhere while they still run on the machine.
        is_first_arrival = (
            heartbeat.incarnation == machine.incarnation
            and machine.has_acknowledged_term
            and heartbeat.sequence > machine.heartbeat_sequence
        )
        if heartbeat.fencing_token != cluster_state.term or not is_first_arrival:
            return LeaseRenewal.NOT_RENEWED
        machine.heartbeat_sequence = heartbeat.sequence
        machine.lease_renewed_at = now
        return LeaseRenewal.RENEWED
    if machine.unconfirmed_since == NEVER:
        machine.unconfirmed_since = now
    if now - machine.unconfirmed_since > cluster_state.max_lease_duration:
        return LeaseRenewal.REFUSED
    machine.lease_renewed_at = now
    return LeaseRenewal.RENEWED


def stop_commands_for(cluster_state: ClusterState, heartbeat: wire.Heartbeat) -> list[dict[str, Any]]:
    """Return the stop commands for the answer to a heartbeat that was not applied.

    Tasks of jobs that have ended must stop under any leader. Short-lived leaders may receive only unacknowledged
    heartbeats; without these commands a cancelled task would run beyond its cancellation timeout.
    """
    machine = cluster_state.machines.get(heartbeat.machine_name)
    if heartbeat.fencing_token == cluster_state.term:
        return [] if machine is None else cluster_state.collect_stop_commands(machine)
    stop_commands = []
    for task_report in heartbeat.tasks:
        run = cluster_state.jobs.get(parse_task_name(task_report.task_id)[0])
        if task_report.state != wire.EXITED and (run is None or run.final_state):
            stop_commands.append(wire.stop_command(task_report.task_id, task_report.attempt, ZERO))
    return stop_commands
