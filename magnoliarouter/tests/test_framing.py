from __future__ import annotations

import unittest

from magnoliarouter.core.framing import ConnectionEnd, Framing, determine_framing, is_whole_at_end


class FramingTest(unittest.TestCase):
    def test_framing_follows_status_and_header_fields(self):
        length, chunked = (b"Content-length", b"3"), (b"TRANSFER-ENCODING", b"chunked")
        cases = (
            (200, [length], False, Framing.LENGTH),
            (200, [chunked], False, Framing.CHUNKED),
            (200, [length, chunked], False, Framing.CHUNKED),
            (200, [length, length], False, Framing.LENGTH),
            (200, [length, (b"Content-Length", b"5")], False, Framing.UNSUPPORTED),
            (200, [(b"Transfer-Encoding", b"gzip")], False, Framing.UNSUPPORTED),
            (200, [(b"Transfer-Encoding", b"gzip, chunked")], False, Framing.UNSUPPORTED),
            (200, [(b"Connection", b"keep-alive")], False, Framing.CLOSE),
            (200, [], True, Framing.NONE),
            (204, [], False, Framing.NONE),
            (304, [length], False, Framing.NONE),
            (503, [], False, Framing.CLOSE),
        )
        for status, fields, bodiless, expected in cases:
            with self.subTest(status=status, fields=fields, bodiless=bodiless):
                self.assertEqual(determine_framing(status, fields, bodiless), expected)

    def test_only_a_close_by_the_peer_ends_only_a_body_without_a_frame(self):
        whole = [
            (framing, end)
            for framing in Framing
            for end in ConnectionEnd
            if is_whole_at_end(framing, end)
        ]
        self.assertEqual(whole, [(Framing.CLOSE, ConnectionEnd.CLOSED_BY_PEER)])


if __name__ == "__main__":
    unittest.main()
