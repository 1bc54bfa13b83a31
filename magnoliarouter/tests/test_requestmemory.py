from __future__ import annotations

import random
import socket
import unittest

from magnoliarouter.tests.test_ingress import IngressCase
from magnoliarouter.web.limits import ServerLimits
from magnoliarouter.web.requestmemory import (
    SMALL_REQUEST_BYTES,
    RequestHold,
    RequestMemory,
    weigh_body,
)

LARGE = 2 * SMALL_REQUEST_BYTES
LIMIT = 10 * LARGE
BODY_BYTES = LARGE


class RequestMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = RequestMemory(LIMIT)
        self.refused = []

    def open(self, size):
        def give_up():
            self.refused.append(hold)
            hold.release()

        hold = RequestHold(self.memory, give_up)
        hold.resize(size)
        return hold

    def test_large_request_without_progress_for_longest_is_given_up(self):
        first, second, *others = [self.open(LARGE) for _ in range(7)]
        first.resize(LARGE + 1)
        self.open(LARGE)
        self.assertEqual(self.refused, [second])
        for hold in (first, *others):
            hold.release()

    def test_small_requests_find_room_beside_large_ones(self):
        for _ in range(100):
            self.open(LARGE)
        self.refused.clear()
        for _ in range(10):
            self.open(SMALL_REQUEST_BYTES // 4)
        self.assertEqual(self.refused, [])

    def test_requests_in_progress_are_not_given_up(self):
        running = [self.open(LARGE) for _ in range(7)]
        for hold in running:
            hold.settle()
        self.assertFalse(self.memory.has_room(LARGE))
        late = self.open(LARGE)
        self.assertEqual(self.refused, [late])
        running[0].release()
        self.assertTrue(self.memory.has_room(LARGE))
        self.open(LARGE)
        self.assertEqual(self.refused, [late])

    def test_request_that_is_alone_fits(self):
        self.assertTrue(self.memory.has_room(2 * LIMIT))
        self.open(2 * LIMIT)
        self.assertEqual(self.refused, [])

    def test_walk_keeps_the_sums_and_the_limit(self):
        for seed in range(20):
            dice, self.memory, self.refused = random.Random(seed), RequestMemory(LIMIT), []
            holds = []
            for _ in range(500):
                match dice.choice(("open", "grow", "settle", "release")):
                    case "open":
                        holds.append(self.open(dice.randrange(LARGE)))
                    case "grow" if arriving := [hold for hold in holds if not hold.settled]:
                        hold = dice.choice(arriving)
                        hold.resize(hold.size + dice.randrange(LARGE))
                    case "settle" if holds:
                        dice.choice(holds).settle()
                    case "release" if holds:
                        dice.choice(holds).release()
                holds = [hold for hold in holds if hold.size]
                sizes = [hold.size for hold in holds]
                large = [hold.size for hold in holds if hold.is_large]
                self.assertEqual(
                    (self.memory.used, self.memory.used_by_large), (sum(sizes), sum(large))
                )
                arriving = [hold for hold in holds if not hold.settled]
                if self.memory.used > LIMIT:
                    self.assertTrue(not arriving or len(holds) == 1)
                if self.memory.used_by_large > self.memory.large_limit:
                    self.assertTrue(len(large) == 1 or not any(hold.is_large for hold in arriving))


class IngressMemoryTest(IngressCase):
    """Requests of real connections, with room for one large body and some more."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server.limits = ServerLimits(max_body_bytes=BODY_BYTES, idle_timeout_s=5.0)
        self.server.memory = RequestMemory(2 * weigh_body(BODY_BYTES))

    def build_request(self, target=b"/a", missing=0):
        head = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (target, BODY_BYTES)
        return head + b"x" * (BODY_BYTES - missing)

    async def test_stalled_body_gives_way_to_the_next_one(self):
        stalled = await self.connect_and_send(self.build_request(missing=1))
        await self.wait_for(lambda: self.server.memory.used > weigh_body(BODY_BYTES - 1))
        peer = await self.connect_and_send(self.build_request(b"/b"))
        self.assertEqual((await peer.read_message())[1], b"/b")
        response = await stalled.read_all()
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        for part in (b"Retry-After: 0.200\r\n", b"Connection: close\r\n", b'"not_run"'):
            self.assertIn(part, response)
        self.assertEqual([target for _, target, *_ in self.requests], [b"/b"])
        self.assertEqual(self.server.memory.used, 0)

    async def test_body_that_does_not_fit_beside_those_in_progress_is_refused_at_once(self):
        busy = await self.connect_and_send(self.build_request(b"/slow"))
        await self.wait_for(lambda: self.server.active_requests == 1)
        peer = await self.connect_and_send(
            self.build_request().replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")[:200]
        )
        self.assertIn(" 503 ", (await peer.read_message())[0])
        small = await self.connect_and_send(b"GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual((await small.read_message())[1], b"/c")
        self.assertEqual((await busy.read_message())[1], b"/slow")

    async def test_requests_before_one_that_does_not_fit_are_answered(self):
        busy = await self.connect_and_send(self.build_request(b"/slow"))
        await self.wait_for(lambda: self.server.active_requests == 1)
        request = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"
        head = self.build_request()[:100]
        peer = await self.connect_and_send(request % b"slow" + request % b"b" + head)
        bodies = [(await peer.read_message())[1] for _ in range(2)]
        self.assertEqual(bodies, [b"/slow", b"/b"])
        self.assertIn(" 503 ", (await peer.read_message())[0])
        self.assertEqual((await busy.read_message())[1], b"/slow")

    async def test_body_announced_as_too_large_is_refused_before_it_arrives(self):
        peer = await self.connect_and_send(b"POST /a HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n")
        self.assertIn(" 413 ", (await peer.read_message())[0])

    async def test_pipelined_requests_are_refused_after_the_response_in_progress(self):
        peer = await self.connect_and_send(
            b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n" + self.build_request(b"/b", missing=1)
        )
        await self.wait_for(lambda: self.server.memory.used > weigh_body(BODY_BYTES - 1))
        other = await self.connect_and_send(self.build_request(b"/c"))
        self.assertEqual((await other.read_message())[1], b"/c")
        self.assertEqual((await peer.read_message())[1], b"/slow")
        self.assertIn(" 503 ", (await peer.read_message())[0])
        self.assertEqual(await peer.read_all(), b"")

    async def test_requests_before_a_malformed_one_are_answered(self):
        request = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"
        peer = await self.connect_and_send(request % b"slow" + request % b"b" + b"GARBAGE\r\n\r\n")
        self.assertEqual((await peer.read_message())[1], b"/slow")
        self.assertEqual((await peer.read_message())[1], b"/b")
        self.assertIn(" 400 ", (await peer.read_message())[0])

    async def test_caller_that_has_just_closed_its_connection_harms_no_other(self):
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        self.addCleanup(sock.close)
        sock.sendall(self.build_request(missing=1))
        await self.wait_for(lambda: self.server.memory.used > weigh_body(BODY_BYTES - 1))
        sock.close()
        # The loop does not run in between, so that the server has not read the close.
        other = RequestHold(self.server.memory, lambda: None)
        other.resize(weigh_body(BODY_BYTES))
        self.assertEqual(self.server.memory.used, other.size)
        await self.wait_for(lambda: not self.server.connections)

    async def test_memory_is_returned_after_a_request_for_another_protocol(self):
        peer = await self.connect_and_send(b"GET / HTTP/1.1\r\nUpgrade: a\r\n")
        await self.wait_for(lambda: self.server.memory.used)
        await peer.send(b"Connection: upgrade\r\n\r\n")
        self.assertIn(b"HTTP/1.1 400 ", await peer.read_all())
        self.assertEqual(self.server.memory.used, 0)

    async def test_memory_is_returned_when_callers_leave(self):
        peers = [
            await self.connect_and_send(data)
            for data in (
                self.build_request(missing=1),
                b"GET /slow5 HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\nGET /",
            )
        ]
        await self.wait_for(lambda: self.server.active_requests == 1)
        for peer in peers:
            peer.close()
        await self.wait_for(lambda: not self.server.connections)
        await self.wait_for(lambda: self.server.memory.used == 0)


if __name__ == "__main__":
    unittest.main()
