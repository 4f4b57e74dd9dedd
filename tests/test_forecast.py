"""Demand forecasts, and the capacity planned for them, from weeks of simulated demand."""

import random
from datetime import datetime, timedelta
from typing import Any

import pytest

from roseweir.calendars import Calendar, CalendarEvent
from roseweir.clock import seconds
from roseweir.cloud.offers import MachineOffer
from roseweir.cloud.scale_in import plan_scale_in
from roseweir.cloud.scale_out import plan_scale_out
from roseweir.forecast.capacity_plan import late_ratio, lead_time_s, plan_capacity, representative_job
from roseweir.forecast.demand_history import Pool, TaskShape
from roseweir.forecast.forecaster import CapacityNeed, weighted_quantile
from roseweir.forecast.scaling_planner import ScalingPlanner
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.operator_config import OperatorConfig, load_operator_config
from roseweir.scheduler.model import Machine
from roseweir.scheduler.scheduling_pass import SchedulingPassResult, run_scheduling_pass
from roseweir.sexp import SettingsError
from roseweir.workers.messages import TaskStatus
from tests.simulation.demand_weeks import CPU_POOL, TORONTO, DemandWeeks, make_demand
from tests.simulation.job_specs import make_job_spec
from tests.test_scheduler import CPU, GPU, NOW, FakeWorker, make_cluster_state, place_and_start

FIRST = "2026-04-06"  # a Monday; four weeks from here end on Sunday, 3 May


def test_weekly_burst_is_forecast_ahead_of_its_start_only() -> None:
    weeks = DemandWeeks()
    weeks.simulate_days(FIRST, 28)
    assert weeks.needed_units("2026-05-04T12:00") == 0
    assert weeks.needed_units("2026-05-04T16:20", lead_s=60) == 0
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(40, rel=0.01)
    need = weeks.forecaster.needs(weeks.timestamp("2026-05-04T16:27"), {CPU_POOL: 120.0})[0]
    assert need.shape == TWO_CPUS and "4 weeks" in need.reason and "at 16:25" in need.reason


def test_too_little_history_gives_no_forecast_and_the_reason() -> None:
    weeks = DemandWeeks()
    weeks.simulate_days(FIRST, 14)
    assert weeks.needed_units("2026-04-20T16:27") == 0
    assert weeks.forecaster.no_forecast_reason() == "2 of the 3 weeks that a forecast needs are known at this hour"


@pytest.mark.parametrize("first, day", [("2026-02-16", "2026-03-16"), ("2026-10-12", "2026-11-09")])
def test_burst_keeps_its_local_time_across_clock_changes(first: str, day: str) -> None:
    """Toronto's clocks went forward on 8 March and back on 1 November 2026."""
    weeks = DemandWeeks()
    weeks.simulate_days(first, 28)
    assert weeks.needed_units(f"{day}T15:27") == 0
    assert weeks.needed_units(f"{day}T16:27") > 30


def test_skipped_hour_gives_no_sample_and_repeated_hour_gives_one() -> None:
    weeks = DemandWeeks()
    skipped_slot = weeks.history.slot_of(weeks.timestamp("2026-03-15T02:30"))
    assert weeks.forecaster.slot_weeks_before(skipped_slot, 1) is None  # 8 March, 02:30
    first_slot = weeks.history.slot_of(weeks.timestamp("2026-11-01T01:30"))
    earlier_slots = {weeks.forecaster.slot_weeks_before(first_slot + offset, 1) for offset in (0, 12)}
    assert earlier_slots == {weeks.history.slot_of(weeks.timestamp("2026-10-25T01:30"))}


def test_calendar_holiday_forecasts_zero_and_gives_no_samples() -> None:
    calendar = Calendar(holidays={(None, 5, 6), (2026, 4, 22)})
    weeks = DemandWeeks(calendar, wait_cost=1.0)
    # 22 April is also a holiday, without a burst: it must not lower the forecast of later Wednesdays.
    weeks.simulate_days(FIRST, 28, burst_units=lambda day: 0.0 if day.date().isoformat() == "2026-04-22" else 40.0)
    assert weeks.needed_units("2026-05-05T16:32") > 30
    on_holiday = weeks.forecaster.expected_demand(weeks.history.slot_of(weeks.timestamp("2026-05-06T16:35")))
    assert on_holiday[CPU_POOL].high_units == 0 and "holiday" in on_holiday[CPU_POOL].reason
    week_after = weeks.forecaster.expected_demand(weeks.history.slot_of(weeks.timestamp("2026-05-13T16:35")))
    assert week_after[CPU_POOL].low_units > 30


def test_unlisted_holiday_ends_the_need_within_absent_after() -> None:
    weeks = DemandWeeks()
    weeks.simulate_days(FIRST, 28)
    assert weeks.needed_units("2026-05-06T16:34") > 30
    assert weeks.needed_units("2026-05-06T16:41") == 0
    assert weeks.needed_units("2026-05-06T17:45") == 0
    level, reason = weeks.forecaster.present_level(CPU_POOL, 40.0, weeks.history.slot_of(weeks.now_s))
    assert level == 0 and reason.startswith("absent")


def test_burst_an_hour_late_restores_the_need() -> None:
    weeks = DemandWeeks()
    weeks.simulate_days(FIRST, 28)
    assert weeks.needed_units("2026-05-06T17:15") == 0
    weeks.history.record_accepted_job(make_demand(weeks.timestamp("2026-05-06T17:20"), 40.0))
    assert weeks.needed_units("2026-05-06T17:20") > 30


def test_unwatched_days_are_not_sampled_as_zero_demand() -> None:
    """Two Mondays without demand: a leader that did not watch them gives no samples, one that did gives zeros."""
    high_units = []
    for watched in (False, True):
        weeks = DemandWeeks(wait_cost=1.0, idle_cost=3.0, least_weeks=2)
        empty_days = {"2026-04-27", "2026-04-20"}
        weeks.simulate_days(
            FIRST,
            28,
            burst_units=lambda day, days=empty_days: 0.0 if day.date().isoformat() in days else 40.0,  # type: ignore[misc]
            is_watched=lambda day, watched=watched, days=empty_days: watched or day.date().isoformat() not in days,  # type: ignore[misc]
        )
        high_units.append(
            weeks.forecaster.expected_demand(weeks.history.slot_of(weeks.timestamp("2026-05-04T16:45")))[
                CPU_POOL
            ].high_units
        )
    assert high_units[0] == pytest.approx(40, rel=0.01) and high_units[1] == 0


def test_unprecedented_surge_raises_later_needs_by_at_most_level_most() -> None:
    weeks = DemandWeeks()
    weeks.simulate_days(FIRST, 28)
    weeks.advance_to(weeks.timestamp("2026-05-04T11:00"))
    weeks.history.record_accepted_job(make_demand(weeks.timestamp("2026-05-04T11:00"), 400.0, duration_s=3600 * 6))
    assert weeks.needed_units("2026-05-04T11:30") == 0
    assert weeks.needed_units("2026-05-04T16:27") <= 40 * weeks.settings.level_most + 1e-6


def test_calendar_event_multiplies_the_usual_demand() -> None:
    event_begins_at = datetime(2026, 5, 4, 16)
    weeks = DemandWeeks(
        Calendar(events=[CalendarEvent("final", event_begins_at, event_begins_at + timedelta(hours=2), 2.5)])
    )
    weeks.simulate_days(FIRST, 28)
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(100, rel=0.01)


def test_best_effort_flood_adds_at_most_the_guest_share() -> None:
    weeks = DemandWeeks()
    start = weeks.timestamp(f"{FIRST}T00:00")
    weeks.now_s = start
    for week in range(4):
        burst_at = start + week * 7 * 86400 + 16.5 * 3600
        weeks.advance_to(burst_at)
        weeks.history.record_accepted_job(make_demand(burst_at, 20.0))
        for number in range(50):
            weeks.history.record_accepted_job(
                make_demand(burst_at + 1, 1000.0, team="guest", job_class=f"flood-{number}", number=number + 1)
            )
        weeks.advance_to(burst_at + 7200)
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(20 * (1 + weeks.settings.guest_share), rel=0.02)


def test_forecast_demand_is_capped_by_the_team_limit() -> None:
    weeks = DemandWeeks()
    team = weeks.cluster_state.teams["t0"]
    team.max_cpus = 12.0
    weeks.simulate_days(FIRST, 28)
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(12, rel=0.01)


def test_weighted_quantile_of_random_samples_splits_their_weight() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        values = sorted((rng.uniform(0, 9), rng.uniform(0.1, 2)) for _ in range(rng.randint(1, 20)))
        share = rng.random()
        quantile = weighted_quantile(values, share)
        total = sum(weight for _, weight in values)
        assert sum(weight for value, weight in values if value <= quantile) >= share * total - 1e-6
        assert sum(weight for value, weight in values if value < quantile) < share * total + 1e-6
    assert weighted_quantile([], 0.5) == 0


# -- capacity plan ----------------------------------------------------------------------------


TWO_CPUS = TaskShape(2.0, 0.0, 4.0, 1.0)


def need(units: float, pool: Pool = CPU_POOL, shape: TaskShape = TWO_CPUS) -> CapacityNeed:
    return CapacityNeed(pool, shape, units, 0.0, "test need")


def test_reactive_requests_count_towards_needs_and_stay_unchanged() -> None:
    cluster_state = make_cluster_state()
    cluster_state.add_job(make_job_spec(1, task_count=40, estimated_duration_s=300.0), 1)
    machine_requests, _ = plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), {}, 1, NOW)
    before = list(machine_requests)
    requested_cpus = sum(request.count for request in machine_requests) * CPU.cpus
    capacity_plan = plan_capacity(
        cluster_state, [need(requested_cpus)], machine_requests, {}, PredictiveScalingSettings(), NOW
    )
    assert (
        machine_requests == before
        and capacity_plan.machine_requests == []
        and capacity_plan.holds[0].missing_units == 0
    )
    capacity_plan = plan_capacity(
        cluster_state, [need(requested_cpus + 8)], machine_requests, {}, PredictiveScalingSettings(), NOW
    )
    assert [(request.count, request.is_forecast) for request in capacity_plan.machine_requests] == [(1, True)]


def test_held_machines_are_kept_until_their_need_ends() -> None:
    cluster_state = make_cluster_state()
    for number in range(3):
        machine = Machine(f"i-{number}", CPU, "a", False, added_at=NOW, scaled_out_at=NOW)
        machine.idle_since = machine.last_heartbeat_at = NOW
        cluster_state.machines[machine.name] = machine
        cluster_state.obtained_instance_pools.add(("cpu", "a", False))
    later = NOW + timedelta(minutes=5)
    for machine in cluster_state.machines.values():
        machine.last_heartbeat_at = later
    capacity_plan = plan_capacity(cluster_state, [need(16.0)], [], {}, PredictiveScalingSettings(), later)
    assert sorted(capacity_plan.kept_machines) == ["i-0", "i-1"] and capacity_plan.machine_requests == []
    assert [
        machine.name
        for machine, _ in plan_scale_in(cluster_state, SchedulingPassResult(), later, capacity_plan.kept_machines)
    ] == ["i-2"]
    plan_without_needs = plan_capacity(cluster_state, [], [], {}, PredictiveScalingSettings(), later)
    assert [
        machine.name
        for machine, _ in plan_scale_in(cluster_state, SchedulingPassResult(), later, plan_without_needs.kept_machines)
    ] == [
        "i-0",
        "i-1",
        "i-2",
    ]


@pytest.mark.parametrize("seed", range(60))
def test_random_plans_stay_within_limits_and_request_no_offer_twice(seed: int) -> None:
    rng = random.Random(seed)
    cluster_state = make_cluster_state()
    for number in range(rng.randint(0, 12)):
        machine_type, zone = rng.choice([CPU, CPU, GPU]), rng.choice("ab")
        machine = Machine(f"i-{number}", machine_type, zone, rng.random() < 0.4, added_at=NOW, scaled_out_at=NOW)
        machine.is_booting, machine.is_marked_for_release = rng.random() < 0.3, rng.random() < 0.2
        machine.last_heartbeat_at, machine.has_acknowledged_term = NOW, not machine.is_booting
        cluster_state.machines[machine.name] = machine
    if rng.random() < 0.7:
        cluster_state.add_job(make_job_spec(1, task_count=rng.randint(1, 60), cpus=2.0), 1)
    scheduling_result = run_scheduling_pass(cluster_state, NOW)
    refused_until = {
        MachineOffer("cpu", zone, spot): NOW + seconds(9)
        for zone in "ab"
        for spot in (True, False)
        if rng.random() < 0.4
    }
    settings = PredictiveScalingSettings(machines_most=rng.randint(0, 8), money_most=rng.choice([1.0, 5.0, 40.0]))
    candidate_needs = [
        need(rng.uniform(1, 120)),
        need(rng.uniform(1, 60), Pool(False, None, "a", False)),
        need(rng.uniform(1, 12), Pool(True, None, None, rng.random() < 0.5), TaskShape(2.0, 1.0, 8.0, 4.0)),
    ]
    needs = rng.sample(candidate_needs, rng.randint(0, 3))
    machine_requests, _ = plan_scale_out(cluster_state, scheduling_result, refused_until, 1, NOW)
    reactive_requests = list(machine_requests)
    capacity_plan = plan_capacity(cluster_state, needs, machine_requests, refused_until, settings, NOW)
    assert machine_requests == reactive_requests, "reactive requests must not change"
    for name in capacity_plan.kept_machines:
        machine = cluster_state.machines[name]
        assert not machine.placements and not machine.is_marked_for_release
    machine_count = len(capacity_plan.kept_machines) + sum(request.count for request in capacity_plan.machine_requests)
    assert machine_count <= settings.machines_most and capacity_plan.price_per_hour <= settings.money_most + 1e-6
    offers = [
        (request.type_name, request.zone, request.is_spot)
        for request in reactive_requests + capacity_plan.machine_requests
    ]
    assert len(offers) == len(set(offers)) and not refused_until.keys() & set(offers)
    for hold in capacity_plan.holds:
        assert hold.available_units >= hold.need.units - 1e-6 or hold.ordered_machines or hold.missing_units > 0
        if hold.available_units >= hold.need.units - 1e-6:
            assert hold.ordered_machines == 0
    for request in capacity_plan.machine_requests:
        assert any(representative_job(n).allows_spot or not request.is_spot for n in needs)


def test_lead_time_grows_with_slow_boots_slow_fetches_and_large_images() -> None:
    job_spec = representative_job(need(1.0))
    usual_lead_s = lead_time_s(job_spec, 0.0, {"cpu": CPU}, {}, {})
    assert lead_time_s(job_spec, 30.0, {"cpu": CPU}, {}, {}) == pytest.approx(usual_lead_s + 40.0)
    ratios = [1.0] * 17 + [3.0, 3.0, 4.0]
    assert late_ratio(ratios, 1.5) == 3.0 and late_ratio([9.0] * 4, 1.5) == 1.5
    assert lead_time_s(job_spec, 0.0, {"cpu": CPU}, {"cpu": ratios}, {}) == pytest.approx(
        usual_lead_s + CPU.boot_s * 1.5
    )
    assert lead_time_s(job_spec, 30.0, {"cpu": CPU}, {}, {"cpu": ratios}) == pytest.approx(usual_lead_s + 90.0)


def test_image_fetch_ratio_from_heartbeats_is_recorded_once() -> None:
    cluster_state = make_cluster_state()
    worker = FakeWorker(cluster_state, "i-1")
    worker.send_heartbeat(NOW)
    cluster_state.add_job(make_job_spec(1, image="img", image_gb=6.0), 1)
    place_and_start(cluster_state, NOW, worker)
    key = next(iter(worker.tasks))
    for state, second in (("pulling", 1.0), ("running", 10.0)):
        worker.tasks[key] = TaskStatus(*key, state)
        worker.send_heartbeat(NOW + seconds(second))
    planner = ScalingPlanner(PredictiveScalingSettings(), cluster_state)
    for _ in range(2):
        planner.history.record_startup_ratios(cluster_state.boot_ratios, cluster_state.image_fetch_ratios)
    assert planner.history.fetch_ratios == {"cpu": [pytest.approx(9.0 / 6.0)]}


def test_refused_requests_lengthen_lead_times_temporarily() -> None:
    weeks = DemandWeeks()
    weeks.simulate_days(FIRST, 28)
    now = weeks.timestamp("2026-05-04T16:29")
    weeks.advance_to(now)
    refused_until = {
        MachineOffer(type_name, zone, spot): NOW + seconds(9)
        for type_name in ("cpu", "gpu")
        for zone in "ab"
        for spot in (True, False)
    }
    lead_time_before_s = weeks.planner.lead_times_s(now)[CPU_POOL]
    for second in range(30):
        capacity_plan = weeks.planner.plan([], refused_until, now + second, NOW)
    assert capacity_plan.holds[0].missing_units > 30 and capacity_plan.machine_requests == []
    assert weeks.planner.lead_times_s(now + 30)[CPU_POOL] == pytest.approx(lead_time_before_s + 36.0)
    assert weeks.planner.lead_times_s(now + 3600)[CPU_POOL] == lead_time_before_s


# -- settings ---------------------------------------------------------------------------------


def test_settings_are_parsed_and_invalid_ones_rejected(tmp_path: Any) -> None:
    path = tmp_path / "ahead.sexp"
    path.write_text(
        f"""(renting-ahead (weeks 6) (wait-cost 9) (machines-most 20))
        (calendar (time-zone "{TORONTO}") (holiday "12-25" "2026-07-01")
          (event (name "final") (from "2026-05-04T16:00") (to "2026-05-04T18:00") (factor 2)))"""
    )
    scaling_settings = load_operator_config(path).predictive_scaling
    assert scaling_settings is not None and (
        scaling_settings.weeks,
        scaling_settings.machines_most,
        scaling_settings.quantile,
    ) == (6, 20, 0.9)
    assert (
        scaling_settings.calendar.is_holiday(datetime(2031, 12, 25).date())
        and scaling_settings.calendar.events[0].demand_factor == 2
    )
    assert OperatorConfig().predictive_scaling is None
    invalid_settings = [
        "(renting-ahead (weks 6))",
        "(renting-ahead (slot 70))",
        "(renting-ahead (fade 1.5))",
        "(renting-ahead (weeks 2))",
        "(renting-ahead (absent-after 60))",
        '(calendar (time-zone "UTC"))',
        '(renting-ahead) (calendar (time-zone "Mars/Olympus"))',
        '(renting-ahead) (calendar (holiday "25 December"))',
        '(renting-ahead) (calendar (holliday "12-25"))',
        '(renting-ahead) (calendar (event (name "x") (from "2026-05-04T18:00") (to "2026-05-04T16:00") (factor 2)))',
        '(renting-ahead) (calendar (event (name "x") (from "2026-05-04T18:00") (factor 2)))',
        '(renting-ahead) (calendar (event (name "x") (from "2026-05-04T16:00Z") (to "2026-05-04T18:00") (factor 2)))',
    ]
    for text in invalid_settings:
        path.write_text(text)
        with pytest.raises(SettingsError) as error:
            load_operator_config(path)
        assert "\n" not in str(error.value)
