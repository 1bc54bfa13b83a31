from __future__ import annotations

import json
import random
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

    def test_own_zone_must_be_listed(self):
        with self.assertRaisesRegex(SettingsError, "zone is 'zone-1', but zones lists: a, b"):
            self.load(zones=["a", "b"])

    def test_bad_value_is_shown(self):
        with self.assertRaisesRegex(SettingsError, 'peers.port is "x": Expected `int`'):
            self.load(peers={"port": "x"})

    def test_damaged_files_are_refused_with_a_message(self):
        rng, refusals = random.Random(5), 0
        base = json.dumps({**VALID, "listen": {"host": "h", "port": 1}, "seeds": ["a:1"]}).encode()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            for _ in range(400):
                raw = bytearray(base)
                for _ in range(rng.choice((1, 2, 8))):
                    raw[rng.randrange(len(raw))] = rng.choice(b'0{}[]",:x\xff')
                path.write_bytes(raw * rng.choice((1, 1, 2)))
                try:
                    load_settings(path)
                except SettingsError as error:
                    refusals += 1
                    self.assertIn("settings.json", str(error))
        self.assertGreater(refusals, 200)
