"""What the callers of a play of `hardload` got, and the targets."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field
from itertools import combinations
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.tests.hardloadbuilders import Caller

# Targets. Each kind, each account and the largest tenth of prompts is served in time at least this
# often, as a share of how often all are.
FLOOR = 0.25
LARGE_PROMPT_FLOOR = 0.5
# An urgent kind may be served this much less often than a less urgent one, and an account that asks
# for little this much less often than all.
MARGIN = 0.05
LARGE_ACCOUNT_PART = 0.4
# Median time to a refusal in target latencies, and unused places while calls waited.
REFUSAL_SHARE = 0.125
UNUSED_SHARE = 0.02


@dataclass(eq=False)
class Fate:
    """What became of one caller's call; times in seconds."""

    caller: Caller
    arrived: float
    first_event: float | None = None
    placed: float | None = None
    served: bool = False
    remote: bool = False
    refusals: list[float] = field(default_factory=list)

    @property
    def on_time(self) -> bool:
        if not self.served or self.first_event is None:
            return False
        return self.first_event - self.arrived <= self.caller.kind.target_s


@dataclass
class Report:
    """What the callers of one play got."""

    load: str
    daemons: int
    fates: list[Fate]
    unused: float
    sent_to_full: int = 0

    def share(self, holds: Callable[[Fate], bool] = lambda fate: True) -> float:
        """Return the share served in time of the calls for which `holds` is true."""
        return _share([fate for fate in self.fates if holds(fate)], lambda fate: fate.on_time)

    def shares_by(self, key: Callable[[Fate], str]) -> dict[str, float]:
        """Return the share served in time of each group of calls."""
        names = sorted({key(fate) for fate in self.fates})
        return {name: self.share(lambda fate, name=name: key(fate) == name) for name in names}

    def by_kind(self) -> dict[str, float]:
        return self.shares_by(lambda fate: fate.caller.kind.name)

    def by_account(self) -> dict[str, float]:
        return self.shares_by(lambda fate: fate.caller.account)

    def largest_account(self) -> str:
        accounts = [fate.caller.account for fate in self.fates]
        return max(sorted(set(accounts)), key=accounts.count)

    def list_left_out_accounts(self) -> dict[str, float]:
        """Return the shares of accounts that one with nearly half of the calls keeps from places."""
        largest = self.largest_account()
        part = _share(self.fates, lambda fate: fate.caller.account == largest)
        if part < LARGE_ACCOUNT_PART:
            return {}
        least = self.share() - MARGIN
        return {
            name: share
            for name, share in self.by_account().items()
            if name != largest and share < least
        }

    def share_of_largest_prompts(self) -> float:
        """Return the share served in time of the largest tenth of prompts."""
        sizes = sorted(fate.caller.prompt_tokens for fate in self.fates)
        limit = sizes[len(sizes) * 9 // 10]
        return self.share(lambda fate: fate.caller.prompt_tokens >= limit)

    def refusal_times(self, in_targets: bool = False) -> list[float]:
        """Return the times until refusals in seconds, or in target latencies, in order."""
        return sorted(
            seconds / (fate.caller.kind.target_s if in_targets else 1.0)
            for fate in self.fates
            for seconds in fate.refusals
        )

    def count_inversions(self) -> int:
        """Return how many calls were late or refused while a later, less urgent one got a place."""
        placed = sorted(
            (fate.placed, fate.arrived, fate.caller.kind.urgency)
            for fate in self.fates
            if fate.placed is not None
        )
        failed = [fate for fate in self.fates if not fate.on_time]
        return sum(1 for fate in failed if _is_overtaken(fate, placed))

    def describe(self) -> dict[str, object]:
        """Return the figures of the table."""
        times = self.refusal_times()
        largest = self.largest_account()
        return {
            "load": self.load,
            "daemons": self.daemons,
            "calls": len(self.fates),
            "in time": self.share(),
            "served": _share(self.fates, lambda fate: fate.served),
            "by kind": self.by_kind(),
            "largest account": self.share(lambda fate: fate.caller.account == largest),
            "other accounts": self.share(lambda fate: fate.caller.account != largest),
            "largest prompts": self.share_of_largest_prompts(),
            "by zone": self.shares_by(lambda fate: fate.caller.zone),
            "refusals": len(times),
            "refused again": _share(self.fates, lambda fate: len(fate.refusals) > 1),
            "refusal median s": statistics.median(times) if times else 0.0,
            "refusal p95 s": times[len(times) * 95 // 100] if times else 0.0,
            "unused places": self.unused,
            "inversions": self.count_inversions(),
            "sent to full": self.sent_to_full,
            "other zone": sum(fate.remote for fate in self.fates),
        }


def find_missed(report: Report) -> dict[str, str]:
    """Return the targets that a play missed, each with what was seen."""
    missed = {}
    everyone = report.share()
    groups = {**report.by_kind(), **report.by_account()}
    least = min(groups, key=lambda name: groups[name])
    if groups[least] < FLOOR * everyone:
        missed["floor"] = f"{least} {groups[least]:.3f} of all {everyone:.3f}"
    large = report.share_of_largest_prompts()
    if large < LARGE_PROMPT_FLOOR * everyone:
        missed["large prompts"] = f"{large:.3f} of all {everyone:.3f}"
    kinds = sorted({fate.caller.kind for fate in report.fates}, key=lambda kind: kind.urgency)
    shares = report.by_kind()
    for urgent, routine in combinations(kinds, 2):
        if shares[urgent.name] < shares[routine.name] - MARGIN:
            missed["urgency"] = (
                f"{urgent.name} {shares[urgent.name]:.3f}, "
                f"{routine.name} {shares[routine.name]:.3f}"
            )
    left_out = report.list_left_out_accounts()
    if left_out:
        missed["small accounts"] = (
            f"{len(left_out)} accounts, the least {min(left_out.values()):.3f}"
        )
    times = report.refusal_times(in_targets=True)
    if times and statistics.median(times) > REFUSAL_SHARE:
        missed["refusal time"] = f"{statistics.median(times):.3f} of the target latency"
    if report.unused >= UNUSED_SHARE:
        missed["unused places"] = f"{report.unused:.3f}"
    return missed


def _share(fates: Iterable[Fate], holds: Callable[[Fate], bool]) -> float:
    results = [holds(fate) for fate in fates]
    return sum(results) / len(results) if results else 1.0


def _is_overtaken(fate: Fate, placed: list[tuple[float, float, int]]) -> bool:
    """Return whether a later, less urgent call got a place that would have served a call in time."""
    until = fate.arrived + fate.caller.kind.target_s
    if fate.placed is not None:
        until = min(until, fate.placed)
    return any(
        fate.arrived < arrived and at < until and urgency > fate.caller.kind.urgency
        for at, arrived, urgency in placed
    )
