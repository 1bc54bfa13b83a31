"""Experiment `path`: what the two daemons add to a request, and how much one can carry."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.bench.measure import read_process
from magnoliarouter.standins.demo import wait_for_model
from magnoliarouter.standins.launch import Site, contract_value
from magnoliarouter.standins.load import (
    CompletionRequest,
    CompletionResult,
    open_load_session,
    send_at_rate,
)
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from argparse import Namespace

    import aiohttp

    from magnoliarouter.standins.launch import Process

__all__ = ["experiments"]

FIRST_TOKEN_TARGET_S = 1.0
INTER_TOKEN_TARGET_S = 0.043
PEAK_REQUESTS_PER_S = 14.5
PEAK_TOKENS_PER_S = 3400
REQUEST_RATES_PER_S = (15, 75)
TOKENS_PER_REQUEST = 16
STREAM_TOKENS = 100
DECODE_STEP_S = 0.02
LIMITS = {
    "requests_per_second": 100_000,
    "tokens_per_second": 100_000_000,
    "concurrent_requests": 100_000,
}


@dataclass(frozen=True, slots=True)
class _DataPath:
    """Processes of the experiment."""

    engine: Process
    guard: Process
    entry: Process


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = (
        "latency, processor time and tokens/s of the two daemons, beside a direct connection"
    )
    return [Experiment("path", description, _run)]


async def _run(options: Namespace) -> Report:
    seconds = options.seconds or 6.0
    report = Report()
    async with Site() as site, open_load_session() as session, asyncio.timeout(300):
        data_path = await _start(site, session)
        for rate in REQUEST_RATES_PER_S:
            await _compare_latency(report, session, data_path, rate, seconds, options.seed)
        await _measure_peak_token_rate(report, session, data_path, seconds, options.seed)
        await _measure_max_token_rate(report, session, data_path, seconds, options.seed)
    return report


async def _start(site: Site, session: aiohttp.ClientSession) -> _DataPath:
    platform = await site.start_standin("platform", "127.0.0.1")
    client = PlatformClient(platform.url, session)
    await client.write("contract", "load", contract_value("load", "key", current=LIMITS))
    engine = await site.start_standin(
        "engine", "127.0.1.1", "--slots", "2000", "--step-seconds", str(DECODE_STEP_S)
    )
    common = {"zone": "zone-1", "platform": platform.url, "listen": {"host": "127.0.1.1"}}
    guard = await site.start_daemon(
        {
            "role": "endpoint",
            "name": "engine-1",
            "target": engine.url,
            "models": ["draft"],
            "slots": 2000,
            **common,
        }
    )
    entry = await site.start_daemon(
        {"role": "entry", "name": "entry-1", "zones": ["zone-1"], **common}
    )
    await wait_for_model(session, entry)
    return _DataPath(engine, guard, entry)


async def _send(
    session: aiohttp.ClientSession,
    target: Process,
    rate: float,
    tokens: int,
    seconds: float,
    seed: int,
) -> list[CompletionResult]:
    def create_request(index: int) -> CompletionRequest:
        return CompletionRequest(target.url, "key", f"note {index}", tokens)

    return await send_at_rate(session, create_request, rate, seconds, seed)


async def _compare_latency(
    report: Report,
    session: aiohttp.ClientSession,
    data_path: _DataPath,
    rate: float,
    seconds: float,
    seed: int,
) -> None:
    direct = await _send(session, data_path.engine, rate, TOKENS_PER_REQUEST, seconds, seed)
    before = _read_cpu(data_path)
    routed = await _send(session, data_path.entry, rate, TOKENS_PER_REQUEST, seconds, seed)
    used = [after - start for after, start in zip(_read_cpu(data_path), before)]
    for name, results in (("direct", direct), ("routed", routed)):
        _record_latency(report, f"{name}_{rate}rps", results)
    added = percentile([r.first_token_s for r in routed], 0.5) - percentile(
        [r.first_token_s for r in direct], 0.5
    )
    report.figures[f"added_{rate}rps_first_token_p50_ms"] = round(1000 * added, 2)
    for name, seconds_used in zip(("entry", "guard"), used):
        cost = 1000 * seconds_used / len(routed)
        report.figures[f"{name}_{rate}rps_cpu_ms_per_request"] = round(cost, 2)
    _expect_complete(report, routed, f"{rate} requests/s")


async def _measure_peak_token_rate(
    report: Report,
    session: aiohttp.ClientSession,
    data_path: _DataPath,
    seconds: float,
    seed: int,
) -> None:
    rate = PEAK_TOKENS_PER_S / STREAM_TOKENS
    before = _read_cpu(data_path)
    results = await _send(session, data_path.entry, rate, STREAM_TOKENS, seconds, seed)
    used = [after - start for after, start in zip(_read_cpu(data_path), before)]
    _record_latency(report, "stream_peak", results)
    tokens = STREAM_TOKENS * len(results)
    for name, seconds_used in zip(("entry", "guard"), used):
        cost = 1000 * seconds_used / (tokens / 1000)
        report.figures[f"{name}_cpu_ms_per_1000_tokens"] = round(cost, 2)
    _expect_complete(report, results, f"{PEAK_TOKENS_PER_S} tokens/s")


async def _measure_max_token_rate(
    report: Report,
    session: aiohttp.ClientSession,
    data_path: _DataPath,
    seconds: float,
    seed: int,
) -> None:
    """Raise the rate until inter-token time misses its target or the daemon lags behind."""
    best = 0.0
    for factor in (2, 3, 4, 6, 8, 12):
        rate = factor * PEAK_TOKENS_PER_S / STREAM_TOKENS
        start = time.perf_counter()
        results = await _send(session, data_path.entry, rate, STREAM_TOKENS, seconds / 2, seed)
        elapsed = time.perf_counter() - start
        gaps = [gap for result in results for gap in result.gaps]
        report.figures[f"stream_x{factor}_inter_token_p95_ms"] = _milliseconds(gaps)
        if percentile(gaps, 0.95) > INTER_TOKEN_TARGET_S or not all(r.complete for r in results):
            break
        best = max(best, STREAM_TOKENS * len(results) / elapsed)
    report.figures["entry_tokens_per_s_within_target"] = round(best)
    report.expect(
        best >= PEAK_TOKENS_PER_S, f"one entry daemon carries {PEAK_TOKENS_PER_S} tokens/s"
    )


def _read_cpu(data_path: _DataPath) -> list[float]:
    return [read_process(p.child.pid).cpu_seconds for p in (data_path.entry, data_path.guard)]


def _milliseconds(values: list[float], share: float = 0.95) -> float:
    return round(1000 * percentile(values, share), 2)


def _record_latency(report: Report, name: str, results: list[CompletionResult]) -> None:
    figures: dict[str, Any] = report.figures
    figures[f"{name}_requests"] = len(results)
    figures[f"{name}_first_token_p50_ms"] = _milliseconds([r.first_token_s for r in results], 0.5)
    figures[f"{name}_first_token_p95_ms"] = _milliseconds([r.first_token_s for r in results])
    gaps = [gap for result in results for gap in result.gaps]
    figures[f"{name}_inter_token_p95_ms"] = _milliseconds(gaps)


def _expect_complete(report: Report, results: list[CompletionResult], load: str) -> None:
    report.expect(all(r.status == 200 and r.complete for r in results), f"all whole at {load}")
    first = percentile([r.first_token_s for r in results], 0.95)
    report.expect(first <= FIRST_TOKEN_TARGET_S, f"first token within 1 s at {load}")
    gaps = percentile([gap for result in results for gap in result.gaps], 0.95)
    report.expect(gaps <= INTER_TOKEN_TARGET_S, f"43 ms between tokens at {load}")
