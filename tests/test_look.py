"""What a pass remembers changes no decision: the plain scan of every machine for every job is the reference."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import datetime
from typing import Any

import pytest

from roseweir.clock import FOREVER, seconds
from roseweir.limits.rules import renew_fetch_limits
from roseweir.placement import plan as planning
from roseweir.placement.board import Board
from roseweir.placement.look import Look, suits
from roseweir.placement.model import JobRun, Machine
from roseweir.submissions.jobs import ARRAY, GANG, JobSpec
from tests.samples import spec as job
from tests.test_placement import NOW, Hand, new_board, record


def scan(
    look: Look, run: JobRun, machines: list[Machine], reserved: dict[str, datetime], unwanted: Any, reserves: Any
) -> list[Machine]:
    """As it was written first: each job looks at every machine and remembers nothing."""
    spec, board, now = run.spec, look.board, look.now
    ends = now + board.estimate(spec) if spec.kind == ARRAY and spec.estimate_s > 0 else FOREVER
    fit = [
        m
        for m in machines
        if suits(spec, m)
        and ends <= reserved.get(m.name, FOREVER)
        and not planning._promised_away(board, m, spec, now)
        and m.name not in run.error_machines
        and reserves.room(m, spec) > 0
        and not any(limit.matches(spec, m) for limit in unwanted)
    ]
    return sorted(fit, key=lambda m: planning._score(look, spec, m))


@contextmanager
def plainly() -> Iterator[None]:
    """Nothing of what was found out for one job serves another."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(planning, "_candidates", scan)
        patch.setattr(Look, "is_full", lambda self, spec, access: False)
        patch.setattr(Look, "soonest", soonest)
        patch.setattr(Look, "_timeline", fresh_timeline)
        patch.setattr(Machine, "has_image", has_image)
        yield


def soonest(look: Look, spec: JobSpec, zone: str | None, wanted: int, passed_over: Any) -> list[Any]:
    times: list[tuple[datetime, str, Machine]] = []
    for machine in look.machines:
        fits = machine.type.gpus > 0 and suits(spec, machine) and spec.fits(machine.type)
        if fits and zone in (None, machine.zone) and not passed_over(machine):
            times += [(when, machine.name, machine) for when in look._room_at(machine, spec, wanted)]
    return [(when, machine) for when, _, machine in sorted(times, key=lambda t: t[:2])[:wanted]]


def fresh_timeline(look: Look, machine: Machine) -> list[Any]:
    ends = [(p.expected_end(look.now, look.board.estimate(p.run.spec)), p) for p in machine.placements.values()]
    return sorted(ends, key=lambda pair: pair[0])


def has_image(machine: Machine, image: str) -> bool:
    return image in machine.images or any(
        p.run.spec.image == image and p.halt_at is None for p in machine.placements.values()
    )


def drawn(draw: random.Random, number: int) -> JobSpec:
    gpus = draw.choice([0.0, 0.0, 1.0, 2.0])
    kind = draw.choice([ARRAY, ARRAY, GANG])
    return job(
        number,
        team=draw.choice(["t0", "t1", "guest"]),
        kind=kind,
        tasks=draw.randint(1, 2) if kind == GANG else draw.randint(1, 12),
        gpus=gpus,
        cpus=round(draw.uniform(0.5, 3.0), 1),
        memory_gb=round(draw.uniform(1.0, 9.0), 1),
        priority=draw.randint(0, 3),
        image=f"img-{draw.randint(0, 3)}",
        image_gb=2.0,
        zone=draw.choice([None, None, "a"]),
        one_zone=draw.random() < 0.2,
        spread=draw.random() < 0.1,
        spot=draw.random() < 0.6,
        estimate_s=draw.choice([0.0, 5.0, 60.0]),
        checkpoint_s=draw.choice([0.0, 10.0]),
        accepted_ms=number,
    )


def play(seed: int) -> list[list[tuple[str, int, str, int]]]:
    """What each pass of a drawn stretch of work placed: job, task, machine, attempt."""
    draw = random.Random(seed)
    board, now = new_board(), NOW
    hands = []
    for n in range(14):
        hands.append(Hand(board, f"i-{n:03d}", draw.choice(["cpu", "gpu"]), draw.choice("ab")))
        hands[-1].report(now)
        hands[-1].machine.spot = draw.random() < 0.4
    told: list[list[tuple[str, int, str, int]]] = []
    for number in range(40):
        now += seconds(draw.choice([0.2, 1.0, 4.0]))
        renew_fetch_limits(board.limits, [(m.zone, m.type) for m in board.machines.values()], board.tuning, now)
        for _ in range(draw.randint(0, 3)):
            spec = drawn(draw, number * 10 + len(board.jobs))
            if spec.id not in board.jobs:
                board.add_job(spec, 1)
        planning.plan(board, now)
        told.append(sorted((p.run.spec.id, p.index, p.machine.name, p.attempt) for p in board.planned))
        board.planned.clear()
        record(board)
        for hand in hands:
            if draw.random() < 0.8:
                hand.report(now)
            for key, task in list(hand.tasks.items()):
                if task.state == "running" and draw.random() < 0.15:
                    hand.ends(key[0], draw.choice(["done", "done", "error", "halted"]))
        recount(board)
    return told


def recount(board: Board) -> None:
    """What is kept by addition is what a sum over everything gives."""
    for machine in board.machines.values():
        for image in ("img-0", "img-1", "img-2", "img-3"):
            assert machine.has_image(image) == has_image(machine, image)
    covered = {run.spec.id: run.covered for run in board.jobs.values()}
    if not board.roster_changed:
        board.roster_changed = True
        planning.mark_covered(board)
        assert covered == {run.spec.id: run.covered for run in board.jobs.values()}


@pytest.mark.parametrize("seed", range(40))
def test_what_a_pass_remembers_changes_no_decision(seed: int) -> None:
    with plainly():
        expected = play(seed)
    assert play(seed) == expected
    assert sum(map(len, expected)) > 40


def test_a_job_that_finds_no_room_spares_larger_ones_the_search(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a full fleet each of hundreds of waiting jobs looked at the machines again."""
    board = new_board()
    hands = [Hand(board, f"i-{n}") for n in range(20)]
    for hand in hands:
        hand.report(NOW)
        hand.report(NOW)
    board.add_job(job(1, tasks=20 * 8 - 10, accepted_ms=1), 1)
    planning.plan(board, NOW)
    for number in range(100):
        board.add_job(job(2 + number, tasks=3, cpus=7.0 + number / 200, accepted_ms=2 + number), 1)
    searches = 0
    search = planning._candidates

    def counted(*args: Any) -> list[Machine]:
        nonlocal searches
        searches += 1
        return search(*args)

    monkeypatch.setattr(planning, "_candidates", counted)
    assert planning.plan(board, NOW).placed <= 3
    assert searches <= 4
