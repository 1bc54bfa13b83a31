"""Settings of a gateway daemon."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

__all__ = ["GatewayBounds", "GatewaySettings", "HostPort"]

HostPort = Annotated[str, Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
Seconds = Annotated[float, Meta(gt=0)]


class GatewayBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Time limits that the gateway guarantees to operators, and its retry budget.

    Parameters
    ----------
    drain_s : float
        Time from an endpoint's drain notice until it receives no more requests.
    configuration_s : float
        Time until a new configuration is in force.
    revocation_s : float
        Time until every daemon rejects a revoked key.
    evacuation_s : float, optional
        Time from the evacuation of an availability zone until its endpoints receive no more
        requests; null if the deployment has no evacuations.
    cold_over, cold_slack : float
        Within any second, a cold endpoint gets at most `cold_over` times the requests per second
        that it tolerates, and `cold_slack` more.
    contact_s : float
        Time after which a disturbed daemon counts as in contact again.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    retry_ratio : float
        Retries granted for each request of a service.
    retry_slack : float
        Further retries granted per window, independent of the number of requests.
    retry_window_s : float
        Length of the window.
    ranks_check_fencing : bool
        Whether ranks refuse orders with a lower fencing number than one they have seen. Expert maps
        are switched only if they do.
    """

    drain_s: Seconds = 2.0
    configuration_s: Seconds = 2.0
    revocation_s: Seconds = 5.0
    evacuation_s: Seconds | None = None
    cold_over: Annotated[float, Meta(ge=0)] = 1.5
    cold_slack: Annotated[float, Meta(ge=0)] = 5.0
    contact_s: Seconds = 3.0
    grace_s: Seconds = 8.0
    retry_ratio: Annotated[float, Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, Meta(ge=0)] = 90.0
    retry_window_s: Seconds = 10.0
    ranks_check_fencing: bool = True


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one gateway daemon.

    Parameters
    ----------
    name : str
        Name of the VM.
    zone : str
        Availability zone of the VM.
    listen : str
        Address for callers, ``"host:port"``.
    ready : str
        Address at which the load balancer in front probes whether this daemon accepts callers.
    peers : str
        Address for datagrams between gateway daemons.
    store : str
        Address of the platform's object store.
    status : str
        Address at which metrics and the daemon's status are served; empty for none.
    bounds : GatewayBounds
        Guaranteed time limits and retry budget.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s. Duties for all daemons go to those with the fastest.
    memory_mb : float
        Memory in MB that the daemon may take.
    max_descriptors : int
        Descriptors of sockets and pipes that the daemon may have open. Callers' connections may use
        three quarters of them.
    keeps_zone : bool
        Whether calls of model services leave the zone only by need. If not, each goes to the
        endpoint with the least load, and those of other zones count as slightly more loaded.
    admission : str
        In which order the waiting calls of a service get free places, and which are refused:
        ``"arrival"``, ``"need"``, or ``"auto"``, which is by need for services whose calls can
        differ in urgency.
    """

    name: Annotated[str, Meta(min_length=1, max_length=253)]
    zone: Annotated[str, Meta(min_length=1, max_length=253)]
    listen: HostPort
    ready: HostPort
    peers: HostPort
    store: HostPort
    status: HostPort | Literal[""] = ""
    bounds: GatewayBounds = GatewayBounds()
    link_mbps: Annotated[float, Meta(gt=0)] = 1000.0
    memory_mb: Annotated[float, Meta(gt=0)] = 256.0
    max_descriptors: Annotated[int, Meta(ge=256)] = 3900
    keeps_zone: bool = True
    admission: Literal["auto", "arrival", "need"] = "arrival"
