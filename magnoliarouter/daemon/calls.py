"""Runs the calls of one entry daemon through the pipeline and records their outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.codes import status_of
from magnoliarouter.core.outcome import (
    Completed,
    NotRun,
    Outcome,
    ResultCode,
    Unknown,
    name_outcome,
)
from magnoliarouter.endpoints.messages import REQUEST_HEADER
from magnoliarouter.pipeline.call import ApplicationCall, ModelCall
from magnoliarouter.pipeline.deadline import deliver_before_deadline
from magnoliarouter.pipeline.deliver import deliver_buffered, deliver_stream
from magnoliarouter.pipeline.identify import identify
from magnoliarouter.pipeline.meter import TokenMeter
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.exchange import CallerGone, Exchange, error_body

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from magnoliarouter.core.keys import KeyIndex
    from magnoliarouter.pipeline.admit import Admission
    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.pipeline.dispatch import EndpointResponse
    from magnoliarouter.pipeline.once import AtMostOnceCalls
    from magnoliarouter.pipeline.queue import WaitQueue
    from magnoliarouter.pipeline.retry import Forwarder, ForwardResult
    from magnoliarouter.store.objects import ServiceSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["CallHandler", "PipelineStages"]

CONFIGURATION_MISSING_OUTCOME = NotRun(
    ResultCode.CONFIGURATION_MISSING, "this daemon does not know the contracts yet", 1.0
)
CALLER_GONE_OUTCOME = Unknown(ResultCode.CALLER_GONE, "the caller went away")


@dataclass(frozen=True, slots=True)
class PipelineStages:
    """Stages of the pipeline, in the order in which a call passes them.

    Parameters
    ----------
    keys : KeyIndex
        Contracts by key.
    services : mapping of str to ServiceSpec
        Services by name.
    admission : Admission
        Enforces the limits of the contract.
    queue : WaitQueue
        Queue before placement.
    forwarder : Forwarder
        Placement, attempts and retries of repeatable calls.
    once_calls : AtMostOnceCalls
        Path of calls that may run only once.
    """

    keys: KeyIndex
    services: Mapping[str, ServiceSpec]
    admission: Admission
    queue: WaitQueue
    forwarder: Forwarder
    once_calls: AtMostOnceCalls


class CallHandler:
    """Handles the calls of customers.

    Parameters
    ----------
    stages : PipelineStages
        Stages of the pipeline.
    default_timeout_s : float
        Seconds until the deadline of a call that names none.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Metrics of the daemon.
    is_synchronized : callable
        Returns whether all contracts have been received.
    """

    def __init__(
        self,
        stages: PipelineStages,
        default_timeout_s: float,
        clock: Callable[[], float],
        metrics: Metrics,
        is_synchronized: Callable[[], bool],
    ) -> None:
        self._stages = stages
        self._default_timeout_s = default_timeout_s
        self._clock = clock
        self._metrics = metrics
        self._is_synchronized = is_synchronized

    async def serve(self, exchange: Exchange) -> None:
        """Respond to one call with its result or with an error."""
        call = identify(
            exchange.request,
            self._stages.keys.by_key,
            self._stages.services,
            self._clock(),
            self._default_timeout_s,
        )
        if isinstance(call, NotRun):
            if call.code is ResultCode.KEY_UNKNOWN and not self._is_synchronized():
                call = CONFIGURATION_MISSING_OUTCOME
            await self._send_error(exchange, call)
            return
        admitted = await self._stages.admission.admit(call)
        if isinstance(admitted, NotRun):
            await self._send_error(exchange, admitted, call=call)
            return
        meter = self._open_meter()
        try:
            with self._metrics.in_flight.track_inprogress():
                await self._forward(exchange, call, meter)
        except asyncio.CancelledError:
            if not exchange.finished:
                self._record_outcome(CALLER_GONE_OUTCOME, call, "", meter.attempt)
            raise
        finally:
            admitted.settle(meter.total_tokens) if meter.may_have_run else admitted.cancel()

    def _open_meter(self) -> TokenMeter:
        metrics = self._metrics
        return TokenMeter(
            self._clock,
            self._clock(),
            metrics.first_token,
            metrics.inter_token,
            metrics.tokens,
        )

    async def _run_once(self, exchange: Exchange, call: Call, meter: TokenMeter) -> None:
        # A caller that disconnects cancels this coroutine, but not the call itself.
        meter.may_have_run = True
        reply = await self._stages.once_calls.run(call)
        meter.may_have_run = not isinstance(reply.outcome, NotRun)
        self._record_outcome(reply.outcome, call, reply.endpoint)
        headers = {REQUEST_HEADER: call.request_id, **reply.headers}
        await exchange.send(reply.status, reply.body, headers)

    async def _forward(self, exchange: Exchange, call: Call, meter: TokenMeter) -> None:
        if isinstance(call.work, ApplicationCall) and not call.work.repeatable:
            await self._run_once(exchange, call, meter)
            return

        async def deliver(response: EndpointResponse) -> Outcome:
            meter.attempt = response.attempt
            if isinstance(call.work, ModelCall):
                meter.prompt_tokens = call.work.prompt_tokens
            return await self._deliver(exchange, call, response, meter)

        async def forward() -> ForwardResult:
            meter.may_have_run = True
            return await self._stages.forwarder.forward(call, deliver, lambda: exchange.started)

        result = await self._stages.queue.forward_when_placeable(call, forward)
        if not result.responded and not isinstance(result.outcome, Completed):
            meter.may_have_run, meter.is_exact = not isinstance(result.outcome, NotRun), False
            await self._send_error(exchange, result.outcome, call=call)
            return
        self._record_outcome(result.outcome, call, result.endpoint, meter.attempt)

    async def _deliver(
        self, exchange: Exchange, call: Call, response: EndpointResponse, meter: TokenMeter
    ) -> Outcome:
        headers = {REQUEST_HEADER: call.request_id}
        try:
            if isinstance(call.work, ModelCall) and call.work.stream and response.status == 200:
                delivery = deliver_stream(exchange, response, headers, meter)
            else:
                delivery = deliver_buffered(exchange, response, headers, meter)
            outcome = await deliver_before_deadline(exchange, delivery, call.deadline, headers)
            meter.is_exact &= (
                outcome.code is not ResultCode.DEADLINE_EXCEEDED or meter.generated_tokens > 0
            )
            return outcome
        except CallerGone:
            return CALLER_GONE_OUTCOME

    async def _send_error(
        self,
        exchange: Exchange,
        outcome: NotRun | Unknown,
        call: Call | None = None,
    ) -> None:
        headers = {REQUEST_HEADER: call.request_id} if call else {}
        if isinstance(outcome, NotRun) and outcome.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(outcome.retry_after)))
        self._record_outcome(outcome, call, "")
        body = error_body(outcome.code, name_outcome(outcome), outcome.reason)
        await exchange.send(status_of(outcome.code), body, headers)

    def _record_outcome(
        self, outcome: Outcome, call: Call | None, endpoint: str, attempt: str = ""
    ) -> None:
        code = outcome.code.name.lower()
        outcome_name = name_outcome(outcome)
        self._metrics.requests.labels(code, outcome_name).inc()
        if isinstance(outcome, NotRun):
            self._metrics.refusals.labels(code).inc()
        log_event(
            "request",
            request_id=call.request_id if call else "",
            customer=call.contract.customer if call else "",
            endpoint=endpoint,
            attempt=attempt,
            code=int(outcome.code),
            outcome=outcome_name,
        )

    def count_rejected(self, code: ResultCode) -> None:
        """Record a request that the HTTP server refused."""
        self._record_outcome(NotRun(code, "rejected by the HTTP server"), None, "")
