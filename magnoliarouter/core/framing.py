"""How the body of an HTTP response is delimited."""

from __future__ import annotations

from enum import Enum

__all__ = [
    "MAX_BODY_BYTES",
    "ConnectionEnd",
    "Framing",
    "determine_framing",
    "is_whole_at_end",
]

# Largest body that is read whole: a message, or a response before it is relayed.
MAX_BODY_BYTES = 4_194_304
BODILESS_STATUSES = (204, 304)


class Framing(Enum):
    """What marks the end of a body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    # A transfer coding other than `chunked`, which would have to be decoded before the body is
    # relayed, or two lengths that differ.
    UNSUPPORTED = "unsupported"


class ConnectionEnd(Enum):
    """How a connection ended."""

    CLOSED_BY_PEER = "closed by peer"
    CLOSED_HERE = "closed here"
    RESET = "reset"


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
    coding: bytes | None = None
    lengths: set[bytes] = set()
    for name, value in fields:
        match name.lower():
            case b"transfer-encoding":
                coding = value
            case b"content-length":
                lengths.add(value.strip())
    if coding is not None:
        return Framing.CHUNKED if coding.strip().lower() == b"chunked" else Framing.UNSUPPORTED
    if len(lengths) > 1:
        return Framing.UNSUPPORTED
    return Framing.LENGTH if lengths else Framing.CLOSE


def is_whole_at_end(framing: Framing, end: ConnectionEnd) -> bool:
    """Return whether a body is whole whose end the connection's end is to mark.

    Parameters
    ----------
    framing : Framing
        What marks the end of the body; its own mark has not been received.
    end : ConnectionEnd
        How the connection ended.
    """
    return framing is Framing.CLOSE and end is ConnectionEnd.CLOSED_BY_PEER
