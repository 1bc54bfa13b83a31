"""Orders are carried out late, and the map leader is killed as it arms the ranks at a quiet hour."""

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import kit
import ranks

RANKS = 2
# Share of the orders that get no answer and are carried out 2 to 12 s later, for this long each time.
LATE_SHARE, LATE_FOR_S = 0.5, 3.0
# Passes of one stream, and the time after its start at which other experts are in demand.
EVENTS, SHIFT_S = 20, 1.25
DOWN_S = 3.0
SETS, EXPERTS, PLACES, SPARE = 2, 24, 14, 4


def build_configuration():
    engine = {
        "slots": 6, "kv_tokens": 247000, "kv_bytes": 70272, "link_mbps": 92000.0, "stride": 6, "models": [{"name": "m"}],
        "step_ms": 4.84, "per_seq_ms": 0.724, "context_per_k": 0.022, "read_per_s": 74800.0, "pairs_per_m": 0.232,
        "chunk": 512, "report_lag_ms": 200.0, "delays": [], "usual": {"prompt": 835, "answer": 158}, "sets": SETS,
        "experts": EXPERTS, "places": PLACES, "spare": SPARE, "expert_mb": 1700.0, "expert_share": 0.85, "form_ms": 600.0,
    }
    configuration = kit.build_configuration(7)
    configuration["routes"] = [
        {"name": "r-note", "host": "app.example", "path_prefix": "/note/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1, "service": "app", "attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_aim_ms": 120}
    ]
    configuration["services"][0]["engine"] = engine
    return configuration


async def case(context):
    record = context.record
    store = await context.open_store()
    store.put("config", "main", build_configuration())
    group = ranks.Group(record, "group-1", SETS, EXPERTS, PLACES, SPARE, expert_s=0.148, pass_s=0.09)
    engines = []
    for number in range(RANKS):
        engine = await ranks.Rank(f"i-{number}", "app", "zone-a", record, group).listen("127.0.0.1")
        context.servers.append(engine)
        engines.append(engine)
    for engine in engines:
        engine.begin()
        engine.events = EVENTS
        engine.register(store)
    context.spawn(group.run())
    daemons = await context.open_daemons(2)
    await asyncio.sleep(3.0)
    answers, numbers, dice = [], iter(range(1, 10000)), random.Random(int(os.environ.get("SEED", "1")))
    armed_late = asyncio.Event()

    async def client(daemon):
        request_id = f"q{next(numbers):04d}"
        prompt = f"{group.liked + 160:x}:40,{next(numbers) + 4096:x}:660"
        fields = [("X-Request-Id", request_id), ("X-Deadline-Ms", "8000"), ("Authorization", "Bearer key-1"), ("X-Model", "m"), ("X-Token-Usage", "700,160"), ("X-Prompt-Prefix", prompt)]
        record.write(f"sent {request_id} to {daemon.name}")
        try:
            answer, _ = await asyncio.wait_for(kit.ask(daemon.host, daemon.front, "POST /note/1", fields, b"{}"), 8.5)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer = type(error).__name__
        record.write(f"answer {request_id} {answer}")
        answers.append(answer)

    arms, leaders = {}, []

    def watch(rank, order, late):
        """Kill the leader when no rank answers its order to arm, and no stream runs."""
        if context.trouble and order["operation"] == "arm" and not armed_late.is_set():
            seen = arms.setdefault((order["version"], order["step"]), {})
            seen.setdefault(rank.rank, late)
            if len(seen) == RANKS and all(seen.values()) and not group.streams:
                holder = store.objects["lease", "expert-maps"]["spec"]["holder"]
                leaders[:] = [daemon for daemon in daemons if holder.startswith(f"{daemon.host}:")]
                leaders[0].kill()
                record.write(f"{leaders[0].name}, which gave the last order, is killed")
                armed_late.set()

    async def restart_giver():
        await armed_late.wait()
        await leaders[0].end()
        await asyncio.sleep(DOWN_S)
        await leaders[0].start()
        record.write(f"{leaders[0].name} is started again")

    async def answer_late():
        if context.trouble and not armed_late.is_set():
            for engine in engines:
                engine.late_share = LATE_SHARE
        await asyncio.sleep(LATE_FOR_S)
        for engine in engines:
            engine.late_share = 0.0

    for engine in engines:
        engine.on_order = watch
    if context.trouble:
        context.spawn(restart_giver())
    stop = 95.0
    while record.now() < stop:
        # A few streams at a time; other experts are in demand before they end.
        late = context.spawn(answer_late())
        for _ in range(3):
            for daemon in daemons:
                if daemon.process.returncode is None:
                    context.spawn(client(daemon))
        await asyncio.sleep(SHIFT_S)
        group.liked = (group.liked + 4) % EXPERTS
        await late
        await asyncio.sleep(dice.uniform(0.1, 0.8))
        if armed_late.is_set():
            # The hour stays quiet until the late orders are done.
            await asyncio.sleep(11.0)
            stop = min(stop, record.now() + 5.0)
    record.write(f"answers {Counter(answers)}; {group.step} passes")
    record.write(f"MAP: {len(group.split)} passes began while two ranks had different maps: {group.split[:3]}")
    if not any(answer == 200 for answer in answers):
        raise kit.CannotRun("no stream was served")
    if context.trouble and not armed_late.is_set():
        raise kit.CannotRun("the orders to arm were never all late at once")
    return bool(group.split)


kit.run_case(case, FOLDER)
