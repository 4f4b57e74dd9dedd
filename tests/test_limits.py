"""The token bucket and the limits built on it, as the paper has them."""

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
KIND = MachineType("big", 8, 0, 32, 50, 1.0, 1.0, 0.3, 30, ("a", "b"))


def job(number: int = 1, **more: Any) -> JobSpec:
    return make_job_spec(number, **({"task_count": 10, "image": "img", "image_gb": 4.0} | more))


def machine(zone: str = "a") -> Machine:
    return Machine(f"m-{zone}", KIND, zone, False)


def test_bucket_stays_within_its_bounds_and_never_pays_more_than_it_was_given() -> None:
    for seed in range(50):
        draw = random.Random(seed)
        capacity, burst = draw.uniform(1, 20), draw.choice([0.0, draw.uniform(0, 20)])
        cap = draw.choice([0.0, draw.uniform(0.5, 10)])
        bucket = TokenBucket.full(NOW, capacity, timedelta(seconds=draw.uniform(1, 30)), burst, cap)
        now, paid = NOW, 0.0
        for _ in range(300):
            now += SECOND * draw.uniform(0, 2)
            cost = draw.uniform(-1, 15)
            drawn = min(max(cost, 0.0), cap) if cap else max(cost, 0.0)
            if bucket.can_pay(cost, now):
                assert bucket.tokens + burst + 1e-6 >= drawn
                bucket.debit(cost, now)
                paid += drawn
            assert -burst - 1e-6 <= bucket.tokens <= capacity + 1e-6
        given = capacity + burst + capacity * ((now - NOW) / bucket.window)
        assert paid <= given + 1e-6


def test_draw_cap_lets_a_costly_start_through() -> None:
    bucket = TokenBucket.full(NOW, 10, 10 * SECOND, burst=0, draw_cap=5)
    assert bucket.can_pay(100, NOW)
    bucket.debit(100, NOW)
    assert bucket.tokens == 5


def test_blocked_zone_is_skipped_and_its_source_asks_for_other_machines() -> None:
    limits = StartupLimits(3 * SECOND, 10 * SECOND)
    tuning = OperatorConfig(fetch_burst_gb=0.0, fetch_draw_cap_gb=0.0, fetch_window=4 * SECOND, lease=60 * SECOND)
    renew_fetch_limits(limits, [("a", KIND), ("b", KIND)], tuning, NOW)
    first, second = machine("a"), machine("a")
    assert limits.try_start([TaskStart(job(), first, 3)], "s", NOW)
    assert not limits.try_start([TaskStart(job(), second, 1)], "s", NOW)
    _, unwanted = limits.adjust_request(job(), "s", 10, NOW)
    assert [limit.tag for limit in unwanted] == ["fetch:a"]
    assert unwanted[0].matches(job(), second)
    assert not unwanted[0].matches(job(), machine("b"))
    second.record_image_use("img", 4.0)
    assert not unwanted[0].matches(job(), second)
    # Another source, or a job that needs no image, is not held to account.
    assert limits.adjust_request(job(), "other", 10, NOW) == (10, [])
    assert limits.adjust_request(job(image="", image_gb=0.0), "s", 10, NOW) == (10, [])
    # After the ban window the request is whole again, and after the lease the limit is gone.
    assert limits.adjust_request(job(), "s", 10, NOW + 4 * SECOND)[1] == []
    limits.remove_expired(NOW + 61 * SECOND)
    assert limits.try_start([TaskStart(job(), second, 1)], "s", NOW)
    assert not limits.by_tag


def test_failing_job_restarts_once_a_window_and_its_request_shrinks() -> None:
    limits = StartupLimits(30 * SECOND, 10 * SECOND)
    tuning = OperatorConfig(restart_window=30 * SECOND, lease=300 * SECOND)
    renew_restart_limit(limits, "j-000001", tuning, NOW)
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
            lambda j, m: True,
            lambda s: float(s.task_count),
            TokenBucket.full(NOW, 10, SECOND),
            NOW + SECOND * 9,
            True,
        )
    )
    gang = job(job_type=GANG, task_count=8)
    assert limits.try_start([TaskStart(gang, machine("a"), 5), TaskStart(gang, machine("b"), 3)], "s", NOW)
    assert limits.by_tag["x"].bucket.tokens == 2
    # All limits are asked before any is debited: a gang that cannot start leaves nothing behind.
    assert not limits.try_start([TaskStart(gang, machine("a"), 1), TaskStart(gang, machine("b"), 2)], "s", NOW)
    assert limits.by_tag["x"].bucket.tokens == 2
