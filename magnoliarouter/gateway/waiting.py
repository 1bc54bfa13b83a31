"""Queue of calls that wait for a concurrency slot at an endpoint.

A call waits here rather than at an endpoint, so that it gets the first slot that becomes free at
any endpoint. `core/admission` decides on order and refusals, by arrival or by need; this module
runs its decisions.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from magnoliarouter.core.admission import (
    FIRST_URGENCY,
    MAX_QUEUED_CALLS,
    ArrivalQueue,
    CallQueue,
    Joined,
    NeedQueue,
    Refused,
    Room,
    WaitingCall,
)
from magnoliarouter.core.holds import HoldMeter
from magnoliarouter.core.outcome import NotRun
from magnoliarouter.core.work import NO_WORK, CallWork
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable

__all__ = ["MAX_QUEUED_CALLS", "WaitQueue"]

# Delay before a slot is used that another daemon reports as free: this minimum, which leaves the slot
# to that daemon's own calls, plus a random time of up to the second constant for each daemon. A used
# slot becomes visible to the other daemons only after about 2 ms; without the random time, up to 16
# calls were sent to one slot.
MIN_YIELD_S = 0.005
YIELD_PER_DAEMON_S = 0.003
# By need, the random time grows with the daemons that hold calls: this many times those that said
# so, but at least with the second number of daemons.
UNHEARD_FACTOR = 3
MIN_RIVALS = 9
# Daemons with less urgent calls wait for the draws of this many others at most.
MAX_URGENT_DAEMONS = 4
# Interval of rechecks, since loads of other daemons also change without a message when they expire.
RECHECK_INTERVAL_S = 0.1
# Refused callers are told times that differ by up to this share.
RETURN_SPREAD_SHARE = 0.25
# Interval between log lines on refusals for a service.
REPORT_INTERVAL_S = 5.0
# Name of the draw of all services that are served by arrival.
BY_ARRIVAL = ""


@dataclass(slots=True, eq=False)
class _Waiter:
    tried: set[str]
    waits_for_pauses: bool
    may_wait: Callable[[], bool]
    work: CallWork
    slot: asyncio.Future[Endpoint | NotRun | None]


@dataclass(slots=True)
class _Service:
    queue: CallQueue = field(default_factory=ArrivalQueue)
    holds: HoldMeter = field(default_factory=HoldMeter)
    refused: Counter[str] = field(default_factory=Counter)
    reported_at: float = float("-inf")


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

    Attributes
    ----------
    serves_by_need : callable
        Returns whether the calls of a service are served by need rather than by arrival.
    list_peer_queues : callable
        Returns, for each other daemon at which calls wait for a service, their numbers by urgency.
    announce : callable
        Called when the other daemons should learn soon which calls wait here.
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
        self._services: dict[str, _Service] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._drawing: set[str] = set()
        self.serves_by_need: Callable[[str], bool] = lambda service: False
        self.list_peer_queues: Callable[[str], Sequence[Sequence[int]]] = lambda service: ()
        self.announce: Callable[[], None] = lambda: None

    def length(self, service: str) -> int:
        """Return how many calls wait for a service."""
        found = self._services.get(service)
        return len(found.queue) if found is not None else 0

    def list_lengths(self) -> dict[str, int]:
        """Return how many calls wait for each service that has any."""
        return {name: len(found.queue) for name, found in self._services.items() if found.queue}

    def report_queues(self) -> dict[str, list[int]]:
        """Return the waiting calls by urgency, for each service that is served by need."""
        return {
            name: found.queue.count_by_urgency()
            for name, found in self._services.items()
            if found.queue and found.queue.by_need
        }

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return, for each service, the waiting calls and what is expected, for operators."""
        return {name: self._describe(name) for name in self._services}

    def record_hold(self, service: str, seconds: float) -> None:
        """Record for how long a call that was served held its slot."""
        self._find(service).holds.record(seconds)

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
        returned: bool = False,
    ) -> Endpoint | NotRun | None:
        """Return an endpoint at which a slot was acquired, or why the call is refused.

        None is returned if no slot became free in time; at once if the queue is full, the service
        has no available endpoint, every endpoint that could serve the call pauses, or their rates
        do not allow it in time. By need, a refusal with its code and return time is returned where
        the calls ahead are the reason: at once if the call cannot be served in time, later if a
        call that is served before displaces it.

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
        returned : bool
            Whether the call was refused before and came back when it was told to.
        """
        now, found = self._clock(), self._find(service)
        slot: asyncio.Future[Endpoint | NotRun | None]
        slot = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tried, waits_for_pauses, may_wait, work, slot)
        call = WaitingCall(urgency, now + wait_s, on_time_until, customer, returned, waiter)
        if not found.queue:
            endpoint = self._choose(service, tried, work)
            if endpoint is not None:
                found.queue.record_placed(call, now)
                return endpoint
        if wait_s <= 0 or not self._table.has_available_endpoint(service):
            return None
        if not waits_for_pauses and (
            self._finds_only_pauses(service, tried)
            or self.estimate_rate_wait_s(service, tried) > wait_s
        ):
            return None
        first = self._find_first_urgency(found)
        match found.queue.admit(call, self._survey(service), now):
            case Refused(refusal):
                return self._report(service, refusal)
            case Joined(displaced, refusal) if displaced is not None:
                _resolve(displaced, refusal)
        if found.queue.by_need and self._find_first_urgency(found) < first:
            self.announce()
        self._start_timer()
        return await self._wait(service, call, wait_s)

    async def _wait(
        self, service: str, call: WaitingCall, wait_s: float
    ) -> Endpoint | NotRun | None:
        slot = call.item.slot
        try:
            async with asyncio.timeout(wait_s):
                result = await slot
        except TimeoutError:
            # A slot may be assigned in the same loop iteration; otherwise the timeout cancelled the
            # future.
            if not slot.cancelled():
                result = slot.result()
            else:
                queue = self._find(service).queue
                queue.remove(call)
                result = queue.give_up(call, self._survey(service), self._clock())
        except asyncio.CancelledError:
            result = None if slot.cancelled() else slot.result()
            if result is not None and not isinstance(result, NotRun):
                self._table.cancel_request(result, self._clock(), call.item.work)
            raise
        finally:
            self._find(service).queue.remove(call)
        return self._report(service, result) if isinstance(result, NotRun) else result

    def wake(self) -> None:
        """Assign a slot that a call of this daemon released, and end waits for stalled services."""
        self._assign_slots(self._services)
        self.schedule_wake()

    def _assign_slots(self, services: Sequence[str] | dict[str, _Service]) -> bool:
        """Assign up to one free slot per service, and return whether any was assigned."""
        return any([self._assign_slot(service) for service in services])

    def _assign_slot(self, service: str) -> bool:
        found, now = self._find(service), self._clock()
        if not found.queue:
            return False
        available = self._table.has_available_endpoint(service)
        for call in found.queue.list_next(now):
            waiter: _Waiter = call.item
            if not (
                available
                and waiter.may_wait()
                and (waiter.waits_for_pauses or not self._finds_only_pauses(service, waiter.tried))
            ):
                found.queue.remove(call)
                _resolve(call, None)
        for call in found.queue.list_next(now):
            waiter = call.item
            if waiter.slot.done():
                continue
            endpoint = self._choose(service, waiter.tried, waiter.work)
            if endpoint is not None:
                found.queue.take(call, now)
                waiter.slot.set_result(endpoint)
                return True
            if not found.queue.by_need or not waiter.tried:
                break
        return False

    def _finds_only_pauses(self, service: str, tried: set[str]) -> bool:
        return self._table.find_pause_end(service, tried, self._clock()) is not None

    def schedule_wake(self) -> None:
        """Assign slots that other daemons reported as free, after a delay.

        A service that is served by need draws its own delay, the others share one.
        """
        for service, found in self._services.items():
            draw = service if found.queue.by_need else BY_ARRIVAL
            if found.queue and draw not in self._drawing:
                self._drawing.add(draw)
                delay_s = self._choose_delay_s(service, found)
                asyncio.get_running_loop().call_later(delay_s, self._finish_draw, draw)

    def _choose_delay_s(self, service: str, found: _Service) -> float:
        """Return the delay before this daemon uses a slot that another one reported as free.

        By need, daemons with less urgent calls wait until the first of the others have drawn.
        """
        rivals, offset_s = self._count_daemons(), 0.0
        if found.queue.by_need:
            room = Room(peers=self.list_peer_queues(service))
            more = room.count_more_urgent(self._find_first_urgency(found))
            rivals = min(rivals, max(MIN_RIVALS, UNHEARD_FACTOR * (1 + len(room.peers))))
            offset_s = YIELD_PER_DAEMON_S * min(more, MAX_URGENT_DAEMONS)
        return MIN_YIELD_S + offset_s + YIELD_PER_DAEMON_S * rivals * random.random()

    def _finish_draw(self, draw: str) -> None:
        self._drawing.discard(draw)
        services = [
            service
            for service, found in self._services.items()
            if draw == (service if found.queue.by_need else BY_ARRIVAL)
        ]
        if self._assign_slots(services):
            self.schedule_wake()

    def _choose(self, service: str, tried: set[str], work: CallWork) -> Endpoint | None:
        now = self._clock()
        endpoint = self._table.choose(service, tried, now, work)
        if endpoint is not None:
            self._table.start_request(endpoint.identity, work)
            self._table.rates.record_request(endpoint, now)
        return endpoint

    def _find(self, service: str) -> _Service:
        """Return the state of a service, whose calls move if it is served in another way by now."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service()
        by_need = self.serves_by_need(service)
        if by_need != found.queue.by_need:
            now, calls = self._clock(), found.queue.list_next(self._clock())
            found.queue = NeedQueue() if by_need else ArrivalQueue()
            found.queue.restore(calls, now)
            if calls:
                log_event("admission_turned", service=service, by_need=by_need, calls=len(calls))
        return found

    @staticmethod
    def _find_first_urgency(found: _Service) -> float:
        counts = found.queue.count_by_urgency()
        first = next((index for index, count in enumerate(counts) if count), None)
        return float("inf") if first is None else first + FIRST_URGENCY

    def _survey(self, service: str) -> Room:
        """Return what a service can take now."""
        found = self._find(service)
        hold_s = found.holds.mean_s()
        if hold_s is None or not found.queue.by_need:
            return Room()
        return Room(
            self._table.estimate_rate(service, hold_s, self._clock()),
            max(1, self._count_daemons()),
            self.list_peer_queues(service),
        )

    def _describe(self, service: str) -> dict[str, Any]:
        found, room = self._find(service), self._survey(service)
        waiting = {
            index + FIRST_URGENCY: count
            for index, count in enumerate(found.queue.count_by_urgency())
            if count
        }
        return {
            "order": "need" if found.queue.by_need else "arrival",
            "waiting": {str(urgency): count for urgency, count in waiting.items()},
            "waiting_elsewhere": self._count_peer_calls(service),
            "places_per_s": round(room.rate, 2),
            "expected_wait_s": {
                str(urgency): round(found.queue.estimate_wait_s(urgency, room), 2)
                for urgency in waiting
            },
            "refused": dict(found.refused),
        }

    def _report(self, service: str, refusal: NotRun | None) -> NotRun | None:
        """Count a refusal, spread its return time, and log how the service stands now and then."""
        if refusal is None:
            return None
        found, now = self._find(service), self._clock()
        found.refused[refusal.code.name.lower()] += 1
        if now - found.reported_at >= REPORT_INTERVAL_S:
            found.reported_at = now
            log_event("service_full", service=service, **self._describe(service))
        return_s = (refusal.retry_after or 0.0) * (1 + RETURN_SPREAD_SHARE * random.random())
        return NotRun(refusal.code, refusal.reason, return_s)

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._timer = None
        self.schedule_wake()
        if any(found.queue for found in self._services.values()):
            self._start_timer()


def _resolve(call: WaitingCall, result: NotRun | None) -> None:
    if not call.item.slot.done():
        call.item.slot.set_result(result)
