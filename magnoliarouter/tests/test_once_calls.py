from __future__ import annotations

import asyncio
import contextlib
import unittest

from magnoliarouter.core.claimsteps import Answered, ClaimState, Stored, StoreDown
from magnoliarouter.core.outcome import Completed, ResultCode
from magnoliarouter.core.placement import Chosen
from magnoliarouter.pipeline.call import ApplicationCall
from magnoliarouter.pipeline.identify import hash_key, identify
from magnoliarouter.pipeline.once import (
    RECORD_TIMEOUT_S,
    SHUTDOWN_RECORD_TIMEOUT_S,
    AtMostOnceCalls,
)
from magnoliarouter.store.objects import EndpointSpec, ServiceSpec
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.builders import build_contract, build_request
from magnoliarouter.tests.claim_model import RESPONSE
from magnoliarouter.tests.clock import advance, run_paused, settle

SPEC = EndpointSpec("tanks-1", "zone-1", "127.0.0.1:1", "i1")


class FakePlacement:
    def place(self, call, tried):
        return Chosen(SPEC.name, 0.0) if SPEC.name not in tried else None

    def find(self, name):
        return SPEC

    @contextlib.contextmanager
    def track(self, spec, call):
        yield


class FakeGuards:
    def __init__(self):
        self.sent = 0
        self.release = asyncio.Event()

    async def find_start_deadline(self, spec):
        return 60.0

    async def send(self, call, target):
        self.sent += 1
        await self.release.wait()
        return Answered(RESPONSE)


class FakeClaims:
    """Claim store; `slow` (seconds) and `down` affect only the writes of outcomes."""

    def __init__(self, slow=0.0, down=False):
        self.slow, self.down = slow, down
        self.stored = []

    async def write(self, step):
        if step.claim.state is ClaimState.FINISHED:
            await asyncio.sleep(self.slow)
            if self.down:
                return StoreDown()
        self.stored.append(step.claim.state)
        return Stored(len(self.stored))


def build_call():
    request = build_request("/services/tanks/release", idempotency_key="k1")
    services = {"tanks": ServiceSpec("tanks", ("POST /release",))}
    call = identify(request, {hash_key("grower"): build_contract()}, services, 1000.0, 30.0)
    assert isinstance(call.work, ApplicationCall)
    return call


class OnceCallsTest(unittest.TestCase):
    def open(self, **faults):
        claims, guards = FakeClaims(**faults), FakeGuards()
        clock = asyncio.get_running_loop().time
        calls = AtMostOnceCalls(claims, guards, FakePlacement(), clock, Metrics())
        return calls, claims, guards

    def test_slow_store_does_not_delay_the_response(self):
        async def main():
            calls, claims, guards = self.open(slow=3.0)
            guards.release.set()
            reply = asyncio.create_task(calls.run(build_call()))
            await advance(RECORD_TIMEOUT_S + 0.1)
            self.assertEqual(reply.result().outcome, Completed(ResultCode.OK, 200))
            self.assertEqual(claims.stored, [ClaimState.CLAIMED])
            await advance(10.0)
            self.assertEqual(claims.stored, [ClaimState.CLAIMED, ClaimState.FINISHED])

        run_paused(main())

    def test_call_continues_when_its_caller_is_cancelled(self):
        async def main():
            calls, claims, guards = self.open()
            caller = asyncio.create_task(calls.run(build_call()))
            await settle()
            caller.cancel()
            idle = asyncio.create_task(calls.wait_until_idle())
            await settle()
            self.assertTrue(caller.cancelled())
            self.assertFalse(idle.done())
            guards.release.set()
            await settle()
            self.assertTrue(idle.done())
            self.assertEqual(claims.stored, [ClaimState.CLAIMED, ClaimState.FINISHED])
            self.assertEqual(guards.sent, 1)

        run_paused(main())

    def test_shutdown_waits_a_limited_time_for_a_store_that_is_down(self):
        async def main():
            calls, _, guards = self.open(down=True)
            guards.release.set()
            reply = await calls.run(build_call())
            self.assertIsInstance(reply.outcome, Completed)
            idle = asyncio.create_task(calls.wait_until_idle())
            await advance(SHUTDOWN_RECORD_TIMEOUT_S - 0.1)
            self.assertFalse(idle.done())
            await advance(0.2)
            self.assertTrue(idle.done())

        run_paused(main())
