"""Which machines tasks may be started on."""

from datetime import datetime

from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine


def schedulable_machines(cluster_state: ClusterState, now: datetime) -> list[Machine]:
    """Return the machines on which tasks may be started at `now`, in the cluster state's order."""
    return [
        m
        for m in cluster_state.machines.values()
        if m.has_acknowledged_term
        and not m.is_marked_for_release
        and not m.is_suspected
        and m.spot_reclaim_at is None
        and m.unhealthy_until <= now
        and m.name not in cluster_state.drain_by_machine
        and cluster_state.is_heartbeat_current(m, now)
    ]
