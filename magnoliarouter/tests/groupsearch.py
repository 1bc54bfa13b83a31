"""Exhaustive search of a `GroupModel` to a given depth, for tests of the map switch."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from magnoliarouter.core.mapstate import Phase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from magnoliarouter.tests.groupmodel import GroupModel

WRITE_RESULTS = ("ok", "lost", "dropped")
LIST_ATTRIBUTES = (
    "ranks",
    "next_steps",
    "controllers",
    "orders",
    "reports",
    "responses",
    "pending_stores",
)


def search(model: GroupModel, depth: int, restarts: int, controllers: int) -> int:
    """Run every sequence of actions up to a length, and return the number of distinct states.

    Parameters
    ----------
    model : GroupModel
        Initial state.
    depth : int
        Maximum number of actions in a sequence.
    restarts, controllers : int
        Maximum number of rank restarts and of new controllers in one sequence.

    Raises
    ------
    MixedVersionsError
        Two ranks used different map versions in one step.
    """
    frontier = [(model, restarts, controllers)]
    seen = {_hash_state(model)}
    for _ in range(depth):
        following = []
        for state, restarts_left, controllers_left in frontier:
            for cost, act in _list_actions(state, restarts_left, controllers_left):
                child = _copy(state)
                act(child)
                key = _hash_state(child)
                if key not in seen:
                    seen.add(key)
                    left = (restarts_left - cost[0], controllers_left - cost[1])
                    following.append((child, *left))
        frontier = following
    return len(seen)


def _copy(model: GroupModel) -> GroupModel:
    child = copy.copy(model)
    for name in LIST_ATTRIBUTES:
        setattr(child, name, list(getattr(model, name)))
    child.version_by_step = dict(model.version_by_step)
    return child


def _hash_state(model: GroupModel) -> int:
    parts = (
        tuple(model.ranks),
        tuple(model.next_steps),
        tuple(model.controllers),
        model.record,
        frozenset(model.orders),
        frozenset(model.reports),
        tuple(model.pending_stores),
        frozenset(model.version_by_step.items()),
    )
    return hash(parts)


def _list_actions(
    model: GroupModel, restarts: int, controllers: int
) -> Iterator[tuple[tuple[int, int], Callable[[GroupModel], None]]]:
    free = (0, 0)
    for order in dict.fromkeys(model.orders):
        yield free, lambda child, order=order: child.deliver_order(*order)
    for report in dict.fromkeys(model.reports):
        if model.controllers[report[0]].phase is not Phase.STOPPED:
            yield free, lambda child, report=report: child.deliver_report(*report)
    for number, effect in model.pending_stores:
        for result in WRITE_RESULTS:
            yield free, lambda child, call=(number, effect, result): child.store(*call)
    for rank in range(model.size):
        if model.next_steps[rank] == min(model.next_steps):
            yield free, lambda child, rank=rank: child.step(rank)
        if model.ranks[rank].pending or not model.ranks[rank].joined:
            yield free, lambda child, rank=rank: _exchange_greetings(child, rank)
        if restarts:
            yield (1, 0), lambda child, rank=rank: child.restart(rank)
    if controllers:
        yield (0, 1), lambda child: child.start_controller()


def _exchange_greetings(model: GroupModel, rank: int) -> None:
    for peer in range(model.size):
        if peer != rank:
            model.send_greeting(rank, peer)
            model.deliver_response(*model.responses.pop())
    model.load(rank)
