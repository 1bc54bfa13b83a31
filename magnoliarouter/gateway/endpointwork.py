"""Work at each endpoint: prompts that are being read, and tokens that are held."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.uneven import estimate_reading_s, weigh_work
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from magnoliarouter.core.work import CallWork
    from magnoliarouter.gateway.endpoints import Endpoint
    from magnoliarouter.gateway.routes import ModelProfile

__all__ = ["EndpointWork"]

# Least weight of one call in the moving means; the first calls weigh more.
MEAN_WEIGHT = 0.05
# A prompt that is longer than this multiple of the usual one is told to the other daemons.
LONG_PROMPT = 2.0
# A larger number in a message is a mistake.
MAX_TOLD_TOKENS = 10_000_000
# Other daemons' long prompts that are remembered for one endpoint; the oldest end first.
MAX_TOLD_PROMPTS = 64
# A call waits for memory that other daemons' prompts are expected to leave within this time, three
# target latencies of half a second. For later memory it does not, as it would be refused meanwhile.
MEMORY_WAIT_S = 1.5


@dataclass(slots=True)
class _Usual:
    """Moving means over this daemon's calls for one service; a long prompt counts as one of twice the usual length."""

    prompt_tokens: float = 0.0
    tokens: float = 0.0
    output_tokens: float = 0.0
    calls: int = 0

    def record(self, work: CallWork) -> int:
        """Count a call, and return by how many tokens its prompt is longer than usual, if it is."""
        self.calls += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.calls)
        self.tokens += weight * (work.tokens - self.tokens)
        self.output_tokens += weight * (work.output_tokens - self.output_tokens)
        if work.prompt_tokens <= 0:
            return 0
        if self.prompt_tokens <= 0:
            self.prompt_tokens = work.prompt_tokens
        longest = LONG_PROMPT * self.prompt_tokens
        extra = int(work.prompt_tokens - self.prompt_tokens)
        self.prompt_tokens += weight * (min(work.prompt_tokens, longest) - self.prompt_tokens)
        return extra if work.prompt_tokens > longest else 0


@dataclass(slots=True)
class EndpointWork:
    """Work of this daemon's calls and, from their number, of the other daemons' calls.

    Calls of the other daemons count as this daemon's usual ones for the service, and longer where
    those daemons say so.
    """

    _reading_until: dict[str, float] = field(default_factory=dict)
    _held: dict[str, int] = field(default_factory=dict)
    _usual: dict[str, _Usual] = field(default_factory=dict)
    _malformed: set[str] = field(default_factory=set)
    _untold: dict[str, int] = field(default_factory=dict)
    # Tokens of this daemon's calls at each endpoint, and the loop times at which they are expected to
    # end.
    _ends: dict[str, list[tuple[int, float]]] = field(default_factory=dict)
    # Tokens of other daemons' long prompts at each endpoint beyond the usual ones, and the loop times
    # at which these calls are expected to end.
    _told: dict[str, list[tuple[int, float]]] = field(default_factory=dict)

    def start(
        self, endpoint: Endpoint, profile: ModelProfile | None, work: CallWork, now: float
    ) -> None:
        """Count the work of a call that this daemon sends."""
        if work.tokens <= 0:
            return
        self._held[endpoint.identity] = self._held.get(endpoint.identity, 0) + work.tokens
        extra = self._usual.setdefault(endpoint.service, _Usual()).record(work)
        if extra > 0:
            self._untold[endpoint.identity] = self._untold.get(endpoint.identity, 0) + extra
        self._read(endpoint, profile, work.prompt_tokens, now)
        if profile is not None and profile.memory_tokens > 0:
            end = self._estimate_end(endpoint, profile, work.output_tokens, now)
            self._ends.setdefault(endpoint.identity, []).append((work.tokens, end))

    def finish(self, identity: str, work: CallWork) -> None:
        """Stop counting the work of a call that has ended."""
        left = self._held.get(identity, 0) - work.tokens
        if left > 0:
            self._held[identity] = left
        else:
            self._held.pop(identity, None)
        ends = self._ends.get(identity)
        if ends is not None:
            index = next((n for n, one in enumerate(ends) if one[0] == work.tokens), None)
            if index is not None:
                del ends[index]
            if not ends:
                del self._ends[identity]

    def unread(self, endpoint: Endpoint, profile: ModelProfile | None, work: CallWork) -> None:
        """Take back the prompt of a call that was not sent, also if it is still to be told."""
        until = self._reading_until.get(endpoint.identity)
        if profile is not None and until is not None:
            reading_s = _estimate_reading_s(endpoint, profile, work.prompt_tokens)
            self._reading_until[endpoint.identity] = until - reading_s
        self._untold.pop(endpoint.identity, None)

    def forget(self, identity: str) -> None:
        """Remove an endpoint; its calls still end."""
        self._reading_until.pop(identity, None)
        self._untold.pop(identity, None)
        self._told.pop(identity, None)

    def start_others(
        self, endpoint: Endpoint, profile: ModelProfile | None, calls: int, now: float
    ) -> None:
        """Count the prompts of calls that another daemon has sent."""
        usual = self._usual.get(endpoint.service)
        if usual is not None:
            self._read(endpoint, profile, calls * usual.prompt_tokens, now)

    def collect_extra(self) -> dict[str, int]:
        """Return the tokens by which prompts since the last call were longer than usual ones."""
        untold, self._untold = self._untold, {}
        return untold

    def read_extra(
        self, peer: str, endpoint: Endpoint, profile: ModelProfile | None, tokens: int, now: float
    ) -> None:
        """Count tokens by which another daemon's prompts were longer than usual ones.

        A number that no prompts can have is ignored, and the first one of a daemon is logged.
        """
        if 0 <= tokens <= MAX_TOLD_TOKENS:
            self._read(endpoint, profile, tokens, now)
            self._hold_extra(endpoint, profile, tokens, now)
        elif peer not in self._malformed:
            self._malformed.add(peer)
            log_event("peer_prompts_malformed", peer=peer, field="long_prompts", value=tokens)

    def _hold_extra(
        self, endpoint: Endpoint, profile: ModelProfile | None, tokens: int, now: float
    ) -> None:
        if profile is None or profile.memory_tokens <= 0 or tokens <= 0:
            return
        usual = self._usual.get(endpoint.service)
        output_tokens = usual.output_tokens if usual is not None else 0.0
        end = self._estimate_end(endpoint, profile, output_tokens, now)
        told = self._told.setdefault(endpoint.identity, [])
        told.append((tokens, end))
        del told[:-MAX_TOLD_PROMPTS]

    def _estimate_end(
        self, endpoint: Endpoint, profile: ModelProfile, output_tokens: float, now: float
    ) -> float:
        """Return when a call that was just counted is expected to end."""
        read_at = max(now, self._reading_until.get(endpoint.identity, now))
        return read_at + _estimate_step_s(endpoint, profile) * output_tokens

    def _list_told(self, identity: str, other_calls: int, now: float) -> list[tuple[int, float]]:
        """Return other daemons' long prompts that an endpoint may still hold."""
        told = self._told.get(identity)
        if told is None:
            return []
        told = [one for one in told if one[1] > now][-other_calls:] if other_calls > 0 else []
        if told:
            self._told[identity] = told
        else:
            del self._told[identity]
        return told

    def _read(
        self, endpoint: Endpoint, profile: ModelProfile | None, tokens: float, now: float
    ) -> None:
        if profile is None or tokens <= 0:
            return
        reading_s = _estimate_reading_s(endpoint, profile, tokens)
        if reading_s > 0:
            start = max(now, self._reading_until.get(endpoint.identity, now))
            self._reading_until[endpoint.identity] = start + reading_s

    def weigh(
        self,
        endpoint: Endpoint,
        profile: ModelProfile,
        work: CallWork,
        other_calls: int,
        now: float,
    ) -> float:
        """Return by how many requests an endpoint counts as more loaded for one call.

        It is infinite if this daemon's own calls leave the call no memory there, or if they and
        prompts that other daemons told do, and one of them ends soon.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        profile : ModelProfile
            Profile of its service.
        work : CallWork
            Work of the call.
        other_calls : int
            Calls of the other daemons at the endpoint.
        now : float
            Loop time in seconds.
        """
        until = self._reading_until.get(endpoint.identity)
        if until is not None and until <= now:
            del self._reading_until[endpoint.identity]
            until = None
        if until is None and profile.memory_tokens <= 0:
            return 0.0
        own = self._held.get(endpoint.identity, 0)
        told = self._list_told(endpoint.identity, other_calls, now)
        long_tokens = own + sum(tokens for tokens, _ in told)
        if long_tokens and 0 < profile.memory_tokens < long_tokens + work.tokens:
            ends = [end for _, end in (*told, *self._ends.get(endpoint.identity, ()))]
            if min(ends, default=now) <= now + MEMORY_WAIT_S:
                return math.inf
        usual = self._usual.get(endpoint.service)
        held = long_tokens + other_calls * (usual.tokens if usual else 0.0)
        return weigh_work(
            0.0 if until is None else until - now,
            profile.per_request_s * work.output_tokens,
            held,
            work.tokens,
            profile.memory_tokens,
        )


def _estimate_step_s(endpoint: Endpoint, profile: ModelProfile) -> float:
    return profile.step_s + profile.per_request_s * endpoint.slots


def _estimate_reading_s(endpoint: Endpoint, profile: ModelProfile, tokens: float) -> float:
    step_s = _estimate_step_s(endpoint, profile)
    return estimate_reading_s(
        tokens, profile.prompt_tokens_per_s, profile.prompt_chunk_tokens, step_s
    )
