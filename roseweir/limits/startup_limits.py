"""The set of limits in force, what they block, and how a blocked source's requests shrink.

Pure: the current instant is always an argument, nothing here waits or sends.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from math import floor
from typing import Any, Protocol

from roseweir.clock import ZERO
from roseweir.limits.bucket import TokenBucket
from roseweir.submissions.jobs import JobSpec

log = logging.getLogger(__name__)


class MachineView(Protocol):
    """What a rule may ask about a machine."""

    zone: str

    @property
    def machine_type_name(self) -> str: ...

    def has_image(self, image: str) -> bool: ...


@dataclass(slots=True, frozen=True)
class TaskStart:
    """A job about to start `tasks` of its tasks on one machine."""

    job: JobSpec
    machine: MachineView | None
    task_count: int


LimitRule = Callable[[JobSpec, MachineView | None], bool]
StartCost = Callable[[TaskStart], float]


@dataclass(slots=True)
class StartupLimit:
    """A leased bucket with its job-and-machine rule.

    `matches(job, None)` asks about the job alone: False there means that no machine can match.
    A `is_job_only` rule never looks at the machine.
    """

    tag: str
    matches: LimitRule
    cost: StartCost
    bucket: TokenBucket
    expires_at: datetime
    is_job_only: bool
    blocked_count: int = 0
    blocked_decisions: int = 0
    last_blocked_at: datetime | None = None
    blocked_duration: timedelta = ZERO
    blocked_sources: dict[str, datetime] = field(default_factory=dict)

    def describe(self, now: datetime) -> dict[str, Any]:
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
            "ignored": self.blocked_decisions,
            "blocked_s": round(self.blocked_duration.total_seconds(), 1),
            "last_ignored_s_ago": None
            if self.last_blocked_at is None
            else round((now - self.last_blocked_at).total_seconds(), 1),
            "sources": sorted(self.blocked_sources),
        }


class StartupLimits:
    """All limits by tag. In memory only: a new leader begins with none and full buckets."""

    def __init__(self, ban_window: timedelta, lookahead: timedelta) -> None:
        self.ban_window = ban_window
        self.lookahead = lookahead
        self.by_tag: dict[str, StartupLimit] = {}
        self._reported_counts: dict[str, int] = {}

    def install_or_renew(self, limit: StartupLimit) -> StartupLimit:
        """Install a limit, or renew the lease of the one already there (its bucket and counters stay)."""
        existing = self.by_tag.get(limit.tag)
        if existing is None:
            self.by_tag[limit.tag] = limit
            log.info("limit %s installed: %.4g per %s", limit.tag, limit.bucket.capacity, limit.bucket.window)
            return limit
        existing.expires_at = max(existing.expires_at, limit.expires_at)
        return existing

    def remove_expired(self, now: datetime) -> None:
        """Drop what nobody renewed: the system lapses to plain behaviour."""
        for tag in [tag for tag, limit in self.by_tag.items() if limit.expires_at <= now]:
            log.info("limit %s lapsed", tag)
            del self.by_tag[tag]
            self._reported_counts.pop(tag, None)

    def try_start(self, starts: list[TaskStart], source: str, now: datetime) -> bool:
        """Gate one decision. All limits are asked before any is debited; a gang draws its sum once."""
        draws: list[tuple[StartupLimit, float]] = []
        is_blocked = False
        for limit in self.by_tag.values():
            if limit.expires_at <= now:
                continue
            matching = [s for s in starts if limit.matches(s.job, s.machine)]
            if not matching:
                continue
            cost = sum(max(0.0, limit.cost(s)) for s in matching)
            if limit.bucket.can_pay(cost, now):
                draws.append((limit, cost))
            else:
                is_blocked = True
                self._record_blocked(limit, source, now)
        if is_blocked:
            return False
        for limit, cost in draws:
            limit.bucket.debit(cost, now)
        return True

    def _record_blocked(self, limit: StartupLimit, source: str, now: datetime) -> None:
        limit.blocked_count += 1
        limit.blocked_decisions += 1
        limit.last_blocked_at = now
        last_blocked_at = limit.blocked_sources.get(source)
        blocked_duration = self.ban_window if last_blocked_at is None else min(self.ban_window, now - last_blocked_at)
        limit.blocked_duration += blocked_duration
        limit.blocked_sources[source] = now

    def limits_blocking(self, source: str, now: datetime) -> Iterable[StartupLimit]:
        for limit in self.by_tag.values():
            last_blocked_at = limit.blocked_sources.get(source)
            if last_blocked_at is not None and now - last_blocked_at < self.ban_window and limit.expires_at > now:
                yield limit

    def adjust_request(self, job: JobSpec, source: str, count: int, now: datetime) -> tuple[int, list[StartupLimit]]:
        """Shrink a matchmaker request: a smaller count, and limits whose machines are not wanted."""
        excluded: list[StartupLimit] = []
        for limit in self.limits_blocking(source, now):
            # The rule against the job alone: proven false, the request stays as it is.
            if not limit.matches(job, None):
                continue
            if limit.is_job_only:
                cost_per_task = limit.cost(TaskStart(job, None, 1))
                if cost_per_task > 0:
                    payable = limit.bucket.capacity_in(self.lookahead, now)
                    count = min(count, max(0, floor(payable / cost_per_task + 1e-9)))
            else:
                excluded.append(limit)
        return count, excluded

    def log_blocked(self, now: datetime) -> None:
        """Log what was held back since the last call, and forget sources whose ban is over."""
        for limit in self.by_tag.values():
            reported_count = self._reported_counts.get(limit.tag, 0)
            if limit.blocked_count > reported_count:
                log.info(
                    "limit %s blocked %d starts, %.1f tokens",
                    limit.tag,
                    limit.blocked_count - reported_count,
                    limit.bucket.tokens,
                )
                self._reported_counts[limit.tag] = limit.blocked_count
            for source in [s for s, at in limit.blocked_sources.items() if now - at >= self.ban_window]:
                del limit.blocked_sources[source]

    def describe(self, now: datetime) -> list[dict[str, Any]]:
        return [self.by_tag[tag].describe(now) for tag in sorted(self.by_tag)]
