"""Room that a job must leave to others: CPUs beside GPUs, headroom for urgent work, machines kept for one job."""

from dataclasses import dataclass
from datetime import datetime

from roseweir.scheduler.capacity_snapshot import CAPACITY_TOLERANCE
from roseweir.scheduler.cluster_state import ClusterState, TeamUsage
from roseweir.scheduler.headroom import ReservedRoom
from roseweir.scheduler.model import Machine
from roseweir.scheduler.quota import tasks_within_quota
from roseweir.submissions.jobs import JobSpec


@dataclass(slots=True)
class CapacityReservations:
    """What a job has to leave free on machines: CPUs for each GPU, and the headroom. Set anew for each job."""

    cpus_per_gpu: dict[str, float]
    headroom_by_machine: dict[str, ReservedRoom] | None = None  # None: not reserved yet in this pass
    must_leave_headroom: bool = False  # the job at hand leaves the headroom alone
    waives_gpu_reserve: bool = False  # an urgent job that has waited, of higher priority than all GPU work

    @property
    def access_level(self) -> int:
        """Which reserved room the job may use: what is full for jobs of one level may have room for another."""
        return 2 if self.waives_gpu_reserve else int(self.must_leave_headroom)

    def task_capacity(self, machine: Machine, spec: JobSpec) -> int:
        """How many tasks of the job fit on the machine now, beside what it must leave free."""
        reserve = 0.0 if self.waives_gpu_reserve else self.cpus_per_gpu.get(machine.name, 0.0)
        headroom = (
            self.headroom_by_machine.get(machine.name)
            if self.must_leave_headroom and self.headroom_by_machine is not None
            else None
        )
        return (
            machine.count_fitting_tasks(spec, reserve)
            if headroom is None
            else machine.count_fitting_tasks(spec, reserve, headroom)
        )


def reserved_cpus_per_gpu(cluster_state: ClusterState, machines: list[Machine], now: datetime) -> dict[str, float]:
    """CPUs for each GPU that CPU-only work has to leave free, by machine.

    While CPU-only work may overflow onto GPU machines, only enough free GPUs for the next GPU jobs to start at once are
    kept clear; on the other machines, jobs within a guarantee take the room back when they come. Waiting GPU jobs keep
    the CPUs of as many GPUs clear as they wait for, free or not: CPU-only work that takes a GPU's CPUs leaves the GPU
    idle, and the GPU's next task waits for it too. At most 48 of 160 GPUs were in use while GPU jobs waited for CPUs
    that replicas without GPUs held (simulated cluster of model services, `--crowded`).
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
    """GPUs of tasks that wait for room, and not for their team's limit."""
    pending_gpus = 0.0
    for run in cluster_state.jobs.values():
        spec = run.spec
        if spec.gpus > 0 and not run.final_state and not run.is_crash_looping and run.pending_count > 0:
            pending_gpus += spec.gpus * min(run.pending_count, tasks_within_quota(cluster_state, spec, TeamUsage()))
    return pending_gpus


def is_reserved_for_other_job(cluster_state: ClusterState, machine: Machine, spec: JobSpec, now: datetime) -> bool:
    """Whether the machine is kept for other jobs: room made for one must not go to another as parts of it come free.

    It did: a gang's two victims left one after the other, the first one's place was filled again, and
    the new task became the next victim.
    """
    reserved_job_ids = cluster_state.reserved_machines.get(machine.name)
    if reserved_job_ids is not None and spec.id not in reserved_job_ids:
        return True
    return reserved_for_job(cluster_state, machine, now) not in ("", spec.id)


def reserved_for_job(cluster_state: ClusterState, machine: Machine, now: datetime) -> str:
    """Id of the job that room is being made for on the machine; "" if none waits or the reservation has expired."""
    run = cluster_state.jobs.get(machine.reserved_for_job)
    if run is None or run.pending_count <= 0 or now >= machine.reserved_until:
        machine.reserved_for_job = ""
    return machine.reserved_for_job
