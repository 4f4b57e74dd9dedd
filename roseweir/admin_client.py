"""Client of the controllers' admin API for the command line: sends one command with retries."""

import asyncio
import sys
import time
from datetime import timedelta
from typing import Any

import orjson

from roseweir.sexp import SettingsError

REQUEST_TIMEOUT = timedelta(seconds=6)
# Commands are idempotent, since a repeated one names the same drain or workflow, so they can be retried.
MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 1.0
# A controller may ask for a longer delay before the next attempt, but gets no more than this.
MAX_RETRY_AFTER_S = 30.0
SUCCESS_STATUSES = (200, 201)
REFUSED_STATUSES = (400, 404, 409, 422)


class CommandRefused(SettingsError):
    """A controller refused the command; the message is its reason.

    Attributes:
        status: The HTTP status of the answer, one of `REFUSED_STATUSES`.
    """

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.status = status


def validate_address(address: str) -> str:
    """Return the address unchanged if it has the form HOST:PORT.

    Raises:
        SettingsError: It has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"--at: `{address}` is not HOST:PORT")
    return address


def post_command(
    controller_address: str, path: str, command: dict[str, Any], max_attempts: int = MAX_ATTEMPTS
) -> dict[str, Any]:
    """Send a command to a controller, and retry while the controller does not answer or is not ready.

    Returns:
        The controller's answer, decoded from JSON.

    Raises:
        CommandRefused: The controller refused the command.
        SettingsError: The address is not HOST:PORT.
        SystemExit: With status 1, after `max_attempts` without success; the reason is printed on standard error.
    """
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
        except (Unreachable, ValueError) as error:
            failure = f"no answer: {error}"
            continue
        if reply.status in SUCCESS_STATUSES:
            return answer
        failure = str(answer.get("error", reply.status))
        if reply.status in REFUSED_STATUSES:
            raise CommandRefused(failure, reply.status)
        time.sleep(min(MAX_RETRY_AFTER_S, float(answer.get("come_back_s", 0.0))))
    print(f"roseweir: {failure}", file=sys.stderr)
    raise SystemExit(1)


def print_json(answer: dict[str, Any]) -> None:
    """Print an answer as indented JSON."""
    print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
