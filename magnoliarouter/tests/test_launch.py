from __future__ import annotations

import socket
import unittest
from pathlib import Path

from magnoliarouter.standins.launch import FIRST_PORT, LAST_PORT, find_port

ASSIGNED_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


class FindPortTest(unittest.TestCase):
    def test_found_ports_cannot_be_assigned_to_other_sockets(self):
        ports = [find_port("127.0.0.1") for _ in range(200)]
        self.assertEqual(len(set(ports)), len(ports))
        first_assigned = int(ASSIGNED_PORTS.read_text().split()[0])
        self.assertLessEqual(FIRST_PORT, min(ports))
        self.assertLess(max(ports), min(first_assigned, LAST_PORT))

    def test_ports_in_use_are_passed_over(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with self.subTest(kind=kind), socket.socket(type=kind) as taken:
                port = find_port("127.0.0.1")
                taken.bind(("127.0.0.1", port + 1))
                self.assertNotEqual(find_port("127.0.0.1"), port + 1)


if __name__ == "__main__":
    unittest.main()
