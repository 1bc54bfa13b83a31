"""Experiment `rollout`: amendments come into force everywhere, under faults, and never revert."""

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
from magnoliarouter.standins.bench.rollout_judge import Absence, Accepted, RolloutJudge
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
AMEND_EVERY_S = 0.25
STATUS_EVERY_S = 0.1
STATUS_DEADLINE_S = 0.5
PHASE_S = 5.0
FINAL_WAIT_S = 15.0
FORCE_TARGET_S = 5.0
FORCE_TARGET_999_S = 15.0


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    shows = "seconds until amendments are in force at 9 daemons, reverts and lost changes"
    return [Experiment("rollout", shows, _run)]


class _Rollout:
    """One run."""

    def __init__(self, fleet: RolloutSite, client: PlatformClient, seed: int) -> None:
        self.fleet = fleet
        self.client = client
        self.judge = RolloutJudge()
        self.peers = PeerClient(PEER_KEY)
        self.clock = asyncio.get_running_loop().time
        self.random = random.Random(seed)
        self.accepted: dict[str, list[str]] = {name: [] for name in CUSTOMERS}
        self.refused: Counter[str] = Counter()
        self.write_seconds: list[float] = []

    async def create_contracts(self) -> None:
        """Write the first revision of each contract."""
        book = ContractStore(self.client, "bench")
        for name in CUSTOMERS:
            spec = decode_object("contract", contract_value(name, f"key-{name}", current=LIMITS))
            outcome = await book.create(spec)
            assert isinstance(outcome, AcceptedWrite), outcome
            self._note_accepted(name, outcome)

    async def operate(self, number: int) -> None:
        """Amend contracts as one operator, for ever; each adds 1 to a counter in the contract."""
        book = ContractStore(self.client, f"operator-{number}")
        choice = random.Random(self.random.random())
        while True:
            await asyncio.sleep(choice.uniform(0.5, 1.5) * AMEND_EVERY_S * OPERATORS)
            # Few customers at a time, so that operators meet on the same contract.
            await self._amend(book, choice.choice(CUSTOMERS[:4]))

    async def _amend(self, book: ContractStore, customer: str) -> None:
        found = await self.client.read("contract", customer)
        if not isinstance(found, Found):
            self.refused["unread"] += 1
            return
        item = found.items[0]
        start = self.clock()
        outcome = await book.amend(item, _increment(decode_object("contract", item.value)))
        self.write_seconds.append(self.clock() - start)
        match outcome:
            case AcceptedWrite():
                self._note_accepted(customer, outcome)
            case Conflict():
                self.refused["conflict"] += 1
            case _:
                self.refused[type(outcome).__name__.lower()] += 1

    def _note_accepted(self, customer: str, outcome: AcceptedWrite) -> None:
        assert outcome.value is not None
        self.accepted[customer].append(outcome.value["revision"]["write_id"])
        self.judge.accept(Accepted(customer, outcome.version, self.clock()))

    async def observe(self, name: str) -> None:
        """Ask one daemon for what it has in force, for ever."""
        member = self.fleet.members[name]
        request = StatusRequest("contract", list(CUSTOMERS))
        while True:
            await asyncio.sleep(STATUS_EVERY_S)
            try:
                reply = await self.peers.call(
                    member.peers_address, STATUS_METHOD, request, StatusReply, STATUS_DEADLINE_S
                )
            except PeerError:
                continue
            if reply.ready:
                self.fleet.note_return(name)
                self.judge.see(name, reply.applied, self.clock())

    def list_relays(self, zone: str) -> list[str]:
        """Return the daemons of a zone that hold the duty."""
        members = self.fleet.members.values()
        vms = [EntryVm(member.name, member.zone, member.peers_address) for member in members]
        return [
            vm.name
            for vm in vms
            if vm.zone == zone and plan_relays(vm.name, vm.zone, vms).holds_duty
        ]

    async def find_lost(self) -> tuple[list[str], list[str]]:
        """Return what the platform holds against what was accepted: lost, and overwritten."""
        lost, overwritten = [], []
        for customer, accepted in self.accepted.items():
            found = await self.client.read("contract", customer)
            history = await ContractStore(self.client).read_history(customer)
            assert isinstance(found, Found) and not isinstance(history, Unavailable)
            current = decode_object("contract", found.items[0].value)
            revisions = [spec.revision for spec in (*history[1], current)]
            kept = {revision.write_id for revision in revisions}
            # The history is bounded: its oldest entries may have made room.
            lost += [write_id for write_id in accepted[-len(revisions) :] if write_id not in kept]
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
    phase = (options.seconds or 9 * PHASE_S) / 9
    loop = asyncio.get_running_loop()
    async with Site() as site, open_session() as session, asyncio.timeout(600):
        fleet = RolloutSite(site, session, loop.time)
        await fleet.start()
        client = PlatformClient(fleet.platform.url, session)
        rollout = _Rollout(fleet, client, options.seed)
        await rollout.create_contracts()
        observers = [asyncio.create_task(rollout.observe(name)) for name in fleet.members]
        await _settle(rollout)
        await _measure_idle(report, rollout, phase)
        operators = [asyncio.create_task(rollout.operate(n)) for n in range(OPERATORS)]
        for cause in FAULTS:
            before, start = len(rollout.judge.accepted), loop.time()
            await cause(rollout, phase)
            count = len(rollout.judge.accepted) - before
            report.figures[f"{cause.__name__[1:]}_accepted"] = count
            _note_phase(report, rollout, cause.__name__[1:], start)
        for task in operators:
            task.cancel()
        await asyncio.gather(*operators, return_exceptions=True)
        await _settle(rollout)
        for task in observers:
            task.cancel()
        await asyncio.gather(*observers, return_exceptions=True)
        await _judge(report, rollout)
        await rollout.peers.close()
    return report


async def _settle(rollout: _Rollout) -> None:
    """Wait until every daemon has the newest accepted change of each contract, or give up."""
    end = rollout.clock() + FINAL_WAIT_S
    while rollout.clock() < end:
        await asyncio.sleep(STATUS_EVERY_S)
        times = rollout.judge.measure({name: [] for name in rollout.fleet.members})
        if float("inf") not in times:
            return


async def _measure_idle(report: Report, rollout: _Rollout, seconds: float) -> None:
    """Count the platform's calls and the processor time of daemons while nothing changes.

    The processor time holds the status calls of the observers.
    """
    members = list(rollout.fleet.members.values())
    calls = await rollout.fleet.read_calls()
    used = [read_process(m.process.child.pid).cpu_seconds for m in members if m.process]
    await asyncio.sleep(2 * seconds)
    after = await rollout.fleet.read_calls()
    now = [read_process(m.process.child.pid).cpu_seconds for m in members if m.process]
    per_second = {kind: (after[kind] - calls[kind]) / (2 * seconds) for kind in calls}
    report.figures["idle_platform_calls_per_s"] = round(sum(per_second.values()), 2)
    shares = [(b - a) / (2 * seconds) for a, b in zip(used, now, strict=True)]
    report.figures["core_share_most_under_observation"] = round(max(shares), 4)


async def _calm(rollout: _Rollout, seconds: float) -> None:
    await asyncio.sleep(seconds)


async def _kill_relay(rollout: _Rollout, seconds: float) -> None:
    name = rollout.list_relays("zone-1")[0]
    await rollout.fleet.kill_member(name)
    await asyncio.sleep(seconds / 2)
    await rollout.fleet.start_member(name)
    await asyncio.sleep(seconds / 2)


async def _pause_relays(rollout: _Rollout, seconds: float) -> None:
    names = rollout.list_relays("zone-2")
    for name in names:
        rollout.fleet.pause_member(name)
    await asyncio.sleep(seconds)
    for name in names:
        rollout.fleet.resume_member(name)


async def _slow_and_lossy_store(rollout: _Rollout, seconds: float) -> None:
    faults = {"delay": 0.4, "lose_answers": 0.3, "seed": rollout.random.randrange(1000)}
    await rollout.fleet.set_platform_faults(**faults)
    await asyncio.sleep(seconds)
    await rollout.fleet.set_platform_faults()


async def _zone_without_platform(rollout: _Rollout, seconds: float) -> None:
    names = [name for name in rollout.fleet.members if name.startswith("zone-3")]
    for name in names:
        await rollout.fleet.hold("platform", name)
    await asyncio.sleep(seconds)
    for name in names:
        await rollout.fleet.hold("platform", name, held=False)


async def _relays_without_peers(rollout: _Rollout, seconds: float) -> None:
    names = rollout.list_relays("zone-2")
    for name in names:
        await rollout.fleet.hold("peers", name)
    await asyncio.sleep(seconds)
    for name in names:
        await rollout.fleet.hold("peers", name, held=False)


async def _platform_down(rollout: _Rollout, seconds: float) -> None:
    start = rollout.clock()
    await rollout.fleet.set_platform_faults(down=True)
    await asyncio.sleep(seconds / 2)
    await rollout.fleet.set_platform_faults()
    absence = Absence(start, rollout.clock())
    for member in rollout.fleet.members.values():
        member.absences.append(absence)
    await asyncio.sleep(seconds / 2)


async def _stale_lists_and_gaps(rollout: _Rollout, seconds: float) -> None:
    await rollout.fleet.set_platform_faults(gap=True, stale_reads=3)
    await asyncio.sleep(seconds / 2)
    await rollout.fleet.set_platform_faults()
    await asyncio.sleep(seconds / 2)


async def _kill_in_a_cut_off_zone_with_lossy_store(rollout: _Rollout, seconds: float) -> None:
    await rollout.fleet.set_platform_faults(lose_answers=0.3, seed=rollout.random.randrange(1000))
    await asyncio.gather(_zone_without_platform(rollout, seconds), _kill_relay(rollout, seconds))
    await rollout.fleet.set_platform_faults()


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


def _note_phase(report: Report, rollout: _Rollout, name: str, start: float) -> None:
    """Keep the start of each phase, by which changes are sorted in the end."""
    report.figures.setdefault("phases", {})[name] = start


async def _judge(report: Report, rollout: _Rollout) -> None:
    judge, members = rollout.judge, rollout.fleet.members
    absences = {name: member.absences for name, member in members.items()}
    times = judge.measure(absences)
    phases: dict[str, Any] = report.figures.pop("phases")
    for name, worst in _worst_by_phase(judge, absences, phases).items():
        report.figures[f"{name}_worst_s"] = worst
    lost, overwritten = await rollout.find_lost()
    report.figures.update(
        {
            "changes": len(judge.accepted),
            "refused": dict(rollout.refused),
            "write_p50_s": round(percentile(rollout.write_seconds, 0.5), 3),
            "force_p50_s": percentile(times, 0.5),
            "force_p99_s": percentile(times, 0.99),
            "force_worst_s": max(times),
            "reverts": judge.reverts,
            "lost": lost,
            "overwritten": overwritten,
        }
    )
    late = sum(1 for seconds in times if seconds > FORCE_TARGET_S)
    report.figures["over_5_s_share"] = round(late / len(times), 5)
    report.expect(max(times) <= FORCE_TARGET_S, "in force everywhere reachable within 5 s")
    report.expect(percentile(times, 0.999) <= FORCE_TARGET_999_S, "99.9% within 15 s")
    report.expect(not judge.reverts, "no revert")
    report.expect(not lost, "no accepted change lost")
    report.expect(not overwritten, "no change overwritten")
    report.expect(rollout.refused["conflict"] > 0, "operators did race")


def _worst_by_phase(
    judge: RolloutJudge, absences: dict[str, list[Absence]], phases: dict[str, float]
) -> dict[str, float]:
    starts = [*phases.values(), float("inf")]
    worst = {}
    for number, name in enumerate(phases):
        start, end = starts[number], starts[number + 1]
        part = RolloutJudge([c for c in judge.accepted if start <= c.at < end], [], judge._seen)
        worst[name] = max(part.measure(absences), default=0.0)
    return worst
