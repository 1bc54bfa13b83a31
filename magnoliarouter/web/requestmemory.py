"""Bound on the memory that requests of callers take together."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "DEFAULT_REQUEST_MEMORY_BYTES",
    "MEMORY_REASON",
    "RECEIVE_BUFFER_BYTES",
    "REJECTED_RETRY_AFTER_S",
    "REQUEST_OVERHEAD_BYTES",
    "SMALL_REQUEST_BYTES",
    "RequestHold",
    "RequestMemory",
    "weigh_body",
    "weigh_field",
    "weigh_request",
]

# Memory of the requests of a server that shares none with others.
DEFAULT_REQUEST_MEMORY_BYTES = 67_108_864
# Size that the kernel is asked for to hold the unread bytes of a connection; it keeps up to half as
# much again.
RECEIVE_BUFFER_BYTES = 16_384
# Why a request is refused, and after which time its caller may return: another daemon may have room.
MEMORY_REASON = "the requests of all callers take the memory that they may"
REJECTED_RETRY_AFTER_S = 0.2
# Objects of a request beside its bytes, and of each of its header fields.
REQUEST_OVERHEAD_BYTES = 4_096
FIELD_OVERHEAD_BYTES = 256
# A body is held once, by a buffer that grows ahead of it, and a part of it by the endpoint's connection.
# Names and values of fields are encoded once more.
BODY_COPIES = 1.5
TEXT_COPIES = 3
# Memory that a request may take and still use what is kept free of large ones.
SMALL_REQUEST_BYTES = 65_536
# Share of the memory that large requests may take together.
LARGE_SHARE = 0.75


def weigh_request(target: bytes | bytearray) -> int:
    """Return the bytes of memory that a request without fields and body takes."""
    return REQUEST_OVERHEAD_BYTES + TEXT_COPIES * len(target)


def weigh_field(name: bytes, value: bytes) -> int:
    """Return the bytes of memory that a header field takes."""
    return FIELD_OVERHEAD_BYTES + TEXT_COPIES * (len(name) + len(value))


def weigh_body(size: int) -> int:
    """Return the bytes of memory that a body of `size` bytes takes."""
    return int(size * BODY_COPIES)


class RequestHold:
    """Memory that one request takes until its response is sent.

    Parameters
    ----------
    memory : RequestMemory
        The memory it is part of.
    give_up : callable
        Refuses the request and releases what it holds; called only before `settle`.
    """

    __slots__ = ("_give_up", "_memory", "settled", "size")

    def __init__(self, memory: RequestMemory, give_up: Callable[[], None]) -> None:
        self.size = 0
        self.settled = False
        self._memory = memory
        self._give_up = give_up

    @property
    def is_large(self) -> bool:
        """Whether the request may use only what large requests may take together."""
        return self.size > SMALL_REQUEST_BYTES

    def resize(self, size: int) -> None:
        """Set the bytes that the request takes; this or other requests may be given up."""
        self._memory.resize(self, size)

    def settle(self) -> None:
        """Keep the request from being given up, since it may be passed on from now on."""
        self._memory.settle(self)

    def release(self) -> None:
        """Return what the request takes."""
        self._memory.release(self)

    def give_up(self) -> None:
        """Refuse the request."""
        self._give_up()


class RequestMemory:
    """Memory that all requests of a process may take at the same time.

    Nothing waits for memory, since most callers that use it up would not make any free. Once it is
    used up, the requests that have made no progress for longest are given up, as long as they have
    not been passed on. A request that is alone always fits.

    Parameters
    ----------
    limit : int
        Bytes. Large requests may take three quarters of them together, so that small ones find room
        beside them.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.large_limit = int(limit * LARGE_SHARE)
        self.used = 0
        self.used_by_large = 0
        self._used_by_settled_large = 0
        # Requests that may be given up, the one without progress for longest first.
        self._arriving: OrderedDict[RequestHold, None] = OrderedDict()
        self._arriving_large: OrderedDict[RequestHold, None] = OrderedDict()

    def has_room(self, size: int) -> bool:
        """Return whether a request fits beside those that cannot be given up."""
        if size <= SMALL_REQUEST_BYTES or not self._used_by_settled_large:
            return True
        return self._used_by_settled_large + size <= self.large_limit

    def resize(self, hold: RequestHold, size: int) -> None:
        """Set the bytes that a request takes, and give up what does not fit."""
        self._take(hold, size)
        if not hold.settled:
            self._arriving[hold] = None
            self._arriving.move_to_end(hold)
            if hold.is_large:
                self._arriving_large[hold] = None
                self._arriving_large.move_to_end(hold)
        while self._arriving_large and self.used_by_large > self.large_limit:
            if not self._give_up_first(self._arriving_large, self.used_by_large):
                break
        while self._arriving and self.used > self.limit:
            if not self._give_up_first(self._arriving, self.used):
                break

    def settle(self, hold: RequestHold) -> None:
        """Keep a request from being given up."""
        self._forget(hold)
        hold.settled = True
        self._used_by_settled_large += hold.size if hold.is_large else 0

    def release(self, hold: RequestHold) -> None:
        """Return what a request takes."""
        self._forget(hold)
        self._take(hold, 0)

    def _take(self, hold: RequestHold, size: int) -> None:
        large = (size if size > SMALL_REQUEST_BYTES else 0) - (hold.size if hold.is_large else 0)
        self.used += size - hold.size
        self.used_by_large += large
        if hold.settled:
            self._used_by_settled_large += large
        hold.size = size

    def _forget(self, hold: RequestHold) -> None:
        self._arriving.pop(hold, None)
        self._arriving_large.pop(hold, None)

    @staticmethod
    def _give_up_first(arriving: OrderedDict[RequestHold, None], used: int) -> bool:
        """Give the first request up unless it is alone; return whether one was given up."""
        first = next(iter(arriving))
        if used == first.size:
            return False
        first.give_up()
        return True
