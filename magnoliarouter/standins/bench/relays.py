"""Experiment `relays`: calls that configuration costs the platform, with relays and without."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.peers import PeerClient, PeerError
from magnoliarouter.peers.status import STATUS_METHOD, StatusReply, StatusRequest
from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.bench.measure import read_process
from magnoliarouter.standins.launch import PEER_KEY, Process, Site, contract_value, find_port
from magnoliarouter.store.client import PlatformClient, Written

if TYPE_CHECKING:
    from argparse import Namespace

    import aiohttp

__all__ = ["experiments"]

CUSTOMER = "grower"
CHANGES = 20
CHANGE_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.02
# A daemon that relays to nobody stops watching 15 s after it was last asked.
WATCH_STOP_WAIT_S = 18.0
PROPAGATION_TARGET_S = 5.0


@dataclass(frozen=True, slots=True)
class _Layout:
    """Zones of a site; a daemon alone in its zone watches the platform itself."""

    name: str
    zones: int
    daemons_per_zone: int


LAYOUTS = (
    _Layout("relays_3x3", 3, 3),
    _Layout("relays_1x9", 1, 9),
    _Layout("relays_1x24", 1, 24),
    _Layout("all_watch_9x1", 9, 1),
    _Layout("all_watch_24x1", 24, 1),
)


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = (
        "platform calls of configuration by relays, beside every daemon watching by itself"
    )
    return [Experiment("relays", description, _run)]


async def _run(options: Namespace) -> Report:
    report = Report()
    for layout in LAYOUTS:
        async with Site() as site, open_session() as session, asyncio.timeout(200):
            await _measure(report, layout, site, session, options.seconds or 8.0)
    return report


async def _measure(
    report: Report, layout: _Layout, site: Site, session: aiohttp.ClientSession, seconds: float
) -> None:
    platform = await site.start_standin("platform", "127.0.0.1")
    daemons = await _start_daemons(site, platform, layout)
    await asyncio.sleep(WATCH_STOP_WAIT_S)
    idle_cpu_s = [read_process(process.child.pid).cpu_seconds for process, _ in daemons]
    idle = await _count_calls(session, platform)
    await asyncio.sleep(seconds)
    calls = await _count_calls(session, platform) - idle
    cpu_used_s = [
        read_process(process.child.pid).cpu_seconds - before
        for (process, _), before in zip(daemons, idle_cpu_s, strict=True)
    ]
    before = await _count_calls(session, platform)
    client, peers = PlatformClient(platform.url, session), PeerClient(PEER_KEY)
    addresses = [address for _, address in daemons]
    times = []
    for number in range(CHANGES):
        times += await _measure_propagation(client, peers, addresses, number)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await peers.close()
    # The write itself is one call more.
    change_calls = await _count_calls(session, platform) - before - CHANGES
    figures = report.figures
    figures[f"{layout.name}_idle_calls_per_s"] = round(calls / seconds, 2)
    figures[f"{layout.name}_calls_per_change"] = round(change_calls / CHANGES, 2)
    figures[f"{layout.name}_idle_core_share_most"] = round(max(cpu_used_s) / seconds, 4)
    figures[f"{layout.name}_force_p50_s"] = round(percentile(times, 0.5), 3)
    figures[f"{layout.name}_force_worst_s"] = round(max(times), 3)
    report.expect(max(times) <= PROPAGATION_TARGET_S, f"{layout.name}: in force within 5 s")


async def _start_daemons(
    site: Site, platform: Process, layout: _Layout
) -> list[tuple[Process, str]]:
    positions = [
        (zone, number)
        for zone in range(1, layout.zones + 1)
        for number in range(1, layout.daemons_per_zone + 1)
    ]

    async def start(zone: int, number: int) -> tuple[Process, str]:
        host = f"127.0.{zone}.1"
        port = find_port(host)
        settings = {
            "role": "entry",
            "name": f"zone-{zone}-entry-{number}",
            "zone": f"zone-{zone}",
            "platform": platform.url,
            "listen": {"host": host},
            "peers": {"host": host, "port": port},
            "peer_key": PEER_KEY,
            "admission": "static",
        }
        return await site.start_daemon(settings), f"{host}:{port}"

    return [await start(*position) for position in positions]


async def _count_calls(session: aiohttp.ClientSession, platform: Process) -> int:
    async with session.get(f"{platform.url}/calls") as response:
        return sum(msgspec.json.decode(await response.read(), type=dict[str, int]).values())


async def _measure_propagation(
    client: PlatformClient, peers: PeerClient, addresses: list[str], number: int
) -> list[float]:
    """Write a contract and return the seconds until it is in force at each daemon."""
    limits = {"requests_per_second": 1 + number, "tokens_per_second": 100}
    value = contract_value(CUSTOMER, "key", current=limits)
    written = await client.write("contract", CUSTOMER, value)
    assert isinstance(written, Written), written
    loop = asyncio.get_running_loop()
    start = loop.time()
    request = StatusRequest("contract", [CUSTOMER])

    async def wait_for(address: str) -> float:
        while loop.time() - start < 2 * PROPAGATION_TARGET_S:
            try:
                reply = await peers.call(address, STATUS_METHOD, request, StatusReply)
            except PeerError:
                continue
            if reply.applied[CUSTOMER] >= written.version:
                return loop.time() - start
            await asyncio.sleep(POLL_INTERVAL_S)
        return float("inf")

    return await asyncio.gather(*map(wait_for, addresses))
