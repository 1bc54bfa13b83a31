"""Settled writes: conditional writes that are retried until their outcome is known.

A conditional write can be retried safely, because the condition holds for at most one attempt. After
a lost response, reading the object back, or the conflict of the next attempt, shows whether the value
of this writer took effect.

Elsewhere, to settle a charge is to end its call and refund what was not used (`core.borrowing`),
and `SETTLE_WRITE` is a phase of a map switch (`core.mapstate`); both are unrelated to this module.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.store.backoff import Backoff
from magnoliarouter.store.results import (
    Ambiguous,
    Conflict,
    Failure,
    Found,
    Missing,
    Unavailable,
    WriteOutcome,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.store.client import PlatformClient

__all__ = ["delete_settled", "write_settled"]

SETTLE_TIMEOUT_S = 15.0


async def write_settled(
    client: PlatformClient,
    kind: str,
    name: str,
    value: Any,
    expect: int,
    *,
    is_own: Callable[[Any], bool] | None = None,
    backoff: Backoff | None = None,
    timeout_s: float = SETTLE_TIMEOUT_S,
) -> WriteOutcome:
    """Write conditionally, and determine the outcome if responses are lost.

    Parameters
    ----------
    client : PlatformClient
        Client to write with.
    kind, name, value
        Object to write.
    expect : int
        Version that the object must have; 0 if it must not exist.
    is_own : callable, optional
        Returns whether a stored value is the one written by this call, such as by a write id in
        the value. By default the values are compared, which does not distinguish an equal value
        of another writer.
    backoff : Backoff, optional
        Waits between attempts.
    timeout_s : float
        Longest time for all attempts in seconds.

    Returns
    -------
    Written, Conflict, Ambiguous or Unavailable
        `Ambiguous` only if the outcome was still unknown at the timeout. `Unavailable` only if no
        attempt can have taken effect. A `Conflict` with `outcome_unknown` leaves open whether an
        attempt took effect and was then replaced by another writer; a record that the other
        writer keeps, such as a history of write ids, can show it.
    """
    try:
        stored = msgspec.json.decode(msgspec.json.encode(value))
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        return Unavailable(f"value is not JSON: {error}", Failure.NOT_SENT)
    is_own_value = is_own or (lambda found: found == stored)

    async def send() -> WriteOutcome:
        return await client.write(kind, name, value, expect)

    async def read_back() -> WriteOutcome | None:
        match await client.read(kind, name):
            case Found(version, (item,)) if is_own_value(item.value):
                return Written(version)
        return None

    def classify_conflict(conflict: Conflict) -> WriteOutcome:
        current = conflict.current
        if current is not None and is_own_value(current.value):
            return Written(current.version)
        return Conflict(current, outcome_unknown=True)

    return await _settle(send, read_back, classify_conflict, backoff or Backoff(), timeout_s)


async def delete_settled(
    client: PlatformClient,
    kind: str,
    name: str,
    expect: int,
    *,
    backoff: Backoff | None = None,
    timeout_s: float = SETTLE_TIMEOUT_S,
) -> WriteOutcome:
    """Delete an object of a known version, and determine the outcome if responses are lost.

    Returns
    -------
    Written, Conflict, Ambiguous or Unavailable
        `Written` with the version of the tombstone, or with 0 if a response was lost and the
        object no longer exists.
    """

    async def send() -> WriteOutcome:
        return await client.delete(kind, name, expect)

    async def read_back() -> WriteOutcome | None:
        return Written(0) if isinstance(await client.read(kind, name), Missing) else None

    def classify_conflict(conflict: Conflict) -> WriteOutcome:
        if conflict.current is None:
            return Written(0)
        return Conflict(conflict.current, outcome_unknown=True)

    return await _settle(send, read_back, classify_conflict, backoff or Backoff(), timeout_s)


async def _settle(
    send: Callable[[], Any],
    read_back: Callable[[], Any],
    classify_conflict: Callable[[Conflict], WriteOutcome],
    backoff: Backoff,
    timeout_s: float,
) -> WriteOutcome:
    loop = asyncio.get_running_loop()
    latest = loop.time() + timeout_s
    ambiguous: Ambiguous | None = None
    while True:
        outcome = await send()
        match outcome:
            case Written():
                return outcome
            case Conflict():
                # If no response was lost, this write cannot be the cause of the conflict.
                return classify_conflict(outcome) if ambiguous else outcome
            case Ambiguous():
                ambiguous = outcome
                if settled := await read_back():
                    return settled
            case Unavailable() if ambiguous is None:
                return outcome
        wait = backoff.next_wait()
        if loop.time() + wait > latest:
            return ambiguous
        await asyncio.sleep(wait)
