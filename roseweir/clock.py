"""Monotonic and wall-clock time, both as `datetime` and `timedelta`."""

import asyncio
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta

MONOTONIC_ORIGIN = datetime(2000, 1, 1)
ZERO = timedelta(0)
NEVER = datetime(1970, 1, 1)
FOREVER = datetime(9000, 1, 1)
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


def seconds(value: float) -> timedelta:
    """A duration given in seconds."""
    return timedelta(seconds=value)
