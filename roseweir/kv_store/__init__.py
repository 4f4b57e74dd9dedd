"""Client of the consensus-backed key-value store, which holds all durable state of the controllers."""

from roseweir.kv_store.client import KeyValueStoreClient
from roseweir.kv_store.errors import CompareFailed, RateLimited, StoreError, ValueTooLarge
from roseweir.kv_store.records import Entry, WatchEvent

__all__ = ["CompareFailed", "Entry", "KeyValueStoreClient", "RateLimited", "StoreError", "ValueTooLarge", "WatchEvent"]
