"""Tagged outcomes of a request and the numbered result codes that explain them.

Every request ends in exactly one of three outcomes. `NotRun` may be returned only if it is proven
that no endpoint started the request. `Completed` means that an endpoint sent a complete response.
`Unknown` covers all other cases.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

__all__ = ["Completed", "NotRun", "Outcome", "ResultCode", "Unknown", "name_outcome"]


class ResultCode(IntEnum):
    """Numbered result of a request.

    The hundreds digit gives the family: 1 success, 2 caller's error, 3 contract limit,
    4 capacity, 5 endpoint failure, 6 platform or membership, 7 idempotency.
    """

    OK = 100
    REPLAYED = 101

    MALFORMED_HTTP = 200
    MALFORMED_BODY = 201
    HEADER_TOO_LARGE = 202
    BODY_TOO_LARGE = 203
    SLOW_REQUEST = 204
    NOT_FOUND = 205
    METHOD_NOT_ALLOWED = 206
    KEY_MISSING = 207
    KEY_UNKNOWN = 208
    IDEMPOTENCY_KEY_MISSING = 209
    CALLER_GONE = 210
    CALL_TOO_LARGE = 211

    SUSPENDED = 300
    MODEL_NOT_ALLOWED = 301
    SERVICE_NOT_ALLOWED = 302
    REQUEST_RATE = 303
    TOKEN_RATE = 304
    CONCURRENCY = 305
    TOKENS_PER_REQUEST = 306
    QUOTA_UNAVAILABLE = 307

    NO_ENDPOINT = 400
    QUEUE_FULL = 401
    DEADLINE_UNREACHABLE = 402
    DRAINING = 403
    RETRY_BUDGET = 404
    DISPLACED = 405
    SERVICE_STALLED = 406
    ENDPOINTS_PAUSED = 407
    ENDPOINTS_LIMITED = 408
    ENDPOINTS_EVACUATED = 409
    MEMORY_FULL = 410
    CONNECTIONS_FULL = 411

    ENDPOINT_REFUSED = 500
    ENDPOINT_UNREACHABLE = 501
    ENDPOINT_ERROR = 502
    STREAM_TRUNCATED = 503
    DEADLINE_EXCEEDED = 504
    WRONG_ATTEMPT = 505
    FENCED = 506
    PROMPT_QUARANTINED = 507
    REQUEST_QUARANTINED = 508
    REQUEST_HELD_BACK = 509

    PLATFORM_UNAVAILABLE = 600
    CONFIGURATION_MISSING = 601
    CONFLICT = 602
    INTERNAL = 603
    CONFIGURATION_STALE = 604

    KEY_REUSED = 700
    IN_PROGRESS = 701
    OUTCOME_UNKNOWN = 702


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run on any endpoint: no booking, no order, no charge.

    Parameters
    ----------
    code : ResultCode
        Reason of the refusal.
    reason : str
        Explanation for the caller that names the limit or field at fault.
    retry_after : float, optional
        Seconds after which a retry can succeed.
    """

    code: ResultCode
    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Completed:
    """An endpoint sent a complete response.

    Parameters
    ----------
    code : ResultCode
        `OK`, or `REPLAYED` for a stored response.
    status : int
        HTTP status of the endpoint's response.
    """

    code: ResultCode
    status: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the request ran, or to what extent.

    Parameters
    ----------
    code : ResultCode
        Failure that was observed.
    reason : str
        Explanation for the caller.
    """

    code: ResultCode
    reason: str


Outcome: TypeAlias = NotRun | Completed | Unknown


def name_outcome(outcome: Outcome) -> str:
    """Return the name of an outcome in logs, metrics and error responses."""
    match outcome:
        case NotRun():
            return "not_run"
        case Completed():
            return "completed"
        case Unknown():
            return "unknown"
