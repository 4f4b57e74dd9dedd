"""The workers' wire names."""

from datetime import timedelta
from typing import Annotated, Any

import msgspec
from msgspec import Meta

# A report is checked whole before anything is taken from it: a task's name that could not be read once left the board
# with what stood before it in the list.
TaskName = Annotated[str, Meta(pattern=r"^j-[0-9]{1,18}/[0-9]{1,6}$")]
NonNegativeInt = Annotated[int, Meta(ge=0)]


class TaskStatus(
    msgspec.Struct,
    rename={
        "task_id": "parcel",
        "attempt": "try",
        "state": "standing",
        "exit_reason": "cause",
        "checkpoint_saved": "stored",
    },
):
    task_id: TaskName
    attempt: NonNegativeInt
    state: str
    exit_reason: str | None = None
    checkpoint_saved: bool | None = None


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine_name": "host",
        "address": "endpoint",
        "machine_type": "build",
        "zone": "yard",
        "is_spot": "loaners",
        "incarnation": "tenure",
        "sequence": "tally",
        "fencing_token": "warrant",
        "reclaim_notice_s": "recall_s",
        "tasks": "parcels",
    },
):
    machine_name: str
    address: str
    machine_type: str
    zone: str
    is_spot: bool
    incarnation: NonNegativeInt
    sequence: NonNegativeInt
    fencing_token: NonNegativeInt
    tasks: list[TaskStatus]
    reclaim_notice_s: Annotated[float, Meta(ge=0, le=1e9)] | None = None


class HeartbeatHeader(
    msgspec.Struct,
    rename={"machine_name": "host", "incarnation": "tenure", "sequence": "tally", "fencing_token": "warrant"},
):
    """All that a node which does not lead reads of a report."""

    machine_name: str
    incarnation: int
    sequence: int
    fencing_token: int


FETCHING_IMAGE = "pulling"
WAITING_FOR_GANG = "gathering"
RUNNING = "running"
SAVING_CHECKPOINT = "saving"
EXITED = "exited"

DONE = "done"
STOPPED = "halted"
GANG_PEER_LOST = "mates_gone"
GANG_WAIT_TIMED_OUT = "alone"
ERROR = "error"
INSUFFICIENT_RESOURCES = "no_room"
ATTEMPT_CONFLICT = "in_use"
UNKNOWN_TASK = "unknown"


def run_command(task_id: str, attempt: int) -> dict[str, Any]:
    return {"verb": "run", "parcel": task_id, "try": attempt}


def stop_command(task_id: str, attempt: int, grace_period: timedelta) -> dict[str, Any]:
    return {"verb": "halt", "parcel": task_id, "try": attempt, "wind_down_s": grace_period.total_seconds()}


def clear_command(task_id: str, attempt: int) -> dict[str, Any]:
    return {"verb": "clear", "parcel": task_id, "try": attempt}


def heartbeat_response(fencing_token: int | None, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Without a term the worker drops it and stays: nothing is executed, and its lease is not renewed."""
    return {"orders": commands} if fencing_token is None else {"warrant": fencing_token, "orders": commands}


def direct_command(fencing_token: int, incarnation: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    return {"warrant": fencing_token, "tenure": incarnation, "orders": commands}


def not_leader_response(leader: str | None) -> dict[str, Any]:
    return {"answers_to": leader} if leader else {}
