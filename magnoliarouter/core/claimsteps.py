"""Claim records, and the effects and events of the state machine that handles them."""

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
    """State of a claim."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """What a caller's request is recognized by.

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
    """Attempt and where it may run.

    Parameters
    ----------
    attempt : str
        New attempt id.
    endpoint, address, incarnation : str
        Endpoint, its guard's ``host:port`` and incarnation.
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
    """Claim as it is stored.

    Parameters
    ----------
    key : ClaimKey
        What it is for.
    target : Target
        Attempt that may run.
    state : ClaimState
        What is known of the attempt.
    answer : StoredResponse, optional
        Answer of a finished attempt.
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
    """Read the claim back."""


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the attempt to its target, once."""

    target: Target


@dataclass(frozen=True, slots=True)
class AskFence:
    """Ask the guard of a target to fence its attempt.

    `waiting` tells that the request in progress waits for its own attempt: pause before asking
    again, and pass `TimeUp` once the deadline is over.
    """

    target: Target
    waiting: bool = False


@dataclass(frozen=True, slots=True)
class Ran:
    """The call ran; this is its answer."""

    answer: StoredResponse
    replayed: bool


@dataclass(frozen=True, slots=True)
class RefusedRun:
    """This request did not run.

    `covers_key` tells whether it is known that no other request with the key has run either.
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
    """It cannot be told whether the call ran."""

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
    """No answer to a write; it may have taken effect or may do so later."""


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The store refused the call or a read got no answer."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint answered the attempt in full."""

    answer: StoredResponse


@dataclass(frozen=True, slots=True)
class NotStarted:
    """It is proven that the attempt did not start and never will."""

    reason: str
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class AttemptDoubt:
    """The attempt was sent and its fate is not known."""

    reason: str


@dataclass(frozen=True, slots=True)
class FenceAnswer:
    """State of an attempt as its guard tells; None if the guard cannot tell."""

    state: AttemptState | None
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """The guard has been started anew since the attempt was made."""


@dataclass(frozen=True, slots=True)
class GuardSilent:
    """The guard could not be reached."""


@dataclass(frozen=True, slots=True)
class TimeUp:
    """The request's deadline is over."""


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
