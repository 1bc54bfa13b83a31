"""Collector of endpoint reports: polls the guards of its zone and serves digests to peers.

A digest is a batch of endpoint reports that changed since the last request. An entry daemon
collects while other daemons request digests from it. All daemons of a zone request from the first
two daemons in rendezvous order (more in a large zone) and fall back to the next one on failure, so
that no election is needed.
"""

from __future__ import annotations

import asyncio
import math
import random
import uuid
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.digest import DigestRow, DigestTable
from magnoliarouter.endpoints.messages import GuardStatus
from magnoliarouter.peers.messages import Digest, DigestRequest, encode_rows
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.store.objects import EndpointSpec

__all__ = ["Collector"]

COLLECTING_TIMEOUT_S = 10.0
LONG_POLL_S = 10.0
MIN_POLL_INTERVAL_S = 0.5
MAX_POLL_INTERVAL_S = 10.0
POLL_INTERVAL_PER_ENDPOINT_S = 0.1
RESPONSE_MARGIN_S = 2.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


class Collector:
    """Polls the guards of one zone on behalf of other entry daemons.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    endpoints : VersionedCache
        Registered endpoints.
    session : aiohttp.ClientSession
        HTTP session of the process.
    clock : callable
        Loop time in seconds.
    """

    def __init__(
        self,
        zone: str,
        endpoints: VersionedCache[EndpointSpec],
        session: aiohttp.ClientSession,
        clock: Callable[[], float],
    ) -> None:
        self.epoch = uuid.uuid4().hex[:8]
        self.table = DigestTable()
        self._zone = zone
        self._endpoints = endpoints
        self._session = session
        self._clock = clock
        self._last_request_at = -math.inf
        self._registered: set[str] = set()
        self._followers: dict[str, asyncio.Task[None]] = {}

    @property
    def is_collecting(self) -> bool:
        """Whether a digest was requested recently."""
        return self._clock() - self._last_request_at < COLLECTING_TIMEOUT_S

    async def serve(self, request: DigestRequest) -> Digest:
        """Return a digest, and start or continue to collect."""
        self._last_request_at = self._clock()
        self.update_followers()
        now = self._clock()
        after = request.after if request.epoch == self.epoch else 0
        rows = self.table.read(after, request.zone or None)
        identities, reports = encode_rows(rows, now)
        stale = self.table.list_stale(now)
        return Digest(self.epoch, self.table.version, identities, reports, stale)

    def update_followers(self) -> None:
        """Start and stop followers according to the registered endpoints."""
        registered = self._endpoints.values()
        required = {
            f"{spec.address}/{spec.incarnation}": spec
            for spec in registered.values()
            if spec.zone == self._zone and self.is_collecting
        }
        for key in set(self._followers) - set(required):
            self._followers.pop(key).cancel()
        for key in set(required) - set(self._followers):
            self._followers[key] = asyncio.create_task(self._follow(required[key]))
        self.table.drop(self._registered - set(registered))
        self._registered = set(registered)

    def stop(self) -> None:
        """Stop all followers."""
        for task in self._followers.values():
            task.cancel()
        self._followers.clear()

    async def _follow(self, spec: EndpointSpec) -> None:
        sequence, backoff = 0, MIN_BACKOFF_S
        while True:
            status = await self._read_status(spec, sequence)
            if status is None:
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_S)
                continue
            backoff = MIN_BACKOFF_S
            if status.sequence == sequence and status.cache is None:
                self.table.confirm(spec.name, self._clock())
                continue
            sequence = status.sequence
            self._apply_status(spec, status)
            if status.draining:
                await asyncio.sleep(MIN_POLL_INTERVAL_S)

    def _apply_status(self, spec: EndpointSpec, status: GuardStatus) -> None:
        now = self._clock()
        if status.load is None:
            return
        cache = status.cache.to_change() if status.cache else None
        report = status.load.to_report()
        row = DigestRow(spec.name, spec.zone, status.incarnation, report, now, cache)
        self.table.update(row, now)

    async def _read_status(self, spec: EndpointSpec, sequence: int) -> GuardStatus | None:
        interval_s = POLL_INTERVAL_PER_ENDPOINT_S * len(self._followers)
        interval_s = min(max(MIN_POLL_INTERVAL_S, interval_s), MAX_POLL_INTERVAL_S)
        cache = self.table.cache_position(spec.name)
        url = (
            f"http://{spec.address}/guard/status"
            f"?after={sequence}&wait={LONG_POLL_S:g}&pause={interval_s:g}&cache={cache}"
        )
        try:
            async with asyncio.timeout(LONG_POLL_S + interval_s + RESPONSE_MARGIN_S):
                async with self._session.get(url) as response:
                    return msgspec.json.decode(await read_body(response), type=GuardStatus)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return None
