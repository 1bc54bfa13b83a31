"""Messages of the quota duty between entry daemons; asks and grants are in `core.quota_lines`."""

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
    """Asks a daemon which of its starts is running."""


class Incarnation(msgspec.Struct, array_like=True, frozen=True):
    """Daemon that answers, and the id of its present start."""

    name: str
    incarnation: str


class PromiseRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks a slot's successor not to take over.

    Parameters
    ----------
    slot : str
        Slot.
    epoch : int
        Epoch of the holder.
    incarnation : str
        Holder's daemon.
    """

    slot: str
    epoch: int
    incarnation: str


class Promise(msgspec.Struct, array_like=True, frozen=True):
    """Seconds, from when the ask was sent, for which the successor does not take over."""

    seconds: float
