"""Engines send a further answer late; the map leader takes it for the answer to an order."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from deployment import DISRUPTED, KEY, LIMITS, TENANTS, Front, open_store, run  # noqa: E402
from ranks import EXPERT_MB, EXPERTS, LINK_MBPS, PLACES, SETS, SPARE, Group  # noqa: E402

SIZE = 8
CLIENTS = 8
TRAFFIC_S = 60.0
# Three in five engines send a further answer after three in a hundred, for five of seven seconds.
SHARE, SPOILT, WINDOW_S, PERIOD_S = 0.6, 0.03, 5.0, 7.0
CONFIG = {
    "version": 7,
    "routes": [{
        "name": "r-1", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "streaming",
        "timeout_ms": 8000, "target_latency_ms": 402, "priority": 1, "service": "kelter-llm",
        "attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_aim_ms": 120,
    }],
    "services": [{
        "name": "kelter-llm", "health_path": "/health", "max_connections": 358, "protocol": "h1",
        "tls": False, "engine": {
            "slots": 6, "kv_tokens": 247000, "link_mbps": LINK_MBPS, "stride": 6,
            "models": [{"name": "m"}], "step_ms": 4.84, "per_seq_ms": 0.724,
            "context_per_k": 0.022, "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512,
            "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 158}, "sets": SETS,
            "experts": EXPERTS, "places": PLACES, "spare": SPARE, "expert_mb": EXPERT_MB,
            "expert_share": 0.85, "form_ms": 600.0,
        },
    }],
    "limits": LIMITS,
    "tenants": TENANTS,
}  # fmt: skip


async def ask(front: Front, name: str, record) -> None:
    """Send one request on a connection of its own, and read its whole answer."""
    try:
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(
            f"POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {name}\r\n"
            "X-Model: m\r\nX-Token-Usage: 1460,160\r\nX-Prompt-Prefix: 5c1e07a2:40,"
            f"{name}:1420\r\nX-Deadline-Ms: 8050\r\nAuthorization: Bearer {KEY}\r\n"
            "Connection: close\r\nContent-Length: 2\r\n\r\n{}".encode()
        )
        answer = await asyncio.wait_for(reader.read(-1), 9.0)
        writer.close()
        events = answer.count(b"\nid: ") + answer.count(b"\r\nid: ")
        record.say(f"{name}: {answer[:12].decode('latin-1')}, {events} events, {len(answer)} bytes")
    except (OSError, TimeoutError) as error:
        record.say(f"{name}: {type(error).__name__}")


async def call_again(fronts: list[Front], number: int, record, until: float) -> None:
    """Send one request after the other."""
    for count in itertools.count():
        if time.monotonic() >= until:
            return
        await ask(fronts[(number + count) % len(fronts)], f"{number:04x}{count:04x}", record)
        await asyncio.sleep(0.1)


async def case(record, folder: str) -> bool | None:
    store = await open_store()
    group = Group(SIZE, record, int((time.time() - 60) * 1000))
    chance = random.Random(11)
    began = time.monotonic()
    spoilers = chance.sample(range(SIZE), round(SHARE * SIZE))
    for rank in group.ranks:
        await rank.start()
        await store.put("servers", rank.identity, rank.entry())
        if DISRUPTED and rank.number in spoilers:
            rank.spoils = lambda: (
                (time.monotonic() - began) % PERIOD_S < WINDOW_S and chance.random() < SPOILT
            )
    record.say(f"engines that send further answers: {spoilers if DISRUPTED else []}")
    await store.put("config", "main", CONFIG)
    passes = asyncio.create_task(group.run())
    fronts = [Front(number, f"zone-{number}", store.address, folder) for number in (1, 2)]
    try:
        for front in fronts:
            await front.start()
        for front in fronts:
            if not await front.wait_until_ready():
                record.say(f"{front.name} does not get ready: {front.read_log()[-500:]}")
                return None
        until = time.monotonic() + TRAFFIC_S
        calls = [
            asyncio.create_task(call_again(fronts, number, record, until))
            for number in range(CLIENTS)
        ]
        while time.monotonic() < until and not group.mixed:
            await asyncio.sleep(0.1)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
    finally:
        for front in fronts:
            await front.stop()
        passes.cancel()
    for rank in group.ranks:
        record.say(f"rank {rank.number}: {rank.answers} answers, {rank.extras} further ones")
    record.say(f"passes: {group.step}; maps in use: {sorted(group.maps)}")
    record.say(f"passes with two maps: {group.mixed[:5]}")
    if not group.mixed and len(group.maps) < 3:
        record.say("too few changes of the map to tell anything")
        return None
    return bool(group.mixed)


if __name__ == "__main__":
    sys.exit(run(case, str(HERE)))
