"""Experiment `once`: calls that may run at most once, under every fault.

The journal of the applications shows how often each call ran.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.bench.oncefaults import ENTRY_COUNT, FAULTS, FaultySite
from magnoliarouter.standins.launch import Site

if TYPE_CHECKING:
    from magnoliarouter.standins.application import Execution
    from magnoliarouter.standins.bookings import BookingResponse

__all__ = ["experiments"]

DEFAULT_LOAD_S = 50.0
CALLER_COUNT = 10
CALL_INTERVAL_S = 0.05
CALLER_TIMEOUT_S = 2.5
RETRY_INTERVAL_S = 0.15
MAX_RETRIES = 25
MAX_UNKNOWN_RESPONSES = 3
MAX_SETTLE_RETRIES = 10
CONCURRENT_PAIR_SHARE = 0.1
MAX_KEYS_SHOWN = 5


@dataclass(slots=True)
class _BookingRequest:
    """One request for a booking, with the fault at the time and the response."""

    sent_at: float
    fault: str
    response: BookingResponse


@dataclass(slots=True)
class _Booking:
    """All requests with one key."""

    key: str
    in_pair: bool
    requests: list[_BookingRequest] = field(default_factory=list)

    @property
    def completed_bodies(self) -> list[bytes]:
        """Bodies of the responses that report completion."""
        return [
            each.response.body for each in self.requests if each.response.outcome == "completed"
        ]

    @property
    def outcome(self) -> str:
        """Final outcome as the caller sees it."""
        if self.completed_bodies:
            return "completed"
        outcomes = {each.response.outcome for each in self.requests}
        if outcomes == {"not_run"}:
            return "not_run"
        last = self.requests[-1].response
        if last.outcome == "not_run" and last.scope == "key":
            return "not_run"
        return "unknown" if last.status else "no_answer"


class _OnceRun:
    """Callers and bookings of one run, and the fault in effect."""

    def __init__(self, site: FaultySite, rng: random.Random) -> None:
        self.site = site
        self.rng = rng
        self.fault = "none"
        self.bookings: list[_Booking] = []
        self.stopped = False

    async def book_until_stopped(self, caller: int) -> None:
        """Book one key after another until the run is stopped."""
        while not self.stopped:
            key = f"key-{caller}-{len(self.bookings)}"
            booking = _Booking(key, self.rng.random() < CONCURRENT_PAIR_SHARE)
            self.bookings.append(booking)
            await self._book_with_retries(booking)
            await asyncio.sleep(CALL_INTERVAL_S)

    async def settle_unknown(self) -> None:
        """Request every key with an unknown outcome again; all faults must be cleared."""
        for booking in self.bookings:
            for _ in range(MAX_SETTLE_RETRIES):
                if booking.outcome in ("completed", "not_run") or _is_given_up(booking):
                    break
                await self._send_request(booking, self.rng.randrange(ENTRY_COUNT))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _book_with_retries(self, booking: _Booking) -> None:
        entry = self.rng.randrange(ENTRY_COUNT)
        if booking.in_pair:
            await asyncio.gather(
                *(self._send_request(booking, (entry + offset) % ENTRY_COUNT) for offset in (0, 1))
            )
        for _ in range(MAX_RETRIES):
            if booking.completed_bodies or _is_given_up(booking):
                return
            await self._send_request(booking, entry)
            entry = (entry + 1) % ENTRY_COUNT
            if not booking.completed_bodies:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send_request(self, booking: _Booking, entry: int) -> None:
        sent_at, fault = asyncio.get_running_loop().time(), self.fault
        response = await self.site.book(
            self.site.entries[entry],
            booking.key,
            f"book {booking.key}",
            self.site.entry_url(entry),
            CALLER_TIMEOUT_S,
        )
        booking.requests.append(_BookingRequest(sent_at, fault, response))


def _is_given_up(booking: _Booking) -> bool:
    codes = [each.response.code for each in booking.requests]
    return codes.count(ResultCode.OUTCOME_UNKNOWN) >= MAX_UNKNOWN_RESPONSES


async def _run(options: Any) -> Report:
    seconds = options.seconds or DEFAULT_LOAD_S
    rng = random.Random(options.seed)
    report = Report()
    async with (
        Site() as site,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True)) as session,
    ):
        faulty = FaultySite(site, session, rng)
        await faulty.open()
        run = _OnceRun(faulty, rng)
        callers = [
            asyncio.create_task(run.book_until_stopped(number)) for number in range(CALLER_COUNT)
        ]
        order = random.Random(f"{options.seed}/order").sample(list(FAULTS), len(FAULTS))
        report.figures["order"] = order
        await _inject_faults(run, order, seconds, report)
        run.stopped = True
        await asyncio.gather(*callers)
        await run.settle_unknown()
        await faulty.close()
        _evaluate(run.bookings, faulty.read_executions(), report)
    return report


async def _inject_faults(run: _OnceRun, order: list[str], seconds: float, report: Report) -> None:
    fault_seconds = seconds / len(FAULTS)
    await _measure_rate(run, fault_seconds, report)
    for name in order:
        if name == "none":
            continue
        run.fault = name
        await FAULTS[name](run.site, fault_seconds)
        await run.site.clear_faults()


async def _measure_rate(run: _OnceRun, seconds: float, report: Report) -> None:
    before, started_at = await _read_calls(run.site), asyncio.get_running_loop().time()
    await asyncio.sleep(max(2.0, seconds))
    after, ended_at = await _read_calls(run.site), asyncio.get_running_loop().time()
    completed = sum(1 for booking in run.bookings if booking.completed_bodies)
    report.figures["claims_per_second"] = round(completed / (ended_at - started_at), 1)
    writes = after["write"] - before["write"]
    report.figures["platform_writes_per_second"] = round(writes / (ended_at - started_at), 1)
    report.figures["platform_writes_per_claim"] = round(writes / max(1, completed), 2)


async def _read_calls(site: FaultySite) -> dict[str, int]:
    async with site.session.get(f"{site.platform.url}/calls") as response:
        return msgspec.json.decode(await response.read())


def _evaluate(bookings: list[_Booking], executions: list[Execution], report: Report) -> None:
    by_key: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        by_key[execution.key].append(execution)
    outcomes = Counter(booking.outcome for booking in bookings)
    failures = {
        "executed_twice": [key for key, runs in by_key.items() if len(runs) > 1],
        "not_run_but_executed": [each.key for each in bookings if _is_false_refusal(each, by_key)],
        "answer_not_in_journal": [
            each.key for each in bookings if _differs_from_journal(each, by_key)
        ],
        "without_answer": [each.key for each in bookings if each.outcome == "no_answer"],
    }
    report.figures |= {
        "keys": len(bookings),
        "requests": sum(len(booking.requests) for booking in bookings),
        "executions": len(executions),
        **{f"keys_{name}": count for name, count in sorted(outcomes.items())},
        **{name: len(keys) for name, keys in failures.items()},
        "not_run_for_key_checked": sum(map(_count_key_refusals, bookings)),
        "unknown_share_by_fault": _compute_unknown_shares(bookings),
        "unknown_executed": sum(
            1 for each in bookings if each.outcome == "unknown" and by_key[each.key]
        ),
    }
    for name, keys in failures.items():
        report.expect(not keys, f"{name} = 0, seen {keys[:MAX_KEYS_SHOWN]}")


def _count_key_refusals(booking: _Booking) -> int:
    return sum(1 for each in booking.requests if each.response.scope == "key")


def _is_false_refusal(booking: _Booking, by_key: dict[str, list[Execution]]) -> bool:
    """Return whether a response reported "not run" for a key that had run.

    A refusal with the scope ``"key"`` asserts that the key did not run before the request was sent.
    """
    runs = by_key[booking.key]
    if booking.outcome == "not_run" and runs:
        return True
    refused = [each for each in booking.requests if each.response.scope == "key"]
    return any(run.at < each.sent_at for each in refused for run in runs)


def _differs_from_journal(booking: _Booking, by_key: dict[str, list[Execution]]) -> bool:
    """Return whether a completed response differs from the journal."""
    journal_bodies = {msgspec.json.encode(run) for run in by_key[booking.key]}
    return any(body not in journal_bodies for body in booking.completed_bodies)


def _compute_unknown_shares(bookings: list[_Booking]) -> dict[str, float]:
    """Return, by fault, the share of the keys requested under it whose outcome stays unknown.

    A key counts for the fault under which its outcome first became unknown.
    """
    total = Counter(fault for each in bookings for fault in {one.fault for one in each.requests})
    unknown_counts = Counter(
        _find_unknown_fault(each) for each in bookings if each.outcome == "unknown"
    )
    return {fault: round(unknown_counts[fault] / total[fault], 3) for fault in sorted(total)}


def _find_unknown_fault(booking: _Booking) -> str:
    """Return the fault under which a key first got a response with an unknown outcome."""
    return next(each.fault for each in booking.requests if each.response.outcome == "unknown")


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    summary = "calls that may run only once run at most once under every fault"
    return [Experiment("once", summary, _run)]
