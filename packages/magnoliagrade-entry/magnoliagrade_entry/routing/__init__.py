"""Placement of requests: candidate endpoints, routing policies and the queue."""

from magnoliagrade_entry.routing.endpoints import EndpointDirectory, EndpointHandle
from magnoliagrade_entry.routing.peers import PeerDirectory, PeerHandle
from magnoliagrade_entry.routing.policies import RoutingPolicy, routing_policies
from magnoliagrade_entry.routing.pool_queue import PoolQueue
from magnoliagrade_entry.routing.router import Placement, Router
from magnoliagrade_entry.routing.summary import summarise_pools
from magnoliagrade_entry.routing.tickets import Ticket

__all__ = [
    "EndpointHandle",
    "EndpointDirectory",
    "PeerHandle",
    "PeerDirectory",
    "Placement",
    "PoolQueue",
    "Router",
    "RoutingPolicy",
    "Ticket",
    "routing_policies",
    "summarise_pools",
]
