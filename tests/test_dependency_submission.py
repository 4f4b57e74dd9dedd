"""Users' side of jobs that await others: what is taken, how names are stored, and answers derived from durable ends."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest

from roseweir.http import Reply, Request, Unreachable
from roseweir.kv_store import KeyValueStoreClient
from roseweir.submissions import completed_jobs as ends_module
from roseweir.submissions import live_job_index
from roseweir.submissions.cancellation_propagation import traverse_dependencies
from roseweir.submissions.dependency_storage import (
    DependenciesUnreadable,
    dependency_part_keys,
    join_dependencies,
    orphaned_part_keys,
    read_dependencies,
    split_dependencies,
    split_part_keys_for_completion,
)
from roseweir.submissions.handlers import SubmissionHandlers
from roseweir.submissions.jobs import JobSpec, MachineType, completed_job, decode_job_spec, to_stored
from roseweir.submissions.live_job_index import LiveJobIndex
from roseweir.submissions.messages import Submission
from tests.simulation import virtual_time
from tests.simulation.cluster import SimulatedCluster, SimulatedKeyValueStore, make_settings, virtual_wall_clock
from tests.test_submissions import job

SECOND = timedelta(seconds=1)
MACHINE = MachineType("g", 64.0, 8.0, 512.0, 100.0, 1.0, 1.0, 0.3, 4.0, ("a", "b"))


def name(number: int) -> str:
    return f"j-{number:06d}"


class Users:
    """Two nodes' desks on one state service, without a leader: nothing is swept but by the test."""

    def __init__(self, txn_ops: int = 24, value_kb: float = 8.0, rps: float = 200.0, page_items: int = 1000) -> None:
        self.world = SimulatedCluster(1, is_calm=True)
        self.world.txn_ops, self.world.value_kb = txn_ops, value_kb
        self.state = SimulatedKeyValueStore(self.world)
        self.state.max_page_items = page_items
        self.settings = [make_settings(i, txn_ops=txn_ops, value_kb=value_kb) for i in range(2)]
        for given in self.settings:
            given.params.kv_store.max_requests_per_s = rps
        self.progress: dict[str, tuple[int, int]] = {}
        # Transactions that put a key with this prefix get no answer; they are carried out then or at the end.
        self.unanswered, self.held = "", False
        self.late: list[Any] = []
        self.requests = 0
        self.desks = [self._desk(i) for i in range(2)]

    def _desk(self, index: int) -> SubmissionHandlers:
        async def progress(jobs: list[str]) -> dict[str, tuple[int, int]]:
            return {job_id: self.progress[job_id] for job_id in jobs if job_id in self.progress}

        def connect(address: str, pool: int) -> Callable[..., Awaitable[Reply]]:
            async def send(method: str, path: str, body: Any = None, *, timeout: timedelta) -> Reply:
                await asyncio.sleep(0.004)
                self.requests += 1
                copy = orjson.loads(orjson.dumps(body))
                puts = [op["put"] for op in copy["then"] if "put" in op] if path == "/txn" else []
                if self.unanswered and any(key.startswith(self.unanswered) for key in puts):
                    if self.held:
                        self.late.append(copy)
                    else:
                        await self.state.handle(f"n{index}", method, path, copy)
                    raise Unreachable("no answer")
                try:
                    async with asyncio.timeout(timeout.total_seconds()):
                        return await self.state.handle(f"n{index}", method, path, copy)
                except TimeoutError:
                    raise Unreachable("no answer in time") from None

            return send

        given = self.settings[index]
        desk = SubmissionHandlers(given, KeyValueStoreClient("10.2.0.1:1", given.params.kv_store, connect), progress)
        desk.set_catalog([MACHINE])
        return desk

    async def ask(self, method: str, path: str, body: Any = None, node: int = 0) -> tuple[int, Any]:
        raw = body if isinstance(body, bytes) else orjson.dumps(body) if body is not None else b""
        response = await self.desks[node].handle(Request(method, path, raw))
        return response.status, orjson.loads(response.body)

    async def submit(self, number: int, awaits: Any = ..., node: int = 0, **more: Any) -> tuple[int, Any]:
        return await self.ask("POST", "/submissions", job(name_id=name(number), awaits=awaits, **more), node)

    async def standing(self, number: int, node: int = 0) -> str:
        return await self.standing_of(name(number), node)

    async def standing_of(self, job_id: str, node: int) -> str:
        """As soon as the node answers: it may be busy."""
        while True:
            status, answer = await self.ask("GET", f"/submissions/{job_id}", node=node)
            if status == 200:
                return str(answer["standing"])
            assert status == 429, (status, answer)
            await asyncio.sleep(1)

    async def cancel(self, number: int, node: int = 0) -> None:
        status, answer = await self.ask("POST", f"/submissions/{name(number)}/cancel", node=node)
        assert (status, answer["standing"]) == (200, "aborted")

    def end(self, number: int, state: Any) -> None:
        """As a leader records it."""
        live = self.state.keys.get(f"live/{name(number)}")
        assert live is not None
        over = to_stored(completed_job(decode_job_spec(live[0]), state))
        result = self.state.commit_transaction(
            {"guards": [], "then": [{"put": f"over/{name(number)}", "v": over}, {"delete": f"live/{name(number)}"}]}
        )
        assert result.status == 200


def play(scene: Callable[[Users], Awaitable[None]], **more: Any) -> None:
    async def main() -> None:
        with virtual_wall_clock():
            users = Users(**more)
            tasks = [
                asyncio.ensure_future(run()) for d in users.desks for run in (d.live_job_cache.run, d.group_commit.run)
            ]
            await asyncio.sleep(0.1)
            await scene(users)
            for task in tasks:
                assert not task.done()
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run_in_virtual_time(main())


@pytest.mark.parametrize(
    "awaits", ["j-000001", 7, [7], ["x-1"], ["j-000001", None], {"j-000001": 1}, ["j-1234567890123456789"]]
)
def test_a_malformed_list_is_told_so(awaits: Any) -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        status, answer = await users.submit(2, awaits)
        assert status == 400 and "awaits" in answer["error"]
        assert (await users.submit(1, awaits))[0] == 200  # known, whatever the body

    play(scene)


def test_what_may_be_awaited() -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        await users.submit(2, shape="daemon", parcels=1)
        empty: list[Any] = [None, [], ...]
        for nothing in empty:
            assert (await users.submit(10, nothing))[0] in (200, 201)
        assert "after" not in users.state.keys["live/j-000010"][0]
        # Known at the other node alone, or by name twice.
        status, answer = await users.submit(11, [name(1), name(1)], node=1)
        assert (status, answer["standing"]) == (201, "queued")
        assert users.state.keys["live/j-000011"][0]["after"] == {"jobs": [name(1)]}
        for bad, said in (([name(12)], name(12)), ([name(1), name(3)], name(3)), ([name(2)], "service")):
            for node in (0, 1):
                status, answer = await users.submit(12, bad, node=node)
                assert status == 422 and said in answer["error"]
                assert (await users.submit(11, bad, node=node))[0] == 200
        # In any state, also by a node that never heard of them.
        users.end(1, "done")
        for node in (0, 1):
            users.desks[node]._terminal_states.states.clear()
            assert (await users.submit(13 + node, [name(1)], node=node))[1]["standing"] == "queued"
        assert "live/j-000012" not in users.state.keys

    play(scene)


def test_many_names_take_few_requests_and_one_never_accepted_is_found() -> None:
    async def scene(users: Users) -> None:
        for number in range(1, 400):
            await users.submit(number)
            if number % 2:
                users.end(number, "done")
        await asyncio.sleep(6)
        known = [name(number) for number in range(1, 400)]
        for node in (0, 1):
            users.desks[node]._terminal_states.states.clear()
            before = users.requests
            status, answer = await users.submit(500, [*known, name(777)], node=node)
            assert status == 422 and name(777) in answer["error"] and name(3) not in answer["error"]
            assert users.requests - before < 12
        before = users.requests
        assert (await users.submit(500, known))[0] == 201
        assert users.requests - before < 12

    play(scene)


def test_a_node_that_began_anew_reads_for_all_who_ask_at_once() -> None:
    """Each of 400 jobs awaits another one that ended: 24 requests a second would take a quarter of a minute."""

    async def scene(users: Users) -> None:
        for number in range(400):
            await users.submit(number)
            await users.submit(1000 + number, [name(number)])
            users.end(number, "done" if number % 4 else "cancelled")
        users.desks[1]._terminal_states.states.clear()
        users.desks[1].live_job_cache._revision = None
        before, begun = users.requests, asyncio.get_running_loop().time()
        answers = await asyncio.gather(*(users.standing(1000 + number, 1) for number in range(400)))
        assert answers == ["queued" if number % 4 else "aborted" for number in range(400)]
        assert users.requests - before < 60
        assert asyncio.get_running_loop().time() - begun < 2

    play(scene, rps=120.0)


@pytest.mark.parametrize("ended_jobs, wanted, most", [(40_000, 2000, 60), (40_000, 40, 60), (3000, 2000, 8)])
def test_pages_are_as_long_as_they_hold_what_is_wanted(ended_jobs: int, wanted: int, most: int) -> None:
    async def scene(users: Users) -> None:
        draw = random.Random(3)
        over = to_stored(completed_job(JobSpec("", "c", "t0", "array", 2, 1, 1.0, 0.0, 1.0), "done"))
        numbers = draw.sample(range(1_000_000), ended_jobs)
        users.state.keys |= {f"over/{name(number)}": (over, 1, None) for number in numbers}
        names = [name(number) for number in numbers[:wanted]]
        before = users.requests
        status, _ = await users.submit(2_000_000, names)
        assert status == 201 and users.requests - before <= most

    play(scene, rps=1000.0)


def test_without_a_read_left_one_just_accepted_elsewhere_is_found_by_the_shared_view() -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        # More than is saved up again before the end is asked for.
        users.desks[1]._read_budget._read_rate_limiter.tokens = -100.0
        assert (await users.submit(2, [name(1)], node=1))[0] == 201
        assert (await users.submit(3, [name(9)], node=1))[0] == 429  # never a 422 without having looked

    play(scene)


def test_an_ordinary_one_is_answered_at_once() -> None:
    async def scene(users: Users) -> None:
        for number in range(1, 60):
            begun = asyncio.get_running_loop().time()
            awaits = [name(number - 1)] if number > 1 else None
            assert (await users.submit(number, awaits, node=number % 2))[0] == 201
            assert asyncio.get_running_loop().time() - begun < 0.15

    play(scene)


def test_an_acceptance_whose_answer_was_lost_counts_once_it_is_durable() -> None:
    """Late writes: the user of X heard nothing, so nobody may name X yet; once it is there, everybody may."""

    async def scene(users: Users) -> None:
        users.unanswered, users.held = "live/j-000001", True
        assert (await users.submit(1))[0] == 503
        users.unanswered = ""
        assert (await users.submit(2, [name(1)], node=1))[0] == 422
        assert users.state.commit_transaction(users.late.pop()).status == 200
        assert (await users.submit(2, [name(1)], node=1))[0] == 201
        # One that awaits: written without an answer, at once and late, then repeated with another body.
        users.unanswered, users.held = "live/j-000003", False
        assert (await users.submit(3, [name(1)]))[0] == 200
        users.unanswered, users.held = "live/j-000004", True
        assert (await users.submit(4, [name(1)]))[0] == 503
        users.unanswered = ""
        assert (await users.submit(4, [name(2)], node=1))[0] == 201
        assert users.state.commit_transaction(users.late.pop()).status == 409
        assert users.state.keys["live/j-000004"][0]["after"] == {"jobs": [name(2)]}
        # One that is cancelled as it comes.
        await users.cancel(1)
        users.unanswered, users.held = "over/j-000005", True
        assert (await users.submit(5, [name(1)]))[0] == 503
        users.unanswered = ""
        assert users.state.commit_transaction(users.late.pop()).status == 200
        for node in (0, 1):
            assert (await users.submit(5, node=node)) == (200, {"name_id": name(5), "standing": "aborted"})

    play(scene)


def test_who_needs_a_cancelled_job_is_aborted_at_every_node_without_a_leader() -> None:
    async def scene(users: Users) -> None:
        await users.submit(0)
        for number in range(1, 1000):
            users.state.keys[f"live/{name(number)}"] = (
                {**users.state.keys[f"live/{name(0)}"][0], "id": name(number), "after": {"jobs": [name(number - 1)]}},
                2,
                None,
            )
        await users.submit(2000)
        for desk in users.desks:
            desk.live_job_cache._revision = None
        assert [await users.standing(999, node) for node in (0, 1)] == ["queued", "queued"]
        await users.cancel(0)
        for node in (1, 0):
            assert await users.standing(999, node) == "aborted"
            assert await users.standing(500, node) == "aborted"
            assert await users.standing(2000, node) == "queued"
            assert (await users.submit(499, node=node)) == (200, {"name_id": name(499), "standing": "aborted"})
            # It is told no more than one that is over, and stays so when it is recorded.
            await users.cancel(600 + node, node)
        users.end(999, "cancelled")
        assert [await users.standing(999, node) for node in (0, 1)] == ["aborted", "aborted"]
        # Nothing was written for the others.
        assert f"live/{name(998)}" in users.state.keys and f"over/{name(998)}" not in users.state.keys

    play(scene)


def test_names_beyond_what_is_kept_are_read_when_they_are_asked_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(live_job_index, "MAX_DEPENDENCY_IDS", 3)

    async def scene(users: Users) -> None:
        for number in range(1, 12):
            await users.submit(number, [name(before) for before in range(max(1, number - 2), number)], node=number % 2)
        assert [await users.standing(11, node) for node in (0, 1)] == ["queued", "queued"]
        assert users.desks[0].live_job_cache.live_jobs.dependencies(name(11)) is None
        await users.cancel(1)
        assert [await users.standing(11, node) for node in (0, 1)] == ["aborted", "aborted"]

    play(scene)


def test_a_walk_visits_each_job_once_and_tells_who_is_cancelled_with_another() -> None:
    live = LiveJobIndex()
    for layer in range(200):
        for number in range(3):
            live.add(
                f"j-{layer}{number}", {"after": {"jobs": [f"j-{layer - 1}{n}" for n in range(3)] if layer else []}}
            )
    found = traverse_dependencies(["j-1990"], {}, live, {})
    assert found.is_complete and len(found.open_dependencies) == 1 + 199 * 3
    found = traverse_dependencies(["j-1990"], {"j-01": "cancelled"}, live, {})
    assert found.is_cancelled and len(found.cancelled_dependents) == 199 and "j-1990" in found.cancelled_dependents
    found = traverse_dependencies(["j-1990"], {"j-990": "done"}, live, {})
    assert found.is_complete and "j-990" not in found.open_dependencies
    # What is found clear stays so until something of it ends.
    live.not_cancelled_ids.update(found.open_dependencies)
    assert traverse_dependencies(["j-1990"], {}, live, {}).open_dependencies == {}
    live.discard("j-01")
    assert traverse_dependencies(["j-1990"], {}, live, {}).unknown_job_ids == {"j-01"}


def test_one_that_has_begun_is_not_looked_into_and_one_after_a_done_job_goes_on() -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        await users.submit(2, [name(1)])
        await users.submit(3, [name(2)])
        users.end(1, "done")
        users.progress[name(2)] = (1, 3)
        before = users.requests
        assert await users.standing(2) == "running"
        assert users.requests - before == 1
        assert await users.standing(3) == "queued"
        assert users.desks[0].live_job_cache.live_jobs.dependencies(name(2)) == []
        before = users.requests
        assert await users.standing(3) == "queued"
        assert users.requests - before == 1  # an end is read once

    play(scene)


def test_a_submission_that_names_a_cancelled_job_is_accepted_and_aborted() -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        await users.submit(2, [name(1)])
        await users.submit(3, [name(2)], node=1)
        await users.cancel(1)
        await asyncio.sleep(6)
        for number, names in ((10, [1]), (11, [2]), (12, [3]), (13, [10])):
            for node in (0, 1):
                answer = await users.submit(100 * node + number, [name(n) for n in names], node=node)
                assert (answer[0], answer[1]["standing"]) == (201, "aborted")
                assert f"live/{name(100 * node + number)}" not in users.state.keys
                assert users.state.keys[f"over/{name(100 * node + number)}"][0]["state"] == "cancelled"

    play(scene)


def test_one_that_cannot_be_told_in_time_is_accepted_and_answered_by_what_is_found_then() -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        await users.submit(2, [name(1)])
        await users.cancel(1)
        await asyncio.sleep(6)
        users.desks[1]._terminal_states.states.clear()
        learn, calls = ends_module.CompletedJobReader.read_states, 0

        async def slow(self: Any, wanted: Any, asker: str) -> set[str]:
            nonlocal calls
            calls += 1
            await asyncio.sleep(0.3)
            return await learn(self, wanted, asker)

        with replaced(ends_module.CompletedJobReader, "read_states", slow):
            answer = await users.submit(3, [name(2)], node=1)
        assert calls == 2 and (answer[0], answer[1]["standing"]) == (201, "aborted")
        assert f"live/{name(3)}" in users.state.keys

    play(scene)


@contextmanager
def replaced(owner: Any, attribute: str, value: Any) -> Any:
    before = getattr(owner, attribute)
    setattr(owner, attribute, value)
    try:
        yield
    finally:
        setattr(owner, attribute, before)


def test_an_outage_gets_503_and_never_a_wrong_answer() -> None:
    async def scene(users: Users) -> None:
        await users.submit(1)
        await users.submit(2, [name(1)])
        await users.submit(3, [name(2)])
        assert await users.standing(3, 1) == "queued"
        await users.cancel(1)
        users.state.is_down = True
        for node in (0, 1):
            assert (await users.ask("GET", f"/submissions/{name(3)}", node=node))[0] == 503
            assert (await users.submit(3, node=node))[0] == 503
            assert (await users.submit(4, [name(2)], node=node))[0] == 503
            assert (await users.submit(5, [name(9)], node=node))[0] == 503
        users.state.end_outage()
        for node in (0, 1):
            assert await users.standing(3, node) == "aborted"
        # Told once, it is told in an outage as well: it can't change.
        users.state.is_down = True
        assert await users.standing(3) == "aborted"

    play(scene)


def test_a_list_that_no_record_holds_is_kept_apart() -> None:
    """4,600 names with values of 2 KiB and 8 changes a transaction."""

    async def scene(users: Users) -> None:
        draw = random.Random(5)
        numbers = draw.sample(range(1_000_000), 4600)
        await users.submit(numbers[0])
        value = users.state.keys[f"live/{name(numbers[0])}"][0]
        over = to_stored(completed_job(decode_job_spec(value), "done"))
        for number in numbers[1:]:
            users.state.keys[f"over/{name(number)}"] = (over, 1, None)
        alive = [name(number) for number in numbers[1:1000]]
        body = job(name_id="j-5", awaits=[name(number) for number in numbers])
        assert len(orjson.dumps(body)) < 65536
        while (answer := await users.ask("POST", "/submissions", body))[0] != 201:
            assert answer[0] == 429
            await asyncio.sleep(1)
        assert answer[1]["standing"] == "queued"
        spec = decode_job_spec(users.state.keys["live/j-5"][0])
        keys = dependency_part_keys("j-5", spec.dependencies)
        assert 1 < len(keys) <= 12 and all(key in users.state.keys for key in keys)
        assert await read_dependencies(users.desks[0].kv_store, spec) == sorted(name(number) for number in numbers)
        # The other node reads the list, and the ends, once.
        assert [await users.standing_of("j-5", node) for node in (0, 1)] == ["queued", "queued"]
        before = users.requests
        assert await users.standing_of("j-5", 1) == "queued"
        assert users.requests - before == 1
        await users.cancel(numbers[0])
        assert [await users.standing_of("j-5", node) for node in (1, 0)] == ["aborted", "aborted"]
        # The parts go with the end as far as there is room; the leader learns of the others.
        assert (await users.ask("POST", "/submissions/j-5/cancel"))[1]["standing"] == "aborted"
        gone, left = split_part_keys_for_completion("j-5", spec.dependencies, 8 - 2 - 1)
        assert [key in users.state.keys for key in gone + left] == [False] * len(gone) + [True] * len(left)
        with pytest.raises(DependenciesUnreadable):
            await read_dependencies(users.desks[0].kv_store, spec)
        await asyncio.sleep(6)
        assert set(await orphaned_part_keys(users.desks[0].kv_store, users.desks[0].live_job_cache.live_jobs)) == set(
            left
        )
        # Parts of a job that is not over yet are nobody's to take.
        users.unanswered, users.held = "live/j-6", True
        assert (await users.ask("POST", "/submissions", body | {"name_id": "j-6", "awaits": alive}))[0] == 503
        users.unanswered = ""
        assert any(key.startswith("awaits/j-6/") for key in users.state.keys)
        assert set(await orphaned_part_keys(users.desks[0].kv_store, users.desks[0].live_job_cache.live_jobs)) == set(
            left
        )
        assert users.state.commit_transaction(users.late.pop()).status == 200
        assert await users.standing_of("j-6", 1) == "queued"
        # A part without an answer: nothing is accepted without all of them.
        users.unanswered = "awaits/j-7/"
        assert (await users.ask("POST", "/submissions", body | {"name_id": "j-7", "awaits": alive}))[0] == 503
        assert "live/j-7" not in users.state.keys
        users.unanswered = ""
        assert (await users.ask("POST", "/submissions", body | {"name_id": "j-7", "awaits": alive}))[0] == 201

    play(scene, txn_ops=8, value_kb=2.0)


@pytest.mark.parametrize("count", [1, 300, 3000, 4600])
def test_split_names_fit_the_smallest_values_and_come_back(count: int) -> None:
    draw = random.Random(count)
    names = {f"j-{draw.randrange(10 ** draw.randint(1, 18))}" for _ in range(count)}
    parts = split_dependencies("j-7", names)
    assert all(len(orjson.dumps(value)) <= 2048 for value in parts.values_by_key.values())
    assert list(parts.values_by_key) == dependency_part_keys("j-7", parts.dependencies)
    assert join_dependencies(parts.values_by_key.values()) == sorted(names)
    assert split_dependencies("j-7", reversed(sorted(names))) == parts
    if parts.dependencies.part_count > 1:
        with pytest.raises(ValueError):
            join_dependencies(list(parts.values_by_key.values())[:-1])


@pytest.mark.parametrize("value_kb", [2.0, 32.0])
def test_a_record_with_names_fits_the_smallest_value_whatever_the_limit_is_now(value_kb: float) -> None:
    async def scene(users: Users) -> None:
        for number in range(200):
            await users.submit(number)
        apart = 0
        for count in (1, 50, 90, 120, 200):
            assert (await users.submit(1000 + count, [name(number) for number in range(count)]))[0] == 201
            value = users.state.keys[f"live/{name(1000 + count)}"][0]
            assert len(orjson.dumps(value)) <= 2048
            apart += "parts" in value["after"]
            found = await read_dependencies(users.desks[0].kv_store, decode_job_spec(value))
            assert found == [name(number) for number in range(count)]
        assert 1 <= apart <= 3

    play(scene, value_kb=value_kb, rps=1000.0)


def closure(graph: dict[int, list[int]], cancelled: set[int]) -> set[int]:
    """All that need a cancelled job, by the book."""
    found = set(cancelled)
    for number in sorted(graph):
        if any(before in found for before in graph[number]):
            found.add(number)
    return found


class RandomDay:
    """Jobs that await earlier ones; ends, sweeps of a leader, outages of one node's service, and polls of both."""

    def __init__(self, users: Users, seed: int) -> None:
        self.users, self.draw = users, random.Random(seed)
        self.graph: dict[int, list[int]] = {}
        self.cancelled: set[int] = set()
        self.done: set[int] = set()
        self.aborted_told: set[int] = set()

    def live(self, number: int) -> bool:
        return f"live/{name(number)}" in self.users.state.keys

    async def step(self) -> None:
        act = self.draw.choices(
            [self.accept, self.cancel, self.finish, self.sweep, self.poll, self.forget, self.wait],
            [6, 1, 4, 2, 8, 1, 2],
        )[0]
        await act()

    async def accept(self) -> None:
        number, node = len(self.graph) + 1, self.draw.randrange(2)
        names = self.draw.sample(sorted(self.graph), min(len(self.graph), self.draw.choice([0, 1, 1, 2, 3, 40])))
        while (answer := await self.users.submit(number, [name(n) for n in names], node=node))[0] != 201:
            assert answer[0] == 429, answer
            await asyncio.sleep(1)
        self.graph[number] = names
        doomed = number in closure(self.graph, self.cancelled)
        assert answer[1]["standing"] in (("queued", "aborted") if doomed else ("queued",))
        if answer[1]["standing"] == "aborted":
            self.aborted_told.add(number)
        # The view that it went by was at most some seconds old, and no cancel was that new unless by this very run.
        assert answer[1]["standing"] == "aborted" or not doomed or self.recent()

    def recent(self) -> bool:
        return asyncio.get_running_loop().time() - self.cancelled_at < 6

    cancelled_at = -100.0

    async def cancel(self) -> None:
        alive = [n for n in self.graph if self.live(n)]
        if alive:
            number = self.draw.choice(alive)
            await self.users.cancel(number, self.draw.randrange(2))
            self.cancelled.add(number)
            self.aborted_told.add(number)
            self.cancelled_at = asyncio.get_running_loop().time()

    async def finish(self) -> None:
        ready = [n for n in self.graph if self.live(n) and all(before in self.done for before in self.graph[n])]
        if ready:
            number = self.draw.choice(ready)
            self.users.end(number, "done")
            self.done.add(number)

    async def sweep(self) -> None:
        doomed = [n for n in closure(self.graph, self.cancelled) if self.live(n)]
        for number in self.draw.sample(doomed, min(len(doomed), 2)):
            self.users.end(number, "cancelled")

    async def poll(self) -> None:
        doomed = closure(self.graph, self.cancelled)
        asked = self.draw.sample(sorted(self.graph), min(len(self.graph), 8))
        answers = await asyncio.gather(*(self.users.standing(n, self.draw.randrange(2)) for n in asked))
        for number, answer in zip(asked, answers, strict=True):
            wanted = "aborted" if number in doomed else "done" if number in self.done else "queued"
            assert answer == wanted, f"{name(number)}: {answer}, not {wanted}"
            assert answer == "aborted" or number not in self.aborted_told
            if answer == "aborted":
                self.aborted_told.add(number)

    async def outage(self) -> None:
        """An answer or none, and never a wrong one."""
        doomed = closure(self.graph, self.cancelled)
        self.users.state.is_down = True
        for number in self.draw.sample(sorted(self.graph), min(len(self.graph), 4)):
            path = f"/submissions/{name(number)}"
            status, answer = await self.users.ask("GET", path, node=self.draw.randrange(2))
            wanted = "aborted" if number in doomed else "done" if number in self.done else None
            assert status == 503 or (status, answer["standing"]) == (200, wanted)
        self.users.state.end_outage()

    async def forget(self) -> None:
        """A node that began anew, or heard too much since; its view is read again."""
        desk = self.users.desks[self.draw.randrange(2)]
        desk._terminal_states.states.clear()
        desk.live_job_cache._revision = None

    async def wait(self) -> None:
        await asyncio.sleep(self.draw.choice([0.01, 0.3, 3.0, 8.0]))


@pytest.mark.parametrize("seed", range(12))
def test_answers_are_those_of_the_closure_over_random_graphs(seed: int) -> None:
    async def scene(users: Users) -> None:
        day = RandomDay(users, seed)
        for _ in range(250):
            await day.step()

    play(scene, value_kb=2.0, txn_ops=8, rps=2000.0, page_items=3)


def is_caught(variant: Any, owner: Any, attribute: str) -> bool:
    """Whether the checks above fail with this in place of the method."""
    with replaced(owner, attribute, variant):
        for check in (
            test_what_may_be_awaited,
            test_who_needs_a_cancelled_job_is_aborted_at_every_node_without_a_leader,
        ):
            try:
                check()
            except AssertionError:
                return True
    return False


def test_broken_variants_are_caught() -> None:
    from roseweir.submissions import dependency_validation
    from roseweir.submissions.job_status import JobStatusReader

    async def orphan_in_outage(self: JobStatusReader, job_id: str) -> bool:
        """Answers by the live key, which a leader has yet to take away."""
        return False

    assert is_caught(orphan_in_outage, JobStatusReader, "_is_cancelled_by_dependency")
    assert is_caught(property(lambda self: None), dependency_validation.ValidationResult, "rejection_reason")

    def service_awaited(self: Any) -> str | None:
        return "never accepted: " + ", ".join(self.never_accepted_ids) if self.never_accepted_ids else None

    assert is_caught(property(service_awaited), dependency_validation.ValidationResult, "rejection_reason")


def test_the_example_of_a_pipeline_is_accepted_stage_by_stage() -> None:
    jobs = orjson.loads((Path(__file__).parent.parent / "examples" / "pipeline.json").read_bytes())
    accepted: list[str] = []
    for stage in jobs:
        submission = msgspec.convert(stage, Submission)
        assert set(submission.depends_on or []) <= set(accepted), "a stage names one that comes after it"
        accepted.append(submission.id)
    assert len(accepted) == 4 and jobs[-1]["due_s"] and not any(stage["due_s"] for stage in jobs[:-1])
