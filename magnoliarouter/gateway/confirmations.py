"""Relays confirmations that the stored objects are up to date from two daemons to all others.

Calls to the store are billed, and every daemon needs its configuration confirmed every few
seconds. Two daemons watch the store with short waits and send the others a digest of their objects
and the age of its confirmation; the others watch with long waits. A daemon whose digest differs,
or that receives no confirmation, reads from the store itself.
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

# Wait of a watch of the configuration. A watch confirms the configuration as of the time it was
# sent, so two watches must fit into the age up to which keys are accepted.
CONFIGURATION_WAIT_S = 2.0
# The same at a daemon that confirms for the others, less 1 s for the messages to them and back.
CONFIRMING_WAIT_S = 1.0
# Wait of a watch of the endpoints. It is shorter than the time (`contact_s`) after which a daemon
# counts as in contact again after a disturbance; a longer wait would not detect a network path that
# drops packets silently.
ENDPOINTS_WAIT_S = 2.2
# Wait of a watch while other daemons confirm. The store holds a watch for at most 30 s.
LONG_WAIT_S = 20.0
# Two, because one may be cut off or rejected by the store.
CONFIRMING_DAEMONS = 2
# A relayed confirmation is valid for two short watches plus this margin for the messages to the
# other daemons and back. An older one means that a watch did not return.
ROUND_TRIP_MARGIN_S = 1.4
CHECK_INTERVAL_S = 0.25
# A change reaches all watches within a few milliseconds, or after the time during which feeds collect
# changes. A digest that differs for longer than that and this margin means that a change was missed.
DIGEST_MISMATCH_MARGIN_S = 0.2
# Minimum time between two lists of a kind from the store, regardless of what other daemons report.
MIN_REFRESH_INTERVAL_S = 2.0


class Confirmations:
    """Digests of this daemon's feeds and their confirmations by other daemons.

    Parameters
    ----------
    feeds : mapping of ObjectFeed to float
        Feeds of the store, each with the wait in seconds of its watches while this daemon confirms
        for the others. The feed's own wait applies while no daemon confirms for this one.
    peers : PeerLoads
        The other daemons.
    clock : callable
        Loop time in seconds.
    batch_s : float
        Time in seconds during which the feeds collect changes; it may be changed at any time.
    """

    def __init__(
        self,
        feeds: Mapping[ObjectFeed, float],
        peers: PeerLoads,
        clock: Callable[[], float],
        batch_s: float = 0.4,
    ) -> None:
        self.batch_s = batch_s
        self._feeds: dict[str, ObjectFeed] = {}
        self._default_wait: dict[str, float] = {}
        self._confirming_wait: dict[str, float] = {}
        for feed, wait in feeds.items():
            self.add(feed, wait)
        self._peers = peers
        self._clock = clock
        self._relayed: dict[str, float] = {}
        self._differs_since: dict[str, float] = {}
        self._refreshed_at: dict[str, float] = {}

    def add(self, feed: ObjectFeed, wait: float) -> None:
        """Confirm a further feed, with the wait in seconds of its watches while this daemon does."""
        self._feeds[feed.kind] = feed
        self._default_wait[feed.kind] = feed.watch_wait_s
        self._confirming_wait[feed.kind] = wait

    def remove(self, kind: str) -> None:
        """Confirm the feed of a kind no more."""
        self._feeds.pop(kind, None)
        self._relayed.pop(kind, None)
        self._differs_since.pop(kind, None)

    def collect(self) -> dict[str, tuple[int, float]]:
        """Return digest and age in seconds of each kind, if this daemon confirms for the others."""
        if not self._is_confirming():
            return {}
        now = self._clock()
        return {
            kind: (feed.digest(), round(now - feed.confirmed_at, 3))
            for kind, feed in self._feeds.items()
            if feed.confirmed_at is not None
        }

    def apply(self, kind: str, digest: int, at: float) -> bool:
        """Apply a peer's confirmation and return whether it covers this daemon's objects.

        Parameters
        ----------
        kind : str
            Kind of object.
        digest : int
            Digest of the peer's objects.
        at : float
            Loop time at which they were confirmed to be up to date.
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
        if now - since > self.batch_s + DIGEST_MISMATCH_MARGIN_S:
            self._refresh(kind, feed, now)
        return False

    async def run(self) -> None:
        """Adjust the waits of the watches until cancelled."""
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
