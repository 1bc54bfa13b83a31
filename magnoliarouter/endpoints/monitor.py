"""What a guard observes of its endpoint: load, speed, and the prefix cache's events."""

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
        Attempts in progress and whether the guard drains.
    slots, queue_limit : int
        Requests that the endpoint works on at once, and those let in beyond them.
    clock : callable
        Loop time in seconds.
    report_delay : float
        Seconds by which reports lag; for measurements.
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
        """Return the load to tell: the present one, or the one before the configured delay."""
        present = self._measure_load()
        if not self._report_delay:
            return present
        now = self._clock()
        while len(self._samples) > 1 and self._samples[1][0] <= now - self._report_delay:
            self._samples.popleft()
        if not self._samples:
            return present
        time, sample = self._samples[0]
        age = max(0.0, min(now - time, self._report_delay))
        return dataclasses.replace(sample, draining=present.draining, age=age)

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
        """Note the time between two parts of a stream."""
        self._event_gap.add(seconds)

    def record_service_time(self, seconds: float, running: int) -> None:
        """Note the time of a whole attempt that began with so many in progress.

        The time that it waited for a slot behind the others is taken off in proportion.
        """
        self._service_time.add(seconds * self.slots / max(self.slots, running))

    def publish_if_changed(self) -> None:
        """Publish the present load if it differs enough from the one published."""
        old, new = self._published, self._measure_load()
        if self._report_delay:
            self._samples.append((self._clock(), new))
        step = max(1.0, MIN_LOAD_CHANGE_SHARE * self.slots)
        if old.draining != new.draining:
            self._drain_started.set()
        elif abs(old.running - new.running) >= step:
            pass
        elif (
            abs(old.token_seconds - new.token_seconds) <= MIN_SPEED_CHANGE_SHARE * old.token_seconds
        ):
            return
        self._published = new
        self._notify()

    def build_load_row(self) -> LoadRow:
        """Return the load to tell in the form in which it is sent."""
        return LoadRow.from_report(self.report())

    def read_cache(self, after: int) -> CacheChangeRow | None:
        """Return the cache's changes after a number; None if there are none or it is negative."""
        change = self.cache.read(after) if after >= 0 else None
        return CacheChangeRow.from_change(change) if change else None

    async def wait_for_change(self, after: int, wait: float, min_delay_s: float) -> None:
        """Wait until something changed after a sequence number.

        Parameters
        ----------
        after : int
            Sequence number already known.
        wait : float
            Longest wait in seconds.
        min_delay_s : float
            Seconds for which changes are held back, unless the guard begins to drain.
        """
        if self._attempts.draining:
            # A guard that waits for its last requests must not wait for its readers.
            return
        end = self._clock() + min(wait, MAX_LONG_POLL_S)
        if after > 0 and min_delay_s > 0:
            await _wait_for(self._drain_started, min(min_delay_s, MAX_LONG_POLL_S))
        while self.sequence <= after and self._clock() < end:
            await _wait_for(self._changed, end - self._clock())

    async def poll(self, target: str, session: aiohttp.ClientSession) -> None:
        """Read the engine's own reports for ever; an engine without them is left alone."""
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
        url = f"{target}/cache/events?after={self._engine_last}"
        status, body = await _read(session, url)
        if status == 200:
            with contextlib.suppress(msgspec.DecodeError):
                batch = msgspec.json.decode(body, type=_CacheEvents)
                self._check_restart(batch.last)
                self.apply_cache_events(batch.events)
        return not 400 <= status < 500

    def apply_cache_events(self, events: list[_CacheEvent]) -> None:
        """Add the engine's cache events to the log under numbers of the guard's own.

        A number missing among the engine's means that nothing earlier holds any more.
        """
        for event in events:
            lost = event.sequence != self._last_engine_event + 1
            self._last_engine_event = event.sequence
            self._append(event.stored, event.removed, lost)
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
        async with asyncio.timeout(POLL_TIMEOUT_S), session.get(url) as answer:
            return answer.status, await answer.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, b""
