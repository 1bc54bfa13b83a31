"""Model of a group of ranks that step together under load, for tests of limits by the steps' length.

Time passes step by step of the group; every daemon knows the loads at the ranks as of some time ago,
and the gaps of its own streams. ``python -m magnoliarouter.tests.pacemodel`` prints a table.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import deque
from dataclasses import astuple, dataclass, field
from enum import Enum

from magnoliarouter.core.pace import StepCosts
from magnoliarouter.gateway.grouppace import GroupPace
from magnoliarouter.gateway.pauses import EventGapMeter, limit_requests

RANKS, SLOTS, EVENTS = 63, 5, 19
COSTS = StepCosts(0.00455, 0.00218, 5)
PROMPT_TOKENS, TOKENS_PER_S = 830, 61_400.0
EXPERT_SHARE = 0.85
MAX_GAP_S, MAX_WAIT_S = 0.15, 0.5
# Work at the most loaded rank, relative to the mean, with a map that follows demand and one that does not.
EVEN_SKEW, SHIFTED_SKEW, COPY_FACTOR = 1.3, 3.1, 1.15
SHIFTED_S = 0.5
# Age of what daemons know of each other's calls, and time in which daemons take free places in turn.
LAG_S, MIN_TURN_S, TURN_PER_DAEMON_S, MAX_QUEUED = 0.002, 0.005, 0.003, 8
# Mean seconds of a call with all slots taken and an even map, from which the group's room follows.
FULL_CALL_S = 2.0


class Rule(Enum):
    """What limits the requests at a rank besides its slots."""

    NONE = "none"
    LAST_GAP = "last gap"
    WORST_STEP = "worst step"


@dataclass(frozen=True, slots=True)
class Trouble:
    """What makes steps longer: shifts of demand at times, and a rank that is slow."""

    shift_every_s: float = 0.0
    slow_pace: float = 1.0

    def skew_at(self, now: float) -> float:
        """Return the load of the most loaded rank relative to the mean."""
        if self.shift_every_s and now > 2.0 and now % self.shift_every_s < SHIFTED_S:
            return SHIFTED_SKEW
        return EVEN_SKEW


@dataclass(eq=False, slots=True)
class Stream:
    """One call, from its arrival to its last event."""

    daemon: int
    arrived: float
    rank: int = -1
    events: int = 0
    first_s: float = 0.0
    longest_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of the calls that were served on time, late by a pause or else by their start, or refused."""

    on_time: float
    late_by_pause: float
    late_by_start: float
    refused: float


class Daemon:
    """Limits and queue of one daemon."""

    def __init__(self, model: PaceModel) -> None:
        self.queue: deque[Stream] = deque()
        self.placed: deque[tuple[float, int]] = deque()
        self.meter = EventGapMeter(lambda: model.now, lambda name: "g", self._record)
        self.pace = GroupPace(lambda group: sum(model.known_loads()) / RANKS)
        self._model = model

    def _record(self, identity: str, group: str, gap_s: float) -> None:
        self.pace.record(group, gap_s, COSTS, MAX_GAP_S, self._model.now)

    def read_loads(self) -> list[int]:
        """Return the loads at the ranks, with this daemon's own latest calls."""
        known = list(self._model.known_loads())
        while self.placed and self.placed[0][0] <= self._model.now - LAG_S:
            self.placed.popleft()
        for _, rank in self.placed:
            known[rank] += 1
        return known

    def limit_of(self, rank: int) -> int:
        """Return how many requests a rank may have."""
        match self._model.rule:
            case Rule.LAST_GAP:
                return limit_requests(SLOTS, self.meter.mean_gap("g"), MAX_GAP_S)
            case Rule.WORST_STEP:
                now = self._model.now
                return self.pace.limit_requests("g", f"r{rank}", SLOTS, COSTS, MAX_GAP_S, now)
        return SLOTS


@dataclass
class PaceModel:
    """Plays one load; `streams` holds the calls that were served, `refused` when others arrived."""

    load: float
    rule: Rule
    trouble: Trouble = Trouble()
    daemon_count: int = 17
    seed: int = 1
    seconds: float = 30.0
    now: float = 0.0
    streams: list[Stream] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    gaps: list[tuple[float, float, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._loads = [0] * RANKS
        self._history: deque[tuple[float, list[int]]] = deque([(0.0, list(self._loads))])
        self._running: list[Stream] = []
        self._daemons = [Daemon(self) for _ in range(self.daemon_count)]

    def play(self) -> PaceModel:
        """Play the load, and let all calls end."""
        rate = self.load * RANKS * SLOTS / FULL_CALL_S
        arrival = self._random.expovariate(rate)
        while self.now < self.seconds or self._running:
            begun = [stream for stream in self._running if not stream.events]
            gap_s = self._measure_step_s(len(begun))
            end = self.now + gap_s
            turns = [(self._draw_turn(), number) for number in range(self.daemon_count)]
            heapq.heapify(turns)
            while min(arrival, turns[0][0]) < end and self.now < self.seconds:
                if arrival < turns[0][0]:
                    self.now = arrival
                    self._arrive()
                    arrival += self._random.expovariate(rate)
                else:
                    self.now, number = turns[0]
                    queue = self._daemons[number].queue
                    if queue and self._place(queue[0]):
                        queue.popleft()
                    heapq.heapreplace(turns, (self._draw_turn(), number))
            self.now = end
            self._end_step(gap_s)
        return self

    def known_loads(self) -> list[int]:
        """Return the loads at the ranks as all daemons know them."""
        while len(self._history) > 1 and self._history[1][0] <= self.now - LAG_S:
            self._history.popleft()
        return self._history[0][1]

    def describe(self, since: float = 0.0) -> Shares:
        """Return what became of the calls that arrived from a time on."""
        streams = [stream for stream in self.streams if stream.arrived >= since]
        pauses = sum(stream.longest_s > MAX_GAP_S for stream in streams)
        starts = sum(
            stream.first_s > MAX_WAIT_S and stream.longest_s <= MAX_GAP_S for stream in streams
        )
        refused = sum(at >= since for at in self.refused)
        total = max(1, len(streams) + refused)
        on_time = len(streams) - pauses - starts
        return Shares(on_time / total, pauses / total, starts / total, refused / total)

    def _measure_step_s(self, prompts: int) -> float:
        """Return the length of the steps of one event, in which new prompts are read as well."""
        skew, mean = self.trouble.skew_at(self.now), len(self._running) / RANKS
        own = max(
            self._loads[0] * self.trouble.slow_pace,
            *self._loads[1:],
        )
        requests = (1 - EXPERT_SHARE) * own + EXPERT_SHARE * mean * skew
        reading_s = PROMPT_TOKENS / TOKENS_PER_S
        read_s = reading_s * (
            (1 - EXPERT_SHARE) * min(prompts, 2) + EXPERT_SHARE * skew * prompts / RANKS
        )
        copying = COPY_FACTOR if skew == SHIFTED_SKEW else 1.0
        return copying * (COSTS.expect_gap_s(requests) + read_s)

    def _arrive(self) -> None:
        stream = Stream(self._random.randrange(self.daemon_count), self.now)
        queue = self._daemons[stream.daemon].queue
        if not queue and self._place(stream):
            return
        if len(queue) < MAX_QUEUED:
            queue.append(stream)
        else:
            self.refused.append(stream.arrived)

    def _place(self, stream: Stream) -> bool:
        daemon = self._daemons[stream.daemon]
        known = daemon.read_loads()
        order = sorted(range(RANKS), key=lambda rank: known[rank] + self._random.random() * 0.5)
        for rank in order[:2]:
            if known[rank] < daemon.limit_of(rank) and self._loads[rank] < SLOTS:
                stream.rank = rank
                self._loads[rank] += 1
                daemon.placed.append((self.now, rank))
                self._history.append((self.now, list(self._loads)))
                self._running.append(stream)
                return True
        return False

    def _end_step(self, gap_s: float) -> None:
        ended = set()
        for stream in self._running:
            stream.events += 1
            if stream.events == 1:
                stream.first_s = self.now - stream.arrived
            else:
                stream.longest_s = max(stream.longest_s, gap_s)
                self._daemons[stream.daemon].meter.record("r", gap_s)
            if stream.events >= EVENTS:
                self._loads[stream.rank] -= 1
                ended.add(stream)
        self.gaps.append((self.now, gap_s, len(self._running) / RANKS))
        if ended:
            self.streams.extend(ended)
            self._running = [stream for stream in self._running if stream not in ended]
            self._history.append((self.now, list(self._loads)))
        for daemon in self._daemons:
            while daemon.queue and self.now - daemon.queue[0].arrived > MAX_WAIT_S:
                self.refused.append(daemon.queue.popleft().arrived)

    def _draw_turn(self) -> float:
        """Return when a daemon next looks for a free place for its first waiting call."""
        span = TURN_PER_DAEMON_S * self.daemon_count
        return self.now + MIN_TURN_S + span * self._random.random()


TROUBLES = {
    "none": Trouble(),
    "slow rank": Trouble(slow_pace=2.0),
    "one shift": Trouble(shift_every_s=16.0),
    "shifts": Trouble(shift_every_s=2.5),
}


def main() -> int:
    """Print the shares on time, late by a pause, late by the start and refused."""
    print("| trouble | load | daemons | " + " | ".join(rule.value for rule in Rule) + " |")
    print("|---|---|---|" + "---|" * len(Rule))
    for name, trouble in TROUBLES.items():
        for load in (0.8, 1.0, 1.3, 2.0):
            for daemons in (17, 98):
                plays = [PaceModel(load, rule, trouble, daemons).play() for rule in Rule]
                shares = (astuple(play.describe()) for play in plays)
                cells = (" ".join(f"{share:.2f}" for share in four) for four in shares)
                print(f"| {name} | {load} | {daemons} | " + " | ".join(cells) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
