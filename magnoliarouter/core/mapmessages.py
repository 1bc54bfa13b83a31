"""Messages that switch a group's expert map: orders to ranks, greetings and reports.

The ranks of a group compute in numbered steps, which they execute together. A map version is used
by all ranks from its activation step on. Each controller of a group has a higher epoch than the
earlier ones; an incarnation identifies one start of a rank.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

__all__ = [
    "Abort",
    "Arm",
    "Commit",
    "Form",
    "Greeting",
    "NO_STEP",
    "Order",
    "Pending",
    "Propose",
    "Query",
    "Report",
    "Reset",
    "Schedule",
]

NO_STEP = -1


class Schedule(msgspec.Struct, frozen=True):
    """Map version in force and the version before it.

    Parameters
    ----------
    version : int
        Version in force from step `since` on.
    since : int
        Activation step of the version.
    previous : int
        Version in force before that step; 0 if unknown.
    """

    version: int
    since: int = 0
    previous: int = 0

    def version_at(self, step: int) -> int:
        """Return the version in force at a step, or 0 if unknown."""
        return self.version if step >= self.since else self.previous


class Pending(msgspec.Struct, frozen=True):
    """Proposed version for which the rank has received no decision to commit or abort.

    Parameters
    ----------
    version : int
        Proposed version.
    armed : int
        Activation step that the rank has confirmed; -1 if none.
    known : bool
        Whether the rank has recorded that the controller chose to commit at `armed`.
    """

    version: int
    armed: int = NO_STEP
    known: bool = False


class Query(msgspec.Struct, frozen=True, tag=True):
    """Requests a report; from then on the rank refuses orders of controllers with older epochs."""

    epoch: int


class Form(msgspec.Struct, frozen=True, tag=True):
    """Forms a group when no rank holds its state, initially or after a restart of all ranks.

    Parameters
    ----------
    epoch : int
        Epoch of the controller.
    incarnations : tuple of str
        Incarnation of each rank; together they identify the generation of the group.
    schedule : Schedule
        Version in force from step 0 on.
    closed : int
        Highest version that was ever proposed.
    text : str
        Map as encoded by `ExpertMap.encode`; empty if the rank has to get it from other ranks.
    """

    epoch: int
    incarnations: tuple[str, ...]
    schedule: Schedule
    closed: int
    text: str = ""


class Propose(msgspec.Struct, frozen=True, tag=True):
    """Orders the rank to fetch the experts of a version; `text` is the encoded map or empty."""

    epoch: int
    version: int
    text: str = ""


class Arm(msgspec.Struct, frozen=True, tag=True):
    """Requests that the rank confirm an activation step."""

    epoch: int
    version: int
    step: int


class Commit(msgspec.Struct, frozen=True, tag=True):
    """Announces the controller's choice to commit; the rank may act on it only if it is stable."""

    epoch: int
    schedule: Schedule
    stable: bool


class Abort(msgspec.Struct, frozen=True, tag=True):
    """Closes the proposed versions up to `version`; the version in force, `base`, stays."""

    epoch: int
    version: int
    base: int


class Reset(msgspec.Struct, frozen=True, tag=True):
    """Makes the rank with this incarnation discard its state and start as a new incarnation."""

    epoch: int
    incarnation: str


class Greeting(msgspec.Struct, frozen=True, tag=True):
    """Requests another rank's report, after a restart or while an activation step is undecided."""

    rank: int
    incarnation: str


Order: TypeAlias = Query | Form | Propose | Arm | Commit | Abort | Reset


class Report(msgspec.Struct, frozen=True):
    """State of a rank, sent in response to every order and greeting.

    Parameters
    ----------
    rank, incarnation
        Index of the rank and id of its current start.
    joined : bool
        False after a restart until the rank has recovered the group's state.
    seen : tuple of str
        Latest incarnation of each rank that this rank has received.
    epoch : int
        Highest epoch of a controller whose order the rank has applied.
    granted : int
        Highest step that the rank has begun, or may have begun before a restart; -1 for none.
    begun : int
        Highest step that any rank is known to have begun; all ranks have ended the step before.
    schedule : Schedule
        Version in force and the one before it.
    closed : int
        Highest version that is decided, whether committed or aborted.
    pending : Pending, optional
        Version in flight.
    loaded : tuple of int
        Versions whose experts the rank holds.
    generation : tuple of str
        Incarnations with which the group was formed.
    """

    rank: int
    incarnation: str
    joined: bool
    seen: tuple[str, ...]
    epoch: int
    granted: int
    begun: int
    schedule: Schedule
    closed: int
    pending: Pending | None
    loaded: tuple[int, ...]
    generation: tuple[str, ...]
