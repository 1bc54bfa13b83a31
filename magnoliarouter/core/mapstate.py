"""State of a controller of a group's expert map, and what its reports add up to."""

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
    """What the platform keeps of a group's map.

    Parameters
    ----------
    epoch : int
        Epoch of the latest controller; each controller claims a higher one.
    schedule : Schedule
        Version in force.
    proposed : int
        Highest version that was ever proposed; versions are never used twice.
    in_flight : int
        Version that is proposed and not decided; 0 for none.
    texts : tuple of (int, str)
        Encoded maps of the versions in force and in flight.
    """

    epoch: int
    schedule: Schedule
    proposed: int
    in_flight: int = 0
    texts: tuple[tuple[int, str], ...] = ()

    def text_of(self, version: int) -> str:
        """Return the encoded map of a version, or an empty text when it is not kept."""
        return dict(self.texts).get(version, "")


class Phase(Enum):
    """What a controller is doing."""

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
    """Outcome of a conditional write of the record."""

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
        Longest wait for all ranks to fetch the experts; the switch is aborted after it.
    arm_seconds : float
        Longest wait for all ranks to confirm one activation step.
    margin_steps : int
        Steps between the furthest rank and the activation step.
    reset_seconds : float
        Time after which ranks that contradict each other are told to start anew.
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
    """Write the record if its version in the platform is `expect`."""

    record: MapRecord
    expect: int


Effect: TypeAlias = Send | Store


@dataclass(frozen=True, slots=True)
class ControllerState:
    """State of one controller.

    Parameters
    ----------
    size : int
        Ranks of the group.
    record : MapRecord
        Record as last read or written.
    record_version : int
        Its version in the platform.
    phase : Phase
        What is being done.
    phase_since : float
        Loop time at which the phase began.
    reports : tuple of Report or None
        Latest report of each rank under this epoch.
    current : Schedule
        Version in force as far as is known.
    close_up_to : int
        Highest version that is to be closed.
    target : Schedule
        Version being switched to.
    incarnations : tuple of str
        Incarnations with which the group is being formed.
    margin_steps : int
        Steps between the furthest rank and the activation step that is being tried.
    aborts : int
        Switches given up by this controller.
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
    """Whether all ranks have joined one generation and name each other's incarnations."""
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
    """Whether a rank has begun the activation step of the version in force.

    All ranks have then ended the steps before it, so that the versions of these may be forgotten.
    """
    return max(report.begun for report in state.known_reports) >= state.current.since


def all_know_commit(state: ControllerState) -> bool:
    """Whether every rank knows that the target version is to be committed."""
    version = state.target.version
    return all(
        report.schedule.version == version
        or (has_pending(report, version) and report.pending.known)
        for report in state.known_reports
    )


def has_pending(report: Report, version: int) -> bool:
    """Whether a rank has a version in flight."""
    return report.pending is not None and report.pending.version == version


def all_restarted(state: ControllerState) -> bool:
    """Whether every rank has restarted, so that the group has to be formed again."""
    reports = state.known_reports
    return len(reports) == state.size and not any(report.joined for report in reports)
