"""Scenes of the fault matrix: one fault at one step of a request, between real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.standins.bench import matrixoutages
from magnoliarouter.standins.bench.matrixstage import Stage
from magnoliarouter.standins.launch import Site
from magnoliarouter.standins.load import open_load_session

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["SCENES", "run_scene"]

PAUSE_S = 1.0
DEADLINE_S = 0.8
SCENE_LIMIT_S = 60.0
CUT_AFTER_BYTES = 600
HELD = {"hold_up": True, "hold_down": True}


async def run_scene(name: str) -> list[str]:
    """Run one scene with processes of its own and return the violations."""
    async with Site() as site, open_load_session() as session:
        admission = "escrow" if name in matrixoutages.SCENES else "static"
        stage = Stage(site, session, admission)
        try:
            async with asyncio.timeout(SCENE_LIMIT_S):
                await stage.start()
                await SCENES[name](stage)
        except TimeoutError:
            stage.violations.append("the scene did not end in time")
        return [f"{name}: {violation}" for violation in stage.violations]


async def _guard_killed_mid_stream(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    await stage.guards[number].kill()
    stage.check_error_shown(await stream)
    await stage.wait_until(lambda: _is_cancelled(stage, number))
    await stage.check_recovers()


async def _guard_killed_before_dispatch(stage: Stage) -> None:
    await stage.guards[0].kill()
    await stage.check_recovers()


async def _engine_killed_mid_stream(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    await stage.engines[number].kill()
    stage.check_error_shown(await stream)
    await stage.check_recovers()


async def _guards_restarted_unnoticed(stage: Stage) -> None:
    """The entry daemon, cut off from the platform, still names the earlier incarnations."""
    await stage.set_routes("platform", **HELD)
    before = await stage.count("started")
    for number in range(len(stage.guards)):
        await stage.restart_guard(number)
    told = await stage.ask_within(PAUSE_S)
    started = await stage.count("started")
    stage.check(told.outcome in ("not_run", ""), f"refused as {told.outcome}, not as not run")
    if told.outcome:
        stage.check(started == before, "a request that was told not to have run was started")
    await stage.set_routes("platform")
    await stage.wait_until(stage.is_served)


async def _half_open_guards(stage: Stage) -> None:
    await stage.set_routes("guard", **HELD)
    told = await stage.ask_within(DEADLINE_S)
    stage.check(told.outcome == "unknown", f"an unanswered attempt ended as {told}")
    await stage.set_routes("guard")
    await stage.wait_until(stage.is_served)


async def _answers_of_guards_held(stage: Stage) -> None:
    before = sum(await stage.count("started"))
    await stage.set_routes("guard", hold_down=True)
    told = await stage.ask_within(DEADLINE_S)
    stage.check(told.outcome == "unknown", f"an attempt that ran ended as {told}")
    stage.check(sum(await stage.count("started")) > before, "the fault came too early")
    await stage.set_routes("guard")
    await stage.wait_until(stage.is_served)


async def _answer_cut(stage: Stage) -> None:
    await stage.set_routes("guard", cut_after_down=CUT_AFTER_BYTES)
    stage.check_error_shown(await stage.ask(40))
    result = await stage.ask(200, stream=False)
    stage.check(result.status != 200, "a cut answer was passed on as whole")
    await stage.set_routes("guard")
    await stage.wait_until(stage.is_served)


async def _request_cut(stage: Stage) -> None:
    before = await stage.count("started")
    await stage.set_routes("guard", cut_after_up=20)
    told = await stage.ask_within(PAUSE_S)
    stage.check(told.outcome == "unknown", f"a request that was cut ended as {told}")
    stage.check(await stage.count("started") == before, "a cut request was started")
    await stage.set_routes("guard")
    await stage.wait_until(stage.is_served)


async def _requests_duplicated(stage: Stage) -> None:
    await stage.set_routes("guard", cut_after_down=0)
    await stage.ask()
    await stage.set_routes("guard", duplicate=1.0)
    before = sum(await stage.count("started"))
    await stage.check_served(8)
    # A connection's bytes are sent again once it has ended.
    await stage.set_routes("guard", duplicate=1.0, refuse=True)
    await stage.entry.stop()
    await asyncio.sleep(PAUSE_S)
    started = sum(await stage.count("started")) - before
    stage.check(started == 8, f"8 requests sent twice were started {started} times")


async def _routes_slow(stage: Stage) -> None:
    await stage.set_routes("guard", delay=0.1, jitter=0.1)
    await stage.check_served()


async def _platform_down(stage: Stage) -> None:
    await stage.set_platform_faults(down=True)
    await stage.check_served()
    await asyncio.sleep(PAUSE_S)
    await stage.check_served()


async def _platform_slow(stage: Stage) -> None:
    await stage.set_platform_faults(delay=2.0)
    await asyncio.sleep(PAUSE_S)
    await stage.check_served()


async def _platform_cut_off(stage: Stage) -> None:
    stream, _ = await stage.open_stream()
    await stage.set_routes("platform", **HELD)
    stage.check((await stream).complete, "a stream broke when the platform was cut off")
    await stage.check_served()


async def _entry_paused_mid_stream(stage: Stage) -> None:
    stream, _ = await stage.open_stream()
    stage.entry.pause()
    await asyncio.sleep(PAUSE_S)
    stage.entry.resume()
    stage.check((await stream).complete, "a stream broke over a pause of the entry daemon")


async def _guard_paused_mid_stream(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    stage.guards[number].pause()
    await asyncio.sleep(PAUSE_S)
    stage.guards[number].resume()
    stage.check((await stream).complete, "a stream broke over a pause of the guard")


async def _guards_paused_past_deadline(stage: Stage) -> None:
    for guard in stage.guards:
        guard.pause()
    told = await stage.ask_within(DEADLINE_S)
    stage.check(told.outcome == "unknown", f"an unanswered attempt ended as {told}")
    for guard in stage.guards:
        guard.resume()
    await stage.wait_until(stage.is_served)


async def _entry_restarted(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    await stage.entry.kill()
    result = await stream
    stage.check(not result.complete, "a stream of a killed daemon looks whole")
    await stage.wait_until(lambda: _is_cancelled(stage, number))
    await stage.start_entry()
    await stage.wait_until(stage.is_served)


async def _guard_killed_and_platform_down(stage: Stage) -> None:
    stream, number = await stage.open_stream()
    await stage.set_platform_faults(down=True)
    await stage.guards[number].kill()
    stage.check_error_shown(await stream)
    await stage.check_recovers()


async def _is_cancelled(stage: Stage, number: int) -> bool:
    return (await stage.count("cancelled"))[number] > 0


SCENES: dict[str, Callable[[Stage], Awaitable[None]]] = {
    "guard-killed-mid-stream": _guard_killed_mid_stream,
    "guard-killed-before-dispatch": _guard_killed_before_dispatch,
    "engine-killed-mid-stream": _engine_killed_mid_stream,
    "guards-restarted-unnoticed": _guards_restarted_unnoticed,
    "half-open-guards": _half_open_guards,
    "answers-of-guards-held": _answers_of_guards_held,
    "answer-cut": _answer_cut,
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
