"""What operators, registries and peers send to `/chains`, and what is answered."""

from typing import TYPE_CHECKING, Any, Literal

import msgspec

from roseweir.workflows.model import WorkflowRejected, WorkflowRetryLater

if TYPE_CHECKING:
    from roseweir.workflows.controller import WorkflowController


class WorkflowRequest(
    msgspec.Struct,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"is_forwarded": "passed_on", "workflow_id": "name"},
):
    """The body of a POST: an amendment to take, a chain to stop or to go on with; nothing: how they stand."""

    verb: Literal["amend", "stop", "resume", "list"] = "list"
    amendment: Any = None
    workflow_id: str = ""
    is_forwarded: bool = False  # by a node that does not lead


def decode_request(method: str, body: bytes) -> WorkflowRequest:
    """Raises ValueError, whose text is one line about what is wrong."""
    request = msgspec.json.decode(body, type=WorkflowRequest) if method == "POST" and body else WorkflowRequest()
    if request.verb == "amend" and request.amendment is None:
        raise ValueError("`amendment` is missing")
    return request


async def handle_request(controller: "WorkflowController", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    """Status and answer: 201 for a new chain, 200 for one that is there; 400, 404, 409 or 422: refused; 429 or
    503 with a time to come back."""
    try:
        request = decode_request(method, body)
        if request.verb == "amend":
            is_new, answer = await controller.accept_amendment(request.amendment)
            return 201 if is_new else 200, {"chain": answer}
        if request.verb in ("stop", "resume"):
            return 200, {"chain": await controller.stop_or_resume(request.workflow_id, request.verb)}
        if request.workflow_id:
            return 200, {"chain": controller.describe_workflow(request.workflow_id)}
        return 200, controller.describe()
    except WorkflowRejected as e:
        return e.status, {"error": str(e)}
    except ValueError as e:
        return 400, {"error": str(e)}
    except WorkflowRetryLater as e:
        status = 429 if e.retry_after_s > 1 else 503
        return status, {"error": f"{e}; ask again, by the same id", "come_back_s": e.retry_after_s}
