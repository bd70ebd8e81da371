"""Interfaces of the key-value store and the instance list, and their HTTP clients."""

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
