"""Submissions of jobs with dependencies: validation, stored dependency lists, and answers from terminal states."""

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
from roseweir.submissions import completed_jobs, live_job_index
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
from tests.test_submissions import submission_body

SECOND = timedelta(seconds=1)
MACHINE = MachineType("g", 64.0, 8.0, 512.0, 100.0, 1.0, 1.0, 0.3, 4.0, ("a", "b"))


def make_job_id(number: int) -> str:
    return f"j-{number:06d}"


class SubmissionHarness:
    """The submission handlers of two nodes on one key-value store, without a leader: only the test ends jobs."""

    def __init__(self, txn_ops: int = 24, value_kb: float = 8.0, rps: float = 200.0, page_items: int = 1000) -> None:
        self.cluster = SimulatedCluster(1, is_calm=True)
        self.cluster.txn_ops, self.cluster.value_kb = txn_ops, value_kb
        self.state = SimulatedKeyValueStore(self.cluster)
        self.state.max_page_items = page_items
        self.settings = [make_settings(i, txn_ops=txn_ops, value_kb=value_kb) for i in range(2)]
        for node_settings in self.settings:
            node_settings.params.kv_store.max_requests_per_s = rps
        self.progress: dict[str, tuple[int, int]] = {}
        # A transaction that puts a key with this prefix gets no answer. It is committed at once, or kept in
        # `late_transactions` for the test to commit.
        self.unanswered_prefix, self.holds_unanswered = "", False
        self.late_transactions: list[Any] = []
        self.request_count = 0
        self.node_handlers = [self._make_handlers(i) for i in range(2)]

    def _make_handlers(self, index: int) -> SubmissionHandlers:
        async def progress(jobs: list[str]) -> dict[str, tuple[int, int]]:
            return {job_id: self.progress[job_id] for job_id in jobs if job_id in self.progress}

        def connect(address: str, pool: int) -> Callable[..., Awaitable[Reply]]:
            async def send(method: str, path: str, body: Any = None, *, timeout: timedelta) -> Reply:
                await asyncio.sleep(0.004)
                self.request_count += 1
                copy = orjson.loads(orjson.dumps(body))
                puts = [op["put"] for op in copy["then"] if "put" in op] if path == "/txn" else []
                if self.unanswered_prefix and any(key.startswith(self.unanswered_prefix) for key in puts):
                    if self.holds_unanswered:
                        self.late_transactions.append(copy)
                    else:
                        await self.state.handle(f"n{index}", method, path, copy)
                    raise Unreachable("no answer")
                try:
                    async with asyncio.timeout(timeout.total_seconds()):
                        return await self.state.handle(f"n{index}", method, path, copy)
                except TimeoutError:
                    raise Unreachable("no answer in time") from None

            return send

        node_settings = self.settings[index]
        handlers = SubmissionHandlers(
            node_settings, KeyValueStoreClient("10.2.0.1:1", node_settings.params.kv_store, connect), progress
        )
        handlers.set_catalog([MACHINE])
        return handlers

    async def request(self, method: str, path: str, body: Any = None, node: int = 0) -> tuple[int, Any]:
        raw = body if isinstance(body, bytes) else orjson.dumps(body) if body is not None else b""
        response = await self.node_handlers[node].handle(Request(method, path, raw))
        return response.status, orjson.loads(response.body)

    async def submit(self, number: int, depends_on: Any = ..., node: int = 0, **overrides: Any) -> tuple[int, Any]:
        return await self.request(
            "POST", "/submissions", submission_body(name_id=make_job_id(number), awaits=depends_on, **overrides), node
        )

    async def poll_status(self, number: int, node: int = 0) -> str:
        return await self.poll_status_by_id(make_job_id(number), node)

    async def poll_status_by_id(self, job_id: str, node: int) -> str:
        """Poll until the node answers with something other than 429."""
        while True:
            status, answer = await self.request("GET", f"/submissions/{job_id}", node=node)
            if status == 200:
                return str(answer["standing"])
            assert status == 429, (status, answer)
            await asyncio.sleep(1)

    async def cancel(self, number: int, node: int = 0) -> None:
        status, answer = await self.request("POST", f"/submissions/{make_job_id(number)}/cancel", node=node)
        assert (status, answer["standing"]) == (200, "aborted")

    def complete_job(self, number: int, state: Any) -> None:
        """Record the job's terminal state as a leader does."""
        live_entry = self.state.keys.get(f"live/{make_job_id(number)}")
        assert live_entry is not None
        over = to_stored(completed_job(decode_job_spec(live_entry[0]), state))
        result = self.state.commit_transaction(
            {
                "guards": [],
                "then": [{"put": f"over/{make_job_id(number)}", "v": over}, {"delete": f"live/{make_job_id(number)}"}],
            }
        )
        assert result.status == 200


def run_scenario(scenario: Callable[[SubmissionHarness], Awaitable[None]], **options: Any) -> None:
    async def main() -> None:
        with virtual_wall_clock():
            harness = SubmissionHarness(**options)
            tasks = [
                asyncio.ensure_future(run())
                for handlers in harness.node_handlers
                for run in (handlers.live_job_cache.run, handlers.group_commit.run)
            ]
            await asyncio.sleep(0.1)
            await scenario(harness)
            for task in tasks:
                assert not task.done()
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    virtual_time.run_in_virtual_time(main())


@pytest.mark.parametrize(
    "depends_on", ["j-000001", 7, [7], ["x-1"], ["j-000001", None], {"j-000001": 1}, ["j-1234567890123456789"]]
)
def test_malformed_dependency_list_is_rejected_with_400(depends_on: Any) -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        status, answer = await harness.submit(2, depends_on)
        assert status == 400 and "awaits" in answer["error"]
        # An id that is already accepted gets 200, whatever the body.
        assert (await harness.submit(1, depends_on))[0] == 200

    run_scenario(scenario)


def test_dependencies_must_be_accepted_jobs_other_than_services() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        await harness.submit(2, shape="daemon", parcels=1)
        no_dependencies: list[Any] = [None, [], ...]
        for depends_on in no_dependencies:
            assert (await harness.submit(10, depends_on))[0] in (200, 201)
        assert "after" not in harness.state.keys["live/j-000010"][0]
        # The dependency was accepted by the other node, and its id is listed twice.
        status, answer = await harness.submit(11, [make_job_id(1), make_job_id(1)], node=1)
        assert (status, answer["standing"]) == (201, "queued")
        assert harness.state.keys["live/j-000011"][0]["after"] == {"jobs": [make_job_id(1)]}
        for depends_on, expected_text in (
            ([make_job_id(12)], make_job_id(12)),
            ([make_job_id(1), make_job_id(3)], make_job_id(3)),
            ([make_job_id(2)], "service"),
        ):
            for node in (0, 1):
                status, answer = await harness.submit(12, depends_on, node=node)
                assert status == 422 and expected_text in answer["error"]
                assert (await harness.submit(11, depends_on, node=node))[0] == 200
        # A dependency may have ended, also if the node has not read its terminal state.
        harness.complete_job(1, "done")
        for node in (0, 1):
            harness.node_handlers[node]._terminal_states.states.clear()
            assert (await harness.submit(13 + node, [make_job_id(1)], node=node))[1]["standing"] == "queued"
        assert "live/j-000012" not in harness.state.keys

    run_scenario(scenario)


def test_many_dependencies_are_validated_with_few_requests() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        for number in range(1, 400):
            await harness.submit(number)
            if number % 2:
                harness.complete_job(number, "done")
        await asyncio.sleep(6)
        accepted_ids = [make_job_id(number) for number in range(1, 400)]
        for node in (0, 1):
            harness.node_handlers[node]._terminal_states.states.clear()
            requests_before = harness.request_count
            status, answer = await harness.submit(500, [*accepted_ids, make_job_id(777)], node=node)
            assert status == 422 and make_job_id(777) in answer["error"] and make_job_id(3) not in answer["error"]
            assert harness.request_count - requests_before < 12
        requests_before = harness.request_count
        assert (await harness.submit(500, accepted_ids))[0] == 201
        assert harness.request_count - requests_before < 12

    run_scenario(scenario)


def test_restarted_node_shares_reads_between_concurrent_polls() -> None:
    """Each of 400 jobs depends on a completed job: a read each at 24 requests a second would take 15 seconds."""

    async def scenario(harness: SubmissionHarness) -> None:
        for number in range(400):
            await harness.submit(number)
            await harness.submit(1000 + number, [make_job_id(number)])
            harness.complete_job(number, "done" if number % 4 else "cancelled")
        harness.node_handlers[1]._terminal_states.states.clear()
        harness.node_handlers[1].live_job_cache._revision = None
        requests_before, started_at = harness.request_count, asyncio.get_running_loop().time()
        answers = await asyncio.gather(*(harness.poll_status(1000 + number, 1) for number in range(400)))
        assert answers == ["queued" if number % 4 else "aborted" for number in range(400)]
        assert harness.request_count - requests_before < 60
        assert asyncio.get_running_loop().time() - started_at < 2

    run_scenario(scenario, rps=120.0)


@pytest.mark.parametrize(
    "completed_count, requested_count, max_requests", [(40_000, 2000, 60), (40_000, 40, 60), (3000, 2000, 8)]
)
def test_page_length_follows_the_density_of_requested_jobs(
    completed_count: int, requested_count: int, max_requests: int
) -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        rng = random.Random(3)
        over = to_stored(completed_job(JobSpec("", "c", "t0", "array", 2, 1, 1.0, 0.0, 1.0), "done"))
        numbers = rng.sample(range(1_000_000), completed_count)
        harness.state.keys |= {f"over/{make_job_id(number)}": (over, 1, None) for number in numbers}
        depends_on = [make_job_id(number) for number in numbers[:requested_count]]
        requests_before = harness.request_count
        status, _ = await harness.submit(2_000_000, depends_on)
        assert status == 201 and harness.request_count - requests_before <= max_requests

    run_scenario(scenario, rps=1000.0)


def test_live_job_cache_confirms_dependency_when_read_budget_is_exhausted() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        # The budget does not recover before the terminal state is to be read.
        harness.node_handlers[1]._read_budget._read_rate_limiter.tokens = -100.0
        assert (await harness.submit(2, [make_job_id(1)], node=1))[0] == 201
        # No 422 without a read.
        assert (await harness.submit(3, [make_job_id(9)], node=1))[0] == 429

    run_scenario(scenario)


def test_ordinary_submission_is_answered_within_150_ms() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        for number in range(1, 60):
            started_at = asyncio.get_running_loop().time()
            depends_on = [make_job_id(number - 1)] if number > 1 else None
            assert (await harness.submit(number, depends_on, node=number % 2))[0] == 201
            assert asyncio.get_running_loop().time() - started_at < 0.15

    run_scenario(scenario)


def test_unanswered_submission_counts_once_its_write_is_durable() -> None:
    """A job whose submission got no answer may be named as a dependency only once its late write is durable."""

    async def scenario(harness: SubmissionHarness) -> None:
        harness.unanswered_prefix, harness.holds_unanswered = "live/j-000001", True
        assert (await harness.submit(1))[0] == 503
        harness.unanswered_prefix = ""
        assert (await harness.submit(2, [make_job_id(1)], node=1))[0] == 422
        assert harness.state.commit_transaction(harness.late_transactions.pop()).status == 200
        assert (await harness.submit(2, [make_job_id(1)], node=1))[0] == 201
        # Jobs with dependencies: the unanswered write is committed at once or late; the second is submitted again
        # with another body.
        harness.unanswered_prefix, harness.holds_unanswered = "live/j-000003", False
        assert (await harness.submit(3, [make_job_id(1)]))[0] == 200
        harness.unanswered_prefix, harness.holds_unanswered = "live/j-000004", True
        assert (await harness.submit(4, [make_job_id(1)]))[0] == 503
        harness.unanswered_prefix = ""
        assert (await harness.submit(4, [make_job_id(2)], node=1))[0] == 201
        assert harness.state.commit_transaction(harness.late_transactions.pop()).status == 409
        assert harness.state.keys["live/j-000004"][0]["after"] == {"jobs": [make_job_id(2)]}
        # A job that is cancelled on acceptance since its dependency was cancelled.
        await harness.cancel(1)
        harness.unanswered_prefix, harness.holds_unanswered = "over/j-000005", True
        assert (await harness.submit(5, [make_job_id(1)]))[0] == 503
        harness.unanswered_prefix = ""
        assert harness.state.commit_transaction(harness.late_transactions.pop()).status == 200
        for node in (0, 1):
            assert (await harness.submit(5, node=node)) == (200, {"name_id": make_job_id(5), "standing": "aborted"})

    run_scenario(scenario)


def test_dependents_of_a_cancelled_job_are_aborted_without_a_leader() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(0)
        for number in range(1, 1000):
            harness.state.keys[f"live/{make_job_id(number)}"] = (
                {
                    **harness.state.keys[f"live/{make_job_id(0)}"][0],
                    "id": make_job_id(number),
                    "after": {"jobs": [make_job_id(number - 1)]},
                },
                2,
                None,
            )
        await harness.submit(2000)
        for handlers in harness.node_handlers:
            handlers.live_job_cache._revision = None
        assert [await harness.poll_status(999, node) for node in (0, 1)] == ["queued", "queued"]
        await harness.cancel(0)
        for node in (1, 0):
            assert await harness.poll_status(999, node) == "aborted"
            assert await harness.poll_status(500, node) == "aborted"
            assert await harness.poll_status(2000, node) == "queued"
            assert (await harness.submit(499, node=node)) == (200, {"name_id": make_job_id(499), "standing": "aborted"})
            # A cancel request gets the answer of an aborted job, which stays when the terminal state is recorded.
            await harness.cancel(600 + node, node)
        harness.complete_job(999, "cancelled")
        assert [await harness.poll_status(999, node) for node in (0, 1)] == ["aborted", "aborted"]
        # No terminal state was written for the other jobs.
        assert f"live/{make_job_id(998)}" in harness.state.keys and f"over/{make_job_id(998)}" not in harness.state.keys

    run_scenario(scenario)


def test_dependencies_beyond_the_index_limit_are_read_on_demand(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(live_job_index, "MAX_DEPENDENCY_IDS", 3)

    async def scenario(harness: SubmissionHarness) -> None:
        for number in range(1, 12):
            await harness.submit(
                number, [make_job_id(dependency) for dependency in range(max(1, number - 2), number)], node=number % 2
            )
        assert [await harness.poll_status(11, node) for node in (0, 1)] == ["queued", "queued"]
        assert harness.node_handlers[0].live_job_cache.live_jobs.dependencies(make_job_id(11)) is None
        await harness.cancel(1)
        assert [await harness.poll_status(11, node) for node in (0, 1)] == ["aborted", "aborted"]

    run_scenario(scenario)


def test_traversal_visits_each_job_once_and_finds_cancelled_dependents() -> None:
    live = LiveJobIndex()
    for layer in range(200):
        for number in range(3):
            live.add(
                f"j-{layer}{number}", {"after": {"jobs": [f"j-{layer - 1}{n}" for n in range(3)] if layer else []}}
            )
    traversal = traverse_dependencies(["j-1990"], {}, live, {})
    assert traversal.is_complete and len(traversal.open_dependencies) == 1 + 199 * 3
    traversal = traverse_dependencies(["j-1990"], {"j-01": "cancelled"}, live, {})
    assert (
        traversal.is_cancelled
        and len(traversal.cancelled_dependents) == 199
        and "j-1990" in traversal.cancelled_dependents
    )
    traversal = traverse_dependencies(["j-1990"], {"j-990": "done"}, live, {})
    assert traversal.is_complete and "j-990" not in traversal.open_dependencies
    # Jobs without a cancelled dependency are not traversed again until one of them ends.
    live.not_cancelled_ids.update(traversal.open_dependencies)
    assert traverse_dependencies(["j-1990"], {}, live, {}).open_dependencies == {}
    live.discard("j-01")
    assert traverse_dependencies(["j-1990"], {}, live, {}).unknown_job_ids == {"j-01"}


def test_running_job_and_completed_dependencies_are_not_read_again() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        await harness.submit(2, [make_job_id(1)])
        await harness.submit(3, [make_job_id(2)])
        harness.complete_job(1, "done")
        harness.progress[make_job_id(2)] = (1, 3)
        requests_before = harness.request_count
        assert await harness.poll_status(2) == "running"
        assert harness.request_count - requests_before == 1
        assert await harness.poll_status(3) == "queued"
        assert harness.node_handlers[0].live_job_cache.live_jobs.dependencies(make_job_id(2)) == []
        requests_before = harness.request_count
        assert await harness.poll_status(3) == "queued"
        assert harness.request_count - requests_before == 1  # a terminal state is read once

    run_scenario(scenario)


def test_submission_that_depends_on_a_cancelled_job_is_aborted() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        await harness.submit(2, [make_job_id(1)])
        await harness.submit(3, [make_job_id(2)], node=1)
        await harness.cancel(1)
        await asyncio.sleep(6)
        for number, dependencies in ((10, [1]), (11, [2]), (12, [3]), (13, [10])):
            for node in (0, 1):
                answer = await harness.submit(100 * node + number, [make_job_id(n) for n in dependencies], node=node)
                assert (answer[0], answer[1]["standing"]) == (201, "aborted")
                assert f"live/{make_job_id(100 * node + number)}" not in harness.state.keys
                assert harness.state.keys[f"over/{make_job_id(100 * node + number)}"][0]["state"] == "cancelled"

    run_scenario(scenario)


def test_submission_whose_dependency_reads_time_out_is_answered_afterwards() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        await harness.submit(2, [make_job_id(1)])
        await harness.cancel(1)
        await asyncio.sleep(6)
        harness.node_handlers[1]._terminal_states.states.clear()
        read_states, calls = completed_jobs.CompletedJobReader.read_states, 0

        async def read_states_slowly(self: Any, job_ids: Any, requesting_job_id: str) -> set[str]:
            nonlocal calls
            calls += 1
            await asyncio.sleep(0.3)
            return await read_states(self, job_ids, requesting_job_id)

        with replaced(completed_jobs.CompletedJobReader, "read_states", read_states_slowly):
            answer = await harness.submit(3, [make_job_id(2)], node=1)
        assert calls == 2 and (answer[0], answer[1]["standing"]) == (201, "aborted")
        assert f"live/{make_job_id(3)}" in harness.state.keys

    run_scenario(scenario)


@contextmanager
def replaced(owner: Any, attribute: str, value: Any) -> Any:
    before = getattr(owner, attribute)
    setattr(owner, attribute, value)
    try:
        yield
    finally:
        setattr(owner, attribute, before)


def test_outage_gets_503_and_never_a_wrong_answer() -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        await harness.submit(1)
        await harness.submit(2, [make_job_id(1)])
        await harness.submit(3, [make_job_id(2)])
        assert await harness.poll_status(3, 1) == "queued"
        await harness.cancel(1)
        harness.state.is_down = True
        for node in (0, 1):
            assert (await harness.request("GET", f"/submissions/{make_job_id(3)}", node=node))[0] == 503
            assert (await harness.submit(3, node=node))[0] == 503
            assert (await harness.submit(4, [make_job_id(2)], node=node))[0] == 503
            assert (await harness.submit(5, [make_job_id(9)], node=node))[0] == 503
        harness.state.end_outage()
        for node in (0, 1):
            assert await harness.poll_status(3, node) == "aborted"
        # A terminal state can't change, so a node that has read it answers with it in an outage as well.
        harness.state.is_down = True
        assert await harness.poll_status(3) == "aborted"

    run_scenario(scenario)


def test_dependency_list_that_exceeds_the_job_record_is_stored_in_parts() -> None:
    """4,600 dependencies with values of 2 KiB and 8 changes per transaction."""

    async def scenario(harness: SubmissionHarness) -> None:
        rng = random.Random(5)
        numbers = rng.sample(range(1_000_000), 4600)
        await harness.submit(numbers[0])
        value = harness.state.keys[f"live/{make_job_id(numbers[0])}"][0]
        over = to_stored(completed_job(decode_job_spec(value), "done"))
        for number in numbers[1:]:
            harness.state.keys[f"over/{make_job_id(number)}"] = (over, 1, None)
        job_ids = [make_job_id(number) for number in numbers[1:1000]]
        body = submission_body(name_id="j-5", awaits=[make_job_id(number) for number in numbers])
        assert len(orjson.dumps(body)) < 65536
        while (answer := await harness.request("POST", "/submissions", body))[0] != 201:
            assert answer[0] == 429
            await asyncio.sleep(1)
        assert answer[1]["standing"] == "queued"
        spec = decode_job_spec(harness.state.keys["live/j-5"][0])
        keys = dependency_part_keys("j-5", spec.dependencies)
        assert 1 < len(keys) <= 12 and all(key in harness.state.keys for key in keys)
        assert await read_dependencies(harness.node_handlers[0].kv_store, spec) == sorted(
            make_job_id(number) for number in numbers
        )
        # The other node reads the list and the terminal states once.
        assert [await harness.poll_status_by_id("j-5", node) for node in (0, 1)] == ["queued", "queued"]
        requests_before = harness.request_count
        assert await harness.poll_status_by_id("j-5", 1) == "queued"
        assert harness.request_count - requests_before == 1
        await harness.cancel(numbers[0])
        assert [await harness.poll_status_by_id("j-5", node) for node in (1, 0)] == ["aborted", "aborted"]
        # The transaction that ends the job deletes as many parts as fit; the leader deletes the others later.
        assert (await harness.request("POST", "/submissions/j-5/cancel"))[1]["standing"] == "aborted"
        deleted, remaining = split_part_keys_for_completion("j-5", spec.dependencies, 8 - 2 - 1)
        assert [key in harness.state.keys for key in deleted + remaining] == [False] * len(deleted) + [True] * len(
            remaining
        )
        with pytest.raises(DependenciesUnreadable):
            await read_dependencies(harness.node_handlers[0].kv_store, spec)
        await asyncio.sleep(6)
        assert set(
            await orphaned_part_keys(
                harness.node_handlers[0].kv_store, harness.node_handlers[0].live_job_cache.live_jobs
            )
        ) == set(remaining)
        # Parts of a job that is still being submitted are not orphaned.
        harness.unanswered_prefix, harness.holds_unanswered = "live/j-6", True
        assert (await harness.request("POST", "/submissions", body | {"name_id": "j-6", "awaits": job_ids}))[0] == 503
        harness.unanswered_prefix = ""
        assert any(key.startswith("awaits/j-6/") for key in harness.state.keys)
        assert set(
            await orphaned_part_keys(
                harness.node_handlers[0].kv_store, harness.node_handlers[0].live_job_cache.live_jobs
            )
        ) == set(remaining)
        assert harness.state.commit_transaction(harness.late_transactions.pop()).status == 200
        assert await harness.poll_status_by_id("j-6", 1) == "queued"
        # If the write of a part gets no answer, the job is not accepted.
        harness.unanswered_prefix = "awaits/j-7/"
        assert (await harness.request("POST", "/submissions", body | {"name_id": "j-7", "awaits": job_ids}))[0] == 503
        assert "live/j-7" not in harness.state.keys
        harness.unanswered_prefix = ""
        assert (await harness.request("POST", "/submissions", body | {"name_id": "j-7", "awaits": job_ids}))[0] == 201

    run_scenario(scenario, txn_ops=8, value_kb=2.0)


@pytest.mark.parametrize("count", [1, 300, 3000, 4600])
def test_split_dependencies_fit_the_smallest_value_limit_and_round_trip(count: int) -> None:
    rng = random.Random(count)
    job_ids = {f"j-{rng.randrange(10 ** rng.randint(1, 18))}" for _ in range(count)}
    parts = split_dependencies("j-7", job_ids)
    assert all(len(orjson.dumps(value)) <= 2048 for value in parts.values_by_key.values())
    assert list(parts.values_by_key) == dependency_part_keys("j-7", parts.dependencies)
    assert join_dependencies(parts.values_by_key.values()) == sorted(job_ids)
    assert split_dependencies("j-7", reversed(sorted(job_ids))) == parts
    if parts.dependencies.part_count > 1:
        with pytest.raises(ValueError):
            join_dependencies(list(parts.values_by_key.values())[:-1])


@pytest.mark.parametrize("value_kb", [2.0, 32.0])
def test_job_record_fits_the_smallest_value_limit_under_any_limit(value_kb: float) -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        for number in range(200):
            await harness.submit(number)
        split_list_count = 0
        for count in (1, 50, 90, 120, 200):
            assert (await harness.submit(1000 + count, [make_job_id(number) for number in range(count)]))[0] == 201
            value = harness.state.keys[f"live/{make_job_id(1000 + count)}"][0]
            assert len(orjson.dumps(value)) <= 2048
            split_list_count += "parts" in value["after"]
            dependencies = await read_dependencies(harness.node_handlers[0].kv_store, decode_job_spec(value))
            assert dependencies == [make_job_id(number) for number in range(count)]
        assert 1 <= split_list_count <= 3

    run_scenario(scenario, value_kb=value_kb, rps=1000.0)


def transitively_cancelled(graph: dict[int, list[int]], cancelled: set[int]) -> set[int]:
    """Return the cancelled jobs and all jobs that depend on one of them, directly or not."""
    result = set(cancelled)
    for number in sorted(graph):
        if any(dependency in result for dependency in graph[number]):
            result.add(number)
    return result


class RandomScenario:
    """Jobs that depend on earlier ones, in random order with completions, cancels, a leader's writes, and polls."""

    def __init__(self, harness: SubmissionHarness, seed: int) -> None:
        self.harness, self.rng = harness, random.Random(seed)
        self.graph: dict[int, list[int]] = {}
        self.cancelled: set[int] = set()
        self.done: set[int] = set()
        self.reported_aborted: set[int] = set()

    def is_live(self, number: int) -> bool:
        return f"live/{make_job_id(number)}" in self.harness.state.keys

    async def step(self) -> None:
        action = self.rng.choices(
            [self.submit, self.cancel, self.finish, self.end_cancelled, self.poll, self.clear_caches, self.wait],
            [6, 1, 4, 2, 8, 1, 2],
        )[0]
        await action()

    async def submit(self) -> None:
        number, node = len(self.graph) + 1, self.rng.randrange(2)
        depends_on = self.rng.sample(sorted(self.graph), min(len(self.graph), self.rng.choice([0, 1, 1, 2, 3, 40])))
        while (answer := await self.harness.submit(number, [make_job_id(n) for n in depends_on], node=node))[0] != 201:
            assert answer[0] == 429, answer
            await asyncio.sleep(1)
        self.graph[number] = depends_on
        expected_aborted = number in transitively_cancelled(self.graph, self.cancelled)
        assert answer[1]["standing"] in (("queued", "aborted") if expected_aborted else ("queued",))
        if answer[1]["standing"] == "aborted":
            self.reported_aborted.add(number)
        # The node's cache is at most some seconds old, so only a cancel in the last seconds may be missing from it.
        assert answer[1]["standing"] == "aborted" or not expected_aborted or self.is_cancel_recent()

    def is_cancel_recent(self) -> bool:
        return asyncio.get_running_loop().time() - self.cancelled_at < 6

    cancelled_at = -100.0

    async def cancel(self) -> None:
        live = [n for n in self.graph if self.is_live(n)]
        if live:
            number = self.rng.choice(live)
            await self.harness.cancel(number, self.rng.randrange(2))
            self.cancelled.add(number)
            self.reported_aborted.add(number)
            self.cancelled_at = asyncio.get_running_loop().time()

    async def finish(self) -> None:
        ready = [
            n for n in self.graph if self.is_live(n) and all(dependency in self.done for dependency in self.graph[n])
        ]
        if ready:
            number = self.rng.choice(ready)
            self.harness.complete_job(number, "done")
            self.done.add(number)

    async def end_cancelled(self) -> None:
        expected_aborted = [n for n in transitively_cancelled(self.graph, self.cancelled) if self.is_live(n)]
        for number in self.rng.sample(expected_aborted, min(len(expected_aborted), 2)):
            self.harness.complete_job(number, "cancelled")

    async def poll(self) -> None:
        expected_aborted = transitively_cancelled(self.graph, self.cancelled)
        polled = self.rng.sample(sorted(self.graph), min(len(self.graph), 8))
        answers = await asyncio.gather(*(self.harness.poll_status(n, self.rng.randrange(2)) for n in polled))
        for number, answer in zip(polled, answers, strict=True):
            expected = "aborted" if number in expected_aborted else "done" if number in self.done else "queued"
            assert answer == expected, f"{make_job_id(number)}: {answer}, not {expected}"
            assert answer == "aborted" or number not in self.reported_aborted
            if answer == "aborted":
                self.reported_aborted.add(number)

    async def outage(self) -> None:
        """During an outage, nodes answer 503 or correctly."""
        expected_aborted = transitively_cancelled(self.graph, self.cancelled)
        self.harness.state.is_down = True
        for number in self.rng.sample(sorted(self.graph), min(len(self.graph), 4)):
            path = f"/submissions/{make_job_id(number)}"
            status, answer = await self.harness.request("GET", path, node=self.rng.randrange(2))
            expected = "aborted" if number in expected_aborted else "done" if number in self.done else None
            assert status == 503 or (status, answer["standing"]) == (200, expected)
        self.harness.state.end_outage()

    async def clear_caches(self) -> None:
        """Clear a node's caches, as after a restart or when its watch has fallen too far behind."""
        handlers = self.harness.node_handlers[self.rng.randrange(2)]
        handlers._terminal_states.states.clear()
        handlers.live_job_cache._revision = None

    async def wait(self) -> None:
        await asyncio.sleep(self.rng.choice([0.01, 0.3, 3.0, 8.0]))


@pytest.mark.parametrize("seed", range(12))
def test_answers_match_the_transitive_closure_of_random_graphs(seed: int) -> None:
    async def scenario(harness: SubmissionHarness) -> None:
        random_scenario = RandomScenario(harness, seed)
        for _ in range(250):
            await random_scenario.step()

    run_scenario(scenario, value_kb=2.0, txn_ops=8, rps=2000.0, page_items=3)


def is_caught(variant: Any, owner: Any, attribute: str) -> bool:
    """Return whether a test above fails with this variant in place of the method."""
    with replaced(owner, attribute, variant):
        for check in (
            test_dependencies_must_be_accepted_jobs_other_than_services,
            test_dependents_of_a_cancelled_job_are_aborted_without_a_leader,
        ):
            try:
                check()
            except AssertionError:
                return True
    return False


def test_broken_variants_are_caught() -> None:
    from roseweir.submissions import dependency_validation
    from roseweir.submissions.job_status import JobStatusReader

    async def ignore_dependencies(self: JobStatusReader, job_id: str) -> bool:
        """Answer from the live key alone, which stays until a leader deletes it."""
        return False

    assert is_caught(ignore_dependencies, JobStatusReader, "_is_cancelled_by_dependency")
    assert is_caught(property(lambda self: None), dependency_validation.ValidationResult, "rejection_reason")

    def ignore_services(self: Any) -> str | None:
        return "never accepted: " + ", ".join(self.never_accepted_ids) if self.never_accepted_ids else None

    assert is_caught(property(ignore_services), dependency_validation.ValidationResult, "rejection_reason")


def test_example_pipeline_lists_stages_after_their_dependencies() -> None:
    jobs = orjson.loads((Path(__file__).parent.parent / "examples" / "pipeline.json").read_bytes())
    accepted: list[str] = []
    for stage in jobs:
        submission = msgspec.convert(stage, Submission)
        assert set(submission.depends_on or []) <= set(accepted), "a stage depends on a later stage"
        accepted.append(submission.id)
    assert len(accepted) == 4 and jobs[-1]["due_s"] and not any(stage["due_s"] for stage in jobs[:-1])
