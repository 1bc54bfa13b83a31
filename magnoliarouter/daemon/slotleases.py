"""Leases on home slots: reads, claims and renews them, and requests promises.

Each availability zone has a fixed number of home slots. A customer's quota is divided over up to
two slots of each zone (see `core.division`). A slot's record names a holder and a successor. While
the holder cannot renew, it relies on the successor's promise not to take over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.division import list_slots
from magnoliarouter.core.hashing import rendezvous_order
from magnoliarouter.core.slots import Slot, SlotRecord, SlotWrite
from magnoliarouter.peers.channel import PeerError
from magnoliarouter.peers.quota_messages import PROMISE_METHOD, Promise, PromiseRequest
from magnoliarouter.store.client import Ambiguous, Conflict, Found, Unavailable, Written
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.peers import PeerClient, PeerServer
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.objects import StoredObject, VmSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["LEASE_KIND", "SlotLeases"]

LEASE_KIND = "quota-lease"
CANDIDATE_COUNT = 4
PROMISE_DEADLINE_S = 1.0


class SlotLeases:
    """Leases on the home slots of one availability zone, as maintained by one daemon.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the daemon.
    incarnation : str
        Id of this start of the daemon.
    platform : PlatformClient
        Client of the platform that stores the leases.
    peers : tuple of (PeerClient, PeerServer)
        Calls to and from other entry daemons.
    vms : VersionedCache
        VMs by name, as the platform lists them.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Loop time in seconds.

    Attributes
    ----------
    slots : dict of str to Slot
        All slots of the zone.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        platform: PlatformClient,
        peers: tuple[PeerClient, PeerServer],
        vms: VersionedCache[VmSpec],
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.slots = {
            name: Slot(name, settings.name, incarnation, clock(), settings.quota_lease_seconds)
            for name in list_slots(settings.zone, settings.quota_slots_per_zone)
        }
        self._settings = settings
        self._platform = platform
        self._peer_client, peer_server = peers
        self._vms = vms
        self._clock = clock
        self._slots_read_once: set[str] = set()
        self._next_read_at: dict[str, float] = {}
        self._unknown_writes: dict[str, tuple[SlotWrite, float]] = {}
        self._write_counter = metrics.add_counter(
            "quota_slot_writes", "Slot lease writes", "result"
        )
        self._held_gauge = metrics.add_gauge(
            "quota_slots_held", "Home slots that this daemon holds"
        )
        peer_server.add_method(PROMISE_METHOD, PromiseRequest, self._handle_promise)

    def list_relevant(self) -> list[Slot]:
        """Return the slots that this daemon holds, is successor of, or is a candidate for."""
        return [slot for slot in self.slots.values() if self._is_relevant(slot)]

    def _is_relevant(self, slot: Slot) -> bool:
        name, record = self._settings.name, slot.record
        if record is not None and name in (record.holder, record.successor):
            return True
        return name in self._order_vms(slot.name)[:CANDIDATE_COUNT]

    async def maintain(self, slot: Slot) -> None:
        """Read a slot, and claim or renew its lease if this daemon should."""
        if slot.name in self._unknown_writes:
            await self._resolve_unknown_write(slot)
        if not slot.is_holder:
            await self._read_if_due(slot)
        if slot.name not in self._slots_read_once:
            return
        write = self._plan_write(slot)
        if write is not None:
            slot.start_write()
            await self._write(slot, write)
        if slot.needs_promise(self._clock()):
            await self._request_promise(slot)
        now = self._clock()
        self._held_gauge.set(sum(1 for known in self.slots.values() if known.may_lend(now)))

    async def release(self, slot: Slot) -> None:
        """Release a slot if this daemon holds it."""
        write = slot.plan_release()
        if write is not None:
            value = msgspec.to_builtins(write.record)
            await self._platform.write(LEASE_KIND, slot.name, value, write.expect)

    async def _handle_promise(self, request: PromiseRequest) -> Promise:
        slot = self.slots.get(request.slot)
        if slot is None:
            return Promise(0.0)
        return Promise(slot.promise(request.epoch, request.incarnation, self._clock()))

    async def _read_if_due(self, slot: Slot) -> None:
        """Read a slot of another holder as often as that holder renews it."""
        if slot.name in self._slots_read_once and self._clock() < self._next_read_at.get(
            slot.name, 0.0
        ):
            return
        outcome = await self._platform.read(LEASE_KIND, slot.name)
        match outcome:
            case Found(_, (item,)):
                self._observe(slot, item)
            case Unavailable():
                return
        self._slots_read_once.add(slot.name)
        self._next_read_at[slot.name] = self._clock() + slot.renew_seconds

    def _observe(self, slot: Slot, item: StoredObject | None, authoritative: bool = False) -> None:
        now = self._clock()
        if item is None or item.value is None:
            if authoritative:
                slot.observe(None, 0, now, authoritative)
            return
        try:
            record = msgspec.convert(item.value, type=SlotRecord)
        except msgspec.ValidationError as error:
            log_event("quota_lease_malformed", slot=slot.name, reason=str(error))
            return
        slot.observe(record, item.version, now, authoritative)

    def _plan_write(self, slot: Slot) -> SlotWrite | None:
        vms = self._vms.values()
        order = self._order_vms(slot.name)
        if self._settings.name not in order:
            return None
        others = [name for name in order if name != self._settings.name]
        successor = next((name for name in others if not vms[name].leaving), "")
        position = order.index(self._settings.name)
        return slot.plan_write(self._clock(), successor, frozenset(vms), position)

    def _order_vms(self, slot: str) -> list[str]:
        """Return the zone's entry VMs in the order in which they may claim a slot.

        The order is rotated by the slot's index, so that slots start with different VMs.
        """
        vms = self._vms.values().values()
        names = [vm.name for vm in vms if vm.role == "entry" and vm.zone == self._settings.zone]
        order = rendezvous_order(self._settings.zone, names)
        shift = list(self.slots).index(slot) % max(1, len(order))
        return order[shift:] + order[:shift]

    async def _write(self, slot: Slot, write: SlotWrite) -> None:
        sent = self._clock()
        value = msgspec.to_builtins(write.record)
        outcome = await self._platform.write(LEASE_KIND, slot.name, value, write.expect)
        self._write_counter.labels(type(outcome).__name__.lower()).inc()
        match outcome:
            case Written(version):
                slot.finish_write(write, version, sent, self._clock())
            case Conflict(current):
                slot.finish_write(write, None, sent, self._clock())
                self._observe(slot, current, authoritative=True)
            case Ambiguous():
                self._unknown_writes[slot.name] = (write, sent)
            case _:
                slot.finish_write(write, None, sent, self._clock())

    async def _resolve_unknown_write(self, slot: Slot) -> None:
        """Read a slot after a write whose response was lost."""
        write, sent = self._unknown_writes[slot.name]
        outcome = await self._platform.read(LEASE_KIND, slot.name)
        if not isinstance(outcome, Found):
            return
        item = outcome.items[0]
        del self._unknown_writes[slot.name]
        applied = msgspec.convert(item.value, type=SlotRecord) == write.record
        slot.finish_write(write, item.version if applied else None, sent, self._clock())
        self._observe(slot, item)

    async def _request_promise(self, slot: Slot) -> None:
        record = slot.record
        vm = self._vms.get(record.successor) if record is not None else None
        if record is None or vm is None:
            return
        sent = self._clock()
        request = PromiseRequest(slot.name, record.epoch, record.incarnation)
        try:
            promise = await self._peer_client.call(
                vm.address, PROMISE_METHOD, request, Promise, PROMISE_DEADLINE_S
            )
        except PeerError:
            return
        slot.accept_promise(promise.seconds, sent, self._clock())
