"""What the key-value store returns: entries, pages of entries and changes."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Entry:
    """A key, its JSON value, and its version: the store's revision as it was last written."""

    key: str
    value: Any
    version: int


@dataclass(slots=True)
class Page:
    """Entries in the order of their keys, whether more follow, and a revision that they are at least as new as."""

    entries: list[Entry]
    has_more: bool
    revision: int


@dataclass(slots=True)
class WatchEvent:
    """One change seen by a watch. The value is None for a deletion."""

    key: str
    value: Any
    version: int
