"""Attributes crashes of endpoints to parts of the prompts that they were beginning to answer.

A part that crashes each endpoint is in a prompt at every crash, and no answer on it is ever
written. The other parts of those prompts are either written on elsewhere, or change from crash to
crash.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["SOUND_S", "CrashLedger", "CrashReport", "RecentParts"]

# Crashes, at different moments, that a part has to explain. One proves nothing: any prompt may be
# at an endpoint that crashes for another reason.
MIN_CRASHES = 2
# Crashes within this time have a cause outside the prompts, such as a rack that lost its power.
SAME_MOMENT_S = 0.1
# So many of them count twice for a part that is in the prompts of all.
MIN_CRASHES_AT_ONCE = 3
# An answer written this long before a crash shows that its parts did not cause it. Parts may begin
# to crash endpoints that have new software.
SOUND_S = 60.0
CRASH_EXPIRY_S = 600.0
MAX_CRASHES = 256
MAX_RECENT_PARTS = 4096
# Probability with which prompts drawn at random would hold a part at as many crashes, above which
# the part is no cause: a part that most prompts hold is at most crashes.
MAX_CHANCE = 0.1
MAX_SAMPLE_PROMPTS = 512

# Moment, and number of the piece.
_Evidence: TypeAlias = tuple[int, int]


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
class PromptSample:
    """The last prompts that callers sent, to estimate which share of them holds a part."""

    _prompts: deque[tuple[str, ...]] = field(default_factory=deque)
    _counts: Counter[str] = field(default_factory=Counter)

    def record(self, parts: Iterable[str]) -> None:
        """Record the parts of a prompt."""
        prompt = tuple(set(parts))
        self._prompts.append(prompt)
        self._counts.update(prompt)
        if len(self._prompts) > MAX_SAMPLE_PROMPTS:
            for part in self._prompts.popleft():
                self._counts[part] -= 1
                if not self._counts[part]:
                    del self._counts[part]

    def estimate_share(self, part: str) -> float:
        """Return the share of prompts that hold a part; a half before any prompt was seen."""
        return (self._counts[part] + 1) / (len(self._prompts) + 2)


@dataclass(slots=True)
class _Crash:
    at: float
    moment: int
    began: frozenset[frozenset[str]]
    waiting: frozenset[frozenset[str]]

    def list_prompts(self) -> frozenset[frozenset[str]]:
        """Return the suspected prompts."""
        return self.began or self.waiting


@dataclass(slots=True)
class CrashLedger:
    """Crashes of endpoints, and the parts of prompts on which answers were written.

    Examples
    --------
    >>> ledger = CrashLedger()
    >>> for number in range(20):
    ...     ledger.record_prompt([f"{number}"])
    >>> ledger.record_sound(["a"], 1.0)
    >>> for number, parts in enumerate((("a", "b", "x"), ("a", "c", "x"))):
    ...     prompts = frozenset([frozenset(parts)])
    ...     _ = ledger.record(CrashReport(f"e{number}", 0, prompts), 2.0 + number)
    >>> ledger.find_causes(4.0)
    [frozenset({'x'})]
    """

    _sound: RecentParts = field(default_factory=RecentParts)
    _sample: PromptSample = field(default_factory=PromptSample)
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

    def record_prompt(self, parts: Iterable[str]) -> None:
        """Record the parts of a prompt that a caller sent."""
        self._sample.record(parts)

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
        explained = self._collect_explained()
        causes = []
        while True:
            most = max(map(len, explained.values()), default=0)
            leading: dict[frozenset[_Evidence], set[str]] = {}
            for part, evidence in explained.items():
                if len(evidence) == most:
                    leading.setdefault(frozenset(evidence), set()).add(part)
            found = {
                evidence: frozenset(parts)
                for evidence, parts in leading.items()
                if self.list_endpoints(frozenset(parts))
                and all(
                    evidence == other or len(evidence - other) >= MIN_CRASHES for other in leading
                )
            }
            if most < MIN_CRASHES or not found:
                return causes
            causes += found.values()
            done = frozenset().union(*found)
            explained = {
                part: left for part, evidence in explained.items() if (left := evidence - done)
            }

    def _collect_explained(self) -> dict[str, set[_Evidence]]:
        """Return what each part explains beyond chance.

        It explains a moment, or two pieces of one if it is in the prompts of all of many crashes.
        """
        suspects: dict[int, list[frozenset[str]]] = {}
        prompt_counts: Counter[int] = Counter()
        for crash in self._crashes.values():
            prompts = crash.list_prompts()
            prompt_counts[crash.moment] += len(prompts)
            parts = frozenset().union(*prompts)
            suspects.setdefault(crash.moment, []).append(self.list_unproven(parts, crash.at))
        explained: dict[str, set[_Evidence]] = {}
        for moment, crashes in suspects.items():
            for part in frozenset().union(*crashes):
                explained.setdefault(part, set()).add((moment, 0))
            if len(crashes) >= MIN_CRASHES_AT_ONCE:
                for part in frozenset.intersection(*crashes):
                    explained[part].add((moment, 1))
        return {
            part: evidence
            for part, evidence in explained.items()
            if self._estimate_chance(part, evidence, prompt_counts) <= MAX_CHANCE
        }

    def _estimate_chance(
        self, part: str, evidence: set[_Evidence], prompt_counts: Counter[int]
    ) -> float:
        """Return the probability that as many prompts drawn at random hold a part as often."""
        absent = 1.0 - self._sample.estimate_share(part)
        return math.prod(1.0 - absent ** prompt_counts[moment] for moment, _ in evidence)

    def list_endpoints(self, cause: frozenset[str]) -> list[str]:
        """Return the endpoints that crashed on a prompt with all parts of a cause."""
        return [
            endpoint
            for (endpoint, _), crash in self._crashes.items()
            if any(cause <= prompt for prompt in crash.list_prompts())
        ]

    def forget(self, cause: frozenset[str]) -> None:
        """Remove the crashes that a cause explains, after it has been found to be sound."""
        for key, crash in list(self._crashes.items()):
            if any(cause <= prompt for prompt in crash.list_prompts()):
                del self._crashes[key]

    def _expire(self, now: float) -> None:
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            if now - crash.at < CRASH_EXPIRY_S:
                break
            del self._crashes[key]
