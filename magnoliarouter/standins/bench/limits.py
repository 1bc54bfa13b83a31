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
DEMAND_FACTOR = 1.3
LIGHT_DEMAND_FACTOR = 0.7
FLOOD_DEMAND_FACTOR = 6.0
# The smallest customer makes enough calls in this time that one more or less is not 5%.
STEADY_DURATION_FACTOR = 2.5
DELIVERED_TARGET = 0.95
RECOVERY_TARGET_S = 5.0
CONTROL_BYTES_PER_S_TARGET = 13_000
CONTROL_CORE_SHARE_TARGET = 0.014
BUSY_CALLS_IN_TEN = 7


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    return [
        Experiment("limits", "bound, delivered rate, moved traffic and cost of limits", _run),
        Experiment("limits-faults", "bound of limits under faults", _run_faults),
    ]


def _route_evenly(customer_index: int, call_number: int) -> int:
    return (customer_index + call_number) % DAEMONS


def _route_skewed(customer_index: int, call_number: int) -> int:
    """Seven calls in ten go to one daemon, the others to all in turn."""
    return (
        customer_index % DAEMONS
        if call_number % 10 < BUSY_CALLS_IN_TEN
        else (customer_index + call_number) % DAEMONS
    )


def _route_skewed_to_others(customer_index: int, call_number: int) -> int:
    return _route_skewed(customer_index + 4, call_number)


async def _run(options: Namespace) -> Report:
    report = Report()
    seconds = options.seconds or 8.0
    async with Site() as site, open_load_session() as session, asyncio.timeout(120):
        limits_site = LimitsSite(site, session, "static", static_share=1.0)
        await limits_site.start()
        cpu = {"unshared": await _measure_light_load(report, limits_site, "unshared", seconds)}
    for admission in ("escrow", "static"):
        async with Site() as site, open_load_session() as session, asyncio.timeout(240):
            limits_site = LimitsSite(site, session, admission)
            await limits_site.start()
            cpu[admission] = await _measure_light_load(report, limits_site, admission, seconds)
            await limits_site.send_load("first", 4.0, DEMAND_FACTOR, _route_skewed)
            steady = await limits_site.send_load(
                "steady", STEADY_DURATION_FACTOR * seconds, DEMAND_FACTOR, _route_skewed
            )
            moved = await limits_site.send_load(
                "moved", 10.0, DEMAND_FACTOR, _route_skewed_to_others
            )
            await limits_site.send_load("quiet", 3.0, 0.1, _route_evenly)
            await limits_site.send_load("flood", 2.0, FLOOD_DEMAND_FACTOR, _route_evenly)
            await limits_site.wait_for_calls()
            _record_bound(report, limits_site, admission, expect=admission == "escrow")
            _record_delivered(report, limits_site, admission, steady, moved)
    control = max(0.0, cpu["escrow"] - cpu["unshared"])
    report.figures["control_cpu_share_per_daemon"] = round(control, 4)
    report.expect(control <= CONTROL_CORE_SHARE_TARGET, "control takes at most 1.4% of a core")
    return report


async def _measure_light_load(
    report: Report, limits_site: LimitsSite, admission: str, seconds: float
) -> float:
    """Measure what control costs while all demand fits, also under static division."""
    await limits_site.send_load("light-first", 2.0, LIGHT_DEMAND_FACTOR, _route_evenly)
    bytes_before, cpu_before = await limits_site.read_traffic(), limits_site.read_cpu()
    loan_requests_before = await limits_site.count_loan_requests()
    calls_before = await limits_site.read_platform_calls()
    phase = await limits_site.send_load("light", seconds, LIGHT_DEMAND_FACTOR, _route_evenly)
    share = (limits_site.read_cpu() - cpu_before) / DAEMONS / (phase.end - phase.start)
    traffic, calls = await limits_site.read_traffic(), await limits_site.read_platform_calls()
    report.figures[f"{admission}_light_cpu_share_per_daemon"] = round(share, 4)
    if admission == "escrow":
        # Each byte between peers is sent by one daemon and received by another.
        peer = 2 * (traffic["peer"] - bytes_before["peer"]) / DAEMONS / seconds
        store = (traffic["store"] - bytes_before["store"]) / DAEMONS / seconds
        report.figures["control_peer_bytes_per_s_per_daemon"] = round(peer)
        report.figures["control_store_bytes_per_s_per_daemon"] = round(store)
        report.expect(peer + store <= CONTROL_BYTES_PER_S_TARGET, "control takes at most 13 KB/s")
        loan_requests = (
            (await limits_site.count_loan_requests() - loan_requests_before) / DAEMONS / seconds
        )
        report.figures["control_asks_per_s_per_daemon"] = round(loan_requests, 1)
        for kind, count in calls.items():
            per_second = (count - calls_before[kind]) / seconds
            report.figures[f"platform_{kind}s_per_s"] = round(per_second, 2)
    return share


def _record_bound(report: Report, limits_site: LimitsSite, name: str, expect: bool = True) -> None:
    for window in WINDOWS_S:
        worst, by_response = 0.0, 0.0
        for customer in CUSTOMERS:
            admitted = limits_site.logs[customer.name].admitted
            burst = customer.rate * customer.burst_seconds
            worst = max(worst, measure_peak_share(admitted, window, customer.rate, burst))
            answered = measure_peak_share_by_response(admitted, window, customer.rate, burst)
            by_response = max(by_response, answered)
        report.figures[f"{name}_worst_{window:g}s"] = round(worst, 4)
        report.figures[f"{name}_worst_by_answer_{window:g}s"] = round(by_response, 4)
        if expect:
            report.expect(worst <= 1.0, f"{name}: bound held in all windows of {window:g} s")


def _record_delivered(
    report: Report, limits_site: LimitsSite, name: str, steady: Phase, moved: Phase
) -> None:
    delivered, recovery_times = {}, {}
    for customer in CUSTOMERS:
        admitted = limits_site.logs[customer.name].admitted
        seconds = steady.end - steady.start
        amount = sum_amounts(admitted, steady.start, steady.end)
        delivered[customer.name] = round(amount / (customer.rate * seconds), 3)
        recovery_times[customer.name] = round(
            measure_recovery_s(admitted, moved.start, moved.end, customer.rate), 1
        )
    report.figures[f"{name}_delivered"] = delivered
    report.figures[f"{name}_seconds_to_95_after_move"] = recovery_times
    if name == "escrow":
        least, slowest = min(delivered.values()), max(recovery_times.values())
        report.expect(least >= DELIVERED_TARGET, "each customer gets 0.95 of its rate")
        report.expect(slowest <= RECOVERY_TARGET_S, "0.95 again within 5 s after traffic moved")


async def _run_faults(options: Namespace) -> Report:
    report = Report()
    seconds = options.seconds or 6.0
    async with Site() as site, open_load_session() as session, asyncio.timeout(300):
        limits_site = LimitsSite(site, session, "escrow")
        await limits_site.start()
        await limits_site.send_load("first", 5.0, DEMAND_FACTOR, _route_skewed)
        for fault in (
            _flood,
            _kill_and_restart,
            _pause_and_resume,
            _cut_and_heal_zone,
            _cut_all_peers,
            _slow_store,
            _lose_write_responses,
        ):
            await fault(limits_site, seconds)
        await _flood(limits_site, seconds)
        await limits_site.send_load("recovered", 6.0, DEMAND_FACTOR, _route_skewed)
        await limits_site.wait_for_calls()
        for phase in limits_site.phases:
            _record_served(report, limits_site, phase)
        await _record_started(report, limits_site)
        _record_bound(report, limits_site, "faults")
    return report


def _record_served(report: Report, limits_site: LimitsSite, phase: Phase) -> None:
    seconds = phase.end - phase.start
    shares = {}
    for customer in CUSTOMERS:
        amount = sum_amounts(limits_site.logs[customer.name].admitted, phase.start, phase.end)
        shares[customer.name] = amount / (customer.rate * seconds)
    mean = sum(shares.values()) / len(shares)
    least = min(shares, key=lambda name: shares[name])
    report.figures[f"delivered_{phase.name}"] = [round(mean, 2), least, round(shares[least], 2)]


async def _record_started(report: Report, limits_site: LimitsSite) -> None:
    """Compare the calls that callers saw run with those that the engines began."""
    seen = sum(len(limits_site.logs[customer.name].admitted) for customer in CUSTOMERS)
    report.figures["calls_seen_to_run"] = seen
    report.figures["calls_begun_by_engines"] = await limits_site.count_started()


async def _flood(limits_site: LimitsSite, seconds: float) -> None:
    """Ask for many times the contract right after a quiet time."""
    await limits_site.send_load("quiet", 3.0, 0.1, _route_evenly)
    await limits_site.send_load("flood", 2.0, FLOOD_DEMAND_FACTOR, _route_evenly)


async def _kill_and_restart(limits_site: LimitsSite, seconds: float) -> None:
    """Kill one daemon of each of two zones, then start them again with empty memory."""
    for index in (0, 4):
        await limits_site.entries[index].kill()
    await limits_site.send_load("killed", seconds, DEMAND_FACTOR, _route_skewed)
    for index in (0, 4):
        await limits_site.restart(index)
    await limits_site.send_load("restarted", seconds, DEMAND_FACTOR, _route_skewed)


async def _pause_and_resume(limits_site: LimitsSite, seconds: float) -> None:
    """Pause two daemons for longer than a lease, and let them wake."""
    for index in (1, 5):
        limits_site.entries[index].pause()
    await limits_site.send_load("paused", max(seconds, 13.0), DEMAND_FACTOR, _route_around_paused)
    for index in (1, 5):
        limits_site.entries[index].resume()
    await limits_site.send_load("resumed", seconds, DEMAND_FACTOR, _route_skewed)


def _route_around_paused(customer_index: int, call_number: int) -> int:
    """Send few calls to paused daemons, which answer them when they wake."""
    index = _route_skewed(customer_index, call_number)
    return index if index not in (1, 5) or call_number % 20 == 0 else (index + 1) % DAEMONS


async def _cut_and_heal_zone(limits_site: LimitsSite, seconds: float) -> None:
    """Cut the first zone's daemons from the store, and everybody from its homes."""
    names = [f"{kind}-{index}" for kind in ("peer", "store") for index in range(3)]
    await limits_site.set_route_faults(names, hold_up=True, hold_down=True)
    await limits_site.send_load("zone-cut", seconds, DEMAND_FACTOR, _route_skewed)
    await limits_site.set_route_faults(names)
    await limits_site.send_load("zone-healed", seconds, DEMAND_FACTOR, _route_skewed)


async def _cut_all_peers(limits_site: LimitsSite, seconds: float) -> None:
    """Hold all answers between peers while the store is down."""
    await limits_site.set_platform_faults(down=True)
    await limits_site.send_load("store-down", seconds, DEMAND_FACTOR, _route_skewed)
    await limits_site.set_route_faults(
        [f"peer-{index}" for index in range(DAEMONS)], hold_down=True
    )
    await limits_site.send_load("all-cut", seconds, DEMAND_FACTOR, _route_skewed)
    await limits_site.set_route_faults(["*"])
    await limits_site.send_load("peers-healed", seconds, DEMAND_FACTOR, _route_skewed)
    await limits_site.set_platform_faults()


async def _slow_store(limits_site: LimitsSite, seconds: float) -> None:
    """Delay all of the store's answers, and kill a daemon meanwhile."""
    await limits_site.set_platform_faults(delay=1.5)
    await limits_site.entries[7].kill()
    await limits_site.send_load("store-slow", seconds, DEMAND_FACTOR, _route_skewed)
    await limits_site.set_platform_faults()
    await limits_site.restart(7)


async def _lose_write_responses(limits_site: LimitsSite, seconds: float) -> None:
    """Lose half of the answers to writes while daemons are replaced one by one."""
    await limits_site.set_platform_faults(lose_answers=0.5)
    for index in (2, 3):
        await limits_site.entries[index].stop()
        await limits_site.restart(index)
        await limits_site.send_load("replaced", seconds / 2, DEMAND_FACTOR, _route_skewed)
    await limits_site.set_platform_faults()
