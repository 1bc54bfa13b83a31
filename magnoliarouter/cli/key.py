"""Commands ``key new|release``: customers' keys and the reservations of their digests."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from cleo.helpers import argument

from magnoliarouter.cli.output import OperatorCommand, build_failure
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.pipeline.identify import hash_key
from magnoliarouter.store.client import Conflict, Found, Missing, Unavailable, Written
from magnoliarouter.store.contracts import CONTRACT_KIND, KEY_KIND
from magnoliarouter.store.settle import delete_settled

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext

__all__ = ["commands"]

KEY_BYTES = 32


class KeyNew(OperatorCommand):
    """Command ``key new``."""

    name = "key new"
    description = "Make a customer's key and its digest; the key is shown once and kept nowhere"

    def handle(self) -> int:
        """Print a random key and the digest that goes into a contract."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = hash_key(key)
        text = f"key       {key}\nkey hash  {digest}"
        return self.report(Done(text, {"key": key, "key_hash": digest}))


class KeyRelease(OperatorCommand):
    """Command ``key release``."""

    name = "key release"
    description = "Give up the reservation of a key that no contract holds any more"
    arguments = [argument("key-hash", "Hexadecimal SHA-256 digest of the key")]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Delete the reservation unless a contract holds the key."""
        key_hash = self.argument("key-hash")
        subject = f"reservation of key {key_hash}"
        found = await context.platform.read(KEY_KIND, key_hash)
        if isinstance(found, Missing | Unavailable):
            return build_failure(found, subject)
        contracts = await context.platform.list(CONTRACT_KIND)
        if isinstance(contracts, Unavailable):
            return build_failure(contracts, "contracts")
        if customer := _find_contract_with_key(contracts, key_hash):
            return Failed(ExitCode.INVALID, f"{subject}: contract {customer} still holds the key")
        version = found.items[0].version
        outcome = await delete_settled(context.platform, KEY_KIND, key_hash, version)
        match outcome:
            case Written():
                return Done(f"{subject} is given up", {"key_hash": key_hash})
            case Conflict():
                return Failed(
                    ExitCode.CONFLICT, f"{subject}: changed meanwhile; nothing was written"
                )
        return build_failure(outcome, subject)


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [KeyNew(), KeyRelease()]


def _find_contract_with_key(contracts: Found, key_hash: str) -> str | None:
    for item in contracts.items:
        value: Any = item.value
        if isinstance(value, dict) and key_hash in (value.get("key_hashes") or ()):
            return item.name
    return None
