"""What a controller concludes about itself and its peers. Pure: the current instant is always an argument.

Holding the lease proves only the way to the state service, and an answer of a peer only the way to that peer. So each
conclusion names the way it rests on, and no answer at all never counts for or against anybody.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from math import ceil

from roseweir.clock import NEVER, PROCESS_PAUSE_THRESHOLD, seconds
from roseweir.leader_election.messages import ReachabilityAnswer, ReachabilityQuery

# How often workers are looked for, how many are asked about, and how many looks in a row must miss most of them.
HEARTBEAT_CHECK_INTERVAL = seconds(0.25)
MAX_WORKERS_IN_QUERY, MIN_CONSECUTIVE_MISSES = 16, 2
# A worker that came is with the leader a second later, if it can be. It counts as one that reaches this node
# for so long; and so many are remembered.
MIN_REDIRECT_AGE, MAX_REDIRECT_AGE, MAX_REDIRECTED_WORKERS = seconds(1), seconds(6), 4096
# A node that does not tell of tallies is believed without.
NEWEST_HEARTBEAT_ID = (1 << 62, 0)
# For how long most, or some, controllers have to be out of reach of a node without the state service.
MAJORITY_UNREACHABLE_TIMEOUT, MINORITY_UNREACHABLE_TIMEOUT = seconds(2), seconds(6)
# How often a node leaves the balancer's choice without a peer's word, within the time that the balancer remembers.
MAX_REMOVALS, REMOVAL_WINDOW = 2, timedelta(minutes=2)
# Scouts: how many, how many with tasks, how long the way through so many nodes takes, and how soon again.
(
    MAX_SEARCHING_WORKERS,
    MAX_SEARCHING_WORKERS_WITH_TASKS,
    SEARCH_BASE_TIMEOUT,
    SEARCH_TIMEOUT_PER_NODE,
    MIN_SEARCH_INTERVAL,
) = 4, 2, seconds(1), seconds(1), seconds(6)
# One in so many of the workers asked about must be reached by another node.
REACHABLE_WORKERS_DIVISOR = 4


# Tenure and tally of a report: the message with the larger pair is the newer one.
HeartbeatId = tuple[int, int]


class RedirectedWorkers:
    """Workers that reported to this node while it did not lead: they are in search of one that does."""

    def __init__(self) -> None:
        self._heartbeats: dict[str, tuple[datetime, HeartbeatId]] = {}

    def record_heartbeat(self, machine: str, heartbeat_id: HeartbeatId, now: datetime) -> None:
        """A copy of a report, which is not newer than the last one here, says nothing."""
        known = self._heartbeats.get(machine)
        if known is not None and heartbeat_id <= known[1]:
            return
        self._heartbeats.pop(machine, None)
        self._heartbeats[machine] = (now, heartbeat_id)
        if len(self._heartbeats) > MAX_REDIRECTED_WORKERS:
            del self._heartbeats[next(iter(self._heartbeats))]

    def find_redirected(self, machines: Iterable[str], now: datetime) -> dict[str, HeartbeatId]:
        """Those of them that came here some moments ago, and would be with the leader by now if they could."""
        found = {name: self._heartbeats[name] for name in machines if name in self._heartbeats}
        return {
            name: heartbeat_id
            for name, (received_at, heartbeat_id) in found.items()
            if MIN_REDIRECT_AGE <= now - received_at <= MAX_REDIRECT_AGE
        }


class HeartbeatVerdict(Enum):
    HEALTHY = 0
    PROCESS_PAUSED = 1  # this node did; what it knows may be over
    HEARTBEATS_MISSED = 2  # by most workers, on time and more than once


@dataclass(slots=True)
class HeartbeatMonitor:
    """A leader's looks at whether its workers' reports come."""

    consecutive_misses: int = 0
    pause_duration: timedelta = field(default=timedelta(0))  # for how long this node stood still, at the last look

    def evaluate(
        self, wait_started_at: datetime, now: datetime, overdue_workers: Mapping[str, str]
    ) -> HeartbeatVerdict:
        """`before`: when the wait of LOOK for this look began; `missed`: workers overdue, if they are most of all.

        A loaded moment delays the looking as well as the reports, so only looks on time count.
        """
        elapsed = now - wait_started_at
        if elapsed > HEARTBEAT_CHECK_INTERVAL + PROCESS_PAUSE_THRESHOLD:
            self.consecutive_misses = 0
            self.pause_duration = elapsed - HEARTBEAT_CHECK_INTERVAL
            return HeartbeatVerdict.PROCESS_PAUSED
        self.consecutive_misses = (
            self.consecutive_misses + 1 if overdue_workers and elapsed < HEARTBEAT_CHECK_INTERVAL * 2 else 0
        )
        if self.consecutive_misses < MIN_CONSECUTIVE_MISSES:
            return HeartbeatVerdict.HEALTHY
        self.consecutive_misses = 0
        return HeartbeatVerdict.HEARTBEATS_MISSED


def sample_workers(overdue_workers: Mapping[str, str]) -> dict[str, str]:
    """So few that a question about them fits a key, spread over all."""
    names = sorted(overdue_workers)
    return {name: overdue_workers[name] for name in names[:: max(1, ceil(len(names) / MAX_WORKERS_IN_QUERY))]}


def find_better_connected_node(
    answers: Mapping[str, ReachabilityAnswer],
    query: ReachabilityQuery,
    own_reachable_count: int,
    missed_workers: Mapping[str, HeartbeatId],
) -> str | None:
    """A node that reaches enough of the workers asked about, of which the leader itself reached so many.

    `missing`: those that it misses still, with the newest tally that it has of each. What came to another node with an
    older one is a copy that came late.
    """
    for name, answer in answers.items():
        better_reached = {
            worker
            for worker in answer.redirected
            if answer.heartbeat_ids.get(worker, NEWEST_HEARTBEAT_ID) > missed_workers.get(worker, NEWEST_HEARTBEAT_ID)
        }
        if own_reachable_count * REACHABLE_WORKERS_DIVISOR <= len(query.worker_addresses):
            better_reached |= set(answer.reachable)
        if len(better_reached & missed_workers.keys()) * REACHABLE_WORKERS_DIVISOR > len(query.worker_addresses):
            return name
    return None


def latest_leader(known_leaders: Iterable[tuple[str, int]]) -> tuple[str, int] | None:
    """Of the leaders that peers know, by name and term, the one of the highest term."""
    name, term = max(known_leaders, key=lambda leader: leader[1], default=("", 0))
    return (name, term) if term else None


@dataclass(slots=True)
class StoreIsolationDetector:
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

    store_unreachable: bool = False
    failing_since: datetime = NEVER  # failing without any peer that is served
    removals: list[datetime] = field(default_factory=list)

    def evaluate(
        self,
        is_failing: bool,
        peers_asked: int,
        peers_answered: int,
        is_peer_served: bool,
        is_later_term_seen: bool,
        now: datetime,
    ) -> bool:
        """`asked`, `answered`: peers, of which one is `served` by the state service; `failing`: this node is not."""
        if not is_failing or (peers_answered == peers_asked and not is_peer_served and not is_later_term_seen):
            self.store_unreachable, self.failing_since = False, NEVER
            return False
        if self.failing_since == NEVER:
            self.failing_since = now
        if self.store_unreachable or is_peer_served or is_later_term_seen:
            self.store_unreachable = True
            return True
        timeout = (
            MAJORITY_UNREACHABLE_TIMEOUT
            if (1 + peers_answered) * 2 <= 1 + peers_asked
            else MINORITY_UNREACHABLE_TIMEOUT
        )
        self.removals = [removed_at for removed_at in self.removals if now - removed_at < REMOVAL_WINDOW]
        if now - self.failing_since >= timeout and len(self.removals) < MAX_REMOVALS:
            self.store_unreachable = True
            self.removals.append(now)
        return self.store_unreachable


@dataclass(slots=True)
class LeaderSearch:
    """Workers that a leader without news of anybody sends to look for another leader.

    It holds its workers' leases for the hold-over, since in an outage of all nobody else does. Whether this is one it
    cannot see. So it answers a few workers no more: in an outage they find nobody and are back as soon as they have
    been with every node; if another leads, they stay with that one. Then all may go, long before the hold-over ends.
    In an outage a scout loses nothing: its lease is as good as full when it goes, and is renewed as it returns.
    """

    started_at: datetime = NEVER
    search_timeout: timedelta = timedelta(0)
    idle_only_until: datetime = NEVER  # until when only workers without tasks are sent: they had time to report
    sent_at_by_worker: dict[str, datetime] = field(default_factory=dict)
    has_worker_returned: bool = False

    def start(self, node_count: int, heartbeat_interval: timedelta, now: datetime) -> None:
        """Unless it goes on, or has just found that it is an outage. `report`: how often workers report."""
        if self.started_at == NEVER or (self.has_worker_returned and now - self.started_at >= MIN_SEARCH_INTERVAL):
            self.started_at, self.search_timeout = now, SEARCH_BASE_TIMEOUT + SEARCH_TIMEOUT_PER_NODE * node_count
            self.idle_only_until = now + heartbeat_interval * 1.25
            self.sent_at_by_worker, self.has_worker_returned = {}, False

    def stop(self) -> None:
        self.started_at = NEVER

    def should_redirect(self, worker: str, has_tasks: bool, now: datetime) -> bool:
        """Whether this worker's report is not answered, so that it looks elsewhere. Those without tasks first."""
        if self.started_at == NEVER or self.has_worker_returned:
            return False
        if worker in self.sent_at_by_worker:
            self.has_worker_returned = True
            return False
        if has_tasks and (
            now < self.idle_only_until or len(self.sent_at_by_worker) >= MAX_SEARCHING_WORKERS_WITH_TASKS
        ):
            return False
        if len(self.sent_at_by_worker) >= MAX_SEARCHING_WORKERS or (
            self.sent_at_by_worker and now > self.idle_only_until + SEARCH_BASE_TIMEOUT
        ):
            return False
        self.sent_at_by_worker[worker] = now
        return True

    def has_found_leader(self, now: datetime) -> bool:
        """Another leads: nobody who was sent has come back."""
        return (
            bool(self.sent_at_by_worker)
            and not self.has_worker_returned
            and now - max(self.sent_at_by_worker.values()) > self.search_timeout
        )
