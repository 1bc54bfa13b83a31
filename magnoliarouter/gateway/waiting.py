"""Queue of calls that wait for a concurrency slot at an endpoint.

A call waits here rather than at an endpoint, so that it gets the first slot that becomes free at
any endpoint. Slots are assigned by urgency, then to calls that can still meet their target latency,
in order of arrival, and then to late calls. Otherwise all calls would be late under overload.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from magnoliarouter.core.work import NO_WORK, CallWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable

__all__ = ["WaitQueue"]

# Maximum number of calls that wait at one daemon for one service. All daemons share the slots of the
# endpoints, so calls in a longer queue would time out.
MAX_QUEUED_CALLS = 8
# Delay before a slot is used that another daemon reports as free: this minimum, which leaves the slot
# to that daemon's own calls, plus a random time of up to the second constant for each daemon. A used
# slot becomes visible to the other daemons only after about 2 ms; without the random time, up to 16
# calls were sent to one slot.
MIN_YIELD_S = 0.005
YIELD_PER_DAEMON_S = 0.003
# Interval of rechecks, since loads of other daemons also change without a message when they expire.
RECHECK_INTERVAL_S = 0.1


@dataclass(slots=True, eq=False)
class _Waiter:
    urgency: int
    number: int
    on_time_until: float
    tried: set[str]
    waits_for_pauses: bool
    may_wait: Callable[[], bool]
    work: CallWork
    slot: asyncio.Future[Endpoint | None]

    def sort_key(self, now: float) -> tuple[int, bool, int]:
        """Return the sort key of a waiting call; the smallest is served first."""
        return self.urgency, now > self.on_time_until, self.number


class WaitQueue:
    """Assigns concurrency slots at endpoints to waiting calls.

    Parameters
    ----------
    table : EndpointTable
        Endpoints and their load.
    clock : callable
        Loop time in seconds.
    count_daemons : callable
        Returns how many daemons share the endpoints.
    count_peer_calls : callable
        Returns how many calls wait for a service at the other daemons.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Callable[[], float],
        count_daemons: Callable[[], int] = lambda: 1,
        count_peer_calls: Callable[[str], int] = lambda service: 0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._count_daemons = count_daemons
        self._count_peer_calls = count_peer_calls
        self._queues: dict[str, list[_Waiter]] = {}
        self._numbers = count()
        self._timer: asyncio.TimerHandle | None = None
        self._yielding = False

    def length(self, service: str) -> int:
        """Return how many calls wait for a service."""
        return len(self._queues.get(service, ()))

    def list_lengths(self) -> dict[str, int]:
        """Return how many calls wait for each service that has any."""
        return {service: len(queue) for service, queue in self._queues.items() if queue}

    def estimate_rate_wait_s(self, service: str, tried: set[str]) -> float:
        """Return the seconds until the rates of a service's endpoints allow one more call.

        The calls that wait at all daemons come first. It is 0 if a rate does not decide.
        """
        calls = 1 + self.length(service) + self._count_peer_calls(service)
        return self._table.estimate_rate_wait_s(service, tried, calls, self._clock())

    async def acquire(
        self,
        service: str,
        tried: set[str],
        urgency: int,
        wait_s: float,
        on_time_until: float = float("inf"),
        waits_for_pauses: bool = False,
        may_wait: Callable[[], bool] = lambda: True,
        work: CallWork = NO_WORK,
        customer: str = "",
        fingerprint: str = "",
    ) -> Endpoint | None:
        """Return an endpoint at which a slot was acquired, or None if none became free in time.

        None is also returned at once if the queue is full, the service has no available endpoint,
        every endpoint that could serve the call pauses, or their rates do not allow it in time.

        Parameters
        ----------
        service : str
            Requested service.
        tried : set of str
            Endpoints excluded from the choice.
        urgency : int
            0 is served first.
        wait_s : float
            Maximum wait in seconds.
        on_time_until : float
            Loop time until which a slot allows the call to meet its target latency.
        waits_for_pauses : bool
            Whether the call waits while every endpoint that could serve it pauses or is at its rate.
        may_wait : callable
            Returns whether the call may still be sent.
        work : CallWork
            Work that the call brings to its endpoint.
        customer : str
            Customer that sent the call; empty if unknown.
        fingerprint : str
            Names the call as the same when its caller sends it again; empty if unknown.
        """
        if not self._queues.get(service):
            endpoint = self._choose(service, tried, work)
            if endpoint is not None:
                return endpoint
        if wait_s <= 0 or self.length(service) >= MAX_QUEUED_CALLS:
            return None
        if not self._table.has_available_endpoint(service):
            return None
        if not waits_for_pauses and (
            self._finds_only_pauses(service, tried)
            or self.estimate_rate_wait_s(service, tried) > wait_s
        ):
            return None
        slot = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            urgency,
            next(self._numbers),
            on_time_until,
            tried,
            waits_for_pauses,
            may_wait,
            work,
            slot,
        )
        self._queues.setdefault(service, []).append(waiter)
        self._start_timer()
        try:
            async with asyncio.timeout(wait_s):
                return await slot
        except TimeoutError:
            # A slot may be assigned in the same loop iteration; otherwise the timeout cancelled the
            # future.
            return None if slot.cancelled() else slot.result()
        except asyncio.CancelledError:
            endpoint = None if slot.cancelled() else slot.result()
            if endpoint is not None:
                self._table.cancel_request(endpoint, self._clock(), work)
            raise
        finally:
            if waiter in self._queues[service]:
                self._queues[service].remove(waiter)

    def wake(self) -> None:
        """Assign a slot that a call of this daemon released, and end waits for stalled services."""
        self._assign_slots()
        self.schedule_wake()

    def _assign_slots(self) -> bool:
        """Assign up to one free slot per service, and return whether any was assigned."""
        found = False
        for service, queue in self._queues.items():
            if queue and not self._table.has_available_endpoint(service):
                self._reject(queue, list(queue))
            hopeless = [
                waiter
                for waiter in queue
                if not waiter.may_wait()
                or (not waiter.waits_for_pauses and self._finds_only_pauses(service, waiter.tried))
            ]
            self._reject(queue, hopeless)
            while queue:
                waiter = min(queue, key=lambda one: one.sort_key(self._clock()))
                endpoint = self._choose(service, waiter.tried, waiter.work)
                if endpoint is None:
                    break
                queue.remove(waiter)
                if not waiter.slot.done():
                    waiter.slot.set_result(endpoint)
                    found = True
                    break
                self._table.cancel_request(endpoint, self._clock(), waiter.work)
        return found

    def _finds_only_pauses(self, service: str, tried: set[str]) -> bool:
        return self._table.find_pause_end(service, tried, self._clock()) is not None

    @staticmethod
    def _reject(queue: list[_Waiter], rejected: list[_Waiter]) -> None:
        for waiter in rejected:
            queue.remove(waiter)
            if not waiter.slot.done():
                waiter.slot.set_result(None)

    def schedule_wake(self) -> None:
        """Assign slots that other daemons reported as free, after a delay."""
        if not self._yielding and any(self._queues.values()):
            self._yielding = True
            span = YIELD_PER_DAEMON_S * self._count_daemons() * random.random()
            asyncio.get_running_loop().call_later(MIN_YIELD_S + span, self._finish_yield)

    def _finish_yield(self) -> None:
        self._yielding = False
        if self._assign_slots():
            self.schedule_wake()

    def _choose(self, service: str, tried: set[str], work: CallWork) -> Endpoint | None:
        now = self._clock()
        endpoint = self._table.choose(service, tried, now, work)
        if endpoint is not None:
            self._table.start_request(endpoint.identity, work)
            self._table.rates.record_request(endpoint, now)
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
