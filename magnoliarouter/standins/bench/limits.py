"""Limits over nine entry daemons: bound, delivered rate, moving traffic, cost, faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.standins.bench.experiment import Experiment, Report
from magnoliarouter.standins.bench.limits_site import CUSTOMERS, DAEMONS, LimitsSite, Phase
from magnoliarouter.standins.bench.windows import (
    measure_peak_share,
    measure_peak_share_by_response,
    measure_recovery_s,
    sum_amounts,
)
from magnoliarouter.standins.launch import Site
from magnoliarouter.standins.load import open_load_session

if TYPE_CHECKING:
    from argparse import Namespace

__all__ = ["experiments"]

WINDOWS_S = (1.0, 10.0, 60.0)
DEMAND = 1.3
LIGHT_DEMAND = 0.7
FLOOD_DEMAND = 6.0
# The smallest customer makes enough calls in this time that one more or less is not 5%.
STEADY_FACTOR = 2.5
DELIVERED_TARGET = 0.95
MOVE_TARGET_S = 5.0
CONTROL_BYTES_TARGET = 13_000
CONTROL_CPU_TARGET = 0.014
BUSY_SHARE = 7


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    return [
        Experiment("limits", "bound, delivered rate, moved traffic and cost of limits", _run),
        Experiment("limits-faults", "bound of limits under faults", _run_faults),
    ]


def _spread(place: int, number: int) -> int:
    return (place + number) % DAEMONS


def _skew(place: int, number: int) -> int:
    """Seven calls in ten go to one daemon, the others to all in turn."""
    return place % DAEMONS if number % 10 < BUSY_SHARE else (place + number) % DAEMONS


def _skew_elsewhere(place: int, number: int) -> int:
    return _skew(place + 4, number)


async def _run(options: Namespace) -> Report:
    report = Report()
    seconds = options.seconds or 8.0
    async with Site() as site, open_load_session() as session, asyncio.timeout(120):
        run = LimitsSite(site, session, "static", static_share=1.0)
        await run.start()
        cpu = {"unshared": await _measure_light(report, run, "unshared", seconds)}
    for admission in ("escrow", "static"):
        async with Site() as site, open_load_session() as session, asyncio.timeout(240):
            run = LimitsSite(site, session, admission)
            await run.start()
            cpu[admission] = await _measure_light(report, run, admission, seconds)
            await run.load("first", 4.0, DEMAND, _skew)
            steady = await run.load("steady", STEADY_FACTOR * seconds, DEMAND, _skew)
            moved = await run.load("moved", 10.0, DEMAND, _skew_elsewhere)
            await run.load("quiet", 3.0, 0.1, _spread)
            await run.load("flood", 2.0, FLOOD_DEMAND, _spread)
            await run.drain()
            _note_bound(report, run, admission, expect=admission == "escrow")
            _note_delivered(report, run, admission, steady, moved)
    control = max(0.0, cpu["escrow"] - cpu["unshared"])
    report.figures["control_cpu_share_per_daemon"] = round(control, 4)
    report.expect(control <= CONTROL_CPU_TARGET, "control takes at most 1.4% of a core")
    return report


async def _measure_light(report: Report, run: LimitsSite, admission: str, seconds: float) -> float:
    """Measure what control costs while all demand fits, also under static division."""
    await run.load("light-first", 2.0, LIGHT_DEMAND, _spread)
    bytes_before, cpu_before = await run.read_traffic(), run.read_cpu()
    asks_before = await run.count_asks()
    calls_before = await run.read_platform_calls()
    phase = await run.load("light", seconds, LIGHT_DEMAND, _spread)
    share = (run.read_cpu() - cpu_before) / DAEMONS / (phase.end - phase.start)
    traffic, calls = await run.read_traffic(), await run.read_platform_calls()
    report.figures[f"{admission}_light_cpu_share_per_daemon"] = round(share, 4)
    if admission == "escrow":
        # Each byte between peers is sent by one daemon and received by another.
        peer = 2 * (traffic["peer"] - bytes_before["peer"]) / DAEMONS / seconds
        store = (traffic["store"] - bytes_before["store"]) / DAEMONS / seconds
        report.figures["control_peer_bytes_per_s_per_daemon"] = round(peer)
        report.figures["control_store_bytes_per_s_per_daemon"] = round(store)
        report.expect(peer + store <= CONTROL_BYTES_TARGET, "control takes at most 13 KB/s")
        asks = (await run.count_asks() - asks_before) / DAEMONS / seconds
        report.figures["control_asks_per_s_per_daemon"] = round(asks, 1)
        for kind, count in calls.items():
            per_second = (count - calls_before[kind]) / seconds
            report.figures[f"platform_{kind}s_per_s"] = round(per_second, 2)
    return share


def _note_bound(report: Report, run: LimitsSite, name: str, expect: bool = True) -> None:
    for window in WINDOWS_S:
        worst, by_answer = 0.0, 0.0
        for customer in CUSTOMERS:
            admitted = run.logs[customer.name].admitted
            burst = customer.rate * customer.burst_seconds
            worst = max(worst, measure_peak_share(admitted, window, customer.rate, burst))
            answered = measure_peak_share_by_response(admitted, window, customer.rate, burst)
            by_answer = max(by_answer, answered)
        report.figures[f"{name}_worst_{window:g}s"] = round(worst, 4)
        report.figures[f"{name}_worst_by_answer_{window:g}s"] = round(by_answer, 4)
        if expect:
            report.expect(worst <= 1.0, f"{name}: bound held in all windows of {window:g} s")


def _note_delivered(
    report: Report, run: LimitsSite, name: str, steady: Phase, moved: Phase
) -> None:
    delivered, moves = {}, {}
    for customer in CUSTOMERS:
        admitted = run.logs[customer.name].admitted
        seconds = steady.end - steady.start
        amount = sum_amounts(admitted, steady.start, steady.end)
        delivered[customer.name] = round(amount / (customer.rate * seconds), 3)
        moves[customer.name] = round(
            measure_recovery_s(admitted, moved.start, moved.end, customer.rate), 1
        )
    report.figures[f"{name}_delivered"] = delivered
    report.figures[f"{name}_seconds_to_95_after_move"] = moves
    if name == "escrow":
        least, slowest = min(delivered.values()), max(moves.values())
        report.expect(least >= DELIVERED_TARGET, "each customer gets 0.95 of its rate")
        report.expect(slowest <= MOVE_TARGET_S, "0.95 again within 5 s after traffic moved")


async def _run_faults(options: Namespace) -> Report:
    report = Report()
    seconds = options.seconds or 6.0
    async with Site() as site, open_load_session() as session, asyncio.timeout(300):
        run = LimitsSite(site, session, "escrow")
        await run.start()
        await run.load("first", 5.0, DEMAND, _skew)
        for fault in (_flood, _kill, _pause, _cut_zone, _cut_all, _slow_store, _lose_answers):
            await fault(run, seconds)
        await _flood(run, seconds)
        await run.load("recovered", 6.0, DEMAND, _skew)
        await run.drain()
        for phase in run.phases:
            _note_served(report, run, phase)
        await _note_started(report, run)
        _note_bound(report, run, "faults")
    return report


def _note_served(report: Report, run: LimitsSite, phase: Phase) -> None:
    seconds = phase.end - phase.start
    shares = {}
    for customer in CUSTOMERS:
        amount = sum_amounts(run.logs[customer.name].admitted, phase.start, phase.end)
        shares[customer.name] = amount / (customer.rate * seconds)
    mean = sum(shares.values()) / len(shares)
    least = min(shares, key=lambda name: shares[name])
    report.figures[f"delivered_{phase.name}"] = [round(mean, 2), least, round(shares[least], 2)]


async def _note_started(report: Report, run: LimitsSite) -> None:
    """Compare the calls that callers saw run with those that the engines began."""
    seen = sum(len(run.logs[customer.name].admitted) for customer in CUSTOMERS)
    report.figures["calls_seen_to_run"] = seen
    report.figures["calls_begun_by_engines"] = await run.count_started()


async def _flood(run: LimitsSite, seconds: float) -> None:
    """Ask for many times the contract right after a quiet time."""
    await run.load("quiet", 3.0, 0.1, _spread)
    await run.load("flood", 2.0, FLOOD_DEMAND, _spread)


async def _kill(run: LimitsSite, seconds: float) -> None:
    """Kill one daemon of each of two zones, then start them again with empty memory."""
    for index in (0, 4):
        await run.entries[index].kill()
    await run.load("killed", seconds, DEMAND, _skew)
    for index in (0, 4):
        await run.restart(index)
    await run.load("restarted", seconds, DEMAND, _skew)


async def _pause(run: LimitsSite, seconds: float) -> None:
    """Pause two daemons for longer than a lease, and let them wake."""
    for index in (1, 5):
        run.entries[index].pause()
    await run.load("paused", max(seconds, 13.0), DEMAND, _avoid_paused)
    for index in (1, 5):
        run.entries[index].resume()
    await run.load("resumed", seconds, DEMAND, _skew)


def _avoid_paused(place: int, number: int) -> int:
    """Send few calls to paused daemons, which answer them when they wake."""
    index = _skew(place, number)
    return index if index not in (1, 5) or number % 20 == 0 else (index + 1) % DAEMONS


async def _cut_zone(run: LimitsSite, seconds: float) -> None:
    """Cut the first zone's daemons from the store, and everybody from its homes."""
    names = [f"{kind}-{index}" for kind in ("peer", "store") for index in range(3)]
    await run.fault_routes(names, hold_up=True, hold_down=True)
    await run.load("zone-cut", seconds, DEMAND, _skew)
    await run.fault_routes(names)
    await run.load("zone-healed", seconds, DEMAND, _skew)


async def _cut_all(run: LimitsSite, seconds: float) -> None:
    """Hold all answers between peers while the store is down."""
    await run.fault_platform(down=True)
    await run.load("store-down", seconds, DEMAND, _skew)
    await run.fault_routes([f"peer-{index}" for index in range(DAEMONS)], hold_down=True)
    await run.load("all-cut", seconds, DEMAND, _skew)
    await run.fault_routes(["*"])
    await run.load("peers-healed", seconds, DEMAND, _skew)
    await run.fault_platform()


async def _slow_store(run: LimitsSite, seconds: float) -> None:
    """Delay all of the store's answers, and kill a daemon meanwhile."""
    await run.fault_platform(delay=1.5)
    await run.entries[7].kill()
    await run.load("store-slow", seconds, DEMAND, _skew)
    await run.fault_platform()
    await run.restart(7)


async def _lose_answers(run: LimitsSite, seconds: float) -> None:
    """Lose half of the answers to writes while daemons are replaced one by one."""
    await run.fault_platform(lose_answers=0.5)
    for index in (2, 3):
        await run.entries[index].stop()
        await run.restart(index)
        await run.load("replaced", seconds / 2, DEMAND, _skew)
    await run.fault_platform()
