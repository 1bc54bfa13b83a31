from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter
from unittest.mock import patch

from magnoliarouter.core.uneven import estimate_reading_s, weigh_work
from magnoliarouter.core.work import CallWork
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.tests.zoneplay import build_profile

# The first token within 1 s for 95 in 100 calls.
TARGET_S = 1.0
IN_TIME = 0.95
LAG_S = 0.004
SHORT, LONG = CallWork(100, 95), CallWork(2900, 95)


def build_table(profile=None, endpoints="abcd", seed=1):
    table = EndpointTable("z", random.Random(seed))
    table.find_profile = lambda service: profile
    for name in endpoints:
        table.put(Endpoint(name, "app", f"{name}:1", "z", 5))
    return table


def play_prompts(profile, is_used, daemons, seed, endpoints=12, calls_per_s=30.0, seconds=40.0):
    """Return the share of calls whose first event is in time, and the longest wait for one.

    One call in five has a prompt of 2,900 tokens. Each endpoint reads one prompt after the other, and
    the daemons hear of each other's calls after some ms.
    """
    rng, names = random.Random(seed), [f"e{number}" for number in range(endpoints)]
    tables = [build_table(profile if is_used else None, names, seed + n) for n in range(daemons)]
    read_until, waits, events, now = Counter(), [], [], 0.0

    def tell(sender, at):
        message = dict(tables[sender].own_requests), tables[sender].work.collect_extra()
        heapq.heappush(events, (at + LAG_S, rng.random(), "tell", sender, message))

    while now < seconds:
        now += rng.expovariate(calls_per_s)
        while events and events[0][0] <= now:
            at, _, kind, sender, value = heapq.heappop(events)
            if kind == "end":
                tables[sender].finish_request(*value)
                tell(sender, at)
                continue
            for number, table in enumerate(tables):
                if number != sender:
                    table.apply_peer_load(str(sender), value[0], at)
                    table.apply_long_prompts(str(sender), value[1], at)
        sender, work = rng.randrange(daemons), LONG if rng.random() < 0.2 else SHORT
        endpoint = tables[sender].choose("app", set(), now, work)
        if endpoint is None:
            waits.append(float("inf"))
            continue
        tables[sender].start_request(endpoint.identity, work)
        tell(sender, now)
        name = endpoint.identity
        read_until[name] = max(now, read_until[name]) + work.prompt_tokens / 5000
        waits.append(read_until[name] - now)
        end = read_until[name] + 1.0
        heapq.heappush(events, (end, rng.random(), "end", sender, (name, work)))
    return sum(wait <= TARGET_S for wait in waits) / len(waits), max(waits)


class WeightTest(unittest.TestCase):
    def test_endpoint_that_reads_counts_as_more_loaded_than_any_tie_break(self):
        self.assertEqual(weigh_work(0.0, 0.1, 0, 100, 0), 0.0)
        self.assertGreater(weigh_work(0.001, 0.1, 0, 100, 0), 0.5)
        self.assertAlmostEqual(weigh_work(0.3, 0.1, 0, 100, 0), 3.5)
        self.assertAlmostEqual(weigh_work(0.3, 0.0, 0, 100, 0), 3.5)

    def test_memory_that_is_unknown_or_suffices_weighs_nothing(self):
        self.assertEqual(weigh_work(0.0, 0.1, 1e9, 100, 0), 0.0)
        self.assertEqual(weigh_work(0.0, 0.1, 900, 100, 1000), 0.0)
        self.assertGreater(weigh_work(0.0, 0.1, 901, 100, 1000), 100.0)

    def test_reading_waits_for_the_steps_between_pieces(self):
        self.assertEqual(estimate_reading_s(1000, 0, 500, 0.1), 0.0)
        self.assertAlmostEqual(estimate_reading_s(1024, 10_240, 512, 0.01), 0.12)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.profile = build_profile(prompt_tokens_per_s=5000.0)

    def choose(self, table, work=SHORT, now=0.0):
        return table.choose("app", set(), now, work).identity

    def test_two_long_prompts_go_to_different_endpoints(self):
        for seed in range(20):
            table = build_table(self.profile, "ab", seed)
            first = self.choose(table, LONG)
            table.start_request(first, LONG)
            table.start_request(({"a", "b"} - {first}).pop(), SHORT)
            table.finish_request(first, LONG)
            self.assertNotEqual(self.choose(table, LONG, 0.1), first)

    def test_prompt_that_was_read_weighs_nothing(self):
        table = build_table(self.profile, "a")
        table.choose("app", set(), 0.0, LONG)
        table.start_request("a", LONG)
        table.put(Endpoint("b", "app", "b:1", "z", 5))
        table.start_request("b", CallWork())
        table.start_request("b", CallWork())
        self.assertEqual(self.choose(table, now=0.1), "b")
        self.assertEqual(self.choose(table, now=5.0), "a")

    def test_calls_that_other_daemons_report_count_with_usual_prompts(self):
        table = build_table(self.profile, "ab")
        table.start_request("a", LONG)
        table.start_request("b", LONG)
        table.apply_peer_load("peer", {}, 10.0)
        table.apply_peer_load("peer", {"a": 1}, 10.0)
        table.finish_request("a", LONG)
        table.start_request("b", CallWork())
        table.finish_request("b", LONG)
        self.assertEqual({self.choose(table, now=10.1) for _ in range(20)}, {"b"})

    def test_long_prompts_that_other_daemons_tell_count(self):
        sender, table = build_table(self.profile, "ab"), build_table(self.profile, "ab")
        for work in (SHORT, SHORT, LONG):
            sender.start_request("a", work)
        told = sender.work.collect_extra()
        self.assertEqual(told, {"a": LONG.prompt_tokens - SHORT.prompt_tokens})
        self.assertEqual(sender.work.collect_extra(), {})
        table.apply_long_prompts("peer", {**told, "gone": 5}, 10.0)
        table.start_request("b", CallWork())
        table.start_request("b", CallWork())
        self.assertEqual({self.choose(table, now=10.1) for _ in range(20)}, {"b"})

    def test_impossible_prompts_of_another_daemon_are_logged_once_and_ignored(self):
        table = build_table(self.profile, "ab")
        with patch("magnoliarouter.gateway.endpointwork.log_event") as log:
            for tokens in (-1, 2**62):
                table.apply_long_prompts("peer", {"a": tokens}, 10.0)
        log.assert_called_once()
        table.start_request("b", CallWork())
        self.assertEqual(self.choose(table, now=10.1), "a")

    def test_requests_of_a_daemon_heard_for_the_first_time_are_not_new(self):
        table = build_table(self.profile, "ab")
        table.start_request("b", LONG)
        table.finish_request("b", LONG)
        table.apply_peer_load("peer", {"a": 1, "b": 2}, 10.0)
        self.assertEqual({self.choose(table, now=10.1) for _ in range(20)}, {"a"})

    def test_endpoint_without_memory_for_a_call_comes_last(self):
        table = build_table(build_profile(memory_tokens=5000), "ab")
        table.choose("app", set(), 0.0, LONG)
        table.start_request("a", LONG)
        for _ in range(3):
            table.start_request("b", SHORT)
        self.assertEqual(self.choose(table, SHORT, 9.0), "a")
        self.assertEqual(self.choose(table, LONG, 9.0), "b")
        table.finish_request("a", LONG)
        self.assertEqual(self.choose(table, LONG, 9.0), "a")

    def test_endpoint_whose_memory_own_calls_fill_gets_no_more(self):
        table = build_table(build_profile(memory_tokens=5000), "a")
        self.choose(table, LONG)
        table.start_request("a", LONG)
        self.assertIsNone(table.choose("app", set(), 9.0, LONG))
        table.finish_request("a", LONG)
        self.assertEqual(self.choose(table, CallWork(6000, 95), 9.0), "a")

    def test_usual_prompt_follows_what_calls_bring(self):
        table = build_table(self.profile, "a")
        for work in (CallWork(0, 95), CallWork(10, 95), *[CallWork(700, 95)] * 1000):
            table.start_request("a", work)
        table.work.collect_extra()
        table.start_request("a", CallWork(1300, 95))
        self.assertEqual(table.work.collect_extra(), {})
        table.start_request("a", CallWork(2000, 95))
        self.assertAlmostEqual(table.work.collect_extra()["a"], 1300, delta=100)

    def test_call_that_was_not_sent_or_endpoint_that_is_gone_leaves_nothing(self):
        table = build_table(self.profile, "ab")
        for work in (SHORT, SHORT, LONG):
            self.choose(table, now=5.0)
            table.start_request("a", work)
        table.cancel_request(table.find("a"), 5.0, LONG)
        self.assertEqual(table.work.collect_extra(), {})
        self.assertEqual(table.work.weigh(table.find("a"), self.profile, SHORT, 0, 5.1), 0.0)
        self.choose(table, now=6.0)
        table.start_request("a", LONG)
        table.put(table.find("a"))
        endpoint = table.find("a")
        self.assertGreater(table.work.weigh(endpoint, self.profile, SHORT, 0, 6.1), 0.0)
        table.remove("a")
        self.assertEqual(table.work.weigh(endpoint, self.profile, SHORT, 0, 6.1), 0.0)
        self.assertEqual(table.work.collect_extra(), {})

    def test_service_without_a_profile_is_served_as_before(self):
        chosen = []
        for works in ((SHORT, LONG), (CallWork(), CallWork())):
            table, names = build_table(None, "abcd", 7), []
            for number in range(15):
                names.append(self.choose(table, works[number % 2], 0.01 * number))
                table.start_request(names[-1], works[number % 2])
            chosen.append(names)
        self.assertEqual(*chosen)


class UnevenPromptsTest(unittest.TestCase):
    """First events under uneven prompts that are read slowly; endpoints spend a third of the time on it."""

    def test_first_events_are_in_time(self):
        profile = build_profile(prompt_tokens_per_s=5000.0)
        for daemons in (1, 9, 34):
            for seed in range(2):
                with self.subTest(daemons=daemons, seed=seed):
                    before, _ = play_prompts(profile, False, daemons, seed)
                    after, _ = play_prompts(profile, True, daemons, seed)
                    self.assertGreaterEqual(after, IN_TIME)
                    self.assertGreaterEqual(after, before)


if __name__ == "__main__":
    unittest.main()
