"""Ranks that are slower than the rest: re-weighted, then drained, then reported."""

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
    """What is done about a rank."""

    HEALTHY = "healthy"
    REWEIGHTED = "reweighted"
    DRAINED = "drained"
    REPORTED = "reported"


@dataclass(frozen=True, slots=True)
class StragglerState:
    """What is known of one rank's speed.

    Parameters
    ----------
    level : MitigationLevel
        What is done about it.
    slow_since : float, optional
        Loop time at which it became slow.
    """

    level: MitigationLevel = MitigationLevel.HEALTHY
    slow_since: float | None = None


def evaluate_rank(state: StragglerState, speed: float, now: float) -> StragglerState:
    """Decide what to do about a rank.

    Parameters
    ----------
    state : StragglerState
        What was known before.
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
    """Return the share of load that a rank is to have, in steps so that it does not flutter.

    Parameters
    ----------
    level : MitigationLevel
        What is done about the rank.
    speed : float
        Its speed, 1 for a healthy rank.
    current : float
        Its present share.
    """
    if level is MitigationLevel.DRAINED or (
        level is MitigationLevel.REPORTED and speed < DRAIN_SPEED
    ):
        return DRAINED_SHARE
    target_share = 1.0 if level is MitigationLevel.HEALTHY else max(DRAINED_SHARE, speed)
    return current if abs(target_share - current) < MIN_SHARE_CHANGE else round(target_share, 2)
