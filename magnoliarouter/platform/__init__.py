"""Client of the platform's object API and the kinds of object kept there.

The client, settled writes, back-off, call budget and forward-only replicas can be used without
the daemons.
"""

from __future__ import annotations

from magnoliarouter.platform.backoff import Backoff, CallBudget
from magnoliarouter.platform.client import PlatformClient
from magnoliarouter.platform.feed import ObjectFeed
from magnoliarouter.platform.objects import StoredObject
from magnoliarouter.platform.replica import Replica
from magnoliarouter.platform.settle import delete_settled, write_settled

__all__ = [
    "Backoff",
    "CallBudget",
    "ObjectFeed",
    "PlatformClient",
    "Replica",
    "StoredObject",
    "delete_settled",
    "write_settled",
]
