"""Load of an endpoint by the work that its requests bring, in addition to their number."""

from __future__ import annotations

__all__ = ["estimate_reading_s", "weigh_work"]

# Requests that an endpoint counts as more loaded by while it reads a prompt: more than what breaks
# ties between endpoints of equal load.
READING_REQUESTS = 0.5
# An endpoint without memory for a request is chosen after all that have it.
NO_MEMORY_REQUESTS = 1000.0
# What one more request costs another one at an endpoint, if its profile does not say.
DEFAULT_REQUEST_S = 0.1


def estimate_reading_s(
    prompt_tokens: float, tokens_per_s: float, chunk_tokens: int, step_s: float
) -> float:
    """Return the seconds in which an endpoint reads a prompt, 0 if its speed is unknown.

    Parameters
    ----------
    prompt_tokens : float
        Length of the prompt.
    tokens_per_s : float
        Speed of reading.
    chunk_tokens : int
        Tokens read between two steps of the other requests; 0 if unlimited.
    step_s : float
        Length of such a step in seconds.

    Examples
    --------
    >>> estimate_reading_s(1000, 10_000, 0, 0.02), estimate_reading_s(1000, 10_000, 500, 0.02)
    (0.1, 0.14)
    """
    if tokens_per_s <= 0:
        return 0.0
    waits_s = step_s * prompt_tokens / chunk_tokens if chunk_tokens > 0 else 0.0
    return prompt_tokens / tokens_per_s + waits_s


def weigh_work(
    unread_s: float,
    request_s: float,
    held_tokens: float,
    call_tokens: int,
    memory_tokens: int,
) -> float:
    """Return by how many requests an endpoint counts as more loaded for one call.

    Prompts are read one after the other: the call's first event waits for those that came before.

    Parameters
    ----------
    unread_s : float
        Seconds until the endpoint has read the prompts that it has.
    request_s : float
        Seconds that one more request costs another one at an endpoint; 0 if unknown.
    held_tokens : float
        Tokens of the requests at the endpoint.
    call_tokens : int
        Tokens of the call.
    memory_tokens : int
        Tokens that fit into the endpoint's memory; 0 if unknown.
    """
    requests = 0.0
    if unread_s > 0.0:
        requests += READING_REQUESTS + unread_s / (request_s or DEFAULT_REQUEST_S)
    if 0 < memory_tokens < held_tokens + call_tokens:
        requests += NO_MEMORY_REQUESTS
    return requests
