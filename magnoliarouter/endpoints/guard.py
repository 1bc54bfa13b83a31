"""Guard: HTTP service in front of one endpoint.

It starts each attempt at most once, refuses attempts addressed to another incarnation (another
start of the guard), and relays the endpoint's response with the attempt's id. A call that may run
only once continues to its end even if the caller disconnects, and its response is kept for later
requests.
"""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from yarl import URL

from magnoliarouter.core.attempts import AttemptTable, StartVerdict
from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.endpoints.execution import (
    WRONG_ATTEMPT_REASON,
    Executed,
    NotReached,
    ResponseLost,
    execute,
)
from magnoliarouter.endpoints.messages import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    FAILURE_HEADER,
    GUARD_CLOCK_HEADER,
    GUARD_HEADERS,
    INCARNATION_HEADER,
    NOT_AFTER_HEADER,
    NOT_STARTED_HEADER,
    OTHER_INCARNATION,
    RUN_ONCE_HEADER,
    TABLE_FULL,
    VERDICT_HEADER,
    FenceReply,
    FenceRequest,
    GuardStatus,
    may_belong_to,
    select_relayed_headers,
)
from magnoliarouter.endpoints.monitor import EndpointMonitor
from magnoliarouter.endpoints.proof import was_unsent
from magnoliarouter.endpoints.relay import parse_not_after, read_message
from magnoliarouter.endpoints.report import LOAD_HEADER, encode_load_header
from magnoliarouter.web.bodies import iterate_body
from magnoliarouter.web.exchange import error_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.web.exchange import Exchange

__all__ = ["Guard", "GuardStatus"]

UNRELAYED_REQUEST_HEADERS = frozenset((INCARNATION_HEADER, NOT_AFTER_HEADER, RUN_ONCE_HEADER))
UNKNOWN_OUTCOME_VERDICTS = (StartVerdict.ALREADY_STARTED, StartVerdict.UNRECORDED)
EVENT_STREAM = "text/event-stream"
FRAME_START = b"data: "
DEADLINE_PATTERN = re.compile(r"^[0-9]{1,9}$")


class Guard:
    """Serves entry daemons on behalf of one endpoint.

    Parameters
    ----------
    attempts : AttemptTable
        Table of attempts.
    target : str
        Base URL of the endpoint.
    session : aiohttp.ClientSession
        Session for requests to the endpoint.
    clock : callable
        Loop time in seconds.
    single_use_session : aiohttp.ClientSession, optional
        Session without connection reuse for calls that may run only once.
    on_response_drop : callable, optional
        Called with the reason when a response of the endpoint is dropped.
    monitor : EndpointMonitor, optional
        Observations of the endpoint, which are sent with every response; by default one with a
        single slot and a queue as long as the table of attempts.
    on_verdict : callable, optional
        Called with each verdict that refuses an attempt, and with each reply to a fence request.
    """

    def __init__(
        self,
        attempts: AttemptTable,
        target: str,
        session: aiohttp.ClientSession,
        clock: Callable[[], float],
        single_use_session: aiohttp.ClientSession | None = None,
        on_response_drop: Callable[[str], None] = lambda reason: None,
        on_verdict: Callable[[str], None] = lambda verdict: None,
        monitor: EndpointMonitor | None = None,
    ) -> None:
        self._attempts = attempts
        self._target = target
        self._session = session
        self._single_use_session = single_use_session or session
        self._clock = clock
        self._monitor = monitor or EndpointMonitor(attempts, 1, attempts.max_attempts, clock)
        self._on_response_drop = on_response_drop
        self._on_verdict = on_verdict
        self._executions: set[asyncio.Task[Executed | NotReached | ResponseLost]] = set()
        self._control_handlers: dict[str, Callable[[Exchange], Awaitable[None]]] = {
            "/guard/status": self._send_status,
            "/guard/fence": self._fence,
        }

    def add_control_handler(self, path: str, handle: Callable[[Exchange], Awaitable[None]]) -> None:
        """Register a coroutine function that handles a path, whose requests are not relayed."""
        self._control_handlers[path] = handle

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of an entry daemon."""
        control = self._control_handlers.get(exchange.request.path)
        if control is not None:
            await control(exchange)
            return
        headers = exchange.request.headers
        attempt = headers.get(ATTEMPT_HEADER, "")
        if not attempt:
            body = error_body(
                ResultCode.MALFORMED_HTTP, "not_run", f"header {ATTEMPT_HEADER!r} is needed"
            )
            await exchange.send(400, body, self._build_headers(attempt))
            return
        verdict = self._attempts.start(
            attempt,
            headers.get(INCARNATION_HEADER, ""),
            self._clock(),
            parse_not_after(headers.get(NOT_AFTER_HEADER)),
            self._find_load_refusal(headers),
        )
        if verdict is not StartVerdict.START:
            await self._refuse(exchange, attempt, verdict)
            return
        started_at, running = self._clock(), self._attempts.running
        self._monitor.publish_if_changed()
        try:
            if RUN_ONCE_HEADER in headers:
                await self._run_once(exchange, attempt)
            else:
                await self._run(exchange, attempt)
        finally:
            self._monitor.publish_if_changed()
        self._monitor.record_service_time(self._clock() - started_at, running)

    def report(self, cache_after: int = -1) -> GuardStatus:
        """Return the guard's status, with the cache changes after a sequence number."""
        table = self._attempts
        return GuardStatus(
            table.incarnation,
            table.running,
            table.draining,
            self._clock(),
            table.size,
            table.response_bytes,
            self._monitor.sequence,
            self._monitor.build_load_row(),
            self._monitor.read_cache(cache_after),
        )

    async def wait_until_idle(self) -> None:
        """Wait until no call that may run only once is in progress."""
        while self._executions:
            await asyncio.wait(self._executions)

    async def _send_status(self, exchange: Exchange) -> None:
        query = exchange.request.query
        try:
            after, wait = int(query.get("after", "0")), float(query.get("wait", "0"))
            min_delay_s, cache_after = float(query.get("pause", "0")), int(query.get("cache", "-1"))
        except ValueError:
            reason = "valid query: after=N, wait=SECONDS, pause=SECONDS, cache=N"
            body = error_body(ResultCode.MALFORMED_HTTP, "not_run", reason)
            await exchange.send(400, body)
            return
        await self._monitor.wait_for_change(after, wait, min_delay_s)
        await exchange.send(200, msgspec.json.encode(self.report(cache_after)))

    def _find_load_refusal(self, headers: dict[str, str]) -> StartVerdict | None:
        if self._monitor.is_full:
            return StartVerdict.QUEUE_FULL
        remaining_ms = headers.get(DEADLINE_HEADER, "")
        if (
            DEADLINE_PATTERN.match(remaining_ms)
            and int(remaining_ms) <= self._monitor.expected_wait * 1000
        ):
            return StartVerdict.TOO_LATE
        return None

    async def _fence(self, exchange: Exchange) -> None:
        request = await read_message(exchange, FenceRequest)
        if request is not None:
            reply = self._fence_attempt(request)
            self._on_verdict(f"fence: {reply.state}")
            await exchange.send(200, msgspec.json.encode(reply))

    def _fence_attempt(self, request: FenceRequest) -> FenceReply:
        if request.incarnation != self._attempts.incarnation:
            return FenceReply(request.attempt, OTHER_INCARNATION)
        state = self._attempts.fence(request.attempt, self._clock(), request.not_after)
        if state is None:
            return FenceReply(request.attempt, TABLE_FULL)
        return FenceReply(
            request.attempt, state.value, self._attempts.find_response(request.attempt)
        )

    def _build_headers(self, attempt: str) -> dict[str, str]:
        return {
            ATTEMPT_HEADER: attempt,
            GUARD_CLOCK_HEADER: f"{self._clock():.3f}",
            LOAD_HEADER: encode_load_header(self._monitor.report()),
        }

    async def _refuse(self, exchange: Exchange, attempt: str, verdict: StartVerdict) -> None:
        self._on_verdict(verdict.value)
        headers = {**self._build_headers(attempt), VERDICT_HEADER: verdict.value}
        if verdict in UNKNOWN_OUTCOME_VERDICTS:
            body = error_body(ResultCode.IN_PROGRESS, "unknown", verdict.value)
            await exchange.send(409, body, headers)
            return
        await self._send_not_started(exchange, headers, verdict.value)

    async def _send_not_started(
        self, exchange: Exchange, headers: dict[str, str], reason: str
    ) -> None:
        headers[NOT_STARTED_HEADER] = headers[ATTEMPT_HEADER]
        body = error_body(ResultCode.ENDPOINT_REFUSED, "not_run", reason)
        await exchange.send(503, body, headers)

    async def _run_once(self, exchange: Exchange, attempt: str) -> None:
        task = asyncio.get_running_loop().create_task(self._execute(exchange, attempt))
        self._executions.add(task)
        task.add_done_callback(self._executions.discard)
        # A caller that disconnects cancels this coroutine, not the execution.
        match await asyncio.shield(task):
            case Executed(response, body):
                headers = {**self._build_headers(attempt), "Content-Type": response.content_type}
                await exchange.send(response.status, body, headers)
            case NotReached(reason):
                await self._send_not_started(exchange, self._build_headers(attempt), reason)
            case ResponseLost(reason):
                if reason == WRONG_ATTEMPT_REASON:
                    self._on_response_drop("crossed")
                await self._send_failure(exchange, attempt, ResultCode.ENDPOINT_ERROR, reason)

    async def _execute(
        self, exchange: Exchange, attempt: str
    ) -> Executed | NotReached | ResponseLost:
        request = exchange.request
        result = await execute(
            self._single_use_session,
            request.method,
            self._url(exchange),
            self._relayed_headers(exchange),
            request.body,
        )
        now = self._clock()
        match result:
            case Executed(response):
                self._attempts.finish(attempt, now, response)
            case NotReached():
                self._attempts.withdraw(attempt, now)
            case ResponseLost():
                self._attempts.mark_broken(attempt, now)
        return result

    async def _run(self, exchange: Exchange, attempt: str) -> None:
        try:
            await self._relay(exchange, attempt)
        finally:
            self._attempts.finish(attempt, self._clock())

    async def _relay(self, exchange: Exchange, attempt: str) -> None:
        request = exchange.request
        try:
            async with self._session.request(
                request.method,
                self._url(exchange),
                headers=self._relayed_headers(exchange),
                data=request.body,
                allow_redirects=False,
            ) as response:
                await self._relay_response(exchange, attempt, response)
        except (aiohttp.ClientError, OSError) as error:
            if exchange.started:
                exchange.abort()
                return
            reason = type(error).__name__
            if was_unsent(error):
                await self._send_not_started(exchange, self._build_headers(attempt), reason)
                return
            await self._send_failure(exchange, attempt, ResultCode.ENDPOINT_ERROR, reason)

    async def _send_failure(
        self, exchange: Exchange, attempt: str, code: ResultCode, reason: str
    ) -> None:
        """Send an error response in place of the endpoint's lost response."""
        headers = {**self._build_headers(attempt), FAILURE_HEADER: str(int(code))}
        await exchange.send(502, error_body(code, "unknown", reason), headers)

    async def _relay_response(
        self, exchange: Exchange, attempt: str, response: aiohttp.ClientResponse
    ) -> None:
        if not may_belong_to(response.headers, attempt):
            response.close()
            self._on_response_drop("crossed")
            await self._send_failure(
                exchange, attempt, ResultCode.WRONG_ATTEMPT, WRONG_ATTEMPT_REASON
            )
            return
        relayed = select_relayed_headers(response.headers, GUARD_HEADERS)
        await exchange.start(response.status, {**relayed, **self._build_headers(attempt)})
        streamed = response.content_type == EVENT_STREAM
        last: float | None = None
        async for chunk in iterate_body(response):
            if streamed:
                last = self._record_event_gaps(chunk, last)
            await exchange.write(chunk)
        await exchange.finish()

    def _record_event_gaps(self, chunk: bytes, last: float | None) -> float:
        now = self._clock()
        events = chunk.count(FRAME_START)
        if last is not None and events:
            self._monitor.record_event_gap((now - last) / events)
        return now

    def _url(self, exchange: Exchange) -> URL:
        return URL(self._target + exchange.request.target, encoded=True)

    def _relayed_headers(self, exchange: Exchange) -> dict[str, str]:
        return select_relayed_headers(exchange.request.headers, UNRELAYED_REQUEST_HEADERS)
