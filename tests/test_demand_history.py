"""Demand history: counts against a direct recount, across leader changes, and with corrupt stored blocks."""

import asyncio
import random
from datetime import timedelta
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roseweir.forecast import predictive_scaler
from roseweir.forecast.demand_history import (
    BLOCK_DURATION_S,
    MAX_TEAM_WIDE_SERIES,
    Demand,
    DemandHistory,
    InvalidStoredBlock,
)
from roseweir.forecast.history_store import DemandHistoryStore
from roseweir.forecast.scaling_planner import ScalingPlanner
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.http import Unreachable
from roseweir.kv_store import KeyValueStoreClient
from roseweir.kv_store.errors import LeadershipLost
from roseweir.leader_election.messages import LEADER_KEY
from roseweir.operator_config import OperatorConfig
from tests.simulation import virtual_time
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    SimulatedCluster,
    SimulatedController,
    SimulatedKeyValueStore,
    raise_first_failure,
    virtual_wall_clock,
)
from tests.simulation.cluster import make_settings as make_controller_settings
from tests.simulation.demand_weeks import make_demand

SLOT = 300
BEGIN = 1_780_000_000 // BLOCK_DURATION_S * BLOCK_DURATION_S


def key_of(block: int) -> str:
    return f"demand/{block}"


def reload_as_new_leader(
    history: DemandHistory, weeks: int = 2, series_most: int = 48, loaded_at: float = 0.0
) -> DemandHistory:
    """The history that a new leader loads from the stored blocks."""
    loaded = DemandHistory(SLOT, weeks, series_most)
    for number, block in sorted(history.open_blocks.items()):
        value = orjson.loads(orjson.dumps(history.encode(block, 8192)))
        loaded.load_block(value, 1, loaded_at, key_of(number), key_of)
    return loaded


@pytest.mark.parametrize("seed", range(20))
def test_slot_peaks_and_means_match_a_direct_recount(seed: int) -> None:
    rng = random.Random(seed)
    history = DemandHistory(SLOT, 1, 48)
    jobs: list[Demand] = []
    ended_at_by_job: dict[str, float] = {}
    now = float(BEGIN)
    while now < BEGIN + 5000:
        now += rng.expovariate(1 / 60)
        if jobs and rng.random() < 0.2:
            job = rng.choice(jobs)
            if now < min(ended_at_by_job.get(job.job_id, now + 1), job.accepted_at + job.duration_s):
                history.record_ended_job(job.job_id, now)
                ended_at_by_job[job.job_id] = now
            continue
        job = make_demand(now, rng.uniform(1, 9), rng.expovariate(1 / 400), rng.choice(["t0", "t1"]), rng.choice("xy"))
        history.record_accepted_job(job)
        jobs.append(job)
        slot = history.slot_of(now) - 1
        active_spans = [
            (job, job.accepted_at, min(job.accepted_at + job.duration_s, ended_at_by_job.get(job.job_id, now + 1e9)))
            for job in jobs
        ]
        slot_begin, slot_end = slot * SLOT, (slot + 1) * SLOT
        for key, _, peak, mean in history.loads(slot):
            overlapping_jobs = [
                (job.units, begins, ends)
                for job, begins, ends in active_spans
                if job.key == key and begins < slot_end and ends > slot_begin
            ]
            unit_seconds = sum(
                units * (min(ends, slot_end) - max(begins, slot_begin)) for units, begins, ends in overlapping_jobs
            )
            change_instants = [slot_begin, *(begins for _, begins, _ in overlapping_jobs if begins >= slot_begin)]
            expected_peak = max(
                sum(units for units, begins, ends in overlapping_jobs if begins <= moment < ends)
                for moment in change_instants
            )
            assert mean * SLOT == pytest.approx(unit_seconds, rel=1e-4, abs=1e-2)
            assert peak == pytest.approx(expected_peak, rel=1e-4)
    counted_tasks = sum(
        cell[1]
        for block in history.open_blocks.values()
        for cells in block.cells_by_series.values()
        for cell in cells.values()
    )
    assert counted_tasks == sum(job.task_count for job in jobs)


@pytest.mark.parametrize("seed", range(20))
def test_leader_change_at_any_point_counts_each_job_once(seed: int) -> None:
    """Jobs up to the stored revision are only added to the active ones; the new leader counts those after it."""
    rng = random.Random(seed)
    jobs = [make_demand(BEGIN + rng.uniform(0, 3000), rng.uniform(1, 9), number=number) for number in range(30)]
    jobs.sort(key=lambda job: job.accepted_at)
    first_leader = DemandHistory(SLOT, 2, 48)
    saved_count = rng.randrange(30)
    first_leader.advance_to(BEGIN)
    for job in jobs[:saved_count]:
        first_leader.record_accepted_job(job)
    first_leader.counted_revision = saved_count  # a job's revision is its position in the list, from 1
    accepted_count = rng.randrange(saved_count, 31)  # the last counts were never written
    loaded_at = jobs[accepted_count - 1].accepted_at + 3 if accepted_count else float(BEGIN)
    second_leader = reload_as_new_leader(first_leader, loaded_at=loaded_at)
    second_leader.advance_to(loaded_at)
    for number, job in enumerate(jobs[:accepted_count], 1):
        second_leader.record_accepted_job(job, is_recount=number <= second_leader.counted_revision)
    for job in jobs[accepted_count:]:
        second_leader.record_accepted_job(job)
    uninterrupted = DemandHistory(SLOT, 2, 48)
    for job in jobs:
        uninterrupted.record_accepted_job(job)
    for history in (second_leader, uninterrupted):
        history.advance_to(BEGIN + 3600)
    for slot in range(BEGIN // SLOT, BEGIN // SLOT + 12):
        loaded_peaks, expected_peaks = (
            [peak for _, _, peak, _ in history.loads(slot)] for history in (second_leader, uninterrupted)
        )
        if slot >= second_leader.slot_of(loaded_at):
            assert loaded_peaks == pytest.approx(expected_peaks, rel=1e-3)  # stored values have four significant digits
    totals = [
        [
            sum(
                cell[index]
                for block in history.open_blocks.values()
                for cells in block.cells_by_series.values()
                for cell in cells.values()
            )
            for index in (0, 1)
        ]
        for history in (second_leader, uninterrupted)
    ]
    assert totals[0] == pytest.approx(totals[1], rel=1e-3)


def test_clock_behind_the_previous_leader_keeps_its_counts() -> None:
    first_leader = DemandHistory(SLOT, 2, 48)
    first_leader.record_accepted_job(make_demand(BEGIN + 290, 8.0))
    first_leader.advance_to(BEGIN + 310)  # into the next slot
    second_leader = reload_as_new_leader(first_leader, loaded_at=BEGIN + 299)
    second_leader.advance_to(BEGIN + 299)
    second_leader.record_accepted_job(make_demand(BEGIN + 299, 1.0, duration_s=100.0, number=1))
    second_leader.advance_to(BEGIN + 330)
    assert [peak for _, _, peak, _ in second_leader.loads(BEGIN // SLOT + 1)] == [pytest.approx(8.0)]


def test_thousand_job_classes_stay_within_size_limits_and_lose_no_task() -> None:
    history = DemandHistory(SLOT, 2, 24, best_effort_teams=["guest"])
    task_count = 0
    for number in range(1000):
        is_best_effort = number % 3 == 0
        accepted_at = BEGIN + 7000 + number
        job = make_demand(
            accepted_at, 4.0, team="guest" if is_best_effort else f"t{number % 40}", job_class="k" * 180 + str(number)
        )
        history.record_accepted_job(job)
        task_count += job.task_count
    assert len(history.series) <= 24 + MAX_TEAM_WIDE_SERIES + 4
    assert sum(key.team == "guest" for key in history.series) <= 24 * 0.25 + 1
    stored_task_count = 0.0
    for block in history.open_blocks.values():
        value = history.encode(block, 8192)
        assert len(orjson.dumps(value)) <= 8192
        stored_task_count += sum(cell[1] for row in value["series"] for cell in row[4].values())
    assert stored_task_count == pytest.approx(task_count, rel=1e-3)
    assert (
        sum(peak for _, _, peak, _ in reload_as_new_leader(history, 2, 24, BEGIN + 8000).loads(history.newest_slot)) > 0
    )


def test_block_keys_form_a_bounded_ring_and_expired_blocks_are_ignored() -> None:
    store = DemandHistoryStore(None, DemandHistory(SLOT, 2, 48), 1)  # type: ignore[arg-type]
    keys = {store.block_key(BEGIN // BLOCK_DURATION_S + hour) for hour in range(24 * 7 * 70)}
    assert len(keys) == store.max_keys == 15 * 24
    old_history = DemandHistory(SLOT, 2, 48)
    old_history.record_accepted_job(make_demand(BEGIN + 100, 8.0))
    loaded_at = BEGIN + 86400 * 15
    new_history = DemandHistory(SLOT, 2, 48)
    value = old_history.encode(old_history.open_blocks[BEGIN // BLOCK_DURATION_S], 8192)
    new_history.load_block(value, 1, loaded_at, key_of(BEGIN // BLOCK_DURATION_S), key_of)
    assert not new_history.series and not new_history.open_blocks


def test_unused_series_are_removed() -> None:
    history = DemandHistory(SLOT, 1, 8)
    for number in range(20):
        history.record_accepted_job(make_demand(BEGIN + number, 1.0, job_class=f"old-{number}", number=number))
    history.advance_to(BEGIN + 86400 * 9)
    assert not history.series
    history.record_accepted_job(make_demand(BEGIN + 86400 * 9, 1.0, job_class="new"))
    assert [key.job_class for key in history.series] == ["new"]


ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(where=st.lists(st.integers(0, 9), max_size=5), what=ANYTHING)
def test_whatever_stands_under_a_key_is_used_or_refused_as_a_whole(where: list[int], what: Any) -> None:
    """One place of a good block, or all of it, is replaced by anything."""
    history = DemandHistory(SLOT, 2, 48)
    history.record_accepted_job(make_demand(BEGIN + 10, 8.0))
    history.boot_ratios["std"] = [1.0]
    block = history.open_blocks[BEGIN // BLOCK_DURATION_S]
    value: Any = orjson.loads(orjson.dumps(history.encode(block, 8192)))
    root: list[Any] = [value]
    holder: Any = root
    place: Any = 0
    for step in where:
        inner = holder[place]
        if isinstance(inner, dict) and inner:
            holder, place = inner, sorted(inner)[step % len(inner)]
        elif isinstance(inner, list) and inner:
            holder, place = inner, step % len(inner)
    holder[place] = what
    found = DemandHistory(SLOT, 2, 48)
    try:
        found.load_block(root[0], 1, BEGIN + 60, key_of(block.number), key_of)
    except InvalidStoredBlock:
        assert not found.series and not found.open_blocks and found.counted_revision == 0
    else:
        found.advance_to(BEGIN + 60)
        for number in found.open_blocks:
            found.encode(found.open_blocks[number], 8192)


# -- history store ----------------------------------------------------------------------------


def run_with_store(scenario: Any) -> None:
    async def main() -> None:
        cluster = SimulatedCluster(1, without_random_faults=True)
        cluster.kv_store, cluster.controllers = SimulatedKeyValueStore(cluster), []
        node = SimulatedController(cluster, 0)
        with virtual_wall_clock():
            await scenario(
                cluster, KeyValueStoreClient("10.2.0.1:1", make_controller_settings(0).params.kv_store, node.connect)
            )
            for task in list(cluster.tasks):
                task.cancel()
            await asyncio.sleep(0)

    virtual_time.run_in_virtual_time(main())


def history_with_one_job(units: float = 4.0, at: float = BEGIN + 10.0) -> DemandHistory:
    history = DemandHistory(SLOT, 2, 48)
    history.record_accepted_job(make_demand(at, units))
    return history


def test_late_write_of_a_previous_leader_is_rejected() -> None:
    async def scenario(cluster: SimulatedCluster, client: KeyValueStoreClient) -> None:
        first_term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 1}])
        first_store = DemandHistoryStore(client, history_with_one_job(), first_term)
        await first_store.save()
        second_term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 2}])
        history = DemandHistory(SLOT, 2, 48)
        second_store = DemandHistoryStore(client, history, second_term)
        await second_store.load(BEGIN + 60)
        history.advance_to(BEGIN + 60)
        history.record_accepted_job(make_demand(BEGIN + 60, 3.0, number=1))
        await second_store.save()
        stored_keys = dict(cluster.kv_store.keys)
        first_store.history.record_accepted_job(make_demand(BEGIN + 70, 50.0, number=2))
        with pytest.raises(LeadershipLost):
            await first_store.save()
        assert cluster.kv_store.keys == stored_keys

    run_with_store(scenario)


def test_write_with_a_lost_answer_is_counted_once() -> None:
    async def scenario(cluster: SimulatedCluster, client: KeyValueStoreClient) -> None:
        term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 1}])
        store = DemandHistoryStore(client, history_with_one_job(), term)
        send = client._send

        async def send_and_lose_answer(*args: Any, **options: Any) -> Any:
            await send(*args, **options)
            raise Unreachable("answer lost")

        client._send = send_and_lose_answer
        await store.save()
        client._send = send
        await store.save()  # the stored revision differs from the last one that this store received
        await store.save()
        assert not store.history.dirty_blocks()
        [(value, _, _)] = [record for key, record in cluster.kv_store.keys.items() if key.startswith("demand/")]
        assert [cell[1] for row in value["series"] for cell in row[4].values()] == [2]

    run_with_store(scenario)


def test_invalid_stored_blocks_are_skipped_and_overwritten() -> None:
    async def scenario(cluster: SimulatedCluster, client: KeyValueStoreClient) -> None:
        term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 1}])
        store = DemandHistoryStore(client, DemandHistory(SLOT, 2, 48), term)
        for hour in range(0, store.max_keys, 7):
            await client.compare_and_swap([], [{"put": store.block_key(hour), "v": ["?", hour]}])
        current_key = store.block_key(BEGIN // BLOCK_DURATION_S)
        await client.compare_and_swap([], [{"put": current_key, "v": {"slot_s": 60, "start": 0}}])
        await store.load(BEGIN)
        assert store.invalid_block_count >= store.max_keys // 7 and not store.history.series
        store.history.record_accepted_job(make_demand(BEGIN + 5, 4.0))
        await store.save()
        assert cluster.kv_store.keys[current_key][0]["start"] == BEGIN

    run_with_store(scenario)


# -- simulated cluster ------------------------------------------------------------------------


def predictive_scaling_config() -> OperatorConfig:
    return OperatorConfig(
        predictive_scaling=PredictiveScalingSettings(slot=timedelta(minutes=1), least_weeks=1, series_most=100, weeks=1)
    )


def store_past_week(cluster: SimulatedCluster) -> Any:
    """Store demand of a week earlier, whose forecast makes the leader keep machines ahead for the whole run."""

    async def store_blocks(_: SimulatedCluster) -> None:
        history = DemandHistory(60, 1, 100)
        first_s = 1767225600 - 7 * 86400  # a week before the simulated day begins
        for minute in range(0, 60, 5):
            history.advance_to(first_s + minute * 60)
            history.record_accepted_job(make_demand(first_s + minute * 60, 24.0, 290.0))
            history.mark_watched(first_s + minute * 60, first_s + minute * 60 + 300)
        store = DemandHistoryStore(None, history, 0)  # type: ignore[arg-type]
        for block in history.open_blocks.values():
            cluster.kv_store.revision += 1
            cluster.kv_store.apply_change(store.block_key(block.number), history.encode(block, 8192), None)

    return store_blocks


def give_jobs_their_own_class(cluster: SimulatedCluster) -> None:
    """Give each job a class of its own, so that the stored series show which jobs have been counted."""
    make_job = cluster.make_job

    def make_job_with_own_class() -> dict[str, Any]:
        job = make_job()
        return job | {"docket": job["name_id"]}

    cluster.make_job = make_job_with_own_class  # type: ignore[method-assign]


@pytest.mark.parametrize("seed", range(400, 412))
def test_days_with_faults_count_each_job_at_most_once_and_break_no_rule(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(predictive_scaler, "SAVE_INTERVAL", timedelta(seconds=3))
    cluster = SimulatedCluster(
        seed,
        operator_config=predictive_scaling_config(),
        faults=EXTENDED_FAULTS if seed % 2 else ["crash", "all", "outage", "roll", "paused"],
    )
    give_jobs_their_own_class(cluster)
    cluster.schedule_action(store_past_week(cluster))
    machines_ahead: list[int] = []

    async def record_machines_ahead(cluster: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(1)
            for node in cluster.controllers:
                leader_term = None if node.service is None else node.service.leader_term
                if leader_term is not None and leader_term.predictive_scaler is not None:
                    assert not leader_term.predictive_scaler.failure, leader_term.predictive_scaler.failure
                    machines_ahead.append(len(leader_term.predictive_scaler.planner.capacity_plan.kept_machines))
                    assert "machines_ahead" in node.service.status_reporter.describe_status()  # type: ignore[union-attr]

    cluster.schedule_action(record_machines_ahead)
    cluster.run()
    raise_first_failure(cluster)
    counted: dict[str, float] = {}
    newest_counted_revision = 0
    for key, (value, _, _) in cluster.kv_store.keys.items():
        if key.startswith("demand/"):
            newest_counted_revision = max(newest_counted_revision, value["mark"])
            for _, job_class, _, _, slots in value["series"]:
                if job_class in cluster.jobs:
                    counted[job_class] = counted.get(job_class, 0) + sum(cell[1] for cell in slots.values())
    assert all(task_count == cluster.jobs[key]["parcels"] for key, task_count in counted.items())
    for key, (_, version, _) in cluster.kv_store.keys.items():
        if key.startswith("live/") and version <= newest_counted_revision:
            assert counted.get(key.removeprefix("live/")), (
                f"{key} is live and was accepted before the counted revision, but is not counted"
            )
    assert len(counted) >= len(cluster.accepted_jobs) / 2
    assert max(machines_ahead, default=0) > 0


def test_forecast_error_stops_the_forecast_but_not_the_term(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*args: object) -> None:
        raise ZeroDivisionError("injected")

    monkeypatch.setattr(ScalingPlanner, "plan", raise_error)
    cluster = SimulatedCluster(77, operator_config=predictive_scaling_config(), without_random_faults=True)
    statuses: list[Any] = []

    async def record_status(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(40)
        service = cluster.current_leader().service
        assert service is not None and service.leader_term is not None
        statuses.append(
            (
                service.leader_term.leader_lease.term,
                service.status_reporter.describe_status()["ahead"],
                service.status_reporter.describe_forecast()["broken"],
            )
        )

    cluster.schedule_action(record_status)
    cluster.run()
    raise_first_failure(cluster)
    assert statuses == [(1, ["stopped: ZeroDivisionError: injected"], "ZeroDivisionError: injected")]
