"""An event loop whose time is virtual: a wait costs nothing, and every run goes the same way."""

import asyncio
import selectors
from collections.abc import Coroutine, Generator
from contextvars import Context, ContextVar, copy_context
from typing import Any

_GATE: ContextVar["Gate | None"] = ContextVar("gate", default=None)


class _Jump(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("everybody waits for nothing")
        self.now += max(0.0, timeout)
        return []


class Gate:
    """What a paused process stands before: none of its routines takes a step while it is shut.

    The clock goes on meanwhile, and so do the timers: on waking, all that came or ran out reaches the
    process in one instant.
    """

    def __init__(self) -> None:
        self._waiting: asyncio.Future[None] | None = None

    def context(self) -> Context:
        context = copy_context()
        context.run(_GATE.set, self)
        return context

    def shut(self) -> None:
        if self._waiting is None:
            self._waiting = asyncio.get_running_loop().create_future()

    def open(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def wait(self) -> "asyncio.Future[None] | None":
        return self._waiting


class _Gated(Coroutine[Any, Any, Any]):
    """A coroutine whose steps wait while its gate is shut."""

    def __init__(self, inner: Coroutine[Any, Any, Any], gate: Gate) -> None:
        self.inner, self.gate = inner, gate
        self._held: tuple[Any, ...] | None = None

    def _park(self) -> Any:
        waiting = self.gate.wait()
        if waiting is None:
            return None
        # What a task awaits: a future of its own, so that cancelling the task does not open the gate.
        mine = asyncio.get_running_loop().create_future()
        waiting.add_done_callback(lambda _: None if mine.done() else mine.set_result(None))
        mine._asyncio_future_blocking = True
        return mine

    def send(self, value: Any) -> Any:
        parked = self._park()
        if parked is not None:
            return parked
        held, self._held = self._held, None
        return self.inner.send(value) if held is None else self.inner.throw(*held)

    def throw(self, *error: Any) -> Any:
        parked = self._park()
        if parked is not None:
            self._held = error
            return parked
        self._held = None
        return self.inner.throw(*error)

    def close(self) -> None:
        self.inner.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        raise TypeError("a task drives it")


def _factory(
    loop: asyncio.AbstractEventLoop, coro: Any, context: Context | None = None, **more: Any
) -> "asyncio.Task[Any]":
    gate = _GATE.get() if context is None else context.get(_GATE, None)
    return asyncio.Task(coro if gate is None else _Gated(coro, gate), loop=loop, context=context, **more)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jump = _Jump()
        super().__init__(self.jump)
        self.set_task_factory(_factory)

    def time(self) -> float:
        return self.jump.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
