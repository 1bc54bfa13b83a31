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
from magnoliarouter.standins.bench.windows import AdmittedRequest, measure_peak_share
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

__all__ = ["ProcessSeries", "experiments"]

ZONE_COUNT = 3
MODEL_CALLS_PER_S = 40.0
BOOKINGS_PER_S = 4.0
CONTRACT_REQUESTS_PER_S = 30.0
BURST_S = 2.0
LIMITS = {
    "requests_per_second": CONTRACT_REQUESTS_PER_S,
    "burst_seconds": BURST_S,
    "tokens_per_second": 1_000_000,
    "concurrent_requests": 500,
}
AMENDED_LIMITS = {"requests_per_second": 1, "tokens_per_second": 100}
WINDOWS_S = (1.0, 10.0, 60.0)
ENGINE_FAULT_SHARE = 0.02
WARM_UP_S = 10.0
SAMPLE_INTERVAL_S = 1.0
AMENDMENT_INTERVAL_S = 3.0
REPLACEMENT_INTERVAL_S = 25.0
FAULT_INTERVAL_S = 20.0
FAULT_DURATION_S = 4.0
FAULTS: tuple[dict[str, Any], ...] = ({"down": True}, {"lose_answers": 0.3}, {"delay": 0.3})
MAX_GROWTH_MB_PER_MINUTE = 1.0
MAX_DESCRIPTOR_GROWTH = 16
BYTES_PER_MB = 1_000_000
CUSTOMER_KEY = "key-of-the-soak"


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    summary = "memory and descriptors under mixed load, replacements and faults; no violation"
    return [Experiment("soak", summary, _run)]


@dataclass(slots=True)
class ProcessSeries:
    """Readings of one process over time."""

    times: list[float] = field(default_factory=list)
    readings: list[ProcessReading] = field(default_factory=list)

    def measure_growth(self) -> float:
        """Return the slope of resident memory over the second half, in MB a minute."""
        half = len(self.times) // 2
        pairs = zip(self.times[half:], self.readings[half:], strict=True)
        points = [(at / 60.0, reading.resident_bytes / BYTES_PER_MB) for at, reading in pairs]
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
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.verdict_counts: Counter[str] = Counter(right=0, error=0, wrong=0, refused=0)
        self.admitted: list[AdmittedRequest] = []
        self.outcomes: dict[str, str] = {}
        self.amendment_count = 0
        self.exit_codes: list[int] = []
        self.series: dict[str, ProcessSeries] = {}
        self._site = site
        self._sampled_processes: dict[str, Process] = {}
        self._calls_in_progress: set[asyncio.Task[None]] = set()
        self._call_numbers = itertools.count()

    async def start(self) -> None:
        """Start three zones, each with an entry daemon, an engine and an application."""
        await self.bookings.start(0, ZONE_COUNT)
        client = self.bookings.client
        await client.write("contract", "load", contract_value("load", CUSTOMER_KEY, current=LIMITS))
        contract_store = ContractStore(client, "soak")
        spec = decode_object(
            "contract", contract_value("grower", "key-grower", current=AMENDED_LIMITS)
        )
        assert isinstance(await contract_store.create(spec), Accepted)
        for number in range(1, ZONE_COUNT + 1):
            self._sampled_processes[f"guard-{number}"] = await self._start_engine(number)
            self._sampled_processes[f"app-guard-{number}"] = self.bookings.guards[number - 1]
        for number in range(1, ZONE_COUNT + 1):
            self.bookings.entries.append(await self._start_entry(number))
        for entry in self.bookings.entries:
            await self.bookings.wait_until_ready(entry)
        # The others are replaced now and then.
        self._sampled_processes["entry-1"] = self.bookings.entries[0]
        self.series = {name: ProcessSeries() for name in self._sampled_processes}

    async def load(self, seconds: float) -> None:
        """Run all activities for a time, then wait for the calls in progress."""
        activities = (
            self._send_at_random(1 / MODEL_CALLS_PER_S, self._send_model_call),
            self._send_at_random(1 / BOOKINGS_PER_S, self._send_booking),
            self._amend_contract(),
            self._replace_entries(),
            self._inject_platform_faults(),
            self._sample_processes(),
        )
        tasks = [asyncio.create_task(activity) for activity in activities]
        done, _ = await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in done:
            task.result()
        await self.bookings.set_faults(self.bookings.platform)
        await asyncio.gather(*self._calls_in_progress)

    def count_wrong_bookings(self) -> tuple[int, int]:
        """Return the bookings that ran twice, and those that ran though told not to have."""
        runs = Counter(execution.key for execution in self.bookings.read_executions())
        run_twice = sum(count > 1 for count in runs.values())
        run_though_refused = sum(
            runs[key] > 0 for key, outcome in self.outcomes.items() if outcome == "not_run"
        )
        return run_twice, run_though_refused

    async def _start_engine(self, number: int) -> Process:
        host = f"127.0.{number}.1"
        share, seed = str(ENGINE_FAULT_SHARE), str(self.rng.randrange(1000))
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

    async def _send_at_random(self, mean_interval_s: float, send: Any) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / mean_interval_s))
            task = asyncio.create_task(send(next(self._call_numbers)))
            self._calls_in_progress.add(task)
            task.add_done_callback(self._calls_in_progress.discard)

    async def _send_model_call(self, number: int) -> None:
        entry = self.rng.choice(self.bookings.entries)
        stream = self.rng.random() < 0.5
        request = CompletionRequest(entry.url, CUSTOMER_KEY, f"case {number}", TOKENS, stream)
        result = await send_completion(self.session, request)
        self._record_response(request, result)

    def _record_response(self, request: CompletionRequest, result: CompletionResult) -> None:
        refused = result.status in (429, 503)
        self.verdict_counts["refused" if refused else classify_response(request, result)] += 1
        if result.status == 200:
            self.admitted.append(
                AdmittedRequest(result.sent_at, result.sent_at + result.total_s, 1.0)
            )

    async def _send_booking(self, number: int) -> None:
        entry = self.rng.choice(self.bookings.entries)
        key = f"booking-{number}"
        self.outcomes[key] = (await self.bookings.book(entry, key, f"{number} -> 3")).outcome

    async def _amend_contract(self) -> None:
        contract_store = ContractStore(self.bookings.client, "soak")
        while True:
            await asyncio.sleep(AMENDMENT_INTERVAL_S)
            read_result = await self.bookings.client.read("contract", "grower")
            if not isinstance(read_result, Found):
                continue
            item = read_result.items[0]
            spec = decode_object("contract", item.value)
            self.amendment_count += isinstance(await contract_store.amend(item, spec), Accepted)

    async def _replace_entries(self) -> None:
        number = 1
        while True:
            await asyncio.sleep(REPLACEMENT_INTERVAL_S)
            number = 2 if number != 2 else 3
            old = self.bookings.entries[number - 1]
            self.bookings.entries[number - 1] = self.bookings.entries[0]
            self.exit_codes.append(await old.stop())
            self.bookings.entries[number - 1] = await self._start_entry(number)

    async def _inject_platform_faults(self) -> None:
        while True:
            for faults in FAULTS:
                await asyncio.sleep(FAULT_INTERVAL_S - FAULT_DURATION_S)
                seed = self.rng.randrange(1000)
                await self.bookings.set_faults(self.bookings.platform, seed=seed, **faults)
                await asyncio.sleep(FAULT_DURATION_S)
                await self.bookings.set_faults(self.bookings.platform)

    async def _sample_processes(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for name, process in self._sampled_processes.items():
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
        _evaluate_responses(report, soak)
        _evaluate_processes(report, soak)
    return report


def _evaluate_responses(report: Report, soak: _Soak) -> None:
    report.figures |= {f"answers_{name}": count for name, count in soak.verdict_counts.items()}
    report.figures |= {f"bookings_{k}": n for k, n in Counter(soak.outcomes.values()).items()}
    run_twice, run_though_refused = soak.count_wrong_bookings()
    report.figures |= {
        "doubled": run_twice,
        "false_not_run": run_though_refused,
        "amended": soak.amendment_count,
    }
    report.expect(not soak.verdict_counts["wrong"], "no wrong answer")
    report.expect(soak.verdict_counts["right"] > 0, "answers come")
    report.expect(
        not run_twice and not run_though_refused, "no booking runs twice or after its refusal"
    )
    for window in WINDOWS_S:
        burst = CONTRACT_REQUESTS_PER_S * BURST_S
        worst = measure_peak_share(soak.admitted, window, CONTRACT_REQUESTS_PER_S, burst)
        report.figures[f"worst_{window:g}s"] = round(worst, 3)
        report.expect(worst <= 1.0, f"0 admissions above the contract in {window:g} s")


def _evaluate_processes(report: Report, soak: _Soak) -> None:
    report.figures["replaced"] = len(soak.exit_codes)
    report.expect(not any(soak.exit_codes), "replaced daemons exit with 0")
    for name, series in soak.series.items():
        growth, descriptors = series.measure_growth(), series.count_descriptor_growth()
        report.figures[f"{name}_resident_mb"] = round(
            series.readings[-1].resident_bytes / BYTES_PER_MB, 1
        )
        report.figures[f"{name}_growth_mb_per_minute"] = round(growth, 2)
        report.figures[f"{name}_descriptor_growth"] = descriptors
        target = f"{name}: memory grows by at most {MAX_GROWTH_MB_PER_MINUTE} MB a minute"
        report.expect(growth <= MAX_GROWTH_MB_PER_MINUTE, target)
        report.expect(descriptors <= MAX_DESCRIPTOR_GROWTH, f"{name}: descriptors stay flat")
