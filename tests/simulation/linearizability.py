"""A checker of whole histories: are all answers about a job, by all controllers, those of one job that only moves on?

A job is absent, then live, then over, as done or as cancelled, and never moves back. Each operation of a user takes
effect at one instant between its invocation and its response (linearizability). One without an answer may take effect
at any later time, or never. For such an object a history is linearizable if and only if an instant of the acceptance
and one of the end fit: each answer that shows the job absent was asked for before its acceptance, and each that shows
it known came after; likewise for the end. Counts of tasks done and running are for display, and are not checked.
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
    """How far an answer shows a job to be."""

    ABSENT = 0
    LIVE = 1
    ENDED = 2


@dataclass
class Operation:
    """A request about a job at one controller. Instants are numbers of steps, so that no two are equal."""

    action: Action
    job_id: str
    invoked: float
    responded: float = NEVER
    status: int = 0  # 0: no answer
    job_state: str = ""
    controller: str = ""

    @property
    def stage(self) -> Stage | None:
        """None: the answer tells nothing about the job."""
        if self.status in (200, 201):
            return Stage.ENDED if self.job_state in ("done", "aborted") else Stage.LIVE
        # A known job is never refused.
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
    """What no order of these operations explains; `without_request`: jobs that come and go by other interfaces too."""
    jobs: dict[str, list[Operation]] = defaultdict(list)
    for operation in operations:
        jobs[operation.job_id].append(operation)
    return [
        Violation(job_id, rule, what)
        for job_id, of_job in jobs.items()
        for rule, what in _violations_of_job(of_job, job_id in without_request)
    ]


def _violations_of_job(operations: list[Operation], without_request: bool) -> list[tuple[str, str]]:
    at_stage = {stage: [o for o in operations if o.stage is stage] for stage in Stage}
    known = at_stage[Stage.LIVE] + at_stage[Stage.ENDED]
    created = [o for o in operations if o.status == 201]
    found: list[tuple[str, str]] = []
    if not without_request:
        found += _answer_without_cause("invented", known, [o for o in operations if o.may_accept])
        cancelled = [o for o in at_stage[Stage.ENDED] if o.job_state == "aborted"]
        found += _answer_without_cause("cancelled_by_nobody", cancelled, [o for o in operations if o.may_cancel])
    found += _older_answer_after_newer("forgotten", known, at_stage[Stage.ABSENT])
    found += _older_answer_after_newer("went_back", at_stage[Stage.ENDED], at_stage[Stage.LIVE])
    found += _older_answer_after_newer("accepted_twice", known, created)
    if len(created) > 1:
        found.append(("accepted_twice", f"{created[0]}, {created[1]}"))
    ends = {o.job_state: o for o in at_stage[Stage.ENDED]}
    if len(ends) > 1:
        found.append(("went_back", ", ".join(map(str, ends.values()))))
    undecided = [o for o in at_stage[Stage.LIVE] if o.action is Action.CANCEL]
    found += [("cancel_without_an_end", str(o)) for o in undecided]
    return found


def _older_answer_after_newer(rule: str, newer: list[Operation], older: list[Operation]) -> list[tuple[str, str]]:
    """Whether an answer of the earlier stage was asked for after one of the later stage had come."""
    if not newer or not older:
        return []
    first = min(newer, key=lambda o: o.responded)
    last = max(older, key=lambda o: o.invoked)
    return [(rule, f"{first}, then {last}")] if first.responded < last.invoked else []


def _answer_without_cause(rule: str, shown: list[Operation], causes: list[Operation]) -> list[tuple[str, str]]:
    """Whether an answer shows what nobody had asked for by then."""
    if not shown:
        return []
    first = min(shown, key=lambda o: o.responded)
    return [] if any(o.invoked < first.responded for o in causes) else [(rule, str(first))]


@dataclass
class OperationHistory:
    """All requests of users that reached a controller on one day, in the order in which they came."""

    operations: list[Operation] = field(default_factory=list)
    steps: int = 0
    listeners: list[Callable[[Operation], None]] = field(default_factory=list)  # told of each answer

    def _step(self) -> int:
        self.steps += 1
        return self.steps

    def begin_operation(self, action: Action, job_id: str, node: str) -> Operation:
        operation = Operation(action, job_id, self._step(), controller=node)
        self.operations.append(operation)
        return operation

    def end_operation(self, operation: Operation, status: int, standing: str) -> None:
        operation.responded, operation.status, operation.job_state = self._step(), status, standing
        for listener in list(self.listeners):
            listener(operation)

    def record_operations(
        self, serve: Callable[[Request], Awaitable[Response]], node: str
    ) -> Callable[[Request], Awaitable[Response]]:
        """The same handler of a controller's, whose requests about jobs are recorded with their answers."""

        async def record(request: Request) -> Response:
            target = target_of(request)
            if target is None:
                return await serve(request)
            operation = self.begin_operation(*target, node)
            response = await serve(request)
            self.end_operation(operation, response.status, orjson.loads(response.body).get("standing", ""))
            return response

        return record


def target_of(request: Request) -> tuple[Action, str] | None:
    """What a request asks for, of which job; None if it names none."""
    if request.path == "/submissions":
        try:
            value = orjson.loads(request.body)
        except orjson.JSONDecodeError:
            return None
        job_id = value.get("name_id") if isinstance(value, dict) else None
        return (Action.SUBMIT, job_id) if isinstance(job_id, str) else None
    if not request.path.startswith("/submissions/"):
        return None
    job_id, _, action = request.path.removeprefix("/submissions/").partition("/")
    return (Action.CANCEL if action == "cancel" else Action.POLL), job_id
