from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from magnoliarouter.core.framing import Framing
from magnoliarouter.core.outcome import Completed, NotRun, ResultCode, Unknown
from magnoliarouter.core.retries import SharedRetryBudget
from magnoliarouter.gateway.attempt import ANSWERED_EVENTS, SILENCE_TIMEOUT_S, CallProgress
from magnoliarouter.gateway.call import GatewayCall
from magnoliarouter.gateway.crashwatch import CrashWatch
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.forward import GatewayForwarder
from magnoliarouter.gateway.groupwatch import GroupWatch
from magnoliarouter.gateway.pauses import EventGapMeter
from magnoliarouter.gateway.quarantine import Quarantine
from magnoliarouter.gateway.ranks import Hold
from magnoliarouter.gateway.routes import Route, RouteKind
from magnoliarouter.gateway.waiting import WaitQueue
from magnoliarouter.gateway.zonewatch import ZoneWatch
from magnoliarouter.platform.headers import PlatformHeaders
from magnoliarouter.platform.ranks import PlatformRanks
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.builders import build_rank_report
from magnoliarouter.tests.clock import SocketTimeCase, stall
from magnoliarouter.tests.raw_server import RawServer, build_response
from magnoliarouter.web.memory import Reservation
from magnoliarouter.web.upstream import CONNECT_TIMEOUT_S, UpstreamPool

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 7)]
STREAM = "text/event-stream"


def build_route(kind=RouteKind.SAFE, attempts=2, timeout_s=2.0, resumable=False):
    return Route(
        "r", "h", "/", kind, (("app", 1.0),), timeout_s, 0.2, 1, attempts, False, resumable, 0.1
    )


def build_gateway_call(route, request_id=b"r1", fingerprint="", **fields):
    headers = [(b"X-Request-Id", request_id), (b"Host", b"h"), (b"X-Deadline-Ms", b"2000")]
    headers += [(name.encode(), value) for name, value in fields.items()]
    now = asyncio.get_running_loop().time()
    return GatewayCall(
        PlatformHeaders().parse_request(headers),
        b"POST",
        b"/p//%20?q",
        b"body",
        route,
        "app",
        "tenant-1",
        1,
        now,
        now + route.timeout_s,
        1,
        fingerprint,
    )


class FakeExchange:
    """Exchange that records the response sent to the caller."""

    def __init__(self):
        self.started = self.finished = self.caller_gone = self.aborted = False
        self.status = 0
        self.body = b""
        self.fields = []
        self.reservation = Reservation()

    async def send(self, status, fields, body):
        self.started = self.finished = True
        self.status, self.fields, self.body = status, fields, body

    def start(self, status, fields, data):
        self.started = True
        self.status, self.fields, self.body = status, fields, data

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = self.finished = True


class FakeRanks:
    """Ranks whose reports are in `reports` by address; counts the reads."""

    def __init__(self):
        self.reports = {}
        self.read_count = 0

    async def read_report(self, address):
        self.read_count += 1
        return self.reports.get(address)


class ForwardCase(SocketTimeCase):
    async def asyncSetUp(self):
        self.clock = asyncio.get_running_loop().time
        self.table = EndpointTable("zone-1")
        self.pool = UpstreamPool(self.clock)
        self.addCleanup(self.pool.close)
        self.metrics = Metrics()
        self.budget = SharedRetryBudget(0.2, 100, 10.0)
        self.waiting = WaitQueue(self.table, self.clock)
        self.ranks = FakeRanks()
        self.groups = GroupWatch(self.ranks, self.table.list, self.clock, self.waiting.wake)
        self.zones = ZoneWatch("zone-1", self.pool.can_connect, self.table.list)
        self.table.is_unavailable = lambda endpoint: (
            self.zones.is_unreachable(endpoint.zone) or self.groups.is_stalled(endpoint.identity)
        )
        self.quarantine = Quarantine()
        self.forwarder = GatewayForwarder(
            self.table,
            self.waiting,
            self.pool,
            PlatformHeaders(),
            self.budget,
            self.clock,
            self.metrics,
            self.groups,
            self.zones,
            EventGapMeter(self.clock, self.groups.find_group),
            CrashWatch(self.quarantine, self.pool.is_refused, self.clock),
        )
        self.exchange = FakeExchange()
        self.heads = []

    async def add(self, handle, name="e1", zone="zone-1", slots=6):
        async def record(peer):
            while True:
                head, body = await peer.read_message()
                self.heads.append((name, head, body))
                await handle(peer)

        server = await RawServer(record).start()
        self.addAsyncCleanup(server.stop)
        self.table.put(Endpoint(name, "app", server.address, zone, slots))
        return server

    async def add_two(self, first, second):
        """Add an endpoint that is chosen first, and a second one in another zone."""
        await self.add(first, "e1", "zone-1", slots=100)
        await self.add(second, "e2", "zone-2", slots=1)
        self.table.own_requests["e2"] = 0
        self.table.random.random = lambda: 0.0

    async def forward(self, route, recheck=lambda: None, **fields):
        call = build_gateway_call(route, **fields)
        return await self.forwarder.forward(call, self.exchange, recheck)

    def tried(self):
        return [name for name, *_ in self.heads]


async def respond_ok(peer):
    await peer.send(build_response())


class UnnamedResponseTest(ForwardCase):
    """Guards against an order that runs twice since additional bytes passed for its refusal."""

    async def add_with_additional_bytes(self, additional):
        served = []

        async def handle(peer):
            if served:
                await peer.send(additional)
            served.append(1)
            await peer.send(build_response(b"done"))

        await self.add_two(handle, respond_ok)

    async def test_refusal_without_an_id_proves_nothing_where_responses_have_one(self):
        refusal = build_response(b"", 503, request_id=None, stamp=None, X_Not_Executed="1")
        await self.add_with_additional_bytes(refusal)
        route = build_route(RouteKind.ONCE, 2)
        self.assertIsInstance(await self.forward(route), Completed)
        self.exchange = FakeExchange()
        self.assertIsInstance(await self.forward(route), Unknown)
        self.assertEqual(self.tried(), ["e1", "e1"])
        self.assertEqual(self.pool.opened_connections, 1)

    async def test_response_without_an_id_is_no_response_where_others_have_one(self):
        await self.add_with_additional_bytes(build_response(b"other", request_id=None))
        route = build_route(RouteKind.SAFE, 2)
        self.assertIsInstance(await self.forward(route), Completed)
        self.exchange = FakeExchange()
        self.assertIsInstance(await self.forward(route), Completed)
        self.assertNotEqual(self.exchange.body, b"other")

    async def test_refusal_without_an_id_on_a_new_connection_is_one(self):
        async def refuse(peer):
            await peer.send(
                build_response(b"", 503, request_id=None, stamp=None, X_Not_Executed="1")
            )

        await self.add_two(refuse, respond_ok)
        outcome = await self.forward(build_route(RouteKind.ONCE, 2))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.tried(), ["e1", "e2"])


class ForwardTest(ForwardCase):
    async def test_request_and_response_pass_unchanged(self):
        async def handle(peer):
            await peer.send(build_response(b"\x00\xff", 201, X_Own="a, b", Connection="keep-alive"))

        await self.add(handle)
        fields = {"Authorization": b"Bearer k", "X-Tenant": b"forged", "X-Other": b"o"}
        outcome = await self.forward(build_route(), **fields)
        self.assertEqual(outcome, Completed(ResultCode.OK, 201))
        self.assertEqual((self.exchange.status, self.exchange.body), (201, b"\x00\xff"))
        self.assertIn((b"X-Own", b"a, b"), self.exchange.fields)
        self.assertIn((b"X-Server-Stamp", b"s1"), self.exchange.fields)
        _, head, body = self.heads[0]
        self.assertTrue(head.startswith("POST /p//%20?q HTTP/1.1\r\n"))
        self.assertEqual(body, b"body")
        self.assertIn("X-Other: o", head)
        self.assertIn("X-Tenant: tenant-1", head)
        self.assertIn("X-Expect-Instance: e1", head)
        self.assertIn("X-Request-Id: r1", head)
        for absent in ("Authorization", "forged", "keep-alive"):
            self.assertNotIn(absent, head)
        self.assertNotIn(b"connection", {name.lower() for name, _ in self.exchange.fields})

    async def test_endpoint_whose_address_serves_another_instance_is_avoided(self):
        """The endpoint responds 421 and stays the least loaded, so every call would try it first."""

        async def misdirected(peer):
            await peer.send(build_response(status=421, stamp=None))

        async def succeed(peer):
            await peer.send(build_response())

        await self.add_two(misdirected, succeed)
        for _ in range(3):
            self.exchange = FakeExchange()
            await self.forward(build_route(RouteKind.ONCE, attempts=2))
            await asyncio.sleep(0.2)
        self.assertEqual(self.tried(), ["e1", "e2", "e2", "e2"])

    async def test_once_only_request_is_never_resent_after_an_unknown_outcome(self):
        async def reset(peer):
            peer.reset()

        async def succeed(peer):
            await peer.send(build_response())

        await self.add_two(reset, succeed)
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=3))
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.tried(), ["e1"])

    async def test_once_only_request_is_not_resent_when_its_kept_connection_ends(self):
        """A kept connection may end as a request arrives, whether or not it was read."""

        async def close(peer):
            peer.close()

        async def reset(peer):
            peer.reset()

        async def answer_in_part(peer):
            await peer.send(b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n")
            peer.close()

        async def close_for_writing(peer):
            peer.writer.write_eof()
            await asyncio.sleep(0.1)

        for end in (close, reset, answer_in_part, close_for_writing):
            with self.subTest(end=end.__name__):
                self.heads.clear()

                async def serve_once(peer, end=end):
                    await (respond_ok if len(self.heads) == 1 else end)(peer)

                await self.add_two(serve_once, respond_ok)
                for kind in (Completed, Unknown):
                    self.exchange = FakeExchange()
                    outcome = await self.forward(build_route(RouteKind.ONCE, attempts=3))
                    self.assertIsInstance(outcome, kind)
                self.assertEqual(self.tried(), ["e1", "e1"])
                self.table.outliers.forget(["e1"])

    async def test_refusal_before_a_body_was_read_proves_that_it_did_not_run(self):
        """The rest of the body is no part of a later request: its connection is closed."""

        async def refuse_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(build_response(status=503, X_Not_Executed="1"))

        early = await asyncio.start_server(refuse_early, "127.0.0.1", 0)
        self.addCleanup(early.close)
        await self.add_two(respond_ok, respond_ok)
        host, port = early.sockets[0].getsockname()
        self.table.put(Endpoint("e1", "app", f"{host}:{port}", "zone-1", 100))
        call = replace(build_gateway_call(build_route(RouteKind.ONCE)), body=b"x" * 8_000_000)
        outcome = await self.forwarder.forward(call, self.exchange, lambda: None)
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual([(name, len(body)) for name, _, body in self.heads], [("e2", 8_000_000)])
        self.assertFalse(self.pool._idle.get(f"{host}:{port}"))

    async def test_request_proved_not_run_is_retried_elsewhere_within_attempts(self):
        for marker in ({"status": 503, "X_Not_Executed": "1"}, {"status": 421, "stamp": None}):
            for attempts, outcome in ((2, Completed), (1, NotRun)):
                with self.subTest(marker=marker, attempts=attempts):
                    self.heads.clear()
                    self.exchange = FakeExchange()

                    async def refuse(peer, marker=marker):
                        await peer.send(build_response(**marker))

                    async def succeed(peer):
                        await peer.send(build_response())

                    await self.add_two(refuse, succeed)
                    self.table._penalized_until.clear()
                    self.table.outliers.forget(["e1"])
                    result = await self.forward(build_route(RouteKind.ONCE, attempts))
                    self.assertIsInstance(result, outcome)
                    self.assertEqual(self.tried(), ["e1", "e2"][:attempts])

    async def test_503_without_proof_of_not_run_is_not_relayed(self):
        async def busy(peer):
            await peer.send(build_response(status=503))

        await self.add(busy)
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=1))
        self.assertIsInstance(outcome, Unknown)
        self.assertFalse(self.exchange.started)

    async def test_other_failures_are_relayed_unchanged(self):
        async def fail(peer):
            await peer.send(build_response(b"why", 500))

        await self.add(fail)
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=1))
        self.assertEqual(outcome, Completed(ResultCode.OK, 500))
        self.assertEqual((self.exchange.status, self.exchange.body), (500, b"why"))

    async def test_safe_request_is_retried_after_a_failure(self):
        async def fail(peer):
            await peer.send(build_response(status=500))

        async def succeed(peer):
            await peer.send(build_response())

        await self.add_two(fail, succeed)
        outcome = await self.forward(build_route())
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.tried(), ["e1", "e2"])

    async def test_refusal_after_an_unknown_outcome_is_not_reported_as_not_run(self):
        """After an attempt that may have run, an empty retry budget leaves the outcome unknown."""

        async def reset(peer):
            peer.reset()

        async def succeed(peer):
            await peer.send(build_response())

        await self.add_two(reset, succeed)
        self.budget.slack = self.budget.ratio = 0
        outcome = await self.forward(build_route())
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.tried(), ["e1"])

    async def test_response_to_another_request_is_dropped(self):
        async def handle(peer):
            await peer.send(
                build_response(b"not yours", request_id="r0") + build_response(b"yours")
            )

        await self.add(handle)
        await self.forward(build_route())
        self.assertEqual(self.exchange.body, b"yours")

    async def test_late_copy_of_a_response_to_an_order_is_dropped(self):
        """It has no id, and its status would prove that the request did not run."""
        copy = build_response(status=421, request_id=None, stamp=None)

        async def handle(peer):
            if "/v1/order" in self.heads[-1][1]:
                await peer.send(copy)
            else:
                await peer.send(copy + build_response(b"yours"))

        server = await self.add(handle)
        await PlatformRanks(self.pool).send(server.address, Hold(5), 1, 3, 8)
        outcome = await self.forward(build_route(RouteKind.ONCE))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual((self.exchange.body, server.connections), (b"yours", 1))

    async def test_late_copy_that_comes_slowly_is_dropped(self):
        async def handle(peer):
            copy = build_response(b"x" * 100, request_id="r0")
            await peer.send(copy[:-50])
            await asyncio.sleep(1.3)
            await peer.send(copy[-50:] + build_response(b"yours"))

        await self.add(handle)
        await self.forward(build_route(RouteKind.SAFE, 2, timeout_s=2.0))
        self.assertEqual(self.exchange.body, b"yours")

    async def test_connection_that_owes_a_response_is_not_reused_after_a_late_copy(self):
        async def handle(peer):
            if len(self.heads) == 1:
                await peer.send(build_response(b"not yours", request_id="r0"))
                await asyncio.sleep(0.3)
            await peer.send(build_response(b"yours"))

        server = await self.add(handle)
        outcome = await self.forward(build_route(RouteKind.ONCE, 1, timeout_s=0.1))
        self.assertIsInstance(outcome, Unknown)
        await self.forward(build_route(RouteKind.ONCE))
        self.assertEqual((self.exchange.body, server.connections), (b"yours", 2))

    async def test_success_without_a_server_stamp_is_rejected(self):
        async def handle(peer):
            await peer.send(build_response(stamp=None))

        await self.add(handle)
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=1))
        self.assertEqual(outcome.code, ResultCode.WRONG_ATTEMPT)

    async def test_truncated_response_never_reaches_the_caller(self):
        async def handle(peer):
            await peer.send(build_response(b"long body")[:-3])
            peer.close()

        await self.add(handle)
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=1))
        self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
        self.assertFalse(self.exchange.started)

    async def test_endpoint_receives_the_remaining_time(self):
        async def handle(peer):
            await peer.send(build_response())

        await self.add(handle)
        await self.forward(build_route(timeout_s=0.8))
        line = next(line for line in self.heads[0][1].split("\r\n") if "Deadline" in line)
        self.assertTrue(700 <= int(line.split(":")[1]) <= 800, line)

    async def test_nothing_is_sent_when_the_recheck_refuses(self):
        async def handle(peer):
            await peer.send(build_response())

        await self.add(handle)
        refusal = NotRun(ResultCode.KEY_UNKNOWN, "withdrawn")
        outcome = await self.forward(build_route(), recheck=lambda: refusal)
        self.assertEqual((outcome, self.heads), (refusal, []))

    async def test_key_withdrawn_while_waiting_is_not_sent(self):
        async def handle(peer):
            await peer.send(build_response())

        await self.add(handle, slots=1)
        self.table.start_request("e1")
        recheck_results = [None, NotRun(ResultCode.KEY_UNKNOWN, "withdrawn")]
        task = asyncio.create_task(
            self.forward(build_route(), recheck=lambda: recheck_results.pop(0))
        )
        await asyncio.sleep(0.05)
        self.table.finish_request("e1")
        self.waiting.wake()
        self.assertEqual((await task).code, ResultCode.KEY_UNKNOWN)
        self.assertEqual((self.heads, self.table.own_requests), ([], {}))

    async def test_timeout_of_the_route_ends_the_wait(self):
        async def handle(peer):
            await asyncio.sleep(5)

        await self.add(handle)
        started_at = self.clock()
        outcome = await self.forward(build_route(RouteKind.ONCE, 1, timeout_s=0.2))
        self.assertEqual(outcome.code, ResultCode.DEADLINE_EXCEEDED)
        self.assertLess(self.clock() - started_at, 0.4)

    async def test_nothing_is_sent_when_a_connection_opens_too_late_for_a_response(self):
        connect = self.pool.acquire
        for left_s in (0.01, -0.05):
            with self.subTest(left_s=left_s):

                async def acquire(address, left_s=left_s):
                    connection = await connect(address)
                    stall(0.3 - left_s)
                    return connection

                self.pool.acquire = acquire
                await self.add(respond_ok)
                outcome = await self.forward(build_route(RouteKind.ONCE, 1, timeout_s=0.3))
                self.assertIsInstance(outcome, NotRun)
                self.assertEqual(outcome.code, ResultCode.DEADLINE_EXCEEDED)
                self.assertEqual((self.heads, self.table.own_requests), ([], {}))

    async def test_endpoint_counts_as_reachable_when_the_process_stalled_while_it_connected(self):
        await self.add(respond_ok)
        asyncio.get_running_loop().call_soon(stall, CONNECT_TIMEOUT_S + 0.3)
        outcome = await self.forward(build_route(RouteKind.ONCE, 1))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.metrics.ejections._value.get(), 0.0)

    async def test_wait_for_a_place_leaves_time_for_a_response(self):
        await self.add(respond_ok, slots=1)
        self.table.start_request("e1")
        route = build_route(RouteKind.ONCE, 1, timeout_s=0.3)

        def finish():
            self.table.finish_request("e1")
            self.waiting.wake()

        asyncio.get_running_loop().call_later(0.3 - 0.05 * route.target_latency_s, finish)
        outcome = await self.forward(route)
        self.assertEqual((outcome.code, self.heads), (ResultCode.QUEUE_FULL, []))
        self.assertIsNotNone(outcome.retry_after)

    async def test_response_that_came_while_the_process_stalled_is_relayed(self):
        async def handle(peer):
            await peer.send(build_response())
            stall(0.3)

        await self.add(handle)
        for kind in (RouteKind.ONCE, RouteKind.SAFE):
            with self.subTest(kind=kind):
                self.exchange = FakeExchange()
                outcome = await self.forward(build_route(kind, 2, timeout_s=0.2))
                self.assertEqual(outcome, Completed(ResultCode.OK, 200))
                self.assertEqual(self.exchange.body, b"ok")

    async def test_unreachable_zone_is_avoided_at_once(self):
        """Each further endpoint tried in an unreachable zone would cost a full connection timeout."""

        async def handle(peer):
            await peer.send(build_response())

        # No process listens on these ports.
        for number in range(1, 6):
            self.table.put(Endpoint(f"far{number}", "app", f"127.0.0.1:{number}", "zone-2", 600))
        await self.add(handle, "near", "zone-3", slots=6)
        self.table.own_requests["near"] = 5
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=1))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.metrics.ejections._value.get(), 1.0)

    async def test_call_without_endpoints_is_refused_at_once(self):
        started_at = self.clock()
        outcome = await self.forward(build_route())
        self.assertEqual(outcome.code, ResultCode.NO_ENDPOINT)
        self.assertLess(self.clock() - started_at, 0.05)

    async def test_call_is_refused_while_all_endpoints_are_full(self):
        async def handle(peer):
            await peer.send(build_response())

        await self.add(handle, slots=1)
        self.table.start_request("e1")
        outcome = await self.forward(build_route())
        self.assertEqual(outcome.code, ResultCode.QUEUE_FULL)
        self.assertIsNotNone(outcome.retry_after)

    async def crash_first(self):
        """Add an endpoint that is chosen first and crashes on a request, and a sound one."""

        async def crash(peer):
            server._server.close()
            peer.close()

        server = await self.add(crash, "e1", slots=100)
        await self.add(respond_ok, "e2", "zone-2", slots=1)
        self.table.random.random = lambda: 0.0

    async def test_request_that_was_alone_at_an_endpoint_that_crashed_is_not_repeated(self):
        await self.crash_first()
        outcome = await self.forward(build_route(), fingerprint="request:1")
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.tried(), ["e1"])

    async def test_request_that_was_beside_others_at_an_endpoint_that_crashed_is_repeated(self):
        await self.crash_first()
        self.table.apply_peer_load("front-2", {"e1": 1}, self.clock())
        outcome = await self.forward(build_route(), fingerprint="request:1")
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.tried(), ["e1", "e2"])


class GroupTest(ForwardCase):
    """Endpoints e1 and e2 are ranks of one group, e3 is a rank of another."""

    async def start(self, first):
        async def succeed(peer):
            await peer.send(build_response())

        for name, handle, slots in (("e1", first, 100), ("e2", succeed, 50), ("e3", succeed, 1)):
            server = await self.add(handle, name, slots=slots)
            group = "g1" if name == "e3" else "g0"
            self.ranks.reports[server.address] = build_rank_report(group)
        self.table.random.random = lambda: 0.0
        task = asyncio.get_running_loop().create_task(self.groups.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)

    async def test_refusal_that_names_the_faulty_engine_stalls_its_group(self):
        async def refuse(peer):
            await peer.send(build_response(status=503, X_Not_Executed="1", At_Server="127.0.0.1:1"))

        await self.start(refuse)
        outcome = await self.forward(build_route(RouteKind.ONCE, attempts=2))
        self.assertIsInstance(outcome, Completed)
        self.assertEqual(self.tried(), ["e1", "e3"])

    async def test_refusal_for_lack_of_capacity_stalls_no_group(self):
        for status, fields in ((503, {}), (421, {"At_Server": "127.0.0.1:1"})):
            with self.subTest(status=status):

                async def refuse(peer, status=status, fields=fields):
                    await peer.send(build_response(status=status, X_Not_Executed="1", **fields))

                self.heads.clear()
                self.table._penalized_until.clear()
                self.table.outliers.forget(["e1"])
                self.exchange = FakeExchange()
                await self.start(refuse)
                await self.forward(build_route(RouteKind.ONCE, attempts=2))
                self.assertEqual(self.tried(), ["e1", "e2"])

    async def test_retry_after_a_silent_rank_avoids_its_group(self):
        async def silent(peer):
            await asyncio.sleep(5)

        await self.start(silent)
        outcome = await self.forward(build_route(RouteKind.SAFE, attempts=2))
        self.assertIsInstance(outcome, Completed)
        self.assertEqual(self.tried(), ["e1", "e3"])

    async def test_silent_rank_is_kept_while_only_its_own_group_is_left(self):
        """Work of a group goes on after a short stall, and all its ranks are silent meanwhile."""

        async def pause(peer):
            await asyncio.sleep(1.2)
            await peer.send(build_response(b"whole"))

        await self.start(pause)
        self.table.remove("e3")
        outcome = await self.forward(build_route(RouteKind.SAFE, attempts=2))
        self.assertEqual((outcome, self.tried()), (Completed(ResultCode.OK, 200), ["e1"]))
        self.assertGreater(self.ranks.read_count, 0)

    async def test_call_is_refused_at_once_while_every_group_is_stalled(self):
        async def succeed(peer):
            await peer.send(build_response())

        await self.start(succeed)
        for name in ("e1", "e3"):
            self.groups.record_stall(name)
        started_at = self.clock()
        outcome = await self.forward(build_route(RouteKind.STREAM, attempts=2))
        self.assertEqual(outcome.code, ResultCode.SERVICE_STALLED)
        self.assertGreater(outcome.retry_after, 0)
        self.assertLess(self.clock() - started_at, 0.1)
        self.assertEqual(self.tried(), [])


class StreamTest(ForwardCase):
    def head(self, **fields):
        named = {"X-Request-Id": "r1", "X-Server-Stamp": "s1", "Content-Type": STREAM, **fields}
        lines = "".join(f"{name}: {value}\r\n" for name, value in named.items())
        return f"HTTP/1.1 200 OK\r\n{lines}Transfer-Encoding: chunked\r\n\r\n".encode()

    @staticmethod
    def chunk(data):
        return b"%x\r\n%b\r\n" % (len(data), data)

    def serve(self, events, partial=None):
        async def handle(peer):
            await peer.send(self.head())
            for event in events:
                await peer.send(self.chunk(event))
            if partial is None:
                await peer.send(b"0\r\n\r\n")
            else:
                await peer.send(self.chunk(partial) if partial else b"")
                await asyncio.sleep(0.02)
                peer.reset()

        return handle

    async def test_stream_passes_whole(self):
        await self.add(self.serve(EVENTS))
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))
        self.assertTrue(self.exchange.finished)
        self.assertFalse(self.exchange.aborted)

    async def test_call_records_how_its_stream_ended(self):
        await self.add(self.serve(EVENTS, partial=b"id: 7\nda"))
        call = build_gateway_call(build_route(RouteKind.STREAM, 1))
        await self.forwarder.forward(call, self.exchange, lambda: None)
        self.assertEqual(
            (call.framing, call.events, call.unfinished_bytes), (Framing.CHUNKED, 6, 8)
        )

    async def test_stream_resumes_elsewhere_after_the_last_whole_event(self):
        await self.add_two(self.serve(EVENTS[:3], partial=b"id: 4\nda"), self.serve(EVENTS[3:]))
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))
        self.assertIn("Last-Event-Id: 3", self.heads[1][1])

    async def test_repeated_events_are_dropped(self):
        await self.add_two(self.serve(EVENTS[:3], partial=b""), self.serve(EVENTS[1:]))
        await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))

    async def test_stream_that_may_not_be_resumed_is_aborted(self):
        await self.add_two(self.serve(EVENTS[:3], partial=b""), self.serve(EVENTS))
        outcome = await self.forward(build_route(RouteKind.STREAM, 2))
        self.assertIsInstance(outcome, Unknown)
        self.assertTrue(self.exchange.aborted)
        self.assertEqual(self.tried(), ["e1"])

    async def test_stream_without_another_attempt_is_aborted(self):
        await self.add_two(self.serve(EVENTS[:3], partial=b""), self.serve(EVENTS))
        await self.forward(build_route(RouteKind.STREAM, 1, resumable=True))
        self.assertTrue(self.exchange.aborted)
        self.assertEqual(self.exchange.body, b"".join(EVENTS[:3]))

    async def test_silent_endpoint_is_kept_while_no_other_has_a_free_slot(self):
        async def slow(peer):
            await asyncio.sleep(1.4)
            await self.serve(EVENTS)(peer)

        await self.add_two(slow, self.serve(EVENTS))
        self.table.start_request("e2")
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, 4.0, resumable=True))
        self.assertEqual((outcome, self.tried()), (Completed(ResultCode.OK, 200), ["e1"]))

    async def test_silent_endpoint_is_left_for_a_free_slot_elsewhere(self):
        async def silent(peer):
            await asyncio.sleep(9)

        await self.add_two(silent, self.serve(EVENTS))
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, 4.0, resumable=True))
        self.assertEqual((outcome, self.tried()), (Completed(ResultCode.OK, 200), ["e1", "e2"]))

    async def test_stream_whose_first_event_may_take_long_is_kept(self):
        """An endpoint reads a long prompt before it writes: the target allows for it."""

        async def slow(peer):
            await asyncio.sleep(1.5)
            await self.serve(EVENTS)(peer)

        await self.add_two(slow, self.serve(EVENTS))
        route = build_route(RouteKind.STREAM, 2, 4.0, resumable=True)
        outcome = await self.forward(replace(route, target_latency_s=2.0))
        self.assertEqual((outcome, self.tried()), (Completed(ResultCode.OK, 200), ["e1"]))

    async def test_stream_whose_events_may_be_far_apart_is_kept(self):
        async def slow(peer):
            await peer.send(self.head() + self.chunk(EVENTS[0]))
            await asyncio.sleep(1.5)
            await peer.send(self.chunk(b"".join(EVENTS[1:])) + b"0\r\n\r\n")

        await self.add_two(slow, self.serve(EVENTS))
        route = build_route(RouteKind.STREAM, 2, 4.0, resumable=True)
        outcome = await self.forward(replace(route, max_event_gap_s=1.8))
        self.assertEqual((outcome, self.tried()), (Completed(ResultCode.OK, 200), ["e1"]))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))

    async def test_stream_that_sends_only_comments_counts_as_silent(self):
        comment = b": wait\n\n"

        async def stall(peer):
            await peer.send(self.head() + self.chunk(EVENTS[0]))
            for _ in range(20):
                await asyncio.sleep(0.2)
                await peer.send(self.chunk(comment))

        await self.add_two(stall, self.serve(EVENTS[1:]))
        route = build_route(RouteKind.STREAM, 2, 4.0, resumable=True)
        outcome = await self.forward(route)
        self.assertEqual((outcome, self.tried()), (Completed(ResultCode.OK, 200), ["e1", "e2"]))
        self.assertEqual(self.exchange.body.replace(comment, b""), b"".join(EVENTS))
        self.assertEqual(self.exchange.body.count(comment), 5)

    async def test_comments_pass_with_the_events_around_them(self):
        parts = [b": a\n\n", EVENTS[0], b": b\n: c\n\n", EVENTS[1], b": d\n\n"]
        await self.add(self.serve(parts))
        call = build_gateway_call(build_route(RouteKind.STREAM, 1))
        await self.forwarder.forward(call, self.exchange, lambda: None)
        self.assertEqual((self.exchange.body, call.events), (b"".join(parts), 2))

    def serve_slowly(self, first, later):
        """Send some events at once and the rest after a second."""

        async def handle(peer):
            await peer.send(self.head())
            for event in first:
                await peer.send(self.chunk(event))
            await asyncio.sleep(1.0)
            for event in later:
                await peer.send(self.chunk(event))
            await peer.send(b"0\r\n\r\n")

        return handle

    async def test_stream_moves_from_a_slow_rank_after_its_last_event(self):
        await self.add_two(self.serve_slowly(EVENTS[:3], EVENTS[3:]), self.serve(EVENTS[3:]))
        route = build_route(RouteKind.STREAM, 2, 4.0, resumable=True)
        task = asyncio.create_task(self.forward(route))
        await asyncio.sleep(0.2)
        self.forwarder.move_streams(["e1"])
        self.assertEqual(await task, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))
        self.assertIn("Last-Event-Id: 3", self.heads[1][1])
        self.assertTrue(self.table.outliers.select_usable(["e1"], self.clock()))

    async def test_stream_stays_where_it_may_not_be_repeated_or_the_budget_is_used_up(self):
        for route, slack in (
            (build_route(RouteKind.STREAM, 2, 4.0, resumable=True), 0),
            (build_route(RouteKind.STREAM, 2, 4.0), 100),
            (build_route(RouteKind.STREAM, 1, 4.0, resumable=True), 100),
        ):
            self.heads, self.exchange = [], FakeExchange()
            self.budget.slack, self.budget.ratio = slack, 0.0
            await self.add_two(self.serve_slowly(EVENTS[:3], EVENTS[3:]), self.serve(EVENTS[3:]))
            task = asyncio.create_task(self.forward(route))
            await asyncio.sleep(0.2)
            self.forwarder.move_streams(["e1"])
            await task
            with self.subTest(attempts=route.attempts, resumable=route.resumable, slack=slack):
                self.assertEqual((self.exchange.body, self.tried()), (b"".join(EVENTS), ["e1"]))

    async def test_stream_whose_events_came_while_the_process_stalled_goes_on(self):
        async def handle(peer):
            await peer.send(self.head())
            for event in EVENTS:
                await peer.send(self.chunk(event))
                stall(SILENCE_TIMEOUT_S + 0.1)
                await asyncio.sleep(0.02)
            await peer.send(b"0\r\n\r\n")

        await self.add_two(handle, self.serve(EVENTS))
        route = build_route(RouteKind.STREAM, 2, 20.0, resumable=True)
        self.assertEqual(await self.forward(route), Completed(ResultCode.OK, 200))
        self.assertEqual((self.exchange.body, self.tried()), (b"".join(EVENTS), ["e1"]))

    async def test_broken_stream_waits_for_a_slot_as_long_as_its_caller_does(self):
        async def late_break(peer):
            await peer.send(self.head())
            await peer.send(self.chunk(EVENTS[0]))
            await asyncio.sleep(0.8)
            await peer.send(self.chunk(EVENTS[1]))
            await asyncio.sleep(0.02)
            peer.reset()

        await self.add_two(late_break, self.serve(EVENTS[2:]))
        self.table.start_request("e2")
        route = build_route(RouteKind.STREAM, 2, 4.0, resumable=True)
        task = asyncio.create_task(self.forward(route))
        await asyncio.sleep(1.2)
        self.table.finish_request("e2")
        self.waiting.wake()
        self.assertEqual(await task, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))

    def serve_framed(self, framing, body, content_type=STREAM):
        """Send a body that is delimited by `framing`, and close the connection."""
        chunked_head = self.head(**{"Content-Type": content_type})
        head = chunked_head.replace(b"Transfer-Encoding: chunked\r\n", b"")

        async def handle(peer):
            match framing:
                case Framing.CHUNKED:
                    await peer.send(chunked_head + self.chunk(body) + b"0\r\n\r\n")
                case Framing.LENGTH:
                    await peer.send(head[:-2] + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                case Framing.CLOSE:
                    await peer.send(head + body)
            peer.close()

        return handle

    async def test_stream_that_ends_inside_an_event_does_not_reach_its_caller_as_complete(self):
        cut = b"".join(EVENTS[:3]) + b"id: 4\ndata: "
        for framing in (Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH):
            with self.subTest(framing=framing):
                self.exchange = FakeExchange()
                await self.add(self.serve_framed(framing, cut))
                outcome = await self.forward(build_route(RouteKind.STREAM, 2))
                self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
                self.assertTrue(self.exchange.aborted)
                self.assertEqual(self.exchange.body, b"".join(EVENTS[:3]))

    async def test_stream_that_ends_inside_its_first_event_does_not_reach_its_caller(self):
        for framing in (Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH):
            with self.subTest(framing=framing):
                self.exchange = FakeExchange()
                await self.add(self.serve_framed(framing, b"id: 1\nda"))
                outcome = await self.forward(build_route(RouteKind.STREAM, 2))
                self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
                self.assertFalse(self.exchange.started)

    async def test_stream_that_ends_inside_an_event_resumes_elsewhere(self):
        cut = b"".join(EVENTS[:3]) + b"id: 4\ndata: "
        await self.add_two(self.serve_framed(Framing.CLOSE, cut), self.serve(EVENTS[3:]))
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))
        self.assertIn("Last-Event-Id: 3", self.heads[1][1])

    async def test_response_of_another_type_on_a_stream_route_passes_whole(self):
        for framing in (Framing.CLOSE, Framing.CHUNKED, Framing.LENGTH):
            with self.subTest(framing=framing):
                self.exchange = FakeExchange()
                handle = self.serve_framed(framing, b'{"no": "events"}', "application/json")
                await self.add(handle)
                outcome = await self.forward(build_route(RouteKind.STREAM, 2))
                self.assertEqual(outcome, Completed(ResultCode.OK, 200))
                self.assertEqual(self.exchange.body, b'{"no": "events"}')

    async def test_response_to_a_resumed_stream_is_not_written_into_it(self):
        for status, content_type in ((404, "text/plain"), (200, "application/json")):
            with self.subTest(status=status):

                async def respond(peer, status=status, content_type=content_type):
                    await peer.send(build_response(b"other", status, Content_Type=content_type))

                self.exchange = FakeExchange()
                await self.add_two(self.serve(EVENTS[:3], partial=b""), respond)
                outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
                self.assertIsInstance(outcome, Unknown)
                self.assertTrue(self.exchange.aborted)
                self.assertEqual(self.exchange.body, b"".join(EVENTS[:3]))

    async def test_stream_without_a_frame_and_without_events_is_not_complete(self):
        await self.add(self.serve_framed(Framing.CLOSE, b""))
        outcome = await self.forward(build_route(RouteKind.STREAM, 1))
        self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
        self.assertFalse(self.exchange.started)

    async def test_resumed_stream_without_a_frame_and_without_events_is_not_complete(self):
        empty = self.serve_framed(Framing.CLOSE, b"")
        await self.add_two(self.serve(EVENTS[:3], partial=b""), empty)
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
        self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
        self.assertTrue(self.exchange.aborted)

    async def test_resumed_stream_with_a_frame_may_be_empty(self):
        for framing in (Framing.CHUNKED, Framing.LENGTH):
            with self.subTest(framing=framing):
                self.exchange = FakeExchange()
                await self.add_two(self.serve(EVENTS, partial=b""), self.serve_framed(framing, b""))
                outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
                self.assertEqual(outcome, Completed(ResultCode.OK, 200))
                self.assertEqual(self.exchange.body, b"".join(EVENTS))

    async def test_stream_without_a_frame_passes_whole(self):
        await self.add(self.serve_framed(Framing.CLOSE, b"".join(EVENTS)))
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))
        self.assertFalse(self.exchange.aborted)

    async def test_stream_without_a_frame_that_is_moved_is_not_taken_as_complete(self):
        async def slow(peer):
            await peer.send(self.head().replace(b"Transfer-Encoding: chunked\r\n", b""))
            await peer.send(b"".join(EVENTS[:3]))
            await asyncio.sleep(1.0)

        await self.add_two(slow, self.serve(EVENTS[3:]))
        route = build_route(RouteKind.STREAM, 2, 4.0, resumable=True)
        task = asyncio.create_task(self.forward(route))
        await asyncio.sleep(0.2)
        self.forwarder.move_streams(["e1"])
        self.assertEqual(await task, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))

    async def test_prompt_whose_engine_crashed_as_its_answer_began_is_not_sent_to_another(self):
        async def crash(peer):
            await peer.send(self.head())
            server._server.close()
            peer.close()

        server = await self.add(crash, "e1", slots=100)
        await self.add(self.serve(EVENTS), "e2", "zone-2", slots=1)
        self.table.random.random = lambda: 0.0
        fields = {"X-Prompt-Prefix": b"f1:40,a1:200,c1:30"}
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, resumable=True), **fields)
        self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(self.tried(), ["e1"])

    async def test_short_answer_that_ends_with_its_connection_proves_no_prompt_answered(self):
        for framing, number, released in (
            (Framing.CLOSE, ANSWERED_EVENTS - 1, False),
            (Framing.CLOSE, ANSWERED_EVENTS, True),
            (Framing.CHUNKED, 1, True),
        ):
            with self.subTest(framing=framing, events=number):
                self.exchange = FakeExchange()
                self.quarantine.add(frozenset(["bad"]))
                await self.add(self.serve_framed(framing, b"".join(EVENTS[:number])))
                # A request with the part that was sent before the part was known.
                call = build_gateway_call(
                    build_route(RouteKind.STREAM), **{"X-Prompt-Prefix": b"bad:1,c:1"}
                )
                await self.forwarder._attempts.run(
                    call, self.exchange, self.table.find("e1"), CallProgress()
                )
                self.assertEqual(frozenset(["bad"]) not in self.quarantine, released)

    async def test_caller_that_resumes_is_served_from_its_last_event(self):
        await self.add(self.serve(EVENTS[2:]))
        fields = {"Last-Event-Id": b"2"}
        await self.forward(build_route(RouteKind.STREAM, 2, resumable=True), **fields)
        self.assertIn("Last-Event-Id: 2", self.heads[0][1])
        self.assertEqual(self.exchange.body, b"".join(EVENTS[2:]))


if __name__ == "__main__":
    unittest.main()
