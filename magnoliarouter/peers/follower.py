"""Reads configuration from the logs of relays, and switches to another relay if one is silent.

A relay is an entry daemon that serves the platform objects it has to other daemons; see
`peers.relay`. A daemon runs several followers, each of which polls one relay at a time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.peers.channel import PeerError
from magnoliarouter.peers.relay import RELAY_METHOD, RelayLogReader, RelayReply
from magnoliarouter.store.backoff import Backoff

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from magnoliarouter.peers.client import PeerClient
    from magnoliarouter.store.replica import Replica

__all__ = ["RelayFollower", "RelaySelector"]

REPLY_MARGIN_S = 1.0
NO_RELAY_DELAY_S = 0.3
MIN_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 5.0


class RelaySelector:
    """Assigns each follower of a daemon a relay of its own.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    source : random.Random
        Source of the jitter of the back-off.
    """

    def __init__(self, clock: Callable[[], float], source: random.Random) -> None:
        self._clock = clock
        self._random = source
        self._selected: dict[int, str] = {}
        self._avoided_until: dict[str, float] = {}
        self._backoffs: dict[str, Backoff] = {}

    def select(self, index: int, candidates: Sequence[str]) -> str | None:
        """Return the first candidate that no other follower uses and that is not avoided."""
        now = self._clock()
        selected = {address for other, address in self._selected.items() if other != index}
        for address in candidates:
            if address not in selected and self._avoided_until.get(address, now) <= now:
                self._selected[index] = address
                return address
        self._selected.pop(index, None)
        return None

    def record_reply(self, address: str) -> None:
        """Record that a relay replied."""
        self._avoided_until.pop(address, None)
        self._backoffs.pop(address, None)

    def record_silence(self, address: str) -> None:
        """Record that a relay did not reply; it is avoided for a back-off period."""
        backoff = self._backoffs.setdefault(
            address, Backoff(MIN_AVOIDANCE_S, MAX_AVOIDANCE_S, self._random)
        )
        self._avoided_until[address] = self._clock() + backoff.next_wait()


class RelayFollower:
    """Follows one relay at a time.

    Parameters
    ----------
    index : int
        Index of this follower within its daemon.
    client : PeerClient
        Client for calls to other entry daemons.
    replicas : mapping of str to Replica
        Replicas by kind, to which the objects are applied.
    selector : RelaySelector
        Selector that the followers of a daemon share.
    list_candidates : callable
        Returns the addresses of relays that this follower may use, in order of preference.
    clock : callable
        Loop time in seconds.
    wait_s : float
        Longest wait of a poll in seconds. A silent relay is detected after this wait and a margin;
        the followers of one daemon have different waits, so that one of them detects it early.
    on_poll : callable, optional
        Called after each poll with its result: ``"news"``, ``"idle"`` or ``"silent"``.

    Attributes
    ----------
    address : str
        Address of the current relay; empty if there is none.
    silent_since : float, optional
        Loop time in seconds since which no relay replies to this follower; None while one does.
    caught_up : bool
        Whether the complete log of a relay was read at least once.
    """

    def __init__(
        self,
        index: int,
        client: PeerClient,
        replicas: Mapping[str, Replica],
        selector: RelaySelector,
        list_candidates: Callable[[], Sequence[str]],
        clock: Callable[[], float],
        wait_s: float,
        on_poll: Callable[[str], None] = lambda result: None,
    ) -> None:
        self.address = ""
        self.silent_since: float | None = clock()
        self.caught_up = False
        self._index = index
        self._client = client
        self._replicas = replicas
        self._selector = selector
        self._list_candidates = list_candidates
        self._clock = clock
        self._wait_s = wait_s
        self._on_poll = on_poll
        # Kept for each relay, so that reading continues where it stopped when a relay is used again.
        self._readers: dict[str, RelayLogReader] = {}

    async def run(self) -> None:
        """Poll relays until cancelled."""
        while True:
            candidates = self._list_candidates()
            self.address = self._selector.select(self._index, candidates) or ""
            if self.address:
                await self.poll()
                self._forget_others(candidates)
            else:
                self._record_silence()
                await asyncio.sleep(NO_RELAY_DELAY_S)

    async def poll(self) -> None:
        """Request the new entries of the relay's log once."""
        reader = self._readers.setdefault(self.address, RelayLogReader(self._replicas))
        request = reader.build_request(self._wait_s)
        deadline = self._wait_s + REPLY_MARGIN_S
        try:
            reply = await self._client.call(
                self.address, RELAY_METHOD, request, RelayReply, deadline=deadline
            )
        except PeerError:
            self._selector.record_silence(self.address)
            self._record_silence()
            self._on_poll("silent")
            return
        self._selector.record_reply(self.address)
        self.silent_since = None
        reader.apply(reply, self._clock())
        self.caught_up = self.caught_up or not reply.more
        self._on_poll("news" if reply.items else "idle")

    def _forget_others(self, candidates: Sequence[str]) -> None:
        """Discard the readers of relays that are no longer candidates."""
        for address in [known for known in self._readers if known not in candidates]:
            del self._readers[address]

    def _record_silence(self) -> None:
        if self.silent_since is None:
            self.silent_since = self._clock()
