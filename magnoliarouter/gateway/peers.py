"""Exchanges endpoint loads, confirmations and liveness between gateway daemons.

Each daemon sends its number of requests in progress at each endpoint to every other daemon, in one
datagram each, as soon as a number changes but at most once every `COALESCE_S`. Every datagram holds
the complete loads, so the next one replaces a lost one. Loads that are not renewed expire.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from magnoliarouter.core.crashes import CrashReport
from magnoliarouter.gateway.peerqueues import PeerQueues
from magnoliarouter.gateway.ratelimits import RateUpdate
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CrashUpdate", "MapLease", "PeerLoads", "PeerMessage"]

# Changes within this time are sent in one datagram. With a longer delay, other daemons would choose
# a slot that is already in use.
COALESCE_S = 0.001
# Minimum interval between messages with confirmations, unless a digest changed. With forty daemons,
# the confirmations are ten times as long as the loads, and traffic between zones is billed.
CONFIRMATION_INTERVAL_S = 0.4
# Interval between datagrams without changes, which renew the loads and show that the daemon is alive.
RENEW_INTERVAL_S = 0.5
# A peer without messages for this time no longer counts among the daemons that share the retry
# budget and the endpoints.
SHARER_EXPIRY_S = 6.0
# Number of sent messages whose send time is kept: one second at the maximum rate.
MAX_SENT_TIMES = 1_000
# A peer counts as present if a message from it was received within this time.
PRESENCE_EXPIRY_S = 1.5
# Interval at which this daemon's view of the daemons in contact is taken anew.
SHARE_INTERVAL_S = 0.1


MapLease: TypeAlias = tuple[int, str, int, float, str]


class CrashUpdate(msgspec.Struct, array_like=True):
    """Crashes of endpoints, as one daemon reports them to the others.

    Parameters
    ----------
    reports : list of CrashReport
        Crashes, and the prompts that the endpoints were working on.
    answered : list of str
        Parts of such prompts on which the sender has seen answers.
    """

    reports: list[CrashReport]
    answered: list[str]


class PeerMessage(msgspec.Struct, array_like=True):
    """State of one daemon as sent to its peers.

    Parameters
    ----------
    name : str
        Name of the VM.
    start : int
        Random number that identifies this start of the daemon.
    number : int
        Sequence number of the message within a start.
    loads : dict of str to int
        Requests in progress at each endpoint.
    holds_map_lease : bool
        Whether the sender holds the lease on the expert maps.
    confirmed : dict of str to (int, float)
        Digest of the sender's objects of each kind, and the seconds since it was confirmed; empty
        unless the sender confirms for the others.
    last_received : dict of str to (int, int)
        Start and number of the last message received from each daemon; sent along with `confirmed`.
    slow_ranks : dict of str to float
        Relative paces of slow ranks; empty unless the sender holds the lease on the expert maps.
    capacity : float
        Capacity of the sender's VM; duties go to the daemons with the largest.
    map_lease : (int, str, int, float, str), optional
        Version, holder, epoch, duration in seconds and write id of the lease on the expert maps, as
        the sender, which holds it, last wrote it.
    crashes : CrashUpdate, optional
        Crashes of endpoints that the sender reports.
    rates : list of RateUpdate
        Rates of endpoints that the sender has just used, and its requests there.
    waiting : dict of str to int
        Calls that wait at the sender for each service.
    stopped : bool
        Whether the sender will send no more requests.
    long_prompts : dict of str to int
        Tokens by which the prompts that the sender has sent to each endpoint since its last message
        were longer than usual.
    queues : dict of str to (list of int)
        Calls that wait at the sender for each service that it serves by need, by urgency from that
        of a started stream on.
    """

    name: str
    start: int
    number: int
    loads: dict[str, int]
    holds_map_lease: bool = False
    confirmed: dict[str, tuple[int, float]] = {}
    last_received: dict[str, tuple[int, int]] = {}
    slow_ranks: dict[str, float] = {}
    capacity: float = 0.0
    map_lease: MapLease | None = None
    crashes: CrashUpdate | None = None
    rates: list[RateUpdate] = []
    waiting: dict[str, int] = {}
    stopped: bool = False
    long_prompts: dict[str, int] = {}
    queues: dict[str, list[int]] = {}


class PeerLoads(asyncio.DatagramProtocol):
    """Sends this daemon's state to the other daemons and applies theirs.

    Parameters
    ----------
    name : str
        Name of this VM.
    start : int
        Random number that identifies this start of the daemon.
    read_loads : callable
        Returns the number of this daemon's requests at each endpoint.
    apply_loads : callable
        Called with a peer's name and its loads.
    capacity : float
        Capacity of this VM, in any unit that all daemons use.
    """

    def __init__(
        self,
        name: str,
        start: int,
        read_loads: Callable[[], dict[str, int]],
        apply_loads: Callable[[str, dict[str, int]], None],
        capacity: float = 0.0,
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._capacities: dict[str, float] = {}
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
        self._waiting: dict[str, dict[str, int]] = {}
        self._queues = PeerQueues(PRESENCE_EXPIRY_S)
        # Daemons that said that they stopped, and did not start again.
        self._stopped: set[str] = set()
        self._share, self._share_at = 1.0, float("-inf")
        self._registered = 1
        self.read_confirmations: Callable[[], dict[str, tuple[int, float]]] = dict
        self.apply_confirmation: Callable[[str, int, float], None] = lambda kind, digest, at: None
        self.holds_map_lease: Callable[[], bool] = lambda: False
        self.read_map_lease: Callable[[], MapLease | None] = lambda: None
        self.apply_map_lease: Callable[[MapLease], None] = lambda lease: None
        self.read_slow_ranks: Callable[[], dict[str, float]] = dict
        self.apply_slow_ranks: Callable[[dict[str, float]], None] = lambda slow: None
        self.collect_crashes: Callable[[], CrashUpdate | None] = lambda: None
        self.apply_crashes: Callable[[str, CrashUpdate], None] = lambda name, update: None
        self.collect_rates: Callable[[], list[RateUpdate]] = list
        self.apply_rates: Callable[[str, int, list[RateUpdate]], None] = (
            lambda name, start, updates: None
        )
        self.read_waiting: Callable[[], dict[str, int]] = dict
        self.read_queues: Callable[[], dict[str, list[int]]] = dict
        self.collect_long_prompts: Callable[[], dict[str, int]] = dict
        self.apply_long_prompts: Callable[[str, dict[str, int]], None] = lambda name, prompts: None

    async def open(self, host: str, port: int) -> None:
        """Listen for datagrams and start to send.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._send()

    def close(self) -> None:
        """Stop sending and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def announce_stop(self) -> None:
        """Tell the other daemons that this one sends no more requests."""
        if self._transport is not None:
            self._send_message(stopped=True)

    def set_peers(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Set the addresses of the registered daemons, by name."""
        self._addresses = {
            name: address for name, address in addresses.items() if name != self._name
        }
        self._queues.registered = frozenset(self._addresses)

    def count_daemons(self) -> int:
        """Return how many daemons share the limits that apply to all, including this one."""
        now = self._loop.time()
        peer_count = sum(1 for at in self._received_at.values() if now - at < SHARER_EXPIRY_S)
        return 1 + max(peer_count, len(self._addresses))

    def read_share(self) -> float:
        """Return the part of a rate for all daemons that this one and those in contact may use.

        A registered daemon that is out of contact may still send requests, and keeps its part.
        """
        now = self._loop.time()
        if now - self._share_at >= SHARE_INTERVAL_S:
            self._share, self._share_at = self._compute_share(now), now
        return self._share

    def count_registered(self) -> int:
        """Return how many daemons share a rate, this one and those out of contact included."""
        self.read_share()
        return self._registered

    def _compute_share(self, now: float) -> float:
        present = self._list_present(now)
        registered = (self._addresses.keys() | present) - self._stopped
        self._registered = 1 + len(registered)
        return (1 + len(present)) / self._registered

    def count_present(self) -> int:
        """Return how many daemons are in contact, this one included."""
        return 1 + len(self._list_present(self._loop.time()))

    def _list_present(self, now: float) -> set[str]:
        return {
            name for name, at in self._received_at.items() if now - at < PRESENCE_EXPIRY_S
        } - self._stopped

    def count_waiting(self, service: str) -> int:
        """Return how many calls wait for a service at the daemons in contact."""
        now = self._loop.time()
        return sum(
            waiting.get(service, 0)
            for name, waiting in self._waiting.items()
            if now - self._received_at[name] < PRESENCE_EXPIRY_S
        )

    def list_queues(self, service: str) -> list[list[int]]:
        """Return the calls that wait for a service by urgency, for each daemon that holds any."""
        return self._queues.list(service, self._loop.time())

    def map_lease_silence_s(self) -> float:
        """Return the seconds since another daemon reported that it holds the map lease."""
        return self._loop.time() - self._leader_received_at

    def position(self) -> int:
        """Return this daemon's index among the present daemons, by capacity and then by name."""
        now, own = self._loop.time(), (-self._capacity, self._name)
        return sum(
            1
            for name, at in self._received_at.items()
            if now - at < PRESENCE_EXPIRY_S and (-self._capacities.get(name, 0.0), name) < own
        )

    def schedule_send(self) -> None:
        """Send the loads within `COALESCE_S`."""
        if self._timer is None or self._timer.when() > self._loop.time() + COALESCE_S:
            self._set_timer(COALESCE_S)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a peer's message, unless a newer one was received."""
        try:
            message = msgspec.msgpack.decode(data, type=PeerMessage)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            log_event("peer_message_malformed", address=addr[0], reason=str(error))
            return
        last = self._last_received.get(message.name)
        if last is not None and last[0] == message.start and last[1] >= message.number:
            return
        if last is None or last[0] != message.start:
            # A replaced VM keeps its name and gets another address.
            log_event("peer_seen", peer=message.name, address=addr[0])
            self._addresses[message.name] = (addr[0], addr[1])
        self._last_received[message.name] = (message.start, message.number)
        self._received_at[message.name] = self._loop.time()
        self._capacities[message.name] = message.capacity
        self._waiting[message.name] = message.waiting
        self._queues.apply(message.name, message.queues, self._loop.time())
        if message.stopped:
            log_event("peer_stopped", peer=message.name)
            self._stopped.add(message.name)
        else:
            self._stopped.discard(message.name)
        if message.holds_map_lease:
            self._map_leader, self._leader_received_at = message.name, self._loop.time()
            self.apply_slow_ranks(message.slow_ranks)
            if message.map_lease is not None:
                self.apply_map_lease(message.map_lease)
        elif message.name == self._map_leader:
            # The daemon reports that it lost the lease, so no silence has to be awaited.
            self._map_leader, self._leader_received_at = "", float("-inf")
        self._take_loads(message.name, message.loads)
        if message.long_prompts:
            self.apply_long_prompts(message.name, message.long_prompts)
        self._apply_confirmations(message)
        if message.rates:
            self.apply_rates(message.name, message.start, message.rates)
        if message.crashes is not None:
            self.apply_crashes(message.name, message.crashes)

    def error_received(self, exc: OSError) -> None:
        """Ignore errors: a stopped daemon refuses datagrams and is detected by its silence."""

    def _apply_confirmations(self, message: PeerMessage) -> None:
        """Apply a peer's confirmations as of the time this daemon sent the message the peer names.

        The time of receipt is not used, because the peer's message may have waited in a buffer, for
        example while the VM was suspended.
        """
        start, number = message.last_received.get(self._name, (0, 0))
        sent_at = self._sent_at.get(number)
        if start != self._start or sent_at is None:
            return
        for kind, (digest, age) in message.confirmed.items():
            self.apply_confirmation(kind, digest, sent_at - age)

    def _choose_confirmations(self) -> dict[str, tuple[int, float]]:
        """Return the confirmations to send with the next message; empty if none are due."""
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
        if self._transport is None:
            return
        self._set_timer(RENEW_INTERVAL_S)
        self._send_message()

    def _send_message(self, stopped: bool = False) -> None:
        assert self._transport is not None
        self._number += 1
        self._sent_at[self._number] = self._loop.time()
        self._sent_at.pop(self._number - MAX_SENT_TIMES, None)
        confirmed, leads = self._choose_confirmations(), self.holds_map_lease()
        message = PeerMessage(
            self._name,
            self._start,
            self._number,
            self._read_loads(),
            leads,
            confirmed,
            self._last_received if confirmed else {},
            self.read_slow_ranks() if leads else {},
            self._capacity,
            self.read_map_lease() if leads else None,
            self.collect_crashes(),
            self.collect_rates(),
            self.read_waiting(),
            stopped,
            self.collect_long_prompts(),
            self.read_queues(),
        )
        data = msgspec.msgpack.encode(message)
        for address in self._addresses.values():
            self._transport.sendto(data, address)
