"""Room kept free for classes that must start at once, and what lower work may not take of it."""

import msgspec

from roseweir.clock import seconds
from roseweir.placement.board import Board
from roseweir.placement.model import Phase
from roseweir.placement.plan import plan
from roseweir.settings import Objective
from roseweir.submissions.jobs import GANG, SERVICE
from roseweir.tuning import Tuning
from roseweir.workers.messages import RUNNING
from tests.samples import spec as job
from tests.test_placement import NOW, TERM, Hand, new_board
from tests.world import settings


def board_with_aim(within_s: float) -> Board:
    board = new_board()
    given = msgspec.structs.replace(
        settings(0).params,
        objectives=[Objective(kind="wait", share=0.9, job_class="viewer", within_s=within_s)],
    )
    fresh = Board(msgspec.structs.replace(settings(0), params=given), Tuning(), TERM, NOW)
    fresh.catalog = board.catalog
    return fresh


def viewer(number: int, tasks: int = 4) -> object:
    return job(
        number, job_class="viewer", kind=SERVICE, tasks=tasks, cpus=2.0, priority=0, spread=True, spot=False, image="v"
    )


def full(within_s: float = 1.0) -> tuple[Board, list[Hand]]:
    board = board_with_aim(within_s)
    hands = [Hand(board, f"i-{n:03d}", "cpu", "ab"[n % 2]) for n in range(40)]
    for hand in hands:
        hand.report(NOW)
    board.add_job(viewer(1), 1)  # type: ignore[arg-type]
    board.add_job(job(2, tasks=400, cpus=1.0, priority=2, image="w"), 2)
    plan(board, NOW)
    return board, hands


def test_lower_work_leaves_room_in_each_zone_and_the_next_service_starts_at_once() -> None:
    board, _ = full()
    assert len(board.jobs["j-000001"].placed) == 4
    # A job's worth in each zone: half of four tasks of 2 CPUs.
    free = {z: sum(m.free_cpus for m in board.machines.values() if m.zone == z) for z in "ab"}
    assert free == {"a": 4.0, "b": 4.0}
    board.add_job(viewer(3), 3)  # type: ignore[arg-type]
    plan(board, NOW)
    assert len(board.jobs["j-000003"].placed) == 4
    zones = [p.machine.zone for p in board.jobs["j-000003"].placed.values()]
    assert zones.count("a") == zones.count("b") == 2


def test_nothing_is_kept_where_machines_boot_in_time() -> None:
    """4 s is what they take here: a class that may wait longer can be rented for."""
    board, _ = full(within_s=30.0)
    assert board.headroom.kept == {}
    assert sum(m.free_cpus for m in board.machines.values()) == 0


def test_no_more_than_a_part_of_a_zone_is_kept() -> None:
    board = board_with_aim(1.0)
    for n in range(8):
        Hand(board, f"i-{n:03d}", "cpu", "ab"[n % 2]).report(NOW)
    board.add_job(viewer(1, tasks=30), 1)  # type: ignore[arg-type]
    board.add_job(job(2, tasks=400, cpus=1.0, priority=2), 2)
    plan(board, NOW)
    # 6% of the 32 CPUs of a zone is less than a task.
    assert board.headroom.kept == {}


def test_work_of_the_same_rank_or_within_a_guarantee_need_not_leave_it() -> None:
    board, _ = full()
    same = board.add_job(job(4, tasks=8, cpus=1.0, priority=0), 4)
    plan(board, NOW + seconds(1))
    assert len(same.placed) == 8


def test_where_the_headroom_is_not_enough_lower_work_makes_room_the_shortest_run_first() -> None:
    board, hands = full()
    first = board.add_job(viewer(5), 5)  # type: ignore[arg-type]
    second = board.add_job(viewer(6, tasks=8), 6)  # type: ignore[arg-type]
    plan(board, NOW)
    assert len(first.placed) == 4 and len(second.placed) == 0
    for hand in hands:
        hand.report(NOW)
        hand.report(NOW)
    low = board.jobs["j-000002"]
    for placement in low.placed.values():
        placement.phase, placement.state = Phase.SEEN, RUNNING
        placement.running_since = NOW - seconds(placement.index)
    plan(board, NOW + seconds(0.1))
    assert not any(p.halt_at for p in low.placed.values()), "it waits for a moment"
    plan(board, NOW + seconds(0.6))
    stopped = [p for p in low.placed.values() if p.halt_at is not None]
    zones = [p.machine.zone for p in stopped]
    # 8 tasks of 2 CPUs, half of them in each zone, for victims of 1 CPU.
    assert len(stopped) == 16 and zones.count("a") == 8
    assert max(p.index for p in stopped) < 200
    plan(board, NOW + seconds(0.7))
    assert len([p for p in low.placed.values() if p.halt_at is not None]) == 16, "room is being made already"
    board.add_job(job(7, tasks=4, priority=0, cpus=2.0), 7)
    plan(board, NOW + seconds(2))
    assert len([p for p in low.placed.values() if p.halt_at is not None]) == 16, "not for a class without such an aim"


def test_after_a_while_it_uses_machines_kept_clear_for_gpu_work_of_lower_rank() -> None:
    board = board_with_aim(1.0)
    hands = [Hand(board, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(2)]
    for hand in hands:
        hand.report(NOW)
    board.add_job(job(1, tasks=1, gpus=2.0, cpus=8.0, priority=2, zone="c"), 1)
    run = board.add_job(viewer(2), 2)  # type: ignore[arg-type]
    plan(board, NOW)
    assert len(run.placed) == 0, "all CPUs of the machines come with their GPUs"
    plan(board, NOW + seconds(4))
    assert len(run.placed) == 0
    for hand in hands:
        hand.report(NOW + seconds(5))
    plan(board, NOW + seconds(5))
    assert len(run.placed) == 4


def test_gangs_are_never_stopped_for_a_few_cpus() -> None:
    """One that saves loses little by it, so it was the first to be stopped."""
    board = board_with_aim(1.0)
    hands = [Hand(board, f"i-{n:03d}", "gpu", "ab"[n % 2]) for n in range(2)]
    for hand in hands:
        hand.report(NOW)
    gang = board.add_job(job(1, tasks=2, kind=GANG, gpus=2.0, cpus=8.0, priority=2, checkpoint_s=15.0, save_s=4.0), 1)
    plan(board, NOW)
    assert len(gang.placed) == 2
    for placement in gang.placed.values():
        placement.phase, placement.state, placement.running_since = Phase.SEEN, RUNNING, NOW
    board.spill_until = NOW + seconds(60)
    run = board.add_job(viewer(2), 2)  # type: ignore[arg-type]
    for later in (0.0, 0.5, 1.0, 1.5):
        plan(board, NOW + seconds(later))
    assert len(run.placed) == 0 and not any(p.halt_at for p in gang.placed.values())
