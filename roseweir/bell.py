"""Signals by name, to whoever waits for that name now; unlike an event they do not stay set.

With one signal for all, each commit woke the held answers of hundreds of idle machines for nothing.
"""

import asyncio
from collections.abc import Iterable


class Bell:
    def __init__(self) -> None:
        self._waiting: dict[str, asyncio.Event] = {}

    def ring(self, names: Iterable[str]) -> None:
        for name in names:
            event = self._waiting.pop(name, None)
            if event is not None:
                event.set()

    async def wait(self, name: str) -> None:
        await self._waiting.setdefault(name, asyncio.Event()).wait()
