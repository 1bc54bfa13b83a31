from __future__ import annotations

import pkgutil
import subprocess
import sys
import unittest

from magnoliarouter import examples
from magnoliarouter.pages import FILLED_PAGES, fill_page, list_metrics, run_example

EXPECTED_LINES = {
    "claim_once": ["tank 3 is full - ran", "tank 3 is full - replayed", "runs: 1"],
    "forward_only": [
        "5 red -> red",
        "3 green -> red",
        "7 blue -> red {'door': \"version 7: color is 'blue'; valid are 'red' and 'green'\"}",
        "8 None -> None",
        "6 red -> None",
    ],
    "lease_handover": ["at 1 s: 1 None", "at 9 s: None None", "at 10 s: None 2"],
    "map_switch": ["maps used: [1, 2]", "one map in every step: True", "in force: new map"],
    "prefix_placement": [
        "stays: True",
        "leaves when full: True",
        "all full: NoCapacity(retry_after=0.25)",
    ],
}
HEAVY_LIBRARIES = {"aiohttp", "circuits", "cleo", "eliot", "grpc", "prometheus_client"}


class ExamplesTest(unittest.TestCase):
    def test_examples_print_their_results(self):
        for name, lines in EXPECTED_LINES.items():
            with self.subTest(name):
                printed = run_example(name).splitlines()
                self.assertEqual([line.strip() for line in printed], lines)

    def test_quota_is_used_and_not_exceeded(self):
        shares, admissions, verdict = run_example("quota_share").splitlines()
        admitted = int(admissions.rpartition(" ")[2])
        self.assertEqual(verdict, "within burst and rate: True")
        self.assertEqual(shares, "shares: 0.75 0.25")
        self.assertGreaterEqual(admitted, 0.95 * 10 * 10)

    def test_every_example_is_tested_and_documented(self):
        names = {info.name for info in pkgutil.iter_modules(examples.__path__)}
        self.assertEqual(names, {*EXPECTED_LINES, "quota_share"})
        page = FILLED_PAGES[0].read_text(encoding="utf-8")
        self.assertEqual({name for name in names if f"<!-- source {name} -->" in page}, names)

    def test_pages_are_current(self):
        for page in FILLED_PAGES:
            with self.subTest(page.name):
                text = page.read_text(encoding="utf-8")
                self.assertEqual(text, fill_page(text), "run: python -m magnoliarouter.pages")

    def test_metrics_have_names_and_descriptions(self):
        descriptions = {name: description for name, _, description in list_metrics()}
        self.assertIn("magnoliarouter_configuration_age_seconds{kind}", descriptions)
        self.assertEqual(descriptions["magnoliarouter_retries_total{code}"], "Retries by cause")

    def test_core_and_store_load_no_heavy_library(self):
        code = "import magnoliarouter.core, magnoliarouter.store, sys; print(*sys.modules)"
        command = [sys.executable, "-c", code]
        modules = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
        self.assertIn("magnoliarouter.core.lease", modules)
        self.assertEqual({module.partition(".")[0] for module in modules} & HEAVY_LIBRARIES, set())
