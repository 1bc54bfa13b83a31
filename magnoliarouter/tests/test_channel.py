from __future__ import annotations

import unittest

import msgspec

from magnoliarouter.peers import PeerClient, PeerError, PeerServer

KEY = "0123456789abcdef"


class DoubleRequest(msgspec.Struct):
    amount: int


class DoubleReply(msgspec.Struct):
    doubled: int


async def double(request: DoubleRequest) -> DoubleReply:
    return DoubleReply(2 * request.amount)


class PeerChannelTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PeerServer(KEY)
        self.server.add_method("double", DoubleRequest, double)
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop)
        self.address = f"127.0.0.1:{self.server.port}"

    def open_client(self, key: str = KEY) -> PeerClient:
        client = PeerClient(key)
        self.addAsyncCleanup(client.close)
        return client

    async def test_call(self):
        reply = await self.open_client().call(self.address, "double", DoubleRequest(4), DoubleReply)
        self.assertEqual(reply, DoubleReply(8))

    async def test_wrong_key(self):
        with self.assertRaisesRegex(PeerError, "UNAUTHENTICATED"):
            await self.open_client("x" * 16).call(
                self.address, "double", DoubleRequest(4), DoubleReply
            )
        self.assertEqual(self.server.refused, 1)

    async def test_message_without_a_required_field(self):
        with self.assertRaisesRegex(PeerError, "INVALID_ARGUMENT"):
            await self.open_client().call(self.address, "double", DoubleReply(4), DoubleReply)

    async def test_refused_connection(self):
        with self.assertRaisesRegex(PeerError, "UNAVAILABLE|DEADLINE"):
            await self.open_client().call(
                "127.0.0.1:1", "double", DoubleRequest(4), DoubleReply, deadline=0.3
            )
