"""Who leads, as far as this node knows: its own term as leader, or the leader that the election has found."""

from typing import Any

from roseweir.clock import monotonic_now
from roseweir.controller.leader import LeaderTerm
from roseweir.http import Transport
from roseweir.leader_election.election import LeaderElection
from roseweir.membership.monitor import MembershipMonitor


class Leadership:
    """This node's term as leader, if it leads, and the way to the leader if it does not."""

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
        """The way to the leader's peer API; None if no leader is known or it is this node."""
        leader = self.leader_election.leader
        return None if leader is None else self._membership.peer_transport(leader.name)

    def describe_node(self) -> dict[str, Any]:
        """The fields of every answer to operators: who answers, and who leads as far as this node knows."""
        leader = self.leader_election.leader
        return {"node": self.node_name, "leader": None if leader is None else leader.name}


def knowledge_age_s(leader_term: LeaderTerm) -> float:
    """The age of the leader's knowledge of submissions and cancellations, in seconds."""
    return round((monotonic_now() - leader_term.worker_handlers.authority.cancellations_read_at).total_seconds(), 1)
