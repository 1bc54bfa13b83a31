from __future__ import annotations

import unittest
from pathlib import Path

from msgspec import inspect as types

from magnoliarouter.cli.desk import CliSettings
from magnoliarouter.daemon.settings import EndpointSettings, EntrySettings
from magnoliarouter.gateway.settings import GatewayBounds, GatewaySettings
from magnoliarouter.manual import describe_fields, find_unit, render_manual
from magnoliarouter.store.objects import MODELS_BY_KIND, LimitsSpec, RevisionSpec

PAGE = Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"
DOCUMENTED_MODELS = (
    EntrySettings,
    EndpointSettings,
    GatewaySettings,
    GatewayBounds,
    CliSettings,
    LimitsSpec,
    RevisionSpec,
)


class ManualTest(unittest.TestCase):
    def test_page_is_current(self):
        written = PAGE.read_text(encoding="utf-8")
        self.assertEqual(written, render_manual(), "run: python -m magnoliarouter.manual > PAGE")

    def test_every_field_has_a_description_and_numbers_have_units(self):
        for model in (*DOCUMENTED_MODELS, *MODELS_BY_KIND.values()):
            descriptions = describe_fields(model)
            for field in types.type_info(model).fields:
                with self.subTest(f"{model.__name__}.{field.name}"):
                    self.assertTrue(descriptions.get(field.name))
                    if isinstance(field.type, types.IntType | types.FloatType):
                        self.assertTrue(find_unit(field.name))
