from __future__ import annotations

import random
import unittest
from unittest.mock import patch

from magnoliarouter.gateway.peerloads import PEER_LOAD_EXPIRY_S, PeerLoadSums


class PeerLoadSumsTest(unittest.TestCase):
    def test_sums_equal_the_plain_sum_of_reports_that_have_not_expired(self):
        for seed in range(20):
            rng, sums, reports, now = random.Random(seed), PeerLoadSums(), {}, 0.0
            names = [f"e{number}" for number in range(8)]
            for _ in range(400):
                now += rng.choice((0.0, 0.003, 0.1, 0.9))
                peer = f"front-{rng.randrange(6)}"
                loads = {name: rng.randrange(4) for name in rng.sample(names, rng.randrange(8))}
                sums.apply(peer, loads, now)
                reports[peer] = now, loads
                now += rng.choice((0.0, 0.001, 0.2, PEER_LOAD_EXPIRY_S))
                current = [one for at, one in reports.values() if now - at < PEER_LOAD_EXPIRY_S]
                for name in names:
                    plain = sum(one.get(name, 0) for one in current)
                    self.assertEqual(sums.load_of(name, now), plain, (seed, name, now))
                self.assertEqual(sums.count_reporting(now), len(current))

    def test_a_report_counts_until_its_expiry_and_not_from_then_on(self):
        sums = PeerLoadSums()
        sums.apply("front-1", {"e1": 2}, 0.0)
        self.assertEqual(sums.load_of("e1", PEER_LOAD_EXPIRY_S - 0.001), 2)
        self.assertEqual(sums.load_of("e1", PEER_LOAD_EXPIRY_S), 0)

    def test_impossible_loads_are_logged_once_and_the_last_good_ones_stand(self):
        sums = PeerLoadSums()
        sums.apply("front-1", {"e1": 2}, 0.0)
        with patch("magnoliarouter.gateway.peerloads.log_event") as log:
            for value in (-1, 2**60):
                sums.apply("front-1", {"e1": value, "e2": 1}, 0.1)
        log.assert_called_once()
        self.assertEqual((sums.load_of("e1", 0.2), sums.load_of("e2", 0.2)), (2, 0))


if __name__ == "__main__":
    unittest.main()
