from __future__ import annotations

import asyncio
import random
import time
import unittest
from dataclasses import replace

from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.groups import GroupMapSwitcher
from magnoliarouter.gateway.mapduty import MapDuty
from magnoliarouter.gateway.mapplan import RELAXED_BALANCE, NoChange, iterate_plan
from magnoliarouter.gateway.ranks import Arm, Go, Hold, OrderResult, Prepare
from magnoliarouter.gateway.routes import ExpertProfile
from magnoliarouter.tests.clock import run_auto_advance, wait_until
from magnoliarouter.tests.rank_model import (
    PROFILE,
    FakeMapLease,
    GroupModel,
    build_ranks,
    cancel_tasks,
    measure_skew,
    plan_map,
    start_map_duty,
)

SEEDS = range(30)


class PlanTest(unittest.TestCase):
    def test_popular_expert_is_spread(self):
        rows = tuple(tuple((expert % 4,) for expert in range(8)) for _ in range(2))
        counts = ([100_000] + [1000] * 7) * 2
        plan = plan_map(rows, counts, 4, PROFILE)
        self.assertGreater(len(plan.rows[0][0]), 2)
        self.assertLess(plan.skew_after, plan.skew_before)
        for row in plan.rows:
            self.assertTrue(all(row))
            for rank in range(4):
                self.assertLessEqual(sum(rank in ranks for ranks in row), PROFILE.experts_per_rank)

    def test_new_experts_per_rank_are_limited(self):
        rows = tuple(tuple((expert % 4,) for expert in range(8)) for _ in range(2))
        counts = [90_000, 1, 1, 1, 80_000, 1, 1, 1] * 2
        plan = plan_map(rows, counts, 4, PROFILE)
        for before, after in zip(rows, plan.rows):
            for rank in range(4):
                new = sum(rank in ranks and rank not in old for old, ranks in zip(before, after))
                self.assertLessEqual(new, PROFILE.max_new_experts)

    def test_copies_per_rank_are_limited(self):
        rows = tuple(tuple((expert % 4,) for expert in range(8)) for _ in range(2))
        counts = ([100_000] + [1000] * 7) * 2
        for copies in (1, 2):
            plan = plan_map(rows, counts, 4, PROFILE, max_copies=copies)
            fetched = [
                rank
                for old, new in zip(rows, plan.rows)
                for before, after in zip(old, new)
                for rank in set(after) - set(before)
            ]
            self.assertEqual(max(map(fetched.count, range(4))), copies)
            self.assertEqual((plan.max_copies_per_rank, plan.copies), (copies, len(fetched)))

    def test_few_copies_go_to_the_most_skewed_set(self):
        rows = tuple(tuple((expert % 4,) for expert in range(8)) for _ in range(2))
        mild, strong = [4000] + [1000] * 7, [100_000] + [1000] * 7
        plan = plan_map(rows, mild + strong, 4, PROFILE, max_copies=1)
        self.assertEqual(len(plan.rows[0][0]), 1)
        self.assertGreater(len(plan.rows[1][0]), 1)

    def test_even_load_moves_nothing(self):
        rows = tuple(tuple((expert % 4,) for expert in range(8)) for _ in range(2))
        self.assertIsInstance(plan_map(rows, [1000] * 16, 4, PROFILE), NoChange)


class SliceTest(unittest.TestCase):
    def test_plan_of_a_large_group_yields_at_each_change(self):
        """The loop serves calls between the steps of a plan; each may take 5 ms."""
        profile = ExpertProfile(16, 192, 3, 2, 0.016)
        rows = tuple(tuple((expert % 96,) for expert in range(192)) for _ in range(16))
        counts = ([20_000] * 4 + [1000] * 188) * 16
        steps, seconds = iterate_plan(rows, counts, 96, profile, RELAXED_BALANCE, 5), []
        while True:
            began = time.process_time()
            try:
                next(steps)
            except StopIteration as stop:
                plan = stop.value
                break
            seconds.append(time.process_time() - began)
        self.assertGreater(len(seconds), plan.copies)
        # The processor may be taken away within any single step.
        longest = sorted(seconds)[-5]
        self.assertLess(longest, 0.005)


class SwitchTest(unittest.TestCase):
    def test_map_follows_popularity(self):
        async def main():
            model = GroupModel()
            step_task = asyncio.get_running_loop().create_task(model.run())
            _, task = start_map_duty(model, FakeMapLease())
            before = measure_skew(model)
            await asyncio.sleep(8.0)
            first = measure_skew(model)
            model.popularity = [[10, 10, 10, 1000, 10, 10, 10, 10] for _ in range(2)]
            worse = measure_skew(model)
            await asyncio.sleep(8.0)
            await cancel_tasks(task, step_task)
            return model, before, first, worse, measure_skew(model)

        model, before, first, worse, last = run_auto_advance(main())
        self.assertLess(first, before)
        self.assertLess(last, worse)
        self.assertEqual((model.mixed_steps, model.held_time_s), ([], 0.0))

    def test_maps_are_switched_when_the_expert_size_is_unknown(self):
        async def main():
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            ranks = [(rank, replace(profile, copy_s=0.0)) for rank, profile in build_ranks(model)]
            task = loop.create_task(MapDuty(model, lambda: ranks, FakeMapLease(), loop.time).run())
            await asyncio.sleep(8.0)
            await cancel_tasks(task, step_task)
            return model.ranks[0].version

        self.assertGreater(run_auto_advance(main()), 0)

    def test_no_step_with_two_maps_when_orders_are_late(self):
        """About a third of the responses are lost; most of those orders are executed seconds later."""

        async def main(seed):
            model = GroupModel(loss_rate=0.35, seed=seed)
            step_task = asyncio.get_running_loop().create_task(model.run())
            _, task = start_map_duty(model, FakeMapLease())
            for turn in range(10):
                model.popularity = [
                    [1000 if expert == (turn * 3) % 8 else 10 for expert in range(8)]
                    for _ in range(2)
                ]
                await asyncio.sleep(4.0)
            await cancel_tasks(task)
            await asyncio.sleep(15.0)
            await cancel_tasks(step_task)
            return model

        switched = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                model = run_auto_advance(main(seed))
                self.assertEqual(model.mixed_steps, [])
                switched += model.ranks[0].version > 0
        self.assertGreater(switched, len(SEEDS) * 0.8)

    def test_group_is_held_briefly_while_orders_get_no_response(self):
        """An event gap above 0.12 s is late, and each hold that the group reaches causes one."""

        async def main(seed):
            model = GroupModel(loss_rate=0.35, seed=seed)
            step_task = asyncio.get_running_loop().create_task(model.run())
            _, task = start_map_duty(model, FakeMapLease())
            for turn in range(10):
                model.popularity = [
                    [1000 if expert == (turn * 3) % 8 else 10 for expert in range(8)]
                    for _ in range(2)
                ]
                await asyncio.sleep(4.0)
            await cancel_tasks(task, step_task)
            return model.held_time_s

        held = [run_auto_advance(main(seed)) for seed in range(20)]
        self.assertLess(sum(held) / len(held) / 40.0, 0.01)

    def test_stopping_daemon_leaves_no_group_held(self):
        async def main(seed):
            model = GroupModel(loss_rate=0.1, seed=seed)
            step_task = asyncio.get_running_loop().create_task(model.run())
            duty, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(1.0 + seed * 0.007)
            await duty.finish()
            await cancel_tasks(task, *duty.list_tasks(), step_task)
            return model.ranks[0].held, any(rank.armed for rank in model.ranks)

        left = {seed: run_auto_advance(main(seed)) for seed in range(60)}
        self.assertEqual({seed: state for seed, state in left.items() if state[0]}, {})

    def test_hold_that_is_executed_late_is_released(self):
        """A copy of a hold that got no response reaches its rank while the group makes no step."""

        async def main():
            model = GroupModel()
            step_task = asyncio.get_running_loop().create_task(model.run())
            _, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(6.0)
            model.ranks[0].held = model.step + 2
            await asyncio.sleep(4.0)
            before = model.step
            await asyncio.sleep(1.0)
            await cancel_tasks(task, step_task)
            return model.step - before

        self.assertGreater(run_auto_advance(main()), 10)

    def test_hold_that_is_executed_late_after_its_switch_is_released_while_maps_are_planned(self):
        """The group stays armed and held, so that every rank refuses to prepare the next map."""

        async def main():
            model = GroupModel()
            send, held_again = model.send, asyncio.Event()

            async def send_and_hold_again(address, order, *rest):
                result = await send(address, order, *rest)
                if isinstance(order, Go) and len(model.sent) > 20 and not held_again.is_set():
                    held_again.set()
                    model.ranks[int(address)].held = order.step
                    # Another expert is popular, and the counts of before show it.
                    model.popularity = [[10] * 7 + [1000]] * 2
                    model.counts = [
                        count + 5000 * (at % 8 == 7) for at, count in enumerate(model.counts)
                    ]
                return result

            model.send = send_and_hold_again
            step_task = asyncio.get_running_loop().create_task(model.run())
            _, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(3.0)
            model.popularity = [[10, 1000] + [10] * 6] * 2
            await held_again.wait()
            await asyncio.sleep(3.0)
            before = model.step
            await asyncio.sleep(1.0)
            await cancel_tasks(task, step_task)
            return model.step - before

        self.assertGreater(run_auto_advance(main()), 10)

    def test_next_map_leader_releases_the_holds_of_an_unfinished_switch(self):
        """The map leader fails after each order of a switch in turn; the next leader ends the hold."""

        async def main(last):
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            lease = FakeMapLease()
            duty, task = start_map_duty(model, lease)
            send = model.send

            async def send_and_expire_lease(address, order, *rest):
                result = await send(address, order, *rest)
                if isinstance(order, Hold | Arm):
                    sent_orders.append(order)
                    if len(sent_orders) >= last:
                        lease.fencing_number = None
                return result

            sent_orders = []
            model.send = send_and_expire_lease
            await asyncio.sleep(6.0)
            model.send = send
            successor, successor_task = start_map_duty(model, FakeMapLease(2))
            await asyncio.sleep(12.0)
            await cancel_tasks(
                task, successor_task, step_task, *duty.list_tasks(), *successor.list_tasks()
            )
            return model

        for last in range(1, 6):
            with self.subTest(last=last):
                model = run_auto_advance(main(last))
                self.assertEqual(model.mixed_steps, [])
                self.assertGreater(model.step, 200)
                self.assertTrue(all(rank.held is None for rank in model.ranks))

    def test_leader_that_gets_its_lease_back_completes_the_switch_it_left(self):
        """The leader is suspended after each order of a switch in turn, and acquires its lease anew."""

        async def main(last):
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            lease = FakeMapLease()
            duty, task = start_map_duty(model, lease)
            send, sent_orders = model.send, []

            async def send_and_lose_lease(address, order, *rest):
                if isinstance(order, Hold | Arm):
                    sent_orders.append(order)
                    if len(sent_orders) > last:
                        if lease.fencing_number == 1:
                            lease.fencing_number = None
                            loop.call_later(0.02, setattr, lease, "fencing_number", 2)
                        if rest[1] == 1:
                            return OrderResult.UNKNOWN
                return await send(address, order, *rest)

            model.send = send_and_lose_lease
            await asyncio.sleep(15.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model

        for last in range(1, 6):
            with self.subTest(last=last):
                model = run_auto_advance(main(last))
                self.assertEqual(model.mixed_steps, [])
                self.assertGreater(model.step, 200)
                self.assertTrue(all(rank.held is None for rank in model.ranks))

    def test_switch_does_not_go_on_under_a_later_lease(self):
        """Another leader prepares a map of its own while the first one waits for its copies."""

        async def main():
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            lease = FakeMapLease()
            duty, task = start_map_duty(model, lease)
            send, prepared = model.send, []

            def act_as_other_leader(rows):
                for rank in model.ranks:
                    rank.apply_order(Prepare(29_999, rows), 1, 2)

            async def send_and_pass_lease_on(address, order, *rest):
                result = await send(address, order, *rest)
                if isinstance(order, Prepare):
                    prepared.append(order)
                    if len(prepared) == model.size:
                        loop.call_later(0.02, act_as_other_leader, order.rows)
                        loop.call_later(0.02, setattr, lease, "fencing_number", 3)
                return result

            model.send = send_and_pass_lease_on
            await asyncio.sleep(15.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model, prepared[0].version

        model, version = run_auto_advance(main())
        later = [
            order
            for _, order, _, fencing_number in model.sent
            if fencing_number == 3 and getattr(order, "version", 0) == version
        ]
        self.assertEqual((later, model.mixed_steps), ([], []))
        self.assertGreater(model.step, 250)
        self.assertTrue(any(rank.version // 10_000 == 3 for rank in model.ranks))

    def test_late_orders_to_arm_of_a_former_leader_are_refused_at_an_idle_group(self):
        """Guards against a leader that lets a step go while orders to arm may still be executed."""

        async def main(executed_late):
            model = GroupModel(report_lag_s=0.2)
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            lease = FakeMapLease()
            duty, task = start_map_duty(model, lease)
            send, late = model.send, []

            async def lose_orders_to_arm(address, order, epoch, number, *rest):
                if not isinstance(order, Arm) or number != 1:
                    return await send(address, order, epoch, number, *rest)
                model.idle = True
                late.append((model.ranks[int(address)], order, epoch, number))
                if len({rank.number for rank, *_ in late}) == model.size:
                    lease.fencing_number = None
                await asyncio.sleep(0.05)
                return OrderResult.UNKNOWN

            model.send = lose_orders_to_arm
            await wait_until(lambda: lease.fencing_number is None)
            successor, successor_task = start_map_duty(model, FakeMapLease(2))
            await asyncio.sleep(3.0)
            held = model.ranks[0].held
            results = [
                rank.apply_order(*rest) for rank, *rest in late if rank.number in executed_late
            ]
            model.idle = False
            await asyncio.sleep(3.0)
            await cancel_tasks(
                task, successor_task, step_task, *duty.list_tasks(), *successor.list_tasks()
            )
            return model, held, results

        for executed_late in ({1}, {0, 2}, {3}):
            with self.subTest(executed_late=executed_late):
                model, held, results = run_auto_advance(main(executed_late))
                self.assertEqual(model.mixed_steps, [])
                self.assertIsNone(held)
                self.assertEqual(set(results), {OrderResult.FENCED})

    def test_no_step_with_two_maps_when_leaders_change_while_orders_are_late(self):
        """Leaders end at any moment, orders are executed seconds later, and the group idles at times."""

        async def main(seed):
            model = GroupModel(size=3, loss_rate=0.6, seed=seed, report_lag_s=0.2)
            dice, loop = random.Random(seed), asyncio.get_running_loop()
            step_task, duties, leases = loop.create_task(model.run()), [], []
            send = model.send

            async def send_and_end_leader(address, order, *rest):
                if isinstance(order, Arm) and leases and dice.random() < 0.15:
                    leases[-1].fencing_number = None
                    model.idle = True
                return await send(address, order, *rest)

            model.send = send_and_end_leader
            for number in range(1, 13):
                leases.append(FakeMapLease(number))
                duties.append(start_map_duty(model, leases[-1]))
                hot = dice.randrange(8)
                model.popularity = [
                    [1000 if expert == hot else 10 for expert in range(8)] for _ in range(2)
                ]
                await asyncio.sleep(dice.uniform(0.3, 3.0))
                leases[-1].fencing_number = None
                await asyncio.sleep(dice.uniform(0.0, 1.0))
                model.idle = False
            leases.clear()
            duties.append(start_map_duty(model, FakeMapLease(13)))
            await asyncio.sleep(20.0)
            before = model.step
            await asyncio.sleep(4.0)
            for duty, task in duties:
                await cancel_tasks(task, *duty.list_tasks())
            await cancel_tasks(step_task)
            return model, model.step - before

        switched = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                model, steps = run_auto_advance(main(seed))
                self.assertEqual(model.mixed_steps, [])
                self.assertGreater(steps, 20)
                switched += model.ranks[0].version > 0
        self.assertGreater(switched, len(SEEDS) * 0.8)

    def test_late_order_to_go_releases_no_later_switch(self):
        """Guards against a step that is held twice: the go of the first hold may come late."""

        async def main():
            model = GroupModel(report_lag_s=0.2)
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            await asyncio.sleep(1.0)
            model.idle = True
            model.ranks[0].apply_order(Hold(model.step + 2), 1, 1)
            released = model.step + 2
            duty, task = start_map_duty(model, FakeMapLease(2))
            await wait_until(lambda: "g" in duty.groups)
            group = duty.groups["g"]
            await cancel_tasks(task, *duty.list_tasks())
            plan = plan_map(group.rows, ([100_000] + [1000] * 7) * 2, 4, PROFILE)
            send, late = model.send, []

            async def send_and_execute_late_go(address, order, *rest):
                result = await send(address, order, *rest)
                if isinstance(order, Arm) and not late:
                    late.append(model.ranks[0].apply_order(Go(released), 1, 2))
                    late.append(model.ranks[0].held)
                return result

            model.send = send_and_execute_late_go
            await group.switch(plan, 29_999, PROFILE)
            await cancel_tasks(step_task)
            return late

        late, held = run_auto_advance(main())
        self.assertEqual(late, OrderResult.TAKEN)
        self.assertIsNotNone(held)

    def test_leader_that_a_rank_does_not_answer_resigns(self):
        """Guards against a group that is held for as long as one rank is out of its leader's reach."""

        async def main():
            model = GroupModel(report_lag_s=0.2)
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            lease, reasons = FakeMapLease(), []
            duty, task = start_map_duty(model, lease)

            def resign(reason):
                reasons.append((loop.time(), reason))
                lease.fencing_number = None

            duty.resign = resign
            send, cut_at = model.send, []

            async def send_to_reachable_ranks(address, order, epoch, number, *rest):
                if number == 1 and address == "2" and isinstance(order, Arm):
                    cut_at.append(loop.time())
                    await asyncio.sleep(0.05)
                    return OrderResult.UNKNOWN
                return await send(address, order, epoch, number, *rest)

            model.send = send_to_reachable_ranks
            await wait_until(lambda: reasons)
            resigned_at, reason = reasons[0]
            successor, successor_task = start_map_duty(model, FakeMapLease(2))
            await asyncio.sleep(2.0)
            before = model.step
            await asyncio.sleep(1.0)
            await cancel_tasks(
                task, successor_task, step_task, *duty.list_tasks(), *successor.list_tasks()
            )
            return model, resigned_at - cut_at[0], reason, model.step - before

        model, seconds, reason, steps = run_auto_advance(main())
        self.assertLess(seconds, 2.5)
        self.assertIn("i2", reason)
        self.assertGreater(steps, 10)
        self.assertEqual(model.mixed_steps, [])

    def test_ranks_armed_for_different_maps_are_disarmed_before_they_go_on(self):
        """Guards against a hold that no map leader ends."""

        async def main():
            model = GroupModel(report_lag_s=0.2)
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            rows = tuple(tuple((expert % 4,) for expert in range(8)) for _ in range(2))
            for rank, version in zip(model.ranks, (7, 7, 8, 7)):
                rank.apply_order(Prepare(version, rows), 1, 1)
            model.ranks[0].apply_order(Hold(20), 1, 1)
            model.ranks[1].apply_order(Arm(7, 20), 1, 1)
            model.ranks[2].apply_order(Arm(8, 20), 1, 1)
            duty, task = start_map_duty(model, FakeMapLease(2))
            await asyncio.sleep(4.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model

        model = run_auto_advance(main())
        self.assertEqual(model.mixed_steps, [])
        self.assertGreater(model.step, 40)

    def test_hold_found_beside_armed_ranks_is_completed_not_released(self):
        async def main():
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            duty, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(6.0)
            rows = duty.groups["g"].rows
            changed = (tuple((1,) if not expert else row for expert, row in enumerate(rows[0])),)
            step = model.step + 2
            for rank in model.ranks:
                rank.apply_order(Prepare(19_999, changed + rows[1:]), 1, 1)
            model.ranks[0].apply_order(Hold(step), 1, 1)
            model.ranks[2].apply_order(Arm(19_999, step), 1, 1)
            await asyncio.sleep(6.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model

        model = run_auto_advance(main())
        self.assertEqual(model.mixed_steps, [])
        self.assertTrue(all(rank.held is None for rank in model.ranks))

    def test_older_fence_is_refused(self):
        async def main():
            model = GroupModel()
            step_task = asyncio.get_running_loop().create_task(model.run())
            for rank in model.ranks:
                rank.fencing_number = 9
            duty, task = start_map_duty(model, FakeMapLease(3))
            await asyncio.sleep(5.0)
            sent = len(model.sent)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model, sent

        model, _ = run_auto_advance(main())
        self.assertTrue(all(rank.version == 0 for rank in model.ranks))
        self.assertEqual(model.mixed_steps, [])

    def test_reformed_group_is_found_again(self):
        async def main():
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            duty, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(6.0)
            first = model.ranks[0].version
            model.restart_group()
            await asyncio.sleep(8.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model, first

        model, first = run_auto_advance(main())
        self.assertGreater(first, 0)
        self.assertGreater(model.ranks[0].version, first)
        self.assertEqual(model.mixed_steps, [])

    def test_newly_formed_group_is_balanced_within_a_second(self):
        async def main():
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            duty, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(6.0)
            first = model.ranks[0].version
            model.restart_group()
            duty.rediscover()
            await asyncio.sleep(1.0)
            second = model.ranks[0].version
            await asyncio.sleep(1.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model, first, second

        model, first, second = run_auto_advance(main())
        self.assertGreater(second, first)
        self.assertEqual(model.mixed_steps, [])

    def test_slow_link_does_not_repeat_prepare_orders(self):
        """The orders to all ranks pass one link, the last ones after 0.4 s."""

        async def main():
            model = GroupModel()
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            send, repeated, seen = model.send, [], set()

            async def send_slowly(address, order, epoch, number, size, timeout_s=None):
                if isinstance(order, Prepare):
                    repeated.extend([address] * ((address, order.version) in seen))
                    seen.add((address, order.version))
                    transit_s = 0.1 * (1 + int(address))
                    if transit_s > timeout_s:
                        await asyncio.sleep(timeout_s)
                        return OrderResult.UNKNOWN
                    await asyncio.sleep(transit_s)
                return await send(address, order, epoch, number, size, timeout_s)

            model.send = send_slowly
            duty, task = start_map_duty(model, FakeMapLease())
            await asyncio.sleep(6.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model, repeated

        model, repeated = run_auto_advance(main())
        self.assertGreater(model.ranks[0].version, 0)
        self.assertEqual(repeated, [])

    def test_lost_prepare_orders_do_not_lengthen_the_wait_for_the_next(self):
        async def main(seed):
            model = GroupModel(loss_rate=0.4, seed=seed)
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            waits, send = [], model.send

            async def record_wait(address, order, epoch, number, size, timeout_s=None):
                if isinstance(order, Prepare):
                    waits.append(timeout_s)
                    model.response_timeout_s = timeout_s / 2
                else:
                    model.response_timeout_s = 0.05
                return await send(address, order, epoch, number, size, timeout_s)

            model.send = record_wait
            duty, task = start_map_duty(model, FakeMapLease())
            for turn in range(6):
                model.popularity = [
                    [1000 if expert == (turn * 3) % 8 else 10 for expert in range(8)]
                    for _ in range(2)
                ]
                await asyncio.sleep(4.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return waits

        for seed in range(5):
            with self.subTest(seed=seed):
                waits = run_auto_advance(main(seed))
                self.assertEqual(waits[0], 0.5)
                self.assertLess(waits[-1], 0.2)

    def test_counts_of_several_ranks_are_added(self):
        async def main():
            model = GroupModel(size=40, sets=1, experts=40)
            loop = asyncio.get_running_loop()
            ranks = {n: Endpoint(f"i{n}", "llm", str(n), "zone-1", 6) for n in range(40)}
            switcher = GroupMapSwitcher("g", ranks, model, lambda: 1, loop.time)
            await switcher.read_map(ExpertProfile(1, 40, 2, 2, 0.1))
            model.counts = [100] * 40
            first = await switcher.read_recent_counts()
            model.counts = [110] * 40
            read = []
            read_counts = model.read_counts

            async def record(address):
                read.append(address)
                return None if address == "16" else await read_counts(address)

            model.read_counts = record
            second = await switcher.read_recent_counts()
            return first, second, read, switcher.choices.recent

        self.assertEqual(run_auto_advance(main()), (False, True, ["0", "16", "32"], 800))

    def test_hold_that_arrives_too_late_is_retried_at_a_later_step(self):
        async def main():
            model = GroupModel(step_s=0.005)
            loop = asyncio.get_running_loop()
            step_task = loop.create_task(model.run())
            switcher = GroupMapSwitcher(
                "g", {n: e for n, (e, _) in enumerate(build_ranks(model))}, model, lambda: 1,
                loop.time, step_s=10.0,
            )  # fmt: skip
            switcher.epoch = 1
            send, delayed = model.send, []

            async def send_late(address, order, *rest):
                if isinstance(order, Hold) and not delayed:
                    delayed.append(order)
                    await asyncio.sleep(1.0)
                return await send(address, order, *rest)

            model.send = send_late
            await switcher.read_map(PROFILE)
            plan = plan_map(switcher.rows, ([100_000] + [1000] * 7) * 2, 4, PROFILE)
            switching = loop.create_task(switcher.switch(plan, 5, PROFILE))
            await asyncio.sleep(6.0)
            await cancel_tasks(step_task, switching)
            return model

        model = run_auto_advance(main())
        holds = [order for _, order, *_ in model.sent if isinstance(order, Hold)]
        self.assertGreater(len(holds), 1)
        self.assertEqual({rank.version for rank in model.ranks}, {5})
        self.assertEqual(model.mixed_steps, [])

    def test_orders_name_lease_and_epoch(self):
        async def main():
            model = GroupModel()
            step_task = asyncio.get_running_loop().create_task(model.run())
            duty, task = start_map_duty(model, FakeMapLease(7))
            await asyncio.sleep(6.0)
            await cancel_tasks(task, step_task, *duty.list_tasks())
            return model

        model = run_auto_advance(main())
        self.assertEqual(
            {(epoch, fencing_number) for _, _, epoch, fencing_number in model.sent}, {(1, 7)}
        )
        versions = {order.version for _, order, *_ in model.sent if isinstance(order, Prepare)}
        self.assertTrue(all(version > 7 * 10_000 for version in versions))


if __name__ == "__main__":
    unittest.main()
