"""The leader's failure detector for its own way to the workers. Pure: the current instant is always an argument.

Holding the lease proves only the way to the key-value store, and an answer of a peer only the way to that peer. So each
conclusion of this package names the way it rests on, and no answer at all never counts for or against anybody.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from roseweir.clock import PROCESS_PAUSE_THRESHOLD, seconds

# Other packages import it from here.
from roseweir.leader_election.leader_search import LeaderSearch as LeaderSearch

# How often the leader checks whether heartbeats have come, and how many checks in a row must miss most of them.
HEARTBEAT_CHECK_INTERVAL = seconds(0.25)
MIN_CONSECUTIVE_MISSES = 2


class HeartbeatVerdict(Enum):
    """What one check of the heartbeats shows."""

    HEALTHY = 0
    PROCESS_PAUSED = 1  # this process was paused: what it knows may be out of date
    HEARTBEATS_MISSED = 2  # by most workers, in checks on time, and more than once


@dataclass(slots=True)
class HeartbeatMonitor:
    """A leader's checks whether its workers' heartbeats come.

    Attributes:
        consecutive_misses: Checks on time in a row that missed most heartbeats.
        pause_duration: For how long this process was paused, as of the last check that found it so.
    """

    consecutive_misses: int = 0
    pause_duration: timedelta = field(default=timedelta(0))

    def evaluate(
        self, wait_started_at: datetime, now: datetime, overdue_workers: Mapping[str, str]
    ) -> HeartbeatVerdict:
        """Evaluate one check.

        A loaded moment delays the check as well as the heartbeats, so only checks on time count.

        Args:
            wait_started_at: When the wait of HEARTBEAT_CHECK_INTERVAL before this check began.
            now: The current instant.
            overdue_workers: The workers whose heartbeats are overdue if they are most of all, else none.
        """
        elapsed = now - wait_started_at
        if elapsed > HEARTBEAT_CHECK_INTERVAL + PROCESS_PAUSE_THRESHOLD:
            self.consecutive_misses = 0
            self.pause_duration = elapsed - HEARTBEAT_CHECK_INTERVAL
            return HeartbeatVerdict.PROCESS_PAUSED
        self.consecutive_misses = (
            self.consecutive_misses + 1 if overdue_workers and elapsed < HEARTBEAT_CHECK_INTERVAL * 2 else 0
        )
        if self.consecutive_misses < MIN_CONSECUTIVE_MISSES:
            return HeartbeatVerdict.HEALTHY
        self.consecutive_misses = 0
        return HeartbeatVerdict.HEARTBEATS_MISSED
