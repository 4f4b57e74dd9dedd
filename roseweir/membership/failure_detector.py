"""The leader's failure detector for the network path from its workers. Pure: the current instant is an argument.

A valid lease shows only that the key-value store can be reached, and a peer's answer only that the peer can be reached.
So each decision of this package is based on the network path that it concerns, and a missing answer of a node counts
neither for nor against that node.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from roseweir.clock import PROCESS_PAUSE_THRESHOLD, seconds

# Other packages import it from here.
from roseweir.leader_election.leader_search import LeaderSearch as LeaderSearch

# Interval of the leader's checks for missed heartbeats, and how many checks in a row must find most of them missing.
HEARTBEAT_CHECK_INTERVAL = seconds(0.25)
MIN_CONSECUTIVE_MISSES = 2


class HeartbeatCheckResult(Enum):
    """What one check of the heartbeats shows."""

    HEALTHY = 0
    PROCESS_PAUSED = 1  # this process was paused, so its state may be out of date
    HEARTBEATS_MISSED = 2  # those of most workers are overdue, in MIN_CONSECUTIVE_MISSES punctual checks in a row


@dataclass(slots=True)
class HeartbeatMonitor:
    """Evaluates a leader's periodic checks for missed heartbeats.

    Attributes:
        consecutive_misses: Number of punctual checks in a row in which most heartbeats were overdue.
        pause_duration: Duration of the last pause of this process that a check detected.
    """

    consecutive_misses: int = 0
    pause_duration: timedelta = field(default=timedelta(0))

    def evaluate(
        self, wait_started_at: datetime, now: datetime, overdue_workers: Mapping[str, str]
    ) -> HeartbeatCheckResult:
        """Evaluate one check.

        High load delays the checks as well as the heartbeats, so only punctual checks count.

        Args:
            wait_started_at: When the wait of HEARTBEAT_CHECK_INTERVAL before this check began.
            now: The current instant.
            overdue_workers: The workers whose heartbeats are overdue if they are most of all, else none.
        """
        elapsed = now - wait_started_at
        if elapsed > HEARTBEAT_CHECK_INTERVAL + PROCESS_PAUSE_THRESHOLD:
            self.consecutive_misses = 0
            self.pause_duration = elapsed - HEARTBEAT_CHECK_INTERVAL
            return HeartbeatCheckResult.PROCESS_PAUSED
        self.consecutive_misses = (
            self.consecutive_misses + 1 if overdue_workers and elapsed < HEARTBEAT_CHECK_INTERVAL * 2 else 0
        )
        if self.consecutive_misses < MIN_CONSECUTIVE_MISSES:
            return HeartbeatCheckResult.HEALTHY
        self.consecutive_misses = 0
        return HeartbeatCheckResult.HEARTBEATS_MISSED
