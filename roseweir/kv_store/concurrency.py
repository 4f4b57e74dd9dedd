"""Concurrent calls whose first failure is raised only after all of them have completed."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")
U = TypeVar("U")


async def gather_all(*awaitables: Awaitable[T]) -> list[T]:
    """Return all results in order, or raise the first failure in that order after every call has completed."""
    results = await asyncio.gather(*awaitables, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
    return [result for result in results if not isinstance(result, BaseException)]


async def gather_pair(first_awaitable: Awaitable[T], second_awaitable: Awaitable[U]) -> tuple[T, U]:
    """Return the results of two concurrent calls, or raise the first failure after both have completed."""
    first, second = await asyncio.gather(first_awaitable, second_awaitable, return_exceptions=True)
    if isinstance(first, BaseException):
        raise first
    if isinstance(second, BaseException):
        raise second
    return first, second
