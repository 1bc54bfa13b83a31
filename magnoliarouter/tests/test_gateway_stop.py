"""Calls that a planned stop of a gateway daemon finds unfinished."""

from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.tests.clock import wait_until
from magnoliarouter.tests.platform_standin import build_configuration
from magnoliarouter.tests.raw_server import RawPeer
from magnoliarouter.tests.test_gateway import GatewayCase

GRACE_S = 3.0


def build_slow_configuration(kind):
    configuration = build_configuration()
    route = configuration["routes"][0]
    route |= {"kind": kind, "timeout_ms": 8000, "target_latency_ms": 2000, "attempts": 1}
    return configuration


class GatewayStopTest(GatewayCase):
    async def start_slow(self, kind="unsafe", slots=6):
        await self.store.put("config", "main", build_slow_configuration(kind))
        await self.store.put("servers", "e1", self.engine.build_entry(slots=slots))
        daemon = await self.start(grace_s=GRACE_S)
        await self.wait_ready(daemon)
        return daemon

    async def send(self, daemon, request_id="r1"):
        peer = await RawPeer.connect(daemon.settings.listen)
        self.addCleanup(peer.close)
        fields = f"Host: h.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 8000\r\n"
        fields += "Authorization: Bearer key-1\r\n"
        await peer.send(f"GET /a/x HTTP/1.1\r\n{fields}\r\n".encode())
        return peer

    async def read_status(self, peer):
        head, _ = await asyncio.wait_for(peer.read_message(), 10.0)
        return int(head.split()[1]), head

    async def test_call_that_its_endpoint_does_not_finish_gets_a_response(self):
        """Guards against a bare close at the end of the grace period."""
        daemon = await self.start_slow()
        self.engine.delay = 20.0
        peer = await self.send(daemon)
        await wait_until(lambda: self.engine.heads)
        loop = asyncio.get_running_loop()
        term_at = loop.time()
        stopping = asyncio.create_task(daemon.stop())
        status, _ = await self.read_status(peer)
        self.assertEqual(status, 504)
        self.assertLess(loop.time() - term_at, GRACE_S)
        await stopping

    async def test_call_that_waits_for_a_place_is_refused_before_it_could_be_cut(self):
        daemon = await self.start_slow(slots=1)
        self.engine.delay = 2.2
        first = await self.send(daemon, "r1")
        await wait_until(lambda: self.engine.heads)
        second = await self.send(daemon, "r2")
        await wait_until(lambda: daemon._queue.list_lengths())
        stopping = asyncio.create_task(daemon.stop())
        status, head = await self.read_status(second)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", head)
        self.assertEqual((await self.read_status(first))[0], 200)
        await stopping
        self.assertEqual(len(self.engine.heads), 1)

    async def test_call_whose_own_time_ends_before_is_served(self):
        daemon = await self.start_slow()
        self.engine.delay = 0.4
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.1)
        await self.store.put("config", "main", build_configuration(2))
        await wait_until(lambda: daemon.config.version == 2)
        status, _ = await self.read_status(await self.send(daemon))
        self.assertEqual(status, 200)
        await stopping

    async def test_calls_of_all_moments_of_the_grace_period_get_a_response(self):
        """Each caller gets a whole response, and an order that is refused has not run."""
        daemon = await self.start_slow(slots=2)
        self.engine.delay = 0.7
        kept = [await RawPeer.connect(daemon.settings.listen) for _ in range(12)]
        stopping = asyncio.create_task(daemon.stop())
        tasks = []
        for number, peer in enumerate(kept):
            self.addCleanup(peer.close)
            fields = f"Host: h.example\r\nX-Request-Id: r{number}\r\nX-Deadline-Ms: 8000\r\n"
            fields += "Authorization: Bearer key-1\r\n"
            await peer.send(f"GET /a/x HTTP/1.1\r\n{fields}\r\n".encode())
            tasks.append(asyncio.create_task(self.read_status(peer)))
            await asyncio.sleep(0.03)
        results = await asyncio.gather(*tasks)
        await stopping
        started = {head.split("X-Request-Id: ")[1].split("\r\n")[0] for head in self.engine.heads}
        for number, (status, _) in enumerate(results):
            self.assertIn(status, (200, 503, 504))
            if status == 503:
                self.assertNotIn(f"r{number}", started)


if __name__ == "__main__":
    unittest.main()
