"""Capacity that a job must leave to others: CPUs for GPUs, headroom for immediate starts, and reserved machines."""

from dataclasses import dataclass
from datetime import datetime

from roseweir.scheduler.capacity_snapshot import CAPACITY_TOLERANCE
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.headroom import ReservedRoom
from roseweir.scheduler.model import Machine
from roseweir.scheduler.quota import tasks_within_team_limit
from roseweir.submissions.jobs import JobSpec


@dataclass(slots=True)
class CapacityReservations:
    """What the current job must leave free on machines: CPUs for each GPU, and the headroom.

    The flags are set again for each job of a pass.
    """

    cpus_per_gpu: dict[str, float]
    headroom_by_machine: dict[str, ReservedRoom] | None = None  # None: not reserved yet in this pass
    must_leave_headroom: bool = False  # the current job must not use the headroom
    # The current job may use the CPUs for GPUs: it has waited for them (`Headroom.may_waive_gpu_reserve`), or it can
    # run nowhere else (`JobRun.requires_gpu_machine`).
    waives_gpu_reserve: bool = False

    @property
    def access_level(self) -> int:
        """Which reserved capacity the job may use. 0: the headroom; 1: none; 2: the headroom and the CPUs for GPUs.

        A machine that is full for jobs of one level may have room for jobs of another.
        """
        return 2 if self.waives_gpu_reserve else int(self.must_leave_headroom)

    def task_capacity(self, machine: Machine, spec: JobSpec) -> int:
        """How many tasks of the job fit on the machine now without what it must leave free."""
        cpus_per_gpu = 0.0 if self.waives_gpu_reserve else self.cpus_per_gpu.get(machine.name, 0.0)
        headroom = (
            self.headroom_by_machine.get(machine.name)
            if self.must_leave_headroom and self.headroom_by_machine is not None
            else None
        )
        return (
            machine.count_fitting_tasks(spec, cpus_per_gpu)
            if headroom is None
            else machine.count_fitting_tasks(spec, cpus_per_gpu, headroom)
        )


def reserved_cpus_per_gpu(cluster_state: ClusterState, machines: list[Machine], now: datetime) -> dict[str, float]:
    """CPUs for each GPU that CPU-only tasks must leave free, by machine name.

    While CPU-only tasks may overflow onto GPU machines, CPUs are reserved only for enough free GPUs that the next GPU
    jobs can start at once; on the other machines, jobs within a guarantee regain the room by preemption. If a placement
    policy is active, CPUs are also reserved for as many GPUs as GPU jobs wait for, whether these GPUs are free or not:
    a CPU-only task on a GPU's CPUs leaves the GPU idle, and the GPU's next task waits for it to end. Without that, at
    most 48 of 160 GPUs were in use while GPU jobs waited for CPUs that replicas without GPUs held (in a crowded
    simulated cluster of model services).
    """
    gpu_machines = [m for m in machines if m.machine_type.gpus > 0]
    if now >= cluster_state.overflow_until:
        return {m.name: cluster_state.max_cpus_per_gpu for m in gpu_machines}
    cpus_per_gpu: dict[str, float] = {}
    starts_to_keep_clear = cluster_state.reserved_start_count * cluster_state.max_gang_tasks
    gpu_machines.sort(key=lambda m: (m.is_spot, m.cpu_only_cpus, -m.free_gpus))
    for machine in gpu_machines:
        possible_starts = 0
        if cluster_state.max_task_gpus > 0:
            possible_starts = int((machine.free_gpus + CAPACITY_TOLERANCE) / cluster_state.max_task_gpus)
        if starts_to_keep_clear > 0 and possible_starts > 0:
            cpus_per_gpu[machine.name] = cluster_state.max_cpus_per_gpu
            starts_to_keep_clear -= possible_starts
    pending_gpus = _pending_gpus(cluster_state) if cluster_state.active_placement_policy is not None else 0.0
    for machine in gpu_machines:
        if pending_gpus <= 0:
            break
        cpus_per_gpu[machine.name] = cluster_state.max_cpus_per_gpu
        pending_gpus -= machine.machine_type.gpus
    return cpus_per_gpu


def _pending_gpus(cluster_state: ClusterState) -> float:
    """GPUs of pending tasks that wait for room rather than for their team's limit."""
    pending_gpus = 0.0
    for run in cluster_state.jobs.values():
        spec = run.spec
        if spec.gpus > 0 and not run.final_state and not run.is_crash_looping and run.pending_count > 0:
            pending_gpus += spec.gpus * min(
                run.pending_count, tasks_within_team_limit(cluster_state, spec, TeamUsage())
            )
    return pending_gpus


def is_reserved_for_other_job(cluster_state: ClusterState, machine: Machine, spec: JobSpec, now: datetime) -> bool:
    """Whether the machine is reserved for other jobs: room made for one must not go to another as parts become free.

    Otherwise, when a gang's two victims end one after the other, a new task takes the room of the first and becomes
    the next victim.
    """
    reserved_job_ids = cluster_state.reserved_machines.get(machine.name)
    if reserved_job_ids is not None and spec.id not in reserved_job_ids:
        return True
    return reserving_job_id(cluster_state, machine, now) not in ("", spec.id)


def reserving_job_id(cluster_state: ClusterState, machine: Machine, now: datetime) -> str:
    """Id of the job that room is being made for on the machine; "" if it no longer waits or its reservation expired."""
    run = cluster_state.jobs.get(machine.reserved_for_job)
    if run is None or run.pending_count <= 0 or now >= machine.reserved_until:
        machine.reserved_for_job = ""
    return machine.reserved_for_job
