"""Model of one group of ranks under faults, for tests of the map switch.

Sent messages are never removed and may be delivered in any order, any number of times or not at
all, so that loss, duplication and reordering need no separate actions. A paused process is one
whose actions are not chosen for some time.
"""

from __future__ import annotations

import random

from magnoliarouter.core import mapcontrol, mapstate, mapswitch
from magnoliarouter.core.mapmessages import Greeting, Report, Reset, Schedule
from magnoliarouter.core.mapstate import MapRecord, Phase, Send, Store, StoreOutcome, SwitchSettings
from magnoliarouter.core.mapswitch import Grant, RankState

SWITCH_SETTINGS = SwitchSettings(
    prepare_seconds=8.0, arm_seconds=8.0, margin_steps=1, reset_seconds=3.0
)
RECENT_MESSAGES = 8
ACTIONS = (
    "order", "report", "answer", "step", "load", "greet", "store", "switch", "tick", "record",
    "restart", "controller",
)  # fmt: skip
COMMIT_RESULT_MIXES = (
    ("ok",),
    ("ok", "ok", "lost", "dropped", "refused"),
    ("lost", "dropped", "refused"),
)
COMMIT_RESULT_BY_PHASE = {Phase.COMMIT_WRITE: "held", Phase.CONFIRM: "refused"}
WRITE_RESULTS = ("ok",) * 8 + ("lost", "dropped", "refused")
ACTION_WEIGHTS = (30, 30, 6, 6, 8, 6, 8, 6, 4, 2)


class MixedVersionsError(AssertionError):
    """Two ranks used different map versions in one step."""


class GroupModel:
    """Ranks, controllers, the map record in the platform, and the messages between them."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.size = size
        self.rank_starts = 0
        self.now = 0.0
        self.record = MapRecord(0, Schedule(1), 1, 0, ((1, "one"),))
        self.record_version = 1
        self.platform_up = True
        self.ranks = [self._create_rank(rank) for rank in range(size)]
        self.next_steps = [0] * size
        self.controllers: list[mapstate.ControllerState] = []
        self.orders: list[tuple[int, int, object]] = []
        self.reports: list[tuple[int, Report]] = []
        self.responses: list[tuple[int, Report]] = []
        self.pending_stores: list[tuple[int, Store]] = []
        self.version_by_step: dict[tuple[tuple[str, ...], int], int] = {}
        self.switches = 0
        # Each seed has its own weights of faults; a weight of 0 excludes that kind of fault.
        faults = (self.random.choice((0, 0.3, 1.0)), self.random.choice((0, 0.3, 1.0, 3.0)))
        self.weights = (*ACTION_WEIGHTS, *faults)
        self.commit_results = self.random.choice(COMMIT_RESULT_MIXES)

    def _create_rank(self, rank: int) -> RankState:
        self.rank_starts += 1
        return RankState(rank, self.size, f"i{self.rank_starts}", loaded=frozenset((1,)))

    def start_controller(self) -> None:
        state, effects = mapcontrol.start_controller(
            self.size, self.record, self.record_version, self.now, SWITCH_SETTINGS
        )
        self.controllers.append(state)
        self._apply_effects(len(self.controllers) - 1, effects)

    def _apply_effects(self, number: int, effects: list) -> None:
        for effect in effects:
            match effect:
                case Send(rank, order):
                    self.orders.append((number, rank, order))
                case Store():
                    self.pending_stores.append((number, effect))

    def _apply_transition(self, number: int, transition: tuple) -> None:
        self.controllers[number], effects = transition
        self._apply_effects(number, effects)

    def deliver_order(self, number: int, rank: int, order: object) -> None:
        state = self.ranks[rank]
        if isinstance(order, Reset):
            if order.incarnation == state.incarnation and order.epoch >= state.epoch:
                self.restart(rank)
            return
        self.ranks[rank] = mapswitch.apply_order(state, order)
        self.reports.append((number, mapswitch.create_report(self.ranks[rank])))

    def deliver_report(self, number: int, report: Report) -> None:
        self._apply_transition(
            number, mapcontrol.receive_report(self.controllers[number], report, self.now)
        )

    def store(self, number: int, effect: Store, result: str) -> None:
        """Finish a pending write with a result.

        The result is "ok", "lost" (the write takes effect, its response is lost), "dropped" (the
        request is lost) or "refused" (the write fails, and the controller is notified).
        """
        self.pending_stores.remove((number, effect))
        outcome = {"ok": StoreOutcome.WRITTEN, "refused": StoreOutcome.FAILED}.get(
            result, StoreOutcome.LOST
        )
        if result in ("ok", "lost"):
            if effect.expect == self.record_version:
                self.record, self.record_version = effect.record, self.record_version + 1
            elif result == "ok":
                outcome = StoreOutcome.CONFLICT
        state = self.controllers[number]
        version = self.record_version
        self._apply_transition(
            number, mapcontrol.receive_outcome(state, outcome, version, self.now)
        )

    def send_greeting(self, rank: int, peer: int) -> None:
        greeting = Greeting(rank, self.ranks[rank].incarnation)
        self.ranks[peer] = mapswitch.record_greeting(self.ranks[peer], greeting)
        self.responses.append((rank, mapswitch.create_report(self.ranks[peer]), greeting))

    def deliver_response(self, rank: int, report: Report, greeting: Greeting) -> None:
        # A response reaches only the incarnation that sent the request: a restart ends its calls.
        if self.ranks[rank].incarnation == greeting.incarnation:
            self.ranks[rank] = mapswitch.apply_greeting_response(self.ranks[rank], report)

    def load(self, rank: int) -> None:
        for version in mapswitch.list_missing_versions(self.ranks[rank], self.next_steps[rank]):
            self.ranks[rank] = mapswitch.mark_loaded(self.ranks[rank], version)

    def restart(self, rank: int) -> None:
        self.ranks[rank] = self._create_rank(rank)
        self.next_steps[rank] = min(self.next_steps)

    def step(self, rank: int) -> None:
        step = self.next_steps[rank]
        if step > min(self.next_steps):
            return
        self.ranks[rank], verdict = mapswitch.grant_step(self.ranks[rank], step)
        if not isinstance(verdict, Grant):
            return
        key = (self.ranks[rank].generation, step)
        version = self.version_by_step.setdefault(key, verdict.version)
        if version != verdict.version:
            raise MixedVersionsError(f"step {step}: versions {version} and {verdict.version}")
        self.next_steps[rank] = step + 1

    def start_switch(self, number: int) -> None:
        state = self.controllers[number]
        if state.phase is Phase.IDLE:
            self.switches += 1
            self._apply_transition(
                number, mapcontrol.start_switch(state, f"m{self.switches}", self.now)
            )

    def tick(self, number: int) -> None:
        self.now += self.random.choice((0.1, 0.1, 1.0, 3.0))
        self._apply_transition(number, mapcontrol.tick(self.controllers[number], self.now))

    def run_random_action(self) -> None:
        """Run one randomly chosen action."""
        rng = self.random
        rank = rng.randrange(self.size)
        number = max(0, len(self.controllers) - rng.choice((1, 1, 1, 2)))
        match rng.choices(ACTIONS, self.weights)[0]:
            case "order" if self.orders:
                self.deliver_order(*self._pick_message(self.orders))
            case "report" if self.reports:
                self.deliver_report(*self._pick_message(self.reports))
            case "answer" if self.responses:
                self.deliver_response(*self._pick_message(self.responses))
            case "step":
                self.step(rank)
            case "load":
                self.load(rank)
            case "record":
                state = self.ranks[rank]
                known = (self.record.schedule, self.record.proposed, self.record.in_flight)
                self.ranks[rank] = mapswitch.apply_record(state, *known)
            case "greet":
                self.send_greeting(rank, (rank + rng.randrange(1, self.size)) % self.size)
            case "store" if self.pending_stores:
                number, effect = rng.choice(self.pending_stores)
                is_commit = self.controllers[number].phase is Phase.COMMIT_WRITE
                self.store(
                    number, effect, rng.choice(self.commit_results if is_commit else WRITE_RESULTS)
                )
            case "switch":
                self.start_switch(number)
            case "tick":
                self.tick(number)
            case "restart":
                self.restart(rank)
            case "controller":
                self.start_controller()

    def _pick_message(self, messages: list) -> tuple:
        recent = self.random.random() < 0.8
        return self.random.choice(messages[-RECENT_MESSAGES:] if recent else messages)

    def run_until_phase(self, phase: Phase) -> None:
        """Form the group, and run a switch without faults until the controller reaches a phase."""
        self.start_controller()
        for _ in range(40):
            if self.controllers[0].phase is Phase.IDLE and not self.switches:
                self.start_switch(0)
            if self.controllers[0].phase is phase:
                return
            self._run_round(COMMIT_RESULT_BY_PHASE.get(phase, "ok"))
        raise AssertionError(f"phase {phase} was not reached")

    def recover(self, rounds: int = 200) -> bool:
        """Run without faults; return whether the group resumes steps and its controller is idle."""
        self.pending_stores.clear()
        self.start_controller()
        target_step = max(self.next_steps) + 3
        for _ in range(rounds):
            self._run_round()
            number = len(self.controllers) - 1
            phase = self.controllers[number].phase
            if phase is Phase.IDLE and min(self.next_steps) >= target_step:
                return True
            if phase is Phase.STOPPED:
                self.start_controller()
        return False

    def _run_round(self, result: str = "ok") -> None:
        number = len(self.controllers) - 1
        self.now += 0.5
        orders, self.orders = self.orders, []
        for sender, rank, order in orders:
            if sender == number:
                self.deliver_order(sender, rank, order)
        for rank in range(self.size):
            for peer in range(self.size):
                if peer != rank:
                    self.send_greeting(rank, peer)
                    self.deliver_response(*self.responses[-1])
            self.load(rank)
            self.step(rank)
        reports, self.reports = self.reports, []
        for sender, report in reports:
            if sender == number:
                self.deliver_report(sender, report)
        for sender, effect in list(self.pending_stores):
            is_commit = effect.record.schedule.version > 1
            if result != "held" or not is_commit:
                self.store(sender, effect, result if is_commit else "ok")
        self._apply_transition(number, mapcontrol.tick(self.controllers[number], self.now))
