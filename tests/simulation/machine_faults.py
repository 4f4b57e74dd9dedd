"""Faults of workers, machines and commands that the randomly drawn days combine, and two checks over whole days.

`MACHINE_FAULTS` are drawn beside the simulated cluster's own (`tests/simulation/fault_combinations.py`).
`CheckedCluster` adds the protocol's last rule: once all faults are over, no job waits for 90 s while capacity that it
may use is free; and no run command reaches a worker later than a confirmed cancellation allows.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from roseweir.http import Request
from tests.simulation.cluster import (
    MACHINE_TYPES,
    ZONES,
    SimulatedCluster,
    SimulatedController,
    SimulatedWorker,
    virtual_now,
)

# A leader starts no task when its last read of cancellations is over 5 s old; a worker drops answers after 4 s.
MAX_COMMAND_AGE_S = 5.0 + 4.0
MAX_WAIT_S = 90.0
WATCH_INTERVAL_S = 1.0
MAX_CANCELLED_JOBS, MAX_HUNG_WORKERS = 6, 8


class CheckedCluster(SimulatedCluster):
    """Checks run commands after cancellations, and jobs that wait beside free capacity once all faults are over."""

    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(seed, **options)
        self.faults_active = 0
        self.waiting_beside_capacity_since: dict[tuple[str, int], float] = {}  # by job and its count of completed tasks
        self.longest_wait = self.quiet_s = 0.0
        self.max_wait_s = MAX_WAIT_S
        self.end_observed_at: dict[str, float] = {}
        self.schedule_action(lambda _: self._watch_waiting())

    def make_job(self) -> dict[str, Any]:
        """Draws no gang that the cloud has no machines for: its team's other jobs would wait behind it."""
        job = super().make_job()
        return job | {"together": False, "loaners": True} if job["shape"] == "gang" else job

    async def ask(self, method: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
        """Like `SimulatedCluster.ask`, but drops an answer that concurrent requests explain.

        Of two concurrent requests about a job either may take effect first, so an unfinished state counts as no answer
        if the request was sent before the job's end was observed.
        """
        asked_at = virtual_now()
        status, answer = await super().ask(method, path, body)
        end_observed_at = self.end_observed_at.get(answer.get("name_id", ""))
        if (
            end_observed_at is not None
            and asked_at <= end_observed_at
            and answer["standing"] not in ("done", "aborted")
        ):
            return 0, {}
        return status, answer

    def check_answer(self, job_id: str, status: int, answer: dict[str, Any]) -> None:
        super().check_answer(job_id, status, answer)
        if job_id in self.observed_ends:
            self.end_observed_at.setdefault(job_id, virtual_now())

    def on_run(self, worker: SimulatedWorker, key: tuple[str, int]) -> None:
        cancelled_at = self.cancelled_at.get(key[0])
        in_time = cancelled_at is None or virtual_now() <= cancelled_at + MAX_COMMAND_AGE_S
        self.check_rule(in_time, f"start_after_cancel: {key} gets a run command on {worker.machine.name}")

    def is_quiet(self) -> bool:
        """Whether no fault is active: nothing is partitioned, paused, delayed or down."""
        controllers_healthy = all(
            n.service is not None and not n.network_faults and not n.delay_s and n.pause_gate.resumed_future() is None
            for n in self.nodes
        )
        store_and_network_healthy = not (
            self.state.is_down
            or self.state.refused_controllers
            or self.partitioned_zones
            or self.late_write_probability
            or self.late_command_probability
        )
        return (
            self.faults_active == 0 and controllers_healthy and store_and_network_healthy and not self.max_store_delay_s
        )

    async def _watch_waiting(self) -> None:
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if not self.is_quiet():
                self.waiting_beside_capacity_since.clear()
                continue
            self.quiet_s += WATCH_INTERVAL_S
            unfinished_jobs = self.accepted_jobs - self.observed_ends.keys()
            # Keyed by completed tasks too: a task that ran between two checks shows that the job makes progress.
            beside_capacity = {
                (job_id, self.completed_task_count(job_id))
                for job_id in unfinished_jobs
                if self.is_waiting_beside_capacity(job_id)
            }
            for job_progress in self.waiting_beside_capacity_since.keys() - beside_capacity:
                del self.waiting_beside_capacity_since[job_progress]
            for job_id, completed_count in sorted(beside_capacity):
                waited_s = virtual_now() - self.waiting_beside_capacity_since.setdefault(
                    (job_id, completed_count), virtual_now()
                )
                self.longest_wait = max(self.longest_wait, waited_s)
                self.check_rule(waited_s <= self.max_wait_s, f"waits_beside_room: {job_id} for {waited_s:.0f} s")

    def completed_task_count(self, job_id: str) -> int:
        return sum((job_id, index) in self.finished for index in range(self.jobs[job_id]["parcels"]))

    def is_waiting_beside_capacity(self, job_id: str) -> bool:
        """Whether the job has no task on a machine although one (for a gang, all) would fit within its team's limit.

        A job whose other tasks run or end while one waits for a startup limit does not count as waiting.
        """
        job = self.jobs[job_id]
        if job["scatter"] or job.get("mistaken") or job_id in self.cancel_requested:
            return False
        unexited_tasks = [(w, t) for w in self.workers.values() for t in w.tasks.values() if t.state != "exited"]
        placed_indices = {t.index for _, t in unexited_tasks if t.job_id == job_id}
        missing_count = sum((job_id, i) not in self.finished and i not in placed_indices for i in range(job["parcels"]))
        if missing_count == 0 or placed_indices:
            return False
        needed_slots = job["parcels"] if job["shape"] == "gang" else 1
        gpus_in_use = sum(
            self.jobs[t.job_id]["accelerators"] for _, t in unexited_tasks if self.jobs[t.job_id]["crew"] == job["crew"]
        )
        if (
            self.team_gpu_limit is not None
            and gpus_in_use + needed_slots * job["accelerators"] > self.team_gpu_limit + 1e-6
        ):
            return False
        zones = {w.machine.zone for w, t in unexited_tasks if t.job_id == job_id} if job["together"] else set()
        by_zone = {zone: self._free_slots(job, zone) for zone in ZONES if not zones or zone in zones}
        free_slots = max(by_zone.values()) if job["together"] else sum(by_zone.values())
        return free_slots >= needed_slots

    def _free_slots(self, job: dict[str, Any], zone: str) -> int:
        """How many tasks of the job fit on the healthy machines of a zone."""
        slot_count = 0
        for worker in self.workers.values():
            machine = worker.machine
            is_healthy = (
                not (worker.is_hung or worker.is_unhealthy or worker.one_way_partition) and worker.preempted_at is None
            )
            is_type_allowed = job["builds"] is None or machine.machine_type in job["builds"]
            if not is_healthy or not is_type_allowed or machine.zone != zone or job["yard"] not in (None, zone):
                continue
            if machine.is_spot and not job["loaners"]:
                continue
            placed_jobs = [self.jobs[t.job_id] for t in worker.tasks.values() if t.state != "exited"]
            free = {
                resource: MACHINE_TYPES[machine.machine_type][resource] - sum(t[resource] for t in placed_jobs)
                for resource in MACHINE_TYPES[machine.machine_type]
            }
            slot_count += int(min((free[resource] + 1e-6) // job[resource] for resource in free if job[resource] > 0))
        return slot_count


# -- faults ------------------------------------------------------------------------------------------


async def cancel_until_confirmed(cluster: SimulatedCluster, job_id: str) -> None:
    """A user cancels, and repeats the request until the end is confirmed."""
    cluster.cancel_requested.add(job_id)
    while job_id not in cluster.observed_ends:
        status, answer = await cluster.ask("POST", f"/submissions/{job_id}/cancel")
        cluster.check_answer(job_id, status, answer)
        await asyncio.sleep(0.3)


def running_jobs(cluster: SimulatedCluster) -> list[str]:
    return sorted({t.job_id for _, t in cluster.active_tasks()} & cluster.accepted_jobs - cluster.observed_ends.keys())


async def cancel_running_jobs(cluster: SimulatedCluster, hang_s: float | None = None) -> list[SimulatedWorker]:
    """Users cancel several running jobs within a fifth of a second; some of their machines hang meanwhile."""
    rng = cluster.rng
    candidates = running_jobs(cluster)
    jobs = rng.sample(candidates, min(len(candidates), MAX_CANCELLED_JOBS))
    workers_by_name = {w.machine.name: w for w, t in cluster.active_tasks() if t.job_id in jobs}
    hung_workers = [workers_by_name[name] for name in sorted(workers_by_name)][:MAX_HUNG_WORKERS]
    for worker in hung_workers:
        worker.is_hung = True
    for job_id in jobs:
        cluster.spawn(cancel_until_confirmed(cluster, job_id))
        await asyncio.sleep(rng.uniform(0, 0.2 / MAX_CANCELLED_JOBS))
    await asyncio.sleep(rng.uniform(1, 12) if hang_s is None else hang_s)
    for worker in hung_workers:
        worker.is_hung = False
        worker.resumed_at = virtual_now()
    return hung_workers


async def cancel_and_restart_leader(cluster: SimulatedCluster) -> None:
    """The leader restarts within two seconds of the cancellations."""
    cancellations = cluster.spawn(cancel_running_jobs(cluster))
    await asyncio.sleep(cluster.rng.uniform(0, 2))
    await cluster.restart_controller(cluster.current_leader())
    await asyncio.wait([cancellations])


async def partition_workers(cluster: SimulatedCluster, direction: str, duration_s: float | None = None) -> None:
    """Half of the machines of one zone, or of all, have a one-way partition for a while."""
    rng = cluster.rng
    zones = rng.choice([[zone] for zone in ZONES] + [ZONES])
    workers_in_zones = sorted(
        (w for w in cluster.workers.values() if w.machine.zone in zones), key=lambda w: w.machine.name
    )
    partitioned = rng.sample(workers_in_zones, (len(workers_in_zones) + 1) // 2)
    for worker in partitioned:
        worker.set_one_way_partition(direction)
    await asyncio.sleep(rng.uniform(2, 25) if duration_s is None else duration_s)
    for worker in partitioned:
        if worker.one_way_partition == direction:
            worker.set_one_way_partition("")


async def partition_workers_and_restart_leader(cluster: SimulatedCluster, direction: str) -> None:
    """The leader restarts during the one-way partition."""
    partition = cluster.spawn(partition_workers(cluster, direction))
    await asyncio.sleep(cluster.rng.uniform(0.1, 6))
    await cluster.restart_controller(cluster.current_leader())
    await asyncio.wait([partition])


async def delay_commands(cluster: SimulatedCluster) -> None:
    """Gangs are cancelled while direct commands are delayed, and the leader may restart before these arrive."""
    cluster.late_command_probability = 1.0
    gangs = [job for job in running_jobs(cluster) if cluster.jobs[job]["shape"] == "gang"]
    for job_id in gangs[: cluster.rng.randint(0, 2)]:
        cluster.spawn(cancel_until_confirmed(cluster, job_id))
    await asyncio.sleep(cluster.rng.uniform(0.5, 6))
    if cluster.rng.random() < 0.6:
        await cluster.restart_controller(cluster.current_leader())
    await asyncio.sleep(cluster.rng.uniform(2, 12))
    cluster.late_command_probability = 0.0


async def replay_heartbeats_to_next_leader(cluster: SimulatedCluster) -> None:
    """Copies of heartbeats are recorded, and delivered to all controllers at once when the next term begins."""
    heartbeats: list[bytes] = []
    cluster.kept_heartbeats = heartbeats
    await asyncio.sleep(cluster.rng.uniform(1, 8))
    previous_term = current_term(cluster)
    restart = cluster.spawn(cluster.restart_controller(cluster.current_leader()))
    deadline = virtual_now() + 15.0
    while current_term(cluster) <= previous_term and virtual_now() < deadline:
        await asyncio.sleep(0.005)
    cluster.kept_heartbeats = None
    for _ in range(3):
        await deliver_to_all_controllers(cluster, cluster.rng.sample(heartbeats, min(len(heartbeats), 12)))
        await asyncio.sleep(cluster.rng.choice([0.02, 0.1, 0.4]))
    await asyncio.wait([restart])


def current_term(cluster: SimulatedCluster) -> int:
    leases = [n.service.leader_election.leader_lease for n in cluster.nodes if n.service is not None]
    return max((lease.term for lease in leases if lease is not None), default=0)


async def deliver_to_all_controllers(cluster: SimulatedCluster, heartbeats: list[bytes]) -> None:
    for raw in heartbeats:
        for node in cluster.nodes:
            request = Request("POST", "/hello", raw)
            cluster.spawn(node.serve(lambda service, request=request: service.serve_public(request)))  # type: ignore[misc]
    await asyncio.sleep(0)


async def boot_fast_while_writes_lag(cluster: SimulatedCluster) -> None:
    """Machines boot within two seconds while writes lag, half of a zone fails, and the leader restarts."""
    rng = cluster.rng
    cluster.cloud.boot_factor, cluster.cloud.boot_failure_probability, previous_lag_s = (
        0.3,
        0.0,
        cluster.cloud.listing_lag_s,
    )
    cluster.cloud.listing_lag_s = rng.choice([2.0, 8.0])
    cluster.late_write_probability = rng.choice([0.0, 0.3, 0.6])
    cluster.max_store_delay_s = 0.0 if cluster.late_write_probability else rng.uniform(0.3, 1.2)
    await fail_half_of_zone(cluster)
    await asyncio.sleep(rng.uniform(1, 6))
    await cluster.restart_controller(cluster.current_leader())
    await asyncio.sleep(rng.uniform(1, 6))
    cluster.cloud.boot_factor, cluster.cloud.boot_failure_probability, cluster.cloud.listing_lag_s = (
        1.0,
        0.05,
        previous_lag_s,
    )
    cluster.late_write_probability = cluster.max_store_delay_s = 0.0


async def fail_half_of_zone(cluster: SimulatedCluster, zone: str | None = None) -> None:
    """Half of a zone's machines fail at once."""
    zone = zone or cluster.rng.choice(ZONES)
    workers_in_zone = sorted(
        (w for w in cluster.workers.values() if w.machine.zone == zone), key=lambda w: w.machine.name
    )
    failed_workers = cluster.rng.sample(workers_in_zone, (len(workers_in_zone) + 1) // 2)
    for worker in failed_workers:
        worker.die()
    await asyncio.sleep(2.0)
    for worker in failed_workers:
        worker.machine.has_failed = True


async def stop_all_controllers(cluster: SimulatedCluster, duration_s: float | None = None) -> None:
    """All controllers are down for longer than a lease."""
    for node in cluster.nodes:
        if node.service is not None:
            node.crash()
    await asyncio.sleep(cluster.lease_duration_s + cluster.rng.uniform(0.2, 4) if duration_s is None else duration_s)
    for node in cluster.nodes:
        start_if_stopped(node)


def start_if_stopped(node: SimulatedController) -> None:
    if node.service is None:
        node.start()


MACHINE_FAULTS: dict[str, Callable[[SimulatedCluster], Awaitable[Any]]] = {
    "cancel now": cancel_and_restart_leader,
    "mute machines": lambda cluster: partition_workers_and_restart_leader(cluster, "mute"),
    "deaf machines": lambda cluster: partition_workers_and_restart_leader(cluster, "deaf"),
    "late commands": delay_commands,
    "reports for next leader": replay_heartbeats_to_next_leader,
    "quick boots": boot_fast_while_writes_lag,
    "machines fall": fail_half_of_zone,
    "all away": stop_all_controllers,
}
