from __future__ import annotations

import random
import tracemalloc
import unittest
from dataclasses import replace

from magnoliarouter.core.crashes import (
    ANSWERED_S,
    CRASH_EXPIRY_S,
    MAX_CRASHES,
    MAX_RECENT_PARTS,
    MAX_SAMPLE_PROMPTS,
    SAME_MOMENT_S,
    CrashLedger,
    CrashReport,
    PromptSample,
)
from magnoliarouter.tests.builders import build_crash_report


class CrashLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger()
        self.now = 100.0
        for number in range(50):
            self.ledger.record_prompt([f"other-{number}"])
            self.ledger.count_answer("")

    def crash(self, *prompts, waiting=(), endpoint=None, after_s=1.0):
        self.now += after_s
        report = build_crash_report(endpoint or f"e{self.now}", prompts, waiting)
        return self.ledger.record(report, self.now)

    def find_causes(self):
        return [set(cause) for cause in self.ledger.find_causes(self.now)]

    def test_one_crash_has_no_cause(self):
        self.crash("fax")
        self.assertEqual(self.find_causes(), [])

    def test_part_of_all_crashes_is_their_cause(self):
        self.crash("fax")
        self.crash("gbx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_parts_that_always_come_together_are_one_cause(self):
        self.crash("fax")
        self.crash("fax")
        self.assertEqual(self.find_causes(), [{"f", "a", "x"}])
        self.crash("fbx")
        self.assertEqual(self.find_causes(), [{"f", "x"}])
        self.crash("gbx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_parts_of_answers_that_were_written_are_no_cause(self):
        self.ledger.record_answered("f", self.now)
        self.crash("fx")
        self.crash("fx")
        self.assertEqual(self.find_causes(), [{"x"}])
        self.ledger.record_answered("x", self.now + 1.0)
        self.assertEqual(self.find_causes(), [])

    def test_answers_long_before_a_crash_prove_nothing(self):
        self.ledger.record_answered("x", self.now)
        self.crash("fx", after_s=ANSWERED_S + 1.0)
        self.crash("gx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_prompts_whose_answer_had_not_begun_count_only_without_others(self):
        self.crash("fx", waiting=["ga"])
        self.crash("hx", waiting=["ia"])
        self.assertEqual(self.find_causes(), [{"x"}])
        self.ledger.forget(frozenset("x"))
        self.crash(waiting=["fy"])
        self.crash(waiting=["gy"])
        self.assertEqual(self.find_causes(), [{"y"}])

    def crash_at_once(self, *prompts):
        for prompt in prompts:
            self.crash(prompt, after_s=SAME_MOMENT_S / 100)

    def test_two_crashes_at_one_moment_have_no_cause(self):
        self.crash_at_once("fx", "gx")
        self.assertEqual(self.find_causes(), [])
        self.crash("hx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_part_of_few_of_many_crashes_at_one_moment_is_no_cause(self):
        self.crash_at_once("fx", "gx", "hy", "iy", "jz")
        self.assertEqual(self.find_causes(), [])

    def test_part_that_chance_puts_into_some_of_many_crashes_is_no_cause(self):
        for _ in range(3):
            self.ledger.record_prompt("x")
        for letter in "abcdefghijkl":
            self.crash(letter)
        for letter in "mno":
            self.crash(f"{letter}x")
        self.assertEqual(self.find_causes(), [])
        for letter in "pqrst":
            self.crash(f"{letter}x")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_part_of_three_crashes_at_one_moment_is_their_cause(self):
        self.crash_at_once("fx", "gx", "hx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_parts_that_never_came_together_are_no_common_cause(self):
        for _ in range(2):
            self.crash("fx", "gy")
        self.assertEqual(self.find_causes(), [])
        self.crash("hx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_crashes_in_a_steady_series_are_different_moments(self):
        for letter in "abcdefghij":
            self.crash(f"{letter}x", after_s=SAME_MOMENT_S / 2)
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_two_causes_are_found_beside_each_other(self):
        for prompts in (("ax",), ("by",), ("cx",), ("ax", "cy"), ("dy",)):
            self.crash(*prompts)
        self.assertEqual(self.find_causes(), [{"x"}, {"y"}])

    def test_crashes_that_two_parts_explain_alike_have_no_cause(self):
        self.crash("x")
        self.crash("x", "m")
        self.crash("m")
        self.assertEqual(self.find_causes(), [])
        self.crash("x")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_reports_of_one_crash_by_several_daemons_are_joined(self):
        self.assertTrue(self.crash("fx", endpoint="e1"))
        self.assertTrue(self.crash("ga", endpoint="e1"))
        self.assertFalse(self.crash("fx", endpoint="e1"))
        self.assertEqual(self.find_causes(), [])
        self.crash("hx", endpoint="e2")
        self.assertEqual(self.find_causes(), [{"x"}])
        self.assertEqual(self.ledger.list_endpoints(frozenset("x")), ["e1", "e2"])

    def test_starts_of_an_endpoint_with_one_name_are_different(self):
        for started_ms in (1, 2):
            self.now += 1.0
            self.ledger.record(CrashReport("e1", started_ms, frozenset([frozenset("x")])), self.now)
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_part_that_most_prompts_hold_is_no_cause(self):
        for _ in range(450):
            self.ledger.record_prompt("fz")
        for letter in "abcd":
            self.crash("f", f"{letter}fx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_nothing_is_a_cause_before_prompts_were_seen(self):
        self.ledger = CrashLedger()
        self.crash("fx")
        self.crash("fx")
        self.assertEqual(self.find_causes(), [])
        for number in range(10):
            self.ledger.record_prompt("fx" if number % 5 == 0 else "f")
        self.crash("fx")
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_prompts_of_hundreds_of_parts_take_little_memory(self):
        """Every service has a sample, and callers choose the ids and the number of parts."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        sample = PromptSample()
        for number in range(MAX_SAMPLE_PROMPTS):
            sample.record([f"{number:060x}{part:04x}" for part in range(256)])
        self.assertLess(tracemalloc.get_traced_memory()[0], 4_000_000)
        for number in range(2 * MAX_SAMPLE_PROMPTS):
            sample.record(["shared", f"{number}"])
        self.assertEqual(len(sample), MAX_SAMPLE_PROMPTS)
        self.assertGreater(sample.estimate_share("shared"), 0.99)

    def test_sample_of_prompts_forgets_the_oldest(self):
        sample = PromptSample()
        self.assertEqual(sample.estimate_share("a"), 0.5)
        for _ in range(MAX_SAMPLE_PROMPTS):
            sample.record("aab")
        self.assertGreater(sample.estimate_share("a"), 0.99)
        for _ in range(MAX_SAMPLE_PROMPTS):
            sample.record("b")
        self.assertLess(sample.estimate_share("a"), 0.01)
        self.assertEqual(set(sample._counts), {"b"})

    def test_request_at_two_crashes_is_their_cause(self):
        self.crash(waiting=(["request:1"], ["request:2"]))
        self.crash(waiting=(["request:3"], ["request:2"]))
        self.assertEqual(self.find_causes(), [{"request:2"}])

    def test_request_that_comes_again_does_not_take_parts_of_its_prompt_out_of_service(self):
        for _ in range(3):
            self.crash(["a", "b", "request:1"])
        self.assertEqual(self.find_causes(), [{"a", "b", "request:1"}])

    def test_part_is_found_among_requests_that_come_again(self):
        for number in (1, 1, 2, 3):
            self.crash([f"a{number}", "x", f"request:{number}"])
        self.assertEqual(self.find_causes(), [{"x"}])

    def test_request_is_no_cause_while_its_service_answers_nothing(self):
        for answers, daemons, causes in ((0, 9, 0), (4, 1, 0), (4, 9, 1)):
            with self.subTest(answers=answers, daemons=daemons):
                ledger = CrashLedger(lambda daemons=daemons: daemons)
                for _ in range(300):
                    ledger.count_answer("models")
                for _ in range(answers):
                    ledger.count_answer("app")
                for number in range(3):
                    prompts = frozenset(
                        [frozenset(["request:poll"]), frozenset([f"request:{number}"])]
                    )
                    crash = CrashReport(f"e{number}", 0, waiting=prompts, service="app")
                    ledger.record(crash, number)
                self.assertEqual(len(ledger.find_causes(4.0)), causes)

    def test_poll_at_the_first_crashes_of_a_service_is_no_cause_while_few_others_are_answered(self):
        """Guards against a sound request that is refused for good: a third of all are this poll."""
        for answers, causes in ((8, 0), (12, 0), (100, 1)):
            with self.subTest(answers=answers):
                ledger = CrashLedger()
                for _ in range(answers):
                    ledger.count_answer("app")
                for number, name in enumerate(("poll", "other", "poll")):
                    prompts = frozenset([frozenset([f"request:{name}"])])
                    ledger.record(
                        CrashReport(f"e{number}", 0, waiting=prompts, service="app"), number
                    )
                self.assertEqual(len(ledger.find_causes(4.0)), causes)

    def test_requests_do_not_displace_parts_and_are_bounded(self):
        self.ledger.record_answered("x", self.now)
        for number in range(3 * MAX_RECENT_PARTS):
            self.ledger.record_answered([f"request:{number}"], self.now)
            self.ledger.count_answer("")
        self.assertEqual(self.ledger.list_unproven("xy", self.now), {"y"})
        self.assertEqual(len(self.ledger._answered._requests), MAX_RECENT_PARTS)
        self.assertEqual(self.ledger._answer_counts[""], MAX_SAMPLE_PROMPTS)

    def test_software_of_the_endpoints_that_crashed(self):
        for number, version in ((1, "v1"), (2, "v2")):
            report = build_crash_report(f"e{number}", ["x"])
            self.ledger.record(replace(report, service="app", software=version), self.now)
        found = self.ledger.list_software(frozenset("x"))
        self.assertEqual(found, {("app", "v1"), ("app", "v2")})
        self.crash("x")
        self.assertEqual(self.ledger.list_software(frozenset("x")), frozenset())

    def test_state_is_bounded(self):
        for number in range(3 * MAX_RECENT_PARTS):
            self.ledger.record_answered([f"p{number}"], self.now)
        for _ in range(2 * MAX_CRASHES):
            self.crash("x")
        self.assertEqual(len(self.ledger._crashes), MAX_CRASHES)
        self.assertEqual(len(self.ledger._answered._parts), MAX_RECENT_PARTS)
        self.now += CRASH_EXPIRY_S
        self.assertEqual(self.find_causes(), [])
        self.assertEqual(len(self.ledger._crashes), 0)

    def test_cause_is_found_among_random_prompts_and_crashes(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                self.setUp()
                rng = random.Random(seed)
                found = self.play_random(rng)
                self.assertIn({"x"}, found)
                self.assertEqual([cause for cause in found if cause <= set("abcdef")], [])

    def play_random(self, rng):
        """Return the causes after five crashes on "x" and one on none.

        Answers on the parts that other prompts share are written at some time in between.
        """
        rounds = range(5)
        answered_in = {part: rng.choice(rounds) for part in "abcdef"}
        for number in rounds:
            parts = [part for part, chosen in answered_in.items() if chosen == number]
            self.ledger.record_answered(parts, self.now)
            beside = [rng.choice("abcdef") for _ in range(rng.randrange(3))]
            self.crash(rng.choice("abcdef") + rng.choice("ghijkl") + "x", *beside, after_s=0.5)
        self.crash(rng.choice("abcdef"), after_s=0.5)
        return self.find_causes()


if __name__ == "__main__":
    unittest.main()
