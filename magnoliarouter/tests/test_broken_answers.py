from __future__ import annotations

import asyncio
import re
import unittest
from dataclasses import replace

from magnoliarouter.core.outcome import Completed, NotRun, ResultCode, Unknown
from magnoliarouter.gateway.ranks import Hold, OrderResult
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.platform.ranks import PlatformRanks
from magnoliarouter.tests.broken_answers import (
    build_failures,
    build_invalid_names,
    build_invalid_statuses,
    build_invalid_values,
    build_stream,
    insert_line,
)
from magnoliarouter.tests.platform_standin import build_configuration
from magnoliarouter.tests.raw_server import RawServer, build_response
from magnoliarouter.tests.test_forward import (
    EVENTS,
    STREAM,
    FakeExchange,
    ForwardCase,
    build_gateway_call,
    build_route,
    respond_ok,
)
from magnoliarouter.tests.test_gateway import GatewayCase


class BrokenAnswerCase(ForwardCase):
    async def play(self, route, *answers, method=b"POST"):
        """Forward a call; the first endpoint that gets it sends the first answer, and closes."""

        def build_handler(answer):
            async def handle(peer):
                await peer.send(answer)
                peer.close()

            return handle

        self.heads.clear()
        self.exchange = FakeExchange()
        await self.add_two(*(build_handler(answer) for answer in answers))
        self.table.outliers.forget(["e1", "e2"])
        call = replace(build_gateway_call(route), method=method)
        return await self.forwarder.forward(call, self.exchange, lambda: None)


class InvalidStatusTest(BrokenAnswerCase):
    """A head whose status is none says nothing of the request and of its endpoint."""

    async def test_call_that_may_run_once_ends_with_an_unknown_outcome(self):
        refusal = {"X_Not_Executed": "1", "Server_Leaving": "1", "Retry_After": "1"}
        for fields in ({}, {"stamp": None}, {"request_id": None}, refusal):
            for answer in build_invalid_statuses(**fields):
                for kind in (RouteKind.ONCE, RouteKind.STREAM):
                    with self.subTest(answer=answer, kind=kind):
                        outcome = await self.play(build_route(kind, 3), answer, build_response())
                        self.assertIsInstance(outcome, Unknown)
                        self.assertEqual(outcome.code, ResultCode.ENDPOINT_ERROR)
                        self.assertFalse(self.exchange.started)
                        self.assertEqual(self.tried(), ["e1"])
                        self.assertFalse(self.table.notices.is_leaving(self.table.find("e1")))

    async def test_call_that_may_be_repeated_is_answered_by_another_endpoint(self):
        for answer in build_invalid_statuses():
            for method in (b"POST", b"HEAD"):
                with self.subTest(answer=answer, method=method):
                    outcome = await self.play(
                        build_route(), answer, build_response(), method=method
                    )
                    self.assertEqual(outcome, Completed(ResultCode.OK, 200))
                    self.assertEqual(self.tried(), ["e1", "e2"])

    async def test_stream_goes_on_at_another_endpoint(self):
        route = build_route(RouteKind.STREAM, 2, resumable=True)
        for answer in build_invalid_statuses(Content_Type=STREAM):
            with self.subTest(answer=answer):
                outcome = await self.play(route, answer, build_stream(EVENTS))
                self.assertEqual(outcome, Completed(ResultCode.OK, 200))
                self.assertEqual(self.exchange.body, b"".join(EVENTS))

    async def test_ranks_say_nothing_by_it(self):
        for answer in build_invalid_statuses(Server_Leaving="1", request_id=None):
            with self.subTest(answer=answer):

                async def handle(peer, answer=answer):
                    await peer.send(answer)
                    peer.close()

                server, leaving = await self.add(handle), []
                ranks = PlatformRanks(self.pool, leaving.append)
                self.assertIsNone(await ranks.read_report(server.address))
                result = await ranks.send(server.address, Hold(5), 1, 3, 8)
                self.assertEqual((result, leaving), (OrderResult.UNKNOWN, []))


class BegunStreamTest(BrokenAnswerCase):
    """A stream broke off and cannot go on: its caller sees no other bytes, and no end."""

    async def test_answer_that_does_not_go_on_is_not_written_into_the_stream(self):
        begun = build_stream(EVENTS[:3], complete=False)
        for answer in build_failures():
            with self.subTest(answer=answer):
                route = build_route(RouteKind.STREAM, 2, resumable=True)
                outcome = await self.play(route, begun, answer)
                self.assertIsInstance(outcome, Unknown)
                self.assertEqual(self.tried(), ["e1", "e2"])
                self.assertTrue(self.exchange.aborted)
                self.assertEqual(self.exchange.body, b"".join(EVENTS[:3]))


class CutHeadTest(BrokenAnswerCase):
    """An endpoint that closes within a head has sent no answer, whatever the head said so far."""

    async def test_head_that_ends_early_is_no_answer(self):
        for status in (200, 204, 404, 500):
            whole = build_response(b"", status)
            for size in range(0, len(whole), 3):
                for kind in (RouteKind.ONCE, RouteKind.STREAM):
                    with self.subTest(answer=whole[:size], kind=kind):
                        outcome = await self.play(build_route(kind), whole[:size], b"")
                        self.assertIsInstance(outcome, Unknown)
                        self.assertFalse(self.exchange.started)

    async def test_head_that_ends_early_on_a_kept_connection_is_no_answer(self):
        whole = build_response(b"", 200)
        for size in range(0, len(whole), 3):
            with self.subTest(answer=whole[:size]):
                self.heads.clear()

                async def serve(peer, answer=whole[:size]):
                    if len(self.heads) == 1:
                        await respond_ok(peer)
                        return
                    await peer.send(answer)
                    peer.close()

                server = await self.add(serve)
                for expected in (Completed, Unknown):
                    self.exchange = FakeExchange()
                    outcome = await self.forward(build_route(RouteKind.ONCE))
                    self.assertIsInstance(outcome, expected)
                self.assertFalse(self.exchange.started)
                self.assertEqual(server.connections, 1)
                self.table.outliers.forget(["e1"])


class InvalidFieldTest(BrokenAnswerCase):
    """A head or trailer with a line that is no field makes the whole answer none."""

    async def check(self, answer):
        with self.subTest(answer=answer):
            outcome = await self.play(build_route(RouteKind.ONCE), answer, b"")
            self.assertIsInstance(outcome, Unknown)
            self.assertFalse(self.exchange.started)

    async def test_answer_with_a_line_that_is_no_field_does_not_pass(self):
        early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\nX-Server-Stamp: s0\r\n\r\n"
        for line in (*build_invalid_names(), *build_invalid_values()):
            for status in (200, 404, 500):
                response = build_response(b"whole", status)
                await self.check(insert_line(response, line))
                await self.check(insert_line(early_hints, line) + response)

    async def test_answer_with_a_trailer_that_is_no_field_does_not_pass(self):
        head = build_response(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        for line in build_invalid_names():
            await self.check(head + b"5\r\nwhole\r\n0\r\n" + line + b"X-Last: l\r\n\r\n")


class ListedFieldTest(BrokenAnswerCase):
    """`Connection` names fields of one connection; end-to-end fields pass whether named or not."""

    async def test_answer_keeps_its_end_to_end_fields(self):
        listed = "close, x-server-stamp , X-Request-Id,X-Weight-Versions, Content-Type, X-Hop"
        fields = {"X_Weight_Versions": "4", "Content_Type": STREAM, "X_Hop": "h"}
        answers = (
            (build_route(RouteKind.ONCE), build_response(b"done", Connection=listed, **fields)),
            (build_route(), build_response(b"done", Connection=listed, **fields)),
            (
                build_route(RouteKind.STREAM),
                insert_line(
                    build_stream(EVENTS),
                    f"Connection: {listed}\r\nX-Weight-Versions: 4\r\n".encode(),
                ),
            ),
        )
        for route, answer in answers:
            with self.subTest(kind=route.kind):
                outcome = await self.play(route, answer, b"")
                self.assertEqual(outcome, Completed(ResultCode.OK, 200))
                self.assertEqual(
                    dict(self.exchange.fields),
                    {
                        b"X-Request-Id": b"r1",
                        b"X-Server-Stamp": b"s1",
                        b"X-Weight-Versions": b"4",
                        b"Content-Type": STREAM.encode(),
                    },
                )

    async def test_request_keeps_its_end_to_end_fields(self):
        fields = {
            "X-Model": b"m",
            "X-Token-Usage": b"3,4",
            "X-Prompt-Prefix": b"ab:3",
            "X-Length-Hint": b"4",
            "X-Expect-Version": b"2",
            "Content-Type": b"text/plain",
        }
        listed = b", ".join(name.encode() for name in ("X-Request-Id", "Host", *fields, "X-Hop"))
        await self.add(respond_ok)
        await self.forward(build_route(), **fields, **{"X-Hop": b"h", "Connection": listed})
        _, head, _ = self.heads[0]
        for name, value in {"X-Request-Id": b"r1", "Host": b"h", **fields}.items():
            self.assertIn(f"{name}: {value.decode()}\r\n", head)
        self.assertNotIn("X-Hop", head)


class RepeatedRefusalTest(ForwardCase):
    """An endpoint writes a refusal once more when the connection's next request is there, and runs it."""

    async def play(self, refusal, part_size):
        """Forward three calls that may run once; return their outcomes and the ids that ran."""
        runs, refused = [], set()

        async def run(peer):
            request_id = re.search(r"X-Request-Id: (\S+)", self.heads[-1][1])[1]
            runs.append(request_id)
            await asyncio.sleep(0.05)
            await peer.send(build_response(b"done", request_id=request_id))

        async def refuse_first(peer):
            for start in range(0, len(refusal), part_size):
                await peer.send(refusal[start : start + part_size])
                await asyncio.sleep(0.01)
            if peer in refused:
                await run(peer)
            refused.add(peer)

        self.heads.clear()
        await self.add_two(refuse_first, run)
        outcomes = {}
        for request_id in ("r0", "r1", "r2"):
            self.exchange = FakeExchange()
            route = build_route(RouteKind.ONCE, 2)
            outcomes[request_id] = await self.forward(route, request_id=request_id.encode())
            self.table.outliers.forget(["e1"])
            self.table._penalized_until.clear()
        return outcomes, runs

    async def test_copy_of_a_refusal_proves_nothing(self):
        for status in (408, 421, 429, 503):
            for request_id in ("r0", None):
                refusal = build_response(b"full", status, request_id, None, X_Not_Executed="1")
                for part_size in (len(refusal), len(refusal) // 2 + 1):
                    with self.subTest(refusal=refusal, part_size=part_size):
                        outcomes, runs = await self.play(refusal, part_size)
                        self.assertEqual(sorted(runs), sorted(set(runs)))
                        told = {name for name, one in outcomes.items() if isinstance(one, NotRun)}
                        self.assertFalse(told & set(runs))
                        self.assertIn("e1", self.tried()[2:])


class CallerTest(GatewayCase):
    """What callers of a daemon receive when an engine sends an answer that is none."""

    async def test_status_that_is_none_reaches_no_caller(self):
        answers = build_invalid_statuses()

        async def answer(peer):
            await peer.read_message()
            await peer.send(answers[-1])

        server = await RawServer(answer).start()
        self.addAsyncCleanup(server.stop)
        configuration = build_configuration(2, routes=("/a/", "/o/"))
        configuration["routes"][1]["kind"] = "unsafe"
        await self.store.put("config", "main", configuration)
        await self.store.put("servers", "e1", self.engine.build_entry(address=server.address))
        daemon = await self.start()
        await self.wait_ready(daemon)
        while answers:
            with self.subTest(answer=answers[-1]):
                statuses = [
                    (await self.send_request(daemon, path, request_id="r1"))[0]
                    for path in ("/a/x", "/o/x")
                ]
                self.assertEqual(statuses, [502, 502])
            answers.pop()


if __name__ == "__main__":
    unittest.main()
