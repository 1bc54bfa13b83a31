from __future__ import annotations

import unittest

import aiohttp
from prometheus_client import CollectorRegistry

from magnoliarouter.core.codes import status_of
from magnoliarouter.core.outcome import Completed, ResultCode, Unknown
from magnoliarouter.pipeline.deliver import LAST_FRAME, deliver_buffered, deliver_stream
from magnoliarouter.pipeline.dispatch import EndpointResponse
from magnoliarouter.pipeline.meter import TokenMeter
from magnoliarouter.telemetry.metrics import Metrics

FRAMES = [b'data: {"text": "data: a"}\n\n', b'data: {"text": "b"}\n\n', LAST_FRAME]
BUFFERED_BODY = b'{"usage": {"prompt_tokens": 3, "completion_tokens": 5}}'


class FakeBody:
    """Response body that arrives in the given parts and may end in an error."""

    def __init__(self, parts: list[bytes], error: Exception | None = None):
        self.parts = parts
        self.error = error

    def __aiter__(self):
        return self.iterate()

    async def iterate(self):
        for part in self.parts:
            yield part
        if self.error:
            raise self.error


class FakeExchange:
    """Exchange that records the response sent to the caller."""

    def __init__(self):
        self.status = 0
        self.sent = b""
        self.finished = False

    async def start(self, status, headers):
        self.status = status

    async def write(self, data):
        self.sent += data

    async def finish(self):
        self.finished = True

    async def send(self, status, body, headers):
        self.status, self.sent, self.finished = status, body, True
        self.headers = headers


def split_into(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


class DeliverTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        metrics = Metrics()
        self.assertIsInstance(metrics.registry, CollectorRegistry)
        self.meter = TokenMeter(
            lambda: 1.0, 0.5, metrics.first_token, metrics.inter_token, metrics.tokens
        )
        self.exchange = FakeExchange()

    async def stream(self, parts, error=None):
        response = EndpointResponse(200, "a1", {}, FakeBody(parts, error))
        return await deliver_stream(self.exchange, response, {}, self.meter)

    async def test_stream_is_the_same_however_it_is_split(self):
        whole = b"".join(FRAMES)
        for size in range(1, len(whole) + 1):
            self.exchange, self.meter.generated_tokens = FakeExchange(), 0
            outcome = await self.stream(split_into(whole, size))
            self.assertIsInstance(outcome, Completed)
            self.assertEqual(self.exchange.sent, whole)
            self.assertEqual(self.meter.generated_tokens, 2)

    async def assert_truncated(self, parts, error=None):
        outcome = await self.stream(parts, error)
        self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
        self.assertNotIn(LAST_FRAME, self.exchange.sent)
        self.assertIn(b"event: error", self.exchange.sent)
        self.assertTrue(self.exchange.finished)

    async def test_truncated_stream_ends_in_an_error_event(self):
        await self.assert_truncated(FRAMES[:2], aiohttp.ClientPayloadError())

    async def test_clean_end_without_last_frame_is_an_error(self):
        await self.assert_truncated(FRAMES[:2])

    async def test_truncation_after_the_last_frame_is_an_error(self):
        await self.assert_truncated(FRAMES, aiohttp.ClientPayloadError())

    async def test_frames_after_the_last_are_an_error(self):
        await self.assert_truncated([FRAMES[0], LAST_FRAME + FRAMES[1]])

    async def test_buffered_response_reports_its_usage(self):
        response = EndpointResponse(200, "a1", {"ETag": "7"}, FakeBody([BUFFERED_BODY]))
        outcome = await deliver_buffered(self.exchange, response, {}, self.meter)
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual((self.exchange.sent, self.meter.total_tokens), (BUFFERED_BODY, 8))
        self.assertEqual(self.exchange.headers["ETag"], "7")

    async def test_cut_whole_answer_is_an_error_of_which_nothing_is_sent(self):
        response = EndpointResponse(200, "a1", {}, FakeBody([], aiohttp.ClientPayloadError()))
        outcome = await deliver_buffered(self.exchange, response, {}, self.meter)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(status_of(outcome.code), 502)
        self.assertEqual((self.exchange.status, self.exchange.sent), (0, b""))

    async def test_nothing_is_sent_of_a_stream_truncated_before_its_first_byte(self):
        for error in (None, aiohttp.ClientPayloadError()):
            outcome = await self.stream([], error)
            self.assertEqual(outcome.code, ResultCode.STREAM_TRUNCATED)
            self.assertEqual((self.exchange.status, self.exchange.sent), (0, b""))
