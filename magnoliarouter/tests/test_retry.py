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
RESPONSE = EndpointResponse(200, "a1", {}, None)
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

        async def deliver(response):
            return next(deliveries)

        clock = clock or (lambda: 1000.0)
        forwarder = Forwarder(self.placement, None, clock, self.metrics, budget)
        with mock.patch("magnoliarouter.pipeline.retry.open_attempt", open_attempt):
            return await forwarder.forward(call or build_call(), deliver, lambda: started)

    async def test_refused_attempt_is_retried_elsewhere(self):
        result = await self.forward(DRAINING, RESPONSE)
        self.assertEqual((result.outcome, result.responded), (DONE, True))
        self.assertEqual(len(set(self.sent)), 2)
        self.assertEqual(self.metrics.retries.labels("draining")._value.get(), 1)

    async def test_refused_everywhere_is_not_run(self):
        result = await self.forward(FULL, FULL, FULL)
        self.assertEqual((result.outcome, result.responded), (FULL, False))

    async def test_unknown_outcome_is_never_reported_as_not_run(self):
        result = await self.forward(BROKEN, DRAINING, DRAINING)
        self.assertEqual((result.outcome, result.responded), (BROKEN, False))

    async def test_call_that_may_run_once_is_not_repeated(self):
        result = await self.forward(BROKEN, RESPONSE, call=build_call(ONCE))
        self.assertEqual((result.outcome, len(self.sent)), (BROKEN, 1))

    async def test_call_that_may_run_once_is_retried_after_proof_of_not_run(self):
        result = await self.forward(DRAINING, RESPONSE, call=build_call(ONCE))
        self.assertEqual(result.outcome, DONE)

    async def test_exhausted_budget_ends_the_retries(self):
        result = await self.forward(BROKEN, RESPONSE, budget=RetryBudget(floor=0))
        self.assertEqual((result.outcome, len(self.sent)), (BROKEN, 1))
        self.assertEqual(self.metrics.retries_refused.labels("endpoint_error")._value.get(), 1)

    async def test_nothing_is_retried_after_bytes_reached_the_caller(self):
        truncated = Unknown(ResultCode.STREAM_TRUNCATED, "cut")
        result = await self.forward(RESPONSE, RESPONSE, delivery=truncated)
        self.assertEqual((result.outcome, result.responded, len(self.sent)), (truncated, True, 1))

    async def test_response_truncated_before_any_byte_was_sent_is_retried_elsewhere(self):
        truncated = Unknown(ResultCode.STREAM_TRUNCATED, "cut")
        result = await self.forward(RESPONSE, RESPONSE, delivery=[truncated, DONE], started=False)
        self.assertEqual((result.outcome, len(set(self.sent))), (DONE, 2))

    async def test_nothing_is_retried_for_a_disconnected_caller(self):
        gone = Unknown(ResultCode.CALLER_GONE, "gone")
        result = await self.forward(RESPONSE, RESPONSE, delivery=gone, started=False)
        self.assertEqual((result.responded, len(self.sent)), (True, 1))

    async def is_ejected_after(self, *outcomes, status=200, clock=None):
        response = EndpointResponse(status, "a1", {}, None)
        self.placement = build_placement("a")
        for outcome in outcomes:
            step = response if isinstance(outcome, Completed) else outcome
            await self.forward(step, budget=RetryBudget(floor=0), delivery=outcome, clock=clock)
        return self.placement.outliers.is_ejected("a", 1000.0)

    async def test_short_deadlines_do_not_eject(self):
        self.assertFalse(await self.is_ejected_after(LATE, LATE, LATE))

    async def test_hanging_endpoint_is_ejected(self):
        times = itertools.count(900.0, 10.0)
        await self.is_ejected_after(LATE, LATE, LATE, clock=lambda: next(times))
        self.assertEqual(self.metrics.ejections._value.get(), 1)

    async def test_only_unhealthy_statuses_eject(self):
        self.assertFalse(await self.is_ejected_after(DONE, DONE, DONE, status=500))
        self.assertTrue(await self.is_ejected_after(DONE, DONE, DONE, status=503))

    async def test_failed_connection_ejects_at_once(self):
        await self.forward(UNREACHABLE, RESPONSE)
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

    def test_prefix_just_sent_counts_as_cached_until_a_gap(self):
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
