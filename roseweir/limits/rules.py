"""The two rules that come with the service, and the operators' own class limits."""

from collections.abc import Callable, Iterable
from datetime import datetime

from roseweir.limits.bucket import Bucket
from roseweir.limits.limits import Limit, Limits, MachineView, Rule, Start
from roseweir.limits.settings import ClassLimit, LimitSettings
from roseweir.submissions.jobs import GANG, JobSpec, MachineType


def fetch_tag(zone: str) -> str:
    return f"fetch:{zone}"


def renew_fetch_limits(
    limits: Limits, machines: Iterable[tuple[str, MachineType]], tuning: LimitSettings, now: datetime
) -> None:
    """Uncached image fetches, per zone: cost in GB, rate by what the zone's machines can pull."""
    rates: dict[str, float] = {}
    for zone, kind in machines:
        rates[zone] = rates.get(zone, 0.0) + kind.fetch_gb_per_s
    for zone, rate in rates.items():
        capacity = rate * tuning.fetch_share * tuning.fetch_window.total_seconds()
        limit = limits.put(
            Limit(
                tag=fetch_tag(zone),
                matches=_uncached_in(zone),
                cost=lambda start: start.job.image_gb,
                bucket=Bucket.full(now, capacity, tuning.fetch_window, tuning.fetch_burst_gb, tuning.fetch_draw_cap_gb),
                expires=now + tuning.lease,
                job_only=False,
            )
        )
        if abs(limit.bucket.capacity - capacity) > 1e-9:
            limit.bucket.resize(capacity, now)


def _uncached_in(zone: str) -> Rule:
    def matches(job: JobSpec, machine: MachineView | None) -> bool:
        if not job.image or job.image_gb <= 0:
            return False
        if machine is None:
            return job.zone is None or job.zone == zone
        return machine.zone == zone and not machine.has_image(job.image)

    return matches


def restart_tag(job_id: str) -> str:
    return f"restart:{job_id}"


def renew_restart_limit(limits: Limits, job_id: str, tuning: LimitSettings, now: datetime) -> None:
    """A job that failed repeatedly restarts one task a window, or its gang as a whole (the sum makes one)."""
    limits.put(
        Limit(
            tag=restart_tag(job_id),
            matches=lambda job, machine: job.id == job_id,
            cost=lambda start: start.tasks / start.job.tasks if start.job.kind == GANG else float(start.tasks),
            bucket=Bucket.full(now, 1.0, tuning.restart_window),
            expires=now + tuning.lease,
            job_only=True,
        )
    )


def renew_class_limits(limits: Limits, tuning: LimitSettings, now: datetime) -> None:
    for own in tuning.class_limits:
        limits.put(
            Limit(
                tag=f"class:{own.name}",
                matches=_class_rule(own),
                cost=_per_task,
                bucket=Bucket.full(now, own.count, own.window, own.burst, own.draw_cap),
                expires=now + tuning.lease,
                job_only=own.machine_type is None and own.zone is None,
            )
        )


def _per_task(start: Start) -> float:
    return float(start.tasks)


def _class_rule(own: ClassLimit) -> Callable[[JobSpec, MachineView | None], bool]:
    def matches(job: JobSpec, machine: MachineView | None) -> bool:
        if own.job_class is not None and job.job_class != own.job_class:
            return False
        if own.team is not None and job.team != own.team:
            return False
        if machine is None:
            return True
        return own.machine_type in (None, machine.type_name) and own.zone in (None, machine.zone)

    return matches
