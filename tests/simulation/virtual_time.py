"""An event loop whose time is virtual: a wait costs nothing, and every run goes the same way."""

import asyncio
import selectors
from collections.abc import Coroutine, Generator
from contextvars import Context, ContextVar, copy_context
from typing import Any

_PAUSE_GATE: ContextVar["PauseGate | None"] = ContextVar("gate", default=None)


class _TimeJumpSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("everybody waits for nothing")
        self.now += max(0.0, timeout)
        return []


class PauseGate:
    """What a paused process stands before: none of its routines takes a step while it is shut.

    The clock goes on meanwhile, and so do the timers: on waking, all that came or ran out reaches the
    process in one instant.
    """

    def __init__(self) -> None:
        self._resumed: asyncio.Future[None] | None = None

    def context(self) -> Context:
        context = copy_context()
        context.run(_PAUSE_GATE.set, self)
        return context

    def pause(self) -> None:
        if self._resumed is None:
            self._resumed = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        waiting, self._resumed = self._resumed, None
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def resumed_future(self) -> "asyncio.Future[None] | None":
        return self._resumed


class _PausableCoroutine(Coroutine[Any, Any, Any]):
    """A coroutine whose steps wait while its gate is shut."""

    def __init__(self, inner: Coroutine[Any, Any, Any], pause_gate: PauseGate) -> None:
        self.inner, self.pause_gate = inner, pause_gate
        self._held_error: tuple[Any, ...] | None = None

    def _wait_if_paused(self) -> Any:
        waiting = self.pause_gate.resumed_future()
        if waiting is None:
            return None
        # What a task awaits: a future of its own, so that cancelling the task does not open the gate.
        own_future = asyncio.get_running_loop().create_future()
        waiting.add_done_callback(lambda _: None if own_future.done() else own_future.set_result(None))
        own_future._asyncio_future_blocking = True
        return own_future

    def send(self, value: Any) -> Any:
        parked = self._wait_if_paused()
        if parked is not None:
            return parked
        held, self._held_error = self._held_error, None
        return self.inner.send(value) if held is None else self.inner.throw(*held)

    def throw(self, *error: Any) -> Any:
        parked = self._wait_if_paused()
        if parked is not None:
            self._held_error = error
            return parked
        self._held_error = None
        return self.inner.throw(*error)

    def close(self) -> None:
        self.inner.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        raise TypeError("a task drives it")


def _create_task(
    loop: asyncio.AbstractEventLoop, coro: Any, context: Context | None = None, **options: Any
) -> "asyncio.Task[Any]":
    gate = _PAUSE_GATE.get() if context is None else context.get(_PAUSE_GATE, None)
    return asyncio.Task(coro if gate is None else _PausableCoroutine(coro, gate), loop=loop, context=context, **options)


class VirtualEventLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = _TimeJumpSelector()
        super().__init__(self.selector)
        self.set_task_factory(_create_task)

    def time(self) -> float:
        return self.selector.now


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=VirtualEventLoop) as runner:
        return runner.run(main)
