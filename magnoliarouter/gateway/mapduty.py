"""Balances the expert maps of all groups while this daemon is in charge of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.gateway.groups import GroupKeeper, SwitchAbandoned
from magnoliarouter.gateway.mapplan import EASY, HARD, MapEffort, plan_map
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.ranks import RankClient, RankReport
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["MapDuty"]

# Popularity changes every few seconds, and each read from afar costs the group a pause.
READ_EVERY_S = 0.5
# Time between the first two reads, in which a busy rank makes some 200,000 choices.
FIRST_READ_S = 0.2
# Own streams are listened to without a call.
LISTEN_EVERY_S = 0.05
# Without traffic there is nothing to balance.
IDLE_READ_EVERY_S = 1.5
# Choices below which nothing can be told; a busy rank makes a million in a second.
LEAST_CHOICES = 50_000
# Part of the shortest pause called late up to which steps are left alone: half of it leaves room
# for a burst, a prompt being read, and the way to the caller.
COMFORTABLE_SHARE = 0.5
# Part above which a burst makes events late.
STRAINED_SHARE = 0.7
# How often the duty looks for groups that came or went.
LOOK_EVERY_S = 0.5
# A group that forms anew is back after 0.6 s, and asking all ranks is priced.
FIND_AGAIN_S = 2.0
# Seconds in which a rank copies experts for one switch, and steps take 15 in 100 longer: what is
# popular changes every few seconds, so short switches help more than one that comes too late.
COPYING_S = 0.08
# The size of an expert may not be told.
LEAST_COPY_S = 0.01
# A switch takes some 0.5 s, and longer while orders go unanswered.
FINISH_S = 2.0
# Versions of one lease; each lease begins above all versions of earlier ones.
VERSIONS_A_LEASE = 10_000


@dataclass(slots=True)
class MapDuty:
    """Keeps one task for each group.

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
    recent_pause : callable
        Returns the recent pause between events of a group's streams, or None if there were none.
    """

    client: RankClient
    list_ranks: Callable[[], list[tuple[Endpoint, ExpertProfile]]]
    fence: Callable[[], int | None]
    clock: Callable[[], float]
    recent_pause: Callable[[str], float | None] = lambda group: None
    groups: dict[str, GroupKeeper] = field(default_factory=dict)
    _profiles: dict[str, ExpertProfile] = field(default_factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _known: frozenset[str] = frozenset()
    _found_at: float = float("-inf")
    _lease: int | None = None
    _versions: int = 0
    _finishing: bool = False
    _switching: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Work whenever the lease is held, for ever."""
        while True:
            fence = self.fence()
            if fence is not None and not self._finishing:
                if fence != self._lease:
                    self._lease, self._versions = fence, 0
                    self.groups, self._known = {}, frozenset()
                await self._look()
            await asyncio.sleep(LOOK_EVERY_S)

    async def finish(self) -> None:
        """Begin no further switch, and wait until those under way have ended."""
        self._finishing = True
        if self._switching:
            await asyncio.wait(self._switching, timeout=FINISH_S)

    def list_tasks(self) -> list[asyncio.Task[None]]:
        """Return the tasks of all groups."""
        return list(self._tasks.values())

    async def _look(self) -> None:
        listed = self.list_ranks()
        names = frozenset(endpoint.identity for endpoint, _ in listed)
        stale = self.clock() - self._found_at > FIND_AGAIN_S
        if listed and (names != self._known or (stale and not self._is_complete())):
            await self._find_groups(listed)

    def _is_complete(self) -> bool:
        known = [group for group in self.groups.values() if group.rows is not None]
        return sum(len(group.ranks) for group in known) >= len(self._known)

    async def _tend(self, group: GroupKeeper) -> None:
        """Balance one group until it forms anew or the lease is lost."""
        while group.rows is not None and self.fence() == self._lease and not self._finishing:
            plan, total = None, self._sum_choices(group)
            effort = self._choose_effort(group)
            if sum(total) >= LEAST_CHOICES and effort is not None:
                profile = self._profiles[group.name]
                copies = max(1, round(COPYING_S / max(profile.copy_s, LEAST_COPY_S)))
                plan = plan_map(group.rows, total, len(group.ranks), profile, effort, copies)
            if plan is None:
                await self._watch(group, effort, sum(total))
                continue
            version = self._take_version()
            switch = asyncio.ensure_future(group.switch(plan, version, self._profiles[group.name]))
            self._switching.add(switch)
            try:
                await switch
            except SwitchAbandoned as error:
                log_event(
                    "map_switch_abandoned", group=group.name, version=version, reason=str(error)
                )
                await asyncio.sleep(READ_EVERY_S)
            finally:
                self._switching.discard(switch)

    async def _watch(self, group: GroupKeeper, effort: MapEffort | None, choices: int) -> None:
        """Wait for a while and learn how the group fares."""
        if effort is None:
            await self._rest(group)
        elif group.choices and choices >= LEAST_CHOICES:
            await asyncio.sleep(READ_EVERY_S)
            await group.read_choices()
        elif group.choices:
            # The group has nothing to do, or is held.
            await asyncio.sleep(IDLE_READ_EVERY_S)
            await group.read_step()
        else:
            # There are no earlier counts to compare with.
            await group.read_choices()
            await asyncio.sleep(FIRST_READ_S)
            await group.read_choices()

    async def _rest(self, group: GroupKeeper) -> None:
        """Wait until steps are no longer short enough, as this daemon's own streams show them.

        Without a stream there, a report is asked for.
        """
        group.forget_choices()
        end = self.clock() + READ_EVERY_S
        while self.recent_pause(group.name) is not None or self.clock() < end:
            await asyncio.sleep(LISTEN_EVERY_S)
            if self._choose_effort(group) is not None or self.fence() != self._lease:
                return
        await group.read_step()

    def _choose_effort(self, group: GroupKeeper) -> MapEffort | None:
        """Return how even the map should be, or None while steps are short enough as they are."""
        late_s = self._profiles[group.name].pause_s
        step_s = self.recent_pause(group.name) or group.step_s
        if late_s is None or step_s > STRAINED_SHARE * late_s:
            return HARD
        return EASY if step_s > COMFORTABLE_SHARE * late_s else None

    def _sum_choices(self, group: GroupKeeper) -> list[int]:
        """Return the last choices of all groups of the same size of map.

        Callers are spread over all groups, so each group's choices tell of all.
        """
        size = max(len(other.choices) for other in self.groups.values())
        known = [other.choices for other in self.groups.values() if len(other.choices) == size]
        return [sum(column) for column in zip(*known)]

    def _take_version(self) -> int:
        assert self._lease is not None
        self._versions += 1
        return self._lease * VERSIONS_A_LEASE + self._versions

    async def _find_groups(self, listed: list[tuple[Endpoint, ExpertProfile]]) -> None:
        """Learn which endpoint is which rank of which group, and which map is in force."""
        self._found_at = self.clock()
        reports = await asyncio.gather(
            *(self.client.read_report(endpoint.address) for endpoint, _ in listed)
        )
        members: dict[str, dict[int, tuple[Endpoint, RankReport]]] = {}
        for (endpoint, profile), report in zip(listed, reports):
            if report is not None and report.group:
                self._profiles[report.group] = profile
                members.setdefault(report.group, {})[report.rank] = (endpoint, report)
        self._known = frozenset(endpoint.identity for endpoint, _ in listed)
        for name, ranks in members.items():
            task = self._tasks.get(name)
            if task is None or task.done():
                await self._find_group(name, ranks)

    async def _find_group(self, name: str, ranks: dict[int, tuple[Endpoint, RankReport]]) -> None:
        reports = [report for _, report in ranks.values()]
        self.groups.pop(name, None)
        if len(ranks) != reports[0].size or not all(report.open for report in reports):
            return
        endpoints = {rank: endpoint for rank, (endpoint, _) in sorted(ranks.items())}
        group = GroupKeeper(name, endpoints, self.client, self.fence, self.clock)
        try:
            well = await group.recover(reports) and await group.read_rows(self._profiles[name])
        except SwitchAbandoned as error:
            log_event("map_recovery_abandoned", group=name, reason=str(error))
            return
        if well:
            await group.read_choices()
            self.groups[name] = group
            log_event("group_found", group=name, ranks=len(endpoints), epoch=group.epoch)
            self._tasks[name] = asyncio.get_running_loop().create_task(self._tend(group))
