"""Follows the collectors: fetches digests of endpoint reports for the placement of a daemon."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.membership import EntryVm, order_duty_holders
from magnoliarouter.daemon.collector import Collector
from magnoliarouter.peers import PeerError
from magnoliarouter.peers.messages import Digest, DigestRequest, EndpointIdentity, decode_row

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.core.digest import DigestRow
    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.peers import PeerClient, PeerServer
    from magnoliarouter.pipeline.place import Placement
    from magnoliarouter.store.objects import EndpointSpec, VmSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["DigestFollower", "ReportExchange", "order_collectors"]

DIGEST_METHOD = "digest"
COLLECTOR_DUTY = "collector"
FETCH_INTERVAL_S = 1.0
FETCH_DEADLINE_S = 1.0
FAILED_COLLECTOR_RETRY_S = 5.0
MIN_COLLECTORS = 2
FOLLOWERS_PER_COLLECTOR = 8


@dataclass(slots=True)
class _FollowPosition:
    """Position of a follower in the digests of one zone's collector."""

    epoch: str = ""
    version: int = 0
    endpoints: dict[int, EndpointIdentity] = field(default_factory=dict)


def order_collectors(zone: str, name: str, vms: list[EntryVm]) -> list[EntryVm]:
    """Return the entry VMs of a zone in the order in which one daemon requests digests from them.

    The zone's daemons are spread over the first two VMs, or over more in a large zone.
    """
    ordered = order_duty_holders(COLLECTOR_DUTY, zone, vms)
    count = max(MIN_COLLECTORS, math.ceil(len(ordered) / FOLLOWERS_PER_COLLECTOR))
    first, rest = ordered[:count], ordered[count:]
    chosen = [vm.name for vm in order_duty_holders(name, zone, first)]
    return sorted(first, key=lambda vm: chosen.index(vm.name)) + rest


class DigestFollower:
    """Fetches digests for one entry daemon.

    Parameters
    ----------
    name, zone : str
        VM and availability zone of the daemon.
    vms : VersionedCache
        VMs as the platform lists them.
    placement : Placement
        Placement that uses the reports.
    collector : Collector
        The daemon's own collector.
    peers : PeerClient
        Client for calls to other entry daemons.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        vms: VersionedCache[VmSpec],
        placement: Placement,
        collector: Collector,
        peers: PeerClient,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._zone = zone
        self._vms = vms
        self._placement = placement
        self._collector = collector
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._positions: dict[str, _FollowPosition] = {}
        self._avoided_until: dict[str, float] = {}

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await asyncio.sleep(FETCH_INTERVAL_S * random.uniform(0.8, 1.0))
            await self.fetch()

    async def fetch(self) -> None:
        """Fetch a digest of the daemon's zone, and while collecting one of each other zone."""
        vms = self._list_entry_vms()
        zones = sorted({vm.zone for vm in vms} - {self._zone})
        fetches = [self._fetch_zone(self._zone, vms)]
        if self._collector.is_collecting:
            fetches += [self._fetch_zone(zone, vms) for zone in zones]
        await asyncio.gather(*fetches)
        self._collector.update_followers()
        self._placement.forget_unregistered()

    async def _fetch_zone(self, zone: str, vms: list[EntryVm]) -> None:
        position = self._positions.setdefault(zone, _FollowPosition())
        zone_filter = "" if zone == self._zone else zone
        request = DigestRequest(position.epoch, position.version, zone_filter)
        for vm in order_collectors(zone, self._name, vms):
            if self._clock() < self._avoided_until.get(vm.name, 0.0):
                continue
            digest = await self._request_digest(vm, request)
            if digest is not None:
                self._apply_digest(zone, digest)
                return
            self._avoided_until[vm.name] = self._clock() + FAILED_COLLECTOR_RETRY_S
        self._metrics.digest_failures.labels(zone).inc()

    async def _request_digest(self, vm: EntryVm, request: DigestRequest) -> Digest | None:
        if vm.name == self._name:
            return await self._collector.serve(request)
        try:
            return await self._peers.call(
                vm.address, DIGEST_METHOD, request, Digest, FETCH_DEADLINE_S
            )
        except PeerError:
            return None

    def _apply_digest(self, zone: str, digest: Digest) -> None:
        now = self._clock()
        position = self._positions[zone]
        if position.epoch != digest.epoch:
            position = self._positions[zone] = _FollowPosition(digest.epoch)
        position.version = digest.version
        position.endpoints |= {identity.number: identity for identity in digest.identities}
        rows = [
            decode_row(row, position.endpoints[row.number], now)
            for row in digest.rows
            if row.number in position.endpoints
        ]
        if zone != self._zone:
            for row in rows:
                self._collector.table.update(row, now)
            self._collector.table.confirm_zone(zone, set(digest.stale), now)
            return
        for row in rows:
            self._apply_row(row)
        self._placement.confirm_reports_except(set(digest.stale), now)

    def _apply_row(self, row: DigestRow) -> None:
        self._placement.set_incarnation(row.name, row.incarnation)
        self._placement.apply_report(row.name, row.report, row.measured_at)
        if row.cache is not None and self._placement.apply_cache_change(row.name, row.cache):
            self._metrics.index_resets.inc()

    def _list_entry_vms(self) -> list[EntryVm]:
        return [
            EntryVm(vm.name, vm.zone, vm.address, vm.leaving)
            for vm in self._vms.values().values()
            if vm.role == "entry"
        ]


class ReportExchange:
    """Exchange of endpoint reports by one entry daemon: collects on request, and follows.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the daemon.
    session : aiohttp.ClientSession
        HTTP session of the process.
    peers : tuple of PeerClient and PeerServer
        Calls to and from other entry daemons; the server has not started yet.
    caches : tuple of VersionedCache
        Registered endpoints, and VMs as the platform lists them.
    placement : Placement
        Placement that uses the reports.
    metrics : Metrics
        Counters.
    clock : callable
        Loop time in seconds.
    """

    def __init__(
        self,
        settings: EntrySettings,
        session: aiohttp.ClientSession,
        peers: tuple[PeerClient, PeerServer],
        caches: tuple[VersionedCache[EndpointSpec], VersionedCache[VmSpec]],
        placement: Placement,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        client, server = peers
        endpoints, vms = caches
        self._collector = Collector(settings.zone, endpoints, session, clock)
        server.add_method(DIGEST_METHOD, DigestRequest, self._collector.serve)
        self._follower = DigestFollower(
            settings.name,
            settings.zone,
            vms,
            placement,
            self._collector,
            client,
            clock,
            metrics,
        )

    async def run(self) -> None:
        """Follow the collectors until cancelled."""
        await self._follower.run()

    def stop(self) -> None:
        """Stop collecting."""
        self._collector.stop()
