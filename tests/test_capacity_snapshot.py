"""Caches of a scheduling pass change no decision: the reference scans every machine for every job, uncached."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime
from typing import Any

import pytest

from roseweir.clock import FOREVER, seconds
from roseweir.limits.rules import renew_fetch_limits
from roseweir.scheduler import quota, reservations, scheduling_pass, task_placement
from roseweir.scheduler.capacity_snapshot import CapacitySnapshot, MachineWithRoom, allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import JobRun, Machine
from roseweir.submissions.jobs import ARRAY, GANG, JobSpec
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import NOW, FakeWorker, commit_placements, make_cluster_state


def scan_all_machines(
    snapshot: CapacitySnapshot,
    run: JobRun,
    machines: list[Machine],
    reserved_from: dict[str, datetime],
    avoided_limits: Any,
    capacity_reservations: Any,
) -> list[Machine]:
    """The reference for `candidate_machines`: checks every machine for each job and caches nothing."""
    spec, cluster_state, now = run.spec, snapshot.cluster_state, snapshot.now
    expected_end = (
        now + cluster_state.estimate_runtime(spec)
        if spec.job_type == ARRAY and spec.estimated_duration_s > 0
        else FOREVER
    )
    candidates = [
        m
        for m in machines
        if allows_machine(spec, m)
        and expected_end <= reserved_from.get(m.name, FOREVER)
        and not reservations.is_reserved_for_other_job(cluster_state, m, spec, now)
        and m.name not in run.failed_machines
        and capacity_reservations.task_capacity(m, spec) > 0
        and not any(limit.matches(spec, m) for limit in avoided_limits)
    ]
    return sorted(candidates, key=lambda m: task_placement._placement_score(snapshot, spec, m))


@contextmanager
def uncached_references() -> Iterator[None]:
    """Replaces the cached computations by references that compute everything again for each job."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scheduling_pass, "candidate_machines", scan_all_machines)
        patch.setattr(CapacitySnapshot, "is_full", lambda self, spec, access: False)
        patch.setattr(CapacitySnapshot, "earliest_machines_with_room", scan_machines_with_room)
        patch.setattr(CapacitySnapshot, "_expected_ends", compute_expected_ends)
        patch.setattr(Machine, "has_image", scan_for_image)
        yield


def scan_machines_with_room(
    snapshot: CapacitySnapshot, spec: JobSpec, zone: str | None, tasks_wanted: int, is_excluded: Any
) -> list[Any]:
    times: list[tuple[datetime, str, Machine]] = []
    for machine in snapshot.machines:
        is_candidate = (
            machine.machine_type.gpus > 0
            and allows_machine(spec, machine)
            and spec.fits_machine_type(machine.machine_type)
        )
        if is_candidate and zone in (None, machine.zone) and not is_excluded(machine):
            times += [(when, machine.name, machine) for when in snapshot._room_times(machine, spec, tasks_wanted)]
    return [MachineWithRoom(when, machine) for when, _, machine in sorted(times, key=lambda t: t[:2])[:tasks_wanted]]


def compute_expected_ends(snapshot: CapacitySnapshot, machine: Machine) -> list[Any]:
    expected_ends = [
        (p.expected_end(snapshot.now, snapshot.cluster_state.estimate_runtime(p.run.spec)), p)
        for p in machine.placements.values()
    ]
    return sorted(expected_ends, key=lambda pair: pair[0])


def scan_for_image(machine: Machine, image: str) -> bool:
    return image in machine.image_cache or any(
        p.run.spec.image == image and p.stop_requested_at is None for p in machine.placements.values()
    )


def make_random_job(rng: random.Random, number: int) -> JobSpec:
    gpus = rng.choice([0.0, 0.0, 1.0, 2.0])
    job_type = rng.choice([ARRAY, ARRAY, GANG])
    return job(
        number,
        team=rng.choice(["t0", "t1", "guest"]),
        job_type=job_type,
        task_count=rng.randint(1, 2) if job_type == GANG else rng.randint(1, 12),
        gpus=gpus,
        cpus=round(rng.uniform(0.5, 3.0), 1),
        memory_gb=round(rng.uniform(1.0, 9.0), 1),
        priority=rng.randint(0, 3),
        image=f"img-{rng.randint(0, 3)}",
        image_gb=2.0,
        zone=rng.choice([None, None, "a"]),
        requires_single_zone=rng.random() < 0.2,
        spread_across_zones=rng.random() < 0.1,
        allows_spot=rng.random() < 0.6,
        estimated_duration_s=rng.choice([0.0, 5.0, 60.0]),
        checkpoint_interval_s=rng.choice([0.0, 10.0]),
        accepted_ms=number,
    )


def run_random_workload(seed: int) -> list[list[tuple[str, int, str, int]]]:
    """Returns what each scheduling pass over a generated workload placed: job, task, machine, attempt."""
    rng = random.Random(seed)
    cluster_state, now = make_cluster_state(), NOW
    workers = []
    for n in range(14):
        workers.append(FakeWorker(cluster_state, f"i-{n:03d}", rng.choice(["cpu", "gpu"]), rng.choice("ab")))
        workers[-1].send_heartbeat(now)
        workers[-1].machine.is_spot = rng.random() < 0.4
    placements_by_pass: list[list[tuple[str, int, str, int]]] = []
    for number in range(40):
        now += seconds(rng.choice([0.2, 1.0, 4.0]))
        renew_fetch_limits(
            cluster_state.limits,
            [(m.zone, m.machine_type) for m in cluster_state.machines.values()],
            cluster_state.operator_config,
            now,
        )
        for _ in range(rng.randint(0, 3)):
            spec = make_random_job(rng, number * 10 + len(cluster_state.jobs))
            if spec.id not in cluster_state.jobs:
                cluster_state.add_job(spec, 1)
        scheduling_pass.run_scheduling_pass(cluster_state, now)
        placements_by_pass.append(
            sorted((p.run.spec.id, p.index, p.machine.name, p.attempt) for p in cluster_state.planned_placements)
        )
        cluster_state.planned_placements.clear()
        commit_placements(cluster_state)
        for worker in workers:
            if rng.random() < 0.8:
                worker.send_heartbeat(now)
            for key, task in list(worker.tasks.items()):
                if task.state == "running" and rng.random() < 0.15:
                    worker.end_task(key[0], rng.choice(["done", "done", "error", "halted"]))
        check_incremental_state(cluster_state)
    return placements_by_pass


def check_incremental_state(cluster_state: ClusterState) -> None:
    """Checks that incrementally updated values equal those computed from scratch."""
    for machine in cluster_state.machines.values():
        for image in ("img-0", "img-1", "img-2", "img-3"):
            assert machine.has_image(image) == scan_for_image(machine, image)
    within_quota = {run.spec.id: run.is_within_quota for run in cluster_state.jobs.values()}
    if not cluster_state.needs_quota_update:
        cluster_state.needs_quota_update = True
        quota.mark_within_quota(cluster_state)
        assert within_quota == {run.spec.id: run.is_within_quota for run in cluster_state.jobs.values()}


@pytest.mark.parametrize("seed", range(40))
def test_caches_of_a_pass_change_no_decision(seed: int) -> None:
    with uncached_references():
        expected = run_random_workload(seed)
    assert run_random_workload(seed) == expected
    assert sum(map(len, expected)) > 40


def test_job_without_capacity_spares_larger_jobs_the_search(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against hundreds of waiting jobs that each search all machines of a full fleet again."""
    cluster_state = make_cluster_state()
    workers = [FakeWorker(cluster_state, f"i-{n}") for n in range(20)]
    for worker in workers:
        worker.send_heartbeat(NOW)
        worker.send_heartbeat(NOW)
    cluster_state.add_job(job(1, task_count=20 * 8 - 10, accepted_ms=1), 1)
    scheduling_pass.run_scheduling_pass(cluster_state, NOW)
    for number in range(100):
        cluster_state.add_job(job(2 + number, task_count=3, cpus=7.0 + number / 200, accepted_ms=2 + number), 1)
    search_count = 0
    candidate_machines = task_placement.candidate_machines

    def counting_candidate_machines(*args: Any) -> list[Machine]:
        nonlocal search_count
        search_count += 1
        return candidate_machines(*args)

    monkeypatch.setattr(scheduling_pass, "candidate_machines", counting_candidate_machines)
    assert scheduling_pass.run_scheduling_pass(cluster_state, NOW).placed_count <= 3
    assert search_count <= 4
