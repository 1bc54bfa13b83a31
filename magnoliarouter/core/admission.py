"""Decides which calls wait for a place at an endpoint, in which order, and which are refused.

`ArrivalQueue` serves calls of one urgency in order of arrival, and refuses calls while it is full.
`NeedQueue` lets client accounts share, displaces the call that it would serve last, refuses at once
what cannot be served within its wait, and tells refused callers when room for them is expected.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from itertools import count
from typing import TYPE_CHECKING, Any, TypeAlias

from magnoliarouter.core.fairness import Displaced, FairQueue, QueueEntry, QueueFull
from magnoliarouter.core.outcome import NotRun, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

__all__ = [
    "FIRST_URGENCY",
    "MAX_QUEUED_CALLS",
    "ArrivalQueue",
    "CallQueue",
    "Joined",
    "NeedQueue",
    "Refused",
    "Room",
    "WaitingCall",
]

# Urgency of a stream that has started, which precedes all new calls; those have 0 and more.
FIRST_URGENCY = -1
TOP_URGENCY = 0
# Maximum number of calls that wait at one daemon for one service in order of arrival, or while the
# rate of the service is unknown.
MAX_QUEUED_CALLS = 8
# The bound by rate is at least this.
MIN_QUEUED_CALLS = 4
# A kind of calls is moved up while its served share is below this part of the share of all.
SERVED_FLOOR = 1 / 4
# A kind with fewer recent calls is not judged.
MIN_KIND_CALLS = 4.0
# Served and lost calls are forgotten with this time constant.
MEMORY_S = 10.0
# Counts of a shorter time are taken for those of this time.
MIN_COUNTED_S = 3.0
# Least part of the free places that is assumed to be left by more urgent kinds.
MIN_RATE_SHARE = 0.1
# Part of the places left to a kind that is promised to refused calls that return.
RETURNED_SHARE = 0.5
# Return time while the rate is unknown, and the longest one.
UNKNOWN_RETURN_S = 0.8
MAX_RETURN_S = 5.0


@dataclass(slots=True, eq=False)
class WaitingCall:
    """Call that waits for a place.

    Parameters
    ----------
    urgency : int
        0 is served first; `FIRST_URGENCY` is a stream that has started.
    give_up_at : float
        Loop time at which the call stops waiting.
    on_time_until : float
        Loop time until which a place allows the call to meet its target latency.
    customer : str
        Client account; empty if unknown.
    returned : bool
        Whether the call was refused before and came back when it was told to.
    item : object
        Opaque object for the user of the queue.
    """

    urgency: int
    give_up_at: float
    on_time_until: float = math.inf
    customer: str = ""
    returned: bool = False
    item: Any = None


@dataclass(frozen=True, slots=True)
class Joined:
    """The call waits, and displaced another one, which is to be refused as told, if any."""

    displaced: WaitingCall | None = None
    refusal: NotRun | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """The call does not wait; without a refusal, the reason is left to the user of the queue."""

    refusal: NotRun | None = None


@dataclass(frozen=True, slots=True)
class Room:
    """What a service can take, as one daemon knows it.

    Parameters
    ----------
    rate : float
        Places per second that become free for all daemons while all are taken; 0 if unknown.
    daemons : int
        Daemons that share the places.
    peers : sequence of (sequence of int)
        Waiting calls of each other daemon by urgency, from `FIRST_URGENCY` on.
    """

    rate: float = 0.0
    daemons: int = 1
    peers: Sequence[Sequence[int]] = ()

    def count_ahead(self, urgency: int, equal_share: float = 1.0) -> float:
        """Return how many calls of other daemons go before a call.

        Parameters
        ----------
        urgency : int
            Urgency of the call.
        equal_share : float
            Part of the calls with the same urgency that goes before it.
        """
        last = urgency - FIRST_URGENCY
        return sum(
            sum(counts[:last]) + equal_share * sum(counts[last : last + 1]) for counts in self.peers
        )

    def count_more_urgent(self, urgency: int) -> int:
        """Return how many other daemons hold a call that is more urgent."""
        return sum(1 for counts in self.peers if any(counts[: urgency - FIRST_URGENCY]))


@dataclass(slots=True)
class ArrivalQueue:
    """Waiting calls of one service at one daemon: by urgency, on time before late, by arrival."""

    _calls: list[tuple[int, WaitingCall]] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)

    by_need = False

    def __len__(self) -> int:
        return len(self._calls)

    def list_next(self, now: float) -> list[WaitingCall]:
        """Return the waiting calls in the order of service."""
        key = [
            (call.urgency, now > call.on_time_until, number, call) for number, call in self._calls
        ]
        return [call for *_, call in sorted(key, key=lambda one: one[:3])]

    def admit(self, call: WaitingCall, room: Room, now: float) -> Joined | Refused:
        """Add a call unless the queue is full."""
        if len(self) >= MAX_QUEUED_CALLS:
            return Refused()
        self.restore([call], now)
        return Joined()

    def restore(self, calls: Iterable[WaitingCall], now: float) -> None:
        """Add calls that wait already."""
        self._calls.extend((next(self._numbers), call) for call in calls)

    def take(self, call: WaitingCall, now: float) -> None:
        """Remove a call that gets a place."""
        self.remove(call)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that stops waiting, if it waits."""
        self._calls = [one for one in self._calls if one[1] is not call]

    def record_placed(self, call: WaitingCall, now: float) -> None:
        """Do nothing: the order does not depend on what was served."""

    def give_up(self, call: WaitingCall, room: Room, now: float) -> NotRun | None:
        """Return why a call whose wait ended is refused; None leaves it to the user."""
        return None

    def count_by_urgency(self) -> list[int]:
        """Return how many calls wait, from `FIRST_URGENCY` on."""
        return _count_urgencies(call.urgency for _, call in self._calls)

    def estimate_wait_s(self, urgency: int, room: Room) -> float:
        """Return the expected wait in seconds of a new call; 0 if the rate is unknown."""
        ahead = sum(1 for _, call in self._calls if call.urgency <= urgency)
        return 0.0 if room.rate <= 0 else (1 + ahead + room.count_ahead(urgency)) / room.rate


@dataclass(slots=True)
class _KindCounts:
    served: float = 0.0
    lost: float = 0.0
    # Waiting calls of the kind that were moved up, and count as served.
    promoted: int = 0

    def share(self) -> float:
        served = self.served + self.promoted
        return served / max(1.0, served + self.lost)


@dataclass(slots=True)
class NeedQueue:
    """Waiting calls of one service at one daemon, in order of need.

    Started streams come first, then calls by urgency. Among those of one urgency, calls that can
    still be on time precede late ones, returning callers precede new ones, and client accounts
    share by start-time fair queueing.
    """

    _queue: FairQueue = field(default_factory=lambda: FairQueue(MAX_QUEUED_CALLS))
    _kinds: dict[int, _KindCounts] = field(default_factory=dict)
    _return_at: dict[int, float] = field(default_factory=dict)
    _counted_since: float = 0.0
    _counted_at: float = 0.0

    by_need = True

    def __len__(self) -> int:
        return len(self._queue)

    def list_next(self, now: float) -> list[WaitingCall]:
        """Return the waiting calls in the order of service, after those that turned late moved."""
        late = {
            id(entry.item): replace(entry, rank=(entry.rank[0], 1, entry.rank[2]))
            for entry in self._queue
            if not entry.rank[1] and now > entry.item.on_time_until
        }
        if late:
            self._queue.replace(late)
        return [entry.item for entry in self._queue]

    def admit(self, call: WaitingCall, room: Room, now: float) -> Joined | Refused:
        """Add a call, or return why it is refused.

        Parameters
        ----------
        call : WaitingCall
            The call.
        room : Room
            What the service can take.
        now : float
            Loop time in seconds.
        """
        self._age_counts(now)
        promoted = self._is_starved(call.urgency)
        entry = _build_entry(call, TOP_URGENCY if promoted else call.urgency, now)
        expected_s = self._estimate_place_s(entry, room)
        wait_s = call.give_up_at - now
        if call.urgency != FIRST_URGENCY and expected_s > wait_s:
            reason = f"a place is expected in {expected_s:.1f} s, the call waits {wait_s:.1f} s"
            return Refused(self._refuse(ResultCode.DEADLINE_UNREACHABLE, reason, call, room, now))
        if not self._has_room(call, expected_s, now):
            reason = f"a place is expected in {expected_s:.1f} s, after the target"
            return Refused(self._refuse(ResultCode.QUEUE_FULL, reason, call, room, now))
        self._queue.capacity = max(self._find_bound(call, room, now), len(self._queue))
        result = self._queue.push(entry, now)
        if not isinstance(result, QueueFull):
            self._count(call.urgency).promoted += promoted
        match result:
            case QueueFull():
                reason = "every endpoint and the wait queue are full"
                return Refused(self._refuse(ResultCode.QUEUE_FULL, reason, call, room, now))
            case Displaced(entry=last):
                self._forget_promotion(last)
                reason = "the wait queue is full and others are served first"
                refusal = self._refuse(ResultCode.DISPLACED, reason, last.item, room, now)
                return Joined(last.item, refusal)
        return Joined()

    def restore(self, calls: Iterable[WaitingCall], now: float) -> None:
        """Add calls that wait already."""
        self._age_counts(now)
        for call in calls:
            self._queue.capacity = len(self._queue) + 1
            self._queue.push(_build_entry(call, call.urgency, now), now)

    def take(self, call: WaitingCall, now: float) -> None:
        """Remove a call that gets a place."""
        for position, entry in enumerate(self._queue):
            if entry.item is call:
                self._forget_promotion(entry)
                self._queue.pop(now, position)
                self.record_placed(call, now)
                return

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that stops waiting, if it waits."""
        for entry in self._queue:
            if entry.item is call:
                self._forget_promotion(entry)
                self._queue.remove(call)
                return

    def record_placed(self, call: WaitingCall, now: float) -> None:
        """Count a call that got a place."""
        self._age_counts(now)
        self._count(call.urgency).served += 1

    def give_up(self, call: WaitingCall, room: Room, now: float) -> NotRun | None:
        """Return why a call whose wait ended is refused."""
        self._age_counts(now)
        reason = "no place became free in time"
        return self._refuse(ResultCode.QUEUE_FULL, reason, call, room, now)

    def count_by_urgency(self) -> list[int]:
        """Return how many calls wait, by the urgency of their place, from `FIRST_URGENCY` on."""
        return _count_urgencies(entry.rank[0] for entry in self._queue)

    def estimate_wait_s(self, urgency: int, room: Room) -> float:
        """Return the expected wait in seconds of a new call; 0 if the rate is unknown."""
        ahead = sum(1 for entry in self._queue if entry.rank[0] <= urgency)
        ahead += room.count_ahead(urgency)
        return 0.0 if room.rate <= 0 else (1 + ahead) / self._find_rate_left(urgency, room)

    def _estimate_place_s(self, entry: QueueEntry, room: Room) -> float:
        """Return the seconds until a call would get a place; 0 if the rate is unknown."""
        if room.rate <= 0:
            return 0.0
        position, urgency = self._queue.find_position(entry), entry.rank[0]
        equals = [index for index, one in enumerate(self._queue) if one.rank[0] == urgency]
        # The other queues hold calls of the same accounts: about the same part goes before.
        share = (1 + sum(index < position for index in equals)) / (1 + len(equals))
        ahead = position + room.count_ahead(urgency, share)
        return (1 + ahead) / self._find_rate_left(urgency, room)

    def _has_room(self, call: WaitingCall, expected_s: float, now: float) -> bool:
        """Return whether a call may wait that starts late unless those ahead of it give up."""
        return (
            call.urgency == FIRST_URGENCY
            or len(self._queue) < MIN_QUEUED_CALLS
            or now + expected_s <= call.on_time_until
        )

    def _find_bound(self, call: WaitingCall, room: Room, now: float) -> int:
        bound = MAX_QUEUED_CALLS
        if room.rate > 0:
            window_s = max(0.0, min(call.on_time_until, call.give_up_at) - now)
            bound = max(MIN_QUEUED_CALLS, math.ceil(window_s * room.rate / room.daemons))
        if call.urgency == FIRST_URGENCY:
            bound = max(bound, 1 + sum(one.rank[0] == FIRST_URGENCY for one in self._queue))
        return bound

    def _refuse(
        self, code: ResultCode, reason: str, call: WaitingCall, room: Room, now: float
    ) -> NotRun:
        self._count(call.urgency).lost += 1
        return NotRun(code, reason, self._book_return(call.urgency, room, now))

    def _book_return(self, urgency: int, room: Room, now: float) -> float:
        """Return the seconds until room is expected after the calls ahead and earlier returns."""
        if room.rate <= 0:
            return UNKNOWN_RETURN_S
        pace = RETURNED_SHARE * self._find_rate_left(urgency, room) / room.daemons
        at = max(
            now + self.estimate_wait_s(urgency, room),
            self._return_at.get(urgency, -math.inf) + 1 / pace,
        )
        self._return_at[urgency] = min(at, now + MAX_RETURN_S)
        return self._return_at[urgency] - now

    def _find_rate_left(self, urgency: int, room: Room) -> float:
        """Return the places per second that more urgent calls yet to come will leave."""
        served = sum(kind.served for other, kind in self._kinds.items() if other < urgency)
        spent_s = MEMORY_S * (1 - math.exp((self._counted_since - self._counted_at) / MEMORY_S))
        taken = room.daemons * served / max(spent_s, MIN_COUNTED_S)
        return max(MIN_RATE_SHARE * room.rate, room.rate - taken)

    def _is_starved(self, urgency: int) -> bool:
        kind = self._kinds.get(urgency)
        if kind is None or urgency <= TOP_URGENCY or kind.lost < 1:
            return False
        if kind.served + kind.lost < MIN_KIND_CALLS:
            return False
        served = sum(one.served for one in self._kinds.values())
        total = served + sum(one.lost for one in self._kinds.values())
        return kind.share() < SERVED_FLOOR * served / total

    def _forget_promotion(self, entry: QueueEntry) -> None:
        self._count(entry.item.urgency).promoted -= entry.rank[0] != entry.item.urgency

    def _count(self, urgency: int) -> _KindCounts:
        return self._kinds.setdefault(urgency, _KindCounts())

    def _age_counts(self, now: float) -> None:
        if not self._kinds:
            self._counted_since = now
        decay = math.exp(-max(0.0, now - self._counted_at) / MEMORY_S)
        self._counted_at = now
        for kind in self._kinds.values():
            kind.served *= decay
            kind.lost *= decay


CallQueue: TypeAlias = ArrivalQueue | NeedQueue


def _build_entry(call: WaitingCall, urgency: int, now: float) -> QueueEntry:
    rank = (urgency, int(now > call.on_time_until), int(not call.returned))
    return QueueEntry(rank, call.customer, 1.0, math.inf, call)


def _count_urgencies(urgencies: Iterable[int]) -> list[int]:
    counts: list[int] = []
    for urgency in urgencies:
        index = urgency - FIRST_URGENCY
        counts.extend([0] * (index + 1 - len(counts)))
        counts[index] += 1
    return counts
