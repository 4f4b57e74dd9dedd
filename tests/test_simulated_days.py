"""Seeded days of the simulated cluster, with every rule checked at every event.

A failure names its seed: `SimulatedCluster(seed).run()` repeats that day.
"""

import asyncio
from typing import Any

import pytest

from roseweir.http import Request
from roseweir.scheduler.model import PlacementPhase
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    MACHINE_TYPES,
    TEAM_GPU_LIMIT,
    ZONES,
    SimulatedCluster,
    raise_first_failure,
    virtual_now,
)

# With these seeds a recovery that fails half-way must leave no cancelled job and no segment in the cluster state.
FAILED_RECOVERY_SEEDS = [378, 394, 539]


@pytest.mark.parametrize("seed", [*range(16), *FAILED_RECOVERY_SEEDS])
def test_random_days_break_no_rule(seed: int) -> None:
    cluster = SimulatedCluster(seed).run()
    raise_first_failure(cluster)
    assert cluster.start_count > 20


@pytest.mark.parametrize("seed", range(9000, 9016))
def test_random_days_with_extended_faults_break_no_rule(seed: int) -> None:
    """Controllers are paused or lose part of the network; machines boot late or never."""
    cluster = SimulatedCluster(seed, faults=EXTENDED_FAULTS).run()
    raise_first_failure(cluster)
    assert cluster.start_count > 20


@pytest.mark.parametrize(("seed", "controller_count"), [(9100, 2), (9101, 5), (9102, 5), (9103, 7), (9104, 7)])
def test_random_days_with_other_controller_counts_break_no_rule(seed: int, controller_count: int) -> None:
    raise_first_failure(SimulatedCluster(seed, faults=EXTENDED_FAULTS, controller_count=controller_count).run())


@pytest.mark.parametrize("fault", ["refused", "silent"])
@pytest.mark.parametrize("other_links", [[], ["peers"], ["peers", "cloud"]], ids=str)
def test_leader_unreachable_for_workers_resigns_before_their_leases_expire(fault: str, other_links: list[str]) -> None:
    """A leader without its workers must not keep its lease in the key-value store until the workers' leases expire."""
    cluster = SimulatedCluster(7003, without_random_faults=True)
    incarnations: list[dict[str, int]] = []
    leaders: list[str] = []

    async def lose_links(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        node = cluster.current_leader()
        leaders.append(node.name)
        incarnations.append({name: worker.incarnation for name, worker in cluster.workers.items()})
        for link in ["workers", *other_links]:
            node.network_faults[link] = fault
        await asyncio.sleep(4.2)
        leaders.append(cluster.current_leader().name)
        await asyncio.sleep(26)
        leaders.append(cluster.current_leader().name)
        node.network_faults.clear()
        await asyncio.sleep(15)
        leaders.append(cluster.current_leader().name)
        incarnations.append({name: worker.incarnation for name, worker in cluster.workers.items()})

    cluster.schedule_action(lose_links)
    raise_first_failure(cluster.run(length_s=90, job_count=20))
    assert leaders[0] != leaders[1] == leaders[2] == leaders[3]
    assert cluster.kv_store.keys["lead/term"][0] == 2, "leadership changed more than once"
    if fault == "refused":
        # Without an answer a worker waits for 4 s of its lease, 6 s here, before it tries another controller.
        expired = [
            name
            for name, incarnation in incarnations[0].items()
            if incarnations[1].get(name, incarnation) != incarnation
        ]
        assert expired == [], "worker leases expired"


@pytest.mark.parametrize("affected", ["all controllers", "zone", "workers"])
def test_leader_stays_when_no_other_controller_reaches_the_workers(affected: str) -> None:
    cluster = SimulatedCluster(7004, without_random_faults=True)

    async def lose_workers(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        if affected == "all controllers":
            for node in cluster.controllers:
                node.network_faults["workers"] = "silent"
        elif affected == "zone":
            cluster.partitioned_zones.add(cluster.current_leader().zone)
        else:
            for worker in cluster.workers.values():
                worker.is_hung = True
        await asyncio.sleep(20)
        cluster.partitioned_zones.clear()
        for node in cluster.controllers:
            node.network_faults.clear()
        for worker in cluster.workers.values():
            worker.is_hung = False

    cluster.schedule_action(lose_workers)
    raise_first_failure(cluster.run(length_s=70, job_count=10))
    assert cluster.kv_store.keys["lead/term"][0] == 1


def test_controller_unreachable_for_workers_lets_others_be_elected() -> None:
    cluster = SimulatedCluster(7005, without_random_faults=True)
    leaders: list[str] = []

    async def crash_second_leader(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        first = cluster.current_leader()
        first.network_faults["workers"] = "refused"
        await asyncio.sleep(12)
        second = cluster.current_leader()
        second.crash()
        await asyncio.sleep(6)
        leaders.extend(node.name for node in (first, second, cluster.current_leader()))
        second.start()

    cluster.schedule_action(crash_second_leader)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    assert len(set(leaders)) == 3


@pytest.mark.parametrize("pause_s", [1.2, 8.0, 40.0])
@pytest.mark.parametrize("is_leader", [True, False])
def test_paused_controller_resumes_without_harm(pause_s: float, is_leader: bool) -> None:
    """On resuming, the controller gets all delayed messages at once; its old term gives it no authority."""
    cluster = SimulatedCluster(7006, without_random_faults=True)
    gaps_s: list[float] = []

    async def pause_controller(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        leader = cluster.current_leader()
        node = leader if is_leader else next(n for n in cluster.controllers if n is not leader)
        node.pause_gate.pause()
        paused_at = virtual_now()
        if is_leader and pause_s > 5:
            while not any(
                n.service and n.service.leader_term and n.service.leader_term.is_ready
                for n in cluster.controllers
                if n is not node
            ):
                await asyncio.sleep(0.05)
            gaps_s.append(virtual_now() - paused_at)
        await asyncio.sleep(pause_s - (virtual_now() - paused_at))
        node.pause_gate.resume()

    cluster.schedule_action(pause_controller)
    raise_first_failure(cluster.run(length_s=100, job_count=20))
    assert all(gap_s < 4.0 for gap_s in gaps_s), "a paused leader must be replaced as soon as a crashed one"
    assert cluster.kv_store.keys["lead/term"][0] == (2 if is_leader and pause_s > 5 else 1)
    if not gaps_s:
        # Without an answer a worker waits for 4 s of its lease, 6 s here, before it tries another controller.
        assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease expired"


@pytest.mark.parametrize("seed", range(6))
def test_days_with_leader_cut_off_from_store_break_no_rule(seed: int) -> None:
    raise_first_failure(SimulatedCluster(seed, faults=["deaf", "cut", "recall"]).run())


def test_leader_cut_off_from_store_resigns() -> None:
    """The leader may answer heartbeats for the hold-over, but learns of its successor from a peer long before."""
    cluster = SimulatedCluster(7000, without_random_faults=True)
    gaps_s: list[float] = []

    async def lose_store(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        node = cluster.current_leader()
        assert node.service is not None and node.service.leader_term is not None
        cluster.kv_store.refused_controllers.add(node.name)
        lost_at = virtual_now()
        while node.service.leader_term is not None:
            await asyncio.sleep(0.05)
        gaps_s.append(virtual_now() - lost_at)
        assert node.service.leader_election.leader is not None
        assert node.service.leader_election.leader.name != node.name

    cluster.schedule_action(lose_store)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    # The lease, the successor's election, and a query to the peers.
    assert len(gaps_s) == 1 and gaps_s[0] < 4.5


def test_only_controller_cut_off_from_store_alone_is_unhealthy() -> None:
    cluster = SimulatedCluster(7001, without_random_faults=True)
    statuses: list[list[int]] = []

    async def health_statuses(cluster: SimulatedCluster) -> list[int]:
        services = [node.service for node in cluster.controllers if node.service is not None]
        return [(await service.serve_public(Request("GET", "/healthz", b""))).status for service in services]

    async def lose_store(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        cluster.kv_store.refused_controllers.add("n1")
        await asyncio.sleep(8)
        statuses.append(await health_statuses(cluster))
        cluster.kv_store.refused_controllers.clear()
        await asyncio.sleep(4)
        statuses.append(await health_statuses(cluster))
        cluster.kv_store.is_down = True
        await asyncio.sleep(8)
        statuses.append(await health_statuses(cluster))
        cluster.kv_store.end_outage()

    cluster.schedule_action(lose_store)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    assert statuses == [[200, 503, 200], [200, 200, 200], [200, 200, 200]]


def test_flood_of_invalid_requests_delays_no_heartbeat_or_lease_renewal() -> None:
    cluster = SimulatedCluster(7002, without_random_faults=True)
    statuses: dict[str, set[int]] = {}
    latencies_s: list[float] = []

    async def send_request(cluster: SimulatedCluster, request_type: str, request: Request) -> None:
        service = cluster.current_leader().service
        assert service is not None
        sent_at = virtual_now()
        response = await service.serve_public(request)
        latencies_s.append(virtual_now() - sent_at)
        statuses.setdefault(request_type, set()).add(response.status)
        if response.status in (429, 503):
            assert any(name == "retry-after" for name, _ in response.headers)

    async def flood_with_requests(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for n in range(400):
            for m in range(5):
                cluster.spawn(send_request(cluster, "unknown job", Request("GET", f"/submissions/j-8{n:04d}{m}", b"")))
            cluster.spawn(send_request(cluster, "malformed", Request("POST", "/submissions", b'{"name_id": 3')))
            cluster.spawn(send_request(cluster, "oversized", Request("POST", "/submissions", b"", is_too_large=True)))
            cluster.spawn(send_request(cluster, "invalid heartbeat", Request("POST", "/hello", b'{"host": []}')))
            await asyncio.sleep(0.05)

    cluster.schedule_action(flood_with_requests)
    raise_first_failure(cluster.run(length_s=60, job_count=10))
    assert statuses["malformed"] == statuses["oversized"] == statuses["invalid heartbeat"] == {400}
    # 100 polls a second exceed the rate limit of the key-value store: the rest is answered 429 with `retry-after`.
    assert statuses["unknown job"] == {404, 429}
    assert max(latencies_s) < 0.5
    assert cluster.kv_store.keys["lead/term"][0] == 1, "the lease was lost"
    assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease expired"


@pytest.mark.parametrize("seed", range(3000, 3010))
def test_days_with_low_store_write_rate_break_no_rule(seed: int) -> None:
    """At low write rates segments lag by up to a minute; a stale segment must not make a task run twice."""
    cluster = SimulatedCluster(seed, write_rps=8.0).run()
    raise_first_failure(cluster)
    assert cluster.start_count > 10


@pytest.mark.parametrize("seed", range(8000, 8002))
def test_random_days_of_large_fleet_break_no_rule(seed: int) -> None:
    """Arrays of hundreds of tasks on hundreds of machines, with few writes per second to the write-ahead log."""
    cluster = SimulatedCluster(seed, scale=100, write_rps=20.0).run()
    raise_first_failure(cluster)
    assert cluster.start_count > 1000 and len(cluster.cloud.machines) >= 200


def reached_failover_steps(cluster: SimulatedCluster) -> set[str]:
    """The failover steps that any controller has reached."""
    steps = {"lost"}
    for node in cluster.controllers:
        service = node.service
        if service is None or service.leader_election.leader_lease is None:
            continue
        steps.add("elected")
        leader_term = service.leader_term
        if leader_term is None:
            continue
        steps.add("recovering")
        if leader_term.is_ready:
            steps.add("ready")
            machines = leader_term.cluster_state.machines.values()
            if any(machine.has_acknowledged_term for machine in machines):
                steps.add("heartbeat")
            if any(
                p.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED, PlacementPhase.SENT)
                for machine in machines
                for p in machine.placements.values()
            ):
                steps.add("placed")
    return steps


@pytest.mark.parametrize("fault", ["die", "hang"])
@pytest.mark.parametrize("step", ["lost", "elected", "recovering", "ready", "heartbeat", "placed"])
def test_third_of_machines_fails_at_any_failover_step(step: str, fault: str) -> None:
    cluster = SimulatedCluster(7100, without_random_faults=True, scale=6)
    failed_counts: list[int] = []

    async def fail_machines(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        leader = cluster.current_leader()
        leader.crash()
        while step not in reached_failover_steps(cluster):
            await asyncio.sleep(0.005)
        affected_names = cluster.rng.sample(sorted(cluster.workers), len(cluster.workers) // 3)
        failed_counts.append(len(affected_names))
        workers = [cluster.workers[name] for name in affected_names]
        for worker in workers:
            if fault == "die":
                worker.die()
            else:
                worker.is_hung = True
        await asyncio.sleep(1)
        leader.start()
        # Nearly a lease duration: some workers resume just before their lease expires, some just after.
        await asyncio.sleep(4.6)
        for worker in workers:
            worker.is_hung = False
            worker.machine.has_failed = worker.machine.has_failed or fault == "die"

    cluster.schedule_action(fail_machines)
    raise_first_failure(cluster.run(length_s=80, job_count=25))
    assert failed_counts[0] >= 3 and cluster.start_count > 100


class FeasibleJobsCluster(SimulatedCluster):
    """Generates only jobs that the machines can hold."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, without_random_faults=True)
        self.submitted_at: dict[str, float] = {}

    def make_job(self) -> dict[str, Any]:
        job = super().make_job()
        while not self.can_be_placed(job):
            job = super().make_job()
        self.submitted_at[job["name_id"]] = virtual_now()
        return job

    def can_be_placed(self, job: dict[str, Any]) -> bool:
        """Whether one task of an array, or all tasks of another job in one zone, fit machines and the team limit."""
        if job["shape"] == "sweep":
            return True
        task_capacity = 0
        for type_name, machine_type in MACHINE_TYPES.items():
            if type_name not in (job["builds"] or MACHINE_TYPES):
                continue
            required = [resource for resource in machine_type if job[resource] > 0]
            tasks_per_machine = min(int(machine_type[resource] // job[resource]) for resource in required)
            machines = min(
                sum(self.cloud.capacity[type_name, zone, spot] for spot in {False, job["loaners"]}) for zone in ZONES
            )
            task_capacity += tasks_per_machine * machines
        return bool(job["parcels"] <= task_capacity and job["parcels"] * job["accelerators"] <= TEAM_GPU_LIMIT)


@pytest.mark.parametrize("seed", range(1000, 1004))
def test_day_without_faults_ends_all_jobs(seed: int) -> None:
    """Also jobs that wait until their age gives them precedence over all others."""
    cluster = FeasibleJobsCluster(seed)
    raise_first_failure(cluster.run(length_s=300, job_count=40))
    checked_jobs = {job for job in cluster.accepted_jobs if cluster.submitted_at[job] < 150}
    assert len(checked_jobs) >= 15
    assert checked_jobs - set(cluster.observed_ends) == set()
