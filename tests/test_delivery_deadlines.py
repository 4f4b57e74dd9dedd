"""Delivery deadlines: due times, status, the order of steps at risk, and due times that survive failures."""

import asyncio
import random
from datetime import UTC, datetime, time, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import pytest
import sexpdata

from roseweir.calendars import Calendar
from roseweir.clock import seconds
from roseweir.cloud.scale_out import time_budget
from roseweir.delivery_deadlines import chart, deadline_status
from roseweir.delivery_deadlines.controller import DeadlineController
from roseweir.delivery_deadlines.critical_path import remaining_critical_path
from roseweir.delivery_deadlines.deadline_status import (
    AT_RISK,
    LATE,
    MET,
    ON_TRACK,
    UNATTAINABLE,
    evaluate_deadline,
    slack_of_steps_at_risk,
)
from roseweir.delivery_deadlines.due_time import compute_due_ms, local_instant, night_ending_date
from roseweir.delivery_deadlines.lot_deliveries import delivered_lots
from roseweir.delivery_deadlines.night_report import NightReport
from roseweir.delivery_deadlines.settings import DeadlinePolicy, DeadlineSettings
from roseweir.delivery_deadlines.step_durations import StepDurations
from roseweir.operator_config import OperatorConfig, parse_operator_config
from roseweir.scheduler.queue_order import build_queue
from roseweir.sexp import SettingsError
from roseweir.workflows.model import Workflow, WorkflowStep
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    SimulatedCluster,
    raise_first_failure,
    virtual_now,
)
from tests.simulation.job_specs import make_job_spec as job
from tests.simulation.workflows import WorkflowCluster, workflow_config
from tests.test_scheduler import NOW, make_cluster_state
from tests.test_workflows import observe_workflows

TORONTO = Calendar(time_zone="America/Toronto", holidays={(None, 12, 25), (2026, 12, 28)})


def epoch_ms(text: str, zone: str = "America/Toronto") -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone)).timestamp() * 1000)


@pytest.mark.parametrize(
    ("accepted", "due", "policy"),
    [
        ("2026-12-01T22:00", "2026-12-02T08:00", {}),
        ("2026-12-02T07:59", "2026-12-02T08:00", {}),
        ("2026-12-02T08:00", "2026-12-03T08:00", {}),
        ("2026-12-02T05:29", "2026-12-02T08:00", {"cutoff_time": time(5, 30)}),
        ("2026-12-02T05:30", "2026-12-03T08:00", {"cutoff_time": time(5, 30)}),
        ("2026-12-02T22:59", "2026-12-03T08:00", {"cutoff_time": time(23)}),
        ("2026-12-02T23:01", "2026-12-04T08:00", {"cutoff_time": time(23)}),
        ("2026-12-04T20:00", "2026-12-07T08:00", {}),  # a weekend
        ("2026-12-24T20:00", "2026-12-29T08:00", {}),  # a yearly holiday, a weekend, and a holiday of 2026 alone
        ("2026-12-04T20:00", "2026-12-05T08:00", {"closed_weekdays": [6]}),
        # The nights in which daylight saving time begins and ends.
        ("2026-03-07T23:00", "2026-03-08T08:00", {"closed_weekdays": []}),
        ("2026-10-31T23:00", "2026-11-01T08:00", {"closed_weekdays": []}),
    ],
)
def test_due_time_is_the_next_business_morning(accepted: str, due: str, policy: dict[str, Any]) -> None:
    due_ms = compute_due_ms(epoch_ms(accepted), DeadlinePolicy(**policy), TORONTO)
    assert due_ms == epoch_ms(due), datetime.fromtimestamp(due_ms / 1000, UTC)
    assert night_ending_date(due_ms, TORONTO) == due[:10]


def test_due_time_across_daylight_saving_changes() -> None:
    """A local time that is skipped or occurs twice still maps to one instant."""
    zone = ZoneInfo("America/Toronto")
    skipped = local_instant(datetime(2026, 3, 8).date(), time(2, 30), zone)
    assert skipped.astimezone(zone).replace(tzinfo=None) == datetime(2026, 3, 8, 3, 0)
    repeated = local_instant(datetime(2026, 11, 1).date(), time(1, 30), zone)
    assert repeated == datetime(2026, 11, 1, 5, 30, tzinfo=UTC), "the first of the two instants"
    for year in (2025, 2026, 2027):
        for day in range(365):
            local_time = datetime(year, 1, 1) + timedelta(days=day)
            accepted_ms = round(local_time.replace(tzinfo=zone).timestamp() * 1000) + 3600_000 * (day % 24)
            due_ms = compute_due_ms(accepted_ms, DeadlinePolicy(), TORONTO)
            due_local = datetime.fromtimestamp(due_ms / 1000, zone)
            assert due_ms > accepted_ms and (due_local.hour, due_local.minute) == (8, 0) and due_local.weekday() < 5


def test_invalid_deadline_settings_are_rejected() -> None:
    settings = parse_operator_config(
        sexpdata.parse(
            '(calendar (time-zone "America/Toronto")) (promise (by "07:30") (closed "sunday")) (promise (team "t1"))'
        )
    ).delivery_deadline
    assert (
        settings is not None
        and settings.policy_for("t0") is settings.policies[0]
        and settings.policy_for("t1") is settings.policies[1]
    )
    assert settings.calendar.time_zone == "America/Toronto"
    for invalid in ('(by "25:00")', '(closed "someday")', "(quantile 1)", "(nothing)", '(by "08:00+01:00")'):
        with pytest.raises(SettingsError):
            parse_operator_config(sexpdata.parse(f"(promise {invalid})"))
    with pytest.raises(SettingsError):
        parse_operator_config(sexpdata.parse("(promise) (promise)"))


def make_workflow(due_ms: int, *steps: WorkflowStep, lots: int = 2) -> Workflow:
    return Workflow("am", 1, "t0", 0, 0, "", [f"lot-{number}" for number in range(lots)], list(steps), due_ms=due_ms)


def make_steps(
    outcomes: tuple[str, str, str] = ("", "", ""), released: tuple[int, int, int] = (1, 0, 0)
) -> list[WorkflowStep]:
    return [
        WorkflowStep(
            f"j-{number}",
            "abc"[number],
            [number - 1] if number else [],
            [],
            outcomes[number],
            released[number],
            5000 * (number + 1),
            is_delivery=number == 2,
        )
        for number in range(3)
    ]


def test_deadline_status_follows_critical_path_and_completion() -> None:
    """No deadline counts as met before the durable completion of its delivery steps."""
    durations = StepDurations()
    for duration_s in (8, 10, 12, 10, 30):
        for job_class in "abc":
            durations.add(job_class, duration_s)

    def median_duration_s(step: WorkflowStep) -> float:
        return durations.quantile(step.job_class, 0.5) or 0.0

    left_s, critical_job_class = remaining_critical_path(make_workflow(0, *make_steps()), median_duration_s, 1)
    assert left_s == pytest.approx(30.0, abs=0.01) and critical_job_class == "a"
    assert remaining_critical_path(make_workflow(0, *make_steps()), median_duration_s, 9001)[0] == pytest.approx(
        22.5
    ), "a step that exceeds its estimate gets a part of it again"
    states = [
        (100_000, 20_000, 1, ("", "", ""), ON_TRACK),
        (40_000, 20_000, 1, ("", "", ""), AT_RISK),
        (5_000, 0, 1, ("", "", ""), UNATTAINABLE),
        (40_000, 0, 41_000, ("done", "done", ""), LATE),
        (40_000, 0, 30_000, ("done", "done", "done"), MET),
        (14_000, 0, 30_000, ("done", "done", "done"), deadline_status.DELIVERED_LATE),
    ]
    for due_ms, margin_ms, now_ms, outcomes, state in states:
        assert (
            evaluate_deadline(make_workflow(due_ms, *make_steps(outcomes)), median_duration_s, margin_ms, now_ms).state
            == state
        )
    fan_out = make_workflow(
        20_000,
        WorkflowStep("j-1", "c", [], [0], "done", 1, 5_000, is_delivery=True),
        WorkflowStep("j-2", "c", [], [1], "done", 1, 25_000, is_delivery=True),
    )
    assert delivered_lots(fan_out) == ["lot-0", "lot-1"] and delivered_lots(fan_out, 20_000) == ["lot-0"], (
        "lots are counted one by one"
    )
    report = NightReport()
    report.add(fan_out, "c", 30_000)
    assert (report.due_lots, report.on_time_lots, report.late_lots) == (2, 1, 1) and NightReport.decode(
        report.encode()
    ) == report


@pytest.mark.parametrize("seed", range(5))
def test_urgent_jobs_only_reorder_within_their_team_and_priority(seed: int) -> None:
    """Jobs of other teams or priorities keep their places, and an unattainable deadline puts no step at risk."""
    rng = random.Random(seed)
    cluster_state = make_cluster_state()
    for number in range(1, 60):
        cluster_state.add_job(
            job(number, team=rng.choice(["t0", "t1"]), priority=rng.randint(1, 3), accepted_ms=number), number
        )
    queue_without_deadlines = build_queue(cluster_state, NOW)
    runs_at_risk = rng.sample(queue_without_deadlines, 15)
    cluster_state.slack_ms_by_job = {run.spec.id: rng.randint(-50, 500) * 1000 for run in runs_at_risk}
    queue = build_queue(cluster_state, NOW)
    groups = [(run.spec.team, run.spec.priority, run.is_within_quota) for run in queue_without_deadlines]
    assert [(run.spec.team, run.spec.priority, run.is_within_quota) for run in queue] == groups
    for group in set(groups):
        runs = [run for run, run_group in zip(queue, groups, strict=True) if run_group == group]
        slack = [cluster_state.slack_ms_by_job.get(run.spec.id) for run in runs]
        slack_at_risk = [value for value in slack if value is not None]
        assert slack[: len(slack_at_risk)] == sorted(slack_at_risk)
        other_accepted_ms = [run.spec.accepted_ms for run in runs if run.spec.id not in cluster_state.slack_ms_by_job]
        assert other_accepted_ms == sorted(other_accepted_ms)
    run = runs_at_risk[0]
    cluster_state.slack_ms_by_job[run.spec.id] = 30_000
    assert time_budget(cluster_state, run, seconds(0)) == seconds(18), "machines are rented within a part of the slack"
    unattainable = evaluate_deadline(make_workflow(5_000, *make_steps()), lambda step: 100.0, 0, 1)
    assert (
        unattainable.state == UNATTAINABLE
        and slack_of_steps_at_risk([unattainable], {"am": make_workflow(5_000, *make_steps())}) == {}
    )


# -- in the simulated cluster -------------------------------------------------------------------


def make_deadline_config(due_time: time, **policy_fields: Any) -> OperatorConfig:
    """The simulated day begins at midnight, so `due_time` counts from the start of the run."""
    config = workflow_config()
    config.delivery_deadline = DeadlineSettings(
        policies=[
            DeadlinePolicy(
                due_time=due_time,
                closed_weekdays=[],
                risk_margin=seconds(policy_fields.pop("margin", 40)),
                **policy_fields,
            )
        ]
    )
    return config


def deadline_controller_of(cluster: SimulatedCluster) -> DeadlineController | None:
    return next(
        (
            node.service.leader_term.deadline_controller
            for node in cluster.controllers
            if node.service and node.service.leader_term
        ),
        None,
    )


class DeadlineCluster(WorkflowCluster):
    """Arrays of the same team fill the capacity before amendments with an early delivery deadline are submitted."""

    def __init__(self, seed: int, operator_config: OperatorConfig, amendment_count: int = 12, **more: Any) -> None:
        super().__init__(seed, operator_config, **({"without_random_faults": True, "scale": 1} | more))
        self.registry.run_time_range_s = (1.0, 2.0)
        self.amendment_count = amendment_count
        self.filler_count = 10
        self.delivered_at: dict[str, float] = {}

    async def submit_night_work(self, _: SimulatedCluster) -> None:
        await asyncio.sleep(6)
        for number in range(self.filler_count):
            # Of the same team as the amendments, and ahead of them in the queue.
            filler = self.registry.make_job(f"j-3{number:05d}", "lot-reproject", 40, guess_s=6.0)
            self.jobs[filler["name_id"]] = filler
            status, answer = await self.send_user_request("POST", "/submissions", filler)
            self.check_answer(filler["name_id"], status, answer)
            if status in (200, 201):
                self.accepted_jobs.add(filler["name_id"])
        for _turn in range(self.amendment_count):
            self.spawn(self.submit_amendment(self.registry.make_amendment(fan_out=False)))
            await asyncio.sleep(0.1)

    def record_delivery(self, job: str) -> None:
        super().record_delivery(job)
        self.delivered_at[job] = virtual_now()

    def lots_delivered_by(self, due_s: float) -> tuple[int, int]:
        """Counts the lots delivered by `due_s`, as the workers ended their tasks, and all accepted lots."""
        delivery_jobs = {
            delivery_job
            for delivery_job, (amendment_id, _) in self.revision_by_job.items()
            if amendment_id in self.accepted_at
        }
        lots = sum(len(self.lots_by_job[delivery_job]) for delivery_job in delivery_jobs)
        return sum(
            len(self.lots_by_job[delivery_job])
            for delivery_job in delivery_jobs
            if self.delivered_at.get(delivery_job, 1e9) <= due_s
        ), lots


def on_time_share(seeds: range, prioritizes_steps_at_risk: bool, monkeypatch: pytest.MonkeyPatch) -> float:
    on_time = lots = 0
    for seed in seeds:
        with monkeypatch.context() as context:
            if not prioritizes_steps_at_risk:
                context.setattr(
                    "roseweir.delivery_deadlines.controller.slack_of_steps_at_risk", lambda statuses, workflows: {}
                )
            cluster = observe_workflows(DeadlineCluster(seed, make_deadline_config(time(0, 1, 40), margin=110)))
            cluster.filler_count = 60
            cluster.schedule_action(cluster.submit_night_work)
            raise_first_failure(cluster.run(length_s=102, job_count=1))
            delivered = cluster.lots_delivered_by(100.0)
            on_time, lots = on_time + delivered[0], lots + delivered[1]
    return on_time / lots


def test_urgent_job_order_delivers_more_lots_on_time(monkeypatch: pytest.MonkeyPatch) -> None:
    without_priority, with_priority = (
        on_time_share(range(7800, 7803), prioritizes_steps_at_risk, monkeypatch)
        for prioritizes_steps_at_risk in (False, True)
    )
    assert with_priority > without_priority + 0.15, (without_priority, with_priority)


@pytest.mark.parametrize("failing", ["leader", "all", "state", "zone"])
def test_due_times_survive_failures_unchanged(failing: str) -> None:
    """No failure changes a due time, loses one, or counts a workflow twice in the night reports."""
    cluster = observe_workflows(
        DeadlineCluster(
            7810,
            make_deadline_config(time(0, 2)),
            amendment_count=8,
            restart_delay_range_s=(0.1, 1.0),
            max_clock_skew_s=0.5,
        )
    )
    due_ms_by_workflow: dict[str, set[int]] = {}
    results: list[Any] = []

    async def record_due_times(_: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(0.1)
            controller = deadline_controller_of(cluster)
            for workflow in controller._workflows_with_deadline() if controller is not None else ():
                due_ms_by_workflow.setdefault(workflow.id, set()).add(workflow.due_ms)

    async def fail(_: SimulatedCluster) -> None:
        await asyncio.sleep(12)
        for _turn in range(6):
            if failing == "leader":
                await cluster.restart_controller(cluster.current_leader())
            elif failing == "all":
                await asyncio.gather(*(cluster.restart_controller(node) for node in cluster.controllers))
            elif failing == "state":
                cluster.kv_store.is_down = True
                await asyncio.sleep(7)
                cluster.kv_store.end_outage()
            else:
                cluster.partitioned_zones.add("a")
                await asyncio.sleep(4)
                cluster.partitioned_zones.discard("a")
            await asyncio.sleep(6)

    async def end(_: SimulatedCluster) -> None:
        await asyncio.sleep(118)
        while deadline_controller_of(cluster) is None or not deadline_controller_of(cluster).is_loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.2)
        controller = deadline_controller_of(cluster)
        assert controller is not None
        controller._evaluate_deadlines()
        results.append({status.workflow_id: status.state for status in controller.statuses.values()})
        results.append(controller.describe())

    cluster.schedule_action(cluster.submit_night_work)
    cluster.schedule_action(record_due_times)
    cluster.schedule_action(fail)
    cluster.schedule_action(end)
    raise_first_failure(cluster.run(length_s=125, job_count=1))
    midnight = round(datetime(2026, 1, 1, tzinfo=UTC).timestamp() * 1000)
    assert set(due_ms_by_workflow) == set(cluster.accepted_at) and all(
        due_ms == {midnight + 120_000} for due_ms in due_ms_by_workflow.values()
    )
    delivered_in_time = {
        cluster.revision_by_job[delivery_job][0]
        for delivery_job, delivered_at in cluster.delivered_at.items()
        if delivered_at <= 117
    }
    assert all(
        results[0].get(workflow_id) in (MET, deadline_status.SUPERSEDED)
        for workflow_id in delivered_in_time & set(results[0])
    ), results[0]
    assert sum(report["promised"] for report in results[1]["nights"]) == sum(
        len(amendment["lots"]) for amendment in cluster.sent_amendments.values()
    )


@pytest.mark.parametrize("seed", range(7820, 7824))
def test_deadline_is_never_met_before_completion_is_durable(seed: int) -> None:
    cluster = observe_workflows(
        DeadlineCluster(
            seed,
            make_deadline_config(time(0, 1, 30)),
            without_random_faults=False,
            faults=[*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS],
            scale=2,
        )
    )
    wrong: list[str] = []

    async def compare(_: SimulatedCluster) -> None:
        while True:
            await asyncio.sleep(0.25)
            controller = deadline_controller_of(cluster)
            for status in list(controller.statuses.values()) if controller is not None else ():
                delivery_job = cluster.sent_amendments[status.workflow_id]["steps"][-1]["job"]["name_id"]
                completion = cluster.kv_store.keys.get(f"over/{delivery_job}")
                if status.state == MET and (completion is None or completion[0]["state"] != "done"):
                    wrong.append(f"{status.workflow_id} has status met before its completion is durable")

    cluster.schedule_action(cluster.submit_night_work)
    cluster.schedule_action(compare)
    raise_first_failure(cluster.run(length_s=110, job_count=5))
    assert wrong == []


def test_night_reports_survive_failover_and_are_drawn(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.REPORT_CLOSE_DELAY_MS", 10_000)
    monkeypatch.setattr("roseweir.delivery_deadlines.controller.SAVE_INTERVAL", seconds(2))
    cluster = observe_workflows(DeadlineCluster(7830, make_deadline_config(time(0, 1)), amendment_count=6, scale=2))
    results: list[Any] = []

    async def end(_: SimulatedCluster) -> None:
        await asyncio.sleep(90)
        results.append("promise/nights" in cluster.kv_store.keys)
        await cluster.restart_controller(cluster.current_leader())
        await asyncio.sleep(8)
        controller = deadline_controller_of(cluster)
        assert controller is not None
        results.append(controller.describe())
        cluster.is_over = True

    cluster.schedule_action(cluster.submit_night_work)
    cluster.schedule_action(end)
    raise_first_failure(cluster.run(length_s=120, job_count=1))
    assert results[0] and results[1]["nights"][0]["night"] == "2026-01-01"
    report = results[1]["nights"][0]
    assert report["kept"] + report["late"] + report["superseded"] == report["promised"] > 0
    chart.draw_chart(results[1], tmp_path / "night.png")
    assert (tmp_path / "night.png").stat().st_size > 5000
