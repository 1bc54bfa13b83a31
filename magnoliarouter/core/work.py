"""Work that one call brings to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NO_WORK", "CallWork"]


@dataclass(frozen=True, slots=True)
class CallWork:
    """Work of one call, as far as its request tells.

    Parameters
    ----------
    prompt_tokens : int
        Tokens to read before the first event; 0 if unknown.
    output_tokens : int
        Expected number of generated tokens; 0 if unknown.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Tokens that the call's endpoint holds at its end."""
        return self.prompt_tokens + self.output_tokens


NO_WORK = CallWork()
