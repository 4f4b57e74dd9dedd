"""Election, renewal and stepping down.

The bounds and what they rest on:
- The lease ends at the state service no earlier than TTL after the service got the renewal, which
  is after it was sent. Clocks drift apart by up to 0.05%, so counted from the *sending*, TTL less
  0.1% is safe; MARGIN is for the time between looking at the clock and an answer leaving.
- The term rises with each election, in the same transaction that takes the leader's key.

Who should lead is one that workers reach. A leader that misses most of its workers asks the others, by way
of the state service, which it holds its lease from anyway: peers may be out of its reach as well. One
that reaches these workers and the state service could lead in its place, so the leader gives up its lease.
Only such an answer makes it go: in a cut zone, or when the workers are gone, nobody can give it. Nodes
that found the workers out of reach let the others stand first.

A process that ended may be back within a fraction of a second, and find its former self's lease. It is no right of its
own: the term is another's, and nothing is done under it. Nor is it waited for: only a process that holds this node's
address looks for it, so the former self is gone, and the lease is ended at once. Even if it were not gone, nothing
rests on its lease alone: its writes are guarded by the key that goes with the lease, workers that have seen the next
term drop its answers, and what it had recorded counts for its successor until those have. The others stand first: a
node that ends again and again leads only where nobody else can, and elections are RETURN apart at least.

During an upgrade every process of the version before is about to end, so that an election of one of them is followed by
another soon. Versions state their feature level with the leader's key. A process that finds its former self of a lower
level was just upgraded: it does not let the others stand first, which happens once per process and level. And a node
that sees the leader's key go stands at once, without reading it again: the election's own guards tell.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta

import msgspec

from roseweir.clock import NEVER, monotonic_now, sleep
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import LeaseExpired, gather_pair, put
from roseweir.kv_store.write_confirmation import commit_or_confirm
from roseweir.leader_election.messages import (
    FEATURE_LEVEL,
    LEADER_ELECTION_PREFIX,
    LEADER_KEY,
    REACHABILITY_ANSWER_PREFIX,
    REACHABILITY_QUERY_KEY,
    TERM_KEY,
    LeaderRecord,
    ReachabilityAnswer,
    ReachabilityQuery,
)
from roseweir.membership.failure_detector import HeartbeatId, find_better_connected_node
from roseweir.settings import Settings

log = logging.getLogger(__name__)

LEASE_TTL = timedelta(milliseconds=2500)
LEASE_SAFETY_MARGIN = timedelta(milliseconds=100)
RENEWAL_INTERVAL = timedelta(milliseconds=600)
WATCH_TIMEOUT = timedelta(seconds=10)
RETRY_INTERVAL = timedelta(milliseconds=300)
# A node that did not reach the workers stands this much later, until a worker's report shows that it
# does, or until it has been so long.
STANDBY_CANDIDACY_DELAY = timedelta(milliseconds=1500)
# One whose former self led stands so much later than those that have been there all along.
RESTART_CANDIDACY_DELAY = timedelta(milliseconds=500)
STANDBY_DURATION = timedelta(seconds=60)
# The leader asks no more than once in this time, and looks this often for answers.
REACHABILITY_QUERY_INTERVAL = timedelta(seconds=2)
REACHABILITY_POLL_INTERVAL = timedelta(milliseconds=200)
MAX_REACHABILITY_POLLS = 6


class LeadershipEnded(Exception):
    """This node no longer leads."""


class LeaderLease:
    """One reign: the right to command, for as long as the lease surely lasts."""

    def __init__(self, term: int, lease_id: int, leader_key_version: int, sent_at: datetime) -> None:
        self.term = term
        self.lease_id = lease_id
        self.leader_key_version = leader_key_version
        self.ended = asyncio.Event()
        self.end_reason = ""
        self.valid_until = NEVER
        # As of when nobody else led: the sending of the last renewal that was answered, or of a question that all other
        # controllers answered. Rights to start rest on the lease alone.
        self.confirmed_at = NEVER
        self.apply_renewal(sent_at)

    def confirm_leadership(self, sent_at: datetime) -> None:
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def apply_renewal(self, sent_at: datetime) -> None:
        self.confirm_leadership(sent_at)
        self.valid_until = max(self.valid_until, sent_at + LEASE_TTL * 0.999 - LEASE_SAFETY_MARGIN)

    def is_valid(self) -> bool:
        return not self.ended.is_set() and monotonic_now() < self.valid_until

    def end(self, reason: str) -> None:
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()


RunLeaderTerm = Callable[[LeaderLease], Coroutine[None, None, None]]
# Asks the other controllers which leader they know: its name and term.
FetchPeerLeader = Callable[[], Coroutine[None, None, tuple[str, int] | None]]
# Which of these workers (names and addresses) answer this node, and which came to it some moments ago.
ProbeWorkers = Callable[[dict[str, str]], Coroutine[None, None, tuple[list[str], dict[str, HeartbeatId]]]]
# Most workers' reports are missed: who they are, and the newest tally of each.
ListMissedWorkers = Callable[[], dict[str, HeartbeatId]]


class LeaderElection:
    def __init__(
        self,
        settings: Settings,
        kv_store: KeyValueStoreClient,
        run_leader_term: RunLeaderTerm,
        fetch_peer_leader: FetchPeerLeader,
        probe_workers: ProbeWorkers,
    ) -> None:
        self.settings = settings
        self._fetch_peer_leader = fetch_peer_leader
        self._probe_workers = probe_workers
        self._received_query: ReachabilityQuery | None = None
        self._query_received = asyncio.Event()
        self._queries_sent = 0
        self.standby_until = NEVER
        self._successor: LeaderRecord | None = None
        self.kv_store = kv_store
        self._run_leader_term = run_leader_term
        self.leader: LeaderRecord | None = None
        self.leader_lease: LeaderLease | None = None
        self.failed_terms = 0
        # What a leader does that can ask nobody whether it still leads, and as it is sure again.
        self.on_leadership_uncertain: Callable[[datetime], None] = lambda now: None
        self.on_leadership_confirmed: Callable[[], None] = lambda: None
        # Whoever wants to know the terms that the state service tells of.
        self.on_term_observed: Callable[[int], None] = lambda term: None

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._campaign_or_follow())
            group.create_task(self._answer_reachability_queries())

    async def _campaign_or_follow(self) -> None:
        revision, is_leader_key_deleted = 0, False
        while True:
            try:
                if not is_leader_key_deleted:
                    revision = await self._read_leader()
                if self._is_own_stale_lease() and not await self._revoke_stale_lease():
                    await sleep(RESTART_CANDIDACY_DELAY)
                    revision = await self._read_leader()
                is_leader_key_deleted = False
                if self.leader is None and monotonic_now() < self.standby_until:
                    await sleep(STANDBY_CANDIDACY_DELAY)
                    revision = await self._read_leader()
                if self.leader is None:
                    leader_lease = await self._try_acquire_leadership()
                    if leader_lease is not None:
                        await self._hold_leadership(leader_lease)
                    continue
                is_leader_key_deleted = await self._follow_leader(revision)
            except (StoreError, Unreachable, LeaseExpired) as e:
                log.debug("leadership: %s", e)
                await sleep(RETRY_INTERVAL)
            except (msgspec.ValidationError, TypeError, ValueError) as e:
                # Nobody can lead before it can be read, but users are served: it ended every controller in turn.
                log.error("the record of who leads can't be read: %s", e)
                await sleep(STANDBY_DURATION / 60)

    async def _read_leader(self) -> int:
        entries, revision = await self.kv_store.scan(LEADER_ELECTION_PREFIX)
        self._apply_leader_record(next((e.value for e in entries if e.key == LEADER_KEY), None))
        return revision

    def _apply_leader_record(self, value: object) -> None:
        record = None if value is None else msgspec.convert(value, LeaderRecord)
        if record is not None and (self.leader is None or record.term != self.leader.term):
            log.info("leader is %s, term %d", record.name, record.term)
            self.on_term_observed(record.term)
        self.leader = record

    def _is_own_stale_lease(self) -> bool:
        """The key names this node, and it leads no term: an earlier process, or an earlier term of this one."""
        return self.leader is not None and self.leader.name == self.settings.name and self.leader_lease is None

    async def _revoke_stale_lease(self) -> bool:
        """Whether it was of a lower level: this process was upgraded."""
        assert self.leader is not None
        log.info("ending the lease of term %d, which an earlier process of this node left", self.leader.term)
        await self.kv_store.revoke_lease(self.leader.lease_id)
        is_upgraded = self.leader.feature_level < FEATURE_LEVEL
        self.leader = None
        return is_upgraded

    async def _follow_leader(self, revision: int) -> bool:
        """Until nobody leads, or it has to be read again who does; whether the leader's key was seen to go."""
        is_leader_key_deleted = False
        while self.leader is not None:
            watch_result = await self.kv_store.watch(LEADER_ELECTION_PREFIX, revision, WATCH_TIMEOUT)
            if watch_result is None:
                return False
            events, revision = watch_result
            for event in events:
                if event.key == LEADER_KEY:
                    self._apply_leader_record(event.value)
                    is_leader_key_deleted = event.value is None
                    if self._is_own_stale_lease():
                        # Its election was on its way as it ended.
                        return False
                elif event.key == REACHABILITY_QUERY_KEY and event.value is not None:
                    self._received_query = msgspec.convert(event.value, ReachabilityQuery)
                    self._query_received.set()
        return is_leader_key_deleted

    # -- who reaches the workers --------------------------------------------------------------

    def end_standby(self) -> None:
        """A worker's report came in: this node need not stand back."""
        self.standby_until = NEVER

    def forget_leader(self) -> None:
        """A node that slept does not know any more who leads: it looks before it sends anybody there."""
        if self.leader_lease is None:
            self.leader = None

    async def _answer_reachability_queries(self) -> None:
        while True:
            await self._query_received.wait()
            self._query_received.clear()
            query = self._received_query
            if query is None:
                continue
            reachable, redirected = await self._probe_workers(query.worker_addresses)
            if not reachable and not redirected:
                self._enter_standby()
            answer = ReachabilityAnswer(query.term, query.query_number, reachable, sorted(redirected), redirected)
            try:
                await self.kv_store.compare_and_swap(
                    [], [put(REACHABILITY_ANSWER_PREFIX + self.settings.name, msgspec.to_builtins(answer))]
                )
            except (StoreError, Unreachable, CompareFailed, LeaseExpired) as e:
                log.debug("answer about workers: %s", e)

    def _enter_standby(self) -> None:
        self.standby_until = monotonic_now() + STANDBY_DURATION

    async def resign_if_better_connected_node(
        self, worker_addresses: dict[str, str], list_missed_workers: ListMissedWorkers
    ) -> None:
        """Most workers have not reported in time: make way if another node reaches them, and this one does not.

        Right after a cut of all nodes others reach them too, and so does this one. Those that came to another
        node were sent here a second ago or more; if they are missing still, their reports do not get through.
        """
        leader_lease = self.leader_lease
        if leader_lease is None or not leader_lease.is_valid():
            return
        self._queries_sent += 1
        query = ReachabilityQuery(leader_lease.term, self._queries_sent, worker_addresses)
        try:
            await self.kv_store.compare_and_swap(
                [(LEADER_KEY, leader_lease.leader_key_version)],
                [put(REACHABILITY_QUERY_KEY, msgspec.to_builtins(query))],
            )
            reachable, _ = await self._probe_workers(worker_addresses)
            for _ in range(MAX_REACHABILITY_POLLS):
                await sleep(REACHABILITY_POLL_INTERVAL)
                answers = await self._read_answers(query)
                better_node = find_better_connected_node(answers, query, len(reachable), list_missed_workers())
                if better_node is not None:
                    await self._resign(leader_lease, f"{better_node} reaches workers that this node does not hear")
                    return
        except (StoreError, Unreachable, CompareFailed, LeaseExpired, msgspec.ValidationError) as e:
            log.debug("asking about workers: %s", e)
        else:
            log.info("most workers have not reported, and no other controller reaches them better")
        await sleep(REACHABILITY_QUERY_INTERVAL)

    async def _read_answers(self, query: ReachabilityQuery) -> dict[str, ReachabilityAnswer]:
        """What the other nodes have answered by now."""
        entries, _ = await self.kv_store.scan(REACHABILITY_ANSWER_PREFIX)
        answers = {
            entry.key.removeprefix(REACHABILITY_ANSWER_PREFIX): msgspec.convert(entry.value, ReachabilityAnswer)
            for entry in entries
        }
        answers.pop(self.settings.name, None)
        return {
            name: answer
            for name, answer in answers.items()
            if (answer.term, answer.query_number) == (query.term, query.query_number)
        }

    async def _resign(self, leader_lease: LeaderLease, reason: str) -> None:
        self._enter_standby()
        # Nothing goes out under this term any more before others may take the key.
        leader_lease.end(reason)
        try:
            await self.kv_store.revoke_lease(leader_lease.lease_id)
        except (StoreError, Unreachable) as e:
            log.debug("the lease is left to run out: %s", e)

    # -- standing -----------------------------------------------------------------------------

    async def _try_acquire_leadership(self) -> LeaderLease | None:
        sent_at = monotonic_now()
        lease_id, term_entry = await gather_pair(self.kv_store.grant_lease(LEASE_TTL), self.kv_store.get(TERM_KEY))
        term = 1 if term_entry is None else int(term_entry.value) + 1
        record = LeaderRecord(self.settings.name, self.settings.peer_address, term, lease_id, FEATURE_LEVEL)
        guards = [(LEADER_KEY, 0), (TERM_KEY, 0 if term_entry is None else term_entry.version)]
        ops = [put(LEADER_KEY, msgspec.to_builtins(record), lease_id), put(TERM_KEY, term)]

        async def confirm_election() -> int | None:
            found = await self.kv_store.get(LEADER_KEY)
            ours = found is not None and isinstance(found.value, dict) and found.value.get("lease") == lease_id
            return found.version if found is not None and ours else None

        try:
            version = await commit_or_confirm(self.kv_store, guards, ops, confirm_election)
        except CompareFailed:
            await sleep(RETRY_INTERVAL / 3)
            return None
        except Unreachable:
            # It may have run: the key tells. If it runs later, the key lapses with its lease.
            found = await confirm_election()
            if found is None:
                return None
            version = found
        self.leader = record
        self.on_term_observed(term)
        return LeaderLease(term, lease_id, version, sent_at)

    async def _hold_leadership(self, leader_lease: LeaderLease) -> None:
        log.info("elected: term %d", leader_lease.term)
        self.leader_lease = leader_lease
        self._successor = None
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renew_lease(leader_lease))
                group.create_task(self._wait_until_ended(leader_lease))
                group.create_task(self._run_leader_term(leader_lease))
        except* LeadershipEnded:
            pass
        except* Exception:
            # A fault of ours must not take the users' API down with it: another node may lead.
            log.exception("term %d failed", leader_lease.term)
            leader_lease.end("a fault, see above")
            self.failed_terms += 1
            await sleep(LEASE_TTL)
        finally:
            leader_lease.end("ended")
            self.leader_lease = None
            # A node without the state service can still send workers on, until it reads for itself.
            self.leader = self._successor
            log.info("stepped down from term %d: %s", leader_lease.term, leader_lease.end_reason)

    async def _wait_until_ended(self, leader_lease: LeaderLease) -> None:
        await leader_lease.ended.wait()
        raise LeadershipEnded(leader_lease.end_reason)

    async def _renew_lease(self, leader_lease: LeaderLease) -> None:
        is_failing = False
        while True:
            sent_at = monotonic_now()
            try:
                await self.kv_store.renew_lease(leader_lease.lease_id, timeout=LEASE_TTL / 2)
                leader_lease.apply_renewal(sent_at)
                if is_failing:
                    log.info("renewals go through again")
                    self.on_leadership_confirmed()
                is_failing = False
                interval = RENEWAL_INTERVAL - (monotonic_now() - sent_at)
            except LeaseExpired:
                leader_lease.end("the lease ran out")
                return
            except (StoreError, Unreachable) as e:
                # An outage ends with all leases at their full time, so the key may still be ours.
                log.log(logging.DEBUG if is_failing else logging.INFO, "renewal failed, nothing new starts: %s", e)
                is_failing = True
                interval = RETRY_INTERVAL
                if not leader_lease.is_valid():
                    await self._check_peer_leader(leader_lease)
            await sleep(interval)

    async def _check_peer_leader(self, leader_lease: LeaderLease) -> None:
        """A leader that alone lost the state service steps down as soon as a peer knows of a later term.

        It may answer reports for the whole hold-over, and workers stay with it as long as it does: for 18 s
        nothing started, while a new leader that no worker reported to gave their machines back (apart, log p2).
        """
        peer_leader = await self._fetch_peer_leader()
        if peer_leader is not None and peer_leader[1] > leader_lease.term:
            name, term = peer_leader
            self._successor = LeaderRecord(name, "", term, 0)
            leader_lease.end(f"{name} leads with term {term}")
        elif peer_leader is None:
            # No peer answers, or none knows any leader: workers may find one that this node does not.
            self.on_leadership_uncertain(monotonic_now())
