"""Which controller reaches the workers: the leader's query to the others, their answers, and standing by.

The query and its answers go through the key-value store, from which the leader holds its lease anyway: peers may be out
of its reach as well. A node that finds itself out of the workers' reach lets the others stand for election first.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from math import ceil
from typing import NamedTuple

import msgspec

from roseweir.clock import NEVER, monotonic_now, seconds, sleep
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.errors import LeaseExpired
from roseweir.kv_store.operations import put
from roseweir.leader_election.lease import LeaderLease
from roseweir.leader_election.messages import (
    LEADER_KEY,
    REACHABILITY_ANSWER_PREFIX,
    REACHABILITY_QUERY_KEY,
    HeartbeatId,
    ReachabilityAnswer,
    ReachabilityQuery,
)

log = logging.getLogger(__name__)

MAX_WORKERS_IN_QUERY = 16
# Another node must reach more than one in this many of the queried workers.
REACHABLE_WORKERS_DIVISOR = 4
# The id of the newest possible heartbeat, for nodes and workers without one.
NEWEST_HEARTBEAT_ID = (1 << 62, 0)
# The leader looks for answers this often, and no more times than this.
REACHABILITY_POLL_INTERVAL = seconds(0.2)
MAX_REACHABILITY_POLLS = 6
# For how long a node that did not reach the workers stands by, unless a heartbeat shows earlier that it does.
STANDBY_DURATION = seconds(60)


class ProbeResult(NamedTuple):
    """Workers that answer this node, and the newest heartbeat of each that it has redirected some moments ago."""

    reachable: list[str]
    redirected: dict[str, HeartbeatId]


# Probes workers, given by name and address.
ProbeWorkers = Callable[[dict[str, str]], Coroutine[None, None, ProbeResult]]
# The workers whose heartbeats the leader misses, if they are most of all, and the newest heartbeat of each.
ListMissedWorkers = Callable[[], dict[str, HeartbeatId]]


class WorkerReachability:
    """A node's part in queries about workers: asking as the leader, answering, and standing by."""

    def __init__(self, node_name: str, kv_store: KeyValueStoreClient, probe_workers: ProbeWorkers) -> None:
        """Begin without a query; the node is known to others under its name."""
        self._node_name = node_name
        self._kv_store = kv_store
        self._probe_workers = probe_workers
        self._received_query: ReachabilityQuery | None = None
        self._query_received = asyncio.Event()
        self._queries_sent = 0
        self._standby_until = NEVER

    # -- standing by --------------------------------------------------------------------------

    def is_standing_by(self) -> bool:
        """Whether this node lets the others stand for election first."""
        return monotonic_now() < self._standby_until

    def enter_standby(self) -> None:
        """Stand by for STANDBY_DURATION."""
        self._standby_until = monotonic_now() + STANDBY_DURATION

    def end_standby(self) -> None:
        """Stop standing by: a worker's heartbeat has arrived."""
        self._standby_until = NEVER

    # -- answering ----------------------------------------------------------------------------

    def receive_query(self, value: object) -> None:
        """Take in a stored query, which `answer_queries` answers; msgspec.ValidationError if it can't be read."""
        self._received_query = msgspec.convert(value, ReachabilityQuery)
        self._query_received.set()

    async def answer_queries(self) -> None:
        """Answer the latest query, and each later one, until cancelled."""
        while True:
            await self._query_received.wait()
            self._query_received.clear()
            if self._received_query is not None:
                await self._answer_query(self._received_query)

    async def _answer_query(self, query: ReachabilityQuery) -> None:
        reachable, redirected = await self._probe_workers(query.worker_addresses)
        if not reachable and not redirected:
            self.enter_standby()
        answer = ReachabilityAnswer(query.term, query.query_number, reachable, sorted(redirected), redirected)
        try:
            await self._kv_store.compare_and_swap(
                [], [put(REACHABILITY_ANSWER_PREFIX + self._node_name, msgspec.to_builtins(answer))]
            )
        except (StoreError, Unreachable, CompareFailed, LeaseExpired) as e:
            log.debug("reachability answer failed: error=%s", e)

    # -- asking -------------------------------------------------------------------------------

    async def find_better_connected_node(
        self, leader_lease: LeaderLease, worker_addresses: dict[str, str], list_missed_workers: ListMissedWorkers
    ) -> str | None:
        """Ask the other nodes which workers they reach, as the leader.

        Returns:
            The name of a node that reaches workers which this one does not; None if none is found in time, or the store
            can't be used.
        """
        self._queries_sent += 1
        query = ReachabilityQuery(leader_lease.term, self._queries_sent, worker_addresses)
        try:
            await self._kv_store.compare_and_swap(
                [(LEADER_KEY, leader_lease.leader_key_version)],
                [put(REACHABILITY_QUERY_KEY, msgspec.to_builtins(query))],
            )
            reachable, _ = await self._probe_workers(worker_addresses)
            for _ in range(MAX_REACHABILITY_POLLS):
                await sleep(REACHABILITY_POLL_INTERVAL)
                answers = await self._read_answers(query)
                better_node = find_better_connected_node(answers, query, len(reachable), list_missed_workers())
                if better_node is not None:
                    return better_node
        except (StoreError, Unreachable, CompareFailed, LeaseExpired, msgspec.ValidationError) as e:
            log.debug("reachability query failed: error=%s", e)
        else:
            log.info("heartbeats missed and no better connected node: workers=%d", len(worker_addresses))
        return None

    async def _read_answers(self, query: ReachabilityQuery) -> dict[str, ReachabilityAnswer]:
        """The other nodes' answers to this query so far, by node name."""
        entries, _ = await self._kv_store.scan(REACHABILITY_ANSWER_PREFIX)
        answers = {
            entry.key.removeprefix(REACHABILITY_ANSWER_PREFIX): msgspec.convert(entry.value, ReachabilityAnswer)
            for entry in entries
        }
        answers.pop(self._node_name, None)
        return {
            name: answer
            for name, answer in answers.items()
            if (answer.term, answer.query_number) == (query.term, query.query_number)
        }


def sample_workers(overdue_workers: Mapping[str, str]) -> dict[str, str]:
    """At most MAX_WORKERS_IN_QUERY of the workers, spread evenly by name, so that a query about them fits one key."""
    names = sorted(overdue_workers)
    return {name: overdue_workers[name] for name in names[:: max(1, ceil(len(names) / MAX_WORKERS_IN_QUERY))]}


def find_better_connected_node(
    answers: Mapping[str, ReachabilityAnswer],
    query: ReachabilityQuery,
    own_reachable_count: int,
    missed_workers: Mapping[str, HeartbeatId],
) -> str | None:
    """Return a node that reaches enough of the queried workers that the leader misses, or None.

    Args:
        answers: The nodes' answers, by node name.
        query: The query.
        own_reachable_count: How many of the queried workers answer the leader itself.
        missed_workers: The workers that the leader still misses, with the newest heartbeat that it has of each. A
            heartbeat that another node got and that is older was delivered late, and proves nothing.
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
