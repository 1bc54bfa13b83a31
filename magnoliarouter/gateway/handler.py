"""Admits and forwards requests, and responds to those that got no response from an endpoint."""

from __future__ import annotations

import asyncio
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
from magnoliarouter.gateway.call import GatewayCall, fingerprint_request
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.errors import JSON_TYPE, error_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.call import HeaderCodec, RequestHeaders
    from magnoliarouter.gateway.forward import GatewayForwarder
    from magnoliarouter.gateway.freshness import Freshness
    from magnoliarouter.gateway.routes import GatewayConfig, Route, Tenant
    from magnoliarouter.telemetry.metrics import Metrics
    from magnoliarouter.web.ingress import IngressExchange, IngressRequest

__all__ = ["GatewayHandler"]

# The caller's timer started earlier than this daemon's, by the network transit time of the request.
NETWORK_MARGIN_S = 0.015
# Retry-After where another daemon may already have the configuration that this one lacks.
DEFAULT_RETRY_AFTER_S = 0.2
# A caller honours a Retry-After of up to this share of its remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Without any confirmation the age is infinite, which JSON cannot represent.
MAX_LOGGED_AGE_S = 1e6


class GatewayHandler:
    """Handles the requests to one daemon.

    Parameters
    ----------
    config : callable
        Returns the current configuration, or None before the first one is received.
    freshness : Freshness
        Age of the configuration.
    codec : HeaderCodec
        Parses and builds the header fields of the platform.
    forwarder : GatewayForwarder
        Forwards calls to endpoints.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Counters of requests and refusals.

    Attributes
    ----------
    refuse_from : float
        Loop time from which requests are refused, because the daemon stops before they could finish.
    """

    def __init__(
        self,
        config: Callable[[], GatewayConfig | None],
        freshness: Freshness,
        codec: HeaderCodec,
        forwarder: GatewayForwarder,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._config = config
        self._freshness = freshness
        self._codec = codec
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics
        self.refuse_from = float("inf")

    async def handle(self, exchange: IngressExchange) -> None:
        """Handle one request."""
        request = exchange.request
        try:
            headers = self._codec.parse_request(request.fields)
        except ValueError as error:
            await self._respond(exchange, None, NotRun(ResultCode.MALFORMED_HTTP, str(error)))
            return
        call = self.admit(request, headers)
        if isinstance(call, NotRun):
            await self._respond(exchange, headers, call)
            return
        exchange.cancel_when_caller_gone = call.route.kind is not RouteKind.ONCE
        exchange.write_until = call.deadline
        try:
            outcome = await self._forwarder.forward(call, exchange, lambda: self._recheck(call))
        except asyncio.CancelledError:
            self._record(headers, Unknown(ResultCode.CALLER_GONE, "the caller went away"), call)
            raise
        if isinstance(outcome, Completed) or exchange.started:
            self._record(headers, outcome, call)
        else:
            await self._respond(exchange, headers, outcome, call)

    def admit(self, request: IngressRequest, headers: RequestHeaders) -> GatewayCall | NotRun:
        """Return the admitted call of a request, or the refusal."""
        now, config = self._clock(), self._config()
        if now >= self.refuse_from:
            reason = "this daemon is stopping"
            return NotRun(ResultCode.DRAINING, reason, DEFAULT_RETRY_AFTER_S)
        if config is None:
            reason = "this daemon has no configuration yet"
            return NotRun(ResultCode.CONFIGURATION_MISSING, reason, DEFAULT_RETRY_AFTER_S)
        path = request.target.split(b"?", 1)[0].decode("latin-1")
        route = config.routes.find(headers.host, path)
        if route is None:
            reason = f"no route for {headers.host!r} and this path"
            return self._refuse_absent(ResultCode.NOT_FOUND, reason, now)
        tenant = self._identify(config, route, headers, now)
        if isinstance(tenant, NotRun):
            return tenant
        timeout_s = route.timeout_s
        if headers.timeout_s is not None:
            timeout_s = min(timeout_s, headers.timeout_s - NETWORK_MARGIN_S)
        call = GatewayCall(
            headers,
            request.method,
            request.target,
            request.body,
            route,
            route.pick_service(headers.request_id),
            tenant.name if tenant is not None else None,
            config.urgency_of(route, tenant),
            now,
            request.received_at + timeout_s,
            config.version,
            fingerprint_request(request.method, request.target, headers.key or "", request.body),
        )
        return _refuse_too_large(call, config) or call

    def _identify(
        self, config: GatewayConfig, route: Route, headers: RequestHeaders, now: float
    ) -> Tenant | NotRun | None:
        """Return the customer that holds the key, None if there need be none, or the refusal."""
        if config.tenants is None:
            return None
        tenant = config.tenants.get(headers.key) if headers.key else None
        refusal = None if route.public else self._check_key(headers, tenant is not None, now)
        return refusal or tenant

    def _check_key(self, headers: RequestHeaders, known: bool, now: float) -> NotRun | None:
        if not headers.key:
            return NotRun(ResultCode.KEY_MISSING, "the request names no key")
        if not self._freshness.accepts_keys(now):
            return self._refuse_stale(now)
        if not known:
            return self._refuse_absent(ResultCode.KEY_UNKNOWN, "the key is not known", now)
        return None

    def _refuse_absent(self, code: ResultCode, reason: str, now: float) -> NotRun:
        """Refuse because an entry is missing, or as stale if the configuration may be outdated."""
        if self._freshness.proves_absence(now):
            return NotRun(code, reason)
        return self._refuse_stale(now)

    def _refuse_stale(self, now: float) -> NotRun:
        reason = f"the configuration was confirmed {self._freshness.age(now):.1f} s ago"
        return NotRun(ResultCode.CONFIGURATION_STALE, reason, DEFAULT_RETRY_AFTER_S)

    def _recheck(self, call: GatewayCall) -> NotRun | None:
        """Return why an admitted call may no longer be sent, or None.

        A call whose key went to another customer is sent as that customer's.
        """
        now, config = self._clock(), self._config()
        assert config is not None
        tenant = self._identify(config, call.route, call.headers, now)
        if isinstance(tenant, NotRun):
            return tenant
        name = tenant.name if tenant is not None else None
        if name != call.tenant:
            log_event(
                "customer_changed",
                request_id=call.headers.request_id.decode("latin-1"),
                customer=name or "",
                before=call.tenant or "",
                version=config.version,
            )
            call.tenant, call.urgency = name, config.urgency_of(call.route, tenant)
        return None

    async def _respond(
        self,
        exchange: IngressExchange,
        headers: RequestHeaders | None,
        outcome: NotRun | Unknown,
        call: GatewayCall | None = None,
    ) -> None:
        fields = [(b"Content-Type", JSON_TYPE.encode())]
        status = status_of(outcome.code)
        if isinstance(outcome, NotRun):
            # A request that provably did not run must not get a status that leaves this open.
            status = 503 if status >= 500 else status
            if status in (429, 503):
                wait = outcome.retry_after or DEFAULT_RETRY_AFTER_S
                if headers is not None and headers.timeout_s is not None:
                    spent = self._clock() - exchange.request.received_at
                    wait = min(wait, max(0.0, headers.timeout_s - spent) * MAX_RETRY_AFTER_SHARE)
                fields.append((b"Retry-After", f"{wait:.3f}".encode()))
        elif status in (408, 421, 429, 503):
            status = 502
        self._record(headers, outcome, call)
        body = error_body(outcome.code, name_outcome(outcome), outcome.reason)
        await exchange.send(status, fields, body)

    def _record(
        self, headers: RequestHeaders | None, outcome: Outcome, call: GatewayCall | None
    ) -> None:
        code, kind = outcome.code.name.lower(), name_outcome(outcome)
        self._metrics.requests.labels(code, kind).inc()
        if isinstance(outcome, NotRun):
            self._metrics.refusals.labels(code).inc()
        log_event(
            "request",
            request_id=headers.request_id.decode("latin-1") if headers else "",
            customer=(call.tenant or "") if call else "",
            route=call.route.name if call else "",
            version=call.version if call else 0,
            code=int(outcome.code),
            outcome=kind,
            status=outcome.status if isinstance(outcome, Completed) else 0,
            reason="" if isinstance(outcome, Completed) else outcome.reason,
            seconds=round(self._clock() - call.admitted_at, 4) if call else 0.0,
            **_describe_body(call),
            age=round(min(self._freshness.age(self._clock()), MAX_LOGGED_AGE_S), 2),
            important=not isinstance(outcome, Completed),
        )
        if call is not None and isinstance(outcome, Completed):
            self._metrics.response_time.observe(self._clock() - call.admitted_at)

    def count_rejected(self, code: ResultCode) -> None:
        """Record a request that the HTTP server rejected."""
        self._record(None, NotRun(code, "rejected by the HTTP server"), None)


def _refuse_too_large(call: GatewayCall, config: GatewayConfig) -> NotRun | None:
    """Return the refusal of a call whose prompt fits into no endpoint of its service.

    The expected output is an estimate, which refuses no call.
    """
    service, tokens = config.services.get(call.service), call.estimate_work().prompt_tokens
    profile = service.profile if service is not None else None
    memory_tokens = profile.memory_tokens if profile is not None else 0
    if not 0 < memory_tokens < tokens:
        return None
    reason = f"the prompt has {tokens} tokens; valid: up to {memory_tokens}"
    return NotRun(ResultCode.CALL_TOO_LARGE, reason)


def _describe_body(call: GatewayCall | None) -> dict[str, float | str]:
    if call is None or call.framing is None:
        return {}
    described: dict[str, float | str] = {"framing": call.framing.value}
    if call.route.kind is RouteKind.STREAM:
        described["events"] = call.events
        described["unfinished_bytes"] = call.unfinished_bytes
    if call.first_event_s is not None:
        described["first_s"] = round(call.first_event_s, 4)
        described["longest_pause_s"] = round(call.longest_event_gap_s, 4)
    return described
