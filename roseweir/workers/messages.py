"""The workers' wire names."""

from datetime import timedelta
from typing import Annotated, Any

import msgspec
from msgspec import Meta

# A report is checked whole before anything is taken from it: a task's name that could not be read once left the board
# with what stood before it in the list.
TaskName = Annotated[str, Meta(pattern=r"^j-[0-9]{1,18}/[0-9]{1,6}$")]
Count = Annotated[int, Meta(ge=0)]


class TaskReport(
    msgspec.Struct, rename={"task": "parcel", "attempt": "try", "state": "standing", "why": "cause", "saved": "stored"}
):
    task: TaskName
    attempt: Count
    state: str
    why: str | None = None
    saved: bool | None = None


class Report(
    msgspec.Struct,
    rename={
        "machine": "host",
        "address": "endpoint",
        "type": "build",
        "zone": "yard",
        "spot": "loaners",
        "session": "tenure",
        "seq": "tally",
        "term": "warrant",
        "notice_s": "recall_s",
        "tasks": "parcels",
    },
):
    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: Count
    seq: Count
    term: Count
    tasks: list[TaskReport]
    notice_s: Annotated[float, Meta(ge=0, le=1e9)] | None = None


class Caller(msgspec.Struct, rename={"machine": "host", "session": "tenure", "seq": "tally", "term": "warrant"}):
    """All that a node which does not lead reads of a report."""

    machine: str
    session: int
    seq: int
    term: int


FETCHING = "pulling"
WAITING = "gathering"
RUNNING = "running"
SAVING = "saving"
EXITED = "exited"

DONE = "done"
STOPPED = "halted"
PEERS = "mates_gone"
ALONE = "alone"
ERROR = "error"
NO_ROOM = "no_room"
BUSY = "in_use"
UNKNOWN = "unknown"


def run(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "run", "parcel": task, "try": attempt}


def halt(task: str, attempt: int, grace: timedelta) -> dict[str, Any]:
    return {"verb": "halt", "parcel": task, "try": attempt, "wind_down_s": grace.total_seconds()}


def clear(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "clear", "parcel": task, "try": attempt}


def answer(term: int | None, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """Without a term the worker drops it and stays: nothing is executed, and its lease is not renewed."""
    return {"orders": orders} if term is None else {"warrant": term, "orders": orders}


def direct(term: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"warrant": term, "tenure": session, "orders": orders}


def misdirected(leader: str | None) -> dict[str, Any]:
    return {"answers_to": leader} if leader else {}
