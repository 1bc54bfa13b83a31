"""Reports of ranks, the experts that they hold, and the orders they accept to switch maps.

A rank is one endpoint of a group whose endpoints execute a model together, step by step. The epoch
of a group counts how often it was formed. Fencing numbers let ranks refuse orders of an older lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Arm",
    "Disarm",
    "Fence",
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
    """State of one rank, a few hundred milliseconds old.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Counts how often the group was formed.
    rank, size : int
        Number of the rank, and number of ranks of the group.
    open : bool
        Whether the group is formed and works.
    step : int
        Last step that was started.
    map_version : int
        Version of the map that the rank uses.
    prepared_version : int, optional
        Version for which the rank has fetched all experts.
    armed_version : int, optional
        Version to which the rank is set to switch.
    held_step : int, optional
        Step before which the group is held.
    pace : float
        How many times as long as usual the rank takes for its part of a step.
    armed_step : int, optional
        Step at whose start the rank switches to the armed version.
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
    pace: float = 1.0
    armed_step: int | None = None


@dataclass(frozen=True, slots=True)
class RankCounts:
    """How often the requests of one rank chose each expert since the rank started.

    Parameters
    ----------
    step, epoch : int
        Step and epoch at which the counts were read.
    counts : tuple of int
        Choices of each expert, concatenated over the sets.
    """

    step: int
    epoch: int
    counts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RankExperts:
    """Experts that one rank holds for the current map.

    Parameters
    ----------
    epoch, version : int
        Epoch of the group, and version of the map.
    experts : tuple of tuple of int
        Held experts, by set.
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
    """Switch to a version when a step starts."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Stop before a step."""

    step: int


@dataclass(frozen=True, slots=True)
class Go:
    """Start the step that was held."""

    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Do not switch to a version that the rank is armed for."""

    version: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Change nothing but the fencing number below which orders are refused."""


Order: TypeAlias = Prepare | Arm | Hold | Go | Disarm | Fence


class OrderResult(Enum):
    """What the response to an order proves."""

    TAKEN = "taken"
    REFUSED = "refused"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class RankClient(Protocol):
    """Calls to ranks; None means that there was no usable response, which is logged.

    Attributes
    ----------
    may_send : callable
        Returns whether the lease with a fencing number is still held. An order asks it once its
        connection is open, which may take longer than the rest of the lease.
    """

    may_send: Callable[[int], bool]

    async def read_report(self, address: str) -> RankReport | None:
        """Return a rank's state."""

    async def read_counts(self, address: str) -> RankCounts | None:
        """Return how often a rank's requests chose each expert."""

    async def read_experts(self, address: str) -> RankExperts | None:
        """Return the experts that a rank holds."""

    async def send(
        self,
        address: str,
        order: Order,
        epoch: int,
        fencing_number: int,
        size: int,
        timeout_s: float | None = None,
    ) -> OrderResult:
        """Send an order.

        Parameters
        ----------
        address : str
            ``"host:port"`` of the rank.
        order : Order
            The order.
        epoch : int
            Epoch of the group that the order applies to.
        fencing_number : int
            Fencing number of the lease under which the order is sent.
        size : int
            Number of ranks of the group.
        timeout_s : float, optional
            Seconds after which an order without a response counts as lost.
        """
