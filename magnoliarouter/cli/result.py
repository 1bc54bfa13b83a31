"""Results of an operator's command and the exit codes that go with them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, TypeAlias

__all__ = ["CommandResult", "Done", "ExitCode", "Failed"]


class ExitCode(IntEnum):
    """Exit code of `magnoliactl`; the operators' page lists what to do about each."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    NOT_FOUND = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_CONFIRMED = 7
    INVALID = 8
    DOUBTFUL = 9


@dataclass(frozen=True, slots=True)
class Done:
    """The command completed.

    Parameters
    ----------
    text : str
        Human-readable text.
    value : object
        JSON value, printed instead of the text with ``--json``.
    code : ExitCode
        Exit code, such as `NOT_CONFIRMED` if a write is done but some daemons have not confirmed it.
    """

    text: str
    value: Any = None
    code: ExitCode = ExitCode.OK


@dataclass(frozen=True, slots=True)
class Failed:
    """The command failed with an expected error.

    Parameters
    ----------
    code : ExitCode
        Kind of failure.
    message : str
        Sentence that names the field, the invalid value and the valid ones.
    details : dict
        JSON details, such as both versions of a conflict.
    """

    code: ExitCode
    message: str
    details: dict[str, Any] = field(default_factory=dict)


CommandResult: TypeAlias = Done | Failed
