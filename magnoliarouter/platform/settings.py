"""Decodes the platform's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from magnoliarouter.daemon.settings import SettingsError
from magnoliarouter.gateway.settings import GatewayBounds, GatewaySettings
from magnoliarouter.store.validation import ValidationFailure, check_value

__all__ = ["PATH_VARIABLE", "read_settings"]

PATH_VARIABLE = "MAGNOLIAROUTER_BOOT"
# Index in `port_range` of the port for datagrams between daemons.
PEER_PORT_INDEX = 0
# Also named in deploy/system.toml.
STATUS_PORT = 9464
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct):
    drain_ms: float = 2000
    config_ms: float = 2000
    revoke_ms: float = 5000
    # Absent where the operator evacuates no zones.
    evac_ms: float | None = None
    cold_over: float = 1.5
    cold_slack: float = 5
    contact_ms: float = 3000
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_slack: float = 0
    budget_window_s: float = 10
    enforce_fencing: bool = True


class _Limits(msgspec.Struct):
    link_mbps: float = 1000.0
    memory_mb: float = 256.0
    max_fds: int = 4100


class _File(msgspec.Struct):
    """Fields used by the gateway; the file may contain others."""

    node_name: str
    zone: str
    ip: str
    port_range: list[int]
    listen: _Listen
    # This section describes only the object store, although it is named after the whole platform.
    platform: _Store
    bounds: _Bounds
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_settings(path: str | Path) -> GatewaySettings:
    """Read and check a settings file of the platform.

    Parameters
    ----------
    path : str or Path
        TOML file.

    Raises
    ------
    SettingsError
        The file cannot be read, is not TOML, or has a missing or invalid field.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        values = tomllib.loads(text)
    except OSError as error:
        raise SettingsError(f"cannot read settings {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"settings {path}: {error}") from error
    try:
        return decode_settings(values)
    except ValidationFailure as error:
        raise SettingsError(f"settings {path}: {error}") from error


def decode_settings(values: dict[str, Any]) -> GatewaySettings:
    """Convert the platform's fields into the gateway's settings.

    Raises
    ------
    ValidationFailure
        A field is missing or invalid.
    """
    file = check_value(values, _File)
    if len(file.port_range) != 2:
        raise ValidationFailure(f"port_range is {file.port_range}; valid: two ports")
    bounds = file.bounds
    settings = GatewaySettings(
        name=file.node_name,
        zone=file.zone,
        listen=file.listen.front,
        ready=file.listen.ready,
        peers=f"{file.ip}:{file.port_range[PEER_PORT_INDEX]}",
        store=file.platform.address,
        status=f"{file.ip}:{STATUS_PORT}",
        bounds=GatewayBounds(
            drain_s=bounds.drain_ms / 1000,
            configuration_s=bounds.config_ms / 1000,
            revocation_s=bounds.revoke_ms / 1000,
            evacuation_s=None if bounds.evac_ms is None else bounds.evac_ms / 1000,
            cold_over=bounds.cold_over,
            cold_slack=bounds.cold_slack,
            contact_s=bounds.contact_ms / 1000,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.budget_slack,
            retry_window_s=bounds.budget_window_s,
            ranks_check_fencing=bounds.enforce_fencing,
        ),
        link_mbps=file.limits.link_mbps,
        memory_mb=file.limits.memory_mb,
        max_descriptors=file.limits.max_fds - FILE_DESCRIPTORS,
    )
    return check_value(msgspec.to_builtins(settings), GatewaySettings)
