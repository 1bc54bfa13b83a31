"""Second pipeline stage: admits a call within the limits of its contract."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.pipeline.call import ModelCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.pipeline.call import Call

__all__ = ["Admission", "StaticAdmission", "AdmittedCall"]


class AdmittedCall(Protocol):
    """Permission to process one admitted call."""

    def settle(self, tokens: int | None) -> None:
        """Release the call's concurrency and charge the tokens that it used.

        None charges the estimate, because the number of used tokens is unknown.
        """

    def cancel(self) -> None:
        """Release everything that was reserved for a call that did not run."""


class Admission(Protocol):
    """Decides whether a call fits its customer's limits."""

    async def admit(self, call: Call) -> AdmittedCall | NotRun:
        """Return the admitted call, or the reason for the refusal and when to retry."""


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one daemon."""

    level: float
    updated: float

    def consume(self, amount: float, rate: float, burst: float, now: float) -> float:
        """Consume an amount and return 0, or return the seconds until it is available.

        A bucket that is never refilled returns 60 s.
        """
        self.level = min(burst, self.level + (now - self.updated) * rate)
        self.updated = now
        if self.level < amount:
            return (amount - self.level) / rate if rate else 60.0
        self.level -= amount
        return 0.0


@dataclass(slots=True)
class _StaticAdmittedCall:
    """Admitted call of `StaticAdmission`."""

    admission: StaticAdmission
    customer: str
    estimate: int

    def settle(self, tokens: int | None) -> None:
        unused = 0 if tokens is None else self.estimate - tokens
        self.admission.release(self.customer, 0.0, float(unused))

    def cancel(self) -> None:
        self.admission.release(self.customer, 1.0, float(self.estimate))


@dataclass(slots=True)
class StaticAdmission:
    """Admits a fixed share of each contract in each daemon, without coordination between daemons.

    Parameters
    ----------
    share : float
        Share of each contract's rates, bursts and permits that this daemon admits.
    clock : callable
        Loop time in seconds.
    """

    share: float
    clock: Callable[[], float]
    buckets: dict[str, _TokenBucket] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)

    async def admit(self, call: Call) -> AdmittedCall | NotRun:
        """Admit a call if this daemon's buckets for the customer hold enough."""
        customer, limits = call.contract.customer, call.limits
        if self.running.get(customer, 0) >= int(limits.concurrent_requests * self.share):
            return NotRun(ResultCode.CONCURRENCY, "too many requests in progress", 1.0)
        rate = limits.requests_per_second * self.share
        wait = self._consume(f"{customer}/requests", 1, rate, limits.burst_seconds)
        if wait:
            return NotRun(ResultCode.REQUEST_RATE, "request rate is used up", wait)
        amount = call.work.token_estimate if isinstance(call.work, ModelCall) else 0
        if amount:
            rate = limits.tokens_per_second * self.share
            wait = self._consume(f"{customer}/tokens", amount, rate, limits.burst_seconds)
            if wait:
                self.buckets[f"{customer}/requests"].level += 1
                return NotRun(ResultCode.TOKEN_RATE, "token rate is used up", wait)
        self.running[customer] = self.running.get(customer, 0) + 1
        return _StaticAdmittedCall(self, customer, amount)

    def release(self, customer: str, requests: float, tokens: float) -> None:
        """End a call and return its unused requests and tokens."""
        self.running[customer] -= 1
        self.buckets[f"{customer}/requests"].level += requests
        if f"{customer}/tokens" in self.buckets:
            self.buckets[f"{customer}/tokens"].level += tokens

    def _consume(self, name: str, amount: float, rate: float, burst_seconds: float) -> float:
        burst = rate * burst_seconds
        bucket = self.buckets.setdefault(name, _TokenBucket(burst, self.clock()))
        return bucket.consume(amount, rate, burst, self.clock())
