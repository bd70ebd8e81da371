"""Which instances there are, which are linked, and which are leaving."""

from magnoliagrade_entry.membership.departures import Departures
from magnoliagrade_entry.membership.keeper import LinkKeeper
from magnoliagrade_entry.membership.listing import KnownInstances
from magnoliagrade_entry.membership.selection import (
    remote_link_count,
    select_links,
)

__all__ = [
    "Departures",
    "KnownInstances",
    "LinkKeeper",
    "remote_link_count",
    "select_links",
]
