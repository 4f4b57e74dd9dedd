"""The history checker finds each kind of wrong answer, and agrees with a search over all orders of operations."""

from dataclasses import replace
from random import Random

import orjson
import pytest

from roseweir.http import Request
from tests.simulation.linearizability import NEVER, Action, Operation, target_of, violations

SUBMIT, POLL, CANCEL = Action.SUBMIT, Action.POLL, Action.CANCEL


def operation(action: Action, invoked: float, responded: float, status: int, job_state: str = "") -> Operation:
    return Operation(action, "j-1", invoked, responded, status, job_state)


ACCEPTED = operation(SUBMIT, 1, 2, 201, "queued")
CANCELLED = operation(CANCEL, 3, 4, 200, "aborted")

LINEARIZABLE_HISTORIES = {
    "submitted, run and cancelled": [
        operation(POLL, 0, 0.5, 404),
        ACCEPTED,
        operation(POLL, 2.5, 3, 200, "running"),
        CANCELLED,
    ],
    "poll concurrent with the acceptance": [ACCEPTED, operation(POLL, 1.5, 9, 404)],
    "poll concurrent with the end": [ACCEPTED, CANCELLED, operation(POLL, 3.5, 9, 200, "running")],
    "running, then queued": [
        ACCEPTED,
        operation(POLL, 3, 4, 200, "running"),
        operation(POLL, 5, 6, 200, "queued"),
    ],
    "accepted by a submission without an answer": [
        operation(SUBMIT, 1, 2, 503),
        operation(POLL, 3, 4, 404),
        operation(POLL, 5, 6, 200, "queued"),
    ],
    "cancelled by a cancel without an answer": [
        ACCEPTED,
        operation(CANCEL, 3, NEVER, 0),
        operation(POLL, 5, 6, 200, "running"),
        operation(POLL, 7, 8, 200, "aborted"),
    ],
    "done before the cancel": [ACCEPTED, operation(CANCEL, 3, 4, 200, "done")],
    "no conclusive answer": [operation(SUBMIT, 1, 2, 429), operation(POLL, 3, 4, 503)],
}

NON_LINEARIZABLE_HISTORIES = {
    "forgotten": [ACCEPTED, operation(POLL, 3, 4, 404)],
    "forgotten: repeat rejected as unrunnable": [ACCEPTED, operation(SUBMIT, 3, 4, 422)],
    "forgotten: repeat rejected as malformed": [ACCEPTED, operation(SUBMIT, 3, 4, 400)],
    "forgotten: by a cancel": [ACCEPTED, operation(CANCEL, 3, 4, 404)],
    "forgotten: after a poll": [
        operation(SUBMIT, 1, NEVER, 0),
        operation(POLL, 2, 3, 200, "queued"),
        operation(POLL, 4, 5, 404),
    ],
    "went_back": [ACCEPTED, CANCELLED, operation(POLL, 5, 6, 200, "running")],
    "went_back: as a repeat": [ACCEPTED, CANCELLED, operation(SUBMIT, 5, 6, 200, "queued")],
    "went_back: two ends": [ACCEPTED, CANCELLED, operation(POLL, 3, 9, 200, "done")],
    "accepted_twice": [ACCEPTED, operation(SUBMIT, 1, 9, 201, "queued")],
    "accepted_twice: shown by an earlier poll": [
        operation(SUBMIT, 1, NEVER, 0),
        operation(POLL, 2, 3, 200, "queued"),
        operation(SUBMIT, 4, 5, 201, "queued"),
    ],
    "invented": [operation(POLL, 1, 2, 200, "queued")],
    "invented: submitted later": [operation(POLL, 0, 0.5, 200, "queued"), ACCEPTED],
    "invented: submission rejected": [operation(SUBMIT, 1, 2, 422), operation(POLL, 3, 4, 200, "queued")],
    "cancelled_by_nobody": [ACCEPTED, operation(POLL, 3, 4, 200, "aborted")],
    "cancelled_by_nobody: cancel sent later": [ACCEPTED, operation(POLL, 2.2, 2.8, 200, "aborted"), CANCELLED],
    "cancel_without_an_end": [ACCEPTED, operation(CANCEL, 3, 4, 200, "running")],
}


@pytest.mark.parametrize("name", LINEARIZABLE_HISTORIES)
def test_linearizable_history_is_accepted(name: str) -> None:
    assert violations(LINEARIZABLE_HISTORIES[name]) == [] and is_linearizable(LINEARIZABLE_HISTORIES[name])


@pytest.mark.parametrize("name", NON_LINEARIZABLE_HISTORIES)
def test_non_linearizable_history_is_rejected(name: str) -> None:
    assert name.partition(":")[0] in {violation.rule for violation in violations(NON_LINEARIZABLE_HISTORIES[name])}
    assert not is_linearizable(NON_LINEARIZABLE_HISTORIES[name])


def test_jobs_are_checked_separately_and_workflow_steps_need_no_request() -> None:
    poll_of_other_job = Operation(POLL, "j-2", 5, 6, 404)
    assert violations([ACCEPTED, poll_of_other_job]) == []
    step_history = [operation(POLL, 1, 2, 200, "queued"), operation(POLL, 3, 4, 200, "aborted")]
    assert violations(step_history, without_request={"j-1"}) == []
    assert {violation.rule for violation in violations(step_history)} == {"invented", "cancelled_by_nobody"}


def states_after(state: str, op: Operation) -> set[str]:
    """States that a job may have after an operation, by the sequential specification; empty if it is impossible."""
    if op.stage is None:
        next_states = {"absent": "live"} if op.action is SUBMIT else {"live": "aborted"} if op.action is CANCEL else {}
        return {state, next_states.get(state, state)}
    if op.status == 404 or op.status in (400, 422):
        return {state} if state == "absent" else set()
    if op.status == 201:
        return {"live"} if state == "absent" else set()
    if op.action is CANCEL:
        state = {"live": "aborted"}.get(state, state)
    shown_state = op.job_state if op.job_state in ("done", "aborted") else "live"
    return {state} if state == shown_state else set()


def atomic_operations(op: Operation) -> list[Operation]:
    """Splits a submission answered 200: it may have been a write whose answer was lost, and then a read."""
    if op.action is not SUBMIT or op.status != 200:
        return [op]
    return [replace(op, status=0, job_state="", responded=NEVER), replace(op, action=POLL)]


def is_linearizable(operations: list[Operation]) -> bool:
    """Searches all orders that agree with the times of invocation and response."""
    steps = [step for op in operations for step in atomic_operations(op)]
    deadlines = [NEVER if op.stage is None else op.responded for op in steps]
    visited: set[tuple[frozenset[int], str]] = set()

    def search(remaining: frozenset[int], state: str) -> bool:
        if not remaining:
            return True
        if (remaining, state) in visited:
            return False
        visited.add((remaining, state))
        # A live job may complete at any time.
        if state == "live" and search(remaining, "done"):
            return True
        earliest_deadline = min(deadlines[index] for index in remaining)
        return any(
            search(remaining - {index}, new_state)
            for index in remaining
            if steps[index].invoked <= earliest_deadline
            for new_state in states_after(state, steps[index])
        )

    return search(frozenset(range(len(steps))), "absent")


ANSWERS = {
    SUBMIT: [(201, "queued"), (200, "queued"), (200, "running"), (200, "done"), (200, "aborted"), (422, ""), (503, "")],
    POLL: [(404, ""), (200, "queued"), (200, "running"), (200, "done"), (200, "aborted"), (503, "")],
    CANCEL: [(404, ""), (200, "done"), (200, "aborted"), (503, "")],
}


def random_history(rng: Random) -> list[Operation]:
    operations = []
    for _ in range(rng.choice([2, 3, 4, 5])):
        action = rng.choice([SUBMIT, SUBMIT, POLL, POLL, CANCEL])
        status, job_state = rng.choice(ANSWERS[action])
        invoked = rng.uniform(0, 10)
        operations.append(operation(action, invoked, invoked + rng.choice([0.5, 3.0, 8.0]), status, job_state))
    return operations


def test_checker_agrees_with_search_over_all_orders() -> None:
    rng = Random(1)
    verdicts = []
    for _ in range(20_000):
        history = random_history(rng)
        verdicts.append(not violations(history))
        assert verdicts[-1] == is_linearizable(history), [str(op) for op in history]
    assert 1000 < sum(verdicts) < 19_000


def test_target_of_request() -> None:
    def target(method: str, path: str, body: bytes = b"") -> tuple[Action, str] | None:
        return target_of(Request(method, path, body))

    assert target("POST", "/submissions", orjson.dumps({"name_id": "j-1"})) == (SUBMIT, "j-1")
    assert target("POST", "/submissions", b"[") is None and target("POST", "/submissions", b"[]") is None
    assert target("GET", "/submissions/j-1") == (POLL, "j-1")
    assert target("POST", "/submissions/j-1/cancel") == (CANCEL, "j-1")
    assert target("POST", "/hello", b"{}") is None
