"""Election of the leader: standing for election, following the leader that is elected, and holding its lease.

The term rises with each election, in the same transaction that takes the leader's key.

The leader should be a node that workers reach. A leader that misses the heartbeats of most workers asks the others
(`worker_reachability.py`), and resigns if one of them reaches these workers. Only such an answer makes it resign: in a
partitioned zone, or when the workers are gone, nobody can give it. Nodes out of the workers' reach let the others stand
first.

A process that crashed may be back within a fraction of a second, and find the lease of the process before it. That
lease gives it no rights: the term is another's, and nothing is done under it. Nor does it wait for its expiry: only a
process that holds this node's address looks for it, so the earlier process is gone, and the lease is revoked at once.
Even if that process were alive, nothing rests on its lease alone: its writes are guarded by the key that is deleted
with the lease, workers that have seen the next term drop its answers, and what it had recorded counts for its successor
until they have. The others stand first: a node that crashes again and again leads only where nobody else can, and
elections are RESTART_CANDIDACY_DELAY apart at least.

During an upgrade every process of the old version is about to end, so that the election of one of them is soon followed
by another. Versions store their feature level with the leader's key. A process that finds an earlier process of its
node with a lower level was just upgraded: it does not let the others stand first, which happens once per process and
level. And a node that sees the leader's key deleted stands at once, without reading it again: the election's own guards
decide.
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
# After a request to the store that failed.
RETRY_INTERVAL = seconds(0.3)
# After an election that another node won.
LOST_ELECTION_RETRY_INTERVAL = seconds(0.1)
# After a leader's record that can't be decoded.
UNREADABLE_RECORD_RETRY_INTERVAL = seconds(1)
# A node that did not reach the workers stands this much later than the others,
STANDBY_CANDIDACY_DELAY = seconds(1.5)
# and one whose earlier process led this much.
RESTART_CANDIDACY_DELAY = seconds(0.5)
# The leader queries the others about workers no more often than this.
REACHABILITY_QUERY_INTERVAL = seconds(2)

# What a leader does for one term; cancelled as the term ends.
RunLeaderTerm = Callable[[LeaderLease], Coroutine[None, None, None]]


class LeaderElection:
    """One node's part in the election.

    Attributes:
        leader: The leader as last known to this node; None if none is known.
        leader_lease: This node's lease while it leads, else None.
        failed_terms: Number of terms of this node that ended by an unexpected error.
        on_leadership_uncertain: Called, with the current instant, while this leader can ask nobody whether it leads.
        on_leadership_confirmed: Called when it is sure again.
        on_term_observed: Called with each term that the store is seen to hold.
    """

    def __init__(
        self,
        settings: Settings,
        kv_store: KeyValueStoreClient,
        run_leader_term: RunLeaderTerm,
        fetch_peer_leader: FetchPeerLeader,
        probe_workers: ProbeWorkers,
    ) -> None:
        """Prepare to take part, once `run` is called.

        Args:
            settings: This node's settings.
            kv_store: The store's client.
            run_leader_term: What this node does while it leads.
            fetch_peer_leader: Asks the other controllers for the leader they know.
            probe_workers: Finds out which workers reach this node.
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

    def end_standby(self) -> None:
        """Stop letting the others stand first: a worker's heartbeat has arrived."""
        self._worker_reachability.end_standby()

    def forget_leader(self) -> None:
        """Forget who leads after a pause of the process, so that no worker is redirected to a leader of the past."""
        if self.leader_lease is None:
            self.leader = None

    async def resign_if_better_connected_node(
        self, worker_addresses: dict[str, str], list_missed_workers: ListMissedWorkers
    ) -> None:
        """Resign if another node reaches workers whose heartbeats this leader misses, and this node does not.

        Right after a partition of all nodes others reach them too, and so does this one. Those that came to another
        node were redirected here a second ago or more; if they are missed still, their heartbeats do not get through.

        Args:
            worker_addresses: The workers to ask about, by name.
            list_missed_workers: The workers that are missed at the time of the call.
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
                if self._is_own_stale_lease() and not await self._revoke_stale_lease():
                    await sleep(RESTART_CANDIDACY_DELAY)
                    revision = await self._read_leader()
                is_leader_key_deleted = False
                if self.leader is None and self._worker_reachability.is_standing_by():
                    await sleep(STANDBY_CANDIDACY_DELAY)
                    revision = await self._read_leader()
                if self.leader is None:
                    leader_lease = await self._try_acquire_leadership()
                    if leader_lease is not None:
                        await self._hold_leadership(leader_lease)
                    continue
                is_leader_key_deleted = await self._follow_leader(revision)
            except (StoreError, Unreachable, LeaseExpired) as e:
                log.debug("election request failed: error=%s", e)
                await sleep(RETRY_INTERVAL)
            except (msgspec.ValidationError, TypeError, ValueError) as e:
                # Nobody can lead before it can be read, but users are served: it ended every controller in turn.
                log.error("leader record unreadable: error=%s", e)
                await sleep(UNREADABLE_RECORD_RETRY_INTERVAL)

    async def _read_leader(self) -> int:
        """Read who leads; return the store's revision as of then."""
        entries, revision = await self.kv_store.scan(LEADER_ELECTION_PREFIX)
        self._apply_leader_record(next((e.value for e in entries if e.key == LEADER_KEY), None))
        return revision

    def _apply_leader_record(self, value: object) -> None:
        record = None if value is None else msgspec.convert(value, LeaderRecord)
        if record is not None and (self.leader is None or record.term != self.leader.term):
            log.info("leader observed: name=%s term=%d", record.name, record.term)
            self.on_term_observed(record.term)
        self.leader = record

    def _is_own_stale_lease(self) -> bool:
        """The key names this node, and it leads no term: an earlier process, or an earlier term of this one."""
        return self.leader is not None and self.leader.name == self.settings.name and self.leader_lease is None

    async def _revoke_stale_lease(self) -> bool:
        """Revoke the earlier process's lease; return whether that was of a lower level: this one was upgraded."""
        assert self.leader is not None
        log.info("revoking stale lease: term=%d", self.leader.term)
        await self.kv_store.revoke_lease(self.leader.lease_id)
        is_upgraded = self.leader.feature_level < FEATURE_LEVEL
        self.leader = None
        return is_upgraded

    async def _follow_leader(self, revision: int) -> bool:
        """Watch until nobody leads, or the leader has to be read again; return whether its key was seen deleted."""
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
                        # Its election was still in flight as the earlier process ended.
                        return False
                elif event.key == REACHABILITY_QUERY_KEY and event.value is not None:
                    self._worker_reachability.receive_query(event.value)
        return is_leader_key_deleted

    # -- leading ------------------------------------------------------------------------------

    async def _try_acquire_leadership(self) -> LeaderLease | None:
        """Stand for election; None if another node won it, or it can't be told whether this one did."""
        sent_at = monotonic_now()
        lease_id, term_entry = await gather_pair(self.kv_store.grant_lease(LEASE_TTL), self.kv_store.get(TERM_KEY))
        term = 1 if term_entry is None else int(term_entry.value) + 1
        record = LeaderRecord(self.settings.name, self.settings.peer_address, term, lease_id, FEATURE_LEVEL)
        guards = [(LEADER_KEY, 0), (TERM_KEY, 0 if term_entry is None else term_entry.version)]
        ops = [put(LEADER_KEY, msgspec.to_builtins(record), lease_id), put(TERM_KEY, term)]

        async def confirm_election() -> int | None:
            found = await self.kv_store.get(LEADER_KEY)
            is_own = found is not None and isinstance(found.value, dict) and found.value.get("lease") == lease_id
            return found.version if found is not None and is_own else None

        try:
            version = await commit_or_confirm(self.kv_store, guards, ops, confirm_election)
        except CompareFailed:
            await sleep(LOST_ELECTION_RETRY_INTERVAL)
            return None
        except Unreachable:
            # It may have been carried out: the key tells. If it is carried out later, the key expires with its lease.
            found = await confirm_election()
            if found is None:
                return None
            version = found
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
            # A fault of ours must not take the users' API down with it: another node may lead.
            log.exception("leader term failed: term=%d", leader_lease.term)
            leader_lease.end("a fault, see above")
            self.failed_terms += 1
            await sleep(LEASE_TTL)
        finally:
            leader_lease.end("ended")
            self.leader_lease = None
            # A node that can't reach the store can still redirect workers, until it reads for itself.
            self.leader = renewer.successor
            log.info("leader stepped down: term=%d reason=%s", leader_lease.term, leader_lease.end_reason)

    async def _wait_until_ended(self, leader_lease: LeaderLease) -> None:
        await leader_lease.ended.wait()
        raise LeadershipEnded(leader_lease.end_reason)

    async def _resign(self, leader_lease: LeaderLease, reason: str) -> None:
        self._worker_reachability.enter_standby()
        # Nothing is sent under this term any more before others may take the key.
        leader_lease.end(reason)
        try:
            await self.kv_store.revoke_lease(leader_lease.lease_id)
        except (StoreError, Unreachable) as e:
            log.debug("lease revocation failed, left to expire: error=%s", e)
