"""Bodies of error answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from magnoliarouter.core.outcome import ResultCode

__all__ = ["JSON_TYPE", "error_body"]

JSON_TYPE = "application/json"


def error_body(code: ResultCode, outcome: str, reason: str) -> bytes:
    """Return the JSON body of an error answer.

    Parameters
    ----------
    code : ResultCode
        Numbered result.
    outcome : {"not_run", "completed", "unknown"}
        What is known of the request's effect.
    reason : str
        Sentence for the caller.

    Returns
    -------
    bytes
        JSON object ``{"error": {"code", "name", "outcome", "reason"}}``.
    """
    error = {"code": int(code), "name": code.name.lower(), "outcome": outcome, "reason": reason}
    return msgspec.json.encode({"error": error})
