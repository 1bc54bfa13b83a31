"""Plans the expert moves of one group from its ranks' loads and publishes the group's health."""

from __future__ import annotations

from dataclasses import replace
from statistics import median
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.expertmap import FULL_SHARE, ExpertMap
from magnoliarouter.core.rebalance import (
    RebalancePlan,
    choose_policy,
    decay_tokens,
    extra_group_load,
    measure_skew,
    plan_moves,
)
from magnoliarouter.core.stragglers import (
    MitigationLevel,
    StragglerState,
    choose_share,
    evaluate_rank,
)
from magnoliarouter.store.client import Written
from magnoliarouter.store.groups import GROUP_HEALTH_KIND, GroupHealthSpec
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.daemon.groups import GroupMetrics
    from magnoliarouter.endpoints.group import RankLoad
    from magnoliarouter.endpoints.ranks import RankClient
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.groups import GroupSpec

__all__ = ["GroupBalancer", "plan_group"]

HALF_LIFE_INTERVALS = 0.5
MIN_LOAD_CHANGE = 0.1


class GroupBalancer:
    """Measures the load of one group, plans its rebalancing and publishes its health.

    Parameters
    ----------
    spec : GroupSpec
        The group.
    platform : PlatformClient
        Client for publishing the health.
    ranks : RankClient
        Client of the ranks.
    clock : callable
        Loop time in seconds.
    metrics : GroupMetrics
        Gauges of the group.
    """

    def __init__(
        self,
        spec: GroupSpec,
        platform: PlatformClient,
        ranks: RankClient,
        clock: Callable[[], float],
        metrics: GroupMetrics,
    ) -> None:
        self.stragglers = [StragglerState()] * len(spec.ranks)
        self._spec = spec
        self._platform = platform
        self._ranks = ranks
        self._clock = clock
        self._metrics = metrics
        self._tokens: list[list[float]] = []
        self._planned_at = float("-inf")
        self._published: GroupHealthSpec | None = None
        self._skew = 0.0
        self._version = 0

    async def propose_plan(
        self, version: int, text_of: Callable[[int], str]
    ) -> RebalancePlan | None:
        """Return a rebalancing plan, or None if none is due or worth carrying out.

        Parameters
        ----------
        version : int
            Version of the current map.
        text_of : callable
            Returns the encoded map of a version.
        """
        now = self._clock()
        spec = self._spec
        if now < self._planned_at + spec.interval_seconds:
            return None
        elapsed, self._planned_at = now - self._planned_at, now
        loads = await self._ranks.read_loads()
        if None in loads or not loads[0].tokens:
            return None
        half_life = HALF_LIFE_INTERVALS * spec.interval_seconds
        self._tokens = decay_tokens(self._tokens, loads[0].tokens, elapsed, half_life)
        current = ExpertMap.decode(text_of(version))
        speeds = self._evaluate_ranks(loads, now)
        self._skew = measure_skew(current, self._tokens, speeds)
        self._version = version
        await self.publish(switching=False)
        if spec.pinned:
            return None
        shares = self._choose_shares(current, speeds)
        plan = plan_group(spec, current, self._tokens, shares)
        return plan if plan.moves or plan.map != current else None

    def _evaluate_ranks(self, loads: list[RankLoad], now: float) -> list[float]:
        median_speed = median(load.speed for load in loads) or 1.0
        speeds = [load.speed / median_speed for load in loads]
        previous = self.stragglers
        self.stragglers = [evaluate_rank(*pair, now) for pair in zip(previous, speeds)]
        for rank, (old, new) in enumerate(zip(previous, self.stragglers)):
            if old.level is not new.level:
                log_event("rank_care", group=self._spec.name, rank=rank, care=new.level.value)
        return speeds

    def _choose_shares(self, current: ExpertMap, speeds: list[float]) -> list[float]:
        return [
            choose_share(state.level, speed, share / FULL_SHARE)
            for state, speed, share in zip(self.stragglers, speeds, current.shares)
        ]

    async def publish(self, switching: bool) -> None:
        """Write the group's health to the platform if it changed significantly.

        Parameters
        ----------
        switching : bool
            Whether a map switch currently takes long.
        """
        spec, skew, version = self._spec, self._skew, self._version
        reported = tuple(
            rank
            for rank, state in enumerate(self.stragglers)
            if state.level is MitigationLevel.REPORTED
        )
        self._metrics.skew.labels(spec.name).set(skew)
        self._metrics.stragglers.labels(spec.name).set(len(reported))
        extra = round(extra_group_load(skew, switching), 2)
        health = GroupHealthSpec(
            spec.name, round(skew, 3), extra, version, reported, spec.endpoints
        )
        last = self._published
        changed = last is None or abs(last.extra_load - extra) >= MIN_LOAD_CHANGE
        if changed or (last.version, last.stragglers) != (version, reported):
            value = msgspec.to_builtins(health)
            outcome = await self._platform.write(GROUP_HEALTH_KIND, spec.name, value)
            # A write that failed or whose outcome is unknown is repeated with the next plan.
            self._published = health if isinstance(outcome, Written) else None


def plan_group(
    spec: GroupSpec, current: ExpertMap, tokens: list[list[float]], shares: list[float]
) -> RebalancePlan:
    """Plan the moves of a group within its share of the weight store's bandwidth.

    Parameters
    ----------
    spec : GroupSpec
        The group.
    current : ExpertMap
        Current map.
    tokens : list of list of float
        Tokens by layer and expert.
    shares : list of float
        Share of the load that each rank should get.
    """
    move_seconds = spec.expert_bytes / spec.store_bytes_per_second
    max_moves = max(1, int(spec.interval_seconds / 2 / move_seconds))
    policy = choose_policy(spec.favour, move_seconds, max_moves, spec.interval_seconds)
    encoded = tuple(max(1, round(share * FULL_SHARE)) for share in shares)
    return plan_moves(replace(current, shares=encoded), tokens, shares, spec.layer_slots, policy)
