"""Registers a gateway daemon in the store, so that the daemons discover each other."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.store.results import Found, Written
from magnoliarouter.store.values import decode_small
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.addresses import parse_address

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
        self._version: int | None = None
        self._withdrawn = False

    async def run(self) -> None:
        """Register, then read all entries periodically, until cancelled.

        The entry is written again if it is missing: the store may execute a write of an earlier
        start late, after those of this one.
        """
        while True:
            if self._version is None and not self._withdrawn:
                self._version = await self._register()
            outcome = await self._store.list(PEER_KIND, decode_small)
            if not isinstance(outcome, Found):
                await asyncio.sleep(self._backoff.next_wait())
                continue
            self._peers.set_peers(_read_addresses(outcome))
            self._version = self._find_own(outcome)
            if self._version is None and not self._withdrawn:
                await asyncio.sleep(self._backoff.next_wait())
                continue
            self._backoff.reset()
            await asyncio.sleep(REFRESH_INTERVAL_S * random.uniform(0.8, 1.2))

    async def withdraw(self) -> None:
        """Delete the entry, unless another start has written it since."""
        self._withdrawn = True
        await self._store.delete(PEER_KIND, self._name, self._version)

    def _find_own(self, found: Found) -> int | None:
        """Return the version of this daemon's entry, or None if it is missing or another's."""
        for item in found.items:
            if item.name == self._name and item.value == self._entry:
                return item.version
        return None

    async def _register(self) -> int | None:
        """Write the entry, and return its version, or None if that is not known."""
        outcome = await self._store.write(PEER_KIND, self._name, self._entry, expect=0)
        if not isinstance(outcome, Written):
            # The response to a conflict may lack the entry that exists.
            match await self._store.read(PEER_KIND, self._name):
                case Found(version, (item,)) if item.value != self._entry:
                    outcome = await self._store.write(
                        PEER_KIND, self._name, self._entry, expect=version
                    )
                case Found(version):
                    return version
        return outcome.version if isinstance(outcome, Written) else None


def _read_addresses(found: Found) -> dict[str, tuple[str, int]]:
    addresses = {}
    for item in found.items:
        try:
            value = msgspec.convert(item.value, dict[str, str])
            addresses[item.name] = parse_address(value["address"])
        except (msgspec.MsgspecError, KeyError, ValueError) as error:
            log_event("peer_entry_malformed", peer=item.name, reason=str(error))
    return addresses
