"""HTTP handlers of the users' API: submissions, polls and cancellations.

Any node serves these requests; every answer follows from the state in the key-value store. No answer may be older than
one that any node has given, so each poll waits for a read that was sent after the poll arrived. Only terminal states
are cached. A live job that depends on a cancelled job is reported as cancelled, whether or not its cancellation is
recorded yet (`cancellation_propagation.py`).
"""

import logging
import re
from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any

import msgspec
import orjson

from roseweir import clock
from roseweir.http import Request, Response, Unreachable, json_response
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import delete, put
from roseweir.kv_store.group_commit import GroupCommitter
from roseweir.settings import Settings
from roseweir.submissions.acceptance import JobAcceptor
from roseweir.submissions.cancellation_propagation import CancellationResolver
from roseweir.submissions.completed_jobs import CompletedJobReader
from roseweir.submissions.dependency_storage import split_part_keys_for_completion
from roseweir.submissions.dependency_validation import DependencyValidator
from roseweir.submissions.errors import ReadBudgetExhausted, SubmissionRejected
from roseweir.submissions.idempotency import WriteConfirmations
from roseweir.submissions.job_status import JobStatusReader
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    LIVE_JOB_PREFIX,
    JobSpec,
    MachineType,
    completed_job,
    decode_job_spec,
    decode_partial_job_spec,
    rejection_reason,
    to_stored,
)
from roseweir.submissions.live_job_cache import LiveJobCache, ProgressLookup
from roseweir.submissions.messages import JOB_ID, Submission, SubmissionId, status_response
from roseweir.submissions.read_budget import ReadBudget
from roseweir.submissions.rejections import RejectionCounter
from roseweir.submissions.task_bitmap import chunk_numbers, split_chunk_keys_for_completion
from roseweir.submissions.terminal_state_cache import TerminalStateCache

log = logging.getLogger(__name__)

RETRY_AFTER = timedelta(seconds=1)
MAX_CANCEL_ATTEMPTS = 3
# States that a job does not leave.
TERMINAL_STATES = ("done", "cancelled")

_JOB_ID_PATTERN = re.compile(JOB_ID)


class SubmissionHandlers:
    """Answers users' requests below /submissions."""

    def __init__(self, settings: Settings, kv_store: KeyValueStoreClient, progress_lookup: ProgressLookup) -> None:
        """Create the users' API of one node; `progress_lookup` requests task counts from the leader."""
        self.kv_store = kv_store
        self.teams = {team.name: team for team in settings.params.teams}
        self.group_commit = GroupCommitter(kv_store, max_queued=8 * settings.params.kv_store.max_txn_ops)
        self.live_job_cache = LiveJobCache(kv_store, len(settings.peers) + 1, progress_lookup)
        self.rejections = RejectionCounter()
        self._catalog: Sequence[MachineType] | None = None
        self._terminal_states = TerminalStateCache(self.live_job_cache.live_jobs)
        self._write_confirmations = WriteConfirmations(kv_store, self.live_job_cache)
        self._read_budget = ReadBudget(settings.params.kv_store.max_requests_per_s)
        completed_jobs = CompletedJobReader(
            kv_store,
            terminal_states=self._terminal_states.states,
            cache_state=self._terminal_states.add,
            read_budget=self._read_budget,
        )
        cancellation_resolver = CancellationResolver(
            kv_store,
            live_jobs=self.live_job_cache.live_jobs,
            completed_jobs=completed_jobs,
            read_budget=self._read_budget,
            cache_cancelled=self._terminal_states.add_propagated_cancellation,
        )
        dependency_validator = DependencyValidator(
            kv_store,
            live_job_cache=self.live_job_cache,
            completed_jobs=completed_jobs,
            read_budget=self._read_budget,
        )
        self._job_statuses = JobStatusReader(
            kv_store,
            live_job_cache=self.live_job_cache,
            terminal_states=self._terminal_states,
            cancellation_resolver=cancellation_resolver,
            read_budget=self._read_budget,
        )
        self._acceptor = JobAcceptor(
            settings,
            group_commit=self.group_commit,
            live_job_cache=self.live_job_cache,
            terminal_states=self._terminal_states,
            job_statuses=self._job_statuses,
            dependency_validator=dependency_validator,
            cancellation_resolver=cancellation_resolver,
            write_confirmations=self._write_confirmations,
        )

    def start(self, now: datetime) -> None:
        """Record when this process began to answer users; `now` is monotonic."""
        self._terminal_states.start(now)

    def set_catalog(self, machine_types: Sequence[MachineType] | None) -> None:
        """Set the machine types that submissions are checked against; while it is None, no new job is accepted."""
        self._catalog = machine_types

    def acknowledged_cancellations_since(self, window: timedelta) -> list[str] | None:
        """Return the jobs whose cancellation this process first acknowledged to a user within the last `window`.

        Returns None if the acknowledgements of the entire window are not available.
        """
        return self._terminal_states.acknowledged_since(window)

    async def handle(self, request: Request) -> Response:
        """Answer one request; 429 beyond this node's read budget, 503 if the key-value store is unreachable."""
        try:
            return await self._route(request)
        except ReadBudgetExhausted:
            return json_response(429, {"error": "busy"}, RETRY_AFTER)
        except (StoreError, Unreachable) as e:
            log.debug("user request answered with 503: error=%s", e)
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
        try:
            spec = self._validate_submission(value)
        except SubmissionRejected as rejection:
            return await self._respond_unless_accepted(job_id, rejection)
        try:
            response = await self._accept(job_id, spec)
        except (ReadBudgetExhausted, StoreError, Unreachable):
            self.rejections.count(spec)
            raise
        if response.status == 429:
            self.rejections.count(spec)
        return response

    def _validate_submission(self, value: Any) -> JobSpec:
        """Return the job that a request's body describes; SubmissionRejected if it can't be accepted."""
        try:
            submission = msgspec.convert(value, Submission)
        except msgspec.ValidationError as e:
            raise SubmissionRejected(400, str(e)) from e
        if self._catalog is None:
            raise SubmissionRejected(503, "machine types not known yet", RETRY_AFTER)
        spec = submission.to_spec(clock.utc_now_ms())
        reason = rejection_reason(spec, self.teams, self._catalog)
        if reason is not None:
            raise SubmissionRejected(422, reason)
        return spec

    async def _accept(self, job_id: str, spec: JobSpec) -> Response:
        try:
            accepted = await self._acceptor.accept(job_id, spec)
        except SubmissionRejected as rejection:
            return await self._respond_unless_accepted(job_id, rejection)
        return json_response(201 if accepted.is_new else 200, status_response(job_id, accepted.state))

    async def _respond_unless_accepted(self, job_id: str, rejection: SubmissionRejected) -> Response:
        # A request with the id of an accepted job is answered 200, whatever the reason for the rejection.
        return await self._respond_if_accepted(job_id) or json_response(
            rejection.status, {"error": rejection.reason}, rejection.retry_after
        )

    async def _respond_if_accepted(self, job_id: str) -> Response | None:
        status = await self._job_statuses.read(job_id)
        return None if status is None else json_response(200, status_response(job_id, status.state))

    # -- polls --------------------------------------------------------------------------------

    async def _poll(self, job_id: str) -> Response:
        if not _JOB_ID_PATTERN.match(job_id):
            return json_response(404, {"error": "no such job"})
        status = await self._job_statuses.read(job_id)
        if status is None:
            return json_response(404, {"error": "no such job"})
        return json_response(200, status_response(job_id, status.state, status.done_count, status.running_count))

    # -- cancellations ------------------------------------------------------------------------

    async def _cancel(self, job_id: str) -> Response:
        if not _JOB_ID_PATTERN.match(job_id):
            return json_response(404, {"error": "no such job"})
        for _ in range(MAX_CANCEL_ATTEMPTS):
            live_entry = await self.kv_store.get(LIVE_JOB_PREFIX + job_id)
            if live_entry is None:
                status = await self._job_statuses.read(job_id)
                if status is None:
                    return json_response(404, {"error": "no such job"})
                if status.state in TERMINAL_STATES:
                    return json_response(200, status_response(job_id, status.state))
                continue  # the job was accepted between the two reads
            try:
                await self.group_commit.commit(
                    [(LIVE_JOB_PREFIX + job_id, live_entry.version), (COMPLETED_JOB_PREFIX + job_id, 0)],
                    self._cancellation_ops(job_id, live_entry.value),
                    self._write_confirmations.cancellation_confirmation(job_id).find_revision,
                )
            except (CompareFailed, Unreachable):
                continue  # the next read shows the outcome
            self._terminal_states.add(job_id, "cancelled")
            log.info("cancelled: job=%s", job_id)
            return json_response(200, status_response(job_id, "cancelled"))
        raise StoreError("the cancellation was not confirmed in any attempt")

    def _cancellation_ops(self, job_id: str, live_record: Any) -> list[dict[str, Any]]:
        """Return the operations that cancel a live job, as many as fit into one transaction."""
        try:
            spec = decode_job_spec(live_record)
        except msgspec.ValidationError:
            spec = decode_partial_job_spec(job_id, live_record)
        ops = [
            put(COMPLETED_JOB_PREFIX + job_id, to_stored(completed_job(spec, "cancelled"))),
            delete(LIVE_JOB_PREFIX + job_id),
        ]
        # The leader deletes the remaining keys when it processes the cancellation.
        max_txn_ops = self.kv_store.transaction_limits.max_txn_ops
        bitmap_keys, _ = split_chunk_keys_for_completion(job_id, chunk_numbers(spec.task_count), max_txn_ops)
        dependency_keys, _ = split_part_keys_for_completion(
            job_id, spec.dependencies, max_txn_ops - len(ops) - len(bitmap_keys)
        )
        return ops + [delete(key) for key in bitmap_keys + dependency_keys]
