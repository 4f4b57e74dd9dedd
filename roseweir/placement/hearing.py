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

In doubt nothing new is sent to it, and it is asked (`cloud/silence.py`): an answer ends the doubt, two questions in
vain make it *deaf*. What was not sent yet is planned anew at once, and others are rented in its place. Its tasks run
until it shows the next tenure, which is the earliest proof that they are gone, or until a lease after our last
answer. A machine that stays deaf for a lease goes back.

Where most of the leader's machines are in doubt the trouble is the leader's own: they count as overdue, and it asks
whether another node reaches them (`membership/judge.py`).
"""

from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.placement.model import Machine, Phase
from roseweir.workers import messages as wire

# A worker waits so long for an answer (protocol).
GIVES_UP = timedelta(seconds=4)
# Orders in a row that were not taken up.
DROPPED = 2


def answered(machine: Machine, seq: int, now: datetime) -> None:
    """The report of that tally is answered 200 now."""
    machine.answered, machine.answered_at = (machine.session, seq), now


def answered_in_vain(machine: Machine, report: wire.Report, now: datetime) -> None:
    """What a new report in our term says about the answer to the one before."""
    session, seq = machine.answered
    if session == 0:
        return
    waited = now - machine.answered_at
    if report.session > session:
        # Its lease ran out although it was answered: a moment ago, or it would have been silent and looked at as such.
        if waited < GIVES_UP * 2:
            doubt(machine, now)
    elif report.seq == max(seq, machine.seq) + 1:
        if waited < GIVES_UP:
            proven(machine)
    elif waited >= GIVES_UP:
        doubt(machine, now)


def order_dropped(machine: Machine, now: datetime) -> None:
    """A report came after the one whose answer held an order, and the order was not taken up."""
    machine.dropped += 1
    if machine.dropped >= DROPPED:
        doubt(machine, now)


def doubt(machine: Machine, now: datetime) -> None:
    if not machine.in_doubt:
        machine.doubt_since = now
        machine.misses = 0


def proven(machine: Machine) -> None:
    """An answer of ours reached it."""
    machine.doubt_since = machine.deaf_since = NEVER
    machine.dropped = machine.misses = 0


def found_deaf(machine: Machine, now: datetime) -> bool:
    """Our questions do not reach it either. Whether this is news."""
    if not machine.in_doubt or machine.deaf:
        return False
    machine.deaf_since = now
    return True


def unsent(machine: Machine) -> list[tuple[str, int]]:
    """What has not been sent to it: it can be planned elsewhere at once."""
    return [key for key, p in machine.placements.items() if p.phase in (Phase.PLANNED, Phase.READY)]
