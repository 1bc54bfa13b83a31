from __future__ import annotations

import unittest

import msgspec

from magnoliarouter.peers import PeerClient, PeerError, PeerServer

KEY = "0123456789abcdef"


class Ask(msgspec.Struct):
    amount: int


class Told(msgspec.Struct):
    doubled: int


async def double(request: Ask) -> Told:
    return Told(2 * request.amount)


class PeerChannelTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PeerServer(KEY)
        self.server.add_method("double", Ask, double)
        await self.server.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.server.stop)
        self.address = f"127.0.0.1:{self.server.port}"

    def open_client(self, key: str = KEY) -> PeerClient:
        client = PeerClient(key)
        self.addAsyncCleanup(client.close)
        return client

    async def test_call(self):
        reply = await self.open_client().call(self.address, "double", Ask(4), Told)
        self.assertEqual(reply, Told(8))

    async def test_wrong_key(self):
        with self.assertRaisesRegex(PeerError, "UNAUTHENTICATED"):
            await self.open_client("x" * 16).call(self.address, "double", Ask(4), Told)
        self.assertEqual(self.server.refused, 1)

    async def test_wrong_message(self):
        with self.assertRaisesRegex(PeerError, "INVALID_ARGUMENT"):
            await self.open_client().call(self.address, "double", Told(4), Told)

    async def test_nobody_listens(self):
        with self.assertRaisesRegex(PeerError, "UNAVAILABLE|DEADLINE"):
            await self.open_client().call("127.0.0.1:1", "double", Ask(4), Told, deadline=0.3)
