"""What operators, registries and peers send to `/chains`, and what is answered."""

from typing import TYPE_CHECKING, Any, Literal

import msgspec

from roseweir.chains.model import NotNow, Refused

if TYPE_CHECKING:
    from roseweir.chains.desk import ChainDesk


class Order(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The body of a POST: an amendment to take, a chain to stop or to go on with; nothing: how they stand."""

    verb: Literal["amend", "stop", "resume", "list"] = "list"
    amendment: Any = None
    name: str = ""
    passed_on: bool = False  # by a node that does not lead


def read(method: str, body: bytes) -> Order:
    """Raises ValueError, whose text is one line about what is wrong."""
    order = msgspec.json.decode(body, type=Order) if method == "POST" and body else Order()
    if order.verb == "amend" and order.amendment is None:
        raise ValueError("`amendment` is missing")
    return order


async def serve(desk: "ChainDesk", method: str, body: bytes) -> tuple[int, dict[str, Any]]:
    """Status and answer: 201 for a new chain, 200 for one that is there; 400, 404, 409 or 422: refused; 429 or
    503 with a time to come back."""
    try:
        order = read(method, body)
        if order.verb == "amend":
            new, answer = await desk.accept(order.amendment)
            return 201 if new else 200, {"chain": answer}
        if order.verb in ("stop", "resume"):
            return 200, {"chain": await desk.turn(order.name, order.verb)}
        if order.name:
            return 200, {"chain": desk.describe_one(order.name)}
        return 200, desk.describe()
    except Refused as e:
        return e.status, {"error": str(e)}
    except ValueError as e:
        return 400, {"error": str(e)}
    except NotNow as e:
        status = 429 if e.come_back_s > 1 else 503
        return status, {"error": f"{e}; ask again, by the same id", "come_back_s": e.come_back_s}
