"""Chains of jobs: taken whole, released once and never early, and going on whoever fails."""

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
from tests.simulation.cluster import EXTENDED_FAULTS, PARTIAL_PARTITION_FAULTS, SimulatedCluster, virtual_now
from tests.simulation.workflows import WorkflowCluster, workflow_config
from tests.test_simulated_days import raise_first_failure

W = TypeVar("W", bound=WorkflowCluster)


def watched(cluster: W) -> W:
    cluster.schedule_action(cluster.watch_viewer)
    cluster.schedule_action(cluster.poll_steps)
    return cluster


def landing(count: int, at: float, fan_out: bool = False) -> Any:
    async def act(cluster: SimulatedCluster) -> None:
        assert isinstance(cluster, WorkflowCluster)
        await asyncio.sleep(at)
        for _ in range(count):
            cluster.spawn(cluster.submit_amendment(cluster.registry.make_amendment(fan_out=fan_out)))
            await asyncio.sleep(0.05)

    return act


# -- what is sent -------------------------------------------------------------------------------


def test_an_amendment_that_makes_no_sense_is_refused_in_one_line_before_anybody_is_asked(
    tmp_path: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    good = SimulatedRegistry(1).make_amendment(["lot-1", "lot-2"])

    def changed(**more: Any) -> dict[str, Any]:
        return orjson.loads(orjson.dumps(good | more))  # type: ignore[no-any-return]

    circle = changed()
    circle["steps"][0]["after"] = [circle["steps"][2]["job"]["name_id"]]
    missing = changed()
    missing["steps"][1]["after"] = ["j-99"]
    twice = changed()
    twice["steps"][1] = twice["steps"][0]
    daemon = changed()
    daemon["steps"][0]["job"]["shape"] = "daemon"
    two_teams = changed()
    two_teams["steps"][0]["job"]["crew"] = "t1"
    for bad, why in [
        (circle, "circle"),
        (missing, "no step"),
        (twice, "twice"),
        (daemon, "never ends"),
        (two_teams, "is of team"),
        (changed(lots=[]), "0 lots"),
        (changed(lots=["lot-1", "lot-1"]), "named twice"),
        (changed(id="no spaces"), "id `no spaces`"),
        (changed(revision="x"), "Expected `int`"),
        (changed(more=1), "unknown field"),
        (changed(steps=[]), "0 steps"),
    ]:
        path = tmp_path / "a.json"
        path.write_bytes(orjson.dumps(bad))
        assert main(["amend", str(path), "--at", "127.0.0.1:9"]) == 2
        told = capsys.readouterr().err.strip()
        assert why in told and "\n" not in told, told
    path.write_text("{")
    assert main(["amend", str(path), "--at", "127.0.0.1:9"]) == 2
    assert main(["amend", str(tmp_path / "none"), "--at", "127.0.0.1:9"]) == 2


def test_steps_follow_by_the_settings_order_and_fan_out_by_lot() -> None:
    settings = parse_workflow_settings([])
    assert settings.max_attempts == 5
    settings = WorkflowSettings(step_order=[["a"], ["b", "c"], ["d"]])
    registry = SimulatedRegistry(1)
    jobs = [("a", ["x"]), ("a", ["y"]), ("b", ["x"]), ("c", []), ("d", [])]
    steps = [{"job": registry.make_job(f"j-{n}", docket, 1), "lots": lots} for n, (docket, lots) in enumerate(jobs)]
    amendment = parse_amendment({"id": "am", "revision": 1, "lots": ["x", "y"], "steps": steps})
    specs = job_specs(amendment)
    after = step_dependencies(amendment, specs, settings)
    assert after == [[], [], [0], [0, 1], [2, 3]]
    chain = build_workflow(amendment, specs, after, settings, 5)
    assert [step.is_delivery for step in chain.steps] == [False] * 4 + [True] and chain.lots_of(chain.steps[2]) == ["x"]
    for bad in (
        "(chain (order))",
        '(chain (order "a" "a"))',
        '(chain (on-cancel "x"))',
        '(chain (delivery "z") (order "a"))',
    ):
        with pytest.raises(SettingsError):
            parse_operator_config(sexpdata.parse(bad))
    with pytest.raises(WorkflowRejected):
        parse_amendment({"id": "am", "revision": 1, "lots": ["x"], "steps": [steps[1]]})


@pytest.mark.parametrize("seed", range(6))
def test_any_graph_is_released_in_its_order_and_each_step_once(seed: int) -> None:
    draw = random.Random(seed)
    count = draw.randint(2, 30)
    steps = [
        WorkflowStep(f"j-{n}", "c", sorted(draw.sample(range(n), draw.randint(0, min(n, 3)))), []) for n in range(count)
    ]
    chain = Workflow("am", 1, "t0", 0, 0, "", ["x"], steps)
    settings = WorkflowSettings()
    released: list[int] = []
    running: set[int] = set()
    while not chain.is_ended:
        todo = step_transitions.evaluate(chain, settings, lambda job: True)
        for n in todo.releasable:
            assert n not in released and all(chain.steps[m].outcome == "done" for m in chain.steps[n].dependencies)
            chain.steps[n].released_ms = 1
            released.append(n)
            running.add(n)
        if todo.final_state:
            chain.state = todo.final_state
            break
        n = draw.choice(sorted(running))
        running.discard(n)
        assert step_transitions.record_step_outcome(chain, f"j-{n}", "done", 2)
        assert not step_transitions.record_step_outcome(chain, f"j-{n}", "done", 3), "an end counts once"
    assert sorted(released) == list(range(count)) and chain.state == "done"


# -- taken --------------------------------------------------------------------------------------


def test_a_chain_is_taken_whole_and_its_steps_are_known_and_wait_for_their_turn() -> None:
    cluster = watched(WorkflowCluster(7700, without_random_faults=True))
    told: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        first = cluster.registry.make_amendment()
        told.append(await cluster.submit_amendment(first))
        told.append(await cluster.submit_amendment(first))
        other = orjson.loads(orjson.dumps(first))
        other["lots"] = [*first["lots"], "another"]
        told.append(await cluster.submit_amendment(other))
        last = first["steps"][-1]["job"]["name_id"]
        status, answer = await cluster.send_user_request("GET", f"/submissions/{last}")
        told.append((status, answer["standing"]))
        taken = cluster.registry.make_amendment()
        taken["steps"][1]["job"] = {**taken["steps"][1]["job"], "name_id": last}
        taken["steps"][2]["after"] = [last]
        told.append(await cluster.submit_amendment(taken))
        unknown = cluster.registry.make_amendment()
        for step in unknown["steps"]:
            step["job"]["crew"] = "nobody"
        told.append(await cluster.submit_amendment(unknown))
        # Nothing of what was refused is there.
        for bad in (taken, unknown):
            name = bad["steps"][0]["job"]["name_id"]
            told.append((await cluster.send_user_request("GET", f"/submissions/{name}"))[0])
        cluster.accepted_jobs -= {step["job"]["name_id"] for bad in (taken, unknown) for step in bad["steps"]}
        cluster.accepted_jobs.add(last)

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=60, job_count=5))
    assert told == [201, 200, 409, (200, "queued"), 409, 422, 404, 404]
    assert set(cluster.workflow_states().values()) <= {"done"} or not cluster.workflow_states()


def test_what_waits_takes_no_quota_and_what_it_follows_is_durable_before_it_starts() -> None:
    cluster = watched(WorkflowCluster(7701, without_random_faults=True, scale=3))
    cluster.schedule_action(landing(25, 8, fan_out=True))
    states: list[dict[str, str]] = []

    async def end(_: SimulatedCluster) -> None:
        await asyncio.sleep(108)
        states.append(cluster.workflow_states())

    cluster.schedule_action(end)
    raise_first_failure(cluster.run(length_s=110, job_count=5))
    assert len(cluster.accepted_at) == 25 and list(states[0].values()).count("done") >= 20, states


@pytest.mark.parametrize("seed", range(7710, 7718))
def test_rough_days_with_chains_break_no_rule(seed: int) -> None:
    cluster = watched(
        WorkflowCluster(seed, faults=[*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS], restart_delay_range_s=(0.1, 3.0))
    )

    async def act(_: SimulatedCluster) -> None:
        for at, amendment in cluster.registry.make_day(70.0, 3.0, 20.0, 15):
            await asyncio.sleep(max(0.0, at - virtual_now()))
            cluster.spawn(cluster.submit_amendment(amendment))

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=110, job_count=10))
    assert len(cluster.accepted_at) > 15


MOMENTS = ["taken", "released", "started", "ended", "next released", "all over"]


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("who", ["leader", "all", "at once", "state"])
def test_a_chain_goes_on_from_its_last_durable_end_whoever_fails_in_whichever_step(moment: str, who: str) -> None:
    back = (0.05, 0.2) if who == "at once" else (1.0, 3.0)
    cluster = watched(WorkflowCluster(7720, without_random_faults=True, restart_delay_range_s=back))
    failed: list[str] = []
    states: list[dict[str, str]] = []

    def reached(amendment: dict[str, Any]) -> bool:
        jobs = [step["job"]["name_id"] for step in amendment["steps"]]
        reign = next((n.service.leader_term for n in cluster.controllers if n.service and n.service.leader_term), None)
        runs: list[JobRun | None] = [None if reign is None else reign.cluster_state.jobs.get(job) for job in jobs]
        over = [f"over/{job}" in cluster.kv_store.keys for job in jobs]
        if moment == "taken":
            return any(key.startswith(PAGE_KEY_PREFIX) for key in cluster.kv_store.keys)
        if moment == "released":
            return runs[0] is not None and not runs[0].hold_reason
        if moment == "started":
            return any(job == jobs[0] for job, _, _ in cluster.started_attempts)
        if moment == "ended":
            return over[0]
        if moment == "next released":
            return over[0] and runs[1] is not None and not runs[1].hold_reason
        return all(over)

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(10)
        amendment = cluster.registry.make_amendment(["lot-1", "lot-2"])
        cluster.spawn(cluster.submit_amendment(amendment))
        while not reached(amendment):
            await asyncio.sleep(0.01)
        failed.append(moment)
        if who == "all":
            await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.controllers))
        elif who == "state":
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
    assert failed and list(states[0].values()) == ["done"], (states, failed)
    jobs = [step["job"]["name_id"] for step in next(iter(cluster.sent_amendments.values()))["steps"]]
    for job in jobs:
        starts = [index for name, index, _ in cluster.started_attempts if name == job]
        done = {index for name, index in cluster.completed_tasks if name == job}
        assert len(done) == cluster.jobs[job]["parcels"]
        if who in ("leader", "all", "at once"):
            assert len(starts) == len(set(starts)), "nothing done is done again"


def test_an_amendment_larger_than_a_transaction_is_taken_whole_or_not_at_all() -> None:
    cluster = watched(WorkflowCluster(7730, without_random_faults=True, txn_ops=8, value_kb=8.0, scale=3))
    told: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        large = cluster.registry.make_amendment([f"lot-{n}" for n in range(30)], fan_out=True)
        cluster.register_amendment(large)
        cluster.spawn(cluster.submit_amendment(large))
        # The leader ends in the middle of the taking: nobody was told anything, and the registry asks again.
        while sum(key.startswith("live/j-4") for key in cluster.kv_store.keys) < 10:
            await asyncio.sleep(0.01)
        told.append(any(key.startswith(PAGE_KEY_PREFIX) for key in cluster.kv_store.keys))
        await cluster.restart_controller(cluster.current_leader())

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=110, job_count=1))
    assert told == [False] and len(cluster.accepted_at) == 1
    assert list(cluster.workflow_states().values()) in (["done"], ["open"], [])


# -- overtaken ----------------------------------------------------------------------------------


@pytest.mark.parametrize("running", ["finish", "stop"])
def test_the_viewer_never_gets_the_older_after_the_newer(running: str) -> None:
    cluster = watched(WorkflowCluster(7740, workflow_config(superseded=running), without_random_faults=True))
    cluster.registry.run_time_range_s = (3.0, 9.0)

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        for _turn in range(12):
            amendment = cluster.registry.make_amendment([f"lot-{n}" for n in cluster.rng.sample(range(4), 2)])
            late = cluster.rng.random() < 0.3

            async def send(amendment: dict[str, Any] = amendment, late: bool = late) -> None:
                if late:
                    await asyncio.sleep(cluster.rng.uniform(3, 10))
                await cluster.submit_amendment(amendment)

            cluster.spawn(send())
            await asyncio.sleep(cluster.rng.uniform(0.2, 5))

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=130, job_count=2))
    taken = [a for a in cluster.sent_amendments.values() if a["id"] in cluster.accepted_at]
    assert len(taken) >= 8 and len(taken) + cluster.answer_statuses.count(409) == 12, "what is not taken is told why"
    newest = {lot: max(a["revision"] for a in taken if lot in a["lots"]) for lot in cluster.shown_revisions}
    assert {lot: revision for lot, (revision, _) in cluster.shown_revisions.items()} == newest


def test_a_burst_is_trimmed_with_a_time_to_come_back_and_none_is_lost() -> None:
    settings = workflow_config(max_amendments_per_window=20.0, intake_window=timedelta(seconds=10))
    cluster = watched(WorkflowCluster(7750, settings, without_random_faults=True, scale=3))
    cluster.registry.run_time_range_s = (0.5, 1.0)
    cluster.schedule_action(landing(80, 8))
    raise_first_failure(cluster.run(length_s=110, job_count=1))
    assert (
        len(cluster.accepted_at) + cluster.answer_statuses.count(409) == 80 and cluster.answer_statuses.count(429) > 20
    )
    assert len(cluster.accepted_at) > 70


# -- standing still -----------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(7760, 7768))
def test_a_failing_step_stands_still_says_so_and_goes_on_when_told(seed: int) -> None:
    cluster = watched(WorkflowCluster(seed, workflow_config(max_attempts=3), without_random_faults=True))
    told: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        amendment["steps"][1]["job"]["parcels"] = 1
        bad = amendment["steps"][1]["job"]["name_id"]
        await cluster.submit_amendment(amendment)
        cluster.jobs[bad]["mistaken"] = True
        while "standing" not in cluster.workflow_states().values():
            await asyncio.sleep(0.5)
        starts = sum(job == bad for job, _, _ in cluster.started_attempts)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(10)
        told.append(sum(job == bad for job, _, _ in cluster.started_attempts) - starts)
        status, answer = await cluster.request_workflow({"verb": "list", "name": amendment["id"]})
        told.extend([status, answer["chain"]["why"]])
        status, _answer = await cluster.request_workflow({"verb": "list"})
        cluster.jobs[bad]["mistaken"] = False
        for _turn in range(10):
            status, _answer = await cluster.request_workflow({"verb": "resume", "name": amendment["id"]})
            if status == 200:
                break
            await asyncio.sleep(1)
        await asyncio.sleep(25)
        told.append(list(cluster.workflow_states().values()))

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=110, job_count=1))
    assert told[0] == 0 and told[1] == 200 and "failed 3 times" in told[2] and told[3] == ["done"], told


@pytest.mark.parametrize("on_cancel", ["stop", "skip"])
def test_what_follows_a_cancelled_step_is_stopped_or_skips_it(on_cancel: str) -> None:
    cluster = watched(WorkflowCluster(7770, workflow_config(on_cancel=on_cancel), without_random_faults=True))
    cluster.may_skip_failed = on_cancel == "skip"
    cluster.registry.run_time_range_s = (4.0, 5.0)
    ended: list[str] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        await cluster.submit_amendment(amendment)
        jobs = [step["job"]["name_id"] for step in amendment["steps"]]
        cluster.cancel_requested.add(jobs[1])
        status, answer = await cluster.send_user_request("POST", f"/submissions/{jobs[1]}/cancel")
        cluster.check_answer(jobs[1], status, answer)
        await asyncio.sleep(40)
        ended.extend(
            cluster.kv_store.keys[f"over/{job}"][0]["state"] for job in jobs if f"over/{job}" in cluster.kv_store.keys
        )

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=70, job_count=1))
    assert ended == ["done", "cancelled", "cancelled" if on_cancel == "stop" else "done"]


def test_a_stopped_chain_begins_nothing_more_until_it_is_resumed() -> None:
    cluster = watched(WorkflowCluster(7780, without_random_faults=True))
    cluster.registry.run_time_range_s = (3.0, 4.0)
    told: list[Any] = []

    async def act(_: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        amendment = cluster.registry.make_amendment(["lot-1"])
        await cluster.submit_amendment(amendment)
        jobs = [step["job"]["name_id"] for step in amendment["steps"]]
        while not any(job == jobs[0] for job, _, _ in cluster.started_attempts):
            await asyncio.sleep(0.1)
        told.append((await cluster.request_workflow({"verb": "stop", "name": amendment["id"]}))[0])
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(20)
        told.append([any(job == each for each, _, _ in cluster.started_attempts) for job in jobs])
        while (await cluster.request_workflow({"verb": "resume", "name": amendment["id"]}))[0] != 200:
            await asyncio.sleep(1)
        await asyncio.sleep(25)
        told.append(list(cluster.workflow_states().values()))
        told.append((await cluster.request_workflow({"verb": "stop", "name": "nobody"}))[0])

    cluster.schedule_action(act)
    raise_first_failure(cluster.run(length_s=100, job_count=1))
    assert told == [200, [True, False, False], ["done"], 404], told


# -- what it costs, and broken variants ---------------------------------------------------------


@pytest.mark.parametrize(("write_rps", "txn_ops", "value_kb"), [(15.0, 8, 4.0), (30.0, 24, 8.0)])
def test_a_chain_costs_at_most_two_changes_beyond_its_jobs_own(write_rps: float, txn_ops: int, value_kb: float) -> None:
    cluster = watched(
        WorkflowCluster(
            7790, without_random_faults=True, scale=4, write_rps=write_rps, txn_ops=txn_ops, value_kb=value_kb
        )
    )
    cluster.registry.run_time_range_s = (0.5, 1.0)
    cluster.schedule_action(landing(40, 6))
    changes: dict[str, int] = {}

    async def count(_: SimulatedCluster) -> None:
        plain = cluster.kv_store.commit_transaction

        def txn(body: Any) -> Any:
            answer = plain(body)
            if answer.status == 200:
                for op in body["then"]:
                    kind = str(op.get("put") or op.get("delete")).partition("/")[0]
                    changes[kind] = changes.get(kind, 0) + 1
            return answer

        cluster.kv_store.commit_transaction = txn  # type: ignore[method-assign]

    cluster.schedule_action(count)
    states: list[str] = []

    async def end(_: SimulatedCluster) -> None:
        await asyncio.sleep(138)
        states.extend(cluster.workflow_states().values())

    cluster.schedule_action(end)
    raise_first_failure(cluster.run(length_s=140, job_count=1))
    taken = len(cluster.accepted_at)
    assert taken >= 35 and changes["chain"] <= 2 * taken, changes
    assert states.count("done") + states.count("superseded") >= 0.9 * taken, states


def released_without_their_turn(patch: pytest.MonkeyPatch) -> None:
    """A new leader takes all that it finds for free."""
    patch.setattr(step_transitions, "_satisfies_dependents", lambda step, settings: True)


def order_forgotten(patch: pytest.MonkeyPatch) -> None:
    """The newer amendment's delivery does not wait for the older one's."""
    patch.setattr(step_transitions, "pending_delivery_jobs", lambda older, newer: [])


@pytest.mark.parametrize(
    ("broken", "rule"),
    [(released_without_their_turn, "started_early"), (order_forgotten, "older_after_newer")],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_broken_variant_is_caught(broken: Any, rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    broken(monkeypatch)
    for seed in range(20):
        cluster = watched(WorkflowCluster(seed, without_random_faults=True))
        cluster.registry.run_time_range_s = (1.0, 12.0)
        cluster.registry.lot_count = 3

        async def act(_: SimulatedCluster, cluster: WorkflowCluster = cluster) -> None:
            for at, amendment in cluster.registry.make_day(50.0, 2.0, 20.0, 5):
                await asyncio.sleep(max(0.0, at - virtual_now()))
                cluster.spawn(cluster.submit_amendment(amendment))

        cluster.schedule_action(act)
        if any(rule in str(error) for error in cluster.run(length_s=80, job_count=2).rule_violations):
            return
    pytest.fail("no seed caught it")
