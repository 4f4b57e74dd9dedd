"""Rebalancing of fragmented capacity, where a large task fits in total but on no single machine.

Covers the placement that avoids fragmentation, and moves of replicas with failures at every point of a move.
"""

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
from tests.simulation.cluster import SimulatedCluster, raise_first_failure, virtual_now
from tests.simulation.eviction import EvictionCluster
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, NOW, FakeWorker, commit_placements, make_cluster_state

LARGE_GPU_MACHINE = MachineType("gpu", 96, 8, 384, 200, 1.0, 24.0, 9.0, 50, ("a", "b"))
LARGE_TASK_SIZE: TaskSize = (80.0, 8.0, 304.0)


def make_machines(gpu_count: int, cpu_count: int = 0) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    cluster_state.catalog = {"cpu": CPU, "gpu": LARGE_GPU_MACHINE}
    cluster_state.teams["t0"].max_gpus = cluster_state.teams["t1"].max_gpus = 0.0
    workers = [
        FakeWorker(cluster_state, f"i-{index:02d}", "gpu" if index < gpu_count else "cpu", "ab"[index % 2])
        for index in range(gpu_count + cpu_count)
    ]
    for worker in workers:
        worker.send_heartbeat(NOW)
    return cluster_state, workers


def add_service(cluster_state: ClusterState, number: int, gpus: float, **more: Any) -> JobRun:
    fields: dict[str, Any] = {"job_type": SERVICE, "gpus": gpus, "cpus": 10.0 * gpus, "memory_gb": 38.0 * gpus}
    fields["estimated_duration_s"] = 0.0
    return cluster_state.add_job(
        job(number, **(fields | {"image": f"m{number}", "image_gb": 8.0 * gpus} | more)), number
    )


def add_running_task(cluster_state: ClusterState, run: JobRun, machine: Machine, index: int = 0) -> None:
    placement = cluster_state.add_placement(run, index, machine, 1, NOW)
    placement.phase, placement.state, placement.running_since = PlacementPhase.CONFIRMED, wire.RUNNING, NOW
    run.next_unplaced_index = max(run.next_unplaced_index, index + 1)


def make_planning_context(
    cluster_state: ClusterState, is_pinned: Callable[[str, int], bool] = lambda job, index: False
) -> PlanningContext:
    scorer = FragmentationScorer()
    scorer.begin_pass(cluster_state.jobs.values(), list(cluster_state.machines.values()), NOW)
    return PlanningContext(
        cluster_state, list(cluster_state.machines.values()), NOW, is_pinned, {}, scorer.fragmentation_cost
    )


# -- measuring fragmentation --------------------------------------------------------------------


def test_fragmentation_is_reported_by_task_size_and_waiting_job() -> None:
    cluster_state, workers = make_machines(4)
    for worker_index, worker in enumerate(workers):
        for replica_index in range(6):
            add_running_task(
                cluster_state, add_service(cluster_state, 10 * worker_index + replica_index + 1, 1.0), worker.machine
            )
    large = add_service(cluster_state, 99, 8.0)
    machines = list(cluster_state.machines.values())
    fragmentation = measure_fragmentation(machines, [(large.spec, 1)], [(10.0, 1.0, 38.0), LARGE_TASK_SIZE])
    assert [(row.gpus, row.free_slots, row.slots_if_defragmented, row.waiting_tasks) for row in fragmentation] == [
        (1.0, 8, 8, 0),
        (8.0, 0, 1, 1),
    ]
    assert format_report(fragmentation[1]) == "8 GPUs, 80 CPUs: 0 places, 1 if together, 1 wait"
    run_scheduling_pass(cluster_state, NOW)
    explanation = explain_job(cluster_state, large.spec.id, NOW)
    assert explanation is not None and explanation["waits_for"] == "room: in pieces, 8 GPUs free on 4 machines"


# -- placement ----------------------------------------------------------------------------------


def _count_placed_large_services(seed: int, avoid_fragmentation: bool) -> int:
    """Starts and cancels small services on ten machines; returns how many large services are placed on submission."""
    rng = random.Random(seed)
    cluster_state, workers = make_machines(10)
    if avoid_fragmentation:
        cluster_state.placement_policy = FragmentationScorer()
        assert cluster_state.active_placement_policy is None, "no service requests GPUs yet"
    small_services: list[JobRun] = []
    placed_count = 0
    for step in range(200):
        now = NOW + seconds(step * 5)
        if len(small_services) > 33:
            cancelled = small_services.pop(rng.randrange(len(small_services)))
            cancelled.final_state = "cancelled"
            for placement in list(cancelled.placements.values()):
                cluster_state.remove_placement(placement, now)
        small = add_service(cluster_state, 1000 + step, rng.choice([1.0, 1.0, 1.0, 4.0]), image=f"m{step % 6}")
        large = add_service(cluster_state, 5000 + step, 8.0, priority=3) if step % 10 == 9 else None
        for worker in workers:
            worker.machine.last_heartbeat_at = now
        run_scheduling_pass(cluster_state, now)
        commit_placements(cluster_state)
        small_services.append(small)
        if large is not None:
            placed_count += bool(large.placements)
            large.final_state = "cancelled"
            for placement in list(large.placements.values()):
                cluster_state.remove_placement(placement, now)
            cluster_state.jobs.pop(large.spec.id, None)
        for worker in workers:
            for placement in worker.machine.placements.values():
                placement.phase, placement.state = PlacementPhase.CONFIRMED, wire.RUNNING
                worker.machine.record_image_use(placement.run.spec.image, 8.0)
    return placed_count


def test_fragmentation_scorer_places_more_large_services() -> None:
    without_scorer, with_scorer = (
        sum(_count_placed_large_services(seed, avoid_fragmentation) for seed in range(4))
        for avoid_fragmentation in (False, True)
    )
    assert with_scorer > without_scorer * 1.1, (without_scorer, with_scorer)


# -- planning of moves --------------------------------------------------------------------------


def test_cheapest_moves_are_planned_but_not_for_lower_priority() -> None:
    cluster_state, workers = make_machines(3)
    for worker_index, worker in enumerate(workers):
        for replica_index in range((2, 5, 5)[worker_index]):
            add_running_task(
                cluster_state, add_service(cluster_state, 10 * worker_index + replica_index + 1, 1.0), worker.machine
            )
    # A move is cheap where the machine already has the image.
    for image in ("m1", "m2"):
        workers[1].machine.record_image_use(image, 8.0)
    large = add_service(cluster_state, 99, 8.0)
    plan = plan_replica_moves(make_planning_context(cluster_state), large, 0)
    assert plan is not None and plan.machine == "i-00"
    assert sorted((move.name, move.target_machine) for move in plan.moves) == [
        ("j-000001/0", "i-01"),
        ("j-000002/0", "i-01"),
    ]
    assert plan.cost == pytest.approx(
        2 * move_downtime_s(cluster_state, cluster_state.jobs["j-000001"].spec, workers[1].machine)
    )
    assert (
        plan_replica_moves(make_planning_context(cluster_state), add_service(cluster_state, 98, 8.0, priority=3), 0)
        is None
    ), "never for a job of lower priority"
    second_plan = plan_replica_moves(
        make_planning_context(cluster_state, lambda job, index: job == "j-000001"), large, 0
    )
    assert second_plan is None or all(move.job_id != "j-000001" for move in second_plan.moves), (
        "a replica that has just moved stays"
    )
    assert MovePlan.decode(plan.encode()).moves == plan.moves


def test_moves_respect_the_zone_requirements_of_each_job() -> None:
    cluster_state, workers = make_machines(4)
    spread_service = add_service(cluster_state, 1, 1.0, task_count=3, spread_across_zones=True)
    for index, worker_index in enumerate((0, 2, 1)):
        add_running_task(cluster_state, spread_service, workers[worker_index].machine, index)
    single_zone_service = add_service(cluster_state, 2, 1.0, task_count=2, requires_single_zone=True)
    add_running_task(cluster_state, single_zone_service, workers[0].machine, 0)
    add_running_task(cluster_state, single_zone_service, workers[2].machine, 1)
    plan = plan_replica_moves(make_planning_context(cluster_state), add_service(cluster_state, 99, 8.0, zone="a"), 0)
    zones = {move.name: cluster_state.machines[move.target_machine].zone for move in plan.moves} if plan else {}
    assert all(zone == "a" for name, zone in zones.items() if name.startswith(single_zone_service.spec.id))
    assert all(zone in ("a", "b") for zone in zones.values())
    for move in plan.moves if plan else ():
        run = cluster_state.jobs[move.job_id]
        other_zones = [placement.machine.zone for placement in run.placements.values() if placement.index != move.index]
        assert [*other_zones, cluster_state.machines[move.target_machine].zone].count(
            "a"
        ) <= 2 or not run.spec.spread_across_zones


def test_two_competing_large_services_do_not_cause_repeated_moves() -> None:
    """Two jobs that each need the other's capacity must not move the same replicas back and forth."""
    cluster_state, workers = make_machines(2)
    first, second = add_service(cluster_state, 1, 4.0), add_service(cluster_state, 2, 4.0)
    add_running_task(cluster_state, first, workers[0].machine)
    add_running_task(cluster_state, second, workers[1].machine)
    moved: set[str] = set()
    for step in range(20):
        large = add_service(cluster_state, 50 + step, 8.0, zone="ab"[step % 2])
        plan = plan_replica_moves(
            make_planning_context(cluster_state, lambda job, index: f"{job}/{index}" in moved), large, 0
        )
        if plan is None:
            continue
        for move in plan.moves:
            assert move.name not in moved
            moved.add(move.name)
            run = cluster_state.jobs[move.job_id]
            cluster_state.remove_placement(run.placements[move.index], NOW)
            add_running_task(cluster_state, run, cluster_state.machines[move.target_machine], move.index)
        large.final_state = "cancelled"
    assert len(moved) <= 2


def test_cpu_only_replicas_move_from_gpu_to_cpu_machines() -> None:
    """Replicas without GPUs must not use up the CPUs that the free GPUs of their machine need."""
    cluster_state, workers = make_machines(1, cpu_count=2)
    cluster_state.max_cpus_per_gpu = 10.0
    run = cluster_state.add_job(
        job(1, job_type=SERVICE, task_count=1, cpus=6.0, priority=0, estimated_duration_s=0.0), 1
    )
    add_running_task(cluster_state, run, workers[0].machine)
    filler = add_service(cluster_state, 2, 1.0, cpus=12.0)
    add_running_task(cluster_state, filler, workers[0].machine)
    workers[0].machine.free_cpus -= 10.0  # used elsewhere: 7 GPUs are free with 68 CPUs
    plan = plan_cpu_only_moves(make_planning_context(cluster_state), 0, 4)
    assert plan is not None and plan.for_job_id == "" and [move.target_machine[:2] for move in plan.moves] == ["i-"]
    assert cluster_state.machines[plan.moves[0].target_machine].machine_type.gpus == 0
    # CPU machines are full of arrays of lower priority: one is reserved until they end.
    for index, worker in enumerate(workers[1:]):
        add_running_task(
            cluster_state,
            cluster_state.add_job(job(10 + index, job_type=ARRAY, cpus=8.0, priority=3), 1),
            worker.machine,
        )
    assert plan_cpu_only_moves(make_planning_context(cluster_state), 0, 4) is not None
    for run in list(cluster_state.jobs.values()):
        if run.spec.job_type == ARRAY:
            run.placements[0].run = cluster_state.add_job(job(30, job_type=ARRAY, cpus=8.0, priority=0), 1)
    assert plan_cpu_only_moves(make_planning_context(cluster_state), 0, 4) is None, (
        "no machine is reserved until tasks of the same priority end"
    )


def test_gang_moves_whole_and_only_for_a_starving_job() -> None:
    """A gang is moved only if moves of replicas do not suffice."""
    cluster_state, workers = make_machines(2)
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
        add_running_task(cluster_state, gang, workers[0].machine, index)
    add_running_task(cluster_state, add_service(cluster_state, 2, 1.0), workers[1].machine)
    large = add_service(cluster_state, 99, 8.0, zone="a")
    assert plan_replica_moves(make_planning_context(cluster_state), large, 0) is None
    assert plan_gang_move(make_planning_context(cluster_state), large, 0, lambda placement: True) is None
    large.starvation_level = 1
    plan = plan_gang_move(make_planning_context(cluster_state), large, 0, lambda placement: True)
    assert plan is not None and plan.moves == [Move(gang.spec.id, -1, "")]
    assert plan_gang_move(make_planning_context(cluster_state), large, 0, lambda placement: False) is None, (
        "the whole gang must fit elsewhere"
    )


def test_images_larger_than_every_cache_are_rejected() -> None:
    """An image that fits in the cache of one machine type is placed there."""
    cluster_state, workers = make_machines(1, cpu_count=1)
    large_image_job = job(1, image="w", image_gb=80.0, cpus=2.0)
    assert (
        rejection_reason(large_image_job, cluster_state.teams, [CPU])
        == "no allowed machine type has a cache for an image of 80 GB"
    )
    assert rejection_reason(large_image_job, cluster_state.teams, [CPU, LARGE_GPU_MACHINE]) is None
    run = cluster_state.add_job(large_image_job, 1)
    cluster_state.overflow_until = NOW + seconds(60)
    run_scheduling_pass(cluster_state, NOW)
    assert [placement.machine.name for placement in run.placements.values()] == ["i-00"] and workers[
        1
    ].machine.machine_type is CPU


def test_renting_is_preferred_only_if_cheaper_available_and_in_time() -> None:
    short_wait = seconds(10)
    assert not cheaper_to_rent(200.0, LARGE_GPU_MACHINE, True, short_wait) and cheaper_to_rent(
        2000.0, LARGE_GPU_MACHINE, True, short_wait
    )
    assert not cheaper_to_rent(2000.0, LARGE_GPU_MACHINE, False, short_wait), "sold out"
    assert not cheaper_to_rent(2000.0, LARGE_GPU_MACHINE, True, seconds(110)), (
        "a rented machine would be ready too late"
    )


def test_invalid_rebalancing_settings_are_rejected() -> None:
    assert parse_rebalancing([]).move == "auto"
    for invalid in ('(moves "on")', '(move "yes")', "(at-once 1.5)", "(after -1)"):
        with pytest.raises(SettingsError):
            parse_rebalancing(sexpdata.parse(invalid))


# -- in the simulated cluster -------------------------------------------------------------------


def make_rebalancing_config(max_disrupted_share: float = 0.5) -> OperatorConfig:
    config = OperatorConfig()
    config.rebalancing = RebalancingSettings(choose="on", move="on", after=seconds(3), again=timedelta(seconds=60))
    config.drain = DrainSettings(budgets=[DisruptionBudget(share=max_disrupted_share)])
    return config


class FragmentedCluster(EvictionCluster):
    """Two zones of two GPU machines each, full of small services, some of which are cancelled.

    The free GPUs then fit a large service in total, but on no single machine.
    """

    def __init__(self, seed: int, settings: OperatorConfig, max_disrupted_share: float = 0.5, **more: Any) -> None:
        super().__init__(seed, settings, max_disrupted_share, scale=2, **({"without_random_faults": True} | more))
        self.team_gpu_limit = None
        teams = [{"name": "t0"}, {"name": "t1"}, {"name": "guest"}]
        self.params_override = {**(self.params_override or {}), **_simulation_params(teams)}
        self.cancelled_per_machine = (2, 3, 2, 3)  # of the four small services of each machine
        self.large_submitted_at: dict[str, float] = {}
        self.large_start_delay_s: dict[str, float] = {}

    def make_job(self) -> dict[str, Any]:
        """Arrays without GPUs, so that only services use the GPU machines."""
        without_gpus = {"accelerators": 0.0, "shape": "sweep", "builds": ["cpu"], "mistaken": False, "yard": None}
        return super().make_job() | without_gpus | {"parcels": 3, "together": False}

    def service_body(self, number: int, gpus: float) -> dict[str, Any]:
        return {
            "name_id": f"j-5{number:05d}", "docket": "model", "crew": f"t{number % 2}", "shape": "daemon",
            "rank": "normal", "parcels": 1, "cores": gpus * 3.0, "accelerators": gpus, "memory_gb": gpus * 10.0,
            "kit": f"img-{number % 4}", "size_gb": 2.0, "builds": ["gpu"], "yard": None, "together": False,
            "scatter": False, "loaners": False, "guess_s": 0.0, "mark_every_s": 0.0, "mark_s": 0.0, "due_s": None,
        }  # fmt: skip

    async def submit(self, body: dict[str, Any]) -> None:
        self.jobs[body["name_id"]] = body
        for _ in range(60):
            status, answer = await self.send_user_request("POST", "/submissions", body)
            self.check_answer(body["name_id"], status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(body["name_id"])
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
        if task.job_id in self.large_submitted_at:
            self.large_start_delay_s.setdefault(task.job_id, virtual_now() - self.large_submitted_at[task.job_id])

    async def submit_services(self, cluster: SimulatedCluster) -> None:
        """Fills the GPUs with 16 small services, cancels some on each machine, then submits two large ones."""
        for number in range(16):
            await self.submit(self.service_body(number, 1.0))
        while (
            sum(task.is_active and task.job_id.startswith("j-5") for _, task in self.active_tasks()) < 16
            and virtual_now() < 60
        ):
            await asyncio.sleep(0.5)
        by_machine: dict[str, list[str]] = {}
        for worker, task in self.active_tasks():
            if task.job_id.startswith("j-5"):
                by_machine.setdefault(worker.machine.name, []).append(task.job_id)
        for machine_index, jobs in enumerate(sorted(by_machine.values())):
            for job_id in sorted(jobs)[: self.cancelled_per_machine[machine_index % 4]]:
                await self.cancel(job_id)
        for number in (100, 101):
            body = self.service_body(number, 4.0)
            self.large_submitted_at[body["name_id"]] = virtual_now()
            await self.submit(body)


def _simulation_params(teams: list[dict[str, Any]]) -> dict[str, Any]:
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
def test_large_services_start_only_after_moves_free_a_machine(move: bool) -> None:
    settings = make_rebalancing_config()
    settings.rebalancing.move = "on" if move else "off"
    cluster = FragmentedCluster(7500, settings)
    cluster.schedule_action(cluster.submit_services)
    raise_first_failure(cluster.run(length_s=110, job_count=4))
    assert len(cluster.large_submitted_at) == 2
    assert len(cluster.large_start_delay_s) == (2 if move else 0), cluster.large_start_delay_s
    assert all(wait < 40 for wait in cluster.large_start_delay_s.values())


@pytest.mark.parametrize("move_state", ["planned", "stopped", "held"])
@pytest.mark.parametrize("failing", ["leader", "all", "machine", "state", "cancel"])
def test_move_completes_or_is_abandoned_after_a_failure(move_state: str, failing: str) -> None:
    cluster = FragmentedCluster(7510, make_rebalancing_config(), restart_delay_range_s=(0.2, 1.5))
    failed: list[float] = []

    def rebalancer() -> RebalancingController | None:
        return next(
            (
                node.service.leader_term.rebalancer
                for node in cluster.controllers
                if node.service and node.service.leader_term
            ),
            None,
        )

    def reached() -> bool:
        controller = rebalancer()
        if controller is None or not controller.plans:
            return False
        replicas = [controller._placement_to_move(plan, move) for plan in controller.plans for move in plan.moves]
        if move_state == "planned":
            return True
        if move_state == "stopped":
            return any(placement is not None and placement.stop_requested_at is not None for placement in replicas)
        return any(placement is None for placement in replicas)

    async def fail(_: SimulatedCluster) -> None:
        while not reached():
            await asyncio.sleep(0.02)
        failed.append(virtual_now())
        if failing == "leader":
            await cluster.restart_controller(cluster.current_leader())
        elif failing == "all":
            await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.controllers))
        elif failing == "machine":
            controller = rebalancer()
            assert controller is not None
            worker = cluster.workers.get(controller.plans[0].machine)
            if worker is not None:
                worker.die()
                await asyncio.sleep(3)
                worker.machine.has_failed = True
        elif failing == "state":
            cluster.kv_store.is_down = True
            await asyncio.sleep(4)
            cluster.kv_store.end_outage()
        else:
            controller = rebalancer()
            assert controller is not None
            await cluster.cancel(controller.plans[0].for_job_id or next(iter(cluster.large_submitted_at)))

    cluster.schedule_action(cluster.submit_services)
    cluster.schedule_action(fail)
    raise_first_failure(cluster.run(length_s=130, job_count=4))
    assert failed
    controller = rebalancer()
    if failing not in ("machine", "cancel"):
        assert len(cluster.large_start_delay_s) == 2, cluster.large_start_delay_s
    moved = controller.moved_at_ms if controller is not None else {}
    assert len(moved) <= 12, "each replica moves at most once"


@pytest.mark.parametrize("seed", range(7520, 7526))
def test_moves_under_all_faults_stay_within_budgets(seed: int) -> None:
    from tests.simulation.cluster import EXTENDED_FAULTS

    cluster = FragmentedCluster(
        seed, make_rebalancing_config(0.3), 0.3, without_random_faults=False, faults=EXTENDED_FAULTS
    )
    cluster.schedule_action(cluster.submit_services)
    raise_first_failure(cluster.run(length_s=110, job_count=10))


Patch = Callable[[pytest.MonkeyPatch], None]


def ignore_budgets(monkeypatch: pytest.MonkeyPatch) -> None:
    from roseweir.drain.disruption_budget import DisruptionAccount

    monkeypatch.setattr(
        DisruptionAccount,
        "reserve_disruption",
        lambda self, run, indices, now: self.mark_down(run, indices, "drained", now) or "",
    )
    monkeypatch.setattr(DisruptionAccount, "exceeds_budget", lambda self, run, tasks: False)


def test_moves_beyond_the_budget_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    ignore_budgets(monkeypatch)
    for seed in range(7530, 7540):
        cluster = FragmentedCluster(seed, make_rebalancing_config(0.05), 0.05)
        cluster.schedule_action(cluster.submit_services)
        cluster.run(length_s=100, job_count=2)
        if cluster.rule_violations:
            return
    pytest.fail("no seed exceeded a budget")


@pytest.mark.parametrize("forgets_moves", [False, True])
def test_no_replica_moves_twice_across_leader_restarts(forgets_moves: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The next leader finishes recorded moves; without the record it moves replicas again that have just moved."""
    if forgets_moves:
        monkeypatch.setattr(RebalancingController, "restore", lambda self, value: None)
    moved_twice: list[str] = []
    for seed in range(7540, 7543):
        settings = make_rebalancing_config()
        settings.rebalancing.max_concurrent_moves = 1
        cluster = LeaderRestartCluster(seed, settings, restart_delay_range_s=(0.1, 0.5))
        cluster.cancelled_per_machine = (2, 2, 2, 2)
        cluster.schedule_action(cluster.submit_services)
        raise_first_failure(cluster.run(length_s=150, job_count=2))
        assert len(cluster.large_start_delay_s) == 2
        moved_twice += [name for name in cluster.stopped_jobs if cluster.stopped_jobs.count(name) > 1]
    assert bool(moved_twice) == forgets_moves, moved_twice


class LeaderRestartCluster(FragmentedCluster):
    """Restarts the leader 50 ms after each stop command to a replica that is moved."""

    stopped_jobs: list[str]

    def on_stop_command(self, worker: Any, task: Any, grace_s: float) -> None:
        super().on_stop_command(worker, task, grace_s)
        if task.job_id.startswith("j-5") and task.job_id not in self.cancel_requested:
            self.stopped_jobs = [*getattr(self, "stopped_jobs", []), task.job_id]
            self.spawn(self.restart_leader())

    async def restart_leader(self) -> None:
        await asyncio.sleep(0.05)
        await self.restart_controller(self.current_leader())
