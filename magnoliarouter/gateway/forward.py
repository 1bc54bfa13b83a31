"""Carries a call through attempts at endpoints until it is answered or given up.

A call goes to another endpoint if the last one proves that it did not run, or if it may be
repeated and the shared budget of repeats allows it. A stream that may be resumed goes on behind
the last event that the caller has.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from magnoliarouter.core.outcome import Completed, NotRun, Outcome, ResultCode, Unknown
from magnoliarouter.gateway.frames import FrameSplitter
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.upstream import Broken, Fault

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.core.retries import SharedRetryBudget
    from magnoliarouter.gateway.call import AnswerTerms, GatewayCall, HeaderCodec
    from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
    from magnoliarouter.gateway.waiting import WaitingRoom
    from magnoliarouter.telemetry.metrics import Metrics
    from magnoliarouter.web.ingress import IngressExchange
    from magnoliarouter.web.upstream import AnswerHead, UpstreamConnection, UpstreamPool

__all__ = ["GatewayForwarder"]

# Endpoints that could not be connected to, after which a call is refused as not run.
MAX_UNREACHABLE = 4
# A refusal for want of room names about the time in which a full queue is served.
ROOM_RETRY_S = 0.8
# An endpoint that is silent for so long before or between events has failed or stands still;
# callers leave after two seconds.
SILENCE_S = 1.2
# Targets after which a call that got no place is refused; callers leave after five.
WAIT_SHARE = 3.0
# Part of the target within which a call must get its place to be answered on time: a stream's
# first event takes some 0.2 s of 0.4 s.
FRESH_SHARE = 0.5
# Part of the time left that the first attempt of a repeatable request gets.
FIRST_TRY_SHARE = 0.5
MIN_TRY_S = 0.1

T = TypeVar("T")


@dataclass(slots=True)
class _Whole:
    """Answer that was read whole."""

    status: int
    terms: AnswerTerms
    body: bytes


@dataclass(slots=True)
class _Failed:
    """Attempt without an answer for the caller.

    `ran` is None where it is not known whether the request ran.
    """

    code: ResultCode
    reason: str
    ran: bool | None
    sent: bool = True
    answer: _Whole | None = None


@dataclass(slots=True)
class _Progress:
    """How far a call has come."""

    tried: set[str] = field(default_factory=set)
    sends: int = 0
    unreachable: int = 0
    in_doubt: bool = False
    last: _Failed | None = None
    splitter: FrameSplitter = field(default_factory=FrameSplitter)


class GatewayForwarder:
    """Forwards the calls of one daemon.

    Parameters
    ----------
    table : EndpointTable
        Endpoints and their load.
    waiting : WaitingRoom
        Queue for places at endpoints.
    pool : UpstreamPool
        Connections to endpoints.
    codec : HeaderCodec
        Spelling of header fields.
    budget : SharedRetryBudget
        This daemon's share of the repeats that each service may get.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Counters of retries and refusals.
    on_load : callable
        Called when the load that this daemon puts on endpoints has changed.
    """

    def __init__(
        self,
        table: EndpointTable,
        waiting: WaitingRoom,
        pool: UpstreamPool,
        codec: HeaderCodec,
        budget: SharedRetryBudget,
        clock: Callable[[], float],
        metrics: Metrics,
        on_load: Callable[[], None] = lambda: None,
    ) -> None:
        self._table = table
        self._waiting = waiting
        self._pool = pool
        self._codec = codec
        self._budget = budget
        self._clock = clock
        self._metrics = metrics
        self._on_load = on_load

    async def forward(
        self, call: GatewayCall, exchange: IngressExchange, recheck: Callable[[], NotRun | None]
    ) -> Outcome:
        """Bring a call to an end.

        Parameters
        ----------
        call : GatewayCall
            The call.
        exchange : IngressExchange
            Where an endpoint's answer goes.
        recheck : callable
            Returns a refusal if the call may be sent no longer; asked before every send.

        Returns
        -------
        Completed, NotRun or Unknown
            The caller has been answered only if it is `Completed`.
        """
        self._budget.note_request(call.service, self._clock())
        progress = _Progress(splitter=FrameSplitter(call.terms.resume_after))
        while True:
            refusal = self._check(call, exchange, progress, recheck)
            if refusal is not None:
                return await self._give_up(call, exchange, progress, refusal)
            endpoint = await self._waiting.take(
                call.service,
                progress.tried,
                call.urgency,
                self._limit_wait(call),
                call.began + FRESH_SHARE * call.route.target_s,
            )
            if endpoint is None:
                return await self._give_up(call, exchange, progress, self._explain(call.service))
            try:
                refusal = self._check_send(call, exchange, progress, recheck)
                if refusal is None:
                    progress.tried.add(endpoint.identity)
                    self._on_load()
                    result = await self._attempt(call, exchange, endpoint, progress)
            finally:
                self._table.end(endpoint.identity)
                self._waiting.wake()
                self._on_load()
            if refusal is not None:
                return await self._give_up(call, exchange, progress, refusal)
            if isinstance(result, Completed):
                return result
            self._note_failure(call, endpoint, progress, result)
            if not self._may_go_on(call, progress, result):
                return await self._give_up(call, exchange, progress, None)
            if result.sent:
                self._metrics.retries.labels(_name(result)).inc()

    def _log_send(self, call: GatewayCall, endpoint: Endpoint, progress: _Progress) -> None:
        now = self._clock()
        if progress.sends == 1:
            self._metrics.queued.observe(now - call.began)
        log_event(
            "attempt",
            request_id=call.terms.request_id.decode("latin-1"),
            attempt=progress.sends,
            endpoint=endpoint.identity,
            zone=endpoint.zone,
            load=self._table.load_of(endpoint.identity, now),
            slots=endpoint.slots,
            version=call.version,
            waited=round(now - call.began, 4),
            left=round(call.deadline - now, 4),
            after_event=(progress.splitter.last_id or b"").decode("latin-1"),
        )

    def _check(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        progress: _Progress,
        recheck: Callable[[], NotRun | None],
    ) -> NotRun | None:
        if exchange.gone:
            return NotRun(ResultCode.CALLER_GONE, "the caller went away")
        if self._clock() >= call.deadline:
            return NotRun(ResultCode.DEADLINE_EXCEEDED, "no endpoint took it in time")
        if progress.unreachable >= MAX_UNREACHABLE:
            reason = f"{progress.unreachable} endpoints could not be connected to"
            wait_s = self._table.guess_return(call.service, self._clock())
            return NotRun(ResultCode.ENDPOINT_UNREACHABLE, reason, wait_s)
        return recheck()

    def _check_send(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        progress: _Progress,
        recheck: Callable[[], NotRun | None],
    ) -> NotRun | None:
        """Return why the next send may not be made, or None; a repeat draws on the budget."""
        refusal = self._check(call, exchange, progress, recheck)
        if refusal is None and progress.sends:
            if not self._budget.take(call.service, self._clock()):
                self._metrics.retries_refused.labels(_name(progress.last)).inc()
                reason = "the budget of repeats is used up"
                refusal = NotRun(ResultCode.RETRY_BUDGET, reason, ROOM_RETRY_S)
        return refusal

    def _limit_wait(self, call: GatewayCall) -> float:
        now = self._clock()
        return min(call.began + WAIT_SHARE * call.route.target_s, call.deadline) - now

    def _explain(self, service: str) -> NotRun:
        if self._table.is_known(service):
            return NotRun(ResultCode.QUEUE_FULL, "every endpoint is full", ROOM_RETRY_S)
        return NotRun(ResultCode.NO_ENDPOINT, "no endpoint serves this now", ROOM_RETRY_S)

    async def _give_up(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        progress: _Progress,
        refusal: NotRun | None,
    ) -> Outcome:
        """Return the outcome of a call that goes to no further endpoint."""
        last = progress.last
        if exchange.started:
            exchange.abort()
            return Unknown(ResultCode.STREAM_TRUNCATED, last.reason if last else "broken off")
        if last is not None and last.answer is not None and self._may_relay(call, last.answer):
            return await self._relay(exchange, last.answer)
        if progress.in_doubt:
            # One attempt that may have run forbids to call the whole request not run.
            assert last is not None
            code = last.code if last.ran is not False else ResultCode.ENDPOINT_ERROR
            return Unknown(code, last.reason)
        if last is not None and (refusal is None or refusal.code is ResultCode.DEADLINE_EXCEEDED):
            return NotRun(
                last.code, last.reason, self._table.guess_return(call.service, self._clock())
            )
        return refusal or self._explain(call.service)

    @staticmethod
    def _may_relay(call: GatewayCall, answer: _Whole) -> bool:
        """Return whether a failure may reach the caller as the endpoint gave it.

        A status that promises "not run" is relayed only where a second run does no harm.
        """
        if answer.terms.not_run or not answer.terms.signed:
            return False
        return call.route.repeatable or answer.status not in (408, 421, 429, 503)

    async def _relay(self, exchange: IngressExchange, answer: _Whole) -> Completed:
        await exchange.send(answer.status, answer.terms.passed, answer.body)
        return Completed(ResultCode.OK, answer.status)

    def _note_failure(
        self, call: GatewayCall, endpoint: Endpoint, progress: _Progress, result: _Failed
    ) -> None:
        now = self._clock()
        progress.last = result
        if not result.sent:
            progress.unreachable += 1
            progress.tried |= self._table.list_beside(endpoint)
            self._note_ejection(endpoint, now, at_once=True)
        elif result.ran is False:
            self._table.note_full(endpoint.identity, now)
        else:
            progress.in_doubt = True
            self._note_ejection(endpoint, now, at_once=False)
        log_event(
            "attempt_failed",
            request_id=call.terms.request_id.decode("latin-1"),
            attempt=progress.sends,
            endpoint=endpoint.identity,
            load=self._table.load_of(endpoint.identity, now),
            code=int(result.code),
            reason=result.reason,
            ran=result.ran,
            waited=round(now - call.began, 4),
            important=True,
        )

    def _note_ejection(self, endpoint: Endpoint, now: float, at_once: bool) -> None:
        if self._table.outliers.note_failure(endpoint.identity, now, at_once):
            self._metrics.ejections.inc()
            log_event("endpoint_suspected", endpoint=endpoint.identity)

    def _may_go_on(self, call: GatewayCall, progress: _Progress, result: _Failed) -> bool:
        if not result.sent:
            return True
        if progress.sends >= call.route.attempts:
            return False
        return result.ran is False or call.route.repeatable

    async def _attempt(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        endpoint: Endpoint,
        progress: _Progress,
    ) -> Completed | _Failed:
        connection: UpstreamConnection | None = None
        try:
            connection = await self._pool.take(endpoint.address)
            left = call.deadline - self._clock()
            fields = self._codec.write_attempt(
                call, endpoint.identity, left, progress.splitter.last_id
            )
            progress.sends += 1
            self._log_send(call, endpoint, progress)
            connection.send(_encode_request(call, fields), call.method == b"HEAD")
            result = await self._read_answer(call, exchange, connection, progress)
        except Broken as error:
            result = _describe(error)
        finally:
            if connection is not None:
                self._pool.give_back(endpoint.address, connection)
        if isinstance(result, Completed):
            self._table.note_served(endpoint, self._clock())
        return result

    async def _read_answer(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        connection: UpstreamConnection,
        progress: _Progress,
    ) -> Completed | _Failed:
        found = await self._wait_for(call, progress, lambda: self._read_own_head(call, connection))
        if isinstance(found, _Failed):
            return found
        head, terms = found
        if call.route.kind is RouteKind.STREAM and head.status == 200:
            return await self._relay_stream(call, exchange, connection, terms, progress)
        left = max(0.0, call.deadline - self._clock())
        try:
            async with asyncio.timeout(left):
                body = await connection.read_body()
        except TimeoutError:
            reason = f"the rest of the answer did not come within {left:.3f} s"
            return _Failed(ResultCode.DEADLINE_EXCEEDED, reason, None)
        return await self._judge(call, exchange, _Whole(head.status, terms, body))

    async def _wait_for(
        self, call: GatewayCall, progress: _Progress, read: Callable[[], Awaitable[T]]
    ) -> T | _Failed:
        """Return what an endpoint sends next.

        An endpoint that is silent is given up before the deadline only for another one that has a
        place: elsewhere the call would have to wait as well.
        """
        while True:
            limit = self._limit_try(call, progress)
            try:
                async with asyncio.timeout(limit):
                    return await read()
            except TimeoutError:
                now = self._clock()
                if now < call.deadline and not self._could_move(call, progress, now):
                    continue
                reason = f"nothing came within {limit:.3f} s"
                return _Failed(ResultCode.DEADLINE_EXCEEDED, reason, None)

    def _could_move(self, call: GatewayCall, progress: _Progress, now: float) -> bool:
        return (
            self._budget.has(call.service, now)
            and self._table.choose(call.service, progress.tried, now) is not None
        )

    async def _read_own_head(
        self, call: GatewayCall, connection: UpstreamConnection
    ) -> tuple[AnswerHead, AnswerTerms]:
        """Return the head of this request's answer, passing over late answers to others."""
        while True:
            head = await connection.read_head()
            terms = self._codec.read_answer(head.status, head.fields)
            connection.note_keep(terms.keep_s)
            if terms.request_id in (None, call.terms.request_id):
                return head, terms
            self._metrics.dropped_answers.labels("other_request").inc()
            log_event(
                "answer_dropped",
                request_id=call.terms.request_id.decode("latin-1"),
                answered=terms.request_id.decode("latin-1"),
            )
            await connection.read_body()

    def _limit_try(self, call: GatewayCall, progress: _Progress) -> float:
        """Return the seconds within which an attempt has to answer."""
        left = max(0.0, call.deadline - self._clock())
        if not call.route.repeatable or progress.sends >= call.route.attempts:
            return left
        if call.route.kind is RouteKind.STREAM:
            return min(left, SILENCE_S)
        return min(left, max(MIN_TRY_S, left * FIRST_TRY_SHARE))

    async def _judge(
        self, call: GatewayCall, exchange: IngressExchange, answer: _Whole
    ) -> Completed | _Failed:
        terms = answer.terms
        if terms.not_run:
            code = ResultCode.ENDPOINT_REFUSED if terms.misdirected else ResultCode.QUEUE_FULL
            return _Failed(code, f"endpoint refused with status {answer.status}", ran=False)
        if 200 <= answer.status < 500:
            if not terms.signed and answer.status < 300:
                return _Failed(ResultCode.WRONG_ATTEMPT, "answer without a signature", None)
            if self._may_relay(call, answer):
                return await self._relay(exchange, answer)
        reason = f"endpoint answered {answer.status}"
        return _Failed(ResultCode.ENDPOINT_ERROR, reason, True, answer=answer)

    async def _relay_stream(
        self,
        call: GatewayCall,
        exchange: IngressExchange,
        connection: UpstreamConnection,
        terms: AnswerTerms,
        progress: _Progress,
    ) -> Completed | _Failed:
        if not terms.signed:
            return _Failed(ResultCode.WRONG_ATTEMPT, "answer without a signature", None)
        splitter = progress.splitter
        splitter.restart()
        last = self._clock()
        while True:
            part = await self._read_part(call, connection, progress)
            if isinstance(part, _Failed):
                return part
            if part is None:
                break
            events = splitter.feed(part)
            if not events:
                continue
            now = self._clock()
            if exchange.started:
                self._metrics.inter_token.observe(now - last)
                await exchange.write(events)
            else:
                self._metrics.first_token.observe(now - call.began)
                exchange.start(200, terms.passed, events)
            last = now
        if not exchange.started:
            exchange.start(200, terms.passed, bytes(splitter.rest))
        elif splitter.rest:
            await exchange.write(bytes(splitter.rest))
        await exchange.finish()
        return Completed(ResultCode.OK, 200)

    async def _read_part(
        self, call: GatewayCall, connection: UpstreamConnection, progress: _Progress
    ) -> bytes | None | _Failed:
        try:
            return await self._wait_for(call, progress, connection.read_part)
        except Broken as error:
            return _describe(error)


def _describe(error: Broken) -> _Failed:
    if error.fault is Fault.UNREACHABLE:
        return _Failed(ResultCode.ENDPOINT_UNREACHABLE, str(error), ran=False, sent=False)
    code = (
        ResultCode.STREAM_TRUNCATED if error.fault is Fault.TRUNCATED else ResultCode.ENDPOINT_ERROR
    )
    return _Failed(code, str(error), ran=None)


def _name(failed: _Failed | None) -> str:
    return failed.code.name.lower() if failed is not None else ""


def _encode_request(call: GatewayCall, fields: list[tuple[bytes, bytes]]) -> bytes:
    lines = [call.method + b" " + call.target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in fields]
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + call.body
