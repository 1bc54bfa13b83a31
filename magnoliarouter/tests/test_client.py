from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from collections import Counter

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.standins.platform import PlatformFaults, PlatformStandin
from magnoliarouter.store.backoff import Backoff, CallBudget
from magnoliarouter.store.client import (
    Ambiguous,
    Changes,
    Conflict,
    Failure,
    Found,
    Gone,
    Missing,
    PlatformClient,
    Unavailable,
    Written,
)
from magnoliarouter.store.settle import delete_settled, write_settled
from magnoliarouter.tests.clock import run_paused
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer

RESPONSE_BODIES = (
    b'{"kind": "contract", "name": "grower", "version": 4, "value": {"a": 1}}',
    b'{"version": 9, "items": [{"kind": "contract", "name": "grower", "version": 4}]}',
    b"null",
    b"[" * 5000,
    b'{"kind": "contract", "name": "grower", "version": 99999999999999999999}',
    b'{"version": -1, "items": []}',
    b'{"version": 3, "items": [{"kind": "vm", "name": "x", "version": 1}]}',
    b'{"kind": "contract", "name": "other", "version": 4}',
    b"\xff\xfe\x00",
    b'{"kind": "contract", "name": "grower", "version": "4"}',
    b"",
)


class StandinTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin()
        server = WebServer(Runtime(), ("127.0.0.1", 0), self.standin.handle)
        self.addCleanup(server.stop_listening)
        session = open_session()
        self.addAsyncCleanup(session.close)
        self.calls = Counter()
        self.client = PlatformClient(
            f"http://127.0.0.1:{server.port}",
            session,
            on_call=lambda operation, result: self.calls.update([(operation, result)]),
        )
        self.backoff = Backoff(0.001, 0.002, random.Random(1))

    async def test_conditions(self):
        written = await self.client.write("service", "a b:c", {"n": 1}, expect=0)
        self.assertEqual(written, Written(1))
        conflict = await self.client.write("service", "a b:c", {"n": 2}, expect=0)
        self.assertEqual(conflict.current.value, {"n": 1})
        self.assertEqual(await self.client.write("service", "a b:c", {"n": 2}, 1), Written(2))
        outdated = await self.client.delete("service", "a b:c", 1)
        self.assertEqual(outdated.current.version, 2)
        self.assertEqual(await self.client.delete("service", "a b:c", 2), Written(3))
        self.assertEqual(await self.client.read("service", "a b:c"), Missing())
        self.assertEqual(self.calls["write", "412"], 1)

    async def test_watch_resumes_and_reports_gaps(self):
        await self.client.write("service", "a", {"n": 1})
        await self.client.write("service", "a", None)
        changes = await self.client.watch("service", 1, wait=0.01)
        self.assertIsInstance(changes, Changes)
        self.assertEqual([item.version for item in changes.batch.items], [2])
        self.standin.faults = PlatformFaults(gap=True)
        self.assertEqual(await self.client.watch("service", 1, wait=0.01), Gone())

    async def test_malformed_response_to_write_is_ambiguous(self):
        self.standin.faults = PlatformFaults(malformed=True)
        outcome = await self.client.write("service", "a", {"n": 1}, expect=0)
        self.assertIsInstance(outcome, Ambiguous)
        self.assertEqual(outcome.failure, Failure.MALFORMED)
        outcome = await self.client.write("service", "a", {"n": 1}, expect=0)
        self.assertIsInstance(
            outcome, Unavailable, "a failed condition proves that nothing changed"
        )

    async def test_value_that_cannot_be_encoded(self):
        outcome = await self.client.write("service", "a", {"n": object()})
        self.assertEqual(outcome.failure, Failure.NOT_SENT)
        self.assertEqual(self.standin.calls["write"], 0)

    async def test_lost_response_is_settled_as_written(self):
        self.standin.faults = PlatformFaults(lose_answers=1.0)
        for number in range(5):
            name = f"s{number}"
            outcome = await write_settled(
                self.client, "service", name, {"n": 1}, 0, backoff=self.backoff
            )
            self.assertEqual(outcome, Written(number + 1))
        outcome = await delete_settled(self.client, "service", "s0", 1, backoff=self.backoff)
        self.assertEqual(outcome, Written(0))
        self.assertEqual(self.standin.store.version, 6, "nothing was written twice")

    async def test_lost_answer_and_stale_read_are_settled(self):
        self.standin.faults = PlatformFaults(lose_answers=0.5, stale_reads=50, seed=3)
        for number in range(8):
            outcome = await write_settled(
                self.client, "service", f"s{number}", {"n": number}, 0, backoff=self.backoff
            )
            self.assertEqual(outcome, Written(number + 1))

    async def test_other_writers_value_is_a_conflict(self):
        await self.client.write("service", "a", {"n": 1})
        self.standin.faults = PlatformFaults(lose_answers=1.0)
        outcome = await write_settled(
            self.client, "service", "a", {"n": 2}, 0, backoff=self.backoff
        )
        self.assertEqual(outcome.current.value, {"n": 1})

    async def test_conflict_after_a_lost_response_has_unknown_outcome(self):
        class LossyClient(PlatformClient):
            async def read(client, kind, name):  # noqa: N805
                await self.client.write("service", "a", {"n": "other"})
                return Unavailable("lost")

            async def write(client, *arguments):  # noqa: N805
                is_first_write = self.standin.store.version == 0
                outcome = await super().write(*arguments)
                return Ambiguous("lost") if is_first_write else outcome

        client = LossyClient("", self.client._transport)
        outcome = await write_settled(client, "service", "a", {"n": 2}, 0, backoff=self.backoff)
        self.assertEqual((outcome.current.value, outcome.outcome_unknown), ({"n": "other"}, True))

    async def test_refused_calls(self):
        self.standin.faults = PlatformFaults(down=True)
        self.assertEqual((await self.client.list("service")).failure, Failure.REFUSED)
        outcome = await write_settled(
            self.client, "service", "a", {"n": 2}, 0, backoff=self.backoff, timeout_s=0.01
        )
        self.assertEqual(outcome.failure, Failure.REFUSED)


class ResponseFuzzTest(unittest.IsolatedAsyncioTestCase):
    """Responses that no correct platform sends: every call returns a result without raising."""

    async def asyncSetUp(self):
        self.raw_response = b""
        server = await asyncio.start_server(self.respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        session = open_session()
        self.addAsyncCleanup(session.close)
        port = server.sockets[0].getsockname()[1]
        self.client = PlatformClient(f"http://127.0.0.1:{port}", session)

    async def respond(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.raw_response)
            await writer.drain()
        writer.close()

    def draw_response(self, rng):
        status = rng.choice((200, 200, 200, 404, 410, 412, 500, 503, 302, 999))
        body = bytearray(rng.choice(RESPONSE_BODIES))
        for _ in range(rng.choice((0, 0, 1, 3))):
            if body:
                body[rng.randrange(len(body))] = rng.randrange(256)
        length = len(body) + rng.choice((0, 0, 0, 7, -1))
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
        raw = bytearray(head.encode() + body)
        if rng.random() < 0.2:
            raw[rng.randrange(len(raw))] = rng.randrange(256)
        return bytes(raw[: rng.randrange(len(raw))] if rng.random() < 0.1 else raw)

    async def test_no_response_raises(self):
        rng = random.Random(7)
        result_counts = Counter()
        for _ in range(400):
            self.raw_response = self.draw_response(rng)
            for result in (
                await self.client.read("contract", "grower"),
                await self.client.list("contract"),
                await self.client.watch("contract", 1, 0.0),
                await self.client.write("contract", "grower", {}, 1),
            ):
                result_counts[type(result)] += 1
                if isinstance(result, Found):
                    self.assertTrue(all(item.kind == "contract" for item in result.items))
        expected = {Found, Missing, Unavailable, Changes, Gone, Written, Conflict, Ambiguous}
        self.assertEqual(set(result_counts), expected)

    async def test_oversized_response_is_refused(self):
        body = b'"' + b"x" * (3 << 20) + b'"'
        self.raw_response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self.assertEqual((await self.client.read("contract", "grower")).failure, Failure.TOO_LARGE)

    async def test_refused_connection(self):
        session = open_session()
        self.addAsyncCleanup(session.close)
        client = PlatformClient("http://127.0.0.1:1", session)
        outcome = await client.write("contract", "grower", {})
        self.assertEqual((type(outcome), outcome.failure), (Unavailable, Failure.CONNECT))


class BackoffAndBudgetTest(unittest.TestCase):
    def test_backoff_grows_and_resets(self):
        backoff = Backoff(1.0, 4.0, random.Random(2))
        waits = [backoff.next_wait() for _ in range(5)]
        for wait, nominal in zip(waits, (1, 2, 4, 4, 4), strict=True):
            self.assertTrue(nominal / 2 <= wait <= nominal)
        backoff.reset()
        self.assertLessEqual(backoff.next_wait(), 1.0)

    def test_budget_holds_in_any_window(self):
        budget, rng = CallBudget(5.0, 10.0), random.Random(3)
        now, acquired_at = 0.0, []
        for _ in range(2000):
            now += rng.choice((0.0, 0.01, 0.3))
            if budget.try_acquire(now) == 0.0:
                acquired_at.append(now)
        for start in range(0, len(acquired_at), 37):
            for end in range(start, len(acquired_at), 11):
                window = acquired_at[end] - acquired_at[start]
                self.assertLessEqual(end - start + 1, 5.0 * window + 10.0 + 1e-6)

    def test_call_waits_for_budget(self):
        class FailingSession:
            def request(self, *args, **kwargs):
                raise ValueError("no network here")

        async def main():
            client = PlatformClient("http://x", FailingSession(), CallBudget(0.1, 1.0))
            first = await client.read("vm", "a")
            second = await client.read("vm", "a")
            return first.failure, second.failure

        self.assertEqual(run_paused(main()), (Failure.BROKEN, Failure.BUDGET))
