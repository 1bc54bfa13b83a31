"""Whether calls leave their availability zone, and how many.

Calls stay in the zone while it has room. As it fills, a share of them that grows with its fullness
leaves, so that the many daemons of a zone, which see the same state, send a part of their calls and
not all. What another zone gives is its free room less a reserve for its own callers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

__all__ = [
    "CallCost",
    "ZonePlan",
    "SpilloverPolicy",
    "SpilloverState",
    "ZoneChoice",
    "ZoneRoom",
    "choose_zones",
    "estimate_gain_s",
    "find_share",
]


class ZoneChoice(Enum):
    """Why a call leaves the zone, or stays although a share of the calls leaves."""

    FULL = "left_full"
    FILLING = "left_filling"
    KEPT_SHARE = "kept_share"
    KEPT_COST = "kept_cost"
    KEPT_RESERVE = "kept_reserve"


@dataclass(frozen=True, slots=True)
class SpilloverPolicy:
    """Thresholds of leaving a zone.

    Parameters
    ----------
    slowing_fullness : float
        Fullness above which calls leave that would slow others down in the zone.
    racing_fullness : float
        Fullness above which calls leave that would slow none down: so few places are left that
        several daemons choose the same one.
    reserve_share : float
        Share of its limit that a zone keeps for its own callers, at least one place.
    horizon_s : float
        Time in seconds for which a rise of the fullness is projected: calls that are sent now meet
        those that the zone's own callers send within it.
    trend_s : float
        Time in seconds over which a rise is averaged.
    max_rise : float
        Largest projected rise.
    reduced_share : float
        Share of its usual limit, relative to that of all zones, below which a zone counts as
        reduced, for example since it was evacuated and returns.
    usual_s : float
        Time in seconds in which the usual limit follows a lower one.
    """

    slowing_fullness: float = 0.8
    racing_fullness: float = 0.9
    reserve_share: float = 0.05
    horizon_s: float = 0.25
    trend_s: float = 0.5
    max_rise: float = 0.05
    reduced_share: float = 0.75
    usual_s: float = 300.0


@dataclass(frozen=True, slots=True)
class ZoneRoom:
    """Requests and places at a service's usable endpoints in one zone.

    Parameters
    ----------
    requests, limit : int
        Requests in progress, and the maximum number of them.
    busiest : int
        Requests at the most loaded endpoint.
    """

    requests: int
    limit: int
    busiest: int = 0

    @property
    def fullness(self) -> float:
        """Requests divided by the limit; 1 for a zone without places."""
        return self.requests / self.limit if self.limit > 0 else 1.0


@dataclass(frozen=True, slots=True)
class CallCost:
    """What it costs to keep a call in its zone, and to send it out.

    Parameters
    ----------
    slows_others : bool
        Whether its endpoint in the zone would be slower for requests that run already.
    gain_s : float
        Seconds that the call, or another one, is expected to save if it leaves.
    bytes : int
        Bytes of its request and response; 0 if unknown.
    """

    slows_others: bool
    gain_s: float
    bytes: int = 0


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """Zones for one call.

    Parameters
    ----------
    zones : tuple of str
        Other zones that may take it, first choice first; empty if it stays.
    choice : ZoneChoice, optional
        Why; None if the zone has room enough that leaving it was no question.
    share : float
        Share of such calls that leaves.
    """

    zones: tuple[str, ...] = ()
    choice: ZoneChoice | None = None
    share: float = 0.0


STAY = ZonePlan()


@dataclass(slots=True)
class _Trend:
    at: float
    fullness: float
    usual_limit: float
    slope: float = 0.0


@dataclass(slots=True)
class SpilloverState:
    """Recent course of the zones of one service, as one daemon sees it.

    Parameters
    ----------
    policy : SpilloverPolicy
        Thresholds.
    mean_bytes : float
        Moving mean of the bytes of a call.
    drew_blank : bool
        Whether a call has just been kept back so that other daemons get the few places. The next
        one isn't.
    """

    policy: SpilloverPolicy = field(default_factory=SpilloverPolicy)
    mean_bytes: float = 0.0
    drew_blank: bool = False
    rooms: dict[str, ZoneRoom] = field(default_factory=dict)
    _trends: dict[str, _Trend] = field(default_factory=dict)

    def observe(self, rooms: dict[str, ZoneRoom], now: float) -> None:
        """Record the zones' rooms; a zone that is missing cannot be reached, or has no endpoints."""
        self.rooms = rooms
        for zone in self._trends.keys() - rooms.keys():
            self._trends[zone].slope = 0.0
        for zone, room in rooms.items():
            trend = self._trends.get(zone)
            if trend is None:
                self._trends[zone] = _Trend(now, room.fullness, room.limit)
            elif now > trend.at:
                # The mean of the slope over `trend_s`, whatever the interval of the observations.
                weight = 1.0 - math.exp(-(now - trend.at) / self.policy.trend_s)
                slope = (room.fullness - trend.fullness) / max(now - trend.at, 1e-3)
                trend.slope += weight * (slope - trend.slope)
                decay = math.exp(-(now - trend.at) / self.policy.usual_s)
                trend.usual_limit = max(room.limit, trend.usual_limit * decay)
                trend.at, trend.fullness = now, room.fullness

    def is_reduced(self, zone: str) -> bool:
        """Return whether a zone has lost far more of its usual places than all zones, or has none.

        Its callers suffer from more than a burst of their own, and share the places of all zones.
        Endpoints everywhere get fewer requests while their steps are long; that reduces no zone.
        """
        if zone not in self.rooms:
            return True
        left = sum(room.limit for room in self.rooms.values())
        usual = sum(self._trends[name].usual_limit for name in self.rooms)
        own, own_usual = self.rooms[zone].limit, self._trends[zone].usual_limit
        return own * usual < self.policy.reduced_share * left * own_usual

    def project(self, zone: str) -> float:
        """Return the fullness of a zone after `horizon_s`, as far as it rises."""
        rise = self._trends[zone].slope * self.policy.horizon_s
        return self.rooms[zone].fullness + min(max(0.0, rise), self.policy.max_rise)

    def count_free(self, zone: str) -> float:
        """Return how many places another zone has beyond its reserve."""
        room = self.rooms[zone]
        return room.limit - room.requests - max(1.0, self.policy.reserve_share * room.limit)

    def count_room(self, zone: str) -> float:
        """Return how many of these places its own callers are not expected to take soon."""
        rise = self.project(zone) - self.rooms[zone].fullness
        return self.count_free(zone) - rise * self.rooms[zone].limit

    def record_bytes(self, size: int) -> None:
        """Count the bytes of a call."""
        if size > 0:
            self.mean_bytes += (size - self.mean_bytes) * (0.05 if self.mean_bytes else 1.0)


def find_share(fullness: float, start: float) -> float:
    """Return the share of calls that leaves: 0 up to a start, 1 when the zone is full.

    Examples
    --------
    >>> [find_share(fullness, 0.75) for fullness in (0.5, 0.75, 0.875, 1.2)]
    [0.0, 0.0, 0.5, 1.0]
    """
    return min(1.0, max(0.0, (fullness - start) / (1.0 - start)))


def estimate_gain_s(
    slows_others: bool, per_request_s: float, step_s: float, steps: float, slots: int
) -> float:
    """Return the seconds that a call saves by leaving a zone that is filling.

    A request that makes steps longer costs each running request that time in each step. One at an
    endpoint whose last place another daemon takes in the same moment waits for the next place.

    Parameters
    ----------
    slows_others : bool
        Whether steps become longer.
    per_request_s, step_s : float
        Length of a step in seconds: what one more request adds, and all of it.
    steps : float
        Steps that the request takes part in.
    slots : int
        Concurrent requests of an endpoint.
    """
    next_place_s = steps * step_s / max(1, slots)
    return max(next_place_s, steps * per_request_s if slows_others else 0.0)


def choose_zones(
    state: SpilloverState,
    own_zone: str,
    cost: CallCost | None,
    delays_s: Mapping[str, float],
    senders: float,
    rng: random.Random,
) -> ZonePlan:
    """Return whether one call leaves its zone, and for which zones.

    Parameters
    ----------
    state : SpilloverState
        Rooms and trends of the zones.
    own_zone : str
        Zone of the daemon.
    cost : CallCost, optional
        Cost of a place in the zone; None if it has no free place.
    delays_s : mapping of str to float
        One-way delay to each other zone in seconds.
    senders : float
        Estimated number of daemons that may send to a zone in the same moment.
    rng : random.Random
        Draws which calls leave, and for which of the zones that are equally near.
    """
    share = 1.0
    if cost is not None:
        policy = state.policy
        start = policy.slowing_fullness if cost.slows_others else policy.racing_fullness
        share = find_share(state.project(own_zone), start)
        if share <= 0.0:
            return STAY
        if cost.bytes > 0 and state.mean_bytes > 0:
            # Of the calls that bring the same relief, small ones cost less between the zones.
            share = min(1.0, share * min(2.0, max(0.5, state.mean_bytes / cost.bytes)))
        if rng.random() >= share:
            return ZonePlan((), ZoneChoice.KEPT_SHARE, share)
    zones, free, too_far = [], 0.0, False
    for zone in sorted(state.rooms.keys() - {own_zone}):
        if cost is not None and cost.gain_s <= 2.0 * delays_s[zone]:
            too_far = True
            continue
        room = state.count_room(zone)
        if room > 0.0:
            free += state.count_free(zone)
            zones.append((delays_s[zone], rng.expovariate(room), zone))
    # Daemons that see the same few places send together no more calls than these. A call that was
    # kept back asks again after a random time, which spreads the daemons.
    state.drew_blank = bool(zones) and not state.drew_blank and rng.random() * senders >= free
    if not zones or state.drew_blank:
        return ZonePlan((), ZoneChoice.KEPT_COST if too_far else ZoneChoice.KEPT_RESERVE, share)
    choice = ZoneChoice.FULL if cost is None else ZoneChoice.FILLING
    return ZonePlan(tuple(zone for _, _, zone in sorted(zones)), choice, share)
