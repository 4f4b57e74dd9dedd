"""The traffic of the present tree beside that of a commit of its history, message by message.

    PYTHONHASHSEED=0 python -m benchmarks.traffic --base COMMIT [--seeds 40] [--first N] [--jobs 4]

Each seed is a day of the simulated world of the tests, with faults of all kinds. It is played once with controllers of
the commit's package and once with controllers of the present one. Compared are all messages that enter or leave a
controller, in their order and with their virtual instants:

- each request to the state service, the cloud, a worker and another controller: method, path, the bytes of the body as
  orjson encodes it (as the client does), and the time allowed for its answer; then the status and bytes of the answer,
  or that none came, or that the controller gave the request up;
- each request of a worker, a user or another controller: method, path and bytes of the body; then the status, headers
  and bytes of the answer.

The comparison is exact. What would differ between two plays of one version is taken away: random numbers and time of
day come from the seed, `asyncio.TaskGroup` cancels its tasks in the order in which they began (by default in that of
their addresses in memory), and PYTHONHASHSEED is fixed. Not compared are logs, HTTP framing and the pool of
connections, which lie below the transport that the world puts in place.

Prints `equal` and counts (exit 0), or the first difference (exit 1); with bad arguments one line (exit 2). A day on
which the simulation itself fails is told as a failure (exit 1). Days that break a rule in both plays are counted.
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
DAY_S, JOBS = 90.0, 25
# Virtual seconds between the amendments, and drains, of a day with every optional feature.
AMENDMENT_GAP_S = 7.0
# Bytes of a body that a difference is shown with.
SHOWN_BYTES = 600
HASH_SEED = "0"
EXIT_EQUAL, EXIT_DIFFERENT, EXIT_USAGE = 0, 1, 2


@dataclass(frozen=True)
class Message:
    """One message at the transport of one controller. `exchange` joins an answer to its request."""

    instant: float  # virtual seconds
    controller: str
    exchange: int
    kind: str  # "sends", "gets", "is asked", "answers"
    what: str  # method, path, peer, status, headers: whatever is not the body
    body: bytes = b""

    def __str__(self) -> str:
        shown = self.body[:SHOWN_BYTES].decode(errors="replace") + ("..." if len(self.body) > SHOWN_BYTES else "")
        return f"{self.instant:.6f} s, {self.controller} {self.kind} #{self.exchange} {self.what} {shown}".rstrip()


@dataclass
class Recorder:
    """The messages of one play, in their order."""

    messages: list[Message] = field(default_factory=list)
    exchanges: int = 0

    def begin(self, controller: str, kind: str, what: str, body: bytes) -> Callable[..., None]:
        """Record a request; returns what records its answer."""
        self.exchanges += 1
        exchange = self.exchanges
        self.messages.append(Message(virtual_now(), controller, exchange, kind, what, body))

        def end(kind: str, what: str, body: bytes = b"") -> None:
            self.messages.append(Message(virtual_now(), controller, exchange, kind, what, body))

        return end

    def record_connect(self, controller: str, connect: Callable[..., Any]) -> Callable[..., Any]:
        """A controller's way out, whose requests and answers are recorded."""

        def recorded_connect(address: str, pool: int) -> Callable[..., Awaitable[Reply]]:
            send = connect(address, pool)

            async def recorded_send(method: str, path: str, body: object = None, **options: Any) -> Reply:
                raw = b"" if body is None else orjson.dumps(body)
                times = [value for value in options.values() if isinstance(value, timedelta)]
                what = f"{method} {path} to {address} within {[span.total_seconds() for span in times]} s"
                end = self.begin(controller, "sends", what, raw)
                try:
                    reply: Reply = await send(method, path, body, **options)
                except Unreachable as e:
                    end("gets", f"no answer ({e}, connected: {e.connected})")
                    raise
                except asyncio.CancelledError:
                    end("gets", "no answer: given up")
                    raise
                end("gets", str(reply.status), reply.body)
                return reply

            return recorded_send

        return recorded_connect

    def record_handler(
        self, controller: str, listener: str, handler: Callable[[Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        """A controller's handler of requests, whose requests and answers are recorded."""

        async def recorded_handler(request: Request) -> Response:
            what = f"{request.method} {request.path} at its {listener} address"
            end = self.begin(controller, "is asked", what, request.body)
            try:
                response = await handler(request)
            except BaseException as e:
                end("answers", "nothing: given up" if isinstance(e, asyncio.CancelledError) else "nothing: failed")
                raise
            end("answers", f"{response.status} {response.headers}", response.body)
            return response

        return recorded_handler


@dataclass(frozen=True)
class RecordedVersion(Version):
    """A version whose controllers' messages are recorded."""

    recorder: Recorder = field(default_factory=Recorder, compare=False)

    def make_service(self, settings: Settings, tuning: OperatorConfig, connect: Callable[..., Any]) -> Any:
        controller = settings.name
        service = super().make_service(settings, tuning, self.recorder.record_connect(controller, connect))
        service.serve_public = self.recorder.record_handler(controller, "public", service.serve_public)
        service.serve_peer = self.recorder.record_handler(controller, "back", service.serve_peer)
        return service


class FeaturesWorld(WorkflowCluster):
    """A world in which every optional feature is on: chains, promises, renting ahead, drains."""

    def __init__(self, seed: int, **more: Any) -> None:
        given = workflow_config()
        given.delivery_deadline = DeadlineSettings(policies=[DeadlinePolicy()])
        given.predictive_scaling = PredictiveScalingSettings()
        super().__init__(seed, given, **more)
        self.schedule_action(lambda _: self.amend_and_drain())

    async def amend_and_drain(self) -> None:
        for number in range(int(DAY_S / AMENDMENT_GAP_S)):
            await asyncio.sleep(AMENDMENT_GAP_S)
            self.spawn(self.submit_amendment(self.registry.make_amendment()))
            ask = {"name": f"d{number}", "grace_s": 2.0, "deadline_s": 30.0, "types": ["cpu"]}
            node = self.rng.choice(self.nodes)
            self.spawn(node.serve_peer("POST", "/drains", orjson.dumps({"verb": "start", "ask": ask})))


class _OrderedTaskGroup(asyncio.TaskGroup):
    """A task group that cancels its tasks in the order in which they began."""

    def __init__(self) -> None:
        super().__init__()
        vars(self)["_tasks"] = _OrderedTasks()


class _OrderedTasks(dict[Any, None]):
    """The part of a set's methods that a task group uses."""

    def add(self, task: Any) -> None:
        self[task] = None

    def discard(self, task: Any) -> None:
        self.pop(task, None)


@contextmanager
def repeatable(seed: int) -> Iterator[None]:
    """Make all that the package may draw from, but the clocks, which the world has its own of, depend on the seed."""
    draw = random.Random(f"package {seed}")
    random.seed(seed)
    with (
        patch("os.urandom", draw.randbytes),
        # What `secrets` and `random.SystemRandom` draw from.
        patch("random._urandom", draw.randbytes),
        patch("asyncio.TaskGroup", _OrderedTaskGroup),
    ):
        yield


@dataclass(frozen=True)
class Play:
    """What one play of a seed came to."""

    messages: list[Message]
    broken: list[str]  # rules of the world
    errors: list[str]  # of the simulation, or of a controller


def make_world(seed: int, version: Version) -> SimulatedCluster:
    """The seed's world: how many controllers, and which features and surroundings, depend on the seed alone."""
    world_class = FeaturesWorld if seed % 3 == 0 else SimulatedCluster
    controllers = 2 + seed % 2
    return world_class(
        seed,
        faults=FAULTS,
        controller_count=controllers,
        versions=[version] * controllers,
        restart_delay_range_s=(0.1, 3.0) if seed % 4 < 2 else (1.0, 4.0),
        max_clock_skew_s=0.5 * (seed % 5 == 4),
        write_rps=(100.0, 30.0)[seed % 7 == 5],
    )


def play(seed: int, version: Version, length: float = DAY_S, jobs: int = JOBS) -> Play:
    """Play one day with controllers of one version."""
    recorded = RecordedVersion(version.package)
    with repeatable(seed):
        world = make_world(seed, recorded).run(length, jobs)
    errors = [f"{type(e).__name__}: {e}" for e in world.errors]
    return Play(recorded.recorder.messages, [str(e) for e in world.rule_violations], errors)


def first_difference(base: Sequence[Message], present: Sequence[Message]) -> str | None:
    """The first place at which two plays differ, in lines for the reader; None if they are equal."""
    for number, (one, other) in enumerate(zip_longest(base, present)):
        if one != other:
            instant = min(message.instant for message in (one, other) if message is not None)
            shown = [str(message) if message is not None else "no more messages" for message in (one, other)]
            return f"message {number} at {instant:.6f} s\n  base:    {shown[0]}\n  present: {shown[1]}"
    return None


@dataclass(frozen=True)
class Comparison:
    """Of one seed: how many messages were compared, and what is wrong, if anything."""

    seed: int
    messages: int
    broken: int
    fault: str | None


def compare(base_commit: str, seed: int) -> Comparison:
    """Play one seed with the base and with the present tree."""
    base, present = play(seed, load(base_commit)), play(seed, PRESENT)
    fault = first_difference(base.messages, present.messages)
    if fault is None and base.broken != present.broken:
        fault = f"rules broken with equal messages\n  base:    {base.broken}\n  present: {present.broken}"
    if fault is None and (base.errors or present.errors):
        fault = f"errors with equal messages\n  base:    {base.errors}\n  present: {present.errors}"
    return Comparison(seed, len(present.messages), len(present.broken), fault)


def compare_all(base_commit: str, seeds: Sequence[int], jobs: int) -> Iterator[Comparison]:
    """Compare the seeds in their order, in so many processes."""
    if jobs == 1:
        yield from map(partial(compare, base_commit), seeds)
        return
    with get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap(partial(compare, base_commit), seeds)


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        print(f"{self.prog}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError(f"{text} is less than 1")
    return number


def main(arguments: Sequence[str] | None = None) -> int:
    parser = _Parser(prog="traffic", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--base", required=True, metavar="COMMIT", help="the commit to compare with")
    parser.add_argument("--seeds", type=_positive, default=40, help="how many")
    parser.add_argument("--first", type=int, default=1, metavar="N", help="the first seed")
    parser.add_argument("--jobs", type=_positive, default=4, metavar="N", help="processes")
    args = parser.parse_args(arguments)
    try:
        base = full_hash(args.base)
        load(base)
    except HistoryMissing as e:
        parser.error(str(e))
    messages = broken = 0
    for found in compare_all(base, range(args.first, args.first + args.seeds), args.jobs):
        if found.fault is not None:
            print(f"different: seed {found.seed}, {found.fault}")
            return EXIT_DIFFERENT
        messages += found.messages
        broken += found.broken > 0
    print(f"equal: {args.seeds} seeds, {messages} messages; a rule broke in both plays of {broken} seeds")
    return EXIT_EQUAL


def fix_hash_seed() -> None:
    """Start this command again with a fixed PYTHONHASHSEED if it has none."""
    if not os.environ.get("PYTHONHASHSEED", "").isdecimal():
        environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, "-m", "benchmarks.traffic", *sys.argv[1:]], environment)


if __name__ == "__main__":
    fix_hash_seed()
    raise SystemExit(main())
