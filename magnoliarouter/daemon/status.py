"""Status of an entry daemon for operators and other daemons, served on the peers' port.

The callers' port does not expose it. The peers' port requires the key of the system's processes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from magnoliarouter.peers.status import STATUS_METHOD, StatusReply, StatusRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.daemon.configuration import Configuration
    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.peers import PeerServer

__all__ = ["StatusService"]


class StatusService:
    """Handles the status method.

    Parameters
    ----------
    settings : EntrySettings
        Name and zone of the daemon.
    configuration : Configuration
        Configuration of the daemon.
    peer_server : PeerServer
        Server to which the method is added.
    is_ready : callable
        Returns whether the daemon serves callers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configuration: Configuration,
        peer_server: PeerServer,
        is_ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._is_ready = is_ready
        self._clock = asyncio.get_running_loop().time
        self._started_at = self._clock()
        self._sections: dict[str, Callable[[], Any]] = {}
        peer_server.add_method(STATUS_METHOD, StatusRequest, self.serve)

    def add_section(self, name: str, describe: Callable[[], Any]) -> None:
        """Add the status of another part of the daemon.

        Parameters
        ----------
        name : str
            Name of the part, such as ``"quota"``.
        describe : callable
            Returns a value of plain JSON types.
        """
        self._sections[name] = describe

    async def serve(self, request: StatusRequest) -> StatusReply:
        """Return the daemon's status."""
        return StatusReply(
            self._settings.name,
            self._settings.zone,
            round(self._clock() - self._started_at, 3),
            self._is_ready(),
            self._configuration.source,
            self._configuration.describe(),
            self._configuration.versions_of(request.kind, request.names),
            {name: describe() for name, describe in self._sections.items()},
        )
