"""Stragglers: ranks that are slower than the others of their group.

Mitigation escalates: a slow rank gets a smaller share of the load, a very slow one is drained after
`DRAIN_AFTER_S`, and a rank that is still slow after `REPORT_AFTER_S` is reported.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["MitigationLevel", "StragglerState", "choose_share", "evaluate_rank"]

SLOW_SPEED = 0.85
DRAIN_SPEED = 0.4
DRAIN_AFTER_S = 60.0
REPORT_AFTER_S = 180.0
DRAINED_SHARE = 0.02
MIN_SHARE_CHANGE = 0.1


class MitigationLevel(Enum):
    """Mitigation in effect for a rank, in order of escalation."""

    HEALTHY = "healthy"
    REWEIGHTED = "reweighted"
    DRAINED = "drained"
    REPORTED = "reported"


@dataclass(frozen=True, slots=True)
class StragglerState:
    """State of one rank.

    Parameters
    ----------
    level : MitigationLevel
        Mitigation in effect.
    slow_since : float, optional
        Loop time in seconds at which the rank became slow; None while it is healthy.
    """

    level: MitigationLevel = MitigationLevel.HEALTHY
    slow_since: float | None = None


def evaluate_rank(state: StragglerState, speed: float, now: float) -> StragglerState:
    """Return the new state of a rank after a measurement of its speed.

    Parameters
    ----------
    state : StragglerState
        Previous state.
    speed : float
        Speed relative to the median rank.
    now : float
        Loop time in seconds.

    Examples
    --------
    >>> evaluate_rank(StragglerState(), 0.6, 0.0).level.value
    'reweighted'
    """
    if speed >= SLOW_SPEED:
        return StragglerState()
    since = now if state.slow_since is None else state.slow_since
    slow_seconds = now - since
    level = MitigationLevel.REWEIGHTED
    if speed < DRAIN_SPEED and slow_seconds >= DRAIN_AFTER_S:
        level = MitigationLevel.DRAINED
    if slow_seconds >= REPORT_AFTER_S:
        level = MitigationLevel.REPORTED
    return StragglerState(level, since)


def choose_share(level: MitigationLevel, speed: float, current: float) -> float:
    """Return the share of load of a rank; differences below `MIN_SHARE_CHANGE` are ignored.

    This keeps the share from fluctuating with each measurement.

    Parameters
    ----------
    level : MitigationLevel
        Mitigation in effect for the rank.
    speed : float
        Speed of the rank; 1 for a healthy one.
    current : float
        Current share.
    """
    if level is MitigationLevel.DRAINED or (
        level is MitigationLevel.REPORTED and speed < DRAIN_SPEED
    ):
        return DRAINED_SHARE
    target_share = 1.0 if level is MitigationLevel.HEALTHY else max(DRAINED_SHARE, speed)
    return current if abs(target_share - current) < MIN_SHARE_CHANGE else round(target_share, 2)
