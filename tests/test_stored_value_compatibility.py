"""Stored values and messages of the production version and the present one, read and written by the other."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
import orjson
import pytest

from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX, JobSpec, StoredDependencies, to_stored
from roseweir.workflows import store as workflow_store
from tests.simulation import virtual_time
from tests.simulation.cluster import CANCEL_DEADLINE_S, SimulatedCluster, raise_first_failure, virtual_now
from tests.simulation.rolling_upgrade import MixedVersionCluster, stored_job_state, terms_led_by
from tests.simulation.stored_value_rewriting import read_delta, rewrite_value
from tests.versions import PRESENT, Version, production

VERSIONS = (production, lambda: PRESENT)
VERSION_IDS = ("production", "present")
# Families that a leader rewrites, and families written once as a job is accepted or ends.
REWRITTEN = {"chain", "done", "drain/account", "drain/ask", "drain/steps", "lead/leader", "lead/term"}
REWRITTEN |= {"places", "places/note", "promise/nights", "served/account", "demand"}
WRITTEN_ONCE = {"catalog", "live", "over"}


@dataclass(frozen=True)
class StoredValue:
    family: str
    key: str
    value: Any
    writer: Version


@pytest.fixture(scope="module")
def mixed_cluster() -> Iterator[MixedVersionCluster]:
    """A run in which both versions lead in turn and write every family of values."""
    with pytest.MonkeyPatch.context() as patched:
        for version in (PRESENT, production()):
            # Saved only every few minutes by default, which is too rare for a short run.
            for module in ("forecast.predictive_scaler", "delivery_deadlines.controller"):
                patched.setattr(*version.locate(module, "SAVE_INTERVAL"), timedelta(seconds=6))
        cluster = MixedVersionCluster(7)
        cluster.run(length_s=110, job_count=12)
    raise_first_failure(cluster)
    yield cluster


def values_of(cluster: MixedVersionCluster) -> list[StoredValue]:
    return [
        StoredValue(family, key, orjson.loads(raw), writer)
        for family, written in sorted(cluster.tracking_store.values_by_family.items())
        for raw, (key, writer) in written.items()
    ]


# Values of families that a short run does not write.
RARELY_WRITTEN = [
    ("drain/moves", {"plans": [["j-1", "m-1", 5, [["j-2", 0, "m-2"]]]], "moved": {"j-2/0": 7}}),
    ("lead/ask", {"term": 3, "number": 1, "workers": {"m-1": "m-1:9000"}}),
    ("lead/reach/n1", {"term": 3, "number": 1, "reached": ["m-1"], "came": ["m-2"], "tallies": {"m-2": [1, 7]}}),
    ("drain/pool", {"gaps": {"c": 2}, "own": {"day": 1, "machines": 2, "money": 0.5, "brakes": {"a/cpu": [1, 2, ""]}}}),
]  # fmt: skip


def without_level(value: Any) -> Any:
    return {name: item for name, item in value.items() if name != "level"}


def value_if_changed(version: Version, key: str, value: Any) -> Any:
    """Returns None if the version keeps the whole value, and otherwise the value that it writes back."""
    rewritten = orjson.loads(orjson.dumps(rewrite_value(version, key, value)))
    if key == "lead/leader":
        # A leader never rewrites the record of another leader.
        rewritten, value = without_level(rewritten), without_level(value)
    return None if rewritten == value else rewritten


def test_each_version_rewrites_values_of_the_other_in_every_family(mixed_cluster: MixedVersionCluster) -> None:
    present_version_led = terms_led_by(mixed_cluster, PRESENT)
    assert True in present_version_led and False in present_version_led
    old = production()
    for family in sorted(REWRITTEN):
        writers = {
            (before, after)
            for family_rewritten, before, after in mixed_cluster.tracking_store.rewrites
            if family_rewritten == family
        }
        assert (old, PRESENT) in writers and (PRESENT, old) in writers, f"{family}: {writers}"
    families = {value.family for value in values_of(mixed_cluster)}
    assert families >= REWRITTEN | WRITTEN_ONCE
    assert families - {"drain/pool"} <= REWRITTEN | WRITTEN_ONCE, "a family that no test covers"


@pytest.mark.parametrize("version", VERSIONS, ids=VERSION_IDS)
def test_each_version_keeps_all_values_of_the_other(mixed_cluster: MixedVersionCluster, version: Any) -> None:
    values = [value for value in values_of(mixed_cluster) if value.family != "places/note"]
    assert {value.writer for value in values} == {PRESENT, production()}
    for item in values:
        rewritten = value_if_changed(version(), item.key, item.value)
        assert rewritten is None, f"{item.key} of {item.writer.package}: {item.value} became {rewritten}"
    for key, value in RARELY_WRITTEN:
        assert value_if_changed(version(), key, value) is None, key


def test_both_versions_read_the_same_from_deltas(mixed_cluster: MixedVersionCluster) -> None:
    values = values_of(mixed_cluster)
    live_jobs = {value.key.removeprefix(LIVE_JOB_PREFIX): value.value for value in values if value.family == "live"}
    deltas = [value for value in values if value.family == "places/note"]
    assert len(deltas) > 50 and {delta.writer for delta in deltas} == {PRESENT, production()}

    async def read() -> None:
        for delta in deltas:
            readings = [read_delta(version, delta.key, delta.value, live_jobs) for version in (production(), PRESENT)]
            assert readings[0] == readings[1], delta
            started_jobs = {job for job, placements in delta.value["starts"].items() if placements}
            assert set(readings[0]["starts"]) <= started_jobs
            # Another leader may have written more deltas; production drops a field that it does not know.
            assert read_delta(production(), "places/note-9", with_added_field(delta.value), live_jobs) == readings[0]

    virtual_time.run_in_virtual_time(read())


def test_catches_dropped_field(mixed_cluster: MixedVersionCluster, monkeypatch: pytest.MonkeyPatch) -> None:
    """A rewrite that loses a field that the other version needs: the deadline of a workflow."""
    pages = [value for value in values_of(mixed_cluster) if value.family == "chain"]
    original_encode_page = workflow_store.WorkflowStore.encode_page

    def encode_without_deadline(
        self: workflow_store.WorkflowStore, number: int, workflows: dict[str, Any]
    ) -> dict[str, Any]:
        value: dict[str, Any] = original_encode_page(self, number, workflows)
        for workflow in value["chains"].values():
            workflow.pop("due_ms", None)
        return value

    assert all(value_if_changed(PRESENT, page.key, page.value) is None for page in pages)
    monkeypatch.setattr(workflow_store.WorkflowStore, "encode_page", encode_without_deadline)
    assert any(value_if_changed(PRESENT, page.key, page.value) is not None for page in pages)


# -- unknown fields read by production -----------------------------------------------------------

KEPT, DROPPED, REFUSED = "kept", "dropped", "refused"


def with_added_field(value: dict[str, Any]) -> dict[str, Any]:
    return value | {"later": 1}


# Where a later version may add a field, and what production does with it. docs/upgrades.md has the same table.
ADDED_FIELDS = [
    ("live/j-1", lambda value: with_added_field(value), DROPPED),
    ("over/j-1", lambda value: with_added_field(value), DROPPED),
    ("places/0000", lambda value: with_added_field(value), DROPPED),
    ("places/0000", lambda value: {"machines": {n: with_added_field(m) for n, m in value["machines"].items()}}, KEPT),
    ("chain/0000", lambda value: {"chains": {n: with_added_field(c) for n, c in value["chains"].items()}}, DROPPED),
    ("chain/0000", lambda value: with_added_field(value), DROPPED),
    ("drain/ask/d0", lambda value: with_added_field(value), DROPPED),
    ("drain/steps/00", lambda value: {"machines": {n: [*m, 1] for n, m in value["machines"].items()}}, REFUSED),
    ("drain/account/00", lambda value: with_added_field(value), DROPPED),
    ("served/account", lambda value: value | {"rows": [[*row, 1] for row in value["rows"]]}, REFUSED),
    ("served/account", lambda value: with_added_field(value), DROPPED),
    ("promise/nights", lambda value: with_added_field(value), DROPPED),
    ("lead/leader", lambda value: with_added_field(value), DROPPED),
    ("demand/000/00", lambda value: with_added_field(value), DROPPED),
    ("drain/pool", lambda value: with_added_field(value), DROPPED),
]  # fmt: skip


@pytest.mark.parametrize(("key", "change", "expected"), ADDED_FIELDS)
def test_production_handles_added_field_as_expected(
    mixed_cluster: MixedVersionCluster, key: str, change: Any, expected: str
) -> None:
    family = (
        "/".join(key.split("/")[:2]) if key.startswith(("lead", "drain", "served", "promise")) else key.split("/")[0]
    )
    # The largest value has the most optional fields.
    rarely_written = [StoredValue(item, item, value, PRESENT) for item, value in RARELY_WRITTEN]
    candidates = [item for item in values_of(mixed_cluster) + rarely_written if item.family == family]
    largest = max(candidates, key=lambda item: len(orjson.dumps(item.value)))
    changed = change(largest.value)
    assert changed != largest.value
    try:
        rewritten = orjson.loads(orjson.dumps(rewrite_value(production(), largest.key, changed)))
    except Exception:
        assert expected == REFUSED
        return
    assert expected == (KEPT if rewritten == changed else DROPPED)


# -- unknown keys read by production -------------------------------------------------------------

ENDS_EVERY_TERM, DELETED, READ_AS_JOB, IGNORED_KEY = "ends every term", "deleted", "read as a job", "ignored"
ADDED_KEYS = [
    ("places/later", ENDS_EVERY_TERM),
    ("chain/later", ENDS_EVERY_TERM),
    ("done/j-777777/0", DELETED),
    ("live/j-777777/0", READ_AS_JOB),
    ("over/j-777777/0", IGNORED_KEY),
    ("drain/later", IGNORED_KEY),
    ("lead/later", IGNORED_KEY),
    ("served/later", IGNORED_KEY),
    ("promise/later", IGNORED_KEY),
    ("demand/later", IGNORED_KEY),
    ("awaits/j-777777/0", IGNORED_KEY),
]


@pytest.mark.parametrize(("key", "expected"), ADDED_KEYS)
def test_production_handles_added_key_as_expected(key: str, expected: str) -> None:
    """A leader of the production version takes over with a key that a later version may write."""
    cluster = SimulatedCluster(7800, without_random_faults=True, controller_count=2, versions=[production()] * 2)
    outcomes: list[str] = []

    def find_leader_term() -> Any:
        return next(
            (
                leader_term
                for n in cluster.controllers
                if (leader_term := production().attribute(n.service, "leader_term"))
                and production().attribute(leader_term, "is_ready")
            ),
            None,
        )

    async def take_over(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(8)
        cluster.kv_store.revision += 1
        cluster.kv_store.apply_change(key, {"jobs": ["j-1"]}, None)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(14)
        leader_term = find_leader_term()
        if leader_term is None:
            outcomes.append(ENDS_EVERY_TERM)
        elif key not in cluster.kv_store.keys:
            outcomes.append(DELETED)
        else:
            outcomes.append(
                READ_AS_JOB
                if key.removeprefix(LIVE_JOB_PREFIX) in production().attribute(leader_term, "cluster_state.jobs")
                else IGNORED_KEY
            )

    cluster.schedule_action(take_over)
    cluster.run(length_s=40, job_count=5)
    assert outcomes == [expected]
    if expected != ENDS_EVERY_TERM:
        raise_first_failure(cluster)


# -- messages between controllers ----------------------------------------------------------------


@pytest.mark.parametrize("leader", VERSIONS, ids=VERSION_IDS)
def test_controllers_of_both_versions_answer_each_other(leader: Any) -> None:
    """Two controllers, one of each version, with either as leader: each answers every query of the other."""
    other = PRESENT if leader() is production() else production()
    cluster = SimulatedCluster(7700, without_random_faults=True, controller_count=2, versions=[leader(), other])
    verified: list[str] = []

    async def query_each_other(cluster: SimulatedCluster) -> None:
        # The second controller starts later, so that the first leads.
        cluster.controllers[1].crash()
        await asyncio.sleep(4)
        cluster.controllers[1].start()
        await asyncio.sleep(16)
        assert cluster.current_leader() is cluster.controllers[0]
        for node in cluster.controllers:
            service: Any = node.service
            attribute = node.running_version.attribute
            assert await attribute(service, "membership.fetch_latest_leader")() == ("n0", 1)
            acknowledged = await attribute(service, "membership.fetch_acknowledged_cancellations")(timedelta(seconds=5))
            others = [peer for peer in cluster.controllers if peer is not node and peer.service is not None]
            acknowledged_since = others[0].running_version.attribute(
                others[0].service, "submission_handlers.acknowledged_cancellations_since"
            )
            assert (acknowledged.term, attribute(acknowledged, "job_ids")) == (
                1,
                acknowledged_since(timedelta(seconds=5)),
            )
            rejections = await attribute(service, "_gather_rejections")()
            assert rejections.keys() == {"n0", "n1"}
            reached, _ = await attribute(service, "membership.probe_workers")(
                {name: f"{name}:9000" for name in cluster.workers}
            )
            assert sorted(reached) == sorted(cluster.workers)
            verified.append(node.name)
        jobs = sorted(cluster.accepted_jobs - cluster.observed_ends.keys())
        counts = [
            await node.running_version.attribute(node.service, "_fetch_progress")(jobs)
            for node in cluster.controllers
            if node.service is not None
        ]
        assert jobs and counts[0].keys() == counts[1].keys() == set(jobs)
        heartbeat = orjson.dumps(next(iter(cluster.workers.values())).heartbeat_body())
        redirect = await cluster.controllers[1].serve_public("POST", "/hello", heartbeat)
        assert redirect is not None and redirect.status == 421
        assert orjson.loads(redirect.body)["answers_to"] == "n0"
        for path in ("/reach", "/status", "/limits", "/forecast"):
            response = await cluster.controllers[1].serve_peer("GET", path, b"")
            assert response is not None and response.status == 200, path
        forwarded = await cluster.controllers[1].serve_peer("POST", "/drains", orjson.dumps({"verb": "status"}))
        assert forwarded is not None and forwarded.status == 200
        verified.append("all")

    cluster.schedule_action(query_each_other)
    raise_first_failure(cluster.run(length_s=30, job_count=10))
    assert verified == ["n0", "n1", "all"]


IGNORED = "ignored"
# What production does with an additional field in a message. Operator commands with one are refused with 400.
ADDED_MESSAGE_FIELDS = [
    ("membership.messages", "AcknowledgedCancellationsQuery", {"since_s": 5.0}, IGNORED),
    ("membership.messages", "AcknowledgedCancellations", {"term": 1, "cancelled": []}, IGNORED),
    ("service_levels.messages", "RejectedRequests", {"instance": "a", "up_s": 1.0, "rows": []}, IGNORED),
    ("leader_election.messages", "ReachabilityQuery", {"term": 1, "number": 1, "workers": {}}, IGNORED),
    ("leader_election.messages", "ReachabilityAnswer", {"term": 1, "number": 1, "reached": [], "came": []}, IGNORED),
    ("workflows.handlers", "WorkflowRequest", {"verb": "list"}, REFUSED),
    ("drain.api", "DrainCommand", {"verb": "status"}, REFUSED),
    ("delivery_deadlines.handlers", "DeadlineRequest", {}, REFUSED),
]


@pytest.mark.parametrize(("module", "name", "value", "expected"), ADDED_MESSAGE_FIELDS)
def test_production_handles_added_message_field_as_expected(
    module: str, name: str, value: dict[str, Any], expected: str
) -> None:
    message = production().find(module, name)
    assert msgspec.convert(value, message)
    if expected == REFUSED:
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(with_added_field(value), message)
    else:
        assert msgspec.convert(with_added_field(value), message) == msgspec.convert(value, message)


def test_production_ignores_dependencies_of_a_submission() -> None:
    """So users may submit dependencies only after every controller runs the new version."""
    cluster = SimulatedCluster(1)
    wire = {name: value for name, value in cluster.make_job().items() if name != "mistaken"}
    submission = production().find("submissions.messages", "Submission")
    converted = msgspec.convert(wire | {"awaits": ["j-1"]}, submission)
    assert converted == msgspec.convert(wire, submission)


# -- jobs with dependencies under a leader of production -----------------------------------------

DEPENDENT_JOB = "j-777777"


def dependent_job_record(dependencies: Any) -> dict[str, Any]:
    spec = JobSpec(
        DEPENDENT_JOB, "x", "t0", "array", 3, 2, 1.0, 0.0, 1.0, estimated_duration_s=2.0, image="img-1", image_gb=0.5
    )
    record: dict[str, Any] = to_stored(spec)
    return record | {"after": msgspec.to_builtins(dependencies)}


class DependentJobCluster(SimulatedCluster):
    """Two production controllers and a stored job that depends on a completed one; later both are upgraded."""

    def __init__(self, seed: int, record: dict[str, Any]) -> None:
        super().__init__(
            seed,
            without_random_faults=True,
            controller_count=2,
            versions=[production()] * 2,
            restart_delay_range_s=(3.0, 4.0),
        )
        self.record = record
        self.externally_changed_jobs.add(DEPENDENT_JOB)  # the test stores its record; no user submits it
        self.answers: list[tuple[float, int, dict[str, Any]]] = []
        self.start_times: list[float] = []
        self.upgrade_begins_at, self.upgraded_at = 45.0, 0.0
        self.cancel_at: float | None = None
        for action in (DependentJobCluster.store_records, DependentJobCluster.poll_status, DependentJobCluster.upgrade):
            self.schedule_action(action)  # type: ignore[arg-type]

    async def store_records(self) -> None:
        await asyncio.sleep(10)
        wire = self.make_job() | {"shape": "sweep", "parcels": 2, "cores": 1.0, "accelerators": 0.0, "builds": None}
        job_fields = {"kit": "img-1", "size_gb": 0.5, "guess_s": 2.0, "crew": "t0", "mistaken": False, "yard": None}
        self.jobs[DEPENDENT_JOB] = wire | job_fields | {"name_id": DEPENDENT_JOB, "together": False, "loaners": True}
        ended = {"state": "done", "tasks": 1, "team": "t0", "job_class": "x"}
        guards = [
            {"path": COMPLETED_JOB_PREFIX + "j-1", "stamp": 0},
            {"path": LIVE_JOB_PREFIX + DEPENDENT_JOB, "stamp": 0},
        ]
        ops = [
            {"put": COMPLETED_JOB_PREFIX + "j-1", "v": ended},
            {"put": LIVE_JOB_PREFIX + DEPENDENT_JOB, "v": self.record},
        ]
        await self.kv_store.handle("n0", "POST", "/txn", {"guards": guards, "then": ops})
        self.accepted_jobs.add(DEPENDENT_JOB)

    async def poll_status(self) -> None:
        await asyncio.sleep(11)
        while True:
            if self.cancel_at is not None and virtual_now() >= self.cancel_at:
                self.cancel_requested.add(DEPENDENT_JOB)
                status, answer = await self.send_user_request("POST", f"/submissions/{DEPENDENT_JOB}/cancel")
            else:
                status, answer = await self.send_user_request("GET", f"/submissions/{DEPENDENT_JOB}")
            self.check_answer(DEPENDENT_JOB, status, answer)
            self.answers.append((virtual_now(), status, answer))
            await asyncio.sleep(1)

    async def upgrade(self) -> None:
        # First, a production leader takes over from a production leader.
        await asyncio.sleep(25)
        await self.restart_controller(self.current_leader())
        await asyncio.sleep(max(0.0, self.upgrade_begins_at - virtual_now()))
        self.upgraded_at = virtual_now()
        for node in self.controllers:
            node.version = PRESENT
        await asyncio.gather(*(self.restart_controller(node) for node in self.controllers))

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job_id == DEPENDENT_JOB:
            self.start_times.append(virtual_now())
            self.check_rule(
                self.upgraded_at > 0,
                f"too_early: {DEPENDENT_JOB} started by a version that cannot read its dependencies",
            )


@pytest.mark.parametrize("seed", [7600, 7601])
def test_production_holds_dependent_job_until_the_upgrade(seed: int) -> None:
    cluster = DependentJobCluster(seed, dependent_job_record(StoredDependencies(job_ids=["j-1"])))
    raise_first_failure(cluster.run(length_s=90, job_count=8))
    statuses_before_upgrade = [
        (status, answer["standing"]) for at, status, answer in cluster.answers if at < cluster.upgraded_at and status
    ]
    assert len(statuses_before_upgrade) > 20 and set(statuses_before_upgrade) == {(200, "queued")}
    assert cluster.start_times and stored_job_state(cluster, DEPENDENT_JOB) == "done"


def test_dependent_job_can_be_cancelled_under_production() -> None:
    cluster = DependentJobCluster(7602, dependent_job_record(StoredDependencies(part_count=2, digest="0123")))
    cluster.cancel_at = 18.0
    raise_first_failure(cluster.run(length_s=18 + 2 * CANCEL_DEADLINE_S, job_count=4))
    assert not cluster.start_times and stored_job_state(cluster, DEPENDENT_JOB) == "cancelled"


def test_production_cancels_dependent_job_record_that_names_a_workflow() -> None:
    """Such a record must not be written: production treats it as a step whose workflow was never stored.

    The job here was accepted long ago; production waits some minutes for a workflow to be stored.
    """
    cluster = DependentJobCluster(7603, dependent_job_record(StoredDependencies(job_ids=["j-1"])) | {"chain": "c-1"})
    cluster.upgrade_begins_at = 1e9
    cluster.run(length_s=60, job_count=2)
    assert any("cancelled by nobody" in str(violation) for violation in cluster.rule_violations), (
        cluster.rule_violations
    )
    assert stored_job_state(cluster, DEPENDENT_JOB) == "cancelled"


def test_catches_dependencies_written_in_a_format_production_misreads() -> None:
    """With dependencies as a plain list, production reads the record as its own format and starts the job."""
    cluster = DependentJobCluster(7600, dependent_job_record(["j-1"])).run(length_s=40, job_count=8)
    assert any("too_early" in str(violation) for violation in cluster.rule_violations), cluster.rule_violations
