"""Table of the attempts that a guard has begun or fenced.

The table is the guard's memory of one incarnation: an attempt id is started at most once, and an
id that was fenced before its start never starts.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["AttemptState", "AttemptTable", "StartVerdict"]

MAX_ATTEMPTS = 65_536
RETENTION_S = 600.0


class AttemptState(Enum):
    """State of an attempt that the guard knows."""

    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class StartVerdict(Enum):
    """Answer of the guard to an attempt that wants to start."""

    START = "start"
    WRONG_INCARNATION = "wrong incarnation"
    ALREADY_STARTED = "already started"
    FENCED = "fenced"
    DRAINING = "draining"
    TABLE_FULL = "table full"
    QUEUE_FULL = "queue full"
    TOO_LATE = "deadline cannot be met"


@dataclass(slots=True)
class _Attempt:
    state: AttemptState
    updated: float


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
        Seconds for which an ended attempt is remembered.

    Attributes
    ----------
    draining : bool
        Whether new attempts are refused.
    running : int
        Attempts in progress.
    """

    incarnation: str
    max_attempts: int = MAX_ATTEMPTS
    retention: float = RETENTION_S
    draining: bool = False
    running: int = field(default=0, init=False)
    _attempts: OrderedDict[str, _Attempt] = field(default_factory=OrderedDict)

    def start(
        self, attempt: str, incarnation: str, now: float, obstacle: StartVerdict | None = None
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
        obstacle : StartVerdict, optional
            Why a new attempt could not be served now; one that is known is answered as ever.
        """
        self._forget_old(now)
        if incarnation != self.incarnation:
            return StartVerdict.WRONG_INCARNATION
        known = self._attempts.get(attempt)
        if known is not None:
            fenced = known.state is AttemptState.FENCED
            return StartVerdict.FENCED if fenced else StartVerdict.ALREADY_STARTED
        if self.draining:
            return StartVerdict.DRAINING
        if len(self._attempts) >= self.max_attempts:
            return StartVerdict.TABLE_FULL
        if obstacle is not None:
            return obstacle
        self._attempts[attempt] = _Attempt(AttemptState.RUNNING, now)
        self.running += 1
        return StartVerdict.START

    def finish(self, attempt: str, now: float) -> None:
        """Note the end of an attempt."""
        known = self._attempts.get(attempt)
        if known is not None and known.state is AttemptState.RUNNING:
            self.running -= 1
        self._attempts[attempt] = _Attempt(AttemptState.FINISHED, now)
        self._attempts.move_to_end(attempt)

    def fence(self, attempt: str, now: float) -> AttemptState:
        """Prevent an attempt from starting, and return its state.

        Returns
        -------
        AttemptState
            `FENCED` proves that it has not run and never will.
        """
        known = self._attempts.get(attempt)
        if known is None:
            known = self._attempts[attempt] = _Attempt(AttemptState.FENCED, now)
        return known.state

    def _forget_old(self, now: float) -> None:
        while self._attempts:
            attempt, known = next(iter(self._attempts.items()))
            if known.state is AttemptState.RUNNING or now - known.updated < self.retention:
                return
            del self._attempts[attempt]
