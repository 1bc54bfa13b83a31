from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.tests.prompt_soak import Faults, play_with_restart
from magnoliarouter.tests.request_soak import RequestSite

SECONDS = 6.0


class RequestSoakTest(unittest.TestCase):
    def test_request_that_crashes_applications_is_not_sent_on(self):
        log = asyncio.run(RequestSite(1, SECONDS).run())
        self.assertEqual(log.violations, [])
        seen = f"{dict(log.counts)}; the run stalled for {log.stalled_s:.2f} s"
        self.assertGreater(log.counts["good 200"], 100, seen)
        self.assertGreater(log.counts["bad 503"] + log.counts["bad 502"], 20)

    def test_request_that_crashes_applications_is_known_after_restarts_of_all_daemons(self):
        log = asyncio.run(play_with_restart(RequestSite(3, SECONDS)))
        self.assertEqual(log.violations, [])

    def test_request_that_crashes_applications_is_known_to_daemons_that_share_no_datagram(self):
        log = asyncio.run(RequestSite(4, SECONDS, Faults(lost_datagrams=1.0)).run())
        self.assertEqual(log.violations, [])

    def test_request_that_crashes_many_applications_at_once_is_not_sent_on(self):
        log = asyncio.run(RequestSite(5, SECONDS, Faults(burst=3)).run())
        self.assertEqual(log.violations, [])

    def test_polls_are_served_though_engines_crash_for_other_reasons(self):
        site = RequestSite(2, SECONDS, Faults(crash_interval_s=0.4), bad_interval_s=1e6)
        log = asyncio.run(site.run())
        self.assertEqual(log.violations, [])
        self.assertGreater(log.counts["good 200"], 100)


if __name__ == "__main__":
    unittest.main()
