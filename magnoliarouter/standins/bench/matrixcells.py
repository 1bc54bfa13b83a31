"""Cells of the fault matrix: what is proved for a fault at a step of a procedure, and how.

A procedure, such as a request or a drain, is a sequence of steps. The matrix has one cell for each
step and fault. Rules set the states of cells: proved, excluded (the fault cannot occur at the step)
or open (nothing is proved).
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "FAULTS",
    "Bench",
    "Cell",
    "Excluded",
    "Open",
    "Procedure",
    "Proof",
    "Proved",
    "Rule",
    "Scene",
    "State",
    "UnitTest",
    "cover",
    "exclude",
    "expand",
    "leave_open",
]

FAULTS: dict[str, str] = {
    "p-down": "platform down",
    "p-slow": "platform slow",
    "p-lost": "platform's answer lost after the write took effect",
    "p-stale": "stale read of the platform",
    "p-gap": "gap in a watch",
    "p-flood": "flood of watch events after an outage",
    "p-conflict": "another writer is first",
    "n-delay": "delayed messages",
    "n-reorder": "reordered messages",
    "n-dup": "message or answer duplicated",
    "n-cut": "connection cut, also in the middle of a body",
    "n-half": "half-open connection",
    "n-oneway": "partition one way",
    "n-zone": "zone cut off from the platform or from other zones",
    "k-kill": "process killed",
    "k-pause": "process paused past a lease or deadline, then resumed",
    "k-restart": "process restarted with empty memory",
    "k-term": "SIGTERM under load",
    "e-slow": "straggler",
    "e-late": "late answer",
    "e-crossed": "answer of another request",
    "e-second": "second execution attempt",
    "e-stale": "stale fencing number",
    "e-gap": "gap in cache events",
    "e-old": "old load report",
    "two": "two faults at once",
}
WILDCARD = "*"
UNTESTED_REASON = "no test causes it yet"


@dataclass(frozen=True, slots=True)
class UnitTest:
    """Test named ``MODULE.CLASS.METHOD``, where MODULE lacks its prefix ``test_``."""

    name: str

    @property
    def id(self) -> str:
        """Id by which `unittest` loads the test."""
        return f"magnoliarouter.tests.test_{self.name}"


@dataclass(frozen=True, slots=True)
class Scene:
    """Scene: a scripted fault at one step, which the matrix runs with real processes."""

    name: str


@dataclass(frozen=True, slots=True)
class Bench:
    """Experiment that causes the fault repeatedly while the procedure runs."""

    name: str


Proof = UnitTest | Scene | Bench


@dataclass(frozen=True, slots=True)
class Proved:
    """Outcome of the fault, with its proofs."""

    outcome: str
    proofs: tuple[Proof, ...]


@dataclass(frozen=True, slots=True)
class Excluded:
    """Reason why the fault cannot occur at the step."""

    reason: str


@dataclass(frozen=True, slots=True)
class Open:
    """Reason why nothing is proved."""

    reason: str = UNTESTED_REASON


State = Proved | Excluded | Open


@dataclass(frozen=True, slots=True)
class Rule:
    """State of some cells of a procedure; a later rule overrides an earlier one."""

    steps: tuple[str, ...]
    faults: tuple[str, ...]
    state: State


@dataclass(frozen=True, slots=True)
class Procedure:
    """Procedure with its steps in order and the rules for its cells."""

    name: str
    steps: tuple[str, ...]
    rules: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class Cell:
    """State of one fault at one step of a procedure."""

    procedure: str
    step: str
    fault: str
    state: State


def cover(steps: str, faults: str, outcome: str, *proofs: Proof) -> Rule:
    """Return a rule for proved cells; names are separated by spaces, and ``*`` stands for all."""
    return Rule(tuple(steps.split()), _resolve_faults(faults), Proved(outcome, proofs))


def exclude(steps: str, faults: str, reason: str) -> Rule:
    """Return a rule for cells whose fault cannot occur at the step."""
    return Rule(tuple(steps.split()), _resolve_faults(faults), Excluded(reason))


def leave_open(steps: str, faults: str, reason: str) -> Rule:
    """Return a rule for cells for which nothing is proved."""
    return Rule(tuple(steps.split()), _resolve_faults(faults), Open(reason))


def expand(procedure: Procedure) -> list[Cell]:
    """Return all cells of a procedure, step by step.

    Raises
    ------
    ValueError
        A rule names a step that the procedure does not have.
    """
    states: dict[tuple[str, str], State] = {}
    for rule in procedure.rules:
        steps = procedure.steps if rule.steps == (WILDCARD,) else rule.steps
        unknown = set(steps) - set(procedure.steps)
        if unknown:
            raise ValueError(f"{procedure.name}: unknown steps {unknown}")
        states |= {(step, fault): rule.state for step in steps for fault in rule.faults}
    return [
        Cell(procedure.name, step, fault, states.get((step, fault), Open()))
        for step in procedure.steps
        for fault in FAULTS
    ]


def _resolve_faults(text: str) -> tuple[str, ...]:
    """Return the faults that the patterns name; ``e-*`` names all with the prefix ``e-``."""
    names: list[str] = []
    for pattern in text.split():
        found = [fault for fault in FAULTS if fault == pattern or _matches_wildcard(fault, pattern)]
        if not found:
            raise ValueError(f"unknown fault {pattern!r}, valid: {', '.join(FAULTS)}")
        names += found
    return tuple(names)


def _matches_wildcard(fault: str, pattern: str) -> bool:
    return pattern.endswith(WILDCARD) and fault.startswith(pattern[:-1])
