"""Bodies of error responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from magnoliarouter.core.outcome import ResultCode

__all__ = ["JSON_TYPE", "error_body"]

JSON_TYPE = "application/json"


def error_body(code: ResultCode, outcome: str, reason: str) -> bytes:
    """Return the JSON body of an error response.

    Parameters
    ----------
    code : ResultCode
        Result code.
    outcome : {"not_run", "completed", "unknown"}
        What is known about the effect of the request.
    reason : str
        Explanation for the caller, one sentence.

    Returns
    -------
    bytes
        JSON object ``{"error": {"code", "name", "outcome", "reason"}}``.
    """
    error = {"code": int(code), "name": code.name.lower(), "outcome": outcome, "reason": reason}
    return msgspec.json.encode({"error": error})
