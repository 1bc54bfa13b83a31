"""Small model of processes, store and guard that runs every order of the steps of claims."""

from __future__ import annotations

import copy
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from magnoliarouter.core.attempts import (
    ONCE_RETENTION_S,
    AttemptTable,
    StartVerdict,
    StoredResponse,
)
from magnoliarouter.core.claims import ClaimRun
from magnoliarouter.core.claimsteps import (
    Answered,
    AskFence,
    AttemptDoubt,
    ClaimKey,
    Doubtful,
    FenceAnswer,
    FoundClaim,
    GuardSilent,
    NoClaim,
    NotStarted,
    OtherIncarnation,
    Pending,
    PlaceAttempt,
    Placed,
    Ran,
    ReadClaim,
    RefusedRun,
    SendAttempt,
    Stored,
    StoreDoubt,
    StoreDown,
    Target,
    TimeUp,
    WriteClaim,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

KEY = ClaimKey("grower", "key", "body")
ANSWER = StoredResponse(200, "text/plain", "digest", 2, b"ok")
START_WINDOW = 60.0


@dataclass
class World:
    """State of the model; `faults` is how many more may happen."""

    faults: int
    runs: list[ClaimRun]
    effects: list[object]
    waiting: list[str]
    table: AttemptTable
    version: int = 0
    claim: object = None
    before: tuple[int, object] = (0, None)
    writes: tuple[WriteClaim, ...] = ()
    copies: tuple[Target, ...] = ()
    now: float = 0.0
    executions: int = 0
    broken: list[str] = field(default_factory=list)

    def fork(self, cost: int = 0) -> World:
        other = copy.copy(self)
        other.faults -= cost
        other.runs = [copy.copy(run) for run in self.runs]
        other.effects, other.waiting = self.effects[:], self.waiting[:]
        table = copy.copy(self.table)
        table._running = dict(self.table._running)
        table._ended_once = OrderedDict(self.table._ended_once)
        table._attempts_with_body = self.table._attempts_with_body.copy()
        other.table = table
        other.broken = self.broken[:]
        return other

    def key(self) -> object:
        table = self.table
        runs = tuple(tuple(getattr(run, name) for name in run.__slots__) for run in self.runs)
        ended = frozenset((name, known.state) for name, known in table._ended_once.items())
        return (
            self.faults,
            runs,
            tuple(self.effects),
            tuple(self.waiting),
            (table.incarnation, frozenset(table._running), ended),
            (self.version, self.claim, self.before),
            (self.writes, self.copies, self.now, self.executions),
        )

    def write(self, step: WriteClaim) -> object:
        if step.expect != self.version:
            return FoundClaim(self.version, self.claim) if self.claim else NoClaim()
        self.before = (self.version, self.claim)
        self.version, self.claim = self.version + 1, step.claim
        return Stored(self.version)

    def deliver(self, target: Target) -> object | None:
        verdict = self.table.start(target.attempt, target.incarnation, self.now, target.not_after)
        if verdict is StartVerdict.START:
            return None
        if verdict in (StartVerdict.ALREADY_STARTED, StartVerdict.UNRECORDED):
            return AttemptDoubt(verdict.value)
        return NotStarted(verdict.value, verdict is StartVerdict.FENCED)

    def fence(self, target: Target) -> object:
        if target.incarnation != self.table.incarnation:
            return OtherIncarnation()
        state = self.table.fence(target.attempt, self.now, target.not_after)
        return FenceAnswer(state, self.table.find_response(target.attempt))

    def proceed(self, index: int, event: object) -> World:
        self.waiting[index] = ""
        effect = self.effects[index] = self.runs[index].step(event)
        match effect:
            case Ran() if self.executions != 1:
                self.broken.append(f"answered after {self.executions} executions")
            case RefusedRun(covers_key=True) if self.executions or self.table.running:
                self.broken.append("refused as not run although it runs or ran")
        if isinstance(effect, Ran | RefusedRun | Pending | Doubtful):
            self.end(index)
        return self

    def end(self, index: int) -> None:
        self.effects[index], self.waiting[index] = None, ""
        self.runs[index] = ClaimRun(KEY)


def open_world(make_run: Callable[[], ClaimRun], processes: int, faults: int) -> World:
    runs = [make_run() for _ in range(processes)]
    effects = [run.start() for run in runs]
    return World(faults, runs, effects, [""] * processes, AttemptTable("g0"))


def find_violation(world: World, limit: int = 2_000_000) -> tuple[str | None, int]:
    """Visit every reachable state and return the first violation and the number of states."""
    seen, stack = {world.key()}, [world]
    while stack:
        for successor in list_successors(stack.pop()):
            if successor.broken:
                return successor.broken[0], len(seen)
            if successor.executions > 1:
                return "executed twice", len(seen)
            key = successor.key()
            if key not in seen:
                seen.add(key)
                stack.append(successor)
        assert len(seen) < limit, "state space is larger than expected"
    return None, len(seen)


def list_successors(world: World) -> Iterator[World]:
    for index, effect in enumerate(world.effects):
        if effect is None:
            continue
        yield from _advance(world, index, effect)
        if world.faults:
            crashed = world.fork(1)
            crashed.end(index)
            yield crashed
    yield from _advance_network(world)
    yield from _advance_guard(world)


def _advance(world: World, index: int, effect: object) -> Iterator[World]:
    match effect:
        case PlaceAttempt():
            attempt = f"{index}.{world.runs[index].tries}"
            target = Target(
                attempt, "e", "address", world.table.incarnation, world.now + START_WINDOW
            )
            yield world.fork().proceed(index, Placed(target))
        case WriteClaim():
            yield from _write(world, index, effect)
        case ReadClaim():
            yield from _read(world, index)
        case SendAttempt(target):
            yield from _send(world, index, target)
        case AskFence(target, waiting):
            yield from _fence(world, index, target)
            if waiting:
                yield world.fork().proceed(index, TimeUp())


def _write(world: World, index: int, effect: WriteClaim) -> Iterator[World]:
    done = world.fork()
    yield done.proceed(index, done.write(effect))
    if not world.faults:
        return
    lost = world.fork(1)
    lost.write(effect)
    yield lost.proceed(index, StoreDoubt())
    delayed = world.fork(1)
    delayed.writes += (effect,)
    yield delayed.proceed(index, StoreDoubt())
    yield world.fork(1).proceed(index, StoreDown())


def _read(world: World, index: int) -> Iterator[World]:
    for cost, (version, claim) in ((0, (world.version, world.claim)), (1, world.before)):
        if cost <= world.faults:
            found = FoundClaim(version, claim) if claim else NoClaim()
            yield world.fork(cost).proceed(index, found)
    if world.faults:
        yield world.fork(1).proceed(index, StoreDown())


def _send(world: World, index: int, target: Target) -> Iterator[World]:
    if world.waiting[index]:
        yield from _await_answer(world, index, target)
        return
    for copies in ((), (target,))[: 1 + bool(world.faults)]:
        sent = world.fork(len(copies))
        sent.copies += copies
        refusal = sent.deliver(target)
        if refusal is None:
            sent.waiting[index] = target.attempt
            yield sent
        else:
            yield sent.proceed(index, refusal)
    if world.faults:
        yield world.fork(1).proceed(index, AttemptDoubt("lost"))
        delayed = world.fork(1)
        delayed.copies += (target,)
        yield delayed.proceed(index, AttemptDoubt("delayed"))


def _await_answer(world: World, index: int, target: Target) -> Iterator[World]:
    known = world.table._ended_once.get(target.attempt)
    if known is not None and known.answer is not None:
        yield world.fork().proceed(index, Answered(known.answer))
    if world.faults or known is None or known.answer is None:
        cost = 1 if target.attempt in world.table._running or known and known.answer else 0
        if cost <= world.faults:
            yield world.fork(cost).proceed(index, AttemptDoubt("timeout"))


def _fence(world: World, index: int, target: Target) -> Iterator[World]:
    done = world.fork()
    yield done.proceed(index, done.fence(target))
    if world.faults:
        lost = world.fork(1)
        lost.fence(target)
        yield lost.proceed(index, GuardSilent())
        yield world.fork(1).proceed(index, GuardSilent())


def _advance_network(world: World) -> Iterator[World]:
    for position in range(len(world.writes)):
        arrived = world.fork()
        arrived.write(world.writes[position])
        arrived.writes = world.writes[:position] + world.writes[position + 1 :]
        yield arrived
    for position in range(len(world.copies)):
        arrived = world.fork()
        arrived.deliver(world.copies[position])
        arrived.copies = world.copies[:position] + world.copies[position + 1 :]
        yield arrived


def _advance_guard(world: World) -> Iterator[World]:
    for attempt in world.table._running:
        finished = world.fork()
        finished.executions += 1
        finished.table.finish(attempt, world.now, ANSWER)
        yield finished
        if world.faults:
            for executions in (0, 1):
                broken = world.fork(1)
                broken.executions += executions
                broken.table.mark_broken(attempt, world.now)
                yield broken
    if world.faults:
        yield from _restart_guard(world)
        later = world.fork(1)
        later.now += ONCE_RETENTION_S + 1
        yield later


def _restart_guard(world: World) -> Iterator[World]:
    running = len(world.table._running)
    for executions in {0, running}:
        restarted = world.fork(1)
        restarted.executions += executions
        incarnation = f"g{int(world.table.incarnation[1:]) + 1}"
        restarted.table = replace(AttemptTable(incarnation), max_attempts=world.table.max_attempts)
        yield restarted
