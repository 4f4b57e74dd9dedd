"""Wakes the tasks that wait for a topic; unlike an `asyncio.Event`, a notification does not stay set.

Each topic has its own waiters: with one event for all, each commit of the log would wake the pending responses of
hundreds of idle machines needlessly. Hundreds of responses wait at any time, so a wait costs only one future and one
timer.
"""

import asyncio
from collections.abc import Iterable
from datetime import timedelta


class Notifier:
    """Wakes the tasks that wait for a topic."""

    def __init__(self) -> None:
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    def notify(self, topics: Iterable[str]) -> None:
        """Wake all tasks that wait for one of the topics."""
        for topic in topics:
            for future in self._waiters.pop(topic, ()):
                _resolve(future)

    async def wait(self, topic: str, timeout: timedelta) -> None:
        """Wait until the topic is notified, or until the timeout."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        timer = loop.call_later(timeout.total_seconds(), _resolve, future)
        self._waiters.setdefault(topic, set()).add(future)
        try:
            await future
        finally:
            timer.cancel()
            waiters = self._waiters.get(topic)
            if waiters is not None:
                waiters.discard(future)
                if not waiters:
                    del self._waiters[topic]


def _resolve(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)
