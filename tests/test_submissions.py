"""The users' API against the stand-in state service: statuses, retries, unanswered transactions."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest

from roseweir.http import Request, Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient
from roseweir.kv_store.group_commit import GroupCommitter
from roseweir.submissions.task_bitmap import chunk_numbers, decode_task_numbers, encode_bitmap
from tests.simulation import virtual_time
from tests.simulation.cluster import (
    SimulatedCloud,
    SimulatedCluster,
    SimulatedController,
    SimulatedKeyValueStore,
    make_settings,
    virtual_wall_clock,
)


def job(**more: Any) -> dict[str, Any]:
    fields = {
        "name_id": "j-000412",
        "docket": "train",
        "crew": "t0",
        "shape": "sweep",
        "rank": "urgent",
        "parcels": 16,
        "cores": 2.0,
        "accelerators": 1.0,
        "memory_gb": 4.0,
        "kit": "img-07",
        "size_gb": 6.2,
        "builds": None,
        "yard": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "guess_s": 2.0,
        "mark_every_s": 30.0,
        "mark_s": 4.0,
        "due_s": 900.0,
    }
    return {k: v for k, v in (fields | more).items() if v is not ...}


Scene = Callable[[SimulatedCluster], Awaitable[None]]


def play(scene: Scene) -> None:
    async def main() -> None:
        cluster = SimulatedCluster(1, is_calm=True)
        cluster.state, cluster.cloud = SimulatedKeyValueStore(cluster), SimulatedCloud(cluster)
        cluster.nodes = [SimulatedController(cluster, i) for i in range(3)]
        with virtual_wall_clock():
            for node in cluster.nodes:
                node.start()
            await asyncio.sleep(2)
            await scene(cluster)
            for node in cluster.nodes:
                node.crash()
            await asyncio.sleep(0)
        assert not cluster.errors

    virtual_time.run_in_virtual_time(main())


async def ask(cluster: SimulatedCluster, method: str, path: str, body: Any = None, node: int = 0) -> tuple[int, Any]:
    service = cluster.nodes[node].service
    assert service is not None
    raw = body if isinstance(body, bytes) else orjson.dumps(body) if body is not None else b""
    response = await service.serve_public(Request(method, path, raw))
    if response.status in (429, 503):
        assert any(name == "retry-after" for name, _ in response.headers)
    return response.status, orjson.loads(response.body)


BAD = [
    b"not json",
    b"[1]",
    job(name_id="x-1"),
    job(name_id="j-000412\n"),
    job(name_id=...),
    job(docket=...),
    job(parcels=0),
    job(parcels=100_001),
    job(parcels="3"),
    job(parcels=2.5),
    job(cores=-1.0),
    job(cores="2"),
    job(shape="heap"),
    job(rank="low-ish"),
    job(together=1),
    job(due_s=-1.0),
    job(builds="gpu"),
    job(guess_s=None),
]
NEVER = [
    job(crew="nobody"),
    job(cores=64.0),
    job(builds=["cpu"]),
    job(builds=["unheard"]),
    job(yard="mars"),
    job(shape="gang", parcels=7),
    job(shape="daemon", parcels=7),
    job(accelerators=4.0, memory_gb=100.0),
]


def test_statuses_of_submissions() -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        for body in BAD:
            assert (await ask(cluster, "POST", "/submissions", body))[0] == 400, body
        for body in NEVER:
            assert (await ask(cluster, "POST", "/submissions", body))[0] == 422, body
        assert (await ask(cluster, "GET", "/submissions/j-000412"))[0] == 404
        assert (await ask(cluster, "POST", "/submissions/j-000412/cancel"))[0] == 404
        plain = job(builds=..., yard=..., due_s=...)
        assert await ask(cluster, "POST", "/submissions", plain) == (
            201,
            {"name_id": "j-000412", "standing": "queued"},
        )
        # A known id is answered 200 before anything else about the request can refuse it.
        for body in (job(), job(cores=-1.0), job(crew="nobody"), job(parcels=0)):
            assert (await ask(cluster, "POST", "/submissions", body, node=2))[0] == 200
        status, answer = await ask(cluster, "GET", "/submissions/j-000412", node=1)
        assert (status, answer["standing"]) == (200, "queued")
        cancelled = (200, {"name_id": "j-000412", "standing": "aborted"})
        assert await ask(cluster, "POST", "/submissions/j-000412/cancel", node=1) == cancelled
        assert await ask(cluster, "POST", "/submissions/j-000412/cancel") == cancelled
        for node in range(3):
            assert (await ask(cluster, "POST", "/submissions", job(), node=node)) == cancelled

    play(scene)


def test_outage_and_unknown_machine_types_get_503_not_a_guess() -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        await ask(cluster, "POST", "/submissions", job())
        service = cluster.nodes[0].service
        assert service is not None
        service.submission_handlers.set_catalog(None)
        assert (await ask(cluster, "POST", "/submissions", job(name_id="j-000001")))[0] == 503
        assert (await ask(cluster, "POST", "/submissions", job()))[0] == 200
        cluster.state.is_down = True
        for method, path in (("GET", ""), ("POST", "/cancel")):
            assert (await ask(cluster, method, f"/submissions/j-000412{path}", node=1))[0] == 503
        assert (await ask(cluster, "POST", "/submissions", job(name_id="j-000002"), node=1))[0] == 503
        assert (await ask(cluster, "GET", "/submissions/j-000003", node=1))[0] == 503

    play(scene)


def test_flood_of_polls_is_refused_cheaply_and_does_not_starve_the_leader() -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(5)
        leader = cluster.current_leader()
        term = leader.service.leader_election.leader_lease if leader.service else None
        floods = [ask(cluster, "GET", f"/submissions/j-7{i:06d}", node=i % 3) for i in range(3000)]
        statuses = [status for status, _ in await asyncio.gather(*floods)]
        assert set(statuses) <= {404, 429} and statuses.count(429) > 2000
        assert (await ask(cluster, "GET", "/healthz"))[0] == 200
        await asyncio.sleep(5)
        assert leader.service is not None and leader.service.leader_election.leader_lease is term

    play(scene)


def test_polls_that_wait_share_one_read() -> None:
    """With a read each, the polls of a swarm of small jobs took the leader's renewals with them."""

    async def scene(cluster: SimulatedCluster) -> None:
        for i in range(40):
            assert (await ask(cluster, "POST", "/submissions", job(name_id=f"j-{i:06d}")))[0] == 201
        reads = 0
        handle = cluster.state.handle

        async def counted(node: str, method: str, path: str, body: Any) -> Any:
            nonlocal reads
            # The leader's own watch waits for news; what polls ask for is answered at once.
            reads += node == "n1" and (path.startswith("/store/") or "block_ms=0" in path)
            return await handle(node, method, path, body)

        cluster.state.handle = counted  # type: ignore[method-assign]
        polls = [ask(cluster, "GET", f"/submissions/j-{i % 40:06d}", node=1) for i in range(400)]
        answers = await asyncio.gather(*polls)
        assert {status for status, _ in answers} == {200}
        assert reads <= 3
        assert (await ask(cluster, "POST", "/submissions/j-000007/cancel", node=0))[0] == 200
        assert (await ask(cluster, "GET", "/submissions/j-000007", node=1))[1]["standing"] == "aborted"

    play(scene)


def test_a_guests_swarm_is_told_when_to_come_back_and_an_owners_job_goes_through() -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        def guest(i: int) -> dict[str, Any]:
            wire = job(name_id=f"j-1{i:05d}", crew="guest", accelerators=0.0, parcels=1)
            return cluster.jobs.setdefault(wire["name_id"], wire)

        statuses = [(await ask(cluster, "POST", "/submissions", guest(i)))[0] for i in range(600)]
        assert statuses[:20] == [201] * 20
        assert set(statuses) == {201, 429} and statuses.count(429) > 100
        owners = cluster.jobs.setdefault("j-000412", job())  # a worker may get one of its tasks at once
        assert (await ask(cluster, "POST", "/submissions", owners))[0] == 201
        # A retry of an accepted job is answered as such, however full the share is.
        assert (await ask(cluster, "POST", "/submissions", guest(0)))[0] == 200

    play(scene)


def test_group_commit_keeps_a_conflict_to_itself() -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        state = KeyValueStoreClient("10.2.0.1:1", make_settings(0).params.kv_store, cluster.nodes[0].connect)
        commits = GroupCommitter(state, 100)
        cluster.spawn(commits.run())
        await state.compare_and_swap([], [{"put": "x/5", "v": 1}])
        done = await asyncio.gather(
            *(commits.commit([(f"x/{i}", 0)], [{"put": f"x/{i}", "v": i}]) for i in range(60)), return_exceptions=True
        )
        assert [i for i, result in enumerate(done) if isinstance(result, CompareFailed)] == [5]
        assert all(isinstance(result, int) for i, result in enumerate(done) if i != 5)

    play(scene)


@pytest.mark.parametrize("ran", [True, False])
def test_transaction_without_an_answer_is_resolved_by_reading(ran: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(cluster: SimulatedCluster) -> None:
        service = cluster.nodes[0].service
        assert service is not None
        txn = service.kv_store.compare_and_swap

        async def unanswered(guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
            if ran:
                await txn(guards, ops)
            raise Unreachable("no answer")

        monkeypatch.setattr(service.kv_store, "compare_and_swap", unanswered)
        status, _ = await ask(cluster, "POST", "/submissions", job())
        assert status == (200 if ran else 503)

    play(scene)


def test_largest_job_fits_the_value_size() -> None:
    done = bytearray(b"\xa5" * 1024)
    text = encode_bitmap(bytes(done))
    assert len(text) < 2048
    assert list(decode_task_numbers(text, 8192))[:3] == [8192, 8194, 8197]
    assert len(chunk_numbers(100_000)) == 13
