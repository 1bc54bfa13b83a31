from __future__ import annotations

import asyncio
import json
import os
import unittest

from magnoliarouter.telemetry.sink import LineSink


class SinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.dropped = []

    def open(self, **options):
        return LineSink(
            self.writer, on_drop=lambda reason, lines: self.dropped.append(reason), **options
        )

    def read(self):
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while part := os.read(self.reader, 1 << 20):
                data += part
        except BlockingIOError:
            pass
        return [json.loads(line) for line in data.splitlines() if line]

    async def test_lines_arrive_in_order(self):
        sink = self.open()
        for number in range(5):
            sink({"n": number, "timestamp": 1.0})
        await asyncio.sleep(0.01)
        self.assertEqual([line["n"] for line in self.read()], [0, 1, 2, 3, 4])

    async def test_reader_that_never_reads_does_not_block_the_writer(self):
        sink = self.open(max_lines_per_s=10**6, max_buffered_bytes=100_000)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(5000):
            sink({"n": number, "text": "x" * 100, "timestamp": 1.0})
            if number % 100 == 0:
                await asyncio.sleep(0)
        self.assertLess(loop.time() - started_at, 2.0)
        self.assertIn("reader", self.dropped)
        self.read()
        await asyncio.sleep(0.2)
        self.read()
        await asyncio.sleep(0.2)
        sink({"n": "after", "timestamp": 2.0})
        await asyncio.sleep(0.2)
        lines = self.read()
        self.assertEqual(lines[-1]["n"], "after")
        self.assertIn("log_lines_dropped", [line.get("message_type") for line in lines])

    async def test_important_lines_are_kept_beyond_the_rate_limit(self):
        sink = self.open(max_lines_per_s=10)
        for number in range(50):
            sink({"n": number, "timestamp": 1.0, "important": number >= 40})
        sink({"n": "next", "timestamp": 2.0})
        await asyncio.sleep(0.01)
        lines = self.read()
        kept = [line["n"] for line in lines if "n" in line]
        self.assertEqual(kept, [*range(10), *range(40, 50), "next"])
        dropped_counts = [line["lines"] for line in lines if "lines" in line]
        self.assertEqual((dropped_counts, self.dropped), ([30], ["rate"] * 30))


if __name__ == "__main__":
    unittest.main()
