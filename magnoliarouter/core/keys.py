"""Index of contracts by API key digest.

A key belongs to the customer whose contract listed it first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.core.contract import Contract

__all__ = ["KeyIndex"]


@dataclass(slots=True)
class KeyIndex:
    """Contracts in force, by key digest.

    Examples
    --------
    >>> from magnoliarouter.core.contract import Contract
    >>> index = KeyIndex()
    >>> index.update("a", Contract("a", ("k",), "suspended"))
    >>> index.find_clash("b", Contract("b", ("k",), "suspended"))
    'key_hashes holds k, which belongs to customer a'
    """

    by_key: dict[str, Contract] = field(default_factory=dict)
    _keys: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def find_clash(self, customer: str, contract: Contract) -> str | None:
        """Return why a contract cannot come into force, or None if it can.

        A contract conflicts if one of its keys belongs to another customer.
        """
        for key in contract.key_hashes:
            holder = self.by_key.get(key)
            if holder is not None and holder.customer != customer:
                return f"key_hashes holds {key}, which belongs to customer {holder.customer}"
        return None

    def update(self, customer: str, contract: Contract | None) -> None:
        """Replace a customer's contract, or remove it if None.

        The contract must have passed `find_clash`.
        """
        for key in self._keys.pop(customer, ()):
            del self.by_key[key]
        if contract is not None:
            self._keys[customer] = contract.key_hashes
            self.by_key.update(dict.fromkeys(contract.key_hashes, contract))
