"""Clients of the platform: its store and its list of instances."""

from magnoliagrade.platform.instances import HttpInstanceList, InstanceList
from magnoliagrade.platform.limiter import CallLimiter
from magnoliagrade.platform.store import (
    HttpStore,
    Store,
    StoreConflict,
    StoreUnavailable,
    StoreValue,
)

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
