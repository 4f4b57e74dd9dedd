"""The simulated world while an upgrade rolls through it, and who led it meanwhile."""

import asyncio
from typing import Any

import orjson

from roseweir.delivery_deadlines.settings import DeadlinePolicy, DeadlineSettings
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.submissions.jobs import COMPLETED_JOB_PREFIX, LIVE_JOB_PREFIX
from tests.simulation.cluster import SimulatedCluster, SimulatedKeyValueStore, virtual_now
from tests.simulation.workflows import WorkflowCluster, workflow_config
from tests.versions import PRESENT, Version, production

# Seconds: the roll begins, a few processes are killed each time, and that far apart.
ROLL_BEGINS_AT_S, ROLL_INTERVAL_RANGE_S = 15.0, (10.0, 15.0)
MAX_DAY_LENGTH_S, FAULTS_END_AT_S, JOB_COUNT = 400.0, 80.0, 14
# Seconds over which the jobs come.
ARRIVAL_PERIOD_S = 80.0


class RollingUpgradeCluster(SimulatedCluster):
    """A day that begins with one version and on which every process comes back as another when its turn has come."""

    def __init__(self, seed: int, first: Version | None = None, then: Version = PRESENT, **more: Any) -> None:
        controller_count = more.pop("controller_count", 3)
        first = first or production()
        super().__init__(seed, controller_count=controller_count, versions=[first] * controller_count, **more)
        self.first_version, self.next_version = first, then
        self.faults_end_at = FAULTS_END_AT_S
        self.user_answers: list[
            tuple[float, int]
        ] = []  # when each user was answered, and with which status; 0: not at all
        self.rolled_at = 0.0  # when the last process was killed for the new version
        self.schedule_action(lambda _: self.roll_controllers())
        self.schedule_action(lambda _: self.submit_jobs())

    def make_job(self) -> dict[str, Any]:
        """Of those that the world's few machines with GPUs can hold at all, so that every one must end."""
        return super().make_job() | {"loaners": True}

    async def ask(self, method: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
        status, answer = await super().ask(method, path, body)
        self.user_answers.append((virtual_now(), status))
        return status, answer

    async def submit_jobs(self) -> None:
        """The day ends when every user knows the end of a job."""
        users = []
        for _ in range(JOB_COUNT):
            users.append(self.spawn(self.run_user()))
            await asyncio.sleep(self.rng.expovariate(JOB_COUNT / ARRIVAL_PERIOD_S))
        await asyncio.wait(users)
        await asyncio.sleep(max(0.0, FAULTS_END_AT_S - virtual_now()))
        self.is_over = True

    async def roll_controllers(self) -> None:
        await asyncio.sleep(ROLL_BEGINS_AT_S)
        waiting = self.rng.sample(self.nodes, len(self.nodes))
        while waiting:
            turn = [waiting.pop() for _ in range(min(len(waiting), self.rng.choice([1, 1, 2])))]
            for node in turn:
                # One that is down at the moment comes back with the new version as well.
                node.version = self.next_version
            await asyncio.gather(*(self.restart_controller(node) for node in turn))
            self.rolled_at = virtual_now()
            await asyncio.sleep(self.rng.uniform(*ROLL_INTERVAL_RANGE_S))

    def run_day_to_end(self) -> "RollingUpgradeCluster":
        self.run(MAX_DAY_LENGTH_S, job_count=0)
        return self

    def check_outcome(self) -> None:
        """The world's rules, and that nothing accepted is lost and every job has ended."""
        raise_first_failure(self)
        assert self.rolled_at > 0 and all(node.running_version == self.next_version for node in self.nodes)
        unfinished = self.accepted_jobs - self.observed_ends.keys()
        assert not unfinished, f"seed {self.seed}: these jobs did not end: {sorted(unfinished)}"


def raise_first_failure(cluster: SimulatedCluster) -> None:
    if cluster.errors:
        raise cluster.errors[0]
    if cluster.rule_violations:
        raise cluster.rule_violations[0]


def terms_led_by(cluster: SimulatedCluster, version: Version) -> list[bool]:
    """Of each term, in their order, whether a process of this version led it."""
    own = version.find("controller.process", "ControllerProcess")
    return [type(service) is own for _, service in sorted(cluster.leader_by_term.items())]


def count_failovers(cluster: SimulatedCluster) -> int:
    """How often leadership went from one process to another."""
    return len(cluster.leader_by_term) - 1


class WriterTrackingStore(SimulatedKeyValueStore):
    """The state service, which notes of each value which version wrote it last, and who wrote over whom."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        super().__init__(cluster)
        self.last_writer: dict[str, Version] = {}
        self.rewrites: set[tuple[str, Version, Version]] = set()  # family, who wrote before, who wrote then
        self.values_by_family: dict[
            str, dict[bytes, tuple[str, Version]]
        ] = {}  # of each family: its key and who wrote it

    async def handle(self, node: str, method: str, path: str, body: Any) -> Any:
        before = {
            op["put"]: self.keys[op["put"]][1] if op["put"] in self.keys else 0 for op in put_operations(path, body)
        }
        answer = await super().handle(node, method, path, body)
        if answer.status == 200:
            version = self.cluster.nodes[int(node[1:])].running_version
            for op in put_operations(path, body):
                key = op["put"]
                if key not in self.keys or self.keys[key][1] == before[key]:
                    continue
                family = family_of(key)
                if key in self.last_writer:
                    self.rewrites.add((family, self.last_writer[key], version))
                self.last_writer[key] = version
                self.values_by_family.setdefault(family, {})[orjson.dumps(op["v"])] = (key, version)
        return answer


class MixedVersionCluster(WorkflowCluster):
    """Everything that is stored at once, and leaders of both versions in turn: whichever leads is killed, again and
    again, of two controllers."""

    def __init__(self, seed: int) -> None:
        given = workflow_config()
        given.delivery_deadline = DeadlineSettings(policies=[DeadlinePolicy()])
        given.predictive_scaling = PredictiveScalingSettings()
        super().__init__(
            seed,
            given,
            is_calm=True,
            controller_count=2,
            versions=[production(), PRESENT],
            restart_delay_range_s=(4.0, 5.0),
            scale=2,
        )
        self.tracking_store = WriterTrackingStore(self)
        for act in (
            MixedVersionCluster.install_tracking_store,
            MixedVersionCluster.alternate_leaders,
            MixedVersionCluster.amend_and_drain,
        ):
            self.schedule_action(act)  # type: ignore[arg-type]

    async def install_tracking_store(self) -> None:
        self.state = self.tracking_store

    async def alternate_leaders(self) -> None:
        while True:
            await asyncio.sleep(17)
            await self.restart_controller(self.current_leader())

    async def amend_and_drain(self) -> None:
        for number in range(12):
            await asyncio.sleep(7)
            self.spawn(self.submit_amendment(self.registry.make_amendment()))
            ask = {"name": f"d{number}", "grace_s": 2.0, "deadline_s": 30.0, "types": ["cpu"]}
            node = self.rng.choice(self.nodes)
            await node.serve_peer("POST", "/drains", orjson.dumps({"verb": "start", "ask": ask}))


def put_operations(path: str, body: Any) -> list[dict[str, Any]]:
    return [op for op in body["then"] if "put" in op] if path == "/txn" else []


def family_of(key: str) -> str:
    """The kind of value under a key: its prefix, and for notes of starts and parts of drains one of their own."""
    parts = key.split("/")
    if parts[0] == "places" and parts[1].startswith("note-"):
        return "places/note"
    if parts[0] in ("lead", "drain", "served", "promise"):
        return "/".join(parts[:2])
    return parts[0]


def stored_job_state(cluster: SimulatedCluster, job_id: str) -> str:
    """By the state service: live, or how it ended."""
    if LIVE_JOB_PREFIX + job_id in cluster.state.keys:
        return "live"
    over = cluster.state.keys.get(COMPLETED_JOB_PREFIX + job_id)
    return "unknown" if over is None else str(over[0]["state"])
