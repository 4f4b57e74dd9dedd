"""The token bucket, and the startup limits built on it as in the paper."""

import random
from datetime import datetime, timedelta
from typing import Any

from roseweir.limits import StartupLimit, StartupLimits, TaskStart, TokenBucket
from roseweir.limits.rules import renew_fetch_limits, renew_restart_limit, restart_tag
from roseweir.operator_config import OperatorConfig
from roseweir.scheduler.model import Machine
from roseweir.submissions.jobs import GANG, JobSpec, MachineType
from tests.simulation.job_specs import make_job_spec

NOW = datetime(2000, 1, 1)
SECOND = timedelta(seconds=1)
MACHINE_TYPE = MachineType("big", 8, 0, 32, 50, 1.0, 1.0, 0.3, 30, ("a", "b"))


def job(number: int = 1, **fields: Any) -> JobSpec:
    return make_job_spec(number, **({"task_count": 10, "image": "img", "image_gb": 4.0} | fields))


def machine(zone: str = "a") -> Machine:
    return Machine(f"m-{zone}", MACHINE_TYPE, zone, False)


def test_bucket_stays_in_bounds_and_never_pays_more_than_refilled() -> None:
    for seed in range(50):
        rng = random.Random(seed)
        capacity, burst = rng.uniform(1, 20), rng.choice([0.0, rng.uniform(0, 20)])
        draw_cap = rng.choice([0.0, rng.uniform(0.5, 10)])
        bucket = TokenBucket.full(NOW, capacity, timedelta(seconds=rng.uniform(1, 30)), burst, draw_cap)
        now, total_paid = NOW, 0.0
        for _ in range(300):
            now += SECOND * rng.uniform(0, 2)
            cost = rng.uniform(-1, 15)
            debit = min(max(cost, 0.0), draw_cap) if draw_cap else max(cost, 0.0)
            if bucket.can_pay(cost, now):
                assert bucket.tokens + burst + 1e-6 >= debit
                bucket.debit(cost, now)
                total_paid += debit
            assert -burst - 1e-6 <= bucket.tokens <= capacity + 1e-6
        total_refilled = capacity + burst + capacity * ((now - NOW) / bucket.window)
        assert total_paid <= total_refilled + 1e-6


def test_draw_cap_lets_a_costly_start_through() -> None:
    bucket = TokenBucket.full(NOW, 10, 10 * SECOND, burst=0, draw_cap=5)
    assert bucket.can_pay(100, NOW)
    bucket.debit(100, NOW)
    assert bucket.tokens == 5


def test_blocked_zone_is_excluded_from_the_requests_of_its_source() -> None:
    limits = StartupLimits(3 * SECOND, 10 * SECOND)
    operator_config = OperatorConfig(
        fetch_burst_gb=0.0, fetch_draw_cap_gb=0.0, fetch_window=4 * SECOND, lease=60 * SECOND
    )
    renew_fetch_limits(limits, [("a", MACHINE_TYPE), ("b", MACHINE_TYPE)], operator_config, NOW)
    first, second = machine("a"), machine("a")
    assert limits.try_start([TaskStart(job(), first, 3)], "s", NOW)
    assert not limits.try_start([TaskStart(job(), second, 1)], "s", NOW)
    _, excluded_limits = limits.adjust_request(job(), "s", 10, NOW)
    assert [limit.tag for limit in excluded_limits] == ["fetch:a"]
    assert excluded_limits[0].matches(job(), second)
    assert not excluded_limits[0].matches(job(), machine("b"))
    second.record_image_use("img", 4.0)
    assert not excluded_limits[0].matches(job(), second)
    # Requests of another source, and jobs that need no image, are not adjusted.
    assert limits.adjust_request(job(), "other", 10, NOW) == (10, [])
    assert limits.adjust_request(job(image="", image_gb=0.0), "s", 10, NOW) == (10, [])
    # After the ban window the request is not reduced any more, and after its lease the limit is removed.
    assert limits.adjust_request(job(), "s", 10, NOW + 4 * SECOND)[1] == []
    limits.remove_expired(NOW + 61 * SECOND)
    assert limits.try_start([TaskStart(job(), second, 1)], "s", NOW)
    assert not limits.by_tag


def test_failing_job_restarts_once_per_window_with_reduced_requests() -> None:
    limits = StartupLimits(30 * SECOND, 10 * SECOND)
    operator_config = OperatorConfig(restart_window=30 * SECOND, lease=300 * SECOND)
    renew_restart_limit(limits, "j-000001", operator_config, NOW)
    assert limits.try_start([TaskStart(job(), machine(), 1)], "s", NOW)
    assert not limits.try_start([TaskStart(job(), machine(), 1)], "s", NOW + 10 * SECOND)
    assert limits.try_start([TaskStart(job(2), machine(), 5)], "s", NOW)
    count, _ = limits.adjust_request(job(), "s", 50, NOW + 15 * SECOND)
    assert count == 0
    count, _ = limits.adjust_request(job(), "s", 50, NOW + 25 * SECOND)
    assert count == 1
    assert limits.try_start([TaskStart(job(), machine(), 1)], "s", NOW + 31 * SECOND)
    described = limits.by_tag[restart_tag("j-000001")].describe(NOW + 31 * SECOND)
    assert described["skipped"] == 1 and described["job_only"]


def test_gang_draws_its_summed_cost_once() -> None:
    limits = StartupLimits(SECOND, SECOND)
    limits.install_or_renew(
        StartupLimit(
            "x",
            lambda spec, machine: True,
            lambda start: float(start.task_count),
            TokenBucket.full(NOW, 10, SECOND),
            NOW + SECOND * 9,
            True,
        )
    )
    gang = job(job_type=GANG, task_count=8)
    assert limits.try_start([TaskStart(gang, machine("a"), 5), TaskStart(gang, machine("b"), 3)], "s", NOW)
    assert limits.by_tag["x"].bucket.tokens == 2
    # All limits are checked before any is debited: a gang that cannot start pays nothing.
    assert not limits.try_start([TaskStart(gang, machine("a"), 1), TaskStart(gang, machine("b"), 2)], "s", NOW)
    assert limits.by_tag["x"].bucket.tokens == 2
