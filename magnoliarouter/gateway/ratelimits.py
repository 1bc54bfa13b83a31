"""Rates of endpoints that name one or are cold, and this daemon's part in keeping to them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from magnoliarouter.core.coldstart import MAX_COLD_S, ColdBelief, ColdLimit
from magnoliarouter.core.sharedrate import (
    NO_LIMIT,
    ContactTime,
    RateNotice,
    SharedRate,
    parse_rate,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.gateway.endpoints import Endpoint

__all__ = ["EndpointRates", "RateUpdate"]

# An endpoint is part of the messages to the other daemons for this time after a request or a change,
# since datagrams may be lost.
UPDATE_S = 2.0
# Limits of one message and of the memory; the endpoints that were idle longest are left out.
MAX_UPDATES = 16
MAX_ENDPOINTS = 4096
# A message is at most this old when it is received. Responses written since are later for certain.
MAX_TRANSIT_S = 0.25
UNKNOWN_NOTICE = RateNotice(NO_LIMIT, float("-inf"), float("-inf"))


class RateUpdate(msgspec.Struct, array_like=True):
    """What one daemon knows of the rate of one start of an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    started_ms : int
        Time of day of its start in milliseconds.
    rate : float, optional
        Requests per second; None if the endpoint names no limit.
    sent_age, received_age : float
        Seconds since the interval in which the endpoint said so.
    requests : int
        Requests that the sender has sent there.
    cold_ms : int
        Milliseconds for which the endpoint stays cold, as the sender knows without the others.
    """

    endpoint: str
    started_ms: int
    rate: Annotated[float, Meta(ge=0)] | None
    sent_age: Annotated[float, Meta(ge=0)]
    received_age: Annotated[float, Meta(ge=0)]
    requests: Annotated[int, Meta(ge=0, le=2**53)]
    cold_ms: Annotated[int, Meta(ge=0, le=int(MAX_COLD_S * 1000))] = 0


@dataclass(slots=True)
class _Entry:
    """Rate of one start of an endpoint.

    Parameters
    ----------
    started_ms : int
        The start.
    service : str
        Service of the endpoint.
    bucket : SharedRate
        Replica of the bucket that all daemons share.
    active_at : float
        Loop time of this daemon's last request or change.
    requests : int
        Requests that this daemon sent.
    peer_requests : dict of str to (int, int)
        Start and number of requests of each other daemon that sent any.
    cold : ColdBelief
        How long the endpoint is cold.
    """

    started_ms: int
    service: str
    bucket: SharedRate
    active_at: float
    # Seconds of `ContactTime` that the bucket has got.
    counted_s: float
    requests: int = 0
    peer_requests: dict[str, tuple[int, int]] = field(default_factory=dict)
    cold: ColdBelief = field(default_factory=ColdBelief)


@dataclass(slots=True)
class EndpointRates:
    """Rates by name of the endpoint.

    Parameters
    ----------
    read_share : callable
        Returns the part of each rate that the daemons in contact with this one may use, this one
        included, by which waits are estimated.
    count_daemons : callable
        Returns how many daemons share each rate, this one included.
    find_cold_limit : callable
        Returns the limit of a service's cold endpoints, or None if it has none.
    """

    read_share: Callable[[], float] = lambda: 1.0
    count_daemons: Callable[[], int] = lambda: 1
    find_cold_limit: Callable[[str], ColdLimit | None] = lambda service: None
    _entries: OrderedDict[str, _Entry] = field(default_factory=OrderedDict)
    _starts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _contact: ContactTime = field(default_factory=ContactTime)

    def record_contact(self, peer: str, now: float) -> None:
        """Record a message of another daemon, which adds its part to the rates until now."""
        self._contact.hear(peer, self.count_daemons(), now)

    def record_entry(self, endpoint: Endpoint, now: float, during_traffic: bool) -> bool:
        """Apply a newer registration, and return whether the endpoint turned cold by it.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint as registered.
        now : float
            Loop time in seconds.
        during_traffic : bool
            Whether an endpoint that was not known before has just started.
        """
        if self._is_outdated(endpoint):
            return False
        is_new = self._starts.get(endpoint.identity) != endpoint.started_ms
        self._starts[endpoint.identity] = endpoint.started_ms
        self._starts.move_to_end(endpoint.identity)
        if len(self._starts) > MAX_ENDPOINTS:
            self._starts.popitem(last=False)
        was_cold = self.is_cold(endpoint, now)
        if is_new and during_traffic and self.find_cold_limit(endpoint.service) is not None:
            self._open(endpoint, now).cold.record_start(now)
        if endpoint.cold_s is not None and (endpoint.cold_s > 0 or self._find(endpoint)):
            self._open(endpoint, now).cold.record_entry(endpoint.cold_s, now)
        return not was_cold and self.is_cold(endpoint, now)

    def record_start(self, endpoint: Endpoint, now: float) -> bool:
        """Record that an endpoint may just have started, and return whether it turned cold by it."""
        if self.find_cold_limit(endpoint.service) is None or self._is_outdated(endpoint):
            return False
        was_cold = self.is_cold(endpoint, now)
        self._open(endpoint, now).cold.record_start(now)
        return not was_cold and self.is_cold(endpoint, now)

    def record_cold_response(
        self, endpoint: Endpoint, seconds: float, sent_at: float, now: float
    ) -> bool:
        """Apply the cold time that a response names, and return whether the endpoint turned cold.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        seconds : float
            Time for which it stays cold.
        sent_at, now : float
            Loop times of the request and of the response.
        """
        if self._is_outdated(endpoint) or (seconds == 0 and self._find(endpoint) is None):
            return False
        was_cold = self.is_cold(endpoint, now)
        entry = self._open(endpoint, now)
        entry.cold.record_response(seconds, sent_at, now)
        turned_cold = not was_cold and self.is_cold(endpoint, now)
        if turned_cold:
            entry.active_at = now
        return turned_cold

    def cold_s(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds for which the rate of a cold endpoint binds; 0 if it does not."""
        entry, limit = self._find(endpoint), self.find_cold_limit(endpoint.service)
        if entry is None or limit is None:
            return 0.0
        return max(0.0, entry.cold.until(limit.start_s) - now)

    def is_cold(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the rate of a cold endpoint binds."""
        return self.cold_s(endpoint, now) > 0

    def limit_of(self, endpoint: Endpoint, now: float) -> float:
        """Return the requests per second that all daemons together may send, or `NO_LIMIT`."""
        entry = self._find_limited(endpoint, now)
        return entry.bucket.limit if entry is not None else NO_LIMIT

    def record_response(
        self, endpoint: Endpoint, value: bytes | None, sent_at: float, now: float
    ) -> bool:
        """Apply a response of an endpoint, and return whether its rate has changed.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        value : bytes, optional
            The rate as received; None if the response named none.
        sent_at, now : float
            Loop times of the request and of the response.

        Raises
        ------
        ValueError
            The rate is malformed; what was known stands.
        """
        rate = NO_LIMIT if value is None else parse_rate(value)
        return self._record(endpoint, RateNotice(rate, sent_at, now), now)

    def record_request(self, endpoint: Endpoint, now: float, requests: int = 1) -> None:
        """Count requests that this daemon sends; a negative number takes them back."""
        entry = self._find_limited(endpoint, now)
        if entry is not None:
            entry.requests += requests
            entry.active_at = now
            entry.bucket.charge(requests, now, self._read_part(entry, now))

    def rate_of(self, endpoint: Endpoint) -> float:
        """Return the rate that an endpoint names in requests per second, `NO_LIMIT` if none."""
        entry = self._find(endpoint)
        return entry.bucket.notice.rate if entry is not None else NO_LIMIT

    def count_tokens(self, endpoint: Endpoint, now: float) -> float:
        """Return how many requests an endpoint takes now, `NO_LIMIT` if any number."""
        entry = self._find_limited(endpoint, now)
        if entry is None:
            return NO_LIMIT
        return entry.bucket.count_tokens(now, self._read_part(entry, now))

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint takes a request now."""
        return self.count_tokens(endpoint, now) >= 1.0

    def estimate_wait_s(self, endpoints: Iterable[Endpoint], requests: int, now: float) -> float:
        """Return the seconds until endpoints take a number of requests; 0 if one has no limit."""
        tokens = rate = 0.0
        for endpoint in endpoints:
            entry = self._find_limited(endpoint, now)
            if entry is None:
                return 0.0
            tokens += entry.bucket.count_tokens(now, self._read_part(entry, now))
            rate += entry.bucket.rate * self.read_share()
        return max(0.0, (requests - tokens) / rate) if rate else 0.0

    def collect_updates(self, now: float) -> list[RateUpdate]:
        """Return what the next message to the other daemons says of rates."""
        active = [
            (name, entry)
            for name, entry in self._entries.items()
            if now - entry.active_at < UPDATE_S
        ]
        active.sort(key=lambda item: item[1].active_at, reverse=True)
        return [
            RateUpdate(
                name,
                entry.started_ms,
                entry.bucket.notice.rate if entry.bucket.notice.rate < NO_LIMIT else None,
                now - entry.bucket.notice.sent_at,
                now - entry.bucket.notice.received_at,
                entry.requests,
                self._own_cold_ms(entry, now),
            )
            for name, entry in active[:MAX_UPDATES]
        ]

    def apply_update(
        self, peer: str, peer_start: int, endpoint: Endpoint, update: RateUpdate, now: float
    ) -> bool:
        """Apply what another daemon knows, and return whether the rate of the endpoint has changed.

        Parameters
        ----------
        peer : str
            Name of the other daemon.
        peer_start : int
            Number that identifies its start.
        endpoint : Endpoint
            The endpoint of the update, as this daemon knows it.
        update : RateUpdate
            The update.
        now : float
            Loop time of its receipt.
        """
        if update.started_ms != endpoint.started_ms:
            return False
        notice = RateNotice(
            NO_LIMIT if update.rate is None else update.rate,
            now - update.sent_age - MAX_TRANSIT_S,
            now - update.received_age,
        )
        if update.cold_ms and not self._is_outdated(endpoint):
            self._open(endpoint, now).cold.record_peer(update.cold_ms / 1000, now)
        changed = self._record(endpoint, notice, now, is_own=False)
        entry = self._find(endpoint)
        if entry is not None:
            self._find_limited(endpoint, now)
            known_start, known = entry.peer_requests.get(peer, (peer_start, None))
            if known is None or known_start != peer_start:
                # Each request is reported at once, so those before the last one are over.
                known = max(0, update.requests - 1)
            entry.peer_requests[peer] = peer_start, update.requests
            part = self._read_part(entry, now)
            entry.bucket.charge(update.requests - known, now, part)
        return changed

    def _record(
        self, endpoint: Endpoint, notice: RateNotice, now: float, is_own: bool = True
    ) -> bool:
        entry = self._find(endpoint)
        if entry is None:
            if notice.rate == NO_LIMIT or self._is_outdated(endpoint):
                return False
            self._add(endpoint, notice, now).active_at = now
            return True
        changed = entry.bucket.record(notice, now, self._read_part(entry, now))
        if changed and is_own:
            entry.active_at = now
        return changed

    def _open(self, endpoint: Endpoint, now: float) -> _Entry:
        return self._find(endpoint) or self._add(endpoint, UNKNOWN_NOTICE, now)

    def _add(self, endpoint: Endpoint, notice: RateNotice, now: float) -> _Entry:
        entry = _Entry(
            endpoint.started_ms,
            endpoint.service,
            SharedRate(notice, now),
            float("-inf"),
            self._contact.read_s(self.count_daemons(), now),
        )
        self._entries[endpoint.identity] = entry
        self._entries.move_to_end(endpoint.identity)
        if len(self._entries) > MAX_ENDPOINTS:
            self._entries.popitem(last=False)
        return entry

    def _read_part(self, entry: _Entry, now: float) -> float:
        """Return the part of the rate that this daemon may use since the last call for a bucket."""
        elapsed_s = now - entry.bucket.updated_at
        if elapsed_s <= 0.0:
            return 0.0
        contact_s = self._contact.read_s(self.count_daemons(), now)
        part = (contact_s - entry.counted_s) / elapsed_s
        entry.counted_s = contact_s
        return part

    def _is_outdated(self, endpoint: Endpoint) -> bool:
        """Return whether a later start of an endpoint is known."""
        known = self._entries.get(endpoint.identity)
        return known is not None and known.started_ms > endpoint.started_ms

    def _own_cold_ms(self, entry: _Entry, now: float) -> int:
        limit = self.find_cold_limit(entry.service)
        own_s = entry.cold.own_until(limit.start_s) - now if limit is not None else 0.0
        return int(min(max(0.0, own_s), MAX_COLD_S) * 1000)

    def _find_limited(self, endpoint: Endpoint, now: float) -> _Entry | None:
        """Return the entry of an endpoint with its limit as of now, or None if it has none."""
        entry = self._find(endpoint)
        if entry is None:
            return None
        limit = self.find_cold_limit(entry.service)
        until = entry.cold.until(limit.start_s) if limit is not None else float("-inf")
        rate = limit.rate if limit is not None and until > now else NO_LIMIT
        if rate == entry.bucket.notice.rate == NO_LIMIT and not entry.bucket.is_limited:
            return None
        entry.bucket.limit_cold(rate, until, now, self._read_part(entry, now))
        return entry if entry.bucket.is_limited else None

    def _find(self, endpoint: Endpoint) -> _Entry | None:
        entry = self._entries.get(endpoint.identity)
        if entry is None or entry.started_ms != endpoint.started_ms:
            return None
        return entry
