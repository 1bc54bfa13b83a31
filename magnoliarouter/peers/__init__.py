"""Messages and calls between the system's own processes."""

from __future__ import annotations

from magnoliarouter.peers.channel import PeerClient, PeerError, PeerServer

__all__ = ["PeerClient", "PeerError", "PeerServer"]
