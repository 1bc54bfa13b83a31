"""Loads of callers that compete for too few places, for `hardload`."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ZONES = ("zone-1", "zone-2", "zone-3")
ENDPOINTS_PER_ZONE, SLOTS = 10, 6
ACCOUNTS = tuple(f"account-{number}" for number in range(24))
READ_TOKENS_PER_S, STEP_S, STEP_PER_REQUEST_S, STEPS_PER_EVENT = 30_000.0, 0.004, 0.0002, 5
OUTPUT_TOKENS = 95


@dataclass(frozen=True)
class Kind:
    """Kind of request; times in seconds."""

    name: str
    urgency: int
    target_s: float
    patience_s: float
    prompt_tokens: int


COUNTER = Kind("counter", 0, 0.506, 8.1, 714)
LETTER = Kind("letter", 1, 0.507, 8.1, 1000)
REVIEW = Kind("review", 2, 1.007, 8.05, 827)
SCAN = Kind("scan", 1, 0.507, 8.1, 5000)
KINDS = (COUNTER, LETTER, REVIEW, SCAN)


@dataclass(frozen=True)
class Caller:
    """One call as its caller makes it at time `at`, in seconds after the start."""

    at: float
    kind: Kind
    account: str
    zone: str
    prompt_tokens: int


@dataclass(frozen=True)
class Change:
    """From `at` on, each endpoint of a zone has `slots` places; 0 evacuates the zone.

    Endpoints that return are cold for `cold_s` seconds.
    """

    at: float
    zone: str
    slots: int
    cold_s: float = 0.0


@dataclass(frozen=True)
class Load:
    """Callers in order of time, and changes of the endpoints."""

    name: str
    callers: list[Caller]
    changes: tuple[Change, ...] = ()


def hold_s(prompt_tokens: int, output_tokens: int, running: int) -> tuple[float, float]:
    """Return the seconds to the first event and to the end at an endpoint with `running` requests."""
    step_s = STEP_S + STEP_PER_REQUEST_S * running
    read_s = prompt_tokens / READ_TOKENS_PER_S
    return read_s + step_s * STEPS_PER_EVENT, read_s + step_s * output_tokens


def zone_room(kind: Kind) -> float:
    """Return how many calls per second of a kind fill the places of a zone."""
    return ENDPOINTS_PER_ZONE * SLOTS / hold_s(kind.prompt_tokens, OUTPUT_TOKENS, SLOTS)[1]


@dataclass
class Arrivals:
    """Draws callers with exponential gaps; rates are shares of the room of all zones."""

    seed: int
    callers: list[Caller] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def add(
        self,
        kind: Kind,
        share: float,
        start: float,
        end: float,
        accounts: tuple[str, ...] = ACCOUNTS,
        zones: tuple[str, ...] = ZONES,
        spread: float = 0.3,
    ) -> Arrivals:
        """Add callers of a kind that ask for `share` of the room of their zones."""
        rate, at = share * zone_room(kind) * len(zones), start
        while (at := at + self._random.expovariate(rate)) < end:
            size = kind.prompt_tokens * self._random.lognormvariate(-(spread**2) / 2, spread)
            account, zone = self._random.choice(accounts), self._random.choice(zones)
            self.callers.append(Caller(at, kind, account, zone, int(size)))
        return self

    def mix(
        self,
        share: float,
        start: float,
        end: float,
        accounts: tuple[str, ...] = ACCOUNTS,
        zones: tuple[str, ...] = ZONES,
    ) -> Arrivals:
        """Add the usual mix of kinds that asks for `share` of the room."""
        for kind, part in ((COUNTER, 0.4), (LETTER, 0.45), (REVIEW, 0.15)):
            self.add(kind, share * part, start, end, accounts, zones)
        return self

    def build(self, name: str, *changes: Change) -> Load:
        """Return the load."""
        return Load(name, sorted(self.callers, key=lambda caller: caller.at), changes)


def build_light(seed: int) -> Load:
    """Return a load of 0.4 of the room."""
    return Arrivals(seed).mix(0.4, 0.0, 6.0).build("light")


def build_kind_burst(seed: int) -> Load:
    """Return a load of one kind at twice the room for 5 s, while two others are steady."""
    arrivals = Arrivals(seed).add(COUNTER, 0.3, 0.0, 9.0).add(REVIEW, 0.3, 0.0, 9.0)
    return arrivals.add(LETTER, 0.3, 0.0, 9.0).add(LETTER, 1.7, 2.0, 7.0).build("kind burst")


def build_urgent_burst(seed: int) -> Load:
    """Return a load whose urgent kind doubles for 3 s."""
    return Arrivals(seed).mix(0.9, 0.0, 8.0).add(COUNTER, 0.36, 2.0, 5.0).build("urgent burst")


def build_large_account(seed: int) -> Load:
    """Return a load of 1.5 times the room, half of it from one account."""
    arrivals = Arrivals(seed).mix(0.75, 0.0, 8.0, ACCOUNTS[:1])
    return arrivals.mix(0.75, 0.0, 8.0, ACCOUNTS[1:]).build("large account")


def build_large_prompts(seed: int) -> Load:
    """Return a load of large prompts alone, at 1.3 times the room."""
    return Arrivals(seed).add(SCAN, 1.3, 0.0, 8.0, spread=0.5).build("large prompts")


def build_uneven_zones(seed: int) -> Load:
    """Return a load of one zone at 1.5 times its room and two at 0.6."""
    arrivals = Arrivals(seed).mix(1.5, 0.0, 8.0, zones=ZONES[:1])
    return arrivals.mix(0.6, 0.0, 8.0, zones=ZONES[1:]).build("uneven zones")


def build_turning_zones(seed: int) -> Load:
    """Return the load of uneven zones, with the busy zone changing every 6 s."""
    arrivals = Arrivals(seed)
    for zone, (start, end) in zip(ZONES, pairwise((0.0, 6.0, 12.0, 18.0)), strict=True):
        arrivals.mix(1.5, start, end, zones=(zone,))
        arrivals.mix(0.6, start, end, zones=tuple(one for one in ZONES if one != zone))
    return arrivals.build("turning zones")


def build_evacuation(seed: int) -> Load:
    """Return a load of the whole room, in which a zone is evacuated and returns cold."""
    leave, back = Change(3.0, ZONES[0], 0), Change(7.0, ZONES[0], SLOTS, cold_s=3.0)
    return Arrivals(seed).mix(0.95, 0.0, 12.0).build("evacuation", leave, back)


def build_start(seed: int) -> Load:
    """Return a load that meets daemons at their start with a second's calls at once."""
    return Arrivals(seed).mix(4.0, 0.0, 0.3).mix(0.95, 0.3, 6.0).build("start")


def build_halving(seed: int) -> Load:
    """Return a load of 0.9 of the room, in which every endpoint halves its places."""
    changes = (Change(3.0, zone, SLOTS // 2) for zone in ZONES)
    return Arrivals(seed).mix(0.9, 0.0, 8.0).build("halving", *changes)


LOADS: tuple[Callable[[int], Load], ...] = (
    build_light,
    build_kind_burst,
    build_urgent_burst,
    build_large_account,
    build_large_prompts,
    build_uneven_zones,
    build_turning_zones,
    build_evacuation,
    build_start,
    build_halving,
)
