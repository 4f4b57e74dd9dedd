"""Combined faults on the users' side: each is brought about on purpose, and broken variants of the service are caught.

The table of what each of them rests on: `docs/notes/combined-faults-users.md`.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import time
from typing import Any

import pytest

from roseweir.clock import monotonic_now, seconds
from roseweir.controller.leader import LeaderTerm
from roseweir.delivery_deadlines.controller import NIGHT_REPORTS_KEY as PROMISES
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
from roseweir.workflows import store as chain_store
from tests.simulation import user_faults
from tests.simulation.cluster import (
    SimulatedCluster,
    SimulatedController,
    SimulatedKeyValueStore,
    json_reply,
    virtual_now,
)
from tests.simulation.eviction import EvictionCluster
from tests.simulation.fault_combinations import LongTaskCluster, is_caught
from tests.simulation.linearizability import Action
from tests.simulation.workflows import WorkflowCluster
from tests.test_delivery_deadlines import DeadlineCluster, make_deadline_config
from tests.test_eviction_days import make_eviction_cluster
from tests.test_simulated_days import check

Patch = pytest.MonkeyPatch
Variant = Callable[[Patch], None]
Guards = list[tuple[str, int]]
Ops = list[dict[str, Any]]

# The part of submissions that is to be answered within QUICK_S seconds.
QUICK_SHARE, QUICK_S = 0.98, 0.2
# Answers are lost up to this instant of a day, in seconds.
LOSSES_END = 60.0
# A record of which only the answer is lost is proven within this many seconds.
RECORDED_S = 0.5
# A record is refused so often at most over one version of a key: by the try that teaches its writer the next one, and
# by one that was under way.
AGAIN = 2

# -- users look at all nodes within milliseconds of each acceptance, end and cancel ---------------------


def looked_at(seed: int) -> SimulatedCluster:
    """What the state service has read is on its way back for some milliseconds, in which it may grow old."""
    cluster = SimulatedCluster(seed, is_calm=True, controller_count=3 if seed % 2 else 5)
    cluster.max_store_delay_s = 0.04
    cluster.schedule_action(lambda cluster: user_faults.concurrent_polls(cluster, 70.0))
    return cluster


def test_no_node_answers_something_older_than_any_node_has_within_milliseconds() -> None:
    for seed in range(8000, 8003):
        cluster = looked_at(seed)
        check(cluster.run(length_s=75, job_count=30))
        assert len(cluster.history.operations) > 700 and len(cluster.observed_ends) > 12


def reads_under_way_answer_new_polls(patch: Patch) -> None:
    """A poll that comes while the view is read is answered by that read, which was sent before it."""
    answer = LiveJobCache._answer_polls

    async def early(self: LiveJobCache, waiting: list[Any]) -> None:
        came, self._pending_polls = self._pending_polls, []
        await answer(self, waiting + came)

    patch.setattr(LiveJobCache, "_answer_polls", early)


def _answered_before_they_are_durable(patch: Patch, prefix: str) -> None:
    commit = GroupCommitter.commit

    async def hasty(self: GroupCommitter, guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
        if not any(op.get("put", "").startswith(prefix) for op in ops):
            return await commit(self, guards, ops, confirm)
        task = asyncio.get_running_loop().create_task(commit(self, guards, ops, confirm))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return 0

    patch.setattr(GroupCommitter, "commit", hasty)


def accepted_before_it_is_durable(patch: Patch) -> None:
    _answered_before_they_are_durable(patch, LIVE_JOB_PREFIX)


def cancelled_before_it_is_durable(patch: Patch) -> None:
    _answered_before_they_are_durable(patch, COMPLETED_JOB_PREFIX)


def ends_read_before_what_lives(patch: Patch) -> None:
    """In this order a job that ends between the two reads is found under neither key."""

    async def read(self: JobStatusReader, job_id: str) -> JobStatus | None:
        over = await self.kv_store.get(COMPLETED_JOB_PREFIX + job_id)
        if over is not None:
            return JobStatus(decode_completed_job(over.value).state)
        live = await self.live_job_cache.read_progress(job_id)
        return None if live is None else JobStatus("running", *live)

    patch.setattr(JobStatusReader, "read", read)


@pytest.mark.parametrize(
    "variant",
    [
        reads_under_way_answer_new_polls,
        accepted_before_it_is_durable,
        cancelled_before_it_is_durable,
        ends_read_before_what_lives,
    ],
)
def test_an_older_answer_within_milliseconds_is_caught(variant: Variant, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(looked_at, range(8000, 8006), "history: ", 75, 30)


# -- a cancel comes as its job is being accepted --------------------------------------------------------


async def submitted(cluster: SimulatedCluster, job: dict[str, Any]) -> None:
    await asyncio.sleep(cluster.rng.uniform(0.0, 0.12))
    await user_faults.request_controller(cluster, cluster.nodes[0], "POST", "/submissions", user_faults.to_wire(job))


def cancelled_at_once(seed: int) -> SimulatedCluster:
    """Users call a job off at other nodes while its submission is under way."""
    cluster = SimulatedCluster(seed, is_calm=True)
    cluster.max_store_delay_s = 0.04

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(5)
        for _ in range(150):
            job = cluster.make_job()
            job_id = job["name_id"]
            cluster.jobs[job_id] = job
            cluster.cancel_requested.add(job_id)
            cluster.spawn(submitted(cluster, job))
            await asyncio.sleep(cluster.rng.uniform(0.0, 0.12))
            await user_faults.cancel_until_answered(cluster, job_id, cluster.nodes[1])
            cluster.spawn(user_faults.cancel_until_answered(cluster, job_id, cluster.nodes[2]))
            await asyncio.sleep(0.1)

    cluster.schedule_action(act)
    return cluster


def test_a_cancel_that_meets_the_acceptance_is_told_an_end_or_that_nobody_knows_the_job() -> None:
    cluster = cancelled_at_once(8090)
    check(cluster.run(length_s=60, job_count=2))
    statuses = Counter(one.status for one in cluster.history.operations if one.action is Action.CANCEL)
    assert statuses[200] > 50 and statuses[404] > 20, statuses


def a_cancel_is_answered_with_what_lives(patch: Patch) -> None:
    """It finds no job, and then one that was accepted meanwhile: its user hears 200 and `queued`, and it runs."""
    cancel = SubmissionHandlers._cancel

    async def once(self: SubmissionHandlers, job_id: str) -> Response:
        if await self.kv_store.get(LIVE_JOB_PREFIX + job_id) is None:
            known = await self._respond_if_accepted(job_id)
            return known or json_response(404, {"error": "no such job"})
        return await cancel(self, job_id)

    patch.setattr(SubmissionHandlers, "_cancel", once)


def test_a_cancel_that_is_answered_with_what_lives_is_caught(monkeypatch: Patch) -> None:
    a_cancel_is_answered_with_what_lives(monkeypatch)
    assert is_caught(cancelled_at_once, range(8090, 8091), "cancel_without_an_end", 60, 2)


# -- a cancel, a question or a repeat meets the end of the last task ------------------------------------


def met_at_the_end(seed: int) -> SimulatedCluster:
    cluster = LongTaskCluster(seed)
    cluster.task_duration_s, cluster.max_tasks = 3.0, 3
    cluster.schedule_action(lambda cluster: user_faults.cancel_at_end(cluster, 60.0))
    return cluster


def ends_that_met(cluster: SimulatedCluster) -> tuple[int, int]:
    """Of the jobs that users cancelled: how many ended as done, and how many as cancelled."""
    ends = [
        cluster.state.keys[COMPLETED_JOB_PREFIX + job][0]["state"]
        for job in cluster.cancel_requested
        if COMPLETED_JOB_PREFIX + job in cluster.state.keys
    ]
    return ends.count("done"), ends.count("cancelled")


def test_a_job_that_is_cancelled_as_its_last_task_ends_has_one_end_for_everybody() -> None:
    done = cancelled = 0
    for seed in range(8010, 8013):
        cluster = met_at_the_end(seed)
        check(cluster.run(length_s=70, job_count=30))
        some_done, some_cancelled = ends_that_met(cluster)
        done, cancelled = done + some_done, cancelled + some_cancelled
    assert done > 5 and cancelled > 5, "the cancels did not meet the ends"


def a_lost_race_is_told_as_cancelled(patch: Patch) -> None:
    """The cancel's transaction fails as the end came first, and the user hears `aborted` all the same."""
    cancel = SubmissionHandlers._cancel

    async def sure(self: SubmissionHandlers, job_id: str) -> Response:
        commit = self.group_commit.commit
        lost: list[bool] = []

        async def watched(guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
            try:
                return await commit(guards, ops, confirm)
            except CompareFailed:
                lost.append(True)
                raise

        self.group_commit.commit = watched  # type: ignore[method-assign]
        response = await cancel(self, job_id)
        return json_response(200, status_response(job_id, "cancelled")) if lost else response

    patch.setattr(SubmissionHandlers, "_cancel", sure)


def whoever_cancels_comes_too_late(patch: Patch) -> None:
    """What nobody has live any more is told as cancelled: it may be done."""

    async def cancel(self: SubmissionHandlers, job_id: str) -> Response:
        live = await self.kv_store.get(LIVE_JOB_PREFIX + job_id)
        if live is None:
            return json_response(200, status_response(job_id, "cancelled"))
        return await plain(self, job_id)

    plain = SubmissionHandlers._cancel
    patch.setattr(SubmissionHandlers, "_cancel", cancel)


@pytest.mark.parametrize("variant", [a_lost_race_is_told_as_cancelled, whoever_cancels_comes_too_late])
def test_an_end_that_is_told_in_two_ways_is_caught(variant: Variant, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(met_at_the_end, range(8010, 8014), "history: went_back", 70, 30)


# -- cancels in the seconds in which the work changes hands ---------------------------------------------


def cancelled_in_hand_overs(seed: int) -> LongTaskCluster:
    """Long jobs; at each hand-over some are cancelled at drawn instants, while the state service answers slowly."""
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


def test_jobs_cancelled_while_the_work_changes_hands_are_gone_in_time() -> None:
    cancelled = 0
    for seed in range(8020, 8024):
        cluster = cancelled_in_hand_overs(seed)
        check(cluster.run(length_s=100, job_count=30))
        cancelled += len(cluster.cancelled_at)
        assert len(cluster.leader_by_term) >= 4, "the work did not change hands"
    assert cancelled > 25


def cancels_during_the_rebuild_are_missed(patch: Patch) -> None:
    """The new leader watches from after its rebuild, not from before the first page that it read."""
    rebuild = LeaderTerm._recover

    async def later(self: LeaderTerm) -> int:
        await rebuild(self)
        _, revision = await self.kv_store.scan("lead/")
        return revision

    patch.setattr(LeaderTerm, "_recover", later)


def test_a_cancel_that_is_lost_between_two_leaders_is_caught(monkeypatch: Patch) -> None:
    cancels_during_the_rebuild_are_missed(monkeypatch)
    assert is_caught(cancelled_in_hand_overs, range(8020, 8040), "ran_cancelled", 100, 30)


# -- leaders change ten times in two minutes, also inside an outage -------------------------------------


def many_leaders(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, is_calm=True, restart_delay_range_s=(0.05, 0.9), max_clock_skew_s=0.5)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        cluster.spawn(user_faults.repeated_failovers(cluster, 75.0))
        for _ in range(3):
            await asyncio.sleep(cluster.rng.uniform(10.0, 20.0))
            await cluster.inject_fault("outage")

    cluster.schedule_action(act)
    return cluster


def test_ten_leaders_in_two_minutes_also_inside_an_outage_break_no_rule() -> None:
    for seed in range(8030, 8033):
        cluster = many_leaders(seed)
        check(cluster.run(length_s=120, job_count=25))
        assert len(cluster.leader_by_term) >= 10, f"seed {seed}: only {len(cluster.leader_by_term)} terms"
        assert len(cluster.observed_ends) > 8, f"seed {seed}: the users heard of {len(cluster.observed_ends)} ends"


def a_former_term_goes_on(patch: Patch) -> None:
    """A process that returns within a second finds its former self's lease, and takes it for its own."""

    async def resume(self: LeaderElection) -> None:
        entry = await self.kv_store.get(LEADER_KEY)
        if entry is not None and self.leader is not None and entry.value["name"] == self.settings.name:
            await self._hold_leadership(
                LeaderLease(self.leader.term, self.leader.lease_id, entry.version, monotonic_now())
            )

    patch.setattr(LeaderElection, "_revoke_stale_lease", resume)


def test_a_term_that_a_returning_process_goes_on_with_is_caught(monkeypatch: Patch) -> None:
    a_former_term_goes_on(monkeypatch)
    assert is_caught(many_leaders, range(8030, 8034), "used_twice", 120, 25)


# -- odd requests -----------------------------------------------------------------------------------------


def oddly_asked(seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed, is_calm=True, restart_delay_range_s=(0.2, 1.0))

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(5)
        cluster.spawn(user_faults.invalid_requests(cluster, 60.0))
        await asyncio.sleep(20)
        await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(act)
    return cluster


def test_odd_requests_get_the_answers_of_the_protocol_and_leave_nothing() -> None:
    statuses: set[tuple[str, int]] = set()
    for seed in range(8040, 8042):
        cluster = oddly_asked(seed)
        check(cluster.run(length_s=75, job_count=25))
        statuses |= {(one.action.value, one.status) for one in cluster.history.operations}
        known = {
            key.partition("/")[2]
            for key in cluster.state.keys
            if key.startswith((LIVE_JOB_PREFIX, COMPLETED_JOB_PREFIX))
        }
        assert known <= cluster.jobs.keys()
    assert {("submit", 400), ("submit", 422), ("submit", 200), ("cancel", 200)} <= statuses


def what_cannot_run_is_accepted(patch: Patch) -> None:
    patch.setattr("roseweir.submissions.handlers.rejection_reason", lambda spec, teams, catalog: None)


def missing_fields_are_made_up(patch: Patch) -> None:
    judge = SubmissionHandlers._validate_submission
    usual = {"docket": "x", "crew": "t0", "shape": "sweep", "rank": "normal", "parcels": 1, "cores": 1.0}

    def lenient(self: SubmissionHandlers, value: Any) -> Any:
        return judge(self, usual | value)

    patch.setattr(SubmissionHandlers, "_validate_submission", lenient)


def repeats_are_refused(patch: Patch) -> None:
    submit = SubmissionHandlers._submit

    async def strict(self: SubmissionHandlers, request: Request) -> Response:
        response = await submit(self, request)
        return json_response(400, {"error": "known already"}) if response.status == 200 else response

    patch.setattr(SubmissionHandlers, "_submit", strict)


@pytest.mark.parametrize(
    ("variant", "rule"),
    [
        (what_cannot_run_is_accepted, "accepted_wrongly"),
        (missing_fields_are_made_up, "accepted_wrongly"),
        (repeats_are_refused, "forgotten"),
        (whoever_cancels_comes_too_late, "went_back"),
    ],
)
def test_a_wrong_answer_to_an_odd_request_is_caught(variant: Variant, rule: str, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert is_caught(oddly_asked, range(8040, 8044), rule, 75, 25)


# -- one-task jobs four a second for minutes, a quarter cancelled -----------------------------------------

SMALL_JOBS, SMALL_S, CHANGES_A_SECOND = 480, 171.0, 30.0
# Jobs that a leader holds at once at most: about three seconds' worth of them run.
HELD_MOST = 60


class Limit:
    """The state service's limits on requests and on changes, with bursts of one second's worth."""

    def __init__(self, state: SimulatedKeyValueStore, rps: float, write_rps: float) -> None:
        self.rates = {"requests": rps, "changes": write_rps}
        self.left = dict(self.rates)
        self.at = virtual_now()
        self.refused = 0
        self._handle = state.handle
        state.handle = self.handle  # type: ignore[method-assign]

    async def handle(self, node: str, method: str, path: str, body: Any) -> Reply:
        span, self.at = virtual_now() - self.at, virtual_now()
        self.left = {what: min(rate, self.left[what] + span * rate) for what, rate in self.rates.items()}
        changes = len(body["then"]) if path == "/txn" else 0
        if self.left["requests"] < 1 or self.left["changes"] < changes:
            self.refused += 1
            return json_reply(429)
        self.left["requests"] -= 1
        self.left["changes"] -= changes
        return await self._handle(node, method, path, body)


class Swarm(LongTaskCluster):
    """Jobs of one task each, of which users cancel a quarter, and what the service keeps for them."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, write_rps=CHANGES_A_SECOND, scale=3)
        self.task_duration_s, self.max_tasks = 2.0, 2
        self.took: list[float] = []
        self.held_most = 0
        self.limit: Limit | None = None
        self.left_behind: list[str] = []
        self.schedule_action(lambda _: self._limited())

    async def _limited(self) -> None:
        self.limit = Limit(self.state, 200.0, CHANGES_A_SECOND)
        while True:
            await asyncio.sleep(1.0)
            self.held_most = max([self.held_most, *(len(cluster_state.jobs) for cluster_state in self._boards())])
            self.left_behind = sorted(
                k for k in self.state.keys if k.startswith((LIVE_JOB_PREFIX, COMPLETED_TASKS_PREFIX))
            )

    def _boards(self) -> list[ClusterState]:
        reigns = [node.service.leader_term for node in self.nodes if node.service is not None]
        return [reign.cluster_state for reign in reigns if reign is not None]

    def make_job(self) -> dict[str, Any]:
        return super().make_job() | {"parcels": 1}

    async def run_user(self) -> None:
        job = self.make_job()
        job_id = job["name_id"]
        self.jobs[job_id] = job
        begun, status = virtual_now(), 0
        while status not in (200, 201):
            status, answer = await self.ask("POST", "/submissions", user_faults.to_wire(job))
            self.check_answer(job_id, status, answer)
            if status not in (200, 201):
                await asyncio.sleep(1.0)
        self.accepted_jobs.add(job_id)
        self.accepted_at[job_id] = virtual_now()
        self.took.append(virtual_now() - begun)
        if self.rng.random() < 0.25:
            await asyncio.sleep(self.rng.uniform(0.0, 4.0))
            await user_faults.cancel_until_answered(self, job_id)
        while job_id not in self.observed_ends:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            self.check_answer(job_id, *await self.ask("GET", f"/submissions/{job_id}"))


def fell_short(cluster: Swarm) -> list[str]:
    """What of the bounds of a swarm's day does not hold."""
    assert cluster.limit is not None
    quick = sum(took <= QUICK_S for took in cluster.took) / len(cluster.took)
    held = {
        "latency": quick >= QUICK_SHARE,
        "rate": cluster.limit.refused == 0,
        "memory": cluster.held_most <= HELD_MOST,
        "left behind": not cluster.left_behind,
        "ends": len(cluster.observed_ends) == len(cluster.accepted_jobs) == SMALL_JOBS,
    }
    return [what for what, well in held.items() if not well]


def played_swarm(seed: int = 8050) -> Swarm:
    cluster = Swarm(seed)
    cluster.run(length_s=SMALL_S, job_count=SMALL_JOBS)
    return cluster


def test_a_swarm_of_one_task_jobs_stays_within_the_rate_and_leaves_nothing_behind() -> None:
    cluster = played_swarm()
    check(cluster)
    assert fell_short(cluster) == []
    assert len(cluster.cancelled_at) > SMALL_JOBS / 8


def jobs_that_are_over_stay_in_memory(patch: Patch) -> None:
    patch.setattr(ClusterState, "_forget_finished_job", lambda self, run: None)


def _written_with_acceptances(patch: Patch, more: Callable[[str], list[str]]) -> None:
    """Further keys of each job, named by its id, that its acceptance writes."""
    commit = GroupCommitter.commit

    async def with_more(self: GroupCommitter, guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
        jobs = [op["put"].removeprefix(LIVE_JOB_PREFIX) for op in ops if op.get("put", "").startswith(LIVE_JOB_PREFIX)]
        added = [put(key, {"n": 1}) for job_id in jobs for key in more(job_id)]
        return await commit(self, guards, ops + added, confirm)

    patch.setattr(GroupCommitter, "commit", with_more)


def chunks_are_made_at_acceptance(patch: Patch) -> None:
    """The end deletes the chunks that its leader wrote, and so not this one."""
    _written_with_acceptances(patch, lambda job_id: [chunk_key(job_id, 0)])


def jobs_are_listed_by_other_keys_too(patch: Patch) -> None:
    """By team, class, image, zone and type: five more changes a job, and nothing waits for the rate."""
    _written_with_acceptances(patch, lambda job_id: [f"by-{what}/{job_id}" for what in range(5)])

    async def at_once(self: RateLimiter, *args: float) -> float:
        return self.max_tokens

    patch.setattr(RateLimiter, "acquire", at_once)
    patch.setattr(RateLimiter, "wait_for_tokens", at_once)


@pytest.mark.parametrize(
    ("variant", "what"),
    [
        (jobs_that_are_over_stay_in_memory, "memory"),
        (chunks_are_made_at_acceptance, "left behind"),
        (jobs_are_listed_by_other_keys_too, "rate"),
    ],
)
def test_a_service_that_does_not_bear_a_swarm_is_caught(variant: Variant, what: str, monkeypatch: Patch) -> None:
    variant(monkeypatch)
    assert what in fell_short(played_swarm())


# -- a transaction is carried out at once, and only its answer is lost -------------------------------------

KEYED = (drain_store.KEY_PREFIX, chain_store.PAGE_KEY_PREFIX, PROMISES)


def writes(prefix: str, state: str = "") -> Callable[[Ops], bool]:
    """Whether a transaction puts such a key, of a job that ended so."""

    def found(ops: Ops) -> bool:
        puts = [op for op in ops if op.get("put", "").startswith(prefix)]
        return any(not state or op["v"]["state"] == state for op in puts)

    return found


WRITES: dict[str, Callable[[Ops], bool]] = {
    "acceptance": writes(LIVE_JOB_PREFIX),
    "cancel": writes(COMPLETED_JOB_PREFIX, "cancelled"),
    "end": writes(COMPLETED_JOB_PREFIX, "done"),
    "election": writes(LEADER_KEY),
    "starts and ends of tasks": writes(LOG_PREFIX + DELTA_KEY_PREFIX),
    "machines' pages": writes(LOG_PREFIX + "0"),
    "chunks of tasks done": writes(COMPLETED_TASKS_PREFIX),
    "drains": writes(drain_store.KEY_PREFIX),
    "chains": writes(chain_store.PAGE_KEY_PREFIX),
    "promises": writes(PROMISES),
}


def loses_answers(cluster: SimulatedCluster, what: str, share: float) -> list[str]:
    """Of transactions of this kind, that share; now and then the leader that lost one ends before it asks again."""
    lost: list[str] = []

    def loses(node: SimulatedController, body: dict[str, Any]) -> bool:
        if virtual_now() > LOSSES_END or not WRITES[what](body["then"]) or cluster.rng.random() >= share:
            return False
        lost.append(node.name)
        if what != "election" and cluster.rng.random() < 0.1 and node is cluster.current_leader():
            cluster.spawn(ends_soon(node))
        return True

    async def ends_soon(node: SimulatedController) -> None:
        await asyncio.sleep(cluster.rng.uniform(0.0, 2.2))
        await cluster.restart_controller(node)

    cluster.is_answer_lost = loses  # type: ignore[method-assign]
    return lost


def refused_guards(body: dict[str, Any], answer: Reply, prefixes: tuple[str, ...]) -> list[tuple[str, int]]:
    """Keys under these prefixes, with their versions, over which a transaction of the present leader was refused."""
    failed = set(answer.json()["failed"]) if answer.status == 409 else set()
    if LEADER_KEY in failed:
        return []
    guards = [(guard["path"], guard["stamp"]) for guard in body["guards"]]
    return [(key, version) for key, version in guards if key in failed and key.startswith(prefixes)]


class Lossy(LongTaskCluster):
    """Short jobs of a few tasks that users look at closely, as the answers of one kind of write are lost."""

    def __init__(self, seed: int, what: str, share: float = 0.5) -> None:
        super().__init__(seed, restart_delay_range_s=(0.1, 1.0))
        self.max_tasks = 12
        self.lost = loses_answers(self, what, share)
        self.schedule_action(lambda world: user_faults.concurrent_polls(world, LOSSES_END))
        self.schedule_action(lambda world: user_faults.cancel_at_end(world, LOSSES_END))
        if what == "election":
            self.schedule_action(lambda world: user_faults.repeated_failovers(world, LOSSES_END - 20.0))
        self.lost_before = 0
        # How often a writer heard that a record was refused over one version of a key; what had started by LOSSES_END.
        self.refused: Counter[tuple[str, int]] = Counter()
        self.started = 0
        self.schedule_action(lambda _: self._look_at_records())

    async def _look_at_records(self) -> None:
        txn = self.state.commit_transaction

        def watched(body: dict[str, Any]) -> Reply:
            answer = txn(body)
            is_lost, self.lost_before = len(self.lost) > self.lost_before, len(self.lost)
            if not is_lost:
                self.refused.update(refused_guards(body, answer, (LOG_PREFIX, COMPLETED_TASKS_PREFIX)))
            return answer

        self.state.commit_transaction = watched  # type: ignore[method-assign]
        await asyncio.sleep(LOSSES_END)
        self.started = self.start_count

    def run_time(self, job: dict[str, Any]) -> float:
        return self.rng.choice([0.2, 3.0, 8.0])


def stuck(cluster: Lossy) -> list[str]:
    """What goes on for ever, or not at all, after answers were lost."""
    found = [f"{job} is not done" for job in sorted(cluster.unfinished_jobs(before=LOSSES_END - 10.0))]
    found += [f"{key} at {version} was refused {n} times" for (key, version), n in cluster.refused.items() if n > AGAIN]
    return found if cluster.started else [*found, "nothing started as answers were lost"]


def unanswered_writes_are_not_looked_up(patch: Patch) -> None:
    """No rule is broken by this, only time lost: whoever wrote hears that no answer came, and has to read."""

    async def sent(self: LeaderTransactions, guards: Guards, ops: Ops) -> int:
        return await self._kv_store.compare_and_swap(guards, ops)

    async def awaited(self: GroupCommitter, batch: list[Any]) -> None:
        for change in batch:
            await asyncio.wait({change.result})

    patch.setattr(LeaderTransactions, "commit", sent)
    patch.setattr(GroupCommitter, "_confirm_or_resend", awaited)


JOBS_WRITES = [what for what in WRITES if what not in ("drains", "chains", "promises")]


@pytest.mark.parametrize("looked_up", [True, False])
@pytest.mark.parametrize("what", JOBS_WRITES)
def test_a_write_of_which_only_the_answer_is_lost_breaks_no_rule(
    what: str, looked_up: bool, monkeypatch: Patch
) -> None:
    if not looked_up:
        unanswered_writes_are_not_looked_up(monkeypatch)
    lost = 0
    for seed in range(8060, 8062):
        cluster = Lossy(seed, what, 1.0 if what == "election" else 0.5)
        check(cluster.run(length_s=LOSSES_END + 35.0, job_count=25))
        assert not stuck(cluster), f"seed {seed}: {stuck(cluster)}"
        lost += len(cluster.lost)
    assert lost >= 4, "nothing was lost"


def an_unanswered_acceptance_is_written_again(patch: Patch) -> None:
    """It is taken for failed, and written without guards: the job may be over by then."""
    commit = GroupCommitter.commit

    async def again(self: GroupCommitter, guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
        try:
            return await commit(self, guards, ops, confirm)
        except Unreachable:
            if not writes(LIVE_JOB_PREFIX)(ops):
                raise
            return await commit(self, [], ops)

    patch.setattr(GroupCommitter, "commit", again)


def an_unanswered_cancel_is_taken_for_failed(patch: Patch) -> None:
    cancel = SubmissionHandlers._cancel

    async def failed(self: SubmissionHandlers, job_id: str) -> Response:
        commit = self.group_commit.commit
        lost: list[bool] = []

        async def watched(guards: Guards, ops: Ops, confirm: ConfirmWrite | None = None) -> int:
            try:
                return await commit(guards, ops, confirm)
            except Unreachable:
                lost.append(True)
                raise

        self.group_commit.commit = watched  # type: ignore[method-assign]
        response = await cancel(self, job_id)
        return json_response(200, status_response(job_id, "running")) if lost else response

    patch.setattr(SubmissionHandlers, "_cancel", failed)


def an_unanswered_election_is_taken_for_lost(patch: Patch) -> None:
    _with_an_unanswered_election(patch, lambda: None)


def an_unanswered_election_is_taken_for_won(patch: Patch) -> None:
    """Its key's version is not read."""
    _with_an_unanswered_election(patch, lambda: Entry(LEADER_KEY, {}, 1))


def _with_an_unanswered_election(patch: Patch, found: Callable[[], Entry | None]) -> None:
    campaign = LeaderElection._try_acquire_leadership

    async def unread(self: LeaderElection) -> LeaderLease | None:
        get, holds = self.kv_store.get, []
        hold = self.kv_store.grant_lease

        async def held(ttl: Any) -> int:
            holds.append(await hold(ttl))
            return holds[-1]

        async def answered(key: str, **more: Any) -> Entry | None:
            if key != LEADER_KEY:
                return await get(key, **more)
            entry = found()
            if entry is not None:
                entry.value = {"lease": holds[-1]}
            return entry

        self.kv_store.get, self.kv_store.grant_lease = answered, held  # type: ignore[method-assign, assignment]
        try:
            return await campaign(self)
        finally:
            self.kv_store.get, self.kv_store.grant_lease = get, hold  # type: ignore[method-assign]

    patch.setattr(LeaderElection, "_try_acquire_leadership", unread)


def _versions_are_not_learnt(patch: Patch, prefix: str) -> None:
    """The record of an unanswered write is taken for unwritten, and written again on its old version for ever."""
    refresh = LogWriter._refresh_versions

    async def some(self: LogWriter, keys: list[str]) -> None:
        await refresh(self, [key for key in keys if not key.startswith(prefix)])

    patch.setattr(LogWriter, "_refresh_versions", some)


def ends_are_not_learnt(patch: Patch) -> None:
    async def unread(self: LogWriter, job_id: str) -> None:
        return None

    patch.setattr(LogWriter, "refresh_job_end", unread)


def notes_versions_are_not_learnt(patch: Patch) -> None:
    _versions_are_not_learnt(patch, LOG_PREFIX + DELTA_KEY_PREFIX)


def pages_versions_are_not_learnt(patch: Patch) -> None:
    _versions_are_not_learnt(patch, LOG_PREFIX)


def chunks_versions_are_not_learnt(patch: Patch) -> None:
    _versions_are_not_learnt(patch, COMPLETED_TASKS_PREFIX)


@pytest.mark.parametrize(
    ("what", "variant", "looked_up"),
    [
        ("acceptance", an_unanswered_acceptance_is_written_again, True),
        ("cancel", an_unanswered_cancel_is_taken_for_failed, False),
        ("end", ends_are_not_learnt, False),
        ("election", an_unanswered_election_is_taken_for_lost, True),
        ("election", an_unanswered_election_is_taken_for_won, True),
        ("starts and ends of tasks", notes_versions_are_not_learnt, False),
        ("machines' pages", pages_versions_are_not_learnt, False),
        ("chunks of tasks done", chunks_versions_are_not_learnt, False),
    ],
)
def test_a_writer_that_takes_a_lost_answer_for_a_failure_is_caught(
    what: str, variant: Variant, looked_up: bool, monkeypatch: Patch
) -> None:
    """Where `looked_up` is False, a lookup proves the write before its writer can take it for failed."""
    if not looked_up:
        unanswered_writes_are_not_looked_up(monkeypatch)
    variant(monkeypatch)
    for seed in range(8060, 8064):
        cluster = Lossy(seed, what, 1.0 if what == "election" else 0.5)
        cluster.run(length_s=LOSSES_END + 35.0, job_count=25)
        if cluster.rule_violations or cluster.errors or stuck(cluster):
            return
    pytest.fail("nothing was caught")


def recorded_after(patch: Patch) -> list[float]:
    """Seconds for which a leader had something to record, up to the answer or the proof that it is recorded."""
    commit = LogWriter._commit_batch
    began: dict[LogWriter, float] = {}
    took: list[float] = []

    async def watched(self: LogWriter, batch: Any) -> None:
        began.setdefault(self, virtual_now())
        await commit(self, batch)
        if not self._is_failing:
            took.append(virtual_now() - began.pop(self))

    patch.setattr(LogWriter, "_commit_batch", watched)
    return took


@pytest.mark.parametrize("looked_up", [True, False])
@pytest.mark.parametrize("what", ["starts and ends of tasks", "machines' pages", "end"])
def test_a_record_of_which_the_answer_is_lost_is_proven_soon(what: str, looked_up: bool, monkeypatch: Patch) -> None:
    if not looked_up:
        unanswered_writes_are_not_looked_up(monkeypatch)
    took = recorded_after(monkeypatch)
    cluster = Lossy(8061, what)
    cluster.run(length_s=LOSSES_END + 35.0, job_count=25)
    assert len(cluster.lost) >= 3
    assert max(took) < RECORDED_S if looked_up else max(took) > 4 * RECORDED_S, max(took)


async def some_drains(cluster: SimulatedCluster) -> None:
    assert isinstance(cluster, EvictionCluster)
    await asyncio.sleep(12)
    for name in ("one", "two", "three"):
        while await cluster.start_drain(name, deadline_s=40) not in (200, 201):
            await asyncio.sleep(1.0)
        await asyncio.sleep(8)


def drained(seed: int) -> tuple[EvictionCluster, list[str]]:
    cluster = make_eviction_cluster(seed, restart_delay_range_s=(0.1, 1.0))
    lost = loses_answers(cluster, "drains", 0.5)
    cluster.schedule_action(some_drains)
    return cluster, lost


def chained(seed: int, what: str) -> tuple[WorkflowCluster, list[str]]:
    cluster: WorkflowCluster
    if what == "chains":
        cluster = WorkflowCluster(seed, is_calm=True, restart_delay_range_s=(0.1, 0.5))
        cluster.registry.run_time_range_s = (1.0, 3.0)
        cluster.schedule_action(cluster.watch_viewer)
        cluster.schedule_action(lambda _: some_amendments(cluster))
    else:
        cluster = DeadlineCluster(
            seed, make_deadline_config(time(0, 1)), amendment_count=6, restart_delay_range_s=(0.1, 1.0)
        )
        cluster.schedule_action(cluster.submit_night_work)
    return cluster, loses_answers(cluster, what, 0.5)


async def some_amendments(cluster: WorkflowCluster) -> None:
    await asyncio.sleep(8)
    for turn in range(10):
        cluster.spawn(cluster.submit_amendment(cluster.registry.make_amendment([f"lot-{turn % 4}"])))
        await asyncio.sleep(3)


def states_of(cluster: WorkflowCluster) -> dict[str, str]:
    """How the chains stand before the day ends."""
    states: dict[str, str] = {}

    async def look(_: SimulatedCluster) -> None:
        await asyncio.sleep(LOSSES_END + 30.0)
        states.update(cluster.workflow_states())

    cluster.schedule_action(look)
    return states


def test_drains_of_which_only_the_records_answers_are_lost_are_known_and_end() -> None:
    for seed in range(8070, 8072):
        cluster, lost = drained(seed)
        check(cluster.run(length_s=LOSSES_END + 45.0, job_count=20))
        assert len(lost) >= 3 and not not_ended(cluster), (len(lost), not_ended(cluster))
        assert {
            f"{drain_store.REQUEST_KEY_PREFIX}{name}" for name in ("one", "two", "three")
        } <= cluster.state.keys.keys()


def not_ended(cluster: EvictionCluster) -> set[str]:
    """Drains that were answered and have no recorded end, nor are forgotten as long over."""
    kept = [
        value for key, (value, _, _) in cluster.state.keys.items() if key.startswith(drain_store.REQUEST_KEY_PREFIX)
    ]
    return {str(value) for value in kept if not value.get("ended_ms")}


@pytest.mark.parametrize("what", ["chains", "promises"])
def test_chains_and_promises_of_which_only_the_records_answers_are_lost_are_taken_and_end(
    what: str, monkeypatch: Patch
) -> None:
    # Nights are saved every 30 s otherwise: on some days no answer of theirs was lost.
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.SAVE_INTERVAL", seconds(1))
    for seed in range(8080, 8082):
        cluster, lost = chained(seed, what)
        states = states_of(cluster)
        check(cluster.run(length_s=LOSSES_END + 35.0, job_count=2))
        assert lost and len(cluster.accepted_at) == len(cluster.sent_amendments), (len(lost), cluster.answer_statuses)
        assert states and set(states.values()) <= {"done", "superseded"}, states


def versions_of_unanswered_writes_are_not_read(patch: Patch) -> None:
    async def unread(self: FencedWriter, key: str) -> None:
        self._uncertain_keys.discard(key)

    patch.setattr(FencedWriter, "refresh_version", unread)


def refused_records(cluster: SimulatedCluster) -> Counter[tuple[str, int]]:
    """How often a leader's record was refused over one version of a key."""
    refused: Counter[tuple[str, int]] = Counter()

    async def look(cluster: SimulatedCluster) -> None:
        txn = cluster.state.commit_transaction

        def watched(body: dict[str, Any]) -> Reply:
            answer = txn(body)
            refused.update(refused_guards(body, answer, KEYED))
            return answer

        cluster.state.commit_transaction = watched  # type: ignore[method-assign]

    cluster.schedule_action(look)
    return refused


@pytest.mark.parametrize(("looked_up", "broken"), [(True, False), (False, False), (False, True)])
@pytest.mark.parametrize("what", ["drains", "chains", "promises"])
def test_a_keyed_record_that_takes_a_lost_answer_for_a_failure_is_caught(
    what: str, looked_up: bool, broken: bool, monkeypatch: Patch
) -> None:
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.SAVE_INTERVAL", seconds(1))
    if not looked_up:
        unanswered_writes_are_not_looked_up(monkeypatch)
    if broken:
        versions_of_unanswered_writes_are_not_read(monkeypatch)
    cluster, lost = drained(8070) if what == "drains" else chained(8080, what)
    refused = refused_records(cluster)
    cluster.run(length_s=LOSSES_END + 35.0, job_count=5)
    assert lost
    most = max(refused.values(), default=0)
    # Whoever reads first is never refused.
    assert most >= AGAIN if broken else most == 0, refused
