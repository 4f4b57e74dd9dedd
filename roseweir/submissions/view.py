"""Which jobs live, as new as each question: one read of the state service answers all polls that wait.

No answer may be older than one that any node has given. A watch that returns at once tells all changes up to
its sending, so one sent after a poll came in is a fresh read, and it serves every poll that came before it.
With a read for each poll, a swarm of a thousand small jobs polled the state service out of its limit, and the
leader's renewals and records were refused with the polls.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from roseweir.clock import pause, seconds, steady, within
from roseweir.http import Unreachable
from roseweir.state import StateClient, Trouble
from roseweir.submissions.jobs import LIVE

# The part of the state service's requests that all nodes together may spend on reads for polls.
SHARE = 0.3
# Without polls the view is brought up to date this often, so that no answer has to hold much.
IDLE = timedelta(seconds=5)
# An answer that took longer, or was left lying while this node stood still, is not fresh any more.
FRESH = timedelta(seconds=1.5)

# Tasks done and running of these jobs, as far as the leader can tell.
Progress = Callable[[list[str]], Awaitable[dict[str, tuple[int, int]]]]


class View:
    def __init__(self, state: StateClient, nodes: int, progress: Progress) -> None:
        self.state = state
        self._progress = progress
        self._gap = seconds(nodes / (state.settings.rps * SHARE))
        self._live: set[str] = set()
        self._revision: int | None = None
        self._waiting: list[tuple[str, asyncio.Future[tuple[int, int] | None]]] = []
        self._some = asyncio.Event()

    async def ask(self, job_id: str) -> tuple[int, int] | None:
        """Tasks done and running of a job that lives; None if it does not."""
        future: asyncio.Future[tuple[int, int] | None] = asyncio.get_running_loop().create_future()
        self._waiting.append((job_id, future))
        self._some.set()
        return await future

    async def run(self) -> None:
        while True:
            await within(IDLE, self._some.wait())
            self._some.clear()
            waiting, self._waiting = self._waiting, []
            sent = steady()
            try:
                await self._refresh()
                if steady() - sent > FRESH:
                    raise Trouble("the read took too long")
            except (Trouble, Unreachable) as e:
                for _, future in waiting:
                    if not future.done():
                        future.set_exception(e)
            else:
                await self._answer(waiting)
            await pause(self._gap)

    async def _refresh(self) -> None:
        if self._revision is not None:
            changes = await self.state.watch(LIVE, self._revision, timedelta(0), patience=FRESH)
            if changes is not None:
                items, self._revision = changes
                for item in items:
                    name = item.key.removeprefix(LIVE)
                    if item.value is None:
                        self._live.discard(name)
                    else:
                        self._live.add(name)
                return
        self._revision = None
        # The revision is from before the first page: what changes meanwhile is told by the next watch.
        entries, revision = await self.state.scan(LIVE)
        self._live = {entry.key.removeprefix(LIVE) for entry in entries}
        self._revision = revision

    async def _answer(self, waiting: list[tuple[str, "asyncio.Future[tuple[int, int] | None]"]]) -> None:
        live = sorted({name for name, future in waiting if name in self._live and not future.done()})
        found = await self._progress(live) if live else {}
        for name, future in waiting:
            if not future.done():
                future.set_result(found.get(name, (0, 0)) if name in self._live else None)
