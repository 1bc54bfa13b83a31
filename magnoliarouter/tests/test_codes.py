from __future__ import annotations

import unittest
from pathlib import Path

import magnoliarouter
from magnoliarouter.core.codes import DESCRIPTIONS, render_codes, status_of
from magnoliarouter.core.outcome import ResultCode

PAGE = Path(magnoliarouter.__file__).parent.parent / "docs" / "RESULT_CODES.md"


class CodesTest(unittest.TestCase):
    def test_every_code_is_described(self):
        self.assertEqual(set(DESCRIPTIONS), set(ResultCode))

    def test_page_matches_the_generated_text(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_codes())

    def test_status_of_exceeded_limit_is_too_many_requests(self):
        self.assertEqual(status_of(ResultCode.REQUEST_RATE), 429)
