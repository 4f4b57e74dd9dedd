"""Combined faults of user requests, injected on purpose; broken variants of the service are caught.

`docs/notes/combined-faults-users.md` lists the mechanism that each test relies on.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import time
from typing import Any

import pytest

from roseweir.clock import monotonic_now, seconds
from roseweir.controller.leader import LeaderTerm
from roseweir.delivery_deadlines.controller import NIGHT_REPORTS_KEY
from roseweir.drain import store as drain_store
from roseweir.http import Reply, Request, Response, Unreachable, json_response
from roseweir.kv_store import CompareFailed, Entry
from roseweir.kv_store.client import RateLimiter, put
from roseweir.kv_store.fenced_writes import FencedWriter
from roseweir.kv_store.group_commit import ConfirmWrite, GroupCommitter
from roseweir.kv_store.write_confirmation import LeaderTransactions
from roseweir.leader_election.election import LeaderElection, LeaderLease
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_keys import DELTA_KEY_PREFIX, LOG_PREFIX
from roseweir.scheduler.log_writer import LogWriter
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.submissions.job_status import JobStatus, JobStatusReader
from roseweir.submissions.jobs import (
    COMPLETED_JOB_PREFIX,
    COMPLETED_TASKS_PREFIX,
    LIVE_JOB_PREFIX,
    decode_completed_job,
)
from roseweir.submissions.live_job_cache import LiveJobCache
from roseweir.submissions.messages import status_response
from roseweir.submissions.task_bitmap import chunk_key
from roseweir.workflows import store as workflow_store
from tests.simulation import user_faults
from tests.simulation.cluster import (
    SimulatedCluster,
    SimulatedController,
    SimulatedKeyValueStore,
    json_reply,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.eviction import EvictionCluster
from tests.simulation.fault_combinations import LongTaskCluster, is_caught
from tests.simulation.linearizability import Action
from tests.simulation.workflows import WorkflowCluster
from tests.test_delivery_deadlines import DeadlineCluster, make_deadline_config
from tests.test_eviction_days import make_eviction_cluster

Patch = pytest.MonkeyPatch
Variant = Callable[[Patch], None]
Guards = list[tuple[str, int]]
Ops = list[dict[str, Any]]

# The share of submissions that must be answered within FAST_SUBMIT_S seconds.
FAST_SUBMIT_SHARE, FAST_SUBMIT_S = 0.98, 0.2
# Answers are lost until this virtual time, in seconds.
LOST_ANSWERS_END_S = 60.0
# A write of which only the answer is lost is confirmed within this many seconds.
CONFIRMED_WITHIN_S = 0.5
# Maximum number of conflicts of log writes on one version of a key: one write that makes its writer read the new
# version, and one that was in flight.
MAX_CONFLICTS = 2

# -- users poll all controllers within milliseconds of each acceptance, end and cancel ------------------


def cluster_with_concurrent_polls(seed: int) -> SimulatedCluster:
    """Answers of the key-value store are delayed by up to 40 ms, in which a read can become stale."""
    cluster = SimulatedCluster(seed, without_random_faults=True, controller_count=3 if seed % 2 else 5)
    cluster.max_store_delay_s = 0.04
    cluster.schedule_action(lambda cluster: user_faults.concurrent_polls(cluster, 70.0))
    return cluster


def test_concurrent_polls_of_all_controllers_never_go_back() -> None:
    for seed in range(8000, 8003):
        cluster = cluster_with_concurrent_polls(seed)
        raise_first_failure(cluster.run(length_s=75, job_count=30))
        assert len(cluster.history.operations) > 700 and len(cluster.observed_ends) > 12


def answer_new_polls_from_earlier_read(patch: Patch) -> None:
    """A poll that arrives during a read is answered from that read, which was sent before the poll arrived."""
    answer_polls = LiveJobCache._answer_polls

    async def answer_polls_too_early(self: LiveJobCache, polls: list[Any]) -> None:
        new_polls, self._pending_polls = self._pending_polls, []
        await answer_polls(self, polls + new_polls)

    patch.setattr(LiveJobCache, "_answer_polls", answer_polls_too_early)


def _answer_before_commit(patch: Patch, prefix: str) -> None:
    commit = GroupCommitter.commit

    async def answer_before_commit(
        self: GroupCommitter, guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None
    ) -> int:
        if not any(op.get("put", "").startswith(prefix) for op in ops):
            return await commit(self, guards, ops, confirm)
        task = asyncio.get_running_loop().create_task(commit(self, guards, ops, confirm))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return 0

    patch.setattr(GroupCommitter, "commit", answer_before_commit)


def answer_submission_before_commit(patch: Patch) -> None:
    _answer_before_commit(patch, LIVE_JOB_PREFIX)


def answer_cancel_before_commit(patch: Patch) -> None:
    _answer_before_commit(patch, COMPLETED_JOB_PREFIX)


def read_completed_job_before_live_job(patch: Patch) -> None:
    """In this order a job that ends between the two reads has neither a completed nor a live key."""

    async def read(self: JobStatusReader, job_id: str) -> JobStatus | None:
        completed = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        if completed is not None:
            return JobStatus(decode_completed_job(completed.value).state)
        live = await self.live_job_cache.read_progress(job_id)
        return None if live is None else JobStatus("running", *live)

    patch.setattr(JobStatusReader, "read", read)


@pytest.mark.parametrize(
    "variant",
    [
        answer_new_polls_from_earlier_read,
        answer_submission_before_commit,
        answer_cancel_before_commit,
        read_completed_job_before_live_job,
    ],
)
def test_stale_answer_to_concurrent_poll_is_caught(variant: Variant, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(cluster_with_concurrent_polls, range(8000, 8006), "history: ", 75, 30)


# -- a cancel arrives while its job is being accepted ---------------------------------------------------


async def submit_after_delay(cluster: SimulatedCluster, job: dict[str, Any]) -> None:
    await asyncio.sleep(cluster.rng.uniform(0.0, 0.12))
    await user_faults.request_controller(
        cluster, cluster.controllers[0], "POST", "/submissions", user_faults.to_wire(job)
    )


def cluster_with_cancels_during_submission(seed: int) -> SimulatedCluster:
    """Users cancel a job through other controllers while its submission is in progress."""
    cluster = SimulatedCluster(seed, without_random_faults=True)
    cluster.max_store_delay_s = 0.04

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(5)
        for _ in range(150):
            job = cluster.make_job()
            job_id = job["name_id"]
            cluster.jobs[job_id] = job
            cluster.cancel_requested.add(job_id)
            cluster.spawn(submit_after_delay(cluster, job))
            await asyncio.sleep(cluster.rng.uniform(0.0, 0.12))
            await user_faults.cancel_until_answered(cluster, job_id, cluster.controllers[1])
            cluster.spawn(user_faults.cancel_until_answered(cluster, job_id, cluster.controllers[2]))
            await asyncio.sleep(0.1)

    cluster.schedule_action(act)
    return cluster


def test_cancel_during_submission_ends_job_or_gets_404() -> None:
    cluster = cluster_with_cancels_during_submission(8090)
    raise_first_failure(cluster.run(length_s=60, job_count=2))
    statuses = Counter(
        operation.status for operation in cluster.history.operations if operation.action is Action.CANCEL
    )
    assert statuses[200] > 50 and statuses[404] > 20, statuses


def answer_cancel_with_live_status(patch: Patch) -> None:
    """The cancel reads no job, then one accepted meanwhile: it answers 200 and `queued`, and the job still runs."""
    cancel = SubmissionHandlers._cancel

    async def cancel_without_retry(self: SubmissionHandlers, job_id: str) -> Response:
        if await self.kv_store.get(LIVE_JOB_PREFIX + job_id) is None:
            accepted_response = await self._respond_if_accepted(job_id)
            return accepted_response or json_response(404, {"error": "no such job"})
        return await cancel(self, job_id)

    patch.setattr(SubmissionHandlers, "_cancel", cancel_without_retry)


def test_cancel_answered_with_live_status_is_caught(monkeypatch: Patch) -> None:
    answer_cancel_with_live_status(monkeypatch)
    assert is_caught(cluster_with_cancels_during_submission, range(8090, 8091), "cancel_without_an_end", 60, 2)


# -- a cancel, a poll or a repeated submission coincides with the end of the last task ------------------


def cluster_with_cancels_at_job_end(seed: int) -> SimulatedCluster:
    cluster = LongTaskCluster(seed)
    cluster.task_duration_s, cluster.max_tasks = 3.0, 3
    cluster.schedule_action(lambda cluster: user_faults.cancel_at_end(cluster, 60.0))
    return cluster


def count_ends_of_cancelled_jobs(cluster: SimulatedCluster) -> tuple[int, int]:
    """How many of the jobs that users cancelled ended as done, and how many as cancelled."""
    ends = [
        cluster.kv_store.keys[COMPLETED_JOB_PREFIX + job][0]["state"]
        for job in cluster.cancel_requested
        if COMPLETED_JOB_PREFIX + job in cluster.kv_store.keys
    ]
    return ends.count("done"), ends.count("cancelled")


def test_cancel_as_last_task_ends_gives_every_user_the_same_end() -> None:
    done = cancelled = 0
    for seed in range(8010, 8013):
        cluster = cluster_with_cancels_at_job_end(seed)
        raise_first_failure(cluster.run(length_s=70, job_count=30))
        done_in_run, cancelled_in_run = count_ends_of_cancelled_jobs(cluster)
        done, cancelled = done + done_in_run, cancelled + cancelled_in_run
    assert done > 5 and cancelled > 5, "the cancels did not coincide with the ends"


def report_conflicting_cancel_as_cancelled(patch: Patch) -> None:
    """The cancel's transaction conflicts with the job's end, but the user is still answered `aborted`."""
    cancel = SubmissionHandlers._cancel

    async def cancel_ignoring_conflict(self: SubmissionHandlers, job_id: str) -> Response:
        commit = self.group_commit.commit
        conflicts: list[bool] = []

        async def commit_recording_conflicts(guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
            try:
                return await commit(guards, ops, confirm)
            except CompareFailed:
                conflicts.append(True)
                raise

        self.group_commit.commit = commit_recording_conflicts  # type: ignore[method-assign]
        response = await cancel(self, job_id)
        return json_response(200, status_response(job_id, "cancelled")) if conflicts else response

    patch.setattr(SubmissionHandlers, "_cancel", cancel_ignoring_conflict)


def report_missing_job_as_cancelled(patch: Patch) -> None:
    """A job without a live key is reported as cancelled, although it may be done."""

    async def cancel_live_only(self: SubmissionHandlers, job_id: str) -> Response:
        live = await self.kv_store.get(LIVE_JOB_PREFIX + job_id)
        if live is None:
            return json_response(200, status_response(job_id, "cancelled"))
        return await original_cancel(self, job_id)

    original_cancel = SubmissionHandlers._cancel
    patch.setattr(SubmissionHandlers, "_cancel", cancel_live_only)


@pytest.mark.parametrize("variant", [report_conflicting_cancel_as_cancelled, report_missing_job_as_cancelled])
def test_contradictory_ends_of_a_job_are_caught(variant: Variant, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(cluster_with_cancels_at_job_end, range(8010, 8014), "history: went_back", 70, 30)


# -- cancels during failover ----------------------------------------------------------------------------


def cluster_with_cancels_during_failovers(seed: int) -> LongTaskCluster:
    """Long jobs; some are cancelled at random times of each failover, while the key-value store answers slowly."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.2, 2.0))

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        for _ in range(4):
            cluster.max_store_delay_s = cluster.rng.choice([0.0, 0.2, 0.6])
            await user_faults.cancel_during_failover(cluster, cluster.rng.uniform(0.2, 2.0))
            await asyncio.sleep(cluster.rng.uniform(6.0, 9.0))
            cluster.max_store_delay_s = 0.0
            await asyncio.sleep(4.0)

    cluster.schedule_action(act)
    return cluster


def test_jobs_cancelled_during_failover_stop_in_time() -> None:
    cancelled = 0
    for seed in range(8020, 8024):
        cluster = cluster_with_cancels_during_failovers(seed)
        raise_first_failure(cluster.run(length_s=100, job_count=30))
        cancelled += len(cluster.cancelled_at)
        assert len(cluster.leader_by_term) >= 4, "too few failovers"
    assert cancelled > 25


def miss_cancels_during_recovery(patch: Patch) -> None:
    """The new leader watches from the revision after its recovery, not from before the first segment that it read."""
    recover = LeaderTerm._recover

    async def recover_and_read_revision(self: LeaderTerm) -> int:
        await recover(self)
        _, revision = await self.kv_store.scan("lead/")
        return revision

    patch.setattr(LeaderTerm, "_recover", recover_and_read_revision)


def test_cancel_lost_during_failover_is_caught(monkeypatch: Patch) -> None:
    miss_cancels_during_recovery(monkeypatch)
    assert is_caught(cluster_with_cancels_during_failovers, range(8020, 8040), "ran_cancelled", 100, 30)


# -- ten failovers in two minutes, also during a store outage -------------------------------------------


def cluster_with_frequent_failovers(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(
        seed, without_random_faults=True, restart_delay_range_s=(0.05, 0.9), max_clock_skew_s=0.5
    )

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        cluster.spawn(user_faults.repeated_failovers(cluster, 75.0))
        for _ in range(3):
            await asyncio.sleep(cluster.rng.uniform(10.0, 20.0))
            await cluster.inject_fault("outage")

    cluster.schedule_action(act)
    return cluster


def test_ten_failovers_in_two_minutes_with_outages_break_no_rule() -> None:
    for seed in range(8030, 8033):
        cluster = cluster_with_frequent_failovers(seed)
        raise_first_failure(cluster.run(length_s=120, job_count=25))
        assert len(cluster.leader_by_term) >= 10, f"seed {seed}: only {len(cluster.leader_by_term)} terms"
        assert len(cluster.observed_ends) > 8, f"seed {seed}: users observed {len(cluster.observed_ends)} ends"


def resume_previous_term(patch: Patch) -> None:
    """A controller that restarts within a second finds the lease of its previous process, and keeps using it."""

    async def resume(self: LeaderElection) -> None:
        entry = await self.kv_store.get(LEADER_KEY)
        if entry is not None and self.leader is not None and entry.value["name"] == self.settings.name:
            await self._hold_leadership(
                LeaderLease(self.leader.term, self.leader.lease_id, entry.version, monotonic_now())
            )

    patch.setattr(LeaderElection, "_revoke_stale_lease", resume)


def test_restarted_controller_that_resumes_its_term_is_caught(monkeypatch: Patch) -> None:
    resume_previous_term(monkeypatch)
    assert is_caught(cluster_with_frequent_failovers, range(8030, 8034), "used_twice", 120, 25)


# -- invalid requests -------------------------------------------------------------------------------------


def cluster_with_invalid_requests(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, without_random_faults=True, restart_delay_range_s=(0.2, 1.0))

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(5)
        cluster.spawn(user_faults.invalid_requests(cluster, 60.0))
        await asyncio.sleep(20)
        await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(act)
    return cluster


def test_invalid_requests_get_documented_answers_and_store_nothing() -> None:
    statuses: set[tuple[str, int]] = set()
    for seed in range(8040, 8042):
        cluster = cluster_with_invalid_requests(seed)
        raise_first_failure(cluster.run(length_s=75, job_count=25))
        statuses |= {(operation.action.value, operation.status) for operation in cluster.history.operations}
        stored_job_ids = {
            key.partition("/")[2]
            for key in cluster.kv_store.keys
            if key.startswith((LIVE_JOB_PREFIX, COMPLETED_JOB_PREFIX))
        }
        assert stored_job_ids <= cluster.jobs.keys()
    assert {("submit", 400), ("submit", 422), ("submit", 200), ("cancel", 200)} <= statuses


def accept_unrunnable_jobs(patch: Patch) -> None:
    patch.setattr("roseweir.submissions.handlers.rejection_reason", lambda spec, teams, catalog: None)


def fill_in_missing_fields(patch: Patch) -> None:
    validate = SubmissionHandlers._validate_submission
    default_fields = {"docket": "x", "crew": "t0", "shape": "sweep", "rank": "normal", "parcels": 1, "cores": 1.0}

    def validate_with_defaults(self: SubmissionHandlers, value: Any) -> Any:
        return validate(self, default_fields | value)

    patch.setattr(SubmissionHandlers, "_validate_submission", validate_with_defaults)


def reject_repeated_submissions(patch: Patch) -> None:
    submit = SubmissionHandlers._submit

    async def reject_repeat(self: SubmissionHandlers, request: Request) -> Response:
        response = await submit(self, request)
        return json_response(400, {"error": "job exists already"}) if response.status == 200 else response

    patch.setattr(SubmissionHandlers, "_submit", reject_repeat)


@pytest.mark.parametrize(
    ("variant", "rule"),
    [
        (accept_unrunnable_jobs, "accepted_wrongly"),
        (fill_in_missing_fields, "accepted_wrongly"),
        (reject_repeated_submissions, "forgotten"),
        (report_missing_job_as_cancelled, "went_back"),
    ],
)
def test_wrong_answer_to_invalid_request_is_caught(variant: Variant, rule: str, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(cluster_with_invalid_requests, range(8040, 8044), rule, 75, 25)


# -- four one-task jobs per second for minutes, a quarter of them cancelled -------------------------------

SMALL_JOB_COUNT, SMALL_JOBS_RUN_S, CHANGES_PER_S = 480, 171.0, 30.0
# Maximum number of jobs in the leader's memory: the jobs of about three seconds run at once.
MAX_JOBS_IN_MEMORY = 60


class StoreRateLimits:
    """Limits requests and changes of the key-value store per second, with bursts of one second's worth."""

    def __init__(self, kv_store: SimulatedKeyValueStore, rps: float, write_rps: float) -> None:
        self.rates = {"requests": rps, "changes": write_rps}
        self.tokens = dict(self.rates)
        self.refilled_at = virtual_now()
        self.rejected_count = 0
        self._handle = kv_store.handle
        kv_store.handle = self.handle  # type: ignore[method-assign]

    async def handle(self, controller_name: str, method: str, path: str, body: Any) -> Reply:
        elapsed_s, self.refilled_at = virtual_now() - self.refilled_at, virtual_now()
        self.tokens = {limit: min(rate, self.tokens[limit] + elapsed_s * rate) for limit, rate in self.rates.items()}
        changes = len(body["then"]) if path == "/txn" else 0
        if self.tokens["requests"] < 1 or self.tokens["changes"] < changes:
            self.rejected_count += 1
            return json_reply(429)
        self.tokens["requests"] -= 1
        self.tokens["changes"] -= changes
        return await self._handle(controller_name, method, path, body)


class SmallJobsCluster(LongTaskCluster):
    """Jobs of one task each, of which users cancel a quarter; observes the memory and the keys used for them."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, write_rps=CHANGES_PER_S, scale=3)
        self.task_duration_s, self.max_tasks = 2.0, 2
        self.submit_latencies_s: list[float] = []
        self.max_jobs_in_memory = 0
        self.store_limits: StoreRateLimits | None = None
        self.leftover_keys: list[str] = []
        self.schedule_action(lambda _: self._limit_store_and_observe())

    async def _limit_store_and_observe(self) -> None:
        self.store_limits = StoreRateLimits(self.kv_store, 200.0, CHANGES_PER_S)
        while True:
            await asyncio.sleep(1.0)
            self.max_jobs_in_memory = max(
                [self.max_jobs_in_memory, *(len(cluster_state.jobs) for cluster_state in self._cluster_states())]
            )
            self.leftover_keys = sorted(
                k for k in self.kv_store.keys if k.startswith((LIVE_JOB_PREFIX, COMPLETED_TASKS_PREFIX))
            )

    def _cluster_states(self) -> list[ClusterState]:
        leader_terms = [node.service.leader_term for node in self.controllers if node.service is not None]
        return [leader_term.cluster_state for leader_term in leader_terms if leader_term is not None]

    def make_job(self) -> dict[str, Any]:
        return super().make_job() | {"parcels": 1}

    async def run_user(self) -> None:
        job = self.make_job()
        job_id = job["name_id"]
        self.jobs[job_id] = job
        submitted_at, status = virtual_now(), 0
        while status not in (200, 201):
            status, answer = await self.send_user_request("POST", "/submissions", user_faults.to_wire(job))
            self.check_answer(job_id, status, answer)
            if status not in (200, 201):
                await asyncio.sleep(1.0)
        self.accepted_jobs.add(job_id)
        self.accepted_at[job_id] = virtual_now()
        self.submit_latencies_s.append(virtual_now() - submitted_at)
        if self.rng.random() < 0.25:
            await asyncio.sleep(self.rng.uniform(0.0, 4.0))
            await user_faults.cancel_until_answered(self, job_id)
        while job_id not in self.observed_ends:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            self.check_answer(job_id, *await self.send_user_request("GET", f"/submissions/{job_id}"))


def unmet_bounds(cluster: SmallJobsCluster) -> list[str]:
    """The bounds that the run of many small jobs did not meet."""
    assert cluster.store_limits is not None
    fast_share = sum(latency_s <= FAST_SUBMIT_S for latency_s in cluster.submit_latencies_s) / len(
        cluster.submit_latencies_s
    )
    bounds = {
        "latency": fast_share >= FAST_SUBMIT_SHARE,
        "rate": cluster.store_limits.rejected_count == 0,
        "memory": cluster.max_jobs_in_memory <= MAX_JOBS_IN_MEMORY,
        "leftover keys": not cluster.leftover_keys,
        "ends": len(cluster.observed_ends) == len(cluster.accepted_jobs) == SMALL_JOB_COUNT,
    }
    return [bound for bound, is_met in bounds.items() if not is_met]


def run_small_jobs(seed: int = 8050) -> SmallJobsCluster:
    cluster = SmallJobsCluster(seed)
    cluster.run(length_s=SMALL_JOBS_RUN_S, job_count=SMALL_JOB_COUNT)
    return cluster


def test_many_one_task_jobs_stay_within_rate_and_leave_no_keys() -> None:
    cluster = run_small_jobs()
    raise_first_failure(cluster)
    assert unmet_bounds(cluster) == []
    assert len(cluster.cancelled_at) > SMALL_JOB_COUNT / 8


def keep_finished_jobs_in_memory(patch: Patch) -> None:
    patch.setattr(ClusterState, "_remove_finished_job", lambda self, run: None)


def _write_more_keys_with_acceptances(patch: Patch, more_keys: Callable[[str], list[str]]) -> None:
    """Each job's acceptance also writes these further keys, which `more_keys` derives from the job id."""
    commit = GroupCommitter.commit

    async def commit_with_more_keys(
        self: GroupCommitter, guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None
    ) -> int:
        job_ids = [
            op["put"].removeprefix(LIVE_JOB_PREFIX) for op in ops if op.get("put", "").startswith(LIVE_JOB_PREFIX)
        ]
        added_ops = [put(key, {"n": 1}) for job_id in job_ids for key in more_keys(job_id)]
        return await commit(self, guards, ops + added_ops, confirm)

    patch.setattr(GroupCommitter, "commit", commit_with_more_keys)


def write_chunk_at_acceptance(patch: Patch) -> None:
    """The job's end deletes the chunks that the leader wrote, which does not include this one."""
    _write_more_keys_with_acceptances(patch, lambda job_id: [chunk_key(job_id, 0)])


def write_index_keys_at_acceptance(patch: Patch) -> None:
    """Index keys by team, class, image, zone and type: five more changes per job, not rate-limited."""
    _write_more_keys_with_acceptances(patch, lambda job_id: [f"by-{index}/{job_id}" for index in range(5)])

    async def grant_without_waiting(self: RateLimiter, *args: float) -> float:
        return self.max_tokens

    patch.setattr(RateLimiter, "acquire", grant_without_waiting)
    patch.setattr(RateLimiter, "wait_for_tokens", grant_without_waiting)


@pytest.mark.parametrize(
    ("variant", "bound"),
    [
        (keep_finished_jobs_in_memory, "memory"),
        (write_chunk_at_acceptance, "leftover keys"),
        (write_index_keys_at_acceptance, "rate"),
    ],
)
def test_unbounded_resources_for_small_jobs_are_caught(variant: Variant, bound: str, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert bound in unmet_bounds(run_small_jobs())


# -- a transaction is applied at once, and only its answer is lost -----------------------------------------

CONTROLLER_KEY_PREFIXES = (drain_store.KEY_PREFIX, workflow_store.PAGE_KEY_PREFIX, NIGHT_REPORTS_KEY)


def writes_prefix(prefix: str, state: str = "") -> Callable[[Ops], bool]:
    """Whether a transaction puts a key with this prefix; if `state` is set, of a job with this final state."""

    def is_written(ops: Ops) -> bool:
        puts = [op for op in ops if op.get("put", "").startswith(prefix)]
        return any(not state or op["v"]["state"] == state for op in puts)

    return is_written


WRITE_TYPES: dict[str, Callable[[Ops], bool]] = {
    "acceptance": writes_prefix(LIVE_JOB_PREFIX),
    "cancel": writes_prefix(COMPLETED_JOB_PREFIX, "cancelled"),
    "end": writes_prefix(COMPLETED_JOB_PREFIX, "done"),
    "election": writes_prefix(LEADER_KEY),
    "task deltas": writes_prefix(LOG_PREFIX + DELTA_KEY_PREFIX),
    "machine segments": writes_prefix(LOG_PREFIX + "0"),
    "completed-task chunks": writes_prefix(COMPLETED_TASKS_PREFIX),
    "drains": writes_prefix(drain_store.KEY_PREFIX),
    "workflows": writes_prefix(workflow_store.PAGE_KEY_PREFIX),
    "delivery deadlines": writes_prefix(NIGHT_REPORTS_KEY),
}


def lose_answers(cluster: SimulatedCluster, write_type: str, share: float) -> list[str]:
    """Loses the answers of this share of these transactions; in 10% of cases the leader restarts before its retry."""
    lost: list[str] = []

    def is_answer_lost(controller: SimulatedController, body: dict[str, Any]) -> bool:
        if (
            virtual_now() > LOST_ANSWERS_END_S
            or not WRITE_TYPES[write_type](body["then"])
            or cluster.rng.random() >= share
        ):
            return False
        lost.append(controller.name)
        if write_type != "election" and cluster.rng.random() < 0.1 and controller is cluster.current_leader():
            cluster.spawn(restart_soon(controller))
        return True

    async def restart_soon(controller: SimulatedController) -> None:
        await asyncio.sleep(cluster.rng.uniform(0.0, 2.2))
        await cluster.restart_controller(controller)

    cluster.is_answer_lost = is_answer_lost  # type: ignore[method-assign]
    return lost


def conflicting_guards(body: dict[str, Any], answer: Reply, prefixes: tuple[str, ...]) -> list[tuple[str, int]]:
    """Keys under these prefixes, with versions, that a transaction of the current leader conflicted on."""
    failed = set(answer.json()["failed"]) if answer.status == 409 else set()
    if LEADER_KEY in failed:
        return []
    guards = [(guard["path"], guard["stamp"]) for guard in body["guards"]]
    return [(key, version) for key, version in guards if key in failed and key.startswith(prefixes)]


class LostAnswersCluster(LongTaskCluster):
    """Short jobs of a few tasks that users poll closely, while the answers of one type of write are lost."""

    def __init__(self, seed: int, write_type: str, share: float = 0.5) -> None:
        super().__init__(seed, restart_delay_range_s=(0.1, 1.0))
        self.max_tasks = 12
        self.lost_answers = lose_answers(self, write_type, share)
        self.schedule_action(lambda cluster: user_faults.concurrent_polls(cluster, LOST_ANSWERS_END_S))
        self.schedule_action(lambda cluster: user_faults.cancel_at_end(cluster, LOST_ANSWERS_END_S))
        if write_type == "election":
            self.schedule_action(lambda cluster: user_faults.repeated_failovers(cluster, LOST_ANSWERS_END_S - 20.0))
        self.previous_lost_count = 0
        # Conflicts that were answered to a writer, by key and version; and the tasks started by LOST_ANSWERS_END_S.
        self.conflicts: Counter[tuple[str, int]] = Counter()
        self.started_count = 0
        self.schedule_action(lambda _: self._count_conflicts())

    async def _count_conflicts(self) -> None:
        commit_transaction = self.kv_store.commit_transaction

        def commit_counting_conflicts(body: dict[str, Any]) -> Reply:
            answer = commit_transaction(body)
            is_lost, self.previous_lost_count = (
                len(self.lost_answers) > self.previous_lost_count,
                len(self.lost_answers),
            )
            if not is_lost:
                self.conflicts.update(conflicting_guards(body, answer, (LOG_PREFIX, COMPLETED_TASKS_PREFIX)))
            return answer

        self.kv_store.commit_transaction = commit_counting_conflicts  # type: ignore[method-assign]
        await asyncio.sleep(LOST_ANSWERS_END_S)
        self.started_count = self.start_count

    def draw_run_time_s(self, job: dict[str, Any]) -> float:
        return self.rng.choice([0.2, 3.0, 8.0])


def find_stuck_work(cluster: LostAnswersCluster) -> list[str]:
    """Jobs that do not end, writes that conflict again and again, and tasks that do not start, after lost answers."""
    problems = [f"{job} is not done" for job in sorted(cluster.unfinished_jobs(before=LOST_ANSWERS_END_S - 10.0))]
    problems += [
        f"{key} at {version} conflicted {n} times"
        for (key, version), n in cluster.conflicts.items()
        if n > MAX_CONFLICTS
    ]
    return problems if cluster.started_count else [*problems, "nothing started while answers were lost"]


def skip_lookup_of_unanswered_writes(patch: Patch) -> None:
    """Breaks no rule but costs time: the writer gets no answer, and has to read the key to learn the result."""

    async def commit_without_lookup(self: LeaderTransactions, guards: Guards, ops: Ops) -> int:
        return await self._kv_store.compare_and_swap(guards, ops)

    async def wait_without_lookup(self: GroupCommitter, batch: list[Any]) -> None:
        for change in batch:
            await asyncio.wait({change.result})

    patch.setattr(LeaderTransactions, "commit", commit_without_lookup)
    patch.setattr(GroupCommitter, "_confirm_or_resend", wait_without_lookup)


JOB_WRITES = [write for write in WRITE_TYPES if write not in ("drains", "workflows", "delivery deadlines")]


@pytest.mark.parametrize("looks_up_writes", [True, False])
@pytest.mark.parametrize("write_type", JOB_WRITES)
def test_write_whose_answer_is_lost_breaks_no_rule(write_type: str, looks_up_writes: bool, monkeypatch: Patch) -> None:
    if not looks_up_writes:
        skip_lookup_of_unanswered_writes(monkeypatch)
    lost_count = 0
    for seed in range(8060, 8062):
        cluster = LostAnswersCluster(seed, write_type, 1.0 if write_type == "election" else 0.5)
        raise_first_failure(cluster.run(length_s=LOST_ANSWERS_END_S + 35.0, job_count=25))
        assert not find_stuck_work(cluster), f"seed {seed}: {find_stuck_work(cluster)}"
        lost_count += len(cluster.lost_answers)
    assert lost_count >= 4, "no answer was lost"


def rewrite_unanswered_acceptance(patch: Patch) -> None:
    """The acceptance is taken for failed, and written again without guards, when the job may have ended already."""
    commit = GroupCommitter.commit

    async def commit_again_without_guards(
        self: GroupCommitter, guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None
    ) -> int:
        try:
            return await commit(self, guards, ops, confirm)
        except Unreachable:
            if not writes_prefix(LIVE_JOB_PREFIX)(ops):
                raise
            return await commit(self, [], ops)

    patch.setattr(GroupCommitter, "commit", commit_again_without_guards)


def take_unanswered_cancel_for_failed(patch: Patch) -> None:
    cancel = SubmissionHandlers._cancel

    async def cancel_failing_if_unanswered(self: SubmissionHandlers, job_id: str) -> Response:
        commit = self.group_commit.commit
        unanswered: list[bool] = []

        async def commit_recording_unanswered(guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
            try:
                return await commit(guards, ops, confirm)
            except Unreachable:
                unanswered.append(True)
                raise

        self.group_commit.commit = commit_recording_unanswered  # type: ignore[method-assign]
        response = await cancel(self, job_id)
        return json_response(200, status_response(job_id, "running")) if unanswered else response

    patch.setattr(SubmissionHandlers, "_cancel", cancel_failing_if_unanswered)


def take_unanswered_election_for_lost(patch: Patch) -> None:
    _replace_leader_read_in_election(patch, lambda: None)


def take_unanswered_election_for_won(patch: Patch) -> None:
    """The version of the leader key is not read: version 1 is assumed."""
    _replace_leader_read_in_election(patch, lambda: Entry(LEADER_KEY, {}, 1))


def _replace_leader_read_in_election(patch: Patch, read_leader_entry: Callable[[], Entry | None]) -> None:
    try_acquire = LeaderElection._try_acquire_leadership

    async def try_acquire_unread(self: LeaderElection) -> LeaderLease | None:
        get, lease_ids = self.kv_store.get, []
        grant_lease = self.kv_store.grant_lease

        async def grant_recording_lease(ttl: Any) -> int:
            lease_ids.append(await grant_lease(ttl))
            return lease_ids[-1]

        async def get_leader_entry(key: str, **options: Any) -> Entry | None:
            if key != LEADER_KEY:
                return await get(key, **options)
            entry = read_leader_entry()
            if entry is not None:
                entry.value = {"lease": lease_ids[-1]}
            return entry

        self.kv_store.get, self.kv_store.grant_lease = get_leader_entry, grant_recording_lease  # type: ignore[method-assign, assignment]
        try:
            return await try_acquire(self)
        finally:
            self.kv_store.get, self.kv_store.grant_lease = get, grant_lease  # type: ignore[method-assign]

    patch.setattr(LeaderElection, "_try_acquire_leadership", try_acquire_unread)


def _skip_version_refresh(patch: Patch, prefix: str) -> None:
    """An unanswered write is taken for failed, and retried forever with its old version."""
    refresh = LogWriter._refresh_versions

    async def refresh_other_versions(self: LogWriter, keys: list[str]) -> None:
        await refresh(self, [key for key in keys if not key.startswith(prefix)])

    patch.setattr(LogWriter, "_refresh_versions", refresh_other_versions)


def skip_job_end_refresh(patch: Patch) -> None:
    async def skip_refresh(self: LogWriter, job_id: str) -> None:
        return None

    patch.setattr(LogWriter, "refresh_job_end", skip_refresh)


def skip_delta_version_refresh(patch: Patch) -> None:
    _skip_version_refresh(patch, LOG_PREFIX + DELTA_KEY_PREFIX)


def skip_log_version_refresh(patch: Patch) -> None:
    _skip_version_refresh(patch, LOG_PREFIX)


def skip_chunk_version_refresh(patch: Patch) -> None:
    _skip_version_refresh(patch, COMPLETED_TASKS_PREFIX)


@pytest.mark.parametrize(
    ("write_type", "variant", "looks_up_writes"),
    [
        ("acceptance", rewrite_unanswered_acceptance, True),
        ("cancel", take_unanswered_cancel_for_failed, False),
        ("end", skip_job_end_refresh, False),
        ("election", take_unanswered_election_for_lost, True),
        ("election", take_unanswered_election_for_won, True),
        ("task deltas", skip_delta_version_refresh, False),
        ("machine segments", skip_log_version_refresh, False),
        ("completed-task chunks", skip_chunk_version_refresh, False),
    ],
)
def test_taking_lost_answer_for_failed_write_is_caught(
    write_type: str, variant: Variant, looks_up_writes: bool, monkeypatch: Patch
) -> None:
    """Runs without lookups where a lookup would confirm the write before its writer can take it for failed."""
    if not looks_up_writes:
        skip_lookup_of_unanswered_writes(monkeypatch)
    variant(monkeypatch)
    for seed in range(8060, 8064):
        cluster = LostAnswersCluster(seed, write_type, 1.0 if write_type == "election" else 0.5)
        cluster.run(length_s=LOST_ANSWERS_END_S + 35.0, job_count=25)
        if cluster.rule_violations or cluster.errors or find_stuck_work(cluster):
            return
    pytest.fail("nothing was caught")


def measure_log_write_durations(patch: Patch) -> list[float]:
    """Seconds from a leader's first pending log write to the answer or the confirmation that it is written."""
    commit = LogWriter._commit_batch
    pending_since: dict[LogWriter, float] = {}
    durations_s: list[float] = []

    async def commit_measuring_duration(self: LogWriter, batch: Any) -> None:
        pending_since.setdefault(self, virtual_now())
        await commit(self, batch)
        if not self._is_failing:
            durations_s.append(virtual_now() - pending_since.pop(self))

    patch.setattr(LogWriter, "_commit_batch", commit_measuring_duration)
    return durations_s


@pytest.mark.parametrize("looks_up_writes", [True, False])
@pytest.mark.parametrize("write_type", ["task deltas", "machine segments", "end"])
def test_log_write_whose_answer_is_lost_is_confirmed_soon(
    write_type: str, looks_up_writes: bool, monkeypatch: Patch
) -> None:
    if not looks_up_writes:
        skip_lookup_of_unanswered_writes(monkeypatch)
    confirmation_times_s = measure_log_write_durations(monkeypatch)
    cluster = LostAnswersCluster(8061, write_type)
    cluster.run(length_s=LOST_ANSWERS_END_S + 35.0, job_count=25)
    assert len(cluster.lost_answers) >= 3
    assert (
        max(confirmation_times_s) < CONFIRMED_WITHIN_S
        if looks_up_writes
        else max(confirmation_times_s) > 4 * CONFIRMED_WITHIN_S
    ), max(confirmation_times_s)


async def start_three_drains(cluster: SimulatedCluster) -> None:
    assert isinstance(cluster, EvictionCluster)
    await asyncio.sleep(12)
    for name in ("one", "two", "three"):
        while await cluster.start_drain(name, deadline_s=40) not in (200, 201):
            await asyncio.sleep(1.0)
        await asyncio.sleep(8)


def cluster_with_drains(seed: int) -> tuple[EvictionCluster, list[str]]:
    cluster = make_eviction_cluster(seed, restart_delay_range_s=(0.1, 1.0))
    lost_answers = lose_answers(cluster, "drains", 0.5)
    cluster.schedule_action(start_three_drains)
    return cluster, lost_answers


def cluster_with_workflows(seed: int, write_type: str) -> tuple[WorkflowCluster, list[str]]:
    cluster: WorkflowCluster
    if write_type == "workflows":
        cluster = WorkflowCluster(seed, without_random_faults=True, restart_delay_range_s=(0.1, 0.5))
        cluster.registry.run_time_range_s = (1.0, 3.0)
        cluster.schedule_action(cluster.watch_viewer)
        cluster.schedule_action(lambda _: submit_ten_amendments(cluster))
    else:
        cluster = DeadlineCluster(
            seed, make_deadline_config(time(0, 1)), amendment_count=6, restart_delay_range_s=(0.1, 1.0)
        )
        cluster.schedule_action(cluster.submit_night_work)
    return cluster, lose_answers(cluster, write_type, 0.5)


async def submit_ten_amendments(cluster: WorkflowCluster) -> None:
    await asyncio.sleep(8)
    for turn in range(10):
        cluster.spawn(cluster.submit_amendment(cluster.registry.make_amendment([f"lot-{turn % 4}"])))
        await asyncio.sleep(3)


def record_workflow_states(cluster: WorkflowCluster) -> dict[str, str]:
    """The states of the workflows shortly before the simulated day ends."""
    states: dict[str, str] = {}

    async def read_states(_: SimulatedCluster) -> None:
        await asyncio.sleep(LOST_ANSWERS_END_S + 30.0)
        states.update(cluster.workflow_states())

    cluster.schedule_action(read_states)
    return states


def test_drains_whose_write_answers_are_lost_are_stored_and_end() -> None:
    for seed in range(8070, 8072):
        cluster, lost_answers = cluster_with_drains(seed)
        raise_first_failure(cluster.run(length_s=LOST_ANSWERS_END_S + 45.0, job_count=20))
        assert len(lost_answers) >= 3 and not drains_without_end(cluster), (
            len(lost_answers),
            drains_without_end(cluster),
        )
        assert {
            f"{drain_store.REQUEST_KEY_PREFIX}{name}" for name in ("one", "two", "three")
        } <= cluster.kv_store.keys.keys()


def drains_without_end(cluster: EvictionCluster) -> set[str]:
    """Accepted drains without a stored end; drains that ended long ago are deleted and not counted."""
    requests = [
        value for key, (value, _, _) in cluster.kv_store.keys.items() if key.startswith(drain_store.REQUEST_KEY_PREFIX)
    ]
    return {str(value) for value in requests if not value.get("ended_ms")}


@pytest.mark.parametrize("write_type", ["workflows", "delivery deadlines"])
def test_workflows_whose_write_answers_are_lost_are_accepted_and_end(write_type: str, monkeypatch: Patch) -> None:
    # The default interval is 30 s, with which some simulated days lose no answer of these writes.
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.SAVE_INTERVAL", seconds(1))
    for seed in range(8080, 8082):
        cluster, lost_answers = cluster_with_workflows(seed, write_type)
        states = record_workflow_states(cluster)
        raise_first_failure(cluster.run(length_s=LOST_ANSWERS_END_S + 35.0, job_count=2))
        assert lost_answers and len(cluster.accepted_at) == len(cluster.sent_amendments), (
            len(lost_answers),
            cluster.answer_statuses,
        )
        assert states and set(states.values()) <= {"done", "superseded"}, states


def skip_version_read_of_unanswered_writes(patch: Patch) -> None:
    async def skip_refresh(self: FencedWriter, key: str) -> None:
        self._uncertain_keys.discard(key)

    patch.setattr(FencedWriter, "refresh_version", skip_refresh)


def count_write_conflicts(cluster: SimulatedCluster) -> Counter[tuple[str, int]]:
    """How often a write of the leader conflicted, by key and version."""
    conflicts: Counter[tuple[str, int]] = Counter()

    async def watch_transactions(cluster: SimulatedCluster) -> None:
        commit_transaction = cluster.kv_store.commit_transaction

        def commit_counting_conflicts(body: dict[str, Any]) -> Reply:
            answer = commit_transaction(body)
            conflicts.update(conflicting_guards(body, answer, CONTROLLER_KEY_PREFIXES))
            return answer

        cluster.kv_store.commit_transaction = commit_counting_conflicts  # type: ignore[method-assign]

    cluster.schedule_action(watch_transactions)
    return conflicts


@pytest.mark.parametrize(("looks_up_writes", "skips_version_read"), [(True, False), (False, False), (False, True)])
@pytest.mark.parametrize("write_type", ["drains", "workflows", "delivery deadlines"])
def test_fenced_writer_taking_lost_answer_for_failure_is_caught(
    write_type: str, looks_up_writes: bool, skips_version_read: bool, monkeypatch: Patch
) -> None:
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.SAVE_INTERVAL", seconds(1))
    if not looks_up_writes:
        skip_lookup_of_unanswered_writes(monkeypatch)
    if skips_version_read:
        skip_version_read_of_unanswered_writes(monkeypatch)
    cluster, lost_answers = (
        cluster_with_drains(8070) if write_type == "drains" else cluster_with_workflows(8080, write_type)
    )
    conflicts = count_write_conflicts(cluster)
    cluster.run(length_s=LOST_ANSWERS_END_S + 35.0, job_count=5)
    assert lost_answers
    max_conflicts = max(conflicts.values(), default=0)
    # A writer that reads the version before it retries has no conflicts.
    assert max_conflicts >= MAX_CONFLICTS if skips_version_read else max_conflicts == 0, conflicts
