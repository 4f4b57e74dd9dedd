"""The built-in startup limits (image fetches, restarts), and the class limits that operators configure."""

from collections.abc import Iterable
from datetime import datetime

from roseweir.limits.bucket import TOKEN_TOLERANCE, TokenBucket
from roseweir.limits.limit import LimitRule, MachineView, StartupLimit, TaskStart
from roseweir.limits.settings import ClassLimit, LimitSettings
from roseweir.limits.startup_limits import StartupLimits
from roseweir.submissions.jobs import GANG, JobSpec, MachineType


def fetch_tag(zone: str) -> str:
    """The tag of a zone's limit on uncached image fetches."""
    return f"fetch:{zone}"


def renew_fetch_limits(
    limits: StartupLimits, machines: Iterable[tuple[str, MachineType]], limit_settings: LimitSettings, now: datetime
) -> None:
    """Limit uncached image fetches in each zone: cost in GB, refill rate by what the zone's machines can pull."""
    rate_by_zone: dict[str, float] = {}
    for zone, machine_type in machines:
        rate_by_zone[zone] = rate_by_zone.get(zone, 0.0) + machine_type.fetch_gb_per_s
    for zone, rate in rate_by_zone.items():
        capacity = rate * limit_settings.fetch_share * limit_settings.fetch_window.total_seconds()
        limit = limits.install_or_renew(
            StartupLimit(
                tag=fetch_tag(zone),
                matches=_uncached_fetch_rule(zone),
                cost=lambda start: start.spec.image_gb,
                bucket=TokenBucket.full(
                    now,
                    capacity,
                    limit_settings.fetch_window,
                    limit_settings.fetch_burst_gb,
                    limit_settings.fetch_draw_cap_gb,
                ),
                expires_at=now + limit_settings.lease,
                is_job_only=False,
            )
        )
        if abs(limit.bucket.capacity - capacity) > TOKEN_TOLERANCE:
            limit.bucket.resize(capacity, now)


def _uncached_fetch_rule(zone: str) -> LimitRule:
    def matches(spec: JobSpec, machine: MachineView | None) -> bool:
        if not spec.image or spec.image_gb <= 0:
            return False
        if machine is None:
            return spec.zone is None or spec.zone == zone
        return machine.zone == zone and not machine.has_image(spec.image)

    return matches


def restart_tag(job_id: str) -> str:
    """The tag of a job's limit on restarts."""
    return f"restart:{job_id}"


def renew_restart_limit(limits: StartupLimits, job_id: str, limit_settings: LimitSettings, now: datetime) -> None:
    """Limit a job that failed repeatedly to one restarted task per window, or one restart of its whole gang.

    A task of a gang costs one token divided by the number of tasks, so a restart of the whole gang costs one.
    """
    limits.install_or_renew(
        StartupLimit(
            tag=restart_tag(job_id),
            matches=lambda spec, machine: spec.id == job_id,
            cost=lambda start: (
                start.task_count / start.spec.task_count if start.spec.job_type == GANG else float(start.task_count)
            ),
            bucket=TokenBucket.full(now, 1.0, limit_settings.restart_window),
            expires_at=now + limit_settings.lease,
            is_job_only=True,
        )
    )


def renew_class_limits(limits: StartupLimits, limit_settings: LimitSettings, now: datetime) -> None:
    """Install the class limits that operators configured, or renew them."""
    for class_limit in limit_settings.class_limits:
        limits.install_or_renew(
            StartupLimit(
                tag=f"class:{class_limit.name}",
                matches=_class_limit_rule(class_limit),
                cost=_cost_per_task,
                bucket=TokenBucket.full(
                    now, class_limit.count, class_limit.window, class_limit.burst, class_limit.draw_cap
                ),
                expires_at=now + limit_settings.lease,
                is_job_only=class_limit.machine_type is None and class_limit.zone is None,
            )
        )


def _cost_per_task(start: TaskStart) -> float:
    return float(start.task_count)


def _class_limit_rule(class_limit: ClassLimit) -> LimitRule:
    def matches(spec: JobSpec, machine: MachineView | None) -> bool:
        if class_limit.job_class is not None and spec.job_class != class_limit.job_class:
            return False
        if class_limit.team is not None and spec.team != class_limit.team:
            return False
        if machine is None:
            return True
        return class_limit.machine_type in (None, machine.machine_type_name) and class_limit.zone in (
            None,
            machine.zone,
        )

    return matches
