"""Experiment `capacity`: growth of memory, messages and CPU time, and the cost at full size."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.bench.fit import fit_line
from magnoliarouter.standins.bench.measure import ProcessReading, read_process
from magnoliarouter.standins.demo import wait_for_model
from magnoliarouter.standins.launch import Process, Site, contract_value, find_port
from magnoliarouter.standins.load import CompletionRequest, open_load_session, send_at_rate
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from argparse import Namespace

    import aiohttp

__all__ = ["experiments"]

CONTRACT_COUNTS = (10, 1000, 2900)
ENDPOINT_COUNTS = (16, 200, 600)
ENTRY_COUNTS = (3, 9, 18)
ZONES = 3
PLANNED_DAEMONS = 380
PLANNED_ENDPOINTS = 600
SETTLE_S = 4.0
BYTES_PER_MB = 1_000_000
CORE_SHARE_TARGET = 0.014
MEMORY_TARGET_MB = 32
TRAFFIC_TARGET_KB_S = 13
AMENDMENTS = 100
LIMITS = {"requests_per_second": 10, "tokens_per_second": 3000}
CONCURRENT_WRITES = 16
PEAK_REQUESTS_PER_S = 14.5


@dataclass(frozen=True, slots=True)
class _SiteSize:
    """Number of contracts, endpoints and entry daemons of a measured site."""

    contracts: int
    endpoints: int
    entries: int


@dataclass(frozen=True, slots=True)
class _ControlCost:
    """Cost of the entry daemons of a site; each field is a mean, a maximum or a sum.

    Without load, this is the cost of the control plane alone.

    Parameters
    ----------
    resident_mb, anonymous_mb : float
        Memory in MB, the largest over the daemons.
    core_share, worst_core_share : float
        CPU seconds per second, mean and largest over the daemons.
    peers_kb_s : float
        Kilobytes per second to and from peers, mean over the daemons; each byte counts at its sender
        and its receiver.
    platform_reads_s, platform_writes_s, platform_watches_s : float
        Calls per second to the platform, sum over the whole site.
    """

    resident_mb: float
    anonymous_mb: float
    core_share: float
    worst_core_share: float
    peers_kb_s: float
    platform_reads_s: float
    platform_writes_s: float
    platform_watches_s: float


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = "memory, processor time, bytes and platform calls against the size of the fleet"
    return [Experiment("capacity", description, _run)]


async def _run(options: Namespace) -> Report:
    seconds = options.seconds or 15.0
    report = Report()
    await _measure_data_path_memory(report)
    smallest = _SiteSize(CONTRACT_COUNTS[0], ENDPOINT_COUNTS[0], ENTRY_COUNTS[0])
    costs = {smallest: await _measure_site(report, smallest, seconds)}
    for count in CONTRACT_COUNTS[1:]:
        size = _SiteSize(count, smallest.endpoints, smallest.entries)
        costs[size] = await _measure_site(report, size, seconds)
    for count in ENDPOINT_COUNTS[1:]:
        size = _SiteSize(smallest.contracts, count, smallest.entries)
        costs[size] = await _measure_site(report, size, seconds)
    for count in ENTRY_COUNTS[1:]:
        size = _SiteSize(smallest.contracts, smallest.endpoints, count)
        costs[size] = await _measure_site(report, size, seconds)
    full = _SiteSize(CONTRACT_COUNTS[-1], ENDPOINT_COUNTS[-1], ENTRY_COUNTS[0])
    costs[full] = await _measure_site(report, full, seconds)
    _record_slopes(report, costs, smallest)
    await _measure_quota(report, seconds, options.seed)
    _check_targets(report, costs[full])
    return report


async def _measure_data_path_memory(report: Report) -> None:
    """Record the memory of a process that loads the data path's libraries but no control code."""
    async with Site() as site:
        process = await site.start_standin("echo", "127.0.0.1", "--data-path")
        reading = read_process(process.child.pid)
    report.figures["bare_resident_mb"] = round(reading.resident_bytes / BYTES_PER_MB, 1)
    report.figures["bare_anonymous_mb"] = round(reading.anonymous_bytes / BYTES_PER_MB, 1)


def _record_slopes(
    report: Report, costs: dict[_SiteSize, _ControlCost], smallest: _SiteSize
) -> None:
    by_contract = [
        (s.contracts, c)
        for s, c in costs.items()
        if s.endpoints == smallest.endpoints and s.entries == smallest.entries
    ]
    by_endpoint = [
        (s.endpoints, c)
        for s, c in costs.items()
        if s.contracts == smallest.contracts and s.entries == smallest.entries
    ]
    by_entry = [
        (s.entries, c)
        for s, c in costs.items()
        if s.contracts == smallest.contracts and s.endpoints == smallest.endpoints
    ]
    for name, points in (("contract", by_contract), ("endpoint", by_endpoint), ("entry", by_entry)):
        memory = fit_line([(x, 1000 * c.anonymous_mb) for x, c in points])
        core = fit_line([(x, 1e6 * c.core_share) for x, c in points])
        traffic = fit_line([(x, 1000 * c.peers_kb_s) for x, c in points])
        report.figures[f"per_{name}_memory_kb"] = round(memory.slope, 3)
        report.figures[f"per_{name}_core_us_per_s"] = round(core.slope, 2)
        report.figures[f"per_{name}_peers_bytes_per_s"] = round(traffic.slope, 2)
        for kind in ("reads", "writes", "watches"):
            calls = fit_line([(x, getattr(c, f"platform_{kind}_s")) for x, c in points])
            report.figures[f"per_{name}_platform_{kind}_per_s"] = round(calls.slope, 4)


def _check_targets(report: Report, full: _ControlCost) -> None:
    report.expect(full.core_share <= CORE_SHARE_TARGET, "control within 1.4% of a core")
    report.expect(full.peers_kb_s <= TRAFFIC_TARGET_KB_S, "control within 13 KB/s")
    control = full.resident_mb - report.figures["bare_resident_mb"]
    report.figures["control_resident_mb"] = round(control, 1)
    report.expect(control <= MEMORY_TARGET_MB, "control within 32 MB")


async def _measure_site(report: Report, size: _SiteSize, seconds: float) -> _ControlCost:
    async with Site() as site, open_load_session() as session, asyncio.timeout(300):
        platform = await site.start_standin("platform", "127.0.0.1")
        await _write_contracts(platform, session, size.contracts)
        fleet = await site.start_standin(
            "fleet",
            "127.0.0.1",
            f"--platform={platform.url}",
            f"--count={size.endpoints}",
            f"--zones={ZONES}",
            f"--rate={PEAK_REQUESTS_PER_S * PLANNED_DAEMONS / PLANNED_ENDPOINTS}",
        )
        await _wait_for_fleet(session, fleet, size.endpoints)
        entries, proxy = await _start_entries(site, platform, size.entries)
        await asyncio.sleep(SETTLE_S)
        cost = await _measure_cost(session, platform, entries, proxy, seconds)
        await _measure_amendments(report, session, platform, entries, size)
    name = f"c{size.contracts}_e{size.endpoints}_d{size.entries}"
    for field in _ControlCost.__dataclass_fields__:
        report.figures[f"{name}_{field}"] = round(getattr(cost, field), 4)
    return cost


async def _write_contracts(platform: Process, session: aiohttp.ClientSession, count: int) -> None:
    client = PlatformClient(platform.url, session)
    limiter = asyncio.Semaphore(CONCURRENT_WRITES)

    async def write(index: int) -> None:
        name = f"customer-{index}"
        value = contract_value(name, f"key-{index}", current=LIMITS, late=LIMITS)
        async with limiter:
            await client.write("contract", name, value, expect=0)

    await asyncio.gather(*(write(index) for index in range(count)))


async def _wait_for_fleet(session: aiohttp.ClientSession, fleet: Process, count: int) -> None:
    while True:
        async with session.get(fleet.url) as response:
            if (await response.json())["registered"] == count:
                return
        await asyncio.sleep(0.1)


async def _start_entries(
    site: Site, platform: Process, count: int, extra: dict[str, Any] | None = None
) -> tuple[list[Process], Process]:
    """Start entry daemons whose peer ports are reached through a byte-counting proxy."""
    hosts = [f"127.0.{number % ZONES + 1}.1" for number in range(count)]
    listed_ports = [find_port(host) for host in hosts]
    served_ports = [find_port(host) for host in hosts]
    routes = [
        f"--route=entry-{number}={host}:{listed_ports[number]}={host}:{served_ports[number]}"
        for number, host in enumerate(hosts)
    ]
    proxy = await site.start_standin("proxy", "127.0.0.1", *routes)
    starts = (
        site.start_daemon(
            {
                "role": "entry",
                "name": f"entry-{number}",
                "zone": f"zone-{number % ZONES + 1}",
                "zones": [f"zone-{zone + 1}" for zone in range(ZONES)],
                "platform": platform.url,
                "listen": {"host": host},
                "peers": {"host": host, "port": served_ports[number]},
                **(extra or {}),
            },
            listed_port=listed_ports[number],
        )
        for number, host in enumerate(hosts)
    )
    return list(await asyncio.gather(*starts)), proxy


async def _measure_cost(
    session: aiohttp.ClientSession,
    platform: Process,
    entries: list[Process],
    proxy: Process,
    seconds: float,
) -> _ControlCost:
    before = [read_process(entry.child.pid) for entry in entries]
    bytes_before, calls_before = await _count_bytes(session, proxy), await _count_calls(
        session, platform
    )
    await asyncio.sleep(seconds)
    after = [read_process(entry.child.pid) for entry in entries]
    carried = await _count_bytes(session, proxy) - bytes_before
    calls = await _count_calls(session, platform)
    shares = [_core_share(first, last, seconds) for first, last in zip(before, after)]
    return _ControlCost(
        resident_mb=max(reading.resident_bytes for reading in after) / BYTES_PER_MB,
        anonymous_mb=max(reading.anonymous_bytes for reading in after) / BYTES_PER_MB,
        core_share=sum(shares) / len(shares),
        worst_core_share=max(shares),
        peers_kb_s=2 * carried / seconds / len(entries) / 1000,
        platform_reads_s=(calls["read"] - calls_before["read"]) / seconds,
        platform_writes_s=(calls["write"] - calls_before["write"]) / seconds,
        platform_watches_s=(calls["watch"] - calls_before["watch"]) / seconds,
    )


def _core_share(first: ProcessReading, last: ProcessReading, seconds: float) -> float:
    return (last.cpu_seconds - first.cpu_seconds) / seconds


async def _count_bytes(session: aiohttp.ClientSession, proxy: Process) -> int:
    async with session.get(f"{proxy.url}/routes") as response:
        routes = await response.json()
    return sum(counts["bytes_up"] + counts["bytes_down"] for counts in routes.values())


async def _count_calls(session: aiohttp.ClientSession, platform: Process) -> dict[str, int]:
    async with session.get(f"{platform.url}/calls") as response:
        return await response.json()


async def _measure_quota(report: Report, seconds: float, seed: int) -> None:
    """Record the cost that quota loans add to static division at a daemon's peak rate."""
    size = _SiteSize(CONTRACT_COUNTS[-1], ENDPOINT_COUNTS[0], ENTRY_COUNTS[1])
    loaded = {
        admission: await _measure_load(size, seconds, seed, admission)
        for admission in ("static", "escrow")
    }
    for admission, cost in loaded.items():
        report.figures[f"load_{admission}_core_share"] = round(cost.core_share, 4)
        report.figures[f"load_{admission}_peers_kb_s"] = round(cost.peers_kb_s, 3)
        report.figures[f"load_{admission}_resident_mb"] = round(cost.resident_mb, 1)
        report.figures[f"load_{admission}_platform_writes_s"] = cost.platform_writes_s
    added = loaded["escrow"].core_share - loaded["static"].core_share
    report.figures["quota_core_share_at_peak"] = round(added, 4)


async def _measure_load(size: _SiteSize, seconds: float, seed: int, admission: str) -> _ControlCost:
    """Return the cost of a daemon that serves its peak rate from randomly chosen customers."""
    async with Site() as site, open_load_session() as session, asyncio.timeout(300):
        platform = await site.start_standin("platform", "127.0.0.1")
        await _write_contracts(platform, session, size.contracts)
        await _start_engines(site, platform)
        extra = {"admission": admission, "static_share": 1 / size.entries}
        entries, proxy = await _start_entries(site, platform, size.entries, extra)
        await asyncio.gather(*(wait_for_model(session, entry) for entry in entries))
        rng = random.Random(seed)

        def create_request(index: int) -> CompletionRequest:
            entry = entries[index % len(entries)]
            return CompletionRequest(
                entry.url, f"key-{rng.randrange(size.contracts)}", f"note {index}", 1
            )

        rate = PEAK_REQUESTS_PER_S * size.entries
        load = asyncio.create_task(
            send_at_rate(session, create_request, rate, SETTLE_S + seconds, seed)
        )
        await asyncio.sleep(SETTLE_S)
        cost = await _measure_cost(session, platform, entries, proxy, seconds)
        await load
    return cost


async def _start_engines(site: Site, platform: Process) -> None:
    for zone in range(1, ZONES + 1):
        host = f"127.0.{zone}.1"
        engine = await site.start_standin("engine", host, "--slots=100", "--step-seconds=0.001")
        await site.start_daemon(
            {
                "role": "endpoint",
                "name": f"engine-{zone}",
                "zone": f"zone-{zone}",
                "platform": platform.url,
                "listen": {"host": host},
                "target": engine.url,
                "models": ["draft"],
                "slots": 100,
            }
        )


async def _measure_amendments(
    report: Report,
    session: aiohttp.ClientSession,
    platform: Process,
    entries: list[Process],
    size: _SiteSize,
) -> None:
    """Amend one contract repeatedly and record the CPU time of a daemon per change."""
    client = PlatformClient(platform.url, session)
    before = [read_process(entry.child.pid).cpu_seconds for entry in entries]
    for number in range(AMENDMENTS):
        limits = {**LIMITS, "requests_per_second": 11 + number}
        value = contract_value("customer-0", "key-0", current=limits)
        await client.write("contract", "customer-0", value)
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    after = [read_process(entry.child.pid).cpu_seconds for entry in entries]
    used = sum(last - first for first, last in zip(before, after)) / len(entries)
    name = f"c{size.contracts}_e{size.endpoints}_d{size.entries}"
    report.figures[f"{name}_ms_per_amendment"] = round(1000 * used / AMENDMENTS, 3)
