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

__all__ = ["GroupKeeper", "SwitchAbandoned"]

# Steps between reading a rank's step and holding a later one: all orders of a switch take some
# 15 to 30 ms, and a step 30 to 120 ms.
LEAST_HOLD_AHEAD = 2
# Where an order of this switch or the last one went unanswered, others will: eight ranks need
# three or four tries of 0.05 s each.
UNANSWERED_AHEAD_S = 0.3
# The read step may be older than it looks; each further try is twice as far ahead.
HOLD_TRIES = 5
USUAL_STEP_S = 0.06
REPORT_POLL_S = 0.1
# Beyond the time worked out for the copies, a rank needs a moment to notice that they are there.
COPY_MARGIN_S = 0.06
REFUSED_POLL_S = 0.03
# Copies may be slower than worked out while the link is shared; then the version is given up.
PREPARE_SLACK_S = 2.5


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
    step: int = 0
    step_s: float = USUAL_STEP_S
    choices: tuple[int, ...] = ()
    _last_steps: dict[str, tuple[float, int]] = field(default_factory=dict)
    _last_counts: tuple[int, ...] | None = None
    _unanswered: int = 0
    _calm: bool = True

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

    async def read_choices(self) -> bool:
        """Take the choices of one rank's requests since the last call, and return whether it did."""
        counts = await self.client.read_counts(self._first.address)
        if counts is None:
            return False
        if counts.epoch != self.epoch:
            self.rows = None
            return False
        self._note_step("counts", counts.step)
        last, self._last_counts = self._last_counts, counts.counts
        if last is None or len(last) != len(counts.counts):
            return False
        self.choices = tuple(max(0, now - before) for now, before in zip(counts.counts, last))
        return True

    def forget_choices(self) -> None:
        """Forget the choices of earlier steps, which no later ones may be compared with."""
        self._last_counts, self.choices = None, ()

    async def read_step(self) -> None:
        """Take the group's step, which costs far less than its counts do.

        No switch is under way then, so a hold that is found was carried out late, and is ended.
        """
        report = await self.client.read_report(self._first.address)
        self.forget_choices()
        if report is None:
            return
        if report.epoch != self.epoch or not report.open:
            self.rows = None
            return
        self._note_step("report", report.step)
        if report.held is not None:
            log_event("late_hold_found", group=self.name, held=report.held)
            try:
                await self._release(report.held)
            except SwitchAbandoned as error:
                log_event("late_hold_left", group=self.name, reason=str(error))

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
        began, unanswered, calm = self.clock(), self._unanswered, self._calm
        copy_s = plan.most_copies * profile.copy_s + COPY_MARGIN_S
        until = began + copy_s + PREPARE_SLACK_S
        self._calm = False
        smooth = await self._order_all(Prepare(version, plan.rows), until)
        # A rank that did not answer the first time begins to copy with the order that it answered.
        await asyncio.sleep(copy_s if not smooth else max(0.0, began + copy_s - self.clock()))
        prepared = self.clock()
        await self.read_choices()
        step = await self._hold(0.0 if smooth and calm else UNANSWERED_AHEAD_S)
        await self._order_all(Arm(version, step))
        await self._release(step)
        self._calm = self._unanswered == unanswered
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
        await asyncio.sleep((step - self.step + 1) * self.step_s)
        self.rows, self.version = plan.rows, version

    async def _hold(self, ahead_s: float) -> int:
        """Hold the group before a step that has not begun, and return it.

        Parameters
        ----------
        ahead_s : float
            Time that the orders after it may take before the group has to wait for them.
        """
        step, ahead = self.step, LEAST_HOLD_AHEAD + round(ahead_s / self.step_s)
        for _ in range(HOLD_TRIES):
            step += ahead
            if await self._order(self._first, Hold(step)):
                return step
            report = await self.client.read_report(self._first.address)
            step, ahead = max(step, report.step if report else 0), 2 * ahead
        raise SwitchAbandoned(f"step {step} had begun")

    async def _release(self, step: int) -> None:
        await self._order(self._first, Go(step))

    @property
    def _first(self) -> Endpoint:
        """Rank that is read and that holds the group, whichever daemon is in charge."""
        return self.ranks[min(self.ranks)]

    async def _order_all(self, order: Prepare | Arm, until: float | None = None) -> bool:
        """Give an order to all ranks, and return whether each answered the first time."""
        asked = self._unanswered
        taken = await asyncio.gather(
            *(self._order(rank, order, until) for rank in self.ranks.values())
        )
        if not all(taken):
            raise SwitchAbandoned(f"a rank refused {order.__class__.__name__.lower()}")
        return self._unanswered == asked

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
                    await asyncio.sleep(REFUSED_POLL_S)
                case OrderResult.UNKNOWN:
                    self._unanswered += 1
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

    def _note_step(self, source: str, step: int) -> None:
        """Take a step; those of reports are older than those of counts."""
        now, self.step = self.clock(), step
        if source in self._last_steps:
            seconds, steps = now - self._last_steps[source][0], step - self._last_steps[source][1]
            if steps > 0:
                self.step_s = min(0.5, max(0.005, seconds / steps))
        self._last_steps = {source: (now, step)}
