"""Quota of an entry daemon: holds home slots by lease and lends from them to borrowers.

Each availability zone has a fixed number of home slots. A customer's quota is divided over up to
two slots of each zone (see `core.division`). The daemon that holds a slot's lease is its quota home:
it owns the slot's part of each contract's limits and lends from it.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.core.borrowing import Borrower
from magnoliarouter.core.contract import effective_limits
from magnoliarouter.core.division import HomePart, divide_contract, divide_permits
from magnoliarouter.core.quota import HomeQuota, QuotaHome
from magnoliarouter.core.quota_lines import QuotaGrant, QuotaRequest
from magnoliarouter.daemon.slotleases import SlotLeases
from magnoliarouter.peers.channel import PeerError
from magnoliarouter.peers.quota_messages import (
    INCARNATION_METHOD,
    QUOTA_REQUEST_METHOD,
    Incarnation,
    IncarnationRequest,
)
from magnoliarouter.pipeline.escrow import EscrowAdmission
from magnoliarouter.store.client import Written
from magnoliarouter.store.objects import ObjectError
from magnoliarouter.store.validation import convert_value
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.core.contract import Contract, Limits
    from magnoliarouter.core.slots import Slot
    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.peers import PeerClient, PeerServer
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.feed import ObjectFeed
    from magnoliarouter.store.objects import VmSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["HOME_KIND", "HomeAnnouncement", "QuotaService", "decode_home"]

HOME_KIND = "quota-home"
STEP_INTERVAL_S = 0.5
REQUEST_DEADLINE_S = 0.5
NO_INCARNATION = ""


class HomeAnnouncement(msgspec.Struct, frozen=True):
    """Announcement of a slot's holder to borrowers.

    Parameters
    ----------
    slot : str
        Name of the slot.
    epoch : int
        Epoch of the lease.
    holder : str
        VM that holds the slot.
    """

    slot: str
    epoch: int
    holder: str


def decode_home(value: Any) -> HomeAnnouncement:
    """Decode and check the announcement of a quota home.

    Raises
    ------
    ObjectError
        A field is missing or invalid.
    """
    try:
        return convert_value(value, HomeAnnouncement)
    except (msgspec.ValidationError, RecursionError) as error:
        raise ObjectError(f"{HOME_KIND}: {error}") from error


class QuotaService:
    """Quota homes and quota requests of one entry daemon.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the daemon.
    platform : PlatformClient
        Client of the platform.
    peers : tuple of (PeerClient, PeerServer)
        Calls to and from other entry daemons.
    caches : tuple of VersionedCache
        Contracts by customer, and VMs by name.
    homes : ObjectFeed
        Announcements of the quota homes of all zones; its changes go to `apply_home`.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Loop time in seconds.

    Attributes
    ----------
    admission : EscrowAdmission
        Admission from the balance that the quota homes lend.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: PlatformClient,
        peers: tuple[PeerClient, PeerServer],
        caches: tuple[VersionedCache[Contract], VersionedCache[VmSpec]],
        homes: ObjectFeed,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        incarnation = uuid.uuid4().hex
        self._own_incarnation = Incarnation(settings.name, incarnation)
        self._settings = settings
        self._zones = settings.zones or (settings.zone,)
        self._platform = platform
        self._peer_client, peer_server = peers
        self._contracts, self._vms = caches
        self._clock = clock
        borrower = Borrower(settings.name, incarnation, settings.request_seconds)
        self.admission = EscrowAdmission(
            borrower,
            settings.zone,
            self._zones,
            self.send,
            self._clock,
            settings.quota_slots_per_zone,
        )
        self._reported_zones: set[str] = set()
        self._announced_epochs: dict[str, int] = {}
        self.homes: dict[str, QuotaHome] = {}
        self._slot_leases = SlotLeases(
            settings, incarnation, platform, peers, self._vms, metrics, clock
        )
        self.slots = self._slot_leases.slots
        self._limits_cache: dict[str, tuple[Limits, tuple[HomePart, ...], dict[str, int]]] = {}
        self._announcements = homes
        self._request_counter = metrics.add_counter("quota_asks", "Asks to quota homes", "result")
        self._unlisted = metrics.add_gauge(
            "quota_unlisted_zones", "Zones of entry VMs that the settings leave out"
        )
        peer_server.add_method(QUOTA_REQUEST_METHOD, QuotaRequest, self._handle_request)
        peer_server.add_method(INCARNATION_METHOD, IncarnationRequest, self._handle_incarnation)

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines to run as tasks."""
        return [self._run_slots(), self.admission.run()]

    async def send(self, request: QuotaRequest) -> QuotaGrant | None:
        """Send a request to the holder of its slot, and return the grant, or None on failure."""
        home = self._announcements.cache.get(request.slot)
        if home is not None and home.holder == self._settings.name:
            return self._serve_request(request)
        vm = self._vms.get(home.holder) if home is not None else None
        if vm is None:
            self._request_counter.labels("no_holder").inc()
            return None
        try:
            grant = await self._peer_client.call(
                vm.address, QUOTA_REQUEST_METHOD, request, QuotaGrant, REQUEST_DEADLINE_S
            )
        except PeerError:
            self._request_counter.labels("unreachable").inc()
            return None
        self._request_counter.labels("answered" if grant.accepted else "not_holder").inc()
        return grant

    async def release(self) -> None:
        """Return the balance and release all slots, for a shutdown."""
        await self.admission.stop()
        self.homes.clear()
        await asyncio.gather(*(self._slot_leases.release(slot) for slot in self.slots.values()))

    async def _handle_request(self, request: QuotaRequest) -> QuotaGrant:
        return self._serve_request(request)

    def _serve_request(self, request: QuotaRequest) -> QuotaGrant:
        # The lease is checked for each request, so that none is granted on an expired lease after a
        # pause of the process.
        now = self._clock()
        slot, home = self.slots.get(request.slot), self.homes.get(request.slot)
        if slot is None or home is None or not slot.may_lend(now):
            return QuotaGrant(0, False, 0.0)
        return home.handle(request, now)

    async def _handle_incarnation(self, request: IncarnationRequest) -> Incarnation:
        return self._own_incarnation

    async def _confirm_borrowers(self, home: QuotaHome) -> None:
        """Forget borrowers whose VM is gone, and query which of several incarnations is running."""
        listed = self._vms.values()
        # A list without this VM itself is not accepted as proof that other VMs are gone.
        if self._settings.name in listed:
            for name in home.find_borrowers() - set(listed):
                home.confirm_incarnation(name, NO_INCARNATION)
        for name in home.find_contested():
            vm = self._vms.get(name)
            if vm is None:
                continue
            try:
                running = await self._peer_client.call(
                    vm.address, INCARNATION_METHOD, IncarnationRequest(), Incarnation
                )
            except PeerError:
                continue
            if running.name == name:
                home.confirm_incarnation(name, running.incarnation)

    async def _run_slots(self) -> None:
        while True:
            await asyncio.gather(
                *(self._step_slot(slot) for slot in self._slot_leases.list_relevant())
            )
            self._report_unlisted_zones()
            await asyncio.sleep(STEP_INTERVAL_S)

    def _report_unlisted_zones(self) -> None:
        """Log zones missing from the settings; shares may then not add up to the contracts."""
        vms = self._vms.values().values()
        unlisted = {vm.zone for vm in vms if vm.role == "entry"} - set(self._zones)
        if unlisted - self._reported_zones:
            log_event("quota_zones_unlisted", zones=sorted(unlisted))
        self._reported_zones = unlisted
        self._unlisted.set(len(unlisted))

    async def _step_slot(self, slot: Slot) -> None:
        await self._slot_leases.maintain(slot)
        self._open_home(slot)
        await self._announce(slot)
        if slot.name in self.homes:
            await self._confirm_borrowers(self.homes[slot.name])

    def _open_home(self, slot: Slot) -> None:
        now = self._clock()
        if not slot.may_lend(now) or slot.record is None:
            return
        epoch = slot.record.epoch
        known = self.homes.get(slot.name)
        if known is None or known.epoch != epoch:
            find_limits = self._limits_for(slot.name)
            self.homes[slot.name] = QuotaHome(
                slot.name, epoch, find_limits, now, slot.is_first_lease
            )
            log_event("quota_home_opened", slot=slot.name, epoch=epoch)

    def _limits_for(self, slot: str) -> Callable[[str], HomeQuota | None]:
        return lambda customer: self._find_home_limits(slot, customer)

    def _find_home_limits(self, slot: str, customer: str) -> HomeQuota | None:
        contract = self._contracts.get(customer)
        limits = effective_limits(contract) if contract is not None else None
        if limits is None:
            return None
        cached = self._limits_cache.get(customer)
        if cached is None or cached[0] != limits:
            parts = divide_contract(customer, self._zones, self._settings.quota_slots_per_zone)
            cached = (limits, parts, divide_permits(limits.concurrent_requests, parts))
            self._limits_cache[customer] = cached
        share = next((part.share for part in cached[1] if part.slot == slot), 0.0)
        return HomeQuota(
            limits.requests_per_second * share,
            limits.request_burst * share,
            limits.tokens_per_second * share,
            limits.token_burst * share,
            cached[2].get(slot, 0),
        )

    async def _announce(self, slot: Slot) -> None:
        record = slot.record
        if record is None or not slot.may_lend(self._clock()):
            return
        # The feed returns the written announcement only after a delay.
        if self._announced_epochs.get(slot.name) == record.epoch:
            return
        known = self._announcements.cache.get(slot.name)
        if known is not None and known.epoch >= record.epoch:
            return
        value = HomeAnnouncement(slot.name, record.epoch, record.holder)
        version = self._announcements.cache.version_of(slot.name)
        value = msgspec.to_builtins(value)
        outcome = await self._platform.write(HOME_KIND, slot.name, value, version)
        if isinstance(outcome, Written):
            self._announced_epochs[slot.name] = record.epoch

    def apply_home(self, slot: str, home: HomeAnnouncement | None) -> None:
        """Apply a new announcement, or None after its deletion."""
        if home is not None:
            self.admission.set_home(slot, home.epoch)
