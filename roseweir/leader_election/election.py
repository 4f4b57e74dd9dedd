"""Election of the leader: standing for election, following the leader that is elected, and holding its lease.

Each election increments the term, in the same transaction that creates the leader's key.

The leader should be a node that the workers can reach. A leader that misses the heartbeats of most workers queries the
other controllers (`worker_reachability.py`), and resigns only if one of them answers that it can reach these workers.
If a zone is partitioned or the workers are down, no controller can, and the leader stays. A node that the workers can't
reach delays its candidacy.

A process that restarts within a fraction of a second after a crash finds the lease of the previous process. That lease
belongs to the previous process's term, so the new process does not act as leader under it. It revokes the lease at once
instead of waiting for its expiry: the lease names this node's address, which only one process can hold, so the previous
process has ended. Even if it were alive, its lease alone would permit nothing: its writes are guarded by the key that
is deleted with the lease, workers that have received the next term discard its responses, and the next leader honors
what it recorded until they have received that term. The restarted process delays its candidacy, so that a node that
crashes repeatedly leads only if no other node can, and elections are at least RESTART_CANDIDACY_DELAY apart.

During an upgrade every process of the old version ends soon, so the election of one of them would soon be followed by
another. The leader's record contains the feature level of its version. A process that finds a record of its own node
with a lower level has just been upgraded, and does not delay its candidacy; this happens once per process and level.
A node whose watch reports the deletion of the leader's key becomes a candidate at once, without reading the key again:
the guards of the election's transaction decide.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import datetime

import msgspec

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.concurrency import gather_pair
from roseweir.kv_store.errors import LeaseExpired
from roseweir.kv_store.operations import put
from roseweir.kv_store.write_confirmation import commit_or_confirm
from roseweir.leader_election.lease import LEASE_TTL, FetchPeerLeader, LeaderLease, LeadershipEnded, LeaseRenewer
from roseweir.leader_election.messages import (
    FEATURE_LEVEL,
    LEADER_ELECTION_PREFIX,
    LEADER_KEY,
    REACHABILITY_QUERY_KEY,
    TERM_KEY,
    LeaderRecord,
)
from roseweir.leader_election.worker_reachability import ListMissedWorkers, ProbeWorkers, WorkerReachability
from roseweir.settings import Settings

__all__ = ["LeaderElection", "LeaderLease"]  # other packages import the lease from here

log = logging.getLogger(__name__)

WATCH_TIMEOUT = seconds(10)
# Delay after a request to the store that failed.
RETRY_INTERVAL = seconds(0.3)
# Delay after an election that another node won.
LOST_ELECTION_RETRY_INTERVAL = seconds(0.1)
# Delay after reading a leader's record that can't be decoded.
UNREADABLE_RECORD_RETRY_INTERVAL = seconds(1)
# Delay of the candidacy of a node that the workers can't reach.
UNREACHABLE_NODE_CANDIDACY_DELAY = seconds(1.5)
# Delay of the candidacy of a node whose previous process was the leader.
RESTART_CANDIDACY_DELAY = seconds(0.5)
# Minimum interval between the leader's queries about missed workers.
REACHABILITY_QUERY_INTERVAL = seconds(2)

# Performs the leader's work for one term; cancelled when the term ends.
RunLeaderTerm = Callable[[LeaderLease], Coroutine[None, None, None]]


class LeaderElection:
    """One node's part in the election.

    Attributes:
        leader: The leader's record as this node last read it; None if there was none.
        leader_lease: This node's lease while it leads, else None.
        failed_terms: Number of terms of this node that ended by an unexpected error.
        on_leadership_uncertain: Called, with the current instant, while neither the store nor a peer can confirm that
            this node still leads.
        on_leadership_confirmed: Called when a lease renewal succeeds again.
        on_term_observed: Called with the term of each new leader's record, including this node's own.
    """

    def __init__(
        self,
        settings: Settings,
        kv_store: KeyValueStoreClient,
        run_leader_term: RunLeaderTerm,
        fetch_peer_leader: FetchPeerLeader,
        probe_workers: ProbeWorkers,
    ) -> None:
        """Prepare to take part in elections, once `run` is called.

        Args:
            settings: This node's settings.
            kv_store: The store's client.
            run_leader_term: Performs this node's work while it leads.
            fetch_peer_leader: Queries the other controllers for the latest leader that they know.
            probe_workers: Determines which workers this node can reach, and which send it heartbeats.
        """
        self.settings = settings
        self.kv_store = kv_store
        self.leader: LeaderRecord | None = None
        self.leader_lease: LeaderLease | None = None
        self.failed_terms = 0
        self.on_leadership_uncertain: Callable[[datetime], None] = lambda now: None
        self.on_leadership_confirmed: Callable[[], None] = lambda: None
        self.on_term_observed: Callable[[int], None] = lambda term: None
        self._run_leader_term = run_leader_term
        self._fetch_peer_leader = fetch_peer_leader
        self._worker_reachability = WorkerReachability(settings.name, kv_store, probe_workers)

    async def run(self) -> None:
        """Take part in elections, and answer queries about workers, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._campaign_or_follow())
            group.create_task(self._worker_reachability.answer_queries())

    def end_candidacy_delay(self) -> None:
        """Stop delaying this node's candidacy, because a worker's heartbeat has arrived."""
        self._worker_reachability.end_candidacy_delay()

    def discard_leader(self) -> None:
        """Discard the leader's record after a pause of the process, since another node may lead by now.

        Otherwise workers might be redirected to a node that does not lead any more.
        """
        if self.leader_lease is None:
            self.leader = None

    async def resign_if_better_connected_node(
        self, worker_addresses: dict[str, str], list_missed_workers: ListMissedWorkers
    ) -> None:
        """Resign if another node can reach workers whose heartbeats this leader misses, and this node can't.

        Right after the end of a partition that affected all nodes, other nodes reach these workers, but so does this
        one. Workers that sent heartbeats to another node were redirected here a second ago or more; if this leader
        still misses them, their heartbeats can't reach it.

        Args:
            worker_addresses: The addresses of the workers to query about, by worker name.
            list_missed_workers: Returns the workers whose heartbeats are missed at the time of the call.
        """
        leader_lease = self.leader_lease
        if leader_lease is None or not leader_lease.is_valid():
            return
        better_node = await self._worker_reachability.find_better_connected_node(
            leader_lease, worker_addresses, list_missed_workers
        )
        if better_node is None:
            await sleep(REACHABILITY_QUERY_INTERVAL)
        else:
            await self._resign(leader_lease, f"{better_node} reaches workers whose heartbeats this node misses")

    # -- following ----------------------------------------------------------------------------

    async def _campaign_or_follow(self) -> None:
        revision, is_leader_key_deleted = 0, False
        while True:
            try:
                if not is_leader_key_deleted:
                    revision = await self._read_leader()
                if self._is_stale_lease_of_this_node() and not await self._revoke_stale_lease():
                    await sleep(RESTART_CANDIDACY_DELAY)
                    revision = await self._read_leader()
                is_leader_key_deleted = False
                if self.leader is None and self._worker_reachability.is_candidacy_delayed():
                    await sleep(UNREACHABLE_NODE_CANDIDACY_DELAY)
                    revision = await self._read_leader()
                if self.leader is None:
                    leader_lease = await self._try_acquire_leadership()
                    if leader_lease is not None:
                        await self._hold_leadership(leader_lease)
                    continue
                is_leader_key_deleted = await self._follow_leader(revision)
            except (StoreError, Unreachable, LeaseExpired) as error:
                log.debug("election request failed: error=%s", error)
                await sleep(RETRY_INTERVAL)
            except (msgspec.ValidationError, TypeError, ValueError) as error:
                # No node can lead until the record can be decoded, but users are still served: an exception here would
                # end the process of every controller in turn.
                log.error("leader record unreadable: error=%s", error)
                await sleep(UNREADABLE_RECORD_RETRY_INTERVAL)

    async def _read_leader(self) -> int:
        """Read the leader's record; return the store's revision at the time of the read."""
        entries, revision = await self.kv_store.scan(LEADER_ELECTION_PREFIX)
        self._apply_leader_record(next((e.value for e in entries if e.key == LEADER_KEY), None))
        return revision

    def _apply_leader_record(self, value: object) -> None:
        record = None if value is None else msgspec.convert(value, LeaderRecord)
        if record is not None and (self.leader is None or record.term != self.leader.term):
            log.info("leader observed: name=%s term=%d", record.name, record.term)
            self.on_term_observed(record.term)
        self.leader = record

    def _is_stale_lease_of_this_node(self) -> bool:
        """Whether the leader's record is from an earlier process of this node, or an earlier term of this process."""
        return self.leader is not None and self.leader.name == self.settings.name and self.leader_lease is None

    async def _revoke_stale_lease(self) -> bool:
        """Revoke the earlier lease of this node.

        Returns:
            Whether the earlier process had a lower feature level, that is, whether this node has been upgraded.
        """
        assert self.leader is not None
        log.info("revoking stale lease: term=%d", self.leader.term)
        await self.kv_store.revoke_lease(self.leader.lease_id)
        is_upgraded = self.leader.feature_level < FEATURE_LEVEL
        self.leader = None
        return is_upgraded

    async def _follow_leader(self, revision: int) -> bool:
        """Watch until there is no leader, or the leader's record has to be read again.

        Returns:
            Whether the watch reported the deletion of the leader's key.
        """
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
                    if self._is_stale_lease_of_this_node():
                        # The earlier process ended before its election request was executed.
                        return False
                elif event.key == REACHABILITY_QUERY_KEY and event.value is not None:
                    self._worker_reachability.receive_query(event.value)
        return is_leader_key_deleted

    # -- leading ------------------------------------------------------------------------------

    async def _try_acquire_leadership(self) -> LeaderLease | None:
        """Try to create the leader's key; None if another node won, or if it is uncertain whether this node did."""
        sent_at = monotonic_now()
        lease_id, term_entry = await gather_pair(self.kv_store.grant_lease(LEASE_TTL), self.kv_store.get(TERM_KEY))
        term = 1 if term_entry is None else int(term_entry.value) + 1
        record = LeaderRecord(self.settings.name, self.settings.peer_address, term, lease_id, FEATURE_LEVEL)
        guards = [(LEADER_KEY, 0), (TERM_KEY, 0 if term_entry is None else term_entry.version)]
        ops = [put(LEADER_KEY, msgspec.to_builtins(record), lease_id), put(TERM_KEY, term)]

        async def confirm_election() -> int | None:
            entry = await self.kv_store.get(LEADER_KEY)
            is_this_lease = entry is not None and isinstance(entry.value, dict) and entry.value.get("lease") == lease_id
            return entry.version if entry is not None and is_this_lease else None

        try:
            version = await commit_or_confirm(self.kv_store, guards, ops, confirm_election)
        except CompareFailed:
            await sleep(LOST_ELECTION_RETRY_INTERVAL)
            return None
        except Unreachable:
            # The request may have been executed, which a read of the key shows. If it is executed later, the key is
            # deleted when its lease expires, because nothing renews that lease.
            confirmed_version = await confirm_election()
            if confirmed_version is None:
                return None
            version = confirmed_version
        self.leader = record
        self.on_term_observed(term)
        return LeaderLease(term, lease_id, version, sent_at)

    async def _hold_leadership(self, leader_lease: LeaderLease) -> None:
        """Lead until the lease has expired or this node resigns."""
        log.info("leader elected: term=%d", leader_lease.term)
        self.leader_lease = leader_lease
        renewer = LeaseRenewer(
            self.kv_store,
            leader_lease,
            fetch_peer_leader=self._fetch_peer_leader,
            on_uncertain=self.on_leadership_uncertain,
            on_confirmed=self.on_leadership_confirmed,
        )
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(renewer.run())
                group.create_task(self._wait_until_ended(leader_lease))
                group.create_task(self._run_leader_term(leader_lease))
        except* LeadershipEnded:
            pass
        except* Exception:
            # An unexpected error must not stop the users' API on this node: another node can lead.
            log.exception("leader term failed: term=%d", leader_lease.term)
            leader_lease.end("unexpected error, see the traceback above")
            self.failed_terms += 1
            await sleep(LEASE_TTL)
        finally:
            leader_lease.end("leader term cancelled")
            self.leader_lease = None
            # A node that can't reach the store can still redirect workers to the leader that a peer reported.
            self.leader = renewer.successor
            log.info("leader stepped down: term=%d reason=%s", leader_lease.term, leader_lease.end_reason)

    async def _wait_until_ended(self, leader_lease: LeaderLease) -> None:
        await leader_lease.ended.wait()
        raise LeadershipEnded(leader_lease.end_reason)

    async def _resign(self, leader_lease: LeaderLease, reason: str) -> None:
        self._worker_reachability.delay_candidacy()
        # The lease ends locally first, so that nothing is sent under this term once another node can be elected.
        leader_lease.end(reason)
        try:
            await self.kv_store.revoke_lease(leader_lease.lease_id)
        except (StoreError, Unreachable) as error:
            log.debug("lease revocation failed, left to expire: error=%s", error)
