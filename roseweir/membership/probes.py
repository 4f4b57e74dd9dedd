"""Probes of peers and workers: requests of which only the response status is used."""

from datetime import timedelta

from roseweir.clock import seconds
from roseweir.http import Transport, Unreachable

PROBE_TIMEOUT = seconds(0.4)


async def request_status(transport: Transport, path: str, timeout: timedelta) -> int:
    """Return the status of the answer to a GET; 0 if there is no answer within the timeout."""
    try:
        return (await transport("GET", path, timeout=timeout)).status
    except Unreachable:
        return 0


async def is_responsive(transport: Transport, path: str, timeout: timedelta) -> bool:
    """Return whether a GET is answered with 200 within the timeout."""
    return await request_status(transport, path, timeout) == 200
