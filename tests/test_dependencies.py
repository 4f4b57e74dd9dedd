"""Jobs that wait for jobs: the graph against brute force, and simulated days with the rules for them."""

import asyncio
import random
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import orjson
import pytest

from roseweir.clock import seconds
from roseweir.dependencies import slack
from roseweir.dependencies.graph import (
    CANCELLED,
    DONE,
    DependencyGraph,
    GraphChange,
    Stage,
    latest_starts,
    longest_path_ms,
)
from roseweir.dependencies.reconciler import DependencyReconciler
from roseweir.http import Reply
from roseweir.kv_store import Entry, KeyValueStoreClient
from roseweir.kv_store.client import WatchEvent
from roseweir.notifier import Notifier
from roseweir.scheduler.cluster_state import WAITING_FOR_DEPENDENCIES, ClusterState
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import JobRun
from roseweir.scheduler.preemption import may_preempt
from roseweir.scheduler.queue_order import build_queue
from roseweir.scheduler.starvation import waiting_time
from roseweir.submissions.dependency_storage import split_dependencies
from roseweir.submissions.jobs import StoredDependencies, completed_job
from tests.simulation import virtual_time
from tests.simulation.cluster import EXTENDED_FAULTS, SimulatedCluster, virtual_now
from tests.simulation.job_dependencies import DependencyCluster
from tests.simulation.job_specs import make_job_spec
from tests.simulation.workflows import WorkflowCluster
from tests.test_scheduler import NOW, make_cluster_state
from tests.test_simulated_days import check

Patch = pytest.MonkeyPatch

# -- the graph, against brute force ---------------------------------------------------------------


class Model:
    """What the graph should hold, worked out anew from all that has happened."""

    def __init__(self) -> None:
        self.names: dict[str, list[str]] = {}
        self.own: dict[str, int] = {}
        self.over: dict[str, str] = {}

    def needs(self, job: str) -> set[str]:
        found = set(self.names[job])
        for name in self.names[job]:
            found |= self.needs(name)
        return found

    def cancelled_with(self, job: str) -> bool:
        return job not in self.over and any(self.over.get(name) == CANCELLED for name in self.needs(job))

    def released(self, job: str) -> bool:
        return all(self.over.get(name) == DONE for name in self.names[job])

    def alive(self, job: str) -> bool:
        return job not in self.over and not self.cancelled_with(job)

    def priority(self, job: str) -> int:
        needing = [other for other in self.names if self.alive(other) and job in self.needs(other)]
        return min([self.own[job], *(self.own[other] for other in needing)])


@pytest.mark.parametrize("seed", range(60))
def test_any_graph_releases_cancels_and_ranks_as_worked_out_by_hand(seed: int) -> None:
    draw = random.Random(seed)
    graph, model = DependencyGraph(), Model()
    released: set[str] = set()
    cancelled: set[str] = set()
    priority: dict[str, int] = {}

    def take(change: GraphChange) -> None:
        assert not released & set(change.released), "a job is released once"
        released.update(change.released)
        cancelled.update(change.cancelled_with)
        priority.update(change.priorities)

    for number in range(draw.choice([10, 40])):
        job = f"j-{number}"
        known = sorted(model.names)
        model.names[job] = draw.sample(known, min(len(known), draw.choice([0, 1, 1, 2, 4])))
        model.own[job] = priority[job] = draw.randint(0, 3)
        if model.names[job]:
            needs = [name for name in model.names[job] if model.over.get(name) != DONE]
            take(graph.add_job(job, model.own[job], needs))
            for name in needs:
                if model.over.get(name) == CANCELLED:
                    take(graph.record_end(name, CANCELLED))
                else:
                    take(graph.record_priority(name, model.own[name]))
        for _ in range(draw.choice([0, 0, 1, 2])):
            able = [name for name in model.names if name not in model.over]
            if not able:
                break
            ends = draw.choice(able)
            state = DONE if model.released(ends) and draw.random() < 0.8 else CANCELLED
            if state == CANCELLED and draw.random() < 0.5 and not model.cancelled_with(ends):
                continue
            model.over[ends] = state
            take(graph.record_end(ends, state))
        for name in model.names:
            if name in model.over:
                assert name not in graph and name not in graph.dependents
                continue
            assert (name in graph.cancelled_with) == model.cancelled_with(name)
            if model.names[name] and not model.cancelled_with(name):
                assert (name in released) == model.released(name)
            if model.alive(name):
                assert priority[name] == model.priority(name)
        assert cancelled <= {name for name in model.names if model.cancelled_with(name) or model.over.get(name)}


@pytest.mark.parametrize("seed", range(30))
def test_latest_starts_and_paths_are_those_of_all_ways_through_the_graph(seed: int) -> None:
    draw = random.Random(seed)
    count = draw.randint(2, 9)
    names = {n: draw.sample(range(n), min(n, draw.randint(0, 3))) for n in range(count)}
    needed_by = {f"j-{n}": {f"j-{m}" for m in names if n in names[m]} for n in names}
    stages = {f"j-{n}": Stage(draw.randint(1, 9), draw.choice([None, draw.randint(0, 50)])) for n in names}

    def ways(job: str) -> list[list[str]]:
        further = [way for name in sorted(needed_by[job]) for way in ways(name)]
        return [[job], *([job, *way] for way in further)]

    expected: dict[str, int] = {}
    for job in needed_by:
        for way in ways(job):
            due = stages[way[-1]].deadline_ms
            if due is not None:
                start = due - sum(stages[name].duration_ms for name in way)
                expected[job] = min(start, expected.get(job, start))
        longest = max(sum(stages[name].duration_ms for name in way) for way in ways(job))
        assert longest_path_ms(job, needed_by, lambda name: stages[name].duration_ms) == longest
    found = latest_starts(sorted(needed_by), needed_by, stages.__getitem__)
    assert {job: latest.start_ms for job, latest in found.items()} == expected


def test_a_long_pipeline_and_a_wide_one_take_no_recursion_and_little_time() -> None:
    graph = DependencyGraph()
    for n in range(1, 5000):
        graph.add_job(f"j-{n}", 2, [f"j-{n - 1}"])
    graph.record_priority("j-0", 2)
    change = graph.add_job("j-last", 0, ["j-4999"])
    assert len(change.priorities) == 5000 and graph.effective_priority("j-1") == 0
    assert len(latest_starts(list(graph.dependencies), graph.dependents, lambda job: Stage(1, 10**6))) == 5000
    assert len(graph.record_end("j-0", CANCELLED).cancelled_with) == 5000
    for n in range(5000):
        graph.add_job(f"w-{n}", 2, ["root"])
    assert len(graph.record_end("root", DONE).released) == 5000
    assert not graph.dependencies and not graph.dependents


# -- simulated days -------------------------------------------------------------------------------


def arriving(count: int, length: float, cancels: float = 0.0, **more: Any) -> Any:
    async def act(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, DependencyCluster)
        await asyncio.sleep(8)
        for _ in range(count):
            cancel_after = cluster.rng.uniform(0.0, 6.0) if cluster.rng.random() < cancels else None
            depth, width = cluster.rng.choice([(2, 1), (4, 1), (3, 3), (2, 6)])
            cluster.spawn(cluster.submit_pipeline(depth, width, cancel_after, **more))
            await asyncio.sleep(cluster.rng.expovariate(count / length))

    return act


def test_pipelines_run_in_their_order_and_end() -> None:
    cluster = DependencyCluster(8800, is_calm=True)
    cluster.schedule_action(arriving(8, 20))
    check(cluster.run(length_s=90, job_count=3))
    assert len(cluster.dependencies) > 20 and cluster.jobs_without_observed_end() == []
    assert not [key for key in cluster.state.keys if key.startswith("awaits/")], "names of jobs that are over stay"


def test_what_needs_a_cancelled_job_is_cancelled_and_never_starts() -> None:
    cluster = DependencyCluster(8810, is_calm=True)
    cluster.schedule_action(arriving(8, 20, cancels=1.0, guess_s=13.0))
    check(cluster.run(length_s=150, job_count=3))
    cancelled = {
        job
        for job in cluster.dependencies
        if not cluster.dependencies[job] and cluster.observed_ends.get(job) == "aborted"
    }
    after = {job for job in cluster.dependencies if cluster.ancestors(job) & cancelled}
    assert len(cancelled) > 5 and len(after) > 10 and cluster.jobs_without_observed_end() == []
    for job in cluster.dependencies:
        assert cluster.observed_ends[job] == ("aborted" if job in after | cancelled else "done")
        assert job not in after or not any(name == job for name, _, _ in cluster.started_attempts)


@pytest.mark.parametrize("seed", range(8820, 8828))
def test_rough_days_with_pipelines_break_no_rule(seed: int) -> None:
    cluster = DependencyCluster(seed, faults=EXTENDED_FAULTS, restart_delay_range_s=(0.1, 3.0))
    cluster.schedule_action(arriving(10, 50, cancels=0.3))
    check(cluster.run(length_s=110, job_count=8))
    assert len(cluster.dependencies) > 15


@pytest.mark.parametrize("seed", range(8840, 8846))
def test_leaders_that_crash_at_any_moment_release_nothing_early_and_forget_no_cancel(seed: int) -> None:
    cluster = DependencyCluster(seed, is_calm=True, restart_delay_range_s=(0.1, 1.0))
    cluster.schedule_action(arriving(8, 30, cancels=0.5))

    async def crash(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        while virtual_now() < 55:
            await asyncio.sleep(cluster.rng.uniform(0.5, 6))
            await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(crash)
    check(cluster.run(length_s=110, job_count=3))
    assert len(cluster.dependencies) > 15 and cluster.jobs_without_observed_end() == []


def test_late_writes_while_leaders_follow_one_another_release_nothing_early() -> None:
    cluster = DependencyCluster(8850, is_calm=True, restart_delay_range_s=(0.1, 1.0))
    cluster.schedule_action(arriving(10, 40, cancels=0.4))

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        cluster.late_write_probability = 0.3
        while virtual_now() < 60:
            await asyncio.sleep(cluster.rng.uniform(2, 8))
            await cluster.restart_controller(cluster.current_leader())
        cluster.late_write_probability = 0.0

    cluster.schedule_action(act)
    check(cluster.run(length_s=130, job_count=3))
    assert len(cluster.dependencies) > 15 and cluster.jobs_without_observed_end() == []


def reconciler_of(cluster: SimulatedCluster) -> DependencyReconciler | None:
    reign = next((n.service.leader_term for n in cluster.nodes if n.service and n.service.leader_term), None)
    return None if reign is None else reign.dependency_reconciler


def test_a_job_that_names_a_cancelled_one_is_cancelled_and_one_that_its_user_cancels_takes_its_own_along() -> None:
    cluster = DependencyCluster(8811, is_calm=True)
    jobs: list[str] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for awaits in ([], [0], [1], [0], [3]):
            job = cluster.make_stage(guess_s=8.0)
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, [jobs[n] for n in awaits])
            # The second is cancelled by its own user, while it waits.
            cluster.spawn(cluster.poll_until_ended(jobs[-1], virtual_now() + 2.0 if len(jobs) == 2 else 1e9))
        await asyncio.sleep(4)
        for name in (jobs[1], jobs[2]):
            # Also long after the end of what is named, and under another leader.
            job = cluster.make_stage()
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, [name])
            cluster.spawn(cluster.poll_until_ended(jobs[-1]))
            await asyncio.sleep(3)
            await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(act)
    check(cluster.run(length_s=80, job_count=2))
    told = [cluster.observed_ends.get(job) for job in jobs]
    assert told == ["done", "aborted", "aborted", "done", "done", "aborted", "aborted"]


@pytest.mark.parametrize("also", ["", "leader", "all"])
def test_an_outage_right_after_a_cancel_starts_nothing_and_the_ends_are_written_after_it(also: str) -> None:
    cluster = DependencyCluster(8812, is_calm=True, restart_delay_range_s=(0.1, 1.0))
    jobs: list[str] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for n in range(6):
            job = cluster.make_stage(guess_s=9.0)
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, jobs[n - 1 : n])
        await asyncio.sleep(2)
        cluster.cancel_requested.update(jobs)
        status, answer = await cluster.ask("POST", f"/submissions/{jobs[0]}/cancel")
        cluster.state.is_down = True
        assert (status, answer["standing"]) == (200, "aborted")
        if also:
            for node in [cluster.current_leader()] if also == "leader" else cluster.nodes:
                cluster.spawn(cluster.restart_controller(node))
        await asyncio.sleep(cluster.cancel_deadline_s + 4)
        cluster.state.end_outage()
        await asyncio.sleep(6 if also else 3)
        assert not [key for key in cluster.state.keys if key.startswith("live/") and key[5:] in jobs]
        for job_id in jobs:
            cluster.check_answer(job_id, *await cluster.ask("GET", f"/submissions/{job_id}"))
        cluster.is_over = True

    cluster.schedule_action(act)
    check(cluster.run(length_s=80, job_count=0))
    assert cluster.is_over and [cluster.observed_ends.get(job) for job in jobs] == ["aborted"] * 6
    assert {name for name, _, _ in cluster.started_attempts} & set(jobs) <= {jobs[0]}


def test_a_pipeline_of_a_thousand_is_ended_with_the_changes_that_are_left_over() -> None:
    cluster = DependencyCluster(8813, is_calm=True, write_rps=21.0, txn_ops=8, value_kb=2.0)
    jobs: list[str] = []
    left: list[tuple[int, int]] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for n in range(1000):
            job = cluster.make_stage(guess_s=60.0)
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, cluster.rng.sample(jobs[max(0, n - 5) : n], min(n, 2)))
        await asyncio.sleep(3)
        cluster.cancel_requested.update(jobs)
        await cluster.ask("POST", f"/submissions/{jobs[0]}/cancel")
        began = virtual_now()
        while virtual_now() < began + 150:
            await asyncio.sleep(1)
            reconciler = reconciler_of(cluster)
            if reconciler is not None:
                waiting = sum(f"live/{job_id}" in cluster.state.keys for job_id in jobs)
                if not left:
                    # All are known to be cancelled at once, however long their ends take to be written.
                    assert len(reconciler.graph.cancelled_with) > 900 and not reconciler.graph.dependencies
                left.append((round(virtual_now() - began), waiting))
                if not waiting:
                    break
        cluster.is_over = True

    cluster.schedule_action(act)
    check(cluster.run(length_s=220, job_count=3))
    assert left[-1][1] == 0, left[-1]
    assert {name for name, _, _ in cluster.started_attempts} & set(jobs) <= {jobs[0]}


class MixedWorld(WorkflowCluster, DependencyCluster):
    """Chains, and submissions that await their steps."""


def test_a_submission_may_await_a_chains_step() -> None:
    cluster = MixedWorld(8814, is_calm=True)
    cluster.schedule_action(cluster.watch_viewer)
    after: list[str] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        assert await cluster.submit_amendment(amendment) == 201
        steps = [step["job"]["name_id"] for step in amendment["steps"]]
        for awaits in ([steps[0]], [steps[-1]], steps):
            job = cluster.make_stage()
            after.append(job["name_id"])
            await cluster.submit_and_register(job, awaits)
            cluster.spawn(cluster.poll_until_ended(after[-1]))

    cluster.schedule_action(act)
    check(cluster.run(length_s=90, job_count=2))
    assert [cluster.observed_ends.get(job) for job in after] == ["done"] * 3


# -- the board ------------------------------------------------------------------------------------


def test_a_job_that_waits_counts_for_nothing_and_its_times_count_from_its_release() -> None:
    cluster_state = make_cluster_state()
    first, last = cluster_state.add_job(make_job_spec(1, priority=3, accepted_ms=5_000), 1), None
    last = cluster_state.add_job(
        make_job_spec(
            2, priority=1, accepted_ms=6_000, deadline_s=60.0, depends_on=StoredDependencies(job_ids=["j-000001"])
        ),
        2,
    )
    assert (
        last.hold_reason == WAITING_FOR_DEPENDENCIES
        and last.pending_count == 0
        and build_queue(cluster_state, NOW) == [first]
    )
    cluster_state.release_job(last, 50_000)
    other = cluster_state.add_job(make_job_spec(3, priority=1, accepted_ms=49_000), 3)
    assert last.pending_count == 1 and build_queue(cluster_state, NOW) == [other, last, first]
    assert last.deadline_base_ms == 6_000, "its deadline counts from its submission"
    assert waiting_time(last, NOW - seconds(100), NOW) == seconds(50)


def test_a_job_has_the_rank_of_what_needs_it_as_preemptor_and_as_victim() -> None:
    cluster_state = make_cluster_state()
    low, normal = (
        cluster_state.add_job(make_job_spec(1, priority=3), 1),
        cluster_state.add_job(make_job_spec(2, priority=2), 2),
    )
    assert build_queue(cluster_state, NOW) == [normal, low] and not may_preempt(cluster_state, low, normal)
    assert may_preempt(cluster_state, normal, low)
    cluster_state.set_effective_priority(low, 1)
    assert build_queue(cluster_state, NOW) == [low, normal] and may_preempt(cluster_state, low, normal)
    assert not may_preempt(cluster_state, normal, low)
    cluster_state.set_effective_priority(low, 2)
    assert not may_preempt(cluster_state, low, normal) and not may_preempt(cluster_state, normal, low)


def test_stages_behind_which_time_runs_out_come_first_and_what_is_lost_makes_way() -> None:
    cluster_state = make_cluster_state()
    names = {1: [], 2: [1], 3: [2], 4: [], 5: [4]}
    due = {3: 200.0, 5: 4000.0}
    graph = DependencyGraph()
    for n, awaits in names.items():
        named = StoredDependencies(job_ids=[f"j-{name:06d}" for name in awaits])
        cluster_state.add_job(
            make_job_spec(n, estimated_duration_s=50.0, accepted_ms=0, deadline_s=due.get(n), depends_on=named), n
        )
        if awaits:
            graph.add_job(f"j-{n:06d}", 2, named.job_ids)
    cluster_state.runtime_ratios["c"] = 1.2  # tasks of the class take longer than their owners say
    starts = slack.latest_start_times(cluster_state, graph, [*graph.dependencies, *graph.dependents])
    assert {n: starts[f"j-{n:06d}"].start_ms for n in names} == {
        1: 20_000, 2: 80_000, 3: 140_000, 4: 3_880_000, 5: 3_940_000,
    }  # fmt: skip
    assert slack.slack_of_jobs_at_risk(starts, 0) == {"j-000001": 20_000}, "the others have time enough"
    assert slack.slack_of_jobs_at_risk(starts, 150_000) == {
        "j-000001": -130_000,
        "j-000002": -70_000,
        "j-000003": -10_000,
    }
    assert "j-000001" not in slack.slack_of_jobs_at_risk(starts, 20_000 + 180_001)
    cluster_state.set_slack("promises", {"j-000009": 1, "j-000001": 5})
    cluster_state.set_slack("pipelines", slack.slack_of_jobs_at_risk(starts, 0))
    assert cluster_state.slack_ms_by_job == {"j-000009": 1, "j-000001": 5}, "the least counts"
    cluster_state.set_slack("promises", {})
    assert cluster_state.slack_ms_by_job == {"j-000001": 20_000}


class Store:
    """Reads of the state service, as far as the reconciler asks for them."""

    def __init__(self) -> None:
        self.keys: dict[str, Any] = {}
        self.asked: list[str] = []

    async def get_many(self, keys: Iterable[str]) -> dict[str, Entry | None]:
        return {key: await self.get(key) for key in keys}

    async def get(self, key: str) -> Entry | None:
        self.asked.append(key)
        return Entry(key, self.keys[key], 1) if key in self.keys else None

    async def scan(self, prefix: str) -> tuple[list[Entry], int]:
        return [Entry(key, value, 1) for key, value in self.keys.items() if key.startswith(prefix)], 1

    async def watch(self, prefix: str, after: int, block: timedelta) -> tuple[list[WatchEvent], int]:
        return [WatchEvent(key, value, 1) for key, value in self.keys.items() if key.startswith(prefix)], 1


def new_reconciler(cluster_state: ClusterState) -> tuple[DependencyReconciler, LogWriter, Store]:
    store = Store()
    client: Any = KeyValueStoreClient("", cluster_state.settings.params.kv_store, lambda address, pool: None)  # type: ignore[arg-type, return-value]
    for name in ("get", "get_many", "scan", "watch"):
        setattr(client, name, getattr(store, name))
    recorder = LogWriter(client, cluster_state, 1, Notifier())
    reconciler = DependencyReconciler(cluster_state, client, recorder, lambda: True, pytest.fail)
    recorder.on_job_ended = reconciler.record_end
    return reconciler, recorder, store


def over(state: str) -> dict[str, Any]:
    return {"state": state, "tasks": 1}


def waiting(cluster_state: ClusterState, number: int, *names: int, **more: Any) -> JobRun:
    awaited = StoredDependencies(job_ids=[f"j-{name:06d}" for name in names])
    return cluster_state.add_job(make_job_spec(number, depends_on=awaited, **more), number)


def test_the_call_that_confirms_the_last_end_releases_the_job() -> None:
    cluster_state = make_cluster_state()
    reconciler, recorder, _ = new_reconciler(cluster_state)
    first, second = cluster_state.add_job(make_job_spec(1), 1), cluster_state.add_job(make_job_spec(2), 2)
    last = waiting(cluster_state, 3, 1, 2)
    reconciler.add_job(last)

    async def end(run: JobRun) -> None:
        recorder.record_job_end(run.spec.id, completed_job(run.spec, "done"))

    asyncio.run(end(first))
    second.mark_completed(0)
    assert last.hold_reason and second.is_complete, "complete is not durably done"
    cluster_state.needs_scheduling = False
    asyncio.run(end(second))
    assert (
        not last.hold_reason
        and cluster_state.needs_scheduling
        and last.pending_count == 1
        and last.eligible_from_ms > last.spec.accepted_ms
    )


def test_an_end_that_is_not_there_yet_keeps_a_job_held_and_is_asked_for_again() -> None:
    cluster_state = make_cluster_state()
    reconciler, _, store = new_reconciler(cluster_state)
    late, lost, bad = waiting(cluster_state, 3, 1), waiting(cluster_state, 4, 2), waiting(cluster_state, 5, 9)
    for run in (late, lost, bad):
        reconciler.add_job(run)
    store.keys |= {"over/j-000002": over("cancelled"), "over/j-000009": {"state": 7}}
    asyncio.run(reconciler._read_ends())
    assert (
        late.hold_reason == bad.hold_reason == WAITING_FOR_DEPENDENCIES
        and "cancelled with j-000002" in lost.hold_reason
    )
    asyncio.run(reconciler._read_ends())
    assert late.hold_reason == bad.hold_reason == WAITING_FOR_DEPENDENCIES
    store.keys |= {"over/j-000001": over("done")}
    asyncio.run(reconciler._read_ends())
    assert not late.hold_reason and bad.hold_reason and late.eligible_from_ms == late.spec.accepted_ms
    asked = len(store.asked)
    again = waiting(cluster_state, 6, 1, 2)
    reconciler.add_job(again)
    assert "cancelled with" in again.hold_reason and len(store.asked) == asked, "an end is read once"


def test_a_new_leader_goes_on_with_what_was_released_and_holds_the_rest() -> None:
    cluster_state = make_cluster_state()
    reconciler, recorder, store = new_reconciler(cluster_state)
    placed, begun, held, unreadable = (waiting(cluster_state, n, 1, task_count=3) for n in (3, 4, 5, 6))
    machine = cluster_state.restore_machine("i-1", next(iter(cluster_state.catalog.values())), "a", True, NOW)
    cluster_state.restore_placement(placed, 0, machine, 1, NOW)
    begun.mark_completed(0)
    unreadable.hold_reason = "its record to be readable"
    store.keys |= {
        "over/j-000001": over("done"),
        "over/j-000007": over("done"),
        "awaits/j-000007/d/0": [],
        "awaits/j-000008/d/0": [],
    }
    reconciler.rebuild(1)
    assert not placed.hold_reason and not begun.hold_reason and held.hold_reason == WAITING_FOR_DEPENDENCIES
    asyncio.run(reconciler._read_ends())
    assert not held.hold_reason and unreadable.hold_reason == "its record to be readable"
    reconciler._has_stored_lists.set()
    asyncio.run(reconciler._collect_orphaned_lists())
    assert recorder.orphaned_chunk_keys == {"awaits/j-000007/d/0"}, "the other's job may be about to be accepted"


def test_a_new_leader_learns_of_many_ends_by_one_request() -> None:
    cluster_state = make_cluster_state()
    reconciler, _, store = new_reconciler(cluster_state)
    runs = [waiting(cluster_state, n, n - 100) for n in range(101, 150)]
    store.keys |= {f"over/j-{n:06d}": over("done") for n in range(1, 45)}
    reconciler.rebuild(9_000)
    asyncio.run(reconciler._read_ends())
    assert [bool(run.hold_reason) for run in runs] == [False] * 44 + [True] * 5 and len(store.asked) == 5


def test_the_names_that_cannot_be_read_hold_up_their_own_job_alone() -> None:
    cluster_state = make_cluster_state()
    reconciler, _, store = new_reconciler(cluster_state)
    parts = split_dependencies("j-000004", ["j-000001", "j-000002"])
    unreadable = cluster_state.add_job(make_job_spec(3, depends_on=StoredDependencies(part_count=1, digest="d")), 3)
    runs = [unreadable, cluster_state.add_job(make_job_spec(4, depends_on=parts.dependencies), 4)]
    for run in runs:
        reconciler.add_job(run)
    store.keys |= {"awaits/j-000003/d/0": ["j-000001"]} | parts.values_by_key
    store.keys |= {"over/j-000001": over("done"), "over/j-000002": over("done")}
    for run in runs:
        asyncio.run(reconciler._run_or_back_off(reconciler._read_dependency_list(run.spec.id)))
    asyncio.run(reconciler._read_ends())
    assert [bool(run.hold_reason) for run in runs] == [True, False]
    assert "names that are being read" in reconciler.describe_job("j-000003")["awaits"]


def test_the_sweep_obeys_a_limit_that_falls_unannounced() -> None:
    """The settings' 24 changes a transaction were asked for again and again, and no end was ever written."""
    cluster_state = make_cluster_state()
    reconciler, _, _ = new_reconciler(cluster_state)
    sizes: list[int] = []

    async def send(method: str, path: str, body: Any = None, **more: object) -> Reply:
        sizes.append(len(body["then"]))
        return Reply(400, b"too many changes") if sizes[-1] > 8 else Reply(200, orjson.dumps({"ledger": len(sizes)}))

    client: Any = reconciler.kv_store
    client._send = send
    for number in range(2, 42):
        reconciler.add_job(waiting(cluster_state, number, 1))
    reconciler.record_end("j-000001", "cancelled")

    async def work() -> None:
        sweep = asyncio.create_task(reconciler.cancellation_writer.run())
        await asyncio.sleep(60)
        sweep.cancel()

    virtual_time.run_in_virtual_time(work())
    # Each refusal halves what is believed: 24, 12, and then no more than 6.
    assert not cluster_state.jobs and sizes[:2] == [24, 12] and max(sizes[2:]) == 6, sizes


# -- broken variants ------------------------------------------------------------------------------


def early_release(patch: Patch) -> None:
    """A job is released as the board believes that what it awaits is complete, before that is durable."""
    sweep = ClusterState.apply_timeouts

    def swept(self: ClusterState, now: Any) -> None:
        sweep(self, now)
        for run in self.jobs.values():
            if run.hold_reason == WAITING_FOR_DEPENDENCIES and run.spec.dependencies.job_ids:
                others = [self.jobs.get(name) for name in run.spec.dependencies.job_ids]
                if all(other is not None and other.is_complete for other in others):
                    self.release_job(run, run.spec.accepted_ms)

    patch.setattr(ClusterState, "apply_timeouts", swept)


def cascade_forgotten_at_take_over(patch: Patch) -> None:
    """A new leader does not look at how the jobs ended that its jobs await, if somebody cancelled them before."""
    end = DependencyGraph.record_end

    def ended(self: DependencyGraph, job: str, state: str) -> GraphChange:
        return end(self, job, state) if state == DONE else GraphChange()

    begin = DependencyReconciler.rebuild

    def begun(self: DependencyReconciler, revision: int) -> None:
        begin(self, revision)
        if self.cluster_state.term > 1:
            self.graph.record_end = ended.__get__(self.graph)  # type: ignore[method-assign]

    patch.setattr(DependencyReconciler, "rebuild", begun)


def leaders_ending(seed: int) -> DependencyCluster:
    """Pipelines, half of them cancelled at their root, while the state service is slow and leaders end in turn."""
    cluster = DependencyCluster(seed, is_calm=True, restart_delay_range_s=(0.1, 1.0))
    cluster.schedule_action(arriving(8, 30, cancels=0.5))

    async def trouble(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        while virtual_now() < 50:
            cluster.max_store_delay_s = 1.0
            await asyncio.sleep(cluster.rng.uniform(1, 5))
            await cluster.restart_controller(cluster.current_leader())
        cluster.max_store_delay_s = 0.0

    cluster.schedule_action(trouble)
    return cluster


LEADERS_ENDING = range(8860, 8866)


def test_jobs_cancelled_with_others_get_an_end_of_their_own_under_the_last_leader() -> None:
    cancelled = 0
    for seed in LEADERS_ENDING:
        cluster = leaders_ending(seed)
        check(cluster.run(length_s=100, job_count=2))
        assert cluster.uncancelled_descendants(before=60) == []
        cancelled += sum(bool(cluster.ancestors(job) & cluster.cancelled_at.keys()) for job in cluster.dependencies)
    assert cancelled >= 5, "hardly any job was cancelled with another"


def test_a_release_before_the_durable_end_is_caught(monkeypatch: Patch) -> None:
    early_release(monkeypatch)
    worlds = (leaders_ending(seed).run(length_s=100, job_count=2) for seed in LEADERS_ENDING)
    assert any("too_early" in str(error) for cluster in worlds for error in cluster.rule_violations)


def test_a_cascade_that_a_new_leader_forgets_is_caught(monkeypatch: Patch) -> None:
    """Users hear `aborted` all the same, since controllers derive it; the jobs stay live and never get an end."""
    cascade_forgotten_at_take_over(monkeypatch)
    for seed in LEADERS_ENDING:
        cluster = leaders_ending(seed)
        cluster.run(length_s=100, job_count=2)
        if cluster.uncancelled_descendants(before=60):
            return
    pytest.fail("no seed shows it")
