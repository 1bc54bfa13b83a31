from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from magnoliarouter.platform.settings import PATH_VARIABLE
from magnoliarouter.standins.launch import find_port
from magnoliarouter.tests.platform_standin import EngineStandin, StoreStandin, build_configuration
from magnoliarouter.tests.raw_server import RawPeer

# A separate loopback address avoids conflicts, since the port of the metrics is fixed.
HOST = "127.0.0.93"
REQUEST_COUNT = 400
PIPE_BYTES = 4096


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = await StoreStandin().start()
        self.addCleanup(self.store.server.abort_all)
        self.addCleanup(self.store.server.stop_listening)
        await self.store.put("config", "main", build_configuration())
        engine = await EngineStandin("e1").start()
        self.addAsyncCleanup(engine.server.stop)
        await self.store.put("servers", "e1", engine.build_entry())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "local.toml"
        self.listen_port, self.ready_port, peers = find_port(HOST), find_port(HOST), find_port(HOST)
        self.settings.write_text(
            f'node_name = "front-1"\nzone = "zone-1"\nip = "{HOST}"\n'
            f"port_range = [{peers}, {peers + 15}]\n"
            f'[listen]\nfront = "{HOST}:{self.listen_port}"\nready = "{HOST}:{self.ready_port}"\n'
            f'[platform]\naddress = "{self.store.address}"\n'
            "[bounds]\ndrain_ms = 2000\nrevoke_ms = 5000\ngrace_s = 8\n",
            encoding="utf-8",
        )

    async def start(self, stdout):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "magnoliarouter.platform.main",
            env={**os.environ, PATH_VARIABLE: str(self.settings)},
            stdout=stdout,
        )
        self.addAsyncCleanup(self.kill_process, process)
        return process

    async def kill_process(self, process):
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def send_request(self, number):
        peer = await RawPeer.connect(f"{HOST}:{self.listen_port}")
        try:
            await peer.send(
                b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\n"
                b"X-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n" % number
            )
            head, _ = await asyncio.wait_for(peer.read_message(), 5.0)
        finally:
            peer.close()
        return int(head.split()[1])

    async def wait_until_served(self):
        for number in range(200):
            try:
                if await self.send_request(number) == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        self.fail("not served within 10 s")

    async def test_requests_are_served_while_the_log_pipe_is_not_read(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        process = await self.start(writer)
        os.close(writer)
        await self.wait_until_served()
        statuses = [await self.send_request(number) for number in range(REQUEST_COUNT)]
        self.assertEqual(statuses, [200] * REQUEST_COUNT)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(process.wait(), 9.0), 0)
