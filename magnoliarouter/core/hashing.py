"""Rendezvous hashing: a key gets the same order of names in every process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["rendezvous_order", "weighted_rendezvous_order"]

HASH_RANGE = 2**64


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names by descending rendezvous weight for a key.

    Parameters
    ----------
    key : str
        Key to place, such as a prompt prefix or a task.
    names : iterable of str
        Names to order.

    Examples
    --------
    >>> rendezvous_order("k", ["a", "b"]) == rendezvous_order("k", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (_hash_weight(key, name), name), reverse=True)


def weighted_rendezvous_order(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return names so that each comes first for a share of keys in proportion to its weight.

    Parameters
    ----------
    key : str
        Key to place.
    weights : mapping of str to float
        Positive weight of each name. Changing one weight moves only the keys that this name
        gains or loses.
    """

    def score(name: str) -> tuple[float, str]:
        fraction = (_hash_weight(key, name) + 0.5) / HASH_RANGE
        return -weights[name] / math.log(fraction), name

    return sorted(weights, key=score, reverse=True)


def _hash_weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode("utf-8", "surrogatepass"))
