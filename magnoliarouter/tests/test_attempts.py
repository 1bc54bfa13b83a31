from __future__ import annotations

import unittest

from magnoliarouter.core.attempts import AttemptState, AttemptTable, StartVerdict


class AttemptTableTest(unittest.TestCase):
    def setUp(self):
        self.table = AttemptTable("one", max_attempts=2, retention=10.0)

    def test_attempt_starts_once(self):
        self.assertIs(self.table.start("a", "one", 0.0), StartVerdict.START)
        self.assertIs(self.table.start("a", "one", 0.0), StartVerdict.ALREADY_STARTED)

    def test_fenced_attempt_never_starts(self):
        self.assertIs(self.table.fence("a", 0.0, 60.0), AttemptState.FENCED)
        self.assertIs(self.table.start("a", "one", 1.0), StartVerdict.FENCED)

    def test_fence_after_start_tells_that_it_runs(self):
        self.table.start("a", "one", 0.0)
        self.assertIs(self.table.fence("a", 1.0, 60.0), AttemptState.RUNNING)

    def test_other_incarnation_is_refused(self):
        self.assertIs(self.table.start("a", "two", 0.0), StartVerdict.WRONG_INCARNATION)

    def test_full_table_refuses_instead_of_forgetting(self):
        self.table.start("a", "one", 0.0)
        self.table.start("b", "one", 0.0)
        self.assertIs(self.table.start("c", "one", 0.0), StartVerdict.TABLE_FULL)
        self.table.finish("a", 1.0)
        self.table.finish("b", 1.0)
        self.assertIs(self.table.start("c", "one", 12.0), StartVerdict.START)
