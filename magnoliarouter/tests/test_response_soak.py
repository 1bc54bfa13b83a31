from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.tests.response_soak import SoakSite

SEEDS = (1, 2, 3)
SECONDS = 5.0


class ResponseSoakTest(unittest.TestCase):
    def test_no_promise_is_broken_however_endpoints_respond(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                log = asyncio.run(SoakSite(seed, SECONDS).run())
                self.assertEqual(log.violations, [])
                self.assertGreater(log.counts["/s/ 200"], 50)


if __name__ == "__main__":
    unittest.main()
