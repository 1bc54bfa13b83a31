"""Limits the requests of each group of ranks by how long its steps were in the last seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median_low
from typing import TYPE_CHECKING

from magnoliarouter.core.pace import (
    STANDSTILL_FACTOR,
    StepCosts,
    StretchMemory,
    limit_mean_requests,
    measure_stretch,
    round_for,
)
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.routes import ModelProfile

__all__ = ["GroupPace", "read_costs"]

# Time after the first event of a step in which events belong to the same step. For each of them, the
# requests at all ranks are added up once.
SAMPLE_INTERVAL_S = 0.03
# Gaps kept of one step.
MAX_GAPS = 64
# Interval between log lines about late steps of a group.
LOG_INTERVAL_S = 1.0


def read_costs(profile: ModelProfile | None) -> StepCosts | None:
    """Return the step costs of a service, or None if its profile does not tell them."""
    if profile is None or profile.experts is None:
        return None
    costs = StepCosts(profile.step_s, profile.per_request_s, profile.steps_per_event)
    return costs if costs.is_known() else None


@dataclass(slots=True)
class _Group:
    """Gaps of one step of a group, which all its streams end at nearly the same moment."""

    memory: StretchMemory = field(default_factory=StretchMemory)
    began_at: float = float("-inf")
    requests: float = 0.0
    gaps: list[float] = field(default_factory=list)
    logged_at: float = float("-inf")
    # The limit, and the worst stretch that it follows from.
    limited_for: tuple[float, StepCosts, float] | None = None
    limit: float = 0.0


@dataclass(slots=True)
class GroupPace:
    """How many requests the ranks of each group may run.

    Parameters
    ----------
    count_requests : callable
        Returns the mean number of requests at the ranks of a group.
    """

    count_requests: Callable[[str], float]
    _groups: dict[str, _Group] = field(default_factory=dict)

    def record(
        self, name: str, gap_s: float, costs: StepCosts, max_gap_s: float, now: float
    ) -> None:
        """Record a gap between the events of one of a group's streams, in seconds."""
        group = self._groups.setdefault(name, _Group())
        if now - group.began_at >= SAMPLE_INTERVAL_S:
            if group.gaps:
                self._end_step(name, group, costs, max_gap_s)
            group.began_at, group.requests, group.gaps = now, self.count_requests(name), []
        if len(group.gaps) < MAX_GAPS:
            group.gaps.append(gap_s)

    def _end_step(self, name: str, group: _Group, costs: StepCosts, max_gap_s: float) -> None:
        """Remember the length of the last step, as most streams saw it."""
        gap_s = median_low(group.gaps)
        if gap_s > STANDSTILL_FACTOR * max_gap_s:
            return
        stretch = measure_stretch(costs, gap_s, group.requests)
        group.memory.record(stretch, group.began_at)
        if gap_s > max_gap_s and group.began_at - group.logged_at >= LOG_INTERVAL_S:
            group.logged_at = group.began_at
            log_event(
                "steps_late",
                group=name,
                gap_s=round(gap_s, 4),
                even_s=round(costs.expect_gap_s(group.requests), 4),
                requests=round(group.requests, 2),
                stretch=round(stretch, 2),
                limit=round(limit_mean_requests(costs, stretch, max_gap_s), 2),
            )

    def limit_requests(
        self,
        name: str,
        endpoint: str,
        slots: int,
        costs: StepCosts,
        max_gap_s: float,
        now: float,
    ) -> int:
        """Return the maximum number of concurrent requests at a rank of a group."""
        group = self._groups.get(name)
        stretch = None if group is None else group.memory.read_worst(now)
        if stretch is None:
            return slots
        limited_for = (stretch, costs, max_gap_s)
        if group.limited_for != limited_for:
            group.limited_for = limited_for
            group.limit = limit_mean_requests(costs, stretch, max_gap_s)
        return slots if group.limit >= slots else round_for(group.limit, endpoint)
