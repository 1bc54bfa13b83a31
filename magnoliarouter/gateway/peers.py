"""Loads that gateway daemons tell each other, and who they are.

Each daemon sends what it has in progress at each endpoint, in one datagram to each other daemon,
as soon as it changes but not more often than every few milliseconds. A lost datagram is mended by
the next; what was not renewed is forgotten.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PeerLoads", "PeerMessage"]

# Two changes within this time go into one datagram; a later one lets others take the same place.
COALESCE_S = 0.001
# What is known is confirmed no more often than this, unless it changed: with forty daemons these
# parts are ten times as long as the loads, and bytes between zones are priced.
CONFIRMATION_INTERVAL_S = 0.4
# Without changes, a datagram says that the daemon lives and renews its loads.
RENEW_INTERVAL_S = 0.5
# A peer that was not heard for so long does not count as a sharer any longer.
SHARER_EXPIRY_S = 6.0
# Messages whose time of sending is kept: one second of the most that are sent.
MAX_SENT_TIMES = 1_000
# A peer that was heard within this time is there.
PRESENCE_EXPIRY_S = 1.5


class PeerMessage(msgspec.Struct, array_like=True):
    """What one daemon says.

    Parameters
    ----------
    name : str
        Name of the VM.
    start : int
        Random number of this start.
    number : int
        Counts the messages of a start.
    loads : dict of str to int
        Requests in progress at each endpoint.
    holds_map_lease : bool
        Whether the sender holds the lease on the expert maps.
    confirmed : dict of str to (int, float)
        Digest of what the sender knows of a kind of object, and the seconds since it was
        confirmed; from daemons that confirm for the others.
    last_received : dict of str to (int, int)
        Start and number of the last message heard from each daemon; from the same.
    """

    name: str
    start: int
    number: int
    loads: dict[str, int]
    holds_map_lease: bool = False
    confirmed: dict[str, tuple[int, float]] = {}
    last_received: dict[str, tuple[int, int]] = {}


class PeerLoads(asyncio.DatagramProtocol):
    """Exchanges loads with the other daemons.

    Parameters
    ----------
    name : str
        Name of this VM.
    start : int
        Random number of this start.
    read_loads : callable
        Returns the requests that this daemon has at each endpoint.
    apply_loads : callable
        Called with a peer's name and its loads.
    """

    def __init__(
        self,
        name: str,
        start: int,
        read_loads: Callable[[], dict[str, int]],
        apply_loads: Callable[[str, dict[str, int]], None],
    ) -> None:
        self._name = name
        self._start = start
        self._read_loads = read_loads
        self._take_loads = apply_loads
        self._number = 0
        self._addresses: dict[str, tuple[str, int]] = {}
        self._last_received: dict[str, tuple[int, int]] = {}
        self._received_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._map_leader = ""
        self._leader_received_at = float("-inf")
        self._sent_at: dict[int, float] = {}
        self._confirmations_sent_at = float("-inf")
        self._sent_digests: dict[str, int] = {}
        self.read_confirmations: Callable[[], dict[str, tuple[int, float]]] = dict
        self.apply_confirmation: Callable[[str, int, float], None] = lambda kind, digest, at: None
        self.holds_map_lease: Callable[[], bool] = lambda: False

    async def open(self, host: str, port: int) -> None:
        """Listen for datagrams.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._send()

    def close(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_peers(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Take the addresses of the daemons that are registered, by name."""
        self._addresses = {
            name: address for name, address in addresses.items() if name != self._name
        }

    def count_daemons(self) -> int:
        """Return how many daemons share what is granted to all, this one included."""
        now = self._loop.time()
        peer_count = sum(1 for at in self._received_at.values() if now - at < SHARER_EXPIRY_S)
        return 1 + max(peer_count, len(self._addresses))

    def map_lease_silence_s(self) -> float:
        """Return the seconds since another daemon said that it holds the lease."""
        return self._loop.time() - self._leader_received_at

    def position(self) -> int:
        """Return this daemon's place among those heard lately, by name."""
        now = self._loop.time()
        return sum(
            1
            for name, at in self._received_at.items()
            if now - at < PRESENCE_EXPIRY_S and name < self._name
        )

    def schedule_send(self) -> None:
        """Send the loads soon."""
        if self._timer is None or self._timer.when() > self._loop.time() + COALESCE_S:
            self._set_timer(COALESCE_S)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's message."""
        try:
            message = msgspec.msgpack.decode(data, type=PeerMessage)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            log_event("peer_message_malformed", address=addr[0], reason=str(error))
            return
        last = self._last_received.get(message.name)
        if last is not None and last[0] == message.start and last[1] >= message.number:
            return
        if last is None or last[0] != message.start:
            # A VM that is replaced comes back under its name at another address.
            log_event("peer_seen", peer=message.name, address=addr[0])
            self._addresses[message.name] = (addr[0], addr[1])
        self._last_received[message.name] = (message.start, message.number)
        self._received_at[message.name] = self._loop.time()
        if message.holds_map_lease:
            self._map_leader, self._leader_received_at = message.name, self._loop.time()
        elif message.name == self._map_leader:
            # It lost the lease and says so; its silence need not be waited for.
            self._map_leader, self._leader_received_at = "", float("-inf")
        self._take_loads(message.name, message.loads)
        self._apply_confirmations(message)

    def error_received(self, exc: OSError) -> None:
        """Do nothing: a daemon that is gone refuses, and its silence says enough."""

    def _apply_confirmations(self, message: PeerMessage) -> None:
        """Take what a peer knows, as of when this daemon sent what the peer had heard.

        The message itself may have lain in a buffer for long, as while a VM was suspended.
        """
        start, number = message.last_received.get(self._name, (0, 0))
        sent_at = self._sent_at.get(number)
        if start != self._start or sent_at is None:
            return
        for kind, (digest, age) in message.confirmed.items():
            self.apply_confirmation(kind, digest, sent_at - age)

    def _choose_confirmations(self) -> dict[str, tuple[int, float]]:
        """Return what is to be confirmed with the next message."""
        confirmed, now = self.read_confirmations(), self._loop.time()
        digests = {kind: digest for kind, (digest, _) in confirmed.items()}
        if (
            digests == self._sent_digests
            and now - self._confirmations_sent_at < CONFIRMATION_INTERVAL_S
        ):
            return {}
        self._confirmations_sent_at, self._sent_digests = now, digests
        return confirmed

    def _set_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._send)

    def _send(self) -> None:
        self._set_timer(RENEW_INTERVAL_S)
        if self._transport is None:
            return
        self._number += 1
        self._sent_at[self._number] = self._loop.time()
        self._sent_at.pop(self._number - MAX_SENT_TIMES, None)
        confirmed = self._choose_confirmations()
        message = PeerMessage(
            self._name,
            self._start,
            self._number,
            self._read_loads(),
            self.holds_map_lease(),
            confirmed,
            self._last_received if confirmed else {},
        )
        data = msgspec.msgpack.encode(message)
        for address in self._addresses.values():
            self._transport.sendto(data, address)
