"""Experiment `soak`: mixed load for minutes, with replacements and light faults.

Memory of the daemons must level off, descriptors must stay flat, no answer may be wrong, no
booking may run twice, and no more may be admitted than the contract allows.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from magnoliarouter.standins.bench.answers import TOKENS, classify_response
from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.bench.fit import fit_line
from magnoliarouter.standins.bench.measure import ProcessReading, read_process
from magnoliarouter.standins.bench.windows import Admitted, measure_worst
from magnoliarouter.standins.bookings import BookingSite
from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.standins.load import (
    CompletionRequest,
    CompletionResult,
    open_load_session,
    send_completion,
)
from magnoliarouter.store.client import Found
from magnoliarouter.store.contracts import Accepted, ContractStore
from magnoliarouter.store.objects import decode_object

if TYPE_CHECKING:
    from argparse import Namespace

    import aiohttp

__all__ = ["Series", "experiments"]

ZONES = 3
MODEL_RATE = 40.0
BOOKING_RATE = 4.0
CONTRACT_RATE = 30.0
BURST_S = 2.0
LIMITS = {
    "requests_per_second": CONTRACT_RATE,
    "burst_seconds": BURST_S,
    "tokens_per_second": 1_000_000,
    "concurrent_requests": 500,
}
AMENDED = {"requests_per_second": 1, "tokens_per_second": 100}
WINDOWS_S = (1.0, 10.0, 60.0)
FAULT_SHARE = 0.02
WARM_UP_S = 10.0
SAMPLE_S = 1.0
AMEND_EVERY_S = 3.0
REPLACE_EVERY_S = 25.0
FAULT_EVERY_S = 20.0
FAULT_S = 4.0
FAULTS: tuple[dict[str, Any], ...] = ({"down": True}, {"lose_answers": 0.3}, {"delay": 0.3})
GROWTH_TARGET_MB_PER_MINUTE = 1.0
DESCRIPTOR_TARGET = 16
MB = 1_000_000
KEY = "key-of-the-soak"


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    shows = "memory and descriptors under mixed load, replacements and faults; no violation"
    return [Experiment("soak", shows, _run)]


@dataclass(slots=True)
class Series:
    """Readings of one process over time."""

    times: list[float] = field(default_factory=list)
    readings: list[ProcessReading] = field(default_factory=list)

    def measure_growth(self) -> float:
        """Return the slope of resident memory over the second half, in MB a minute."""
        half = len(self.times) // 2
        pairs = zip(self.times[half:], self.readings[half:], strict=True)
        points = [(at / 60.0, reading.resident_bytes / MB) for at, reading in pairs]
        return fit_line(points).slope

    def count_descriptor_growth(self) -> int:
        """Return by how much the last quarter's most descriptors exceed the second quarter's."""
        quarter = len(self.readings) // 4
        counts = [reading.descriptors for reading in self.readings]
        return max(counts[-quarter:]) - max(counts[quarter : 2 * quarter])


class _Soak:
    """One run."""

    def __init__(self, site: Site, session: aiohttp.ClientSession, seed: int) -> None:
        self.session = session
        self.bookings = BookingSite(site, session)
        self.draw = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.verdicts: Counter[str] = Counter(right=0, error=0, wrong=0, refused=0)
        self.admitted: list[Admitted] = []
        self.outcomes: dict[str, str] = {}
        self.amended = 0
        self.exits: list[int] = []
        self.series: dict[str, Series] = {}
        self._site = site
        self._watched: dict[str, Process] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Start three zones, each with an entry daemon, an engine and an application."""
        await self.bookings.start(0, ZONES)
        client = self.bookings.client
        await client.write("contract", "load", contract_value("load", KEY, current=LIMITS))
        book = ContractStore(client, "soak")
        spec = decode_object("contract", contract_value("grower", "key-grower", current=AMENDED))
        assert isinstance(await book.create(spec), Accepted)
        for number in range(1, ZONES + 1):
            self._watched[f"guard-{number}"] = await self._start_engine(number)
            self._watched[f"app-guard-{number}"] = self.bookings.guards[number - 1]
        for number in range(1, ZONES + 1):
            self.bookings.entries.append(await self._start_entry(number))
        for entry in self.bookings.entries:
            await self.bookings.wait_until_ready(entry)
        # The others are replaced now and then.
        self._watched["entry-1"] = self.bookings.entries[0]
        self.series = {name: Series() for name in self._watched}

    async def load(self, seconds: float) -> None:
        """Run all activities for a time, then wait for the calls in progress."""
        activities = (
            self._repeat(1 / MODEL_RATE, self._send_model_call),
            self._repeat(1 / BOOKING_RATE, self._send_booking),
            self._amend(),
            self._replace(),
            self._cause_faults(),
            self._sample(),
        )
        tasks = [asyncio.create_task(activity) for activity in activities]
        done, _ = await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()
        await self.bookings.set_faults(self.bookings.platform)
        await asyncio.gather(*self._calls)

    def count_doubled(self) -> tuple[int, int]:
        """Return the bookings that ran twice, and those that ran though told not to have."""
        runs = Counter(execution.key for execution in self.bookings.read_executions())
        doubled = sum(count > 1 for count in runs.values())
        false = sum(runs[key] > 0 for key, outcome in self.outcomes.items() if outcome == "not_run")
        return doubled, false

    async def _start_engine(self, number: int) -> Process:
        host = f"127.0.{number}.1"
        share, seed = str(FAULT_SHARE), str(self.draw.randrange(1000))
        engine = await self._site.start_standin(
            "unruly", host, "--fault-share", share, "--seed", seed
        )
        settings = {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": f"zone-{number}",
            "platform": self.bookings.platform.url,
            "listen": {"host": host},
            "target": engine.url,
            "models": ["draft"],
            "slots": 100,
        }
        return await self._site.start_daemon(settings)

    async def _start_entry(self, number: int) -> Process:
        changes = {"admission": "escrow", "request_seconds": 10.0}
        return await self.bookings.start_entry(number, **changes)

    async def _repeat(self, pause: float, send: Any) -> None:
        while True:
            await asyncio.sleep(self.draw.expovariate(1 / pause))
            task = asyncio.create_task(send(next(self._numbers)))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _send_model_call(self, number: int) -> None:
        entry = self.draw.choice(self.bookings.entries)
        stream = self.draw.random() < 0.5
        request = CompletionRequest(entry.url, KEY, f"case {number}", TOKENS, stream)
        result = await send_completion(self.session, request)
        self._note(request, result)

    def _note(self, request: CompletionRequest, result: CompletionResult) -> None:
        refused = result.status in (429, 503)
        self.verdicts["refused" if refused else classify_response(request, result)] += 1
        if result.status == 200:
            self.admitted.append(Admitted(result.sent_at, result.sent_at + result.total_s, 1.0))

    async def _send_booking(self, number: int) -> None:
        entry = self.draw.choice(self.bookings.entries)
        key = f"booking-{number}"
        self.outcomes[key] = (await self.bookings.book(entry, key, f"{number} -> 3")).outcome

    async def _amend(self) -> None:
        book = ContractStore(self.bookings.client, "soak")
        while True:
            await asyncio.sleep(AMEND_EVERY_S)
            found = await self.bookings.client.read("contract", "grower")
            if not isinstance(found, Found):
                continue
            item = found.items[0]
            spec = decode_object("contract", item.value)
            self.amended += isinstance(await book.amend(item, spec), Accepted)

    async def _replace(self) -> None:
        number = 1
        while True:
            await asyncio.sleep(REPLACE_EVERY_S)
            number = 2 if number != 2 else 3
            old = self.bookings.entries[number - 1]
            self.bookings.entries[number - 1] = self.bookings.entries[0]
            self.exits.append(await old.stop())
            self.bookings.entries[number - 1] = await self._start_entry(number)

    async def _cause_faults(self) -> None:
        while True:
            for faults in FAULTS:
                await asyncio.sleep(FAULT_EVERY_S - FAULT_S)
                seed = self.draw.randrange(1000)
                await self.bookings.set_faults(self.bookings.platform, seed=seed, **faults)
                await asyncio.sleep(FAULT_S)
                await self.bookings.set_faults(self.bookings.platform)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            for name, process in self._watched.items():
                self.series[name].times.append(self.clock())
                self.series[name].readings.append(read_process(process.child.pid))


async def _run(options: Namespace) -> Report:
    report = Report()
    seconds = options.seconds or options.minutes * 60.0
    async with Site() as site, open_load_session() as session:
        soak = _Soak(site, session, options.seed)
        await soak.start()
        await soak.load(WARM_UP_S)
        for series in soak.series.values():
            series.times.clear()
            series.readings.clear()
        await soak.load(seconds)
        _judge_answers(report, soak)
        _judge_processes(report, soak)
    return report


def _judge_answers(report: Report, soak: _Soak) -> None:
    report.figures |= {f"answers_{name}": count for name, count in soak.verdicts.items()}
    report.figures |= {f"bookings_{k}": n for k, n in Counter(soak.outcomes.values()).items()}
    doubled, false = soak.count_doubled()
    report.figures |= {"doubled": doubled, "false_not_run": false, "amended": soak.amended}
    report.expect(not soak.verdicts["wrong"], "no wrong answer")
    report.expect(soak.verdicts["right"] > 0, "answers come")
    report.expect(not doubled and not false, "no booking runs twice or after its refusal")
    for window in WINDOWS_S:
        burst = CONTRACT_RATE * BURST_S
        worst = measure_worst(soak.admitted, window, CONTRACT_RATE, burst)
        report.figures[f"worst_{window:g}s"] = round(worst, 3)
        report.expect(worst <= 1.0, f"0 admissions above the contract in {window:g} s")


def _judge_processes(report: Report, soak: _Soak) -> None:
    report.figures["replaced"] = len(soak.exits)
    report.expect(not any(soak.exits), "replaced daemons exit with 0")
    for name, series in soak.series.items():
        growth, descriptors = series.measure_growth(), series.count_descriptor_growth()
        report.figures[f"{name}_resident_mb"] = round(series.readings[-1].resident_bytes / MB, 1)
        report.figures[f"{name}_growth_mb_per_minute"] = round(growth, 2)
        report.figures[f"{name}_descriptor_growth"] = descriptors
        target = f"{name}: memory grows by at most {GROWTH_TARGET_MB_PER_MINUTE} MB a minute"
        report.expect(growth <= GROWTH_TARGET_MB_PER_MINUTE, target)
        report.expect(descriptors <= DESCRIPTOR_TARGET, f"{name}: descriptors stay flat")
