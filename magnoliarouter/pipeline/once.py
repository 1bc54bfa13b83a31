"""Runs calls at most once per idempotency key.

`core.claims` decides the steps; this module performs them.
"""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from magnoliarouter.core.claims import ClaimRun
from magnoliarouter.core.claimsteps import (
    AskFence,
    Doubtful,
    NoTarget,
    Pending,
    PlaceAttempt,
    Placed,
    Ran,
    ReadClaim,
    RefusedRun,
    SendAttempt,
    StoreDoubt,
    StoreDown,
    Target,
    TimeUp,
    WriteClaim,
)
from magnoliarouter.core.codes import status_of
from magnoliarouter.core.outcome import Completed, NotRun, ResultCode, Unknown
from magnoliarouter.core.placement import Chosen
from magnoliarouter.store.claims import build_claim_key
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.exchange import error_body

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from magnoliarouter.core.claimsteps import Claim, Effect, Event, Result
    from magnoliarouter.core.outcome import Outcome
    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.pipeline.guards import GuardClient
    from magnoliarouter.pipeline.place import Placement
    from magnoliarouter.store.claims import ClaimStore
    from magnoliarouter.store.objects import EndpointSpec
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["AtMostOnceCalls", "AtMostOnceResponse"]

NOT_RUN_SCOPE_HEADER = "x-not-run-scope"
REPLAYED_HEADER = "idempotency-replayed"
DIGEST_HEADER = "x-outcome-digest"
BODY_OMITTED_HEADER = "x-outcome-body"
JSON_TYPE = "application/json"
RETRY_AFTER_S = 1
FENCE_GRACE_S = 0.2
POLL_INTERVAL_S = 0.1
RECORD_TIMEOUT_S = 1.0
RECORD_RETRY_INTERVAL_S = 1.0
MAX_RECORD_RETRIES = 120
SHUTDOWN_RECORD_TIMEOUT_S = 3.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class AtMostOnceResponse:
    """Response to the caller.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the call.
    status : int
        HTTP status.
    headers : dict of str to str
        Header fields.
    body : bytes
        Body.
    endpoint : str
        Endpoint that produced the response; empty if none.
    """

    outcome: Outcome
    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: str = ""


class AtMostOnceCalls:
    """Runs calls with an idempotency key at most once.

    Parameters
    ----------
    claims : ClaimStore
        Claims stored in the platform.
    guards : GuardClient
        Client of the guards.
    placement : Placement
        Chooses endpoints.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(
        self,
        claims: ClaimStore,
        guards: GuardClient,
        placement: Placement,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._claims = claims
        self._guards = guards
        self._placement = placement
        self._clock = clock
        self._call_tasks: set[asyncio.Task[AtMostOnceResponse]] = set()
        self._record_tasks: set[asyncio.Task[None]] = set()
        self.steps = metrics.add_counter("claim_steps", "Steps of claims", "step", "result")
        self.results = metrics.add_counter("claim_results", "Results of claims", "result")

    async def run(self, call: Call) -> AtMostOnceResponse:
        """Run a call at most once and return the response for the caller.

        The call continues to its outcome even if this coroutine is cancelled.
        """
        return await asyncio.shield(_spawn(self._run(call), self._call_tasks))

    async def wait_until_idle(self) -> None:
        """Wait until no call is in progress, then for a limited time until outcomes are stored.

        An outcome that is not stored remains at the guard, where a repeat of the call finds it.
        """
        while self._call_tasks:
            await asyncio.wait(self._call_tasks)
        if self._record_tasks:
            await asyncio.wait(self._record_tasks, timeout=SHUTDOWN_RECORD_TIMEOUT_S)
        for task in self._record_tasks:
            task.cancel()

    async def _run(self, call: Call) -> AtMostOnceResponse:
        key = build_claim_key(
            call.contract.customer, call.work.idempotency_key, call.method, call.path, call.body
        )
        run = ClaimRun(key)
        tried: set[str] = set()
        effect = run.start()
        while not isinstance(effect, Ran | RefusedRun | Pending | Doubtful):
            event = await self._perform(effect, call, run, tried)
            self.steps.labels(type(effect).__name__, type(event).__name__).inc()
            effect = run.step(event)
        if run.unrecorded is not None:
            _spawn(self._record_later(run.unrecorded), self._record_tasks)
        return self._respond(effect)

    async def _perform(self, effect: Effect, call: Call, run: ClaimRun, tried: set[str]) -> Event:
        match effect:
            case PlaceAttempt():
                return await self._place_attempt(call, tried)
            case WriteClaim() if effect is run.unrecorded:
                return await self._record(effect)
            case WriteClaim():
                return await self._claims.write(effect)
            case ReadClaim():
                return await self._claims.read(run.key)
            case SendAttempt(target):
                return await self._send(call, target)
            case AskFence(target, waiting):
                return await self._request_fence(call, target, waiting)
        raise AssertionError(effect)

    async def _place_attempt(self, call: Call, tried: set[str]) -> Placed | NoTarget:
        while (spec := self._find_endpoint(call, tried)) is not None:
            tried.add(spec.name)
            not_after = await self._guards.find_start_deadline(spec)
            if not_after is not None:
                target = Target(
                    uuid.uuid4().hex, spec.name, spec.address, spec.incarnation, not_after
                )
                return Placed(target)
        return NoTarget()

    def _find_endpoint(self, call: Call, tried: set[str]) -> EndpointSpec | None:
        choice = self._placement.place(call, tried)
        return self._placement.find(choice.name) if isinstance(choice, Chosen) else None

    async def _send(self, call: Call, target: Target) -> Event:
        spec = self._placement.find(target.endpoint)
        if spec is None:
            return await self._guards.send(call, target)
        with self._placement.track(spec, call):
            return await self._guards.send(call, target)

    async def _request_fence(self, call: Call, target: Target, waiting: bool) -> Event:
        if not waiting:
            # The attempt, of this or another request, may still be on its way to the guard. Fencing it
            # at once would prevent a run that is about to start.
            await asyncio.sleep(FENCE_GRACE_S)
            return await self._guards.fence(target)
        if self._clock() >= call.deadline:
            return TimeUp()
        await asyncio.sleep(POLL_INTERVAL_S)
        return await self._guards.fence(target)

    async def _record(self, write: WriteClaim) -> Event:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                return await self._claims.write(write)
        return StoreDoubt()

    async def _record_later(self, write: WriteClaim) -> None:
        for _ in range(MAX_RECORD_RETRIES):
            await asyncio.sleep(RECORD_RETRY_INTERVAL_S)
            event = await self._claims.write(write)
            if not isinstance(event, StoreDoubt | StoreDown):
                return
        log_event("outcome_not_stored", customer=write.claim.key.customer)

    def _respond(self, result: Result) -> AtMostOnceResponse:
        self.results.labels(type(result).__name__).inc()
        match result:
            case Ran():
                return _build_response(result)
            case RefusedRun(code, reason, covers_key, retry_after):
                headers = {NOT_RUN_SCOPE_HEADER: "key" if covers_key else "request"}
                return _build_error_response(NotRun(code, reason, retry_after), headers)
            case Pending(claim):
                reason = f"a request with this key is in progress; {_describe_claim(claim)}"
                return _build_error_response(
                    Unknown(ResultCode.IN_PROGRESS, reason), _retry_headers()
                )
            case Doubtful(claim, reason):
                reason = f"{reason}; {_describe_claim(claim)}"
                return _build_error_response(
                    Unknown(ResultCode.OUTCOME_UNKNOWN, reason), _retry_headers()
                )


def _spawn(work: Coroutine[Any, Any, T], tasks: set[asyncio.Task[T]]) -> asyncio.Task[T]:
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


def _describe_claim(claim: Claim) -> str:
    target = claim.target
    return (
        f"claim: attempt {target.attempt}, endpoint {target.endpoint}, "
        f"incarnation {target.incarnation}, state {claim.state.value}"
    )


def _retry_headers() -> dict[str, str]:
    return {"Retry-After": str(RETRY_AFTER_S)}


def _build_response(result: Ran) -> AtMostOnceResponse:
    response = result.response
    headers = {"Content-Type": response.content_type, DIGEST_HEADER: response.digest}
    code = ResultCode.OK
    if result.replayed:
        headers[REPLAYED_HEADER] = "true"
        code = ResultCode.REPLAYED
    body = response.body
    if body is None:
        headers |= {BODY_OMITTED_HEADER: "omitted", "Content-Type": JSON_TYPE}
        body = msgspec.json.encode({"digest": response.digest, "size": response.size})
    return AtMostOnceResponse(Completed(code, response.status), response.status, headers, body)


def _build_error_response(outcome: NotRun | Unknown, headers: dict[str, str]) -> AtMostOnceResponse:
    tag = "not_run" if isinstance(outcome, NotRun) else "unknown"
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        headers["Retry-After"] = str(max(RETRY_AFTER_S, round(outcome.retry_after)))
    body = error_body(outcome.code, tag, outcome.reason)
    return AtMostOnceResponse(
        outcome, status_of(outcome.code), {"Content-Type": JSON_TYPE, **headers}, body
    )
