"""Configuration of an entry daemon: the objects that it needs, from the platform or from peers."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING, Any

from magnoliarouter.core.membership import EntryVm
from magnoliarouter.core.relays import RelayObservations, plan_relays, should_watch
from magnoliarouter.peers.follower import RelayFollower, RelaySelector
from magnoliarouter.peers.relay import RELAY_METHOD, RelayLog, RelayRequest
from magnoliarouter.peers.status import KindStatus
from magnoliarouter.store.backoff import Backoff
from magnoliarouter.store.feed import WATCH_WAIT_S, ObjectFeed
from magnoliarouter.store.objects import decode_object
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.peers import PeerClient, PeerServer
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["Configuration"]

VM_KIND = "vm"
POLL_WAITS_S = (4.0, 2.0)
CHECK_INTERVAL_S = 0.25
PEER_SYNC_WAIT_S = 1.5
RESTART_DELAY_S = 1.0
MIN_PROBE_BACKOFF_S = 0.5
MAX_PROBE_BACKOFF_S = 20.0


class Configuration:
    """Replica of all objects that an entry daemon needs.

    A relay is an entry daemon that watches the platform and serves the changes to its peers. Each
    zone has two relays, and its other daemons follow them. See `magnoliarouter.core.relays`.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    platform : PlatformClient
        Client for lists and watches.
    peer_client, peer_server
        Calls between entry daemons; the relay's method is added to the server.
    metrics : Metrics
        Registry for ages, versions and refusals.
    source : random.Random, optional
        Source of all random choices.

    Attributes
    ----------
    synchronized : asyncio.Event
        Set once every kind has been received completely.
    vms : ObjectFeed
        VMs as the platform lists them.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: PlatformClient,
        peer_client: PeerClient,
        peer_server: PeerServer,
        metrics: Metrics,
        source: random.Random | None = None,
    ) -> None:
        self.synchronized = asyncio.Event()
        self._settings = settings
        self._platform = platform
        self._clock = asyncio.get_running_loop().time
        self._random = source or random.Random()
        self._jitter = self._random.random()
        self._started_at = self._clock()
        self._feeds: dict[str, ObjectFeed] = {}
        self._watches: list[asyncio.Task[None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._probe_backoff = Backoff(MIN_PROBE_BACKOFF_S, MAX_PROBE_BACKOFF_S, self._random)
        self._next_probe_at = self._started_at
        self._relay_log = RelayLog(uuid.uuid4().hex, self._clock)
        peer_server.add_method(RELAY_METHOD, RelayRequest, self._relay_log.serve)
        self.vms = self.add(VM_KIND, on_change=self._update_role)
        self._update_role()
        self._poll_counter = metrics.add_counter(
            "relay_polls", "Polls of relays by result", "result"
        )
        self._fault_counter = metrics.add_counter(
            "configuration_faults", "Configuration tasks that ended by a fault", "task"
        )
        selector = RelaySelector(self._clock, self._random)
        self._followers = [
            RelayFollower(
                slot,
                peer_client,
                self._feeds,
                selector,
                lambda slot=slot: self._list_candidates(slot),
                self._clock,
                wait_s,
                lambda result: self._poll_counter.labels(result).inc(),
            )
            for slot, wait_s in enumerate(POLL_WAITS_S)
        ]
        self._metrics = metrics

    def add(
        self,
        kind: str,
        decode: Callable[[Any], Any] | None = None,
        on_change: Callable[[str, Any], None] = lambda name, value: None,
        find_clash: Callable[[str, Any], str | None] | None = None,
    ) -> ObjectFeed:
        """Add a kind of object before `start` and return its feed.

        Parameters
        ----------
        kind : str
            Kind of object.
        decode : callable, optional
            Converts a JSON value to a checked value; by default the kind's model.
        on_change : callable, optional
            Called with the name and value (None once deleted) of each object that changed.
        find_clash : callable, optional
            Returns why a checked value may not be applied, or None.
        """
        feed = ObjectFeed(
            self._platform,
            kind,
            decode or (lambda value: decode_object(kind, value)),
            lambda name, value: self._notify(kind, on_change, name, value),
            Backoff(random=self._random),
            find_clash=find_clash,
        )
        self._feeds[kind] = feed
        self._relay_log.add_replica(feed)
        return feed

    def start(self) -> None:
        """Start to read; `synchronized` is set once all kinds are complete."""
        self._export_metrics()
        for slot, follower in enumerate(self._followers):
            self._spawn(f"follower-{slot}", follower.run)
        self._spawn("supervisor", self._supervise)
        self._spawn("synchronization", self._report_synchronized)

    async def stop(self) -> None:
        """Stop all reading."""
        tasks = [*self._tasks, *self._watches]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def source(self) -> str:
        """Where the configuration comes from: ``"platform"``, ``"peers"`` or ``"none"``."""
        served_times = [
            feed.served_at for feed in self._feeds.values() if feed.served_at is not None
        ]
        if self._watches and served_times and self._clock() - max(served_times) < 2 * WATCH_WAIT_S:
            return "platform"
        return "none" if self._silent_since() is not None else "peers"

    def describe(self) -> list[KindStatus]:
        """Return the status of each kind."""
        now = self._clock()
        return [
            KindStatus(
                feed.kind,
                len(feed.cache.values()),
                feed.version,
                None if feed.last_contact_at is None else round(now - feed.last_contact_at, 3),
                dict(feed.errors),
                feed.regressed,
            )
            for feed in self._feeds.values()
        ]

    def versions_of(self, kind: str, names: list[str]) -> dict[str, int]:
        """Return the newest version in force of each object, 0 if there is none."""
        feed = self._feeds.get(kind)
        return {name: feed.cache.version_of(name) if feed else 0 for name in names}

    def list_entry_vms(self) -> list[EntryVm]:
        """Return the entry VMs as the platform lists them."""
        vms = self.vms.cache.values().values()
        return [
            EntryVm(vm.name, vm.zone, vm.address, vm.leaving) for vm in vms if vm.role == "entry"
        ]

    def _notify(
        self, kind: str, on_change: Callable[[str, Any], None], name: str, value: Any
    ) -> None:
        """Call a change handler; its exceptions do not stop the reading."""
        try:
            on_change(name, value)
        except Exception as error:  # counted and logged
            self._record_fault(f"change-{kind}", error)

    def _record_fault(self, task: str, error: Exception) -> None:
        self._fault_counter.labels(task).inc()
        log_event("configuration", task=task, fault=f"{type(error).__name__}: {error}")

    def _update_role(self, name: str = "", value: object = None) -> None:
        settings = self._settings
        self._role = plan_relays(settings.name, settings.zone, self.list_entry_vms())

    def _list_candidates(self, slot: int) -> tuple[str, ...]:
        if not self.vms.cache.values():
            return self._settings.seeds
        local, remote = self._role.local_sources, self._role.remote_sources
        if self._jitter < 0.5:
            # The two followers poll at different rates. Half of the daemons swap the first two
            # relays, which balances the load of the relays.
            local = (*local[1:2], *local[:1], *local[2:])
        # A relay also follows another zone, in case its own zone loses the platform.
        return (*remote, *local) if slot and self._role.holds_duty else (*local, *remote)

    async def _supervise(self) -> None:
        if not await self.vms.list():
            log_event("configuration", state="platform does not list the VMs")
        await self._wait_for_peers()
        while True:
            self._update_watches()
            if self._should_watch() and not self._watches:
                await self._probe()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _wait_for_peers(self) -> None:
        """Wait for peers to deliver the current objects before listing all at the platform."""
        wait_until = self._clock() + PEER_SYNC_WAIT_S
        while self._list_candidates(0) and self._clock() < wait_until:
            if any(follower.caught_up for follower in self._followers):
                return
            await asyncio.sleep(CHECK_INTERVAL_S / 5)

    def _should_watch(self) -> bool:
        contacts = [feed.last_contact_at for feed in self._feeds.values()]
        oldest = min(self._started_at if at is None else at for at in contacts)
        observations = RelayObservations(
            self._relay_log.last_request_at, self._silent_since(), oldest
        )
        return should_watch(self._role, observations, self._clock(), self._jitter)

    def _silent_since(self) -> float | None:
        """Return since when no relay responds to any follower, or None while one does."""
        since = [follower.silent_since for follower in self._followers]
        return None if None in since else max(since)

    def _update_watches(self) -> None:
        """Start or stop watching according to the daemon's role."""
        if self._role.holds_duty and not self._watches:
            self._watch_all()
        elif self._watches and not self._should_watch():
            for task in self._watches:
                task.cancel()
            self._watches = []

    async def _probe(self) -> None:
        """List one kind only; if the platform responds, watch all kinds."""
        if self._clock() < self._next_probe_at:
            return
        if await self.vms.list():
            self._probe_backoff.reset()
            self._watch_all()
        else:
            self._next_probe_at = self._clock() + self._probe_backoff.next_wait()

    def _watch_all(self) -> None:
        self._watches = [
            asyncio.create_task(self._run_supervised(f"watch-{feed.kind}", feed.run))
            for feed in self._feeds.values()
        ]

    async def _report_synchronized(self) -> None:
        for feed in self._feeds.values():
            await feed.synchronized.wait()
            # Notifies followers that the kind is complete even if it has no objects.
            self._relay_log.notify()
        self.synchronized.set()
        log_event("configuration", state="synchronized", source=self.source)

    def _spawn(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._tasks.append(asyncio.create_task(self._run_supervised(name, run)))

    async def _run_supervised(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task and restart it after an exception, which is logged and counted."""
        while True:
            try:
                return await run()
            except Exception as error:  # a fault in one task must not stop the reading
                self._record_fault(name, error)
                await asyncio.sleep(RESTART_DELAY_S)

    def _export_metrics(self) -> None:
        """Export ages, versions and refusals as metrics."""
        metrics = self._metrics
        age = metrics.add_gauge(
            "configuration_age_seconds", "Time since the platform was heard of", "kind"
        )
        version = metrics.add_gauge("configuration_version", "Version known completely", "kind")
        refused = metrics.add_gauge(
            "configuration_refused", "Objects whose newest version is refused", "kind"
        )
        regressed = metrics.add_gauge(
            "configuration_regressed",
            "Whether the platform went back",
            "kind",
        )
        for kind, feed in self._feeds.items():
            age.labels(kind).set_function(lambda feed=feed: self._measure_age(feed))
            version.labels(kind).set_function(lambda feed=feed: feed.version)
            refused.labels(kind).set_function(lambda feed=feed: len(feed.refused))
            regressed.labels(kind).set_function(lambda feed=feed: float(bool(feed.regressed)))
        watching = metrics.add_gauge(
            "configuration_watching", "Whether this daemon watches the platform"
        )
        watching.set_function(lambda: float(bool(self._watches)))

    def _measure_age(self, feed: ObjectFeed) -> float:
        return self._clock() - (
            self._started_at if feed.last_contact_at is None else feed.last_contact_at
        )
