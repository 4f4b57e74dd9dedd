"""Decides which silent machines are hung and will recover, and which are lost. Pure: no I/O, and no clock.

A connection attempt to a machine that is powered off, or behind a network partition, times out. The operating system of
a hung machine still accepts the connection, but its worker does not answer. So silent machines are probed: one that
accepts the connection is kept, one that does not is released sooner than after `silence_timeout`. Without probes, 200
machines that hung for less than their lease were released after two missed heartbeats, and their replacements took 50 s
to boot (simulated day, a failure of many machines at once at 1.8 times the usual fleet size).

- A hung machine is lost MAX_HUNG_LEASES leases after its last heartbeat.
- A machine that accepts no connection is lost once its heartbeat is overdue and MIN_FAILED_PROBES probes have failed,
  provided that most of its zone sends heartbeats: a partition would silence the zone, not a single machine. The release
  proves that its tasks are gone.
- A machine that could not be probed is lost after `silence_timeout`.
"""

import logging
from datetime import datetime, timedelta

from roseweir.clock import ZERO
from roseweir.scheduler.cluster_state import LEADER_SEARCH_TOLERANCE, ClusterState
from roseweir.scheduler.model import Machine
from roseweir.scheduler.one_way_partition import mark_unreachable, unsent_placement_keys

log = logging.getLogger(__name__)

# A heartbeat is at most a quarter of its interval late. The grace covers a response that was held, which delays the
# next heartbeat.
LATEST_HEARTBEAT_FACTOR = 1.25
HEARTBEAT_OVERDUE_GRACE = timedelta(seconds=2.5)
PROBE_INTERVAL = timedelta(seconds=1)
PROBE_TIMEOUT = timedelta(milliseconds=500)
MIN_FAILED_PROBES = 2
MAX_HUNG_LEASES = 2


def silence_timeout(cluster_state: ClusterState) -> timedelta:
    """How long a machine that could not be probed may send no heartbeat before it is lost."""
    return min(
        cluster_state.settings.params.workers.heartbeat_interval * 2 + LEADER_SEARCH_TOLERANCE,
        cluster_state.max_lease_duration,
    )


def heartbeat_overdue_after(cluster_state: ClusterState) -> timedelta:
    """Time since the last heartbeat from which the next one is overdue."""
    interval = cluster_state.settings.params.workers.heartbeat_interval
    return interval * LATEST_HEARTBEAT_FACTOR + HEARTBEAT_OVERDUE_GRACE


def machines_to_probe(cluster_state: ClusterState, now: datetime) -> list[Machine]:
    """Return the silent machines to probe now, most recent heartbeat first: their tasks can still be saved."""
    overdue_after = heartbeat_overdue_after(cluster_state)
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
    """Record whether a probe's connection was accepted.

    A failed probe that took much longer than its timeout is not counted: this node was probably overloaded. A heartbeat
    since the probe proves that a silent machine is alive, but proves nothing about a machine that is suspected of a
    one-way partition: such a machine keeps sending heartbeats. For it, a probe that got no valid response counts as
    failed even if the connection was accepted, since a valid response would have ended the suspicion.
    """
    if machine.last_heartbeat_at >= probed_at and not machine.is_suspected:
        return
    if is_connected and not machine.is_suspected:
        machine.is_hung, machine.missed_probe_count = True, 0
    elif now - probed_at <= PROBE_TIMEOUT * 2:
        machine.is_hung = False
        machine.missed_probe_count += 1
        if machine.missed_probe_count >= MIN_FAILED_PROBES and mark_unreachable(machine, now):
            log.info("one-way partition: machine=%s heartbeats=received responses=lost commands=lost", machine.name)
            for task_id in unsent_placement_keys(machine):
                cluster_state.request_stop(machine.placements[task_id], ZERO, now)


def is_lost(cluster_state: ClusterState, machine: Machine, now: datetime) -> bool:
    """Whether the machine has been silent or unreachable for too long, and should be released."""
    if machine.is_unreachable:
        return now - machine.unreachable_since > cluster_state.max_lease_duration
    silent_for = cluster_state.time_since_heartbeat(machine, now)
    if machine.is_hung:
        return silent_for > cluster_state.max_lease_duration * MAX_HUNG_LEASES
    return silent_for > silence_timeout(cluster_state) or (
        machine.missed_probe_count >= MIN_FAILED_PROBES and silent_for > heartbeat_overdue_after(cluster_state)
    )


def counts_as_capacity(cluster_state: ClusterState, machine: Machine, now: datetime) -> bool:
    """Whether the machine counts as capacity: it is running, or hung and expected to recover."""
    return cluster_state.time_since_heartbeat(machine, now) <= cluster_state.max_lease_duration * (
        MAX_HUNG_LEASES if machine.is_hung else 1
    )
