"""Claim records, and the effects and events of the state machine `ClaimRun`.

An effect is what the driver, the code that runs `ClaimRun`, has to perform; an event is its result.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from magnoliarouter.core.attempts import (  # noqa: TC001 - decoding resolves it
    AttemptState,
    StoredResponse,
)
from magnoliarouter.core.outcome import ResultCode  # noqa: TC001 - decoding resolves it

__all__ = [
    "Answered",
    "AskFence",
    "AttemptDoubt",
    "Claim",
    "ClaimKey",
    "ClaimState",
    "Doubtful",
    "Effect",
    "Event",
    "FenceAnswer",
    "FoundClaim",
    "GuardSilent",
    "NoClaim",
    "NoTarget",
    "NotStarted",
    "OtherIncarnation",
    "Pending",
    "PlaceAttempt",
    "Placed",
    "Ran",
    "ReadClaim",
    "RefusedRun",
    "Result",
    "SendAttempt",
    "StoreDoubt",
    "StoreDown",
    "Stored",
    "Target",
    "TimeUp",
    "WriteClaim",
]


class ClaimState(Enum):
    """State of a claim.

    `RELEASED` means that its attempt is proven not to have run, `UNKNOWN` that the outcome cannot
    be determined.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identity of a caller's request.

    Parameters
    ----------
    customer : str
        Name of the customer.
    key_digest, body_digest : str
        Hexadecimal digests of the idempotency key and of method, path and body.
    """

    customer: str
    key_digest: str
    body_digest: str


@dataclass(frozen=True, slots=True)
class Target:
    """Attempt, and the endpoint incarnation where it may run.

    Parameters
    ----------
    attempt : str
        Id of the new attempt.
    endpoint, address, incarnation : str
        Endpoint name, and ``host:port`` and incarnation of its guard.
    not_after : float
        Time on the guard's clock after which the attempt may not start.
    """

    attempt: str
    endpoint: str
    address: str
    incarnation: str
    not_after: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Stored form of a claim.

    Parameters
    ----------
    key : ClaimKey
        Request that the claim is for.
    target : Target
        Attempt that may run.
    state : ClaimState
        Known state of the attempt.
    answer : StoredResponse, optional
        Response of a finished attempt.
    """

    key: ClaimKey
    target: Target
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredResponse | None = None


# Effects


@dataclass(frozen=True, slots=True)
class PlaceAttempt:
    """Choose an endpoint and a new attempt id."""


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write a claim if the stored version is `expect`; 0 if there must be none."""

    claim: Claim
    expect: int


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim from the store."""


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the attempt to its target, once."""

    target: Target


@dataclass(frozen=True, slots=True)
class AskFence:
    """Request that the guard of a target fences its attempt.

    If `waiting` is set, the attempt is the request's own: the driver waits before it sends the fence
    request again, and passes `TimeUp` once the deadline has passed.
    """

    target: Target
    waiting: bool = False


@dataclass(frozen=True, slots=True)
class Ran:
    """The call ran; `answer` is its response."""

    response: StoredResponse
    replayed: bool


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """This request did not run.

    `covers_key` is set if no other request with the key has run either.
    """

    code: ResultCode
    reason: str
    covers_key: bool
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Pending:
    """An attempt with the key is in progress."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Doubtful:
    """It is unknown whether the call ran."""

    claim: Claim
    reason: str


Result: TypeAlias = Ran | RefusedRun | Pending | Doubtful
Effect: TypeAlias = PlaceAttempt | WriteClaim | ReadClaim | SendAttempt | AskFence | Result


# Events


@dataclass(frozen=True, slots=True)
class Placed:
    """An endpoint was chosen."""

    target: Target


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No endpoint serves the call now."""


@dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class FoundClaim:
    """The store holds this claim: read, or the reason why a write was refused."""

    version: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class NoClaim:
    """The store holds no claim."""


@dataclass(frozen=True, slots=True)
class StoreDoubt:
    """A write got no response; it may have taken effect or may still do so."""


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store refused the call, or a read got no response."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint returned a complete response to the attempt."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The attempt is proven not to have started and never to start."""

    reason: str
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class AttemptDoubt:
    """The attempt was sent, and its outcome is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class FenceAnswer:
    """State of an attempt as reported by its guard; None if the guard cannot determine it."""

    state: AttemptState | None
    response: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """The guard was restarted after the attempt was created."""


@dataclass(frozen=True, slots=True)
class GuardSilent:
    """The guard could not be reached."""


@dataclass(frozen=True, slots=True)
class TimeUp:
    """The request's deadline has passed."""


Event: TypeAlias = (
    Placed
    | NoTarget
    | Stored
    | FoundClaim
    | NoClaim
    | StoreDoubt
    | StoreDown
    | Answered
    | NotStarted
    | AttemptDoubt
    | FenceAnswer
    | OtherIncarnation
    | GuardSilent
    | TimeUp
)
