"""Bounded waiting queue: rank first, then weighted fair by customer, with deadlines.

Within a rank, start-time fair queueing gives each customer turns in proportion to its weight,
however many calls it has waiting. When the queue is full, a new call takes the place of the call
that would be served last, if it is to be served before that one.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Displaced", "Entry", "FairQueue", "Full", "Queued", "TooLong"]

RATE_DECAY = 0.9
FIRST_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Entry:
    """One waiting call.

    Parameters
    ----------
    rank : tuple of int
        Lower ranks are served first.
    customer : str
        Customer.
    weight : float
        Share of turns relative to other customers of the rank.
    deadline : float
        Loop time by which it must be served.
    item : object
        What the caller of the queue wants back.
    again : bool
        Whether the call had its turn already but found no room; it then goes before the others
        of its rank.
    """

    rank: tuple[int, ...]
    customer: str
    weight: float
    deadline: float
    item: Any = None
    again: bool = False


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits."""


@dataclass(frozen=True, slots=True)
class Displaced:
    """The call waits in place of another one, which is to be refused."""

    entry: Entry
    retry_after: float


@dataclass(frozen=True, slots=True)
class Full:
    """The queue is full of calls that are to be served before this one."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class TooLong:
    """The call cannot be served before its deadline."""

    retry_after: float


@dataclass(order=True, slots=True)
class _Place:
    rank: tuple[int, ...]
    finish: float
    number: int
    entry: Entry = field(compare=False)
    start: float = field(compare=False, default=0.0)


@dataclass(slots=True)
class FairQueue:
    """Queue of the calls that need one kind of endpoint.

    Parameters
    ----------
    capacity : int
        Calls that may wait.

    Examples
    --------
    >>> queue = FairQueue(8)
    >>> for name in ("a", "a", "b"):
    ...     _ = queue.push(Entry((0,), name, 1.0, 10.0, name), now=0.0)
    >>> [queue.pop(0.0).item for _ in range(3)]
    ['a', 'b', 'a']
    """

    capacity: int
    _places: list[_Place] = field(default_factory=list)
    _virtual: dict[tuple[int, ...], float] = field(default_factory=dict)
    _finished: dict[tuple[tuple[int, ...], str], float] = field(default_factory=dict)
    _numbers: int = 0
    _interval: float = 0.0
    _served: float = 0.0

    def __len__(self) -> int:
        return len(self._places)

    def push(self, entry: Entry, now: float) -> Queued | Displaced | Full | TooLong:
        """Let a call wait, or tell why it cannot."""
        place = self._create_place(entry)
        position = bisect.bisect(self._places, place)
        wait = self.estimate_wait(position)
        if now + wait > entry.deadline:
            return TooLong(wait)
        if len(self._places) < self.capacity:
            self._insert(place)
            return Queued()
        if position >= len(self._places):
            return Full(self.estimate_wait(len(self._places)) or FIRST_RETRY_S)
        last = self._places.pop()
        self._take_back(last)
        self._insert(place)
        return Displaced(last.entry, self.estimate_wait(len(self._places)) or FIRST_RETRY_S)

    def peek(self) -> Entry | None:
        """Return the call to be served next."""
        return self._places[0].entry if self._places else None

    def pop(self, now: float) -> Entry:
        """Remove and return the call to be served next.

        Raises
        ------
        IndexError
            No call waits.
        """
        place = self._places.pop(0)
        self._virtual[place.rank] = max(self._virtual.get(place.rank, 0.0), place.start)
        if self._served and now > self._served:
            passed = now - self._served
            known = self._interval or passed
            self._interval = RATE_DECAY * known + (1 - RATE_DECAY) * passed
        self._served = now
        if not self._places:
            self._reset()
        return place.entry

    def remove(self, item: Any) -> bool:
        """Remove a call that no longer waits, and return whether it did."""
        for place in self._places:
            if place.entry.item is item:
                self._places.remove(place)
                return True
        return False

    def expire(self, now: float) -> list[Entry]:
        """Remove and return the calls that cannot be served before their deadline any more."""
        late = []
        for position, place in enumerate(self._places):
            if now + self.estimate_wait(position - len(late)) > place.entry.deadline:
                late.append(place)
        for place in late:
            self._places.remove(place)
        return [place.entry for place in late]

    def estimate_wait(self, position: int) -> float:
        """Return the seconds until a call at a position is served, by the recent pace."""
        return position * self._interval

    def _create_place(self, entry: Entry) -> _Place:
        key = (entry.rank, entry.customer)
        start = max(self._virtual.get(entry.rank, 0.0), self._finished.get(key, 0.0))
        self._numbers += 1
        if entry.again:
            first = self._virtual.get(entry.rank, 0.0)
            return _Place(entry.rank, first, self._numbers, entry, first)
        return _Place(entry.rank, start + 1.0 / entry.weight, self._numbers, entry, start)

    def _insert(self, place: _Place) -> None:
        bisect.insort(self._places, place)
        if place.entry.again:
            return
        self._finished[place.rank, place.entry.customer] = place.finish

    def _take_back(self, place: _Place) -> None:
        """Free the turn of a call that was displaced for the customer's next one."""
        if place.entry.again:
            return
        key = (place.rank, place.entry.customer)
        self._finished[key] = min(self._finished.get(key, place.start), place.start)

    def _reset(self) -> None:
        self._virtual.clear()
        self._finished.clear()
        # A pause without waiting calls says nothing about the pace.
        self._served = 0.0
