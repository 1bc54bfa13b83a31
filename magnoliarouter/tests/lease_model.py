"""Model of two processes that compete for one lease, for an exhaustive search of its states.

Every order of requests, responses, losses, delays and time steps is explored.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.lease import Lease, LeaseRecord, ReadLease, WriteLease

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

DURATION_S = 2.0
MARGIN_S = 1.0


@dataclass(frozen=True)
class Pending:
    """Call of a process to the store: the request is in flight while `response` is None."""

    step: WriteLease | ReadLease
    response: tuple[str, int, LeaseRecord | None] | None = None


@dataclass
class ModelState:
    """State of the model.

    `faults_left` and `ticks_left` limit the faults and time steps that may still happen, and
    `delayed_writes` are requests that may still take effect at any time.
    """

    faults_left: int
    ticks_left: int
    leases: list[Lease]
    pending: list[Pending | None]
    now: float = 0.0
    version: int = 0
    record: LeaseRecord | None = None
    delayed_writes: tuple[WriteLease, ...] = ()

    def fork(self, cost: int = 0) -> ModelState:
        other = copy.copy(self)
        other.faults_left -= cost
        other.pending = self.pending[:]
        other.leases = [copy.copy(lease) for lease in self.leases]
        for lease in other.leases:
            lease._sent = dict(lease._sent)
        return other

    def key(self) -> object:
        leases = tuple(map(self._freeze_lease, self.leases))
        rest = (self.faults_left, self.ticks_left, self.version, self.record, self.delayed_writes)
        return leases, tuple(self.pending), rest

    def _freeze_lease(self, lease: Lease) -> object:
        """Return what determines the further behaviour of a lease, with times relative to `now`."""
        held = max(0.0, lease._held_until - self.now)
        seen = min(DURATION_S, self.now - lease._seen_at)
        sent = tuple(
            (write, min(DURATION_S, self.now - sent_at))
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


def create_model(
    make_lease: Callable[[str], Lease], faults_left: int, ticks_left: int
) -> ModelState:
    return ModelState(faults_left, ticks_left, [make_lease("a"), make_lease("b")], [None, None])


def find_violation(state: ModelState, limit: int = 500_000) -> tuple[str | None, int, int]:
    """Return the first violation or None, the number of states, and the highest epoch reached."""
    seen, stack, epochs = {state.key()}, [state], 0
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


def list_successors(state: ModelState) -> Iterator[ModelState]:
    for index, pending in enumerate(state.pending):
        if pending is None:
            yield from _step_process(state, index)
        elif pending.response is None:
            yield from _deliver_request(state, index, pending)
        else:
            yield _deliver_response(state.fork(), index, pending)
            if state.faults_left:
                yield _lose_response(state.fork(1), index)
    for position in range(len(state.delayed_writes)):
        arrived = state.fork()
        arrived.apply(state.delayed_writes[position])
        arrived.delayed_writes = (
            state.delayed_writes[:position] + state.delayed_writes[position + 1 :]
        )
        yield arrived
    if state.ticks_left:
        later = state.fork()
        later.ticks_left -= 1
        later.now += 1.0
        yield later


def _step_process(state: ModelState, index: int) -> Iterator[ModelState]:
    done = state.fork()
    lease = done.leases[index]
    step = lease.next_step(state.now)
    if isinstance(step, WriteLease | ReadLease):
        done.pending[index] = Pending(step)
        yield done
    elif lease.held_epoch(state.now) is None and lease._version != state.version:
        # A read is useful only if the record has changed since the last one.
        lease.mark_unverified()
        yield done
    if state.faults_left:
        released = state.fork(1)
        write = released.leases[index].release(state.now)
        if write is not None:
            released.delayed_writes += (write,)
            yield released


def _deliver_request(state: ModelState, index: int, pending: Pending) -> Iterator[ModelState]:
    done = state.fork()
    step = pending.step
    if isinstance(step, ReadLease):
        response = ("read", state.version, state.record)
    else:
        response = done.apply(step)
    done.pending[index] = Pending(step, response)
    yield done
    if state.faults_left:
        yield _lose_response(state.fork(1), index)
        if isinstance(step, WriteLease):
            delayed = _lose_response(state.fork(1), index)
            delayed.delayed_writes += (step,)
            yield delayed


def _deliver_response(state: ModelState, index: int, pending: Pending) -> ModelState:
    kind, version, record = pending.response
    lease = state.leases[index]
    if kind == "written":
        lease.confirm(record.write, version, state.now)
    else:
        lease.observe(version, record, state.now, lagging=kind == "read")
    state.pending[index] = None
    return state


def _lose_response(state: ModelState, index: int) -> ModelState:
    state.leases[index].mark_unverified()
    state.pending[index] = None
    return state
