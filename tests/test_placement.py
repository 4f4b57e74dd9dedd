"""Decisions on a board, without a service around it."""

from collections import deque
from datetime import datetime, timedelta
from typing import Any

import orjson
import pytest

from roseweir.clock import ZERO, seconds
from roseweir.cloud.plan import surplus, wanted
from roseweir.limits.rules import renew_fetch_limits
from roseweir.placement.board import Board
from roseweir.placement.explain import explain
from roseweir.placement.model import JobRun, Machine, Phase
from roseweir.placement.plan import Pass, plan
from roseweir.placement.record import Note, Pages
from roseweir.placement.recorder import Found
from roseweir.submissions.jobs import GANG, SERVICE, MachineType
from roseweir.tuning import Tuning
from roseweir.workers.messages import Report, TaskReport
from tests.samples import spec as job
from tests.world import settings

NOW = datetime(2000, 1, 1)
CPU = MachineType("cpu", 8, 0, 64, 50, 1.0, 1.0, 0.3, 10, ("a", "b"))
GPU = MachineType("gpu", 8, 2, 64, 50, 1.0, 6.0, 2.0, 10, ("a", "b"))
TERM = 3


def new_board() -> Board:
    board = Board(settings(0), Tuning(), TERM, NOW)
    board.catalog = {"cpu": CPU, "gpu": GPU}
    return board


class Hand:
    """A worker moved by hand."""

    def __init__(self, board: Board, name: str, kind: str = "cpu", zone: str = "a") -> None:
        self.board, self.name, self.kind, self.zone = board, name, kind, zone
        self.seq = 0
        self.tasks: dict[tuple[str, int], TaskReport] = {}

    def body(self, term: int = TERM, session: int = 1) -> Report:
        self.seq += 1
        return Report(
            self.name, "10.1.0.1:9", self.kind, self.zone, False, session, self.seq, term, list(self.tasks.values())
        )

    def report(self, now: datetime, term: int = TERM, session: int = 1) -> list[dict[str, Any]]:
        machine = self.board.take_report(self.body(term, session), now)
        assert machine is not None
        orders = self.board.orders(machine, now, may_run=True)
        for order in orders:
            key = (order["parcel"], order["try"])
            if order["verb"] == "run":
                self.tasks[key] = TaskReport(*key, "running")
            elif order["verb"] == "clear":
                self.tasks.pop(key, None)
        return orders

    def ends(self, task: str, why: str) -> None:
        for key in self.tasks:
            if key[0] == task:
                self.tasks[key] = TaskReport(*key, "exited", why)
                return
        raise AssertionError(f"{task} is not there: {list(self.tasks)}")

    @property
    def machine(self) -> Machine:
        return self.board.machines[self.name]


def record(board: Board) -> None:
    """What the recorder does once the state service has confirmed."""
    for machine in board.machines.values():
        for placement in machine.placements.values():
            if placement.phase == Phase.PLANNED:
                placement.phase = Phase.READY


def start(board: Board, now: datetime, *hands: Hand) -> None:
    plan(board, now)
    record(board)
    for hand in hands:
        hand.report(now)
        hand.report(now)


def test_no_run_before_the_record_and_none_without_a_lease() -> None:
    board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    board.add_job(job(1), 1)
    plan(board, NOW)
    assert hand.report(NOW) == []
    record(board)
    machine = board.take_report(hand.body(), NOW)
    assert machine is not None and board.orders(machine, NOW, may_run=False) == []
    assert [o["verb"] for o in hand.report(NOW)] == ["run"]


def test_absence_needs_a_later_report_of_the_workers_own() -> None:
    board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    run = board.add_job(job(1), 1)
    plan(board, NOW)
    record(board)
    machine = board.take_report(hand.body(), NOW)
    assert machine is not None
    assert [o["verb"] for o in board.orders(machine, NOW, may_run=True)] == ["run"]
    # The answer is still under way. A direct command's answer lists nothing, and proves nothing.
    board.learn_direct(hand.body(), NOW)
    assert run.placed[0].phase == Phase.SENT
    # A late report is older than what is known, and says nothing either.
    late = Report("i-1", "10.1.0.1:9", "cpu", "a", False, 1, 1, TERM, [])
    assert board.take_report(late, NOW) is None
    # The worker's next report proves the answer dropped: the recorded order may go out again.
    assert [o["verb"] for o in hand.report(NOW)] == ["run"]


def test_recorded_tasks_count_until_the_machine_shows_our_term() -> None:
    board = new_board()
    run = board.add_job(job(1, tasks=2, gpus=2.0), 1)
    machine = board.restore_machine("i-1", GPU, "a", False, NOW)
    board.restore(run, 0, machine, 7, NOW)
    hand = Hand(board, "i-1", "gpu")
    assert board.take_report(hand.body(TERM - 1), NOW) is None
    assert 0 in run.placed and board.usage["t0"].gpus == 2.0
    plan(board, NOW)
    assert list(run.placed) == [0]
    hand.report(NOW, term=TERM)
    assert run.placed == {}
    # One that never reports is waited out: hold-over and a lease.
    other = board.restore_machine("i-2", GPU, "a", False, NOW)
    board.restore(run, 1, other, 8, NOW)
    board.sweep(board.unproven_until - seconds(0.1))
    assert 1 in run.placed
    board.sweep(board.unproven_until + seconds(0.1))
    assert 1 not in run.placed


def test_completion_is_recorded_before_the_worker_may_forget_it() -> None:
    board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    run = board.add_job(job(1, tasks=2), 1)
    start(board, NOW, hand)
    hand.ends("j-000001/0", "done")
    assert hand.report(NOW) == [] and run.unsaved == {0}
    run.unsaved.clear()
    assert [o["verb"] for o in hand.report(NOW)] == ["clear"]


def test_room_made_for_a_gang_does_not_go_to_others_piece_by_piece() -> None:
    board = new_board()
    hand = Hand(board, "i-1", "gpu")
    hand.report(NOW)
    low = board.add_job(job(1, tasks=6, gpus=1.0, priority=3, checkpoint_s=5.0, save_s=1.0), 1)
    start(board, NOW, hand)
    assert len(low.placed) == 2
    gang = board.add_job(job(2, team="t1", kind=GANG, gpus=2.0, priority=1), 2)
    plan(board, NOW)
    plan(board, NOW + seconds(2))
    victims = [p for p in low.placed.values() if p.halt_at is not None]
    assert len(victims) == 2
    hand.ends(victims[0].name, "halted")
    hand.report(NOW + seconds(3))
    plan(board, NOW + seconds(3))
    assert len(low.placed) == 1, "the first victim's place was filled again"
    hand.ends(victims[1].name, "halted")
    hand.report(NOW + seconds(4))
    plan(board, NOW + seconds(4))
    assert len(gang.placed) == 1


def test_promise_that_ran_out_does_not_keep_its_own_job_from_asking_again() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}", "gpu") for n in range(2)]
    for hand in hands:
        hand.report(NOW)
    low = board.add_job(job(1, tasks=2, gpus=2.0, priority=3), 1)
    start(board, NOW, *hands)
    board.add_job(job(2, team="t1", gpus=2.0, priority=1), 2)
    # Room was promised on a machine and never came; no other job waits that would look at the promise.
    hands[0].machine.promised, hands[0].machine.promised_until = "j-000002", NOW + seconds(15)
    for later, stopped in ((2, 0), (16, 1)):
        for hand in hands:
            hand.report(NOW + seconds(later))
        plan(board, NOW + seconds(later))
        assert sum(p.halt_at is not None for p in low.placed.values()) == stopped


def fail(hand: Hand, run: JobRun, now: datetime) -> None:
    index = next(i for i, p in run.placed.items() if p.machine is hand.machine)
    hand.ends(f"{run.spec.id}/{index}", "error")
    hand.report(now)


def test_faulty_machine_leaves_but_a_mistaken_job_condemns_none() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}") for n in range(4)]
    for hand in hands:
        hand.report(NOW)
    mistaken = board.add_job(job(1, tasks=8, cpus=4.0), 1)
    start(board, NOW, *hands)
    for hand in hands:
        fail(hand, mistaken, NOW)
    assert not any(h.machine.leaving for h in hands)
    # All but the first failures spoke against the job; those machines are not even paused.
    assert [h.machine.sick_until > NOW for h in hands] == [False] * 4
    board.end_job("j-000001", _cancelled(mistaken), NOW)

    board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    runs = [board.add_job(job(n), n) for n in (1, 2)]
    start(board, NOW, hand)
    fail(hand, runs[0], NOW)
    assert hand.machine.sick_until > NOW and not hand.machine.leaving
    fail(hand, runs[1], NOW)
    assert hand.machine.leaving


def _cancelled(run: JobRun) -> Any:
    from roseweir.submissions.jobs import ended

    return ended(run.spec, "cancelled")


def test_slow_machine_goes_back_after_two_arrays() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}") for n in range(5)]
    now = NOW
    for hand in hands:
        hand.report(now)
    for number in (1, 2):
        run = board.add_job(job(number, tasks=40), number)
        start(board, now, *hands)
        assert not hands[0].machine.leaving
        for wait, group in ((10, hands[1:]), (20, hands[:1])):
            now += seconds(wait)
            for hand in group:
                for task in [p.name for p in hand.machine.placements.values()]:
                    hand.ends(task, "done")
                hand.report(now)
        run.unsaved.clear()
        for hand in hands:
            hand.report(now)
    assert [hand.machine.leaving for hand in hands] == [True, False, False, False, False]


def test_cpu_work_spills_onto_gpu_machines_only_while_nothing_else_can_be_had() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}", "gpu") for n in range(4)]
    for hand in hands:
        hand.report(NOW)
    board.add_job(job(1, gpus=2.0, cpus=8.0), 1)
    plan(board, NOW)
    record(board)
    cpu = board.add_job(job(2, tasks=100), 2)
    plan(board, NOW)
    assert len(cpu.placed) == 0
    board.spill_until = NOW + seconds(30)
    plan(board, NOW)
    # One machine is taken by GPU work, and two starts' worth are kept clear.
    assert len(cpu.placed) == 8


def test_silent_machine_goes_back_but_not_a_silent_zone() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{zone}{n}", zone=zone) for zone in "ab" for n in range(4)]
    for hand in hands:
        hand.report(NOW)
    board.add_job(job(1, tasks=64), 1)
    start(board, NOW, *hands)
    later = NOW + seconds(7.5)
    for hand in hands[1:]:
        hand.report(later)
    # The zone has only just been heard (again): the last one to turn up is not at fault yet.
    assert [m.name for m, why in surplus(board, Pass(), later) if why == "silent"] == []
    later += seconds(7.5)
    for hand in hands[1:]:
        hand.report(later)
    assert [m.name for m, why in surplus(board, Pass(), later) if why == "silent"] == ["i-a0"]
    much_later = later + seconds(7.5)
    for hand in hands[4:]:
        hand.report(much_later)
    assert [m.name for m, why in surplus(board, Pass(), much_later) if why == "silent"] == []


def test_rents_the_cheapest_that_fits_and_nothing_for_work_held_by_a_teams_limit() -> None:
    board = new_board()
    board.add_job(job(1, tasks=16, spot=False), 1)
    wants, exhausted = wanted(board, plan(board, NOW), {}, 0, NOW)
    assert {w.type_name for w in wants} == {"cpu"} and not any(w.spot for w in wants) and not exhausted
    refused = {("cpu", zone, spot): NOW + seconds(9) for zone in "ab" for spot in (True, False)}
    wants, exhausted = wanted(board, plan(board, NOW), refused, 0, NOW)
    assert {w.type_name for w in wants} == {"gpu"} or exhausted

    board = new_board()
    hands = [Hand(board, f"i-{n}", "gpu") for n in range(3)]
    for hand in hands:
        hand.report(NOW)
    run = board.add_job(job(1, tasks=20, gpus=1.0), 1)
    start(board, NOW, *hands)
    assert len(run.placed) == 6  # the team's limit
    assert wanted(board, plan(board, NOW), {}, 0, NOW)[0] == []


def booting(board: Board, name: str, since: datetime, kind: MachineType = CPU) -> Machine:
    machine = Machine(name, kind, "a", False, known_since=since)
    machine.booting = machine.rented = True
    machine.rented_at = since
    board.machines[name] = machine
    return machine


def test_slow_boots_are_waited_for_instead_of_being_ordered_again() -> None:
    """A late machine gets a substitute. When late ones outnumber those on time, others would be as late."""
    board = new_board()
    board.add_job(job(1, tasks=64, spot=False, types=["cpu"], zone="a"), 1)
    machines = [booting(board, f"i-{n}", NOW) for n in range(4)]
    late = NOW + CPU.boot * 2.5
    assert wanted(board, plan(board, late), {}, 0, late)[0] == []
    # Those still booting are mostly late on any day: what came up on time speaks against slow boots.
    board.boots["cpu"] = deque((NOW + CPU.boot, 1.0) for _ in range(8))
    assert sum(w.count for w in wanted(board, plan(board, late), {}, 0, late)[0]) >= 3

    # Some came up after five times the catalog's figure: the next ones are not given back before that.
    slow = NOW + CPU.boot * 5
    board.boots.clear()
    for number in range(4, 7):
        booting(board, f"i-{number}", NOW)
        Hand(board, f"i-{number}").report(slow)
    for machine in machines:
        machine.rented_at = slow
    almost = slow + CPU.boot * 19
    assert [why for m, why in surplus(board, Pass(), slow + CPU.boot * 12) if m.booting] == []
    board.boots["cpu"] = deque((almost, taken) for _, taken in board.boots["cpu"])
    assert [why for m, why in surplus(board, Pass(), almost) if m.booting] == []
    assert [why for m, why in surplus(board, Pass(), almost + CPU.boot * 3) if m.booting] == ["never came up"] * 4


def test_machine_found_booting_in_the_list_may_be_up_and_is_heard_first() -> None:
    """After a take-over machines at work went back at once: they had been ordered long ago (inc-1d61)."""
    board = new_board()
    found = booting(board, "i-1", NOW - seconds(900))
    found.rented, found.known_since = False, NOW
    assert surplus(board, Pass(), NOW + seconds(3)) == []
    assert [why for _, why in surplus(board, Pass(), NOW + seconds(20))] == ["never came up"]


def test_for_a_mistaken_job_no_room_is_made_and_it_goes_last() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}", "gpu") for n in range(4)]
    for hand in hands:
        hand.report(NOW)
    mistaken = board.add_job(job(1, tasks=4, gpus=1.0, kind=GANG, team="t0"), 1)
    for hand in hands[:3]:
        mistaken.error_machines.add(hand.name)
    board.add_job(job(2, tasks=8, gpus=1.0, priority=3, team="t1"), 1)
    left = start_pass(board, NOW)
    assert not any(run is mistaken for run, _ in left.left)
    assert not any(m.promised for m in board.machines.values())
    mistaken.error_machines.clear()
    assert any(run is mistaken for run, _ in start_pass(board, NOW + seconds(5)).left)


def test_operators_are_told_what_a_job_waits_for() -> None:
    board = new_board()
    board.add_job(job(1, tasks=3), 1)
    told = explain(board, "j-000001", NOW)
    assert told is not None and told["tasks_waiting"] == 3
    assert told["waits_for"] == "a machine that fits; 0 are booting"
    hand = Hand(board, "i-1", "gpu")
    hand.report(NOW)
    board.add_job(job(2, tasks=20, gpus=1.0), 2)
    hand.report(NOW)
    start_pass(board, NOW)
    waits = [(explain(board, f"j-00000{n}", NOW) or {})["waits_for"] for n in (1, 2)]
    assert waits == [None, "room on the machines that fit"]
    board.usage["t0"].gpus = 6.0
    assert (explain(board, "j-000002", NOW) or {})["waits_for"] == "its team's limit"
    assert explain(board, "j-000009", NOW) is None


def start_pass(board: Board, now: datetime) -> Pass:
    for machine in board.machines.values():
        machine.shown, machine.heard = True, now
    return plan(board, now)


def test_limits_after_a_take_over_release_at_most_a_window_and_the_burst() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}") for n in range(40)]
    for hand in hands:
        hand.report(NOW)
    tuning = Tuning(fetch_share=0.1, fetch_burst_gb=10.0)
    renew_fetch_limits(board.limits, [("a", CPU)] * 40, tuning, NOW)
    runs = [board.add_job(job(n, tasks=2, cpus=4.0, image=f"img-{n}", image_gb=10.0), n) for n in range(40)]
    plan(board, NOW)
    fetched = {(p.machine.name, r.spec.image) for r in runs for p in r.placed.values()}
    window = 40 * 0.1 * tuning.fetch_window.total_seconds()
    assert 0 < len(fetched) * 10.0 <= window + tuning.fetch_burst_gb
    # Tasks whose image is at hand are not held up by a zone's empty bucket.
    hands[39].machine.keep_image("img-own", 1.0)
    own = board.add_job(job(99, team="t1", image="img-own", image_gb=9.0), 99)
    plan(board, NOW)
    assert len(own.placed) == 1


def test_machine_that_moves_stays_on_its_old_page_until_the_new_one_is_written() -> None:
    board = new_board()
    pages = Pages(1024)
    run = board.add_job(job(1, tasks=4000, cpus=0.001, memory_gb=0.001), 1)
    machines = [board.restore_machine(f"i-{n}", CPU, "a", False, NOW) for n in range(3)]
    for n, machine in enumerate(machines):
        board.restore(run, n, machine, 5, NOW)
        pages.update(board, machine.name)
    first = pages.of["i-1"]
    for index in range(100, 300):
        board.restore(run, index, machines[1], 5, NOW)
    pages.update(board, "i-1")
    moved = pages.of["i-1"]
    assert moved != first
    pages.written(first, 2)
    assert "i-1" in pages.pages[first] and "i-1" not in pages.held(first)
    reader = Pages(1024)
    for number in pages.pages:
        reader.load(number, pages.value(number), 1)
    assert reader.older == {"i-1": {max(first, moved)}}
    reader.written(min(first, moved), 2)
    assert "i-1" not in reader.pages[max(first, moved)] and max(first, moved) in reader.dirty
    pages.written(moved, 3)
    assert "i-1" not in pages.pages[first] and first in pages.dirty


def test_of_two_records_of_a_task_only_the_newer_start_counts() -> None:
    """A page told of a task's earlier place, which was proven gone; the later one had not been heard yet."""
    machines = {n: Machine(f"i-{n}", CPU, "a", False) for n in (1, 2, 3)}
    for order in ((1, 2, 3), (3, 2, 1), (2, 3, 1)):
        found = Found()
        for n in order:
            found.add("j-1", {{1: "5", 2: "5.1", 3: "4.7"}[n]: [0]}, machines[n], None)
        assert found.newest["j-1", 0] == ((5, 1), machines[2], None)
        assert found.stale == {"i-1", "i-3"}


def test_note_holds_hundreds_of_starts_and_lets_go_of_what_pages_hold() -> None:
    board = new_board()
    run = board.add_job(job(1, tasks=3000, cpus=0.1, memory_gb=0.1), 1)
    note = Note()
    for n in range(40):
        machine = board.restore_machine(f"i-{n:06d}", CPU, "a", False, NOW)
        for index in range(n * 20, n * 20 + 20):
            note.start(board.place(run, index, machine, 7, NOW))
    for index in range(2000, 2200):
        run.noted.add(index)
        note.completion(run, index)
    assert note.size * 0.5 < len(orjson.dumps(note.value())) <= note.size < 8192
    for index in range(0, 700):
        run.placed[index].paged = True
    run.noted.clear()
    note.prune()
    assert note.value()["starts"]["j-000001"]["7"] == {
        f"i-{n:06d}": list(range(n * 20, n * 20 + 20)) for n in range(35, 40)
    }
    assert note.value()["done"] == {}


@pytest.mark.parametrize("grace", [0.0, 5.0])
def test_cancelled_task_is_halted_until_it_is_gone(grace: float) -> None:
    board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    run = board.add_job(job(1, checkpoint_s=grace, save_s=1.0), 1)
    start(board, NOW, hand)
    board.end_job("j-000001", _cancelled(run), NOW)
    for _ in range(3):
        orders = hand.report(NOW)
        assert [(o["verb"], o["wind_down_s"]) for o in orders] == [("halt", ZERO.total_seconds())]
    hand.ends("j-000001/0", "halted")
    assert [o["verb"] for o in hand.report(NOW + timedelta(seconds=1))] == ["clear"]
    assert "j-000001" not in board.jobs


def test_service_that_runs_well_is_not_at_fault_for_the_machines_that_fail_it() -> None:
    """Its failures summed up over its life: after three faulty machines it went behind all lower work."""
    board = new_board()
    hands = [Hand(board, f"i-{n}") for n in range(6)]
    for hand in hands:
        hand.report(NOW)
    service = board.add_job(job(1, kind=SERVICE, tasks=12, cpus=4.0, priority=0), 1)
    start(board, NOW, *hands)
    later = NOW + seconds(30)
    for number, hand in enumerate(hands[:4]):
        at = later + seconds(number)
        for placement in hand.machine.placements.values():
            placement.running_since = at - seconds(1)
        fail(hand, service, at)
        assert hand.machine.leaving, "it failed a sound service at once"
        assert not service.mistaken and service.failures == 0
    assert "restart:j-000001" not in board.limits.by_tag


def test_service_that_fails_wherever_it_starts_is_mistaken() -> None:
    board = new_board()
    hands = [Hand(board, f"i-{n}") for n in range(4)]
    for hand in hands:
        hand.report(NOW)
    service = board.add_job(job(1, kind=SERVICE, tasks=8, cpus=4.0, priority=0), 1)
    start(board, NOW, *hands)
    for hand in hands[:3]:
        fail(hand, service, NOW + seconds(2))
    assert service.mistaken and not any(h.machine.leaving for h in hands)
    # The last one's replicas go on, and speak for it.
    plan(board, NOW + seconds(20))
    assert not service.mistaken
