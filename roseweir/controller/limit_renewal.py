"""Renewal of the startup limits that apply for as long as their cause does."""

from datetime import timedelta

from roseweir.clock import monotonic_now, sleep
from roseweir.limits.rules import renew_class_limits, renew_fetch_limits
from roseweir.scheduler.cluster_state import ClusterState

LIMIT_RENEWAL_INTERVAL = timedelta(seconds=1)
STATUS_LOG_INTERVAL = timedelta(seconds=15)


async def renew_limits(cluster_state: ClusterState) -> None:
    """Renew the leases of startup limits until cancelled, and log at intervals what they block.

    Any machine in a zone may fetch images, so the zone's fetch limits apply while it has machines.
    """
    last_logged_at = monotonic_now()
    while True:
        now = monotonic_now()
        machine_groups = [
            (machine.zone, machine.machine_type)
            for machine in cluster_state.machines.values()
            if machine.has_acknowledged_term and not machine.is_marked_for_release
        ]
        renew_fetch_limits(cluster_state.limits, machine_groups, cluster_state.operator_config, now)
        renew_class_limits(cluster_state.limits, cluster_state.operator_config, now)
        if now - last_logged_at >= STATUS_LOG_INTERVAL:
            cluster_state.limits.log_blocked(now)
            cluster_state.log_status()
            last_logged_at = now
        await sleep(LIMIT_RENEWAL_INTERVAL)
