"""Scenes of the fault matrix: each causes a fault at one step of a request, with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.standins.bench import matrixoutages
from magnoliarouter.standins.bench.matrixstage import SceneRun
from magnoliarouter.standins.launch import Site
from magnoliarouter.standins.load import open_load_session

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["SCENES", "run_scene"]

PAUSE_S = 1.0
REQUEST_DEADLINE_S = 0.8
SCENE_TIMEOUT_S = 60.0
CUT_AFTER_BYTES = 600
HOLD_BOTH_WAYS = {"hold_up": True, "hold_down": True}


async def run_scene(name: str) -> list[str]:
    """Run one scene with its own processes and return the violations."""
    async with Site() as site, open_load_session() as session:
        admission = "escrow" if name in matrixoutages.SCENES else "static"
        scene = SceneRun(site, session, admission)
        try:
            async with asyncio.timeout(SCENE_TIMEOUT_S):
                await scene.start()
                await SCENES[name](scene)
        except TimeoutError:
            scene.violations.append("the scene did not end in time")
        return [f"{name}: {violation}" for violation in scene.violations]


async def _guard_killed_mid_stream(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    await scene.guards[number].kill()
    scene.check_error_shown(await stream)
    await scene.wait_until(lambda: _is_cancelled(scene, number))
    await scene.check_recovers()


async def _guard_killed_before_dispatch(scene: SceneRun) -> None:
    await scene.guards[0].kill()
    await scene.check_recovers()


async def _engine_killed_mid_stream(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    await scene.engines[number].kill()
    scene.check_error_shown(await stream)
    await scene.check_recovers()


async def _guards_restarted_unnoticed(scene: SceneRun) -> None:
    """Restart guards while the cut-off entry daemon still addresses their earlier incarnations."""
    await scene.set_routes("platform", **HOLD_BOTH_WAYS)
    before = await scene.read_counts("started")
    for number in range(len(scene.guards)):
        await scene.restart_guard(number)
    refusal = await scene.send_with_deadline(PAUSE_S)
    started = await scene.read_counts("started")
    scene.check(refusal.outcome in ("not_run", ""), f"refused as {refusal.outcome}, not as not run")
    if refusal.outcome:
        scene.check(started == before, "a request that was told not to have run was started")
    await scene.set_routes("platform")
    await scene.wait_until(scene.is_served)


async def _half_open_guards(scene: SceneRun) -> None:
    await scene.set_routes("guard", **HOLD_BOTH_WAYS)
    refusal = await scene.send_with_deadline(REQUEST_DEADLINE_S)
    scene.check(refusal.outcome == "unknown", f"an unanswered attempt ended as {refusal}")
    await scene.set_routes("guard")
    await scene.wait_until(scene.is_served)


async def _guard_responses_held(scene: SceneRun) -> None:
    before = sum(await scene.read_counts("started"))
    await scene.set_routes("guard", hold_down=True)
    refusal = await scene.send_with_deadline(REQUEST_DEADLINE_S)
    scene.check(refusal.outcome == "unknown", f"an attempt that ran ended as {refusal}")
    scene.check(sum(await scene.read_counts("started")) > before, "the fault came too early")
    await scene.set_routes("guard")
    await scene.wait_until(scene.is_served)


async def _response_cut(scene: SceneRun) -> None:
    await scene.set_routes("guard", cut_after_down=CUT_AFTER_BYTES)
    scene.check_error_shown(await scene.send_request(40))
    result = await scene.send_request(200, stream=False)
    scene.check(result.status != 200, "a cut answer was passed on as whole")
    await scene.set_routes("guard")
    await scene.wait_until(scene.is_served)


async def _request_cut(scene: SceneRun) -> None:
    before = await scene.read_counts("started")
    await scene.set_routes("guard", cut_after_up=20)
    refusal = await scene.send_with_deadline(PAUSE_S)
    scene.check(refusal.outcome == "unknown", f"a request that was cut ended as {refusal}")
    scene.check(await scene.read_counts("started") == before, "a cut request was started")
    await scene.set_routes("guard")
    await scene.wait_until(scene.is_served)


async def _requests_duplicated(scene: SceneRun) -> None:
    await scene.set_routes("guard", cut_after_down=0)
    await scene.send_request()
    await scene.set_routes("guard", duplicate=1.0)
    before = sum(await scene.read_counts("started"))
    await scene.check_served(8)
    # The proxy resends a connection's bytes after the connection has closed.
    await scene.set_routes("guard", duplicate=1.0, refuse=True)
    await scene.entry.stop()
    await asyncio.sleep(PAUSE_S)
    started = sum(await scene.read_counts("started")) - before
    scene.check(started == 8, f"8 requests sent twice were started {started} times")


async def _routes_slow(scene: SceneRun) -> None:
    await scene.set_routes("guard", delay=0.1, jitter=0.1)
    await scene.check_served()


async def _platform_down(scene: SceneRun) -> None:
    await scene.set_platform_faults(down=True)
    await scene.check_served()
    await asyncio.sleep(PAUSE_S)
    await scene.check_served()


async def _platform_slow(scene: SceneRun) -> None:
    await scene.set_platform_faults(delay=2.0)
    await asyncio.sleep(PAUSE_S)
    await scene.check_served()


async def _platform_cut_off(scene: SceneRun) -> None:
    stream, _ = await scene.open_stream()
    await scene.set_routes("platform", **HOLD_BOTH_WAYS)
    scene.check((await stream).complete, "a stream broke when the platform was cut off")
    await scene.check_served()


async def _entry_paused_mid_stream(scene: SceneRun) -> None:
    stream, _ = await scene.open_stream()
    scene.entry.pause()
    await asyncio.sleep(PAUSE_S)
    scene.entry.resume()
    scene.check((await stream).complete, "a stream broke over a pause of the entry daemon")


async def _guard_paused_mid_stream(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    scene.guards[number].pause()
    await asyncio.sleep(PAUSE_S)
    scene.guards[number].resume()
    scene.check((await stream).complete, "a stream broke over a pause of the guard")


async def _guards_paused_past_deadline(scene: SceneRun) -> None:
    for guard in scene.guards:
        guard.pause()
    refusal = await scene.send_with_deadline(REQUEST_DEADLINE_S)
    scene.check(refusal.outcome == "unknown", f"an unanswered attempt ended as {refusal}")
    for guard in scene.guards:
        guard.resume()
    await scene.wait_until(scene.is_served)


async def _entry_restarted(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    await scene.entry.kill()
    result = await stream
    scene.check(not result.complete, "a stream of a killed daemon looks whole")
    await scene.wait_until(lambda: _is_cancelled(scene, number))
    await scene.start_entry()
    await scene.wait_until(scene.is_served)


async def _guard_killed_and_platform_down(scene: SceneRun) -> None:
    stream, number = await scene.open_stream()
    await scene.set_platform_faults(down=True)
    await scene.guards[number].kill()
    scene.check_error_shown(await stream)
    await scene.check_recovers()


async def _is_cancelled(scene: SceneRun, number: int) -> bool:
    return (await scene.read_counts("cancelled"))[number] > 0


SCENES: dict[str, Callable[[SceneRun], Awaitable[None]]] = {
    "guard-killed-mid-stream": _guard_killed_mid_stream,
    "guard-killed-before-dispatch": _guard_killed_before_dispatch,
    "engine-killed-mid-stream": _engine_killed_mid_stream,
    "guards-restarted-unnoticed": _guards_restarted_unnoticed,
    "half-open-guards": _half_open_guards,
    "answers-of-guards-held": _guard_responses_held,
    "answer-cut": _response_cut,
    "request-cut": _request_cut,
    "requests-duplicated": _requests_duplicated,
    "routes-slow": _routes_slow,
    "platform-down": _platform_down,
    "platform-slow": _platform_slow,
    "platform-cut-off": _platform_cut_off,
    "entry-paused-mid-stream": _entry_paused_mid_stream,
    "guard-paused-mid-stream": _guard_paused_mid_stream,
    "guards-paused-past-deadline": _guards_paused_past_deadline,
    "entry-restarted": _entry_restarted,
    "guard-killed-and-platform-down": _guard_killed_and_platform_down,
    **matrixoutages.SCENES,
}
