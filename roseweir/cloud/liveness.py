"""Which silent machines hang and will go on, and which are gone. Pure.

A machine without power, or behind a cut, lets a connection attempt run out. One that hangs has an operating system
that takes the connection, and only its worker says nothing. So a silent machine is asked: one that takes the connection
is waited for, one that does not is given back sooner than patience alone would allow. Before, 200 machines that hung
for less than their lease were given back after two reports, and others booted for 50 s in their place (own day,
mass-fall at 1.8 times the size).

Bounds: a machine that hangs is waited for HANGS leases from its last report. One that takes no connection goes after
OVERDUE and MISSES attempts, if most of its zone is heard: what holds for it alone is not a cut, and its release proves
its tasks gone. One that could not be asked goes after `patience`, as if there were nobody to ask.
"""

import logging
from datetime import datetime, timedelta

from roseweir.clock import ZERO
from roseweir.scheduler.cluster_state import LEADER_SEARCH_TOLERANCE, ClusterState
from roseweir.scheduler.model import Machine
from roseweir.scheduler.one_way_partition import mark_unreachable, unsent_placement_keys

log = logging.getLogger(__name__)

# A report comes a quarter of its interval late at most, and its answer may have been held: this much more is overdue.
HEARTBEAT_OVERDUE_GRACE = timedelta(seconds=2.5)
# How often a silent machine is asked, how long an attempt may take, and how many must fail.
PROBE_INTERVAL, PROBE_TIMEOUT, MIN_FAILED_PROBES = timedelta(seconds=1), timedelta(milliseconds=500), 2
MAX_HUNG_LEASES = 2


def silence_timeout(cluster_state: ClusterState) -> timedelta:
    """How long a machine may be silent of which nothing else is known."""
    return min(
        cluster_state.settings.params.workers.heartbeat_interval * 2 + LEADER_SEARCH_TOLERANCE,
        cluster_state.max_lease_duration,
    )


def machines_to_probe(cluster_state: ClusterState, now: datetime) -> list[Machine]:
    """Silent machines that should be asked now, those silent for the shortest first: their tasks can still be saved."""
    overdue_after = cluster_state.settings.params.workers.heartbeat_interval * 1.25 + HEARTBEAT_OVERDUE_GRACE
    silent_machines = [
        m
        for m in cluster_state.machines.values()
        if not m.is_booting
        and not m.is_marked_for_release
        and m.address
        and now - m.last_probe_at >= PROBE_INTERVAL
        and (m.is_suspected or cluster_state.time_since_heartbeat(m, now) > overdue_after)
    ]
    silent_machines.sort(key=lambda m: (cluster_state.time_since_heartbeat(m, now), m.name))
    return silent_machines


def record_probe_result(
    cluster_state: ClusterState, machine: Machine, probed_at: datetime, is_connected: bool, now: datetime
) -> None:
    """What came of asking. An attempt that ran out late says more about this node than about the machine.

    A report since then says that a silent machine lives, and nothing about one in doubt: its reports come all the time.
    """
    if machine.last_heartbeat_at >= probed_at and not machine.is_suspected:
        return
    if is_connected and not machine.is_suspected:
        machine.is_hung, machine.missed_probe_count = True, 0
    elif now - probed_at <= PROBE_TIMEOUT * 2:
        machine.is_hung = False
        machine.missed_probe_count += 1
        if machine.missed_probe_count >= MIN_FAILED_PROBES and mark_unreachable(machine, now):
            log.info("machine %s is heard, and neither answers nor commands reach it", machine.name)
            for task_id in unsent_placement_keys(machine):
                cluster_state.request_stop(machine.placements[task_id], ZERO, now)


def is_lost(cluster_state: ClusterState, machine: Machine, now: datetime) -> bool:
    """Whether it should go back: it has been silent, and waiting for it pays no longer."""
    if machine.is_unreachable:
        return now - machine.unreachable_since > cluster_state.max_lease_duration
    silent_for = cluster_state.time_since_heartbeat(machine, now)
    if machine.is_hung:
        return silent_for > cluster_state.max_lease_duration * MAX_HUNG_LEASES
    return silent_for > silence_timeout(cluster_state) or (
        machine.missed_probe_count >= MIN_FAILED_PROBES
        and silent_for > cluster_state.settings.params.workers.heartbeat_interval * 1.25 + HEARTBEAT_OVERDUE_GRACE
    )


def counts_as_capacity(cluster_state: ClusterState, machine: Machine, now: datetime) -> bool:
    """Whether it counts as capacity: it runs, or is expected to go on."""
    return cluster_state.time_since_heartbeat(machine, now) <= cluster_state.max_lease_duration * (
        MAX_HUNG_LEASES if machine.is_hung else 1
    )
