"""What operators and peers send to `/drains`, and what is answered."""

from typing import TYPE_CHECKING, Any, Literal

import msgspec

from roseweir.drain.model import Ask, NotNow, Refused

if TYPE_CHECKING:
    from roseweir.drain.desk import DrainDesk


class Order(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The body of a POST: one drain to take, or the name of one to stop; nothing: how they stand."""

    verb: Literal["start", "stop", "status"] = "status"
    ask: Ask | None = None
    name: str = ""
    passed_on: bool = False  # by a node that does not lead


def read(method: str, body: bytes) -> Order:
    """Raises ValueError, whose text is one line about what is wrong."""
    order = msgspec.json.decode(body, type=Order) if method == "POST" and body else Order()
    if order.verb == "start" and order.ask is None:
        raise ValueError("`ask` is missing")
    return order


async def serve(desk: "DrainDesk", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    """Status and answer: 200, 201 for a new drain, 400 for what is refused, 503 to ask again."""
    try:
        order = read(method, body)
        if order.verb == "start" and order.ask is not None:
            new, answer = await desk.accept(order.ask)
            return 201 if new else 200, {"drain": answer}
        if order.verb == "stop":
            return 200, {"drain": await desk.stop(order.name)}
        return 200, desk.describe()
    except (ValueError, Refused) as e:
        return 400, {"error": str(e)}
    except NotNow as e:
        return 503, {"error": f"{e}; ask again, by the same name"}
