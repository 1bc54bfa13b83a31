"""Wire formats of object APIs: HTTP calls that read, write, list and watch objects.

`EntityTagCodec` is the product's own format: entity tags contain object versions, ``If-Match`` and
``If-None-Match`` make writes conditional (RFC 9110), and a watch is a long poll.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import quote

import msgspec

from magnoliarouter.store.jsontext import DECODE_ERRORS, NULL, read_encoded
from magnoliarouter.store.objects import StoredObject, WatchBatch
from magnoliarouter.store.results import (
    Ambiguous,
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
    Written,
)
from magnoliarouter.store.salvage import (
    decode_members,
    decode_object,
    log_unreadable,
    read_outline,
)
from magnoliarouter.store.turns import finish
from magnoliarouter.store.values import decode_plain

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.store.turns import Work

__all__ = [
    "ObjectCodec",
    "Page",
    "StoreCall",
    "EntityTagCodec",
    "MAX_NAME_CHARS",
    "MAX_VERSION",
    "decode_item",
    "decode_json",
    "decode_write_response",
    "has_usable_name",
]

MAX_VERSION = 2**63 - 1
# Objects with longer names are left out of lists and watches.
MAX_NAME_CHARS = 1_024


class _Item(msgspec.Struct):
    kind: str
    name: str
    version: int
    value: msgspec.Raw = NULL


class _Batch(msgspec.Struct):
    version: int
    items: list[_Item]


@dataclass(frozen=True, slots=True)
class StoreCall:
    """One HTTP call."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Page:
    """Page of a list; `after` is the name after which the next page starts, None on the last."""

    version: int
    items: tuple[StoredObject, ...]
    after: str | None = None


class ObjectCodec(Protocol):
    """Wire format of an object API."""

    def read_call(self, kind: str, name: str) -> StoreCall:
        """Return the call that reads one object."""

    def list_call(self, kind: str, after: str | None) -> StoreCall:
        """Return the call that lists the objects of a kind after a name; None lists from the start."""

    def write_call(self, kind: str, name: str, value: Any, expect: int | None) -> StoreCall:
        """Return the call that writes an object; raises if the value cannot be encoded as JSON."""

    def delete_call(self, kind: str, name: str, expect: int | None) -> StoreCall:
        """Return the call that deletes an object."""

    def watch_call(self, kind: str, after: int, wait: float) -> StoreCall:
        """Return the call that waits for changes after a version."""

    def decode_read(self, status: int, body: bytes, kind: str, name: str) -> ReadOutcome:
        """Return the outcome of a read from its response."""

    def decode_page(self, status: int, body: bytes, kind: str) -> Work[Page | Unavailable]:
        """Return a page from the response to a list; its values are encoded."""

    def decode_write(self, status: int, body: bytes, kind: str, name: str) -> WriteOutcome:
        """Return the outcome of a write or deletion from its response."""

    def decode_watch(self, status: int, body: bytes, kind: str) -> Work[WatchOutcome]:
        """Return the outcome of a watch from its response; its values are encoded."""


class EntityTagCodec:
    """Wire format of the product's own object API."""

    def read_call(self, kind: str, name: str) -> StoreCall:
        """Return the call that reads one object."""
        return StoreCall("GET", _object_path(kind, name))

    def list_call(self, kind: str, after: str | None) -> StoreCall:
        """Return the call that lists the objects of a kind; the list has a single page."""
        return StoreCall("GET", f"/v1/objects/{quote(kind, '')}")

    def write_call(self, kind: str, name: str, value: Any, expect: int | None) -> StoreCall:
        """Return the call that writes an object; raises if the value cannot be encoded as JSON."""
        body = msgspec.json.encode(value)
        return StoreCall("PUT", _object_path(kind, name), _condition_headers(expect), body)

    def delete_call(self, kind: str, name: str, expect: int | None) -> StoreCall:
        """Return the call that deletes an object."""
        return StoreCall("DELETE", _object_path(kind, name), _condition_headers(expect), b"")

    def watch_call(self, kind: str, after: int, wait: float) -> StoreCall:
        """Return the call that waits for changes after a version."""
        return StoreCall("GET", f"/v1/watch/{quote(kind, '')}?after={after}&wait={wait:g}")

    def decode_read(self, status: int, body: bytes, kind: str, name: str) -> ReadOutcome:
        """Return the outcome of a read from its response."""
        if status == 404:
            return Missing()
        if status != 200:
            return unexpected_status(status)
        item = _decode_item(body, kind, name)
        return item if isinstance(item, Unavailable) else Found(item.version, (item,))

    def decode_page(self, status: int, body: bytes, kind: str) -> Work[Page | Unavailable]:
        """Return a page from the response to a list; its values are encoded."""
        if status != 200:
            return unexpected_status(status)
        batch = yield from _decode_batch(body, kind)
        if isinstance(batch, Unavailable):
            return batch
        return Page(batch.version, tuple(batch.items))

    def decode_write(self, status: int, body: bytes, kind: str, name: str) -> WriteOutcome:
        """Return the outcome of a write or deletion from its response."""
        return decode_write_response(
            status, 412, lambda: _decode_item(body, kind, name), lambda: body.strip() == b"null"
        )

    def decode_watch(self, status: int, body: bytes, kind: str) -> Work[WatchOutcome]:
        """Return the outcome of a watch from its response; its values are encoded."""
        if status == 410:
            return Gone()
        if status != 200:
            return unexpected_status(status)
        batch = yield from _decode_batch(body, kind)
        return batch if isinstance(batch, Unavailable) else Changes(batch)


def decode_write_response(
    status: int,
    conflict_status: int,
    decode: Callable[[], StoredObject | Unavailable],
    is_absent: Callable[[], bool] = lambda: False,
) -> WriteOutcome:
    """Return the outcome of a write from its response.

    Parameters
    ----------
    status, conflict_status : int
        Status of the response, and the status by which the API reports that the condition did not
        hold.
    decode : callable
        Returns the object in the response.
    is_absent : callable
        Returns whether the response to a conflict reports that the object does not exist.
    """
    if status in (200, 201):
        item = decode()
        if isinstance(item, Unavailable):
            return Ambiguous(item.reason, item.failure)
        return Written(item.version)
    if status == conflict_status:
        if is_absent():
            return Conflict(None)
        # The status proves that nothing changed, even if the body is malformed.
        item = decode()
        return item if isinstance(item, Unavailable) else Conflict(item)
    if status == 503 or 400 <= status < 500:
        return unexpected_status(status)
    return Ambiguous(f"status {status}", Failure.STATUS)


def unexpected_status(status: int) -> Unavailable:
    """Return the outcome of a call with an error status."""
    failure = Failure.REFUSED if status == 503 else Failure.STATUS
    return Unavailable(f"status {status}", failure)


def decode_json(body: bytes, model: Any) -> Any:
    """Decode a body as a model, or return that it is malformed."""
    try:
        return msgspec.json.decode(body, type=model)
    except DECODE_ERRORS as error:
        return _refuse_malformed(error)


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, '')}/{quote(name, '')}"


def _decode_item(body: bytes, kind: str, name: str) -> StoredObject | Unavailable:
    try:
        item = decode_plain(_convert(decode_item(body, _Item, "value")))
    except DECODE_ERRORS as error:
        return _refuse_malformed(error)
    if (item.kind, item.name) != (kind, name) or not 0 < item.version <= MAX_VERSION:
        return Unavailable(
            f"answer is about {item.kind}/{item.name} version {item.version}", Failure.MALFORMED
        )
    return item


def has_usable_name(name: str) -> bool:
    """Return whether a name may be remembered; one that is too long is logged."""
    if len(name) <= MAX_NAME_CHARS:
        return True
    log_unreadable(name, f"name has {len(name)} characters; valid: up to {MAX_NAME_CHARS}")
    return False


def decode_item(body: bytes, model: Any, value_field: str) -> Any:
    """Decode the response to a read, whose value may be unreadable; raises any of `DECODE_ERRORS`."""
    try:
        return msgspec.json.decode(body, type=model)
    except DECODE_ERRORS:
        return decode_object(finish(read_outline(body, 1)), model, value_field)


def _decode_batch(body: bytes, kind: str) -> Work[WatchBatch | Unavailable]:
    try:
        batch = msgspec.json.decode(body, type=_Batch)
    except DECODE_ERRORS:
        batch = yield from _salvage_batch(body)
    if isinstance(batch, Unavailable):
        return batch
    if not 0 <= batch.version <= MAX_VERSION:
        return Unavailable(f"batch has version {batch.version}", Failure.MALFORMED)
    for item in batch.items:
        if item.kind != kind or not 0 < item.version <= MAX_VERSION:
            reason = f"batch of {kind} holds {item.kind}/{item.name} version {item.version}"
            return Unavailable(reason, Failure.MALFORMED)
    items = [_convert(item) for item in batch.items if has_usable_name(item.name)]
    return WatchBatch(batch.version, items)


def _convert(item: _Item) -> StoredObject:
    return StoredObject(item.kind, item.name, item.version, read_encoded(item.value))


def _salvage_batch(body: bytes) -> Work[_Batch | Unavailable]:
    try:
        members: Any = yield from read_outline(body, 3)
        items = yield from decode_members(
            members[b'"items"'], lambda item: decode_object(item, _Item, "value")
        )
        return _Batch(msgspec.json.decode(members[b'"version"'], type=int), items)
    except (*DECODE_ERRORS, KeyError, TypeError) as error:
        return _refuse_malformed(error)


def _refuse_malformed(error: Exception) -> Unavailable:
    return Unavailable(f"malformed answer: {error}", Failure.MALFORMED)


def _condition_headers(expect: int | None) -> dict[str, str]:
    if expect is None:
        return {}
    if expect == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect}"'}
