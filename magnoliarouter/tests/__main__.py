"""Runs the tests and prints their counts.

A failed test that KNOWN-RED.txt lists is printed, counted as skipped, and does not change the exit
code.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent
KNOWN_RED = PACKAGE.parent.parent / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt, one at the start of each line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.split(";")[0].strip() for line in lines if line.startswith("magnoliarouter.tests.")
    }


def main() -> int:
    """Run the tests named on the command line, or all, and return the exit code."""
    loader = unittest.defaultTestLoader
    names = sys.argv[1:]
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(PACKAGE), top_level_dir=str(PACKAGE.parent.parent))
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    # The id of a subtest is that of its test, followed by a blank and the parameters.
    failed = {case.id().split(" ")[0]: text for case, text in (*result.failures, *result.errors)}
    failed |= {case.id(): "unexpected success" for case in result.unexpectedSuccesses}
    known = read_known_red() & set(failed)
    for test in sorted(known):
        print(f"known red, passed over: {test}")
    unexpected = len(failed) - len(known)
    skipped = len(result.skipped) + len(known)
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {unexpected} failed, {skipped} skipped")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
