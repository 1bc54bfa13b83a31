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

TARGET_LAST_WORK_S = 3.0
ENTRIES = 3
ENGINES = 4
CALLERS = 12
TOKENS = 30
STEP_S = 0.02
PROBE_S = 0.2
POLL_S = 0.05
SETTLE_S = 1.0
WATCHED_S = 5.0
MODEL = "draft"
KEY = "key-of-the-bench"
LIMITS = {"requests_per_second": 500, "tokens_per_second": 50_000, "concurrent_requests": 200}
CALL_TIMEOUT_S = 30.0


class _Fleet:
    """Entry daemons behind a balancer that probes readiness, and engines behind guards."""

    def __init__(self, site: Site, session: aiohttp.ClientSession, seed: int) -> None:
        self.site = site
        self.session = session
        self.draw = random.Random(seed)
        self.entries: list[Process] = []
        self.ready: list[Process] = []
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
        await self.client.write("contract", "yard", contract_value("yard", KEY, current=LIMITS))
        for _ in range(ENGINES):
            await self.start_engine()
        for _ in range(ENTRIES):
            self.entries.append(await self.start_entry())

    async def start_engine(self) -> str:
        """Start an engine with its guard and return its name."""
        self._number += 1
        name, zone = f"engine-{self._number}", 1 + self._number % ENTRIES
        host = f"127.0.{zone}.1"
        engine = await self.site.start_standin("engine", host, "--step-seconds", str(STEP_S))
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

    async def balance(self) -> None:
        """Probe readiness as the platform's balancer does."""
        while not self.stopped:
            self.ready = [entry for entry in self.entries if await self._probe(entry)]
            await asyncio.sleep(PROBE_S)

    async def _probe(self, entry: Process) -> bool:
        try:
            async with self.session.get(f"{entry.url}/readyz") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def call_until_stopped(self) -> None:
        """Ask for one stream after another and count how each ended."""
        while not self.stopped:
            if not self.ready:
                await asyncio.sleep(POLL_S)
                continue
            result = await self._call(self.draw.choice(self.ready))
            self.results[result] += 1
            if result == "completed":
                self.first_completed.set()

    async def _call(self, entry: Process) -> str:
        prompt = f"note {self.draw.randrange(1000)}"
        body = {"model": MODEL, "prompt": prompt, "stream": True, "max_tokens": TOKENS}
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"{entry.url}/v1/completions"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self.session.post(url, json=body, headers=headers) as answer:
                    text = await answer.text()
        except aiohttp.ClientConnectorError:
            return "unreachable"
        except (aiohttp.ClientError, OSError) as error:
            return f"cut_{type(error).__name__}"
        if answer.status != 200:
            return f"refused_{msgspec.json.decode(text)['error']['name']}"
        return "completed" if text.endswith("data: [DONE]\n\n") else "cut_stream"

    async def count_started(self, name: str) -> int:
        """Return how many requests an engine has begun."""
        async with self.session.get(f"{self.engines[name].url}/stats") as answer:
            return msgspec.json.decode(await answer.read())["started"]

    async def measure_last_work(self, name: str, leave: Callable[[str], Awaitable[None]]) -> float:
        """Make an endpoint leave and return the seconds until the last new work reached it."""
        loop = asyncio.get_running_loop()
        begun, last, count = loop.time(), 0.0, await self.count_started(name)
        leaving = asyncio.create_task(leave(name))
        while loop.time() < begun + WATCHED_S:
            await asyncio.sleep(POLL_S)
            now = await self.count_started(name)
            if now != count:
                count, last = now, loop.time() - begun
        await leaving
        return last

    async def list_kept_leases(self, holder: str) -> list[str]:
        """Return the leases that an ended process still holds in the platform."""
        leases = await self.client.list("lease")
        slots = await self.client.list("quota-lease")
        kept = [
            item.name
            for item in leases.items
            if item.value["holder"].startswith(f"{holder}/") and not item.value["released"]
        ]
        return kept + [item.name for item in slots.items if item.value["holder"] == holder]

    # Ways of leaving

    async def terminate(self, name: str) -> None:
        """Send SIGTERM to the guard."""
        self.results[f"guard_exit_{await self.guards[name].stop()}"] += 1

    async def request_drain(self, name: str) -> None:
        """Ask for a drain in the platform alone, as an operator who cannot reach the guard."""
        await self._change("endpoint", name, draining=True, drain_requested=True)

    async def list_leaving(self, name: str) -> None:
        """Mark the VM as leaving in the platform's list."""
        await self._change("vm", name, leaving=True)

    async def refuse_at_guard(self, name: str) -> None:
        """Let the guard refuse, with the platform not told."""
        url = f"{self.guards[name].url}/guard/drain"
        async with self.session.post(url, data=b'{"draining": true}') as answer:
            assert answer.status == 200, answer.status

    async def _change(self, kind: str, name: str, **changes: Any) -> None:
        found = await self.client.read(kind, name)
        item = found.items[0]
        await self.client.write(kind, name, {**item.value, **changes}, expect=item.version)


async def _run(options: Any) -> Report:
    report = Report()
    async with Site() as site, open_session() as session:
        fleet = _Fleet(site, session, options.seed)
        await fleet.start()
        tasks = [asyncio.create_task(fleet.balance())]
        tasks += [asyncio.create_task(fleet.call_until_stopped()) for _ in range(CALLERS)]
        await fleet.first_completed.wait()
        warm_up = Counter(fleet.results)
        await _measure_ways(fleet, report)
        await _replace_entries(fleet, report)
        fleet.stopped = True
        await asyncio.gather(*tasks)
        _judge(fleet.results, warm_up, report)
    return report


async def _measure_ways(fleet: _Fleet, report: Report) -> None:
    ways = {
        "sigterm": fleet.terminate,
        "operator": fleet.request_drain,
        "platform_list": fleet.list_leaving,
        "guard_refusal": fleet.refuse_at_guard,
    }
    for way, leave in ways.items():
        await fleet.start_engine()
        name = next(iter(fleet.engines))
        before = await fleet.count_started(name)
        await asyncio.sleep(SETTLE_S)
        arrived = await fleet.count_started(name) - before
        report.expect(arrived > 0, f"{way}: the endpoint gets work before it leaves")
        report.figures[f"new_work_before_{way}_per_second"] = round(arrived / SETTLE_S, 1)
        last = await fleet.measure_last_work(name, leave)
        report.figures[f"last_new_work_{way}_s"] = round(last, 2)
        report.expect(
            last <= TARGET_LAST_WORK_S, f"{way}: last new work within {TARGET_LAST_WORK_S} s"
        )
        if way != "sigterm":
            await fleet.terminate(name)
        del fleet.engines[name], fleet.guards[name]


async def _replace_entries(fleet: _Fleet, report: Report) -> None:
    codes, kept = [], []
    for old in list(fleet.entries):
        fleet.entries.append(await fleet.start_entry())
        await asyncio.sleep(SETTLE_S)
        codes.append(await old.stop())
        kept += await fleet.list_kept_leases(old.name)
        fleet.entries.remove(old)
        await asyncio.sleep(SETTLE_S)
    report.figures["entry_exit_codes"] = codes
    report.figures["leases_not_handed_back"] = kept
    report.expect(not kept, "every lease of a leaving entry daemon is handed back")
    report.expect(not any(codes), "every entry daemon exits with 0")


def _judge(results: Counter[str], warm_up: Counter[str], report: Report) -> None:
    report.figures["results"] = dict(results)
    report.figures["warm_up"] = dict(warm_up)
    cut = {name: count for name, count in results.items() if name.startswith("cut")}
    report.figures["cut_off"] = sum(cut.values())
    report.expect(not cut, "0 requests cut off")
    exits = {name for name in results if name.startswith("guard_exit")}
    report.expect(exits == {"guard_exit_0"}, "every endpoint daemon exits with 0")


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    shows = "rolling replacement of every daemon under load cuts off no request"
    return [Experiment("drain", shows, _run)]
