"""Limits of the state service that fall without notice: announced in the settings or not."""

import asyncio
from pathlib import Path
from random import Random
from typing import Any, cast

import msgspec
import orjson
import pytest

from roseweir import settings as settings_module
from roseweir.cli import main
from roseweir.drain.model import Drain, DrainRequest
from roseweir.drain.store import DrainStore
from roseweir.http import Reply
from roseweir.kv_store import Entry, KeyValueStoreClient, RateLimited, ValueTooLarge
from roseweir.kv_store.client import AdaptiveRateLimiter, put
from roseweir.kv_store.fenced_writes import FencedWriter
from roseweir.kv_store.group_commit import GroupCommitter
from roseweir.kv_store.transaction_limits import MIN_VALUE_BYTES, TransactionLimits
from roseweir.notifier import Notifier
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.log_keys import LOG_PREFIX
from roseweir.scheduler.log_segments import SegmentTable
from roseweir.scheduler.log_writer import LogWriter
from roseweir.scheduler.model import PlacementPhase
from roseweir.scheduler.recovery import referenced_types_and_jobs
from roseweir.settings import KeyValueStoreSettings, load_settings
from roseweir.workflows.model import Workflow, WorkflowStep
from roseweir.workflows.store import WorkflowStore as ChainStore
from tests.simulation import virtual_time
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, NOW, make_cluster_state
from tests.test_settings import EXAMPLE, write_changed_settings
from tests.test_simulated_days import check

MS = 1_700_000_000_000
WIDE: dict[str, Any] = {"rps": 120.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24}

# -- settings ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("following", "lower"),
    [
        (None, (120.0, 30.0, 8.0, 24)),
        ({}, (120.0, 30.0, 8.0, 24)),
        ({"value_kb": None, "txn_ops": 8, "unknown": 1}, (120.0, 30.0, 8.0, 8)),
        ({"rps": 300.0, "write_rps": 21.0, "value_kb": 2, "txn_ops": 32}, (120.0, 21.0, 2.0, 24)),
    ],
)
def test_lower_of_the_limits_now_and_to_come_holds(tmp_path: Path, following: object, lower: tuple[float, ...]) -> None:
    state = load_settings(
        write_changed_settings(tmp_path, "params", "state", value=WIDE | {"next": following})
    ).params.kv_store
    assert (state.max_requests_per_s, state.max_writes_per_s, state.max_value_kib, state.max_txn_ops) == lower


def test_settings_without_limits_to_come_are_as_before() -> None:
    given = orjson.loads(EXAMPLE.read_bytes())["params"]["state"]
    state = load_settings(EXAMPLE).params.kv_store
    assert state.announced_limits is None and (state.max_value_kib, state.max_txn_ops) == (
        given["value_kb"],
        given["txn_ops"],
    )


@pytest.mark.parametrize(
    ("following", "named"),
    [
        ({"value_kb": 1.9}, "next.value_kb"),
        ({"txn_ops": 3}, "next.txn_ops"),
        ({"txn_ops": 8.5}, "next.txn_ops"),
        ({"write_rps": 0}, "next.write_rps"),
        ({"rps": "many"}, "next.rps"),
        ([], "next"),
    ],
)
def test_wrong_limit_to_come_is_named_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], following: object, named: str
) -> None:
    assert (
        main(
            [
                "check-config",
                "--config",
                str(write_changed_settings(tmp_path, "params", "state", "next", value=following)),
            ]
        )
        == 2
    )
    said = capsys.readouterr().err
    assert named in said and said.count("\n") == 1


# -- a state service that refuses ----------------------------------------------------------------


class Service:
    """Refuses what is beyond its limits, in words of its own; a put of a key named `refused` always."""

    def __init__(self, value_bytes: int, txn_ops: int, words: str = "no") -> None:
        self.value_bytes, self.txn_ops, self.words = value_bytes, txn_ops, words
        self.busy = 0  # so many transactions get 429
        self.keys: dict[str, Any] = {}
        self.calls = 0

    def connect(self, address: str, pool: int) -> Any:
        return self.send

    async def send(self, method: str, path: str, body: Any = None, **more: object) -> Reply:
        self.calls += 1
        if self.busy > 0:
            self.busy -= 1
            return Reply(429, b"")
        if method == "GET":
            return self.read(path.removeprefix("/store/"))
        ops = body["then"]
        too_large = any(len(orjson.dumps(op.get("v"))) > self.value_bytes or op["put"] == "refused" for op in ops)
        if len(ops) > self.txn_ops or too_large:
            return Reply(400, orjson.dumps({"error": self.words}))
        self.keys |= {op["put"]: op["v"] for op in ops}
        return Reply(200, orjson.dumps({"ledger": self.calls + 1}))

    def read(self, key: str) -> Reply:
        if key not in self.keys:
            return Reply(404, orjson.dumps({"ledger": self.calls + 1}))
        return Reply(200, orjson.dumps({"path": key, "v": self.keys[key], "stamp": self.calls + 1}))

    def client(self) -> KeyValueStoreClient:
        return KeyValueStoreClient("10.0.0.1:1", msgspec.convert(WIDE, KeyValueStoreSettings), self.connect)


@pytest.mark.parametrize("words", ["no", "the value is too large", "too many changes"])
def test_limits_are_learnt_from_refusals_and_never_fall_below_the_least(words: str) -> None:
    """Whatever the answer says, writing within what was learnt gets through after few refusals."""
    for seed in range(40):
        draw = Random(seed)
        value_bytes, txn_ops = draw.choice([2048, 4096, 8192]), draw.randint(4, 24)
        limits = TransactionLimits(msgspec.convert(WIDE, KeyValueStoreSettings))
        refusals = 0
        while True:
            largest, count = limits.max_value_bytes, limits.max_txn_ops
            if largest <= value_bytes and count <= txn_ops:
                break
            assert limits.lower_after_refusal(count, largest, "value" in words)
            refusals += 1
        assert refusals <= 5 and limits.max_value_bytes >= MIN_VALUE_BYTES and limits.max_txn_ops >= 4
        assert not limits.lower_after_refusal(count + 1, 64, False), "sent before: nothing new"


async def _commit_all(service: Service, changes: dict[str, int]) -> list[object]:
    commits = GroupCommitter(service.client(), max_queued=100)
    run = asyncio.create_task(commits.run())
    puts = [commits.commit([(key, 0)], [put(key, "x" * size)]) for key, size in changes.items()]
    results = await asyncio.gather(*puts, return_exceptions=True)
    run.cancel()
    return list(results)


def test_one_change_too_large_fails_alone() -> None:
    service = Service(2048, 8)
    sizes = {f"k{n}": 100 for n in range(20)} | {"large": 3000} | {f"l{n}": 2000 for n in range(20)}
    results = dict(zip(sizes, virtual_time.run_in_virtual_time(_commit_all(service, sizes)), strict=True))
    assert isinstance(results.pop("large"), ValueTooLarge)
    assert all(isinstance(result, int) for result in results.values()), "the others are written"
    assert service.keys.keys() == results.keys()


def test_a_change_refused_for_the_rate_is_tried_again_before_anybody_hears_of_it() -> None:
    service = Service(2048, 8)
    service.busy = 3
    results = virtual_time.run_in_virtual_time(_commit_all(service, {"a": 10, "b": 10}))
    assert all(isinstance(result, int) for result in results)
    service.busy = 10**6
    assert all(
        isinstance(result, RateLimited) for result in virtual_time.run_in_virtual_time(_commit_all(service, {"c": 10}))
    )


def test_pace_falls_with_refusals_and_recovers_to_what_was_set() -> None:
    async def work() -> tuple[float, float, float, float]:
        pace = AdaptiveRateLimiter(20.0)
        assert pace.decrease_rate() and not pace.decrease_rate(), "refusals of one moment count once"
        once = pace.rate
        for _ in range(60):
            await asyncio.sleep(1.5)
            pace.decrease_rate()
        lowest = pace.rate
        await asyncio.sleep(10)
        await pace.acquire()
        later = pace.rate
        await asyncio.sleep(300)
        await pace.acquire()
        return once, lowest, later, pace.rate

    once, lowest, later, last = virtual_time.run_in_virtual_time(work())
    assert once == 16.0 and 2.0 <= lowest < 3.0 < later < last == 20.0


def test_keys_of_one_leader_are_split_and_what_is_refused_holds_up_itself_alone() -> None:
    async def work(service: Service) -> FencedWriter:
        keyed = FencedWriter(service.client(), 1, "test")
        changes: dict[str, Any] = {f"k{n}": {"v": "x" * 1500} for n in range(12)}
        with pytest.raises(ValueTooLarge):
            await keyed.save(changes | {"refused": {"v": 1}} | {"last": {"v": 2}})
        assert keyed.changed_values({"refused": {"v": 1}, "last": {"v": 2}}) == {"refused": {"v": 1}}
        return keyed

    service = Service(2048, 8)
    virtual_time.run_in_virtual_time(work(service))
    assert service.keys.keys() == {f"k{n}" for n in range(12)} | {"last"}


# -- the record of places ------------------------------------------------------------------------

Tasks = dict[str, set[tuple[str, str, int]]]


def tasks_of(stored: dict[int, Any]) -> Tasks:
    """What a reader takes from these pages: of a machine on several of them, the tasks of all."""
    found: Tasks = {}
    for value in stored.values():
        for name, detail in value["machines"].items():
            tasks = found.setdefault(name, set())
            for job_id, attempts in detail["tasks"].items():
                tasks |= {(job_id, attempt, index) for attempt, indices in attempts.items() for index in indices}
    return found


def busy_fleet(draw: Random, machines: int) -> ClusterState:
    cluster_state = make_cluster_state()
    runs = [cluster_state.add_job(job(n, task_count=4000, cpus=0.01, memory_gb=0.01), 1) for n in range(40)]
    for n in range(machines):
        machine = cluster_state.restore_machine(f"i-{n:06d}", CPU, "a", False, NOW)
        for run in draw.sample(runs, draw.randint(1, 12)):
            for _ in range(draw.randint(1, 3)):
                cluster_state.restore_placement(
                    run, run.placed_index_bound, machine, cluster_state.allocate_attempt(), NOW
                ).is_in_segment = True
                run.placed_index_bound += 1
    return cluster_state


def stored_by(value_bytes: int, cluster_state: ClusterState) -> dict[int, Any]:
    pages = SegmentTable(value_bytes)
    for name in cluster_state.machines:
        pages.update_machine(cluster_state, name)
    return {number: pages.encode_segment(number) for number in pages.entries_by_segment}


def loaded(value_bytes: int, stored: dict[int, Any]) -> SegmentTable:
    pages = SegmentTable(value_bytes)
    for number, value in stored.items():
        pages.load_segment(number, value, 1)
    pages.split_oversized()
    return pages


@pytest.mark.parametrize("seed", range(12))
def test_pages_of_a_higher_limit_are_split_and_no_task_is_ever_missing(seed: int) -> None:
    """Written in any order, with take-overs between: each value fits, and a reader always finds every task."""
    draw = Random(seed)
    cluster_state = busy_fleet(draw, 60)
    stored = stored_by(8192, cluster_state)
    wanted = tasks_of(stored)
    assert max(len(orjson.dumps(value)) for value in stored.values()) > 4096
    pages = loaded(2048, stored)
    writes = 0
    while True:
        writable = [number for number in sorted(pages.dirty_segments) if pages.is_writable(number)]
        if not writable:
            break
        if draw.random() < 0.05:
            pages = loaded(2048, stored)
            for name in pages.superseded_segments:
                pages.update_machine(cluster_state, name)
            continue
        if draw.random() < 0.3:
            pages.update_machine(cluster_state, draw.choice(sorted(cluster_state.machines)))
        number = draw.choice(writable)
        if not pages.is_writable(number):
            continue
        stored[number] = pages.encode_segment(number)
        pages.mark_written(number, 1)
        writes += 1
        assert len(orjson.dumps(stored[number])) <= 2048
        assert tasks_of(stored) == wanted
        assert writes < 2000
    assert all(len(orjson.dumps(value)) <= 2048 for value in stored.values())
    names = [name for value in stored.values() for name in value["machines"]]
    assert len(names) == len(set(names)) == 60


def test_machine_that_no_value_holds_keeps_some_tasks_in_notes() -> None:
    cluster_state = make_cluster_state()
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    for n in range(120):
        run = cluster_state.add_job(job(n, cpus=0.01, memory_gb=0.01), 1)
        cluster_state.add_placement(run, 0, machine, cluster_state.allocate_attempt(), NOW)
    pages = SegmentTable(2048)

    def write() -> int:
        pages.update_machine(cluster_state, "i-1")
        number = pages.segment_by_machine["i-1"]
        assert pages.is_writable(number) and len(orjson.dumps(pages.encode_segment(number))) <= 2048
        held = set(pages.placements_in_entry(machine))
        assert all(p in held for p in machine.placements.values() if p.is_in_segment), "it is in no note any more"
        for placement in held:
            placement.is_in_segment = True
        return len(held)

    assert 20 < write() < 120
    while machine.placements:
        for placement in list(machine.placements.values())[:10]:
            cluster_state.remove_placement(placement, NOW)
        if machine.placements:
            held = write()
    assert held == 10


def test_entry_of_a_higher_limit_that_no_value_holds_stays_as_stored_until_it_fits() -> None:
    cluster_state = make_cluster_state()
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    for n in range(120):
        run = cluster_state.add_job(job(n, cpus=0.01, memory_gb=0.01), 1)
        cluster_state.restore_placement(run, 0, machine, cluster_state.allocate_attempt(), NOW).is_in_segment = True
    cluster_state.restore_machine("i-2", CPU, "a", False, NOW)
    cluster_state.add_placement(
        cluster_state.add_job(job(900), 1), 0, cluster_state.machines["i-2"], cluster_state.allocate_attempt(), NOW
    )
    stored = stored_by(8192, cluster_state)
    pages = loaded(2048, stored)
    first = pages.segment_by_machine["i-1"]
    assert not pages.is_writable(first)
    while len(machine.placements) > 10:
        before = len(machine.placements)
        for placement in list(machine.placements.values())[:10]:
            cluster_state.remove_placement(placement, NOW)
        pages.update_machine(cluster_state, "i-1")
        assert (len(orjson.dumps(pages.encode_segment(pages.segment_by_machine["i-1"]))) <= 2048) == pages.is_writable(
            pages.segment_by_machine["i-1"]
        )
        assert pages.is_writable(pages.segment_by_machine["i-1"]) or before > 40
    assert pages.is_writable(pages.segment_by_machine["i-1"])


class Store:
    """The recorder's state service: takes what is within its limits, refuses some keys, and can be read again."""

    writes_per_s = 15.0

    def __init__(self, value_bytes: int = 2048, txn_ops: int = 8, learns: bool = True) -> None:
        self.transaction_limits = TransactionLimits(msgspec.convert(WIDE, KeyValueStoreSettings))
        self.value_bytes, self.txn_ops, self.learns = value_bytes, txn_ops, learns
        self.refuses: set[str] = set()
        self.keys: dict[str, Any] = {}
        self.refused = self.changes = 0

    async def wait_for_write_capacity(self, reserved_share: float = 0.0) -> float:
        return 12.0

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        largest = max(len(orjson.dumps(op.get("v"))) for op in ops)
        if len(ops) > self.txn_ops or largest > self.value_bytes or self.refuses & {op.get("put") for op in ops}:
            self.refused += 1
            raise ValueTooLarge(
                "no", self.learns and self.transaction_limits.lower_after_refusal(len(ops), largest, False)
            )
        self.changes += len(ops)
        for op in ops:
            self.keys.pop(op.get("delete", ""), None)
            self.keys |= {op["put"]: op["v"]} if "put" in op else {}
        return self.changes + 1

    def places(self) -> list[Entry]:
        return [Entry(key, value, 1) for key, value in self.keys.items() if key.startswith(LOG_PREFIX)]


async def record_for(recorder: LogWriter, span: float) -> None:
    task = asyncio.create_task(recorder.run())
    recorder.work_available.set()
    await asyncio.sleep(span)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def start_tasks(cluster_state: ClusterState, machines: int, each: int) -> None:
    run = cluster_state.add_job(job(500, task_count=machines * each, cpus=0.01, memory_gb=0.01), 1)
    for n in range(machines * each):
        machine = cluster_state.restore_machine(f"i-{n % machines:06d}", CPU, "a", False, NOW)
        cluster_state.add_placement(run, n, machine, cluster_state.allocate_attempt(), NOW)


def is_recorded(cluster_state: ClusterState) -> bool:
    return all(
        p.phase == PlacementPhase.COMMITTED for run in cluster_state.jobs.values() for p in run.placements.values()
    )


def test_recorder_learns_a_limit_that_no_setting_announced() -> None:
    cluster_state = make_cluster_state()
    start_tasks(cluster_state, 100, 12)
    store = Store()
    virtual_time.run_in_virtual_time(
        record_for(LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier()), 60.0)
    )
    assert is_recorded(cluster_state) and 0 < store.refused <= 6
    assert all(len(orjson.dumps(value)) <= 2048 for value in store.keys.values())


def test_checks_catch_refusals_that_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    """As before: the same was written again and again, and nothing else got through."""
    monkeypatch.setattr(TransactionLimits, "lower_after_refusal", lambda *args: False)
    monkeypatch.setattr(LogWriter, "_handle_refused_batch", lambda *args: None)
    cluster_state = make_cluster_state()
    start_tasks(cluster_state, 100, 12)
    store = Store()
    virtual_time.run_in_virtual_time(
        record_for(LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier()), 60.0)
    )
    assert not is_recorded(cluster_state) and store.refused > 20


def test_recorder_that_learns_nothing_finds_what_is_refused_and_goes_on_with_the_rest() -> None:
    cluster_state = make_cluster_state()
    start_tasks(cluster_state, 100, 12)
    store = Store(learns=False)
    store.transaction_limits.max_value_bytes, store.transaction_limits.max_txn_ops = 2048, 8
    store.refuses = {"places/0003", "places/note-1"}
    virtual_time.run_in_virtual_time(
        record_for(LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier()), 60.0)
    )
    assert is_recorded(cluster_state) and 0 < store.refused < 60
    assert "places/0002" in store.keys and "places/note-2" in store.keys


@pytest.mark.parametrize("seed", range(4))
def test_record_of_a_higher_limit_drains_in_the_background(seed: int) -> None:
    """Pages and notes of 8 KiB: under 2 KiB no start is missing at any time, and in the end every value fits."""
    draw = Random(seed)
    wide = Store(8192, 24)
    cluster_state = busy_fleet(draw, 60)
    start_tasks(cluster_state, 300, 8)
    virtual_time.run_in_virtual_time(
        record_for(LogWriter(cast(KeyValueStoreClient, wide), cluster_state, 1, Notifier()), 0.5)
    )
    assert max(len(orjson.dumps(value)) for key, value in wide.keys.items() if "note" in key) > 4096

    store = Store()
    store.transaction_limits.max_value_bytes, store.transaction_limits.max_txn_ops = 2048, 8
    store.keys = dict(wide.keys)
    heir = make_cluster_state()
    heir_recorder = LogWriter(cast(KeyValueStoreClient, store), heir, 2, Notifier())
    for run in cluster_state.jobs.values():
        heir.add_job(run.spec, 1)

    async def inherit() -> None:
        heir_recorder._restore_state([], [], store.places(), {})
        await record_for(heir_recorder, 120.0)

    before = starts_in(store)
    virtual_time.run_in_virtual_time(inherit())
    assert store.refused == 0
    assert all(len(orjson.dumps(value)) <= 2048 for value in store.keys.values())
    assert starts_in(store) == before


def starts_in(store: Store) -> dict[tuple[str, int], tuple[int, int]]:
    """Of each task the newest start that a new leader would find."""
    cluster_state = make_cluster_state()
    recorder = LogWriter(cast(KeyValueStoreClient, store), cluster_state, 3, Notifier())
    for entry in store.places():
        for job_id in referenced_types_and_jobs(entry.value)[1]:
            if job_id not in cluster_state.jobs:
                cluster_state.add_job(job(int(job_id[2:]), task_count=4000, cpus=0.01, memory_gb=0.01), 1)

    async def use() -> None:
        recorder._restore_state([], [], store.places(), {})

    virtual_time.run_in_virtual_time(use())
    return {
        (p.run.spec.id, p.index): (p.attempt, p.replacement_number)
        for run in cluster_state.jobs.values()
        for p in run.placements.values()
    }


# -- days on which the limits fall ---------------------------------------------------------------

HIGH: dict[str, Any] = {"rps": 200.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24}
LOW: dict[str, Any] = {"value_kb": 2.0, "txn_ops": 8, "write_rps": 21.0}
LENGTH, FALLS_BY, USERS_UNTIL = 120.0, 45.0, 84.0


class Fall(SimulatedCluster):
    """Limits fall at a drawn instant, announced or not; what is asked for before the last 40 s has to end."""

    def __init__(self, seed: int, announced: bool, also: str = "", is_calm: bool = True) -> None:
        state = HIGH | ({"next": LOW} if announced else {})
        super().__init__(seed, is_calm=is_calm, scale=3, params_override={"state": state})
        self.also = also
        self.schedule_action(lambda _: self._fall())

    async def _fall(self) -> None:
        await asyncio.sleep(self.rng.uniform(10.0, FALLS_BY))
        if self.also == "outage":
            self.state.is_down = True
            await asyncio.sleep(2.0)
        self.state.lower_limits(**LOW)
        if self.also == "outage":
            await asyncio.sleep(2.0)
            self.state.end_outage()
        if self.also == "take-over":
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            node = self.current_leader()
            node.crash()
            await asyncio.sleep(3.0)
            node.start()

    def make_job(self) -> dict[str, Any]:
        """Arrays of many small tasks: a machine holds tasks of many jobs, and what is recorded outgrows 2 KiB."""
        plain = {"accelerators": 0.0, "shape": "sweep", "rank": "normal", "builds": None, "mistaken": False}
        more = {"parcels": self.rng.randint(40, 160), "cores": 0.05, "memory_gb": 0.05, "together": False}
        rest = {"yard": None, "scatter": False, "guess_s": 8.0, "crew": "t0", "due_s": None}
        return super().make_job() | plain | more | rest

    @property
    def unfinished(self) -> list[str]:
        return sorted(job for job in self.accepted_jobs - set(self.observed_ends) if job not in self.cancel_requested)


def played(seed: int, announced: bool, also: str = "") -> Fall:
    cluster = Fall(seed, announced, also)
    cluster.run(length_s=LENGTH, job_count=20)
    return cluster


@pytest.mark.parametrize("also", ["", "outage", "take-over"])
@pytest.mark.parametrize("announced", [True, False])
def test_limits_fall_in_mid_run_and_all_jobs_end(announced: bool, also: str) -> None:
    for seed in range(8100, 8102):
        cluster = played(seed, announced, also)
        check(cluster)
        assert cluster.state.lowered_limits is not None and cluster.accepted_jobs and cluster.unfinished == []
        if announced:
            assert cluster.state.lowered_limits.too_large_count == 0, "nothing beyond the limits to come was written"


def test_days_catch_limits_to_come_that_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settings_module, "_minimum", lambda now, later: now)
    fallen = [played(seed, True).state.lowered_limits for seed in range(8100, 8102)]
    assert any(limits is not None and limits.too_large_count for limits in fallen)


# -- other records of an earlier leader's --------------------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_chains_of_a_higher_limit_are_split_and_none_is_ever_missing(seed: int) -> None:
    """A leader may end between any two transactions: each chain is found, and in the end every page fits."""
    draw = Random(seed)

    async def work() -> None:
        service = Service(8192, 24)
        wide = ChainStore(service.client(), 1)
        chains = {name: chain_of(name, draw.randint(1, 4)) for name in (f"c-{n:03d}" for n in range(60))}
        numbers = {number for number in map(wide.assign_page, chains.values()) if number is not None}
        await wide.save({ChainStore.page_key(n): wide.encode_page(n, chains) for n in numbers})
        stored = [Entry(key, value, 1) for key, value in service.keys.items()]
        client = Service(2048, 8).client()
        client.transaction_limits.max_value_bytes, client.transaction_limits.max_txn_ops = 2048, 8
        store = ChainStore(client, 2)
        found = store.restore(stored)
        assert found.keys() == chains.keys() and store.oversized_pages()
        old = store.oversized_pages()
        order = dict.fromkeys([*store.split_oversized_pages(found), *sorted(old)])
        keys = {entry.key: entry.value for entry in stored}
        for number in order:
            keys[ChainStore.page_key(number)] = value = store.encode_page(number, found)
            assert len(orjson.dumps(value)) <= 2048
            reader = ChainStore(client, 3)
            assert reader.restore([Entry(key, keys[key], 1) for key in sorted(keys)]) == chains
        assert not store.oversized_pages()

    virtual_time.run_in_virtual_time(work())


def test_drains_of_a_higher_limit_end_within_the_lower_one() -> None:
    client = Service(2048, 8).client()
    client.transaction_limits.max_value_bytes = 2048
    store = DrainStore(client, 1)
    named = Drain(DrainRequest("d", machines=[f"i-{n:06d}" for n in range(400)]), MS, MS, 0.0, "i-999999")
    assert not store.fits_value(named) and store.fits_value(
        Drain(DrainRequest("e", machines=["i-1"]), MS, MS, 0.0, "i-9")
    )
    ended = msgspec.structs.replace(named, outcome="done", ended_at_ms=MS)
    assert len(orjson.dumps(store.encode_ended_drain(ended))) <= 2048
    assert msgspec.convert(store.encode_ended_drain(ended), Drain).outcome == "done"
    moves = store.fit_rebalancing(
        {"plans": [], "moved": {f"j-{n:06d}-long-name-of-a-replica/{n}": n for n in range(60)}}
    )
    assert len(orjson.dumps(moves)) <= 2048 and max(moves["moved"].values()) == 59


def chain_of(name: str, steps: int) -> Workflow:
    made = [WorkflowStep(f"{name}-step-{n}", "import", list(range(n)), []) for n in range(steps)]
    return Workflow(name, 1, "t0", MS, MS, "digest" * 5, [f"lot-{name}-{n}" for n in range(3)], made)
