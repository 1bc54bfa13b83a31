"""Stand-in for an application that records every call that it executes in a journal.

``GET /journal`` returns the executions in order, each with its idempotency key. ``PUT /faults``
with a JSON object of `ApplicationFaults` fields sets the faults to inject from then on. With
``--journal FILE`` the journal survives a restart of the process, as the records of a real service
do.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange

__all__ = ["ApplicationFaults", "ApplicationStandin", "Execution", "read_journal"]

FAULT_EXIT_CODE = 70


class ApplicationFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to inject.

    Parameters
    ----------
    die_before, die_during, die_after : float
        Probability that a call ends the process: before the execution, after the execution is in
        the journal but before its work is done, or after the work but before the response.
    lose_answer : float
        Probability that the connection is aborted after the execution, without a response.
    late_seconds : float
        Delay of a late response in seconds.
    late : float
        Probability that a response is late.
    seed : int
        Seed of all random choices.
    """

    die_before: float = 0.0
    die_during: float = 0.0
    die_after: float = 0.0
    lose_answer: float = 0.0
    late_seconds: float = 0.0
    late: float = 0.0
    seed: int = 1


class Execution(msgspec.Struct, frozen=True):
    """One execution of a call.

    Parameters
    ----------
    key : str
        Idempotency key.
    attempt : str
        Attempt id.
    number : int
        Position in the journal, counted from 1; part of the response.
    body : str
        Name of the application and body of the call, separated by a colon.
    at : float
        Loop time of its start in seconds; all processes of a machine share this clock.
    """

    key: str
    attempt: str
    number: int
    body: str
    at: float = 0.0


class ApplicationStandin:
    """Executes every call and records it in the journal.

    Parameters
    ----------
    work_seconds : float
        Duration of one execution in seconds.
    journal : Path, optional
        File that preserves the journal across restarts.
    name : str
        Name of the application; the body of each execution starts with it.
    """

    def __init__(
        self, work_seconds: float = 0.01, journal: Path | None = None, name: str = ""
    ) -> None:
        self.executions: list[Execution] = []
        self.faults = ApplicationFaults()
        self._work_seconds = work_seconds
        self._name = name
        self._journal = journal
        self._random = random.Random(1)
        if journal is not None and journal.exists():
            self.executions = read_journal(journal)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        match request.method, request.path:
            case "GET", "/journal":
                await exchange.send(200, msgspec.json.encode(self.executions))
            case "PUT", "/faults":
                self.faults = msgspec.json.decode(request.body, type=ApplicationFaults)
                self._random.seed(self.faults.seed)
                await exchange.send(200, b"{}")
            case _:
                await self._execute(exchange)

    async def _execute(self, exchange: Exchange) -> None:
        faults = self.faults
        self._exit_with_probability(faults.die_before)
        execution = self._record_execution(exchange)
        self._exit_with_probability(faults.die_during)
        await asyncio.sleep(self._work_seconds)
        self._exit_with_probability(faults.die_after)
        if self._draw(faults.late):
            await asyncio.sleep(faults.late_seconds)
        if self._draw(faults.lose_answer):
            exchange.abort()
            return
        await exchange.send(200, msgspec.json.encode(execution))

    def _record_execution(self, exchange: Exchange) -> Execution:
        headers = exchange.request.headers
        key = headers.get("idempotency-key", "")
        attempt = headers.get("x-attempt-id", "")
        number = len(self.executions) + 1
        body = exchange.request.body.decode(errors="replace")
        now = asyncio.get_running_loop().time()
        execution = Execution(key, attempt, number, f"{self._name}:{body}", now)
        self.executions.append(execution)
        if self._journal is not None:
            with self._journal.open("ab") as file:
                file.write(msgspec.json.encode(execution) + b"\n")
        return execution

    def _draw(self, share: float) -> bool:
        return bool(share) and self._random.random() < share

    def _exit_with_probability(self, share: float) -> None:
        if self._draw(share):
            os._exit(FAULT_EXIT_CODE)


def read_journal(path: Path) -> list[Execution]:
    """Return the executions in a journal file; none if the file does not exist."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=Execution) for line in path.read_bytes().splitlines()]


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--work-seconds", type=float, default=0.01)
    parser.add_argument("--journal", type=Path, default=None)
    parser.add_argument("--name", default="")
    options, _ = parser.parse_known_args()

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        application = ApplicationStandin(options.work_seconds, options.journal, options.name)
        return WebServer(runtime, bind, application.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
