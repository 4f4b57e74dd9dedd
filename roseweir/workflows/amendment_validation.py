"""Validation of an amendment that needs neither settings nor the state of a controller."""

import re
from typing import Any

import msgspec

from roseweir.submissions.jobs import SERVICE, JobSpec
from roseweir.submissions.messages import Submission
from roseweir.workflows.amendment import Amendment
from roseweir.workflows.errors import WorkflowRejected
from roseweir.workflows.settings import WorkflowSettings
from roseweir.workflows.step_dependencies import step_dependencies

# Limits of one amendment, so that its workflow fits into a value of the key-value store together with others.
MAX_STEPS = 200
MAX_LOTS = 500
_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,79}")
_LOT_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,39}")


def parse_amendment(value: Any) -> Amendment:
    """Return the amendment that a JSON value holds.

    Checks that need the state of a controller are left to the controller.

    Raises:
        WorkflowRejected: the value is no valid amendment; the message is one line.
    """
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
    """Return the specs of the steps' jobs; `accepted_ms`: when they are accepted, in milliseconds since the epoch.

    Raises:
        WorkflowRejected: a step is no valid submission, or cannot be part of a workflow.
    """
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
        if any(spec.id == earlier.id for earlier in specs):
            raise WorkflowRejected(f"step {spec.id} is there twice")
        if specs and spec.team != specs[0].team:
            raise WorkflowRejected(f"step {spec.id} is of team {spec.team}, the steps before of {specs[0].team}")
        specs.append(spec)
    return specs
