"""Limits of the key-value store that fall at an unknown time, announced in the settings or not."""

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
from roseweir.workflows.store import WorkflowStore
from tests.simulation import virtual_time
from tests.simulation.cluster import SimulatedCluster, raise_first_failure
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, NOW, make_cluster_state
from tests.test_settings import EXAMPLE_SETTINGS_PATH, write_changed_settings

NOW_MS = 1_700_000_000_000
STORE_LIMITS: dict[str, Any] = {"rps": 120.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24}

# -- settings ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("announced", "expected"),
    [
        (None, (120.0, 30.0, 8.0, 24)),
        ({}, (120.0, 30.0, 8.0, 24)),
        ({"value_kb": None, "txn_ops": 8, "unknown": 1}, (120.0, 30.0, 8.0, 8)),
        ({"rps": 300.0, "write_rps": 21.0, "value_kb": 2, "txn_ops": 32}, (120.0, 21.0, 2.0, 24)),
    ],
)
def test_lower_of_current_and_announced_limits_applies(
    tmp_path: Path, announced: object, expected: tuple[float, ...]
) -> None:
    limits = load_settings(
        write_changed_settings(tmp_path, "params", "state", value=STORE_LIMITS | {"next": announced})
    ).params.kv_store
    assert (limits.max_requests_per_s, limits.max_writes_per_s, limits.max_value_kib, limits.max_txn_ops) == expected


def test_settings_without_announced_limits_keep_current_limits() -> None:
    configured = orjson.loads(EXAMPLE_SETTINGS_PATH.read_bytes())["params"]["state"]
    limits = load_settings(EXAMPLE_SETTINGS_PATH).params.kv_store
    assert limits.announced_limits is None and (limits.max_value_kib, limits.max_txn_ops) == (
        configured["value_kb"],
        configured["txn_ops"],
    )


@pytest.mark.parametrize(
    ("announced", "expected_field"),
    [
        ({"value_kb": 1.9}, "next.value_kb"),
        ({"txn_ops": 3}, "next.txn_ops"),
        ({"txn_ops": 8.5}, "next.txn_ops"),
        ({"write_rps": 0}, "next.write_rps"),
        ({"rps": "many"}, "next.rps"),
        ([], "next"),
    ],
)
def test_invalid_announced_limit_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], announced: object, expected_field: str
) -> None:
    assert (
        main(
            [
                "check-config",
                "--config",
                str(write_changed_settings(tmp_path, "params", "state", "next", value=announced)),
            ]
        )
        == 2
    )
    error_output = capsys.readouterr().err
    assert expected_field in error_output and error_output.count("\n") == 1


# -- a key-value store that refuses --------------------------------------------------------------


class RefusingStore:
    """A key-value store that refuses transactions beyond its limits, and every put of the key `refused`."""

    def __init__(self, value_bytes: int, txn_ops: int, error_text: str = "no") -> None:
        self.value_bytes, self.txn_ops, self.error_text = value_bytes, txn_ops, error_text
        self.rate_limited_requests = 0  # number of requests still to be answered with 429
        self.keys: dict[str, Any] = {}
        self.calls = 0

    def connect(self, address: str, pool: int) -> Any:
        return self.send

    async def send(self, method: str, path: str, body: Any = None, **options: object) -> Reply:
        self.calls += 1
        if self.rate_limited_requests > 0:
            self.rate_limited_requests -= 1
            return Reply(429, b"")
        if method == "GET":
            return self.read(path.removeprefix("/store/"))
        ops = body["then"]
        too_large = any(len(orjson.dumps(op.get("v"))) > self.value_bytes or op["put"] == "refused" for op in ops)
        if len(ops) > self.txn_ops or too_large:
            return Reply(400, orjson.dumps({"error": self.error_text}))
        self.keys |= {op["put"]: op["v"] for op in ops}
        return Reply(200, orjson.dumps({"ledger": self.calls + 1}))

    def read(self, key: str) -> Reply:
        if key not in self.keys:
            return Reply(404, orjson.dumps({"ledger": self.calls + 1}))
        return Reply(200, orjson.dumps({"path": key, "v": self.keys[key], "stamp": self.calls + 1}))

    def client(self) -> KeyValueStoreClient:
        return KeyValueStoreClient("10.0.0.1:1", msgspec.convert(STORE_LIMITS, KeyValueStoreSettings), self.connect)


@pytest.mark.parametrize("error_text", ["no", "the value is too large", "too many changes"])
def test_limits_are_learned_from_refusals_down_to_the_minimum(error_text: str) -> None:
    """Whatever the error text, writes within the learned limits succeed after at most five refusals."""
    for seed in range(40):
        rng = Random(seed)
        value_bytes, txn_ops = rng.choice([2048, 4096, 8192]), rng.randint(4, 24)
        limits = TransactionLimits(msgspec.convert(STORE_LIMITS, KeyValueStoreSettings))
        refusals = 0
        while True:
            value_bytes_sent, op_count = limits.max_value_bytes, limits.max_txn_ops
            if value_bytes_sent <= value_bytes and op_count <= txn_ops:
                break
            assert limits.lower_after_refusal(op_count, value_bytes_sent, "value" in error_text)
            refusals += 1
        assert refusals <= 5 and limits.max_value_bytes >= MIN_VALUE_BYTES and limits.max_txn_ops >= 4
        assert not limits.lower_after_refusal(op_count + 1, 64, False), (
            "the refused size already exceeds the learned limit"
        )


async def _commit_all(store: RefusingStore, changes: dict[str, int]) -> list[object]:
    group_committer = GroupCommitter(store.client(), max_queued=100)
    committer_task = asyncio.create_task(group_committer.run())
    commit_results = [group_committer.commit([(key, 0)], [put(key, "x" * size)]) for key, size in changes.items()]
    results = await asyncio.gather(*commit_results, return_exceptions=True)
    committer_task.cancel()
    return list(results)


def test_oversized_change_fails_alone() -> None:
    store = RefusingStore(2048, 8)
    sizes = {f"k{n}": 100 for n in range(20)} | {"large": 3000} | {f"l{n}": 2000 for n in range(20)}
    results = dict(zip(sizes, virtual_time.run_in_virtual_time(_commit_all(store, sizes)), strict=True))
    assert isinstance(results.pop("large"), ValueTooLarge)
    assert all(isinstance(result, int) for result in results.values()), "the other changes are committed"
    assert store.keys.keys() == results.keys()


def test_rate_limited_change_is_retried_before_it_fails() -> None:
    store = RefusingStore(2048, 8)
    store.rate_limited_requests = 3
    results = virtual_time.run_in_virtual_time(_commit_all(store, {"a": 10, "b": 10}))
    assert all(isinstance(result, int) for result in results)
    store.rate_limited_requests = 10**6
    assert all(
        isinstance(result, RateLimited) for result in virtual_time.run_in_virtual_time(_commit_all(store, {"c": 10}))
    )


def test_write_rate_falls_with_refusals_and_recovers_to_its_setting() -> None:
    async def run() -> tuple[float, float, float, float]:
        rate_limiter = AdaptiveRateLimiter(20.0)
        assert rate_limiter.decrease_rate() and not rate_limiter.decrease_rate(), "refusals at the same time count once"
        rate_after_one_refusal = rate_limiter.rate
        for _ in range(60):
            await asyncio.sleep(1.5)
            rate_limiter.decrease_rate()
        lowest_rate = rate_limiter.rate
        await asyncio.sleep(10)
        await rate_limiter.acquire()
        recovering_rate = rate_limiter.rate
        await asyncio.sleep(300)
        await rate_limiter.acquire()
        return rate_after_one_refusal, lowest_rate, recovering_rate, rate_limiter.rate

    rate_after_one_refusal, lowest_rate, recovering_rate, final_rate = virtual_time.run_in_virtual_time(run())
    assert rate_after_one_refusal == 16.0 and 2.0 <= lowest_rate < 3.0 < recovering_rate < final_rate == 20.0


def test_fenced_writes_are_split_and_a_refused_key_blocks_only_itself() -> None:
    async def run(store: RefusingStore) -> FencedWriter:
        fenced_writer = FencedWriter(store.client(), 1, "test")
        changes: dict[str, Any] = {f"k{n}": {"v": "x" * 1500} for n in range(12)}
        with pytest.raises(ValueTooLarge):
            await fenced_writer.save(changes | {"refused": {"v": 1}} | {"last": {"v": 2}})
        assert fenced_writer.changed_values({"refused": {"v": 1}, "last": {"v": 2}}) == {"refused": {"v": 1}}
        return fenced_writer

    store = RefusingStore(2048, 8)
    virtual_time.run_in_virtual_time(run(store))
    assert store.keys.keys() == {f"k{n}" for n in range(12)} | {"last"}


# -- the write-ahead log of placements -----------------------------------------------------------

Tasks = dict[str, set[tuple[str, str, int]]]


def tasks_of(values_by_segment: dict[int, Any]) -> Tasks:
    """The tasks that a reader of these segments finds; a machine in several segments has the tasks of all of them."""
    tasks_by_machine: Tasks = {}
    for value in values_by_segment.values():
        for name, entry in value["machines"].items():
            tasks = tasks_by_machine.setdefault(name, set())
            for job_id, attempts in entry["tasks"].items():
                tasks |= {(job_id, attempt, index) for attempt, indices in attempts.items() for index in indices}
    return tasks_by_machine


def make_busy_fleet(rng: Random, machines: int) -> ClusterState:
    cluster_state = make_cluster_state()
    runs = [cluster_state.add_job(job(n, task_count=4000, cpus=0.01, memory_gb=0.01), 1) for n in range(40)]
    for n in range(machines):
        machine = cluster_state.restore_machine(f"i-{n:06d}", CPU, "a", False, NOW)
        for run in rng.sample(runs, rng.randint(1, 12)):
            for _ in range(rng.randint(1, 3)):
                cluster_state.restore_placement(
                    run, run.placed_index_bound, machine, cluster_state.allocate_attempt(), NOW
                ).is_in_segment = True
                run.placed_index_bound += 1
    return cluster_state


def encode_segments(value_bytes: int, cluster_state: ClusterState) -> dict[int, Any]:
    segments = SegmentTable(value_bytes)
    for name in cluster_state.machines:
        segments.update_machine(cluster_state, name)
    return {number: segments.encode_segment(number) for number in segments.entries_by_segment}


def load_segments(value_bytes: int, values_by_segment: dict[int, Any]) -> SegmentTable:
    segments = SegmentTable(value_bytes)
    for number, value in values_by_segment.items():
        segments.load_segment(number, value, 1)
    segments.split_oversized()
    return segments


@pytest.mark.parametrize("seed", range(12))
def test_oversized_segments_are_split_without_losing_a_task(seed: int) -> None:
    """With segments written in any order and leaders changing in between, values fit and readers find every task."""
    rng = Random(seed)
    cluster_state = make_busy_fleet(rng, 60)
    values_by_segment = encode_segments(8192, cluster_state)
    expected_tasks = tasks_of(values_by_segment)
    assert max(len(orjson.dumps(value)) for value in values_by_segment.values()) > 4096
    segments = load_segments(2048, values_by_segment)
    write_count = 0
    while True:
        writable = [number for number in sorted(segments.dirty_segments) if segments.is_writable(number)]
        if not writable:
            break
        if rng.random() < 0.05:
            segments = load_segments(2048, values_by_segment)
            for name in segments.superseded_segments:
                segments.update_machine(cluster_state, name)
            continue
        if rng.random() < 0.3:
            segments.update_machine(cluster_state, rng.choice(sorted(cluster_state.machines)))
        number = rng.choice(writable)
        if not segments.is_writable(number):
            continue
        values_by_segment[number] = segments.encode_segment(number)
        segments.mark_written(number, 1)
        write_count += 1
        assert len(orjson.dumps(values_by_segment[number])) <= 2048
        assert tasks_of(values_by_segment) == expected_tasks
        assert write_count < 2000
    assert all(len(orjson.dumps(value)) <= 2048 for value in values_by_segment.values())
    names = [name for value in values_by_segment.values() for name in value["machines"]]
    assert len(names) == len(set(names)) == 60


def test_machine_too_large_for_a_value_keeps_some_tasks_in_deltas() -> None:
    cluster_state = make_cluster_state()
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    for n in range(120):
        run = cluster_state.add_job(job(n, cpus=0.01, memory_gb=0.01), 1)
        cluster_state.add_placement(run, 0, machine, cluster_state.allocate_attempt(), NOW)
    segments = SegmentTable(2048)

    def write_segment() -> int:
        segments.update_machine(cluster_state, "i-1")
        number = segments.segment_by_machine["i-1"]
        assert segments.is_writable(number) and len(orjson.dumps(segments.encode_segment(number))) <= 2048
        segment_placements = set(segments.placements_in_entry(machine))
        assert all(p in segment_placements for p in machine.placements.values() if p.is_in_segment), (
            "no delta holds the placement any more"
        )
        for placement in segment_placements:
            placement.is_in_segment = True
        return len(segment_placements)

    assert 20 < write_segment() < 120
    while machine.placements:
        for placement in list(machine.placements.values())[:10]:
            cluster_state.remove_placement(placement, NOW)
        if machine.placements:
            written_count = write_segment()
    assert written_count == 10


def test_oversized_machine_entry_stays_as_stored_until_it_fits() -> None:
    cluster_state = make_cluster_state()
    machine = cluster_state.restore_machine("i-1", CPU, "a", False, NOW)
    for n in range(120):
        run = cluster_state.add_job(job(n, cpus=0.01, memory_gb=0.01), 1)
        cluster_state.restore_placement(run, 0, machine, cluster_state.allocate_attempt(), NOW).is_in_segment = True
    cluster_state.restore_machine("i-2", CPU, "a", False, NOW)
    cluster_state.add_placement(
        cluster_state.add_job(job(900), 1), 0, cluster_state.machines["i-2"], cluster_state.allocate_attempt(), NOW
    )
    values_by_segment = encode_segments(8192, cluster_state)
    segments = load_segments(2048, values_by_segment)
    segment = segments.segment_by_machine["i-1"]
    assert not segments.is_writable(segment)
    while len(machine.placements) > 10:
        placement_count = len(machine.placements)
        for placement in list(machine.placements.values())[:10]:
            cluster_state.remove_placement(placement, NOW)
        segments.update_machine(cluster_state, "i-1")
        assert (
            len(orjson.dumps(segments.encode_segment(segments.segment_by_machine["i-1"]))) <= 2048
        ) == segments.is_writable(segments.segment_by_machine["i-1"])
        assert segments.is_writable(segments.segment_by_machine["i-1"]) or placement_count > 40
    assert segments.is_writable(segments.segment_by_machine["i-1"])


class LogStore:
    """The log writer's key-value store: commits transactions within its limits, refuses some keys, and can be read."""

    writes_per_s = 15.0

    def __init__(self, value_bytes: int = 2048, txn_ops: int = 8, learns_limits: bool = True) -> None:
        self.transaction_limits = TransactionLimits(msgspec.convert(STORE_LIMITS, KeyValueStoreSettings))
        self.value_bytes, self.txn_ops, self.learns_limits = value_bytes, txn_ops, learns_limits
        self.refused_keys: set[str] = set()
        self.keys: dict[str, Any] = {}
        self.refusal_count = self.change_count = 0

    async def wait_for_write_capacity(self, reserved_share: float = 0.0) -> float:
        return 12.0

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        largest_value_bytes = max(len(orjson.dumps(op.get("v"))) for op in ops)
        if (
            len(ops) > self.txn_ops
            or largest_value_bytes > self.value_bytes
            or self.refused_keys & {op.get("put") for op in ops}
        ):
            self.refusal_count += 1
            raise ValueTooLarge(
                "no",
                self.learns_limits
                and self.transaction_limits.lower_after_refusal(len(ops), largest_value_bytes, False),
            )
        self.change_count += len(ops)
        for op in ops:
            self.keys.pop(op.get("delete", ""), None)
            self.keys |= {op["put"]: op["v"]} if "put" in op else {}
        return self.change_count + 1

    def log_entries(self) -> list[Entry]:
        return [Entry(key, value, 1) for key, value in self.keys.items() if key.startswith(LOG_PREFIX)]


async def run_log_writer(log_writer: LogWriter, duration_s: float) -> None:
    task = asyncio.create_task(log_writer.run())
    log_writer.work_available.set()
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def start_tasks(cluster_state: ClusterState, machines: int, tasks_per_machine: int) -> None:
    run = cluster_state.add_job(job(500, task_count=machines * tasks_per_machine, cpus=0.01, memory_gb=0.01), 1)
    for n in range(machines * tasks_per_machine):
        machine = cluster_state.restore_machine(f"i-{n % machines:06d}", CPU, "a", False, NOW)
        cluster_state.add_placement(run, n, machine, cluster_state.allocate_attempt(), NOW)


def are_all_starts_committed(cluster_state: ClusterState) -> bool:
    return all(
        p.phase == PlacementPhase.COMMITTED for run in cluster_state.jobs.values() for p in run.placements.values()
    )


def test_log_writer_learns_a_limit_that_is_not_announced() -> None:
    cluster_state = make_cluster_state()
    start_tasks(cluster_state, 100, 12)
    store = LogStore()
    virtual_time.run_in_virtual_time(
        run_log_writer(LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier()), 60.0)
    )
    assert are_all_starts_committed(cluster_state) and 0 < store.refusal_count <= 6
    assert all(len(orjson.dumps(value)) <= 2048 for value in store.keys.values())


def test_catches_ignored_refusals(monkeypatch: pytest.MonkeyPatch) -> None:
    """A writer that ignores refusals repeats the refused batch for ever and commits nothing else."""
    monkeypatch.setattr(TransactionLimits, "lower_after_refusal", lambda *args: False)
    monkeypatch.setattr(LogWriter, "_handle_refused_batch", lambda *args: None)
    cluster_state = make_cluster_state()
    start_tasks(cluster_state, 100, 12)
    store = LogStore()
    virtual_time.run_in_virtual_time(
        run_log_writer(LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier()), 60.0)
    )
    assert not are_all_starts_committed(cluster_state) and store.refusal_count > 20


def test_log_writer_isolates_refused_keys_and_commits_the_rest() -> None:
    cluster_state = make_cluster_state()
    start_tasks(cluster_state, 100, 12)
    store = LogStore(learns_limits=False)
    store.transaction_limits.max_value_bytes, store.transaction_limits.max_txn_ops = 2048, 8
    store.refused_keys = {"places/0003", "places/note-1"}
    virtual_time.run_in_virtual_time(
        run_log_writer(LogWriter(cast(KeyValueStoreClient, store), cluster_state, 1, Notifier()), 60.0)
    )
    assert are_all_starts_committed(cluster_state) and 0 < store.refusal_count < 60
    assert "places/0002" in store.keys and "places/note-2" in store.keys


@pytest.mark.parametrize("seed", range(4))
def test_oversized_log_shrinks_in_the_background(seed: int) -> None:
    """With segments and deltas of 8 KiB under a limit of 2 KiB, no start is lost, and in the end every value fits."""
    rng = Random(seed)
    wide_store = LogStore(8192, 24)
    cluster_state = make_busy_fleet(rng, 60)
    start_tasks(cluster_state, 300, 8)
    virtual_time.run_in_virtual_time(
        run_log_writer(LogWriter(cast(KeyValueStoreClient, wide_store), cluster_state, 1, Notifier()), 0.5)
    )
    assert max(len(orjson.dumps(value)) for key, value in wide_store.keys.items() if "note" in key) > 4096

    store = LogStore()
    store.transaction_limits.max_value_bytes, store.transaction_limits.max_txn_ops = 2048, 8
    store.keys = dict(wide_store.keys)
    successor = make_cluster_state()
    successor_log_writer = LogWriter(cast(KeyValueStoreClient, store), successor, 2, Notifier())
    for run in cluster_state.jobs.values():
        successor.add_job(run.spec, 1)

    async def take_over() -> None:
        successor_log_writer._restore_state([], [], store.log_entries(), {})
        await run_log_writer(successor_log_writer, 120.0)

    starts_before = latest_starts(store)
    virtual_time.run_in_virtual_time(take_over())
    assert store.refusal_count == 0
    assert all(len(orjson.dumps(value)) <= 2048 for value in store.keys.values())
    assert latest_starts(store) == starts_before


def latest_starts(store: LogStore) -> dict[tuple[str, int], tuple[int, int]]:
    """The latest start of each task that a new leader restores."""
    cluster_state = make_cluster_state()
    log_writer = LogWriter(cast(KeyValueStoreClient, store), cluster_state, 3, Notifier())
    for entry in store.log_entries():
        for job_id in referenced_types_and_jobs(entry.value)[1]:
            if job_id not in cluster_state.jobs:
                cluster_state.add_job(job(int(job_id[2:]), task_count=4000, cpus=0.01, memory_gb=0.01), 1)

    async def restore() -> None:
        log_writer._restore_state([], [], store.log_entries(), {})

    virtual_time.run_in_virtual_time(restore())
    return {
        (p.run.spec.id, p.index): (p.attempt, p.replacement_number)
        for run in cluster_state.jobs.values()
        for p in run.placements.values()
    }


# -- simulated runs in which the limits fall -----------------------------------------------------

HIGH_LIMITS: dict[str, Any] = {"rps": 200.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24}
LOW_LIMITS: dict[str, Any] = {"value_kb": 2.0, "txn_ops": 8, "write_rps": 21.0}
RUN_LENGTH_S, LATEST_FALL_S, USERS_UNTIL_S = 120.0, 45.0, 84.0


class FallingLimitsCluster(SimulatedCluster):
    """Limits fall at a random time, announced or not; jobs submitted before the last 40 s must end."""

    def __init__(self, seed: int, announced: bool, extra_fault: str = "", without_random_faults: bool = True) -> None:
        state = HIGH_LIMITS | ({"next": LOW_LIMITS} if announced else {})
        super().__init__(seed, without_random_faults=without_random_faults, scale=3, params_override={"state": state})
        self.extra_fault = extra_fault
        self.schedule_action(lambda _: self._lower_limits())

    async def _lower_limits(self) -> None:
        await asyncio.sleep(self.rng.uniform(10.0, LATEST_FALL_S))
        if self.extra_fault == "outage":
            self.kv_store.is_down = True
            await asyncio.sleep(2.0)
        self.kv_store.lower_limits(**LOW_LIMITS)
        if self.extra_fault == "outage":
            await asyncio.sleep(2.0)
            self.kv_store.end_outage()
        if self.extra_fault == "failover":
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))
            node = self.current_leader()
            node.crash()
            await asyncio.sleep(3.0)
            node.start()

    def make_job(self) -> dict[str, Any]:
        """Arrays of many small tasks: a machine runs tasks of many jobs, and its log entry outgrows 2 KiB."""
        job_fields = {"accelerators": 0.0, "shape": "sweep", "rank": "normal", "builds": None, "mistaken": False}
        task_fields = {"parcels": self.rng.randint(40, 160), "cores": 0.05, "memory_gb": 0.05, "together": False}
        placement_fields = {"yard": None, "scatter": False, "guess_s": 8.0, "crew": "t0", "due_s": None}
        return super().make_job() | job_fields | task_fields | placement_fields

    @property
    def unfinished(self) -> list[str]:
        return sorted(job for job in self.accepted_jobs - set(self.observed_ends) if job not in self.cancel_requested)


def run_falling_limits(seed: int, announced: bool, extra_fault: str = "") -> FallingLimitsCluster:
    cluster = FallingLimitsCluster(seed, announced, extra_fault)
    cluster.run(length_s=RUN_LENGTH_S, job_count=20)
    return cluster


@pytest.mark.parametrize("extra_fault", ["", "outage", "failover"])
@pytest.mark.parametrize("announced", [True, False])
def test_all_jobs_end_when_limits_fall_during_a_run(announced: bool, extra_fault: str) -> None:
    for seed in range(8100, 8102):
        cluster = run_falling_limits(seed, announced, extra_fault)
        raise_first_failure(cluster)
        assert cluster.kv_store.lowered_limits is not None and cluster.accepted_jobs and cluster.unfinished == []
        if announced:
            assert cluster.kv_store.lowered_limits.too_large_count == 0, "a write exceeded the announced limits"


def test_catches_ignored_announced_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settings_module, "_minimum", lambda now, announced: now)
    limits_by_run = [run_falling_limits(seed, True).kv_store.lowered_limits for seed in range(8100, 8102)]
    assert any(limits is not None and limits.too_large_count for limits in limits_by_run)


# -- workflows and drains stored by an earlier leader --------------------------------------------


@pytest.mark.parametrize("seed", range(6))
def test_oversized_workflow_pages_are_split_without_losing_one(seed: int) -> None:
    """If the leader changes between any two transactions, every workflow is found, and in the end every page fits."""
    rng = Random(seed)

    async def run() -> None:
        wide_store = RefusingStore(8192, 24)
        wide_workflows = WorkflowStore(wide_store.client(), 1)
        workflows = {name: make_workflow(name, rng.randint(1, 4)) for name in (f"c-{n:03d}" for n in range(60))}
        numbers = {number for number in map(wide_workflows.assign_page, workflows.values()) if number is not None}
        await wide_workflows.save(
            {WorkflowStore.page_key(n): wide_workflows.encode_page(n, workflows) for n in numbers}
        )
        stored = [Entry(key, value, 1) for key, value in wide_store.keys.items()]
        client = RefusingStore(2048, 8).client()
        client.transaction_limits.max_value_bytes, client.transaction_limits.max_txn_ops = 2048, 8
        store = WorkflowStore(client, 2)
        restored = store.restore(stored)
        assert restored.keys() == workflows.keys() and store.oversized_pages()
        oversized = store.oversized_pages()
        page_order = dict.fromkeys([*store.split_oversized_pages(restored), *sorted(oversized)])
        keys = {entry.key: entry.value for entry in stored}
        for number in page_order:
            keys[WorkflowStore.page_key(number)] = value = store.encode_page(number, restored)
            assert len(orjson.dumps(value)) <= 2048
            reader = WorkflowStore(client, 3)
            assert reader.restore([Entry(key, keys[key], 1) for key in sorted(keys)]) == workflows
        assert not store.oversized_pages()

    virtual_time.run_in_virtual_time(run())


def test_oversized_drain_fits_the_lower_limit_when_it_ends() -> None:
    client = RefusingStore(2048, 8).client()
    client.transaction_limits.max_value_bytes = 2048
    store = DrainStore(client, 1)
    large_drain = Drain(DrainRequest("d", machines=[f"i-{n:06d}" for n in range(400)]), NOW_MS, NOW_MS, 0.0, "i-999999")
    assert not store.fits_value(large_drain) and store.fits_value(
        Drain(DrainRequest("e", machines=["i-1"]), NOW_MS, NOW_MS, 0.0, "i-9")
    )
    ended_drain = msgspec.structs.replace(large_drain, outcome="done", ended_at_ms=NOW_MS)
    assert len(orjson.dumps(store.encode_ended_drain(ended_drain))) <= 2048
    assert msgspec.convert(store.encode_ended_drain(ended_drain), Drain).outcome == "done"
    stored_moves = store.fit_rebalancing(
        {"plans": [], "moved": {f"j-{n:06d}-long-name-of-a-replica/{n}": n for n in range(60)}}
    )
    assert len(orjson.dumps(stored_moves)) <= 2048 and max(stored_moves["moved"].values()) == 59


def make_workflow(name: str, steps: int) -> Workflow:
    workflow_steps = [WorkflowStep(f"{name}-step-{n}", "import", list(range(n)), []) for n in range(steps)]
    return Workflow(name, 1, "t0", NOW_MS, NOW_MS, "digest" * 5, [f"lot-{name}-{n}" for n in range(3)], workflow_steps)
