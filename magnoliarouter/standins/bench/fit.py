"""Least-squares lines through measured points."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

__all__ = ["Line", "fit_line"]


@dataclass(frozen=True, slots=True)
class Line:
    """Line ``y = intercept + slope * x``.

    Examples
    --------
    >>> fit_line([(0, 1.0), (10, 3.0)]).at(20)
    5.0
    """

    intercept: float
    slope: float

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through points, at least two of which differ in x."""
    slope, intercept = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return Line(intercept, slope)
