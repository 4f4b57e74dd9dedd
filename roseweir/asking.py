"""How the command line asks controllers: one order, repeated under its name until somebody answers."""

import asyncio
import sys
import time
from datetime import timedelta
from typing import Any

import orjson

from roseweir.forms import SettingsError

PATIENCE = timedelta(seconds=6)
# An operator's request is repeated under its name for so long: taken twice, it is the same.
TRIES, TRY_GAP = 8, 1.0


def address(at: str) -> str:
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"--at: `{at}` is not HOST:PORT")
    return at


def post(at: str, path: str, order: dict[str, Any], tries: int = TRIES) -> dict[str, Any]:
    """The answer; SettingsError for what is refused, SystemExit 1 if nobody answers."""
    from roseweir.http import Client, Unreachable

    address(at)

    async def ask() -> Any:
        return await Client(at, pool=0).request("POST", path, order, patience=PATIENCE)

    why = ""
    for number in range(tries):
        if number:
            time.sleep(TRY_GAP)
        try:
            reply = asyncio.run(ask())
            answer: dict[str, Any] = reply.json()
        except (Unreachable, ValueError) as e:
            why = f"no answer: {e}"
            continue
        if reply.status in (200, 201):
            return answer
        why = str(answer.get("error", reply.status))
        if reply.status in (400, 404, 409, 422):
            raise SettingsError(why)
        time.sleep(min(30.0, float(answer.get("come_back_s", 0.0))))
    print(f"roseweir: {why}", file=sys.stderr)
    raise SystemExit(1)


def print_json(answer: dict[str, Any]) -> None:
    print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
