"""Detects endpoints that crash on a prompt or a request, and exchanges reports of it.

One daemon sees few of the crashes, and the requests that crash endpoints come at any daemon. Each
daemon therefore reports to the others which requests were at an endpoint that crashed, and which of
the parts in their reports it has seen answers on.
"""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from magnoliarouter.core.crashes import (
    ANSWERED_S,
    CrashLedger,
    CrashReport,
    RecentParts,
    names_request,
)
from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.gateway.attempt import ANSWERED_EVENTS
from magnoliarouter.gateway.peers import CrashUpdate
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from magnoliarouter.gateway.attempt import CallProgress, FailedAttempt
    from magnoliarouter.gateway.call import GatewayCall
    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.quarantine import Quarantine

__all__ = ["CrashWatch"]

# A connection that ends after a longer silence was cut by an endpoint that runs, whose group was
# stalled.
MAX_SILENCE_S = 1.2
# The kernel closes the sockets of a process that ends one after the other.
CONFIRM_DELAY_S = 0.05
# A host that does not respond is out of reach. The calls wait to be sent elsewhere meanwhile.
CHECK_TIMEOUT_S = 0.2
# Calls that were broken off within this time share the result of one check: an endpoint takes
# longer to start.
CRASH_SHARED_S = 0.2
# Time for the other daemons to reply with the parts that they have seen answers on.
SETTLE_S = 0.2
# Time after a report during which causes are looked for.
RECONSIDER_S = 10.0
# Daemons delay their replies by up to this time, and do not reply once another daemon has. Long
# delays are more probable than short ones, by this exponent, so that few daemons reply, however many
# could.
MAX_REPLY_DELAY_S = 0.15
REPLY_DELAY_EXPONENT = 10.0
# A reply of another daemon within this time makes one of this daemon needless.
PEER_REPLY_S = 1.0
# A report is sent this often, since datagrams may be lost, at intervals of at least this.
UPDATE_REPEATS = 5
UPDATE_INTERVAL_S = 0.2
# Limits of one message.
MAX_UPDATE_ITEMS = 8
MAX_REPORTED_PARTS = 32
# Until then the operator may have replaced the endpoints' software; callers shorten it to what they
# accept.
QUARANTINE_RETRY_AFTER_S = 60.0

_Start: TypeAlias = tuple[str, int]


@dataclass(slots=True)
class _OutgoingItem:
    value: CrashReport | str
    sends: int = 0


class CrashWatch:
    """Crashes of endpoints, and what they have in common.

    Parameters
    ----------
    quarantine : Quarantine
        Receives the parts that crash endpoints.
    is_refused : callable
        Coroutine function that returns whether an address refuses connections.
    clock : callable
        Loop time in seconds.
    on_found : callable
        Called with the set of parts that was added to the quarantine.
    on_answered : callable
        Called with a set of parts in quarantine on which an answer was written.
    on_crash : callable
        Called with each report of this daemon that the updates may not bring to all others, or that
        names parts which many requests share.
    on_update : callable
        Called when there is an update for the other daemons.
    count_daemons : callable
        Returns how many daemons are in contact, this one included.
    reaches_all : callable
        Returns whether updates reach all other daemons.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        is_refused: Callable[[str], Awaitable[bool]],
        clock: Callable[[], float],
        on_found: Callable[[frozenset[str]], None] = lambda cause: None,
        on_answered: Callable[[frozenset[str]], None] = lambda cause: None,
        on_crash: Callable[[CrashReport], None] = lambda report: None,
        on_update: Callable[[], None] = lambda: None,
        count_daemons: Callable[[], int] = lambda: 1,
        reaches_all: Callable[[], bool] = lambda: True,
    ) -> None:
        self.quarantine = quarantine
        self._is_refused = is_refused
        self._clock = clock
        self._on_found = on_found
        self._on_answered = on_answered
        self._on_crash = on_crash
        self._on_update = on_update
        self._reaches_all = reaches_all
        self._ledger = CrashLedger(count_daemons)
        # Parts on which this daemon itself has seen answers. What others have seen is not passed
        # on, so that it grows old.
        self._own_answered = RecentParts()
        self._peer_answered = RecentParts()
        self._checks: dict[_Start, asyncio.Task[bool]] = {}
        self._outgoing: list[_OutgoingItem] = []
        self._update_sent_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._reported_at = float("-inf")
        self._undecided = 0

    def find_refusal(self, call: GatewayCall) -> NotRun | None:
        """Return why a call may not be sent because it may crash its endpoint, or None."""
        parts = call.list_parts()
        if parts and not self.quarantine.is_loaded():
            reason = "this daemon does not know yet which requests crash endpoints"
            return NotRun(ResultCode.CONFIGURATION_MISSING, reason)
        cause = self.quarantine.find(parts)
        if cause is None:
            wait_s = self._ledger.find_cooldown(call.fingerprint, self._clock())
            if not wait_s:
                return None
            reason = "this request was at endpoints that crashed"
            return NotRun(ResultCode.REQUEST_HELD_BACK, reason, wait_s)
        if any(map(names_request, cause)):
            reason = "this request crashes endpoints"
            return NotRun(ResultCode.REQUEST_QUARANTINED, reason, QUARANTINE_RETRY_AFTER_S)
        reason = f"prompts with {', '.join(sorted(cause))} crash endpoints"
        return NotRun(ResultCode.PROMPT_QUARANTINED, reason, QUARANTINE_RETRY_AFTER_S)

    def record_prompt(self, call: GatewayCall) -> None:
        """Record the prompt of a call, so that the common parts of prompts are known."""
        if call.headers.prompt_parts:
            self._ledger.record_prompt(call.headers.prompt_parts, call.service)

    def record_answer(self, call: GatewayCall) -> None:
        """Record that an endpoint wrote an answer on a call."""
        parts, now = call.list_parts(), self._clock()
        self._ledger.count_answer(call.service)
        self._own_answered.record(parts, now)
        self._ledger.record_answered(parts, now)
        cause = self.quarantine.find(parts)
        if cause is not None:
            log_event(
                "prompt_answered", parts=sorted(cause), request_id=_name(call), important=True
            )
            self.release(cause)
            self._on_answered(cause)

    def has_answered(self, cause: frozenset[str]) -> bool:
        """Return whether this daemon lately saw answers on all parts, or on the request, of a set."""
        since = self._clock() - ANSWERED_S
        parts = list(filter(names_request, cause)) or cause
        return all(self._own_answered.was_seen(part, since) for part in parts)

    def list_endpoints(self, cause: frozenset[str]) -> list[str]:
        """Return the endpoints that crashed on a prompt with all parts of a set."""
        return self._ledger.list_endpoints(cause)

    def release(self, cause: frozenset[str]) -> None:
        """Take parts out of the quarantine, and forget the crashes that they were found by."""
        self._ledger.forget(cause)
        if self.quarantine.remove(cause):
            log_event("prompt_released", parts=sorted(cause), important=True)

    async def examine(
        self,
        call: GatewayCall,
        endpoint: Endpoint,
        progress: CallProgress,
        failed: FailedAttempt,
        others: int = 0,
    ) -> bool:
        """Return whether an endpoint crashed and the call should not be sent to another.

        That is so if the endpoint was beginning to answer a prompt that may be the cause, if no
        other request was there, or if the same request was at an endpoint that crashed before.

        Parameters
        ----------
        call : GatewayCall
            Call whose attempt failed.
        endpoint : Endpoint
            Endpoint of the attempt.
        progress, failed : CallProgress, FailedAttempt
            How far the attempt came, and how it failed.
        others : int
            Other requests at the endpoint.
        """
        now = self._clock()
        if not failed.broken_off or progress.splitter.received >= ANSWERED_EVENTS:
            return False
        suspects = self._ledger.list_unproven(call.list_suspects(), now)
        # A response that is no stream comes at once, after any time.
        is_cut = call.route.kind is RouteKind.STREAM and now - progress.received_at > MAX_SILENCE_S
        if not suspects or is_cut:
            return False
        began = progress.began
        if not await self._has_crashed(endpoint):
            return False
        prompts = frozenset([frozenset(sorted(suspects)[:MAX_REPORTED_PARTS])])
        report = CrashReport(
            endpoint.identity,
            endpoint.started_ms,
            prompts if began else frozenset(),
            frozenset() if began else prompts,
            endpoint.service,
            endpoint.software,
        )
        log_event(
            "crash_seen",
            request_id=_name(call),
            endpoint=endpoint.identity,
            began=began,
            others=others,
            route=call.route.name,
            parts=sorted(suspects),
            important=True,
        )
        self.apply_report(report)
        self._queue_items([report])
        if not all(map(names_request, suspects)) or not self._reaches_all():
            self._on_crash(report)
        if call.fingerprint not in suspects:
            return began
        return began or not others or self._ledger.count_crashes(call.fingerprint) > 1

    def apply_update(self, peer: str, update: CrashUpdate) -> None:
        """Apply an update of another daemon, and reply with the parts that this one saw answers on."""
        now = self._clock()
        self._ledger.record_answered(update.answered, now)
        self._peer_answered.record(update.answered, now)
        answered: set[str] = set()
        for report in update.reports:
            if not self.apply_report(report):
                continue
            parts = frozenset().union(*report.began, *report.waiting)
            answered |= {
                part for part in parts if self._own_answered.was_seen(part, now - ANSWERED_S)
            }
            log_event(
                "crash_reported",
                peer=peer,
                endpoint=report.endpoint,
                began=[sorted(prompt) for prompt in report.began],
                waiting=[sorted(prompt) for prompt in report.waiting],
                answered=sorted(answered),
            )
        if answered:
            loop = asyncio.get_running_loop()
            loop.call_later(_draw_reply_delay(), self._send_answered, sorted(answered))

    def apply_report(self, report: CrashReport, is_recent: bool = True) -> bool:
        """Apply what a daemon saw of a crash, and return whether it adds anything.

        Parameters
        ----------
        report : CrashReport
            What it saw.
        is_recent : bool
            Whether the crash has just happened.
        """
        is_new = self._ledger.record(report, self._clock(), is_recent)
        if is_new:
            self._reported_at = self._clock()
            self._schedule_decision()
            asyncio.get_running_loop().call_later(SETTLE_S, self._find_causes)
        return is_new

    def collect_update(self) -> CrashUpdate | None:
        """Return the update for the next message to the other daemons, or None."""
        now = self._clock()
        if not self._outgoing or now - self._update_sent_at < UPDATE_INTERVAL_S:
            return None
        self._update_sent_at = now
        sent = self._outgoing[:MAX_UPDATE_ITEMS]
        for one in sent:
            one.sends += 1
        # The others come first the next time.
        self._outgoing = self._outgoing[MAX_UPDATE_ITEMS:] + [
            one for one in sent if one.sends < UPDATE_REPEATS
        ]
        return CrashUpdate(
            [one.value for one in sent if isinstance(one.value, CrashReport)],
            [one.value for one in sent if isinstance(one.value, str)],
        )

    def _send_answered(self, parts: list[str]) -> None:
        """Reply with parts that this daemon saw answers on, unless another daemon just has."""
        since = self._clock() - PEER_REPLY_S
        self._queue_items([part for part in parts if not self._peer_answered.was_seen(part, since)])

    async def _has_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that broke off a response refuses connections."""
        start = (endpoint.identity, endpoint.started_ms)
        check = self._checks.get(start)
        if check is None:
            loop = asyncio.get_running_loop()
            check = loop.create_task(self._check(endpoint.address))
            self._checks[start] = check
            loop.call_later(CRASH_SHARED_S, self._checks.pop, start)
        # The check serves all calls that the endpoint broke off, also if one of them is cancelled.
        return await asyncio.shield(check)

    async def _check(self, address: str) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                if await self._is_refused(address):
                    return True
                await asyncio.sleep(CONFIRM_DELAY_S)
                return await self._is_refused(address)
        except TimeoutError:
            log_event("crash_unconfirmed", address=address, seconds=CHECK_TIMEOUT_S)
            return False

    def _schedule_decision(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SETTLE_S, self._decide)

    def _decide(self) -> None:
        """Look for causes, repeatedly, since later prompts show which parts are common."""
        self._timer = None
        if self._clock() - self._reported_at < RECONSIDER_S:
            self._schedule_decision()
        self._find_causes()

    def _find_causes(self) -> None:
        # Timers may fire slightly early.
        causes = self._ledger.find_causes(self._clock(), 0.9 * SETTLE_S)
        if not causes and len(self._ledger) != self._undecided:
            self._undecided = len(self._ledger)
            log_event("crash_cause_unknown", crashes=self._undecided)
        for cause in causes:
            software = self._ledger.list_software(cause)
            if self.quarantine.find(cause) is None and self.quarantine.add(cause, software):
                log_event(
                    "prompt_quarantined",
                    parts=sorted(cause),
                    endpoints=self.list_endpoints(cause),
                    software=sorted(software),
                    important=True,
                )
                self._on_found(cause)

    def _queue_items(self, values: Iterable[CrashReport | str]) -> None:
        known = {one.value for one in self._outgoing}
        added = [_OutgoingItem(value) for value in values if value not in known]
        if added:
            self._outgoing += added
            self._on_update()


def _draw_reply_delay() -> float:
    """Return a random delay in seconds, with a density that grows exponentially."""
    scale = math.expm1(REPLY_DELAY_EXPONENT) * random.random()
    return MAX_REPLY_DELAY_S / REPLY_DELAY_EXPONENT * math.log1p(scale)


def _name(call: GatewayCall) -> str:
    return call.headers.request_id.decode("latin-1")
