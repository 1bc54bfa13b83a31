"""Small model of two processes and a store that runs every order of the steps of a lease."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.lease import Lease, LeaseRecord, ReadLease, WriteLease

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DURATION = 2.0
MARGIN = 1.0


@dataclass(frozen=True)
class Pending:
    """Call of a process: on its way while `answer` is None, then on its way back."""

    step: WriteLease | ReadLease
    answer: tuple[str, int, LeaseRecord | None] | None = None


@dataclass
class World:
    """State of the model; `faults` and `ticks` are how many more may happen."""

    faults: int
    ticks: int
    leases: list[Lease]
    pending: list[Pending | None]
    now: float = 0.0
    version: int = 0
    record: LeaseRecord | None = None
    writes: tuple[WriteLease, ...] = ()

    def fork(self, cost: int = 0) -> World:
        other = copy.copy(self)
        other.faults -= cost
        other.pending = self.pending[:]
        other.leases = [copy.copy(lease) for lease in self.leases]
        for lease in other.leases:
            lease._sent = dict(lease._sent)
        return other

    def key(self) -> object:
        leases = tuple(map(self._freeze, self.leases))
        rest = (self.faults, self.ticks, self.version, self.record, self.writes)
        return leases, tuple(self.pending), rest

    def _freeze(self, lease: Lease) -> object:
        """Return what decides a lease's future, with times as seen from now."""
        held = max(0.0, lease._held_until - self.now)
        seen = min(DURATION, self.now - lease._seen_at)
        sent = tuple(
            (write, min(DURATION, self.now - sent_at))
            for write, (_, sent_at) in lease._sent.items()
        )
        known = (lease._version, lease._record, lease._unverified, lease._epoch)
        return known, held, seen, sent, lease._highest_epoch, lease._writes

    def apply(self, step: WriteLease) -> tuple[str, int, LeaseRecord | None]:
        if step.expect != self.version:
            return "conflict", self.version, self.record
        self.version, self.record = self.version + 1, step.record
        return "written", self.version, step.record

    def count_holders(self) -> int:
        return sum(lease.held_epoch(self.now) is not None for lease in self.leases)


def open_world(make_lease: Callable[[str], Lease], faults: int, ticks: int) -> World:
    return World(faults, ticks, [make_lease("a"), make_lease("b")], [None, None])


def find_violation(world: World, limit: int = 500_000) -> tuple[str | None, int, int]:
    """Return the first violation, the number of states, and the highest epoch reached."""
    seen, stack, epochs = {world.key()}, [world], 0
    while stack:
        for successor in list_successors(stack.pop()):
            if successor.count_holders() > 1:
                return f"two holders at {successor.now}", len(seen), epochs
            key = successor.key()
            if key not in seen:
                seen.add(key)
                stack.append(successor)
                epochs = max(epochs, successor.record.epoch if successor.record else 0)
        assert len(seen) < limit, "state space is larger than expected"
    return None, len(seen), epochs


def list_successors(world: World) -> Iterator[World]:
    for index, pending in enumerate(world.pending):
        if pending is None:
            yield from _step(world, index)
        elif pending.answer is None:
            yield from _arrive(world, index, pending)
        else:
            yield _take_answer(world.fork(), index, pending)
            if world.faults:
                yield _doubt(world.fork(1), index)
    for position in range(len(world.writes)):
        late = world.fork()
        late.apply(world.writes[position])
        late.writes = world.writes[:position] + world.writes[position + 1 :]
        yield late
    if world.ticks:
        later = world.fork()
        later.ticks -= 1
        later.now += 1.0
        yield later


def _step(world: World, index: int) -> Iterator[World]:
    done = world.fork()
    lease = done.leases[index]
    step = lease.next_step(world.now)
    if isinstance(step, WriteLease | ReadLease):
        done.pending[index] = Pending(step)
        yield done
    elif lease.held_epoch(world.now) is None and lease._version != world.version:
        # Reading what is known already would change nothing.
        lease.mark_unverified()
        yield done
    if world.faults:
        released = world.fork(1)
        write = released.leases[index].release(world.now)
        if write is not None:
            released.writes += (write,)
            yield released


def _arrive(world: World, index: int, pending: Pending) -> Iterator[World]:
    done = world.fork()
    step = pending.step
    if isinstance(step, ReadLease):
        answer = ("read", world.version, world.record)
    else:
        answer = done.apply(step)
    done.pending[index] = Pending(step, answer)
    yield done
    if world.faults:
        yield _doubt(world.fork(1), index)
        if isinstance(step, WriteLease):
            late = _doubt(world.fork(1), index)
            late.writes += (step,)
            yield late


def _take_answer(world: World, index: int, pending: Pending) -> World:
    kind, version, record = pending.answer
    lease = world.leases[index]
    if kind == "written":
        lease.confirm(record.write, version, world.now)
    else:
        lease.observe(version, record, world.now, lagging=kind == "read")
    world.pending[index] = None
    return world


def _doubt(world: World, index: int) -> World:
    world.leases[index].mark_unverified()
    world.pending[index] = None
    return world
