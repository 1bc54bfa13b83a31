"""Entry daemon: serves callers within the limits of their contracts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.keys import KeyIndex
from magnoliarouter.daemon.calls import CallHandler, PipelineStages
from magnoliarouter.daemon.configuration import Configuration
from magnoliarouter.daemon.digests import ReportExchange
from magnoliarouter.daemon.grouphealth import GroupHealth
from magnoliarouter.daemon.groups import GroupControllers
from magnoliarouter.daemon.quota import HOME_KIND, QuotaService, decode_home
from magnoliarouter.daemon.status import StatusService
from magnoliarouter.daemon.upkeep import RegionMaintenance
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.peers import PeerClient, PeerServer
from magnoliarouter.pipeline.admit import StaticAdmission
from magnoliarouter.pipeline.guards import GuardClient
from magnoliarouter.pipeline.once import AtMostOnceCalls
from magnoliarouter.pipeline.place import Placement, create_policy
from magnoliarouter.pipeline.queue import WaitQueue
from magnoliarouter.pipeline.retry import Forwarder
from magnoliarouter.store.backoff import CallBudget
from magnoliarouter.store.claims import ClaimStore
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.store.objects import decode_contract
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.requestmemory import RequestMemory
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.pipeline.admit import Admission
    from magnoliarouter.web.exchange import Exchange

__all__ = ["EntryDaemon"]

CALL_BURST_S = 4.0
RELEASE_TIMEOUT_S = 3.0


class EntryDaemon:
    """Assembles the pipeline of one entry VM.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.port = 0
        self.ready = False
        self._tasks: list[asyncio.Task[None]] = []
        self._quota: QuotaService | None = None

    async def start(self) -> None:
        """Start to read the configuration and to serve callers."""
        self._loop = asyncio.get_running_loop()
        self._session = open_session()
        self._platform = self._open_platform()
        self.peer_client = PeerClient(self.settings.peer_key)
        refusals = self.metrics.add_counter(
            "peer_refusals", "Streams of peers refused, by reason", "reason"
        )
        self.peer_server = PeerServer(
            self.settings.peer_key, lambda reason: refusals.labels(reason).inc()
        )
        self._open_configuration()
        self._open_placement()
        self._open_once_calls()
        self._open_maintenance()
        self._open_admission()
        self._call_handler = self._open_calls()
        listen = self.settings.listen
        self._server = WebServer(
            Runtime(self._loop),
            (listen.host, listen.port),
            self.handle,
            on_reject=self._call_handler.count_rejected,
            memory=RequestMemory(int(self.settings.request_memory_mb * 1e6)),
        )
        self.port = self._server.port
        peers = self.settings.peers
        await self.peer_server.start(peers.host, peers.port)
        self.configuration.start()
        self.ready = True

    async def stop(self) -> None:
        """Fail the readiness probe, finish requests in progress, then shut down."""
        self.ready = False
        self._server.start_draining()
        await asyncio.sleep(self.settings.shutdown_seconds)
        self._server.stop_listening()
        await self._server.wait_until_idle()
        await self._once_calls.wait_until_idle()
        for task in self._tasks:
            task.cancel()
        self._report_exchange.stop()
        await self.groups.stop()
        await self._release_leases()
        await self.configuration.stop()
        await self.peer_server.stop()
        await self.peer_client.close()
        await self._single_use_session.close()
        await self._session.close()

    async def _release_leases(self) -> None:
        """Release leases and slots; those that the platform does not accept in time expire."""
        releases = [self._maintenance.release()]
        if self._quota is not None:
            releases.append(self._quota.release())
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await asyncio.gather(*releases)
        except TimeoutError:
            log_event("leases_not_handed_back", seconds=RELEASE_TIMEOUT_S)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of a caller."""
        match exchange.request.path:
            case "/healthz":
                await exchange.send(200, b'{"healthy": true}')
            case "/readyz":
                await exchange.send(200 if self._is_ready() else 503, b"{}")
            case "/metrics":
                await exchange.send(200, self.metrics.render(), {"Content-Type": "text/plain"})
            case "/v1/models":
                await exchange.send(200, self._list_models())
            case _:
                await self._call_handler.serve(exchange)

    def _open_platform(self) -> PlatformClient:
        calls = self.metrics.add_counter(
            "platform_calls", "Calls to the platform by operation and result", "operation", "result"
        )
        rate = self.settings.platform_calls_per_second
        return PlatformClient(
            self.settings.platform,
            self._session,
            CallBudget(rate, rate * CALL_BURST_S),
            lambda operation, result: calls.labels(operation, result).inc(),
        )

    def _open_once_calls(self) -> None:
        self._single_use_session = open_session(reuse=False)
        rate = self.settings.claim_calls_per_second
        budget = CallBudget(rate, rate * CALL_BURST_S)
        claims = ClaimStore(PlatformClient(self.settings.platform, self._session, budget))
        guards = GuardClient(self._single_use_session, self._loop.time)
        self._once_calls = AtMostOnceCalls(
            claims, guards, self._placement, self._loop.time, self.metrics
        )

    def _open_placement(self) -> None:
        clock, vms = self._loop.time, self.configuration.vms.cache
        self._placement = Placement(
            self.settings.zone,
            self._endpoints.cache,
            clock,
            create_policy(self.settings),
            vms,
            self.group_health.extra_load,
        )
        self._queue = WaitQueue(
            self._placement,
            self.settings.queue_length,
            clock,
            self.metrics.add_gauge("waiting", "Requests that wait for an endpoint"),
        )
        self._forwarder = Forwarder(self._placement, self._session, clock, self.metrics)
        self._report_exchange = ReportExchange(
            self.settings,
            self._session,
            (self.peer_client, self.peer_server),
            (self._endpoints.cache, vms),
            self._placement,
            self.metrics,
            clock,
        )
        self._tasks.append(self._loop.create_task(self._report_exchange.run()))

    def _open_admission(self) -> None:
        if self.settings.admission == "static":
            self._admission: Admission = StaticAdmission(
                self.settings.static_share, self._loop.time
            )
            return
        self._quota = QuotaService(
            self.settings,
            self._platform,
            (self.peer_client, self.peer_server),
            (self._contracts.cache, self.configuration.vms.cache),
            self.configuration.add(
                HOME_KIND, decode_home, lambda slot, home: self._quota.apply_home(slot, home)
            ),
            self.metrics,
            self._loop.time,
        )
        self._admission = self._quota.admission
        self._tasks += [self._loop.create_task(task) for task in self._quota.tasks()]

    def _open_maintenance(self) -> None:
        self._maintenance = RegionMaintenance(
            self.settings.name,
            self.settings.region,
            self._platform,
            self._single_use_session,
            self._list_entry_names,
            self._loop.time,
        )
        self._tasks.append(self._loop.create_task(self._maintenance.run()))

    def _open_calls(self) -> CallHandler:
        stages = PipelineStages(
            self._keys,
            self._services.cache.values(),
            self._admission,
            self._queue,
            self._forwarder,
            self._once_calls,
        )
        return CallHandler(
            stages,
            self.settings.request_seconds,
            self._loop.time,
            self.metrics,
            self.configuration.synchronized.is_set,
        )

    def _list_entry_names(self) -> list[str]:
        vms = self.configuration.vms.cache.values().values()
        return [vm.name for vm in vms if vm.role == "entry" and not vm.leaving]

    def _open_configuration(self) -> None:
        self.configuration = Configuration(
            self.settings, self._platform, self.peer_client, self.peer_server, self.metrics
        )
        self._keys = KeyIndex()
        self._contracts = self.configuration.add(
            "contract", decode_contract, self._keys.update, self._keys.find_clash
        )
        self._endpoints = self.configuration.add("endpoint")
        self._services = self.configuration.add("service")
        self._open_groups()
        self.status = StatusService(
            self.settings, self.configuration, self.peer_server, self._is_ready
        )

    def _open_groups(self) -> None:
        self.groups = GroupControllers(
            self.settings.name,
            self._platform,
            self._session,
            self.settings.peer_key,
            self._loop.time,
            self.metrics,
            self.settings.group_lease_seconds,
            self.configuration.list_entry_vms,
        )
        self.group_health = GroupHealth()
        self.configuration.add("group", on_change=self.groups.apply_group)
        self.configuration.add("group-health", on_change=self.group_health.update)

    def _is_ready(self) -> bool:
        return self.ready and self.configuration.synchronized.is_set()

    def _list_models(self) -> bytes:
        endpoints = self._endpoints.cache.values().values()
        models = sorted({model for endpoint in endpoints for model in endpoint.models})
        data = [{"id": model, "object": "model"} for model in models]
        return msgspec.json.encode({"object": "list", "data": data})
