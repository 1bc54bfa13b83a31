"""Claims that let a call with an idempotency key run at most once.

A claim is a record in a store with conditional updates, one for each customer and key. A request
that writes its own attempt into the record may send that attempt, once, to the endpoint incarnation
that the record names. Other requests with the key read the outcome from the record, or query the
endpoint's guard, which can fence an attempt that has not started. The record may name another
attempt only after the recorded one is proven never to start.

`ClaimRun` is the state machine of one request and does no I/O. It returns an effect; the code that
drives it (the driver) performs the effect and passes the resulting event to `ClaimRun.step`.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from magnoliarouter.core.attempts import AttemptState
from magnoliarouter.core.claimsteps import (
    Answered,
    AskFence,
    Claim,
    ClaimKey,
    ClaimState,
    Doubtful,
    Effect,
    Event,
    FenceAnswer,
    FoundClaim,
    NoClaim,
    NotStarted,
    OtherIncarnation,
    Pending,
    PlaceAttempt,
    Placed,
    Ran,
    ReadClaim,
    RefusedRun,
    SendAttempt,
    Stored,
    StoreDoubt,
    TimeUp,
    WriteClaim,
)
from magnoliarouter.core.outcome import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ClaimRun"]

MAX_TRIES = 3
MAX_CONFLICTS = 2
RETRY_AFTER_S = 2.0


class _Phase(Enum):
    PLACING = "placing"
    READING = "reading"
    CLAIMING = "claiming"
    READING_BACK = "reading back"
    RUNNING = "running"
    FENCING = "fencing"
    RELEASING = "releasing"
    READING_AFTER_FENCE = "reading after fence"
    RECORDING = "recording"


@dataclass(slots=True)
class ClaimRun:
    """State machine of one request with an idempotency key.

    Parameters
    ----------
    key : ClaimKey
        Customer, idempotency key and body that identify the request.

    Attributes
    ----------
    tries : int
        Number of placements requested so far.
    unrecorded : WriteClaim or None
        Outcome whose write the store has not confirmed; to be written again later.

    Examples
    --------
    >>> from magnoliarouter.core.claimsteps import Target
    >>> run = ClaimRun(ClaimKey("grower", "k", "b"))
    >>> run.start()
    PlaceAttempt()
    >>> target = Target("a1", "tanks-1", "127.0.0.1:1", "i1", 60.0)
    >>> run.step(Placed(target)).expect
    0
    >>> run.step(Stored(version=7)) == SendAttempt(target)
    True
    """

    key: ClaimKey
    tries: int = 0
    unrecorded: WriteClaim | None = None
    _phase: _Phase = _Phase.PLACING
    _expect: int = 0
    _own_claim: Claim | None = None
    _sent: bool = False
    _store_failures: int = 0
    _contested_claim: Claim | None = None
    _refusal_reason: str = ""
    _result: Ran | Doubtful | None = None

    def start(self) -> Effect:
        """Return the first effect."""
        return self._request_placement()

    def step(self, event: Event) -> Effect:
        """Apply the result of the last effect, and return the next effect."""
        match self._phase:
            case _Phase.PLACING:
                return self._after_placing(event)
            case _Phase.READING:
                return self._after_reading(event)
            case _Phase.CLAIMING:
                return self._after_claiming(event)
            case _Phase.READING_BACK:
                return self._after_reading_back(event)
            case _Phase.RUNNING:
                return self._after_running(event)
            case _Phase.FENCING:
                return self._after_fencing(event)
            case _Phase.RELEASING:
                return self._after_releasing(event)
            case _Phase.READING_AFTER_FENCE:
                return self._after_reading_fenced(event)
            case _Phase.RECORDING:
                return self._after_recording(event)

    def _request_placement(self) -> Effect:
        if self.tries >= MAX_TRIES + MAX_CONFLICTS:
            reason = "other requests with the key kept taking over"
            return RefusedRun(ResultCode.CONFLICT, reason, False, RETRY_AFTER_S)
        self.tries += 1
        self._phase = _Phase.PLACING
        return PlaceAttempt()

    def _after_placing(self, event: Event) -> Effect:
        match event:
            case Placed(target):
                self._own_claim = Claim(self.key, target)
                self._sent = False
                return self._write_own_claim()
        if self._sent:
            return self._release()
        # No attempt can run now, but the outcome of an earlier request may be stored.
        self._phase = _Phase.READING
        return ReadClaim()

    def _after_reading(self, event: Event) -> Effect:
        match event:
            case FoundClaim(_, claim) if claim.state is not ClaimState.RELEASED:
                return self._continue_from(event)
        reason = "no endpoint serves this now"
        return RefusedRun(ResultCode.NO_ENDPOINT, reason, False, RETRY_AFTER_S)

    def _write_own_claim(self) -> Effect:
        self._phase = _Phase.CLAIMING
        return WriteClaim(self._own_claim, self._expect)

    def _after_claiming(self, event: Event) -> Effect:
        match event:
            case Stored(version):
                return self._send(version)
            case FoundClaim():
                return self._continue_from(event)
            case NoClaim():
                self._expect = 0
                return self._retry_store(self._write_own_claim)
            case StoreDoubt():
                return self._retry_store(self._read_back)
        return self._refuse_store_unavailable()

    def _read_back(self) -> Effect:
        self._phase = _Phase.READING_BACK
        return ReadClaim()

    def _retry_store(self, proceed: Callable[[], Effect]) -> Effect:
        self._store_failures += 1
        return proceed() if self._store_failures <= MAX_TRIES else self._refuse_store_unavailable()

    def _after_reading_back(self, event: Event) -> Effect:
        match event:
            case FoundClaim():
                return self._continue_from(event)
            case NoClaim():
                self._expect = 0
                return self._write_own_claim()
        return self._retry_store(self._read_back)

    def _refuse_store_unavailable(self) -> Effect:
        # `covers_key` is False: an earlier request with this key may have run, and its claim, which
        # only the store has, cannot be read.
        reason = "claims cannot be stored now"
        return RefusedRun(ResultCode.PLATFORM_UNAVAILABLE, reason, False, RETRY_AFTER_S)

    def _continue_from(self, found: FoundClaim) -> Effect:
        """Continue from the claim that the store holds."""
        claim, self._expect = found.claim, found.version
        if self._is_own(claim) and not self._sent and claim.state is ClaimState.CLAIMED:
            return self._send(found.version)
        if claim.key.body_digest != self.key.body_digest:
            reason = "the idempotency key was used with another method, path or body"
            return RefusedRun(ResultCode.KEY_REUSED, reason, False)
        match claim.state:
            case ClaimState.FINISHED:
                return Ran(claim.answer, replayed=True)
            case ClaimState.UNKNOWN:
                return Doubtful(claim, "the attempt's outcome was lost")
            case ClaimState.RELEASED:
                return self._claim_again()
        self._phase = _Phase.FENCING
        self._contested_claim = claim
        return AskFence(claim.target)

    def _is_own(self, claim: Claim) -> bool:
        return (
            self._own_claim is not None and claim.target.attempt == self._own_claim.target.attempt
        )

    def _claim_again(self) -> Effect:
        if self._own_claim is None or self._sent:
            return self._request_placement()
        return self._write_own_claim()

    def _send(self, version: int) -> Effect:
        self._expect = version
        self._sent = True
        self._phase = _Phase.RUNNING
        return SendAttempt(self._own_claim.target)

    def _after_running(self, event: Event) -> Effect:
        match event:
            case Answered(response):
                return self._record(self._own_claim, Ran(response, replayed=False))
            case NotStarted(reason, fenced=True):
                self._refusal_reason = reason
                self._phase = _Phase.READING_AFTER_FENCE
                return ReadClaim()
            case NotStarted(reason):
                return self._try_another_endpoint(reason)
        self._phase = _Phase.FENCING
        self._contested_claim = self._own_claim
        return AskFence(self._own_claim.target)

    def _try_another_endpoint(self, reason: str) -> Effect:
        self._refusal_reason = reason
        return self._request_placement() if self.tries < MAX_TRIES else self._release()

    def _release(self) -> Effect:
        self._phase = _Phase.RELEASING
        return WriteClaim(replace(self._own_claim, state=ClaimState.RELEASED), self._expect)

    def _after_releasing(self, event: Event) -> Effect:
        match event:
            case FoundClaim(version, claim) if not self._is_own(claim):
                return self._continue_from(event)
            case FoundClaim(version, claim) if claim.state is ClaimState.UNKNOWN:
                # Another request recorded an unknown outcome, but this one has proof that the
                # attempt never starts, so it releases the claim.
                self._expect = version
                return self._release()
        # Without a response from the store, another request may have claimed the key meanwhile.
        covers_key = isinstance(event, Stored)
        return RefusedRun(
            ResultCode.ENDPOINT_REFUSED, self._refusal_reason, covers_key, RETRY_AFTER_S
        )

    def _after_reading_fenced(self, event: Event) -> Effect:
        match event:
            case FoundClaim(version, claim) if self._is_own(claim):
                self._expect = version
                return self._try_another_endpoint(self._refusal_reason)
            case FoundClaim():
                return self._continue_from(event)
        reason = "another request with the key took over"
        return RefusedRun(ResultCode.FENCED, reason, False, RETRY_AFTER_S)

    def _after_fencing(self, event: Event) -> Effect:
        claim = self._contested_claim
        own = self._sent and self._is_own(claim)
        match event:
            case FenceAnswer(AttemptState.FENCED):
                reason = "the endpoint's guard fenced it before it started"
                return self._try_another_endpoint(reason) if own else self._claim_again()
            case FenceAnswer(AttemptState.FINISHED, response) if response is not None:
                return self._record(claim, Ran(response, replayed=not own))
            case FenceAnswer(AttemptState.BROKEN):
                return self._record(claim, Doubtful(claim, "the endpoint's answer was lost"))
            case FenceAnswer(AttemptState.FORGOTTEN):
                return self._record(claim, Doubtful(claim, "it is too long ago"))
            case OtherIncarnation():
                return self._record(claim, Doubtful(claim, "the endpoint's guard was restarted"))
            case FenceAnswer(AttemptState.RUNNING) if not own:
                return Pending(claim)
            case TimeUp():
                return Doubtful(claim, "no outcome before the deadline")
        if own:
            return AskFence(claim.target, waiting=True)
        return Doubtful(claim, "the endpoint's guard cannot be asked now")

    def _record(self, claim: Claim, result: Ran | Doubtful) -> Effect:
        self._phase = _Phase.RECORDING
        self._result = result
        if isinstance(result, Ran):
            claim = replace(claim, state=ClaimState.FINISHED, answer=result.response)
        else:
            claim = replace(claim, state=ClaimState.UNKNOWN)
        self.unrecorded = WriteClaim(claim, self._expect)
        return self.unrecorded

    def _after_recording(self, event: Event) -> Effect:
        match event, self._result:
            case FoundClaim(version, claim), Ran() if claim.state is ClaimState.UNKNOWN:
                # Another request recorded an unknown outcome, but this one has the response and
                # records that.
                self.unrecorded = replace(self.unrecorded, expect=version)
                return self.unrecorded
            case FoundClaim(_, claim), Doubtful() if claim.state is not ClaimState.UNKNOWN:
                self.unrecorded = None
                return self._continue_from(event)
            case (Stored() | FoundClaim() | NoClaim()), _:
                self.unrecorded = None
        return self._result
