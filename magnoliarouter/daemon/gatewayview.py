"""Status of a gateway daemon, for operators."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from magnoliarouter.daemon.gateway import GatewayDaemon
    from magnoliarouter.gateway.endpoints import Endpoint

__all__ = ["describe_gateway"]


def describe_gateway(daemon: GatewayDaemon, now: float) -> dict[str, Any]:
    """Return configuration, store, endpoints, groups and map lease as one daemon sees them.

    Parameters
    ----------
    daemon : GatewayDaemon
        The daemon.
    now : float
        Loop time in seconds.
    """
    groups = daemon.maps.groups.values()
    return {
        "name": daemon.settings.name,
        "zone": daemon.settings.zone,
        "ready": daemon.is_ready(),
        "leaving": daemon.leaving,
        "configuration": {
            "version": daemon.config.version if daemon.config else None,
            "age_s": _round(daemon.freshness.age(now)),
            "honours_keys": daemon.freshness.accepts_keys(now),
        },
        "store": {
            feed.kind: {
                "failures": feed.failures,
                "reason": feed.reason if feed.failures else "",
                "served_s_ago": (None if feed.served_at is None else _round(now - feed.served_at)),
                "refused": feed.errors,
            }
            for feed in (daemon.configuration_feed, daemon.endpoint_feed, daemon.evacuations.feed)
            if feed is not None
        },
        "endpoints": {
            endpoint.identity: {
                "service": endpoint.service,
                "zone": endpoint.zone,
                "load": daemon.table.load_of(endpoint.identity, now),
                "slots": endpoint.slots,
                "state": _name_state(daemon, endpoint, now),
                "rate": _round(daemon.table.rates.limit_of(endpoint, now)),
                "cold_s": _round(daemon.table.rates.cold_s(endpoint, now)),
                "pause_s": _round(max(0.0, daemon.table.notices.paused_until(endpoint) - now)),
            }
            for endpoint in daemon.table.list()
        },
        "evacuated": daemon.table.evacuations.list(),
        "zones": daemon.table.overflow.describe(),
        "queues": daemon.describe_queues(),
        "quarantined": daemon.list_quarantined(),
        "daemons": daemon.peers.count_daemons(),
        "in_charge": daemon.map_election.fencing_number() is not None,
        "groups": {
            group.name: {"epoch": group.epoch, "map": group.version, "step": group.step}
            for group in groups
        },
    }


def _name_state(daemon: GatewayDaemon, endpoint: Endpoint, now: float) -> str:
    if endpoint.draining:
        return "draining"
    if daemon.table.notices.is_leaving(endpoint):
        return "leaving"
    if daemon.table.evacuations.is_evacuated(endpoint.zone):
        return "evacuated"
    if daemon.table.notices.paused_until(endpoint) > now:
        return "paused"
    if daemon.table.is_unavailable(endpoint):
        return "out of reach"
    return "suspected" if daemon.table.outliers.is_ejected(endpoint.identity, now) else "ready"


def _round(value: float) -> float | None:
    """Return a number for JSON, which cannot represent infinity."""
    return round(value, 2) if math.isfinite(value) else None
