"""Base types of the experiments: a named run that reports figures and missed targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Experiment", "Report", "percentile"]


@dataclass(slots=True)
class Report:
    """Figures of one run and the targets that it missed.

    Parameters
    ----------
    figures : dict
        Measured values by name, with the unit at the end of the name.
    missed : list of str
        Descriptions of the missed targets.
    """

    figures: dict[str, Any] = field(default_factory=dict)
    missed: list[str] = field(default_factory=list)

    def expect(self, holds: bool, target: str) -> None:
        """Record a target as missed unless it holds."""
        if not holds:
            self.missed.append(target)

    @property
    def ok(self) -> bool:
        """Whether all targets were met."""
        return not self.missed


@dataclass(frozen=True, slots=True)
class Experiment:
    """Experiment that can be run by name.

    Parameters
    ----------
    name : str
        Name on the command line.
    summary : str
        What the experiment shows, in one sentence.
    run : callable
        Coroutine function that takes the command-line options and returns a report.
    """

    name: str
    summary: str
    run: Callable[[Any], Awaitable[Report]]


def percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` (0 to 1) of the values lie.

    Raises
    ------
    ValueError
        The list is empty.
    """
    if not values:
        raise ValueError("percentile of no values")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
