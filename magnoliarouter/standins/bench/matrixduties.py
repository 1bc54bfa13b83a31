"""Cells of the fault matrix for contract amendments, drains, orders and expert map switches.

The codes of faults are explained in `matrixcells.FAULTS`; each procedure lists its steps.
"""

from __future__ import annotations

from magnoliarouter.standins.bench.matrixcells import (
    Bench,
    Procedure,
    Scene,
    UnitTest,
    cover,
    exclude,
)

__all__ = ["PROCEDURES"]

NO_ENDPOINT = "no endpoint takes part"
LEASE_KEEPER_TEST = "lease.LeaseKeeperTest."
LEASE_TEST = "lease.LeaseTest."
ROLLOUT_EXPERIMENT = Bench("rollout")
DRAIN_EXPERIMENT = Bench("drain")
EXITS_IN_TIME = "0 cut off, exit 0 within 10 s"
LEAVING_EXPERIMENT = Bench("leaving")
MAP_EXPERIMENT = Bench("map")
INTERLEAVING_TEST = UnitTest("mapswitch.InterleavingTest.test_one_map_in_every_step_and_recovery")

AMENDMENT = Procedure(
    "amendment",
    ("write", "watch", "relay", "apply", "confirm"),
    (
        exclude("*", "e-*", NO_ENDPOINT),
        exclude(
            "watch relay apply confirm", "p-conflict p-lost", "only the write changes the store"
        ),
        exclude("apply", "n-* p-down p-slow", "applied in memory"),
        exclude("relay confirm", "p-gap p-flood p-stale", "between daemons, without the platform"),
        cover(
            "write",
            "p-down",
            "refused with a code",
            UnitTest("cli.ContractCommandsTest.test_platform_down_or_malformed"),
        ),
        cover("write", "p-slow", "in force", ROLLOUT_EXPERIMENT),
        cover(
            "write",
            "p-lost",
            "settled by reading back",
            UnitTest("cli.ContractCommandsTest.test_lost_answers_are_settled"),
            ROLLOUT_EXPERIMENT,
        ),
        cover(
            "write",
            "p-stale two",
            "settled",
            UnitTest("client.StandinTest.test_lost_answer_and_stale_read_are_settled"),
        ),
        cover(
            "write",
            "p-conflict",
            "conflict shown, nothing lost",
            UnitTest("cli.ContractCommandsTest.test_racing_operators_lose_nothing"),
            UnitTest("contracts.RacingOperatorsTest.test_accepted_is_kept_and_conflict_is_not"),
            ROLLOUT_EXPERIMENT,
        ),
        cover("watch relay", "p-down p-slow n-zone", "in force, no revert", ROLLOUT_EXPERIMENT),
        cover(
            "watch",
            "p-gap",
            "listed again",
            UnitTest("replica.ObjectFeedTest.test_lists_watches_and_lists_again_after_a_gap"),
            ROLLOUT_EXPERIMENT,
        ),
        cover(
            "watch",
            "p-stale",
            "noticed",
            UnitTest("replica.ObjectFeedTest.test_watch_of_a_lagging_platform_is_noticed"),
            ROLLOUT_EXPERIMENT,
        ),
        cover(
            "relay",
            "k-kill",
            "others take over",
            UnitTest("configuration.ConfigurationTest.test_others_take_over_when_the_relays_die"),
            ROLLOUT_EXPERIMENT,
        ),
        cover("watch apply", "p-flood", "in force", Scene("flood-of-changes")),
        cover("relay", "k-pause n-half two", "in force, no revert", ROLLOUT_EXPERIMENT),
        cover(
            "relay",
            "k-term",
            "handed over",
            UnitTest("relay.RelayPlanTest.test_leaving_holder_hands_over"),
        ),
        cover(
            "relay",
            "k-restart",
            "follower ends as its relays",
            UnitTest("relay.RelayModelTest.test_follower_ends_as_its_relays"),
        ),
        cover(
            "apply",
            "p-stale p-gap",
            "never moves back",
            UnitTest(
                "replica.ReplicaModelTest.test_stale_lists_and_lagging_watches_never_move_back"
            ),
        ),
        cover(
            "relay apply",
            "n-reorder n-dup",
            "ends as the history",
            UnitTest("replica.ReplicaModelTest.test_any_order_and_duplicates_end_as_the_history"),
        ),
        cover(
            "apply",
            "k-restart",
            "starts from peers",
            UnitTest(
                "configuration.ConfigurationTest."
                "test_new_daemon_starts_from_peers_while_the_platform_is_down"
            ),
        ),
        cover(
            "confirm",
            "k-kill k-pause n-half n-zone",
            "daemon named as not confirmed",
            UnitTest("cli.ConfirmationTest.test_wait_names_daemons_that_have_not_confirmed"),
        ),
    ),
)

ENTRY_DRAIN = Procedure(
    "drain of an entry daemon",
    ("notice", "finish", "hand-back", "exit"),
    (
        exclude("notice finish", "p-*", "the step does not use the platform"),
        exclude("exit", "p-* n-* e-*", "all is handed back by then"),
        exclude("notice hand-back", "e-*", NO_ENDPOINT),
        exclude("finish", "e-slow e-gap e-old e-stale", "placed before the daemon leaves"),
        cover("notice finish exit", "k-term", "0 cut off, exit 0", DRAIN_EXPERIMENT),
        cover("hand-back", "k-term", "leases handed back", DRAIN_EXPERIMENT),
        cover("hand-back", "p-down", EXITS_IN_TIME, Scene("entry-leaves-platform-down")),
        cover("hand-back", "p-slow", EXITS_IN_TIME, Scene("entry-leaves-platform-slow")),
        cover("hand-back", "p-lost", EXITS_IN_TIME, Scene("entry-leaves-answers-lost")),
        cover("hand-back", "n-half n-zone", EXITS_IN_TIME, Scene("entry-leaves-platform-cut-off")),
        cover(
            "finish",
            "two",
            "streams finish while guard leaves too",
            UnitTest("shutdown.ShutdownTest.test_streams_finish_while_both_daemons_leave"),
        ),
        cover(
            "finish",
            "k-kill",
            "work cancelled, error shown",
            UnitTest("shutdown.ShutdownTest.test_stream_of_a_killed_entry_daemon_is_cancelled"),
        ),
    ),
)

ENDPOINT_DRAIN = Procedure(
    "drain of an endpoint",
    ("ask", "spread", "refuse", "finish", "exit"),
    (
        exclude("refuse finish", "p-*", "the step does not use the platform"),
        exclude("*", "e-slow e-gap e-crossed e-second", "see request: the same attempts are made"),
        cover(
            "ask spread refuse finish exit",
            "k-term",
            "last new work within 3 s, exit 0",
            DRAIN_EXPERIMENT,
        ),
        cover("ask exit", "p-down", EXITS_IN_TIME, Scene("guard-leaves-platform-down")),
        cover("ask exit", "p-slow", EXITS_IN_TIME, Scene("guard-leaves-platform-slow")),
        cover("spread", "p-down", "last new work within 3 s", LEAVING_EXPERIMENT),
        cover("finish", "k-kill", "only its own streams break", LEAVING_EXPERIMENT),
        cover(
            "ask",
            "k-restart",
            "drain outlives the guard",
            UnitTest("shutdown.ShutdownTest.test_operators_drain_outlives_the_guard"),
        ),
        cover(
            "spread",
            "k-restart",
            "counts for its incarnation",
            UnitTest("retry.PlacementTest.test_draining_report_counts_for_its_incarnation_only"),
        ),
        cover(
            "spread",
            "e-old",
            "told at once",
            UnitTest("digests.MonitorTest.test_drain_is_told_at_once_and_load_after_the_pause"),
        ),
    ),
)

ORDER = Procedure(
    "order",
    ("write", "lease", "send", "apply", "record"),
    (
        exclude("*", "e-crossed e-gap e-old e-slow", "an order depends on no load or answer text"),
        exclude("send apply", "p-*", "from the lease holder to the guard"),
        exclude("write", "e-*", NO_ENDPOINT),
        exclude("lease", "e-*", NO_ENDPOINT),
        cover(
            "lease",
            "p-lost",
            "settled by reading back",
            UnitTest(LEASE_TEST + "test_lost_answer_is_settled_by_reading_back"),
            UnitTest("lease_steps.EveryOrderTest.test_single_holder_with_a_fault"),
        ),
        cover(
            "lease",
            "p-conflict",
            "loser holds nothing",
            UnitTest(LEASE_TEST + "test_loser_of_a_race_holds_nothing"),
        ),
        cover(
            "lease",
            "p-stale",
            "ignored",
            UnitTest(LEASE_TEST + "test_lagging_read_is_ignored_but_refused_write_is_believed"),
        ),
        cover(
            "lease",
            "p-slow n-delay",
            "term counts from before the request",
            UnitTest(LEASE_TEST + "test_term_counts_from_before_the_request"),
        ),
        cover(
            "lease",
            "k-pause",
            "finds out",
            UnitTest(
                LEASE_KEEPER_TEST
                + "test_candidate_takes_over_after_the_lapse_and_paused_holder_finds_out"
            ),
        ),
        cover(
            "lease",
            "k-term",
            "handed over",
            UnitTest(LEASE_KEEPER_TEST + "test_release_hands_over_at_once"),
        ),
        cover(
            "lease",
            "p-down n-cut",
            "renews",
            UnitTest(LEASE_KEEPER_TEST + "test_renews_through_lost_answers_and_lost_writes"),
        ),
        cover(
            "send",
            "k-pause",
            "0 stale orders",
            Bench("fencing"),
            UnitTest("upkeep.OrderControllerTest.test_holder_that_lost_the_lease_sends_nothing"),
        ),
        cover("send", "n-delay e-stale", "0 stale orders", Bench("fencing")),
        cover(
            "apply",
            "e-stale e-second n-dup n-reorder",
            "applied once, older refused",
            UnitTest("upkeep.OrderTableTest.test_applied_once_and_older_epochs_refused"),
        ),
        cover(
            "record",
            "k-kill",
            "successor completes",
            UnitTest(
                "upkeep.OrderControllerTest.test_successor_completes_what_its_predecessor_began"
            ),
        ),
    ),
)

MAP_SWITCH = Procedure(
    "map switch",
    ("propose", "prepare", "arm", "commit", "spread"),
    (
        exclude("*", "e-crossed e-gap e-old e-late e-second", "ranks are told maps, not requests"),
        exclude("*", "p-gap p-flood", "the record is read and written, not watched"),
        exclude("prepare arm spread", "p-conflict", "the step writes nothing"),
        cover(
            "*",
            "p-down p-lost",
            "one map in every step, recovers",
            MAP_EXPERIMENT,
            INTERLEAVING_TEST,
        ),
        cover("*", "n-half n-delay", "one map in every step, recovers", MAP_EXPERIMENT),
        cover("*", "n-reorder n-dup n-cut", "one map in every step", INTERLEAVING_TEST),
        cover(
            "*", "k-kill k-pause k-restart two", "one map in every step, recovers", MAP_EXPERIMENT
        ),
        cover("*", "e-slow", "ranks wait, one map", MAP_EXPERIMENT),
        cover("propose commit", "p-conflict", "one map in every step", INTERLEAVING_TEST),
        cover(
            "prepare arm spread",
            "e-stale",
            "refused",
            UnitTest("mapswitch.RankTest.test_refuses_old_epoch"),
        ),
    ),
)

PROCEDURES = (AMENDMENT, ENTRY_DRAIN, ENDPOINT_DRAIN, ORDER, MAP_SWITCH)
