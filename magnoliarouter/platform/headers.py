"""Header fields exchanged between clients, the gateway and engines."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from magnoliarouter.gateway.call import RequestHeaders, ResponseHeaders

if TYPE_CHECKING:
    from magnoliarouter.gateway.call import GatewayCall
    from magnoliarouter.web.upstream import HeaderFields

__all__ = ["MISDIRECTED_STATUS", "PlatformHeaders", "names_request", "says_leaving"]

HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Fields for the other end, or of the content, which `Connection` cannot make fields of one connection
# (RFC 9110, section 7.6.1): without them a success has no signature, and a request asks for less.
END_TO_END_FIELDS = frozenset(
    (
        b"host",
        b"x-request-id",
        b"x-server-stamp",
        b"x-weight-versions",
        b"x-expect-version",
        b"x-model",
        b"x-token-usage",
        b"x-prompt-prefix",
        b"x-length-hint",
        b"content-type",
        b"content-encoding",
    )
)
# Fields that the gateway sets itself or does not forward.
OWN_FIELDS = frozenset(
    (
        b"authorization",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-tenant",
        b"x-request-priority",
        b"last-event-id",
    )
)
REQUEST_ID_FIELD = b"x-request-id"
LEAVING_FIELD = b"server-leaving"
LEAVING_VALUE = b"1"
RATE_FIELD = b"server-limit"
COLD_FIELD = b"x-cold-ms"
BEARER = b"bearer "
PROMPT_PART = re.compile(rb"[0-9A-Fa-f]{1,64}")
MAX_PROMPT_PARTS = 256
KEEP_TIMEOUT = re.compile(rb"timeout=(\d+)")
# Status of an engine that refuses a request meant for another engine or version. No client request
# can cause it.
MISDIRECTED_STATUS = 421


def says_leaving(fields: HeaderFields) -> bool:
    """Return whether an engine says in a response that it is leaving."""
    return any(
        name.lower() == LEAVING_FIELD and value.strip() == LEAVING_VALUE for name, value in fields
    )


def names_request(fields: HeaderFields) -> bool:
    """Return whether a response names the client request that it belongs to."""
    return any(name.lower() == REQUEST_ID_FIELD and value for name, value in fields)


class PlatformHeaders:
    """`HeaderCodec` of the users' platform."""

    def parse_request(self, fields: HeaderFields) -> RequestHeaders:
        """Parse the header fields of a request.

        Raises
        ------
        ValueError
            A field is malformed; the message names it.
        """
        named = {name.lower(): value for name, value in fields}
        prompt, output = _read_usage(named.get(b"x-token-usage", b""))
        dropped = _list_dropped(named) | OWN_FIELDS
        return RequestHeaders(
            named.get(REQUEST_ID_FIELD, b""),
            _read_host(named.get(b"host", b"")),
            _parse_timeout(named.get(b"x-deadline-ms")),
            _read_key(named.get(b"authorization", b"")),
            named.get(b"last-event-id"),
            prompt,
            output,
            _read_number(named.get(b"x-length-hint", b"")),
            _read_parts(
                b",".join(value for name, value in fields if name.lower() == b"x-prompt-prefix")
            ),
            [(name, value) for name, value in fields if name.lower() not in dropped],
        )

    def build_attempt_fields(
        self, call: GatewayCall, identity: str, left_s: float, resume_after: bytes | None
    ) -> HeaderFields:
        """Return the header fields of a request to an engine."""
        fields = [
            *call.headers.forwarded,
            (b"X-Deadline-Ms", b"%d" % max(1, int(left_s * 1000))),
            (b"X-Expect-Instance", identity.encode("latin-1")),
            (b"X-Request-Priority", b"%d" % call.urgency),
        ]
        if call.tenant is not None:
            fields.append((b"X-Tenant", call.tenant.encode()))
        if resume_after is not None:
            fields.append((b"Last-Event-Id", resume_after))
        return fields

    def parse_response(self, status: int, fields: HeaderFields) -> ResponseHeaders:
        """Parse the header fields of an engine's response."""
        named = {name.lower(): value for name, value in fields}
        dropped = _list_dropped(named)
        keep = KEEP_TIMEOUT.search(named.get(b"keep-alive", b""))
        misdirected = status == MISDIRECTED_STATUS
        return ResponseHeaders(
            named.get(REQUEST_ID_FIELD),
            misdirected or b"x-not-executed" in named,
            misdirected,
            b"x-server-stamp" in named,
            # This field names the engine at fault; a refusal by a full engine lacks it.
            b"at-server" in named and not misdirected,
            says_leaving(fields) and not misdirected,
            named.get(b"retry-after") if status == 503 else None,
            None if misdirected else _join_values(fields, RATE_FIELD),
            float(keep[1]) if keep else None,
            [(name, value) for name, value in fields if name.lower() not in dropped],
            None if misdirected else _join_values(fields, COLD_FIELD),
        )


def _join_values(fields: HeaderFields, name: bytes) -> bytes | None:
    """Return the values of a field that may be repeated, separated by commas, or None."""
    values = [value for other, value in fields if other.lower() == name]
    return b",".join(values) if values else None


def _list_dropped(named: dict[bytes, bytes]) -> frozenset[bytes]:
    listed = named.get(b"connection")
    if listed is None:
        return HOP_BY_HOP_FIELDS
    tokens = {token.strip().lower() for token in listed.split(b",")}
    return HOP_BY_HOP_FIELDS | (tokens - END_TO_END_FIELDS)


def _read_host(value: bytes) -> str:
    return value.decode("latin-1").lower().rsplit(":", 1)[0]


def _parse_timeout(value: bytes | None) -> float | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 12:
        raise ValueError(f"header 'X-Deadline-Ms' is {value!r}; valid: milliseconds")
    return int(value) / 1000


def _read_key(value: bytes) -> str | None:
    if value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip().decode("latin-1") or None


def _read_usage(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _read_number(prompt), _read_number(output)


def _read_parts(value: bytes) -> tuple[str, ...]:
    # A malformed entry names no part. The engine validates the field itself.
    entries = (entry.partition(b":")[0].strip() for entry in value.split(b",", MAX_PROMPT_PARTS))
    return tuple(
        entry.decode("latin-1").lower() for entry in entries if PROMPT_PART.fullmatch(entry)
    )


def _read_number(value: bytes) -> int:
    # A malformed size counts as 0. It only makes the choice of an endpoint less accurate, and the
    # engine validates the field itself.
    value = value.strip()
    return int(value) if value.isdigit() and len(value) < 10 else 0
