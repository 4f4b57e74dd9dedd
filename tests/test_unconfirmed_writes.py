"""Transactions whose answers are lost, or that run late or never: users get prompt answers confirmed by reads."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

import pytest

from roseweir.clock import monotonic_now
from roseweir.http import Reply, Request, Unreachable
from roseweir.kv_store import CompareFailed, Entry, StoreError
from roseweir.kv_store.client import REQUEST_TIMEOUT, put
from roseweir.kv_store.group_commit import GroupCommitter
from roseweir.kv_store.write_confirmation import LeaderTransactions, canonical_json
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.submissions.idempotency import KeyConfirmation, WriteConfirmations
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX
from tests.simulation import virtual_time
from tests.simulation.cluster import (
    SimulatedCloud,
    SimulatedCluster,
    SimulatedController,
    SimulatedKeyValueStore,
    virtual_now,
    virtual_wall_clock,
)
from tests.test_submissions import submission_body

Patch = pytest.MonkeyPatch
Body = dict[str, Any]
IMMEDIATE, LATE, NEVER = "immediate", "late", "never"
REQUEST_TIMEOUT_S = REQUEST_TIMEOUT.total_seconds()
STORE_LIMITS = {"rps": 120.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 24}
PROMPT_ANSWER_S = 0.2


# -- users of three controllers --------------------------------------------------------------------


@dataclass
class UserWorkload:
    """Users that submit and cancel jobs; each answer is compared at once with the key-value store."""

    cluster: SimulatedCluster
    fault_probability: float
    draw_outcome: Callable[[Random], str]
    violations: list[str] = field(default_factory=list)
    acceptance_times_s: list[float] = field(default_factory=list)  # of first submissions; 1e9: no answer
    rejection_times_s: list[float] = field(default_factory=list)  # of answers with 503
    cancel_times_s: list[float] = field(default_factory=list)
    requests_by_second: Counter[int] = field(default_factory=Counter)  # requests to the key-value store
    outcomes: Counter[str] = field(default_factory=Counter)
    ended_jobs: set[str] = field(default_factory=set)
    accepted_jobs: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.original_handle, self.rng = self.cluster.state.handle, Random(self.cluster.seed)
        self.cluster.state.handle = self.handle  # type: ignore[method-assign]

    async def handle(self, node: str, method: str, path: str, body: Any) -> Reply:
        self.requests_by_second[int(virtual_now())] += 1
        if self.rng.random() < 0.01:
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        if path != "/txn" or self.rng.random() >= self.fault_probability:
            return await self.original_handle(node, method, path, body)
        outcome = self.draw_outcome(self.rng)
        self.outcomes[outcome] += 1
        if outcome == IMMEDIATE:
            await self.original_handle(node, method, path, body)
        elif outcome == LATE:
            self.cluster.spawn(self.commit_later(node, body))
        await asyncio.sleep(REQUEST_TIMEOUT_S)
        raise Unreachable("no answer")

    async def commit_later(self, node: str, body: Any) -> None:
        await asyncio.sleep(self.rng.uniform(2, 12))
        await self.original_handle(node, "POST", "/txn", body)

    async def send_request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        import orjson

        node = self.rng.choice(self.cluster.nodes)
        request = Request(method, path, b"" if body is None else orjson.dumps(body))
        response = await node.serve(lambda service: service.serve_public(request))
        assert response is not None
        return response.status, orjson.loads(response.body)

    def check(self, status: int, answer: Any, job_id: str) -> None:
        keys = self.cluster.state.keys
        if status == 404 and job_id in self.accepted_jobs:
            self.violations.append(f"{job_id} was accepted, and is not found")
        if status not in (200, 201):
            return
        self.accepted_jobs.add(job_id)
        completed = keys.get(COMPLETED_JOB_PREFIX + job_id)
        if LIVE_JOB_PREFIX + job_id not in keys and completed is None:
            self.violations.append(f"{job_id} is reported as accepted, and is not stored")
        reported_state = answer["standing"]
        if reported_state in ("aborted", "done"):
            stored_state = (
                {"cancelled": "aborted"}.get(completed[0]["state"], completed[0]["state"]) if completed else None
            )
            if reported_state != stored_state:
                self.violations.append(f"{job_id} is reported as {reported_state}, and is stored as {stored_state}")
            self.ended_jobs.add(job_id)

    async def submit(self, wire: Body, first: bool = True) -> None:
        job_id = wire["name_id"]
        for _ in range(20):
            sent = virtual_now()
            had_ended = job_id in self.ended_jobs
            status, answer = await self.send_request("POST", "/submissions", wire)
            self.check(status, answer, job_id)
            if first:
                self.acceptance_times_s.append(virtual_now() - sent if status in (200, 201) else 1e9)
                first = False
            if status in (200, 201):
                if had_ended and answer["standing"] not in ("aborted", "done"):
                    self.violations.append(f"{job_id} had ended, and is reported as {answer['standing']}")
                return
            self.rejection_times_s.append(virtual_now() - sent)
            await asyncio.sleep(1)

    async def cancel(self, job_id: str) -> None:
        for _ in range(20):
            sent = virtual_now()
            status, answer = await self.send_request("POST", f"/submissions/{job_id}/cancel")
            self.check(status, answer, job_id)
            if status == 200:
                self.cancel_times_s.append(virtual_now() - sent)
                return
            await asyncio.sleep(1)

    async def run_user(self, number: int) -> None:
        wire = submission_body(name_id=f"j-{number:06d}", parcels=1, accelerators=0.0, cores=1.0)
        job_id = wire["name_id"]
        self.cluster.jobs[job_id] = wire
        await self.submit(wire)
        concurrent_requests = [self.submit(wire, first=False) for _ in range(2)]
        if self.rng.random() < 0.25:
            concurrent_requests.append(self.cancel(job_id))
        await asyncio.gather(*concurrent_requests)
        await self.submit(wire, first=False)
        for _ in range(3):
            self.check(*await self.send_request("GET", f"/submissions/{job_id}"), job_id)
            await asyncio.sleep(self.rng.uniform(0.5, 5))

    @property
    def prompt_share(self) -> float:
        return sum(each <= PROMPT_ANSWER_S for each in self.acceptance_times_s) / len(self.acceptance_times_s)


def always_immediate(rng: Random) -> str:
    return IMMEDIATE


def any_outcome(rng: Random) -> str:
    return rng.choice([IMMEDIATE, LATE, LATE, NEVER])


def run_workload(
    seed: int, fault_probability: float, draw_outcome: Callable[[Random], str], jobs: int = 160
) -> UserWorkload:
    async def main() -> UserWorkload:
        cluster = SimulatedCluster(seed, is_calm=True, params_override={"state": STORE_LIMITS})
        cluster.state, cluster.cloud = SimulatedKeyValueStore(cluster), SimulatedCloud(cluster)
        cluster.nodes = [SimulatedController(cluster, i) for i in range(3)]
        with virtual_wall_clock():
            for node in cluster.nodes:
                node.start()
            await asyncio.sleep(5)
            workload = UserWorkload(cluster, fault_probability, draw_outcome)
            users = []
            for number in range(jobs):
                users.append(cluster.spawn(workload.run_user(number)))
                await asyncio.sleep(workload.rng.expovariate(4.0))
            await asyncio.wait(users)
            still_live = {job_id for job_id in workload.ended_jobs if LIVE_JOB_PREFIX + job_id in cluster.state.keys}
            await asyncio.sleep(14)  # every delayed transaction has run by then
            still_live |= {job_id for job_id in workload.ended_jobs if LIVE_JOB_PREFIX + job_id in cluster.state.keys}
            workload.violations += [f"{job_id} has ended, and its live record remains" for job_id in sorted(still_live)]
            for node in cluster.nodes:
                node.crash()
            for task in list(cluster.tasks):
                task.cancel()
            await asyncio.sleep(0)
        assert not cluster.errors, cluster.errors
        return workload

    return virtual_time.run_in_virtual_time(main())  # type: ignore[no-any-return]


SEEDS = range(7900, 7904)


def test_submissions_are_accepted_promptly_when_answers_are_lost() -> None:
    """A fifth of all transactions run at once, and their answers are lost."""
    workloads = [run_workload(seed, 0.2, always_immediate) for seed in SEEDS]
    acceptance_times_s = sorted(each for workload in workloads for each in workload.acceptance_times_s)
    cancel_times_s = sorted(each for workload in workloads for each in workload.cancel_times_s)
    assert not any(workload.violations for workload in workloads), [workload.violations for workload in workloads]
    assert sum(workload.outcomes[IMMEDIATE] for workload in workloads) > 200 and len(acceptance_times_s) == 160 * len(
        workloads
    )
    assert sum(each <= PROMPT_ANSWER_S for each in acceptance_times_s) / len(acceptance_times_s) >= 0.98
    assert cancel_times_s[int(len(cancel_times_s) * 0.9)] < 0.5
    # A late answer does not count as a failure, so no request gets a 503.
    assert not any(workload.rejection_times_s for workload in workloads)


def test_confirmation_reads_stay_within_request_rate() -> None:
    without_faults, with_lost_answers = (
        run_workload(SEEDS[0], 0.0, always_immediate),
        run_workload(SEEDS[0], 0.2, always_immediate),
    )
    for workload in (without_faults, with_lost_answers):
        assert max(workload.requests_by_second.values()) <= STORE_LIMITS["rps"]
    assert sum(with_lost_answers.requests_by_second.values()) < 1.25 * sum(without_faults.requests_by_second.values())


def test_answers_match_store_whatever_the_transaction_outcome() -> None:
    outcomes: Counter[str] = Counter()
    acceptance_times_s: list[float] = []
    for seed in SEEDS:
        workload = run_workload(seed, 0.3, any_outcome)
        assert not workload.violations, workload.violations
        assert all(each >= REQUEST_TIMEOUT_S for each in workload.rejection_times_s)
        assert max(workload.requests_by_second.values()) <= STORE_LIMITS["rps"]
        outcomes += workload.outcomes
        acceptance_times_s += workload.acceptance_times_s
    # Most delayed transactions are resent, and their jobs accepted long before the request times out.
    assert sum(each < 1 for each in acceptance_times_s) / len(acceptance_times_s) > 0.9
    assert min(outcomes.values()) > 50, outcomes


def treat_missing_key_as_failed_write(patch: Patch) -> None:
    confirm_change = GroupCommitter._confirm_change

    async def fail_on_missing_key(self: GroupCommitter, change: Any, proof: Any) -> None:
        if await proof() is None and not change.result.done():
            change.result.set_exception(StoreError("it did not run"))
        await confirm_change(self, change, proof)

    patch.setattr(GroupCommitter, "_confirm_change", fail_on_missing_key)


def accept_any_read_as_confirmation(patch: Patch) -> None:
    """Reports a job as accepted after any read of its keys, whatever the read returned."""

    def accept_any_read(self: WriteConfirmations, job_id: str) -> Any:
        async def proof() -> int | None:
            return (await self._live_job_cache.read_liveness(job_id)).revision

        return KeyConfirmation(proof)

    patch.setattr(WriteConfirmations, "acceptance_confirmation", accept_any_read)


def skip_confirmation_reads(patch: Patch) -> None:
    async def wait_forever(self: GroupCommitter, batch: Any) -> None:
        await asyncio.Event().wait()

    patch.setattr(GroupCommitter, "_confirm_or_resend", wait_forever)


def test_catches_missing_key_treated_as_failed_write(monkeypatch: Patch) -> None:
    treat_missing_key_as_failed_write(monkeypatch)
    assert any(
        each < REQUEST_TIMEOUT_S for seed in SEEDS for each in run_workload(seed, 0.3, any_outcome).rejection_times_s
    )


def test_catches_acceptance_without_confirmation(monkeypatch: Patch) -> None:
    accept_any_read_as_confirmation(monkeypatch)
    assert any("reported as accepted" in each for each in run_workload(SEEDS[0], 0.3, any_outcome).violations)


def test_catches_missing_confirmation_reads(monkeypatch: Patch) -> None:
    skip_confirmation_reads(monkeypatch)
    assert run_workload(SEEDS[0], 0.2, always_immediate).prompt_share < 0.9


# -- a leader's transactions -----------------------------------------------------------------------


class UnreliableStore:
    """A key-value store that answers some transactions, and loses the answers of others or commits them late."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.simulated_store = SimulatedKeyValueStore(SimulatedCluster(seed, is_calm=True))
        self.simulated_store.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 1})]})
        self.revision_by_transaction: dict[int, int] = {}  # revision of each committed transaction, by its number
        self.sent_count = 0
        self.immediate_transactions: set[int] = set()  # transactions that were evaluated without delay
        self.delayed_commits: set[asyncio.Task[None]] = set()

    async def get(self, key: str, timeout: timedelta = REQUEST_TIMEOUT) -> Entry | None:
        await asyncio.sleep(0.005)
        entry = self.simulated_store.keys.get(key)
        return None if entry is None else Entry(key, entry[0], entry[1])

    def commit_transaction_now(self, number: int, guards: list[tuple[str, int]], ops: list[Body]) -> int:
        answer = self.simulated_store.commit_transaction(
            {"guards": [{"path": k, "stamp": v} for k, v in guards], "then": ops}
        )
        if answer.status == 409:
            raise CompareFailed(answer.json()["failed"])
        self.revision_by_transaction[number] = int(answer.json()["ledger"])
        return self.revision_by_transaction[number]

    async def commit_later(self, number: int, guards: list[tuple[str, int]], ops: list[Body]) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 6))
        try:
            self.commit_transaction_now(number, guards, ops)
        except CompareFailed:
            pass

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[Body]) -> int:
        self.sent_count += 1
        number, outcome_draw = self.sent_count, self.rng.random()
        await asyncio.sleep(0.005)
        if outcome_draw < 0.6:
            self.immediate_transactions.add(number)
        if outcome_draw < 0.4:
            return self.commit_transaction_now(number, guards, ops)
        if outcome_draw < 0.6:
            try:
                self.commit_transaction_now(number, guards, ops)
            except CompareFailed:
                pass
        elif outcome_draw < 0.95:
            self.delayed_commits.add(asyncio.create_task(self.commit_later(number, guards, ops)))
        await asyncio.sleep(REQUEST_TIMEOUT_S)
        raise Unreachable("no answer")


async def _run_leader(seed: int, may_resend: bool = False) -> tuple[list[str], list[float], int]:
    """Returns wrong confirmations, the times to the answers of transactions without delay, and the count of successes.

    Only two values are written, so that attempts look alike; in the end another leader takes over and writes the same.
    """
    store = UnreliableStore(seed)
    rng = store.rng
    leader_key_version = store.simulated_store.keys[LEADER_KEY][1]
    leader_transactions = LeaderTransactions(
        store,  # type: ignore[arg-type]
        leader_key_version,
        write_once_prefixes=("over/",),
        may_resend=may_resend,
    )
    ended_keys: set[str] = set()
    violations: list[str] = []
    answer_times_s: list[float] = []
    success_count = 0
    last_versions: dict[str, int] = {}

    async def successor() -> None:
        await asyncio.sleep(rng.uniform(30, 60))
        store.simulated_store.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 2})]})
        while True:
            await asyncio.sleep(rng.uniform(0.01, 0.3))
            key = f"k{rng.randrange(3)}"
            store.simulated_store.commit_transaction({"guards": [], "then": [put(key, {"n": rng.randrange(2)})]})

    def attempts() -> set[int]:
        return set(range(first_attempt, store.sent_count + 1))

    successor_task = asyncio.create_task(successor())
    for number in range(60):
        keys = sorted({f"k{rng.randrange(3)}" for _ in range(2)})
        ops = [put(key, {"n": rng.randrange(2)}) for key in keys]
        end_key = f"over/{number // 3}"
        if rng.random() < 0.5 and end_key not in ended_keys:
            ops.append(put(end_key, {"state": "done"}))
        guards = [(LEADER_KEY, leader_key_version), *((key, last_versions.get(key, 0)) for key in keys)]
        started_at, first_attempt = monotonic_now(), store.sent_count + 1
        try:
            revision = await leader_transactions.commit(guards, ops)
        except CompareFailed:
            last_versions |= {
                key: store.simulated_store.keys[key][1] if key in store.simulated_store.keys else 0 for key in keys
            }
            continue
        except Unreachable:
            if first_attempt in store.revision_by_transaction and first_attempt in store.immediate_transactions:
                answer_times_s.append((monotonic_now() - started_at).total_seconds())
            continue
        success_count += 1
        if first_attempt in store.immediate_transactions:
            answer_times_s.append((monotonic_now() - started_at).total_seconds())
        if revision not in {store.revision_by_transaction.get(each) for each in attempts()}:
            violations.append(f"transaction {first_attempt} did not commit at revision {revision}")
        last_versions |= dict.fromkeys(keys, revision)
        ended_keys |= {op["put"] for op in ops} - set(keys)
    successor_task.cancel()
    for task in store.delayed_commits:
        task.cancel()
    return violations, answer_times_s, success_count


LEADER_SEEDS = range(120)


@pytest.mark.parametrize("may_resend", [False, True])
def test_leader_confirms_only_transactions_that_ran(may_resend: bool) -> None:
    answer_times_s: list[float] = []
    success_count = 0
    for seed in LEADER_SEEDS:
        violations, run_times_s, successes = virtual_time.run_in_virtual_time(_run_leader(seed, may_resend))
        assert not violations, f"seed {seed}: {violations}"
        answer_times_s, success_count = answer_times_s + run_times_s, success_count + successes
    assert success_count > (4000 if may_resend else 2000)
    # A value that equals that of an earlier attempt which may still run cannot be confirmed without delay.
    assert sum(each < PROMPT_ANSWER_S for each in answer_times_s) / len(answer_times_s) > 0.9


def forget_earlier_attempts(patch: Patch) -> None:
    """Treats an attempt without an answer as failed: its late write is then attributed to the next attempt."""

    async def commit_without_history(self: LeaderTransactions, guards: Any, ops: Any) -> int:
        self._unconfirmed_writes.clear()
        return await commit(self, guards, ops)

    commit = LeaderTransactions.commit
    patch.setattr(LeaderTransactions, "commit", commit_without_history)


def confirm_without_leader_check(patch: Patch) -> None:
    """Confirms a matching value without a check that this leader wrote it."""

    async def find_matching_value(self: LeaderTransactions, key: str, guard: int, value: bytes) -> int | None:
        entry = await self._kv_store.get(key)
        if entry is None or entry.version <= guard or canonical_json(entry.value) != value:
            return None
        return entry.version

    patch.setattr(LeaderTransactions, "_find_written_version", find_matching_value)


@pytest.mark.parametrize("broken", [forget_earlier_attempts, confirm_without_leader_check])
def test_catches_other_write_confirmed_as_own(broken: Callable[[Patch], None], monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert any(virtual_time.run_in_virtual_time(_run_leader(seed))[0] for seed in LEADER_SEEDS)
