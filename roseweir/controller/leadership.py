"""The leadership as this node observes it: its own term as leader, or the leader that the election reports."""

from typing import Any

from roseweir.clock import monotonic_now
from roseweir.controller.leader import LeaderTerm
from roseweir.http import Transport
from roseweir.leader_election.election import LeaderElection
from roseweir.membership.monitor import MembershipMonitor


class Leadership:
    """This node's term as leader if it leads, and the transport to the leader if it does not."""

    def __init__(self, node_name: str, leader_election: LeaderElection, membership: MembershipMonitor) -> None:
        self.node_name = node_name
        self.leader_election = leader_election
        self._membership = membership
        # None while this node does not lead.
        self.leader_term: LeaderTerm | None = None

    @property
    def ready_term(self) -> LeaderTerm | None:
        """This node's term if it leads and has recovered the cluster state; None otherwise."""
        leader_term = self.leader_term
        return leader_term if leader_term is not None and leader_term.is_ready else None

    def leader_transport(self) -> Transport | None:
        """The transport to the leader's peer API; None if no leader is known or this node leads."""
        leader = self.leader_election.leader
        return None if leader is None else self._membership.peer_transport(leader.name)

    def describe_node(self) -> dict[str, Any]:
        """The fields of every answer to operators: the answering node, and the leader that it knows of."""
        leader = self.leader_election.leader
        return {"node": self.node_name, "leader": None if leader is None else leader.name}


def job_data_age_s(leader_term: LeaderTerm) -> float:
    """The age of the leader's data on submissions and cancellations, in seconds."""
    return round((monotonic_now() - leader_term.heartbeat_handler.authority.cancellations_read_at).total_seconds(), 1)
