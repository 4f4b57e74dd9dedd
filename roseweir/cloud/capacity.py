"""Capacity of machines in the GPU and CPU pools, and which machines count as available. Pure: no I/O, and no clock."""

from collections.abc import Iterable
from datetime import datetime

from roseweir.cloud.boot_times import LATE_BOOT_FACTOR, boot_slowdown
from roseweir.cloud.liveness import counts_as_capacity
from roseweir.scheduler.cluster_state import ClusterState
from roseweir.scheduler.model import Machine
from roseweir.submissions.jobs import JobSpec, MachineType


def units_per_task(spec: JobSpec) -> float:
    """Return the units that one task takes from its pool: GPUs if the job needs any, else CPUs."""
    return spec.gpus if spec.gpus > 0 else spec.cpus


def pool_capacity(machine_type: MachineType, is_gpu_pool: bool, cpus_reserved_per_gpu: float) -> float:
    """Return what a machine of the type adds to a pool: its GPUs, or the CPUs that are not reserved for its GPUs."""
    if is_gpu_pool:
        return machine_type.gpus
    return max(0.0, machine_type.cpus - machine_type.gpus * cpus_reserved_per_gpu)


def tasks_per_machine(cluster_state: ClusterState, spec: JobSpec, machine_type: MachineType) -> int:
    """Return how many of the job's tasks fit on an empty machine of the type, beside the CPUs reserved for its GPUs."""
    return (
        Machine("", machine_type, "", False).count_fitting_tasks(spec, cluster_state.cpus_reserved_per_gpu(spec))
        if spec.fits_machine_type(machine_type)
        else 0
    )


def available_machines(cluster_state: ClusterState, now: datetime) -> Iterable[Machine]:
    """Yield running machines, and booting ones that are not late.

    Left out are machines that are lost, unhealthy, being drained, reclaimed by the cloud or marked for release.
    """
    slowdown = boot_slowdown(cluster_state, now)
    for machine in cluster_state.machines.values():
        if (
            machine.is_marked_for_release
            or machine.spot_reclaim_at is not None
            or machine.unhealthy_until > now
            or machine.is_unreachable
            or machine.name in cluster_state.drain_by_machine
        ):
            continue
        if (
            machine.is_booting
            and now - machine.scaled_out_at
            > machine.machine_type.boot_duration * LATE_BOOT_FACTOR * slowdown[machine.machine_type.name]
        ):
            continue
        if not machine.is_booting and not counts_as_capacity(cluster_state, machine, now):
            continue
        yield machine
