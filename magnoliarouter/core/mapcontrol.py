"""Controller of a group's expert map, as a state machine.

The controller claims the map record in the platform under a new epoch, queries the state of every
rank, resolves a switch that an earlier controller left in flight, and then carries out one switch
after another:

    claim -> query -> (form) -> spread -> (settle) -> idle
    idle -> propose -> prepare -> arm -> commit -> spread -> (settle) -> idle

If the commit's write fails or its outcome is unknown, the ranks record the commit instead
(`CONFIRM`). Once every rank has recorded it, the commit is as stable as one in the platform's
record. The controller enters `STOPPED` when another controller has taken over or when the record
has to be read again; a new controller then starts from the record.

`core.mapstate` defines the state and its phases, `core.maporders` the orders to the ranks, and
`core.mapswitch` the ranks' side.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TypeAlias

import msgspec

from magnoliarouter.core.mapmessages import NO_STEP, Report, Schedule
from magnoliarouter.core.maporders import list_orders, list_resets
from magnoliarouter.core.mapstate import (
    ControllerState,
    Effect,
    MapRecord,
    Phase,
    Store,
    StoreOutcome,
    SwitchSettings,
    activation_step_begun,
    all_know_commit,
    all_prepared,
    all_restarted,
    has_pending,
    ranks_agree,
)

__all__ = [
    "receive_outcome",
    "receive_report",
    "start_controller",
    "start_switch",
    "tick",
]

FORMING_PHASES = (Phase.QUERY, Phase.FORM_WRITE, Phase.FORM)


Transition: TypeAlias = tuple[ControllerState, list[Effect]]


def start_controller(
    size: int,
    record: MapRecord,
    record_version: int,
    now: float,
    settings: SwitchSettings | None = None,
) -> Transition:
    """Return a controller that claims the map record, with the write that claims it.

    Parameters
    ----------
    size : int
        Number of ranks in the group.
    record, record_version
        Record as read from the platform, and its version there.
    now : float
        Loop time in seconds.
    settings : SwitchSettings, optional
        Time limits and step margin.
    """
    claimed = msgspec.structs.replace(record, epoch=record.epoch + 1)
    state = ControllerState(
        size=size,
        record=claimed,
        record_version=record_version,
        phase=Phase.CLAIM,
        phase_since=now,
        reports=(None,) * size,
        current=record.schedule,
        close_up_to=record.proposed,
        settings=settings or SwitchSettings(),
    )
    return state, [Store(claimed, record_version)]


def start_switch(state: ControllerState, text: str, now: float) -> Transition:
    """Propose the encoded map `text`; does nothing unless the controller is idle."""
    if state.phase is not Phase.IDLE:
        return state, []
    version = state.record.proposed + 1
    texts = ((state.current.version, state.record.text_of(state.current.version)), (version, text))
    record = msgspec.structs.replace(state.record, proposed=version, in_flight=version, texts=texts)
    state = replace(
        state, target=Schedule(version, NO_STEP, state.current.version), close_up_to=version
    )
    return _store(state, Phase.PROPOSE_WRITE, record, now)


def receive_outcome(
    state: ControllerState, outcome: StoreOutcome, version: int, now: float
) -> Transition:
    """Apply the outcome of the latest `Store`; `version` is the record's new version.

    A commit whose write failed, or has an unknown outcome, can still become stable in the ranks;
    after a conflict it can't, because another controller has written the record.
    """
    if outcome is StoreOutcome.WRITTEN:
        return _continue_written(replace(state, record_version=version), now)
    no_conflict = outcome is not StoreOutcome.CONFLICT
    if state.phase is Phase.COMMIT_WRITE and no_conflict:
        return _enter_phase(state, Phase.CONFIRM, now)
    return _enter_phase(state, Phase.STOPPED, now)


def receive_report(state: ControllerState, report: Report, now: float) -> Transition:
    """Apply a rank's report and enter the next phase if it completes the current one."""
    if state.phase in (Phase.CLAIM, Phase.STOPPED):
        return state, []
    if report.epoch > state.epoch:
        return _enter_phase(state, Phase.STOPPED, now)
    if report.joined and report.epoch < state.epoch:
        return state, []
    reports = list(state.reports)
    reports[report.rank] = report
    state = replace(state, reports=tuple(reports))
    if state.phase not in FORMING_PHASES and all_restarted(state):
        return _enter_phase(state, Phase.STOPPED, now)
    return _advance(state, now)


def tick(state: ControllerState, now: float) -> Transition:
    """Send the current phase's orders again, or end or restart a phase that exceeds its limit."""
    elapsed = now - state.phase_since
    if state.phase is Phase.PREPARE and elapsed >= state.settings.prepare_seconds:
        return _abort(state, now)
    if state.phase is Phase.ARM and elapsed >= state.settings.arm_seconds:
        return _abort(state, now)
    if elapsed >= state.settings.reset_seconds:
        return _handle_phase_timeout(state, now)
    return state, list_orders(state)


def _handle_phase_timeout(state: ControllerState, now: float) -> Transition:
    """Reset ranks or stop the controller if the phase can't complete, else repeat the orders."""
    if state.phase is Phase.FORM:
        return _enter_phase(state, Phase.STOPPED, now)
    resets = list_resets(state)
    if resets and state.phase is Phase.QUERY:
        return replace(state, phase_since=now, reports=(None,) * state.size), resets
    if resets and state.phase is Phase.SPREAD:
        return _enter_phase(state, Phase.STOPPED, now)
    return state, list_orders(state)


def _enter_phase(state: ControllerState, phase: Phase, now: float) -> Transition:
    state = replace(state, phase=phase, phase_since=now)
    orders = list_orders(state)
    if phase is Phase.SPREAD and not orders:
        return _finish(state, now)
    return state, orders


def _store(state: ControllerState, phase: Phase, record: MapRecord, now: float) -> Transition:
    state = replace(state, phase=phase, phase_since=now, record=record)
    return state, [Store(record, state.record_version)]


def _continue_written(state: ControllerState, now: float) -> Transition:
    match state.phase:
        case Phase.CLAIM:
            return _enter_phase(state, Phase.QUERY, now)
        case Phase.FORM_WRITE:
            return _enter_phase(replace(state, current=state.record.schedule), Phase.FORM, now)
        case Phase.PROPOSE_WRITE:
            return _enter_phase(state, Phase.PREPARE, now)
        case Phase.COMMIT_WRITE:
            return _enter_phase(replace(state, current=state.target), Phase.SPREAD, now)
        case Phase.SETTLE_WRITE:
            return _enter_phase(state, Phase.IDLE, now)
    return state, []


def _advance(state: ControllerState, now: float) -> Transition:
    match state.phase:
        case Phase.QUERY:
            return _resolve_in_flight(state, now)
        case Phase.FORM if ranks_agree(state):
            return _enter_phase(state, Phase.SPREAD, now)
        case Phase.PREPARE if (
            all_prepared(state) and activation_step_begun(state) and ranks_agree(state)
        ):
            return _choose_step(state, now)
        case Phase.ARM:
            return _check_armed(state, now)
        case Phase.CONFIRM if ranks_agree(state) and all_know_commit(state):
            return _enter_phase(replace(state, current=state.target), Phase.SPREAD, now)
        case Phase.SPREAD if ranks_agree(state) and not list_orders(state):
            return _finish(state, now)
    return state, []


def _resolve_in_flight(state: ControllerState, now: float) -> Transition:
    reports = state.known_reports
    if len(reports) < state.size:
        return state, []
    if all_restarted(state):
        incarnations = tuple(report.incarnation for report in reports)
        state = replace(state, incarnations=incarnations)
        schedule = Schedule(state.current.version)
        record = msgspec.structs.replace(state.record, schedule=schedule, in_flight=0)
        return _store(state, Phase.FORM_WRITE, record, now)
    if not ranks_agree(state):
        return state, []
    current = max([state.current, *(report.schedule for report in reports)], key=_get_version)
    state = replace(state, current=current)
    chosen = [
        report.pending
        for report in reports
        if report.pending and report.pending.known and report.pending.version > current.version
    ]
    if not chosen:
        return _enter_phase(state, Phase.SPREAD, now)
    target = Schedule(chosen[0].version, chosen[0].armed, current.version)
    return _write_commit(replace(state, target=target), now)


def _get_version(schedule: Schedule) -> int:
    return schedule.version


def _choose_step(state: ControllerState, now: float) -> Transition:
    """Choose an activation step ahead of every rank; each retry doubles the margin."""
    repeated = state.phase is Phase.ARM
    margin_steps = 2 * state.margin_steps if repeated else state.settings.margin_steps
    furthest = max(report.granted for report in state.known_reports)
    step = max(furthest, state.target.since) + margin_steps
    target = Schedule(state.target.version, step, state.target.previous)
    started = state.phase_since if repeated else now
    return _enter_phase(
        replace(state, target=target, margin_steps=margin_steps), Phase.ARM, started
    )


def _check_armed(state: ControllerState, now: float) -> Transition:
    version, step = state.target.version, state.target.since
    # A restarted rank adopts the activation step that others confirmed, but may have begun that
    # step before its restart. Its confirmation counts only if the step is after `granted`.
    armed = [
        has_pending(report, version) and report.pending.armed == step > report.granted
        for report in state.known_reports
    ]
    if all(armed) and ranks_agree(state):
        return _write_commit(state, now)
    passed = any(
        report.granted >= step and not confirmed
        for report, confirmed in zip(state.known_reports, armed)
    )
    return _choose_step(state, now) if passed else (state, [])


def _write_commit(state: ControllerState, now: float) -> Transition:
    record = msgspec.structs.replace(state.record, schedule=state.target, in_flight=0)
    return _store(state, Phase.COMMIT_WRITE, record, now)


def _abort(state: ControllerState, now: float) -> Transition:
    return _enter_phase(replace(state, aborts=state.aborts + 1), Phase.SPREAD, now)


def _finish(state: ControllerState, now: float) -> Transition:
    record = msgspec.structs.replace(state.record, schedule=state.current, in_flight=0)
    if record == state.record:
        return _enter_phase(state, Phase.IDLE, now)
    return _store(state, Phase.SETTLE_WRITE, record, now)
