"""The checker of histories finds each kind of wrong answer, and judges as a search over all orders does."""

from dataclasses import replace
from random import Random

import orjson
import pytest

from roseweir.http import Request
from tests.simulation.linearizability import NEVER, Action, Operation, target_of, violations

SUBMIT, POLL, CANCEL = Action.SUBMIT, Action.POLL, Action.CANCEL


def operation(action: Action, invoked: float, responded: float, status: int, standing: str = "") -> Operation:
    return Operation(action, "j-1", invoked, responded, status, standing)


ACCEPTED = operation(SUBMIT, 1, 2, 201, "queued")
CANCELLED = operation(CANCEL, 3, 4, 200, "aborted")

GOOD = {
    "a whole life": [operation(POLL, 0, 0.5, 404), ACCEPTED, operation(POLL, 2.5, 3, 200, "running"), CANCELLED],
    "a question beside the acceptance": [ACCEPTED, operation(POLL, 1.5, 9, 404)],
    "a question beside the end": [ACCEPTED, CANCELLED, operation(POLL, 3.5, 9, 200, "running")],
    "counts may go back": [
        ACCEPTED,
        operation(POLL, 3, 4, 200, "running"),
        operation(POLL, 5, 6, 200, "queued"),
    ],
    "accepted by a request without an answer": [
        operation(SUBMIT, 1, 2, 503),
        operation(POLL, 3, 4, 404),
        operation(POLL, 5, 6, 200, "queued"),
    ],
    "cancelled by a request without an answer": [
        ACCEPTED,
        operation(CANCEL, 3, NEVER, 0),
        operation(POLL, 5, 6, 200, "running"),
        operation(POLL, 7, 8, 200, "aborted"),
    ],
    "done before the cancel": [ACCEPTED, operation(CANCEL, 3, 4, 200, "done")],
    "no answer at all": [operation(SUBMIT, 1, 2, 429), operation(POLL, 3, 4, 503)],
}

BAD = {
    "forgotten": [ACCEPTED, operation(POLL, 3, 4, 404)],
    "forgotten: refused": [ACCEPTED, operation(SUBMIT, 3, 4, 422)],
    "forgotten: lacks a field": [ACCEPTED, operation(SUBMIT, 3, 4, 400)],
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
    "accepted_twice: known before": [
        operation(SUBMIT, 1, NEVER, 0),
        operation(POLL, 2, 3, 200, "queued"),
        operation(SUBMIT, 4, 5, 201, "queued"),
    ],
    "invented": [operation(POLL, 1, 2, 200, "queued")],
    "invented: submitted later": [operation(POLL, 0, 0.5, 200, "queued"), ACCEPTED],
    "invented: only refused": [operation(SUBMIT, 1, 2, 422), operation(POLL, 3, 4, 200, "queued")],
    "cancelled_by_nobody": [ACCEPTED, operation(POLL, 3, 4, 200, "aborted")],
    "cancelled_by_nobody: asked later": [ACCEPTED, operation(POLL, 2.2, 2.8, 200, "aborted"), CANCELLED],
    "cancel_without_an_end": [ACCEPTED, operation(CANCEL, 3, 4, 200, "running")],
}


@pytest.mark.parametrize("name", GOOD)
def test_a_possible_history_is_let_pass(name: str) -> None:
    assert violations(GOOD[name]) == [] and linearizable(GOOD[name])


@pytest.mark.parametrize("name", BAD)
def test_an_impossible_history_is_found(name: str) -> None:
    assert name.partition(":")[0] in {found.rule for found in violations(BAD[name])}
    assert not linearizable(BAD[name])


def test_jobs_are_judged_apart_and_steps_of_chains_need_no_request() -> None:
    other = Operation(POLL, "j-2", 5, 6, 404)
    assert violations([ACCEPTED, other]) == []
    step = [operation(POLL, 1, 2, 200, "queued"), operation(POLL, 3, 4, 200, "aborted")]
    assert violations(step, without_request={"j-1"}) == []
    assert {found.rule for found in violations(step)} == {"invented", "cancelled_by_nobody"}


def after(state: str, one: Operation) -> set[str]:
    """States that a job may have after an operation on it, by the sequential specification; none: impossible."""
    if one.stage is None:
        done = {"absent": "live"} if one.action is SUBMIT else {"live": "aborted"} if one.action is CANCEL else {}
        return {state, done.get(state, state)}
    if one.status == 404 or one.status in (400, 422):
        return {state} if state == "absent" else set()
    if one.status == 201:
        return {"live"} if state == "absent" else set()
    if one.action is CANCEL:
        state = {"live": "aborted"}.get(state, state)
    shown = one.job_state if one.job_state in ("done", "aborted") else "live"
    return {state} if state == shown else set()


def steps_of(one: Operation) -> list[Operation]:
    """A submission that is answered 200 may have been a write whose answer was lost, and a read after it."""
    if one.action is not SUBMIT or one.status != 200:
        return [one]
    return [replace(one, status=0, job_state="", responded=NEVER), replace(one, action=POLL)]


def linearizable(operations: list[Operation]) -> bool:
    """By a search over all orders that agree with the instants."""
    steps = [step for one in operations for step in steps_of(one)]
    ends = [NEVER if one.stage is None else one.responded for one in steps]
    seen: set[tuple[frozenset[int], str]] = set()

    def search(left: frozenset[int], state: str) -> bool:
        if not left:
            return True
        if (left, state) in seen:
            return False
        seen.add((left, state))
        # A job that lives may complete at any time.
        if state == "live" and search(left, "done"):
            return True
        first_end = min(ends[n] for n in left)
        return any(
            search(left - {n}, new) for n in left if steps[n].invoked <= first_end for new in after(state, steps[n])
        )

    return search(frozenset(range(len(steps))), "absent")


ANSWERS = {
    SUBMIT: [(201, "queued"), (200, "queued"), (200, "running"), (200, "done"), (200, "aborted"), (422, ""), (503, "")],
    POLL: [(404, ""), (200, "queued"), (200, "running"), (200, "done"), (200, "aborted"), (503, "")],
    CANCEL: [(404, ""), (200, "done"), (200, "aborted"), (503, "")],
}


def drawn(draw: Random) -> list[Operation]:
    found = []
    for _ in range(draw.choice([2, 3, 4, 5])):
        action = draw.choice([SUBMIT, SUBMIT, POLL, POLL, CANCEL])
        status, standing = draw.choice(ANSWERS[action])
        invoked = draw.uniform(0, 10)
        found.append(operation(action, invoked, invoked + draw.choice([0.5, 3.0, 8.0]), status, standing))
    return found


def test_it_judges_as_a_search_over_all_orders_does() -> None:
    draw = Random(1)
    verdicts = []
    for _ in range(20_000):
        history = drawn(draw)
        verdicts.append(not violations(history))
        assert verdicts[-1] == linearizable(history), [str(one) for one in history]
    assert 1000 < sum(verdicts) < 19_000


def test_requests_are_told_apart() -> None:
    def target(method: str, path: str, body: bytes = b"") -> tuple[Action, str] | None:
        return target_of(Request(method, path, body))

    assert target("POST", "/submissions", orjson.dumps({"name_id": "j-1"})) == (SUBMIT, "j-1")
    assert target("POST", "/submissions", b"[") is None and target("POST", "/submissions", b"[]") is None
    assert target("GET", "/submissions/j-1") == (POLL, "j-1")
    assert target("POST", "/submissions/j-1/cancel") == (CANCEL, "j-1")
    assert target("POST", "/hello", b"{}") is None
