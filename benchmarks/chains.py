"""What thousands of chains cost: bytes and changes of the state service, memory and time of a controller.

    python3 -m benchmarks.chains [--chains 3000] [--lots 10000]

Chains are taken by the leader's own desk against a stand-in for the state service that counts, at 15 and at 30 changes
a second. Changes are counted, bytes are those of the encoded pages, memory is Python's own account of what chains and
their jobs take. The night is so many lots, one amendment each with three steps.
"""

import argparse
import asyncio
import time
import tracemalloc
from typing import Any, cast

import msgspec
import orjson

from benchmarks.registry import Registry
from roseweir.chains.desk import ChainDesk
from roseweir.chains.settings import ChainSettings
from roseweir.settings import Settings
from roseweir.state import Conflict, Entry, StateClient
from roseweir.submissions.jobs import LIVE, MachineType
from roseweir.tuning import Tuning


class Counting:
    """Takes everything within its limits, and counts."""

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.keys: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.changes = self.of_chains = self.transactions = 0

    async def get(self, key: str) -> Entry | None:
        known = self.keys.get(key)
        return None if known is None else Entry(key, *known)

    async def watch(self, prefix: str, after: int, block: Any) -> tuple[list[Any], int]:
        return [], self.revision

    async def txn(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        assert len(ops) <= self.settings.txn_ops and len(orjson.dumps([guards, ops])) <= 65536
        failed = [k for k, v in guards if k != "lead/leader" and self.keys.get(k, (None, 0))[1] != v]
        if failed:
            raise Conflict(failed)
        self.revision += 1
        self.transactions += 1
        for op in ops:
            assert len(orjson.dumps(op.get("v"))) <= self.settings.value_kb * 1024
            key = op.get("put") or op["delete"]
            self.changes += 1
            self.of_chains += key.startswith("chain/")
            if "put" in op:
                self.keys[key] = (op["v"], self.revision)
            else:
                self.keys.pop(key, None)
        return self.revision


async def play(chains: int, write_rps: float, txn_ops: int, value_kb: float) -> dict[str, float]:
    from roseweir.placement.board import Board
    from tests.world import settings as world_settings

    given: Settings = world_settings(0, write_rps=write_rps, txn_ops=txn_ops, value_kb=value_kb)
    state = Counting(given.params.state)
    board = Board(given, Tuning(), 1, clock_now())
    board.catalog = {"cpu": MachineType("cpu", 8, 0, 64, 50, 1.0, 1.0, 0.3, 10, ("a", "b"))}
    chosen = ChainSettings(intake=1e9)
    desk = ChainDesk(chosen, board, cast(StateClient, state), 1, lambda: True, print)
    desk.revision = lambda: state.revision
    await desk._learn_ends()
    registry = Registry(1, lots=10 * chains)
    tracemalloc.start()
    for _ in range(chains):
        await desk.accept(registry.amendment([f"lot-{registry.made}"]))
    for key, (value, version) in list(state.keys.items()):
        if key.startswith(LIVE):
            board.add_record(key.removeprefix(LIVE), value, version)
    taken, taken_changes = state.of_chains, state.changes
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    pages = {key: len(orjson.dumps(v)) for key, (v, _) in state.keys.items() if key.startswith("chain/")}
    longest = 0.0
    for number in range(3):
        for chain in list(desk.chains.values()):
            if len(chain.steps) > number and not chain.ended:
                desk.over(chain.steps[number].job, "done")
            if len(desk._look_at) >= 20:
                # As many ends as a second brings at the most.
                began = time.perf_counter()
                await desk._step()
                longest = max(longest, time.perf_counter() - began)
        await desk._step()
        await desk._save()
    assert desk.counts() == {"done": chains}, desk.counts()
    return {
        "chains": chains,
        "changes_a_second": write_rps,
        "pages": len(pages),
        "kilobytes": round(sum(pages.values()) / 1024),
        "changes_a_chain_taken": round(taken / chains, 2),
        "changes_a_chain_in_all": round(state.of_chains / chains, 2),
        "seconds_to_take_400": round(400 * taken_changes / chains / write_rps, 1),
        "megabytes_of_a_controller": round(memory / 1e6, 1),
        "longest_step_ms": round(longest * 1000, 1),
    }


def clock_now() -> Any:
    from roseweir.clock import steady

    return steady()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--chains", type=int, default=3000)
    parser.add_argument("--lots", type=int, default=10_000, help="lots of a night")
    args = parser.parse_args()
    for write_rps, txn_ops, value_kb in ((15.0, 8, 4.0), (30.0, 24, 8.0)):
        found = asyncio.run(play(args.chains, write_rps, txn_ops, value_kb))
        # Three jobs of a lot are accepted, ended and gone: three changes each, and the chain's own.
        night = args.lots * (9 + found["changes_a_chain_in_all"]) / write_rps / 3600
        print(msgspec.json.encode(found | {f"hours_of_changes_for_{args.lots}_lots": round(night, 1)}).decode())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
