"""Calls to the cloud, within its rate."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from roseweir.cloud import messages as wire
from roseweir.http import Connect, Unreachable, connect
from roseweir.settings import CloudSettings
from roseweir.state.client import Pace, Trouble
from roseweir.submissions.jobs import MachineType

PATIENCE = timedelta(seconds=3)
T = TypeVar("T")

RENT_MOST = 50
RELEASE_MOST = 100


class NoCapacity(Exception):
    """None available for this type, zone and kind."""


class CloudClient:
    def __init__(self, address: str, settings: CloudSettings, connect: Connect = connect) -> None:
        self._send = connect(address, 4)
        # The leader makes almost all calls; the rest is left to nodes that read the catalog.
        self._pace = Pace(settings.rps * 0.8, burst=2.0)

    async def _call(self, method: str, path: str, body: object = None, may: Callable[[], bool] | None = None) -> object:
        await self._pace.take()
        # A turn may be long in coming, and the node may have stood still: the right is looked at last.
        if may is not None and not may():
            raise Trouble("this node may not lead any more")
        reply = await self._send(method, path, body, patience=PATIENCE)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity
        if reply.status != 200:
            raise Trouble(f"cloud answered {reply.status} to {path}")
        return reply.json() if reply.body else {}

    async def catalog(self) -> list[MachineType]:
        value = _read(await self._call("GET", "/catalog"), wire.Catalog)
        return [entry.to_type() for entry in value.types]

    async def rent(
        self, request: str, type_name: str, zone: str, spot: bool, count: int, may: Callable[[], bool]
    ) -> list[str]:
        body = wire.rental(request, type_name, zone, spot, min(count, RENT_MOST))
        return _read(await self._call("POST", "/machines", body, may), wire.Rented).machines

    async def release(self, names: list[str], may: Callable[[], bool]) -> None:
        await self._call("POST", "/machines/release", wire.release(names[:RELEASE_MOST]), may)

    async def machines(self) -> list[wire.Listed]:
        found: list[wire.Listed] = []
        after = ""
        while True:
            path = "/machines?limit=500" + (f"&after={after}" if after else "")
            page = _read(await self._call("GET", path), wire.MachineList)
            found += page.machines
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].name


def _read(value: object, kind: type[T]) -> T:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as e:
        raise Unreachable(f"the cloud's answer is not understood: {e}") from e
