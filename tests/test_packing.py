"""Large tasks that fit in total and nowhere: places that are spared, and replicas that move, whoever falls."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
import sexpdata

from roseweir.clock import seconds
from roseweir.drain.settings import Budget, DrainSettings
from roseweir.forms import SettingsError
from roseweir.packing.choice import Choice
from roseweir.packing.desk import PackingDesk
from roseweir.packing.moves import Ground, Move, Plan, back, cheaper_to_rent, gap_s, make_room, move_gang
from roseweir.packing.pieces import count, line
from roseweir.packing.settings import PackingSettings, parse_packing
from roseweir.placement.board import Board
from roseweir.placement.explain import explain
from roseweir.placement.look import Size
from roseweir.placement.model import JobRun, Machine, Phase
from roseweir.placement.plan import plan
from roseweir.submissions.jobs import ARRAY, GANG, SERVICE, MachineType, refusal
from roseweir.tuning import Tuning
from roseweir.workers import messages as wire
from tests.disturbance import DrainWorld
from tests.samples import spec as job
from tests.test_placement import CPU, NOW, Hand, new_board, record
from tests.test_rules import check
from tests.world import World, now

BIG = MachineType("gpu", 96, 8, 384, 200, 1.0, 24.0, 9.0, 50, ("a", "b"))
LARGE: Size = (80.0, 8.0, 304.0)


def place_of(count: int, ordinary: int = 0) -> tuple[Board, list[Hand]]:
    board = new_board()
    board.catalog = {"cpu": CPU, "gpu": BIG}
    board.teams["t0"].gpus_max = board.teams["t1"].gpus_max = 0.0
    hands = [Hand(board, f"i-{n:02d}", "gpu" if n < count else "cpu", "ab"[n % 2]) for n in range(count + ordinary)]
    for hand in hands:
        hand.report(NOW)
    return board, hands


def service(board: Board, number: int, gpus: float, **more: Any) -> JobRun:
    fields = {"kind": SERVICE, "gpus": gpus, "cpus": 10.0 * gpus, "memory_gb": 38.0 * gpus, "estimate_s": 0.0}
    return board.add_job(job(number, **(fields | {"image": f"m{number}", "image_gb": 8.0 * gpus} | more)), number)


def runs_on(board: Board, run: JobRun, machine: Machine, index: int = 0) -> None:
    placed = board.place(run, index, machine, 1, NOW)
    placed.phase, placed.state, placed.running_since = Phase.SEEN, wire.RUNNING, NOW
    run.next_fresh = max(run.next_fresh, index + 1)


def ground(board: Board, stays: Callable[[str, int], bool] = lambda job, index: False) -> Ground:
    choice = Choice()
    choice.look(board.jobs.values(), list(board.machines.values()), NOW)
    return Ground(board, list(board.machines.values()), NOW, stays, {}, choice.breaks)


# -- measured -----------------------------------------------------------------------------------


def test_pieces_are_told_by_size_and_to_whom_they_are_missing() -> None:
    board, hands = place_of(4)
    for n, hand in enumerate(hands):
        for each in range(6):
            runs_on(board, service(board, 10 * n + each + 1, 1.0), hand.machine)
    large = service(board, 99, 8.0)
    machines = list(board.machines.values())
    found = count(machines, [(large.spec, 1)], [(10.0, 1.0, 38.0), LARGE])
    assert [(p.gpus, p.places, p.together, p.waiting) for p in found] == [(1.0, 8, 8, 0), (8.0, 0, 1, 1)]
    assert line(found[1]) == "8 GPUs, 80 CPUs: 0 places, 1 if together, 1 wait"
    plan(board, NOW)
    told = explain(board, large.spec.id, NOW)
    assert told is not None and told["waits_for"] == "room: in pieces, 8 GPUs free on 4 machines"


# -- chosen -------------------------------------------------------------------------------------


def _fill(seed: int, choose: bool) -> int:
    """Small services come and go on ten machines; how many large ones find a place as they come."""
    draw = random.Random(seed)
    board, hands = place_of(10)
    if choose:
        board.chooser = Choice()
        assert board.choosing is None, "no service takes GPUs yet"
    alive: list[JobRun] = []
    begun = 0
    for step in range(200):
        at = NOW + seconds(step * 5)
        if len(alive) > 33:
            gone = alive.pop(draw.randrange(len(alive)))
            gone.over = "cancelled"
            for placed in list(gone.placed.values()):
                board.remove(placed, at)
        small = service(board, 1000 + step, draw.choice([1.0, 1.0, 1.0, 4.0]), image=f"m{step % 6}")
        large = service(board, 5000 + step, 8.0, priority=3) if step % 10 == 9 else None
        for hand in hands:
            hand.machine.heard = at
        plan(board, at)
        record(board)
        alive.append(small)
        if large is not None:
            begun += bool(large.placed)
            large.over = "cancelled"
            for placed in list(large.placed.values()):
                board.remove(placed, at)
            board.jobs.pop(large.spec.id, None)
        for hand in hands:
            for placed in hand.machine.placements.values():
                placed.phase, placed.state = Phase.SEEN, wire.RUNNING
                hand.machine.keep_image(placed.run.spec.image, 8.0)
    return begun


def test_large_places_are_spared_where_they_are_scarce() -> None:
    plain, chosen = (sum(_fill(seed, choose) for seed in range(4)) for choose in (False, True))
    assert chosen > plain * 1.1, (plain, chosen)


# -- moved --------------------------------------------------------------------------------------


def test_the_cheapest_moves_make_room_and_none_is_made_for_lower_rank() -> None:
    board, hands = place_of(3)
    for n, hand in enumerate(hands):
        for each in range((2, 5, 5)[n]):
            runs_on(board, service(board, 10 * n + each + 1, 1.0), hand.machine)
    # Weights at hand make a move cheap.
    for name in ("m1", "m2"):
        hands[1].machine.keep_image(name, 8.0)
    large = service(board, 99, 8.0)
    found = make_room(ground(board), large, 0)
    assert found is not None and found.machine == "i-00"
    assert sorted((m.name, m.target) for m in found.moves) == [("j-000001/0", "i-01"), ("j-000002/0", "i-01")]
    assert found.cost == pytest.approx(2 * gap_s(board, board.jobs["j-000001"].spec, hands[1].machine))
    assert make_room(ground(board), service(board, 98, 8.0, priority=3), 0) is None, "never for lower rank"
    again = make_room(ground(board, lambda job, index: job == "j-000001"), large, 0)
    assert again is None or all(move.job != "j-000001" for move in again.moves), "who has just moved stays"
    assert Plan.decode(found.encode()).moves == found.moves


def test_no_step_of_a_move_breaks_what_the_job_asks_of_its_zones() -> None:
    board, hands = place_of(4)
    spread = service(board, 1, 1.0, tasks=3, spread=True)
    for index, n in enumerate((0, 2, 1)):
        runs_on(board, spread, hands[n].machine, index)
    together = service(board, 2, 1.0, tasks=2, one_zone=True)
    runs_on(board, together, hands[0].machine, 0)
    runs_on(board, together, hands[2].machine, 1)
    found = make_room(ground(board), service(board, 99, 8.0, zone="a"), 0)
    zones = {move.name: board.machines[move.target].zone for move in found.moves} if found else {}
    assert all(zone == "a" for name, zone in zones.items() if name.startswith(together.spec.id))
    assert all(zone in ("a", "b") for zone in zones.values())
    for move in found.moves if found else ():
        run = board.jobs[move.job]
        stay = [p.machine.zone for p in run.placed.values() if p.index != move.index]
        assert [*stay, board.machines[move.target].zone].count("a") <= 2 or not run.spec.spread


def test_two_large_ones_that_want_each_others_room_do_not_go_round_in_circles() -> None:
    board, hands = place_of(2)
    first, second = service(board, 1, 4.0), service(board, 2, 4.0)
    runs_on(board, first, hands[0].machine)
    runs_on(board, second, hands[1].machine)
    moved: set[str] = set()
    for step in range(20):
        wants = service(board, 50 + step, 8.0, zone="ab"[step % 2])
        found = make_room(ground(board, lambda job, index: f"{job}/{index}" in moved), wants, 0)
        if found is None:
            continue
        for move in found.moves:
            assert move.name not in moved
            moved.add(move.name)
            run = board.jobs[move.job]
            board.remove(run.placed[move.index], NOW)
            runs_on(board, run, board.machines[move.target], move.index)
        wants.over = "cancelled"
    assert len(moved) <= 2


def test_replicas_without_gpus_leave_the_processors_of_gpus_to_ordinary_machines() -> None:
    board, hands = place_of(1, ordinary=2)
    board.gpu_cpus = 10.0
    run = board.add_job(job(1, kind=SERVICE, tasks=1, cpus=6.0, priority=0, estimate_s=0.0), 1)
    runs_on(board, run, hands[0].machine)
    filler = service(board, 2, 1.0, cpus=12.0)
    runs_on(board, filler, hands[0].machine)
    hands[0].machine.free_cpus -= 10.0  # held by something else: 7 GPUs are free with 68 CPUs
    found = back(ground(board), 0, 4)
    assert found is not None and found.wants == "" and [m.target[:2] for m in found.moves] == ["i-"]
    assert board.machines[found.moves[0].target].type.gpus == 0
    # Ordinary machines are full of arrays of lower rank: one is held until they leave.
    for n, hand in enumerate(hands[1:]):
        runs_on(board, board.add_job(job(10 + n, kind=ARRAY, cpus=8.0, priority=3), 1), hand.machine)
    assert back(ground(board), 0, 4) is not None
    for run in list(board.jobs.values()):
        if run.spec.kind == ARRAY:
            run.placed[0].run = board.add_job(job(30, kind=ARRAY, cpus=8.0, priority=0), 1)
    assert back(ground(board), 0, 4) is None, "work of the same rank is not waited out"


def test_a_gang_moves_last_of_all_whole_and_only_for_a_job_that_is_old() -> None:
    board, hands = place_of(2)
    gang = board.add_job(
        job(1, kind=GANG, tasks=2, gpus=2.0, cpus=20.0, memory_gb=70.0, checkpoint_s=10.0, save_s=1.0), 1
    )
    for index in range(2):
        runs_on(board, gang, hands[0].machine, index)
    runs_on(board, service(board, 2, 1.0), hands[1].machine)
    large = service(board, 99, 8.0, zone="a")
    assert make_room(ground(board), large, 0) is None
    assert move_gang(ground(board), large, 0, lambda p: True) is None
    large.age = 1
    found = move_gang(ground(board), large, 0, lambda p: True)
    assert found is not None and found.moves == [Move(gang.spec.id, -1, "")]
    assert move_gang(ground(board), large, 0, lambda p: False) is None, "it has to fit elsewhere as a whole"


def test_weights_that_no_cache_holds_are_refused_with_the_reason_and_others_go_where_they_fit() -> None:
    board, hands = place_of(1, ordinary=1)
    heavy = job(1, image="w", image_gb=80.0, cpus=2.0)
    assert refusal(heavy, board.teams, [CPU]) == "no allowed machine type has a cache for an image of 80 GB"
    assert refusal(heavy, board.teams, [CPU, BIG]) is None
    run = board.add_job(heavy, 1)
    board.spill_until = NOW + seconds(60)
    plan(board, NOW)
    assert [p.machine.name for p in run.placed.values()] == ["i-00"] and hands[1].machine.type is CPU


def test_moving_is_weighed_against_renting() -> None:
    young = seconds(10)
    assert not cheaper_to_rent(200.0, BIG, True, young) and cheaper_to_rent(2000.0, BIG, True, young)
    assert not cheaper_to_rent(2000.0, BIG, False, young), "sold out"
    assert not cheaper_to_rent(2000.0, BIG, True, seconds(110)), "it would come late"


def test_settings_are_checked() -> None:
    assert parse_packing([]).move == "auto"
    for bad in ('(moves "on")', '(move "yes")', "(at-once 1.5)", "(after -1)"):
        with pytest.raises(SettingsError):
            parse_packing(sexpdata.parse(bad))


# -- in the simulated world ---------------------------------------------------------------------


def tuning(share: float = 0.5) -> Tuning:
    found = Tuning()
    found.packing = PackingSettings(choose="on", move="on", after=seconds(3), again=timedelta(seconds=60))
    found.drain = DrainSettings(budgets=[Budget(share=share)])
    return found


class Pieces(DrainWorld):
    """Two zones of two GPU machines each, full of small services of which some leave: large ones fit in total only."""

    def __init__(self, seed: int, settings: Tuning, share: float = 0.5, **more: Any) -> None:
        super().__init__(seed, settings, share, scale=2, **({"calm": True} | more))
        self.team_max = None
        teams = [{"name": "t0"}, {"name": "t1"}, {"name": "guest"}]
        self.params = {**(self.params or {}), **_params(teams)}
        self.leave = (2, 3, 2, 3)  # of each machine's four small ones
        self.large: dict[str, float] = {}
        self.begun: dict[str, float] = {}

    def make_job(self) -> dict[str, Any]:
        """Arrays without GPUs: the GPU machines belong to services."""
        plain = {"accelerators": 0.0, "shape": "sweep", "builds": ["cpu"], "mistaken": False, "yard": None}
        return super().make_job() | plain | {"parcels": 3, "together": False}

    def daemon(self, number: int, gpus: float) -> dict[str, Any]:
        return {
            "name_id": f"j-5{number:05d}", "docket": "model", "crew": f"t{number % 2}", "shape": "daemon",
            "rank": "normal", "parcels": 1, "cores": gpus * 3.0, "accelerators": gpus, "memory_gb": gpus * 10.0,
            "kit": f"img-{number % 4}", "size_gb": 2.0, "builds": ["gpu"], "yard": None, "together": False,
            "scatter": False, "loaners": False, "guess_s": 0.0, "mark_every_s": 0.0, "mark_s": 0.0, "due_s": None,
        }  # fmt: skip

    async def send(self, job: dict[str, Any]) -> None:
        self.jobs[job["name_id"]] = job
        for _ in range(60):
            status, answer = await self.ask("POST", "/submissions", job)
            self.check_answer(job["name_id"], status, answer)
            if status in (200, 201):
                self.accepted.add(job["name_id"])
                return
            await asyncio.sleep(1.0)

    async def cancel(self, job_id: str) -> None:
        self.asked_cancel.add(job_id)
        while job_id not in self.told_over:
            status, answer = await self.ask("POST", f"/submissions/{job_id}/cancel")
            self.check_answer(job_id, status, answer)
            await asyncio.sleep(0.5)

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job in self.large:
            self.begun.setdefault(task.job, now() - self.large[task.job])

    async def story(self, world: World) -> None:
        """16 small ones fill all; of each machine's four some leave; then two large ones come."""
        for number in range(16):
            await self.send(self.daemon(number, 1.0))
        while sum(t.on and t.job.startswith("j-5") for _, t in self.on_machines()) < 16 and now() < 60:
            await asyncio.sleep(0.5)
        by_machine: dict[str, list[str]] = {}
        for worker, task in self.on_machines():
            if task.job.startswith("j-5"):
                by_machine.setdefault(worker.host.name, []).append(task.job)
        for n, jobs in enumerate(sorted(by_machine.values())):
            for job_id in sorted(jobs)[: self.leave[n % 4]]:
                await self.cancel(job_id)
        for number in (100, 101):
            job = self.daemon(number, 4.0)
            self.large[job["name_id"]] = now()
            await self.send(job)


def _params(teams: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "zones": ["a", "b"],
        "teams": teams,
        "objectives": [],
        "workers": {"report_s": 1.0, "lease_s": 6.0, "gang_wait_s": 8.0, "gang_peer_s": 3.0, "cancel_s": 14.0},
        "state": {"rps": 200.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 10.0, "list_lag_s": 2.0},
        "limits": {"cpu": 1.0, "ram_mb": 256.0, "sockets": 256},
    }


@pytest.mark.parametrize("move", [True, False])
def test_large_services_begin_where_they_fit_in_total(move: bool) -> None:
    settings = tuning()
    settings.packing.move = "on" if move else "off"
    world = Pieces(7500, settings)
    world.spawn_later(world.story)
    check(world.play(length=110, jobs=4))
    assert len(world.large) == 2
    assert len(world.begun) == (2 if move else 0), world.begun
    assert all(wait < 40 for wait in world.begun.values())


@pytest.mark.parametrize("moment", ["planned", "stopped", "held"])
@pytest.mark.parametrize("who", ["leader", "all", "machine", "state", "cancel"])
def test_a_move_goes_on_or_is_let_go_whoever_fails_in_its_middle(moment: str, who: str) -> None:
    world = Pieces(7510, tuning(), back_after=(0.2, 1.5))
    failed: list[float] = []

    def desk() -> PackingDesk | None:
        return next((n.service.reign.packing for n in world.nodes if n.service and n.service.reign), None)

    def reached() -> bool:
        found = desk()
        if found is None or not found.plans:
            return False
        replicas = [found._replica(plan, move) for plan in found.plans for move in plan.moves]
        if moment == "planned":
            return True
        if moment == "stopped":
            return any(p is not None and p.halt_at is not None for p in replicas)
        return any(p is None for p in replicas)

    async def fail(_: World) -> None:
        while not reached():
            await asyncio.sleep(0.02)
        failed.append(now())
        if who == "leader":
            await world.restart(world.leader())
        elif who == "all":
            await asyncio.gather(*(world.restart(node) for node in world.nodes))
        elif who == "machine":
            found = desk()
            assert found is not None
            worker = world.workers.get(found.plans[0].machine)
            if worker is not None:
                worker.die()
                await asyncio.sleep(3)
                worker.host.failed = True
        elif who == "state":
            world.state.out = True
            await asyncio.sleep(4)
            world.state.outage_ends()
        else:
            found = desk()
            assert found is not None
            await world.cancel(found.plans[0].wants or next(iter(world.large)))

    world.spawn_later(world.story)
    world.spawn_later(fail)
    check(world.play(length=130, jobs=4))
    assert failed
    found = desk()
    if who not in ("machine", "cancel"):
        assert len(world.begun) == 2, world.begun
    moved = found.moved if found is not None else {}
    assert len(moved) <= 12, "each replica moves once"


@pytest.mark.parametrize("seed", range(7520, 7526))
def test_rough_days_with_moves_break_no_rule_and_pass_no_budget(seed: int) -> None:
    from tests.world import LATER

    world = Pieces(seed, tuning(0.3), 0.3, calm=False, troubles=LATER)
    world.spawn_later(world.story)
    check(world.play(length=110, jobs=10))


Break = Callable[[pytest.MonkeyPatch], None]


def past_the_budget(patch: pytest.MonkeyPatch) -> None:
    from roseweir.drain.budget import Account

    patch.setattr(
        Account, "reserve", lambda self, run, indices, now: self.take_down(run, indices, "drained", now) or ""
    )
    patch.setattr(Account, "exceeds", lambda self, run, tasks: False)


def test_moves_past_the_budget_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    past_the_budget(monkeypatch)
    for seed in range(7530, 7540):
        world = Pieces(seed, tuning(0.05), 0.05)
        world.spawn_later(world.story)
        world.play(length=100, jobs=2)
        if world.broken:
            return
    pytest.fail("no seed caught it")


@pytest.mark.parametrize("forgets", [False, True])
def test_nobody_is_moved_twice_though_leaders_end_after_each_halt(
    forgets: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With the record the next leader finishes what was begun; without, it moves who has just been moved."""
    if forgets:
        monkeypatch.setattr(PackingDesk, "use", lambda self, value: None)
    twice: list[str] = []
    for seed in range(7540, 7543):
        settings = tuning()
        settings.packing.at_once = 1
        world = Ending(seed, settings, back_after=(0.1, 0.5))
        world.leave = (2, 2, 2, 2)
        world.spawn_later(world.story)
        check(world.play(length=150, jobs=2))
        assert len(world.begun) == 2
        twice += [name for name in world.halted if world.halted.count(name) > 1]
    assert bool(twice) == forgets, twice


class Ending(Pieces):
    """Whoever leads ends as a replica has been told to go."""

    halted: list[str]

    def on_halt(self, worker: Any, task: Any, grace: float) -> None:
        super().on_halt(worker, task, grace)
        if task.job.startswith("j-5") and task.job not in self.asked_cancel:
            self.halted = [*getattr(self, "halted", []), task.job]
            self.spawn(self.end())

    async def end(self) -> None:
        await asyncio.sleep(0.05)
        await self.restart(self.leader())
