"""A write of an engine is carried out late, after the engine reported that it leaves."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import kit

DRAIN_S, CONTACT_S, HEARTBEAT_S = 2.0, 3.0, 1.2
# The store loses answers for this long; a call without an answer is done 1 to 6 s later.
LOST_S, LATE_S = 0.1, 5.3


class LateEngine(kit.Engine):
    """Engine one of whose beats gets no answer, and is carried out late by the store."""

    late_at = float("inf")

    def register(self, store, heartbeat_s=HEARTBEAT_S):
        async def beat():
            while True:
                self.sequence += 1
                entry = self.entry()
                if self.record.now() >= self.late_at:
                    self.late_at = float("inf")
                    self.record.write(f"the beat {entry['sequence']} of {self.identity} ({entry['state']}) gets no answer")
                    asyncio.get_running_loop().call_later(LATE_S, self.carry_out, store, entry)
                else:
                    store.put("servers", self.identity, entry)
                await asyncio.sleep(heartbeat_s)

        self.beats = asyncio.get_running_loop().create_task(beat())

    def carry_out(self, store, entry):
        store.put("servers", self.identity, entry)
        self.record.write(f"the store carries out beat {entry['sequence']} of {self.identity} ({entry['state']})")


async def case(context):
    record = context.record
    store = await context.open_store()
    store.put("config", "main", kit.build_configuration(7))
    engines = [await context.open_engine(f"i-{number}", f"zone-{'abc'[number]}", LateEngine) for number in range(3)]
    daemons = await context.open_daemons(3)
    results = []

    async def client(number):
        kinds = (("POST", f"/order/{number}"), ("GET", f"/look/{number}"))
        index = number
        while True:
            method, path = kinds[index % 2]
            await kit.Client(record, results, method, path).send(daemons[index % len(daemons)])
            index += 1
            await asyncio.sleep(0.2)

    for number in range(8):
        context.spawn(client(number))
        await asyncio.sleep(0.025)
    await asyncio.sleep(5.0)
    leaving = engines[0]
    # The answer to the next beat is lost; without trouble none is.
    if context.trouble:
        leaving.late_at = record.now()
    while leaving.late_at < float("inf"):
        await asyncio.sleep(0.01)
    lost_at = record.now()
    # The store is stable again once it was without disruption for contact_ms.
    await asyncio.sleep(LOST_S + CONTACT_S + 0.1)
    acknowledged = leaving.drain(store)
    record.write(f"acknowledged: {leaving.identity} is draining (beat {leaving.sequence})")
    await asyncio.sleep(6.0)
    late = [one for one in leaving.arrivals if one[0] > acknowledged + DRAIN_S]
    for at, request_id in late:
        record.write(f"{request_id} reached {leaving.identity} {at - acknowledged:.2f} s after the acknowledgement")
    record.write(f"answers {Counter(answer for *_, answer in results)}; the draining took {acknowledged - lost_at:.2f} s after the lost answer")
    record.write(f"DRAIN: {len(late)} requests reached {leaving.identity} later than drain_ms after the acknowledgement")
    if not any(answer == "200" for *_, answer in results):
        raise kit.CannotRun("nothing was served")
    return bool(late)


kit.run_case(case, FOLDER)
