"""A small deployment for the cases of this review: store, daemons, clients, and their record.

The store is the project's own stand-in. The daemons run as the deploy file starts them. Everything
listens on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from magnoliarouter.tests.platform_standin import StoreStandin

ROOT = Path(__file__).resolve().parents[2]
# The commands of the deploy file's role.
COMMAND = ["python3", "-m", "magnoliarouter.platform.main"]
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revocation": "true", "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 94, "recover_s": 12,
    "pass_ms": 120, "again_s": 0, "stall_ms": 1500, "enforce_fencing": "true",
}  # fmt: skip
LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}  # fmt: skip
KEY = "n2ctnfzs989anu6wsjnb"
TENANTS = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, written to ``record.txt`` beside the script."""

    def __init__(self, folder: str) -> None:
        self.began = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def say(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self) -> None:
        """Finish the file."""
        self._file.close()


def free_port(host: str) -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Front:
    """One daemon, started by the command of the deploy file."""

    def __init__(
        self, number: int, zone: str, store: str, folder: str, memory_mb: int = 300
    ) -> None:
        self.name, self.zone, self.store = f"front-{number}", zone, store
        self._memory_mb = memory_mb
        # The port of the metrics is fixed, so each daemon has an address of its own.
        self.host = f"127.0.{os.getpid() % 200 + 20}.{number}"
        self.port, self.ready = free_port(self.host), free_port(self.host)
        self._peer_port = free_port(self.host)
        self._settings = Path(folder) / f"{self.name}.toml"
        self._log = Path(folder) / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings file and start the process."""
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        self._settings.write_text(
            f'node_name = "{self.name}"\nrole = "entry"\nmachine_class = "front"\n'
            f'serves = ["front"]\nip = "{self.host}"\nzone = "{self.zone}"\nregion = "region-1"\n'
            f"port_range = [{self._peer_port}, {self._peer_port + 15}]\n"
            f'[listen]\nfront = "{self.host}:{self.port}"\nready = "{self.host}:{self.ready}"\n'
            f"[limits]\ncores = 2\nmemory_mb = {self._memory_mb}\nmax_fds = 4100\n"
            "link_mbps = 1000.0\n"
            f"[bounds]\n{bounds}\n"
            f'[platform]\naddress = "{self.store}"\nform = "objects"\nwrites_per_s = 400\n'
            "reads_per_s = 2000\nhistory_s = 20\n",
            encoding="utf-8",
        )
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
                    "MAGNOLIAROUTER_BOOT": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Ask as the platform's balancer does, until the daemon takes requests."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(0.1)
        return False

    def read_log(self) -> str:
        """Return what the daemon wrote."""
        return self._log.read_text(encoding="utf-8") if self._log.exists() else ""


async def open_store() -> StoreStandin:
    """Return a running store."""
    return await StoreStandin().start()


def run(case, folder: str) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)

    async def play(temporary: str) -> bool | None:
        # A script that is ended ends its processes first.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, temporary), 115)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(play(temporary))
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.say(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    finally:
        record.close()
    if broken is None:
        print("could not run: see record.txt", file=sys.stderr)
        return 2
    return 1 if broken else 0
