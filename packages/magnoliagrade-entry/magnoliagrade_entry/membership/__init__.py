"""Membership: known instances, links to them, and departures."""

from magnoliagrade_entry.membership.departures import Departures
from magnoliagrade_entry.membership.link_manager import LinkManager
from magnoliagrade_entry.membership.listing import KnownInstances
from magnoliagrade_entry.membership.selection import (
    remote_link_count,
    select_links,
)

__all__ = [
    "Departures",
    "KnownInstances",
    "LinkManager",
    "remote_link_count",
    "select_links",
]
