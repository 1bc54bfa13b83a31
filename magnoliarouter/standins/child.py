"""Runs a module in a process that the kernel kills when its parent exits.

``python -m magnoliarouter.standins.child MODULE [ARGUMENT ...]``
"""

from __future__ import annotations

import ctypes
import runpy
import signal
import sys

__all__ = ["run_module"]

PR_SET_PDEATHSIG = 1


def run_module(arguments: list[str]) -> None:
    """Run the module named by the first argument, with the others as its command line."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    sys.argv = list(arguments)
    runpy.run_module(arguments[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    run_module(sys.argv[1:])
