"""Messages and calls between the daemons."""

from __future__ import annotations

from magnoliarouter.peers.channel import PeerError, PeerServer
from magnoliarouter.peers.client import PeerClient

__all__ = ["PeerClient", "PeerError", "PeerServer"]
