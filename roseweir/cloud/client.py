"""Client of the cloud's API that keeps to its rate limit."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from roseweir.cloud import messages as wire
from roseweir.cloud.errors import CloudRequestFailed, NoCapacity, NotLeading
from roseweir.cloud.offers import MachineOffer
from roseweir.http import Connect, Unreachable, connect
from roseweir.kv_store.client import RateLimiter
from roseweir.settings import CloudSettings
from roseweir.submissions.jobs import MachineType

REQUEST_TIMEOUT = timedelta(seconds=3)
CONNECTION_POOL_SIZE = 4
MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_RELEASE = 100
MACHINES_PER_PAGE = 500
# The leader makes almost all calls; the rest of the rate is left for other nodes, which only read the catalog.
LEADER_RATE_FRACTION = 0.8
RATE_BURST_S = 2.0

MessageT = TypeVar("MessageT")


class CloudClient:
    """Calls the cloud's API. Every call may raise `CloudError`, or `Unreachable` if its outcome is unknown."""

    def __init__(self, address: str, settings: CloudSettings, connect: Connect = connect) -> None:
        self._send = connect(address, CONNECTION_POOL_SIZE)
        self._rate_limiter = RateLimiter(settings.max_requests_per_s * LEADER_RATE_FRACTION, burst_s=RATE_BURST_S)

    async def read_catalog(self) -> list[MachineType]:
        """Return the machine types that can be rented."""
        value = _decode(await self._call("GET", "/catalog"), wire.Catalog)
        return [entry.to_machine_type() for entry in value.machine_types]

    async def rent_machines(
        self, request_id: str, offer: MachineOffer, count: int, is_lease_valid: Callable[[], bool]
    ) -> list[str]:
        """Rent up to `count` machines, at most `MAX_MACHINES_PER_RENTAL`; return the names of those obtained.

        Idempotent: a repeated call with the same `request_id` rents no further machines. Raises `NoCapacity` if the
        cloud has none, `NotLeading` if `is_lease_valid` returns false after the wait for the rate limiter.
        """
        body = wire.rental_request(
            request_id, offer.type_name, offer.zone, offer.is_spot, min(count, MAX_MACHINES_PER_RENTAL)
        )
        return _decode(await self._call("POST", "/machines", body, is_lease_valid), wire.RentedMachines).machine_names

    async def release_machines(self, machine_names: list[str], is_lease_valid: Callable[[], bool]) -> None:
        """Release the first `MAX_MACHINES_PER_RELEASE` of the named machines. Raises as `rent_machines` does."""
        body = wire.release_request(machine_names[:MAX_MACHINES_PER_RELEASE])
        await self._call("POST", "/machines/release", body, is_lease_valid)

    async def list_machines(self) -> list[wire.ListedMachine]:
        """Read all pages of the cloud's list of rented machines. The list lags behind rentals and releases."""
        listed: list[wire.ListedMachine] = []
        after = ""
        while True:
            path = f"/machines?limit={MACHINES_PER_PAGE}" + (f"&after={after}" if after else "")
            page = _decode(await self._call("GET", path), wire.MachineList)
            listed += page.machines
            if not page.has_more or not page.machines:
                return listed
            after = page.machines[-1].name

    async def _call(
        self, method: str, path: str, body: object = None, is_lease_valid: Callable[[], bool] | None = None
    ) -> object:
        await self._rate_limiter.acquire()
        # The leader lease is checked last: it may have expired while the rate limiter delayed the call, or while the
        # process was paused.
        if is_lease_valid is not None and not is_lease_valid():
            raise NotLeading
        reply = await self._send(method, path, body, timeout=REQUEST_TIMEOUT)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity(path)
        if reply.status != 200:
            raise CloudRequestFailed(path, reply.status)
        return reply.json() if reply.body else {}


def _decode(value: object, message_type: type[MessageT]) -> MessageT:
    try:
        return msgspec.convert(value, message_type)
    except msgspec.ValidationError as e:
        raise Unreachable(f"the cloud's answer is not understood: {e}") from e
