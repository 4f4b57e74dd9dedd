"""Days of drains and replacements under all troubles; the world's own account checks budgets, gangs and services."""

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
    virtual_now,
)
from tests.simulation.eviction import EvictionCluster
from tests.test_simulated_days import check

SHARE = 0.2


def tuning(older: float | None = None, **more: Any) -> OperatorConfig:
    own = (
        None if older is None else AutoReplacementSettings(older=seconds(older), machines_a_day=10_000, money_a_day=1e6)
    )
    found = OperatorConfig()
    # Moves of replicas are drains as well, and have tests of their own.
    found.rebalancing.move = "off"
    budget = DisruptionBudget(share=SHARE, **more)
    found.drain = DrainSettings(
        hole=0.25,
        soon=seconds(3),
        grace=seconds(8),
        deadline=timedelta(minutes=5),
        budgets=[budget],
        auto_replacement=own,
    )
    return found


def world_of(seed: int, older: float | None = None, calm: bool = True, **more: Any) -> EvictionCluster:
    more = {"scale": 2} | more
    return EvictionCluster(seed, tuning(older), SHARE, is_calm=calm, **more)


def test_quiet_day_replaces_the_fleet_within_budgets() -> None:
    cluster = world_of(1, older=25)
    check(cluster.run(length_s=140, job_count=40))
    first = [h for h in cluster.cloud.machines.values() if h.rented_at < 15]
    assert sum(h.is_gone for h in first) >= 0.8 * len(first), "most of the first machines are replaced"
    assert cluster.moved_count > 0, "nothing was stopped that ran again"


@pytest.mark.parametrize("seed", range(12))
def test_rough_days_with_replacements_break_no_rule_and_pass_no_budget(seed: int) -> None:
    cluster = world_of(20_000 + seed, older=20, calm=False, faults=EXTENDED_FAULTS)
    check(cluster.run(length_s=110, job_count=40))
    assert cluster.start_count > 20


async def overlapping(cluster: EvictionCluster) -> None:
    """Drains of every kind, asked for at any controller, one stopped in the middle."""
    draw = cluster.rng
    await asyncio.sleep(15)
    assert await cluster.start_drain("fleet", deadline_s=60) in (200, 201)
    assert await cluster.start_drain("fleet", deadline_s=60) == 200, "the same drain"
    assert await cluster.start_drain("fleet", deadline_s=61) == 400
    await asyncio.sleep(draw.uniform(1, 10))
    cluster.deadline_at = virtual_now() + 40
    assert await cluster.start_drain("zone", zones=["a"], deadline_s=40, force=True) in (200, 201)
    await asyncio.sleep(draw.uniform(1, 10))
    assert await cluster.start_drain("spot", spot=True, replace=False, deadline_s=30) in (200, 201, 400)
    await asyncio.sleep(draw.uniform(1, 10))
    status, _ = await cluster.request_drain({"verb": "stop", "name": "fleet"})
    assert status in (200, 503)
    await asyncio.sleep(65)
    cluster.faults = ["lag"]
    await asyncio.sleep(20)
    drains = await cluster.list_drains()
    assert {"fleet", "zone"} <= drains.keys(), "an intention that was answered was lost"
    assert all(row["ended_s_ago"] is not None for row in drains.values()), drains


@pytest.mark.parametrize("seed", range(8))
def test_overlapping_drains_under_all_troubles_end_or_say_why_not(seed: int) -> None:
    cluster = world_of(21_000 + seed, calm=False, faults=EXTENDED_FAULTS)
    cluster.schedule_action(lambda _: overlapping(cluster))
    check(cluster.run(length_s=150, job_count=40))


# -- the checks themselves --------------------------------------------------------------------


def pressed(seed: int, share: float = 0.1) -> EvictionCluster:
    """Long tasks and impatient drains: budgets are what holds them."""
    cluster = world_of(seed, older=15, scale=3)
    drain = cluster.tuning.drain
    assert drain is not None
    drain.hole, drain.soon, drain.grace, drain.budgets[0] = 0.6, seconds(1), seconds(2), DisruptionBudget(share=share)
    cluster.max_disrupted_share, cluster.max_task_duration_s = share, 80.0
    return cluster


async def takeovers(cluster: EvictionCluster) -> None:
    while True:
        await asyncio.sleep(cluster.rng.uniform(20, 30))
        await cluster.restart_controller(cluster.current_leader())


async def deaths(cluster: EvictionCluster) -> None:
    """A third of the machines dies every now and then; a leader that stays knows within the lease and a report."""
    cluster.loss_detection_s = LEASE_DURATION_S + 3 * HEARTBEAT_INTERVAL_S
    while True:
        await asyncio.sleep(30)
        for worker in cluster.rng.sample(list(cluster.workers.values()), len(cluster.workers) // 3):
            worker.die()
            worker.machine.has_failed = True


def forget_at_a_takeover(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DisruptionAccount, "assume_down_after_failover", lambda *args: None)


def count_no_losses(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DrainLifecycleListener, "on_task_lost", lambda *args: None)


def count_gangs_as_one(patch: pytest.MonkeyPatch) -> None:
    full = DisruptionAccount.mark_down

    def one(
        self: DisruptionAccount, run: Any, indices: Any, cause: DowntimeCause, at: Any, lost_s: float = 0.0
    ) -> None:
        if run.spec.job_type != GANG or cause != DowntimeCause.DRAIN:
            full(self, run, indices, cause, at, lost_s)

    patch.setattr(DisruptionAccount, "mark_down", one)


Break = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize("seed", [0, 3])
@pytest.mark.parametrize("act", [takeovers, deaths])
def test_budgets_hold_where_they_are_what_holds(act: Any, seed: int) -> None:
    cluster = pressed(seed)
    cluster.schedule_action(lambda _: act(cluster))
    check(cluster.run(length_s=110, job_count=50))
    assert cluster.stop_count > 20


@pytest.mark.parametrize(
    ("broken", "act", "seeds"),
    [
        (forget_at_a_takeover, takeovers, range(45, 52)),
        (count_no_losses, deaths, range(8)),
        (count_gangs_as_one, None, [0]),
    ],
)
def test_broken_accounts_are_caught(monkeypatch: pytest.MonkeyPatch, broken: Break, act: Any, seeds: Any) -> None:
    broken(monkeypatch)
    for seed in seeds:
        cluster = pressed(seed)
        if act is not None:
            cluster.schedule_action(lambda w: act(w))
        if any("budget" in str(e) for e in cluster.run(length_s=110, job_count=50).rule_violations):
            return
    raise AssertionError("nothing noticed")


# -- failures in every step -------------------------------------------------------------------


def steps_of(cluster: EvictionCluster) -> EvictionStateMachine | None:
    service = cluster.current_leader().service
    reign = None if service is None else service.leader_term
    return reign.drain_controller.state_machine if reign is not None and reign.is_ready else None


async def until_step(cluster: EvictionCluster, step: str) -> None:
    while True:
        await asyncio.sleep(0.05)
        steps = steps_of(cluster)
        if steps is not None and step == "taken":
            return
        if steps is not None and any(
            steps.state_of(steps.cluster_state.machines[n]) == step
            for n in steps.owners
            if n in steps.cluster_state.machines
        ):
            return


def started_on(cluster: EvictionCluster, names: set[str]) -> list[str]:
    """Notes which tasks start on these machines from now on."""
    found: list[str] = []
    plain = cluster.check_start

    def noted(worker: SimulatedWorker, task: SimulatedTask) -> None:
        if worker.machine.name in names:
            found.append(f"{task.job_id}/{task.index} on {worker.machine.name} at {virtual_now():.1f}")
        plain(worker, task)

    cluster.check_start = noted  # type: ignore[method-assign]
    return found


@pytest.mark.parametrize("who", ["leader", "everybody"])
@pytest.mark.parametrize("step", ["taken", EvictionState.CORDONED, EvictionState.EVICTING, EvictionState.RELEASING])
def test_a_drain_goes_on_whoever_falls_in_whichever_step(step: str, who: str) -> None:
    cluster = world_of(22_000, scale=3)
    cluster.max_task_duration_s = 40.0
    ends: list[dict[str, Any]] = []
    gone: dict[str, int] = {}

    async def fall(cluster: EvictionCluster) -> None:
        await asyncio.sleep(20)
        chosen = [h.name for h in cluster.cloud.machines.values() if not h.is_gone and h.zone == "a"]
        assert await cluster.start_drain("zone", zones=["a"], deadline_s=120, force=True) in (200, 201)
        cluster.deadline_at = virtual_now() + 120
        await until_step(cluster, step)
        if who == "leader":
            await cluster.restart_controller(cluster.current_leader())
        else:
            await cluster.inject_fault("all")
        while (await cluster.list_drains())["zone"]["ended_s_ago"] is None:
            await asyncio.sleep(1)
        ends.append((await cluster.list_drains())["zone"])
        gone.update({name: cluster.cloud.machines[name].is_gone for name in chosen})

    cluster.schedule_action(lambda _: fall(cluster))
    check(cluster.run(length_s=190, job_count=50))
    assert ends and ends[0]["state"] == "done" and all(gone.values()), (ends, gone)


@pytest.mark.parametrize("kept", [True, False])
def test_nothing_starts_on_what_is_drained_though_leaders_fall(monkeypatch: pytest.MonkeyPatch, kept: bool) -> None:
    """With a cordon that a take-over forgets, something does."""
    if not kept:
        plain = DrainController.restore

        def forget(self: DrainController, found: Any) -> None:
            plain(self, found)
            self.cluster_state.drain_by_machine.clear()
            self.state_machine.cordons.clear()
            self.state_machine.drains.clear()

        monkeypatch.setattr(DrainController, "restore", forget)
    cluster = world_of(22_100, scale=3)
    # Tasks of all lengths that are waited for: machines stay for long, with more and more room.
    cluster.shapes, cluster.max_task_duration_s = ["sweep"], 80.0
    drain = cluster.tuning.drain
    assert drain is not None
    drain.grace, drain.soon, drain.hole = seconds(600), seconds(600), 0.6
    started: list[list[str]] = []

    async def fall(cluster: EvictionCluster) -> None:
        await asyncio.sleep(25)
        cluster.cloud.capacity = dict.fromkeys(cluster.cloud.capacity, 0)  # work waits for whatever room there is
        names = sorted(cluster.workers, key=lambda n: (-len(cluster.workers[n].tasks), n))[:3]
        assert await cluster.start_drain("named", machines=names, deadline_s=600, replace=False) == 201, (
            cluster.drain_answers
        )
        await until_step(cluster, EvictionState.CORDONED)
        while (await cluster.list_drains())["named"]["machines"].get("waiting"):
            await asyncio.sleep(0.5)
        await asyncio.sleep(2)
        started.append(started_on(cluster, set(names)))
        for _ in range(2):
            await cluster.restart_controller(cluster.current_leader())
            await asyncio.sleep(15)

    cluster.schedule_action(lambda _: fall(cluster))
    check(cluster.run(length_s=90, job_count=100))
    assert started and (started[0] == []) == kept, started


def test_without_the_state_service_nothing_new_is_stopped_and_drains_go_on_after() -> None:
    cluster = pressed(22_200)
    counts: list[int] = []

    async def out(cluster: EvictionCluster) -> None:
        await asyncio.sleep(40)
        cluster.state.is_down = True
        await asyncio.sleep(1.5)
        counts.append(cluster.stop_count)
        await asyncio.sleep(9)  # longer than the leader's lease, and than the workers'
        counts.append(cluster.stop_count)
        cluster.state.end_outage()
        await asyncio.sleep(45)
        counts.append(cluster.stop_count)

    cluster.schedule_action(lambda _: out(cluster))
    check(cluster.run(length_s=110, job_count=50))
    assert counts[0] > 0 and counts[0] == counts[1] < counts[2]


@pytest.mark.parametrize("seed", range(22_301, 22_306))
def test_a_zone_that_is_cut_uses_its_teams_budgets_up_and_drains_wait(seed: int) -> None:
    cluster = pressed(seed)
    counts: list[int] = []

    async def cut(cluster: EvictionCluster) -> None:
        await asyncio.sleep(40)
        # Nobody in the zone answers its workers either: half of all tasks are lost with their leases.
        zone = "b" if cluster.current_leader().zone == "a" else "a"
        cluster.partitioned_zones.add(zone)
        for worker in list(cluster.workers.values()):
            if worker.machine.zone == zone:
                worker.is_hung = True
        await asyncio.sleep(9)
        counts.append(cluster.stop_count)
        await asyncio.sleep(3)
        counts.append(cluster.stop_count)
        cluster.partitioned_zones.clear()
        for worker in cluster.workers.values():
            worker.is_hung = False
        await asyncio.sleep(45)
        counts.append(cluster.stop_count)

    cluster.schedule_action(lambda _: cut(cluster))
    check(cluster.run(length_s=110, job_count=50))
    assert counts[0] == counts[1] < counts[2], counts


@pytest.mark.parametrize("way", ["die", "hang"])
def test_a_machine_that_falls_half_drained_is_neither_waited_for_nor_forgotten(way: str) -> None:
    cluster = world_of(22_400, scale=3)
    cluster.max_task_duration_s = 30.0
    ends: list[dict[str, Any]] = []

    async def fall(cluster: EvictionCluster) -> None:
        await asyncio.sleep(20)
        names = sorted(cluster.workers)[:4]
        assert await cluster.start_drain("named", machines=names, deadline_s=100, force=True, grace_s=4) == 201
        cluster.deadline_at = virtual_now() + 100
        await until_step(cluster, EvictionState.EVICTING)
        for name in names:
            worker = cluster.workers.get(name)
            if worker is not None and way == "die":
                worker.die()
                worker.machine.has_failed = True
            elif worker is not None:
                worker.is_hung = True
        await asyncio.sleep(12)
        for worker in cluster.workers.values():
            worker.is_hung = False
        while (await cluster.list_drains())["named"]["ended_s_ago"] is None:
            await asyncio.sleep(1)
        ends.append((await cluster.list_drains())["named"])

    cluster.schedule_action(lambda _: fall(cluster))
    check(cluster.run(length_s=160, job_count=40))
    assert ends and ends[0]["state"] == "done", ends


def test_a_task_that_ignores_its_halt_is_told_to_end_after_its_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = SimulatedWorker.stop_task
    ignored: set[str] = set()

    def stubborn(self: SimulatedWorker, task: SimulatedTask, grace: float) -> None:
        if grace > 0 and task.state == "running":
            ignored.add(f"{task.job_id}/{task.index}")
            self.cluster.on_halt(self, task, grace)
        else:
            plain(self, task, grace)

    monkeypatch.setattr(SimulatedWorker, "stop_task", stubborn)
    cluster = world_of(22_500, scale=2)
    cluster.max_task_duration_s, cluster.deadline_at = 300.0, 0.0  # its own rules say nothing here
    cluster.shapes = ["sweep"]
    ends: list[str] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(30)
        names = sorted(cluster.workers)[:3]
        assert await cluster.start_drain("named", machines=names, deadline_s=100, grace_s=1, replace=False) == 201
        await asyncio.sleep(95)
        ends.append((await cluster.list_drains())["named"]["state"])

    cluster.schedule_action(lambda _: act(cluster))
    check(cluster.run(length_s=130, job_count=20))
    assert ignored and ends == ["done"], ends


@pytest.mark.parametrize("way", ["never boots", "refused"])
def test_without_replacements_the_hole_keeps_its_bound_and_the_drain_says_so(way: str) -> None:
    cluster = world_of(22_600, scale=4)
    cluster.max_task_duration_s = 6.0
    least: list[int] = []
    ends: list[dict[str, Any]] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(30)
        if way == "refused":
            cluster.cloud.capacity = dict.fromkeys(cluster.cloud.capacity, 0)
        else:
            cluster.cloud.boot_failure_probability = 1.0
        kinds = [h for h in cluster.cloud.machines.values() if h.worker and not h.is_gone]
        steps = steps_of(cluster)
        assert steps is not None
        most = {kind: steps.surge_pool.max_missing(kind) for kind in ("cpu", "gpu")}
        assert await cluster.start_drain("fleet", deadline_s=40) == 201
        while (await cluster.list_drains())["fleet"]["ended_s_ago"] is None:
            await asyncio.sleep(0.5)
            steps = steps_of(cluster)
            if steps is not None:
                holes = {kind: steps.surge_pool.missing_count(kind, steps.cordons.values()) for kind in most}
                assert all(holes[kind] <= max(most[kind], steps.surge_pool.max_missing(kind)) for kind in most), (
                    holes,
                    most,
                )
        least.append(sum(h.worker is not None and not h.is_gone for h in kinds))
        ends.append((await cluster.list_drains())["fleet"])

    cluster.schedule_action(lambda _: act(cluster))
    # Work keeps waiting, so that nobody can say that the missing machines are not needed.
    check(cluster.run(length_s=90, job_count=120))
    assert ends and "gave up" in ends[0]["state"] and "its replacement" in ends[0]["state"], ends


def test_a_drain_that_is_stopped_gives_its_machines_back_to_use() -> None:
    cluster = world_of(22_700, scale=2)
    cluster.shapes, cluster.max_task_duration_s = ["sweep"], 6.0
    started: list[list[str]] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(20)
        drain = cluster.tuning.drain
        assert drain is not None
        drain.grace = seconds(600)
        names = {name for name, w in cluster.workers.items() if w.tasks}
        status, answer = await cluster.request_drain({"verb": "start", "ask": {"name": "x", "machines": sorted(names)}})
        assert status == 201, answer
        await asyncio.sleep(6)
        status, answer = await cluster.request_drain({"verb": "stop", "name": "x"})
        assert status == 200 and "stopped by an operator" in answer["drain"]["state"]
        await asyncio.sleep(2)
        steps = steps_of(cluster)
        assert steps is not None and steps.cordons == {} and steps.cluster_state.drain_by_machine == {}
        started.append(started_on(cluster, {n for n in names if n in cluster.workers}))

    cluster.schedule_action(lambda _: act(cluster))
    check(cluster.run(length_s=70, job_count=60))
    assert started and started[0], "nothing started there any more"


def test_quiet_hours_stop_nothing_but_a_forced_deadline_has_the_last_word() -> None:
    from datetime import time

    from roseweir.drain.settings import QuietHours

    cluster = pressed(22_800)
    drain = cluster.tuning.drain
    assert drain is not None
    drain.auto_replacement, drain.quiet_hours = (
        None,
        [QuietHours(time(0, 0), time(23, 59))],
    )  # the simulated day begins at midnight
    counts: list[int] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(25)
        assert await cluster.start_drain("fleet", deadline_s=40, force=True) == 201
        cluster.deadline_at = virtual_now() + 39
        await asyncio.sleep(37)
        counts.append(cluster.stop_count)
        assert (await cluster.list_drains())["fleet"]["waits_for"] == "quiet hours to end"

    cluster.schedule_action(lambda _: act(cluster))
    check(cluster.run(length_s=90, job_count=40))
    assert counts == [0]


def test_a_drain_that_could_never_end_is_refused_with_its_reason() -> None:
    cluster = world_of(22_900)
    cluster.shapes = ["daemon"]
    drain = cluster.tuning.drain
    assert drain is not None
    drain.budgets[0] = DisruptionBudget(tasks=0)
    said: list[str] = []

    async def act(cluster: EvictionCluster) -> None:
        await asyncio.sleep(25)
        for ask in (
            {},
            {"machines": ["i-999999"]},
            {"zones": ["nowhere"]},
            {"types": ["cpu"], "machines": ["i-000000"]},
        ):
            status, answer = await cluster.request_drain({"verb": "start", "ask": {"name": "x"} | ask})
            said.append(f"{status} {answer['error']}")
        status, answer = await cluster.request_drain({"verb": "stop", "name": "nobody"})
        said.append(f"{status} {answer['error']}")

    cluster.schedule_action(lambda _: act(cluster))
    check(cluster.run(length_s=50, job_count=20))
    assert [line[:3] for line in said] == ["400"] * 5
    assert "the budget of team" in said[0] and "i-999999" in said[1] and "nowhere" in said[2]
    assert "no drain is called nobody" in said[4]


def test_a_day_without_drains_costs_the_state_service_nothing() -> None:
    settings = OperatorConfig()
    settings.rebalancing.move = "off"
    cluster = SimulatedCluster(22_950, settings, is_calm=True)
    check(cluster.run(length_s=60, job_count=10))
    assert not any(key.startswith("drain/") for key in cluster.state.keys)
