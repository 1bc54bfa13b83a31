"""Experiment `placement`: prefix placement against random and least-loaded placement."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.standins.load import (
    CompletionRequest,
    CompletionResult,
    open_load_session,
    send_at_rate,
    send_completion,
)
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    import argparse

    import aiohttp

__all__ = ["experiments"]

POLICIES = ("prefix", "random", "least-loaded")
ZONES = ("zone-1", "zone-2", "zone-3")
ENGINES_PER_ZONE = 2
SLOW_ENGINE = 1
SLOW_SPEED = "0.25"
REPORT_AGE_S = 5.0
DURATION_S = 15.0
REQUESTS_PER_S = 20.0
START_TIMEOUT_S = 20.0
CUSTOMER_KEY = "key-of-placement"
MODEL = "draft"
PREFIXES = 24
PREFIX_CHARACTERS = 2048
TAIL_CHARACTERS = 128
MAX_TOKENS = 20
ENGINE_OPTIONS = (
    "--slots=8",
    "--step-seconds=0.02",
    "--block-seconds=0.004",
    "--cache-blocks=480",
    f"--load-lag={REPORT_AGE_S}",
    "--event-lag=1",
    "--event-gap=0.05",
)
LIMITS = {
    "requests_per_second": 1000,
    "tokens_per_second": 10_000_000,
    "concurrent_requests": 10_000,
}


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = (
        "prefix hit share, 95th percentile of the first token and peak queue with one engine 4x "
        "slower and reports 5 s old, against random and least-loaded placement"
    )
    return [Experiment("placement", description, run)]


async def run(options: argparse.Namespace) -> Report:
    """Run the same load under each policy, one after the other."""
    report = Report()
    seconds = options.seconds or DURATION_S
    for policy in POLICIES:
        report.figures[_figure_name(policy)] = await _run_policy(policy, seconds, options.seed)
    prefix_figures = report.figures["prefix"]
    for policy in POLICIES[1:]:
        other_figures = report.figures[_figure_name(policy)]
        report.expect(
            prefix_figures["hit_share"] > other_figures["hit_share"], f"hit share above {policy}"
        )
        report.expect(
            prefix_figures["first_token_p95_s"] < other_figures["first_token_p95_s"],
            f"first token before {policy}",
        )
        report.expect(
            prefix_figures["peak_queue"] < other_figures["peak_queue"], f"peak queue below {policy}"
        )
    report.expect(all(figures["failed"] == 0 for figures in report.figures.values()), "no failure")
    return report


def _figure_name(policy: str) -> str:
    return policy.replace("-", "_")


async def _run_policy(policy: str, seconds: float, seed: int) -> dict[str, Any]:
    async with Site() as site, open_load_session() as session:
        engines, entries = await _start(site, session, policy)
        create_request = _create_workload(entries, seed)
        results = await send_at_rate(session, create_request, REQUESTS_PER_S, seconds, seed)
        stats = [await _read_stats(session, engine) for engine in engines]
    return _summarize(results, stats)


async def _start(
    site: Site, session: aiohttp.ClientSession, policy: str
) -> tuple[list[Process], list[Process]]:
    platform = await site.start_standin("platform", "127.0.0.1")
    client = PlatformClient(platform.url, session)
    contract = contract_value("intake-yard", CUSTOMER_KEY, current=LIMITS)
    await client.write("contract", "intake-yard", contract)
    starts = [
        _start_engine(site, platform, zone, zone * ENGINES_PER_ZONE + index)
        for zone in range(len(ZONES))
        for index in range(ENGINES_PER_ZONE)
    ]
    engines = list(await asyncio.gather(*starts))
    entries = list(
        await asyncio.gather(
            *(_start_entry(site, platform, zone, policy) for zone in range(len(ZONES)))
        )
    )
    for entry in entries:
        await _wait_for_endpoints(session, entry)
    return engines, entries


async def _start_engine(site: Site, platform: Process, zone: int, number: int) -> Process:
    host = f"127.0.{zone + 1}.{number + 10}"
    speed = SLOW_SPEED if number == SLOW_ENGINE else "1"
    engine = await site.start_standin("engine", host, *ENGINE_OPTIONS, f"--speed={speed}")
    await site.start_daemon(
        {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": ZONES[zone],
            "platform": platform.url,
            "listen": {"host": host},
            "target": engine.url,
            "models": [MODEL],
            "queue_length": 10_000,
            "report_delay_seconds": REPORT_AGE_S,
        }
    )
    return engine


async def _start_entry(site: Site, platform: Process, zone: int, policy: str) -> Process:
    return await site.start_daemon(
        {
            "role": "entry",
            "name": f"entry-{zone + 1}",
            "zone": ZONES[zone],
            "zones": list(ZONES),
            "platform": platform.url,
            "listen": {"host": f"127.0.{zone + 1}.1"},
            "placement_policy": policy,
        }
    )


async def _wait_for_endpoints(session: aiohttp.ClientSession, entry: Process) -> None:
    request = CompletionRequest(entry.url, CUSTOMER_KEY, "warm-up", max_tokens=1)
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            if (await send_completion(session, request)).complete:
                return
            await asyncio.sleep(0.1)


def _create_workload(entries: list[Process], seed: int) -> Any:
    rng = random.Random(seed)
    prefixes = [_random_text(rng, PREFIX_CHARACTERS) for _ in range(PREFIXES)]
    # Popularity falls with the rank, as that of system prompts does.
    weights = [1 / (rank + 1) ** 0.8 for rank in range(PREFIXES)]

    def create_request(index: int) -> CompletionRequest:
        prefix = rng.choices(prefixes, weights)[0]
        prompt = prefix + _random_text(rng, TAIL_CHARACTERS)
        entry = entries[index % len(entries)]
        return CompletionRequest(entry.url, CUSTOMER_KEY, prompt, MAX_TOKENS)

    return create_request


def _random_text(rng: random.Random, length: int) -> str:
    return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz ", k=length))


async def _read_stats(session: aiohttp.ClientSession, engine: Process) -> dict[str, float]:
    async with session.get(f"{engine.url}/stats") as response:
        return msgspec.json.decode(await response.read(), type=dict[str, float])


def _summarize(results: list[CompletionResult], stats: list[dict[str, float]]) -> dict[str, Any]:
    complete = [result for result in results if result.complete]
    requested_blocks = sum(stat["asked_blocks"] for stat in stats)
    return {
        "requests": len(results),
        "failed": len(results) - len(complete),
        "hit_share": round(sum(stat["hit_blocks"] for stat in stats) / requested_blocks, 3),
        "first_token_p50_s": round(
            percentile([result.first_token_s for result in complete], 0.5), 3
        ),
        "first_token_p95_s": round(
            percentile([result.first_token_s for result in complete], 0.95), 3
        ),
        "peak_queue": int(max(stat["peak_queue"] for stat in stats)),
        "slow_engine_share": round(stats[SLOW_ENGINE]["started"] / len(results), 3),
    }
