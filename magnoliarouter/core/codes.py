"""Meaning, HTTP status and advice to the caller for each result code."""

from __future__ import annotations

from dataclasses import dataclass

from magnoliarouter.core.outcome import ResultCode

__all__ = ["DESCRIPTIONS", "CodeDescription", "render_codes", "status_of"]


@dataclass(frozen=True, slots=True)
class CodeDescription:
    """Description of one result code.

    Parameters
    ----------
    status : int
        HTTP status of the response; 0 if no response can be sent.
    meaning : str
        What happened.
    advice : str
        What the caller may do next.
    """

    status: int
    meaning: str
    advice: str


_CORRECT_REQUEST = "Correct the request; the same one is refused again."
_RETRY_LATER = "Ask again after `Retry-After`."
_RETRY_ELSEWHERE = "Ask again, here or at another entry VM."
_RETRY_WITH_KEY = (
    "A repeatable call may be sent again. Otherwise send the same `Idempotency-Key` again."
)

DESCRIPTIONS: dict[ResultCode, CodeDescription] = {
    ResultCode.OK: CodeDescription(200, "The endpoint's whole answer.", "Nothing."),
    ResultCode.REPLAYED: CodeDescription(
        200, "Stored outcome of an earlier call with the same key.", "Nothing."
    ),
    ResultCode.MALFORMED_HTTP: CodeDescription(
        400, "The request is not valid HTTP.", _CORRECT_REQUEST
    ),
    ResultCode.MALFORMED_BODY: CodeDescription(
        400, "A field of the body is invalid.", _CORRECT_REQUEST
    ),
    ResultCode.HEADER_TOO_LARGE: CodeDescription(
        431, "The header section is too large.", _CORRECT_REQUEST
    ),
    ResultCode.BODY_TOO_LARGE: CodeDescription(413, "The body is too large.", _CORRECT_REQUEST),
    ResultCode.SLOW_REQUEST: CodeDescription(
        408, "The request arrived too slowly.", _RETRY_ELSEWHERE
    ),
    ResultCode.NOT_FOUND: CodeDescription(404, "No such path or service.", _CORRECT_REQUEST),
    ResultCode.METHOD_NOT_ALLOWED: CodeDescription(
        405, "The path takes other methods.", _CORRECT_REQUEST
    ),
    ResultCode.KEY_MISSING: CodeDescription(401, "No bearer token was sent.", _CORRECT_REQUEST),
    ResultCode.KEY_UNKNOWN: CodeDescription(
        401, "The key belongs to no customer.", _CORRECT_REQUEST
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: CodeDescription(
        400, "The call may run only once and names no key.", "Send an `Idempotency-Key`."
    ),
    ResultCode.CALLER_GONE: CodeDescription(
        0, "The caller closed its connection.", _RETRY_WITH_KEY
    ),
    ResultCode.CALL_TOO_LARGE: CodeDescription(
        413, "The prompt exceeds the memory of every endpoint.", _CORRECT_REQUEST
    ),
    ResultCode.SUSPENDED: CodeDescription(
        403, "The contract's standing grants no service.", "Settle the account."
    ),
    ResultCode.MODEL_NOT_ALLOWED: CodeDescription(
        403, "The contract does not allow this model.", _CORRECT_REQUEST
    ),
    ResultCode.SERVICE_NOT_ALLOWED: CodeDescription(
        403, "The contract does not allow this service.", _CORRECT_REQUEST
    ),
    ResultCode.REQUEST_RATE: CodeDescription(429, "The request rate is used up.", _RETRY_LATER),
    ResultCode.TOKEN_RATE: CodeDescription(429, "The token rate is used up.", _RETRY_LATER),
    ResultCode.CONCURRENCY: CodeDescription(429, "Too many requests in progress.", _RETRY_LATER),
    ResultCode.TOKENS_PER_REQUEST: CodeDescription(
        400, "The request asks for more tokens than one request may.", _CORRECT_REQUEST
    ),
    ResultCode.QUOTA_UNAVAILABLE: CodeDescription(
        503, "The rate that the contract allows cannot be proved free now.", _RETRY_LATER
    ),
    ResultCode.NO_ENDPOINT: CodeDescription(503, "No endpoint serves this now.", _RETRY_LATER),
    ResultCode.QUEUE_FULL: CodeDescription(503, "All queues are full.", _RETRY_LATER),
    ResultCode.DEADLINE_UNREACHABLE: CodeDescription(
        503, "The request could not begin before its deadline.", _RETRY_LATER
    ),
    ResultCode.DRAINING: CodeDescription(
        503, "The daemon or endpoint is leaving.", _RETRY_ELSEWHERE
    ),
    ResultCode.RETRY_BUDGET: CodeDescription(
        503, "The attempt failed and the retry budget is used up.", _RETRY_LATER
    ),
    ResultCode.DISPLACED: CodeDescription(
        503, "Work that is served first took the place in the queue.", _RETRY_LATER
    ),
    ResultCode.SERVICE_STALLED: CodeDescription(
        503, "Every endpoint of the service is cut off or stands still.", _RETRY_LATER
    ),
    ResultCode.ENDPOINTS_PAUSED: CodeDescription(
        503, "Every endpoint of the service asked for a pause.", _RETRY_LATER
    ),
    ResultCode.ENDPOINTS_LIMITED: CodeDescription(
        503, "Every endpoint of the service takes no more requests per second.", _RETRY_LATER
    ),
    ResultCode.ENDPOINTS_EVACUATED: CodeDescription(
        503, "Every endpoint of the service is in an evacuated availability zone.", _RETRY_LATER
    ),
    ResultCode.MEMORY_FULL: CodeDescription(
        503, "Requests of all callers take the memory that they may.", _RETRY_LATER
    ),
    ResultCode.CONNECTIONS_FULL: CodeDescription(
        503, "The daemon has as many connections as it may.", _RETRY_ELSEWHERE
    ),
    ResultCode.ENDPOINT_REFUSED: CodeDescription(
        503, "The endpoint's guard did not start the request.", _RETRY_LATER
    ),
    ResultCode.ENDPOINT_UNREACHABLE: CodeDescription(
        503, "No connection to an endpoint could be opened.", _RETRY_LATER
    ),
    ResultCode.ENDPOINT_ERROR: CodeDescription(
        502, "The endpoint failed without an answer.", _RETRY_WITH_KEY
    ),
    ResultCode.STREAM_TRUNCATED: CodeDescription(
        502, "The endpoint's answer broke off.", "Discard what was received. " + _RETRY_WITH_KEY
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeDescription(
        504, "No answer before the deadline.", _RETRY_WITH_KEY
    ),
    ResultCode.WRONG_ATTEMPT: CodeDescription(
        502, "An answer that belongs to another attempt was dropped.", _RETRY_WITH_KEY
    ),
    ResultCode.FENCED: CodeDescription(
        503, "The attempt was kept from starting.", _RETRY_ELSEWHERE
    ),
    ResultCode.PROMPT_QUARANTINED: CodeDescription(
        503,
        "Endpoints crash on a part of the prompt.",
        "Send the prompt without the part, or tell the operator.",
    ),
    ResultCode.REQUEST_QUARANTINED: CodeDescription(
        503, "Endpoints crash on this request.", "Change the request, or tell the operator."
    ),
    ResultCode.REQUEST_HELD_BACK: CodeDescription(
        503,
        "The request was at endpoints that crashed; others are sent first.",
        _RETRY_LATER,
    ),
    ResultCode.PLATFORM_UNAVAILABLE: CodeDescription(
        503, "The platform is needed for this call and does not answer.", _RETRY_LATER
    ),
    ResultCode.CONFIGURATION_MISSING: CodeDescription(
        503, "The daemon has no configuration yet.", _RETRY_ELSEWHERE
    ),
    ResultCode.CONFIGURATION_STALE: CodeDescription(
        503, "The daemon cannot tell whether its configuration is the newest.", _RETRY_ELSEWHERE
    ),
    ResultCode.CONFLICT: CodeDescription(409, "Another writer was first.", "Read and try again."),
    ResultCode.INTERNAL: CodeDescription(500, "A fault of the daemon.", _RETRY_WITH_KEY),
    ResultCode.KEY_REUSED: CodeDescription(
        422, "The `Idempotency-Key` was used with another request.", "Use a new key."
    ),
    ResultCode.IN_PROGRESS: CodeDescription(
        409, "The call with this key is still running.", "Send the same key again later."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeDescription(
        502,
        "The call with this key was handed over and its outcome cannot be learned.",
        "Find out at the service itself. The key will not run again.",
    ),
}


def status_of(code: ResultCode) -> int:
    """Return the HTTP status of a response with a result code."""
    return DESCRIPTIONS[code].status


def render_codes() -> str:
    """Return the table of result codes as a Markdown page."""
    rows = [
        f"| {int(code)} | `{code.name.lower()}` | {text.status or '-'} | {text.meaning} "
        f"| {text.advice} |"
        for code, text in DESCRIPTIONS.items()
    ]
    head = (
        "# Result codes\n\n"
        "Every error answer carries `code`, `name`, `outcome` (`not_run`, `completed` or `unknown`) "
        "and `reason`.\nThis table is generated by `magnoliactl codes --markdown`; a test compares "
        "the two.\n\n"
        "| code | name | status | meaning | what the caller may do |\n|---|---|---|---|---|\n"
    )
    return head + "\n".join(rows) + "\n"
