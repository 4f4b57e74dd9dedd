"""The users' API against the simulated key-value store: statuses, retries, unanswered transactions."""

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


def submission_body(**overrides: Any) -> dict[str, Any]:
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
    return {k: v for k, v in (fields | overrides).items() if v is not ...}


Scenario = Callable[[SimulatedCluster], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    async def main() -> None:
        cluster = SimulatedCluster(1, is_calm=True)
        cluster.state, cluster.cloud = SimulatedKeyValueStore(cluster), SimulatedCloud(cluster)
        cluster.nodes = [SimulatedController(cluster, i) for i in range(3)]
        with virtual_wall_clock():
            for node in cluster.nodes:
                node.start()
            await asyncio.sleep(2)
            await scenario(cluster)
            for node in cluster.nodes:
                node.crash()
            await asyncio.sleep(0)
        assert not cluster.errors

    virtual_time.run_in_virtual_time(main())


async def send_request(
    cluster: SimulatedCluster, method: str, path: str, body: Any = None, node: int = 0
) -> tuple[int, Any]:
    service = cluster.nodes[node].service
    assert service is not None
    raw = body if isinstance(body, bytes) else orjson.dumps(body) if body is not None else b""
    response = await service.serve_public(Request(method, path, raw))
    if response.status in (429, 503):
        assert any(name == "retry-after" for name, _ in response.headers)
    return response.status, orjson.loads(response.body)


MALFORMED_BODIES = [
    b"not json",
    b"[1]",
    submission_body(name_id="x-1"),
    submission_body(name_id="j-000412\n"),
    submission_body(name_id=...),
    submission_body(docket=...),
    submission_body(parcels=0),
    submission_body(parcels=100_001),
    submission_body(parcels="3"),
    submission_body(parcels=2.5),
    submission_body(cores=-1.0),
    submission_body(cores="2"),
    submission_body(shape="heap"),
    submission_body(rank="low-ish"),
    submission_body(together=1),
    submission_body(due_s=-1.0),
    submission_body(builds="gpu"),
    submission_body(guess_s=None),
]
UNSATISFIABLE_BODIES = [
    submission_body(crew="nobody"),
    submission_body(cores=64.0),
    submission_body(builds=["cpu"]),
    submission_body(builds=["unheard"]),
    submission_body(yard="mars"),
    submission_body(shape="gang", parcels=7),
    submission_body(shape="daemon", parcels=7),
    submission_body(accelerators=4.0, memory_gb=100.0),
]


def test_statuses_of_submissions() -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        for body in MALFORMED_BODIES:
            assert (await send_request(cluster, "POST", "/submissions", body))[0] == 400, body
        for body in UNSATISFIABLE_BODIES:
            assert (await send_request(cluster, "POST", "/submissions", body))[0] == 422, body
        assert (await send_request(cluster, "GET", "/submissions/j-000412"))[0] == 404
        assert (await send_request(cluster, "POST", "/submissions/j-000412/cancel"))[0] == 404
        without_optional_fields = submission_body(builds=..., yard=..., due_s=...)
        assert await send_request(cluster, "POST", "/submissions", without_optional_fields) == (
            201,
            {"name_id": "j-000412", "standing": "queued"},
        )
        # An id that is already accepted gets 200, before the rest of the request is validated.
        for body in (
            submission_body(),
            submission_body(cores=-1.0),
            submission_body(crew="nobody"),
            submission_body(parcels=0),
        ):
            assert (await send_request(cluster, "POST", "/submissions", body, node=2))[0] == 200
        status, answer = await send_request(cluster, "GET", "/submissions/j-000412", node=1)
        assert (status, answer["standing"]) == (200, "queued")
        cancelled = (200, {"name_id": "j-000412", "standing": "aborted"})
        assert await send_request(cluster, "POST", "/submissions/j-000412/cancel", node=1) == cancelled
        assert await send_request(cluster, "POST", "/submissions/j-000412/cancel") == cancelled
        for node in range(3):
            assert (await send_request(cluster, "POST", "/submissions", submission_body(), node=node)) == cancelled

    run_scenario(scenario)


def test_outage_and_unknown_machine_types_get_503() -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        await send_request(cluster, "POST", "/submissions", submission_body())
        service = cluster.nodes[0].service
        assert service is not None
        service.submission_handlers.set_catalog(None)
        assert (await send_request(cluster, "POST", "/submissions", submission_body(name_id="j-000001")))[0] == 503
        assert (await send_request(cluster, "POST", "/submissions", submission_body()))[0] == 200
        cluster.state.is_down = True
        for method, path in (("GET", ""), ("POST", "/cancel")):
            assert (await send_request(cluster, method, f"/submissions/j-000412{path}", node=1))[0] == 503
        assert (await send_request(cluster, "POST", "/submissions", submission_body(name_id="j-000002"), node=1))[
            0
        ] == 503
        assert (await send_request(cluster, "GET", "/submissions/j-000003", node=1))[0] == 503

    run_scenario(scenario)


def test_flood_of_polls_gets_429_and_does_not_end_the_leader_term() -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(5)
        leader = cluster.current_leader()
        lease_before = leader.service.leader_election.leader_lease if leader.service else None
        polls = [send_request(cluster, "GET", f"/submissions/j-7{i:06d}", node=i % 3) for i in range(3000)]
        statuses = [status for status, _ in await asyncio.gather(*polls)]
        assert set(statuses) <= {404, 429} and statuses.count(429) > 2000
        assert (await send_request(cluster, "GET", "/healthz"))[0] == 200
        await asyncio.sleep(5)
        assert leader.service is not None and leader.service.leader_election.leader_lease is lease_before

    run_scenario(scenario)


def test_waiting_polls_share_one_read() -> None:
    """If each poll needs a read of its own, polls about many small jobs use up the leader's lease renewals."""

    async def scenario(cluster: SimulatedCluster) -> None:
        for i in range(40):
            assert (await send_request(cluster, "POST", "/submissions", submission_body(name_id=f"j-{i:06d}")))[
                0
            ] == 201
        reads = 0
        handle = cluster.state.handle

        async def count_reads(node: str, method: str, path: str, body: Any) -> Any:
            nonlocal reads
            # The leader's watch blocks until a change; reads for polls do not block.
            reads += node == "n1" and (path.startswith("/store/") or "block_ms=0" in path)
            return await handle(node, method, path, body)

        cluster.state.handle = count_reads  # type: ignore[method-assign]
        polls = [send_request(cluster, "GET", f"/submissions/j-{i % 40:06d}", node=1) for i in range(400)]
        answers = await asyncio.gather(*polls)
        assert {status for status, _ in answers} == {200}
        assert reads <= 3
        assert (await send_request(cluster, "POST", "/submissions/j-000007/cancel", node=0))[0] == 200
        assert (await send_request(cluster, "GET", "/submissions/j-000007", node=1))[1]["standing"] == "aborted"

    run_scenario(scenario)


def test_surplus_best_effort_submissions_get_429_and_owned_job_is_accepted() -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        def best_effort_body(i: int) -> dict[str, Any]:
            body = submission_body(name_id=f"j-1{i:05d}", crew="guest", accelerators=0.0, parcels=1)
            return cluster.jobs.setdefault(body["name_id"], body)

        statuses = [(await send_request(cluster, "POST", "/submissions", best_effort_body(i)))[0] for i in range(600)]
        assert statuses[:20] == [201] * 20
        assert set(statuses) == {201, 429} and statuses.count(429) > 100
        # Registered before the submission, as a worker may get one of its tasks at once.
        owned_body = cluster.jobs.setdefault("j-000412", submission_body())
        assert (await send_request(cluster, "POST", "/submissions", owned_body))[0] == 201
        # A repeated submission of an accepted job gets 200, also when the team's share is used up.
        assert (await send_request(cluster, "POST", "/submissions", best_effort_body(0)))[0] == 200

    run_scenario(scenario)


def test_conflict_in_a_group_commit_fails_only_its_own_write() -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        client = KeyValueStoreClient("10.2.0.1:1", make_settings(0).params.kv_store, cluster.nodes[0].connect)
        committer = GroupCommitter(client, 100)
        cluster.spawn(committer.run())
        await client.compare_and_swap([], [{"put": "x/5", "v": 1}])
        results = await asyncio.gather(
            *(committer.commit([(f"x/{i}", 0)], [{"put": f"x/{i}", "v": i}]) for i in range(60)), return_exceptions=True
        )
        assert [i for i, result in enumerate(results) if isinstance(result, CompareFailed)] == [5]
        assert all(isinstance(result, int) for i, result in enumerate(results) if i != 5)

    run_scenario(scenario)


@pytest.mark.parametrize("is_committed", [True, False])
def test_transaction_without_an_answer_is_resolved_by_reading(
    is_committed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(cluster: SimulatedCluster) -> None:
        service = cluster.nodes[0].service
        assert service is not None
        compare_and_swap = service.kv_store.compare_and_swap

        async def unanswered(guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
            if is_committed:
                await compare_and_swap(guards, ops)
            raise Unreachable("no answer")

        monkeypatch.setattr(service.kv_store, "compare_and_swap", unanswered)
        status, _ = await send_request(cluster, "POST", "/submissions", submission_body())
        assert status == (200 if is_committed else 503)

    run_scenario(scenario)


def test_bitmap_chunk_of_8192_tasks_fits_the_smallest_value_limit() -> None:
    bitmap = bytearray(b"\xa5" * 1024)
    text = encode_bitmap(bytes(bitmap))
    assert len(text) < 2048
    assert list(decode_task_numbers(text, 8192))[:3] == [8192, 8194, 8197]
    assert len(chunk_numbers(100_000)) == 13
