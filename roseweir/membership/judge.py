"""What a controller concludes about itself and its peers. Pure: the current instant is always an argument.

Holding the lease proves only the way to the state service, and an answer of a peer only the way to that peer. So each
conclusion names the way it rests on, and no answer at all never counts for or against anybody.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from math import ceil

from roseweir.clock import NEVER, SLEPT, seconds
from roseweir.leadership.messages import Ask, Reach

# How often workers are looked for, how many are asked about, and how many looks in a row must miss most of them.
LOOK = seconds(0.25)
ASKED, LOOKS = 16, 2
# A worker that came is with the leader a second later, if it can be. It counts as one that reaches this node
# for so long; and so many are remembered.
SENT_ON, CAME, CALLERS = seconds(1), seconds(6), 4096
# A node that does not tell of tallies is believed without.
NEWEST = (1 << 62, 0)
# For how long most, or some, controllers have to be out of reach of a node without the state service.
LONE, MISSED = seconds(2), seconds(6)
# How often a node leaves the balancer's choice without a peer's word, within the time that the balancer remembers.
TIMES, REMOVED_FOR = 2, timedelta(minutes=2)
# Scouts: how many, how many with tasks, how long the way through so many nodes takes, and how soon again.
SENT, SENT_WITH_TASKS, SCOUTING, SCOUTING_EACH, AGAIN = 4, 2, seconds(1), seconds(1), seconds(6)
# One in so many of the workers asked about must be reached by another node.
ENOUGH = 4


# Tenure and tally of a report: the message with the larger pair is the newer one.
Tally = tuple[int, int]


class Callers:
    """Workers that reported to this node while it did not lead: they are in search of one that does."""

    def __init__(self) -> None:
        self._at: dict[str, tuple[datetime, Tally]] = {}

    def note(self, machine: str, tally: Tally, now: datetime) -> None:
        """A copy of a report, which is not newer than the last one here, says nothing."""
        known = self._at.get(machine)
        if known is not None and tally <= known[1]:
            return
        self._at.pop(machine, None)
        self._at[machine] = (now, tally)
        if len(self._at) > CALLERS:
            del self._at[next(iter(self._at))]

    def came(self, machines: Iterable[str], now: datetime) -> dict[str, Tally]:
        """Those of them that came here some moments ago, and would be with the leader by now if they could."""
        found = {name: self._at[name] for name in machines if name in self._at}
        return {name: tally for name, (at, tally) in found.items() if SENT_ON <= now - at <= CAME}


class Finding(Enum):
    FINE = 0
    STOOD_STILL = 1  # this node did; what it knows may be over
    UNHEARD = 2  # by most workers, on time and more than once


@dataclass(slots=True)
class Vigil:
    """A leader's looks at whether its workers' reports come."""

    misses: int = 0
    still: timedelta = field(default=timedelta(0))  # for how long this node stood still, at the last look

    def look(self, before: datetime, now: datetime, missed: Mapping[str, str]) -> Finding:
        """`before`: when the wait of LOOK for this look began; `missed`: workers overdue, if they are most of all.

        A loaded moment delays the looking as well as the reports, so only looks on time count.
        """
        took = now - before
        if took > LOOK + SLEPT:
            self.misses = 0
            self.still = took - LOOK
            return Finding.STOOD_STILL
        self.misses = self.misses + 1 if missed and took < LOOK * 2 else 0
        if self.misses < LOOKS:
            return Finding.FINE
        self.misses = 0
        return Finding.UNHEARD


def some_of(missed: Mapping[str, str]) -> dict[str, str]:
    """So few that a question about them fits a key, spread over all."""
    names = sorted(missed)
    return {name: missed[name] for name in names[:: max(1, ceil(len(names) / ASKED))]}


def better_placed(answers: Mapping[str, Reach], ask: Ask, own: int, missing: Mapping[str, Tally]) -> str | None:
    """A node that reaches enough of the workers asked about, of which the leader itself reached so many.

    `missing`: those that it misses still, with the newest tally that it has of each. What came to another node with an
    older one is a copy that came late.
    """
    for name, answer in answers.items():
        better = {who for who in answer.came if answer.tallies.get(who, NEWEST) > missing.get(who, NEWEST)}
        if own * ENOUGH <= len(ask.workers):
            better |= set(answer.reached)
        if len(better & missing.keys()) * ENOUGH > len(ask.workers):
            return name
    return None


def latest(known: Iterable[tuple[str, int]]) -> tuple[str, int] | None:
    """Of the leaders that peers know, by name and term, the one of the highest term."""
    name, term = max(known, key=lambda found: found[1], default=("", 0))
    return (name, term) if term else None


@dataclass(slots=True)
class Solitude:
    """Whether this node's users are better served by its peers, since it alone lacks the state service.

    A peer's word is enough. In an outage of all no peer says so, and the node stays: leaving the load balancer's choice
    costs seconds after the outage, and nobody else could serve the users either. A node that has lost its peers as
    well hears no word. It was taken for an outage of all then: such a node answered 503 to everybody and was preferred,
    because its connections were few. So what it does not hear counts too:

    | evidence | after | because |
    | --- | --- | --- |
    | a worker has seen a later term than any known here | at once | somebody was elected meanwhile |
    | most controllers do not answer | LONE | in an outage they would, and say that they lack it as well |
    | some of them does not | MISSED | it may have ended, and is back by then |

    Price: an outage of all with peers out of reach takes the node from the balancer, which takes it back two probes
    after the outage, no sooner than 3 s after it was removed. That is doubled with each removal within two minutes, so
    this evidence removes a node TIMES in that time at the most.
    """

    alone: bool = False
    since: datetime = NEVER  # failing without any peer that is served
    removed: list[datetime] = field(default_factory=list)

    def look(self, failing: bool, asked: int, answered: int, served: bool, later_term: bool, now: datetime) -> bool:
        """`asked`, `answered`: peers, of which one is `served` by the state service; `failing`: this node is not."""
        if not failing or (answered == asked and not served and not later_term):
            self.alone, self.since = False, NEVER
            return False
        if self.since == NEVER:
            self.since = now
        if self.alone or served or later_term:
            self.alone = True
            return True
        patience = LONE if (1 + answered) * 2 <= 1 + asked else MISSED
        self.removed = [at for at in self.removed if now - at < REMOVED_FOR]
        if now - self.since >= patience and len(self.removed) < TIMES:
            self.alone = True
            self.removed.append(now)
        return self.alone


@dataclass(slots=True)
class Scouts:
    """Workers that a leader without news of anybody sends to look for another leader.

    It holds its workers' leases for the hold-over, since in an outage of all nobody else does. Whether this is one it
    cannot see. So it answers a few workers no more: in an outage they find nobody and are back as soon as they have
    been with every node; if another leads, they stay with that one. Then all may go, long before the hold-over ends.
    In an outage a scout loses nothing: its lease is as good as full when it goes, and is renewed as it returns.
    """

    began: datetime = NEVER
    wait: timedelta = timedelta(0)
    idle_until: datetime = NEVER  # until when only workers without tasks are sent: they had time to report
    sent: dict[str, datetime] = field(default_factory=dict)
    returned: bool = False

    def begin(self, nodes: int, report: timedelta, now: datetime) -> None:
        """Unless it goes on, or has just found that it is an outage. `report`: how often workers report."""
        if self.began == NEVER or (self.returned and now - self.began >= AGAIN):
            self.began, self.wait = now, SCOUTING + SCOUTING_EACH * nodes
            self.idle_until = now + report * 1.25
            self.sent, self.returned = {}, False

    def stop(self) -> None:
        self.began = NEVER

    def sends_away(self, worker: str, has_tasks: bool, now: datetime) -> bool:
        """Whether this worker's report is not answered, so that it looks elsewhere. Those without tasks first."""
        if self.began == NEVER or self.returned:
            return False
        if worker in self.sent:
            self.returned = True
            return False
        if has_tasks and (now < self.idle_until or len(self.sent) >= SENT_WITH_TASKS):
            return False
        if len(self.sent) >= SENT or (self.sent and now > self.idle_until + SCOUTING):
            return False
        self.sent[worker] = now
        return True

    def found(self, now: datetime) -> bool:
        """Another leads: nobody who was sent has come back."""
        return bool(self.sent) and not self.returned and now - max(self.sent.values()) > self.wait
