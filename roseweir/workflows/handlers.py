"""Handler of `/chains`: workflow requests from operators, registries and peers."""

from typing import TYPE_CHECKING, Any, Literal

import msgspec

from roseweir.workflows.errors import WorkflowRejected, WorkflowRetryLater

if TYPE_CHECKING:
    from roseweir.workflows.controller import WorkflowController


class WorkflowRequest(
    msgspec.Struct,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"is_forwarded": "passed_on", "workflow_id": "name"},
):
    """The body of a POST: an amendment to accept, a workflow to stop, resume or show; empty: list all."""

    verb: Literal["amend", "stop", "resume", "list"] = "list"
    amendment: Any = None
    workflow_id: str = ""
    is_forwarded: bool = False  # sent on to the leader by another node


def decode_request(method: str, body: bytes) -> WorkflowRequest:
    """Return the request in a body; without a body, the request to list all workflows.

    Raises:
        ValueError: the body is malformed; the message is one line.
    """
    request = msgspec.json.decode(body, type=WorkflowRequest) if method == "POST" and body else WorkflowRequest()
    if request.verb == "amend" and request.amendment is None:
        raise ValueError("`amendment` is missing")
    return request


async def handle_request(controller: "WorkflowController", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and answer of a request.

    201 for a new workflow, 200 for an existing one; 400, 404, 409 or 422: rejected; 429 or 503: retry after the delay
    in the answer.
    """
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
