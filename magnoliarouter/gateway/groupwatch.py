"""Detects stalled groups of ranks.

All ranks of a group step together: if one is dead or unreachable, none serves. A call sent to any
rank of a stalled group would time out and use up one of its attempts, so a stall seen by one call
excludes all ranks of the group. A stalled group is polled until it works again. A rank that belongs
to no group, such as one added beyond the sizes of the groups, is polled until it joins one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.ranks import RankClient, RankReport

__all__ = ["GroupWatch"]

# A report is billed like a probe and is about 0.2 s old. A group takes 0.6 s to form again.
POLL_INTERVAL_S = 0.25
# Reports read this soon after a stall may predate it and still show the group as working.
STALE_REPORT_S = 0.4
# Ranks of a group polled at once. At least one responds unless a zone is unreachable.
POLLED_RANKS = 3
# Interval between reads of the group of a rank whose group is not known yet.
GROUP_RETRY_S = 1.0


class GroupWatch:
    """Groups of ranks, and which of them are stalled.

    Parameters
    ----------
    client : RankClient
        Calls to ranks.
    list_ranks : callable
        Returns the endpoints that may be ranks.
    clock : callable
        Loop time in seconds.
    on_change : callable
        Called when a group stalls or works again.
    """

    def __init__(
        self,
        client: RankClient,
        list_ranks: Callable[[], Iterable[Endpoint]],
        clock: Callable[[], float],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._client = client
        self._list_ranks = list_ranks
        self._clock = clock
        self._on_change = on_change
        self._groups: dict[str, str] = {}
        self._polled_at: dict[str, float] = {}
        self._ungrouped: set[str] = set()
        self._stalled: dict[str, float] = {}
        self._suspected: set[str] = set()
        self._wake = asyncio.Event()

    def find_group(self, identity: str) -> str:
        """Return the group of an endpoint, or "" if it has none or the group is unknown."""
        return self._groups.get(identity, "")

    def is_stalled(self, identity: str) -> bool:
        """Return whether an endpoint belongs to a stalled group, or is a rank without a group."""
        return self._groups.get(identity) in self._stalled or identity in self._ungrouped

    def has_stalled_group(self) -> bool:
        """Return whether any group is stalled."""
        return bool(self._stalled)

    def list_members(self, identity: str) -> set[str]:
        """Return the ranks of an endpoint's group, or only the endpoint if it has no group."""
        group = self._groups.get(identity)
        if not group:
            return {identity}
        return {name for name, other in self._groups.items() if other == group}

    def record_stall(self, identity: str) -> None:
        """Mark the group of a rank as stalled, after the rank refused for this reason."""
        group = self._groups.get(identity)
        if group:
            self._set_stalled(group, "a rank refused")

    def suspect(self, identity: str) -> None:
        """Poll the group of an endpoint that was silent or unreachable."""
        group = self._groups.get(identity)
        if group and group not in self._stalled:
            self._suspected.add(group)
            self._wake.set()

    async def run(self) -> None:
        """Discover the group of each rank and poll suspected and stalled groups until cancelled."""
        while True:
            self._wake.clear()
            ranks = {endpoint.identity: endpoint for endpoint in self._list_ranks()}
            await self._learn_groups(ranks)
            suspected, self._suspected = self._suspected, set()
            await asyncio.gather(
                *(self._poll_group(group, ranks) for group in suspected | self._stalled.keys())
            )
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _learn_groups(self, ranks: dict[str, Endpoint]) -> None:
        now = self._clock()
        for identity in self._groups.keys() - ranks.keys():
            del self._groups[identity]
        self._ungrouped &= ranks.keys()
        self._polled_at = {name: at for name, at in self._polled_at.items() if name in ranks}
        new = [
            endpoint
            for name, endpoint in ranks.items()
            if name not in self._groups
            and now - self._polled_at.get(name, -GROUP_RETRY_S) >= GROUP_RETRY_S
        ]
        self._polled_at.update({endpoint.identity: now for endpoint in new})
        await asyncio.gather(*(self._learn_group(endpoint) for endpoint in new))

    async def _learn_group(self, endpoint: Endpoint) -> None:
        report = await self._client.read_report(endpoint.address)
        if report is None:
            return
        if report.group:
            self._groups[endpoint.identity] = report.group
            self._ungrouped.discard(endpoint.identity)
        elif endpoint.identity not in self._ungrouped:
            self._ungrouped.add(endpoint.identity)
            log_event("rank_without_group", endpoint=endpoint.identity)

    async def _poll_group(self, group: str, ranks: dict[str, Endpoint]) -> None:
        """Read the group's state from some of its ranks; the first usable report decides."""
        members = [endpoint for name, endpoint in ranks.items() if self._groups.get(name) == group]
        if not members:
            self._stalled.pop(group, None)
            return
        turn = int(self._clock() / POLL_INTERVAL_S) % len(members)
        polled = (members[turn:] + members[:turn])[:POLLED_RANKS]
        calls = [asyncio.ensure_future(self._client.read_report(one.address)) for one in polled]
        try:
            for call in asyncio.as_completed(calls):
                report = await call
                if report is not None and report.group == group:
                    self._apply_report(group, report)
                    return
        finally:
            for call in calls:
                call.cancel()

    def _apply_report(self, group: str, report: RankReport) -> None:
        if not report.open:
            self._set_stalled(group, "a rank reports that the group is stalled")
        elif self._clock() - self._stalled.get(group, float("inf")) > STALE_REPORT_S:
            seconds = round(self._clock() - self._stalled.pop(group), 3)
            log_event("group_regained", group=group, epoch=report.epoch, seconds=seconds)
            self._on_change()

    def _set_stalled(self, group: str, reason: str) -> None:
        if group not in self._stalled:
            self._stalled[group] = self._clock()
            log_event("group_lost", group=group, reason=reason)
            self._wake.set()
            self._on_change()
