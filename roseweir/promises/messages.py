"""What operators and peers ask of `/promises`, and what is answered."""

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from roseweir.promises.desk import PromiseDesk


class Question(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The body of a POST: nothing, or the date of the morning that ends a night."""

    night: str = ""
    passed_on: bool = False


async def serve(desk: "PromiseDesk | None", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    if desk is None:
        return 404, {"error": "no `promise` in the operators' settings"}
    try:
        question = msgspec.json.decode(body, type=Question) if method == "POST" and body else Question()
    except ValueError as e:
        return 400, {"error": str(e)}
    return 200, desk.describe(question.night)
