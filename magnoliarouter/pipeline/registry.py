"""Index of registered endpoints by model and service, without those that are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from magnoliarouter.pipeline.call import ApplicationCall, ModelCall

if TYPE_CHECKING:
    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.store.objects import EndpointSpec, VmSpec

__all__ = ["EndpointRegistry"]

Work: TypeAlias = "ModelCall | ApplicationCall"


class EndpointRegistry:
    """Index of the registered endpoints, rebuilt when the platform's objects change.

    Parameters
    ----------
    endpoints : VersionedCache
        Registered endpoints.
    vms : VersionedCache, optional
        VMs as the platform lists them.
    """

    def __init__(
        self, endpoints: VersionedCache[EndpointSpec], vms: VersionedCache[VmSpec] | None = None
    ) -> None:
        self._endpoints = endpoints
        self._vms = vms
        self._revisions = (-1, -1)
        self._by_model: dict[str, list[EndpointSpec]] = {}
        self._by_service: dict[str, list[EndpointSpec]] = {}

    def find(self, name: str) -> EndpointSpec | None:
        """Return a registered endpoint, or None if there is none of this name."""
        return self._endpoints.get(name)

    def list_names(self) -> set[str]:
        """Return the names of all registered endpoints."""
        return set(self._endpoints.values())

    def list_serving(self, work: Work) -> list[EndpointSpec]:
        """Return the endpoints for a kind of work that are neither draining nor leaving."""
        self._refresh()
        match work:
            case ModelCall(model=model):
                return self._by_model.get(model, [])
            case ApplicationCall(service=service):
                return self._by_service.get(service, [])

    def _refresh(self) -> None:
        revisions = (self._endpoints.revision, self._vms.revision if self._vms else 0)
        if revisions == self._revisions:
            return
        self._revisions = revisions
        self._by_model, self._by_service = {}, {}
        leaving = self._list_leaving()
        for _, spec in sorted(self._endpoints.values().items()):
            if spec.draining or spec.address in leaving:
                continue
            for model in spec.models:
                self._by_model.setdefault(model, []).append(spec)
            for service in spec.services:
                self._by_service.setdefault(service, []).append(spec)

    def _list_leaving(self) -> set[str]:
        if self._vms is None:
            return set()
        vms = self._vms.values().values()
        return {vm.address for vm in vms if vm.leaving and vm.role == "endpoint"}
