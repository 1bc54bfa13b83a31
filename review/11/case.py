"""One entry of another writer that can't be read, of the allowed size, keeps every daemon busy."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

import msgspec

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import magnoliarouter.tests.platform_standin as platform_standin  # noqa: E402
from application import Application  # noqa: E402
from calls import LATER_S, TIMEOUT_S, Tally, call, judge  # noqa: E402
from deployment import DISRUPTED, LIMITS, TENANTS, Front, open_store, run  # noqa: E402

# `value_bytes` of the store, and the interval at which those that register write their entries.
VALUE_BYTES = 1_048_576
HEARTBEAT_S = 1.2
WATCHED_S = 20.0
CONFIG = {
    "version": 7,
    "routes": [{
        "name": "r-1", "host": "ficu95.example", "path_prefix": "/cufi504/", "kind": "safe",
        "timeout_ms": TIMEOUT_S * 1000, "target_latency_ms": 200, "priority": 2,
        "service": "kelter-app", "attempts": 2, "public": False,
    }],
    "services": [{
        "name": "kelter-app", "health_path": "/health", "max_connections": 110,
        "protocol": "h1", "tls": False,
    }],
    "limits": LIMITS,
    "tenants": TENANTS,
}  # fmt: skip


def build_odd_value(number: int) -> msgspec.Raw:
    """Return a value of another writer: a list of pairs of numbers, and a text with a byte that is no text."""
    text = b'"\xff"' if DISRUPTED else b'"x"'
    head = b'[{"id":%d,"note":%b},' % (number, text)
    record = b"[1,0],"
    return msgspec.Raw(head + record * ((VALUE_BYTES - 200) // len(record)) + b"0]")


async def write_odd_entries(store, record) -> None:
    """Write the entry of another writer about every heartbeat."""
    for number in itertools.count(1):
        await store.put("servers", "inventory-1", build_odd_value(number))
        record.say(f"another writer writes its entry, {len(bytes(build_odd_value(number)))} bytes")
        await asyncio.sleep(HEARTBEAT_S)


async def case(record, folder: str) -> bool | None:
    # A part of a list holds about 1 MB at most.
    platform_standin.PAGE_ITEMS = 1
    store = await open_store()
    engines = [
        Application(f"i-{number}7f3a91c2", "kelter-app", record, int((time.time() - 60) * 1000))
        for number in range(3)
    ]
    for engine in engines:
        engine.work_s = 0.03
        await engine.start()
        await store.put("servers", engine.identity, engine.entry())
    await store.put("config", "main", CONFIG)
    fronts = [Front(number, f"zone-{number}", store.address, folder) for number in (1, 2, 3)]
    tally = Tally()
    try:
        for front in fronts:
            await front.start()
        for front in fronts:
            if not await front.wait_until_ready():
                record.say(f"{front.name} does not get ready: {front.read_log()[-500:]}")
                return None
        tasks = [
            asyncio.create_task(call(front, f"{number}c", tally, record))
            for number, front in enumerate(fronts)
        ]
        # All machines are in touch from here on: they, their links and the store are undisturbed.
        await asyncio.sleep(4.0)
        tasks.append(asyncio.create_task(write_odd_entries(store, record)))
        began = time.monotonic()
        await asyncio.sleep(WATCHED_S)
        ended = time.monotonic() - TIMEOUT_S - LATER_S
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        for front in fronts:
            await front.stop()
    return judge(tally, began, ended, record)


if __name__ == "__main__":
    sys.exit(run(case, str(HERE)))
