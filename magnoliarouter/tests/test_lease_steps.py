from __future__ import annotations

import unittest

from magnoliarouter.core.lease import Lease
from magnoliarouter.tests.lease_model import DURATION_S, MARGIN_S, create_model, find_violation


class TermFromResponse(Lease):
    """Faulty rule: the term starts at the response instead of before the request."""

    __slots__ = ()

    def confirm(self, write, version, now):
        record, _ = self._sent[write]
        self._sent[write] = (record, now)
        super().confirm(write, version, now)


class AcceptsAnyRecord(Lease):
    """Faulty rule: any record found after a lost response counts as its own."""

    __slots__ = ()

    def observe(self, version, record, now, lagging=False):
        if record is not None and self._sent and record.write not in self._sent:
            write, (_, sent_at) = next(iter(self._sent.items()))
            self._sent[record.write] = (record, sent_at)
        super().observe(version, record, now, lagging)


class EarlyCandidate(Lease):
    """Faulty rule: a candidate takes the lease over before the term of the holder has ended."""

    __slots__ = ()

    def _expiry_time(self):
        return super()._expiry_time() - DURATION_S


class HoldsPastExpiry(Lease):
    """Faulty rule: the lease counts as held for a duration beyond its term without a renewal."""

    __slots__ = ()

    def held_epoch(self, now):
        return self._epoch or None if now < self._held_until + DURATION_S else None


class EveryOrderTest(unittest.TestCase):
    """Searches every order of arrival, loss and delay of the reads and writes of two processes."""

    def search(self, kind=Lease, faults=0, ticks=3):
        state = create_model(lambda name: kind(name, DURATION_S, MARGIN_S), faults, ticks)
        return find_violation(state)

    def test_single_holder_without_faults(self):
        violation, states, epochs = self.search(ticks=3)
        self.assertIsNone(violation)
        self.assertGreater(states, 10_000)
        self.assertGreater(epochs, 3)

    def test_single_holder_with_a_fault(self):
        violation, states, epochs = self.search(faults=1, ticks=2)
        self.assertIsNone(violation)
        self.assertGreater(states, 10_000)
        self.assertGreater(epochs, 2)

    def test_wrong_rules_are_caught(self):
        for rule in (TermFromResponse, AcceptsAnyRecord, EarlyCandidate, HoldsPastExpiry):
            with self.subTest(rule.__name__):
                self.assertIsNotNone(self.search(rule, faults=1)[0])
