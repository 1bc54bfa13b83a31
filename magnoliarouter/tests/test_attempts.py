from __future__ import annotations

import unittest

from magnoliarouter.core.attempts import AttemptState, AttemptTable, StartVerdict, StoredResponse


class AttemptTableTest(unittest.TestCase):
    def setUp(self):
        self.table = AttemptTable("one", max_attempts=2, retention_s=10.0)

    def test_attempt_starts_once(self):
        self.assertIs(self.table.start("a", "one", 0.0), StartVerdict.START)
        self.assertIs(self.table.start("a", "one", 0.0), StartVerdict.ALREADY_STARTED)

    def test_fenced_attempt_never_starts(self):
        self.assertIs(self.table.fence("a", 0.0, 60.0), AttemptState.FENCED)
        self.assertIs(self.table.start("a", "one", 1.0), StartVerdict.FENCED)

    def test_fence_after_start_reports_running(self):
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

    def test_last_start_time_bounds_which_attempts_may_be_forgotten(self):
        table = AttemptTable("one", once_retention_s=100.0)
        verdict = table.start("a", "one", 0.0, not_after=61.0)
        self.assertIs(verdict, StartVerdict.CLOCK_AHEAD)
        self.assertIs(table.start("a", "one", 5.0, not_after=61.0), StartVerdict.FENCED)
        self.assertIs(table.start("b", "one", 5.0, not_after=65.0), StartVerdict.START)
        table.finish("b", 5.0)
        self.assertIs(table.fence("b", 104.0, 65.0), AttemptState.FINISHED)
        self.assertIs(table.fence("b", 105.0, 65.0), AttemptState.FORGOTTEN)
        self.assertIs(table.start("b", "one", 105.0, not_after=65.0), StartVerdict.EXPIRED)

    def test_unrecorded_refusal_is_no_proof(self):
        table = AttemptTable("one", max_attempts=8)
        for number in range(8):
            table.start(str(number), "one", 0.0)
        self.assertIs(table.start("8", "one", 0.0), StartVerdict.TABLE_FULL)
        self.assertIs(table.start("9", "one", 0.0), StartVerdict.UNRECORDED)
        self.assertIsNone(table.fence("9", 0.0, 60.0))

    def test_old_bodies_are_evicted_and_their_digests_kept(self):
        table = AttemptTable("one", max_response_bytes=5)
        for name in "abc":
            table.start(name, "one", 0.0, 60.0)
            table.finish(name, 0.0, StoredResponse(200, "text/plain", name, 2, b"ok"))
        self.assertEqual(table.response_bytes, 4)
        bodies = [table.find_response(name).body for name in "abc"]
        self.assertEqual(bodies, [None, b"ok", b"ok"])
        self.assertEqual(table.find_response("a").digest, "a")
