"""Experiment `rollout`: amendments come into force at all daemons under faults and never revert."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from magnoliarouter.core.membership import EntryVm
from magnoliarouter.core.relays import plan_relays
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.peers import PeerClient, PeerError
from magnoliarouter.peers.status import STATUS_METHOD, StatusReply, StatusRequest
from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.bench.measure import read_process
from magnoliarouter.standins.bench.rollout_judge import AcceptedChange, Outage, PropagationTracker
from magnoliarouter.standins.bench.rollout_site import RolloutSite
from magnoliarouter.standins.launch import PEER_KEY, Site, contract_value
from magnoliarouter.store.client import Conflict, Found, PlatformClient, Unavailable
from magnoliarouter.store.contracts import Accepted as AcceptedWrite
from magnoliarouter.store.contracts import ContractStore
from magnoliarouter.store.objects import ContractSpec, decode_object

if TYPE_CHECKING:
    from argparse import Namespace

__all__ = ["experiments"]

CUSTOMERS = tuple(f"customer-{number}" for number in range(10))
LIMITS = {"requests_per_second": 10, "tokens_per_second": 1000, "tokens_per_request": 1}
OPERATORS = 3
AMEND_INTERVAL_S = 0.25
STATUS_INTERVAL_S = 0.1
STATUS_TIMEOUT_S = 0.5
PHASE_DURATION_S = 5.0
SETTLE_TIMEOUT_S = 15.0
PROPAGATION_TARGET_S = 5.0
PROPAGATION_P999_TARGET_S = 15.0


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    description = "seconds until amendments are in force at 9 daemons, reverts and lost changes"
    return [Experiment("rollout", description, _run)]


class _RolloutRun:
    """One run, with operators that amend contracts and observers of the daemons."""

    def __init__(self, rollout_site: RolloutSite, client: PlatformClient, seed: int) -> None:
        self.site = rollout_site
        self.client = client
        self.tracker = PropagationTracker()
        self.peers = PeerClient(PEER_KEY)
        self.clock = asyncio.get_running_loop().time
        self.rng = random.Random(seed)
        self.accepted: dict[str, list[str]] = {name: [] for name in CUSTOMERS}
        self.refused: Counter[str] = Counter()
        self.write_seconds: list[float] = []

    async def create_contracts(self) -> None:
        """Write the first revision of each contract."""
        contract_store = ContractStore(self.client, "bench")
        for name in CUSTOMERS:
            spec = decode_object("contract", contract_value(name, f"key-{name}", current=LIMITS))
            outcome = await contract_store.create(spec)
            assert isinstance(outcome, AcceptedWrite), outcome
            self._record_accepted(name, outcome)

    async def amend_repeatedly(self, number: int) -> None:
        """Amend contracts as one operator until cancelled.

        Each amendment adds 1 to a counter in the contract.
        """
        contract_store = ContractStore(self.client, f"operator-{number}")
        rng = random.Random(self.rng.random())
        while True:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * AMEND_INTERVAL_S * OPERATORS)
            # Few customers, so that operators race on the same contract.
            await self._amend(contract_store, rng.choice(CUSTOMERS[:4]))

    async def _amend(self, contract_store: ContractStore, customer: str) -> None:
        found = await self.client.read("contract", customer)
        if not isinstance(found, Found):
            self.refused["unread"] += 1
            return
        item = found.items[0]
        start = self.clock()
        outcome = await contract_store.amend(
            item, _increment(decode_object("contract", item.value))
        )
        self.write_seconds.append(self.clock() - start)
        match outcome:
            case AcceptedWrite():
                self._record_accepted(customer, outcome)
            case Conflict():
                self.refused["conflict"] += 1
            case _:
                self.refused[type(outcome).__name__.lower()] += 1

    def _record_accepted(self, customer: str, outcome: AcceptedWrite) -> None:
        assert outcome.value is not None
        self.accepted[customer].append(outcome.value["revision"]["write_id"])
        self.tracker.record_accepted(AcceptedChange(customer, outcome.version, self.clock()))

    async def poll_status(self, name: str) -> None:
        """Poll the versions that one daemon has in force, until cancelled."""
        member = self.site.members[name]
        request = StatusRequest("contract", list(CUSTOMERS))
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            try:
                reply = await self.peers.call(
                    member.peers_address, STATUS_METHOD, request, StatusReply, STATUS_TIMEOUT_S
                )
            except PeerError:
                continue
            if reply.ready:
                self.site.record_return(name)
                self.tracker.record_versions(name, reply.applied, self.clock())

    def list_relays(self, zone: str) -> list[str]:
        """Return the daemons of a zone that act as relays."""
        members = self.site.members.values()
        vms = [EntryVm(member.name, member.zone, member.peers_address) for member in members]
        return [
            vm.name
            for vm in vms
            if vm.zone == zone and plan_relays(vm.name, vm.zone, vms).holds_duty
        ]

    async def find_lost_changes(self) -> tuple[list[str], list[str]]:
        """Return the accepted changes that the platform has lost, and those overwritten."""
        lost, overwritten = [], []
        for customer, accepted in self.accepted.items():
            found = await self.client.read("contract", customer)
            history = await ContractStore(self.client).read_history(customer)
            assert isinstance(found, Found) and not isinstance(history, Unavailable)
            current = decode_object("contract", found.items[0].value)
            revisions = [spec.revision for spec in (*history[1], current)]
            stored = {revision.write_id for revision in revisions}
            # The history is bounded: its oldest entries may have been dropped.
            lost += [write_id for write_id in accepted[-len(revisions) :] if write_id not in stored]
            numbers = [revision.number for revision in revisions]
            if numbers != list(range(numbers[0], numbers[0] + len(numbers))):
                overwritten.append(f"{customer}: revisions {numbers}")
            count = current.limits["current"].tokens_per_request
            if count != current.revision.number:
                overwritten.append(f"{customer}: counter {count} at {current.revision.number}")
            if current.revision.number < len(accepted):
                lost.append(f"{customer}: {len(accepted)} accepted, {current.revision.number} kept")
        return lost, overwritten


def _increment(spec: ContractSpec) -> ContractSpec:
    from msgspec.structs import replace

    limits = spec.limits["current"]
    changed = replace(limits, tokens_per_request=limits.tokens_per_request + 1)
    return replace(spec, limits={**spec.limits, "current": changed})


async def _run(options: Namespace) -> Report:
    report = Report()
    phase = (options.seconds or 9 * PHASE_DURATION_S) / 9
    loop = asyncio.get_running_loop()
    async with Site() as site, open_session() as session, asyncio.timeout(600):
        rollout_site = RolloutSite(site, session, loop.time)
        await rollout_site.start()
        client = PlatformClient(rollout_site.platform.url, session)
        rollout = _RolloutRun(rollout_site, client, options.seed)
        await rollout.create_contracts()
        observers = [
            asyncio.create_task(rollout.poll_status(name)) for name in rollout_site.members
        ]
        await _wait_until_applied(rollout)
        await _measure_idle(report, rollout, phase)
        operators = [asyncio.create_task(rollout.amend_repeatedly(n)) for n in range(OPERATORS)]
        for inject_fault in FAULTS:
            before, start = len(rollout.tracker.accepted), loop.time()
            await inject_fault(rollout, phase)
            count = len(rollout.tracker.accepted) - before
            report.figures[f"{inject_fault.__name__[1:]}_accepted"] = count
            _record_phase_start(report, rollout, inject_fault.__name__[1:], start)
        for task in operators:
            task.cancel()
        await asyncio.gather(*operators, return_exceptions=True)
        await _wait_until_applied(rollout)
        for task in observers:
            task.cancel()
        await asyncio.gather(*observers, return_exceptions=True)
        await _record_results(report, rollout)
        await rollout.peers.close()
    return report


async def _wait_until_applied(rollout: _RolloutRun) -> None:
    """Wait until every daemon has the newest accepted change of each contract, or time out."""
    end = rollout.clock() + SETTLE_TIMEOUT_S
    while rollout.clock() < end:
        await asyncio.sleep(STATUS_INTERVAL_S)
        times = rollout.tracker.measure_propagation({name: [] for name in rollout.site.members})
        if float("inf") not in times:
            return


async def _measure_idle(report: Report, rollout: _RolloutRun, seconds: float) -> None:
    """Measure the platform's calls and the daemons' CPU time while nothing changes.

    The CPU time includes the status calls of the observers.
    """
    members = list(rollout.site.members.values())
    calls = await rollout.site.read_platform_calls()
    used = [read_process(m.process.child.pid).cpu_seconds for m in members if m.process]
    await asyncio.sleep(2 * seconds)
    after = await rollout.site.read_platform_calls()
    now = [read_process(m.process.child.pid).cpu_seconds for m in members if m.process]
    per_second = {kind: (after[kind] - calls[kind]) / (2 * seconds) for kind in calls}
    report.figures["idle_platform_calls_per_s"] = round(sum(per_second.values()), 2)
    shares = [(b - a) / (2 * seconds) for a, b in zip(used, now, strict=True)]
    report.figures["core_share_most_under_observation"] = round(max(shares), 4)


async def _calm(rollout: _RolloutRun, seconds: float) -> None:
    await asyncio.sleep(seconds)


async def _kill_relay(rollout: _RolloutRun, seconds: float) -> None:
    name = rollout.list_relays("zone-1")[0]
    await rollout.site.kill_member(name)
    await asyncio.sleep(seconds / 2)
    await rollout.site.start_member(name)
    await asyncio.sleep(seconds / 2)


async def _pause_relays(rollout: _RolloutRun, seconds: float) -> None:
    names = rollout.list_relays("zone-2")
    for name in names:
        rollout.site.pause_member(name)
    await asyncio.sleep(seconds)
    for name in names:
        rollout.site.resume_member(name)


async def _slow_and_lossy_store(rollout: _RolloutRun, seconds: float) -> None:
    faults = {"delay": 0.4, "lose_answers": 0.3, "seed": rollout.rng.randrange(1000)}
    await rollout.site.set_platform_faults(**faults)
    await asyncio.sleep(seconds)
    await rollout.site.set_platform_faults()


async def _zone_without_platform(rollout: _RolloutRun, seconds: float) -> None:
    names = [name for name in rollout.site.members if name.startswith("zone-3")]
    for name in names:
        await rollout.site.hold_route("platform", name)
    await asyncio.sleep(seconds)
    for name in names:
        await rollout.site.hold_route("platform", name, held=False)


async def _relays_without_peers(rollout: _RolloutRun, seconds: float) -> None:
    names = rollout.list_relays("zone-2")
    for name in names:
        await rollout.site.hold_route("peers", name)
    await asyncio.sleep(seconds)
    for name in names:
        await rollout.site.hold_route("peers", name, held=False)


async def _platform_down(rollout: _RolloutRun, seconds: float) -> None:
    start = rollout.clock()
    await rollout.site.set_platform_faults(down=True)
    await asyncio.sleep(seconds / 2)
    await rollout.site.set_platform_faults()
    outage = Outage(start, rollout.clock())
    for member in rollout.site.members.values():
        member.outages.append(outage)
    await asyncio.sleep(seconds / 2)


async def _stale_lists_and_gaps(rollout: _RolloutRun, seconds: float) -> None:
    await rollout.site.set_platform_faults(gap=True, stale_reads=3)
    await asyncio.sleep(seconds / 2)
    await rollout.site.set_platform_faults()
    await asyncio.sleep(seconds / 2)


async def _kill_in_a_cut_off_zone_with_lossy_store(rollout: _RolloutRun, seconds: float) -> None:
    await rollout.site.set_platform_faults(lose_answers=0.3, seed=rollout.rng.randrange(1000))
    await asyncio.gather(_zone_without_platform(rollout, seconds), _kill_relay(rollout, seconds))
    await rollout.site.set_platform_faults()


# Phases of the experiment, in order; the first causes no fault.
FAULTS = (
    _calm,
    _kill_relay,
    _pause_relays,
    _slow_and_lossy_store,
    _zone_without_platform,
    _relays_without_peers,
    _platform_down,
    _stale_lists_and_gaps,
    _kill_in_a_cut_off_zone_with_lossy_store,
)


def _record_phase_start(report: Report, rollout: _RolloutRun, name: str, start: float) -> None:
    """Record the start of a phase, by which changes are assigned to phases later."""
    report.figures.setdefault("phases", {})[name] = start


async def _record_results(report: Report, rollout: _RolloutRun) -> None:
    tracker, members = rollout.tracker, rollout.site.members
    outages = {name: member.outages for name, member in members.items()}
    times = tracker.measure_propagation(outages)
    phases: dict[str, Any] = report.figures.pop("phases")
    for name, worst in _find_worst_by_phase(tracker, outages, phases).items():
        report.figures[f"{name}_worst_s"] = worst
    lost, overwritten = await rollout.find_lost_changes()
    report.figures.update(
        {
            "changes": len(tracker.accepted),
            "refused": dict(rollout.refused),
            "write_p50_s": round(percentile(rollout.write_seconds, 0.5), 3),
            "force_p50_s": percentile(times, 0.5),
            "force_p99_s": percentile(times, 0.99),
            "force_worst_s": max(times),
            "reverts": tracker.reverts,
            "lost": lost,
            "overwritten": overwritten,
        }
    )
    late = sum(1 for seconds in times if seconds > PROPAGATION_TARGET_S)
    report.figures["over_5_s_share"] = round(late / len(times), 5)
    report.expect(max(times) <= PROPAGATION_TARGET_S, "in force everywhere reachable within 5 s")
    report.expect(percentile(times, 0.999) <= PROPAGATION_P999_TARGET_S, "99.9% within 15 s")
    report.expect(not tracker.reverts, "no revert")
    report.expect(not lost, "no accepted change lost")
    report.expect(not overwritten, "no change overwritten")
    report.expect(rollout.refused["conflict"] > 0, "operators did race")


def _find_worst_by_phase(
    tracker: PropagationTracker, outages: dict[str, list[Outage]], phases: dict[str, float]
) -> dict[str, float]:
    starts = [*phases.values(), float("inf")]
    worst = {}
    for number, name in enumerate(phases):
        start, end = starts[number], starts[number + 1]
        part = PropagationTracker(
            [c for c in tracker.accepted if start <= c.at < end], [], tracker._observations
        )
        worst[name] = max(part.measure_propagation(outages), default=0.0)
    return worst
