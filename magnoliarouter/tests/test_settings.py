from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from magnoliarouter.daemon.settings import EntrySettings, SettingsError, load_settings

VALID = {
    "role": "entry",
    "name": "entry-1",
    "zone": "zone-1",
    "platform": "http://127.0.0.1:8000",
    "peer_key": "0123456789abcdef",
}


class SettingsTest(unittest.TestCase):
    def load(self, **changes):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps({**VALID, **changes}))
            return load_settings(path)

    def test_valid(self):
        self.assertIsInstance(self.load(), EntrySettings)

    def test_unknown_field_is_named(self):
        with self.assertRaisesRegex(SettingsError, "zzone.*valid fields: role, name, zone"):
            self.load(zzone="a")

    def test_invalid_value_names_field(self):
        with self.assertRaisesRegex(SettingsError, "request_seconds"):
            self.load(request_seconds=-1)

    def test_unknown_role(self):
        with self.assertRaisesRegex(SettingsError, "valid roles: entry, endpoint"):
            self.load(role="queen")

    def test_missing_file(self):
        with self.assertRaisesRegex(SettingsError, "cannot read settings"):
            load_settings("/nonexistent.json")
