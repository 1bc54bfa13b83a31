"""Checks of the requests and responses that the guard relays."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.web.exchange import error_body

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange

__all__ = ["parse_not_after", "read_message"]

Message = TypeVar("Message", bound=msgspec.Struct)


async def read_message(exchange: Exchange, message_type: type[Message]) -> Message | None:
    """Return the message in a request's body; if it is malformed, send an error and return None."""
    try:
        return msgspec.json.decode(exchange.request.body, type=message_type)
    except msgspec.DecodeError as error:
        body = error_body(ResultCode.MALFORMED_BODY, "not_run", f"body: {error}")
        await exchange.send(400, body)
        return None


def parse_not_after(text: str | None) -> float | None:
    """Parse a last start time; an invalid one counts as already past."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return float("-inf")
