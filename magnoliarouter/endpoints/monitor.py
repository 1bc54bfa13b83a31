"""Observes an endpoint for its guard: load, speed and prefix cache events."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.load import LoadReport
from magnoliarouter.core.prefixes import CacheChange, CacheLog
from magnoliarouter.endpoints.report import CacheChangeRow, LoadRow
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.attempts import AttemptTable

__all__ = ["EndpointMonitor"]

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
SMOOTHING_FACTOR = 0.1
MIN_LOAD_CHANGE_SHARE = 0.25
MIN_SPEED_CHANGE_SHARE = 0.25
MAX_LONG_POLL_S = 30.0


class _EngineLoad(msgspec.Struct):
    running: int
    queued: int


class _CacheEvent(msgspec.Struct):
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class _CacheEvents(msgspec.Struct):
    events: list[_CacheEvent]
    last: int | None = None


@dataclass(slots=True)
class _SmoothedMean:
    """Exponentially smoothed mean; 0 until the first value."""

    value: float = 0.0

    def add(self, value: float) -> None:
        self.value = (
            value if not self.value else self.value + SMOOTHING_FACTOR * (value - self.value)
        )


class EndpointMonitor:
    """Observes one endpoint on behalf of its guard.

    Parameters
    ----------
    attempts : AttemptTable
        Attempts in progress and whether the guard is draining.
    slots, queue_limit : int
        Requests that the endpoint processes concurrently, and those admitted beyond them.
    clock : callable
        Loop time in seconds.
    report_delay : float
        Delay of load reports in seconds, for measurements.
    """

    def __init__(
        self,
        attempts: AttemptTable,
        slots: int,
        queue_limit: int,
        clock: Callable[[], float],
        report_delay: float = 0.0,
    ) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.cache = CacheLog()
        self.sequence = 1
        self._attempts = attempts
        self._clock = clock
        self._event_gap = _SmoothedMean()
        self._service_time = _SmoothedMean()
        self._engine_requests = 0
        self._last_engine_event = 0
        self._report_delay = report_delay
        self._samples: deque[tuple[float, LoadReport]] = deque()
        self._published = self._measure_load()
        self._changed = asyncio.Event()
        self._drain_started = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether a further attempt would exceed the queue limit."""
        return self._attempts.running >= self.slots + self.queue_limit

    @property
    def expected_wait(self) -> float:
        """Expected seconds until a further attempt holds a slot."""
        excess = max(0, self._attempts.running + 1 - self.slots)
        return self._service_time.value * excess / self.slots

    def report(self) -> LoadReport:
        """Return the load to report: the current one, or the one before the configured delay."""
        current = self._measure_load()
        if not self._report_delay:
            return current
        now = self._clock()
        while len(self._samples) > 1 and self._samples[1][0] <= now - self._report_delay:
            self._samples.popleft()
        if not self._samples:
            return current
        time, sample = self._samples[0]
        age = max(0.0, min(now - time, self._report_delay))
        return dataclasses.replace(sample, draining=current.draining, age=age)

    def _measure_load(self) -> LoadReport:
        return LoadReport(
            self._attempts.running,
            self.slots,
            self.queue_limit,
            self._event_gap.value,
            self._service_time.value,
            self._attempts.draining,
            self._engine_requests,
        )

    def record_event_gap(self, seconds: float) -> None:
        """Record the seconds between two events of a stream."""
        self._event_gap.add(seconds)

    def record_service_time(self, seconds: float, running: int) -> None:
        """Record the seconds of an attempt that started with `running` attempts in progress.

        The time that it waited for a slot behind the others is deducted in proportion.
        """
        self._service_time.add(seconds * self.slots / max(self.slots, running))

    def publish_if_changed(self) -> None:
        """Publish the current load if it differs enough from the published one."""
        old, new = self._published, self._measure_load()
        if self._report_delay:
            self._samples.append((self._clock(), new))
        min_change = max(1.0, MIN_LOAD_CHANGE_SHARE * self.slots)
        if old.draining != new.draining:
            self._drain_started.set()
        elif abs(old.running - new.running) >= min_change:
            pass
        elif (
            abs(old.token_seconds - new.token_seconds) <= MIN_SPEED_CHANGE_SHARE * old.token_seconds
        ):
            return
        self._published = new
        self._notify()

    def build_load_row(self) -> LoadRow:
        """Return the wire form of the load to report."""
        return LoadRow.from_report(self.report())

    def read_cache(self, after: int) -> CacheChangeRow | None:
        """Return the cache changes after a sequence number.

        None is returned if there are no changes or the number is negative.
        """
        change = self.cache.read(after) if after >= 0 else None
        return CacheChangeRow.from_change(change) if change else None

    async def wait_for_change(self, after: int, wait: float, min_delay_s: float) -> None:
        """Wait for a change after a sequence number.

        Parameters
        ----------
        after : int
            Last sequence number that the reader has received.
        wait : float
            Longest wait in seconds.
        min_delay_s : float
            Minimum delay in seconds before a change is returned, unless this is the reader's first
            read (`after` is 0) or the guard starts to drain.
        """
        if self._attempts.draining:
            # A draining guard waits for its last requests, which must not include long polls.
            return
        deadline = self._clock() + min(wait, MAX_LONG_POLL_S)
        if after > 0 and min_delay_s > 0:
            await _wait_for(self._drain_started, min(min_delay_s, MAX_LONG_POLL_S))
        while self.sequence <= after and self._clock() < deadline:
            await _wait_for(self._changed, deadline - self._clock())

    async def poll(self, target: str, session: aiohttp.ClientSession) -> None:
        """Poll the engine's own reports for as long as it offers any."""
        has_load = has_events = True
        while has_load or has_events:
            if has_load:
                has_load = await self._poll_load(target, session)
            if has_events:
                has_events = await self._poll_events(target, session)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_load(self, target: str, session: aiohttp.ClientSession) -> bool:
        status, body = await _read(session, f"{target}/load")
        if status == 200:
            with contextlib.suppress(msgspec.DecodeError):
                load = msgspec.json.decode(body, type=_EngineLoad)
                self._engine_requests = load.running + load.queued
        return not 400 <= status < 500

    async def _poll_events(self, target: str, session: aiohttp.ClientSession) -> bool:
        url = f"{target}/cache/events?after={self._last_engine_event}"
        status, body = await _read(session, url)
        if status == 200:
            with contextlib.suppress(msgspec.DecodeError):
                batch = msgspec.json.decode(body, type=_CacheEvents)
                self._check_restart(batch.last)
                self.apply_cache_events(batch.events)
        return not 400 <= status < 500

    def apply_cache_events(self, events: list[_CacheEvent]) -> None:
        """Append the engine's cache events to the log with the guard's own sequence numbers.

        A gap in the engine's sequence numbers means that all earlier events are invalid.
        """
        for event in events:
            has_gap = event.sequence != self._last_engine_event + 1
            self._last_engine_event = event.sequence
            self._append(event.stored, event.removed, has_gap)
        if events:
            self._notify()

    def _check_restart(self, engine_last: int | None) -> None:
        if engine_last is not None and engine_last < self._last_engine_event:
            self._last_engine_event = 0
            self._append((), (), reset=True)

    def _append(self, stored: tuple[int, ...], removed: tuple[int, ...], reset: bool) -> None:
        number = self.cache.last + 1
        self.cache.append(CacheChange(number - 1, number, stored, removed, reset))

    def _notify(self) -> None:
        self.sequence += 1
        self._changed.set()
        self._changed = asyncio.Event()


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


async def _read(session: aiohttp.ClientSession, url: str) -> tuple[int, bytes]:
    try:
        async with asyncio.timeout(POLL_TIMEOUT_S), session.get(url) as response:
            return response.status, await read_body(response)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, b""
