"""Stand-ins for the platform's key-value store and its list of instances."""

from magnoliagrade_standins.platform.listing import ListedInstances
from magnoliagrade_standins.platform.server import make_platform_app
from magnoliagrade_standins.platform.store import MemoryStore, StoreFaults

__all__ = ["ListedInstances", "MemoryStore", "StoreFaults", "make_platform_app"]
