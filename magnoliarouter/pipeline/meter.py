"""Meter: counts the tokens of one call and times them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import Counter, Histogram

__all__ = ["Meter"]


@dataclass(slots=True)
class Meter:
    """Tokens that one call used, known at any moment, also when the call is cancelled.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    started : float
        Loop time at which the call arrived.
    first_token, inter_token : Histogram
        Take the seconds to the first token and between tokens.
    delivered : Counter
        Counts tokens delivered.
    prompt : int
        Tokens of the prompt; 0 until an endpoint began to work.
    generated : int
        Tokens that were generated and carried.
    attempt : str
        Id of the attempt whose answer was delivered last; empty if there was none.
    ran : bool
        Whether an endpoint may have begun the call.
    exact : bool
        Whether the tokens used are known; if not, the estimate is charged.
    """

    clock: Callable[[], float]
    started: float
    first_token: Histogram
    inter_token: Histogram
    delivered: Counter
    prompt: int = 0
    generated: int = 0
    ran: bool = False
    attempt: str = ""
    exact: bool = True
    _last: float = 0.0

    @property
    def total(self) -> int | None:
        """Tokens to charge, or None when they are not known."""
        return self.prompt + self.generated if self.exact else None

    def note_stream(self, tokens: int) -> None:
        """Note tokens that have just arrived together."""
        if not tokens:
            return
        now = self.clock()
        if self.generated:
            self.inter_token.observe((now - self._last) / tokens)
        else:
            self.first_token.observe(now - self.started)
        self._last = now
        self.generated += tokens
        self.delivered.inc(tokens)

    def note_usage(self, prompt: int, generated: int) -> None:
        """Take the endpoint's own count of a whole answer."""
        self.prompt = prompt
        self.generated = generated
        self.delivered.inc(generated)
