"""Keeps the parts of prompts that crash endpoints in the store, where daemons that start find them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import xxhash
from msgspec import Meta

from magnoliarouter.store.results import Conflict, Written
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.quarantine import Quarantine
    from magnoliarouter.store.backoff import Backoff
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.feed import ObjectFeed

__all__ = [
    "QUARANTINE_KIND",
    "QuarantinedPrompt",
    "QuarantineRecords",
    "decode_quarantined",
    "name_record",
]

QUARANTINE_KIND = "quarantined-prompts"
# Daemons that find the same parts at the same time write them one after the other, so that most of
# them learn of the first write instead.
WRITE_SPREAD_S = 0.3
MAX_RECORDS = 1_000


class QuarantinedPrompt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parts of prompts that crash endpoints.

    Parameters
    ----------
    parts : tuple of str
        Ids of the parts; a prompt that holds all of them is not sent.
    endpoints : tuple of str
        Names of the endpoints that crashed.
    """

    parts: Annotated[tuple[str, ...], Meta(min_length=1, max_length=256)]
    endpoints: tuple[str, ...] = ()


def decode_quarantined(value: Any) -> frozenset[str]:
    """Return the parts of a record; raises `ValueError` if it is malformed."""
    return frozenset(msgspec.convert(value, QuarantinedPrompt).parts)


class QuarantineRecords:
    """Writes the parts that this daemon found to the store, and applies those of all daemons.

    Parameters
    ----------
    store : PlatformClient
        Client of the store.
    quarantine : Quarantine
        Parts with which no request is sent.
    list_endpoints : callable
        Returns the endpoints that crashed on a set of parts.
    release : callable
        Called with a set of parts whose record was deleted.
    backoff : Backoff
        Delays after failed writes.

    Attributes
    ----------
    feed : ObjectFeed
        Records of all daemons; set before `run` is called.
    """

    feed: ObjectFeed

    def __init__(
        self,
        store: PlatformClient,
        quarantine: Quarantine,
        list_endpoints: Callable[[frozenset[str]], list[str]],
        release: Callable[[frozenset[str]], None],
        backoff: Backoff,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._list_endpoints = list_endpoints
        self._release = release
        self._backoff = backoff
        self._recorded: dict[str, frozenset[str]] = {}
        # Parts to be recorded, or None for records to be deleted, by name.
        self._pending: dict[str, frozenset[str] | None] = {}
        self._wake = asyncio.Event()

    def is_loaded(self) -> bool:
        """Return whether all records were read once."""
        return self.feed.synchronized.is_set()

    def apply(self, name: str, value: frozenset[str] | None) -> None:
        """Apply a record of the store, or its deletion."""
        known = self._recorded.pop(name, None)
        if known is not None and known != value:
            self._release(known)
        if value is not None:
            self._recorded[name] = value
            if self._quarantine.add(value):
                log_event("prompt_quarantine_read", parts=sorted(value))

    def write(self, cause: frozenset[str]) -> None:
        """Record parts in the store as soon as it takes them."""
        self._pending[name_record(cause)] = cause
        self._wake.set()

    def delete(self, cause: frozenset[str]) -> None:
        """Delete the record of parts as soon as the store takes it."""
        self._pending[name_record(cause)] = None
        self._wake.set()

    async def run(self) -> None:
        """Write and delete records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await asyncio.sleep(WRITE_SPREAD_S * random.random())
            while self._pending:
                name, cause = next(iter(self._pending.items()))
                if await self._settle(name, cause):
                    self._backoff.reset()
                    if name in self._pending and self._pending[name] == cause:
                        del self._pending[name]
                else:
                    await asyncio.sleep(self._backoff.next_wait())

    async def _settle(self, name: str, cause: frozenset[str] | None) -> bool:
        """Write or delete one record, and return whether nothing remains to be done."""
        if cause is None:
            outcome = await self._store.delete(QUARANTINE_KIND, name)
            # A record that is not there is a conflict.
            return isinstance(outcome, (Written, Conflict))
        if name in self._recorded:
            return True
        if len(self._recorded) >= MAX_RECORDS:
            log_event("quarantine_full", records=len(self._recorded), parts=sorted(cause))
            return True
        value = {"parts": sorted(cause), "endpoints": self._list_endpoints(cause)}
        outcome = await self._store.write(QUARANTINE_KIND, name, value, expect=0)
        return isinstance(outcome, (Written, Conflict))


def name_record(cause: frozenset[str]) -> str:
    """Return the name of the record of a set of parts."""
    return xxhash.xxh64_hexdigest(",".join(sorted(cause)).encode())
