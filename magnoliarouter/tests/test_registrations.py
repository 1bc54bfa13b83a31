from __future__ import annotations

import unittest

from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.registrations import RegistrationOrder, RegistrationStatus
from magnoliarouter.platform.registry import decode_entry
from magnoliarouter.store.validation import ValidationFailure
from magnoliarouter.tests.clock import wait_until
from magnoliarouter.tests.test_gateway import GatewayCase

CURRENT, OUTDATED = RegistrationStatus.CURRENT, RegistrationStatus.OUTDATED
UNORDERED = RegistrationStatus.UNORDERED
BORN = 1_700_000_000_000
ENTRY = {
    "service": "app", "address": "127.0.0.1:80", "zone": "z", "version": "v1", "slots": 6,
    "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": BORN,
}  # fmt: skip


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.order = RegistrationOrder(max_remembered=2)

    def record(self, started_ms, sequence, name="e1"):
        endpoint = Endpoint(
            name, "app", "127.0.0.1:80", "z", 6, started_ms=started_ms, sequence=sequence
        )
        return self.order.record(endpoint)

    def test_registrations_of_one_start_are_ordered_by_their_number(self):
        results = [self.record(BORN, sequence) for sequence in (4, 4, 9, 6, 9, 10)]
        self.assertEqual(results, [CURRENT, CURRENT, CURRENT, OUTDATED, CURRENT, CURRENT])

    def test_later_start_counts_anew(self):
        self.record(BORN, 90)
        results = [self.record(BORN + 5, 1), self.record(BORN, 91), self.record(BORN + 5, 2)]
        self.assertEqual(results, [CURRENT, OUTDATED, CURRENT])

    def test_removed_endpoint_is_not_registered_again_by_what_it_sent_before(self):
        self.record(BORN, 9)
        self.order.record_removal("e1")
        results = [self.record(BORN, sequence) for sequence in (8, 9, 10, 9)]
        self.assertEqual(results, [OUTDATED, OUTDATED, CURRENT, OUTDATED])

    def test_registration_without_order_is_taken_only_from_endpoints_that_give_none(self):
        results = [self.record(0, None), self.record(0, 3), self.record(BORN, 3)]
        self.assertEqual(results, [CURRENT, CURRENT, CURRENT])
        results = [self.record(0, 4), self.record(BORN, None), self.record(BORN, 4)]
        self.assertEqual(results, [UNORDERED, UNORDERED, CURRENT])

    def test_memory_of_removed_endpoints_is_bounded(self):
        for number in range(50):
            self.record(BORN, 9, f"e{number}")
            self.order.record_removal(f"e{number}")
        self.assertEqual(
            (self.record(BORN, 1, "e49"), self.record(BORN, 1, "e1")), (OUTDATED, CURRENT)
        )


class EntryTest(unittest.TestCase):
    def decode(self, **changes):
        return decode_entry(
            changes.pop("name", "e1"), {**ENTRY, **changes}, lambda: BORN / 1000 + 10
        )

    def test_entry_that_would_hold_back_the_next_ones_is_refused(self):
        self.assertEqual(self.decode().sequence, 4)
        self.assertEqual(self.decode(born=BORN + 20_000).started_ms, BORN + 20_000)
        for changes in (
            {"sequence": 10**6}, {"sequence": -1}, {"sequence": 10**30}, {"sequence": "5"},
            {"born": BORN + 10**6}, {"born": 10**30}, {"born": -5},
        ):  # fmt: skip
            with self.subTest(changes=changes), self.assertRaises(ValidationFailure) as raised:
                self.decode(**changes)
            self.assertIn(next(iter(changes)), str(raised.exception))

    def test_entry_that_names_no_endpoint_is_refused(self):
        for changes in (
            {"address": "127.0.0.1:65536"}, {"address": "127.0.0.1:0"}, {"address": "127.0.0.1:-1"},
            {"address": "127.0.0.1:" + "9" * 5000}, {"address": "127.0.0.1:\u0661"},
            {"address": "app.example:80"}, {"address": "999.0.0.1:80"}, {"address": ":80"},
            {"slots": 10**30}, {"slots": 0}, {"name": "e\u00fc"}, {"name": "e\r\n"},
        ):  # fmt: skip
            with self.subTest(changes=changes), self.assertRaises(ValidationFailure) as raised:
                self.decode(**changes)
            self.assertIn(next(iter(changes)), str(raised.exception))


class DaemonTest(GatewayCase):
    async def start_with_engine(self, **changes):
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.write(daemon, born=BORN, sequence=5)
        return daemon

    async def write(self, daemon, **changes):
        await self.store.put("servers", "e1", self.engine.build_entry(**changes))
        await wait_until(lambda: daemon.endpoint_feed.version == self.store.store.version)

    async def test_engine_stays_draining_when_an_older_registration_is_executed_late(self):
        """Guards against requests to an engine that leaves, after a late write of its registration."""
        daemon = await self.start_with_engine()
        await self.write(daemon, state="draining", born=BORN, sequence=9)
        for late in ({"sequence": 6}, {"born": BORN - 5000, "sequence": 70}):
            await self.write(daemon, **{"born": BORN, **late})
            self.assertTrue(daemon.table.find("e1").draining)
        self.assertEqual((await self.send_request(daemon))[0], 503)
        await self.write(daemon, state="draining", born=BORN, sequence=10)
        self.assertTrue(daemon.table.find("e1").draining)

    async def test_late_registration_does_not_bring_back_a_removed_engine(self):
        daemon = await self.start_with_engine()
        await self.store.put("servers", "e1", None)
        await wait_until(lambda: daemon.table.find("e1") is None)
        await self.write(daemon, born=BORN, sequence=4)
        self.assertIsNone(daemon.table.find("e1"))
        await self.write(daemon, born=BORN, sequence=6)
        self.assertIsNotNone(daemon.table.find("e1"))

    async def test_late_registration_of_an_earlier_start_changes_no_address(self):
        daemon = await self.start_with_engine()
        await self.write(daemon, born=BORN + 5000, sequence=1)
        await self.write(daemon, born=BORN, sequence=80, address="127.0.0.1:9")
        self.assertEqual(daemon.table.find("e1").address, self.engine.server.address)
        self.assertEqual((await self.send_request(daemon))[0], 200)

    async def test_entry_of_another_writer_does_not_hold_back_the_engine(self):
        daemon = await self.start_with_engine()
        for odd in ({"sequence": 10**15}, {"born": 10**15}, {"sequence": None}, {"born": 0}):
            await self.write(daemon, **{"born": BORN, "sequence": 6, **odd})
            self.assertIsNone(daemon.table.find("e1"))
            await self.write(daemon, state="draining", born=BORN, sequence=7)
            self.assertTrue(daemon.table.find("e1").draining)


if __name__ == "__main__":
    unittest.main()
