"""Workers whose heartbeats a controller that does not lead has redirected. Pure: the instant is always an argument."""

from collections.abc import Iterable
from datetime import datetime

from roseweir.clock import seconds
from roseweir.leader_election.messages import HeartbeatId

# A redirected worker is with the leader a second later, if it can be; and counts as one that reaches this node only
# for so long.
MIN_REDIRECT_AGE = seconds(1)
MAX_REDIRECT_AGE = seconds(6)
# The oldest is forgotten for one more.
MAX_REDIRECTED_WORKERS = 4096


class RedirectedWorkers:
    """Workers that sent heartbeats to this node while it did not lead: they search for the leader."""

    def __init__(self) -> None:
        self._heartbeats: dict[str, tuple[datetime, HeartbeatId]] = {}

    def record_heartbeat(self, machine: str, heartbeat_id: HeartbeatId, now: datetime) -> None:
        """Record a heartbeat. One that is not newer than the last one here is a late copy, and proves nothing."""
        known = self._heartbeats.get(machine)
        if known is not None and heartbeat_id <= known[1]:
            return
        self._heartbeats.pop(machine, None)
        self._heartbeats[machine] = (now, heartbeat_id)
        if len(self._heartbeats) > MAX_REDIRECTED_WORKERS:
            del self._heartbeats[next(iter(self._heartbeats))]

    def find_redirected(self, machines: Iterable[str], now: datetime) -> dict[str, HeartbeatId]:
        """Return those that came here some moments ago, and would be with the leader by now if they could.

        The values are the newest heartbeats that this node has of them.
        """
        found = {name: self._heartbeats[name] for name in machines if name in self._heartbeats}
        return {
            name: heartbeat_id
            for name, (received_at, heartbeat_id) in found.items()
            if MIN_REDIRECT_AGE <= now - received_at <= MAX_REDIRECT_AGE
        }
