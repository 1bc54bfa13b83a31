from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliarouter.core.prefixes import CacheChange, CacheLog, PrefixIndex, hash_head


class PrefixIndexTest(unittest.TestCase):
    def test_gap_empties_the_index(self):
        index = PrefixIndex()
        index.apply(CacheChange(0, 1, stored=(11,)))
        self.assertTrue(index.holds(11, 0.0))
        self.assertTrue(index.apply(CacheChange(2, 3)))
        self.assertFalse(index.holds(11, 0.0))
        self.assertTrue(index.is_unverified)

    def test_index_is_rebuilt_from_later_events(self):
        index = PrefixIndex()
        index.apply(CacheChange(4, 5, stored=(11,)))
        self.assertTrue(index.holds(11, 0.0))
        self.assertFalse(index.is_unverified)

    def test_repeated_change_has_no_effect(self):
        index = PrefixIndex()
        index.apply(CacheChange(0, 2, stored=(11,)))
        index.apply(CacheChange(2, 3, removed=(11,)))
        self.assertFalse(index.apply(CacheChange(0, 2, stored=(11,))))
        self.assertFalse(index.holds(11, 0.0))

    def test_expectation_ends_by_time_or_by_removal(self):
        index = PrefixIndex()
        index.expect_block(11, 0.0)
        index.expect_block(12, 0.0)
        index.apply(CacheChange(0, 1, removed=(11,)))
        self.assertEqual([index.holds(block, 9.9) for block in (11, 12)], [False, True])
        self.assertFalse(index.holds(12, 10.0))

    def test_capacity(self):
        index = PrefixIndex(capacity=2)
        index.apply(CacheChange(0, 1, stored=(1, 2, 3)))
        self.assertEqual([index.holds(block, 0.0) for block in (1, 2, 3)], [False, True, True])

    def test_head_ignores_what_follows(self):
        head = "system prompt " * 20
        self.assertEqual(hash_head((head + "one")[:256]), hash_head((head + "two")[:256]))
        self.assertIsNone(hash_head("short"))


class CacheLogTest(unittest.TestCase):
    def test_follower_behind_the_log_detects_the_gap(self):
        log = CacheLog(capacity=2)
        for number in range(1, 5):
            log.append(CacheChange(number - 1, number, stored=(number,)))
        index = PrefixIndex()
        index.apply(CacheChange(0, 1, stored=(1,)))
        self.assertTrue(index.apply(log.read(1)))
        self.assertEqual(
            [index.holds(block, 0.0) for block in (1, 2, 3, 4)], [False, False, True, True]
        )

    @settings(derandomize=True, deadline=None, max_examples=60, database=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.booleans()), max_size=40))
    def test_index_never_holds_what_was_removed(self, steps):
        # Each step stores or removes a block; some events are lost before they reach the log.
        held, log, index = set(), CacheLog(capacity=4), PrefixIndex()
        for number, (block, is_stored, is_lost) in enumerate(steps, start=1):
            (held.add if is_stored else held.discard)(block)
            if is_lost:
                continue
            stored, removed = ((block,), ()) if is_stored else ((), (block,))
            log.append(CacheChange(number - 1, number, stored, removed))
            if number % 3 == 0 and (change := log.read(index.last)) is not None:
                index.apply(change)
                self.assertLessEqual({b for b in range(6) if index.holds(b, 0.0)}, held)
