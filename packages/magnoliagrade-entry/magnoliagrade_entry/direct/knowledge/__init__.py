"""What an entry knows of the site, and when that was last confirmed."""

from magnoliagrade_entry.direct.knowledge.change_log import ChangeLog
from magnoliagrade_entry.direct.knowledge.endpoint_registry import EndpointRegistry
from magnoliagrade_entry.direct.knowledge.registration import keep_registered
from magnoliagrade_entry.direct.knowledge.route_table import RouteTable
from magnoliagrade_entry.direct.knowledge.site_relay import SiteRelays, relay_names
from magnoliagrade_entry.direct.knowledge.site_state import STORE_SETTLE_S, SiteState
from magnoliagrade_entry.direct.knowledge.site_watch import follow_site
from magnoliagrade_entry.direct.knowledge.urgency import urgency_levels

__all__ = [
    "ChangeLog",
    "EndpointRegistry",
    "RouteTable",
    "STORE_SETTLE_S",
    "SiteRelays",
    "SiteState",
    "follow_site",
    "keep_registered",
    "relay_names",
    "urgency_levels",
]
