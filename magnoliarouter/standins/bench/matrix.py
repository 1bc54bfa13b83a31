"""Experiment `matrix`: runs the tests, scenes and experiments that prove the fault matrix."""

from __future__ import annotations

import asyncio
import importlib
import sys
from argparse import Namespace
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.standins.bench import matrixduties, matrixquota
from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.bench.matrixcells import (
    Bench,
    Cell,
    Excluded,
    Open,
    Proof,
    Proved,
    Scene,
    UnitTest,
    expand,
)
from magnoliarouter.standins.bench.matrixrequests import NON_REPEATABLE, REQUEST
from magnoliarouter.standins.bench.matrixscenes import run_scene

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["EXPERIMENT_MODULES", "count_states", "experiments", "list_cells", "list_proofs"]

ALL_PROCEDURES = (REQUEST, NON_REPEATABLE, *matrixquota.PROCEDURES, *matrixduties.PROCEDURES)
# Module of each experiment that proves cells, and its length in seconds. `map` needs 240 s to cause
# all of its faults; None is the experiment's default length.
EXPERIMENT_MODULES: dict[str, tuple[str, float | None]] = {
    "answers": ("answers", None),
    "drain": ("drain", None),
    "fencing": ("fencing", None),
    "leaving": ("leaving", None),
    "limits-faults": ("limits", None),
    "map": ("expertmap", 240.0),
    "once": ("once", None),
    "rollout": ("rollout", None),
}
TESTS_MODULE = "magnoliarouter.standins.bench.matrixtests"


def list_cells() -> list[Cell]:
    """Return the cells of all procedures."""
    return [cell for procedure in ALL_PROCEDURES for cell in expand(procedure)]


def list_proofs(cells: Iterable[Cell]) -> list[Proof]:
    """Return the proofs that the cells refer to, in cell order and without duplicates."""
    states = [cell.state for cell in cells]
    proofs = [proof for state in states if isinstance(state, Proved) for proof in state.proofs]
    return list(dict.fromkeys(proofs))


def count_states(cells: Iterable[Cell], failed: frozenset[Proof] = frozenset()) -> Counter[str]:
    """Return the number of cells proved, failed, not applicable and open."""
    counts = Counter(cells=0, proved=0, failed=0, not_applicable=0, open=0)
    for cell in cells:
        counts["cells"] += 1
        match cell.state:
            case Proved(_, proofs):
                counts["proved" if failed.isdisjoint(proofs) else "failed"] += 1
            case Excluded():
                counts["not_applicable"] += 1
            case Open():
                counts["open"] += 1
    return counts


async def _run(options: Namespace) -> Report:
    cells = list_cells()
    proofs = list_proofs(cells)
    violations_by_proof: dict[Proof, list[str]] = {}
    tests = [proof for proof in proofs if isinstance(proof, UnitTest)]
    states = await _run_tests([test.id for test in tests])
    for test in tests:
        state = states.get(test.id, "not run")
        violations_by_proof[test] = [] if state == "passed" else [f"{test.name}: {state}"]
    for proof in proofs:
        match proof:
            case Scene(name):
                violations_by_proof[proof] = await run_scene(name)
            case Bench(name):
                violations_by_proof[proof] = await _run_experiment(name, options.seed)
    return _build_report(cells, violations_by_proof)


def _build_report(cells: list[Cell], violations_by_proof: dict[Proof, list[str]]) -> Report:
    report = Report()
    failed = frozenset(proof for proof, violations in violations_by_proof.items() if violations)
    violations = [violation for each in violations_by_proof.values() for violation in each]
    report.figures |= dict(count_states(cells, failed))
    kinds = Counter(type(proof).__name__.lower() for proof in violations_by_proof)
    report.figures |= {f"proofs_{kind}": count for kind, count in kinds.items()}
    report.figures["violations"] = violations
    report.expect(not violations, "0 violations")
    report.expect(not report.figures["failed"], "0 cells failed")
    return report


async def _run_tests(ids: list[str]) -> dict[str, str]:
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", TESTS_MODULE, *ids, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    return msgspec.json.decode(output.splitlines()[-1], type=dict[str, str]) if output else {}


async def _run_experiment(name: str, seed: int) -> list[str]:
    module_name, seconds = EXPERIMENT_MODULES[name]
    module = importlib.import_module(f"magnoliarouter.standins.bench.{module_name}")
    experiment = next(each for each in module.experiments() if each.name == name)
    report = await experiment.run(Namespace(seed=seed, seconds=seconds, minutes=1.0))
    violations = [f"{name}: missed: {target}" for target in report.missed]
    if not_run_count := report.figures.get("cases_not_run"):
        violations.append(f"{name}: {not_run_count} cases were not run")
    return violations


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    summary = "every fault at every step of each procedure, with counts of cells and violations"
    return [Experiment("matrix", summary, _run)]
