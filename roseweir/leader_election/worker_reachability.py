"""Which controllers can reach the workers: the leader's query, the other controllers' answers, and delayed candidacy.

The query and its answers are exchanged through the key-value store, because the leader may be unable to reach its peers
as well, but can reach the store, where it renews its lease. A node that can reach no queried worker delays its
candidacy.
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
# Another node must reach more than 1/REACHABLE_WORKERS_DIVISOR of the queried workers.
REACHABLE_WORKERS_DIVISOR = 4
# Greater than the id of any real heartbeat; stands for a missing id.
NEWEST_HEARTBEAT_ID = (1 << 62, 0)
# Interval and maximum number of the leader's polls for answers to one query.
REACHABILITY_POLL_INTERVAL = seconds(0.2)
MAX_REACHABILITY_POLLS = 6
# A node that could not reach the workers delays its candidacies for this long, or until it receives a heartbeat.
DELAYED_CANDIDACY_PERIOD = seconds(60)


class ProbeResult(NamedTuple):
    """Workers that answer this node's probes, and the newest heartbeat id of each recently redirected worker."""

    reachable: list[str]
    redirected: dict[str, HeartbeatId]


# Probes workers, given by name and address.
ProbeWorkers = Callable[[dict[str, str]], Coroutine[None, None, ProbeResult]]
# Returns the newest heartbeat id of each worker whose heartbeats the leader misses, if it misses those of most workers;
# else nothing.
ListMissedWorkers = Callable[[], dict[str, HeartbeatId]]


class WorkerReachability:
    """Sends and answers queries about which workers a node can reach, and delays this node's candidacy accordingly."""

    def __init__(self, node_name: str, kv_store: KeyValueStoreClient, probe_workers: ProbeWorkers) -> None:
        """Begin without a query; answers are stored under this node's name."""
        self._node_name = node_name
        self._kv_store = kv_store
        self._probe_workers = probe_workers
        self._received_query: ReachabilityQuery | None = None
        self._query_received = asyncio.Event()
        self._queries_sent = 0
        self._candidacy_delayed_until = NEVER

    # -- delayed candidacy --------------------------------------------------------------------

    def is_candidacy_delayed(self) -> bool:
        """Whether this node delays its candidacy."""
        return monotonic_now() < self._candidacy_delayed_until

    def delay_candidacy(self) -> None:
        """Delay this node's candidacies during the next DELAYED_CANDIDACY_PERIOD."""
        self._candidacy_delayed_until = monotonic_now() + DELAYED_CANDIDACY_PERIOD

    def end_candidacy_delay(self) -> None:
        """Stop delaying this node's candidacy, because a worker's heartbeat has arrived."""
        self._candidacy_delayed_until = NEVER

    # -- answering ----------------------------------------------------------------------------

    def receive_query(self, value: object) -> None:
        """Pass a stored query to `answer_queries`; msgspec.ValidationError if it can't be decoded."""
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
            self.delay_candidacy()
        answer = ReachabilityAnswer(query.term, query.query_number, reachable, sorted(redirected), redirected)
        try:
            await self._kv_store.compare_and_swap(
                [], [put(REACHABILITY_ANSWER_PREFIX + self._node_name, msgspec.to_builtins(answer))]
            )
        except (StoreError, Unreachable, CompareFailed, LeaseExpired) as error:
            log.debug("reachability answer failed: error=%s", error)

    # -- querying -----------------------------------------------------------------------------

    async def find_better_connected_node(
        self, leader_lease: LeaderLease, worker_addresses: dict[str, str], list_missed_workers: ListMissedWorkers
    ) -> str | None:
        """Query the other nodes, as the leader, which workers they can reach.

        Returns:
            The name of a node that can reach workers which this node can't; None if no such answer arrives in time, or
            a request to the store fails.
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
        except (StoreError, Unreachable, CompareFailed, LeaseExpired, msgspec.ValidationError) as error:
            log.debug("reachability query failed: error=%s", error)
        else:
            log.info("heartbeats missed and no better connected node: workers=%d", len(worker_addresses))
        return None

    async def _read_answers(self, query: ReachabilityQuery) -> dict[str, ReachabilityAnswer]:
        """Return the other nodes' answers to this query so far, by node name."""
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
    """Return at most MAX_WORKERS_IN_QUERY of the workers, spread evenly by name, so that the query fits in one key."""
    names = sorted(overdue_workers)
    return {name: overdue_workers[name] for name in names[:: max(1, ceil(len(names) / MAX_WORKERS_IN_QUERY))]}


def find_better_connected_node(
    answers: Mapping[str, ReachabilityAnswer],
    query: ReachabilityQuery,
    leader_reachable_count: int,
    missed_workers: Mapping[str, HeartbeatId],
) -> str | None:
    """Return a node that can reach enough of the queried workers that the leader misses, or None.

    Args:
        answers: The nodes' answers, by node name.
        query: The query.
        leader_reachable_count: How many of the queried workers answer the leader's probes.
        missed_workers: The workers that the leader still misses, with the newest heartbeat that it has of each. An
            older heartbeat received by another node was delivered late, and does not show that the node is reachable.
    """
    for name, answer in answers.items():
        reached_workers = {
            worker
            for worker in answer.redirected
            if answer.heartbeat_ids.get(worker, NEWEST_HEARTBEAT_ID) > missed_workers.get(worker, NEWEST_HEARTBEAT_ID)
        }
        if leader_reachable_count * REACHABLE_WORKERS_DIVISOR <= len(query.worker_addresses):
            reached_workers |= set(answer.reachable)
        if len(reached_workers & missed_workers.keys()) * REACHABLE_WORKERS_DIVISOR > len(query.worker_addresses):
            return name
    return None
