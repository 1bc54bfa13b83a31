from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.core.outcome import Completed, ResultCode
from magnoliarouter.pipeline.deadline import deliver_before_deadline
from magnoliarouter.tests.clock import advance, run_paused, settle

DONE = Completed(ResultCode.OK, 200)


class FakeExchange:
    """Exchange whose caller stops reading unless `reads` is true."""

    def __init__(self, reads: bool = True):
        self.reads = reads
        self.started = self.finished = self.aborted = False
        self.status = 0
        self.sent = b""

    async def send(self, status, body, headers):
        self.status, self.sent = status, body

    async def write(self, data):
        self.sent += data
        if not self.reads:
            await asyncio.Event().wait()

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True


class DeadlineTest(unittest.TestCase):
    def deliver(self, exchange, seconds, starts):
        async def deliver():
            exchange.started = starts
            await asyncio.sleep(seconds)
            return DONE

        async def main():
            loop = asyncio.get_running_loop()
            task = asyncio.create_task(
                deliver_before_deadline(
                    exchange, deliver(), loop.time() + 5.0, {"x-request-id": "r1"}
                )
            )
            await settle()
            await advance(10.0)
            return await task

        return run_paused(main())

    def test_in_time(self):
        exchange = FakeExchange()
        self.assertEqual(self.deliver(exchange, 4.9, True), DONE)
        self.assertEqual(exchange.sent, b"")

    def test_late_before_the_first_byte(self):
        exchange = FakeExchange()
        outcome = self.deliver(exchange, 60.0, False)
        self.assertEqual((outcome.code, exchange.status), (ResultCode.DEADLINE_EXCEEDED, 504))

    def test_late_within_a_stream_shows_an_error_frame(self):
        exchange = FakeExchange()
        outcome = self.deliver(exchange, 60.0, True)
        self.assertEqual(outcome.code, ResultCode.DEADLINE_EXCEEDED)
        self.assertIn(b"event: error", exchange.sent)
        self.assertNotIn(b"[DONE]", exchange.sent)
        self.assertEqual((exchange.finished, exchange.aborted), (True, False))

    def test_caller_that_does_not_read_is_cut_off(self):
        exchange = FakeExchange(reads=False)
        outcome = self.deliver(exchange, 60.0, True)
        self.assertEqual(outcome.code, ResultCode.DEADLINE_EXCEEDED)
        self.assertTrue(exchange.aborted)
