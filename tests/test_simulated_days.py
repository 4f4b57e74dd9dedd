"""Seeded days of the simulated world, with every rule checked at every event.

A failure names its seed: `World(seed).play()` plays that day again.
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
    virtual_now,
)


def check(cluster: SimulatedCluster) -> None:
    if cluster.errors:
        raise cluster.errors[0]
    if cluster.rule_violations:
        raise cluster.rule_violations[0]


# 378, 394, 539: a rebuild that failed half-way left a cancelled job, or a page, on the board.
FOUND = [378, 394, 539]


@pytest.mark.parametrize("seed", [*range(16), *FOUND])
def test_rough_days_break_no_rule(seed: int) -> None:
    cluster = SimulatedCluster(seed).run()
    check(cluster)
    assert cluster.start_count > 20


@pytest.mark.parametrize("seed", range(9000, 9016))
def test_rough_days_as_on_call_met_them_break_no_rule(seed: int) -> None:
    """Controllers stand still for a while or lose part of the network; machines come up late or never."""
    cluster = SimulatedCluster(seed, faults=EXTENDED_FAULTS).run()
    check(cluster)
    assert cluster.start_count > 20


@pytest.mark.parametrize(("seed", "controllers"), [(9100, 2), (9101, 5), (9102, 5), (9103, 7), (9104, 7)])
def test_rough_days_with_other_numbers_of_controllers(seed: int, controllers: int) -> None:
    check(SimulatedCluster(seed, faults=EXTENDED_FAULTS, controller_count=controllers).run())


@pytest.mark.parametrize("way", ["refused", "silent"])
@pytest.mark.parametrize("also", [[], ["peers"], ["peers", "cloud"]], ids=str)
def test_leader_that_workers_do_not_reach_makes_way_before_their_leases_end(way: str, also: list[str]) -> None:
    """It kept its lease in the state service, and every worker's tasks with it to their end."""
    cluster = SimulatedCluster(7003, is_calm=True)
    sessions: list[dict[str, int]] = []
    leaders: list[str] = []

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        node = cluster.current_leader()
        leaders.append(node.name)
        sessions.append({name: worker.incarnation for name, worker in cluster.workers.items()})
        for what in ["workers", *also]:
            node.network_faults[what] = way
        await asyncio.sleep(4.2)
        leaders.append(cluster.current_leader().name)
        await asyncio.sleep(26)
        leaders.append(cluster.current_leader().name)
        node.network_faults.clear()
        await asyncio.sleep(15)
        leaders.append(cluster.current_leader().name)
        sessions.append({name: worker.incarnation for name, worker in cluster.workers.items()})

    cluster.schedule_action(lose)
    check(cluster.run(length_s=90, job_count=20))
    assert leaders[0] != leaders[1] == leaders[2] == leaders[3]
    assert cluster.state.keys["lead/term"][0] == 2, "leadership went to and fro"
    if way == "refused":
        # In silence a worker spends 4 s of its lease, which is 6 s here, before it looks elsewhere.
        lost = [name for name, session in sessions[0].items() if sessions[1].get(name, session) != session]
        assert lost == [], "leases ran out"


@pytest.mark.parametrize("who", ["everybody", "zone", "workers"])
def test_leader_stays_when_nobody_else_reaches_the_workers(who: str) -> None:
    cluster = SimulatedCluster(7004, is_calm=True)

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        if who == "everybody":
            for node in cluster.nodes:
                node.network_faults["workers"] = "silent"
        elif who == "zone":
            cluster.partitioned_zones.add(cluster.current_leader().zone)
        else:
            for worker in cluster.workers.values():
                worker.is_hung = True
        await asyncio.sleep(20)
        cluster.partitioned_zones.clear()
        for node in cluster.nodes:
            node.network_faults.clear()
        for worker in cluster.workers.values():
            worker.is_hung = False

    cluster.schedule_action(lose)
    check(cluster.run(length_s=70, job_count=10))
    assert cluster.state.keys["lead/term"][0] == 1


def test_a_node_that_workers_do_not_reach_lets_others_stand_first() -> None:
    cluster = SimulatedCluster(7005, is_calm=True)
    leaders: list[str] = []

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        first = cluster.current_leader()
        first.network_faults["workers"] = "refused"
        await asyncio.sleep(12)
        second = cluster.current_leader()
        second.crash()
        await asyncio.sleep(6)
        leaders.extend(node.name for node in (first, second, cluster.current_leader()))
        second.start()

    cluster.schedule_action(lose)
    check(cluster.run(length_s=60, job_count=10))
    assert len(set(leaders)) == 3


@pytest.mark.parametrize("span", [1.2, 8.0, 40.0])
@pytest.mark.parametrize("leads", [True, False])
def test_a_node_that_stood_still_goes_on_without_harm(span: float, leads: bool) -> None:
    """All that waited for it reaches it in one instant; its old term gives it no right."""
    cluster = SimulatedCluster(7006, is_calm=True)
    gaps: list[float] = []

    async def stand_still(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        leader = cluster.current_leader()
        node = leader if leads else next(n for n in cluster.nodes if n is not leader)
        node.pause_gate.pause()
        stopped = virtual_now()
        if leads and span > 5:
            while not any(
                n.service and n.service.leader_term and n.service.leader_term.is_ready
                for n in cluster.nodes
                if n is not node
            ):
                await asyncio.sleep(0.05)
            gaps.append(virtual_now() - stopped)
        await asyncio.sleep(span - (virtual_now() - stopped))
        node.pause_gate.resume()

    cluster.schedule_action(stand_still)
    check(cluster.run(length_s=100, job_count=20))
    assert all(gap < 4.0 for gap in gaps), "a crash would be noticed sooner"
    assert cluster.state.keys["lead/term"][0] == (2 if leads and span > 5 else 1)
    if not gaps:
        # In silence a worker spends 4 s of its lease, which is 6 s here, before it looks elsewhere.
        assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease ran out"


@pytest.mark.parametrize("seed", range(6))
def test_leader_that_loses_the_state_service_alone(seed: int) -> None:
    check(SimulatedCluster(seed, faults=["deaf", "cut", "recall"]).run())


def test_leader_that_alone_loses_the_state_service_makes_way() -> None:
    """It may answer reports for the hold-over, but a peer tells it of its successor long before."""
    cluster = SimulatedCluster(7000, is_calm=True)
    gaps: list[float] = []

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        node = cluster.current_leader()
        assert node.service is not None and node.service.leader_term is not None
        cluster.state.refused_controllers.add(node.name)
        lost = virtual_now()
        while node.service.leader_term is not None:
            await asyncio.sleep(0.05)
        gaps.append(virtual_now() - lost)
        assert node.service.leader_election.leader is not None
        assert node.service.leader_election.leader.name != node.name

    cluster.schedule_action(lose)
    check(cluster.run(length_s=60, job_count=10))
    # The lease, the successor's election, and a question to the peers.
    assert len(gaps) == 1 and gaps[0] < 4.5


def test_only_a_node_that_alone_lacks_the_state_service_leaves_its_users_to_peers() -> None:
    cluster = SimulatedCluster(7001, is_calm=True)
    seen: list[list[int]] = []

    async def health(cluster: SimulatedCluster) -> list[int]:
        services = [node.service for node in cluster.nodes if node.service is not None]
        return [(await service.serve_public(Request("GET", "/healthz", b""))).status for service in services]

    async def lose(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        cluster.state.refused_controllers.add("n1")
        await asyncio.sleep(8)
        seen.append(await health(cluster))
        cluster.state.refused_controllers.clear()
        await asyncio.sleep(4)
        seen.append(await health(cluster))
        cluster.state.is_down = True
        await asyncio.sleep(8)
        seen.append(await health(cluster))
        cluster.state.end_outage()

    cluster.schedule_action(lose)
    check(cluster.run(length_s=60, job_count=10))
    assert seen == [[200, 503, 200], [200, 200, 200], [200, 200, 200]]


def test_floods_of_bad_requests_are_answered_at_once_and_delay_neither_reports_nor_the_lease() -> None:
    cluster = SimulatedCluster(7002, is_calm=True)
    statuses: dict[str, set[int]] = {}
    slowest: list[float] = []

    async def ask(cluster: SimulatedCluster, what: str, request: Request) -> None:
        service = cluster.current_leader().service
        assert service is not None
        sent = virtual_now()
        response = await service.serve_public(request)
        slowest.append(virtual_now() - sent)
        statuses.setdefault(what, set()).add(response.status)
        if response.status in (429, 503):
            assert any(name == "retry-after" for name, _ in response.headers)

    async def flood(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(20)
        for n in range(400):
            for m in range(5):
                cluster.spawn(ask(cluster, "unknown job", Request("GET", f"/submissions/j-8{n:04d}{m}", b"")))
            cluster.spawn(ask(cluster, "malformed", Request("POST", "/submissions", b'{"name_id": 3')))
            cluster.spawn(ask(cluster, "oversized", Request("POST", "/submissions", b"", is_too_large=True)))
            cluster.spawn(ask(cluster, "strange report", Request("POST", "/hello", b'{"host": []}')))
            await asyncio.sleep(0.05)

    cluster.schedule_action(flood)
    check(cluster.run(length_s=60, job_count=10))
    assert statuses["malformed"] == statuses["oversized"] == statuses["strange report"] == {400}
    # 100 polls a second are more than the state service would bear: the rest is told when to come back.
    assert statuses["unknown job"] == {404, 429}
    assert max(slowest) < 0.5
    assert cluster.state.keys["lead/term"][0] == 1, "the lease was lost"
    assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease ran out"


@pytest.mark.parametrize("seed", range(3000, 3010))
def test_records_lag_behind_when_the_state_service_takes_few_changes(seed: int) -> None:
    """On the grown deployments pages lagged by a minute, and a stale one made a task run twice."""
    cluster = SimulatedCluster(seed, write_rps=8.0).run()
    check(cluster)
    assert cluster.start_count > 10


@pytest.mark.parametrize("seed", range(8000, 8002))
def test_rough_days_of_a_large_fleet(seed: int) -> None:
    """Arrays of hundreds on hundreds of machines, with few changes a second for the record."""
    cluster = SimulatedCluster(seed, scale=100, write_rps=20.0).run()
    check(cluster)
    assert cluster.start_count > 1000 and len(cluster.cloud.machines) >= 200


def taking_over(cluster: SimulatedCluster) -> set[str]:
    """The steps of a take-over that some node has reached."""
    steps = {"lost"}
    for node in cluster.nodes:
        service = node.service
        if service is None or service.leader_election.leader_lease is None:
            continue
        steps.add("elected")
        reign = service.leader_term
        if reign is None:
            continue
        steps.add("reading")
        if reign.is_ready:
            steps.add("open")
            machines = reign.cluster_state.machines.values()
            if any(m.has_acknowledged_term for m in machines):
                steps.add("heard")
            if any(
                p.phase in (PlacementPhase.PLANNED, PlacementPhase.COMMITTED, PlacementPhase.SENT)
                for m in machines
                for p in m.placements.values()
            ):
                steps.add("placed")
    return steps


@pytest.mark.parametrize("way", ["die", "hang"])
@pytest.mark.parametrize("step", ["lost", "elected", "reading", "open", "heard", "placed"])
def test_a_third_of_the_machines_falls_at_any_step_of_a_take_over(step: str, way: str) -> None:
    cluster = SimulatedCluster(7100, is_calm=True, scale=6)
    fell: list[int] = []

    async def fall(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        leader = cluster.current_leader()
        leader.crash()
        while step not in taking_over(cluster):
            await asyncio.sleep(0.005)
        third = cluster.rng.sample(sorted(cluster.workers), len(cluster.workers) // 3)
        fell.append(len(third))
        workers = [cluster.workers[name] for name in third]
        for worker in workers:
            if way == "die":
                worker.die()
            else:
                worker.is_hung = True
        await asyncio.sleep(1)
        leader.start()
        # Nearly a lease: some go on just before it ends, some just after.
        await asyncio.sleep(4.6)
        for worker in workers:
            worker.is_hung = False
            worker.machine.has_failed = worker.machine.has_failed or way == "die"

    cluster.schedule_action(fall)
    check(cluster.run(length_s=80, job_count=25))
    assert fell[0] >= 3 and cluster.start_count > 100


class Possible(SimulatedCluster):
    """Jobs that no set of machines could ever hold are drawn again."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, is_calm=True)
        self.submitted: dict[str, float] = {}

    def make_job(self) -> dict[str, Any]:
        job = super().make_job()
        while not self.can_be_placed(job):
            job = super().make_job()
        self.submitted[job["name_id"]] = virtual_now()
        return job

    def can_be_placed(self, job: dict[str, Any]) -> bool:
        """Whether an array's task, or all of any other job's tasks in one zone, find room and are within the limit."""
        if job["shape"] == "sweep":
            return True
        room = 0
        for build, kind in MACHINE_TYPES.items():
            if build not in (job["builds"] or MACHINE_TYPES):
                continue
            needs = [what for what in kind if job[what] > 0]
            each = min(int(kind[what] // job[what]) for what in needs)
            machines = min(
                sum(self.cloud.capacity[build, zone, spot] for spot in {False, job["loaners"]}) for zone in ZONES
            )
            room += each * machines
        return bool(job["parcels"] <= room and job["parcels"] * job["accelerators"] <= TEAM_GPU_LIMIT)


@pytest.mark.parametrize("seed", range(1000, 1004))
def test_quiet_day_ends_all_jobs(seed: int) -> None:
    """Also those that have to wait until they are old enough to come before all others."""
    cluster = Possible(seed)
    check(cluster.run(length_s=300, job_count=40))
    judged = {job for job in cluster.accepted_jobs if cluster.submitted[job] < 150}
    assert len(judged) >= 15
    assert judged - set(cluster.observed_ends) == set()
