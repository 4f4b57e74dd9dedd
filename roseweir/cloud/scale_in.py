"""Which machines to release to the cloud, and why. Pure."""

from collections.abc import Container
from datetime import datetime, timedelta
from enum import StrEnum
from typing import NamedTuple

from roseweir.clock import NEVER, seconds
from roseweir.cloud.boot_times import FAILED_BOOT_FACTOR, boot_slowdown
from roseweir.cloud.liveness import is_lost, silence_timeout
from roseweir.scheduler.capacity_snapshot import allows_machine
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.scheduler.scheduling_pass import SchedulingPassResult
from roseweir.submissions.jobs import JobSpec, MachineType

# The cloud charges a machine for a minute at least.
MIN_CHARGED_DURATION = timedelta(seconds=60)
# Machines of an offer that no leader on record has been able to rent are kept this many times longer.
UNCERTAIN_OFFER_FACTOR = 3
# An idle machine is kept this many times as long as another takes to boot, and for the shortest time at least.
IDLE_BOOT_FACTOR = 1.5
MIN_IDLE_TIMEOUT = seconds(20)
# Added to the time after which a boot has failed.
FAILED_BOOT_GRACE = seconds(10)
# Added to two heartbeat intervals, after which a spot instance that is being reclaimed counts as gone.
RECLAIM_SILENCE_GRACE = seconds(1)


class ReleaseReason(StrEnum):
    """Why a machine is released; the values stand in the log."""

    ALREADY_RELEASING = "leaving"
    BOOT_FAILED = "never came up"
    SILENT = "silent"
    UNREACHABLE = "deaf"
    GPUS_IDLE = "GPUs idle"
    IDLE = "idle"


class MachineRelease(NamedTuple):
    """A machine to release."""

    machine: Machine
    reason: ReleaseReason


def idle_timeout(machine_type: MachineType) -> timedelta:
    """Keeping an idle machine as long as it takes to boot another costs at most twice the best choice."""
    return max(machine_type.boot_duration * IDLE_BOOT_FACTOR, MIN_IDLE_TIMEOUT)


def _update_zone_contact(cluster_state: ClusterState, silent_by_zone: dict[str, list[bool]], now: datetime) -> None:
    """Record since when most machines of each zone, and of all zones, have been heard.

    While most of a zone is silent it may only be partitioned from this node, and its tasks go on. Once the zone is
    heard again, or after a failover, the last workers to send a heartbeat are not at fault either: 276 machines were
    released so within seconds of the end of a partition and a failover (measured, see the journal).
    """
    all_silent = [silent for zones in silent_by_zone.values() for silent in zones]
    for zone, silent in silent_by_zone.items():
        if sum(silent) * 2 <= max(len(silent), 2) and sum(all_silent) * 3 <= max(len(all_silent), 3):
            cluster_state.zone_responsive_since.setdefault(zone, now)
        else:
            cluster_state.zone_responsive_since.pop(zone, None)


def _has_idle_gpus(
    cluster_state: ClusterState, machine: Machine, waiting_specs: list[JobSpec], idle_limit: timedelta, now: datetime
) -> bool:
    """CPU-only work on a GPU machine must not keep it: the machine is paid for its GPUs."""
    return (
        machine.machine_type.gpus > 0
        and machine.gpu_task_count == 0
        and machine.spot_reclaim_at is None
        and machine.gpus_idle_since != NEVER
        and now - machine.gpus_idle_since > idle_limit
        and now - machine.scaled_out_at > MIN_CHARGED_DURATION
        and now >= cluster_state.overflow_until
        and not any(
            allows_machine(spec, machine) and spec.gpus > 0 and spec.fits_machine_type(machine.machine_type)
            for spec in waiting_specs
        )
    )


def plan_scale_in(
    cluster_state: ClusterState,
    scheduling_pass: SchedulingPassResult,
    now: datetime,
    retained: Container[str] = frozenset(),
) -> list[MachineRelease]:
    """Machines to release, and why. Those named in `retained` are kept for expected work though they are idle.

    Also updates since when the machines of each zone have been heard (`cluster_state.zone_responsive_since`).
    """
    _update_zone_contact(cluster_state, _silence_by_zone(cluster_state, now), now)
    slowdown = boot_slowdown(cluster_state, now)
    waiting_specs = [run.spec for run, _ in scheduling_pass.unplaced]
    idle_limits = {machine_type.name: idle_timeout(machine_type) for machine_type in cluster_state.catalog.values()}
    silence_limit = silence_timeout(cluster_state)
    releases: list[MachineRelease] = []
    for machine in cluster_state.machines.values():
        type_name = machine.machine_type.name
        reason: ReleaseReason | None
        if machine.is_marked_for_release:
            reason = ReleaseReason.ALREADY_RELEASING
        elif machine.is_booting:
            has_failed = _has_failed_to_boot(machine, slowdown[type_name], silence_limit, now)
            reason = ReleaseReason.BOOT_FAILED if has_failed else None
        else:
            reason = _loss_reason(cluster_state, machine, silence_limit, now)
            if reason is None and machine.name not in retained:
                reason = _idle_reason(cluster_state, machine, waiting_specs, idle_limits[type_name], now)
        if reason is not None:
            releases.append(MachineRelease(machine, reason))
    return releases


def _silence_by_zone(cluster_state: ClusterState, now: datetime) -> dict[str, list[bool]]:
    """For each machine that is not booting, by zone: whether it has been silent for too long."""
    silent_by_zone: dict[str, list[bool]] = {}
    for machine in cluster_state.machines.values():
        if not machine.is_booting:
            # A machine that accepts connections is hung, and shows that the network path to it is up.
            silent_by_zone.setdefault(machine.zone, []).append(
                not machine.is_hung
                and cluster_state.time_since_heartbeat(machine, now) > cluster_state.max_heartbeat_age
            )
    return silent_by_zone


def _has_failed_to_boot(machine: Machine, slowdown: float, silence_limit: timedelta, now: datetime) -> bool:
    # One that this leader found in the list may be up for long, and not have sent it a heartbeat yet.
    boot_deadline = machine.machine_type.boot_duration * FAILED_BOOT_FACTOR * slowdown + FAILED_BOOT_GRACE
    return now > max(machine.scaled_out_at + boot_deadline, machine.known_since + silence_limit)


def _loss_reason(
    cluster_state: ClusterState, machine: Machine, silence_limit: timedelta, now: datetime
) -> ReleaseReason | None:
    """Why a machine that had booted counts as lost, or None."""
    heartbeat_interval = cluster_state.settings.params.workers.heartbeat_interval
    if (
        machine.spot_reclaim_at is not None
        and cluster_state.time_since_heartbeat(machine, now) > heartbeat_interval * 2 + RECLAIM_SILENCE_GRACE
    ):
        # The cloud announced that it would reclaim it, and it has fallen silent.
        return ReleaseReason.SILENT
    if machine.is_unreachable and is_lost(cluster_state, machine, now):
        return ReleaseReason.UNREACHABLE
    responsive_since = cluster_state.zone_responsive_since.get(machine.zone, now)
    if now - responsive_since > silence_limit and is_lost(cluster_state, machine, now):
        # Once the release is answered, everything on the machine is proven gone. That is sooner
        # than its lease, and much sooner than the leases that an earlier leader may have renewed.
        return ReleaseReason.SILENT
    return None


def _idle_reason(
    cluster_state: ClusterState, machine: Machine, waiting_specs: list[JobSpec], idle_limit: timedelta, now: datetime
) -> ReleaseReason | None:
    """Why a machine that runs is not worth its price, or None."""
    if (machine.machine_type.name, machine.zone, machine.is_spot) not in cluster_state.obtained_instance_pools:
        # Nobody knows whether another like it can be had.
        idle_limit *= UNCERTAIN_OFFER_FACTOR
    if _has_idle_gpus(cluster_state, machine, waiting_specs, idle_limit, now):
        return ReleaseReason.GPUS_IDLE
    if machine.placements or machine.idle_since == NEVER or machine.spot_reclaim_at is not None:
        return None
    if (
        now - machine.idle_since > idle_limit
        and now - machine.scaled_out_at > MIN_CHARGED_DURATION
        and not any(
            allows_machine(spec, machine) and machine.count_fitting_tasks(spec, cluster_state.max_cpus_per_gpu) > 0
            for spec in waiting_specs
        )
    ):
        return ReleaseReason.IDLE
    return None
