"""Attempts a call on one endpoint after another: places, sends and classifies the outcome.

A call is retried on another endpoint only while no byte has been sent to the caller. After an
attempt that provably did not run, it may always be retried, within the retry budget if the refusal
cost the endpoint work. After one with an unknown outcome, it is retried only if it is repeatable
and the retry budget allows it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.attempts import StartVerdict
from magnoliarouter.core.outcome import Completed, NotRun, Outcome, ResultCode, Unknown
from magnoliarouter.core.placement import Choice, Chosen, NoCapacity, NoEndpoint, TooLate
from magnoliarouter.core.retries import RetryBudget
from magnoliarouter.endpoints.messages import VERDICT_HEADER
from magnoliarouter.endpoints.report import LOAD_HEADER, decode_load_header
from magnoliarouter.pipeline.call import ApplicationCall
from magnoliarouter.pipeline.dispatch import EndpointResponse, open_attempt

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    import aiohttp

    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.pipeline.place import Placement
    from magnoliarouter.store.objects import EndpointSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["ForwardResult", "Forwarder", "explain_choice"]

MAX_ATTEMPTS = 4
NO_ENDPOINT_RETRY_AFTER_S = 1.0
# Refusals that cost the endpoint work although the call did not run.
BUDGETED_REFUSALS = (ResultCode.QUEUE_FULL, ResultCode.DEADLINE_UNREACHABLE)
# Statuses that mean that the endpoint cannot serve any caller.
UNHEALTHY_STATUSES = (502, 503, 504)
HANG_THRESHOLD_S = 10.0


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """Result of forwarding a call.

    Parameters
    ----------
    outcome : NotRun, Completed or Unknown
        Outcome of the last attempt.
    responded : bool
        Whether a response was sent to the caller.
    endpoint : str
        Endpoint of the last attempt; empty if there was none.
    """

    outcome: Outcome
    responded: bool
    endpoint: str = ""


class Forwarder:
    """Forwards the calls of one entry daemon.

    Parameters
    ----------
    placement : Placement
        Chooses endpoints.
    session : aiohttp.ClientSession
        HTTP session of the process.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Counters of retries, ejections and prefix hits.
    budget : RetryBudget, optional
        Budget of retries.
    """

    def __init__(
        self,
        placement: Placement,
        session: aiohttp.ClientSession,
        clock: Callable[[], float],
        metrics: Metrics,
        budget: RetryBudget | None = None,
    ) -> None:
        self._placement = placement
        self._session = session
        self._clock = clock
        self._metrics = metrics
        self._budget = budget or RetryBudget()

    async def forward(
        self,
        call: Call,
        deliver: Callable[[EndpointResponse], Awaitable[Outcome]],
        has_responded: Callable[[], bool] = lambda: True,
    ) -> ForwardResult:
        """Forward a call until it has a final outcome.

        Parameters
        ----------
        call : Call
            The call.
        deliver : callable
            Coroutine function that delivers a response to the caller and returns the outcome.
        has_responded : callable
            Returns after a delivery whether any byte was sent to the caller.

        Returns
        -------
        ForwardResult
            If `responded` is false, the outcome still has to be sent to the caller.
        """
        tried: set[str] = set()
        last: ForwardResult | None = None
        unknown: ForwardResult | None = None
        while True:
            choice = self._placement.place(call, tried)
            endpoint = self._placement.find(choice.name) if isinstance(choice, Chosen) else None
            if endpoint is None:
                return unknown or last or ForwardResult(explain_choice(choice), False)
            self._count_choice(choice)
            tried.add(endpoint.name)
            with self._placement.track(endpoint, call):
                last = await self._attempt(call, endpoint, deliver, has_responded)
            if last.responded:
                return last
            # If one attempt may have run, the whole request must not be reported as not run.
            if isinstance(last.outcome, Unknown):
                unknown = last
            if len(tried) >= MAX_ATTEMPTS or not self._may_retry(call, last.outcome):
                return unknown or last
            self._metrics.retries.labels(last.outcome.code.name.lower()).inc()

    async def _attempt(
        self,
        call: Call,
        endpoint: EndpointSpec,
        deliver: Callable[[EndpointResponse], Awaitable[Outcome]],
        has_responded: Callable[[], bool],
    ) -> ForwardResult:
        def on_headers(headers: Mapping[str, str]) -> None:
            self._apply_headers(endpoint, headers)

        now = self._clock()
        async with open_attempt(self._session, endpoint, call, now, on_headers) as response:
            if isinstance(response, EndpointResponse):
                outcome = await deliver(response)
                self._record_health(endpoint.name, outcome, now, response.status)
                is_final = outcome.code is ResultCode.CALLER_GONE or isinstance(outcome, Completed)
                return ForwardResult(outcome, is_final or has_responded(), endpoint.name)
        self._record_health(endpoint.name, response, now)
        return ForwardResult(response, False, endpoint.name)

    def _apply_headers(self, endpoint: EndpointSpec, headers: Mapping[str, str]) -> None:
        report = decode_load_header(headers.get(LOAD_HEADER, "[]"))
        refused = headers.get(VERDICT_HEADER) == StartVerdict.WRONG_INCARNATION.value
        if report is not None and not refused:
            self._placement.set_incarnation(endpoint.name, endpoint.incarnation)
            self._placement.apply_report(endpoint.name, report, self._clock())

    def _record_health(
        self, name: str, outcome: Outcome, started_at: float, status: int = 0
    ) -> None:
        """Record the result of an attempt in its endpoint's health."""
        now, outliers = self._clock(), self._placement.outliers
        match outcome:
            case Completed() if status not in UNHEALTHY_STATUSES:
                outliers.record_success(name)
                self._budget.record_success(now)
            case NotRun(code=ResultCode.ENDPOINT_UNREACHABLE):
                self._count_ejection(outliers.record_failure(name, now, immediate=True))
            case NotRun() | Unknown(code=ResultCode.CALLER_GONE):
                return
            case Unknown(code=ResultCode.DEADLINE_EXCEEDED) if now - started_at < HANG_THRESHOLD_S:
                # A caller with a short deadline must not get an endpoint ejected.
                return
            case _:
                self._count_ejection(outliers.record_failure(name, now))

    def _may_retry(self, call: Call, outcome: Outcome) -> bool:
        if isinstance(outcome, NotRun) and outcome.code not in BUDGETED_REFUSALS:
            return True
        if isinstance(outcome, Unknown) and not _is_repeatable(call):
            return False
        if self._clock() >= call.deadline:
            return False
        if self._budget.acquire(self._clock()):
            return True
        self._metrics.retries_refused.labels(outcome.code.name.lower()).inc()
        return False

    def _count_choice(self, choice: Choice) -> None:
        match choice:
            case Chosen(warm=warm, is_remote=is_remote):
                prefix = "hit" if warm else "miss"
                self._metrics.placements.labels(prefix, "remote" if is_remote else "local").inc()

    def _count_ejection(self, ejected: bool) -> None:
        if ejected:
            self._metrics.ejections.inc()


def explain_choice(choice: Choice) -> NotRun:
    """Return the refusal that follows from a choice without an endpoint."""
    match choice:
        case NoCapacity(retry_after=retry_after):
            return NotRun(ResultCode.QUEUE_FULL, "every endpoint is full", retry_after)
        case TooLate(wait=wait):
            reason = f"the deadline cannot be met: no endpoint begins within {wait:.1f} s"
            return NotRun(ResultCode.DEADLINE_UNREACHABLE, reason, wait)
        case NoEndpoint() | Chosen():
            reason = "no endpoint serves this now"
            return NotRun(ResultCode.NO_ENDPOINT, reason, NO_ENDPOINT_RETRY_AFTER_S)


def _is_repeatable(call: Call) -> bool:
    return not isinstance(call.work, ApplicationCall) or call.work.repeatable
