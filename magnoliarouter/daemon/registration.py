"""Registration of an endpoint in the platform, and its withdrawal at shutdown."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.orders import Order
from magnoliarouter.endpoints.relay import read_message
from magnoliarouter.store.client import Conflict, Found, Missing, Written
from magnoliarouter.store.objects import EndpointSpec

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.attempts import AttemptTable
    from magnoliarouter.daemon.settings import EndpointSettings
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.web.exchange import Exchange

__all__ = ["DrainRequest", "Registration"]

ENDPOINT_KIND = "endpoint"
REGISTER_RETRY_S = 1.0
LEAVE_RETRY_S = 0.3


class DrainRequest(msgspec.Struct, frozen=True):
    """Request to a guard to refuse new attempts, or to accept them again.

    Parameters
    ----------
    draining : bool
        Whether to refuse new attempts.
    """

    draining: bool


class Registration:
    """Object of one endpoint in the platform.

    An operator's drain request is part of the object, so it survives restarts of the daemon.

    Parameters
    ----------
    settings : EndpointSettings
        Settings of the endpoint daemon.
    client : PlatformClient
        Client for reading and writing the object.
    attempts : AttemptTable
        Attempts of the guard, with the flag whether new ones are refused.
    on_drain : callable, optional
        Called when the guard starts or stops to refuse new attempts.
    """

    def __init__(
        self,
        settings: EndpointSettings,
        client: PlatformClient,
        attempts: AttemptTable,
        on_drain: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = ""
        self.leaving = False
        self.drain_requested = False
        self.models = settings.models
        self._registration_task: asyncio.Task[None] | None = None
        self._settings = settings
        self._client = client
        self._attempts = attempts
        self._on_drain = on_drain

    async def register(self) -> None:
        """Write the object until it is stored."""
        await self._store_until_done(REGISTER_RETRY_S)

    def apply_order(self, order: Order) -> None:
        """Register again with the change that an order made."""
        match order:
            case Order(action="load", subject="model", name=name):
                self.models = tuple(dict.fromkeys((*self.models, name)))
            case Order(action="unload", subject="model", name=name):
                self.models = tuple(model for model in self.models if model != name)
            case _:
                return
        self.stop()
        self._registration_task = asyncio.get_running_loop().create_task(self.register())

    def stop(self) -> None:
        """Cancel a registration in progress."""
        if self._registration_task is not None:
            self._registration_task.cancel()

    async def leave(self, timeout_s: float) -> bool:
        """Refuse new attempts, write that to the platform, and return whether it was stored.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the platform in seconds.
        """
        self.leaving = True
        self._set_draining(True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._store_until_done(LEAVE_RETRY_S)
                return True
        return False

    async def handle_drain(self, exchange: Exchange) -> None:
        """Handle ``POST /guard/drain``; the response is a `DrainRequest` with the current state."""
        request = await read_message(exchange, DrainRequest)
        if request is None:
            return
        self.drain_requested = request.draining
        self._set_draining(request.draining or self.leaving)
        await exchange.send(200, msgspec.json.encode(DrainRequest(self._attempts.draining)))

    async def _store_until_done(self, retry_s: float) -> None:
        while True:
            if await self._store():
                return
            await asyncio.sleep(retry_s)

    async def _store(self) -> bool:
        match await self._client.read(ENDPOINT_KIND, self._settings.name):
            case Found(_, (item,)):
                self._apply_drain_request(item.value)
                expect = item.version
            case Missing():
                expect = 0
            case _:
                return False
        value = msgspec.to_builtins(self.describe())
        outcome = await self._client.write(ENDPOINT_KIND, self._settings.name, value, expect=expect)
        match outcome:
            case Written():
                return True
            case Conflict(current) if current is not None and current.value == value:
                return True
        return False

    def _apply_drain_request(self, value: object) -> None:
        requested = isinstance(value, dict) and value.get("drain_requested") is True
        self.drain_requested = requested
        if requested:
            self._set_draining(True)

    def _set_draining(self, draining: bool) -> None:
        self._attempts.draining = draining
        self._on_drain()

    def describe(self) -> EndpointSpec:
        """Return the endpoint as it is registered."""
        settings = self._settings
        return EndpointSpec(
            name=settings.name,
            zone=settings.zone,
            address=settings.advertise or self.address,
            incarnation=self._attempts.incarnation,
            kind=settings.kind,
            models=self.models,
            services=settings.services,
            slots=settings.slots,
            draining=self._attempts.draining,
            drain_requested=self.drain_requested,
        )
