"""A simulated cluster during a rolling upgrade, and which version led each term."""

import asyncio
from typing import Any

import orjson

from roseweir.delivery_deadlines.settings import DeadlinePolicy, DeadlineSettings
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX
from tests.simulation.cluster import SimulatedCluster, SimulatedKeyValueStore, raise_first_failure, virtual_now
from tests.simulation.workflows import WorkflowCluster, workflow_config
from tests.versions import PRESENT, Version, production

# When the rolling upgrade begins, and the time between the restarts of its batches.
ROLL_BEGINS_AT_S, ROLL_INTERVAL_RANGE_S = 15.0, (10.0, 15.0)
MAX_DAY_LENGTH_S, FAULTS_END_AT_S, JOB_COUNT = 400.0, 80.0, 14
# Jobs are submitted over this many seconds.
ARRIVAL_PERIOD_S = 80.0


class RollingUpgradeCluster(SimulatedCluster):
    """A day that begins with one version; every controller restarts once with the next one."""

    def __init__(
        self, seed: int, first_version: Version | None = None, next_version: Version = PRESENT, **options: Any
    ) -> None:
        controller_count = options.pop("controller_count", 3)
        first_version = first_version or production()
        super().__init__(
            seed, controller_count=controller_count, versions=[first_version] * controller_count, **options
        )
        self.first_version, self.next_version = first_version, next_version
        self.faults_end_at = FAULTS_END_AT_S
        self.user_answers: list[tuple[float, int]] = []  # time and status of each user request's answer; 0: none
        self.rolled_at = 0.0  # when the last batch restarted with the next version
        self.schedule_action(lambda _: self.roll_controllers())
        self.schedule_action(lambda _: self.submit_jobs())

    def make_job(self) -> dict[str, Any]:
        """Allows spot machines, so that every job fits on the cluster's few GPU machines and must end."""
        return super().make_job() | {"loaners": True}

    async def send_user_request(self, method: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
        status, answer = await super().send_user_request(method, path, body)
        self.user_answers.append((virtual_now(), status))
        return status, answer

    async def submit_jobs(self) -> None:
        """The day ends when every user has observed the end of the job, and all faults are over."""
        users = []
        for _ in range(JOB_COUNT):
            users.append(self.spawn(self.run_user()))
            await asyncio.sleep(self.rng.expovariate(JOB_COUNT / ARRIVAL_PERIOD_S))
        await asyncio.wait(users)
        await asyncio.sleep(max(0.0, FAULTS_END_AT_S - virtual_now()))
        self.is_over = True

    async def roll_controllers(self) -> None:
        await asyncio.sleep(ROLL_BEGINS_AT_S)
        remaining = self.rng.sample(self.controllers, len(self.controllers))
        while remaining:
            batch = [remaining.pop() for _ in range(min(len(remaining), self.rng.choice([1, 1, 2])))]
            for controller in batch:
                # A controller that is down now restarts with the next version too.
                controller.version = self.next_version
            await asyncio.gather(*(self.restart_controller(controller) for controller in batch))
            self.rolled_at = virtual_now()
            await asyncio.sleep(self.rng.uniform(*ROLL_INTERVAL_RANGE_S))

    def run_day_to_end(self) -> "RollingUpgradeCluster":
        self.run(MAX_DAY_LENGTH_S, job_count=0)
        return self

    def check_outcome(self) -> None:
        """Checks the rules, that all controllers run the next version and that every accepted job has ended."""
        raise_first_failure(self)
        assert self.rolled_at > 0 and all(
            controller.running_version == self.next_version for controller in self.controllers
        )
        unfinished = self.accepted_jobs - self.observed_ends.keys()
        assert not unfinished, f"seed {self.seed}: these jobs did not end: {sorted(unfinished)}"


def terms_led_by(cluster: SimulatedCluster, version: Version) -> list[bool]:
    """For each term in order, whether a process of this version led it."""
    process_class = version.find("controller.process", "ControllerProcess")
    return [type(service) is process_class for _, service in sorted(cluster.leader_by_term.items())]


def count_failovers(cluster: SimulatedCluster) -> int:
    """Number of changes of the leader from one process to another."""
    return len(cluster.leader_by_term) - 1


class WriterTrackingStore(SimulatedKeyValueStore):
    """A key-value store that records which version wrote each value last, and which version overwrote which."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        super().__init__(cluster)
        self.last_writer: dict[str, Version] = {}
        self.rewrites: set[tuple[str, Version, Version]] = set()  # (family, previous writer, next writer)
        self.values_by_family: dict[
            str, dict[bytes, tuple[str, Version]]
        ] = {}  # per family and encoded value: its key and its writer

    async def handle(self, controller_name: str, method: str, path: str, body: Any) -> Any:
        previous_revisions = {
            op["put"]: self.keys[op["put"]][1] if op["put"] in self.keys else 0 for op in put_operations(path, body)
        }
        answer = await super().handle(controller_name, method, path, body)
        if answer.status == 200:
            version = self.cluster.controllers[int(controller_name[1:])].running_version
            for op in put_operations(path, body):
                key = op["put"]
                if key not in self.keys or self.keys[key][1] == previous_revisions[key]:
                    continue
                family = family_of(key)
                if key in self.last_writer:
                    self.rewrites.add((family, self.last_writer[key], version))
                self.last_writer[key] = version
                self.values_by_family.setdefault(family, {})[orjson.dumps(op["v"])] = (key, version)
        return answer


class MixedVersionCluster(WorkflowCluster):
    """Two controllers of different versions that write all families of stored values.

    The current leader is restarted again and again, so that the versions lead in turn.
    """

    def __init__(self, seed: int) -> None:
        config = workflow_config()
        config.delivery_deadline = DeadlineSettings(policies=[DeadlinePolicy()])
        config.predictive_scaling = PredictiveScalingSettings()
        super().__init__(
            seed,
            config,
            without_random_faults=True,
            controller_count=2,
            versions=[production(), PRESENT],
            restart_delay_range_s=(4.0, 5.0),
            scale=2,
        )
        self.tracking_store = WriterTrackingStore(self)
        for action in (
            MixedVersionCluster.install_tracking_store,
            MixedVersionCluster.alternate_leaders,
            MixedVersionCluster.amend_and_drain,
        ):
            self.schedule_action(action)  # type: ignore[arg-type]

    async def install_tracking_store(self) -> None:
        self.kv_store = self.tracking_store

    async def alternate_leaders(self) -> None:
        while True:
            await asyncio.sleep(17)
            await self.restart_controller(self.current_leader())

    async def amend_and_drain(self) -> None:
        for number in range(12):
            await asyncio.sleep(7)
            self.spawn(self.submit_amendment(self.registry.make_amendment()))
            drain_request = {"name": f"d{number}", "grace_s": 2.0, "deadline_s": 30.0, "types": ["cpu"]}
            controller = self.rng.choice(self.controllers)
            await controller.serve_peer("POST", "/drains", orjson.dumps({"verb": "start", "ask": drain_request}))


def put_operations(path: str, body: Any) -> list[dict[str, Any]]:
    return [op for op in body["then"] if "put" in op] if path == "/txn" else []


def family_of(key: str) -> str:
    """The family of the value under a key: its prefix; deltas and the parts of drains are families of their own."""
    parts = key.split("/")
    if parts[0] == "places" and parts[1].startswith("note-"):
        return "places/note"
    if parts[0] in ("lead", "drain", "served", "promise"):
        return "/".join(parts[:2])
    return parts[0]


def stored_job_state(cluster: SimulatedCluster, job_id: str) -> str:
    """The job's state in the key-value store: "live", how it ended, or "unknown"."""
    if LIVE_JOB_PREFIX + job_id in cluster.kv_store.keys:
        return "live"
    stored_end = cluster.kv_store.keys.get(COMPLETED_JOB_PREFIX + job_id)
    return "unknown" if stored_end is None else str(stored_end[0]["state"])
