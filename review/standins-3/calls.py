"""Requests at a steady rate, and which of them were answered in time."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time

from deployment import KEY, Front

TIMEOUT_S, LATER_S = 0.8, 0.5
DEADLINE_S = 1.514


class Tally:
    """Requests, and when each was answered."""

    def __init__(self) -> None:
        self.sent: dict[str, float] = {}
        self.answered: dict[str, float] = {}


async def ask(front: Front, name: str, tally: Tally, record) -> None:
    """Send one request on a connection of its own, and wait for its answer until its deadline."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(front.host, front.port), 1)
        try:
            writer.write(
                f"GET /cufi504/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {name}\r\n"
                f"X-Deadline-Ms: 1514\r\nAuthorization: Bearer {KEY}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            tally.sent[name] = time.monotonic()
            answer = await asyncio.wait_for(reader.read(-1), DEADLINE_S)
            if answer:
                tally.answered[name] = time.monotonic()
            seconds = time.monotonic() - tally.sent[name]
            record.say(f"{name}: {answer[:12].decode('latin-1')} after {seconds:.3f} s")
        except TimeoutError:
            record.say(f"{name}: no answer until the deadline")
        finally:
            writer.close()


async def call(front: Front, prefix: str, tally: Tally, record) -> None:
    """Send five requests a second."""
    tasks = set()
    for number in itertools.count(1):
        task = asyncio.create_task(ask(front, f"{prefix}{number:06x}", tally, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.2)


def judge(tally: Tally, began: float, ended: float, record) -> bool:
    """Return whether the rule on answers at a route's `timeout_ms` was broken between two times."""
    judged = {name: at for name, at in tally.sent.items() if began <= at <= ended}
    late = [n for n, at in judged.items() if tally.answered.get(n, 1e12) > at + TIMEOUT_S]
    worse = [n for n in late if tally.answered.get(n, 1e12) > judged[n] + TIMEOUT_S + LATER_S]
    record.say(
        f"BROKEN: of {len(judged)} requests {len(late)} were unanswered at timeout_ms, "
        f"{len(worse)} of them half a second later"
    )
    return len(late) >= 8 and 2 * len(worse) > len(late)
