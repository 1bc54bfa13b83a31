"""Result classes of calls to the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from magnoliarouter.store.objects import StoredObject, WatchBatch

__all__ = [
    "Ambiguous",
    "Changes",
    "Conflict",
    "Failure",
    "Found",
    "Gone",
    "Missing",
    "ReadOutcome",
    "Unavailable",
    "WatchOutcome",
    "WriteOutcome",
    "Written",
]


class Failure(Enum):
    """Why a call got no usable response."""

    BUDGET = "budget"
    CONNECT = "connect"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    REFUSED = "refused"
    STATUS = "status"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Found:
    """Objects that were read; the result is complete up to the version."""

    version: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Missing:
    """The object does not exist."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect; the object now has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The condition of the write did not hold, so this call changed nothing.

    Parameters
    ----------
    current : StoredObject, optional
        Object as stored now; None if it does not exist.
    outcome_unknown : bool
        Whether the response to an earlier attempt of the same write was lost: that attempt may
        have taken effect and been replaced since.
    """

    current: StoredObject | None
    outcome_unknown: bool = False


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """A write was sent but got no usable response: it may have taken effect."""

    reason: str
    failure: Failure = Failure.BROKEN


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not serve the call, which changed nothing."""

    reason: str
    failure: Failure = Failure.BROKEN


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes that a watch returned."""

    batch: WatchBatch


@dataclass(frozen=True, slots=True)
class Gone:
    """The platform no longer has the changes since the version of the watch; list again."""


ReadOutcome: TypeAlias = Found | Missing | Unavailable
WriteOutcome: TypeAlias = Written | Conflict | Ambiguous | Unavailable
WatchOutcome: TypeAlias = Changes | Gone | Unavailable
