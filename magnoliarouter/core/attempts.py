"""Table of the attempts that a guard has begun or fenced.

The table is the guard's memory of one incarnation: an attempt id is started at most once, and an
id that was fenced before its start never starts. An entry is kept for a stated time after it
ended. When the table is full, new attempts are refused; no entry is forgotten early. An attempt
that carries a last start time on the guard's clock is refused after it, so that one that was
delayed for longer than the retention cannot start either.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from enum import Enum

__all__ = ["AttemptState", "AttemptTable", "StartVerdict", "StoredAnswer"]

MAX_ATTEMPTS = 16_384
FENCE_RESERVE_SHARE = 1 / 8
RETENTION_S = 300.0
START_WINDOW_S = 60.0
MAX_ANSWER_BYTES = 4_194_304


class AttemptState(Enum):
    """State of an attempt that the guard knows.

    `BROKEN` means that the endpoint began it and its answer was lost.
    """

    RUNNING = "running"
    FINISHED = "finished"
    BROKEN = "broken"
    FENCED = "fenced"


class StartVerdict(Enum):
    """Answer of the guard to an attempt that wants to start.

    All but `START`, `ALREADY_STARTED` and `UNRECORDED` prove that the attempt has not run and
    never will.
    """

    START = "start"
    WRONG_INCARNATION = "wrong incarnation"
    ALREADY_STARTED = "already started"
    FENCED = "fenced"
    DRAINING = "draining"
    EXPIRED = "expired"
    TABLE_FULL = "table full"
    QUEUE_FULL = "queue full"
    TOO_LATE = "deadline cannot be met"
    UNRECORDED = "table full, refusal not recorded"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Endpoint's answer, kept for callers that ask again.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Type of the body.
    digest : str
        Hexadecimal SHA-256 digest of the body.
    size : int
        Bytes of the body.
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
    """Attempt that has ended or will never start."""

    state: AttemptState
    updated: float
    answer: StoredAnswer | None = None


@dataclass(slots=True)
class AttemptTable:
    """Attempts of one incarnation of a guard.

    Parameters
    ----------
    incarnation : str
        Id of the guard's present start.
    max_attempts : int
        Attempts remembered; further ones are refused, never forgotten early.
    retention : float
        Seconds for which an ended attempt is remembered; longer than `START_WINDOW_S`.
    max_answer_bytes : int
        Bytes of answers kept; beyond it the oldest bodies go and their digests stay.
    """

    incarnation: str
    max_attempts: int = MAX_ATTEMPTS
    retention: float = RETENTION_S
    max_answer_bytes: int = MAX_ANSWER_BYTES
    draining: bool = False
    answer_bytes: int = 0
    _running: dict[str, float] = field(default_factory=dict)
    _ended: OrderedDict[str, _Ended] = field(default_factory=OrderedDict)
    _with_body: deque[str] = field(default_factory=deque)

    def start(
        self,
        attempt: str,
        incarnation: str,
        now: float,
        not_after: float | None = None,
        obstacle: StartVerdict | None = None,
    ) -> StartVerdict:
        """Begin an attempt if it may begin, and return the verdict.

        Parameters
        ----------
        attempt : str
            Attempt id.
        incarnation : str
            Incarnation that the sender believes to address.
        now : float
            Loop time in seconds.
        not_after : float, optional
            Loop time of the guard after which the attempt may not start.
        obstacle : StartVerdict, optional
            Why a new attempt cannot be served now; one that is known is answered as ever.
        """
        self._forget_old(now)
        if incarnation != self.incarnation:
            return StartVerdict.WRONG_INCARNATION
        if attempt in self._running:
            return StartVerdict.ALREADY_STARTED
        known = self._ended.get(attempt)
        if known is not None:
            fenced = known.state is AttemptState.FENCED
            return StartVerdict.FENCED if fenced else StartVerdict.ALREADY_STARTED
        if not_after is not None and now > not_after:
            return StartVerdict.EXPIRED
        if self.draining:
            return self._refuse(attempt, now, StartVerdict.DRAINING)
        if self.size >= self.max_attempts:
            return self._refuse(attempt, now, StartVerdict.TABLE_FULL)
        if obstacle is not None:
            return self._refuse(attempt, now, obstacle)
        self._running[attempt] = now
        return StartVerdict.START

    def finish(self, attempt: str, now: float, answer: StoredAnswer | None = None) -> None:
        """Note the end of an attempt, and keep its answer if one is given."""
        self._end(attempt, _Ended(AttemptState.FINISHED, now, answer))
        if answer is not None and answer.body is not None:
            self._with_body.append(attempt)
            self.answer_bytes += len(answer.body)
            self._drop_old_bodies()

    def break_off(self, attempt: str, now: float) -> None:
        """Note that the endpoint began an attempt and its answer was lost."""
        self._end(attempt, _Ended(AttemptState.BROKEN, now))

    def withdraw(self, attempt: str, now: float) -> None:
        """Note that an attempt that was begun here never reached the endpoint."""
        self._end(attempt, _Ended(AttemptState.FENCED, now))

    def fence(self, attempt: str, now: float) -> AttemptState | None:
        """Prevent an attempt from starting, and return its state.

        Returns
        -------
        AttemptState or None
            `FENCED` proves that it has not run and never will. None when the table has no room to
            remember the fence, which proves nothing.
        """
        self._forget_old(now)
        if attempt in self._running:
            return AttemptState.RUNNING
        if attempt not in self._ended:
            if not self._has_room_for_fence():
                return None
            self._ended[attempt] = _Ended(AttemptState.FENCED, now)
        return self._ended[attempt].state

    def find_answer(self, attempt: str) -> StoredAnswer | None:
        """Return the answer kept of a finished attempt."""
        ended = self._ended.get(attempt)
        return ended.answer if ended else None

    @property
    def running(self) -> int:
        """Attempts in progress."""
        return len(self._running)

    @property
    def size(self) -> int:
        """Attempts remembered."""
        return len(self._running) + len(self._ended)

    def _refuse(self, attempt: str, now: float, verdict: StartVerdict) -> StartVerdict:
        # A copy of the refused request may still be on its way; it must be refused as well.
        if not self._has_room_for_fence():
            return StartVerdict.UNRECORDED
        self._ended[attempt] = _Ended(AttemptState.FENCED, now)
        return verdict

    def _has_room_for_fence(self) -> bool:
        return self.size < self.max_attempts * (1 + FENCE_RESERVE_SHARE)

    def _end(self, attempt: str, ended: _Ended) -> None:
        self._running.pop(attempt, None)
        self._ended[attempt] = ended
        self._ended.move_to_end(attempt)

    def _drop_old_bodies(self) -> None:
        while self.answer_bytes > self.max_answer_bytes:
            attempt = self._with_body.popleft()
            ended = self._ended[attempt]
            self._release_body(ended)
            self._ended[attempt] = replace(ended, answer=replace(ended.answer, body=None))

    def _release_body(self, ended: _Ended) -> None:
        if ended.answer is not None and ended.answer.body is not None:
            self.answer_bytes -= len(ended.answer.body)

    def _forget_old(self, now: float) -> None:
        while self._ended:
            attempt, ended = next(iter(self._ended.items()))
            if now - ended.updated < self.retention:
                return
            self._release_body(ended)
            if self._with_body and self._with_body[0] == attempt:
                self._with_body.popleft()
            del self._ended[attempt]
