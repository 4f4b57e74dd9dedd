"""The users' API. Any node serves it; the state service has the last word on every answer.

No answer may be older than one that any node has given, so each poll waits for a read that was sent after
it came. Only an end is remembered: it never changes again. A live job that needs a cancelled one has ended with it,
whether that was recorded yet or not (`ancestors.py`).
"""

import asyncio
import logging
import re
from collections import OrderedDict, deque
from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any

import msgspec
import orjson

from roseweir import clock
from roseweir.clock import FOREVER, NEVER, monotonic_now
from roseweir.http import Request, Response, Unreachable, json_response
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import RateLimiter, delete, gather_all, put
from roseweir.kv_store.group_commit import GroupCommitter
from roseweir.settings import Settings
from roseweir.submissions.cancellation_propagation import CancellationResolver, DependencyIds
from roseweir.submissions.completed_jobs import CompletedJobReader
from roseweir.submissions.dependency_storage import fits_job_record, split_dependencies, split_part_keys_for_completion
from roseweir.submissions.dependency_validation import DependencyValidator
from roseweir.submissions.idempotency import WriteConfirmations
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    LIVE_JOB_PREFIX,
    JobSpec,
    MachineType,
    completed_job,
    decode_completed_job,
    decode_job_spec,
    decode_partial_job_spec,
    rejection_reason,
    to_stored,
)
from roseweir.submissions.live_job_cache import LiveJobCache, ProgressLookup
from roseweir.submissions.messages import JOB_ID, Submission, SubmissionId, status_response
from roseweir.submissions.read_budget import ReadBudget, ReadBudgetExhausted
from roseweir.submissions.task_bitmap import chunk_numbers, split_chunk_keys_for_completion

log = logging.getLogger(__name__)

RETRY_AFTER = timedelta(seconds=1)
BEST_EFFORT_RETRY_AFTER = timedelta(seconds=3)
# The part of the state service's changes that acceptances for teams without a guarantee may take; so many
# seconds' worth may come at once. The ends of their jobs can wait for the records of starts.
BEST_EFFORT_WRITE_SHARE, BEST_EFFORT_BURST_SECONDS = 0.4, 10.0
MAX_CACHED_TERMINAL_STATES = 20_000
# How old a view may be that tells a new job whether a job that it awaits is cancelled, and for how long a user waits
# for reads that tell it before the job is accepted.
MAX_CACHE_AGE, DEPENDENCY_CHECK_TIMEOUT = timedelta(seconds=5), timedelta(milliseconds=100)
# Teams and classes told apart; what is more is kept together.
MAX_REJECTION_ROWS, OTHER_ROW = 256, "*"
MAX_CANCEL_ATTEMPTS = 3
# States that a job does not leave.
TERMINAL_STATES = ("done", "cancelled")
# Cancelled jobs whose users were told last: so many are remembered for a leader that asks.
MAX_ACKNOWLEDGED_CANCELLATIONS = 2000

_JOB_ID_PATTERN = re.compile(JOB_ID)


def _raise_known_job_missing(job_id: str) -> Response:
    """Of a job that the state service has and then has not: the user asks again."""
    raise StoreError(f"known job {job_id} was not found")


class SubmissionHandlers:
    def __init__(self, settings: Settings, kv_store: KeyValueStoreClient, progress_lookup: ProgressLookup) -> None:
        self.kv_store = kv_store
        self.teams = {team.name: team for team in settings.params.teams}
        self._has_guaranteed_team = any(team.has_guarantee for team in self.teams.values())
        self.catalog: Sequence[MachineType] | None = None
        self.group_commit = GroupCommitter(kv_store, max_queued=8 * settings.params.kv_store.max_txn_ops)
        self.live_job_cache = LiveJobCache(kv_store, len(settings.peers) + 1, progress_lookup)
        self._write_confirmations = WriteConfirmations(kv_store, self.live_job_cache)
        self._terminal_states: OrderedDict[str, str] = OrderedDict()
        # When users were first told here that a job is cancelled. Before `began` others may have told.
        self.started_at = FOREVER
        self._acknowledged_cancellations: deque[tuple[datetime, str]] = deque()
        self._cancellations_complete_since = NEVER
        # Requests answered with a time to come back, by team and class, since this process started.
        self.rejection_counts: dict[tuple[str, str], int] = {}
        self._read_budget = ReadBudget(settings.params.kv_store.max_requests_per_s)
        completed_jobs = CompletedJobReader(
            kv_store, self._terminal_states, self._remember_terminal_state, self._read_budget
        )
        self._cancellation_resolver = CancellationResolver(
            kv_store,
            self.live_job_cache.live_jobs,
            completed_jobs,
            self._read_budget,
            self._remember_propagated_cancellation,
        )
        self._dependency_validator = DependencyValidator(
            kv_store, self.live_job_cache, completed_jobs, self._read_budget
        )
        best_effort_rate = (
            settings.params.kv_store.max_writes_per_s * BEST_EFFORT_WRITE_SHARE / (len(settings.peers) + 1)
        )
        self._best_effort_rate_limiter = RateLimiter(best_effort_rate, BEST_EFFORT_BURST_SECONDS)

    async def handle(self, request: Request) -> Response:
        try:
            return await self._route(request)
        except ReadBudgetExhausted:
            return json_response(429, {"error": "busy"}, RETRY_AFTER)
        except (StoreError, Unreachable) as e:
            log.debug("user request without an answer: %s", e)
            return json_response(503, {"error": "state service not reached"}, RETRY_AFTER)

    async def _route(self, request: Request) -> Response:
        path = request.path.partition("?")[0]
        if path == "/submissions":
            if request.method != "POST":
                return json_response(405, {"error": "POST only"})
            return await self._submit(request)
        job_id, _, action = path.removeprefix("/submissions/").partition("/")
        if action == "" and request.method == "GET":
            return await self._poll(job_id)
        if action == "cancel" and request.method == "POST":
            return await self._cancel(job_id)
        return json_response(404, {"error": "no such path"})

    # -- submissions --------------------------------------------------------------------------

    async def _submit(self, request: Request) -> Response:
        if request.is_too_large:
            return json_response(400, {"error": "body over 64 KiB"})
        try:
            value = orjson.loads(request.body)
        except orjson.JSONDecodeError:
            return json_response(400, {"error": "not JSON"})
        try:
            job_id = msgspec.convert(value, SubmissionId).id
        except msgspec.ValidationError as e:
            return json_response(400, {"error": str(e)})
        status, error, spec = self._validate_submission(value)
        if spec is None:
            # A known id is answered 200 before anything else about the request can refuse it.
            return await self._respond_if_known(job_id) or json_response(
                status, {"error": error}, RETRY_AFTER if status == 503 else None
            )
        try:
            response = await (
                self._accept_with_dependencies(job_id, spec) if spec.dependencies else self._accept(job_id, spec)
            )
        except (ReadBudgetExhausted, StoreError, Unreachable):
            self._count_rejection(spec)
            raise
        if response.status == 429:
            self._count_rejection(spec)
        return response

    def _is_best_effort(self, spec: JobSpec) -> bool:
        """A team without a guarantee beside others with one. Where nobody has one, nobody is a guest.

        There, 931 requests of everybody's were sent away in the first half minute of a day (third place, steady).
        """
        return self._has_guaranteed_team and not self.teams[spec.team].has_guarantee

    def _count_rejection(self, spec: JobSpec) -> None:
        key = (spec.team, spec.job_class)
        if len(self.rejection_counts) >= MAX_REJECTION_ROWS:
            key = key if key in self.rejection_counts else (OTHER_ROW, OTHER_ROW)
        self.rejection_counts[key] = self.rejection_counts.get(key, 0) + 1

    async def _accept(self, job_id: str, spec: JobSpec) -> Response:
        return await self._reject_over_share(job_id, spec) or await self._write_job_record(job_id, spec)

    async def _reject_over_share(self, job_id: str, spec: JobSpec) -> Response | None:
        if not self._is_best_effort(spec) or self._best_effort_rate_limiter.try_acquire():
            return None
        # A guest's swarm must leave the records of everybody's starts and ends their changes.
        return await self._respond_if_known(job_id) or json_response(
            429, {"error": "more jobs than this team may submit at once"}, BEST_EFFORT_RETRY_AFTER
        )

    async def _accept_with_dependencies(self, job_id: str, spec: JobSpec) -> Response:
        """A job that awaits others. What is needed to tell whether it may, and whether it is cancelled by now, is read
        first."""
        if job_id in self._terminal_states or job_id in self.live_job_cache.live_jobs:
            return await self._respond_if_known(job_id) or _raise_known_job_missing(job_id)
        dependency_ids = spec.dependencies.job_ids
        validation = await self._dependency_validator.validate(dependency_ids, job_id)
        if validation.rejection_reason is not None:
            return await self._respond_if_known(job_id) or json_response(422, {"error": validation.rejection_reason})
        rejection = await self._reject_over_share(job_id, spec)
        if rejection is not None:
            return rejection
        is_cancelled = await self._is_dependency_cancelled(dependency_ids, job_id, validation.dependencies_by_job)
        if is_cancelled:
            return await self._write_job_record(job_id, spec, is_cancelled=True)
        response = await self._write_job_record(job_id, await self._store_dependencies(spec))
        if is_cancelled is None:
            known_response = await self._respond_if_known(job_id)
            return (
                _raise_known_job_missing(job_id)
                if known_response is None
                else Response(response.status, known_response.body, known_response.headers)
            )
        return response

    async def _is_dependency_cancelled(
        self, dependency_ids: list[str], job_id: str, dependencies_by_job: DependencyIds
    ) -> bool | None:
        """Whether one of these jobs, or one that they need, is cancelled; None: it takes too long to tell."""
        try:
            async with asyncio.timeout(DEPENDENCY_CHECK_TIMEOUT.total_seconds()):
                if monotonic_now() - self.live_job_cache.read_at > MAX_CACHE_AGE:
                    await self.live_job_cache.wait_for_refresh()
                return await self._cancellation_resolver.is_cancelled(
                    dependency_ids, job_id, dependencies_by_job, self.live_job_cache.wait_for_refresh
                )
        except (TimeoutError, ReadBudgetExhausted, StoreError, Unreachable) as e:
            log.debug("%s is accepted before it is known whether it is cancelled: %r", job_id, e)
            return None

    async def _store_dependencies(self, spec: JobSpec) -> JobSpec:
        """The job as its record can hold it; names that it has no room for are stored first."""
        if fits_job_record(spec):
            return spec
        stored_parts = split_dependencies(spec.id, spec.dependencies.job_ids)
        await gather_all(
            *(self.group_commit.commit([], [put(key, value)]) for key, value in stored_parts.values_by_key.items())
        )
        return msgspec.structs.replace(spec, depends_on=stored_parts.dependencies)

    async def _write_job_record(self, job_id: str, spec: JobSpec, is_cancelled: bool = False) -> Response:
        """Make the job's record: that it lives, or that it ended as it came."""
        record_write = (
            put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled")))
            if is_cancelled
            else put(LIVE_JOB_PREFIX + job_id, to_stored(spec))
        )
        confirmation = (
            self._write_confirmations.job_cancelled(job_id)
            if is_cancelled
            else self._write_confirmations.job_accepted(job_id)
        )
        try:
            await self.group_commit.commit(
                [(LIVE_JOB_PREFIX + job_id, 0), (COMPLETED_JOB_PREFIX + job_id, 0)],
                [record_write],
                confirmation.find_revision,
            )
        except CompareFailed:
            known_response = await self._respond_if_known(job_id)
            if known_response is None:
                raise StoreError("a known job was not found") from None
            return known_response
        except Unreachable:
            # The transaction may have run: the key tells. If it runs later, a retry will find it.
            known_response = await self._respond_if_known(job_id)
            if known_response is None:
                raise
            return known_response
        log.debug("accepted %s: %d tasks of %s", job_id, spec.task_count, spec.job_class)
        # A read tells that the job is known, and not by which of its submissions: an earlier one may have got 201.
        return json_response(
            200 if confirmation.is_confirmed else 201,
            status_response(job_id, "cancelled" if is_cancelled else "queued"),
        )

    def _validate_submission(self, value: Any) -> tuple[int, str, JobSpec | None]:
        try:
            submission = msgspec.convert(value, Submission)
        except msgspec.ValidationError as e:
            return 400, str(e), None
        if self.catalog is None:
            return 503, "machine types not known yet", None
        spec = submission.to_spec(clock.utc_now_ms())
        rejection = rejection_reason(spec, self.teams, self.catalog)
        if rejection is not None:
            return 422, rejection, None
        return 200, "", spec

    async def _respond_if_known(self, job_id: str) -> Response | None:
        job_state = await self._read_job_state(job_id)
        return None if job_state is None else json_response(200, status_response(job_id, job_state[0]))

    # -- polls --------------------------------------------------------------------------------

    async def _poll(self, job_id: str) -> Response:
        if not _JOB_ID_PATTERN.match(job_id):
            return json_response(404, {"error": "no such job"})
        job_state = await self._read_job_state(job_id)
        if job_state is None:
            return json_response(404, {"error": "no such job"})
        state, done, running = job_state
        return json_response(200, status_response(job_id, state, done, running))

    async def _read_job_state(self, job_id: str) -> tuple[str, int, int] | None:
        """State, tasks done, tasks running; None if the job was never accepted.

        A job's live key goes in the same transaction that makes its ended key, and that one stays.
        So a job that is missing under both, read in this order, was not there when the first was read.
        """
        state = self._terminal_states.get(job_id)
        if state is not None:
            return state, 0, 0
        task_counts = await self.live_job_cache.read_progress(job_id)
        if task_counts is not None:
            done, running = task_counts
            if done == running == 0 and await self._is_cancelled_by_dependency(job_id):
                return "cancelled", 0, 0
            return ("running" if running else "queued"), done, running
        self._read_budget.spend(job_id)
        completed_entry = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        if completed_entry is None:
            return None
        completed = decode_completed_job(completed_entry.value)
        self._remember_terminal_state(job_id, completed.state)
        return completed.state, completed.task_count if completed.state == "done" else 0, 0

    async def _is_cancelled_by_dependency(self, job_id: str) -> bool:
        """Whether a live job none of whose tasks has begun needs a cancelled one. One that has begun needs none."""
        return self.live_job_cache.live_jobs.dependencies(
            job_id
        ) != [] and await self._cancellation_resolver.is_cancelled([job_id], job_id)

    def _remember_propagated_cancellation(self, job_id: str) -> None:
        # No leader hears of it as of a cancelled job (`acknowledged_cancellations_since`), since it has yet to record
        # the end. Nor does it need to: none of the job's tasks ever starts.
        self._cache_terminal_state(job_id, "cancelled")

    def acknowledged_cancellations_since(self, window: timedelta) -> list[str] | None:
        """Jobs whose users were first told here that they are cancelled, in the time up to now; None: not known."""
        since = monotonic_now() - window
        if max(self.started_at, self._cancellations_complete_since) >= since:
            return None
        return [job_id for at, job_id in self._acknowledged_cancellations if at >= since]

    def _remember_terminal_state(self, job_id: str, state: str) -> None:
        """Before its user is told."""
        if state == "cancelled" and job_id not in self._terminal_states:
            self._acknowledged_cancellations.append((monotonic_now(), job_id))
            if len(self._acknowledged_cancellations) > MAX_ACKNOWLEDGED_CANCELLATIONS:
                self._cancellations_complete_since, _ = self._acknowledged_cancellations.popleft()
        self._cache_terminal_state(job_id, state)

    def _cache_terminal_state(self, job_id: str, state: str) -> None:
        if state == "cancelled":
            self.live_job_cache.live_jobs.invalidate_not_cancelled(job_id)
        self._terminal_states[job_id] = state
        if len(self._terminal_states) > MAX_CACHED_TERMINAL_STATES:
            self._terminal_states.popitem(last=False)

    # -- cancels ------------------------------------------------------------------------------

    async def _cancel(self, job_id: str) -> Response:
        if not _JOB_ID_PATTERN.match(job_id):
            return json_response(404, {"error": "no such job"})
        for _ in range(MAX_CANCEL_ATTEMPTS):
            live_entry = await self.kv_store.get(LIVE_JOB_PREFIX + job_id)
            if live_entry is None:
                job_state = await self._read_job_state(job_id)
                if job_state is None:
                    return json_response(404, {"error": "no such job"})
                if job_state[0] in TERMINAL_STATES:
                    return json_response(200, status_response(job_id, job_state[0]))
                continue  # it was accepted between the two reads
            try:
                spec = decode_job_spec(live_entry.value)
            except msgspec.ValidationError:
                spec = decode_partial_job_spec(job_id, live_entry.value)
            ops = [
                put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled"))),
                delete(LIVE_JOB_PREFIX + job_id),
            ]
            # What does not fit is tidied up by the leader, as it learns of the end.
            bitmap_keys, _ = split_chunk_keys_for_completion(
                job_id, chunk_numbers(spec.task_count), self.kv_store.transaction_limits.max_txn_ops
            )
            dependency_keys, _ = split_part_keys_for_completion(
                job_id, spec.dependencies, self.kv_store.transaction_limits.max_txn_ops - len(ops) - len(bitmap_keys)
            )
            ops += [delete(key) for key in bitmap_keys + dependency_keys]
            try:
                await self.group_commit.commit(
                    [(LIVE_JOB_PREFIX + job_id, live_entry.version), (COMPLETED_JOB_PREFIX + job_id, 0)],
                    ops,
                    self._write_confirmations.job_cancelled(job_id).find_revision,
                )
            except (CompareFailed, Unreachable):
                continue  # the next read tells
            self._remember_terminal_state(job_id, "cancelled")
            log.info("cancelled %s", job_id)
            return json_response(200, status_response(job_id, "cancelled"))
        raise StoreError("the job kept changing")
