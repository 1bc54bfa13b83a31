"""State of the controller of a group's expert map, and predicates over the ranks' reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import msgspec

from magnoliarouter.core.mapmessages import Order, Report, Schedule

__all__ = [
    "ControllerState",
    "Effect",
    "MapRecord",
    "Phase",
    "Send",
    "Store",
    "StoreOutcome",
    "SwitchSettings",
    "activation_step_begun",
    "all_know_commit",
    "all_prepared",
    "all_restarted",
    "has_pending",
    "ranks_agree",
]


class MapRecord(msgspec.Struct, frozen=True):
    """Record of a group's map that the platform stores.

    Parameters
    ----------
    epoch : int
        Epoch of the latest controller; each controller claims a higher one.
    schedule : Schedule
        Version in force.
    proposed : int
        Highest version that was ever proposed; a version number is never reused.
    in_flight : int
        Version that is proposed but neither committed nor aborted; 0 for none.
    texts : tuple of (int, str)
        Encoded maps of the versions in force and in flight.
    """

    epoch: int
    schedule: Schedule
    proposed: int
    in_flight: int = 0
    texts: tuple[tuple[int, str], ...] = ()

    def text_of(self, version: int) -> str:
        """Return the encoded map of a version, or an empty text if it isn't stored."""
        return dict(self.texts).get(version, "")


class Phase(Enum):
    """Phase of a controller.

    In `CLAIM` and in the phases whose names end in ``WRITE``, the controller waits for the outcome
    of a write of the record. In the other phases, except `STOPPED`, it sends orders to the ranks
    and receives reports.

    - `CLAIM` writes the record under a new epoch.
    - `QUERY` reads the state of every rank, to resolve a switch that is in flight.
    - `FORM_WRITE` and `FORM` form the group if no rank has joined it, such as after all restarted.
    - `PROPOSE_WRITE` records the version to switch to.
    - `PREPARE` waits for every rank to fetch the experts of that version.
    - `ARM` waits for every rank to confirm the activation step.
    - `COMMIT_WRITE` records the version as the one in force.
    - `CONFIRM` has every rank record the commit, because its write did not succeed or its outcome
      is unknown.
    - `SPREAD` has every rank learn the version in force and close the other versions.
    - `SETTLE_WRITE` records the version in force, and that none is in flight, if the record
      differs from that.
    - `IDLE` waits for the next switch and detects restarted ranks.
    - `STOPPED` does nothing; a new controller starts from the record.
    """

    CLAIM = "claim"
    QUERY = "query"
    FORM_WRITE = "form-write"
    FORM = "form"
    PROPOSE_WRITE = "propose-write"
    PREPARE = "prepare"
    ARM = "arm"
    COMMIT_WRITE = "commit-write"
    CONFIRM = "confirm"
    SPREAD = "spread"
    SETTLE_WRITE = "settle-write"
    IDLE = "idle"
    STOPPED = "stopped"


class StoreOutcome(Enum):
    """Outcome of a conditional write of the record.

    `FAILED` means that the write changed nothing, for another reason than a `CONFLICT` of versions.
    `LOST` means that the outcome is unknown: the write may have taken effect.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class SwitchSettings:
    """Time limits and step margin of a switch.

    Parameters
    ----------
    prepare_seconds : float
        Time limit for all ranks to fetch the experts, after which the switch is aborted.
    arm_seconds : float
        Time limit for all ranks to confirm an activation step, after which the switch is aborted.
    margin_steps : int
        Steps between the most advanced rank and the first activation step that is tried.
    reset_seconds : float
        Time in seconds after which a phase counts as stuck. Ranks that contradict each other are
        then reset in `QUERY`, and stop the controller in `SPREAD`; `FORM` always stops it, and
        other phases continue.
    """

    prepare_seconds: float = 30.0
    arm_seconds: float = 2.0
    margin_steps: int = 16
    reset_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class Send:
    """Send an order to a rank."""

    rank: int
    order: Order


@dataclass(frozen=True, slots=True)
class Store:
    """Write the record on condition that its version in the platform is `expect`."""

    record: MapRecord
    expect: int


Effect: TypeAlias = Send | Store


@dataclass(frozen=True, slots=True)
class ControllerState:
    """State of one controller.

    Parameters
    ----------
    size : int
        Number of ranks in the group.
    record : MapRecord
        Record as last read or written.
    record_version : int
        Version of the record in the platform.
    phase : Phase
        Current phase.
    phase_since : float
        Loop time in seconds at which the phase started.
    reports : tuple of Report or None
        Latest report of each rank under this epoch.
    current : Schedule
        Version in force according to the record and the reports.
    close_up_to : int
        Highest version to close, that is to commit or abort, on every rank.
    target : Schedule
        Version being switched to.
    settings : SwitchSettings
        Time limits and step margin.
    incarnations : tuple of str
        Incarnations with which the group is being formed.
    margin_steps : int
        Steps between the most advanced rank and the activation step that is being tried.
    aborts : int
        Number of switches that this controller aborted.
    """

    size: int
    record: MapRecord
    record_version: int
    phase: Phase
    phase_since: float
    reports: tuple[Report | None, ...]
    current: Schedule = Schedule(0)
    close_up_to: int = 0
    target: Schedule = Schedule(0)
    settings: SwitchSettings = SwitchSettings()
    incarnations: tuple[str, ...] = ()
    margin_steps: int = 0
    aborts: int = 0

    @property
    def epoch(self) -> int:
        """Epoch of this controller."""
        return self.record.epoch

    @property
    def known_reports(self) -> list[Report]:
        """Reports received so far."""
        return [report for report in self.reports if report is not None]


def ranks_agree(state: ControllerState) -> bool:
    """Whether all ranks have joined one generation and have seen each other's incarnations."""
    reports = state.known_reports
    if len(reports) < state.size or not all(report.joined for report in reports):
        return False
    incarnations = tuple(report.incarnation for report in reports)
    return all(
        report.seen == incarnations and report.generation == reports[0].generation
        for report in reports
    )


def all_prepared(state: ControllerState) -> bool:
    """Whether every rank holds the experts of the target version."""
    version = state.target.version
    return all(
        has_pending(report, version) and version in report.loaded for report in state.known_reports
    )


def activation_step_begun(state: ControllerState) -> bool:
    """Whether any rank has begun the activation step of the version in force.

    All ranks have then ended the earlier steps, whose version is no longer needed.
    """
    return max(report.begun for report in state.known_reports) >= state.current.since


def all_know_commit(state: ControllerState) -> bool:
    """Whether every rank has recorded that the target version is to be committed."""
    version = state.target.version
    return all(
        report.schedule.version == version
        or (has_pending(report, version) and report.pending.known)
        for report in state.known_reports
    )


def has_pending(report: Report, version: int) -> bool:
    """Whether a version is in flight at a rank."""
    return report.pending is not None and report.pending.version == version


def all_restarted(state: ControllerState) -> bool:
    """Whether every rank has restarted and lost its state, so the group has to be formed again."""
    reports = state.known_reports
    return len(reports) == state.size and not any(report.joined for report in reports)
