"""What is expected, and what is made ready for it: pure decisions over weeks drawn by hand."""

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
from tests.simulation.job_specs import make_job_spec as job
from tests.test_scheduler import CPU, GPU, NOW, Hand, new_board, start

FIRST = "2026-04-06"  # a Monday; four weeks from here end on Sunday, 3 May


def test_burst_of_past_weeks_is_needed_before_it_comes_and_not_at_other_hours() -> None:
    weeks = DemandWeeks()
    weeks.pass_days(FIRST, 28)
    assert weeks.needed_units("2026-05-04T12:00") == 0
    assert weeks.needed_units("2026-05-04T16:20", lead=60) == 0
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(40, rel=0.01)
    need = weeks.forecaster.needs(weeks.timestamp("2026-05-04T16:27"), {CPU_POOL: 120.0})[0]
    assert need.shape == TWO_CPUS and "4 weeks" in need.reason and "at 16:25" in need.reason


def test_too_little_history_makes_no_forecast_and_says_so() -> None:
    weeks = DemandWeeks()
    weeks.pass_days(FIRST, 14)
    assert weeks.needed_units("2026-04-20T16:27") == 0
    assert weeks.forecaster.no_forecast_reason() == "2 of the 3 weeks that a forecast needs are known at this hour"


@pytest.mark.parametrize("first, day", [("2026-02-16", "2026-03-16"), ("2026-10-12", "2026-11-09")])
def test_burst_keeps_its_local_hour_when_the_clocks_change(first: str, day: str) -> None:
    """In Toronto they went forward on 8 March and back on 1 November 2026."""
    weeks = DemandWeeks()
    weeks.pass_days(first, 28)
    assert weeks.needed_units(f"{day}T15:27") == 0
    assert weeks.needed_units(f"{day}T16:27") > 30


def test_hour_that_the_clocks_skip_is_no_sample_and_the_hour_that_comes_twice_is_one() -> None:
    weeks = DemandWeeks()
    slot = weeks.history.slot_of(weeks.timestamp("2026-03-15T02:30"))
    assert weeks.forecaster.slot_weeks_before(slot, 1) is None  # 8 March, 02:30
    first = weeks.history.slot_of(weeks.timestamp("2026-11-01T01:30"))
    same = {weeks.forecaster.slot_weeks_before(first + later, 1) for later in (0, 12)}
    assert same == {weeks.history.slot_of(weeks.timestamp("2026-10-25T01:30"))}


def test_entered_holiday_expects_nothing_and_teaches_nothing() -> None:
    calendar = Calendar(holidays={(None, 5, 6), (2026, 4, 22)})
    weeks = DemandWeeks(calendar, wait_cost=1.0)
    # 22 April was a holiday too, without a burst: it must not lower later Wednesdays.
    weeks.pass_days(FIRST, 28, burst=lambda day: 0.0 if day.date().isoformat() == "2026-04-22" else 40.0)
    assert weeks.needed_units("2026-05-05T16:32") > 30
    expected = weeks.forecaster.expected_demand(weeks.history.slot_of(weeks.timestamp("2026-05-06T16:35")))
    assert expected[CPU_POOL].high_units == 0 and "holiday" in expected[CPU_POOL].reason
    after = weeks.forecaster.expected_demand(weeks.history.slot_of(weeks.timestamp("2026-05-13T16:35")))
    assert after[CPU_POOL].low_units > 30


def test_holiday_that_nobody_entered_gives_back_what_was_held_within_the_stated_time() -> None:
    weeks = DemandWeeks()
    weeks.pass_days(FIRST, 28)
    assert weeks.needed_units("2026-05-06T16:34") > 30
    assert weeks.needed_units("2026-05-06T16:41") == 0
    assert weeks.needed_units("2026-05-06T17:45") == 0
    level, why = weeks.forecaster.present_level(CPU_POOL, 40.0, weeks.history.slot_of(weeks.watched_until))
    assert level == 0 and why.startswith("absent")


def test_burst_that_comes_an_hour_late_ends_the_absence() -> None:
    weeks = DemandWeeks()
    weeks.pass_days(FIRST, 28)
    assert weeks.needed_units("2026-05-06T17:15") == 0
    weeks.history.record_accepted_job(make_demand(weeks.timestamp("2026-05-06T17:20"), 40.0))
    assert weeks.needed_units("2026-05-06T17:20") > 30


def test_outage_day_teaches_no_absence_of_demand() -> None:
    """The same day with nothing known, and with nothing asked for."""
    found = []
    for known in (False, True):
        weeks = DemandWeeks(wait_cost=1.0, idle_cost=3.0, least_weeks=2)
        out = {"2026-04-27", "2026-04-20"}
        weeks.pass_days(
            FIRST,
            28,
            burst=lambda day, out=out: 0.0 if day.date().isoformat() in out else 40.0,  # type: ignore[misc]
            known=lambda day, known=known, out=out: known or day.date().isoformat() not in out,  # type: ignore[misc]
        )
        found.append(
            weeks.forecaster.expected_demand(weeks.history.slot_of(weeks.timestamp("2026-05-04T16:45")))[
                CPU_POOL
            ].high_units
        )
    assert found[0] == pytest.approx(40, rel=0.01) and found[1] == 0


def test_surge_without_a_past_holds_nothing_and_raises_no_later_hour_beyond_the_bound() -> None:
    weeks = DemandWeeks()
    weeks.pass_days(FIRST, 28)
    weeks.watch_until(weeks.timestamp("2026-05-04T11:00"))
    weeks.history.record_accepted_job(make_demand(weeks.timestamp("2026-05-04T11:00"), 400.0, span=3600 * 6))
    assert weeks.needed_units("2026-05-04T11:30") == 0
    assert weeks.needed_units("2026-05-04T16:27") <= 40 * weeks.settings.level_most + 1e-6


def test_known_event_multiplies_what_is_usual() -> None:
    begins = datetime(2026, 5, 4, 16)
    weeks = DemandWeeks(Calendar(events=[CalendarEvent("final", begins, begins + timedelta(hours=2), 2.5)]))
    weeks.pass_days(FIRST, 28)
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(100, rel=0.01)


def test_guests_flood_teaches_no_more_than_its_share() -> None:
    weeks = DemandWeeks()
    start = weeks.timestamp(f"{FIRST}T00:00")
    weeks.watched_until = start
    for week in range(4):
        at = start + week * 7 * 86400 + 16.5 * 3600
        weeks.watch_until(at)
        weeks.history.record_accepted_job(make_demand(at, 20.0))
        for number in range(50):
            weeks.history.record_accepted_job(
                make_demand(at + 1, 1000.0, team="guest", job_class=f"flood-{number}", number=number + 1)
            )
        weeks.watch_until(at + 7200)
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(20 * (1 + weeks.settings.guest_share), rel=0.02)


def test_nothing_is_expected_that_a_teams_limit_forbids() -> None:
    weeks = DemandWeeks()
    team = weeks.cluster_state.teams["t0"]
    team.max_cpus = 12.0
    weeks.pass_days(FIRST, 28)
    assert weeks.needed_units("2026-05-04T16:27") == pytest.approx(12, rel=0.01)


def test_quantiles_of_drawn_samples_lie_where_their_weight_does() -> None:
    for seed in range(200):
        draw = random.Random(seed)
        values = sorted((draw.uniform(0, 9), draw.uniform(0.1, 2)) for _ in range(draw.randint(1, 20)))
        share = draw.random()
        found = weighted_quantile(values, share)
        total = sum(w for _, w in values)
        assert sum(w for v, w in values if v <= found) >= share * total - 1e-6
        assert sum(w for v, w in values if v < found) < share * total + 1e-6
    assert weighted_quantile([], 0.5) == 0


# -- the plan ---------------------------------------------------------------------------------


TWO_CPUS = TaskShape(2.0, 0.0, 4.0, 1.0)


def need(units: float, pool: Pool = CPU_POOL, shape: TaskShape = TWO_CPUS) -> CapacityNeed:
    return CapacityNeed(pool, shape, units, 0.0, "drawn")


def test_reactive_orders_count_and_are_not_changed() -> None:
    cluster_state = new_board()
    cluster_state.add_job(job(1, task_count=40, estimated_duration_s=300.0), 1)
    wants, _ = plan_scale_out(cluster_state, run_scheduling_pass(cluster_state, NOW), {}, 1, NOW)
    before = list(wants)
    bought = sum(w.count for w in wants) * CPU.cpus
    ahead = plan_capacity(cluster_state, [need(bought)], wants, {}, PredictiveScalingSettings(), NOW)
    assert wants == before and ahead.machine_requests == [] and ahead.holds[0].missing_units == 0
    ahead = plan_capacity(cluster_state, [need(bought + 8)], wants, {}, PredictiveScalingSettings(), NOW)
    assert [(w.count, w.is_forecast) for w in ahead.machine_requests] == [(1, True)]


def test_held_machines_stay_until_the_reason_lapses() -> None:
    cluster_state = new_board()
    for number in range(3):
        machine = Machine(f"i-{number}", CPU, "a", False, known_since=NOW, scaled_out_at=NOW)
        machine.idle_since = machine.last_heartbeat_at = NOW
        cluster_state.machines[machine.name] = machine
        cluster_state.obtained_instance_pools.add(("cpu", "a", False))
    later = NOW + timedelta(minutes=5)
    for machine in cluster_state.machines.values():
        machine.last_heartbeat_at = later
    ahead = plan_capacity(cluster_state, [need(16.0)], [], {}, PredictiveScalingSettings(), later)
    assert sorted(ahead.kept_machines) == ["i-0", "i-1"] and ahead.machine_requests == []
    assert [m.name for m, _ in plan_scale_in(cluster_state, SchedulingPassResult(), later, ahead.kept_machines)] == [
        "i-2"
    ]
    lapsed = plan_capacity(cluster_state, [], [], {}, PredictiveScalingSettings(), later)
    assert [m.name for m, _ in plan_scale_in(cluster_state, SchedulingPassResult(), later, lapsed.kept_machines)] == [
        "i-0",
        "i-1",
        "i-2",
    ]


@pytest.mark.parametrize("seed", range(60))
def test_drawn_plans_keep_their_ceilings_and_buy_nothing_twice(seed: int) -> None:
    draw = random.Random(seed)
    cluster_state = new_board()
    for number in range(draw.randint(0, 12)):
        kind, zone = draw.choice([CPU, CPU, GPU]), draw.choice("ab")
        machine = Machine(f"i-{number}", kind, zone, draw.random() < 0.4, known_since=NOW, scaled_out_at=NOW)
        machine.is_booting, machine.is_marked_for_release = draw.random() < 0.3, draw.random() < 0.2
        machine.last_heartbeat_at, machine.has_acknowledged_term = NOW, not machine.is_booting
        cluster_state.machines[machine.name] = machine
    if draw.random() < 0.7:
        cluster_state.add_job(job(1, task_count=draw.randint(1, 60), cpus=2.0), 1)
    left = run_scheduling_pass(cluster_state, NOW)
    refused = {
        MachineOffer("cpu", zone, spot): NOW + seconds(9)
        for zone in "ab"
        for spot in (True, False)
        if draw.random() < 0.4
    }
    settings = PredictiveScalingSettings(machines_most=draw.randint(0, 8), money_most=draw.choice([1.0, 5.0, 40.0]))
    pools = [
        need(draw.uniform(1, 120)),
        need(draw.uniform(1, 60), Pool(False, None, "a", False)),
        need(draw.uniform(1, 12), Pool(True, None, None, draw.random() < 0.5), TaskShape(2.0, 1.0, 8.0, 4.0)),
    ]
    needs = draw.sample(pools, draw.randint(0, 3))
    wants, _ = plan_scale_out(cluster_state, left, refused, 1, NOW)
    reactive = list(wants)
    ahead = plan_capacity(cluster_state, needs, wants, refused, settings, NOW)
    assert wants == reactive, "reactive rental is as it was"
    for name in ahead.kept_machines:
        machine = cluster_state.machines[name]
        assert not machine.placements and not machine.is_marked_for_release
    held = len(ahead.kept_machines) + sum(w.count for w in ahead.machine_requests)
    assert held <= settings.machines_most and ahead.price_per_hour <= settings.money_most + 1e-6
    offers = [(w.type_name, w.zone, w.is_spot) for w in reactive + ahead.machine_requests]
    assert len(offers) == len(set(offers)) and not refused.keys() & set(offers)
    for hold in ahead.holds:
        assert hold.available_units >= hold.need.units - 1e-6 or hold.ordered_machines or hold.missing_units > 0
        if hold.available_units >= hold.need.units - 1e-6:
            assert hold.ordered_machines == 0
    for want in ahead.machine_requests:
        assert any(representative_job(n).allows_spot or not want.is_spot for n in needs)


def test_orders_go_out_earlier_where_boots_and_fetches_are_late_and_images_large() -> None:
    spec = representative_job(need(1.0))
    usual = lead_time_s(spec, 0.0, {"cpu": CPU}, {}, {})
    assert lead_time_s(spec, 30.0, {"cpu": CPU}, {}, {}) == pytest.approx(usual + 40.0)
    times = [1.0] * 17 + [3.0, 3.0, 4.0]
    assert late_ratio(times, 1.5) == 3.0 and late_ratio([9.0] * 4, 1.5) == 1.5
    assert lead_time_s(spec, 0.0, {"cpu": CPU}, {"cpu": times}, {}) == pytest.approx(usual + CPU.boot_s * 1.5)
    assert lead_time_s(spec, 30.0, {"cpu": CPU}, {}, {"cpu": times}) == pytest.approx(usual + 90.0)


def test_fetches_are_learned_from_reports_and_kept_with_the_history() -> None:
    cluster_state = new_board()
    hand = Hand(cluster_state, "i-1")
    hand.report(NOW)
    cluster_state.add_job(job(1, image="img", image_gb=6.0), 1)
    start(cluster_state, NOW, hand)
    key = next(iter(hand.tasks))
    for state, second in (("pulling", 1.0), ("running", 10.0)):
        hand.tasks[key] = TaskStatus(*key, state)
        hand.report(NOW + seconds(second))
    planner = ScalingPlanner(PredictiveScalingSettings(), cluster_state)
    for _ in range(2):
        planner.history.record_startup_ratios(cluster_state.boot_ratios, cluster_state.image_fetch_ratios)
    assert planner.history.fetch_ratios == {"cpu": [pytest.approx(9.0 / 6.0)]}


def test_refusals_move_orders_ahead_for_a_while() -> None:
    weeks = DemandWeeks()
    weeks.pass_days(FIRST, 28)
    now = weeks.timestamp("2026-05-04T16:29")
    weeks.watch_until(now)
    refused = {
        MachineOffer(kind, zone, spot): NOW + seconds(9)
        for kind in ("cpu", "gpu")
        for zone in "ab"
        for spot in (True, False)
    }
    before = weeks.planner.lead_times_s(now)[CPU_POOL]
    for second in range(30):
        ahead = weeks.planner.plan([], refused, now + second, NOW)
    assert ahead.holds[0].missing_units > 30 and ahead.machine_requests == []
    assert weeks.planner.lead_times_s(now + 30)[CPU_POOL] == pytest.approx(before + 36.0)
    assert weeks.planner.lead_times_s(now + 3600)[CPU_POOL] == before


# -- settings ---------------------------------------------------------------------------------


def test_settings_are_read_and_wrong_ones_named(tmp_path: Any) -> None:
    file = tmp_path / "ahead.sexp"
    file.write_text(
        f"""(renting-ahead (weeks 6) (wait-cost 9) (machines-most 20))
        (calendar (time-zone "{TORONTO}") (holiday "12-25" "2026-07-01")
          (event (name "final") (from "2026-05-04T16:00") (to "2026-05-04T18:00") (factor 2)))"""
    )
    ahead = load_operator_config(file).predictive_scaling
    assert ahead is not None and (ahead.weeks, ahead.machines_most, ahead.quantile) == (6, 20, 0.9)
    assert ahead.calendar.is_holiday(datetime(2031, 12, 25).date()) and ahead.calendar.events[0].demand_factor == 2
    assert OperatorConfig().predictive_scaling is None
    wrong = [
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
    for text in wrong:
        file.write_text(text)
        with pytest.raises(SettingsError) as error:
            load_operator_config(file)
        assert "\n" not in str(error.value)
