"""Bounded wait queue with deadlines: ordered by rank, then weighted fair queueing by customer.

Within a rank, start-time fair queueing serves customers in proportion to their weights, regardless
of how many calls each has waiting. If the queue is full, a new call displaces the call that would
be served last, provided that the new call would be served earlier.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["DeadlineUnreachable", "Displaced", "FairQueue", "QueueEntry", "QueueFull", "Queued"]

INTERVAL_DECAY = 0.9
DEFAULT_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """Call that waits in the queue.

    Parameters
    ----------
    rank : tuple of int
        Lower ranks are served first.
    customer : str
        Customer.
    weight : float
        Fair-queueing weight relative to other customers of the rank.
    deadline : float
        Loop time in seconds by which it must be served.
    item : object
        Opaque object for the user of the queue.
    requeued : bool
        Whether the call was served before but found no free capacity; it then precedes the
        others of its rank.
    """

    rank: tuple[int, ...]
    customer: str
    weight: float
    deadline: float
    item: Any = None
    requeued: bool = False


@dataclass(frozen=True, slots=True)
class Queued:
    """The call was added to the queue."""


@dataclass(frozen=True, slots=True)
class Displaced:
    """The call was added and displaced another one, `entry`, which is to be refused."""

    entry: QueueEntry
    retry_after: float


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The queue is full of calls that are to be served before this one."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class DeadlineUnreachable:
    """The call cannot be served before its deadline."""

    retry_after: float


@dataclass(order=True, slots=True)
class _ScheduledEntry:
    """Entry with its virtual start and finish times, in the order of service."""

    rank: tuple[int, ...]
    finish: float
    number: int
    entry: QueueEntry = field(compare=False)
    start: float = field(compare=False, default=0.0)


@dataclass(slots=True)
class FairQueue:
    """Queue of the calls that need one kind of endpoint.

    Parameters
    ----------
    capacity : int
        Maximum number of waiting calls.

    Examples
    --------
    >>> queue = FairQueue(8)
    >>> for name in ("a", "a", "b"):
    ...     _ = queue.push(QueueEntry((0,), name, 1.0, 10.0, name), now=0.0)
    >>> [queue.pop(0.0).item for _ in range(3)]
    ['a', 'b', 'a']
    """

    capacity: int
    _scheduled: list[_ScheduledEntry] = field(default_factory=list)
    _virtual_times: dict[tuple[int, ...], float] = field(default_factory=dict)
    _finish_times: dict[tuple[tuple[int, ...], str], float] = field(default_factory=dict)
    _last_number: int = 0
    _mean_interval_s: float = 0.0
    _last_served_at: float = 0.0

    def __len__(self) -> int:
        return len(self._scheduled)

    def __iter__(self) -> Iterator[QueueEntry]:
        """Iterate over the waiting calls in the order of service."""
        return (scheduled.entry for scheduled in self._scheduled)

    def find_position(self, entry: QueueEntry) -> int:
        """Return how many of the waiting calls would be served before a call."""
        return bisect.bisect(self._scheduled, self._schedule(entry))

    def push(
        self, entry: QueueEntry, now: float
    ) -> Queued | Displaced | QueueFull | DeadlineUnreachable:
        """Add a call to the queue, or return why it cannot wait."""
        scheduled = self._schedule(entry)
        position = bisect.bisect(self._scheduled, scheduled)
        wait = self.estimate_wait(position)
        if now + wait > entry.deadline:
            return DeadlineUnreachable(wait)
        if len(self._scheduled) < self.capacity:
            self._insert(scheduled)
            return Queued()
        if position >= len(self._scheduled):
            return QueueFull(self.estimate_wait(len(self._scheduled)) or DEFAULT_RETRY_S)
        last = self._scheduled.pop()
        self._release_turn(last)
        self._insert(scheduled)
        return Displaced(last.entry, self.estimate_wait(len(self._scheduled)) or DEFAULT_RETRY_S)

    def peek(self) -> QueueEntry | None:
        """Return the next call to serve, or None if the queue is empty."""
        return self._scheduled[0].entry if self._scheduled else None

    def pop(self, now: float, position: int = 0) -> QueueEntry:
        """Remove and return the next call to serve, or the one at a later position.

        Raises
        ------
        IndexError
            The queue holds no such position.
        """
        scheduled = self._scheduled.pop(position)
        self._virtual_times[scheduled.rank] = max(
            self._virtual_times.get(scheduled.rank, 0.0), scheduled.start
        )
        if self._last_served_at and now > self._last_served_at:
            elapsed = now - self._last_served_at
            known = self._mean_interval_s or elapsed
            self._mean_interval_s = INTERVAL_DECAY * known + (1 - INTERVAL_DECAY) * elapsed
        self._last_served_at = now
        if not self._scheduled:
            self._reset()
        return scheduled.entry

    def remove(self, item: Any) -> bool:
        """Remove the call with an item, and return whether it was in the queue.

        Its customer's next call takes one turn less.
        """
        for scheduled in self._scheduled:
            if scheduled.entry.item is item:
                self._scheduled.remove(scheduled)
                if not scheduled.entry.requeued:
                    key = (scheduled.rank, scheduled.entry.customer)
                    self._finish_times[key] -= 1.0 / scheduled.entry.weight
                if not self._scheduled:
                    self._reset()
                return True
        return False

    def replace(self, entries: dict[int, QueueEntry]) -> None:
        """Replace calls, by the identity of their item, by others that may have another rank.

        Their customers get back the turns of their old ranks, and take turns of the new ones in the
        order in which the calls wait.
        """
        replaced = [one for one in self._scheduled if id(one.entry.item) in entries]
        for scheduled in reversed(replaced):
            self._scheduled.remove(scheduled)
            self._release_turn(scheduled)
        for scheduled in replaced:
            self._insert(self._schedule(entries[id(scheduled.entry.item)]))

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return the calls that can no longer be served before their deadline."""
        late = []
        for position, scheduled in enumerate(self._scheduled):
            if now + self.estimate_wait(position - len(late)) > scheduled.entry.deadline:
                late.append(scheduled)
        for scheduled in late:
            self._scheduled.remove(scheduled)
        return [scheduled.entry for scheduled in late]

    def estimate_wait(self, position: int) -> float:
        """Return the expected seconds until a position is served, at the recent service rate."""
        return position * self._mean_interval_s

    def _schedule(self, entry: QueueEntry) -> _ScheduledEntry:
        key = (entry.rank, entry.customer)
        start = max(self._virtual_times.get(entry.rank, 0.0), self._finish_times.get(key, 0.0))
        self._last_number += 1
        if entry.requeued:
            first = self._virtual_times.get(entry.rank, 0.0)
            return _ScheduledEntry(entry.rank, first, self._last_number, entry, first)
        return _ScheduledEntry(
            entry.rank, start + 1.0 / entry.weight, self._last_number, entry, start
        )

    def _insert(self, scheduled: _ScheduledEntry) -> None:
        bisect.insort(self._scheduled, scheduled)
        if scheduled.entry.requeued:
            return
        self._finish_times[scheduled.rank, scheduled.entry.customer] = scheduled.finish

    def _release_turn(self, scheduled: _ScheduledEntry) -> None:
        """Let the customer's next call use the turn of a displaced call."""
        if scheduled.entry.requeued:
            return
        key = (scheduled.rank, scheduled.entry.customer)
        self._finish_times[key] = min(self._finish_times.get(key, scheduled.start), scheduled.start)

    def _reset(self) -> None:
        self._virtual_times.clear()
        self._finish_times.clear()
        # The time during which no call waits must not count as an interval between served calls.
        self._last_served_at = 0.0
