"""Starts daemons and stand-ins on loopback addresses, for demonstrations and benchmarks."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass
from itertools import cycle, islice
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.pipeline.identify import hash_key
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Process", "Site", "contract_value", "find_port"]

# Below the ports that the kernel assigns by itself (`net.ipv4.ip_local_port_range`): one of those may
# go to another socket before the process that it was found for binds it.
FIRST_PORT = 16_384
LAST_PORT = 32_767
# Distance between the first ports of processes that are started one after the other, which use some
# hundred each. It divides no power of two, so that neighbours stay apart around the range.
PORT_STRIDE = 1_009

PEER_KEY = "peer-key-of-the-demonstration"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0


@dataclass(slots=True)
class Process:
    """Child process with a listening address.

    Parameters
    ----------
    name : str
        Name in error messages.
    address : str
        ``host:port`` on which it listens.
    child : asyncio.subprocess.Process
        The asyncio process.
    """

    name: str
    address: str
    child: asyncio.subprocess.Process

    @property
    def url(self) -> str:
        """Base URL of the process."""
        return f"http://{self.address}"

    async def stop(self) -> int:
        """Send SIGTERM, wait for the exit, and return the exit code."""
        if self.child.returncode is None:
            self.child.terminate()
        return await asyncio.wait_for(self.child.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()

    def pause(self) -> None:
        """Send SIGSTOP."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.child.send_signal(signal.SIGCONT)


def _list_ports() -> Iterator[int]:
    """Return the ports to try without end, from a start that differs between processes."""
    start = FIRST_PORT + os.getpid() * PORT_STRIDE % (LAST_PORT - FIRST_PORT)
    return cycle((*range(start, LAST_PORT), *range(FIRST_PORT, start)))


_ports = _list_ports()


def find_port(host: str) -> int:
    """Return a port that is free on an address, and that this process has not returned lately.

    It is free for connections and for datagrams.
    """
    for port in islice(_ports, LAST_PORT - FIRST_PORT):
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
            contextlib.suppress(OSError),
        ):
            stream.bind((host, port))
            datagram.bind((host, port))
            return port
    raise OSError(f"no port of {host} from {FIRST_PORT} to {LAST_PORT} is free")


def contract_value(
    customer: str, key: str, standing: str = "current", **limits: dict[str, Any]
) -> dict[str, Any]:
    """Return the JSON value of a contract; each keyword sets the limits of one standing."""
    return {
        "customer": customer,
        "key_hashes": [hash_key(key)],
        "standing": standing,
        "limits": limits,
    }


class Site:
    """Processes of one experiment, killed by `close`.

    Zone ``n`` uses the addresses 127.0.``n``.x.
    """

    def __init__(self) -> None:
        self.processes: list[Process] = []
        self._temporary_folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary_folder.name)

    async def __aenter__(self) -> Site:
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Kill all processes, the newest first, and delete the folder."""
        for process in reversed(self.processes):
            if process.child.returncode is None:
                process.resume()
            await process.kill()
        self._temporary_folder.cleanup()

    async def start_standin(
        self, module: str, host: str, *options: str, port: int | None = None
    ) -> Process:
        """Start a stand-in module of this package and wait until it listens."""
        port = port or find_port(host)
        name = f"magnoliarouter.standins.{module}"
        arguments = (name, "--bind", f"{host}:{port}", *options)
        return await self._start(module, f"{host}:{port}", arguments)

    async def start_daemon(
        self, settings: dict[str, Any], listed_port: int | None = None
    ) -> Process:
        """Start a daemon and wait until it listens.

        The VM of an entry daemon is first written to the platform's list of VMs, which the platform
        itself does in a real deployment.

        Parameters
        ----------
        settings : dict
            Settings of the daemon. Defaults apply to the peer key, the log file and the listening
            addresses.
        listed_port : int, optional
            Peer port to list for an entry VM if a proxy listens in front of it.
        """
        listen = dict(settings.get("listen", {}))
        listen.setdefault("host", "127.0.0.1")
        listen["port"] = listen.get("port") or find_port(listen["host"])
        name = settings["name"]
        merged = {
            "peer_key": PEER_KEY,
            "log_file": str(self.folder / f"{name}.log"),
            **settings,
            "listen": listen,
        }
        if merged["role"] == "entry":
            await self._register_entry_vm(merged, listed_port)
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(merged))
        address = f"{listen['host']}:{listen['port']}"
        return await self._start(name, address, ("magnoliarouter.daemon.main", str(path)))

    async def _register_entry_vm(self, settings: dict[str, Any], listed_port: int | None) -> None:
        peers = dict(settings.get("peers", {}))
        peers.setdefault("host", settings["listen"]["host"])
        peers["port"] = peers.get("port") or find_port(peers["host"])
        settings["peers"] = peers
        name, zone = settings["name"], settings["zone"]
        address = f"{peers['host']}:{listed_port or peers['port']}"
        value = {"name": name, "zone": zone, "role": "entry", "address": address}
        async with open_session() as session:
            await PlatformClient(settings["platform"], session).write("vm", name, value)

    async def _start(self, name: str, address: str, arguments: tuple[str, ...]) -> Process:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "magnoliarouter.standins.child",
            *arguments,
            stdout=asyncio.subprocess.DEVNULL,
        )
        process = Process(name, address, child)
        self.processes.append(process)
        await _wait_until_listening(process)
        return process


async def _wait_until_listening(process: Process) -> None:
    host, port = process.address.rsplit(":", 1)
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            if process.child.returncode is not None:
                raise RuntimeError(f"{process.name} exited with code {process.child.returncode}")
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return
