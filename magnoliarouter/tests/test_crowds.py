"""Crowds of clients that use the limits to the full, against a daemon of little memory.

What is checked depends on no machine's speed: the daemon lives, it stays within its memory and its
descriptors, and an ordinary request is answered while the crowd is still there.
"""

from __future__ import annotations

import unittest

from magnoliarouter.tests.crowds import (
    Crowd,
    DaemonProcess,
    build_body,
    build_chunks,
    build_short_lines,
    build_start,
    split,
)

# The daemon takes less than 40 MB when it is idle.
MEMORY_MB = 96
MAX_FDS = 4_100
# Descriptors that the platform keeps for files.
FILE_FDS = 200
HEADS, BODIES, CONNECTIONS = 400, 40, 600
FEW_FDS = 600
PIPELINED = 10
WORK_S = 30.0


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    async def send_crowd(
        self, count, pieces, at="listen", memory_mb=MEMORY_MB, max_fds=MAX_FDS, work_s=WORK_S
    ):
        async with DaemonProcess(memory_mb, max_fds, work_s) as daemon:
            crowd = Crowd(daemon.addresses[at])
            self.addCleanup(crowd.close)
            await crowd.connect(count)
            await crowd.send(pieces)
            daemon.measure()
            self.assertIsNone(daemon.process.returncode)
            self.assertEqual(await daemon.request(), 200)
            daemon.measure()
            self.assertIsNone(daemon.process.returncode)
        self.assertLess(daemon.usage.memory, memory_mb * 1e6, daemon.usage)
        self.assertLessEqual(daemon.usage.descriptors, max_fds - FILE_FDS, daemon.usage)
        self.assertEqual(daemon.errors, "")


class HeadTest(CrowdCase):
    async def test_heads_of_short_lines_that_do_not_end(self):
        await self.send_crowd(HEADS, [build_short_lines()])

    async def test_whole_heads_of_short_lines(self):
        await self.send_crowd(HEADS, [build_short_lines() + b"\r\n"])

    async def test_pipelined_heads_of_short_lines(self):
        heads = [build_short_lines(b"r%d" % number) + b"\r\n" for number in range(PIPELINED)]
        await self.send_crowd(HEADS // 4, [b"".join(heads)])

    async def test_heads_of_short_lines_at_the_readiness_address(self):
        await self.send_crowd(HEADS, [build_short_lines()], at="ready")

    async def test_heads_of_short_lines_at_the_address_of_metrics(self):
        await self.send_crowd(HEADS, [build_short_lines()], at="status")


class BodyTest(CrowdCase):
    async def test_bodies_that_do_not_end(self):
        await self.send_crowd(BODIES, [build_body()])

    async def test_bodies_in_pieces_that_do_not_end(self):
        await self.send_crowd(BODIES, split(build_body(), 30_000))

    async def test_whole_bodies_at_an_engine_at_work(self):
        await self.send_crowd(BODIES, [build_body(0)])

    async def test_large_chunks_that_do_not_end(self):
        await self.send_crowd(BODIES, [build_chunks(1_000_000)])

    async def test_chunks_of_64_kib_that_do_not_end(self):
        await self.send_crowd(BODIES, [build_chunks(65_536)])

    async def test_chunks_of_100_bytes_that_do_not_end(self):
        await self.send_crowd(BODIES, [build_chunks(100)])

    async def test_chunks_of_10_bytes_that_do_not_end(self):
        await self.send_crowd(BODIES, [build_chunks(10)])


class ConnectionTest(CrowdCase):
    async def test_connections_that_send_nothing(self):
        await self.send_crowd(CONNECTIONS, [], max_fds=FEW_FDS)

    async def test_connections_with_a_part_of_a_head(self):
        await self.send_crowd(CONNECTIONS, [build_start()], max_fds=FEW_FDS)

    async def test_connections_to_the_readiness_address(self):
        await self.send_crowd(CONNECTIONS, [], at="ready", max_fds=FEW_FDS)


class CalmTest(unittest.IsolatedAsyncioTestCase):
    async def test_single_requests_at_the_edge_of_the_limits_are_served(self):
        requests = {
            "short lines": build_short_lines() + b"\r\n",
            "body": build_body(0),
            "chunks of 1 MB": build_chunks(1_000_000, 0),
            "chunks of 64 KiB": build_chunks(65_536, 0),
            "chunks of 100 bytes": build_chunks(100, 0),
        }
        async with DaemonProcess(MEMORY_MB, MAX_FDS) as daemon:
            for name, data in requests.items():
                with self.subTest(name):
                    self.assertEqual(await daemon.request(data), 200)
        self.assertLess(daemon.usage.memory, MEMORY_MB * 1e6, daemon.usage)


if __name__ == "__main__":
    unittest.main()
