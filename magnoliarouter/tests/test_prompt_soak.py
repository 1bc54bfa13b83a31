from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.tests.prompt_soak import Faults, PromptSite, play_with_restart

SECONDS = 6.0


class PromptSoakTest(unittest.TestCase):
    def test_prompt_part_that_crashes_engines_is_not_sent_on(self):
        log = asyncio.run(PromptSite(1, SECONDS).run())
        self.assertEqual(log.violations, [])
        self.assertGreater(log.counts["good 200"], 100)
        self.assertGreater(log.counts["bad 503"] + log.counts["bad 502"], 50)

    def test_prompt_part_that_crashes_engines_is_known_after_restarts_of_all_daemons(self):
        log = asyncio.run(play_with_restart(PromptSite(2, SECONDS)))
        self.assertEqual(log.violations, [])

    def test_prompt_part_that_crashes_engines_is_known_to_daemons_that_share_no_datagram(self):
        log = asyncio.run(PromptSite(3, SECONDS, Faults(lost_datagrams=1.0)).run())
        self.assertEqual(log.violations, [])

    def test_prompt_part_that_crashes_many_engines_at_once_is_not_sent_on(self):
        log = asyncio.run(PromptSite(4, SECONDS, Faults(burst=3)).run())
        self.assertEqual(log.violations, [])


if __name__ == "__main__":
    unittest.main()
