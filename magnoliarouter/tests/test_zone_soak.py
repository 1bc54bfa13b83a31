from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.tests.prompt_soak import Faults
from magnoliarouter.tests.zone_soak import ZoneSite

SECONDS = 8.0


class ZoneSoakTest(unittest.TestCase):
    def test_evacuated_and_cold_engines_are_spared(self):
        log = asyncio.run(ZoneSite(1, SECONDS).run())
        self.assertEqual(log.violations, [])
        self.assertGreater(log.counts["good 200"], 100)

    def test_evacuated_and_cold_engines_are_spared_by_daemons_that_restart(self):
        faults = Faults(crash_interval_s=0.7, restart_interval_s=1.5, lost_datagrams=0.1)
        log = asyncio.run(ZoneSite(2, SECONDS, faults).run())
        self.assertEqual(log.violations, [])
        self.assertGreater(log.counts["good 200"], 100)


if __name__ == "__main__":
    unittest.main()
