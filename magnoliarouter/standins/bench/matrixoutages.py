"""Scenes of the fault matrix with lent quota: leaving, partitions and floods of changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.standins.launch import contract_value

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.standins.bench.matrixstage import Stage

__all__ = ["SCENES"]

DEADLINE_S = 0.8
STREAM_DEADLINE_S = 1.0
PAUSE_S = 1.0
EXIT_S = 10.0
WHOLE_TOKENS = 60
FLOOD_CUSTOMERS = 40
FLOOD_ROUNDS = 20
NEW_KEY = "key-of-a-new-customer"
HELD = {"hold_up": True, "hold_down": True}
LIMITS = {"requests_per_second": 5, "tokens_per_second": 500}


async def _entry_leaves(stage: Stage) -> None:
    """End the entry daemon within a stream; it has to finish it and exit in time."""
    stream, _ = await stage.open_stream()
    leaving = asyncio.create_task(stage.entry.stop())
    stage.check((await stream).complete, "a stream was cut off")
    await _check_exit(stage, leaving)


async def _check_exit(stage: Stage, leaving: asyncio.Task[int]) -> None:
    try:
        code = await asyncio.wait_for(leaving, EXIT_S)
    except TimeoutError:
        stage.check(False, f"the daemon did not exit within {EXIT_S} s")
        return
    stage.check(code == 0, f"the daemon exited with {code}")


async def _entry_leaves_platform_down(stage: Stage) -> None:
    await stage.set_platform_faults(down=True)
    await _entry_leaves(stage)


async def _entry_leaves_platform_slow(stage: Stage) -> None:
    await stage.set_platform_faults(delay=1.0)
    await _entry_leaves(stage)


async def _entry_leaves_answers_lost(stage: Stage) -> None:
    await stage.set_platform_faults(lose_answers=1.0)
    await _entry_leaves(stage)


async def _entry_leaves_platform_cut_off(stage: Stage) -> None:
    await stage.set_routes("platform", **HELD)
    await _entry_leaves(stage)


async def _guard_leaves_platform_down(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    await stage.set_platform_faults(down=True)
    leaving = asyncio.create_task(stage.guards[number].stop())
    await stage.check_recovers()
    stage.check((await stream).complete, "a stream was cut off")
    await _check_exit(stage, leaving)


async def _guard_leaves_platform_slow(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    await stage.set_platform_faults(delay=1.0)
    leaving = asyncio.create_task(stage.guards[number].stop())
    stage.check((await stream).complete, "a stream was cut off")
    await _check_exit(stage, leaving)


async def _whole_answer_guard_killed(stage: Stage) -> None:
    before = await stage.count("started")
    asking = asyncio.create_task(stage.ask(WHOLE_TOKENS, stream=False))

    async def is_started() -> bool:
        return await stage.count("started") != before

    await stage.wait_until(is_started)
    after = await stage.count("started")
    number = [new > old for new, old in zip(after, before, strict=True)].index(True)
    await stage.guards[number].kill()
    result = await asking
    stage.check(result.status != 0, "the caller got no answer")
    stage.check(b"not_run" not in result.body, "a request that had started is told as not run")


async def _whole_answers_platform_down(stage: Stage) -> None:
    await stage.set_platform_faults(down=True)
    results = await asyncio.gather(*(stage.ask(WHOLE_TOKENS, stream=False) for _ in range(4)))
    stage.check(all(result.status == 200 for result in results), "not all were served")


async def _whole_answers_platform_cut_off(stage: Stage) -> None:
    await stage.set_routes("platform", **HELD)
    results = await asyncio.gather(*(stage.ask(WHOLE_TOKENS, stream=False) for _ in range(4)))
    stage.check(all(result.status == 200 for result in results), "not all were served")


async def _stream_held(stage: Stage) -> None:
    stream, number = await stage.open_stream(STREAM_DEADLINE_S)
    await stage.set_routes("guard", hold_down=True)
    stage.check_error_shown(await stream)
    await stage.set_routes("guard")
    await stage.wait_until(stage.is_served)


async def _requests_to_guards_held(stage: Stage) -> None:
    before = await stage.count("started")
    await stage.set_routes("guard", hold_up=True)
    told = await stage.ask_within(DEADLINE_S)
    stage.check(told.outcome == "unknown", f"an attempt on its way ended as {told}")
    stage.check(await stage.count("started") == before, "the fault came too late")
    await stage.set_routes("guard")
    await stage.wait_until(stage.is_served)


async def _flood_of_changes(stage: Stage) -> None:
    """Many contracts change while the daemon is cut off; all come at once when it is back."""
    await stage.set_routes("platform", **HELD)
    for round_number in range(FLOOD_ROUNDS):
        for customer in range(FLOOD_CUSTOMERS):
            limits = {**LIMITS, "requests_per_second": round_number + 1}
            value = contract_value(f"c{customer}", f"key-{customer}", current=limits)
            await stage.client.write("contract", f"c{customer}", value)
    value = contract_value("newcomer", NEW_KEY, current=LIMITS)
    await stage.client.write("contract", "newcomer", value)
    await stage.set_routes("platform")
    await stage.check_served()

    async def is_new_customer_served() -> bool:
        return (await stage.ask(key=NEW_KEY)).complete

    await stage.wait_until(is_new_customer_served)


SCENES: dict[str, Callable[[Stage], Awaitable[None]]] = {
    "entry-leaves-platform-down": _entry_leaves_platform_down,
    "entry-leaves-platform-slow": _entry_leaves_platform_slow,
    "entry-leaves-answers-lost": _entry_leaves_answers_lost,
    "entry-leaves-platform-cut-off": _entry_leaves_platform_cut_off,
    "guard-leaves-platform-down": _guard_leaves_platform_down,
    "guard-leaves-platform-slow": _guard_leaves_platform_slow,
    "whole-answer-guard-killed": _whole_answer_guard_killed,
    "whole-answers-platform-down": _whole_answers_platform_down,
    "whole-answers-platform-cut-off": _whole_answers_platform_cut_off,
    "stream-held": _stream_held,
    "requests-to-guards-held": _requests_to_guards_held,
    "flood-of-changes": _flood_of_changes,
}
