"""Large tasks that fit in total and nowhere: places that are spared, and replicas that move, whoever falls."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
import sexpdata

from roseweir.clock import seconds
from roseweir.drain.settings import DisruptionBudget, DrainSettings
from roseweir.operator_config import OperatorConfig
from roseweir.rebalancing.controller import RebalancingController
from roseweir.rebalancing.fragmentation import format_report, measure_fragmentation
from roseweir.rebalancing.fragmentation_scoring import FragmentationScorer
from roseweir.rebalancing.move_planning import (
    Move,
    MovePlan,
    PlanningContext,
    cheaper_to_rent,
    move_downtime_s,
    plan_cpu_only_moves,
    plan_gang_move,
    plan_replica_moves,
)
from roseweir.rebalancing.settings import RebalancingSettings, parse_rebalancing
from roseweir.scheduler.capacity_snapshot import TaskSize
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.job_explanation import explain_job
from roseweir.scheduler.model import JobRun, Machine, PlacementPhase
from roseweir.scheduler.scheduling_pass import run_scheduling_pass
from roseweir.sexp import SettingsError
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE, MachineType, rejection_reason
from roseweir.workers import messages as wire
from tests.simulation.cluster import SimulatedCluster, virtual_now
from tests.simulation.eviction import EvictionCluster
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, NOW, FakeWorker, commit_placements, make_cluster_state
from tests.test_simulated_days import raise_first_failure

BIG = MachineType("gpu", 96, 8, 384, 200, 1.0, 24.0, 9.0, 50, ("a", "b"))
LARGE: TaskSize = (80.0, 8.0, 304.0)


def place_of(count: int, ordinary: int = 0) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    cluster_state.catalog = {"cpu": CPU, "gpu": BIG}
    cluster_state.teams["t0"].max_gpus = cluster_state.teams["t1"].max_gpus = 0.0
    hands = [
        FakeWorker(cluster_state, f"i-{n:02d}", "gpu" if n < count else "cpu", "ab"[n % 2])
        for n in range(count + ordinary)
    ]
    for hand in hands:
        hand.send_heartbeat(NOW)
    return cluster_state, hands


def service(cluster_state: ClusterState, number: int, gpus: float, **more: Any) -> JobRun:
    fields: dict[str, Any] = {"job_type": SERVICE, "gpus": gpus, "cpus": 10.0 * gpus, "memory_gb": 38.0 * gpus}
    fields["estimated_duration_s"] = 0.0
    return cluster_state.add_job(
        job(number, **(fields | {"image": f"m{number}", "image_gb": 8.0 * gpus} | more)), number
    )


def runs_on(cluster_state: ClusterState, run: JobRun, machine: Machine, index: int = 0) -> None:
    placed = cluster_state.add_placement(run, index, machine, 1, NOW)
    placed.phase, placed.state, placed.running_since = PlacementPhase.CONFIRMED, wire.RUNNING, NOW
    run.next_unplaced_index = max(run.next_unplaced_index, index + 1)


def ground(
    cluster_state: ClusterState, stays: Callable[[str, int], bool] = lambda job, index: False
) -> PlanningContext:
    choice = FragmentationScorer()
    choice.begin_pass(cluster_state.jobs.values(), list(cluster_state.machines.values()), NOW)
    return PlanningContext(
        cluster_state, list(cluster_state.machines.values()), NOW, stays, {}, choice.fragmentation_cost
    )


# -- measured -----------------------------------------------------------------------------------


def test_pieces_are_told_by_size_and_to_whom_they_are_missing() -> None:
    cluster_state, hands = place_of(4)
    for n, hand in enumerate(hands):
        for each in range(6):
            runs_on(cluster_state, service(cluster_state, 10 * n + each + 1, 1.0), hand.machine)
    large = service(cluster_state, 99, 8.0)
    machines = list(cluster_state.machines.values())
    found = measure_fragmentation(machines, [(large.spec, 1)], [(10.0, 1.0, 38.0), LARGE])
    assert [(p.gpus, p.free_slots, p.slots_if_defragmented, p.waiting_tasks) for p in found] == [
        (1.0, 8, 8, 0),
        (8.0, 0, 1, 1),
    ]
    assert format_report(found[1]) == "8 GPUs, 80 CPUs: 0 places, 1 if together, 1 wait"
    run_scheduling_pass(cluster_state, NOW)
    told = explain_job(cluster_state, large.spec.id, NOW)
    assert told is not None and told["waits_for"] == "room: in pieces, 8 GPUs free on 4 machines"


# -- chosen -------------------------------------------------------------------------------------


def _fill(seed: int, choose: bool) -> int:
    """Small services come and go on ten machines; how many large ones find a place as they come."""
    draw = random.Random(seed)
    cluster_state, hands = place_of(10)
    if choose:
        cluster_state.placement_policy = FragmentationScorer()
        assert cluster_state.active_placement_policy is None, "no service takes GPUs yet"
    alive: list[JobRun] = []
    begun = 0
    for step in range(200):
        at = NOW + seconds(step * 5)
        if len(alive) > 33:
            gone = alive.pop(draw.randrange(len(alive)))
            gone.final_state = "cancelled"
            for placed in list(gone.placements.values()):
                cluster_state.remove_placement(placed, at)
        small = service(cluster_state, 1000 + step, draw.choice([1.0, 1.0, 1.0, 4.0]), image=f"m{step % 6}")
        large = service(cluster_state, 5000 + step, 8.0, priority=3) if step % 10 == 9 else None
        for hand in hands:
            hand.machine.last_heartbeat_at = at
        run_scheduling_pass(cluster_state, at)
        commit_placements(cluster_state)
        alive.append(small)
        if large is not None:
            begun += bool(large.placements)
            large.final_state = "cancelled"
            for placed in list(large.placements.values()):
                cluster_state.remove_placement(placed, at)
            cluster_state.jobs.pop(large.spec.id, None)
        for hand in hands:
            for placed in hand.machine.placements.values():
                placed.phase, placed.state = PlacementPhase.CONFIRMED, wire.RUNNING
                hand.machine.record_image_use(placed.run.spec.image, 8.0)
    return begun


def test_large_places_are_spared_where_they_are_scarce() -> None:
    plain, chosen = (sum(_fill(seed, choose) for seed in range(4)) for choose in (False, True))
    assert chosen > plain * 1.1, (plain, chosen)


# -- moved --------------------------------------------------------------------------------------


def test_the_cheapest_moves_make_room_and_none_is_made_for_lower_rank() -> None:
    cluster_state, hands = place_of(3)
    for n, hand in enumerate(hands):
        for each in range((2, 5, 5)[n]):
            runs_on(cluster_state, service(cluster_state, 10 * n + each + 1, 1.0), hand.machine)
    # Weights at hand make a move cheap.
    for name in ("m1", "m2"):
        hands[1].machine.record_image_use(name, 8.0)
    large = service(cluster_state, 99, 8.0)
    found = plan_replica_moves(ground(cluster_state), large, 0)
    assert found is not None and found.machine == "i-00"
    assert sorted((m.name, m.target_machine) for m in found.moves) == [("j-000001/0", "i-01"), ("j-000002/0", "i-01")]
    assert found.cost == pytest.approx(
        2 * move_downtime_s(cluster_state, cluster_state.jobs["j-000001"].spec, hands[1].machine)
    )
    assert plan_replica_moves(ground(cluster_state), service(cluster_state, 98, 8.0, priority=3), 0) is None, (
        "never for lower rank"
    )
    again = plan_replica_moves(ground(cluster_state, lambda job, index: job == "j-000001"), large, 0)
    assert again is None or all(move.job_id != "j-000001" for move in again.moves), "who has just moved stays"
    assert MovePlan.decode(found.encode()).moves == found.moves


def test_no_step_of_a_move_breaks_what_the_job_asks_of_its_zones() -> None:
    cluster_state, hands = place_of(4)
    spread = service(cluster_state, 1, 1.0, task_count=3, spread_across_zones=True)
    for index, n in enumerate((0, 2, 1)):
        runs_on(cluster_state, spread, hands[n].machine, index)
    together = service(cluster_state, 2, 1.0, task_count=2, requires_single_zone=True)
    runs_on(cluster_state, together, hands[0].machine, 0)
    runs_on(cluster_state, together, hands[2].machine, 1)
    found = plan_replica_moves(ground(cluster_state), service(cluster_state, 99, 8.0, zone="a"), 0)
    zones = {move.name: cluster_state.machines[move.target_machine].zone for move in found.moves} if found else {}
    assert all(zone == "a" for name, zone in zones.items() if name.startswith(together.spec.id))
    assert all(zone in ("a", "b") for zone in zones.values())
    for move in found.moves if found else ():
        run = cluster_state.jobs[move.job_id]
        stay = [p.machine.zone for p in run.placements.values() if p.index != move.index]
        assert [*stay, cluster_state.machines[move.target_machine].zone].count(
            "a"
        ) <= 2 or not run.spec.spread_across_zones


def test_two_large_ones_that_want_each_others_room_do_not_go_round_in_circles() -> None:
    cluster_state, hands = place_of(2)
    first, second = service(cluster_state, 1, 4.0), service(cluster_state, 2, 4.0)
    runs_on(cluster_state, first, hands[0].machine)
    runs_on(cluster_state, second, hands[1].machine)
    moved: set[str] = set()
    for step in range(20):
        wants = service(cluster_state, 50 + step, 8.0, zone="ab"[step % 2])
        found = plan_replica_moves(ground(cluster_state, lambda job, index: f"{job}/{index}" in moved), wants, 0)
        if found is None:
            continue
        for move in found.moves:
            assert move.name not in moved
            moved.add(move.name)
            run = cluster_state.jobs[move.job_id]
            cluster_state.remove_placement(run.placements[move.index], NOW)
            runs_on(cluster_state, run, cluster_state.machines[move.target_machine], move.index)
        wants.final_state = "cancelled"
    assert len(moved) <= 2


def test_replicas_without_gpus_leave_the_processors_of_gpus_to_ordinary_machines() -> None:
    cluster_state, hands = place_of(1, ordinary=2)
    cluster_state.max_cpus_per_gpu = 10.0
    run = cluster_state.add_job(
        job(1, job_type=SERVICE, task_count=1, cpus=6.0, priority=0, estimated_duration_s=0.0), 1
    )
    runs_on(cluster_state, run, hands[0].machine)
    filler = service(cluster_state, 2, 1.0, cpus=12.0)
    runs_on(cluster_state, filler, hands[0].machine)
    hands[0].machine.free_cpus -= 10.0  # held by something else: 7 GPUs are free with 68 CPUs
    found = plan_cpu_only_moves(ground(cluster_state), 0, 4)
    assert found is not None and found.for_job_id == "" and [m.target_machine[:2] for m in found.moves] == ["i-"]
    assert cluster_state.machines[found.moves[0].target_machine].machine_type.gpus == 0
    # Ordinary machines are full of arrays of lower rank: one is held until they leave.
    for n, hand in enumerate(hands[1:]):
        runs_on(
            cluster_state, cluster_state.add_job(job(10 + n, job_type=ARRAY, cpus=8.0, priority=3), 1), hand.machine
        )
    assert plan_cpu_only_moves(ground(cluster_state), 0, 4) is not None
    for run in list(cluster_state.jobs.values()):
        if run.spec.job_type == ARRAY:
            run.placements[0].run = cluster_state.add_job(job(30, job_type=ARRAY, cpus=8.0, priority=0), 1)
    assert plan_cpu_only_moves(ground(cluster_state), 0, 4) is None, "work of the same rank is not waited out"


def test_a_gang_moves_last_of_all_whole_and_only_for_a_job_that_is_old() -> None:
    cluster_state, hands = place_of(2)
    gang = cluster_state.add_job(
        job(
            1,
            job_type=GANG,
            task_count=2,
            gpus=2.0,
            cpus=20.0,
            memory_gb=70.0,
            checkpoint_interval_s=10.0,
            checkpoint_duration_s=1.0,
        ),
        1,
    )
    for index in range(2):
        runs_on(cluster_state, gang, hands[0].machine, index)
    runs_on(cluster_state, service(cluster_state, 2, 1.0), hands[1].machine)
    large = service(cluster_state, 99, 8.0, zone="a")
    assert plan_replica_moves(ground(cluster_state), large, 0) is None
    assert plan_gang_move(ground(cluster_state), large, 0, lambda p: True) is None
    large.starvation_level = 1
    found = plan_gang_move(ground(cluster_state), large, 0, lambda p: True)
    assert found is not None and found.moves == [Move(gang.spec.id, -1, "")]
    assert plan_gang_move(ground(cluster_state), large, 0, lambda p: False) is None, (
        "it has to fit elsewhere as a whole"
    )


def test_weights_that_no_cache_holds_are_refused_with_the_reason_and_others_go_where_they_fit() -> None:
    cluster_state, hands = place_of(1, ordinary=1)
    heavy = job(1, image="w", image_gb=80.0, cpus=2.0)
    assert (
        rejection_reason(heavy, cluster_state.teams, [CPU])
        == "no allowed machine type has a cache for an image of 80 GB"
    )
    assert rejection_reason(heavy, cluster_state.teams, [CPU, BIG]) is None
    run = cluster_state.add_job(heavy, 1)
    cluster_state.overflow_until = NOW + seconds(60)
    run_scheduling_pass(cluster_state, NOW)
    assert [p.machine.name for p in run.placements.values()] == ["i-00"] and hands[1].machine.machine_type is CPU


def test_moving_is_weighed_against_renting() -> None:
    young = seconds(10)
    assert not cheaper_to_rent(200.0, BIG, True, young) and cheaper_to_rent(2000.0, BIG, True, young)
    assert not cheaper_to_rent(2000.0, BIG, False, young), "sold out"
    assert not cheaper_to_rent(2000.0, BIG, True, seconds(110)), "it would come late"


def test_settings_are_checked() -> None:
    assert parse_rebalancing([]).move == "auto"
    for bad in ('(moves "on")', '(move "yes")', "(at-once 1.5)", "(after -1)"):
        with pytest.raises(SettingsError):
            parse_rebalancing(sexpdata.parse(bad))


# -- in the simulated world ---------------------------------------------------------------------


def tuning(share: float = 0.5) -> OperatorConfig:
    found = OperatorConfig()
    found.rebalancing = RebalancingSettings(choose="on", move="on", after=seconds(3), again=timedelta(seconds=60))
    found.drain = DrainSettings(budgets=[DisruptionBudget(share=share)])
    return found


class Pieces(EvictionCluster):
    """Two zones of two GPU machines each, full of small services of which some leave: large ones fit in total only."""

    def __init__(self, seed: int, settings: OperatorConfig, max_disrupted_share: float = 0.5, **more: Any) -> None:
        super().__init__(seed, settings, max_disrupted_share, scale=2, **({"without_random_faults": True} | more))
        self.team_gpu_limit = None
        teams = [{"name": "t0"}, {"name": "t1"}, {"name": "guest"}]
        self.params_override = {**(self.params_override or {}), **_params(teams)}
        self.leave = (2, 3, 2, 3)  # of each machine's four small ones
        self.large: dict[str, float] = {}
        self.begun: dict[str, float] = {}

    def make_job(self) -> dict[str, Any]:
        """Arrays without GPUs: the GPU machines belong to services."""
        plain = {"accelerators": 0.0, "shape": "sweep", "builds": ["cpu"], "mistaken": False, "yard": None}
        return super().make_job() | plain | {"parcels": 3, "together": False}

    def daemon(self, number: int, gpus: float) -> dict[str, Any]:
        return {
            "name_id": f"j-5{number:05d}", "docket": "model", "crew": f"t{number % 2}", "shape": "daemon",
            "rank": "normal", "parcels": 1, "cores": gpus * 3.0, "accelerators": gpus, "memory_gb": gpus * 10.0,
            "kit": f"img-{number % 4}", "size_gb": 2.0, "builds": ["gpu"], "yard": None, "together": False,
            "scatter": False, "loaners": False, "guess_s": 0.0, "mark_every_s": 0.0, "mark_s": 0.0, "due_s": None,
        }  # fmt: skip

    async def send(self, job: dict[str, Any]) -> None:
        self.jobs[job["name_id"]] = job
        for _ in range(60):
            status, answer = await self.send_user_request("POST", "/submissions", job)
            self.check_answer(job["name_id"], status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(job["name_id"])
                return
            await asyncio.sleep(1.0)

    async def cancel(self, job_id: str) -> None:
        self.cancel_requested.add(job_id)
        while job_id not in self.observed_ends:
            status, answer = await self.send_user_request("POST", f"/submissions/{job_id}/cancel")
            self.check_answer(job_id, status, answer)
            await asyncio.sleep(0.5)

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job_id in self.large:
            self.begun.setdefault(task.job_id, virtual_now() - self.large[task.job_id])

    async def story(self, cluster: SimulatedCluster) -> None:
        """16 small ones fill all; of each machine's four some leave; then two large ones come."""
        for number in range(16):
            await self.send(self.daemon(number, 1.0))
        while (
            sum(t.is_active and t.job_id.startswith("j-5") for _, t in self.active_tasks()) < 16 and virtual_now() < 60
        ):
            await asyncio.sleep(0.5)
        by_machine: dict[str, list[str]] = {}
        for worker, task in self.active_tasks():
            if task.job_id.startswith("j-5"):
                by_machine.setdefault(worker.machine.name, []).append(task.job_id)
        for n, jobs in enumerate(sorted(by_machine.values())):
            for job_id in sorted(jobs)[: self.leave[n % 4]]:
                await self.cancel(job_id)
        for number in (100, 101):
            job = self.daemon(number, 4.0)
            self.large[job["name_id"]] = virtual_now()
            await self.send(job)


def _params(teams: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "zones": ["a", "b"],
        "teams": teams,
        "objectives": [],
        "workers": {"report_s": 1.0, "lease_s": 6.0, "gang_wait_s": 8.0, "gang_peer_s": 3.0, "cancel_s": 14.0},
        "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 10.0, "list_lag_s": 2.0},
        "limits": {"cpu": 1.0, "ram_mb": 256.0, "sockets": 256},
    }


@pytest.mark.parametrize("move", [True, False])
def test_large_services_begin_where_they_fit_in_total(move: bool) -> None:
    settings = tuning()
    settings.rebalancing.move = "on" if move else "off"
    cluster = Pieces(7500, settings)
    cluster.schedule_action(cluster.story)
    raise_first_failure(cluster.run(length_s=110, job_count=4))
    assert len(cluster.large) == 2
    assert len(cluster.begun) == (2 if move else 0), cluster.begun
    assert all(wait < 40 for wait in cluster.begun.values())


@pytest.mark.parametrize("moment", ["planned", "stopped", "held"])
@pytest.mark.parametrize("who", ["leader", "all", "machine", "state", "cancel"])
def test_a_move_goes_on_or_is_let_go_whoever_fails_in_its_middle(moment: str, who: str) -> None:
    cluster = Pieces(7510, tuning(), restart_delay_range_s=(0.2, 1.5))
    failed: list[float] = []

    def desk() -> RebalancingController | None:
        return next(
            (n.service.leader_term.rebalancer for n in cluster.controllers if n.service and n.service.leader_term), None
        )

    def reached() -> bool:
        found = desk()
        if found is None or not found.plans:
            return False
        replicas = [found._placement_to_move(plan, move) for plan in found.plans for move in plan.moves]
        if moment == "planned":
            return True
        if moment == "stopped":
            return any(p is not None and p.stop_requested_at is not None for p in replicas)
        return any(p is None for p in replicas)

    async def fail(_: SimulatedCluster) -> None:
        while not reached():
            await asyncio.sleep(0.02)
        failed.append(virtual_now())
        if who == "leader":
            await cluster.restart_controller(cluster.current_leader())
        elif who == "all":
            await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.controllers))
        elif who == "machine":
            found = desk()
            assert found is not None
            worker = cluster.workers.get(found.plans[0].machine)
            if worker is not None:
                worker.die()
                await asyncio.sleep(3)
                worker.machine.has_failed = True
        elif who == "state":
            cluster.kv_store.is_down = True
            await asyncio.sleep(4)
            cluster.kv_store.end_outage()
        else:
            found = desk()
            assert found is not None
            await cluster.cancel(found.plans[0].for_job_id or next(iter(cluster.large)))

    cluster.schedule_action(cluster.story)
    cluster.schedule_action(fail)
    raise_first_failure(cluster.run(length_s=130, job_count=4))
    assert failed
    found = desk()
    if who not in ("machine", "cancel"):
        assert len(cluster.begun) == 2, cluster.begun
    moved = found.moved_at_ms if found is not None else {}
    assert len(moved) <= 12, "each replica moves once"


@pytest.mark.parametrize("seed", range(7520, 7526))
def test_rough_days_with_moves_break_no_rule_and_pass_no_budget(seed: int) -> None:
    from tests.simulation.cluster import EXTENDED_FAULTS

    cluster = Pieces(seed, tuning(0.3), 0.3, without_random_faults=False, faults=EXTENDED_FAULTS)
    cluster.schedule_action(cluster.story)
    raise_first_failure(cluster.run(length_s=110, job_count=10))


Break = Callable[[pytest.MonkeyPatch], None]


def past_the_budget(patch: pytest.MonkeyPatch) -> None:
    from roseweir.drain.disruption_budget import DisruptionAccount

    patch.setattr(
        DisruptionAccount,
        "reserve_disruption",
        lambda self, run, indices, now: self.mark_down(run, indices, "drained", now) or "",
    )
    patch.setattr(DisruptionAccount, "exceeds_budget", lambda self, run, tasks: False)


def test_moves_past_the_budget_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    past_the_budget(monkeypatch)
    for seed in range(7530, 7540):
        cluster = Pieces(seed, tuning(0.05), 0.05)
        cluster.schedule_action(cluster.story)
        cluster.run(length_s=100, job_count=2)
        if cluster.rule_violations:
            return
    pytest.fail("no seed caught it")


@pytest.mark.parametrize("forgets", [False, True])
def test_nobody_is_moved_twice_though_leaders_end_after_each_halt(
    forgets: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With the record the next leader finishes what was begun; without, it moves who has just been moved."""
    if forgets:
        monkeypatch.setattr(RebalancingController, "restore", lambda self, value: None)
    twice: list[str] = []
    for seed in range(7540, 7543):
        settings = tuning()
        settings.rebalancing.max_concurrent_moves = 1
        cluster = Ending(seed, settings, restart_delay_range_s=(0.1, 0.5))
        cluster.leave = (2, 2, 2, 2)
        cluster.schedule_action(cluster.story)
        raise_first_failure(cluster.run(length_s=150, job_count=2))
        assert len(cluster.begun) == 2
        twice += [name for name in cluster.halted if cluster.halted.count(name) > 1]
    assert bool(twice) == forgets, twice


class Ending(Pieces):
    """Whoever leads ends as a replica has been told to go."""

    halted: list[str]

    def on_stop_command(self, worker: Any, task: Any, grace_s: float) -> None:
        super().on_stop_command(worker, task, grace_s)
        if task.job_id.startswith("j-5") and task.job_id not in self.cancel_requested:
            self.halted = [*getattr(self, "halted", []), task.job_id]
            self.spawn(self.end())

    async def end(self) -> None:
        await asyncio.sleep(0.05)
        await self.restart_controller(self.current_leader())
