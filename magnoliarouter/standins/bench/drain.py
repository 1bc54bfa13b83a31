"""Experiment `drain`: rolling replacement of every daemon under load, and each way of leaving."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["experiments"]

LAST_WORK_TARGET_S = 3.0
ENTRIES = 3
ENGINES = 4
CALLERS = 12
MAX_TOKENS = 30
DECODE_STEP_S = 0.02
PROBE_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.05
SETTLE_S = 1.0
OBSERVATION_S = 5.0
MODEL = "draft"
API_KEY = "key-of-the-bench"
LIMITS = {"requests_per_second": 500, "tokens_per_second": 50_000, "concurrent_requests": 200}
CALL_TIMEOUT_S = 30.0


class _DrainSite:
    """Entry daemons behind a balancer that probes readiness, and engines behind guards."""

    def __init__(self, site: Site, session: aiohttp.ClientSession, seed: int) -> None:
        self.site = site
        self.session = session
        self.rng = random.Random(seed)
        self.entries: list[Process] = []
        self.ready_entries: list[Process] = []
        self.engines: dict[str, Process] = {}
        self.guards: dict[str, Process] = {}
        self.results: Counter[str] = Counter()
        self.stopped = False
        self.first_completed = asyncio.Event()
        self._number = 0

    async def start(self) -> None:
        """Start the platform, the engines and the entry daemons."""
        self.platform = await self.site.start_standin("platform", "127.0.0.1")
        self.client = PlatformClient(self.platform.url, self.session)
        await self.client.write("contract", "yard", contract_value("yard", API_KEY, current=LIMITS))
        for _ in range(ENGINES):
            await self.start_engine()
        for _ in range(ENTRIES):
            self.entries.append(await self.start_entry())

    async def start_engine(self) -> str:
        """Start an engine with its guard and return its name."""
        self._number += 1
        name, zone = f"engine-{self._number}", 1 + self._number % ENTRIES
        host = f"127.0.{zone}.1"
        engine = await self.site.start_standin("engine", host, "--step-seconds", str(DECODE_STEP_S))
        settings = {
            "role": "endpoint",
            "name": name,
            "zone": f"zone-{zone}",
            "platform": self.platform.url,
            "listen": {"host": host},
            "target": engine.url,
            "models": [MODEL],
        }
        guard = await self.site.start_daemon(settings)
        self.engines[name], self.guards[name] = engine, guard
        value = {"name": name, "zone": f"zone-{zone}", "role": "endpoint"}
        await self.client.write("vm", name, {**value, "address": guard.address})
        return name

    async def start_entry(self) -> Process:
        """Start an entry daemon on a VM of its own."""
        self._number += 1
        zone = 1 + self._number % ENTRIES
        return await self.site.start_daemon(
            {
                "role": "entry",
                "name": f"entry-{self._number}",
                "zone": f"zone-{zone}",
                "zones": ["zone-1", "zone-2", "zone-3"],
                "platform": self.platform.url,
                "listen": {"host": f"127.0.{zone}.2"},
            }
        )

    async def probe_readiness(self) -> None:
        """Probe readiness as the platform's balancer does."""
        while not self.stopped:
            self.ready_entries = [entry for entry in self.entries if await self._probe(entry)]
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, entry: Process) -> bool:
        try:
            async with self.session.get(f"{entry.url}/readyz") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def send_until_stopped(self) -> None:
        """Ask for one stream after another and count how each ended."""
        while not self.stopped:
            if not self.ready_entries:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            result = await self._send_request(self.rng.choice(self.ready_entries))
            self.results[result] += 1
            if result == "completed":
                self.first_completed.set()

    async def _send_request(self, entry: Process) -> str:
        prompt = f"note {self.rng.randrange(1000)}"
        body = {"model": MODEL, "prompt": prompt, "stream": True, "max_tokens": MAX_TOKENS}
        headers = {"Authorization": f"Bearer {API_KEY}"}
        url = f"{entry.url}/v1/completions"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self.session.post(url, json=body, headers=headers) as response:
                    text = await response.text()
        except aiohttp.ClientConnectorError:
            return "unreachable"
        except (aiohttp.ClientError, OSError) as error:
            return f"cut_{type(error).__name__}"
        if response.status != 200:
            return f"refused_{msgspec.json.decode(text)['error']['name']}"
        return "completed" if text.endswith("data: [DONE]\n\n") else "cut_stream"

    async def count_started(self, name: str) -> int:
        """Return how many requests an engine has begun."""
        async with self.session.get(f"{self.engines[name].url}/stats") as response:
            return msgspec.json.decode(await response.read())["started"]

    async def measure_time_to_last_work(
        self, name: str, leave: Callable[[str], Awaitable[None]]
    ) -> float:
        """Make an endpoint leave and return the seconds until the last new work reached it."""
        loop = asyncio.get_running_loop()
        start_time, last, count = loop.time(), 0.0, await self.count_started(name)
        leaving = asyncio.create_task(leave(name))
        while loop.time() < start_time + OBSERVATION_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = await self.count_started(name)
            if now != count:
                count, last = now, loop.time() - start_time
        await leaving
        return last

    async def list_held_leases(self, holder: str) -> list[str]:
        """Return the leases that an ended process still holds in the platform."""
        leases = await self.client.list("lease")
        slots = await self.client.list("quota-lease")
        held = [
            item.name
            for item in leases.items
            if item.value["holder"].startswith(f"{holder}/") and not item.value["released"]
        ]
        return held + [item.name for item in slots.items if item.value["holder"] == holder]

    # Ways of leaving

    async def terminate(self, name: str) -> None:
        """Send SIGTERM to the guard."""
        self.results[f"guard_exit_{await self.guards[name].stop()}"] += 1

    async def request_drain_in_platform(self, name: str) -> None:
        """Ask for a drain in the platform alone, as an operator who cannot reach the guard."""
        await self._update_object("endpoint", name, draining=True, drain_requested=True)

    async def mark_vm_leaving(self, name: str) -> None:
        """Mark the VM as leaving in the platform's list."""
        await self._update_object("vm", name, leaving=True)

    async def drain_guard_only(self, name: str) -> None:
        """Let the guard refuse, with the platform not told."""
        url = f"{self.guards[name].url}/guard/drain"
        async with self.session.post(url, data=b'{"draining": true}') as response:
            assert response.status == 200, response.status

    async def _update_object(self, kind: str, name: str, **changes: Any) -> None:
        found = await self.client.read(kind, name)
        item = found.items[0]
        await self.client.write(kind, name, {**item.value, **changes}, expect=item.version)


async def _run(options: Any) -> Report:
    report = Report()
    async with Site() as site, open_session() as session:
        drain_site = _DrainSite(site, session, options.seed)
        await drain_site.start()
        tasks = [asyncio.create_task(drain_site.probe_readiness())]
        tasks += [asyncio.create_task(drain_site.send_until_stopped()) for _ in range(CALLERS)]
        await drain_site.first_completed.wait()
        warm_up = Counter(drain_site.results)
        await _measure_shutdown_methods(drain_site, report)
        await _replace_entries(drain_site, report)
        drain_site.stopped = True
        await asyncio.gather(*tasks)
        _check_results(drain_site.results, warm_up, report)
    return report


async def _measure_shutdown_methods(drain_site: _DrainSite, report: Report) -> None:
    methods = {
        "sigterm": drain_site.terminate,
        "operator": drain_site.request_drain_in_platform,
        "platform_list": drain_site.mark_vm_leaving,
        "guard_refusal": drain_site.drain_guard_only,
    }
    for method, leave in methods.items():
        await drain_site.start_engine()
        name = next(iter(drain_site.engines))
        before = await drain_site.count_started(name)
        await asyncio.sleep(SETTLE_S)
        arrived = await drain_site.count_started(name) - before
        report.expect(arrived > 0, f"{method}: the endpoint gets work before it leaves")
        report.figures[f"new_work_before_{method}_per_second"] = round(arrived / SETTLE_S, 1)
        last = await drain_site.measure_time_to_last_work(name, leave)
        report.figures[f"last_new_work_{method}_s"] = round(last, 2)
        report.expect(
            last <= LAST_WORK_TARGET_S, f"{method}: last new work within {LAST_WORK_TARGET_S} s"
        )
        if method != "sigterm":
            await drain_site.terminate(name)
        del drain_site.engines[name], drain_site.guards[name]


async def _replace_entries(drain_site: _DrainSite, report: Report) -> None:
    exit_codes, held = [], []
    for old in list(drain_site.entries):
        drain_site.entries.append(await drain_site.start_entry())
        await asyncio.sleep(SETTLE_S)
        exit_codes.append(await old.stop())
        held += await drain_site.list_held_leases(old.name)
        drain_site.entries.remove(old)
        await asyncio.sleep(SETTLE_S)
    report.figures["entry_exit_codes"] = exit_codes
    report.figures["leases_not_handed_back"] = held
    report.expect(not held, "every lease of a leaving entry daemon is handed back")
    report.expect(not any(exit_codes), "every entry daemon exits with 0")


def _check_results(results: Counter[str], warm_up: Counter[str], report: Report) -> None:
    report.figures["results"] = dict(results)
    report.figures["warm_up"] = dict(warm_up)
    cut = {name: count for name, count in results.items() if name.startswith("cut")}
    report.figures["cut_off"] = sum(cut.values())
    report.expect(not cut, "0 requests cut off")
    exits = {name for name in results if name.startswith("guard_exit")}
    report.expect(exits == {"guard_exit_0"}, "every endpoint daemon exits with 0")


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = "rolling replacement of every daemon under load cuts off no request"
    return [Experiment("drain", description, _run)]
