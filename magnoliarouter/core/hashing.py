"""Rendezvous hashing: the same order of names for a key in every process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["rendezvous_order"]


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names by descending rendezvous weight for a key.

    Parameters
    ----------
    key : str
        What is to be spread, such as a prefix or a duty.
    names : iterable of str
        Names to order.

    Examples
    --------
    >>> rendezvous_order("k", ["a", "b"]) == rendezvous_order("k", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (_weigh(key, name), name), reverse=True)


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())
