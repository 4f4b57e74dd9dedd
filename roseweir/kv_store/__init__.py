"""The client of the state service, the only place where a controller can keep anything."""

from roseweir.kv_store.client import (
    CompareFailed,
    Entry,
    KeyValueStoreClient,
    RateLimited,
    StoreError,
    ValueTooLarge,
    WatchEvent,
)

__all__ = ["CompareFailed", "Entry", "KeyValueStoreClient", "RateLimited", "StoreError", "ValueTooLarge", "WatchEvent"]
