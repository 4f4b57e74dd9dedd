"""How long the response to a heartbeat is held back, so that new commands can go out with it."""

from collections.abc import Callable
from datetime import datetime, timedelta

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine

# The response to an idle machine waits for work to assign; the machine has nothing to report meanwhile.
MAX_IDLE_RESPONSE_HOLD = timedelta(milliseconds=1500)
# A heartbeat may have freed resources: its response waits for the next scheduling pass.
MAX_SCHEDULING_HOLD = timedelta(milliseconds=220)
# While commands for the machine are being written to the write-ahead log, the response waits for that.
MAX_COMMIT_HOLD = timedelta(milliseconds=400)


def response_hold_deadline(
    cluster_state: ClusterState,
    machine: Machine,
    held_since: datetime,
    *,
    is_commit_pending: bool,
    may_hold_response: Callable[[], bool],
) -> datetime | None:
    """Return until when the response to a machine's heartbeat may be held, or None if it has to be sent now.

    Args:
        cluster_state: The leader's state; not changed.
        machine: The machine that sent the heartbeat.
        held_since: When the heartbeat arrived (monotonic).
        is_commit_pending: Whether commands for the machine are being written to the write-ahead log.
        may_hold_response: Returns whether one more connection may be kept waiting; called only if needed.
    """
    if machine.name in cluster_state.drain_by_machine:
        return None
    idle_hold = min(MAX_IDLE_RESPONSE_HOLD, cluster_state.settings.params.workers.heartbeat_interval)
    is_reconciled = machine.has_acknowledged_term and not machine.exits_to_clear
    if is_reconciled and not machine.placements and machine.spot_reclaim_at is None:
        return held_since + idle_hold if may_hold_response() else None
    is_reserved = machine.name in cluster_state.headroom.reserved_by_machine
    if is_commit_pending:
        return held_since + (idle_hold if is_reserved else timedelta(0)) + MAX_COMMIT_HOLD
    if is_reserved and is_reconciled and may_hold_response():
        # The reserved headroom is for work that must start at once, without waiting for the next heartbeat.
        return held_since + idle_hold
    if (
        cluster_state.needs_scheduling
        and machine.has_acknowledged_term
        and cluster_state.has_room_for_waiting_task(machine)
    ):
        return held_since + MAX_SCHEDULING_HOLD
    return None
