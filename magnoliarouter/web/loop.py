"""Runs circuits components on the asyncio loop of the process.

The pollers of circuits block in a loop of their own. `Runtime` is a root component that dispatches
its event queue from asyncio callbacks instead, so that circuits, gRPC and coroutines share one
thread and one clock.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller

if TYPE_CHECKING:
    from socket import socket

__all__ = ["LoopPoller", "Runtime"]

# Upper bound per callback, so that other callbacks of the asyncio loop run in between.
MAX_DISPATCH_ROUNDS = 64


class _read(Event):  # noqa: N801 - circuits names an event by its class
    """Socket is readable."""


class _write(Event):  # noqa: N801
    """Socket is writable."""


class Runtime(BaseComponent):
    """Root component whose events are dispatched by an asyncio loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop, optional
        Loop to run on; the running loop by default.
    """

    channel = "runtime"

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        super().__init__()
        self.loop = loop or asyncio.get_running_loop()
        self._scheduled = False
        self.poller = LoopPoller(self).register(self)

    def _fire(self, event: Event, channel: tuple[Any, ...], priority: int = 0) -> None:
        self._queue.append(event, channel, priority)
        if hasattr(self, "_scheduled"):
            self._schedule()

    def registerChild(self, component: BaseComponent) -> None:  # noqa: N802
        """Register a child component and dispatch the events that it has queued."""
        super().registerChild(component)
        if hasattr(self, "_scheduled"):
            self._schedule()

    @handler("exception", channel="runtime")
    def _on_exception(self, *error: Any, fevent: Event, **details: Any) -> None:
        # Errors in a read handler come from malformed requests; `WebServer` responds to them.
        if fevent.name == "read":
            return
        message = f"handler of circuits event {fevent.name!r} failed"
        context = {"message": message, "exception": error[1]}
        self.loop.call_exception_handler(context)

    def dispatch(self) -> None:
        """Dispatch queued events and resume generator handlers."""
        for _ in range(MAX_DISPATCH_ROUNDS):
            for task in self._tasks.copy():
                self.processTask(*task)
            if not len(self._queue):
                break
            self._flush()
        if len(self._queue) or self._tasks:
            self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._run_scheduled)

    def _run_scheduled(self) -> None:
        self._scheduled = False
        self.dispatch()


class LoopPoller(BasePoller):
    """Poller that is notified of ready sockets by the asyncio loop.

    Parameters
    ----------
    runtime : Runtime
        Root component whose event queue is dispatched when a socket becomes ready.
    """

    channel = "poller"

    def __init__(self, runtime: Runtime) -> None:
        super().__init__()
        self._runtime = runtime

    def _create_control_con(self) -> tuple[None, None]:
        # The asyncio loop handles wake-ups itself, so no control pipe is needed.
        return None, None

    def resume(self) -> None:
        """Do nothing: the asyncio loop handles wake-ups itself."""

    def addReader(self, source: BaseComponent, fd: socket) -> None:  # noqa: N802
        """Fire `_read` events for a socket at the component that owns it."""
        super().addReader(source, fd)
        self._runtime.loop.add_reader(fd, self._on_readable, fd)

    def addWriter(self, source: BaseComponent, fd: socket) -> None:  # noqa: N802
        """Fire `_write` events for a socket at the component that owns it."""
        super().addWriter(source, fd)
        self._runtime.loop.add_writer(fd, self._on_writable, fd)

    def removeReader(self, fd: socket) -> None:  # noqa: N802
        """Stop firing `_read` events for a socket."""
        super().removeReader(fd)
        self._remove_callback(self._runtime.loop.remove_reader, fd)

    def removeWriter(self, fd: socket) -> None:  # noqa: N802
        """Stop firing `_write` events for a socket."""
        super().removeWriter(fd)
        self._remove_callback(self._runtime.loop.remove_writer, fd)

    def discard(self, fd: socket) -> None:
        """Remove a socket that is about to be closed."""
        super().discard(fd)
        self._remove_callback(self._runtime.loop.remove_reader, fd)
        self._remove_callback(self._runtime.loop.remove_writer, fd)

    @staticmethod
    def _remove_callback(remove: Any, fd: socket) -> None:
        if fd.fileno() >= 0:
            remove(fd)

    def _on_readable(self, fd: socket) -> None:
        self._runtime.fire(_read(fd), self.getTarget(fd))
        self._runtime.dispatch()

    def _on_writable(self, fd: socket) -> None:
        self._runtime.fire(_write(fd), self.getTarget(fd))
        self._runtime.dispatch()
