"""An event loop with virtual time: waits take no real time, and every run is deterministic."""

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
            raise RuntimeError("deadlock: no task can run and no timer is set")
        self.now += max(0.0, timeout)
        return []


class PauseGate:
    """Suspends the tasks of a paused process: none of them takes a step until the gate is resumed.

    The clock and the timers go on meanwhile: on resume, all events and timeouts of the pause reach the process at one
    instant.
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
        resumed, self._resumed = self._resumed, None
        if resumed is not None and not resumed.done():
            resumed.set_result(None)

    def resumed_future(self) -> "asyncio.Future[None] | None":
        return self._resumed


class _PausableCoroutine(Coroutine[Any, Any, Any]):
    """A coroutine that takes no step while its gate is paused."""

    def __init__(self, inner: Coroutine[Any, Any, Any], pause_gate: PauseGate) -> None:
        self.inner, self.pause_gate = inner, pause_gate
        self._held_error: tuple[Any, ...] | None = None

    def _wait_if_paused(self) -> Any:
        resumed = self.pause_gate.resumed_future()
        if resumed is None:
            return None
        # Each task awaits its own future, so that cancelling the task does not resume the gate.
        step_allowed = asyncio.get_running_loop().create_future()
        resumed.add_done_callback(lambda _: None if step_allowed.done() else step_allowed.set_result(None))
        step_allowed._asyncio_future_blocking = True
        return step_allowed

    def send(self, value: Any) -> Any:
        pause_future = self._wait_if_paused()
        if pause_future is not None:
            return pause_future
        held_error, self._held_error = self._held_error, None
        return self.inner.send(value) if held_error is None else self.inner.throw(*held_error)

    def throw(self, *error: Any) -> Any:
        pause_future = self._wait_if_paused()
        if pause_future is not None:
            self._held_error = error
            return pause_future
        self._held_error = None
        return self.inner.throw(*error)

    def close(self) -> None:
        self.inner.close()

    def __await__(self) -> Generator[Any, Any, Any]:
        raise TypeError("only a task may run this coroutine")


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
