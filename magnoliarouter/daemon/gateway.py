"""Gateway daemon: forwards plain HTTP requests and event streams."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.core.coldstart import ColdLimit, plan_cold_rate
from magnoliarouter.core.retries import SharedRetryBudget
from magnoliarouter.daemon.gatewayregister import GatewayRegistration
from magnoliarouter.daemon.gatewayview import describe_gateway
from magnoliarouter.daemon.mapelection import MapLeaderElection
from magnoliarouter.daemon.quarantine import (
    QUARANTINE_KIND,
    QuarantineRecords,
    decode_record,
    name_record,
)
from magnoliarouter.daemon.supervision import keep_running
from magnoliarouter.gateway.confirmations import (
    CONFIGURATION_WAIT_S,
    CONFIRMING_WAIT_S,
    ENDPOINTS_WAIT_S,
    Confirmations,
)
from magnoliarouter.gateway.crashwatch import CrashWatch
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.evacuations import EvacuationWatch
from magnoliarouter.gateway.forward import GatewayForwarder
from magnoliarouter.gateway.freshness import Freshness
from magnoliarouter.gateway.groupwatch import GroupWatch
from magnoliarouter.gateway.handler import GatewayHandler
from magnoliarouter.gateway.mapduty import MapDuty
from magnoliarouter.gateway.paces import RankPaces, limit_by_pace
from magnoliarouter.gateway.pauses import EventGapMeter, limit_requests
from magnoliarouter.gateway.peers import PeerLoads
from magnoliarouter.gateway.quarantine import Quarantine
from magnoliarouter.gateway.registrations import RegistrationOrder, RegistrationStatus
from magnoliarouter.gateway.waiting import WaitQueue
from magnoliarouter.gateway.zonewatch import ZoneWatch
from magnoliarouter.store.backoff import Backoff, CallBudget
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.store.feed import ObjectFeed
from magnoliarouter.store.recovery import SharedRecovery
from magnoliarouter.store.transport import UpstreamTransport
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.web.ingress import IngressServer
from magnoliarouter.web.limits import ServerLimits
from magnoliarouter.web.memory import ByteBudget
from magnoliarouter.web.requestmemory import RequestMemory
from magnoliarouter.web.upstream import UpstreamPool, split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.gateway.call import HeaderCodec
    from magnoliarouter.gateway.ranks import RankClient
    from magnoliarouter.gateway.ratelimits import RateUpdate
    from magnoliarouter.gateway.routes import ExpertProfile, GatewayConfig, ModelProfile
    from magnoliarouter.gateway.settings import GatewaySettings
    from magnoliarouter.store.wire import ObjectCodec
    from magnoliarouter.web.ingress import IngressExchange

__all__ = ["GatewayDaemon", "GatewayInterface"]

# The store responds in 4 ms, and within 0.3 s on the slowest days observed.
STORE_TIMEOUT_S = 0.8
# Share of the shortest bound during which feeds collect changes. Every batch of changes costs each daemon
# one billed store call, and many changes come together while endpoints start.
CHANGE_BATCH_SHARE = 0.2
# Crashes that many daemons record together, as of a rack, arrive in few batches.
QUARANTINE_BATCH_S = 0.1
# The jitter of `Backoff` spreads the calls of daemons that lost the store together, so that they
# reconnect one after the other.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
# Call rate of one daemon: a fraction of the rate that the store grants to 40 daemons.
STORE_CALLS_PER_S = 20.0
# Keys expire this much before the revocation bound, to cover a request that is in transit.
REVOCATION_MARGIN_S = 0.4
# Endpoints whose entries expired during a store outage are registered again within this time
# after its end.
EXPIRED_ENTRY_HOLD_S = 2.0
# The load balancer in front of this daemon probes readiness once a second, and stops sending
# requests after two failed probes.
LISTEN_AFTER_TERM_S = 3.5
# Two failed readiness probes take at most this long. A request that arrives later could not be
# finished within the grace period.
ACCEPT_AFTER_TERM_S = 2.8
# Both end earlier if the grace period is short.
MAX_LISTEN_SHARE, MAX_ACCEPT_SHARE = 0.45, 0.35
GRACE_MARGIN_S = 0.6
# Time for the responses to calls that are not finished when connections are closed.
LAST_RESPONSE_S = 0.2
# Interval at which the retry budget is divided by the number of daemons, which can change within
# seconds.
BUDGET_SHARE_INTERVAL_S = 0.25
# Share of the VM's memory for large responses that are read whole. While one is handed to its caller
# it is held twice, and most of the memory is the process itself.
RESPONSE_MEMORY_SHARE = 1 / 16
# Share of the VM's memory for requests, from their first bytes to the end of their responses.
REQUEST_MEMORY_SHARE = 1 / 5
# Share of the descriptors for callers' connections; the rest is for endpoints, the platform and the
# next two.
CALLER_CONNECTIONS_SHARE = 3 / 4
# Connections to the address of the readiness probe, and to that of the metrics.
MAX_PROBE_CONNECTIONS = 32


@dataclass(frozen=True, slots=True)
class GatewayInterface:
    """Adapter between the gateway and one platform.

    Parameters
    ----------
    headers : HeaderCodec
        Header fields of requests and responses.
    wire : ObjectCodec
        Calls to the object store.
    ready_path : str
        Path of the load balancer's readiness probe.
    configuration_kind, configuration_name : str
        Kind and name of the operator's configuration object.
    decode_configuration : callable
        Converts its value to a `GatewayConfig`.
    endpoint_kind : str
        Kind of the objects with which endpoints register.
    decode_endpoint : callable
        Converts a name and a value to an `Endpoint`.
    evacuation_kind : str
        Kind of the operator's evacuations; the name of an object is that of the zone.
    decode_evacuation : callable
        Checks the value of an evacuation; raises `ValueError` if it is malformed.
    open_ranks : callable
        Returns a client for calls to ranks over a pool of connections. It calls the function given
        second with the address of an endpoint that says that it is leaving.
    """

    headers: HeaderCodec
    wire: ObjectCodec
    ready_path: str
    configuration_kind: str
    configuration_name: str
    decode_configuration: Callable[[Any], GatewayConfig]
    endpoint_kind: str
    decode_endpoint: Callable[[str, Any], Endpoint]
    evacuation_kind: str
    decode_evacuation: Callable[[Any], Any]
    open_ranks: Callable[[UpstreamPool, Callable[[str], None]], RankClient]


@dataclass(frozen=True, slots=True)
class _MalformedEntry:
    """Entry that names no endpoint, and the reason."""

    reason: str


class GatewayDaemon:
    """Assembles the gateway of one entry VM.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    interface : GatewayInterface
        Adapter to the platform.
    """

    def __init__(self, settings: GatewaySettings, interface: GatewayInterface) -> None:
        self.settings = settings
        self.interface = interface
        self.metrics = Metrics()
        self.config: GatewayConfig | None = None
        self._cold_limits: dict[str, ColdLimit] = {}
        self._mixed_services: frozenset[str] = frozenset()
        self.leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._task_failures = self.metrics.add_counter(
            "task_failures", "Background tasks that ended by an exception", "task"
        )
        self._pending_removals: dict[str, asyncio.TimerHandle] = {}
        self._registrations = RegistrationOrder()

    async def start(self) -> None:
        """Start to read the configuration and the endpoints, and to serve callers."""
        settings, interface = self.settings, self.interface
        self._loop = asyncio.get_running_loop()
        clock, bounds = self._loop.time, settings.bounds
        self._pool = UpstreamPool(clock)
        self._store_pool = UpstreamPool(clock)
        self._store = self._create_store_client()
        # A watch confirms the configuration as of the time it was sent, so a missing entry counts as
        # nonexistent up to an age of two watches and half a call timeout.
        self.freshness = Freshness(
            bounds.revocation_s - REVOCATION_MARGIN_S,
            CONFIGURATION_WAIT_S * 2 + STORE_TIMEOUT_S / 2,
        )
        self.table = EndpointTable(settings.zone)
        self.table.find_profile = self._find_profile
        overflow = self.table.overflow
        overflow.is_enabled = settings.keeps_zone
        overflow.count = lambda reason: self.metrics.zone_choices.labels(reason).inc()
        self._retry_budget = SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        incarnation = random.getrandbits(48)
        self.peers = PeerLoads(
            settings.name,
            incarnation,
            lambda: self.table.own_requests,
            self._apply_peer_loads,
            settings.link_mbps,
        )
        await self.peers.open(*split_address(settings.peers))
        self._queue = WaitQueue(
            self.table, clock, self.peers.count_daemons, self.peers.count_waiting
        )
        self._queue.serves_by_need = self._serves_by_need
        self._queue.list_peer_queues = self.peers.list_queues
        self._queue.announce = self.peers.schedule_send
        self.peers.read_queues = self._queue.report_queues
        self.table.rates.read_share = self.peers.read_share
        self.table.rates.count_daemons = self.peers.count_registered
        self.table.rates.find_cold_limit = lambda service: self._cold_limits.get(service)
        self.peers.collect_rates = lambda: self.table.rates.collect_updates(clock())
        self.peers.apply_rates = self._apply_peer_rates
        self.peers.collect_long_prompts = self.table.work.collect_extra
        self.peers.apply_long_prompts = lambda peer, prompts: self.table.apply_long_prompts(
            peer, prompts, clock()
        )
        self.peers.read_waiting = self._queue.list_lengths
        self._rank_client = interface.open_ranks(self._pool, self._record_leaving_at)
        self._group_watch = GroupWatch(
            self._rank_client, self._list_members, clock, self._apply_group_change
        )
        self._zone_watch = ZoneWatch(
            settings.zone, self._pool.can_connect, self.table.list, self._apply_zone_change
        )
        self.evacuations = EvacuationWatch(self.table, clock, self.metrics, self._queue.wake)
        self._gap_meter = EventGapMeter(clock, self._group_watch.find_group)
        self.table.is_unavailable, self.table.concurrency_limit = (
            self._is_unavailable,
            self._find_load_limit,
        )
        self._forwarder = forwarder = GatewayForwarder(
            self.table,
            self._queue,
            self._pool,
            interface.headers,
            self._retry_budget,
            clock,
            self.metrics,
            self._group_watch,
            self._zone_watch,
            self._gap_meter,
            self._create_crash_watch(),
            self.peers.schedule_send,
            ByteBudget(int(settings.memory_mb * 1e6 * RESPONSE_MEMORY_SHARE)),
        )
        self._paces = RankPaces(clock, forwarder.move_streams)
        self._handler = handler = GatewayHandler(
            self._find_usable_config,
            self.freshness,
            interface.headers,
            forwarder,
            clock,
            self.metrics,
        )
        self._open_feeds()
        self._start_map_control(incarnation)
        memory = RequestMemory(int(settings.memory_mb * 1e6 * REQUEST_MEMORY_SHARE))
        self._max_connections = int(settings.max_descriptors * CALLER_CONNECTIONS_SHARE)
        limits = ServerLimits(max_connections=self._max_connections)
        self._server = IngressServer(handler.handle, handler.count_rejected, limits, memory)
        limits = ServerLimits(max_connections=MAX_PROBE_CONNECTIONS)
        self._ready_server = IngressServer(self._serve_ready, limits=limits, memory=memory)
        self._status_server = IngressServer(self._serve_status, limits=limits, memory=memory)
        if settings.status:
            await self._status_server.start(*split_address(settings.status))
        await self._ready_server.start(*split_address(settings.ready))
        self.port = await self._server.start(*split_address(settings.listen))

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed bounds; addresses are read at the start."""
        bounds = settings.bounds
        self.settings = msgspec.structs.replace(self.settings, bounds=bounds)
        self._retry_budget.ratio, self._retry_budget.slack = bounds.retry_ratio, bounds.retry_slack
        self.freshness.key_age_s = bounds.revocation_s - REVOCATION_MARGIN_S
        self._plan_cold_limits()
        self._confirmations.batch_s = batch_s = self._plan_batch_s()
        self.configuration_feed.batch_interval_s = batch_s
        self.endpoint_feed.batch_interval_s = batch_s
        self._follow_evacuations(at_start=False)
        log_event("settings_applied", bounds=msgspec.to_builtins(bounds))

    async def stop(self) -> None:
        """Fail the readiness probe, finish requests in progress, then shut down."""
        term_at, grace_s = self._loop.time(), self.settings.bounds.grace_s
        idle_deadline = term_at + grace_s - GRACE_MARGIN_S
        self.leaving = True
        self._server.start_draining()
        self._handler.refuse_from = term_at + min(ACCEPT_AFTER_TERM_S, MAX_ACCEPT_SHARE * grace_s)
        self._forwarder.finish_by(idle_deadline - LAST_RESPONSE_S)
        self._tasks.append(self._loop.create_task(self._registration.withdraw()))
        map_release = self._loop.create_task(self._release_map_lease())
        await asyncio.sleep(min(LISTEN_AFTER_TERM_S, MAX_LISTEN_SHARE * grace_s))
        self._server.stop_listening()
        await self._server.wait_until_idle(idle_deadline - self._loop.time())
        if self._server.active_requests:
            log_event("broken_off_at_stop", requests=self._server.active_requests)
        self._server.abort_all()
        await map_release
        for task in (*self._tasks, *self.maps.list_tasks()):
            task.cancel()
        self.peers.announce_stop()
        self.peers.close()

    async def _release_map_lease(self) -> None:
        """Release the map lease once running switches have ended.

        The next map leader must not take over a group that is held in the middle of a switch.
        """
        await self.maps.finish()
        await self.map_election.release()

    def _create_store_client(self) -> PlatformClient:
        calls = self.metrics.add_counter(
            "platform_calls", "Calls to the platform by operation and result", "operation", "result"
        )
        return PlatformClient(
            "",
            UpstreamTransport(self.settings.store, self._store_pool),
            CallBudget(STORE_CALLS_PER_S, STORE_CALLS_PER_S),
            lambda operation, result: calls.labels(operation, result).inc(),
            self.interface.wire,
            STORE_TIMEOUT_S,
        )

    def _create_crash_watch(self) -> CrashWatch:
        self.quarantine = Quarantine(
            lambda: self._quarantine_records.is_loaded(),
            lambda: self._queue.wake(),
            self.table.runs_software,
        )
        self._crash_watch = watch = CrashWatch(
            self.quarantine,
            self._pool.is_refused,
            self._loop.time,
            lambda cause: self._quarantine_records.write_cause(cause),
            lambda cause: self._quarantine_records.delete_cause(cause),
            lambda report: self._quarantine_records.write_crash(report),
            self.peers.schedule_send,
            self.peers.count_present,
            lambda: self.peers.read_share() == 1.0,
        )
        self._quarantine_records = QuarantineRecords(self._store, watch, _create_backoff())
        self.peers.collect_crashes, self.peers.apply_crashes = (
            watch.collect_update,
            watch.apply_update,
        )
        return watch

    def _open_feeds(self) -> None:
        interface, batch_s = self.interface, self._plan_batch_s()
        self._recovery = recovery = SharedRecovery(_create_backoff())
        self.configuration_feed = ObjectFeed(
            self._store,
            interface.configuration_kind,
            interface.decode_configuration,
            self._apply_configuration,
            _create_backoff(),
            CONFIGURATION_WAIT_S,
            self._confirm_configuration,
            lambda reason: _log_feed(interface.configuration_kind, reason),
            batch_interval_s=batch_s,
            recovery=recovery,
        )
        self.endpoint_feed = ObjectFeed(
            self._store,
            interface.endpoint_kind,
            self._decode_endpoint,
            self._apply_endpoint,
            _create_backoff(),
            ENDPOINTS_WAIT_S,
            on_availability=lambda reason: _log_feed(interface.endpoint_kind, reason),
            batch_interval_s=batch_s,
            recovery=recovery,
            passes_name=True,
        )
        records = self._quarantine_records
        records.feed = ObjectFeed(
            self._store,
            QUARANTINE_KIND,
            decode_record,
            records.apply,
            _create_backoff(),
            ENDPOINTS_WAIT_S,
            on_availability=lambda reason: _log_feed(QUARANTINE_KIND, reason),
            batch_interval_s=QUARANTINE_BATCH_S,
            recovery=recovery,
        )
        confirming_waits = {
            self.configuration_feed: CONFIRMING_WAIT_S,
            self.endpoint_feed: ENDPOINTS_WAIT_S,
            records.feed: ENDPOINTS_WAIT_S,
        }
        self._confirmations = Confirmations(confirming_waits, self.peers, self._loop.time, batch_s)
        self.peers.read_confirmations = self._confirmations.collect
        self.peers.apply_confirmation = self._apply_confirmation
        self._registration = GatewayRegistration(
            self._store,
            self.settings.name,
            self.settings.zone,
            self.settings.peers,
            self.peers,
            _create_backoff(),
        )
        for feed in confirming_waits:
            self._start_task(f"feed of {feed.kind}", feed.run)
        self._start_task("quarantine", records.run)
        self._start_task("confirmations", self._confirmations.run)
        self._start_task("registration", self._registration.run)
        self._start_task("retry budget", self._share_budget)
        self._follow_evacuations(at_start=True)

    def _plan_batch_s(self) -> float:
        """Return the seconds during which feeds collect changes."""
        bounds = self.settings.bounds
        shortest_s = min(
            bounds.drain_s, bounds.configuration_s, bounds.evacuation_s or bounds.drain_s
        )
        return CHANGE_BATCH_SHARE * shortest_s

    def _follow_evacuations(self, at_start: bool) -> None:
        """Read the evacuations if the settings have a bound for them, and else do not."""
        watch, kind = self.evacuations, self.interface.evacuation_kind
        if self.settings.bounds.evacuation_s is None:
            if watch.feed is not None:
                self._evacuation_task.cancel()
                self._confirmations.remove(kind)
                watch.close()
        elif watch.feed is not None:
            watch.feed.batch_interval_s = self._plan_batch_s()
        else:
            watch.is_required = at_start
            watch.feed = ObjectFeed(
                self._store,
                kind,
                self.interface.decode_evacuation,
                watch.apply,
                _create_backoff(),
                ENDPOINTS_WAIT_S,
                on_availability=lambda reason: _log_feed(kind, reason),
                batch_interval_s=self._plan_batch_s(),
                recovery=self._recovery,
                on_item=watch.record_item,
            )
            self._confirmations.add(watch.feed, ENDPOINTS_WAIT_S)
            self._evacuation_task = self._start_task(f"feed of {kind}", watch.feed.run)

    async def _share_budget(self) -> None:
        """Divide the retry budget by the number of running daemons, until cancelled."""
        while True:
            await asyncio.sleep(BUDGET_SHARE_INTERVAL_S)
            self._retry_budget.daemons = self.peers.count_daemons()

    def _apply_confirmation(self, kind: str, digest: int, sent_at: float) -> None:
        if self._confirmations.apply(kind, digest, sent_at):
            if kind == self.interface.configuration_kind:
                self._confirm_configuration(sent_at)

    def _apply_peer_loads(self, peer: str, loads: dict[str, int]) -> None:
        now = self._loop.time()
        self.table.rates.record_contact(peer, now)
        self.table.apply_peer_load(peer, loads, now)
        self._queue.schedule_wake()

    def _apply_peer_rates(self, peer: str, start: int, updates: list[RateUpdate]) -> None:
        rates, now = self.table.rates, self._loop.time()
        for update in updates:
            endpoint = self.table.find(update.endpoint)
            if endpoint is None:
                continue
            was_cold = rates.is_cold(endpoint, now)
            if rates.apply_update(peer, start, endpoint, update, now):
                self._forwarder.report_rate(endpoint, peer)
            if not was_cold and rates.is_cold(endpoint, now):
                self._forwarder.report_cold(endpoint, peer)

    def _start_map_control(self, incarnation: int) -> None:
        clock = self._loop.time
        self.map_election = MapLeaderElection(
            self._store,
            self.settings.peers,
            incarnation,
            self.peers,
            clock,
            lambda: self.is_ready() and not self.leaving,
            lambda: self.maps.rediscover(),
        )
        self._rank_client.may_send = (
            lambda fencing_number: fencing_number == self.map_election.fencing_number()
        )
        self.maps = MapDuty(
            self._rank_client,
            self._list_ranks,
            self.map_election.fencing_number,
            clock,
            self._gap_meter.mean_gap,
            on_paces=self._apply_own_paces,
            is_leaving=self._is_leaving,
            resign=lambda reason: self.map_election.resign(),
        )
        self.peers.read_slow_ranks = self.maps.list_slow_ranks
        self.peers.apply_slow_ranks = self._paces.apply_report
        self._start_task("maps", self.maps.run)
        self._start_task("groups", self._group_watch.run)
        self._start_task("zones", self._zone_watch.run)
        self._start_task("map election", self.map_election.run)

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Run a background task until the daemon stops."""
        task = self._loop.create_task(keep_running(name, run, self._count_failure))
        self._tasks.append(task)
        return task

    def _count_failure(self, task: str) -> None:
        self._task_failures.labels(task).inc()

    def _list_ranks(self) -> list[tuple[Endpoint, ExpertProfile]]:
        ranks = []
        # A rank that obeys a former map leader could be armed alone, seconds later.
        for endpoint in self.table.list() if self.settings.bounds.ranks_check_fencing else ():
            experts = self._find_experts(endpoint)
            if experts is not None:
                ranks.append(
                    (
                        endpoint,
                        replace(experts, max_event_gap_s=self._find_max_event_gap_s(endpoint)),
                    )
                )
        return ranks

    def _list_members(self) -> list[Endpoint]:
        return [
            endpoint for endpoint in self.table.list() if self._find_experts(endpoint) is not None
        ]

    def _find_profile(self, service: str) -> ModelProfile | None:
        """Return the profile of a model service, or None."""
        found = self.config.services.get(service) if self.config is not None else None
        return found.profile if found is not None else None

    def _find_experts(self, endpoint: Endpoint) -> ExpertProfile | None:
        """Return the expert profile of a service whose endpoints are ranks of groups, or None."""
        profile = self._find_profile(endpoint.service)
        return profile.experts if profile is not None else None

    def _plan_cold_limits(self) -> None:
        """Plan the rates of cold endpoints, by service, from the configuration and the bounds."""
        bounds, services = self.settings.bounds, self.config.services if self.config else {}
        self._cold_limits = {
            name: ColdLimit(
                service.cold_start_s,
                plan_cold_rate(service.cold_requests_per_s, bounds.cold_over, bounds.cold_slack),
            )
            for name, service in services.items()
            if service.cold_requests_per_s
        }

    def _find_max_event_gap_s(self, endpoint: Endpoint) -> float | None:
        """Return the shortest event gap that a route to the endpoint's service counts as late."""
        return (
            self.config.max_event_gaps_s.get(endpoint.service) if self.config is not None else None
        )

    def _is_unavailable(self, endpoint: Endpoint) -> bool:
        return self._zone_watch.is_unreachable(endpoint.zone) or self._group_watch.is_stalled(
            endpoint.identity
        )

    def _find_load_limit(self, endpoint: Endpoint) -> int:
        recent_gap_s = self._gap_meter.mean_gap_at(endpoint.identity)
        limit = limit_requests(endpoint.slots, recent_gap_s, self._find_max_event_gap_s(endpoint))
        limit = limit_by_pace(limit, self._paces.pace_of(endpoint.identity))
        return self.table.evacuations.limit_requests(limit, endpoint.zone, self._loop.time())

    def _apply_group_change(self) -> None:
        """Serve or refuse the waiting calls, and look for a newly formed group at once."""
        self._queue.wake()
        if not self._group_watch.has_stalled_group():
            self.maps.rediscover()

    def _record_leaving_at(self, address: str) -> None:
        """Record that the endpoint at an address said so in a report or a response to an order."""
        for endpoint in self.table.list():
            if endpoint.address == address:
                self._forwarder.record_leaving(endpoint, "report")

    def _is_leaving(self, identity: str) -> bool:
        endpoint = self.table.find(identity)
        return endpoint is not None and self.table.notices.is_leaving(endpoint)

    def _apply_own_paces(self, slow: dict[str, float]) -> None:
        """Apply the paces that this daemon read as map leader, and tell the other daemons."""
        self._paces.apply_report(slow)
        self.peers.schedule_send()

    def _apply_zone_change(self, zone: str) -> None:
        """Forget the outliers of a zone that was lost or regained.

        The failures at its endpoints were caused by the zone.
        """
        self.table.outliers.forget(
            [endpoint.identity for endpoint in self.table.list() if endpoint.zone == zone]
        )
        self._queue.wake()

    def _serves_by_need(self, service: str) -> bool:
        admission = self.settings.admission
        return admission == "need" or (admission == "auto" and service in self._mixed_services)

    def describe_queues(self) -> dict[str, dict[str, Any]]:
        """Return, for each service that has had calls, those that wait and what is expected."""
        return self._queue.describe()

    def _find_usable_config(self) -> GatewayConfig | None:
        """Return the configuration, or None before the evacuations are known as well."""
        return self.config if self.evacuations.is_loaded() else None

    def _confirm_configuration(self, sent_at: float) -> None:
        if self.config is not None:
            self.freshness.confirm(sent_at)

    def _apply_configuration(self, name: str, value: GatewayConfig | None) -> None:
        if name != self.interface.configuration_name or value is None:
            return
        if self.config is not None and value.version < self.config.version:
            log_event("configuration_older", version=value.version, in_force=self.config.version)
            return
        self.config = value
        self._mixed_services = value.list_mixed_services()
        self._plan_cold_limits()
        limits = value.limits
        self._server.limits = ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            self._max_connections,
        )
        log_event("configuration_applied", version=value.version)

    def _decode_endpoint(self, name: str, value: Any) -> Endpoint | _MalformedEntry:
        """Decode an entry; a malformed one comes into force as such, and removes the endpoint."""
        try:
            return self.interface.decode_endpoint(name, value)
        except ValueError as error:
            return _MalformedEntry(str(error))

    def _apply_endpoint(self, name: str, endpoint: Endpoint | _MalformedEntry | None) -> None:
        match endpoint:
            case None:
                self._registrations.record_removal(name)
                self._cancel_removal(name)
                self._remove_or_hold_endpoint(name)
                return
            case _MalformedEntry(reason):
                self._remove_malformed(name, reason)
                return
        match self._registrations.record(endpoint):
            case RegistrationStatus.UNORDERED:
                self._remove_malformed(name, "the fields that order registrations are missing")
                return
            case RegistrationStatus.OUTDATED:
                log_event(
                    "endpoint_outdated",
                    endpoint=name,
                    started_ms=endpoint.started_ms,
                    sequence=endpoint.sequence,
                    draining=endpoint.draining,
                )
                return
        self._cancel_removal(name)
        known, now = self.table.find(name), self._loop.time()
        self.table.put(endpoint)
        if self.table.rates.record_entry(endpoint, now, self.endpoint_feed.synchronized.is_set()):
            self._forwarder.report_cold(endpoint, "registry")
        if endpoint.fault and self.table.notices.record_malformed(endpoint, "registry"):
            log_event("endpoint_field_malformed", endpoint=name, reason=endpoint.fault)
        if known is None or known.draining != endpoint.draining:
            log_event(
                "endpoint_draining" if endpoint.draining else "endpoint_seen",
                endpoint=name,
                service=endpoint.service,
                address=endpoint.address,
                started_ms=endpoint.started_ms,
                sequence=endpoint.sequence,
            )

    def _cancel_removal(self, name: str) -> None:
        timer = self._pending_removals.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _remove_malformed(self, name: str, reason: str) -> None:
        log_event("endpoint_malformed", endpoint=name, reason=reason)
        self._cancel_removal(name)
        self._remove_endpoint(name)

    def _remove_or_hold_endpoint(self, name: str) -> None:
        """Remove an endpoint, with a delay if its entry may have expired during a store outage."""
        store_failed_s = self._loop.time() - self.endpoint_feed.failed_at
        if store_failed_s < EXPIRED_ENTRY_HOLD_S and self.table.find(name) is not None:
            log_event("endpoint_held", endpoint=name, store_failed_s=round(store_failed_s, 3))
            self._pending_removals[name] = self._loop.call_later(
                EXPIRED_ENTRY_HOLD_S - store_failed_s, self._remove_endpoint, name
            )
            return
        self._remove_endpoint(name)

    def _remove_endpoint(self, name: str) -> None:
        self._pending_removals.pop(name, None)
        endpoint = self.table.remove(name)
        if endpoint is not None:
            self._pool.drop(endpoint.address)
            self.table.outliers.forget([name])
            log_event("endpoint_gone", endpoint=name)

    def list_quarantined(self) -> dict[str, list[str]]:
        """Return the parts of prompts that crash endpoints, by the name of their record."""
        return {
            name_record(cause, self.quarantine.list_software(cause)): sorted(cause)
            for cause in self.quarantine
        }

    async def _serve_ready(self, exchange: IngressExchange) -> None:
        target = exchange.request.target.decode("latin-1")
        if target != self.interface.ready_path:
            await exchange.send(404, [], b"")
        else:
            await exchange.send(200 if self.is_ready() else 503, [], b"")

    async def _serve_status(self, exchange: IngressExchange) -> None:
        match exchange.request.target:
            case b"/metrics":
                await exchange.send(200, [(b"Content-Type", b"text/plain")], self.metrics.render())
            case b"/status":
                body = msgspec.json.encode(describe_gateway(self, self._loop.time()))
                await exchange.send(200, [(b"Content-Type", b"application/json")], body)
            case _:
                await exchange.send(404, [], b"")

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this daemon."""
        now = self._loop.time()
        return (
            not self.leaving
            and self.config is not None
            and self.endpoint_feed.synchronized.is_set()
            and self._quarantine_records.is_loaded()
            and self.evacuations.is_loaded()
            and self.freshness.accepts_keys(now)
        )


def _log_feed(kind: str, reason: str) -> None:
    if reason:
        log_event("feed_lost", kind=kind, reason=reason)
    else:
        log_event("feed_regained", kind=kind)


def _create_backoff() -> Backoff:
    return Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
