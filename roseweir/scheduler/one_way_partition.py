"""Detects one-way partitions: whether this leader's answers reach a machine whose heartbeats reach us. Pure: no I/O.

A heartbeat proves that the path from the machine is open, and nothing about the path back. A worker whose answers are
lost keeps sending heartbeats, ends its tasks when its lease expires, and returns with the next incarnation, again and
again. The protocol gives these signs of whether an answer was received:

| sign | reason |
| --- | --- |
| proof: the next sequence number, before a worker gives up | without an answer it waits 4 s, then tries another node |
| proof: the worker responds to our probe | the path to it is open now |
| suspicion: a sequence number is missing, after 4 s or more | it tried other nodes, though we answered the one before |
| suspicion: start commands not received twice in a row | a single answer may be lost |
| suspicion: the next incarnation, though just answered | its lease expired: no answer arrived for a whole lease |

A suspected machine gets no start commands and is probed (`cloud/liveness.py`): a response ends the suspicion, two
failed probes make the machine *unreachable*. Placements not sent to it yet are then rescheduled at once, and machines
are scaled out to replace it. Tasks sent to it count as running until it shows the next incarnation, which is the
earliest proof that they are gone, or until one lease after our last answer. A machine that stays unreachable for a
lease is released.

If most of the leader's machines are suspected, the fault is taken to be the leader's own: the machines count as
overdue, and the leader asks whether another node reaches them (`membership/failure_detector.py`).
"""

from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import Machine, PlacementPhase
from roseweir.workers import messages as wire

# How long a worker waits for an answer (PROTOCOL-roseweir.md).
WORKER_ANSWER_TIMEOUT = timedelta(seconds=4)
# A machine is suspected after this many consecutive start commands that it did not receive.
MAX_DROPPED_COMMANDS = 2


def record_answer(machine: Machine, sequence: int, now: datetime) -> None:
    """Record that the heartbeat with this sequence number is answered 200 now."""
    machine.last_answered_heartbeat, machine.last_answered_at = (machine.incarnation, sequence), now


def check_answer_received(machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
    """Decide from a new heartbeat in our term whether the answer to the previous one was received."""
    incarnation, sequence = machine.last_answered_heartbeat
    if incarnation == 0:
        return
    time_since_answer = now - machine.last_answered_at
    if heartbeat.incarnation > incarnation:
        # The lease expired although a heartbeat was answered a moment ago. After a longer time heartbeats were missing,
        # which `cloud/liveness.py` handles.
        if time_since_answer < WORKER_ANSWER_TIMEOUT * 2:
            mark_suspected(machine, now)
    elif heartbeat.sequence == max(sequence, machine.sequence) + 1:
        if time_since_answer < WORKER_ANSWER_TIMEOUT:
            mark_reachable(machine)
    elif time_since_answer >= WORKER_ANSWER_TIMEOUT:
        mark_suspected(machine, now)


def record_dropped_command(machine: Machine, now: datetime) -> None:
    """Count a start command that was sent in an answer and did not reach the machine."""
    machine.dropped_command_count += 1
    if machine.dropped_command_count >= MAX_DROPPED_COMMANDS:
        mark_suspected(machine, now)


def mark_suspected(machine: Machine, now: datetime) -> None:
    """Suspect that this leader's answers do not reach the machine, unless it is suspected already."""
    if not machine.is_suspected:
        machine.suspected_since = now
        machine.missed_probe_count = 0


def mark_reachable(machine: Machine) -> None:
    """Clear the suspicion: an answer or probe of this leader's reached the machine."""
    machine.suspected_since = machine.unreachable_since = NEVER
    machine.dropped_command_count = machine.missed_probe_count = 0


def mark_unreachable(machine: Machine, now: datetime) -> bool:
    """Mark a suspected machine that probes do not reach either; return whether this is a change."""
    if not machine.is_suspected or machine.is_unreachable:
        return False
    machine.unreachable_since = now
    return True


def unsent_placement_keys(machine: Machine) -> list[tuple[str, int]]:
    """Return keys (job id, index) of placements not sent to the machine yet: they can be placed elsewhere at once."""
    return [
        key for key, p in machine.placements.items() if p.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED)
    ]
