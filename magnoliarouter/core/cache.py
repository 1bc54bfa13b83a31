"""Cache of versioned objects that never returns to an older version.

An object is replaced only by a newer version of itself, and a deletion leaves a tombstone. Hence a
source that lags or was restored from a backup cannot revert objects that are already in force.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ["CacheEntry", "VersionedCache"]

T = TypeVar("T")

# Four times the endpoints of the largest deployment.
MAX_TOMBSTONES = 4_096


@dataclass(frozen=True, slots=True)
class CacheEntry(Generic[T]):
    """One object at one version; `value` is None for a tombstone."""

    version: int
    value: T | None


@dataclass(slots=True)
class VersionedCache(Generic[T]):
    """Objects by name, each at the newest version seen.

    Parameters
    ----------
    floor : int
        Version up to which the absence of an object from a list does not prove its deletion.
    revision : int
        Increases with every change; values derived from the objects are valid until it changes.
    max_tombstones : int
        Number of deleted objects that are remembered, of which the oldest is forgotten first. A
        reader that knows up to which version it has all changes recognizes what is older by that.

    Examples
    --------
    >>> cache = VersionedCache()
    >>> cache.apply("grower", 2, "new"), cache.apply("grower", 1, "old")
    (True, False)
    >>> cache.get("grower")
    'new'
    """

    entries: dict[str, CacheEntry[T]] = field(default_factory=dict)
    floor: int = 0
    revision: int = 0
    max_tombstones: int = MAX_TOMBSTONES
    _tombstones: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _present: dict[str, T] = field(default_factory=dict)

    def apply(self, name: str, version: int, value: T | None) -> bool:
        """Store a version of an object if it is newer, and return whether it was."""
        known = self.entries.get(name)
        if known is not None and known.version >= version:
            return False
        self.entries[name] = CacheEntry(version, value)
        self.revision += 1
        self._tombstones.pop(name, None)
        if value is None:
            self._present.pop(name, None)
            self._tombstones[name] = None
            if len(self._tombstones) > self.max_tombstones:
                del self.entries[self._tombstones.popitem(last=False)[0]]
        else:
            self._present[name] = value
        return True

    def find_deleted(self, present: Collection[str], version: int) -> list[str]:
        """Return the objects that a complete list proves deleted.

        Parameters
        ----------
        present : collection of str
            All names in the list.
        version : int
            Version up to which the list is complete. Objects at or above it, and those up to
            `floor`, are not reported.
        """
        return [
            name
            for name in self._present
            if name not in present and self.floor < self.entries[name].version < version
        ]

    def raise_floor(self, version: int) -> None:
        """Stop treating absence as proof of deletion for objects up to a version."""
        self.floor = max(self.floor, version)

    def get(self, name: str) -> T | None:
        """Return an object's value, or None if it is absent or deleted."""
        return self._present.get(name)

    def version_of(self, name: str) -> int:
        """Return the newest version seen of an object, or 0."""
        entry = self.entries.get(name)
        return entry.version if entry else 0

    def values(self) -> Mapping[str, T]:
        """Return a live view of the values of all existing objects, by name."""
        return self._present
