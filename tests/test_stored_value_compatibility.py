"""Stored values and messages of the version in production and of the present one, read and written by the other."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
import orjson
import pytest

from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, JobSpec, StoredDependencies, to_stored
from roseweir.workflows import store as chain_store
from tests.simulation import virtual_time
from tests.simulation.cluster import CANCEL_DEADLINE_S, SimulatedCluster, virtual_now
from tests.simulation.rolling_upgrade import MixedVersionCluster, raise_first_failure, stored_job_state, terms_led_by
from tests.simulation.stored_value_rewriting import read_delta, rewrite_value
from tests.versions import PRESENT, Version, production

VERSIONS = (production, lambda: PRESENT)
NAMES = ("production", "present")
# What a leader writes on and on, and what every job's acceptance and end write once.
REWRITTEN = {"chain", "done", "drain/account", "drain/ask", "drain/steps", "lead/leader", "lead/term"}
REWRITTEN |= {"places", "places/note", "promise/nights", "served/account", "demand"}
WRITTEN_ONCE = {"catalog", "live", "over"}


@dataclass(frozen=True)
class Value:
    family: str
    key: str
    value: Any
    writer: Version


@pytest.fixture(scope="module")
def shared() -> Iterator[MixedVersionCluster]:
    """A day on which both versions have led in turn and have written all that there is to write."""
    with pytest.MonkeyPatch.context() as patched:
        for version in (PRESENT, production()):
            # These are written after minutes, too rarely for a short day.
            for module in ("forecast.predictive_scaler", "delivery_deadlines.controller"):
                patched.setattr(*version.locate(module, "SAVE_INTERVAL"), timedelta(seconds=6))
        cluster = MixedVersionCluster(7)
        cluster.run(length_s=110, job_count=12)
    raise_first_failure(cluster)
    yield cluster


def values_of(cluster: MixedVersionCluster) -> list[Value]:
    return [
        Value(family, key, orjson.loads(raw), writer)
        for family, written in sorted(cluster.tracking_store.values_by_family.items())
        for raw, (key, writer) in written.items()
    ]


# Of families that a short day writes nothing of.
RARE = [
    ("drain/moves", {"plans": [["j-1", "m-1", 5, [["j-2", 0, "m-2"]]]], "moved": {"j-2/0": 7}}),
    ("lead/ask", {"term": 3, "number": 1, "workers": {"m-1": "m-1:9000"}}),
    ("lead/reach/n1", {"term": 3, "number": 1, "reached": ["m-1"], "came": ["m-2"], "tallies": {"m-2": [1, 7]}}),
    ("drain/pool", {"gaps": {"c": 2}, "own": {"day": 1, "machines": 2, "money": 0.5, "brakes": {"a/cpu": [1, 2, ""]}}}),
]  # fmt: skip


def without_level(value: Any) -> Any:
    return {name: each for name, each in value.items() if name != "level"}


def lost(version: Version, key: str, value: Any) -> Any:
    """None, or what the version makes of a value of which it does not keep everything."""
    found = orjson.loads(orjson.dumps(rewrite_value(version, key, value)))
    if key == "lead/leader":
        # Each leader writes its own record, and never another's.
        found, value = without_level(found), without_level(value)
    return None if found == value else found


def test_both_versions_have_written_over_one_another_in_every_family(shared: MixedVersionCluster) -> None:
    led = terms_led_by(shared, PRESENT)
    assert True in led and False in led
    old = production()
    for family in sorted(REWRITTEN):
        found = {(before, after) for each, before, after in shared.tracking_store.rewrites if each == family}
        assert (old, PRESENT) in found and (PRESENT, old) in found, f"{family}: {found}"
    families = {value.family for value in values_of(shared)}
    assert families >= REWRITTEN | WRITTEN_ONCE
    assert families - {"drain/pool"} <= REWRITTEN | WRITTEN_ONCE, "a family that no test knows"


@pytest.mark.parametrize("version", VERSIONS, ids=NAMES)
def test_a_version_keeps_all_of_what_the_other_has_written(shared: MixedVersionCluster, version: Any) -> None:
    values = [value for value in values_of(shared) if value.family != "places/note"]
    assert {value.writer for value in values} == {PRESENT, production()}
    for each in values:
        found = lost(version(), each.key, each.value)
        assert found is None, f"{each.key} of {each.writer.package}: {each.value} became {found}"
    for key, value in RARE:
        assert lost(version(), key, value) is None, key


def test_both_versions_read_the_same_from_notes(shared: MixedVersionCluster) -> None:
    values = values_of(shared)
    live = {value.key.removeprefix(LIVE_JOB_PREFIX): value.value for value in values if value.family == "live"}
    notes = [value for value in values if value.family == "places/note"]
    assert len(notes) > 50 and {note.writer for note in notes} == {PRESENT, production()}

    async def read() -> None:
        for note in notes:
            both = [read_delta(version, note.key, note.value, live) for version in (production(), PRESENT)]
            assert both[0] == both[1], note
            started = {job for job, places in note.value["starts"].items() if places}
            assert set(both[0]["starts"]) <= started
            # Another leader may have had more notes; a field that it does not know is dropped.
            assert read_delta(production(), "places/note-9", with_more(note.value), live) == both[0]

    virtual_time.run_in_virtual_time(read())


def test_dropped_field_is_caught(shared: MixedVersionCluster, monkeypatch: pytest.MonkeyPatch) -> None:
    """A rewriting that loses what the other version needs: which jobs a delivery waits for."""
    pages = [value for value in values_of(shared) if value.family == "chain"]
    keep = chain_store.WorkflowStore.encode_page

    def drop(self: chain_store.WorkflowStore, number: int, chains: dict[str, Any]) -> dict[str, Any]:
        value: dict[str, Any] = keep(self, number, chains)
        for chain in value["chains"].values():
            chain.pop("due_ms", None)
        return value

    assert all(lost(PRESENT, page.key, page.value) is None for page in pages)
    monkeypatch.setattr(chain_store.WorkflowStore, "encode_page", drop)
    assert any(lost(PRESENT, page.key, page.value) is not None for page in pages)


# -- what production does with fields that it does not know -------------------------------------

KEPT, DROPPED, REFUSED = "kept", "dropped", "refused"


def with_more(value: dict[str, Any]) -> dict[str, Any]:
    return value | {"later": 1}


# Where a later version might put one more field, and what production makes of it. docs/upgrades.md holds this table.
MORE = [
    ("live/j-1", lambda value: with_more(value), DROPPED),
    ("over/j-1", lambda value: with_more(value), DROPPED),
    ("places/0000", lambda value: with_more(value), DROPPED),
    ("places/0000", lambda value: {"machines": {n: with_more(m) for n, m in value["machines"].items()}}, KEPT),
    ("chain/0000", lambda value: {"chains": {n: with_more(c) for n, c in value["chains"].items()}}, DROPPED),
    ("chain/0000", lambda value: with_more(value), DROPPED),
    ("drain/ask/d0", lambda value: with_more(value), DROPPED),
    ("drain/steps/00", lambda value: {"machines": {n: [*m, 1] for n, m in value["machines"].items()}}, REFUSED),
    ("drain/account/00", lambda value: with_more(value), DROPPED),
    ("served/account", lambda value: value | {"rows": [[*row, 1] for row in value["rows"]]}, REFUSED),
    ("served/account", lambda value: with_more(value), DROPPED),
    ("promise/nights", lambda value: with_more(value), DROPPED),
    ("lead/leader", lambda value: with_more(value), DROPPED),
    ("demand/000/00", lambda value: with_more(value), DROPPED),
    ("drain/pool", lambda value: with_more(value), DROPPED),
]  # fmt: skip


@pytest.mark.parametrize(("key", "change", "expected"), MORE)
def test_what_production_makes_of_one_more_field(
    shared: MixedVersionCluster, key: str, change: Any, expected: str
) -> None:
    family = (
        "/".join(key.split("/")[:2]) if key.startswith(("lead", "drain", "served", "promise")) else key.split("/")[0]
    )
    # The largest holds the most of what there can be.
    rare = [Value(each, each, value, PRESENT) for each, value in RARE]
    candidates = [each for each in values_of(shared) + rare if each.family == family]
    largest = max(candidates, key=lambda each: len(orjson.dumps(each.value)))
    changed = change(largest.value)
    assert changed != largest.value
    try:
        found = orjson.loads(orjson.dumps(rewrite_value(production(), largest.key, changed)))
    except Exception:
        assert expected == REFUSED
        return
    assert expected == (KEPT if found == changed else DROPPED)


# -- what production does with keys that it does not know ---------------------------------------

ENDS_EVERY_TERM, TIDIED_AWAY, TAKEN_FOR_A_JOB, LEFT_ALONE = "ends every term", "tidied away", "a job", "left alone"
MORE_KEYS = [
    ("places/later", ENDS_EVERY_TERM),
    ("chain/later", ENDS_EVERY_TERM),
    ("done/j-777777/0", TIDIED_AWAY),
    ("live/j-777777/0", TAKEN_FOR_A_JOB),
    ("over/j-777777/0", LEFT_ALONE),
    ("drain/later", LEFT_ALONE),
    ("lead/later", LEFT_ALONE),
    ("served/later", LEFT_ALONE),
    ("promise/later", LEFT_ALONE),
    ("demand/later", LEFT_ALONE),
    ("awaits/j-777777/0", LEFT_ALONE),
]


@pytest.mark.parametrize(("key", "expected"), MORE_KEYS)
def test_what_production_makes_of_one_more_key(key: str, expected: str) -> None:
    """A key that a later version might make, as a leader of production takes over."""
    cluster = SimulatedCluster(7800, is_calm=True, controller_count=2, versions=[production()] * 2)
    found: list[str] = []

    def leading() -> Any:
        return next(
            (
                leader_term
                for n in cluster.nodes
                if (leader_term := production().attribute(n.service, "leader_term"))
                and production().attribute(leader_term, "is_ready")
            ),
            None,
        )

    async def take_over(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        cluster.state.revision += 1
        cluster.state.apply_change(key, {"jobs": ["j-1"]}, None)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(14)
        leader_term = leading()
        if leader_term is None:
            found.append(ENDS_EVERY_TERM)
        elif key not in cluster.state.keys:
            found.append(TIDIED_AWAY)
        else:
            found.append(
                TAKEN_FOR_A_JOB
                if key.removeprefix(LIVE_JOB_PREFIX) in production().attribute(leader_term, "cluster_state.jobs")
                else LEFT_ALONE
            )

    cluster.schedule_action(take_over)
    cluster.run(length_s=40, job_count=5)
    assert found == [expected]
    if expected != ENDS_EVERY_TERM:
        raise_first_failure(cluster)


# -- messages between controllers ----------------------------------------------------------------


@pytest.mark.parametrize("leader", VERSIONS, ids=NAMES)
def test_controllers_of_both_versions_answer_one_another(leader: Any) -> None:
    """One of each version, and either of them leads: what each is told by the other."""
    other = PRESENT if leader() is production() else production()
    cluster = SimulatedCluster(7700, is_calm=True, controller_count=2, versions=[leader(), other])
    asked: list[str] = []

    async def ask(cluster: SimulatedCluster) -> None:
        # The other one stands later: its process ends, and is back when the first leads.
        cluster.nodes[1].crash()
        await asyncio.sleep(4)
        cluster.nodes[1].start()
        await asyncio.sleep(16)
        assert cluster.current_leader() is cluster.nodes[0]
        for node in cluster.nodes:
            service: Any = node.service
            own = node.running_version.attribute
            assert await own(service, "membership.fetch_latest_leader")() == ("n0", 1)
            acknowledged = await own(service, "membership.fetch_acknowledged_cancellations")(timedelta(seconds=5))
            others = [each for each in cluster.nodes if each is not node and each.service is not None]
            acknowledged_since = others[0].running_version.attribute(
                others[0].service, "submission_handlers.acknowledged_cancellations_since"
            )
            assert (acknowledged.term, own(acknowledged, "job_ids")) == (1, acknowledged_since(timedelta(seconds=5)))
            turned_away = await own(service, "_gather_rejections")()
            assert turned_away.keys() == {"n0", "n1"}
            reached, _ = await own(service, "membership.probe_workers")(
                {name: f"{name}:9000" for name in cluster.workers}
            )
            assert sorted(reached) == sorted(cluster.workers)
            asked.append(node.name)
        jobs = sorted(cluster.accepted_jobs - cluster.observed_ends.keys())
        counts = [
            await node.running_version.attribute(node.service, "_fetch_progress")(jobs)
            for node in cluster.nodes
            if node.service is not None
        ]
        assert jobs and counts[0].keys() == counts[1].keys() == set(jobs)
        report = orjson.dumps(next(iter(cluster.workers.values())).heartbeat_body())
        sent_on = await cluster.nodes[1].serve_public("POST", "/hello", report)
        assert sent_on is not None and sent_on.status == 421
        assert orjson.loads(sent_on.body)["answers_to"] == "n0"
        for path in ("/reach", "/status", "/limits", "/forecast"):
            response = await cluster.nodes[1].serve_peer("GET", path, b"")
            assert response is not None and response.status == 200, path
        passed_on = await cluster.nodes[1].serve_peer("POST", "/drains", orjson.dumps({"verb": "status"}))
        assert passed_on is not None and passed_on.status == 200
        asked.append("all")

    cluster.schedule_action(ask)
    raise_first_failure(cluster.run(length_s=30, job_count=10))
    assert asked == ["n0", "n1", "all"]


IGNORED = "ignored"
# One more field in what is said, and what production makes of it. Orders with one are refused with 400.
MESSAGES = [
    ("membership.messages", "AcknowledgedCancellationsQuery", {"since_s": 5.0}, IGNORED),
    ("membership.messages", "AcknowledgedCancellations", {"term": 1, "cancelled": []}, IGNORED),
    ("service_levels.messages", "RejectedRequests", {"instance": "a", "up_s": 1.0, "rows": []}, IGNORED),
    ("leader_election.messages", "ReachabilityQuery", {"term": 1, "number": 1, "workers": {}}, IGNORED),
    ("leader_election.messages", "ReachabilityAnswer", {"term": 1, "number": 1, "reached": [], "came": []}, IGNORED),
    ("workflows.handlers", "WorkflowRequest", {"verb": "list"}, REFUSED),
    ("drain.api", "DrainCommand", {"verb": "status"}, REFUSED),
    ("delivery_deadlines.handlers", "DeadlineRequest", {}, REFUSED),
]


@pytest.mark.parametrize(("module", "name", "value", "expected"), MESSAGES)
def test_what_production_makes_of_one_more_field_in_a_message(
    module: str, name: str, value: dict[str, Any], expected: str
) -> None:
    message = production().find(module, name)
    assert msgspec.convert(value, message)
    if expected == REFUSED:
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(with_more(value), message)
    else:
        assert msgspec.convert(with_more(value), message) == msgspec.convert(value, message)


def test_production_takes_a_submission_that_names_awaited_jobs_for_one_that_names_none() -> None:
    """So users may name them only once every controller has the new version."""
    cluster = SimulatedCluster(1)
    wire = {name: value for name, value in cluster.make_job().items() if name != "mistaken"}
    submission = production().find("submissions.messages", "Submission")
    found = msgspec.convert(wire | {"awaits": ["j-1"]}, submission)
    assert found == msgspec.convert(wire, submission)


# -- jobs that await others, under a leader of production ---------------------------------------

AWAITING = "j-777777"


def awaiting_record(after: Any) -> dict[str, Any]:
    spec = JobSpec(
        AWAITING, "x", "t0", "array", 3, 2, 1.0, 0.0, 1.0, estimated_duration_s=2.0, image="img-1", image_gb=0.5
    )
    record: dict[str, Any] = to_stored(spec)
    return record | {"after": msgspec.to_builtins(after)}


class AwaitingWorld(SimulatedCluster):
    """Two controllers of production; one job's record names another that is done; later the present version leads."""

    def __init__(self, seed: int, record: dict[str, Any]) -> None:
        super().__init__(
            seed, is_calm=True, controller_count=2, versions=[production()] * 2, restart_delay_range_s=(3.0, 4.0)
        )
        self.record = record
        self.without_request.add(AWAITING)  # its record is written, and no user submits it
        self.answers: list[tuple[float, int, dict[str, Any]]] = []
        self.started: list[float] = []
        self.upgrade_begins, self.upgraded_at = 45.0, 0.0
        self.cancel_at: float | None = None
        for act in (AwaitingWorld.write, AwaitingWorld.ask_on, AwaitingWorld.upgrade):
            self.schedule_action(act)  # type: ignore[arg-type]

    async def write(self) -> None:
        await asyncio.sleep(10)
        wire = self.make_job() | {"shape": "sweep", "parcels": 2, "cores": 1.0, "accelerators": 0.0, "builds": None}
        more = {"kit": "img-1", "size_gb": 0.5, "guess_s": 2.0, "crew": "t0", "mistaken": False, "yard": None}
        self.jobs[AWAITING] = wire | more | {"name_id": AWAITING, "together": False, "loaners": True}
        ended = {"state": "done", "tasks": 1, "team": "t0", "job_class": "x"}
        guards = [{"path": COMPLETED_JOB_PREFIX + "j-1", "stamp": 0}, {"path": LIVE_JOB_PREFIX + AWAITING, "stamp": 0}]
        ops = [{"put": COMPLETED_JOB_PREFIX + "j-1", "v": ended}, {"put": LIVE_JOB_PREFIX + AWAITING, "v": self.record}]
        await self.state.handle("n0", "POST", "/txn", {"guards": guards, "then": ops})
        self.accepted_jobs.add(AWAITING)

    async def ask_on(self) -> None:
        await asyncio.sleep(11)
        while True:
            if self.cancel_at is not None and virtual_now() >= self.cancel_at:
                self.cancel_requested.add(AWAITING)
                status, answer = await self.ask("POST", f"/submissions/{AWAITING}/cancel")
            else:
                status, answer = await self.ask("GET", f"/submissions/{AWAITING}")
            self.check_answer(AWAITING, status, answer)
            self.answers.append((virtual_now(), status, answer))
            await asyncio.sleep(1)

    async def upgrade(self) -> None:
        # Elections of production on production's record first.
        await asyncio.sleep(25)
        await self.restart_controller(self.current_leader())
        await asyncio.sleep(max(0.0, self.upgrade_begins - virtual_now()))
        self.upgraded_at = virtual_now()
        for node in self.nodes:
            node.version = PRESENT
        await asyncio.gather(*(self.restart_controller(node) for node in self.nodes))

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job_id == AWAITING:
            self.started.append(virtual_now())
            self.check_rule(
                self.upgraded_at > 0, f"too_early: {AWAITING} started by a version that does not know why it waits"
            )


@pytest.mark.parametrize("seed", [7600, 7601])
def test_an_awaiting_job_is_held_by_production_and_goes_on_after_the_upgrade(seed: int) -> None:
    cluster = AwaitingWorld(seed, awaiting_record(StoredDependencies(job_ids=["j-1"])))
    raise_first_failure(cluster.run(length_s=90, job_count=8))
    before = [
        (status, answer["standing"]) for at, status, answer in cluster.answers if at < cluster.upgraded_at and status
    ]
    assert len(before) > 20 and set(before) == {(200, "queued")}
    assert cluster.started and stored_job_state(cluster, AWAITING) == "done"


def test_an_awaiting_job_can_be_cancelled_under_production() -> None:
    cluster = AwaitingWorld(7602, awaiting_record(StoredDependencies(part_count=2, digest="0123")))
    cluster.cancel_at = 18.0
    raise_first_failure(cluster.run(length_s=18 + 2 * CANCEL_DEADLINE_S, job_count=4))
    assert not cluster.started and stored_job_state(cluster, AWAITING) == "cancelled"


def test_an_awaiting_record_that_names_a_chain_too_is_ended_by_production() -> None:
    """So such a record must not be written: production takes it for a step whose chain was never recorded.

    It is accepted long ago here; production gives a chain some minutes to be recorded.
    """
    cluster = AwaitingWorld(7603, awaiting_record(StoredDependencies(job_ids=["j-1"])) | {"chain": "c-1"})
    cluster.upgrade_begins = 1e9
    cluster.run(length_s=60, job_count=2)
    assert any("cancelled by nobody" in str(broken) for broken in cluster.rule_violations), cluster.rule_violations
    assert stored_job_state(cluster, AWAITING) == "cancelled"


def test_wrote_new_early_is_caught() -> None:
    """Awaited jobs as a plain list: production takes it for a record of its own, and starts the job."""
    cluster = AwaitingWorld(7600, awaiting_record(["j-1"])).run(length_s=40, job_count=8)
    assert any("too_early" in str(broken) for broken in cluster.rule_violations), cluster.rule_violations
