"""Limits the requests of each group of ranks by how long its steps were in the last seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
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

# Interval between samples of a group's steps, each of which adds up the requests at all its ranks.
SAMPLE_INTERVAL_S = 0.05
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
    memory: StretchMemory = field(default_factory=StretchMemory)
    sampled_at: float = float("-inf")
    logged_at: float = float("-inf")


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
        """Record a recent mean gap between the events of a group's streams, in seconds."""
        group = self._groups.setdefault(name, _Group())
        if now - group.sampled_at < SAMPLE_INTERVAL_S or gap_s > STANDSTILL_FACTOR * max_gap_s:
            return
        group.sampled_at = now
        requests = self.count_requests(name)
        stretch = measure_stretch(costs, gap_s, requests)
        group.memory.record(stretch, now)
        if gap_s > max_gap_s and now - group.logged_at >= LOG_INTERVAL_S:
            group.logged_at = now
            log_event(
                "steps_late",
                group=name,
                gap_s=round(gap_s, 4),
                even_s=round(costs.expect_gap_s(requests), 4),
                requests=round(requests, 2),
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
        return min(slots, round_for(limit_mean_requests(costs, stretch, max_gap_s), endpoint))
