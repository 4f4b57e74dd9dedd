"""Two faults at once: each combination is injected on purpose, and catches a broken variant of the service.

`docs/notes/meetings.md` lists the mechanism that each test relies on; `tests/simulation/fault_combinations.py`
simulates random pairs.
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
    raise_first_failure,
    virtual_now,
)
from tests.simulation.fault_combinations import FaultCombinationCluster, FaultSchedule, LongTaskCluster, is_caught
from tests.simulation.job_specs import make_job_spec as job
from tests.simulation.workflows import WorkflowCluster
from tests.test_delivery_deadlines import DeadlineCluster, make_deadline_config
from tests.test_eviction_days import make_eviction_cluster
from tests.test_job_durability import MAX_UNANSWERED_S, schedule_polling_users
from tests.test_rebalancing import FragmentedCluster, make_rebalancing_config
from tests.test_scheduler import NOW, TERM, FakeWorker, commit_placements, make_cluster_state
from tests.test_workflows import observe_workflows

Patch = pytest.MonkeyPatch

# -- two or three faults at random --------------------------------------------------------------


@pytest.mark.parametrize("first", range(0, 48, 4))
def test_two_or_three_overlapping_faults_break_no_rule(first: int) -> None:
    overlapping_faults: set[frozenset[str]] = set()
    for seed in range(first, first + 4):
        cluster: FaultCombinationCluster = FaultSchedule.generate(seed).run()
        raise_first_failure(cluster)
        overlapping_faults |= cluster.overlapping_faults
    assert len(overlapping_faults) >= 4, "the faults did not overlap"


# -- workflows: an older amendment is accepted after a newer one, and the leader restarts -------------


@pytest.mark.parametrize("is_broken", [False, True])
def test_next_leader_restores_delivery_order_of_amendments(is_broken: bool, monkeypatch: Patch) -> None:
    if is_broken:
        monkeypatch.setattr(WorkflowController, "_restore_delivery_order", lambda self: None)
    failures: list[str] = []
    for seed in range(7770, 7774):
        # Small values: the two amendments are stored on different pages.
        cluster = WorkflowCluster(seed, without_random_faults=True, restart_delay_range_s=(0.1, 0.5), value_kb=2.0)
        cluster.registry.run_time_range_s = (2.0, 6.0)
        states: list[str] = []

        async def act(_: SimulatedCluster, cluster: WorkflowCluster = cluster) -> None:
            await asyncio.sleep(8)
            for turn in range(4):
                shared_lots = [f"lot-{turn}"]
                # The second lot keeps the older amendment from being superseded on arrival; its step of the shared lot
                # is overtaken by the newer amendment.
                older = cluster.registry.make_amendment([*shared_lots, f"own-{turn}"], fan_out=turn % 2 == 0)
                newer = cluster.registry.make_amendment(shared_lots)
                between = cluster.registry.make_amendment([f"other-{turn}"], fan_out=True)
                for step in older["steps"]:
                    step["job"]["guess_s"] = 9.0
                await cluster.submit_amendment(newer)
                await cluster.submit_amendment(between)
                await cluster.submit_amendment(older)
                await cluster.restart_controller(cluster.current_leader())
                await asyncio.sleep(12)

        async def read_states(
            _: SimulatedCluster, cluster: WorkflowCluster = cluster, states: list[str] = states
        ) -> None:
            await asyncio.sleep(118)
            states.extend(cluster.workflow_states().values())

        cluster.schedule_action(act)
        cluster.schedule_action(read_states)
        cluster.schedule_action(cluster.watch_viewer)
        cluster.run(length_s=120, job_count=2)
        assert len(cluster.accepted_at) == 12, cluster.answer_statuses
        if not is_broken:
            assert set(states) == {"done"}, "a workflow makes no progress"
        failures += [str(error) for error in [*cluster.rule_violations, *cluster.errors]]
    assert bool(failures) == is_broken, failures
    assert all("older_after_newer" in failure for failure in failures)


# -- repeated failovers, restart of all controllers, restart of one -----------------------------------


def cluster_with_failovers(seed: int) -> SimulatedCluster:
    """Repeated failovers: a paused leader, a restart of all controllers, a leader that the store refuses."""
    cluster = SimulatedCluster(
        seed, without_random_faults=True, restart_delay_range_s=(0.05, 0.9), max_clock_skew_s=0.5
    )

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        for turn in range(6):
            leader = cluster.current_leader()
            if turn % 3 == 0:
                leader.pause_gate.pause()
                await asyncio.sleep(4.0)
                await cluster.restart_controller(cluster.current_leader())
                leader.pause_gate.resume()
            elif turn % 3 == 1:
                await cluster.inject_fault("returns")
            else:
                cluster.kv_store.refused_controllers.add(leader.name)
                await asyncio.sleep(3.5)
                cluster.kv_store.refused_controllers.clear()
                await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.uniform(0.5, 7.0))

    cluster.schedule_action(act)
    return cluster


def test_repeated_failovers_use_no_term_twice_and_break_no_rule() -> None:
    for seed in range(7780, 7786):
        cluster = cluster_with_failovers(seed)
        raise_first_failure(cluster.run(length_s=100, job_count=25))
        assert len(cluster.leader_by_term) >= 5 and len(set(cluster.leader_by_term.values())) >= 4, "too few failovers"


def reuse_previous_term(patch: Patch) -> None:
    """A candidate reads a term that is one too low, and so elects itself with a term that was used already."""
    get = KeyValueStoreClient.get

    async def get_previous_term(self: KeyValueStoreClient, key: str, **options: Any) -> Any:
        entry = await get(self, key, **options)
        if key == "lead/term" and entry is not None:
            entry.value = max(0, entry.value - 1)
        return entry

    patch.setattr(KeyValueStoreClient, "get", get_previous_term)


def test_reused_term_is_caught(monkeypatch: Patch) -> None:
    reuse_previous_term(monkeypatch)
    assert is_caught(cluster_with_failovers, range(7780, 7784), "used_twice", 100, 25)


# -- small jobs whose tasks end far apart, across failovers --------------------------------------------


class SmallJobsCluster(LongTaskCluster):
    """Jobs of two or three tasks; a task that was done and cleared from its worker must never be started again."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, restart_delay_range_s=(0.1, 1.0))
        self.max_tasks = 3
        self.cleared: set[tuple[str, int]] = set()
        self.tasks_across_terms = 0  # tasks that ended in another term than another task of their job
        self.terms_of_ends: dict[str, set[int]] = {}

    def draw_run_time_s(self, job: dict[str, Any]) -> float:
        return self.rng.choice([1.0, 9.0, 22.0]) * self.rng.uniform(0.7, 1.3)

    def on_clear_command(self, task: SimulatedTask) -> None:
        if task.cause == "done":
            self.cleared.add((task.job_id, task.index))
            self.terms_of_ends.setdefault(task.job_id, set()).add(max(self.leader_by_term, default=0))

    def on_run_command(self, worker: SimulatedWorker, key: tuple[str, int]) -> None:
        self.check_rule(key not in self.cleared, f"done_again: {key} was cleared as done, and is started again")


async def restart_leaders_after_task_ends(cluster: SimulatedCluster) -> None:
    await asyncio.sleep(8)
    for _ in range(10):
        # The leader restarts right after a heartbeat that reports an end, or while the end is being written.
        completed_count = len(cluster.completed_tasks)
        deadline = virtual_now() + 5.0
        while len(cluster.completed_tasks) == completed_count and virtual_now() < deadline:
            await asyncio.sleep(0.01)
        await asyncio.sleep(cluster.rng.choice([0.0, 0.02, 0.1, 0.5, 1.1]))
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(cluster.rng.uniform(1.0, 5.0))


def cluster_with_restarts_after_task_ends(seed: int) -> SimulatedCluster:
    cluster = SmallJobsCluster(seed)
    cluster.schedule_action(restart_leaders_after_task_ends)
    return cluster


def test_tasks_that_end_in_different_terms_are_done_once() -> None:
    jobs_across_terms = 0
    for seed in range(7790, 7796):
        cluster = cluster_with_restarts_after_task_ends(seed)
        raise_first_failure(cluster.run(length_s=130, job_count=18))
        assert isinstance(cluster, SmallJobsCluster)
        jobs_across_terms += sum(len(terms) > 1 for terms in cluster.terms_of_ends.values())
        assert not cluster.unfinished_jobs(before=90), f"seed {seed}: {cluster.unfinished_jobs(before=90)} are not done"
    assert jobs_across_terms >= 10, "no job has tasks that ended in two terms"


def clear_exits_before_they_are_durable(patch: Patch) -> None:
    collect_commands = ClusterState.collect_commands

    def collect_early_clear_commands(
        self: ClusterState, machine: Any, now: datetime, may_run: bool
    ) -> list[dict[str, Any]]:
        commands = collect_commands(self, machine, now, may_run)
        commanded_tasks = {command["parcel"] for command in commands}
        return commands + [
            wire.clear_command(task, attempt)
            for task, attempt, _ in machine.exits_to_clear
            if task not in commanded_tasks
        ]

    patch.setattr(ClusterState, "collect_commands", collect_early_clear_commands)


def test_exit_cleared_before_it_is_durable_is_caught(monkeypatch: Patch) -> None:
    clear_exits_before_they_are_durable(monkeypatch)
    assert is_caught(cluster_with_restarts_after_task_ends, range(7790, 7810), "done_again", 130, 18)


# -- an old heartbeat after newer ones ----------------------------------------------------------------


def cluster_with_old_heartbeats(seed: int) -> SimulatedCluster:
    """Every heartbeat is delivered again, up to five lease durations late, while leases expire and leaders change."""
    cluster = SimulatedCluster(seed, without_random_faults=True, restart_delay_range_s=(0.1, 1.0))
    cluster.heartbeat_duplication_count = 1

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


def test_old_heartbeats_of_earlier_incarnations_change_nothing() -> None:
    for seed in range(7800, 7806):
        cluster = cluster_with_old_heartbeats(seed)
        raise_first_failure(cluster.run(length_s=90, job_count=25))
        assert any(worker.incarnation > 1 for worker in cluster.workers.values())


def ignore_heartbeat_order(patch: Patch) -> None:
    apply_heartbeat = HeartbeatReconciler.apply_heartbeat

    def apply_in_any_order(self: HeartbeatReconciler, heartbeat: wire.Heartbeat, now: datetime) -> Any:
        machine = self.cluster_state.machines.get(heartbeat.machine_name)
        if machine is not None:
            machine.sequence = machine.expired_incarnation = 0
            machine.incarnation = min(machine.incarnation, heartbeat.incarnation)
        return apply_heartbeat(self, heartbeat, now)

    patch.setattr(HeartbeatReconciler, "apply_heartbeat", apply_in_any_order)


def test_accepting_old_heartbeats_is_caught(monkeypatch: Patch) -> None:
    ignore_heartbeat_order(monkeypatch)
    assert is_caught(cluster_with_old_heartbeats, range(7800, 7820), "", 90, 25)


# -- the store is slow, refuses the leader, then all controllers, while users cancel and poll ----------


def cluster_with_polling_users(seed: int) -> tuple[SimulatedCluster, list[Any]]:
    cluster = SimulatedCluster(seed, without_random_faults=True, controller_count=3 if seed % 2 else 5)
    polling_users = schedule_polling_users(cluster, 72.0)

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
    return cluster, polling_users


def test_users_get_no_stale_answer_during_store_faults() -> None:
    for seed in range(7810, 7816):
        cluster, polling_users = cluster_with_polling_users(seed)
        raise_first_failure(cluster.run(length_s=100, job_count=30))
        assert polling_users[0].longest_unanswered_s <= MAX_UNANSWERED_S and not polling_users[0].unanswered_since, (
            polling_users[0].longest_unanswered_s,
            polling_users[0].unanswered_since,
        )
        assert len(cluster.cancelled_at) > 3


def answer_polls_from_stale_reads(patch: Patch) -> None:
    """When the store does not answer, polls are answered from the last read, however old it is."""
    from roseweir.submissions.live_job_cache import LiveJobCache

    refresh = LiveJobCache._refresh

    async def refresh_ignoring_failures(self: LiveJobCache) -> None:
        try:
            await refresh(self)
        except (StoreError, Unreachable):
            if self._revision is None:
                raise

    patch.setattr(LiveJobCache, "_refresh", refresh_ignoring_failures)


def test_answers_from_reads_before_the_fault_are_caught(monkeypatch: Patch) -> None:
    answer_polls_from_stale_reads(monkeypatch)
    assert is_caught(lambda seed: cluster_with_polling_users(seed)[0], range(7810, 7830), "", 100, 30)


# -- the leader restarts while machines with long tasks are unreachable or get no answer ---------------


def cluster_with_unreachable_machines(seed: int) -> LongTaskCluster:
    """Half of the machines lose inbound traffic, hang, or lose their zone, across two restarts of the leader."""
    cluster = LongTaskCluster(seed, restart_delay_range_s=(0.2, 1.0))

    async def act(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for turn in range(3):
            fault = ("deaf", "hang", "cut")[(seed + turn) % 3]
            affected = cluster.rng.sample(
                sorted(cluster.workers.values(), key=lambda w: w.machine.name), len(cluster.workers) // 2
            )
            if fault == "cut":
                cluster.partitioned_zones.add("a")
            for worker in affected:
                worker.is_hung = fault == "hang"
                if fault == "deaf":
                    worker.set_one_way_partition("deaf")
            await asyncio.sleep(0.5)
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.choice([2.0, 5.0, 9.0]))
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(cluster.rng.choice([0.5, 4.0]))
            cluster.partitioned_zones.clear()
            for worker in affected:
                worker.is_hung = False
                worker.set_one_way_partition("")
            await asyncio.sleep(5)

    cluster.schedule_action(act)
    return cluster


def test_tasks_run_once_and_jobs_end_when_next_leader_is_unreachable() -> None:
    for seed in range(7820, 7826):
        cluster = cluster_with_unreachable_machines(seed)
        cluster.task_duration_s = 14.0
        raise_first_failure(cluster.run(length_s=125, job_count=14))
        # The last fault ends by 70 s; leases that the previous leader may have granted are respected for 13 s more.
        assert not cluster.unfinished_jobs(before=70), f"seed {seed}: {cluster.unfinished_jobs(before=70)} still wait"


def ignore_previous_leader_leases(patch: Patch) -> None:
    original_init = ClusterState.__init__

    def init_without_previous_leases(self: ClusterState, *args: Any, **options: Any) -> None:
        original_init(self, *args, **options)
        self.previous_leader_lease_expiry = self.term_started_at

    patch.setattr(ClusterState, "__init__", init_without_previous_leases)
    patch.setattr("roseweir.cloud.controller.plan_scale_in", lambda cluster_state, pass_result, now, kept: [])


def test_ignoring_leases_of_previous_leader_is_caught(monkeypatch: Patch) -> None:
    ignore_previous_leader_leases(monkeypatch)
    assert is_caught(cluster_with_unreachable_machines, range(7820, 7850), "ran_twice", 125)


# -- a command or its answer is delayed, while the machine continues ----------------------------------


def cluster_with_late_commands(seed: int) -> SimulatedCluster:
    """Direct commands and probes arrive 2 to 12 s late, also at machines that hung, while gangs are stopped."""
    cluster = SimulatedCluster(seed, without_random_faults=True, restart_delay_range_s=(0.2, 1.0))

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


def test_late_commands_break_no_rule() -> None:
    for seed in range(7830, 7836):
        raise_first_failure(cluster_with_late_commands(seed).run(length_s=90, job_count=25))


def start_tasks_by_direct_commands(patch: Patch) -> None:
    collect_stop_commands, run_sender = ClusterState.collect_stop_commands, DirectCommandSender.run

    def collect_stop_and_run_commands(self: ClusterState, machine: Any) -> list[dict[str, Any]]:
        ready_placements = [
            p for p in machine.placements.values() if p.phase in (PlacementPhase.COMMITTED, PlacementPhase.SENT)
        ]
        return collect_stop_commands(self, machine) + [
            wire.run_command(p.task_name, p.attempt) for p in ready_placements
        ]

    async def run_for_all_machines(self: DirectCommandSender) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(run_sender(self))
            while True:
                await asyncio.sleep(0.1)
                self.cluster_state.urgent_stop_machines |= self.cluster_state.machines.keys()

    patch.setattr(ClusterState, "collect_stop_commands", collect_stop_and_run_commands)
    patch.setattr(DirectCommandSender, "run", run_for_all_machines)


def test_start_by_direct_command_is_caught(monkeypatch: Patch) -> None:
    start_tasks_by_direct_commands(monkeypatch)
    assert is_caught(cluster_with_late_commands, range(7830, 7850), "", 90, 25)


# -- invalid input ----------------------------------------------------------------------------------


def test_invalid_heartbeat_gets_400_and_changes_nothing() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    job_run = cluster_state.add_job(job(1, task_count=2, cpus=2.0), 1)
    run_scheduling_pass(cluster_state, NOW)
    commit_placements(cluster_state)
    worker.send_heartbeat(NOW)
    worker.send_heartbeat(NOW)
    lease = LeaderLease(TERM, 1, 1, NOW)
    valid_fields = orjson.loads(orjson.dumps(msgspec.to_builtins(worker.make_heartbeat())))

    async def main() -> None:
        handler = HeartbeatHandler(cluster_state, lease, Notifier(), asyncio.Event(), lambda *_: None, lambda: True)  # type: ignore[arg-type]
        handler.authority.cancellations_read_at = lease.confirmed_at = monotonic_now()
        before = (
            [(p.task_name, p.phase, p.state) for p in job_run.placements.values()],
            worker.machine.sequence,
            len(worker.machine.exits_to_clear),
        )
        exited_task = {"parcel": "j-000001/0", "try": 1, "standing": "exited", "cause": "done"}
        for invalid_fields in [
            {"parcels": [exited_task, {"parcel": "j-1/x", "try": 1, "standing": "running"}]},
            {"parcels": [exited_task, {"parcel": "j-000001/-1", "try": 1, "standing": "exited", "cause": "done"}]},
            {"parcels": [exited_task | {"try": -4}]},
            {"tally": -1},
            {"recall_s": 1e300},
            {"endpoint": "nowhere"},
            {"parcels": None},
        ]:
            body = orjson.dumps(valid_fields | invalid_fields)
            assert (await handler.handle_heartbeat(Request("POST", "/hello", body))).status == 400, invalid_fields
        after = (
            [(p.task_name, p.phase, p.state) for p in job_run.placements.values()],
            worker.machine.sequence,
            len(worker.machine.exits_to_clear),
        )
        assert before == after and not lease.ended.is_set()

    virtual_time.run_in_virtual_time(main())


def test_unreadable_leader_key_stops_no_controller() -> None:
    cluster = SimulatedCluster(7840, without_random_faults=True)

    async def corrupt_leader_key(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        lease_id = cluster.kv_store.keys["lead/leader"][2]
        cluster.kv_store.commit_transaction({"guards": [], "then": [put("lead/leader", ["nobody"], lease_id)]})
        await asyncio.sleep(5)
        cluster.kv_store.commit_transaction({"guards": [], "then": [{"delete": "lead/leader"}]})

    cluster.schedule_action(corrupt_leader_key)
    raise_first_failure(cluster.run(length_s=60, job_count=15))
    assert len(cluster.leader_by_term) >= 2, "no leader was elected after the key was deleted"


# -- workflows, delivery deadlines, rebalancing and drains under all of these faults -------------------

ALL_FAULTS = [
    *EXTENDED_FAULTS,
    *PARTIAL_PARTITION_FAULTS,
    *STORE_AND_LEADER_FAULTS,
    *STORE_AND_LEADER_FAULTS,
    *STORE_AND_LEADER_FAULTS,
]


def cluster_with_workflows(seed: int) -> SimulatedCluster:
    cluster = observe_workflows(WorkflowCluster(seed, faults=ALL_FAULTS, restart_delay_range_s=(0.1, 3.0)))

    async def act(_: SimulatedCluster) -> None:
        for submit_at, amendment in cluster.registry.make_day(70.0, 3.0, 20.0, 15):
            await asyncio.sleep(max(0.0, submit_at - virtual_now()))
            cluster.spawn(cluster.submit_amendment(amendment))

    cluster.schedule_action(act)
    return cluster


def cluster_with_drains(seed: int) -> SimulatedCluster:
    return make_eviction_cluster(seed, max_machine_age_s=20, without_random_faults=False, faults=ALL_FAULTS)


def cluster_with_delivery_deadlines(seed: int) -> SimulatedCluster:
    cluster = observe_workflows(
        DeadlineCluster(
            seed, make_deadline_config(time(0, 1, 30)), without_random_faults=False, faults=ALL_FAULTS, scale=2
        )
    )
    cluster.schedule_action(cluster.submit_night_work)
    return cluster


def cluster_with_rebalancing(seed: int) -> SimulatedCluster:
    cluster = FragmentedCluster(seed, make_rebalancing_config(0.3), 0.3, without_random_faults=False, faults=ALL_FAULTS)
    cluster.schedule_action(cluster.submit_services)
    return cluster


@pytest.mark.parametrize("seed", range(7860, 7863))
@pytest.mark.parametrize(
    "make_cluster",
    [cluster_with_workflows, cluster_with_drains, cluster_with_delivery_deadlines, cluster_with_rebalancing],
    ids=lambda make_cluster: make_cluster.__name__,
)
def test_workflows_deadlines_budgets_and_moves_hold_under_faults(
    make_cluster: Callable[[int], SimulatedCluster], seed: int
) -> None:
    raise_first_failure(make_cluster(seed).run(length_s=110, job_count=10))
