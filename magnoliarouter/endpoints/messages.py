"""Header fields and messages between entry daemons and guards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.attempts import StoredResponse  # noqa: TC001 - msgspec resolves it
from magnoliarouter.endpoints.report import (  # noqa: TC001
    LOAD_HEADER,
    CacheChangeRow,
    LoadRow,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "FenceReply",
    "FenceRequest",
    "GuardClock",
    "GuardStatus",
    "may_belong_to",
    "is_end_to_end",
    "select_relayed_headers",
]

ATTEMPT_HEADER = "x-attempt-id"
REQUEST_HEADER = "x-request-id"
INCARNATION_HEADER = "x-incarnation"
NOT_STARTED_HEADER = "x-not-started"
RUN_ONCE_HEADER = "x-run-once"
NOT_AFTER_HEADER = "x-not-after"
GUARD_CLOCK_HEADER = "x-guard-clock"
VERDICT_HEADER = "x-start-verdict"
FAILURE_HEADER = "x-guard-failure"
DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
IDEMPOTENCY_HEADER = "idempotency-key"

OTHER_INCARNATION = "other incarnation"
TABLE_FULL = "table full"

# Set by the guard; removed from the endpoint's responses, so that it cannot set them itself.
GUARD_HEADERS = frozenset(
    (NOT_STARTED_HEADER, GUARD_CLOCK_HEADER, VERDICT_HEADER, FAILURE_HEADER, LOAD_HEADER)
)

INTERNAL_HEADERS = frozenset(
    (
        "authorization",
        LOAD_HEADER,
        PRIORITY_HEADER,
        ATTEMPT_HEADER,
        REQUEST_HEADER,
        INCARNATION_HEADER,
        NOT_STARTED_HEADER,
        RUN_ONCE_HEADER,
        NOT_AFTER_HEADER,
        GUARD_CLOCK_HEADER,
        VERDICT_HEADER,
        FAILURE_HEADER,
        DEADLINE_HEADER,
        IDEMPOTENCY_HEADER,
    )
)

# Hop-by-hop fields of RFC 9110 section 7.6.1, and fields that each hop sets anew.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
        "date",
        "server",
    )
)

# Fields of the content, which ``Connection`` cannot make fields of one connection.
CONTENT_HEADERS = frozenset(("content-encoding", "content-type"))


def may_belong_to(headers: Mapping[str, str], attempt: str) -> bool:
    """Return whether an endpoint's response may belong to an attempt.

    A response that names an attempt must name this one. A response that names none is accepted,
    since each connection carries one request at a time.
    """
    return headers.get(ATTEMPT_HEADER, attempt) == attempt


class GuardStatus(msgspec.Struct, frozen=True):
    """Status of a guard.

    Parameters
    ----------
    incarnation : str
        Id of the guard's current start.
    running : int
        Attempts in progress.
    draining : bool
        Whether new attempts are refused.
    clock : float
        Loop time of the guard in seconds.
    attempts, answer_bytes : int
        Attempts remembered and bytes of stored responses.
    sequence : int
        Grows with every published change of the load or cache.
    load : LoadRow, optional
        Complete load.
    cache : CacheChangeRow, optional
        Changes of the prefix cache since the requested sequence number.
    """

    incarnation: str
    running: int
    draining: bool
    clock: float = 0.0
    attempts: int = 0
    answer_bytes: int = 0
    sequence: int = 0
    load: LoadRow | None = None
    cache: CacheChangeRow | None = None


class GuardClock(msgspec.Struct, frozen=True):
    """Part of `GuardStatus` that holds the guard's clock.

    Parameters
    ----------
    incarnation : str
        Id of the guard's current start.
    clock : float
        Loop time of the guard in seconds.
    """

    incarnation: str
    clock: float


class FenceRequest(msgspec.Struct, frozen=True):
    """Asks a guard to prevent an attempt from starting, or to report its state.

    Parameters
    ----------
    attempt : str
        Attempt id.
    incarnation : str
        Incarnation of the guard that the attempt is addressed to.
    not_after : float
        Last start time that the attempt carries, on the guard's clock.
    """

    attempt: str
    incarnation: str
    not_after: float


class FenceReply(msgspec.Struct, frozen=True):
    """Reply to `FenceRequest`.

    Parameters
    ----------
    attempt : str
        Attempt id of the request.
    state : str
        A value of `AttemptState`, ``"other incarnation"`` or ``"table full"``.
    answer : StoredResponse, optional
        Response of the endpoint, if the attempt has finished and may run only once.
    """

    attempt: str
    state: str
    answer: StoredResponse | None = None


def select_relayed_headers(
    headers: Mapping[str, str], excluded: frozenset[str] = INTERNAL_HEADERS
) -> dict[str, str]:
    """Return the header fields of a message that are relayed.

    Parameters
    ----------
    headers : mapping of str to str
        All fields of the message.
    excluded : frozenset of str
        Lower-case names that are removed in addition to hop-by-hop fields; by default the
        caller's key and the fields used between the system's own processes.
    """
    connection = headers.get("connection", "")
    return {
        name: value
        for name, value in headers.items()
        if is_end_to_end(name, connection) and name.lower() not in excluded
    }


def is_end_to_end(name: str, connection: str = "") -> bool:
    """Return whether a header field may be relayed.

    Parameters
    ----------
    name : str
        Field name.
    connection : str
        Value of the message's ``Connection`` field, which names further hop-by-hop fields.
    """
    lowered = name.lower()
    listed = {part.strip().lower() for part in connection.split(",")} - CONTENT_HEADERS
    return lowered not in HOP_BY_HOP_HEADERS and lowered not in listed
