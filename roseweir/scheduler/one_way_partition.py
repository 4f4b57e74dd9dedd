"""Detects one-way partitions: whether our answers reach a machine whose heartbeats reach us. Pure: no I/O.

A heartbeat proves that the path from the machine is open, and nothing about the path back: a worker whose answers are
lost sends heartbeats all the time, ends its tasks as its lease expires, and returns with the next incarnation, for
ever. What proves that an answer was received, and what speaks against it, rests on the protocol:

| sign | rests on |
| --- | --- |
| proof: the next sequence number, before a worker gives up | without an answer it waits 4 s, then tries another node |
| proof: it responds to our probe | the path to it is open now |
| suspicion: a sequence number is missing, after 4 s or more | it went to others, though we answered the one before |
| suspicion: start orders not received twice in a row | an answer may be lost once |
| suspicion: the next incarnation, though just answered | its lease expired: no answer arrived for a whole lease |

Nothing new is sent to a suspected machine, and it is probed (`cloud/liveness.py`): a response ends the suspicion, two
failed probes make it *unreachable*. What was not sent yet is then rescheduled at once, and replacements are scaled out.
Its tasks run until it shows the next incarnation, which is the earliest proof that they are gone, or until a lease
after our last answer. A machine that stays unreachable for a lease is released.

Where most of the leader's machines are suspected the fault is the leader's own: they count as overdue, and it asks
whether another node reaches them (`membership/failure_detector.py`).
"""

from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import Machine, PlacementPhase
from roseweir.workers import messages as wire

# How long a worker waits for an answer (PROTOCOL-roseweir.md).
WORKER_ANSWER_TIMEOUT = timedelta(seconds=4)
# Consecutive start orders not received that make a machine suspected.
MAX_DROPPED_ORDERS = 2


def record_answer(machine: Machine, sequence: int, now: datetime) -> None:
    """Record that the heartbeat with this sequence number is answered 200 now."""
    machine.last_answered_heartbeat, machine.last_answered_at = (machine.incarnation, sequence), now


def check_answer_received(machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
    """Evaluate what a new heartbeat in our term says about the answer to the one before."""
    incarnation, sequence = machine.last_answered_heartbeat
    if incarnation == 0:
        return
    time_since_answer = now - machine.last_answered_at
    if heartbeat.incarnation > incarnation:
        # Its lease expired although it was answered a moment ago; otherwise its heartbeats were missing, which
        # `cloud/liveness.py` handles.
        if time_since_answer < WORKER_ANSWER_TIMEOUT * 2:
            mark_suspected(machine, now)
    elif heartbeat.sequence == max(sequence, machine.sequence) + 1:
        if time_since_answer < WORKER_ANSWER_TIMEOUT:
            mark_reachable(machine)
    elif time_since_answer >= WORKER_ANSWER_TIMEOUT:
        mark_suspected(machine, now)


def record_dropped_order(machine: Machine, now: datetime) -> None:
    """Count a start order that was sent in an answer and did not reach the machine."""
    machine.dropped_order_count += 1
    if machine.dropped_order_count >= MAX_DROPPED_ORDERS:
        mark_suspected(machine, now)


def mark_suspected(machine: Machine, now: datetime) -> None:
    """Suspect that our answers do not reach the machine, unless it is suspected already."""
    if not machine.is_suspected:
        machine.suspected_since = now
        machine.missed_probe_count = 0


def mark_reachable(machine: Machine) -> None:
    """Clear the suspicion: an answer or probe of ours reached the machine."""
    machine.suspected_since = machine.unreachable_since = NEVER
    machine.dropped_order_count = machine.missed_probe_count = 0


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
