"""Two troubles at once: each meeting is brought about on purpose, and a broken variant of the service is caught by it.

`docs/notes/meetings.md` says what each of them rests on; days of drawn pairs are in
`tests/simulation/fault_combinations.py`.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime, time
from typing import Any

import msgspec
import orjson
import pytest

from roseweir.clock import monotonic_now
from roseweir.http import Request, Unreachable
from roseweir.kv_store import KeyValueStoreClient, StoreError
from roseweir.kv_store.client import put
from roseweir.leader_election.election import LeaderLease
from roseweir.notifier import Notifier
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.heartbeat_reconciliation import HeartbeatReconciler
from roseweir.scheduler.model import PlacementPhase
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.workers import messages as wire
from roseweir.workers.direct_commands import DirectCommandSender
from roseweir.workers.handlers import HeartbeatHandler
from roseweir.workflows.controller import WorkflowController
from tests.simulation import virtual_time
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    STORE_AND_LEADER_FAULTS,
    SimulatedCluster,
    SimulatedTask,
    SimulatedWorker,
    virtual_now,
)
from tests.simulation.fault_combinations import FaultCombinationCluster, FaultSchedule, LongTaskCluster, is_caught
from tests.simulation.job_specs import make_job_spec as job
from tests.simulation.workflows import WorkflowCluster
from tests.test_delivery_deadlines import DeadlineCluster, make_deadline_config
from tests.test_eviction_days import make_eviction_cluster
from tests.test_job_durability import ANSWERED, watched
from tests.test_rebalancing import FragmentedCluster, make_rebalancing_config
from tests.test_scheduler import NOW, TERM, FakeWorker, commit_placements, make_cluster_state
from tests.test_simulated_days import check
from tests.test_workflows import observe_workflows

Patch = pytest.MonkeyPatch

# -- any two or three ---------------------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 48, 4))
def test_any_two_or_three_troubles_that_meet_break_no_rule(first: int) -> None:
    met: set[frozenset[str]] = set()
    for seed in range(first, first + 4):
        day: FaultCombinationCluster = FaultSchedule.generate(seed).run()
        check(day)
        met |= day.overlapping_faults
    assert len(met) >= 4, "the troubles did not meet"


# -- chains: an older amendment is taken after a newer one, and the leader ends ---------------------


@pytest.mark.parametrize("broken", [False, True])
def test_who_delivers_first_is_known_to_whoever_leads_next(broken: bool, monkeypatch: Patch) -> None:
    if broken:
        monkeypatch.setattr(WorkflowController, "_restore_delivery_order", lambda self: None)
    wrong: list[str] = []
    for seed in range(7770, 7774):
        # Small values: the two are on pages of their own.
        cluster = WorkflowCluster(seed, is_calm=True, restart_delay_range_s=(0.1, 0.5), value_kb=2.0)
        cluster.registry.run_time_range_s = (2.0, 6.0)
        states: list[str] = []

        async def act(_: SimulatedCluster, cluster: WorkflowCluster = cluster) -> None:
            await asyncio.sleep(8)
            for turn in range(4):
                lots = [f"lot-{turn}"]
                # A lot of its own, or it would be superseded as it comes; of the other one its step is overtaken.
                older = cluster.registry.make_amendment([*lots, f"own-{turn}"], fan_out=turn % 2 == 0)
                newer = cluster.registry.make_amendment(lots)
                between = cluster.registry.make_amendment([f"other-{turn}"], fan_out=True)
                for step in older["steps"]:
                    step["job"]["guess_s"] = 9.0
                await cluster.submit_amendment(newer)
                await cluster.submit_amendment(between)
                await cluster.submit_amendment(older)
                await cluster.restart_controller(cluster.current_leader())
                await asyncio.sleep(12)

        async def look(_: SimulatedCluster, cluster: WorkflowCluster = cluster, states: list[str] = states) -> None:
            await asyncio.sleep(118)
            states.extend(cluster.workflow_states().values())

        cluster.schedule_action(act)
        cluster.schedule_action(look)
        cluster.schedule_action(cluster.watch_viewer)
        cluster.run(length_s=120, job_count=2)
        assert len(cluster.accepted_at) == 12, cluster.answer_statuses
        if not broken:
            assert set(states) == {"done"}, "a chain stands still and nobody is told"
        wrong += [str(error) for error in [*cluster.rule_violations, *cluster.errors]]
    assert bool(wrong) == broken, wrong
    assert all("older_after_newer" in each for each in wrong)


# -- hand-over there and back, all end, one returns -------------------------------------------------


def handed_over(seed: int) -> SimulatedCluster:
    """Leadership goes to and fro; all end, one is back within a second; a former leader stands still meanwhile."""
    cluster = SimulatedCluster(seed, is_calm=True, restart_delay_range_s=(0.05, 0.9), max_clock_skew_s=0.5)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        for turn in range(6):
            first = cluster.current_leader()
            if turn % 3 == 0:
                first.pause_gate.pause()
                await asyncio.sleep(4.0)
                await cluster.restart_controller(cluster.current_leader())
                first.pause_gate.resume()
            elif turn % 3 == 1:
                await cluster.inject_fault("returns")
            else:
                cluster.state.refused_controllers.add(first.name)
                await asyncio.sleep(3.5)
                cluster.state.refused_controllers.clear()
                await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.uniform(0.5, 7.0))

    cluster.schedule_action(act)
    return cluster


def test_hand_overs_there_and_back_use_no_term_twice_and_break_no_rule() -> None:
    for seed in range(7780, 7786):
        cluster = handed_over(seed)
        check(cluster.run(length_s=100, job_count=25))
        assert len(cluster.leader_by_term) >= 5 and len(set(cluster.leader_by_term.values())) >= 4, (
            "it did not change hands"
        )


def terms_from_memory(patch: Patch) -> None:
    """Who stands takes the last term that it has seen itself for the newest."""
    get = KeyValueStoreClient.get

    async def stale(self: KeyValueStoreClient, key: str, **more: Any) -> Any:
        found = await get(self, key, **more)
        if key == "lead/term" and found is not None:
            found.value = max(0, found.value - 1)
        return found

    patch.setattr(KeyValueStoreClient, "get", stale)


def test_a_term_that_is_used_again_is_caught(monkeypatch: Patch) -> None:
    terms_from_memory(monkeypatch)
    assert is_caught(handed_over, range(7780, 7784), "used_twice", 100, 25)


# -- small jobs whose tasks end far apart, across a change of leader ---------------------------------


class Few(LongTaskCluster):
    """Jobs of two or three tasks; what was done and cleared from its worker is durable, and never told to run again."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, restart_delay_range_s=(0.1, 1.0))
        self.max_tasks = 3
        self.cleared: set[tuple[str, int]] = set()
        self.across = 0  # tasks that ended under another leader than a mate of theirs
        self.ended_under: dict[str, set[int]] = {}

    def run_time(self, job: dict[str, Any]) -> float:
        return self.rng.choice([1.0, 9.0, 22.0]) * self.rng.uniform(0.7, 1.3)

    def on_clear(self, task: SimulatedTask) -> None:
        if task.cause == "done":
            self.cleared.add((task.job_id, task.index))
            self.ended_under.setdefault(task.job_id, set()).add(max(self.leader_by_term, default=0))

    def on_run(self, worker: SimulatedWorker, key: tuple[str, int]) -> None:
        self.check_rule(key not in self.cleared, f"done_again: {key} was cleared as done, and is told to run")


async def leaders_follow(cluster: SimulatedCluster) -> None:
    await asyncio.sleep(8)
    for _ in range(10):
        # Right after a report that tells of an end, or in the middle of its record.
        ended = len(cluster.finished)
        until = virtual_now() + 5.0
        while len(cluster.finished) == ended and virtual_now() < until:
            await asyncio.sleep(0.01)
        await asyncio.sleep(cluster.rng.choice([0.0, 0.02, 0.1, 0.5, 1.1]))
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(cluster.rng.uniform(1.0, 5.0))


def few(seed: int) -> SimulatedCluster:
    cluster = Few(seed)
    cluster.schedule_action(leaders_follow)
    return cluster


def test_tasks_that_end_far_apart_across_leaders_are_done_once_and_their_jobs_are() -> None:
    across = 0
    for seed in range(7790, 7796):
        cluster = few(seed)
        check(cluster.run(length_s=130, job_count=18))
        assert isinstance(cluster, Few)
        across += sum(len(terms) > 1 for terms in cluster.ended_under.values())
        assert not cluster.unfinished_jobs(before=90), f"seed {seed}: {cluster.unfinished_jobs(before=90)} are not done"
    assert across >= 10, "no job ended under two leaders"


def cleared_before_it_is_durable(patch: Patch) -> None:
    orders = ClusterState.collect_commands

    def hasty(self: ClusterState, machine: Any, at: datetime, may_run: bool) -> list[dict[str, Any]]:
        found = orders(self, machine, at, may_run)
        told = {order["parcel"] for order in found}
        return found + [
            wire.clear_command(task, attempt) for task, attempt, _ in machine.exits_to_clear if task not in told
        ]

    patch.setattr(ClusterState, "collect_commands", hasty)


def test_a_completion_that_is_cleared_too_early_is_caught(monkeypatch: Patch) -> None:
    cleared_before_it_is_durable(monkeypatch)
    assert is_caught(few, range(7790, 7810), "done_again", 130, 18)


# -- an old report after newer ones ------------------------------------------------------------------


def old_reports(seed: int) -> SimulatedCluster:
    """Every report is copied and comes again, up to five leases late, while leases run out and leaders change."""
    cluster = SimulatedCluster(seed, is_calm=True, restart_delay_range_s=(0.1, 1.0))
    cluster.heartbeat_copiers = 1

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        while True:
            for worker in cluster.rng.sample(sorted(cluster.workers.values(), key=lambda w: w.machine.name), 1):
                worker.is_hung = True
                await asyncio.sleep(cluster.rng.choice([2.0, 7.0]))
                worker.is_hung = False
            if cluster.rng.random() < 0.5:
                await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.uniform(1, 5))

    cluster.schedule_action(act)
    return cluster


def test_old_reports_of_earlier_sessions_and_attempts_change_nothing() -> None:
    for seed in range(7800, 7806):
        cluster = old_reports(seed)
        check(cluster.run(length_s=90, job_count=25))
        assert any(worker.incarnation > 1 for worker in cluster.workers.values())


def order_of_reports_ignored(patch: Patch) -> None:
    take = HeartbeatReconciler.apply_heartbeat

    def believe(self: HeartbeatReconciler, report: wire.Heartbeat, at: datetime) -> Any:
        machine = self.cluster_state.machines.get(report.machine_name)
        if machine is not None:
            machine.sequence = machine.expired_incarnation = 0
            machine.incarnation = min(machine.incarnation, report.incarnation)
        return take(self, report, at)

    patch.setattr(HeartbeatReconciler, "apply_heartbeat", believe)


def test_a_leader_that_believes_old_reports_is_caught(monkeypatch: Patch) -> None:
    order_of_reports_ignored(monkeypatch)
    assert is_caught(old_reports, range(7800, 7820), "", 90, 25)


# -- the state service slow, refusing the leader, then everybody, while users cancel and ask ----------


def asked_world(seed: int) -> tuple[SimulatedCluster, list[Any]]:
    cluster = SimulatedCluster(seed, is_calm=True, controller_count=3 if seed % 2 else 5)
    found = watched(cluster, 72.0)

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(15)
        for _ in range(2):
            cluster.max_store_delay_s = cluster.rng.choice([0.5, 1.4, 2.5])
            await asyncio.sleep(cluster.rng.uniform(4, 8))
            await cluster.isolate_leader_then_fail_store(
                cluster.current_leader(), cluster.rng.uniform(0.5, 4.0), cluster.cancel_deadline_s * 1.1
            )
            cluster.max_store_delay_s = 0.0
            await asyncio.sleep(2)

    cluster.schedule_action(act)
    return cluster, found


def test_users_who_cancel_and_ask_meanwhile_get_no_older_answer_and_soon_every_answer() -> None:
    for seed in range(7810, 7816):
        cluster, found = asked_world(seed)
        check(cluster.run(length_s=100, job_count=30))
        assert found[0].longest_unanswered_s <= ANSWERED and not found[0].unanswered_since, (
            found[0].longest_unanswered_s,
            found[0].unanswered_since,
        )
        assert len(cluster.cancelled_at) > 3


def slow_reads_are_fresh(patch: Patch) -> None:
    """Polls are answered by the newest read that is there, however old, when the state service does not answer."""
    from roseweir.submissions.live_job_cache import LiveJobCache

    refresh = LiveJobCache._refresh

    async def lenient(self: LiveJobCache) -> None:
        try:
            await refresh(self)
        except (StoreError, Unreachable):
            if self._revision is None:
                raise

    patch.setattr(LiveJobCache, "_refresh", lenient)


def test_answers_from_reads_before_the_trouble_are_caught(monkeypatch: Patch) -> None:
    slow_reads_are_fresh(monkeypatch)
    assert is_caught(lambda seed: asked_world(seed)[0], range(7810, 7830), "", 100, 30)


# -- a leader ends while machines with long tasks can't be reached, or hear no answer -----------------


def followed(seed: int) -> LongTaskCluster:
    """Half of the machines are deaf, hang or are cut off for a while as their leader ends, and once more after that."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.2, 1.0))

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for turn in range(3):
            way = ("deaf", "hang", "cut")[(seed + turn) % 3]
            some = cluster.rng.sample(
                sorted(cluster.workers.values(), key=lambda w: w.machine.name), len(cluster.workers) // 2
            )
            if way == "cut":
                cluster.partitioned_zones.add("a")
            for worker in some:
                worker.is_hung = way == "hang"
                if way == "deaf":
                    worker.set_one_way_partition("deaf")
            await asyncio.sleep(0.5)
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.choice([2.0, 5.0, 9.0]))
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.choice([0.5, 4.0]))
            cluster.partitioned_zones.clear()
            for worker in some:
                worker.is_hung = False
                worker.set_one_way_partition("")
            await asyncio.sleep(5)

    cluster.schedule_action(act)
    return cluster


def test_nothing_runs_twice_and_nothing_waits_when_the_next_leader_is_not_heard() -> None:
    for seed in range(7820, 7826):
        cluster = followed(seed)
        cluster.task_duration_s = 14.0
        check(cluster.run(length_s=125, job_count=14))
        # The last trouble ends by 70 s; what the last leader may have kept alive counts for 13 s then.
        assert not cluster.unfinished_jobs(before=70), f"seed {seed}: {cluster.unfinished_jobs(before=70)} still wait"


def leases_of_the_last_leader_forgotten(patch: Patch) -> None:
    init = ClusterState.__init__

    def begun(self: ClusterState, *args: Any, **more: Any) -> None:
        init(self, *args, **more)
        self.previous_leader_lease_expiry = self.term_started_at

    patch.setattr(ClusterState, "__init__", begun)
    patch.setattr("roseweir.cloud.controller.plan_scale_in", lambda board, left, at, kept: [])


def test_a_leader_that_forgets_what_the_last_one_kept_alive_is_caught(monkeypatch: Patch) -> None:
    leases_of_the_last_leader_forgotten(monkeypatch)
    assert is_caught(followed, range(7820, 7850), "ran_twice", 125)


# -- a command or its answer is held up, and the machine goes on --------------------------------------


def held_up(seed: int) -> SimulatedCluster:
    """Direct commands and questions come 2 to 12 s late, also to machines that hung, while gangs are stopped."""
    cluster = SimulatedCluster(seed, is_calm=True, restart_delay_range_s=(0.2, 1.0))

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        cluster.late_command_probability = 0.8
        while True:
            worker = cluster.rng.choice(sorted(cluster.workers.values(), key=lambda w: w.machine.name))
            worker.is_hung = True
            await asyncio.sleep(cluster.rng.choice([1.0, 4.5]))
            worker.is_hung = False
            if cluster.rng.random() < 0.2:
                await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.uniform(0.5, 3.0))

    cluster.schedule_action(act)
    return cluster


def test_commands_that_come_late_harm_nobody() -> None:
    for seed in range(7830, 7836):
        check(held_up(seed).run(length_s=90, job_count=25))


def starts_by_direct_commands(patch: Patch) -> None:
    halts, direct = ClusterState.collect_stop_commands, DirectCommandSender.run

    def more(self: ClusterState, machine: Any) -> list[dict[str, Any]]:
        ready = [p for p in machine.placements.values() if p.phase in (PlacementPhase.COMMITTED, PlacementPhase.SENT)]
        return halts(self, machine) + [wire.run_command(p.task_name, p.attempt) for p in ready]

    async def eager(self: DirectCommandSender) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(direct(self))
            while True:
                await asyncio.sleep(0.1)
                self.cluster_state.urgent_stop_machines |= self.cluster_state.machines.keys()

    patch.setattr(ClusterState, "collect_stop_commands", more)
    patch.setattr(DirectCommandSender, "run", eager)


def test_a_start_that_can_come_late_is_caught(monkeypatch: Patch) -> None:
    starts_by_direct_commands(monkeypatch)
    assert is_caught(held_up, range(7830, 7850), "", 90, 25)


# -- input that makes no sense ----------------------------------------------------------------------


def test_a_report_that_makes_no_sense_gets_400_and_changes_nothing() -> None:
    cluster_state = make_cluster_state()
    hand = FakeWorker(cluster_state, "i-1")
    hand.send_heartbeat(NOW)
    run = cluster_state.add_job(job(1, task_count=2, cpus=2.0), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    hand.send_heartbeat(NOW)
    hand.send_heartbeat(NOW)
    term = LeaderLease(TERM, 1, 1, NOW)
    good = orjson.loads(orjson.dumps(msgspec.to_builtins(hand.make_heartbeat())))

    async def main() -> None:
        desk = HeartbeatHandler(cluster_state, term, Notifier(), asyncio.Event(), lambda *_: None, lambda: True)  # type: ignore[arg-type]
        desk.authority.cancellations_read_at = term.confirmed_at = monotonic_now()
        before = (
            [(p.task_name, p.phase, p.state) for p in run.placements.values()],
            hand.machine.sequence,
            len(hand.machine.exits_to_clear),
        )
        gone = {"parcel": "j-000001/0", "try": 1, "standing": "exited", "cause": "done"}
        for strange in [
            {"parcels": [gone, {"parcel": "j-1/x", "try": 1, "standing": "running"}]},
            {"parcels": [gone, {"parcel": "j-000001/-1", "try": 1, "standing": "exited", "cause": "done"}]},
            {"parcels": [gone | {"try": -4}]},
            {"tally": -1},
            {"recall_s": 1e300},
            {"endpoint": "nowhere"},
            {"parcels": None},
        ]:
            raw = orjson.dumps(good | strange)
            assert (await desk.handle_heartbeat(Request("POST", "/hello", raw))).status == 400, strange
        after = (
            [(p.task_name, p.phase, p.state) for p in run.placements.values()],
            hand.machine.sequence,
            len(hand.machine.exits_to_clear),
        )
        assert before == after and not term.ended.is_set()

    virtual_time.run_in_virtual_time(main())


def test_an_unreadable_record_of_who_leads_ends_no_controller() -> None:
    cluster = SimulatedCluster(7840, is_calm=True)

    async def spoil(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        held = cluster.state.keys["lead/leader"][2]
        cluster.state.commit_transaction({"guards": [], "then": [put("lead/leader", ["nobody"], held)]})
        await asyncio.sleep(5)
        cluster.state.commit_transaction({"guards": [], "then": [{"delete": "lead/leader"}]})

    cluster.schedule_action(spoil)
    check(cluster.run(length_s=60, job_count=15))
    assert len(cluster.leader_by_term) >= 2, "nobody led once it was gone"


# -- chains, promises, moves and drains in all of these ----------------------------------------------

MET = [
    *EXTENDED_FAULTS,
    *PARTIAL_PARTITION_FAULTS,
    *STORE_AND_LEADER_FAULTS,
    *STORE_AND_LEADER_FAULTS,
    *STORE_AND_LEADER_FAULTS,
]


def with_chains(seed: int) -> SimulatedCluster:
    cluster = observe_workflows(WorkflowCluster(seed, faults=MET, restart_delay_range_s=(0.1, 3.0)))

    async def act(_: SimulatedCluster) -> None:
        for at, amendment in cluster.registry.make_day(70.0, 3.0, 20.0, 15):
            await asyncio.sleep(max(0.0, at - virtual_now()))
            cluster.spawn(cluster.submit_amendment(amendment))

    cluster.schedule_action(act)
    return cluster


def with_drains(seed: int) -> SimulatedCluster:
    return make_eviction_cluster(seed, max_machine_age_s=20, is_calm=False, faults=MET)


def with_promises(seed: int) -> SimulatedCluster:
    cluster = observe_workflows(
        DeadlineCluster(seed, make_deadline_config(time(0, 1, 30)), is_calm=False, faults=MET, scale=2)
    )
    cluster.schedule_action(cluster.submit_night_work)
    return cluster


def with_moves(seed: int) -> SimulatedCluster:
    cluster = FragmentedCluster(seed, make_rebalancing_config(0.3), 0.3, is_calm=False, faults=MET)
    cluster.schedule_action(cluster.submit_services)
    return cluster


@pytest.mark.parametrize("seed", range(7860, 7863))
@pytest.mark.parametrize("with_", [with_chains, with_drains, with_promises, with_moves], ids=lambda w: w.__name__)
def test_steps_promises_budgets_and_moves_hold_where_troubles_meet(
    with_: Callable[[int], SimulatedCluster], seed: int
) -> None:
    check(with_(seed).run(length_s=110, job_count=10))
