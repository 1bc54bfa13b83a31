"""Readings of a process from the kernel's process table: processor time, memory, descriptors."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["ProcessReading", "read_process"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB = 1024


@dataclass(frozen=True, slots=True)
class ProcessReading:
    """State of a process at one moment.

    Parameters
    ----------
    cpu_seconds : float
        Processor time used since the start, user and system.
    resident_bytes, anonymous_bytes : int
        Resident memory in all, and the part of it that no file backs.
    descriptors : int
        Open file descriptors.
    """

    cpu_seconds: float
    resident_bytes: int
    anonymous_bytes: int
    descriptors: int


def read_process(pid: int) -> ProcessReading:
    """Read the state of a process.

    Raises
    ------
    FileNotFoundError
        The process has ended.
    """
    folder = Path(f"/proc/{pid}")
    # The command name may hold blanks, so fields are counted after its closing bracket.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    status = _read_status(folder / "status")
    return ProcessReading(
        cpu_seconds=(int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        resident_bytes=status["VmRSS"] * KIB,
        anonymous_bytes=status["RssAnon"] * KIB,
        descriptors=sum(1 for _ in (folder / "fd").iterdir()),
    )


def _read_status(path: Path) -> dict[str, int]:
    lines = (line.split() for line in path.read_text().splitlines())
    return {
        fields[0].rstrip(":"): int(fields[1])
        for fields in lines
        if fields[0].endswith(("RSS:", "Anon:"))
    }
