"""A controller switches a group of two ranks to a new expert map while they execute steps."""

from __future__ import annotations

from magnoliarouter.core import mapcontrol, mapswitch
from magnoliarouter.core.mapmessages import Schedule
from magnoliarouter.core.mapstate import (
    ControllerState,
    Effect,
    MapRecord,
    Phase,
    Send,
    Store,
    StoreOutcome,
)

__all__ = ["GroupSimulation", "main"]

RANKS = 2
STEP_S = 0.02
MAX_ROUNDS = 200


class GroupSimulation:
    """Two ranks, a controller and the stored record; messages are delivered immediately."""

    def __init__(self) -> None:
        self.now = 0.0
        self.record = MapRecord(0, Schedule(1), 1, texts=((1, "old map"),))
        self.version = 1
        self.ranks = [
            mapswitch.RankState(rank, RANKS, f"start-{rank}", loaded=frozenset((1,)))
            for rank in range(RANKS)
        ]
        self.steps: list[tuple[int, ...]] = []
        self.controller: ControllerState
        self.apply_transition(
            mapcontrol.start_controller(RANKS, self.record, self.version, self.now)
        )

    def apply_transition(self, transition: tuple[ControllerState, list[Effect]]) -> None:
        """Set the controller's new state and perform its effects."""
        self.controller, effects = transition
        for effect in effects:
            match effect:
                case Send(rank, order):
                    self.ranks[rank] = mapswitch.apply_order(self.ranks[rank], order)
                    report = mapswitch.create_report(self.ranks[rank])
                    self.apply_transition(
                        mapcontrol.receive_report(self.controller, report, self.now)
                    )
                case Store(record, expect):
                    self.apply_transition(self.write_record(record, expect))

    def write_record(self, record: MapRecord, expect: int) -> tuple[ControllerState, list[Effect]]:
        """Update the record if its version is `expect`, and notify the controller."""
        outcome = StoreOutcome.CONFLICT
        if expect == self.version:
            self.record, self.version = record, self.version + 1
            outcome = StoreOutcome.WRITTEN
        return mapcontrol.receive_outcome(self.controller, outcome, self.version, self.now)

    def run_round(self) -> None:
        """Let every rank load its missing maps and start one step, then run the controller."""
        step, versions = len(self.steps), []
        for number, state in enumerate(self.ranks):
            for version in mapswitch.list_missing_versions(state, step):
                state = mapswitch.mark_loaded(state, version)
            self.ranks[number], decision = mapswitch.grant_step(state, step)
            if isinstance(decision, mapswitch.Grant):
                versions.append(decision.version)
        if len(versions) == RANKS:
            self.steps.append(tuple(versions))
        self.now += STEP_S
        self.apply_transition(mapcontrol.tick(self.controller, self.now))


def main() -> None:
    """Print the maps that were used and whether both ranks used the same map in every step."""
    group = GroupSimulation()
    for _ in range(MAX_ROUNDS):
        if group.controller.phase is Phase.IDLE and group.record.proposed == 1:
            group.apply_transition(mapcontrol.start_switch(group.controller, "new map", group.now))
        group.run_round()
    print("maps used:", sorted({version for step in group.steps for version in step}))
    print("one map in every step:", all(len(set(step)) == 1 for step in group.steps))
    print("in force:", group.record.text_of(group.record.schedule.version))


if __name__ == "__main__":
    main()
