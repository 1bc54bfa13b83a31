from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from magnoliarouter.core import mapcontrol, mapstate, mapswitch
from magnoliarouter.core.mapmessages import NO_STEP, Arm, Commit, Form, Pending, Propose, Schedule
from magnoliarouter.core.maporders import list_orders
from magnoliarouter.core.mapstate import Phase, StoreOutcome
from magnoliarouter.core.mapswitch import Grant, RankState, Wait
from magnoliarouter.tests.groupmodel import GroupModel, MixedVersionsError
from magnoliarouter.tests.groupsearch import search

PHASES = (Phase.PREPARE, Phase.ARM, Phase.COMMIT_WRITE, Phase.CONFIRM, Phase.SPREAD)
ACTIONS_PER_WALK = 250


def walk(seed: int) -> GroupModel:
    """Run to a phase without faults, then random actions, then let the group recover."""
    model = GroupModel(2 + seed % 2, seed)
    model.run_until_phase(PHASES[seed // 2 % len(PHASES)])
    for _ in range(ACTIONS_PER_WALK):
        model.run_random_action()
    if not model.recover():
        raise AssertionError(f"seed {seed}: the group makes no progress")
    return model


# Group size, seed and number of actions of walks that once led to two maps in one step, or to a
# group that made no progress.
REGRESSION_WALKS = (
    (2, 110470, 300),
    (4, 307551, 800),
    (3, 203161, 400),
    (4, 300259, 800),
    (4, 302085, 800),
)


def build_rank(**changes) -> RankState:
    state = RankState(0, 2, "a", joined=True, seen=("a", "b"), schedule=Schedule(1), closed=1)
    return replace(state, loaded=frozenset((1, 2)), generation=("a", "b"), **changes)


class InterleavingTest(unittest.TestCase):
    def test_walks_that_failed_before(self):
        for size, seed, actions in REGRESSION_WALKS:
            with self.subTest(seed=seed):
                model = GroupModel(size, seed)
                model.run_until_phase(PHASES[seed % len(PHASES)])
                for _ in range(actions):
                    model.run_random_action()
                self.assertTrue(model.recover())

    def test_one_map_in_every_step_and_recovery(self):
        steps = switches = 0
        for seed in range(1500):
            with self.subTest(seed=seed):
                model = walk(seed)
                steps += len(model.version_by_step)
                switches += len(set(model.version_by_step.values())) - 1
        self.assertGreater(steps, 1500)
        self.assertGreater(switches, 500)

    def test_restarted_rank_does_not_confirm_a_step_that_it_may_have_started(self):
        model = GroupModel(2, 1)
        model.run_until_phase(Phase.ARM)
        state = model.controllers[0]
        version, step = state.target.version, state.target.since
        rank = replace(model.ranks[0], pending=Pending(version, step), granted=step)
        state, _ = mapcontrol.receive_report(state, mapswitch.create_report(rank), 0.0)
        other = replace(model.ranks[1], pending=Pending(version, step))
        state, _ = mapcontrol.receive_report(state, mapswitch.create_report(other), 0.0)
        self.assertIs(state.phase, Phase.ARM)
        self.assertGreater(state.target.since, step)


class SuccessionTest(unittest.TestCase):
    def test_next_switch_waits_until_the_last_one_took_effect(self):
        # A rank stores two versions; with two switches pending it would discard the first.
        model = GroupModel(2, 1)
        model.run_until_phase(Phase.SPREAD)
        frozen = mock.patch.object(model, "step")
        with frozen:
            for _ in range(20):
                model._run_round()
                model.start_switch(0)
        state = model.controllers[0]
        self.assertEqual((state.phase, state.current.version), (Phase.PREPARE, 2))
        self.assertTrue(model.recover())

    def test_mixed_generations_with_a_joining_rank_form_a_new_group(self):
        model = GroupModel(3, 1)
        model.run_until_phase(Phase.PREPARE)
        stray_rank = replace(model.ranks[2], generation=("x", "y", model.ranks[2].incarnation))
        model.ranks[2] = stray_rank
        model.restart(0)
        self.assertTrue(model.recover())


def pass_armed_step(state, step, grant=mapswitch.grant_step):
    after, verdict = grant(replace(state, pending=None), step)
    return replace(after, pending=state.pending), verdict


def accept_old_epoch(state, order, apply=mapswitch.apply_order):
    return apply(state if isinstance(order, Form) else replace(state, epoch=0), order)


def accept_unstable_commit(state, order, apply=mapswitch.apply_order):
    stable = isinstance(order, Commit)
    return apply(state, replace_stable(order) if stable else order)


def replace_stable(order: Commit) -> Commit:
    return Commit(order.epoch, order.schedule, stable=True)


def ignore_incarnations(state):
    reports = state.known_reports
    return len(reports) == state.size and all(report.joined for report in reports)


def commit_without_one_rank(state, now):
    version, step = state.target.version, state.target.since
    armed = [
        mapstate.has_pending(report, version) and report.pending.armed == step
        for report in state.known_reports
    ]
    return mapcontrol._write_commit(state, now) if sum(armed) >= state.size - 1 else (state, [])


def abort_on_takeover(state, now, resolve=mapcontrol._resolve_in_flight):
    cleared = tuple(
        mapcontrol.msgspec.structs.replace(report, pending=None) if report else None
        for report in state.reports
    )
    return resolve(replace(state, reports=cleared), now)


def forget_pending_on_join(state, informed, join=mapswitch._join):
    return replace(join(state, informed), pending=None)


def abort_after_lost_response(state, outcome, version, now, receive=mapcontrol.receive_outcome):
    if state.phase is Phase.COMMIT_WRITE and outcome is StoreOutcome.LOST:
        return mapcontrol._abort(state, now)
    return receive(state, outcome, version, now)


def release_then_restart() -> None:
    """Let one of two ranks receive the commit, act on it and restart, then let both recover."""
    model = GroupModel(2, 1)
    model.run_until_phase(Phase.CONFIRM)
    model.load(0)
    model.deliver_order(0, 0, list_orders(model.controllers[0])[0].order)
    model.deliver_report(0, mapswitch.create_report(model.ranks[0]))
    released = [order for _, rank, order in model.orders if rank == 0]
    model.deliver_order(0, 0, released[-1])
    for _ in range(20):
        model.step(0)
        model.step(1)
    model.restart(0)
    model.send_greeting(0, 1)
    model.deliver_response(*model.responses[-1])
    if not model.recover():
        raise AssertionError("the group makes no progress")


class ReleaseTest(unittest.TestCase):
    def test_commit_known_to_one_rank_is_not_acted_on(self):
        release_then_restart()

    def test_acting_on_commit_known_to_one_rank_is_caught(self):
        def known_by_any_rank(state):
            return any(report.pending.known for report in state.known_reports if report.pending)

        with (
            mock.patch.object(mapcontrol, "all_know_commit", known_by_any_rank),
            self.assertRaises(MixedVersionsError),
        ):
            release_then_restart()


def search_from(phase: Phase, depth: int) -> int:
    """Search all sequences with at most one restart and one takeover, from a fault-free phase."""
    model = GroupModel(2, 1)
    model.run_until_phase(phase)
    model.orders, model.reports = model.orders[-4:], []
    return search(model, depth, restarts=1, controllers=1)


class SearchTest(unittest.TestCase):
    def test_no_sequence_of_actions_leads_to_two_maps(self):
        depths = {Phase.ARM: 7, Phase.COMMIT_WRITE: 8, Phase.CONFIRM: 8, Phase.SPREAD: 8}
        states = sum(search_from(phase, depth) for phase, depth in depths.items())
        self.assertGreater(states, 40_000)

    def test_search_catches_a_rank_that_passes_its_confirmed_step(self):
        patched = mock.patch.object(mapswitch, "grant_step", pass_armed_step)
        with patched, self.assertRaises(MixedVersionsError):
            search_from(Phase.SPREAD, 8)


class MutationTest(unittest.TestCase):
    """Walks that pass with the real rules detect each weakened rule."""

    def assert_caught(self, module, name, mutant, seeds):
        with mock.patch.object(module, name, mutant), self.assertRaises(MixedVersionsError):
            for seed in seeds:
                self.walk_past_stalls(seed)

    def walk_past_stalls(self, seed):
        """Run a walk, and ignore a group that makes no progress."""
        try:
            walk(seed)
        except MixedVersionsError:
            raise
        except AssertionError:
            return

    def test_rank_passes_confirmed_step(self):
        self.assert_caught(mapswitch, "grant_step", pass_armed_step, range(50))

    def test_rank_accepts_old_epoch(self):
        self.assert_caught(mapswitch, "apply_order", accept_old_epoch, range(1555, 1565))

    def test_rank_accepts_unstable_commit(self):
        self.assert_caught(mapswitch, "apply_order", accept_unstable_commit, range(960, 970))

    def test_controller_ignores_incarnations(self):
        self.assert_caught(mapcontrol, "ranks_agree", ignore_incarnations, range(11_895, 11_905))

    def test_controller_commits_without_one_rank(self):
        self.assert_caught(mapcontrol, "_check_armed", commit_without_one_rank, range(20))

    def test_new_controller_always_aborts(self):
        self.assert_caught(mapcontrol, "_resolve_in_flight", abort_on_takeover, range(680, 690))

    def test_restarted_rank_forgets_confirmation(self):
        self.assert_caught(mapswitch, "_join", forget_pending_on_join, range(60))

    def test_controller_aborts_after_lost_response(self):
        # A closed version is never reopened, so the group makes no progress instead of mixing maps.
        name = "receive_outcome"
        patched = mock.patch.object(mapcontrol, name, abort_after_lost_response)
        with patched, self.assertRaisesRegex(AssertionError, "makes no progress"):
            for seed in range(200):
                walk(seed)


class RankTest(unittest.TestCase):
    def test_waits_at_confirmed_step(self):
        state = mapswitch.apply_order(build_rank(), Propose(1, 2))
        state = mapswitch.apply_order(state, Arm(1, 2, 5))
        self.assertEqual(mapswitch.grant_step(state, 4)[1], Grant(1))
        self.assertEqual(mapswitch.grant_step(state, 5)[1], Wait("undecided"))
        state = mapswitch.apply_order(state, Commit(1, Schedule(2, 5, 1), stable=True))
        self.assertEqual(mapswitch.grant_step(state, 5)[1], Grant(2))
        self.assertEqual(mapswitch.grant_step(state, 4)[1], Grant(1))

    def test_refuses_passed_step(self):
        state = mapswitch.apply_order(build_rank(granted=7), Propose(1, 2))
        state = mapswitch.apply_order(state, Arm(1, 2, 7))
        self.assertEqual(state.pending.armed, NO_STEP)

    def test_refuses_old_epoch(self):
        state = build_rank(epoch=3)
        self.assertEqual(mapswitch.apply_order(state, Propose(2, 2)), state)

    def test_applies_decisions_from_the_record(self):
        state = build_rank(pending=Pending(2, 5))
        apply_record = mapswitch.apply_record
        self.assertEqual(apply_record(state, Schedule(1), 1, 0), state)
        self.assertEqual(apply_record(state, Schedule(1), 2, 2), state)
        self.assertIsNone(apply_record(state, Schedule(1), 2, 0).pending)
        committed = apply_record(state, Schedule(2, 5, 1), 2, 0)
        self.assertEqual((committed.schedule.version, committed.pending), (2, None))

    def test_record_does_not_abort_what_is_known_to_be_committed(self):
        state = build_rank(pending=Pending(2, 5, known=True))
        self.assertEqual(mapswitch.apply_record(state, Schedule(1), 2, 0), state)

    def test_restarted_rank_waits_to_join(self):
        state = RankState(0, 2, "c")
        self.assertEqual(mapswitch.grant_step(state, 0)[1], Wait("joining"))


if __name__ == "__main__":
    unittest.main()
