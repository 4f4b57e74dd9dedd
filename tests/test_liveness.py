"""Machines that fall silent: those that hang are waited for, those that are gone go back, and neither for too long."""

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


def fleet(count: int) -> tuple[ClusterState, list[FakeWorker]]:
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n:03d}") for n in range(count)]
    for hand in hands:
        hand.send_heartbeat(NOW)
        hand.send_heartbeat(NOW)
    return cluster_state, hands


def ask(cluster_state: ClusterState, now: datetime, hung: set[str]) -> None:
    for machine in machines_to_probe(cluster_state, now):
        machine.last_probe_at = now
        record_probe_result(cluster_state, machine, now, machine.name in hung, now + PROBE_TIMEOUT)


def test_of_many_that_fall_silent_together_those_that_hang_are_waited_for() -> None:
    draw = random.Random(5)
    cluster_state, hands = fleet(30)
    names = draw.sample([hand.name for hand in hands], 9)
    hung, dead = set(names[:5]), set(names[5:])
    gone: dict[str, timedelta] = {}
    now, fell = NOW, NOW + seconds(10)
    while now < fell + cluster_state.max_lease_duration * 3:
        now += seconds(0.5)
        for hand in hands:
            if now <= fell or hand.name not in names:
                hand.send_heartbeat(now)
        ask(cluster_state, now, hung)
        for machine, why in plan_scale_in(cluster_state, SchedulingPassResult(), now):
            if why == "silent":
                gone.setdefault(machine.name, now - fell)
        counted = {m.name for m in available_machines(cluster_state, now)}
        assert hung & gone.keys() or hung <= counted, "others would be rented in their place"
    assert gone.keys() == hung | dead
    # Sooner than patience alone, and never beyond the bound.
    assert max(gone[name] for name in dead) < silence_timeout(cluster_state)
    assert all(
        cluster_state.max_lease_duration * MAX_HUNG_LEASES
        < gone[name]
        < cluster_state.max_lease_duration * MAX_HUNG_LEASES + seconds(1)
        for name in hung
    )


def test_a_report_ends_all_suspicion_and_a_late_attempt_says_nothing() -> None:
    cluster_state, hands = fleet(4)
    machine: Machine = hands[0].machine
    now = NOW + seconds(4.5)
    for hand in hands[1:]:
        hand.send_heartbeat(now)
    plan_scale_in(cluster_state, SchedulingPassResult(), now)  # sees that the zone is heard
    for n in range(MIN_FAILED_PROBES):
        assert machines_to_probe(cluster_state, now + seconds(n)) == [machine]
        machine.last_probe_at = now + seconds(n)
        # This node was so busy that the attempt ran out late.
        record_probe_result(
            cluster_state, machine, machine.last_probe_at, False, machine.last_probe_at + PROBE_TIMEOUT * 4
        )
    assert not is_lost(cluster_state, machine, now + seconds(MIN_FAILED_PROBES))
    asked = now + seconds(MIN_FAILED_PROBES)
    hands[0].send_heartbeat(asked + seconds(0.2))
    record_probe_result(cluster_state, machine, asked, False, asked + PROBE_TIMEOUT)
    assert (
        machine.missed_probe_count == 0
        and not machine.is_hung
        and machines_to_probe(cluster_state, asked + seconds(0.3)) == []
    )
