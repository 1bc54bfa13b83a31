"""Scenes of the fault matrix whose entry daemon borrows quota.

They cover daemons that stop, partitions, and floods of configuration changes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.standins.launch import contract_value

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from magnoliarouter.standins.bench.matrixstage import SceneRun

__all__ = ["SCENES"]

REQUEST_DEADLINE_S = 0.8
STREAM_DEADLINE_S = 1.0
PAUSE_S = 1.0
EXIT_TIMEOUT_S = 10.0
WHOLE_RESPONSE_TOKENS = 60
FLOOD_CUSTOMERS = 40
FLOOD_ROUNDS = 20
NEW_CUSTOMER_KEY = "key-of-a-new-customer"
HOLD_BOTH_WAYS = {"hold_up": True, "hold_down": True}
LIMITS = {"requests_per_second": 5, "tokens_per_second": 500}


async def _entry_leaves(scene: SceneRun) -> None:
    """Stop the entry daemon during a stream; it must finish the stream and exit in time."""
    stream, _ = await scene.open_stream()
    stop_task = asyncio.create_task(scene.entry.stop())
    scene.check((await stream).complete, "a stream was cut off")
    await _check_exit(scene, stop_task)


async def _check_exit(scene: SceneRun, stop_task: asyncio.Task[int]) -> None:
    try:
        code = await asyncio.wait_for(stop_task, EXIT_TIMEOUT_S)
    except TimeoutError:
        scene.check(False, f"the daemon did not exit within {EXIT_TIMEOUT_S} s")
        return
    scene.check(code == 0, f"the daemon exited with {code}")


async def _entry_leaves_platform_down(scene: SceneRun) -> None:
    await scene.set_platform_faults(down=True)
    await _entry_leaves(scene)


async def _entry_leaves_platform_slow(scene: SceneRun) -> None:
    await scene.set_platform_faults(delay=1.0)
    await _entry_leaves(scene)


async def _entry_leaves_responses_lost(scene: SceneRun) -> None:
    await scene.set_platform_faults(lose_answers=1.0)
    await _entry_leaves(scene)


async def _entry_leaves_platform_cut_off(scene: SceneRun) -> None:
    await scene.set_routes("platform", **HOLD_BOTH_WAYS)
    await _entry_leaves(scene)


async def _guard_leaves_platform_down(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    await scene.set_platform_faults(down=True)
    stop_task = asyncio.create_task(scene.guards[number].stop())
    await scene.check_recovers()
    scene.check((await stream).complete, "a stream was cut off")
    await _check_exit(scene, stop_task)


async def _guard_leaves_platform_slow(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    await scene.set_platform_faults(delay=1.0)
    stop_task = asyncio.create_task(scene.guards[number].stop())
    scene.check((await stream).complete, "a stream was cut off")
    await _check_exit(scene, stop_task)


async def _whole_response_guard_killed(scene: SceneRun) -> None:
    before = await scene.read_counts("started")
    call = asyncio.create_task(scene.send_request(WHOLE_RESPONSE_TOKENS, stream=False))

    async def is_started() -> bool:
        return await scene.read_counts("started") != before

    await scene.wait_until(is_started)
    after = await scene.read_counts("started")
    number = [new > old for new, old in zip(after, before, strict=True)].index(True)
    await scene.guards[number].kill()
    result = await call
    scene.check(result.status != 0, "the caller got no answer")
    scene.check(b"not_run" not in result.body, "a request that had started is told as not run")


async def _whole_responses_platform_down(scene: SceneRun) -> None:
    await scene.set_platform_faults(down=True)
    results = await asyncio.gather(
        *(scene.send_request(WHOLE_RESPONSE_TOKENS, stream=False) for _ in range(4))
    )
    scene.check(all(result.status == 200 for result in results), "not all were served")


async def _whole_responses_platform_cut_off(scene: SceneRun) -> None:
    await scene.set_routes("platform", **HOLD_BOTH_WAYS)
    results = await asyncio.gather(
        *(scene.send_request(WHOLE_RESPONSE_TOKENS, stream=False) for _ in range(4))
    )
    scene.check(all(result.status == 200 for result in results), "not all were served")


async def _stream_held(scene: SceneRun) -> None:
    stream, number = await scene.open_stream(STREAM_DEADLINE_S)
    await scene.set_routes("guard", hold_down=True)
    scene.check_error_shown(await stream)
    await scene.set_routes("guard")
    await scene.wait_until(scene.is_served)


async def _requests_to_guards_held(scene: SceneRun) -> None:
    before = await scene.read_counts("started")
    await scene.set_routes("guard", hold_up=True)
    refusal = await scene.send_with_deadline(REQUEST_DEADLINE_S)
    scene.check(refusal.outcome == "unknown", f"an attempt on its way ended as {refusal}")
    scene.check(await scene.read_counts("started") == before, "the fault came too late")
    await scene.set_routes("guard")
    await scene.wait_until(scene.is_served)


async def _flood_of_changes(scene: SceneRun) -> None:
    """Change many contracts while the daemon is cut off; it gets all changes at once afterwards."""
    await scene.set_routes("platform", **HOLD_BOTH_WAYS)
    for round_number in range(FLOOD_ROUNDS):
        for customer in range(FLOOD_CUSTOMERS):
            limits = {**LIMITS, "requests_per_second": round_number + 1}
            value = contract_value(f"c{customer}", f"key-{customer}", current=limits)
            await scene.client.write("contract", f"c{customer}", value)
    value = contract_value("newcomer", NEW_CUSTOMER_KEY, current=LIMITS)
    await scene.client.write("contract", "newcomer", value)
    await scene.set_routes("platform")
    await scene.check_served()

    async def is_new_customer_served() -> bool:
        return (await scene.send_request(key=NEW_CUSTOMER_KEY)).complete

    await scene.wait_until(is_new_customer_served)


SCENES: dict[str, Callable[[SceneRun], Awaitable[None]]] = {
    "entry-leaves-platform-down": _entry_leaves_platform_down,
    "entry-leaves-platform-slow": _entry_leaves_platform_slow,
    "entry-leaves-answers-lost": _entry_leaves_responses_lost,
    "entry-leaves-platform-cut-off": _entry_leaves_platform_cut_off,
    "guard-leaves-platform-down": _guard_leaves_platform_down,
    "guard-leaves-platform-slow": _guard_leaves_platform_slow,
    "whole-answer-guard-killed": _whole_response_guard_killed,
    "whole-answers-platform-down": _whole_responses_platform_down,
    "whole-answers-platform-cut-off": _whole_responses_platform_cut_off,
    "stream-held": _stream_held,
    "requests-to-guards-held": _requests_to_guards_held,
    "flood-of-changes": _flood_of_changes,
}
