"""One startup limit: a token bucket with an expiry, and the rule for what it limits."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Protocol

from roseweir.clock import ZERO
from roseweir.limits.bucket import TokenBucket
from roseweir.submissions.jobs import JobSpec


class MachineView(Protocol):
    """What a limit's rule may read of a machine."""

    zone: str

    @property
    def machine_type_name(self) -> str:
        """The name of the machine's type."""
        ...

    def has_image(self, image: str) -> bool:
        """Whether the machine has the image in its cache."""
        ...


@dataclass(slots=True, frozen=True)
class TaskStart:
    """A job about to start `task_count` of its tasks on one machine."""

    spec: JobSpec
    machine: MachineView | None
    task_count: int


LimitRule = Callable[[JobSpec, MachineView | None], bool]
StartCost = Callable[[TaskStart], float]


@dataclass(slots=True)
class StartupLimit:
    """A token bucket with an expiry, and the rule for the jobs and machines that it limits.

    `matches(spec, None)` checks the job alone: False means that no machine can match.
    With `is_job_only`, the rule ignores the machine.
    """

    tag: str
    matches: LimitRule
    cost: StartCost
    bucket: TokenBucket
    expires_at: datetime
    is_job_only: bool
    blocked_count: int = 0
    last_blocked_at: datetime | None = None
    blocked_duration: timedelta = ZERO
    blocked_sources: dict[str, datetime] = field(default_factory=dict)

    def describe(self, now: datetime) -> dict[str, Any]:
        """The limit's state for operators; durations in seconds."""
        self.bucket.refill(now)
        return {
            "tag": self.tag,
            "capacity": self.bucket.capacity,
            "window_s": self.bucket.window.total_seconds(),
            "burst": self.bucket.burst,
            "draw_cap": self.bucket.draw_cap,
            "tokens": round(self.bucket.tokens, 3),
            "expires_in_s": round((self.expires_at - now).total_seconds(), 1),
            "job_only": self.is_job_only,
            "skipped": self.blocked_count,
            "ignored": self.blocked_count,  # always equal; both keys are published
            "blocked_s": round(self.blocked_duration.total_seconds(), 1),
            "last_ignored_s_ago": None
            if self.last_blocked_at is None
            else round((now - self.last_blocked_at).total_seconds(), 1),
            "sources": sorted(self.blocked_sources),
        }
