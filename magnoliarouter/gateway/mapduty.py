"""Balances the expert maps of all groups while this daemon holds the map lease.

A duty is a task that one daemon, elected by a lease in the store, performs for all daemons.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.gateway.groups import GroupMapSwitcher, SwitchAbandoned
from magnoliarouter.gateway.mapplan import (
    RELAXED_BALANCE,
    STRICT_BALANCE,
    BalancePolicy,
    MapPlan,
    NoChange,
    iterate_plan,
)
from magnoliarouter.gateway.paces import compare_paces
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.ranks import RankClient, RankReport
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["MapDuty"]

# Interval between reads of the counts. The popularity of experts changes every few seconds, and
# each read from a distant daemon delays the group's events.
READ_INTERVAL_S = 0.5
# Time between the first two reads.
FIRST_READ_DELAY_S = 0.2
# Interval between checks of the event gaps of this daemon's own streams, which need no call.
GAP_CHECK_INTERVAL_S = 0.05
# Longer interval between reads of a group without traffic, which needs no balancing.
IDLE_READ_INTERVAL_S = 1.5
# Share of the longest acceptable event gap up to which a group is not balanced. The other half is
# reserved for a burst, the processing of a prompt, and the network path to the caller.
RELAXED_FROM_SHARE = 0.5
# Share of the longest acceptable event gap above which a burst makes events late, so that the
# strict policy applies.
STRICT_FROM_SHARE = 0.7
# Interval between reads of the reports of all ranks while steps are late, and of those of slow ranks.
PACE_READ_INTERVAL_S = 0.5
# The same after a read that showed no slow rank, since the reports of all ranks are billed.
PACE_REREAD_INTERVAL_S = 1.0
# Interval between checks for added and removed ranks.
GROUP_CHECK_INTERVAL_S = 0.5
# Interval between discoveries of groups while some are missing. A group forms again within 0.6 s,
# and reading the reports of all ranks is billed.
REDISCOVERY_INTERVAL_S = 2.0
# Time that a rank spends copying experts for one switch; steps take 15% longer meanwhile. Because
# popularity changes every few seconds, several short switches help more than one late switch.
COPY_TIME_PER_SWITCH_S = 0.08
# Lower bound of the copy time of an expert, since the configuration may not give its size.
MIN_COPY_S = 0.01
# Maximum wait for switches in progress when the daemon stops. A switch takes about 0.5 s, and longer
# while orders get no response.
FINISH_TIMEOUT_S = 2.0
# Map versions reserved for one lease, so that each lease uses higher versions than all earlier ones.
VERSIONS_PER_LEASE = 10_000
# Pace that a plan assumes of a leaving rank, so that it gives replicas of experts to others.
LEAVING_PACE = 2.0


@dataclass(slots=True)
class MapDuty:
    """Runs one balancing task for each group while the map lease is held.

    Parameters
    ----------
    client : RankClient
        Calls to ranks.
    list_ranks : callable
        Returns the endpoints that may be ranks, with the profile of their experts.
    fencing_number : callable
        Returns the fencing number while this daemon holds the map lease, else None.
    clock : callable
        Loop time in seconds.
    recent_gap : callable
        Returns the recent mean event gap of a group's streams in seconds, or None without events.
    slow_ranks : dict of str to dict
        Relative paces of the slow ranks, by group and identity.
    on_paces : callable
        Called with the relative paces of the slow ranks of all groups after they were read.
    is_leaving : callable
        Returns whether a rank, by identity, takes no new work since it leaves.
    resign : callable
        Called with the reason when this daemon should give the map lease up.
    """

    client: RankClient
    list_ranks: Callable[[], list[tuple[Endpoint, ExpertProfile]]]
    fencing_number: Callable[[], int | None]
    clock: Callable[[], float]
    recent_gap: Callable[[str], float | None] = lambda group: None
    groups: dict[str, GroupMapSwitcher] = field(default_factory=dict)
    slow_ranks: dict[str, dict[str, float]] = field(default_factory=dict)
    on_paces: Callable[[dict[str, float]], None] = lambda slow: None
    is_leaving: Callable[[str], bool] = lambda identity: False
    resign: Callable[[str], None] = lambda reason: None
    _paces_read_at: dict[str, float] = field(default_factory=dict)
    _profiles: dict[str, ExpertProfile] = field(default_factory=dict)
    _tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _known_ranks: frozenset[str] = frozenset()
    _discovered_at: float = float("-inf")
    _formed: bool = False
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _lease: int | None = None
    _versions: int = 0
    # Groups whose ranks refuse orders of former map leaders. An epoch that begins later needs no
    # new order, since no former leader knows it.
    _taken_over: set[str] = field(default_factory=set)
    # Epoch and highest step held or released under this lease, by group.
    _highest_steps: dict[str, tuple[int, int]] = field(default_factory=dict)
    _resigned: int | None = None
    _finishing: bool = False
    _switching: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Discover and balance groups whenever the lease is held, until cancelled."""
        while True:
            self._changed.clear()
            fencing_number = self._held_number()
            if fencing_number is not None and not self._finishing:
                if fencing_number != self._lease:
                    self._lease, self._versions = fencing_number, 0
                    self.groups, self._known_ranks = {}, frozenset()
                    self.slow_ranks, self._paces_read_at = {}, {}
                    self._taken_over, self._highest_steps = set(), {}
                await self._refresh_groups()
            try:
                async with asyncio.timeout(GROUP_CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def rediscover(self) -> None:
        """Look for newly formed groups at once, as after a stalled group works again."""
        self._formed = True
        self._changed.set()

    async def finish(self) -> None:
        """Start no further switch, and wait for the switches in progress."""
        self._finishing = True
        if self._switching:
            await asyncio.wait(self._switching, timeout=FINISH_TIMEOUT_S)

    def list_tasks(self) -> list[asyncio.Task[None]]:
        """Return the tasks of all groups."""
        return list(self._tasks.values())

    async def _refresh_groups(self) -> None:
        listed = self.list_ranks()
        names = frozenset(endpoint.identity for endpoint, _ in listed)
        stale = self.clock() - self._discovered_at > REDISCOVERY_INTERVAL_S
        formed, self._formed = self._formed, False
        if listed and (formed or names != self._known_ranks or (stale and not self._is_complete())):
            await self._discover_groups(listed)

    def _is_complete(self) -> bool:
        known = [group for group in self.groups.values() if group.rows is not None]
        return sum(len(group.ranks) for group in known) >= len(self._known_ranks)

    async def _run_balance(self, group: GroupMapSwitcher) -> None:
        try:
            await self._balance_group(group)
        except Exception as error:
            log_event(
                "map_task_failed",
                group=group.name,
                reason=f"{type(error).__name__}: {error}",
                important=True,
            )
            # The group is discovered anew.
            group.rows = None

    async def _balance_group(self, group: GroupMapSwitcher) -> None:
        """Balance one group until it forms again or the lease is lost.

        A lease that is lost and acquired again ends the task too: a switch may have been left
        unfinished in between, which only a new discovery completes.
        """
        lease = self._lease
        while (
            group.rows is not None
            and self._held_number() == lease == self._lease
            and not self._finishing
        ):
            await self._read_paces(group)
            policy = self._choose_policy(group)
            plan = None if policy is None else await self._plan(group, policy)
            if not isinstance(plan, MapPlan):
                await self._wait_and_read(group, policy)
                continue
            if self._held_number() != lease:
                break
            version = self._next_version()
            switch = asyncio.ensure_future(group.switch(plan, version, self._profiles[group.name]))
            self._switching.add(switch)
            try:
                await switch
            except SwitchAbandoned as error:
                log_event(
                    "map_switch_abandoned", group=group.name, version=version, reason=str(error)
                )
                if self._held_number() == lease:
                    await asyncio.sleep(READ_INTERVAL_S)
                    # A group that is held refuses every switch, and the counts stay as they are.
                    await group.read_step()
            finally:
                self._switching.discard(switch)

    async def _plan(
        self, group: GroupMapSwitcher, policy: BalancePolicy
    ) -> MapPlan | NoChange | None:
        """Return the group's next map or why it keeps its map, or None without counts."""
        choices = self._sum_choices(group)
        if not any(choices):
            return None
        profile = self._profiles[group.name]
        copies = max(1, round(COPY_TIME_PER_SWITCH_S / max(profile.copy_s, MIN_COPY_S)))
        paces = self._list_paces(group)
        plan = await _run_in_slices(
            iterate_plan(group.rows, choices, len(group.ranks), profile, policy, copies, paces)
        )
        if isinstance(plan, NoChange):
            log_event(
                "map_kept",
                group=group.name,
                version=group.version,
                reason=plan.reason,
                choices=round(sum(choices)),
                recent=group.choices.recent,
                skew=round(plan.skew, 2),
                reduction=round(plan.reduction, 2),
                error=round(plan.error, 2),
                step_s=round(self._read_step_s(group), 3),
                target=policy.target_skew,
            )
        return plan

    def _list_paces(self, group: GroupMapSwitcher) -> list[float]:
        """Return the paces that the plan assumes, or none if all ranks take new work alike."""
        slow = self.slow_ranks.get(group.name, {})
        paces = [
            max(
                slow.get(rank.identity, 1.0),
                LEAVING_PACE if self.is_leaving(rank.identity) else 0.0,
            )
            for rank in group.ranks.values()
        ]
        return paces if any(pace != 1.0 for pace in paces) else []

    async def _read_paces(self, group: GroupMapSwitcher) -> None:
        """Read which ranks are slow while steps are late or a rank is known to be slow."""
        slow, now = self.slow_ranks.get(group.name, {}), self.clock()
        max_gap_s = self._profiles[group.name].max_event_gap_s
        late = max_gap_s is not None and self._read_step_s(group) > max_gap_s
        if not late and not slow:
            return
        interval_s = PACE_READ_INTERVAL_S if slow else PACE_REREAD_INTERVAL_S
        if now - self._paces_read_at.get(group.name, float("-inf")) < interval_s:
            return
        self._paces_read_at[group.name] = now
        reports = await group.read_reports()
        paces = {
            rank.identity: report.pace
            for rank, report in zip(group.ranks.values(), reports)
            if report is not None
        }
        found = compare_paces(paces)
        if found != slow:
            log_event("slow_ranks", group=group.name, paces=found, before=slow, read=len(paces))
        self.slow_ranks[group.name] = found
        self.on_paces(self.list_slow_ranks())

    def list_slow_ranks(self) -> dict[str, float]:
        """Return the relative paces of the slow ranks of all groups."""
        return {
            identity: pace for slow in self.slow_ranks.values() for identity, pace in slow.items()
        }

    async def _wait_and_read(self, group: GroupMapSwitcher, policy: BalancePolicy | None) -> None:
        """Wait, then read the group's counts or step."""
        if policy is None:
            await self._wait_until_slow(group)
        elif group.choices.recent:
            await asyncio.sleep(READ_INTERVAL_S)
            await group.read_recent_counts()
        elif group.choices.counts and self.recent_gap(group.name) is None:
            # The group is idle or held.
            await asyncio.sleep(IDLE_READ_INTERVAL_S)
            group.reset_counts()
            await group.read_step()
        else:
            # Without earlier counts to compare with, or without choices in between, read twice.
            await group.read_recent_counts()
            if not group.choices.recent:
                await asyncio.sleep(FIRST_READ_DELAY_S)
                await group.read_recent_counts()

    async def _wait_until_slow(self, group: GroupMapSwitcher) -> None:
        """Wait until the group's steps become too long, as seen in this daemon's own streams.

        Without such streams, return after `READ_INTERVAL_S` and a read of the group's step.
        """
        if group.version != 0:
            group.reset_counts()
        end = self.clock() + READ_INTERVAL_S
        while self.recent_gap(group.name) is not None or self.clock() < end:
            await asyncio.sleep(GAP_CHECK_INTERVAL_S)
            if self._choose_policy(group) is not None or self._held_number() != self._lease:
                return
            if self.slow_ranks.get(group.name):
                await self._read_paces(group)
        await group.read_step()

    def _choose_policy(self, group: GroupMapSwitcher) -> BalancePolicy | None:
        """Return the balance policy, or None while the steps are short enough without balancing.

        The map of a newly formed group follows no counts, so it is balanced as soon as there is
        traffic, before the queue of calls grows.
        """
        max_gap_s = self._profiles[group.name].max_event_gap_s
        step_s = self._read_step_s(group)
        fresh = group.version == 0 and self.recent_gap(group.name) is not None
        if max_gap_s is None or step_s > STRICT_FROM_SHARE * max_gap_s:
            return STRICT_BALANCE
        slow = step_s > RELAXED_FROM_SHARE * max_gap_s
        return RELAXED_BALANCE if slow or fresh else None

    def _read_step_s(self, group: GroupMapSwitcher) -> float:
        """Return the length of the group's steps as seen in its event gaps, else in its reports."""
        return self.recent_gap(group.name) or group.step_s

    def _sum_choices(self, group: GroupMapSwitcher) -> list[float]:
        """Return the sum of the counted choices over all groups with as many experts.

        Callers are spread over all groups, so every group's counts are a sample for all groups.
        """
        known = [
            other.choices.counts
            for other in self.groups.values()
            if len(other.choices.counts) == len(group.choices.counts)
        ]
        return [sum(column) for column in zip(*known)]

    def _next_version(self) -> int:
        assert self._lease is not None
        self._versions += 1
        return self._lease * VERSIONS_PER_LEASE + self._versions

    async def _discover_groups(self, listed: list[tuple[Endpoint, ExpertProfile]]) -> None:
        """Discover the group and rank of each endpoint, and start to balance complete groups."""
        self._discovered_at = self.clock()
        reports = await asyncio.gather(
            *(self.client.read_report(endpoint.address) for endpoint, _ in listed)
        )
        members: dict[str, dict[int, tuple[Endpoint, RankReport]]] = {}
        for (endpoint, profile), report in zip(listed, reports):
            if report is not None and report.group:
                self._profiles[report.group] = profile
                members.setdefault(report.group, {})[report.rank] = (endpoint, report)
        self._known_ranks = frozenset(endpoint.identity for endpoint, _ in listed)
        found = []
        for name, ranks in members.items():
            task, known = self._tasks.get(name), self.groups.get(name)
            epochs = {report.epoch for _, report in ranks.values()}
            if task is not None and known is not None and known.epoch not in epochs:
                # The group formed again; its ranks refuse orders of the former epoch.
                task.cancel()
                task = None
            if task is None or task.done():
                found.append(self._discover_group(name, ranks))
        await asyncio.gather(*found)

    async def _discover_group(
        self, name: str, ranks: dict[int, tuple[Endpoint, RankReport]]
    ) -> None:
        reports = [report for _, report in ranks.values()]
        self._forget_group(name)
        if len(ranks) != reports[0].size or not all(report.open for report in reports):
            return
        endpoints = {rank: endpoint for rank, (endpoint, _) in sorted(ranks.items())}
        epoch, highest_step = self._highest_steps.get(name, (0, 0))
        group = GroupMapSwitcher(
            name,
            endpoints,
            self.client,
            self._held_number,
            self.clock,
            self._resign,
            self._profiles[name].report_lag_s,
            highest_step if epoch == reports[0].epoch else 0,
            epoch=reports[0].epoch,
        )
        try:
            recovered = await self._recover_group(group, reports)
            recovered = recovered and await group.read_map(self._profiles[name])
        except SwitchAbandoned as error:
            log_event("map_recovery_abandoned", group=name, reason=str(error))
            recovered = False
        finally:
            self._highest_steps[name] = group.epoch, group.highest_step
        if recovered:
            await group.read_recent_counts()
            self.groups[name] = group
            log_event("group_found", group=name, ranks=len(endpoints), epoch=group.epoch)
            self._tasks[name] = asyncio.get_running_loop().create_task(self._run_balance(group))

    def _forget_group(self, name: str) -> None:
        group = self.groups.pop(name, None)
        if group is not None:
            self._highest_steps[name] = group.epoch, group.highest_step

    async def _recover_group(self, group: GroupMapSwitcher, reports: list[RankReport]) -> bool:
        """End what a former map leader, or this one, left unfinished in a group.

        The reports found may be older than the last orders, so they decide only whether there is
        anything to end in a group whose former map leader cannot act any more.
        """
        if group.name not in self._taken_over:
            reports = await group.take_over()
            self._taken_over.add(group.name)
        elif any(
            report.held_step is not None or report.armed_version is not None for report in reports
        ):
            reports = await group.read_current_reports()
        else:
            return True
        return await group.recover(reports)

    def _held_number(self) -> int | None:
        """Return the fencing number while this daemon holds the lease and has not resigned."""
        number = self.fencing_number()
        return None if number == self._resigned else number

    def _resign(self, reason: str) -> None:
        """Stop to act under the lease, so that another daemon takes the groups over."""
        number = self._held_number()
        if number is not None:
            self._resigned = number
            log_event("map_leader_resigned", fence=number, reason=reason)
            self.resign(reason)


async def _run_in_slices(steps: Generator[None, None, MapPlan | NoChange]) -> MapPlan | NoChange:
    """Run a plan to its end, and let the loop serve calls between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
