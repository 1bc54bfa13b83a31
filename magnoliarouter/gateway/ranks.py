"""Ranks of a group: what they report, what they hold, and the orders that they take."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

__all__ = [
    "Arm",
    "Go",
    "Hold",
    "RankExperts",
    "Order",
    "OrderResult",
    "Prepare",
    "RankClient",
    "RankCounts",
    "RankReport",
]

Row: TypeAlias = tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class RankReport:
    """State of one rank, some hundred milliseconds old.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Counts how often the group was formed.
    rank, size : int
        Number of the rank, and how many the group has.
    open : bool
        Whether the group works.
    step : int
        Last step that was begun.
    map_version : int
        Map that the rank works on.
    prepared_version : int, optional
        Version that the rank has all experts of.
    armed_version : int, optional
        Version that the rank will switch to.
    held_step : int, optional
        Step before which the group waits.
    """

    group: str
    epoch: int
    rank: int
    size: int
    open: bool
    step: int
    map_version: int
    prepared_version: int | None
    armed_version: int | None
    held_step: int | None


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Choices of experts by the requests of one rank since it started.

    Parameters
    ----------
    step, epoch : int
        When they were read.
    counts : tuple of int
        Choices of each expert, set after set.
    """

    step: int
    epoch: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RankExperts:
    """Experts that one rank holds for the map in force.

    Parameters
    ----------
    epoch, version : int
        Forming of the group, and version of the map.
    experts : tuple of tuple of int
        Experts by set.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Prepare:
    """Fetch the experts of a version; `rows` holds the ranks of each expert, by set."""

    version: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Arm:
    """Switch to a version as a step begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Do not begin a step."""

    step: int


@dataclass(frozen=True, slots=True)
class Go:
    """Begin the step that was held."""

    step: int


Order: TypeAlias = Prepare | Arm | Hold | Go


class OrderResult(Enum):
    """What the answer to an order proves."""

    TAKEN = "taken"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class RankClient(Protocol):
    """Calls to ranks; None stands for no usable answer, which was logged."""

    async def read_report(self, address: str) -> RankReport | None:
        """Return a rank's state."""

    async def read_counts(self, address: str) -> RankCounts | None:
        """Return a rank's counts."""

    async def read_experts(self, address: str) -> RankExperts | None:
        """Return the experts that a rank holds."""

    async def send(
        self, address: str, order: Order, epoch: int, fence: int, size: int
    ) -> OrderResult:
        """Give an order.

        Parameters
        ----------
        address : str
            ``"host:port"`` of the rank.
        order : Order
            What to do.
        epoch : int
            Forming of the group that it is meant for.
        fence : int
            Fencing number of the lease under which it is given.
        size : int
            Ranks of the group.
        """
