"""Work at each endpoint: prompts that are being read, and tokens that are held."""

from __future__ import annotations

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


@dataclass(slots=True)
class _Usual:
    """Moving means over this daemon's calls for one service; long prompts count as usual ones."""

    prompt_tokens: float = 0.0
    tokens: float = 0.0
    calls: int = 0

    def record(self, work: CallWork) -> int:
        """Count a call, and return by how many tokens its prompt is longer than usual, if it is."""
        self.calls += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.calls)
        self.tokens += weight * (work.tokens - self.tokens)
        extra = int(work.prompt_tokens - self.prompt_tokens)
        if self.calls > 1 and work.prompt_tokens > LONG_PROMPT * self.prompt_tokens:
            return extra
        self.prompt_tokens += weight * extra
        return 0


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

    def finish(self, identity: str, work: CallWork) -> None:
        """Stop counting the work of a call that has ended."""
        left = self._held.get(identity, 0) - work.tokens
        if left > 0:
            self._held[identity] = left
        else:
            self._held.pop(identity, None)

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
        elif peer not in self._malformed:
            self._malformed.add(peer)
            log_event("peer_prompts_malformed", peer=peer, field="long_prompts", value=tokens)

    def _read(
        self, endpoint: Endpoint, profile: ModelProfile | None, tokens: float, now: float
    ) -> None:
        if profile is None or tokens <= 0:
            return
        step_s = profile.step_s + profile.per_request_s * endpoint.slots
        reading_s = estimate_reading_s(
            tokens, profile.prompt_tokens_per_s, profile.prompt_chunk_tokens, step_s
        )
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
        usual = self._usual.get(endpoint.service)
        held = self._held.get(endpoint.identity, 0) + other_calls * (usual.tokens if usual else 0.0)
        return weigh_work(
            0.0 if until is None else until - now,
            profile.per_request_s * work.output_tokens,
            held,
            work.tokens,
            profile.memory_tokens,
        )
