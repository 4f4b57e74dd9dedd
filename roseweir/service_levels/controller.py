"""Runs the leader's service level account: restores it at failover, adds rejected requests, saves and logs it."""

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
# The fraction of the store's maximum value size that the stored account may use.
MAX_VALUE_FILL = 0.9
# Upper bound for the stored account where the store allows larger values.
MAX_VALUE_BYTES = 8 * 1024
# The key-value store keeps its last 10,000 changes: the account is saved again long before it is that old.
MAX_RECORD_AGE_REVISIONS = 2000
EVALUATION_INTERVAL = timedelta(seconds=1)
SAVE_INTERVAL = timedelta(seconds=10)
GATHER_INTERVAL = timedelta(seconds=10)
REPORT_INTERVAL = timedelta(seconds=60)


@dataclass(slots=True)
class LoadResult:
    """The stored account, and the ends since it was saved (None: the store no longer has them)."""

    record: Entry | None
    ends: list[WatchEvent] | None


# Fetches the rejected requests of all nodes, by node name.
GatherRejectedRequests = Callable[[], Awaitable[dict[str, RejectedRequests]]]


class ServiceLevelController:
    """Keeps the service level account for one term of a leader."""

    def __init__(
        self,
        cluster_state: ClusterState,
        kv_store: KeyValueStoreClient,
        leader_key_version: int,
        step_down: Callable[[str], None],
        gather_rejected: GatherRejectedRequests,
    ) -> None:
        self.account = ServiceLevelAccount()
        self.cluster_state = cluster_state
        self.kv_store = kv_store
        self._leader_key_version = leader_key_version
        self._step_down = step_down
        self._gather_rejected_requests = gather_rejected
        self._record_version = 0
        self._last_rejected_requests: dict[tuple[str, str], dict[TeamAndClass, int]] = {}
        self._started_at = monotonic_now()
        self._saved_revision = 0
        self.watched_revision = 0  # store revision up to which the watch on live jobs has reported

    # -- failover -----------------------------------------------------------------------------

    def count_inherited_jobs(self, revision: int) -> None:
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
            except (StoreError, Unreachable) as error:
                log.debug("service level account not read: error=%s", error)
            await sleep(EVALUATION_INTERVAL)

    async def _read_record(self) -> "LoadResult":
        """Read the stored account, and the ends since it was stored."""
        entry = await self.kv_store.get(ACCOUNT_KEY)
        # Without a stored account, the ends are read from the store's first change on. If the store no longer keeps its
        # first changes, `ends` is None and the gap is counted.
        through = 0 if entry is None else int(entry.value.get("through", 0))
        changes = await self.kv_store.watch(COMPLETED_JOB_PREFIX, through, ZERO)
        return LoadResult(entry, None if changes is None else changes[0])

    def _restore(self, loaded: "LoadResult", revision: int) -> None:
        """Add the loaded account and ends; the watch on live jobs continued from `revision`."""
        if loaded.record is not None:
            self._record_version = loaded.record.version
        end_events = [event for event in loaded.ends or () if event.value is not None]
        try:
            if loaded.record is not None:
                self.account.decode(loaded.record.value)
            ended_jobs = [
                (event.key.removeprefix(COMPLETED_JOB_PREFIX), decode_completed_job(event.value), event.version)
                for event in end_events
            ]
            self.account.apply_missed_ends(ended_jobs, revision)
        except (ServiceLevelError, msgspec.ValidationError, KeyError, TypeError, ValueError) as error:
            # Only reports to operators depend on the account, so the leader continues without it.
            log.warning("service level account unreadable, starting an empty one: error=%r", error)
            self.account.gap_count += 1
        if loaded.ends is None:
            log.warning("service level account incomplete: the store no longer has the ends since the last save")
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
            previous = self._last_rejected_requests.get((node, rejected.instance_id))
            if previous is None and rejected.uptime_s > (monotonic_now() - self._started_at).total_seconds():
                previous = counts  # already counted by an earlier leader
            self._last_rejected_requests[node, rejected.instance_id] = counts
            self.account.add_rejected_requests(
                {row: count - (previous or {}).get(row, 0) for row, count in counts.items()}
            )

    async def _save(self) -> None:
        self.account.has_unsaved_changes = False
        value = self.account.encode(
            self.watched_revision,
            int(min(self.kv_store.transaction_limits.max_value_bytes, MAX_VALUE_BYTES) * MAX_VALUE_FILL),
        )
        self._saved_revision = self.watched_revision
        try:
            guards = [(LEADER_KEY, self._leader_key_version), (ACCOUNT_KEY, self._record_version)]
            self._record_version = await self.kv_store.compare_and_swap(guards, [put(ACCOUNT_KEY, value)])
            return
        except CompareFailed as error:
            if LEADER_KEY in error.failed_keys:
                self._step_down("the leader's key has changed")
                return
        except (StoreError, Unreachable) as error:
            log.debug("service level account not written: error=%s", error)
        self.account.has_unsaved_changes = True
        try:
            # While the leader's key is unchanged, only this leader writes the account: a newer version is that of its
            # own write whose response was lost. Version 0 means that there is no account yet.
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
        """Return this part of `status`: a line for each class, and the teams of which less than half is served."""
        levels = self.account.service_levels(self.cluster_state.jobs)
        classes = [format_service_level(name, level) for name, level in sum_by_class(levels).items()]
        classes += [format_largest(name, counts) for name, counts in self.account.largest_job_counts().items()]
        return {
            "served": classes,
            "teams_under_half": [
                team for team, level in sum_by_team(levels).items() if level.served_fraction < MIN_SERVED_FRACTION
            ],
        }

    def log_service_levels(self) -> None:
        """Log every class, its largest jobs, and the teams of which less than half is served."""
        levels = self.account.service_levels(self.cluster_state.jobs)
        for name, level in sum_by_class(levels).items():
            log.info("service level: class %s", format_service_level(name, level))
        for name, counts in self.account.largest_job_counts().items():
            log.info("service level: class %s", format_largest(name, counts))
        for name, level in sum_by_team(levels).items():
            if level.served_fraction < MIN_SERVED_FRACTION:
                log.info("service level: team %s", format_service_level(name, level))


async def gather_rejected_requests(
    requests_by_node: dict[str, Callable[[], Awaitable[Any]]],
) -> dict[str, RejectedRequests]:
    """Fetch the rejected requests of every node.

    Returns the answers by node name; a node that does not answer is left out until the next call.
    """
    responses: dict[str, RejectedRequests] = {}

    async def fetch(name: str, request: Callable[[], Awaitable[Any]]) -> None:
        try:
            responses[name] = msgspec.convert(await request(), RejectedRequests)
        except (Unreachable, msgspec.ValidationError) as error:
            log.debug("rejected requests not fetched: node=%s error=%s", name, error)

    await asyncio.gather(*(fetch(name, request) for name, request in requests_by_node.items()))
    return responses
