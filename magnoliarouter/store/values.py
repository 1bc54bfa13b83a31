"""Decodes whole values of stored objects within bounds, for readers that have no model of them."""

from __future__ import annotations

from typing import Any

import msgspec

from magnoliarouter.store.jsontext import DECODE_ERRORS, is_small
from magnoliarouter.store.objects import StoredObject, UnreadableValue

__all__ = ["decode_plain", "decode_small"]

# Arrays, objects and members of a value that is decoded as a whole, which take up to 100 bytes each.
MAX_PLAIN_MEMBERS = 100_000


def decode_plain(item: StoredObject) -> StoredObject:
    """Return an object with its value decoded as a whole, for readers of single objects.

    A value that cannot be decoded, or has over `MAX_PLAIN_MEMBERS` members, becomes an
    `UnreadableValue`.
    """
    return _decode_whole(item, lambda value: is_small(value) or _has_few_members(value))


def decode_small(item: StoredObject) -> StoredObject:
    """Return an object as `decode_plain` does if its value is small, for readers of whole lists."""
    return _decode_whole(item, is_small)


def _decode_whole(item: StoredObject, may_decode: Any) -> StoredObject:
    value = item.value
    if not isinstance(value, msgspec.Raw):
        return item
    if not may_decode(value):
        decoded: Any = UnreadableValue(f"value of {len(value)} bytes holds too much")
    else:
        try:
            decoded = msgspec.json.decode(value)
        except DECODE_ERRORS as error:
            decoded = UnreadableValue(str(error))
    return msgspec.structs.replace(item, value=decoded)


def _has_few_members(value: msgspec.Raw) -> bool:
    """Return whether a value has few enough members to be decoded as a whole."""
    text = bytes(value)
    return sum(text.count(mark) for mark in (b",", b"[", b"{")) <= MAX_PLAIN_MEMBERS
