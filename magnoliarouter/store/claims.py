"""Claims on idempotency keys, stored as objects of the platform.

The claims are spread over several kinds so that the list of each kind stays short.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.claimsteps import (
    Claim,
    ClaimKey,
    FoundClaim,
    NoClaim,
    Stored,
    StoreDoubt,
    StoreDown,
)
from magnoliarouter.store.client import Conflict, Found, Missing, Unavailable, Written

if TYPE_CHECKING:
    from magnoliarouter.core.claimsteps import WriteClaim
    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.objects import StoredObject

__all__ = ["CLAIM_KINDS", "ClaimStore", "build_claim_key", "locate_claim_object"]

CLAIM_SHARD_COUNT = 64
CLAIM_KINDS = tuple(f"claim-{shard:02d}" for shard in range(CLAIM_SHARD_COUNT))
DIGEST_HEX_DIGITS = 32


def build_claim_key(customer: str, key: str, method: str, path: str, body: bytes) -> ClaimKey:
    """Return the digests that identify an idempotency key and the request sent with it."""
    request = hashlib.sha256(f"{method} {path}\n".encode())
    request.update(body)
    digest = hashlib.sha256(key.encode()).hexdigest()[:DIGEST_HEX_DIGITS]
    return ClaimKey(customer, digest, request.hexdigest()[:DIGEST_HEX_DIGITS])


def locate_claim_object(key: ClaimKey) -> tuple[str, str]:
    """Return the kind and name of the object that stores a claim."""
    shard = int(key.key_digest[:4], 16) % CLAIM_SHARD_COUNT
    return CLAIM_KINDS[shard], f"{key.customer}.{key.key_digest}"


class ClaimStore:
    """Reads and writes claims in the platform's object store.

    Parameters
    ----------
    client : PlatformClient
        Client of the object API.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def write(
        self, step: WriteClaim
    ) -> Stored | FoundClaim | NoClaim | StoreDoubt | StoreDown:
        """Write a claim if its version is as expected."""
        kind, name = locate_claim_object(step.claim.key)
        value = msgspec.to_builtins(step.claim)
        match await self._client.write(kind, name, value, expect=step.expect):
            case Written(version):
                return Stored(version)
            case Conflict(None):
                return NoClaim()
            case Conflict(current):
                return _decode(current)
            case Unavailable():
                return StoreDown()
        return StoreDoubt()

    async def read(self, key: ClaimKey) -> FoundClaim | NoClaim | StoreDown:
        """Read a claim; the response may be older than the last write."""
        match await self._client.read(*locate_claim_object(key)):
            case Found(_, (item,)):
                return _decode(item)
            case Missing():
                return NoClaim()
        return StoreDown()


def _decode(item: StoredObject) -> FoundClaim | StoreDown:
    try:
        return FoundClaim(item.version, msgspec.convert(item.value, type=Claim))
    except msgspec.ValidationError:
        # An unreadable claim must not be treated as an absent one.
        return StoreDown()
