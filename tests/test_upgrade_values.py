"""Stored values and messages of the version in production and of the present one, read and written by the other."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
import orjson
import pytest

from roseweir.chains import store as chain_store
from roseweir.submissions.jobs import LIVE, OVER, Awaited, JobSpec, stored
from tests import virtual
from tests.rewriting import read_note, rewrite
from tests.upgrading import SharedWorld, check_rules, is_led_by, standing_of
from tests.versions import PRESENT, Version, production
from tests.world import CANCEL_S, World, now

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
def shared() -> Iterator[SharedWorld]:
    """A day on which both versions have led in turn and have written all that there is to write."""
    with pytest.MonkeyPatch.context() as patched:
        for version in (PRESENT, production()):
            # These are written after minutes, too rarely for a short day.
            patched.setattr(version.module("forecast.desk"), "SAVE", timedelta(seconds=6))
            patched.setattr(version.module("promises.desk"), "SAVE", timedelta(seconds=6))
        world = SharedWorld(7)
        world.play(length=110, jobs=12)
    check_rules(world)
    yield world


def values_of(world: SharedWorld) -> list[Value]:
    return [
        Value(family, key, orjson.loads(raw), writer)
        for family, written in sorted(world.writers.values.items())
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
    found = orjson.loads(orjson.dumps(rewrite(version, key, value)))
    if key == "lead/leader":
        # Each leader writes its own record, and never another's.
        found, value = without_level(found), without_level(value)
    return None if found == value else found


def test_both_versions_have_written_over_one_another_in_every_family(shared: SharedWorld) -> None:
    led = is_led_by(shared, PRESENT)
    assert True in led and False in led
    old = production()
    for family in sorted(REWRITTEN):
        found = {(before, after) for each, before, after in shared.writers.rewritten if each == family}
        assert (old, PRESENT) in found and (PRESENT, old) in found, f"{family}: {found}"
    families = {value.family for value in values_of(shared)}
    assert families >= REWRITTEN | WRITTEN_ONCE
    assert families - {"drain/pool"} <= REWRITTEN | WRITTEN_ONCE, "a family that no test knows"


@pytest.mark.parametrize("version", VERSIONS, ids=NAMES)
def test_a_version_keeps_all_of_what_the_other_has_written(shared: SharedWorld, version: Any) -> None:
    values = [value for value in values_of(shared) if value.family != "places/note"]
    assert {value.writer for value in values} == {PRESENT, production()}
    for each in values:
        found = lost(version(), each.key, each.value)
        assert found is None, f"{each.key} of {each.writer.package}: {each.value} became {found}"
    for key, value in RARE:
        assert lost(version(), key, value) is None, key


def test_both_versions_read_the_same_from_notes(shared: SharedWorld) -> None:
    values = values_of(shared)
    live = {value.key.removeprefix(LIVE): value.value for value in values if value.family == "live"}
    notes = [value for value in values if value.family == "places/note"]
    assert len(notes) > 50 and {note.writer for note in notes} == {PRESENT, production()}

    async def read() -> None:
        for note in notes:
            both = [read_note(version, note.key, note.value, live) for version in (production(), PRESENT)]
            assert both[0] == both[1], note
            started = {job for job, places in note.value["starts"].items() if places}
            assert set(both[0]["starts"]) <= started
            # Another leader may have had more notes; a field that it does not know is dropped.
            assert read_note(production(), "places/note-9", with_more(note.value), live) == both[0]

    virtual.run(read())


def test_dropped_field_is_caught(shared: SharedWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    """A rewriting that loses what the other version needs: which jobs a delivery waits for."""
    pages = [value for value in values_of(shared) if value.family == "chain"]
    keep = chain_store.Store.value

    def drop(self: chain_store.Store, number: int, chains: dict[str, Any]) -> dict[str, Any]:
        value: dict[str, Any] = keep(self, number, chains)
        for chain in value["chains"].values():
            chain.pop("due_ms", None)
        return value

    assert all(lost(PRESENT, page.key, page.value) is None for page in pages)
    monkeypatch.setattr(chain_store.Store, "value", drop)
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
def test_what_production_makes_of_one_more_field(shared: SharedWorld, key: str, change: Any, expected: str) -> None:
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
        found = orjson.loads(orjson.dumps(rewrite(production(), largest.key, changed)))
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
    world = World(7800, calm=True, controllers=2, versions=[production()] * 2)
    found: list[str] = []

    def leading() -> Any:
        return next(
            (n.service.reign for n in world.nodes if n.service and n.service.reign and n.service.reign.open), None
        )

    async def take_over(world: World) -> None:
        await asyncio.sleep(8)
        world.state.revision += 1
        world.state.change(key, {"jobs": ["j-1"]}, None)
        await world.restart(world.leader())
        await asyncio.sleep(14)
        reign = leading()
        if reign is None:
            found.append(ENDS_EVERY_TERM)
        elif key not in world.state.keys:
            found.append(TIDIED_AWAY)
        else:
            found.append(TAKEN_FOR_A_JOB if key.removeprefix(LIVE) in reign.board.jobs else LEFT_ALONE)

    world.spawn_later(take_over)
    world.play(length=40, jobs=5)
    assert found == [expected]
    if expected != ENDS_EVERY_TERM:
        check_rules(world)


# -- messages between controllers ----------------------------------------------------------------


@pytest.mark.parametrize("leader", VERSIONS, ids=NAMES)
def test_controllers_of_both_versions_answer_one_another(leader: Any) -> None:
    """One of each version, and either of them leads: what each is told by the other."""
    other = PRESENT if leader() is production() else production()
    world = World(7700, calm=True, controllers=2, versions=[leader(), other])
    asked: list[str] = []

    async def ask(world: World) -> None:
        # The other one stands later: its process ends, and is back when the first leads.
        world.nodes[1].crash()
        await asyncio.sleep(4)
        world.nodes[1].start()
        await asyncio.sleep(16)
        assert world.leader() is world.nodes[0]
        for node in world.nodes:
            service: Any = node.service
            assert await service.membership.ask_peers() == ("n0", 1)
            told = await service.membership.ask_told(timedelta(seconds=5))
            others = [each.service for each in world.nodes if each is not node and each.service is not None]
            assert (told.term, told.cancelled) == (1, others[0].desk.cancelled_since(timedelta(seconds=5)))
            turned_away = await service._gather_turned_away()
            assert turned_away.keys() == {"n0", "n1"}
            reached, _ = await service.membership.probe_workers({name: f"{name}:9000" for name in world.workers})
            assert sorted(reached) == sorted(world.workers)
            asked.append(node.name)
        jobs = sorted(world.accepted - world.told_over.keys())
        counts = [await node.service._progress(jobs) for node in world.nodes if node.service is not None]
        assert jobs and counts[0].keys() == counts[1].keys() == set(jobs)
        report = orjson.dumps(next(iter(world.workers.values())).body())
        sent_on = await world.nodes[1].serve_public("POST", "/hello", report)
        assert sent_on is not None and sent_on.status == 421
        assert orjson.loads(sent_on.body)["answers_to"] == "n0"
        for path in ("/reach", "/status", "/limits", "/forecast"):
            response = await world.nodes[1].serve_back("GET", path, b"")
            assert response is not None and response.status == 200, path
        passed_on = await world.nodes[1].serve_back("POST", "/drains", orjson.dumps({"verb": "status"}))
        assert passed_on is not None and passed_on.status == 200
        asked.append("all")

    world.spawn_later(ask)
    check_rules(world.play(length=30, jobs=10))
    assert asked == ["n0", "n1", "all"]


IGNORED = "ignored"
# One more field in what is said, and what production makes of it. Orders with one are refused with 400.
MESSAGES = [
    ("membership.messages", "AskTold", {"since_s": 5.0}, IGNORED),
    ("membership.messages", "Told", {"term": 1, "cancelled": []}, IGNORED),
    ("served.messages", "Turned", {"instance": "a", "up_s": 1.0, "rows": []}, IGNORED),
    ("leadership.messages", "Ask", {"term": 1, "number": 1, "workers": {}}, IGNORED),
    ("leadership.messages", "Reach", {"term": 1, "number": 1, "reached": [], "came": []}, IGNORED),
    ("chains.messages", "Order", {"verb": "list"}, REFUSED),
    ("drain.messages", "Order", {"verb": "status"}, REFUSED),
    ("promises.messages", "Question", {}, REFUSED),
]


@pytest.mark.parametrize(("module", "name", "value", "expected"), MESSAGES)
def test_what_production_makes_of_one_more_field_in_a_message(
    module: str, name: str, value: dict[str, Any], expected: str
) -> None:
    message = getattr(production().module(module), name)
    assert msgspec.convert(value, message)
    if expected == REFUSED:
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(with_more(value), message)
    else:
        assert msgspec.convert(with_more(value), message) == msgspec.convert(value, message)


def test_production_takes_a_submission_that_names_awaited_jobs_for_one_that_names_none() -> None:
    """So users may name them only once every controller has the new version."""
    world = World(1)
    wire = {name: value for name, value in world.make_job().items() if name != "mistaken"}
    submission = production().find("submissions.messages", "Submission")
    found = msgspec.convert(wire | {"awaits": ["j-1"]}, submission)
    assert found == msgspec.convert(wire, submission)


# -- jobs that await others, under a leader of production ---------------------------------------

AWAITING = "j-777777"


def awaiting_record(after: Any) -> dict[str, Any]:
    spec = JobSpec(AWAITING, "x", "t0", "array", 3, 2, 1.0, 0.0, 1.0, estimate_s=2.0, image="img-1", image_gb=0.5)
    record: dict[str, Any] = stored(spec)
    return record | {"after": msgspec.to_builtins(after)}


class AwaitingWorld(World):
    """Two controllers of production; one job's record names another that is done; later the present version leads."""

    def __init__(self, seed: int, record: dict[str, Any]) -> None:
        super().__init__(seed, calm=True, controllers=2, versions=[production()] * 2, back_after=(3.0, 4.0))
        self.record = record
        self.without_request.add(AWAITING)  # its record is written, and no user submits it
        self.answers: list[tuple[float, int, dict[str, Any]]] = []
        self.started: list[float] = []
        self.upgrade_begins, self.upgraded_at = 45.0, 0.0
        self.cancel_at: float | None = None
        for act in (AwaitingWorld.write, AwaitingWorld.ask_on, AwaitingWorld.upgrade):
            self.spawn_later(act)  # type: ignore[arg-type]

    async def write(self) -> None:
        await asyncio.sleep(10)
        wire = self.make_job() | {"shape": "sweep", "parcels": 2, "cores": 1.0, "accelerators": 0.0, "builds": None}
        more = {"kit": "img-1", "size_gb": 0.5, "guess_s": 2.0, "crew": "t0", "mistaken": False, "yard": None}
        self.jobs[AWAITING] = wire | more | {"name_id": AWAITING, "together": False, "loaners": True}
        ended = {"state": "done", "tasks": 1, "team": "t0", "job_class": "x"}
        guards = [{"path": OVER + "j-1", "stamp": 0}, {"path": LIVE + AWAITING, "stamp": 0}]
        ops = [{"put": OVER + "j-1", "v": ended}, {"put": LIVE + AWAITING, "v": self.record}]
        await self.state.handle("n0", "POST", "/txn", {"guards": guards, "then": ops})
        self.accepted.add(AWAITING)

    async def ask_on(self) -> None:
        await asyncio.sleep(11)
        while True:
            if self.cancel_at is not None and now() >= self.cancel_at:
                self.asked_cancel.add(AWAITING)
                status, answer = await self.ask("POST", f"/submissions/{AWAITING}/cancel")
            else:
                status, answer = await self.ask("GET", f"/submissions/{AWAITING}")
            self.check_answer(AWAITING, status, answer)
            self.answers.append((now(), status, answer))
            await asyncio.sleep(1)

    async def upgrade(self) -> None:
        # Elections of production on production's record first.
        await asyncio.sleep(25)
        await self.restart(self.leader())
        await asyncio.sleep(max(0.0, self.upgrade_begins - now()))
        self.upgraded_at = now()
        for node in self.nodes:
            node.version = PRESENT
        await asyncio.gather(*(self.restart(node) for node in self.nodes))

    def check_start(self, worker: Any, task: Any) -> None:
        super().check_start(worker, task)
        if task.job == AWAITING:
            self.started.append(now())
            self.rule(
                self.upgraded_at > 0, f"too_early: {AWAITING} started by a version that does not know why it waits"
            )


@pytest.mark.parametrize("seed", [7600, 7601])
def test_an_awaiting_job_is_held_by_production_and_goes_on_after_the_upgrade(seed: int) -> None:
    world = AwaitingWorld(seed, awaiting_record(Awaited(jobs=["j-1"])))
    check_rules(world.play(length=90, jobs=8))
    before = [(status, answer["standing"]) for at, status, answer in world.answers if at < world.upgraded_at and status]
    assert len(before) > 20 and set(before) == {(200, "queued")}
    assert world.started and standing_of(world, AWAITING) == "done"


def test_an_awaiting_job_can_be_cancelled_under_production() -> None:
    world = AwaitingWorld(7602, awaiting_record(Awaited(parts=2, digest="0123")))
    world.cancel_at = 18.0
    check_rules(world.play(length=18 + 2 * CANCEL_S, jobs=4))
    assert not world.started and standing_of(world, AWAITING) == "cancelled"


def test_an_awaiting_record_that_names_a_chain_too_is_ended_by_production() -> None:
    """So such a record must not be written: production takes it for a step whose chain was never recorded.

    It is accepted long ago here; production gives a chain some minutes to be recorded.
    """
    world = AwaitingWorld(7603, awaiting_record(Awaited(jobs=["j-1"])) | {"chain": "c-1"})
    world.upgrade_begins = 1e9
    world.play(length=60, jobs=2)
    assert any("cancelled by nobody" in str(broken) for broken in world.broken), world.broken
    assert standing_of(world, AWAITING) == "cancelled"


def test_wrote_new_early_is_caught() -> None:
    """Awaited jobs as a plain list: production takes it for a record of its own, and starts the job."""
    world = AwaitingWorld(7600, awaiting_record(["j-1"])).play(length=40, jobs=8)
    assert any("too_early" in str(broken) for broken in world.broken), world.broken
