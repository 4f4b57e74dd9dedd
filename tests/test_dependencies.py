"""Jobs with dependencies: the graph against brute force, the reconciler, and simulated days with their rules."""

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
from tests.simulation.cluster import EXTENDED_FAULTS, SimulatedCluster, raise_first_failure, virtual_now
from tests.simulation.job_dependencies import DependencyCluster
from tests.simulation.job_specs import make_job_spec
from tests.simulation.workflows import WorkflowCluster
from tests.test_scheduler import NOW, make_cluster_state

Patch = pytest.MonkeyPatch

# -- the graph, against brute force ---------------------------------------------------------------


class ReferenceModel:
    """The expected state of the graph, computed anew from all recorded events."""

    def __init__(self) -> None:
        self.dependencies: dict[str, list[str]] = {}
        self.own_priority: dict[str, int] = {}
        self.terminal_states: dict[str, str] = {}

    def ancestors(self, job: str) -> set[str]:
        result = set(self.dependencies[job])
        for name in self.dependencies[job]:
            result |= self.ancestors(name)
        return result

    def is_cancelled_by_dependency(self, job: str) -> bool:
        return job not in self.terminal_states and any(
            self.terminal_states.get(name) == CANCELLED for name in self.ancestors(job)
        )

    def is_released(self, job: str) -> bool:
        return all(self.terminal_states.get(name) == DONE for name in self.dependencies[job])

    def is_active(self, job: str) -> bool:
        return job not in self.terminal_states and not self.is_cancelled_by_dependency(job)

    def effective_priority(self, job: str) -> int:
        descendants = [other for other in self.dependencies if self.is_active(other) and job in self.ancestors(other)]
        return min([self.own_priority[job], *(self.own_priority[other] for other in descendants)])


@pytest.mark.parametrize("seed", range(60))
def test_random_graph_matches_the_reference_model(seed: int) -> None:
    rng = random.Random(seed)
    graph, model = DependencyGraph(), ReferenceModel()
    released: set[str] = set()
    cancelled: set[str] = set()
    priority: dict[str, int] = {}

    def apply(change: GraphChange) -> None:
        assert not released & set(change.released), "a job was released twice"
        released.update(change.released)
        cancelled.update(change.cancelled_with)
        priority.update(change.priorities)

    for number in range(rng.choice([10, 40])):
        job = f"j-{number}"
        existing = sorted(model.dependencies)
        model.dependencies[job] = rng.sample(existing, min(len(existing), rng.choice([0, 1, 1, 2, 4])))
        model.own_priority[job] = priority[job] = rng.randint(0, 3)
        if model.dependencies[job]:
            unresolved = [name for name in model.dependencies[job] if model.terminal_states.get(name) != DONE]
            apply(graph.add_job(job, model.own_priority[job], unresolved))
            for name in unresolved:
                if model.terminal_states.get(name) == CANCELLED:
                    apply(graph.record_end(name, CANCELLED))
                else:
                    apply(graph.record_priority(name, model.own_priority[name]))
        for _ in range(rng.choice([0, 0, 1, 2])):
            unfinished = [name for name in model.dependencies if name not in model.terminal_states]
            if not unfinished:
                break
            ended = rng.choice(unfinished)
            state = DONE if model.is_released(ended) and rng.random() < 0.8 else CANCELLED
            if state == CANCELLED and rng.random() < 0.5 and not model.is_cancelled_by_dependency(ended):
                continue
            model.terminal_states[ended] = state
            apply(graph.record_end(ended, state))
        for name in model.dependencies:
            if name in model.terminal_states:
                assert name not in graph and name not in graph.dependents
                continue
            assert (name in graph.cancelled_with) == model.is_cancelled_by_dependency(name)
            if model.dependencies[name] and not model.is_cancelled_by_dependency(name):
                assert (name in released) == model.is_released(name)
            if model.is_active(name):
                assert priority[name] == model.effective_priority(name)
        assert cancelled <= {
            name
            for name in model.dependencies
            if model.is_cancelled_by_dependency(name) or model.terminal_states.get(name)
        }


@pytest.mark.parametrize("seed", range(30))
def test_latest_starts_and_longest_paths_match_enumerated_paths(seed: int) -> None:
    rng = random.Random(seed)
    count = rng.randint(2, 9)
    dependencies = {n: rng.sample(range(n), min(n, rng.randint(0, 3))) for n in range(count)}
    dependents = {f"j-{n}": {f"j-{m}" for m in dependencies if n in dependencies[m]} for n in dependencies}
    stages = {f"j-{n}": Stage(rng.randint(1, 9), rng.choice([None, rng.randint(0, 50)])) for n in dependencies}

    def paths_from(job: str) -> list[list[str]]:
        paths = [path for name in sorted(dependents[job]) for path in paths_from(name)]
        return [[job], *([job, *path] for path in paths)]

    expected: dict[str, int] = {}
    for job in dependents:
        for path in paths_from(job):
            deadline = stages[path[-1]].deadline_ms
            if deadline is not None:
                start = deadline - sum(stages[name].duration_ms for name in path)
                expected[job] = min(start, expected.get(job, start))
        longest = max(sum(stages[name].duration_ms for name in path) for path in paths_from(job))
        assert longest_path_ms(job, dependents, lambda name: stages[name].duration_ms) == longest
    starts = latest_starts(sorted(dependents), dependents, stages.__getitem__)
    assert {job: latest.start_ms for job, latest in starts.items()} == expected


def test_long_and_wide_pipelines_need_no_recursion() -> None:
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


def submit_pipelines(count: int, length_s: float, cancel_probability: float = 0.0, **overrides: Any) -> Any:
    async def submit_all(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, DependencyCluster)
        await asyncio.sleep(8)
        for _ in range(count):
            cancel_after = cluster.rng.uniform(0.0, 6.0) if cluster.rng.random() < cancel_probability else None
            depth, width = cluster.rng.choice([(2, 1), (4, 1), (3, 3), (2, 6)])
            cluster.spawn(cluster.submit_pipeline(depth, width, cancel_after, **overrides))
            await asyncio.sleep(cluster.rng.expovariate(count / length_s))

    return submit_all


def test_pipelines_run_in_dependency_order_and_end() -> None:
    cluster = DependencyCluster(8800, without_random_faults=True)
    cluster.schedule_action(submit_pipelines(8, 20))
    raise_first_failure(cluster.run(length_s=90, job_count=3))
    assert len(cluster.dependencies) > 20 and cluster.jobs_without_observed_end() == []
    assert not [key for key in cluster.kv_store.keys if key.startswith("awaits/")], (
        "dependency lists of ended jobs are still stored"
    )


def test_dependents_of_a_cancelled_job_are_cancelled_and_never_start() -> None:
    cluster = DependencyCluster(8810, without_random_faults=True)
    cluster.schedule_action(submit_pipelines(8, 20, cancel_probability=1.0, guess_s=13.0))
    raise_first_failure(cluster.run(length_s=150, job_count=3))
    cancelled = {
        job
        for job in cluster.dependencies
        if not cluster.dependencies[job] and cluster.observed_ends.get(job) == "aborted"
    }
    descendants = {job for job in cluster.dependencies if cluster.ancestors(job) & cancelled}
    assert len(cancelled) > 5 and len(descendants) > 10 and cluster.jobs_without_observed_end() == []
    for job in cluster.dependencies:
        assert cluster.observed_ends[job] == ("aborted" if job in descendants | cancelled else "done")
        assert job not in descendants or not any(name == job for name, _, _ in cluster.started_attempts)


@pytest.mark.parametrize("seed", range(8820, 8828))
def test_pipelines_under_random_faults_violate_no_rule(seed: int) -> None:
    cluster = DependencyCluster(seed, faults=EXTENDED_FAULTS, restart_delay_range_s=(0.1, 3.0))
    cluster.schedule_action(submit_pipelines(10, 50, cancel_probability=0.3))
    raise_first_failure(cluster.run(length_s=110, job_count=8))
    assert len(cluster.dependencies) > 15


@pytest.mark.parametrize("seed", range(8840, 8846))
def test_leader_crashes_cause_no_early_release_and_no_lost_cancellation(seed: int) -> None:
    cluster = DependencyCluster(seed, without_random_faults=True, restart_delay_range_s=(0.1, 1.0))
    cluster.schedule_action(submit_pipelines(8, 30, cancel_probability=0.5))

    async def crash_leaders(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        while virtual_now() < 55:
            await asyncio.sleep(cluster.rng.uniform(0.5, 6))
            await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(crash_leaders)
    raise_first_failure(cluster.run(length_s=110, job_count=3))
    assert len(cluster.dependencies) > 15 and cluster.jobs_without_observed_end() == []


def test_late_writes_across_leader_changes_cause_no_early_release() -> None:
    cluster = DependencyCluster(8850, without_random_faults=True, restart_delay_range_s=(0.1, 1.0))
    cluster.schedule_action(submit_pipelines(10, 40, cancel_probability=0.4))

    async def scenario(_: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        cluster.late_write_probability = 0.3
        while virtual_now() < 60:
            await asyncio.sleep(cluster.rng.uniform(2, 8))
            await cluster.restart_controller(cluster.current_leader())
        cluster.late_write_probability = 0.0

    cluster.schedule_action(scenario)
    raise_first_failure(cluster.run(length_s=130, job_count=3))
    assert len(cluster.dependencies) > 15 and cluster.jobs_without_observed_end() == []


def reconciler_of(cluster: SimulatedCluster) -> DependencyReconciler | None:
    leader_term = next(
        (n.service.leader_term for n in cluster.controllers if n.service and n.service.leader_term), None
    )
    return None if leader_term is None else leader_term.dependency_reconciler


def test_cancellation_reaches_present_and_later_dependents() -> None:
    cluster = DependencyCluster(8811, without_random_faults=True)
    jobs: list[str] = []

    async def scenario(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for depends_on in ([], [0], [1], [0], [3]):
            job = cluster.make_stage(guess_s=8.0)
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, [jobs[n] for n in depends_on])
            # The user of the second job cancels it while it waits for its dependency.
            cluster.spawn(cluster.poll_until_ended(jobs[-1], virtual_now() + 2.0 if len(jobs) == 2 else 1e9))
        await asyncio.sleep(4)
        for name in (jobs[1], jobs[2]):
            # Submitted after the dependency has ended; the second time also under another leader.
            job = cluster.make_stage()
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, [name])
            cluster.spawn(cluster.poll_until_ended(jobs[-1]))
            await asyncio.sleep(3)
            await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(scenario)
    raise_first_failure(cluster.run(length_s=80, job_count=2))
    ends = [cluster.observed_ends.get(job) for job in jobs]
    assert ends == ["done", "aborted", "aborted", "done", "done", "aborted", "aborted"]


@pytest.mark.parametrize("restarted", ["", "leader", "all"])
def test_store_outage_after_a_cancel_delays_ends_and_starts_no_dependent(restarted: str) -> None:
    cluster = DependencyCluster(8812, without_random_faults=True, restart_delay_range_s=(0.1, 1.0))
    jobs: list[str] = []

    async def scenario(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for n in range(6):
            job = cluster.make_stage(guess_s=9.0)
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, jobs[n - 1 : n])
        await asyncio.sleep(2)
        cluster.cancel_requested.update(jobs)
        status, answer = await cluster.send_user_request("POST", f"/submissions/{jobs[0]}/cancel")
        cluster.kv_store.is_down = True
        assert (status, answer["standing"]) == (200, "aborted")
        if restarted:
            for node in [cluster.current_leader()] if restarted == "leader" else cluster.controllers:
                cluster.spawn(cluster.restart_controller(node))
        await asyncio.sleep(cluster.cancel_deadline_s + 4)
        cluster.kv_store.end_outage()
        await asyncio.sleep(6 if restarted else 3)
        assert not [key for key in cluster.kv_store.keys if key.startswith("live/") and key[5:] in jobs]
        for job_id in jobs:
            cluster.check_answer(job_id, *await cluster.send_user_request("GET", f"/submissions/{job_id}"))
        cluster.is_over = True

    cluster.schedule_action(scenario)
    raise_first_failure(cluster.run(length_s=80, job_count=0))
    assert cluster.is_over and [cluster.observed_ends.get(job) for job in jobs] == ["aborted"] * 6
    assert {name for name, _, _ in cluster.started_attempts} & set(jobs) <= {jobs[0]}


def test_cancelled_pipeline_of_1000_jobs_is_ended_with_spare_write_capacity() -> None:
    cluster = DependencyCluster(8813, without_random_faults=True, write_rps=21.0, txn_ops=8, value_kb=2.0)
    jobs: list[str] = []
    live_counts: list[tuple[int, int]] = []

    async def scenario(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for n in range(1000):
            job = cluster.make_stage(guess_s=60.0)
            jobs.append(job["name_id"])
            await cluster.submit_and_register(job, cluster.rng.sample(jobs[max(0, n - 5) : n], min(n, 2)))
        await asyncio.sleep(3)
        cluster.cancel_requested.update(jobs)
        await cluster.send_user_request("POST", f"/submissions/{jobs[0]}/cancel")
        cancelled_at = virtual_now()
        while virtual_now() < cancelled_at + 150:
            await asyncio.sleep(1)
            reconciler = reconciler_of(cluster)
            if reconciler is not None:
                live_count = sum(f"live/{job_id}" in cluster.kv_store.keys for job_id in jobs)
                if not live_counts:
                    # The graph marks all jobs as cancelled at once, however long writing their ends takes.
                    assert len(reconciler.graph.cancelled_with) > 900 and not reconciler.graph.dependencies
                live_counts.append((round(virtual_now() - cancelled_at), live_count))
                if not live_count:
                    break
        cluster.is_over = True

    cluster.schedule_action(scenario)
    raise_first_failure(cluster.run(length_s=220, job_count=3))
    assert live_counts[-1][1] == 0, live_counts[-1]
    assert {name for name, _, _ in cluster.started_attempts} & set(jobs) <= {jobs[0]}


class WorkflowDependencyCluster(WorkflowCluster, DependencyCluster):
    """Runs workflows, and submissions that depend on their steps."""


def test_submission_may_depend_on_a_workflow_step() -> None:
    cluster = WorkflowDependencyCluster(8814, without_random_faults=True)
    cluster.schedule_action(cluster.watch_viewer)
    dependents: list[str] = []

    async def scenario(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        assert await cluster.submit_amendment(amendment) == 201
        steps = [step["job"]["name_id"] for step in amendment["steps"]]
        for depends_on in ([steps[0]], [steps[-1]], steps):
            job = cluster.make_stage()
            dependents.append(job["name_id"])
            await cluster.submit_and_register(job, depends_on)
            cluster.spawn(cluster.poll_until_ended(dependents[-1]))

    cluster.schedule_action(scenario)
    raise_first_failure(cluster.run(length_s=90, job_count=2))
    assert [cluster.observed_ends.get(job) for job in dependents] == ["done"] * 3


# -- the cluster state and the reconciler ---------------------------------------------------------


def test_held_job_is_not_queued_and_its_waiting_time_starts_at_release() -> None:
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
    assert last.deadline_base_ms == 6_000, "the deadline must count from the submission"
    assert waiting_time(last, NOW - seconds(100), NOW) == seconds(50)


def test_effective_priority_applies_to_preemptor_and_victim() -> None:
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


def test_slack_lists_only_stages_at_risk_and_drops_lost_deadlines() -> None:
    cluster_state = make_cluster_state()
    dependencies = {1: [], 2: [1], 3: [2], 4: [], 5: [4]}
    deadline_s = {3: 200.0, 5: 4000.0}
    graph = DependencyGraph()
    for n, depends_on in dependencies.items():
        stored = StoredDependencies(job_ids=[f"j-{dependency:06d}" for dependency in depends_on])
        cluster_state.add_job(
            make_job_spec(n, estimated_duration_s=50.0, accepted_ms=0, deadline_s=deadline_s.get(n), depends_on=stored),
            n,
        )
        if depends_on:
            graph.add_job(f"j-{n:06d}", 2, stored.job_ids)
    cluster_state.runtime_ratios["c"] = 1.2  # tasks of the class take longer than estimated
    starts = slack.latest_start_times(cluster_state, graph, [*graph.dependencies, *graph.dependents])
    assert {n: starts[f"j-{n:06d}"].start_ms for n in dependencies} == {
        1: 20_000, 2: 80_000, 3: 140_000, 4: 3_880_000, 5: 3_940_000,
    }  # fmt: skip
    assert slack.slack_of_jobs_at_risk(starts, 0) == {"j-000001": 20_000}, "the other jobs are not at risk"
    assert slack.slack_of_jobs_at_risk(starts, 150_000) == {
        "j-000001": -130_000,
        "j-000002": -70_000,
        "j-000003": -10_000,
    }
    assert "j-000001" not in slack.slack_of_jobs_at_risk(starts, 20_000 + 180_001)
    cluster_state.set_slack("promises", {"j-000009": 1, "j-000001": 5})
    cluster_state.set_slack("pipelines", slack.slack_of_jobs_at_risk(starts, 0))
    assert cluster_state.slack_ms_by_job == {"j-000009": 1, "j-000001": 5}, "the smallest slack must count"
    cluster_state.set_slack("promises", {})
    assert cluster_state.slack_ms_by_job == {"j-000001": 20_000}


class FakeStore:
    """The reads of the key-value store that the reconciler uses."""

    def __init__(self) -> None:
        self.keys: dict[str, Any] = {}
        self.read_keys: list[str] = []

    async def get_many(self, keys: Iterable[str]) -> dict[str, Entry | None]:
        return {key: await self.get(key) for key in keys}

    async def get(self, key: str) -> Entry | None:
        self.read_keys.append(key)
        return Entry(key, self.keys[key], 1) if key in self.keys else None

    async def scan(self, prefix: str) -> tuple[list[Entry], int]:
        return [Entry(key, value, 1) for key, value in self.keys.items() if key.startswith(prefix)], 1

    async def watch(self, prefix: str, after: int, block: timedelta) -> tuple[list[WatchEvent], int]:
        return [WatchEvent(key, value, 1) for key, value in self.keys.items() if key.startswith(prefix)], 1


def make_reconciler(cluster_state: ClusterState) -> tuple[DependencyReconciler, LogWriter, FakeStore]:
    store = FakeStore()
    client: Any = KeyValueStoreClient("", cluster_state.settings.params.kv_store, lambda address, pool: None)  # type: ignore[arg-type, return-value]
    for name in ("get", "get_many", "scan", "watch"):
        setattr(client, name, getattr(store, name))
    log_writer = LogWriter(client, cluster_state, 1, Notifier())
    reconciler = DependencyReconciler(cluster_state, client, log_writer, lambda: True, pytest.fail)
    log_writer.on_job_ended = reconciler.record_end
    return reconciler, log_writer, store


def completed_value(state: str) -> dict[str, Any]:
    return {"state": state, "tasks": 1}


def add_dependent_job(cluster_state: ClusterState, number: int, *dependencies: int, **overrides: Any) -> JobRun:
    stored = StoredDependencies(job_ids=[f"j-{dependency:06d}" for dependency in dependencies])
    return cluster_state.add_job(make_job_spec(number, depends_on=stored, **overrides), number)


def test_durable_end_of_the_last_dependency_releases_the_job() -> None:
    cluster_state = make_cluster_state()
    reconciler, log_writer, _ = make_reconciler(cluster_state)
    first, second = cluster_state.add_job(make_job_spec(1), 1), cluster_state.add_job(make_job_spec(2), 2)
    last = add_dependent_job(cluster_state, 3, 1, 2)
    reconciler.add_job(last)

    async def complete(run: JobRun) -> None:
        log_writer.record_job_end(run.spec.id, completed_job(run.spec, "done"))

    asyncio.run(complete(first))
    second.mark_completed(0)
    assert last.hold_reason and second.is_complete, "the end of the second job is not durable yet"
    cluster_state.needs_scheduling = False
    asyncio.run(complete(second))
    assert (
        not last.hold_reason
        and cluster_state.needs_scheduling
        and last.pending_count == 1
        and last.eligible_from_ms > last.spec.accepted_ms
    )


def test_missing_terminal_state_keeps_the_job_held_and_is_read_again() -> None:
    cluster_state = make_cluster_state()
    reconciler, _, store = make_reconciler(cluster_state)
    unconfirmed, cancelled, unreadable = (
        add_dependent_job(cluster_state, 3, 1),
        add_dependent_job(cluster_state, 4, 2),
        add_dependent_job(cluster_state, 5, 9),
    )
    for run in (unconfirmed, cancelled, unreadable):
        reconciler.add_job(run)
    store.keys |= {"over/j-000002": completed_value("cancelled"), "over/j-000009": {"state": 7}}
    asyncio.run(reconciler._read_ends())
    assert (
        unconfirmed.hold_reason == unreadable.hold_reason == WAITING_FOR_DEPENDENCIES
        and "cancelled with j-000002" in cancelled.hold_reason
    )
    asyncio.run(reconciler._read_ends())
    assert unconfirmed.hold_reason == unreadable.hold_reason == WAITING_FOR_DEPENDENCIES
    store.keys |= {"over/j-000001": completed_value("done")}
    asyncio.run(reconciler._read_ends())
    assert (
        not unconfirmed.hold_reason
        and unreadable.hold_reason
        and unconfirmed.eligible_from_ms == unconfirmed.spec.accepted_ms
    )
    read_count = len(store.read_keys)
    dependent = add_dependent_job(cluster_state, 6, 1, 2)
    reconciler.add_job(dependent)
    assert "cancelled with" in dependent.hold_reason and len(store.read_keys) == read_count, (
        "a terminal state was read twice"
    )


def test_new_leader_keeps_released_jobs_and_holds_the_others() -> None:
    cluster_state = make_cluster_state()
    reconciler, log_writer, store = make_reconciler(cluster_state)
    placed, started, held, unreadable = (add_dependent_job(cluster_state, n, 1, task_count=3) for n in (3, 4, 5, 6))
    machine = cluster_state.restore_machine("i-1", next(iter(cluster_state.catalog.values())), "a", True, NOW)
    cluster_state.restore_placement(placed, 0, machine, 1, NOW)
    started.mark_completed(0)
    unreadable.hold_reason = "its record to be readable"
    store.keys |= {
        "over/j-000001": completed_value("done"),
        "over/j-000007": completed_value("done"),
        "awaits/j-000007/d/0": [],
        "awaits/j-000008/d/0": [],
    }
    reconciler.rebuild(1)
    assert not placed.hold_reason and not started.hold_reason and held.hold_reason == WAITING_FOR_DEPENDENCIES
    asyncio.run(reconciler._read_ends())
    assert not held.hold_reason and unreadable.hold_reason == "its record to be readable"
    reconciler._has_stored_lists.set()
    asyncio.run(reconciler._collect_orphaned_lists())
    assert log_writer.orphaned_chunk_keys == {"awaits/j-000007/d/0"}, "the job of the other list may still be accepted"


def test_new_leader_reads_many_terminal_states_with_one_scan() -> None:
    cluster_state = make_cluster_state()
    reconciler, _, store = make_reconciler(cluster_state)
    runs = [add_dependent_job(cluster_state, n, n - 100) for n in range(101, 150)]
    store.keys |= {f"over/j-{n:06d}": completed_value("done") for n in range(1, 45)}
    reconciler.rebuild(9_000)
    asyncio.run(reconciler._read_ends())
    assert [bool(run.hold_reason) for run in runs] == [False] * 44 + [True] * 5 and len(store.read_keys) == 5


def test_unreadable_dependency_list_holds_only_its_own_job() -> None:
    cluster_state = make_cluster_state()
    reconciler, _, store = make_reconciler(cluster_state)
    parts = split_dependencies("j-000004", ["j-000001", "j-000002"])
    unreadable = cluster_state.add_job(make_job_spec(3, depends_on=StoredDependencies(part_count=1, digest="d")), 3)
    runs = [unreadable, cluster_state.add_job(make_job_spec(4, depends_on=parts.dependencies), 4)]
    for run in runs:
        reconciler.add_job(run)
    store.keys |= {"awaits/j-000003/d/0": ["j-000001"]} | parts.values_by_key
    store.keys |= {"over/j-000001": completed_value("done"), "over/j-000002": completed_value("done")}
    for run in runs:
        asyncio.run(reconciler._run_or_back_off(reconciler._read_dependency_list(run.spec.id)))
    asyncio.run(reconciler._read_ends())
    assert [bool(run.hold_reason) for run in runs] == [True, False]
    assert "names that are being read" in reconciler.describe_job("j-000003")["awaits"]


def test_cancellation_writer_adapts_to_a_lowered_transaction_limit() -> None:
    """If every transaction repeats the configured 24 changes, each is refused and no terminal state is written."""
    cluster_state = make_cluster_state()
    reconciler, _, _ = make_reconciler(cluster_state)
    sizes: list[int] = []

    async def send(method: str, path: str, body: Any = None, **more: object) -> Reply:
        sizes.append(len(body["then"]))
        return Reply(400, b"too many changes") if sizes[-1] > 8 else Reply(200, orjson.dumps({"ledger": len(sizes)}))

    client: Any = reconciler.kv_store
    client._send = send
    for number in range(2, 42):
        reconciler.add_job(add_dependent_job(cluster_state, number, 1))
    reconciler.record_end("j-000001", "cancelled")

    async def run_for_a_minute() -> None:
        writer_task = asyncio.create_task(reconciler.cancellation_writer.run())
        await asyncio.sleep(60)
        writer_task.cancel()

    virtual_time.run_in_virtual_time(run_for_a_minute())
    # Each refusal halves the assumed limit: 24, 12, and then no more than 6.
    assert not cluster_state.jobs and sizes[:2] == [24, 12] and max(sizes[2:]) == 6, sizes


# -- broken variants ------------------------------------------------------------------------------


def release_before_durable_end(patch: Patch) -> None:
    """Releases a job when the cluster state shows its dependencies as complete, before their ends are durable."""
    apply_timeouts = ClusterState.apply_timeouts

    def apply_timeouts_and_release(self: ClusterState, now: Any) -> None:
        apply_timeouts(self, now)
        for run in self.jobs.values():
            if run.hold_reason == WAITING_FOR_DEPENDENCIES and run.spec.dependencies.job_ids:
                others = [self.jobs.get(name) for name in run.spec.dependencies.job_ids]
                if all(other is not None and other.is_complete for other in others):
                    self.release_job(run, run.spec.accepted_ms)

    patch.setattr(ClusterState, "apply_timeouts", apply_timeouts_and_release)


def ignore_cancellations_after_leader_change(patch: Patch) -> None:
    """A leader other than the first ignores that dependencies of its jobs were cancelled."""
    record_end = DependencyGraph.record_end

    def record_only_done(self: DependencyGraph, job: str, state: str) -> GraphChange:
        return record_end(self, job, state) if state == DONE else GraphChange()

    rebuild = DependencyReconciler.rebuild

    def rebuild_without_cancellations(self: DependencyReconciler, revision: int) -> None:
        rebuild(self, revision)
        if self.cluster_state.term > 1:
            self.graph.record_end = record_only_done.__get__(self.graph)  # type: ignore[method-assign]

    patch.setattr(DependencyReconciler, "rebuild", rebuild_without_cancellations)


def make_cluster_with_leader_restarts(seed: int) -> DependencyCluster:
    """Pipelines, half of them cancelled at their root, while the store is slow and each leader is restarted."""
    cluster = DependencyCluster(seed, without_random_faults=True, restart_delay_range_s=(0.1, 1.0))
    cluster.schedule_action(submit_pipelines(8, 30, cancel_probability=0.5))

    async def restart_leaders(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        while virtual_now() < 50:
            cluster.max_store_delay_s = 1.0
            await asyncio.sleep(cluster.rng.uniform(1, 5))
            await cluster.restart_controller(cluster.current_leader())
        cluster.max_store_delay_s = 0.0

    cluster.schedule_action(restart_leaders)
    return cluster


LEADER_RESTART_SEEDS = range(8860, 8866)


def test_jobs_cancelled_by_dependency_get_a_terminal_state_after_restarts() -> None:
    cancelled_count = 0
    for seed in LEADER_RESTART_SEEDS:
        cluster = make_cluster_with_leader_restarts(seed)
        raise_first_failure(cluster.run(length_s=100, job_count=2))
        assert cluster.uncancelled_descendants(before=60) == []
        cancelled_count += sum(
            bool(cluster.ancestors(job) & cluster.cancelled_at.keys()) for job in cluster.dependencies
        )
    assert cancelled_count >= 5, "too few jobs were cancelled with a dependency"


def test_release_before_the_durable_end_is_caught(monkeypatch: Patch) -> None:
    release_before_durable_end(monkeypatch)
    clusters = (make_cluster_with_leader_restarts(seed).run(length_s=100, job_count=2) for seed in LEADER_RESTART_SEEDS)
    assert any("too_early" in str(error) for cluster in clusters for error in cluster.rule_violations)


def test_cancellations_ignored_by_a_new_leader_are_caught(monkeypatch: Patch) -> None:
    """Status answers are still `aborted`, since controllers derive it, but the jobs stay live and never end."""
    ignore_cancellations_after_leader_change(monkeypatch)
    for seed in LEADER_RESTART_SEEDS:
        cluster = make_cluster_with_leader_restarts(seed)
        cluster.run(length_s=100, job_count=2)
        if cluster.uncancelled_descendants(before=60):
            return
    pytest.fail("no seed shows the fault")
