"""Settings and connections of a command: platform client, peer client and HTTP session."""

from __future__ import annotations

import os
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from magnoliarouter.cli.result import ExitCode, Failed
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.peers import PeerClient
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

__all__ = ["CliSettings", "CommandContext", "load_cli_settings", "open_context"]

SETTINGS_PATH_VARIABLE = "MAGNOLIACTL_SETTINGS"
DEFAULT_SETTINGS_PATH = "~/.config/magnoliarouter/magnoliactl.json"


class CliSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of `magnoliactl`, one JSON file.

    Parameters
    ----------
    platform : str
        Base URL of the platform's object API.
    peer_key : str
        Key shared by the system's own processes, used to query daemons for their status.
    seeds : tuple of str
        ``host:port`` of the peer port of entry daemons, queried while the platform is unavailable.
    """

    platform: Annotated[str, Meta(pattern=r"^http://[^/]+$")]
    peer_key: str = ""
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Connections of one command.

    Parameters
    ----------
    settings : CliSettings
        Checked settings.
    platform : PlatformClient
        Client of the platform's object API.
    peers : PeerClient
        Client for the peer port of entry daemons.
    session : aiohttp.ClientSession
        HTTP session for other calls, such as to guards and ranks.
    """

    settings: CliSettings
    platform: PlatformClient
    peers: PeerClient
    session: aiohttp.ClientSession


def load_cli_settings(path: str | None, platform: str | None) -> CliSettings | Failed:
    """Read the settings of a command.

    Parameters
    ----------
    path : str, optional
        Settings file; by default the one named by ``MAGNOLIACTL_SETTINGS``, or
        ``~/.config/magnoliarouter/magnoliactl.json``.
    platform : str, optional
        Base URL that overrides the one in the file.
    """
    explicit_path = path or os.environ.get(SETTINGS_PATH_VARIABLE)
    file = Path(explicit_path or DEFAULT_SETTINGS_PATH).expanduser()
    values = {}
    if explicit_path or file.exists():
        try:
            values = msgspec.json.decode(file.read_bytes(), type=dict)
        except (OSError, msgspec.MsgspecError, RecursionError) as error:
            return Failed(ExitCode.USAGE, f"settings {file}: {error}")
    if platform:
        values["platform"] = platform
    if "platform" not in values:
        reason = f"no platform: give --platform, --settings or {SETTINGS_PATH_VARIABLE}"
        return Failed(ExitCode.USAGE, reason)
    try:
        return msgspec.convert(values, type=CliSettings)
    except msgspec.ValidationError as error:
        fields = ", ".join(CliSettings.__struct_fields__)
        return Failed(ExitCode.USAGE, f"settings {file}: {error}; valid fields: {fields}")


@asynccontextmanager
async def open_context(settings: CliSettings) -> AsyncIterator[CommandContext]:
    """Open the connections of a command and close them when it ends."""
    session = open_session()
    peers = PeerClient(settings.peer_key)
    try:
        yield CommandContext(settings, PlatformClient(settings.platform, session), peers, session)
    finally:
        await peers.close()
        await session.close()
