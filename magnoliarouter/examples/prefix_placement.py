"""Requests with equal prompt prefixes go to the same endpoint until it is overloaded."""

from __future__ import annotations

import random
from dataclasses import replace

from magnoliarouter.core.placement import Candidate, Chosen, PrefixAffinity, choose_endpoint

__all__ = ["choose_name", "main"]

PREFIX = "You are the librarian of a small town."


def choose_name(candidates: list[Candidate]) -> str:
    """Return the name of the endpoint chosen for the prefix, or the reason that there is none."""
    choice = choose_endpoint(PREFIX, "zone-1", candidates, PrefixAffinity(), random.Random(1))
    return choice.name if isinstance(choice, Chosen) else repr(choice)


def main() -> None:
    """Print whether requests stay at the preferred endpoint, and leave it when it is overloaded."""
    candidates = [
        Candidate(f"engine-{n}", "zone-1", outstanding_requests=0.0, slots=4) for n in range(3)
    ]
    preferred = choose_name(candidates)
    print("stays:", all(choose_name(candidates) == preferred for _ in range(100)))
    overloaded = [
        replace(c, outstanding_requests=12.0) if c.name == preferred else c for c in candidates
    ]
    print("leaves when full:", choose_name(overloaded) != preferred)
    print("all full:", choose_name([replace(c, outstanding_requests=12.0) for c in candidates]))


if __name__ == "__main__":
    main()
