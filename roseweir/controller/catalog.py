"""The catalog of machine types, loaded once by each controller process."""

import gc
import logging
from collections.abc import Callable

import msgspec

from roseweir.clock import seconds, sleep
from roseweir.cloud.client import CloudClient
from roseweir.cloud.errors import NoCapacity
from roseweir.http import Unreachable
from roseweir.kv_store import CompareFailed, KeyValueStoreClient, StoreError
from roseweir.kv_store.client import put
from roseweir.submissions.jobs import MachineType

log = logging.getLogger(__name__)

CATALOG_KEY = "catalog/types"
CATALOG_RETRY_INTERVAL = seconds(0.2)


class MachineCatalog:
    """The machine types that the cloud offers; empty until they are loaded."""

    def __init__(
        self,
        kv_store: KeyValueStoreClient,
        cloud_client: CloudClient,
        *,
        on_loaded: Callable[[list[MachineType]], None],
    ) -> None:
        """`on_loaded` is called with the machine types as soon as they are loaded."""
        self._kv_store = kv_store
        self._cloud_client = cloud_client
        self._on_loaded = on_loaded
        self.machine_types: list[MachineType] = []

    @property
    def is_loaded(self) -> bool:
        """Whether the machine types are loaded."""
        return bool(self.machine_types)

    async def load(self) -> None:
        """Load the machine types from the store if a node has saved them there, else from the cloud; retry until done.

        A catalog that was read from the cloud is saved in the store for the other nodes.
        """
        while not self.machine_types:
            try:
                await self._try_load()
            except (StoreError, Unreachable, NoCapacity, CompareFailed, msgspec.ValidationError) as error:
                log.debug("catalog load failed: error=%s", error)
                await sleep(CATALOG_RETRY_INTERVAL)
        log.info("catalog loaded: machine_types=%s", ",".join(machine_type.name for machine_type in self.machine_types))
        # Objects allocated so far live as long as the process, so later garbage collections need not scan them.
        gc.collect()
        gc.freeze()

    async def _try_load(self) -> None:
        entry = await self._kv_store.get(CATALOG_KEY)
        if entry is not None:
            self._set_machine_types(msgspec.convert(entry.value, list[MachineType]))
            return
        machine_types = await self._cloud_client.read_catalog()
        if machine_types:
            # The catalog is used before it is saved, so that a failure of the store does not delay this node.
            self._set_machine_types(machine_types)
            await self._kv_store.compare_and_swap(
                [(CATALOG_KEY, 0)], [put(CATALOG_KEY, msgspec.to_builtins(machine_types))]
            )

    def _set_machine_types(self, machine_types: list[MachineType]) -> None:
        self.machine_types = machine_types
        self._on_loaded(machine_types)
