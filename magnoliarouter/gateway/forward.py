"""Forwards a call to endpoints, with retries, until it completes or is abandoned.

A call is retried at another endpoint if the last attempt provably did not run, or if the route
allows repeated runs. Each retry of a request that was sent draws on the shared retry budget. A
resumable stream continues after the last event that the caller received.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.core.coldstart import parse_cold
from magnoliarouter.core.outcome import Completed, NotRun, Outcome, ResultCode, Unknown
from magnoliarouter.core.sharedrate import NO_LIMIT
from magnoliarouter.gateway.attempt import (
    AttemptRunner,
    CallProgress,
    FailedAttempt,
    may_relay,
    relay,
)
from magnoliarouter.gateway.frames import FrameSplitter
from magnoliarouter.gateway.notices import parse_pause
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.core.retries import SharedRetryBudget
    from magnoliarouter.gateway.call import GatewayCall, HeaderCodec, ResponseHeaders
    from magnoliarouter.gateway.crashwatch import CrashWatch
    from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
    from magnoliarouter.gateway.groupwatch import GroupWatch
    from magnoliarouter.gateway.pauses import EventGapMeter
    from magnoliarouter.gateway.waiting import WaitQueue
    from magnoliarouter.gateway.zonewatch import ZoneWatch
    from magnoliarouter.telemetry.metrics import Metrics
    from magnoliarouter.web.ingress import IngressExchange
    from magnoliarouter.web.memory import ByteBudget
    from magnoliarouter.web.upstream import UpstreamPool

__all__ = ["GatewayForwarder"]

# Failed connections after which a call is refused as not run.
MAX_UNREACHABLE_ENDPOINTS = 4
# Retry-After of a refusal for lack of free capacity: about the time to serve a full wait queue.
FULL_RETRY_AFTER_S = 0.8
# Maximum wait for a concurrency slot, in multiples of the route's target latency. Callers give up
# after five times the target.
QUEUE_TIMEOUT_TARGETS = 3.0
# Callers that are told to return when the pauses of all endpoints have ended are spread over this
# share of the wait, and over this time at least.
PAUSE_SPREAD_SHARE = 0.5
MIN_PAUSE_SPREAD_S = 0.2
# Callers leave a stream after a gap of this time, or of these multiples of the target latency and of
# the longest acceptable event gap, whichever is longest.
STREAM_PATIENCE_S = 2.0
STREAM_PATIENCE_TARGETS = 4.0
STREAM_PATIENCE_GAPS = 8.0
# Time for an endpoint to resume a stream: to read its prompt again and to generate an event.
RESUME_S = 0.3
# Urgency of a stream that has started; routes have 0 and more.
STARTED_URGENCY = -1
# Share of the target latency within which a call must get its slot to meet the target: the first
# event of a stream takes about 0.2 s of a target of 0.4 s.
ON_TIME_START_SHARE = 0.5
# Time that an endpoint needs for a call whose own deadline is later than the end of this daemon.
MIN_CALL_S = 2.0
# Time in which a caller that connects again reaches another daemon.
STOP_RETRY_AFTER_S = 0.3


class GatewayForwarder:
    """Forwards calls to endpoints and retries them.

    Parameters
    ----------
    table : EndpointTable
        Endpoints and their load.
    waiting : WaitQueue
        Queue of calls that wait for a concurrency slot.
    pool : UpstreamPool
        Connections to endpoints.
    codec : HeaderCodec
        Parses and builds the header fields of the platform.
    budget : SharedRetryBudget
        This daemon's share of each service's retry budget.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Counters of retries and refusals.
    groups : GroupWatch
        Stalled groups.
    zones : ZoneWatch
        Unreachable zones.
    gap_meter : EventGapMeter
        Receives the gaps between the events of streams.
    crashes : CrashWatch
        Crashes of endpoints, and the prompts that cause them.
    on_load_change : callable
        Called when the number of this daemon's requests at an endpoint has changed.
    memory : ByteBudget, optional
        Bytes that the large responses of all calls may hold together.
    """

    def __init__(
        self,
        table: EndpointTable,
        waiting: WaitQueue,
        pool: UpstreamPool,
        codec: HeaderCodec,
        budget: SharedRetryBudget,
        clock: Callable[[], float],
        metrics: Metrics,
        groups: GroupWatch,
        zones: ZoneWatch,
        gap_meter: EventGapMeter,
        crashes: CrashWatch,
        on_load_change: Callable[[], None] = lambda: None,
        memory: ByteBudget | None = None,
    ) -> None:
        self._table = table
        self._waiting = waiting
        self._budget = budget
        self._clock = clock
        self._metrics = metrics
        self._groups = groups
        self._zones = zones
        self._crashes = crashes
        self._on_load_change = on_load_change
        self._finish_by = float("inf")
        self._calls: set[GatewayCall] = set()
        self._attempts = AttemptRunner(
            table,
            pool,
            codec,
            budget,
            clock,
            metrics,
            gap_meter,
            groups.list_members,
            self._suspect,
            self._apply_notices,
            crashes.record_answer,
            memory,
        )

    async def forward(
        self, call: GatewayCall, exchange: IngressExchange, recheck: Callable[[], NotRun | None]
    ) -> Outcome:
        """Forward a call until it completes or no further attempt is possible.

        Parameters
        ----------
        call : GatewayCall
            The call.
        exchange : IngressExchange
            Receives the endpoint's response.
        recheck : callable
            Returns a refusal if the call may no longer be sent; called before every send.

        Returns
        -------
        Completed, NotRun or Unknown
            For `Completed`, the caller already has its response. Otherwise it has none, except for
            the events of a stream that was cut off.
        """
        call.finish_by(self._finish_by)
        self._calls.add(call)
        try:
            return await self._forward(call, exchange, recheck)
        finally:
            self._calls.discard(call)

    def finish_by(self, at: float) -> None:
        """Finish all calls by a loop time, because this daemon stops.

        Calls that are not sent by then are refused as soon as too little time is left for them.
        """
        self._finish_by = at
        for call in self._calls:
            call.finish_by(at)
        self._attempts.finish_by(at)
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, at - MIN_CALL_S - self._clock()), self._waiting.wake)

    def _find_stop_refusal(self, call: GatewayCall, exchange: IngressExchange) -> NotRun | None:
        """Return the refusal of a call for which too little time is left before this daemon stops.

        The next events of a stream whose caller is reading are of use also if its end is not reached.
        """
        if not call.cut_short or exchange.started or call.deadline - self._clock() >= MIN_CALL_S:
            return None
        return NotRun(ResultCode.DRAINING, "this daemon is stopping", STOP_RETRY_AFTER_S)

    async def _forward(
        self, call: GatewayCall, exchange: IngressExchange, recheck: Callable[[], NotRun | None]
    ) -> Outcome:
        self._budget.record_request(call.service, self._clock())
        self._crashes.record_prompt(call)
        progress = CallProgress(splitter=FrameSplitter(call.headers.resume_after))
        work = call.estimate_work()
        while True:
            refusal = self._check(call, exchange, progress, recheck)
            if refusal is not None:
                return await self._finish(call, exchange, progress, refusal)
            endpoint = await self._waiting.acquire(
                call.service,
                progress.tried,
                # A stream that its caller is reading continues before any new call starts.
                STARTED_URGENCY if exchange.started else call.urgency,
                self._queue_timeout_s(call, exchange, progress),
                call.admitted_at + ON_TIME_START_SHARE * call.route.target_latency_s,
                waits_for_pauses=exchange.started,
                may_wait=lambda: (
                    self._crashes.find_refusal(call) is None
                    and self._find_stop_refusal(call, exchange) is None
                ),
                work=work,
                customer=call.tenant or "",
            )
            if endpoint is None or isinstance(endpoint, NotRun):
                refusal = (
                    self._crashes.find_refusal(call)
                    or self._find_stop_refusal(call, exchange)
                    or self._refuse_unplaced(call.service, progress.tried, endpoint)
                )
                return await self._finish(call, exchange, progress, refusal)
            sends, placed_at = progress.sends, self._clock()
            try:
                refusal = self._check_send(call, exchange, progress, recheck)
                if refusal is None:
                    progress.tried.add(endpoint.identity)
                    self._on_load_change()
                    result = await self._attempts.run(call, exchange, endpoint, progress)
            finally:
                if progress.sends > sends:
                    self._table.finish_request(endpoint.identity, work)
                else:
                    self._table.cancel_request(endpoint, self._clock(), work)
                self._waiting.wake()
                self._on_load_change()
            if refusal is not None:
                return await self._finish(call, exchange, progress, refusal)
            if isinstance(result, Completed):
                self._waiting.record_hold(call.service, self._clock() - placed_at)
                return result
            self._record_failure(call, endpoint, progress, result)
            others = max(progress.others, self._table.load_of(endpoint.identity, self._clock()))
            if await self._crashes.examine(call, endpoint, progress, result, others):
                self._metrics.retries_refused.labels(_code_label(result)).inc()
                return await self._finish(call, exchange, progress, None)
            if not self._may_retry(call, progress, result):
                return await self._finish(call, exchange, progress, None)
            if result.sent:
                self._metrics.retries.labels(_code_label(result)).inc()

    def _check(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        progress: CallProgress,
        recheck: Callable[[], NotRun | None],
    ) -> NotRun | None:
        if exchange.caller_gone:
            return NotRun(ResultCode.CALLER_GONE, "the caller went away")
        quarantined = self._crashes.find_refusal(call)
        if quarantined is not None:
            return quarantined
        stopping = self._find_stop_refusal(call, exchange)
        if stopping is not None:
            return stopping
        if self._clock() >= call.send_until:
            return NotRun(ResultCode.DEADLINE_EXCEEDED, "no endpoint took it in time")
        if progress.unreachable >= MAX_UNREACHABLE_ENDPOINTS:
            reason = f"{progress.unreachable} endpoints could not be connected to"
            wait_s = self._table.estimate_recovery_s(call.service, self._clock())
            return NotRun(ResultCode.ENDPOINT_UNREACHABLE, reason, wait_s)
        return recheck()

    def _check_send(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        progress: CallProgress,
        recheck: Callable[[], NotRun | None],
    ) -> NotRun | None:
        """Return why the next send is refused, or None; a retry draws on the budget."""
        refusal = self._check(call, exchange, progress, recheck)
        if refusal is None and progress.sends:
            if not self._budget.acquire(call.service, self._clock()):
                self._metrics.retries_refused.labels(_code_label(progress.last_failure)).inc()
                reason = "the budget of repeats is used up"
                refusal = NotRun(ResultCode.RETRY_BUDGET, reason, FULL_RETRY_AFTER_S)
        return refusal

    def move_streams(self, identities: Iterable[str]) -> None:
        """Move the streams at slow endpoints to others, since they delay all of their group."""
        for identity in identities:
            moved = self._attempts.move_streams(identity)
            if moved:
                log_event("streams_moved", endpoint=identity, streams=moved)

    def _queue_timeout_s(
        self, call: GatewayCall, exchange: IngressExchange, progress: CallProgress
    ) -> float:
        """Return the seconds that a call may wait for a concurrency slot."""
        now = self._clock()
        if exchange.started:
            patience_s = max(
                STREAM_PATIENCE_S,
                STREAM_PATIENCE_TARGETS * call.route.target_latency_s,
                STREAM_PATIENCE_GAPS * (call.route.max_event_gap_s or 0.0),
            )
            return min(progress.last_event_at + patience_s - RESUME_S, call.send_until) - now
        return (
            min(
                call.admitted_at + QUEUE_TIMEOUT_TARGETS * call.route.target_latency_s,
                call.send_until,
            )
            - now
        )

    def _refuse_unplaced(self, service: str, tried: set[str], full: NotRun | None = None) -> NotRun:
        now = self._clock()
        if full is not None and full.code is not ResultCode.QUEUE_FULL:
            return full
        pause_end = self._table.find_pause_end(service, tried, now)
        if pause_end is not None:
            reason = "every endpoint asked for a pause"
            return NotRun(ResultCode.ENDPOINTS_PAUSED, reason, self._spread_return(pause_end - now))
        if self._table.has_endpoints(service) and not self._table.has_available_endpoint(service):
            wait_s = self._table.estimate_recovery_s(service, self._clock())
            reason = "every endpoint is cut off or stands still"
            return NotRun(ResultCode.SERVICE_STALLED, reason, wait_s)
        rate_wait_s = self._waiting.estimate_rate_wait_s(service, tried)
        if rate_wait_s > 0:
            reason = "every endpoint takes no more requests per second"
            return NotRun(ResultCode.ENDPOINTS_LIMITED, reason, self._spread_return(rate_wait_s))
        if self._table.has_only_evacuated(service):
            reason = "every endpoint is in an evacuated availability zone"
            wait_s = self._table.estimate_recovery_s(service, now)
            return NotRun(ResultCode.ENDPOINTS_EVACUATED, reason, self._spread_return(wait_s))
        if full is not None:
            return full
        if self._table.has_endpoints(service):
            return NotRun(ResultCode.QUEUE_FULL, "every endpoint is full", FULL_RETRY_AFTER_S)
        return NotRun(ResultCode.NO_ENDPOINT, "no endpoint serves this now", FULL_RETRY_AFTER_S)

    async def _finish(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        progress: CallProgress,
        refusal: NotRun | None,
    ) -> Outcome:
        """Return the outcome of a call that gets no further attempt."""
        last = progress.last_failure
        if exchange.started:
            exchange.abort()
            return Unknown(ResultCode.STREAM_TRUNCATED, last.reason if last else "broken off")
        if last is not None and last.response is not None and may_relay(call, last.response):
            return await relay(exchange, last.response)
        if progress.outcome_unknown:
            # The request must not be reported as not run if any attempt may have run.
            assert last is not None
            code = last.code if last.ran is not False else ResultCode.ENDPOINT_ERROR
            return Unknown(code, last.reason)
        if last is not None and (refusal is None or refusal.code is ResultCode.DEADLINE_EXCEEDED):
            return NotRun(
                last.code, last.reason, self._table.estimate_recovery_s(call.service, self._clock())
            )
        return refusal or self._refuse_unplaced(call.service, progress.tried)

    def _spread_return(self, wait_s: float) -> float:
        """Return a wait in seconds that differs from caller to caller."""
        spread_s = max(MIN_PAUSE_SPREAD_S, PAUSE_SPREAD_SHARE * wait_s)
        return wait_s + spread_s * self._table.random.random()

    def record_leaving(self, endpoint: Endpoint, source: str) -> None:
        """Send no further request to an endpoint that said that it is leaving.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        source : str
            Kind of the message that said so, for the log.
        """
        if self._table.notices.record_leaving(endpoint):
            self._metrics.notices.labels("leaving").inc()
            log_event(
                "endpoint_leaving",
                endpoint=endpoint.identity,
                started_ms=endpoint.started_ms,
                source=source,
            )
            self._waiting.wake()

    def _apply_notices(self, endpoint: Endpoint, headers: ResponseHeaders, sent_at: float) -> None:
        if headers.leaving:
            self.record_leaving(endpoint, "response")
        if headers.pause is not None:
            self._record_pause(endpoint, headers.pause)
        if headers.cold is not None:
            self._record_cold(endpoint, headers.cold, sent_at)
        # A refusal or an unsigned response may lack the field of an endpoint that names a rate.
        if headers.rate is not None or (headers.signed and not headers.not_run):
            self._record_rate(endpoint, headers.rate, sent_at)

    def _record_malformed(self, endpoint: Endpoint, kind: str, error: ValueError) -> None:
        if self._table.notices.record_malformed(endpoint, kind):
            log_event(f"{kind}_malformed", endpoint=endpoint.identity, reason=str(error))
        self._metrics.notices.labels("malformed").inc()

    def _record_cold(self, endpoint: Endpoint, value: bytes, sent_at: float) -> None:
        rates, now = self._table.rates, self._clock()
        try:
            turned_cold = rates.record_cold_response(endpoint, parse_cold(value), sent_at, now)
        except ValueError as error:
            self._record_malformed(endpoint, "cold", error)
            return
        if turned_cold:
            self.report_cold(endpoint, "response")
            self._on_load_change()

    def report_cold(self, endpoint: Endpoint, source: str) -> None:
        """Log that an endpoint turned cold.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        source : str
            ``"response"``, ``"registry"``, ``"failure"``, or the name of the daemon that reported
            it.
        """
        now = self._clock()
        self._metrics.notices.labels("cold").inc()
        log_event(
            "endpoint_cold",
            endpoint=endpoint.identity,
            started_ms=endpoint.started_ms,
            seconds=round(self._table.rates.cold_s(endpoint, now), 3),
            rate=round(self._table.rates.limit_of(endpoint, now), 3),
            share=round(self._table.rates.read_share(), 3),
            source=source,
        )

    def _record_rate(self, endpoint: Endpoint, value: bytes | None, sent_at: float) -> None:
        try:
            changed = self._table.rates.record_response(endpoint, value, sent_at, self._clock())
        except ValueError as error:
            self._record_malformed(endpoint, "rate", error)
            return
        if changed:
            self.report_rate(endpoint, "response")
            self._on_load_change()

    def report_rate(self, endpoint: Endpoint, source: str) -> None:
        """Log that the rate of an endpoint has changed, and place waiting calls anew.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        source : str
            ``"response"``, or the name of the daemon that reported it.
        """
        rate = self._table.rates.rate_of(endpoint)
        self._metrics.notices.labels("rate").inc()
        log_event(
            "endpoint_rate",
            endpoint=endpoint.identity,
            started_ms=endpoint.started_ms,
            rate=rate if rate < NO_LIMIT else None,
            share=round(self._table.rates.read_share(), 3),
            source=source,
        )
        self._waiting.wake()

    def _record_pause(self, endpoint: Endpoint, value: bytes) -> None:
        try:
            seconds = parse_pause(value)
        except ValueError as error:
            self._record_malformed(endpoint, "pause", error)
            return
        if self._table.notices.record_pause(endpoint, seconds, self._clock()):
            self._metrics.notices.labels("pause").inc()
            log_event(
                "endpoint_paused",
                endpoint=endpoint.identity,
                started_ms=endpoint.started_ms,
                seconds=seconds,
                source="response",
            )
            self._waiting.wake()

    def _record_failure(
        self, call: GatewayCall, endpoint: Endpoint, progress: CallProgress, result: FailedAttempt
    ) -> None:
        now = self._clock()
        progress.last_failure = result
        if result.withheld:
            self._metrics.withheld_requests.inc()
        elif not result.sent:
            progress.unreachable += 1
            self._zones.record_unreachable(endpoint)
            self._groups.suspect(endpoint.identity)
            self._record_outlier_failure(endpoint, now, immediate=True)
            # It may be starting anew, which its registration says later than its connections.
            if self._table.rates.record_start(endpoint, now):
                self.report_cold(endpoint, "failure")
        elif result.ran is False:
            self._table.record_refusal(endpoint.identity, now)
            if result.stalled:
                self._groups.record_stall(endpoint.identity)
            if result.code is ResultCode.ENDPOINT_REFUSED:
                # Another endpoint has taken over the address. Without ejection, this entry would
                # keep the lowest load and attract every call.
                self._record_outlier_failure(endpoint, now, immediate=True)
        else:
            progress.outcome_unknown = True
        if result.sent and result.ran is not False and not (result.moved or result.paused):
            if result.timed_out:
                progress.tried |= self._groups.list_members(endpoint.identity)
                self._suspect(endpoint)
            self._record_outlier_failure(endpoint, now, immediate=False)
        log_event(
            "attempt_failed",
            request_id=call.headers.request_id.decode("latin-1"),
            attempt=progress.sends,
            endpoint=endpoint.identity,
            load=self._table.load_of(endpoint.identity, now),
            code=int(result.code),
            reason=result.reason,
            ran=result.ran,
            stalled=result.stalled,
            broken_off=result.broken_off,
            began=progress.began,
            events=progress.splitter.received,
            silent=round(now - progress.received_at, 4) if result.sent else 0.0,
            waited=round(now - call.admitted_at, 4),
            important=True,
        )

    def _suspect(self, endpoint: Endpoint) -> None:
        """Have the group and the zone of a silent endpoint checked."""
        self._groups.suspect(endpoint.identity)
        self._zones.suspect(endpoint)

    def _record_outlier_failure(self, endpoint: Endpoint, now: float, immediate: bool) -> None:
        if self._table.outliers.record_failure(endpoint.identity, now, immediate):
            self._metrics.ejections.inc()
            log_event("endpoint_suspected", endpoint=endpoint.identity)

    def _may_retry(self, call: GatewayCall, progress: CallProgress, result: FailedAttempt) -> bool:
        if not result.sent:
            return True
        if progress.sends >= call.route.attempts:
            return False
        return result.ran is False or call.route.repeatable


def _code_label(failed: FailedAttempt | None) -> str:
    return failed.code.name.lower() if failed is not None else ""
