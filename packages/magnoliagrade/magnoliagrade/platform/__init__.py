"""Clients of the platform: its store and its list of instances."""

from magnoliagrade.platform.instances import HttpInstanceList, InstanceList
from magnoliagrade.platform.store import (
    HttpStore,
    Store,
    StoreConflict,
    StoreUnavailable,
    StoreValue,
)

__all__ = [
    "HttpInstanceList",
    "HttpStore",
    "InstanceList",
    "Store",
    "StoreConflict",
    "StoreUnavailable",
    "StoreValue",
]
