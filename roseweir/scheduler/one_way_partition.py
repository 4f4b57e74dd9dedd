"""Whether our answers reach a machine whose reports reach us. Pure.

A report proves that the way from the machine is open, and nothing about the way back: one whose answers are lost
reports all the time, ends its tasks as its lease runs out, and comes back with the next tenure, for ever. What proves
that an answer was received, and what speaks against it, rests on the protocol:

| sign | rests on |
| --- | --- |
| proof: the next tally, sooner than a worker gives up | without an answer it waits 4 s, then tries the next node |
| proof: it answers our own question | the way to it is open now |
| doubt: a tally is missing, after a wait of 4 s or more | it went to others, though it was answered here |
| doubt: orders not taken up twice in a row | an answer may be lost once |
| doubt: the next tenure, though it was answered a moment ago | its lease ran out: no answer of a whole lease came |

In doubt nothing new is sent to it, and it is asked (`cloud/liveness.py`): an answer ends the doubt, two questions in
vain make it *deaf*. What was not sent yet is planned anew at once, and others are rented in its place. Its tasks run
until it shows the next tenure, which is the earliest proof that they are gone, or until a lease after our last
answer. A machine that stays deaf for a lease goes back.

Where most of the leader's machines are in doubt the trouble is the leader's own: they count as overdue, and it asks
whether another node reaches them (`membership/failure_detector.py`).
"""

from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.scheduler.model import Machine, PlacementPhase
from roseweir.workers import messages as wire

# A worker waits so long for an answer (protocol).
WORKER_ANSWER_TIMEOUT = timedelta(seconds=4)
# Orders in a row that were not taken up.
MAX_DROPPED_ORDERS = 2


def record_answer(machine: Machine, sequence: int, now: datetime) -> None:
    """The report of that tally is answered 200 now."""
    machine.last_answered_heartbeat, machine.last_answered_at = (machine.incarnation, sequence), now


def check_answer_received(machine: Machine, heartbeat: wire.Heartbeat, now: datetime) -> None:
    """What a new report in our term says about the answer to the one before."""
    incarnation, sequence = machine.last_answered_heartbeat
    if incarnation == 0:
        return
    time_since_answer = now - machine.last_answered_at
    if heartbeat.incarnation > incarnation:
        # Its lease ran out although it was answered: a moment ago, or it would have been silent and looked at as such.
        if time_since_answer < WORKER_ANSWER_TIMEOUT * 2:
            mark_suspected(machine, now)
    elif heartbeat.sequence == max(sequence, machine.sequence) + 1:
        if time_since_answer < WORKER_ANSWER_TIMEOUT:
            mark_reachable(machine)
    elif time_since_answer >= WORKER_ANSWER_TIMEOUT:
        mark_suspected(machine, now)


def record_dropped_order(machine: Machine, now: datetime) -> None:
    """A report came after the one whose answer held an order, and the order was not taken up."""
    machine.dropped_order_count += 1
    if machine.dropped_order_count >= MAX_DROPPED_ORDERS:
        mark_suspected(machine, now)


def mark_suspected(machine: Machine, now: datetime) -> None:
    if not machine.is_suspected:
        machine.suspected_since = now
        machine.missed_probe_count = 0


def mark_reachable(machine: Machine) -> None:
    """An answer of ours reached it."""
    machine.suspected_since = machine.unreachable_since = NEVER
    machine.dropped_order_count = machine.missed_probe_count = 0


def mark_unreachable(machine: Machine, now: datetime) -> bool:
    """Our questions do not reach it either. Whether this is news."""
    if not machine.is_suspected or machine.is_unreachable:
        return False
    machine.unreachable_since = now
    return True


def unsent_placement_keys(machine: Machine) -> list[tuple[str, int]]:
    """What has not been sent to it: it can be planned elsewhere at once."""
    return [
        key for key, p in machine.placements.items() if p.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED)
    ]
