"""Client of the platform's object API and the kinds of objects stored there.

The client, the settled writes, the back-off, the call budget and the replicas can be used without
the daemons.
"""

from __future__ import annotations

from magnoliarouter.store.backoff import Backoff, CallBudget
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.store.feed import ObjectFeed
from magnoliarouter.store.objects import StoredObject
from magnoliarouter.store.replica import Replica
from magnoliarouter.store.settle import delete_settled, write_settled

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
