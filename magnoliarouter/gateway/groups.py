"""Keeps the expert maps of groups balanced, with one daemon in charge of all of them.

A switch holds the group before a later step, arms every rank for it, and lets the group go on once
each rank has confirmed; no step begins while two ranks differ. Nothing is ever taken back: an
order whose answer was lost is given again until it is confirmed, or until the group forms anew and
forgets it. The next daemon in charge finishes what it finds.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.gateway.mapplan import MapPlan, plan_map
from magnoliarouter.gateway.ranks import Arm, Go, Hold, Order, OrderResult, Prepare
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.ranks import RankClient, RankReport, Row
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["GroupKeeper", "MapDuty"]

# Popularity changes every few seconds, and each read costs the group a pause.
READ_EVERY_S = 0.8
# Choices below which nothing can be told; a busy rank makes a million in a second.
LEAST_CHOICES = 50_000
# A step takes 30 to 120 ms and all orders of a switch some 15 ms.
HOLD_AHEAD_S = 0.35
LEAST_HOLD_AHEAD = 4
# Reports are old, so the first step may have begun; each further one is later by as much again.
HOLD_TRIES = 4
USUAL_STEP_S = 0.06
REPORT_POLL_S = 0.1
# Copies may be slower than worked out while the link is shared; then the version is given up.
PREPARE_SLACK_S = 2.5
# A group that forms anew is back after 0.6 s.
REDISCOVER_S = 0.5
FIND_AGAIN_S = 2.0
# Versions of one lease; each lease begins above all versions of earlier ones.
VERSIONS_A_LEASE = 10_000


class SwitchAbandoned(Exception):
    """The switch cannot go on: the group formed anew, or the lease was lost."""


@dataclass(slots=True)
class GroupKeeper:
    """One group.

    Parameters
    ----------
    name : str
        Name of the group.
    ranks : dict of int to Endpoint
        Endpoint of each rank.
    client : RankClient
        Calls to ranks.
    fence : callable
        Returns the fencing number while this daemon is in charge, else None.
    clock : callable
        Loop time in seconds.
    """

    name: str
    ranks: dict[int, Endpoint]
    client: RankClient
    fence: Callable[[], int | None]
    clock: Callable[[], float]
    rows: tuple[Row, ...] | None = None
    epoch: int = 0
    version: int = 0
    step_s: float = USUAL_STEP_S
    _last_step: tuple[float, int] | None = None
    _last_counts: tuple[int, ...] | None = None

    async def read_rows(self, profile: ExpertProfile) -> bool:
        """Learn the map in force from the ranks, and return whether all agree on one."""
        held = await asyncio.gather(
            *(self.client.read_held(rank.address) for rank in self.ranks.values())
        )
        if any(answer is None for answer in held):
            return False
        if len({(answer.epoch, answer.version) for answer in held}) != 1:
            return False
        holders: list[list[list[int]]] = [
            [[] for _ in range(profile.experts)] for _ in range(profile.sets)
        ]
        for rank, answer in zip(self.ranks, held):
            for index, experts in enumerate(answer.experts):
                for expert in experts:
                    holders[index][expert].append(rank)
        self.rows = tuple(tuple(tuple(sorted(ranks)) for ranks in row) for row in holders)
        self.epoch, self._last_counts = held[0].epoch, None
        return True

    async def read_choices(self) -> tuple[int, ...] | None:
        """Return the choices of one rank's requests since the last call, or None."""
        rank = self.ranks[min(self.ranks)]
        counts = await self.client.read_counts(rank.address)
        if counts is None:
            return None
        if counts.epoch != self.epoch:
            self.rows = None
            return None
        self._note_step(counts.step)
        last, self._last_counts = self._last_counts, counts.counts
        if last is None or len(last) != len(counts.counts):
            return None
        return tuple(max(0, now - before) for now, before in zip(counts.counts, last))

    async def recover(self, reports: Iterable[RankReport]) -> bool:
        """Finish a switch that another daemon left behind, and return whether all is well."""
        reports = list(reports)
        held = {report.held for report in reports if report.held is not None}
        armed = {report.armed for report in reports if report.armed is not None}
        if not held and not armed:
            return True
        self.epoch = reports[0].epoch
        log_event("map_switch_found", group=self.name, held=sorted(held), armed=sorted(armed))
        if not held or len(armed) > 1:
            # Armed without a hold: the ranks switch by themselves as the step begins.
            return not armed
        step = max(held)
        for version in armed:
            await self._order_all(Arm(version, step))
        await self._release(step)
        return True

    async def switch(self, plan: MapPlan, version: int, profile: ExpertProfile) -> None:
        """Bring a planned map into force.

        Raises
        ------
        SwitchAbandoned
            The map in force stays, or the group formed anew.
        """
        began = self.clock()
        copy_s = plan.most_copies * profile.copy_s
        await self._order_all(Prepare(version, plan.rows), patience_s=copy_s + PREPARE_SLACK_S)
        await asyncio.sleep(copy_s)
        step = await self._wait_prepared(version, began + copy_s + PREPARE_SLACK_S)
        prepared = self.clock()
        step = await self._hold(step)
        await self._order_all(Arm(version, step))
        await self._release(step)
        self.rows, self.version = plan.rows, version
        log_event(
            "map_switched",
            group=self.name,
            version=version,
            step=step,
            copies=plan.copies,
            skew_before=round(plan.before, 2),
            skew_after=round(plan.after, 2),
            prepare_s=round(prepared - began, 3),
            switch_s=round(self.clock() - prepared, 3),
        )
        # A rank that is still armed takes no further version.
        await asyncio.sleep(HOLD_AHEAD_S)

    async def _hold(self, step: int) -> int:
        """Hold the group before a step that has not begun, and return it."""
        first = self.ranks[min(self.ranks)]
        for _ in range(HOLD_TRIES):
            step += max(LEAST_HOLD_AHEAD, int(HOLD_AHEAD_S / self.step_s))
            if await self._order(first, Hold(step)):
                return step
        raise SwitchAbandoned(f"step {step} had begun")

    async def _release(self, step: int) -> None:
        await asyncio.gather(*(self._order(rank, Go(step)) for rank in self._holders()))

    def _holders(self) -> list[Endpoint]:
        """Return the ranks at which a hold may stand: a daemon in charge uses the first."""
        return [self.ranks[min(self.ranks)]]

    async def _wait_prepared(self, version: int, until: float) -> int:
        """Wait until all ranks have a version's experts, and return the newest step."""
        while True:
            reports = await self.read_reports()
            if reports is not None:
                self._check_epoch(reports)
                if all(report.prepared == version for report in reports):
                    return max(report.step for report in reports)
            if self.clock() > until:
                raise SwitchAbandoned(f"version {version} was not prepared in time")
            await asyncio.sleep(REPORT_POLL_S)

    async def read_reports(self) -> list[RankReport] | None:
        """Return the reports of all ranks, or None if one is missing."""
        reports = await asyncio.gather(
            *(self.client.read_report(rank.address) for rank in self.ranks.values())
        )
        return None if any(report is None for report in reports) else list(reports)

    def _check_epoch(self, reports: list[RankReport]) -> None:
        if any(report.epoch != self.epoch for report in reports):
            self.rows = None
            raise SwitchAbandoned("the group formed anew")

    async def _order_all(self, order: Order, patience_s: float | None = None) -> None:
        taken = await asyncio.gather(
            *(self._order(rank, order, patience_s) for rank in self.ranks.values())
        )
        if not all(taken):
            if not isinstance(order, Prepare):
                await self._find_why(order)
            raise SwitchAbandoned(f"a rank refused {order.__class__.__name__.lower()}")

    async def _find_why(self, order: Order) -> None:
        log_event("order_refused", group=self.name, order=order.__class__.__name__.lower())
        self.rows = None

    async def _order(self, rank: Endpoint, order: Order, patience_s: float | None = None) -> bool:
        """Give an order until it is answered, and return whether it was taken."""
        until = None if patience_s is None else self.clock() + patience_s
        while True:
            fence = self.fence()
            if fence is None:
                raise SwitchAbandoned("the lease was lost")
            result = await self.client.send(rank.address, order, self.epoch, fence, len(self.ranks))
            match result:
                case OrderResult.TAKEN:
                    return True
                case OrderResult.REFUSED:
                    return False
                case OrderResult.FENCED:
                    raise SwitchAbandoned("another daemon is in charge")
            if until is not None and self.clock() > until:
                raise SwitchAbandoned(f"rank {rank.identity} does not answer")
            await self._check_formed(rank)

    async def _check_formed(self, rank: Endpoint) -> None:
        """End the switch if the group formed anew while an order got no answer."""
        report = await self.client.read_report(rank.address)
        if report is None:
            await asyncio.sleep(REPORT_POLL_S)
        elif report.epoch != self.epoch or not report.open:
            self.rows = None
            raise SwitchAbandoned("the group formed anew")

    def _note_step(self, step: int) -> None:
        now = self.clock()
        if self._last_step is not None:
            seconds, steps = now - self._last_step[0], step - self._last_step[1]
            if steps > 0:
                self.step_s = min(0.5, max(0.005, seconds / steps))
        self._last_step = (now, step)


@dataclass(slots=True)
class MapDuty:
    """Balances all groups while this daemon is in charge.

    Parameters
    ----------
    client : RankClient
        Calls to ranks.
    list_ranks : callable
        Returns the endpoints that may be ranks, with the profile of their experts.
    fence : callable
        Returns the fencing number while this daemon is in charge, else None.
    clock : callable
        Loop time in seconds.
    """

    client: RankClient
    list_ranks: Callable[[], list[tuple[Endpoint, ExpertProfile]]]
    fence: Callable[[], int | None]
    clock: Callable[[], float]
    groups: dict[str, GroupKeeper] = field(default_factory=dict)
    _profile: ExpertProfile | None = None
    _known: frozenset[str] = frozenset()
    _found_at: float = float("-inf")
    _lease: int | None = None
    _versions: int = 0
    _busy: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    async def run(self) -> None:
        """Work whenever the lease is held, for ever."""
        while True:
            fence = self.fence()
            if fence is None:
                self._lease = None
                await asyncio.sleep(READ_EVERY_S)
                continue
            if fence != self._lease:
                self._lease, self._versions = fence, 0
                self.groups, self._known = {}, frozenset()
            await self._work()
            await asyncio.sleep(READ_EVERY_S)

    def stop(self) -> list[asyncio.Task[None]]:
        """Return the switches that are under way."""
        return list(self._busy.values())

    async def _work(self) -> None:
        listed = self.list_ranks()
        names = frozenset(endpoint.identity for endpoint, _ in listed)
        stale = self.clock() - self._found_at > FIND_AGAIN_S
        if listed and (names != self._known or (stale and not self._is_complete())):
            await self._find_groups(listed)
        ready = [group for group in self.groups.values() if group.name not in self._busy]
        choices = await asyncio.gather(*(group.read_choices() for group in ready))
        known = [found for found in choices if found is not None]
        if not known or self._profile is None:
            return
        # Callers are spread over all groups, so each group's choices tell of all.
        total = [sum(column) for column in zip(*known)]
        if sum(total) < LEAST_CHOICES:
            return
        for group in ready:
            if group.rows is not None and group.name not in self._busy:
                plan = plan_map(group.rows, total, len(group.ranks), self._profile)
                if plan is not None:
                    self._begin(group, plan)

    def _begin(self, group: GroupKeeper, plan: MapPlan) -> None:
        assert self._lease is not None
        self._versions += 1
        version = self._lease * VERSIONS_A_LEASE + self._versions
        task = asyncio.get_running_loop().create_task(self._switch(group, plan, version))
        self._busy[group.name] = task
        task.add_done_callback(lambda done: self._busy.pop(group.name, None))

    async def _switch(self, group: GroupKeeper, plan: MapPlan, version: int) -> None:
        assert self._profile is not None
        try:
            await group.switch(plan, version, self._profile)
        except SwitchAbandoned as error:
            log_event("map_switch_abandoned", group=group.name, version=version, reason=str(error))

    def _is_complete(self) -> bool:
        known = [group for group in self.groups.values() if group.rows is not None]
        return sum(len(group.ranks) for group in known) >= len(self._known)

    async def _find_groups(self, listed: list[tuple[Endpoint, ExpertProfile]]) -> None:
        """Learn which endpoint is which rank of which group, and which map is in force."""
        self._found_at = self.clock()
        reports = await asyncio.gather(
            *(self.client.read_report(endpoint.address) for endpoint, _ in listed)
        )
        members: dict[str, dict[int, tuple[Endpoint, RankReport]]] = {}
        for (endpoint, profile), report in zip(listed, reports):
            if report is not None and report.group:
                self._profile = profile
                members.setdefault(report.group, {})[report.rank] = (endpoint, report)
        self._known = frozenset(endpoint.identity for endpoint, _ in listed)
        for name, ranks in members.items():
            if name in self._busy:
                continue
            await self._find_group(name, ranks)

    async def _find_group(self, name: str, ranks: dict[int, tuple[Endpoint, RankReport]]) -> None:
        reports = [report for _, report in ranks.values()]
        complete = len(ranks) == reports[0].size and all(report.open for report in reports)
        known = self.groups.get(name)
        endpoints = {rank: endpoint for rank, (endpoint, _) in sorted(ranks.items())}
        if not complete:
            self.groups.pop(name, None)
            return
        if known is not None and known.ranks == endpoints and known.rows is not None:
            return
        group = GroupKeeper(name, endpoints, self.client, self.fence, self.clock)
        assert self._profile is not None
        try:
            well = await group.recover(reports) and await group.read_rows(self._profile)
        except SwitchAbandoned as error:
            log_event("map_recovery_abandoned", group=name, reason=str(error))
            well = False
        if well:
            self.groups[name] = group
            log_event("group_found", group=name, ranks=len(endpoints), epoch=group.epoch)
        else:
            self.groups.pop(name, None)
