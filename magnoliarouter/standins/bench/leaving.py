"""Experiment `leaving`: a guard drains and another is killed under load, the platform being down."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.standins.load import (
    CompletionRequest,
    CompletionResult,
    open_load_session,
    send_at_rate,
    send_completion,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    import aiohttp

__all__ = ["experiments"]

ZONES = ("zone-1", "zone-2", "zone-3")
ENGINES_PER_ZONE = 2
API_KEY = "key-of-leaving"
LIMITS = {"requests_per_second": 1000, "tokens_per_second": 1_000_000, "concurrent_requests": 1000}
REQUESTS_PER_S = 30.0
DURATION_S = 16.0
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
MAX_TOKENS = 25
NO_NEW_WORK_TARGET_S = 3.0


@dataclass(slots=True)
class _Processes:
    """Processes of one run."""

    platform: Process
    engines: list[Process] = field(default_factory=list)
    guards: list[Process] = field(default_factory=list)
    entries: list[Process] = field(default_factory=list)


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = (
        "with the platform down, seconds until a draining guard is offered no more work, and "
        "what callers see of that and of a killed guard"
    )
    return [Experiment("leaving", description, run)]


async def run(options: argparse.Namespace) -> Report:
    """Drain one guard and kill another while requests come in at all daemons."""
    report = Report()
    seconds = options.seconds or DURATION_S
    async with Site() as site, open_load_session() as session:
        processes = await _start(site, session)
        await _take_platform_down(session, processes)
        load = asyncio.create_task(
            send_at_rate(
                session, _create_workload(processes), REQUESTS_PER_S, seconds, options.seed
            )
        )
        await asyncio.sleep(seconds / 4)
        await _drain_guard(report, session, processes, seconds / 4)
        killed_at = await _kill_guard(processes)
        _check_results(report, await load, killed_at)
    return report


async def _start(site: Site, session: aiohttp.ClientSession) -> _Processes:
    processes = _Processes(await site.start_standin("platform", "127.0.0.1"))
    url = f"{processes.platform.url}/v1/objects/contract/intake-yard"
    async with session.put(url, json=contract_value("intake-yard", API_KEY, current=LIMITS)):
        pass
    numbers = range(len(ZONES) * ENGINES_PER_ZONE)
    pairs = await asyncio.gather(*(_start_endpoint(site, processes, number) for number in numbers))
    processes.engines, processes.guards = [engine for engine, _ in pairs], [
        guard for _, guard in pairs
    ]
    processes.entries = list(
        await asyncio.gather(*(_start_entry(site, processes, zone) for zone in range(len(ZONES))))
    )
    for entry in processes.entries:
        await _wait_until_served(session, entry)
    return processes


async def _start_endpoint(
    site: Site, processes: _Processes, number: int
) -> tuple[Process, Process]:
    zone = number // ENGINES_PER_ZONE
    host = f"127.0.{zone + 1}.{number + 10}"
    engine = await site.start_standin("engine", host)
    settings: dict[str, Any] = {
        "role": "endpoint",
        "name": f"engine-{number}",
        "zone": ZONES[zone],
        "platform": processes.platform.url,
        "listen": {"host": host},
        "target": engine.url,
        "models": ["draft"],
    }
    return engine, await site.start_daemon(settings)


async def _start_entry(site: Site, processes: _Processes, zone: int) -> Process:
    settings: dict[str, Any] = {
        "role": "entry",
        "name": f"entry-{zone + 1}",
        "zone": ZONES[zone],
        "zones": list(ZONES),
        "platform": processes.platform.url,
        "listen": {"host": f"127.0.{zone + 1}.1"},
        "admission": "static",
    }
    return await site.start_daemon(settings)


async def _wait_until_served(session: aiohttp.ClientSession, entry: Process) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            if (
                await send_completion(session, CompletionRequest(entry.url, API_KEY, "x", 1))
            ).complete:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def _take_platform_down(session: aiohttp.ClientSession, processes: _Processes) -> None:
    # Reports have to have reached every daemon before the platform goes.
    await asyncio.sleep(NO_NEW_WORK_TARGET_S)
    async with session.put(f"{processes.platform.url}/faults", json={"down": True}):
        pass


def _create_workload(processes: _Processes) -> Callable[[int], CompletionRequest]:
    def create_request(index: int) -> CompletionRequest:
        entry = processes.entries[index % len(processes.entries)]
        return CompletionRequest(entry.url, API_KEY, f"note {index}", MAX_TOKENS)

    return create_request


async def _drain_guard(
    report: Report, session: aiohttp.ClientSession, processes: _Processes, seconds: float
) -> None:
    """End one guard by SIGTERM and watch for how long it is still offered work."""
    clock = asyncio.get_running_loop().time
    refused = await _count_refused(session, processes)
    start_time = clock()
    processes.guards[0].child.terminate()
    last_offer = 0.0
    while clock() < start_time + seconds:
        await asyncio.sleep(POLL_INTERVAL_S)
        count = await _count_refused(session, processes)
        if count > refused:
            refused, last_offer = count, clock() - start_time
    report.figures["refused_hand_overs"] = refused
    report.figures["last_offer_after_s"] = round(last_offer, 2)
    report.figures["drained_exit_code"] = await processes.guards[0].stop()
    report.expect(last_offer <= NO_NEW_WORK_TARGET_S, "no new work within 3 s")
    report.expect(report.figures["drained_exit_code"] == 0, "drained guard ends with 0")


async def _kill_guard(processes: _Processes) -> float:
    killed_at = asyncio.get_running_loop().time()
    await processes.guards[-1].kill()
    return killed_at


async def _count_refused(session: aiohttp.ClientSession, processes: _Processes) -> int:
    total = 0.0
    for entry in processes.entries:
        async with session.get(f"{entry.url}/metrics") as response:
            for line in (await response.text()).splitlines():
                if line.startswith("magnoliarouter_retries_total"):
                    total += float(line.rpartition(" ")[2])
    return int(total)


def _check_results(report: Report, results: list[CompletionResult], killed_at: float) -> None:
    failed = [result for result in results if not result.complete]
    in_progress = [
        result for result in failed if result.sent_at < killed_at < result.sent_at + result.total_s
    ]
    report.figures["requests"] = len(results)
    report.figures["cut_by_the_kill"] = len(in_progress)
    report.figures["failed_otherwise"] = len(failed) - len(in_progress)
    report.expect(len(failed) == len(in_progress), "only requests on the killed guard fail")
