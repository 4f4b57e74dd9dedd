"""Calls to the cloud, within its rate."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from roseweir.cloud import messages as wire
from roseweir.http import Connect, Unreachable, connect
from roseweir.kv_store.client import RateLimiter, StoreError
from roseweir.settings import CloudSettings
from roseweir.submissions.jobs import MachineType

REQUEST_TIMEOUT = timedelta(seconds=3)
T = TypeVar("T")

MAX_MACHINES_PER_RENTAL = 50
MAX_MACHINES_PER_RELEASE = 100


class NoCapacity(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    def __init__(self, address: str, settings: CloudSettings, connect: Connect = connect) -> None:
        self._send = connect(address, 4)
        # The leader makes almost all calls; the rest is left to nodes that read the catalog.
        self._rate_limiter = RateLimiter(settings.max_requests_per_s * 0.8, burst_s=2.0)

    async def _call(
        self, method: str, path: str, body: object = None, may_act: Callable[[], bool] | None = None
    ) -> object:
        await self._rate_limiter.acquire()
        # A turn may be long in coming, and the node may have stood still: the right is looked at last.
        if may_act is not None and not may_act():
            raise StoreError("this node may not lead any more")
        reply = await self._send(method, path, body, timeout=REQUEST_TIMEOUT)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity
        if reply.status != 200:
            raise StoreError(f"cloud answered {reply.status} to {path}")
        return reply.json() if reply.body else {}

    async def read_catalog(self) -> list[MachineType]:
        value = _decode(await self._call("GET", "/catalog"), wire.Catalog)
        return [entry.to_machine_type() for entry in value.machine_types]

    async def rent_machines(
        self, request_id: str, type_name: str, zone: str, spot: bool, count: int, may_act: Callable[[], bool]
    ) -> list[str]:
        body = wire.rental_request(request_id, type_name, zone, spot, min(count, MAX_MACHINES_PER_RENTAL))
        return _decode(await self._call("POST", "/machines", body, may_act), wire.RentedMachines).machine_names

    async def release_machines(self, machine_names: list[str], may_act: Callable[[], bool]) -> None:
        await self._call(
            "POST", "/machines/release", wire.release_request(machine_names[:MAX_MACHINES_PER_RELEASE]), may_act
        )

    async def list_machines(self) -> list[wire.ListedMachine]:
        listed: list[wire.ListedMachine] = []
        after = ""
        while True:
            path = "/machines?limit=500" + (f"&after={after}" if after else "")
            page = _decode(await self._call("GET", path), wire.MachineList)
            listed += page.machines
            if not page.has_more or not page.machines:
                return listed
            after = page.machines[-1].name


def _decode(value: object, message_type: type[T]) -> T:
    try:
        return msgspec.convert(value, message_type)
    except msgspec.ValidationError as e:
        raise Unreachable(f"the cloud's answer is not understood: {e}") from e
