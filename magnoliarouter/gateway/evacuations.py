"""What the operator's evacuations, as read from the store, mean for this daemon's calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
    from magnoliarouter.store.feed import ObjectFeed
    from magnoliarouter.store.objects import StoredObject
    from magnoliarouter.telemetry.metrics import Metrics

__all__ = ["EvacuationWatch"]


class EvacuationWatch:
    """Applies the evacuations of the store to the table of endpoints.

    The belief stands while the store cannot be reached. A zone that no endpoint names is remembered
    like any other, since its endpoints may register later.

    Parameters
    ----------
    table : EndpointTable
        Endpoints, and the evacuations of their zones.
    clock : callable
        Loop time in seconds.
    metrics : Metrics
        Receives the number of evacuated zones.
    on_change : callable
        Called when an evacuation began or ended.

    Attributes
    ----------
    feed : ObjectFeed, optional
        The operator's evacuations by zone; None if the deployment has none.
    is_required : bool
        Whether the daemon serves only once the evacuations are known. One that starts might send to
        a zone that has long been evacuated; one that serves already goes on.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Callable[[], float],
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        self.feed: ObjectFeed | None = None
        self.is_required = True
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change

    def is_loaded(self) -> bool:
        """Return whether the evacuations are known, or the deployment has none."""
        return self.feed is None or not self.is_required or self.feed.synchronized.is_set()

    def close(self) -> None:
        """Follow no evacuations any more: the deployment has none."""
        self.feed = None
        for zone in self._table.evacuations.list():
            self.apply(zone, None)

    def apply(self, zone: str, value: Any) -> None:
        """Apply the object of a zone, or its deletion if the value is None."""
        evacuations, now = self._table.evacuations, self._clock()
        if value is None:
            seconds = evacuations.end(zone, now)
            if seconds is None:
                return
            # They may have started shortly before, which their registrations say later.
            cold = sum(self._table.rates.record_start(one, now) for one in self._list_members(zone))
            log_event("zone_evacuation_ended", zone=zone, seconds=round(seconds, 3), cold=cold)
        elif evacuations.begin(zone, now):
            members = self._list_members(zone)
            log_event(
                "zone_evacuated",
                zone=zone,
                endpoints=len(members),
                requests=sum(self._table.own_requests.get(one.identity, 0) for one in members),
            )
        else:
            return
        self._metrics.evacuated_zones.set(len(evacuations.list()))
        self._on_change()

    def _list_members(self, zone: str) -> list[Endpoint]:
        return [endpoint for endpoint in self._table.list() if endpoint.zone == zone]

    def record_item(self, item: StoredObject, refused: bool) -> None:
        """Log an object that is malformed; the belief on its zone stays as it was."""
        if refused and self.feed is not None:
            reason = self.feed.refused[item.name].reason
            log_event("evacuation_malformed", zone=item.name, reason=reason)
