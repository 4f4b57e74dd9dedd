"""Silent machines: hung ones are waited for and lost ones are released, each within a bound."""

import random
from datetime import datetime, timedelta

from roseweir.clock import seconds
from roseweir.cloud.capacity import available_machines
from roseweir.cloud.liveness import (
    MAX_HUNG_LEASES,
    MIN_FAILED_PROBES,
    PROBE_TIMEOUT,
    is_lost,
    machines_to_probe,
    record_probe_result,
    silence_timeout,
)
from roseweir.cloud.scale_in import plan_scale_in
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from tests.test_scheduler import NOW, FakeWorker, make_cluster_state


def make_fleet(machine_count: int) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n:03d}") for n in range(machine_count)]
    for worker in workers:
        worker.send_heartbeat(NOW)
        worker.send_heartbeat(NOW)
    return cluster_state, workers


def probe_silent_machines(cluster_state: ClusterState, now: datetime, hung_machines: set[str]) -> None:
    for machine in machines_to_probe(cluster_state, now):
        machine.last_probe_at = now
        record_probe_result(cluster_state, machine, now, machine.name in hung_machines, now + PROBE_TIMEOUT)


def test_hung_machines_are_waited_for_and_lost_machines_released() -> None:
    rng = random.Random(5)
    cluster_state, workers = make_fleet(30)
    silent = rng.sample([worker.name for worker in workers], 9)
    hung, dead = set(silent[:5]), set(silent[5:])
    silence_until_release: dict[str, timedelta] = {}
    now, silent_since = NOW, NOW + seconds(10)
    while now < silent_since + cluster_state.max_lease_duration * 3:
        now += seconds(0.5)
        for worker in workers:
            if now <= silent_since or worker.name not in silent:
                worker.send_heartbeat(now)
        probe_silent_machines(cluster_state, now, hung)
        for machine, reason in plan_scale_in(cluster_state, SchedulingPassResult(), now):
            if reason == "silent":
                silence_until_release.setdefault(machine.name, now - silent_since)
        available = {m.name for m in available_machines(cluster_state, now)}
        assert hung & silence_until_release.keys() or hung <= available, (
            "scale-out would rent substitutes for hung machines"
        )
    assert silence_until_release.keys() == hung | dead
    # Failed probes release a machine before the silence timeout; a hung one is released soon after its bound.
    assert max(silence_until_release[name] for name in dead) < silence_timeout(cluster_state)
    assert all(
        cluster_state.max_lease_duration * MAX_HUNG_LEASES
        < silence_until_release[name]
        < cluster_state.max_lease_duration * MAX_HUNG_LEASES + seconds(1)
        for name in hung
    )


def test_heartbeat_clears_failed_probes_and_late_timeout_is_ignored() -> None:
    cluster_state, workers = make_fleet(4)
    machine: Machine = workers[0].machine
    now = NOW + seconds(4.5)
    for worker in workers[1:]:
        worker.send_heartbeat(now)
    plan_scale_in(cluster_state, SchedulingPassResult(), now)  # notes that the zone sends heartbeats
    for n in range(MIN_FAILED_PROBES):
        assert machines_to_probe(cluster_state, now + seconds(n)) == [machine]
        machine.last_probe_at = now + seconds(n)
        # The probe timed out late because this node was overloaded.
        record_probe_result(
            cluster_state, machine, machine.last_probe_at, False, machine.last_probe_at + PROBE_TIMEOUT * 4
        )
    assert not is_lost(cluster_state, machine, now + seconds(MIN_FAILED_PROBES))
    probe_sent_at = now + seconds(MIN_FAILED_PROBES)
    workers[0].send_heartbeat(probe_sent_at + seconds(0.2))
    record_probe_result(cluster_state, machine, probe_sent_at, False, probe_sent_at + PROBE_TIMEOUT)
    assert (
        machine.missed_probe_count == 0
        and not machine.is_hung
        and machines_to_probe(cluster_state, probe_sent_at + seconds(0.3)) == []
    )
