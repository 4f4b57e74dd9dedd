"""The load balancer as the protocol describes it, and users who poll every job over a connection per request."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson

from roseweir.http import Request
from tests.simulation.cluster import SimulatedCluster, SimulatedController, virtual_now

PROBE_INTERVAL_S, MAX_TRIES, SKIP_DURATION_S, SLOW_START_S = 1.0, 3, 3.0, 10.0


class Backend:
    """The balancer's state for one controller."""

    def __init__(self, controller: SimulatedController) -> None:
        self.controller = controller
        self.open_requests = 0
        self.is_healthy = False
        self.was_ever_healthy = False
        self.healthy_since = 0.0  # start of the current healthy period
        self.probes: list[bool] = []
        self.connect_failures = 0
        self.skipped_until = 0.0
        self.removals: list[float] = []
        self.earliest_return_at = 0.0

    def record_probe(self, succeeded: bool) -> None:
        self.probes = [*self.probes[-5:], succeeded]
        if self.is_healthy:
            if self.probes[-2:] == [False, False] or self.probes.count(False) >= 3:
                self.is_healthy = False
                self.removals = [at for at in self.removals if virtual_now() - at < 120] + [virtual_now()]
                self.earliest_return_at = virtual_now() + min(60.0, 3.0 * 2 ** (len(self.removals) - 1))
        elif (succeeded and not self.was_ever_healthy) or (
            self.probes[-2:] == [True, True] and virtual_now() >= self.earliest_return_at
        ):
            self.is_healthy = self.was_ever_healthy = True
            self.healthy_since, self.probes = virtual_now(), []

    def weighted_load(self) -> float:
        """Open requests weighted for slow start: a controller that returns regains its share over `SLOW_START_S`."""
        share = min(1.0, max(0.1, (virtual_now() - self.healthy_since) / SLOW_START_S))
        return (self.open_requests + 1) / share


class LoadBalancer:
    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.backends = [Backend(node) for node in cluster.nodes]

    async def run(self) -> None:
        await asyncio.gather(*(self._probe(each) for each in self.backends))

    async def _probe(self, backend: Backend) -> None:
        while True:
            answer = await self._request(backend, "GET", "/healthz", b"", PROBE_INTERVAL_S)
            backend.record_probe(answer is not None and answer[0] == 200)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _request(
        self, backend: Backend, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes] | None:
        if backend.controller.service is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                response = await backend.controller.serve(
                    lambda service: service.serve_public(Request(method, path, body))
                )
        except TimeoutError:
            return None
        return None if response is None else (response.status, response.body)

    async def send_request(
        self, method: str, path: str, body: object = None, timeout_s: float = 2.0
    ) -> tuple[int, Any]:
        """Sends one request over its own connection; (0, None) without an answer."""
        tried_backends: set[int] = set()
        for _ in range(MAX_TRIES):
            candidates = [
                (backend.weighted_load(), self.cluster.rng.random(), backend_index, backend)
                for backend_index, backend in enumerate(self.backends)
                if backend.is_healthy and backend_index not in tried_backends and virtual_now() >= backend.skipped_until
            ]
            if not candidates:
                return 0, None
            _, _, index, backend = min(candidates, key=lambda entry: entry[:2])
            tried_backends.add(index)
            if backend.controller.service is None:
                backend.connect_failures += 1
                if backend.connect_failures >= 3:
                    backend.connect_failures, backend.skipped_until = 0, virtual_now() + SKIP_DURATION_S
                continue
            backend.connect_failures = 0
            backend.open_requests += 1
            try:
                answer = await self._request(
                    backend, method, path, b"" if body is None else orjson.dumps(body), timeout_s
                )
            finally:
                backend.open_requests -= 1
            return (0, None) if answer is None else (answer[0], orjson.loads(answer[1]))
        return 0, None


class PollingUsers:
    """Users who poll every accepted job; records the longest time that one of them got no answer."""

    def __init__(self, cluster: SimulatedCluster, balancer: LoadBalancer, are_faults_over: Callable[[], bool]) -> None:
        self.cluster, self.balancer = cluster, balancer
        self.are_faults_over = are_faults_over
        self.longest_unanswered_s = 0.0
        self.unanswered_since: dict[str, float] = {}

    async def run(self) -> None:
        polls: dict[str, asyncio.Task[None]] = {}
        while True:
            for job_id in sorted(self.cluster.accepted_jobs):
                if job_id not in polls:
                    polls[job_id] = self.cluster.spawn(self._keep_asking(job_id))
            await asyncio.sleep(0.5)

    async def _keep_asking(self, job_id: str) -> None:
        while True:
            await asyncio.sleep(self.cluster.rng.uniform(4.0, 6.0))
            observed_end = self.cluster.observed_ends.get(job_id)
            status, answer = await self.balancer.send_request("GET", f"/submissions/{job_id}")
            if observed_end == self.cluster.observed_ends.get(job_id):
                # If another request observed the job's end meanwhile, this answer may be older and is not checked.
                self.cluster.check_answer(job_id, status, answer or {})
            if status == 200:
                self.unanswered_since.pop(job_id, None)
            elif self.are_faults_over():
                unanswered_since = self.unanswered_since.setdefault(job_id, virtual_now())
                self.longest_unanswered_s = max(self.longest_unanswered_s, virtual_now() - unanswered_since)
                self.cluster.check_rule(
                    virtual_now() - unanswered_since < 75,
                    f"forgotten: no answer about {job_id} for 75 s after all faults",
                )
