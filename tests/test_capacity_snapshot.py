"""What a pass remembers changes no decision: the plain scan of every machine for every job is the reference."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime
from typing import Any

import pytest

from roseweir.clock import FOREVER, seconds
from roseweir.limits.rules import renew_fetch_limits
from roseweir.scheduler import quota, reservations, task_placement
from roseweir.scheduler import scheduling_pass as planning
from roseweir.scheduler.capacity_snapshot import CapacitySnapshot, MachineWithRoom, allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import ARRAY, GANG, JobSpec
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state


def scan(
    look: CapacitySnapshot,
    run: JobRun,
    machines: list[Machine],
    reserved: dict[str, datetime],
    unwanted: Any,
    reserves: Any,
) -> list[Machine]:
    """As it was written first: each job looks at every machine and remembers nothing."""
    spec, cluster_state, now = run.spec, look.cluster_state, look.now
    ends = (
        now + cluster_state.estimate_runtime(spec)
        if spec.job_type == ARRAY and spec.estimated_duration_s > 0
        else FOREVER
    )
    fit = [
        m
        for m in machines
        if allows_machine(spec, m)
        and ends <= reserved.get(m.name, FOREVER)
        and not reservations.is_reserved_for_other_job(cluster_state, m, spec, now)
        and m.name not in run.failed_machines
        and reserves.task_capacity(m, spec) > 0
        and not any(limit.matches(spec, m) for limit in unwanted)
    ]
    return sorted(fit, key=lambda m: task_placement._placement_score(look, spec, m))


@contextmanager
def plainly() -> Iterator[None]:
    """Nothing of what was found out for one job serves another."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planning, "candidate_machines", scan)
        patch.setattr(CapacitySnapshot, "is_full", lambda self, spec, access: False)
        patch.setattr(CapacitySnapshot, "earliest_machines_with_room", soonest)
        patch.setattr(CapacitySnapshot, "_expected_ends", fresh_timeline)
        patch.setattr(Machine, "has_image", has_image)
        yield


def soonest(look: CapacitySnapshot, spec: JobSpec, zone: str | None, wanted: int, passed_over: Any) -> list[Any]:
    times: list[tuple[datetime, str, Machine]] = []
    for machine in look.machines:
        fits = (
            machine.machine_type.gpus > 0
            and allows_machine(spec, machine)
            and spec.fits_machine_type(machine.machine_type)
        )
        if fits and zone in (None, machine.zone) and not passed_over(machine):
            times += [(when, machine.name, machine) for when in look._room_times(machine, spec, wanted)]
    return [MachineWithRoom(when, machine) for when, _, machine in sorted(times, key=lambda t: t[:2])[:wanted]]


def fresh_timeline(look: CapacitySnapshot, machine: Machine) -> list[Any]:
    ends = [
        (p.expected_end(look.now, look.cluster_state.estimate_runtime(p.run.spec)), p)
        for p in machine.placements.values()
    ]
    return sorted(ends, key=lambda pair: pair[0])


def has_image(machine: Machine, image: str) -> bool:
    return image in machine.image_cache or any(
        p.run.spec.image == image and p.stop_requested_at is None for p in machine.placements.values()
    )


def drawn(draw: random.Random, number: int) -> JobSpec:
    gpus = draw.choice([0.0, 0.0, 1.0, 2.0])
    kind = draw.choice([ARRAY, ARRAY, GANG])
    return job(
        number,
        team=draw.choice(["t0", "t1", "guest"]),
        job_type=kind,
        task_count=draw.randint(1, 2) if kind == GANG else draw.randint(1, 12),
        gpus=gpus,
        cpus=round(draw.uniform(0.5, 3.0), 1),
        memory_gb=round(draw.uniform(1.0, 9.0), 1),
        priority=draw.randint(0, 3),
        image=f"img-{draw.randint(0, 3)}",
        image_gb=2.0,
        zone=draw.choice([None, None, "a"]),
        requires_single_zone=draw.random() < 0.2,
        spread_across_zones=draw.random() < 0.1,
        allows_spot=draw.random() < 0.6,
        estimated_duration_s=draw.choice([0.0, 5.0, 60.0]),
        checkpoint_interval_s=draw.choice([0.0, 10.0]),
        accepted_ms=number,
    )


def play(seed: int) -> list[list[tuple[str, int, str, int]]]:
    """What each pass of a drawn stretch of work placed: job, task, machine, attempt."""
    draw = random.Random(seed)
    cluster_state, now = make_cluster_state(), NOW
    hands = []
    for n in range(14):
        hands.append(FakeWorker(cluster_state, f"i-{n:03d}", draw.choice(["cpu", "gpu"]), draw.choice("ab")))
        hands[-1].send_heartbeat(now)
        hands[-1].machine.is_spot = draw.random() < 0.4
    told: list[list[tuple[str, int, str, int]]] = []
    for number in range(40):
        now += seconds(draw.choice([0.2, 1.0, 4.0]))
        renew_fetch_limits(
            cluster_state.limits,
            [(m.zone, m.machine_type) for m in cluster_state.machines.values()],
            cluster_state.operator_config,
            now,
        )
        for _ in range(draw.randint(0, 3)):
            spec = drawn(draw, number * 10 + len(cluster_state.jobs))
            if spec.id not in cluster_state.jobs:
                cluster_state.add_job(spec, 1)
        planning.run_scheduling_pass(cluster_state, now)
        told.append(
            sorted((p.run.spec.id, p.index, p.machine.name, p.attempt) for p in cluster_state.planned_placements)
        )
        cluster_state.planned_placements.clear()
        commit_placements(cluster_state)
        for hand in hands:
            if draw.random() < 0.8:
                hand.send_heartbeat(now)
            for key, task in list(hand.tasks.items()):
                if task.state == "running" and draw.random() < 0.15:
                    hand.end_task(key[0], draw.choice(["done", "done", "error", "halted"]))
        recount(cluster_state)
    return told


def recount(cluster_state: ClusterState) -> None:
    """What is kept by addition is what a sum over everything gives."""
    for machine in cluster_state.machines.values():
        for image in ("img-0", "img-1", "img-2", "img-3"):
            assert machine.has_image(image) == has_image(machine, image)
    covered = {run.spec.id: run.is_within_quota for run in cluster_state.jobs.values()}
    if not cluster_state.needs_quota_update:
        cluster_state.needs_quota_update = True
        quota.mark_within_quota(cluster_state)
        assert covered == {run.spec.id: run.is_within_quota for run in cluster_state.jobs.values()}


@pytest.mark.parametrize("seed", range(40))
def test_what_a_pass_remembers_changes_no_decision(seed: int) -> None:
    with plainly():
        expected = play(seed)
    assert play(seed) == expected
    assert sum(map(len, expected)) > 40


def test_a_job_that_finds_no_room_spares_larger_ones_the_search(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a full fleet each of hundreds of waiting jobs looked at the machines again."""
    cluster_state = make_cluster_state()
    hands = [FakeWorker(cluster_state, f"i-{n}") for n in range(20)]
    for hand in hands:
        hand.send_heartbeat(NOW)
        hand.send_heartbeat(NOW)
    cluster_state.add_job(job(1, task_count=20 * 8 - 10, accepted_ms=1), 1)
    planning.run_scheduling_pass(cluster_state, NOW)
    for number in range(100):
        cluster_state.add_job(job(2 + number, task_count=3, cpus=7.0 + number / 200, accepted_ms=2 + number), 1)
    searches = 0
    search = task_placement.candidate_machines

    def counted(*args: Any) -> list[Machine]:
        nonlocal searches
        searches += 1
        return search(*args)

    monkeypatch.setattr(planning, "candidate_machines", counted)
    assert planning.run_scheduling_pass(cluster_state, NOW).placed_count <= 3
    assert searches <= 4
