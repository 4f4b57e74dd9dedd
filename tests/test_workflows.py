"""Workflows: accepted atomically, each step released once after its dependencies, and resumed after failures."""

import asyncio
import random
from datetime import timedelta
from typing import Any, TypeVar

import orjson
import pytest
import sexpdata

from benchmarks.simulated_registry import SimulatedRegistry
from roseweir.cli import main
from roseweir.operator_config import parse_operator_config
from roseweir.scheduler.model import JobRun
from roseweir.sexp import SettingsError
from roseweir.workflows import step_transitions
from roseweir.workflows.amendment_validation import job_specs, parse_amendment
from roseweir.workflows.errors import WorkflowRejected
from roseweir.workflows.model import Workflow, WorkflowStep, build_workflow
from roseweir.workflows.settings import WorkflowSettings, parse_workflow_settings
from roseweir.workflows.step_dependencies import step_dependencies
from roseweir.workflows.store import PAGE_KEY_PREFIX
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    SimulatedCluster,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.workflows import WorkflowCluster, workflow_config

WorkflowClusterT = TypeVar("WorkflowClusterT", bound=WorkflowCluster)


def observe_workflows(cluster: WorkflowClusterT) -> WorkflowClusterT:
    cluster.schedule_action(cluster.watch_viewer)
    cluster.schedule_action(cluster.poll_steps)
    return cluster


def submit_amendments_at(count: int, start_s: float, fan_out: bool = False) -> Any:
    async def act(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, WorkflowCluster)
        await asyncio.sleep(start_s)
        for _ in range(count):
            cluster.spawn(cluster.submit_amendment(cluster.registry.make_amendment(fan_out=fan_out)))
            await asyncio.sleep(0.05)

    return act


# -- validation and step order ------------------------------------------------------------------


def test_invalid_amendment_is_rejected_before_any_request(tmp_path: Any, capsys: pytest.CaptureFixture[str]) -> None:
    """The command line prints the reason in one line; no controller listens at the given address."""
    valid = SimulatedRegistry(1).make_amendment(["lot-1", "lot-2"])

    def valid_with(**overrides: Any) -> dict[str, Any]:
        return orjson.loads(orjson.dumps(valid | overrides))  # type: ignore[no-any-return]

    cyclic = valid_with()
    cyclic["steps"][0]["after"] = [cyclic["steps"][2]["job"]["name_id"]]
    missing_step = valid_with()
    missing_step["steps"][1]["after"] = ["j-99"]
    duplicate_step = valid_with()
    duplicate_step["steps"][1] = duplicate_step["steps"][0]
    service_step = valid_with()
    service_step["steps"][0]["job"]["shape"] = "daemon"
    two_teams = valid_with()
    two_teams["steps"][0]["job"]["crew"] = "t1"
    for invalid, reason in [
        (cyclic, "circle"),
        (missing_step, "no step"),
        (duplicate_step, "twice"),
        (service_step, "never ends"),
        (two_teams, "is of team"),
        (valid_with(lots=[]), "0 lots"),
        (valid_with(lots=["lot-1", "lot-1"]), "named twice"),
        (valid_with(id="no spaces"), "id `no spaces`"),
        (valid_with(revision="x"), "Expected `int`"),
        (valid_with(more=1), "unknown field"),
        (valid_with(steps=[]), "0 steps"),
    ]:
        path = tmp_path / "a.json"
        path.write_bytes(orjson.dumps(invalid))
        assert main(["amend", str(path), "--at", "127.0.0.1:9"]) == 2
        message = capsys.readouterr().err.strip()
        assert reason in message and "\n" not in message, message
    path.write_text("{")
    assert main(["amend", str(path), "--at", "127.0.0.1:9"]) == 2
    assert main(["amend", str(tmp_path / "none"), "--at", "127.0.0.1:9"]) == 2


def test_step_dependencies_follow_settings_order_and_lots() -> None:
    settings = parse_workflow_settings([])
    assert settings.max_attempts == 5
    settings = WorkflowSettings(step_order=[["a"], ["b", "c"], ["d"]])
    registry = SimulatedRegistry(1)
    jobs = [("a", ["x"]), ("a", ["y"]), ("b", ["x"]), ("c", []), ("d", [])]
    steps = [
        {"job": registry.make_job(f"j-{number}", job_class, 1), "lots": lots}
        for number, (job_class, lots) in enumerate(jobs)
    ]
    amendment = parse_amendment({"id": "am", "revision": 1, "lots": ["x", "y"], "steps": steps})
    specs = job_specs(amendment)
    dependencies = step_dependencies(amendment, specs, settings)
    assert dependencies == [[], [], [0], [0, 1], [2, 3]]
    workflow = build_workflow(amendment, specs, dependencies, settings, 5)
    assert [step.is_delivery for step in workflow.steps] == [False] * 4 + [True] and workflow.lots_of(
        workflow.steps[2]
    ) == ["x"]
    for invalid in (
        "(chain (order))",
        '(chain (order "a" "a"))',
        '(chain (on-cancel "x"))',
        '(chain (delivery "z") (order "a"))',
    ):
        with pytest.raises(SettingsError):
            parse_operator_config(sexpdata.parse(invalid))
    with pytest.raises(WorkflowRejected):
        parse_amendment({"id": "am", "revision": 1, "lots": ["x"], "steps": [steps[1]]})


@pytest.mark.parametrize("seed", range(6))
def test_each_step_is_released_once_after_its_dependencies(seed: int) -> None:
    rng = random.Random(seed)
    count = rng.randint(2, 30)
    steps = [
        WorkflowStep(f"j-{number}", "c", sorted(rng.sample(range(number), rng.randint(0, min(number, 3)))), [])
        for number in range(count)
    ]
    workflow = Workflow("am", 1, "t0", 0, 0, "", ["x"], steps)
    settings = WorkflowSettings()
    released: list[int] = []
    running: set[int] = set()
    while not workflow.is_ended:
        transitions = step_transitions.evaluate(workflow, settings, lambda job: True)
        for number in transitions.releasable:
            assert number not in released and all(
                workflow.steps[dependency].outcome == "done" for dependency in workflow.steps[number].dependencies
            )
            workflow.steps[number].released_ms = 1
            released.append(number)
            running.add(number)
        if transitions.final_state:
            workflow.state = transitions.final_state
            break
        number = rng.choice(sorted(running))
        running.discard(number)
        assert step_transitions.record_step_outcome(workflow, f"j-{number}", "done", 2)
        assert not step_transitions.record_step_outcome(workflow, f"j-{number}", "done", 3), (
            "a second outcome of the same step is ignored"
        )
    assert sorted(released) == list(range(count)) and workflow.state == "done"


# -- acceptance and execution -------------------------------------------------------------------


def test_amendments_are_accepted_or_rejected_atomically() -> None:
    """The steps of an accepted amendment are known as queued; a rejected one leaves none of its jobs behind."""
    cluster = observe_workflows(WorkflowCluster(7700, without_random_faults=True))
    answers: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        amendment = cluster.registry.make_amendment()
        answers.append(await cluster.submit_amendment(amendment))
        answers.append(await cluster.submit_amendment(amendment))
        changed = orjson.loads(orjson.dumps(amendment))
        changed["lots"] = [*amendment["lots"], "another"]
        answers.append(await cluster.submit_amendment(changed))
        last_job_id = amendment["steps"][-1]["job"]["name_id"]
        status, answer = await cluster.send_user_request("GET", f"/submissions/{last_job_id}")
        answers.append((status, answer["standing"]))
        with_taken_job = cluster.registry.make_amendment()
        with_taken_job["steps"][1]["job"] = {**with_taken_job["steps"][1]["job"], "name_id": last_job_id}
        with_taken_job["steps"][2]["after"] = [last_job_id]
        answers.append(await cluster.submit_amendment(with_taken_job))
        unknown_team = cluster.registry.make_amendment()
        for step in unknown_team["steps"]:
            step["job"]["crew"] = "nobody"
        answers.append(await cluster.submit_amendment(unknown_team))
        # A rejected amendment leaves no jobs behind.
        for rejected in (with_taken_job, unknown_team):
            first_job_id = rejected["steps"][0]["job"]["name_id"]
            answers.append((await cluster.send_user_request("GET", f"/submissions/{first_job_id}"))[0])
        cluster.accepted_jobs -= {
            step["job"]["name_id"] for rejected in (with_taken_job, unknown_team) for step in rejected["steps"]
        }
        cluster.accepted_jobs.add(last_job_id)

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=60, job_count=5))
    assert answers == [201, 200, 409, (200, "queued"), 409, 422, 404, 404]
    assert set(cluster.workflow_states().values()) <= {"done"} or not cluster.workflow_states()


def test_waiting_steps_use_no_quota_and_workflows_complete() -> None:
    """The simulation checks that a step starts only after the durable completion of its dependencies."""
    cluster = observe_workflows(WorkflowCluster(7701, without_random_faults=True, scale=3))
    cluster.schedule_action(submit_amendments_at(25, 8, fan_out=True))
    states: list[dict[str, str]] = []

    async def record_states(_: SimulatedCluster) -> None:
        await asyncio.sleep(108)
        states.append(cluster.workflow_states())

    cluster.schedule_action(record_states)
    raise_first_failure(cluster.run(length_s=110, job_count=5))
    assert len(cluster.accepted_at) == 25 and list(states[0].values()).count("done") >= 20, states


@pytest.mark.parametrize("seed", range(7710, 7718))
def test_workflows_under_all_faults_break_no_rule(seed: int) -> None:
    cluster = observe_workflows(
        WorkflowCluster(seed, faults=[*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS], restart_delay_range_s=(0.1, 3.0))
    )

    async def act(_: SimulatedCluster) -> None:
        for submit_at_s, amendment in cluster.registry.make_day(70.0, 3.0, 20.0, 15):
            await asyncio.sleep(max(0.0, submit_at_s - virtual_now()))
            cluster.spawn(cluster.submit_amendment(amendment))

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=110, job_count=10))
    assert len(cluster.accepted_at) > 15


FAILURE_POINTS = ["accepted", "released", "started", "first completed", "next released", "all completed"]


@pytest.mark.parametrize("failure_point", FAILURE_POINTS)
@pytest.mark.parametrize("failing", ["leader", "all", "at once", "state"])
def test_workflow_resumes_after_a_failure_at_each_point(failure_point: str, failing: str) -> None:
    """The workflow continues from the last step whose completion is durable, without repeating completed tasks."""
    restart_delay_s = (0.05, 0.2) if failing == "at once" else (1.0, 3.0)
    cluster = observe_workflows(
        WorkflowCluster(7720, without_random_faults=True, restart_delay_range_s=restart_delay_s)
    )
    reached_points: list[str] = []
    states: list[dict[str, str]] = []

    def reached(amendment: dict[str, Any]) -> bool:
        job_ids = [step["job"]["name_id"] for step in amendment["steps"]]
        leader_term = next(
            (node.service.leader_term for node in cluster.controllers if node.service and node.service.leader_term),
            None,
        )
        runs: list[JobRun | None] = [
            None if leader_term is None else leader_term.cluster_state.jobs.get(job_id) for job_id in job_ids
        ]
        completed = [f"over/{job_id}" in cluster.kv_store.keys for job_id in job_ids]
        if failure_point == "accepted":
            return any(key.startswith(PAGE_KEY_PREFIX) for key in cluster.kv_store.keys)
        if failure_point == "released":
            return runs[0] is not None and not runs[0].hold_reason
        if failure_point == "started":
            return any(job_id == job_ids[0] for job_id, _, _ in cluster.started_attempts)
        if failure_point == "first completed":
            return completed[0]
        if failure_point == "next released":
            return completed[0] and runs[1] is not None and not runs[1].hold_reason
        return all(completed)

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        amendment = cluster.registry.make_amendment(["lot-1", "lot-2"])
        cluster.spawn(cluster.submit_amendment(amendment))
        while not reached(amendment):
            await asyncio.sleep(0.01)
        reached_points.append(failure_point)
        if failing == "all":
            await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.controllers))
        elif failing == "state":
            cluster.kv_store.is_down = True
            await asyncio.sleep(9)
            cluster.kv_store.end_outage()
        else:
            for _turn in range(3):
                await cluster.restart_controller(cluster.current_leader())
                await asyncio.sleep(0.3)
        await asyncio.sleep(35)
        states.append(cluster.workflow_states())
        cluster.is_over = True

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=120, job_count=2))
    assert reached_points and list(states[0].values()) == ["done"], (states, reached_points)
    job_ids = [step["job"]["name_id"] for step in next(iter(cluster.sent_amendments.values()))["steps"]]
    for job_id in job_ids:
        started_indices = [
            task_index for started_job_id, task_index, _ in cluster.started_attempts if started_job_id == job_id
        ]
        done_indices = {
            task_index for started_job_id, task_index in cluster.completed_tasks if started_job_id == job_id
        }
        assert len(done_indices) == cluster.jobs[job_id]["parcels"]
        if failing in ("leader", "all", "at once"):
            assert len(started_indices) == len(set(started_indices)), "no completed task is started again"


def test_amendment_larger_than_a_transaction_is_accepted_atomically() -> None:
    cluster = observe_workflows(WorkflowCluster(7730, without_random_faults=True, txn_ops=8, value_kb=8.0, scale=3))
    page_key_existed: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        large = cluster.registry.make_amendment([f"lot-{number}" for number in range(30)], fan_out=True)
        cluster.register_amendment(large)
        cluster.spawn(cluster.submit_amendment(large))
        # The leader restarts while it stores the amendment, before it has answered; the registry retries the request.
        while sum(key.startswith("live/j-4") for key in cluster.kv_store.keys) < 10:
            await asyncio.sleep(0.01)
        page_key_existed.append(any(key.startswith(PAGE_KEY_PREFIX) for key in cluster.kv_store.keys))
        await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=110, job_count=1))
    assert page_key_existed == [False] and len(cluster.accepted_at) == 1
    assert list(cluster.workflow_states().values()) in (["done"], ["open"], [])


# -- superseded amendments and bursts -----------------------------------------------------------


@pytest.mark.parametrize("superseded_jobs", ["finish", "stop"])
def test_viewer_never_gets_an_older_revision_after_a_newer_one(superseded_jobs: str) -> None:
    cluster = observe_workflows(
        WorkflowCluster(7740, workflow_config(superseded=superseded_jobs), without_random_faults=True)
    )
    cluster.registry.run_time_range_s = (3.0, 9.0)

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for _turn in range(12):
            amendment = cluster.registry.make_amendment([f"lot-{number}" for number in cluster.rng.sample(range(4), 2)])
            is_delayed = cluster.rng.random() < 0.3

            async def send(amendment: dict[str, Any] = amendment, is_delayed: bool = is_delayed) -> None:
                if is_delayed:
                    await asyncio.sleep(cluster.rng.uniform(3, 10))
                await cluster.submit_amendment(amendment)

            cluster.spawn(send())
            await asyncio.sleep(cluster.rng.uniform(0.2, 5))

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=130, job_count=2))
    accepted = [
        amendment_body
        for amendment_body in cluster.sent_amendments.values()
        if amendment_body["id"] in cluster.accepted_at
    ]
    assert len(accepted) >= 8 and len(accepted) + cluster.answer_statuses.count(409) == 12, (
        "each amendment is either accepted or rejected with a reason"
    )
    newest_revisions = {
        lot: max(amendment_body["revision"] for amendment_body in accepted if lot in amendment_body["lots"])
        for lot in cluster.shown_revisions
    }
    assert {lot: revision for lot, (revision, _) in cluster.shown_revisions.items()} == newest_revisions


def test_burst_is_rejected_with_a_retry_delay_and_none_is_lost() -> None:
    settings = workflow_config(max_amendments_per_window=20.0, intake_window=timedelta(seconds=10))
    cluster = observe_workflows(WorkflowCluster(7750, settings, without_random_faults=True, scale=3))
    cluster.registry.run_time_range_s = (0.5, 1.0)
    cluster.schedule_action(submit_amendments_at(80, 8))
    raise_first_failure(cluster.run(length_s=110, job_count=1))
    assert (
        len(cluster.accepted_at) + cluster.answer_statuses.count(409) == 80 and cluster.answer_statuses.count(429) > 20
    )
    assert len(cluster.accepted_at) > 70


# -- blocked, cancelled and stopped workflows ---------------------------------------------------


@pytest.mark.parametrize("seed", range(7760, 7768))
def test_failing_step_blocks_its_workflow_until_it_is_resumed(seed: int) -> None:
    """After 3 failed attempts no further one starts, also after a failover; the status gives the reason."""
    cluster = observe_workflows(WorkflowCluster(seed, workflow_config(max_attempts=3), without_random_faults=True))
    results: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        amendment["steps"][1]["job"]["parcels"] = 1
        failing_job_id = amendment["steps"][1]["job"]["name_id"]
        await cluster.submit_amendment(amendment)
        cluster.jobs[failing_job_id]["mistaken"] = True
        while "standing" not in cluster.workflow_states().values():
            await asyncio.sleep(0.5)
        start_count = sum(job_id == failing_job_id for job_id, _, _ in cluster.started_attempts)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(10)
        results.append(sum(job_id == failing_job_id for job_id, _, _ in cluster.started_attempts) - start_count)
        status, answer = await cluster.request_workflow({"verb": "list", "name": amendment["id"]})
        results.extend([status, answer["chain"]["why"]])
        status, _answer = await cluster.request_workflow({"verb": "list"})
        cluster.jobs[failing_job_id]["mistaken"] = False
        for _turn in range(10):
            status, _answer = await cluster.request_workflow({"verb": "resume", "name": amendment["id"]})
            if status == 200:
                break
            await asyncio.sleep(1)
        await asyncio.sleep(25)
        results.append(list(cluster.workflow_states().values()))

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=110, job_count=1))
    assert results[0] == 0 and results[1] == 200 and "failed 3 times" in results[2] and results[3] == ["done"], results


@pytest.mark.parametrize("on_cancel", ["stop", "skip"])
def test_dependents_of_a_cancelled_step_are_stopped_or_skip_it(on_cancel: str) -> None:
    cluster = observe_workflows(WorkflowCluster(7770, workflow_config(on_cancel=on_cancel), without_random_faults=True))
    cluster.may_skip_failed = on_cancel == "skip"
    cluster.registry.run_time_range_s = (4.0, 5.0)
    final_states: list[str] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        await cluster.submit_amendment(amendment)
        job_ids = [step["job"]["name_id"] for step in amendment["steps"]]
        cluster.cancel_requested.add(job_ids[1])
        status, answer = await cluster.send_user_request("POST", f"/submissions/{job_ids[1]}/cancel")
        cluster.check_answer(job_ids[1], status, answer)
        await asyncio.sleep(40)
        final_states.extend(
            cluster.kv_store.keys[f"over/{job_id}"][0]["state"]
            for job_id in job_ids
            if f"over/{job_id}" in cluster.kv_store.keys
        )

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=70, job_count=1))
    assert final_states == ["done", "cancelled", "cancelled" if on_cancel == "stop" else "done"]


def test_stopped_workflow_starts_no_step_until_it_is_resumed() -> None:
    cluster = observe_workflows(WorkflowCluster(7780, without_random_faults=True))
    cluster.registry.run_time_range_s = (3.0, 4.0)
    results: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        await cluster.submit_amendment(amendment)
        job_ids = [step["job"]["name_id"] for step in amendment["steps"]]
        while not any(job_id == job_ids[0] for job_id, _, _ in cluster.started_attempts):
            await asyncio.sleep(0.1)
        results.append((await cluster.request_workflow({"verb": "stop", "name": amendment["id"]}))[0])
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(20)
        results.append(
            [any(job_id == started_job_id for started_job_id, _, _ in cluster.started_attempts) for job_id in job_ids]
        )
        while (await cluster.request_workflow({"verb": "resume", "name": amendment["id"]}))[0] != 200:
            await asyncio.sleep(1)
        await asyncio.sleep(25)
        results.append(list(cluster.workflow_states().values()))
        results.append((await cluster.request_workflow({"verb": "stop", "name": "nobody"}))[0])

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=100, job_count=1))
    assert results == [200, [True, False, False], ["done"], 404], results


# -- writes per workflow, and faulty variants ---------------------------------------------------


@pytest.mark.parametrize(("write_rps", "txn_ops", "value_kb"), [(15.0, 8, 4.0), (30.0, 24, 8.0)])
def test_workflow_needs_at_most_two_writes_beyond_those_of_its_jobs(
    write_rps: float, txn_ops: int, value_kb: float
) -> None:
    cluster = observe_workflows(
        WorkflowCluster(
            7790, without_random_faults=True, scale=4, write_rps=write_rps, txn_ops=txn_ops, value_kb=value_kb
        )
    )
    cluster.registry.run_time_range_s = (0.5, 1.0)
    cluster.schedule_action(submit_amendments_at(40, 6))
    writes_by_key_prefix: dict[str, int] = {}

    async def install_write_counter(_: SimulatedCluster) -> None:
        original = cluster.kv_store.commit_transaction

        def count_writes(body: Any) -> Any:
            answer = original(body)
            if answer.status == 200:
                for operation in body["then"]:
                    key_prefix = str(operation.get("put") or operation.get("delete")).partition("/")[0]
                    writes_by_key_prefix[key_prefix] = writes_by_key_prefix.get(key_prefix, 0) + 1
            return answer

        cluster.kv_store.commit_transaction = count_writes  # type: ignore[method-assign]

    cluster.schedule_action(install_write_counter)
    states: list[str] = []

    async def record_states(_: SimulatedCluster) -> None:
        await asyncio.sleep(138)
        states.extend(cluster.workflow_states().values())

    cluster.schedule_action(record_states)
    raise_first_failure(cluster.run(length_s=140, job_count=1))
    accepted_count = len(cluster.accepted_at)
    assert accepted_count >= 35 and writes_by_key_prefix["chain"] <= 2 * accepted_count, writes_by_key_prefix
    assert states.count("done") + states.count("superseded") >= 0.9 * accepted_count, states


def release_steps_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treats every dependency as satisfied."""
    monkeypatch.setattr(step_transitions, "_satisfies_dependents", lambda step, settings: True)


def ignore_older_deliveries(monkeypatch: pytest.MonkeyPatch) -> None:
    """The delivery of a newer amendment does not wait for that of an older one."""
    monkeypatch.setattr(step_transitions, "pending_delivery_jobs", lambda older, newer: [])


@pytest.mark.parametrize(
    ("patch", "rule"),
    [(release_steps_early, "started_early"), (ignore_older_deliveries, "older_after_newer")],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_faulty_step_transitions_are_detected(patch: Any, rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    patch(monkeypatch)
    for seed in range(20):
        cluster = observe_workflows(WorkflowCluster(seed, without_random_faults=True))
        cluster.registry.run_time_range_s = (1.0, 12.0)
        cluster.registry.lot_count = 3

        async def act(_: SimulatedCluster, cluster: WorkflowCluster = cluster) -> None:
            for submit_at_s, amendment in cluster.registry.make_day(50.0, 2.0, 20.0, 5):
                await asyncio.sleep(max(0.0, submit_at_s - virtual_now()))
                cluster.spawn(cluster.submit_amendment(amendment))

        cluster.schedule_action(act)
        if any(rule in str(error) for error in cluster.run(length_s=80, job_count=2).rule_violations):
            return
    pytest.fail("no seed broke the rule")
