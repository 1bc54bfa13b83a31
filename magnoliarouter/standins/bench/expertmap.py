"""Experiment ``map``: switches of the expert map under every fault in every phase."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.bench.groupsite import ROUTE_DELAY_S, GroupSite
from magnoliarouter.standins.launch import Site

if TYPE_CHECKING:
    from magnoliarouter.standins.bench.groupsite import PhaseEvent, StepRecord

__all__ = ["experiments"]

RANKS = 4
GROUPS = 3
DEFAULT_SECONDS = 60.0
PHASES = ("propose-write", "prepare", "arm", "commit-write", "spread")
FAULTS = (
    "controller-kill",
    "controller-pause",
    "rank-restart",
    "rank-pause",
    "partition",
    "store-down",
    "lost-answers",
    "partition-of-all-rank-restart",
    "all-ranks-restart",
    "controller-kill-store-down",
)
FAULT_DURATION_S = 1.2
CONTROLLER_PAUSE_S = 3.0
RECOVERY_TIMEOUT_S = 20.0
STALL_THRESHOLD_S = 0.1
GROUP_SETTINGS = {
    "layers": 4,
    "experts": 16,
    "layer_slots": 6,
    "expert_bytes": 8_000_000,
    "store_bytes_per_second": 1e9,
    "interval_seconds": 1.0,
    "favour": "skew",
}
RANK_OPTIONS = ("--drift=court-list", "--period=1.5", "--step-seconds=0.02")
FULL_RANKS = 32
FULL_SECONDS = 20.0
FULL_SETTINGS = {
    **GROUP_SETTINGS,
    "layers": 60,
    "experts": 64,
    "layer_slots": 4,
    "expert_bytes": 4_000_000,
    "interval_seconds": 2.0,
}
FULL_RANK_OPTIONS = ("--drift=court-list", "--period=6", "--step-seconds=0.15")


@dataclass(slots=True)
class _Results:
    """What was seen over all groups."""

    cases: list[tuple[str, str]] = field(default_factory=list)
    unrecovered: list[str] = field(default_factory=list)
    recovery_s: list[float] = field(default_factory=list)
    events: list[list[PhaseEvent]] = field(default_factory=list)
    steps: list[list[StepRecord]] = field(default_factory=list)


async def run(options: Any) -> Report:
    """Run all cases that fit into the time, spread over several groups."""
    seconds = options.seconds or DEFAULT_SECONDS
    cases = [(fault, phase) for fault in FAULTS for phase in PHASES]
    random.Random(options.seed).shuffle(cases)
    results = _Results()
    async with Site() as site, open_session() as session:
        groups = [
            GroupSite(
                site, session, number, RANKS, GROUP_SETTINGS, (*RANK_OPTIONS, f"--seed={number}")
            )
            for number in range(1, GROUPS + 1)
        ]
        await asyncio.gather(*(group.start() for group in groups))
        deadline = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(_run_cases(group, cases, deadline, results) for group in groups))
        for group in groups:
            results.events.append(group.events)
            results.steps.append(group.read_steps())
    return _build_report(results, len(FAULTS) * len(PHASES))


async def _run_cases(
    group: GroupSite, cases: list[tuple[str, str]], deadline: float, results: _Results
) -> None:
    loop = asyncio.get_running_loop()
    rank = 0
    while cases and loop.time() < deadline:
        fault, phase = cases.pop()
        event = await group.wait_for_phase({phase}, len(group.events), RECOVERY_TIMEOUT_S)
        if event is None:
            results.unrecovered.append(f"{group.name}: phase {phase} not reached before {fault}")
            continue
        rank = (rank + 1) % RANKS
        start_time = loop.time()
        await _inject_fault(group, fault, event.daemon, rank)
        recovered = await _wait_for_commit(group, event)
        results.cases.append((fault, phase))
        if recovered:
            results.recovery_s.append(loop.time() - start_time)
        else:
            results.unrecovered.append(f"{group.name}: {fault} at {phase}")


async def _wait_for_commit(group: GroupSite, event: PhaseEvent) -> bool:
    after = len(group.events)
    while True:
        idle_event = await group.wait_for_phase({"idle"}, after, RECOVERY_TIMEOUT_S)
        if idle_event is None or idle_event.version > event.version:
            return idle_event is not None
        after = group.events.index(idle_event) + 1


async def _inject_fault(group: GroupSite, fault: str, daemon: str, rank: int) -> None:
    match fault:
        case "controller-kill":
            await group.entries[daemon].kill()
            await group.start_entry(daemon)
        case "controller-pause":
            group.entries[daemon].pause()
            await asyncio.sleep(CONTROLLER_PAUSE_S)
            group.entries[daemon].resume()
        case "rank-restart":
            await group.restart_rank(rank)
        case "rank-pause":
            group.rank_processes[rank].pause()
            await asyncio.sleep(FAULT_DURATION_S)
            group.rank_processes[rank].resume()
        case "partition":
            await group.set_route(f"rank-{rank}", {"hold_up": True, "hold_down": True})
            await asyncio.sleep(FAULT_DURATION_S)
            await group.set_route(f"rank-{rank}", {"delay": ROUTE_DELAY_S})
        case "partition-of-all-rank-restart":
            await group.set_route("*", {"hold_up": True, "hold_down": True})
            await group.restart_rank(rank)
            await asyncio.sleep(FAULT_DURATION_S)
            await group.set_route("*", {"delay": ROUTE_DELAY_S})
        case "all-ranks-restart":
            await asyncio.gather(*(process.kill() for process in group.rank_processes))
            await asyncio.gather(*(group.restart_rank(number) for number in range(RANKS)))
        case "controller-kill-store-down":
            await group.put_json(f"{group.platform.url}/faults", {"down": True})
            await group.entries[daemon].kill()
            await asyncio.sleep(FAULT_DURATION_S)
            await group.put_json(f"{group.platform.url}/faults", {})
            await group.start_entry(daemon)
        case "store-down" | "lost-answers":
            faults = {"down": True} if fault == "store-down" else {"lose_answers": 1.0}
            await group.put_json(f"{group.platform.url}/faults", faults)
            await asyncio.sleep(FAULT_DURATION_S)
            await group.put_json(f"{group.platform.url}/faults", {})


async def run_full_size(options: Any) -> Report:
    """Let one group of full size step and switch for a while, without faults."""
    report = Report()
    async with Site() as site, open_session() as session:
        rank_options = (*FULL_RANK_OPTIONS, f"--seed={options.seed}")
        group = GroupSite(site, session, 5, FULL_RANKS, FULL_SETTINGS, rank_options, 8)
        await group.start()
        await group.wait_for_phase({"idle"}, 0, RECOVERY_TIMEOUT_S)
        await asyncio.sleep(options.seconds or FULL_SECONDS)
        group.read_events()
        lines = group.read_steps()
    times = _list_switch_times(group.events)
    report.figures = {
        "ranks": FULL_RANKS,
        "layers": FULL_SETTINGS["layers"],
        "experts": FULL_SETTINGS["experts"],
        "steps": len({(line.generation, line.step) for line in lines}),
        "steps_with_two_maps": _count_steps_with_two_maps(lines),
        "switches": len(times),
        "switch_p50_s": round(percentile(times, 0.5), 3) if times else None,
        "switch_max_s": round(max(times, default=0.0), 3),
        "stall_steps": _count_stalled_steps(lines),
    }
    report.expect(report.figures["steps_with_two_maps"] == 0, "0 steps with two maps")
    report.expect(bool(times), "switches take place")
    return report


def _build_report(results: _Results, planned: int) -> Report:
    report = Report()
    two_maps = sum(_count_steps_with_two_maps(lines) for lines in results.steps)
    times = [seconds for events in results.events for seconds in _list_switch_times(events)]
    waits = [
        line.wait_s for lines in results.steps for line in lines if line.wait_s > STALL_THRESHOLD_S
    ]
    events = [event for found in results.events for event in found]
    stalls = sum(_count_stalled_steps(lines) for lines in results.steps)
    steps = sum(len({(line.generation, line.step) for line in lines}) for lines in results.steps)
    report.figures = {
        "cases": len(results.cases),
        "cases_planned": planned,
        "cases_not_run": planned - len(results.cases),
        "steps": steps,
        "steps_with_two_maps": two_maps,
        "switches": len(times),
        "aborts": sum(_count_aborts(events) for events in results.events),
        "switch_p50_s": round(percentile(times, 0.5), 3) if times else None,
        "switch_p95_s": round(percentile(times, 0.95), 3) if times else None,
        "stall_steps": stalls,
        "stall_max_s": round(max(waits, default=0.0), 3),
        "confirmed_without_store": sum(event.phase == "confirm" for event in events),
        "takeovers": len({event.epoch for event in events if event.phase == "query"}),
        "recovery_p50_s": (
            round(percentile(results.recovery_s, 0.5), 2) if results.recovery_s else None
        ),
        "recovery_max_s": round(max(results.recovery_s, default=0.0), 2),
        "unrecovered": results.unrecovered,
    }
    report.expect(two_maps == 0, "0 steps with two maps")
    report.expect(not results.unrecovered, "every case ends in a new switch")
    report.expect(bool(times), "switches take place")
    return report


def _count_steps_with_two_maps(lines: list[StepRecord]) -> int:
    versions = defaultdict(set)
    for line in lines:
        versions[line.generation, line.step].add(line.version)
    return sum(len(found) > 1 for found in versions.values())


def _count_stalled_steps(lines: list[StepRecord]) -> int:
    return len({(line.generation, line.step) for line in lines if line.wait_s > STALL_THRESHOLD_S})


def _count_aborts(events: list[PhaseEvent]) -> int:
    proposed = {event.target for event in events if event.phase == "prepare"}
    latest = max((event.version for event in events), default=0)
    in_force = {event.version for event in events}
    return sum(version < latest for version in proposed - in_force)


def _list_switch_times(events: list[PhaseEvent]) -> list[float]:
    """Return the times from the first proposal of a version to its end at all ranks."""
    proposed: dict[int, float] = {}
    times = []
    for event in sorted(events, key=lambda event: event.timestamp):
        if event.phase == "propose-write":
            proposed.setdefault(event.target, event.timestamp)
        elif event.phase == "idle" and event.version in proposed:
            times.append(event.timestamp - proposed.pop(event.version))
    return times


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    return [
        Experiment("map", "All ranks use one expert map in every step, under faults", run),
        Experiment("map-size", "Switches of a group of 32 ranks", run_full_size),
    ]
