"""The startup limits in force, what they block, and by how much the requests of a blocked source shrink.

No I/O; the current time is always an argument.
"""

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta
from math import floor
from typing import Any

from roseweir.limits.bucket import TOKEN_TOLERANCE
from roseweir.limits.limit import StartupLimit, TaskStart
from roseweir.submissions.jobs import JobSpec

log = logging.getLogger(__name__)


class StartupLimits:
    """All limits by tag. In memory only: a new leader starts with none, and so with full buckets.

    A source that was blocked stays banned for `ban_window`: its requests shrink to what the buckets can pay within
    `lookahead`.
    """

    def __init__(self, ban_window: timedelta, lookahead: timedelta) -> None:
        self.ban_window = ban_window
        self.lookahead = lookahead
        self.by_tag: dict[str, StartupLimit] = {}
        self._reported_counts: dict[str, int] = {}

    def install_or_renew(self, limit: StartupLimit) -> StartupLimit:
        """Install a limit, or extend the expiry of the one already there (its bucket and counters stay).

        Returns the limit that is in force.
        """
        existing = self.by_tag.get(limit.tag)
        if existing is None:
            self.by_tag[limit.tag] = limit
            log.info(
                "limit installed: tag=%s capacity=%.4g window=%s", limit.tag, limit.bucket.capacity, limit.bucket.window
            )
            return limit
        existing.expires_at = max(existing.expires_at, limit.expires_at)
        return existing

    def remove_expired(self, now: datetime) -> None:
        """Remove limits that were not renewed in time; the starts that they limited are unlimited again."""
        for tag in [tag for tag, limit in self.by_tag.items() if limit.expires_at <= now]:
            log.info("limit expired: tag=%s", tag)
            del self.by_tag[tag]
            self._reported_counts.pop(tag, None)

    def try_start(self, starts: list[TaskStart], source: str, now: datetime) -> bool:
        """Whether all these starts may go ahead; if so, each matching limit is debited by the sum of their costs.

        All limits are checked before any is debited. If one cannot pay, `source` is recorded as blocked by it.
        """
        debits: list[tuple[StartupLimit, float]] = []
        is_blocked = False
        for limit in self.by_tag.values():
            if limit.expires_at <= now:
                continue
            matching = [s for s in starts if limit.matches(s.spec, s.machine)]
            if not matching:
                continue
            cost = sum(max(0.0, limit.cost(s)) for s in matching)
            if limit.bucket.can_pay(cost, now):
                debits.append((limit, cost))
            else:
                is_blocked = True
                self._record_blocked(limit, source, now)
        if is_blocked:
            return False
        for limit, cost in debits:
            limit.bucket.debit(cost, now)
        return True

    def _record_blocked(self, limit: StartupLimit, source: str, now: datetime) -> None:
        limit.blocked_count += 1
        limit.last_blocked_at = now
        last_blocked_at = limit.blocked_sources.get(source)
        blocked_duration = self.ban_window if last_blocked_at is None else min(self.ban_window, now - last_blocked_at)
        limit.blocked_duration += blocked_duration
        limit.blocked_sources[source] = now

    def limits_blocking(self, source: str, now: datetime) -> Iterable[StartupLimit]:
        """The limits that have blocked the source within the ban window."""
        for limit in self.by_tag.values():
            last_blocked_at = limit.blocked_sources.get(source)
            if last_blocked_at is not None and now - last_blocked_at < self.ban_window and limit.expires_at > now:
                yield limit

    def adjust_request(self, spec: JobSpec, source: str, count: int, now: datetime) -> tuple[int, list[StartupLimit]]:
        """Shrink a placement request of a blocked source.

        Returns how many tasks may be placed, and the limits whose machines are to be left out.
        """
        excluded_limits: list[StartupLimit] = []
        for limit in self.limits_blocking(source, now):
            # Checked against the job alone: if that does not match, no machine can.
            if not limit.matches(spec, None):
                continue
            if limit.is_job_only:
                cost_per_task = limit.cost(TaskStart(spec, None, 1))
                if cost_per_task > 0:
                    payable_cost = limit.bucket.payable_within(self.lookahead, now)
                    count = min(count, max(0, floor(payable_cost / cost_per_task + TOKEN_TOLERANCE)))
            else:
                excluded_limits.append(limit)
        return count, excluded_limits

    def log_blocked(self, now: datetime) -> None:
        """Log how many decisions were blocked since the last call, and drop sources whose ban is over."""
        for limit in self.by_tag.values():
            reported_count = self._reported_counts.get(limit.tag, 0)
            if limit.blocked_count > reported_count:
                log.info(
                    "limit blocked starts: tag=%s blocked=%d tokens=%.1f",
                    limit.tag,
                    limit.blocked_count - reported_count,
                    limit.bucket.tokens,
                )
                self._reported_counts[limit.tag] = limit.blocked_count
            for source in [s for s, at in limit.blocked_sources.items() if now - at >= self.ban_window]:
                del limit.blocked_sources[source]

    def describe(self, now: datetime) -> list[dict[str, Any]]:
        """All limits for operators, by tag."""
        return [self.by_tag[tag].describe(now) for tag in sorted(self.by_tag)]
