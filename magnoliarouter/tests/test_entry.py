from __future__ import annotations

import unittest
from types import SimpleNamespace

from magnoliarouter.core.outcome import Completed, NotRun, ResultCode, Unknown
from magnoliarouter.daemon.entry import EntryDaemon
from magnoliarouter.daemon.settings import EntrySettings
from magnoliarouter.pipeline.call import ApplicationCall, Call
from magnoliarouter.pipeline.meter import Meter
from magnoliarouter.tests.builders import build_contract, build_limits

SETTINGS = EntrySettings(
    name="entry-1", zone="zone-1", platform="http://127.0.0.1:1", peer_key="0123456789abcdef"
)


def build_once_call() -> Call:
    work = ApplicationCall("tanks", "k1", repeatable=False)
    contract, limits = build_contract(), build_limits()
    return Call("r1", contract, limits, "POST", "/release", "text/plain", b"", 9.0, work)


class ChargeTest(unittest.IsolatedAsyncioTestCase):
    """A call that may run only once counts against its contract unless it provably did not run."""

    async def forward(self, outcome) -> bool:
        async def run(call):
            return SimpleNamespace(outcome=outcome, endpoint="", headers={}, status=200, body=b"")

        async def send(status, body, headers):
            return None

        daemon = EntryDaemon(SETTINGS)
        daemon._once = SimpleNamespace(run=run)
        meter = Meter(lambda: 0.0, 0.0, *[None] * 3)
        await daemon._forward(SimpleNamespace(send=send), build_once_call(), meter)
        return meter.ran

    async def test_completed_call_is_charged(self):
        self.assertTrue(await self.forward(Completed(ResultCode.OK, 200)))

    async def test_call_of_unknown_outcome_is_charged(self):
        self.assertTrue(await self.forward(Unknown(ResultCode.OUTCOME_UNKNOWN, "lost")))

    async def test_refused_call_is_not_charged(self):
        self.assertFalse(await self.forward(NotRun(ResultCode.PLATFORM_UNAVAILABLE, "down")))
