"""Lets two daemons confirm for all others that what they know is the newest.

Each call to the store is priced, and a confirmation of the configuration is needed every few
seconds at every daemon. Two daemons watch with short waits and tell the others a digest of what
they know and how long ago it was confirmed; the others watch with long waits. A daemon whose
digest differs asks the store itself, and so does one that hears of no confirmation.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from magnoliarouter.gateway.peers import PeerLoads
    from magnoliarouter.store.feed import ObjectFeed

__all__ = [
    "CONFIGURATION_WAIT_S",
    "CONFIRMING_WAIT_S",
    "ENDPOINTS_WAIT_S",
    "Confirmations",
]

# A watch confirms the configuration from when it was sent, so two of them must fit into the
# age at which keys are honoured.
CONFIGURATION_WAIT_S = 2.0
# The same for a daemon that confirms for others, with a second for the way to them and back.
CONFIRMING_WAIT_S = 1.0
# Longer than the span after which a disturbed daemon counts as in touch would miss a silent path.
ENDPOINTS_WAIT_S = 2.2
# The store holds a watch for 30 s at most.
LONG_WAIT_S = 20.0
# One may be cut off or turned away by the store.
CONFIRMING_DAEMONS = 2
# A confirmation counts until two short watches and the way to the others and back are over; an
# older one means that a watch did not come back.
ROUND_TRIP_MARGIN_S = 1.4
CHECK_INTERVAL_S = 0.25
# A change reaches all watches within some milliseconds, or after the 0.4 s in which changes gather; a
# digest that differs longer was missed.
DIGEST_MISMATCH_S = 0.6
# Lists are made no more often than this, whatever others say.
MIN_REFRESH_INTERVAL_S = 2.0


class Confirmations:
    """What this daemon's feeds know, and until when others have confirmed it.

    Parameters
    ----------
    feeds : mapping of ObjectFeed to float
        Feeds of the store, each with the wait in seconds of its watches while this daemon confirms
        for the others; their own wait is for a daemon that nobody confirms for.
    peers : PeerLoads
        The other daemons.
    clock : callable
        Loop time in seconds.
    """

    def __init__(
        self, feeds: Mapping[ObjectFeed, float], peers: PeerLoads, clock: Callable[[], float]
    ) -> None:
        self._feeds = {feed.kind: feed for feed in feeds}
        self._default_wait = {kind: feed.watch_wait_s for kind, feed in self._feeds.items()}
        self._confirming_wait = {feed.kind: wait for feed, wait in feeds.items()}
        self._peers = peers
        self._clock = clock
        self._relayed: dict[str, float] = {}
        self._differs_since: dict[str, float] = {}
        self._refreshed_at: dict[str, float] = {}

    def collect(self) -> dict[str, tuple[int, float]]:
        """Return digest and age of each kind, if this daemon confirms for the others."""
        if not self._is_confirming():
            return {}
        now = self._clock()
        return {
            kind: (feed.digest(), round(now - feed.confirmed_at, 3))
            for kind, feed in self._feeds.items()
            if feed.confirmed_at is not None
        }

    def apply(self, kind: str, digest: int, at: float) -> bool:
        """Take a peer's confirmation, and return whether it holds for what is known here.

        Parameters
        ----------
        kind : str
            Kind of object.
        digest : int
            Digest of the peer's objects.
        at : float
            Loop time at which they were the newest.
        """
        feed = self._feeds.get(kind)
        if feed is None or not feed.synchronized.is_set():
            return False
        if feed.digest() == digest:
            self._differs_since.pop(kind, None)
            self._relayed[kind] = max(at, self._relayed.get(kind, at))
            return True
        now = self._clock()
        since = self._differs_since.setdefault(kind, now)
        if now - since > DIGEST_MISMATCH_S:
            self._refresh(kind, feed, now)
        return False

    async def run(self) -> None:
        """Choose how long watches wait, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            confirming, now = self._is_confirming(), self._clock()
            for kind, feed in self._feeds.items():
                fresh_s = 2 * self._confirming_wait[kind] + ROUND_TRIP_MARGIN_S
                relayed = now - self._relayed.get(kind, float("-inf")) < fresh_s
                feed.watch_wait_s = self._choose_wait(kind, confirming, relayed)
                if not relayed and feed.is_waiting_longer(self._default_wait[kind]):
                    self._refresh(kind, feed, now)

    def _choose_wait(self, kind: str, confirming: bool, relayed: bool) -> float:
        if confirming:
            return self._confirming_wait[kind]
        return LONG_WAIT_S if relayed else self._default_wait[kind]

    def _is_confirming(self) -> bool:
        return self._peers.position() < CONFIRMING_DAEMONS

    def _refresh(self, kind: str, feed: ObjectFeed, now: float) -> None:
        if now - self._refreshed_at.get(kind, float("-inf")) > MIN_REFRESH_INTERVAL_S:
            self._refreshed_at[kind] = now
            feed.refresh()
