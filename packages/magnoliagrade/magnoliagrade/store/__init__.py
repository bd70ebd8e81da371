"""The store and the list of instances: what the system needs, and our own client."""

from magnoliagrade.store.client import (
    HttpStore,
    Store,
    StoreConflict,
    StoreUnavailable,
    StoreValue,
)
from magnoliagrade.store.instances import HttpInstanceList, InstanceList
from magnoliagrade.store.limiter import CallLimiter

__all__ = [
    "CallLimiter",
    "HttpInstanceList",
    "HttpStore",
    "InstanceList",
    "Store",
    "StoreConflict",
    "StoreUnavailable",
    "StoreValue",
]
