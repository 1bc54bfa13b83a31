"""Reads the readable parts of JSON texts that cannot be decoded as a whole.

One entry of another writer may hold bytes that are no text, a number out of range or very deep
nesting, each of which a decoder refuses together with all that surrounds it. The text is read once,
in turns of bounded work, and what is nested too deeply to matter is passed over without a step of
the interpreter for each of its tokens.
"""

from __future__ import annotations

import operator
import re
from itertools import accumulate, islice
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar

import msgspec

from magnoliarouter.store.jsontext import DECODE_ERRORS, PART_BYTES, hide_escapes, split_parts
from magnoliarouter.store.objects import UnreadableValue

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.store.turns import Work

__all__ = ["Outline", "decode_members", "decode_object", "log_unreadable", "read_outline"]

MAX_LOGGED_CHARS = 200
SHOWN_KEYS = 4
MEMBERS_IN_TURN = 16

T = TypeVar("T")
# Members of an object by their encoded keys, members of an array, or an encoded value.
Outline: TypeAlias = "dict[bytes, Outline] | list[Outline] | bytes"

_TOKEN = re.compile(
    rb'\s*+(?:("(?:[^"\\]++|\\.)*+")|([\[{])|([\]}])|([,:])|([^\s"\[\]{},:]++))', re.DOTALL
)
# Where most values end: those that are short and nested no more than three levels.
SHORT_VALUE_BYTES = 2_048
_PLAIN = rb'[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"'
_NESTED = rb"[\[{](?:%b)*+[\]}]" % _PLAIN
_NESTED = rb"[\[{](?:%b|%b)*+[\]}]" % (_PLAIN, _NESTED)
_SHORT_REST = re.compile(rb"(?:%b|%b)*+[\]}]" % (_PLAIN, _NESTED), re.DOTALL)
# 1 for each quotation mark.
_QUOTES = bytes(byte == ord('"') for byte in range(256))
# As signed bytes, 1 for each opening bracket and -1 for each closing one.
_OPENED, _CLOSED = b"\x01", b"\xff"
_STEPS = bytes(
    {b"[": 1, b"{": 1, b"]": 255, b"}": 255}.get(bytes([byte]), 0) for byte in range(256)
)
# All bits of each byte outside of a string.
_OUTSIDE = bytes.maketrans(b"\x00\x01", b"\xff\x00")


def read_outline(text: bytes, levels: int) -> Work[Outline]:
    """Split a JSON object or array into its members without decoding them.

    Parameters
    ----------
    text : bytes
        Encoded object or array.
    levels : int
        Levels of objects and arrays that are split; what is nested more deeply stays encoded.

    Returns
    -------
    dict or list
        The members. Of a key that comes twice the last counts.

    Raises
    ------
    ValueError
        The text is no object or array, or ends within it.

    Examples
    --------
    >>> finish(read_outline(b'{"a": [1, [2]], "b": {}}', 1))
    {b'"a"': b'[1, [2]]', b'"b"': b'{}'}
    >>> finish(read_outline(b'{"a": [1, [2]], "b": {}}', 2))
    {b'"a"': [b'1', b'[2]'], b'"b"': {}}
    """
    opened: list[dict[bytes, Outline] | list[Outline]] = []
    keys: list[bytes | None] = []
    position, turn_ends = 0, PART_BYTES
    while True:
        if position > turn_ends:
            yield
            turn_ends = position + PART_BYTES
        found = _TOKEN.match(text, position)
        if found is None:
            raise ValueError("the text ends within an object, array or string")
        string, opening, closing, mark, scalar = found.groups()
        position = found.end()
        value: Outline | None = string or scalar
        if opening and len(opened) < levels:
            opened.append([] if opening == b"[" else {})
            keys.append(None)
            continue
        if not opened:
            raise ValueError("no object or array")
        if opening:
            start = position - 1
            position = yield from _find_end(text, position)
            value, turn_ends = text[start:position], position + PART_BYTES
        elif closing:
            value = opened.pop()
            keys.pop()
            if not opened:
                return value
        if value is None:
            continue
        members = opened[-1]
        if isinstance(members, list):
            members.append(value)
        elif keys[-1] is None:
            if not isinstance(value, bytes):
                raise ValueError("a key is no text")
            keys[-1] = value
        else:
            members[keys[-1]], keys[-1] = value, None


def _find_end(text: bytes, start: int) -> Work[int]:
    """Return where the object or array ends whose opening bracket is before `start`."""
    found = _SHORT_REST.match(text, start, start + SHORT_VALUE_BYTES)
    if found is not None:
        return found.end()
    depth, in_string = 1, 0
    for position, part in split_parts(text, start):
        part = hide_escapes(part)
        steps = part.translate(_STEPS)
        if in_string or b'"' in part:
            marks = accumulate(part.translate(_QUOTES), operator.xor, initial=in_string)
            strings = bytes(marks)[1:]
            in_string = strings[-1]
            outside = int.from_bytes(strings.translate(_OUTSIDE), "big")
            steps = (int.from_bytes(steps, "big") & outside).to_bytes(len(part), "big")
        closed = steps.count(_CLOSED)
        if closed >= depth:
            depths = accumulate(memoryview(steps).cast("b"), initial=depth)
            try:
                return position + operator.indexOf(depths, 0)
            except ValueError:
                # It does not end in this part.
                pass
        depth += steps.count(_OPENED) - closed
        yield
    raise ValueError("the text ends within an object or array")


def decode_members(members: Outline, decode: Callable[[Outline], T]) -> Work[list[T]]:
    """Decode the members of an array one by one, and leave out those that cannot be decoded.

    Parameters
    ----------
    members : list
        Members of the array, as of `read_outline`.
    decode : callable
        Decodes one member; raises any of `DECODE_ERRORS` if that is impossible.

    Raises
    ------
    ValueError
        It is no array.
    """
    if not isinstance(members, list):
        raise ValueError("no array")
    decoded = []
    for number, member in enumerate(members, start=1):
        try:
            decoded.append(decode(member))
        except DECODE_ERRORS as error:
            log_unreadable(_show(member), str(error))
        if not number % MEMBERS_IN_TURN:
            yield
    return decoded


def _show(member: Outline) -> str:
    """Return the start of a member for the log."""
    if isinstance(member, dict):
        return ", ".join(
            f"{_show(key)}: {_show(member[key])}" for key in islice(member, SHOWN_KEYS)
        )
    if isinstance(member, list):
        return f"{len(member)} members"
    return member[:MAX_LOGGED_CHARS].decode("ascii", "backslashreplace")


def log_unreadable(entry: str, reason: str) -> None:
    """Log an entry that is left out of an answer."""
    # Loaded only if needed, for those who embed the store.
    from magnoliarouter.telemetry.logs import log_event

    log_event("store_entry_unreadable", entry=entry[:MAX_LOGGED_CHARS], reason=reason)


def decode_object(members: Outline, model: type[T], value_field: str) -> T:
    """Decode an object of the store whose value may be unreadable.

    Parameters
    ----------
    members : dict
        Members of the object, as of `read_outline`.
    model : type of msgspec.Struct
        Model of the object, whose value stays encoded.
    value_field : str
        Encoded name of the field that other writers fill. It becomes an `UnreadableValue` if it
        cannot be decoded.

    Raises
    ------
    MsgspecError, RecursionError, ValueError
        Another field cannot be decoded, or is missing.
    """
    if not isinstance(members, dict):
        raise ValueError("no object")
    encoded: Any = members.get(f'"{value_field}"'.encode())
    known = [f'"{field}"'.encode() for field in model.__struct_fields__ if field != value_field]
    rest = b",".join(key + b":" + members[key] for key in known if key in members)
    item = msgspec.json.decode(b"{" + rest + b"}", type=model)
    if encoded is None:
        return item
    try:
        value: Any = msgspec.json.decode(encoded, type=msgspec.Raw)
    except DECODE_ERRORS as error:
        from magnoliarouter.telemetry.logs import log_event

        value = UnreadableValue(str(error))
        shown = rest[:MAX_LOGGED_CHARS].decode("ascii", "backslashreplace")
        log_event("store_value_unreadable", entry=shown, reason=str(error))
    setattr(item, value_field, value)
    return item
