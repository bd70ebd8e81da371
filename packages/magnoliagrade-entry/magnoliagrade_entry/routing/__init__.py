"""Where a request goes: candidates, policies, placement."""

from magnoliagrade_entry.routing.endpoints import EndpointContact, EndpointDirectory
from magnoliagrade_entry.routing.peers import PeerContact, PeerDirectory
from magnoliagrade_entry.routing.policies import RoutingPolicy, routing_policies
from magnoliagrade_entry.routing.router import Placement, Router
from magnoliagrade_entry.routing.summary import summarise_pools

__all__ = [
    "EndpointContact",
    "EndpointDirectory",
    "PeerContact",
    "PeerDirectory",
    "Placement",
    "Router",
    "RoutingPolicy",
    "routing_policies",
    "summarise_pools",
]
