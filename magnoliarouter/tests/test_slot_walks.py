from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field
from unittest import mock

from magnoliarouter.core.slots import LEASE_DURATION_S, LEASE_MARGIN_S, Slot, SlotRecord, SlotWrite
from magnoliarouter.tests.test_slots import NAMES, STEP_S, Zone

WALKS = 150
STEPS_PER_WALK = 160
RECOVERY_S = 6 * LEASE_DURATION_S + LEASE_MARGIN_S
WRITE_RESULTS = ("ok",) * 6 + ("dropped", "lost", "late")
MAX_WRITE_DELAY_S = 4.0
STALE_VERSIONS = 3


@dataclass
class FaultyZone(Zone):
    """Zone whose store loses and delays writes and returns old records, and whose daemons fail.

    Daemons are cut from the store or their peers, paused and restarted. With `is_reliable` the
    store has no faults.
    """

    seed: int = 0
    is_reliable: bool = True
    history: list[tuple[SlotRecord | None, int]] = field(default_factory=lambda: [(None, 0)])
    delayed_writes: list[tuple[float, SlotWrite]] = field(default_factory=list)
    unverified_writes: dict[str, tuple[SlotWrite, float]] = field(default_factory=dict)
    past_holders: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        super().__post_init__()

    def write(self, write: SlotWrite) -> int | None:
        version = super().write(write)
        if version is not None:
            self.history.append((self.record, version))
            self.past_holders.add(write.record.holder)
        return version

    def read(self) -> tuple[SlotRecord | None, int]:
        back = 0 if self.is_reliable else self.random.choice((0, 0, 0, *range(STALE_VERSIONS)))
        return self.history[-1 - min(back, len(self.history) - 1)]

    def step(self, name: str) -> None:
        for due, write in [entry for entry in self.delayed_writes if entry[0] <= self.now]:
            self.delayed_writes.remove((due, write))
            self.write(write)
        slot = self.slots[name]
        if name not in self.cut_from_store:
            if name in self.unverified_writes:
                self.settle(name)
            slot.observe(*self.read(), self.now)
            self.try_write(name)
        if slot.needs_promise(self.now) and slot.record is not None:
            self.request_promise(slot)

    def try_write(self, name: str) -> None:
        slot, position = self.slots[name], NAMES.index(name)
        successor = NAMES[(position + 1) % len(NAMES)]
        write = slot.plan_write(self.now, successor, frozenset(self.listed), position)
        if write is None:
            return
        slot.start_write()
        match "ok" if self.is_reliable else self.random.choice(WRITE_RESULTS):
            case "ok":
                slot.finish_write(write, self.write(write), self.now, self.now)
            case "lost":
                self.write(write)
                self.unverified_writes[name] = (write, self.now)
            case "late":
                self.delayed_writes.append(
                    (self.now + self.random.uniform(0, MAX_WRITE_DELAY_S), write)
                )
                self.unverified_writes[name] = (write, self.now)
            case "dropped":
                self.unverified_writes[name] = (write, self.now)

    def settle(self, name: str) -> None:
        """Read back the outcome of an update from the newest state of the store."""
        write, sent = self.unverified_writes.pop(name)
        record, version = self.history[-1]
        done = version if record == write.record and version == write.expect + 1 else None
        self.slots[name].finish_write(write, done, sent, self.now)

    def toggle_fault(self) -> None:
        """Start or end one random fault."""
        name = self.random.choice(NAMES)
        kind = self.random.choice(("store", "peers", "pause", "restart", "heal", "heal"))
        match kind:
            case "store":
                self.cut_from_store ^= {name}
            case "peers":
                self.cut_from_peers ^= {name}
            case "pause":
                self.paused ^= {name}
            case "restart":
                self.unverified_writes.pop(name, None)
                self.start(name)
            case "heal":
                for faults in (self.cut_from_store, self.cut_from_peers, self.paused):
                    faults.clear()


def walk(seed: int) -> FaultyZone:
    """Run one zone with random faults, and then without faults until it has recovered."""
    zone = FaultyZone(seed=seed)
    zone.run(2 * STEP_S)
    zone.is_reliable = False
    for _ in range(STEPS_PER_WALK):
        if zone.random.random() < 0.3:
            zone.toggle_fault()
        zone.run(zone.random.choice((STEP_S, 2 * STEP_S, LEASE_DURATION_S / 2)))
    zone.is_reliable = True
    for faults in (zone.cut_from_store, zone.cut_from_peers, zone.paused):
        faults.clear()
    zone.run(RECOVERY_S)
    return zone


class SlotWalkTest(unittest.TestCase):
    def test_one_holder_at_most_and_one_in_the_end(self):
        epochs, holders = 0, set()
        for seed in range(WALKS):
            zone = walk(seed)
            self.assertEqual(zone.times_with_two_holders, [], f"seed {seed}")
            self.assertEqual(len(zone.holders()), 1, f"seed {seed}")
            epochs += zone.record.epoch
            holders |= zone.past_holders
        # Proves that the walks cause changes of holder.
        self.assertGreater(epochs, 3 * WALKS)
        self.assertEqual(holders, set(NAMES))


def forget_own_promise(slot, epoch, incarnation, now, promise=Slot.promise):
    seconds = promise(slot, epoch, incarnation, now)
    slot.promised_until = 0.0
    return seconds


def count_from_the_response(slot, write, version, sent, now, finish_write=Slot.finish_write):
    finish_write(slot, write, version, now + LEASE_DURATION_S, now)


class WeakenedRuleTest(unittest.TestCase):
    """Walks that pass with the real rules detect each weakened rule."""

    def assert_caught(self, method, weakened):
        with mock.patch.object(Slot, method, weakened):
            self.assertTrue(any(walk(seed).times_with_two_holders for seed in range(WALKS)))

    def test_successor_forgets_its_promise(self):
        self.assert_caught("promise", forget_own_promise)

    def test_lease_counts_from_after_the_response(self):
        self.assert_caught("finish_write", count_from_the_response)
