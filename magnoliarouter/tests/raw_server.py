"""HTTP peers that send exactly the bytes given by a test."""

from __future__ import annotations

import asyncio
import socket
import struct


class RawServer:
    """Server whose connections are handled by a coroutine function of the test.

    It is called once per connection, with the `RawPeer`.
    """

    def __init__(self, handle):
        self._handle = handle
        self.connections = 0
        self.address = ""
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._handle(RawPeer(reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Tests may close a connection at any time.
            return
        finally:
            self._tasks.discard(task)
            writer.close()


class RawPeer:
    """One end of a connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address):
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_message(self):
        """Return head and body of a message; without a Content-Length the body is empty."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = 0
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        return head, await self.reader.readexactly(length)

    async def read_all(self):
        return await self.reader.read()

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self):
        self.writer.close()


def build_response(body=b"ok", status=200, request_id="r1", stamp="s1", **fields):
    """Return the bytes of a response; a field that is None is left out."""
    named = {"X-Request-Id": request_id, "X-Server-Stamp": stamp, **fields}
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in named.items() if value]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
