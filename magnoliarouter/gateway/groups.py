"""Switches the expert map of one group without a step on two maps.

A switch holds the group before a later step, arms every rank for it, and lets the group go on once
each rank has confirmed. Nothing is ever taken back: an order whose answer was lost is given again
until it is confirmed, or until the group forms anew and forgets it. The next daemon in charge
finishes what it finds.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.gateway.ranks import Arm, Go, Hold, Order, OrderResult, Prepare
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.mapplan import MapPlan
    from magnoliarouter.gateway.ranks import RankClient, RankReport, Row
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["GroupMapSwitcher", "SwitchAbandoned"]

# Steps between reading a rank's step and holding a later one: all orders of a switch take some
# 15 to 30 ms, and a step 30 to 120 ms.
MIN_HOLD_AHEAD_STEPS = 2
# Where an order of this switch or the last one went unanswered, others will: eight ranks need
# three or four tries of 0.05 s each.
RETRY_HOLD_AHEAD_S = 0.3
# The read step may be older than it looks; each further try is twice as far ahead.
MAX_HOLD_ATTEMPTS = 5
TYPICAL_STEP_S = 0.06
REPORT_POLL_S = 0.1
# Beyond the time worked out for the copies, a rank needs a moment to notice that they are there.
COPY_MARGIN_S = 0.06
ARM_RETRY_S = 0.03
# Copies may be slower than worked out while the link is shared; then the version is given up.
PREPARE_SLACK_S = 2.5


class SwitchAbandoned(Exception):
    """The switch cannot go on: the group formed anew, or the lease was lost."""


@dataclass(slots=True)
class GroupMapSwitcher:
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
    step: int = 0
    step_s: float = TYPICAL_STEP_S
    choices: tuple[int, ...] = ()
    _last_steps: dict[str, tuple[float, int]] = field(default_factory=dict)
    _last_counts: tuple[int, ...] | None = None
    _unanswered: int = 0
    _last_switch_confirmed: bool = True

    async def read_map(self, profile: ExpertProfile) -> bool:
        """Learn the map in force from the ranks, and return whether all agree on one."""
        held = await asyncio.gather(
            *(self.client.read_experts(rank.address) for rank in self.ranks.values())
        )
        if any(response is None for response in held):
            return False
        if len({(response.epoch, response.version) for response in held}) != 1:
            return False
        holders: list[list[list[int]]] = [
            [[] for _ in range(profile.experts)] for _ in range(profile.sets)
        ]
        for rank, response in zip(self.ranks, held):
            for index, experts in enumerate(response.experts):
                for expert in experts:
                    holders[index][expert].append(rank)
        self.rows = tuple(tuple(tuple(sorted(ranks)) for ranks in row) for row in holders)
        self.epoch, self._last_counts = held[0].epoch, None
        return True

    async def read_choices(self) -> bool:
        """Take the choices of one rank's requests since the last call, and return whether it did."""
        counts = await self.client.read_counts(self._control_rank.address)
        if counts is None:
            return False
        if counts.epoch != self.epoch:
            self.rows = None
            return False
        self._record_step("counts", counts.step)
        last, self._last_counts = self._last_counts, counts.counts
        if last is None or len(last) != len(counts.counts):
            return False
        self.choices = tuple(max(0, now - before) for now, before in zip(counts.counts, last))
        return True

    def reset_choices(self) -> None:
        """Forget the choices of earlier steps, which no later ones may be compared with."""
        self._last_counts, self.choices = None, ()

    async def read_step(self) -> None:
        """Take the group's step, which costs far less than its counts do.

        No switch is under way then, so a hold that is found was carried out late, and is ended.
        """
        report = await self.client.read_report(self._control_rank.address)
        self.reset_choices()
        if report is None:
            return
        if report.epoch != self.epoch or not report.open:
            self.rows = None
            return
        self._record_step("report", report.step)
        if report.held_step is not None:
            log_event("late_hold_found", group=self.name, held=report.held_step)
            try:
                await self._release(report.held_step)
            except SwitchAbandoned as error:
                log_event("late_hold_left", group=self.name, reason=str(error))

    async def recover(self, reports: Iterable[RankReport]) -> bool:
        """Finish a switch that another daemon left behind, and return whether all is well."""
        reports = list(reports)
        held = {report.held_step for report in reports if report.held_step is not None}
        armed = {report.armed_version for report in reports if report.armed_version is not None}
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
        began, unanswered, previous_confirmed = (
            self.clock(),
            self._unanswered,
            self._last_switch_confirmed,
        )
        copy_s = plan.max_copies_per_rank * profile.copy_s + COPY_MARGIN_S
        until = began + copy_s + PREPARE_SLACK_S
        self._last_switch_confirmed = False
        all_confirmed = await self._order_all(Prepare(version, plan.rows), until)
        # A rank that did not answer the first time begins to copy with the order that it answered.
        await asyncio.sleep(
            copy_s if not all_confirmed else max(0.0, began + copy_s - self.clock())
        )
        prepared = self.clock()
        await self.read_choices()
        step = await self._hold(0.0 if all_confirmed and previous_confirmed else RETRY_HOLD_AHEAD_S)
        await self._order_all(Arm(version, step))
        await self._release(step)
        self._last_switch_confirmed = self._unanswered == unanswered
        log_event(
            "map_switched",
            group=self.name,
            version=version,
            step=step,
            copies=plan.copies,
            skew_before=round(plan.skew_before, 2),
            skew_after=round(plan.skew_after, 2),
            prepare_s=round(prepared - began, 3),
            switch_s=round(self.clock() - prepared, 3),
        )
        # A rank that is still armed takes no further version.
        await asyncio.sleep((step - self.step + 1) * self.step_s)
        self.rows, self.version = plan.rows, version

    async def _hold(self, ahead_s: float) -> int:
        """Hold the group before a step that has not begun, and return it.

        Parameters
        ----------
        ahead_s : float
            Time that the orders after it may take before the group has to wait for them.
        """
        step, ahead = self.step, MIN_HOLD_AHEAD_STEPS + round(ahead_s / self.step_s)
        for _ in range(MAX_HOLD_ATTEMPTS):
            step += ahead
            if await self._order(self._control_rank, Hold(step)):
                return step
            report = await self.client.read_report(self._control_rank.address)
            step, ahead = max(step, report.step if report else 0), 2 * ahead
        raise SwitchAbandoned(f"step {step} had begun")

    async def _release(self, step: int) -> None:
        await self._order(self._control_rank, Go(step))

    @property
    def _control_rank(self) -> Endpoint:
        """Rank that is read and that holds the group, whichever daemon is in charge."""
        return self.ranks[min(self.ranks)]

    async def _order_all(self, order: Prepare | Arm, until: float | None = None) -> bool:
        """Give an order to all ranks, and return whether each answered the first time."""
        unanswered_before = self._unanswered
        accepted = await asyncio.gather(
            *(self._order(rank, order, until) for rank in self.ranks.values())
        )
        if not all(accepted):
            raise SwitchAbandoned(f"a rank refused {order.__class__.__name__.lower()}")
        return self._unanswered == unanswered_before

    async def _order(self, rank: Endpoint, order: Order, until: float | None = None) -> bool:
        """Give an order until it is answered, and return whether it was taken.

        Arms come only after a hold is confirmed, so a rank that refuses one is still copying.
        """
        while True:
            fence = self.fence()
            if fence is None:
                raise SwitchAbandoned("the lease was lost")
            result = await self.client.send(rank.address, order, self.epoch, fence, len(self.ranks))
            match result:
                case OrderResult.TAKEN:
                    return True
                case OrderResult.REFUSED if not isinstance(order, Arm):
                    return False
                case OrderResult.FENCED:
                    raise SwitchAbandoned("another daemon is in charge")
                case OrderResult.REFUSED:
                    await asyncio.sleep(ARM_RETRY_S)
                case OrderResult.UNKNOWN:
                    self._unanswered += 1
            if until is not None and self.clock() > until:
                raise SwitchAbandoned(f"rank {rank.identity} does not answer")
            await self._check_epoch(rank)

    async def _check_epoch(self, rank: Endpoint) -> None:
        """End the switch if the group formed anew while an order got no answer."""
        report = await self.client.read_report(rank.address)
        if report is None:
            await asyncio.sleep(REPORT_POLL_S)
        elif report.epoch != self.epoch or not report.open:
            self.rows = None
            raise SwitchAbandoned("the group formed anew")

    def _record_step(self, source: str, step: int) -> None:
        """Take a step; those of reports are older than those of counts."""
        now, self.step = self.clock(), step
        if source in self._last_steps:
            seconds, steps = now - self._last_steps[source][0], step - self._last_steps[source][1]
            if steps > 0:
                self.step_s = min(0.5, max(0.005, seconds / steps))
        self._last_steps = {source: (now, step)}
