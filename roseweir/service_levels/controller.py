"""The leader's service level account: restored at failover, saved, fed with other nodes' rejected requests, logged."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec

from roseweir.clock import ZERO, monotonic_now, sleep, utc_now_ms
from roseweir.cloud.liveness import silence_timeout
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, Entry, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import WatchEvent, put
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.service_levels.accounting import ServiceLevelAccount
from roseweir.service_levels.errors import ServiceLevelError
from roseweir.service_levels.largest_jobs import format_largest
from roseweir.service_levels.messages import RejectedRequests, service_level_view
from roseweir.service_levels.service_level import (
    MIN_SERVED_FRACTION,
    TeamAndClass,
    format_service_level,
    sum_by_class,
    sum_by_team,
)
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, decode_completed_job

log = logging.getLogger(__name__)

ACCOUNT_KEY = "served/account"
# The part of the largest value that the stored account may take.
MAX_VALUE_FILL = 0.9
# The most that it takes where the store allows larger values.
MAX_VALUE_BYTES = 8 * 1024
# The key-value store keeps its last 10,000 changes: the account is written again long before it is that old.
MAX_RECORD_AGE_REVISIONS = 2000
EVALUATION_INTERVAL = timedelta(seconds=1)
SAVE_INTERVAL = timedelta(seconds=10)
GATHER_INTERVAL = timedelta(seconds=10)
REPORT_INTERVAL = timedelta(seconds=60)


@dataclass(slots=True)
class LoadResult:
    """What a new leader reads: the stored account, and the ends since (None: the store does not keep them any more)."""

    record: Entry | None
    ends: list[WatchEvent] | None


# Asks all nodes for their rejected requests, by node name.
GatherRejectedRequests = Callable[[], Awaitable[dict[str, RejectedRequests]]]


class ServiceLevelController:
    """Keeps the service level account for one term of a leader."""

    def __init__(
        self,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_version: int,
        step_down: Callable[[str], None],
        gather_rejected: GatherRejectedRequests,
    ) -> None:
        self.account = ServiceLevelAccount()
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self._leader_version = leader_version
        self._step_down = step_down
        self._gather_rejected_requests = gather_rejected
        self._record_version = 0
        self._seen_rejected_requests: dict[tuple[str, str], dict[TeamAndClass, int]] = {}
        self._started_at = monotonic_now()
        self._saved_revision = 0
        self.watched_revision = 0  # store revision up to which the watch on live jobs has reported

    # -- failover -----------------------------------------------------------------------------

    def begin(self, revision: int) -> None:
        """Count the live jobs of the rebuilt cluster state; the watch on live jobs continues from `revision`."""
        self.watched_revision = revision
        for run in self.cluster_state.jobs.values():
            if not run.final_state:
                self.account.add_job(run.spec)
                self.account.live_jobs[run.spec.id].is_inherited = True

    async def _load_record(self) -> None:
        """Read the stored account until that succeeds; the start of the leader's term does not wait for it."""
        first_revision = self.watched_revision
        while True:
            try:
                self._restore(await self._read_record(), first_revision)
                return
            except (StoreError, Unreachable) as e:
                log.debug("service level account not read: error=%s", e)
            await sleep(EVALUATION_INTERVAL)

    async def _read_record(self) -> "LoadResult":
        """Read the stored account, and the ends since it was stored."""
        entry = await self.kv_store.get(ACCOUNT_KEY)
        # Without one, none was stored yet: the store's history has all ends, or the deployment is older than it.
        through = 0 if entry is None else int(entry.value.get("through", 0))
        changes = await self.kv_store.watch(COMPLETED_JOB_PREFIX, through, ZERO)
        return LoadResult(entry, None if changes is None else changes[0])

    def _restore(self, loaded: "LoadResult", revision: int) -> None:
        """Add what was read to the account; `revision`: from which the watch on live jobs continued."""
        if loaded.record is not None:
            self._record_version = loaded.record.version
        ends = [item for item in loaded.ends or () if item.value is not None]
        try:
            if loaded.record is not None:
                self.account.decode(loaded.record.value)
            ended_jobs = [
                (item.key.removeprefix(COMPLETED_JOB_PREFIX), decode_completed_job(item.value), item.version)
                for item in ends
            ]
            self.account.apply_missed_ends(ended_jobs, revision)
        except (ServiceLevelError, msgspec.ValidationError, KeyError, TypeError, ValueError) as e:
            # Only reports to operators depend on the account: the leader continues without it.
            log.warning("service level account unreadable, starting an empty one: error=%r", e)
            self.account.gap_count += 1
        if loaded.ends is None:
            log.warning("service level account incomplete: ends since it was last written are not kept any more")
            self.account.gap_count += 1

    # -- the term -----------------------------------------------------------------------------

    async def run(self) -> None:
        """Restore the account, then update, save and log it at their intervals, until cancelled."""
        await self._load_record()
        last_saved = last_gathered = last_reported = monotonic_now()
        while True:
            await sleep(EVALUATION_INTERVAL)
            now = monotonic_now()
            self._update_account()
            await self._resolve_unknown_outcomes()
            if now - last_gathered >= GATHER_INTERVAL:
                last_gathered = now
                await self._count_rejected_requests()
            is_record_old = self.watched_revision - self._saved_revision > MAX_RECORD_AGE_REVISIONS
            if (
                now - last_saved >= SAVE_INTERVAL
                and not self.account.jobs_with_unknown_outcome
                and (self.account.has_unsaved_changes or is_record_old)
            ):
                last_saved = now
                await self._save()
            if now - last_reported >= REPORT_INTERVAL:
                last_reported = now
                self.log_service_levels()

    async def _resolve_unknown_outcomes(self) -> None:
        """Look up the outcomes of the jobs whose end the watch reported first."""
        for job_id in list(self.account.jobs_with_unknown_outcome):
            try:
                entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
            except (StoreError, Unreachable):
                return
            if entry is not None:
                self.account.record_outcome(job_id, decode_completed_job(entry.value).state)

    async def _count_rejected_requests(self) -> None:
        for node, rejected in (await self._gather_rejected_requests()).items():
            counts = rejected.counts_by_team_and_class()
            previous = self._seen_rejected_requests.get((node, rejected.instance_id))
            if previous is None and rejected.uptime_s > (monotonic_now() - self._started_at).total_seconds():
                previous = counts  # an earlier leader has counted these
            self._seen_rejected_requests[node, rejected.instance_id] = counts
            self.account.add_rejected_requests({row: n - (previous or {}).get(row, 0) for row, n in counts.items()})

    async def _save(self) -> None:
        self.account.has_unsaved_changes = False
        value = self.account.encode(
            self.watched_revision,
            int(min(self.kv_store.transaction_limits.max_value_bytes, MAX_VALUE_BYTES) * MAX_VALUE_FILL),
        )
        self._saved_revision = self.watched_revision
        try:
            guards = [(LEADER_KEY, self._leader_version), (ACCOUNT_KEY, self._record_version)]
            self._record_version = await self.kv_store.compare_and_swap(guards, [put(ACCOUNT_KEY, value)])
            return
        except CompareFailed as e:
            if LEADER_KEY in e.failed_keys:
                self._step_down("the leader's key has changed")
                return
        except (StoreError, Unreachable) as e:
            log.debug("service level account not written: error=%s", e)
        self.account.has_unsaved_changes = True
        try:
            # Only this leader's own write, whose answer was lost, can be there.
            entry = await self.kv_store.get(ACCOUNT_KEY)
            self._record_version = 0 if entry is None else entry.version
        except (StoreError, Unreachable):
            pass

    # -- reports ------------------------------------------------------------------------------

    def _update_account(self) -> None:
        is_settled = monotonic_now() - self._started_at > silence_timeout(self.cluster_state)
        self.account.update_started(self.cluster_state.jobs, utc_now_ms(), is_settled)

    def describe(self) -> dict[str, Any]:
        """Return the answer to `served` (see `service_level_view`)."""
        self._update_account()
        return service_level_view(
            self.account.service_levels(self.cluster_state.jobs),
            self.account.gap_count,
            self.account.largest_job_counts(),
        )

    def summary(self) -> dict[str, Any]:
        """Return the part of `status`: a line for each class, and the teams of which less than half is served."""
        levels = self.account.service_levels(self.cluster_state.jobs)
        classes = [format_service_level(name, level) for name, level in sum_by_class(levels).items()]
        classes += [format_largest(name, size) for name, size in self.account.largest_job_counts().items()]
        return {
            "served": classes,
            "teams_under_half": [
                n for n, level in sum_by_team(levels).items() if level.served_fraction < MIN_SERVED_FRACTION
            ],
        }

    def log_service_levels(self) -> None:
        """Log every class, its largest jobs, and the teams of which less than half is served."""
        levels = self.account.service_levels(self.cluster_state.jobs)
        for name, level in sum_by_class(levels).items():
            log.info("service level: class %s", format_service_level(name, level))
        for name, size in self.account.largest_job_counts().items():
            log.info("service level: class %s", format_largest(name, size))
        for name, level in sum_by_team(levels).items():
            if level.served_fraction < MIN_SERVED_FRACTION:
                log.info("service level: team %s", format_service_level(name, level))


async def gather_rejected_requests(
    requests_by_node: dict[str, Callable[[], Awaitable[Any]]],
) -> dict[str, RejectedRequests]:
    """Ask every node for its rejected requests.

    Returns the answers by node name; a node that does not answer is left out, and asked again the next time.
    """
    responses: dict[str, RejectedRequests] = {}

    async def ask(name: str, each: Callable[[], Awaitable[Any]]) -> None:
        try:
            responses[name] = msgspec.convert(await each(), RejectedRequests)
        except (Unreachable, msgspec.ValidationError) as e:
            log.debug("rejected requests unknown: node=%s error=%s", name, e)

    await asyncio.gather(*(ask(name, request) for name, request in requests_by_node.items()))
    return responses
