"""Steady instants and wall-clock time, both as the standard library's types."""

import asyncio
from collections.abc import Awaitable
from datetime import UTC, datetime, timedelta

START = datetime(2000, 1, 1)
ZERO = timedelta(0)
NEVER = datetime(1970, 1, 1)
FOREVER = datetime(9000, 1, 1)
# A wait that took so much longer than it should tells that this process stood still meanwhile.
SLEPT = timedelta(seconds=1.5)


def steady() -> datetime:
    """The running loop's steady clock, as a naive instant that means nothing outside this process."""
    return START + timedelta(seconds=asyncio.get_running_loop().time())


def wall() -> datetime:
    return datetime.now(UTC)


def wall_ms() -> int:
    """The time of day in milliseconds, as records keep it."""
    return round(wall().timestamp() * 1000)


async def pause(span: timedelta) -> None:
    await asyncio.sleep(max(0.0, span.total_seconds()))


async def within(span: timedelta, signal: Awaitable[object]) -> None:
    """Wait for a signal, but no longer than that."""
    try:
        async with asyncio.timeout(span.total_seconds()):
            await signal
    except TimeoutError:
        pass


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)
