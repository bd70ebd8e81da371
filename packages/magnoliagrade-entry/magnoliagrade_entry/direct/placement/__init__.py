"""Selection of endpoints: their load, limits, coldness and outages."""

from magnoliagrade_entry.direct.placement.cold_rates import (
    ColdIntervals,
    cold_send_interval_s,
)
from magnoliagrade_entry.direct.placement.endpoint_limits import EndpointLimits
from magnoliagrade_entry.direct.placement.endpoint_load import EndpointLoad
from magnoliagrade_entry.direct.placement.endpoint_table import (
    EJECT_MAX_S,
    EndpointTable,
)
from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain
from magnoliagrade_entry.direct.placement.group_notices import GroupNotices
from magnoliagrade_entry.direct.placement.limit_exchange import LimitExchange
from magnoliagrade_entry.direct.placement.outages import OutageTracker
from magnoliagrade_entry.direct.placement.permits import PermitIssuer, PermitRequests
from magnoliagrade_entry.direct.placement.policies import (
    PlacementContext,
    PlacementRate,
    placement_policies,
)
from magnoliagrade_entry.direct.placement.recovery import watch_recovery
from magnoliagrade_entry.direct.placement.service_outages import ServiceOutages

__all__ = [
    "ColdIntervals",
    "EJECT_MAX_S",
    "EndpointLimits",
    "EndpointLoad",
    "EndpointTable",
    "FaultDomain",
    "GroupNotices",
    "LimitExchange",
    "OutageTracker",
    "PermitIssuer",
    "PermitRequests",
    "PlacementContext",
    "PlacementRate",
    "ServiceOutages",
    "cold_send_interval_s",
    "placement_policies",
    "watch_recovery",
]
