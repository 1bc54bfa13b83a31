"""Checks of JSON texts part by part, without holding the whole decoded.

Other writers may leave any text in the store. Decoded as a whole, a compact list takes some thirty
times its size, so a value stays encoded (`msgspec.Raw`) until a model tells which fields are needed.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "DECODE_ERRORS",
    "NULL",
    "PART_BYTES",
    "SMALL_VALUE_BYTES",
    "check_encoding",
    "hide_escapes",
    "is_small",
    "read_encoded",
    "split_parts",
]

NULL = msgspec.Raw(b"null")
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)
# Decoded as a whole, a value of this size takes at most 2 MB.
SMALL_VALUE_BYTES = 65_536
# Work on one part takes a few milliseconds.
PART_BYTES = 65_536
FIRST_PART_BYTES = 512

# The rest of an escape, and of a number or literal.
_ESCAPE_REST = re.compile(rb"\\*+")
_TOKEN_REST = re.compile(rb"[-+.0-9a-zA-Z\\]*+")

# What separates numbers and literals outside of strings.
_SEPARATORS = bytes.maketrans(b"[]{},: \t\r", b"\n" * 9)


def split_parts(
    text: bytes, start: int = 0, whole_tokens: bool = False
) -> Iterator[tuple[int, bytes]]:
    """Iterate over a text in parts that split no escape.

    Parameters
    ----------
    text : bytes
        JSON text.
    start : int
        Where the first part starts. It is short, and each is longer than the one before.
    whole_tokens : bool
        Whether the parts split no number and no literal either.

    Yields
    ------
    tuple of (int, bytes)
        Start of the part in the text, and the part.
    """
    size, rest = FIRST_PART_BYTES, _TOKEN_REST if whole_tokens else _ESCAPE_REST
    while start < len(text):
        end = min(start + size, len(text))
        found = rest.match(text, end) if whole_tokens or text[end - 1 : end] == b"\\" else None
        end = found.end() if found else end
        if text[end - 1 : end] == b"\\":
            end += 1
        yield start, text[start:end]
        start, size = end, min(4 * size, PART_BYTES)


def hide_escapes(part: bytes) -> bytes:
    """Return a part in which each remaining quotation mark starts or ends a string."""
    return part.replace(rb"\\", b"  ").replace(rb"\"", b"  ")


def read_encoded(value: Any) -> Any:
    """Return an encoded value, or None for JSON's null."""
    return (
        None
        if isinstance(value, msgspec.Raw) and bytes(memoryview(value)[:5]) == b"null"
        else value
    )


def is_small(value: msgspec.Raw) -> bool:
    """Return whether a value may be decoded as a whole wherever it is met."""
    return len(value) <= SMALL_VALUE_BYTES


def check_encoding(value: msgspec.Raw) -> None:
    """Check the parts of a value that a typed decoder skips, without holding them decoded.

    Parameters
    ----------
    value : msgspec.Raw
        Value that was decoded once; hence its structure and its escapes are valid.

    Raises
    ------
    MsgspecError, ValueError
        A string is no UTF-8, or a number is out of range.

    Examples
    --------
    >>> check_encoding(msgspec.Raw(b'{"note":"\\xff"}'))
    Traceback (most recent call last):
    ...
    msgspec.DecodeError: Invalid UTF-8 encoded string
    """
    if is_small(value):
        msgspec.json.decode(value)
        return
    text = bytes(value)
    str(text, "utf-8")
    decoder, in_string = msgspec.json.Decoder(), 0
    for _, part in split_parts(text, whole_tokens=True):
        pieces = hide_escapes(part).split(b'"')
        outside = b"\n".join(pieces[in_string::2])
        decoder.decode_lines(outside.translate(_SEPARATORS))
        in_string = (in_string + len(pieces) - 1) % 2
