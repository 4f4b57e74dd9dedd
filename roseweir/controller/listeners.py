"""Listening addresses: parsing them, and binding one that is briefly still in use after a restart."""

from collections.abc import Awaitable, Callable
from errno import EADDRINUSE

from roseweir.clock import monotonic_now, seconds, sleep
from roseweir.http import Listener

# The maximum time that a restarted process waits for an address that is still in use.
ADDRESS_IN_USE_TIMEOUT = seconds(5)
ADDRESS_IN_USE_RETRY_INTERVAL = seconds(0.02)


async def listen_when_free(start_listener: Callable[[], Awaitable[Listener]]) -> Listener:
    """Start a listener, and retry while its address is in use.

    After an immediate restart, the previous process may still hold the addresses for a moment.

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
