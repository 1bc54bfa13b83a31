"""Expert map of a group: the ranks that hold each expert of each layer.

A group serves one mixture-of-experts model; its ranks are the processes that hold the experts.
"""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["FULL_SHARE", "ExpertMap", "ExpertMapError", "count_moves", "spread_evenly"]

# An encoded map holds each rank as one byte, 0 to 254; `SEPARATOR` ends the ranks of an expert.
MAX_RANKS = 255
FULL_SHARE = 100
MAX_DECODED_BYTES = 1 << 20
SEPARATOR = 255

Row = tuple[tuple[int, ...], ...]


class ExpertMapError(ValueError):
    """An expert map is invalid; the message names the layer, the expert and the value."""


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Assignment of experts to ranks, layer by layer.

    Parameters
    ----------
    ranks : int
        Number of ranks in the group, 1 to 255.
    layers : tuple
        For each layer, for each expert, the ranks that hold it in ascending order; a replicated
        expert has more than one.
    shares : tuple of int, optional
        For each rank, its weight when the tokens of replicated experts are split, 1 to 255; equal
        for all ranks by default.

    Raises
    ------
    ExpertMapError
        An expert has no rank, or its ranks are duplicated, unsorted or outside the group; or the
        layers differ in their number of experts; or the shares are invalid.

    Examples
    --------
    >>> ExpertMap(2, (((0,), (0, 1)),)).count_slots(0)
    2
    """

    ranks: int
    layers: tuple[Row, ...]
    shares: tuple[int, ...] = ()

    def __post_init__(self) -> None:
        if not self.shares:
            object.__setattr__(self, "shares", (FULL_SHARE,) * max(0, self.ranks))
        if not 1 <= self.ranks <= MAX_RANKS:
            raise ExpertMapError(f"ranks {self.ranks} is not valid; valid: 1 to {MAX_RANKS}")
        if len(self.shares) != self.ranks or not all(0 < share < 256 for share in self.shares):
            raise ExpertMapError(f"shares {self.shares} are not valid; valid: 1 to 255 a rank")
        for layer, row in enumerate(self.layers):
            if len(row) != len(self.layers[0]):
                found, valid = len(row), len(self.layers[0])
                raise ExpertMapError(f"layer {layer} has {found} experts; valid: {valid}")
            for expert, holders in enumerate(row):
                self._check_holders(layer, expert, holders)

    def _check_holders(self, layer: int, expert: int, holders: tuple[int, ...]) -> None:
        ordered = all(low < high for low, high in zip(holders, holders[1:]))
        if not holders or not ordered or holders[0] < 0 or holders[-1] >= self.ranks:
            raise ExpertMapError(
                f"layer {layer} expert {expert}: holders {holders} are not valid; "
                f"valid: one or more ranks of 0 to {self.ranks - 1}, ascending"
            )

    @property
    def experts(self) -> int:
        """Number of experts in each layer."""
        return len(self.layers[0]) if self.layers else 0

    def count_slots(self, rank: int) -> int:
        """Return the number of experts that a rank holds over all layers."""
        return sum(rank in holders for row in self.layers for holders in row)

    def list_experts(self, rank: int) -> Iterator[tuple[int, int]]:
        """Yield each (layer, expert) that a rank holds."""
        for layer, row in enumerate(self.layers):
            for expert, holders in enumerate(row):
                if rank in holders:
                    yield layer, expert

    def encode(self) -> str:
        """Return the map as compressed text in base64.

        The data starts with the number of ranks in 1 byte and the numbers of layers and experts in
        2 bytes each, big-endian. One byte per rank with its share follows, then the ranks of each
        expert, with `SEPARATOR` after each expert.
        """
        data = bytearray((self.ranks,))
        data += len(self.layers).to_bytes(2, "big") + self.experts.to_bytes(2, "big")
        data += bytes(self.shares)
        for row in self.layers:
            for holders in row:
                data += bytes(holders)
                data.append(SEPARATOR)
        return base64.b64encode(zlib.compress(data)).decode()

    @classmethod
    def decode(cls, text: str) -> ExpertMap:
        """Return the map that `encode` encoded as text.

        Raises
        ------
        ExpertMapError
            The text does not encode a valid map.
        """
        try:
            data = _decompress(base64.b64decode(text, validate=True))
        except (ValueError, zlib.error) as error:
            raise ExpertMapError(f"map text is not compressed base64: {error}") from error
        if len(data) < 5:
            raise ExpertMapError(f"map text has {len(data)} bytes; valid: 5 or more")
        layers, experts = int.from_bytes(data[1:3], "big"), int.from_bytes(data[3:5], "big")
        body = 5 + data[0]
        holder_lists = [tuple(holders) for holders in data[body:].split(bytes((SEPARATOR,)))[:-1]]
        if len(holder_lists) != layers * experts:
            raise ExpertMapError(
                f"map text has {len(holder_lists)} experts; valid: {layers * experts}"
            )
        rows = [tuple(holder_lists[n * experts : (n + 1) * experts]) for n in range(layers)]
        return cls(data[0], tuple(rows), tuple(data[5:body]))


def _decompress(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    decoded = reader.decompress(data, MAX_DECODED_BYTES)
    if reader.unconsumed_tail or not reader.eof:
        raise ValueError(f"more than {MAX_DECODED_BYTES} bytes, or cut short")
    return decoded


def spread_evenly(ranks: int, layers: int, experts: int) -> ExpertMap:
    """Return a map that assigns the experts of each layer to the ranks round-robin."""
    row = tuple((expert % ranks,) for expert in range(experts))
    return ExpertMap(ranks, (row,) * layers)


def count_moves(old: ExpertMap, new: ExpertMap) -> int:
    """Return how many experts the ranks have to fetch, in total, to switch between two maps."""
    return sum(
        len(set(after) - set(before))
        for before_row, after_row in zip(old.layers, new.layers)
        if before_row is not after_row
        for before, after in zip(before_row, after_row)
        if before != after
    )
