from __future__ import annotations

import unittest
from unittest import mock

from magnoliarouter.core.attempts import AttemptState, AttemptTable, StartVerdict
from magnoliarouter.core.claims import ClaimRun
from magnoliarouter.core.claimsteps import (
    Claim,
    ClaimKey,
    ClaimState,
    FenceAnswer,
    FoundClaim,
    GuardSilent,
    NotStarted,
    OtherIncarnation,
    Placed,
    Ran,
    RefusedRun,
    Stored,
    StoreDown,
    Target,
    WriteClaim,
)
from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.tests.claim_model import KEY, RESPONSE, create_model, find_violation

OWN_TARGET = Target("a1", "tanks-1", "127.0.0.1:1", "g0", 60.0)
OTHER_TARGET = Target("a0", "tanks-1", "127.0.0.1:1", "g0", 60.0)


class AcceptsAnyClaim(ClaimRun):
    """Faulty rule: any claim found after a lost response counts as its own."""

    __slots__ = ()

    def _is_own(self, claim):
        return self._own_claim is not None


class TreatsSilenceAsFenced(ClaimRun):
    """Faulty rule: a guard that does not respond counts as having fenced the attempt."""

    __slots__ = ()

    def _after_fencing(self, event):
        if isinstance(event, GuardSilent):
            event = FenceAnswer(AttemptState.FENCED)
        return super()._after_fencing(event)


class TreatsRestartAsFenced(ClaimRun):
    """Faulty rule: a restart of the guard counts as proof that the attempt did not run."""

    __slots__ = ()

    def _after_fencing(self, event):
        if isinstance(event, OtherIncarnation):
            event = FenceAnswer(AttemptState.FENCED)
        return super()._after_fencing(event)


class TreatsTimeoutAsRefusal(ClaimRun):
    """Faulty rule: a lost response counts as a refusal."""

    __slots__ = ()

    def _after_running(self, event):
        if not isinstance(event, NotStarted) and not hasattr(event, "answer"):
            event = NotStarted("timeout")
        return super()._after_running(event)


class EveryOrderTest(unittest.TestCase):
    """Searches every order of steps, losses, duplicates, delays, crashes and restarts."""

    def search(self, make_run=lambda: ClaimRun(KEY), processes=2, faults=1, tries=1, conflicts=0):
        limits = {"MAX_TRIES": tries, "MAX_CONFLICTS": conflicts}
        with mock.patch.multiple("magnoliarouter.core.claims", **limits):
            return find_violation(create_model(make_run, processes, faults))

    def test_two_requests_and_two_faults(self):
        violation, states = self.search(faults=2)
        self.assertIsNone(violation)
        self.assertGreater(states, 10_000)

    def test_two_requests_with_two_tries_and_one_fault(self):
        violation, states = self.search(faults=1, tries=2)
        self.assertIsNone(violation)
        self.assertGreater(states, 10_000)

    def test_three_requests(self):
        self.assertIsNone(self.search(processes=3, faults=0)[0])

    def test_wrong_rules_of_a_request_are_caught(self):
        for rule in (
            AcceptsAnyClaim,
            TreatsSilenceAsFenced,
            TreatsRestartAsFenced,
            TreatsTimeoutAsRefusal,
        ):
            with self.subTest(rule.__name__):
                violation, _ = self.search(lambda rule=rule: rule(KEY))
                self.assertIsNotNone(violation)

    def test_wrong_rules_of_the_guard_are_caught(self):
        def start_unconditionally(table, attempt, incarnation, now, not_after):
            table._running[attempt] = True
            return StartVerdict.START

        def fence_without_expiry(table, attempt, now, not_after):
            return fence(table, attempt, now, float("inf"))

        def start_without_expiry(table, attempt, incarnation, now, not_after):
            return start(table, attempt, incarnation, now, now + 1.0)

        start, fence = AttemptTable.start, AttemptTable.fence
        for name, rule, faults in (
            ("start", start_unconditionally, 1),
            ("fence", fence_without_expiry, 1),
            ("start", start_without_expiry, 2),
        ):
            with self.subTest(rule.__name__), mock.patch.object(AttemptTable, name, rule):
                self.assertIsNotNone(self.search(faults=faults)[0])


class ClaimRunTest(unittest.TestCase):
    def run_until_found(self, claim, key=KEY):
        run = ClaimRun(key)
        run.start()
        run.step(Placed(OWN_TARGET))
        return run, run.step(FoundClaim(4, claim))

    def test_stored_outcome_is_replayed(self):
        _, effect = self.run_until_found(Claim(KEY, OTHER_TARGET, ClaimState.FINISHED, RESPONSE))
        self.assertEqual(effect, Ran(RESPONSE, replayed=True))

    def test_other_body_is_refused(self):
        other = ClaimKey(KEY.customer, KEY.key_digest, "other")
        _, effect = self.run_until_found(Claim(other, OTHER_TARGET))
        self.assertEqual(effect.code, ResultCode.KEY_REUSED)

    def test_fenced_attempt_is_taken_over_at_its_version(self):
        run, _ = self.run_until_found(Claim(KEY, OTHER_TARGET))
        effect = run.step(FenceAnswer(AttemptState.FENCED))
        self.assertEqual(effect, WriteClaim(Claim(KEY, OWN_TARGET), 4))

    def test_store_down_refusal_does_not_cover_the_key(self):
        run = ClaimRun(KEY)
        run.start()
        run.step(Placed(OWN_TARGET))
        effect = run.step(StoreDown())
        self.assertIsInstance(effect, RefusedRun)
        self.assertEqual((effect.code, effect.covers_key), (ResultCode.PLATFORM_UNAVAILABLE, False))

    def test_proof_overrides_a_claim_marked_unknown(self):
        run, _ = self.run_until_found(Claim(KEY, OTHER_TARGET, ClaimState.RELEASED))
        run.step(Stored(5))
        run.tries = 9
        release = run.step(NotStarted("draining"))
        self.assertIs(release.claim.state, ClaimState.RELEASED)
        unknown = Claim(KEY, OWN_TARGET, ClaimState.UNKNOWN)
        self.assertEqual(run.step(FoundClaim(6, unknown)), WriteClaim(release.claim, 6))
        self.assertTrue(run.step(Stored(7)).covers_key)
