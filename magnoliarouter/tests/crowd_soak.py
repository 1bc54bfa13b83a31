"""Seeded soak of a gateway daemon before crowds of misbehaving clients that overlap.

By hand: ``python -m magnoliarouter.tests.crowd_soak --seeds 50``.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter

from magnoliarouter.tests.crowds import (
    Crowd,
    DaemonProcess,
    build_body,
    build_chunks,
    build_short_lines,
    build_start,
    split,
)
from magnoliarouter.tests.soakplay import play_seeds

MEMORY_MB, MAX_FDS, FILE_FDS = 96, 1_000, 200
# Sockets that the test itself may have open.
MAX_CALLERS = 2_000
HEADS = {
    "head": build_short_lines(),
    "whole head": build_short_lines() + b"\r\n",
    "pipelined heads": (build_short_lines() + b"\r\n") * 10,
    "part of a head": build_start(),
    "small requests": (build_start() + b"Content-Length: 0\r\n\r\n") * 20,
    "expecting": build_start() + b"Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n",
    "nothing": b"",
    "no HTTP": b"\x16\x03\x01" * 2000,
}
BODIES = {
    "body": build_body(),
    "whole body": build_body(0),
    "chunks of 1 MB": build_chunks(1_000_000),
    "chunks of 64 KiB": build_chunks(65_536),
    "chunks of 100 bytes": build_chunks(100),
    "chunks of 10 bytes": build_chunks(10)[:1_000_000],
}


class CrowdSoak:
    """One run: crowds come and go, ordinary requests are sent beside them."""

    def __init__(self, seed, seconds):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self.counts = Counter()
        self.violations = []
        self._refused = set()
        self._callers = 0

    async def run(self):
        """Return a summary and the broken promises."""
        async with DaemonProcess(MEMORY_MB, MAX_FDS, self._rng.choice((0.0, 0.5, 30.0))) as daemon:
            self._daemon = daemon
            tasks = [asyncio.create_task(self._send_crowds())]
            tasks += [asyncio.create_task(self._send_requests(number)) for number in range(3)]
            tasks.append(asyncio.create_task(self._disturb()))
            await asyncio.sleep(self._seconds)
            tasks[0].cancel()
            self._check(await daemon.request() == 200, "an ordinary request beside the crowds")
            daemon.measure()
            self._check(daemon.process.returncode is None, "the daemon lives")
            if self._rng.random() < 0.5:
                daemon.process.send_signal(signal.SIGTERM)
                self._check(await daemon.process.wait() == 0, "the daemon ends in order")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        usage = daemon.usage
        self._check(usage.memory < MEMORY_MB * 1e6, f"memory: {usage}")
        self._check(usage.descriptors <= MAX_FDS - FILE_FDS, f"descriptors: {usage}")
        self._check(not daemon.errors, f"no error: {daemon.errors[:2000]}")
        ran = {head.split("X-Request-Id: ")[1].split("\r\n")[0] for head in daemon.idle.heads}
        self._check(not ran & self._refused, "what is refused does not run")
        return f"{usage} {dict(self.counts)}", self.violations

    def _check(self, holds, promise):
        if not holds:
            self.violations.append(promise)

    async def _send_crowds(self):
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send_crowd())
                await asyncio.sleep(self._rng.uniform(0.05, 0.5))

    async def _send_crowd(self):
        rng, large = self._rng, self._rng.random() < 0.5
        name, data = rng.choice(sorted((BODIES if large else HEADS).items()))
        count = rng.randrange(1, 30 if large else 400)
        if self._callers + count > MAX_CALLERS:
            return
        self.counts[name] += count
        self._callers += count
        at = rng.choices(("listen", "ready", "status"), (8, 1, 1))[0]
        crowd = Crowd(self._daemon.addresses[at])
        try:
            await crowd.connect(count)
            size = rng.choice((len(data) or 1, 300_000, 20_000))
            await crowd.send(split(data, size))
            await asyncio.sleep(rng.choice((0.0, 0.5, self._seconds)))
        finally:
            self._callers -= count
            crowd.close()

    async def _send_requests(self, client):
        number = 0
        while True:
            number += 1
            request_id = f"o{client}-{number}"
            try:
                status = await self._daemon.request(
                    build_start(b"/b/x", request_id.encode(), b"GET") + b"\r\n"
                )
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                status = 0
            self.counts[f"ordinary {status}"] += 1
            self._check(status in (0, 200, 503), f"an ordinary request got {status}")
            if status == 503:
                self._refused.add(request_id)
            await asyncio.sleep(self._rng.uniform(0.01, 0.1))

    async def _disturb(self):
        version = 1
        while True:
            await asyncio.sleep(self._rng.uniform(0.2, 2.0))
            if self._rng.random() < 0.5:
                self._daemon.process.send_signal(signal.SIGHUP)
            else:
                version += self._rng.randrange(1, 4)
                await self._daemon.configure(version)


async def play(seed, seconds):
    """Play one seed."""
    return await CrowdSoak(seed, seconds).run()


if __name__ == "__main__":
    sys.exit(play_seeds(__doc__, play))
