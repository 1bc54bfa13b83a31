"""Local copy of the objects of one kind, in which an object never returns to an older version.

Objects come from lists and watches of the platform and from batches of other daemons, in any order
and any number of times. An invalid object is refused with a reason, and its previous version stays
in force.
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

# A value that was not written by the command-line tool may have any structure. If the decoder raises
# any of these errors, the object is refused.
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
    """Newest version of an object that cannot come into force, and the reason.

    Parameters
    ----------
    item : StoredObject
        The object.
    reason : str
        Why the object is refused.
    value : object, optional
        Validated value if the only reason is a clash with another object that is in force.
    """

    item: StoredObject
    reason: str
    value: Any = None


class Replica:
    """Objects of one kind, each at the newest valid version received.

    Parameters
    ----------
    kind : str
        Kind of object.
    decode : callable
        Converts a JSON value to a validated value; raises `ObjectError` if it is invalid. The object
        is refused if it raises any of `DECODE_ERRORS`.
    on_change : callable, optional
        Called with the name and value (None if deleted) of each object that changed.
    find_clash : callable, optional
        Called with a name and a validated value; returns why it clashes with another object in
        force, or None. A clashing object is checked again whenever another object changes.
    on_item : callable, optional
        Called with each new version of an object and whether it was refused, to relay it to others.

    Attributes
    ----------
    cache : VersionedCache
        Objects in force, and tombstones of deleted objects.
    refused : dict of str to RefusedObject
        Newest versions that were refused.
    version : int
        Version up to which all changes of the kind are known.
    synchronized : asyncio.Event
        Set once all objects of the kind are known.
    last_contact_at : float, optional
        Loop time in seconds of the last contact with the platform, directly or through a relay.
    regressed : str
        Why the platform's responses are older than the replica; empty if they are not.
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
        """Versions and reasons of refused objects by name."""
        return {
            name: f"version {refused.item.version}: {refused.reason}"
            for name, refused in self.refused.items()
        }

    def digest(self) -> int:
        """Return a hash of the names and versions of the objects in force, to compare replicas."""
        if self._digest[0] != self.cache.revision:
            entries = self.cache.entries.items()
            present = sorted((name, one.version) for name, one in entries if one.value is not None)
            value = xxhash.xxh64_intdigest(repr(present).encode())
            self._digest = (self.cache.revision, value)
        return self._digest[1]

    def apply(self, item: StoredObject) -> bool:
        """Apply an object if it is newer and valid, and return whether it came into force.

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
        """Return whether the complete state at a later version does not contain the object.

        Without this check, a source that lags would restore a deleted object.
        """
        return item.name not in self.cache.entries and item.version <= self.version

    def apply_list(
        self, version: int, items: Iterable[StoredObject], version_at_request: int | None = None
    ) -> None:
        """Apply a complete list of the kind, and delete older objects that it does not contain.

        Parameters
        ----------
        version : int
            Version up to which the list is complete.
        items : iterable of StoredObject
            All objects of the kind.
        version_at_request : int, optional
            Version known when the list was requested; the current one by default.
        """
        listed = sorted(items, key=lambda item: item.version)
        self._record_regression(
            version, self.version if version_at_request is None else version_at_request
        )
        for item in listed:
            self.apply(item)
        self.mark_complete({item.name for item in listed}, version)

    def apply_changes(self, version: int, items: Iterable[StoredObject], after: int) -> None:
        """Apply the changes from version `after` up to `version`."""
        self._record_regression(version, after)
        for item in items:
            self.apply(item)
        self.advance_version(version)

    def mark_complete(self, present: Collection[str], version: int) -> None:
        """Record that at a version only objects with the given names existed."""
        # Up to this version, the absence of an object does not prove its deletion.
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
        """Record that all changes up to a version are known."""
        self.version = max(self.version, version)

    def record_contact(self, at: float) -> None:
        """Record a contact with the platform at a loop time in seconds."""
        self.last_contact_at = at if self.last_contact_at is None else max(self.last_contact_at, at)

    def _record_regression(self, version: int, version_at_request: int) -> None:
        """Detect a source that lags behind or was restored from a backup.

        Objects that are absent from such a source are not deleted: `VersionedCache.floor` is raised
        to the version that was known before.
        """
        if version >= version_at_request:
            self.regressed = ""
            return
        self.cache.raise_floor(version_at_request)
        self.regressed = f"the platform is at version {version}, behind {version_at_request}"

    def _apply_newer(self, item: StoredObject) -> bool:
        """Put a newer object in force, or refuse it; return whether it came into force."""
        checked = None if item.value is None else self._check(item)
        if isinstance(checked, RefusedObject):
            known = self.refused.get(item.name)
            if known is None or known.item.version < item.version:
                self.refused[item.name] = checked
                self.on_item(item, True)
            return False
        self._put_in_force(item, checked)
        return True

    def _put_in_force(self, item: StoredObject, value: Any) -> None:
        known = self.refused.get(item.name)
        if known is not None and known.item.version <= item.version:
            del self.refused[item.name]
        self.cache.apply(item.name, item.version, value)
        try:
            self._on_change(item.name, value)
        except Exception as error:
            # One object must not keep the others from being applied. The log is loaded only if
            # needed, for those who embed the store.
            from magnoliarouter.telemetry.logs import log_event

            log_event(
                "object_not_applied",
                kind=self.kind,
                name=ascii(item.name),
                version=item.version,
                reason=f"{type(error).__name__}: {error}",
                important=True,
            )
        self.on_item(item, False)

    def _check(self, item: StoredObject) -> Any:
        """Return the validated value of an object, or the refusal."""
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
        """Check clashing objects again, oldest first, until no further one comes into force."""
        while found := self._find_unblocked():
            self._put_in_force(found.item, found.value)

    def _find_unblocked(self) -> RefusedObject | None:
        clashing = [refused for refused in self.refused.values() if refused.value is not None]
        for refused in sorted(clashing, key=lambda refused: refused.item.version):
            if self._find_clash(refused.item.name, refused.value) is None:
                return refused
        return None
