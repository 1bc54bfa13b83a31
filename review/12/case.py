"""Seven entries of another writer take the memory of every daemon, and of each that starts."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import sys
import time
from pathlib import Path

import msgspec

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import magnoliarouter.tests.platform_standin as platform_standin  # noqa: E402
from application import Application  # noqa: E402
from deployment import DISRUPTED, KEY, LIMITS, TENANTS, Front, open_store, run  # noqa: E402

# `memory_mb` of the smallest front machines of the site; `value_bytes` of the store.
MEMORY_MB = 200
VALUE_BYTES = 1_048_576
ENTRIES = 7
CLIENTS_EACH = 8
CONFIG = {
    "version": 7,
    "routes": [{
        "name": "r-1", "host": "ficu95.example", "path_prefix": "/puxa403/", "kind": "unsafe",
        "timeout_ms": 800, "target_latency_ms": 257, "priority": 2, "service": "kelter-app",
        "attempts": 1, "public": False,
    }],
    "services": [{
        "name": "kelter-app", "health_path": "/health", "max_connections": 410,
        "protocol": "h1", "tls": False,
    }],
    "limits": LIMITS,
    "tenants": TENANTS,
}  # fmt: skip


def build_odd_entry(number: int) -> msgspec.Raw:
    """Return an entry of another writer, with a list where the number of slots belongs."""
    entry = {"service": "inventory", "address": f"10.0.0.{number}", "zone": "zone-1", "slots": []}
    if DISRUPTED:
        room = VALUE_BYTES - len(json.dumps(entry)) - 100
        entry["slots"] = [{"": 0}] * (room // len('{"":0},'))
    return msgspec.Raw(json.dumps(entry, separators=(",", ":")).encode())


def read_rss_mb(pid: int) -> float:
    """Return the memory that a process has, in MB."""
    with contextlib.suppress(OSError, StopIteration):
        lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
        return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1000
    return 0.0


class Client:
    """Client that books on connections that it keeps, one booking after the other."""

    def __init__(self, number: int, front: Front, record) -> None:
        self.number, self.front, self.record = number, front, record
        self.sent = self.answered = 0
        # Bookings on a connection that had carried an answer, and ended without one.
        self.unanswered: list[str] = []

    async def run(self) -> None:
        writer = None
        for count in itertools.count():
            name, kept = f"{self.number:04x}{count:06x}", writer is not None
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.front.host, self.front.port)
                writer.write(
                    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                    f"X-Request-Id: {name}\r\nX-Deadline-Ms: 1540\r\n"
                    f"Authorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}".encode()
                )
                self.sent += 1
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                lines = head.split("\r\n")
                length = next(int(one[15:]) for one in lines if one.startswith("content-length:"))
                await reader.readexactly(length)
                self.answered += " 200 " in lines[0]
                self.record.say(f"{name}: {lines[0]}")
                if "connection: close" in lines:
                    writer.close()
                    writer = None
            except (OSError, asyncio.IncompleteReadError) as error:
                self.record.say(f"{name}: {type(error).__name__}, kept connection: {kept}")
                if kept:
                    self.unanswered.append(name)
                writer = None
                await asyncio.sleep(0.2)
            await asyncio.sleep(0.02)


async def keep_running(front: Front, record, kills: list[str]) -> None:
    """Kill a process over its memory and start it again, as the platform does."""
    while True:
        await asyncio.sleep(0.02)
        size_mb = read_rss_mb(front.process.pid)
        if size_mb > MEMORY_MB or front.process.returncode is not None:
            record.say(f"{front.name} has {size_mb:.0f} MB of {MEMORY_MB} and is killed")
            kills.append(front.name)
            await front.stop()
            await asyncio.sleep(1.0)
            await front.start()


async def case(record, folder: str) -> bool | None:
    # A part of a list holds about 1 MB at most.
    platform_standin.PAGE_ITEMS = 1
    store = await open_store()
    engines = [
        Application(f"i-{number}7f3a91c2", "kelter-app", record, int((time.time() - 60) * 1000))
        for number in range(4)
    ]
    for engine in engines:
        engine.work_s = 0.045
        await engine.start()
        await store.put("servers", engine.identity, engine.entry())
    await store.put("config", "main", CONFIG)
    fronts = [Front(n, f"zone-{n}", store.address, folder, MEMORY_MB) for n in (1, 2, 3)]
    kills: list[str] = []
    entries = [build_odd_entry(number) for number in range(ENTRIES)]
    try:
        for front in fronts:
            await front.start()
        for front in fronts:
            if not await front.wait_until_ready():
                record.say(f"{front.name} does not get ready: {front.read_log()[-500:]}")
                return None
        clients = [
            Client(number, fronts[number % len(fronts)], record)
            for number in range(CLIENTS_EACH * len(fronts))
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        tasks += [asyncio.create_task(keep_running(front, record, kills)) for front in fronts]
        await asyncio.sleep(4.0)
        for number, entry in enumerate(entries):
            await store.put("servers", f"inventory-{number}", entry)
            sizes = [f"{read_rss_mb(front.process.pid):.0f}" for front in fronts]
            size = len(bytes(entry))
            record.say(f"entry {number} of another writer has {size} bytes; daemons: {sizes} MB")
            await asyncio.sleep(1.5)
        before = sum(client.answered for client in clients)
        await asyncio.sleep(15.0)
        served = sum(client.answered for client in clients) - before
        record.say(f"{served} bookings were answered in the last 15 s, {before} in 13 s before")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        for front in fronts:
            await front.stop()
    ran = {one["x-request-id"] for engine in engines for one in engine.ran}
    lost = [name for client in clients for name in client.unanswered if name in ran]
    record.say(f"kills for memory: {len(kills)}")
    record.say(
        f"BROKEN: {len(lost)} bookings of kept connections ran and got no answer: {lost[:6]}"
    )
    return len(lost) > 3


if __name__ == "__main__":
    sys.exit(run(case, str(HERE)))
