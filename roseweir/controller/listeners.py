"""Listening addresses: how they are written, and how a restarted process gets them back."""

from collections.abc import Awaitable, Callable
from errno import EADDRINUSE

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Listener

# A restarted process waits at most this long for an address that is still in use.
ADDRESS_IN_USE_TIMEOUT = seconds(5)
ADDRESS_IN_USE_RETRY_INTERVAL = seconds(0.02)


async def listen_when_free(start_listener: Callable[[], Awaitable[Listener]]) -> Listener:
    """Start a listener, and retry while its address is in use.

    A process that is restarted at once may find its addresses still held, for a moment, by the process before it.

    Returns:
        The open listener, which the caller closes.

    Raises:
        OSError: The address cannot be bound, or is still in use after `ADDRESS_IN_USE_TIMEOUT`.
    """
    deadline = monotonic_now() + ADDRESS_IN_USE_TIMEOUT
    while True:
        try:
            return await start_listener()
        except OSError as error:
            if error.errno != EADDRINUSE or monotonic_now() >= deadline:
                raise
        await sleep(ADDRESS_IN_USE_RETRY_INTERVAL)


def split_address(address: str) -> tuple[str, int]:
    """Split `HOST:PORT` into host and port number.

    Raises:
        ValueError: The part after the last colon is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
