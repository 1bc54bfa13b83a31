from __future__ import annotations

import unittest

from magnoliarouter.core.division import divide_contract, divide_permits

ZONES = ("zone-1", "zone-2", "zone-3")


class DivisionTest(unittest.TestCase):
    def test_shares_add_up_to_the_contract(self):
        for count in range(1, 8):
            parts = divide_contract("grower", [f"zone-{index}" for index in range(count)])
            self.assertEqual(len(parts), 2 * count)
            self.assertAlmostEqual(sum(part.share for part in parts), 1.0)

    def test_order_of_the_zones_does_not_matter(self):
        self.assertEqual(divide_contract("grower", ZONES), divide_contract("grower", ZONES[::-1]))

    def test_customers_spread_over_slots(self):
        firsts = {divide_contract(f"customer-{index}", ZONES)[0].slot for index in range(100)}
        self.assertEqual(len(firsts), 6)

    def test_permits_add_up_and_grow_everywhere(self):
        parts = divide_contract("grower", ZONES)
        previous = divide_permits(0, parts)
        for permits in range(1, 60):
            divided = divide_permits(permits, parts)
            self.assertEqual(sum(divided.values()), permits)
            self.assertTrue(all(divided[slot] >= previous[slot] for slot in divided))
            previous = divided
