"""Controls the expert maps of the groups whose lease an entry daemon holds."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from functools import partial
from traceback import format_exc
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.core import mapcontrol
from magnoliarouter.core.expertmap import spread_evenly
from magnoliarouter.core.hashing import rendezvous_order
from magnoliarouter.core.mapmessages import Report, Schedule
from magnoliarouter.core.mapstate import (
    ControllerState,
    MapRecord,
    Phase,
    Send,
    Store,
    StoreOutcome,
    SwitchSettings,
)
from magnoliarouter.daemon.groupbalance import GroupBalancer
from magnoliarouter.endpoints.group import MAP_KIND
from magnoliarouter.endpoints.ranks import RankClient
from magnoliarouter.store.client import Conflict, Found, Missing, Unavailable, Written
from magnoliarouter.store.leases import LeaseManager
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    import aiohttp

    from magnoliarouter.core.membership import EntryVm
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.groups import GroupSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["GroupController", "GroupControllers", "GroupMetrics"]

IDLE_TICK_S = 1.0
BUSY_TICK_S = 0.1
STORE_TIMEOUT_S = 1.0
RETRY_S = 0.5
CANDIDATE_COUNT = 3
LONG_SWITCH_S = 2.0
# These phases complete a decision that started under the lease. They may run after the lease is
# lost, because ranks reject orders of an older epoch.
CLOSING_PHASES = (Phase.COMMIT_WRITE, Phase.CONFIRM, Phase.SPREAD)


class GroupMetrics:
    """Metrics of the expert groups that a daemon controls.

    Parameters
    ----------
    metrics : Metrics
        Registry of the daemon.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.switches = metrics.add_counter("map_switches", "Map switches ended", "result")
        self.controllers = metrics.add_counter("map_controllers", "Controller runs", "end")
        self.moves = metrics.add_counter("map_moves", "Experts that ranks were told to fetch")
        self.skew = metrics.add_gauge("group_skew", "Step-time skew", "group")
        self.stragglers = metrics.add_gauge("group_stragglers", "Ranks lastingly slow", "group")


class GroupController:
    """Controls one group while its lease is held.

    Parameters
    ----------
    spec : GroupSpec
        The group.
    platform : PlatformClient
        Client of the object API.
    session : aiohttp.ClientSession
        Session for calls to the ranks' agents.
    key : str
        Key shared by all of the system's processes.
    clock : callable
        Loop time in seconds.
    metrics : GroupMetrics
        Metrics of the groups.
    lease_seconds : float
        Duration of the lease in seconds.
    is_candidate : callable
        Returns whether this daemon should compete for the lease.
    """

    def __init__(
        self,
        spec: GroupSpec,
        platform: PlatformClient,
        session: aiohttp.ClientSession,
        key: str,
        clock: Callable[[], float],
        metrics: GroupMetrics,
        lease_seconds: float,
        is_candidate: Callable[[], bool],
    ) -> None:
        self.spec = spec
        self.state: ControllerState | None = None
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._ranks = RankClient(spec.ranks, session, key)
        self._balancer = GroupBalancer(spec, platform, self._ranks, clock, metrics)
        self._lease_seconds = lease_seconds
        self._is_candidate = is_candidate
        self._lease = self._create_lease()
        self._lease_task: asyncio.Task[None] | None = None
        self._effect_tasks: set[asyncio.Task[None]] = set()
        self._idle_at = clock()
        self._published_switching = False

    async def run(self) -> None:
        """Compete for the lease, and control the group while holding it, until cancelled."""
        try:
            while True:
                await self._update_candidacy()
                if self._lease.epoch() is not None:
                    await self._control_safely()
                await asyncio.sleep(RETRY_S)
        finally:
            self._cancel_effects()
            await self._release_lease()

    async def _control_safely(self) -> None:
        try:
            await self._control()
        except Exception:
            # A fault in one group must not end its control permanently, nor that of other groups.
            self._metrics.controllers.labels("failed").inc()
            log_event("group_control_failed", group=self.spec.name, trace=format_exc())
        finally:
            self._cancel_effects()

    async def _update_candidacy(self) -> None:
        if self._is_candidate() and self._lease_task is None:
            self._lease_task = asyncio.create_task(self._lease.run())
        elif not self._is_candidate() and self._lease_task is not None:
            await self._release_lease()

    async def _release_lease(self) -> None:
        lease_task, self._lease_task = self._lease_task, None
        if lease_task is None:
            return
        lease_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await lease_task
        await self._lease.release()
        self._lease = self._create_lease()

    def _create_lease(self) -> LeaseManager:
        name = f"group.{self.spec.name}"
        holder = uuid.uuid4().hex
        return LeaseManager(self._platform, name, holder, self._clock, self._lease_seconds)

    async def _control(self) -> None:
        """Run one controller until it stops or the lease is lost."""
        found = await self._read_record()
        if found is None:
            return
        version, record = found
        size = len(self.spec.ranks)
        self._idle_at = self._clock()
        self._apply_transition(
            mapcontrol.start_controller(size, record, version, self._clock(), SwitchSettings())
        )
        while self._may_act():
            busy = self.state.phase is not Phase.IDLE
            await asyncio.sleep(BUSY_TICK_S if busy else IDLE_TICK_S)
            if not self._may_act():
                break
            self._apply_transition(mapcontrol.tick(self.state, self._clock()))
            self._publish_switching()
            if self.state.phase is Phase.IDLE:
                await self._rebalance()
        stopped = self.state.phase is Phase.STOPPED
        self._metrics.controllers.labels("stopped" if stopped else "lease_lost").inc()

    def _may_act(self) -> bool:
        phase = self.state.phase
        return phase is not Phase.STOPPED and (
            self._lease.epoch() is not None or phase in CLOSING_PHASES
        )

    def _publish_switching(self) -> None:
        """Publish when a switch starts to take long and when it ends."""
        now = self._clock()
        if self.state.phase is Phase.IDLE:
            self._idle_at = now
        switching = now >= self._idle_at + LONG_SWITCH_S
        if switching is not self._published_switching:
            self._published_switching = switching
            self._spawn(self._balancer.publish(switching))

    async def _rebalance(self) -> None:
        record = self.state.record
        plan = await self._balancer.propose_plan(record.schedule.version, record.text_of)
        if plan is None or self.state.record is not record or not self._may_act():
            return
        if self.state.phase is Phase.IDLE:
            self._metrics.moves.inc(plan.moves)
            self._apply_transition(
                mapcontrol.start_switch(self.state, plan.map.encode(), self._clock())
            )

    def _apply_transition(self, transition: tuple[ControllerState, list[Any]]) -> None:
        previous, (self.state, effects) = self.state, transition
        if previous is not None and previous.phase is not self.state.phase:
            self._record_phase(previous, self.state)
        for effect in effects:
            self._spawn(self._perform_effect(effect))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._effect_tasks.add(task)
        task.add_done_callback(self._effect_tasks.discard)

    def _record_phase(self, previous: ControllerState, after: ControllerState) -> None:
        name = self.spec.name
        log_event(
            "map_phase",
            group=name,
            phase=after.phase.value,
            epoch=after.epoch,
            version=after.current.version,
            target=after.target.version,
        )
        if after.aborts > previous.aborts:
            self._metrics.switches.labels("aborted").inc()
        elif after.current.version > previous.current.version:
            self._metrics.switches.labels("committed").inc()

    async def _perform_effect(self, effect: Send | Store) -> None:
        if not self._may_act():
            return
        epoch = self.state.epoch
        match effect:
            case Send(rank, order):
                report = await self._ranks.send(rank, order)
                if report is not None and self.state.epoch == epoch:
                    self._apply_report(report)
            case Store(record, expect):
                outcome, version = await self._write_record(record, expect)
                if self.state.epoch == epoch:
                    now = self._clock()
                    self._apply_transition(
                        mapcontrol.receive_outcome(self.state, outcome, version, now)
                    )

    def _apply_report(self, report: Report) -> None:
        self._apply_transition(mapcontrol.receive_report(self.state, report, self._clock()))

    async def _write_record(self, record: MapRecord, expect: int) -> tuple[StoreOutcome, int]:
        value = msgspec.to_builtins(record)
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                outcome = await self._platform.write(MAP_KIND, self.spec.name, value, expect)
        except TimeoutError:
            return StoreOutcome.LOST, 0
        match outcome:
            case Written(version):
                return StoreOutcome.WRITTEN, version
            case Conflict():
                return StoreOutcome.CONFLICT, 0
            case Unavailable():
                return StoreOutcome.FAILED, 0
        return StoreOutcome.LOST, 0

    async def _read_record(self) -> tuple[int, MapRecord] | None:
        match await self._platform.read(MAP_KIND, self.spec.name):
            case Found(_, (item,)):
                try:
                    return item.version, msgspec.convert(item.value, type=MapRecord)
                except msgspec.ValidationError as error:
                    log_event("map_invalid", group=self.spec.name, error=str(error))
            case Missing():
                return 0, self._create_record()
        return None

    def _create_record(self) -> MapRecord:
        spec = self.spec
        first = spread_evenly(len(spec.ranks), spec.layers, spec.experts)
        return MapRecord(0, Schedule(1), 1, 0, ((1, first.encode()),))

    def _cancel_effects(self) -> None:
        for task in self._effect_tasks:
            task.cancel()


class GroupControllers:
    """Competes for the control of every group in the platform.

    Parameters
    ----------
    name : str
        Entry VM of this daemon.
    platform, session, key, clock, lease_seconds
        As for `GroupController`.
    metrics : Metrics
        Registry of the daemon.
    list_vms : callable
        Returns all entry VMs; the first few in rendezvous order compete for a group.
    """

    def __init__(
        self,
        name: str,
        platform: PlatformClient,
        session: aiohttp.ClientSession,
        key: str,
        clock: Callable[[], float],
        metrics: Metrics,
        lease_seconds: float,
        list_vms: Callable[[], list[EntryVm]],
    ) -> None:
        self._name = name
        self._list_vms = list_vms
        self.controllers: dict[str, GroupController] = {}
        self._arguments = (platform, session, key, clock, GroupMetrics(metrics), lease_seconds)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def stop(self) -> None:
        """Stop all controllers and release their leases."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def apply_group(self, name: str, spec: GroupSpec | None) -> None:
        """Apply a group that was written or deleted."""
        if name in self._tasks:
            self._tasks.pop(name).cancel()
            self.controllers.pop(name)
        if spec is not None:
            is_candidate = partial(self._is_candidate, name)
            controller = GroupController(spec, *self._arguments, is_candidate)
            self.controllers[name] = controller
            self._tasks[name] = asyncio.get_running_loop().create_task(controller.run())

    def _is_candidate(self, group: str) -> bool:
        names = [vm.name for vm in self._list_vms() if not vm.leaving]
        return self._name in rendezvous_order(f"group/{group}", names)[:CANDIDATE_COUNT]
