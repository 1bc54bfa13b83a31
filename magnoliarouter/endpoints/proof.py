"""Proofs that an attempt did not run.

Once an attempt has been passed to the network, `NotRun` may be built only from a proof of this
module. The proof of each function holds for this reason:

* `was_unsent`: the request used a connection of its own that was never established, redirects are
  not followed and requests are not retried, so no byte of it left this process.
* `find_refusal`: the guard's response names this attempt in the "not started" header. The guard
  sets it only when the attempt cannot start later either: it remembers the attempt as fenced, or
  it will refuse the same bytes again by incarnation or last start time.
* `is_fenced`: the guard of the attempt's incarnation reports, by the attempt's id, that it fenced
  the attempt before it started. A response of another incarnation proves nothing: the earlier one
  may have run the attempt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from magnoliarouter.core.attempts import AttemptState
from magnoliarouter.endpoints.messages import ATTEMPT_HEADER, NOT_STARTED_HEADER, VERDICT_HEADER

if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliarouter.endpoints.messages import FenceReply

__all__ = ["find_refusal", "is_fenced", "was_unsent"]

UNREACHABLE_REFUSAL = "the endpoint could not be reached"


def was_unsent(error: BaseException) -> bool:
    """Return whether a request failed before any byte of it left.

    aiohttp raises these two only while it opens a connection; a later timeout or reset has another
    type.
    """
    return isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)


def find_refusal(headers: Mapping[str, str], attempt: str) -> str | None:
    """Return why the guard did not start an attempt, or None if its response does not prove it."""
    if not attempt or headers.get(ATTEMPT_HEADER) != attempt:
        return None
    if headers.get(NOT_STARTED_HEADER) != attempt:
        return None
    return headers.get(VERDICT_HEADER, UNREACHABLE_REFUSAL)


def is_fenced(reply: FenceReply, attempt: str) -> bool:
    """Return whether a guard's reply proves that an attempt never starts."""
    return reply.attempt == attempt and reply.state == AttemptState.FENCED.value
