"""Startup limits: token buckets with an expiry that gate task starts. See docs/design.md."""

from roseweir.limits.bucket import TokenBucket
from roseweir.limits.limit import StartupLimit, TaskStart
from roseweir.limits.startup_limits import StartupLimits

__all__ = ["StartupLimit", "StartupLimits", "TaskStart", "TokenBucket"]
