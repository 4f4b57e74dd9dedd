"""Monotonic and wall-clock time, both as `datetime` and `timedelta`."""

import asyncio
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta

MONOTONIC_ORIGIN = datetime(2000, 1, 1)
ZERO = timedelta(0)
NEVER = datetime(1970, 1, 1)
FOREVER = datetime(9000, 1, 1)
# Longer durations are shortened to this one, so that no sum with an instant leaves the range of `datetime` or passes
# `FOREVER`. No task, deadline or machine is planned for as long.
MAX_DURATION = timedelta(days=3650)
# A wait that ends this much later than planned, or more, means that the process was paused meanwhile.
PROCESS_PAUSE_THRESHOLD = timedelta(seconds=1.5)


def monotonic_now() -> datetime:
    """The event loop's monotonic time, as a naive `datetime` that is comparable within this process only."""
    return MONOTONIC_ORIGIN + timedelta(seconds=asyncio.get_running_loop().time())


def utc_now() -> datetime:
    """The wall-clock time, in UTC."""
    return datetime.now(UTC)


def utc_now_ms() -> int:
    """The wall-clock time in whole milliseconds since the Unix epoch, as stored records hold it."""
    return round(utc_now().timestamp() * 1000)


async def sleep(duration: timedelta) -> None:
    """Sleep for a duration; a negative one counts as zero."""
    await asyncio.sleep(max(0.0, duration.total_seconds()))


async def wait_at_most(timeout: timedelta, awaitable: Awaitable[object]) -> None:
    """Wait for an awaitable, which is cancelled after `timeout`; its result is discarded."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await awaitable
    except TimeoutError:
        pass


_MAX_DURATION_S = MAX_DURATION.total_seconds()


def seconds(value: float) -> timedelta:
    """A duration given in seconds, of at most `MAX_DURATION` in either direction; it is zero only if `value` is.

    A value that is too small for `timedelta` keeps its sign: what was checked to be positive can be divided by.
    """
    duration = timedelta(seconds=min(max(value, -_MAX_DURATION_S), _MAX_DURATION_S))
    if not duration and value != 0:
        return timedelta.resolution if value > 0 else -timedelta.resolution
    return duration


def milliseconds(value: float) -> timedelta:
    """A duration given in milliseconds, bounded like that of `seconds`."""
    return seconds(value / 1000)
