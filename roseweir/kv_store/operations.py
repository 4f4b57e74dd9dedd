"""Guards and operations of a compare-and-swap transaction, in the store's JSON form."""

from typing import Any

# A key and the version that it must have for the transaction to be executed; 0: the key must not exist.
Guard = tuple[str, int]
Guards = list[Guard]
# A change of one key, as returned by `put` or `delete`.
Operation = dict[str, Any]
Operations = list[Operation]


def put(key: str, value: Any, lease_id: int | None = None) -> Operation:
    """Return the operation that sets a key to a JSON value; a key with a lease is deleted when the lease expires."""
    return {"put": key, "v": value} if lease_id is None else {"put": key, "v": value, "tenancy": lease_id}


def delete(key: str) -> Operation:
    """Return the operation that deletes a key."""
    return {"delete": key}
