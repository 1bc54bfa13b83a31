"""Copy of one kind of object that moves forward only, whatever its sources deliver.

Sources are lists and watches of the platform and batches of other daemons, in any order and any
number of times. An object that is not valid is refused with a reason and its previous version
stays in force.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import xxhash

from magnoliarouter.core.cache import VersionedCache
from magnoliarouter.store.objects import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

__all__ = ["RefusedObject", "Replica"]

# A value written past the command-line tool may be of any shape; no decoder may fail on it.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
IDENTITY_FIELDS = {"contract": "customer", "endpoint": "name", "service": "name", "vm": "name"}


@dataclass(frozen=True, slots=True)
class RefusedObject:
    """Newest version of an object that may not come into force, and why.

    Parameters
    ----------
    item : StoredObject
        The object.
    reason : str
        What is wrong with it.
    value : object, optional
        Checked value if it only clashes with another object that is in force.
    """

    item: StoredObject
    reason: str
    value: Any = None


class Replica:
    """Objects of one kind.

    Parameters
    ----------
    kind : str
        Kind of object.
    decode : callable
        Turns a JSON value into a checked value; raises `ObjectError` (any
        `DECODE_ERRORS` counts as a refusal).
    on_change : callable, optional
        Called with the name and value (None once deleted) of each object that changed.
    find_clash : callable, optional
        Called with a name and checked value; returns why it clashes with what is in force, or
        None. A refused object is tried again whenever another one changes.
    on_item : callable, optional
        Called with each object that was taken and whether it was refused, for passing it on.

    Attributes
    ----------
    cache : VersionedCache
        What is in force, with tombstones.
    refused : dict of str to RefusedObject
        Newer versions that are not in force.
    version : int
        Version up to which the kind is known completely.
    synchronized : asyncio.Event
        Set once the kind was known completely.
    last_contact_at : float, optional
        Loop time at which the platform was last heard of, directly or through a relay.
    regressed : str
        Why the platform's answers are older than what is known; empty if they are not.
    """

    def __init__(
        self,
        kind: str,
        decode: Callable[[Any], Any],
        on_change: Callable[[str, Any], None] = lambda name, value: None,
        find_clash: Callable[[str, Any], str | None] = lambda name, value: None,
        on_item: Callable[[StoredObject, bool], None] = lambda item, refused: None,
    ) -> None:
        self.kind = kind
        self.cache: VersionedCache[Any] = VersionedCache()
        self.refused: dict[str, RefusedObject] = {}
        self.synchronized = asyncio.Event()
        self.version = 0
        self.last_contact_at: float | None = None
        self.regressed = ""
        self._digest = (-1, 0)
        self.on_item = on_item
        self._decode = decode
        self._on_change = on_change
        self._find_clash = find_clash

    @property
    def errors(self) -> dict[str, str]:
        """Reasons of refused objects by name."""
        return {
            name: f"version {refused.item.version}: {refused.reason}"
            for name, refused in self.refused.items()
        }

    def digest(self) -> int:
        """Return a number that is the same wherever the same versions of objects are in force."""
        if self._digest[0] != self.cache.revision:
            entries = self.cache.entries.items()
            present = sorted((name, one.version) for name, one in entries if one.value is not None)
            value = xxhash.xxh64_intdigest(repr(present).encode())
            self._digest = (self.cache.revision, value)
        return self._digest[1]

    def apply(self, item: StoredObject) -> bool:
        """Take an object if it is newer and valid, and return whether it changed what is in force.

        An object of another kind is ignored.
        """
        if item.kind != self.kind or item.version <= self.cache.version_of(item.name):
            return False
        known = self.refused.get(item.name)
        if known is not None and known.item.version == item.version:
            return False
        if known is None and self._was_deleted(item):
            return False
        if not self._apply_newer(item):
            return False
        self._retry_refused()
        return True

    def _was_deleted(self, item: StoredObject) -> bool:
        """Whether the kind is known completely at a later version without this object.

        A source that lags would otherwise bring a deleted object back.
        """
        return item.name not in self.cache.entries and item.version <= self.version

    def apply_list(
        self, version: int, items: Iterable[StoredObject], version_at_request: int | None = None
    ) -> None:
        """Take a complete list of the kind; objects missing from it are deleted if it is newer.

        Parameters
        ----------
        version : int
            Version that the list is complete up to.
        items : iterable of StoredObject
            All objects of the kind.
        version_at_request : int, optional
            Version known when the list was asked for; the one known now by default.
        """
        listed = sorted(items, key=lambda item: item.version)
        self._record_regression(
            version, self.version if version_at_request is None else version_at_request
        )
        for item in listed:
            self.apply(item)
        self.mark_complete({item.name for item in listed}, version)

    def apply_changes(self, version: int, items: Iterable[StoredObject], after: int) -> None:
        """Take the changes between two versions."""
        self._record_regression(version, after)
        for item in items:
            self.apply(item)
        self.advance_version(version)

    def mark_complete(self, present: Collection[str], version: int) -> None:
        """Note that the names present are all that existed at a version."""
        floor = self.cache.floor
        absent = [
            name
            for name, refused in self.refused.items()
            if name not in present and floor < refused.item.version < version
        ]
        for name in (*self.cache.find_deleted(present, version), *absent):
            self.apply(StoredObject(self.kind, name, version))
        self.advance_version(version)
        self.synchronized.set()

    def advance_version(self, version: int) -> None:
        """Note that everything up to a version is known."""
        self.version = max(self.version, version)

    def record_contact(self, at: float) -> None:
        """Note when the platform was heard of."""
        self.last_contact_at = at if self.last_contact_at is None else max(self.last_contact_at, at)

    def _record_regression(self, version: int, version_at_request: int) -> None:
        """Notice a source that lags behind or was restored from a backup."""
        if version >= version_at_request:
            self.regressed = ""
            return
        self.cache.raise_floor(version_at_request)
        self.regressed = f"the platform is at version {version}, behind {version_at_request}"

    def _apply_newer(self, item: StoredObject) -> bool:
        """Bring a newer object into force, or refuse it."""
        refused = None if item.value is None else self._check(item)
        if isinstance(refused, RefusedObject):
            known = self.refused.get(item.name)
            if known is None or known.item.version < item.version:
                self.refused[item.name] = refused
                self.on_item(item, True)
            return False
        self._put_in_force(item, refused)
        return True

    def _put_in_force(self, item: StoredObject, value: Any) -> None:
        known = self.refused.get(item.name)
        if known is not None and known.item.version <= item.version:
            del self.refused[item.name]
        self.cache.apply(item.name, item.version, value)
        self._on_change(item.name, value)
        self.on_item(item, False)

    def _check(self, item: StoredObject) -> Any:
        """Return the checked value of an object, or the refusal."""
        try:
            value = self._decode(item.value)
        except DECODE_ERRORS as error:
            return RefusedObject(item, str(error) or type(error).__name__)
        field = IDENTITY_FIELDS.get(self.kind)
        if field and item.value.get(field) != item.name:
            reason = f"{field} is {item.value.get(field)!r}, but the object is {item.name!r}"
            return RefusedObject(item, reason)
        clash = self._find_clash(item.name, value)
        return RefusedObject(item, clash, value) if clash else value

    def _retry_refused(self) -> None:
        """Try objects that clashed again, oldest first, until none comes into force."""
        while found := self._find_unblocked():
            self._put_in_force(found.item, found.value)

    def _find_unblocked(self) -> RefusedObject | None:
        clashing = [refused for refused in self.refused.values() if refused.value is not None]
        for refused in sorted(clashing, key=lambda refused: refused.item.version):
            if self._find_clash(refused.item.name, refused.value) is None:
                return refused
        return None
