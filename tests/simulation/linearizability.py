"""Checks histories of operations on jobs for linearizability, over the answers of all controllers.

A job is absent, then live, then ended (done or cancelled), and never moves back. Each operation of a user takes effect
at one instant between its invocation and its response (linearizability). One without an answer may take effect
at any later time, or never. For such an object a history is linearizable if and only if an instant of the acceptance
and one of the end fit: each answer that shows the job absent was requested before its acceptance, and each that shows
it accepted arrived after; likewise for the end. Counts of tasks done and running are for display, and are not checked.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

import orjson

from roseweir.http import Request, Response

NEVER = float("inf")


class Action(Enum):
    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"


class Stage(IntEnum):
    """The stage of a job that an answer shows."""

    ABSENT = 0
    LIVE = 1
    ENDED = 2


@dataclass
class Operation:
    """A request about a job at one controller. Times are step numbers, so that no two are equal."""

    action: Action
    job_id: str
    invoked: float
    responded: float = NEVER
    status: int = 0  # 0: no answer
    job_state: str = ""
    controller: str = ""

    @property
    def stage(self) -> Stage | None:
        """The stage that the answer shows; None if it shows nothing about the job."""
        if self.status in (200, 201):
            return Stage.ENDED if self.job_state in ("done", "aborted") else Stage.LIVE
        # A repeated submission of an accepted job is never rejected.
        refused = self.action is Action.SUBMIT and self.status in (400, 422)
        return Stage.ABSENT if refused or self.status == 404 else None

    @property
    def may_accept(self) -> bool:
        return self.action is Action.SUBMIT and self.stage is not Stage.ABSENT

    @property
    def may_cancel(self) -> bool:
        return self.action is Action.CANCEL and self.stage is not Stage.ABSENT

    def __str__(self) -> str:
        span = f"{self.invoked:g} to {self.responded:g}"
        return f"{self.action.value} at {self.controller or '?'} ({span}): {self.status} {self.job_state}".rstrip()


@dataclass(frozen=True)
class Violation:
    job_id: str
    rule: str
    description: str

    def __str__(self) -> str:
        return f"history: {self.rule}: {self.job_id}: {self.description}"


def violations(operations: Iterable[Operation], without_request: Collection[str] = ()) -> list[Violation]:
    """Answers that no order of the operations explains.

    `without_request`: jobs that other interfaces may submit or cancel too.
    """
    jobs: dict[str, list[Operation]] = defaultdict(list)
    for operation in operations:
        jobs[operation.job_id].append(operation)
    return [
        Violation(job_id, rule, description)
        for job_id, job_operations in jobs.items()
        for rule, description in _violations_of_job(job_operations, job_id in without_request)
    ]


def _violations_of_job(operations: list[Operation], without_request: bool) -> list[tuple[str, str]]:
    at_stage = {stage: [o for o in operations if o.stage is stage] for stage in Stage}
    showing_job = at_stage[Stage.LIVE] + at_stage[Stage.ENDED]
    created = [o for o in operations if o.status == 201]
    rule_breaks: list[tuple[str, str]] = []
    if not without_request:
        rule_breaks += _answer_without_cause("invented", showing_job, [o for o in operations if o.may_accept])
        cancelled = [o for o in at_stage[Stage.ENDED] if o.job_state == "aborted"]
        rule_breaks += _answer_without_cause("cancelled_by_nobody", cancelled, [o for o in operations if o.may_cancel])
    rule_breaks += _older_answer_after_newer("forgotten", showing_job, at_stage[Stage.ABSENT])
    rule_breaks += _older_answer_after_newer("went_back", at_stage[Stage.ENDED], at_stage[Stage.LIVE])
    rule_breaks += _older_answer_after_newer("accepted_twice", showing_job, created)
    if len(created) > 1:
        rule_breaks.append(("accepted_twice", f"{created[0]}, {created[1]}"))
    ends = {o.job_state: o for o in at_stage[Stage.ENDED]}
    if len(ends) > 1:
        rule_breaks.append(("went_back", ", ".join(map(str, ends.values()))))
    cancels_without_end = [o for o in at_stage[Stage.LIVE] if o.action is Action.CANCEL]
    rule_breaks += [("cancel_without_an_end", str(o)) for o in cancels_without_end]
    return rule_breaks


def _older_answer_after_newer(rule: str, newer: list[Operation], older: list[Operation]) -> list[tuple[str, str]]:
    """Finds an answer of the earlier stage that was requested after one of the later stage had arrived."""
    if not newer or not older:
        return []
    first_newer = min(newer, key=lambda o: o.responded)
    last_older = max(older, key=lambda o: o.invoked)
    return [(rule, f"{first_newer}, then {last_older}")] if first_newer.responded < last_older.invoked else []


def _answer_without_cause(rule: str, answers: list[Operation], causes: list[Operation]) -> list[tuple[str, str]]:
    """Finds an answer that shows an effect before any request that may have caused it was sent."""
    if not answers:
        return []
    first_answer = min(answers, key=lambda o: o.responded)
    return [] if any(o.invoked < first_answer.responded for o in causes) else [(rule, str(first_answer))]


@dataclass
class OperationHistory:
    """All user requests that reached a controller on one day, in order of arrival."""

    operations: list[Operation] = field(default_factory=list)
    steps: int = 0
    listeners: list[Callable[[Operation], None]] = field(default_factory=list)  # called with each answered operation

    def _step(self) -> int:
        self.steps += 1
        return self.steps

    def begin_operation(self, action: Action, job_id: str, controller: str) -> Operation:
        operation = Operation(action, job_id, self._step(), controller=controller)
        self.operations.append(operation)
        return operation

    def end_operation(self, operation: Operation, status: int, job_state: str) -> None:
        operation.responded, operation.status, operation.job_state = self._step(), status, job_state
        for listener in list(self.listeners):
            listener(operation)

    def record_operations(
        self, serve: Callable[[Request], Awaitable[Response]], controller: str
    ) -> Callable[[Request], Awaitable[Response]]:
        """Wraps a controller's handler so that requests about jobs are recorded with their answers."""

        async def record(request: Request) -> Response:
            target = target_of(request)
            if target is None:
                return await serve(request)
            operation = self.begin_operation(*target, controller)
            response = await serve(request)
            self.end_operation(operation, response.status, orjson.loads(response.body).get("standing", ""))
            return response

        return record


def target_of(request: Request) -> tuple[Action, str] | None:
    """The action and the job id of a request; None if it names no job."""
    if request.path == "/submissions":
        try:
            submission = orjson.loads(request.body)
        except orjson.JSONDecodeError:
            return None
        job_id = submission.get("name_id") if isinstance(submission, dict) else None
        return (Action.SUBMIT, job_id) if isinstance(job_id, str) else None
    if not request.path.startswith("/submissions/"):
        return None
    job_id, _, action = request.path.removeprefix("/submissions/").partition("/")
    return (Action.CANCEL if action == "cancel" else Action.POLL), job_id
