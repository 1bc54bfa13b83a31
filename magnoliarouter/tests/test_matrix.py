from __future__ import annotations

import asyncio
import importlib
import io
import unittest
from pathlib import Path

from magnoliarouter.standins.bench.matrix import (
    EXPERIMENT_MODULES,
    count_states,
    list_cells,
    list_proofs,
)
from magnoliarouter.standins.bench.matrixcells import (
    FAULTS,
    Bench,
    Cell,
    Excluded,
    Open,
    Procedure,
    Proved,
    Scene,
    UnitTest,
    cover,
    exclude,
    expand,
)
from magnoliarouter.standins.bench.matrixpage import render_page
from magnoliarouter.standins.bench.matrixscenes import SCENES, run_scene
from magnoliarouter.standins.bench.matrixtests import run_tests

PAGE = Path(__file__).parents[2] / "docs" / "FAULTS.md"
QUICK_SCENES = (
    "entry-leaves-platform-cut-off",
    "guard-killed-mid-stream",
    "guards-restarted-unnoticed",
)


class MatrixTest(unittest.TestCase):
    def setUp(self):
        self.cells = list_cells()
        self.proofs = list_proofs(self.cells)

    def test_page_is_current(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_page())

    def test_every_cell_has_an_outcome_with_proof_or_a_reason(self):
        for cell in self.cells:
            match cell.state:
                case Proved(outcome, proofs):
                    self.assertTrue(outcome and proofs, cell)
                case Excluded(reason) | Open(reason):
                    self.assertGreater(len(reason), 10, cell)
        cell_keys = {(cell.procedure, cell.step, cell.fault) for cell in self.cells}
        self.assertEqual(len(cell_keys), len(self.cells))

    def test_every_proof_exists(self):
        for proof in self.proofs:
            match proof:
                case UnitTest():
                    suite = unittest.defaultTestLoader.loadTestsFromName(proof.id)
                    self.assertNotIn("_FailedTest", repr(suite), proof.name)
                    self.assertEqual(suite.countTestCases(), 1)
                case Scene(name):
                    self.assertIn(name, SCENES)
                case Bench(name):
                    module_name, _ = EXPERIMENT_MODULES[name]
                    module = importlib.import_module(f"magnoliarouter.standins.bench.{module_name}")
                    self.assertIn(name, [each.name for each in module.experiments()])

    def test_every_scene_proves_a_cell(self):
        named = {proof.name for proof in self.proofs if isinstance(proof, Scene)}
        self.assertEqual(named, set(SCENES))

    def test_failed_proof_fails_its_cells(self):
        proof = Scene("s")
        cells = [
            Cell("p", "a", "k-kill", Proved("o", (proof,))),
            Cell("p", "a", "k-pause", Proved("o", (Scene("other"),))),
            Cell("p", "a", "k-term", Open()),
        ]
        counts = count_states(cells, frozenset([proof]))
        self.assertEqual((counts["failed"], counts["proved"], counts["open"]), (1, 1, 1))

    def test_rules_are_expanded_and_checked(self):
        rules = (exclude("*", "e-*", "no endpoint"), cover("a", "e-late", "x", Scene("s")))
        cells = expand(Procedure("p", ("a", "b"), rules))
        self.assertEqual(len(cells), 2 * len(FAULTS))
        states = {(cell.step, cell.fault): type(cell.state) for cell in cells}
        self.assertIs(states["a", "e-late"], Proved)
        self.assertIs(states["b", "e-late"], Excluded)
        self.assertIs(states["a", "k-kill"], Open)
        with self.assertRaisesRegex(ValueError, "unknown steps"):
            expand(Procedure("p", ("a",), (exclude("c", "e-late", "x"),)))
        with self.assertRaisesRegex(ValueError, "unknown fault 'z'"):
            exclude("a", "z", "x")

    def test_failed_test_is_reported_by_its_id(self):
        name = "magnoliarouter.tests.test_matrix.Missing.test_none"
        report = io.StringIO()
        self.assertEqual(set(run_tests([name], report).values()), {"failed"})
        self.assertIn("Missing", report.getvalue())


class SceneTest(unittest.IsolatedAsyncioTestCase):
    async def test_quick_scenes(self):
        violations = await asyncio.gather(*(run_scene(name) for name in QUICK_SCENES))
        self.assertEqual(violations, [[]] * len(QUICK_SCENES))
