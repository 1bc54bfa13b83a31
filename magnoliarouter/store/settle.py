"""Writes whose outcome is settled even when answers are lost.

A conditional write may be sent again safely: at most one copy finds its condition true. When the
answer of a copy was lost, reading the object back or the conflict of the next copy shows whether
it was this writer's value that took effect.
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
    """Write conditionally and settle lost answers.

    Parameters
    ----------
    client : PlatformClient
        Client to write with.
    kind, name, value
        Object to write.
    expect : int
        Version that the object must have; 0 if it must not exist.
    is_own : callable, optional
        Whether a value found later is the one written here, such as by a write id that it
        holds; equality by default, which takes an equal value of another writer for one's own.
    backoff : Backoff, optional
        Waits between tries.
    timeout_s : float
        Longest time to spend, in seconds.

    Returns
    -------
    Written, Conflict, Ambiguous or Unavailable
        `Ambiguous` only when time ran out while it could not be told. `Unavailable` only when
        no copy can have taken effect. A `Conflict` that is doubtful leaves open whether a copy
        took effect and was replaced by another writer; a record that the other writer keeps,
        such as a history of write ids, can tell.
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
    """Delete an object of a known version and settle lost answers.

    Returns
    -------
    Written, Conflict, Ambiguous or Unavailable
        `Written` with the tombstone's version, or with 0 when the object turned out to be gone
        after an answer was lost.
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
                # Without a lost answer the conflict stands as it is.
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
