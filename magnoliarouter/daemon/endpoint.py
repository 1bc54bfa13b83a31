"""Endpoint daemon: the guard in front of one engine or application."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.daemon.registration import Registration
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.endpoints.monitor import EndpointMonitor
from magnoliarouter.endpoints.orders import OrderService
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.requestmemory import RequestMemory
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.daemon.settings import EndpointSettings
    from magnoliarouter.web.exchange import Exchange

__all__ = ["EndpointDaemon"]


class EndpointDaemon:
    """Assembles the guard of one endpoint.

    Parameters
    ----------
    settings : EndpointSettings
        Checked settings.
    """

    def __init__(self, settings: EndpointSettings) -> None:
        self.settings = settings
        self.attempts = AttemptTable(uuid.uuid4().hex)
        self.metrics = Metrics()
        self.port = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to serve, then register the endpoint in the platform."""
        loop = asyncio.get_running_loop()
        self._session = open_session()
        self._platform = PlatformClient(self.settings.platform, self._session)
        self._single_use_session = open_session(reuse=False)
        self.monitor = EndpointMonitor(
            self.attempts,
            self.settings.slots,
            self.settings.queue_length,
            loop.time,
            self.settings.report_delay_seconds,
        )
        verdicts = self.metrics.add_counter(
            "attempt_verdicts", "Attempts refused and fences answered", "verdict"
        )
        guard = Guard(
            self.attempts,
            self.settings.target,
            self._session,
            loop.time,
            self._single_use_session,
            on_response_drop=lambda reason: self.metrics.dropped_responses.labels(reason).inc(),
            on_verdict=lambda verdict: verdicts.labels(verdict).inc(),
            monitor=self.monitor,
        )
        guard.add_control_handler("/metrics", self._serve_metrics)
        self._registration = Registration(
            self.settings, self._platform, self.attempts, self.monitor.publish_if_changed
        )
        guard.add_control_handler("/guard/drain", self._registration.handle_drain)
        self._orders = OrderService(
            self.settings.target, self._single_use_session, self._registration.apply_order
        )
        guard.add_control_handler("/guard/orders", self._orders.handle)
        self._guard = guard
        listen = self.settings.listen
        self._server = WebServer(
            Runtime(loop),
            (listen.host, listen.port),
            guard.handle,
            memory=RequestMemory(int(self.settings.request_memory_mb * 1e6)),
        )
        self.port = self._server.port
        self._registration.address = f"{listen.host}:{self.port}"
        self._tasks.append(loop.create_task(self._registration.register()))
        if self.settings.kind == "engine":
            poll = self.monitor.poll(self.settings.target, self._session)
            self._tasks.append(loop.create_task(poll))

    async def stop(self) -> None:
        """Refuse new attempts, finish those in progress, then shut down."""
        for task in self._tasks:
            task.cancel()
        self._registration.stop()
        self._server.start_draining()
        shutdown_wait = asyncio.create_task(asyncio.sleep(self.settings.shutdown_seconds))
        await self._registration.leave(self.settings.shutdown_seconds)
        # New attempts are refused with a proof that they did not run, until the entry daemons have
        # stopped sending them.
        await shutdown_wait
        await self._server.wait_until_idle()
        await self._guard.wait_until_idle()
        self._server.stop_listening()
        await self._single_use_session.close()
        await self._session.close()

    async def _serve_metrics(self, exchange: Exchange) -> None:
        await exchange.send(200, self.metrics.render(), {"Content-Type": "text/plain"})
