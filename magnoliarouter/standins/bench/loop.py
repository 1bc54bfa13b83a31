"""Experiment `loop`: cost of a request on the event loops of asyncio and circuits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.bench.measure import read_process
from magnoliarouter.standins.echo import LOOPS
from magnoliarouter.standins.launch import Site
from magnoliarouter.standins.load import open_load_session

if TYPE_CHECKING:
    from argparse import Namespace

    import aiohttp

__all__ = ["experiments"]

REQUESTS = 4000
WARM_UP_REQUESTS = 500
CONCURRENT_CALLERS = 8


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    summary = "processor time of a request on each loop; no target, a basis for the design"
    return [Experiment("loop", summary, _run)]


async def _run(options: Namespace) -> Report:
    report = Report()
    async with Site() as site, open_load_session() as session, asyncio.timeout(120):
        for loop in LOOPS:
            await _measure(report, site, session, loop)
    figures = report.figures
    cheapest = min(figures[f"{loop}_cpu_us_per_request"] for loop in LOOPS[1:])
    ratio = figures["asyncio_cpu_us_per_request"] / cheapest
    report.figures["asyncio_over_cheapest_circuits_loop"] = round(ratio, 2)
    return report


async def _measure(report: Report, site: Site, session: aiohttp.ClientSession, loop: str) -> None:
    process = await site.start_standin("echo", "127.0.0.1", "--loop", loop)
    await _send_requests(session, process.url, WARM_UP_REQUESTS)
    before = read_process(process.child.pid)
    started = asyncio.get_running_loop().time()
    await _send_requests(session, process.url, REQUESTS)
    elapsed = asyncio.get_running_loop().time() - started
    after = read_process(process.child.pid)
    cpu_used_s = after.cpu_seconds - before.cpu_seconds
    report.figures[f"{loop}_cpu_us_per_request"] = round(1_000_000 * cpu_used_s / REQUESTS)
    report.figures[f"{loop}_requests_per_s"] = round(REQUESTS / elapsed)
    report.figures[f"{loop}_resident_mb"] = round(after.resident_bytes / 1_000_000, 1)


async def _send_requests(session: aiohttp.ClientSession, url: str, count: int) -> None:
    async def send_share() -> None:
        for _ in range(count // CONCURRENT_CALLERS):
            async with session.get(f"{url}/echo") as response:
                await response.read()

    await asyncio.gather(*(send_share() for _ in range(CONCURRENT_CALLERS)))
