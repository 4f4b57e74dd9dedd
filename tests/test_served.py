"""The account of who is served: against the simulated world's own, team by team, through take-overs."""

import asyncio
from collections import Counter

import pytest

from roseweir.placement.board import Board
from roseweir.served.account import Account, Row, Standing, Tally, by
from roseweir.submissions.desk import REST
from roseweir.submissions.jobs import SERVICE, ended
from roseweir.workers import messages as wire
from tests.samples import spec as job
from tests.test_placement import NOW, Hand, new_board
from tests.test_rules import check
from tests.world import LATER, World, now


def world_account(world: World) -> dict[Row, tuple[int, int, int]]:
    """Accepted, done and cancelled by team and class: jobs from the users' side, ends from what is durable."""
    found: dict[Row, Counter[str]] = {}
    for key, (value, _, _) in world.state.keys.items():
        kind, _, job_id = key.partition("/")
        if kind in ("live", "over"):
            row = (world.jobs[job_id]["crew"], world.jobs[job_id]["docket"])
            found.setdefault(row, Counter())[value["state"] if kind == "over" else "live"] += 1
    return {row: (sum(c.values()), c["done"], c["cancelled"]) for row, c in found.items()}


def service_account(world: World) -> dict[Row, tuple[int, int, int]] | None:
    for node in world.nodes:
        reign = None if node.service is None else node.service.reign
        if reign is not None and reign.open:
            standings = reign.served.account.standings(reign.board.jobs)
            return {row: (at.accepted, at.done, at.cancelled) for row, at in standings.items() if at.accepted}
    return None


@pytest.mark.parametrize("seed", range(9400, 9408))
@pytest.mark.parametrize("back", [(1.0, 4.0), (0.05, 0.5)], ids=["seconds", "at once"])
def test_account_is_the_worlds_own_after_any_take_overs(seed: int, back: tuple[float, float]) -> None:
    world = World(seed, troubles=[*LATER, "crash", "all", "roll"], back_after=back)
    compared: list[int] = []

    async def compare(world: World) -> None:
        for at in (40.0, 60.0, 88.0):
            await asyncio.sleep(at - now())
            until = now() + 30
            while now() < until:
                # News of ends come a moment after they are durable, and there may be no leader.
                if not world.state.out and service_account(world) == world_account(world):
                    compared.append(len(world.accepted))
                    break
                await asyncio.sleep(0.02)
        # Teams: whoever started a task according to the workers has started according to the leader.
        reign = world.leader().service
        if reign is not None and reign.reign is not None and reign.reign.open:
            started = {task for task, _, _ in world.attempts}
            account = reign.reign.served.account
            account.look(reign.reign.board.jobs, 0)
            teams = by(0, account.standings(reign.reign.board.jobs))
            for team, at_team in teams.items():
                most = sum(world.jobs[task]["crew"] == team for task in started) + sum(
                    j["crew"] == team and j["shape"] == "gang" for j in world.jobs.values()
                )
                world.rule(at_team.started <= most, f"account: {team} has started more than workers say")
        world.over = True

    world.spawn_later(compare)
    check(world.play(length=120))
    assert len(compared) == 3, "the accounts never agreed"


def test_what_is_sent_away_is_counted_by_team_and_class() -> None:
    """A guest's flood: its requests over its share get 429, and the leader knows whose they were, on any node."""
    world = World(9450, calm=True, write_rps=20.0)
    told: list[dict[str, Standing]] = []
    answers: Counter[int] = Counter()

    async def flood(world: World) -> None:
        await asyncio.sleep(10)
        for number in range(200):
            made = world.make_job() | {"crew": "guest", "docket": "swarm", "accelerators": 0.0, "builds": None}
            made |= {"name_id": f"j-7{number:05d}", "shape": "sweep", "parcels": 1, "mistaken": False}
            world.jobs[made["name_id"]] = made
            wire_job = {k: v for k, v in made.items() if k != "mistaken"}
            status, _ = await world.ask("POST", "/submissions", wire_job)
            answers[status] += 1
        await asyncio.sleep(12)
        service = world.leader().service
        assert service is not None and service.reign is not None
        account = service.reign.served.account
        told.append(by(1, account.standings(service.reign.board.jobs)))

    world.spawn_later(flood)
    check(world.play(length=60, jobs=5))
    assert answers[429] > 20 and told[0]["swarm"].turned_away == answers[429]
    assert told[0]["swarm"].accepted == answers[201] and told[0]["swarm"].served < 1.0


def test_record_that_outgrows_its_room_keeps_the_rest_together() -> None:
    account = Account()
    for team in range(40):
        for number in range(5):
            account.tallies[f"team-{team:02d}", f"class-{number}"] = Tally(done=team, turned_away=1)
    value = account.encode(77, 2000)
    again = Account()
    assert again.decode(value) == 77
    assert (REST, REST) in again.tallies and ("team-39", "class-4") in again.tallies
    assert sum(t.done for t in again.tallies.values()) == sum(t.done for t in account.tallies.values())
    assert sum(t.turned_away for t in again.tallies.values()) == 200


def test_ends_around_the_reading_of_the_record_are_counted_once() -> None:
    """Some ended before the live jobs were read, some between the first page and their own, some after all."""
    spec = {n: job(n) for n in range(1, 5)}
    account = Account()
    account.accepted(spec[1])
    ends = [(spec[2].id, ended(spec[2], "done"), 90), (spec[3].id, ended(spec[3], "done"), 101)]
    # 4 came and went after the first page: the watch tells of both.
    ends.append((spec[4].id, ended(spec[4], "cancelled"), 103))
    account.ended_unseen(ends, revision=100)
    account.gone(spec[3].id)
    account.accepted(spec[4])
    account.gone(spec[4].id)
    assert account.unsure and not account.tallies["t0", "c"].cancelled
    account.over(spec[4].id, "cancelled")
    account.over(spec[1].id, "done")
    account.gone(spec[1].id)
    account.gone(spec[1].id)
    tally = account.tallies["t0", "c"]
    assert (tally.done, tally.cancelled) == (3, 1)


def test_service_with_half_of_its_replicas_down_is_told_as_badly_served() -> None:
    board: Board = new_board()
    hand = Hand(board, "i-1")
    hand.report(NOW)
    run = board.add_job(job(1, kind=SERVICE, tasks=5), 1)
    account = Account()
    account.accepted(run.spec)
    for index in range(2):
        placed = board.place(run, index, board.machines["i-1"], 1, NOW)
        placed.state = wire.RUNNING
    account.look(board.jobs, 0)
    at = account.standings(board.jobs)["t0", "c"]
    assert (at.replicas, at.replicas_up, at.started) == (5, 2, 0) and at.served == 0.0
    account.live[run.spec.id].started = True
    assert account.standings(board.jobs)["t0", "c"].served == pytest.approx(0.4)
