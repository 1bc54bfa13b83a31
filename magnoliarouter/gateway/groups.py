"""Switches the expert map of one group so that no step runs with two maps.

The expert map assigns each expert of a model to ranks of the group. A switch has four orders:
prepare (every rank fetches its new experts), hold (the group stops before a later step), arm (every
rank is set to switch at that step) and go (the group continues, once every rank has confirmed).
An order whose response was lost is sent again until it is confirmed, or until the group forms again
with a new epoch and drops it; a copy of it may be executed seconds later. The next map leader, the
daemon that holds the map lease, ends an unfinished switch. Before that, each rank has confirmed its
fencing number, so that it refuses what is left of the former leader's orders (`take_over`).

These ranks are engines of the users' platform (`platform.ranks`). Ranks that run the product's own
agent (`endpoints.group`) switch by another protocol, whose controller is `core.mapcontrol`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.gateway.choices import ChoiceWindow
from magnoliarouter.gateway.ranks import Arm, Disarm, Fence, Go, Hold, Order, OrderResult, Prepare
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.mapplan import MapPlan
    from magnoliarouter.gateway.ranks import RankClient, RankReport, Row
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["GroupMapSwitcher", "SwitchAbandoned"]

# Steps between the step read from a rank and the step to hold. All orders of a switch together take
# 15 to 30 ms, and a step takes 30 to 120 ms.
MIN_HOLD_AHEAD_STEPS = 2
# Extra time before the held step if an order of this switch or the last one got no response, because
# further orders are then likely to need repeats too: eight ranks need three or four attempts of
# 0.05 s each.
RETRY_HOLD_AHEAD_S = 0.3
# The step read from a rank may be outdated, so each further attempt looks twice as far ahead.
MAX_HOLD_ATTEMPTS = 5
TYPICAL_STEP_S = 0.06
# Counts are read from one of this many ranks. The content of the few prompts that one rank processes
# between two reads differs from that of all, and what an uneven map costs grows with the group.
RANKS_PER_SAMPLE = 16
REPORT_POLL_S = 0.1
# Added to the calculated copy time, because a rank detects finished copies with a short delay.
COPY_MARGIN_S = 0.06
ARM_RETRY_S = 0.03
# Time in which a rank responds to a prepare order, at first and at the least: all ranks receive their
# orders over one link, and a repeated order delays those that still wait for theirs.
FIRST_PREPARE_TIMEOUT_S = 0.5
MIN_PREPARE_TIMEOUT_S = 0.1
# Multiple of the time in which three of four responses came after which an order counts as lost.
LOST_AFTER_TIMES = 2.0
# A rank that does not confirm an order for this long may hold the group, and callers give their
# streams up after a gap of two seconds. Another map leader may be able to reach it.
CONFIRM_TIMEOUT_S = 2.0
# A report read this much later than the state that it shows has to be at least as new.
REPORT_MARGIN_S = 0.05
# Copies are slower than calculated while the link is shared. The switch is abandoned if the ranks
# have not responded to the prepare order this long after the calculated copy time.
PREPARE_SLACK_S = 2.5


class SwitchAbandoned(Exception):
    """The switch cannot continue: a new epoch, a lost lease, a refusal or no response."""


@dataclass(slots=True)
class GroupMapSwitcher:
    """Reads and switches the expert map of one group.

    Parameters
    ----------
    name : str
        Name of the group.
    ranks : dict of int to Endpoint
        Endpoint of each rank.
    client : RankClient
        Calls to ranks.
    fencing_number : callable
        Returns the fencing number while this daemon holds the map lease, else None. Orders are sent
        under the number of the start only: under a later one the group is discovered anew, since
        another leader may have acted in between.
    clock : callable
        Loop time in seconds.
    resign : callable
        Called with the reason when this daemon cannot act as the group's map leader: a rank does not
        confirm its orders, or has seen a higher fencing number.
    report_lag_s : float
        Age in seconds of the state that a rank reports.
    highest_step : int
        Highest step that was held or released under this lease. No later switch holds a step up to
        it, so that a late copy of an order to release it releases no other switch.
    """

    name: str
    ranks: dict[int, Endpoint]
    client: RankClient
    fencing_number: Callable[[], int | None]
    clock: Callable[[], float]
    resign: Callable[[str], None] = lambda reason: None
    report_lag_s: float = 0.0
    highest_step: int = 0
    rows: tuple[Row, ...] | None = None
    epoch: int = 0
    version: int = 0
    step: int = 0
    step_s: float = TYPICAL_STEP_S
    choices: ChoiceWindow = field(default_factory=lambda: ChoiceWindow(1, 1))
    _last_steps: dict[str, tuple[float, int]] = field(default_factory=dict)
    _last_counts: dict[str, tuple[int, ...]] = field(default_factory=dict)
    _counted_at: float = 0.0
    _lost_responses: int = 0
    _last_switch_confirmed: bool = True
    _prepare_timeout_s: float = FIRST_PREPARE_TIMEOUT_S
    _first_responses_s: list[float] = field(default_factory=list)
    _lease: int | None = None

    def __post_init__(self) -> None:
        self._lease = self.fencing_number()

    async def read_map(self, profile: ExpertProfile) -> bool:
        """Read the current map from the ranks, and return whether all ranks agree on it."""
        responses = await asyncio.gather(
            *(self.client.read_experts(rank.address) for rank in self.ranks.values())
        )
        if any(response is None for response in responses):
            return False
        if len({(response.epoch, response.version) for response in responses}) != 1:
            return False
        holders: list[list[list[int]]] = [
            [[] for _ in range(profile.experts)] for _ in range(profile.sets)
        ]
        for rank, response in zip(self.ranks, responses):
            for index, experts in enumerate(response.experts):
                for expert in experts:
                    holders[index][expert].append(rank)
        self.rows = tuple(tuple(tuple(sorted(ranks)) for ranks in row) for row in holders)
        self.epoch, self.version = responses[0].epoch, responses[0].version
        self._last_counts, self.choices = {}, ChoiceWindow(profile.sets, len(self.ranks))
        return True

    async def read_recent_counts(self) -> bool:
        """Read how often the requests of some ranks chose each expert, and add that to `choices`.

        Returns False if no rank responded, the group formed again, or there are no earlier counts
        to compare with.
        """
        sampled = self._list_sampled_ranks()
        reads = await asyncio.gather(*(self.client.read_counts(rank.address) for rank in sampled))
        now = self.clock()
        elapsed_s, self._counted_at = now - self._counted_at, now
        recent: list[int] = []
        for rank, counts in zip(sampled, reads):
            last = self._last_counts.pop(rank.identity, None)
            if counts is None:
                continue
            if counts.epoch != self.epoch:
                self.rows = None
                return False
            if len(counts.counts) != sum(map(len, self.rows or ())):
                log_event("counts_malformed", group=self.name, length=len(counts.counts))
                continue
            if rank is self._control_rank:
                self._record_step("counts", counts.step)
            self._last_counts[rank.identity] = counts.counts
            if last is not None:
                added = [max(0, count - before) for count, before in zip(counts.counts, last)]
                recent = [one + two for one, two in zip(recent, added)] if recent else added
        if recent:
            self.choices.add(recent, elapsed_s)
        return bool(recent)

    def reset_counts(self) -> None:
        """Drop the counts of earlier steps, so that later counts start a new series."""
        self._last_counts = {}
        self.choices.clear()

    async def read_step(self) -> None:
        """Read the group's step, and end a hold that was executed late.

        Reading the step costs far less than reading the counts. No switch of this daemon is in
        progress at this point. A rank may be armed for the held step all the same, by an order that
        was executed late as well, so the hold ends as that of an unfinished switch does.
        """
        report = await self.client.read_report(self._control_rank.address)
        if report is None:
            return
        if report.epoch != self.epoch or not report.open:
            self.rows = None
            return
        self._record_step("report", report.step)
        if report.held_step is not None:
            log_event("late_hold_found", group=self.name, held=report.held_step)
            try:
                await self.recover(await self.read_current_reports())
                self.rows = None
            except SwitchAbandoned as error:
                log_event("late_hold_left", group=self.name, reason=str(error))

    async def read_reports(self) -> list[RankReport | None]:
        """Return the reports of all ranks in the order of `ranks`; None for those not read."""
        return await asyncio.gather(
            *(self.client.read_report(rank.address) for rank in self.ranks.values())
        )

    async def take_over(self) -> list[RankReport]:
        """Make ranks refuse orders of former map leaders, and return reports of the time after.

        Raises
        ------
        SwitchAbandoned
            A rank did not confirm the order, or could not be read.
        """
        await self._order_all(Fence())
        return await self.read_current_reports()

    async def read_current_reports(self) -> list[RankReport]:
        """Return reports that show all orders confirmed before the call.

        Raises
        ------
        SwitchAbandoned
            A rank could not be read, or the group does not work in the known epoch.
        """
        await asyncio.sleep(self.report_lag_s + REPORT_MARGIN_S)
        return self._check_reports(await self.read_reports())

    def _check_reports(self, reports: list[RankReport | None]) -> list[RankReport]:
        """Return the reports if each rank gave one and works in the known epoch."""
        read = [report for report in reports if report is not None]
        if len(read) < len(reports):
            raise SwitchAbandoned("a rank's report could not be read")
        if any(report.epoch != self.epoch or not report.open for report in read):
            raise SwitchAbandoned("the group formed again with a new epoch")
        return read

    async def recover(self, reports: list[RankReport]) -> bool:
        """End an unfinished switch; return False if ranks stay armed.

        Call it after `take_over`, with reports that show what this daemon ordered. It released no
        step before all ranks had confirmed that they are armed for it.
        """
        held = {
            rank: report.held_step
            for rank, report in zip(self.ranks.values(), reports)
            if report.held_step is not None
        }
        armed = {
            (report.armed_version, report.armed_step)
            for report in reports
            if report.armed_version is not None
        }
        if not held and not armed:
            return True
        log_event(
            "map_switch_found",
            group=self.name,
            held=sorted(held.values()),
            armed=sorted({version for version, _ in armed}),
        )
        if not held:
            # Ranks that were all armed switch on their own when the step starts.
            return False
        self.highest_step = max(self.highest_step, *held.values())
        await self._complete_or_disarm(max(held.values()), armed, reports)
        for rank, step in held.items():
            await self._order(rank, Go(step))
        return True

    async def _complete_or_disarm(
        self, step: int, armed: set[tuple[int, int | None]], reports: list[RankReport]
    ) -> None:
        """Arm all ranks for the version that some are armed for, or none if that is impossible."""
        unarmed = [report for report in reports if report.armed_version is None]
        if len(armed) < 2 and not unarmed:
            return
        if len(armed) == 1:
            version, armed_step = next(iter(armed))
            if armed_step in (None, step) and all(
                report.prepared_version == version for report in unarmed
            ):
                await self._order_all(Arm(version, step))
                return
        if any(armed_step is not None and armed_step < step for _, armed_step in armed):
            raise SwitchAbandoned("ranks are armed for a step that may have started")
        for rank, report in zip(self.ranks.values(), reports):
            if report.armed_version is not None and not await self._order(
                rank, Disarm(report.armed_version)
            ):
                raise SwitchAbandoned(f"rank {rank.identity} refused to be disarmed")

    async def switch(self, plan: MapPlan, version: int, profile: ExpertProfile) -> None:
        """Switch the group to a planned map.

        Raises
        ------
        SwitchAbandoned
            The current map stays, or the group formed again.
        """
        began, lost_responses, previous_confirmed = (
            self.clock(),
            self._lost_responses,
            self._last_switch_confirmed,
        )
        copy_s = plan.max_copies_per_rank * profile.copy_s + COPY_MARGIN_S
        until = began + copy_s + PREPARE_SLACK_S
        self._last_switch_confirmed = False
        all_confirmed = await self._order_all(Prepare(version, plan.rows), until)
        # A rank whose first order was lost starts to copy only when a repeated order reaches it.
        await asyncio.sleep(
            copy_s if not all_confirmed else max(0.0, began + copy_s - self.clock())
        )
        prepared = self.clock()
        await self.read_recent_counts()
        step = await self._hold(0.0 if all_confirmed and previous_confirmed else RETRY_HOLD_AHEAD_S)
        await self._order_all(Arm(version, step))
        await self._release(step)
        self._last_switch_confirmed = self._lost_responses == lost_responses
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
        # A rank that is still armed refuses further versions.
        await asyncio.sleep((step - self.step + 1) * self.step_s)
        self.rows, self.version = plan.rows, version

    async def _hold(self, ahead_s: float) -> int:
        """Hold the group before a step that has not started, and return that step.

        Parameters
        ----------
        ahead_s : float
            Time in seconds for the orders that follow before the group has to wait for them.
        """
        ahead = MIN_HOLD_AHEAD_STEPS + round(ahead_s / self.step_s)
        step = max(self.step, self.highest_step - ahead + 1)
        for _ in range(MAX_HOLD_ATTEMPTS):
            step += ahead
            self.highest_step = step
            if await self._order(self._control_rank, Hold(step)):
                return step
            report = await self.client.read_report(self._control_rank.address)
            step, ahead = max(step, report.step if report else 0), 2 * ahead
        raise SwitchAbandoned(f"step {step} had already started")

    async def _release(self, step: int) -> None:
        await self._order(self._control_rank, Go(step))

    @property
    def _control_rank(self) -> Endpoint:
        """Rank that is read and that holds the group; the same one for every map leader."""
        return self.ranks[min(self.ranks)]

    def _list_sampled_ranks(self) -> list[Endpoint]:
        """Return the ranks whose counts are read, the control rank first."""
        ranks = [self.ranks[number] for number in sorted(self.ranks)]
        return ranks[::RANKS_PER_SAMPLE]

    async def _order_all(self, order: Prepare | Arm | Fence, until: float | None = None) -> bool:
        """Send an order to all ranks, and return whether each responded at the first attempt."""
        lost_before = self._lost_responses
        self._first_responses_s.clear()
        accepted = await asyncio.gather(
            *(self._order(rank, order, until) for rank in self.ranks.values())
        )
        if isinstance(order, Prepare) and self._first_responses_s:
            # Ranks whose order was lost do not count, or the time would grow with each loss.
            usual = sorted(self._first_responses_s)[len(self._first_responses_s) * 3 // 4]
            self._prepare_timeout_s = max(MIN_PREPARE_TIMEOUT_S, LOST_AFTER_TIMES * usual)
        if not all(accepted) and not isinstance(order, Fence):
            raise SwitchAbandoned(f"a rank refused {order.__class__.__name__.lower()}")
        return self._lost_responses == lost_before

    async def _order(self, rank: Endpoint, order: Order, until: float | None = None) -> bool:
        """Send an order until it gets a response, and return whether it was accepted.

        A rank is armed only after the hold is confirmed, so a rank that refuses to arm is still
        copying and the order is repeated. Without `until`, the group may stand still until the rank
        confirms, so this daemon resigns after `CONFIRM_TIMEOUT_S`.
        """
        began, first = self.clock(), True
        while True:
            fencing_number = self.fencing_number()
            if fencing_number is None or fencing_number != self._lease:
                raise SwitchAbandoned("the map lease was lost")
            result = await self.client.send(
                rank.address,
                order,
                self.epoch,
                fencing_number,
                len(self.ranks),
                self._prepare_timeout_s if isinstance(order, Prepare) else None,
            )
            if first and result is not OrderResult.UNKNOWN:
                self._first_responses_s.append(self.clock() - began)
            first = False
            match result:
                case OrderResult.TAKEN:
                    return True
                case OrderResult.REFUSED if not isinstance(order, Arm):
                    return False
                case OrderResult.FENCED:
                    self.resign(f"rank {rank.identity} has seen a higher fencing number")
                    raise SwitchAbandoned("another daemon holds the map lease")
                case OrderResult.REFUSED:
                    await asyncio.sleep(ARM_RETRY_S)
                case OrderResult.UNKNOWN:
                    self._lost_responses += 1
            await self._check_epoch(rank)
            if self.clock() > (began + CONFIRM_TIMEOUT_S if until is None else until):
                reason = f"rank {rank.identity} does not confirm {type(order).__name__.lower()}"
                if until is None:
                    self.resign(reason)
                raise SwitchAbandoned(reason)

    async def _check_epoch(self, rank: Endpoint) -> None:
        """Abandon the switch if the group has formed again since the order was sent."""
        report = await self.client.read_report(rank.address)
        if report is None:
            await asyncio.sleep(REPORT_POLL_S)
            # The others know whether the group lost this rank.
            other = next((one for one in self.ranks.values() if one is not rank), rank)
            report = await self.client.read_report(other.address)
        if report is not None and (report.epoch != self.epoch or not report.open):
            self.rows = None
            raise SwitchAbandoned("the group formed again with a new epoch")

    def _record_step(self, source: str, step: int) -> None:
        """Record the group's step and estimate the step length.

        Only steps of the same source are compared, because reports are older than counts.
        """
        now, self.step = self.clock(), step
        if source in self._last_steps:
            seconds, steps = now - self._last_steps[source][0], step - self._last_steps[source][1]
            if steps > 0:
                self.step_s = min(0.5, max(0.005, seconds / steps))
        self._last_steps = {source: (now, step)}
