"""Cache of versioned objects that never moves back.

An object is replaced only by a newer version of itself, and a deletion stays behind as a
tombstone, so that a lagging or restored source cannot revert what is already in force.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

__all__ = ["CacheEntry", "VersionedCache"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class CacheEntry(Generic[T]):
    """One object at one version; `value` is None for a tombstone."""

    version: int
    value: T | None


@dataclass(slots=True)
class VersionedCache(Generic[T]):
    """Objects by name, each at the newest version seen.

    Examples
    --------
    >>> cache = VersionedCache()
    >>> cache.apply("grower", 2, "new"), cache.apply("grower", 1, "old")
    (True, False)
    >>> cache.get("grower")
    'new'
    """

    entries: dict[str, CacheEntry[T]] = field(default_factory=dict)

    def apply(self, name: str, version: int, value: T | None) -> bool:
        """Take a version of an object if it is newer, and return whether it was."""
        known = self.entries.get(name)
        if known is not None and known.version >= version:
            return False
        self.entries[name] = CacheEntry(version, value)
        return True

    def get(self, name: str) -> T | None:
        """Return an object's value, or None if it is absent or deleted."""
        entry = self.entries.get(name)
        return entry.value if entry else None

    def version_of(self, name: str) -> int:
        """Return the newest version seen of an object, or 0."""
        entry = self.entries.get(name)
        return entry.version if entry else 0

    def values(self) -> dict[str, Any]:
        """Return the values of all objects that exist, by name."""
        return {name: entry.value for name, entry in self.entries.items() if entry.value}
