"""Overload: a late payer's flood beside paying customers, and shares when engines are full."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.launch import Process, Site, contract_value
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

__all__ = ["experiments"]

ZONES = ("zone-1", "zone-2", "zone-3")
TOKENS = 20
DECODE_STEP_S = 0.02
ENGINE_SLOTS = 8
FLOOD_FACTOR = 10
MAX_P95_RATIO = 1.10
SERVED_SHARE_TARGET = 0.95
READY_ATTEMPTS = 100


@dataclass(frozen=True, slots=True)
class _Customer:
    name: str
    standing: str
    rate: float
    weight: float = 1.0
    priority: int = 0


CURRENT_CUSTOMERS = tuple(_Customer(f"current-{index}", "current", 6.0) for index in range(3))
LATE_CUSTOMER = _Customer("late", "late", 4.0, priority=5)
HEAVY = _Customer("heavy", "current", 200.0, weight=2.0)
LIGHT = _Customer("light", "current", 200.0, weight=1.0)
LATE_COMPETITOR = _Customer("behind", "late", 200.0, priority=5)


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    return [Experiment("overload", "late payer's flood, and shares of full engines", _run)]


async def _run(options: Namespace) -> Report:
    report = Report()
    seconds = options.seconds or 10.0
    async with Site() as site, open_load_session() as session, asyncio.timeout(240):
        entries = await _start(site, session)
        await _send(
            session, entries, {customer: customer.rate for customer in CURRENT_CUSTOMERS}, 3.0, 0
        )
        await _compare_flood(report, session, entries, seconds, options.seed)
        await _saturate_engines(report, session, entries, seconds, options.seed)
    return report


async def _start(site: Site, session: aiohttp.ClientSession) -> list[Process]:
    platform = await site.start_standin("platform", "127.0.0.1")
    client = PlatformClient(platform.url, session)
    for customer in (*CURRENT_CUSTOMERS, LATE_CUSTOMER, HEAVY, LIGHT, LATE_COMPETITOR):
        limits = {
            "requests_per_second": customer.rate,
            "tokens_per_second": 50 * customer.rate,
            "concurrent_requests": 400,
            "priority": customer.priority,
            "weight": customer.weight,
        }
        value = contract_value(
            customer.name, customer.name, customer.standing, **{customer.standing: limits}
        )
        await client.write("contract", customer.name, value)
    await asyncio.gather(
        *(_start_engine(site, platform, number, zone) for number, zone in enumerate(ZONES, 1))
    )
    entries = await asyncio.gather(
        *(_start_entry(site, platform, number, zone) for number, zone in enumerate(ZONES, 1))
    )
    await asyncio.gather(*(_wait_until_served(session, entry) for entry in entries))
    return list(entries)


async def _start_engine(site: Site, platform: Process, number: int, zone: str) -> None:
    host = f"127.0.{number}.1"
    engine = await site.start_standin(
        "engine", host, "--slots", str(ENGINE_SLOTS), "--step-seconds", str(DECODE_STEP_S)
    )
    await site.start_daemon(
        {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": zone,
            "platform": platform.url,
            "listen": {"host": host},
            "target": engine.url,
            "models": ["draft"],
            "slots": ENGINE_SLOTS,
            "queue_length": 2,
        }
    )


async def _start_entry(site: Site, platform: Process, number: int, zone: str) -> Process:
    return await site.start_daemon(
        {
            "role": "entry",
            "name": f"entry-{number}",
            "zone": zone,
            "zones": list(ZONES),
            "platform": platform.url,
            "listen": {"host": f"127.0.{number}.1"},
            "queue_length": 32,
            "request_seconds": 20.0,
        }
    )


async def _wait_until_served(session: aiohttp.ClientSession, entry: Process) -> None:
    for _ in range(READY_ATTEMPTS):
        results = await send_at_rate(
            session, lambda index: CompletionRequest(entry.url, LIGHT.name, "ready", 1), 5.0, 0.2, 1
        )
        if results and results[0].status == 200:
            return
        await asyncio.sleep(0.1)


async def _send(
    session: aiohttp.ClientSession,
    entries: list[Process],
    demand: dict[_Customer, float],
    seconds: float,
    seed: int,
) -> dict[_Customer, list[CompletionResult]]:
    """Send each payer's demand, spread over the entry daemons."""

    async def send_one(
        customer_index: int, customer: _Customer, rate: float
    ) -> list[CompletionResult]:
        def create_request(index: int) -> CompletionRequest:
            url = entries[index % len(entries)].url
            return CompletionRequest(url, customer.name, f"{customer.name} {index}", TOKENS)

        return await send_at_rate(session, create_request, rate, seconds, seed + customer_index)

    results = await asyncio.gather(
        *(
            send_one(customer_index, customer, rate)
            for customer_index, (customer, rate) in enumerate(demand.items())
        )
    )
    return dict(zip(demand, results, strict=True))


async def _compare_flood(
    report: Report,
    session: aiohttp.ClientSession,
    entries: list[Process],
    seconds: float,
    seed: int,
) -> None:
    """Measure current customers without the late payer, within its contract, and flooding."""
    base = {customer: 0.8 * customer.rate for customer in CURRENT_CUSTOMERS}
    times = {}
    for name, factor in (("without", 0.0), ("within", 1.0), ("flood", FLOOD_FACTOR)):
        demand = {**base, LATE_CUSTOMER: factor * LATE_CUSTOMER.rate} if factor else base
        results = await _send(session, entries, demand, seconds, seed)
        first_token_times = [
            r.first_token_s
            for customer in CURRENT_CUSTOMERS
            for r in results[customer]
            if r.status == 200
        ]
        times[name] = percentile(first_token_times, 0.95)
        report.figures[f"{name}_current_first_token_p95_ms"] = round(1000 * times[name], 1)
        served = [r.status == 200 for customer in CURRENT_CUSTOMERS for r in results[customer]]
        share = sum(served) / len(served)
        report.figures[f"{name}_current_served_share"] = round(share, 3)
        report.expect(share >= SERVED_SHARE_TARGET, f"{name}: current customers get their contract")
        if factor:
            late = sum(r.status == 200 for r in results[LATE_CUSTOMER]) / (
                LATE_CUSTOMER.rate * seconds
            )
            report.figures[f"{name}_late_served_of_contract"] = round(late, 3)
    p95_ratio = times["flood"] / times["without"]
    report.figures["flood_rise_of_current_p95"] = round(p95_ratio, 3)
    report.expect(p95_ratio <= MAX_P95_RATIO, "p95 of current customers moves by at most 10%")


def _read_refusal(result: CompletionResult) -> str:
    try:
        return msgspec.json.decode(result.body)["error"]["name"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {result.status}"


async def _saturate_engines(
    report: Report,
    session: aiohttp.ClientSession,
    entries: list[Process],
    seconds: float,
    seed: int,
) -> None:
    """Let contracts ask for more than the engines have, each for more than its share."""
    capacity = len(ZONES) * ENGINE_SLOTS / (TOKENS * DECODE_STEP_S)
    demand = {HEAVY: 1.5 * capacity, LIGHT: 1.5 * capacity, LATE_COMPETITOR: 0.5 * capacity}
    results = await _send(session, entries, demand, seconds, seed)
    served = {customer: sum(r.status == 200 for r in results[customer]) for customer in demand}
    total = sum(served.values())
    for customer, count in served.items():
        report.figures[f"full_{customer.name}_share"] = round(count / total, 3)
        refused = Counter(_read_refusal(r) for r in results[customer] if r.status != 200)
        report.figures[f"full_{customer.name}_refused"] = dict(refused)
    report.figures["full_served_per_s"] = round(total / seconds, 1)
    report.figures["full_capacity_per_s"] = round(capacity, 1)
    ratio = served[HEAVY] / max(1, served[LIGHT])
    report.figures["full_heavy_to_light"] = round(ratio, 2)
    report.expect(1.7 <= ratio <= 2.3, "customers share full engines by weight")
    report.expect(
        served[LATE_COMPETITOR] <= 0.05 * total, "late standing yields to current standing"
    )
