"""Workers that a controller other than the leader has redirected. Pure: the current instant is always an argument."""

from collections.abc import Iterable
from datetime import datetime

from roseweir.clock import seconds
from roseweir.leader_election.messages import HeartbeatId

# A redirected worker that can reach the leader does so within this time.
MIN_REDIRECT_AGE = seconds(1)
# A heartbeat older than this does not show any more that the worker can reach this node.
MAX_REDIRECT_AGE = seconds(6)
# When this limit is exceeded, the worker with the oldest heartbeat is removed.
MAX_REDIRECTED_WORKERS = 4096


class RedirectedWorkers:
    """Workers that search for the leader: they sent heartbeats to this node while it did not lead."""

    def __init__(self) -> None:
        self._heartbeats: dict[str, tuple[datetime, HeartbeatId]] = {}

    def record_heartbeat(self, worker_name: str, heartbeat_id: HeartbeatId, now: datetime) -> None:
        """Record a heartbeat, unless it is a late delivery, that is, not newer than the worker's last one."""
        last_heartbeat = self._heartbeats.get(worker_name)
        if last_heartbeat is not None and heartbeat_id <= last_heartbeat[1]:
            return
        self._heartbeats.pop(worker_name, None)
        self._heartbeats[worker_name] = (now, heartbeat_id)
        if len(self._heartbeats) > MAX_REDIRECTED_WORKERS:
            del self._heartbeats[next(iter(self._heartbeats))]

    def find_redirected(self, worker_names: Iterable[str], now: datetime) -> dict[str, HeartbeatId]:
        """Return those of the workers that were redirected recently, but long enough ago to have reached the leader.

        The values are the ids of the newest heartbeats that this node received from them.
        """
        heartbeats = {name: self._heartbeats[name] for name in worker_names if name in self._heartbeats}
        return {
            name: heartbeat_id
            for name, (received_at, heartbeat_id) in heartbeats.items()
            if MIN_REDIRECT_AGE <= now - received_at <= MAX_REDIRECT_AGE
        }
