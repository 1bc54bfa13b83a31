"""Runs the unit tests named on the command line and prints the state of each as JSON."""

from __future__ import annotations

import sys
import unittest
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import TextIO

__all__ = ["run_tests"]


def run_tests(names: list[str], report: TextIO | None = None) -> dict[str, str]:
    """Run tests by id and return their states: passed, failed or skipped.

    Parameters
    ----------
    names : list of str
        Ids of the tests.
    report : file object, optional
        File for the test runner's report; standard error by default.
    """
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    states = {case.id(): "passed" for case in _list_cases(suite)}
    result = unittest.TextTestRunner(report, verbosity=0).run(suite)
    states |= {case.id(): "skipped" for case, _ in result.skipped}
    failed = [case for case, _ in (*result.failures, *result.errors)]
    for case in (*failed, *result.unexpectedSuccesses):
        # The id of a failed subtest is the id of its test, a space and the subtest's parameters.
        states[case.id().split(" ")[0]] = "failed"
    return states


def _list_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for part in suite:
        if isinstance(part, unittest.TestSuite):
            yield from _list_cases(part)
        else:
            yield part


if __name__ == "__main__":
    print(msgspec.json.encode(run_tests(sys.argv[1:])).decode())
