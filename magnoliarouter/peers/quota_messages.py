"""Quota messages between entry daemons; `core.quota_lines` has the quota requests and grants."""

from __future__ import annotations

import msgspec

__all__ = [
    "QUOTA_REQUEST_METHOD",
    "INCARNATION_METHOD",
    "PROMISE_METHOD",
    "Incarnation",
    "IncarnationRequest",
    "Promise",
    "PromiseRequest",
]

QUOTA_REQUEST_METHOD = "quota_ask"
INCARNATION_METHOD = "quota_incarnation"
PROMISE_METHOD = "quota_promise"


class IncarnationRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request for the name of a daemon and its incarnation, the id of its current start."""


class Incarnation(msgspec.Struct, array_like=True, frozen=True):
    """Name and incarnation of the daemon that replies."""

    name: str
    incarnation: str


class PromiseRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request to the successor of a home slot not to take the slot over.

    Parameters
    ----------
    slot : str
        Name of the slot.
    epoch : int
        Epoch of the slot's holder.
    incarnation : str
        Id of the current start of the holder's daemon.
    """

    slot: str
    epoch: int
    incarnation: str


class Promise(msgspec.Struct, array_like=True, frozen=True):
    """Seconds from the sending of the request for which the successor does not take over."""

    seconds: float
