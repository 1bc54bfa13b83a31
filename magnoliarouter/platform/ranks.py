"""Reads the reports of engines and sends orders to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from magnoliarouter.gateway.ranks import (
    Arm,
    Disarm,
    Fence,
    Go,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankCounts,
    RankExperts,
    RankReport,
)
from magnoliarouter.platform.headers import MISDIRECTED_STATUS, names_request, says_leaving
from magnoliarouter.store.results import Unavailable
from magnoliarouter.store.transport import UpstreamTransport
from magnoliarouter.store.wire import StoreCall, decode_json
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.web.upstream import ResponseHead, UpstreamPool

__all__ = ["PlatformRanks"]

# An engine responds in about 5 ms, but reports may queue on a slow link.
READ_TIMEOUT_S = 0.25
# Short, because a held group waits for the next attempt of an order that got no response.
ORDER_TIMEOUT_S = 0.05
MAX_RESPONSE_BYTES = 262_144
# Steps count from 1. To let a step go that is not held changes nothing at a rank.
NEVER_HELD_STEP = 0
RESULT_BY_STATUS = {
    200: OrderResult.TAKEN,
    202: OrderResult.TAKEN,
    400: OrderResult.REFUSED,
    409: OrderResult.REFUSED,
    412: OrderResult.FENCED,
    421: OrderResult.REFUSED,
}


class _Group(msgspec.Struct):
    name: str
    epoch: int
    rank: int
    state: str


class _Armed(msgspec.Struct):
    version: int


class _Report(msgspec.Struct):
    group: _Group | None = None
    size: int = 0
    step: int = 0
    map: Any = 0
    prepared: Any = None
    armed: Any = None
    held: Any = None
    pace: float = 1.0


class _Counts(msgspec.Struct):
    step: int
    epoch: int
    counts: list[int]


class _Map(msgspec.Struct):
    version: int
    experts: list[list[int]]


class _Lists(msgspec.Struct):
    epoch: int
    map: _Map


class PlatformRanks:
    """`RankClient` of the users' platform.

    Parameters
    ----------
    pool : UpstreamPool
        Connections to engines.
    on_leaving : callable
        Called with the address of an engine that says that it is leaving.

    Attributes
    ----------
    may_send : callable
        Returns whether the lease with a fencing number is still held.
    """

    def __init__(
        self, pool: UpstreamPool, on_leaving: Callable[[str], None] = lambda address: None
    ) -> None:
        self._pool = pool
        self._on_leaving = on_leaving
        self.may_send: Callable[[int], bool] = lambda fencing_number: True
        self._last_encoded: tuple[Order, int, int, tuple[dict[str, Any], bytes]] | None = None

    async def read_report(self, address: str) -> RankReport | None:
        """Return an engine's state as a rank; the group name is empty if it belongs to no group."""
        report = await self._get(address, "/v1/report", _Report)
        if report is None:
            return None
        group = report.group or _Group("", 0, 0, "")
        return RankReport(
            group.name,
            group.epoch,
            group.rank,
            report.size,
            group.state == "open",
            report.step,
            _extract_number(report.map) or 0,
            _extract_number(report.prepared),
            _extract_number(report.armed),
            _extract_number(report.held),
            report.pace,
            _extract_number(report.armed, "step"),
        )

    async def read_counts(self, address: str) -> RankCounts | None:
        """Return how often an engine's requests chose each expert."""
        found = await self._get(address, "/v1/picked", _Counts)
        return None if found is None else RankCounts(found.step, found.epoch, tuple(found.counts))

    async def read_experts(self, address: str) -> RankExperts | None:
        """Return the experts that an engine holds."""
        found = await self._get(address, "/v1/picked?lists=1", _Lists)
        if found is None:
            return None
        experts = tuple(tuple(row) for row in found.map.experts)
        return RankExperts(found.epoch, found.map.version, experts)

    async def send(
        self,
        address: str,
        order: Order,
        epoch: int,
        fencing_number: int,
        size: int,
        timeout_s: float | None = None,
    ) -> OrderResult:
        """Send an order."""
        body, encoded = self._encode(order, epoch, fencing_number, size)
        call = StoreCall("POST", "/v1/order", body=encoded)
        transport = self._open_transport(address, lambda: self.may_send(fencing_number))
        outcome = await transport.exchange(call, timeout_s or ORDER_TIMEOUT_S, MAX_RESPONSE_BYTES)
        if isinstance(outcome, Unavailable):
            status, result, reason = 0, OrderResult.UNKNOWN, outcome.reason
        else:
            status, reason = outcome[0], ""
            result = RESULT_BY_STATUS.get(status, OrderResult.UNKNOWN)
            if result is not OrderResult.TAKEN:
                reason = outcome[1][:200].decode("latin-1")
        log_event(
            "order",
            address=address,
            order=body["operation"],
            version=body.get("version"),
            step=body.get("step"),
            epoch=epoch,
            fence=fencing_number,
            status=status,
            result=result.value,
            reason=reason,
        )
        return result

    def _open_transport(
        self, address: str, may_send: Callable[[], bool] = lambda: True
    ) -> UpstreamTransport:
        def read_notice(head: ResponseHead) -> None:
            if head.status != MISDIRECTED_STATUS and says_leaving(head.fields):
                self._on_leaving(address)

        return UpstreamTransport(
            address, self._pool, read_notice, lambda head: names_request(head.fields), may_send
        )

    def _encode(
        self, order: Order, epoch: int, fencing_number: int, size: int
    ) -> tuple[dict[str, Any], bytes]:
        """Return the body of an order; all ranks of a group get the same, which may hold a map."""
        last = self._last_encoded
        if last is not None and last[0] is order and last[1:3] == (epoch, fencing_number):
            return last[3]
        body = {**_encode_order(order, size), "epoch": epoch, "fencing_token": fencing_number}
        encoded = body, msgspec.json.encode(body)
        self._last_encoded = order, epoch, fencing_number, encoded
        return encoded

    async def _get(self, address: str, target: str, model: Any) -> Any:
        outcome = await self._open_transport(address).exchange(
            StoreCall("GET", target), READ_TIMEOUT_S, MAX_RESPONSE_BYTES
        )
        if not isinstance(outcome, Unavailable):
            if outcome[0] == 200:
                outcome = decode_json(outcome[1], model)
            else:
                outcome = Unavailable(f"status {outcome[0]}")
        if isinstance(outcome, Unavailable):
            log_event("rank_unread", address=address, target=target, reason=outcome.reason)
            return None
        return outcome


def _encode_order(order: Order, size: int) -> dict[str, Any]:
    match order:
        case Prepare(version, rows):
            return {
                "operation": "prepare",
                "version": version,
                "map": _list_experts_by_rank(rows, size),
            }
        case Arm(version, step):
            return {"operation": "arm", "version": version, "step": step}
        case Hold(step):
            return {"operation": "hold", "step": step}
        case Go(step):
            return {"operation": "go", "step": step}
        case Disarm(version):
            return {"operation": "disarm", "version": version}
        case Fence():
            return {"operation": "go", "step": NEVER_HELD_STEP}


def _list_experts_by_rank(rows: Any, size: int) -> list[list[list[int]]]:
    """Return the experts of each rank, by set, given the ranks of each expert, by set."""
    sets = []
    for row in rows:
        ranks: list[list[int]] = [[] for _ in range(size)]
        for expert, holders in enumerate(row):
            for rank in holders:
                ranks[rank].append(expert)
        sets.append(ranks)
    return sets


def _extract_number(value: Any, field: str = "version") -> int | None:
    """Return a version or step, given as a number or as the field of an object."""
    if isinstance(value, dict):
        value = value.get(field, value.get("step"))
    elif field != "version":
        return None
    return value if isinstance(value, int) else None
