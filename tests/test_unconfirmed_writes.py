"""Transactions whose answers are lost, or that run late or never: answers are proven by reading, and come soon."""

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
AT_ONCE, LATE, NEVER = "at once", "late", "never"
GIVEN_UP = REQUEST_TIMEOUT.total_seconds()
STATE = {"rps": 120.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 24}
SOON = 0.2


# -- users of three nodes --------------------------------------------------------------------------


@dataclass
class Day:
    """What users were told, each answer checked against the state service in the instant in which it is given."""

    world: SimulatedCluster
    share: float
    fate: Callable[[Random], str]
    wrong: list[str] = field(default_factory=list)
    took: list[float] = field(default_factory=list)  # seconds to the answer of each first submission; 1e9: none
    gave_up: list[float] = field(default_factory=list)  # seconds to each 503
    cancels: list[float] = field(default_factory=list)
    asked: Counter[int] = field(default_factory=Counter)  # requests to the state service by second
    fates: Counter[str] = field(default_factory=Counter)
    ended: set[str] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.plain, self.draw = self.world.state.handle, Random(self.world.seed)
        self.world.state.handle = self.handle  # type: ignore[method-assign]

    async def handle(self, node: str, method: str, path: str, body: Any) -> Reply:
        self.asked[int(virtual_now())] += 1
        if self.draw.random() < 0.01:
            await asyncio.sleep(self.draw.uniform(0.1, 0.4))
        if path != "/txn" or self.draw.random() >= self.share:
            return await self.plain(node, method, path, body)
        fate = self.fate(self.draw)
        self.fates[fate] += 1
        if fate == AT_ONCE:
            await self.plain(node, method, path, body)
        elif fate == LATE:
            self.world.spawn(self.later(node, body))
        await asyncio.sleep(GIVEN_UP)
        raise Unreachable("no answer")

    async def later(self, node: str, body: Any) -> None:
        await asyncio.sleep(self.draw.uniform(2, 12))
        await self.plain(node, "POST", "/txn", body)

    async def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        import orjson

        node = self.draw.choice(self.world.nodes)
        request = Request(method, path, b"" if body is None else orjson.dumps(body))
        response = await node.serve(lambda service: service.serve_public(request))
        assert response is not None
        return response.status, orjson.loads(response.body)

    def check(self, status: int, answer: Any, job_id: str) -> None:
        keys = self.world.state.keys
        if status == 404 and job_id in self.accepted:
            self.wrong.append(f"{job_id} is forgotten")
        if status not in (200, 201):
            return
        self.accepted.add(job_id)
        over = keys.get(COMPLETED_JOB_PREFIX + job_id)
        if LIVE_JOB_PREFIX + job_id not in keys and over is None:
            self.wrong.append(f"{job_id} is called accepted, and is not")
        told = answer["standing"]
        if told in ("aborted", "done"):
            recorded = {"cancelled": "aborted"}.get(over[0]["state"], over[0]["state"]) if over else None
            if told != recorded:
                self.wrong.append(f"{job_id} is called {told}, and is {recorded}")
            self.ended.add(job_id)

    async def submit(self, wire: Body, first: bool = True) -> None:
        job_id = wire["name_id"]
        for _ in range(20):
            sent = virtual_now()
            was_over = job_id in self.ended
            status, answer = await self.ask("POST", "/submissions", wire)
            self.check(status, answer, job_id)
            if first:
                self.took.append(virtual_now() - sent if status in (200, 201) else 1e9)
                first = False
            if status in (200, 201):
                if was_over and answer["standing"] not in ("aborted", "done"):
                    self.wrong.append(f"{job_id} was over, and is called {answer['standing']}")
                return
            self.gave_up.append(virtual_now() - sent)
            await asyncio.sleep(1)

    async def cancel(self, job_id: str) -> None:
        for _ in range(20):
            sent = virtual_now()
            status, answer = await self.ask("POST", f"/submissions/{job_id}/cancel")
            self.check(status, answer, job_id)
            if status == 200:
                self.cancels.append(virtual_now() - sent)
                return
            await asyncio.sleep(1)

    async def user(self, number: int) -> None:
        wire = submission_body(name_id=f"j-{number:06d}", parcels=1, accelerators=0.0, cores=1.0)
        job_id = wire["name_id"]
        self.world.jobs[job_id] = wire
        await self.submit(wire)
        looks = [self.submit(wire, first=False) for _ in range(2)]
        if self.draw.random() < 0.25:
            looks.append(self.cancel(job_id))
        await asyncio.gather(*looks)
        await self.submit(wire, first=False)
        for _ in range(3):
            self.check(*await self.ask("GET", f"/submissions/{job_id}"), job_id)
            await asyncio.sleep(self.draw.uniform(0.5, 5))

    @property
    def soon(self) -> float:
        return sum(took <= SOON for took in self.took) / len(self.took)


def at_once(draw: Random) -> str:
    return AT_ONCE


def any_fate(draw: Random) -> str:
    return draw.choice([AT_ONCE, LATE, LATE, NEVER])


def play(seed: int, share: float, fate: Callable[[Random], str], jobs: int = 160) -> Day:
    async def main() -> Day:
        cluster = SimulatedCluster(seed, is_calm=True, params_override={"state": STATE})
        cluster.state, cluster.cloud = SimulatedKeyValueStore(cluster), SimulatedCloud(cluster)
        cluster.nodes = [SimulatedController(cluster, i) for i in range(3)]
        with virtual_wall_clock():
            for node in cluster.nodes:
                node.start()
            await asyncio.sleep(5)
            day = Day(cluster, share, fate)
            users = []
            for number in range(jobs):
                users.append(cluster.spawn(day.user(number)))
                await asyncio.sleep(day.draw.expovariate(4.0))
            await asyncio.wait(users)
            left = {job_id for job_id in day.ended if LIVE_JOB_PREFIX + job_id in cluster.state.keys}
            await asyncio.sleep(14)  # all that was held has run
            left |= {job_id for job_id in day.ended if LIVE_JOB_PREFIX + job_id in cluster.state.keys}
            day.wrong += [f"{job_id} is over, and lives" for job_id in sorted(left)]
            for node in cluster.nodes:
                node.crash()
            for task in list(cluster.tasks):
                task.cancel()
            await asyncio.sleep(0)
        assert not cluster.errors, cluster.errors
        return day

    return virtual_time.run_in_virtual_time(main())  # type: ignore[no-any-return]


SEEDS = range(7900, 7904)


def test_with_lost_answers_nearly_all_submissions_are_accepted_soon() -> None:
    days = [play(seed, 0.2, at_once) for seed in SEEDS]
    took = sorted(each for day in days for each in day.took)
    cancels = sorted(each for day in days for each in day.cancels)
    assert not any(day.wrong for day in days), [day.wrong for day in days]
    assert sum(day.fates[AT_ONCE] for day in days) > 200 and len(took) == 160 * len(days)
    assert sum(each <= SOON for each in took) / len(took) >= 0.98
    assert cancels[int(len(cancels) * 0.9)] < 0.5
    # A late answer is not taken for a failure, so nobody is sent away.
    assert not any(day.gave_up for day in days)


def test_lookups_stay_within_the_rate() -> None:
    quiet, troubled = play(SEEDS[0], 0.0, at_once), play(SEEDS[0], 0.2, at_once)
    for day in (quiet, troubled):
        assert max(day.asked.values()) <= STATE["rps"]
    assert sum(troubled.asked.values()) < 1.25 * sum(quiet.asked.values())


def test_whatever_becomes_of_a_transaction_every_answer_is_proven() -> None:
    fates: Counter[str] = Counter()
    took: list[float] = []
    for seed in SEEDS:
        day = play(seed, 0.3, any_fate)
        assert not day.wrong, day.wrong
        assert all(each >= GIVEN_UP for each in day.gave_up)
        assert max(day.asked.values()) <= STATE["rps"]
        fates += day.fates
        took += day.took
    # Sent once more, most of those that are held are accepted long before the patience ends.
    assert sum(each < 1 for each in took) / len(took) > 0.9
    assert min(fates.values()) > 50, fates


def missing_is_failed(patch: Patch) -> None:
    prove = GroupCommitter._confirm_change

    async def hasty(self: GroupCommitter, change: Any, proof: Any) -> None:
        if await proof() is None and not change.result.done():
            change.result.set_exception(StoreError("it did not run"))
        await prove(self, change, proof)

    patch.setattr(GroupCommitter, "_confirm_change", hasty)


def any_look_is_proof(patch: Patch) -> None:
    """A job is called accepted as soon as anything is read."""

    def live(self: WriteConfirmations, job_id: str) -> Any:
        async def proof() -> int | None:
            return (await self._live_job_cache.read_liveness(job_id)).revision

        return KeyConfirmation(proof)

    patch.setattr(WriteConfirmations, "acceptance_confirmation", live)


def no_lookups(patch: Patch) -> None:
    async def nothing(self: GroupCommitter, batch: Any) -> None:
        await asyncio.Event().wait()

    patch.setattr(GroupCommitter, "_confirm_or_resend", nothing)


def test_a_missing_key_taken_for_a_failed_write_is_caught(monkeypatch: Patch) -> None:
    missing_is_failed(monkeypatch)
    assert any(each < GIVEN_UP for seed in SEEDS for each in play(seed, 0.3, any_fate).gave_up)


def test_an_acceptance_without_proof_is_caught(monkeypatch: Patch) -> None:
    any_look_is_proof(monkeypatch)
    assert any("called accepted" in each for each in play(SEEDS[0], 0.3, any_fate).wrong)


def test_a_day_without_lookups_is_caught(monkeypatch: Patch) -> None:
    no_lookups(monkeypatch)
    assert play(SEEDS[0], 0.2, at_once).soon < 0.9


# -- a leader's transactions -----------------------------------------------------------------------


class Scripted:
    """A state service that answers some transactions, and loses the others' answers or carries them out late."""

    def __init__(self, seed: int) -> None:
        self.draw = Random(seed)
        self.state = SimulatedKeyValueStore(SimulatedCluster(seed, is_calm=True))
        self.state.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 1})]})
        self.ran: dict[int, int] = {}  # by the number of a transaction, the revision that it made
        self.sent = 0
        self.at_once: set[int] = set()  # those that were carried out as they were sent, or had their conflict
        self.held: set[asyncio.Task[None]] = set()

    async def get(self, key: str, timeout: timedelta = REQUEST_TIMEOUT) -> Entry | None:
        await asyncio.sleep(0.005)
        found = self.state.keys.get(key)
        return None if found is None else Entry(key, found[0], found[1])

    def carry_out(self, number: int, guards: list[tuple[str, int]], ops: list[Body]) -> int:
        answer = self.state.commit_transaction({"guards": [{"path": k, "stamp": v} for k, v in guards], "then": ops})
        if answer.status == 409:
            raise CompareFailed(answer.json()["failed"])
        self.ran[number] = int(answer.json()["ledger"])
        return self.ran[number]

    async def hold(self, number: int, guards: list[tuple[str, int]], ops: list[Body]) -> None:
        await asyncio.sleep(self.draw.uniform(0.1, 6))
        try:
            self.carry_out(number, guards, ops)
        except CompareFailed:
            pass

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[Body]) -> int:
        self.sent += 1
        number, luck = self.sent, self.draw.random()
        await asyncio.sleep(0.005)
        if luck < 0.6:
            self.at_once.add(number)
        if luck < 0.4:
            return self.carry_out(number, guards, ops)
        if luck < 0.6:
            try:
                self.carry_out(number, guards, ops)
            except CompareFailed:
                pass
        elif luck < 0.95:
            self.held.add(asyncio.create_task(self.hold(number, guards, ops)))
        await asyncio.sleep(GIVEN_UP)
        raise Unreachable("no answer")


async def _leads(seed: int, resend: bool = False) -> tuple[list[str], list[float], int]:
    """What a leader took for carried out and was not; how long the answers took of those that ran at once; successes.

    Its values are drawn from few, so that tries look alike; another leader takes over in the end and writes the same.
    """
    store = Scripted(seed)
    draw = store.draw
    leader = store.state.keys[LEADER_KEY][1]
    writes = LeaderTransactions(store, leader, write_once_prefixes=("over/",), may_resend=resend)  # type: ignore[arg-type]
    ended: set[str] = set()
    wrong: list[str] = []
    took: list[float] = []
    good = 0
    versions: dict[str, int] = {}

    async def successor() -> None:
        await asyncio.sleep(draw.uniform(30, 60))
        store.state.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 2})]})
        while True:
            await asyncio.sleep(draw.uniform(0.01, 0.3))
            key = f"k{draw.randrange(3)}"
            store.state.commit_transaction({"guards": [], "then": [put(key, {"n": draw.randrange(2)})]})

    def tries() -> set[int]:
        return set(range(mine, store.sent + 1))

    other = asyncio.create_task(successor())
    for number in range(60):
        keys = sorted({f"k{draw.randrange(3)}" for _ in range(2)})
        ops = [put(key, {"n": draw.randrange(2)}) for key in keys]
        end = f"over/{number // 3}"
        if draw.random() < 0.5 and end not in ended:
            ops.append(put(end, {"state": "done"}))
        guards = [(LEADER_KEY, leader), *((key, versions.get(key, 0)) for key in keys)]
        began, mine = monotonic_now(), store.sent + 1
        try:
            revision = await writes.commit(guards, ops)
        except CompareFailed:
            versions |= {key: store.state.keys[key][1] if key in store.state.keys else 0 for key in keys}
            continue
        except Unreachable:
            if mine in store.ran and mine in store.at_once:
                took.append((monotonic_now() - began).total_seconds())
            continue
        good += 1
        if mine in store.at_once:
            took.append((monotonic_now() - began).total_seconds())
        if revision not in {store.ran.get(each) for each in tries()}:
            wrong.append(f"transaction {mine} did not run at {revision}")
        versions |= dict.fromkeys(keys, revision)
        ended |= {op["put"] for op in ops} - set(keys)
    other.cancel()
    for task in store.held:
        task.cancel()
    return wrong, took, good


LEADERS = range(120)


@pytest.mark.parametrize("resend", [False, True])
def test_a_leader_takes_nothing_for_written_that_was_not(resend: bool) -> None:
    took: list[float] = []
    good = 0
    for seed in LEADERS:
        wrong, each, done = virtual_time.run_in_virtual_time(_leads(seed, resend))
        assert not wrong, f"seed {seed}: {wrong}"
        took, good = took + each, good + done
    assert good > (4000 if resend else 2000)
    # Values are drawn from two, and those that look like an earlier try that may still run have to wait.
    assert sum(each < SOON for each in took) / len(took) > 0.9


def earlier_tries_forgotten(patch: Patch) -> None:
    """A try without an answer is taken for failed: what an earlier try may have written is this one's."""

    async def find_any(self: LeaderTransactions, guards: Any, ops: Any) -> int:
        self._unconfirmed_writes.clear()
        return await commit(self, guards, ops)

    commit = LeaderTransactions.commit
    patch.setattr(LeaderTransactions, "commit", find_any)


def whoever_leads(patch: Patch) -> None:
    async def find(self: LeaderTransactions, key: str, guard: int, value: bytes) -> int | None:
        entry = await self._kv_store.get(key)
        if entry is None or entry.version <= guard or canonical_json(entry.value) != value:
            return None
        return entry.version

    patch.setattr(LeaderTransactions, "_find_written_version", find)


@pytest.mark.parametrize("broken", [earlier_tries_forgotten, whoever_leads])
def test_somebody_elses_write_taken_for_ones_own_is_caught(broken: Callable[[Patch], None], monkeypatch: Patch) -> None:
    broken(monkeypatch)
    assert any(virtual_time.run_in_virtual_time(_leads(seed))[0] for seed in LEADERS)
