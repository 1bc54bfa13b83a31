"""Index of the prompt prefixes that each endpoint holds in its prefix cache.

Engines report each block that enters or leaves their cache as a numbered event. Events may arrive
late or be lost. After a gap in the numbers the index of that endpoint can't be trusted: it is
cleared and filled again from the events that follow.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

__all__ = [
    "BLOCK_CHARACTERS",
    "HEAD_BLOCKS",
    "CacheChange",
    "CacheLog",
    "PrefixIndex",
    "hash_blocks",
    "hash_head",
]

BLOCK_CHARACTERS = 64
HEAD_BLOCKS = 4
HASH_MASK = 0xFFFF_FFFF
MAX_BLOCKS = 1024
MAX_LOG_CHANGES = 512
EXPECTED_BLOCK_TTL_S = 10.0


def hash_blocks(prompt: str, limit: int | None = None) -> list[int]:
    """Return the 32-bit chained hash of each full block at the start of a prompt.

    Parameters
    ----------
    prompt : str
        Prompt as the engine receives it.
    limit : int, optional
        Maximum number of blocks to hash.

    Examples
    --------
    >>> hash_blocks("a" * 130) == hash_blocks("a" * 128 + "b")
    True
    """
    count = len(prompt) // BLOCK_CHARACTERS
    if limit is not None:
        count = min(count, limit)
    chain, hashes = 0, []
    for start in range(0, count * BLOCK_CHARACTERS, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode("utf-8", "surrogatepass")
        chain = xxhash.xxh3_64_intdigest(block, seed=chain)
        hashes.append(chain & HASH_MASK)
    return hashes


def hash_head(prefix: str) -> int | None:
    """Return the hash of a prompt's head, or None if the prompt has no full block.

    The head consists of the first full blocks, at most `HEAD_BLOCKS`.
    """
    hashes = hash_blocks(prefix, HEAD_BLOCKS)
    return hashes[-1] if hashes else None


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Combined effect of a run of consecutive cache events of one endpoint.

    Parameters
    ----------
    after, last : int
        The run consists of the events with numbers above `after` up to `last`.
    stored, removed : tuple of int
        Hashes of the blocks that the endpoint holds, or no longer holds, at the end of the run.
    reset : bool
        Whether events before the run were lost, which invalidates all earlier state.
    """

    after: int
    last: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    reset: bool = False


@dataclass(slots=True)
class PrefixIndex:
    """Blocks that one endpoint holds according to its events.

    A block of a prompt that was just sent to the endpoint counts as held for `EXPECTED_BLOCK_TTL_S`
    seconds, because its event arrives later.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks in the index. The oldest are evicted first, which is safe: an
        unknown block only counts as cold.
    last : int
        Number of the last event applied.
    is_unverified : bool
        Whether the index was cleared and has received no block since.
    resets : int
        Number of times that the index was cleared.
    """

    capacity: int = MAX_BLOCKS
    last: int = 0
    is_unverified: bool = False
    resets: int = 0
    _blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _expected: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def apply(self, change: CacheChange) -> bool:
        """Apply a run of events, and return whether a gap or a reset cleared the index first.

        A run that ends at or before the last event applied is a duplicate and changes nothing.
        """
        gap = change.after > self.last
        if change.last <= self.last:
            return False
        if gap or change.reset:
            self._empty()
        for block in change.stored:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        for block in change.removed:
            self._blocks.pop(block, None)
            self._expected.pop(block, None)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)
        self.last = change.last
        if self._blocks:
            self.is_unverified = False
        return gap or change.reset

    def restart(self) -> None:
        """Clear the index, for example after a restart of the endpoint."""
        self._empty()
        self.last = 0

    def expect_block(self, block: int, now: float) -> None:
        """Record at a loop time that a prompt with this block was sent to the endpoint."""
        self._expected[block] = now + EXPECTED_BLOCK_TTL_S
        self._expected.move_to_end(block)
        while len(self._expected) > self.capacity:
            self._expected.popitem(last=False)

    def holds(self, block: int | None, now: float) -> bool:
        """Return whether the endpoint is known or expected to hold a block."""
        if block is None:
            return False
        return block in self._blocks or now < self._expected.get(block, -math.inf)

    def __len__(self) -> int:
        return len(self._blocks)

    def _empty(self) -> None:
        self._blocks.clear()
        self._expected.clear()
        self.is_unverified = True
        self.resets += 1


@dataclass(slots=True)
class CacheLog:
    """Recent cache changes of one endpoint, read by several followers.

    Parameters
    ----------
    capacity : int
        Maximum number of runs in the log; a follower that requests older ones receives a reset.
    """

    capacity: int = MAX_LOG_CHANGES
    last: int = 0
    _changes: list[CacheChange] = field(default_factory=list)

    def append(self, change: CacheChange) -> None:
        """Append a run of events; one after a gap is marked as a reset."""
        if change.last <= self.last:
            return
        if change.reset or change.after > self.last:
            change = CacheChange(change.after, change.last, change.stored, change.removed, True)
            self._changes.clear()
        self._changes.append(change)
        del self._changes[: -self.capacity]
        self.last = change.last

    def clear(self) -> None:
        """Clear the log, for example after a restart of the endpoint."""
        self._changes.clear()
        self.last = 0

    def read(self, after: int, limit: int = MAX_BLOCKS) -> CacheChange | None:
        """Return all changes after an event number as one run, or None if there are none.

        Parameters
        ----------
        after : int
            Number of the last event that the follower has applied.
        limit : int
            Maximum number of stored blocks in the run; the newest are kept.
        """
        recent = [change for change in self._changes if change.last > after]
        if not recent:
            return None
        held: dict[int, bool] = {}
        for change in recent:
            for block in change.stored:
                held.pop(block, None)
                held[block] = True
            for block in change.removed:
                held.pop(block, None)
                held[block] = False
        stored = tuple(block for block, is_held in held.items() if is_held)
        removed = tuple(block for block, is_held in held.items() if not is_held)
        reset = any(change.reset for change in recent) or recent[0].after > after
        return CacheChange(recent[0].after, recent[-1].last, stored[-limit:], removed, reset)
