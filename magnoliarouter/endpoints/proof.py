"""Proofs that an attempt did not run.

After an attempt was handed to the network, `NotRun` may be built only from a proof found here.
Each function states what has to hold for its proof to be valid:

* `was_unsent`: the request went over a connection of its own that was never established, no
  redirect was followed and nothing repeats requests, so no byte of it left this process.
* `find_refusal`: the guard's answer names this very attempt in the header that says "not started".
  The guard sends it only after it has made sure that the attempt will not start later either: it
  remembers the attempt as fenced, or the same bytes will be refused again by incarnation or
  last start time.
* `is_fenced`: the guard of the attempt's incarnation says, naming the attempt, that it fenced it
  before it started. Another incarnation's answer proves nothing: the earlier one may have run it.
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

    aiohttp raises these two only while a connection is opened; a timeout or reset after that is
    of another type.
    """
    return isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)


def find_refusal(headers: Mapping[str, str], attempt: str) -> str | None:
    """Return why the guard did not start an attempt, or None if it does not say so."""
    if not attempt or headers.get(ATTEMPT_HEADER) != attempt:
        return None
    if headers.get(NOT_STARTED_HEADER) != attempt:
        return None
    return headers.get(VERDICT_HEADER, UNREACHABLE_REFUSAL)


def is_fenced(reply: FenceReply, attempt: str) -> bool:
    """Return whether a guard's reply proves that an attempt never starts."""
    return reply.attempt == attempt and reply.state == AttemptState.FENCED.value
