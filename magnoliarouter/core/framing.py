"""How the body of an HTTP response is delimited."""

from __future__ import annotations

from enum import Enum

__all__ = ["Framing", "determine_framing"]

BODILESS_STATUSES = (204, 304)


class Framing(Enum):
    """What marks the end of a body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def determine_framing(
    status: int, fields: list[tuple[bytes, bytes]], bodiless: bool = False
) -> Framing:
    """Return how the body of a response is delimited (RFC 9112, section 6.3).

    Parameters
    ----------
    status : int
        HTTP status.
    fields : list of (bytes, bytes)
        Header fields as received.
    bodiless : bool
        Whether the response has no body regardless of its header fields, as after HEAD.

    Examples
    --------
    >>> determine_framing(200, [(b"Content-Length", b"2")])
    <Framing.LENGTH: 'length'>
    >>> determine_framing(200, [])
    <Framing.CLOSE: 'close'>
    """
    if bodiless or status in BODILESS_STATUSES:
        return Framing.NONE
    names = {name.lower() for name, _ in fields}
    if b"transfer-encoding" in names:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE
