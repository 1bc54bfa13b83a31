"""Admission from quota that is borrowed from quota homes.

A quota home is the daemon that owns part of a customer's quota and lends from it. An entry daemon
admits calls from its balance of loans without a request to another process, and renews the balance
in the background. A call waits only if the balance does not cover it. The setting `admission` names
this ``escrow``: quota is set aside at a daemon before the calls that use it arrive.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.borrowing import MAINTENANCE_INTERVAL_S, Borrower, CallCost, Shortage
from magnoliarouter.core.division import SLOTS_PER_ZONE, divide_contract
from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.pipeline.call import ModelCall

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.core.loans import Charge
    from magnoliarouter.core.quota_lines import QuotaGrant, QuotaRequest
    from magnoliarouter.pipeline.call import Call

__all__ = ["EscrowAdmission"]

MAX_GRANT_WAIT_S = 1.0
HOME_WAIT_S = 5.0
# If one home's part of a customer's quota covers fewer calls than this, the customer is pooled: each
# daemon collects amounts from several homes, and all daemons send requests to them in the same order.
MIN_CALLS_PER_PART = 2
# Customers whose burst covers this many calls of their largest size keep one such call in reserve,
# so that few calls wait for a grant.
MIN_BURST_CALLS_FOR_RESERVE = 50

REFUSALS = {
    "requests": (ResultCode.REQUEST_RATE, "request rate is used up"),
    "tokens": (ResultCode.TOKEN_RATE, "token rate is used up"),
    "permits": (ResultCode.CONCURRENCY, "too many requests in progress"),
    "homes": (ResultCode.QUOTA_UNAVAILABLE, "no quota home can be reached"),
}


@dataclass(slots=True)
class _EscrowAdmittedCall:
    """Admitted call of `EscrowAdmission`, whose charge is to be settled or cancelled."""

    admission: EscrowAdmission
    charge: Charge

    def settle(self, tokens: int | None) -> None:
        used = self.charge.estimated_tokens if tokens is None else float(tokens)
        self.admission.settle(self.charge, used)

    def cancel(self) -> None:
        self.admission.settle(self.charge, 0.0, ran=False)


@dataclass(slots=True, eq=False)
class _Waiter:
    call: Call
    cost: CallCost
    decision: asyncio.Future[Charge | NotRun]


@dataclass(slots=True)
class EscrowAdmission:
    """Admits calls from a daemon's balance of borrowed quota and keeps the balance filled.

    Parameters
    ----------
    borrower : Borrower
        Balance of quota lent to this daemon.
    zone : str
        Availability zone of this daemon, whose homes are asked first.
    zones : tuple of str
        All availability zones.
    send : callable
        Coroutine function that sends a `QuotaRequest` to the holder of its slot and returns the
        `QuotaGrant`, or None if it got none.
    clock : callable
        Loop time in seconds.
    slots_per_zone : int
        Quota home slots in each zone.
    """

    borrower: Borrower
    zone: str
    zones: tuple[str, ...]
    send: Callable[[QuotaRequest], Awaitable[QuotaGrant | None]]
    clock: Callable[[], float]
    slots_per_zone: int = SLOTS_PER_ZONE
    slots: set[str] = field(default_factory=set)
    _largest_estimates: dict[str, int] = field(default_factory=dict)
    _waiters: dict[str, list[_Waiter]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _scheduled: bool = False
    _home_known: asyncio.Event = field(default_factory=asyncio.Event)

    async def admit(self, call: Call) -> _EscrowAdmittedCall | NotRun:
        """Return the admitted call, or the reason for the refusal and when to retry."""
        work = call.work
        tokens = work.token_estimate if isinstance(work, ModelCall) else 0
        if tokens > call.limits.token_burst:
            burst = call.limits.token_burst
            reason = f"{tokens} tokens; the contract allows {burst:g} at once"
            return NotRun(ResultCode.TOKENS_PER_REQUEST, reason)
        if not await self._wait_for_homes(call):
            return _refuse(Shortage("homes", HOME_WAIT_S, False))
        customer, cost = call.contract.customer, CallCost(float(tokens))
        self._set_slot_order(call, tokens)
        now = self.clock()
        self.borrower.record_demand(customer, cost, now)
        # Calls that are already waiting are served first. This result is a placeholder with which
        # the call joins the queue behind them.
        result = Shortage("", 0.0, True)
        if not self._waiters.get(customer):
            result = self.borrower.admit(customer, cost, now)
        if isinstance(result, Shortage):
            result = await self._wait(call, cost) if result.request_pending else _refuse(result)
        if isinstance(result, NotRun):
            return result
        self._schedule()
        return _EscrowAdmittedCall(self, result)

    def settle(self, charge: Charge, tokens: float, ran: bool = True) -> None:
        """Settle the charge of an admitted call."""
        self.borrower.settle(charge, tokens, self.clock(), ran)
        self._serve_waiters(charge.customer)

    def set_home(self, slot: str, epoch: int) -> None:
        """Record the epoch of a slot's holder."""
        self.slots.add(slot)
        self._home_known.set()
        self.borrower.set_home(slot, epoch)
        self._schedule()

    async def run(self) -> None:
        """Report, return and renew loans until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            for slot in list(self.slots):
                self._send_request(slot)
            for customer in list(self._waiters):
                self._serve_waiters(customer)

    async def _wait_for_homes(self, call: Call) -> bool:
        """Wait until the first quota home is known, for calls that arrive just after startup."""
        if self._home_known.is_set():
            return True
        seconds = min(HOME_WAIT_S, call.deadline - self.clock())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._home_known.wait()
        return self._home_known.is_set()

    async def stop(self) -> None:
        """Return the borrowed quota to the homes at shutdown."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        self.borrower.return_all()
        requests = [self.borrower.build_request(slot, self.clock()) for slot in self.slots]
        await asyncio.gather(
            *(self._exchange_request(request) for request in requests if request is not None)
        )

    def _set_slot_order(self, call: Call, tokens: int) -> None:
        customer, limits = call.contract.customer, call.limits
        largest = max(tokens, self._largest_estimates.get(customer, 0))
        self._largest_estimates[customer] = largest
        parts = divide_contract(customer, self.zones or (self.zone,), self.slots_per_zone)
        share = parts[0].share
        pooled = (
            limits.request_burst * share < MIN_CALLS_PER_PART
            or limits.token_burst * share < MIN_CALLS_PER_PART * largest
        )
        if not pooled:
            parts = sorted(parts, key=lambda part: part.zone != self.zone)
        reserve_call = None
        if (
            min(limits.request_burst, limits.token_burst / max(1, largest))
            >= MIN_BURST_CALLS_FOR_RESERVE
        ):
            reserve_call = CallCost(float(largest))
        self.borrower.set_customer(
            customer, [part.slot for part in parts], pooled, limits.burst_seconds, reserve_call
        )

    async def _wait(self, call: Call, cost: CallCost) -> Charge | NotRun:
        customer = call.contract.customer
        waiter = _Waiter(call, cost, asyncio.get_running_loop().create_future())
        self._waiters.setdefault(customer, []).append(waiter)
        self.borrower.add_waiting(customer, cost)
        self._schedule()
        seconds = max(0.0, min(MAX_GRANT_WAIT_S, call.deadline - self.clock()))
        timer = asyncio.get_running_loop().call_later(seconds, self._time_out, waiter)
        try:
            return await waiter.decision
        except asyncio.CancelledError:
            if waiter.decision.done() and not waiter.decision.cancelled():
                decision = waiter.decision.result()
                if not isinstance(decision, NotRun):
                    self.settle(decision, 0.0, ran=False)
            raise
        finally:
            timer.cancel()
            self._remove(waiter)

    def _time_out(self, waiter: _Waiter) -> None:
        if not waiter.decision.done():
            customer = waiter.call.contract.customer
            result = self.borrower.admit(customer, waiter.cost, self.clock())
            waiter.decision.set_result(_refuse(result) if isinstance(result, Shortage) else result)
            self._remove(waiter)

    def _remove(self, waiter: _Waiter) -> None:
        customer = waiter.call.contract.customer
        queue = self._waiters.get(customer, [])
        if waiter in queue:
            queue.remove(waiter)
            self.borrower.remove_waiting(customer, waiter.cost)
        if not queue:
            self._waiters.pop(customer, None)

    def _serve_waiters(self, customer: str) -> None:
        for waiter in list(self._waiters.get(customer, ())):
            if waiter.decision.done():
                continue
            result = self.borrower.admit(customer, waiter.cost, self.clock())
            if isinstance(result, Shortage):
                if result.request_pending:
                    return
                result = _refuse(result)
            waiter.decision.set_result(result)
            self._remove(waiter)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._request_deficits)

    def _request_deficits(self) -> None:
        self._scheduled = False
        for slot in self.borrower.slots_to_request(self.clock()):
            self._send_request(slot)

    def _send_request(self, slot: str) -> None:
        request = self.borrower.build_request(slot, self.clock())
        if request is not None:
            task = asyncio.get_running_loop().create_task(self._exchange_request(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _exchange_request(self, request: QuotaRequest) -> None:
        grant = None
        try:
            grant = await self.send(request)
        finally:
            now = self.clock()
            if grant is None:
                self.borrower.fail(request, now)
            else:
                self.borrower.apply(request, grant, now)
            for line in request.lines:
                self._serve_waiters(line.customer)
            self._schedule()


def _refuse(shortage: Shortage) -> NotRun:
    code, reason = REFUSALS[shortage.resource]
    return NotRun(code, reason, shortage.retry_after)
