"""Messages between workers and controllers, with their names on the wire (see the protocol page)."""

from datetime import timedelta
from typing import Annotated, Any

import msgspec
from msgspec import Meta

# A heartbeat is validated as a whole before any of it is applied: a task name that fails to parse later would leave the
# tasks before it in the list applied to the cluster state, and the rest not.
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
    """One task on a machine, as its worker reports it.

    `state` and `exit_reason` are strings rather than enums: values unknown to this version are accepted.
    """

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
    """A heartbeat with status, also the answer of a worker to a direct command.

    `incarnation` starts at 1 and increases each time the worker's lease expires. `sequence` increases with every
    heartbeat and every response to a direct command or status query. Of two messages, the one with the larger
    (incarnation, sequence) is the newer.

    `fencing_token` is the highest term that the worker has received; `reclaim_notice_s` is how many seconds remain
    until a spot machine is reclaimed.
    """

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
    """The part of a heartbeat that is read by a node that is not the leader."""

    machine_name: str
    incarnation: int
    sequence: int
    fencing_token: int


# States of a task (`TaskStatus.state`).
FETCHING_IMAGE = "pulling"
WAITING_FOR_GANG = "gathering"
RUNNING = "running"
SAVING_CHECKPOINT = "saving"
EXITED = "exited"

# Reasons for the exit of a task (`TaskStatus.exit_reason`).
DONE = "done"
STOPPED = "halted"
GANG_PEER_LOST = "mates_gone"
GANG_WAIT_TIMED_OUT = "alone"
ERROR = "error"
INSUFFICIENT_RESOURCES = "no_room"
ATTEMPT_CONFLICT = "in_use"
UNKNOWN_TASK = "unknown"


def run_command(task_id: str, attempt: int) -> dict[str, Any]:
    """Return the command that starts an attempt of a task."""
    return {"verb": "run", "parcel": task_id, "try": attempt}


def stop_command(task_id: str, attempt: int, grace_period: timedelta) -> dict[str, Any]:
    """Return the command that stops an attempt of a task, which has `grace_period` to save a checkpoint."""
    return {"verb": "halt", "parcel": task_id, "try": attempt, "wind_down_s": grace_period.total_seconds()}


def clear_command(task_id: str, attempt: int) -> dict[str, Any]:
    """Return the command that lets a worker discard an attempt that has exited."""
    return {"verb": "clear", "parcel": task_id, "try": attempt}


def heartbeat_response(fencing_token: int | None, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the response to a heartbeat.

    Without a fencing token the worker ignores the commands and keeps its tasks, and its lease is not renewed.
    """
    return {"orders": commands} if fencing_token is None else {"warrant": fencing_token, "orders": commands}


def direct_command(fencing_token: int, incarnation: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the body of a direct command, which only this incarnation of a worker carries out."""
    return {"warrant": fencing_token, "tenure": incarnation, "orders": commands}


def not_leader_response(leader: str | None) -> dict[str, Any]:
    """Return the body of a 421: the address of the leader, if it is known."""
    return {"answers_to": leader} if leader else {}
