"""Experiment `once`: calls that may run only once, under every fault, counted by the journal."""

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
from magnoliarouter.standins.bench.oncefaults import ENTRIES, FAULTS, FaultySite
from magnoliarouter.standins.launch import Site

if TYPE_CHECKING:
    from magnoliarouter.standins.application import Execution
    from magnoliarouter.standins.bookings import BookingResponse

__all__ = ["experiments"]

DEFAULT_SECONDS = 50.0
CALLERS = 10
PACE_S = 0.05
PATIENCE_S = 2.5
REPEAT_S = 0.15
MAX_REPEATS = 25
UNKNOWN_REPEATS = 3
LAST_REPEATS = 10
TWO_AT_ONCE_SHARE = 0.1
FAILED_SHOWN = 5


@dataclass(slots=True)
class _Try:
    """One request with a key and what its caller saw."""

    sent_at: float
    fault: str
    reply: BookingResponse


@dataclass(slots=True)
class _Booking:
    """All requests with one key."""

    key: str
    at_once: bool
    tries: list[_Try] = field(default_factory=list)

    @property
    def answers(self) -> list[bytes]:
        """Bodies of completed answers."""
        return [each.reply.body for each in self.tries if each.reply.outcome == "completed"]

    @property
    def outcome(self) -> str:
        """What the caller knows in the end."""
        if self.answers:
            return "completed"
        outcomes = {each.reply.outcome for each in self.tries}
        if outcomes == {"not_run"}:
            return "not_run"
        last = self.tries[-1].reply
        if last.outcome == "not_run" and last.scope == "key":
            return "not_run"
        return "unknown" if last.status else "no_answer"


class _Run:
    """Callers, faults and verdict of one run."""

    def __init__(self, site: FaultySite, draw: random.Random) -> None:
        self.site = site
        self.draw = draw
        self.fault = "none"
        self.bookings: list[_Booking] = []
        self.stopped = False

    async def call_until(self, caller: int) -> None:
        """Book one key after another until stopped."""
        while not self.stopped:
            key = f"key-{caller}-{len(self.bookings)}"
            booking = _Booking(key, self.draw.random() < TWO_AT_ONCE_SHARE)
            self.bookings.append(booking)
            await self._pursue(booking)
            await asyncio.sleep(PACE_S)

    async def settle(self) -> None:
        """Ask once more for every key whose outcome is not known, with all faults off."""
        for booking in self.bookings:
            for _ in range(LAST_REPEATS):
                if booking.outcome in ("completed", "not_run") or _is_final(booking):
                    break
                await self._try(booking, self.draw.randrange(ENTRIES))
                await asyncio.sleep(REPEAT_S)

    async def _pursue(self, booking: _Booking) -> None:
        entry = self.draw.randrange(ENTRIES)
        if booking.at_once:
            await asyncio.gather(*(self._try(booking, (entry + more) % ENTRIES) for more in (0, 1)))
        for _ in range(MAX_REPEATS):
            if booking.answers or _is_final(booking):
                return
            await self._try(booking, entry)
            entry = (entry + 1) % ENTRIES
            if not booking.answers:
                await asyncio.sleep(REPEAT_S)

    async def _try(self, booking: _Booking, entry: int) -> None:
        sent_at, fault = asyncio.get_running_loop().time(), self.fault
        reply = await self.site.book(
            self.site.entries[entry],
            booking.key,
            f"book {booking.key}",
            self.site.entry_url(entry),
            PATIENCE_S,
        )
        booking.tries.append(_Try(sent_at, fault, reply))


def _is_final(booking: _Booking) -> bool:
    codes = [each.reply.code for each in booking.tries]
    return codes.count(ResultCode.OUTCOME_UNKNOWN) >= UNKNOWN_REPEATS


async def _run(options: Any) -> Report:
    seconds = options.seconds or DEFAULT_SECONDS
    draw = random.Random(options.seed)
    report = Report()
    async with (
        Site() as site,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, force_close=True)) as session,
    ):
        faulty = FaultySite(site, session, draw)
        await faulty.open()
        run = _Run(faulty, draw)
        callers = [asyncio.create_task(run.call_until(number)) for number in range(CALLERS)]
        order = random.Random(f"{options.seed}/order").sample(list(FAULTS), len(FAULTS))
        report.figures["order"] = order
        await _cause_faults(run, order, seconds, report)
        run.stopped = True
        await asyncio.gather(*callers)
        await run.settle()
        await faulty.close()
        _judge(run.bookings, faulty.read_executions(), report)
    return report


async def _cause_faults(run: _Run, order: list[str], seconds: float, report: Report) -> None:
    length = seconds / len(FAULTS)
    await _measure_rate(run, length, report)
    for name in order:
        if name == "none":
            continue
        run.fault = name
        await FAULTS[name](run.site, length)
        await run.site.heal()


async def _measure_rate(run: _Run, seconds: float, report: Report) -> None:
    before, began = await _read_calls(run.site), asyncio.get_running_loop().time()
    await asyncio.sleep(max(2.0, seconds))
    after, ended = await _read_calls(run.site), asyncio.get_running_loop().time()
    completed = sum(1 for booking in run.bookings if booking.answers)
    report.figures["claims_per_second"] = round(completed / (ended - began), 1)
    writes = after["write"] - before["write"]
    report.figures["platform_writes_per_second"] = round(writes / (ended - began), 1)
    report.figures["platform_writes_per_claim"] = round(writes / max(1, completed), 2)


async def _read_calls(site: FaultySite) -> dict[str, int]:
    async with site.session.get(f"{site.platform.url}/calls") as answer:
        return msgspec.json.decode(await answer.read())


def _judge(bookings: list[_Booking], executions: list[Execution], report: Report) -> None:
    by_key: dict[str, list[Execution]] = defaultdict(list)
    for execution in executions:
        by_key[execution.key].append(execution)
    outcomes = Counter(booking.outcome for booking in bookings)
    failures = {
        "executed_twice": [key for key, runs in by_key.items() if len(runs) > 1],
        "not_run_but_executed": [each.key for each in bookings if _is_denied(each, by_key)],
        "answer_not_in_journal": [each.key for each in bookings if _is_wrong(each, by_key)],
        "without_answer": [each.key for each in bookings if each.outcome == "no_answer"],
    }
    report.figures |= {
        "keys": len(bookings),
        "requests": sum(len(booking.tries) for booking in bookings),
        "executions": len(executions),
        **{f"keys_{name}": count for name, count in sorted(outcomes.items())},
        **{name: len(keys) for name, keys in failures.items()},
        "not_run_for_key_checked": sum(map(_count_key_refusals, bookings)),
        "unknown_share_by_fault": _share_unknown(bookings),
        "unknown_executed": sum(
            1 for each in bookings if each.outcome == "unknown" and by_key[each.key]
        ),
    }
    for name, keys in failures.items():
        report.expect(not keys, f"{name} = 0, seen {keys[:FAILED_SHOWN]}")


def _count_key_refusals(booking: _Booking) -> int:
    return sum(1 for each in booking.tries if each.reply.scope == "key")


def _is_denied(booking: _Booking, by_key: dict[str, list[Execution]]) -> bool:
    """Return whether a refusal said "not run" of a key that had run."""
    runs = by_key[booking.key]
    if booking.outcome == "not_run" and runs:
        return True
    refused = [each for each in booking.tries if each.reply.scope == "key"]
    return any(run.at < each.sent_at for each in refused for run in runs)


def _is_wrong(booking: _Booking, by_key: dict[str, list[Execution]]) -> bool:
    """Return whether an answer differs from the journal."""
    bodies = {msgspec.json.encode(run) for run in by_key[booking.key]}
    return any(answer not in bodies for answer in booking.answers)


def _share_unknown(bookings: list[_Booking]) -> dict[str, float]:
    """Return, of the keys tried under a fault, the share that became doubtful under it for good."""
    total = Counter(fault for each in bookings for fault in {one.fault for one in each.tries})
    doubts = Counter(_find_doubt(each) for each in bookings if each.outcome == "unknown")
    return {fault: round(doubts[fault] / total[fault], 3) for fault in sorted(total)}


def _find_doubt(booking: _Booking) -> str:
    """Return the fault under which a key first got an answer in doubt."""
    return next(each.fault for each in booking.tries if each.reply.outcome == "unknown")


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    shows = "calls that may run only once run at most once under every fault"
    return [Experiment("once", shows, _run)]
