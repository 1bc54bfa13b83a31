"""Rate of requests that an endpoint takes from all daemons together.

An endpoint has a rate because it named one, or because it is cold; the lower of the two binds.

Each daemon holds a replica of one token bucket for each endpoint that names a rate. It charges its
replica for its own requests at once, and for those of the other daemons as soon as it hears of
them. Daemons that use a token at the same time overdraw the bucket, and the debt is paid before the
next request.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from magnoliarouter.core.decimals import is_decimal

__all__ = [
    "NO_LIMIT",
    "ContactTime",
    "RateNotice",
    "SharedRate",
    "merge_notices",
    "parse_rate",
]

NO_LIMIT = math.inf
# An endpoint to which nothing is sent never says that its limit has ended, so all daemons together
# send it this many requests per second at least.
MIN_RATE = 0.1
# Size of the bucket: one request, and what the rate grants in this time.
BURST_S = 0.25
# Debt is bounded to this many requests and seconds of the rate, since a peer may report anything.
MAX_DEBT_REQUESTS = 5.0
MAX_DEBT_S = 4.0
# A daemon that was silent for longer may have been out of contact, and its part was not to be used.
MAX_SILENCE_S = 1.5


def parse_rate(value: bytes) -> float:
    """Return the rate in requests per second that an endpoint names.

    Parameters
    ----------
    value : bytes
        Decimal number, with or without a fraction. Of several, separated by commas, the lowest
        counts.

    Raises
    ------
    ValueError
        The value is no rate.

    Examples
    --------
    >>> parse_rate(b"1.25"), parse_rate(b"3, 2")
    (1.25, 2.0)
    """
    texts = [text.strip() for text in value.split(b",")]
    if not all(map(is_decimal, texts)):
        raise ValueError(f"rate is {value!r}; valid: requests per second, as in 2 or 1.25")
    return min(map(float, texts))


@dataclass(slots=True)
class ContactTime:
    """Seconds of a rate for all daemons that this daemon may use.

    Each daemon has an equal part of the rate. This daemon's own part counts as time passes; that of
    another one when it is heard, for the time since it was last heard. Nothing is therefore used on
    behalf of a daemon in the time in which contact to it may have been lost.

    Examples
    --------
    >>> contact = ContactTime()
    >>> contact.hear("daemon-2", 2, now=0.0)
    >>> contact.read_s(2, now=1.0)
    0.5
    >>> contact.hear("daemon-2", 2, now=1.0)
    >>> contact.read_s(2, now=1.0)
    1.0
    """

    _seconds: float = 0.0
    _own_until: float | None = None
    _heard_at: dict[str, float] = field(default_factory=dict)

    def hear(self, peer: str, daemons: int, now: float) -> None:
        """Record a message of another daemon.

        Parameters
        ----------
        peer : str
            Name of the other daemon.
        daemons : int
            Number of daemons that share the rate, this one included.
        now : float
            Loop time in seconds.
        """
        silent_s = now - self._heard_at.get(peer, now)
        self._seconds += min(silent_s, MAX_SILENCE_S) / daemons
        self._heard_at[peer] = now

    def read_s(self, daemons: int, now: float) -> float:
        """Return the seconds until now; only the difference of two calls has a meaning."""
        if self._own_until is not None:
            self._seconds += (now - self._own_until) / daemons
        self._own_until = now
        return self._seconds


@dataclass(frozen=True, slots=True)
class RateNotice:
    """What a response of an endpoint said about its rate.

    Parameters
    ----------
    rate : float
        Requests per second; `NO_LIMIT` if it named none.
    sent_at, received_at : float
        Loop times between which the response was written.
    """

    rate: float
    sent_at: float
    received_at: float


def merge_notices(known: RateNotice, new: RateNotice) -> RateNotice:
    """Return what two responses say together.

    The later one stands. Where their order is not known, the lower rate does.

    Examples
    --------
    >>> named = RateNotice(2.0, 0.0, 1.0)
    >>> merge_notices(named, RateNotice(NO_LIMIT, 0.5, 1.5)).rate
    2.0
    >>> merge_notices(named, RateNotice(NO_LIMIT, 1.0, 1.5)).rate
    inf
    """
    if new.sent_at >= known.received_at:
        return new
    if known.sent_at >= new.received_at:
        return known
    return min(known, new, key=lambda notice: (notice.rate, -notice.received_at))


@dataclass(slots=True)
class SharedRate:
    """Replica of the token bucket of one start of an endpoint.

    Parameters
    ----------
    notice : RateNotice
        What the endpoint's responses said.
    updated_at : float
        Loop time of the creation.
    """

    notice: RateNotice
    updated_at: float
    _tokens: float = field(default=0.0)
    _cold_rate: float = field(default=NO_LIMIT)
    _cold_until: float = field(default=-math.inf)

    @property
    def rate(self) -> float:
        """Requests per second that all daemons together may send; `NO_LIMIT` if any number.

        It is that of the last call that named the time, as are `limit` and `is_limited`.
        """
        return max(self.limit, MIN_RATE)

    @property
    def limit(self) -> float:
        """Requests per second by what the endpoint said; it may be 0."""
        is_cold = self.updated_at < self._cold_until
        return min(self.notice.rate, self._cold_rate) if is_cold else self.notice.rate

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint names a rate or is cold."""
        return self.limit < NO_LIMIT

    def record(self, notice: RateNotice, now: float, share: float) -> bool:
        """Apply a response, and return whether the rate has changed."""
        self._refill(now, share)
        before, was_limited = self.notice.rate, self.is_limited
        self.notice = merge_notices(self.notice, notice)
        if not was_limited:
            self._tokens = 0.0
        return self.notice.rate != before

    def limit_cold(self, rate: float, until: float, now: float, share: float) -> None:
        """Set the rate that binds besides while the endpoint is cold.

        Parameters
        ----------
        rate : float
            Requests per second that all daemons together may send; `NO_LIMIT` if any number.
        until : float
            Loop time until which the endpoint is cold.
        now : float
            Loop time in seconds.
        share : float
            Part of the rate that the daemons in contact may use since the last call.
        """
        self._refill(now, share)
        was_limited = self.is_limited
        self._cold_rate, self._cold_until = rate, until
        if not was_limited:
            self._tokens = 0.0
        self._tokens = min(self._tokens, self._size())

    def count_tokens(self, now: float, share: float) -> float:
        """Return how many requests may be sent now; negative while the bucket is overdrawn.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        share : float
            Part of the rate that the daemons in contact may use since the last call.
        """
        self._refill(now, share)
        return self._tokens

    def charge(self, requests: int, now: float, share: float) -> None:
        """Charge the bucket for requests; a negative number gives tokens back."""
        self._refill(now, share)
        if self.is_limited:
            debt = MAX_DEBT_REQUESTS + MAX_DEBT_S * self.rate
            self._tokens = min(max(self._tokens - requests, -debt), self._size())

    def _refill(self, now: float, share: float) -> None:
        if self.updated_at < self._cold_until < now:
            self._gain(self._cold_until, share)
        self._gain(now, share)

    def _gain(self, until: float, share: float) -> None:
        if self.is_limited:
            gained = (until - self.updated_at) * self.rate * share
            self._tokens = min(self._tokens + gained, self._size())
        self.updated_at = until

    def _size(self) -> float:
        return 1.0 + BURST_S * self.rate
