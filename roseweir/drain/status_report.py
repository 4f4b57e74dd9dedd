"""Builds the status of drains for operators. Performs no I/O."""

from datetime import datetime
from typing import Any

from roseweir.drain.eviction_state_machine import EvictionStateMachine
from roseweir.drain.model import Drain


def describe_drain(
    state_machine: EvictionStateMachine, drain_record: Drain, now: datetime, wall_ms: int
) -> dict[str, Any]:
    state_counts: dict[str, int] = {}
    wait_counts: dict[str, int] = {}
    remaining_machines = [] if drain_record.outcome else list(state_machine.machines_of(drain_record.name))
    for machine in remaining_machines:
        machine_state = state_machine.state_of(machine).value
        state_counts[machine_state] = state_counts.get(machine_state, 0) + 1
        wait_reason = state_machine.wait_reasons.get(machine.name)
        if wait_reason:
            wait_counts[wait_reason] = wait_counts.get(wait_reason, 0) + 1
    last_progress = state_machine.last_progress.get(drain_record.name)
    return {
        "name": drain_record.name,
        "reason": drain_record.request.reason,
        "state": drain_record.outcome or "goes on",
        "machines": state_counts,
        "machines_chosen": drain_record.selected_count,
        "machines_gone": max(
            0,
            drain_record.selected_count
            - (drain_record.remaining_count if drain_record.outcome else len(remaining_machines)),
        ),
        "waits_for": None if drain_record.outcome else _main_wait_reason(state_machine, wait_counts),
        "no_step_for_s": None
        if last_progress is None or drain_record.outcome
        else round((now - last_progress).total_seconds(), 1),
        "deadline_in_s": None if drain_record.outcome else round((drain_record.deadline_ms - wall_ms) / 1000, 1),
        "then": "force" if drain_record.request.force else "give up",
        "replaced": drain_record.request.replace,
        "expected_end_in_s": None if drain_record.outcome else state_machine.expected_remaining_s(drain_record.name),
        "ended_s_ago": round((wall_ms - drain_record.ended_at_ms) / 1000, 1) if drain_record.outcome else None,
    }


def _main_wait_reason(state_machine: EvictionStateMachine, wait_counts: dict[str, int]) -> str | None:
    """The reason that all machines wait for, or else the most frequent one."""
    if "" in state_machine.wait_reasons:
        return state_machine.wait_reasons[""]
    if not wait_counts:
        return None
    wait_reason = max(sorted(wait_counts), key=lambda w: wait_counts[w])
    other_count = sum(wait_counts.values()) - wait_counts[wait_reason]
    return f"{wait_reason} ({wait_counts[wait_reason]} machines)" + (
        f"; {other_count} for something else" if other_count else ""
    )


def summarize(state_machine: EvictionStateMachine) -> dict[str, Any]:
    disrupted = [usage for usage in state_machine.disruptions.usage_by_key.values() if usage.tasks_down]
    return {
        "drains": [
            f"{name}: {sum(1 for _ in state_machine.machines_of(name))} machines left" for name in state_machine.drains
        ],
        "machines_drained_now": len(state_machine.cordons),
        "machines_replaced": state_machine.replaced_count,
        "teams_disturbed": [f"{b.team}: {b.tasks_down} tasks down, {b.max_tasks_down} may be" for b in disrupted],
    }


def describe_all(
    state_machine: EvictionStateMachine, ended_drains: list[Drain], is_active: bool, now: datetime, wall_ms: int
) -> dict[str, Any]:
    active = sorted(state_machine.drains.values(), key=lambda d: (d.requested_at_ms, d.name))
    machine_types = sorted(
        {c.machine_type for c in state_machine.cordons.values()}
        | state_machine.surge_pool.gaps.keys()
        | state_machine.due_machines.keys()
    )
    states_by_reason: dict[str, dict[str, int]] = {}
    for name, owner in state_machine.owners.items():
        machine = state_machine.cluster_state.machines.get(name)
        if machine is not None and owner not in state_machine.drains:
            state_counts = states_by_reason.setdefault(owner, {})
            machine_state = state_machine.state_of(machine).value
            state_counts[machine_state] = state_counts.get(machine_state, 0) + 1
    return {
        "on": is_active,
        "drains": [describe_drain(state_machine, drain, now, wall_ms) for drain in active],
        "own_reasons": None
        if state_machine.auto_replacement is None
        else state_machine.auto_replacement.describe(wall_ms) | {"machines": states_by_reason},
        "budgets": state_machine.disruptions.describe(),
        "types": [
            {
                "type": machine_type,
                "missing": state_machine.surge_pool.missing_count(machine_type, state_machine.cordons.values()),
                "may_be_missing": state_machine.surge_pool.max_missing(machine_type),
                "ready_to_replace": len(state_machine.surge_pool.ready_replacements.get(machine_type, ())),
                "sold_out": state_machine.surge_pool.is_sold_out(machine_type, False, now)
                and state_machine.surge_pool.is_sold_out(machine_type, True, now),
            }
            for machine_type in machine_types
        ],
        "machines_replaced": state_machine.replaced_count,
        "ended": [
            describe_drain(state_machine, drain, now, wall_ms)
            for drain in sorted(ended_drains, key=lambda d: -d.ended_at_ms)
        ],
    }
