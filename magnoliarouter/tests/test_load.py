from __future__ import annotations

import unittest

from magnoliarouter.core.load import EndpointLoad, LoadReport
from magnoliarouter.core.outliers import EjectionPolicy, OutlierDetector
from magnoliarouter.core.retries import RetryBudget


class EndpointLoadTest(unittest.TestCase):
    def test_own_requests_are_not_counted_twice(self):
        load = EndpointLoad(own_requests=3)
        load.apply_report(LoadReport(5, 8, 8), 10.0)
        self.assertEqual(load.estimate(10.0), 5.0)

    def test_stale_report_fades_to_own_requests(self):
        load = EndpointLoad(own_requests=1)
        load.apply_report(LoadReport(9, 8, 8), 10.0)
        self.assertEqual(load.estimate(15.0), 5.0)
        self.assertAlmostEqual(load.estimate(200.0), 1.0, places=6)

    def test_confirmation_keeps_a_report_fresh(self):
        load = EndpointLoad()
        load.apply_report(LoadReport(4, 8, 8), 10.0)
        load.confirm(15.0)
        self.assertEqual(load.estimate(15.0), 4.0)

    def test_late_report_is_compared_with_own_requests_of_its_time(self):
        load = EndpointLoad()
        for moment in (1.0, 2.0):
            load.record_start(moment)
        load.record_end(6.0)
        load.apply_report(LoadReport(5, 8, 8, age=5.0), 2.0)
        self.assertEqual(load.other_requests, 3.0)
        self.assertEqual(load.estimate(7.0), 2.5)

    def test_confirmation_of_a_late_report_keeps_its_age(self):
        load = EndpointLoad()
        load.apply_report(LoadReport(4, 8, 8, age=5.0), 5.0)
        load.confirm(20.0)
        self.assertEqual(load.estimate(20.0), 2.0)

    def test_older_report_is_ignored(self):
        load = EndpointLoad()
        load.apply_report(LoadReport(4, 8, 8), 10.0)
        self.assertFalse(load.apply_report(LoadReport(0, 8, 8), 9.0))
        self.assertEqual(load.estimate(10.0), 4.0)


class OutliersTest(unittest.TestCase):
    def test_failures_in_a_row_eject_and_time_restores(self):
        outliers = OutlierDetector(EjectionPolicy(failures=2, base_ejection_seconds=1.0))
        self.assertFalse(outliers.record_failure("a", 0.0))
        self.assertTrue(outliers.record_failure("a", 0.0))
        self.assertEqual(outliers.select_usable(["a", "b"], 0.5), {"b"})
        self.assertEqual(outliers.select_usable(["a", "b"], 1.0), {"a", "b"})

    def test_failed_connection_ejects_at_once_and_longer_each_time(self):
        outliers = OutlierDetector()
        self.assertTrue(outliers.record_failure("a", 0.0, immediate=True))
        self.assertTrue(outliers.record_failure("a", 1.0, immediate=True))
        self.assertTrue(outliers.is_ejected("a", 2.9))
        self.assertFalse(outliers.is_ejected("a", 3.0))

    def test_never_ejects_below_the_floor(self):
        outliers = OutlierDetector()
        names = ["a", "b", "c"]
        for moment, name in enumerate(names):
            outliers.record_failure(name, moment / 10, immediate=True)
        self.assertEqual(outliers.select_usable(names, 0.3), {"a", "b"})
        self.assertEqual(outliers.select_usable(["c"], 0.3), {"c"})

    def test_success_ends_the_ejection(self):
        outliers = OutlierDetector()
        outliers.record_failure("a", 0.0, immediate=True)
        outliers.record_success("a")
        self.assertFalse(outliers.is_ejected("a", 0.1))


class RetryBudgetTest(unittest.TestCase):
    def test_is_exhausted_at_a_share_of_successes(self):
        budget = RetryBudget(share=0.1, floor=0)
        for _ in range(25):
            budget.record_success(0.0)
        self.assertEqual([budget.acquire(0.0) for _ in range(3)], [True, True, False])

    def test_old_successes_do_not_count(self):
        budget = RetryBudget(share=1.0, floor=0, window=10.0)
        budget.record_success(0.0)
        self.assertFalse(budget.acquire(10.0))

    def test_floor_refills_with_the_window(self):
        budget = RetryBudget(floor=1)
        self.assertTrue(budget.acquire(0.0))
        self.assertFalse(budget.acquire(9.0))
        self.assertTrue(budget.acquire(10.0))
