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


NO_WORK = CallWork()
