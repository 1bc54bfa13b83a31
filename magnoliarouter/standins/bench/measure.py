"""Reads the processor time, memory and open descriptors of a process from ``/proc``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

__all__ = ["ProcessReading", "read_process"]

KIB = 1024


@dataclass(frozen=True, slots=True)
class ProcessReading:
    """Resource use of a process at one moment.

    Parameters
    ----------
    cpu_seconds : float
        User and system processor time since the start of the process, in seconds.
    resident_bytes, anonymous_bytes : int
        Resident memory in total, and the part of it that is not backed by a file.
    descriptors : int
        Open file descriptors.
    """

    cpu_seconds: float
    resident_bytes: int
    anonymous_bytes: int
    descriptors: int


def read_process(pid: int) -> ProcessReading:
    """Read the resource use of a process.

    Raises
    ------
    FileNotFoundError
        The process has exited.
    """
    folder = Path(f"/proc/{pid}")
    status = _read_status(folder / "status")
    return ProcessReading(
        cpu_seconds=_read_run_time(folder / "task"),
        resident_bytes=status["VmRSS"] * KIB,
        anonymous_bytes=status["RssAnon"] * KIB,
        descriptors=sum(1 for _ in (folder / "fd").iterdir()),
    )


def _read_run_time(threads: Path) -> float:
    """Return the processor time of all threads in seconds, with nanosecond resolution."""
    nanoseconds = 0
    for thread in threads.iterdir():
        nanoseconds += int((thread / "schedstat").read_text().split()[0])
    return nanoseconds * 1e-9


def _read_status(path: Path) -> dict[str, int]:
    lines = (line.split() for line in path.read_text().splitlines())
    return {
        fields[0].rstrip(":"): int(fields[1])
        for fields in lines
        if fields[0].endswith(("RSS:", "Anon:"))
    }
