from __future__ import annotations

import unittest

from magnoliarouter.core.codes import status_of
from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.pipeline.call import ApplicationCall, Call, ModelCall
from magnoliarouter.pipeline.identify import hash_key, identify
from magnoliarouter.store.objects import ServiceSpec
from magnoliarouter.tests.builders import build_contract, build_limits, build_request

SERVICES = {"tanks": ServiceSpec("tanks", ("POST /release",))}


def identify_with(contract, request):
    return identify(request, {hash_key("grower"): contract}, SERVICES, 5.0, 30.0)


class IdentifyTest(unittest.TestCase):
    def assert_refused(self, result, status, code):
        self.assertIsInstance(result, NotRun)
        self.assertEqual((status_of(result.code), result.code), (status, code))

    def test_model_call(self):
        call = identify_with(build_contract(), build_request())
        self.assertIsInstance(call, Call)
        self.assertEqual(call.work, ModelCall("draft", False, "hello", 1, 257))
        self.assertEqual(call.deadline, 35.0)

    def test_unknown_key(self):
        result = identify_with(build_contract(), build_request(key="other"))
        self.assert_refused(result, 401, ResultCode.KEY_UNKNOWN)

    def test_suspended(self):
        result = identify_with(build_contract(standing="suspended"), build_request())
        self.assert_refused(result, 403, ResultCode.SUSPENDED)

    def test_malformed_body_error_names_the_field(self):
        request = build_request(body=b'{"model": "draft", "prompt": 5}')
        result = identify_with(build_contract(), request)
        self.assert_refused(result, 400, ResultCode.MALFORMED_BODY)
        self.assertIn("prompt", result.reason)

    def test_tokens_per_request(self):
        contract = build_contract(current=build_limits(tokens_per_request=10))
        result = identify_with(contract, build_request())
        self.assert_refused(result, 400, ResultCode.TOKENS_PER_REQUEST)

    def test_non_repeatable_call_needs_key(self):
        request = build_request("/services/tanks/release/7")
        result = identify_with(build_contract(), request)
        self.assert_refused(result, 400, ResultCode.IDEMPOTENCY_KEY_MISSING)

    def test_non_repeatable_call(self):
        request = build_request("/services/tanks/release/7", idempotency_key="k1")
        call = identify_with(build_contract(), request)
        self.assertEqual(call.work, ApplicationCall("tanks", "k1", False))

    def test_caller_sets_its_deadline(self):
        call = identify_with(build_contract(), build_request(x_deadline_ms="1500"))
        self.assertEqual(call.deadline, 6.5)

    def test_invalid_deadline(self):
        for value in ("0", "-1", "soon", "9" * 5000):
            result = identify_with(build_contract(), build_request(x_deadline_ms=value))
            self.assert_refused(result, 400, ResultCode.MALFORMED_HTTP)
            self.assertIn("x-deadline-ms", result.reason)

    def test_service_receives_caller_headers_but_no_internal_ones(self):
        fields = {"accept": "text/csv", "x-run-once": "1", "connection": "x-hop", "x-hop": "1"}
        request = build_request("/services/tanks/levels", "GET", **fields)
        call = identify_with(build_contract(), request)
        self.assertEqual(call.headers, {"accept": "text/csv"})
