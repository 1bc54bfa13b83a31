"""Answers that are no valid HTTP responses, for stand-ins of endpoints."""

from __future__ import annotations

from magnoliarouter.tests.raw_server import build_response

# Three digits that are no status of a final response (RFC 9110, section 15). No request asks for the
# upgrade that 101 grants.
INVALID_STATUSES = ("000", "001", "099", "101", "600", "999")

# Bytes that no field name may hold (RFC 9110, section 5.6.2), the colon aside.
NO_NAME_BYTES = (*range(33), *b'"(),/;<=>?@[\\]{}', 0x7F, 0x80, 0xA0, 0xE9, 0xFF)


def replace_status(response, status):
    """Return the bytes of a response with other digits in place of its status."""
    version, _, rest = response.split(b" ", 2)
    return b" ".join((version, status.encode(), rest))


def build_stream(events, complete=True):
    """Return a stream of events in chunks; without its last chunk if it is not complete."""
    head = build_response(b"", Content_Type="text/event-stream")
    head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    chunks = [b"%x\r\n%b\r\n" % (len(event), event) for event in events]
    return head + b"".join(chunks) + (b"0\r\n\r\n" if complete else b"")


def build_invalid_statuses(**fields):
    """Return responses with invalid statuses whose bodies have a length, chunks, or neither."""
    framed = build_response(b"wrong", **fields)
    chunked = framed.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")
    chunked = chunked.replace(b"wrong", b"5\r\nwrong\r\n0\r\n\r\n")
    unframed = framed.replace(b"Content-Length: 5\r\n", b"")
    return [
        replace_status(response, status)
        for status in INVALID_STATUSES
        for response in (framed, chunked, unframed)
    ]


def build_invalid_names():
    """Return lines of a head whose field names are none, or that continue the line before."""
    names = [b"X-O%cdd" % byte for byte in NO_NAME_BYTES]
    names += [byte + b"X-Odd" for byte in (b"\x00", b"\x0b", b"\x7f", b"\xe9")]
    names += [b"X-Odd" + byte for byte in (b" ", b"\t", b"\x00", b"\r", b"\xe9")]
    lines = [b"%b: odd\r\n" % name for name in (*names, b"")]
    return [*lines, b"Odd\r\n", b" odd\r\n", b"\todd\r\n"]


def build_invalid_values():
    """Return lines of a head whose field values hold control bytes (RFC 9110, section 5.5)."""
    values = (b"a%cb" % byte for byte in (*range(9), *range(11, 32), 0x7F))
    return [b"X-Odd: %b\r\n" % value for value in values]


def insert_line(response, line):
    """Return the bytes of a response with a line before the last one of its head."""
    head, end, body = response.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    return b"\r\n".join(lines[:-1]) + b"\r\n" + line + lines[-1] + end + body


def build_failures():
    """Return answers by which no stream goes on: errors, other successes, broken heads, nothing."""
    errors = [
        build_response(b"error\n\n", status, stamp=stamp, Content_Type=content_type)
        for status in (400, 404, 408, 421, 429, 500, 503)
        for stamp in ("s1", None)
        for content_type in ("text/plain", "text/event-stream")
    ]
    refusals = [build_response(b"full", status, X_Not_Executed="1") for status in (421, 429, 503)]
    successes = [
        build_response(b"done", Content_Type="application/json"),
        build_response(b"id: 9\n\n", stamp=None, Content_Type="text/event-stream"),
        build_response(b"id: 9\n\n", 206, Content_Type="text/event-stream"),
        build_response(b"error", Content_Type="text/event-stream"),
        build_response(b"", 204),
        build_response(b"", 304),
    ]
    head = build_stream(())
    broken = [
        insert_line(head, line) for line in (b"X Odd: odd\r\n", b"X\x01: odd\r\n", b"Odd\r\n")
    ]
    broken += [head[: len(head) // 2], b"error\n\n", b"id: 9\ndata: 9\n\n", b"0\r\n\r\n", b""]
    return [
        *errors,
        *refusals,
        *successes,
        *broken,
        *build_invalid_statuses(Content_Type="text/event-stream"),
    ]
