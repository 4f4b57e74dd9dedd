"""Compares the messages that controllers of the present tree and of an earlier commit send and receive.

    PYTHONHASHSEED=0 python -m benchmarks.traffic --base COMMIT [--seeds 40] [--first N] [--jobs 4]

Each seed is a day of the simulated cluster of the tests, with faults of all kinds. It runs once with controllers of
the commit's package and once with controllers of the present one. All messages that a controller sends or receives are
compared, in order and with their virtual instants:

- each request to the key-value store, the cloud, a worker or another controller: method, path, the bytes of the body as
  orjson encodes it (as the client does), and the timeout; then the status and bytes of the response, or that there was
  none, or that the controller cancelled the request;
- each request of a worker, a user or another controller: method, path and bytes of the body; then the status, headers
  and bytes of the response.

The comparison is exact. Sources of differences between two runs of one version are removed: random numbers and the time
of day come from the seed, `asyncio.TaskGroup` cancels its tasks in the order in which they started (by default in that
of their memory addresses), and PYTHONHASHSEED is fixed. Logs, HTTP framing and connection pools are not compared: they
lie below the simulated transport.

Prints `equal` and counts (exit 0), or the first difference (exit 1); with invalid arguments one line (exit 2). A day on
which the simulation itself fails is a difference (exit 1). Days on which an invariant is violated equally in both runs
are counted.
"""

import argparse
import asyncio
import os
import random
import sys
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import zip_longest
from multiprocessing import get_context
from typing import Any, NoReturn
from unittest.mock import patch

import orjson

from roseweir.delivery_deadlines.settings import DeadlinePolicy, DeadlineSettings
from roseweir.forecast.settings import PredictiveScalingSettings
from roseweir.http import Reply, Request, Response, Unreachable
from roseweir.operator_config import OperatorConfig
from roseweir.settings import Settings
from tests.simulation.cluster import (
    EXTENDED_FAULTS,
    PARTIAL_PARTITION_FAULTS,
    STORE_AND_LEADER_FAULTS,
    SimulatedCluster,
    virtual_now,
)
from tests.simulation.user_faults import USER_FAULTS
from tests.simulation.workflows import WorkflowCluster, workflow_config
from tests.versions import PRESENT, HistoryMissing, Version, full_hash, load

FAULTS = [*EXTENDED_FAULTS, *PARTIAL_PARTITION_FAULTS, *STORE_AND_LEADER_FAULTS, *USER_FAULTS, "deaf"]
# Virtual seconds of a day, and jobs submitted on it.
DAY_S, JOB_COUNT = 90.0, 25
# Virtual seconds between amendments, and between drains, on a day with every optional feature.
AMENDMENT_INTERVAL_S = 7.0
# Bytes of a body that are printed with a difference.
MAX_PRINTED_BYTES = 600
HASH_SEED = "0"
EXIT_EQUAL, EXIT_DIFFERENT, EXIT_USAGE = 0, 1, 2


@dataclass(frozen=True)
class Message:
    """A request or response at the transport of one controller. Both have the same `exchange` number."""

    instant: float  # virtual seconds
    controller: str
    exchange: int
    event: str  # "sends", "gets", "is asked", "answers"
    summary: str  # everything except the body: method, path, peer, status, headers
    body: bytes = b""

    def __str__(self) -> str:
        body_text = self.body[:MAX_PRINTED_BYTES].decode(errors="replace") + (
            "..." if len(self.body) > MAX_PRINTED_BYTES else ""
        )
        return (
            f"{self.instant:.6f} s, {self.controller} {self.event} #{self.exchange} {self.summary} {body_text}".rstrip()
        )


@dataclass
class Recorder:
    """The messages of one run, in order."""

    messages: list[Message] = field(default_factory=list)
    exchange_count: int = 0

    def record_request(self, controller: str, event: str, summary: str, body: bytes) -> Callable[..., None]:
        """Record a request; returns a function that records its response."""
        self.exchange_count += 1
        exchange = self.exchange_count
        self.messages.append(Message(virtual_now(), controller, exchange, event, summary, body))

        def record_response(event: str, summary: str, body: bytes = b"") -> None:
            self.messages.append(Message(virtual_now(), controller, exchange, event, summary, body))

        return record_response

    def record_connect(self, controller: str, connect: Callable[..., Any]) -> Callable[..., Any]:
        """A controller's function for connections, wrapped to record requests and responses."""

        def recorded_connect(address: str, pool: int) -> Callable[..., Awaitable[Reply]]:
            send = connect(address, pool)

            async def recorded_send(method: str, path: str, body: object = None, **options: Any) -> Reply:
                encoded_body = b"" if body is None else orjson.dumps(body)
                timeouts = [value for value in options.values() if isinstance(value, timedelta)]
                summary = f"{method} {path} to {address} within {[timeout.total_seconds() for timeout in timeouts]} s"
                record_response = self.record_request(controller, "sends", summary, encoded_body)
                try:
                    reply: Reply = await send(method, path, body, **options)
                except Unreachable as e:
                    record_response("gets", f"no answer ({e}, connected: {e.connected})")
                    raise
                except asyncio.CancelledError:
                    record_response("gets", "no answer: given up")
                    raise
                record_response("gets", str(reply.status), reply.body)
                return reply

            return recorded_send

        return recorded_connect

    def record_handler(
        self, controller: str, listener: str, handler: Callable[[Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        """A controller's request handler, wrapped to record requests and responses."""

        async def recorded_handler(request: Request) -> Response:
            summary = f"{request.method} {request.path} at its {listener} address"
            record_response = self.record_request(controller, "is asked", summary, request.body)
            try:
                response = await handler(request)
            except BaseException as e:
                record_response(
                    "answers", "nothing: given up" if isinstance(e, asyncio.CancelledError) else "nothing: failed"
                )
                raise
            record_response("answers", f"{response.status} {response.headers}", response.body)
            return response

        return recorded_handler


@dataclass(frozen=True)
class RecordedVersion(Version):
    """A version whose controllers' messages are recorded."""

    recorder: Recorder = field(default_factory=Recorder, compare=False)

    def make_service(self, settings: Settings, operator_config: OperatorConfig, connect: Callable[..., Any]) -> Any:
        controller = settings.name
        service = super().make_service(settings, operator_config, self.recorder.record_connect(controller, connect))
        service.serve_public = self.recorder.record_handler(controller, "public", service.serve_public)
        service.serve_peer = self.recorder.record_handler(controller, "back", service.serve_peer)
        return service


class AllFeaturesCluster(WorkflowCluster):
    """A cluster with every optional feature: workflows, delivery deadlines, predictive scaling and drains."""

    def __init__(self, seed: int, **options: Any) -> None:
        operator_config = workflow_config()
        operator_config.delivery_deadline = DeadlineSettings(policies=[DeadlinePolicy()])
        operator_config.predictive_scaling = PredictiveScalingSettings()
        super().__init__(seed, operator_config, **options)
        self.schedule_action(lambda _: self.amend_and_drain())

    async def amend_and_drain(self) -> None:
        for number in range(int(DAY_S / AMENDMENT_INTERVAL_S)):
            await asyncio.sleep(AMENDMENT_INTERVAL_S)
            self.spawn(self.submit_amendment(self.registry.make_amendment()))
            drain_request = {"name": f"d{number}", "grace_s": 2.0, "deadline_s": 30.0, "types": ["cpu"]}
            node = self.rng.choice(self.controllers)
            self.spawn(node.serve_peer("POST", "/drains", orjson.dumps({"verb": "start", "ask": drain_request})))


class _OrderedTaskGroup(asyncio.TaskGroup):
    """A task group that cancels its tasks in the order in which they started."""

    def __init__(self) -> None:
        super().__init__()
        vars(self)["_tasks"] = _OrderedTasks()


class _OrderedTasks(dict[Any, None]):
    """An ordered replacement for a set, with the methods that a task group uses."""

    def add(self, task: Any) -> None:
        self[task] = None

    def discard(self, task: Any) -> None:
        self.pop(task, None)


@contextmanager
def deterministic(seed: int) -> Iterator[None]:
    """Seed every source of random numbers that the package may use. The simulated cluster has its own clocks."""
    rng = random.Random(f"package {seed}")
    random.seed(seed)
    with (
        patch("os.urandom", rng.randbytes),
        # The source of `secrets` and `random.SystemRandom`.
        patch("random._urandom", rng.randbytes),
        patch("asyncio.TaskGroup", _OrderedTaskGroup),
    ):
        yield


@dataclass(frozen=True)
class DayRun:
    """The outcome of one run of a seed."""

    messages: list[Message]
    rule_violations: list[str]  # of the simulated cluster's invariants
    errors: list[str]  # of the simulation, or of a controller


def make_cluster(seed: int, version: Version) -> SimulatedCluster:
    """The seed's cluster: the number of controllers, the features and the environment depend on the seed alone."""
    cluster_class = AllFeaturesCluster if seed % 3 == 0 else SimulatedCluster
    controllers = 2 + seed % 2
    return cluster_class(
        seed,
        faults=FAULTS,
        controller_count=controllers,
        versions=[version] * controllers,
        restart_delay_range_s=(0.1, 3.0) if seed % 4 < 2 else (1.0, 4.0),
        max_clock_skew_s=0.5 * (seed % 5 == 4),
        write_rps=(100.0, 30.0)[seed % 7 == 5],
    )


def run_day(seed: int, version: Version, length_s: float = DAY_S, job_count: int = JOB_COUNT) -> DayRun:
    """Run one day with controllers of one version."""
    recorded_version = RecordedVersion(version.package)
    with deterministic(seed):
        cluster = make_cluster(seed, recorded_version).run(length_s, job_count)
    errors = [f"{type(e).__name__}: {e}" for e in cluster.errors]
    return DayRun(recorded_version.recorder.messages, [str(e) for e in cluster.rule_violations], errors)


def first_difference(base: Sequence[Message], present: Sequence[Message]) -> str | None:
    """A description of the first message that differs between two runs; None if they are equal."""
    for number, (base_message, present_message) in enumerate(zip_longest(base, present)):
        if base_message != present_message:
            instant = min(message.instant for message in (base_message, present_message) if message is not None)
            descriptions = [
                str(message) if message is not None else "no more messages"
                for message in (base_message, present_message)
            ]
            return f"message {number} at {instant:.6f} s\n  base:    {descriptions[0]}\n  present: {descriptions[1]}"
    return None


@dataclass(frozen=True)
class Comparison:
    """The result for one seed: how many messages were compared, and the first difference, if any."""

    seed: int
    message_count: int
    rule_violation_count: int
    difference: str | None


def compare(base_commit: str, seed: int) -> Comparison:
    """Run one seed with the base and with the present tree."""
    base, present = run_day(seed, load(base_commit)), run_day(seed, PRESENT)
    difference = first_difference(base.messages, present.messages)
    if difference is None and base.rule_violations != present.rule_violations:
        difference = (
            f"rules broken with equal messages\n  base:    {base.rule_violations}\n  present: {present.rule_violations}"
        )
    if difference is None and (base.errors or present.errors):
        difference = f"errors with equal messages\n  base:    {base.errors}\n  present: {present.errors}"
    return Comparison(seed, len(present.messages), len(present.rule_violations), difference)


def compare_all(base_commit: str, seeds: Sequence[int], jobs: int) -> Iterator[Comparison]:
    """Compare the seeds in order, in the given number of processes."""
    if jobs == 1:
        yield from map(partial(compare, base_commit), seeds)
        return
    with get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap(partial(compare, base_commit), seeds)


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        print(f"{self.prog}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


def _positive_int(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError(f"{text} is less than 1")
    return number


def main(arguments: Sequence[str] | None = None) -> int:
    parser = _Parser(prog="traffic", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--base", required=True, metavar="COMMIT", help="the commit to compare with")
    parser.add_argument("--seeds", type=_positive_int, default=40, help="how many")
    parser.add_argument("--first", type=int, default=1, metavar="N", help="the first seed")
    parser.add_argument("--jobs", type=_positive_int, default=4, metavar="N", help="processes")
    args = parser.parse_args(arguments)
    try:
        base = full_hash(args.base)
        load(base)
    except HistoryMissing as e:
        parser.error(str(e))
    message_count = violating_count = 0
    for comparison in compare_all(base, range(args.first, args.first + args.seeds), args.jobs):
        if comparison.difference is not None:
            print(f"different: seed {comparison.seed}, {comparison.difference}")
            return EXIT_DIFFERENT
        message_count += comparison.message_count
        violating_count += comparison.rule_violation_count > 0
    print(f"equal: {args.seeds} seeds, {message_count} messages; a rule broke in both plays of {violating_count} seeds")
    return EXIT_EQUAL


def fix_hash_seed() -> None:
    """Replace this process by one with a fixed PYTHONHASHSEED if none is set."""
    if not os.environ.get("PYTHONHASHSEED", "").isdecimal():
        environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, "-m", "benchmarks.traffic", *sys.argv[1:]], environment)


if __name__ == "__main__":
    fix_hash_seed()
    raise SystemExit(main())
