"""Demand as it is counted and kept: against a plain recount, through take-overs, and with whatever the store holds."""

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
    virtual_wall_clock,
)
from tests.simulation.cluster import make_settings as world_settings
from tests.simulation.demand_weeks import make_demand
from tests.test_simulated_days import check

SLOT = 300
BEGIN = 1_780_000_000 // BLOCK_DURATION_S * BLOCK_DURATION_S


def key_of(block: int) -> str:
    return f"demand/{block}"


def again(history: DemandHistory, weeks: int = 2, series_most: int = 48, at: float = 0.0) -> DemandHistory:
    """What a new leader reads back."""
    copy = DemandHistory(SLOT, weeks, series_most)
    for number, block in sorted(history.open_blocks.items()):
        value = orjson.loads(orjson.dumps(history.encode(block, 8192)))
        copy.load_block(value, 1, at, key_of(number), key_of)
    return copy


@pytest.mark.parametrize("seed", range(20))
def test_counts_agree_with_a_plain_recount_after_each_slot(seed: int) -> None:
    draw = random.Random(seed)
    history = DemandHistory(SLOT, 1, 48)
    jobs: list[Demand] = []
    ended: dict[str, float] = {}
    at = float(BEGIN)
    while at < BEGIN + 5000:
        at += draw.expovariate(1 / 60)
        if jobs and draw.random() < 0.2:
            job = draw.choice(jobs)
            if at < min(ended.get(job.job_id, at + 1), job.accepted_at + job.duration_s):
                history.record_ended_job(job.job_id, at)
                ended[job.job_id] = at
            continue
        job = make_demand(
            at, draw.uniform(1, 9), draw.expovariate(1 / 400), draw.choice(["t0", "t1"]), draw.choice("xy")
        )
        history.record_accepted_job(job)
        jobs.append(job)
        slot = history.slot_of(at) - 1
        spans = [(j, j.accepted_at, min(j.accepted_at + j.duration_s, ended.get(j.job_id, at + 1e9))) for j in jobs]
        begin, end = slot * SLOT, (slot + 1) * SLOT
        for key, _, peak, mean in history.loads(slot):
            mine = [(j.units, a, b) for j, a, b in spans if j.key == key and a < end and b > begin]
            area = sum(u * (min(b, end) - max(a, begin)) for u, a, b in mine)
            moments = [begin, *(a for _, a, _ in mine if a >= begin)]
            most = max(sum(u for u, a, b in mine if a <= m < b) for m in moments)
            assert mean * SLOT == pytest.approx(area, rel=1e-4, abs=1e-2)
            assert peak == pytest.approx(most, rel=1e-4)
    tasks = sum(
        cell[1]
        for block in history.open_blocks.values()
        for cells in block.cells_by_series.values()
        for cell in cells.values()
    )
    assert tasks == sum(job.task_count for job in jobs)


@pytest.mark.parametrize("seed", range(20))
def test_take_over_at_any_moment_counts_each_job_once(seed: int) -> None:
    """Jobs up to the mark are the former leader's; what is newer and still lives is the new one's to count."""
    draw = random.Random(seed)
    jobs = [make_demand(BEGIN + draw.uniform(0, 3000), draw.uniform(1, 9), number=n) for n in range(30)]
    jobs.sort(key=lambda job: job.accepted_at)
    first = DemandHistory(SLOT, 2, 48)
    cut = draw.randrange(30)
    first.advance_to(BEGIN)
    for job in jobs[:cut]:
        first.record_accepted_job(job)
    first.counted_revision = cut  # revisions are places in the list
    lost = draw.randrange(cut, 31)  # counted by the former leader, but never written
    at = jobs[lost - 1].accepted_at + 3 if lost else float(BEGIN)
    second = again(first, at=at)
    second.advance_to(at)
    for number, job in enumerate(jobs[:lost], 1):
        second.record_accepted_job(job, is_recount=number <= second.counted_revision)
    for job in jobs[lost:]:
        second.record_accepted_job(job)
    whole = DemandHistory(SLOT, 2, 48)
    for job in jobs:
        whole.record_accepted_job(job)
    for history in (second, whole):
        history.advance_to(BEGIN + 3600)
    for slot in range(BEGIN // SLOT, BEGIN // SLOT + 12):
        found, right = ([peak for _, _, peak, _ in h.loads(slot)] for h in (second, whole))
        if slot >= second.slot_of(at):
            assert found == pytest.approx(right, rel=1e-3)  # four digits are kept
    sums = [
        [
            sum(c[i] for b in h.open_blocks.values() for cells in b.cells_by_series.values() for c in cells.values())
            for i in (0, 1)
        ]
        for h in (second, whole)
    ]
    assert sums[0] == pytest.approx(sums[1], rel=1e-3)


def test_clock_behind_the_former_leaders_leaves_its_counts_alone() -> None:
    first = DemandHistory(SLOT, 2, 48)
    first.record_accepted_job(make_demand(BEGIN + 290, 8.0))
    first.advance_to(BEGIN + 310)  # into the next slot
    second = again(first, at=BEGIN + 299)
    second.advance_to(BEGIN + 299)
    second.record_accepted_job(make_demand(BEGIN + 299, 1.0, span=100.0, number=1))
    second.advance_to(BEGIN + 330)
    assert [peak for _, _, peak, _ in second.loads(BEGIN // SLOT + 1)] == [pytest.approx(8.0)]


def test_thousand_classes_of_many_teams_stay_within_the_bounds_and_lose_no_task() -> None:
    history = DemandHistory(SLOT, 2, 24, best_effort_teams=["guest"])
    tasks = 0
    for number in range(1000):
        guest = number % 3 == 0
        at = BEGIN + 7000 + number
        job = make_demand(at, 4.0, team="guest" if guest else f"t{number % 40}", job_class="k" * 180 + str(number))
        history.record_accepted_job(job)
        tasks += job.task_count
    assert len(history.series) <= 24 + MAX_TEAM_WIDE_SERIES + 4
    assert sum(key.team == "guest" for key in history.series) <= 24 * 0.25 + 1
    total = 0.0
    for block in history.open_blocks.values():
        value = history.encode(block, 8192)
        assert len(orjson.dumps(value)) <= 8192
        total += sum(cell[1] for row in value["series"] for cell in row[4].values())
    assert total == pytest.approx(tasks, rel=1e-3)
    assert sum(peak for _, _, peak, _ in again(history, 2, 24, BEGIN + 8000).loads(history.newest_slot)) > 0


def test_keys_of_many_weeks_are_a_bounded_ring_and_old_rounds_are_not_read_as_new() -> None:
    store = DemandHistoryStore(None, DemandHistory(SLOT, 2, 48), 1)  # type: ignore[arg-type]
    keys = {store.block_key(BEGIN // BLOCK_DURATION_S + hour) for hour in range(24 * 7 * 70)}
    assert len(keys) == store.max_keys == 15 * 24
    old = DemandHistory(SLOT, 2, 48)
    old.record_accepted_job(make_demand(BEGIN + 100, 8.0))
    late = BEGIN + 86400 * 15
    found = DemandHistory(SLOT, 2, 48)
    value = old.encode(old.open_blocks[BEGIN // BLOCK_DURATION_S], 8192)
    found.load_block(value, 1, late, key_of(BEGIN // BLOCK_DURATION_S), key_of)
    assert not found.series and not found.open_blocks


def test_series_that_nobody_uses_any_more_make_way() -> None:
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


# -- the store --------------------------------------------------------------------------------


def on_store(scene: Any) -> None:
    async def main() -> None:
        cluster = SimulatedCluster(1, is_calm=True)
        cluster.state, cluster.nodes = SimulatedKeyValueStore(cluster), []
        node = SimulatedController(cluster, 0)
        with virtual_wall_clock():
            await scene(cluster, KeyValueStoreClient("10.2.0.1:1", world_settings(0).params.kv_store, node.connect))
            for task in list(cluster.tasks):
                task.cancel()
            await asyncio.sleep(0)

    virtual_time.run_in_virtual_time(main())


def filled(units: float = 4.0, at: float = BEGIN + 10.0) -> DemandHistory:
    history = DemandHistory(SLOT, 2, 48)
    history.record_accepted_job(make_demand(at, units))
    return history


def test_former_leaders_late_write_changes_nothing() -> None:
    async def scene(cluster: SimulatedCluster, client: KeyValueStoreClient) -> None:
        first_term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 1}])
        former = DemandHistoryStore(client, filled(), first_term)
        await former.save()
        second_term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 2}])
        history = DemandHistory(SLOT, 2, 48)
        new = DemandHistoryStore(client, history, second_term)
        await new.load(BEGIN + 60)
        history.advance_to(BEGIN + 60)
        history.record_accepted_job(make_demand(BEGIN + 60, 3.0, number=1))
        await new.save()
        held = dict(cluster.state.keys)
        former.history.record_accepted_job(make_demand(BEGIN + 70, 50.0, number=2))
        with pytest.raises(LeadershipLost):
            await former.save()
        assert cluster.state.keys == held

    on_store(scene)


def test_write_whose_answer_is_lost_is_counted_once() -> None:
    async def scene(cluster: SimulatedCluster, client: KeyValueStoreClient) -> None:
        term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 1}])
        store = DemandHistoryStore(client, filled(), term)
        send = client._send

        async def lossy(*args: Any, **more: Any) -> Any:
            await send(*args, **more)
            raise Unreachable("answer lost")

        client._send = lossy
        await store.save()
        client._send = send
        await store.save()  # finds another version than it knows
        await store.save()
        assert not store.history.dirty_blocks()
        [(value, _, _)] = [v for k, v in cluster.state.keys.items() if k.startswith("demand/")]
        assert [cell[1] for row in value["series"] for cell in row[4].values()] == [2]

    on_store(scene)


def test_store_full_of_nonsense_is_left_out_and_written_over() -> None:
    async def scene(cluster: SimulatedCluster, client: KeyValueStoreClient) -> None:
        term = await client.compare_and_swap([], [{"put": LEADER_KEY, "v": 1}])
        store = DemandHistoryStore(client, DemandHistory(SLOT, 2, 48), term)
        for hour in range(0, store.max_keys, 7):
            await client.compare_and_swap([], [{"put": store.block_key(hour), "v": ["?", hour]}])
        own = store.block_key(BEGIN // BLOCK_DURATION_S)
        await client.compare_and_swap([], [{"put": own, "v": {"slot_s": 60, "start": 0}}])
        await store.load(BEGIN)
        assert store.invalid_block_count >= store.max_keys // 7 and not store.history.series
        store.history.record_accepted_job(make_demand(BEGIN + 5, 4.0))
        await store.save()
        assert cluster.state.keys[own][0]["start"] == BEGIN

    on_store(scene)


# -- the whole service ------------------------------------------------------------------------


def tuning() -> OperatorConfig:
    return OperatorConfig(
        predictive_scaling=PredictiveScalingSettings(slot=timedelta(minutes=1), least_weeks=1, series_most=100, weeks=1)
    )


def expecting(cluster: SimulatedCluster) -> Any:
    """Past weeks in the state service that make the service rent ahead all day long."""

    async def act(_: SimulatedCluster) -> None:
        history = DemandHistory(60, 1, 100)
        begin = 1767225600 - 7 * 86400  # the same hours a week before the world's first instant
        for minute in range(0, 60, 5):
            history.advance_to(begin + minute * 60)
            history.record_accepted_job(make_demand(begin + minute * 60, 24.0, 290.0))
            history.mark_watched(begin + minute * 60, begin + minute * 60 + 300)
        store = DemandHistoryStore(None, history, 0)  # type: ignore[arg-type]
        for block in history.open_blocks.values():
            cluster.state.revision += 1
            cluster.state.apply_change(store.block_key(block.number), history.encode(block, 8192), None)

    return act


def own_classes(cluster: SimulatedCluster) -> None:
    """Each job its own class, so that what is stored tells which jobs have been counted."""
    make = cluster.make_job

    def made() -> dict[str, Any]:
        made_job = make()
        return made_job | {"docket": made_job["name_id"]}

    cluster.make_job = made  # type: ignore[method-assign]


@pytest.mark.parametrize("seed", range(400, 412))
def test_rough_days_count_each_job_at_most_once_and_break_no_rule(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(predictive_scaler, "SAVE_INTERVAL", timedelta(seconds=3))
    cluster = SimulatedCluster(
        seed,
        operator_config=tuning(),
        faults=EXTENDED_FAULTS if seed % 2 else ["crash", "all", "outage", "roll", "paused"],
    )
    own_classes(cluster)
    cluster.schedule_action(expecting(cluster))
    ahead: list[int] = []

    async def look(cluster: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(1)
            for node in cluster.nodes:
                reign = None if node.service is None else node.service.leader_term
                if reign is not None and reign.predictive_scaler is not None:
                    assert not reign.predictive_scaler.failure, reign.predictive_scaler.failure
                    ahead.append(len(reign.predictive_scaler.planner.capacity_plan.kept_machines))
                    assert "machines_ahead" in node.service.status_reporter.describe_status()  # type: ignore[union-attr]

    cluster.schedule_action(look)
    cluster.run()
    check(cluster)
    counted: dict[str, float] = {}
    mark = 0
    for name, (value, _, _) in cluster.state.keys.items():
        if name.startswith("demand/"):
            mark = max(mark, value["mark"])
            for _, job_class, _, _, slots in value["series"]:
                if job_class in cluster.jobs:
                    counted[job_class] = counted.get(job_class, 0) + sum(cell[1] for cell in slots.values())
    assert all(tasks == cluster.jobs[name]["parcels"] for name, tasks in counted.items())
    for name, (_, version, _) in cluster.state.keys.items():
        if name.startswith("live/") and version <= mark:
            assert counted.get(name.removeprefix("live/")), (
                f"{name} lives, was accepted before the mark, and is missing"
            )
    assert len(counted) >= len(cluster.accepted_jobs) / 2
    assert max(ahead, default=0) > 0


def test_fault_in_the_forecast_ends_no_term(monkeypatch: pytest.MonkeyPatch) -> None:
    def fault(*args: object) -> None:
        raise ZeroDivisionError("drawn")

    monkeypatch.setattr(ScalingPlanner, "plan", fault)
    cluster = SimulatedCluster(77, operator_config=tuning(), is_calm=True)
    said: list[Any] = []

    async def look(cluster: SimulatedCluster) -> None:
        await asyncio.sleep(40)
        service = cluster.current_leader().service
        assert service is not None and service.leader_term is not None
        said.append(
            (
                service.leader_term.leader_lease.term,
                service.status_reporter.describe_status()["ahead"],
                service.status_reporter.describe_forecast()["broken"],
            )
        )

    cluster.schedule_action(look)
    cluster.run()
    check(cluster)
    assert said == [(1, ["stopped: ZeroDivisionError: drawn"], "ZeroDivisionError: drawn")]
