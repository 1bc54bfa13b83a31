"""Settings of a daemon: one JSON file, checked before anything starts."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from magnoliarouter.store.validation import ValidationFailure, check_value

__all__ = ["EndpointSettings", "EntrySettings", "Settings", "SettingsError", "load_settings"]

Port = Annotated[int, Meta(ge=0, le=65_535)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Url = Annotated[str, Meta(pattern=r"^http://[^/]+$")]
HostPort = Annotated[str, Meta(pattern=r"^[0-9a-zA-Z.:\[\]-]+:[0-9]{1,5}$")]
Seconds = Annotated[float, Meta(gt=0)]


class SettingsError(ValueError):
    """A settings file has a missing, unknown or invalid field."""


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """IP number and port to listen on.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    """

    host: str = "127.0.0.1"
    port: Port = 0


class _CommonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: Name
    zone: Name
    region: Name = "region-1"
    platform: Url
    log_file: str = "-"
    peer_key: Annotated[str, Meta(min_length=16)]
    request_memory_mb: Annotated[float, Meta(gt=0)] = 64.0


class EntrySettings(
    _CommonSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag="entry",
    tag_field="role",
):
    """Settings of an entry daemon.

    Parameters
    ----------
    name : str
        Name of the VM, unique over all VMs.
    zone, region : str
        Availability zone and region of the VM.
    platform : str
        Base URL of the platform's object API.
    listen : Address
        Address of the HTTP server for callers.
    peers : Address
        Address of the server for the system's own processes.
    zones : tuple of str
        All availability zones, the same list in every daemon.
    peer_key : str
        Key shared by all of the system's processes.
    seeds : tuple of str
        ``host:port`` of the peers' port of other entry daemons, which supply the configuration
        while the platform is down and the list of VMs is not known yet.
    platform_calls_per_second : float
        Sustained rate of this daemon's calls to the platform; a burst may use four seconds'
        worth of calls at once.
    log_file : str
        Path of the JSON-lines log; ``"-"`` is standard output.
    request_memory_mb : float
        Memory in MB that the requests of all callers may take together.
    request_seconds : float
        Longest duration of a request whose caller names no deadline, in seconds.
    queue_length : int
        Number of requests for each model or service that may wait in this daemon.
    claim_calls_per_second : float
        Highest rate of this daemon's calls to the platform for claims of calls that may run only
        once.
    quota_slots_per_zone : int
        Number of slots over which the quota of a zone is divided, the same in every daemon;
        about one for every three entry VMs of a zone.
    quota_lease_seconds : float
        Duration of the lease on a quota slot, the same in every daemon, in seconds.
    admission : {"escrow", "static"}
        How limits are divided among daemons; "static" is for comparison in benchmarks only.
    static_share : float
        Share of each contract that this daemon may admit under "static".
    shutdown_seconds : float
        Time between the readiness probe failing and the listener closing, in seconds.
    zone_distance_seconds : float
        Cost of a request to another availability zone, in seconds.
    cold_prefix_seconds : float
        Cost of computing an uncached prompt on a fast engine, in seconds.
    placement_policy : {"prefix", "random", "least-loaded"}
        How endpoints are chosen; all but ``"prefix"`` are baselines for measurements only.
    group_lease_seconds : float
        Duration of the lease on the control of an expert group, in seconds.
    """

    listen: Address = Address()
    peers: Address = Address()
    zones: tuple[Name, ...] = ()
    seeds: tuple[HostPort, ...] = ()
    platform_calls_per_second: Annotated[float, Meta(gt=0)] = 50.0
    request_seconds: Seconds = 120.0
    queue_length: Annotated[int, Meta(ge=0)] = 256
    claim_calls_per_second: Annotated[float, Meta(gt=0)] = 40.0
    quota_slots_per_zone: Annotated[int, Meta(ge=1, le=64)] = 2
    quota_lease_seconds: Annotated[float, Meta(ge=5)] = 10.0
    admission: Literal["escrow", "static"] = "escrow"
    static_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    shutdown_seconds: Annotated[float, Meta(ge=0)] = 2.0
    zone_distance_seconds: Annotated[float, Meta(ge=0)] = 0.002
    cold_prefix_seconds: Annotated[float, Meta(ge=0)] = 0.1
    placement_policy: Literal["prefix", "random", "least-loaded"] = "prefix"
    group_lease_seconds: Seconds = 9.0


class EndpointSettings(
    _CommonSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag="endpoint",
    tag_field="role",
):
    """Settings of an endpoint daemon, the guard in front of one endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint, unique over all endpoints.
    listen : Address
        Address on which the guard listens for entry daemons.
    advertise : str
        ``host:port`` that entry daemons call, if it differs from the listening address.
    target : str
        Base URL of the engine or application behind the guard.
    kind : {"engine", "application"}
        Kind of process behind the guard.
    models, services : tuple of str
        Models or plain services that the endpoint serves.
    slots : int
        Number of requests that the endpoint processes at once.
    queue_length : int
        Number of requests beyond the slots that the guard accepts; further ones are refused as
        not run.
    report_delay_seconds : float
        Delay of the guard's load reports, in seconds; above 0 in measurements only.
    checks_fencing : bool
        Whether the endpoint itself refuses orders with an old fencing number.
    shutdown_seconds : float
        Time for which new attempts are refused with a proof that they did not run, before the
        listener closes, in seconds.
    """

    listen: Address = Address()
    advertise: str = ""
    target: Url
    kind: Literal["engine", "application"] = "engine"
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    slots: Annotated[int, Meta(ge=1)] = 8
    queue_length: Annotated[int, Meta(ge=0)] = 8
    report_delay_seconds: Annotated[float, Meta(ge=0)] = 0.0
    checks_fencing: bool = False
    shutdown_seconds: Annotated[float, Meta(ge=0)] = 3.0


Settings = EntrySettings | EndpointSettings


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        JSON file.

    Returns
    -------
    EntrySettings or EndpointSettings
        Settings of the role that the file's ``role`` names.

    Raises
    ------
    SettingsError
        The file cannot be read, is not JSON, or has a missing, unknown or invalid field; the
        message names the field and the valid ones.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read settings {path}: {error.strerror}") from error
    try:
        values = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise SettingsError(f"settings {path}: {error}") from error
    return _check(path, values)


def _check(path: str | Path, values: object) -> Settings:
    role = values.get("role") if isinstance(values, dict) else None
    models = {model.__struct_config__.tag: model for model in (EntrySettings, EndpointSettings)}
    if not isinstance(role, str) or role not in models:
        raise SettingsError(f"settings {path}: role is {role!r}; valid roles: {', '.join(models)}")
    try:
        settings = check_value(values, models[role])
    except ValidationFailure as error:
        raise SettingsError(f"settings {path}: {error}") from error
    if isinstance(settings, EntrySettings) and settings.zones:
        if settings.zone not in settings.zones:
            valid = ", ".join(settings.zones)
            reason = f"zone is {settings.zone!r}, but zones lists: {valid}"
            raise SettingsError(f"settings {path}: {reason}")
    return settings
