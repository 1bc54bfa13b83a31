"""How many requests the ranks of a group may run so that the gaps between events stay acceptable.

All ranks of a group step together, and every request makes all steps longer. By how much depends on
how evenly the work falls on the ranks, which changes at once when other experts are in demand: the
gap that is late is then that of the next step, in all streams in progress. A limit that follows the
last gap comes too late for them, so the limit follows the worst step of the last seconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

import xxhash

__all__ = ["StepCosts", "StretchMemory", "limit_mean_requests", "measure_stretch", "round_for"]

# Time for which the worst step counts. The popularity of experts changes every two to four seconds.
REMEMBERED_S = 5.0
# Share of the longest acceptable gap that the worst step may take; the rest is for a step that is worse
# than those before, and for the way to the caller.
STEPS_SHARE = 0.9
# Gaps of more than this multiple of the longest acceptable one are those of a group that stood still.
STANDSTILL_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class StepCosts:
    """Length of the steps of a model service's endpoints.

    Parameters
    ----------
    step_s : float
        Length of a step without requests, in seconds.
    per_request_s : float
        Seconds that each request adds if the work falls evenly on all ranks.
    steps_per_event : int
        Steps between two events of a stream.
    """

    step_s: float
    per_request_s: float
    steps_per_event: int

    def is_known(self) -> bool:
        """Return whether the number of requests changes the length of a step."""
        return self.step_s > 0 and self.per_request_s > 0 and self.steps_per_event > 0

    def expect_gap_s(self, requests: float, stretch: float = 1.0) -> float:
        """Return the gap between events with a mean number of requests at each rank."""
        return self.steps_per_event * (self.step_s + self.per_request_s * requests * stretch)


def measure_stretch(costs: StepCosts, gap_s: float, requests: float) -> float:
    """Return by what factor requests make steps longer than they would if work fell evenly.

    Uneven experts, prompts that are read, slow ranks and copies of experts all count in it.

    Parameters
    ----------
    costs : StepCosts
        Length of steps; `costs.is_known()` holds.
    gap_s : float
        Measured gap between events in seconds.
    requests : float
        Mean number of requests at each rank; fewer than one count as one.

    Examples
    --------
    >>> measure_stretch(StepCosts(0.004, 0.002, 5), 0.1, 4.0)
    2.0
    """
    added_s = gap_s / costs.steps_per_event - costs.step_s
    return max(1.0, added_s / (costs.per_request_s * max(1.0, requests)))


def limit_mean_requests(costs: StepCosts, stretch: float, max_gap_s: float) -> float:
    """Return the mean number of requests at each rank with which gaps stay acceptable.

    It is not less than the number with which evenly spread requests make a step twice as long: with
    fewer, the fixed part of the step decides, and refusing more callers helps the others little.

    Examples
    --------
    >>> round(limit_mean_requests(StepCosts(0.004, 0.002, 5), 2.0, 0.1), 6)
    3.5
    """
    room_s = STEPS_SHARE * max_gap_s / costs.steps_per_event - costs.step_s
    requests = room_s / (costs.per_request_s * stretch)
    return max(requests, costs.step_s / costs.per_request_s, 1.0)


def round_for(requests: float, endpoint: str) -> int:
    """Return a whole number of requests for one endpoint, whose mean over many is `requests`.

    All daemons get the same number for the same endpoint.
    """
    whole = math.floor(requests)
    point = xxhash.xxh32_intdigest(endpoint.encode()) / 2**32
    return whole + (point < requests - whole)


@dataclass(slots=True)
class StretchMemory:
    """Worst stretch of a group in the last seconds.

    Examples
    --------
    >>> memory = StretchMemory()
    >>> for now, stretch in ((0.0, 3.0), (1.0, 1.5), (2.0, 1.2)):
    ...     memory.record(stretch, now)
    >>> memory.read_worst(2.0), memory.read_worst(5.5), memory.read_worst(9.0)
    (3.0, 1.5, None)
    """

    # By time, each with a smaller stretch than the one before.
    _worst: deque[tuple[float, float]] = field(default_factory=deque)

    def record(self, stretch: float, now: float) -> None:
        """Record the stretch of the last step."""
        while self._worst and self._worst[-1][1] <= stretch:
            self._worst.pop()
        self._worst.append((now, stretch))

    def read_worst(self, now: float) -> float | None:
        """Return the worst stretch that is remembered, or None."""
        while self._worst and now - self._worst[0][0] > REMEMBERED_S:
            self._worst.popleft()
        return self._worst[0][1] if self._worst else None
