"""Signals by name, to whoever waits for that name now; unlike an event they do not stay set.

With one signal for all, each commit woke the held answers of hundreds of idle machines for nothing. Hundreds of
answers wait at any time, so a wait is a future and a timer and no more.
"""

import asyncio
from collections.abc import Iterable
from datetime import timedelta


class Notifier:
    def __init__(self) -> None:
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}

    def notify(self, topics: Iterable[str]) -> None:
        for topic in topics:
            for future in self._waiters.pop(topic, ()):
                _resolve(future)

    async def wait(self, topic: str, timeout: timedelta) -> None:
        """Until the name is rung, but no longer than that."""
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
