from __future__ import annotations

import itertools
import unittest
from contextlib import asynccontextmanager
from unittest import mock

from magnoliarouter.core.cache import VersionedCache
from magnoliarouter.core.load import LoadReport
from magnoliarouter.core.outcome import Completed, NotRun, ResultCode, Unknown
from magnoliarouter.core.placement import Chosen, NoEndpoint
from magnoliarouter.core.prefixes import CacheChange, hash_head
from magnoliarouter.core.retries import RetryBudget
from magnoliarouter.pipeline.call import ApplicationCall, ModelCall
from magnoliarouter.pipeline.dispatch import EndpointResponse
from magnoliarouter.pipeline.place import Placement
from magnoliarouter.pipeline.retry import Forwarder
from magnoliarouter.store.objects import VmSpec
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.builders import build_call, build_endpoint

DRAINING = NotRun(ResultCode.DRAINING, "draining")
UNREACHABLE = NotRun(ResultCode.ENDPOINT_UNREACHABLE, "no connection")
FULL = NotRun(ResultCode.QUEUE_FULL, "full")
LATE = Unknown(ResultCode.DEADLINE_EXCEEDED, "late")
BROKEN = Unknown(ResultCode.ENDPOINT_ERROR, "reset")
ANSWER = EndpointResponse(200, "a1", {}, None)
DONE = Completed(ResultCode.OK, 200)
ONCE = ApplicationCall("tanks", "k1", repeatable=False)


def build_placement(*names: str, vms: VersionedCache | None = None) -> Placement:
    endpoints = VersionedCache()
    for name in names:
        endpoints.apply(name, 1, build_endpoint(name))
    return Placement("zone-1", endpoints, lambda: 1000.0, vms=vms)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.placement = build_placement("a", "b", "c")
        self.metrics = Metrics()
        self.sent = []

    async def forward(
        self, *outcomes, call=None, budget=None, delivery=DONE, started=True, clock=None
    ):
        script = iter(outcomes)

        @asynccontextmanager
        async def open_attempt(session, endpoint, call, now, on_headers):
            self.sent.append(endpoint.name)
            yield next(script)

        deliveries = iter(delivery if isinstance(delivery, list) else [delivery] * 9)

        async def deliver(answer):
            return next(deliveries)

        clock = clock or (lambda: 1000.0)
        forwarder = Forwarder(self.placement, None, clock, self.metrics, budget)
        with mock.patch("magnoliarouter.pipeline.retry.open_attempt", open_attempt):
            return await forwarder.forward(call or build_call(), deliver, lambda: started)

    async def test_refused_attempt_goes_elsewhere(self):
        end = await self.forward(DRAINING, ANSWER)
        self.assertEqual((end.outcome, end.responded), (DONE, True))
        self.assertEqual(len(set(self.sent)), 2)
        self.assertEqual(self.metrics.retries.labels("draining")._value.get(), 1)

    async def test_refused_everywhere_is_not_run(self):
        end = await self.forward(FULL, FULL, FULL)
        self.assertEqual((end.outcome, end.responded), (FULL, False))

    async def test_unknown_once_is_never_reported_as_not_run(self):
        end = await self.forward(BROKEN, DRAINING, DRAINING)
        self.assertEqual((end.outcome, end.responded), (BROKEN, False))

    async def test_call_that_may_run_once_is_not_repeated(self):
        end = await self.forward(BROKEN, ANSWER, call=build_call(ONCE))
        self.assertEqual((end.outcome, len(self.sent)), (BROKEN, 1))

    async def test_call_that_may_run_once_moves_on_after_proof(self):
        end = await self.forward(DRAINING, ANSWER, call=build_call(ONCE))
        self.assertEqual(end.outcome, DONE)

    async def test_exhausted_budget_ends_the_retries(self):
        end = await self.forward(BROKEN, ANSWER, budget=RetryBudget(floor=0))
        self.assertEqual((end.outcome, len(self.sent)), (BROKEN, 1))
        self.assertEqual(self.metrics.retries_refused.labels("endpoint_error")._value.get(), 1)

    async def test_nothing_is_retried_after_bytes_reached_the_caller(self):
        truncated = Unknown(ResultCode.STREAM_TRUNCATED, "cut")
        end = await self.forward(ANSWER, ANSWER, delivery=truncated)
        self.assertEqual((end.outcome, end.responded, len(self.sent)), (truncated, True, 1))

    async def test_answer_cut_before_any_byte_was_sent_is_tried_elsewhere(self):
        truncated = Unknown(ResultCode.STREAM_TRUNCATED, "cut")
        end = await self.forward(ANSWER, ANSWER, delivery=[truncated, DONE], started=False)
        self.assertEqual((end.outcome, len(set(self.sent))), (DONE, 2))

    async def test_nothing_is_retried_for_a_caller_that_went_away(self):
        gone = Unknown(ResultCode.CALLER_GONE, "gone")
        end = await self.forward(ANSWER, ANSWER, delivery=gone, started=False)
        self.assertEqual((end.responded, len(self.sent)), (True, 1))

    async def eject_by(self, *outcomes, status=200, clock=None):
        answer = EndpointResponse(status, "a1", {}, None)
        self.placement = build_placement("a")
        for outcome in outcomes:
            step = answer if isinstance(outcome, Completed) else outcome
            await self.forward(step, budget=RetryBudget(floor=0), delivery=outcome, clock=clock)
        return self.placement.outliers.is_ejected("a", 1000.0)

    async def test_short_deadlines_do_not_eject(self):
        self.assertFalse(await self.eject_by(LATE, LATE, LATE))

    async def test_hanging_endpoint_is_ejected(self):
        times = itertools.count(900.0, 10.0)
        await self.eject_by(LATE, LATE, LATE, clock=lambda: next(times))
        self.assertEqual(self.metrics.ejections._value.get(), 1)

    async def test_only_statuses_of_bad_health_eject(self):
        self.assertFalse(await self.eject_by(DONE, DONE, DONE, status=500))
        self.assertTrue(await self.eject_by(DONE, DONE, DONE, status=503))

    async def test_failed_connection_ejects_at_once(self):
        await self.forward(UNREACHABLE, ANSWER)
        self.assertTrue(self.placement.outliers.is_ejected(self.sent[0], 1000.0))
        self.assertEqual(self.metrics.ejections._value.get(), 1)


class PlacementTest(unittest.TestCase):
    def place(self, placement):
        return placement.place(build_call())

    def test_leaving_vm_gets_no_new_work(self):
        vms = VersionedCache()
        address = build_endpoint("a").address
        vms.apply("vm-a", 1, VmSpec("vm-a", "zone-1", "endpoint", address, leaving=True))
        self.assertEqual(self.place(build_placement("a", vms=vms)), NoEndpoint())

    def test_draining_report_counts_for_its_incarnation_only(self):
        placement = build_placement("a")
        placement.set_incarnation("a", "i1")
        placement.apply_report("a", LoadReport(0, 8, 8, draining=True), 999.0)
        self.assertEqual(self.place(placement), NoEndpoint())
        placement.set_incarnation("a", "i2")
        self.assertIsInstance(self.place(placement), Chosen)

    def test_gap_in_cache_events_makes_the_prefix_cold(self):
        prefix = "x" * 256
        call = build_call(ModelCall("draft", False, prefix, 64, 80))
        placement = build_placement("a")
        placement.apply_cache_change("a", CacheChange(0, 1, stored=(hash_head(prefix),)))
        self.assertTrue(placement.place(call).warm)
        self.assertTrue(placement.apply_cache_change("a", CacheChange(5, 6)))
        self.assertFalse(placement.place(call).warm)

    def test_prefix_just_sent_is_expected_until_a_gap(self):
        call = build_call(ModelCall("draft", False, "x" * 256, 64, 80))
        placement = build_placement("a")
        with placement.track(placement.find("a"), call):
            self.assertTrue(placement.place(call).warm)
        placement.apply_cache_change("a", CacheChange(5, 6))
        self.assertFalse(placement.place(call).warm)

    def test_new_incarnation_starts_cold(self):
        prefix = "x" * 256
        call = build_call(ModelCall("draft", False, prefix, 64, 80))
        placement = build_placement("a")
        placement.set_incarnation("a", "i1")
        placement.apply_cache_change("a", CacheChange(0, 1, stored=(hash_head(prefix),)))
        placement.set_incarnation("a", "i2")
        self.assertFalse(placement.place(call).warm)

    def test_own_requests_count_before_any_report(self):
        placement = build_placement("a", "b")
        first = self.place(placement).name
        with placement.track(placement.find(first), build_call()):
            self.assertNotEqual(self.place(placement).name, first)
        self.assertEqual(self.place(placement).name, first)
