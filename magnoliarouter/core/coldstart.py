"""How long an endpoint is cold, and at what rate it takes requests meanwhile.

An endpoint that has just started is slow for some seconds, and fails if it gets many requests. It
says in its registration and in responses how long it stays cold, and the words of different sources
arrive in any order. Each source's newest word stands for that source, and the endpoint counts as
cold until the latest end that any of them names: a rate that is kept too long costs little.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from magnoliarouter.core.decimals import is_decimal
from magnoliarouter.core.sharedrate import BURST_S

__all__ = ["MAX_COLD_S", "ColdBelief", "ColdLimit", "check_cold_ms", "parse_cold", "plan_cold_rate"]

# A longer time is taken for one in a wrong unit.
MAX_COLD_S = 600.0
MAX_SHOWN_CHARS = 80
# Parts of the fleet that may each use the whole rate, as where one hears of the other and not the
# other way round.
UNAWARE_PARTS = 2
# Parts that hear nothing of each other: each uses its part of the rate, and what its bucket held when
# the contact was lost. They are as many as a region has availability zones.
SEPARATE_PARTS = 3
# Requests that daemons send at the same time, before they hear of each other's.
OVERDRAFT_REQUESTS = 2.0


def check_cold_ms(value: object) -> float:
    """Return the time in seconds for which an endpoint stays cold, given in milliseconds.

    Raises
    ------
    ValueError
        The value is not a number from 0 to `MAX_COLD_S`.
    """
    valid = isinstance(value, int | float) and not isinstance(value, bool)
    if not valid or not 0 <= value <= MAX_COLD_S * 1000:
        shown = repr(value)[:MAX_SHOWN_CHARS]
        raise ValueError(f"time to stay cold is {shown} ms; valid: 0 to {MAX_COLD_S * 1000:.0f}")
    return value / 1000


def parse_cold(value: bytes) -> float:
    """Return the seconds for which an endpoint says in a response that it stays cold.

    Parameters
    ----------
    value : bytes
        Decimal number of milliseconds. Of several, separated by commas, the highest counts.

    Raises
    ------
    ValueError
        The value is no time, or longer than `MAX_COLD_S`.

    Examples
    --------
    >>> parse_cold(b"1500"), parse_cold(b"0, 2.5")
    (1.5, 0.0025)
    """
    texts = [text.strip() for text in value.split(b",")]
    if not all(map(is_decimal, texts)):
        raise ValueError(f"time to stay cold is {value!r}; valid: milliseconds, as in 1500")
    return check_cold_ms(max(map(float, texts)))


def plan_cold_rate(requests_per_s: float, over: float, slack: float) -> float:
    """Return the rate to which all daemons together keep at a cold endpoint.

    It is at most the rate that the endpoint tolerates, and low enough that two parts of the fleet
    that use the whole rate each, and three that hear nothing of each other, keep to the bound as
    well.

    Parameters
    ----------
    requests_per_s : float
        Rate that the endpoint tolerates.
    over, slack : float
        Within any second, the endpoint gets at most `requests_per_s` * `over` + `slack` requests.

    Examples
    --------
    >>> plan_cold_rate(1.0, 3.0, 5.0), plan_cold_rate(13.0, 1.5, 5.0)
    (1.0, 8.2)
    """
    allowed = requests_per_s * over + slack - OVERDRAFT_REQUESTS
    unaware = (allowed / UNAWARE_PARTS - 1.0) / (1.0 + BURST_S)
    separate = (allowed - SEPARATE_PARTS) / (1.0 + SEPARATE_PARTS * BURST_S)
    return max(0.0, min(requests_per_s, unaware, separate))


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit of a service's cold endpoints.

    Parameters
    ----------
    start_s : float
        Seconds for which an endpoint is cold after a start during traffic.
    rate : float
        Requests per second that a cold endpoint gets from all daemons together.
    """

    start_s: float
    rate: float


@dataclass(slots=True)
class ColdBelief:
    """What is known of the cold time of one start of an endpoint, by source.

    Examples
    --------
    >>> belief = ColdBelief()
    >>> belief.record_entry(3.0, now=10.0)
    >>> belief.record_response(1.0, sent_at=10.0, now=10.5)
    >>> belief.until(start_s=0.0)
    13.0
    """

    _started_at: float = -math.inf
    _entry_until: float = -math.inf
    _response_sent_at: float = -math.inf
    _response_received_at: float = -math.inf
    _response_until: float = -math.inf
    _peers_until: float = -math.inf

    def record_start(self, now: float) -> None:
        """Record that the endpoint may have started at the time `now`, or shortly before."""
        self._started_at = max(self._started_at, now)

    def record_entry(self, seconds: float, now: float) -> None:
        """Apply a newer registration; it was written at an unknown time before `now`."""
        self._entry_until = now + seconds

    def record_response(self, seconds: float, sent_at: float, now: float) -> None:
        """Apply a response that was written between two loop times.

        The later response stands. Where the order of two is not known, the longer time does.
        """
        until = now + seconds
        if self._response_sent_at >= now:
            return
        is_later = sent_at >= self._response_received_at
        if is_later or until > self._response_until:
            self._response_until = until
            self._response_sent_at, self._response_received_at = sent_at, now

    def record_peer(self, seconds: float, now: float) -> None:
        """Apply what another daemon knows from the endpoint itself."""
        self._peers_until = max(self._peers_until, now + seconds)

    def until(self, start_s: float) -> float:
        """Return the loop time until which the endpoint is cold.

        Parameters
        ----------
        start_s : float
            Seconds for which an endpoint is cold after its start.
        """
        return max(self.own_until(start_s), self._peers_until)

    def own_until(self, start_s: float) -> float:
        """Return the same by what this daemon knows without the others, which it may tell them.

        What others said is not passed on: each daemon would add the time of a message, and the
        endpoint would never cease to be cold.
        """
        started_until = self._started_at + start_s if start_s > 0 else -math.inf
        return max(started_until, self._entry_until, self._response_until)
