"""How the command line asks controllers: one order, repeated under its name until somebody answers."""

import asyncio
import sys
import time
from datetime import timedelta
from typing import Any

import orjson

from roseweir.sexp import SettingsError

REQUEST_TIMEOUT = timedelta(seconds=6)
# An operator's request is repeated under its name for so long: taken twice, it is the same.
MAX_ATTEMPTS, RETRY_INTERVAL_S = 8, 1.0


def validate_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"--at: `{address}` is not HOST:PORT")
    return address


def post_command(
    controller_address: str, path: str, command: dict[str, Any], max_attempts: int = MAX_ATTEMPTS
) -> dict[str, Any]:
    """The answer; SettingsError for what is refused, SystemExit 1 if nobody answers."""
    from roseweir.http import Client, Unreachable

    validate_address(controller_address)

    async def send() -> Any:
        return await Client(controller_address, pool_size=0).request("POST", path, command, timeout=REQUEST_TIMEOUT)

    failure = ""
    for attempt in range(max_attempts):
        if attempt:
            time.sleep(RETRY_INTERVAL_S)
        try:
            reply = asyncio.run(send())
            answer: dict[str, Any] = reply.json()
        except (Unreachable, ValueError) as e:
            failure = f"no answer: {e}"
            continue
        if reply.status in (200, 201):
            return answer
        failure = str(answer.get("error", reply.status))
        if reply.status in (400, 404, 409, 422):
            raise SettingsError(failure)
        time.sleep(min(30.0, float(answer.get("come_back_s", 0.0))))
    print(f"roseweir: {failure}", file=sys.stderr)
    raise SystemExit(1)


def print_json(answer: dict[str, Any]) -> None:
    print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
