"""Messages of the switch of a group's expert map."""

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
    """Map versions by step.

    Parameters
    ----------
    version : int
        Version in force from step `since` on.
    since : int
        Its activation step.
    previous : int
        Version in force before that step; 0 when not known.
    """

    version: int
    since: int = 0
    previous: int = 0

    def version_at(self, step: int) -> int:
        """Return the version in force at a step, or 0 when not known."""
        return self.version if step >= self.since else self.previous


class Pending(msgspec.Struct, frozen=True):
    """Proposed version that is not decided as far as the rank knows.

    Parameters
    ----------
    version : int
        Proposed version.
    armed : int
        Activation step that the rank has confirmed, or -1.
    known : bool
        Whether the rank knows that the controller chose to commit at `armed`.
    """

    version: int
    armed: int = NO_STEP
    known: bool = False


class Query(msgspec.Struct, frozen=True, tag=True):
    """Asks for a report and obliges the rank to refuse older controllers."""

    epoch: int


class Form(msgspec.Struct, frozen=True, tag=True):
    """Starts a group whose ranks all know nothing.

    Parameters
    ----------
    epoch : int
        Epoch of the controller.
    incarnations : tuple of str
        The ranks' incarnations; the group's generation is named by them.
    schedule : Schedule
        Version in force from step 0 on.
    closed : int
        Highest version that was ever proposed.
    text : str
        The map, as `ExpertMap.encode` writes it; empty if the rank is to ask others for it.
    """

    epoch: int
    incarnations: tuple[str, ...]
    schedule: Schedule
    closed: int
    text: str = ""


class Propose(msgspec.Struct, frozen=True, tag=True):
    """Tells the rank to fetch what a version needs; `text` is the encoded map or empty."""

    epoch: int
    version: int
    text: str = ""


class Arm(msgspec.Struct, frozen=True, tag=True):
    """Asks the rank to confirm an activation step."""

    epoch: int
    version: int
    step: int


class Commit(msgspec.Struct, frozen=True, tag=True):
    """Tells the controller's choice to commit; the rank may act on it once it is stable."""

    epoch: int
    schedule: Schedule
    stable: bool


class Abort(msgspec.Struct, frozen=True, tag=True):
    """Drops proposed versions up to one; the version in force, `base`, stays."""

    epoch: int
    version: int
    base: int


class Reset(msgspec.Struct, frozen=True, tag=True):
    """Makes a rank forget all and start as a new incarnation."""

    epoch: int
    incarnation: str


class Greeting(msgspec.Struct, frozen=True, tag=True):
    """Asks another rank for its report, on a restart or in doubt at an activation step."""

    rank: int
    incarnation: str


Order: TypeAlias = Query | Form | Propose | Arm | Commit | Abort | Reset


class Report(msgspec.Struct, frozen=True):
    """All that a rank knows, as its answer to every order and greeting.

    Parameters
    ----------
    rank, incarnation
        The rank and the id of its present start.
    joined : bool
        False after a restart until the rank has learned the group's state again.
    seen : tuple of str
        Latest incarnation of each rank that this one has heard of.
    epoch : int
        Highest epoch of a controller that it has obeyed.
    granted : int
        Highest step that it has begun, or may have begun before a restart; -1 for none.
    begun : int
        Highest step that any rank is known to have begun; all ranks have ended the one before.
    schedule : Schedule
        Versions in force.
    closed : int
        Highest version that is decided either way.
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
