"""Handler of `/promises`: requests of operators and peers about delivery deadlines."""

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from roseweir.delivery_deadlines.controller import DeadlineController


class DeadlineRequest(
    msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True, rename={"is_forwarded": "passed_on"}
):
    """The body of a POST; `night`: the date of the morning that ends a night, or empty for all deadlines."""

    night: str = ""
    is_forwarded: bool = False  # sent on to the leader by another node


async def handle_request(
    controller: "DeadlineController | None", method: str, body: bytes
) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and answer: 200, 400 for a malformed body, 404 if no deadlines are configured."""
    if controller is None:
        return 404, {"error": "no `promise` in the operators' settings"}
    try:
        request = msgspec.json.decode(body, type=DeadlineRequest) if method == "POST" and body else DeadlineRequest()
    except ValueError as e:
        return 400, {"error": str(e)}
    return 200, controller.describe(request.night)
