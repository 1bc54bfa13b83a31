from __future__ import annotations

import unittest
from pathlib import Path

import magnoliarouter
from magnoliarouter.standins.bench.sizing import (
    Plan,
    read_figures,
    render_tables,
    replace_tables,
)

DOCS = Path(magnoliarouter.__file__).parent.parent / "docs"


class SizingTest(unittest.TestCase):
    def test_page_quotes_the_written_figures(self):
        page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
        tables = render_tables(read_figures(DOCS / "figures"), Plan())
        self.assertEqual(replace_tables(page, tables), page)

    def test_tables_follow_the_plan(self):
        figures = read_figures(DOCS / "figures")
        small = render_tables(figures, Plan(daemons=9, requests_per_s=9.0))
        self.assertIn("| 1.0 and", small)
        self.assertIn("| 14.5 and 3421 |", render_tables(figures, Plan()))
