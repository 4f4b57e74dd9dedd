"""Clusters with many services: replicas spread over two zones, short leases, few and small writes, whole-machine gangs.

The simulation itself measures how long replicas were up and which of them were lost.
"""

import asyncio
from typing import Any

import pytest

from roseweir.scheduler.model import JobRun, PlacementPhase
from roseweir.scheduler.recovery import LogRecovery, RecoveredStarts
from roseweir.submissions.jobs import SERVICE
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    SimulatedCluster,
    SimulatedController,
    raise_first_failure,
    virtual_now,
)

PARAMS: dict[str, Any] = {
    "teams": [{"name": "t0"}, {"name": "t1"}],
    "objectives": [{"kind": "wait", "class": "viewer", "within_s": 1.0, "share": 0.94}],
}
# Replicas of a service count towards its uptime from this long after its job was accepted.
START_ALLOWANCE_S = 15.0


class ServiceCluster(SimulatedCluster):
    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(seed, write_rps=15.0, txn_ops=8, value_kb=4.0, scale=4, params_override=PARAMS, **options)
        self.team_gpu_limit = None
        self.accepted_at: dict[str, float] = {}
        self.expected_replica_s = self.replica_up_s = 0.0

    def make_job(self) -> dict[str, Any]:
        rng = self.rng
        fields = super().make_job() | {"builds": None, "yard": None, "mistaken": False, "together": False}
        draw = rng.random()
        if draw < 0.6:
            fields |= {"docket": "viewer", "shape": "daemon", "rank": "critical", "parcels": rng.choice([2, 4, 9])}
            fields |= {"cores": 2.0, "accelerators": 0.0, "scatter": True, "loaners": False, "guess_s": 0.0}
            fields |= {"mark_every_s": 0.0, "mark_s": 0.0, "due_s": None}
        elif draw < 0.85:
            fields |= {"shape": "sweep", "rank": "normal", "parcels": rng.randint(10, 40), "cores": 2.0}
            fields |= {"accelerators": 0.0, "loaners": True, "docket": "tally"}
        else:
            fields |= {"shape": "gang", "rank": "normal", "parcels": rng.choice([1, 2]), "cores": 14.0}
            fields |= {"accelerators": 4.0, "memory_gb": 50.0, "loaners": False, "together": True, "docket": "gangs"}
        return fields

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        super().check_answer(job_id, status, answer)
        if status in (200, 201) and answer["standing"] in ("queued", "running"):
            self.accepted_at.setdefault(job_id, virtual_now())

    async def check_continuously(self) -> None:
        self.spawn(super().check_continuously())
        while True:
            await asyncio.sleep(0.25)
            replicas_up: dict[str, int] = {}
            for _, task in self.active_tasks():
                replicas_up[task.job_id] = replicas_up.get(task.job_id, 0) + 1
            for job_id, accepted_at in self.accepted_at.items():
                job = self.jobs[job_id]
                if (
                    job["shape"] == "daemon"
                    and job_id not in self.cancel_requested
                    and virtual_now() > accepted_at + START_ALLOWANCE_S
                ):
                    self.expected_replica_s += 0.25 * job["parcels"]
                    self.replica_up_s += 0.25 * min(job["parcels"], replicas_up.get(job_id, 0))

    @property
    def uptime_fraction(self) -> float:
        return self.replica_up_s / self.expected_replica_s if self.expected_replica_s else 1.0


@pytest.mark.parametrize("seed", range(9500, 9510))
def test_days_of_services_with_faults_break_no_rule(seed: int) -> None:
    restart_delay_range_s = (0.05, 1.0) if seed % 2 else (1.0, 4.0)
    cluster = ServiceCluster(
        seed,
        faults=[*EXTENDED_FAULTS, "deaf", "recall", "sick"],
        restart_delay_range_s=restart_delay_range_s,
        max_clock_skew_s=0.25,
    ).run(job_count=35)
    raise_first_failure(cluster)
    assert cluster.start_count > 60


async def _inject_fault(cluster: SimulatedCluster, fault: str) -> None:
    node = cluster.current_leader()
    if fault == "leader":
        await cluster.restart_controller(node)
    elif fault == "all":
        await asyncio.gather(*(cluster.restart_controller(controller) for controller in cluster.controllers))
    elif fault == "roll":
        for controller in cluster.controllers:
            await cluster.restart_controller(controller)
            await asyncio.sleep(4)
    elif fault == "refused":
        cluster.kv_store.refused_controllers.add(node.name)
        await asyncio.sleep(12)
        cluster.kv_store.refused_controllers.clear()
    elif fault == "outage":
        # Longer than a lease: heartbeats are still answered while the leader has read cancellations recently enough.
        cluster.kv_store.is_down = True
        await asyncio.sleep(5.5)
        cluster.kv_store.end_outage()
    else:
        faulty_controllers: list[SimulatedController] = cluster.controllers if fault == "peers" else [node]
        for controller in faulty_controllers:
            controller.network_faults[fault] = "refused"
        await asyncio.sleep(12)
        for controller in faulty_controllers:
            controller.network_faults.clear()


@pytest.mark.parametrize("fault", ["leader", "all", "roll", "refused", "outage", "peers", "state", "workers"])
def test_controller_failures_lose_no_healthy_replica(fault: str) -> None:
    cluster = ServiceCluster(9600, without_random_faults=True)
    attempts_before: dict[tuple[str, int], int] = {}

    def replica_attempts() -> dict[tuple[str, int], int]:
        replicas = [t for _, t in cluster.active_tasks() if cluster.jobs[t.job_id]["shape"] == "daemon"]
        return {(t.job_id, t.index): t.attempt for t in replicas}

    async def inject_fault(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(25)
        attempts_before.update(replica_attempts())
        await _inject_fault(cluster, fault)
        await asyncio.sleep(6)
        attempts_after = replica_attempts()
        expected_attempts = {
            key: attempt for key, attempt in attempts_before.items() if key[0] not in cluster.cancel_requested
        }
        for key, attempt in expected_attempts.items():
            cluster.check_rule(attempts_after.get(key) == attempt, f"replica {key} was lost")

    cluster.schedule_action(inject_fault)
    raise_first_failure(cluster.run(length_s=75, job_count=25))
    assert len(attempts_before) >= 6
    assert all(worker.incarnation == 1 for worker in cluster.workers.values()), "a worker's lease expired"
    assert cluster.uptime_fraction > 0.99


def test_lost_replicas_restart_before_lower_priority_jobs() -> None:
    """A third of the machines of a full fleet fails: replicas are placed again first, spread over zones as required."""
    cluster = ServiceCluster(9601, without_random_faults=True)

    async def fail_third_of_machines(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(30)
        for worker in cluster.rng.sample(list(cluster.workers.values()), len(cluster.workers) // 3):
            worker.die()
            worker.machine.has_failed = True

    cluster.schedule_action(fail_third_of_machines)
    raise_first_failure(cluster.run(length_s=80, job_count=40))
    # A third of the replicas is down once, for a lease of 6 s (or until a release proves them gone) and a boot of 4 s.
    assert cluster.uptime_fraction > 0.9


# -- the checks themselves --------------------------------------------------------------------


def test_losing_replicas_in_log_recovery_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    restore_placements = LogRecovery._restore_placements

    def restore_without_services(self: LogRecovery, recovered: RecoveredStarts) -> None:
        recovered.newest_starts = {
            k: v for k, v in recovered.newest_starts.items() if self.cluster_state.jobs[k[0]].spec.job_type != SERVICE
        }
        restore_placements(self, recovered)

    monkeypatch.setattr(LogRecovery, "_restore_placements", restore_without_services)
    for seed in range(9700, 9712):
        violations = ServiceCluster(seed, faults=["crash", "all", "cut"]).run(job_count=35).rule_violations
        if any("ran_twice" in str(error) or "scatter" in str(error) for error in violations):
            return
    pytest.fail("no seed caught the broken variant")


def test_ignoring_recovered_replicas_in_zone_spread_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def count_without_recovered(self: JobRun, zone: str) -> int:
        return sum(
            1 for p in self.placements.values() if p.machine.zone == zone and p.phase != PlacementPhase.RECOVERED
        )

    monkeypatch.setattr(JobRun, "count_placed_in_zone", count_without_recovered)
    for seed in range(9720, 9740):
        violations = (
            ServiceCluster(seed, faults=["crash", "all", "cut", "die", "recall"]).run(job_count=35).rule_violations
        )
        if any("scatter" in str(error) for error in violations):
            return
    pytest.fail("no seed caught the broken variant")
