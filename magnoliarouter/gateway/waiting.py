"""Queue of calls for which no endpoint has a place yet.

A call waits here rather than at an endpoint, so that it goes to whichever endpoint has a place
first. Places are handed out by urgency, then to calls that can still be answered on time, in the
order of arrival, and then to late ones: under overload all would be late otherwise.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable

__all__ = ["WaitQueue"]

# Calls that wait at one daemon for one service; the places of its endpoints are shared by all
# daemons, so a longer queue would not end within the wait.
MAX_QUEUED_CALLS = 8
# A place that another daemon reports free is left to that daemon's own calls for a while, and the
# others take it one after the other: that one has it shows elsewhere after some 2 ms, and all at once
# sent up to 16 calls to one place.
MIN_YIELD_S = 0.005
YIELD_PER_DAEMON_S = 0.003
# Loads of other daemons also change without a message, when they are forgotten.
RECHECK_INTERVAL_S = 0.1


@dataclass(slots=True, eq=False)
class _Waiter:
    urgency: int
    number: int
    on_time_until: float
    tried: set[str]
    slot: asyncio.Future[Endpoint | None]

    def sort_key(self, now: float) -> tuple[int, bool, int]:
        """Return what orders waiting calls; the least goes first."""
        return self.urgency, now > self.on_time_until, self.number


class WaitQueue:
    """Hands out places at endpoints.

    Parameters
    ----------
    table : EndpointTable
        Endpoints and their load.
    clock : callable
        Loop time in seconds.
    count_daemons : callable
        Returns how many daemons share the endpoints.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Callable[[], float],
        count_daemons: Callable[[], int] = lambda: 1,
    ) -> None:
        self._table = table
        self._clock = clock
        self._count_daemons = count_daemons
        self._queues: dict[str, list[_Waiter]] = {}
        self._numbers = count()
        self._timer: asyncio.TimerHandle | None = None
        self._yielding = False

    def length(self, service: str) -> int:
        """Return how many calls wait for a service."""
        return len(self._queues.get(service, ()))

    async def acquire(
        self,
        service: str,
        tried: set[str],
        urgency: int,
        wait_s: float,
        on_time_until: float = float("inf"),
    ) -> Endpoint | None:
        """Return an endpoint at which a place was taken, or None if there is none in time.

        Parameters
        ----------
        service : str
            Service that is asked for.
        tried : set of str
            Endpoints that are not to be tried again.
        urgency : int
            0 goes first.
        wait_s : float
            Longest wait in seconds.
        on_time_until : float
            Loop time until which a place is in time for an answer that is not late.
        """
        if not self._queues.get(service):
            endpoint = self._choose(service, tried)
            if endpoint is not None:
                return endpoint
        if wait_s <= 0 or self.length(service) >= MAX_QUEUED_CALLS:
            return None
        if not self._table.has_available_endpoint(service):
            return None
        slot = asyncio.get_running_loop().create_future()
        waiter = _Waiter(urgency, next(self._numbers), on_time_until, tried, slot)
        self._queues.setdefault(service, []).append(waiter)
        self._start_timer()
        try:
            async with asyncio.timeout(wait_s):
                return await slot
        except TimeoutError:
            # A place may have come in the same turn; otherwise the time-out cancelled the future.
            return None if slot.cancelled() else slot.result()
        except asyncio.CancelledError:
            endpoint = None if slot.cancelled() else slot.result()
            if endpoint is not None:
                self._table.finish_request(endpoint.identity)
            raise
        finally:
            if waiter in self._queues[service]:
                self._queues[service].remove(waiter)

    def wake(self) -> None:
        """Hand out a place that a call of this daemon has left, and end waits that are in vain."""
        self._assign_slots()
        self.schedule_wake()

    def _assign_slots(self) -> bool:
        """Hand out one place of each service, and return whether there was one."""
        found = False
        for service, queue in self._queues.items():
            if queue and not self._table.has_available_endpoint(service):
                self._reject_all(queue)
            while queue:
                waiter = min(queue, key=lambda one: one.sort_key(self._clock()))
                endpoint = self._choose(service, waiter.tried)
                if endpoint is None:
                    break
                queue.remove(waiter)
                if not waiter.slot.done():
                    waiter.slot.set_result(endpoint)
                    found = True
                    break
                self._table.finish_request(endpoint.identity)
        return found

    @staticmethod
    def _reject_all(queue: list[_Waiter]) -> None:
        for waiter in queue:
            if not waiter.slot.done():
                waiter.slot.set_result(None)
        queue.clear()

    def schedule_wake(self) -> None:
        """Hand out the places that other daemons have left free, after leaving them a while."""
        if not self._yielding and any(self._queues.values()):
            self._yielding = True
            span = YIELD_PER_DAEMON_S * self._count_daemons() * random.random()
            asyncio.get_running_loop().call_later(MIN_YIELD_S + span, self._finish_yield)

    def _finish_yield(self) -> None:
        self._yielding = False
        if self._assign_slots():
            self.schedule_wake()

    def _choose(self, service: str, tried: set[str]) -> Endpoint | None:
        endpoint = self._table.choose(service, tried, self._clock())
        if endpoint is not None:
            self._table.start_request(endpoint.identity)
        return endpoint

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._timer = None
        self.schedule_wake()
        if any(self._queues.values()):
            self._start_timer()
