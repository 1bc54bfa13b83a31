"""Cells of the fault matrix for lending quota and for changes of the duty to lend."""

from __future__ import annotations

from magnoliarouter.standins.bench.matrixcells import (
    Bench,
    Procedure,
    UnitTest,
    cover,
    exclude,
)

__all__ = ["PROCEDURES"]

NO_ENDPOINT = "no endpoint takes part"
MEMORY = "homes lend from memory; what the platform holds is under quota duty change"
MODEL_OF_SLOTS = "slots.SlotTest."
STORM = "quota_storm.StormTest."
QUOTA = "quota.QuotaTest."
HOME = "quota.HomeTest."
LIMITS = Bench("limits-faults")
DRAIN = Bench("drain")
LOSSY = UnitTest(STORM + "test_rates_in_a_lossy_network")
SLOW = UnitTest(STORM + "test_rates_in_a_slow_network")
HOLDERS = UnitTest(STORM + "test_rates_across_changes_of_holder")
BOUND = "bound kept"
ONE_HOLDER = "one holder at most"
WALKS = UnitTest("slot_walks.SlotWalkTest.test_one_holder_at_most_and_one_in_the_end")

LEND = Procedure(
    "quota lend",
    ("ask", "lend", "spend", "return"),
    (
        exclude("*", "e-*", NO_ENDPOINT),
        exclude("*", "p-lost p-stale p-gap p-flood p-conflict", MEMORY),
        exclude("spend", "p-* n-*", "spent in memory"),
        cover("ask lend", "p-down p-slow", BOUND, LIMITS),
        cover("ask lend", "n-cut", BOUND, LOSSY),
        cover("return", "n-cut", BOUND, LOSSY),
        cover("ask lend return", "n-delay n-reorder", BOUND, SLOW),
        cover(
            "lend",
            "n-cut",
            "lost answer's loan returns",
            UnitTest(QUOTA + "test_lost_answer_returns_what_it_lent"),
            LOSSY,
        ),
        cover(
            "ask",
            "n-dup",
            "acted on once",
            UnitTest(HOME + "test_repeated_ask_is_not_acted_on_again"),
        ),
        cover(
            "lend",
            "n-dup",
            "late answer not taken",
            UnitTest(QUOTA + "test_answer_after_giving_up_is_not_taken"),
        ),
        cover(
            "return",
            "n-dup",
            "returned once",
            UnitTest(HOME + "test_amount_that_was_never_lent_cannot_be_returned"),
        ),
        cover("ask lend", "n-oneway n-zone", BOUND, LIMITS),
        cover("lend", "n-half", BOUND, LIMITS),
        cover("ask lend", "k-kill", BOUND, HOLDERS, LIMITS),
        cover("ask lend", "k-pause", BOUND, LIMITS),
        cover(
            "lend",
            "k-kill",
            "successor waits out the loans",
            UnitTest(QUOTA + "test_new_holder_waits_out_the_loans_of_the_old_one"),
            HOLDERS,
        ),
        cover(
            "lend",
            "k-restart",
            "counts all that may be lent",
            UnitTest(HOME + "test_successor_counts_all_that_its_predecessor_may_have_lent"),
        ),
        cover(
            "ask",
            "k-restart",
            "known apart",
            UnitTest(QUOTA + "test_daemon_that_restarted_is_known_apart_from_its_late_asks"),
        ),
        cover(
            "spend",
            "k-pause",
            "expired stock not spent",
            UnitTest(QUOTA + "test_expired_stock_is_not_spent"),
            UnitTest(QUOTA + "test_stock_expires_by_the_time_before_the_ask"),
        ),
        cover(
            "spend",
            "k-kill",
            "permits stay taken",
            UnitTest(
                QUOTA + "test_permits_of_an_unheard_daemon_stay_taken_while_its_calls_may_run"
            ),
        ),
        cover(
            "return",
            "k-restart",
            "refused",
            UnitTest(HOME + "test_unknown_loan_is_answered_as_unknown"),
        ),
        cover("return", "k-term", BOUND, LIMITS),
        cover("ask lend", "two", BOUND, LIMITS),
    ),
)

DUTY = Procedure(
    "quota duty change",
    ("take", "renew", "lapse", "take-over", "release"),
    (
        exclude("*", "e-*", NO_ENDPOINT),
        exclude("lapse", "p-* n-*", "decided by the holder's own clock"),
        exclude("take renew release", "n-oneway n-dup n-reorder", "one call to the platform"),
        cover("take renew take-over", "p-down p-slow p-lost p-stale", ONE_HOLDER, WALKS),
        cover("take renew take-over", "p-conflict n-half n-zone", ONE_HOLDER, WALKS),
        cover("take renew lapse take-over", "k-pause k-restart two", ONE_HOLDER, WALKS),
        cover(
            "renew",
            "p-down",
            "promise of the successor",
            UnitTest(MODEL_OF_SLOTS + "test_store_outage_of_an_hour"),
        ),
        cover(
            "renew",
            "n-zone",
            "goes on by promise",
            UnitTest(MODEL_OF_SLOTS + "test_holder_alone_cut_from_the_store_goes_on_by_promise"),
        ),
        cover(
            "lapse",
            "two",
            "stops before the take-over",
            UnitTest(
                MODEL_OF_SLOTS
                + "test_holder_cut_from_store_and_successor_stops_before_the_take_over"
            ),
        ),
        cover(
            "lapse",
            "k-pause",
            "does not lend",
            UnitTest(MODEL_OF_SLOTS + "test_paused_holder_does_not_lend_when_it_wakes"),
            LIMITS,
        ),
        cover(
            "lapse",
            "k-kill",
            "successor takes over",
            UnitTest(MODEL_OF_SLOTS + "test_successor_takes_over_from_a_holder_that_ended"),
            LIMITS,
        ),
        cover(
            "take",
            "k-restart",
            "new epoch",
            UnitTest(MODEL_OF_SLOTS + "test_restarted_holder_takes_its_slot_with_a_new_epoch"),
        ),
        cover(
            "take",
            "p-lost p-slow",
            "no promise broken",
            UnitTest(MODEL_OF_SLOTS + "test_claim_that_took_effect_late_does_not_break_a_promise"),
            UnitTest(MODEL_OF_SLOTS + "test_no_promise_while_a_claim_is_on_its_way"),
        ),
        cover(
            "release",
            "k-term",
            "taken at once",
            UnitTest(MODEL_OF_SLOTS + "test_released_slot_is_taken_at_once"),
            DRAIN,
        ),
        cover(
            "take-over",
            "k-restart",
            "waits out its promises",
            UnitTest(
                MODEL_OF_SLOTS + "test_successor_that_restarted_waits_out_promises_it_has_forgotten"
            ),
        ),
        cover("take-over", "two", BOUND, LIMITS),
    ),
)

PROCEDURES = (LEND, DUTY)
