"""Ranks that are slower than the rest: re-weighted, then drained, then reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["RankCare", "StragglerState", "choose_share", "judge_rank"]

SLOW_SPEED = 0.85
DRAIN_SPEED = 0.4
DRAIN_AFTER_S = 60.0
REPORT_AFTER_S = 180.0
DRAINED_SPEED = 0.02
SHARE_STEP = 0.1


class RankCare(Enum):
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
    care : RankCare
        What is done about it.
    slow_since : float, optional
        Loop time at which it became slow.
    """

    care: RankCare = RankCare.HEALTHY
    slow_since: float | None = None


def judge_rank(state: StragglerState, speed: float, now: float) -> StragglerState:
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
    >>> judge_rank(StragglerState(), 0.6, 0.0).care.value
    'reweighted'
    """
    if speed >= SLOW_SPEED:
        return StragglerState()
    since = now if state.slow_since is None else state.slow_since
    slow_for = now - since
    care = RankCare.REWEIGHTED
    if speed < DRAIN_SPEED and slow_for >= DRAIN_AFTER_S:
        care = RankCare.DRAINED
    if slow_for >= REPORT_AFTER_S:
        care = RankCare.REPORTED
    return StragglerState(care, since)


def choose_share(care: RankCare, speed: float, present: float) -> float:
    """Return the share of load that a rank is to have, in steps so that it does not flutter.

    Parameters
    ----------
    care : RankCare
        What is done about the rank.
    speed : float
        Its speed, 1 for a healthy rank.
    present : float
        Its present share.
    """
    if care is RankCare.DRAINED or (care is RankCare.REPORTED and speed < DRAIN_SPEED):
        return DRAINED_SPEED
    wanted = 1.0 if care is RankCare.HEALTHY else max(DRAINED_SPEED, speed)
    return present if abs(wanted - present) < SHARE_STEP else round(wanted, 2)
