"""Command `magnolia-bench`: runs one experiment and prints its figures as one JSON line."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import pkgutil
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.standins import bench

if TYPE_CHECKING:
    from magnoliarouter.standins.bench.experiment import Experiment

__all__ = ["main"]


def load_experiments() -> dict[str, Experiment]:
    """Return the experiments of all modules in this package by name."""
    experiments_by_name = {}
    for info in pkgutil.iter_modules(bench.__path__):
        module = importlib.import_module(f"{bench.__name__}.{info.name}")
        for experiment in getattr(module, "experiments", list)():
            experiments_by_name[experiment.name] = experiment
    return experiments_by_name


def main(arguments: list[str] | None = None) -> int:
    """Run the experiment named on the command line and return 0 if it met its targets, else 1."""
    experiments = load_experiments()
    options = _parse(arguments, experiments)
    if options.experiment == "list":
        for experiment in experiments.values():
            print(f"{experiment.name:12} {experiment.summary}")
        return 0
    report = asyncio.run(experiments[options.experiment].run(options))
    figures = {
        "experiment": options.experiment,
        "seed": options.seed,
        **report.figures,
        "missed": report.missed,
        "ok": report.ok,
    }
    print(msgspec.json.encode(figures).decode())
    if options.write:
        _write_figures(Path(options.write), figures)
    return 0 if report.ok else 1


def _write_figures(folder: Path, figures: dict[str, Any]) -> None:
    """Write the figures of a run, with the date, to the file that documentation pages quote."""
    dated = {"date": datetime.now(tz=UTC).date().isoformat(), **figures}
    path = folder / f"{figures['experiment']}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(dated), indent=1) + b"\n")


def _parse(arguments: list[str] | None, experiments: dict[str, Experiment]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="magnolia-bench", description=__doc__)
    parser.add_argument("experiment", choices=["list", *experiments])
    parser.add_argument("--seed", type=int, default=1, help="seed of all random choices")
    parser.add_argument("--seconds", type=float, default=None, help="length of the load")
    parser.add_argument("--minutes", type=float, default=1.0, help="length of a soak")
    parser.add_argument("--write", metavar="FOLDER", help="also write the figures to a file there")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
