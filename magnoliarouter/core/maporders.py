"""Orders that a controller of a group's expert map sends in each phase."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliarouter.core.mapmessages import (
    Abort,
    Arm,
    Commit,
    Form,
    Order,
    Propose,
    Query,
    Reset,
)
from magnoliarouter.core.mapstate import Phase, Send, has_pending, ranks_agree

if TYPE_CHECKING:
    from magnoliarouter.core.mapmessages import Report
    from magnoliarouter.core.mapstate import ControllerState, Effect

__all__ = ["list_orders", "list_resets"]


def list_resets(state: ControllerState) -> list[Effect]:
    """Return orders that reset the ranks whose state contradicts that of other ranks.

    Ranks contradict each other if they were formed in different generations, or if one has seen
    another incarnation of a rank than the one that the rank reports.
    """
    reports = state.known_reports
    if len(reports) < state.size:
        return []
    joined = [report for report in reports if report.joined]
    mixed = len({report.generation for report in joined}) > 1
    if len(joined) < state.size and not mixed:
        return []
    return [
        Send(report.rank, Reset(state.epoch, report.incarnation))
        for report in joined
        if mixed or any(other.seen[report.rank] != report.incarnation for other in joined)
    ]


def list_orders(state: ControllerState) -> list[Effect]:
    """Return the orders to send or to repeat in the current phase."""
    if state.phase is Phase.IDLE and ranks_agree(state):
        # The report of one rank reveals every restart: a restarted rank greets all other ranks,
        # and rank 0 reports its own.
        return [Send(0, Query(state.epoch))]
    orders = [
        (rank, _choose_order(state, rank, report)) for rank, report in enumerate(state.reports)
    ]
    return [Send(rank, order) for rank, order in orders if order is not None]


def _choose_order(state: ControllerState, rank: int, report: Report | None) -> Order | None:
    epoch, target = state.epoch, state.target
    match state.phase:
        case Phase.QUERY | Phase.IDLE:
            return Query(epoch)
        case Phase.FORM:
            return _choose_form_order(state, rank)
        case Phase.PREPARE:
            if report is not None and has_pending(report, target.version):
                return Query(epoch)
            return Propose(epoch, target.version, _choose_map_text(state, rank, target.version))
        case Phase.ARM:
            return Arm(epoch, target.version, target.since)
        case Phase.CONFIRM:
            return Commit(epoch, target, stable=False)
        case Phase.SPREAD:
            return _choose_spread_order(state, report)
    return None


def _choose_map_text(state: ControllerState, rank: int, version: int) -> str:
    """Return the encoded map for rank 0, otherwise an empty text.

    The other ranks get the map from each other, to reduce what the controller sends.
    """
    return state.record.text_of(version) if rank == 0 else ""


def _choose_form_order(state: ControllerState, rank: int) -> Order:
    schedule = state.record.schedule
    text = _choose_map_text(state, rank, schedule.version)
    return Form(state.epoch, state.incarnations, schedule, state.record.proposed, text)


def _choose_spread_order(state: ControllerState, report: Report | None) -> Order | None:
    if report is None or not report.joined:
        return Query(state.epoch)
    current = state.current
    if report.schedule.version < current.version:
        return Commit(state.epoch, current, stable=True)
    if report.closed < state.close_up_to:
        return Abort(state.epoch, state.close_up_to, current.version)
    return None if ranks_agree(state) else Query(state.epoch)
