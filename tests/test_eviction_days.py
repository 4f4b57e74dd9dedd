"""Simulated days of drains and replacements under faults.

The simulated cluster counts the tasks that are down itself, and checks disruption budgets, gangs and services.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest

from roseweir.clock import seconds
from roseweir.drain.controller import DrainController
from roseweir.drain.disruption_budget import DisruptionAccount
from roseweir.drain.eviction_state_machine import EvictionState, EvictionStateMachine
from roseweir.drain.lifecycle_listener import DrainLifecycleListener
from roseweir.drain.settings import AutoReplacementSettings, DisruptionBudget, DrainSettings
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.lifecycle_events import DowntimeCause
from roseweir.submissions.jobs import GANG
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    HEARTBEAT_INTERVAL_S,
    LEASE_DURATION_S,
    SimulatedCluster,
    SimulatedTask,
    SimulatedWorker,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.eviction import EvictionCluster

MAX_DISRUPTED_SHARE = 0.2


def make_drain_config(max_machine_age_s: float | None = None, **budget_limits: Any) -> OperatorConfig:
    auto_replacement = (
        None
        if max_machine_age_s is None
        else AutoReplacementSettings(older=seconds(max_machine_age_s), machines_a_day=10_000, money_a_day=1e6)
    )
    config = OperatorConfig()
    # Replica moves also disrupt tasks, and have tests of their own.
    config.rebalancing.move = "off"
    budget = DisruptionBudget(share=MAX_DISRUPTED_SHARE, **budget_limits)
    config.drain = DrainSettings(
        hole=0.25,
        soon=seconds(3),
        grace=seconds(8),
        deadline=timedelta(minutes=5),
        budgets=[budget],
        auto_replacement=auto_replacement,
    )
    return config


def make_eviction_cluster(
    seed: int, max_machine_age_s: float | None = None, without_random_faults: bool = True, **cluster_options: Any
) -> EvictionCluster:
    cluster_options = {"scale": 2} | cluster_options
    return EvictionCluster(
        seed,
        make_drain_config(max_machine_age_s),
        MAX_DISRUPTED_SHARE,
        without_random_faults=without_random_faults,
        **cluster_options,
    )


def test_quiet_day_replaces_the_fleet_within_budgets() -> None:
    cluster = make_eviction_cluster(1, max_machine_age_s=25)
    raise_first_failure(cluster.run(length_s=140, job_count=40))
    first_machines = [machine for machine in cluster.cloud.machines.values() if machine.rented_at < 15]
    assert sum(machine.is_gone for machine in first_machines) >= 0.8 * len(first_machines), (
        "fewer than 80% of the first machines are replaced"
    )
    assert cluster.moved_count > 0, "no evicted task ran again elsewhere"


@pytest.mark.parametrize("seed", range(12))
def test_replacements_under_all_faults_stay_within_budgets(seed: int) -> None:
    cluster = make_eviction_cluster(
        20_000 + seed, max_machine_age_s=20, without_random_faults=False, faults=EXTENDED_FAULTS
    )
    raise_first_failure(cluster.run(length_s=110, job_count=40))
    assert cluster.start_count > 20


async def start_overlapping_drains(cluster: EvictionCluster) -> None:
    """Starts drains of several scopes at random controllers, and stops one of them before it ends."""
    rng = cluster.rng
    await asyncio.sleep(15)
    assert await cluster.start_drain("fleet", deadline_s=60) in (200, 201)
    assert await cluster.start_drain("fleet", deadline_s=60) == 200, (
        "repeating the same request returns the existing drain"
    )
    assert await cluster.start_drain("fleet", deadline_s=61) == 400
    await asyncio.sleep(rng.uniform(1, 10))
    cluster.deadline_at = virtual_now() + 40
    assert await cluster.start_drain("zone", zones=["a"], deadline_s=40, force=True) in (200, 201)
    await asyncio.sleep(rng.uniform(1, 10))
    assert await cluster.start_drain("spot", spot=True, replace=False, deadline_s=30) in (200, 201, 400)
    await asyncio.sleep(rng.uniform(1, 10))
    status, _ = await cluster.request_drain({"verb": "stop", "name": "fleet"})
    assert status in (200, 503)
    await asyncio.sleep(65)
    cluster.faults = ["lag"]
    await asyncio.sleep(20)
    drains = await cluster.list_drains()
    assert {"fleet", "zone"} <= drains.keys(), "a drain was lost after its request had been acknowledged"
    assert all(row["ended_s_ago"] is not None for row in drains.values()), drains


@pytest.mark.parametrize("seed", range(8))
def test_overlapping_drains_end_under_all_faults(seed: int) -> None:
    """Acknowledged drains must not be lost, and each must end, completed or with the reason why not."""
    cluster = make_eviction_cluster(21_000 + seed, without_random_faults=False, faults=EXTENDED_FAULTS)
    cluster.schedule_action(lambda _: start_overlapping_drains(cluster))
    raise_first_failure(cluster.run(length_s=150, job_count=40))


# -- the checks of the simulation ---------------------------------------------------------------


def make_budget_bound_cluster(seed: int, share: float = 0.1) -> EvictionCluster:
    """Long tasks and short drain graces, so that the budgets are what limits evictions."""
    cluster = make_eviction_cluster(seed, max_machine_age_s=15, scale=3)
    drain = cluster.operator_config.drain
    assert drain is not None
    drain.hole, drain.soon, drain.grace, drain.budgets[0] = 0.6, seconds(1), seconds(2), DisruptionBudget(share=share)
    cluster.max_disrupted_share, cluster.max_task_duration_s = share, 80.0
    return cluster


async def restart_leaders(cluster: EvictionCluster) -> None:
    while True:
        await asyncio.sleep(cluster.rng.uniform(20, 30))
        await cluster.restart_controller(cluster.current_leader())


async def kill_machines(cluster: EvictionCluster) -> None:
    """Kills a third of the machines every 30 s; the leader detects the loss within the lease and three heartbeats."""
    cluster.loss_detection_s = LEASE_DURATION_S + 3 * HEARTBEAT_INTERVAL_S
    while True:
        await asyncio.sleep(30)
        for worker in cluster.rng.sample(list(cluster.workers.values()), len(cluster.workers) // 3):
            worker.die()
            worker.machine.has_failed = True


def forget_down_tasks_at_failover(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DisruptionAccount, "assume_down_after_failover", lambda *args: None)


def ignore_lost_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DrainLifecycleListener, "on_task_lost", lambda *args: None)


def ignore_evicted_gangs(monkeypatch: pytest.MonkeyPatch) -> None:
    original = DisruptionAccount.mark_down

    def mark_down_without_evicted_gangs(
        self: DisruptionAccount, run: Any, indices: Any, cause: DowntimeCause, at: Any, lost_s: float = 0.0
    ) -> None:
        if run.spec.job_type != GANG or cause != DowntimeCause.DRAIN:
            original(self, run, indices, cause, at, lost_s)

    monkeypatch.setattr(DisruptionAccount, "mark_down", mark_down_without_evicted_gangs)


Patch = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize("seed", [0, 3])
@pytest.mark.parametrize("action", [restart_leaders, kill_machines])
def test_budgets_hold_during_failovers_and_machine_losses(action: Any, seed: int) -> None:
    cluster = make_budget_bound_cluster(seed)
    cluster.schedule_action(lambda _: action(cluster))
    raise_first_failure(cluster.run(length_s=110, job_count=50))
    assert cluster.stop_count > 20


@pytest.mark.parametrize(
    ("patch", "action", "seeds"),
    [
        (forget_down_tasks_at_failover, restart_leaders, range(45, 52)),
        (ignore_lost_tasks, kill_machines, range(8)),
        (ignore_evicted_gangs, None, [0]),
    ],
)
def test_faulty_disruption_accounts_are_detected(
    monkeypatch: pytest.MonkeyPatch, patch: Patch, action: Any, seeds: Any
) -> None:
    patch(monkeypatch)
    for seed in seeds:
        cluster = make_budget_bound_cluster(seed)
        if action is not None:
            cluster.schedule_action(lambda scheduled: action(scheduled))
        if any("budget" in str(e) for e in cluster.run(length_s=110, job_count=50).rule_violations):
            return
    raise AssertionError("no seed exceeded a budget")


# -- failures in each eviction state ------------------------------------------------------------


def state_machine_of(cluster: EvictionCluster) -> EvictionStateMachine | None:
    service = cluster.current_leader().service
    leader_term = None if service is None else service.leader_term
    return leader_term.drain_controller.state_machine if leader_term is not None and leader_term.is_ready else None


async def wait_for_eviction_state(cluster: EvictionCluster, state: str) -> None:
    while True:
        await asyncio.sleep(0.05)
        state_machine = state_machine_of(cluster)
        if state_machine is not None and state == "accepted":
            return
        if state_machine is not None and any(
            state_machine.state_of(state_machine.cluster_state.machines[name]) == state
            for name in state_machine.owners
            if name in state_machine.cluster_state.machines
        ):
            return


def record_starts_on(cluster: EvictionCluster, names: set[str]) -> list[str]:
    """Returns a list that collects the tasks that start on these machines from now on."""
    started: list[str] = []
    original = cluster.check_start

    def record_start(worker: SimulatedWorker, task: SimulatedTask) -> None:
        if worker.machine.name in names:
            started.append(f"{task.job_id}/{task.index} on {worker.machine.name} at {virtual_now():.1f}")
        original(worker, task)

    cluster.check_start = record_start  # type: ignore[method-assign]
    return started


@pytest.mark.parametrize("failing", ["leader", "all"])
@pytest.mark.parametrize("state", ["accepted", EvictionState.CORDONED, EvictionState.EVICTING, EvictionState.RELEASING])
def test_drain_completes_after_failures_in_each_eviction_state(state: str, failing: str) -> None:
    cluster = make_eviction_cluster(22_000, scale=3)
    cluster.max_task_duration_s = 40.0
    ended_drains: list[dict[str, Any]] = []
    is_gone_by_name: dict[str, int] = {}

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(20)
        zone_machines = [
            machine.name for machine in cluster.cloud.machines.values() if not machine.is_gone and machine.zone == "a"
        ]
        assert await cluster.start_drain("zone", zones=["a"], deadline_s=120, force=True) in (200, 201)
        cluster.deadline_at = virtual_now() + 120
        await wait_for_eviction_state(cluster, state)
        if failing == "leader":
            await cluster.restart_controller(cluster.current_leader())
        else:
            await cluster.inject_fault("all")
        while (await cluster.list_drains())["zone"]["ended_s_ago"] is None:
            await asyncio.sleep(1)
        ended_drains.append((await cluster.list_drains())["zone"])
        is_gone_by_name.update({name: cluster.cloud.machines[name].is_gone for name in zone_machines})

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=190, job_count=50))
    assert ended_drains and ended_drains[0]["state"] == "done" and all(is_gone_by_name.values()), (
        ended_drains,
        is_gone_by_name,
    )


@pytest.mark.parametrize("restores_drains", [True, False])
def test_no_task_starts_on_drained_machines_after_failovers(
    monkeypatch: pytest.MonkeyPatch, restores_drains: bool
) -> None:
    """The leader restarts twice; when it does not restore drains and cordons, tasks start on the drained machines."""
    if not restores_drains:
        original = DrainController.restore

        def forget(self: DrainController, record: Any) -> None:
            original(self, record)
            self.cluster_state.drain_by_machine.clear()
            self.state_machine.cordons.clear()
            self.state_machine.drains.clear()

        monkeypatch.setattr(DrainController, "restore", forget)
    cluster = make_eviction_cluster(22_100, scale=3)
    # The drain waits for tasks of all lengths, so its machines stay for long with a growing share of free capacity.
    cluster.shapes, cluster.max_task_duration_s = ["sweep"], 80.0
    drain = cluster.operator_config.drain
    assert drain is not None
    drain.grace, drain.soon, drain.hole = seconds(600), seconds(600), 0.6
    started: list[list[str]] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(25)
        cluster.cloud.capacity = dict.fromkeys(cluster.cloud.capacity, 0)  # queued tasks would use any free capacity
        names = sorted(cluster.workers, key=lambda name: (-len(cluster.workers[name].tasks), name))[:3]
        assert await cluster.start_drain("named", machines=names, deadline_s=600, replace=False) == 201, (
            cluster.drain_answers
        )
        await wait_for_eviction_state(cluster, EvictionState.CORDONED)
        while (await cluster.list_drains())["named"]["machines"].get("waiting"):
            await asyncio.sleep(0.5)
        await asyncio.sleep(2)
        started.append(record_starts_on(cluster, set(names)))
        for _ in range(2):
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(15)

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=90, job_count=100))
    assert started and (started[0] == []) == restores_drains, started


def test_drains_pause_during_a_key_value_store_outage() -> None:
    """No task is evicted during the outage, and the drains continue afterwards."""
    cluster = make_budget_bound_cluster(22_200)
    stop_counts: list[int] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(40)
        cluster.kv_store.is_down = True
        await asyncio.sleep(1.5)
        stop_counts.append(cluster.stop_count)
        await asyncio.sleep(9)  # longer than the leases of the leader and of the workers
        stop_counts.append(cluster.stop_count)
        cluster.kv_store.end_outage()
        await asyncio.sleep(45)
        stop_counts.append(cluster.stop_count)

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=110, job_count=50))
    assert stop_counts[0] > 0 and stop_counts[0] == stop_counts[1] < stop_counts[2]


@pytest.mark.parametrize("seed", range(22_301, 22_306))
def test_partitioned_zone_exhausts_budgets_and_drains_wait(seed: int) -> None:
    """Tasks lost in the partitioned zone count against the budgets of their teams, so no task is evicted meanwhile."""
    cluster = make_budget_bound_cluster(seed)
    stop_counts: list[int] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(40)
        # The zone's workers hang as well, so half of all tasks are lost when their leases expire.
        zone = "b" if cluster.current_leader().zone == "a" else "a"
        cluster.partitioned_zones.add(zone)
        for worker in list(cluster.workers.values()):
            if worker.machine.zone == zone:
                worker.is_hung = True
        await asyncio.sleep(9)
        stop_counts.append(cluster.stop_count)
        await asyncio.sleep(3)
        stop_counts.append(cluster.stop_count)
        cluster.partitioned_zones.clear()
        for worker in cluster.workers.values():
            worker.is_hung = False
        await asyncio.sleep(45)
        stop_counts.append(cluster.stop_count)

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=110, job_count=50))
    assert stop_counts[0] == stop_counts[1] < stop_counts[2], stop_counts


@pytest.mark.parametrize("failure", ["die", "hang"])
def test_drain_completes_when_machines_fail_during_eviction(failure: str) -> None:
    """The drain neither waits for a failed machine forever nor forgets one that hangs."""
    cluster = make_eviction_cluster(22_400, scale=3)
    cluster.max_task_duration_s = 30.0
    ended_drains: list[dict[str, Any]] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(20)
        names = sorted(cluster.workers)[:4]
        assert await cluster.start_drain("named", machines=names, deadline_s=100, force=True, grace_s=4) == 201
        cluster.deadline_at = virtual_now() + 100
        await wait_for_eviction_state(cluster, EvictionState.EVICTING)
        for name in names:
            worker = cluster.workers.get(name)
            if worker is not None and failure == "die":
                worker.die()
                worker.machine.has_failed = True
            elif worker is not None:
                worker.is_hung = True
        await asyncio.sleep(12)
        for worker in cluster.workers.values():
            worker.is_hung = False
        while (await cluster.list_drains())["named"]["ended_s_ago"] is None:
            await asyncio.sleep(1)
        ended_drains.append((await cluster.list_drains())["named"])

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=160, job_count=40))
    assert ended_drains and ended_drains[0]["state"] == "done", ended_drains


def test_task_that_ignores_a_graceful_stop_is_ended_after_its_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    original = SimulatedWorker.stop_task
    ignored: set[str] = set()

    def ignore_graceful_stop(self: SimulatedWorker, task: SimulatedTask, grace: float) -> None:
        if grace > 0 and task.state == "running":
            ignored.add(f"{task.job_id}/{task.index}")
            self.cluster.on_stop_command(self, task, grace)
        else:
            original(self, task, grace)

    monkeypatch.setattr(SimulatedWorker, "stop_task", ignore_graceful_stop)
    cluster = make_eviction_cluster(22_500, scale=2)
    # The simulation does not check checkpoints and budgets after the deadline.
    cluster.max_task_duration_s, cluster.deadline_at = 300.0, 0.0
    cluster.shapes = ["sweep"]
    final_states: list[str] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(30)
        names = sorted(cluster.workers)[:3]
        assert await cluster.start_drain("named", machines=names, deadline_s=100, grace_s=1, replace=False) == 201
        await asyncio.sleep(95)
        final_states.append((await cluster.list_drains())["named"]["state"])

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=130, job_count=20))
    assert ignored and final_states == ["done"], final_states


@pytest.mark.parametrize("failure", ["never boots", "refused"])
def test_missing_machines_stay_bounded_without_replacements(failure: str) -> None:
    """The drain then ends with the missing replacement as its reason."""
    cluster = make_eviction_cluster(22_600, scale=4)
    cluster.max_task_duration_s = 6.0
    remaining_counts: list[int] = []
    ended_drains: list[dict[str, Any]] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(30)
        if failure == "refused":
            cluster.cloud.capacity = dict.fromkeys(cluster.cloud.capacity, 0)
        else:
            cluster.cloud.boot_failure_probability = 1.0
        initial_machines = [
            machine for machine in cluster.cloud.machines.values() if machine.worker and not machine.is_gone
        ]
        state_machine = state_machine_of(cluster)
        assert state_machine is not None
        initial_max_missing = {
            machine_type: state_machine.surge_pool.max_missing(machine_type) for machine_type in ("cpu", "gpu")
        }
        assert await cluster.start_drain("fleet", deadline_s=40) == 201
        while (await cluster.list_drains())["fleet"]["ended_s_ago"] is None:
            await asyncio.sleep(0.5)
            state_machine = state_machine_of(cluster)
            if state_machine is not None:
                missing = {
                    machine_type: state_machine.surge_pool.missing_count(machine_type, state_machine.cordons.values())
                    for machine_type in initial_max_missing
                }
                assert all(
                    missing[machine_type]
                    <= max(initial_max_missing[machine_type], state_machine.surge_pool.max_missing(machine_type))
                    for machine_type in initial_max_missing
                ), (
                    missing,
                    initial_max_missing,
                )
        remaining_counts.append(sum(machine.worker is not None and not machine.is_gone for machine in initial_machines))
        ended_drains.append((await cluster.list_drains())["fleet"])

    cluster.schedule_action(lambda _: act(cluster))
    # Jobs stay queued, so that the missing machines remain needed.
    raise_first_failure(cluster.run(length_s=90, job_count=120))
    assert ended_drains and "gave up" in ended_drains[0]["state"] and "its replacement" in ended_drains[0]["state"], (
        ended_drains
    )


def test_stopped_drain_makes_its_machines_schedulable_again() -> None:
    cluster = make_eviction_cluster(22_700, scale=2)
    cluster.shapes, cluster.max_task_duration_s = ["sweep"], 6.0
    started: list[list[str]] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(20)
        drain = cluster.operator_config.drain
        assert drain is not None
        drain.grace = seconds(600)
        names = {name for name, worker in cluster.workers.items() if worker.tasks}
        status, answer = await cluster.request_drain({"verb": "start", "ask": {"name": "x", "machines": sorted(names)}})
        assert status == 201, answer
        await asyncio.sleep(6)
        status, answer = await cluster.request_drain({"verb": "stop", "name": "x"})
        assert status == 200 and "stopped by an operator" in answer["drain"]["state"]
        await asyncio.sleep(2)
        state_machine = state_machine_of(cluster)
        assert (
            state_machine is not None
            and state_machine.cordons == {}
            and state_machine.cluster_state.drain_by_machine == {}
        )
        started.append(record_starts_on(cluster, {name for name in names if name in cluster.workers}))

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=70, job_count=60))
    assert started and started[0], "no task started on the machines after the drain was stopped"


def test_quiet_hours_defer_evictions_until_a_forced_deadline() -> None:
    from datetime import time

    from roseweir.drain.settings import QuietHours

    cluster = make_budget_bound_cluster(22_800)
    drain = cluster.operator_config.drain
    assert drain is not None
    # The simulated day begins at midnight.
    drain.auto_replacement, drain.quiet_hours = None, [QuietHours(time(0, 0), time(23, 59))]
    stop_counts: list[int] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(25)
        assert await cluster.start_drain("fleet", deadline_s=40, force=True) == 201
        cluster.deadline_at = virtual_now() + 39
        await asyncio.sleep(37)
        stop_counts.append(cluster.stop_count)
        assert (await cluster.list_drains())["fleet"]["waits_for"] == "quiet hours to end"

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=90, job_count=40))
    assert stop_counts == [0]


def test_drain_that_can_never_end_is_rejected_with_a_reason() -> None:
    cluster = make_eviction_cluster(22_900)
    cluster.shapes = ["daemon"]
    drain = cluster.operator_config.drain
    assert drain is not None
    drain.budgets[0] = DisruptionBudget(tasks=0)
    answers: list[str] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(25)
        for request in (
            {},
            {"machines": ["i-999999"]},
            {"zones": ["nowhere"]},
            {"types": ["cpu"], "machines": ["i-000000"]},
        ):
            status, answer = await cluster.request_drain({"verb": "start", "ask": {"name": "x"} | request})
            answers.append(f"{status} {answer['error']}")
        status, answer = await cluster.request_drain({"verb": "stop", "name": "nobody"})
        answers.append(f"{status} {answer['error']}")

    cluster.schedule_action(lambda _: act(cluster))
    raise_first_failure(cluster.run(length_s=50, job_count=20))
    assert [line[:3] for line in answers] == ["400"] * 5
    assert "the budget of team" in answers[0] and "i-999999" in answers[1] and "nowhere" in answers[2]
    assert "no drain is called nobody" in answers[4]


def test_no_drain_keys_are_written_without_drains() -> None:
    settings = OperatorConfig()
    settings.rebalancing.move = "off"
    cluster = SimulatedCluster(22_950, settings, without_random_faults=True)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    assert not any(key.startswith("drain/") for key in cluster.kv_store.keys)
