"""Experiment `answers`: no caller gets a wrong or a silently short answer."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.pipeline.deliver import LAST_FRAME
from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.demo import wait_for_model
from magnoliarouter.standins.launch import Process, Site, contract_value, find_port
from magnoliarouter.standins.load import (
    CompletionRequest,
    CompletionResult,
    open_load_session,
    send_completion,
)
from magnoliarouter.standins.unruly import expected_words
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from argparse import Namespace

    import aiohttp

__all__ = ["classify_response", "experiments"]

ENGINES = 3
ENTRIES = 3
REQUESTS = 3000
MAX_CONCURRENT_REQUESTS = 300
TOKENS = 12
FAULT_SHARE = 0.3
ROUTE_FAULTS = {"cut_down": 0.01, "cut_up": 0.005, "duplicate": 0.05, "jitter": 0.02}
LIMITS = {
    "requests_per_second": 100_000,
    "tokens_per_second": 100_000_000,
    "concurrent_requests": 100_000,
}


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = (
        "whole and right answers or visible errors, when answers come late, crossed or cut"
    )
    return [Experiment("answers", description, _run)]


def classify_response(request: CompletionRequest, result: CompletionResult) -> str:
    """Return "right", "error" for a visible failure, or "wrong" for a silent one."""
    if result.status != 200 or not result.complete:
        return "error"
    try:
        text = _decode_stream(result.body) if request.stream else _decode_completion(result.body)
    except msgspec.DecodeError:
        return "wrong"
    return "right" if text == "".join(expected_words(request.prompt, TOKENS)) else "wrong"


class _Choice(msgspec.Struct):
    text: str


class _CompletionBody(msgspec.Struct):
    choices: list[_Choice]


def _decode_completion(body: bytes) -> str:
    return msgspec.json.decode(body, type=_CompletionBody).choices[0].text


def _decode_stream(body: bytes) -> str:
    frames = body.removesuffix(LAST_FRAME).split(b"\n\n")
    return "".join(_decode_completion(frame.removeprefix(b"data: ")) for frame in frames if frame)


async def _run(options: Namespace) -> Report:
    report = Report()
    async with Site() as site, open_load_session() as session, asyncio.timeout(300):
        engines, entries, proxies = await _start(site, session, options.seed)
        for proxy in proxies:
            faults = {**ROUTE_FAULTS, "seed": options.seed}
            await session.put(f"{proxy.url}/routes/*", data=msgspec.json.encode(faults))
        verdicts = await _send_requests(session, entries, options.seed)
        await _record_fault_counts(report, session, engines, proxies)
    report.figures.update({f"answers_{name}": count for name, count in verdicts.items()})
    report.expect(not verdicts["wrong"], "no wrong or silently short answer")
    report.expect(verdicts["right"] >= REQUESTS // 2, "at least half of the answers right")
    return report


async def _start(
    site: Site, session: aiohttp.ClientSession, seed: int
) -> tuple[list[Process], list[Process], list[Process]]:
    platform = await site.start_standin("platform", "127.0.0.1")
    client = PlatformClient(platform.url, session)
    await client.write("contract", "load", contract_value("load", "key", current=LIMITS))
    engines, proxies = [], []
    for number in range(1, ENGINES + 1):
        engine, proxy = await _start_endpoint(site, platform, number, seed)
        engines.append(engine)
        proxies.append(proxy)
    entries = [
        await site.start_daemon(
            {
                "role": "entry",
                "name": f"entry-{number}",
                "zone": f"zone-{number}",
                "zones": [f"zone-{other}" for other in range(1, ENTRIES + 1)],
                "platform": platform.url,
                "listen": {"host": f"127.0.{number}.1"},
            }
        )
        for number in range(1, ENTRIES + 1)
    ]
    for entry in entries:
        await wait_for_model(session, entry)
    return engines, entries, proxies


async def _start_endpoint(
    site: Site, platform: Process, number: int, seed: int
) -> tuple[Process, Process]:
    """Start an engine and its guard with a faulty route before each."""
    host = f"127.0.{number}.1"
    engine = await site.start_standin(
        "unruly", host, "--fault-share", str(FAULT_SHARE), "--seed", str(seed + number)
    )
    guard_route_port, engine_route_port = find_port(host), find_port(host)
    guard_port = find_port(host)
    proxy = await site.start_standin(
        "proxy",
        host,
        f"--route=guard={host}:{guard_route_port}={host}:{guard_port}",
        f"--route=engine={host}:{engine_route_port}={engine.address}",
    )
    await site.start_daemon(
        {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": f"zone-{number}",
            "platform": platform.url,
            "listen": {"host": host, "port": guard_port},
            "advertise": f"{host}:{guard_route_port}",
            "target": f"http://{host}:{engine_route_port}",
            "models": ["draft"],
            "slots": 500,
        }
    )
    return engine, proxy


async def _send_requests(
    session: aiohttp.ClientSession, entries: list[Process], seed: int
) -> Counter[str]:
    rng = random.Random(seed)
    verdicts: Counter[str] = Counter(right=0, error=0, wrong=0)
    limiter = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def send_one(index: int) -> None:
        url = rng.choice(entries).url
        stream = rng.random() < 0.5
        request = CompletionRequest(url, "key", f"case {index}", TOKENS, stream)
        async with limiter:
            result = await send_completion(session, request)
        verdicts[classify_response(request, result)] += 1

    await asyncio.gather(*(send_one(index) for index in range(REQUESTS)))
    return verdicts


async def _record_fault_counts(
    report: Report,
    session: aiohttp.ClientSession,
    engines: list[Process],
    proxies: list[Process],
) -> None:
    fault_counts: Counter[str] = Counter()
    for engine in engines:
        async with session.get(f"{engine.url}/stats") as response:
            fault_counts.update(await response.json())
    for proxy in proxies:
        async with session.get(f"{proxy.url}/routes") as response:
            for counts in (await response.json()).values():
                fault_counts.update({f"route_{name}": count for name, count in counts.items()})
    report.figures.update({f"cause_{name}": count for name, count in sorted(fault_counts.items())})
