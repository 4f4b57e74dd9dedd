"""Reads a stored value with one version as a new leader does, and writes it again unchanged."""

from types import SimpleNamespace
from typing import Any

import msgspec

from roseweir.kv_store.transaction_limits import TransactionLimits
from tests.simulation.cluster import make_settings
from tests.versions import Version

_STORE_SETTINGS = make_settings(0).params.kv_store
MAX_VALUE_BYTES = 8 * 1024


def rewrite_value(version: Version, key: str, value: Any) -> Any:
    """The value as this version writes it after reading it; an error if this version rejects it."""
    family, _, rest = key.partition("/")
    if family == "drain":
        return _rewrite_drains(version, key, value)
    return REWRITERS[family](version, key, rest, value)


def _make_store_stub(version: Version) -> SimpleNamespace:
    """A stub of the store client with settings and limits; the limits also under their names in older versions."""
    limits = TransactionLimits(_STORE_SETTINGS)
    limits_in_history = SimpleNamespace(value_bytes=limits.max_value_bytes, txn_ops=limits.max_txn_ops)
    return SimpleNamespace(settings=version.adopt(_STORE_SETTINGS), transaction_limits=limits, limits=limits_in_history)


def _convert(version: Version, module: str, name: str, value: Any) -> Any:
    return msgspec.to_builtins(msgspec.convert(value, version.find(module, name)))


def _rewrite_live_job(version: Version, key: str, rest: str, value: Any) -> Any:
    to_stored = version.find("submissions.jobs", "to_stored")
    return to_stored(version.find("submissions.jobs", "decode_job_spec")(value))


def _rewrite_ended_job(version: Version, key: str, rest: str, value: Any) -> Any:
    to_stored = version.find("submissions.jobs", "to_stored")
    return to_stored(version.find("submissions.jobs", "decode_completed_job")(value))


def _rewrite_progress(version: Version, key: str, rest: str, value: Any) -> Any:
    """Checks that the same tasks are decoded; the number of trailing zeros in the bitmap may differ."""
    decode = version.find("submissions.task_bitmap", "decode_task_numbers")
    encode = version.find("submissions.task_bitmap", "encode_bitmap")
    completed_tasks = set(decode(value, 0))
    bitmap = bytearray(max(completed_tasks) // 8 + 1)
    for index in completed_tasks:
        bitmap[index // 8] |= 1 << index % 8
    assert set(decode(encode(bytes(bitmap)), 0)) == completed_tasks
    return value


def _rewrite_segment(version: Version, key: str, rest: str, value: Any) -> Any:
    segments = version.find("scheduler.log_segments", "SegmentTable")(MAX_VALUE_BYTES)
    version.attribute(segments, "load_segment")(int(rest), value, 1)
    return version.attribute(segments, "encode_segment")(int(rest))


def read_delta(version: Version, key: str, value: Any, live_jobs: dict[str, Any]) -> Any:
    """A delta of starts and completions as a new leader restores and encodes it; `live_jobs`: records of all jobs."""
    machine_type_class = version.find("submissions.jobs", "MachineType")
    live_job_prefix = version.find("submissions.jobs", "LIVE_JOB_PREFIX")
    entry_class = version.find("kv_store", "Entry")
    cluster_state = version.find("scheduler.cluster_state", "ClusterState")(
        version.adopt(make_settings(0)),
        version.find("operator_config", "OperatorConfig")(),
        1,
        version.find("clock", "monotonic_now")(),
    )
    cluster_state.catalog = {
        name: machine_type_class(name, 64.0, 8.0, 512.0, 0.0, 1.0, 1.0, 1.0, 1.0, ("a", "b")) for name in ("cpu", "gpu")
    }
    log_writer = version.find("scheduler.log_writer", "LogWriter")(
        _make_store_stub(version), cluster_state, 1, version.find("notifier", "Notifier")()
    )
    records = [entry_class(live_job_prefix + job_id, record, 1) for job_id, record in live_jobs.items()]
    version.attribute(log_writer, "_restore_state")(records, [], [entry_class(key, value, 1)], {})
    delta_number = int(key.rpartition("-")[2])
    delta = version.attribute(log_writer, "deltas")[delta_number]
    return version.attribute(delta, "encode")()


def _rewrite_workflows(version: Version, key: str, rest: str, value: Any) -> Any:
    store = version.find("workflows.store", "WorkflowStore")(_make_store_stub(version), 1)
    workflows = version.attribute(store, "restore")([version.find("kv_store", "Entry")(key, value, 1)])
    return version.attribute(store, "encode_page")(int(rest), workflows)


def _rewrite_drains(version: Version, key: str, value: Any) -> Any:
    store = version.find("drain.store", "DrainStore")(_make_store_stub(version), 1)
    records = version.attribute(store, "load_records")([version.find("kv_store", "Entry")(key, value, 1)])
    disruptions_prefix = version.find("drain.store", "DISRUPTIONS_KEY_PREFIX")
    if key.startswith(version.find("drain.store", "REQUEST_KEY_PREFIX")):
        return version.find("drain.store", "encode_drain")(records.drains[0])
    if key.startswith(version.find("drain.store", "CORDONS_KEY_PREFIX")):
        return version.attribute(store, "encode_cordons")(records.cordons)[key]
    if key.startswith(disruptions_prefix):
        progress = version.attribute(records, "placement_progress")
        windows = version.attribute(records, "rate_windows")
        return version.attribute(store, "encode_disruptions")(progress, windows, set())[f"{disruptions_prefix}00"]
    if key == version.find("drain.store", "REBALANCING_KEY"):
        plan_class = version.find("rebalancing.move_planning", "MovePlan")
        moves = version.attribute(records, "rebalancing")
        return moves | {"plans": [plan_class.decode(plan).encode() for plan in moves["plans"]]}
    return {"gaps": records.gaps, "own": version.attribute(records, "auto_replacement")}


def _rewrite_service_levels(version: Version, key: str, rest: str, value: Any) -> Any:
    account = version.find("service_levels.accounting", "ServiceLevelAccount")()
    return account.encode(account.decode(value), MAX_VALUE_BYTES)


def _rewrite_delivery_deadlines(version: Version, key: str, rest: str, value: Any) -> Any:
    durations = version.find("delivery_deadlines.step_durations", "StepDurations")()
    durations.decode(value["times"])
    night_report_class = version.find("delivery_deadlines.night_report", "NightReport")
    nights = {name: night_report_class.decode(night).encode() for name, night in value["nights"].items()}
    return {"nights": nights, "times": durations.encode()}


def _rewrite_demand_history(version: Version, key: str, rest: str, value: Any) -> Any:
    settings = version.find("forecast.settings", "PredictiveScalingSettings")()
    history = version.find("forecast.demand_history", "DemandHistory")(
        settings.slot_s, settings.weeks, settings.series_most
    )
    block_number = value["start"] // 3600
    version.attribute(history, "load_block")(value, 1, float(value["start"]), key, lambda block: key)
    return history.encode(version.attribute(history, "open_blocks")[block_number], MAX_VALUE_BYTES)


def _rewrite_leadership(version: Version, key: str, rest: str, value: Any) -> Any:
    if rest == "term":
        return int(value)
    message_names = {"leader": "LeaderRecord", "ask": "ReachabilityQuery"}
    return _convert(version, "leader_election.messages", message_names.get(rest, "ReachabilityAnswer"), value)


def _rewrite_catalog(version: Version, key: str, rest: str, value: Any) -> Any:
    return msgspec.to_builtins(msgspec.convert(value, list[version.find("submissions.jobs", "MachineType")]))  # type: ignore[misc]


REWRITERS = {
    "live": _rewrite_live_job,
    "over": _rewrite_ended_job,
    "done": _rewrite_progress,
    "places": _rewrite_segment,
    "chain": _rewrite_workflows,
    "served": _rewrite_service_levels,
    "promise": _rewrite_delivery_deadlines,
    "demand": _rewrite_demand_history,
    "lead": _rewrite_leadership,
    "catalog": _rewrite_catalog,
}
