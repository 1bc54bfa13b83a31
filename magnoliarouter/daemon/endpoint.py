"""Endpoint daemon: the guard in front of one engine or application."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.daemon.loop import Runtime
from magnoliarouter.daemon.metrics import Metrics
from magnoliarouter.daemon.web import WebServer
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.endpoints.monitor import EndpointMonitor
from magnoliarouter.platform.client import PlatformClient, Written
from magnoliarouter.platform.objects import EndpointSpec

if TYPE_CHECKING:
    from magnoliarouter.daemon.exchange import Exchange
    from magnoliarouter.daemon.settings import EndpointSettings

__all__ = ["EndpointDaemon"]

REGISTER_RETRY_S = 1.0


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
        """Serve, then register the endpoint in the platform."""
        loop = asyncio.get_running_loop()
        self._session = open_session()
        self._platform = PlatformClient(self.settings.platform, self._session)
        self._once_session = open_session(reuse=False)
        self.monitor = EndpointMonitor(
            self.attempts,
            self.settings.slots,
            self.settings.queue_length,
            loop.time,
            self.settings.report_delay_seconds,
        )
        guard = Guard(
            self.attempts,
            self.settings.target,
            self._session,
            loop.time,
            self._once_session,
            on_drop=lambda reason: self.metrics.dropped_answers.labels(reason).inc(),
            monitor=self.monitor,
        )
        guard.add_control("/metrics", self._tell_metrics)
        self._guard = guard
        listen = self.settings.listen
        self._server = WebServer(Runtime(loop), (listen.host, listen.port), guard.handle)
        self.port = self._server.port
        self._tasks.append(loop.create_task(self._register()))
        if self.settings.kind == "engine":
            poll = self.monitor.poll(self.settings.target, self._session)
            self._tasks.append(loop.create_task(poll))

    async def stop(self) -> None:
        """Refuse new work, let work in progress end, then leave."""
        self.attempts.draining = True
        self.monitor.note_change()
        for task in self._tasks:
            task.cancel()
        await self._platform.write("endpoint", self.settings.name, self._describe())
        await self._server.wait_until_idle()
        await self._guard.wait_until_idle()
        self._server.stop_listening()
        await self._once_session.close()
        await self._session.close()

    async def _tell_metrics(self, exchange: Exchange) -> None:
        await exchange.send(200, self.metrics.render(), {"Content-Type": "text/plain"})

    async def _register(self) -> None:
        while True:
            outcome = await self._platform.write("endpoint", self.settings.name, self._describe())
            if isinstance(outcome, Written):
                return
            await asyncio.sleep(REGISTER_RETRY_S)

    def _describe(self) -> object:
        settings = self.settings
        spec = EndpointSpec(
            name=settings.name,
            zone=settings.zone,
            address=settings.advertise or f"{settings.listen.host}:{self.port}",
            incarnation=self.attempts.incarnation,
            kind=settings.kind,
            models=settings.models,
            services=settings.services,
            slots=settings.slots,
            draining=self.attempts.draining,
        )
        return msgspec.to_builtins(spec)
