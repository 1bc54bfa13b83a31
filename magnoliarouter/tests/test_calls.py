from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from magnoliarouter.core.outcome import Completed, NotRun, ResultCode, Unknown
from magnoliarouter.daemon.calls import CallHandler, PipelineStages
from magnoliarouter.pipeline.call import ApplicationCall, Call
from magnoliarouter.pipeline.identify import hash_key
from magnoliarouter.pipeline.meter import TokenMeter
from magnoliarouter.store.objects import ServiceSpec
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.builders import build_contract, build_limits, build_request


def build_once_call() -> Call:
    work = ApplicationCall("tanks", "k1", repeatable=False)
    contract, limits = build_contract(), build_limits()
    return Call("r1", contract, limits, "POST", "/release", "text/plain", b"", 9.0, work)


class ContractUsageTest(unittest.IsolatedAsyncioTestCase):
    """A call that may run only once is charged to its contract unless it provably did not run."""

    async def forward(self, outcome) -> bool:
        async def run(call):
            return SimpleNamespace(outcome=outcome, endpoint="", headers={}, status=200, body=b"")

        async def send(status, body, headers):
            return None

        stages = PipelineStages(None, {}, None, None, None, SimpleNamespace(run=run))
        handler = CallHandler(stages, 9.0, lambda: 0.0, Metrics(), lambda: True)
        meter = TokenMeter(lambda: 0.0, 0.0, *[None] * 3)
        await handler._forward(SimpleNamespace(send=send), build_once_call(), meter)
        return meter.may_have_run

    async def test_completed_call_is_charged(self):
        self.assertTrue(await self.forward(Completed(ResultCode.OK, 200)))

    async def test_call_of_unknown_outcome_is_charged(self):
        self.assertTrue(await self.forward(Unknown(ResultCode.OUTCOME_UNKNOWN, "lost")))

    async def test_refused_call_is_not_charged(self):
        self.assertFalse(await self.forward(NotRun(ResultCode.PLATFORM_UNAVAILABLE, "down")))

    async def test_disconnected_caller_is_counted(self):
        async def admit(call):
            return SimpleNamespace(settle=lambda tokens: None, cancel=lambda: None)

        async def run(call):
            raise asyncio.CancelledError

        metrics = Metrics()
        admission, once = SimpleNamespace(admit=admit), SimpleNamespace(run=run)
        keys = SimpleNamespace(by_key={hash_key("grower"): build_contract()})
        services = {"tanks": ServiceSpec("tanks", ("POST /release",))}
        stages = PipelineStages(keys, services, admission, None, None, once)
        handler = CallHandler(stages, 9.0, lambda: 0.0, metrics, lambda: True)
        request = build_request("/services/tanks/release", idempotency_key="k1")
        with self.assertRaises(asyncio.CancelledError):
            await handler.serve(SimpleNamespace(request=request, finished=False))
        self.assertIn(b'code="caller_gone",outcome="unknown"} 1.0', metrics.render())
