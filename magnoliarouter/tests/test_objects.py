from __future__ import annotations

import copy
import unittest

from hypothesis import given
from hypothesis import strategies as st

from magnoliarouter.core.contract import Contract, effective_limits
from magnoliarouter.store.objects import MODELS_BY_KIND, ObjectError, decode_contract, decode_object
from magnoliarouter.tests.builders import build_contract_value
from magnoliarouter.tests.test_replica import SETTINGS

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
LIMIT_FIELDS = ("requests_per_second", "burst_seconds", "concurrent_requests", "models", "weight")


class DecodeTest(unittest.TestCase):
    @SETTINGS
    @given(st.sampled_from(sorted(MODELS_BY_KIND)), JSON)
    def test_any_value_is_an_object_or_an_error_that_names_the_kind(self, kind, value):
        try:
            decode_object(kind, value)
        except ObjectError as error:
            self.assertTrue(str(error).startswith(f"{kind}: "))

    @SETTINGS
    @given(st.sampled_from(["customer", "key_hashes", "standing", "limits"]), JSON)
    def test_damaged_contract_names_the_field(self, field, value):
        try:
            contract = decode_contract(build_contract_value(**{field: value}))
        except ObjectError as error:
            self.assertRegex(str(error), f"^contract: ({field}|standing)")
        else:
            self.assertIsInstance(contract, Contract)

    @SETTINGS
    @given(st.sampled_from(LIMIT_FIELDS), JSON)
    def test_damaged_limit_names_the_field_or_is_in_bounds(self, field, value):
        contract = copy.deepcopy(build_contract_value())
        contract["limits"]["current"][field] = value
        try:
            limits = effective_limits(decode_contract(contract))
        except ObjectError as error:
            self.assertRegex(str(error), rf"^contract: limits\.current\.{field}")
        else:
            self.assertGreaterEqual(limits.requests_per_second, 0)
            self.assertTrue(1 <= limits.burst_seconds <= 60)
            self.assertGreater(limits.weight, 0)

    def test_key_listed_twice(self):
        value = build_contract_value(key_hashes=["a" * 64] * 2)
        with self.assertRaisesRegex(ObjectError, f"key_hashes lists {'a' * 64} twice"):
            decode_contract(value)

    def test_deep_nesting(self):
        value = []
        for _ in range(100_000):
            value = [value]
        with self.assertRaisesRegex(ObjectError, "^contract: "):
            decode_contract(value)
