from __future__ import annotations

import base64
import unittest
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliarouter.core.expertmap import ExpertMap, ExpertMapError, count_moves, spread_evenly

HOLDERS = st.sets(st.integers(0, 3), min_size=1).map(lambda ranks: tuple(sorted(ranks)))
ROWS = st.lists(st.tuples(HOLDERS, HOLDERS, HOLDERS), max_size=4).map(tuple)


class ExpertMapTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=50, database=None)
    @given(ROWS)
    def test_encoding_round_trip(self, layers):
        built = ExpertMap(4, layers)
        self.assertEqual(ExpertMap.decode(built.encode()), built)

    def test_full_size_is_compact(self):
        self.assertLess(len(spread_evenly(32, 60, 64).encode()), 20_000)

    def test_rank_outside_group_is_named(self):
        with self.assertRaisesRegex(ExpertMapError, r"layer 0 expert 1: holders \(2,\).*0 to 1"):
            ExpertMap(2, (((0,), (2,)),))

    def test_expert_without_rank(self):
        with self.assertRaisesRegex(ExpertMapError, "one or more ranks"):
            ExpertMap(2, (((),),))

    def test_malformed_text_is_refused(self):
        short, truncated = (
            base64.b64encode(zlib.compress(b"\2")).decode(),
            base64.b64encode(zlib.compress(b"\2\0\1\0\1dd\0")).decode(),
        )
        oversized = base64.b64encode(zlib.compress(bytes(1 << 22))).decode()
        whole = base64.b64encode(zlib.compress(b"\2\0\1\0\1dd\0\xff")).decode()
        self.assertEqual(ExpertMap.decode(whole), ExpertMap(2, (((0,),),)))
        for text in ("%%", "AA==", short, truncated, oversized, whole[:-8]):
            with self.subTest(text=text), self.assertRaises(ExpertMapError):
                ExpertMap.decode(text)

    def test_moves_count_fetched_experts(self):
        old = ExpertMap(3, (((0,), (1,)),))
        self.assertEqual(count_moves(old, ExpertMap(3, (((0, 2), (0,)),))), 2)
        self.assertEqual(count_moves(old, old), 0)
