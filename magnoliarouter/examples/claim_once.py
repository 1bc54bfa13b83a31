"""A call with an idempotency key runs once, and a repeated call gets the stored response.

A claim is the stored record that names the one attempt of a call that may run.
"""

from __future__ import annotations

from hashlib import sha256

from magnoliarouter.core.attempts import StoredResponse
from magnoliarouter.core.claims import ClaimRun
from magnoliarouter.core.claimsteps import (
    Answered,
    Claim,
    ClaimKey,
    Effect,
    Event,
    FoundClaim,
    NoClaim,
    PlaceAttempt,
    Placed,
    Ran,
    ReadClaim,
    SendAttempt,
    Stored,
    Target,
    WriteClaim,
)

__all__ = ["InMemoryBackend", "build_response", "main", "run_call"]

KEY = ClaimKey("grower", "key-digest", "body-digest")


class InMemoryBackend:
    """In-memory store of one claim, and the application that must run the call only once."""

    def __init__(self) -> None:
        self.version = 0
        self.claim: Claim | None = None
        self.attempts = self.executions = 0

    def perform(self, effect: Effect) -> Event:
        """Perform an effect of a claim and return its result."""
        match effect:
            case PlaceAttempt():
                self.attempts += 1
                attempt = f"attempt-{self.attempts}"
                return Placed(Target(attempt, "tanks-1", "127.0.0.1:7000", "start-1", 60.0))
            case ReadClaim():
                return FoundClaim(self.version, self.claim) if self.claim else NoClaim()
            case WriteClaim(claim, expect) if expect == self.version:
                self.version, self.claim = self.version + 1, claim
                return Stored(self.version)
            case WriteClaim():
                return FoundClaim(self.version, self.claim)
            case SendAttempt():
                self.executions += 1
                return Answered(build_response(b"tank 3 is full"))
        raise NotImplementedError(f"this example does not support the effect {effect!r}")


def build_response(body: bytes) -> StoredResponse:
    """Return an application's response as it is stored for repeated calls."""
    return StoredResponse(200, "text/plain", sha256(body).hexdigest(), len(body), body)


def run_call(backend: InMemoryBackend) -> Effect:
    """Perform the effects of one request until it ends, and return its final effect."""
    run = ClaimRun(KEY)
    effect = run.start()
    while isinstance(effect, PlaceAttempt | ReadClaim | WriteClaim | SendAttempt):
        effect = run.step(backend.perform(effect))
    return effect


def main() -> None:
    """Print the results of a call and its repeat, and how often the application ran."""
    backend = InMemoryBackend()
    for _ in range(2):
        match run_call(backend):
            case Ran(response, replayed):
                print(response.body.decode(), "- replayed" if replayed else "- ran")
    print("runs:", backend.executions)


if __name__ == "__main__":
    main()
