"""Local copy of the objects of one kind, in which an object never returns to an older version.

Objects come from lists and watches of the platform and from batches of other daemons, in any order
and any number of times. An invalid object is refused with a reason, and its previous version stays
in force.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

from magnoliarouter.core.cache import VersionedCache
from magnoliarouter.store.objects import StoredObject, UnreadableValue
from magnoliarouter.store.turns import finish
from magnoliarouter.store.values import decode_small

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from magnoliarouter.store.turns import Work

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
# Refused objects whose reasons are remembered. One that is forgotten is refused again if it is listed.
MAX_REFUSED = 1_000
# Size of refused values that are relayed. The contract of a client account with 64 keys has 6 KB.
MAX_REFUSED_BYTES = 16_384
MAX_REASON_CHARS = 400
# Objects that are applied in one turn of the event loop.
ITEMS_IN_TURN = 100


@dataclass(frozen=True, slots=True)
class CheckedValue:
    """Value of an object that was checked when it was received, before it is applied.

    Parameters
    ----------
    value : object
        Validated value.
    encoded : object, optional
        The value as received, if others may need it.
    reason : str
        Why the value is refused; empty if it is valid.
    """

    value: Any
    encoded: Any = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RefusedObject:
    """Newest version of an object that cannot come into force, and the reason.

    Parameters
    ----------
    item : StoredObject
        The object; without its value unless `value` is set.
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
        Converts a JSON value, which may be encoded as `msgspec.Raw`, to a validated value; raises
        `ObjectError` if it is invalid. The object is refused if it raises any of `DECODE_ERRORS`.
    on_change : callable, optional
        Called with the name and value (None if deleted) of each object that changed.
    find_clash : callable, optional
        Called with a name and a validated value; returns why it clashes with another object in
        force, or None. A clashing object is checked again whenever another object changes.
    on_item : callable, optional
        Called with each new version of an object and whether it was refused, to relay it to others.
        A refused object comes with its value only if that is small or valid.
    passes_name : bool
        Whether `decode` is called with the name and the value.

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
    keeps_encoded : bool
        Whether `on_item` needs the values.
    may_clash : bool
        Whether objects have to be applied in the order of their versions, as they may clash.
    """

    def __init__(
        self,
        kind: str,
        decode: Callable[..., Any],
        on_change: Callable[[str, Any], None] = lambda name, value: None,
        find_clash: Callable[[str, Any], str | None] | None = None,
        on_item: Callable[[StoredObject, bool], None] = lambda item, refused: None,
        passes_name: bool = False,
    ) -> None:
        self.kind = kind
        self.cache: VersionedCache[Any] = VersionedCache()
        self.refused: dict[str, RefusedObject] = {}
        self.synchronized = asyncio.Event()
        self.version = 0
        self.last_contact_at: float | None = None
        self.regressed = ""
        self.keeps_encoded = False
        self._digest = (-1, 0)
        self.on_item = on_item
        self._decode: Callable[[str, Any], Any] = (
            decode if passes_name else lambda name, value: decode(value)
        )
        self._on_change = on_change
        self._find_clash = find_clash or (lambda name, value: None)
        self.may_clash = find_clash is not None

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

    def prepare(self, item: StoredObject) -> StoredObject:
        """Check the value of an object, so that it need not be held encoded until it is applied."""
        if item.value is None or isinstance(item.value, CheckedValue):
            return item
        known = self.refused.get(item.name)
        if item.version <= self.cache.version_of(item.name):
            checked = CheckedValue(None, reason="a newer version is in force")
        elif known is not None and known.item.version == item.version:
            checked = CheckedValue(known.value, known.item.value, known.reason)
        else:
            checked = self._check_value(item)
        return msgspec.structs.replace(item, value=checked)

    def _check_value(self, item: StoredObject) -> CheckedValue:
        try:
            value = self._decode(item.name, item.value)
        except DECODE_ERRORS as error:
            reason = (str(error) or type(error).__name__)[:MAX_REASON_CHARS]
            return CheckedValue(None, self._keep_refused(item), reason)
        encoded = item.value
        if isinstance(encoded, msgspec.Raw):
            # A copy, since it is part of a response that holds other objects as well.
            encoded = encoded.copy() if self.keeps_encoded else None
        field = IDENTITY_FIELDS.get(self.kind)
        identity = getattr(value, field, item.name) if field else item.name
        if identity != item.name:
            reason = f"{field} is {identity!r}, but the object is {item.name!r}"
            return CheckedValue(None, encoded, reason[:MAX_REASON_CHARS])
        return CheckedValue(value, encoded)

    def _keep_refused(self, item: StoredObject) -> Any:
        """Return what others may need of a refused value: a later version may take it."""
        if not self.keeps_encoded:
            return None
        if isinstance(item.value, msgspec.Raw) and len(item.value) > MAX_REFUSED_BYTES:
            return UnreadableValue(f"refused value of {len(item.value)} bytes")
        return decode_small(item).value

    def _was_deleted(self, item: StoredObject) -> bool:
        """Return whether the complete state at a later version does not contain the object.

        Without this check, a source that lags would restore a deleted object.
        """
        return item.name not in self.cache.entries and item.version <= self.version

    def apply_list(
        self, version: int, items: Iterable[StoredObject], version_at_request: int | None = None
    ) -> None:
        """Apply a complete list of the kind, as `apply_list_in_turns` does, without a pause."""
        finish(self.apply_list_in_turns(version, items, version_at_request))

    def apply_list_in_turns(
        self, version: int, items: Iterable[StoredObject], version_at_request: int | None = None
    ) -> Work[None]:
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
        yield from self._apply_all(listed)
        self.mark_complete({item.name for item in listed}, version)

    def apply_changes(self, version: int, items: Iterable[StoredObject], after: int) -> None:
        """Apply changes as `apply_changes_in_turns` does, without a pause."""
        finish(self.apply_changes_in_turns(version, items, after))

    def apply_changes_in_turns(
        self, version: int, items: Iterable[StoredObject], after: int
    ) -> Work[None]:
        """Apply the changes from version `after` up to `version`."""
        self._record_regression(version, after)
        yield from self._apply_all(items)
        self.advance_version(version)

    def _apply_all(self, items: Iterable[StoredObject]) -> Work[None]:
        for number, item in enumerate(items, start=1):
            self.apply(item)
            if not number % ITEMS_IN_TURN:
                yield

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
        if item.value is None:
            self._put_in_force(item, None)
            return True
        checked: CheckedValue = self.prepare(item).value
        item = msgspec.structs.replace(item, value=checked.encoded)
        reason = checked.reason or self._find_clash(item.name, checked.value)
        if not reason:
            self._put_in_force(item, checked.value)
            return True
        known = self.refused.pop(item.name, None)
        if known is not None and known.item.version > item.version:
            self.refused[item.name] = known
            return False
        # A clashing object is checked again; of any other its name, version and reason are enough.
        kept = msgspec.structs.replace(item, value=None) if checked.reason else item
        self.refused[item.name] = RefusedObject(kept, reason, checked.value)
        if checked.reason and len(self.refused) > MAX_REFUSED:
            self._forget_refused()
        self.on_item(item, True)
        return False

    def _forget_refused(self) -> None:
        """Forget the oldest refusal, unless its object may come into force later."""
        oldest = next((name for name, one in self.refused.items() if one.value is None), None)
        if oldest is not None:
            del self.refused[oldest]

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
