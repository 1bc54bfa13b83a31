"""Attributes crashes of endpoints to parts of the prompts that they were beginning to answer.

A part that crashes each endpoint is in a prompt at every crash, and no answer on it is ever
written. The other parts of those prompts are either written on elsewhere, or change from crash to
crash.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["SOUND_S", "CrashLedger", "CrashReport", "RecentParts"]

# Crashes, at different moments, that a part has to explain. One proves nothing: any prompt may be
# at an endpoint that crashes for another reason.
MIN_CRASHES = 2
# Crashes within this time have a cause outside the prompts, such as a rack that lost its power.
SAME_MOMENT_S = 0.1
# An answer written this long before a crash shows that its parts did not cause it. Parts may begin
# to crash endpoints that have new software.
SOUND_S = 60.0
CRASH_EXPIRY_S = 600.0
MAX_CRASHES = 256
MAX_RECENT_PARTS = 4096


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crash of one start of an endpoint, as one daemon saw it.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    started_ms : int
        Time of day of its start in milliseconds, which tells starts with the same name apart.
    began, waiting : frozenset of frozenset of str
        Parts of the prompts whose response had begun, and of those whose response had not.
    """

    endpoint: str
    started_ms: int
    began: frozenset[frozenset[str]] = frozenset()
    waiting: frozenset[frozenset[str]] = frozenset()


@dataclass(slots=True)
class RecentParts:
    """Times at which parts were last seen; the oldest are forgotten first."""

    _seen: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def record(self, parts: Iterable[str], now: float) -> None:
        """Record parts that were seen at the loop time `now`."""
        for part in parts:
            self._seen[part] = now
            self._seen.move_to_end(part)
        while len(self._seen) > MAX_RECENT_PARTS:
            self._seen.popitem(last=False)

    def was_seen(self, part: str, since: float) -> bool:
        """Return whether a part was seen at the loop time `since` or later."""
        return self._seen.get(part, float("-inf")) >= since


@dataclass(slots=True)
class _Crash:
    at: float
    moment: int
    began: frozenset[frozenset[str]]
    waiting: frozenset[frozenset[str]]


@dataclass(slots=True)
class CrashLedger:
    """Crashes of endpoints, and the parts of prompts on which answers were written.

    Examples
    --------
    >>> ledger = CrashLedger()
    >>> ledger.record_sound(["a"], 1.0)
    >>> for number, parts in enumerate((("a", "b", "x"), ("a", "c", "x"))):
    ...     prompts = frozenset([frozenset(parts)])
    ...     _ = ledger.record(CrashReport(f"e{number}", 0, prompts), 2.0 + number)
    >>> ledger.find_causes(4.0)
    [frozenset({'x'})]
    """

    _sound: RecentParts = field(default_factory=RecentParts)
    _crashes: OrderedDict[tuple[str, int], _Crash] = field(default_factory=OrderedDict)
    _moment: int = 0
    _moment_began_at: float = float("-inf")

    def __len__(self) -> int:
        """Return the number of crashes."""
        return len(self._crashes)

    def record(self, report: CrashReport, now: float) -> bool:
        """Record what one daemon saw of a crash, and return whether it adds anything."""
        key = (report.endpoint, report.started_ms)
        crash = self._crashes.get(key)
        if crash is not None:
            began, waiting = crash.began | report.began, crash.waiting | report.waiting
            is_new = (began, waiting) != (crash.began, crash.waiting)
            crash.began, crash.waiting = began, waiting
            return is_new
        if now - self._moment_began_at > SAME_MOMENT_S:
            self._moment += 1
            self._moment_began_at = now
        self._crashes[key] = _Crash(now, self._moment, report.began, report.waiting)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        return True

    def record_sound(self, parts: Iterable[str], now: float) -> None:
        """Record the parts of a prompt on which an answer was written."""
        self._sound.record(parts, now)

    def list_unproven(self, parts: Iterable[str], now: float) -> frozenset[str]:
        """Return the parts that may have caused a crash at the loop time `now`."""
        return frozenset(part for part in parts if not self._sound.was_seen(part, now - SOUND_S))

    def find_causes(self, now: float) -> list[frozenset[str]]:
        """Return the parts that explain at least `MIN_CRASHES` crashes, the most crashes first.

        Parts that always came together are one cause: it takes all of them to name a prompt. A
        crash that a cause explains does not count for another. Where different parts explain the
        same crashes equally well, none of them is returned until a further crash decides.
        """
        self._expire(now)
        moments: dict[str, set[int]] = {}
        for crash in self._crashes.values():
            for prompt in crash.began or crash.waiting:
                for part in self.list_unproven(prompt, crash.at):
                    moments.setdefault(part, set()).add(crash.moment)
        causes = []
        while True:
            most = max(map(len, moments.values()), default=0)
            leading: dict[frozenset[int], set[str]] = {}
            for part, explained in moments.items():
                if len(explained) == most:
                    leading.setdefault(frozenset(explained), set()).add(part)
            distinct = {
                explained: parts
                for explained, parts in leading.items()
                if all(
                    explained == other or len(explained - other) >= MIN_CRASHES for other in leading
                )
            }
            if most < MIN_CRASHES or not distinct:
                return causes
            causes += [frozenset(parts) for parts in distinct.values()]
            done = frozenset().union(*distinct)
            moments = {
                part: left for part, explained in moments.items() if (left := explained - done)
            }

    def list_endpoints(self, cause: frozenset[str]) -> list[str]:
        """Return the endpoints that crashed on a prompt with all parts of a cause."""
        return [
            endpoint
            for (endpoint, _), crash in self._crashes.items()
            if any(cause <= prompt for prompt in crash.began or crash.waiting)
        ]

    def forget(self, cause: frozenset[str]) -> None:
        """Remove the crashes that a cause explains, after it has been found to be sound."""
        for key, crash in list(self._crashes.items()):
            if any(cause <= prompt for prompt in crash.began or crash.waiting):
                del self._crashes[key]

    def _expire(self, now: float) -> None:
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            if now - crash.at < CRASH_EXPIRY_S:
                break
            del self._crashes[key]
