from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.tests.crowd_soak import play

SECONDS = 5.0


class CrowdSoakTest(unittest.TestCase):
    def test_crowds_that_overlap_break_no_promise(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                summary, violations = asyncio.run(play(seed, SECONDS))
                self.assertEqual(violations, [], summary)


if __name__ == "__main__":
    unittest.main()
