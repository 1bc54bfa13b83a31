"""Counts and times the tokens of one call."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import Counter, Histogram

__all__ = ["TokenMeter"]


@dataclass(slots=True)
class TokenMeter:
    """Tokens used by one call, up to date at any time, even when the call is cancelled.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    arrived_at : float
        Loop time at which the call arrived.
    first_token, inter_token : Histogram
        Histograms of the seconds to the first token and between tokens.
    delivered : Counter
        Counter of delivered tokens.
    prompt_tokens : int
        Tokens of the prompt; 0 until an endpoint has responded.
    generated_tokens : int
        Generated tokens received from the endpoint.
    attempt : str
        Id of the attempt whose response was delivered last; empty if there was none.
    may_have_run : bool
        Whether an endpoint may have started the call.
    is_exact : bool
        Whether the number of used tokens is known; if not, the estimate is charged.
    """

    clock: Callable[[], float]
    arrived_at: float
    first_token: Histogram
    inter_token: Histogram
    delivered: Counter
    prompt_tokens: int = 0
    generated_tokens: int = 0
    may_have_run: bool = False
    attempt: str = ""
    is_exact: bool = True
    _last_token_at: float = 0.0

    @property
    def total_tokens(self) -> int | None:
        """Number of tokens to charge, or None if it is unknown."""
        return self.prompt_tokens + self.generated_tokens if self.is_exact else None

    def record_streamed_tokens(self, tokens: int) -> None:
        """Record tokens that arrived together."""
        if not tokens:
            return
        now = self.clock()
        if self.generated_tokens:
            self.inter_token.observe((now - self._last_token_at) / tokens)
        else:
            self.first_token.observe(now - self.arrived_at)
        self._last_token_at = now
        self.generated_tokens += tokens
        self.delivered.inc(tokens)

    def record_usage(self, prompt_tokens: int, generated_tokens: int) -> None:
        """Record the endpoint's own count for a complete response."""
        self.prompt_tokens = prompt_tokens
        self.generated_tokens = generated_tokens
        self.delivered.inc(generated_tokens)
