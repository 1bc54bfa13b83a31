"""Gateway daemons that run in the loop of a test."""

from __future__ import annotations

from typing import Any

from magnoliarouter.daemon.gateway import GatewayDaemon
from magnoliarouter.gateway.settings import GatewayBounds, GatewaySettings
from magnoliarouter.platform.main import INTERFACE
from magnoliarouter.standins.launch import find_port

__all__ = ["kill_gateway", "start_gateway"]

HOST = "127.0.0.1"


async def start_gateway(
    store: str,
    name: str = "front-1",
    **bounds: Any,
) -> GatewayDaemon:
    """Start a daemon on free ports.

    Parameters
    ----------
    store : str
        Address of the store.
    name : str
        Name of its VM.
    **bounds
        Changed bounds of the settings.
    """
    listen, ready, peers, status = (f"{HOST}:{find_port(HOST)}" for _ in range(4))
    settings = GatewaySettings(
        name=name,
        zone="zone-1",
        listen=listen,
        ready=ready,
        peers=peers,
        status=status,
        store=store,
        bounds=GatewayBounds(**bounds),
    )
    daemon = GatewayDaemon(settings, INTERFACE)
    await daemon.start()
    return daemon


def kill_gateway(daemon: GatewayDaemon) -> None:
    """End a daemon without notice."""
    for task in (*daemon._tasks, *daemon.maps.list_tasks()):
        task.cancel()
    daemon.peers.close()
    for server in (daemon._server, daemon._ready_server, daemon._status_server):
        server.stop_listening()
        server.abort_all()
    daemon._pool.close()
    daemon._store_pool.close()
