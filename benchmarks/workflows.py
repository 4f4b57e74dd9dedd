"""Cost of thousands of workflows: bytes and changes in the key-value store, memory and time of a controller.

    python3 -m benchmarks.workflows [--chains 3000] [--lots 10000]

The leader's workflow controller accepts workflows and runs them to their end on a simulated key-value store with a
limit of 15 and of 30 changes a second. The store counts changes, bytes are the size of the encoded workflow pages, and
memory is what `tracemalloc` attributes to workflows and their jobs. `--lots` is the size of a night: one amendment with
three steps for each lot.
"""

import argparse
import asyncio
import time
import tracemalloc
from typing import Any, cast

import msgspec
import orjson

from benchmarks.simulated_registry import SimulatedRegistry
from roseweir.kv_store import CompareFailed, Entry, KeyValueStoreClient
from roseweir.operator_config import OperatorConfig
from roseweir.settings import Settings
from roseweir.submissions.jobs import LIVE_JOB_PREFIX, MachineType
from roseweir.workflows.controller import WorkflowController
from roseweir.workflows.settings import WorkflowSettings


class CountingStore:
    """A simulated key-value store: accepts each transaction within its limits, and counts changes."""

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.keys: dict[str, tuple[Any, int]] = {}
        self.revision = 1
        self.change_count = self.workflow_change_count = self.transaction_count = 0

    async def get(self, key: str) -> Entry | None:
        stored = self.keys.get(key)
        return None if stored is None else Entry(key, *stored)

    async def watch(self, prefix: str, after: int, block: Any) -> tuple[list[Any], int]:
        return [], self.revision

    async def compare_and_swap(self, guards: list[tuple[str, int]], ops: list[dict[str, Any]]) -> int:
        assert len(ops) <= self.settings.max_txn_ops and len(orjson.dumps([guards, ops])) <= 65536
        failed = [
            key for key, version in guards if key != "lead/leader" and self.keys.get(key, (None, 0))[1] != version
        ]
        if failed:
            raise CompareFailed(failed)
        self.revision += 1
        self.transaction_count += 1
        for op in ops:
            assert len(orjson.dumps(op.get("v"))) <= self.settings.max_value_kib * 1024
            key = op.get("put") or op["delete"]
            self.change_count += 1
            self.workflow_change_count += key.startswith("chain/")
            if "put" in op:
                self.keys[key] = (op["v"], self.revision)
            else:
                self.keys.pop(key, None)
        return self.revision


async def measure(workflow_count: int, write_rps: float, txn_ops: int, value_kb: float) -> dict[str, float]:
    from roseweir.scheduler.cluster_state import ClusterState
    from tests.simulation.cluster import make_settings as make_controller_settings

    controller_settings: Settings = make_controller_settings(0, write_rps=write_rps, txn_ops=txn_ops, value_kb=value_kb)
    store = CountingStore(controller_settings.params.kv_store)
    cluster_state = ClusterState(controller_settings, OperatorConfig(), 1, monotonic_now())
    cluster_state.catalog = {"cpu": MachineType("cpu", 8, 0, 64, 50, 1.0, 1.0, 0.3, 10, ("a", "b"))}
    workflow_settings = WorkflowSettings(max_amendments_per_window=1e9)
    controller = WorkflowController(
        workflow_settings, cluster_state, cast(KeyValueStoreClient, store), 1, lambda: True, print
    )
    controller.watched_revision = lambda: store.revision
    await controller._load_job_ends()
    registry = SimulatedRegistry(1, lot_count=10 * workflow_count)
    tracemalloc.start()
    for _ in range(workflow_count):
        await controller.accept_amendment(registry.make_amendment([f"lot-{registry.amendment_count}"]))
    for key, (value, version) in list(store.keys.items()):
        if key.startswith(LIVE_JOB_PREFIX):
            cluster_state.add_stored_job(key.removeprefix(LIVE_JOB_PREFIX), value, version)
    workflow_changes_at_acceptance, changes_at_acceptance = store.workflow_change_count, store.change_count
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    page_sizes = {key: len(orjson.dumps(value)) for key, (value, _) in store.keys.items() if key.startswith("chain/")}
    longest_step_s = 0.0
    for step_index in range(3):
        for workflow in list(controller.workflows.values()):
            if len(workflow.steps) > step_index and not workflow.is_ended:
                controller.record_job_end(workflow.steps[step_index].job_id, "done")
            if len(controller._workflows_to_evaluate) >= 20:
                # The maximum number of job ends in a second.
                started_at = time.perf_counter()
                await controller._evaluate_workflows()
                longest_step_s = max(longest_step_s, time.perf_counter() - started_at)
        await controller._evaluate_workflows()
        await controller._save_pages()
    assert controller.count_by_state() == {"done": workflow_count}, controller.count_by_state()
    return {
        "chains": workflow_count,
        "changes_a_second": write_rps,
        "pages": len(page_sizes),
        "kilobytes": round(sum(page_sizes.values()) / 1024),
        "changes_a_chain_taken": round(workflow_changes_at_acceptance / workflow_count, 2),
        "changes_a_chain_in_all": round(store.workflow_change_count / workflow_count, 2),
        "seconds_to_take_400": round(400 * changes_at_acceptance / workflow_count / write_rps, 1),
        "megabytes_of_a_controller": round(memory_bytes / 1e6, 1),
        "longest_step_ms": round(longest_step_s * 1000, 1),
    }


def monotonic_now() -> Any:
    from roseweir.clock import monotonic_now

    return monotonic_now()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--chains", type=int, default=3000)
    parser.add_argument("--lots", type=int, default=10_000, help="lots amended in a night")
    args = parser.parse_args()
    for write_rps, txn_ops, value_kb in ((15.0, 8, 4.0), (30.0, 24, 8.0)):
        result = asyncio.run(measure(args.chains, write_rps, txn_ops, value_kb))
        # A lot's three jobs are each accepted, completed and removed: three changes a job, and those of the workflow.
        night_hours = args.lots * (9 + result["changes_a_chain_in_all"]) / write_rps / 3600
        print(msgspec.json.encode(result | {f"hours_of_changes_for_{args.lots}_lots": round(night_hours, 1)}).decode())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
