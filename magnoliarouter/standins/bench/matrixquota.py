"""Cells of the fault matrix for quota loans and for changes of the quota home that lends."""

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
LENT_FROM_MEMORY = "homes lend from memory; what the platform holds is under quota duty change"
SLOT_TEST = "slots.SlotTest."
STORM_TEST = "quota_storm.StormTest."
QUOTA_TEST = "quota.QuotaTest."
QUOTA_HOME_TEST = "quota.HomeTest."
LIMITS_EXPERIMENT = Bench("limits-faults")
DRAIN_EXPERIMENT = Bench("drain")
LOSSY_NETWORK_TEST = UnitTest(STORM_TEST + "test_rates_in_a_lossy_network")
SLOW_NETWORK_TEST = UnitTest(STORM_TEST + "test_rates_in_a_slow_network")
HOLDER_CHANGE_TEST = UnitTest(STORM_TEST + "test_rates_across_changes_of_holder")
BOUND_KEPT = "bound kept"
ONE_HOLDER = "one holder at most"
SLOT_WALK_TEST = UnitTest("slot_walks.SlotWalkTest.test_one_holder_at_most_and_one_in_the_end")

QUOTA_LENDING = Procedure(
    "quota lend",
    ("ask", "lend", "spend", "return"),
    (
        exclude("*", "e-*", NO_ENDPOINT),
        exclude("*", "p-lost p-stale p-gap p-flood p-conflict", LENT_FROM_MEMORY),
        exclude("spend", "p-* n-*", "spent in memory"),
        cover("ask lend", "p-down p-slow", BOUND_KEPT, LIMITS_EXPERIMENT),
        cover("ask lend", "n-cut", BOUND_KEPT, LOSSY_NETWORK_TEST),
        cover("return", "n-cut", BOUND_KEPT, LOSSY_NETWORK_TEST),
        cover("ask lend return", "n-delay n-reorder", BOUND_KEPT, SLOW_NETWORK_TEST),
        cover(
            "lend",
            "n-cut",
            "lost answer's loan returns",
            UnitTest(QUOTA_TEST + "test_lost_answer_returns_what_it_lent"),
            LOSSY_NETWORK_TEST,
        ),
        cover(
            "ask",
            "n-dup",
            "acted on once",
            UnitTest(QUOTA_HOME_TEST + "test_repeated_ask_is_not_acted_on_again"),
        ),
        cover(
            "lend",
            "n-dup",
            "late answer not taken",
            UnitTest(QUOTA_TEST + "test_answer_after_giving_up_is_not_taken"),
        ),
        cover(
            "return",
            "n-dup",
            "returned once",
            UnitTest(QUOTA_HOME_TEST + "test_amount_that_was_never_lent_cannot_be_returned"),
        ),
        cover("ask lend", "n-oneway n-zone", BOUND_KEPT, LIMITS_EXPERIMENT),
        cover("lend", "n-half", BOUND_KEPT, LIMITS_EXPERIMENT),
        cover("ask lend", "k-kill", BOUND_KEPT, HOLDER_CHANGE_TEST, LIMITS_EXPERIMENT),
        cover("ask lend", "k-pause", BOUND_KEPT, LIMITS_EXPERIMENT),
        cover(
            "lend",
            "k-kill",
            "successor waits out the loans",
            UnitTest(QUOTA_TEST + "test_new_holder_waits_out_the_loans_of_the_old_one"),
            HOLDER_CHANGE_TEST,
        ),
        cover(
            "lend",
            "k-restart",
            "counts all that may be lent",
            UnitTest(
                QUOTA_HOME_TEST + "test_successor_counts_all_that_its_predecessor_may_have_lent"
            ),
        ),
        cover(
            "ask",
            "k-restart",
            "known apart",
            UnitTest(QUOTA_TEST + "test_daemon_that_restarted_is_known_apart_from_its_late_asks"),
        ),
        cover(
            "spend",
            "k-pause",
            "expired stock not spent",
            UnitTest(QUOTA_TEST + "test_expired_stock_is_not_spent"),
            UnitTest(QUOTA_TEST + "test_stock_expires_by_the_time_before_the_ask"),
        ),
        cover(
            "spend",
            "k-kill",
            "permits stay taken",
            UnitTest(
                QUOTA_TEST + "test_permits_of_an_unheard_daemon_stay_taken_while_its_calls_may_run"
            ),
        ),
        cover(
            "return",
            "k-restart",
            "refused",
            UnitTest(QUOTA_HOME_TEST + "test_unknown_loan_is_answered_as_unknown"),
        ),
        cover("return", "k-term", BOUND_KEPT, LIMITS_EXPERIMENT),
        cover("ask lend", "two", BOUND_KEPT, LIMITS_EXPERIMENT),
    ),
)

QUOTA_DUTY_CHANGE = Procedure(
    "quota duty change",
    ("take", "renew", "lapse", "take-over", "release"),
    (
        exclude("*", "e-*", NO_ENDPOINT),
        exclude("lapse", "p-* n-*", "decided by the holder's own clock"),
        exclude("take renew release", "n-oneway n-dup n-reorder", "one call to the platform"),
        cover("take renew take-over", "p-down p-slow p-lost p-stale", ONE_HOLDER, SLOT_WALK_TEST),
        cover("take renew take-over", "p-conflict n-half n-zone", ONE_HOLDER, SLOT_WALK_TEST),
        cover("take renew lapse take-over", "k-pause k-restart two", ONE_HOLDER, SLOT_WALK_TEST),
        cover(
            "renew",
            "p-down",
            "promise of the successor",
            UnitTest(SLOT_TEST + "test_store_outage_of_an_hour"),
        ),
        cover(
            "renew",
            "n-zone",
            "goes on by promise",
            UnitTest(SLOT_TEST + "test_holder_alone_cut_from_the_store_goes_on_by_promise"),
        ),
        cover(
            "lapse",
            "two",
            "stops before the take-over",
            UnitTest(
                SLOT_TEST + "test_holder_cut_from_store_and_successor_stops_before_the_take_over"
            ),
        ),
        cover(
            "lapse",
            "k-pause",
            "does not lend",
            UnitTest(SLOT_TEST + "test_paused_holder_does_not_lend_when_it_wakes"),
            LIMITS_EXPERIMENT,
        ),
        cover(
            "lapse",
            "k-kill",
            "successor takes over",
            UnitTest(SLOT_TEST + "test_successor_takes_over_from_a_holder_that_ended"),
            LIMITS_EXPERIMENT,
        ),
        cover(
            "take",
            "k-restart",
            "new epoch",
            UnitTest(SLOT_TEST + "test_restarted_holder_takes_its_slot_with_a_new_epoch"),
        ),
        cover(
            "take",
            "p-lost p-slow",
            "no promise broken",
            UnitTest(SLOT_TEST + "test_claim_that_took_effect_late_does_not_break_a_promise"),
            UnitTest(SLOT_TEST + "test_no_promise_while_a_claim_is_on_its_way"),
        ),
        cover(
            "release",
            "k-term",
            "taken at once",
            UnitTest(SLOT_TEST + "test_released_slot_is_taken_at_once"),
            DRAIN_EXPERIMENT,
        ),
        cover(
            "take-over",
            "k-restart",
            "waits out its promises",
            UnitTest(
                SLOT_TEST + "test_successor_that_restarted_waits_out_promises_it_has_forgotten"
            ),
        ),
        cover("take-over", "two", BOUND_KEPT, LIMITS_EXPERIMENT),
    ),
)

PROCEDURES = (QUOTA_LENDING, QUOTA_DUTY_CHANGE)
