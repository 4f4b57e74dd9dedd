"""Whether a leader may still answer heartbeats and start tasks, by how old its knowledge of cancellations is."""

from datetime import datetime, timedelta

from roseweir.clock import NEVER
from roseweir.leader_election.election import LeaderLease
from roseweir.scheduler.cluster_state import ClusterState

# Nothing starts while cancellations were last read longer ago: the watch of the key-value store returns each second.
MAX_CANCELLATION_STALENESS = timedelta(seconds=5)


class AnswerAuthority:
    """What a leader's lease and its reads of cancellations allow it to tell workers, for one term.

    Attributes:
        cancellations_read_at: Every cancellation that was accepted up to then is known (monotonic).
    """

    def __init__(self, cluster_state: ClusterState, leader_lease: LeaderLease) -> None:
        """Allow nothing until cancellations have been read."""
        self.cluster_state = cluster_state
        self.leader_lease = leader_lease
        self.cancellations_read_at = NEVER

    def begin(self, sent_at: datetime) -> None:
        """Note that the state which this term starts from was read by requests sent at `sent_at`."""
        self.cancellations_read_at = sent_at

    def record_cancellations_read(self, sent_at: datetime) -> None:
        """Note that cancellations were read by a request sent at `sent_at`; an older one changes nothing."""
        self.cancellations_read_at = max(self.cancellations_read_at, sent_at)

    @property
    def cancellations_known_at(self) -> datetime:
        """The time up to which every cancellation is known, and nobody else led."""
        return min(self.cancellations_read_at, self.leader_lease.confirmed_at)

    def may_answer(self, now: datetime) -> bool:
        """Whether heartbeats may be answered: later, another leader may have accepted unknown cancellations.

        The time counts from the renewal of our lease as well. A leader whose renewals failed while its watch went on
        kept leases alive for longer than its successor counts on, and tasks ran twice.
        """
        return (
            now - self.cancellations_known_at < self.cluster_state.stale_cancellation_window
            and not self.leader_lease.ended.is_set()
        )

    def may_start_tasks(self, now: datetime) -> bool:
        """Whether tasks may be started: the lease is valid, and cancellations have been read recently.

        The lease alone is not enough. A lease that an outage left to us is renewed before cancellations are read
        again, and tasks of jobs that users had cancelled meanwhile at other nodes were started.
        """
        return self.leader_lease.is_valid() and now - self.cancellations_read_at < MAX_CANCELLATION_STALENESS
