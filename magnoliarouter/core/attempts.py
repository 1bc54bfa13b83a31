"""Table of the attempts that a guard has started or fenced.

A guard is the process in front of an endpoint that admits its attempts. The table covers one
incarnation, that is one start, of the guard: an attempt id is started at most once, and an id that
was fenced before its start never starts. An entry is kept for a fixed retention after it ended. If
the table is full, new attempts are refused; no entry is evicted early.

An attempt that may run only once carries a last start time on the guard's clock and is refused
after it. Hence an attempt that was delayed for longer than the retention cannot start. From the
same time the guard infers whether an attempt without an entry may have been evicted.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from enum import Enum

__all__ = ["AttemptState", "AttemptTable", "StartVerdict", "StoredResponse"]

MAX_ATTEMPTS = 16_384
FENCE_RESERVE_SHARE = 1 / 8
RETENTION_S = 300.0
ONCE_RETENTION_S = 3600.0
START_WINDOW_S = 60.0
CLOCK_SLACK_S = 0.1
MAX_RESPONSE_BYTES = 4_194_304


class AttemptState(Enum):
    """State of an attempt at its guard.

    `BROKEN` means that the endpoint started it and its response was lost, `FORGOTTEN` that it may
    have run longer ago than the retention.
    """

    RUNNING = "running"
    FINISHED = "finished"
    BROKEN = "broken"
    FENCED = "fenced"
    FORGOTTEN = "forgotten"


class StartVerdict(Enum):
    """Decision of the guard about an attempt that is to start.

    All members except `START`, `ALREADY_STARTED` and `UNRECORDED` prove that the attempt has not
    run and never will.
    """

    START = "start"
    WRONG_INCARNATION = "wrong incarnation"
    ALREADY_STARTED = "already started"
    FENCED = "fenced"
    DRAINING = "draining"
    EXPIRED = "expired"
    CLOCK_AHEAD = "last start time is too far ahead"
    TABLE_FULL = "table full"
    QUEUE_FULL = "queue full"
    TOO_LATE = "deadline cannot be met"
    UNRECORDED = "table full, refusal not recorded"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Endpoint's response, kept for callers that repeat the request.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    digest : str
        Hexadecimal SHA-256 digest of the body.
    size : int
        Size of the body in bytes.
    body : bytes, optional
        The body; None when it was too large to keep.
    """

    status: int
    content_type: str
    digest: str
    size: int
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class _Ended:
    """Attempt that has ended, or that never starts."""

    state: AttemptState
    ended_at: float
    answer: StoredResponse | None = None


@dataclass(slots=True)
class AttemptTable:
    """Attempts of one incarnation of a guard.

    Parameters
    ----------
    incarnation : str
        Id of the guard's current start.
    max_attempts : int
        Maximum number of recorded attempts; beyond it, new attempts are refused.
    retention_s, once_retention_s : float
        Seconds for which an ended attempt is recorded, and for which an ended attempt that may
        run only once is recorded; the latter is longer than `START_WINDOW_S`.
    max_response_bytes : int
        Maximum bytes of response bodies kept; beyond it, the oldest bodies are dropped and their
        digests are kept.
    """

    incarnation: str
    max_attempts: int = MAX_ATTEMPTS
    retention_s: float = RETENTION_S
    once_retention_s: float = ONCE_RETENTION_S
    max_response_bytes: int = MAX_RESPONSE_BYTES
    draining: bool = False
    response_bytes: int = 0
    _running: dict[str, bool] = field(default_factory=dict)
    _ended: OrderedDict[str, _Ended] = field(default_factory=OrderedDict)
    _ended_once: OrderedDict[str, _Ended] = field(default_factory=OrderedDict)
    _attempts_with_body: deque[str] = field(default_factory=deque)

    def start(
        self,
        attempt: str,
        incarnation: str,
        now: float,
        not_after: float | None = None,
        refusal: StartVerdict | None = None,
    ) -> StartVerdict:
        """Start an attempt if it may start, and return the verdict.

        Parameters
        ----------
        attempt : str
            Attempt id.
        incarnation : str
            Incarnation of the guard that the sender addresses.
        now : float
            Loop time in seconds.
        not_after : float, optional
            Loop time of the guard after which the attempt may not start; set for attempts that
            may run only once.
        refusal : StartVerdict, optional
            Verdict for new attempts if none can be served now; recorded attempts get their usual
            verdict.
        """
        self._evict_expired(now)
        if incarnation != self.incarnation:
            return StartVerdict.WRONG_INCARNATION
        if attempt in self._running:
            return StartVerdict.ALREADY_STARTED
        known = self._find_ended(attempt)
        if known is not None:
            fenced = known.state is AttemptState.FENCED
            return StartVerdict.FENCED if fenced else StartVerdict.ALREADY_STARTED
        once = not_after is not None
        if once and now > not_after:
            return StartVerdict.EXPIRED
        if once and not_after > now + START_WINDOW_S + CLOCK_SLACK_S:
            # The sender's estimate of this clock is wrong, for example after this VM was suspended.
            return self._refuse(attempt, now, once, StartVerdict.CLOCK_AHEAD)
        if self.draining:
            return self._refuse(attempt, now, once, StartVerdict.DRAINING)
        if self.size >= self.max_attempts:
            return self._refuse(attempt, now, once, StartVerdict.TABLE_FULL)
        if refusal is not None:
            return self._refuse(attempt, now, once, refusal)
        self._running[attempt] = once
        return StartVerdict.START

    def finish(self, attempt: str, now: float, response: StoredResponse | None = None) -> None:
        """Record the end of an attempt, and keep its response if one is given."""
        self._record_end(attempt, _Ended(AttemptState.FINISHED, now, response))
        if response is not None and response.body is not None:
            self._attempts_with_body.append(attempt)
            self.response_bytes += len(response.body)
            self._drop_oldest_bodies()

    def mark_broken(self, attempt: str, now: float) -> None:
        """Record that the endpoint started an attempt and its response was lost."""
        self._record_end(attempt, _Ended(AttemptState.BROKEN, now))

    def withdraw(self, attempt: str, now: float) -> None:
        """Record that an attempt that was started here never reached the endpoint."""
        self._record_end(attempt, _Ended(AttemptState.FENCED, now))

    def fence(self, attempt: str, now: float, not_after: float) -> AttemptState | None:
        """Prevent an attempt from starting, and return its state.

        Parameters
        ----------
        attempt : str
            Attempt id.
        now : float
            Loop time in seconds.
        not_after : float
            Last start time of the attempt, on the guard's clock.

        Returns
        -------
        AttemptState or None
            `FENCED` proves that it has not run and never will. None if the table is too full to
            record the fence, which proves nothing.
        """
        self._evict_expired(now)
        if attempt in self._running:
            return AttemptState.RUNNING
        known = self._find_ended(attempt)
        if known is not None:
            return known.state
        # If it started, it did so no earlier than one start window before its last start time.
        if now >= not_after - START_WINDOW_S - CLOCK_SLACK_S + self.once_retention_s:
            return AttemptState.FORGOTTEN
        if not self._can_record_fence():
            return None
        self._ended_once[attempt] = _Ended(AttemptState.FENCED, now)
        return AttemptState.FENCED

    def find_response(self, attempt: str) -> StoredResponse | None:
        """Return the stored response of a finished attempt, or None."""
        ended = self._find_ended(attempt)
        return ended.answer if ended else None

    @property
    def running(self) -> int:
        """Number of attempts in progress."""
        return len(self._running)

    @property
    def size(self) -> int:
        """Number of recorded attempts."""
        return len(self._running) + len(self._ended) + len(self._ended_once)

    def _find_ended(self, attempt: str) -> _Ended | None:
        return self._ended.get(attempt) or self._ended_once.get(attempt)

    def _refuse(self, attempt: str, now: float, once: bool, verdict: StartVerdict) -> StartVerdict:
        # A duplicate of the refused request may still be in flight; it must be refused as well.
        if not self._can_record_fence():
            return StartVerdict.UNRECORDED
        self._ended_table(once)[attempt] = _Ended(AttemptState.FENCED, now)
        return verdict

    def _can_record_fence(self) -> bool:
        return self.size < self.max_attempts * (1 + FENCE_RESERVE_SHARE)

    def _record_end(self, attempt: str, ended: _Ended) -> None:
        table = self._ended_table(self._running.pop(attempt, False))
        table[attempt] = ended
        table.move_to_end(attempt)

    def _ended_table(self, once: bool) -> OrderedDict[str, _Ended]:
        return self._ended_once if once else self._ended

    def _drop_oldest_bodies(self) -> None:
        while self.response_bytes > self.max_response_bytes:
            attempt = self._attempts_with_body.popleft()
            ended = self._ended_once[attempt]
            self._release_body(ended)
            self._ended_once[attempt] = replace(ended, answer=replace(ended.answer, body=None))

    def _release_body(self, ended: _Ended) -> None:
        if ended.answer is not None and ended.answer.body is not None:
            self.response_bytes -= len(ended.answer.body)

    def _evict_expired(self, now: float) -> None:
        for table, retention_s in (
            (self._ended, self.retention_s),
            (self._ended_once, self.once_retention_s),
        ):
            while table:
                attempt, ended = next(iter(table.items()))
                if now - ended.ended_at < retention_s:
                    break
                self._evict(attempt, ended)
                del table[attempt]

    def _evict(self, attempt: str, ended: _Ended) -> None:
        self._release_body(ended)
        if self._attempts_with_body and self._attempts_with_body[0] == attempt:
            self._attempts_with_body.popleft()
