"""Requests from operators and peers to `/drains`, and their answers."""

from typing import TYPE_CHECKING, Any, Literal

import msgspec

from roseweir.drain.model import DrainRejected, DrainRequest, DrainUnavailable

if TYPE_CHECKING:
    from roseweir.drain.controller import DrainController


class DrainCommand(
    msgspec.Struct,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"request": "ask", "is_forwarded": "passed_on"},
):
    """Body of a POST: a drain to start, the name of one to stop, or a request for status if empty."""

    verb: Literal["start", "stop", "status"] = "status"
    request: DrainRequest | None = None
    name: str = ""
    is_forwarded: bool = False  # by a controller that is not the leader


def parse_command(method: str, body: bytes) -> DrainCommand:
    """Parse a request; raises ValueError with a one-line message."""
    command = msgspec.json.decode(body, type=DrainCommand) if method == "POST" and body else DrainCommand()
    if command.verb == "start" and command.request is None:
        raise ValueError("`ask` is missing")
    return command


async def handle_request(controller: "DrainController", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and answer: 200, 201 for a new drain, 400 if rejected, 503 if the client may retry."""
    try:
        command = parse_command(method, body)
        if command.verb == "start" and command.request is not None:
            is_new, answer = await controller.accept_request(command.request)
            return 201 if is_new else 200, {"drain": answer}
        if command.verb == "stop":
            return 200, {"drain": await controller.stop_drain(command.name)}
        return 200, controller.describe_all()
    except (ValueError, DrainRejected) as e:
        return 400, {"error": str(e)}
    except DrainUnavailable as e:
        return 503, {"error": f"{e}; ask again, by the same name"}
