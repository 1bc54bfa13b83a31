"""Requests and responses of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec

from magnoliarouter.store.jsontext import DECODE_ERRORS, NULL, read_encoded
from magnoliarouter.store.objects import StoredObject, WatchBatch
from magnoliarouter.store.results import (
    Changes,
    Conflict,
    Failure,
    Found,
    Gone,
    Missing,
    ReadOutcome,
    Unavailable,
    WatchOutcome,
    WriteOutcome,
)
from magnoliarouter.store.salvage import (
    decode_members,
    decode_object,
    log_unreadable,
    read_outline,
)
from magnoliarouter.store.values import decode_plain
from magnoliarouter.store.wire import (
    MAX_NAME_CHARS,
    MAX_VERSION,
    Page,
    StoreCall,
    decode_item,
    decode_json,
    decode_write_response,
    has_usable_name,
    unexpected_status,
)

if TYPE_CHECKING:
    from magnoliarouter.store.salvage import Outline
    from magnoliarouter.store.turns import Work

__all__ = ["RevisionCodec"]

LAST_CHARACTER = chr(0x10FFFF)


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = NULL


class _List(msgspec.Struct):
    items: list[_Object]
    at: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at: int


class RevisionCodec:
    """`ObjectCodec` of a store with one revision counter that increases with every change.

    Object versions of this project are revisions of the store, and values are the `spec` of an
    object.
    """

    def read_call(self, kind: str, name: str) -> StoreCall:
        """Return the call that reads one object."""
        return StoreCall("GET", _path(kind, name))

    def list_call(self, kind: str, after: str | None) -> StoreCall:
        """Return the call that lists the objects of a kind whose names follow `after`."""
        # Despite its name, the parameter takes the name of the last object received, not a revision.
        query = "" if after is None else f"?after_revision={quote(after, '')}"
        return StoreCall("GET", f"/v1/objects/{quote(kind, '')}{query}")

    def write_call(self, kind: str, name: str, value: Any, expect: int | None) -> StoreCall:
        """Return the call that writes an object; raises if the value cannot be encoded as JSON."""
        metadata: dict[str, Any] = {"name": name}
        if expect:
            metadata["revision"] = expect
        body = msgspec.json.encode({"metadata": metadata, "spec": value})
        if expect == 0:
            return StoreCall("POST", f"/v1/objects/{quote(kind, '')}", body=body)
        return StoreCall("PUT", _path(kind, name), body=body)

    def delete_call(self, kind: str, name: str, expect: int | None) -> StoreCall:
        """Return the call that deletes an object."""
        query = f"?revision={expect}" if expect else ""
        return StoreCall("DELETE", _path(kind, name) + query)

    def watch_call(self, kind: str, after: int, wait: float) -> StoreCall:
        """Return the call that waits for changes after a revision."""
        query = f"watch={after}&wait_ms={int(wait * 1000)}"
        return StoreCall("GET", f"/v1/objects/{quote(kind, '')}?{query}")

    def decode_read(self, status: int, body: bytes, kind: str, name: str) -> ReadOutcome:
        """Decode the response to a read."""
        if status == 404:
            return Missing()
        if status != 200:
            return unexpected_status(status)
        item = _decode_object(body, kind)
        return item if isinstance(item, Unavailable) else Found(item.version, (item,))

    def decode_page(self, status: int, body: bytes, kind: str) -> Work[Page | Unavailable]:
        """Decode the response to a list, whose values stay encoded."""
        if status != 200:
            return unexpected_status(status)
        page = decode_json(body, _List)
        if isinstance(page, Unavailable):
            page = (yield from _salvage_list(body)) or page
        if isinstance(page, Unavailable):
            return page
        listed = [item for item in page.items if _has_revision(item)]
        items = tuple(
            _convert(kind, item) for item in listed if has_usable_name(item.metadata.name)
        )
        # The names follow one another, so that an entry without one is listed again and left out.
        after = _shorten_name(listed[-1].metadata.name) if page.has_more and listed else None
        if page.has_more and after is None:
            return Unavailable("no entry of a part of the list has a name", Failure.MALFORMED)
        return Page(page.at, items, after)

    def decode_write(self, status: int, body: bytes, kind: str, name: str) -> WriteOutcome:
        """Decode the response to a write or deletion."""
        if status == 404:
            return Conflict(None)
        return decode_write_response(status, 409, lambda: _decode_object(body, kind))

    def decode_watch(self, status: int, body: bytes, kind: str) -> Work[WatchOutcome]:
        """Decode the response to a watch, whose values stay encoded."""
        if status == 410:
            return Gone()
        if status != 200:
            return unexpected_status(status)
        batch = decode_json(body, _Events)
        if isinstance(batch, Unavailable):
            batch = (yield from _salvage_events(body)) or batch
        if isinstance(batch, Unavailable):
            return batch
        return Changes(WatchBatch(batch.at, _convert_events(kind, batch)))


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, '')}/{quote(name, '')}"


def _convert(kind: str, item: _Object) -> StoredObject:
    value = read_encoded(item.spec)
    return StoredObject(kind, item.metadata.name, item.metadata.revision, value)


def _shorten_name(name: str) -> str:
    """Return a name after which a list continues; others that begin like a long one are left out."""
    return name if len(name) <= MAX_NAME_CHARS else name[:MAX_NAME_CHARS] + LAST_CHARACTER


def _has_revision(item: _Object) -> bool:
    valid = 0 < item.metadata.revision <= MAX_VERSION
    if not valid:
        log_unreadable(item.metadata.name, f"revision is {item.metadata.revision}")
    return valid


def _read_object(members: Outline) -> _Object:
    return decode_object(members, _Object, "spec")


def _read_event(members: Outline) -> _Event:
    if not isinstance(members, dict):
        raise ValueError("no event")
    deleted = members.get(b'"deleted"', b"false")
    if not isinstance(deleted, bytes):
        raise ValueError("deleted is neither true nor false")
    item = _read_object(members.get(b'"object"', b""))
    return _Event(item, msgspec.json.decode(deleted, type=bool))


def _salvage_list(body: bytes) -> Work[_List | None]:
    """Return a list without the entries that cannot be decoded, or None if it is no list."""
    try:
        members: Any = yield from read_outline(body, 3)
        items = yield from decode_members(members[b'"items"'], _read_object)
        return _List(
            items,
            msgspec.json.decode(members[b'"at"'], type=int),
            msgspec.json.decode(members.get(b'"has_more"', b"false"), type=bool),
        )
    except (*DECODE_ERRORS, KeyError, TypeError):
        return None


def _salvage_events(body: bytes) -> Work[_Events | None]:
    """Return a batch of events without those that cannot be decoded, or None if it is no batch."""
    try:
        members: Any = yield from read_outline(body, 4)
        events = yield from decode_members(members[b'"events"'], _read_event)
        return _Events(events, msgspec.json.decode(members[b'"at"'], type=int))
    except (*DECODE_ERRORS, KeyError, TypeError):
        return None


def _convert_events(kind: str, batch: _Events) -> list[StoredObject]:
    """Return the last change of each object.

    The event of a deletion holds the revision of the object's last write, so a deletion gets the
    revision of the batch instead.
    """
    last = {
        event.object.metadata.name: event
        for event in batch.events
        if (event.deleted or _has_revision(event.object))
        and has_usable_name(event.object.metadata.name)
    }
    items = []
    for name, event in last.items():
        revision = batch.at if event.deleted else event.object.metadata.revision
        value = None if event.deleted else read_encoded(event.object.spec)
        items.append(StoredObject(kind, name, revision, value))
    return items


def _decode_object(body: bytes, kind: str) -> StoredObject | Unavailable:
    try:
        item = decode_item(body, _Object, "spec")
    except DECODE_ERRORS as error:
        return Unavailable(f"malformed answer: {error}", Failure.MALFORMED)
    if item.metadata.revision <= 0:
        return Unavailable(f"revision is {item.metadata.revision}", Failure.MALFORMED)
    return decode_plain(_convert(kind, item))
