"""Waiting calls and configurations for `test_admission`."""

from __future__ import annotations

from magnoliarouter.core.admission import Room, WaitingCall
from magnoliarouter.gateway.routes import GatewayConfig, Route, RouteKind, RouteTable


def build_call(name, urgency, account="", wait_s=60.0, on_time_s=50.0, returned=False):
    """Return a call that arrives at time 0; its item is its name."""
    return WaitingCall(urgency, wait_s, on_time_s, account, returned, name)


def fill_queue(queue, *calls, room=None, now=0.0):
    """Admit calls one after the other, and return the results."""
    return [queue.admit(call, room or Room(), now) for call in calls]


def read_names(queue, now=0.0):
    """Return the names of the waiting calls in the order of service."""
    return [call.item for call in queue.list_next(now)]


def build_config(urgencies, tenants):
    """Return a configuration with a route of each urgency to one service."""
    routes = [
        Route(f"r{number}", "h", f"/{number}", RouteKind.SAFE, (("app", 1.0),), 1.0, 1.0, urgency)
        for number, urgency in enumerate(urgencies)
    ]
    return GatewayConfig(1, RouteTable.build(routes), {}, tenants, None)
