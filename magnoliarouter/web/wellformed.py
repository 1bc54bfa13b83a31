"""Checks on parsed messages that the parsers of circuits.web and aiohttp omit.

The parser of circuits.web accepts several framings of one body, unescapes header values and treats
bytes after a body as part of it. Each of these could make two processes parse the same bytes as
different requests (request smuggling). That of aiohttp takes control characters for parts of values.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["find_field_error", "find_request_error", "split_body"]

CONTROL_CHARACTER_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
CONTENT_LENGTH_PATTERN = re.compile(r"^[0-9]{1,15}$")


def find_request_error(path: str, headers: Mapping[str, str]) -> str:
    """Return an error message if the path or the header fields are invalid, else an empty string.

    Parameters
    ----------
    path : str
        Path of the request line.
    headers : mapping of str to str
        Header fields, names in lower case.

    Examples
    --------
    >>> find_request_error("/", {"content-length": "-1"})
    "header 'content-length' is '-1'; valid: a number of bytes"
    """
    if not path.startswith("/"):
        return f"path is {path!r}; valid: starts with '/'"
    if CONTROL_CHARACTER_PATTERN.search(path):
        return "path has a control character"
    return find_field_error(headers) or _find_framing_error(headers)


def find_field_error(headers: Mapping[str, str]) -> str:
    """Return an error message if a header field has a control character, else an empty string."""
    for name, value in headers.items():
        if CONTROL_CHARACTER_PATTERN.search(value):
            return f"header {name!r} has a control character"
    return ""


def _find_framing_error(headers: Mapping[str, str]) -> str:
    length = headers.get("content-length")
    encoding = headers.get("transfer-encoding")
    if length is not None and not CONTENT_LENGTH_PATTERN.match(length):
        return f"header 'content-length' is {length!r}; valid: a number of bytes"
    if encoding is not None and encoding != "chunked":
        return f"header 'transfer-encoding' is {encoding!r}; valid: chunked"
    if length is not None and encoding is not None:
        return "headers 'content-length' and 'transfer-encoding' exclude each other"
    if "content-encoding" in headers:
        return f"header 'content-encoding' is {headers['content-encoding']!r}; valid: none"
    return ""


def split_body(body: bytes, headers: Mapping[str, str]) -> tuple[bytes, bytes]:
    """Split received bytes into the request body and the start of the next request."""
    if "transfer-encoding" in headers:
        return body, b""
    length = int(headers.get("content-length", "0"))
    return body[:length], body[length:]
