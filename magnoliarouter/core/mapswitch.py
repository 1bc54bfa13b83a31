"""Rank's side of the switch of a group's expert map, as a state machine.

Every rank responds to each order of a controller, and to each greeting of another rank, with a
`Report` of its whole state. Orders are idempotent; they may be lost, repeated and reordered. The
controller's side is `core.mapcontrol`; docs/design/expert-map.md argues why a switch is safe.

A map version is in force from its activation step on once its commit is *stable*: stored in the
platform's record, or recorded by every rank. A rank passes the activation step that it has
confirmed only after a stable commit.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from magnoliarouter.core.mapmessages import (
    NO_STEP,
    Abort,
    Arm,
    Commit,
    Form,
    Greeting,
    Order,
    Pending,
    Propose,
    Report,
    Schedule,
)

__all__ = [
    "Grant",
    "RankState",
    "Wait",
    "apply_greeting_response",
    "apply_order",
    "apply_record",
    "create_report",
    "grant_step",
    "list_missing_versions",
    "mark_loaded",
    "record_greeting",
]


@dataclass(frozen=True, slots=True)
class RankState:
    """State of one rank; fields as in `Report`.

    Parameters
    ----------
    known_incarnations : frozenset of str
        Every incarnation of another rank that was ever received, so that a delayed greeting of an
        earlier incarnation is ignored.
    greeting_responses : tuple of (int, Report)
        Responses to the greetings of a rank that has not joined yet, by responding rank.
    """

    rank: int
    size: int
    incarnation: str
    joined: bool = False
    seen: tuple[str, ...] = ()
    known_incarnations: frozenset[str] = frozenset()
    epoch: int = 0
    granted: int = NO_STEP
    begun: int = NO_STEP
    schedule: Schedule = Schedule(0)
    closed: int = 0
    pending: Pending | None = None
    loaded: frozenset[int] = frozenset()
    generation: tuple[str, ...] = ()
    greeting_responses: tuple[tuple[int, Report], ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """The rank may begin the step with this map version."""

    version: int


@dataclass(frozen=True, slots=True)
class Wait:
    """The rank may not begin the step yet.

    Parameters
    ----------
    reason : {"joining", "undecided", "loading", "unknown"}
        What is missing, respectively: the group's state, the decision on a version in flight,
        experts that are still being fetched, or the version in force at a past step.
    """

    reason: str


def create_report(state: RankState) -> Report:
    """Return the report of a rank."""
    return Report(
        rank=state.rank,
        incarnation=state.incarnation,
        joined=state.joined,
        seen=_list_seen(state),
        epoch=state.epoch,
        granted=state.granted,
        begun=state.begun,
        schedule=state.schedule,
        closed=state.closed,
        pending=state.pending,
        loaded=tuple(sorted(state.loaded)),
        generation=state.generation,
    )


def apply_order(state: RankState, order: Order) -> RankState:
    """Apply an order unless its epoch is older than that of an order applied earlier.

    A stable commit is applied whatever its epoch, since it can no longer change. A rank that has
    not joined applies only `Form`. `Reset` is left to the caller, because a new incarnation can't
    be created here.
    """
    if isinstance(order, Form):
        return _form(state, order)
    if not state.joined:
        return state
    if isinstance(order, Commit) and order.stable:
        return _apply_stable_commit(state, order.schedule)
    if order.epoch < state.epoch:
        return state
    state = replace(state, epoch=order.epoch)
    match order:
        case Propose(version=version):
            return _propose(state, version)
        case Arm(version=version, step=step):
            return _arm(state, version, step)
        case Commit(schedule=schedule):
            return _apply_commit_choice(state, schedule)
        case Abort(version=version, base=base) if base == state.schedule.version:
            return _close(state, version)
    return state


def grant_step(state: RankState, step: int) -> tuple[RankState, Grant | Wait]:
    """Decide whether the rank may begin a step, and with which map version.

    Parameters
    ----------
    state : RankState
        State of the rank.
    step : int
        Step that the other ranks of the group wait for.
    """
    if not state.joined:
        return state, Wait("joining")
    pending = state.pending
    if pending is not None and NO_STEP < pending.armed <= step:
        return state, Wait("undecided")
    version = state.schedule.version_at(step)
    if not version:
        return state, Wait("unknown")
    if version not in state.loaded:
        return state, Wait("loading")
    granted, begun = max(state.granted, step), max(state.begun, step)
    return replace(state, granted=granted, begun=begun), Grant(version)


def list_missing_versions(state: RankState, step: int) -> list[int]:
    """Return the versions that the rank has to load, the one in force at a step first."""
    pending = state.pending.version if state.pending else 0
    wanted = (state.schedule.version_at(step), state.schedule.version, pending)
    missing = [version for version in wanted if version and version not in state.loaded]
    return list(dict.fromkeys(missing))


def mark_loaded(state: RankState, version: int) -> RankState:
    """Record that the rank holds all experts of a version, and remove versions out of use."""
    schedule, pending = state.schedule, state.pending
    versions_in_use = {
        schedule.version,
        schedule.previous,
        pending.version if pending else 0,
        version,
    }
    return replace(state, loaded=(state.loaded & versions_in_use) | {version})


def record_greeting(state: RankState, greeting: Greeting) -> RankState:
    """Record the incarnation of a rank that sent a greeting.

    The response to the greeting is `create_report` of the state returned.
    """
    if greeting.incarnation in state.known_incarnations or greeting.rank == state.rank:
        return state
    seen = list(_list_seen(state))
    seen[greeting.rank] = greeting.incarnation
    return replace(
        state,
        seen=tuple(seen),
        known_incarnations=state.known_incarnations | {greeting.incarnation},
    )


def apply_greeting_response(state: RankState, report: Report) -> RankState:
    """Apply another rank's response to a greeting.

    A joined rank applies the decisions in it. A rank that has not joined collects a response from
    every other rank and joins if at least one of them has joined, and all of these name the same
    generation.
    """
    state = record_greeting(state, Greeting(report.rank, report.incarnation))
    if state.joined:
        return _apply_decisions(state, report) if report.joined else state
    greeting_responses = dict(state.greeting_responses)
    greeting_responses[report.rank] = report
    state = replace(state, greeting_responses=tuple(sorted(greeting_responses.items())))
    joined_reports = [response for response in greeting_responses.values() if response.joined]
    if (
        len(greeting_responses) < state.size - 1
        or len({response.generation for response in joined_reports}) != 1
    ):
        return state
    return _join(state, joined_reports)


def apply_record(state: RankState, schedule: Schedule, proposed: int, in_flight: int) -> RankState:
    """Apply the platform's record if it decides the version in flight.

    Parameters
    ----------
    state : RankState
        State of the rank.
    schedule, proposed, in_flight
        Fields of the record; see `core.mapstate.MapRecord`. A stale record is harmless: it
        decides nothing about a version proposed after it.
    """
    pending = state.pending
    if not state.joined or pending is None or proposed < pending.version:
        return state
    if schedule.version == pending.version:
        return _apply_stable_commit(state, schedule)
    if pending.known:
        # The commit may have become stable by the ranks' own records, without the platform's.
        return state
    if schedule.version == state.schedule.version and in_flight != pending.version:
        return _close(state, pending.version)
    return state


def _list_seen(state: RankState) -> tuple[str, ...]:
    seen = list(state.seen or ("",) * state.size)
    seen[state.rank] = state.incarnation
    return tuple(seen)


def _form(state: RankState, order: Form) -> RankState:
    own_incarnation = order.incarnations[state.rank]
    if own_incarnation != state.incarnation or order.epoch < state.epoch:
        return state
    if state.joined and state.generation == order.incarnations:
        return state
    return replace(
        state,
        joined=True,
        seen=order.incarnations,
        known_incarnations=state.known_incarnations | set(order.incarnations),
        epoch=order.epoch,
        schedule=order.schedule,
        begun=NO_STEP,
        closed=order.closed,
        pending=None,
        generation=order.incarnations,
        greeting_responses=(),
    )


def _propose(state: RankState, version: int) -> RankState:
    pending = state.pending
    if version <= state.closed:
        return state
    if pending is not None and (version <= pending.version or pending.armed > NO_STEP):
        return state
    return replace(state, pending=Pending(version))


def _arm(state: RankState, version: int, step: int) -> RankState:
    pending = state.pending
    if pending is None or pending.version != version or version not in state.loaded:
        return state
    if step <= state.granted or step < pending.armed or pending.known:
        return state
    return replace(state, pending=Pending(version, step))


def _apply_commit_choice(state: RankState, schedule: Schedule) -> RankState:
    if schedule.version <= state.closed:
        return state
    pending = Pending(schedule.version, schedule.since, known=True)
    return replace(state, pending=pending)


def _apply_stable_commit(state: RankState, schedule: Schedule) -> RankState:
    if schedule.version <= state.closed:
        return state
    return _close(replace(state, schedule=schedule), schedule.version)


def _close(state: RankState, version: int) -> RankState:
    pending = state.pending
    if pending is not None and pending.version <= version:
        pending = None
    return replace(state, pending=pending, closed=max(state.closed, version))


def _apply_decisions(state: RankState, report: Report) -> RankState:
    if report.generation != state.generation:
        return state
    state = _apply_stable_commit(state, report.schedule)
    pending = state.pending
    if pending is not None and pending.version <= report.closed:
        return _close(state, report.closed)
    return state


def _join(state: RankState, joined_reports: list[Report]) -> RankState:
    newest = max(joined_reports, key=lambda report: report.schedule.version)
    closed = max(report.closed for report in joined_reports)
    pending_versions = [report.pending for report in joined_reports if report.pending]
    return replace(
        state,
        joined=True,
        greeting_responses=(),
        epoch=max(report.epoch for report in joined_reports),
        # Before its restart, the rank may have been one step ahead of all other ranks.
        granted=max(report.granted for report in joined_reports) + 1,
        begun=max(report.begun for report in joined_reports),
        schedule=newest.schedule,
        closed=closed,
        generation=newest.generation,
        pending=_merge_pending(
            [pending for pending in pending_versions if pending.version > closed]
        ),
    )


def _merge_pending(candidates: list[Pending]) -> Pending | None:
    if not candidates:
        return None
    version = max(pending.version for pending in candidates)
    same = [pending for pending in candidates if pending.version == version]
    chosen = next((pending for pending in same if pending.known), None)
    if chosen is not None:
        return chosen
    steps = [pending.armed for pending in same if pending.armed > NO_STEP]
    return Pending(version, min(steps, default=NO_STEP))
