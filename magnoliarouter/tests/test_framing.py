from __future__ import annotations

import unittest

from magnoliarouter.core.framing import Framing, determine_framing


class FramingTest(unittest.TestCase):
    def test_framing_follows_status_and_header_fields(self):
        length, chunked = (b"Content-length", b"3"), (b"TRANSFER-ENCODING", b"chunked")
        cases = (
            (200, [length], False, Framing.LENGTH),
            (200, [chunked], False, Framing.CHUNKED),
            (200, [length, chunked], False, Framing.CHUNKED),
            (200, [(b"Connection", b"keep-alive")], False, Framing.CLOSE),
            (200, [], True, Framing.NONE),
            (204, [], False, Framing.NONE),
            (304, [length], False, Framing.NONE),
            (503, [], False, Framing.CLOSE),
        )
        for status, fields, bodiless, expected in cases:
            with self.subTest(status=status, fields=fields, bodiless=bodiless):
                self.assertEqual(determine_framing(status, fields, bodiless), expected)


if __name__ == "__main__":
    unittest.main()
