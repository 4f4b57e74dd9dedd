"""Whether a leader may answer heartbeats and start tasks, given the age of its last read of cancellations."""

from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.leader_election.election import LeaderLease
from roseweir.scheduler.cluster_state import ClusterState

# No task is started if the last read of cancellations is older. The watch of the key-value store returns each second.
MAX_CANCELLATION_STALENESS = timedelta(seconds=5)


class AnswerAuthority:
    """Decides from a leader's lease and its reads of cancellations what it may send to workers, for one term.

    Attributes:
        cancellations_read_at: Time up to which every accepted cancellation has been read (monotonic).
    """

    def __init__(self, cluster_state: ClusterState, leader_lease: LeaderLease) -> None:
        """Allow nothing until cancellations have been read."""
        self.cluster_state = cluster_state
        self.leader_lease = leader_lease
        self.cancellations_read_at = NEVER

    def record_recovery_read(self, sent_at: datetime) -> None:
        """Record that the initial state of this term was read by requests sent at `sent_at`."""
        self.cancellations_read_at = sent_at

    def record_cancellations_read(self, sent_at: datetime) -> None:
        """Record that cancellations were read by a request sent at `sent_at`; an older one changes nothing."""
        self.cancellations_read_at = max(self.cancellations_read_at, sent_at)

    @property
    def cancellations_complete_until(self) -> datetime:
        """Time up to which every accepted cancellation has been read, and no other controller was the leader."""
        return min(self.cancellations_read_at, self.leader_lease.confirmed_at)

    def may_answer(self, now: datetime) -> bool:
        """Whether heartbeats may be answered: after the window, another leader may have accepted unread cancellations.

        The window counts from the last read of cancellations or the last confirmation of the leadership, whichever is
        earlier. Otherwise a leader whose renewals fail while its watch still works would renew workers' leases for
        longer than its successor assumes, and tasks would run twice.
        """
        return (
            now - self.cancellations_complete_until < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        )

    def may_start_tasks(self, now: datetime) -> bool:
        """Whether tasks may be started: the lease is valid, and cancellations have been read recently.

        A valid lease is not enough: after an outage the lease is renewed before cancellations are read again, and
        tasks of jobs that users had cancelled at other nodes during the outage would be started.
        """
        return self.leader_lease.is_valid() and now - self.cancellations_read_at < MAX_CANCELLATION_STALENESS
