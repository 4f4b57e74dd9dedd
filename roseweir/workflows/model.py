"""Amendments as they are sent, and chains as they are kept. Checks that need nobody's word but the amendment's own."""

import re
from collections.abc import Iterable, Sequence
from hashlib import blake2b
from typing import Any

import msgspec
import orjson

from roseweir.submissions.jobs import SERVICE, JobSpec
from roseweir.submissions.messages import Submission
from roseweir.workflows.settings import WorkflowSettings

# What one amendment may hold, so that its chain fits a value of the state service beside others.
MAX_STEPS, MAX_LOTS = 200, 500
_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,79}")
_LOT_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,39}")


class WorkflowRejected(Exception):
    """It is not taken, with the reason and the status that says of what kind it is."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


class WorkflowRetryLater(Exception):
    """It can't be taken or recorded now: ask again after so many seconds, by the same id."""

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class StepRequest(
    msgspec.Struct,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"submission": "job", "dependencies": "after"},
):
    """One job of a chain, in the form of a submission, and the jobs of the same amendment that it follows."""

    submission: dict[str, Any]
    dependencies: list[str] | None = None  # None: as the settings' order says
    lots: list[str] = []  # which of the amendment's lots it is for; none: all


class Amendment(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """What a registry sends as a change of lots lands."""

    id: str
    revision: int
    lots: list[str]
    steps: list[StepRequest]
    landed_ms: int = 0  # by the time of day; 0: as it is taken


class WorkflowStep(msgspec.Struct, array_like=True):
    """A job of a chain, as it is kept."""

    job_id: str
    job_class: str
    dependencies: list[int]  # steps of the chain that it follows
    lot_numbers: list[int]  # of the chain's; none: all
    outcome: str = ""  # done, cancelled, superseded
    released_ms: int = 0
    ended_ms: int = 0
    is_delivery: bool = False  # its end puts its lots into the viewer


class Workflow(
    msgspec.Struct,
    omit_defaults=True,
    rename={"accepted_ms": "taken_ms", "reason": "why", "late_step_class": "held_by", "blocking_jobs": "behind"},
):
    """An amendment that was taken."""

    id: str
    revision: int
    team: str
    landed_ms: int
    accepted_ms: int
    digest: str
    lots: list[str]
    steps: list[WorkflowStep]
    state: str = "open"  # open, standing, stopped; done, superseded
    reason: str = ""
    due_ms: int = 0  # until when it is promised in the viewer; 0: nobody promised
    ended_ms: int = 0
    late_step_class: str = ""  # the class of the step for which it came late
    # Jobs of older chains of the same lots: what delivers waits for their end, however they end.
    blocking_jobs: list[str] = []

    @property
    def is_ended(self) -> bool:
        return self.state in ("done", "superseded")

    def dependents(self, number: int) -> Iterable[int]:
        return (n for n, step in enumerate(self.steps) if number in step.dependencies)

    def lots_of(self, step: WorkflowStep) -> list[str]:
        return [self.lots[n] for n in step.lot_numbers] if step.lot_numbers else self.lots


def content_digest(amendment: Amendment) -> str:
    """Tells one content from another under the same id."""
    value = msgspec.to_builtins(amendment)
    value.pop("landed_ms", None)  # a copy may be stamped anew
    return blake2b(orjson.dumps(value, option=orjson.OPT_SORT_KEYS), digest_size=12).hexdigest()


def parse_amendment(value: Any) -> Amendment:
    """Refused with one line if it is no amendment; what only a controller knows is not looked at."""
    try:
        amendment = msgspec.convert(value, Amendment)
    except msgspec.ValidationError as e:
        raise WorkflowRejected(str(e)) from e
    if not _ID_PATTERN.fullmatch(amendment.id):
        raise WorkflowRejected(f"id `{amendment.id}`: 1 to 80 of letters, digits, `.`, `_`, `:`, `-`")
    if amendment.revision < 0:
        raise WorkflowRejected("a revision is not below 0")
    if not 1 <= len(amendment.lots) <= MAX_LOTS:
        raise WorkflowRejected(f"{len(amendment.lots)} lots: 1 to {MAX_LOTS} in one amendment")
    if len(set(amendment.lots)) < len(amendment.lots):
        raise WorkflowRejected("a lot is named twice")
    for lot in amendment.lots:
        if not _LOT_PATTERN.fullmatch(lot):
            raise WorkflowRejected(f"lot `{lot}`: 1 to 40 of letters, digits, `.`, `_`, `:`, `/`, `-`")
    if not 1 <= len(amendment.steps) <= MAX_STEPS:
        raise WorkflowRejected(f"{len(amendment.steps)} steps: 1 to {MAX_STEPS} in one amendment")
    specs = job_specs(amendment)
    step_dependencies(amendment, specs, WorkflowSettings())
    return amendment


def job_specs(amendment: Amendment, accepted_ms: int = 0) -> list[JobSpec]:
    """The steps' jobs, as any submission is read."""
    specs: list[JobSpec] = []
    for step in amendment.steps:
        try:
            spec = msgspec.convert(step.submission, Submission).to_spec(accepted_ms)
        except msgspec.ValidationError as e:
            raise WorkflowRejected(f"step {step.submission.get('name_id', len(specs))}: {e}") from e
        if spec.job_type == SERVICE:
            raise WorkflowRejected(f"step {spec.id}: a service never ends, so nothing can follow it")
        if spec.dependencies:
            raise WorkflowRejected(f"step {spec.id}: a chain's steps follow each other, and await nothing else")
        if any(spec.id == other.id for other in specs):
            raise WorkflowRejected(f"step {spec.id} is there twice")
        if specs and spec.team != specs[0].team:
            raise WorkflowRejected(f"step {spec.id} is of team {spec.team}, the steps before of {specs[0].team}")
        specs.append(spec)
    return specs


def step_dependencies(amendment: Amendment, specs: Sequence[JobSpec], settings: WorkflowSettings) -> list[list[int]]:
    """Which steps each step follows; Refused for a step that is not there, or a circle."""
    step_numbers = {spec.id: n for n, spec in enumerate(specs)}
    lots = set(amendment.lots)
    dependencies: list[list[int]] = []
    for n, step in enumerate(amendment.steps):
        for lot in step.lots:
            if lot not in lots:
                raise WorkflowRejected(f"step {specs[n].id} is for lot {lot}, which the amendment does not name")
        if step.dependencies is None:
            dependencies.append(_default_dependencies(n, specs, amendment, settings))
            continue
        for name in step.dependencies:
            if name not in step_numbers:
                raise WorkflowRejected(f"step {specs[n].id} follows {name}, which is no step of the amendment")
        dependencies.append(sorted({step_numbers[name] for name in step.dependencies}))
    _reject_cycles(dependencies, specs)
    return dependencies


def _default_dependencies(
    step_number: int, specs: Sequence[JobSpec], amendment: Amendment, settings: WorkflowSettings
) -> list[int]:
    """Without a word of its own a step follows those of the nearest earlier group that there are, of its own lots."""
    group = settings.group_index(specs[step_number].job_class)
    if group is None:
        return []
    own_lots = set(amendment.steps[step_number].lots)
    for earlier_group in range(group - 1, -1, -1):
        earlier_steps = [
            n
            for n, spec in enumerate(specs)
            if spec.job_class in settings.step_order[earlier_group]
            and (not own_lots or not amendment.steps[n].lots or own_lots & set(amendment.steps[n].lots))
        ]
        if earlier_steps:
            return earlier_steps
    return []


def _reject_cycles(dependencies: list[list[int]], specs: Sequence[JobSpec]) -> None:
    unresolved = {n: set(remaining) for n, remaining in enumerate(dependencies)}
    while unresolved:
        resolved = [n for n, remaining in unresolved.items() if not remaining]
        if not resolved:
            names = ", ".join(specs[n].id for n in sorted(unresolved))
            raise WorkflowRejected(f"steps follow one another in a circle: {names}")
        for n in resolved:
            del unresolved[n]
        for remaining in unresolved.values():
            remaining.difference_update(resolved)


def build_workflow(
    amendment: Amendment,
    specs: Sequence[JobSpec],
    dependencies: list[list[int]],
    settings: WorkflowSettings,
    now_ms: int,
) -> Workflow:
    lot_numbers = {lot: n for n, lot in enumerate(amendment.lots)}
    steps_with_dependents = {n for step_links in dependencies for n in step_links}
    steps = [
        WorkflowStep(
            spec.id,
            spec.job_class,
            dependencies[n],
            sorted(lot_numbers[lot] for lot in amendment.steps[n].lots),
            is_delivery=spec.job_class == settings.delivery_class
            if settings.delivery_class
            else n not in steps_with_dependents,
        )
        for n, spec in enumerate(specs)
    ]
    if not any(step.is_delivery for step in steps):
        for n, step in enumerate(steps):
            step.is_delivery = n not in steps_with_dependents
    return Workflow(
        amendment.id,
        amendment.revision,
        specs[0].team,
        amendment.landed_ms or now_ms,
        now_ms,
        content_digest(amendment),
        amendment.lots,
        steps,
    )
