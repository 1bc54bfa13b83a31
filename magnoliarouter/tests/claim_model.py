"""Model of requests with one idempotency key, a store and a guard, for an exhaustive search.

Every order of steps, losses, duplicates, delays, crashes and restarts is explored.
"""

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
RESPONSE = StoredResponse(200, "text/plain", "digest", 2, b"ok")
START_WINDOW_S = 60.0


@dataclass
class ModelState:
    """State of the model.

    `faults_left` limits the faults that may still happen. `delayed_writes` and `delayed_requests`
    may still arrive at the store and the guard at any time. `awaited_attempts` has the attempt
    whose response each process awaits, or an empty string.
    """

    faults_left: int
    runs: list[ClaimRun]
    effects: list[object]
    awaited_attempts: list[str]
    table: AttemptTable
    version: int = 0
    claim: object = None
    previous_claim: tuple[int, object] = (0, None)
    delayed_writes: tuple[WriteClaim, ...] = ()
    delayed_requests: tuple[Target, ...] = ()
    now: float = 0.0
    executions: int = 0
    violations: list[str] = field(default_factory=list)

    def fork(self, cost: int = 0) -> ModelState:
        other = copy.copy(self)
        other.faults_left -= cost
        other.runs = [copy.copy(run) for run in self.runs]
        other.effects, other.awaited_attempts = self.effects[:], self.awaited_attempts[:]
        table = copy.copy(self.table)
        table._running = dict(self.table._running)
        table._ended_once = OrderedDict(self.table._ended_once)
        table._attempts_with_body = self.table._attempts_with_body.copy()
        other.table = table
        other.violations = self.violations[:]
        return other

    def key(self) -> object:
        table = self.table
        runs = tuple(tuple(getattr(run, name) for name in run.__slots__) for run in self.runs)
        ended = frozenset((name, known.state) for name, known in table._ended_once.items())
        return (
            self.faults_left,
            runs,
            tuple(self.effects),
            tuple(self.awaited_attempts),
            (table.incarnation, frozenset(table._running), ended),
            (self.version, self.claim, self.previous_claim),
            (self.delayed_writes, self.delayed_requests, self.now, self.executions),
        )

    def write(self, step: WriteClaim) -> object:
        if step.expect != self.version:
            return FoundClaim(self.version, self.claim) if self.claim else NoClaim()
        self.previous_claim = (self.version, self.claim)
        self.version, self.claim = self.version + 1, step.claim
        return Stored(self.version)

    def deliver_request(self, target: Target) -> object | None:
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

    def resume_run(self, index: int, event: object) -> ModelState:
        self.awaited_attempts[index] = ""
        effect = self.effects[index] = self.runs[index].step(event)
        match effect:
            case Ran() if self.executions != 1:
                self.violations.append(f"response returned after {self.executions} executions")
            case RefusedRun(covers_key=True) if self.executions or self.table.running:
                self.violations.append(
                    "refused as not run although an attempt is running or has run"
                )
        if isinstance(effect, Ran | RefusedRun | Pending | Doubtful):
            self.end_run(index)
        return self

    def end_run(self, index: int) -> None:
        self.effects[index], self.awaited_attempts[index] = None, ""
        self.runs[index] = ClaimRun(KEY)


def create_model(make_run: Callable[[], ClaimRun], processes: int, faults_left: int) -> ModelState:
    runs = [make_run() for _ in range(processes)]
    effects = [run.start() for run in runs]
    return ModelState(faults_left, runs, effects, [""] * processes, AttemptTable("g0"))


def find_violation(state: ModelState, limit: int = 2_000_000) -> tuple[str | None, int]:
    """Visit every reachable state; return the first violation or None, and the number of states."""
    seen, stack = {state.key()}, [state]
    while stack:
        for successor in list_successors(stack.pop()):
            if successor.violations:
                return successor.violations[0], len(seen)
            if successor.executions > 1:
                return "executed twice", len(seen)
            key = successor.key()
            if key not in seen:
                seen.add(key)
                stack.append(successor)
        assert len(seen) < limit, "state space is larger than expected"
    return None, len(seen)


def list_successors(state: ModelState) -> Iterator[ModelState]:
    for index, effect in enumerate(state.effects):
        if effect is None:
            continue
        yield from _advance(state, index, effect)
        if state.faults_left:
            crashed = state.fork(1)
            crashed.end_run(index)
            yield crashed
    yield from _advance_network(state)
    yield from _advance_guard(state)


def _advance(state: ModelState, index: int, effect: object) -> Iterator[ModelState]:
    match effect:
        case PlaceAttempt():
            attempt = f"{index}.{state.runs[index].tries}"
            target = Target(
                attempt, "e", "address", state.table.incarnation, state.now + START_WINDOW_S
            )
            yield state.fork().resume_run(index, Placed(target))
        case WriteClaim():
            yield from _write(state, index, effect)
        case ReadClaim():
            yield from _read(state, index)
        case SendAttempt(target):
            yield from _send(state, index, target)
        case AskFence(target, waiting):
            yield from _fence(state, index, target)
            if waiting:
                yield state.fork().resume_run(index, TimeUp())


def _write(state: ModelState, index: int, effect: WriteClaim) -> Iterator[ModelState]:
    done = state.fork()
    yield done.resume_run(index, done.write(effect))
    if not state.faults_left:
        return
    lost = state.fork(1)
    lost.write(effect)
    yield lost.resume_run(index, StoreDoubt())
    delayed = state.fork(1)
    delayed.delayed_writes += (effect,)
    yield delayed.resume_run(index, StoreDoubt())
    yield state.fork(1).resume_run(index, StoreDown())


def _read(state: ModelState, index: int) -> Iterator[ModelState]:
    for cost, (version, claim) in ((0, (state.version, state.claim)), (1, state.previous_claim)):
        if cost <= state.faults_left:
            found = FoundClaim(version, claim) if claim else NoClaim()
            yield state.fork(cost).resume_run(index, found)
    if state.faults_left:
        yield state.fork(1).resume_run(index, StoreDown())


def _send(state: ModelState, index: int, target: Target) -> Iterator[ModelState]:
    if state.awaited_attempts[index]:
        yield from _await_response(state, index, target)
        return
    for duplicates in ((), (target,))[: 1 + bool(state.faults_left)]:
        sent = state.fork(len(duplicates))
        sent.delayed_requests += duplicates
        refusal = sent.deliver_request(target)
        if refusal is None:
            sent.awaited_attempts[index] = target.attempt
            yield sent
        else:
            yield sent.resume_run(index, refusal)
    if state.faults_left:
        yield state.fork(1).resume_run(index, AttemptDoubt("lost"))
        delayed = state.fork(1)
        delayed.delayed_requests += (target,)
        yield delayed.resume_run(index, AttemptDoubt("delayed"))


def _await_response(state: ModelState, index: int, target: Target) -> Iterator[ModelState]:
    known = state.table._ended_once.get(target.attempt)
    if known is not None and known.answer is not None:
        yield state.fork().resume_run(index, Answered(known.answer))
    if state.faults_left or known is None or known.answer is None:
        cost = 1 if target.attempt in state.table._running or known and known.answer else 0
        if cost <= state.faults_left:
            yield state.fork(cost).resume_run(index, AttemptDoubt("timeout"))


def _fence(state: ModelState, index: int, target: Target) -> Iterator[ModelState]:
    done = state.fork()
    yield done.resume_run(index, done.fence(target))
    if state.faults_left:
        lost = state.fork(1)
        lost.fence(target)
        yield lost.resume_run(index, GuardSilent())
        yield state.fork(1).resume_run(index, GuardSilent())


def _advance_network(state: ModelState) -> Iterator[ModelState]:
    for position in range(len(state.delayed_writes)):
        arrived = state.fork()
        arrived.write(state.delayed_writes[position])
        arrived.delayed_writes = (
            state.delayed_writes[:position] + state.delayed_writes[position + 1 :]
        )
        yield arrived
    for position in range(len(state.delayed_requests)):
        arrived = state.fork()
        arrived.deliver_request(state.delayed_requests[position])
        arrived.delayed_requests = (
            state.delayed_requests[:position] + state.delayed_requests[position + 1 :]
        )
        yield arrived


def _advance_guard(state: ModelState) -> Iterator[ModelState]:
    for attempt in state.table._running:
        finished = state.fork()
        finished.executions += 1
        finished.table.finish(attempt, state.now, RESPONSE)
        yield finished
        if state.faults_left:
            for executions in (0, 1):
                broken = state.fork(1)
                broken.executions += executions
                broken.table.mark_broken(attempt, state.now)
                yield broken
    if state.faults_left:
        yield from _restart_guard(state)
        later = state.fork(1)
        later.now += ONCE_RETENTION_S + 1
        yield later


def _restart_guard(state: ModelState) -> Iterator[ModelState]:
    running = len(state.table._running)
    for executions in {0, running}:
        restarted = state.fork(1)
        restarted.executions += executions
        incarnation = f"g{int(state.table.incarnation[1:]) + 1}"
        restarted.table = replace(AttemptTable(incarnation), max_attempts=state.table.max_attempts)
        yield restarted
