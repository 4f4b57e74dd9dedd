"""What operators and peers send to `/drains`, and what is answered."""

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
    """The body of a POST: one drain to take, or the name of one to stop; nothing: how they stand."""

    verb: Literal["start", "stop", "status"] = "status"
    request: DrainRequest | None = None
    name: str = ""
    is_forwarded: bool = False  # by a node that does not lead


def parse_command(method: str, body: bytes) -> DrainCommand:
    """Raises ValueError, whose text is one line about what is wrong."""
    command = msgspec.json.decode(body, type=DrainCommand) if method == "POST" and body else DrainCommand()
    if command.verb == "start" and command.request is None:
        raise ValueError("`ask` is missing")
    return command


async def handle_request(controller: "DrainController", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    """Status and answer: 200, 201 for a new drain, 400 for what is refused, 503 to ask again."""
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
