"""Chart of skew and moves over time: ``python -m magnoliarouter.standins.bench.chart``.

Draws text; with ``--out FILE`` a picture, which needs the extra ``plot``.
"""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from magnoliarouter.standins.bench.groupsim import GroupSize, compare_policies
from magnoliarouter.standins.drift import DRIFT_KINDS

if TYPE_CHECKING:
    from magnoliarouter.standins.bench.groupsim import Outcome

__all__ = ["draw_text", "main"]

BAR_CHARACTERS = " ▁▂▃▄▅▆▇█"
CHARTED_POLICIES = ("once", "greedy", "skew", "cost")


def draw_text(outcomes: dict[str, Outcome]) -> str:
    """Return a row of blocks for the skew and one for the moves of each policy.

    Parameters
    ----------
    outcomes : dict of str to Outcome
        Outcomes by policy; each kind of row is scaled to the largest value of all policies.
    """
    top_skew = max(max(outcome.skews) for outcome in outcomes.values())
    top_moves = max(max(outcome.moves, default=0) for outcome in outcomes.values())
    lines = []
    for name, outcome in outcomes.items():
        lines.append(f"{name:>7} skew  |{_draw_row(outcome.skews, top_skew)}| top {top_skew:.2f}")
        lines.append(f"{name:>7} moves |{_draw_row(outcome.moves, top_moves)}| top {top_moves}")
    return "\n".join(lines)


def main(arguments: list[str] | None = None) -> int:
    """Run the policies and draw their skew and moves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=DRIFT_KINDS, default="season")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", help="picture to write, such as chart.png")
    options = parser.parse_args(arguments)
    size = GroupSize()
    all_outcomes = compare_policies(options.kind, options.seed, size, transfer=True)
    outcomes = {name: all_outcomes[name] for name in CHARTED_POLICIES}
    print(draw_text(outcomes))
    if options.out:
        _draw_picture(outcomes, size.interval_s, options.out)
    return 0


def _draw_row(values: list[float] | list[int], top: float) -> str:
    steps = len(BAR_CHARACTERS) - 1
    return "".join(BAR_CHARACTERS[round(steps * value / top) if top else 0] for value in values)


def _draw_picture(outcomes: dict[str, Outcome], interval: float, path: str) -> None:
    try:
        from matplotlib.figure import Figure
    except ImportError:
        sys.exit("the picture needs matplotlib: pip install magnoliarouter[plot]")
    figure = Figure(figsize=(9, 6))
    upper, lower = figure.subplots(2, sharex=True)
    for name, outcome in outcomes.items():
        upper.plot([n * interval for n in range(len(outcome.skews))], outcome.skews, label=name)
        lower.plot([n * interval for n in range(len(outcome.moves))], outcome.moves, label=name)
    upper.set_ylabel("step-time skew")
    lower.set_ylabel("experts moved")
    lower.set_xlabel("time in s")
    upper.legend()
    figure.savefig(path)


if __name__ == "__main__":
    sys.exit(main())
