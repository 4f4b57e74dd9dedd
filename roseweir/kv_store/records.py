"""Results of the key-value store: entries, pages of entries, and changes reported by a watch."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Entry:
    """A key, its JSON value, and its version, which is the store's revision of the last write of the key."""

    key: str
    value: Any
    version: int


@dataclass(slots=True)
class Page:
    """Entries in the order of their keys, whether more entries follow, and the store's revision at the read.

    The entries contain all changes up to that revision, and possibly later ones.
    """

    entries: list[Entry]
    has_more: bool
    revision: int


@dataclass(slots=True)
class WatchEvent:
    """One change reported by a watch. The value is None for a deletion."""

    key: str
    value: Any
    version: int
