"""Deletes claims and finished orders after the retention time, without a wall clock.

The holder of a lease writes a mark object at a fixed interval of its own clock. The platform's
versions grow with every write, so objects with a lower version than a past mark are older than it.
A new holder restarts the current interval, so objects are retained for at least `MARKS_KEPT`
intervals.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.orders import OrderState
from magnoliarouter.daemon.orders import ORDER_KIND
from magnoliarouter.store.claims import CLAIM_KINDS
from magnoliarouter.store.client import Found, Missing, Written
from magnoliarouter.store.values import decode_small

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.objects import StoredObject

__all__ = ["ClaimSweeper", "MarkSpec"]

MARK_KIND = "claim-mark"
MARK_NAME = "current"
MARK_INTERVAL_S = 3_600.0
MARKS_KEPT = 24
DELETES_PER_S = 20.0
RETRY_S = 10.0
FINAL_STATES = (OrderState.DONE.value, OrderState.FAILED.value)


class MarkSpec(msgspec.Struct, frozen=True):
    """Versions of the mark object at its earlier writes, oldest first."""

    versions: tuple[int, ...] = ()


class ClaimSweeper:
    """Writes marks and deletes old claims and orders while the lease is held.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    epoch : callable
        Returns the fencing number while the lease is held, else None.
    clock : callable
        Loop time in seconds.
    interval_s : float
        Seconds between two marks.
    """

    def __init__(
        self,
        client: PlatformClient,
        epoch: Callable[[], int | None],
        clock: Callable[[], float],
        interval_s: float = MARK_INTERVAL_S,
    ) -> None:
        self.deleted = 0
        self._client = client
        self._epoch = epoch
        self._clock = clock
        self._interval_s = interval_s
        self._mark_version = -1
        self._mark_seen_at = 0.0

    async def run(self) -> None:
        """Write marks and delete old objects until cancelled."""
        while True:
            delay_s = RETRY_S if self._epoch() is None else await self._mark_and_sweep()
            await asyncio.sleep(delay_s)

    async def _mark_and_sweep(self) -> float:
        version, marks = await self._read_marks()
        if version < 0:
            return RETRY_S
        now = self._clock()
        if version != self._mark_version:
            self._mark_version, self._mark_seen_at = version, now
        due_at = self._mark_seen_at + self._interval_s
        if version and now < due_at:
            return min(due_at - now, self._interval_s)
        earlier = (*marks.versions, version)[-MARKS_KEPT:] if version else ()
        value = msgspec.to_builtins(MarkSpec(earlier))
        written = await self._client.write(MARK_KIND, MARK_NAME, value, expect=version)
        if isinstance(written, Written) and len(earlier) == MARKS_KEPT:
            await self._sweep(earlier[0])
        return 0.0 if isinstance(written, Written) else RETRY_S

    async def _read_marks(self) -> tuple[int, MarkSpec]:
        match await self._client.read(MARK_KIND, MARK_NAME):
            case Found(_, (item,)):
                return item.version, msgspec.convert(item.value, type=MarkSpec)
            case Missing():
                return 0, MarkSpec()
        return -1, MarkSpec()

    async def _sweep(self, oldest: int) -> None:
        for kind in (*CLAIM_KINDS, ORDER_KIND):
            match await self._client.list(kind, decode_small):
                case Found(_, items):
                    for item in items:
                        if (
                            item.version < oldest
                            and _is_deletable(item)
                            and self._epoch() is not None
                        ):
                            await self._client.delete(kind, item.name, expect=item.version)
                            self.deleted += 1
                            await asyncio.sleep(1 / DELETES_PER_S)


def _is_deletable(item: StoredObject) -> bool:
    if item.kind != ORDER_KIND:
        return True
    return isinstance(item.value, dict) and item.value.get("state") in FINAL_STATES
