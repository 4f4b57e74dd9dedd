"""The simulated world while an upgrade rolls through it, and who led it meanwhile."""

import asyncio
from typing import Any

import orjson

from roseweir.forecast.settings import AheadSettings
from roseweir.promises.settings import Promise, PromiseSettings
from roseweir.submissions.jobs import LIVE, OVER
from tests.chained import ChainWorld, tuning
from tests.versions import PRESENT, Version, production
from tests.world import State, World, now

# Seconds: the roll begins, a few processes are killed each time, and that far apart.
ROLL_BEGINS, ROLL_GAP = 15.0, (10.0, 15.0)
LENGTH_MOST, QUIET_FROM, JOBS = 400.0, 80.0, 14
# Seconds over which the jobs come.
ARRIVALS = 80.0


class RollWorld(World):
    """A day that begins with one version and on which every process comes back as another when its turn has come."""

    def __init__(self, seed: int, first: Version | None = None, then: Version = PRESENT, **more: Any) -> None:
        controllers = more.pop("controllers", 3)
        first = first or production()
        super().__init__(seed, controllers=controllers, versions=[first] * controllers, **more)
        self.first, self.then = first, then
        self.quiet_from = QUIET_FROM
        self.answers: list[tuple[float, int]] = []  # when each user was answered, and with which status; 0: not at all
        self.rolled_at = 0.0  # when the last process was killed for the new version
        self.spawn_later(lambda _: self.roll())
        self.spawn_later(lambda _: self.submit())

    def make_job(self) -> dict[str, Any]:
        """Of those that the world's few machines with GPUs can hold at all, so that every one must end."""
        return super().make_job() | {"loaners": True}

    async def ask(self, method: str, path: str, body: object = None) -> tuple[int, dict[str, Any]]:
        status, answer = await super().ask(method, path, body)
        self.answers.append((now(), status))
        return status, answer

    async def submit(self) -> None:
        """The day ends when every user knows the end of a job."""
        users = []
        for _ in range(JOBS):
            users.append(self.spawn(self.user()))
            await asyncio.sleep(self.draw.expovariate(JOBS / ARRIVALS))
        await asyncio.wait(users)
        await asyncio.sleep(max(0.0, QUIET_FROM - now()))
        self.over = True

    async def roll(self) -> None:
        await asyncio.sleep(ROLL_BEGINS)
        waiting = self.draw.sample(self.nodes, len(self.nodes))
        while waiting:
            turn = [waiting.pop() for _ in range(min(len(waiting), self.draw.choice([1, 1, 2])))]
            for node in turn:
                # One that is down at the moment comes back with the new version as well.
                node.version = self.then
            await asyncio.gather(*(self.restart(node) for node in turn))
            self.rolled_at = now()
            await asyncio.sleep(self.draw.uniform(*ROLL_GAP))

    def play_day(self) -> "RollWorld":
        self.play(LENGTH_MOST, jobs=0)
        return self

    def check(self) -> None:
        """The world's rules, and that nothing accepted is lost and every job has ended."""
        check_rules(self)
        assert self.rolled_at > 0 and all(node.running == self.then for node in self.nodes)
        unfinished = self.accepted - self.told_over.keys()
        assert not unfinished, f"seed {self.seed}: these jobs did not end: {sorted(unfinished)}"


def check_rules(world: World) -> None:
    if world.errors:
        raise world.errors[0]
    if world.broken:
        raise world.broken[0]


def is_led_by(world: World, version: Version) -> list[bool]:
    """Of each term, in their order, whether a process of this version led it."""
    own = version.find("service", "Service")
    return [type(service) is own for _, service in sorted(world.terms.items())]


def changes_of_leader(world: World) -> int:
    """How often leadership went from one process to another."""
    return len(world.terms) - 1


class Writers(State):
    """The state service, which notes of each value which version wrote it last, and who wrote over whom."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.writer: dict[str, Version] = {}
        self.rewritten: set[tuple[str, Version, Version]] = set()  # family, who wrote before, who wrote then
        self.values: dict[str, dict[bytes, tuple[str, Version]]] = {}  # of each family: its key and who wrote it

    async def handle(self, node: str, method: str, path: str, body: Any) -> Any:
        before = {op["put"]: self.keys[op["put"]][1] if op["put"] in self.keys else 0 for op in puts(path, body)}
        answer = await super().handle(node, method, path, body)
        if answer.status == 200:
            version = self.world.nodes[int(node[1:])].running
            for op in puts(path, body):
                key = op["put"]
                if key not in self.keys or self.keys[key][1] == before[key]:
                    continue
                family = family_of(key)
                if key in self.writer:
                    self.rewritten.add((family, self.writer[key], version))
                self.writer[key] = version
                self.values.setdefault(family, {})[orjson.dumps(op["v"])] = (key, version)
        return answer


class SharedWorld(ChainWorld):
    """Everything that is stored at once, and leaders of both versions in turn: whichever leads is killed, again and
    again, of two controllers."""

    def __init__(self, seed: int) -> None:
        given = tuning()
        given.promise = PromiseSettings(promises=[Promise()])
        given.ahead = AheadSettings()
        super().__init__(
            seed, given, calm=True, controllers=2, versions=[production(), PRESENT], back_after=(4.0, 5.0), scale=2
        )
        self.writers = Writers(self)
        for act in (SharedWorld.watch_writers, SharedWorld.alternate, SharedWorld.amend_and_drain):
            self.spawn_later(act)  # type: ignore[arg-type]

    async def watch_writers(self) -> None:
        self.state = self.writers

    async def alternate(self) -> None:
        while True:
            await asyncio.sleep(17)
            await self.restart(self.leader())

    async def amend_and_drain(self) -> None:
        for number in range(12):
            await asyncio.sleep(7)
            self.spawn(self.amend(self.registry.amendment()))
            ask = {"name": f"d{number}", "grace_s": 2.0, "deadline_s": 30.0, "types": ["cpu"]}
            node = self.draw.choice(self.nodes)
            await node.serve_back("POST", "/drains", orjson.dumps({"verb": "start", "ask": ask}))


def puts(path: str, body: Any) -> list[dict[str, Any]]:
    return [op for op in body["then"] if "put" in op] if path == "/txn" else []


def family_of(key: str) -> str:
    """The kind of value under a key: its prefix, and for notes of starts and parts of drains one of their own."""
    parts = key.split("/")
    if parts[0] == "places" and parts[1].startswith("note-"):
        return "places/note"
    if parts[0] in ("lead", "drain", "served", "promise"):
        return "/".join(parts[:2])
    return parts[0]


def standing_of(world: World, job_id: str) -> str:
    """By the state service: live, or how it ended."""
    if LIVE + job_id in world.state.keys:
        return "live"
    over = world.state.keys.get(OVER + job_id)
    return "unknown" if over is None else str(over[0]["state"])
