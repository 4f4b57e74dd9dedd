"""The load balancer as the protocol describes it, and users that ask about every job over connections of their own."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson

from roseweir.http import Request
from tests.world import Node, World, now

PROBE, TRIES, PASSED_OVER, REGAIN = 1.0, 3, 3.0, 10.0


class Behind:
    """What the balancer knows of one node."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.open = 0
        self.healthy = False
        self.ever = False
        self.since = 0.0  # healthy again
        self.probes: list[bool] = []
        self.failed = 0
        self.passed_until = 0.0
        self.removals: list[float] = []
        self.back_at = 0.0

    def probed(self, well: bool) -> None:
        self.probes = [*self.probes[-5:], well]
        if self.healthy:
            if self.probes[-2:] == [False, False] or self.probes.count(False) >= 3:
                self.healthy = False
                self.removals = [at for at in self.removals if now() - at < 120] + [now()]
                self.back_at = now() + min(60.0, 3.0 * 2 ** (len(self.removals) - 1))
        elif (well and not self.ever) or (self.probes[-2:] == [True, True] and now() >= self.back_at):
            self.healthy = self.ever = True
            self.since, self.probes = now(), []

    def load(self) -> float:
        """A node that has come back regains its share over some seconds."""
        share = min(1.0, max(0.1, (now() - self.since) / REGAIN))
        return (self.open + 1) / share


class Balancer:
    def __init__(self, world: World) -> None:
        self.world = world
        self.nodes = [Behind(node) for node in world.nodes]

    async def run(self) -> None:
        await asyncio.gather(*(self._probe(each) for each in self.nodes))

    async def _probe(self, each: Behind) -> None:
        while True:
            status = await self._request(each, "GET", "/healthz", b"", PROBE)
            each.probed(status is not None and status[0] == 200)
            await asyncio.sleep(PROBE)

    async def _request(
        self, each: Behind, method: str, path: str, body: bytes, patience: float
    ) -> tuple[int, bytes] | None:
        if each.node.service is None:
            return None
        try:
            async with asyncio.timeout(patience):
                response = await each.node.serve(lambda service: service.public(Request(method, path, body)))
        except TimeoutError:
            return None
        return None if response is None else (response.status, response.body)

    async def ask(self, method: str, path: str, body: object = None, patience: float = 2.0) -> tuple[int, Any]:
        """One request over a connection of its own: (0, None) without an answer."""
        tried: set[int] = set()
        for _ in range(TRIES):
            able = [
                (each.load(), self.world.draw.random(), n, each)
                for n, each in enumerate(self.nodes)
                if each.healthy and n not in tried and now() >= each.passed_until
            ]
            if not able:
                return 0, None
            _, _, number, each = min(able, key=lambda entry: entry[:2])
            tried.add(number)
            if each.node.service is None:
                each.failed += 1
                if each.failed >= 3:
                    each.failed, each.passed_until = 0, now() + PASSED_OVER
                continue
            each.failed = 0
            each.open += 1
            try:
                answer = await self._request(each, method, path, b"" if body is None else orjson.dumps(body), patience)
            finally:
                each.open -= 1
            return (0, None) if answer is None else (answer[0], orjson.loads(answer[1]))
        return 0, None


class Asked:
    """Users who keep asking about every accepted job, and how long the longest of them went without an answer."""

    def __init__(self, world: World, balancer: Balancer, quiet: Callable[[], bool]) -> None:
        self.world, self.balancer = world, balancer
        self.quiet = quiet  # troubles are over
        self.longest = 0.0
        self.without: dict[str, float] = {}

    async def run(self) -> None:
        asking: dict[str, asyncio.Task[None]] = {}
        while True:
            for job_id in sorted(self.world.accepted):
                if job_id not in asking:
                    asking[job_id] = self.world.spawn(self._keep_asking(job_id))
            await asyncio.sleep(0.5)

    async def _keep_asking(self, job_id: str) -> None:
        while True:
            await asyncio.sleep(self.world.draw.uniform(4.0, 6.0))
            known = self.world.told_over.get(job_id)
            status, answer = await self.balancer.ask("GET", f"/submissions/{job_id}")
            if known == self.world.told_over.get(job_id):
                # What its own user was told meanwhile, on another connection, this answer need not know.
                self.world.check_answer(job_id, status, answer or {})
            if status == 200:
                self.without.pop(job_id, None)
            elif self.quiet():
                since = self.without.setdefault(job_id, now())
                self.longest = max(self.longest, now() - since)
                self.world.rule(now() - since < 75, f"forgotten: no answer about {job_id} for 75 s after all troubles")
