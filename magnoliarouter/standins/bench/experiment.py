"""What every experiment is made of: a name, figures, and targets that the figures must meet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Experiment", "Report", "percentile"]


@dataclass(slots=True)
class Report:
    """Figures of one run and the targets that were missed.

    Parameters
    ----------
    figures : dict
        Measured values by name, with the unit at the end of the name.
    missed : list of str
        Targets that were missed.
    """

    figures: dict[str, Any] = field(default_factory=dict)
    missed: list[str] = field(default_factory=list)

    def expect(self, holds: bool, target: str) -> None:
        """Note a target as missed unless it holds."""
        if not holds:
            self.missed.append(target)

    @property
    def ok(self) -> bool:
        """Whether all targets were met."""
        return not self.missed


@dataclass(frozen=True, slots=True)
class Experiment:
    """Named experiment.

    Parameters
    ----------
    name : str
        Name on the command line.
    summary : str
        One sentence on what it shows.
    run : callable
        Coroutine function from options to a report.
    """

    name: str
    summary: str
    run: Callable[[Any], Awaitable[Report]]


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    Raises
    ------
    ValueError
        There are no values.
    """
    if not values:
        raise ValueError("percentile of no values")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
