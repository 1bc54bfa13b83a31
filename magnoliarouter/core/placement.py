"""Choice of an endpoint for a request.

Candidates are ordered by rendezvous hashing of the request's prefix, so that equal prefixes meet
the same endpoint; an endpoint above the load bound is passed over.
"""

from __future__ import annotations

from dataclasses import dataclass

from magnoliarouter.core.hashing import rendezvous_order

__all__ = ["Candidate", "choose_endpoint"]

LOAD_BOUND = 1.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """Endpoint that could serve a request.

    Parameters
    ----------
    name : str
        Endpoint.
    zone : str
        Its availability zone.
    load : float
        Requests in progress and queued per slot, aged.
    """

    name: str
    zone: str
    load: float


def choose_endpoint(prefix: str, zone: str, candidates: list[Candidate]) -> str | None:
    """Choose the endpoint that serves a request.

    Parameters
    ----------
    prefix : str
        Start of the prompt, or a key that groups equal work.
    zone : str
        Availability zone of the entry daemon.
    candidates : list of Candidate
        Endpoints that may serve it.

    Returns
    -------
    str or None
        Name of the endpoint, or None when there is no candidate.
    """
    local = [candidate for candidate in candidates if candidate.zone == zone] or candidates
    if not local:
        return None
    by_name = {candidate.name: candidate for candidate in local}
    mean = sum(candidate.load for candidate in local) / len(local)
    bound = LOAD_BOUND * mean + 1e-9
    order = rendezvous_order(prefix, list(by_name))
    return next((name for name in order if by_name[name].load <= bound), order[0])
