"""Decides which machines to release to the cloud, and why. Pure: no I/O, and the current instant is an argument."""

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

# The cloud charges for at least a minute of each machine.
MIN_CHARGED_DURATION = timedelta(seconds=60)
# Factor on the idle timeout of machines whose offer has no recorded rental: a replacement may not be available.
UNCERTAIN_OFFER_FACTOR = 3
# The idle timeout is this many times the boot duration of the machine type, but at least MIN_IDLE_TIMEOUT.
IDLE_BOOT_FACTOR = 1.5
MIN_IDLE_TIMEOUT = seconds(20)
# Added to the time after which a boot counts as failed.
FAILED_BOOT_GRACE = seconds(10)
# A spot instance being reclaimed counts as gone this long after two heartbeat intervals without a heartbeat.
RECLAIM_SILENCE_GRACE = seconds(1)


class ReleaseReason(StrEnum):
    """Why a machine is released; the values are logged."""

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
    """Return how long an idle machine is kept before it is released.

    Keeping it for as long as another takes to boot costs at most twice as much as the best choice in hindsight.
    """
    return max(machine_type.boot_duration * IDLE_BOOT_FACTOR, MIN_IDLE_TIMEOUT)


def _update_responsive_zones(cluster_state: ClusterState, silent_by_zone: dict[str, list[bool]], now: datetime) -> None:
    """Record since when each zone has been responsive: at most half of it, and a third of all machines, are silent.

    While most of a zone is silent, it may only be partitioned from this node while its tasks continue. After the
    partition ends, and after a failover, healthy workers need time to send a heartbeat: releasing silent machines at
    once cost 276 machines within seconds of the end of a partition and a failover.
    """
    all_flags = [is_silent for zone_flags in silent_by_zone.values() for is_silent in zone_flags]
    for zone, zone_flags in silent_by_zone.items():
        if sum(zone_flags) * 2 <= max(len(zone_flags), 2) and sum(all_flags) * 3 <= max(len(all_flags), 3):
            cluster_state.zone_responsive_since.setdefault(zone, now)
        else:
            cluster_state.zone_responsive_since.pop(zone, None)


def _has_idle_gpus(
    cluster_state: ClusterState, machine: Machine, waiting_specs: list[JobSpec], idle_limit: timedelta, now: datetime
) -> bool:
    """Whether a GPU machine is released for its idle GPUs, even if CPU-only tasks run on it: its GPUs set its price.

    It is kept for CPU-only jobs that fit only machines with GPUs.
    """
    return (
        machine.machine_type.gpus > 0
        and machine.gpu_task_count == 0
        and machine.spot_reclaim_at is None
        and machine.gpus_idle_since != NEVER
        and now - machine.gpus_idle_since > idle_limit
        and now - machine.scaled_out_at > MIN_CHARGED_DURATION
        and now >= cluster_state.overflow_until
        and not any(
            allows_machine(spec, machine)
            and (spec.gpus > 0 or cluster_state.requires_gpu_machine(spec))
            and spec.fits_machine_type(machine.machine_type)
            for spec in waiting_specs
        )
        and not any(p.run.requires_gpu_machine for p in machine.placements.values())
    )


def plan_scale_in(
    cluster_state: ClusterState,
    last_pass: SchedulingPassResult,
    now: datetime,
    kept_machines: Container[str] = frozenset(),
) -> list[MachineRelease]:
    """Return the machines to release, with reasons. Idle machines named in `kept_machines` are kept for expected work.

    Also updates since when each zone has been responsive (`cluster_state.zone_responsive_since`).
    """
    _update_responsive_zones(cluster_state, _silence_by_zone(cluster_state, now), now)
    slowdown = boot_slowdown(cluster_state, now)
    waiting_specs = [run.spec for run, _ in last_pass.unplaced]
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
            if reason is None and machine.name not in kept_machines:
                reason = _idle_reason(cluster_state, machine, waiting_specs, idle_limits[type_name], now)
        if reason is not None:
            releases.append(MachineRelease(machine, reason))
    return releases


def _silence_by_zone(cluster_state: ClusterState, now: datetime) -> dict[str, list[bool]]:
    """By zone, for each machine that is not booting: whether its last heartbeat is too long ago."""
    silent_by_zone: dict[str, list[bool]] = {}
    for machine in cluster_state.machines.values():
        if not machine.is_booting:
            # A hung machine accepts connections, which proves that the network path to it is up.
            silent_by_zone.setdefault(machine.zone, []).append(
                not machine.is_hung
                and cluster_state.time_since_heartbeat(machine, now) > cluster_state.max_heartbeat_age
            )
    return silent_by_zone


def _has_failed_to_boot(machine: Machine, slowdown: float, silence_limit: timedelta, now: datetime) -> bool:
    # A machine that this leader learned of from the list may have booted long ago, and not have sent this leader a
    # heartbeat yet.
    boot_deadline = machine.machine_type.boot_duration * FAILED_BOOT_FACTOR * slowdown + FAILED_BOOT_GRACE
    return now > max(machine.scaled_out_at + boot_deadline, machine.added_at + silence_limit)


def _loss_reason(
    cluster_state: ClusterState, machine: Machine, silence_limit: timedelta, now: datetime
) -> ReleaseReason | None:
    """Return why a machine that has booted counts as lost, or None."""
    heartbeat_interval = cluster_state.settings.params.workers.heartbeat_interval
    if (
        machine.spot_reclaim_at is not None
        and cluster_state.time_since_heartbeat(machine, now) > heartbeat_interval * 2 + RECLAIM_SILENCE_GRACE
    ):
        # The cloud announced that it would reclaim the machine, and the heartbeats have stopped.
        return ReleaseReason.SILENT
    if machine.is_unreachable and is_lost(cluster_state, machine, now):
        return ReleaseReason.UNREACHABLE
    responsive_since = cluster_state.zone_responsive_since.get(machine.zone, now)
    if now - responsive_since > silence_limit and is_lost(cluster_state, machine, now):
        # The answer to the release proves that the machine's tasks are gone, before its lease expires, and well before
        # leases expire that an earlier leader may have renewed.
        return ReleaseReason.SILENT
    return None


def _idle_reason(
    cluster_state: ClusterState, machine: Machine, waiting_specs: list[JobSpec], idle_limit: timedelta, now: datetime
) -> ReleaseReason | None:
    """Return why a running machine is released although it is not lost, or None."""
    if (machine.machine_type.name, machine.zone, machine.is_spot) not in cluster_state.obtained_instance_pools:
        # A replacement from the same offer may not be available.
        idle_limit *= UNCERTAIN_OFFER_FACTOR
    if _has_idle_gpus(cluster_state, machine, waiting_specs, idle_limit, now):
        return ReleaseReason.GPUS_IDLE
    if machine.placements or machine.idle_since == NEVER or machine.spot_reclaim_at is not None:
        return None
    if (
        now - machine.idle_since > idle_limit
        and now - machine.scaled_out_at > MIN_CHARGED_DURATION
        and not any(
            allows_machine(spec, machine)
            and machine.count_fitting_tasks(spec, cluster_state.cpus_reserved_per_gpu(spec)) > 0
            for spec in waiting_specs
        )
    ):
        return ReleaseReason.IDLE
    return None
