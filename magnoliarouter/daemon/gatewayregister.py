"""Registers a gateway daemon in the store, so that the daemons discover each other."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.store.results import Conflict, Found, Written
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.upstream import split_address

if TYPE_CHECKING:
    from magnoliarouter.gateway.peers import PeerLoads
    from magnoliarouter.store.backoff import Backoff
    from magnoliarouter.store.client import PlatformClient

__all__ = ["GatewayRegistration"]

PEER_KIND = "gateway-daemons"
# A starting daemon announces itself to all registered daemons, so the list is only a fallback.
REFRESH_INTERVAL_S = 30.0


class GatewayRegistration:
    """Entry of one daemon, and reader of the other daemons' entries.

    Parameters
    ----------
    store : PlatformClient
        Client of the store that holds the entries.
    name, zone, address : str
        Name and availability zone of the VM, and its address for other daemons.
    peers : PeerLoads
        Receives the addresses of the other daemons.
    backoff : Backoff
        Delays after failures.
    """

    def __init__(
        self,
        store: PlatformClient,
        name: str,
        zone: str,
        address: str,
        peers: PeerLoads,
        backoff: Backoff,
    ) -> None:
        self._store = store
        self._name = name
        self._entry = {"address": address, "zone": zone}
        self._peers = peers
        self._backoff = backoff

    async def run(self) -> None:
        """Register, then read the other daemons' entries periodically, until cancelled."""
        registered = False
        while True:
            if not registered:
                registered = await self._register()
            outcome = await self._store.list(PEER_KIND)
            if not registered or not isinstance(outcome, Found):
                await asyncio.sleep(self._backoff.next_wait())
                continue
            self._backoff.reset()
            self._peers.set_peers(_read_addresses(outcome))
            await asyncio.sleep(REFRESH_INTERVAL_S * random.uniform(0.8, 1.2))

    async def withdraw(self) -> None:
        """Delete the entry."""
        await self._store.delete(PEER_KIND, self._name)

    async def _register(self) -> bool:
        outcome = await self._store.write(PEER_KIND, self._name, self._entry, expect=0)
        if isinstance(outcome, Conflict) and outcome.current is not None:
            if outcome.current.value == self._entry:
                return True
            version = outcome.current.version
            outcome = await self._store.write(PEER_KIND, self._name, self._entry, expect=version)
        return isinstance(outcome, Written)


def _read_addresses(found: Found) -> dict[str, tuple[str, int]]:
    addresses = {}
    for item in found.items:
        try:
            value = msgspec.convert(item.value, dict[str, str])
            addresses[item.name] = split_address(value["address"])
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            log_event("peer_entry_malformed", peer=item.name, reason=str(error))
    return addresses
