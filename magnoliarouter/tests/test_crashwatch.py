from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from magnoliarouter.core.crashes import COOLDOWN_S, CrashLedger
from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.gateway.attempt import ANSWERED_EVENTS, CallProgress, FailedAttempt
from magnoliarouter.gateway.crashwatch import (
    CHECK_TIMEOUT_S,
    CRASH_SHARED_S,
    MAX_REPLY_DELAY_S,
    MAX_SILENCE_S,
    MAX_UPDATE_ITEMS,
    SETTLE_S,
    UPDATE_INTERVAL_S,
    UPDATE_REPEATS,
    CrashWatch,
)
from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.peers import CrashUpdate
from magnoliarouter.gateway.quarantine import Quarantine
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.tests.builders import build_crash_report
from magnoliarouter.tests.clock import run_auto_advance
from magnoliarouter.tests.test_forward import build_gateway_call, build_route

ENDPOINT = Endpoint("e1", "app", "10.0.0.1:80", "zone-1", 6, started_ms=5)
BROKEN_OFF = FailedAttempt(ResultCode.STREAM_TRUNCATED, "truncated", None, broken_off=True)


def build_prompt_call(parts):
    prefix = ",".join(f"{part}:10" for part in parts).encode()
    return build_gateway_call(build_route(RouteKind.STREAM), **{"X-Prompt-Prefix": prefix})


def record_other_prompts(watch):
    for number in range(50):
        watch.record_prompt(build_prompt_call((f"{number:x}0", "c")))
        watch._ledger.count_answer("app")


class CrashWatchCase(unittest.TestCase):
    """A watch before endpoints that refuse connections while `refused` is true."""

    def open(self):
        self.refused, self.checks, self.check_s = True, 0, 0.001
        self.found, self.answered = [], []
        self.watch = CrashWatch(
            Quarantine(),
            self.is_refused,
            asyncio.get_running_loop().time,
            self.found.append,
            self.answered.append,
        )
        record_other_prompts(self.watch)

    async def is_refused(self, address):
        self.checks += 1
        await asyncio.sleep(self.check_s)
        return self.refused

    async def examine(self, parts, endpoint=ENDPOINT, began=True, events=0, silent_s=0.0):
        progress = CallProgress()
        progress.start_attempt(asyncio.get_running_loop().time() - silent_s)
        progress.began, progress.splitter.received = began, events
        return await self.watch.examine(build_prompt_call(parts), endpoint, progress, BROKEN_OFF)

    async def crash(self, parts, number):
        endpoint = Endpoint(f"e{number}", "app", f"10.0.0.{number}:80", "zone-1", 6)
        await asyncio.sleep(1.0)
        return await self.examine(parts, endpoint)

    def play(self, scene):
        async def run():
            self.open()
            await scene()

        run_auto_advance(run())


class CrashWatchTest(CrashWatchCase):
    def test_part_of_two_crashes_is_refused(self):
        async def scene():
            for number, parts in enumerate((("a", "b", "c1"), ("a", "d", "c2"))):
                self.assertTrue(await self.crash(parts, number))
                self.assertIsNone(self.watch.find_refusal(build_prompt_call(("a", "c3"))))
            await asyncio.sleep(SETTLE_S + 0.01)
            refusal = self.watch.find_refusal(build_prompt_call(("a", "c3")))
            self.assertEqual(refusal.code, ResultCode.PROMPT_QUARANTINED)
            self.assertIsNone(self.watch.find_refusal(build_prompt_call(("b", "d", "c3"))))
            self.assertEqual(self.found, [frozenset("a")])

        self.play(scene)

    def test_cause_is_found_without_a_further_crash_once_other_prompts_came(self):
        async def scene():
            self.watch._ledger = CrashLedger()
            for _ in range(5):
                self.watch.record_prompt(build_prompt_call("ac"))
            for number in range(3):
                self.assertTrue(await self.crash(("a", f"b{number}", "c"), number))
            await asyncio.sleep(SETTLE_S + 0.01)
            self.assertEqual(self.found, [])
            record_other_prompts(self.watch)
            await asyncio.sleep(SETTLE_S + 0.01)
            self.assertEqual(self.found, [frozenset("a")])

        self.play(scene)

    def test_last_part_belongs_to_its_request(self):
        async def scene():
            for number in range(3):
                self.assertFalse(await self.crash(("c",), number))
            self.assertEqual(self.checks, 0)

        self.play(scene)

    def test_endpoint_that_accepts_connections_has_not_crashed(self):
        async def scene():
            self.refused = False
            self.assertFalse(await self.examine("ac"))
            self.assertEqual(self.checks, 2)
            self.assertIsNone(self.watch.collect_update())

        self.play(scene)

    def test_host_that_does_not_respond_delays_a_call_little(self):
        async def scene():
            started_at = asyncio.get_running_loop().time()
            self.check_s = 5.0
            self.assertFalse(await self.examine("ac"))
            waited = asyncio.get_running_loop().time() - started_at
            self.assertLessEqual(waited, CHECK_TIMEOUT_S + 0.01)

        self.play(scene)

    def test_answers_that_were_written_or_cut_after_a_silence_are_not_examined(self):
        async def scene():
            self.assertFalse(await self.examine("ac", events=ANSWERED_EVENTS))
            self.assertFalse(await self.examine("ac", silent_s=MAX_SILENCE_S + 0.01))
            self.watch.record_answer(build_prompt_call("ab"))
            self.assertFalse(await self.examine("ac"))
            self.assertEqual(self.checks, 0)

        self.play(scene)

    def test_prompt_whose_answer_had_not_begun_may_be_repeated(self):
        async def scene():
            self.assertFalse(await self.examine("ac", began=False))
            update = self.watch.collect_update()
            self.assertEqual(update.reports[0].waiting, frozenset([frozenset("a")]))

        self.play(scene)

    async def examine_request(self, fingerprint, number, others=0, silent_s=0.0):
        endpoint = Endpoint(f"e{number}", "app", f"10.0.0.{number}:80", "zone-1", 6, software="v1")
        call = build_gateway_call(build_route(), fingerprint=fingerprint)
        progress = CallProgress()
        progress.start_attempt(asyncio.get_running_loop().time() - silent_s)
        return await self.watch.examine(call, endpoint, progress, BROKEN_OFF, others)

    def test_request_at_a_crash_is_repeated_once_if_others_were_there(self):
        async def scene():
            self.assertTrue(await self.examine_request("request:1", 1))
            self.assertFalse(await self.examine_request("request:2", 2, others=1))
            self.assertTrue(await self.examine_request("request:2", 3, others=1))
            self.watch.record_answer(build_gateway_call(build_route(), fingerprint="request:3"))
            self.assertFalse(await self.examine_request("request:3", 4))

        self.play(scene)

    def test_request_of_three_crashes_is_held_back_until_others_are_answered(self):
        async def scene():
            self.watch._ledger = CrashLedger()
            call = build_gateway_call(build_route(), fingerprint="request:1")
            for number in range(3):
                self.assertIsNone(self.watch.find_refusal(call))
                await self.examine_request("request:1", number, others=1)
            self.assertEqual(self.watch.find_refusal(call).code, ResultCode.REQUEST_HELD_BACK)
            await asyncio.sleep(COOLDOWN_S)
            self.assertIsNone(self.watch.find_refusal(call))
            await self.examine_request("request:1", 3, others=1)
            for number in range(20):
                self.watch.record_answer(
                    build_gateway_call(build_route(), fingerprint=f"request:a{number}")
                )
            await asyncio.sleep(COOLDOWN_S + 0.01)
            self.assertEqual(self.found, [frozenset(["request:1"])])

        self.play(scene)

    def test_answer_ends_holding_a_request_back(self):
        async def scene():
            self.watch._ledger = CrashLedger()
            call = build_gateway_call(build_route(), fingerprint="request:1")
            for number in range(3):
                await self.examine_request("request:1", number, others=1)
            self.watch.record_answer(call)
            self.assertIsNone(self.watch.find_refusal(call))

        self.play(scene)

    def test_request_of_two_crashes_is_refused_until_the_endpoints_have_other_software(self):
        async def scene():
            call = build_gateway_call(build_route(), fingerprint="request:1")
            other = build_gateway_call(build_route(), fingerprint="request:2")
            for number in range(2):
                await self.examine_request("request:1", number, silent_s=2 * MAX_SILENCE_S)
                await asyncio.sleep(1.0)
            self.assertEqual(self.watch.find_refusal(call).code, ResultCode.REQUEST_QUARANTINED)
            self.assertIsNone(self.watch.find_refusal(other))
            versions = {"v2"}
            self.watch.quarantine.runs_software = lambda service, version: version in versions
            self.assertIsNone(self.watch.find_refusal(call))
            versions.add("v1")
            self.assertIsNotNone(self.watch.find_refusal(call))

        self.play(scene)

    def test_request_that_crashes_other_software_as_well_is_refused_there_at_once(self):
        async def scene():
            call = build_gateway_call(build_route(), fingerprint="request:1")
            self.watch.quarantine.runs_software = lambda service, version: version == "v2"
            for number in range(2):
                await self.examine_request("request:1", number)
                await asyncio.sleep(1.0)
            self.assertIsNone(self.watch.find_refusal(call))
            endpoint = Endpoint("e3", "app", "10.0.0.3:80", "zone-1", 6, software="v2")
            progress = CallProgress()
            progress.start_attempt(asyncio.get_running_loop().time())
            await self.watch.examine(call, endpoint, progress, BROKEN_OFF)
            await asyncio.sleep(SETTLE_S + 0.01)
            self.assertIsNotNone(self.watch.find_refusal(call))

        self.play(scene)

    def test_crash_on_a_request_is_recorded_in_the_store_only_if_updates_may_not_arrive(self):
        async def scene():
            crashes = []
            self.watch._on_crash = crashes.append
            for reaches_all in (True, False):
                self.watch._reaches_all = lambda reaches_all=reaches_all: reaches_all
                await self.examine_request("request:1", int(reaches_all))
                self.assertEqual(len(crashes), int(not reaches_all))

        self.play(scene)

    def test_calls_that_one_crash_breaks_off_share_one_check(self):
        async def scene():
            results = await asyncio.gather(*(self.examine((f"a{n}", "c")) for n in range(5)))
            self.assertEqual(results, [True] * 5)
            self.assertEqual(self.checks, 1)

        self.play(scene)

    def test_endpoint_that_runs_again_is_checked_again(self):
        async def scene():
            self.assertTrue(await self.examine("ac"))
            self.refused = False
            await asyncio.sleep(CRASH_SHARED_S + 0.01)
            self.assertFalse(await self.examine("bc"))

        self.play(scene)

    def test_check_goes_on_for_the_others_if_one_call_is_cancelled(self):
        async def scene():
            first = asyncio.create_task(self.examine(("a1", "c")))
            second = asyncio.create_task(self.examine(("a2", "c")))
            await asyncio.sleep(0)
            first.cancel()
            self.assertTrue(await second)

        self.play(scene)

    def test_answer_on_a_quarantined_prompt_releases_it(self):
        async def scene():
            for number in range(2):
                await self.crash(("a", f"b{number}", "c"), number)
            await asyncio.sleep(SETTLE_S + 0.01)
            self.assertEqual(list(self.watch.quarantine), [frozenset("a")])
            self.watch.record_answer(build_prompt_call("ac"))
            self.assertEqual(list(self.watch.quarantine), [])
            self.assertEqual(self.answered, [frozenset("a")])

        self.play(scene)

    def test_parts_that_another_daemon_saw_answers_on_are_no_cause(self):
        async def scene():
            self.watch.apply_update("p", CrashUpdate([build_crash_report("e1", ["ax"])], []))
            await asyncio.sleep(1.0)
            self.watch.apply_update("p", CrashUpdate([build_crash_report("e2", ["ax"])], []))
            self.watch.apply_update("q", CrashUpdate([], ["a"]))
            await asyncio.sleep(SETTLE_S + 0.01)
            self.assertEqual(self.found, [frozenset("x")])

        self.play(scene)

    def test_crash_counts_only_after_the_time_for_replies(self):
        async def scene():
            first, second = (
                replace(build_crash_report(name, (), [["request:1"]]), service="app")
                for name in ("e1", "e2")
            )
            self.watch.apply_update("p", CrashUpdate([first], []))
            await asyncio.sleep(0.9 * SETTLE_S)
            self.watch.apply_update("p", CrashUpdate([second], []))
            await asyncio.sleep(0.5 * SETTLE_S)
            self.watch.apply_update("q", CrashUpdate([], ["request:1"]))
            await asyncio.sleep(2 * SETTLE_S)
            self.assertEqual(self.found, [])

        self.play(scene)

    def test_daemon_answers_reports_with_the_parts_that_it_saw_answers_on(self):
        async def scene():
            self.watch.record_answer(build_prompt_call("ab"))
            self.watch.apply_update("p", CrashUpdate([build_crash_report("e1", ["ax"])], ["x"]))
            await asyncio.sleep(MAX_REPLY_DELAY_S)
            self.assertEqual(self.watch.collect_update(), CrashUpdate([], ["a"]))

        self.play(scene)

    def test_daemon_does_not_answer_once_another_has(self):
        async def scene():
            self.watch.record_answer(build_prompt_call("ab"))
            self.watch.apply_update("p", CrashUpdate([build_crash_report("e1", ["ax"])], []))
            self.watch.apply_update("q", CrashUpdate([], ["a"]))
            await asyncio.sleep(MAX_REPLY_DELAY_S)
            self.assertIsNone(self.watch.collect_update())

        self.play(scene)

    def test_updates_are_bounded_and_each_is_sent_the_same_number_of_times(self):
        async def scene():
            number = 3 * MAX_UPDATE_ITEMS
            for one in range(number):
                await self.examine(("a", "c"), Endpoint(f"e{one}", "app", "h:1", "z", 6))
            sent = []
            for _ in range(3 * UPDATE_REPEATS + 5):
                update = self.watch.collect_update()
                self.assertIsNone(self.watch.collect_update())
                if update is not None:
                    self.assertLessEqual(len(update.reports), MAX_UPDATE_ITEMS)
                    sent += [report.endpoint for report in update.reports]
                await asyncio.sleep(UPDATE_INTERVAL_S)
            self.assertEqual({sent.count(name) for name in sent}, {UPDATE_REPEATS})
            self.assertEqual(len(set(sent)), number)

        self.play(scene)

    def test_calls_wait_for_the_records_of_the_store(self):
        async def scene():
            self.watch.quarantine.is_loaded = lambda: False
            refusal = self.watch.find_refusal(build_prompt_call("ab"))
            self.assertEqual(refusal.code, ResultCode.CONFIGURATION_MISSING)
            self.assertIsNone(self.watch.find_refusal(build_prompt_call("")))

        self.play(scene)


class FleetTest(unittest.TestCase):
    """Daemons whose messages are delayed and lost, in simulated time and without a network."""

    DELAY_S = 0.01
    LOST = 0.2

    async def play(self, daemon_count, seed):
        self.rng = random.Random(seed)
        self.messages = 0
        self.watches = [self.open_watch() for _ in range(daemon_count)]
        senders = [asyncio.create_task(self.send_updates(watch)) for watch in self.watches]
        answers = asyncio.create_task(self.write_answers())
        await asyncio.sleep(2.0)
        for number in range(5):
            # No two requests are alike; each crashes an endpoint, wherever it comes in.
            call = build_prompt_call((f"a{number % 3}", "bad", f"c{number}"))
            watch = self.rng.choice(self.watches)
            endpoint = Endpoint(f"e{number}", "app", f"h:{number}", "zone-1", 6)
            progress = CallProgress(began=True, received_at=asyncio.get_running_loop().time())
            await watch.examine(call, endpoint, progress, BROKEN_OFF)
            await asyncio.sleep(0.3)
        await asyncio.sleep(1.0)
        for task in (*senders, answers):
            task.cancel()
        return [list(watch.quarantine) for watch in self.watches]

    def open_watch(self, count_daemons=lambda: 1):
        async def is_refused(address):
            return True

        watch = CrashWatch(
            Quarantine(),
            is_refused,
            asyncio.get_running_loop().time,
            count_daemons=count_daemons,
        )
        record_other_prompts(watch)
        return watch

    async def write_answers(self):
        while True:
            await asyncio.sleep(0.1)
            call = build_prompt_call((f"a{self.rng.randrange(3)}", "c"))
            self.rng.choice(self.watches).record_answer(call)

    async def send_updates(self, sender):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S / 2)
            update = sender.collect_update()
            if update is None:
                continue
            self.messages += 1
            for watch in self.watches:
                if watch is not sender and self.rng.random() > self.LOST:
                    loop.call_later(self.DELAY_S, watch.apply_update, "p", update)

    def test_every_daemon_knows_the_part_after_five_crashes_at_any_of_them(self):
        for daemon_count in (1, 9, 98):
            for seed in range(5):
                with self.subTest(daemons=daemon_count, seed=seed):
                    found = run_auto_advance(self.play(daemon_count, seed))
                    self.assertEqual(found, [[frozenset(["bad"])]] * daemon_count)

    def test_every_daemon_knows_a_request_after_three_crashes_at_any_of_them(self):
        for daemon_count in (1, 9, 98, 376):
            with self.subTest(daemons=daemon_count):
                found = run_auto_advance(self.play_request(daemon_count))
                self.assertEqual(found, [[frozenset(["request:bad"])]] * daemon_count)

    async def play_request(self, daemon_count):
        """Return what each daemon refuses; each has seen few other requests to the service."""
        self.rng = random.Random(daemon_count)
        self.messages = 0
        self.watches = [self.open_watch(lambda: daemon_count) for _ in range(daemon_count)]
        for watch in self.watches:
            for _ in range(max(5, 60 // daemon_count)):
                watch.record_answer(self.build_request(f"request:{self.rng.random()}"))
        senders = [asyncio.create_task(self.send_updates(watch)) for watch in self.watches]
        for number in range(3):
            names = ["request:bad", *(f"request:{number}-{other}" for other in range(2))]
            for name in names:
                watch = self.rng.choice(self.watches)
                endpoint = Endpoint(f"e{number}", "calls", f"h:{number}", "zone-1", 6)
                progress = CallProgress(received_at=asyncio.get_running_loop().time())
                call = self.build_request(name)
                await watch.examine(call, endpoint, progress, BROKEN_OFF, 2)
            await asyncio.sleep(0.3)
        await asyncio.sleep(1.0)
        for task in senders:
            task.cancel()
        return [list(watch.quarantine) for watch in self.watches]

    @staticmethod
    def build_request(name):
        call = build_gateway_call(build_route(), fingerprint=name)
        call.service = "calls"
        return call

    def test_few_daemons_answer_a_report_however_many_could(self):
        for daemon_count in (9, 98, 376, 1000):
            with self.subTest(daemons=daemon_count):
                answers = run_auto_advance(self.count_answers(daemon_count))
                self.assertGreater(answers, 0)
                self.assertLessEqual(answers, 15)

    async def count_answers(self, daemon_count):
        """Return how many of the daemons, which all saw an answer on a part, name it."""
        loop, answers = asyncio.get_running_loop(), 0
        random.seed(1)
        self.watches = [self.open_watch() for _ in range(daemon_count)]

        def notify(sender):
            nonlocal answers
            answers += 1
            for watch in self.watches:
                if watch is not sender:
                    loop.call_later(self.DELAY_S, watch.apply_update, "p", CrashUpdate([], ["f"]))

        for watch in self.watches:
            watch._on_update = lambda watch=watch: notify(watch)
            watch.record_answer(build_prompt_call(("f", "c")))
            watch.apply_update("q", CrashUpdate([build_crash_report("e1", ["fx"])], []))
        await asyncio.sleep(1.0)
        return answers


if __name__ == "__main__":
    unittest.main()
