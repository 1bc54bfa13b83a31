"""Attributes crashes of endpoints to parts of the prompts that they were beginning to answer.

A part that crashes each endpoint is in a prompt at every crash, and no answer on it is ever
written. The other parts of those prompts are either written on elsewhere, or change from crash to
crash. What names a request as the same is one more part, and the only one of a request without a
prompt.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "CRASH_EXPIRY_S",
    "ANSWERED_S",
    "REQUEST_PREFIX",
    "CrashLedger",
    "CrashReport",
    "RecentParts",
    "names_request",
]

# Tells what names a request as the same from the parts of prompts.
REQUEST_PREFIX = "request:"

# Crashes that a part has to explain. One proves nothing: any prompt may be at an endpoint that
# crashes for another reason.
MIN_CRASHES = 2
# The same for crashes at one moment, which may have a cause outside the prompts, such as a rack that
# loses its power.
MIN_CRASHES_AT_ONCE = 3
SAME_MOMENT_S = 0.1
# A request at as many crashes is held back for this time after the last of them, in which answers
# to others show whether it is the cause.
MIN_CRASHES_COOLDOWN = 3
COOLDOWN_S = 2.0
# An answer written this long before a crash shows that its parts did not cause it. Parts may begin
# to crash endpoints that have new software.
ANSWERED_S = 60.0
CRASH_EXPIRY_S = 600.0
MAX_CRASHES = 64
MAX_RECENT_PARTS = 4096
# Probability with which any part would be at as many crashes if their prompts had been drawn at
# random. A part that most prompts hold is at most crashes.
MAX_CHANCE = 0.1
MAX_SAMPLE_PROMPTS = 512
# Parts of all prompts of a sample: callers may name hundreds in one.
MAX_SAMPLE_PARTS = 8_192

# Name and time of the start of an endpoint.
_Start: TypeAlias = tuple[str, int]


def names_request(part: str) -> bool:
    """Return whether a part names a request rather than a part of its prompt."""
    return part.startswith(REQUEST_PREFIX)


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
    service, software : str
        Service of the endpoint, and version of its software.
    """

    endpoint: str
    started_ms: int
    began: frozenset[frozenset[str]] = frozenset()
    waiting: frozenset[frozenset[str]] = frozenset()
    service: str = ""
    software: str = ""

    def holds(self, cause: frozenset[str]) -> bool:
        """Return whether a prompt holds all parts of a cause."""
        return any(cause <= prompt for prompt in self.began | self.waiting)


@dataclass(slots=True)
class RecentParts:
    """Times at which parts were last seen; the oldest are forgotten first.

    Names of requests, of which there may be thousands a second, do not displace parts of prompts.
    """

    _parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _requests: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def record(self, parts: Iterable[str], now: float) -> None:
        """Record parts that were seen at the loop time `now`."""
        for part in parts:
            seen = self._table_of(part)
            seen[part] = now
            seen.move_to_end(part)
            if len(seen) > MAX_RECENT_PARTS:
                seen.popitem(last=False)

    def was_seen(self, part: str, since: float) -> bool:
        """Return whether a part was seen at the loop time `since` or later."""
        return self._table_of(part).get(part, float("-inf")) >= since

    def _table_of(self, part: str) -> OrderedDict[str, float]:
        return self._requests if names_request(part) else self._parts


@dataclass(slots=True)
class PromptSample:
    """The last prompts that callers sent to a service, to estimate which share holds a part."""

    _prompts: deque[tuple[str, ...]] = field(default_factory=deque)
    _counts: Counter[str] = field(default_factory=Counter)
    _held_parts: int = 0

    def __len__(self) -> int:
        """Return the number of prompts."""
        return len(self._prompts)

    def record(self, parts: Iterable[str]) -> None:
        """Record the parts of a prompt."""
        prompt = tuple(set(parts))
        self._prompts.append(prompt)
        self._counts.update(prompt)
        self._held_parts += len(prompt)
        while len(self._prompts) > MAX_SAMPLE_PROMPTS or self._held_parts > MAX_SAMPLE_PARTS:
            oldest = self._prompts.popleft()
            self._held_parts -= len(oldest)
            for part in oldest:
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
    service: str
    software: str
    began: frozenset[frozenset[str]]
    waiting: frozenset[frozenset[str]]

    def list_prompts(self) -> frozenset[frozenset[str]]:
        """Return the suspected prompts."""
        return self.began or self.waiting

    def holds(self, cause: frozenset[str]) -> bool:
        """Return whether a suspected prompt holds all parts of a cause."""
        return any(cause <= prompt for prompt in self.list_prompts())


@dataclass(slots=True)
class CrashLedger:
    """Crashes of endpoints, and the parts of prompts on which answers were written.

    Parameters
    ----------
    count_daemons : callable
        Returns how many daemons, this one included, reply to reports with what they saw answered.

    Examples
    --------
    >>> ledger = CrashLedger()
    >>> for number in range(20):
    ...     ledger.record_prompt([f"{number}"])
    >>> ledger.record_answered(["a"], 1.0)
    >>> for number, parts in enumerate((("a", "b", "x"), ("a", "c", "x"))):
    ...     prompts = frozenset([frozenset(parts)])
    ...     _ = ledger.record(CrashReport(f"e{number}", 0, prompts), 2.0 + number)
    >>> ledger.find_causes(4.0)
    [frozenset({'x'})]
    """

    count_daemons: Callable[[], int] = lambda: 1
    _answered: RecentParts = field(default_factory=RecentParts)
    _samples: dict[str, PromptSample] = field(default_factory=dict)
    _answer_counts: Counter[str] = field(default_factory=Counter)
    _cooling_until: dict[str, float] = field(default_factory=dict)
    _crashes: OrderedDict[_Start, _Crash] = field(default_factory=OrderedDict)
    _moment: int = 0
    _moment_began_at: float = float("-inf")

    def __len__(self) -> int:
        """Return the number of crashes."""
        return len(self._crashes)

    def record(self, report: CrashReport, now: float, is_recent: bool = True) -> bool:
        """Record what one daemon saw of a crash, and return whether it adds anything.

        Parameters
        ----------
        report : CrashReport
            What it saw.
        now : float
            Loop time in seconds.
        is_recent : bool
            Whether the crash has just happened.
        """
        key = (report.endpoint, report.started_ms)
        crash = self._crashes.get(key)
        if crash is not None:
            began, waiting = crash.began | report.began, crash.waiting | report.waiting
            is_new = (began, waiting) != (crash.began, crash.waiting)
            crash.began, crash.waiting = began, waiting
            if is_new and is_recent:
                self._start_cooldown(report, now)
            return is_new
        if now - self._moment_began_at > SAME_MOMENT_S:
            self._moment += 1
            self._moment_began_at = now
        self._crashes[key] = _Crash(
            now,
            self._moment,
            report.service,
            report.software,
            report.began,
            report.waiting,
        )
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        if is_recent:
            self._start_cooldown(report, now)
        return True

    def _start_cooldown(self, report: CrashReport, now: float) -> None:
        self._cooling_until = {
            part: until for part, until in self._cooling_until.items() if until > now
        }
        for part in filter(names_request, frozenset().union(*report.began, *report.waiting)):
            if self.count_crashes(part) >= MIN_CRASHES_COOLDOWN:
                self._cooling_until[part] = now + COOLDOWN_S

    def find_cooldown(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request is held back because it was at crashes."""
        until = self._cooling_until.get(fingerprint, now)
        if until <= now or self._answered.was_seen(fingerprint, now - ANSWERED_S):
            return 0.0
        return until - now

    def record_prompt(self, parts: Iterable[str], service: str = "") -> None:
        """Record the parts of a prompt that a caller sent to a service."""
        self._samples.setdefault(service, PromptSample()).record(parts)

    def count_answer(self, service: str) -> None:
        """Count an answer of a service."""
        self._answer_counts[service] = min(self._answer_counts[service] + 1, MAX_SAMPLE_PROMPTS)

    def record_answered(self, parts: Iterable[str], now: float) -> None:
        """Record the parts of a prompt on which an answer was written."""
        self._answered.record(parts, now)

    def list_unproven(self, parts: Iterable[str], now: float) -> frozenset[str]:
        """Return the parts that may have caused a crash at the loop time `now`."""
        return frozenset(
            part for part in parts if not self._answered.was_seen(part, now - ANSWERED_S)
        )

    def find_causes(self, now: float, settle_s: float = 0.0) -> list[frozenset[str]]:
        """Return the parts that explain at least `MIN_CRASHES` crashes, the most crashes first.

        Crashes within the last `settle_s` seconds do not count yet.

        Parts that always came together are one cause: it takes all of them to name a prompt. A
        crash that a cause explains does not count for another. Where different parts explain the
        same crashes equally well, none of them is returned until a further crash decides.
        """
        self._expire(now)
        explained: dict[str, set[_Start]] = {}
        settled = {
            start: crash for start, crash in self._crashes.items() if now - crash.at >= settle_s
        }
        for start, crash in settled.items():
            for part in self.list_unproven(frozenset().union(*crash.list_prompts()), crash.at):
                explained.setdefault(part, set()).add(start)
        causes = []
        while True:
            crashes = frozenset().union(*explained.values())
            leading: dict[frozenset[_Start], set[str]] = {}
            for part, starts in explained.items():
                if self._is_significant(part, starts, crashes, len(explained)):
                    leading.setdefault(frozenset(starts), set()).add(part)
            most = max(map(len, leading), default=0)
            rivals = [starts for starts in leading if len(starts) == most]
            found = {
                starts: frozenset(leading[starts])
                for starts in rivals
                if self.list_endpoints(frozenset(leading[starts]))
                and all(starts == other or len(starts - other) >= MIN_CRASHES for other in rivals)
            }
            if not found:
                return causes
            causes += found.values()
            done = frozenset().union(*found)
            explained = {
                part: left for part, starts in explained.items() if (left := starts - done)
            }

    def _is_significant(
        self, part: str, starts: set[_Start], crashes: frozenset[_Start], part_count: int
    ) -> bool:
        """Return whether a part is in the prompts of more crashes than chance lets expect.

        Parameters
        ----------
        part : str
            The part.
        starts, crashes : set
            Crashes of prompts that hold the part, and all that have no cause yet.
        part_count : int
            Number of parts that are compared.
        """
        moments = {self._crashes[start].moment for start in starts}
        if len(starts) < (MIN_CRASHES if len(moments) > 1 else MIN_CRASHES_AT_ONCE):
            return False
        services = {self._crashes[start].service for start in crashes}
        shares = {service: self._estimate_share(part, service) for service in services}
        # The probability that the part is in one of the prompts of a crash by chance.
        held = [
            1.0 - (1.0 - shares[crash.service]) ** len(crash.list_prompts())
            for crash in map(self._crashes.__getitem__, crashes)
        ]
        chance = _compute_tail(len(crashes), len(starts), sum(held) / len(held))
        return part_count * chance <= MAX_CHANCE

    def _estimate_share(self, part: str, service: str) -> float:
        """Return the share of a service's prompts or requests that holds a part."""
        if not names_request(part):
            # Daemons of an earlier version do not name the service of a crash.
            sample = self._samples.get(service) or max(
                self._samples.values(), key=len, default=PromptSample()
            )
            return sample.estimate_share(part)
        # None of the answers that the daemons saw is on a request without one. What endpoints had
        # when they crashed is a part of the sample as well: a request that is sent again and again,
        # such as a poll, has no answer yet if all of it was there.
        answers = self._answer_counts[service] * self.count_daemons()
        prompts = [
            prompt
            for crash in self._crashes.values()
            if crash.service == service
            for prompt in crash.list_prompts()
        ]
        return (1 + sum(part in prompt for prompt in prompts)) / (answers + len(prompts) + 2)

    def count_crashes(self, part: str) -> int:
        """Return how many endpoints crashed on a prompt that holds a part."""
        return len(self.list_endpoints(frozenset([part])))

    def list_software(self, cause: frozenset[str]) -> frozenset[tuple[str, str]]:
        """Return services and versions of the endpoints that crashed; empty if one is not known."""
        software = frozenset(
            (crash.service, crash.software)
            for crash in self._crashes.values()
            if crash.holds(cause)
        )
        return software if all(version for _, version in software) else frozenset()

    def list_endpoints(self, cause: frozenset[str]) -> list[str]:
        """Return the endpoints that crashed on a prompt with all parts of a cause."""
        return [endpoint for (endpoint, _), crash in self._crashes.items() if crash.holds(cause)]

    def forget(self, cause: frozenset[str]) -> None:
        """Remove the crashes that a cause explains, after an answer has been written on it."""
        for key, crash in list(self._crashes.items()):
            if crash.holds(cause):
                del self._crashes[key]

    def _expire(self, now: float) -> None:
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            if now - crash.at < CRASH_EXPIRY_S:
                break
            del self._crashes[key]


def _compute_tail(trials: int, successes: int, probability: float) -> float:
    """Return the probability of at least as many successes in independent trials."""
    return sum(
        math.comb(trials, count) * probability**count * (1.0 - probability) ** (trials - count)
        for count in range(successes, trials + 1)
    )
