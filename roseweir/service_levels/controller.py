"""The leader's side of the account: carries it through a take-over, gathers what other nodes sent away, tells it."""

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
from roseweir.service_levels.accounting import (
    MIN_SERVED_FRACTION,
    ServiceLevelAccount,
    TeamAndClass,
    format_service_level,
    sum_by,
)
from roseweir.service_levels.largest_jobs import format_largest
from roseweir.service_levels.messages import RejectedRequests, service_level_view
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, decode_completed_job

log = logging.getLogger(__name__)

ACCOUNT_KEY = "served/account"
# The record's part of a value, and the most that it takes of a large one.
MAX_VALUE_FILL, MAX_VALUE_BYTES = 0.9, 8 * 1024
# The state service tells of its last 10,000 changes: the record is written anew long before it is so old.
MAX_RECORD_AGE_REVISIONS = 2000
EVALUATION_INTERVAL, SAVE_INTERVAL, GATHER_INTERVAL, REPORT_INTERVAL = (
    timedelta(seconds=1),
    timedelta(seconds=10),
    timedelta(seconds=10),
    timedelta(seconds=60),
)


@dataclass(slots=True)
class LoadResult:
    """What a new leader reads: the record, and the changes of ends since; None if those are not kept any more."""

    record: Entry | None
    ends: list[WatchEvent] | None


# What each node sent away, by its name.
GatherRejectedRequests = Callable[[], Awaitable[dict[str, RejectedRequests]]]


class ServiceLevelController:
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
        self.watched_revision = 0  # up to which the watch on live jobs has told

    # -- taking over --------------------------------------------------------------------------

    def begin(self, revision: int) -> None:
        """The board is rebuilt, and the watch on live jobs goes on from this revision."""
        self.watched_revision = revision
        for run in self.cluster_state.jobs.values():
            if not run.final_state:
                self.account.add_job(run.spec)
                self.account.live_jobs[run.spec.id].is_inherited = True

    async def _load_record(self) -> None:
        """Beside the leader's first steps, which do not wait for it."""
        first_revision = self.watched_revision
        while True:
            try:
                self._restore(await self._read_record(), first_revision)
                return
            except (StoreError, Unreachable) as e:
                log.debug("the account of who was served was not read: %s", e)
            await sleep(EVALUATION_INTERVAL)

    async def _read_record(self) -> "LoadResult":
        """The record, and what ended since."""
        entry = await self.kv_store.get(ACCOUNT_KEY)
        # Without a record: none was written yet, and all ends are still told of, or this deployment is older than it.
        through = 0 if entry is None else int(entry.value.get("through", 0))
        changes = await self.kv_store.watch(COMPLETED_JOB_PREFIX, through, ZERO)
        return LoadResult(entry, None if changes is None else changes[0])

    def _restore(self, loaded: "LoadResult", revision: int) -> None:
        """`revision`: from which the watch on live jobs went on."""
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
        except (msgspec.ValidationError, KeyError, TypeError, ValueError) as e:
            # Nothing but operators' knowledge rests on it: a leader leads without.
            log.warning("the account of who was served can't be read, and begins anew: %r", e)
            self.account.gap_count += 1
        if loaded.ends is None:
            log.warning("the account of who was served lacks the ends since it was last written")
            self.account.gap_count += 1

    # -- the term -----------------------------------------------------------------------------

    async def run(self) -> None:
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
        """How those ended of which the watch was the first to tell."""
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
                previous = counts  # an earlier leader has counted those
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
            log.debug("the account of who was served was not written: %s", e)
        self.account.has_unsaved_changes = True
        try:
            # Only this leader's own unanswered write can be there.
            entry = await self.kv_store.get(ACCOUNT_KEY)
            self._record_version = 0 if entry is None else entry.version
        except (StoreError, Unreachable):
            pass

    # -- told ---------------------------------------------------------------------------------

    def _update_account(self) -> None:
        is_settled = monotonic_now() - self._started_at > silence_timeout(self.cluster_state)
        self.account.update_started(self.cluster_state.jobs, utc_now_ms(), is_settled)

    def describe(self) -> dict[str, Any]:
        self._update_account()
        return service_level_view(
            self.account.service_levels(self.cluster_state.jobs),
            self.account.gap_count,
            self.account.largest_job_counts(),
        )

    def summary(self) -> dict[str, Any]:
        """For `status`: a line for each class, and the teams of which less than half is served."""
        levels = self.account.service_levels(self.cluster_state.jobs)
        classes = [format_service_level(name, level) for name, level in sum_by(1, levels).items()]
        classes += [format_largest(name, size) for name, size in self.account.largest_job_counts().items()]
        return {
            "served": classes,
            "teams_under_half": [
                n for n, level in sum_by(0, levels).items() if level.served_fraction < MIN_SERVED_FRACTION
            ],
        }

    def log_service_levels(self) -> None:
        levels = self.account.service_levels(self.cluster_state.jobs)
        for name, level in sum_by(1, levels).items():
            log.info("served: class %s", format_service_level(name, level))
        for name, size in self.account.largest_job_counts().items():
            log.info("served: class %s", format_largest(name, size))
        for name, level in sum_by(0, levels).items():
            if level.served_fraction < MIN_SERVED_FRACTION:
                log.info("served: team %s", format_service_level(name, level))


async def gather_rejected_requests(
    requests_by_node: dict[str, Callable[[], Awaitable[Any]]],
) -> dict[str, RejectedRequests]:
    """Ask every node; one that does not answer is asked again later."""
    responses: dict[str, RejectedRequests] = {}

    async def ask(name: str, each: Callable[[], Awaitable[Any]]) -> None:
        try:
            responses[name] = msgspec.convert(await each(), RejectedRequests)
        except (Unreachable, msgspec.ValidationError) as e:
            log.debug("what %s sent away is not known: %s", name, e)

    await asyncio.gather(*(ask(name, request) for name, request in requests_by_node.items()))
    return responses
