"""Cells of the fault matrix for repeatable and non-repeatable requests."""

from __future__ import annotations

from magnoliarouter.standins.bench.matrixcells import (
    Bench,
    Procedure,
    Scene,
    UnitTest,
    cover,
    exclude,
)

__all__ = ["NON_REPEATABLE", "REQUEST"]

NO_PLATFORM_READ = "the step uses nothing that is read from the platform while it runs"
NO_WRITE = "a request writes nothing to the platform"
BYTES_IN_ORDER = "a request's bytes stay in order on their TCP connection"
NO_ENDPOINT = "no endpoint takes part"
PLACEMENT_ONLY = "caches, reports and speeds of endpoints are used in placement only"
LIMITS_EXPERIMENT = Bench("limits-faults")
ANSWERS_EXPERIMENT = Bench("answers")
ONCE_EXPERIMENT = Bench("once")
ONCE_TEST = UnitTest("once.OnceTest.test_each_way_of_repeating")
EVERY_ORDER_TEST = UnitTest("claims.EveryOrderTest.test_two_requests_and_two_faults")
ONLY_ONCE = "0 doubled, 0 false refusals"

REQUEST = Procedure(
    "request",
    ("identify", "admit", "place", "dispatch", "stream", "whole", "settle"),
    (
        exclude("identify admit settle", "e-*", NO_ENDPOINT),
        exclude("*", "p-conflict p-lost", NO_WRITE),
        exclude("*", "n-reorder", BYTES_IN_ORDER),
        exclude("dispatch stream whole settle", "p-stale p-gap p-flood", NO_PLATFORM_READ),
        exclude("admit", "p-stale p-gap p-flood", "see quota duty change and amendment"),
        exclude("settle", "p-*", "settled in memory and with the quota home"),
        exclude("dispatch stream whole", "e-slow e-gap e-old", PLACEMENT_ONLY),
        exclude("place", "e-late e-crossed e-second e-stale", "no answer of an endpoint is read"),
        exclude("stream whole", "e-stale", "the incarnation was checked when the attempt started"),
        exclude("place", "n-delay n-dup n-cut n-half n-oneway", "decided in memory"),
        exclude("admit settle", "n-delay n-dup n-cut n-half n-oneway", "see quota lend"),
        exclude("identify", "n-dup", "bytes sent twice by a caller are two requests"),
        cover("identify place dispatch stream", "p-down", "served", Scene("platform-down")),
        cover("identify place dispatch stream", "p-slow", "served", Scene("platform-slow")),
        cover("admit", "p-down p-slow n-zone", "bound kept", LIMITS_EXPERIMENT),
        cover("admit", "k-kill k-pause k-restart k-term two", "bound kept", LIMITS_EXPERIMENT),
        cover(
            "identify place",
            "p-stale",
            "older versions ignored",
            UnitTest(
                "replica.ReplicaModelTest.test_stale_lists_and_lagging_watches_never_move_back"
            ),
        ),
        cover(
            "identify place",
            "p-gap",
            "listed again",
            UnitTest("replica.ObjectFeedTest.test_lists_watches_and_lists_again_after_a_gap"),
        ),
        cover(
            "identify",
            "k-restart",
            "starts from peers",
            UnitTest(
                "configuration.ConfigurationTest."
                "test_new_daemon_starts_from_peers_while_the_platform_is_down"
            ),
        ),
        cover("identify", "n-delay", "ended", UnitTest("server.WebServerTest.test_slow_request")),
        cover("identify place dispatch stream", "n-zone", "served", Scene("platform-cut-off")),
        cover("dispatch stream", "n-delay", "served", Scene("routes-slow")),
        cover("dispatch", "n-dup", "started once", Scene("requests-duplicated")),
        cover("stream whole", "n-dup", "right or error", ANSWERS_EXPERIMENT),
        cover("dispatch", "n-cut", "unknown, not started", Scene("request-cut")),
        cover(
            "stream",
            "n-cut",
            "error shown, work cancelled",
            Scene("answer-cut"),
            UnitTest("server.WebServerTest.test_caller_that_goes_away_cancels_its_request"),
        ),
        cover(
            "whole",
            "n-cut",
            "unknown",
            Scene("answer-cut"),
            UnitTest(
                "deliver.DeliverTest.test_cut_whole_answer_is_an_error_of_which_nothing_is_sent"
            ),
        ),
        cover("dispatch", "n-half", "unknown at the deadline", Scene("half-open-guards")),
        cover(
            "stream",
            "n-half",
            "caller cut off",
            UnitTest("deadline.DeadlineTest.test_caller_that_does_not_read_is_cut_off"),
        ),
        cover("whole", "n-oneway", "unknown at the deadline", Scene("answers-of-guards-held")),
        cover(
            "dispatch",
            "k-kill",
            "placed elsewhere or error",
            Scene("guard-killed-before-dispatch"),
            UnitTest("retry.ForwarderTest.test_failed_connection_ejects_at_once"),
        ),
        cover(
            "stream",
            "k-kill",
            "error shown, work cancelled",
            Scene("guard-killed-mid-stream"),
            Scene("engine-killed-mid-stream"),
            UnitTest("shutdown.ShutdownTest.test_stream_of_a_killed_entry_daemon_is_cancelled"),
        ),
        cover(
            "settle",
            "k-kill",
            "permits stay taken",
            UnitTest(
                "quota.QuotaTest."
                "test_permits_of_an_unheard_daemon_stay_taken_while_its_calls_may_run"
            ),
        ),
        cover("dispatch", "k-pause", "unknown", Scene("guards-paused-past-deadline")),
        cover(
            "stream",
            "k-pause",
            "goes on",
            Scene("entry-paused-mid-stream"),
            Scene("guard-paused-mid-stream"),
        ),
        cover("place dispatch", "k-restart", "not run", Scene("guards-restarted-unnoticed")),
        cover("stream", "k-restart", "error shown, served again", Scene("entry-restarted")),
        cover(
            "stream",
            "k-term",
            "finished",
            UnitTest("shutdown.ShutdownTest.test_streams_finish_while_both_daemons_leave"),
        ),
        cover(
            "dispatch",
            "k-term",
            "placed elsewhere",
            UnitTest(
                "leaving.LeavingTest." "test_leaving_endpoint_gets_no_new_work_and_finishes_its_own"
            ),
        ),
        cover(
            "place",
            "e-slow",
            "counts as load",
            UnitTest("placement.PlacementTest.test_step_skew_counts_as_load"),
            UnitTest("placement.PlacementTest.test_load_is_shared_by_speed"),
        ),
        cover(
            "dispatch",
            "e-late",
            "unknown",
            UnitTest("guard_load.GuardLoadTest.test_no_answer_before_the_deadline_is_unknown"),
        ),
        cover(
            "stream",
            "e-late",
            "error shown",
            UnitTest("deadline.DeadlineTest.test_late_within_a_stream_shows_an_error_frame"),
        ),
        cover(
            "whole",
            "e-late",
            "unknown",
            UnitTest("deadline.DeadlineTest.test_late_before_the_first_byte"),
        ),
        cover("stream whole", "e-crossed e-second", "right or error", ANSWERS_EXPERIMENT),
        cover(
            "dispatch",
            "e-second",
            "started once",
            UnitTest("attempts.AttemptTableTest.test_attempt_starts_once"),
        ),
        cover(
            "dispatch",
            "e-stale",
            "old incarnation refused",
            UnitTest("attempts.AttemptTableTest.test_other_incarnation_is_refused"),
        ),
        exclude("dispatch", "e-crossed", "no answer is read yet"),
        cover(
            "place",
            "e-gap",
            "prefix counts as cold",
            UnitTest("prefixes.PrefixIndexTest.test_gap_empties_the_index"),
            UnitTest("retry.PlacementTest.test_gap_in_cache_events_makes_the_prefix_cold"),
        ),
        cover(
            "place",
            "e-old",
            "report fades",
            UnitTest("load.EndpointLoadTest.test_stale_report_fades_to_own_requests"),
        ),
        cover("identify", "p-flood", "served", Scene("flood-of-changes")),
        cover("whole", "p-down", "served", Scene("whole-answers-platform-down")),
        cover("whole", "n-zone", "served", Scene("whole-answers-platform-cut-off")),
        cover("whole", "k-kill", "repeated or unknown", Scene("whole-answer-guard-killed")),
        cover("stream", "n-oneway", "error shown", Scene("stream-held")),
        cover(
            "dispatch",
            "n-oneway",
            "unknown at the deadline",
            Scene("answers-of-guards-held"),
            Scene("requests-to-guards-held"),
        ),
        cover("stream", "two", "error shown, served", Scene("guard-killed-and-platform-down")),
        cover("dispatch", "two", "not run", Scene("guards-restarted-unnoticed")),
    ),
)

NON_REPEATABLE = Procedure(
    "non-repeatable request",
    ("claim", "dispatch", "execute", "answer", "store", "repeat"),
    (
        exclude("*", "p-gap p-flood", "claims are read and written, not watched"),
        exclude("*", "n-reorder", BYTES_IN_ORDER),
        exclude("*", "e-slow e-gap e-old", "these decide where a call goes, not whether it runs"),
        exclude("dispatch execute answer", "p-*", "the platform takes no part in the step"),
        exclude("claim store", "e-*", NO_ENDPOINT),
        exclude("dispatch execute answer store repeat", "p-conflict", "the claim has one owner"),
        cover("claim store repeat", "p-down p-slow p-lost", ONLY_ONCE, ONCE_EXPERIMENT),
        cover("claim store repeat", "p-down p-lost", ONLY_ONCE, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover("claim", "p-down", "not run", ONCE_TEST, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover("claim repeat", "p-stale", ONLY_ONCE, EVERY_ORDER_TEST),
        cover("claim store", "n-delay", "late write settled", EVERY_ORDER_TEST),
        cover("claim", "p-conflict", "one runs", ONCE_TEST, EVERY_ORDER_TEST),
        cover("claim store", "n-cut", ONLY_ONCE, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover("dispatch answer", "n-cut", ONLY_ONCE, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover(
            "dispatch", "n-dup n-delay e-second", "started once", EVERY_ORDER_TEST, ONCE_EXPERIMENT
        ),
        cover("*", "k-kill k-restart", ONLY_ONCE, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover("*", "k-pause", ONLY_ONCE, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover("*", "two", ONLY_ONCE, EVERY_ORDER_TEST, ONCE_EXPERIMENT),
        cover(
            "dispatch",
            "k-term",
            "not run, or run once",
            ONCE_EXPERIMENT,
            UnitTest("claims.ClaimRunTest.test_fenced_attempt_is_taken_over_at_its_version"),
        ),
        cover("answer", "e-late", ONLY_ONCE, ONCE_EXPERIMENT),
        cover(
            "answer",
            "n-cut",
            "unknown",
            UnitTest("guard.GuardTest.test_lost_answer_is_no_proof"),
            ONCE_TEST,
            ONCE_EXPERIMENT,
        ),
        cover(
            "execute",
            "n-cut",
            "runs to its end, outcome stored",
            UnitTest("guard.GuardTest.test_call_that_may_run_once_outlives_its_caller"),
            ONCE_TEST,
        ),
        cover(
            "dispatch",
            "e-stale k-restart",
            "refused, and no proof of the earlier run",
            UnitTest("guard.GuardTest.test_fence_before_start_and_of_another_incarnation"),
            UnitTest("claims.EveryOrderTest.test_wrong_rules_of_a_request_are_caught"),
        ),
        cover(
            "repeat",
            "e-second",
            "stored outcome",
            ONCE_TEST,
            UnitTest("claims.ClaimRunTest.test_stored_outcome_is_replayed"),
        ),
    ),
)
