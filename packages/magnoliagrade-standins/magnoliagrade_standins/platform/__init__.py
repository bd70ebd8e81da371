"""Stand-ins of the platform's store and list of instances."""

from magnoliagrade_standins.platform.listing import ListedInstances
from magnoliagrade_standins.platform.server import make_platform_app
from magnoliagrade_standins.platform.store import MemoryStore, StoreFaults

__all__ = ["ListedInstances", "MemoryStore", "StoreFaults", "make_platform_app"]
