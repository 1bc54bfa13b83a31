from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from magnoliarouter.core.slots import LEASE_DURATION_S, LEASE_MARGIN_S, Slot, SlotRecord, SlotWrite

NAMES = ("entry-a", "entry-b", "entry-c")
STEP_S = 0.5
TAKE_OVER_DELAY_S = LEASE_DURATION_S + LEASE_MARGIN_S


@dataclass
class Zone:
    """Three VMs of a zone, one slot, and a store with conditional updates."""

    now: float = 0.0
    version: int = 0
    record: SlotRecord | None = None
    listed: set[str] = field(default_factory=lambda: set(NAMES))
    cut_from_store: set[str] = field(default_factory=set)
    cut_from_peers: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    slots: dict[str, Slot] = field(default_factory=dict)
    starts: int = 0
    times_with_two_holders: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        self.starts += 1
        self.slots[name] = Slot("quota.a.0", name, f"start-{self.starts}", self.now)

    def write(self, write: SlotWrite) -> int | None:
        if write.expect != self.version:
            return None
        self.version += 1
        self.record = write.record
        return self.version

    def step(self, name: str) -> None:
        slot = self.slots[name]
        if name not in self.cut_from_store:
            slot.observe(self.record, self.version, self.now)
            order = NAMES[NAMES.index(name) + 1 :] + NAMES[: NAMES.index(name)]
            successor = next(other for other in order if other != name)
            position = NAMES.index(name)
            write = slot.plan_write(self.now, successor, frozenset(self.listed), position)
            if write is not None:
                slot.start_write()
                version = self.write(write)
                slot.finish_write(write, version, self.now, self.now)
                if version is None:
                    slot.observe(self.record, self.version, self.now, authoritative=True)
        if slot.needs_promise(self.now) and slot.record is not None:
            self.request_promise(slot)

    def request_promise(self, slot: Slot) -> None:
        successor = slot.record.successor
        reachable = {slot.vm, successor}.isdisjoint(self.cut_from_peers)
        if reachable and successor in self.slots and successor not in self.paused:
            seconds = self.slots[successor].promise(slot.record.epoch, slot.incarnation, self.now)
            slot.accept_promise(seconds, self.now, self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name in list(self.slots):
                if name not in self.paused:
                    self.step(name)
            if len(self.holders()) > 1:
                self.times_with_two_holders.append(self.now)

    def holders(self) -> list[str]:
        """Return the VMs that may lend now, including paused ones."""
        return [name for name, slot in self.slots.items() if slot.may_lend(self.now)]


class SlotTest(unittest.TestCase):
    def setUp(self):
        self.zone = Zone()
        self.zone.run(5)
        self.assertEqual(self.zone.holders(), ["entry-a"])
        self.assertEqual(self.zone.record.successor, "entry-b")

    def tearDown(self):
        self.assertEqual(self.zone.times_with_two_holders, [])

    def test_holder_keeps_the_slot(self):
        self.zone.run(60)
        self.assertEqual((self.zone.holders(), self.zone.record.epoch), (["entry-a"], 1))

    def test_successor_takes_over_from_a_holder_that_ended(self):
        del self.zone.slots["entry-a"]
        self.zone.run(LEASE_DURATION_S - 2 * STEP_S - 4)
        self.assertEqual(self.zone.record.holder, "entry-a")
        self.zone.run(6 + LEASE_MARGIN_S)
        self.assertEqual((self.zone.holders(), self.zone.record.epoch), (["entry-b"], 2))

    def test_paused_holder_does_not_lend_when_it_wakes(self):
        self.zone.paused.add("entry-a")
        self.zone.run(TAKE_OVER_DELAY_S + 2)
        self.zone.paused.clear()
        self.assertFalse(self.zone.slots["entry-a"].may_lend(self.zone.now))
        self.zone.run(10)
        self.assertEqual(self.zone.holders(), ["entry-b"])

    def test_store_outage_of_an_hour(self):
        self.zone.cut_from_store.update(NAMES)
        for _ in range(60):
            self.zone.run(60)
            self.assertEqual(self.zone.holders(), ["entry-a"])
        self.zone.cut_from_store.clear()
        self.zone.run(30)
        self.assertEqual((self.zone.holders(), self.zone.record.epoch), (["entry-a"], 1))

    def test_holder_alone_cut_from_the_store_goes_on_by_promise(self):
        self.zone.cut_from_store.add("entry-a")
        self.zone.run(120)
        self.assertEqual((self.zone.holders(), self.zone.record.epoch), (["entry-a"], 1))

    def test_holder_cut_from_store_and_successor_stops_before_the_take_over(self):
        self.zone.cut_from_store.add("entry-a")
        self.zone.run(20)
        self.zone.cut_from_peers.add("entry-a")
        self.zone.run(LEASE_DURATION_S)
        self.assertNotIn("entry-a", self.zone.holders())
        self.zone.run(10)
        self.assertEqual(self.zone.holders(), ["entry-b"])

    def test_successor_that_restarted_waits_out_promises_it_has_forgotten(self):
        self.zone.cut_from_store.add("entry-a")
        self.zone.run(30)
        self.zone.start("entry-b")
        self.zone.cut_from_peers.add("entry-a")
        self.zone.run(40)
        self.assertEqual(self.zone.holders(), ["entry-b"])

    def test_other_vm_waits_until_holder_and_successor_are_off_the_list(self):
        del self.zone.slots["entry-a"], self.zone.slots["entry-b"]
        self.zone.run(100)
        self.assertEqual(self.zone.holders(), [])
        self.zone.listed -= {"entry-a", "entry-b"}
        self.zone.run(60)
        self.assertEqual(self.zone.holders(), ["entry-c"])

    def test_restarted_holder_takes_its_slot_with_a_new_epoch(self):
        self.zone.start("entry-a")
        self.zone.run(1)
        self.assertEqual((self.zone.holders(), self.zone.record.epoch), (["entry-a"], 2))
        self.assertFalse(self.zone.slots["entry-a"].is_first_lease)

    def test_released_slot_is_taken_at_once(self):
        slot = self.zone.slots.pop("entry-a")
        self.zone.write(slot.plan_release())
        self.zone.run(3)
        self.assertEqual(self.zone.holders(), ["entry-b"])

    def test_claim_that_took_effect_late_does_not_break_a_promise(self):
        zone = self.zone
        zone.cut_from_store.add("entry-a")
        zone.cut_from_peers.add("entry-a")
        zone.run(TAKE_OVER_DELAY_S - 4.5)
        holder, successor = zone.slots["entry-a"], zone.slots["entry-b"]
        claim = SlotWrite(SlotRecord(2, "entry-b", successor.incarnation, "entry-c"), zone.version)
        zone.cut_from_peers.clear()
        zone.request_promise(holder)
        zone.write(claim)
        for _ in range(16):
            zone.run(STEP_S)
        self.assertEqual(zone.times_with_two_holders, [])

    def test_restored_store_gives_the_slot_to_one_holder_with_a_new_epoch(self):
        zone = self.zone
        before = (zone.record, zone.version)
        zone.cut_from_peers.add("entry-a")
        zone.cut_from_store.add("entry-a")
        zone.run(20)
        self.assertEqual(zone.holders(), ["entry-b"])
        zone.cut_from_peers.clear()
        zone.cut_from_store.clear()
        zone.run(5)
        zone.record, zone.version = before
        zone.run(60)
        self.assertEqual(len(zone.holders()), 1)
        self.assertGreater(zone.record.epoch, 2)

    def test_no_promise_while_a_claim_is_on_its_way(self):
        slot = self.zone.slots["entry-b"]
        slot.start_write()
        holder = self.zone.slots["entry-a"]
        self.assertEqual(slot.promise(1, holder.incarnation, self.zone.now), 0.0)

    def test_only_the_successor_promises(self):
        incarnation = self.zone.slots["entry-a"].incarnation
        self.assertEqual(self.zone.slots["entry-c"].promise(1, incarnation, self.zone.now), 0.0)
