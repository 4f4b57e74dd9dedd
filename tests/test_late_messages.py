"""What comes late: old reports, answers that overtake reports, transactions, a cancel as its job completes."""

import asyncio
from collections.abc import Callable
from datetime import datetime
from random import Random
from typing import Any

import pytest

from roseweir.clock import seconds
from roseweir.controller.live_jobs import LiveJobWatcher
from roseweir.http import Reply, Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import put
from roseweir.kv_store.fenced_writes import FencedWriter
from roseweir.kv_store.transaction_limits import TransactionLimits
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.lease_renewal import LeaseRenewal, decide_lease_renewal
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX
from roseweir.workers import messages as wire
from tests.simulation import virtual_time
from tests.simulation.cluster import LEASE_DURATION_S, SimulatedCluster, SimulatedKeyValueStore, make_settings
from tests.simulation.fault_combinations import LongTaskCluster, is_caught
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state
from tests.test_simulated_days import check

Patch = pytest.MonkeyPatch

# -- old reports, and answers that overtake them ---------------------------------------------------


class Leased:
    """A worker whose lease is its own, and what is under way between it and a board."""

    def __init__(self, seed: int) -> None:
        self.draw = Random(seed)
        self.board = make_cluster_state()
        self.hand = FakeWorker(self.board, "i-1")
        self.lease = seconds(LEASE_DURATION_S)
        self.now = NOW
        self.session, self.renewed = 1, NOW
        self.under_way: list[tuple[datetime, wire.Heartbeat]] = []
        self.sent: list[wire.Heartbeat] = []
        self.overtaken = self.copied = self.lapsed = 0

    def body(self) -> wire.Heartbeat:
        return self.hand.make_heartbeat(incarnation=self.session)

    def place(self) -> None:
        if not self.hand.machine.placements and self.hand.machine.has_acknowledged_term:
            if not any(run.pending_count for run in self.board.jobs.values()):
                self.board.add_job(job(len(self.board.jobs) + 1, cpus=8.0), 1)
            run_scheduling_pass(self.board, self.now)
            commit_placements(self.board)

    def arrives(self, sent: datetime, report: wire.Heartbeat, copy: bool = False) -> None:
        machine = HeartbeatReconciler(self.board).apply_heartbeat(report, self.now)
        orders: list[dict[str, Any]] = []
        if machine is None:
            known = self.board.machines.get(report.machine_name)
            if (
                known is not None
                and report.sequence <= known.sequence
                and report.incarnation == known.incarnation
                and not copy
            ):
                self.overtaken += 1
            if decide_lease_renewal(self.board, report, self.now) is not LeaseRenewal.RENEWED:
                return
        else:
            orders = self.board.collect_commands(machine, self.now, may_start_tasks=True)
        if copy or report.incarnation != self.session or self.now - sent > seconds(4):
            return  # its worker has given it up, or never waits for a copy's answer
        self.renewed = max(self.renewed, sent)
        for order in orders:
            if order["verb"] == "run":
                self.hand.tasks[order["parcel"], order["try"]] = wire.TaskStatus(
                    order["parcel"], order["try"], "running"
                )

    def step(self) -> None:
        draw = self.draw
        self.now += seconds(draw.choice([0.05, 0.3, 0.3, 1.0, 4.0]))
        if self.now - self.renewed > self.lease:
            self.session, self.renewed = self.session + 1, self.now
            self.hand.tasks.clear()
            self.lapsed += 1
        what = draw.random()
        if what < 0.4 and len(self.under_way) < 2:
            report = self.body()
            self.under_way.append((self.now, report))
            self.sent.append(report)
        elif what < 0.7 and self.under_way:
            self.arrives(*self.under_way.pop(0))
        elif what < 0.8 and self.sent:
            self.copied += 1
            self.arrives(self.now, draw.choice(self.sent), copy=True)
        elif what < 0.95 and "i-1" in self.board.machines:
            machine = self.hand.machine
            before = (machine.incarnation, machine.sequence)
            HeartbeatReconciler(self.board).apply_probe_response(self.body(), before, self.now)
        if "i-1" in self.board.machines:
            self.place()
        self.board.apply_timeouts(self.now)

    def check(self) -> None:
        """What the board takes for gone is gone: the worker's lease, counted from the sending, is over."""
        there = {task for task, _ in self.hand.tasks}
        if self.now - self.renewed <= self.lease:
            placed = {p.task_name for p in self.hand.machine.placements.values()} if there else set()
            assert there <= placed, f"{there - placed} runs for {self.renewed + self.lease - self.now} more"


def test_what_the_board_takes_for_gone_is_gone_whatever_overtakes_a_report() -> None:
    overtaken = copied = lapsed = 0
    for seed in range(150):
        worker = Leased(seed)
        for _ in range(120):
            worker.step()
            worker.check()
        overtaken, copied, lapsed = overtaken + worker.overtaken, copied + worker.copied, lapsed + worker.lapsed
    assert overtaken > 100 and copied > 100 and lapsed > 100, (overtaken, copied, lapsed)


def uncounted(patch: Patch) -> None:
    """A report that is not the newest word is answered, and the lease that it renews does not count."""

    def renewal(cluster_state: ClusterState, report: wire.Heartbeat, at: datetime) -> LeaseRenewal:
        return LeaseRenewal.RENEWED

    for caller in (__name__, "roseweir.workers.handlers"):
        patch.setattr(f"{caller}.decide_lease_renewal", renewal)


def test_a_lease_that_is_not_counted_is_caught(monkeypatch: Patch) -> None:
    uncounted(monkeypatch)
    with pytest.raises(AssertionError, match="runs for"):
        for seed in range(150):
            worker = Leased(seed)
            for _ in range(120):
                worker.step()
                worker.check()


# -- transactions carried out late ------------------------------------------------------------------


class LateStore:
    """A state service that gives some transactions no answer, and carries them out when it likes."""

    def __init__(self, seed: int) -> None:
        self.draw = Random(seed)
        self.world = SimulatedCluster(seed, is_calm=True)
        self.state = SimulatedKeyValueStore(self.world)
        self.settings = make_settings(0).params.kv_store
        self.transaction_limits = TransactionLimits(self.settings)
        self.waiting: list[dict[str, Any]] = []
        self.late = 0

    async def get(self, key: str) -> Any:
        from roseweir.kv_store import Entry

        self.some_run_late()
        found = self.state.keys.get(key)
        return None if found is None else Entry(key, found[0], found[1])

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        from roseweir.kv_store import CompareFailed

        self.some_run_late()
        body = {"guards": [{"path": k, "stamp": v} for k, v in guards], "then": ops}
        luck = self.draw.random()
        if luck < 0.3:
            self.waiting.append(body)
            raise Unreachable("not yet")
        answer = self.state.commit_transaction(body)
        if luck < 0.4:
            raise Unreachable("answer lost")
        if answer.status == 409:
            raise CompareFailed(answer.json()["failed"])
        return int(answer.json()["ledger"])

    def some_run_late(self, share: float = 0.2) -> None:
        self.draw.shuffle(self.waiting)
        while self.waiting and self.draw.random() < share:
            self.late += self.state.commit_transaction(self.waiting.pop()).status == 200

    def value(self, key: str) -> Any:
        found = self.state.keys.get(key)
        return None if found is None else found[0]


async def _differential(seed: int) -> tuple[int, int, list[str]]:
    """Keys written, read and deleted while answers are lost: late runs carried out, resurrections, what was wrong."""
    store = LateStore(seed)
    store.state.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 1})]})
    keyed = FencedWriter(store, store.state.keys[LEADER_KEY][1], "test")  # type: ignore[arg-type]
    draw = Random(seed)
    wrong: list[str] = []
    final: dict[str, Any] = {}
    newest: dict[str, Any] = {}  # what a key held last, if it is deleted now
    number = 0
    for _ in range(25):
        number += 1
        wanted = {f"k{n}": {"n": number} if draw.random() < 0.6 else None for n in range(3) if draw.random() < 0.6}
        for _ in range(12):
            try:
                await keyed.save(wanted)
                break
            except (StoreError, Unreachable):
                continue
        else:
            return store.late, 0, wrong
        final |= wanted
        store.some_run_late(0.5)
        for key, value in final.items():
            held = store.value(key)
            last = newest.setdefault(key, value)
            if value is not None:
                newest[key] = value
                if held != value:
                    wrong.append(f"{key} is {held} and not {value}")
            elif held is not None and held != last:
                wrong.append(f"{key} was deleted, and is back as {held}")
    # The next leader: nothing that is still under way counts any more, and it can delete what was left.
    store.state.commit_transaction({"guards": [], "then": [put(LEADER_KEY, {"term": 2})]})
    left = dict(store.state.keys)
    for body in store.waiting:
        store.state.commit_transaction(body)
    if store.state.keys != left:
        wrong.append("a write of the last leader's counted")
    return store.late, len(store.waiting), wrong


def test_any_order_of_late_runs_leaves_a_leaders_keys_as_some_order_of_answered_ones_would() -> None:
    late = waiting = 0
    for seed in range(200):
        ran, left, wrong = virtual_time.run_in_virtual_time(_differential(seed))
        late, waiting = late + ran, waiting + left
        assert not wrong, f"seed {seed}: {wrong}"
    assert late > 200 and waiting > 50


def test_a_key_that_is_deleted_while_its_making_is_under_way_is_caught(monkeypatch: Patch) -> None:
    init = FencedWriter.__init__

    class Never(set[str]):
        def __contains__(self, key: object) -> bool:
            return False

    def forgetful(self: FencedWriter, *args: Any) -> None:
        init(self, *args)
        self._possibly_created_keys = Never()

    monkeypatch.setattr(FencedWriter, "__init__", forgetful)
    assert any(
        "is back" in each for seed in range(200) for each in virtual_time.run_in_virtual_time(_differential(seed))[2]
    )


def late_writes(seed: int) -> SimulatedCluster:
    """Half of all transactions are carried out late, while leaders end and come back."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.1, 1.0))
    cluster.max_tasks, cluster.task_duration_s = 12, 10.0

    async def trouble(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        cluster.late_write_probability = 0.5
        for _ in range(9):
            await asyncio.sleep(cluster.rng.uniform(5, 9))
            await cluster.restart_controller(cluster.current_leader())
            # What the next leader reads is all that it knows of the machines that it does not hear.
            for worker in cluster.workers.values():
                worker.is_hung = cluster.rng.random() < 0.4
            await asyncio.sleep(2.5)
            for worker in cluster.workers.values():
                worker.is_hung = False
        cluster.late_write_probability = 0.0

    cluster.schedule_action(trouble)
    return cluster


def test_late_writes_while_leaders_follow_one_another_break_no_rule() -> None:
    for seed in range(7750, 7756):
        cluster = late_writes(seed)
        check(cluster.run(length_s=110, job_count=25))
        assert cluster.start_count > 20 and cluster.state.keys["lead/term"][0] >= 4


def no_guards_of_their_own(patch: Patch) -> None:
    """The leader's key alone guards pages and notes: an older write of the same reign passes."""
    txn = KeyValueStoreClient.compare_and_swap

    async def unguarded(self: KeyValueStoreClient, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        return await txn(self, [g for g in guards if not g[0].startswith("places/")], ops)

    patch.setattr(KeyValueStoreClient, "compare_and_swap", unguarded)


def test_records_without_guards_of_their_own_are_caught(monkeypatch: Patch) -> None:
    no_guards_of_their_own(monkeypatch)
    monkeypatch.setattr("roseweir.cloud.controller.plan_scale_in", lambda board, left, at, kept: [])
    assert is_caught(late_writes, range(7770, 7800), "ran_twice", 110, 25)


# -- a cancel as its job completes ------------------------------------------------------------------


@pytest.mark.parametrize("broken", [False, True])
def test_how_a_job_ended_is_told_as_the_state_service_has_it(broken: bool, monkeypatch: Patch) -> None:
    """A user's cancel comes between the last task's end and its record: the steps that follow must not be let go."""
    if broken:
        learn = LiveJobWatcher._apply_live_job

        def guess(self: LiveJobWatcher, job_id: str, value: object, version: int, revision: int) -> None:
            run = self.cluster_state.jobs.get(job_id)
            if value is None and run is not None and run.is_complete and not run.final_state:
                from roseweir.submissions.jobs import completed_job

                self.log_writer.record_job_end(job_id, completed_job(run.spec, "done"))
                return
            learn(self, job_id, value, version, revision)

        monkeypatch.setattr(LiveJobWatcher, "_apply_live_job", guess)
    raced = 0
    wrong: list[str] = []
    for seed in range(7760, 7764):
        cluster = LongTaskCluster(seed)
        cluster.task_duration_s, cluster.max_tasks = 4.0, 2
        told: list[tuple[str, str]] = []

        async def race(cluster: SimulatedCluster, told: list[tuple[str, str]] = told) -> None:
            nonlocal raced
            assert isinstance(cluster, LongTaskCluster)
            plain = cluster.state.handle
            await asyncio.sleep(6)
            node = cluster.current_leader()
            assert node.service is not None and node.service.leader_term is not None
            reign = node.service.leader_term
            ended = reign.log_writer.on_job_ended

            def on_end(job_id: str, state: str, ended: Callable[[str, str], None] = ended) -> None:
                told.append((job_id, state))
                ended(job_id, state)

            reign.log_writer.on_job_ended = on_end

            async def handle(name: str, method: str, path: str, body: Any) -> Reply:
                if name == node.name and path == "/txn" and "over/" in str(body):
                    await asyncio.sleep(0.8)
                return await plain(name, method, path, body)

            cluster.state.handle = handle  # type: ignore[method-assign, assignment]
            while True:
                await asyncio.sleep(0.05)
                for job_id, run in list(reign.cluster_state.jobs.items()):
                    if (
                        run.is_complete
                        and not run.final_state
                        and job_id not in cluster.cancel_requested
                        and cluster.rng.random() < 0.5
                    ):
                        raced += 1
                        cluster.spawn(cluster.cancel_via_others(job_id, node.name))

        cluster.schedule_action(race)
        check(cluster.run(length_s=60, job_count=14))
        for job_id, how in told:
            store = cluster.state.keys[COMPLETED_JOB_PREFIX + job_id][0]["state"]
            if how != store:
                wrong.append(f"{job_id} is {store}, and told as {how}")
        assert len(told) > 5
    assert raced > 5 and bool(wrong) == broken, wrong
