"""Relaying of configuration: a daemon serves its platform objects to others as a numbered log.

The log contains the version of each object that is in force, and a newer version that the daemon
refused, if there is one. A follower requests the entries after the position that it has read, and
applies them to its own replicas.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.store.objects import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from magnoliarouter.store.replica import Replica

__all__ = ["RELAY_METHOD", "RelayItem", "RelayLog", "RelayLogReader", "RelayReply", "RelayRequest"]

RELAY_METHOD = "relay"
MAX_BATCH_BYTES = 262_144
MAX_WAIT_S = 10.0
# Refused objects that are relayed, of which the oldest is left out first.
MAX_REFUSED = 1_000
# Sent in place of a value that cannot be encoded. No kind of object accepts it, so followers refuse
# the object.
UNREADABLE_VALUE = "unreadable"


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the log entries after a position.

    Parameters
    ----------
    incarnation : str
        Id of the log that the position belongs to; a relay with another log sends it from the
        start.
    after : int
        Position up to which the log was read.
    wait_s : float
        Longest wait for a new entry in seconds.
    """

    incarnation: str
    after: int
    wait_s: float


class RelayItem(msgspec.Struct, frozen=True, array_like=True):
    """Object in a relay's log.

    Parameters
    ----------
    data : bytes
        `StoredObject` as JSON.
    refused : bool
        Whether the relay refuses this version and keeps an older one in force.
    """

    data: bytes
    refused: bool


class RelayReply(msgspec.Struct, frozen=True, array_like=True):
    """Log entries after a position.

    Parameters
    ----------
    incarnation : str
        Id of the relay's log.
    position : int
        Position in the log after these items.
    items : list of RelayItem
        Objects, oldest first, each at its newest version.
    more : bool
        Whether further items follow; if so, `complete`, `ages` and `floors` are not sent yet.
    complete : dict of str to int
        Version up to which the relay knows all changes, by kind.
    ages : dict of str to float
        Seconds since the last contact with the platform, by kind.
    floors : dict of str to int
        Version up to which the absence of an object does not prove its deletion, by kind.
    """

    incarnation: str
    position: int
    items: list[RelayItem]
    more: bool = False
    complete: dict[str, int] = {}
    ages: dict[str, float] = {}
    floors: dict[str, int] = {}


class RelayLog:
    """Newest versions of all objects, in the order in which they were received.

    Parameters
    ----------
    incarnation : str
        Random id of this process's log.
    clock : callable
        Loop time in seconds.
    batch_bytes : int
        Size in bytes after which a reply is split.

    Attributes
    ----------
    last_request_at : float, optional
        Loop time in seconds of the last request.
    """

    def __init__(
        self, incarnation: str, clock: Callable[[], float], batch_bytes: int = MAX_BATCH_BYTES
    ) -> None:
        self.incarnation = incarnation
        self.last_request_at: float | None = None
        self.position = 0
        self._clock = clock
        self._batch_bytes = batch_bytes
        self._replicas: dict[str, Replica] = {}
        self._entries: dict[tuple[str, str, bool], tuple[int, int, RelayItem]] = {}
        self._refused: dict[tuple[str, str, bool], None] = {}
        self._changed = asyncio.Event()

    def add_replica(self, replica: Replica) -> None:
        """Serve the objects of a replica; call it before the replica receives any."""
        self._replicas[replica.kind] = replica
        replica.on_item = self.record
        replica.keeps_encoded = True

    def record(self, item: StoredObject, refused: bool) -> None:
        """Append a version of an object and remove the older one."""
        self._entries.pop((item.kind, item.name, refused), None)
        earlier_refusal = self._entries.get((item.kind, item.name, True))
        if earlier_refusal is not None and not refused and earlier_refusal[1] <= item.version:
            del self._entries[item.kind, item.name, True]
        self.notify()
        entry = self.position, item.version, RelayItem(_encode(item), refused)
        key = item.kind, item.name, refused
        self._entries[key] = entry
        if refused:
            self._refused.pop(key, None)
            self._refused[key] = None
            if len(self._refused) > MAX_REFUSED:
                oldest = next(iter(self._refused))
                del self._refused[oldest]
                self._entries.pop(oldest, None)

    def notify(self) -> None:
        """Advance the position and wake waiting followers.

        Called for each new entry, and when a kind becomes complete, with or without an entry.
        """
        self.position += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, request: RelayRequest) -> RelayReply:
        """Return the reply to a follower, after a wait if there is no new entry."""
        self.last_request_at = self._clock()
        # Whether the follower's position belongs to this log.
        is_own_position = request.incarnation == self.incarnation and request.after <= self.position
        # A new follower gets a reply at once, which shows it that the relay is running.
        if is_own_position and request.after == self.position:
            await self._wait(min(request.wait_s, MAX_WAIT_S))
        return self.read(request.after if is_own_position else 0)

    def read(self, after: int) -> RelayReply:
        """Return the entries after a position."""
        items, position, size = [], after, 0
        for entry_position, item in self._select(after):
            if size > self._batch_bytes:
                return RelayReply(self.incarnation, position, items, more=True)
            items.append(item)
            size += len(item.data)
            position = entry_position
        now = self._clock()
        replicas = self._replicas.values()
        return RelayReply(
            self.incarnation,
            self.position,
            items,
            complete={r.kind: r.version for r in replicas if r.synchronized.is_set()},
            ages={
                r.kind: now - r.last_contact_at for r in replicas if r.last_contact_at is not None
            },
            floors={r.kind: r.cache.floor for r in replicas if r.cache.floor},
        )

    def _select(self, after: int) -> list[tuple[int, RelayItem]]:
        chosen = []
        for position, _, item in reversed(self._entries.values()):
            if position <= after:
                break
            chosen.append((position, item))
        return chosen[::-1]

    async def _wait(self, seconds: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return


class RelayLogReader:
    """Reads the log of one relay into replicas.

    Parameters
    ----------
    replicas : mapping of str to Replica
        Replicas by kind, to which the objects are applied; other kinds are ignored.
    """

    def __init__(self, replicas: Mapping[str, Replica]) -> None:
        self._replicas = replicas
        self._reset("")

    def build_request(self, wait_s: float) -> RelayRequest:
        """Return the request for new entries."""
        return RelayRequest(self.incarnation, self.position, wait_s)

    def apply(self, reply: RelayReply, now: float) -> None:
        """Apply a reply to the replicas.

        Parameters
        ----------
        reply : RelayReply
            Reply to the last request.
        now : float
            Loop time in seconds.
        """
        if reply.incarnation != self.incarnation:
            self._reset(reply.incarnation)
        self.position = reply.position
        for relayed in reply.items:
            item = _decode(relayed.data)
            if item is None or item.kind not in self._replicas:
                continue
            self._names.get(item.kind, set()).add(item.name)
            if relayed.refused:
                self._refused.append(item)
            else:
                self._replicas[item.kind].apply(item)
        if not reply.more:
            self._finish(reply, now)

    def _reset(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.position = 0
        # Names received so far, by kind, for kinds that the relay has not reported as complete.
        self._names: dict[str, set[str]] = {kind: set() for kind in self._replicas}
        self._refused: list[StoredObject] = []

    def _finish(self, reply: RelayReply, now: float) -> None:
        # Refused objects are applied last, when the objects that they clash with are in force.
        for item in self._refused:
            self._replicas[item.kind].apply(item)
        self._refused.clear()
        for kind, replica in self._replicas.items():
            replica.cache.raise_floor(reply.floors.get(kind, 0))
            if kind in reply.ages:
                replica.record_contact(now - max(0.0, reply.ages[kind]))
            if kind not in reply.complete:
                continue
            present = self._names.pop(kind, None)
            if present is None:
                replica.advance_version(reply.complete[kind])
            else:
                replica.mark_complete(present, reply.complete[kind])


def _encode(item: StoredObject) -> bytes:
    try:
        return msgspec.json.encode(item)
    except (TypeError, ValueError, OverflowError, RecursionError):
        return msgspec.json.encode(msgspec.structs.replace(item, value=UNREADABLE_VALUE))


def _decode(data: bytes) -> StoredObject | None:
    try:
        return msgspec.json.decode(data, type=StoredObject)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None
