from __future__ import annotations

import asyncio
import socket
import unittest

import msgspec

from magnoliarouter.cli.status import _format_gateway
from magnoliarouter.core.work import CallWork
from magnoliarouter.daemon.gateway import CHANGE_BATCH_SHARE
from magnoliarouter.daemon.gatewayview import describe_gateway
from magnoliarouter.tests.clock import SocketTimeCase, wait_until
from magnoliarouter.tests.daemons import kill_gateway, start_gateway
from magnoliarouter.tests.platform_standin import EngineStandin, StoreStandin, build_configuration
from magnoliarouter.tests.raw_server import RawPeer, RawServer


class GatewayCase(SocketTimeCase):
    async def asyncSetUp(self):
        self.store = await StoreStandin().start()
        self.addCleanup(self.store.server.abort_all)
        self.addCleanup(self.store.server.stop_listening)
        await self.store.put("config", "main", build_configuration())
        self.engine = await self.add_engine("e1")

    async def add_engine(self, name, **changes):
        engine = await EngineStandin(name).start()
        self.addAsyncCleanup(engine.server.stop)
        await self.store.put("servers", name, engine.build_entry(**changes))
        return engine

    async def start(self, name="front-1", **bounds):
        daemon = await start_gateway(self.store.address, name, **bounds)
        self.addCleanup(kill_gateway, daemon)
        return daemon

    async def send_request(
        self, daemon, path="/a/x", key="key-1", request_id="r1", host="h.example"
    ):
        peer = await RawPeer.connect(daemon.settings.listen)
        self.addCleanup(peer.close)
        fields = f"Host: {host}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 1500\r\n"
        if key:
            fields += f"Authorization: Bearer {key}\r\n"
        await peer.send(f"GET {path} HTTP/1.1\r\n{fields}\r\n".encode())
        head, body = await asyncio.wait_for(peer.read_message(), 5.0)
        return int(head.split()[1]), head, body

    async def is_ready(self, daemon):
        peer = await RawPeer.connect(daemon.settings.ready)
        self.addCleanup(peer.close)
        await peer.send(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        return " 200 " in (await peer.read_message())[0]

    async def wait_ready(self, daemon, ready=True, seconds=5.0):
        for _ in range(int(seconds / 0.02)):
            if await self.is_ready(daemon) is ready:
                return
            await asyncio.sleep(0.02)
        self.fail(f"not ready within {seconds} s")


class GatewayTest(GatewayCase):
    async def test_request_is_authenticated_routed_and_forwarded(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        status, head, body = await self.send_request(daemon)
        self.assertEqual((status, body), (200, b"e1"))
        self.assertIn("X-Server-Stamp: s1", head)
        self.assertIn("X-Tenant: tenant-1", self.engine.heads[0])
        statuses = [
            (await self.send_request(daemon, **changes))[0]
            for changes in ({"path": "/none"}, {"host": "x"}, {"key": "other"}, {"key": None})
        ]
        self.assertEqual(statuses, [404, 404, 401, 401])
        self.assertEqual(len(self.engine.heads), 1)

    async def test_no_request_is_denied_before_a_configuration_is_loaded(self):
        self.store.fault = "busy"
        daemon = await self.start()
        status, head, _ = await self.send_request(daemon)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After: 0.", head)
        self.assertFalse(await self.is_ready(daemon))
        self.store.fault = ""
        await self.wait_ready(daemon)

    async def test_newer_configuration_takes_effect_at_once(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.store.put("config", "main", build_configuration(5, ("key-2",), ("/b/",)))
        await asyncio.sleep(0.1)
        cases = (("/b/x", "key-2"), ("/b/x", "key-1"), ("/a/x", "key-2"))
        statuses = [(await self.send_request(daemon, path, key))[0] for path, key in cases]
        self.assertEqual(statuses, [200, 401, 404])

    async def test_call_whose_key_went_to_another_tenant_is_sent_as_that_tenants(self):
        """Guards against work that runs, or goes on elsewhere, as the key's former tenant."""
        await self.store.put("servers", "e1", self.engine.build_entry(slots=1))
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.engine.delay = 0.4
        calls = [asyncio.create_task(self.send_request(daemon, request_id="r1"))]
        await wait_until(lambda: self.engine.heads)
        calls.append(asyncio.create_task(self.send_request(daemon, request_id="r2")))
        await wait_until(lambda: daemon._queue.list_lengths())
        configuration = build_configuration(2)
        configuration["tenants"] = [{"name": "tenant-2", "api_keys": ["key-1"], "priority": 1}]
        await self.store.put("config", "main", configuration)
        self.assertEqual([(await call)[0] for call in calls], [200, 200])
        self.assertIn("X-Tenant: tenant-1", self.engine.heads[0])
        self.assertIn("X-Tenant: tenant-2", self.engine.heads[1])

    async def test_older_or_malformed_configuration_changes_nothing(self):
        daemon = await self.start()
        await self.store.put("config", "main", build_configuration(7))
        await self.wait_ready(daemon)
        for value in (build_configuration(6, ("old",)), {"version": "x"}, None, 5):
            await self.store.put("config", "main", value if value is not None else [])
            await asyncio.sleep(0.05)
            self.assertEqual((await self.send_request(daemon))[0], 200)

    async def test_keys_are_not_accepted_after_a_long_silence_of_the_store(self):
        daemon = await self.start(revocation_s=1.0)
        await self.wait_ready(daemon)
        self.store.fault = "silent"
        self.store.server.abort_all()
        await asyncio.sleep(0.8)
        status, head, body = await self.send_request(daemon)
        self.assertEqual(status, 503)
        self.assertIn(b"configuration_stale", body)
        self.assertFalse(await self.is_ready(daemon))

    async def test_unknown_routes_are_not_denied_on_an_old_configuration(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        daemon.freshness.absence_age_s = 0.0
        self.assertEqual((await self.send_request(daemon, "/none"))[0], 503)
        self.assertEqual((await self.send_request(daemon, key="other"))[0], 503)

    async def test_draining_and_removed_engines_get_no_requests(self):
        other = await self.add_engine("e2")
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.store.put("servers", "e1", self.engine.build_entry("draining"))
        await asyncio.sleep(0.1)
        for _ in range(4):
            self.assertEqual((await self.send_request(daemon))[2], b"e2")
        # A single change arrives at once; one that follows soon arrives in a batch.
        batch_s = CHANGE_BATCH_SHARE * daemon.settings.bounds.configuration_s
        await asyncio.sleep(batch_s)
        await self.store.put("servers", "e1", self.engine.build_entry())
        await asyncio.sleep(0.1)
        await self.store.put("servers", "e2", None)
        await asyncio.sleep(batch_s)
        for _ in range(4):
            self.assertEqual((await self.send_request(daemon))[2], b"e1")
        self.assertEqual(len(other.heads), 4)

    async def test_changes_in_quick_succession_are_batched(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        await asyncio.sleep(0.2)
        self.store.calls.clear()
        for number in range(20):
            await self.store.put("servers", f"n{number}", self.engine.build_entry())
            await asyncio.sleep(0.02)
        await asyncio.sleep(CHANGE_BATCH_SHARE * daemon.settings.bounds.configuration_s)
        self.assertEqual(len(list(daemon.table.list())), 21)
        watches = [options for _, kind, options in self.store.calls if kind == "servers"]
        self.assertLessEqual(len(watches), 4)

    async def test_malformed_entries_register_no_engine(self):
        entries = {
            "bad-1": {"service": "app"},
            "bad-2": self.engine.build_entry(slots="6"),
            "bad-3": self.engine.build_entry(state="asleep"),
            "bad-4": self.engine.build_entry(address="nowhere"),
            "bad-5": "text",
        }
        for name, entry in entries.items():
            await self.store.put("servers", name, entry)
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.assertEqual([endpoint.identity for endpoint in daemon.table.list()], ["e1"])
        await self.store.put("servers", "e1", {"service": 5})
        await asyncio.sleep(0.1)
        self.assertEqual((await self.send_request(daemon))[0], 503)

    async def test_collection_is_listed_again_after_a_history_gap(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.store.fault = "gap"
        for number in range(5):
            await self.add_engine(f"f{number}")
        await self.store.put("servers", "e1", None)
        await asyncio.sleep(1.0)
        names = sorted(endpoint.identity for endpoint in daemon.table.list())
        self.assertEqual(names, [f"f{number}" for number in range(5)])

    async def test_entries_that_expire_during_a_store_outage_are_kept_for_a_while(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.store.fault = "silent"
        self.store.server.abort_all()
        await asyncio.sleep(0.3)
        self.store.store.write("servers", "e1", None, None)
        self.store.fault = ""
        self.store.server.abort_all()
        await wait_until(lambda: not daemon.endpoint_feed.failures)
        await asyncio.sleep(0.1)
        self.assertEqual((await self.send_request(daemon))[0], 200)
        await asyncio.sleep(2.2)
        self.assertEqual((await self.send_request(daemon))[0], 503)

    async def test_stopping_daemon_finishes_its_work(self):
        slow = await EngineStandin("slow", delay=0.5).start()
        self.addAsyncCleanup(slow.server.stop)
        await self.store.put("servers", "e1", None)
        await self.store.put("servers", "slow", slow.build_entry())
        daemon = await self.start(grace_s=2.0)
        await self.wait_ready(daemon)
        pending = asyncio.create_task(self.send_request(daemon))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(await self.is_ready(daemon))
        status, head, _ = await pending
        self.assertEqual(status, 200)
        self.assertIn("Connection: close", head)
        self.assertEqual((await self.send_request(daemon, request_id="r2"))[0], 200)
        await asyncio.wait_for(stopping, 5.0)

    async def test_stopped_daemon_accepts_no_further_request(self):
        daemon = await self.start(grace_s=5.0)
        await self.wait_ready(daemon)
        peer = await RawPeer.connect(daemon.settings.listen)
        self.addCleanup(peer.close)
        daemon._handler.refuse_from = asyncio.get_running_loop().time()
        status, head, body = await self.send_request(daemon)
        self.assertEqual((status, self.engine.heads), (503, []))
        self.assertIn("Retry-After", head)
        self.assertIn(b"not_run", body)

    async def test_daemons_exchange_their_loads(self):
        first, second = await self.start("front-1"), await self.start("front-2")
        for daemon in (first, second):
            await self.wait_ready(daemon)
        daemons = (first, second)
        await wait_until(lambda: all(one.peers.count_daemons() == 2 for one in daemons))
        await wait_until(lambda: first._retry_budget.daemons == second._retry_budget.daemons == 2)
        first.table.start_request("e1")
        first.peers.schedule_send()
        clock = asyncio.get_running_loop().time
        await wait_until(lambda: second.table.load_of("e1", clock()) == 1)

    async def put_profile(self):
        value = build_configuration(2)
        value["services"][0]["engine"] = {"slots": 6, "step_ms": 5, "read_per_s": 1000}
        await self.store.put("config", "main", value)

    async def test_daemons_tell_each_other_long_prompts(self):
        await self.put_profile()
        first, second = await self.start("front-1"), await self.start("front-2")
        for daemon in (first, second):
            await self.wait_ready(daemon)
        await wait_until(lambda: first.peers.count_daemons() == second.peers.count_daemons() == 2)
        for tokens in (100, 100, 9000):
            first.table.start_request("e1", CallWork(tokens))
        first.peers.schedule_send()
        endpoint, clock = second.table.find("e1"), asyncio.get_running_loop().time
        profile = second.config.services["app"].profile
        await wait_until(
            lambda: second.table.work.weigh(endpoint, profile, CallWork(), 0, clock()) > 0
        )

    async def test_status_shows_the_zones_of_a_model_service(self):
        await self.put_profile()
        await self.add_engine("e2", zone="zone-2")
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.send_request(daemon)
        status = describe_gateway(daemon, asyncio.get_running_loop().time())
        self.assertEqual(
            status["zones"]["services"]["app"]["fullness"], {"zone-1": 0.0, "zone-2": 0.0}
        )
        self.assertIn("zone-1 0.0, zone-2 0.0; none leave", _format_gateway(status))

    async def test_one_daemon_acquires_the_map_lease(self):
        first, second = await self.start("front-1"), await self.start("front-2")
        await wait_until(
            lambda: first.map_election.fencing_number() or second.map_election.fencing_number()
        )
        await asyncio.sleep(1.0)
        held = [daemon.map_election.fencing_number() for daemon in (first, second)]
        self.assertEqual(sorted(held, key=str), [1, None])

    async def test_status_and_metrics(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.send_request(daemon)
        daemon.quarantine.add(frozenset(["b2", "a1"]))
        bodies = {}
        for path in ("/status", "/metrics", "/none"):
            peer = await RawPeer.connect(daemon.settings.status)
            self.addCleanup(peer.close)
            await peer.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, bodies[path] = await peer.read_message()
            self.assertEqual(" 404 " in head, path == "/none")
        status = msgspec.json.decode(bodies["/status"])
        self.assertEqual(status["configuration"]["version"], 1)
        self.assertEqual(status["endpoints"]["e1"]["state"], "ready")
        expected_sample = b'magnoliarouter_requests_total{code="ok",outcome="completed"} 1.0'
        self.assertIn(expected_sample, bodies["/metrics"])
        self.assertEqual(list(status["quarantined"].values()), [["a1", "b2"]])
        self.assertIn("ready", _format_gateway(status))
        self.assertIn("a1, b2", _format_gateway(status))

    async def test_malformed_datagrams_are_ignored(self):
        daemon = await self.start()
        host, port = daemon.settings.peers.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"\xc1", msgspec.msgpack.encode(["x"]), b"\x94" * 50):
                sender.sendto(data, (host, int(port)))
        await asyncio.sleep(0.1)
        self.assertEqual(daemon.peers.count_daemons(), 1)
        await self.wait_ready(daemon)


class RestartTest(GatewayCase):
    """What a daemon that starts again knows of the time before and in between."""

    async def test_what_was_withdrawn_is_not_in_use_again(self):
        left, draining = await self.add_engine("e2"), await self.add_engine("e3")
        before = await self.start()
        other = await self.start("front-2")
        await self.wait_ready(before)
        await self.wait_ready(other)
        kill_gateway(before)
        await self.store.put("config", "main", build_configuration(5, ("key-2",)))
        await self.store.put("servers", "e2", None)
        await self.store.put("servers", "e3", draining.build_entry(state="draining"))
        self.store.fault = "busy"
        self.store.server.abort_all()
        after = await self.start()
        await asyncio.sleep(0.3)
        self.assertFalse(await self.is_ready(after))
        for key in ("key-1", "key-2"):
            self.assertEqual((await self.send_request(after, key=key))[0], 503)
        self.store.fault = ""
        await self.wait_ready(after)
        self.assertEqual((await self.send_request(after))[0], 401)
        for number in range(6):
            status, _, body = await self.send_request(
                after, key="key-2", request_id=f"after-{number}"
            )
            self.assertEqual((status, body), (200, b"e1"))
        self.assertEqual((left.heads, draining.heads), ([], []))


class CrashedEngineTest(GatewayCase):
    """Streams of engines that crash, as the bytes that reach the caller."""

    EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")

    async def start_stream(self, chunked, ends_by):
        """Start a daemon before one engine whose streams end inside their third event."""

        async def serve(peer):
            await peer.read_message()
            frame = b"Transfer-Encoding: chunked\r\n" if chunked else b""
            await peer.send(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r1\r\n"
                b"X-Server-Stamp: s1\r\n" + frame + b"\r\n"
            )
            for data in (*self.EVENTS, b"id: 3\nda"):
                await peer.send(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
            await asyncio.sleep(0.05)
            if ends_by == "reset":
                peer.reset()

        server = await RawServer(serve).start()
        self.addAsyncCleanup(server.stop)
        configuration = build_configuration()
        configuration["routes"][0].update(kind="streaming", resumable=True, gap_aim_ms=120)
        await self.store.put("config", "main", configuration)
        entry = self.engine.build_entry(address=server.address)
        await self.store.put("servers", "e1", entry)
        daemon = await self.start()
        await self.wait_ready(daemon)
        return daemon

    async def read_response(self, daemon):
        """Return all bytes until the connection ends, and whether it was closed, not reset."""
        peer = await RawPeer.connect(daemon.settings.listen)
        self.addCleanup(peer.close)
        await peer.send(
            b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
            b"X-Deadline-Ms: 700\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n"
        )
        received = b""
        try:
            while part := await asyncio.wait_for(peer.reader.read(65536), 5.0):
                received += part
        except ConnectionError:
            return received, False
        return received, True

    async def test_stream_that_a_crash_cuts_inside_an_event_never_looks_complete(self):
        for chunked in (False, True):
            for ends_by in ("close", "reset"):
                with self.subTest(chunked=chunked, ends_by=ends_by):
                    daemon = await self.start_stream(chunked, ends_by)
                    received, _ = await self.read_response(daemon)
                    self.assertIn(b"X-Server-Stamp: s1", received)
                    for event in self.EVENTS:
                        self.assertEqual(received.count(event), 1)
                    self.assertNotIn(b"id: 3", received)
                    self.assertIn(b"Transfer-Encoding: chunked", received)
                    self.assertFalse(received.endswith(b"0\r\n\r\n"), received)


if __name__ == "__main__":
    unittest.main()
