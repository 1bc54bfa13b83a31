"""Calls that leave this daemon's availability zone: what is known of the zones, log and counters."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.spillover import (
    CallCost,
    SpilloverState,
    ZoneChoice,
    ZonePlan,
    ZoneRoom,
    choose_zones,
    estimate_gain_s,
)
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.work import CallWork
    from magnoliarouter.gateway.routes import ModelProfile

__all__ = ["ZoneOverflow"]

# Rooms of zones are counted anew after this time. Loads of other daemons are about as old.
ROOM_INTERVAL_S = 0.005
# A zone counts as sending calls out until none has left for this time.
QUIET_S = 3.0
# Text of one token, in a request and in the event that carries it.
BYTES_PER_TOKEN = 4
LEAVING = (ZoneChoice.FULL, ZoneChoice.FILLING)


@dataclass(slots=True)
class _Service:
    """Zones of one service, and the calls that left since the log said that they do."""

    state: SpilloverState = field(default_factory=SpilloverState)
    counted_at: float = float("-inf")
    share: float = 0.0
    sending: bool = False
    left: int = 0
    left_at: float = float("-inf")


@dataclass(slots=True)
class ZoneOverflow:
    """Decides for one daemon which calls leave its zone.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    random : random.Random
        Draws which calls leave.
    is_enabled : bool
        Whether calls leave by need; if not, each goes to the endpoint with the least load.
    find_profile : callable
        Returns the profile of a service; None if it has none, and its calls go by load.
    count : callable
        Called with the reason of each call that left, or that stayed while others left.
    """

    zone: str
    random: random.Random = field(default_factory=random.Random)
    is_enabled: bool = True
    find_profile: Callable[[str], ModelProfile | None] = lambda service: None
    count: Callable[[str], None] = lambda reason: None
    totals: Counter[str] = field(default_factory=Counter)
    _services: dict[str, _Service] = field(default_factory=dict)
    _last: tuple[str, str, ZonePlan] | None = None

    def applies(self, service: str) -> bool:
        """Return whether calls of a service leave the zone by need."""
        return self.is_enabled and self.find_profile(service) is not None

    def needs_rooms(self, service: str, now: float) -> bool:
        """Return whether the rooms of a service's zones have to be counted anew."""
        known = self._services.get(service)
        return known is None or now - known.counted_at >= ROOM_INTERVAL_S

    def observe(self, service: str, rooms: dict[str, ZoneRoom], now: float) -> None:
        """Record the rooms of a service's zones."""
        known = self._services.setdefault(service, _Service())
        known.counted_at = now
        known.state.observe(rooms, now)
        self._log_end(service, known, now)

    def read_rooms(self, service: str) -> dict[str, ZoneRoom]:
        """Return the rooms that were counted last."""
        return self._services[service].state.rooms

    def is_reduced(self, service: str) -> bool:
        """Return whether this daemon's zone has far fewer places than usual, or none."""
        return self._services[service].state.is_reduced(self.zone)

    def plan(self, service: str, own_load: int | None, work: CallWork, senders: float) -> ZonePlan:
        """Return whether a call leaves the zone, and for which zones.

        Parameters
        ----------
        service : str
            Requested service, whose rooms were just read.
        own_load : int, optional
            Load of the endpoint that the call gets in the zone; None if none has a free place.
        work : CallWork
            Work of the call.
        senders : float
            Estimated number of daemons that may send to a zone in the same moment.
        """
        known, profile = self._services[service], self.find_profile(service)
        assert profile is not None
        cost = None if own_load is None else self._estimate(known, profile, own_load, work)
        delays_s = {zone: profile.zone_delay_s(self.zone, zone) for zone in known.state.rooms}
        plan = choose_zones(known.state, self.zone, cost, delays_s, senders, self.random)
        if cost is not None:
            known.share = plan.share
        return plan

    def _estimate(
        self, known: _Service, profile: ModelProfile, own_load: int, work: CallWork
    ) -> CallCost:
        # Ranks of a group wait for the most loaded one, so that one more request at another rank
        # makes no step longer.
        busiest = max(room.busiest for room in known.state.rooms.values())
        slows_others = profile.experts is None or own_load >= busiest
        steps = max(profile.steps_per_event, work.output_tokens)
        step_s = profile.step_s + profile.per_request_s * own_load
        gain_s = estimate_gain_s(slows_others, profile.per_request_s, step_s, steps, profile.slots)
        return CallCost(slows_others, gain_s, BYTES_PER_TOKEN * work.tokens)

    def remember(self, service: str, identity: str, plan: ZonePlan) -> None:
        """Keep the plan by which an endpoint was chosen, until the call starts."""
        self._last = service, identity, plan

    def record_start(self, identity: str, work: CallWork) -> None:
        """Count a call that starts at the endpoint that was chosen last."""
        last, self._last = self._last, None
        if last is None or last[1] != identity:
            return
        service, _, plan = last
        known = self._services[service]
        known.state.record_bytes(BYTES_PER_TOKEN * work.tokens)
        if plan.choice is None:
            return
        self.totals[plan.choice.value] += 1
        self.count(plan.choice.value)
        if plan.choice not in LEAVING:
            return
        known.left += 1
        known.left_at = known.counted_at
        if not known.sending:
            known.sending = True
            log_event(
                "zone_overflow_started",
                service=service,
                reason=plan.choice.value,
                share=round(plan.share, 2),
                fullness=self._describe_fullness(known),
            )

    def _log_end(self, service: str, known: _Service, now: float) -> None:
        if known.sending and now - known.left_at >= QUIET_S:
            log_event(
                "zone_overflow_ended",
                service=service,
                calls=known.left,
                fullness=self._describe_fullness(known),
            )
            known.sending, known.left, known.share = False, 0, 0.0

    @staticmethod
    def _describe_fullness(known: _Service) -> dict[str, float]:
        return {zone: round(room.fullness, 2) for zone, room in sorted(known.state.rooms.items())}

    def describe(self) -> dict[str, object]:
        """Return, for the status, what is known of the zones and how many calls left or stayed."""
        return {
            "calls": dict(self.totals),
            "services": {
                service: {
                    "sending": known.sending,
                    "share": round(known.share, 2),
                    "fullness": self._describe_fullness(known),
                }
                for service, known in self._services.items()
                if len(known.state.rooms) > 1
            },
        }
